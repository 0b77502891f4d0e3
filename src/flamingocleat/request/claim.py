"""Non-repeatable calls at the entry: claimed, then sent at most once.

The register decides. A claim binds the key to one permit, and only the
entry that claimed it sends the call, once. Everything that this module
cannot prove is reported as unknown.
"""

import asyncio
import concurrent.futures
import contextlib
import time
import typing
import uuid

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import channel
from flamingocleat.connection import codec
from flamingocleat.connection import watch
from flamingocleat.process import logs
from flamingocleat.request import attempt
from flamingocleat.request import problem
from flamingocleat.version import routing

CONTROL_TIMEOUT_S = 3.0
"""Covers an election (about 1 s) but no longer outage of control."""

VOID_TIMEOUT_S = 1.0

POLL_S = 0.05
POLL_MAX_S = 0.5
"""Each look-up costs control a round of its quorum."""

MARGIN_S = 0.05
"""Time kept to tell the caller before its deadline."""

MAX_CLAIMS = 8
"""Claims of one request. Two entries that void each other's permits could
otherwise go on until the deadline."""

_LOST = "another request with this key holds a permit"

_log = logs.logger("claim")


class Register:
    """The register at the control leader, for use by HTTP threads."""

    def __init__(
        self, control: watch.Control, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.control = control
        self.loop = loop

    def ask(
        self, call: codec.Call, request: messages.Message, bound_s: float
    ) -> typing.Any:
        """Return control's reply; raise UnavailableError without one."""
        leader = self.control.channel
        if leader is None:
            raise errors.UnavailableError("no control leader is known")
        timeout_s = max(0.001, min(CONTROL_TIMEOUT_S, bound_s))
        return self._run(call.ask(leader, request, timeout_s), timeout_s)

    def void(
        self, held: messages.ClaimReply, bound_s: float
    ) -> messages.PermitState:
        """Ask the permit's agent to void it, over a new connection."""
        timeout_s = max(0.001, min(VOID_TIMEOUT_S, bound_s))
        reply = self._run(_void(held, timeout_s), timeout_s)
        return typing.cast(messages.VoidReply, reply).state

    def _run(
        self,
        coroutine: typing.Coroutine[typing.Any, typing.Any, typing.Any],
        timeout_s: float,
    ) -> typing.Any:
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        try:
            reply = future.result(timeout_s + 1.0)
        except concurrent.futures.CancelledError as error:
            raise errors.UnavailableError("the call was cancelled") from error
        except watch.FAILURES as error:
            future.cancel()
            reason = str(error) or type(error).__name__
            raise errors.UnavailableError(reason) from error
        if reply is None:
            raise errors.UnavailableError("the call ended without a reply")
        return reply


class Claimed:
    """One request for a non-repeatable call that has a key."""

    def __init__(self, attempts: attempt.Attempts, register: Register) -> None:
        self.attempts = attempts
        self.call = attempts.call
        self.register = register
        self.uncertain = ""
        """Why the call under this key may run or have run, if so."""
        self.read = False
        """True once the register has shown that the key has not run."""

    def run(self) -> messages.Answer:
        """Return the answer, or raise the Problem that tells the outcome."""
        for number in range(MAX_CLAIMS):
            if number and not self.attempts.budget.withdraw():
                self.attempts.reason += "; the retry budget is used up"
                break
            answer = self._claim()
            if answer is not None:
                return answer
            if not self._remaining_s():
                break
        raise self._refusal(self.attempts.reason)

    def _claim(self) -> messages.Answer | None:
        """Claim the key once and act on its state; None: claim anew."""
        candidate = self.attempts.choose()
        if candidate is None:
            return self._without_candidate()
        with contextlib.ExitStack() as resources:
            resources.callback(self.attempts.backends.release, candidate)
            permit = ids.PermitId(str(uuid.uuid4()))
            reply = self._send_claim(candidate, permit)
            state = reply.state
            if reply.permit == permit and state in (
                messages.ClaimState.CLAIMED,
                messages.ClaimState.PENDING,
            ):
                # From here on the reply of the agent releases it.
                resources.pop_all()
                self.read = True
                return self._dispatch(candidate, permit)
        return self._read(reply)

    def _send_claim(
        self, candidate: routing.Candidate, permit: ids.PermitId
    ) -> messages.ClaimReply:
        view = candidate.view
        request = messages.ClaimRequest(
            self.call.customer.name,
            self.call.key,
            self.call.service.name,
            self.call.digest(),
            permit,
            view.vm,
            view.incarnation,
            view.control_address,
        )
        try:
            reply = self.register.ask(codec.CLAIM, request, self._remaining_s())
        except errors.UnavailableError as error:
            # The permit is discarded, even if the claim was committed.
            raise self._refusal(f"control did not reply: {error}") from error
        return typing.cast(messages.ClaimReply, reply)

    def _without_candidate(self) -> messages.Answer | None:
        """Serve a repeat although no backend server could take the call."""
        try:
            reply = self._look_up()
        except errors.UnavailableError as error:
            raise self._refusal(f"control did not reply: {error}") from error
        if reply.state in (
            messages.ClaimState.UNKNOWN_KEY,
            messages.ClaimState.CANCELLED,
        ):
            self.read = True
            raise self._refusal(self.attempts.reason)
        return self._read(reply)

    def _read(self, reply: messages.ClaimReply) -> messages.Answer | None:
        """Act on a key that this request may not dispatch; None: claim."""
        if reply.state is messages.ClaimState.ANSWERED:
            return _recorded(reply)
        if reply.state is messages.ClaimState.CANCELLED:
            self.read = True
            return None
        if reply.state is messages.ClaimState.CONFLICT:
            conflict = problem.Problem(
                422,
                "Idempotency-Key was used before",
                "the key belongs to another call",
            )
            conflict.covers_key = True
            raise conflict
        if reply.state is messages.ClaimState.EXPIRED:
            raise problem.malformed("Idempotency-Key is out of its window")
        if reply.state is messages.ClaimState.UNKNOWN_KEY:
            self.read = True
            raise self._refusal("the register takes no more keys")
        self.uncertain = _LOST
        return self._wait(reply)

    def _dispatch(
        self, candidate: routing.Candidate, permit: ids.PermitId
    ) -> messages.Answer | None:
        """Send the call with its permit, once."""
        try:
            reply = self.attempts.send(candidate, permit=permit)
            with contextlib.closing(reply):
                return reply.collect(self.attempts.settings.max_answer_bytes)
        except attempt.AttemptError as error:
            self.attempts.record(candidate, error)
            if error.outcome is problem.Outcome.NOT_RUN:
                self._cancel(permit)
                return None
            self.uncertain = str(error)
        # The agent may yet record the answer, or may never have received
        # the call and void the permit. If the call arrives after that, the
        # agent refuses it.
        held = messages.ClaimReply(
            messages.ClaimState.PENDING,
            permit,
            candidate.view.vm,
            candidate.view.incarnation,
            candidate.view.control_address,
        )
        return self._wait(held)

    def _cancel(self, permit: ids.PermitId) -> None:
        """Commit the cancellation of a permit that can no longer be used.

        Its agent has refused or voided it, or it never left this entry.
        Raise Problem if the commit is not confirmed.
        """
        request = messages.ConcludeRequest(
            self.call.customer.name, self.call.key, permit
        )
        try:
            reply = self.register.ask(
                codec.CONCLUDE, request, self._remaining_s()
            )
        except errors.UnavailableError as error:
            self.uncertain = f"the cancellation is not confirmed: {error}"
            raise self._refusal(self.uncertain) from error
        if reply.state is messages.ClaimState.CANCELLED:
            self.uncertain = ""
            self.read = True
        else:
            self.uncertain = _LOST

    def _wait(self, held: messages.ClaimReply) -> messages.Answer | None:
        """Wait for the answer of a permit; void it halfway to the deadline.

        Half of the time is left to run the call if the permit was unused.
        Return None if the key may be claimed anew.
        """
        voidable = True
        void_s = time.monotonic() + self._remaining_s() / 2
        pause_s = POLL_S
        while self._remaining_s():
            if voidable and time.monotonic() >= void_s:
                state = self._void(held)
                if state is messages.PermitState.VOIDED:
                    self._cancel(held.permit)
                    return None
                voidable = state is None
                void_s = time.monotonic() + self._remaining_s() / 2
                if state is messages.PermitState.FOREIGN:
                    return self._last_look()
            time.sleep(min(pause_s, self._remaining_s()))
            pause_s = min(POLL_MAX_S, pause_s * 2)
            with contextlib.suppress(errors.UnavailableError):
                reply = self._look_up()
                if reply.state is not messages.ClaimState.PENDING:
                    return self._read_again(reply)
                if reply.permit != held.permit:
                    held, voidable = reply, True
        raise self._refusal(self.uncertain)

    def _void(self, held: messages.ClaimReply) -> messages.PermitState | None:
        """Return the permit's state, or None if its agent is silent."""
        try:
            state = self.register.void(held, self._remaining_s())
        except errors.UnavailableError as error:
            logs.info(
                _log,
                "void_failed",
                request=self.call.request_id,
                permit=held.permit,
                reason=error,
            )
            return None
        logs.info(
            _log,
            "void_answered",
            request=self.call.request_id,
            permit=held.permit,
            state=state.value,
        )
        return state

    def _last_look(self) -> messages.Answer | None:
        """Read a key whose agent has ended; it stays as it is now."""
        self.uncertain = "the agent that held the permit has ended"
        try:
            reply = self._look_up()
        except errors.UnavailableError as error:
            raise self._refusal(str(error)) from error
        if reply.state is messages.ClaimState.PENDING:
            raise self._refusal(self.uncertain)
        return self._read_again(reply)

    def _read_again(self, reply: messages.ClaimReply) -> messages.Answer | None:
        """Act on a key that was pending before."""
        if reply.state is messages.ClaimState.ANSWERED:
            return _recorded(reply)
        if reply.state is messages.ClaimState.CANCELLED:
            self.uncertain = ""
            self.read = True
            return None
        raise self._refusal("the register no longer has the key")

    def _look_up(self) -> messages.ClaimReply:
        request = messages.LookupRequest(self.call.customer.name, self.call.key)
        reply = self.register.ask(codec.LOOKUP, request, self._remaining_s())
        return typing.cast(messages.ClaimReply, reply)

    def _remaining_s(self) -> float:
        return max(0.0, self.call.remaining_s() - MARGIN_S)

    def _refusal(self, reason: str) -> problem.Problem:
        """Return the Problem that tells what is known."""
        if self.uncertain:
            return problem.unknown(
                f"{self.uncertain}; ask again with the same key", 1
            )
        refusal = (
            problem.unavailable(reason)
            if self._remaining_s()
            else problem.too_late(problem.Outcome.NOT_RUN)
        )
        refusal.covers_key = self.read
        return refusal


async def _void(
    held: messages.ClaimReply, timeout_s: float
) -> messages.VoidReply | None:
    dialled = channel.dial(held.address)
    try:
        reply = await codec.VOID.ask(
            dialled,
            messages.VoidRequest(held.permit, held.incarnation),
            timeout_s,
        )
        return typing.cast(messages.VoidReply, reply)
    finally:
        dialled.close()


def _recorded(reply: messages.ClaimReply) -> messages.Answer:
    if reply.answer is None:
        raise problem.unknown("the call was run; its answer was not kept")
    return reply.answer
