"""Backend servers as one gateway sees them."""

import collections.abc
import time
import typing

from flamingocleat import ids
from flamingocleat import messages

WRITING_SILENCE_S = 0.35
"""A head that writes streams sends events each 50 to 200 ms, depending on
how many prompts it reads between them; all its streams silent for this long
are a lost member."""
WAITING_SILENCE_S = 1.0
"""The same while it only reads prompts: the first event takes longer."""
READ_MARGIN = 1.5
"""Times the reading of all prompts that a head has not read yet that its
silence may last beyond these: it writes less often while it reads."""
TRIAL_S = 1.0
"""How long a silent head is avoided; then one request that can go on
elsewhere tries it. Control has found a lost member by then, and closed the
group; a head that is still named was perhaps only busy. The pause doubles with
each trial that fails."""
SUSPECT_S = 4.5
"""The longest pause, and the one before other requests: a head that lost a
member answers 503 after its stall time, 4 s."""
STANDSTILL_S = 0.25
"""A check that comes this much too late shows that this process stood still
itself; it could not hear any head meanwhile."""
PENALTY_S = 2.0
"""How long a plain backend server is avoided after a failure."""


class Work(typing.Protocol):
    """A request in hand at a backend server."""

    started_s: float
    writing: bool
    prompt_tokens: int

    def interrupt(self, reason: str) -> None:
        """End the attempt; its request may go on elsewhere."""


class Candidate:
    """One backend server or head of a group."""

    def __init__(self, view: messages.ServedBackend) -> None:
        self.view = view
        self.work: set[Work] = set()
        self.in_flight = 0
        self.in_flight_elsewhere = 0
        self.unread_elsewhere = 0
        self.reached_s = float("-inf")
        """When it last sent a byte or accepted a connection."""
        self.suspect_s: float | None = None
        """Since when it counts as silent, or when the last trial failed."""
        self.trials = 0
        """Trials that have failed since it was last heard."""
        self.refused = False
        self.penalty_until_s = float("-inf")
        self.failures = 0

    @property
    def total(self) -> int:
        """Requests in hand, of all gateways."""
        return self.in_flight + self.in_flight_elsewhere

    @property
    def unread_tokens(self) -> int:
        """Prompt tokens of own requests whose first byte is awaited."""
        return sum(work.prompt_tokens for work in self.work if not work.writing)

    @property
    def reading_s(self) -> float:
        """Time to read all prompts whose first byte is awaited."""
        if not self.view.read_per_s:
            return 0.0
        unread = self.unread_tokens + self.unread_elsewhere
        return unread / self.view.read_per_s

    def heard(self, now_s: float) -> None:
        """Note a sign of life."""
        self.reached_s = now_s
        self.suspect_s = None
        self.trials = 0
        self.refused = False

    def succeeded(self) -> None:
        """Note a whole answer."""
        self.failures = 0
        self.penalty_until_s = float("-inf")

    def failed(self, now_s: float) -> None:
        """Note a failure; repeated ones are avoided for longer."""
        self.failures += 1
        self.penalty_until_s = now_s + PENALTY_S * min(4, self.failures)

    def suspect(self, since_s: float) -> None:
        """Count as silent, or as silent still where a trial failed."""
        if self.suspect_s is not None:
            self.trials += 1
        self.suspect_s = since_s

    def is_silent(self, now_s: float, *, repeatable: bool = True) -> bool:
        """Return whether it counts as silent, and may not be tried yet.

        repeatable: the request can go on elsewhere if the trial fails.
        """
        if self.suspect_s is None:
            return False
        pause_s = SUSPECT_S
        if repeatable:
            pause_s = min(SUSPECT_S, TRIAL_S * 2**self.trials)
        return self.in_flight > 0 or now_s - self.suspect_s < pause_s

    def is_avoided(self, now_s: float) -> bool:
        """Return whether requests should go elsewhere."""
        if self.suspect_s is not None:
            return self.is_silent(now_s)
        return now_s < self.penalty_until_s

    def check_silence(self, now_s: float, awake_s: float) -> bool:
        """Return whether work in hand shows it to be silent.

        awake_s: since when this process has run without a pause.
        """
        since_s = self.suspect_s
        work = [
            each
            for each in self.work
            if since_s is None or each.started_s > since_s
        ]
        if not work:
            return False
        writing = [each for each in work if each.writing]
        limit_s = WRITING_SILENCE_S if writing else WAITING_SILENCE_S
        limit_s += READ_MARGIN * self.reading_s
        begun_s = min(each.started_s for each in writing or work)
        silent_s = max(self.reached_s, begun_s, awake_s)
        if now_s - silent_s < limit_s:
            return False
        self.suspect(silent_s if since_s is None else now_s)
        return True

    def report(self, now_s: float) -> messages.HeadReport:
        """Return what the leader should know."""
        reached = now_s - self.reached_s
        silent = now_s - self.suspect_s if self.suspect_s is not None else 0
        return messages.HeadReport(
            backend=self.view.backend,
            in_flight=self.in_flight,
            unread_tokens=self.unread_tokens,
            reached_ms=round(reached * 1000) if reached < 1e6 else -1,
            silent_ms=round(silent * 1000),
            refused=self.refused,
            service=self.view.service,
            group=self.view.group,
        )


class Candidates:
    """All backend servers that the leader names; kept while it is silent."""

    def __init__(
        self, clock: collections.abc.Callable[[], float] = time.monotonic
    ) -> None:
        self.clock = clock
        self.by_backend: dict[ids.BackendId, Candidate] = {}
        self.changed: list[collections.abc.Callable[[], None]] = []
        self.checked_s = float("inf")
        self.awake_s = float("-inf")
        """Since when checks for silence have come in time."""

    def update(
        self, backends: collections.abc.Iterable[messages.ServedBackend]
    ) -> None:
        """Take over the leader's list.

        Work at a server that is no longer listed goes on.
        """
        known, self.by_backend = self.by_backend, {}
        for view in backends:
            old = known.get(view.backend)
            if old is not None and old.view.group == view.group:
                old.view = view
                self.by_backend[view.backend] = old
            else:
                self.by_backend[view.backend] = Candidate(view)
        self.notify()

    def update_load(
        self, load: collections.abc.Iterable[messages.Elsewhere]
    ) -> None:
        """Take over what other gateways have in hand."""
        by_backend = {each.backend: each for each in load}
        for backend, candidate in self.by_backend.items():
            other = by_backend.get(backend)
            candidate.in_flight_elsewhere = other.in_flight if other else 0
            candidate.unread_elsewhere = other.unread_tokens if other else 0
        self.notify()

    def find(self, service: ids.ServiceId, model: str) -> list[Candidate]:
        """Return the servers of a service, or heads of a model's groups."""
        return [
            each
            for each in self.by_backend.values()
            if each.view.service == service and each.view.model == model
        ]

    def check_silence(self) -> list[Candidate]:
        """Return the candidates that became silent."""
        now_s = self.clock()
        if now_s - self.checked_s > STANDSTILL_S:
            self.awake_s = now_s
        self.checked_s = now_s
        return [
            each
            for each in self.by_backend.values()
            if each.view.model and each.check_silence(now_s, self.awake_s)
        ]

    def subscribe(self, callback: collections.abc.Callable[[], None]) -> None:
        """Call back when a request that waits may find a place."""
        self.changed.append(callback)

    def notify(self) -> None:
        """Tell subscribers that something has changed."""
        for callback in self.changed:
            callback()
