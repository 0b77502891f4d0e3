"""An event loop with a virtual clock, which advances only when idle."""

import asyncio
import collections.abc
import typing

_T = typing.TypeVar("_T")


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that skips to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.select_ready = self._selector.select
        self._selector.select = self._select

    def time(self) -> float:
        return self.now_s

    def _select(self, timeout: float | None = None):
        if timeout:
            self.now_s += timeout
        return self.select_ready(0)


def run(
    scenario: collections.abc.Callable[
        [VirtualLoop], collections.abc.Coroutine[typing.Any, typing.Any, _T]
    ],
) -> _T:
    """Run a scenario in virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(scenario(loop))
    finally:
        loop.close()
