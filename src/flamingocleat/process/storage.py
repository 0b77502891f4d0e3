"""Durable storage for the vote, log and snapshot of one voter.

Each record is a header (payload length, CRC of the payload, CRC of these two
fields; little-endian 32-bit) followed by a MessagePack payload. The header
has its own CRC because a corrupt length would otherwise make acknowledged
records look like a torn (partially written) tail.
"""

import fcntl
import os
import pathlib
import struct
import typing
import zlib

import msgspec

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.process import logs

_log = logs.logger("storage")

_HEADER = struct.Struct("<III")
_FORMAT = "flamingocleat-voter-1"
IDENTITY_FILE = "voter"
"""Written last when a folder is created: marks the folder as complete."""
_VOTE_FILE = "vote"
_LOG_FILE = "log"
_SNAPSHOT_FILE = "snapshot"
_LOCK_FILE = "lock"
_TEMPORARY_SUFFIX = ".tmp"

_encoder = msgspec.msgpack.Encoder()


class Identity(msgspec.Struct, frozen=True):
    """Identifies a data folder and the voter that owns it."""

    format: str
    voter: ids.VoterId
    first_voters: tuple[str, ...] = ()
    """Addresses of all voters, if this one was created with its cluster."""


class Vote(msgspec.Struct, frozen=True):
    """Latest term and the candidate voted for in it, or an empty string."""

    term: int = 0
    voted_for: ids.VoterId = ids.VoterId("")


class Snapshot(msgspec.Struct, frozen=True):
    """State after applying the entry at index, which has the given term."""

    index: int = 0
    term: int = 0
    data: bytes = b""


class LogStart(msgspec.Struct, frozen=True):
    """First record of the log file: position of the entry preceding the log.

    Without it, a missing snapshot or an emptied log file would look like
    the state of a new voter.
    """

    index: int = 0
    term: int = 0


