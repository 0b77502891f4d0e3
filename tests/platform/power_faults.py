"""Faults of the soak in which programs lose power, and disks their content."""

import asyncio
import contextlib
import pathlib
import shutil
import signal
import typing

from tests.platform import faults

if typing.TYPE_CHECKING:
    from tests.platform import soak as soak_module

NEW_FAULTS = {"lose_power"}
ACKNOWLEDGE_S = 3.0
"""Time to wait for an acknowledged change."""
MAX_DELAY_S = 0.3
"""Time after an acknowledgement within which the power is lost."""
MAX_OFF_S = 1.0


@faults.fault
async def lose_power(soak: "soak_module.Soak") -> None:
    """Let all programs lose power shortly after a change was acknowledged.

    What was not synced is gone. In some cases one coordinator loses its disk at
    the same moment; none does while a disk may not be filled again.
    """
    try:
        async with asyncio.timeout(ACKNOWLEDGE_S):
            await soak.config_watch.acknowledgement.wait()
    except TimeoutError:
        return
    await asyncio.sleep(soak.random.choice([0.0, MAX_DELAY_S]))
    programs = [*soak.coordinators, *soak.gateways]
    async with contextlib.AsyncExitStack() as stack:
        for program in programs:
            await stack.enter_async_context(program.restart_lock)
        lost = None
        if soak.may_lose_disk() and soak.random.random() < 0.5:
            lost = soak.random.choice(soak.coordinators)
        await asyncio.gather(
            *(program.end(signal.SIGKILL) for program in programs)
        )
        for coordinator in soak.coordinators:
            if coordinator is lost:
                shutil.rmtree(coordinator.folder / "data")
                coordinator.synced.unlink(missing_ok=True)
            else:
                _drop_unsynced(coordinator)
        await asyncio.sleep(soak.random.uniform(0.0, MAX_OFF_S))
        for program in programs:
            await program.start()


def _drop_unsynced(coordinator: "soak_module.Program") -> None:
    """Cut each file to what its last sync covered."""
    synced: dict[int, int] = {}
    if coordinator.synced.exists():
        for line in coordinator.synced.read_text().splitlines():
            inode, size = line.split()
            synced[int(inode)] = int(size)
    for path in pathlib.Path(coordinator.folder / "data").rglob("*"):
        status = path.stat()
        if path.is_file() and status.st_size > synced.get(status.st_ino, 0):
            with open(path, "r+b") as file:
                file.truncate(synced.get(status.st_ino, 0))
