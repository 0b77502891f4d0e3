"""Tests of real agents with stand-ins: effects of faults on callers."""

import concurrent.futures
import signal
import socket
import time

import pytest
import urllib3.exceptions

from examples import standins
from flamingocleat import messages
from tests import agent_support
from tests import test_gate

wait_until = agent_support.wait_until
chat_body = agent_support.chat_body
outcome = agent_support.outcome
SLOW_ENGINE = ("--token-ms", "200", "--loaded", "m@1")


@pytest.fixture
def deployment(tmp_path):
    deployment = agent_support.Deployment(tmp_path)
    yield deployment
    deployment.close()


def key():
    age_s = test_gate.NOW_S - time.time()
    return test_gate.key(age_s)


def permit_headers(permit):
    return {
        "Flamingocleat_Permit": permit,
        "Flamingocleat_Customer": "c-1",
        "Idempotency_Key": key(),
    }


def slow_group(deployment):
    """Start a group of two VMs with a slow engine at the lead."""
    engine = deployment.start_standin("engine", *SLOW_ENGINE)
    deployment.start_agent("vm-1", engine)
    deployment.start_agent(
        "vm-2", deployment.start_standin("engine", "--loaded", "m@1")
    )
    deployment.control.assign(5, ["vm-1", "vm-2"])
    return engine, deployment.control.wait_serving("vm-1", 5)


def plain_backend(deployment, *options):
    service = deployment.start_standin("plain", *options)
    deployment.start_agent("vm-1", service, kind="plain", service="permit-desk")
    return service, deployment.control.wait_serving("vm-1", 0)


def read_until_cut(response):
    """Return the data received before the error of a truncated answer."""
    data = b""
    try:
        while chunk := response.read1():
            data += chunk
    except urllib3.exceptions.ProtocolError:
        return data
    raise AssertionError("the answer looks complete")


def assert_stopped(deployment, lead, engine):
    """Check that the group refuses calls as not run, and runs none."""
    wait_until(lambda: not deployment.control.statuses["vm-1"].serving, "stop")
    arrived = len(deployment.read_events(engine, "arrived"))
    refused = deployment.call(lead, chat_body("again", 1))
    assert refused.status == 503
    assert outcome(refused) == "not-run"
    assert len(deployment.read_events(engine, "arrived")) == arrived


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
def test_lost_member_stops_group_and_cuts_stream(deployment, number):
    """Guards against a group that serves without one of its members.

    A member is killed or suspended during a stream. The stream must end with
    an error, so that it is not taken for a complete answer.
    """
    engine, lead = slow_group(deployment)
    response = deployment.call(lead, chat_body("long", 500), stream=True)
    first = response.read1()
    deployment.agents["vm-2"].signal(number)
    data = first + read_until_cut(response)
    assert data.startswith(b"data: ")
    assert not data.endswith(standins.DONE)
    ended = wait_until(
        lambda: deployment.read_events(engine, "ended"), "cancel"
    )
    assert not ended[0]["whole"]
    assert_stopped(deployment, lead, engine)


def test_lost_engine_cuts_stream_at_once(deployment):
    """Guards against an entry that waits on an idle connection.

    The engine is killed during a stream, which must end at once so that the
    entry can resume it elsewhere.
    """
    _, lead = slow_group(deployment)
    response = deployment.call(lead, chat_body("long", 500), stream=True)
    assert response.read1()
    deployment.processes[0].kill()
    assert not read_until_cut(response).endswith(standins.DONE)


