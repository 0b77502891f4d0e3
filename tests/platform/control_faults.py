"""Faults of the soak that concern control and its changes."""

import asyncio
import json
import signal
import sys
import time
import typing

from tests.platform import faults

if typing.TYPE_CHECKING:
    from tests.platform import soak as soak_module

NEW_FAULTS = {
    "split_voters",
    "kill_after_ack",
    "send_signals",
    "change_settings",
    "stall_disk",
    "press_processor",
}
BUSY_PROCESSES = 6


def _disturb(soak: "soak_module.Soak") -> None:
    for coordinator in soak.coordinators:
        coordinator.last_fault_s = time.monotonic()
        coordinator.disturbed_s.append(coordinator.last_fault_s)


@faults.fault
async def split_voters(soak: "soak_module.Soak") -> None:
    """Cut voters from each other; gateways and operators reach all.

    Does nothing during another split, as no majority might be left.
    """
    if any(link.dropped_directions for link in soak.voter_links.values()):
        return
    numbers = list(range(len(soak.coordinators)))
    cut_off = soak.random.sample(
        numbers, soak.random.randint(1, len(numbers) // 2)
    )
    leader = await soak.find_leader()
    if leader is not None and soak.random.random() < 0.7:
        cut_off[0] = soak.coordinators.index(leader)
    directions = soak.random.choice([{"up", "down"}, {"up"}, {"down"}])
    links = [
        link
        for (source, target), link in soak.voter_links.items()
        if (source in cut_off) != (target in cut_off)
    ]
    _disturb(soak)
    for link in links:
        link.dropped_directions = set(directions)
    await asyncio.sleep(soak.random.uniform(0.5, 9.0))
    for link in links:
        link.restore()
    _disturb(soak)


@faults.fault
async def kill_after_ack(soak: "soak_module.Soak") -> None:
    """Kill a coordinator as soon as it has acknowledged a change."""
    try:
        async with asyncio.timeout(3.0):
            await soak.config_watch.acknowledgement.wait()
    except TimeoutError:
        return
    ip = soak.config_watch.acknowledged_by.partition(":")[0]
    for coordinator in soak.coordinators:
        if coordinator.ip == ip and not coordinator.restart_lock.locked():
            async with coordinator.restart_lock:
                await coordinator.end(signal.SIGKILL)
                await asyncio.sleep(soak.random.uniform(0.0, 2.0))
                await coordinator.start()


@faults.fault
async def send_signals(soak: "soak_module.Soak") -> None:
    """Send signals in series, of which one ends the process."""
    program = soak.random.choice([*soak.coordinators, *soak.gateways])
    async with program.restart_lock:
        for number in soak.random.choices(
            (signal.SIGHUP, signal.SIGSTOP, signal.SIGCONT), k=4
        ):
            program.send(number)
            await asyncio.sleep(soak.random.uniform(0.0, 0.1))
        program.send(signal.SIGCONT)
        program.send(signal.SIGTERM)
        program.send(signal.SIGHUP)
        await program.end(signal.SIGTERM)
        await program.start()


@faults.fault
async def change_settings(soak: "soak_module.Soak") -> None:
    """Change the settings of all programs, some with a signal."""
    for program in soak.random.sample(
        [*soak.coordinators, *soak.gateways],
        len(soak.coordinators) + len(soak.gateways),
    ):
        path = program.folder / "boot.json"
        boot = json.loads(path.read_text())
        soak.random.shuffle(boot["seeds"])
        path.write_text(json.dumps(boot))
        if soak.random.random() < 0.7 and not program.restart_lock.locked():
            program.notify(signal.SIGHUP)
        await asyncio.sleep(soak.random.uniform(0.0, 0.1))


@faults.fault
async def stall_disk(soak: "soak_module.Soak") -> None:
    """Let each sync of one coordinator's disk take long."""
    coordinator = soak.random.choice(soak.coordinators)
    delay_s = soak.random.choice([0.05, 0.3, 2.0])
    coordinator.disk_delay.write_text(str(delay_s))
    end_s = time.monotonic() + soak.random.uniform(0.5, 4.0)
    while (now_s := time.monotonic()) < end_s + delay_s:
        coordinator.last_fault_s = now_s
        coordinator.disturbed_s.append(now_s)
        if now_s >= end_s:
            coordinator.disk_delay.unlink(missing_ok=True)
        await asyncio.sleep(0.05)


@faults.fault
async def press_processor(soak: "soak_module.Soak") -> None:
    """Keep processors busy with other work for a while."""
    work = "import time\nend = time.time() + 3\nwhile time.time() < end: pass"
    programs = [*soak.coordinators, *soak.gateways]
    for program in programs:
        program.last_fault_s = time.monotonic()
    busy = [
        await asyncio.create_subprocess_exec(sys.executable, "-c", work)
        for _ in range(BUSY_PROCESSES)
    ]
    await asyncio.gather(*(process.wait() for process in busy))
    for program in programs:
        program.last_fault_s = time.monotonic()
