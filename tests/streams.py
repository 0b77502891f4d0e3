"""Stand-in for the server's side of a gRPC stream."""

import asyncio
import typing


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
