"""Announcements that come late, out of order or from another lifetime."""

import msgspec
import pytest

from flamingocleat.version import fleet


def said(**changes) -> fleet.Announcement:
    return msgspec.structs.replace(
        fleet.Announcement(
            backend="b-1",
            born_ms=1000,
            sequence=5,
            service="llm",
            address="10.0.0.1:80",
            data_centre="a",
            state=fleet.BackendState.READY,
        ),
        **changes,
    )


@pytest.fixture
def known():
    made = fleet.Fleet()
    assert made.announce(said(), 0.0)
    return made


def test_server_that_moves_leaves_its_address(known):
    """A later announcement elsewhere frees the first address for others."""
    assert known.announce(said(sequence=6, address="10.0.0.2:80"), 1.0)
    other = said(backend="b-2", born_ms=500, address="10.0.0.1:80")
    assert known.announce(other, 2.0)
    assert set(known.backends) == {"b-1", "b-2"}
    newer = said(backend="b-3", born_ms=2000, address="10.0.0.2:80")
    assert known.announce(newer, 3.0)
    assert known.superseded == {"b-1"}
    known.forget("b-3", 4.0)
    assert known.announce(said(backend="b-4", address="10.0.0.2:80"), 5.0)


def test_older_sequence_is_ignored(known):
    """A delayed announcement must not undo a newer one."""
    draining = said(sequence=6, state=fleet.BackendState.DRAINING)
    assert known.announce(draining, 1.0)
    assert not known.announce(said(), 2.0)
    state = known.backends["b-1"].said.state
    assert state is fleet.BackendState.DRAINING
    assert known.backends["b-1"].heard_s == 1.0


def test_restart_under_the_same_id_counts_anew(known):
    """A new lifetime begins its sequence again and holds no group."""
    assert known.announce(said(born_ms=2000, sequence=1), 1.0)
    assert not known.announce(said(sequence=9), 2.0)
    assert known.backends["b-1"].last_model == ""


def test_later_lifetime_takes_the_address(known):
    """An address belongs to the lifetime that was born last."""
    other = said(backend="b-2", born_ms=2000, sequence=1)
    assert known.announce(other, 1.0)
    assert set(known.backends) == {"b-2"}
    assert not known.announce(said(sequence=6), 2.0)
    older = said(backend="b-0", born_ms=500, sequence=99)
    assert not known.announce(older, 2.0)
    assert set(known.backends) == {"b-2"}


def test_left_lifetime_does_not_come_back(known):
    """An announcement that was sent before the departure comes after it."""
    known.leave("b-1", 1000, 1.0)
    assert not known.announce(said(sequence=6), 2.0)
    assert known.backends == {}
    assert known.announce(said(born_ms=3000, sequence=1), 3.0)


def test_departure_of_an_older_lifetime_is_ignored(known):
    """A delayed departure must not remove the present lifetime."""
    assert known.announce(said(born_ms=2000, sequence=1), 1.0)
    known.leave("b-1", 1000, 2.0)
    assert "b-1" in known.backends


def test_departure_before_the_first_announcement_holds(known):
    """A new leader may hear of a departure first."""
    known.leave("b-9", 1000, 1.0)
    late = said(backend="b-9", address="10.0.0.9:80")
    assert not known.announce(late, 2.0)


def test_subscribers_hear_of_changes_only(known):
    """A repeated announcement changes nothing."""
    calls = []
    known.subscribe(lambda: calls.append(1))
    known.announce(said(sequence=6), 1.0)
    assert calls == []
    known.announce(said(sequence=7, staged=("large",)), 2.0)
    assert calls == [1]
