"""Exceptions of broken gRPC connections, and reading from client streams."""

import typing

import grpclib
import grpclib.exceptions
import h2.exceptions

CONNECTION_ERRORS = (
    OSError,
    grpclib.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
    h2.exceptions.ProtocolError,
)


async def receive(stream: typing.Any) -> typing.Any:
    """Return the next message of a client stream that is not expected to end.

    On leaving the stream, grpclib replaces the StreamTerminatedError by the
    server's GRPCError, if there is one.
    """
    message = await stream.recv_message()
    if message is None:
        raise grpclib.exceptions.StreamTerminatedError("stream ended")
    return message
