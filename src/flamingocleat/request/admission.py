"""Admission control and load balancing of one gateway.

Handles bursts of requests, of all kinds or of some, and the loss of groups. A
request goes to the server that is expected to return its first token soonest.
Requests that can still meet their objective go first. A late request queues
for the slots that these leave, as long as enough recent late requests have
got a slot, since a late answer is worth more to its caller than a refusal.
All others are refused at once, with a randomized Retry-After that spreads the
callers over the time they have left.
"""

import asyncio
import collections.abc
import math
import random
import time

import msgspec

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.request import cold as cold_module
from flamingocleat.request import eligibility
from flamingocleat.request import fair_order
from flamingocleat.version import candidates as candidates_module

ON_TIME_WAIT_FRACTION = 0.25
"""Fraction of the objective within which a request must get a slot to be on
time; the rest is for reading its prompt and producing its first token."""
REMOTE_PENALTY = 0.06
"""Load, as a fraction of the slots, that is added to the cost of a server in
another data centre: the request crosses the link once each way, and the
traffic is billed."""
MIN_OWN_FRACTION = 0.2
"""Least part of the objective that a request's own work takes on a server of
the declared pace; a short prompt still waits for a pass and needs another."""
MAX_PACE_COST = 0.35
"""Bound on the cost of a server's pace. A slow server gets requests once the
others have this much more of their slots in use: in simulations of a full load
without the bound, fewer requests of the others were on time than with equal
loads, and it leaves evidence of a recovery."""
REPAIR_S = 3.0
"""Expected time until a lost group is replaced: the loss is detected within
0.8 s, and members with the weights in memory form another group in 1.4 to
1.9 s."""
FIRST_SERVERS_S = 1.5
"""Time within which servers announce themselves to a leader that has just
started, every 1.2 s."""
LATE_WAIT_FRACTION = 1 / 3
"""Fraction of a late request's remaining time that it may wait; a refused
caller waits for as long before it retries."""
LATE_SLOT_FRACTION = 0.75
"""Fraction of a head's slots that late requests may use. The rest is reserved
for requests that can be on time, since a fuller head would make them late as
well."""
DURATION_MARGIN = 1.5
"""Multiple of the mean duration that must remain before the deadline when a
late request starts, so that its answer ends in time."""
SUCCESS_WEIGHT = 0.2
"""Weight of the latest late wait in the moving average of their success."""
MIN_SUCCESS_RATE = 0.5
"""Late requests queue while at least this fraction of them gets a slot."""
SUCCESS_RECOVERY_S = 4.0
"""Time constant with which the success rate returns to 1; a burst of callers
or the loss of a group lasts some seconds."""
MIN_RETRY_AFTER_S = 0.2
"""Shortest Retry-After that callers are sent."""
BASE_RETRY_AFTER_S = 1.0
RETRY_AFTER_JITTER_S = 1.0
"""Callers that find all slots in use get a Retry-After of at least the first
time, plus a random part of the second, since many may retry only once."""
INITIAL_DURATION_S = 1.0
"""Assumed duration of a request until one has been measured."""
DURATION_SMOOTHING = 0.1
"""Weight of the latest duration in the moving average."""
MAX_COUNTED_MODELS = 64
"""Bound on the models whose requests are counted; callers may name any."""
MAX_COUNTED_PRIORITY = 7
"""Requests of this or a less urgent priority are counted together; customers
may be configured with any priority."""
MAX_WAITING = 64
"""Bound on the requests that wait in one gateway."""


ServiceModel = tuple[ids.ServiceId, str]
"""A service and, for backend servers in groups, a model."""


class Demand(msgspec.Struct, frozen=True, kw_only=True):
    """The servers, time and priority that a request needs."""

    service: ids.ServiceId
    model: str = ""
    priority: int = 1
    objective_s: float
    deadline_s: float
    """On the monotonic clock."""
    arrived_s: float
    prompt_tokens: int = 0
    repeatable: bool = True
    """Whether it may be sent again although it may have run."""
    customer: ids.CustomerId = ids.CustomerId("")
    is_trial: bool = False
    """Whether its server may end, with all that the server has in flight."""

    @property
    def on_time_until_s(self) -> float:
        """Time by which it must have a slot to be on time."""
        return self.arrived_s + self.objective_s * ON_TIME_WAIT_FRACTION

    def is_late(self, now_s: float) -> bool:
        """Return whether its answer is expected to miss the objective."""
        return now_s >= self.on_time_until_s

    @property
    def service_model(self) -> ServiceModel:
        """The service and model that it needs."""
        return self.service, self.model

    def competes_with(self, other: "_QueuedRequest") -> bool:
        """Return whether another request waits for the same servers."""
        return self.service_model == other.demand.service_model


