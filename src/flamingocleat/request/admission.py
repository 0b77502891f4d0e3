"""Which backend server takes a request, who waits, and who is refused.

Answers bursts of all or some kinds of request, and the loss of groups: a
request is placed where its first token comes soonest. Those that may still be
on time go first; one that is late already waits for what they leave, as long
as such waits have ended with a place of late, since a late answer is worth
more to its caller than a refusal. Others are refused at once, with a time to
return that spreads the callers over what they have left.
"""

import asyncio
import collections.abc
import math
import random
import time

import msgspec

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat.version import candidates as candidates_module

WAIT_PART = 0.25
"""Part of the objective in which a request must find a place to be on time; the
rest is for its prompt and its first token."""
REMOTE_PENALTY = 0.06
"""Load, as a part of the slots, by which a server in another data centre
must be ahead: a request crosses the link once each way and is paid for."""
REPAIR_S = 3.0
"""Time until a lost group is expected back: it is noticed within 0.8 s, and
members with the weights in memory form another in 1.4 to 1.9 s."""
LATE_PART = 1 / 3
"""Part of a request's time for which it waits once it is late; a caller that
is refused stays away for as long."""
LATE_PLACES = 0.75
"""Part of a head's places that late requests take. The rest is for those that
can be on time: a fuller head makes them late as well."""
DURATION_MARGIN = 1.5
"""Times the mean duration that must be left when a late request begins, so
that its answer ends in time."""
SUCCESS_WEIGHT = 0.2
"""Weight of the last late wait in the part that found a place."""
MIN_SUCCESS_PART = 0.5
"""Late requests wait while at least this part of them finds a place."""
SUCCESS_RECOVERY_S = 4.0
"""Time constant with which failed waits are forgotten; a burst of callers or
the loss of a group lasts some seconds."""
MIN_RETRY_S = 0.2
"""Shortest time after which a caller is told to return."""
RETURN_S = 1.0
RETURN_SPREAD_S = 1.0
"""Callers that find all places taken return after the first time and over the
second, since many may return once only."""
FIRST_GUESS_S = 1.0
"""Duration of a request until some have been measured."""
SMOOTHING = 0.1
"""Weight of the last duration in their mean."""
MAX_WAITING = 64
"""Requests that wait in one gateway."""


Kind = tuple[ids.ServiceId, str]
"""A service and, for servers in groups, a model."""


class Demand(msgspec.Struct, frozen=True, kw_only=True):
    """What a request asks for."""

    service: ids.ServiceId
    model: str = ""
    priority: int = 1
    objective_s: float
    deadline_s: float
    """On the monotonic clock."""
    arrived_s: float
    prompt_tokens: int = 0
    repeatable: bool = True
    """It may be sent again after it may have run."""

    @property
    def on_time_until_s(self) -> float:
        """When it must have a place to be on time."""
        return self.arrived_s + self.objective_s * WAIT_PART

    def is_late(self, now_s: float) -> bool:
        """Return whether its answer would miss the objective."""
        return now_s >= self.on_time_until_s

    @property
    def kind(self) -> Kind:
        """What servers it needs."""
        return self.service, self.model

    def competes(self, other: "_Waiting") -> bool:
        """Return whether another request waits for the same servers."""
        return self.kind == other.demand.kind


class NoPlaceError(errors.FlamingocleatError):
    """No backend server can take a request in time."""

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class _Waiting(msgspec.Struct, eq=False):
    demand: Demand
    excluded: frozenset[ids.BackendId]
    placed: asyncio.Future[candidates_module.Candidate]
    begun: bool = False

    def rank(self, now_s: float) -> tuple[bool, int, bool, float]:
        """Return its place in the order; the lowest goes first."""
        demand = self.demand
        if demand.is_late(now_s):
            # The one with the least time left has waited longest.
            return not self.begun, demand.priority, True, demand.deadline_s
        return not self.begun, demand.priority, False, demand.arrived_s


class LateWaits:
    """Which part of late waits for one kind of server found a place."""

    def __init__(self) -> None:
        self.part = 1.0
        self.since_s = float("-inf")

    def is_worthwhile(self, now_s: float) -> bool:
        """Return whether one more late request should wait."""
        return self._now(now_s) >= MIN_SUCCESS_PART

    def record(self, placed: bool, now_s: float) -> None:
        """Note how a late wait ended."""
        before = self._now(now_s)
        self.part = before + SUCCESS_WEIGHT * (placed - before)
        self.since_s = now_s

    def _now(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self.since_s)
        return 1 - (1 - self.part) * math.exp(-age_s / SUCCESS_RECOVERY_S)


