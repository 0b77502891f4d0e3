"""Faults that a review of the ends of connections and answers has found."""

import asyncio
import itertools
import os
import signal
import socket
import threading
import time

import msgspec
import pytest

from flamingocleat.connection import codec
from flamingocleat.connection import http
from flamingocleat.connection import threaded
from tests import cluster as cluster_module
from tests.direct import support
from tests.direct import test_cut_answers as cut_answers
from tests.direct import test_endings as endings
from tests.direct import test_gateway_stop as stops
from tests.direct import test_waiting_requests as waiting

EVENTS = 600
EVENTS_AT_ONCE = 50
PADDING = b"x" * 4000


def large_event(server: bytes, number: int) -> bytes:
    """Return an event that names the server that wrote it."""
    return b"id: %d\ndata: %b %b\n\n" % (number, server, PADDING)


def send_large_events(server: bytes):
    """Return a script that sends large events without a pause."""

    async def script(received):
        first = int(received.headers.get("last-event-id", 0)) + 1
        await received.send_events(first, 0, end=False)
        for start in range(first, EVENTS + 1, EVENTS_AT_ONCE):
            numbers = range(start, min(start + EVENTS_AT_ONCE, EVENTS + 1))
            await received.send(
                b"".join(
                    support.chunk(large_event(server, number))
                    for number in numbers
                )
            )
        await received.send(b"0\r\n\r\n")

    return script