class NoCapacityError(errors.FlamingocleatError):
    """No backend server can take a request in time."""

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class _Place(msgspec.Struct, eq=False, kw_only=True):
    """A place in the queue that a request has or would have."""

    demand: Demand
    resuming: bool = False

    def sort_key(self, now_s: float) -> fair_order.SortKey:
        """Return its position among the requests of its customer."""
        demand = self.demand
        if demand.is_late(now_s):
            # The request with the earliest deadline has waited longest.
            return not self.resuming, demand.priority, True, demand.deadline_s
        return not self.resuming, demand.priority, False, demand.arrived_s


class _QueuedRequest(_Place, eq=False, kw_only=True):
    excluded: frozenset[ids.BackendId]
    placed: asyncio.Future[candidates_module.Candidate]


class LateWaitStats:
    """Success rate of late requests that waited for one service and model.

    It is a moving average, which returns to 1 over time.
    """

    def __init__(self) -> None:
        self.success_rate = 1.0
        self.updated_s = float("-inf")

    def is_worthwhile(self, now_s: float) -> bool:
        """Return whether another late request should wait."""
        return self._current_rate(now_s) >= MIN_SUCCESS_RATE

    def record(self, placed: bool, now_s: float) -> None:
        """Record whether a late request got a slot."""
        before = self._current_rate(now_s)
        self.success_rate = before + SUCCESS_WEIGHT * (placed - before)
        self.updated_s = now_s

    def _current_rate(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self.updated_s)
        return 1 - (1 - self.success_rate) * math.exp(
            -age_s / SUCCESS_RECOVERY_S
        )


class PriorityCount(msgspec.Struct):
    """Requests of one priority for one service and model."""

    requested: int = 0
    refused: int = 0
    late: int = 0


class DemandCount(msgspec.Struct):
    """Requests for one service and model since the gateway started."""

    requested: int = 0
    refused: int = 0
    by_priority: dict[int, PriorityCount] = msgspec.field(default_factory=dict)

    def at(self, priority: int) -> PriorityCount:
        """Return the count of one priority."""
        bounded = min(max(0, priority), MAX_COUNTED_PRIORITY)
        return self.by_priority.setdefault(bounded, PriorityCount())

    def report(
        self, service: ids.ServiceId, model: str
    ) -> messages.ModelDemand:
        """Return the counts as a gateway reports them."""
        return messages.ModelDemand(
            service,
            model,
            self.requested,
            self.refused,
            tuple(
                messages.PriorityDemand(
                    priority, each.requested, each.refused, each.late
                )
                for priority, each in sorted(self.by_priority.items())
            ),
        )


