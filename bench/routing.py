"""Measures routing policies and admission on seeded arrivals.

Drives `routing.choose` and the admission of `flamingocleat.version.shares` in
virtual time, with a simple service-time model of continuous-batching replicas.
There is no network: a load report is a snapshot that entries see later.

    PYTHONPATH=src .venv/bin/python -m bench.routing --seeds 5
"""

import argparse
import collections
import collections.abc
import heapq
import itertools
import random

import msgspec

from bench import report
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.request import attempt
from flamingocleat.version import routing
from flamingocleat.version import schema
from flamingocleat.version import shares

DURATION_S = 120.0
WARM_UP_S = 20.0
"""Calls that arrive during the warm-up are not counted."""
CENTRES = ("a", "b", "c")
REPLICAS = 24
SLOTS = 8
ENTRIES = 3
CUSTOMERS = 10
PREFILL_S = 0.6
CACHED_PREFILL_S = 0.1
TOKEN_S = 0.03
"""Time per token with an empty batch; a full batch doubles it."""
MEAN_TOKENS = 60
PREFIXES = 12
"""Distinct prompt prefixes of each customer."""
CACHE_SIZE = 30
"""Prefixes that a replica's cache holds."""
LINK_S = 0.010
"""Round trip to another data centre."""
REPORT_INTERVAL_S = 0.25
"""Interval of the load reports of a replica."""
DEADLINE_S = 5.0
"""A first token after this is useless to the caller: it is not goodput."""
DETECTION_S = 1.0
"""Time until the loss of a replica is detected."""
FAILURE_S = 0.05
"""Time until an attempt fails while every attempt does."""
MAX_TRIES = 3
RETRY_RATIO = 0.1
LOAD = 0.7
"""Demand of each customer as a fraction of its share."""
TOKEN_S_AT_LOAD = TOKEN_S * (1 + LOAD)
CALL_S = PREFILL_S / 2 + MEAN_TOKENS * TOKEN_S_AT_LOAD
CAPACITY = REPLICAS * SLOTS / CALL_S
"""Calls per second, with half of the prefixes cached."""
SERVICE = ids.ServiceId("llm")


class Scenario(msgspec.Struct, frozen=True):
    """Differences of a scenario from normal operation."""

    name: str
    slow_replicas: int = 0
    overload: float = 0.0
    """Demand of customer c0 as a multiple of its share."""
    centre_lost_s: float = 0.0
    report_age_s: float = 0.1
    all_fail_s: float = 0.0
    """When attempts begin to fail, all of them; 0 for never."""


SCENARIOS = (
    Scenario("plain"),
    Scenario("straggler, 4 times slower", slow_replicas=1),
    Scenario("one customer at 5 times its share", overload=5.0),
    Scenario("data centre lost", centre_lost_s=60.0),
    Scenario("load reports 2 s late", report_age_s=2.0),
    Scenario("everything fails", all_fail_s=60.0),
)


class Request(msgspec.Struct):
    """One call and its state."""

    customer: str
    entry: int
    arrival_s: float
    tokens: int
    prefix: bytes
    counted: bool = True
    ticket: shares.Ticket | None = None
    candidate: routing.Candidate | None = None
    replica: int = -1
    sent_s: float = 0.0
    first_token_s: float | None = None
    tries: int = 0
    state: str = "new"


class Replica(msgspec.Struct):
    """A continuous-batching replica: a queue and a number of slots."""

    number: int
    centre: str
    slowness: float = 1.0
    alive: bool = True
    running: int = 0
    queue: collections.deque[Request] = msgspec.field(
        default_factory=collections.deque
    )
    cache: collections.OrderedDict[bytes, None] = msgspec.field(
        default_factory=collections.OrderedDict
    )
    events: list[messages.CacheEvent] = []


class Outcome(msgspec.Struct, frozen=True):
    """Results of one run; goodput counts first tokens within the deadline."""

    goodput: float
    first_token_p99_s: float
    fairness: float
    crossings: float
    retries: float
    """Attempts beyond the first, as a fraction of the calls sent."""
    outage_retries: float
    """The same for calls that arrived while every attempt failed."""
    by_customer: dict[str, float]


