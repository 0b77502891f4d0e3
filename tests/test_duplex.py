"""Tests that tasks which wait for events end when they are cancelled."""

import asyncio

import pytest

from flamingocleat.connection import duplex
from flamingocleat.process import timer


async def _loop(event: asyncio.Event) -> None:
    while True:
        await duplex.wait_event(event, 60.0)


async def _timer(event: asyncio.Event) -> None:
    subject = timer.Timer()
    subject.wakeup = event
    await subject.run()


@pytest.mark.parametrize("waiter", [_loop, _timer])
@pytest.mark.parametrize("ticks", range(6))
def test_cancellation_as_the_event_is_set_is_not_lost(waiter, ticks):
    """Guards against a cancellation lost when it comes as the event is set.

    A session whose sender task did not end kept its VM out of use for good.
    """

    async def scenario() -> bool:
        event = asyncio.Event()
        task = asyncio.create_task(waiter(event))
        for _ in range(10):
            await asyncio.sleep(0)
        event.set()
        for _ in range(ticks):
            await asyncio.sleep(0)
        task.cancel()
        for _ in range(50):
            await asyncio.sleep(0)
        ended = task.done()
        task.cancel()
        return ended

    assert asyncio.run(scenario())
