"""Servers whose bytes are no answer and do not end until they are cut off."""

import asyncio
import contextlib
import time

import pytest

from flamingocleat.connection import http
from tests.direct import support

MAX_WAIT_S = 1.5
"""Half of the time that callers allow."""
ROUTES = ["/read/x", "/once/x", "/stream/x", "/fixed/x"]
STREAMS = ["/stream/x", "/fixed/x"]


class EndlessServer:
    """Sends a start and then the same bytes until the peer disconnects."""

    def __init__(self, start: bytes, repeated: bytes, pause_s: float) -> None:
        self.start = start
        self.repeated = repeated
        self.pause_s = pause_s
        self.sent_bytes = 0
        self.is_cut_off = asyncio.Event()

    async def __call__(self, received: support.ReceivedRequest) -> None:
        request_id = received.headers.get("x-request-id", "").encode()
        with contextlib.suppress(OSError):
            await received.send(self.start.replace(b"REQUEST", request_id))
            while True:
                await received.send(self.repeated)
                self.sent_bytes += len(self.repeated)
                await asyncio.sleep(self.pause_s)
        self.is_cut_off.set()


def head(status: int, *headers: str) -> bytes:
    lines = [
        f"HTTP/1.1 {status} Status",
        "X-Request-Id: REQUEST",
        "Flamingocleat-Proof: seal",
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


HEADS = {
    "bytes": (b"", b"\x16\x03\x01 no protocol"),
    "blank lines": (b"", b"\r\n"),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X-More: 1\r\n"),
    "one header": (b"HTTP/1.1 200 OK\r\nX-Long: ", b"x" * 64),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
}
BODIES = {
    "no length": (head(200), b"x" * 4096),
    "a length": (head(200, f"Content-Length: {10**15}"), b"x" * 4096),
    "chunks": (head(200, "Transfer-Encoding: chunked"), b"1\r\nx\r\n" * 512),
    "a chunk size": (head(200, "Transfer-Encoding: chunked"), b"1"),
    "a chunk extension": (
        head(200, "Transfer-Encoding: chunked") + b"1;",
        b"x",
    ),
    "trailers": (
        head(200, "Transfer-Encoding: chunked") + b"0\r\n",
        b"X-More: 1\r\n",
    ),
}
EVENTS = {
    "no event": b"x" * 512,
    "comments": b": x\n\n",
    "blank lines": b"\n\n\n\n",
}


async def check(harness, server: EndlessServer, path: str) -> support.Reply:
    """Check that a call ends soon and that the server is cut off."""
    began_s = time.monotonic()
    reply = await harness.request(path)
    assert time.monotonic() - began_s < MAX_WAIT_S
    async with asyncio.timeout(MAX_WAIT_S):
        await server.is_cut_off.wait()
    attempts = 2
    socket_buffers = 2**20
    limit = http.MAX_ANSWER_BYTES + socket_buffers
    assert server.sent_bytes <= attempts * limit
    return reply


def run_call(path: str, start: bytes, repeated: bytes, pause_s: float) -> None:
    """Check a call whose server is endless, then one with a good server."""

    async def scenario(harness):
        service = "llm" if path in STREAMS else "desk"
        server = EndlessServer(start, repeated, pause_s)
        await harness.add(server, service=service)
        reply = await check(harness, server, path)
        assert reply.status in (502, 503)
        assert harness.candidate(0).is_avoided(time.monotonic())

        async def answer(received):
            if path in STREAMS:
                await received.send_events(1, 3)
            else:
                await received.answer(b"done")

        await harness.add(answer, service=service)
        reply = await harness.request(path)
        assert (reply.status, reply.is_complete) == (200, True)

    support.run_scenario(scenario)


@pytest.mark.parametrize("path", ROUTES)
@pytest.mark.parametrize("name", HEADS)
def test_endless_head_is_cut_off(path, name):
    run_call(path, *HEADS[name], pause_s=0)


@pytest.mark.parametrize("path", ["/read/x", "/once/x"])
@pytest.mark.parametrize("name", BODIES)
def test_endless_body_is_cut_off(path, name):
    run_call(path, *BODIES[name], pause_s=0)


@pytest.mark.parametrize("path", STREAMS)
@pytest.mark.parametrize("pause_s", [0, 0.05])
@pytest.mark.parametrize("name", EVENTS)
def test_endless_bytes_in_a_stream_are_cut_off(path, pause_s, name):
    start = head(200, "Content-Type: text/event-stream")
    run_call(path, start, EVENTS[name], pause_s)


@pytest.mark.parametrize("pause_s", [0, 0.05])
def test_endless_events_without_ids_are_cut_off(pause_s):
    """Only a stream that may be resumed needs ids."""
    start = head(200, "Content-Type: text/event-stream")
    run_call("/stream/x", start, b"data: x\n\n", pause_s)


@pytest.mark.parametrize("path", STREAMS)
@pytest.mark.parametrize("pause_s", [0, 0.05])
def test_endless_failure_of_a_stream_is_cut_off(path, pause_s):
    run_call(path, head(500), b"x" * 64, pause_s)


@pytest.mark.parametrize("path", STREAMS)
@pytest.mark.parametrize("pause_s", [0, 0.05])
def test_one_event_again_and_again_is_cut_off(path, pause_s):
    """The first event may have reached the caller, who gets no second."""

    async def scenario(harness):
        start = head(200, "Content-Type: text/event-stream")
        event = support.event(7)
        server = EndlessServer(start, event, pause_s)
        await harness.add(server, service="llm")
        call = asyncio.create_task(harness.request(path))
        async with asyncio.timeout(MAX_WAIT_S):
            await server.is_cut_off.wait()
        reply = await call
        assert reply.body.count(event) <= 1
        assert reply.status != 200 or not reply.is_complete

    support.run_scenario(scenario)


def test_comments_within_a_stream_reach_the_caller():
    """They may keep the caller's connection open during a pause."""

    async def scenario(harness):
        async def answer(received):
            await received.send_events(1, 1, end=False)
            await received.send(support.chunk(b": wait\n\n"))
            await received.send(support.chunk(support.event(2)))
            await received.send(b"0\r\n\r\n")

        await harness.add(answer, service="llm")
        reply = await harness.request("/stream/x")
        expected = support.event(1) + b": wait\n\n" + support.event(2)
        assert (reply.body, reply.is_complete) == (expected, True)

    support.run_scenario(scenario)


def test_stream_goes_on_elsewhere_after_endless_bytes():
    """No byte that is not part of an event may reach the caller."""

    async def scenario(harness):
        start = head(200, "Content-Type: text/event-stream")
        start += support.event(1) + support.event(2)
        server = EndlessServer(start, b"x" * 512, 0)
        await harness.add(server, service="llm")

        async def answer(received):
            first = int(received.headers.get("last-event-id", 0)) + 1
            await received.send_events(first, 5)

        await harness.add(answer, service="llm")
        reply = await check(harness, server, "/stream/x")
        expected = b"".join(support.event(number) for number in range(1, 6))
        assert (reply.status, reply.body) == (200, expected)
        assert reply.is_complete

    support.run_scenario(scenario)


@pytest.mark.parametrize("name", [*HEADS, *BODIES])
def test_endless_answer_to_an_order_ends_with_its_timeout(name):
    start, repeated = {**HEADS, **BODIES}[name]

    async def run():
        server = EndlessServer(start, repeated, 0)
        backend = support.Backend(server)
        address = await backend.start()
        began_s = time.monotonic()
        with pytest.raises((http.BrokenAnswerError, TimeoutError)):
            await http.request(
                address,
                "POST",
                "/",
                b"{}",
                timeout_s=0.6,
                max_body_bytes=http.MAX_SHORT_ANSWER_BYTES,
            )
        assert time.monotonic() - began_s < 1.0
        await asyncio.wait_for(server.is_cut_off.wait(), MAX_WAIT_S)
        limit = http.MAX_SHORT_ANSWER_BYTES
        assert server.sent_bytes <= 2**20 + 2 * limit
        backend.server.close()

    asyncio.run(run())
