"""A new leader that hears late announcements first."""

import msgspec
import pytest

from flamingocleat import ids
from flamingocleat.version import confirmations
from flamingocleat.version import fleet as fleet_module
from flamingocleat.version import orders
from tests.direct import vms
from tests.direct.vms import Simulation
from tests.direct.vms import STATE
from tests.direct.vms import Vm


@pytest.fixture
def simulation():
    simulation = Simulation(count=9)
    simulation.manager.engine = msgspec.structs.replace(
        vms.ENGINE, models=(msgspec.structs.replace(vms.SMALL, share=1.0),)
    )
    simulation.run(12)
    simulation.manager.has_traffic = True
    return simulation


def start_term(simulation: Simulation) -> None:
    """Start the term of a leader that remembers nothing."""
    engine = simulation.manager.engine
    simulation.start_term(simulation.manager.term + 1)
    simulation.manager.engine = engine
    simulation.manager.has_traffic = True


def add_spare(simulation: Simulation, number: int, domain: str) -> Vm:
    """Add a VM that holds the weights."""
    vm = Vm(number, domain)
    vm.staged = ("small",)
    simulation.vms[vm.backend] = vm
    return vm


def open_group_of_spares(
    simulation: Simulation,
) -> dict[int, tuple[Vm, fleet_module.Announcement]]:
    """Let a spare and a new VM form a group that opens.

    Returns both by rank, each with an announcement of before it joined. Another
    spare is left, with which each of them could form a group.
    """
    head = next(
        vm
        for vm in simulation.vms.values()
        if vm.group and len(vm.members) == 1 and vm.state is STATE.READY
    )
    member = add_spare(simulation, 100, head.domain)
    before = simulation.announcement(head), simulation.announcement(member)
    simulation.run(8)
    assert head.state is STATE.OPEN
    assert head.members == (head.backend, member.backend)
    add_spare(simulation, 120, head.domain)
    simulation.run(8)
    return {0: (head, before[0]), 1: (member, before[1])}


def lead(
    simulation: Simulation,
    late_vms: set[str],
    first: fleet_module.Announcement,
) -> None:
    """Run a new term that hears one old announcement, and some VMs late."""
    simulation.late_announcements.clear()
    simulation.late_vms = late_vms
    start_term(simulation)
    assert simulation.fleet.announce(first, simulation.now_s)
    for _ in range(120):
        # Gateways name the heads that they use.
        for head in simulation.vms.values():
            if head.state is STATE.OPEN and head.alive:
                manager = simulation.manager
                manager.adoption.heads[head.group[0]] = head.lifetime
                evidence = manager.evidence_of_lifetime(head.lifetime)
                evidence.served_s = simulation.now_s
        simulation.tick()


# A new leader took an open head for a spare, by an announcement that was sent
# before the head joined, and ordered it into another group.
@pytest.mark.parametrize("tells_state", [True, False])
def test_late_announcement_does_not_free_an_open_head(simulation, tells_state):
    simulation.tells_state = tells_state
    head, before = open_group_of_spares(simulation)[0]
    lead(simulation, {head.backend}, before)
    assert simulation.violations == []
    assert head.state is STATE.OPEN


# The same for a member, whose open head announces itself in time.
def test_late_announcement_does_not_free_a_member(simulation):
    member, before = open_group_of_spares(simulation)[1]
    lead(simulation, {member.backend}, before)
    assert simulation.violations == []
    assert not member.serves_no_group()


# The same for a head that said that it was ready before it opened.
def test_announcement_of_before_it_opened_does_not_free_a_head(simulation):
    group = open_group_of_spares(simulation)
    head = group[0][0]
    ready = msgspec.structs.replace(
        simulation.announcement(head),
        group=fleet_module.GroupReport(*head.group, STATE.READY),
    )
    lead(simulation, {vm.backend for vm, _ in group.values()}, ready)
    assert simulation.violations == []
    assert head.state is STATE.OPEN


# An order of the former leader that is carried out after a VM was read made it
# a member of two groups.
def test_join_is_refused_after_an_order_that_was_not_read(simulation):
    spare = next(
        vm
        for vm in simulation.vms.values()
        if vm.group and len(vm.members) == 1 and vm.state is STATE.READY
    )
    new = add_spare(simulation, 100, spare.domain)
    start_term(simulation)
    simulation.run(vms.SETTLE_S - 0.2)
    old_join = orders.Order(
        op=orders.Op.JOIN,
        backend=spare.backend,
        address=spare.address,
        model="small",
        group="former",
        epoch=ids.Epoch(spare.group[1] + 100),
        members=(spare.backend,),
    )
    simulation.announce(new)
    while spare.lifetime not in simulation.manager.confirmations.orders:
        simulation.tick()
    simulation.late_vms = {spare.backend}
    simulation.carry_out(spare, old_join)
    spare.state = STATE.OPEN
    simulation.ready_members.add((spare.backend, "former"))
    simulation.run(3)
    assert simulation.violations == []
    refused = [o for o in simulation.orders if o.expected_orders is not None]
    assert spare.backend in {o.backend for o in refused}
    assert spare.group[0] == "former"


