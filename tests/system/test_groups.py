"""Model groups stop, are repaired and keep serving under failures."""

import threading

from examples import local
from flamingocleat.version import schema
from tests.system import scenario
from tests.system import workload

DONE = b"data: [DONE]\n\n"


def _members(deployment):
    groups = scenario.wait_for_status(deployment)["groups"]
    return [vm for group in groups for vm in group["members"]]


def test_lost_member_stops_its_group_until_it_is_replaced(deployment):
    """Guards promise 1: a group with a missing member does not serve.

    One member of a group is killed; the group may serve again only with a new
    fencing number and a replacement.
    """
    caller = scenario.start(deployment, workload.configuration(spares=1))
    group = scenario.serving_groups(deployment)[0]
    killed_server = deployment.backend_servers[group["members"][-1]]
    killed_server.agent.kill()
    killed_server.stand_in.kill()

    def repaired_group():
        current_groups = {
            g["group"]: g for g in scenario.serving_groups(deployment)
        }
        current_group = current_groups.get(group["group"])
        return current_group if current_group != group else None

    current_group = local.wait_for(repaired_group, "the repair")
    assert current_group["fence"] > group["fence"]
    assert killed_server.settings.vm not in current_group["members"]
    members = _members(deployment)
    assert len(members) == len(set(members))
    assert caller.complete("after the repair").data.endswith(DONE)


def test_groups_serve_while_control_is_down(deployment):
    """Guards against groups that depend on control for serving.

    All of them would stop during an outage of control.
    """
    configuration = workload.configuration(
        stale=schema.StaleConfiguration.SERVE
    )
    caller = scenario.start(deployment, configuration, engines=6)
    expected = caller.complete("site 17").data
    for process in deployment.control.values():
        process.kill()
    # Lasts longer than the staleness limit and the agents' session limit.
    for _ in range(30):
        assert caller.complete("site 17", tokens=20).data == expected


def test_stale_configuration_is_refused_by_default(deployment):
    """Guards against an entry that acts on an old configuration.

    All control processes are paused, so the entry cannot confirm that its
    version is current.
    """
    caller = scenario.start(deployment, workload.configuration(), engines=6)
    for process in deployment.control.values():
        scenario.pause(process)

    def refused_reply():
        reply = caller.complete("site 17", tokens=1)
        return reply if reply.status == 503 else None

    reply = local.wait_for(refused_reply, "the entry to refuse")
    assert b'"not-run"' in reply.data
    address = deployment.entry_settings["entry-0"].listen
    assert not deployment.ready(address)
    for process in deployment.control.values():
        scenario.resume(process)
    scenario.wait_until_serving(deployment, 2)
    assert caller.complete("site 17").data.endswith(DONE)


def test_group_stops_by_itself_while_control_is_down(deployment):
    """Guards against a group that serves without one of its members.

    Control is down when the member is killed, so only the check by the
    group's lead can stop the group.
    """
    configuration = workload.configuration(
        replicas=1, stale=schema.StaleConfiguration.SERVE
    )
    caller = scenario.start(deployment, configuration, engines=3)
    group = scenario.serving_groups(deployment)[0]
    for process in deployment.control.values():
        process.kill()
    assert caller.complete("site 17").data.endswith(DONE)
    deployment.backend_servers[group["members"][-1]].agent.kill()
    local.wait_for(
        lambda: caller.complete("site 17", tokens=1).status == 503,
        "the group to stop",
    )
    lead_journal = scenario.journal_path(deployment, group["members"][0])
    journal_length = len(workload.read_journal(lead_journal))
    for _ in range(20):
        reply = caller.complete("site 17", tokens=1)
        assert (reply.status, reply.json()["outcome"]) == (503, "not-run")
    assert len(workload.read_journal(lead_journal)) == journal_length


