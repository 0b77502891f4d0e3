"""Measures the formation of model groups on seeded losses of VMs.

Drives the code that forms and closes groups in virtual time and counts the
requests that are served and refused. The VMs are those of the tests; requests
are a continuous flow that the heads serve at the rate of the engine's cost
model. Run with --policy nothing, greedy, ours.
"""

import argparse
import collections
import collections.abc
import random
import statistics

import msgspec

from flamingocleat import messages
from flamingocleat.version import catalog
from flamingocleat.version import demand
from flamingocleat.version import group as group_module
from flamingocleat.version import groups
from flamingocleat.version import orders
from flamingocleat.version import service_survey
from tests.direct import vms

WARM_UP_S = 12.0
DURATION_S = 34.0
WARM_UP_LOAD_SPEEDUP = 8.0
"""Factor by which loads are faster during the warm-up."""
DETECTION_S = 0.6
"""Time from a loss until it is detected, from runs on the users' platform."""
RETRY_FRACTION = 0.6
RETRY_DELAY_S = 1.5
"""Fraction of the refused callers that retry once, and their delay."""
REPLACEMENT_S = 9.0
"""Time until an empty VM replaces one that is lost for good."""
DOMAIN_OUTAGE_S = 7.2
"""How long the VMs of a failed domain are down; staged weights survive."""
COLUMNS = (
    "policy",
    "served",
    "missing, group-s",
    "idle, VM-s",
    "refused large",
    "refused small",
)


class Shape(msgspec.Struct, frozen=True, kw_only=True):
    """VMs, engine and load of a simulated deployment."""

    name: str
    vms: int
    domains: int
    engine: catalog.Engine
    requests_per_s: dict[str, float]
    """By kind of request."""
    kinds: dict[str, tuple[str, int]] = msgspec.field(default_factory=dict)
    """Model and priority by kind; a kind that is missing here is a model."""
    prompt_tokens: dict[str, float]
    """By model, as are the answers' tokens."""
    answer_tokens: dict[str, float]
    burst_kind: str = ""
    """Kind whose requests come in a burst while a domain is lost."""
    losses_of_vms: bool = True
    """Whether single VMs are lost as well."""

    def kind(self, name: str) -> tuple[str, int]:
        """Return the model and priority of a kind."""
        return self.kinds.get(name, (name, demand.DEFAULT_PRIORITY))


_ENGINE = vms.ENGINE
SMALL = Shape(
    name="small",
    vms=24,
    domains=3,
    engine=_ENGINE,
    requests_per_s={"large": 15.0, "small": 29.0},
    prompt_tokens={"large": 1600.0, "small": 714.0},
    answer_tokens={"large": 75.0, "small": 93.0},
)
GROWN = Shape(
    name="grown",
    vms=57,
    domains=3,
    engine=msgspec.structs.replace(
        _ENGINE,
        loads_at_once=7,
        models=(
            catalog.Model("large", 8, 0.5, 1.0, 16.0, 1.6),
            catalog.Model("small", 4, 0.5, 0.6, 12.0, 1.1),
        ),
    ),
    requests_per_s={"large": 12.0, "small": 48.0},
    prompt_tokens={"large": 1600.0, "small": 714.0},
    answer_tokens={"large": 70.0, "small": 93.0},
)
HARD_F = Shape(
    name="hard-f",
    vms=111,
    domains=3,
    engine=msgspec.structs.replace(
        _ENGINE,
        loads_at_once=7,
        models=(
            catalog.Model("large", 16, 0.6, 1.0, 16.0, 1.6),
            catalog.Model("small", 4, 0.4, 0.6, 12.0, 1.1),
        ),
    ),
    requests_per_s={"large": 7.18, "small": 150.0, "large, last": 4.12},
    kinds={"small": ("small", 0), "large, last": ("large", 2)},
    prompt_tokens={"large": 1600.0, "small": 714.0},
    answer_tokens={"large": 75.0, "small": 93.0},
    burst_kind="small",
    losses_of_vms=False,
)
HARD_H = Shape(
    name="hard-h",
    vms=81,
    domains=3,
    engine=msgspec.structs.replace(
        _ENGINE,
        loads_at_once=7,
        models=(
            catalog.Model("large", 12, 0.5, 1.0, 16.0, 1.6),
            catalog.Model("small", 6, 0.5, 0.6, 12.0, 1.1),
        ),
    ),
    requests_per_s={"large": 11.2, "small": 69.2},
    prompt_tokens={"large": 1600.0, "small": 714.0},
    answer_tokens={"large": 75.0, "small": 93.0},
    burst_kind="small",
    losses_of_vms=False,
)
SHAPES = {shape.name: shape for shape in (SMALL, GROWN, HARD_F, HARD_H)}


