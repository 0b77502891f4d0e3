"""Decision when the head of a closing group has certainly ended.

Its members may join another group only then. The head may say that it no
longer serves the group, or a later lifetime may show that it has ended. A head
that does neither ends by itself: it breaks once it has been open and has lacked
a member for the stall time. That time counts from the latest moment at which
either may have begun. Silence alone shows nothing, however long it lasts: a
head behind a partition serves as long as all members are in its group.
"""

from flamingocleat import ids
from flamingocleat.process import logs
from flamingocleat.version import confirmations as confirmations_module
from flamingocleat.version import fleet as fleet_module
from flamingocleat.version import group as group_module
from flamingocleat.version import late_orders
from flamingocleat.version import orders as orders_module

_log = logs.logger("groups")

STALL_MARGIN_S = 0.3
"""Added to the stall time of a head whose members have left, to allow for the
delay of their reports and of the head's own timer."""

Group = group_module.Group


class HeadEnds:
    """Evidence on the heads of one service's groups, in one leader's term."""

    def __init__(
        self,
        stall_s: float,
        fleet: fleet_module.Fleet,
        confirmations: confirmations_module.Confirmations,
    ) -> None:
        self.stall_s = stall_s
        self.fleet = fleet
        self.confirmations = confirmations
        self.orders = late_orders.LateOrders()

    def observe(self, group: Group, now_s: float) -> None:
        """Follow a closing group by what its members report."""
        state = self.reported_state(group.head, group)
        if state is not None:
            group.is_head_heard = True
        if state in group_module.SERVING_STATES:
            group.has_opened = True
        self._track_absent_members(group, now_s)

    def has_ended(self, group: Group, form_s: float, now_s: float) -> bool:
        """Return whether the head has stopped serving the group for good.

        Args:
            group: The group.
            form_s: Time that a head takes to open after it accepted the order.
            now_s: Current time.
        """
        head = self.fleet.backends.get(group.head)
        if head is not None and self._has_left(head, group):
            return True
        if self.has_lifetime_ended(group, group.head):
            return True
        if group.member_left_s is None:
            return False
        stalled_s = now_s - max(
            group.member_left_s, self._open_by_s(group) + form_s
        )
        return stalled_s > self.stall_s + STALL_MARGIN_S

    def _open_by_s(self, group: Group) -> float:
        """Return the latest time at which the head may accept to open."""
        if group.has_opened and not group.finish_work:
            return late_orders.NEVER_S
        return max(
            group.former_orders_until_s,
            self.orders.latest_s(
                orders_module.Op.OPEN, group.head, group.epoch
            ),
        )

    def reported_state(
        self, member: ids.BackendId, group: Group
    ) -> fleet_module.GroupState | None:
        """Return the state that a member reports of the group, or None."""
        backend = self.fleet.backends.get(member)
        report = backend.announcement.group if backend else None
        if report is None or report.epoch != group.epoch:
            return None
        return report.state

    def has_lifetime_ended(self, group: Group, member: ids.BackendId) -> bool:
        """Return whether the lifetime that was a group's member has ended."""
        lifetime = group.lifetimes.get(member)
        return lifetime is not None and self.fleet.has_ended(lifetime)

    def _has_left(self, head: fleet_module.Backend, group: Group) -> bool:
        """Return whether a head says that it no longer serves a group.

        A head without a group, or in an earlier one, may have said so before it
        joined.
        """
        report = head.announcement.group
        if report is None or report.epoch < group.epoch:
            return group.is_head_heard or self.confirmations.is_confirmed(
                head.announcement
            )
        return (
            report.epoch > group.epoch
            or report.state is fleet_module.GroupState.BROKEN
        )

    def _track_absent_members(self, group: Group, now_s: float) -> None:
        """Record since when at least one member has been out of the group."""
        absent = [
            member
            for member in group.members[1:]
            if self._is_absent(member, group)
        ]
        if not absent:
            group.member_left_s = None
        elif group.member_left_s is None:
            group.member_left_s = now_s
            logs.info(
                _log,
                "head_stalls",
                group=group.name,
                absent=",".join(absent),
                may_open_s=round(max(0.0, self._open_by_s(group) - now_s), 3),
                closing_s=round(now_s - group.since_s, 3),
            )

    def _is_absent(self, member: ids.BackendId, group: Group) -> bool:
        """Return whether a member is out of the group and stays out."""
        if self.has_lifetime_ended(group, member):
            return True
        backend = self.fleet.backends.get(member)
        if backend is None or self.reported_state(member, group) is not None:
            return False
        report = backend.announcement.group
        if report is not None and report.epoch > group.epoch:
            return True
        # An order to join that is carried out late brings it back.
        return backend.announced_s > self.orders.pending_until_s(
            orders_module.Op.JOIN, member, group.epoch
        )
