"""Choice of the backend server for one attempt of a call.

The entry keeps one Candidate for each backend server of its subset and
updates it with load reports and its own observations. Candidates are not
thread-safe: the entry calls `choose` and the recording methods under one
lock.
"""

import bisect
import collections.abc
import hashlib
import heapq
import math
import statistics

import msgspec

from flamingocleat import ids
from flamingocleat import messages

LOAD_MEMORY_S = 1.0
"""Age at which a report's statement about other entries' load has lost 63 %
of its weight; requests last seconds, so older reports say little."""
FIRST_TOKEN_SMOOTHING = 0.2
"""Weight of a new observation of the time to first token."""
FIRST_TOKEN_MEMORY_S = 15.0
"""After this time without an observation, a straggler is tried again."""
OWN_SAMPLES = 20
"""Enough for reports every 250 ms that are 5 s late."""
STRAGGLER_RATIO = 3.0
"""Times to first token above this multiple of the median mark a straggler.
At 2, replicas with few cached prefixes are marked as well, which lengthens
the 99th percentile in bench.routing."""
STRAGGLER_PEERS = 3
"""Candidates with observations that a median needs to mean anything."""
PREFIX_GAIN = 0.25
"""Score, as a part of a replica's slots, of a prompt that is fully cached.
At 0.5 calls crowd onto few replicas: in bench.routing, with reports 2 s late,
the 99th percentile of time to first token rises by half."""
PREFIX_LOAD_BOUND = 1.25
"""Affinity counts only up to this multiple of the mean load, as in
consistent hashing with bounded loads."""
LINK_COST = 0.5
"""Score of leaving the entry's data centre: half of a replica's slots must be
busier here than there before a call spills over. In bench.routing, at 0.25
more calls cross, up to twice as many, for a 99th percentile of time to first
token that is at most 7 % lower."""
QUEUE_COST = 3.0
"""Score of a queued request against one that runs; queueing delays the
first token by whole service times."""
SUBSET_MIN_ENTRIES = 12
"""Entries that each replica is to have in expectation. The number is
Poisson-distributed, so fewer than 3 have a probability of 5e-4."""


class Call(msgspec.Struct, frozen=True):
    """What the choice depends on in one call."""

    data_centre: ids.DataCentreId
    """Where this entry is."""
    prefixes: tuple[bytes, ...] = ()
    """Hashes of the prompt's prefixes, the shortest first."""
    excluded: frozenset[str] = frozenset()
    """Backends that earlier attempts of the call were sent to."""


class Candidate(msgspec.Struct):
    """One backend server as this entry knows it."""

    view: messages.BackendView
    in_flight: int = 0
    """Calls of this entry."""
    load: messages.Load = messages.Load()
    load_s: float = -math.inf
    """When the reported load was measured, on the monotonic clock."""
    others: int = 0
    """Load from other entries at that time."""
    own: list[tuple[float, int]] = msgspec.field(default_factory=list)
    """Samples of in_flight and their times, one for each report."""
    serving: bool = True
    leaving: bool = False
    suspect: bool = False
    """Its watch went silent or its last call failed to connect."""
    first_token_s: float = 0.0
    """Smoothed time to first token; 0 until there is one."""
    first_token_at_s: float = -math.inf
    turn: int = 0
    """Number of the last choice that picked it."""
    cached: set[bytes] = msgspec.field(default_factory=set)
    cache_sequence: int = 0
    cache_known: bool = False

    def record_report(self, report: messages.LoadReport, now_s: float) -> None:
        """Take over a load report that arrived at `now_s`."""
        self.suspect = False
        self.leaving = report.leaving
        self.serving = (
            report.serving
            and report.incarnation == self.view.incarnation
            and report.fence == self.view.fence
        )
        self.load = report.load
        self.load_s = now_s - report.load.age_ms / 1000
        reported = report.load.running + report.load.waiting
        self.others = max(0, reported - self._own_at(self.load_s, now_s))
        self._record_cache(report)

    def record_first_token(self, seconds: float, now_s: float) -> None:
        """Record how long a call waited for its first token."""
        if self.first_token_s:
            change = seconds - self.first_token_s
            self.first_token_s += FIRST_TOKEN_SMOOTHING * change
        else:
            self.first_token_s = seconds
        self.first_token_at_s = now_s

    def _own_at(self, at_s: float, now_s: float) -> int:
        """Return this entry's calls in flight at an earlier time.

        A late report counts calls that have ended since; taking off today's
        number would blame the difference on other entries.
        """
        self.own.append((now_s, self.in_flight))
        while len(self.own) > 1 and self.own[1][0] <= at_s:
            del self.own[0]
        while len(self.own) > OWN_SAMPLES:
            del self.own[0]
        return self.own[0][1]

    def _record_cache(self, report: messages.LoadReport) -> None:
        events = report.cache_events
        if report.cache_complete:
            self.cached = {e.prefix for e in events if e.present}
            self.cache_sequence = report.cache_sequence
            self.cache_known = True
            return
        for event in events:
            if not self.cache_known or event.sequence <= self.cache_sequence:
                continue
            if event.sequence != self.cache_sequence + 1:
                self._forget_cache()
                return
            self.cache_sequence = event.sequence
            if event.present:
                self.cached.add(event.prefix)
            else:
                self.cached.discard(event.prefix)
        if self.cache_known and report.cache_sequence != self.cache_sequence:
            self._forget_cache()

    def _forget_cache(self) -> None:
        self.cached.clear()
        self.cache_known = False


Chooser = collections.abc.Callable[
    [Call, collections.abc.Sequence[Candidate], float], Candidate
]
"""Picks one of the usable candidates, of which there is at least one."""

POLICIES: dict[str, Chooser] = {}


