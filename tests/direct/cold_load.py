"""Simulates gateways, leaders, cold and limited servers in virtual time.

Runs the decisions of both sides, `cold.Grants` and `Admission`, with delayed,
lost and late messages between them, and records when servers get requests.
"""

import collections
import collections.abc
import heapq
import itertools
import math
import random
import typing

import msgspec

from flamingocleat import messages
from flamingocleat.request import admission
from flamingocleat.version import candidates
from flamingocleat.version import catalog
from flamingocleat.version import cold
from flamingocleat.version import fleet
from flamingocleat.version import limited_servers

BOUNDS = cold.ColdBounds(1.5, 5.0)
PER_S = 28.0
TOLD_S = 0.5
"""Time after which a gateway that has passed on a limit must heed it."""
INTERVAL_S = 0.2
REVIEW_S = 0.1
ANNOUNCE_S = 1.2
SERVICE = "llm"
CATALOG = catalog.Catalog(
    1, (), (catalog.Service(SERVICE, 10, None, 20.0, PER_S),), ()
)


class Settings(msgspec.Struct):
    """What the simulated network and callers do."""

    seed: int = 0
    gateways: int = 8
    servers: int = 3
    callers_per_s: tuple[float, ...] = (20.0,)
    """Callers at each gateway; the last value is that of all others."""
    delay_s: tuple[float, float] = (0.0014, 0.003)
    loss: float = 0.0
    """Fraction of the views and reports that are lost."""
    connect_s: tuple[float, float] = (0.001, 0.01)
    """Time from the reservation of a slot to the send."""
    request_s: float = 0.6
    slots: int = 24
    configuration: catalog.Catalog = CATALOG
    head_s: tuple[float, float] = (0.02, 0.3)
    """Time from a request until the head of its answer is made, and from then
    until it arrives."""


class Arrival(typing.NamedTuple):
    """A request that reached a limited server."""

    at_s: float
    gateway: str
    is_told: bool
    """Whether the gateway had passed on an answer with a limit before."""


class Server:
    """A server that announces itself."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.born_ms = 1
        self.sequence = 0
        self.cold_until_s = float("-inf")
        self.announces_cold = True
        self.is_up = True
        self.group = "g-1"
        self.sent_s: list[float] = []
        """When gateways sent it requests while it was cold."""
        self.limits: list[tuple[float, float | None]] = []
        """When it began to name which limit; None if it names none."""
        self.told_s: dict[str, float] = {}
        """When each gateway first passed on an answer with a limit."""
        self.arrivals: list[Arrival] = []

    @property
    def limit_per_s(self) -> float | None:
        return self.limits[-1][1] if self.limits else None


class Leader:
    """A leader with its listing and its grants."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.is_cut_off = False
        """Whether no quorum follows it."""
        self.contact_s = world.now_s
        self.fleet = fleet.Fleet()
        self.grants = cold.Grants(BOUNDS, lambda: self.contact_s, self.notify)
        self.servers = limited_servers.LimitedServers(self.grants)
        self.began_s = world.now_s
        self.servers.begin(world.now_s)
        self.listed: tuple[messages.ServedBackend, ...] = ()
        self.connected: set[str] = set()

    def notify(self, gateway: str) -> None:
        """Send a gateway's next view soon."""
        self.world.after(0.001, lambda: self.send_view(gateway))

    def review(self) -> None:
        """Update the list of servers."""
        now_s = self.world.now_s
        if not self.is_cut_off:
            self.contact_s = now_s
        served = [
            messages.ServedBackend(
                backend=each.announcement.backend,
                address="",
                service=SERVICE,
                data_centre="a",
                slots=self.world.settings.slots,
                model="m",
                group=self.world.servers[each.announcement.backend].group,
                born_ms=each.announcement.born_ms,
            )
            for each in self.fleet.backends.values()
            if now_s - each.announced_s < 2.5
        ]
        is_complete = now_s - self.began_s > 1.8
        listed = self.servers.mark(
            served,
            self.world.settings.configuration,
            self.fleet,
            now_s,
            is_complete=is_complete,
        )
        if listed != self.listed:
            self.listed = listed
            for gateway in self.world.gateways:
                self.notify(gateway)

    def send_view(self, name: str) -> None:
        """Send a view to a gateway that has reported to this leader."""
        if name not in self.connected:
            return
        echo, grants = self.grants.take(name, self.world.now_s)
        view = messages.GatewayView(
            1,
            1,
            backends=self.listed,
            grants=grants,
            echo=echo,
            gateways=len(self.connected),
        )
        gateway = self.world.gateways[name]
        self.world.send(lambda: gateway.receive(view, self))

    def receive(self, report: messages.GatewayReport) -> None:
        """Take a gateway's report."""
        self.connected.add(report.gateway)
        if self.servers.record_report(report, self.world.now_s):
            self.world.after(0.0, self.review)


