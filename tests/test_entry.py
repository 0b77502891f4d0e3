"""Tests of requests, streams and refusals at a running entry."""

import collections.abc
import contextlib
import http.client
import itertools
import json
import signal
import socket
import subprocess
import sys
import threading
import time

import hypothesis
import pytest
from hypothesis import strategies

from flamingocleat import messages
from flamingocleat.connection import watch
from flamingocleat.request import attempt
from flamingocleat.request import relay
from tests import entry_fakes as fakes


@pytest.fixture
def deployment() -> collections.abc.Iterator[fakes.Deployment]:
    deployment = fakes.Deployment()
    yield deployment
    deployment.close()


def answer_done(received: fakes.ReceivedRequest) -> None:
    received.answer(b"done")


def drop_connection(received: fakes.ReceivedRequest) -> None:
    """Close the connection without an answer."""


def test_relays_whole_stream(deployment):
    """Guards against a stream that is changed on its way to the caller."""
    agent = deployment.add_agent("g/0", fakes.send_events)
    program = deployment.start_program()
    status, headers, body = program.request(body=fakes.completion())
    assert (status, body) == (200, fakes.events(20))
    assert headers["content-type"] == "text/event-stream"
    assert agent.received[0].headers["flamingocleat-fence"] == "7"


_REFUSED_REQUESTS = {
    "no key": (401, {"key": ""}),
    "unknown customer": (401, {"key": "another-key"}),
    "service not permitted": (403, {"path": "/services/other/x"}),
    "unknown service": (403, {"path": "/services/nowhere/x"}),
    "wrong kind": (400, {"path": "/services/llm/x"}),
    "no such page": (404, {"path": "/v1/models"}),
    "wrong method": (405, {"method": "GET"}),
    "body is no JSON": (400, {"body": b"{"}),
    "body names no model": (400, {"body": b"{}"}),
    "body too large": (413, {"body": b" " * 4097}),
    "announced body too large": (413, {"Content_Length": "4097"}),
    "body too large for server": (413, {"Content_Length": "20000000"}),
    "chunked body too large": (413, {"body": iter([b" " * 3000] * 2)}),
    "header too large": (413, {"X_Other": "x" * 20_000}),
    "bad timeout": (400, {"X_Request_Timeout_Ms": "1.5"}),
    "relative path": (400, {"path": "/services/desk/a/%2e%2e/reset"}),
    "key is no UUIDv7": (400, {"Idempotency_Key": "1234"}),
    "key is a UUIDv4": (400, {"Idempotency_Key": fakes.new_key(4)}),
    "key is too old": (
        400,
        {"Idempotency_Key": "0193f5e0-0000-7000-8000-000000000000"},
    ),
    "key lies in the future": (
        400,
        {"Idempotency_Key": "ffffffff-ffff-7000-8000-000000000000"},
    ),
}


@pytest.mark.parametrize("name", _REFUSED_REQUESTS)
def test_refused_request_reaches_no_backend(deployment, name):
    """Guards against dispatching a request that must be refused.

    The refusal must also not claim more than the entry knows of the outcome.
    """
    deployment.add_agent("g/0", fakes.send_events)
    deployment.add_agent("desk-1", answer_done, "desk")
    program = deployment.start_program()
    expected, changes = _REFUSED_REQUESTS[name]
    arguments = {"body": fakes.completion(), **changes}
    status, _, body = program.request(**arguments)
    assert status == expected
    assert [a.received for a in deployment.agents] == [[], []]
    if name not in ("header too large", "body too large for server"):
        problem_document = json.loads(body)
        assert problem_document["attempt"] == "not-run"
        # The register was not asked, and may hold a well-formed key.
        keyed = name in ("key is too old", "key lies in the future")
        assert problem_document["outcome"] == (
            "unknown" if keyed else "not-run"
        )


@pytest.mark.parametrize("cut", [0, 1, 11, 12, 13, 47, 150, 227, 228])
def test_truncated_stream_is_resumed(deployment, cut):
    """Guards against lost or repeated events after a cut connection.

    The engine's connection ends at various bytes of the stream.
    """

    def truncate(received: fakes.ReceivedRequest) -> None:
        data = fakes.events(20)[:cut]
        received.sock.sendall(received.stream_head() + data)

    truncating = deployment.add_agent("g/0", truncate)
    deployment.add_agent("g/1", fakes.send_events)
    program = deployment.start_program()
    while not truncating.received:
        _, _, body = program.request(body=fakes.completion())
        assert body == fakes.events(20)