class Burst(msgspec.Struct, frozen=True):
    """Time in which a kind of requests comes more often."""

    begin_s: float
    end_s: float
    factor: float


def burst(shape: Shape, seed: int) -> Burst:
    """Return a run's burst, which begins about when a domain is lost."""
    if not shape.burst_kind:
        return Burst(0.0, 0.0, 1.0)
    outage_s = next(
        each.at_s
        for each in trace(shape, seed, domain_outage=True)
        if each.whole_domain
    )
    rng = random.Random(f"burst {seed}")
    begin_s = outage_s + rng.uniform(-2.0, 3.0)
    return Burst(
        begin_s, begin_s + rng.uniform(3.5, 6.0), rng.uniform(1.5, 2.4)
    )


class Loss(msgspec.Struct, frozen=True):
    """Loss of one VM of a domain, or of all of them."""

    at_s: float
    domain: int
    whole_domain: bool = False


class Result(msgspec.Struct):
    """Totals of one run."""

    offered: float = 0.0
    """Requests of callers, without their retries."""
    placed: float = 0.0
    """Requests that a group admitted, at once or on the retry."""
    missing_group_s: float = 0.0
    """Groups missing, compared with the end of the warm-up, times seconds."""
    idle_vm_s: float = 0.0
    """Seconds that VMs with weights spent in no group that serves or will."""
    refused_by_model: collections.Counter[str] = msgspec.field(
        default_factory=collections.Counter
    )
    """Refused attempts, retries included, by model."""
    offered_by_kind: collections.Counter[str] = msgspec.field(
        default_factory=collections.Counter
    )
    placed_by_kind: collections.Counter[str] = msgspec.field(
        default_factory=collections.Counter
    )

    @property
    def served(self) -> float:
        """Fraction of the requests admitted, at once or on the retry."""
        return self.placed / self.offered


def trace(shape: Shape, seed: int, *, domain_outage: bool) -> list[Loss]:
    """Return the losses of a run.

    One VM is lost about every three seconds, and with domain_outage, a whole
    domain once.
    """
    rng = random.Random(seed)
    losses = []
    at_s = 2.5
    number = rng.randrange(shape.domains)
    while shape.losses_of_vms and at_s < DURATION_S - 5:
        losses.append(Loss(at_s, number % shape.domains))
        number += 1
        at_s += rng.uniform(2.4, 3.6)
    if domain_outage:
        domain = rng.randrange(shape.domains)
        losses.append(Loss(rng.uniform(8, 18), domain, True))
    return sorted(losses, key=lambda each: each.at_s)


