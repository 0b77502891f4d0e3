"""TCP forwarder that can cut or silence the connections through it."""

import asyncio
import threading

_CHUNK_BYTES = 65536


class Forwarder:
    """Forwards connections from its own port to one target address.

    Runs in a thread of its own until closed.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.refusing = False
        self.silent_new = False
        self.connections: set[_Connection] = set()
        self.loop = asyncio.new_event_loop()
        self.started = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()
        self.started.wait()

    def silence_open(self) -> None:
        """Drop all further bytes of the open connections; new ones work."""
        self._call(self._set_silent)

    def cut(self) -> None:
        """Close all connections and refuse new ones."""
        self.refusing = True
        self._call(self._close_all)

    def silence(self) -> None:
        """Drop all further bytes of open and of new connections."""
        self.silent_new = True
        self._call(self._set_silent)

    def restore(self) -> None:
        """Let new connections through; close those that are silent."""
        self.refusing = False
        self.silent_new = False
        self._call(self._close_all)

    def close(self) -> None:
        """Close all connections and end the thread."""
        self._call(self._close_all)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10.0)

    def _call(self, function) -> None:
        done = threading.Event()

        def run() -> None:
            function()
            done.set()

        self.loop.call_soon_threadsafe(run)
        done.wait(10.0)

    def _set_silent(self) -> None:
        for connection in self.connections:
            connection.silent = True

    def _close_all(self) -> None:
        for connection in list(self.connections):
            connection.close()

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        server = self.loop.run_until_complete(
            asyncio.start_server(self._accept, "127.0.0.1", 0)
        )
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.started.set()
        self.loop.run_forever()
        server.close()

    async def _accept(self, reader, writer) -> None:
        if self.refusing:
            writer.close()
            return
        host, _, port = self.target.rpartition(":")
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        connection = _Connection((reader, writer), upstream)
        connection.silent = self.silent_new
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)


class _Connection:
    def __init__(self, downstream, upstream) -> None:
        self.downstream = downstream
        self.upstream = upstream
        self.silent = False

    async def run(self) -> None:
        await asyncio.gather(
            self._pump(self.downstream[0], self.upstream[1]),
            self._pump(self.upstream[0], self.downstream[1]),
        )
        self.close()

    async def _pump(self, reader, writer) -> None:
        try:
            while data := await reader.read(_CHUNK_BYTES):
                if not self.silent:
                    writer.write(data)
                    await writer.drain()
            if not self.silent:
                writer.write_eof()
        except OSError:
            self.close()

    def close(self) -> None:
        for _, writer in (self.downstream, self.upstream):
            writer.close()
