"""Tests of the agent sessions by which control knows the live VMs."""

import asyncio

import grpclib
import grpclib.const
import msgspec
import pytest

from flamingocleat import errors
from flamingocleat import messages
from flamingocleat.connection import session
from tests import streams


def _status(incarnation: str = "a", **values) -> messages.AgentStatus:
    return messages.AgentStatus(
        vm="vm-1",
        incarnation=incarnation,
        data_centre="praha-a",
        fabric_domain="praha-a-1",
        kind=messages.BackendKind.ENGINE,
        control_address="127.0.0.1:1",
        data_address="127.0.0.1:2",
        **values,
    )


class _Clock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


async def _admit() -> None:
    return None


def _sessions(
    clock: _Clock, order_for=None, on_change=lambda: None
) -> session.Sessions:
    return session.Sessions(
        _admit,
        order_for or (lambda status: messages.AgentOrder()),
        on_change,
        clock,
    )


def _incarnations(sessions: session.Sessions) -> list[str]:
    return [vm.incarnation for vm in sessions.vms()]


def test_older_incarnation_does_not_replace_the_newer():
    """Guards against a suspended agent that resumes as an older incarnation.

    It would replace its successor.
    """
    sessions = _sessions(_Clock())
    old = sessions.open(_status("a"))
    sessions.open(_status("b"))
    assert not sessions.update(old, _status("a"))
    with pytest.raises(errors.UnavailableError):
        sessions.open(_status("a"))
    assert _incarnations(sessions) == ["b"]


def test_older_incarnation_is_taken_once_the_newer_is_lost():
    """Guards against refusing a VM forever after its newer agent was lost."""
    clock = _Clock()
    sessions = _sessions(clock)
    sessions.open(_status("a"))
    sessions.open(_status("b"))
    clock.now_s += session.LOST_AFTER_S
    sessions.open(_status("a"))
    assert _incarnations(sessions) == ["a"]


def test_status_on_a_replaced_stream_is_ignored():
    """Guards against delayed data that reverts a newer status.

    A status arrives on a connection that the agent has replaced.
    """
    sessions = _sessions(_Clock())
    old = sessions.open(_status())
    sessions.open(_status(leaving=True))
    assert not sessions.update(old, _status())
    assert sessions.vms()[0].leaving


def test_another_vm_on_the_same_stream_is_ignored():
    """Guards against one agent's session that keeps another VM alive."""
    clock = _Clock()
    sessions = _sessions(clock)
    opened = sessions.open(_status())
    other = msgspec.structs.replace(_status(), vm="vm-2")
    sessions.open(other)
    assert not sessions.update(opened, other)
    assert not sessions.update(opened, _status("b"))
    assert _incarnations(sessions) == ["a", "a"]


def test_silent_agent_is_lost_and_its_stream_ended():
    """Guards against a VM that stays in its group after going silent."""
    clock = _Clock()
    changes = []
    sessions = _sessions(clock, on_change=lambda: changes.append(1))
    opened = sessions.open(_status())
    clock.now_s += session.LOST_AFTER_S
    assert sessions.vms() == ()
    changes.clear()
    sessions.expire()
    assert changes
    assert opened.end_error
    opened = sessions.open(_status())
    assert sessions.vms()[0].losses_s == (clock.now_s,)


def test_drained_vm_counts_as_leaving():
    """Guards against assigning a drained VM to a group again."""
    sessions = _sessions(_Clock())
    sessions.open(_status())
    assert not sessions.vms()[0].leaving
    assert sessions.vms({"vm-1"})[0].leaving


def test_changed_order_is_sent_at_once():
    """Guards against an assignment delayed until the next keepalive."""
    orders = [messages.AgentOrder()]
    stream = streams.FakeStream()

    async def scenario() -> None:
        sessions = _sessions(_Clock(), lambda status: orders[-1])
        await stream.incoming.put(_status())
        task = asyncio.create_task(sessions.handle(stream))
        await stream.wait_sent(1)
        orders.append(messages.AgentOrder(leave=True))
        sessions.notify()
        await streams.run_ready_tasks()
        assert [order.leave for order in stream.sent] == [False, True]
        task.cancel()

    asyncio.run(scenario())


def test_repeated_order_is_sent_without_its_content():
    """Guards against keepalives that repeat the whole order.

    In a group of 32 they would cost each member 6 KB/s.
    """
    stream = streams.FakeStream()
    first = messages.AgentOrder(leave=True)

    async def scenario() -> None:
        sessions = _sessions(_Clock(), lambda status: first)
        await stream.incoming.put(_status())
        task = asyncio.create_task(sessions.handle(stream))
        await stream.wait_sent(1)
        sessions.agents["vm-1"].session.wakeup.set()
        await streams.run_ready_tasks()
        task.cancel()

    asyncio.run(scenario())
    assert stream.sent == [first, messages.AgentOrder(unchanged=True)]


def test_lost_leadership_ends_sessions_with_the_new_address():
    """Guards against agents that keep reporting to a former leader.

    It assigns no VMs; the error must name the new leader.
    """

    async def scenario() -> None:
        stream = streams.FakeStream()
        sessions = _sessions(_Clock())
        await stream.incoming.put(_status())
        task = asyncio.create_task(sessions.handle(stream))
        await stream.wait_sent(1)
        sessions.end_all(errors.NotLeaderError("127.0.0.1:9"))
        with pytest.raises(grpclib.GRPCError) as error_info:
            await asyncio.wait_for(task, 10)
        assert (
            error_info.value.status is grpclib.const.Status.FAILED_PRECONDITION
        )
        assert error_info.value.message == "127.0.0.1:9"
        assert sessions.agents == {}

    asyncio.run(scenario())
