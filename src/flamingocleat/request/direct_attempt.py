"""One attempt of a gateway to have a request served by a backend server."""

import enum
import time

from flamingocleat import errors
from flamingocleat.connection import http
from flamingocleat.process import logs
from flamingocleat.request import direct_call
from flamingocleat.request import pace_samples
from flamingocleat.version import candidates as candidates_module

_log = logs.logger("forward")


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


class Attempt:
    """One request to one server; listed in the candidate's `attempts`."""

    def __init__(
        self, candidate: candidates_module.Candidate, call: direct_call.Call
    ) -> None:
        self.candidate = candidate
        self.request_id = call.request_id
        self.started_s = time.monotonic()
        self.writing = False
        self.prompt_tokens = call.demand.prompt_tokens
        self.client: http.Client | None = None
        self.can_retry = call.can_retry
        self.interrupted = ""
        self.meter: pace_samples.StreamMeter | None = None

    def interrupt(self, reason: str) -> None:
        """Abort the attempt if its request may be retried elsewhere."""
        if self.can_retry and not self.interrupted:
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