def test_silent_stream_is_resumed(deployment):
    """Guards against a caller that waits on a stream which went silent.

    The engine's connection stays open but sends nothing more.
    """
    released = threading.Event()

    def pause(received: fakes.ReceivedRequest) -> None:
        received.sock.sendall(received.stream_head() + b"data: {0}\n\nda")
        released.wait()

    silent = deployment.add_agent("g/0", pause)
    deployment.add_agent("g/1", fakes.send_events)
    program = deployment.start_program(silence_timeout_s=0.2)
    while not silent.received:
        _, _, body = program.request(body=fakes.completion())
        assert body == fakes.events(20)
    released.set()


@pytest.mark.parametrize("other", ["none", "no budget"])
def test_late_stream_that_cannot_be_retried_is_awaited(deployment, other):
    """Guards against a stream given up that no other attempt can replace."""

    def delay(received: fakes.ReceivedRequest) -> None:
        time.sleep(0.5)
        fakes.send_events(received)

    agents = [deployment.add_agent("g/0", delay)]
    if other == "no budget":
        agents.append(deployment.add_agent("g/1", delay))
    program = deployment.start_program(first_byte_timeout_s=0.1)
    if other == "no budget":
        while program.entry.budget.withdraw():
            pass
    status, _, body = program.request(body=fakes.completion())
    assert (status, body) == (200, fakes.events(20))
    assert sum(len(agent.received) for agent in agents) == 1


@pytest.mark.parametrize("headers", [False, True])
def test_late_stream_moves_to_a_free_server(deployment, headers):
    """Guards against a caller who waits for a server that does not begin."""
    released = threading.Event()

    def pause(received: fakes.ReceivedRequest) -> None:
        if headers:
            received.sock.sendall(received.stream_head())
        released.wait(fakes.TIMEOUT_S)

    silent = deployment.add_agent("g/0", pause)
    deployment.add_agent("g/1", fakes.send_events)
    program = deployment.start_program(first_byte_timeout_s=0.1)
    tokens = program.entry.budget.tokens
    while not silent.received:
        _, _, body = program.request(body=fakes.completion())
        assert body == fakes.events(20)
    assert program.entry.budget.tokens == tokens - 1
    released.set()


def test_stream_that_cannot_be_resumed_has_no_proper_end(deployment):
    """Guards against a partial answer that looks complete to the caller.

    The stream is cut and no agent accepts the resumed call.
    """

    def truncate(received: fakes.ReceivedRequest) -> None:
        if received.offset:
            received.answer(b"", "not-run", 503)
        else:
            received.sock.sendall(received.stream_head() + b"data: {0}\n\n")

    deployment.add_agent("g/0", truncate)
    program = deployment.start_program(resume_wait_s=0.2)
    with pytest.raises(http.client.IncompleteRead) as error_info:
        program.request(body=fakes.completion())
    assert b"event: error" in error_info.value.partial
    assert fakes.DONE not in error_info.value.partial
    # Part of the answer was delivered, so the outcome cannot be "not-run".
    assert b'"outcome":"unknown"' in error_info.value.partial


def test_answer_to_another_request_is_refused(deployment):
    """Guards against passing on an answer with another request's id."""

    def foreign(received: fakes.ReceivedRequest) -> None:
        received.headers["x-request-id"] = "another"
        received.answer(b"secret")

    agent = deployment.add_agent("g/0", foreign)
    deployment.add_agent("desk-1", foreign, "desk")
    program = deployment.start_program()
    status, _, body = program.request(body=fakes.completion(False))
    assert (status, json.loads(body)["outcome"]) == (504, "unknown")
    status, _, body = program.request(path="/services/desk/order")
    assert (status, json.loads(body)["outcome"]) == (504, "unknown")
    assert len(agent.received) == 1


def test_late_duplicate_of_an_answer_is_dropped(deployment):
    """Guards against bytes after a complete answer in the next answer.

    The agent sends its answer twice on one connection.
    """

    def twice(received: fakes.ReceivedRequest) -> None:
        fakes.send_events(received, 3)
        received.sock.sendall(fakes.events(3))

    deployment.add_agent("g/0", twice)
    program = deployment.start_program()
    connection = http.client.HTTPConnection("127.0.0.1", program.port)
    for _ in range(3):
        connection.request(
            "POST",
            "/v1/chat/completions",
            fakes.completion(),
            {"Authorization": f"Bearer {fakes.KEY}"},
        )
        assert connection.getresponse().read() == fakes.events(3)
    connection.close()


