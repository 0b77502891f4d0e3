"""Faults of the soak whose events come in an order that is seldom drawn.

Coordinators are replaced and disks lost right after it; partitions of the
members of one group end one after the other; heads open late; limits change
while callers keep their connections.
"""

import asyncio
import contextlib
import json
import shutil
import signal
import time
import typing

import h11

from tests.platform import emulator
from tests.platform import faults

if typing.TYPE_CHECKING:
    from tests.platform import soak as soak_module

NEW_FAULTS = {
    "replace_coordinators",
    "part_groups",
    "open_late",
    "raise_limits",
}
CATCH_UP_S = 4.0
"""Time after which a successor counts."""
RECOVERY_S = 12.0
ADDRESS_STEP = 20
"""Distance between the numbers of a coordinator and of its successor."""
LIMIT_STEP_BYTES = 24_576
KEPT_CALLERS = 6
LISTEN_S = 5.0
APPLY_S = 3.0
"""Time after which gateways in contact obey an acknowledged change."""


@faults.fault
async def replace_coordinators(soak: "soak_module.Soak") -> None:
    """Replace coordinators in series; then one loses its disk.

    Does nothing if a fault hit any coordinator shortly before.
    """
    count = soak.random.choice([1, 1, 2])
    async with contextlib.AsyncExitStack() as stack:
        for coordinator in soak.coordinators:
            await stack.enter_async_context(coordinator.restart_lock)
        if not soak.may_lose_disk():
            return
        for _ in range(count):
            await _replace(soak, soak.random.choice(soak.coordinators))
        await asyncio.sleep(soak.random.choice([0.0, 0.2, 1.0, 1.6, 4.0]))
        lost = soak.random.choice(soak.coordinators)
        if soak.random.random() < 0.5:
            lost = await soak.find_leader() or lost
        await lost.end(signal.SIGKILL)
        shutil.rmtree(lost.folder / "data")
        await asyncio.sleep(soak.random.uniform(0.0, 2.0))
        await lost.start()
        await _check_answered(soak)


async def _replace(
    soak: "soak_module.Soak", removed: "soak_module.Program"
) -> None:
    number = int(removed.node.rpartition("-")[2]) + ADDRESS_STEP
    successor = type(removed)(soak, "coordinator", number)
    successor.bootstrap = False
    successor.last_fault_s = time.monotonic()
    await successor.start()
    await asyncio.sleep(CATCH_UP_S + soak.random.uniform(0.0, 2.0))
    position = soak.coordinators.index(removed)
    removed.is_removed = True
    await removed.end(soak.random.choice([signal.SIGTERM, signal.SIGKILL]))
    soak.coordinators[position] = successor
    soak.fleet.control[:] = soak.control
    successor.last_fault_s = time.monotonic()
    for program in (*soak.coordinators, *soak.gateways):
        path = program.folder / "boot.json"
        boot = json.loads(path.read_text())
        boot["seeds"] = soak.control[:3]
        path.write_text(json.dumps(boot))
        program.notify(signal.SIGHUP)


async def _check_answered(soak: "soak_module.Soak") -> None:
    """Record a violation if no coordinator answers a read for too long."""
    end_s = time.monotonic() + RECOVERY_S
    while await soak.find_leader() is None:
        if time.monotonic() > end_s:
            soak.invariants.record_violation(
                "accepted changes",
                f"nothing is read {RECOVERY_S} s after a disk was lost",
            )
            return
        await asyncio.sleep(0.2)


async def _set_cut(server: emulator.Server, *, is_cut: bool) -> None:
    """Cut a server from control and gateways; members see each other."""
    server.announcements_lost = is_cut
    if server.proxy is None:
        return
    if is_cut:
        server.proxy.block()
    else:
        await server.proxy.unblock()