def test_lost_member_cuts_stream_of_a_silent_engine(deployment):
    """Guards against a caller that waits for a token that never comes.

    A member is killed before the engine has sent the first token.
    """
    engine = deployment.start_standin(
        "engine", "--token-ms", "60000", "--loaded", "m@1"
    )
    deployment.start_agent("vm-1", engine)
    deployment.start_agent(
        "vm-2", deployment.start_standin("engine", "--loaded", "m@1")
    )
    deployment.control.assign(5, ["vm-1", "vm-2"])
    lead = deployment.control.wait_serving("vm-1", 5)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        answer = pool.submit(deployment.call, lead, chat_body("long", 2))
        wait_until(lambda: deployment.read_events(engine, "started"), "start")
        deployment.agents["vm-2"].signal(signal.SIGKILL)
        response = answer.result(agent_support.TIMEOUT_S)
    assert response.status == 502
    assert outcome(response) == "unknown"
    ended = wait_until(
        lambda: deployment.read_events(engine, "ended"), "cancel"
    )
    assert not ended[0]["whole"]


def test_paused_lead_refuses_when_it_resumes(deployment):
    """Guards against a lead that takes a call right after a pause.

    Other VMs may have taken over during the pause, so its first check must
    fail.
    """
    lead = deployment.start_group(5, "vm-1", "vm-2")
    deployment.agents["vm-1"].signal(signal.SIGSTOP)
    deployment.agents["vm-2"].kill()
    time.sleep(1.1)  # Longer than members count as fresh.
    with concurrent.futures.ThreadPoolExecutor() as pool:
        answer = pool.submit(deployment.call, lead, chat_body("late", 1))
        deployment.agents["vm-1"].signal(signal.SIGCONT)
        response = answer.result(agent_support.TIMEOUT_S)
    assert response.status == 503
    assert outcome(response) == "not-run"


def test_hung_engine_stops_group(deployment):
    """Guards against counting a member as ready while its engine hangs."""
    engine, lead = slow_group(deployment)
    deployment.processes[2].signal(signal.SIGSTOP)  # The engine of vm-2.
    assert_stopped(deployment, lead, engine)


def test_restarted_agent_has_no_assignment(deployment):
    """Guards against a restarted member that resumes its old assignment."""
    engine, lead = slow_group(deployment)
    before = deployment.control.statuses["vm-2"].incarnation
    deployment.agents["vm-2"].kill()
    deployment.start_agent("vm-2", "")
    status = wait_until(
        lambda: (
            (now := deployment.control.statuses["vm-2"]).incarnation != before
            and now.loaded
            and now
        ),
        "restart",
    )
    assert status.state is messages.MemberState.UNASSIGNED
    assert_stopped(deployment, lead, engine)
    deployment.control.assign(6, ["vm-1", "vm-2"])
    deployment.control.wait_serving("vm-1", 6)


def test_outdated_order_reaches_no_engine(deployment):
    """Guards against passing an outdated order to the engine.

    The engine does not check fencing numbers, so the agent must.
    """
    engine, lead = slow_group(deployment)
    deployment.control.assign(3, ["vm-1"], group="g/1")
    seen = len(deployment.control.history)
    wait_until(lambda: len(deployment.control.history) > seen + 4, "statuses")
    assert deployment.control.statuses["vm-1"].fence == 5
    refused = deployment.call(
        lead, chat_body("old", 1), Flamingocleat_Fence="3"
    )
    assert outcome(refused) == "not-run"
    assert [o["fence"] for o in deployment.read_events(engine, "order")] == [5]
    assert not deployment.read_events(engine, "arrived")


def test_refused_order_never_makes_ready(deployment):
    """Guards against an agent that is ready though its engine refused.

    The engine has received an order with a higher fencing number from
    another sender.
    """
    engine = deployment.start_standin(
        "engine", "--check-fencing", "--loaded", "m@1"
    )
    order = b'{"order": "load", "model": "m", "version": "1", "fence": 9}'
    deployment.http.request("POST", f"http://{engine}/-/orders", body=order)
    deployment.start_agent("vm-1", engine)
    deployment.control.assign(5, ["vm-1"])
    wait_until(
        lambda: len(deployment.read_events(engine, "order")) > 3, "retries"
    )
    assert (
        deployment.control.statuses["vm-1"].state
        is messages.MemberState.LOADING
    )
    deployment.control.assign(10, ["vm-1"])
    deployment.control.wait_serving("vm-1", 10)


