"""Closes listening sockets without losing connections that have been set up."""

import asyncio
import collections.abc
import os
import socket

Adopt = collections.abc.Callable[[socket.socket], None]


def close_soon(
    listener: asyncio.Server,
    close: collections.abc.Callable[[], None],
    adopt: Adopt | None = None,
) -> None:
    """Stop accepting now, and call `close` in the next step of the event loop.

    asyncio sets up an accepted connection one step later. If its server is
    closed by then, it leaves the connection open, and nobody can close it.

    Args:
        listener: What listens.
        close: Closes it.
        adopt: Gets the connections that wait to be accepted, which the close
            would reset. If it is None, they are reset.
    """
    loop = asyncio.get_running_loop()
    for sock in listener.sockets:
        loop.remove_reader(sock.fileno())

    def finish() -> None:
        try:
            if adopt is not None:
                for sock in listener.sockets:
                    _accept_waiting(sock.fileno(), adopt)
        finally:
            close()

    loop.call_soon(finish)


def _accept_waiting(descriptor: int, adopt: Adopt) -> None:
    with socket.socket(fileno=os.dup(descriptor)) as listening:
        # The file description is the listener's, which does not block.
        while True:
            try:
                connection, _ = listening.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            connection.setblocking(False)
            adopt(connection)
