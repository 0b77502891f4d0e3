"""Simulated load on servers of different speed, for tests of learned pace.

Gateways use the real admission, measurement and candidates; the leader uses
the real decision. Engines process passes as their cost model says, times a
factor that may depend on time and load.
"""

import collections.abc
import heapq
import itertools
import random

import msgspec

from flamingocleat import messages
from flamingocleat.request import admission
from flamingocleat.request import pace_samples
from flamingocleat.version import candidates
from flamingocleat.version import catalog
from flamingocleat.version import pace
from tests.direct import vms

REPORT_S = 0.2
LINK_S = 0.01
WARM_UP_S = 2.0
Slowness = collections.abc.Callable[[float, int], float]
"""Factor on a server's times, by the time and the requests that it has."""
ENGINE_SERVICE = catalog.Service("llm", 100, vms.ENGINE)
PLAIN_SERVICE = catalog.Service("desk", 100)


class Request:
    """A request in flight; also the gateway's attempt and call."""

    def __init__(self, gateway: "Gateway", arrived_s: float) -> None:
        self.gateway = gateway
        self.arrived_s = self.started_s = arrived_s
        self.prompt_tokens = gateway.load.prompt_tokens()
        self.unread = self.prompt_tokens
        self.tokens = round(vms.ENGINE.mean_answer_tokens)
        self.writing = False
        self.started = False
        self.service = gateway.load.service
        self.exchange = self
        self.route = self
        self.name = "route"

    def interrupt(self, reason: str) -> None:
        """Ignore; requests are not retried here."""


class Server:
    """An engine, or a plain server if it has no cost model."""

    def __init__(self, load: "Load", name: str, slowness: Slowness) -> None:
        self.load = load
        self.name = name
        self.slowness = slowness
        self.requests: list[Request] = []
        self.is_busy = False

    def add(self, request: Request) -> None:
        self.requests.append(request)
        slow = self.slowness(self.load.now_s, len(self.requests))
        if self.load.service.engine is None:
            took_s = self.load.random.uniform(0.01, 0.1) * slow
            self.load.at(took_s, lambda: self._answer(request))
        elif not self.is_busy:
            self._begin_pass()

    def _answer(self, request: Request) -> None:
        self.requests.remove(request)
        request.gateway.on_answer(request)

    def _begin_pass(self) -> None:
        self.is_busy = bool(self.requests)
        if not self.requests:
            return
        engine = vms.ENGINE
        budget = engine.chunk_tokens
        for request in self.requests:
            read = min(budget, request.unread)
            request.unread -= read
            budget -= read
        writing = [each for each in self.requests if not each.unread]
        context = sum(each.prompt_tokens for each in writing) / 1000
        step_ms = (
            engine.step_ms
            + engine.sequence_ms * len(writing)
            + engine.context_ms * context
        )
        took_s = engine.stride * step_ms / 1000
        took_s += (engine.chunk_tokens - budget) / engine.read_per_s
        took_s *= self.slowness(self.load.now_s, len(self.requests))
        self.load.at(took_s, lambda: self._end_pass(writing))

    def _end_pass(self, writing: list[Request]) -> None:
        for request in writing:
            request.tokens -= vms.ENGINE.stride
            request.gateway.on_event(request)
            if request.tokens <= 0:
                self.requests.remove(request)
        self._begin_pass()


class Gateway:
    """One gateway with the real admission and measurement."""

    def __init__(self, load: "Load", number: int) -> None:
        self.load = load
        self.name = f"gw-{number}"
        clock = lambda: load.now_s  # noqa: E731
        self.candidates = candidates.Candidates(clock)
        self.admission = admission.Admission("a", self.candidates, clock, 1)
        self.pace = pace_samples.PaceSamples(clock)
        self.in_flight: dict[Request, tuple] = {}
        self.paused_until_s = 0.0

    def request(self) -> None:
        request = Request(self, self.load.now_s)
        demand = admission.Demand(
            service=request.service.name,
            model=self.load.model,
            objective_s=self.load.objective_s,
            deadline_s=self.load.now_s + 8,
            arrived_s=self.load.now_s,
            prompt_tokens=request.prompt_tokens,
        )
        found = self.admission.try_place(demand)
        self.load.chosen.append(found and found.view.backend)
        if found is None:
            self.load.record(request, float("inf"))
            return
        request.candidate = found
        found.attempts.add(request)
        meter = self.pace.begin(request, request)
        self.in_flight[request] = found, meter
        self.load.servers[found.view.backend].add(request)

    def on_event(self, request: Request) -> None:
        found, meter = self.in_flight[request]
        meter.record(self.seen_s(found), 1)
        if not request.writing:
            request.writing = True
            self.load.record(request, self.load.now_s - request.arrived_s)
        if request.tokens <= 0:
            meter.has_ended = True
            self._end(request)

    def on_answer(self, request: Request) -> None:
        self.load.record(request, self.load.now_s - request.arrived_s)
        self.pace.record_answer(request, request)
        self._end(request)

    def _end(self, request: Request) -> None:
        found, _ = self.in_flight.pop(request)
        found.attempts.discard(request)
        self.admission.release(found, self.load.now_s - request.arrived_s)

    def seen_s(self, found: candidates.Candidate) -> float:
        """Return when an event is seen, which the link may delay."""
        late_s = self.load.link_delay_s(self, found.view.backend)
        return self.load.now_s + late_s

    def report(self) -> None:
        self.pace.collect()
        heads = [
            self.pace.report(each, self.load.now_s)
            for each in self.candidates.by_backend.values()
        ]
        report = messages.GatewayReport(
            self.name, "a", 0, 0, 0, tuple(filter(None, heads))
        )
        self.load.at(LINK_S, lambda: self.load.on_report(report))