def test_disconnected_entry_cancels_at_the_engine(deployment):
    """Guards against a queued call that outlives its caller.

    A call that waits for a slot sends no data, so no failing write shows that
    the entry has disconnected.
    """
    engine = deployment.start_standin("engine", *SLOW_ENGINE, "--slots", "1")
    deployment.start_agent("vm-1", engine)
    deployment.control.assign(5, ["vm-1"])
    lead = deployment.control.wait_serving("vm-1", 5)
    running = deployment.call(lead, chat_body("first", 500), stream=True)
    running.read1()
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        deployment.http.request(
            "POST",
            f"http://{lead.data_address}/v1/chat/completions",
            body=chat_body("second", 5),
            headers=deployment.headers(lead, X_Request_Id="r-2"),
            timeout=0.5,
        )
    ended = wait_until(
        lambda: deployment.read_events(engine, "ended"), "cancel"
    )
    assert [line["request_id"] for line in ended] == ["r-2"]
    running.close()


@pytest.mark.parametrize("vm", ["vm-1", "vm-2"])
def test_planned_stop_cuts_no_stream(deployment, vm):
    """Guards against a planned stop that cuts a stream.

    The lead or the other member gets SIGTERM during a stream.
    """
    _, lead = slow_group(deployment)
    body = chat_body("long", 15)
    response = deployment.call(lead, body, stream=True)
    data = response.read1()
    deployment.agents[vm].signal(signal.SIGTERM)
    wait_until(lambda: deployment.control.statuses[vm].leaving, "leaving")
    wait_until(
        lambda: (
            outcome(deployment.call(lead, chat_body("new", 1))) == "not-run"
        ),
        "refusal of new calls",
    )
    data += response.read()
    assert data == standins.stream(body, 15)
    assert deployment.agents[vm].child.wait(agent_support.TIMEOUT_S) == 0


def test_release_by_control_cuts_no_stream(deployment):
    """Guards against a stream cut when control releases its group.

    Control may release a group before a status has reported a stream.
    """
    _, lead = slow_group(deployment)
    body = chat_body("long", 15)
    response = deployment.call(lead, body, stream=True)
    data = response.read1()
    deployment.agents["vm-2"].signal(signal.SIGTERM)
    deployment.control.orders.clear()
    wait_until(
        lambda: deployment.control.statuses["vm-1"].in_flight, "in flight"
    )
    data += response.read()
    assert data == standins.stream(body, 15)
    assert deployment.agents["vm-2"].child.wait(agent_support.TIMEOUT_S) == 0


def test_calls_in_flight_are_reported_before_the_engine_does(deployment):
    """Guards against control releasing a group with calls in flight.

    The engine's load report lags and shows the engine as idle.
    """
    engine = deployment.start_standin(
        "engine", *SLOW_ENGINE, "--load-lag-ms", "60000"
    )
    deployment.start_agent("vm-1", engine)
    deployment.control.assign(5, ["vm-1"])
    lead = deployment.control.wait_serving("vm-1", 5)
    response = deployment.call(lead, chat_body("long", 20), stream=True)
    running = deployment.control.statuses
    wait_until(lambda: running["vm-1"].load.running == 1, "load")
    response.close()


def test_stop_by_order(deployment):
    """Guards against an agent that ignores the order to leave.

    Control sends it for a drained VM; the agent must exit as on SIGTERM.
    """
    deployment.start_group(5, "vm-1")
    deployment.control.orders["vm-1"] = messages.AgentOrder(leave=True)
    assert deployment.agents["vm-1"].child.wait(agent_support.TIMEOUT_S) == 0
    assert deployment.control.history[-1].leaving


def test_resumed_stream_starts_at_the_offset(deployment):
    """Guards against repeated or lost events in a resumed stream."""
    lead = deployment.start_group(5, "vm-1")
    body = chat_body("again", 6)
    response = deployment.call(lead, body, Flamingocleat_Resume_Offset="4")
    assert response.data == standins.stream(body, 6, 4)
    assert response.headers["X-Request-Id"] == "r-1"


