"""Simulated VMs that carry out orders, and checks of the group rules."""

import random

from flamingocleat import ids
from flamingocleat.process import coordinator
from flamingocleat.version import catalog
from flamingocleat.version import confirmations
from flamingocleat.version import fleet as fleet_module
from flamingocleat.version import group as group_module
from flamingocleat.version import groups
from flamingocleat.version import orders

LARGE = catalog.Model("large", 4, 0.67, 1.0, 16.0, 1.6)
SMALL = catalog.Model("small", 2, 0.33, 0.6, 12.0, 1.1)
ENGINE = catalog.Engine(
    slots=24,
    kv_tokens=700_000,
    stride=3,
    step_ms=6.07,
    sequence_ms=0.482,
    context_ms=0.01,
    read_per_s=46_000,
    chunk_tokens=2048,
    loads_per_s=3,
    loads_at_once=6,
    form_s=0.3,
    cross_domain_factor=2.5,
    mean_prompt_tokens=1000,
    mean_answer_tokens=85,
    models=(LARGE, SMALL),
)
TICK_S = 0.1
ANNOUNCE_INTERVAL_S = 1.2
SETTLE_S = ANNOUNCE_INTERVAL_S * coordinator.SETTLE_INTERVALS
STALL_S = 4.0
MAX_LATE_S = 6.0
STATE_LAG_TICKS = 3
"""Ticks by which the state that a VM tells may be old."""
STATE = fleet_module.GroupState
SETTINGS = groups.GroupManagerSettings(STALL_S, 1)


class Vm:
    """A simulated VM, as far as the group manager's orders concern it."""

    def __init__(self, number: int, domain: str) -> None:
        self.number = number
        self.born_ms = 1
        self.backend = f"vm-{number}"
        self.address = f"{self.backend}:80"
        self.domain = domain
        self.data_centre = "a"
        self.alive = True
        self.staged: tuple[str, ...] = ()
        self.model = ""
        self.group: tuple[str, int, int] | None = None
        self.members: tuple[str, ...] = ()
        self.last_group: tuple[str, str, int] | None = None
        """Head, name and epoch of its last group; kept after it leaves."""
        self.state = STATE.JOINING
        self.ready_at_s = 0.0
        self.pending_load = None
        self.sequence = 0
        self.draining = False
        self.stalled_s: float | None = None
        self.highest_epoch = 0
        self.opens_s: float | None = None
        self.orders = 0
        """Number of orders that it has accepted."""
        self.history: list[fleet_module.VmState] = []
        """Its states of the last ticks; it tells the oldest of them."""

    @property
    def lifetime(self) -> ids.Lifetime:
        return ids.Lifetime(self.backend, self.born_ms)

    def report(self) -> fleet_module.GroupReport | None:
        """Return what it reports of its group."""
        if self.group is None:
            return None
        return fleet_module.GroupReport(*self.group, self.state)

    def serves_no_group(self) -> bool:
        """Return whether it is in no group of several VMs."""
        return self.group is None or len(self.members) == 1

    def has_joined(self) -> bool:
        """Return whether it reports the model that its engine holds.

        The engine keeps the model of its last group, but does not report it.
        """
        return self.group is not None and self.state is not STATE.JOINING


