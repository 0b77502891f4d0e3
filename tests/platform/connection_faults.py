"""Faults of the soak that concern callers' connections."""

import asyncio
import time
import typing

import h11

from tests.platform import faults

if typing.TYPE_CHECKING:
    from tests.platform import soak as soak_module

CROWD_FAULT = "crowd_connections"
NEW_FAULTS = {CROWD_FAULT, "close_sending_sides"}
CROWDED_LIMITS = {"maxFds": 400}
"""Limits with which a gateway accepts 136 connections."""
CROWD = 170
SPREAD_S = 3.0
"""Time within which the callers of a crowd connect."""
MAX_IDLE_S = 6.0
"""Time for which a caller of a crowd leaves its connection idle, at most."""
HALF_CLOSERS = 4
HALF_CLOSED_CALLS = 5


@faults.fault
async def crowd_connections(soak: "soak_module.Soak") -> None:
    """Keep a gateway at its bound on connections, most of them idle.

    Idle ones are ended for new ones while calls go on.
    """
    gateway = soak.random.choice(soak.gateways)
    address = gateway.address(soak.front_port)
    end_s = time.monotonic() + soak.random.uniform(4.0, 8.0)

    async def call(number: int) -> None:
        caller = soak.new_caller()
        count = 0
        # All at once would be more connections in use than the bound.
        await asyncio.sleep(soak.random.uniform(0.0, SPREAD_S))
        while time.monotonic() < end_s and not soak.stopping:
            count += 1
            if caller.connection is not None and caller.reader.at_eof():
                soak.answer_watch.counts["idle_ended"] += 1
                caller.close()
            if caller.connection is None:
                await caller.open(address)
            request_id = f"{soak.seed}-idle{number}-{end_s}-{count}"
            await _make_call(soak, caller, request_id, number % 4 == 0)
            rest_s = max(0.0, end_s - time.monotonic())
            idle_s = soak.random.uniform(0.0, MAX_IDLE_S)
            await asyncio.sleep(min(rest_s, idle_s))
        caller.close()

    await asyncio.gather(*(call(number) for number in range(CROWD)))


@faults.fault
async def close_sending_sides(soak: "soak_module.Soak") -> None:
    """Let callers close only their sending sides after whole requests."""

    async def call(number: int) -> None:
        caller = soak.new_caller()
        caller.half_closes = True
        for count in range(HALF_CLOSED_CALLS):
            gateway = soak.random.choice(soak.gateways)
            await caller.open(gateway.address(soak.front_port))
            request_id = f"{soak.seed}-half{number}-{time.monotonic()}-{count}"
            await _make_call(soak, caller, request_id, number % 2 == 0)
            caller.close()

    await asyncio.gather(*(call(number) for number in range(HALF_CLOSERS)))


async def _make_call(
    soak: "soak_module.Soak",
    caller: "soak_module.Caller",
    request_id: str,
    is_stream: bool,
) -> None:
    send = soak.stream if is_stream else soak.call_once
    try:
        await send(caller, request_id)
    except (OSError, h11.RemoteProtocolError, TimeoutError):
        caller.close()
        await asyncio.sleep(0.1)