class Storage:
    """A voter's durable state; each write returns after fsync.

    Not thread-safe: calls must not overlap. After a failed write the object
    refuses further writes, since the file's content is unknown until it is
    read again.
    """

    def __init__(self, folder: str, lock: typing.BinaryIO) -> None:
        self.folder = pathlib.Path(folder)
        self.lock = lock
        self.broken = ""
        """Message of the failed write; empty if all writes succeeded."""
        identity = self._read_record_file(IDENTITY_FILE, Identity)
        if identity.format != _FORMAT:
            raise errors.StorageError(
                f"{self.folder / IDENTITY_FILE}: format is "
                f"{identity.format!r}, expected {_FORMAT!r}"
            )
        self.voter = identity.voter
        self.first_voters = identity.first_voters
        self.vote = self._read_record_file(_VOTE_FILE, Vote)
        self.snapshot = Snapshot()
        if (self.folder / _SNAPSHOT_FILE).exists():
            self.snapshot = self._read_record_file(_SNAPSHOT_FILE, Snapshot)
        self.entries: list[messages.LogEntry] = []
        self.offsets: list[int] = []
        self.end = 0
        log_start = self._read_log()
        self.file = _open_log(self.folder)
        try:
            os.fsync(self.file.fileno())
            self._finish_compaction(log_start)
        except BaseException:
            self.file.close()
            raise

    @classmethod
    def create(
        cls,
        folder: str,
        voter: ids.VoterId,
        first_voters: tuple[str, ...] = (),
    ) -> "Storage":
        """Create and open a data folder; raise StorageError if not empty.

        Args:
            folder: The folder.
            voter: Id of the voter that owns it.
            first_voters: Addresses of all voters, if their cluster is new.
        """
        path = pathlib.Path(folder)
        path.mkdir(parents=True, exist_ok=True)
        if any(path.iterdir()):
            raise errors.StorageError(
                f"{folder} is not empty; a new voter needs a new folder"
            )
        _fsync_folder(path.parent)
        _replace_file(
            path, _LOG_FILE, encode_record(_encoder.encode(LogStart()))
        )
        _replace_file(path, _VOTE_FILE, encode_record(_encoder.encode(Vote())))
        # Written last, so that open refuses a folder that a crash left
        # incomplete.
        identity = Identity(_FORMAT, voter, first_voters)
        _replace_file(
            path, IDENTITY_FILE, encode_record(_encoder.encode(identity))
        )
        return cls.open(folder)

    @classmethod
    def open(cls, folder: str) -> "Storage":
        """Open an existing data folder, or raise StorageError."""
        path = pathlib.Path(folder)
        if not (path / IDENTITY_FILE).is_file():
            raise errors.StorageError(
                f"{folder} is not the data folder of a voter; create one "
                "with flamingocleat-control --init and a new voter id"
            )
        lock = _lock_folder(path)
        try:
            # A process that was killed may have left names and entries that
            # are read here, but would not outlast a loss of power.
            _fsync_folder(path)
            for leftover in path.glob(f"*{_TEMPORARY_SUFFIX}"):
                leftover.unlink()
            return cls(folder, lock)
        except BaseException as error:
            lock.close()
            if isinstance(error, OSError):
                raise errors.StorageError(f"{folder}: {error}") from error
            raise

    @property
    def term(self) -> int:
        """Latest saved term."""
        return self.vote.term

    @property
    def voted_for(self) -> ids.VoterId:
        """Candidate voted for in that term, or an empty string."""
        return self.vote.voted_for

    @property
    def last_index(self) -> int:
        """Index of the last entry on disk, or of the snapshot."""
        return self.snapshot.index + len(self.entries)

    @property
    def is_unused(self) -> bool:
        """Whether the voter has neither voted nor stored anything."""
        return not (self.voted_for or self.last_index)

    def save_vote(self, term: int, voted_for: ids.VoterId) -> None:
        """Replace the saved term and vote."""
        with self._guard_write():
            vote = Vote(term, voted_for)
            _replace_file(
                self.folder, _VOTE_FILE, encode_record(_encoder.encode(vote))
            )
            self.vote = vote

    def append(self, entries: typing.Sequence[messages.LogEntry]) -> None:
        """Append entries after the last one, with a single fsync."""
        if not entries:
            return
        self._check_order(entries)
        records = [encode_record(_encoder.encode(entry)) for entry in entries]
        with self._guard_write():
            _write_all(self.file.fileno(), b"".join(records))
            os.fsync(self.file.fileno())
            for entry, record in zip(entries, records, strict=True):
                self.entries.append(entry)
                self.offsets.append(self.end)
                self.end += len(record)

    def truncate(self, from_index: int) -> None:
        """Remove the entry at from_index and all later ones."""
        position = from_index - self.snapshot.index - 1
        if position < 0:
            raise ValueError(f"entry {from_index} is part of the snapshot")
        if position >= len(self.entries):
            return
        with self._guard_write():
            os.ftruncate(self.file.fileno(), self.offsets[position])
            os.fsync(self.file.fileno())
            self.end = self.offsets[position]
            del self.entries[position:]
            del self.offsets[position:]

    def save_snapshot(self, index: int, term: int, data: bytes) -> None:
        """Replace the snapshot and drop the entries that it covers.

        Entries after index are kept if the entry at index has this term.
        Otherwise they conflict with the snapshot and are all dropped.
        """
        if index < self.snapshot.index:
            raise ValueError(f"snapshot {index} precedes {self.snapshot.index}")
        with self._guard_write():
            snapshot = Snapshot(index, term, data)
            payload = _encoder.encode(snapshot)
            _replace_file(self.folder, _SNAPSHOT_FILE, encode_record(payload))
            kept = self._entries_to_keep(self.snapshot.index, snapshot)
            self.snapshot = snapshot
            self._rewrite_log(kept)

    def close(self) -> None:
        """Close the files and release the lock on the folder."""
        self.file.close()
        self.lock.close()

    def _guard_write(self) -> "_WriteGuard":
        return _WriteGuard(self)

    def _check_order(self, entries: typing.Sequence[messages.LogEntry]) -> None:
        for expected, entry in enumerate(entries, self.last_index + 1):
            if entry.index != expected:
                raise ValueError(
                    f"entry {entry.index} given, {expected} expected"
                )

    def _entries_to_keep(
        self, start: int, snapshot: Snapshot
    ) -> list[messages.LogEntry]:
        """Return the entries to keep; self.entries begin after index start."""
        position = snapshot.index - start
        if position == 0:
            return list(self.entries)
        if position > len(self.entries):
            return []
        if self.entries[position - 1].term != snapshot.term:
            return []
        return self.entries[position:]

    def _rewrite_log(self, kept: list[messages.LogEntry]) -> None:
        start = LogStart(self.snapshot.index, self.snapshot.term)
        records = [
            encode_record(_encoder.encode(item)) for item in (start, *kept)
        ]
        _replace_file(self.folder, _LOG_FILE, b"".join(records))
        self.file.close()
        self.file = _open_log(self.folder)
        self.entries = kept
        self.offsets = []
        self.end = len(records[0])
        for record in records[1:]:
            self.offsets.append(self.end)
            self.end += len(record)

    def _finish_compaction(self, log_start: LogStart) -> None:
        """Drop log entries left by a crash after the snapshot was replaced."""
        if log_start.index > self.snapshot.index:
            raise errors.StorageError(
                f"{self.folder / _LOG_FILE}: offset 0: log starts after "
                f"entry {log_start.index}, but the snapshot ends at "
                f"{self.snapshot.index}"
            )
        if log_start.index < self.snapshot.index:
            kept = self._entries_to_keep(log_start.index, self.snapshot)
            self._rewrite_log(kept)

    def _read_record_file(self, name: str, record_type: type) -> typing.Any:
        path = self.folder / name
        data = _read_file(path)
        payload, end = _parse_record(path, data, 0)
        if payload is None or end != len(data):
            raise errors.StorageError(
                f"{path}: offset {min(end, len(data))}: "
                "file does not hold exactly one complete record"
            )
        return _decode_record(path, 0, payload, record_type)

    def _read_log(self) -> LogStart:
        path = self.folder / _LOG_FILE
        data = _read_file(path)
        payload, offset = _parse_record(path, data, 0)
        if payload is None:
            raise errors.StorageError(f"{path}: offset 0: no complete record")
        log_start = _decode_record(path, 0, payload, LogStart)
        while offset < len(data):
            payload, end = _parse_record(path, data, offset)
            if payload is None:
                self._remove_torn_tail(path, offset, len(data))
                break
            entry = _decode_record(path, offset, payload, messages.LogEntry)
            expected = log_start.index + len(self.entries) + 1
            if entry.index != expected:
                raise errors.StorageError(
                    f"{path}: offset {offset}: entry {entry.index} found, "
                    f"{expected} expected"
                )
            self.entries.append(entry)
            self.offsets.append(offset)
            offset = end
        self.end = offset
        return log_start

    def _remove_torn_tail(
        self, path: pathlib.Path, offset: int, size: int
    ) -> None:
        logs.warning(
            _log,
            "torn_tail_removed",
            file=path,
            offset=offset,
            bytes=size - offset,
        )
        with path.open("r+b") as file:
            os.ftruncate(file.fileno(), offset)
            os.fsync(file.fileno())


