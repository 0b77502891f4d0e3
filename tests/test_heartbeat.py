"""Tests of the freshness of members and the states of an assignment."""

import asyncio

import grpclib
import grpclib.server
import pytest

from examples import local
from flamingocleat import messages
from flamingocleat.connection import codec
from flamingocleat.connection import heartbeat
from tests import agent_support
from tests import streams

READY = messages.MemberState.READY


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def assignment(fence, *vms, address="127.0.0.1:1"):
    members = tuple(messages.Member(vm, f"{vm}-run", address) for vm in vms)
    return messages.Assignment("g/0", fence, "s", "m", "1", members)


def pong(fence=5, vm="vm-2", incarnation="vm-2-run", sequence=0, state=READY):
    return messages.Pong(vm, incarnation, fence, sequence, state)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def lead(clock):
    return heartbeat.Lead(assignment(5, "vm-1", "vm-2"), clock)


@pytest.fixture
def member(clock):
    return heartbeat.GroupMembership("vm-2", "vm-2-run", clock)


def test_freshness_counts_from_when_the_ping_was_sent(lead, clock):
    """Guards against a delayed pong that prolongs freshness."""
    lead.record_pong(lead.links[0], clock.now - 0.9, pong())
    assert lead.may_take_calls()
    clock.now += 0.1
    assert not lead.may_take_calls()


def test_lead_that_was_paused_is_not_fresh(lead, clock):
    """Guards against a lead that takes calls right after a pause.

    It must refuse before any of its tasks has run again.
    """
    lead.record_pong(lead.links[0], clock.now, pong())
    clock.now += 30.0
    assert not lead.members_fresh()


@pytest.mark.parametrize(
    "invalid_pong",
    [
        pong(fence=4),
        pong(fence=6),
        pong(incarnation="other"),
        pong(vm="vm-3"),
        pong(sequence=7),
        pong(state=messages.MemberState.LOADING),
        pong(state=messages.MemberState.WAITING),
    ],
)
def test_only_a_matching_pong_makes_fresh(lead, clock, invalid_pong):
    """Guards against a group that serves with an unsuitable member.

    The member was restarted, reassigned or is not ready, or its pong answers
    another ping.
    """
    lead.record_pong(lead.links[0], clock.now, pong())
    lead.record_pong(lead.links[0], clock.now, invalid_pong)
    assert not lead.members_fresh()


def test_leaving_member_lets_streams_finish(lead, clock):
    """Guards against a planned stop that cuts streams or admits new calls."""
    leaving = pong(state=messages.MemberState.LEAVING)
    lead.record_pong(lead.links[0], clock.now, leaving)
    assert lead.members_fresh()
    assert not lead.may_take_calls()


def test_member_waits_after_start_and_change_of_group(member, clock):
    """Guards against a VM that is in two serving groups.

    The old lead may count the VM as fresh for 1.0 s more, so the member waits.
    """
    member.accept(assignment(5, "vm-1", "vm-2"))
    member.loaded = True
    assert member.state() is messages.MemberState.WAITING
    clock.now += 1.25
    assert member.state() is READY
    member.accept(assignment(6, "vm-3", "vm-2"))
    member.loaded = True
    clock.now += 1.2
    assert member.state() is messages.MemberState.WAITING
    clock.now += 0.1
    assert member.state() is READY


def test_reassigned_member_does_not_answer_the_old_lead(member):
    """Guards against one VM that keeps two groups alive.

    The lead of its old group still sends pings.
    """
    member.accept(assignment(5, "vm-1", "vm-2"))
    assert member.answer(messages.Ping("g/0", 5, 1))
    member.accept(assignment(6, "vm-3", "vm-2"))
    assert member.answer(messages.Ping("g/0", 5, 2)) is None
    assert member.answer(messages.Ping("g/0", 6, 1)).fence == 6


def test_lower_fencing_number_is_ignored(member):
    """Guards against a deposed leader that restores an old group."""
    assert member.accept(assignment(5, "vm-1", "vm-2"))
    assert not member.accept(assignment(4, "vm-3", "vm-2"))
    assert member.fence == 5


def test_assignment_of_an_earlier_incarnation_is_ignored(clock):
    """Guards against a restarted agent that takes its old assignment.

    It has none until control assigns its new incarnation.
    """
    restarted = heartbeat.GroupMembership("vm-2", "second-run", clock)
    assert not restarted.accept(assignment(5, "vm-1", "vm-2"))
    assert restarted.state() is messages.MemberState.UNASSIGNED


def test_lead_reconnects_after_silence():
    """Guards against a live member that stays lost.

    The connection to it went silent; the lead must open a new one.
    """
    streams = []

    async def silent_at_first(stream):
        streams.append(stream)
        while (ping := await stream.recv_message()) is not None:
            if len(streams) > 1:
                await stream.send_message(pong(sequence=ping.sequence))

    async def run():
        address = local.free_address()
        host, port = address.split(":")
        service = codec.Service({codec.HEARTBEAT: silent_at_first})
        server = grpclib.server.Server([service], codec=codec.Codec())
        await server.start(host, int(port))
        lead = heartbeat.Lead(assignment(5, "vm-1", "vm-2", address=address))
        fresh = asyncio.Event()
        lead.changed = lambda: lead.may_take_calls() and fresh.set()
        task = asyncio.create_task(lead.run())
        try:
            await asyncio.wait_for(fresh.wait(), agent_support.TIMEOUT_S)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            server.close()
            await server.wait_closed()

    asyncio.run(run())


def test_lost_connection_ends_one_ping_only(lead):
    """Guards against a lead whose ping task ends with a lost connection.

    It would ping the member no more and lose its group for good.
    """

    async def scenario() -> int:
        lead._ping = lost = streams.LostConnections()
        return await lost.count_attempts(lead.run())

    assert asyncio.run(scenario()) >= 3
