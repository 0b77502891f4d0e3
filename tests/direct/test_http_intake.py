"""Requests inside the limits are served, and refusals reach their callers."""

import asyncio
import contextlib

import pytest

from flamingocleat.connection import http
from flamingocleat.connection import intake as intake_module
from flamingocleat.version import catalog

LIMITS = catalog.Limits()
SMALL = intake_module.Settings(
    body_bytes=1_000_000,
    small_bytes=400_000,
    answer_bytes=1_000_000,
    max_connections=8,
)
LARGE = b"x" * LIMITS.max_body_bytes
TIMEOUT_S = 20.0


class Harness:
    """A server that answers with the length of each body."""

    def __init__(self, settings: intake_module.Settings) -> None:
        self.server = http.Server(self._handle, settings=settings)
        self.served = 0
        self.go_on = asyncio.Event()
        self.go_on.set()

    async def _handle(self, exchange: http.Exchange) -> None:
        await self.go_on.wait()
        self.served += 1
        size = int(exchange.header(b"answer-bytes") or 0)
        body = b"a" * size or str(len(exchange.body)).encode()
        await exchange.respond(200, [], body)

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        port = self.server.listener.sockets[0].getsockname()[1]
        return await asyncio.open_connection("127.0.0.1", port)

    async def send(self, *parts: bytes, pause_s: float = 0.0) -> bytes:
        """Send parts as a caller does that first writes all; return all."""
        reader, writer = await self.connect()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                with contextlib.suppress(ConnectionError):
                    for part in parts:
                        writer.write(part)
                        await writer.drain()
                        await asyncio.sleep(pause_s)
                return await reader.read()
        finally:
            writer.close()


