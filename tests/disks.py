"""A disk on which a process, or its machine, fails at a chosen operation."""

import os
import pathlib
import stat
import types

from flamingocleat.process import storage


class CrashError(BaseException):
    """The process ends here; nothing of it may handle this."""


class FaultyDisk:
    """Counts the operations of the storage module and fails at one of them.

    Each write, sync, rename, removal and change of length is an operation. The
    one that fails is not carried out, but half of the bytes of a write are.
    Keeps what would outlast a loss of power: the bytes of each file as of its
    last sync, and the names of each folder as of the folder's last sync. A new
    file's name also outlasts once the file is synced.
    """

    def __init__(
        self, folder: pathlib.Path, fails_at: int | None = None
    ) -> None:
        self.folder = folder
        self.fails_at = fails_at
        self.count = 0
        self.synced: dict[int, bytes] = {}
        """Durable bytes of files, by inode."""
        self.names: dict[str, int] = {}
        """Durable names, with their inodes."""
        self.os = types.SimpleNamespace(**vars(os))
        for name in ("write", "fsync", "replace", "ftruncate"):
            setattr(self.os, name, getattr(self, name))

    def _begin(self) -> None:
        if self.count == self.fails_at:
            raise CrashError(f"operation {self.count}")
        self.count += 1

    def write(self, descriptor: int, data: bytes | memoryview) -> int:
        try:
            self._begin()
        except CrashError:
            os.write(descriptor, memoryview(data)[: len(data) // 2])
            raise
        return os.write(descriptor, data)

    def ftruncate(self, descriptor: int, length: int) -> None:
        self._begin()
        os.ftruncate(descriptor, length)

    def replace(self, source: pathlib.Path, target: pathlib.Path) -> None:
        self._begin()
        os.replace(source, target)

    def fsync(self, descriptor: int) -> None:
        self._begin()
        os.fsync(descriptor)
        status = os.fstat(descriptor)
        path = pathlib.Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        if stat.S_ISDIR(status.st_mode):
            if path == self.folder:
                self.names = {
                    each.name: each.stat().st_ino for each in path.iterdir()
                }
            return
        self.synced[status.st_ino] = path.read_bytes()
        if status.st_ino not in self.names.values():
            self.names.setdefault(path.name, status.st_ino)

    def lose_power(self) -> None:
        """Leave only what outlasts a loss of power."""
        kept = {
            name: self.synced.get(inode, b"")
            for name, inode in self.names.items()
        }
        for each in self.folder.iterdir():
            each.unlink()
        for name, data in kept.items():
            (self.folder / name).write_bytes(data)
        self.names = {
            each.name: each.stat().st_ino for each in self.folder.iterdir()
        }
        self.synced = {
            each.stat().st_ino: each.read_bytes()
            for each in self.folder.iterdir()
        }

    def use(self, monkeypatch) -> None:
        """Let the storage module use this disk."""
        monkeypatch.setattr(storage, "os", self.os)