class Row(msgspec.Struct, frozen=True):
    """One policy in one scenario, over all seeds."""

    scenario: str
    policy: str
    admission: bool
    goodput: report.Spread
    first_token_p99_s: report.Spread
    fairness: report.Spread
    crossings: report.Spread
    retries: report.Spread
    outage_retries: report.Spread
    worst_loss: report.Spread
    """Largest loss of goodput of a customer within its share.

    The reference is the same arrivals without the overload.
    """
    runs: tuple[Outcome, ...]


class Simulation:
    """One scenario, policy and seed, run as events in virtual time."""

    def __init__(
        self, scenario: Scenario, policy: str, admission: bool, seed: int
    ) -> None:
        self.scenario = scenario
        self.policy = policy
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.counter = itertools.count()
        self.events: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []
        self.replicas = [
            Replica(
                number,
                CENTRES[number % len(CENTRES)],
                4.0 if number < scenario.slow_replicas else 1.0,
            )
            for number in range(REPLICAS)
        ]
        self.entries = [
            [self._candidate(replica) for replica in self.replicas]
            for _ in range(ENTRIES)
        ]
        self.admission = [
            shares.FairAdmission(
                _configuration(),
                ENTRIES,
                {SERVICE: REPLICAS * SLOTS},
                lambda: self.now_s,
            )
            for _ in range(ENTRIES if admission else 0)
        ]
        self.budgets = [attempt.Budget(RETRY_RATIO) for _ in range(ENTRIES)]
        self.waiting: list[list[Request]] = [[] for _ in range(ENTRIES)]
        self.requests = self._arrivals(seed)

    def run(self) -> Outcome:
        """Run all events and return the results."""
        for request in self.requests:
            self._schedule(request.arrival_s, lambda r=request: self._arrive(r))
        for replica in self.replicas:
            start_s = REPORT_INTERVAL_S * replica.number / REPLICAS
            self._schedule(start_s, lambda r=replica: self._report(r))
        if self.scenario.centre_lost_s:
            self._schedule(self.scenario.centre_lost_s, self._fail_centre)
        while self.events:
            self.now_s, _, action = heapq.heappop(self.events)
            action()
        return self._outcome()

    def _schedule(
        self, at_s: float, action: collections.abc.Callable[[], None]
    ) -> None:
        heapq.heappush(self.events, (at_s, next(self.counter), action))

    def _candidate(self, replica: Replica) -> routing.Candidate:
        name = f"llm/{replica.number:02}"
        return routing.Candidate(
            messages.BackendView(
                backend=name,
                service=SERVICE,
                vm=ids.VmId(name),
                incarnation=ids.Incarnation("1"),
                fence=ids.FencingNumber(1),
                control_address="",
                data_address="",
                data_centre=ids.DataCentreId(replica.centre),
            ),
            load=messages.Load(slots=SLOTS),
        )

    def _arrivals(self, seed: int) -> list[Request]:
        """Return all calls, drawn from one random generator per customer.

        An overload by one customer thus leaves the others' calls unchanged.
        """
        requests = []
        for number in range(CUSTOMERS):
            rng = random.Random(f"{seed}/{number}")
            normal = LOAD * CAPACITY / CUSTOMERS
            at_s = 0.0
            rate = normal
            if number == 0 and self.scenario.overload:
                rate = self.scenario.overload * CAPACITY / CUSTOMERS
            while (at_s := at_s + rng.expovariate(rate)) < DURATION_S:
                popular = int(PREFIXES * rng.random() ** 2)
                requests.append(
                    Request(
                        customer=f"c{number}",
                        entry=rng.randrange(ENTRIES),
                        arrival_s=at_s,
                        tokens=1 + int(rng.expovariate(1 / MEAN_TOKENS)),
                        prefix=f"{number}/{popular}".encode(),
                        counted=at_s >= WARM_UP_S,
                    )
                )
        return requests

    def _arrive(self, request: Request) -> None:
        self.budgets[request.entry].record_request()
        if not self.admission:
            self._send(request)
            return
        deadline_s = request.arrival_s + DEADLINE_S
        try:
            request.ticket = self.admission[request.entry].enqueue(
                ids.CustomerId(request.customer), SERVICE, 3, deadline_s
            )
        except shares.AdmissionRefusedError:
            request.state = "refused"
            return
        self.waiting[request.entry].append(request)
        self._schedule(deadline_s, lambda: self._expire(request))
        self._send_granted(request.entry)

    def _expire(self, request: Request) -> None:
        if request.state == "new" and request.ticket is not None:
            request.state = "refused"
            self.waiting[request.entry].remove(request)
            self.admission[request.entry].release(request.ticket)
            self._send_granted(request.entry)

    def _send_granted(self, entry: int) -> None:
        ready = [
            request
            for request in self.waiting[entry]
            if request.ticket is not None and request.ticket.granted.is_set()
        ]
        for request in ready:
            self.waiting[entry].remove(request)
            self._send(request)

    def _send(self, request: Request) -> None:
        call = routing.Call(
            ids.DataCentreId(CENTRES[request.entry % len(CENTRES)]),
            (request.prefix,),
        )
        candidates = self.entries[request.entry]
        chosen = routing.choose(self.policy, call, candidates, self.now_s)
        if chosen is None:
            self._end(request, "failed")
            return
        chosen.in_flight += 1
        request.candidate = chosen
        request.replica = candidates.index(chosen)
        request.sent_s = self.now_s
        request.state = "sent"
        request.tries += 1
        replica = self.replicas[request.replica]
        if not replica.alive:
            self._schedule(
                self.now_s + DETECTION_S,
                lambda: self._fail(request, suspect=True),
            )
            return
        if 0 < self.scenario.all_fail_s <= self.now_s:
            # Not marked as suspect: otherwise all replicas would be, and no
            # call would be retried. The load reports, which still arrive,
            # would clear the mark as well.
            self._schedule(
                self.now_s + FAILURE_S,
                lambda: self._fail(request, suspect=False),
            )
            return
        replica.queue.append(request)
        self._start_queued(replica)

    def _start_queued(self, replica: Replica) -> None:
        while replica.queue and replica.running < SLOTS:
            request = replica.queue.popleft()
            replica.running += 1
            hit = request.prefix in replica.cache
            prefill_s = CACHED_PREFILL_S if hit else PREFILL_S
            if request.candidate and self._crosses_centres(request):
                prefill_s += LINK_S
            first_s = self.now_s + prefill_s * replica.slowness
            step_s = TOKEN_S * (1 + replica.running / SLOTS) * replica.slowness
            tries = request.tries
            self._schedule(
                first_s,
                lambda r=request, t=tries: self._record_first_token(r, t),
            )
            self._schedule(
                first_s + request.tokens * step_s,
                lambda r=request, t=tries: self._finish(r, t),
            )
            self._add_to_cache(replica, request.prefix)

    def _crosses_centres(self, request: Request) -> bool:
        centre = CENTRES[request.entry % len(CENTRES)]
        return self.replicas[request.replica].centre != centre

    def _add_to_cache(self, replica: Replica, prefix: bytes) -> None:
        known = prefix in replica.cache
        replica.cache[prefix] = None
        replica.cache.move_to_end(prefix)
        changes = [] if known else [(prefix, True)]
        if len(replica.cache) > CACHE_SIZE:
            changes.append((replica.cache.popitem(last=False)[0], False))
        for changed, present in changes:
            number = len(replica.events) + 1
            replica.events.append(messages.CacheEvent(number, changed, present))

    def _record_first_token(self, request: Request, tries: int) -> None:
        if request.tries != tries or request.state != "sent":
            return
        request.first_token_s = self.now_s
        if request.candidate is not None:
            request.candidate.record_first_token(
                self.now_s - request.sent_s, self.now_s
            )

    def _finish(self, request: Request, tries: int) -> None:
        if request.tries != tries or request.state != "sent":
            return
        replica = self.replicas[request.replica]
        replica.running -= 1
        self._end(request, "done")
        self._start_queued(replica)

    def _end(self, request: Request, state: str) -> None:
        request.state = state
        if request.candidate is not None:
            request.candidate.in_flight -= 1
            request.candidate = None
        if request.ticket is not None:
            self.admission[request.entry].release(request.ticket)
            self._send_granted(request.entry)

    def _fail(self, request: Request, suspect: bool) -> None:
        """Retry a call that has no first token, if the budget allows."""
        candidate = request.candidate
        if candidate is not None:
            candidate.suspect |= suspect
            candidate.in_flight -= 1
            request.candidate = None
        if (
            request.tries < MAX_TRIES
            and request.first_token_s is None
            and self.budgets[request.entry].withdraw()
        ):
            self._send(request)
        else:
            self._end(request, "failed")

    def _fail_centre(self) -> None:
        for replica in self.replicas:
            if replica.centre == CENTRES[-1]:
                replica.alive = False
                replica.queue.clear()
        for request in self.requests:
            if request.state != "sent":
                continue
            if not self.replicas[request.replica].alive:
                request.state = "lost"
                self._schedule(
                    self.now_s + DETECTION_S,
                    lambda r=request: self._fail(r, suspect=True),
                )

        def detect() -> None:
            for candidates in self.entries:
                for candidate, replica in zip(
                    candidates, self.replicas, strict=True
                ):
                    candidate.suspect |= not replica.alive
            slots = SLOTS * sum(replica.alive for replica in self.replicas)
            for admission in self.admission:
                admission.update(_configuration(), ENTRIES, {SERVICE: slots})

        self._schedule(self.now_s + DETECTION_S, detect)

    def _report(self, replica: Replica) -> None:
        """Take a snapshot that the entries see after report_age_s."""
        if not replica.alive or self.now_s > DURATION_S:
            return
        age_s = self.scenario.report_age_s
        load = messages.Load(
            replica.running,
            len(replica.queue),
            SLOTS,
            round(1000 * age_s),
        )
        events = tuple(replica.events)
        cached = tuple(
            messages.CacheEvent(len(events), prefix, True)
            for prefix in replica.cache
        )
        self._schedule(
            self.now_s + age_s,
            lambda: self._deliver(replica, load, events, cached),
        )
        self._schedule(
            self.now_s + REPORT_INTERVAL_S, lambda: self._report(replica)
        )

    def _deliver(
        self,
        replica: Replica,
        load: messages.Load,
        events: tuple[messages.CacheEvent, ...],
        cached: tuple[messages.CacheEvent, ...],
    ) -> None:
        if not replica.alive:
            return
        for candidates in self.entries:
            candidate = candidates[replica.number]
            if self.rng.random() < 0.01:
                continue
            full = not candidate.cache_known
            candidate.record_report(
                messages.LoadReport(
                    vm=candidate.view.vm,
                    incarnation=candidate.view.incarnation,
                    fence=candidate.view.fence,
                    serving=True,
                    leaving=False,
                    load=load,
                    cache_sequence=len(events),
                    cache_complete=full,
                    # A lost report leaves a gap in the events: the agent
                    # sends each event once, in the report of its interval.
                    cache_events=cached
                    if full
                    else events[candidate.cache_sequence :],
                ),
                self.now_s,
            )

    def _outcome(self) -> Outcome:
        counted = [r for r in self.requests if r.counted]
        span_s = DURATION_S - WARM_UP_S
        good = collections.Counter(
            r.customer
            for r in counted
            if r.state == "done"
            and r.first_token_s is not None
            and r.first_token_s - r.arrival_s <= DEADLINE_S
        )
        offered = collections.Counter(r.customer for r in counted)
        fair_share = CAPACITY / CUSTOMERS * span_s
        # Goodput of each customer as a fraction of its demand, which counts
        # up to its share.
        fractions = [
            min(1.0, good[name] / min(offered[name], fair_share))
            for name in offered
        ]
        waits = sorted(
            r.first_token_s - r.arrival_s
            for r in counted
            if r.first_token_s is not None
        )
        sent = [r for r in counted if r.replica >= 0]
        failing_s = self.scenario.all_fail_s or DURATION_S
        outage = [r for r in self.requests if r.arrival_s >= failing_s]
        return Outcome(
            goodput=sum(good.values()) / span_s,
            first_token_p99_s=waits[int(0.99 * len(waits))],
            fairness=sum(fractions) ** 2
            / (len(fractions) * sum(part * part for part in fractions)),
            crossings=sum(map(self._crosses_centres, sent)) / len(sent),
            retries=_retries_per_call(self.requests),
            outage_retries=_retries_per_call(outage),
            by_customer={name: good[name] / span_s for name in sorted(offered)},
        )


