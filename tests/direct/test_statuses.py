"""Gateways beside servers that send no answer of the protocol."""

import pytest

from flamingocleat.request import budget
from tests import statuses
from tests.direct import support
from tests.direct import test_faulty_answers as faulty

PATHS = {"/read/x": "desk", "/once/x": "desk", "/stream/x": "llm"}


def _answer(received: support.ReceivedRequest, path: str) -> bytes:
    """Return a whole answer with the seal of its server."""
    if path == "/stream/x":
        first = int(received.headers.get("last-event-id", 0)) + 1
        head = received.response_head(200, *faulty.STREAM_HEAD)
        return head + support.chunk(faulty.events(first, 10)) + b"0\r\n\r\n"
    return received.response_head(200, "Content-Length: 4") + b"done"


def _send_after(path: str, interim: bytes):
    async def script(received: support.ReceivedRequest) -> None:
        await received.send(interim + _answer(received, path))

    return script


def _send_as(path: str, line: bytes, interim: bytes = b""):
    async def script(received: support.ReceivedRequest) -> None:
        answer = _answer(received, path)
        await received.send(interim + statuses.with_first_line(answer, line))

    return script


# Statuses from 600 on and other versions were passed on as answers.
@pytest.mark.parametrize("interim", [b"", statuses.INTERIM_ANSWERS[0]])
@pytest.mark.parametrize("path", PATHS)
def test_head_that_no_server_may_send_is_no_answer(path, interim):
    async def scenario(harness):
        backend = await harness.add(faulty.answer_done, PATHS[path])
        for line in statuses.NO_ANSWERS:
            backend.script = _send_as(path, line, interim)
            harness.candidate(0).mark_alive(0.0)
            harness.candidate(0).mark_succeeded()
            reply = await harness.request(path)
            assert reply.status == 502, line

    support.run_scenario(scenario)


@pytest.mark.parametrize("path", ["/read/x", "/stream/x"])
def test_request_is_sent_on_after_a_head_that_is_no_answer(path):
    """A request that may be repeated is answered by another server."""

    async def scenario(harness):
        harness.budget.settings = budget.BudgetSettings(slack=1_000.0)
        first = await harness.add(faulty.answer_done, PATHS[path])
        await harness.add(_send_after(path, b""), PATHS[path])
        for line in statuses.NO_ANSWERS:
            first.script = _send_as(path, line)
            for number in (0, 1):
                harness.candidate(number).mark_alive(0.0)
                harness.candidate(number).mark_succeeded()
            reply = await harness.request(path)
            assert (reply.status, reply.is_complete) == (200, True), line

    support.run_scenario(scenario)


def test_head_that_is_no_answer_does_not_continue_a_stream():
    """The caller keeps its events and gets no end."""

    async def scenario(harness):
        await harness.add(faulty.send_three_events, "llm")
        second = await harness.add(faulty.answer_done, "llm")
        for line in statuses.NO_ANSWERS:
            second.script = _send_as("/stream/x", line)
            for number in (0, 1):
                harness.candidate(number).mark_alive(0.0)
                harness.candidate(number).mark_succeeded()
            reply = await harness.request("/stream/x")
            assert (reply.status, reply.body) == (200, faulty.events(1, 3))
            assert not reply.is_complete, line

    support.run_scenario(scenario)


@pytest.mark.parametrize("interim", statuses.INTERIM_ANSWERS)
@pytest.mark.parametrize("path", PATHS)
def test_final_answer_follows_interim_ones(path, interim):
    async def scenario(harness):
        await harness.add(_send_after(path, interim), PATHS[path])
        reply = await harness.request(path)
        assert (reply.status, reply.is_complete) == (200, True)

    support.run_scenario(scenario)
