"""Losses of VMs against the decisions on model groups, in virtual time.

Plays seeded days of losses through the code that decides which groups there
are, and counts what callers get. The VMs are those of the tests; requests
are a fluid that heads serve at the pace of the engine's cost model. Run with
--policy nothing, greedy, ours.
"""

import argparse
import collections
import collections.abc
import random
import statistics

import msgspec

from flamingocleat.version import catalog
from flamingocleat.version import group as group_module
from flamingocleat.version import groups
from flamingocleat.version import orders
from flamingocleat.version import survey as survey_module
from tests.direct import vms

WARM_UP_S = 12.0
DAY_S = 34.0
WARM_UP_PACE = 8.0
"""How much faster loads are before the day begins."""
NOTICE_S = 0.6
"""Time from a loss until it is noticed, from runs on the users' platform."""
RETURN_PART = 0.6
RETURN_S = 1.5
"""Part of the refused callers that return once, and after which time."""
REPLACED_S = 9.0
"""Time until an empty VM takes the place of one that is lost for good."""
DARK_S = 7.2
"""How long the VMs of a dark domain are away; they keep what was staged."""
COLUMNS = (
    "policy",
    "served",
    "missing, group-s",
    "idle, VM-s",
    "refused large",
    "refused small",
)


class Shape(msgspec.Struct, frozen=True, kw_only=True):
    """A deployment as far as groups matter."""

    name: str
    vms: int
    domains: int
    engine: catalog.Engine
    requests_per_s: dict[str, float]
    """By model."""
    prompt_tokens: dict[str, float]
    answer_tokens: dict[str, float]


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
SHAPES = {shape.name: shape for shape in (SMALL, GROWN)}


class Loss(msgspec.Struct, frozen=True):
    """Something that happens to VMs."""

    at_s: float
    domain: int
    whole_domain: bool = False


class Result(msgspec.Struct):
    """What a day came to."""

    asked: float = 0.0
    placed: float = 0.0
    missing_group_s: float = 0.0
    """Seconds by which groups were fewer than when the day began."""
    idle_vm_s: float = 0.0
    """Seconds of VMs with weights in no group that serves or will."""
    by_model: collections.Counter[str] = msgspec.field(
        default_factory=collections.Counter
    )
    """Refusals, of each try, by model."""

    @property
    def served(self) -> float:
        """Part of the callers that found a place, at once or on return."""
        return self.placed / self.asked


def trace(shape: Shape, seed: int, *, dark: bool) -> list[Loss]:
    """Return the losses of a day: one each three seconds, and a dark domain."""
    chance = random.Random(seed)
    found = []
    at_s = 2.5
    number = chance.randrange(shape.domains)
    while at_s < DAY_S - 5:
        found.append(Loss(at_s, number % shape.domains))
        number += 1
        at_s += chance.uniform(2.4, 3.6)
    if dark:
        domain = chance.randrange(shape.domains)
        found.append(Loss(chance.uniform(8, 18), domain, True))
    return sorted(found, key=lambda each: each.at_s)


