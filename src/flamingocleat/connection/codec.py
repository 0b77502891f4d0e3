"""MessagePack codec for grpclib, and the definitions of all gRPC calls."""

import collections.abc
import functools
import typing

import grpclib
import grpclib.client
import grpclib.const
import grpclib.encoding.base
import msgspec

from flamingocleat import messages
from flamingocleat.connection import duplex
from flamingocleat.process import logs

_log = logs.logger("codec")

_encoder = msgspec.msgpack.Encoder()


@functools.cache
def _decoder(message_type: type) -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(message_type)


class Codec(grpclib.encoding.base.CodecBase):
    """grpclib codec that encodes messages as MessagePack."""

    __content_subtype__ = "msgpack"

    def encode(
        self, message: messages.Message, message_type: type[messages.Message]
    ) -> bytes:
        """Return the encoded message."""
        return _encoder.encode(message)

    def decode(
        self, data: bytes, message_type: type[messages.Message]
    ) -> messages.Message:
        """Return the decoded message; an invalid one fails only this call."""
        try:
            return _decoder(message_type).decode(data)
        except msgspec.MsgspecError as error:
            logs.warning(
                _log,
                "message_rejected",
                type=message_type.__name__,
                size=len(data),
                reason=str(error),
            )
            raise grpclib.GRPCError(
                grpclib.const.Status.INVALID_ARGUMENT,
                f"cannot decode {message_type.__name__}: {error}",
            ) from error


class Call(msgspec.Struct, frozen=True):
    """Path, cardinality and message types of one gRPC call."""

    path: str
    request: type[messages.Message]
    reply: type[messages.Message]
    cardinality: grpclib.const.Cardinality = (
        grpclib.const.Cardinality.UNARY_UNARY
    )

    def handler(
        self,
        function: collections.abc.Callable[
            [typing.Any], collections.abc.Awaitable[None]
        ],
    ) -> grpclib.const.Handler:
        """Return the grpclib handler that serves the call with a function."""
        return grpclib.const.Handler(
            function, self.cardinality, self.request, self.reply
        )

    def open(
        self,
        channel: grpclib.client.Channel,
        timeout_s: float | None = None,
    ) -> grpclib.client.Stream:
        """Return a client stream, to be used with `async with`."""
        return channel.request(
            self.path,
            self.cardinality,
            self.request,
            self.reply,
            timeout=timeout_s,
        )

    async def ask(
        self,
        channel: grpclib.client.Channel,
        request: messages.Message,
        timeout_s: float,
    ) -> typing.Any:
        """Make a unary call and return its reply."""
        return await duplex.run_in_task(self._ask(channel, request, timeout_s))

    async def _ask(
        self,
        channel: grpclib.client.Channel,
        request: messages.Message,
        timeout_s: float,
    ) -> typing.Any:
        async with self.open(channel, timeout_s) as stream:
            await stream.send_message(request, end=True)
            return await stream.recv_message()


class Service:
    """A grpclib service built from calls and their handlers."""

    def __init__(
        self,
        handlers: dict[
            Call,
            collections.abc.Callable[
                [typing.Any], collections.abc.Awaitable[None]
            ],
        ],
    ) -> None:
        self.handlers = handlers

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:  # noqa: PLW3201
        """Return the handlers by path, as grpclib's server requires."""
        return {
            call.path: call.handler(function)
            for call, function in self.handlers.items()
        }


_BIDIRECTIONAL = grpclib.const.Cardinality.STREAM_STREAM
_SERVER_STREAM = grpclib.const.Cardinality.UNARY_STREAM

VOTE = Call("/Consensus/Vote", messages.VoteRequest, messages.VoteReply)
APPEND = Call("/Consensus/Append", messages.AppendRequest, messages.AppendReply)
INSTALL_SNAPSHOT = Call(
    "/Consensus/InstallSnapshot",
    messages.SnapshotRequest,
    messages.SnapshotReply,
)
AGENT_SESSION = Call(
    "/Control/AgentSession",
    messages.AgentStatus,
    messages.AgentOrder,
    _BIDIRECTIONAL,
)
CONTROL_WATCH = Call(
    "/Control/Watch", messages.EntryStatus, messages.ClusterView, _BIDIRECTIONAL
)
CLAIM = Call("/Control/Claim", messages.ClaimRequest, messages.ClaimReply)
LOOKUP = Call("/Control/Lookup", messages.LookupRequest, messages.ClaimReply)
CONCLUDE = Call(
    "/Control/Conclude", messages.ConcludeRequest, messages.ConcludeReply
)
HEARTBEAT = Call(
    "/Member/Heartbeat", messages.Ping, messages.Pong, _BIDIRECTIONAL
)
BACKEND_WATCH = Call(
    "/Backend/Watch", messages.BackendWatch, messages.LoadReport, _SERVER_STREAM
)
VOID = Call("/Backend/Void", messages.VoidRequest, messages.VoidReply)
GATEWAY_FEED = Call(
    "/Fleet/Feed", messages.GatewayReport, messages.GatewayView, _BIDIRECTIONAL
)
JOIN = Call("/Voters/Join", messages.JoinRequest, messages.JoinReply)
LEAVE = Call("/Voters/Leave", messages.LeaveRequest, messages.LeaveReply)
