"""One attempt of a gateway to have a request served by a backend server."""

import collections.abc
import contextlib
import enum
import time

from flamingocleat import errors
from flamingocleat.connection import http
from flamingocleat.process import logs
from flamingocleat.request import budget as budget_module
from flamingocleat.request import direct_call
from flamingocleat.request import pace_samples
from flamingocleat.version import candidates as candidates_module

_log = logs.logger("forward")

MIN_REMAINING_S = 0.05
"""A request with less time remaining is not sent."""


class Failure(enum.Enum):
    """How an attempt failed."""

    NOT_SENT = "not-sent"
    NOT_RUN = "not-run"
    """The server states that it has not run the request."""
    UNKNOWN = "unknown"
    """The request may have run, or part of its answer was lost."""


class AttemptError(errors.FlamingocleatError):
    """An attempt that did not return a complete answer."""

    def __init__(self, failure: Failure, reason: str) -> None:
        super().__init__(reason)
        self.failure = failure
        self.answer: tuple[http.Answer, bytes] | None = None
        """The server's own error response, if it sent one."""
        self.has_budget = False
        """Whether the budget already counts the retry."""


class Attempt:
    """One request to one server; listed in the candidate's `attempts`."""

    def __init__(
        self,
        candidate: candidates_module.Candidate,
        call: direct_call.Call,
        budget: budget_module.Budget,
    ) -> None:
        self.candidate = candidate
        self.call = call
        self.budget = budget
        self.has_budget = False
        """Whether the budget already counts the retry."""
        self.request_id = call.request_id
        self.started_s = time.monotonic()
        self.listening_s = self.started_s
        self.is_held = False
        self.writing = False
        self.prompt_tokens = call.demand.prompt_tokens
        self.client: http.Client | None = None
        self.can_retry = call.can_retry
        self.interrupted = ""
        self.meter: pace_samples.StreamMeter | None = None
        self.begin_takeover: collections.abc.Callable[[], None] | None = None
        """Has the answer continued by another server, if that is possible."""

    @property
    def has_begun(self) -> bool:
        """Whether the caller has got a part of the answer."""
        return self.call.exchange.started

    @contextlib.contextmanager
    def hold(self) -> collections.abc.Iterator[None]:
        """Count no silence while the caller takes what the server wrote."""
        self.is_held = True
        try:
            yield
        finally:
            self.is_held = False
            self.listening_s = time.monotonic()

    def move(self) -> None:
        """Have the answer that has begun continued by another server.

        It stays at its server until another has written the next event.
        """
        if (
            self.begin_takeover is not None
            and not self.interrupted
            and not self.is_held
            and self.call.is_repeatable
            and self.call.sent < self.call.route.max_attempts
            and self.call.remaining_s() >= MIN_REMAINING_S
        ):
            self.begin_takeover()

    def end(self, reason: str) -> None:
        """End the attempt, whose answer has been taken over."""
        self.interrupted = self.interrupted or reason
        if self.client is not None:
            self.client.close()

    def interrupt(self, reason: str) -> None:
        """Abort the attempt if its request may be retried elsewhere.

        Otherwise it stays at its server, which may go on.
        """
        if not self.can_retry or self.interrupted:
            return
        if self.client is not None:
            self.has_budget = (
                self.call.remaining_s() >= MIN_REMAINING_S
                and self.budget.withdraw(self.call.service.name)
            )
            if not self.has_budget:
                return
        self.interrupted = reason
        logs.info(
            _log,
            "attempt_interrupted",
            request=self.request_id,
            backend=self.candidate.view.backend,
            group=self.candidate.view.group,
            connected=self.client is not None,
            writing=self.writing,
            reason=reason,
        )
        if self.client is not None:
            self.client.close()