class Day(vms.World):
    """One day of losses; the store's loads share its rate."""

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
        """Model and seconds of load that are left, by VM."""
        self.dead_s: dict[str, float] = {}
        self.reborn: list[tuple[float, vms.Vm]] = []
        self.work: dict[str, tuple[str, float]] = {}
        """Model and requests in hand, by group."""
        self.returns: list[tuple[float, str, float]] = []
        self.result = Result()
        self.began_s = 0.0
        self.planned: collections.Counter[str] = collections.Counter()
        """Groups of each model when the day begins."""

    def make_manager(self, term: int) -> groups.GroupManager:
        manager = self.manager_class(vms.SETTINGS, "llm", self.fleet, term)
        manager.engine = self.shape.engine
        return manager

    def play(self) -> Result:
        """Play the day."""
        self.run(WARM_UP_S)
        self.manager.has_traffic = True
        self.began_s = self.now_s
        self.planned = collections.Counter(
            group.model for group in self._whole()
        )
        self.run(DAY_S)
        return self.result

    def tick(self) -> None:
        super().tick()
        self._load()
        if not self.began_s:
            return
        elapsed_s = self.now_s - self.began_s
        while self.losses and self.losses[0].at_s <= elapsed_s:
            self._lose(self.losses.pop(0))
        for due in [d for d in self.reborn if d[0] <= self.now_s]:
            self.reborn.remove(due)
            self._bear(due[1])
        self._serve()
        self._count()

    # VMs.

    def obey(self, order: orders.Order) -> None:
        vm = self.vms[order.backend]
        if order.op is orders.Op.STAGE:
            if vm.alive and vm.backend not in self.loading:
                model = self.shape.engine.find_model(order.model)
                self.loading[vm.backend] = [order.model, model.load_s]
            return
        super().obey(order)

    def _load(self) -> None:
        if not self.loading:
            return
        at_once = self.shape.engine.loads_at_once
        pace = min(1.0, at_once / len(self.loading))
        if not self.began_s:
            pace = WARM_UP_PACE
        for backend, load in list(self.loading.items()):
            vm = self.vms[backend]
            load[1] -= vms.TICK_S * pace
            if not vm.alive:
                del self.loading[backend]
            elif load[1] <= 0:
                vm.staged = (load[0],)
                del self.loading[backend]
                self.announce(vm)

    def _lose(self, loss: Loss) -> None:
        domain = f"domain-{loss.domain}"
        alive = [
            vm for vm in self.vms.values() if vm.alive and vm.domain == domain
        ]
        if loss.whole_domain:
            for vm in alive:
                self._end(vm)
                self.reborn.append((self.now_s + DARK_S, vm))
            return
        joined = [vm for vm in alive if vm.group is not None] or alive
        if joined:
            lost = self.random.choice(joined)
            self._end(lost)
            number = len(self.vms)
            fresh = vms.Vm(number, domain)
            fresh.alive = False
            self.vms[fresh.backend] = fresh
            self.reborn.append((self.now_s + REPLACED_S, fresh))

    def _end(self, vm: vms.Vm) -> None:
        vm.alive = False
        self.dead_s[vm.backend] = self.now_s
        vm.group = None
        vm.members = ()
        vm.model = ""
        vm.state = vms.STATE.JOINING
        vm.stalled_s = vm.opens_s = None

    def _bear(self, vm: vms.Vm) -> None:
        vm.alive = True
        vm.born_ms += 1
        vm.sequence = 0
        vm.former = None
        self.dead_s.pop(vm.backend, None)
        self.announce(vm)

    def _probe(self) -> None:
        super()._probe()
        for backend, dead_s in self.dead_s.items():
            if self.now_s - dead_s < NOTICE_S:
                evidence = self.manager.evidence_of(backend)
                evidence.silent_s = None
                evidence.served_s = dead_s
                evidence.suspect_s = float("-inf")

    # Requests.

    def rate_per_s(self, group: group_module.Group, in_flight: float) -> float:
        """Return how many requests a group ends in a second."""
        engine = self.shape.engine
        if in_flight <= 0:
            return 0.0
        step_ms = engine.step_ms / in_flight + engine.sequence_ms
        each_s = (
            self.shape.prompt_tokens[group.model] / engine.read_per_s
            + self.shape.answer_tokens[group.model] * step_ms / 1000
        )
        return 1 / (each_s * self.manager.pace(group))

    def _serve(self) -> None:
        serving = {group.name: group for group in self._whole()}
        moved: collections.Counter[str] = collections.Counter()
        for name, (model, in_hand) in list(self.work.items()):
            if name not in serving:
                moved[model] += in_hand
                del self.work[name]
        for group in serving.values():
            in_hand = self.in_hand(group)
            ended = self.rate_per_s(group, in_hand) * vms.TICK_S
            self.work[group.name] = group.model, max(0.0, in_hand - ended)
        offered = collections.Counter(moved)
        for name, per_s in self.shape.requests_per_s.items():
            offered[name] += per_s * vms.TICK_S
            self.result.asked += per_s * vms.TICK_S
        for due in [r for r in self.returns if r[0] <= self.now_s]:
            self.returns.remove(due)
            self._place(serving, due[1], due[2], last=True)
        for name, amount in offered.items():
            # Requests that were placed before are counted once.
            self.result.placed -= moved[name]
            self._place(serving, name, amount)
        self.manager.in_flight = {
            group.head: round(self.in_hand(group)) for group in serving.values()
        }

    def in_hand(self, group: group_module.Group) -> float:
        """Return the requests that a group has in hand."""
        return self.work.get(group.name, ("", 0.0))[1]

    def _whole(self) -> list[group_module.Group]:
        """Return groups whose members are all there."""
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
        last: bool = False,
    ) -> None:
        open_groups = [
            group
            for group in serving.values()
            if group.model == name and group.phase is group_module.Phase.OPEN
        ]
        while amount > 1e-9 and open_groups:
            best = min(
                open_groups,
                key=lambda each: (
                    self.in_hand(each) / self.manager.capacity(each)
                ),
            )
            in_hand = self.in_hand(best)
            room = self.manager.capacity(best) - in_hand
            if room <= 1e-9:
                break
            part = min(amount, room, 0.5)
            self.work[best.name] = name, in_hand + part
            self.result.placed += part
            amount -= part
        if amount > 1e-9:
            self.result.by_model[name] += amount
            if not last:
                self.returns.append(
                    (self.now_s + RETURN_S, name, amount * RETURN_PART)
                )

    def _count(self) -> None:
        serving = collections.Counter(group.model for group in self._whole())
        for name, count in self.planned.items():
            self.result.missing_group_s += (
                max(0, count - serving[name]) * vms.TICK_S
            )
        busy = {
            member
            for group in self.manager.groups.values()
            if group.phase is not group_module.Phase.CLOSING
            or group in self._whole()
            for member in group.members
        }
        self.result.idle_vm_s += vms.TICK_S * sum(
            vm.alive and vm.backend not in busy and bool(vm.staged or vm.model)
            for vm in self.vms.values()
        )


