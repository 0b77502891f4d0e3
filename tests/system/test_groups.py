"""Model groups stop, are repaired and serve on under failures."""

import threading

from examples import local
from flamingocleat.version import schema
from tests.system import scenario
from tests.system import workload

DONE = b"data: [DONE]\n\n"


def _members(deployment):
    groups = scenario.status(deployment)["groups"]
    return [vm for group in groups for vm in group["members"]]


def test_lost_member_stops_its_group_until_it_is_replaced(deployment):
    """A group that goes on with a member missing breaks promise 1."""
    caller = scenario.start(deployment, workload.configuration(spares=1))
    group = scenario.serving(deployment)[0]
    lost = deployment.backend_servers[group["members"][-1]]
    lost.agent.kill()
    lost.stand_in.kill()

    def repaired():
        now = {g["group"]: g for g in scenario.serving(deployment)}
        following = now.get(group["group"])
        return following if following != group else None

    following = local.wait_for(repaired, "the repair")
    assert following["fence"] > group["fence"]
    assert lost.settings.vm not in following["members"]
    members = _members(deployment)
    assert len(members) == len(set(members))
    assert caller.complete("after the repair").data.endswith(DONE)


def test_groups_serve_while_control_is_down(deployment):
    """Groups that need control to serve would all stop in its outage."""
    made = workload.configuration(stale=schema.StaleConfiguration.SERVE)
    caller = scenario.start(deployment, made, engines=6)
    expected = caller.complete("site 17").data
    for process in deployment.control.values():
        process.kill()
    # Longer than the staleness limit and the agents' session bound.
    for _ in range(30):
        assert caller.complete("site 17", tokens=20).data == expected


def test_stale_configuration_is_refused_by_default(deployment):
    """An entry cut off from control may not act on an old version."""
    caller = scenario.start(deployment, workload.configuration(), engines=6)
    for process in deployment.control.values():
        scenario.freeze(process)

    def refused():
        reply = caller.complete("site 17", tokens=1)
        return reply if reply.status == 503 else None

    reply = local.wait_for(refused, "the entry to refuse")
    assert b'"not-run"' in reply.data
    address = deployment.entry_settings["entry-0"].listen
    assert not deployment.ready(address)
    for process in deployment.control.values():
        scenario.thaw(process)
    scenario.wait_serving(deployment, 2)
    assert caller.complete("site 17").data.endswith(DONE)


def test_group_stops_by_itself_while_control_is_down(deployment):
    """Only the lead's own check can stop a group that control cannot see."""
    made = workload.configuration(
        replicas=1, stale=schema.StaleConfiguration.SERVE
    )
    caller = scenario.start(deployment, made, engines=3)
    group = scenario.serving(deployment)[0]
    for process in deployment.control.values():
        process.kill()
    assert caller.complete("site 17").data.endswith(DONE)
    deployment.backend_servers[group["members"][-1]].agent.kill()
    local.wait_for(
        lambda: caller.complete("site 17", tokens=1).status == 503,
        "the group to stop",
    )
    lead = scenario.journal(deployment, group["members"][0])
    arrived = len(workload.read_journal(lead))
    for _ in range(20):
        reply = caller.complete("site 17", tokens=1)
        assert (reply.status, reply.json()["outcome"]) == (503, "not-run")
    assert len(workload.read_journal(lead)) == arrived


def test_streams_are_whole_after_the_lead_is_lost(deployment):
    """A stream that ends early or doubles an event is no whole answer."""
    caller = scenario.start(deployment, workload.configuration(spares=1))
    prompts = [f"objection {number}" for number in range(8)]
    expected = {p: caller.complete(p, 60).data for p in prompts}
    answers = {}
    begun = threading.Barrier(len(prompts) + 1)

    def ask(prompt):
        reply = caller.complete(prompt, 60, stream=True, live=True)
        first = reply.read1()
        begun.wait(local.START_LIMIT_S)
        answers[prompt] = first + reply.read()

    threads = [threading.Thread(target=ask, args=(p,)) for p in prompts]
    for thread in threads:
        thread.start()
    begun.wait(local.START_LIMIT_S)
    leads = [g["members"][0] for g in scenario.serving(deployment)]
    busiest = max(leads, key=lambda vm: _in_flight(deployment, vm))
    assert _in_flight(deployment, busiest)
    deployment.backend_servers[busiest].agent.kill()
    for thread in threads:
        thread.join()
    assert answers == expected


def test_frozen_lead_does_not_serve_after_it_goes_on(deployment):
    """A lead that sleeps through its replacement must not serve on."""
    caller = scenario.start(deployment, workload.configuration(spares=2))
    expected = caller.complete("site 17").data
    group = scenario.serving(deployment)[0]
    lead = deployment.backend_servers[group["members"][0]]
    scenario.freeze(lead.agent)

    def replaced():
        now = {g["group"]: g for g in scenario.serving(deployment)}
        following = now.get(group["group"], group)
        return following["fence"] > group["fence"]

    local.wait_for(replaced, "the replacement of the frozen lead")
    scenario.thaw(lead.agent)
    reply = caller.http.request(
        "POST",
        f"http://{lead.settings.data_listen}/v1/chat/completions",
        body=b'{"model": "drafting-llm", "messages": []}',
        headers={
            "X-Request-Id": "direct",
            "Flamingocleat-Fence": str(group["fence"]),
            "Flamingocleat-Incarnation": _incarnation(deployment, lead),
        },
    )
    assert reply.status in (409, 503)
    assert reply.headers["Flamingocleat-Outcome"] == "not-run"
    for _ in range(10):
        assert caller.complete("site 17").data == expected


def _incarnation(deployment, server):
    def found():
        page = scenario.status(deployment)
        return {v["vm"]: v["incarnation"] for v in page["vms"]}.get(
            server.settings.vm
        )

    return local.wait_for(found, "the agent to announce itself again")


def test_planned_stops_cut_no_stream(deployment):
    """A graceful shutdown that ends streams early breaks promise 7."""
    caller = scenario.start(deployment, workload.configuration(spares=1))
    expected = {
        e: caller.complete(e, 100, entry=e).data for e in deployment.entries
    }
    answers = []

    def ask(entry):
        answers.append((entry, caller.complete(entry, 100, entry=entry).data))

    threads = [
        threading.Thread(target=ask, args=(entry,))
        for entry in deployment.entries
        for _ in range(6)
    ]
    for thread in threads:
        thread.start()
    busy = local.wait_for(
        lambda: [
            g
            for g in scenario.serving(deployment)
            if _in_flight(deployment, g["members"][0])
        ],
        "streams to run",
    )
    stopped = [
        deployment.backend_servers[busy[0]["members"][0]].agent,
        deployment.backend_servers[busy[-1]["members"][-1]].agent,
        deployment.entries["entry-1"],
        scenario.leader(deployment),
    ]
    for process in stopped:
        process.terminate()
    for thread in threads:
        thread.join()
    assert len(answers) == len(threads)
    assert all(data == expected[entry] for entry, data in answers)
    assert [process.wait() for process in set(stopped)] == [0] * len(
        set(stopped)
    )


def _in_flight(deployment, vm):
    lines = workload.read_journal(scenario.journal(deployment, vm))
    started = sum(1 for x in lines if x["event"] == "started")
    return started - sum(1 for x in lines if x["event"] == "ended")
