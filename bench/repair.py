"""Measures the placement policies on seeded failure traces.

Drives `placement.plan` in virtual time. A trace holds losses and returns of
VMs, an outage of a fabric domain, second losses shortly after a first,
flapping VMs and stragglers. Loads share a rate-limited weight store.

    PYTHONPATH=src .venv/bin/python -m bench.repair --seeds 10
"""

import argparse
import collections.abc
import enum
import heapq
import itertools
import random
import time

import msgspec

from bench import report
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.version import placement
from flamingocleat.version import schema

DURATION_S = 4 * 3600
ACCELERATORS = 8
DETECTION_S = 1.5
"""Time until control detects that an agent's session is silent."""
READY_S = 2.0
"""Time from an assignment until its group is ready.

It covers commit, delivery and the wait of 1.25 s.
"""
LOAD_S = 60.0
"""Time to load the weights of one VM at the store's full speed."""
STORE_STREAMS = 4
"""Concurrent loads at full speed; a larger number shares the store's rate."""
STRAGGLER_DETECTION_S = 10.0
STRAGGLER_RATE = 0.5
"""Rate of a group with a straggler, which thus counts as half down."""
POLICIES = ("none", "greedy", "weighted")


class Size(msgspec.Struct, frozen=True):
    """Size of one operator's deployment."""

    name: str
    data_centres: tuple[str, ...]
    groups: tuple[tuple[int, int], ...]
    """Replicas and VMs per replica of each model group."""
    domains_per_data_centre: int
    vms_per_domain: int


SIZES = (
    Size(
        "kontejnery", ("praha-a", "praha-b", "kladno"), ((16, 4), (8, 2)), 2, 15
    ),
    Size("gangwon", ("chuncheon", "wonju", "gangneung"), ((24, 3),), 2, 14),
)
WEIGHTINGS = ((3.0, 1.0), (1.0, 3.0))


class Kind(enum.Enum):
    """Kind of an event in a trace."""

    CRASH = "crash"
    """The VM fails and loses the weights in memory."""
    RESTART = "restart"
    """Only the agent fails; the engine keeps its weights."""
    RETURN = "return"
    SLOW = "slow"
    FAST = "fast"


class Event(msgspec.Struct, frozen=True, order=True):
    """An event of a trace, ordered by time and number."""

    at_s: float
    number: int
    vm: str
    kind: str


class Vm(msgspec.Struct):
    """State of a simulated VM."""

    name: str
    data_centre: str
    domain: str
    alive: bool = True
    incarnation: int = 1
    alive_since_s: float = 0.0
    """When it last started."""
    model: str = ""
    """The model whose weights are loaded, if any."""
    losses_s: list[float] = []
    slow: bool = False
    slow_s: float = 0.0
    """When `slow` last changed."""
    loss_detected_s: float = 0.0
    """When control detects its last loss."""


class Load(msgspec.Struct):
    """A load of weights in progress."""

    vm: str
    incarnation: int
    model: str
    left_s: float = LOAD_S


class Result(msgspec.Struct, frozen=True):
    """Totals of one run."""

    downtime_group_s: float
    stranded_accelerator_s: float
    plans: int
    plan_ms: float


class Row(msgspec.Struct, frozen=True):
    """One policy under one weighting, over all seeds."""

    size: str
    downtime_weight: float
    stranded_weight: float
    policy: str
    downtime_group_s: report.Spread
    stranded_accelerator_s: report.Spread
    plan_ms: report.Spread
    runs: tuple[Result, ...]


def configuration(
    size: Size, downtime_weight: float, stranded_weight: float
) -> schema.Configuration:
    """Return the configuration of one operator's model service."""
    service = ids.ServiceId("llm")
    centres = tuple(ids.DataCentreId(name) for name in size.data_centres)
    return schema.Configuration(
        operator=size.name,
        data_centres=tuple(
            schema.DataCentre(name=name, region="region") for name in centres
        ),
        services=(schema.Service(name=service, kind=schema.ServiceKind.MODEL),),
        model_groups=tuple(
            schema.ModelGroup(
                name=f"llm-{vms}",
                service=service,
                model=f"model-{vms}",
                model_version="1",
                vms_per_replica=vms,
                replicas=replicas,
                data_centres=centres,
                spares=1,
            )
            for replicas, vms in size.groups
        ),
        policy=schema.Policy(
            downtime_weight=downtime_weight, stranded_weight=stranded_weight
        ),
    )


def fleet(size: Size) -> dict[str, Vm]:
    """Return the VMs of one operator, by name."""
    vms = {}
    for centre in size.data_centres:
        for rack in range(size.domains_per_data_centre):
            for number in range(size.vms_per_domain):
                name = f"{centre}-{rack}-{number:02}"
                vms[name] = Vm(name, centre, f"{centre}-{rack}")
    return vms