def policy(
    name: str,
) -> collections.abc.Callable[[Chooser], Chooser]:
    """Register a policy under a name."""

    def register(chooser: Chooser) -> Chooser:
        POLICIES[name] = chooser
        return chooser

    return register


def choose(
    policy: str,
    call: Call,
    candidates: collections.abc.Sequence[Candidate],
    now_s: float,
) -> Candidate | None:
    """Return the candidate to send the call to, or None if none is usable.

    Candidates that are suspect, leaving, not serving or excluded are never
    returned. The caller counts `in_flight` itself. Raises KeyError for an
    unknown policy.
    """
    chooser = POLICIES[policy]
    usable = [
        candidate
        for candidate in candidates
        if candidate.serving
        and not candidate.leaving
        and not candidate.suspect
        and candidate.view.backend not in call.excluded
    ]
    if not usable:
        return None
    chosen = chooser(call, usable, now_s)
    chosen.turn = max(candidate.turn for candidate in candidates) + 1
    return chosen


@policy("round-robin")
def round_robin(
    call: Call, usable: collections.abc.Sequence[Candidate], now_s: float
) -> Candidate:
    """Pick the candidate whose last turn is the longest ago."""
    return min(usable, key=lambda c: (c.turn, c.view.backend))


@policy("least-in-flight")
def least_in_flight(
    call: Call, usable: collections.abc.Sequence[Candidate], now_s: float
) -> Candidate:
    """Pick the candidate with the fewest calls of this entry."""
    return min(usable, key=lambda c: (c.in_flight, c.turn, c.view.backend))


@policy("weighted")
def weighted(
    call: Call, usable: collections.abc.Sequence[Candidate], now_s: float
) -> Candidate:
    """Pick by load, observed slowness, cached prefixes and link cost."""
    loads = _loads(usable, now_s)
    mean_load = sum(loads) / len(loads)
    usual_s = _usual_first_token(usable, now_s)

    def score(index: int) -> tuple[float, int, str]:
        candidate = usable[index]
        load = loads[index]
        used = (load + 1) / max(1, candidate.load.slots)
        cost = used + QUEUE_COST * max(0.0, used - 1)
        cost *= _slowness(candidate, usual_s, now_s)
        if load <= PREFIX_LOAD_BOUND * (mean_load + 1):
            cost -= PREFIX_GAIN * _cached_part(call, candidate)
        if candidate.view.data_centre != call.data_centre:
            cost += LINK_COST
        return (cost, candidate.turn, candidate.view.backend)

    return usable[min(range(len(usable)), key=score)]


def subset(
    entry: ids.EntryId,
    backends: collections.abc.Iterable[str],
    size: int,
) -> tuple[str, ...]:
    """Return the backends with the `size` highest hashes for this entry.

    A backend that comes or goes changes at most one member of the result,
    and other entries have no influence on it.
    """
    return tuple(
        heapq.nlargest(size, backends, key=lambda b: (_hash(entry, b), b))
    )


class Ring:
    """Backends in the order of their hashes, to give many entries subsets.

    Made once for all entries; a subset costs time in proportion to its own
    size. A backend that comes or goes changes at most one member of each.
    """

    def __init__(self, backends: collections.abc.Iterable[str]) -> None:
        self.points = sorted((_hash("", each), each) for each in backends)

    def subset(self, entry: ids.EntryId, size: int) -> list[str]:
        """Return the backends that follow the entry's own hash."""
        first = bisect.bisect(self.points, (_hash("", entry), ""))
        after = self.points[first : first + size]
        around = self.points[: max(0, size - len(after))]
        return [backend for _, backend in (*after, *around)][: len(self.points)]


def subset_size(size: int, backend_count: int, entry_count: int) -> int:
    """Return the size at which each backend keeps enough entries.

    Never less than `size`, and never more than all backends.
    """
    needed = math.ceil(SUBSET_MIN_ENTRIES * backend_count / max(1, entry_count))
    return min(backend_count, max(size, needed))


def _hash(entry: str, backend: str) -> bytes:
    text = f"{entry}\n{backend}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def _loads(
    usable: collections.abc.Sequence[Candidate], now_s: float
) -> list[float]:
    """Return each candidate's own calls plus the estimate of others'.

    A report loses weight with its age in favour of the mean over all
    candidates, so that an old low report does not attract every call.
    """
    mean = sum(candidate.others for candidate in usable) / len(usable)
    loads = []
    for candidate in usable:
        age_s = max(0.0, now_s - candidate.load_s)
        trust = math.exp(-age_s / LOAD_MEMORY_S)
        estimate = candidate.others * trust + mean * (1 - trust)
        loads.append(candidate.in_flight + estimate)
    return loads


def _usual_first_token(
    usable: collections.abc.Sequence[Candidate], now_s: float
) -> float:
    """Return the median time to first token, or 0 with too few to compare."""
    known = [c.first_token_s for c in usable if c.first_token_s]
    if len(known) < STRAGGLER_PEERS:
        return 0.0
    return statistics.median(known)


def _slowness(candidate: Candidate, usual_s: float, now_s: float) -> float:
    """Return the factor by which a straggler is slower, else 1."""
    if not usual_s or candidate.first_token_s < STRAGGLER_RATIO * usual_s:
        return 1.0
    if now_s - candidate.first_token_at_s > FIRST_TOKEN_MEMORY_S:
        return 1.0
    return candidate.first_token_s / usual_s


def _cached_part(call: Call, candidate: Candidate) -> float:
    """Return which part of the prompt's prefixes the candidate has cached."""
    if not call.prefixes or not candidate.cache_known:
        return 0.0
    held = 0
    for prefix in call.prefixes:
        if prefix not in candidate.cached:
            break
        held += 1
    return held / len(call.prefixes)
