"""Faults of the soak in which gateways are stopped as planned."""

import asyncio
import contextlib
import signal
import time
import typing

import h11

from tests.platform import emulator
from tests.platform import faults

if typing.TYPE_CHECKING:
    from tests.platform import soak as soak_module

NEW_FAULTS = {"stop_in_series", "vary_paces", "hold_up"}
CALLERS = 8
HOLDS = 12
MAX_HOLD_S = 0.6
MAX_STOPS = 4
"""Gateways that one fault stops."""
LINK_S = 0.04
"""Latency of the links of some callers, in each direction."""
LISTEN_S = 1.0
"""Time within which a gateway that listens accepts a connection."""
READ_PAUSE_S = 0.08
"""Time between two reads of slow readers."""
PACES = (0.15, 0.5, 1.0, 2.5, 4.0, 5.4)
"""Factors with which streams take 0.1 s to the whole of their deadline."""
REPEATS = (
    (),
    (signal.SIGTERM,),
    (signal.SIGHUP,),
    (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
)
"""Further signals during a drain."""


@faults.fault
async def vary_paces(soak: "soak_module.Soak") -> None:
    """Let engines write at paces of their own for some seconds."""
    engines = list(soak.engines)
    for server in engines:
        server.slowness = soak.random.choice(PACES)
    await asyncio.sleep(soak.random.uniform(3.0, 9.0))
    for server in engines:
        server.slowness = 1.0


@faults.fault
async def hold_up(soak: "soak_module.Soak") -> None:
    """Let gateways not run for moments, as on a machine that is too busy.

    A caller cannot tell such a moment from work that takes long, so it excuses
    no cut.
    """
    for _ in range(HOLDS):
        program = soak.random.choice(soak.gateways)
        if not program.is_paused:
            program.last_fault_s = time.monotonic()
            program.notify(signal.SIGSTOP)
            await asyncio.sleep(soak.random.uniform(0.0, MAX_HOLD_S))
            if not program.is_paused:
                program.notify(signal.SIGCONT)
            program.last_fault_s = time.monotonic()
        await asyncio.sleep(soak.random.uniform(0.0, 0.3))


@faults.fault
async def stop_in_series(soak: "soak_module.Soak") -> None:
    """Stop gateways one after the other, under calls of many kinds."""
    links = {
        gateway.node: emulator.Proxy(
            f"127.{soak.net}.5.1:0", gateway.address(soak.front_port)
        )
        for gateway in soak.gateways
    }
    for link in links.values():
        await link.start()
        link.delay_s = LINK_S
    ended = asyncio.Event()
    callers = [
        asyncio.create_task(_call(soak, number, links, ended))
        for number in range(CALLERS)
    ]
    await asyncio.sleep(soak.random.uniform(0.2, 1.5))
    count = min(len(soak.gateways), MAX_STOPS)
    for gateway in soak.random.sample(soak.gateways, count):
        async with gateway.restart_lock:
            await _stop(soak, gateway)
            await gateway.start()
            if soak.random.random() < 0.3:
                # In any phase of its start, or in its first calls.
                await asyncio.sleep(soak.random.uniform(0.0, 2.0))
                await _stop(soak, gateway)
                await gateway.start()
    ended.set()
    await asyncio.gather(*callers)
    for link in links.values():
        await link.close()


async def _stop(
    soak: "soak_module.Soak", gateway: "soak_module.Program"
) -> None:
    stopping = asyncio.create_task(gateway.end(signal.SIGTERM))
    for number in soak.random.choice(REPEATS):
        await asyncio.sleep(soak.random.uniform(0.0, 2.0))
        gateway.notify(number)
    await stopping


async def _is_listening(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(LISTEN_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True


async def _call(
    soak: "soak_module.Soak",
    number: int,
    links: dict[str, emulator.Proxy],
    ended: asyncio.Event,
) -> None:
    """Make calls over a slow link, with slow reads, or without repetition.

    Every second caller leaves connections open until the gateway closes them.
    """
    caller = soak.new_caller()
    kind = number // 2 % 4
    if number % 2:
        caller.kept = []
    wide = ""
    if kind == 0:
        wide = f"-{emulator.WIDE}"
        caller.read_pause_s = READ_PAUSE_S
    count = 0
    while not ended.is_set() and not soak.stopping:
        count += 1
        if caller.connection is None:
            gateway = soak.random.choice(soak.gateways)
            address = gateway.address(soak.front_port)
            if kind == 1 and not await _is_listening(address):
                # The link would accept connections that nobody serves.
                await asyncio.sleep(0.05)
                continue
            await caller.open(
                links[gateway.node].bound() if kind == 1 else address
            )
            caller.gateway = address
            caller.link_s = LINK_S if kind == 1 else 0.0
        request_id = f"{soak.seed}-stop{id(ended)}-{number}-{count}{wide}"
        try:
            if kind == 2:
                await soak.call_once(caller, request_id)
            else:
                await soak.stream(caller, request_id)
        except (OSError, h11.RemoteProtocolError, TimeoutError):
            caller.close()
            await asyncio.sleep(0.05)
    caller.close()
    for writer in caller.kept or []:
        with contextlib.suppress(OSError):
            writer.close()