def test_equal_request_ids_of_callers_differ_at_the_engine(deployment):
    """Guards against cancelling the request of another caller.

    Engines cancel by request id, so callers that use the same id must get
    different ones at the engine.
    """
    agent = deployment.add_agent("g/0", fakes.send_events)
    program = deployment.start_program()
    for _ in range(2):
        _, headers, _ = program.request(
            body=fakes.completion(), X_Request_Id="same"
        )
        assert headers["x-request-id"] == "same"
    first, second = (r.headers["x-request-id"] for r in agent.received)
    assert first != second
    assert first.startswith("same.")


def test_truncated_answer_is_not_passed_on(deployment):
    """Guards against passing on an answer shorter than its Content-Length."""

    def cut(received: fakes.ReceivedRequest) -> None:
        received.sock.sendall(received.head(Content_Length="4") + b"do")

    cutting = deployment.add_agent("g/0", cut)
    deployment.add_agent("g/1", answer_done)
    program = deployment.start_program()
    while not cutting.received:
        answer = program.request(body=fakes.completion(False))
        assert (answer[0], answer[2]) == (200, b"done")


def test_not_run_by_agent_allows_another_attempt(deployment):
    """Guards against failing a non-repeatable call that was not run.

    An agent refuses the call as not run, so another agent may get it; the
    outcome is "not-run" if there is none.
    """

    def refuse(received: fakes.ReceivedRequest) -> None:
        received.answer(b"", "not-run", 409)

    refusing = deployment.add_agent("desk-1", refuse, "desk")
    running = deployment.add_agent("desk-2", answer_done, "desk")
    program = deployment.start_program()
    while not refusing.received:
        answer = program.request(path="/services/desk/order")
        assert (answer[0], answer[2]) == (200, b"done")
    running.leaving = True
    fakes.wait_for(
        lambda: any(
            w.candidate.leaving for w in program.entry.backends.watched.values()
        )
    )
    status, headers, body = program.request(path="/services/desk/order")
    assert (status, json.loads(body)["outcome"]) == (503, "not-run")
    assert headers["retry-after"]


@pytest.mark.parametrize("path", ["order", "%72eset", "/reset"])
def test_broken_non_repeatable_call_is_unknown(deployment, path):
    """Guards against a second run or "not-run" for a call that may have run.

    The connection ends without an answer to a non-repeatable call.
    """
    for name in ("desk-1", "desk-2"):
        deployment.add_agent(name, drop_connection, "desk")
    program = deployment.start_program()
    method = "POST" if path == "order" else "GET"
    status, _, body = program.request(method, f"/services/desk/{path}")
    assert (status, json.loads(body)["outcome"]) == (504, "unknown")
    assert sum(len(agent.received) for agent in deployment.agents) == 1


def test_refused_connection_is_not_run(deployment):
    """Guards against the outcome "unknown" where no byte was sent.

    The agent refuses the connection.
    """
    agent = deployment.add_agent("desk-1", answer_done, "desk")
    program = deployment.start_program()
    # close() would leave the socket open while the thread is in accept().
    agent.http.shutdown(socket.SHUT_RDWR)
    status, _, body = program.request(path="/services/desk/order")
    assert (status, json.loads(body)["outcome"]) == (503, "not-run")


def test_disconnected_caller_cancels_the_call(deployment):
    """Guards against engines that serve a caller who has disconnected."""
    ended = threading.Event()

    def pause(received: fakes.ReceivedRequest) -> None:
        if b"true" in received.body:
            received.sock.sendall(received.stream_head() + b"data: {}\n\n")
        with contextlib.suppress(OSError):
            received.sock.recv(1)
        ended.set()

    deployment.add_agent("g/0", pause)
    program = deployment.start_program(silence_timeout_s=60.0)
    for stream in (True, False):
        body = fakes.completion(stream)
        caller = socket.create_connection(("127.0.0.1", program.port))
        caller.sendall(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            b"Authorization: Bearer %b\r\nContent-Length: %d\r\n\r\n%b"
            % (fakes.KEY.encode(), len(body), body)
        )
        if stream:
            # With no unread data, close() sends a FIN and not a reset.
            while not caller.recv(4096).endswith(b"data: {}\n\n\r\n"):
                pass
        else:
            fakes.wait_for(lambda: len(deployment.agents[0].received) == 2)
        caller.close()
        assert ended.wait(fakes.TIMEOUT_S)
        ended.clear()


