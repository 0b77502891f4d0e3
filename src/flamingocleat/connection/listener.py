"""Closes listening sockets without losing connections that are accepted."""

import asyncio
import collections.abc


def close_soon(
    listener: asyncio.Server, close: collections.abc.Callable[[], None]
) -> None:
    """Stop accepting now, and call `close` in the next step of the event loop.

    asyncio sets up an accepted connection one step later. If its server is
    closed by then, it leaves the connection open, and nobody can close it.
    """
    loop = asyncio.get_running_loop()
    for sock in listener.sockets:
        loop.remove_reader(sock.fileno())
    loop.call_soon(close)