def head(*fields: str) -> bytes:
    lines = ["POST /x HTTP/1.1", "Host: h", "Connection: close", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def whole(body: bytes) -> tuple[bytes, bytes]:
    return head(f"Content-Length: {len(body)}"), body


def chunk(data: bytes) -> bytes:
    return b"%x\r\n" % len(data) + data + b"\r\n"


def run(scenario, settings=SMALL):
    async def play() -> None:
        harness = Harness(settings)
        await harness.server.start("127.0.0.1:0")
        try:
            await scenario(harness)
        finally:
            await harness.server.close()

    asyncio.run(play())


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_largest_body_is_served(framing):
    """Guards against bounds that keep out a request inside the limits.

    The room is smaller than the body, which is then taken alone.
    """

    async def scenario(harness):
        parts = whole(LARGE)
        if framing == "chunks":
            size = 100_000
            chunks = [
                chunk(LARGE[first : first + size])
                for first in range(0, len(LARGE), size)
            ]
            parts = (head("Transfer-Encoding: chunked"), *chunks, b"0\r\n\r\n")
        answer = await harness.send(*parts)
        assert answer.endswith(b"\r\n\r\n" + str(len(LARGE)).encode())

    run(scenario)


def test_slow_body_is_served_without_overload():
    """Guards against a least rate that applies while there is room."""

    async def scenario(harness):
        body = b"x" * 100_000
        parts = [
            body[first : first + 10_000] for first in range(0, 100_000, 10_000)
        ]
        answer = await harness.send(
            head("Content-Length: 100000"), *parts, pause_s=0.3
        )
        assert answer.endswith(b"100000")

    run(scenario)


def test_many_small_requests_share_a_connection():
    """Guards against pauses in reading that never end."""

    async def scenario(harness):
        reader, writer = await harness.connect()
        request = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n"
        count = 500

        async def send() -> None:
            for _ in range(count):
                writer.write(request + b"x" * 900)
                await writer.drain()

        sending = asyncio.create_task(send())
        async with asyncio.timeout(TIMEOUT_S):
            for _ in range(count):
                assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
                assert await reader.readexactly(3) == b"900"
        await sending
        writer.close()
        assert harness.served == count

    run(scenario)


def test_waiting_body_is_served_when_room_is_free():
    """Guards against a body that waits although there is room again."""

    async def scenario(harness):
        harness.go_on.clear()
        body = b"x" * 700_000
        sending = [
            asyncio.create_task(harness.send(*whole(body))) for _ in range(3)
        ]
        await asyncio.sleep(0.3)
        assert harness.server.intake.body_used == len(body)
        harness.go_on.set()
        for answer in await asyncio.gather(*sending):
            assert answer.endswith(b"700000")

    run(scenario)


def test_refused_body_gets_its_answer(monkeypatch):
    """Guards against a reset before the caller could read its refusal.

    The caller writes its whole body before it reads. It is told that it may
    try again, and the request has not run.
    """
    monkeypatch.setattr(intake_module, "ROOM_WAIT_S", 0.3)

    async def scenario(harness):
        harness.go_on.clear()
        first = asyncio.create_task(harness.send(*whole(b"x" * 900_000)))
        await asyncio.sleep(0.2)
        refusal = await harness.send(*whole(LARGE))
        assert b" 503 " in refusal.partition(b"\r\n")[0]
        assert b"retry-after" in refusal.lower()
        harness.go_on.set()
        assert (await first).endswith(b"900000")
        assert harness.served == 1

    run(scenario)


def test_too_large_body_gets_its_answer():
    """Guards against a reset before the caller could read the 413."""

    async def scenario(harness):
        answer = await harness.send(*whole(LARGE + b"x"))
        assert b" 413 " in answer.partition(b"\r\n")[0]
        assert harness.served == 0

    run(scenario)


def test_connection_beyond_the_bound_is_told(monkeypatch):
    """Guards against callers that are cut off without an answer.

    All other connections are busy, so none makes way.
    """

    async def scenario(harness):
        harness.go_on.clear()
        busy = [
            asyncio.create_task(harness.send(*whole(b"y")))
            for _ in range(SMALL.max_connections)
        ]
        await asyncio.sleep(0.3)
        refusal = await harness.send(*whole(b"x"))
        assert b" 503 " in refusal.partition(b"\r\n")[0]
        harness.go_on.set()
        for answer in await asyncio.gather(*busy):
            assert b" 200 " in answer.partition(b"\r\n")[0]
        assert harness.served == SMALL.max_connections

    run(scenario)


def test_each_caller_of_a_burst_beyond_the_bound_is_answered():
    """Guards against requests that are reset unread as a burst is refused."""
    burst = 2 * intake_module.REFUSING_CONNECTIONS

    async def scenario(harness):
        harness.go_on.clear()
        busy = [
            asyncio.create_task(harness.send(*whole(b"y")))
            for _ in range(SMALL.max_connections)
        ]
        await asyncio.sleep(0.3)
        refusals = await asyncio.gather(
            *(harness.send(*whole(b"x")) for _ in range(burst)),
            return_exceptions=True,
        )
        harness.go_on.set()
        await asyncio.gather(*busy)
        statuses = [
            each.partition(b"\r\n")[0] if isinstance(each, bytes) else each
            for each in refusals
        ]
        assert statuses == [b"HTTP/1.1 503 "] * burst

    run(scenario)


def test_silent_connection_makes_way():
    """Guards against silent connections that keep ordinary callers out."""

    async def scenario(harness):
        silent = [await harness.connect() for _ in range(20)]
        answer = await harness.send(*whole(b"xyz"))
        assert answer.endswith(b"3")
        assert len(harness.server.connections) <= SMALL.max_connections
        for _, writer in silent:
            writer.close()

    run(scenario)


def test_unread_answers_are_bounded():
    """Guards against answers that callers request and do not read."""

    async def scenario(harness):
        writers = []
        for _ in range(6):
            reader, writer = await harness.connect()
            writer.transport.pause_reading()
            writer.write(head("Content-Length: 0", "Answer-Bytes: 9000000"))
            writers.append(writer)
            await asyncio.sleep(0.1)
        assert harness.server.intake.refused[intake_module.Reason.UNREAD]
        assert (await harness.send(*whole(b"xyz"))).endswith(b"3")
        for writer in writers:
            writer.transport.abort()

    run(scenario)


def test_body_does_not_live_on_in_errors():
    """Guards against bodies that wait for the garbage collector.

    An error refers to the frames that it passed through. In a cycle it lives
    until the collector runs, which does not count the bytes that it holds: a
    gateway of 120 MB held 460 MB of refused bodies.
    """
    errors = []

    async def scenario(harness):
        async def refuse(exchange):
            try:
                raise ValueError(len(exchange.body))
            except ValueError as error:
                errors.append(error)
            await exchange.respond(404, [])

        harness.server.handle = refuse
        assert b" 404 " in await harness.send(*whole(LARGE))

    run(scenario)
    assert errors[0].args == (len(LARGE),)
    frame = errors[0].__traceback__.tb_frame
    assert frame.f_locals["exchange"].body == b""