class Load:
    """A simulated run; the same seed gives the same arrivals."""

    def __init__(
        self,
        slowness: list[Slowness],
        *,
        learns: bool,
        rate_per_s: float,
        gateways: int = 4,
        plain: bool = False,
        seed: int = 1,
    ) -> None:
        self.random = random.Random(seed)
        self.arrivals = random.Random(seed)
        self.learns = learns
        self.rate_per_s = rate_per_s
        self.service = PLAIN_SERVICE if plain else ENGINE_SERVICE
        self.model = "" if plain else "large"
        self.objective_s = 0.33 if plain else 0.302
        self.prompt_tokens: collections.abc.Callable[[], int] = lambda: (
            self.arrivals.randint(500, 1500)
        )
        self.link_delay_s: collections.abc.Callable[[Gateway, str], float] = (
            lambda gateway, backend: 0.0
        )
        self.now_s = 0.0
        self.is_started = False
        self.queue: list = []
        self.order = itertools.count()
        self.paces = pace.Paces()
        self.servers = {
            f"h-{n}": Server(self, f"h-{n}", each)
            for n, each in enumerate(slowness)
        }
        self.listed = [
            messages.ServedBackend(
                name,
                f"{name}:80",
                self.service.name,
                "a",
                24,
                self.model,
                "" if plain else f"g-{name}",
                0.0 if plain else vms.ENGINE.read_per_s,
                1,
            )
            for name in self.servers
        ]
        self.published: tuple[messages.ServedBackend, ...] = ()
        self.history: list[tuple[float, dict[str, tuple[float, int]]]] = []
        """Time, and pace and slots of each server, at each change."""
        self.chosen: list[str | None] = []
        self.waits_s: list[tuple[float, float]] = []
        """Arrival and time to the first event; infinite if refused."""
        self.gateways = [Gateway(self, n) for n in range(gateways)]

    def at(self, delay_s: float, action) -> None:
        due = (self.now_s + delay_s, next(self.order), action)
        heapq.heappush(self.queue, due)

    def record(self, request: Request, wait_s: float) -> None:
        self.waits_s.append((request.arrived_s, wait_s))

    def on_report(self, report: messages.GatewayReport) -> None:
        self.paces.record(report, self.now_s)

    def run(self, until_s: float) -> "Load":
        """Continue until a time."""
        if not self.is_started:
            self.is_started = True
            for number, gateway in enumerate(self.gateways):
                gateway.candidates.update(self.listed)
                self._repeat(REPORT_S, gateway.report, number * 0.04)
            self._repeat(REPORT_S, self._lead, 0.0)
            self._arrive()
        while self.queue[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self.queue)
            action()
        return self

    def _repeat(self, interval_s: float, action, offset_s: float) -> None:
        def again() -> None:
            action()
            self.at(interval_s, again)

        self.at(offset_s, again)

    def _arrive(self) -> None:
        self.arrivals.choice(self.gateways).request()
        self.at(self.arrivals.expovariate(self.rate_per_s), self._arrive)

    def _lead(self) -> None:
        """Send all gateways the list and the load of the others."""
        found = self.paces.review(self.listed, self.now_s)
        if self.learns and found != self.published:
            self.published = found
            state = {each.backend: (each.pace, each.slots) for each in found}
            self.history.append((self.now_s, state))
            for gateway in self.gateways:
                gateway.candidates.update(found)
        totals = {
            (gateway, backend): (each.in_flight, each.unread_tokens)
            for gateway in self.gateways
            for backend, each in gateway.candidates.by_backend.items()
        }
        for gateway in self.gateways:
            load = [
                messages.OtherGatewaysLoad(
                    backend,
                    *(
                        sum(
                            totals[other, backend][part]
                            for other in self.gateways
                            if other is not gateway
                        )
                        for part in (0, 1)
                    ),
                )
                for backend in self.servers
            ]
            if self.model:
                self.at(
                    REPORT_S,
                    lambda g=gateway, ld=load: g.candidates.update_load(ld),
                )

    # Results.

    def on_time(self, from_s: float = WARM_UP_S) -> float:
        """Return the share of requests answered within their objective."""
        waits = [wait for at, wait in self.waits_s if at >= from_s]
        return sum(wait <= self.objective_s for wait in waits) / len(waits)

    def mean_wait_s(self, from_s: float = WARM_UP_S) -> float:
        """Return the mean time to the first event of those not refused."""
        waits = [
            wait
            for at, wait in self.waits_s
            if at >= from_s and wait != float("inf")
        ]
        return sum(waits) / len(waits)

    def slow(self) -> set[str]:
        """Return the servers whose pace is not 1 now."""
        return {each.backend for each in self.published if each.pace > 1}


def declared(now_s: float, load: int) -> float:
    """Return the factor of a server that is as declared."""
    return 1.0


def slower(factor: float) -> Slowness:
    """Return the slowness of a server that is always slower."""
    return lambda now_s, load: factor


def encode(message) -> bytes:
    """Return a message as it is sent."""
    return msgspec.msgpack.encode(message)


def replace(struct, **changes):
    """Return a struct with changes."""
    return msgspec.structs.replace(struct, **changes)
