"""Real agents with stand-ins: what a caller could see of each fault."""

import concurrent.futures
import signal
import time

import pytest
import urllib3.exceptions

from examples import standins
from flamingocleat import messages
from tests import agent_support
from tests import test_gate

wait_until = agent_support.wait_until
chat = agent_support.chat
outcome = agent_support.outcome
SLOW = ("--token-ms", "200", "--loaded", "m@1")


@pytest.fixture
def site(tmp_path):
    made = agent_support.Site(tmp_path)
    yield made
    made.close()


def key():
    age_s = test_gate.NOW_S - time.time()
    return test_gate.key(age_s)


def permit_headers(permit):
    return {
        "Flamingocleat_Permit": permit,
        "Flamingocleat_Customer": "c-1",
        "Idempotency_Key": key(),
    }


def slow_group(site):
    """Start a group of two with a slow engine at its lead."""
    engine = site.standin("engine", *SLOW)
    site.agent("vm-1", engine)
    site.agent("vm-2", site.standin("engine", "--loaded", "m@1"))
    site.control.assign(5, ["vm-1", "vm-2"])
    return engine, site.control.wait_serving("vm-1", 5)


def plain(site, *options):
    service = site.standin("plain", *options)
    site.agent("vm-1", service, kind="plain", service="permit-desk")
    return service, site.control.wait_serving("vm-1", 0)


def read_until_cut(response):
    """Return what came before the error that a cut answer must raise."""
    data = b""
    try:
        while chunk := response.read1():
            data += chunk
    except urllib3.exceptions.ProtocolError:
        return data
    raise AssertionError("the answer looks whole")


def assert_stopped(site, lead, engine):
    """The group takes no call, and tells so truthfully."""
    wait_until(lambda: not site.control.statuses["vm-1"].serving, "stop")
    arrived = len(site.journal(engine, "arrived"))
    refused = site.call(lead, chat("again", 1))
    assert refused.status == 503
    assert outcome(refused) == "not-run"
    assert len(site.journal(engine, "arrived")) == arrived


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
def test_lost_member_stops_group_and_cuts_stream(site, number):
    """A group must not serve, nor a cut stream pass for a whole answer."""
    engine, lead = slow_group(site)
    response = site.call(lead, chat("long", 500), stream=True)
    first = response.read1()
    site.agents["vm-2"].signal(number)
    data = first + read_until_cut(response)
    assert data.startswith(b"data: ")
    assert not data.endswith(standins.DONE)
    ended = wait_until(lambda: site.journal(engine, "ended"), "cancel")
    assert not ended[0]["whole"]
    assert_stopped(site, lead, engine)


def test_lost_engine_cuts_stream_at_once(site):
    """The entry must resume elsewhere, not wait on an idle connection."""
    _, lead = slow_group(site)
    response = site.call(lead, chat("long", 500), stream=True)
    assert response.read1()
    site.processes[0].end()
    assert not read_until_cut(response).endswith(standins.DONE)


def test_lost_member_cuts_stream_of_a_silent_engine(site):
    """The caller must not wait for a token that never comes."""
    engine = site.standin("engine", "--token-ms", "60000", "--loaded", "m@1")
    site.agent("vm-1", engine)
    site.agent("vm-2", site.standin("engine", "--loaded", "m@1"))
    site.control.assign(5, ["vm-1", "vm-2"])
    lead = site.control.wait_serving("vm-1", 5)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        answer = pool.submit(site.call, lead, chat("long", 2))
        wait_until(lambda: site.journal(engine, "started"), "start")
        site.agents["vm-2"].signal(signal.SIGKILL)
        response = answer.result(agent_support.WAIT_S)
    assert response.status == 502
    assert outcome(response) == "unknown"
    ended = wait_until(lambda: site.journal(engine, "ended"), "cancel")
    assert not ended[0]["whole"]


