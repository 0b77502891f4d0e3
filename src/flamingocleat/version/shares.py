"""Weighted fair admission of customers to services at one entry.

Each service has a number of slots at this entry: the slots of all its
replicas divided by the number of entries. A free slot goes to the waiting
customer with the least cost in flight relative to its weight. A customer
within its share therefore never waits behind another customer's backlog, and
others may use an idle share. Among the requests of one customer, the most
urgent one goes first.
"""

import collections.abc
import heapq
import math
import threading
import time

import msgspec

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat.version import schema

MAX_WAITING_PER_SLOT = 2
"""Limit on waiting requests per slot of a customer's share. A longer queue
only adds waiting time, since most of its requests would miss their
deadlines."""
MIN_QUEUE = 16
"""Least queue limit, so that a customer with a small share can send a short
burst."""
HOLD_SMOOTHING = 0.05
"""Weight of a new observation in the moving average of the time that a slot
is held."""
MIN_RETRY_AFTER_S = 1.0
"""Retry-After is in whole seconds, and 0 would cause an immediate retry."""


class AdmissionRefusedError(errors.FlamingocleatError):
    """A request was not admitted and has not run."""

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(f"{reason}; retry after {math.ceil(retry_after_s)} s")
        self.reason = reason
        self.retry_after_s = retry_after_s


class Ticket:
    """A request that waits for a slot or holds one."""

    def __init__(
        self,
        customer: ids.CustomerId,
        service: ids.ServiceId,
        priority: int,
        deadline_s: float,
        cost: float,
    ) -> None:
        self.customer = customer
        self.service = service
        self.priority = priority
        self.deadline_s = deadline_s
        self.cost = cost
        self.granted = threading.Event()
        self.granted_s = 0.0
        self.ended = False


class CustomerUsage(msgspec.Struct):
    """One customer's requests for one service."""

    weight: int
    limit: int = MIN_QUEUE
    in_flight: int = 0
    cost: float = 0.0
    last_grant: int = 0
    """Sequence number of the last grant; on a tie the lowest number wins."""
    waiting: int = 0
    queue: list[tuple[int, int, Ticket]] = msgspec.field(default_factory=list)


class Pool(msgspec.Struct):
    """The slots of one service at this entry."""

    slots: int = 1
    in_flight: int = 0
    hold_s: float = 0.0
    """Moving average of the time that a slot is held; 0 until the first
    release."""
    usage: dict[ids.CustomerId, CustomerUsage] = msgspec.field(
        default_factory=dict
    )