def trace(vms: dict[str, Vm], seed: int) -> list[Event]:
    """Return the events of one run, ordered by time."""
    rng = random.Random(seed)
    names = sorted(vms)
    domains = sorted({vm.domain for vm in vms.values()})
    events: list[Event] = []
    counter = itertools.count()

    def add(at_s: float, vm: str, kind: Kind) -> None:
        events.append(Event(at_s, next(counter), vm, kind.value))

    def lose(at_s: float, vm: str) -> None:
        if rng.random() < 0.5:
            add(at_s, vm, Kind.RESTART)
            add(at_s + rng.uniform(5, 20), vm, Kind.RETURN)
        else:
            add(at_s, vm, Kind.CRASH)
            add(at_s + rng.uniform(60, 600), vm, Kind.RETURN)

    def domain_vms(domain: str) -> list[str]:
        return [name for name in names if vms[name].domain == domain]

    at_s = 0.0
    while (at_s := at_s + rng.expovariate(1 / 360)) < DURATION_S:
        first = rng.choice(names)
        lose(at_s, first)
        if rng.random() < 0.4:
            second = rng.choice(domain_vms(vms[first].domain))
            lose(at_s + rng.uniform(5, 60), second)
    for flapping in rng.sample(names, 2):
        at_s = rng.uniform(0, DURATION_S / 2)
        end_s = at_s + 1800
        while at_s < end_s:
            add(at_s, flapping, Kind.RESTART)
            add(at_s + rng.uniform(5, 20), flapping, Kind.RETURN)
            at_s += rng.uniform(40, 120)
    for slow in rng.sample(names, 3):
        at_s = rng.uniform(0, DURATION_S)
        add(at_s, slow, Kind.SLOW)
        add(at_s + 1200, slow, Kind.FAST)
    at_s = rng.uniform(600, DURATION_S - 3600)
    outage_s = rng.uniform(900, 1800)
    for name in domain_vms(rng.choice(domains)):
        add(at_s, name, Kind.CRASH)
        add(at_s + outage_s + rng.uniform(0, 60), name, Kind.RETURN)
    return sorted(events)


