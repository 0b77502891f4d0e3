"""Choice of the backend server for one attempt of a call.

The entry keeps one Candidate for each backend server in its subset and
updates it from load reports and its own observations. Candidates are not
thread-safe: the entry calls `choose` and the `record_` methods under one
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

LOAD_DECAY_S = 1.0
"""Time constant with which a report of other entries' load loses weight: at
this age it has lost 63 %. Requests last seconds, so an older report says
little about the current load."""
FIRST_TOKEN_SMOOTHING = 0.2
"""Weight of a new observation in the moving average of the time to first
token."""
FIRST_TOKEN_TTL_S = 15.0
"""After this time without a new observation, a straggler is tried again."""
MAX_OWN_SAMPLES = 20
"""Samples of own load that are kept: enough for reports that come every
250 ms and are 5 s late."""
STRAGGLER_RATIO = 3.0
"""A candidate is a straggler if its time to first token is this multiple of
the median or more. At 2, replicas with few cached prefixes count as
stragglers as well, which raises the 99th percentile in bench.routing."""
MIN_STRAGGLER_PEERS = 3
"""Candidates with observations below which the median is not meaningful."""
CACHED_PREFIX_WEIGHT = 0.25
"""Cost reduction for a fully cached prompt, as a fraction of a replica's
slots. At 0.5 calls concentrate on few replicas: in bench.routing, with
reports 2 s late, the 99th percentile of time to first token rises by half."""
MAX_AFFINITY_LOAD_RATIO = 1.25
"""Cached prefixes count only up to this multiple of the mean load, as in
consistent hashing with bounded loads."""
CROSS_DATA_CENTRE_COST = 0.5
"""Cost of a candidate in another data centre, as a fraction of a replica's
slots: local replicas must have half of their slots more in use than remote
ones before a call leaves the data centre. In bench.routing, at 0.25 up to
twice as many calls leave, for a 99th percentile of time to first token that
is at most 7 % lower."""
QUEUE_COST = 3.0
"""Additional cost of a queued request compared with a running one. Queueing
delays the first token by whole service times."""
SUBSET_MIN_ENTRIES = 12
"""Least expected number of entries that have a given replica in their
subsets. The number is Poisson-distributed, so fewer than 3 have a
probability of 5e-4."""


class Call(msgspec.Struct, frozen=True):
    """Properties of a call on which the choice depends."""

    data_centre: ids.DataCentreId
    """Data centre of this entry."""
    prefixes: tuple[bytes, ...] = ()
    """Hashes of the prompt's prefixes, the shortest first."""
    excluded: frozenset[str] = frozenset()
    """Backends that earlier attempts of the call were sent to."""


class Candidate(msgspec.Struct):
    """What this entry knows about one backend server."""

    view: messages.BackendView
    in_flight: int = 0
    """Calls in flight from this entry."""
    load: messages.Load = messages.Load()
    load_s: float = -math.inf
    """When the reported load was measured, on the monotonic clock."""
    other_load: int = 0
    """Load from other entries at `load_s`."""
    in_flight_samples: list[tuple[float, int]] = msgspec.field(
        default_factory=list
    )
    """Times and values of `in_flight`, one sample for each report."""
    serving: bool = True
    leaving: bool = False
    suspect: bool = False
    """Whether its watch went silent or its last call failed to connect."""
    first_token_s: float = 0.0
    """Moving average of the time to first token; 0 without observations."""
    first_token_at_s: float = -math.inf
    last_choice: int = 0
    """Sequence number of the last choice of this candidate."""
    cached: set[bytes] = msgspec.field(default_factory=set)
    cache_sequence: int = 0
    cache_known: bool = False

    def record_report(self, report: messages.LoadReport, now_s: float) -> None:
        """Apply a load report that arrived at `now_s`."""
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
        self.other_load = max(
            0, reported - self._own_in_flight_at(self.load_s, now_s)
        )
        self._record_cache(report)

    def record_first_token(self, seconds: float, now_s: float) -> None:
        """Add the time to first token of one call to the average."""
        if self.first_token_s:
            change = seconds - self.first_token_s
            self.first_token_s += FIRST_TOKEN_SMOOTHING * change
        else:
            self.first_token_s = seconds
        self.first_token_at_s = now_s

    def _own_in_flight_at(self, at_s: float, now_s: float) -> int:
        """Return this entry's number of calls in flight at an earlier time.

        A late report includes calls that have ended since. Subtracting the
        present number would attribute the difference to other entries.
        """
        self.in_flight_samples.append((now_s, self.in_flight))
        while (
            len(self.in_flight_samples) > 1
            and self.in_flight_samples[1][0] <= at_s
        ):
            del self.in_flight_samples[0]
        while len(self.in_flight_samples) > MAX_OWN_SAMPLES:
            del self.in_flight_samples[0]
        return self.in_flight_samples[0][1]

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
    returned. The caller updates `in_flight` itself.

    Raises:
        KeyError: The policy is unknown.
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
    chosen.last_choice = (
        max(candidate.last_choice for candidate in candidates) + 1
    )
    return chosen


