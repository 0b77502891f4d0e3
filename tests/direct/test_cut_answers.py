"""Requests that end without a true answer, mostly around planned stops."""

import asyncio
import contextlib
import os
import signal
import socket
import subprocess
import sys
import threading
import time

import logbook
import pytest

from flamingocleat.connection import http
from flamingocleat.request import crash_guard
from tests.direct import coordinators
from tests.direct import support
from tests.direct import test_closing_lines
from tests.direct import test_gateway_stop as stops

HEAD = (
    b"GET %b HTTP/1.1\r\nHost: front.example\r\nX-Request-Id: %b\r\n"
    b"X-Api-Key: key-1\r\nX-Request-Timeout-Ms: 9000\r\n\r\n"
)
STREAM = (
    b"POST /stream/x HTTP/1.1\r\nHost: front.example\r\n"
    b"X-Request-Id: id-1\r\nX-Api-Key: key-1\r\nContent-Length: 0\r\n"
    b"X-Request-Timeout-Ms: 9000\r\nFlamingocleat-Model: large\r\n\r\n"
)
NOTICE_S = (stops.GRACE_S - 0.7) / 2


def test_request_sent_after_the_notice_to_a_stalled_gateway_is_refused(
    monkeypatch,
):
    """Guards against a request that is begun with too little time to end."""
    grace_s = 4.0
    notice_s = (grace_s - 0.7) / 2

    async def scenario(program):
        backend = await program.add(stops.hang)
        sock = socket.create_connection(("127.0.0.1", program.port))
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(program.stop())
        await asyncio.sleep(notice_s - 0.1)
        sender = threading.Timer(
            0.3, sock.sendall, [HEAD % (b"/once/x", b"id-1")]
        )
        sender.start()
        time.sleep(0.5)  # The event loop stands still.
        await asyncio.sleep(0.2)
        received = len(backend.received)
        await stopping
        sock.close()
        assert received == 0

    stops.run_scenario(monkeypatch, scenario, grace_s)


def test_answer_in_the_write_buffer_is_sent_before_the_process_ends(
    monkeypatch,
):
    """Guards against an answer that counts as sent and is cut."""

    async def answer(received):
        await received.answer(b"x" * 14_000)

    async def scenario(program):
        await program.add(answer)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", program.port))
        await asyncio.sleep(0.05)
        (connection,) = program.program.server.connections
        connection.transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
        )
        with logbook.TestHandler().applicationbound() as handler:
            await loop.sock_sendall(sock, HEAD % (b"/once/x", b"id-1"))
            (line,) = await test_closing_lines.wait_for_line(handler)
        assert "status=200" in line
        assert connection.transport.get_write_buffer_size() > 0
        stopping = asyncio.create_task(program.stop())
        await asyncio.sleep(NOTICE_S + 0.2)  # Well within the grace period.
        data = b""
        try:
            while part := await loop.sock_recv(sock, 1024):
                data += part
        except OSError:
            pass
        sock.close()
        await stopping
        assert support.Reply(data).is_complete

    stops.run_scenario(monkeypatch, scenario)


def test_request_read_behind_a_stream_before_the_stop_is_answered(monkeypatch):
    """Guards against a request that is read and vanishes from the log."""
    goes_on = asyncio.Event()

    async def send_until_told(received):
        await received.send_events(1, 1, end=False)
        number = 2
        while not goes_on.is_set():
            await asyncio.sleep(0.05)
            await received.send(support.chunk(support.event(number)))
            number += 1
        await received.send(b"0\r\n\r\n")

    async def scenario(program):
        await program.add(send_until_told, "llm")
        await program.add(stops.answer_soon)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", program.port
        )
        with logbook.TestHandler().applicationbound() as handler:
            writer.write(STREAM)
            await reader.readuntil(b"token 1\n\n")
            writer.write(HEAD % (b"/once/x", b"id-2"))
            await asyncio.sleep(0.1)
            stopping = asyncio.create_task(program.stop())
            await asyncio.sleep(NOTICE_S + 0.1)
            goes_on.set()
            data = await support.read_all(reader)
            await stopping
            lines = test_closing_lines.closing_lines(handler)
        writer.close()
        assert len(lines) == 2
        _, _, second = data.partition(b"0\r\n\r\n")
        assert support.Reply(second).is_complete

    stops.run_scenario(monkeypatch, scenario)


def test_stop_that_fails_still_ends_requests_with_an_answer(monkeypatch):
    """Guards against one failing step of a stop that cuts all requests."""

    async def scenario(program):
        await program.add(stops.answer_soon)
        request = asyncio.create_task(program.request("/once/x"))
        await asyncio.sleep(0.05)

        def fail(_stop_at_s):
            raise RuntimeError("cannot stop")

        program.program.forwarder.stop_by = fail
        try:
            await program.stop()
        except RuntimeError:
            # The process ends.
            await program.program.server.close()
        assert (await request).status == 200

    stops.run_scenario(monkeypatch, scenario)


