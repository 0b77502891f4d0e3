"""Formation and repair of groups against VMs that obey orders."""

import msgspec
import pytest

from flamingocleat.version import adoption
from flamingocleat.version import groups
from flamingocleat.version import orders
from tests.direct import vms
from tests.direct.vms import ENGINE
from tests.direct.vms import STALL_S
from tests.direct.vms import STATE
from tests.direct.vms import Vm
from tests.direct.vms import World


@pytest.fixture
def world():
    made = World()
    made.run(12)
    made.manager.has_traffic = True
    return made


def test_new_fleet_serves_both_models_before_traffic(world):
    """All domains hold a group of each model within 12 s."""
    assert world.open_groups() == {"large": 3, "small": 3}
    assert world.broken == []


def test_repair_after_lost_member_takes_a_spare(world):
    """A group is back within 4 s of the loss of a member."""
    world.member("large", 2).alive = False
    world.run(4)
    assert world.open_groups() == {"large": 3, "small": 3}
    assert world.broken == []


def test_survivors_of_a_lost_head_leave_and_serve_after_its_stall(world):
    """A group is back within 8 s of the loss of its head."""
    head = world.member("large", 0)
    head.alive = False
    world.run(STALL_S)
    assert world.open_groups()["large"] == 2
    world.run(8 - STALL_S)
    assert world.open_groups()["large"] == 3
    assert world.broken == []


def test_members_of_a_lost_head_leave_it_at_once(world):
    """They are free as soon as the head must have stalled.

    A head that is not reached obeys no order, so that none is waited for.
    """
    head = world.member("large", 0)
    name = head.group[0]
    head.alive = False
    lost_s = world.now_s
    while name in world.manager.groups:
        world.tick()
    limit_s = STALL_S + groups.STALL_MARGIN_S + 3 * vms.TICK_S
    assert world.now_s - lost_s <= limit_s
    assert world.broken == []


@pytest.mark.parametrize("delay_part", [0.0, 0.5])
def test_survivors_wait_for_a_head_that_may_serve(world, delay_part):
    """A head that nobody reaches is open until it has lacked a member.

    That holds for each survivor, also where orders are carried out late.
    """
    world.delay_part = delay_part
    world.gateways_serve = False
    head = world.member("large", 0)
    world.unreachable = {head.backend}
    world.run(30)
    assert world.broken == []
    assert head.state is STATE.BROKEN
    assert world.open_groups()["large"] == 3


def test_head_that_loses_its_members_and_comes_back_has_ended(world):
    """A cut of any length puts no VM into two groups."""
    world.gateways_serve = False
    for length_s in (1.0, 3.0, 5.0, 7.0, 20.0):
        head = world.member("large", 0)
        world.unreachable = {head.backend}
        world.run(length_s)
        world.unreachable = set()
        world.run(10)
    assert world.broken == []
    assert world.open_groups() == {"large": 3, "small": 3}


def test_head_that_refuses_connections_may_finish_its_work(world):
    """A leaving head stops listening while it is open."""
    head = world.member("large", 0)
    world.cut = head.backend
    for _ in range(100):
        world.manager.evidence_of(head.backend).refused = True
        world.manager.evidence_of(head.backend).suspect_s = world.now_s
        world.tick()
    assert world.broken == []


def test_head_whose_address_is_taken_has_ended(world):
    """A later lifetime at its address proves that a head is gone."""
    head = world.member("large", 0)
    head.alive = False
    said = world.fleet.backends[head.backend].said
    successor = msgspec.structs.replace(
        said,
        backend="vm-99",
        born_ms=2,
        sequence=1,
        domain="elsewhere",
        model="",
        group=None,
        staged=(),
    )
    world.vms["vm-99"] = Vm(99, "elsewhere")
    world.vms["vm-99"].alive = False
    world.fleet.announce(successor, world.now_s)
    world.run(3.2)
    assert world.open_groups()["large"] == 3


