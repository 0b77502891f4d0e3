"""Choice of the weights to load and the groups to close after losses."""

import msgspec
import pytest

from flamingocleat.version import formation
from flamingocleat.version import orders
from flamingocleat.version import weights
from tests.direct import vms
from tests.direct.vms import ENGINE
from tests.direct.vms import STALL_S
from tests.direct.vms import Vm


@pytest.fixture
def simulation():
    simulation = vms.Simulation()
    simulation.run(12)
    simulation.manager.has_traffic = True
    simulation.run(30)
    return simulation


def ordered_loads(simulation, vm: Vm) -> list[str]:
    """Return the models that a VM was ordered to load."""
    return [
        order.model
        for order in simulation.orders
        if order.op is orders.Op.STAGE and order.backend == vm.backend
    ]


def lose_small_groups(simulation) -> None:
    """Stop four of the six VMs that serve the small model."""
    for domain in ("domain-0", "domain-1"):
        for vm in simulation.holders(domain, "small"):
            vm.alive = False


def test_vms_hold_the_weights_of_both_models(simulation):
    """Members and spares must hold both models, to join groups of either.

    They have one model in the engine and one in memory.
    """
    for vm in simulation.vms.values():
        assert {vm.model, *vm.staged} == {"large", "small"}
    assert simulation.open_groups() == {"large": 3, "small": 3}
    assert simulation.violations == []


def test_spares_replace_two_lost_vms_of_a_domain(simulation):
    """Spares must replace lost members within 4 s, whatever their model."""
    members = [
        vm
        for vm in simulation.holders("domain-1", "large")
        if not vm.serves_no_group() and vm.group[2]
    ]
    for vm in members[:2]:
        vm.alive = False
    simulation.run(4)
    assert simulation.open_groups() == {"large": 3, "small": 3}
    assert simulation.violations == []


def test_loads_are_limited_to_the_rate_of_the_store(simulation):
    """Concurrent loads must not exceed what the store serves at full speed.

    Ten new VMs need weights at the same time, after five losses.
    """
    for vm in simulation.holders("domain-0", "large")[:5]:
        vm.alive = False
    simulation.run(1)
    for number in range(30, 40):
        vm = Vm(number, "domain-0")
        simulation.vms[vm.backend] = vm
    for _ in range(200):
        simulation.tick()
        loading = [
            vm for vm in simulation.vms.values() if vm.pending_load is not None
        ]
        assert len(loading) <= ENGINE.loads_at_once
    assert all(simulation.vms[f"vm-{n}"].staged for n in range(30, 40))


def test_new_vm_loads_the_model_that_lacks_capacity(simulation):
    """An empty VM must load the model whose callers wait."""
    lost = [vm for vm in simulation.vms.values() if vm.domain == "domain-0"][:2]
    for vm in lost:
        vm.alive = False
    simulation.run(3)
    for model in ("large", "small"):
        simulation.set_in_flight("large", 0)
        simulation.set_in_flight("small", 0)
        simulation.set_in_flight(model, 24)
        simulation.run(1)
        vm = lost.pop()
        vm.__init__(vm.number, "domain-0")
        vm.born_ms = 2
        simulation.orders.clear()
        simulation.run(2)
        assert ordered_loads(simulation, vm) == [model]


def test_weights_of_a_model_that_lacks_capacity_are_kept(simulation):
    """An idle VM must not load another model while its own lacks capacity."""
    for domain in ("domain-0", "domain-1", "domain-2"):
        for vm in simulation.holders(domain, "small")[1:]:
            vm.alive = False
    for _ in range(80):
        simulation.set_in_flight("small", 24)
        idle = [
            vm
            for vm in simulation.vms.values()
            if vm.staged == ("small",) and vm.serves_no_group()
        ]
        simulation.orders.clear()
        simulation.tick()
        for vm in idle:
            assert (
                "large" not in ordered_loads(simulation, vm)
                or vm.model == "small"
            )
    assert simulation.open_groups()["small"] >= 1


def test_new_leader_leaves_the_models_of_idle_engines_alone(simulation):
    """Only members of a group report the model that their engine holds."""
    spares = [vm for vm in simulation.vms.values() if vm.serves_no_group()]
    assert len(spares) == 6
    held_before = {vm.backend: (vm.model, vm.staged) for vm in spares}
    simulation.start_term(3)
    simulation.manager.has_traffic = True
    simulation.run(6)
    assert {vm.backend: (vm.model, vm.staged) for vm in spares} == held_before
    assert simulation.manager.holders == {"large": 6, "small": 6}


def test_spare_of_a_model_served_by_one_vm_stays_a_spare():
    """A new leader must not open the group in which a spare keeps a model."""
    simulation = vms.Simulation()
    simulation.run(12)
    spare = next(
        vm
        for vm in simulation.vms.values()
        if vm.serves_no_group() and vm.model == "large"
    )
    single = msgspec.structs.replace(vms.LARGE, size=1)
    simulation.start_term(3)
    simulation.manager.engine = msgspec.structs.replace(
        ENGINE, models=(single, vms.SMALL)
    )
    simulation.run(vms.SETTLE_S - vms.TICK_S)
    assert spare.group is not None
    assert spare.group[0] not in simulation.manager.groups


