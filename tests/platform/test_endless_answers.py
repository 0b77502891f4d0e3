"""Servers whose answers do not end, at a gateway that runs as a process."""

import asyncio
import contextlib
import time

import h11
import pytest

from tests import crowds
from tests.platform import soak
from tests.platform import test_hostile_callers

SERVERS = 6
CALLERS = 48
"""As many as the servers have slots."""
CROWD_S = 5.0
"""Shortest time for which callers press."""
MAX_CROWD_S = 60.0
"""Longest time until more requests than callers have reached servers, which
takes longer on a busy machine."""
HEADERS = b"X-Request-Id: %s\r\nX-Response-Seal: seal\r\n"
ENDLESS = {
    "head": (b"HTTP/1.1 200 OK\r\n", b"X-More: 1\r\n" * 6000),
    "body without a length": (
        b"HTTP/1.1 200 OK\r\n" + HEADERS + b"\r\n",
        b"x" * 65_536,
    ),
    "body of a long length": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n" + HEADERS + b"\r\n",
        b"x" * 65_536,
    ),
    "small chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        + HEADERS
        + b"\r\n",
        b"1\r\nx\r\n" * 10_000,
    ),
}


class EndlessServer:
    """Answers each request without end."""

    def __init__(self, start: bytes, repeated: bytes) -> None:
        self.start = start
        self.repeated = repeated
        self.requests = 0

    async def listen(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            found = head.lower().partition(b"x-request-id: ")[2]
            request_id = found.partition(b"\r\n")[0]
            start = self.start
            writer.write(start % request_id if b"%s" in start else start)
            while True:
                writer.write(self.repeated)
                await writer.drain()
        writer.transport.abort()


async def _call(deployment, endless, began_s: float) -> None:
    caller = soak.Caller()
    while _is_pressing(endless, time.monotonic() - began_s):
        if caller.connection is None:
            await caller.open(deployment.gateway.address(soak.FRONT_PORT))
        try:
            await caller.request("/u/x", f"id-{time.time_ns()}")
        except (OSError, h11.RemoteProtocolError, TimeoutError):
            caller.close()
            await asyncio.sleep(0.1)
    caller.close()


def _is_pressing(endless, pressed_s: float) -> bool:
    """Return whether the callers have not pressed enough yet."""
    if pressed_s < CROWD_S:
        return True
    reached = sum(each.requests for each in endless)
    return reached <= CALLERS and pressed_s < MAX_CROWD_S


async def _check(folder, name: str) -> None:
    deployment = test_hostile_callers.Deployment(folder)
    endless = []
    try:
        await deployment.start()
        (good,) = deployment.fleet.servers.values()
        for number in range(SERVERS):
            ip = f"127.{deployment.net}.3.{number + 2}"
            faulty = EndlessServer(*ENDLESS[name])
            await faulty.listen(f"{ip}:{soak.PROXY_PORT}")
            endless.append(faulty)
            server = await deployment.fleet.add(
                "desk", "d0", f"{ip}:{soak.ENGINE_PORT}"
            )
            server.announced = f"{ip}:{soak.PROXY_PORT}"
        good.crash()
        process = deployment.gateway.process
        usage = crowds.Usage(process.pid)
        watching = asyncio.create_task(usage.watch())
        began_s = time.monotonic()
        await asyncio.gather(
            *(_call(deployment, endless, began_s) for _ in range(CALLERS))
        )
        assert sum(each.requests for each in endless) > CALLERS
        await good.restart()
        end_s = time.monotonic() + test_hostile_callers.ANSWER_S
        while (status := await deployment.call()) != 200:
            assert time.monotonic() < end_s, f"status {status} afterwards"
            await asyncio.sleep(0.2)
        watching.cancel()
        print(f"\nmeasured {name}: {usage.memory_mb():.0f} MB")
        assert process.returncode is None, f"ended: {process.returncode}"
        assert usage.memory_mb() <= deployment.gateway.limits["memoryMb"]
    finally:
        for faulty in endless:
            faulty.server.close()
        await deployment.stop()


@pytest.mark.parametrize("name", sorted(ENDLESS))
def test_endless_answers_stay_within_the_memory(tmp_path, name):
    """Guards against a gateway whose memory faulty servers fill."""
    asyncio.run(_check(tmp_path, name))
