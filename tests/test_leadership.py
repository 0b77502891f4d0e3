"""A leader must not act on what it cannot know yet."""

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


async def _form_groups(site: voters.Voters) -> dict:
    """Announce eight VMs and return the two groups made of them."""
    # Agents send nothing further in these tests and must not be lost.
    for voter in site.controls:
        voter.sessions.clock = lambda: 100.0
    await site.submit_first()
    leader = site.leader
    for number in range(8):
        leader.sessions.open(_status(f"vm-{number}"))
    while len(leader.machine.assignments) < 2:
        await asyncio.sleep(0.02)
    return dict(leader.machine.assignments)


def test_announced_vms_form_groups_with_distinct_members():
    """A VM in two groups would serve neither of them."""

    async def scenario(site: voters.Voters) -> None:
        groups = await _form_groups(site)
        members = [m.vm for g in groups.values() for m in g.members]
        assert len(members) == len(set(members)) == 8
        assert all(group.fence > 0 for group in groups.values())
        order = site.leader._order_for(_status(members[0]))
        assert order.assignment in groups.values()
        restarted = site.leader._order_for(_status(members[0], "b"))
        assert restarted.assignment is None

    voters.run(scenario)


def test_new_leader_waits_before_it_counts_vms_as_lost():
    """Every election would release all groups that serve."""

    async def scenario(site: voters.Voters) -> None:
        groups = await _form_groups(site)
        old = site.leader
        clock = [0.0]
        for voter in site.controls:
            voter.leadership.clock = lambda: clock[0]
        old.consensus._become_follower(old.consensus.term)
        while site.leader is None:
            await asyncio.sleep(0.02)
        leader = site.leader
        assert leader.sessions.agents == {}
        # One member is missing, and there is a VM that could replace it.
        lost = groups["drafting/0"].members[-1].vm
        for vm in [f"vm-{n}" for n in range(9)]:
            if vm != lost:
                leader.sessions.open(_status(vm))
        for _ in range(10):
            await leader.repair.step()
        assert not leader.repair.settled
        assert leader._cluster_state().backends is None
        assert leader.machine.assignments == groups
        clock[0] += leadership.ANNOUNCE_WAIT_S
        await leader.repair.step()
        assert leader.repair.settled
        repaired = leader.machine.assignments["drafting/0"]
        assert lost not in [member.vm for member in repaired.members]

    voters.run(scenario, count=3)


def test_new_leader_need_not_wait_for_agents_that_are_announced():
    """A repair would be put off although nothing is unknown."""

    async def scenario(site: voters.Voters) -> None:
        await _form_groups(site)
        leader = site.leader
        leader.leadership.clock = lambda: (
            leader.leadership.announce_wait_start_s
        )
        leader.repair.reset()
        await leader.repair.step()
        assert leader.repair.settled

    voters.run(scenario)


def test_busy_group_of_a_drained_vm_takes_no_new_work():
    """Its lead would never become idle, and the VM never be released."""

    async def scenario(site: voters.Voters) -> None:
        groups = await _form_groups(site)
        leader = site.leader
        group = groups["drafting/0"]
        lead, member = group.members[0].vm, group.members[-1].vm
        agent = leader.sessions.agents[lead]
        busy = msgspec.structs.replace(agent.status, in_flight=1)
        leader.sessions.update(agent.session, busy)
        reply = await site.ask("POST", f"/v1/vms/{member}/drain", Change_Id="d")
        assert reply.status == 200
        while leader.repair.draining != {"drafting/0"}:
            await asyncio.sleep(0.02)
        listed = [view.backend for view in leader._cluster_state().backends]
        assert listed == ["drafting/1"]
        assert leader.machine.assignments["drafting/0"] == group

    voters.run(scenario)


def test_stalled_process_waits_for_announcements_again():
    """Statuses that wait unread would make live agents seem lost."""

    async def scenario(site: voters.Voters) -> None:
        await _form_groups(site)
        leader = site.leader
        before_s = leader.leadership.announce_wait_start_s
        # Each reading is 2 s after the last, as if the process had stopped.
        readings = iter(range(0, 10_000, 2))
        leader.repair.clock = lambda: next(readings)
        leader.repair.changed.set()
        while leader.leadership.announce_wait_start_s == before_s:
            await asyncio.sleep(0.02)

    voters.run(scenario)


def test_leader_admits_nobody_before_its_first_quorum_round():
    """Its orders would lack what its predecessor had acknowledged."""

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
        made = leadership.Leadership(
            consensus, lambda: None, lambda error: None
        )
        consensus.callback()
        admitted = asyncio.create_task(made.admit())
        await streams.settle()
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
def test_claim_with_unknown_outcome_is_told_as_unknown(
    monkeypatch, error, status
):
    """An entry told "refused" would say that the call was not run."""

    async def fail(command):
        raise error

    async def scenario(site: voters.Voters) -> None:
        monkeypatch.setattr(site.leader.consensus, "propose", fail)
        dialled = channel.dial(site.leader.settings.listen)
        try:
            with pytest.raises(grpclib.GRPCError) as caught:
                await codec.CLAIM.ask(dialled, _claim(), 10)
        finally:
            dialled.close()
        assert caught.value.status is status

    voters.run(scenario)


def test_lookup_waits_for_a_quorum_round(monkeypatch):
    """A deposed leader would tell the state of a key before its answer."""

    async def refuse() -> None:
        raise errors.NotLeaderError("127.0.0.1:9")

    async def scenario(site: voters.Voters) -> None:
        handlers = calls.RegisterCalls(
            site.leader.consensus,
            site.leader.machine,
            site.leader.leadership.admit,
            site.leader.shutdown,
        )
        monkeypatch.setattr(site.leader.consensus, "confirm", refuse)
        with pytest.raises(errors.NotLeaderError):
            await handlers.look_up(messages.LookupRequest("skips", "k"))

    voters.run(scenario)


def test_follower_refuses_with_the_leaders_address():
    """An entry would have to try all voters for each claim."""

    async def scenario(site: voters.Voters) -> None:
        dialled = channel.dial(site.follower.settings.listen)
        try:
            with pytest.raises(grpclib.GRPCError) as caught:
                await codec.CLAIM.ask(dialled, _claim(), 10)
        finally:
            dialled.close()
        assert caught.value.status is grpclib.const.Status.FAILED_PRECONDITION
        assert caught.value.message == site.leader.settings.listen

    voters.run(scenario, count=3)


def test_claims_race_for_one_key():
    """Two entries would both send the same non-repeatable call."""

    async def scenario(site: voters.Voters) -> None:
        command = site.leader.register_calls
        now_ms = calls._now_ms()
        text = f"{now_ms:012x}"
        key = f"{text[:8]}-{text[8:]}-7000-8000-000000000000"
        requests = [
            msgspec.structs.replace(_claim(), key=key, permit=f"permit-{n}")
            for n in range(4)
        ]
        replies = await asyncio.gather(*map(command.claim, requests))
        states = sorted(reply.state.value for reply in replies)
        assert states == ["claimed", "pending", "pending", "pending"]

    voters.run(scenario)