def test_paused_lead_refuses_when_it_resumes(site):
    """After a pause others may have taken over; its first check must fail."""
    lead = site.group(5, "vm-1", "vm-2")
    site.agents["vm-1"].signal(signal.SIGSTOP)
    site.agents["vm-2"].end()
    time.sleep(1.1)  # Longer than members count as fresh.
    with concurrent.futures.ThreadPoolExecutor() as pool:
        answer = pool.submit(site.call, lead, chat("late", 1))
        site.agents["vm-1"].signal(signal.SIGCONT)
        response = answer.result(agent_support.WAIT_S)
    assert response.status == 503
    assert outcome(response) == "not-run"


def test_hung_engine_stops_group(site):
    """A member whose engine hangs must not count as ready."""
    engine, lead = slow_group(site)
    site.processes[2].signal(signal.SIGSTOP)  # The engine of vm-2.
    assert_stopped(site, lead, engine)


def test_restarted_agent_has_no_assignment(site):
    """A member that came back must not join under its old assignment."""
    engine, lead = slow_group(site)
    before = site.control.statuses["vm-2"].incarnation
    site.agents["vm-2"].end()
    site.agent("vm-2", "")
    status = wait_until(
        lambda: (
            (now := site.control.statuses["vm-2"]).incarnation != before
            and now.loaded
            and now
        ),
        "restart",
    )
    assert status.state is messages.MemberState.UNASSIGNED
    assert_stopped(site, lead, engine)
    site.control.assign(6, ["vm-1", "vm-2"])
    site.control.wait_serving("vm-1", 6)


def test_old_order_reaches_no_engine(site):
    """An engine that ignores fencing numbers relies on its agent."""
    engine, lead = slow_group(site)
    site.control.assign(3, ["vm-1"], group="g/1")
    seen = len(site.control.history)
    wait_until(lambda: len(site.control.history) > seen + 4, "statuses")
    assert site.control.statuses["vm-1"].fence == 5
    refused = site.call(lead, chat("old", 1), Flamingocleat_Fence="3")
    assert outcome(refused) == "not-run"
    assert [o["fence"] for o in site.journal(engine, "order")] == [5]
    assert not site.journal(engine, "arrived")


def test_refused_order_never_makes_ready(site):
    """An engine that refuses the number is under someone else's orders."""
    engine = site.standin("engine", "--check-fencing", "--loaded", "m@1")
    order = b'{"order": "load", "model": "m", "version": "1", "fence": 9}'
    site.http.request("POST", f"http://{engine}/-/orders", body=order)
    site.agent("vm-1", engine)
    site.control.assign(5, ["vm-1"])
    wait_until(lambda: len(site.journal(engine, "order")) > 3, "retries")
    assert site.control.statuses["vm-1"].state is messages.MemberState.LOADING
    site.control.assign(10, ["vm-1"])
    site.control.wait_serving("vm-1", 10)


def test_gone_entry_cancels_at_the_engine(site):
    """A call that waits for a slot sends nothing, so no write fails."""
    engine = site.standin("engine", *SLOW, "--slots", "1")
    site.agent("vm-1", engine)
    site.control.assign(5, ["vm-1"])
    lead = site.control.wait_serving("vm-1", 5)
    running = site.call(lead, chat("first", 500), stream=True)
    running.read1()
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        site.http.request(
            "POST",
            f"http://{lead.data_address}/v1/chat/completions",
            body=chat("second", 5),
            headers=site.headers(lead, X_Request_Id="r-2"),
            timeout=0.5,
        )
    ended = wait_until(lambda: site.journal(engine, "ended"), "cancel")
    assert [line["request_id"] for line in ended] == ["r-2"]
    running.close()


@pytest.mark.parametrize("vm", ["vm-1", "vm-2"])
def test_planned_stop_cuts_no_stream(site, vm):
    """A stream in flight must come to its end, whoever leaves."""
    _, lead = slow_group(site)
    body = chat("long", 15)
    response = site.call(lead, body, stream=True)
    data = response.read1()
    site.agents[vm].signal(signal.SIGTERM)
    wait_until(lambda: site.control.statuses[vm].leaving, "leaving")
    wait_until(
        lambda: outcome(site.call(lead, chat("new", 1))) == "not-run",
        "refusal of new calls",
    )
    data += response.read()
    assert data == standins.stream(body, 15)
    assert site.agents[vm].child.wait(agent_support.WAIT_S) == 0