class Gateway:
    """A gateway whose callers wait in its admission queue."""

    def __init__(self, world: "World", name: str, callers_per_s: float) -> None:
        self.world = world
        self.name = name
        self.callers_per_s = callers_per_s
        # The order of messages, which sets decide, must not change the load.
        self.caller_random = random.Random(f"{world.settings.seed} {name}")
        self.candidates = candidates.Candidates(world.clock)
        self.admission = admission.Admission(
            "a", self.candidates, world.clock, seed=world.settings.seed
        )
        self.admission.cold.bounds = BOUNDS
        self.admission.cold.request_report = lambda: world.after(
            0.0, self.report
        )
        self.leader = world.leader
        self.queue: collections.deque[float] = collections.deque()
        self.paused_until_s = float("-inf")
        self.is_cut_off = False
        """Whether it reaches no leader."""
        self.sequence = itertools.count(1)

    def run_when_awake(self, work: collections.abc.Callable) -> None:
        """Run work now, or when the pause of the process ends."""
        wait_s = self.paused_until_s - self.world.now_s
        if wait_s > 0:
            self.world.after(wait_s, lambda: self.run_when_awake(work))
        else:
            work()

    def receive(self, view: messages.GatewayView, leader: Leader) -> None:
        self.run_when_awake(lambda: self._receive(view, leader))

    def _receive(self, view: messages.GatewayView, leader: Leader) -> None:
        if self.is_cut_off or leader is not self.leader:
            return
        held = {
            name: each.view for name, each in self.candidates.by_backend.items()
        }
        self.admission.cold.apply_view(view)
        # Unchanged servers are not sent again.
        backends = [
            held[each.backend] if held.get(each.backend) == each else each
            for each in view.backends or ()
        ]
        if backends != list(held.values()):
            self.candidates.update(backends)
        self.dispatch()

    def report(self) -> None:
        self.run_when_awake(self._report)

    def _report(self) -> None:
        if self.is_cut_off:
            return
        now_s = self.world.now_s
        report = messages.GatewayReport(
            gateway=self.name,
            data_centre="a",
            sequence=next(self.sequence),
            version=1,
            requests=0,
            heads=tuple(
                each.report(now_s)
                for each in self.candidates.by_backend.values()
            ),
        )
        # Admission's own queue needs an event loop.
        waiting = self.admission.waiting
        waiting[:] = [_Waiting(self.demand())] * min(64, len(self.queue))
        wanted = self.admission.cold.wanted(report.sequence, self.admission)
        waiting.clear()
        report = msgspec.structs.replace(
            report,
            cold_wanted=wanted,
            limits=self.admission.cold.statements(),
        )
        leader = self.leader
        self.world.send(lambda: leader.receive(report))

    def demand(self) -> admission.Demand:
        now_s = self.world.now_s
        return admission.Demand(
            service=SERVICE,
            model="m",
            objective_s=1e3,
            deadline_s=now_s + 1e3,
            arrived_s=now_s,
        )

    def call(self) -> None:
        """Let a caller arrive."""
        self.queue.append(self.world.now_s)
        self.admission._demand_count((SERVICE, "m")).requested += 1
        self.run_when_awake(self.dispatch)

    def dispatch(self) -> None:
        """Reserve slots for waiting callers."""
        while self.queue:
            found = self.admission.try_place(self.demand())
            if found is None:
                return
            self.queue.popleft()
            self.world.after(
                self.world.random.uniform(*self.world.settings.connect_s),
                lambda found=found: self.run_when_awake(
                    lambda: self._send(found)
                ),
            )

    def _send(self, found: candidates.Candidate) -> None:
        if not self.admission.cold.may_send(found):
            found.in_flight -= 1
            self.queue.appendleft(self.world.now_s)
            return
        server = self.world.servers[found.view.backend]
        now_s = self.world.now_s
        if now_s < server.cold_until_s:
            server.sent_s.append(now_s)
        told_s = server.told_s.get(self.name, math.inf)
        server.arrivals.append(
            Arrival(now_s, self.name, told_s <= now_s - TOLD_S)
        )
        self.world.after(
            self.world.random.uniform(*self.world.settings.head_s),
            lambda: self._make_head(found, server, now_s),
        )
        self.world.after(
            self.world.settings.request_s,
            lambda: self.run_when_awake(lambda: self._finish(found)),
        )

    def _make_head(self, found, server: Server, sent_s: float) -> None:
        """Let a server make the head of its answer, which names its limit."""
        limit_per_s = server.limit_per_s
        self.world.after(
            self.world.random.uniform(*self.world.settings.head_s),
            lambda: self.run_when_awake(
                lambda: self._read_head(found, server, limit_per_s, sent_s)
            ),
        )

    def _read_head(self, found, server, limit_per_s, sent_s) -> None:
        values = [] if limit_per_s is None else [f"{limit_per_s:g}"]
        if values:
            server.told_s.setdefault(self.name, self.world.now_s)
        self.admission.cold.record_limit(found, values, sent_s)

    def _finish(self, found: candidates.Candidate) -> None:
        server = self.world.servers[found.view.backend]
        left_s = server.cold_until_s - self.world.now_s
        if left_s > 0:
            self.admission.cold.record_answer(found, str(left_s * 1000))
        found.in_flight -= 1
        self.dispatch()