class FairAdmission:
    """Admission of requests at one entry; all methods are thread-safe.

    `slots` maps each service to the slots of all its replicas. Times are
    seconds of `clock`, which is the monotonic clock outside tests.
    """

    def __init__(
        self,
        configuration: schema.Configuration,
        entry_count: int,
        slots: collections.abc.Mapping[ids.ServiceId, int] | None = None,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.clock = clock
        self.lock = threading.Lock()
        self.pools: dict[ids.ServiceId, Pool] = {}
        self.sequence = 0
        self.update(configuration, entry_count, slots or {})

    def update(
        self,
        configuration: schema.Configuration,
        entry_count: int,
        slots: collections.abc.Mapping[ids.ServiceId, int],
    ) -> None:
        """Apply a new configuration, number of entries or number of slots.

        Requests in flight keep their slots. Waiting requests of a customer
        that may no longer call the service are still admitted.
        """
        with self.lock:
            for service in configuration.services:
                pool = self.pools.setdefault(service.name, Pool())
                # Rounded up, because a replica does not refuse calls for one
                # too many, whereas rounding down would leave slots idle.
                total = slots.get(service.name, 1)
                pool.slots = max(1, math.ceil(total / max(1, entry_count)))
                self._set_customers(pool, service.name, configuration)
                self._grant_slots(pool)
            names = {service.name for service in configuration.services}
            for name in [n for n in self.pools if n not in names]:
                pool = self.pools[name]
                if not pool.in_flight and not _waiting_count(pool):
                    del self.pools[name]
                else:
                    self._set_customers(pool, name, configuration)

    def acquire(
        self,
        customer: ids.CustomerId,
        service: ids.ServiceId,
        priority: int,
        deadline_s: float,
        cost: float = 1.0,
    ) -> Ticket:
        """Block until the request may start.

        The caller must release the returned ticket.

        Raises:
            AdmissionRefusedError: The request got no slot before
                `deadline_s` (on the clock). Raised at once if it is not
                expected to start before then, or if it may not wait.
        """
        ticket = self.enqueue(customer, service, priority, deadline_s, cost)
        remaining = deadline_s - self.clock()
        try:
            if ticket.granted.wait(max(0.0, remaining)):
                return ticket
        except BaseException:
            self.release(ticket)
            raise
        # This also gives back a slot that was granted since the timeout.
        retry_after_s = self.release(ticket)
        raise AdmissionRefusedError(
            "no slot before the deadline", retry_after_s
        )

    def enqueue(
        self,
        customer: ids.CustomerId,
        service: ids.ServiceId,
        priority: int,
        deadline_s: float,
        cost: float = 1.0,
    ) -> Ticket:
        """Queue a request without blocking.

        `granted` of the returned ticket is set once the request may start.

        Raises:
            AdmissionRefusedError: The customer has no share of the service
                or too many waiting requests, or the request is not expected
                to start before `deadline_s`.
        """
        ticket = Ticket(customer, service, priority, deadline_s, cost)
        with self.lock:
            pool = self.pools.get(service)
            usage = pool.usage.get(customer) if pool else None
            if pool is None or usage is None or usage.weight <= 0:
                raise AdmissionRefusedError(
                    f"customer {customer} has no share of service {service}",
                    MIN_RETRY_AFTER_S,
                )
            self._check_admission(pool, usage, ticket)
            self.sequence += 1
            item = (priority, self.sequence, ticket)
            heapq.heappush(usage.queue, item)
            usage.waiting += 1
            self._grant_slots(pool)
        return ticket

    def release(self, ticket: Ticket) -> float:
        """Give up a slot or a place in the queue.

        Repeated calls have no effect.

        Returns:
            The estimated wait of a new request in seconds.
        """
        with self.lock:
            if ticket.ended:
                return MIN_RETRY_AFTER_S
            pool = self.pools[ticket.service]
            usage = pool.usage[ticket.customer]
            ticket.ended = True
            if ticket.granted.is_set():
                pool.in_flight -= 1
                usage.in_flight -= 1
                usage.cost -= ticket.cost
                self._record_hold_time(pool, self.clock() - ticket.granted_s)
            else:
                usage.waiting -= 1
                _discard_ended(usage)
            self._grant_slots(pool)
            return _retry_after(pool, usage)

    def _set_customers(
        self,
        pool: Pool,
        service: ids.ServiceId,
        configuration: schema.Configuration,
    ) -> None:
        weights = {
            customer.name: customer.weight
            for customer in configuration.customers
            if service in customer.services
        }
        total = sum(weights.values()) or 1
        for name, weight in weights.items():
            usage = pool.usage.setdefault(name, CustomerUsage(weight))
            usage.weight = weight
            share = pool.slots * weight / total
            usage.limit = max(
                MIN_QUEUE, math.ceil(MAX_WAITING_PER_SLOT * share)
            )
        for name in [n for n in pool.usage if n not in weights]:
            usage = pool.usage[name]
            usage.weight = 0
            if not usage.in_flight and not usage.waiting:
                del pool.usage[name]

    def _check_admission(
        self, pool: Pool, usage: CustomerUsage, ticket: Ticket
    ) -> None:
        wait_s = _expected_wait(pool, usage, ticket.priority)
        if usage.waiting >= usage.limit:
            raise AdmissionRefusedError(
                f"customer {ticket.customer} has {usage.waiting} requests "
                f"waiting for service {ticket.service}",
                _retry_after(pool, usage),
            )
        if self.clock() + wait_s >= ticket.deadline_s:
            raise AdmissionRefusedError(
                f"service {ticket.service} cannot start the request before "
                "its deadline",
                _retry_after(pool, usage),
            )

    def _grant_slots(self, pool: Pool) -> None:
        while pool.in_flight < pool.slots:
            usage = _next_customer(pool, self.clock())
            if usage is None:
                return
            _, _, ticket = heapq.heappop(usage.queue)
            self.sequence += 1
            usage.last_grant = self.sequence
            usage.waiting -= 1
            usage.in_flight += 1
            usage.cost += ticket.cost
            pool.in_flight += 1
            ticket.granted_s = self.clock()
            ticket.granted.set()

    def _record_hold_time(self, pool: Pool, hold_s: float) -> None:
        if not pool.hold_s:
            pool.hold_s = hold_s
        pool.hold_s += HOLD_SMOOTHING * (hold_s - pool.hold_s)


def _next_customer(pool: Pool, now_s: float) -> CustomerUsage | None:
    """Return the customer whose first request is next, or None.

    Requests past their deadline are skipped; their own threads end them.
    """
    best: CustomerUsage | None = None
    best_key = (math.inf, 0)
    for usage in pool.usage.values():
        while usage.queue and _is_ended_or_late(usage.queue[0][2], now_s):
            heapq.heappop(usage.queue)
        if not usage.queue:
            continue
        cost = usage.cost + usage.queue[0][2].cost
        key = (cost / max(usage.weight, 1), usage.last_grant)
        if key < best_key:
            best, best_key = usage, key
    return best


def _is_ended_or_late(ticket: Ticket, now_s: float) -> bool:
    return ticket.ended or ticket.deadline_s <= now_s


def _discard_ended(usage: CustomerUsage) -> None:
    """Drop ended tickets, which would accumulate behind more urgent ones."""
    if len(usage.queue) > 2 * usage.waiting + MIN_QUEUE:
        usage.queue = [item for item in usage.queue if not item[2].ended]
        heapq.heapify(usage.queue)


def _waiting_count(pool: Pool) -> int:
    return sum(usage.waiting for usage in pool.usage.values())


def _expected_wait(pool: Pool, usage: CustomerUsage, priority: int) -> float:
    """Estimate the seconds until a new request of this customer starts.

    Slots become free at slots / hold_s per second. The customer gets a
    fraction of them by its weight among the active customers. Below its
    share it gets all of them, since the customer with the least cost goes
    first.
    """
    free = pool.slots - pool.in_flight
    if free > 0 or not pool.hold_s:
        return 0.0
    requests_ahead = sum(
        1
        for urgency, _, ticket in usage.queue
        if urgency <= priority and not ticket.ended
    )
    active = [
        other.weight
        for other in pool.usage.values()
        if other is not usage and (other.waiting or other.in_flight)
    ]
    fraction = usage.weight / (usage.weight + sum(active))
    unused_share = math.floor(pool.slots * fraction) - usage.in_flight
    rate = pool.slots / pool.hold_s
    if requests_ahead < unused_share:
        return (requests_ahead + 1) / rate
    return (requests_ahead + 1) / (rate * fraction)


def _retry_after(pool: Pool, usage: CustomerUsage) -> float:
    return max(MIN_RETRY_AFTER_S, _expected_wait(pool, usage, 7))