@policy("round-robin")
def round_robin(
    call: Call, usable: collections.abc.Sequence[Candidate], now_s: float
) -> Candidate:
    """Pick the candidate that was chosen least recently."""
    return min(usable, key=lambda c: (c.last_choice, c.view.backend))


@policy("least-in-flight")
def least_in_flight(
    call: Call, usable: collections.abc.Sequence[Candidate], now_s: float
) -> Candidate:
    """Pick the candidate with the fewest calls in flight from this entry."""
    return min(
        usable, key=lambda c: (c.in_flight, c.last_choice, c.view.backend)
    )


@policy("weighted")
def weighted(
    call: Call, usable: collections.abc.Sequence[Candidate], now_s: float
) -> Candidate:
    """Pick by load, time to first token, cached prefixes and data centre."""
    loads = _estimated_loads(usable, now_s)
    mean_load = sum(loads) / len(loads)
    median_s = _median_first_token(usable, now_s)

    def score(index: int) -> tuple[float, int, str]:
        candidate = usable[index]
        load = loads[index]
        utilisation = (load + 1) / max(1, candidate.load.slots)
        cost = utilisation + QUEUE_COST * max(0.0, utilisation - 1)
        cost *= _straggler_factor(candidate, median_s, now_s)
        if load <= MAX_AFFINITY_LOAD_RATIO * (mean_load + 1):
            cost -= CACHED_PREFIX_WEIGHT * _cached_fraction(call, candidate)
        if candidate.view.data_centre != call.data_centre:
            cost += CROSS_DATA_CENTRE_COST
        return (cost, candidate.last_choice, candidate.view.backend)

    return usable[min(range(len(usable)), key=score)]


def subset(
    entry: ids.EntryId,
    backends: collections.abc.Iterable[str],
    size: int,
) -> tuple[str, ...]:
    """Return the `size` backends with the highest hashes for this entry.

    This is rendezvous hashing: a backend that is added or removed changes at
    most one member of the result, and the result does not depend on other
    entries.
    """
    return tuple(
        heapq.nlargest(size, backends, key=lambda b: (_hash(entry, b), b))
    )


class HashRing:
    """Backends in the order of their hashes, for the subsets of many entries.

    One ring serves all entries; a subset takes time in proportion to its own
    size. A backend that is added or removed changes at most one member of
    each subset.
    """

    def __init__(self, backends: collections.abc.Iterable[str]) -> None:
        self.points = sorted((_hash("", each), each) for each in backends)

    def subset(self, entry: ids.EntryId, size: int) -> list[str]:
        """Return the `size` backends that follow the entry's hash."""
        first = bisect.bisect(self.points, (_hash("", entry), ""))
        after = self.points[first : first + size]
        wrapped = self.points[: max(0, size - len(after))]
        return [backend for _, backend in (*after, *wrapped)][
            : len(self.points)
        ]


def subset_size(size: int, backend_count: int, entry_count: int) -> int:
    """Return the subset size at which each backend has enough entries.

    It is not less than `size`, and not more than the number of backends.
    """
    needed = math.ceil(SUBSET_MIN_ENTRIES * backend_count / max(1, entry_count))
    return min(backend_count, max(size, needed))


def _hash(entry: str, backend: str) -> bytes:
    text = f"{entry}\n{backend}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def _estimated_loads(
    usable: collections.abc.Sequence[Candidate], now_s: float
) -> list[float]:
    """Return own calls plus the estimated load from other entries.

    As a report ages, its weight shifts to the mean over all candidates, so
    that an old report of a low load does not attract every call.
    """
    mean = sum(candidate.other_load for candidate in usable) / len(usable)
    loads = []
    for candidate in usable:
        age_s = max(0.0, now_s - candidate.load_s)
        weight = math.exp(-age_s / LOAD_DECAY_S)
        estimate = candidate.other_load * weight + mean * (1 - weight)
        loads.append(candidate.in_flight + estimate)
    return loads


def _median_first_token(
    usable: collections.abc.Sequence[Candidate], now_s: float
) -> float:
    """Return the median time to first token, or 0 with too few values."""
    known = [c.first_token_s for c in usable if c.first_token_s]
    if len(known) < MIN_STRAGGLER_PEERS:
        return 0.0
    return statistics.median(known)


def _straggler_factor(
    candidate: Candidate, median_s: float, now_s: float
) -> float:
    """Return how many times slower a straggler is than the median, or 1."""
    if not median_s or candidate.first_token_s < STRAGGLER_RATIO * median_s:
        return 1.0
    if now_s - candidate.first_token_at_s > FIRST_TOKEN_TTL_S:
        return 1.0
    return candidate.first_token_s / median_s


def _cached_fraction(call: Call, candidate: Candidate) -> float:
    """Return the fraction of the prompt's prefixes that are cached."""
    if not call.prefixes or not candidate.cache_known:
        return 0.0
    cached_count = 0
    for prefix in call.prefixes:
        if prefix not in candidate.cached:
            break
        cached_count += 1
    return cached_count / len(call.prefixes)
