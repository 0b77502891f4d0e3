"""Tests of polls of the engine, orders to it and the copy of its cache."""

import asyncio
import socket
import threading

import pytest
import urllib3.exceptions

from flamingocleat import messages
from flamingocleat.connection import backend
from flamingocleat.connection import bounded
from flamingocleat.process import settings
from tests import agent_support


def agent_settings(backend_url="http://127.0.0.1:3"):
    return settings.AgentSettings(
        vm="vm-1",
        data_centre="praha-a",
        fabric_domain="rack-1",
        kind=messages.BackendKind.ENGINE,
        listen="127.0.0.1:1",
        data_listen="127.0.0.1:2",
        backend_url=backend_url,
        control=("127.0.0.1:4",),
    )


def test_outdated_order_is_ignored():
    """Guards against sending an outdated order to the engine.

    An engine that ignores fencing numbers would follow it.
    """

    async def run():
        engine = backend.Backend(agent_settings(), lambda: None)
        engine.set_order(backend.Order(5, "m", "1"))
        engine.set_order(backend.Order(3, "old", "1"))
        engine.set_order(backend.Order(0, "preload", "1"))
        return engine.order

    assert asyncio.run(run()) == backend.Order(5, "m", "1")


def event(sequence, prefix, present=True):
    return messages.CacheEvent(sequence, prefix, present)


def test_mirror_refuses_an_event_after_a_gap():
    """Guards against a copy with a prefix that is not in the cache.

    The missing event may have been its eviction.
    """
    mirror = backend.CacheMirror()
    assert mirror.apply(event(1, b"a"))
    assert not mirror.apply(event(3, b"b"))
    mirror.replace(3, {b"b"})
    complete, events = mirror.changes_since(1)
    assert complete
    assert events == (event(3, b"b"),)


def test_mirror_resends_all_to_a_watcher_that_is_far_behind():
    """Guards against silently skipping events that are no longer kept."""
    mirror = backend.CacheMirror()
    for sequence in range(1, 5000):
        mirror.apply(event(sequence, b"%d" % (sequence % 7)))
    assert mirror.changes_since(1)[0]
    complete, events = mirror.changes_since(4990)
    assert not complete
    assert [e.sequence for e in events] == list(range(4991, 5000))


ANSWER = agent_support.short_answer(b'{"events": []}')


class ClosingServer:
    """Answers a fixed number of requests on a connection.

    It closes the connection once it has read one more, after the given bytes.
    """

    def __init__(self, answered: int, last: bytes = b"") -> None:
        self.answered = answered
        self.last = last
        self.requests = 0
        self.connections = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self.listener.getsockname()[1]}"
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self) -> None:
        while True:
            connection, _ = self.listener.accept()
            with connection:
                if not self._serve(connection):
                    return

    def _serve(self, connection: socket.socket) -> bool:
        """Return whether the connection had a request."""
        self.connections += 1
        for number in range(self.answered + 1):
            if not connection.recv(65_536):
                return number > 0
            self.requests += 1
            connection.sendall(ANSWER if number < self.answered else self.last)
        return True

    def stop(self) -> None:
        host, port = self.listener.getsockname()
        socket.create_connection((host, port)).close()
        self.thread.join()
        self.listener.close()


@pytest.fixture
def start_server():
    servers = []

    def start(answered, last=b""):
        servers.append(ClosingServer(answered, last))
        return servers[-1]

    yield start
    for server in servers:
        server.stop()


def test_request_on_a_kept_connection_that_ends_is_repeated(start_server):
    """Guards against taking the close of a connection for a failed server."""
    server = start_server(1)
    with bounded.Pool(server.url, 5.0, 4096) as pool:
        for _ in range(4):
            assert pool.ask("GET", "/x")[0] == 200


def test_request_on_a_new_connection_that_ends_is_not_repeated(start_server):
    """Guards against asking a failed server again and again."""
    server = start_server(0)
    with (
        bounded.Pool(server.url, 5.0, 4096) as pool,
        pytest.raises(urllib3.exceptions.ProtocolError),
    ):
        pool.ask("GET", "/x")
    assert server.requests == 1


@pytest.mark.parametrize("last", [b"H", ANSWER[:20], ANSWER[:-1]])
def test_answer_that_is_cut_on_a_kept_connection_is_a_failure(
    start_server, last
):
    """Guards against asking again although the server has begun to answer."""
    server = start_server(1, last)
    with bounded.Pool(server.url, 5.0, 4096) as pool:
        pool.ask("GET", "/x")
        with pytest.raises(urllib3.exceptions.HTTPError):
            pool.ask("GET", "/x")
    assert server.requests == 2


def test_engine_that_closes_kept_connections_stays_up(start_server):
    """Guards against calls refused as not run by a sound engine."""
    server = start_server(1)
    states = []

    async def run():
        engine = backend.Backend(
            agent_settings(server.url), lambda: states.append(engine.up)
        )
        engine.start()
        try:
            async with asyncio.timeout(agent_support.TIMEOUT_S):
                while server.connections < 8:
                    await asyncio.sleep(0.02)
        finally:
            engine.stop()
            await asyncio.to_thread(engine.thread.join)

    asyncio.run(run())
    assert states == [True]