def test_stream_that_must_not_resume_does_not_count_as_refused():
    """Guards against a status in the log that the caller has not seen."""

    async def break_off(received):
        await received.send_events(1, 1, end=False)

    async def scenario(harness):
        await harness.add(break_off, "llm")
        admit = harness.forwarder.guard.admit
        trials = []

        async def admit_once(*arguments):
            trials.append(arguments)
            if len(trials) > 1:
                raise crash_guard.WithheldError("p-1", 1.0)
            return await admit(*arguments)

        harness.forwarder.guard.admit = admit_once
        with logbook.TestHandler().applicationbound() as handler:
            reply = await harness.request("/stream/x", "POST")
            (line,) = await test_closing_lines.wait_for_line(handler)
        assert (reply.status, reply.is_complete) == (200, False)
        assert "event=request_ended" in line
        assert "status=0" in line

    support.run_scenario(scenario)


def test_stream_of_a_head_that_pauses_during_a_stop_is_not_ended(monkeypatch):
    """Guards against a cut where no other head can go on with the stream."""

    async def pause(received):
        await received.send_events(1, 1, end=False)
        await asyncio.sleep(0.6)
        await received.send(support.chunk(support.event(2)) + b"0\r\n\r\n")

    async def scenario(program):
        backend = await program.add(pause, "llm")
        request = asyncio.create_task(
            program.request("/stream/x", "POST", X_Request_Timeout_Ms="9000")
        )
        await asyncio.sleep(0.05)
        await program.stop()
        reply = await request
        assert len(backend.received) == 1
        assert (reply.status, reply.is_complete) == (200, True)

    stops.run_scenario(monkeypatch, scenario, grace_s=4.0)


async def begin_stream(
    program: stops.Gateway, backend: support.Backend
) -> asyncio.Task:
    """Return a request for a stream that a server has received."""
    request = asyncio.create_task(
        program.request("/stream/x", "POST", X_Request_Timeout_Ms="9000")
    )
    while not backend.received:
        await asyncio.sleep(0.01)
    return request


async def pause_after_an_event(received: support.ReceivedRequest) -> None:
    await received.send_events(1, 1, end=False)
    await asyncio.sleep(0.8)
    await received.send(support.chunk(support.event(2)) + b"0\r\n\r\n")


async def refuse(received: support.ReceivedRequest) -> None:
    await received.send(
        received.response_head(
            503, "Content-Length: 0", "Flamingocleat-Not-Run: 1"
        )
    )


def test_stream_of_a_head_that_pauses_is_whole_though_another_refuses(
    monkeypatch,
):
    """Guards against an answer that is given up for one that does not come."""

    async def scenario(program):
        paused = await program.add(pause_after_an_event, "llm")
        request = await begin_stream(program, paused)
        await program.add(refuse, "llm")
        reply = await request
        assert (reply.status, reply.is_complete) == (200, True)
        await program.stop()

    stops.run_scenario(monkeypatch, scenario)


def test_takeover_that_fails_is_not_repeated_at_each_check(monkeypatch):
    """Guards against a silent stream that uses up the retry budget of all."""

    async def scenario(program):
        paused = await program.add(pause_after_an_event, "llm")
        request = await begin_stream(program, paused)
        await program.add(refuse, "llm")
        forwarder = program.program.forwarder

        async def refuse_trials(*_arguments):
            raise crash_guard.WithheldError("p-1", 1.0)

        forwarder.guard.admit = refuse_trials
        withdrawals = []
        withdraw = forwarder.budget.withdraw
        forwarder.budget.withdraw = lambda name: (
            withdrawals.append(name) or withdraw(name)
        )
        assert (await request).is_complete
        assert 1 <= len(withdrawals) <= 2
        await program.stop()

    stops.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("pause_s", [0.6, 9.0])
def test_stream_of_a_silent_head_is_whole_whichever_head_goes_on(
    monkeypatch, pause_s
):
    """Guards against events that are lost, or come twice, as heads change."""

    async def pause(received):
        await received.send_events(1, 4, end=False)
        await asyncio.sleep(pause_s)
        for number in range(5, 11):
            await received.send(support.chunk(support.event(number)))
        await received.send(b"0\r\n\r\n")

    async def begin_late(received):
        first = int(received.headers.get("last-event-id", 0)) + 1
        await asyncio.sleep(0.5)
        await received.send_events(first, 10)

    async def scenario(program):
        paused = await program.add(pause, "llm")
        request = await begin_stream(program, paused)
        other = await program.add(begin_late, "llm")
        reply = await request
        assert reply.body == b"".join(map(support.event, range(1, 11)))
        assert reply.is_complete
        assert len(other.received) == 1
        async with asyncio.timeout(2):
            while any(program.candidate(n).in_flight for n in (0, 1)):
                await asyncio.sleep(0.01)
        await program.stop()

    stops.run_scenario(monkeypatch, scenario)


