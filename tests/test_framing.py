"""Tests of requests with an ambiguous length at a running entry."""

import socket

import pytest

from tests import entry_fakes as fakes

_HEAD = (
    "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"
    "Authorization: Bearer caller-key\r\nContent-Type: application/json\r\n"
)
_AMBIGUOUS = {
    "both lengths": "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"
    "0\r\n\r\n",
    "two different lengths": "Content-Length: 2\r\nContent-Length: 9\r\n\r\n{}",
    "list of lengths": "Content-Length: 2, 9\r\n\r\n{}",
    "signed length": "Content-Length: +2\r\n\r\n{}",
    "chunk size is no number": "Transfer-Encoding: chunked\r\n\r\n"
    "zz\r\n{}\r\n0\r\n\r\n",
    "chunk without its end": "Transfer-Encoding: chunked\r\n\r\n"
    "2\r\n{}XX0\r\n\r\n",
}


@pytest.fixture
def deployment():
    deployment = fakes.Deployment()
    yield deployment
    deployment.close()


@pytest.mark.parametrize("name", _AMBIGUOUS)
def test_ambiguous_length_is_refused(deployment, name):
    """Guards against request smuggling by an ambiguous length.

    RFC 9112, section 6.3: answer 400, close, and forward nothing.
    """
    agent = deployment.add_agent("g/0", fakes.send_events)
    program = deployment.start_program()
    address = ("127.0.0.1", program.port)
    with socket.create_connection(address, timeout=5) as caller:
        caller.sendall((_HEAD + _AMBIGUOUS[name]).encode())
        answer = b""
        while data := caller.recv(4096):
            answer += data
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert answer.count(b"HTTP/1.1 ") == 1
    assert agent.received == []


def test_repeated_equal_length_is_taken(deployment):
    """Guards against refusing a request that repeats the same length."""
    deployment.add_agent("g/0", fakes.send_events)
    program = deployment.start_program()
    body = fakes.completion()
    length = f"Content-Length: {len(body)}\r\n" * 2
    with socket.create_connection(
        ("127.0.0.1", program.port), timeout=5
    ) as caller:
        caller.sendall((_HEAD + length + "\r\n").encode() + body)
        assert caller.recv(4096).startswith(b"HTTP/1.1 200 ")