def test_release_by_control_cuts_no_stream(site):
    """Control learns of a stream later than it may release its group."""
    _, lead = slow_group(site)
    body = chat("long", 15)
    response = site.call(lead, body, stream=True)
    data = response.read1()
    site.agents["vm-2"].signal(signal.SIGTERM)
    site.control.orders.clear()
    wait_until(lambda: site.control.statuses["vm-1"].in_flight, "in flight")
    data += response.read()
    assert data == standins.stream(body, 15)
    assert site.agents["vm-2"].child.wait(agent_support.WAIT_S) == 0


def test_calls_in_flight_are_reported_before_the_engine_does(site):
    """Control would release a group that the engine reports as idle."""
    engine = site.standin("engine", *SLOW, "--load-lag-ms", "60000")
    site.agent("vm-1", engine)
    site.control.assign(5, ["vm-1"])
    lead = site.control.wait_serving("vm-1", 5)
    response = site.call(lead, chat("long", 20), stream=True)
    running = site.control.statuses
    wait_until(lambda: running["vm-1"].load.running == 1, "load")
    response.close()


def test_stop_by_order(site):
    """A drained VM must leave as on SIGTERM."""
    site.group(5, "vm-1")
    site.control.orders["vm-1"] = messages.AgentOrder(leave=True)
    assert site.agents["vm-1"].child.wait(agent_support.WAIT_S) == 0
    assert site.control.history[-1].leaving


def test_resumed_stream_starts_at_the_offset(site):
    """A resumed stream must not repeat events, nor lose one."""
    lead = site.group(5, "vm-1")
    body = chat("again", 6)
    response = site.call(lead, body, Flamingocleat_Resume_Offset="4")
    assert response.data == standins.stream(body, 6, 4)
    assert response.headers["X-Request-Id"] == "r-1"


def test_permit_runs_once(site):
    """Copies of a non-repeatable call must not run twice."""
    service, agent = plain(site, "--delay-ms", "100")
    headers = permit_headers("p-1")
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        calls = [
            pool.submit(site.call, agent, b"fee", "/renewals", **headers)
            for _ in range(8)
        ]
        outcomes = sorted(outcome(call.result()) for call in calls)
    assert outcomes == ["ran"] + ["unknown"] * 7
    (run,) = site.journal(service, "run")
    assert run["key"] == headers["Idempotency_Key"]
    assert site.void(agent, "p-1") is messages.PermitState.USED


def test_voided_permit_does_not_run(site):
    """A cancelled call that arrives late must not run."""
    service, agent = plain(site)
    assert site.void(agent, "p-1") is messages.PermitState.VOIDED
    response = site.call(agent, b"", "/renewals", **permit_headers("p-1"))
    assert outcome(response) == "not-run"
    assert not site.journal(service, "run")


def test_wrong_incarnation_is_not_run(site):
    """A permit or fence of an earlier process says nothing here."""
    service, agent = plain(site)
    headers = {**permit_headers("p-1"), "Flamingocleat_Incarnation": "old"}
    response = site.call(agent, b"", "/renewals", **headers)
    assert (response.status, outcome(response)) == (409, "not-run")
    assert not site.journal(service, "run")


def test_answer_is_recorded_after_failures(site):
    """A lost recording would leave the call's outcome unknown for ever."""
    _, agent = plain(site)
    site.control.conclude_failures = 3
    response = site.call(agent, b"x", "/renewals", **permit_headers("p-1"))
    assert outcome(response) == "ran"
    (recorded,) = wait_until(lambda: site.control.answers, "record")
    assert recorded.permit == "p-1"
    assert recorded.answer.body == response.data
    assert site.control.conclude_failures == 0


def test_answer_is_recorded_though_the_entry_has_gone(site):
    """The same key may be asked through another entry."""
    _, agent = plain(site, "--delay-ms", "1000")
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        site.http.request(
            "POST",
            f"http://{agent.data_address}/renewals",
            headers=site.headers(agent, **permit_headers("p-1")),
            timeout=0.3,
        )
    (recorded,) = wait_until(lambda: site.control.answers, "record")
    assert recorded.answer.status == 200