def test_leaving_and_silent_backends_get_no_calls(deployment):
    """Guards against sending calls to a leaving or unreachable agent."""
    agents = [
        deployment.add_agent(f"g/{i}", fakes.send_events) for i in range(3)
    ]
    program = deployment.start_program()
    agents[0].leaving = True
    agents[1].sends_reports = False
    watched = program.entry.backends.watched
    fakes.wait_for(
        lambda: (
            {
                w.candidate.view.backend
                for w in watched.values()
                if w.candidate.leaving or w.candidate.suspect
            }
            == {"g/0", "g/1"}
        )
    )
    for _ in range(6):
        assert program.request(body=fakes.completion())[0] == 200
    assert [len(agent.received) for agent in agents] == [0, 0, 6]


def test_retries_stay_within_budget(deployment):
    """Guards against retries that multiply the load if all attempts fail."""
    for index in range(4):
        deployment.add_agent(f"g/{index}", drop_connection)
    program = deployment.start_program()
    requests = 150
    for _ in range(requests):
        assert program.request(body=fakes.completion(False))[0] == 504
    attempts = sum(len(agent.received) for agent in deployment.agents)
    assert requests < attempts <= requests * 1.1


def test_budget_never_exceeds_its_ratio():
    """Guards against a retry budget above its ratio.

    The initial retries of a new entry must not be added to the ratio.
    """
    budget = attempt.Budget(0.1)
    granted = 0
    for count in range(1, 500):
        budget.record_request()
        granted += budget.withdraw()
        assert granted <= max(attempt.INITIAL_RETRIES, count / 10)


def test_version_never_goes_back(deployment):
    """Guards against an outdated leader reverting or confirming a version.

    The entry loses its leader and follows a node with an older version.
    """
    deployment.add_agent("g/0", fakes.send_events)
    older = deployment.start_control()
    deployment.control.version, older.version = 5, 3
    addresses = (
        deployment.control.grpc_server.address,
        older.grpc_server.address,
    )
    program = deployment.start_program(control=addresses)
    control = program.entry.control
    deployment.control.grpc_server.stop()
    older.statuses.clear()
    fakes.wait_for(lambda: control.channel is None)
    confirmed_s = control.confirmed_s
    fakes.wait_for(lambda: len(older.statuses) >= 3)
    assert control.state.version == 5
    assert control.confirmed_s == confirmed_s
    assert {s.confirmed_version for s in older.statuses} == {5}
    older.version = 6
    fakes.wait_for(lambda: control.state.version == 6)


def test_follows_hint_to_leader(deployment):
    """Guards against an entry that stays with a follower.

    The follower refuses the watch and names the leader's address.
    """
    deployment.add_agent("g/0", fakes.send_events)
    follower = deployment.start_control(deployment.control.grpc_server.address)
    program = deployment.start_program(control=(follower.grpc_server.address,))
    assert program.request(body=fakes.completion())[0] == 200


@pytest.mark.parametrize("policy", ["refuse", "serve"])
def test_stale_configuration(deployment, policy):
    """Guards against serving with a stale configuration against the policy.

    The leader stops confirming for longer than the staleness limit.
    """
    deployment.add_agent("g/0", fakes.send_events)
    deployment.control.configuration = fakes.with_policy(policy, 0.3)
    program = deployment.start_program()
    deployment.control.sends_views = False
    limit_s = program.entry.control.confirmed_s + 0.3
    fakes.wait_for(lambda: time.monotonic() > limit_s)
    status, _, body = program.request(body=fakes.completion())
    ready, _, _ = program.request("GET", "/readyz")
    if policy == "serve":
        assert (status, ready) == (200, 200)
    else:
        assert (status, ready) == (503, 503)
        assert json.loads(body)["outcome"] == "not-run"


def test_delayed_view_confirms_only_what_it_proves():
    """Guards against a delayed view that refreshes an old configuration.

    The view was buffered while the entry was paused; it confirms only the
    time at which the status that it echoes was sent.
    """
    session = watch.StatusTimes()
    for now_s in (100.0, 100.5, 107.0):
        session.send(now_s)
    assert session.confirmed_s(2) == 100.5
    assert session.confirmed_s(3) == 107.0
    assert session.confirmed_s(0) == 100.5
    paused = watch.StatusTimes()
    for now_s in (100.0, 107.0, 107.01, 107.02):
        paused.send(now_s)
    assert paused.confirmed_s(0) == 100.0


