"""Timer service that parts of a program subscribe to."""

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
    """Calls subscribers from one asyncio task, on the monotonic clock.

    After a pause of the process each subscriber is called once, not once
    for every interval missed.
    """

    def __init__(self) -> None:
        self.due: list[tuple[float, int, Subscription]] = []
        self.counter = itertools.count()
        self.wakeup = asyncio.Event()

    def subscribe(
        self,
        name: str,
        interval_s: float,
        callback: collections.abc.Callable[[], None],
    ) -> Subscription:
        """Call the callback each interval_s seconds from now on."""
        subscription = Subscription(name, interval_s, callback)
        self._schedule(subscription)
        self.wakeup.set()
        return subscription

    async def run(self) -> None:
        """Call subscribers until the task is cancelled."""
        while True:
            await self._sleep()
            now = time.monotonic()
            while self.due and self.due[0][0] <= now:
                _, _, subscription = heapq.heappop(self.due)
                if subscription.active:
                    self._call(subscription)
                    self._schedule(subscription)

    def _schedule(self, subscription: Subscription) -> None:
        due = time.monotonic() + subscription.interval_s
        heapq.heappush(self.due, (due, next(self.counter), subscription))

    async def _sleep(self) -> None:
        timeout = None
        if self.due:
            timeout = max(0.0, self.due[0][0] - time.monotonic())
        self.wakeup.clear()
        try:
            async with asyncio.timeout(timeout):
                await self.wakeup.wait()
        except TimeoutError:
            return

    def _call(self, subscription: Subscription) -> None:
        try:
            subscription.callback()
        except Exception as error:  # One subscriber must not stop the others.
            logs.error(
                _log,
                "subscriber_failed",
                subscriber=subscription.name,
                reason=repr(error),
            )
