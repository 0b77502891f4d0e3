"""Formation and repair of groups, with simulated VMs."""

import msgspec
import pytest

from flamingocleat import ids
from flamingocleat.version import adoption
from flamingocleat.version import groups
from flamingocleat.version import head_ends
from flamingocleat.version import orders
from tests.direct import vms
from tests.direct.vms import ENGINE
from tests.direct.vms import Simulation
from tests.direct.vms import STALL_S
from tests.direct.vms import STATE
from tests.direct.vms import Vm


@pytest.fixture
def simulation():
    simulation = Simulation()
    simulation.run(12)
    simulation.manager.has_traffic = True
    return simulation


def test_new_fleet_serves_both_models_before_traffic(simulation):
    """Each domain must have an open group of each model within 12 s."""
    assert simulation.open_groups() == {"large": 3, "small": 3}
    assert simulation.violations == []


def test_spare_replaces_a_lost_member(simulation):
    """A group that lost a member must be replaced within 4 s, by a spare."""
    simulation.member("large", 2).alive = False
    simulation.run(4)
    assert simulation.open_groups() == {"large": 3, "small": 3}
    assert simulation.violations == []


def test_members_of_a_lost_head_serve_again_after_its_stall_time(simulation):
    """A group that lost its head must be replaced within 8 s.

    Its members stay bound until the stall time has passed, since the head may
    serve until then.
    """
    head = simulation.member("large", 0)
    head.alive = False
    simulation.run(STALL_S)
    assert simulation.open_groups()["large"] == 2
    simulation.run(8 - STALL_S)
    assert simulation.open_groups()["large"] == 3
    assert simulation.violations == []


def test_members_of_a_lost_head_are_released_after_its_stall_time(simulation):
    """Members must not wait for a lost head beyond its stall time.

    An unreachable head carries out no order, so no order is awaited.
    """
    head = simulation.member("large", 0)
    name = head.group[0]
    head.alive = False
    lost_s = simulation.now_s
    while name in simulation.manager.groups:
        simulation.tick()
    limit_s = STALL_S + head_ends.STALL_MARGIN_S + 3 * vms.TICK_S
    assert simulation.now_s - lost_s <= limit_s
    assert simulation.violations == []


@pytest.mark.parametrize("delayed_fraction", [0.0, 0.5])
def test_members_wait_for_an_unreachable_head_that_may_serve(
    simulation, delayed_fraction
):
    """No member may join another group while its former head may serve.

    An unreachable head stays open until it has lacked a member for the stall
    time. This holds for each member, even if orders are carried out late.
    """
    simulation.delayed_fraction = delayed_fraction
    simulation.gateways_reach_heads = False
    head = simulation.member("large", 0)
    simulation.unreachable = {head.backend}
    simulation.run(30)
    assert simulation.violations == []
    assert head.state is STATE.BROKEN
    assert simulation.open_groups()["large"] == 3


def test_partitioned_head_that_returns_has_ended_its_group(simulation):
    """A partition of a head must not leave a VM in two groups.

    The head loses its members to another group and then becomes reachable
    again, after short and long partitions.
    """
    simulation.gateways_reach_heads = False
    for length_s in (1.0, 3.0, 5.0, 7.0, 20.0):
        head = simulation.member("large", 0)
        simulation.unreachable = {head.backend}
        simulation.run(length_s)
        simulation.unreachable = set()
        simulation.run(10)
    assert simulation.violations == []
    assert simulation.open_groups() == {"large": 3, "small": 3}


def test_head_that_refuses_connections_may_finish_its_requests(simulation):
    """Refused connections must not count as the end of a head.

    A leaving head stops listening while it is still open.
    """
    head = simulation.member("large", 0)
    simulation.muted_vm = head.backend
    for _ in range(100):
        simulation.manager.evidence_of(head.backend).refused = True
        simulation.manager.evidence_of(
            head.backend
        ).suspected_s = simulation.now_s
        simulation.tick()
    assert simulation.violations == []


def test_head_whose_address_was_reused_has_ended(simulation):
    """A head must count as ended once a later lifetime uses its address."""
    head = simulation.member("large", 0)
    head.alive = False
    announcement = simulation.fleet.backends[head.backend].announcement
    later_lifetime = msgspec.structs.replace(
        announcement,
        backend="vm-99",
        born_ms=2,
        sequence=1,
        domain="elsewhere",
        model="",
        group=None,
        staged=(),
    )
    simulation.vms["vm-99"] = Vm(99, "elsewhere")
    simulation.vms["vm-99"].alive = False
    simulation.fleet.announce(later_lifetime, simulation.now_s)
    simulation.run(3.2)
    assert simulation.open_groups()["large"] == 3


