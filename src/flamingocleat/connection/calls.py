"""Control's handlers for the register of non-repeatable calls."""

import collections.abc
import time
import typing
import uuid

import grpclib
import grpclib.const

from flamingocleat import errors
from flamingocleat import messages
from flamingocleat.connection import codec
from flamingocleat.connection import duplex
from flamingocleat.process import logs
from flamingocleat.process import shutdown
from flamingocleat.version import machine as machine_module

_log = logs.logger("calls")

Operation = collections.abc.Callable[
    [typing.Any], collections.abc.Awaitable[messages.Message]
]


class ReplicatedLog(typing.Protocol):
    """The part of consensus that the handlers use."""

    async def propose(self, command: typing.Any) -> typing.Any:
        """Commit a command and return its result."""

    async def confirm(self) -> None:
        """Return after a quorum has confirmed this leader."""


class RegisterCalls:
    """Handles Claim, Lookup and Conclude.

    After a command has been proposed, every failure is reported as UNKNOWN.
    Only FAILED_PRECONDITION and UNAVAILABLE mean that nothing was proposed.
    """

    def __init__(
        self,
        consensus: ReplicatedLog,
        machine: machine_module.Machine,
        admit: collections.abc.Callable[[], collections.abc.Awaitable[None]],
        calls: shutdown.Shutdown,
    ) -> None:
        self.consensus = consensus
        self.machine = machine
        self.admit = admit
        self.calls = calls

    def handlers(
        self,
    ) -> dict[
        codec.Call,
        collections.abc.Callable[[typing.Any], collections.abc.Awaitable[None]],
    ]:
        """Return the handlers for a codec.Service."""
        return {
            codec.CLAIM: self._serve("claim", self.claim),
            codec.LOOKUP: self._serve("lookup", self.look_up),
            codec.CONCLUDE: self._serve("conclude", self.conclude),
        }

    async def claim(
        self, request: messages.ClaimRequest
    ) -> messages.ClaimReply:
        """Commit a claim."""
        command = machine_module.ClaimCall(request, _now_ms())
        return await self.consensus.propose(command)

    async def look_up(
        self, request: messages.LookupRequest
    ) -> messages.ClaimReply:
        """Read the state of a key after a quorum round."""
        await self.consensus.confirm()
        return self.machine.register.lookup(request, _now_ms())

    async def conclude(
        self, request: messages.ConcludeRequest
    ) -> messages.ConcludeReply:
        """Commit an answer or a cancellation."""
        command = machine_module.ConcludeCall(request, _now_ms())
        return await self.consensus.propose(command)

    def _serve(
        self, name: str, operation: Operation
    ) -> collections.abc.Callable[
        [typing.Any], collections.abc.Awaitable[None]
    ]:
        async def handle(stream: typing.Any) -> None:
            request = await stream.recv_message()
            with self.calls.track_call(f"{name}-{uuid.uuid4()}"):
                reply = await self._answer(name, operation, request)
                await stream.send_message(reply)

        return handle

    async def _answer(
        self, name: str, operation: Operation, request: messages.Message
    ) -> messages.Message:
        try:
            await self.admit()
            return await operation(request)
        except errors.FlamingocleatError as error:
            logs.info(_log, "call_failed", call=name, reason=str(error))
            raise duplex.grpc_error(error) from error
        except Exception as error:  # The command may have been proposed.
            logs.error(_log, "call_broken", call=name, reason=repr(error))
            raise grpclib.GRPCError(
                grpclib.const.Status.UNKNOWN, "outcome unknown"
            ) from error


def _now_ms() -> int:
    return int(time.time() * 1000)
