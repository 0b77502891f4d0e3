"""Requests and answers in progress as a rule ends their connections."""

import asyncio
import contextlib
import socket
import threading
import time

import pytest

from flamingocleat.connection import endings
from flamingocleat.connection import http
from flamingocleat.connection import intake as intake_module
from tests.direct import support
from tests.direct import test_cut_answers as cut_answers
from tests.direct import test_gateway_stop as stops
from tests.direct import test_waiting_requests as waiting

REQUEST = waiting.REQUEST
STATUS_LINE = waiting.STATUS_LINE


def test_request_is_answered_whose_head_arrives_before_its_limit():
    """Guards against a limit of the head that wins over its last bytes."""

    async def scenario(server):
        caller = server.connect()
        caller.send(REQUEST[:20])
        await asyncio.sleep(0.05)
        caller.send(REQUEST[20:])
        time.sleep(0.3)
        assert await waiting.read(caller) == STATUS_LINE

    waiting.run_scenario(scenario, header_timeout_s=0.2)


def test_request_is_answered_whose_body_arrives_before_its_limit(monkeypatch):
    """Guards against a limit of the body that wins over its last bytes."""
    monkeypatch.setattr(http, "BODY_TIMEOUT_S", 0.2)

    async def scenario(server):
        caller = server.connect()
        caller.send(
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab"
        )
        await asyncio.sleep(0.05)
        caller.send(b"cd")
        time.sleep(0.3)
        assert await waiting.read(caller) == STATUS_LINE

    waiting.run_scenario(scenario)


@pytest.mark.parametrize("steps", range(6))
def test_connection_being_set_up_is_answered_as_a_coordinator_stops(steps):
    """Guards against a drain that misses what asyncio has just accepted."""

    async def scenario(server):
        caller = server.connect()
        caller.send(REQUEST)
        for _ in range(steps):
            await asyncio.sleep(0)
        server.http.draining = True
        server.http.close_listener()
        await server.http.drain(time.monotonic() + 0.5)
        await server.http.close()
        assert await waiting.read(caller) == STATUS_LINE

    waiting.run_scenario(scenario)


def test_idle_connections_make_way_behind_new_ones_with_requests():
    """Guards against a burst that is refused although connections are idle."""
    bound, burst = 60, 3 * http.ACCEPTED_AT_ONCE

    async def scenario(server):
        for _ in range(bound):
            caller = server.connect()
            caller.send(REQUEST)
            await waiting.read(caller)
        callers = [server.connect() for _ in range(burst)]
        for caller in callers:
            caller.send(REQUEST)
        answers = await asyncio.gather(*map(waiting.read, callers))
        assert answers == [STATUS_LINE] * burst

    waiting.run_scenario(
        scenario, intake_module.Settings(max_connections=bound)
    )


def test_stream_of_a_group_that_finishes_its_work_survives_a_pause(monkeypatch):
    """Guards against a planned close of a group that cuts a paused stream.

    The leader closes a group with its work to be finished if a member drains
    or another model needs its VMs.
    """

    async def scenario(program):
        paused = await program.add(cut_answers.pause_after_an_event, "llm")
        request = await cut_answers.begin_stream(program, paused)
        await asyncio.sleep(0.1)
        await program.add(cut_answers.refuse, "llm")
        program.candidates.discard([program.candidate(0).view.backend])
        reply = await request
        assert (reply.status, reply.is_complete) == (200, True)
        await program.stop()

    stops.run_scenario(monkeypatch, scenario)


def test_close_at_a_stop_leaves_time_for_the_refusal_of_a_turned_away_caller():
    """Guards against a close that overtakes the answer of a full server."""

    async def scenario(server):
        release = asyncio.Event()

        async def hold(exchange):
            await release.wait()
            await exchange.respond(200, [], b"done")

        server.http.handle = hold
        server.connect().send(REQUEST)
        await asyncio.sleep(0.05)
        server.connect()
        await asyncio.sleep(0.05)
        (turned_away,) = (
            each for each in server.http.connections if each.account.closed
        )
        server.http.close_idle()
        assert not turned_away.transport.is_closing()

    waiting.run_scenario(scenario, intake_module.Settings(max_connections=1))


