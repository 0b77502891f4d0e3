"""Agents and entries beside servers whose bytes do not end."""

import asyncio
import contextlib
import itertools
import socket
import threading
import time

import pytest
import urllib3
import urllib3.exceptions

from flamingocleat import messages
from flamingocleat.connection import backend
from flamingocleat.connection import bounded
from flamingocleat.process import settings
from flamingocleat.request import attempt
from flamingocleat.request import relay
from tests import agent_support

OK = b"HTTP/1.1 200 OK\r\n"
ENDLESS = {
    "bytes": (b"", b"\x16\x03\x01 no protocol"),
    "header lines": (OK, b"X-More: 1\r\n"),
    "one header": (OK + b"X-Long: ", b"x" * 64),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "no length": (OK + b"\r\n", b"x" * 64),
    "a length": (OK + b"Content-Length: 1000000000000000\r\n\r\n", b"x" * 64),
    "chunks": (OK + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
    "trailers": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-More: 1\r\n",
    ),
}
PAUSES_S = [0.0, 0.05]
POLL_BOUND_S = 4.0


class EndlessServer:
    """Sends the same bytes on each connection until the peer closes it.

    Requests whose line contains one of the given texts get a good answer.
    """

    def __init__(
        self, start: bytes, repeated: bytes, pause_s: float, good=()
    ) -> None:
        self.start = start
        self.repeated = repeated
        self.pause_s = pause_s
        self.good = dict(good)
        self.stopped = False
        self.cut_off = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.threads = [threading.Thread(target=self._accept)]
        self.threads[0].start()

    def _accept(self) -> None:
        while not self.stopped:
            connection, _ = self.listener.accept()
            thread = threading.Thread(target=self._serve, args=(connection,))
            self.threads.append(thread)
            thread.start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            while request := connection.recv(65_536):
                line = request.partition(b"\r\n")[0]
                for text, body in self.good.items():
                    if text in line:
                        length = b"Content-Length: %d\r\n\r\n" % len(body)
                        connection.sendall(OK + length + body)
                        break
                else:
                    self._send_without_end(connection)

    def _send_without_end(self, connection: socket.socket) -> None:
        try:
            connection.sendall(self.start)
            while not self.stopped:
                connection.sendall(self.repeated)
                time.sleep(self.pause_s)
        except OSError:
            self.cut_off.set()
            raise

    def stop(self) -> None:
        self.stopped = True
        host, port = self.address.split(":")
        socket.create_connection((host, int(port))).close()
        for thread in self.threads:
            thread.join()
        self.listener.close()


@pytest.fixture
def start_server():
    servers = []

    def start(name, pause_s, good=()):
        servers.append(EndlessServer(*ENDLESS[name], pause_s, good))
        return servers[-1]

    yield start
    for server in servers:
        server.stop()


def make_backend(address: str, kind: messages.BackendKind) -> backend.Backend:
    return backend.Backend(
        settings.AgentSettings(
            vm="vm-1",
            data_centre="praha-a",
            fabric_domain="rack-1",
            kind=kind,
            listen="127.0.0.1:1",
            data_listen="127.0.0.1:2",
            backend_url=f"http://{address}",
            control=("127.0.0.1:4",),
        ),
        lambda: None,
    )


def wait_for_down(polled: backend.Backend, run_first=lambda: None) -> None:
    """Check that polls of a server end and mark it as down."""

    async def run() -> None:
        run_first()
        polled.loop = asyncio.get_running_loop()
        polled.up = True
        polled.start()
        try:
            async with asyncio.timeout(POLL_BOUND_S):
                while polled.up:
                    await asyncio.sleep(0.02)
        finally:
            polled.stop()
            await asyncio.to_thread(polled.thread.join)

    asyncio.run(run())


@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize("name", ENDLESS)
def test_endless_answer_to_a_status_check_marks_the_server_down(
    start_server, name, pause_s
):
    server = start_server(name, pause_s)

    async def make():
        return make_backend(server.address, messages.BackendKind.PLAIN)

    wait_for_down(asyncio.run(make()))
    assert server.cut_off.wait(POLL_BOUND_S)


@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize("name", ENDLESS)
def test_endless_answer_to_an_order_does_not_stop_status_checks(
    start_server, name, pause_s
):
    server = start_server(name, pause_s, {b"/-/status": b"{}"})

    async def make():
        return make_backend(server.address, messages.BackendKind.ENGINE)

    polled = asyncio.run(make())
    polled.set_order(backend.Order(5, "m", "1"))
    wait_for_down(polled)
    assert polled.accepted is None


@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize("name", ENDLESS)
def test_endless_answer_to_a_call_ends_with_its_deadline(
    tmp_path, start_server, name, pause_s
):
    server = start_server(name, pause_s, {b"/-/load": b"{}"})
    deployment = agent_support.Deployment(tmp_path)
    try:
        deployment.start_agent("vm-1", server.address, kind="plain")
        agent = deployment.control.wait_serving("vm-1", 0)
        began_s = time.monotonic()
        reply = deployment.call(
            agent, b"{}", path="/x", Flamingocleat_Deadline_Ms="1000"
        )
        assert time.monotonic() - began_s < 2.5
        assert reply.status in (502, 504)
        assert agent_support.outcome(reply) != "not-run"
        assert server.cut_off.wait(POLL_BOUND_S)
    finally:
        deployment.close()


@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize("name", ENDLESS)
def test_reads_of_one_answer_share_a_deadline_and_a_size(
    start_server, name, pause_s
):
    server = start_server(name, pause_s)
    pool = bounded.Pool(f"http://{server.address}", 0.4, 4096)
    began_s = time.monotonic()
    with pytest.raises((urllib3.exceptions.HTTPError, OSError)):
        pool.ask("GET", "/x")
    assert time.monotonic() - began_s < 1.0
    assert server.cut_off.wait(POLL_BOUND_S)


@pytest.mark.parametrize(
    "data",
    [b"x" * 64, b"\n\n", b": x\n\n", b"event: x\n\n"],
    ids=["no event", "blank lines", "comments", "events without data"],
)
def test_stream_of_an_entry_rejects_bytes_without_end(data):
    """Complete events before them, and a few comments, pass."""
    stream = relay.Stream.__new__(relay.Stream)
    stream.chunks = None
    stream.pending = b""
    stream.delivered = stream.empty_blocks = 0
    stream.done = False
    stream.feed(b"data: 1\n\n: x\n\ndata: 2\n\n")
    assert stream.delivered == 3
    endless = itertools.repeat(data, relay.MAX_EMPTY_BLOCKS + 1)
    with pytest.raises(attempt.AttemptError):
        list(map(stream.feed, endless))