class Admission:
    """Assigns the requests of one gateway to backend servers."""

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
        self.waiting: list[_QueuedRequest] = []
        self.duration_s: dict[ServiceModel, float] = {}
        """Mean time that a request occupies its slot, by service and model."""
        self.knows_all_servers: collections.abc.Callable[[], bool] = lambda: (
            True
        )
        """Returns False while servers may exist that no leader has listed to
        this gateway yet."""
        self.late_waits: dict[ServiceModel, LateWaitStats] = {}
        self.demand: dict[ServiceModel, DemandCount] = {}
        self.cold = cold_module.ColdGate(candidates, clock)
        self.order = fair_order.FairOrder()
        self.elsewhere = fair_order.WaitingElsewhere()
        candidates.subscribe(self.dispatch)

    async def place(
        self,
        demand: Demand,
        excluded: frozenset[ids.BackendId] = frozenset(),
        *,
        resuming: bool = False,
    ) -> candidates_module.Candidate:
        """Reserve a slot, waiting for one if that is worthwhile.

        The caller must release the slot afterwards.

        Args:
            demand: What the request needs.
            excluded: Servers that must not be used.
            resuming: Whether the caller has received a part of the answer.
                Such a request goes first and may wait until its deadline.

        Returns:
            The server on which the slot is reserved.

        Raises:
            NoCapacityError: No slot is free, or none became free in time.
        """
        is_first = not resuming and not excluded
        count = self._demand_count(demand.service_model)
        priority_count = count.at(demand.priority)
        count.requested += is_first
        priority_count.requested += is_first
        try:
            found = await self._place(demand, excluded, resuming=resuming)
        except NoCapacityError:
            count.refused += is_first
            priority_count.refused += is_first
            raise
        priority_count.late += is_first and demand.is_late(self.clock())
        return found

    def _demand_count(self, service_model: ServiceModel) -> DemandCount:
        if (
            service_model not in self.demand
            and len(self.demand) >= MAX_COUNTED_MODELS
        ):
            return DemandCount()
        return self.demand.setdefault(service_model, DemandCount())

    async def _place(
        self,
        demand: Demand,
        excluded: frozenset[ids.BackendId],
        *,
        resuming: bool,
    ) -> candidates_module.Candidate:
        if resuming or not any(map(demand.competes_with, self.waiting)):
            found = self.try_place(demand, excluded, resuming=resuming)
            if found is not None:
                return found
        now_s = self.clock()
        until_s = demand.deadline_s if resuming else self.waits_until_s(demand)
        placed = asyncio.get_running_loop().create_future()
        entry = _QueuedRequest(
            demand=demand, resuming=resuming, excluded=excluded, placed=placed
        )
        if until_s <= now_s or not self._make_room(entry):
            raise self._refusal(demand)
        self.waiting.append(entry)
        self.dispatch()
        self._ask_for_grants(entry, now_s)
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
            if (
                placed.done()
                and not placed.cancelled()
                and not placed.exception()
            ):
                self.release(placed.result())
            raise
        finally:
            if entry in self.waiting:
                self.waiting.remove(entry)

    def _make_room(self, entry: _QueuedRequest) -> bool:
        """Return whether a request may wait; the last one is refused for it.

        So a customer that fills the queue does not keep out the others.
        """
        if len(self.waiting) < MAX_WAITING:
            return True
        last = self.order.sort([*self.waiting, entry], self.clock())[-1]
        if last is entry:
            return False
        self.waiting.remove(last)
        if not last.placed.done():
            last.placed.set_exception(self._refusal(last.demand))
        return True

    def waits_until_s(self, demand: Demand) -> float:
        """Return until when a request may wait.

        A time that is not in the future means that it may not wait.
        """
        now_s = self.clock()
        if not self.knows_all_servers() and not self.candidates.find(
            demand.service, demand.model
        ):
            return now_s + min(
                FIRST_SERVERS_S,
                (demand.deadline_s - now_s) * LATE_WAIT_FRACTION,
            )
        due_s = now_s + self.expected_wait_s(demand)
        if due_s <= demand.on_time_until_s:
            until_s = demand.on_time_until_s
        else:
            until_s = now_s
        late_s = min(
            now_s + (demand.deadline_s - now_s) * LATE_WAIT_FRACTION,
            demand.deadline_s
            - self._mean_duration_s(demand.service_model) * DURATION_MARGIN,
        )
        if due_s <= late_s and self._late_waits(demand).is_worthwhile(now_s):
            until_s = late_s
        return min(until_s, demand.deadline_s)

    def _ask_for_grants(self, entry: _QueuedRequest, now_s: float) -> None:
        """Report at once if a request waits although a server needs a grant."""
        demand = entry.demand
        if entry in self.waiting and any(
            self.cold.needs_grant(each, now_s)
            for each in self.candidates.find(demand.service, demand.model)
        ):
            self.cold.ask()

    def _mean_duration_s(self, service_model: ServiceModel) -> float:
        return self.duration_s.get(service_model, INITIAL_DURATION_S)

    def _late_waits(self, demand: Demand) -> LateWaitStats:
        return self.late_waits.setdefault(demand.service_model, LateWaitStats())

    def _record_wait(self, entry: _QueuedRequest, placed: bool) -> None:
        now_s = self.clock()
        if not entry.resuming and entry.demand.is_late(now_s):
            self._late_waits(entry.demand).record(placed, now_s)

    def release(
        self, candidate: candidates_module.Candidate, held_s: float = 0.0
    ) -> None:
        """Release a slot and record how long it was occupied."""
        candidate.in_flight -= 1
        if held_s > 0:
            service_model = (candidate.view.service, candidate.view.model)
            mean_s = self._mean_duration_s(service_model)
            self.duration_s[service_model] = mean_s + DURATION_SMOOTHING * (
                held_s - mean_s
            )
        self.dispatch()

    def expected_wait_s(self, demand: Demand) -> float:
        """Return how long a request that arrives now would wait for a slot.

        The result is infinite if no server of its service and model is
        usable.
        """
        now_s = self.clock()
        in_flight, limited_per_s = 0, 0.0
        for each in self.candidates.find(demand.service, demand.model):
            if each.is_avoided(now_s):
                continue
            if self.cold.is_limited(each, now_s):
                limited_per_s += self.cold.rate_per_s(each, now_s)
            else:
                in_flight += each.total
        if not in_flight and not limited_per_s:
            return float("inf")
        # Late requests wait behind those that can be on time, and those of a
        # customer that has got many slots behind others.
        place = _Place(demand=demand)
        ahead = self.order.count_ahead(place, self.waiting, now_s)
        ahead += self.elsewhere.count_before(demand, now_s)
        mean_s = self._mean_duration_s(demand.service_model)
        return (ahead + 1) * mean_s / (in_flight + limited_per_s * mean_s)

    def dispatch(self) -> None:
        """Assign free slots to waiting requests, in order."""
        if not self.waiting:
            return
        now_s = self.clock()
        self.waiting = self.order.sort(self.waiting, now_s)
        for entry in list(self.waiting):
            found = self.try_place(
                entry.demand, entry.excluded, resuming=entry.resuming
            )
            if found is not None:
                self.waiting.remove(entry)
                if entry.placed.done():
                    found.in_flight -= 1
                else:
                    entry.placed.set_result(found)

    def dispatch_limited(self) -> None:
        """Assign slots if requests wait for a part of a second's share.

        No event tells when a second is over.
        """
        now_s = self.clock()
        if self.waiting and any(
            self.cold.has_rate(each, now_s)
            for each in self.candidates.by_backend.values()
        ):
            self.dispatch()

    def choose(
        self,
        demand: Demand,
        excluded: frozenset[ids.BackendId] = frozenset(),
        *,
        resuming: bool = False,
    ) -> candidates_module.Candidate | None:
        """Return the cheapest server with a free slot, or None."""
        now_s = self.clock()
        fraction = (
            LATE_SLOT_FRACTION
            if demand.is_late(now_s) and not resuming
            else 1.0
        )
        available = [
            each
            for each in self.candidates.find(demand.service, demand.model)
            if each.view.backend not in excluded
            and each.total < each.view.slots * fraction
            and eligibility.may_get_request(self, each, now_s)
        ]
        if demand.model:
            # A head that failed recently is used if there is no other, a
            # silent one is not.
            available = [
                e
                for e in available
                if not e.is_silent(now_s, repeatable=demand.repeatable)
            ]
        available = [
            e for e in available if not e.is_avoided(now_s)
        ] or available
        available = [
            e for e in available if not self.candidates.is_handing_over(e)
        ] or available
        return min(
            available,
            key=lambda each: (self.cost(each, demand), each.view.backend),
            default=None,
        )

    def try_place(
        self,
        demand: Demand,
        excluded: frozenset[ids.BackendId] = frozenset(),
        *,
        resuming: bool = False,
    ) -> candidates_module.Candidate | None:
        """Reserve a slot on the cheapest server; None if none is free."""
        if not resuming and self.leaves_slots(demand):
            return None
        found = self.choose(demand, excluded, resuming=resuming)
        if found is not None:
            found.in_flight += 1
            self.cold.reserve(found)
            self.order.record(demand, self.clock())
        return found

    def leaves_slots(self, demand: Demand) -> bool:
        """Return whether the free slots are left to other gateways' callers."""
        now_s = self.clock()
        count = self.elsewhere.count_before(demand, now_s)
        if not count:
            return False
        found = self.candidates.find(demand.service, demand.model)
        slots = sum(each.view.slots for each in found)
        free = slots - sum(each.total for each in found)
        return free <= min(count, slots * fair_order.MAX_LEFT_FRACTION)

    def cost(
        self, candidate: candidates_module.Candidate, demand: Demand
    ) -> float:
        """Return the cost of sending a request to a server."""
        if demand.is_trial:
            return candidate.total
        cost = candidate.total / max(1, candidate.view.slots)
        cost += candidate.reading_s / max(0.05, demand.objective_s)
        if candidate.view.pace > 1:
            cost += self._pace_cost(candidate, demand)
        if candidate.view.data_centre != self.data_centre:
            cost += REMOTE_PENALTY
        return cost

    def _pace_cost(
        self, candidate: candidates_module.Candidate, demand: Demand
    ) -> float:
        """Return the cost of a server being slower than declared.

        It is the additional time until the first event, as a fraction of the
        objective: for the prompts that are unread, and for the request itself.
        """
        view = candidate.view
        if view.read_per_s:
            own_s = demand.prompt_tokens / view.read_per_s
        else:
            own_s = self._mean_duration_s(demand.service_model)
        objective_s = max(0.05, demand.objective_s)
        own = max(MIN_OWN_FRACTION, own_s / objective_s)
        reading = candidate.reading_s / objective_s
        return min(MAX_PACE_COST, (view.pace - 1) * (own + reading))

    def _refusal(self, demand: Demand) -> NoCapacityError:
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
            waits_s = [each.wait_until_s - now_s for each in found]
            waits_s += [self.cold.cold_left_s(each, now_s) for each in found]
            wait_s = min((w for w in waits_s if w > 0), default=REPAIR_S)
        jitter_s = self.random.uniform(0, RETRY_AFTER_JITTER_S)
        return NoCapacityError(
            reason, max(BASE_RETRY_AFTER_S, wait_s) + jitter_s
        )
