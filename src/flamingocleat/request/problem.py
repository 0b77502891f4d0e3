"""Refusals and failures, reported to callers as RFC 9457 documents."""

import enum
import math

import msgspec

from flamingocleat import errors
from flamingocleat import ids

CONTENT_TYPE = "application/problem+json"


class Outcome(enum.Enum):
    """Whether a call that was not answered was run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Document(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of a refusal; the last three members are extensions.

    `attempt` states whether this request was run. `outcome` states whether
    any request ran the call. They differ if a request with an Idempotency-Key
    was refused before the register was read, since an earlier request with the
    same key may have run.
    """

    title: str
    status: int
    detail: str
    outcome: Outcome
    attempt: Outcome
    request_id: str = ""


class Problem(errors.FlamingocleatError):
    """Error response to a call that the backend server did not answer.

    `retry_after_s` is 0 if repeating the same request cannot help.
    """

    def __init__(
        self,
        status: int,
        title: str,
        detail: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_s: float = 0,
    ) -> None:
        super().__init__(f"{title}: {detail}")
        self.status = status
        self.title = title
        self.detail = detail
        self.outcome = outcome
        self.attempt = outcome
        self.covers_key = False
        """Whether the outcome also holds for earlier requests with the same
        key, because the register showed that none of them ran."""
        self.retry_after_s = retry_after_s

    def limit_to_attempt(self) -> None:
        """Make the outcome unknown unless it covers earlier requests."""
        if not self.covers_key:
            self.outcome = Outcome.UNKNOWN

    def body(self, request_id: ids.RequestId) -> bytes:
        """Return the document as JSON."""
        return msgspec.json.encode(
            Document(
                self.title,
                self.status,
                self.detail,
                self.outcome,
                self.attempt,
                request_id,
            )
        )

    def headers(self) -> dict[str, str]:
        """Return the response headers for the document."""
        headers = {"Content-Type": CONTENT_TYPE}
        if self.status == 401:
            headers["WWW-Authenticate"] = "Bearer"
        if self.retry_after_s:
            headers["Retry-After"] = str(math.ceil(self.retry_after_s))
        return headers


def malformed(detail: str) -> Problem:
    """Return the refusal of an invalid request; a retry would fail as well."""
    return Problem(400, "Malformed request", detail)


def unavailable(detail: str, retry_after_s: float = 1) -> Problem:
    """Return the refusal of a call that was not run and may be retried."""
    return Problem(
        503, "Service unavailable", detail, retry_after_s=retry_after_s
    )


def unknown(detail: str, retry_after_s: float = 0) -> Problem:
    """Return the report of a call that may or may not have been run."""
    return Problem(
        504, "Outcome unknown", detail, Outcome.UNKNOWN, retry_after_s
    )


def deadline_exceeded(outcome: Outcome) -> Problem:
    """Return the report that the caller's time limit has passed."""
    return Problem(
        504, "Deadline exceeded", "the time limit has passed", outcome
    )