class Simulation:
    """VMs and a group manager, with checks of the platform's rules."""

    def __init__(self, count: int = 24, seed: int = 0, term: int = 2) -> None:
        self.random = random.Random(seed)
        self.now_s = 100.0
        self.vms = {}
        for number in range(count):
            vm = Vm(number, f"domain-{number % 3}")
            self.vms[vm.backend] = vm
        self.start_term(term)
        self.load_starts_s: list[float] = []
        self.orders: list[orders.Order] = []
        self.delayed_orders: list[tuple[float, orders.Order]] = []
        self.delayed_fraction = 0.0
        self.late_fraction = 0.0
        """Fraction of the announcements that arrive late and out of order."""
        self.late_vms: set[str] = set()
        """VMs all of whose announcements are late."""
        self.late_announcements: list[
            tuple[float, fleet_module.Announcement]
        ] = []
        self.tells_state = True
        """Whether VMs tell their state when they are asked."""
        self.muted_vm = ""
        """A VM whose announcements do not reach the coordinator."""
        self.unreachable: set[str] = set()
        """VMs that are partitioned from the coordinator in both directions."""
        self.gateways_reach_heads = True
        """Whether gateways reach the heads that the coordinator cannot."""
        self.joins_lost_until_s = 0.0
        """Time until which orders to join are lost."""
        self.violations: list[str] = []
        """Descriptions of the rules that were broken."""
        self.ready_members: set[tuple[str, str]] = set()

    def start_term(self, term: int) -> None:
        """Start the term of a new leader, which has no state yet.

        Until all VMs have announced themselves it adopts groups and gives no
        orders.
        """
        served = self.manager.serving() if hasattr(self, "manager") else ()
        self.fleet = fleet_module.Fleet()
        self.manager = self.make_manager(term)
        for group in served:
            # Gateways name the heads on the former leader's list.
            head = group.lifetimes.get(group.head)
            if head is not None:
                self.manager.adoption.heads[group.name] = head
        self.settled_s = self.now_s + SETTLE_S

    def make_manager(self, term: int) -> groups.GroupManager:
        """Return a group manager that has no state yet."""
        manager = groups.GroupManager(SETTINGS, "llm", self.fleet, term)
        manager.engine = ENGINE
        return manager

    def run(self, duration_s: float) -> None:
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.tick()

    def tick(self) -> None:
        self.now_s += TICK_S
        for vm in self.vms.values():
            self._advance(vm)
            announce_tick = round(self.now_s / TICK_S) + vm.number * 5
            if (
                vm.alive
                and announce_tick % round(ANNOUNCE_INTERVAL_S / TICK_S) == 0
            ):
                self.announce(vm)
        self._deliver_late_announcements()
        due = [o for at_s, o in self.delayed_orders if at_s <= self.now_s]
        self.delayed_orders = [
            d for d in self.delayed_orders if d[0] > self.now_s
        ]
        for order in due:
            self.apply_order(order)
        self._probe()
        self._check_serving()
        if self.now_s < self.settled_s:
            self.manager.adopt_early(self.now_s)
            self._tell_states()
            return
        for order in self.manager.step(self.now_s):
            self.orders.append(order)
            arrival_s = self.now_s + TICK_S / 2
            if self.random.random() < self.delayed_fraction:
                arrival_s = self.now_s + self.random.uniform(2, 12)
            self.delayed_orders.append((arrival_s, order))
        self._tell_states()

    def _tell_states(self) -> None:
        """Let the VMs that the manager reads tell their state."""
        for vm in self.vms.values():
            state = fleet_module.VmState(
                born_ms=vm.born_ms, group=vm.report(), orders=vm.orders
            )
            vm.history = [*vm.history, state][-STATE_LAG_TICKS:]
        for backend in self.manager.begin_reads(self.now_s):
            lifetime = backend.announcement.lifetime
            vm = self.vms.get(lifetime.backend)
            if not vm or not vm.alive or vm.backend in self.unreachable:
                state = None
            elif self.tells_state:
                state = vm.history[0]
            else:
                state = fleet_module.VmState(is_told=False)
            self.manager.end_read(lifetime, state)

    def announce(self, vm: Vm) -> None:
        if vm.backend == self.muted_vm or vm.backend in self.unreachable:
            return
        announcement = self.announcement(vm)
        is_late = (
            vm.backend in self.late_vms
            or self.random.random() < self.late_fraction
        )
        if is_late:
            arrival_s = self.now_s + self.random.uniform(0.5, MAX_LATE_S)
            self.late_announcements.append((arrival_s, announcement))
        else:
            self.fleet.announce(announcement, self.now_s)

    def _deliver_late_announcements(self) -> None:
        due = [a for a in self.late_announcements if a[0] <= self.now_s]
        self.late_announcements = [
            a for a in self.late_announcements if a[0] > self.now_s
        ]
        for _, announcement in due:
            self.fleet.announce(announcement, self.now_s)

    def announcement(self, vm: Vm) -> fleet_module.Announcement:
        """Return the next announcement of a VM."""
        vm.sequence += 1
        return fleet_module.Announcement(
            backend=vm.backend,
            born_ms=vm.born_ms,
            sequence=vm.sequence,
            service="llm",
            address=vm.address,
            data_centre=vm.data_centre,
            state=(
                fleet_module.BackendState.DRAINING
                if vm.draining
                else fleet_module.BackendState.READY
            ),
            slots=24,
            domain=vm.domain,
            staged=vm.staged,
            model=vm.model if vm.has_joined() else "",
            group=vm.report(),
        )

    def apply_order(self, order: orders.Order) -> None:
        """Carry out an order and tell the manager its outcome."""
        vm = self.vms[order.backend]
        if not vm.alive or vm.backend in self.unreachable:
            return
        before = vm.orders
        self.manager.confirmations.on_order_sent(order, vm.lifetime)
        effect = confirmations.Effect.REFUSED
        if order.expected_orders in (None, before):
            self.carry_out(vm, order)
            effect = confirmations.Effect.HOLDS
            if vm.orders > before and order.op is not orders.Op.LEAVE:
                effect = confirmations.Effect.BEGUN
        self.manager.on_order_answered(order, vm.lifetime, effect, self.now_s)

    def carry_out(self, vm: Vm, order: orders.Order) -> None:
        """Carry out an order."""
        if order.op is orders.Op.STAGE:
            vm.orders += 1
            self.load_starts_s.append(self.now_s)
            vm.pending_load = (self.now_s + 2.0, order.model)
        elif order.op is orders.Op.JOIN:
            if self.now_s >= self.joins_lost_until_s:
                self._join(vm, order)
        elif vm.group is not None and vm.group[1] == order.epoch:
            vm.orders += 1
            if order.op is orders.Op.OPEN and vm.state is STATE.READY:
                vm.opens_s = self.now_s + ENGINE.form_s
            elif order.op is orders.Op.LEAVE:
                vm.group = None
                vm.members = ()
                vm.opens_s = vm.stalled_s = None
                vm.state = STATE.JOINING
            elif order.op is orders.Op.CLOSE and vm.state in (
                STATE.OPEN,
                STATE.CLOSING,
            ):
                vm.state = STATE.READY
                vm.stalled_s = None
            self.announce(vm)

    def _join(self, vm: Vm, order: orders.Order) -> None:
        if order.epoch < vm.highest_epoch or (
            vm.group is not None and vm.group[1] == order.epoch
        ):
            return
        head = vm.last_group and self.vms[vm.last_group[0]]
        if (
            head
            and head.alive
            and head.group == (*vm.last_group[1:], 0)
            and head.state in (STATE.OPEN, STATE.CLOSING)
        ):
            # A head that lacks a member counts as open until it reports its
            # group as broken.
            self.violations.append(
                f"{self.now_s:.1f}: {vm.backend} left open {vm.last_group}"
            )
        vm.orders += 1
        vm.highest_epoch = order.epoch
        vm.opens_s = vm.stalled_s = None
        has_model_in_engine = order.model == vm.model
        vm.model = order.model
        rank = order.members.index(vm.backend)
        vm.group = (order.group, order.epoch, rank)
        vm.members = order.members
        vm.last_group = (order.members[0], order.group, order.epoch)
        vm.state = STATE.JOINING
        model = ENGINE.find_model(order.model)
        load_s = model.warm_s if model.name in vm.staged else model.load_s
        vm.ready_at_s = self.now_s + (0.2 if has_model_in_engine else load_s)
        self.announce(vm)

    def _check_serving(self) -> None:
        """Check that every member of each serving group has been ready.

        An order to open that is carried out late may open the head of a
        closed group; such a group gets no requests and is not checked.
        """
        for group in self.manager.serving():
            # Use the group and the list that the head has: a new leader may
            # not have announcements of all members yet, and late ones may name
            # a group that the head has left.
            head = self.vms[group.head]
            if head.group is None or head.state is not STATE.OPEN:
                continue
            name = head.group[0]
            for member in head.members:
                if (member, name) not in self.ready_members:
                    self.violations.append(
                        f"{self.now_s:.1f}: {name} serves although "
                        f"{member} was never ready"
                    )

    def _advance(self, vm: Vm) -> None:
        if not vm.alive:
            return
        if vm.pending_load and vm.pending_load[0] <= self.now_s:
            vm.staged = (vm.pending_load[1],)
            vm.pending_load = None
            self.announce(vm)
        if (
            vm.state is STATE.JOINING
            and vm.group
            and (vm.ready_at_s <= self.now_s)
        ):
            vm.state = STATE.READY
            self.ready_members.add((vm.backend, vm.group[0]))
            self.announce(vm)
        if vm.opens_s is not None and vm.opens_s <= self.now_s:
            vm.opens_s = None
            vm.state = STATE.OPEN
            self.announce(vm)
        if vm.state is STATE.OPEN:
            is_complete = all(
                self.vms[m].alive
                and self.vms[m].group is not None
                and self.vms[m].group[:2] == vm.group[:2]
                for m in vm.members
            )
            if is_complete:
                vm.stalled_s = None
            elif vm.stalled_s is None:
                vm.stalled_s = self.now_s
            elif self.now_s - vm.stalled_s > STALL_S:
                vm.state = STATE.BROKEN
                self.announce(vm)

    def _probe(self) -> None:
        for group in self.manager.serving():
            head = self.vms[group.head]
            evidence = self.manager.evidence_of(group.head)
            reached = (
                self.gateways_reach_heads
                or head.backend not in self.unreachable
            )
            if head.alive and head.stalled_s is None and reached:
                evidence.served_s = self.now_s
            else:
                evidence.suspected_s = self.now_s
        for backend in self.manager.members_to_probe(self.now_s):
            evidence = self.manager.evidence_of(backend.announcement.backend)
            vm = self.vms[backend.announcement.backend]
            if vm.alive and vm.backend not in self.unreachable:
                evidence.reached_s = self.now_s
            else:
                evidence.silent_s = self.now_s

    def set_in_flight(self, model: str, in_flight: int) -> None:
        """Set the requests in flight at each head of a model."""
        for group in self.manager.serving():
            if group.model == model:
                self.manager.in_flight[group.head] = in_flight

    def open_groups(self) -> dict[str, int]:
        """Return the number of complete groups that serve, by model."""
        counts = {"large": 0, "small": 0}
        for vm in self.vms.values():
            if vm.alive and vm.state is STATE.OPEN and vm.stalled_s is None:
                counts[vm.model] += 1
        return counts

    def holders(self, domain: str, model: str) -> list[Vm]:
        """Return the VMs of a domain that serve a model or are its spares."""
        return [
            vm
            for vm in self.vms.values()
            if vm.domain == domain
            and (vm.model == model or (not vm.model and vm.staged == (model,)))
        ]

    def member(self, model: str, rank: int) -> Vm:
        """Return the VM with this rank in some open group of a model."""
        for group in self.manager.serving():
            if group.model == model:
                return self.vms[group.members[rank]]
        raise AssertionError(f"no group of {model}")


def keep_three_large_members(simulation) -> list[Vm]:
    """Stop all VMs except three members of each domain's large group."""
    kept = []
    for domain in ("domain-0", "domain-1", "domain-2"):
        members = [
            vm
            for vm in simulation.holders(domain, "large")
            if vm.group is not None and vm.group[2]
        ]
        kept += members[:3]
    for vm in simulation.vms.values():
        vm.alive = vm in kept
    return kept


def domain_count(simulation, group: group_module.Group) -> int:
    """Return the number of domains that a group spans."""
    return len({simulation.vms[member].domain for member in group.members})
