"""What a broken gRPC connection raises, and reading from one."""

import typing

import grpclib
import grpclib.exceptions
import h2.exceptions

FAULTS = (
    OSError,
    grpclib.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
    h2.exceptions.ProtocolError,
)


async def receive(stream: typing.Any) -> typing.Any:
    """Return the next message of a client stream that should not end.

    grpclib turns StreamTerminatedError into the GRPCError that the server
    gave as the reason, if any.
    """
    message = await stream.recv_message()
    if message is None:
        raise grpclib.exceptions.StreamTerminatedError("stream ended")
    return message