def test_group_that_only_gateways_reach_is_kept(simulation):
    """A group must be kept while gateways get answers from its head.

    Here no announcement of its members reaches the coordinator.
    """
    group = next(g for g in simulation.manager.serving() if g.model == "large")
    last_announced_s = {
        m: simulation.fleet.backends[m].announced_s for m in group.members
    }
    for _ in range(80):
        simulation.tick()
        for member in group.members:
            simulation.fleet.backends[member].announced_s = last_announced_s[
                member
            ]
    assert group.name in simulation.manager.groups
    assert simulation.manager.groups[group.name].phase is groups.Phase.OPEN


def test_member_lost_while_group_opens_releases_no_vm_early(simulation):
    """Members of an opening group must not be released before it stalls.

    A head that was ordered to open may open after a member was lost.
    """
    simulation.member("large", 1).alive = False
    while not any(
        group.phase is groups.Phase.OPENING
        for group in simulation.manager.groups.values()
    ):
        simulation.tick()
    opening = next(
        group
        for group in simulation.manager.groups.values()
        if group.phase is groups.Phase.OPENING
    )
    head = simulation.vms[opening.head]
    while head.opens_s is None:
        simulation.tick()
    lost = simulation.vms[opening.members[3]]
    lost.alive = False
    simulation.manager.evidence_of(lost.backend).refused = True
    # The first orders to join are lost and resent after the head has opened.
    simulation.joins_lost_until_s = simulation.now_s + 0.5
    simulation.run(6)
    assert simulation.violations == []


def test_new_leader_waits_for_members_that_announce_late(simulation):
    """A new leader must keep a group whose members announce themselves late."""
    before = {g.name for g in simulation.manager.serving()}
    simulation.start_term(3)
    simulation.manager.has_traffic = True
    late = {vm.backend for vm in list(simulation.vms.values())[::5]}
    for vm in simulation.vms.values():
        is_head = vm.group is not None and vm.group[2] == 0
        if is_head or vm.backend not in late:
            simulation.announce(vm)
    simulation.orders.clear()
    simulation.tick()
    assert {g.name for g in simulation.manager.serving()} == before
    simulation.run(4)
    assert {g.name for g in simulation.manager.serving()} >= before
    assert [o for o in simulation.orders if o.group in before] == []


def test_new_leader_keeps_members_of_a_head_only_gateways_reach(simulation):
    """Members of a head that only gateways reach must keep their group.

    The head may stay open for as long as its announcements are lost.
    """
    head = simulation.member("small", 0)
    simulation.muted_vm = head.backend
    simulation.start_term(3)
    simulation.manager.has_traffic = True
    for _ in range(120):
        simulation.tick()
        # Gateways use the former leader's list and reach the head.
        simulation.manager.adoption.heads[head.group[0]] = ids.Lifetime(
            head.backend, head.born_ms
        )
        simulation.manager.evidence_of(head.backend).served_s = simulation.now_s
    head.stalled_s = None
    assert simulation.violations == []
    members = {
        vm.backend
        for vm in simulation.vms.values()
        if vm.members == head.members
    }
    assert members == set(head.members)
    simulation.muted_vm = ""
    simulation.run(3)
    assert head.group[0] in {g.name for g in simulation.manager.serving()}


def test_new_leader_releases_members_of_an_unreachable_head(simulation):
    """Members of a fully partitioned head must serve again within 12 s."""
    head = simulation.member("small", 0)
    simulation.unreachable = {head.backend}
    simulation.start_term(3)
    simulation.manager.has_traffic = True
    simulation.run(12)
    assert simulation.violations == []
    assert head.state is STATE.BROKEN
    assert simulation.open_groups()["small"] >= 3


def test_head_of_a_draining_member_finishes_its_requests(simulation):
    """A planned close must let the head finish its requests."""
    vm = simulation.member("large", 1)
    vm.draining = True
    simulation.announce(vm)
    simulation.orders.clear()
    simulation.tick()
    closes = [o for o in simulation.orders if o.op is orders.Op.CLOSE]
    assert [o.finish_work for o in closes] == [True]


def test_head_lost_during_a_planned_close_releases_its_members(simulation):
    """Members must be released if their head is lost while it finishes."""
    vm = simulation.member("large", 1)
    name = vm.group[0]
    head = simulation.vms[vm.members[0]]
    vm.draining = True
    simulation.announce(vm)
    simulation.tick()
    assert simulation.manager.groups[name].finish_work
    head.alive = False
    simulation.run(STALL_S + 4)
    assert name not in simulation.manager.groups
    assert simulation.violations == []