def test_large_answer_is_an_error_that_ran(site):
    """An answer that cannot be recorded must not look like one not run."""
    _, agent = plain(site)
    path = "/renewals?size=262144"
    response = site.call(agent, b"", path, **permit_headers("p-1"))
    assert (response.status, outcome(response)) == (502, "ran")
    assert b"exceeds 262144 bytes" in response.data
    (recorded,) = wait_until(lambda: site.control.answers, "record")
    assert recorded.answer.status == 502


def test_outcome_tells_whether_bytes_were_sent(site):
    """A broken connection is no proof that a call did not run."""
    service, agent = plain(site, "--delay-ms", "60000")
    with concurrent.futures.ThreadPoolExecutor() as pool:
        headers = permit_headers("p-1")
        answer = pool.submit(site.call, agent, b"", "/renewals", **headers)
        wait_until(lambda: site.journal(service, "run"), "run")
        site.processes[0].end()
        assert outcome(answer.result(agent_support.WAIT_S)) == "unknown"
    later = site.call(agent, b"", "/renewals", **permit_headers("p-2"))
    assert (later.status, outcome(later)) == (503, "not-run")
    assert site.void(agent, "p-2") is messages.PermitState.VOIDED


@pytest.mark.parametrize("head", [b"Content-Length: 9\r\n", b""])
def test_cut_answer_is_not_recorded(site, head):
    """A part of an answer must not be given to all who ask again."""
    service = agent_support.Canned(b"HTTP/1.1 200 OK\r\n" + head + b"\r\npart")
    site.agent("vm-1", service.address, kind="plain")
    agent = wait_until(lambda: site.control.statuses.get("vm-1"), "status")
    response = site.call(agent, b"", "/renewals", **permit_headers("p-1"))
    service.stop()
    assert (response.status, outcome(response)) == (502, "unknown")
    site.agents["vm-1"].signal(signal.SIGTERM)
    site.agents["vm-1"].child.wait(agent_support.WAIT_S)
    assert not site.control.answers


def test_deadline_ends_a_call_to_a_silent_engine(site):
    """A call past its deadline must not hold a slot of the engine."""
    engine = site.standin("engine", "--token-ms", "60000", "--loaded", "m@1")
    site.agent("vm-1", engine)
    site.control.assign(5, ["vm-1"])
    lead = site.control.wait_serving("vm-1", 5)
    late = site.call(lead, chat("x", 2), Flamingocleat_Deadline_Ms="300")
    assert outcome(late) == "unknown"
    ended = wait_until(lambda: site.journal(engine, "ended"), "cancel")
    assert not ended[0]["whole"]


def test_hint_of_a_follower_is_followed(site):
    """An agent that stays with a follower is taken for dead."""
    follower = agent_support.Control()
    follower.leader_hint = site.control.address
    try:
        only = (follower.address,)
        service = site.standin("plain")
        site.agent("vm-1", service, kind="plain", control=only)
        site.control.wait_serving("vm-1", 0)
    finally:
        follower.stop()


def test_silent_session_is_dialled_anew(site):
    """A session that went silent must not cut the agent off for good."""
    plain(site)
    sessions = site.control.sessions
    site.control.silent = True
    wait_until(lambda: site.control.sessions > sessions, "new session")


def test_gap_in_cache_events_causes_a_full_resend(site):
    """An entry that misses an eviction would send calls to a cold cache."""
    gaps = ("--event-gap-every", "3", "--event-lag-ms", "0")
    engine = site.standin("engine", "--token-ms", "1", *gaps)
    site.agent("vm-1", engine)
    site.control.assign(5, ["vm-1"])
    lead = site.control.wait_serving("vm-1", 5)
    reports = agent_support.Reports(lead.control_address)
    try:
        for number in range(7):
            site.call(lead, chat(f"prompt {number}", 1))
        wait_until(lambda: len(reports.prefixes) == 7, "all prefixes")
        assert reports.complete > 1
    finally:
        reports.stop()
