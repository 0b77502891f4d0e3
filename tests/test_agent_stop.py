"""Calls that wait on an agent's connections as the agent stops."""

import collections.abc

import pytest

from flamingocleat.process import agent
from tests import stopping_servers

REQUEST = stopping_servers.REQUEST
status = stopping_servers.status


def application(environ, start_response):
    start_response("204 No Content", [])
    return []


@pytest.fixture
def callers() -> collections.abc.Iterator[stopping_servers.Callers]:
    server = agent._Server("127.0.0.1:0", application, 8)
    with stopping_servers.Callers(server) as opened:
        yield opened


def test_calls_that_wait_to_be_accepted_are_answered_at_a_stop(callers):
    """Guards against a reset that leaves the outcome of a call unknown."""
    waiting = [callers.connect(REQUEST) for _ in range(20)]
    callers.stop()
    assert [status(sock) for sock in waiting] == [204] * len(waiting)


def test_unread_call_on_a_kept_connection_is_answered_at_a_stop(callers):
    """Guards against a kept connection closed with a call unread."""
    callers.serve()
    kept = callers.connect(REQUEST)
    assert status(kept) == 204
    released = callers.hold()
    kept.sendall(REQUEST)
    callers.stop()
    released.set()
    assert status(kept) == 204
