"""Changes that move VMs between the models of a service."""

import collections

import hypothesis
import msgspec
import pytest
from hypothesis import stateful
from hypothesis import strategies

from bench import losses
from flamingocleat.version import demand
from flamingocleat.version import group as group_module
from flamingocleat.version import groups
from flamingocleat.version import room
from tests.direct import vms

SEEDS = range(3)
MAX_GAP = 0.05
"""How much worse the most urgent kind may be served than the least urgent."""
IDLE = {1: demand.Rates(4.0, 0.0, 0.0)}
SHORT = {0: demand.Rates(600.0, 300.0, 0.0)}


class NoChanges(groups.GroupManager):
    """Moves no VMs between models."""

    def _change_room(self, survey, now_s) -> None:
        """Start no change."""


def _served(shape, seed, manager=groups.GroupManager) -> dict[str, float]:
    """Return which part of each kind of request was served."""
    simulation = _warm_simulation(shape, seed, manager)
    simulation.losses = losses.trace(shape, seed, domain_outage=True)
    simulation.run(losses.DURATION_S)
    assert simulation.violations == []
    result = simulation.result
    return {
        kind: result.placed_by_kind[kind] / result.offered_by_kind[kind]
        for kind in shape.requests_per_s
    }


def _warm_simulation(
    shape, seed=0, manager=groups.GroupManager
) -> losses.Simulation:
    """Return a simulation whose groups are open and get requests."""
    simulation = losses.Simulation(shape, seed, manager, [])
    simulation.run(losses.WARM_UP_S)
    simulation.manager.has_traffic = True
    simulation.start_s = simulation.now_s
    return simulation


def _loaded(shape, factor: float):
    """Return a shape with a factor on all its requests."""
    return msgspec.structs.replace(
        shape,
        requests_per_s={
            kind: factor * per_s for kind, per_s in shape.requests_per_s.items()
        },
    )


@pytest.mark.parametrize(
    "shape", [_loaded(losses.HARD_F, 1.4), losses.HARD_H], ids=["f", "h"]
)
def test_urgent_kind_is_served_as_well_as_the_least_urgent(shape):
    """In a burst during an outage, urgent calls must not lose most.

    A deployment served 0.604 of its most urgent kind and 0.996 of the least
    urgent, while VMs of the latter's groups were idle.
    """
    urgent = shape.burst_kind
    last = max(shape.requests_per_s, key=lambda kind: shape.kind(kind)[1])
    gaps, gained = [], []
    for seed in SEEDS:
        served = _served(shape, seed)
        gaps.append(served[last] - served[urgent])
        gained.append(served[urgent] - _served(shape, seed, NoChanges)[urgent])
    assert sum(gaps) / len(gaps) <= MAX_GAP
    assert sum(gained) / len(gained) > 0


def _without_burst(requests_per_s):
    return msgspec.structs.replace(
        losses.HARD_F, requests_per_s=requests_per_s, burst_kind=""
    )


@pytest.mark.parametrize(
    ("requests_per_s", "short"),
    [
        ({"large": 1.0, "small": 330.0}, "small"),
        ({"large": 38.0, "small": 20.0}, "large"),
    ],
)
def test_idle_model_gives_vms_to_one_that_is_short_all_day(
    requests_per_s, short
):
    """A lasting shortage must end if the other model's groups are idle."""
    simulation = _warm_simulation(_without_burst(requests_per_s))
    simulation.run(34)
    before = simulation.result.refused_by_model[short]
    simulation.run(10)
    refused = simulation.result.refused_by_model[short] - before
    assert refused < 0.02 * requests_per_s[short] * 10
    assert min(simulation.open_groups().values()) >= room.MIN_GROUPS
    assert simulation.violations == []


def test_burst_shorter_than_a_change_closes_no_group():
    """No group may be closed for a burst that ends before another opens."""
    shape = _without_burst({"large": 18.0, "small": 150.0})
    shape = msgspec.structs.replace(shape, burst_kind="small")
    simulation = _warm_simulation(shape)
    simulation.burst = losses.Burst(4.0, 5.5, 2.2)
    simulation.run(20)
    assert not simulation.manager.room.outcomes
    assert not simulation.manager.room.changes


def test_vms_without_the_weights_are_not_used():
    """A change must not wait for loads, which outlast a burst."""
    simulation = losses.Simulation(losses.HARD_F, 0, groups.GroupManager, [])
    simulation.run(losses.WARM_UP_S)
    simulation.manager.has_traffic = True
    for vm in simulation.vms.values():
        vm.staged = (vm.model,) if vm.model else vm.staged
        simulation.announce(vm)
    simulation.manager.load_planner.plan_loads = lambda *_: []
    _run(simulation, 8.0, {"large": IDLE, "small": SHORT})
    assert not simulation.manager.room.changes
    assert simulation.open_groups()["large"] == 3


