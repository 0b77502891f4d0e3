"""Tells the ends of servers from other failures, and what they had to run.

Handles servers that end as they begin to run a request, also one that this
gateway has given up on meanwhile: the server may still have run it.
"""

import collections
import collections.abc
import time

from flamingocleat import ids
from flamingocleat.connection import http
from flamingocleat.request import crash_guard as crash_guard_module
from flamingocleat.request import direct_call
from flamingocleat.version import candidates as candidates_module

END_CHECK_TIMEOUT_S = 0.1
"""Timeout of the check whether a server has ended. One whose process has ended
refuses connections at once."""
ABANDONED_S = 2.0
"""Time for which a server may still run a request that was given up."""
MAX_UNANSWERED = 64
"""Bound on the requests that are remembered for one server."""


class Unanswered:
    """Requests that were sent to servers, without an answer so far."""

    def __init__(
        self, clock: collections.abc.Callable[[], float] = time.monotonic
    ) -> None:
        self.clock = clock
        self.sent: dict[ids.Lifetime, dict[ids.RequestDigest, _Sent]] = (
            collections.defaultdict(dict)
        )

    def record_sent(
        self, lifetime: ids.Lifetime, digest: ids.RequestDigest
    ) -> None:
        """Record that a request is sent."""
        requests = self.sent[lifetime]
        known = requests.get(digest)
        if known is None:
            if len(requests) >= MAX_UNANSWERED:
                del requests[next(iter(requests))]
            known = requests[digest] = _Sent(self.clock())
        known.attempts += 1

    def record_answer(
        self, lifetime: ids.Lifetime, digest: ids.RequestDigest
    ) -> None:
        """Record that a server did not end as it ran a request."""
        requests = self.sent.get(lifetime)
        if requests is not None:
            requests.pop(digest, None)
            if not requests:
                del self.sent[lifetime]

    def record_failure(
        self, lifetime: ids.Lifetime, digest: ids.RequestDigest
    ) -> None:
        """Record that an attempt failed and is over.

        The server may still run the same request in another attempt.
        """
        sent = self.sent.get(lifetime, {}).get(digest)
        if sent is not None and sent.attempts <= 0:
            self.record_answer(lifetime, digest)

    def record_abandoned(
        self, lifetime: ids.Lifetime, digest: ids.RequestDigest
    ) -> None:
        """Record that an attempt is over; nothing changes after an answer."""
        sent = self.sent.get(lifetime, {}).get(digest)
        if sent is None:
            return
        sent.attempts -= 1
        sent.abandoned_s = self.clock()
        self._forget()

    def take(self, lifetime: ids.Lifetime) -> dict[ids.RequestDigest, float]:
        """Return when the requests that a server may still run were sent."""
        self._forget()
        return {
            digest: each.sent_s
            for digest, each in self.sent.get(lifetime, {}).items()
        }

    def _forget(self) -> None:
        """Forget what no server can still run."""
        since_s = self.clock() - ABANDONED_S
        for lifetime, requests in list(self.sent.items()):
            for digest, each in list(requests.items()):
                if each.attempts <= 0 and each.abandoned_s < since_s:
                    del requests[digest]
            if not requests:
                del self.sent[lifetime]


class _Sent:
    """A request that was sent to one server."""

    def __init__(self, sent_s: float) -> None:
        self.sent_s = sent_s
        self.attempts = 0
        """Attempts in flight."""
        self.abandoned_s = float("-inf")
        """When the last attempt was over."""


class ServerEnds:
    """The ends of servers, as one gateway sees them."""

    def __init__(
        self,
        guard: crash_guard_module.CrashGuard,
        candidates: candidates_module.Candidates,
    ) -> None:
        self.guard = guard
        self.candidates = candidates
        self.unanswered = Unanswered()

    def record_sent(
        self, call: direct_call.Call, candidate: candidates_module.Candidate
    ) -> None:
        """Record that a call is sent to a server."""
        self.unanswered.record_sent(candidate.lifetime, call.digest)

    def record_answer(
        self, call: direct_call.Call, candidate: candidates_module.Candidate
    ) -> None:
        """Record that a server began to answer a call that it runs."""
        self.guard.record_write(call.suspects)
        self.unanswered.record_answer(candidate.lifetime, call.digest)

    def record_failure(
        self, call: direct_call.Call, candidate: candidates_module.Candidate
    ) -> None:
        """Record that a server refused a call, or answered with a failure."""
        self.unanswered.record_failure(candidate.lifetime, call.digest)

    def record_abandoned(
        self, call: direct_call.Call, candidate: candidates_module.Candidate
    ) -> None:
        """Record that an attempt is over, answered or not."""
        self.unanswered.record_abandoned(candidate.lifetime, call.digest)

    def record_refused_connection(
        self, candidate: candidates_module.Candidate
    ) -> None:
        """Record that a server refuses connections."""
        if self._ends_unannounced(candidate):
            self._record_end(candidate, ())

    async def examine(
        self, call: direct_call.Call, candidate: candidates_module.Candidate
    ) -> None:
        """Find out whether a server that broke off an answer has ended.

        A faulty server, or a link that is reset, breaks answers off as well.
        """
        if self._ends_unannounced(candidate) and await self._has_ended(
            candidate
        ):
            self._record_end(candidate, call.parts)

    def _record_end(
        self,
        candidate: candidates_module.Candidate,
        parts: tuple[ids.PromptPart, ...],
    ) -> None:
        lifetime = candidate.lifetime
        self.guard.record_crash(
            candidate.view.group or f"{lifetime.backend}@{lifetime.born_ms}",
            parts,
            self.unanswered.take(lifetime),
        )

    def _ends_unannounced(self, candidate: candidates_module.Candidate) -> bool:
        """Return whether an end of a server would be a crash.

        Servers that are stopped say so before, or leave the list.
        """
        listed = self.candidates.by_backend.get(candidate.view.backend)
        return listed is candidate and not candidate.is_leaving

    async def _has_ended(self, candidate: candidates_module.Candidate) -> bool:
        if candidate.refused:
            return True
        try:
            client = await http.Client.open(
                candidate.view.address, END_CHECK_TIMEOUT_S
            )
        except http.ConnectError as error:
            candidate.refused = error.refused
            return error.refused
        client.close()
        return False