class Admission:
    """Places requests of one gateway."""

    def __init__(
        self,
        data_centre: ids.DataCentreId,
        candidates: candidates_module.Candidates,
        clock: collections.abc.Callable[[], float] = time.monotonic,
        seed: int | None = None,
    ) -> None:
        self.random = random.Random(seed)
        self.data_centre = data_centre
        self.candidates = candidates
        self.clock = clock
        self.waiting: list[_Waiting] = []
        self.duration_s: dict[Kind, float] = {}
        """Mean time that a request holds its place, by service and model."""
        self.late_waits: dict[Kind, LateWaits] = {}
        candidates.subscribe(self.dispatch)

    async def place(
        self,
        demand: Demand,
        excluded: frozenset[ids.BackendId] = frozenset(),
        *,
        begun: bool = False,
    ) -> candidates_module.Candidate:
        """Return a server with a place taken; release it afterwards.

        begun: the caller has had a part of the answer, so that the request
        goes first and may wait until its deadline.
        Raises NoPlaceError.
        """
        if begun or not any(map(demand.competes, self.waiting)):
            found = self.take(demand, excluded, begun=begun)
            if found is not None:
                return found
        now_s = self.clock()
        until_s = demand.deadline_s if begun else self._patience_s(demand)
        if until_s <= now_s or len(self.waiting) >= MAX_WAITING:
            raise self._refusal(demand)
        placed = asyncio.get_running_loop().create_future()
        entry = _Waiting(demand, excluded, placed, begun)
        self.waiting.append(entry)
        self.dispatch()
        try:
            async with asyncio.timeout(until_s - now_s):
                found = await placed
            self._record_wait(entry, True)
            return found
        except TimeoutError as error:
            if placed.done() and not placed.cancelled():
                return placed.result()
            self._record_wait(entry, False)
            raise self._refusal(demand) from error
        except asyncio.CancelledError:
            if placed.done() and not placed.cancelled():
                self.release(placed.result())
            raise
        finally:
            if entry in self.waiting:
                self.waiting.remove(entry)

    def _patience_s(self, demand: Demand) -> float:
        """Return until when a request may wait; in the past for not at all."""
        now_s = self.clock()
        due_s = now_s + self.expected_wait_s(demand)
        if due_s <= demand.on_time_until_s:
            until_s = demand.on_time_until_s
        else:
            until_s = now_s
        late_s = min(
            now_s + (demand.deadline_s - now_s) * LATE_PART,
            demand.deadline_s - self._mean_s(demand.kind) * DURATION_MARGIN,
        )
        if due_s <= late_s and self._late_waits(demand).is_worthwhile(now_s):
            until_s = late_s
        return min(until_s, demand.deadline_s)

    def _mean_s(self, kind: Kind) -> float:
        return self.duration_s.get(kind, FIRST_GUESS_S)

    def _late_waits(self, demand: Demand) -> LateWaits:
        return self.late_waits.setdefault(demand.kind, LateWaits())

    def _record_wait(self, entry: _Waiting, placed: bool) -> None:
        now_s = self.clock()
        if not entry.begun and entry.demand.is_late(now_s):
            self._late_waits(entry.demand).record(placed, now_s)

    def release(
        self, candidate: candidates_module.Candidate, held_s: float = 0.0
    ) -> None:
        """Give a place back that was held for a time."""
        candidate.in_flight -= 1
        if held_s > 0:
            kind = (candidate.view.service, candidate.view.model)
            mean_s = self._mean_s(kind)
            self.duration_s[kind] = mean_s + SMOOTHING * (held_s - mean_s)
        self.dispatch()

    def expected_wait_s(self, demand: Demand) -> float:
        """Return when a request that comes now would find a place.

        Infinite if no server of its kind takes requests.
        """
        now_s = self.clock()
        busy = sum(
            each.total
            for each in self.candidates.find(demand.service, demand.model)
            if not each.is_avoided(now_s)
        )
        if not busy:
            return float("inf")
        ahead = sum(
            demand.competes(each) and each.demand.priority <= demand.priority
            for each in self.waiting
        )
        return (ahead + 1) * self._mean_s(demand.kind) / busy

    def dispatch(self) -> None:
        """Place those who wait, in order."""
        if not self.waiting:
            return
        now_s = self.clock()
        self.waiting.sort(key=lambda entry: entry.rank(now_s))
        for entry in list(self.waiting):
            found = self.take(entry.demand, entry.excluded, begun=entry.begun)
            if found is not None:
                self.waiting.remove(entry)
                if entry.placed.done():
                    found.in_flight -= 1
                else:
                    entry.placed.set_result(found)

    def choose(
        self,
        demand: Demand,
        excluded: frozenset[ids.BackendId] = frozenset(),
        *,
        begun: bool = False,
    ) -> candidates_module.Candidate | None:
        """Return the best server with a free place, or None."""
        now_s = self.clock()
        part = LATE_PLACES if demand.is_late(now_s) and not begun else 1.0
        able = [
            each
            for each in self.candidates.find(demand.service, demand.model)
            if each.view.backend not in excluded
            and each.total < each.view.slots * part
        ]
        if demand.model:
            # A head that failed is better than none; a silent one is not.
            able = [
                e
                for e in able
                if not e.is_silent(now_s, repeatable=demand.repeatable)
            ]
        able = [e for e in able if not e.is_avoided(now_s)] or able
        return min(
            able, key=lambda each: self._cost(each, demand), default=None
        )

    def take(
        self,
        demand: Demand,
        excluded: frozenset[ids.BackendId] = frozenset(),
        *,
        begun: bool = False,
    ) -> candidates_module.Candidate | None:
        """Return the best server with a place taken, or None."""
        found = self.choose(demand, excluded, begun=begun)
        if found is not None:
            found.in_flight += 1
        return found

    def _cost(
        self, candidate: candidates_module.Candidate, demand: Demand
    ) -> tuple[float, str]:
        cost = candidate.total / max(1, candidate.view.slots)
        cost += candidate.reading_s / max(0.05, demand.objective_s)
        if candidate.view.data_centre != self.data_centre:
            cost += REMOTE_PENALTY
        return cost, candidate.view.backend

    def _refusal(self, demand: Demand) -> NoPlaceError:
        now_s = self.clock()
        found = self.candidates.find(demand.service, demand.model)
        full = sum(each.total >= each.view.slots for each in found)
        avoided = sum(each.is_avoided(now_s) for each in found)
        name = f"{demand.service} {demand.model}".rstrip()
        reason = (
            f"no place at {len(found)} servers of {name}: "
            f"{full} full, {avoided} avoided, {len(self.waiting)} wait"
        )
        wait_s = self.expected_wait_s(demand)
        if wait_s == float("inf"):
            wait_s = REPAIR_S
        spread_s = self.random.uniform(0, RETURN_SPREAD_S)
        return NoPlaceError(reason, max(RETURN_S, wait_s) + spread_s)