def test_group_that_only_gateways_reach_goes_on(world):
    """Members that control cannot hear serve as long as answers come."""
    group = next(g for g in world.manager.serving() if g.model == "large")
    heard = {m: world.fleet.backends[m].heard_s for m in group.members}
    for _ in range(80):
        world.tick()
        for member in group.members:
            world.fleet.backends[member].heard_s = heard[member]
    assert group.name in world.manager.groups
    assert world.manager.groups[group.name].phase is groups.Phase.OPEN


def test_loss_while_a_group_opens_frees_nobody_too_soon(world):
    """A head that was ordered to open may open after a member was lost."""
    world.member("large", 1).alive = False
    while not any(
        group.phase is groups.Phase.OPENING
        for group in world.manager.groups.values()
    ):
        world.tick()
    opening = next(
        group
        for group in world.manager.groups.values()
        if group.phase is groups.Phase.OPENING
    )
    head = world.vms[opening.head]
    while head.opens_s is None:
        world.tick()
    lost = world.vms[opening.members[3]]
    lost.alive = False
    world.manager.evidence_of(lost.backend).refused = True
    # The first orders to join are lost and sent again after the head opened.
    world.deaf_until_s = world.now_s + 0.5
    world.run(6)
    assert world.broken == []


def test_new_leader_waits_for_members_it_has_not_heard(world):
    """A group whose members announce themselves late goes on."""
    before = {g.name for g in world.manager.serving()}
    world.lead(3)
    world.manager.has_traffic = True
    late = {vm.backend for vm in list(world.vms.values())[::5]}
    for vm in world.vms.values():
        is_head = vm.group is not None and vm.group[2] == 0
        if is_head or vm.backend not in late:
            world.announce(vm)
    world.orders.clear()
    world.tick()
    assert {g.name for g in world.manager.serving()} == before
    world.run(4)
    assert {g.name for g in world.manager.serving()} >= before
    assert [o for o in world.orders if o.group in before] == []


def test_new_leader_leaves_members_of_an_unheard_head_alone(world):
    """A head that control cannot hear may be open for all of a partition."""
    head = world.member("small", 0)
    world.cut = head.backend
    world.lead(3)
    world.manager.has_traffic = True
    for _ in range(120):
        world.tick()
        # Gateways have the list of the former leader, and reach the head.
        world.manager.adoption.heads[head.group[0]] = head.backend
        world.manager.evidence_of(head.backend).served_s = world.now_s
    head.stalled_s = None
    assert world.broken == []
    members = {
        vm.backend for vm in world.vms.values() if vm.members == head.members
    }
    assert members == set(head.members)
    world.cut = ""
    world.run(3)
    assert head.group[0] in {g.name for g in world.manager.serving()}


def test_new_leader_frees_members_of_a_head_that_nobody_reaches(world):
    """Members of a head that is cut off from all serve again within 12 s."""
    head = world.member("small", 0)
    world.unreachable = {head.backend}
    world.lead(3)
    world.manager.has_traffic = True
    world.run(12)
    assert world.broken == []
    assert head.state is STATE.BROKEN
    assert world.open_groups()["small"] >= 3


def test_draining_member_lets_work_end(world):
    """The head of a group with a leaving member finishes its work."""
    vm = world.member("large", 1)
    vm.draining = True
    world.announce(vm)
    world.orders.clear()
    world.tick()
    closes = [o for o in world.orders if o.op is orders.Op.CLOSE]
    assert [o.finish_work for o in closes] == [True]


def test_head_lost_while_it_finishes_binds_nobody_for_long(world):
    """Members of a head that is lost during a planned close are free."""
    vm = world.member("large", 1)
    name = vm.group[0]
    head = world.vms[vm.members[0]]
    vm.draining = True
    world.announce(vm)
    world.tick()
    assert world.manager.groups[name].finish_work
    head.alive = False
    world.run(STALL_S + 4)
    assert name not in world.manager.groups
    assert world.broken == []


