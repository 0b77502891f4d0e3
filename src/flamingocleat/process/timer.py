"""Timer that calls subscribers at fixed intervals."""

import asyncio
import collections.abc
import heapq
import itertools
import time

from flamingocleat.process import logs

_log = logs.logger("timer")


class Subscription:
    """One callback and its interval in seconds."""

    def __init__(
        self,
        name: str,
        interval_s: float,
        callback: collections.abc.Callable[[], None],
    ) -> None:
        self.name = name
        self.interval_s = interval_s
        self.callback = callback
        self.active = True

    def cancel(self) -> None:
        """Stop calling the callback."""
        self.active = False


class Timer:
    """Calls subscribers from one asyncio task, by the monotonic clock.

    After a pause of the process each subscriber is called once, not once
    for every missed interval.
    """

    def __init__(self) -> None:
        self.queue: list[tuple[float, int, Subscription]] = []
        self.sequence = itertools.count()
        self.wakeup = asyncio.Event()

    def subscribe(
        self,
        name: str,
        interval_s: float,
        callback: collections.abc.Callable[[], None],
    ) -> Subscription:
        """Call the callback every interval_s seconds from now on."""
        subscription = Subscription(name, interval_s, callback)
        self._schedule(subscription)
        self.wakeup.set()
        return subscription

    async def run(self) -> None:
        """Call subscribers until the task is cancelled."""
        while True:
            await self._sleep()
            now = time.monotonic()
            while self.queue and self.queue[0][0] <= now:
                _, _, subscription = heapq.heappop(self.queue)
                if subscription.active:
                    self._call(subscription)
                    self._schedule(subscription)

    def _schedule(self, subscription: Subscription) -> None:
        due_s = time.monotonic() + subscription.interval_s
        heapq.heappush(self.queue, (due_s, next(self.sequence), subscription))

    async def _sleep(self) -> None:
        timeout = None
        if self.queue:
            timeout = max(0.0, self.queue[0][0] - time.monotonic())
        self.wakeup.clear()
        try:
            async with asyncio.timeout(timeout):
                await self.wakeup.wait()
        except TimeoutError:
            return

    def _call(self, subscription: Subscription) -> None:
        try:
            subscription.callback()
        except (
            Exception
        ) as error:  # A failing subscriber must not stop the others.
            logs.error(
                _log,
                "subscriber_failed",
                subscriber=subscription.name,
                reason=repr(error),
            )
