"""Planned stops of a gateway: what its callers get."""

import asyncio
import socket
import time

import logbook
import pytest

from examples import local
from flamingocleat.process import gateway
from flamingocleat.process import settings
from flamingocleat.process import shutdown
from flamingocleat.version import catalog
from tests.direct import support

GRACE_S = 2.0


class Gateway(support.Harness):
    """A gateway program, with scripted backend servers."""

    def __init__(self, grace_s: float) -> None:
        super().__init__()
        self.port = local.free_port()
        self.program = gateway.Gateway(
            lambda: settings.GatewaySettings(
                gateway="gateway-1",
                data_centre="a",
                listen=f"127.0.0.1:{self.port}",
                health_listen=f"127.0.0.1:{local.free_port()}",
                control=("127.0.0.1:1",),
                drain_notice_s=3.0,
                grace_s=grace_s,
            ),
            support.HEADER_NAMES,
        )
        self.candidates = self.program.candidates
        self.program.forwarder.apply_catalog(
            catalog.CatalogIndex(support.CATALOG)
        )

    async def start(self) -> None:
        self.running = asyncio.create_task(self.program.run())
        await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Stop it as SIGTERM does, with the end of its process."""
        self.program.shutdown.request("SIGTERM")
        await self.running
        for connection in list(self.program.server.connections):
            connection.abort()

    async def close(self) -> None:
        self.program.health.close_listener()
        for backend in self.backends:
            backend.server.close()


async def hang(received: support.ReceivedRequest) -> None:
    await received.wait_until_closed()


async def answer_soon(received: support.ReceivedRequest) -> None:
    await asyncio.sleep(0.2)
    await received.answer(b"done")


def run_scenario(monkeypatch, scenario, grace_s: float = GRACE_S) -> None:
    monkeypatch.setattr(shutdown.Shutdown, "install", lambda _self: None)
    monkeypatch.setattr(
        shutdown.Shutdown, "install_reload", lambda _self, _reload: None
    )

    async def run() -> None:
        program = Gateway(grace_s)
        await program.start()
        try:
            await scenario(program)
        finally:
            await program.close()

    asyncio.run(run())


@pytest.mark.parametrize("path", ["/once/x", "/read/x", "/stream/x"])
@pytest.mark.parametrize("sent_after_s", [-0.2, 0.2, 0.5])
def test_request_that_outlasts_a_planned_stop_is_answered(
    monkeypatch, path, sent_after_s
):
    """A caller must learn the outcome, not find its connection cut."""

    async def scenario(program):
        service = "llm" if path == "/stream/x" else "desk"
        for _ in range(2):
            await program.add(hang, service)
        stopping = asyncio.create_task(asyncio.sleep(0))
        if sent_after_s > 0:
            stopping = asyncio.create_task(program.stop())
        await asyncio.sleep(abs(sent_after_s) if sent_after_s > 0 else 0)
        request = asyncio.create_task(
            program.request(path, X_Request_Timeout_Ms="9000")
        )
        if sent_after_s < 0:
            await asyncio.sleep(-sent_after_s)
            stopping = asyncio.create_task(program.stop())
        reply = await request
        await stopping
        assert (reply.status, reply.is_complete) == (504, True)
        assert reply.headers["connection"] == "close"

    run_scenario(monkeypatch, scenario)


def test_requests_during_the_notice_are_served(monkeypatch):
    """Until the balancer has noticed, callers still arrive."""

    async def scenario(program):
        await program.add(answer_soon)
        stopping = asyncio.create_task(program.stop())
        await asyncio.sleep(0.3)
        reply = await program.request("/once/x")
        assert (reply.status, reply.body) == (200, b"done")
        await stopping

    run_scenario(monkeypatch, scenario)


def test_stop_ends_within_the_grace_period(monkeypatch):
    """A grace period shorter than the notice must leave time to answer."""

    async def scenario(program):
        await program.add(hang)
        request = asyncio.create_task(
            program.request("/once/x", X_Request_Timeout_Ms="9000")
        )
        await asyncio.sleep(0.1)
        began_s = time.monotonic()
        await program.stop()
        assert time.monotonic() - began_s < GRACE_S
        assert (await request).is_complete

    run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("before_end_s", [0.21, 0.22, 0.23, 0.24, 0.25])
def test_last_answers_of_a_stop_outlast_a_pause_of_the_event_loop(
    monkeypatch, before_end_s
):
    """Guards against callers that are cut as a drain ends by the time alone."""

    async def scenario(program):
        await program.add(hang)
        request = asyncio.create_task(
            program.request("/once/x", X_Request_Timeout_Ms="9000")
        )
        await asyncio.sleep(0.1)
        began_s = time.monotonic()
        stopping = asyncio.create_task(program.stop())
        end_s = GRACE_S - gateway.GRACE_MARGIN_S
        await asyncio.sleep(end_s - before_end_s)
        time.sleep(0.4)
        with logbook.TestHandler().applicationbound() as handler:
            await stopping
        (line,) = [
            record.message
            for record in handler.records
            if "drain_finished" in record.message
        ]
        assert "busy=0" in line
        reply = await request
        assert (reply.status, reply.is_complete) == (504, True)
        assert time.monotonic() - began_s < GRACE_S

    run_scenario(monkeypatch, scenario)


class FakeCall:
    """A call in flight, as far as a stop concerns it."""

    def __init__(self) -> None:
        self.deadline_s = float("inf")


# A stop at the moment at which one request timed out raised an error, and the
# other requests kept their deadlines.
def test_stop_beside_a_request_that_times_out_reaches_the_others():
    async def scenario(harness):
        calls = FakeCall(), FakeCall()
        unwinding = asyncio.Event()

        async def time_out(call, timeout_s):
            async with asyncio.timeout(timeout_s) as timeout:
                harness.forwarder.in_flight[call] = timeout
                try:
                    await asyncio.sleep(60)
                finally:
                    # The connection to its server is being closed.
                    unwinding.set()
                    await asyncio.sleep(0.2)

        tasks = [
            asyncio.create_task(time_out(call, timeout_s))
            for call, timeout_s in zip(calls, (0.0, 60.0), strict=True)
        ]
        await unwinding.wait()
        harness.forwarder.stop_by(time.monotonic() + 0.1)
        async with asyncio.timeout(2):
            ends = await asyncio.gather(*tasks, return_exceptions=True)
        assert [type(end) for end in ends] == [TimeoutError, TimeoutError]

    support.run_scenario(scenario)


def test_stop_that_fails_names_the_step_and_the_requests(monkeypatch):
    """Guards against a stop of which only a traceback on stderr tells."""

    async def scenario(program):
        await program.add(answer_soon)
        request = asyncio.create_task(program.request("/once/x"))
        await asyncio.sleep(0.1)

        def fail(_stop_at_s):
            raise RuntimeError("cannot stop")

        program.program.forwarder.stop_by = fail
        with logbook.TestHandler().applicationbound() as handler:
            await program.stop()
            lines = [each.message for each in handler.records]
        assert (
            "event=drain_failed step=deadlines busy=1 requests=id-1 "
            "reason=\"RuntimeError('cannot stop')\""
        ) in lines
        assert (await request).status == 200

    run_scenario(monkeypatch, scenario)


def test_drain_names_the_requests_that_it_waits_for(monkeypatch):
    """Guards against a count of connections that leads to no request."""

    async def scenario(program):
        await program.add(hang)
        request = asyncio.create_task(
            program.request("/once/x", X_Request_Timeout_Ms="9000")
        )
        await asyncio.sleep(0.1)
        with logbook.TestHandler().applicationbound() as handler:
            await program.stop()
            lines = [each.message for each in handler.records]
        assert "event=drain_started busy=1 requests=id-1" in lines
        assert 'event=drain_finished busy=0 requests=""' in lines
        await request

    run_scenario(monkeypatch, scenario)


def test_kept_connection_is_served_once_more_during_the_notice(monkeypatch):
    """Guards against a close that a caller cannot know of as it sends."""
    begun = asyncio.Event()
    goes_on = asyncio.Event()

    async def wait_between_events(received):
        await received.send_events(1, 1, end=False)
        begun.set()
        await goes_on.wait()
        await received.send(support.chunk(support.event(2)) + b"0\r\n\r\n")

    async def scenario(program):
        await program.add(wait_between_events, "llm")
        await program.add(answer_soon)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", program.port
        )
        writer.write(
            b"POST /stream/x HTTP/1.1\r\nHost: front.example\r\n"
            b"X-Request-Id: id-1\r\nX-Api-Key: key-1\r\n"
            b"Content-Length: 0\r\nX-Request-Timeout-Ms: 9000\r\n"
            b"Flamingocleat-Model: large\r\n\r\n"
        )
        await begun.wait()
        stopping = asyncio.create_task(program.stop())
        await asyncio.sleep(0.1)
        goes_on.set()
        await reader.readuntil(b"0\r\n\r\n")
        writer.write(
            b"GET /once/x HTTP/1.1\r\nHost: front.example\r\n"
            b"X-Request-Id: id-2\r\nX-Api-Key: key-1\r\n"
            b"X-Request-Timeout-Ms: 9000\r\n\r\n"
        )
        reply = support.Reply(await support.read_all(reader))
        writer.close()
        assert (reply.status, reply.body) == (200, b"done")
        assert reply.headers["connection"] == "close"
        await stopping

    run_scenario(monkeypatch, scenario)


def test_request_that_is_read_after_the_notice_is_refused(monkeypatch):
    """Guards against a request that is begun with too little time to end."""

    async def scenario(program):
        backend = await program.add(hang)
        hanging = asyncio.create_task(
            program.request("/once/x", X_Request_Timeout_Ms="9000")
        )
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", program.port
        )
        writer.write(b"GET /once/x HTTP/1.1\r\nHost: front.example\r\n")
        await asyncio.sleep(0.05)
        server = program.program.server
        server.close_idle = lambda: None
        stopping = asyncio.create_task(program.stop())
        while server.listener.is_serving():
            await asyncio.sleep(0.01)
        writer.write(
            b"X-Request-Id: id-1\r\nX-Api-Key: key-1\r\n"
            b"X-Request-Timeout-Ms: 9000\r\n\r\n"
        )
        reply = support.Reply(await support.read_all(reader))
        writer.close()
        assert (reply.status, reply.is_complete) == (503, True)
        assert reply.headers["connection"] == "close"
        assert len(backend.received) == 1
        await stopping
        assert (await hanging).status == 504

    run_scenario(monkeypatch, scenario)


def test_request_that_does_not_arrive_whole_is_refused_at_a_stop(monkeypatch):
    """Guards against an exit that cuts a request off between its parts."""

    async def scenario(program):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", program.port
        )
        writer.write(b"GET /once/x HTTP/1.1\r\nHost: front.example\r\n")
        await asyncio.sleep(0.05)
        await program.stop()
        reply = support.Reply(await support.read_all(reader))
        writer.close()
        assert (reply.status, reply.is_complete) == (408, True)

    run_scenario(monkeypatch, scenario)


def test_connection_that_is_accepted_as_the_notice_ends_is_answered(
    monkeypatch,
):
    """Guards against a close before a request that had come long before.

    An event loop that stands still accepts and reads it only then.
    """

    async def scenario(program):
        stopping = asyncio.create_task(program.stop())
        await asyncio.sleep(0.1)
        with socket.create_connection(("127.0.0.1", program.port)) as caller:
            caller.sendall(
                b"GET /once/x HTTP/1.1\r\nHost: front.example\r\n\r\n"
            )
            time.sleep(GRACE_S / 2)
            await stopping
            caller.settimeout(support.TIMEOUT_S)
            assert caller.recv(100).startswith(b"HTTP/1.1 503 ")

    run_scenario(monkeypatch, scenario)
