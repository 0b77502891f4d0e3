"""Entries, agents and ctl beside peers that send no answer of the protocol."""

import contextlib
import http.client
import itertools
import json

import pytest
import urllib3.exceptions

from flamingocleat.connection import bounded
from tests import agent_support
from tests import entry_fakes as fakes
from tests import statuses
from tests import test_faulty_answers as faulty

DONE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


@pytest.fixture
def canned():
    server = agent_support.CannedServer(b"", {})
    yield server
    server.stop()


@pytest.fixture
def plain_server(tmp_path):
    with contextlib.ExitStack() as stack:
        agents = agent_support.Deployment(tmp_path)
        stack.callback(agents.close)
        server = agent_support.CannedServer(b"", faulty.STATUS_CHECKS)
        stack.callback(server.stop)
        yield faulty.Server(agents, server, "plain")


@pytest.fixture
def entry():
    deployment = fakes.Deployment()
    yield deployment
    deployment.close()


def _ask(address: str) -> tuple[int, bytes]:
    with bounded.Pool(f"http://{address}", 2.0, 1_000) as pool:
        return pool.ask("GET", "/x")


# The library takes 700, 2_00 and HTTP/1.x for answers.
@pytest.mark.parametrize("line", statuses.NO_ANSWERS)
def test_head_that_no_server_may_send_is_no_answer(canned, line):
    for interim in (b"", *statuses.INTERIM_ANSWERS):
        canned.answer = interim + statuses.with_first_line(DONE, line)
        with pytest.raises(urllib3.exceptions.ProtocolError):
            _ask(canned.address)
        with pytest.raises(urllib3.exceptions.ProtocolError):
            bounded.pool_manager().request("GET", f"http://{canned.address}/x")


# The library takes the interim answers 102 and 103 for final ones.
@pytest.mark.parametrize("interim", statuses.INTERIM_ANSWERS)
def test_final_answer_follows_interim_ones(canned, interim):
    canned.answer = interim + DONE
    assert _ask(canned.address) == (200, b"done")


def test_interim_answers_without_end_are_no_answer(canned):
    canned.answer = 100 * statuses.INTERIM_ANSWERS[1] + DONE
    with pytest.raises(urllib3.exceptions.ProtocolError):
        _ask(canned.address)


def test_agent_passes_on_no_head_that_is_no_answer(plain_server):
    """The call may have run, and no bytes are passed on as its answer."""
    for line in statuses.NO_ANSWERS:
        answer = statuses.with_first_line(DONE, line)
        response = plain_server.call(answer)
        response.drain_conn()
        found = (response.status, agent_support.outcome(response))
        assert found == (502, "unknown"), line
    for interim in statuses.INTERIM_ANSWERS:
        response = plain_server.call(interim + DONE)
        assert (response.status, response.data) == (200, b"done"), interim


def test_entry_takes_no_head_for_an_answer_that_is_none(entry):
    """Neither a success nor a statement that the call did not run."""
    sent = []

    def send(received):
        head = received.head(Content_Length="4")
        line = statuses.NO_ANSWERS[len(sent)]
        sent.append(line)
        received.sock.sendall(statuses.with_first_line(head, line) + b"done")

    entry.add_agent("desk-1", send, "desk")
    program = entry.start_program()
    for line in statuses.NO_ANSWERS:
        status, _, body = program.request(path="/services/desk/order")
        document = json.loads(body)
        assert (status, document["outcome"]) == (504, "unknown"), line
    assert len(sent) == len(statuses.NO_ANSWERS)


def test_entry_takes_the_final_answer_after_interim_ones(entry):
    sent = []

    def send(received):
        interim = statuses.INTERIM_ANSWERS[len(sent)]
        sent.append(interim)
        head = received.head(Content_Length="4")
        received.sock.sendall(interim + head + b"done")

    entry.add_agent("desk-1", send, "desk")
    program = entry.start_program()
    for interim in statuses.INTERIM_ANSWERS:
        status, _, body = program.request(path="/services/desk/order")
        assert (status, body) == (200, b"done"), interim


def test_stream_is_not_continued_by_a_head_that_is_no_answer(entry):
    """The caller keeps its events and gets no end."""
    lines = [b"HTTP/1.1 700 X", b"HTTP/1.1 2_00 X", b"HTTP/1.x 200 X"]
    unsent = itertools.cycle(lines)

    def send(received):
        if not received.offset:
            return faulty.send_begun_stream(received)
        head = statuses.with_first_line(received.stream_head(), next(unsent))
        return received.sock.sendall(head + b"data: {3}\n\n" + fakes.DONE)

    for number in range(2):
        entry.add_agent(f"g/{number}", send)
    program = entry.start_program(resume_wait_s=0.2)
    for _ in lines:
        with pytest.raises(http.client.IncompleteRead) as error_info:
            program.request(body=fakes.completion())
        begun, own, _ = error_info.value.partial.partition(b"event: error\n")
        assert begun == b"data: {0}\n\ndata: {1}\n\ndata: {2}\n\n"
        assert own
