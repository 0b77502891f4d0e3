"""A leader acts only on state that it is certain of."""

import asyncio

import grpclib
import grpclib.const
import msgspec
import pytest

from flamingocleat import errors
from flamingocleat import messages
from flamingocleat.connection import calls
from flamingocleat.connection import channel
from flamingocleat.connection import codec
from flamingocleat.process import leadership
from tests import streams
from tests import voters


def _status(vm: str, incarnation: str = "a") -> messages.AgentStatus:
    return messages.AgentStatus(
        vm=vm,
        incarnation=incarnation,
        data_centre="praha-a",
        fabric_domain="praha-a-1",
        kind=messages.BackendKind.ENGINE,
        control_address="127.0.0.1:1",
        data_address="127.0.0.1:2",
        accelerators=8,
        loaded=("drafter@7",),
    )


async def _form_groups(cluster: voters.ControlCluster) -> dict:
    """Announce eight VMs and return the two groups formed of them."""
    # Agents send no more statuses in these tests and must not time out.
    for voter in cluster.controls:
        voter.sessions.clock = lambda: 100.0
    await cluster.submit_initial()
    leader = cluster.leader
    for number in range(8):
        leader.sessions.open(_status(f"vm-{number}"))
    while len(leader.machine.assignments) < 2:
        await asyncio.sleep(0.02)
    return dict(leader.machine.assignments)


def test_announced_vms_form_groups_with_distinct_members():
    """No VM may be a member of two groups, since it could serve neither.

    A restarted VM must not get the order of its former incarnation.
    """

    async def scenario(cluster: voters.ControlCluster) -> None:
        groups = await _form_groups(cluster)
        members = [m.vm for g in groups.values() for m in g.members]
        assert len(members) == len(set(members)) == 8
        assert all(group.fence > 0 for group in groups.values())
        order = cluster.leader._order_for(_status(members[0]))
        assert order.assignment in groups.values()
        restarted = cluster.leader._order_for(_status(members[0], "b"))
        assert restarted.assignment is None

    voters.run(scenario)


def test_new_leader_waits_before_it_counts_vms_as_lost():
    """A new leader must not repair groups before agents can announce.

    Until then it knows no agents, so it would release all serving groups after
    each election.
    """

    async def scenario(cluster: voters.ControlCluster) -> None:
        groups = await _form_groups(cluster)
        old = cluster.leader
        clock = [0.0]
        for voter in cluster.controls:
            voter.leadership.clock = lambda: clock[0]
        old.consensus._become_follower(old.consensus.term)
        while cluster.leader is None:
            await asyncio.sleep(0.02)
        leader = cluster.leader
        assert leader.sessions.agents == {}
        # One member is missing, and a VM is free that could replace it.
        lost = groups["drafting/0"].members[-1].vm
        for vm in [f"vm-{n}" for n in range(9)]:
            if vm != lost:
                leader.sessions.open(_status(vm))
        for _ in range(10):
            await leader.placement_task.step()
        assert not leader.placement_task.settled
        assert leader._cluster_state().backends is None
        assert leader.machine.assignments == groups
        clock[0] += leadership.ANNOUNCE_WAIT_S
        await leader.placement_task.step()
        assert leader.placement_task.settled
        repaired = leader.machine.assignments["drafting/0"]
        assert lost not in [member.vm for member in repaired.members]

    voters.run(scenario, count=3)


def test_new_leader_does_not_wait_once_all_agents_are_announced():
    """A new leader must not wait once all assigned VMs are announced.

    Repairs would be delayed although all states are known.
    """

    async def scenario(cluster: voters.ControlCluster) -> None:
        await _form_groups(cluster)
        leader = cluster.leader
        leader.leadership.clock = lambda: (
            leader.leadership.announce_wait_start_s
        )
        leader.placement_task.reset()
        await leader.placement_task.step()
        assert leader.placement_task.settled

    voters.run(scenario)


def test_busy_group_of_a_drained_vm_gets_no_new_requests():
    """A busy group with a drained VM must get no new requests.

    Otherwise its lead never becomes idle, and the VM is never released.
    """

    async def scenario(cluster: voters.ControlCluster) -> None:
        groups = await _form_groups(cluster)
        leader = cluster.leader
        group = groups["drafting/0"]
        lead, member = group.members[0].vm, group.members[-1].vm
        agent = leader.sessions.agents[lead]
        busy = msgspec.structs.replace(agent.status, in_flight=1)
        leader.sessions.update(agent.session, busy)
        reply = await cluster.request(
            "POST", f"/v1/vms/{member}/drain", Change_Id="d"
        )
        assert reply.status == 200
        while leader.placement_task.draining != {"drafting/0"}:
            await asyncio.sleep(0.02)
        listed = [view.backend for view in leader._cluster_state().backends]
        assert listed == ["drafting/1"]
        assert leader.machine.assignments["drafting/0"] == group

    voters.run(scenario)