def _retries_per_call(requests: collections.abc.Iterable[Request]) -> float:
    tries = [request.tries for request in requests if request.tries]
    return sum(tries) / len(tries) - 1 if tries else 0.0


def _configuration() -> schema.Configuration:
    return schema.Configuration(
        operator="bench",
        data_centres=(),
        services=(schema.Service(name=SERVICE, kind=schema.ServiceKind.MODEL),),
        customers=tuple(
            schema.Customer(
                name=ids.CustomerId(f"c{number}"),
                key_sha256=(),
                services=(SERVICE,),
            )
            for number in range(CUSTOMERS)
        ),
    )


def measure(
    scenario: Scenario,
    policy: str,
    admission: bool,
    seeds: collections.abc.Sequence[int],
) -> Row:
    """Run one policy in one scenario over all seeds."""
    runs = [
        Simulation(scenario, policy, admission, seed).run() for seed in seeds
    ]
    losses = [0.0] * len(runs)
    if scenario.overload:
        normal = msgspec.structs.replace(scenario, overload=0.0)
        for index, seed in enumerate(seeds):
            base = Simulation(normal, policy, admission, seed).run().by_customer
            losses[index] = max(
                1 - runs[index].by_customer[name] / base[name]
                for name in base
                if name != "c0"
            )
    return Row(
        scenario=scenario.name,
        policy=policy,
        admission=admission,
        goodput=report.spread([run.goodput for run in runs]),
        first_token_p99_s=report.spread(
            [run.first_token_p99_s for run in runs]
        ),
        fairness=report.spread([run.fairness for run in runs]),
        crossings=report.spread([run.crossings for run in runs]),
        retries=report.spread([run.retries for run in runs]),
        outage_retries=report.spread([run.outage_retries for run in runs]),
        worst_loss=report.spread(losses),
        runs=tuple(runs),
    )


def main() -> None:
    """Print a table over scenarios and policies."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--json", default="")
    arguments = parser.parse_args()
    seeds = range(1, arguments.seeds + 1)
    rows = [
        measure(scenario, policy, admission, seeds)
        for scenario in SCENARIOS
        for admission in (False, True)
        for policy in sorted(routing.POLICIES)
    ]
    print(
        f"seeds 1..{arguments.seeds}, {DURATION_S:g} s each; "
        f"capacity {CAPACITY:.1f} calls/s, demand {LOAD:g} of each share"
    )
    print(
        report.table(
            (
                "scenario",
                "admission",
                "routing",
                "goodput, calls/s",
                "first token p99, s",
                "fairness (Jain)",
                "to other data centres",
                "worst loss within share",
                "retries",
                "retries in outage",
            ),
            [
                (
                    row.scenario,
                    "Shares" if row.admission else "none",
                    row.policy,
                    row.goodput,
                    row.first_token_p99_s,
                    row.fairness,
                    row.crossings,
                    row.worst_loss,
                    row.retries,
                    row.outage_retries,
                )
                for row in rows
            ],
        )
    )
    report.write(arguments.json, rows)


if __name__ == "__main__":
    main()