def test_permit_runs_once(deployment):
    """Guards against running copies of a non-repeatable call twice.

    Eight copies with one permit arrive at once.
    """
    service, agent = plain_backend(deployment, "--delay-ms", "100")
    headers = permit_headers("p-1")
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        calls = [
            pool.submit(deployment.call, agent, b"fee", "/renewals", **headers)
            for _ in range(8)
        ]
        outcomes = sorted(outcome(call.result()) for call in calls)
    assert outcomes == ["ran"] + ["unknown"] * 7
    (run,) = deployment.read_events(service, "run")
    assert run["key"] == headers["Idempotency_Key"]
    assert deployment.void(agent, "p-1") is messages.PermitState.USED


def test_voided_permit_does_not_run(deployment):
    """Guards against running a cancelled call that arrives late."""
    service, agent = plain_backend(deployment)
    assert deployment.void(agent, "p-1") is messages.PermitState.VOIDED
    response = deployment.call(agent, b"", "/renewals", **permit_headers("p-1"))
    assert outcome(response) == "not-run"
    assert not deployment.read_events(service, "run")


def test_wrong_incarnation_is_not_run(deployment):
    """Guards against running a call meant for an earlier incarnation."""
    service, agent = plain_backend(deployment)
    headers = {**permit_headers("p-1"), "Flamingocleat_Incarnation": "old"}
    response = deployment.call(agent, b"", "/renewals", **headers)
    assert (response.status, outcome(response)) == (409, "not-run")
    assert not deployment.read_events(service, "run")


def test_answer_is_recorded_after_failures(deployment):
    """Guards against an outcome that stays unknown for ever.

    Control fails three times to record the answer.
    """
    _, agent = plain_backend(deployment)
    deployment.control.conclude_failures = 3
    response = deployment.call(
        agent, b"x", "/renewals", **permit_headers("p-1")
    )
    assert outcome(response) == "ran"
    (recorded,) = wait_until(lambda: deployment.control.answers, "record")
    assert recorded.permit == "p-1"
    assert recorded.answer.body == response.data
    assert deployment.control.conclude_failures == 0


def test_answer_is_recorded_though_the_entry_disconnected(deployment):
    """Guards against losing the answer of a call whose entry disconnected.

    Another entry may look up the same key.
    """
    _, agent = plain_backend(deployment, "--delay-ms", "1000")
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        deployment.http.request(
            "POST",
            f"http://{agent.data_address}/renewals",
            headers=deployment.headers(agent, **permit_headers("p-1")),
            timeout=0.3,
        )
    (recorded,) = wait_until(lambda: deployment.control.answers, "record")
    assert recorded.answer.status == 200


def test_large_answer_is_an_error_that_ran(deployment):
    """Guards against reporting a call that ran as not run.

    Its answer is too large to be recorded.
    """
    _, agent = plain_backend(deployment)
    path = "/renewals?size=262144"
    response = deployment.call(agent, b"", path, **permit_headers("p-1"))
    assert (response.status, outcome(response)) == (502, "ran")
    assert b"exceeds 262144 bytes" in response.data
    (recorded,) = wait_until(lambda: deployment.control.answers, "record")
    assert recorded.answer.status == 502


def test_outcome_shows_whether_bytes_were_sent(deployment):
    """Guards against the outcome "not-run" for a call that was sent.

    The service is killed during one call and before the next; only the
    second is known not to have run.
    """
    service, agent = plain_backend(deployment, "--delay-ms", "60000")
    with concurrent.futures.ThreadPoolExecutor() as pool:
        headers = permit_headers("p-1")
        answer = pool.submit(
            deployment.call, agent, b"", "/renewals", **headers
        )
        wait_until(lambda: deployment.read_events(service, "run"), "run")
        deployment.processes[0].kill()
        assert outcome(answer.result(agent_support.TIMEOUT_S)) == "unknown"
    later = deployment.call(agent, b"", "/renewals", **permit_headers("p-2"))
    assert (later.status, outcome(later)) == (503, "not-run")
    assert deployment.void(agent, "p-2") is messages.PermitState.VOIDED


