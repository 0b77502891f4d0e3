"""Kills and losses of power at each operation of a voter's storage."""

import collections.abc
import pathlib

import msgspec
import pytest

from flamingocleat import messages
from flamingocleat.process import consensus
from flamingocleat.process import settings
from flamingocleat.process import storage
from flamingocleat.process import voters
from tests import disks

SEEDS = ("10.0.0.1:7340", "10.0.0.2:7340", "10.0.0.3:7340")
LOSSES = ["kill", "loss of power"]
MAX_OPERATIONS = 200


def open_storage(
    folder: pathlib.Path, *, bootstrap: bool = True
) -> storage.Storage:
    return voters.open_storage(
        settings.CoordinatorSettings(
            address=SEEDS[0],
            http_listen="10.0.0.1:8229",
            data_folder=str(folder),
            bootstrap=bootstrap,
            seeds=SEEDS,
        )
    )


def entry(index: int, term: int = 1) -> messages.LogEntry:
    return messages.LogEntry(index, term, b"command %d" % index)


class Acknowledged:
    """What a voter has told others that it stored."""

    def __init__(self) -> None:
        self.vote = (0, "")
        self.entries: dict[int, messages.LogEntry] = {}
        self.snapshot = 0

    def check(self, opened: storage.Storage) -> None:
        """Check that a reopened storage still holds all of it."""
        assert (opened.term, opened.voted_for) >= self.vote
        assert opened.snapshot.index >= max(1, self.snapshot)
        held = {each.index: each for each in opened.entries}
        for index, known in self.entries.items():
            if index > opened.snapshot.index:
                assert held[index] == known
        data = msgspec.msgpack.decode(
            opened.snapshot.data, type=consensus.SnapshotData
        )
        assert set(data.membership.voters.values()) == set(SEEDS)


Work = collections.abc.Callable[[storage.Storage, Acknowledged], None]


def do_nothing(opened: storage.Storage, known: Acknowledged) -> None:
    """Only create the storage."""


def vote(opened: storage.Storage, known: Acknowledged) -> None:
    for term in (2, 3):
        opened.save_vote(term, SEEDS[1])
        known.vote = (term, SEEDS[1])


def append(opened: storage.Storage, known: Acknowledged) -> None:
    for index in range(2, 6):
        opened.append([entry(index)])
        known.entries[index] = entry(index)


def truncate(opened: storage.Storage, known: Acknowledged) -> None:
    append(opened, known)
    for index in (4, 5):
        # A new leader replaces them; from here on they are not relied on.
        del known.entries[index]
    opened.truncate(4)
    opened.append([entry(4, 2)])
    known.entries[4] = entry(4, 2)


def compact(opened: storage.Storage, known: Acknowledged) -> None:
    append(opened, known)
    opened.save_snapshot(4, 1, opened.snapshot.data)
    known.snapshot = 4
    opened.append([entry(6)])
    known.entries[6] = entry(6)


def install(opened: storage.Storage, known: Acknowledged) -> None:
    append(opened, known)
    known.entries.clear()
    opened.save_snapshot(9, 2, opened.snapshot.data)
    known.snapshot = 9


WORK = [do_nothing, vote, append, truncate, compact, install]


def crash_at(
    monkeypatch, disk: disks.FaultyDisk, work: Work, known: Acknowledged
) -> bool:
    """Run until the disk fails; return whether it did."""
    disk.use(monkeypatch)
    opened = None
    try:
        opened = open_storage(disk.folder)
        work(opened, known)
    except disks.CrashError:
        return True
    finally:
        monkeypatch.undo()
        if opened is not None:
            opened.close()
    return False


# Control never had a leader after all voters were killed between two writes of
# their first start: they took a folder without voters for a complete one.
@pytest.mark.parametrize("loss", LOSSES)
@pytest.mark.parametrize("work", WORK, ids=lambda each: each.__name__)
def test_storage_is_whole_after_a_crash_at_any_operation(
    tmp_path, monkeypatch, work, loss
):
    for number in range(MAX_OPERATIONS):
        folder = tmp_path / str(number)
        folder.mkdir()
        disk = disks.FaultyDisk(folder, number)
        known = Acknowledged()
        has_crashed = crash_at(monkeypatch, disk, work, known)
        if loss != "kill":
            disk.lose_power()
        reopened = open_storage(folder)
        try:
            known.check(reopened)
        finally:
            reopened.close()
        if not has_crashed:
            return
    raise AssertionError(f"no end after {MAX_OPERATIONS} operations")


# What a killed process had written, but not synced, was read back, and would
# have been acknowledged without a sync.
@pytest.mark.parametrize("work", WORK, ids=lambda each: each.__name__)
def test_what_is_read_back_outlasts_a_loss_of_power(
    tmp_path, monkeypatch, work
):
    for number in range(MAX_OPERATIONS):
        folder = tmp_path / str(number)
        folder.mkdir()
        disk = disks.FaultyDisk(folder, number)
        has_crashed = crash_at(monkeypatch, disk, work, Acknowledged())
        disk.fails_at = None
        disk.use(monkeypatch)
        read_back = open_storage(folder)
        monkeypatch.undo()
        state = (
            read_back.vote,
            read_back.snapshot,
            list(read_back.entries),
            read_back.voter,
        )
        read_back.close()
        disk.lose_power()
        reopened = open_storage(folder)
        assert state == (
            reopened.vote,
            reopened.snapshot,
            reopened.entries,
            reopened.voter,
        )
        reopened.close()
        if not has_crashed:
            return
    raise AssertionError(f"no end after {MAX_OPERATIONS} operations")


def test_first_voters_are_known_without_the_settings(tmp_path, monkeypatch):
    """A crash after the folder was created must not need a second bootstrap."""
    folder = tmp_path / "data"
    folder.mkdir()
    with monkeypatch.context() as patch:
        patch.setattr(voters, "_write_first_snapshot", lambda *_: None)
        open_storage(folder).close()
    opened = open_storage(folder, bootstrap=False)
    try:
        Acknowledged().check(opened)
    finally:
        opened.close()


def test_folder_that_an_earlier_build_left_without_voters_is_completed(
    tmp_path,
):
    """A voter without voters must not wait for a leader for good."""
    folder = tmp_path / "data"
    storage.Storage.create(str(folder), SEEDS[0]).close()
    opened = open_storage(folder)
    try:
        Acknowledged().check(opened)
        assert opened.voter == SEEDS[0]
    finally:
        opened.close()


def test_voter_that_has_voted_is_not_created_anew(tmp_path):
    """A voter must not forget its vote, even if it knows no voters."""
    folder = tmp_path / "data"
    created = storage.Storage.create(str(folder), SEEDS[0])
    created.save_vote(5, SEEDS[1])
    created.close()
    opened = open_storage(folder)
    try:
        assert (opened.term, opened.voted_for) == (5, SEEDS[1])
    finally:
        opened.close()
