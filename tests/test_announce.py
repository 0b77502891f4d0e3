"""An agent must act on each order as control gave it."""

import asyncio
import time
import types

from flamingocleat import messages
from flamingocleat.connection import announce
from tests import streams


def test_unchanged_order_repeats_the_last_one():
    """Taken at its word, an empty repetition would end the assignment."""
    stream = streams.Stream()
    leave = messages.AgentOrder(leave=True)
    repeated = messages.AgentOrder(unchanged=True)
    taken: list[messages.AgentOrder] = []

    async def scenario() -> None:
        announcer = announce.Announcer(
            types.SimpleNamespace(control=("127.0.0.1:1",)),
            lambda: None,
            taken.append,
        )
        for order in (repeated, leave, repeated):
            await stream.incoming.put(order)
        async with asyncio.timeout(60) as silence:
            task = asyncio.create_task(
                announcer._receive(stream, silence, "127.0.0.1:1")
            )
            await streams.settle()
            task.cancel()

    asyncio.run(scenario())
    assert taken == [leave, leave]


def _announcer() -> announce.Announcer:
    return announce.Announcer(
        types.SimpleNamespace(control=("127.0.0.1:1",)),
        lambda: None,
        lambda _order: None,
    )


def test_cancellation_by_the_connection_ends_one_session_only():
    """An agent whose sessions end for good is a VM that stays idle for good.

    Seen in CI on a machine with 27 runnable processes: one agent of seven
    announced itself no more while its control's connections broke. grpclib
    cancels the task that reads a lost connection, and a timeout that expires
    at the same moment does not take that back.
    """

    async def scenario() -> int:
        announcer = _announcer()
        sessions: list[asyncio.Task] = []

        async def session(_address: str) -> None:
            task = asyncio.current_task()
            sessions.append(task)
            async with asyncio.timeout(0.01):
                # As grpclib does it; the timeout expires before this wakes.
                asyncio.get_running_loop().call_soon(task.cancel)
                if len(sessions) == 1:
                    time.sleep(0.02)
                await asyncio.Event().wait()

        announcer._session = session
        running = asyncio.create_task(announcer.run())
        async with asyncio.timeout(5):
            while len(sessions) < 3 and not running.done():
                await asyncio.sleep(0.01)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        assert sessions[-1].done()
        return len(sessions)

    assert asyncio.run(scenario()) >= 3


def test_cancelled_announcer_ends_its_session():
    """A stopped agent leaves no session behind."""

    async def scenario() -> None:
        announcer = _announcer()
        sessions: list[asyncio.Task] = []

        async def session(_address: str) -> None:
            sessions.append(asyncio.current_task())
            await asyncio.Event().wait()

        announcer._session = session
        running = asyncio.create_task(announcer.run())
        await asyncio.sleep(0.01)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        assert running.cancelled()
        assert sessions[0].cancelled()

    asyncio.run(scenario())