def test_view_without_configuration_is_not_taken(deployment):
    """Guards against taking a new version without its configuration."""
    deployment.add_agent("g/0", fakes.send_events)
    program = deployment.start_program()
    deployment.control.configuration = None
    deployment.control.version = 2
    known = len(deployment.control.statuses)
    fakes.wait_for(lambda: len(deployment.control.statuses) > known + 3)
    assert program.entry.control.state.version == 1
    assert messages.ClusterView(version=1).echo == 0


def test_drain_cuts_no_stream(deployment, tmp_path):
    """Guards against streams cut and calls refused too early on SIGTERM."""
    proceed = threading.Event()

    def slow(received: fakes.ReceivedRequest) -> None:
        if b"false" in received.body:
            return received.answer(b"done")
        received.sock.sendall(received.stream_head() + b"data: {0}\n\n")
        proceed.wait(fakes.TIMEOUT_S)
        return received.sock.sendall(fakes.events(20)[len("data: {0}\n\n") :])

    agent = deployment.add_agent("g/0", slow)
    caller = fakes.Caller()
    path = tmp_path / "entry.yaml"
    path.write_text(
        f"entry: e\ndata_centre: a\nlisten: 127.0.0.1:{caller.port}\n"
        f"control: ['{deployment.control.grpc_server.address}']\nthreads: 8\n"
        "drain_notice_s: 1.0\nsilence_timeout_s: 60.0\n"
    )
    command = [sys.executable, "-m", "flamingocleat.process.entry"]
    program = subprocess.Popen(
        [*command, "--settings", str(path)],
        env={"PYTHONPATH": "src"},
        stderr=subprocess.DEVNULL,
    )
    bodies = []
    stream = threading.Thread(
        target=lambda: bodies.append(caller.request(body=fakes.completion()))
    )
    try:
        body = fakes.completion(False)
        fakes.wait_for(lambda: caller.status(body=body) == 200)
        stream.start()
        fakes.wait_for(lambda: b"true" in agent.received[-1].body)
        program.send_signal(signal.SIGTERM)
        fakes.wait_for(lambda: caller.status("GET", "/readyz") == 503)
        assert caller.status(body=body) == 200
        fakes.wait_for(lambda: caller.status(body=body) == 503)
        assert program.poll() is None
        proceed.set()
        stream.join()
        assert bodies[0][0::2] == (200, fakes.events(20))
        assert program.wait(fakes.TIMEOUT_S) == 0
    finally:
        proceed.set()
        program.kill()
        program.wait()


@hypothesis.given(
    sizes=strategies.lists(strategies.integers(1, 300), min_size=1),
    cuts=strategies.lists(strategies.integers(0, 5000)),
)
def test_chunked_stream_is_decoded_at_any_cut(sizes, cuts):
    """Guards against data damaged when a read ends within a chunk or size.

    Invalid chunk sizes must raise an error.
    """
    data = b"".join(b"%x\r\n%b\r\n" % (n, b"y" * n) for n in sizes)
    bounds = sorted({0, len(data), *(c for c in cuts if c < len(data))})
    chunks = relay.ChunkedDecoder()
    decoded = [chunks.decode(data[a:b]) for a, b in itertools.pairwise(bounds)]
    assert b"".join(decoded) == b"y" * sum(sizes)
    for size in (b"zz\r\n", b"-1\r\n", b"fffffffff\r\n", b"0" * 30):
        with pytest.raises(attempt.AttemptError):
            relay.ChunkedDecoder().decode(size)


def test_slow_caller_gets_every_byte(deployment):
    """Guards against bytes lost when the caller's socket buffer is full."""
    count = 600_000

    def chunked(received: fakes.ReceivedRequest) -> None:
        parts = fakes.events(count)
        received.sock.sendall(
            received.head(
                Content_Type="text/event-stream", Transfer_Encoding="chunked"
            )
        )
        for start in range(0, len(parts), 50_000):
            part = parts[start : start + 50_000]
            received.sock.sendall(b"%x\r\n%b\r\n" % (len(part), part))
        received.sock.sendall(b"0\r\n\r\n")

    deployment.add_agent("g/0", chunked)
    program = deployment.start_program()
    connection = http.client.HTTPConnection("127.0.0.1", program.port)
    connection.request(
        "POST",
        "/v1/chat/completions",
        fakes.completion(),
        {"Authorization": f"Bearer {fakes.KEY}"},
    )
    response = connection.getresponse()
    time.sleep(0.5)
    assert response.read() == fakes.events(count)
    connection.close()