async def read_after_pause(program, pause_s: float) -> support.Reply:
    """Send a request for a stream; read its answer some time later."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    sock.setblocking(False)
    await loop.sock_connect(sock, ("127.0.0.1", program.port))
    await asyncio.sleep(0.05)
    (connection,) = program.program.server.connections
    connection.transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536
    )
    await loop.sock_sendall(sock, cut_answers.STREAM)
    await asyncio.sleep(pause_s)
    data = b""
    try:
        async with asyncio.timeout(support.TIMEOUT_S):
            while not data.endswith(b"\r\n0\r\n\r\n"):
                part = await loop.sock_recv(sock, 65_536)
                if not part:
                    break
                data += part
    except OSError:
        pass
    sock.close()
    return support.Reply(data)


def test_stream_is_whole_though_its_caller_does_not_read_for_a_moment(
    monkeypatch,
):
    """Guards against a sound answer that breaks since its caller pauses."""

    async def scenario(program):
        await program.add(send_large_events(b"first"), "llm")
        await program.add(send_large_events(b"second"), "llm")
        reply = await read_after_pause(program, 1.2)
        await program.stop()
        assert (reply.status, reply.is_complete) == (200, True)

    stops.run_scenario(monkeypatch, scenario)


def test_head_whose_only_caller_does_not_read_is_not_silent(monkeypatch):
    """Guards against second runs of streams that wait for their callers."""

    async def scenario(program):
        await program.add(send_large_events(b"first"), "llm")
        second = await program.add(send_large_events(b"second"), "llm")
        await read_after_pause(program, 1.2)
        await program.stop()
        assert not second.received

    stops.run_scenario(monkeypatch, scenario)


def test_server_whose_answer_was_taken_over_writes_no_further_event(
    monkeypatch,
):
    """Guards against answers whose events come from two servers in turn."""

    async def scenario(program):
        await program.add(send_large_events(b"first"), "llm")
        await program.add(send_large_events(b"second"), "llm")
        reply = await read_after_pause(program, 1.2)
        await program.stop()
        servers = [
            line.split(b" ")[1]
            for line in reply.body.split(b"\n")
            if line.startswith(b"data: ")
        ]
        changes = sum(a != b for a, b in itertools.pairwise(servers))
        assert changes <= 1

    stops.run_scenario(monkeypatch, scenario)


def test_closed_client_returns_nothing_that_it_has_received_before():
    """Guards against events of an attempt that was ended."""

    async def two_chunks(received):
        await received.send(
            received.response_head(200, "Transfer-Encoding: chunked")
            + support.chunk(b"one")
            + support.chunk(b"two")
        )
        await received.wait_until_closed()

    async def scenario(harness):
        backend = await harness.add(two_chunks)
        client = await http.Client.open(backend.address, 1.0)
        client.send(b"GET", b"/x", [(b"host", b"b")], b"")
        await client.answer()
        assert await client.read() == b"one"
        client.close()
        with pytest.raises(http.BrokenAnswerError, match="on this side"):
            await client.read()

    support.run_scenario(scenario)


async def pause(received):
    await received.send_events(1, 4, end=False)
    await received.wait_until_closed()


async def begin_stream(harness) -> asyncio.Task[support.Reply]:
    """Begin a stream at a head that pauses; add another head then."""
    first = await harness.add(pause, "llm")
    request = asyncio.create_task(harness.request("/stream/x", "POST"))
    while not first.received:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    await harness.add(pause, "llm")
    return request


def test_takeover_that_is_cancelled_before_it_runs_releases_its_slot():
    """Guards against slots that stay taken for good."""

    async def scenario(harness):
        request = await begin_stream(harness)
        (attempt,) = harness.candidate(0).attempts
        (connection,) = harness.server.connections
        # The wake-up of the serving task is due before the takeover's.
        connection.drop(http.intake_module.Reason.UNREAD)
        attempt.move()
        await asyncio.wait([request])
        await asyncio.sleep(0.1)
        assert [harness.candidate(n).in_flight for n in (0, 1)] == [0, 0]

    support.run_scenario(scenario)


def test_takeover_without_a_retry_left_takes_no_slots():
    """Guards against customers that are charged for slots they do not get."""

    async def scenario(harness):
        request = await begin_stream(harness)
        harness.budget.withdraw = lambda _name: False
        served = []
        harness.admission.order.record = lambda *each: served.append(each)
        (attempt,) = harness.candidate(0).attempts
        for _ in range(10):
            attempt.move()
        request.cancel()
        assert not served

    support.run_scenario(scenario)


def test_answer_that_is_not_sent_yet_is_not_cut_by_the_idle_limit():
    """Guards against a truncated answer to a caller that reads slowly."""
    body = b"x" * 14_000

    async def scenario(server):
        caller = await endings.leave_answer_unsent(server, body)
        await asyncio.sleep(0.5)
        await endings.receive(caller, body)

    waiting.run_scenario(scenario, idle_timeout_s=0.3)


def change_routes(monkeypatch, **changes) -> None:
    """Change all routes of the configuration."""
    routes = tuple(
        msgspec.structs.replace(each, **changes)
        for each in support.CATALOG.routes
    )
    monkeypatch.setattr(
        support,
        "CATALOG",
        msgspec.structs.replace(support.CATALOG, routes=routes),
    )


def test_resumed_stream_stays_at_a_head_that_reads_its_prompt(monkeypatch):
    """Guards against a begun answer that is given up for one that fails."""
    change_routes(monkeypatch, max_attempts=3, timeout_s=5.0)

    async def break_off(received):
        await received.send_events(1, 4, end=False)

    async def read_prompt(received):
        await asyncio.sleep(1.5)
        first = int(received.headers.get("last-event-id", 0)) + 1
        await received.send_events(first, 10)

    async def scenario(program):
        await program.add(break_off, "llm")
        await program.add(read_prompt, "llm")
        await program.add(cut_answers.refuse, "llm")
        reply = await program.request(
            "/stream/x", "POST", X_Request_Timeout_Ms="9000"
        )
        await program.stop()
        assert (reply.status, reply.is_complete) == (200, True)

    stops.run_scenario(monkeypatch, scenario)


def test_stream_without_an_event_stays_if_no_retry_is_left(monkeypatch):
    """Guards against a request that is given up and not sent again."""

    async def read_prompt(received):
        await asyncio.sleep(1.5)
        await received.send_events(1, 10)

    async def scenario(program):
        await program.add(read_prompt, "llm")
        await program.add(read_prompt, "llm")
        program.program.forwarder.budget.withdraw = lambda _name: False
        reply = await program.request("/stream/x", "POST")
        await program.stop()
        assert (reply.status, reply.is_complete) == (200, True)

    stops.run_scenario(monkeypatch, scenario)


def test_call_stays_at_its_server_if_no_retry_is_left():
    """Guards against a call that is given up and not sent again."""

    async def answer_late(received):
        await asyncio.sleep(0.25)
        await received.answer(b"done")

    async def scenario(harness):
        await harness.add(answer_late)
        await harness.add(answer_late)
        harness.budget.withdraw = lambda _name: False
        reply = await harness.request("/read/x")
        assert (reply.status, reply.body) == (200, b"done")

    support.run_scenario(scenario)


@pytest.mark.parametrize("breaks", [False, True])
def test_caller_that_leaves_ends_both_attempts_of_a_takeover(
    monkeypatch, breaks
):
    """Guards against servers that work on for callers that have left."""

    async def pause(received):
        await received.send_events(1, 4, end=False)
        if breaks:
            await asyncio.sleep(0.7)
            received.closed = True
            return
        await received.wait_until_closed()

    async def hang(received):
        await received.wait_until_closed()

    async def scenario(program):
        first = await program.add(pause, "llm")
        second = await program.add(hang, "llm")
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", program.port
        )
        writer.write(cut_answers.STREAM)
        await reader.readuntil(b"token 4\n\n")
        await asyncio.sleep(1.2)
        assert second.received
        writer.close()
        await asyncio.sleep(0.4)
        assert first.received[0].closed
        assert second.received[0].closed
        slots = [program.candidate(n).in_flight for n in (0, 1)]
        assert slots == [0, 0]
        await program.stop()

    stops.run_scenario(monkeypatch, scenario)


def test_grace_period_begins_with_the_signal_although_the_loop_stands_still(
    monkeypatch,
):
    """Guards against callers that are cut by the kill after a late drain."""
    before = {
        number: signal.getsignal(number)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    }

    async def run():
        program = stops.Gateway(2.0)
        await program.start()
        await program.add(stops.hang)
        request = asyncio.create_task(
            program.request("/read/x", X_Request_Timeout_Ms="9000")
        )
        await asyncio.sleep(0.2)
        signalled_s = time.monotonic()
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(1.2)
        reply = await request
        answered_s = time.monotonic() - signalled_s
        await program.running
        await program.close()
        assert reply.status == 504
        assert answered_s < 2.0

    change_routes(monkeypatch, timeout_s=9.0)
    try:
        asyncio.run(run())
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)


class SlowLink:
    """A link that sends one call after another, as its queue is full."""

    def __init__(self, bulk_s: float) -> None:
        self.bulk_s = bulk_s
        self.turn = asyncio.Lock()

    def wrap(self, call):
        async def transmit(kind, address, request, timeout_s):
            is_bulk = kind is codec.INSTALL_SNAPSHOT or (
                kind is codec.APPEND
                and bool(request.entries or request.packed_entries)
            )
            if address != "c":
                return await call(kind, address, request, timeout_s)
            async with asyncio.timeout(timeout_s):
                async with self.turn:
                    await asyncio.sleep(self.bulk_s if is_bulk else 0.001)
                return await call(kind, address, request, timeout_s)

        return transmit


def test_snapshot_that_fills_a_slow_link_arrives(tmp_path):
    """Guards against a snapshot that begins again and again."""

    async def scenario():
        async with cluster_module.running(tmp_path, 20) as cluster:
            await cluster.settled_leader()
            await cluster.kill("c")
            for base in range(150):
                await cluster.propose(
                    cluster_module.submission(f"c{base}", base)
                )
            link = SlowLink(1.5)
            for node in cluster.voters.values():
                node.call = link.wrap(node.call)
            await cluster.start("c")
            async with asyncio.timeout(15):
                await cluster.converge()

    asyncio.run(scenario())


def test_request_behind_a_long_one_is_answered_as_an_entry_stops():
    """Guards against a request that is closed unread behind an answer."""

    def answer(environ, start_response):
        if environ["PATH_INFO"] == "/slow":
            time.sleep(1.0)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = threaded.Server(("127.0.0.1", 0), answer, numthreads=4)
    server.prepare()
    serving = threading.Thread(target=server.serve)
    serving.start()
    stopping = threading.Thread(target=server.stop)
    caller = socket.create_connection(server.bind_addr, timeout=5.0)
    caller.sendall(b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
    time.sleep(0.2)
    caller.sendall(b"GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
    stopping.start()
    data = b""
    try:
        while part := caller.recv(4096):
            data += part
    except ConnectionResetError:
        pass
    finally:
        caller.close()
        stopping.join()
        serving.join()
    assert data.count(b"HTTP/1.1 200 OK") == 2
