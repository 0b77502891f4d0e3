"""Tests of an agent's sessions with control and the orders in them."""

import asyncio
import types

from flamingocleat import messages
from flamingocleat.connection import announce
from tests import streams


def test_unchanged_order_repeats_the_last_one():
    """Guards against an assignment ended by an unchanged order.

    An unchanged order has no content; the last order must be applied instead.
    """
    stream = streams.FakeStream()
    leave = messages.AgentOrder(leave=True)
    repeated = messages.AgentOrder(unchanged=True)
    received_orders: list[messages.AgentOrder] = []

    async def scenario() -> None:
        announcer = announce.Announcer(
            types.SimpleNamespace(control=("127.0.0.1:1",)),
            lambda: None,
            received_orders.append,
        )
        for order in (repeated, leave, repeated):
            await stream.incoming.put(order)
        async with asyncio.timeout(60) as silence:
            task = asyncio.create_task(
                announcer._receive(stream, silence, "127.0.0.1:1")
            )
            await streams.run_ready_tasks()
            task.cancel()

    asyncio.run(scenario())
    assert received_orders == [leave, leave]


def _announcer() -> announce.Announcer:
    return announce.Announcer(
        types.SimpleNamespace(control=("127.0.0.1:1",)),
        lambda: None,
        lambda _order: None,
    )


def test_lost_connection_ends_one_session_only():
    """Guards against an agent that opens no session after a lost connection.

    Its VM stays idle for good. Seen in CI on a machine with 27 runnable
    processes: one agent of seven stopped announcing itself while connections
    to its control node broke.
    """

    async def scenario() -> int:
        announcer = _announcer()
        announcer._session = lost = streams.LostConnections()
        return await lost.count_attempts(announcer.run())

    assert asyncio.run(scenario()) >= 3


def test_cancelled_announcer_ends_its_session():
    """Guards against a session task that outlives a stopped agent."""

    async def scenario() -> None:
        announcer = _announcer()
        sessions: list[asyncio.Task] = []

        async def session(_address: str) -> None:
            sessions.append(asyncio.current_task())
            await asyncio.Event().wait()

        announcer._session = session
        task = asyncio.create_task(announcer.run())
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert task.cancelled()
        assert sessions[0].cancelled()

    asyncio.run(scenario())