class _Waiting(msgspec.Struct):
    demand: admission.Demand


class World:
    """Virtual time, and everything that happens in it."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.random = random.Random(settings.seed)
        self.now_s = 100.0
        self.events: list[tuple[float, int, collections.abc.Callable]] = []
        self.count = itertools.count()
        self.servers: dict[str, Server] = {
            f"s-{n}": Server(f"s-{n}") for n in range(settings.servers)
        }
        self.gateways: dict[str, Gateway] = {}
        self.leaders: list[Leader] = []
        self.start_leader()
        rates = settings.callers_per_s
        for n in range(settings.gateways):
            name = f"gw-{n}"
            rate = rates[min(n, len(rates) - 1)]
            gateway = Gateway(self, name, rate)
            self.gateways[name] = gateway
            self.every(INTERVAL_S, gateway.report)
            self.every(REVIEW_S, lambda g=gateway: g.run_when_awake(g.dispatch))
            if rate:
                self.after(
                    self._caller_gap_s(gateway), lambda g=gateway: self._call(g)
                )
        for server in self.servers.values():
            self.every(ANNOUNCE_S, lambda s=server: self.announce(s))

    @property
    def leader(self) -> Leader:
        return self.leaders[-1]

    def clock(self) -> float:
        return self.now_s

    def start_leader(self) -> Leader:
        """Let another leader take over."""
        for each in self.leaders:
            each.is_cut_off = True
        leader = Leader(self)
        self.leaders.append(leader)
        self.every(REVIEW_S, leader.review)
        self.every(
            INTERVAL_S,
            lambda: [leader.send_view(each) for each in self.gateways],
        )
        return leader

    def after(self, wait_s: float, work: collections.abc.Callable) -> None:
        heapq.heappush(
            self.events, (self.now_s + wait_s, next(self.count), work)
        )

    def every(self, interval_s: float, work: collections.abc.Callable) -> None:
        def run() -> None:
            work()
            self.after(interval_s, run)

        self.after(self.random.uniform(0.0, interval_s), run)

    def send(self, deliver: collections.abc.Callable) -> None:
        """Deliver a message after the network's delay, if it is not lost."""
        if self.random.random() >= self.settings.loss:
            self.after(self.random.uniform(*self.settings.delay_s), deliver)

    def announce(self, server: Server) -> None:
        if not server.is_up:
            return
        server.sequence += 1
        left_s = max(0.0, server.cold_until_s - self.now_s)
        announcement = fleet.Announcement(
            backend=server.name,
            born_ms=server.born_ms,
            sequence=server.sequence,
            service=SERVICE,
            address=server.name,
            data_centre="a",
            state=fleet.BackendState.READY,
            cold_ms=round(left_s * 1000) if server.announces_cold else 0,
        )
        for leader in self.leaders:
            self.send(
                lambda leader=leader: leader.fleet.announce(
                    announcement, self.now_s
                )
            )

    def restart(self, server: Server, cold_s: float) -> None:
        """Start a new lifetime of a server, which is cold."""
        server.is_up = True
        server.born_ms += 1
        server.cold_until_s = self.now_s + cold_s
        self.announce(server)

    def run(self, duration_s: float) -> None:
        """Let time pass."""
        end_s = self.now_s + duration_s
        while self.events and self.events[0][0] <= end_s:
            self.now_s, _, work = heapq.heappop(self.events)
            work()
        self.now_s = end_s

    def most_in_a_second(self) -> int:
        """Return the most requests to one cold server in any second."""
        most = 0
        for server in self.servers.values():
            window: collections.deque[float] = collections.deque()
            for sent_s in sorted(server.sent_s):
                window.append(sent_s)
                while window[0] < sent_s - 1.0:
                    window.popleft()
                most = max(most, len(window))
        return most

    def used_fraction(self, since_s: float, until_s: float) -> float:
        """Return the used part of the rate of all servers."""
        sent = sum(
            since_s <= sent_s < until_s
            for server in self.servers.values()
            for sent_s in server.sent_s
        )
        return sent / (PER_S * len(self.servers) * (until_s - since_s))

    def _caller_gap_s(self, gateway: Gateway) -> float:
        return gateway.caller_random.expovariate(gateway.callers_per_s)

    def _call(self, gateway: Gateway) -> None:
        gateway.call()
        self.after(self._caller_gap_s(gateway), lambda: self._call(gateway))
