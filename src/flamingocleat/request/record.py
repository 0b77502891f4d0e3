"""Records answers to non-repeatable calls in control's register."""

import asyncio

import grpclib.client

from flamingocleat import messages
from flamingocleat.connection import channel
from flamingocleat.connection import codec
from flamingocleat.connection import grpc_errors
from flamingocleat.connection import leader
from flamingocleat.process import logs
from flamingocleat.process import settings
from flamingocleat.process import shutdown

_log = logs.logger("record")

_TIMEOUT_S = 1.0
MAX_PENDING = 64
"""Bound on the answers that wait to be recorded. They have up to 256 KiB each,
16 MiB in total. Calls with permits are refused while it is reached."""

_FINAL_STATES = (
    messages.ClaimState.ANSWERED,
    messages.ClaimState.CANCELLED,
    messages.ClaimState.CONFLICT,
    messages.ClaimState.EXPIRED,
    messages.ClaimState.UNKNOWN_KEY,
)


class Recorder:
    """Sends each answer to the control leader, repeatedly until recorded."""

    def __init__(
        self, agent: settings.AgentSettings, stopping: shutdown.Shutdown
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.leader = leader.LeaderFinder(agent.control)
        self.shutdown = stopping
        self.pending: set[str] = set()
        self.channel: grpclib.client.Channel | None = None

    def is_full(self) -> bool:
        """Return whether too many answers wait to be recorded."""
        return len(self.pending) >= MAX_PENDING

    def record(self, conclusion: messages.ConcludeRequest) -> None:
        """Record an answer in the background; may be called by any thread."""
        name = f"conclude-{conclusion.permit}"
        self.pending.add(name)
        self.shutdown.begin_call(name)
        asyncio.run_coroutine_threadsafe(
            self._record(name, conclusion), self.loop
        )

    async def _record(
        self, name: str, conclusion: messages.ConcludeRequest
    ) -> None:
        try:
            while True:
                state = await self._ask(conclusion)
                if state in _FINAL_STATES:
                    break
                await self.leader.pause()
            self._log(conclusion, state)
        finally:
            self.pending.discard(name)
            self.shutdown.end_call(name)

    async def _ask(
        self, conclusion: messages.ConcludeRequest
    ) -> messages.ClaimState | None:
        connection = self.channel or channel.dial(self.leader.address())
        self.channel = connection
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                reply = await codec.CONCLUDE.ask(
                    connection, conclusion, _TIMEOUT_S
                )
        except grpc_errors.CONNECTION_ERRORS as error:
            self.leader.follow_hint(error)
            logs.warning(
                _log,
                "conclude_failed",
                permit=conclusion.permit,
                reason=repr(error),
            )
            connection.close()
            if self.channel is connection:
                self.channel = None
            return None
        return None if reply is None else reply.state

    def _log(
        self,
        conclusion: messages.ConcludeRequest,
        state: messages.ClaimState | None,
    ) -> None:
        if state is messages.ClaimState.ANSWERED:
            logs.info(_log, "answer_recorded", permit=conclusion.permit)
            return
        logs.error(
            _log,
            "answer_not_accepted",
            permit=conclusion.permit,
            key=conclusion.key,
            state=state.value if state else "",
        )
