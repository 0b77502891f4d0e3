"""TCP forwarder that can close its connections or drop their data."""

import asyncio
import threading

_CHUNK_BYTES = 65536
_ITERATIONS = 10
"""Iterations of the loop in which an accepted connection gets its task, or a
closed one is released."""


class Forwarder:
    """Forwards TCP connections from its own port to one target address.

    Runs in its own thread until closed.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.refuse_new = False
        self.drop_new = False
        self.connections: set[_Connection] = set()
        self.loop = asyncio.new_event_loop()
        self.started = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()
        self.started.wait()

    def drop_open_traffic(self) -> None:
        """Drop all data on open connections; new connections work."""
        self._run_in_loop(self._drop_open)

    def disconnect(self) -> None:
        """Close all connections and refuse new ones."""
        self.refuse_new = True
        self._run_in_loop(self._close_all)

    def drop_all_traffic(self) -> None:
        """Drop all data on open and new connections."""
        self.drop_new = True
        self._run_in_loop(self._drop_open)

    def restore(self) -> None:
        """Forward new connections again and close all open ones."""
        self.refuse_new = False
        self.drop_new = False
        self._run_in_loop(self._close_all)

    def close(self) -> None:
        """Close all connections and stop the thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10.0)

    def _run_in_loop(self, function) -> None:
        done = threading.Event()

        def run() -> None:
            function()
            done.set()

        self.loop.call_soon_threadsafe(run)
        done.wait(10.0)

    def _drop_open(self) -> None:
        for connection in self.connections:
            connection.dropping = True

    def _close_all(self) -> None:
        for connection in list(self.connections):
            connection.close()

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.server = self.loop.run_until_complete(
            asyncio.start_server(self._accept, "127.0.0.1", 0)
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.started.set()
        self.loop.run_forever()
        self.loop.run_until_complete(self._end_tasks())
        self.loop.close()

    async def _end_tasks(self) -> None:
        # A connection that is being accepted as the server closes, or whose
        # task is cancelled before it begins, would never be closed.
        for listener in self.server.sockets:
            self.loop.remove_reader(listener.fileno())
        await self._iterate()
        self.server.close()
        self._close_all()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._iterate()

    async def _iterate(self) -> None:
        """Let the loop begin tasks, and release transports that are closed."""
        for _ in range(_ITERATIONS):
            await asyncio.sleep(0)

    async def _accept(self, reader, writer) -> None:
        try:
            if not self.refuse_new:
                await self._forward(reader, writer)
        finally:
            writer.close()

    async def _forward(self, reader, writer) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        connection = _Connection((reader, writer), upstream)
        connection.dropping = self.drop_new
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            connection.close()
            self.connections.discard(connection)


class _Connection:
    def __init__(self, downstream, upstream) -> None:
        self.downstream = downstream
        self.upstream = upstream
        self.dropping = False

    async def run(self) -> None:
        await asyncio.gather(
            self._copy(self.downstream[0], self.upstream[1]),
            self._copy(self.upstream[0], self.downstream[1]),
        )
        self.close()

    async def _copy(self, reader, writer) -> None:
        try:
            while data := await reader.read(_CHUNK_BYTES):
                if not self.dropping:
                    writer.write(data)
                    await writer.drain()
            if not self.dropping:
                writer.write_eof()
        except OSError:
            self.close()

    def close(self) -> None:
        for _, writer in (self.downstream, self.upstream):
            writer.close()