def test_stream_of_a_silent_head_resumes_once_the_leader_ends_its_group(
    monkeypatch,
):
    """Guards against streams that stay where a member was lost."""

    async def stall(received):
        await received.send_events(1, 1, end=False)
        await received.wait_until_closed()

    async def go_on(received):
        first = int(received.headers.get("last-event-id", 0)) + 1
        await received.send_events(first, 2)

    async def scenario(program):
        stalled = await program.add(stall, "llm")
        request = await begin_stream(program, stalled)
        await program.add(go_on, "llm")
        await asyncio.sleep(0.6)
        program.candidates.discard([program.candidate(0).view.backend])
        reply = await request
        assert (reply.status, reply.is_complete) == (200, True)
        await program.stop()

    stops.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("error", [KeyError("x"), TimeoutError()])
def test_any_server_answers_although_its_handler_fails(error):
    """Guards against a closed connection where an answer is possible."""

    async def run():
        async def handle(_exchange):
            raise error

        server = http.Server(handle)
        await server.start("127.0.0.1:0")
        port = server.listener.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        reply = support.Reply(await support.read_all(reader))
        writer.close()
        await server.close()
        assert reply.status >= 500

    asyncio.run(run())


STOPS_WITH_A_SLOW_READER = """
import asyncio
import sys

from flamingocleat.process import logs
from flamingocleat.process import shutdown


async def run():
    stop = shutdown.Shutdown()
    stop.install()
    stop.install_reload(lambda: None)
    print("ready", file=sys.stderr, flush=True)
    await stop.requested.wait()
    for number in range(1000):
        logs.info(logs.logger("part"), "line", number=number, text="x" * 200)
    return 0


logs.set_up("program", to_stdout=True)
status = asyncio.run(run())
print("ended", file=sys.stderr, flush=True)
sys.exit(status)
"""


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_signal_at_the_end_of_a_stop_leaves_status_and_log_whole(number):
    """Guards against a repeated signal that ends the process by itself."""
    with subprocess.Popen(
        [sys.executable, "-c", STOPS_WITH_A_SLOW_READER],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    ) as program:
        assert program.stderr.readline() == b"ready\n"
        program.send_signal(signal.SIGTERM)
        assert program.stderr.readline() == b"ended\n"
        program.send_signal(number)
        time.sleep(0.1)
        lines = program.stdout.read().splitlines()
    assert program.returncode == 0
    assert b"number=999" in lines[-1]


def test_change_in_progress_is_answered_before_a_coordinator_stops(tmp_path):
    """Guards against an operator who learns nothing of a change."""

    async def scenario(cluster):
        leader = await cluster.leader()
        for number, each in list(cluster.running.items()):
            if each is leader:
                address = f"127.0.0.{number}:{cluster.http_port}"
            else:
                await cluster.stop(number)
        change = asyncio.create_task(
            http.request(
                address, "POST", coordinators.DOCUMENT, b"9", timeout_s=8
            )
        )
        await asyncio.sleep(0.3)
        waiting = leader.http.busy
        await leader.stop()
        cluster.running.clear()
        assert waiting == 1
        answer, _ = await change
        assert answer.status == 503

    coordinators.run_scenario(tmp_path, scenario)


def test_calls_that_wait_as_a_coordinator_stops_are_answered(tmp_path):
    """Guards against operators who are reset although they had long sent."""

    async def scenario(cluster):
        leader = await cluster.leader()
        number = next(n for n, c in cluster.running.items() if c is leader)
        address = (f"127.0.0.{number}", cluster.http_port)
        request = (
            f"POST {coordinators.DOCUMENT} HTTP/1.1\r\nHost: h\r\n"
            "Content-Length: 1\r\n\r\n9"
        ).encode()
        with contextlib.ExitStack() as stack:
            callers = [
                stack.enter_context(socket.create_connection(address))
                for _ in range(2 * http.ACCEPTED_AT_ONCE)
            ]
            for caller in callers:
                caller.sendall(request)
            await cluster.stop(number)
            for caller in callers:
                caller.settimeout(support.TIMEOUT_S)
                status = caller.recv(100).split(b" ")[1]
                assert status in (b"307", b"503")

    coordinators.run_scenario(tmp_path, scenario)