def test_request_behind_another_is_answered_at_a_stop():
    """Guards against a close after the first of two requests that were read."""

    async def scenario(server):
        release = asyncio.Event()

        async def hold(exchange):
            await release.wait()
            await exchange.respond(200, [], b"done")

        server.http.handle = hold
        caller = server.connect()
        caller.send(REQUEST * 2)
        await asyncio.sleep(0.3)
        draining = asyncio.create_task(server.drain())
        await asyncio.sleep(0.05)
        release.set()
        await draining
        answers = b""
        while data := await asyncio.get_running_loop().sock_recv(caller, 4096):
            answers += data
        assert answers.count(STATUS_LINE) == 2

    waiting.run_scenario(scenario)


def test_request_that_arrives_as_an_answer_ends_is_served_at_a_stop():
    """Guards against a close after an answer that did not announce it."""

    async def scenario(server):
        release = asyncio.Event()

        async def answer(exchange):
            exchange.start(200, [(b"content-length", b"4")])
            await release.wait()
            await exchange.send(b"done")
            await exchange.finish()
            if not sent.is_set():
                sent.wait(1.0)
                time.sleep(0.3)  # The event loop stands still.

        def ask_again():
            caller.setblocking(True)
            while b"done" not in caller.recv(1000):
                pass
            caller.sendall(REQUEST)
            caller.setblocking(False)
            sent.set()

        server.http.handle = answer
        sent = threading.Event()
        caller = server.connect()
        caller.send(REQUEST)
        await asyncio.sleep(0.1)
        thread = threading.Thread(target=ask_again)
        thread.start()
        draining = asyncio.create_task(server.drain())
        await asyncio.sleep(0.1)
        release.set()
        await draining
        thread.join()
        assert await waiting.read(caller) == STATUS_LINE

    waiting.run_scenario(scenario)


def test_caller_that_reads_slowly_gets_its_answer_while_others_are_refused():
    """Guards against progress that is not seen before the buffer is empty."""
    body = b"x" * 200_000

    async def scenario(server):
        async def answer(exchange):
            exchange.connection.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
            )
            await exchange.respond(200, [], body)

        async def press():
            while True:
                server.connect().send(REQUEST)
                await asyncio.sleep(0.2)

        server.http.handle = answer
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        server.callers.enter_context(caller)
        caller.connect(server.address)
        caller.setblocking(False)
        caller.send(REQUEST)
        await asyncio.sleep(0.05)
        pressing = asyncio.create_task(press())
        received = 0
        loop = asyncio.get_running_loop()
        try:
            while received < len(body):
                data = await loop.sock_recv(caller, 2048)
                assert data
                received += len(data)
                await asyncio.sleep(0.05)
        finally:
            pressing.cancel()

    waiting.run_scenario(scenario, intake_module.Settings(max_connections=1))


async def leave_answer_unsent(server, body: bytes) -> socket.socket:
    """Return a caller that has read nothing of an answer with this body."""

    async def answer(exchange):
        exchange.connection.transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
        )
        await exchange.respond(200, [], body)

    server.http.handle = answer
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    server.callers.enter_context(caller)
    caller.connect(server.address)
    caller.setblocking(False)
    caller.send(REQUEST)
    await asyncio.sleep(0.05)
    (connection,) = server.http.connections
    assert connection.transport.get_write_buffer_size()
    return caller


async def receive(caller: socket.socket, body: bytes) -> None:
    """Read an answer until its body has come."""
    loop = asyncio.get_running_loop()
    received = b""
    async with asyncio.timeout(waiting.TIMEOUT_S):
        while not received.endswith(body):
            data = await loop.sock_recv(caller, 65_536)
            assert data
            received += data


def test_connection_with_an_answer_that_is_not_sent_yet_does_not_make_way():
    """Guards against a truncated answer at the bound on connections."""
    body = b"x" * 14_000

    async def scenario(server):
        caller = await leave_answer_unsent(server, body)
        server.connect().send(REQUEST)
        await asyncio.sleep(0.05)
        await receive(caller, body)

    waiting.run_scenario(scenario, intake_module.Settings(max_connections=1))


def test_check_of_progress_goes_on_after_a_connection_was_refused():
    """Guards against a log call that ends the checks of stalled callers."""
    errors = []

    async def scenario(server):
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        server.connect().send(REQUEST)
        await asyncio.sleep(0.05)
        server.connect().send(REQUEST)
        await asyncio.sleep(2 * intake_module.CHECK_INTERVAL_S)

    waiting.run_scenario(scenario, intake_module.Settings(max_connections=1))
    assert [context["message"] for context in errors] == []


