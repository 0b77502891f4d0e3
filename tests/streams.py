"""Fake gRPC streams and lost connections."""

import asyncio
import collections.abc
import typing

import grpclib.exceptions
import grpclib.utils


class FakeStream:
    """The server's side of a stream: receives from a queue, records sends."""

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
        """Wait until at least count messages were sent."""
        while len(self.sent) < count:
            self.progress.clear()
            await asyncio.wait_for(self.progress.wait(), 10)


async def run_ready_tasks() -> None:
    """Run all tasks that need not wait for time to pass."""
    for _ in range(50):
        await asyncio.sleep(0)


class LostConnections:
    """A call on a stream whose connection is lost as its timeout expires.

    grpclib wakes the task that waits on the stream by cancelling it. The
    timeout expires while the task unwinds.
    """

    TIMEOUT_S = 0.01

    def __init__(self, *, bounded: bool = True) -> None:
        self.timeout_s = self.TIMEOUT_S if bounded else None
        """None where the caller sets the timeout."""
        self.attempts: list[asyncio.Task[typing.Any] | None] = []

    async def __call__(self, *_arguments: typing.Any) -> str:
        self.attempts.append(asyncio.current_task())
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

    async def count_attempts(
        self, loop: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> int:
        """Count the attempts of a loop, up to three; then cancel it."""
        running = asyncio.create_task(loop)
        async with asyncio.timeout(10):
            while len(self.attempts) < 3 and not running.done():
                await asyncio.sleep(0.01)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        assert all(task is not None and task.done() for task in self.attempts)
        return len(self.attempts)