class Simulation(vms.Simulation):
    """One run; concurrent loads share the rate of the weight store."""

    def __init__(
        self,
        shape: Shape,
        seed: int,
        manager: type[groups.GroupManager],
        losses: list[Loss],
    ) -> None:
        self.manager_class = manager
        self.shape = shape
        super().__init__(shape.vms, seed)
        self.losses = list(losses)
        self.loading: dict[str, list] = {}
        """Model and remaining seconds of each load, by VM."""
        self.lost_at_s: dict[str, float] = {}
        self.restarts: list[tuple[float, vms.Vm]] = []
        self.requests: dict[str, tuple[str, float]] = {}
        """Model and number of requests in flight, by group."""
        self.retries: list[tuple[float, str, float]] = []
        """Time, kind and amount."""
        self.burst = burst(shape, seed)
        self.demand = demand.DemandTotals()
        self.attempts: dict[str, list[float]] = {
            kind: [0.0, 0.0] for kind in shape.requests_per_s
        }
        """Requested and refused attempts by kind."""
        self.result = Result()
        self.start_s = 0.0
        self.initial_groups: collections.Counter[str] = collections.Counter()
        """Number of groups of each model at the end of the warm-up."""

    def make_manager(self, term: int) -> groups.GroupManager:
        manager = self.manager_class(vms.SETTINGS, "llm", self.fleet, term)
        manager.engine = self.shape.engine
        return manager

    def simulate(self) -> Result:
        """Run the warm-up and the losses; return the totals."""
        self.run(WARM_UP_S)
        self.manager.has_traffic = True
        self.start_s = self.now_s
        self.initial_groups = collections.Counter(
            group.model for group in self._serving_groups()
        )
        self.run(DURATION_S)
        return self.result

    def tick(self) -> None:
        super().tick()
        self._advance_loads()
        if not self.start_s:
            return
        elapsed_s = self.now_s - self.start_s
        while self.losses and self.losses[0].at_s <= elapsed_s:
            self._apply_loss(self.losses.pop(0))
        for due in [d for d in self.restarts if d[0] <= self.now_s]:
            self.restarts.remove(due)
            self._start_vm(due[1])
        self._serve_requests()
        self._record_totals()

    # Simulated VMs.

    def apply_order(self, order: orders.Order) -> None:
        vm = self.vms[order.backend]
        if order.op is orders.Op.STAGE:
            if vm.alive and vm.backend not in self.loading:
                model = self.shape.engine.find_model(order.model)
                self.loading[vm.backend] = [order.model, model.load_s]
            return
        super().apply_order(order)

    def _advance_loads(self) -> None:
        if not self.loading:
            return
        at_once = self.shape.engine.loads_at_once
        pace = min(1.0, at_once / len(self.loading))
        if not self.start_s:
            pace = WARM_UP_LOAD_SPEEDUP
        for backend, load in list(self.loading.items()):
            vm = self.vms[backend]
            load[1] -= vms.TICK_S * pace
            if not vm.alive:
                del self.loading[backend]
            elif load[1] <= 0:
                vm.staged = (load[0],)
                del self.loading[backend]
                self.announce(vm)

    def _apply_loss(self, loss: Loss) -> None:
        domain = f"domain-{loss.domain}"
        alive = [
            vm for vm in self.vms.values() if vm.alive and vm.domain == domain
        ]
        if loss.whole_domain:
            for vm in alive:
                self._stop_vm(vm)
                self.restarts.append((self.now_s + DOMAIN_OUTAGE_S, vm))
            return
        joined = [vm for vm in alive if not vm.serves_no_group()] or alive
        if joined:
            lost = self.random.choice(joined)
            self._stop_vm(lost)
            number = len(self.vms)
            replacement = vms.Vm(number, domain)
            replacement.alive = False
            self.vms[replacement.backend] = replacement
            self.restarts.append((self.now_s + REPLACEMENT_S, replacement))

    def _stop_vm(self, vm: vms.Vm) -> None:
        vm.alive = False
        self.lost_at_s[vm.backend] = self.now_s
        vm.group = None
        vm.members = ()
        vm.model = ""
        vm.state = vms.STATE.JOINING
        vm.stalled_s = vm.opens_s = None

    def _start_vm(self, vm: vms.Vm) -> None:
        vm.alive = True
        vm.born_ms += 1
        vm.sequence = 0
        vm.last_group = None
        self.lost_at_s.pop(vm.backend, None)
        self.announce(vm)

    def _probe(self) -> None:
        super()._probe()
        for backend, lost_at_s in self.lost_at_s.items():
            if self.now_s - lost_at_s < DETECTION_S:
                evidence = self.manager.evidence_of(backend)
                evidence.silent_s = None
                evidence.served_s = lost_at_s
                evidence.suspected_s = float("-inf")

    # Simulated requests.

    def rate_per_s(self, group: group_module.Group, in_flight: float) -> float:
        """Return how many requests a group finishes per second."""
        engine = self.shape.engine
        if in_flight <= 0:
            return 0.0
        step_ms = engine.step_ms / in_flight + engine.sequence_ms
        each_s = (
            self.shape.prompt_tokens[group.model] / engine.read_per_s
            + self.shape.answer_tokens[group.model] * step_ms / 1000
        )
        return 1 / (each_s * self.manager.pace(group))

    def _serve_requests(self) -> None:
        serving = {group.name: group for group in self._serving_groups()}
        moved: collections.Counter[str] = collections.Counter()
        for name, (model, in_flight) in list(self.requests.items()):
            if name not in serving:
                moved[model] += in_flight
                del self.requests[name]
        for group in serving.values():
            in_flight = self.in_flight(group)
            ended = self.rate_per_s(group, in_flight) * vms.TICK_S
            self.requests[group.name] = group.model, max(0.0, in_flight - ended)
        # Each model has a kind of its own name.
        offered = collections.Counter(moved)
        elapsed_s = self.now_s - self.start_s
        for name, per_s in self.shape.requests_per_s.items():
            if (
                name == self.shape.burst_kind
                and self.burst.begin_s <= elapsed_s < self.burst.end_s
            ):
                per_s *= self.burst.factor
            offered[name] += per_s * vms.TICK_S
            self.result.offered += per_s * vms.TICK_S
            self.result.offered_by_kind[name] += per_s * vms.TICK_S
        for due in [r for r in self.retries if r[0] <= self.now_s]:
            self.retries.remove(due)
            self._place(serving, due[1], due[2], is_retry=True)
        by_priority = sorted(offered, key=lambda kind: self.shape.kind(kind)[1])
        for name in by_priority:
            amount = offered[name]
            # Requests of an ended group were placed before: count them once.
            self.result.placed -= moved[name]
            self.result.placed_by_kind[name] -= moved[name]
            self._place(serving, name, amount)
        self.manager.in_flight = {
            group.head: round(self.in_flight(group))
            for group in serving.values()
        }
        self._report_demand()

    def _report_demand(self) -> None:
        """Give the manager the rates that gateways would report."""
        totals = collections.defaultdict(list)
        for kind, (requested, refused) in self.attempts.items():
            model, priority = self.shape.kind(kind)
            totals[model].append(
                messages.PriorityDemand(
                    priority, round(requested), round(refused), 0
                )
            )
        report = messages.GatewayReport(
            gateway="gateway",
            data_centre="a",
            sequence=0,
            version=0,
            requests=0,
            demand=tuple(
                messages.ModelDemand("llm", model, 0, 0, tuple(counts))
                for model, counts in totals.items()
            ),
        )
        self.demand.record(report, self.now_s)
        self.manager.demand = self.demand.rates("llm", self.now_s)

    def in_flight(self, group: group_module.Group) -> float:
        """Return the number of requests in flight in a group."""
        return self.requests.get(group.name, ("", 0.0))[1]

    def _serving_groups(self) -> list[group_module.Group]:
        """Return the groups that serve, open or closing."""
        return [
            group
            for group in self.manager.groups.values()
            if group.phase
            in (group_module.Phase.OPEN, group_module.Phase.CLOSING)
            and self.vms[group.head].alive
            and self.vms[group.head].state is vms.STATE.OPEN
            and self.vms[group.head].stalled_s is None
        ]

    def _place(
        self,
        serving: dict[str, group_module.Group],
        name: str,
        amount: float,
        *,
        is_retry: bool = False,
    ) -> None:
        model = self.shape.kind(name)[0]
        self.attempts[name][0] += amount
        open_groups = [
            group
            for group in serving.values()
            if group.model == model and group.phase is group_module.Phase.OPEN
        ]
        while amount > 1e-9 and open_groups:
            best = min(
                open_groups,
                key=lambda each: (
                    self.in_flight(each) / self.manager.capacity(each)
                ),
            )
            in_flight = self.in_flight(best)
            free = self.manager.capacity(best) - in_flight
            if free <= 1e-9:
                break
            part = min(amount, free, 0.5)
            self.requests[best.name] = model, in_flight + part
            self.result.placed += part
            self.result.placed_by_kind[name] += part
            amount -= part
        if amount > 1e-9:
            self.result.refused_by_model[model] += amount
            self.attempts[name][1] += amount
            if not is_retry:
                self.retries.append(
                    (self.now_s + RETRY_DELAY_S, name, amount * RETRY_FRACTION)
                )

    def _record_totals(self) -> None:
        serving = collections.Counter(
            group.model for group in self._serving_groups()
        )
        for name, count in self.initial_groups.items():
            self.result.missing_group_s += (
                max(0, count - serving[name]) * vms.TICK_S
            )
        busy = {
            member
            for group in self.manager.groups.values()
            if group.phase is not group_module.Phase.CLOSING
            or group in self._serving_groups()
            for member in group.members
        }
        self.result.idle_vm_s += vms.TICK_S * sum(
            vm.alive and vm.backend not in busy and bool(vm.staged or vm.model)
            for vm in self.vms.values()
        )