def test_lasting_overload_of_both_models_does_not_oscillate():
    """VMs must not go back and forth while both models lack capacity."""
    shape = _without_burst({"large": 60.0, "small": 500.0})
    simulation = _warm_simulation(shape)
    started = _record_changes(simulation)
    simulation.run(60)
    by_direction = collections.Counter(each.target for each in started)
    assert min(by_direction["large"], by_direction["small"]) == 0
    assert len(started) <= 4


def test_change_back_must_pay_for_both():
    """A change back needs more value if the first one is recent."""
    simulation = _change_in_progress()
    change = simulation.manager.room.changes[0]
    price = simulation.manager.room._reversal_price("small", "large")
    assert price >= change.price > 0
    assert simulation.manager.room._reversal_price("large", "small") == 0


def _record_changes(simulation) -> list[room.Change]:
    """Return a list to which each change is added that starts."""
    started: list[room.Change] = []
    plan = simulation.manager.room.plan

    def recorded_plan(inputs):
        changes = plan(inputs)
        started.extend(changes)
        return changes

    simulation.manager.room.plan = recorded_plan
    return started


def _run(simulation, duration_s, rates) -> None:
    """Run with constant rates of requests by model."""
    end_s = simulation.now_s + duration_s
    while simulation.now_s < end_s:
        simulation.manager.demand = rates
        simulation.tick()


def _change_in_progress() -> losses.Simulation:
    """Return a simulation in which a change to the small model has begun."""
    simulation = losses.Simulation(losses.HARD_F, 0, groups.GroupManager, [])
    simulation.run(losses.WARM_UP_S)
    simulation.manager.has_traffic = True
    for _ in range(60):
        _run(simulation, 0.1, {"large": IDLE, "small": SHORT})
        if simulation.manager.room.changes:
            return simulation
    raise AssertionError("no change has begun")


def test_reserved_vms_form_groups_of_the_target():
    """VMs of a change must reach the model for which they were freed."""
    simulation = _change_in_progress()
    reserved = set(simulation.manager.room.changes[0].reserved)
    # Another shortage must not take the VMs meanwhile.
    simulation.manager.short_models.add("large")
    _run(simulation, 6.0, {"large": IDLE, "small": SHORT})
    models = {simulation.vms[name].model for name in reserved}
    assert models == {"small"}
    assert simulation.manager.room.outcomes[room.Outcome.COMPLETE] >= 1


def test_failed_change_is_not_tried_again_at_once(monkeypatch):
    """VMs that do not join must not cost the donors one group after another."""
    monkeypatch.setattr(room, "MAX_CHANGES", 1)
    simulation = losses.Simulation(losses.SMALL, 0, groups.GroupManager, [])
    for vm in simulation.vms.values():
        vm.domain = "domain-0"
    simulation.run(losses.WARM_UP_S)
    simulation.manager.has_traffic = True
    started = _record_changes(simulation)
    rates = {"large": IDLE, "small": SHORT}
    while not started:
        _run(simulation, 0.1, rates)
    simulation.joins_lost_until_s = simulation.now_s + 60
    outcomes = simulation.manager.room.outcomes
    while not outcomes[room.Outcome.FAILED]:
        _run(simulation, 0.1, rates)
        assert simulation.now_s <= started[0].end_by_s + 0.2
    assert simulation.manager.room.reserved() == set()
    assert simulation.open_groups()["large"] > room.MIN_GROUPS
    _run(simulation, room.RETRY_S - 0.5, rates)
    assert len(started) == 1
    _run(simulation, 1.0, rates)
    assert len(started) == 2
    assert simulation.violations == []


def test_lost_vms_release_the_others():
    """A change whose VMs are lost must not hold the rest of them."""
    simulation = _change_in_progress()
    change = simulation.manager.room.changes[0]
    for name in list(change.reserved)[1:]:
        simulation._stop_vm(simulation.vms[name])
        simulation._start_vm(simulation.vms[name])
    _run(simulation, 1.0, {"large": IDLE, "small": IDLE})
    assert change not in simulation.manager.room.changes


def test_change_is_abandoned_if_the_source_needs_its_vms_more():
    """VMs freed for a burst that has ended must be free for their model."""
    simulation = _change_in_progress()
    simulation.joins_lost_until_s = simulation.now_s + 40
    change = simulation.manager.room.changes[0]
    manager = simulation.manager
    while any(name in manager.groups for name in change.donors):
        _run(simulation, 0.1, {"large": IDLE, "small": SHORT})
    change.forming.clear()
    _run(simulation, 0.2, {"large": SHORT, "small": IDLE})
    assert change not in manager.room.changes
    assert manager.room.outcomes[room.Outcome.ABANDONED] >= 1


