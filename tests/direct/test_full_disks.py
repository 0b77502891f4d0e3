"""Disks of voters that fill up and have room again."""

import asyncio
import contextlib
import errno
import os

from flamingocleat.connection import http
from flamingocleat.process import coordinator
from flamingocleat.process import shutdown
from flamingocleat.process import storage
from tests.direct import coordinators

FULL_S = 1.5
CHANGE_INTERVAL_S = 0.05
ACKNOWLEDGED_WITHIN_S = 4.0


class Disks:
    """Disks of voters; those that are full refuse each write."""

    def __init__(self, monkeypatch) -> None:
        self.full = ""
        """The folder whose disk is full."""
        self.write = os.write
        monkeypatch.setattr(storage.os, "write", self._write)

    def _write(self, descriptor: int, data) -> int:
        path = os.readlink(f"/proc/self/fd/{descriptor}")
        if self.full and path.startswith(self.full):
            raise OSError(errno.ENOSPC, "No space left on device")
        return self.write(descriptor, data)


class Programs(coordinators.Cluster):
    """Coordinator programs, which reopen their storage after a failed write."""

    def __init__(self, tmp_path, monkeypatch) -> None:
        super().__init__(tmp_path)
        self.shutdowns: list[shutdown.Shutdown] = []
        monkeypatch.setattr(
            shutdown.Shutdown,
            "install",
            lambda each: self.shutdowns.append(each),
        )
        monkeypatch.setattr(
            shutdown.Shutdown, "install_reload", lambda _self, _reload: None
        )
        self.tasks = [
            asyncio.create_task(
                coordinator.run(
                    lambda number=number: self.settings(number, bootstrap=True),
                    coordinators.PlainPlatform(),
                )
            )
            for number in (1, 2, 3)
        ]

    async def put_once(self, version: int) -> bool:
        """Send a change to each voter until one acknowledges it."""
        for number in (1, 2, 3):
            address = f"127.0.0.{number}:{self.http_port}"
            with contextlib.suppress(
                http.ConnectError, http.BrokenAnswerError, TimeoutError
            ):
                answer, _ = await http.request(
                    address,
                    "POST",
                    coordinators.DOCUMENT,
                    str(version).encode(),
                    timeout_s=1.0,
                )
                if answer.status == 200:
                    return True
        return False

    async def close(self) -> None:
        for each in self.shutdowns:
            each.requested.set()
        await asyncio.gather(*self.tasks)


def test_changes_are_acknowledged_after_disks_were_full_in_turn(
    tmp_path, monkeypatch
):
    """Each disk that has room again must count before the next one is full."""
    monkeypatch.setattr(coordinator, "SNAPSHOT_ENTRIES", 5)
    disks = Disks(monkeypatch)

    async def scenario() -> None:
        programs = Programs(tmp_path, monkeypatch)
        version = 0

        async def change_for(duration_s: float) -> bool:
            """Make changes; return whether the last one is acknowledged."""
            nonlocal version
            end_s = asyncio.get_running_loop().time() + duration_s
            acknowledged = False
            while asyncio.get_running_loop().time() < end_s:
                version += 1
                acknowledged = await programs.put_once(version)
                await asyncio.sleep(CHANGE_INTERVAL_S)
            return acknowledged

        await change_for(1.5)
        for number in (1, 2, 3, 1):
            disks.full = str(tmp_path / str(number))
            await change_for(FULL_S)
            disks.full = ""
            assert await change_for(ACKNOWLEDGED_WITHIN_S / 2)
        assert await change_for(0.5)
        assert not any(task.done() for task in programs.tasks)
        await programs.close()

    asyncio.run(scenario())