class Nothing(groups.GroupManager):
    """Groups wait for their own VMs."""

    def _next_group(
        self, survey: survey_module.Survey, now_s: float
    ) -> group_module.Group | None:
        if not self.has_traffic:
            return super()._next_group(survey, now_s)
        return None

    def _convert(self, survey: survey_module.Survey, now_s: float) -> None:
        """Close no group for another."""


class Greedy(Nothing):
    """The first idle VMs of a domain that hold a model's weights serve it."""

    def _next_group(
        self, survey: survey_module.Survey, now_s: float
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
    "nothing": Nothing,
    "greedy": Greedy,
    "ours": groups.GroupManager,
}


def play(
    shape: Shape,
    seed: int,
    policy: str,
    *,
    dark: bool = True,
    load: float = 1.0,
) -> Result:
    """Play one seeded day and return what it came to.

    load: factor on the requests of the shape.
    """
    requests = {
        name: load * per_s for name, per_s in shape.requests_per_s.items()
    }
    shape = msgspec.structs.replace(shape, requests_per_s=requests)
    losses = trace(shape, seed, dark=dark)
    day = Day(shape, seed, POLICIES[policy], losses)
    result = day.play()
    if day.broken:
        raise AssertionError(f"seed {seed}: {day.broken[0]}")
    return result


def _row(
    policy: str, results: collections.abc.Sequence[Result]
) -> collections.abc.Iterator[str]:
    yield policy
    for values in (
        [each.served for each in results],
        [each.missing_group_s for each in results],
        [each.idle_vm_s for each in results],
        [each.by_model["large"] for each in results],
        [each.by_model["small"] for each in results],
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
            play(
                SHAPES[arguments.shape],
                seed,
                policy,
                dark=not arguments.no_dark,
                load=arguments.load,
            )
            for seed in range(
                arguments.first, arguments.first + arguments.seeds
            )
        ]
        print("| " + " | ".join(_row(policy, results)) + " |")
        if arguments.each:
            print(" ".join(f"{each.served:.3f}" for each in results))


if __name__ == "__main__":
    main()
