"""An agent must act on each order as control gave it."""

import asyncio
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


def test_lost_connection_ends_one_session_only():
    """An agent whose sessions end for good is a VM that stays idle for good.

    Seen in CI on a machine with 27 runnable processes: one agent of seven
    announced itself no more while its control's connections broke.
    """

    async def scenario() -> int:
        announcer = _announcer()
        announcer._session = lost = streams.LostConnections()
        return await lost.outlived(announcer.run())

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
