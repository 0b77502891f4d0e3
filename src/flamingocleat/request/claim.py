"""Non-repeatable calls at the entry: claimed, then sent at most once.

The register is authoritative. A claim binds the key to one permit, and only
the entry that made the claim sends the call, once. An outcome that this module
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
"""Long enough for an election (about 1 s), but not for a longer outage of
control."""

VOID_TIMEOUT_S = 1.0

POLL_S = 0.05
POLL_MAX_S = 0.5
"""Bounds of the polling interval, since each lookup costs control a quorum
round."""

REPLY_MARGIN_S = 0.05
"""Time reserved for replying to the caller before its deadline."""

MAX_CLAIMS = 8
"""Bound on the claims of one request. Two entries that void each other's
permits could otherwise continue until the deadline."""

_OTHER_PERMIT = "another request with this key holds a permit"

_log = logs.logger("claim")


class Register:
    """Client of the control leader's register, for use by HTTP threads."""

    def __init__(
        self, control: watch.ControlWatcher, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.control = control
        self.loop = loop

    def ask(
        self, call: codec.Call, request: messages.Message, bound_s: float
    ) -> typing.Any:
        """Return control's reply; raise UnavailableError if there is none."""
        leader = self.control.channel
        if leader is None:
            raise errors.UnavailableError("no control leader is known")
        timeout_s = max(0.001, min(CONTROL_TIMEOUT_S, bound_s))
        return self._run(call.ask(leader, request, timeout_s), timeout_s)

    def void(
        self, pending: messages.ClaimReply, bound_s: float
    ) -> messages.PermitState:
        """Ask the permit's agent to void it, over a new connection."""
        timeout_s = max(0.001, min(VOID_TIMEOUT_S, bound_s))
        reply = self._run(_void(pending, timeout_s), timeout_s)
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
        except watch.STREAM_ERRORS as error:
            future.cancel()
            reason = str(error) or type(error).__name__
            raise errors.UnavailableError(reason) from error
        if reply is None:
            raise errors.UnavailableError("the call ended without a reply")
        return reply


class ClaimedCall:
    """One request for a non-repeatable call with an idempotency key."""

    def __init__(self, attempts: attempt.Attempts, register: Register) -> None:
        self.attempts = attempts
        self.call = attempts.call
        self.register = register
        self.uncertainty = ""
        """Why the call with this key may run or have run; empty if not."""
        self.shown_not_run = False
        """Whether the register has shown that the call has not run."""

    def run(self) -> messages.Answer:
        """Return the answer, or raise the Problem that states the outcome."""
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
        """Claim the key once and act on its state.

        Returns:
            The answer, or None if the key may be claimed again.
        """
        candidate = self.attempts.choose()
        if candidate is None:
            return self._answer_without_candidate()
        with contextlib.ExitStack() as resources:
            resources.callback(self.attempts.backends.release, candidate)
            permit = ids.PermitId(str(uuid.uuid4()))
            reply = self._send_claim(candidate, permit)
            state = reply.state
            if reply.permit == permit and state in (
                messages.ClaimState.CLAIMED,
                messages.ClaimState.PENDING,
            ):
                # From here on the candidate is released with the reply.
                resources.pop_all()
                self.shown_not_run = True
                return self._dispatch(candidate, permit)
        return self._act_on(reply)

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
            # The permit is never used, even if the claim was committed.
            raise self._refusal(f"control did not reply: {error}") from error
        return typing.cast(messages.ClaimReply, reply)

    def _answer_without_candidate(self) -> messages.Answer | None:
        """Act on the key's state while no backend server can take the call.

        A repeated request can still be answered from the register.
        """
        try:
            reply = self._look_up()
        except errors.UnavailableError as error:
            raise self._refusal(f"control did not reply: {error}") from error
        if reply.state in (
            messages.ClaimState.UNKNOWN_KEY,
            messages.ClaimState.CANCELLED,
        ):
            self.shown_not_run = True
            raise self._refusal(self.attempts.reason)
        return self._act_on(reply)

    def _act_on(self, reply: messages.ClaimReply) -> messages.Answer | None:
        """Act on the state of a key for which this request has no permit.

        Returns:
            The answer, or None if the key may be claimed again.
        """
        if reply.state is messages.ClaimState.ANSWERED:
            return _recorded_answer(reply)
        if reply.state is messages.ClaimState.CANCELLED:
            self.shown_not_run = True
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
            self.shown_not_run = True
            raise self._refusal("the register takes no more keys")
        self.uncertainty = _OTHER_PERMIT
        return self._wait(reply)

    def _dispatch(
        self, candidate: routing.Candidate, permit: ids.PermitId
    ) -> messages.Answer | None:
        """Send the call with its permit, once."""
        try:
            reply = self.attempts.send(candidate, permit=permit)
            with contextlib.closing(reply):
                return reply.read_answer(
                    self.attempts.settings.max_answer_bytes
                )
        except attempt.AttemptError as error:
            self.attempts.record(candidate, error)
            if error.outcome is problem.Outcome.NOT_RUN:
                self._cancel(permit)
                return None
            self.uncertainty = str(error)
        # The agent may still record the answer. If it has not received the
        # call, it can void the permit; it then refuses the call if that
        # arrives later.
        pending = messages.ClaimReply(
            messages.ClaimState.PENDING,
            permit,
            candidate.view.vm,
            candidate.view.incarnation,
            candidate.view.control_address,
        )
        return self._wait(pending)

    def _cancel(self, permit: ids.PermitId) -> None:
        """Commit the cancellation of a permit that can no longer be used.

        Its agent has refused or voided it, or it has never left this entry.

        Raises:
            Problem: The commit is not confirmed.
        """
        request = messages.ConcludeRequest(
            self.call.customer.name, self.call.key, permit
        )
        try:
            reply = self.register.ask(
                codec.CONCLUDE, request, self._remaining_s()
            )
        except errors.UnavailableError as error:
            self.uncertainty = f"the cancellation is not confirmed: {error}"
            raise self._refusal(self.uncertainty) from error
        if reply.state is messages.ClaimState.CANCELLED:
            self.uncertainty = ""
            self.shown_not_run = True
        else:
            self.uncertainty = _OTHER_PERMIT

    def _wait(self, pending: messages.ClaimReply) -> messages.Answer | None:
        """Wait for a permit's answer; void the permit halfway to the deadline.

        The other half of the time is for running the call if the permit was
        unused.

        Returns:
            The answer, or None if the key may be claimed again.
        """
        voidable = True
        void_s = time.monotonic() + self._remaining_s() / 2
        pause_s = POLL_S
        while self._remaining_s():
            if voidable and time.monotonic() >= void_s:
                state = self._void(pending)
                if state is messages.PermitState.VOIDED:
                    self._cancel(pending.permit)
                    return None
                voidable = state is None
                void_s = time.monotonic() + self._remaining_s() / 2
                if state is messages.PermitState.FOREIGN:
                    return self._final_lookup()
            time.sleep(min(pause_s, self._remaining_s()))
            pause_s = min(POLL_MAX_S, pause_s * 2)
            with contextlib.suppress(errors.UnavailableError):
                reply = self._look_up()
                if reply.state is not messages.ClaimState.PENDING:
                    return self._act_on_decided(reply)
                if reply.permit != pending.permit:
                    pending, voidable = reply, True
        raise self._refusal(self.uncertainty)

    def _void(
        self, pending: messages.ClaimReply
    ) -> messages.PermitState | None:
        """Return the permit's state, or None if its agent does not reply."""
        try:
            state = self.register.void(pending, self._remaining_s())
        except errors.UnavailableError as error:
            logs.info(
                _log,
                "void_failed",
                request=self.call.request_id,
                permit=pending.permit,
                reason=error,
            )
            return None
        logs.info(
            _log,
            "void_answered",
            request=self.call.request_id,
            permit=pending.permit,
            state=state.value,
        )
        return state

    def _final_lookup(self) -> messages.Answer | None:
        """Look up a key whose agent has ended; its state is now final."""
        self.uncertainty = "the agent that held the permit has ended"
        try:
            reply = self._look_up()
        except errors.UnavailableError as error:
            raise self._refusal(str(error)) from error
        if reply.state is messages.ClaimState.PENDING:
            raise self._refusal(self.uncertainty)
        return self._act_on_decided(reply)

    def _act_on_decided(
        self, reply: messages.ClaimReply
    ) -> messages.Answer | None:
        """Act on the state of a key that is no longer pending."""
        if reply.state is messages.ClaimState.ANSWERED:
            return _recorded_answer(reply)
        if reply.state is messages.ClaimState.CANCELLED:
            self.uncertainty = ""
            self.shown_not_run = True
            return None
        raise self._refusal("the register no longer has the key")

    def _look_up(self) -> messages.ClaimReply:
        request = messages.LookupRequest(self.call.customer.name, self.call.key)
        reply = self.register.ask(codec.LOOKUP, request, self._remaining_s())
        return typing.cast(messages.ClaimReply, reply)

    def _remaining_s(self) -> float:
        return max(0.0, self.call.remaining_s() - REPLY_MARGIN_S)

    def _refusal(self, reason: str) -> problem.Problem:
        """Return the Problem that reports what is known about the call."""
        if self.uncertainty:
            return problem.unknown(
                f"{self.uncertainty}; ask again with the same key", 1
            )
        refusal = (
            problem.unavailable(reason)
            if self._remaining_s()
            else problem.deadline_exceeded(problem.Outcome.NOT_RUN)
        )
        refusal.covers_key = self.shown_not_run
        return refusal


async def _void(
    pending: messages.ClaimReply, timeout_s: float
) -> messages.VoidReply | None:
    connection = channel.dial(pending.address)
    try:
        reply = await codec.VOID.ask(
            connection,
            messages.VoidRequest(pending.permit, pending.incarnation),
            timeout_s,
        )
        return typing.cast(messages.VoidReply, reply)
    finally:
        connection.close()


def _recorded_answer(reply: messages.ClaimReply) -> messages.Answer:
    if reply.answer is None:
        raise problem.unknown("the call was run; its answer was not kept")
    return reply.answer