def test_stalled_process_waits_for_announcements_again():
    """After a stall the leader must wait for announcements again.

    Statuses that waited unread make live agents look lost.
    """

    async def scenario(cluster: voters.ControlCluster) -> None:
        await _form_groups(cluster)
        leader = cluster.leader
        before_s = leader.leadership.announce_wait_start_s
        # Each reading is 2 s after the last, as if the process had stalled.
        readings = iter(range(0, 10_000, 2))
        leader.placement_task.clock = lambda: next(readings)
        leader.placement_task.changed.set()
        while leader.leadership.announce_wait_start_s == before_s:
            await asyncio.sleep(0.02)

    voters.run(scenario)


def test_leader_admits_nobody_before_its_first_quorum_round():
    """A new leader must admit no calls before its first quorum round.

    Its orders would miss changes that its predecessor acknowledged.
    """

    class Consensus:
        role = leadership.consensus_module.Role.LEADER
        term = 3
        leader_address = "127.0.0.1:9"

        def subscribe(self, callback) -> None:
            self.callback = callback

        async def confirm(self) -> None:
            await confirmed

    async def scenario() -> None:
        nonlocal confirmed
        confirmed = asyncio.get_running_loop().create_future()
        consensus = Consensus()
        new_leadership = leadership.Leadership(
            consensus, lambda: None, lambda error: None
        )
        consensus.callback()
        admitted = asyncio.create_task(new_leadership.admit())
        await streams.run_ready_tasks()
        assert not admitted.done()
        confirmed.set_result(None)
        await asyncio.wait_for(admitted, 10)

    confirmed = None
    asyncio.run(scenario())


def _claim() -> messages.ClaimRequest:
    return messages.ClaimRequest(
        customer="skips",
        key="01938b5e-0000-7000-8000-000000000000",
        service="permit-desk",
        digest=b"",
        permit="permit-1",
        vm="vm-1",
        incarnation="a",
        address="127.0.0.1:1",
    )


@pytest.mark.parametrize(
    ("error", "status"),
    [
        (errors.CommitUnknownError("x"), grpclib.const.Status.UNKNOWN),
        (ValueError("unforeseen"), grpclib.const.Status.UNKNOWN),
        (
            errors.NotLeaderError("127.0.0.1:9"),
            grpclib.const.Status.FAILED_PRECONDITION,
        ),
        (errors.UnavailableError("x"), grpclib.const.Status.UNAVAILABLE),
    ],
)
def test_claim_with_unknown_outcome_is_reported_as_unknown(
    monkeypatch, error, status
):
    """A claim whose outcome is unknown must not be reported as refused.

    The entry would tell the caller that the call has not run.
    """

    async def fail(command):
        raise error

    async def scenario(cluster: voters.ControlCluster) -> None:
        monkeypatch.setattr(cluster.leader.consensus, "propose", fail)
        control_channel = channel.dial(cluster.leader.settings.listen)
        try:
            with pytest.raises(grpclib.GRPCError) as error_info:
                await codec.CLAIM.ask(control_channel, _claim(), 10)
        finally:
            control_channel.close()
        assert error_info.value.status is status

    voters.run(scenario)


def test_lookup_waits_for_a_quorum_round(monkeypatch):
    """A lookup must be confirmed by a quorum round.

    A deposed leader would return an outdated state of the key.
    """

    async def refuse() -> None:
        raise errors.NotLeaderError("127.0.0.1:9")

    async def scenario(cluster: voters.ControlCluster) -> None:
        handlers = calls.RegisterCalls(
            cluster.leader.consensus,
            cluster.leader.machine,
            cluster.leader.leadership.admit,
            cluster.leader.shutdown,
        )
        monkeypatch.setattr(cluster.leader.consensus, "confirm", refuse)
        with pytest.raises(errors.NotLeaderError):
            await handlers.look_up(messages.LookupRequest("skips", "k"))

    voters.run(scenario)


def test_follower_refuses_with_the_leaders_address():
    """A follower's refusal must contain the leader's address.

    Otherwise an entry has to try all voters for each claim.
    """

    async def scenario(cluster: voters.ControlCluster) -> None:
        control_channel = channel.dial(cluster.follower.settings.listen)
        try:
            with pytest.raises(grpclib.GRPCError) as error_info:
                await codec.CLAIM.ask(control_channel, _claim(), 10)
        finally:
            control_channel.close()
        assert (
            error_info.value.status is grpclib.const.Status.FAILED_PRECONDITION
        )
        assert error_info.value.message == cluster.leader.settings.listen

    voters.run(scenario, count=3)


def test_one_of_concurrent_claims_of_a_key_succeeds():
    """Only one of several concurrent claims of a key may succeed.

    Otherwise two entries send the same non-repeatable call.
    """

    async def scenario(cluster: voters.ControlCluster) -> None:
        register_calls = cluster.leader.register_calls
        now_ms = calls._now_ms()
        text = f"{now_ms:012x}"
        key = f"{text[:8]}-{text[8:]}-7000-8000-000000000000"
        requests = [
            msgspec.structs.replace(_claim(), key=key, permit=f"permit-{n}")
            for n in range(4)
        ]
        replies = await asyncio.gather(*map(register_calls.claim, requests))
        states = sorted(reply.state.value for reply in replies)
        assert states == ["claimed", "pending", "pending", "pending"]

    voters.run(scenario)