@pytest.mark.parametrize("seed", range(40))
def test_no_vm_serves_two_groups_with_late_announcements(seed):
    """No VM may serve two groups, whatever a new leader hears first.

    Combines late and reordered announcements, late orders, losses, returns and
    changes of leader in quick succession.
    """
    simulation = Simulation(seed=seed)
    simulation.run(14)
    simulation.manager.has_traffic = True
    simulation.delayed_fraction = 0.1
    simulation.late_fraction = 0.3
    for _ in range(20):
        vm = simulation.random.choice(list(simulation.vms.values()))
        if vm.alive:
            vm.alive = False
        else:
            born_ms, staged = vm.born_ms, vm.staged
            vm.__init__(vm.number, vm.domain)
            vm.born_ms, vm.staged = born_ms + 1, staged
        if simulation.random.random() < 0.4:
            start_term(simulation)
        simulation.run(simulation.random.uniform(0.5, 5))
    assert simulation.violations == []
    simulation.delayed_fraction = simulation.late_fraction = 0.0
    simulation.run(40)
    assert simulation.violations == []
    assert min(simulation.open_groups().values()) > 0


def announce_first(backend: str) -> fleet_module.Announcement:
    """Return the first announcement of a VM, which is in no group."""
    return fleet_module.Announcement(
        backend=backend,
        born_ms=5,
        sequence=1,
        service="llm",
        address="10.0.0.1:80",
        data_centre="a",
        state=fleet_module.BackendState.READY,
    )


def test_vm_that_contradicts_its_announcement_is_read_again():
    """A VM must be confirmed by an announcement that matches its state."""
    known = confirmations.Confirmations(lambda epoch: epoch >= 100)
    group = fleet_module.GroupReport("g", ids.Epoch(7), 0, STATE.OPEN)
    announcement = announce_first("vm-1")
    backend = fleet_module.Backend(announcement, 0.0)
    lifetime = announcement.lifetime
    states = {
        "other group": fleet_module.VmState(born_ms=5, group=group, orders=3),
        "other lifetime": fleet_module.VmState(born_ms=6),
        "no answer": None,
    }
    for number, state in enumerate(states.values()):
        assert known.begin_reads([backend], float(number)) == [backend]
        assert known.begin_reads([backend], float(number)) == []
        known.end_read(lifetime, announcement, state)
        assert not known.is_confirmed(announcement)
    same = fleet_module.VmState(born_ms=5, orders=4)
    assert known.begin_reads([backend], 9.0) == [backend]
    known.end_read(lifetime, announcement, same)
    assert known.expected_orders(announcement) == 4
    known.invalidate(lifetime, 9.1)
    assert not known.is_confirmed(announcement)
    assert known.begin_reads([backend], 9.2) == []
    joined = msgspec.structs.replace(
        announcement, group=msgspec.structs.replace(group, epoch=100)
    )
    known.observe(joined, joined.group.epoch)
    assert known.is_confirmed(announcement)
    assert known.expected_orders(announcement) is None


def test_reads_are_bounded():
    """A leader must not read all VMs of a region at the same time."""
    known = confirmations.Confirmations(lambda epoch: False)
    backends = [
        fleet_module.Backend(announce_first(f"vm-{number}"), 0.0)
        for number in range(1000)
    ]
    first = known.begin_reads(backends, 0.0)
    assert len(first) == confirmations.MAX_READS
    known.end_read(first[0].announcement.lifetime, None, None)
    assert len(known.begin_reads(backends, 1.0)) == 1


def _confirmed(orders_read: int):
    """Return confirmations with one VM that has accepted some orders."""
    known = confirmations.Confirmations(lambda epoch: False)
    announcement = announce_first("vm-1")
    known.begin_reads([fleet_module.Backend(announcement, 0.0)], 0.0)
    state = fleet_module.VmState(born_ms=5, orders=orders_read)
    known.end_read(announcement.lifetime, announcement, state)
    return known, announcement


def order(op: orders.Op, **changes) -> orders.Order:
    return orders.Order(op=op, backend="vm-1", address="10.0.0.1:80", **changes)


# The first join after an order to leave was refused, as the VM's announcement
# overtook the answer: each such group was formed 0.4 s later.
def test_order_to_leave_counts_as_the_vm_announces_it():
    known, without_group = _confirmed(4)
    lifetime = without_group.lifetime
    group = fleet_module.GroupReport("g", ids.Epoch(7), 1, STATE.READY)
    in_group = msgspec.structs.replace(without_group, group=group)
    leave = order(orders.Op.LEAVE, epoch=7)
    for _ in range(3):
        known.on_order_sent(leave, lifetime)
        assert known.expected_orders(in_group) == 4
        assert known.expected_orders(without_group) == 5
        known.on_order_answered(
            leave, lifetime, confirmations.Effect.HOLDS, 1.0
        )
        assert known.expected_orders(without_group) == 5


@pytest.mark.parametrize(
    ("op", "effect", "expected"),
    [
        (orders.Op.OPEN, confirmations.Effect.BEGUN, 5),
        (orders.Op.CLOSE, confirmations.Effect.BEGUN, 5),
        (orders.Op.CLOSE, confirmations.Effect.HOLDS, 4),
        (orders.Op.OPEN, confirmations.Effect.REFUSED, 4),
        # A load that is under way is begun again without a count.
        (orders.Op.STAGE, confirmations.Effect.BEGUN, None),
        (orders.Op.LEAVE, confirmations.Effect.UNKNOWN, None),
        (orders.Op.CLOSE, confirmations.Effect.UNKNOWN, None),
    ],
)
def test_count_follows_what_orders_did(op, effect, expected):
    """A VM whose count is not certain must be read again."""
    known, announcement = _confirmed(4)
    lifetime = announcement.lifetime
    known.on_order_answered(order(op), lifetime, effect, 1.0)
    assert known.expected_orders(announcement) == expected
    assert (lifetime in known.orders) is (expected is not None)