@faults.fault
async def part_groups(soak: "soak_module.Soak") -> None:
    """Cut all members of a group off; the head returns last."""
    heads = [
        each
        for each in soak.engines
        if each.state == "open" and not each.rank and len(each.members) > 1
    ]
    if not heads or soak.is_parting:
        return
    soak.is_parting = True
    head = soak.random.choice(heads)
    members = [soak.fleet.servers.get(name) for name in head.members[1:]]
    cut = [head, *(each for each in members if each is not None)]
    for server in cut:
        await _set_cut(server, is_cut=True)
    await asyncio.sleep(soak.random.uniform(7.0, 9.0))
    for server in cut[1:]:
        await _set_cut(server, is_cut=False)
    await asyncio.sleep(soak.random.uniform(1.0, 5.0))
    await _set_cut(head, is_cut=False)
    soak.is_parting = False


@faults.fault
async def open_late(soak: "soak_module.Soak") -> None:
    """Let an order to open be carried out late, by a head that is cut off."""
    opened = asyncio.get_running_loop().create_future()

    def leave_unanswered(server: emulator.Server, order: dict) -> bool:
        if order["op"] != "open" or opened.done():
            return False
        opened.set_result((server, order))
        return True

    if soak.fleet.leaves_unanswered is not None:
        return
    soak.fleet.leaves_unanswered = leave_unanswered
    lost = soak.random.choice(soak.engines)
    if lost.is_alive:
        lost.crash()
    await asyncio.sleep(soak.random.uniform(0.3, 1.0))
    await lost.restart_if_down()
    try:
        async with asyncio.timeout(6.0):
            head, order = await opened
    except TimeoutError:
        return
    finally:
        soak.fleet.leaves_unanswered = None
    late_s = soak.random.uniform(1.8, 4.0)
    await asyncio.sleep(soak.random.uniform(0.0, 0.3))
    await _set_cut(head, is_cut=True)
    await asyncio.sleep(late_s)
    if head.is_alive:
        head.apply_order(order)
    await asyncio.sleep(soak.random.uniform(2.0, 5.0))
    await _set_cut(head, is_cut=False)


@faults.fault
async def raise_limits(soak: "soak_module.Soak") -> None:
    """Raise the limit on heads while callers keep their connections.

    Some of them connect to a gateway that has no configuration yet.
    """
    gateway = soak.random.choice(soak.gateways)
    if soak.random.random() < 0.5:
        async with gateway.restart_lock:
            await gateway.end(signal.SIGKILL)
            await gateway.start()
            callers = await _connect(soak, gateway)
    else:
        callers = await _connect(soak, gateway)
    limit = soak.limits.get("maxHeaderBytes", 16_384) + LIMIT_STEP_BYTES
    soak.limits = {"maxHeaderBytes": limit}
    raised = soak.acknowledged
    while soak.acknowledged < raised + 2 and not soak.stopping:
        await asyncio.sleep(0.1)
    await asyncio.sleep(APPLY_S)
    extra = [("x-context", "c" * (limit - 2_000))]
    for number, caller in enumerate(callers):
        request_id = f"{soak.seed}-large{number}-{time.monotonic()}"
        sent_s = time.monotonic()
        with contextlib.suppress(
            OSError, h11.RemoteProtocolError, TimeoutError
        ):
            answer, _ = await caller.request(
                "/u/x", request_id, extra=extra, body=b"{}"
            )
            soak.large_heads += 1
            if answer.status in (413, 431) and gateway.is_in_contact(sent_s):
                soak.invariants.record_violation(
                    "proper requests",
                    f"{request_id}: status {answer.status} at {gateway.node}",
                )
        caller.close()


async def _connect(
    soak: "soak_module.Soak", gateway: "soak_module.Program"
) -> list["soak_module.Caller"]:
    """Return callers with connections, some of which have been used."""
    callers = [soak.new_caller() for _ in range(KEPT_CALLERS)]
    end_s = time.monotonic() + LISTEN_S
    for number, caller in enumerate(callers):
        while caller.connection is None and time.monotonic() < end_s:
            await caller.open(gateway.address(soak.front_port))
            await asyncio.sleep(0.02)
        if number % 2:
            request_id = f"{soak.seed}-kept{number}-{time.monotonic()}"
            with contextlib.suppress(
                OSError, h11.RemoteProtocolError, TimeoutError
            ):
                await caller.request("/u/x", request_id)
    return callers
