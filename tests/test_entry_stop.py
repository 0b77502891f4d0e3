"""Requests that wait on an entry's connections as a rule ends these."""

import collections.abc
import contextlib
import threading
import time

import pytest

from flamingocleat import ids
from flamingocleat.process import entry as entry_module
from flamingocleat.process import settings
from flamingocleat.process import shutdown
from tests import entry_fakes as fakes
from tests import stopping_servers

REQUEST = stopping_servers.REQUEST
status = stopping_servers.status


@pytest.fixture
def callers() -> collections.abc.Iterator[stopping_servers.Callers]:
    loop = fakes.LoopThread()

    async def build() -> entry_module.Server:
        entry_settings = settings.EntrySettings(
            entry=ids.EntryId("e"),
            data_centre=ids.DataCentreId("a"),
            listen="127.0.0.1:0",
            control=("127.0.0.1:1",),
            threads=8,
        )
        entry = entry_module.build(entry_settings, shutdown.Shutdown())
        return entry_module.Server(entry_settings, entry)

    with stopping_servers.Callers(loop.run(build())) as opened:
        yield opened
    loop.close()


def test_requests_that_wait_to_be_accepted_are_answered_at_a_stop(callers):
    """Guards against a reset of the callers in the queue of the listener."""
    waiting = [callers.connect(REQUEST) for _ in range(20)]
    callers.server.entry.draining = True
    callers.stop()
    assert [status(sock) for sock in waiting] == [200] * len(waiting)


def test_unread_request_on_a_kept_connection_is_answered_at_a_stop(callers):
    """Guards against a kept connection closed with a request unread."""
    callers.serve()
    kept = callers.connect(REQUEST)
    assert status(kept) == 200
    released = callers.hold()
    kept.sendall(REQUEST)
    callers.server.entry.draining = True
    callers.stop()
    released.set()
    assert status(kept) == 200


@pytest.mark.parametrize("sent", [1, 20, len(REQUEST) - 1])
def test_request_that_arrives_in_parts_is_answered_at_a_stop(callers, sent):
    """Guards against a stop between two parts of a request."""
    callers.serve()
    kept = callers.connect(REQUEST)
    assert status(kept) == 200
    released = callers.hold()
    kept.sendall(REQUEST[:sent])
    callers.server.entry.draining = True
    stopping = callers.stop()
    released.set()
    stopping.join(0.1)
    kept.sendall(REQUEST[sent:])
    assert status(kept) == 200


def test_request_that_arrives_at_the_idle_limit_is_answered(callers):
    """Guards against an idle limit that does not look at unread bytes."""
    callers.server.timeout = 0.05
    callers.server.expiration_interval = 0.01
    callers.serve()
    kept = callers.connect(REQUEST)
    assert status(kept) == 200
    released = callers.hold()
    kept.sendall(REQUEST)
    time.sleep(0.1)
    released.set()
    assert status(kept) == 200


def test_connection_with_an_unread_request_does_not_make_way(callers):
    """Guards against a bound on connections that closes a request unread."""
    callers.server.max_connections = 2
    callers.serve()
    kept = callers.connect(REQUEST)
    assert status(kept) == 200
    released = callers.hold()
    kept.sendall(REQUEST)
    callers.connect()
    released.set()
    assert status(kept) == 200


@pytest.mark.parametrize("is_stopping", [False, True])
def test_request_behind_another_is_answered_while_draining(
    callers, is_stopping
):
    """Guards against a close behind an answer with a request unread."""
    callers.serve()
    released = callers.hold()
    callers.server.entry.draining = True
    sock = callers.connect(REQUEST + REQUEST)
    if is_stopping:
        callers.stop()
    released.set()
    answers = b""
    while part := sock.recv(65536):
        answers += part
    assert answers.count(b"HTTP/1.1 200 OK") == 2
    assert answers.count(b"Connection: close") == 1


def test_caller_that_sends_without_end_does_not_hold_a_stop(callers):
    """Guards against a stop that lasts as long as requests arrive."""
    callers.server.shutdown_timeout = 0.5
    callers.server.entry.draining = True
    callers.serve()
    sock = callers.connect()
    end_s = time.monotonic() + 5

    def send() -> None:
        with contextlib.suppress(OSError):
            while time.monotonic() < end_s:
                sock.sendall(REQUEST * 50)

    def read() -> None:
        with contextlib.suppress(OSError):
            while sock.recv(65536):
                pass

    threads = [threading.Thread(target=work) for work in (send, read)]
    for thread in threads:
        thread.start()
    time.sleep(0.2)
    stopping = callers.stop()
    stopping.join(3.0)
    is_stopped = not stopping.is_alive()
    sock.close()
    for thread in threads:
        thread.join()
    assert is_stopped
