"""State of the backend servers as one gateway observes it."""

import collections.abc
import time
import typing

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.version import notices as notices_module

WRITING_SILENCE_S = 0.35
"""Silence of all streams of a head from which it counts as silent. A head that
writes streams sends events every 50 to 200 ms, depending on how many prompts it
reads in between; a longer silence means that it lost a member."""
WAITING_SILENCE_S = 1.0
"""The same while the head only reads prompts; the first event takes longer."""
READ_MARGIN = 1.5
"""The limits above are extended by the time to read all of the head's unread
prompts times this factor, because it writes less often while it reads."""
RETRY_INTERVAL_S = 1.0
"""How long a silent head is avoided before one request that can continue
elsewhere is sent to it. By then, the leader has detected a lost member and
closed the group, so a head that is still listed may only have been busy. The
interval doubles with each failed retry."""
MAX_RETRY_INTERVAL_S = 4.5
"""Maximum interval between retries, also used for requests that cannot continue
elsewhere. A head that lost a member answers 503 after its stall time of 4 s."""
PAUSE_THRESHOLD_S = 0.25
"""A longer interval between two silence checks shows that this process itself
was paused, and could not receive anything from any head meanwhile."""
PENALTY_S = 2.0
"""How long a backend server is avoided after a failure, times the number of
consecutive failures (at most 4)."""


class InFlightAttempt(typing.Protocol):
    """An attempt in flight at a backend server."""

    started_s: float
    listening_s: float
    """Since when what the server writes is read."""
    is_held: bool
    """Whether nothing is read, since the caller takes nothing."""
    writing: bool
    prompt_tokens: int

    @property
    def has_begun(self) -> bool:
        """Whether the caller has got a part of the answer."""

    def interrupt(self, reason: str) -> None:
        """End the attempt; its request may continue elsewhere."""

    def move(self) -> None:
        """Have the answer that has begun continued elsewhere."""


