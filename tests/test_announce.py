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
