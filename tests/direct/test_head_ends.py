"""When the head of a closing group has certainly ended."""

import msgspec
import pytest

from flamingocleat import ids
from flamingocleat.version import adoption
from flamingocleat.version import confirmations
from flamingocleat.version import groups
from flamingocleat.version import late_orders
from flamingocleat.version import orders
from tests.direct import vms
from tests.direct.vms import STALL_S
from tests.direct.vms import STATE

FORMER = ids.Epoch(1 << adoption.TERM_SHIFT)


@pytest.fixture
def simulation():
    simulation = vms.Simulation()
    simulation.run(12)
    simulation.manager.has_traffic = True
    return simulation


# A silent head counted as ended although a member had left it only just now.
@pytest.mark.parametrize("model", ["small", "large"])
@pytest.mark.parametrize("gateways_reach_heads", [True, False])
@pytest.mark.parametrize(
    ("member_s", "head_s"),
    [(10.0, 17.0), (10.0, 13.0), (11.5, 20.0), (9.0, 30.0), (25.0, 40.0)],
)
def test_member_returns_before_its_head_from_a_partition(
    simulation, model, gateways_reach_heads, member_s, head_s
):
    simulation.gateways_reach_heads = gateways_reach_heads
    head = simulation.member(model, 0)
    members = set(head.members)
    simulation.unreachable = set(members)
    simulation.run(member_s)
    simulation.unreachable = {head.backend}
    simulation.run(head_s - member_s)
    simulation.unreachable = set()
    simulation.run(15)
    assert simulation.violations == []
    assert simulation.open_groups()["large"] == 3


# Silence says nothing of a head that has all of its members.
def test_silent_group_is_kept_until_one_of_it_is_heard(simulation):
    head = simulation.member("large", 0)
    name = head.group[0]
    simulation.gateways_reach_heads = False
    simulation.unreachable = set(head.members)
    simulation.run(60)
    assert name in simulation.manager.groups
    assert head.state is STATE.OPEN
    simulation.unreachable = set()
    simulation.run(10)
    assert name not in simulation.manager.groups
    assert simulation.violations == []
    assert simulation.open_groups()["large"] == 3


def _start_group(simulation):
    """Add VMs that form a group; return it as its head is ordered to open.

    The order is taken from those that are on their way.
    """
    for number in (200, 201):
        vm = vms.Vm(number, "domain-0")
        vm.staged = ("small",)
        simulation.vms[vm.backend] = vm
    while True:
        simulation.tick()
        for due in simulation.delayed_orders:
            if due[1].op is orders.Op.OPEN:
                simulation.delayed_orders.remove(due)
                return simulation.manager.groups[due[1].group], due[1]


# A head that opened late stood still although its former member, which had
# left before, was in another group.
@pytest.mark.parametrize("cut_s", [10.0, 20.0])
@pytest.mark.parametrize("late_s", [0.5, 2.0, 4.0, 8.0, 12.0])
def test_head_that_opens_late_keeps_its_members(simulation, late_s, cut_s):
    group, opening = _start_group(simulation)
    head = simulation.vms[group.head]
    sent_s = simulation.now_s
    simulation.unreachable = {head.backend}
    simulation.gateways_reach_heads = False
    is_open = False
    while simulation.now_s < sent_s + cut_s + 20:
        simulation.tick()
        if not is_open and simulation.now_s >= sent_s + late_s:
            is_open = True
            simulation.carry_out(head, opening)
        if simulation.now_s >= sent_s + cut_s:
            simulation.unreachable = set()
    assert is_open
    assert simulation.violations == []
    assert group.name not in simulation.manager.groups


# The order to open was the former leader's, and the next one does not know it.
@pytest.mark.parametrize("late_s", [3.0, 8.0, 12.0])
def test_order_of_the_former_leader_opens_a_head_late(simulation, late_s):
    group, opening = _start_group(simulation)
    head, member = (simulation.vms[each] for each in group.members)
    sent_s = simulation.now_s
    simulation.start_term(3)
    simulation.manager.has_traffic = True
    simulation.announce(head)
    simulation.unreachable = {head.backend}
    simulation.gateways_reach_heads = False
    lost = next(
        vm for vm in simulation.vms.values() if vm.group and vm.group[2] == 1
    )
    lost.alive = False
    while simulation.now_s < sent_s + 40:
        simulation.tick()
        if abs(simulation.now_s - sent_s - late_s) < vms.TICK_S / 2:
            simulation.carry_out(head, opening)
    assert simulation.violations == []
    assert member.alive


def test_ready_group_of_a_former_leader_opens(simulation):
    """Members that announce themselves late must not end its formation."""
    group, _ = _start_group(simulation)
    head, member = (simulation.vms[each] for each in group.members)
    simulation.start_term(3)
    simulation.manager.has_traffic = True
    simulation.muted_vm = member.backend
    simulation.announce(head)
    simulation.run(3)
    simulation.muted_vm = ""
    simulation.run(3)
    assert head.state is STATE.OPEN
    assert simulation.manager.groups[group.name].phase is groups.Phase.OPEN
    assert simulation.violations == []


