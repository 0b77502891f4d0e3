"""Storage keeps acknowledged data in a crash and detects damaged files."""

import os
import pathlib
import shutil
import tempfile

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.process import storage

_VOTER = ids.VoterId("a")


def _entries(first: int, count: int, term: int = 1):
    return [
        messages.LogEntry(index, term, b"command %d" % index)
        for index in range(first, first + count)
    ]


class Crash(BaseException):
    """Raised by the simulated disk in place of a power cut."""


class SimulatedDisk:
    """Replaces `os`; tracks synced data and can lose the rest."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.synced: dict[int, bytes] = {}
        self.renamed: dict[str, bytes | None] = {}
        self.calls_left = -1
        self.partial = 0

    def __getattr__(self, name):
        return getattr(os, name)

    def count_down(self) -> None:
        if self.calls_left == 0:
            raise Crash
        self.calls_left -= 1

    def write(self, descriptor, data):
        if self.calls_left == 0:
            os.write(descriptor, data[: self.partial % (len(data) + 1)])
        self.count_down()
        return os.write(descriptor, data)

    def ftruncate(self, descriptor, size):
        self.count_down()
        os.ftruncate(descriptor, size)

    def fsync(self, descriptor):
        self.count_down()
        path = pathlib.Path(f"/proc/self/fd/{descriptor}")
        if path.is_dir():
            self.renamed.clear()
        else:
            self.synced[os.fstat(descriptor).st_ino] = path.read_bytes()

    def replace(self, source, target):
        self.count_down()
        if target.name not in self.renamed:
            self.renamed[target.name] = self.synced_content(target)
        if target.exists():
            self.synced.pop(target.stat().st_ino, None)
        os.replace(source, target)

    def synced_content(self, path: pathlib.Path) -> bytes | None:
        if not path.exists():
            return None
        return self.synced.get(path.stat().st_ino, b"")

    def lose_unsynced(self, keep_renames, tail: int) -> None:
        """Leave the files as a power cut could leave them."""
        contents: dict[str, bytes | None] = {}
        for path in self.folder.iterdir():
            synced, present = self.synced_content(path), path.read_bytes()
            if present.startswith(synced):
                synced = present[: len(synced) + tail]
            contents[path.name] = synced
            if path.name in self.renamed and not keep_renames:
                contents[path.name] = self.renamed[path.name]
        for name, content in contents.items():
            (self.folder / name).unlink()
            if content is not None:
                (self.folder / name).write_bytes(content)


class StorageMachine(stateful.RuleBasedStateMachine):
    """Compares the storage with a model, with crashes at any system call."""

    def __init__(self) -> None:
        super().__init__()
        self.folder = pathlib.Path(tempfile.mkdtemp()) / "data"
        self.folder.mkdir()
        self.disk = SimulatedDisk(self.folder)
        storage.os = self.disk
        self.storage = storage.Storage.create(str(self.folder), _VOTER)
        self.vote = storage.Vote()
        self.snapshot = storage.Snapshot()
        self.entries: list[messages.LogEntry] = []
        self.term = 1

    def teardown(self) -> None:
        storage.os = os
        self.storage.close()
        shutil.rmtree(self.folder.parent)

    def last_index(self) -> int:
        return self.snapshot.index + len(self.entries)

    def stored_state(self):
        opened = self.storage
        return opened.vote, opened.snapshot, opened.entries

    def run_with_crash(
        self, operation, after, crash_at: int, tail: int, keep_renames: bool
    ):
        """Run an operation that may crash, and check the stored state."""
        before = (self.vote, self.snapshot, list(self.entries))
        allowed = [after]
        self.disk.calls_left = crash_at
        self.disk.partial = tail
        try:
            operation()
        except Crash:
            allowed.append(before)
            if after[2][: len(before[2])] == before[2]:
                allowed += [
                    (*after[:2], after[2][:n])
                    for n in range(len(before[2]), len(after[2]))
                ]
            self.reopen(keep_renames, tail)
        self.disk.calls_left = -1
        assert self.stored_state() in allowed
        self.vote, self.snapshot, entries = self.stored_state()
        self.entries = list(entries)

    def reopen(self, keep_renames: bool, tail: int) -> None:
        self.storage.close()
        self.disk.calls_left = -1
        self.disk.lose_unsynced(keep_renames, tail)
        self.disk = SimulatedDisk(self.folder)
        for path in self.folder.iterdir():
            self.disk.synced[path.stat().st_ino] = path.read_bytes()
        storage.os = self.disk
        self.storage = storage.Storage.open(str(self.folder))

    faults = {
        "crash_at": strategies.integers(-1, 7),
        "tail": strategies.integers(0, 200),
        "keep_renames": strategies.booleans(),
    }

    @stateful.rule(term=strategies.integers(0, 3), **faults)
    def save_vote(self, term, crash_at, tail, keep_renames):
        vote = storage.Vote(self.vote.term + term, _VOTER)
        self.run_with_crash(
            lambda: self.storage.save_vote(vote.term, vote.voted_for),
            (vote, self.snapshot, self.entries),
            crash_at,
            tail,
            keep_renames,
        )

    @stateful.rule(count=strategies.integers(1, 4), **faults)
    def append(self, count, crash_at, tail, keep_renames):
        self.term += 1
        added = _entries(self.last_index() + 1, count, self.term)
        self.run_with_crash(
            lambda: self.storage.append(added),
            (self.vote, self.snapshot, self.entries + added),
            crash_at,
            tail,
            keep_renames,
        )

    @stateful.precondition(lambda self: self.entries)
    @stateful.rule(data=strategies.data(), **faults)
    def truncate(self, data, crash_at, tail, keep_renames):
        index = data.draw(
            strategies.integers(self.snapshot.index + 1, self.last_index())
        )
        kept = self.entries[: index - self.snapshot.index - 1]
        self.run_with_crash(
            lambda: self.storage.truncate(index),
            (self.vote, self.snapshot, kept),
            crash_at,
            tail,
            keep_renames,
        )

    @stateful.rule(
        data=strategies.data(), conflicts=strategies.booleans(), **faults
    )
    def save_snapshot(self, data, conflicts, crash_at, tail, keep_renames):
        index = data.draw(
            strategies.integers(self.snapshot.index, self.last_index() + 2)
        )
        position = index - self.snapshot.index - 1
        kept: list[messages.LogEntry] = []
        term = self.term + 1
        if position == -1:
            term, kept = self.snapshot.term, self.entries
        elif position < len(self.entries) and not conflicts:
            term = self.entries[position].term
            kept = self.entries[position + 1 :]
        snapshot = storage.Snapshot(index, term, b"state %d" % index)
        self.run_with_crash(
            lambda: self.storage.save_snapshot(index, term, snapshot.data),
            (self.vote, snapshot, kept),
            crash_at,
            tail,
            keep_renames,
        )

    @stateful.rule(
        tail=strategies.integers(0, 200), keep_renames=strategies.booleans()
    )
    def power_cut(self, tail, keep_renames):
        """A power cut between operations must lose nothing."""
        self.reopen(keep_renames, tail)
        assert self.stored_state() == (self.vote, self.snapshot, self.entries)


TestStorageMachine = StorageMachine.TestCase
TestStorageMachine.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=20
)


def _filled(path: pathlib.Path) -> pathlib.Path:
    folder = path / "data"
    created = storage.Storage.create(str(folder), _VOTER)
    created.save_vote(3, _VOTER)
    created.append(_entries(1, 3))
    created.save_snapshot(3, 1, b"state")
    created.append(_entries(4, 5))
    created.close()
    return folder


def test_recovers_a_log_cut_at_any_byte(tmp_path):
    """A log that a crash cut short must open with its complete records.

    Entries that are appended later must not be lost with the torn tail.
    """
    folder = _filled(tmp_path)
    data = (folder / "log").read_bytes()
    start = storage._encoder.encode(storage.LogStart(3, 1))
    ends = [len(storage.encode_record(start))]
    for entry in _entries(4, 5):
        record = storage.encode_record(storage._encoder.encode(entry))
        ends.append(ends[-1] + len(record))
    assert ends[-1] == len(data)
    for size in range(ends[0], len(data) + 1):
        (folder / "log").write_bytes(data[:size])
        opened = storage.Storage.open(str(folder))
        count = sum(end <= size for end in ends) - 1
        assert opened.entries == _entries(4, count)
        opened.append(_entries(4 + count, 1))
        opened.close()
        reopened = storage.Storage.open(str(folder))
        assert reopened.entries == _entries(4, count + 1)
        reopened.close()


@pytest.mark.parametrize("name", ["voter", "vote", "snapshot", "log"])
def test_refuses_a_flipped_byte(tmp_path, name):
    """Corruption must not be taken for a torn tail.

    A corrupt length can look like one, and acknowledged records would be cut
    off.
    """
    folder = _filled(tmp_path)
    data = (folder / name).read_bytes()
    for position in range(len(data)):
        damaged = bytearray(data)
        damaged[position] ^= 0x41
        (folder / name).write_bytes(damaged)
        with pytest.raises(errors.StorageError) as error_info:
            storage.Storage.open(str(folder)).close()
        assert f"{folder / name}: offset " in str(error_info.value)


def test_cuts_zeros_off_the_end(tmp_path):
    """Zeros at the end of the log must be cut off like a torn tail.

    They appear if a crash comes after the file was extended and before its data
    was written.
    """
    folder = _filled(tmp_path)
    with (folder / "log").open("ab") as file:
        file.write(bytes(100))
    opened = storage.Storage.open(str(folder))
    assert opened.entries == _entries(4, 5)
    opened.close()


def test_refuses_to_create_an_existing_folder(tmp_path):
    """A data folder must not be created over an existing one.

    The voter would forget its votes.
    """
    folder = _filled(tmp_path)
    with pytest.raises(errors.StorageError):
        storage.Storage.create(str(folder), _VOTER)


@pytest.mark.parametrize("name", ["voter", "vote", "log", "snapshot"])
def test_refuses_a_folder_that_lacks_a_file(tmp_path, name):
    """A folder that lacks a file must be refused.

    A voter that lost its disk would start with an empty log.
    """
    folder = _filled(tmp_path)
    (folder / name).unlink()
    with pytest.raises(errors.StorageError):
        storage.Storage.open(str(folder))
    with pytest.raises(errors.StorageError):
        storage.Storage.open(str(tmp_path / "absent"))


def test_refuses_an_emptied_log(tmp_path):
    """An empty log file must not be taken for a torn tail.

    The voter would start without its acknowledged entries.
    """
    folder = _filled(tmp_path)
    (folder / "log").write_bytes(b"")
    with pytest.raises(errors.StorageError):
        storage.Storage.open(str(folder))


def test_refuses_a_second_process(tmp_path):
    """Two processes on one folder would overwrite each other's log."""
    folder = _filled(tmp_path)
    opened = storage.Storage.open(str(folder))
    with pytest.raises(errors.StorageError):
        storage.Storage.open(str(folder))
    opened.close()


def test_refuses_to_write_after_a_failed_sync(tmp_path, monkeypatch):
    """Storage must refuse writes after a failed fsync.

    A later fsync may succeed although the pages of the first were lost.
    """
    opened = storage.Storage.open(str(_filled(tmp_path)))

    def fail(descriptor):
        raise OSError("no space left")

    with monkeypatch.context() as patch:
        patch.setattr(storage.os, "fsync", fail)
        with pytest.raises(errors.StorageError):
            opened.append(_entries(9, 1))
    with pytest.raises(errors.StorageError):
        opened.append(_entries(9, 1))
    opened.close()