def test_new_leader_adopts_groups(simulation):
    """A new leader must adopt open groups without sending orders to them."""
    before = {g.name for g in simulation.manager.serving()}
    simulation.start_term(3)
    simulation.manager.has_traffic = True
    for vm in simulation.vms.values():
        simulation.announce(vm)
    simulation.orders.clear()
    simulation.run(3)
    assert {g.name for g in simulation.manager.serving()} == before
    assert [o for o in simulation.orders if o.op is not orders.Op.STAGE] == []


def test_ended_group_is_not_adopted_again(simulation):
    """A group that ended for a silent head must not be ended repeatedly.

    It may only be adopted again once the head announces itself.
    """
    simulation.member("large", 0).alive = False
    simulation.run(STALL_S + 11)
    ended_groups = [
        o.group for o in simulation.orders if o.op is orders.Op.LEAVE
    ]
    simulation.orders.clear()
    simulation.run(5)
    repeated_groups = [
        o.group for o in simulation.orders if o.op is orders.Op.LEAVE
    ]
    assert not set(repeated_groups) & set(ended_groups)


def test_idle_vm_with_surplus_weights_is_restaged(simulation):
    """A model that lost its groups must get spare VMs of the other model."""
    for domain in ("domain-0", "domain-1", "domain-2"):
        for vm in simulation.holders(domain, "small")[1:]:
            vm.alive = False
    simulation.run(25)
    assert simulation.open_groups()["small"] >= 1
    assert simulation.open_groups()["large"] == 3


def test_remaining_vms_of_several_domains_form_a_group(simulation):
    """A model must have a group while enough VMs in all hold its weights.

    Each domain keeps three VMs of a model that needs four. Callers had no
    group until a load of 16 s was done.
    """
    vms.keep_three_large_members(simulation)
    simulation.run(STALL_S + 5)
    assert simulation.open_groups()["large"] == 1
    assert simulation.open_groups()["small"] >= 1
    assert simulation.violations == []


def test_cross_domain_group_is_replaced_by_one_in_a_domain(simulation):
    """A slow group must be replaced once a domain has enough VMs again."""
    kept = vms.keep_three_large_members(simulation)
    simulation.run(STALL_S + 5)
    cross_domain_group = next(
        g for g in simulation.manager.serving() if g.model == "large"
    )
    assert vms.domain_count(simulation, cross_domain_group) > 1
    for vm in simulation.vms.values():
        if vm not in kept and vm.domain == "domain-0":
            vm.__init__(vm.number, vm.domain)
            vm.born_ms = 2
            vm.staged = ("large",)
    simulation.run(8)
    large = [g for g in simulation.manager.serving() if g.model == "large"]
    assert min(vms.domain_count(simulation, group) for group in large) == 1
    assert simulation.violations == []


def test_groups_within_a_domain_are_preferred(simulation):
    """No group may span domains while its model has one that does not."""
    simulation.member("large", 1).alive = False
    simulation.run(8)
    assert {
        vms.domain_count(simulation, group)
        for group in simulation.manager.serving()
    } == {1}


@pytest.mark.parametrize("seed", range(40))
def test_no_vm_serves_two_groups_under_losses(seed):
    """No VM may serve two groups, whatever the order of events.

    Combines losses, returns, late orders and new leaders.
    """
    simulation = Simulation(seed=seed)
    simulation.delayed_fraction = 0.1
    simulation.run(14)
    simulation.manager.has_traffic = True
    term = 3
    traffic_s = simulation.now_s
    for _ in range(25):
        vm = simulation.random.choice(list(simulation.vms.values()))
        if vm.alive:
            vm.alive = False
        else:
            staged = vm.staged
            vm.__init__(vm.number, vm.domain)
            vm.staged = staged
            simulation.fleet.forget(vm.backend, simulation.now_s)
        if simulation.random.random() < 0.1:
            simulation.start_term(term)
            simulation.manager.has_traffic = True
            term += 1
        simulation.run(simulation.random.uniform(0.5, 4))
    assert simulation.violations == []
    _check_load_rate([s for s in simulation.load_starts_s if s > traffic_s])


def _check_load_rate(load_starts_s: list[float]) -> None:
    limit = ENGINE.loads_per_s * 5 * 1.1 + 3
    for start in load_starts_s:
        assert sum(start <= each < start + 5 for each in load_starts_s) <= limit


def test_join_orders_list_all_members(simulation):
    """All members of a new group must get the same list of members.

    The epoch of the orders contains the leader's term.
    """
    joins = [o for o in simulation.orders if o.op is orders.Op.JOIN]
    by_group = {o.group: o.members for o in joins}
    for order in joins:
        assert order.members == by_group[order.group]
        assert order.backend in order.members
        assert (
            msgspec.structs.asdict(order)["epoch"] >> adoption.TERM_SHIFT == 2
        )
