"""Adoption of groups that an earlier leader formed.

A new leader learns of groups from the reports of their members. A group that
it cannot adopt is closed, and its members stay bound to it until its head can
no longer be open.
"""

import collections.abc

import msgspec

from flamingocleat import ids
from flamingocleat.process import logs
from flamingocleat.version import catalog as catalog_module
from flamingocleat.version import fleet as fleet_module
from flamingocleat.version import group as group_module
from flamingocleat.version import late_orders

_log = logs.logger("groups")

TERM_SHIFT = 20
"""Number of low bits of an epoch that hold a counter; the bits above hold the
leader's term. A later leader's epochs are thus higher without a write to the
log."""
ADOPT_TIMEOUT_S = 4.0
"""How long members of an adopted group may take to announce themselves. Those
that only knew the former leader find the next one within two intervals of
1.2 s."""
SPARE_SUFFIX = "-spare"
"""End of the name of a group in which a single VM keeps a model in its engine.
Such a group is never opened."""
ENDED_RETENTION_S = 60.0
"""How long an ended group is remembered; announcements delayed by a partition
may arrive after its end."""

UNKNOWN_LIFETIME = ids.Lifetime(group_module.UNKNOWN_MEMBER, 0)
"""Stands for a head that no gateway has reported."""

MembersByRank = dict[int, fleet_module.Backend]
"""Members of a group that have announced themselves, by rank."""

UNOPENED_STATES = (
    fleet_module.GroupState.JOINING,
    fleet_module.GroupState.READY,
)
"""States in which a head may open its group later."""
_PHASE_BY_HEAD_STATE = {
    fleet_module.GroupState.READY: group_module.Phase.OPENING,
    fleet_module.GroupState.OPEN: group_module.Phase.OPEN,
    fleet_module.GroupState.CLOSING: group_module.Phase.CLOSING,
}
"""Phase that an adopted group starts in, by the state of its head."""


class ReportedGroup(msgspec.Struct, frozen=True):
    """A group as reported by those members that announced themselves."""

    name: str
    epoch: ids.Epoch
    members_by_rank: MembersByRank

    def model(
        self, engine: catalog_module.Engine
    ) -> catalog_module.Model | None:
        """Return the group's model, or None if it is not configured."""
        first = self.members_by_rank[min(self.members_by_rank)]
        return engine.find_model(first.announcement.model)

    def lifetimes(self) -> dict[ids.BackendId, ids.Lifetime]:
        """Return the lifetimes of the members that announced themselves."""
        return lifetimes_of(self.members_by_rank.values())

    def members(
        self, model: catalog_module.Model | None
    ) -> tuple[ids.BackendId, ...]:
        """Return all members, with a placeholder for unknown ones.

        Without a model, its size is not known.
        """
        size = model.size if model else max(self.members_by_rank) + 1
        return tuple(
            self.members_by_rank[rank].announcement.backend
            if rank in self.members_by_rank
            else group_module.UNKNOWN_MEMBER
            for rank in range(size)
        )


