"""Confirmation of what VMs announced to a leader that remembers nothing.

An announcement may arrive late, and a new leader has no earlier one to order it
by: the first that it hears of a VM may be older than the group that the VM
leads by now. The leader therefore reads a VM's state before it gives that VM
its first group, and binds the order to the number of orders that the VM had
accepted by then. An order of an earlier leader that is carried out in between
makes the VM refuse. Neither step relies on a bound on delays.
"""

import collections.abc
import enum

from flamingocleat import ids
from flamingocleat.process import logs
from flamingocleat.version import fleet as fleet_module
from flamingocleat.version import orders as orders_module

_log = logs.logger("confirmations")

READ_INTERVAL_S = 0.3
"""Shortest time between a read of a VM and the last one, or the last order. A
VM tells its state as of some 0.2 s earlier."""
MAX_READS = 64
"""Bound on the reads in progress. Before its first configuration, a leader
finds all VMs of a region idle at the same time."""


class Effect(enum.Enum):
    """What an order did to a VM, by the VM's answer."""

    BEGUN = "begun"
    HOLDS = "holds"
    """The ordered state holds, or was reached at once."""
    REFUSED = "refused"
    """It did not fit the VM's state or its order count."""
    UNKNOWN = "unknown"
    UNSENT = "unsent"
    """It did not reach the VM."""


NO_ANSWER = (Effect.UNKNOWN, Effect.UNSENT)


class Confirmations:
    """Lifetimes of one service's VMs whose newest announcement is current."""

    def __init__(
        self, is_from_this_term: collections.abc.Callable[[ids.Epoch], bool]
    ) -> None:
        self.is_from_this_term = is_from_this_term
        self.orders: dict[ids.Lifetime, int | None] = {}
        """Confirmed lifetimes with the number of orders that they had accepted
        when they were read. None once an epoch of this term fences them from
        earlier leaders, or if they do not tell their state."""
        self.untold: set[ids.Lifetime] = set()
        """Those of them that do not tell their state."""
        self.read_s: dict[ids.Lifetime, float] = {}
        """When the last read of a lifetime began, or was spoilt."""
        self.leaving: dict[ids.Lifetime, ids.Epoch] = {}
        """Groups that VMs were ordered to leave since they were read."""
        self.reading: set[ids.Lifetime] = set()

    def observe(
        self, announcement: fleet_module.Announcement, epoch: ids.Epoch
    ) -> None:
        """Confirm a lifetime that is in a group of this term.

        The epoch fences it from earlier leaders, and its sequence numbers order
        what it announces from now on.
        """
        if self.is_from_this_term(epoch):
            self.orders[announcement.lifetime] = None
            self.untold.discard(announcement.lifetime)

    def is_confirmed(self, announcement: fleet_module.Announcement) -> bool:
        """Return whether an announcement is known to be current."""
        return announcement.lifetime in self.orders

    def expected_orders(
        self, announcement: fleet_module.Announcement
    ) -> int | None:
        """Return the order count that an order to join must be bound to.

        An order to leave counts once the VM announces that it has left, which
        may be before the order is answered.
        """
        known = self.orders.get(announcement.lifetime)
        left = self.leaving.get(announcement.lifetime)
        if known is None or left is None:
            return known
        group = announcement.group
        return known + (group is None or group.epoch != left)

    def begin_reads(
        self,
        backends: collections.abc.Iterable[fleet_module.Backend],
        now_s: float,
    ) -> list[fleet_module.Backend]:
        """Return those of the unconfirmed VMs that should be read now."""
        due = []
        for backend in backends:
            lifetime = backend.announcement.lifetime
            last_s = self.read_s.get(lifetime, float("-inf"))
            if len(self.reading) >= MAX_READS:
                break
            if lifetime in self.reading or now_s - last_s < READ_INTERVAL_S:
                continue
            self.reading.add(lifetime)
            self.read_s[lifetime] = now_s
            due.append(backend)
        return due

    def end_read(
        self,
        lifetime: ids.Lifetime,
        newest: fleet_module.Announcement | None,
        state: fleet_module.VmState | None,
    ) -> None:
        """Record the end of a read.

        Args:
            lifetime: The lifetime that was to be read.
            newest: The server's newest announcement, if it is known.
            state: The state that was read, or None without an answer.
        """
        if lifetime not in self.reading:
            return
        self.reading.discard(lifetime)
        if state is None or newest is None or newest.lifetime != lifetime:
            return
        if not state.is_told:
            self.orders.setdefault(lifetime, None)
            self.untold.add(lifetime)
            return
        is_same = (
            state.born_ms in (0, lifetime.born_ms)
            and state.group == newest.group
        )
        logs.info(
            _log,
            "announcement_confirmed" if is_same else "announcement_outdated",
            backend=lifetime.backend,
            born_ms=lifetime.born_ms,
            sequence=newest.sequence,
            announced=_describe(newest.group),
            found=_describe(state.group),
            orders=state.orders,
        )
        if is_same:
            self.orders[lifetime] = state.orders
            self.leaving.pop(lifetime, None)

    def on_order_sent(
        self, order: orders_module.Order, lifetime: ids.Lifetime
    ) -> None:
        """Remember an order to leave, which a VM carries out at once."""
        if (
            order.op is orders_module.Op.LEAVE
            and self.orders.get(lifetime) is not None
        ):
            self.leaving[lifetime] = order.epoch

    def on_order_answered(
        self,
        order: orders_module.Order,
        lifetime: ids.Lifetime,
        effect: Effect,
        now_s: float,
    ) -> None:
        """Follow the number of orders that a VM has accepted.

        A join needs no later order to be bound: if the VM has accepted it, its
        epoch fences the VM from earlier leaders. Orders to load weights do not
        count if the load is under way, and unanswered ones may count later.
        """
        known = self.orders.get(lifetime)
        if known is None:
            return
        op = order.op
        if op is orders_module.Op.JOIN:
            if effect is not Effect.REFUSED:
                self.orders[lifetime] = None
            elif order.expected_orders is not None:
                self.invalidate(lifetime, now_s)
        elif effect in NO_ANSWER or op is orders_module.Op.STAGE:
            self.invalidate(lifetime, now_s)
        elif effect is Effect.BEGUN:
            self.orders[lifetime] = known + 1

    def invalidate(self, lifetime: ids.Lifetime, now_s: float) -> None:
        """Let a VM be read again, as its order count is not certain any more.

        A read in progress may not show an order yet, and does not count.
        """
        if self.orders.get(lifetime) is not None:
            del self.orders[lifetime]
        self.leaving.pop(lifetime, None)
        self.reading.discard(lifetime)
        self.read_s[lifetime] = now_s

    def trim(
        self,
        known: collections.abc.Mapping[ids.BackendId, fleet_module.Backend],
    ) -> None:
        """Forget lifetimes that are gone, once there are more than VMs."""
        if max(len(self.orders), len(self.read_s)) <= len(known):
            return
        current = {each.announcement.lifetime for each in known.values()}
        self.orders = {k: v for k, v in self.orders.items() if k in current}
        self.read_s = {k: v for k, v in self.read_s.items() if k in current}
        self.leaving = {k: v for k, v in self.leaving.items() if k in current}
        self.untold &= current
        self.reading &= current


def _describe(group: fleet_module.GroupReport | None) -> str:
    return f"{group.name} {group.rank} {group.state.value}" if group else ""