class Simulation:
    """Applies a trace and the plans of one policy, in virtual time."""

    def __init__(
        self,
        policy: str,
        settings: schema.Configuration,
        vms: dict[str, Vm],
        events: list[Event],
    ) -> None:
        self.policy = policy
        self.settings = settings
        self.vms = vms
        self.events = events
        self.now_s = 0.0
        self.groups: dict[ids.GroupId, messages.Assignment] = {}
        self.ready_s: dict[ids.GroupId, float] = {}
        self.loads: dict[str, Load] = {}
        self.preloads: dict[str, str] = {}
        self.history = placement.History(loads_at_once=STORE_STREAMS)
        self.wakeups: list[float] = []
        self.fence = 0
        self.downtime = 0.0
        self.stranded = 0.0
        self.plans = 0
        self.plan_s = 0.0
        self.targets = sum(g.replicas for g in settings.model_groups)

    def run(self) -> Result:
        """Return the totals of the whole trace."""
        self._start()
        pending = list(self.events)
        heapq.heapify(pending)
        while self.now_s < DURATION_S:
            until_s = min(
                [
                    DURATION_S,
                    *(event.at_s for event in pending[:1]),
                    *self.wakeups[:1],
                    self.now_s + self._next_load_s(),
                    *(at for at in self.ready_s.values() if at > self.now_s),
                ]
            )
            self._advance(until_s)
            changed = self._finish_loads()
            while self.wakeups and self.wakeups[0] <= self.now_s:
                heapq.heappop(self.wakeups)
                changed = True
            while pending and pending[0].at_s <= self.now_s:
                changed |= self._apply(heapq.heappop(pending))
            if changed:
                self._plan()
        return Result(
            downtime_group_s=self.downtime,
            stranded_accelerator_s=self.stranded,
            plans=self.plans,
            plan_ms=1000 * self.plan_s / max(1, self.plans),
        )

    def _start(self) -> None:
        """Form all groups with weights loaded, the same for each policy."""
        plan = placement.plan("greedy", self.settings, self._views(), (), 0.0)
        for new in plan.assignments:
            self._assign(new)
            for member in new.members:
                self.vms[member.vm].model = f"{new.model}@{new.model_version}"
        self.ready_s = dict.fromkeys(self.groups, 0.0)
        self._plan()

    def _views(self) -> list[placement.VmView]:
        return [
            placement.VmView(
                vm=ids.VmId(vm.name),
                incarnation=ids.Incarnation(f"{vm.name}#{vm.incarnation}"),
                address="",
                data_centre=ids.DataCentreId(vm.data_centre),
                fabric_domain=ids.FabricDomainId(vm.domain),
                accelerators=ACCELERATORS,
                loaded=(vm.model,) if vm.model else (),
                alive_since_s=vm.alive_since_s,
                losses_s=tuple(vm.losses_s),
                straggler=vm.slow
                and self.now_s >= vm.slow_s + STRAGGLER_DETECTION_S,
            )
            for vm in self.vms.values()
            # Control sees a lost VM as alive until it detects the loss.
            if vm.alive or self.now_s < vm.loss_detected_s
        ]

    def _plan(self) -> None:
        views = self._views()
        start_s = time.perf_counter()
        plan = placement.plan(
            self.policy,
            self.settings,
            views,
            self.groups.values(),
            self.now_s,
            self.history,
        )
        self.plan_s += time.perf_counter() - start_s
        self.plans += 1
        self.history = plan.history
        for group in plan.released:
            self.groups.pop(group, None)
            self.ready_s.pop(group, None)
        for new in plan.assignments:
            self._assign(new)
        self.preloads = {order.vm: order.model for order in plan.preloads}
        self._start_loads()
        if plan.replan_at_s is not None and plan.replan_at_s > self.now_s:
            heapq.heappush(self.wakeups, plan.replan_at_s)

    def _assign(self, new: placement.NewAssignment) -> None:
        self.fence += 1
        self.groups[new.group] = messages.Assignment(
            new.group,
            ids.FencingNumber(self.fence),
            new.service,
            new.model,
            new.model_version,
            new.members,
        )
        self.ready_s[new.group] = self.now_s + READY_S

    def _start_loads(self) -> None:
        wanted = dict(self.preloads)
        for assignment in self.groups.values():
            model = f"{assignment.model}@{assignment.model_version}"
            for member in assignment.members:
                if self._is_member(member):
                    wanted[member.vm] = model
        for name, model in wanted.items():
            vm = self.vms[name]
            load = self.loads.get(name)
            if not vm.alive or vm.model == model:
                continue
            if load is None or load.model != model:
                # An engine holds one model; a load replaces it.
                vm.model = ""
                self.loads[name] = Load(name, vm.incarnation, model)

    def _is_member(self, member: messages.Member) -> bool:
        vm = self.vms[member.vm]
        return member.incarnation == f"{vm.name}#{vm.incarnation}" and vm.alive

    def _load_rate(self) -> float:
        return min(1.0, STORE_STREAMS / max(1, len(self.loads)))

    def _next_load_s(self) -> float:
        shortest = min(
            (load.left_s for load in self.loads.values()), default=9e9
        )
        return shortest / self._load_rate()

    def _finish_loads(self) -> bool:
        done = [load for load in self.loads.values() if load.left_s <= 1e-6]
        for load in done:
            del self.loads[load.vm]
            self.vms[load.vm].model = load.model
        return bool(done)

    def _apply(self, event: Event) -> bool:
        """Apply one event; return whether control sees a change now."""
        vm = self.vms[event.vm]
        kind = Kind(event.kind)
        if kind in (Kind.CRASH, Kind.RESTART):
            if not vm.alive:
                return False
            vm.alive = False
            vm.loss_detected_s = self.now_s + DETECTION_S
            vm.losses_s = [*vm.losses_s, self.now_s]
            heapq.heappush(self.wakeups, vm.loss_detected_s)
            if kind is Kind.CRASH:
                vm.model = ""
                self.loads.pop(vm.name, None)
            return False
        if kind is Kind.RETURN:
            if vm.alive:
                return False
            vm.alive = True
            vm.incarnation += 1
            vm.alive_since_s = self.now_s
            return True
        vm.slow = kind is Kind.SLOW
        vm.slow_s = self.now_s
        heapq.heappush(self.wakeups, self.now_s + STRAGGLER_DETECTION_S)
        return True

    def _advance(self, until_s: float) -> None:
        """Advance the time and add to downtime and stranded accelerators."""
        passed_s = until_s - self.now_s
        serving_vms = 0
        serving = 0.0
        for group, assignment in self.groups.items():
            if self._serves(group, assignment):
                slow = any(self.vms[m.vm].slow for m in assignment.members)
                serving += STRAGGLER_RATE if slow else 1.0
                serving_vms += len(assignment.members)
        alive = sum(vm.alive for vm in self.vms.values())
        self.downtime += passed_s * (self.targets - serving)
        self.stranded += passed_s * ACCELERATORS * (alive - serving_vms)
        rate = self._load_rate()
        for load in self.loads.values():
            load.left_s -= passed_s * rate
        self.now_s = until_s

    def _serves(
        self, group: ids.GroupId, assignment: messages.Assignment
    ) -> bool:
        model = f"{assignment.model}@{assignment.model_version}"
        return self.ready_s[group] <= self.now_s and all(
            self._is_member(member) and self.vms[member.vm].model == model
            for member in assignment.members
        )