class Candidate:
    """A backend server, or the head of a group."""

    def __init__(
        self,
        view: messages.ServedBackend,
        notices: notices_module.Notices | None = None,
    ) -> None:
        self.view = view
        self.notices = notices or notices_module.Notices()
        self.attempts: set[InFlightAttempt] = set()
        self.in_flight = 0
        self.in_flight_elsewhere = 0
        self.unread_elsewhere = 0
        self.reached_s = float("-inf")
        """When it last sent a byte or accepted a connection."""
        self.suspected_s: float | None = None
        """Since when it counts as silent, or when the last retry failed."""
        self.failed_retries = 0
        """Retries that have failed since the server last responded."""
        self.refused = False
        self.has_stopped = False
        """Whether its attempts got nothing for too long, and still do not."""
        self.penalty_until_s = float("-inf")
        self.failures = 0

    @property
    def lifetime(self) -> ids.Lifetime:
        """The server's current lifetime."""
        return ids.Lifetime(self.view.backend, self.view.born_ms)

    @property
    def wait_until_s(self) -> float:
        """Until when the server has asked for no requests."""
        return self.notices.find(self.lifetime).wait_until_s

    @property
    def is_leaving(self) -> bool:
        """Whether the server has said that it leaves."""
        return self.notices.find(self.lifetime).is_leaving

    def accepts(self, now_s: float) -> bool:
        """Return whether the server wants requests, as far as it has said."""
        return self.notices.find(self.lifetime).accepts(now_s)

    @property
    def total(self) -> int:
        """Requests in flight from all gateways."""
        return self.in_flight + self.in_flight_elsewhere

    @property
    def unread_tokens(self) -> int:
        """Prompt tokens of this gateway's requests without a first byte."""
        return sum(
            each.prompt_tokens for each in self.attempts if not each.writing
        )

    @property
    def reading_s(self) -> float:
        """Time to read the prompts of all requests without a first byte."""
        if not self.view.read_per_s:
            return 0.0
        unread = self.unread_tokens + self.unread_elsewhere
        return unread / self.view.read_per_s

    def mark_alive(self, now_s: float) -> None:
        """Record that the server responded."""
        self.reached_s = now_s
        self.suspected_s = None
        self.failed_retries = 0
        self.refused = False
        self.has_stopped = False

    def mark_succeeded(self) -> None:
        """Record a complete response."""
        self.failures = 0
        self.penalty_until_s = float("-inf")

    def mark_failed(self, now_s: float) -> None:
        """Record a failure; consecutive failures lengthen the penalty."""
        self.failures += 1
        self.penalty_until_s = now_s + PENALTY_S * min(4, self.failures)

    def mark_silent(self, since_s: float) -> None:
        """Mark as silent; if it already was, count a failed retry."""
        if self.suspected_s is not None:
            self.failed_retries += 1
        self.suspected_s = since_s

    def is_silent(self, now_s: float, *, repeatable: bool = True) -> bool:
        """Return whether it counts as silent and must not be retried yet.

        Args:
            now_s: Current time.
            repeatable: Whether the request can continue elsewhere if the retry
                fails.
        """
        if self.suspected_s is None:
            return False
        pause_s = MAX_RETRY_INTERVAL_S
        if repeatable:
            pause_s = min(
                MAX_RETRY_INTERVAL_S, RETRY_INTERVAL_S * 2**self.failed_retries
            )
        return self.in_flight > 0 or now_s - self.suspected_s < pause_s

    def is_avoided(self, now_s: float) -> bool:
        """Return whether other servers should be preferred."""
        if not self.accepts(now_s):
            return True
        if self.suspected_s is not None:
            return self.is_silent(now_s)
        return now_s < self.penalty_until_s

    def check_silence(self, now_s: float, unpaused_since_s: float) -> bool:
        """Return whether it is newly found silent, judged by its attempts.

        Args:
            now_s: Current time.
            unpaused_since_s: Since when this process has run without a pause.
        """
        since_s = self.suspected_s
        attempts = [
            each
            for each in self.attempts
            if not each.is_held
            and (since_s is None or each.started_s > since_s)
        ]
        if not attempts:
            return False
        writing = [each for each in attempts if each.writing]
        limit_s = WRITING_SILENCE_S if writing else WAITING_SILENCE_S
        limit_s += READ_MARGIN * self.reading_s
        begun_s = min(each.listening_s for each in writing or attempts)
        silent_s = max(self.reached_s, begun_s, unpaused_since_s)
        if now_s - silent_s < limit_s:
            return False
        self.mark_silent(silent_s if since_s is None else now_s)
        self.has_stopped = True
        return True

    def report(self, now_s: float) -> messages.HeadReport:
        """Return the report on this head for the leader."""
        reached = now_s - self.reached_s
        silent = now_s - self.suspected_s if self.suspected_s is not None else 0
        return messages.HeadReport(
            backend=self.view.backend,
            in_flight=self.in_flight,
            unread_tokens=self.unread_tokens,
            reached_ms=round(reached * 1000) if reached < 1e6 else -1,
            silent_ms=round(silent * 1000),
            refused=self.refused,
            service=self.view.service,
            group=self.view.group,
            born_ms=self.view.born_ms,
        )