def test_stop_ends_soon_although_a_caller_sends_half_a_body():
    """Guards against one caller that makes each stop take its whole time."""

    async def scenario(server):
        server.connect().send(
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab"
        )
        await asyncio.sleep(0.05)
        began_s = time.monotonic()
        await server.drain()
        assert time.monotonic() - began_s < waiting.DRAIN_S / 2

    waiting.run_scenario(scenario)


PARTS = 8
PART_INTERVAL_S = 0.25


def send_slowly(caller: socket.socket) -> None:
    """Send a request whose body takes longer than a stalled one may."""
    caller.send(b"POST /x HTTP/1.1\r\nHost: h\r\n")
    caller.send(f"Content-Length: {PARTS}\r\n\r\n".encode())
    for _ in range(PARTS):
        time.sleep(PART_INTERVAL_S)
        with contextlib.suppress(OSError):
            caller.send(b"x")


@pytest.mark.parametrize("pause_s", [0.0, 0.3, 0.6])
def test_body_that_arrives_slowly_is_answered_at_a_stop(pause_s):
    """Guards against a refusal of a request whose bytes keep arriving."""

    async def scenario(server):
        caller = server.connect()
        thread = threading.Thread(target=send_slowly, args=(caller,))
        thread.start()
        await asyncio.sleep(0.05)
        draining = asyncio.create_task(server.drain())
        while not draining.done():
            time.sleep(pause_s)  # The event loop stands still.
            await asyncio.sleep(waiting.POLL_S)
        thread.join()
        assert await waiting.read(caller) == STATUS_LINE

    waiting.run_scenario(scenario)


def test_pause_of_the_event_loop_does_not_count_as_a_stall():
    """Guards against a refusal for which only the time has passed."""
    detector = endings.StallDetector()
    phase = intake_module.Phase.BODY
    actions = [
        detector.check(phase, 1, now_s, is_waiting=False)
        for now_s in (0.0, 10.0, 10.01, 10.02, 20.0, 30.0, 30.1)
    ]
    assert actions == [None] * len(actions)
    assert detector.check(phase, 1, 40.0, is_waiting=False) is not None


def test_body_that_waits_for_room_is_answered_at_a_stop():
    """Guards against a refusal of a caller that this process holds up."""
    size = intake_module.FREE_BODY_BYTES + 1
    head = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n" % size

    async def scenario(server):
        release = asyncio.Event()

        async def hold(exchange):
            await release.wait()
            await exchange.respond(200, [], b"done")

        server.http.handle = hold
        first = server.connect()
        first.send(head + b"\r\n")
        await asyncio.get_running_loop().sock_sendall(first, b"x" * size)
        await asyncio.sleep(0.05)
        second = server.connect()
        second.send(head + b"Expect: 100-continue\r\n\r\n")
        await asyncio.sleep(0.05)
        assert server.http.intake.queue
        draining = asyncio.create_task(server.drain())
        await asyncio.sleep(1.5)
        release.set()
        assert await waiting.read(second) == b"HTTP/1.1 100 "
        await asyncio.get_running_loop().sock_sendall(second, b"x" * size)
        assert await waiting.read(second) == STATUS_LINE
        await draining

    waiting.run_scenario(scenario, intake_module.Settings(body_bytes=size))


def test_half_an_event_of_a_silent_head_ends_no_takeover(monkeypatch):
    """Guards against a stream lost as its first head breaks off."""

    async def break_off_within_an_event(received):
        await received.send_events(1, 4, end=False)
        await asyncio.sleep(0.7)
        await received.send(support.chunk(support.event(5)[:6]))
        await asyncio.sleep(0.05)
        received.closed = True

    async def begin_late(received):
        await asyncio.sleep(0.6)
        first = int(received.headers.get("last-event-id", 0)) + 1
        await received.send_events(first, 10)

    async def scenario(program):
        await program.add(break_off_within_an_event, "llm")
        await program.add(begin_late, "llm")
        reply = await program.request("/stream/x", "POST")
        await program.stop()
        assert (reply.status, reply.is_complete) == (200, True)

    stops.run_scenario(monkeypatch, scenario)