def test_incomplete_group_of_a_former_leader_is_closed(simulation):
    """Its VMs must be free again although its head is ready."""
    group, _ = _start_group(simulation)
    head, member = (simulation.vms[each] for each in group.members)
    simulation.start_term(3)
    simulation.manager.has_traffic = True
    member.alive = False
    simulation.run(10)
    assert group.name not in simulation.manager.groups
    assert head.group is None or head.group[0] != group.name
    assert simulation.violations == []


def test_group_of_a_model_that_is_gone_is_closed(simulation):
    """A new leader must free VMs whose model is not configured any more."""
    engine = simulation.manager.engine
    head = simulation.member("small", 0)
    name = head.group[0]
    simulation.start_term(3)
    simulation.manager.engine = msgspec.structs.replace(
        engine, models=(vms.LARGE,)
    )
    simulation.run(10)
    assert head.group is None or head.group[0] != name
    assert name not in simulation.manager.groups
    assert simulation.violations == []


# Idle members of a group that had ended waited for its head at each new leader.
def test_members_of_an_ended_group_are_free_at_the_next_leader(simulation):
    head = simulation.member("large", 0)
    name = head.group[0]
    left = {each for each in head.members[:-1]}
    for vm in simulation.vms.values():
        # There is no spare to replace the lost member.
        vm.alive = not vm.serves_no_group()
    simulation.run(8)
    simulation.vms[head.members[-1]].alive = False
    while name in simulation.manager.groups:
        # The head leaves before its members are ordered to.
        simulation.delayed_orders = [
            each
            for each in simulation.delayed_orders
            if each[1].op is not orders.Op.LEAVE
            or each[1].backend == head.backend
        ]
        simulation.tick()
    simulation.run(1)
    engine = simulation.manager.engine
    simulation.start_term(3)
    simulation.manager.engine = engine
    simulation.run(vms.SETTLE_S + 1)
    survey = simulation.manager.survey(simulation.now_s)
    assert {each.announcement.backend for each in survey.idle} == left
    assert simulation.violations == []


# A member that had left came back into the group by a late order to join.
def test_member_that_joins_again_late_does_not_end_the_head(simulation):
    group, opening = _start_group(simulation)
    simulation.carry_out(simulation.vms[group.head], opening)
    simulation.run(1)
    head, member = (simulation.vms[each] for each in group.members)
    join = next(
        order
        for order in simulation.orders
        if order.op is orders.Op.JOIN
        and (order.group, order.backend) == (group.name, member.backend)
    )
    simulation.manager.head_ends.orders.record_sent(join, simulation.now_s)
    simulation.gateways_reach_heads = False
    simulation.unreachable = {head.backend}
    while member.group is not None:
        simulation.tick()
    simulation.announce(member)
    simulation.tick()
    # It joins just as it cannot say so any more.
    simulation.unreachable = set(group.members)
    simulation.carry_out(member, join)
    simulation.run(STALL_S + 3)
    assert head.state is STATE.OPEN
    assert group.name in simulation.manager.groups


def _order(op, backend="a", epoch=FORMER):
    return orders.Order(op=op, backend=backend, address="a:1", epoch=epoch)


def test_unanswered_order_may_be_carried_out_for_some_time():
    """Only a definite answer shows that an order has no later effect."""
    late = late_orders.LateOrders()
    order = _order(orders.Op.OPEN)
    key = (orders.Op.OPEN, "a", FORMER)
    assert late.latest_s(*key) == late_orders.NEVER_S
    late.record_sent(order, 1.0)
    late.record_sent(order, 2.0)
    late.record_answer(order, confirmations.Effect.UNKNOWN, 2.5)
    assert late.latest_s(*key) == 2.0 + late_orders.MAX_DELAY_S
    # It cannot be told which copy was answered.
    late.record_answer(order, confirmations.Effect.BEGUN, 3.0)
    assert late.latest_s(*key) == 2.0 + late_orders.MAX_DELAY_S
    late.record_answer(order, confirmations.Effect.REFUSED, 3.5)
    assert late.pending_until_s(*key) == late_orders.NEVER_S
    assert late.latest_s(*key) == 3.0


def test_orders_are_forgotten_with_their_groups():
    """Orders of groups that have ended must not be kept for ever."""
    late = late_orders.LateOrders()
    for backend, sent_s in (("a", 0.0), ("b", 5.0)):
        late.record_sent(_order(orders.Op.JOIN, backend), sent_s)
    late.record_sent(_order(orders.Op.LEAVE), 0.0)
    late.record_answer(_order(orders.Op.LEAVE), confirmations.Effect.HOLDS, 1.0)
    late.trim({FORMER}, 16.0)
    assert {key[1] for key in late.sent_s} == {"a", "b"}
    late.trim(set(), 16.0)
    assert {key[1] for key in late.sent_s} == {"b"}
    assert not late.begun_s


def test_head_that_was_never_open_is_given_up_in_time(simulation):
    """Members of a head that is lost as it opens must not wait for ever."""
    group, _ = _start_group(simulation)
    simulation.vms[group.head].alive = False
    simulation.run(late_orders.MAX_DELAY_S + STALL_S + 3)
    assert group.name not in simulation.manager.groups
    assert groups.Phase.CLOSING not in {
        each.phase for each in simulation.manager.groups.values()
    }
