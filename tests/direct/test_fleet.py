"""Announcements that are late, out of order or of another lifetime."""

import msgspec
import pytest

from flamingocleat.version import fleet


def announcement(**changes) -> fleet.Announcement:
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


def leave(fleet_state, backend, born_ms, now_s, now_ms=2000) -> None:
    departure = fleet_state.departure(backend, born_ms, now_ms)
    fleet_state.withdraw(departure, now_s)


@pytest.fixture
def fleet_state():
    fleet_state = fleet.Fleet()
    assert fleet_state.announce(announcement(), 0.0)
    return fleet_state


def test_server_that_moves_frees_its_address(fleet_state):
    """A server that announces another address must free its former one.

    Others may then announce it, also with an earlier lifetime.
    """
    assert fleet_state.announce(
        announcement(sequence=6, address="10.0.0.2:80"), 1.0
    )
    other = announcement(backend="b-2", born_ms=500, address="10.0.0.1:80")
    assert fleet_state.announce(other, 2.0)
    assert set(fleet_state.backends) == {"b-1", "b-2"}
    newer = announcement(backend="b-3", born_ms=2000, address="10.0.0.2:80")
    assert fleet_state.announce(newer, 3.0)
    assert fleet_state.superseded == {("b-1", 1000)}
    fleet_state.forget("b-3", 4.0)
    assert fleet_state.announce(
        announcement(backend="b-4", address="10.0.0.2:80"), 5.0
    )


def test_older_sequence_is_ignored(fleet_state):
    """A delayed announcement must not replace a newer one."""
    draining = announcement(sequence=6, state=fleet.BackendState.DRAINING)
    assert fleet_state.announce(draining, 1.0)
    assert not fleet_state.announce(announcement(), 2.0)
    state = fleet_state.backends["b-1"].announcement.state
    assert state is fleet.BackendState.DRAINING
    assert fleet_state.backends["b-1"].announced_s == 1.0


def test_restart_begins_a_new_lifetime(fleet_state):
    """A new lifetime must be accepted although its sequence starts again.

    It has no last model, and announcements of the old one are ignored.
    """
    assert fleet_state.announce(announcement(born_ms=2000, sequence=1), 1.0)
    assert not fleet_state.announce(announcement(sequence=9), 2.0)
    assert fleet_state.backends["b-1"].last_model == ""


def test_later_lifetime_takes_the_address(fleet_state):
    """An address must belong to the lifetime that started last."""
    other = announcement(backend="b-2", born_ms=2000, sequence=1)
    assert fleet_state.announce(other, 1.0)
    assert set(fleet_state.backends) == {"b-2"}
    assert not fleet_state.announce(announcement(sequence=6), 2.0)
    older = announcement(backend="b-0", born_ms=500, sequence=99)
    assert not fleet_state.announce(older, 2.0)
    assert set(fleet_state.backends) == {"b-2"}


def test_departed_lifetime_does_not_return(fleet_state):
    """An announcement that arrives after the departure must be ignored."""
    leave(fleet_state, "b-1", 1000, 1.0)
    assert not fleet_state.announce(announcement(sequence=6), 2.0)
    assert fleet_state.backends == {}
    assert fleet_state.announce(announcement(born_ms=3000, sequence=1), 3.0)


def test_departure_of_an_older_lifetime_is_ignored(fleet_state):
    """A delayed departure must not remove the current lifetime."""
    assert fleet_state.announce(announcement(born_ms=2000, sequence=1), 1.0)
    leave(fleet_state, "b-1", 1000, 2.0)
    assert "b-1" in fleet_state.backends


def test_departure_before_the_first_announcement_is_kept(fleet_state):
    """A departure must count even if it arrives before any announcement.

    A new leader may receive them in this order.
    """
    leave(fleet_state, "b-9", 1000, 1.0)
    late = announcement(backend="b-9", address="10.0.0.9:80")
    assert not fleet_state.announce(late, 2.0)


def test_subscribers_are_notified_of_changes_only(fleet_state):
    """An announcement without a change must not notify subscribers."""
    notifications = []
    fleet_state.subscribe(lambda: notifications.append(1))
    fleet_state.announce(announcement(sequence=6), 1.0)
    assert notifications == []
    fleet_state.announce(announcement(sequence=7, staged=("large",)), 2.0)
    assert notifications == [1]
