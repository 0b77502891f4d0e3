"""Which weights VMs load, and which groups give way, as losses go on."""

import pytest

from flamingocleat.version import formation
from flamingocleat.version import orders
from flamingocleat.version import weights
from tests.direct import vms
from tests.direct.vms import ENGINE
from tests.direct.vms import STALL_S
from tests.direct.vms import Vm


@pytest.fixture
def world():
    made = vms.World()
    made.run(12)
    made.manager.has_traffic = True
    made.run(30)
    return made


def loaded(world, vm: Vm) -> list[str]:
    """Return the models that a VM was ordered to load."""
    return [
        order.model
        for order in world.orders
        if order.op is orders.Op.STAGE and order.backend == vm.backend
    ]


def lose_small_groups(world) -> None:
    """Lose four of the six VMs that serve the small model."""
    for domain in ("domain-0", "domain-1"):
        for vm in world.holders(domain, "small"):
            vm.alive = False


def test_vms_hold_the_weights_of_both_models(world):
    """Members and spares have one model in the engine, one in memory."""
    for vm in world.vms.values():
        assert {vm.model, *vm.staged} == {"large", "small"}
    assert world.open_groups() == {"large": 3, "small": 3}
    assert world.broken == []


def test_two_losses_in_a_domain_are_made_up_by_its_spares(world):
    """A spare takes the place of a member of either model within 4 s."""
    members = [
        vm
        for vm in world.holders("domain-1", "large")
        if vm.group is not None and vm.group[2]
    ]
    for vm in members[:2]:
        vm.alive = False
    world.run(4)
    assert world.open_groups() == {"large": 3, "small": 3}
    assert world.broken == []


def test_loads_wait_for_room_at_the_store(world):
    """No more loads run at once than the store serves at full speed."""
    for vm in world.holders("domain-0", "large")[:5]:
        vm.alive = False
    world.run(1)
    for number in range(30, 40):
        vm = Vm(number, "domain-0")
        world.vms[vm.backend] = vm
    for _ in range(200):
        world.tick()
        loading = [vm for vm in world.vms.values() if vm.next is not None]
        assert len(loading) <= ENGINE.loads_at_once
    assert all(world.vms[f"vm-{n}"].staged for n in range(30, 40))


def test_new_vm_loads_weights_of_the_model_that_is_short(world):
    """An empty VM joins the work that callers wait for."""
    lost = [vm for vm in world.vms.values() if vm.domain == "domain-0"][:2]
    for vm in lost:
        vm.alive = False
    world.run(3)
    for model in ("large", "small"):
        world.fill("large", 0)
        world.fill("small", 0)
        world.fill(model, 24)
        world.run(1)
        vm = lost.pop()
        vm.__init__(vm.number, "domain-0")
        vm.born_ms = 2
        world.orders.clear()
        world.run(2)
        assert loaded(world, vm) == [model]


def test_weights_of_a_model_that_is_short_are_kept(world):
    """No idle VM loads other weights while its model lacks places."""
    for domain in ("domain-0", "domain-1", "domain-2"):
        for vm in world.holders(domain, "small")[1:]:
            vm.alive = False
    for _ in range(80):
        world.fill("small", 24)
        idle = [
            vm
            for vm in world.vms.values()
            if vm.staged == ("small",) and vm.group is None
        ]
        world.orders.clear()
        world.tick()
        for vm in idle:
            assert "large" not in loaded(world, vm) or vm.model == "small"
    assert world.open_groups()["small"] >= 1


def test_weights_are_not_exchanged_while_no_model_is_short(world):
    """A spare that the plan would give other weights keeps those it has.

    The exchange takes a load of 12 to 16 s, and the next loss may hit the
    model whose weights were given up.
    """
    for vm in list(world.vms.values()):
        if vm.group is None and vm.domain != "domain-0":
            vm.alive = False
    world.member("small", 0).alive = False
    world.run(12)
    for model in ("large", "small"):
        world.fill(model, 8)
    idle = [
        vm
        for vm in world.vms.values()
        if vm.alive and vm.staged and vm.group is None
    ]
    held = {vm.backend: {vm.model, *vm.staged} for vm in idle}
    world.run(10)
    assert {vm.backend: {vm.model, *vm.staged} for vm in idle} == held


def test_slow_group_takes_fewer_requests(world):
    """A group across domains is not filled as one in a domain is."""
    vms.leave_three(world)
    world.run(STALL_S + 5)
    places = {
        vms.spans(world, group) > 1: world.manager.capacity(group)
        for group in world.manager.serving()
    }
    assert places[False] == ENGINE.slots
    token_ms = 2.5 * (6.07 + 0.482 * places[True])
    full_ms = 6.07 + 0.482 * ENGINE.slots
    assert full_ms < token_ms <= formation.MAX_SLOWDOWN * full_ms


def test_group_gives_way_to_a_model_that_is_short(world):
    """Losses that hit one model only are borne by both.

    The load: four of six VMs of the small model are lost, its one group is
    full, and three large groups are half empty; a load takes 12 s.
    """
    lose_small_groups(world)
    for _ in range(90):
        world.fill("small", 24)
        world.fill("large", 8)
        world.tick()
    assert world.open_groups()["small"] >= 2
    assert world.open_groups()["large"] >= 2
    assert world.broken == []


def test_group_stays_where_its_own_model_needs_it(world):
    """No group is closed for another model while its own is as full."""
    lose_small_groups(world)
    before = {g.name for g in world.manager.serving() if g.model == "large"}
    for _ in range(60):
        world.fill("small", 24)
        world.fill("large", 16)
        world.tick()
    assert before <= {g.name for g in world.manager.serving()}


def test_second_weights_are_loaded_for_a_part_of_a_large_region():
    """The loads that are paid for do not grow with all VMs."""
    world = vms.World(240)
    for vm in world.vms.values():
        vm.domain = f"domain-{vm.number // 8}"
    world.run(12)
    world.manager.has_traffic = True
    world.run(120)
    both = sum(
        {vm.model, *vm.staged} == {"large", "small"}
        for vm in world.vms.values()
    )
    assert 70 <= both <= weights.SECOND_MODEL_LIMIT


def test_use_of_vms_is_counted(world):
    """An operator sees how many VMs serve, idle, load or wait."""
    head = world.member("large", 0)
    head.alive = False
    world.run(2)
    counts = {use.value: n for use, n in world.manager.vms_by_use.items()}
    assert sum(counts.values()) == 24
    assert counts["lost"] == 1
    assert counts["idle"] == 6
    assert counts["group"] == 17
