"""gRPC channels and servers that handle closed connections cleanly."""

import asyncio
import collections.abc
import contextlib
import typing
import weakref

import grpclib.client
import grpclib.exceptions
import grpclib.protocol
import grpclib.server

from flamingocleat.connection import codec
from flamingocleat.connection import listener


@contextlib.contextmanager
def _translate_closed_connection() -> collections.abc.Iterator[None]:
    """Convert the AttributeError of a closed connection into a stream error.

    grpclib deletes a connection's transport when the connection closes, so
    a stream operation at that moment raises AttributeError.
    """
    try:
        yield
    except AttributeError as error:
        if error.name != "_transport":
            raise
        raise grpclib.exceptions.StreamTerminatedError(
            "connection closed"
        ) from error


class _Stream(grpclib.client.Stream):
    """Client stream whose operations may run while the connection closes."""

    async def send_request(self, *, end: bool = False) -> None:
        with _translate_closed_connection():
            await super().send_request(end=end)

    async def send_message(
        self, message: typing.Any, *, end: bool = False
    ) -> None:
        with _translate_closed_connection():
            await super().send_message(message, end=end)

    async def end(self) -> None:
        with _translate_closed_connection():
            await super().end()

    async def cancel(self) -> None:
        with _translate_closed_connection():
            await super().cancel()

    async def __aexit__(
        self, exc_type: typing.Any, exc_val: typing.Any, exc_tb: typing.Any
    ) -> None:
        with _translate_closed_connection():
            await super().__aexit__(exc_type, exc_val, exc_tb)


class Channel(grpclib.client.Channel):
    """Channel on which a closing connection terminates its streams."""

    closed = False

    def close(self) -> None:
        """End the connection, also one that is being opened."""
        self.closed = True
        super().close()

    async def __connect__(self) -> grpclib.protocol.H2Protocol:
        """Return an open connection.

        Raises:
            StreamTerminatedError: The channel was closed meanwhile.
        """
        protocol = await super().__connect__()
        if self.closed:
            # Closing found no connection yet, and nobody else would end it.
            super().close()
            raise grpclib.exceptions.StreamTerminatedError("channel is closed")
        return protocol

    def request(self, *args: typing.Any, **kwargs: typing.Any) -> _Stream:
        """Return a stream for one call."""
        stream = super().request(*args, **kwargs)
        stream.__class__ = _Stream
        return typing.cast(_Stream, stream)


class _Protocol(grpclib.protocol.H2Protocol):
    """Connection that ends at once if its server is closed already.

    The event loop sets up a connection after it has accepted it, and the
    server may be closed in between.
    """

    def __init__(self, server: "Server", handler: typing.Any) -> None:
        super().__init__(handler, server._config, server._h2_config)
        self.server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self.server.closed:
            self.end()

    def end(self) -> None:
        """End the connection, if it has been set up."""
        if hasattr(self, "processor"):
            self.processor.close("server is closed")


class Server(grpclib.server.Server):
    """Server that ends its connections when it is closed.

    Otherwise, if the process continues to run, peers would keep sending
    calls to an object that is no longer maintained.
    """

    def __init__(self, services: list[codec.Service]) -> None:
        super().__init__(services, codec=codec.Codec())
        self.protocols: weakref.WeakSet[_Protocol] = weakref.WeakSet()
        self.closed = False

    def _protocol_factory(self) -> grpclib.protocol.H2Protocol:
        protocol = _Protocol(self, super()._protocol_factory().handler)
        self.protocols.add(protocol)
        return protocol

    def close(self) -> None:
        """Stop listening, cancel calls and end all connections.

        The listening socket is closed in the next step of the event loop.
        """
        self.closed = True
        if isinstance(self._server, asyncio.Server):
            listener.close_soon(self._server, super().close)
        for protocol in list(self.protocols):
            protocol.end()


def dial(address: str) -> Channel:
    """Return a channel to "host:port"; it connects on the first call."""
    host, _, port = address.rpartition(":")
    return Channel(host, int(port), codec=codec.Codec())
