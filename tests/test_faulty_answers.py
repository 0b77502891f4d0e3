"""Agents and entries beside servers and agents whose answers are faulty.

An entry resumes a stream by the number of events, and each stream ends with an
event of its own, so that one which ends early or skips its end is noticed.
"""

import contextlib
import http.client
import json

import pytest
import urllib3

from tests import agent_support
from tests import entry_fakes as fakes

HEADS = {
    "length": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
    "empty": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "no content": "HTTP/1.1 204 No Content\r\nX-More: 1\r\n\r\n",
    "chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "refusal": "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
}
NEXT_ANSWERS = {
    "error": (500, b"no memory\n", "text/plain", "ran"),
    "error as events": (500, b"data: {9}\n\n", "text/event-stream", "ran"),
    "error as a whole stream": (
        500,
        b"data: {9}\n\n" + fakes.DONE,
        "text/event-stream",
        "ran",
    ),
    "page": (200, b"<html>\n\n", "text/html", "ran"),
    "no event": (200, b"", "text/event-stream", "ran"),
    "page as events": (200, b"<html>\n\n", "text/event-stream", "ran"),
    "error's head": (
        200,
        b"HTTP/1.1 500 X\r\nX: data: 1\r\n\r\nno memory data:\n\n",
        "text/event-stream",
        "ran",
    ),
    "text of an error": (
        200,
        b"error: no memory\n\n",
        "text/event-stream",
        "ran",
    ),
    "not run": (503, b"busy", "text/plain", "not-run"),
    "unknown": (502, b"cut", "text/plain", "unknown"),
}


@pytest.fixture
def entry():
    deployment = fakes.Deployment()
    yield deployment
    deployment.close()


def send_begun_stream(received: fakes.ReceivedRequest) -> None:
    begun = fakes.events(20).split(b"\n\n")[:3]
    received.sock.sendall(received.stream_head() + b"\n\n".join([*begun, b""]))


@pytest.mark.parametrize("name", NEXT_ANSWERS)
def test_answer_that_does_not_continue_a_stream_is_broken_off(entry, name):
    """The caller keeps its events, gets no other server's bytes, and no end."""
    status, body, content_type, outcome = NEXT_ANSWERS[name]

    def send(received):
        if not received.offset:
            return send_begun_stream(received)
        head = received.head(
            outcome,
            status,
            Content_Type=content_type,
            Content_Length=str(len(body)),
        )
        return received.sock.sendall(head + body)

    for number in range(2):
        entry.add_agent(f"g/{number}", send)
    program = entry.start_program(resume_wait_s=0.2)
    with pytest.raises(http.client.IncompleteRead) as error_info:
        program.request(body=fakes.completion())
    partial = error_info.value.partial
    begun, own, document = partial.partition(b"event: error\ndata: ")
    assert begun == b"data: {0}\n\ndata: {1}\n\ndata: {2}\n\n"
    assert own
    assert json.loads(document)["outcome"] == "unknown"


@pytest.mark.parametrize("status", [500, 503])
def test_failure_sent_as_events_keeps_its_status(entry, status):
    def fail(received):
        body = b"data: {9}\n\n" + fakes.DONE
        length = str(len(body))
        head = received.head(
            "ran",
            status,
            Content_Type="text/event-stream",
            Content_Length=length,
        )
        received.sock.sendall(head + body)

    entry.add_agent("g/0", fail)
    program = entry.start_program()
    answer = program.request(body=fakes.completion())
    assert (answer[0], answer[2]) == (status, b"data: {9}\n\n" + fakes.DONE)


@pytest.mark.parametrize("name", ["answer", "refusal", "stream"])
def test_head_of_an_agent_that_is_cut_is_no_answer(entry, name):
    """Neither a success nor a statement that the call did not run."""
    cuts = []

    def send_cut(received):
        whole = {
            "answer": received.head(Content_Length="0"),
            "refusal": received.head("not-run", 503, Content_Length="0"),
            "stream": received.stream_head(),
        }[name]
        sent = whole[: len(cuts)]
        cuts.append(len(sent) < len(whole))
        received.sock.sendall(sent)

    entry.add_agent("desk-1", send_cut, "desk")
    program = entry.start_program()
    while not cuts or cuts[-1]:
        status, _, body = program.request(path="/services/desk/order")
        if cuts[-1]:
            document = json.loads(body)
            assert (status, document["outcome"]) == (504, "unknown"), len(cuts)


STATUS_CHECKS = {
    b"/-/load": agent_support.short_answer(b"{}"),
    b"/-/status": agent_support.short_answer(b'{"loaded": ["m@1"]}'),
    b"/-/orders": agent_support.short_answer(b"{}", 202),
    b"/-/events": agent_support.short_answer(b'{"events": []}'),
    b"/-/cancel": agent_support.short_answer(b"{}"),
}


class Server:
    """A scripted backend server and its agent."""

    def __init__(
        self,
        agents: agent_support.Deployment,
        canned: agent_support.CannedServer,
        kind: str,
    ) -> None:
        self.agents = agents
        self.canned = canned
        self.kind = kind
        agents.start_agent("vm-1", self.canned.address, kind=kind)
        if kind == "engine":
            agents.control.assign(5, ["vm-1"])
        self.agent = agents.control.wait_serving(
            "vm-1", 5 if kind == "engine" else 0
        )

    def call(self, answer: bytes) -> urllib3.BaseHTTPResponse:
        """Make a call that the server answers with these bytes."""
        self.canned.answer = answer
        if self.kind == "engine":
            return self.agents.call(
                self.agent, agent_support.chat_body("x", 1), stream=True
            )
        return self.agents.call(self.agent, b"", "/renewals", stream=True)


@pytest.fixture
def server(tmp_path, request):
    with contextlib.ExitStack() as stack:
        agents = agent_support.Deployment(tmp_path)
        stack.callback(agents.close)
        canned = agent_support.CannedServer(b"", STATUS_CHECKS)
        stack.callback(canned.stop)
        yield Server(agents, canned, request.param)


@pytest.mark.parametrize("name", HEADS)
@pytest.mark.parametrize("server", ["plain", "engine"], indirect=True)
def test_head_of_a_server_that_is_cut_is_no_answer(server, name):
    """Its call may have run, and no bytes are passed on as its answer."""
    whole = HEADS[name].encode()
    for cut in range(len(whole)):
        response = server.call(whole[:cut])
        response.drain_conn()
        found = (response.status, agent_support.outcome(response))
        assert found == (502, "unknown"), whole[:cut]


@pytest.mark.parametrize("server", ["plain"], indirect=True)
def test_refusal_that_a_server_repeats_is_not_read(server):
    """Each call has a connection of its own, so none can be left over."""
    refusal = HEADS["refusal"].encode()
    response = server.call(refusal * 2)
    # The service has answered the call, so that it counts as run.
    found = (response.status, agent_support.outcome(response))
    assert found == (503, "ran")
    done = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
    for _ in range(3):
        response = server.call(done + refusal)
        assert (response.status, response.data) == (200, b"done")
