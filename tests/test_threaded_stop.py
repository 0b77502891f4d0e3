"""Requests that wait on connections as an agent or control stops."""

import collections.abc

import pytest

from flamingocleat.connection import threaded
from flamingocleat.process import agent
from flamingocleat.process import operators
from tests import stopping_servers

REQUEST = stopping_servers.REQUEST
status = stopping_servers.status


def application(environ, start_response):
    start_response("204 No Content", [])
    return []


def agent_server() -> threaded.Server:
    return agent._Server("127.0.0.1:0", application, 8)


def operators_server() -> threaded.Server:
    server = operators.HttpServer("127.0.0.1:0", application).server
    # The stop of the fixture waits for callers that send nothing.
    server.shutdown_timeout = 1
    return server


@pytest.fixture(params=[agent_server, operators_server])
def callers(request) -> collections.abc.Iterator[stopping_servers.Callers]:
    with stopping_servers.Callers(request.param()) as opened:
        yield opened


def test_requests_that_wait_to_be_accepted_are_answered_at_a_stop(callers):
    """Guards against a reset that leaves the outcome unknown."""
    waiting = [callers.connect(REQUEST) for _ in range(20)]
    callers.stop()
    assert [status(sock) for sock in waiting] == [204] * len(waiting)


def test_unread_request_on_a_kept_connection_is_answered_at_a_stop(callers):
    """Guards against a kept connection closed with a request unread."""
    callers.serve()
    kept = callers.connect(REQUEST)
    assert status(kept) == 204
    released = callers.hold()
    kept.sendall(REQUEST)
    callers.stop()
    released.set()
    assert status(kept) == 204


@pytest.mark.parametrize("sent", [1, 20, len(REQUEST) - 1])
def test_request_that_arrives_in_parts_is_answered_at_a_stop(callers, sent):
    """Guards against a stop between two parts of a request."""
    callers.serve()
    kept = callers.connect(REQUEST)
    assert status(kept) == 204
    released = callers.hold()
    kept.sendall(REQUEST[:sent])
    stopping = callers.stop()
    released.set()
    stopping.join(0.1)
    kept.sendall(REQUEST[sent:])
    assert status(kept) == 204