class Adoption:
    """Groups that earlier leaders formed, and those that this one ended."""

    def __init__(self, term: int) -> None:
        self.term = term
        self.ended_s: dict[str, float] = {}
        """When this leader ended a group, by the name of the group."""
        self.incomplete_since_s: dict[str, float] = {}
        """When a group was first seen without its head, or without all members
        ready, by its name."""
        self.heads: dict[str, ids.Lifetime] = {}
        """Heads that gateways have reported, by the name of the group."""

    def is_from_this_term(self, epoch: ids.Epoch) -> bool:
        """Return whether a group with this epoch was formed in this term."""
        return epoch >> TERM_SHIFT >= self.term

    def take_over(
        self,
        reported: ReportedGroup,
        engine: catalog_module.Engine,
        now_s: float,
    ) -> group_module.Group | None:
        """Return a reported group with a known head, if it is to be adopted."""
        head = reported.members_by_rank[0]
        assert head.announcement.group is not None
        phase = _PHASE_BY_HEAD_STATE.get(head.announcement.group.state)
        model = reported.model(engine)
        if phase is None or reported.name.endswith(SPARE_SUFFIX):
            return None
        if head.announced_s <= self.ended_s.get(reported.name, float("-inf")):
            # This leader ended the group, and the head has not announced
            # itself since.
            return None
        own = (
            self.is_from_this_term(reported.epoch)
            or reported.name in self.ended_s
        )
        ready = sum(
            _is_ready(member) for member in reported.members_by_rank.values()
        )
        reason = ""
        if model is None:
            reason = "its model is not configured"
        elif phase is group_module.Phase.OPENING and ready < model.size:
            reason = "a member is not ready"
        if own:
            if model is None or phase is group_module.Phase.OPENING:
                # The group does not serve, so its members are free.
                return None
            reason = "the group was ended before"
        elif reason and not self.has_waited(reported, now_s):
            return None
        found = group_module.Group(
            name=reported.name,
            epoch=reported.epoch,
            model=head.announcement.model,
            members=reported.members(model),
            head_address=head.announcement.address,
            # The earlier leader may have ordered an incomplete group to open.
            phase=group_module.Phase.CLOSING if reason else phase,
            since_s=now_s,
            lifetimes=reported.lifetimes(),
            reason=reason,
            former_orders_until_s=now_s + late_orders.MAX_DELAY_S,
        )
        logs.info(
            _log,
            "group_adopted",
            group=found.name,
            epoch=found.epoch,
            phase=found.phase.value,
            members=",".join(found.members),
        )
        return found

    def claimed_heads(
        self, backends: collections.abc.Iterable[fleet_module.Backend]
    ) -> dict[ids.Lifetime, ids.Epoch]:
        """Return heads by the evidence of others, with their latest epochs.

        Gateways name the head of a group, and its other members its epoch.
        """
        claimed: dict[ids.Lifetime, ids.Epoch] = {}
        for backend in backends:
            report = backend.announcement.group
            if report is None or report.name not in self.heads:
                continue
            head = self.heads[report.name]
            claimed[head] = max(report.epoch, claimed.get(head, report.epoch))
        return claimed

    def is_orphaned(self, reported: ReportedGroup, now_s: float) -> bool:
        """Return whether a group has been without its head for too long."""
        if reported.name in self.ended_s or self.is_from_this_term(
            reported.epoch
        ):
            return False
        return self.has_waited(reported, now_s)

    def has_waited(self, reported: ReportedGroup, now_s: float) -> bool:
        """Return whether missing members have had time to be heard."""
        since_s = self.incomplete_since_s.setdefault(reported.name, now_s)
        return now_s - since_s >= ADOPT_TIMEOUT_S

    def close_orphans(
        self,
        reported: ReportedGroup,
        engine: catalog_module.Engine,
        now_s: float,
    ) -> group_module.Group | None:
        """Return a closing group for members whose head is not heard of.

        The head may still be open, so its members are not free yet. One that
        has announced itself before it opened the group is not heard of either.
        """
        model = reported.model(engine)
        if model is None:
            return None
        announced = reported.members_by_rank.get(0)
        head = (
            announced.announcement.lifetime
            if announced
            else self.heads.get(reported.name, UNKNOWN_LIFETIME)
        )
        found = group_module.Group(
            name=reported.name,
            epoch=reported.epoch,
            model=model.name,
            members=(head.backend, *reported.members(model)[1:]),
            head_address=announced.announcement.address if announced else "",
            phase=group_module.Phase.CLOSING,
            since_s=now_s,
            lifetimes={head.backend: head, **reported.lifetimes()},
            is_head_heard=announced is not None,
            # Gateways only know heads that were open.
            has_opened=reported.name in self.heads,
            former_orders_until_s=now_s + late_orders.MAX_DELAY_S,
            reason="the head has not announced itself",
        )
        logs.info(
            _log,
            "orphans_found",
            group=found.name,
            head=head.backend,
            members=",".join(found.members),
            waited_s=round(now_s - self.incomplete_since_s[reported.name], 3),
        )
        return found

    def trim(self, reported: set[str], now_s: float) -> None:
        """Forget groups that no VM has reported for a long time.

        Args:
            reported: Names of the groups that VMs report to be members of.
            now_s: Current time.
        """
        self.ended_s = {
            name: ended_s
            for name, ended_s in self.ended_s.items()
            if name in reported or now_s - ended_s < ENDED_RETENTION_S
        }
        self.incomplete_since_s = {
            name: since_s
            for name, since_s in self.incomplete_since_s.items()
            if name in reported
        }
        self.heads = {
            name: head
            for name, head in self.heads.items()
            if name in self.incomplete_since_s
        }


def is_spare(backend: fleet_module.Backend) -> bool:
    """Return whether a VM reports a model in a group of its own."""
    announcement = backend.announcement
    return (
        bool(announcement.model)
        and announcement.group is not None
        and announcement.group.name.endswith(SPARE_SUFFIX)
    )


def fill_in_members(group: group_module.Group, ranks: MembersByRank) -> None:
    """Replace placeholders in an adopted group by members now known."""
    group.members = tuple(
        ranks[rank].announcement.backend
        if member == group_module.UNKNOWN_MEMBER and rank in ranks
        else member
        for rank, member in enumerate(group.members)
    )
    for backend, lifetime in lifetimes_of(ranks.values()).items():
        group.lifetimes.setdefault(backend, lifetime)


def lifetimes_of(
    backends: collections.abc.Iterable[fleet_module.Backend],
) -> dict[ids.BackendId, ids.Lifetime]:
    """Return the current lifetimes of servers, by their ids."""
    return {
        each.announcement.backend: each.announcement.lifetime
        for each in backends
    }


def _is_ready(backend: fleet_module.Backend) -> bool:
    report = backend.announcement.group
    return report is not None and (
        report.state is fleet_module.GroupState.READY
    )
