"""Stand-in for the server's side of a gRPC stream."""

import asyncio
import collections.abc
import typing

import grpclib.exceptions
import grpclib.utils


class Stream:
    """Hands out what a test puts in, and keeps what was sent."""

    def __init__(self) -> None:
        self.incoming: asyncio.Queue[typing.Any] = asyncio.Queue()
        self.sent: list[typing.Any] = []
        self.progress = asyncio.Event()

    async def recv_message(self) -> typing.Any:
        return await self.incoming.get()

    async def send_message(self, message: typing.Any) -> None:
        self.sent.append(message)
        self.progress.set()

    async def wait_sent(self, count: int) -> None:
        """Wait until so many messages were sent."""
        while len(self.sent) < count:
            self.progress.clear()
            await asyncio.wait_for(self.progress.wait(), 10)


async def settle() -> None:
    """Let all tasks run that can run without the passage of time."""
    for _ in range(50):
        await asyncio.sleep(0)


class LostConnections:
    """Work on a stream whose connection is lost as its timeout expires.

    grpclib wakes the task that waits on the stream by cancelling it; the
    timeout expires while the task unwinds.
    """

    TIMEOUT_S = 0.01

    def __init__(self, *, bounded: bool = True) -> None:
        self.timeout_s = self.TIMEOUT_S if bounded else None
        """None where the caller bounds the work."""
        self.tries: list[asyncio.Task[typing.Any] | None] = []

    async def __call__(self, *_arguments: typing.Any) -> str:
        self.tries.append(asyncio.current_task())
        wrapper = grpclib.utils.Wrapper()
        lost = grpclib.exceptions.StreamTerminatedError("connection lost")
        async with asyncio.timeout(self.timeout_s):
            try:
                with wrapper:
                    asyncio.get_running_loop().call_soon(wrapper.cancel, lost)
                    await asyncio.Event().wait()
            finally:
                await asyncio.sleep(2 * self.TIMEOUT_S)
        return ""

    async def outlived(
        self, loop: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> int:
        """Return how often a loop tries, up to three times; then end it."""
        running = asyncio.create_task(loop)
        async with asyncio.timeout(10):
            while len(self.tries) < 3 and not running.done():
                await asyncio.sleep(0.01)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        assert all(task is not None and task.done() for task in self.tries)
        return len(self.tries)