class _WriteGuard:
    """Converts OSError to StorageError; blocks writes after any error."""

    def __init__(self, storage: Storage) -> None:
        self.storage = storage

    def __enter__(self) -> None:
        if self.storage.broken:
            raise errors.StorageError(self.storage.broken)

    def __exit__(
        self, kind: object, error: BaseException | None, traceback: object
    ) -> None:
        if error is None:
            return
        # After a failed fsync the kernel may have dropped the dirty pages, so
        # a later successful fsync would not prove that they are on disk.
        self.storage.broken = f"{self.storage.folder}: write failed: {error}"
        if isinstance(error, OSError):
            raise errors.StorageError(self.storage.broken) from error


def encode_record(payload: bytes) -> bytes:
    """Return a record: the payload preceded by its header."""
    length_and_crc = struct.pack("<II", len(payload), zlib.crc32(payload))
    header_crc = struct.pack("<I", zlib.crc32(length_and_crc))
    return length_and_crc + header_crc + payload


def _parse_record(
    path: pathlib.Path, data: bytes, offset: int
) -> tuple[bytes | None, int]:
    """Return the payload at offset and its end; None if incomplete."""
    start = offset + _HEADER.size
    if start > len(data):
        return None, len(data)
    header = data[offset:start]
    if not any(header) and not any(data[offset:]):
        # Some file systems extend a file before writing its data, which
        # leaves zeros after a crash.
        return None, len(data)
    length, payload_crc, header_crc = _HEADER.unpack(header)
    if zlib.crc32(header[:8]) != header_crc:
        raise errors.StorageError(
            f"{path}: offset {offset}: record header has a bad CRC"
        )
    end = start + length
    if end > len(data):
        return None, len(data)
    payload = data[start:end]
    if zlib.crc32(payload) != payload_crc:
        raise errors.StorageError(
            f"{path}: offset {offset}: record has a bad CRC"
        )
    return payload, end


def _decode_record(
    path: pathlib.Path, offset: int, payload: bytes, record_type: type
) -> typing.Any:
    try:
        return msgspec.msgpack.decode(payload, type=record_type)
    except msgspec.MsgspecError as error:
        raise errors.StorageError(
            f"{path}: offset {offset}: not a {record_type.__name__}: {error}"
        ) from error


def _read_file(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise errors.StorageError(f"{path}: offset 0: {error}") from error


def _open_log(folder: pathlib.Path) -> typing.Any:
    return (folder / _LOG_FILE).open("ab", buffering=0)


def _lock_folder(folder: pathlib.Path) -> typing.BinaryIO:
    file = (folder / _LOCK_FILE).open("ab")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        file.close()
        raise errors.StorageError(
            f"{folder} is in use by another process"
        ) from error
    return file


def _replace_file(folder: pathlib.Path, name: str, data: bytes) -> None:
    """Replace a file atomically: a crash leaves the old or new content."""
    temporary = folder / (name + _TEMPORARY_SUFFIX)
    with temporary.open("wb", buffering=0) as file:
        _write_all(file.fileno(), data)
        os.fsync(file.fileno())
    os.replace(temporary, folder / name)
    _fsync_folder(folder)


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def _fsync_folder(folder: pathlib.Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