class Candidates:
    """All backend servers on the leader's list, kept while it is silent."""

    def __init__(
        self, clock: collections.abc.Callable[[], float] = time.monotonic
    ) -> None:
        self.clock = clock
        self.by_backend: dict[ids.BackendId, Candidate] = {}
        self.departed: set[Candidate] = set()
        """Heads that are no longer listed, with attempts in flight."""
        self.notices = notices_module.Notices()
        self.evacuated: dict[ids.DataCentreId, float] = {}
        """Until when heads in each evacuated data centre may be used for
        requests that no other server has room for."""
        self.listeners: list[collections.abc.Callable[[], None]] = []
        self.checked_s = float("inf")
        self.unpaused_since_s = float("-inf")
        """Since when silence checks have run without a long delay."""

    def update(
        self, backends: collections.abc.Iterable[messages.ServedBackend]
    ) -> None:
        """Apply the leader's list.

        Attempts at a server that is no longer listed continue.
        """
        known, self.by_backend = self.by_backend, {}
        for view in backends:
            old = known.get(view.backend)
            if old is not None and _continues(old.view, view):
                old.view = view
                self.by_backend[view.backend] = old
            else:
                self.by_backend[view.backend] = Candidate(view, self.notices)
        self._depart(each for each in known.values() if not self._lists(each))
        self.notify()

    def discard(
        self, backends: collections.abc.Iterable[ids.BackendId]
    ) -> None:
        """Remove servers; attempts at them continue."""
        for backend in backends:
            candidate = self.by_backend.pop(backend, None)
            if candidate is not None:
                self._depart([candidate])

    def _lists(self, candidate: Candidate) -> bool:
        return self.by_backend.get(candidate.view.backend) is candidate

    def _depart(self, candidates: collections.abc.Iterable[Candidate]) -> None:
        self.departed.update(
            each for each in candidates if each.view.model and each.attempts
        )

    def set_evacuated(
        self, evacuated: collections.abc.Iterable[messages.EvacuatedDataCentre]
    ) -> None:
        """Set all data centres whose servers must not be selected.

        Attempts there continue. A hand-over is never prolonged, since a view
        may arrive late. A gateway without servers takes part in none: it has
        sent nothing there that would have to move.
        """
        now_s = self.clock()
        known, self.evacuated = self.evacuated, {}
        for each in evacuated:
            until_s = float("-inf")
            if self.by_backend:
                until_s = now_s + each.hand_over_ms / 1000
            self.evacuated[each.data_centre] = min(
                until_s, known.get(each.data_centre, until_s)
            )
        if known.keys() - self.evacuated.keys():
            self.notify()

    def is_handing_over(self, candidate: Candidate) -> bool:
        """Return whether a candidate's data centre is evacuated.

        Those that `find` returns may be used if no other has room.
        """
        return candidate.view.data_centre in self.evacuated

    def _is_excluded(self, view: messages.ServedBackend, now_s: float) -> bool:
        until_s = self.evacuated.get(view.data_centre)
        return until_s is not None and (not view.model or now_s >= until_s)

    def update_load(
        self, load: collections.abc.Iterable[messages.OtherGatewaysLoad]
    ) -> None:
        """Apply the load of other gateways."""
        by_backend = {each.backend: each for each in load}
        for backend, candidate in self.by_backend.items():
            other = by_backend.get(backend)
            candidate.in_flight_elsewhere = other.in_flight if other else 0
            candidate.unread_elsewhere = other.unread_tokens if other else 0
        self.notify()

    def find(self, service: ids.ServiceId, model: str) -> list[Candidate]:
        """Return a service's servers, or the heads of a model's groups.

        Those in evacuated data centres are left out.
        """
        now_s = self.clock()
        return [
            each
            for each in self.by_backend.values()
            if each.view.service == service
            and each.view.model == model
            and not self._is_excluded(each.view, now_s)
        ]

    def find_stopped(self) -> list[Candidate]:
        """Return the heads that still write nothing for too long.

        A head that is no longer listed may have lost a member, or be finishing
        its work.
        """
        self.departed = {each for each in self.departed if each.attempts}
        return [
            each
            for each in (*self.by_backend.values(), *self.departed)
            if each.has_stopped
        ]

    def check_silence(self) -> list[Candidate]:
        """Return the candidates that are newly found silent."""
        now_s = self.clock()
        if now_s - self.checked_s > PAUSE_THRESHOLD_S:
            self.unpaused_since_s = now_s
        self.checked_s = now_s
        return [
            each
            for each in self.by_backend.values()
            if each.view.model
            and each.check_silence(now_s, self.unpaused_since_s)
        ]

    def subscribe(self, callback: collections.abc.Callable[[], None]) -> None:
        """Register a callback for when capacity may have become free."""
        self.listeners.append(callback)

    def notify(self) -> None:
        """Call all registered callbacks."""
        for callback in self.listeners:
            callback()


def _continues(
    before: messages.ServedBackend, after: messages.ServedBackend
) -> bool:
    """Return whether what was observed of a server still holds."""
    return (before.group, before.born_ms) == (after.group, after.born_ms)