class NoRepair(groups.GroupManager):
    """Forms no group after the warm-up: groups wait for their own VMs."""

    def _next_group(
        self, survey: service_survey.Survey, now_s: float
    ) -> group_module.Group | None:
        if not self.has_traffic:
            return super()._next_group(survey, now_s)
        return None

    def _change_room(self, survey: service_survey.Survey, now_s: float) -> None:
        """Close no group in favour of another."""


class Greedy(NoRepair):
    """Forms groups of the first idle VMs of a domain with a model's weights."""

    def _next_group(
        self, survey: service_survey.Survey, now_s: float
    ) -> group_module.Group | None:
        if not self.has_traffic:
            return super()._next_group(survey, now_s)
        assert self.engine is not None
        for model in self.engine.models:
            for hosts in survey.idle.eligible(model, flexible=True).values():
                if len(hosts) >= model.size:
                    return self._begin(
                        survey,
                        model,
                        hosts[: model.size],
                        group_module.Phase.FORMING,
                        now_s,
                    )
        return None


POLICIES: dict[str, type[groups.GroupManager]] = {
    "nothing": NoRepair,
    "greedy": Greedy,
    "ours": groups.GroupManager,
}


def simulate(
    shape: Shape,
    seed: int,
    policy: str,
    *,
    domain_outage: bool = True,
    load: float = 1.0,
) -> Result:
    """Simulate one seeded run and return its totals.

    Args:
        shape: The deployment.
        seed: Seed of the losses and of the simulation.
        policy: A key of POLICIES.
        domain_outage: Whether a whole domain fails once.
        load: Factor on the requests of the shape.
    """
    requests = {
        name: load * per_s for name, per_s in shape.requests_per_s.items()
    }
    shape = msgspec.structs.replace(shape, requests_per_s=requests)
    losses = trace(shape, seed, domain_outage=domain_outage)
    simulation = Simulation(shape, seed, POLICIES[policy], losses)
    result = simulation.simulate()
    if simulation.violations:
        raise AssertionError(f"seed {seed}: {simulation.violations[0]}")
    return result