def test_streams_are_complete_after_the_lead_is_lost(deployment):
    """Guards against streams that end early or repeat an event.

    The lead is killed while it streams; the entries must continue its streams
    elsewhere.
    """
    caller = scenario.start(deployment, workload.configuration(spares=1))
    prompts = [f"objection {number}" for number in range(8)]
    expected = {p: caller.complete(p, 60).data for p in prompts}
    answers = {}
    first_bytes_read = threading.Barrier(len(prompts) + 1)

    def stream_completion(prompt):
        reply = caller.complete(prompt, 60, stream=True, live=True)
        first_bytes = reply.read1()
        first_bytes_read.wait(local.START_TIMEOUT_S)
        answers[prompt] = first_bytes + reply.read()

    threads = [
        threading.Thread(target=stream_completion, args=(p,)) for p in prompts
    ]
    for thread in threads:
        thread.start()
    first_bytes_read.wait(local.START_TIMEOUT_S)
    leads = [g["members"][0] for g in scenario.serving_groups(deployment)]
    busiest = max(leads, key=lambda vm: _in_flight(deployment, vm))
    assert _in_flight(deployment, busiest)
    deployment.backend_servers[busiest].agent.kill()
    for thread in threads:
        thread.join()
    assert answers == expected


def test_paused_lead_does_not_serve_after_it_resumes(deployment):
    """Guards against a lead that serves after it was replaced.

    The lead is paused while its replacement takes over, and gets a call
    with the old fencing number after it resumes.
    """
    caller = scenario.start(deployment, workload.configuration(spares=2))
    expected = caller.complete("site 17").data
    group = scenario.serving_groups(deployment)[0]
    lead = deployment.backend_servers[group["members"][0]]
    scenario.pause(lead.agent)

    def lead_replaced():
        current_groups = {
            g["group"]: g for g in scenario.serving_groups(deployment)
        }
        current_group = current_groups.get(group["group"], group)
        return current_group["fence"] > group["fence"]

    local.wait_for(lead_replaced, "the replacement of the paused lead")
    scenario.resume(lead.agent)
    reply = caller.http.request(
        "POST",
        f"http://{lead.settings.data_listen}/v1/chat/completions",
        body=b'{"model": "drafting-llm", "messages": []}',
        headers={
            "X-Request-Id": "direct",
            "Flamingocleat-Fence": str(group["fence"]),
            "Flamingocleat-Incarnation": _current_incarnation(deployment, lead),
        },
    )
    assert reply.status in (409, 503)
    assert reply.headers["Flamingocleat-Outcome"] == "not-run"
    for _ in range(10):
        assert caller.complete("site 17").data == expected


def _current_incarnation(deployment, server):
    def find_incarnation():
        page = scenario.wait_for_status(deployment)
        return {v["vm"]: v["incarnation"] for v in page["vms"]}.get(
            server.settings.vm
        )

    return local.wait_for(
        find_incarnation, "the agent to announce itself again"
    )


def test_graceful_shutdown_interrupts_no_stream(deployment):
    """Guards promise 7: a graceful shutdown ends no stream early.

    Agents, an entry and the control leader are terminated during streams.
    """
    caller = scenario.start(deployment, workload.configuration(spares=1))
    expected = {
        e: caller.complete(e, 100, entry=e).data for e in deployment.entries
    }
    answers = []

    def stream_completion(entry):
        answers.append((entry, caller.complete(entry, 100, entry=entry).data))

    threads = [
        threading.Thread(target=stream_completion, args=(entry,))
        for entry in deployment.entries
        for _ in range(6)
    ]
    for thread in threads:
        thread.start()
    busy_groups = local.wait_for(
        lambda: [
            g
            for g in scenario.serving_groups(deployment)
            if _in_flight(deployment, g["members"][0])
        ],
        "streams to run",
    )
    stopped_processes = [
        deployment.backend_servers[busy_groups[0]["members"][0]].agent,
        deployment.backend_servers[busy_groups[-1]["members"][-1]].agent,
        deployment.entries["entry-1"],
        scenario.leader_process(deployment),
    ]
    for process in stopped_processes:
        process.terminate()
    for thread in threads:
        thread.join()
    assert len(answers) == len(threads)
    assert all(data == expected[entry] for entry, data in answers)
    assert [process.wait() for process in set(stopped_processes)] == [0] * len(
        set(stopped_processes)
    )


def _in_flight(deployment, vm):
    lines = workload.read_journal(scenario.journal_path(deployment, vm))
    started = sum(1 for x in lines if x["event"] == "started")
    return started - sum(1 for x in lines if x["event"] == "ended")
