"""Faults of the soak in which servers name a limit."""

import asyncio
import time
import typing

from tests.platform import emulator
from tests.platform import faults

if typing.TYPE_CHECKING:
    from tests.platform import soak as soak_module

NEW_FAULTS = {"name_limits"}
WINDOW_S = 4.0
OVERSHOOT, SLACK = 1.5, 5
CONTACT_S = 3.0
"""Time after the first limit from which on the bound holds."""
TOLD_S = 0.5
"""Time after which a gateway heeds a limit that it has passed on."""


@faults.fault
async def name_limits(soak: "soak_module.Soak") -> None:
    """Let half of the servers name limits, which move, for some seconds."""
    configured = [each for each in soak.servers if each.service != "other"]
    free = [each for each in configured if each.limit_per_s is None]
    chosen = soak.random.sample(free, min(len(free), len(configured) // 2))
    names = {server.name: server for server in chosen if server.is_alive}
    began_s = time.monotonic()
    highest = 0.0
    for server in names.values():
        server.limited_calls, server.limited_answers = [], []
    for _ in range(soak.random.randint(1, 3)):
        limit_per_s = soak.random.choice([0.0, 0.5, 1.0, 2.5, 6.0])
        highest = max(highest, limit_per_s)
        for name, server in names.items():
            if server.name == name:
                server.limit_per_s = limit_per_s
        await asyncio.sleep(soak.random.uniform(3.5, 5.0))
    for name, server in names.items():
        if server.name == name and server.limit_per_s is not None:
            server.limit_per_s = None
            _check(soak, server, began_s, highest)


def _check(
    soak: "soak_module.Soak",
    server: emulator.Server,
    began_s: float,
    highest_per_s: float,
) -> None:
    """Check the calls of gateways that were told and not disturbed."""
    addresses = {
        gateway.address(soak.front_port)
        for gateway in soak.gateways
        if not gateway.is_paused and gateway.last_fault_s < began_s
    }
    told_s: dict[str, float] = {}
    for at_s, request_id in server.limited_answers:
        told_s.setdefault(soak.gateway_of(request_id), at_s)
    first_s = min(told_s.values(), default=float("inf"))
    calls_s = [
        at_s
        for at_s, request_id in server.limited_calls
        if (address := soak.gateway_of(request_id)) in addresses
        and at_s > told_s.get(address, float("inf")) + TOLD_S
        and at_s > first_s + CONTACT_S
    ]
    soak.limits_checked += 1
    allowed = OVERSHOOT * WINDOW_S * highest_per_s + SLACK
    for number, from_s in enumerate(calls_s):
        count = sum(at_s < from_s + WINDOW_S for at_s in calls_s[number:])
        if count > allowed:
            soak.invariants.record_violation(
                "limits hold",
                f"{server.name}: {count} calls in {WINDOW_S} s, "
                f"{from_s - began_s:.2f} s after it named up to "
                f"{highest_per_s}; {allowed} are allowed",
            )
            return