def measure(
    size: Size,
    weights: tuple[float, float],
    policy: str,
    seeds: collections.abc.Sequence[int],
) -> Row:
    """Run one policy over all seeds."""
    runs = []
    for seed in seeds:
        vms = fleet(size)
        events = trace(vms, seed)
        settings = configuration(size, *weights)
        runs.append(Simulation(policy, settings, vms, events).run())
    return Row(
        size=size.name,
        downtime_weight=weights[0],
        stranded_weight=weights[1],
        policy=policy,
        downtime_group_s=report.spread([r.downtime_group_s for r in runs]),
        stranded_accelerator_s=report.spread(
            [r.stranded_accelerator_s for r in runs]
        ),
        plan_ms=report.spread([r.plan_ms for r in runs]),
        runs=tuple(runs),
    )


def seeds_ahead(rows: list[Row]) -> list[str]:
    """Report on how many seeds `weighted` is below both other policies."""
    lines = []
    for none, greedy, weighted in zip(
        rows[::3], rows[1::3], rows[2::3], strict=True
    ):
        downtime = sum(
            w.downtime_group_s < min(n.downtime_group_s, g.downtime_group_s)
            for n, g, w in zip(
                none.runs, greedy.runs, weighted.runs, strict=True
            )
        )
        stranded = sum(
            w.stranded_accelerator_s
            < min(n.stranded_accelerator_s, g.stranded_accelerator_s)
            for n, g, w in zip(
                none.runs, greedy.runs, weighted.runs, strict=True
            )
        )
        lines.append(
            f"{weighted.size} {weighted.downtime_weight:g}:"
            f"{weighted.stranded_weight:g}: "
            f"weighted ahead of both on {downtime} of "
            f"{len(weighted.runs)} seeds in downtime, "
            f"on {stranded} in stranded accelerators"
        )
    return lines


def plan_cost(replicas: int, calls: int = 20) -> tuple[float, float, float]:
    """Return ms per call: all VMs alive, one lost, and a data centre lost."""
    size = Size("cost", ("a", "b", "c"), ((replicas, 4),), 8, 0)
    per_domain = -(-replicas * 4 // 24) + 4
    size = msgspec.structs.replace(size, vms_per_domain=per_domain)
    simulation = Simulation(
        "weighted", configuration(size, 3, 1), fleet(size), []
    )
    simulation._start()
    for vm in simulation.vms.values():
        vm.model = vm.model or "model-4@1"
    lost = simulation.vms["a-0-00"]
    return (
        _plan_ms(simulation, calls),
        _plan_ms(simulation, calls, lambda vm: vm is lost),
        _plan_ms(simulation, calls, lambda vm: vm.data_centre == "a"),
    )


def _plan_ms(
    simulation: Simulation,
    calls: int,
    dead: collections.abc.Callable[[Vm], bool] = lambda vm: False,
) -> float:
    for vm in simulation.vms.values():
        vm.alive = not dead(vm)
    views = simulation._views()
    start_s = time.perf_counter()
    for _ in range(calls):
        placement.plan(
            "weighted",
            simulation.settings,
            views,
            simulation.groups.values(),
            0.0,
            simulation.history,
        )
    return 1000 * (time.perf_counter() - start_s) / calls


def main() -> None:
    """Print a table for each operator and weighting."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--json", default="")
    arguments = parser.parse_args()
    seeds = range(1, arguments.seeds + 1)
    rows = [
        measure(size, weights, policy, seeds)
        for size in SIZES
        for weights in WEIGHTINGS
        for policy in POLICIES
    ]
    print(f"seeds 1..{arguments.seeds}, {DURATION_S} s each")
    print(
        report.table(
            (
                "operator",
                "downtime:stranded",
                "policy",
                "group downtime, group-s",
                "stranded, accelerator-s",
                "ms per plan",
            ),
            [
                (
                    row.size,
                    f"{row.downtime_weight:g}:{row.stranded_weight:g}",
                    row.policy,
                    row.downtime_group_s,
                    row.stranded_accelerator_s,
                    row.plan_ms,
                )
                for row in rows
            ],
        )
    )
    print("\n".join(seeds_ahead(rows)))
    for replicas in (24, 1000):
        all_alive, one_lost, centre_lost = plan_cost(replicas)
        print(
            f"plan, {replicas} replicas of 4 VMs, ms per call: "
            f"all whole {all_alive:.2f}, one VM lost {one_lost:.2f}, "
            f"a third of the VMs lost {centre_lost:.2f}"
        )
    report.write(arguments.json, rows)


if __name__ == "__main__":
    main()