@pytest.mark.parametrize("head", [b"Content-Length: 9\r\n", b""])
def test_truncated_answer_is_not_recorded(deployment, head):
    """Guards against recording a truncated answer.

    Every repeat of the call would get it.
    """
    service = agent_support.CannedServer(
        b"HTTP/1.1 200 OK\r\n" + head + b"\r\npart"
    )
    deployment.start_agent("vm-1", service.address, kind="plain")
    agent = wait_until(
        lambda: deployment.control.statuses.get("vm-1"), "status"
    )
    response = deployment.call(agent, b"", "/renewals", **permit_headers("p-1"))
    service.stop()
    assert (response.status, outcome(response)) == (502, "unknown")
    deployment.agents["vm-1"].signal(signal.SIGTERM)
    deployment.agents["vm-1"].child.wait(agent_support.TIMEOUT_S)
    assert not deployment.control.answers


def test_deadline_ends_a_call_to_a_silent_engine(deployment):
    """Guards against a call past its deadline that holds an engine's slot.

    The engine sends no token before the deadline.
    """
    engine = deployment.start_standin(
        "engine", "--token-ms", "60000", "--loaded", "m@1"
    )
    deployment.start_agent("vm-1", engine)
    deployment.control.assign(5, ["vm-1"])
    lead = deployment.control.wait_serving("vm-1", 5)
    late = deployment.call(
        lead, chat_body("x", 2), Flamingocleat_Deadline_Ms="300"
    )
    assert outcome(late) == "unknown"
    ended = wait_until(
        lambda: deployment.read_events(engine, "ended"), "cancel"
    )
    assert not ended[0]["whole"]


def test_hint_of_a_follower_is_followed(deployment):
    """Guards against an agent that stays with a follower.

    The leader would count the agent as lost.
    """
    follower = agent_support.FakeControl()
    follower.leader_hint = deployment.control.address
    try:
        only = (follower.address,)
        service = deployment.start_standin("plain")
        deployment.start_agent("vm-1", service, kind="plain", control=only)
        deployment.control.wait_serving("vm-1", 0)
    finally:
        follower.stop()


def test_silent_session_is_replaced(deployment):
    """Guards against an agent that waits for ever on a silent session."""
    plain_backend(deployment)
    sessions = deployment.control.sessions
    deployment.control.silent = True
    wait_until(lambda: deployment.control.sessions > sessions, "new session")


def test_gap_in_cache_events_causes_a_full_resend(deployment):
    """Guards against entries that send calls to a server without the prefix.

    The engine skips cache events, so an eviction may have been missed.
    """
    gaps = ("--event-gap-every", "3", "--event-lag-ms", "0")
    engine = deployment.start_standin("engine", "--token-ms", "1", *gaps)
    deployment.start_agent("vm-1", engine)
    deployment.control.assign(5, ["vm-1"])
    lead = deployment.control.wait_serving("vm-1", 5)
    reports = agent_support.ReportWatcher(lead.control_address)
    try:
        for number in range(7):
            deployment.call(lead, chat_body(f"prompt {number}", 1))
        wait_until(lambda: len(reports.prefixes) == 7, "all prefixes")
        assert reports.complete > 1
    finally:
        reports.stop()


def test_agent_that_does_not_start_is_reported_with_its_reason(
    deployment, monkeypatch
):
    """Guards against set-ups that fail without a trace of the cause."""
    monkeypatch.setattr(agent_support, "TIMEOUT_S", 3.0)
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        deployment.start_agent("vm-1", "127.0.0.1:1", data_listen=address)
        with pytest.raises(AssertionError) as error_info:
            deployment.control.member("vm-1")
    assert "exit status 1" in str(error_info.value)
    assert "Address already in use" in str(error_info.value)
