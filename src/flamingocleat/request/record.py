"""Records answers of non-repeatable calls in control's register."""

import asyncio

import grpclib.client

from flamingocleat import messages
from flamingocleat.connection import channel
from flamingocleat.connection import codec
from flamingocleat.connection import fault
from flamingocleat.connection import leader
from flamingocleat.process import logs
from flamingocleat.process import settings
from flamingocleat.process import shutdown

_log = logs.logger("record")

_TIMEOUT_S = 1.0
MAX_PENDING = 64
"""Answers that wait to be recorded; at up to 256 KiB each they take 16 MiB.
Calls with permits are refused while there are as many."""

_DONE = (
    messages.ClaimState.ANSWERED,
    messages.ClaimState.CANCELLED,
    messages.ClaimState.CONFLICT,
    messages.ClaimState.EXPIRED,
    messages.ClaimState.UNKNOWN_KEY,
)


class Recorder:
    """Sends each answer to the control leader until it is recorded."""

    def __init__(
        self, agent: settings.AgentSettings, stopping: shutdown.Shutdown
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.leader = leader.Leader(agent.control)
        self.shutdown = stopping
        self.pending: set[str] = set()
        self.channel: grpclib.client.Channel | None = None

    def full(self) -> bool:
        """Return whether too many answers wait to be recorded."""
        return len(self.pending) >= MAX_PENDING

    def record(self, conclusion: messages.ConcludeRequest) -> None:
        """Record an answer in the background; call it from any thread."""
        name = f"conclude-{conclusion.permit}"
        self.pending.add(name)
        self.shutdown.begin(name)
        asyncio.run_coroutine_threadsafe(
            self._record(name, conclusion), self.loop
        )

    async def _record(
        self, name: str, conclusion: messages.ConcludeRequest
    ) -> None:
        try:
            while True:
                state = await self._ask(conclusion)
                if state in _DONE:
                    break
                await self.leader.pause()
            self._log(conclusion, state)
        finally:
            self.pending.discard(name)
            self.shutdown.end(name)

    async def _ask(
        self, conclusion: messages.ConcludeRequest
    ) -> messages.ClaimState | None:
        dialled = self.channel or channel.dial(self.leader.address())
        self.channel = dialled
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                reply = await codec.CONCLUDE.ask(
                    dialled, conclusion, _TIMEOUT_S
                )
        except fault.FAULTS as error:
            self.leader.note(error)
            logs.warning(
                _log,
                "conclude_failed",
                permit=conclusion.permit,
                reason=repr(error),
            )
            dialled.close()
            if self.channel is dialled:
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