def test_lost_spare_is_noticed_before_its_lease_ends(simulation):
    """A spare that is lost must not be chosen for a group for 3 s."""
    spare = next(v for v in simulation.vms.values() if v.serves_no_group())
    simulation.announce(spare)
    spare.alive = False
    simulation.run(2.0)
    assert spare.backend not in {
        each.announcement.backend
        for each in simulation.manager.survey(simulation.now_s).idle
    }


def test_weights_are_not_replaced_while_capacity_suffices(simulation):
    """A spare must keep its weights even if the layout assigns it others.

    To replace them takes a load of 12 to 16 s, and the next loss may hit the
    model whose weights were dropped.
    """
    for vm in list(simulation.vms.values()):
        if vm.serves_no_group() and vm.domain != "domain-0":
            vm.alive = False
    simulation.member("small", 0).alive = False
    simulation.run(12)
    for model in ("large", "small"):
        simulation.set_in_flight(model, 8)
    idle = [
        vm
        for vm in simulation.vms.values()
        if vm.alive and vm.staged and vm.serves_no_group()
    ]
    held_before = {vm.backend: {vm.model, *vm.staged} for vm in idle}
    simulation.run(10)
    assert {vm.backend: {vm.model, *vm.staged} for vm in idle} == held_before


def test_cross_domain_group_takes_fewer_requests(simulation):
    """A group across domains must have a lower capacity, as it is slower."""
    vms.keep_three_large_members(simulation)
    simulation.run(STALL_S + 5)
    capacity_by_span = {
        vms.domain_count(simulation, group) > 1: simulation.manager.capacity(
            group
        )
        for group in simulation.manager.serving()
    }
    assert capacity_by_span[False] == ENGINE.slots
    token_ms = 2.5 * (6.07 + 0.482 * capacity_by_span[True])
    full_ms = 6.07 + 0.482 * ENGINE.slots
    assert full_ms < token_ms <= formation.MAX_SLOWDOWN * full_ms


def test_group_is_closed_for_a_model_that_lacks_capacity(simulation):
    """Losses that hit one model only must be shared by both models.

    Four of six VMs of the small model are lost and its one group is full,
    while three large groups are half empty; a load instead takes 12 s.
    """
    lose_small_groups(simulation)
    for _ in range(90):
        simulation.set_in_flight("small", 24)
        simulation.set_in_flight("large", 8)
        simulation.tick()
    assert simulation.open_groups()["small"] >= 2
    assert simulation.open_groups()["large"] >= 2
    assert simulation.violations == []


def test_group_is_kept_while_its_own_model_needs_it(simulation):
    """No group may be closed for another model while its own is as full."""
    lose_small_groups(simulation)
    before = {
        g.name for g in simulation.manager.serving() if g.model == "large"
    }
    for _ in range(60):
        simulation.set_in_flight("small", 24)
        simulation.set_in_flight("large", 16)
        simulation.tick()
    assert before <= {g.name for g in simulation.manager.serving()}


def test_second_models_are_loaded_on_part_of_a_large_region():
    """The number of second models must not grow with the number of VMs.

    Each load is paid for.
    """
    simulation = vms.Simulation(240)
    for vm in simulation.vms.values():
        vm.domain = f"domain-{vm.number // 8}"
    simulation.run(12)
    simulation.manager.has_traffic = True
    simulation.run(120)
    holding_two = sum(
        {vm.model, *vm.staged} == {"large", "small"}
        for vm in simulation.vms.values()
    )
    assert 70 <= holding_two <= weights.SECOND_MODEL_LIMIT


def test_vms_are_counted_by_use(simulation):
    """The counts of VMs by use must be right, since operators rely on them."""
    head = simulation.member("large", 0)
    head.alive = False
    simulation.run(2)
    counts = {use.value: n for use, n in simulation.manager.vms_by_use.items()}
    assert sum(counts.values()) == 24
    assert counts["lost"] == 1
    assert counts["idle"] == 6
    assert counts["group"] == 17


def test_model_with_ample_capacity_leaves_vms_to_one_that_lacks_it(simulation):
    """VMs freed for the large model were taken back by the small one."""
    idle = simulation.manager.survey(simulation.now_s).idle
    chosen = formation.choose(
        ENGINE,
        idle,
        {"large": 1, "small": 2},
        {"large": 3, "small": 3},
        short_models={"large"},
        ample_models={"small"},
    )
    assert chosen is not None
    assert chosen[0].name == "large"


def test_vms_are_kept_for_a_group_that_cannot_form_yet(simulation):
    """Fewer idle VMs than a group of the short model needs must stay idle."""
    for vm in simulation.vms.values():
        if vm.serves_no_group() and vm.domain != "domain-0":
            vm.alive = False
    simulation.run(4)
    idle = simulation.manager.survey(simulation.now_s).idle
    counts = {"large": 1, "small": 2}, {"large": 3, "small": 3}
    assert formation.choose(ENGINE, idle, *counts, {"large"}, {"small"}) is None
    found = formation.choose(ENGINE, idle, *counts, {"large"}, set())
    assert found is not None
    assert found[0].name == "small"
