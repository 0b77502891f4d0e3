"""Waits with a time limit that a planned stop can shorten."""

import asyncio
import collections.abc
import contextlib


class Waits:
    """Waits in progress of one program."""

    def __init__(self) -> None:
        self.timeouts: set[asyncio.Timeout] = set()

    @contextlib.asynccontextmanager
    async def within(
        self, limit_s: float
    ) -> collections.abc.AsyncIterator[None]:
        """Raise TimeoutError in the body after the limit."""
        async with asyncio.timeout(limit_s) as timeout:
            self.timeouts.add(timeout)
            try:
                yield
            finally:
                self.timeouts.discard(timeout)

    def end_within(self, limit_s: float) -> None:
        """Shorten all waits in progress to this limit from now on."""
        end_s = asyncio.get_running_loop().time() + limit_s
        for timeout in self.timeouts:
            when_s = timeout.when()
            if not timeout.expired() and (when_s is None or when_s > end_s):
                timeout.reschedule(end_s)