def test_new_leader_closes_no_group_in_its_first_seconds():
    """A new leader's rates and VMs are incomplete at first."""
    simulation = _change_in_progress()
    simulation.start_term(3)
    simulation.manager.has_traffic = True
    assert simulation.manager.room.reserved() == set()
    _run(
        simulation,
        vms.SETTLE_S + room.MIN_TERM_S - 0.2,
        {"large": IDLE, "small": SHORT},
    )
    assert not simulation.manager.room.changes
    _run(simulation, 20.0, {"large": IDLE, "small": SHORT})
    assert simulation.violations == []
    assert simulation.open_groups()["large"] >= room.MIN_GROUPS


def test_refused_callers_are_counted_once():
    """Second attempts must not make a shortage look larger than it is."""
    # 100 callers and room for 75: 50 are refused, and 25 of them again.
    rates = demand.Rates(requested=150.0, refused=75.0)
    assert rates.callers == pytest.approx(100.0)
    assert rates.unserved == pytest.approx(25.0)


class ChangesMachine(stateful.RuleBasedStateMachine):
    """Reservations under losses, lost orders and new leaders."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = losses.Simulation(
            losses.SMALL, 0, groups.GroupManager, []
        )
        self.simulation.run(losses.WARM_UP_S)
        self.simulation.manager.has_traffic = True
        self.rates = {"large": IDLE, "small": IDLE}
        self.term = 2
        self.failed_s: dict[tuple[str, str, str], float] = {}
        self.closed: collections.Counter[str] = collections.Counter()
        self._watch()

    def _watch(self) -> None:
        """Check each change as it starts and ends."""
        changes = self.simulation.manager.room
        plan, end = changes.plan, changes._end

        def checked_plan(inputs):
            started = plan(inputs)
            for change in started:
                self.closed.update(change.donors)
                for domain in change.domains:
                    key = (change.source, change.target, domain)
                    since_s = self.simulation.now_s - self.failed_s.get(
                        key, float("-inf")
                    )
                    assert since_s >= room.RETRY_S - 0.2
            return started

        def checked_end(change, outcome, now_s):
            end(change, outcome, now_s)
            if change.opened:
                self.failed_s = {
                    key: at_s
                    for key, at_s in self.failed_s.items()
                    if key[1] != change.target
                }
            if outcome is room.Outcome.FAILED:
                for domain in change.domains:
                    key = (change.source, change.target, domain)
                    self.failed_s[key] = now_s

        changes.plan, changes._end = checked_plan, checked_end

    @stateful.rule(
        ticks=strategies.integers(1, 40),
        short=strategies.sampled_from(["", "large", "small", "both"]),
    )
    def run(self, ticks: int, short: str) -> None:
        self.rates = {
            model: SHORT if short in (model, "both") else IDLE
            for model in ("large", "small")
        }
        for _ in range(ticks):
            _run(self.simulation, 0.05, self.rates)
            self._check()

    @stateful.rule(number=strategies.integers(0, 23))
    def lose(self, number: int) -> None:
        vm = self.simulation.vms[f"vm-{number}"]
        if vm.alive:
            self.simulation._stop_vm(vm)

    @stateful.rule(number=strategies.integers(0, 23))
    def restart(self, number: int) -> None:
        vm = self.simulation.vms[f"vm-{number}"]
        if not vm.alive:
            self.simulation._start_vm(vm)

    @stateful.rule(duration_s=strategies.floats(0.1, 40.0))
    def lose_joins(self, duration_s: float) -> None:
        self.simulation.joins_lost_until_s = self.simulation.now_s + duration_s

    @stateful.rule()
    def change_leader(self) -> None:
        self.term += 1
        self.simulation.start_term(self.term)
        self.simulation.manager.has_traffic = True
        self.failed_s.clear()
        self._watch()

    def _check(self) -> None:
        manager = self.simulation.manager
        assert self.simulation.violations == []
        holders = collections.Counter(
            vm for each in manager.room.changes for vm in each.reserved
        )
        assert all(count == 1 for count in holders.values())
        members = collections.Counter(
            member
            for group in manager.groups.values()
            if group.phase in group_module.ACTIVE_PHASES
            for member in group.members
        )
        assert all(
            count == 1
            for member, count in members.items()
            if member != group_module.UNKNOWN_MEMBER
        )
        for change in manager.room.changes:
            for group in manager.groups.values():
                if group.phase is group_module.Phase.FORMING and any(
                    member in change.reserved for member in group.members
                ):
                    assert group.model == change.target
        assert all(count == 1 for count in self.closed.values())

    def teardown(self) -> None:
        """All VMs must be released once nothing more happens."""
        _run(self.simulation, 40.0, {"large": IDLE, "small": IDLE})
        self._check()
        assert not self.simulation.manager.room.changes


ChangesMachine.TestCase.settings = hypothesis.settings(
    max_examples=12, stateful_step_count=12, deadline=None
)
TestChanges = ChangesMachine.TestCase
