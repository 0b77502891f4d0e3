"""Weighted fair admission of customers to services at one entry.

Each service has a number of slots at this entry: the slots of all its
replicas divided by the number of entries. A free slot goes to the waiting
customer with the least cost in flight for its weight, so that a customer
within its share never queues behind another customer's backlog, and an idle
share may be used by others. Within a customer the most urgent request goes
first.
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

QUEUE_PER_SLOT = 2
"""Waiting requests per slot of a customer's share; longer queues only add
waiting, since most of what they hold would miss its deadline."""
MIN_QUEUE = 16
"""Lets a customer with a small share send a short burst."""
HOLD_SMOOTHING = 0.05
"""Weight of a new observation in the mean time that a slot is held."""
MIN_RETRY_AFTER_S = 1.0
"""Retry-After has whole seconds, and 0 would invite an immediate retry."""


class AdmissionRefusedError(errors.FlamingocleatError):
    """A request was not admitted and has not run."""

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(f"{reason}; retry after {math.ceil(retry_after_s)} s")
        self.reason = reason
        self.retry_after_s = retry_after_s


class Ticket:
    """One request that waits for a slot or holds one."""

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
    turn: int = 0
    """Number of the last grant; breaks ties in favour of the oldest."""
    waiting: int = 0
    queue: list[tuple[int, int, Ticket]] = msgspec.field(default_factory=list)


class Pool(msgspec.Struct):
    """The slots of one service at this entry."""

    slots: int = 1
    in_flight: int = 0
    hold_s: float = 0.0
    """Mean time that a slot is held; 0 until one was released."""
    usage: dict[ids.CustomerId, CustomerUsage] = msgspec.field(
        default_factory=dict
    )


class Shares:
    """Admission at one entry; all methods may be called from any thread.

    `slots` gives the slots over all replicas by service. Times are seconds
    of `clock`, which is the monotonic clock outside tests.
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
        """Apply a new configuration, number of entries or slots.

        Requests in flight keep their slots; waiting requests of a customer
        that may no longer call the service are still admitted.
        """
        with self.lock:
            for service in configuration.services:
                pool = self.pools.setdefault(service.name, Pool())
                # Rounded up: a replica refuses nothing for one call too
                # many, while a slot too few on each entry would stay idle.
                total = slots.get(service.name, 1)
                pool.slots = max(1, math.ceil(total / max(1, entry_count)))
                self._set_customers(pool, service.name, configuration)
                self._grant(pool)
            names = {service.name for service in configuration.services}
            for name in [n for n in self.pools if n not in names]:
                pool = self.pools[name]
                if not pool.in_flight and not _backlog(pool):
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
        """Block until the request may start; the ticket is to be released.

        Raises AdmissionRefusedError at once if the request cannot start
        before `deadline_s` (on the clock), and at the deadline otherwise.
        """
        ticket = self.enter(customer, service, priority, deadline_s, cost)
        remaining = deadline_s - self.clock()
        try:
            if ticket.granted.wait(max(0.0, remaining)):
                return ticket
        except BaseException:
            self.release(ticket)
            raise
        # A grant between the timeout and this call is given back.
        retry_after_s = self.release(ticket)
        raise AdmissionRefusedError(
            "no slot before the deadline", retry_after_s
        )

    def enter(
        self,
        customer: ids.CustomerId,
        service: ids.ServiceId,
        priority: int,
        deadline_s: float,
        cost: float = 1.0,
    ) -> Ticket:
        """Queue a request without blocking; `ticket.granted` tells when."""
        ticket = Ticket(customer, service, priority, deadline_s, cost)
        with self.lock:
            pool = self.pools.get(service)
            usage = pool.usage.get(customer) if pool else None
            if pool is None or usage is None or usage.weight <= 0:
                raise AdmissionRefusedError(
                    f"customer {customer} has no share of service {service}",
                    MIN_RETRY_AFTER_S,
                )
            self._check(pool, usage, ticket)
            self.sequence += 1
            item = (priority, self.sequence, ticket)
            heapq.heappush(usage.queue, item)
            usage.waiting += 1
            self._grant(pool)
        return ticket

    def release(self, ticket: Ticket) -> float:
        """Give up a slot or a place in the queue; a repeat has no effect.

        Returns the estimated wait in seconds of a new request.
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
                self._observe(pool, self.clock() - ticket.granted_s)
            else:
                usage.waiting -= 1
                _discard_ended(usage)
            self._grant(pool)
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
            usage.limit = max(MIN_QUEUE, math.ceil(QUEUE_PER_SLOT * share))
        for name in [n for n in pool.usage if n not in weights]:
            usage = pool.usage[name]
            usage.weight = 0
            if not usage.in_flight and not usage.waiting:
                del pool.usage[name]

    def _check(self, pool: Pool, usage: CustomerUsage, ticket: Ticket) -> None:
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

    def _grant(self, pool: Pool) -> None:
        while pool.in_flight < pool.slots:
            usage = _next_usage(pool, self.clock())
            if usage is None:
                return
            _, _, ticket = heapq.heappop(usage.queue)
            self.sequence += 1
            usage.turn = self.sequence
            usage.waiting -= 1
            usage.in_flight += 1
            usage.cost += ticket.cost
            pool.in_flight += 1
            ticket.granted_s = self.clock()
            ticket.granted.set()

    def _observe(self, pool: Pool, hold_s: float) -> None:
        if not pool.hold_s:
            pool.hold_s = hold_s
        pool.hold_s += HOLD_SMOOTHING * (hold_s - pool.hold_s)


def _next_usage(pool: Pool, now_s: float) -> CustomerUsage | None:
    """Return the customer whose first request is next, or None.

    Requests past their deadline are passed over; their threads end them.
    """
    best: CustomerUsage | None = None
    best_key = (math.inf, 0)
    for usage in pool.usage.values():
        while usage.queue and _is_over(usage.queue[0][2], now_s):
            heapq.heappop(usage.queue)
        if not usage.queue:
            continue
        cost = usage.cost + usage.queue[0][2].cost
        key = (cost / max(usage.weight, 1), usage.turn)
        if key < best_key:
            best, best_key = usage, key
    return best


def _is_over(ticket: Ticket, now_s: float) -> bool:
    return ticket.ended or ticket.deadline_s <= now_s


def _discard_ended(usage: CustomerUsage) -> None:
    """Drop ended tickets, which would pile up below more urgent ones."""
    if len(usage.queue) > 2 * usage.waiting + MIN_QUEUE:
        usage.queue = [item for item in usage.queue if not item[2].ended]
        heapq.heapify(usage.queue)


def _backlog(pool: Pool) -> int:
    return sum(usage.waiting for usage in pool.usage.values())


def _expected_wait(pool: Pool, usage: CustomerUsage, priority: int) -> float:
    """Estimate seconds until a new request of this customer starts.

    Slots become free at slots / hold_s per second, and the customer gets
    its weight's part of them against the customers that wait as well. Below
    its share it gets all of them, since the least loaded goes first.
    """
    free = pool.slots - pool.in_flight
    if free > 0 or not pool.hold_s:
        return 0.0
    ahead = sum(
        1
        for urgency, _, ticket in usage.queue
        if urgency <= priority and not ticket.ended
    )
    active = [
        other.weight
        for other in pool.usage.values()
        if other is not usage and (other.waiting or other.in_flight)
    ]
    part = usage.weight / (usage.weight + sum(active))
    missing = math.floor(pool.slots * part) - usage.in_flight
    rate = pool.slots / pool.hold_s
    if ahead < missing:
        return (ahead + 1) / rate
    return (ahead + 1) / (rate * part)


def _retry_after(pool: Pool, usage: CustomerUsage) -> float:
    return max(MIN_RETRY_AFTER_S, _expected_wait(pool, usage, 7))