def test_new_leader_adopts_groups(world):
    """Groups go on under the next leader, which orders nothing."""
    before = {g.name for g in world.manager.serving()}
    world.lead(3)
    world.manager.has_traffic = True
    for vm in world.vms.values():
        world.announce(vm)
    world.orders.clear()
    world.run(3)
    assert {g.name for g in world.manager.serving()} == before
    assert [o for o in world.orders if o.op is not orders.Op.STAGE] == []


def test_ended_group_is_not_adopted_again(world):
    """A group whose head went silent stays ended until the head is heard."""
    world.member("large", 0).alive = False
    world.run(STALL_S + groups.UNREACHABLE_MARGIN_S + 3)
    names = [o.group for o in world.orders if o.op is orders.Op.LEAVE]
    world.orders.clear()
    world.run(5)
    again = [o.group for o in world.orders if o.op is orders.Op.LEAVE]
    assert not set(again) & set(names)


def test_idle_vm_with_weights_in_excess_is_restaged(world):
    """A model that lost its groups gets VMs from the other's spares."""
    for domain in ("domain-0", "domain-1", "domain-2"):
        for vm in world.holders(domain, "small")[1:]:
            vm.alive = False
    world.run(25)
    assert world.open_groups()["small"] >= 1
    assert world.open_groups()["large"] == 3


def test_survivors_of_several_domains_serve_together(world):
    """A model is not without a group while enough VMs hold its weights.

    The load: each domain keeps three members of a model of four, whose
    callers had no group until a load of 16 s was done.
    """
    vms.leave_three(world)
    world.run(STALL_S + 5)
    assert world.open_groups()["large"] == 1
    assert world.open_groups()["small"] >= 1
    assert world.broken == []


def test_slow_group_gives_way_to_one_in_a_domain(world):
    """VMs that came back to a domain make a whole group there again."""
    kept = vms.leave_three(world)
    world.run(STALL_S + 5)
    slow = next(g for g in world.manager.serving() if g.model == "large")
    assert vms.spans(world, slow) > 1
    for vm in world.vms.values():
        if vm not in kept and vm.domain == "domain-0":
            vm.__init__(vm.number, vm.domain)
            vm.born_ms = 2
            vm.staged = ("large",)
    world.run(8)
    large = [g for g in world.manager.serving() if g.model == "large"]
    assert min(vms.spans(world, group) for group in large) == 1
    assert world.broken == []


def test_whole_domains_come_before_mixed_groups(world):
    """No group spans domains while a model has one that does not."""
    world.member("large", 1).alive = False
    world.run(8)
    assert {vms.spans(world, group) for group in world.manager.serving()} == {1}


@pytest.mark.parametrize("seed", range(40))
def test_no_vm_serves_two_groups_under_losses(seed):
    """Losses, returns, late orders and new leaders break no group rule."""
    world = World(seed=seed)
    world.delay_part = 0.1
    world.run(14)
    world.manager.has_traffic = True
    term = 3
    traffic_s = world.now_s
    for _ in range(25):
        vm = world.random.choice(list(world.vms.values()))
        if vm.alive:
            vm.alive = False
        else:
            staged = vm.staged
            vm.__init__(vm.number, vm.domain)
            vm.staged = staged
            world.fleet.forget(vm.backend, world.now_s)
        if world.random.random() < 0.1:
            world.lead(term)
            world.manager.has_traffic = True
            term += 1
        world.run(world.random.uniform(0.5, 4))
    assert world.broken == []
    _check_load_rate([s for s in world.loads if s > traffic_s])


def _check_load_rate(loads: list[float]) -> None:
    limit = ENGINE.loads_per_s * 5 * 1.1 + 3
    for start in loads:
        assert sum(start <= each < start + 5 for each in loads) <= limit


def test_orders_are_typed_with_all_members(world):
    """Each member of a formation is told the same list."""
    joins = [o for o in world.orders if o.op is orders.Op.JOIN]
    by_group = {o.group: o.members for o in joins}
    for order in joins:
        assert order.members == by_group[order.group]
        assert order.backend in order.members
        assert (
            msgspec.structs.asdict(order)["epoch"] >> adoption.TERM_SHIFT == 2
        )