def _row(
    policy: str, results: collections.abc.Sequence[Result]
) -> collections.abc.Iterator[str]:
    yield policy
    for values in (
        [each.served for each in results],
        [each.missing_group_s for each in results],
        [each.idle_vm_s for each in results],
        [each.refused_by_model["large"] for each in results],
        [each.refused_by_model["small"] for each in results],
    ):
        yield f"{statistics.mean(values):.3f} +- {statistics.stdev(values):.3f}"


def main() -> None:
    """Print a table of policies over seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--shape", choices=SHAPES, default="small")
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--policy", nargs="*", default=list(POLICIES))
    parser.add_argument("--no-dark", action="store_true")
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--each", action="store_true")
    arguments = parser.parse_args()
    print(f"| {' | '.join(COLUMNS)} |")
    print("|---" * len(COLUMNS) + "|")
    for policy in arguments.policy:
        results = [
            simulate(
                SHAPES[arguments.shape],
                seed,
                policy,
                domain_outage=not arguments.no_dark,
                load=arguments.load,
            )
            for seed in range(
                arguments.first, arguments.first + arguments.seeds
            )
        ]
        print("| " + " | ".join(_row(policy, results)) + " |")
        for kind in SHAPES[arguments.shape].requests_per_s:
            served = [
                each.placed_by_kind[kind] / each.offered_by_kind[kind]
                for each in results
            ]
            print(
                f"{policy}: {kind} served {statistics.mean(served):.3f} "
                f"+- {statistics.stdev(served):.3f}, least {min(served):.3f}"
            )
        if arguments.each:
            print(" ".join(f"{each.served:.3f}" for each in results))


if __name__ == "__main__":
    main()
