"""Order of waiting requests between priorities, gateways and customers.

More urgent requests go first, also if they wait at other gateways. Within one
priority, customers take turns, so that none gains by sending more requests.
"""

import collections
import collections.abc
import math
import typing

from flamingocleat import ids
from flamingocleat import messages

SERVED_TIME_S = 2.0
"""Time constant of the slots that a customer has got lately. Requests hold
their slots for about 1 s, so that this covers those in flight."""
FORGET_SERVED = 0.01
"""Less than this counts as nothing, so that customers come in the order of time
again."""
MAX_CUSTOMERS = 1000
"""Number of customers from which those without recent slots are dropped."""
ELSEWHERE_VALID_S = 1.0
"""Age from which a count of requests waiting elsewhere is ignored. Views come
every 0.2 to 0.6 s."""
MAX_LEFT_FRACTION = 0.5
"""Maximum fraction of a model's slots that is left free for urgent requests of
other gateways. These may not know the same heads."""

ServiceModel = tuple[ids.ServiceId, str]
SortKey = tuple[bool, int, bool, float]
"""Whether it is not resumed, its priority, whether it is late, and a time."""


class Demand(typing.Protocol):
    """What the order depends on."""

    @property
    def service_model(self) -> ServiceModel:
        """The service and model that the request needs."""

    @property
    def customer(self) -> ids.CustomerId:
        """The customer, or an empty string."""

    @property
    def priority(self) -> int:
        """0 is the highest."""


class Entry(typing.Protocol):
    """A waiting request."""

    @property
    def demand(self) -> Demand:
        """What it needs."""

    def sort_key(self, now_s: float) -> SortKey:
        """Return its position without regard to customers."""


EntryT = typing.TypeVar("EntryT", bound=Entry)


class FairOrder:
    """Order of the requests that wait at one gateway."""

    def __init__(self) -> None:
        self._served: dict[
            tuple[ServiceModel, ids.CustomerId], tuple[float, float]
        ] = {}
        """Slots that each customer has got, decaying, and when it was set."""

    def record(self, demand: Demand, now_s: float) -> None:
        """Record that a request has got a slot."""
        if not demand.customer:
            return
        key = (demand.service_model, demand.customer)
        self._served[key] = self._lately(key, now_s) + 1, now_s
        if len(self._served) > MAX_CUSTOMERS:
            self._served = {
                each: state
                for each, state in self._served.items()
                if self._lately(each, now_s)
            }

    def _lately(
        self, key: tuple[ServiceModel, ids.CustomerId], now_s: float
    ) -> float:
        amount, set_s = self._served.get(key, (0.0, now_s))
        left = amount * math.exp(-max(0.0, now_s - set_s) / SERVED_TIME_S)
        return left if left >= FORGET_SERVED else 0.0

    def sort(
        self, entries: collections.abc.Iterable[EntryT], now_s: float
    ) -> list[EntryT]:
        """Return the requests in the order in which they get slots.

        Within one priority, each request counts as if all earlier ones of its
        customer had been served. With one customer, the order is by time.
        """
        turns: collections.Counter[tuple] = collections.Counter()
        keyed: list[tuple[tuple, EntryT]] = []
        pairs = ((entry.sort_key(now_s), entry) for entry in entries)
        for key, entry in sorted(pairs, key=lambda pair: pair[0]):
            demand = entry.demand
            holder = (demand.service_model, demand.customer)
            turn = self._lately(holder, now_s) + turns[key[:3], holder]
            turns[key[:3], holder] += 1
            keyed.append(((*key[:3], turn, key[3]), entry))
        keyed.sort(key=lambda pair: pair[0])
        return [entry for _, entry in keyed]

    def count_ahead(
        self,
        entry: EntryT,
        entries: collections.abc.Iterable[EntryT],
        now_s: float,
    ) -> int:
        """Return how many waiting requests for the same servers go first."""
        wanted = entry.demand.service_model
        rivals = [e for e in entries if e.demand.service_model == wanted]
        if not rivals:
            return 0
        return self.sort([*rivals, entry], now_s).index(entry)


class WaitingElsewhere:
    """The most urgent requests that wait at other gateways."""

    def __init__(self) -> None:
        self._counts: dict[ServiceModel, tuple[int, int]] = {}
        """Most urgent priority, and how many requests of it wait."""
        self._updated_s = float("-inf")

    def update(
        self,
        waiting: collections.abc.Iterable[messages.WaitingRequests],
        now_s: float,
    ) -> None:
        """Replace what the leader has told."""
        self._counts = {
            (each.service, each.model): (each.priority, each.count)
            for each in waiting
        }
        self._updated_s = now_s

    def count_before(self, demand: Demand, now_s: float) -> int:
        """Return how many more urgent requests wait elsewhere."""
        if now_s - self._updated_s > ELSEWHERE_VALID_S:
            return 0
        priority, count = self._counts.get(demand.service_model, (0, 0))
        return count if priority < demand.priority else 0


def count_waiting(
    entries: collections.abc.Iterable[Entry],
) -> tuple[messages.WaitingRequests, ...]:
    """Return the numbers of waiting requests as a gateway reports them."""
    counts = collections.Counter(
        (*entry.demand.service_model, entry.demand.priority)
        for entry in entries
    )
    return tuple(
        messages.WaitingRequests(*key, count)
        for key, count in sorted(counts.items())
    )


class WaitingTotals:
    """Waiting requests of all gateways, as the leader adds them up."""

    def __init__(self) -> None:
        self.counts: dict[ServiceModel, collections.Counter[int]] = {}
        """Number of waiting requests by priority."""

    def add(
        self,
        waiting: collections.abc.Iterable[messages.WaitingRequests],
        sign: int,
    ) -> None:
        """Add a gateway's numbers (sign 1) or subtract them (sign -1)."""
        for each in waiting:
            key = (each.service, each.model)
            counts = self.counts.setdefault(key, collections.Counter())
            counts[each.priority] += sign * each.count
            if counts[each.priority] <= 0:
                del counts[each.priority]
            if not counts:
                del self.counts[key]

    def elsewhere(
        self, own: collections.abc.Iterable[messages.WaitingRequests]
    ) -> tuple[messages.WaitingRequests, ...]:
        """Return the most urgent requests that wait at other gateways.

        Args:
            own: Waiting requests of the gateway that is told.
        """
        if not self.counts:
            return ()
        own_counts = {
            (each.service, each.model, each.priority): each.count
            for each in own
        }
        found = []
        for (service, model), counts in self.counts.items():
            for priority in sorted(counts):
                own_count = own_counts.get((service, model, priority), 0)
                if counts[priority] > own_count:
                    found.append(
                        messages.WaitingRequests(
                            service,
                            model,
                            priority,
                            counts[priority] - own_count,
                        )
                    )
                    break
        return tuple(found)
