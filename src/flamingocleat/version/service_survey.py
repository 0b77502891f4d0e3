"""Summary of a service's backend servers for one review of its groups.

Built once per review in time linear in the number of VMs and groups, so that
one leader can review a region of thousands of VMs.
"""

import collections
import collections.abc
import enum

from flamingocleat import ids
from flamingocleat.version import adoption as adoption_module
from flamingocleat.version import catalog as catalog_module
from flamingocleat.version import confirmations as confirmations_module
from flamingocleat.version import evacuations
from flamingocleat.version import fleet as fleet_module
from flamingocleat.version import formation
from flamingocleat.version import group as group_module


class VmUse(enum.Enum):
    """What a VM is used for."""

    GROUP = "group"
    """Member of a group, in whatever phase."""
    IDLE = "idle"
    """In no group, although it holds weights."""
    EMPTY = "empty"
    """In no group, and without weights until a load completes."""
    BOUND = "bound"
    """Not free yet, because the head of its former group may still serve, or
    because its state is not confirmed."""
    LOST = "lost"
    """Silent, unreachable or leaving."""
    EVACUATED = "evacuated"
    """In an evacuated data centre, in a group or not."""


class Survey:
    """Usable VMs, idle VMs, and the groups that serve or are about to."""

    def __init__(
        self,
        engine: catalog_module.Engine,
        backends: collections.abc.Sequence[fleet_module.Backend],
        groups: collections.abc.Collection[group_module.Group],
        usable: collections.abc.Callable[[fleet_module.Backend], bool],
        adoption: adoption_module.Adoption,
        confirmations: confirmations_module.Confirmations,
        capacity: collections.abc.Callable[[group_module.Group], int],
        in_flight: collections.abc.Mapping[ids.BackendId, int],
        evacuation: evacuations.GroupRules,
        reserved: collections.abc.Container[ids.BackendId] = frozenset(),
    ) -> None:
        self.engine = engine
        staying = [each for each in backends if not evacuation.includes(each)]
        self.evacuated = len(backends) - len(staying)
        """Number of VMs in evacuated data centres; none is usable."""
        self.usable = [each for each in staying if usable(each)]
        self.domains = collections.Counter(
            each.announcement.domain for each in self.usable
        )
        """Number of usable VMs in each fabric domain."""
        self.active_groups = [
            group
            for group in groups
            if group.phase in group_module.ACTIVE_PHASES
            and evacuation.is_outside(group)
        ]
        self.group_counts: collections.Counter[str] = collections.Counter(
            group.model for group in self.active_groups
        )
        """Number of groups that serve or are about to, by model."""
        self.capacity: collections.Counter[str] = collections.Counter()
        self.in_flight: collections.Counter[str] = collections.Counter()
        """Requests that these groups can have in flight, and those that they
        have, by model."""
        for group in self.active_groups:
            self.capacity[group.model] += capacity(group)
            self.in_flight[group.model] += in_flight.get(group.head, 0)
        self.moving_models: set[str] = set()
        """Models with requests in flight in evacuated data centres, whose
        successors have to be served elsewhere."""
        for group, _ in evacuation.standby(groups):
            if moving := in_flight.get(group.head, 0):
                self.in_flight[group.model] += moving
                self.moving_models.add(group.model)
        taken = {member for group in groups for member in group.members}
        ungrouped = [
            e for e in self.usable if e.announcement.backend not in taken
        ]
        announced = _head_states(backends)
        unbound = [
            e for e in ungrouped if not _is_bound(e, announced, adoption)
        ]
        self.unconfirmed = [
            e for e in unbound if not confirmations.is_confirmed(e.announcement)
        ]
        """VMs that are idle by announcements that may be outdated."""
        self.unread = self.unconfirmed + [
            each
            for each in self.usable
            if each.announcement.backend in taken
            and not confirmations.is_confirmed(each.announcement)
        ]
        """VMs whose states should be read, the most urgent first. Members of
        groups that an earlier leader formed are idle later."""
        certain = _head_states(backends, confirmations)
        claimed = (
            adoption.claimed_heads(backends) if confirmations.untold else {}
        )
        free = [
            each
            for each in unbound
            if confirmations.is_confirmed(each.announcement)
            and not _is_bound(each, certain, adoption)
            and not _is_claimed(each, claimed, confirmations)
        ]
        self.reserved = [e for e in free if e.announcement.backend in reserved]
        """VMs that are free, but reserved for a change between models."""
        self.idle = formation.IdleVms(
            engine.models,
            [e for e in free if e.announcement.backend not in reserved],
        )
        self.total = len(backends)
        self.ungrouped = len(ungrouped)
        """Number of usable VMs that are not members of a group."""

    def count_by_use(self) -> collections.Counter[VmUse]:
        """Return the number of VMs by use."""
        held = sum(1 for each in self.idle if formation.held_models(each))
        held += len(self.reserved)
        free = sum(map(len, self.idle.by_domain.values())) + len(self.reserved)
        return collections.Counter(
            {
                VmUse.GROUP: len(self.usable) - self.ungrouped,
                VmUse.IDLE: held,
                VmUse.EMPTY: free - held,
                VmUse.BOUND: self.ungrouped - free,
                VmUse.LOST: self.total - len(self.usable) - self.evacuated,
                VmUse.EVACUATED: self.evacuated,
            }
        )

    def count_idle_holders(self) -> collections.Counter[str]:
        """Return the number of idle VMs that hold each model's weights."""
        return collections.Counter(
            name for each in self.idle for name in formation.held_models(each)
        )

    def add(
        self,
        group: group_module.Group,
        hosts: collections.abc.Sequence[fleet_module.Backend],
        capacity: int,
    ) -> None:
        """Account for a group that was started with idle VMs."""
        self.idle.remove(hosts)
        self.reserved = [each for each in self.reserved if each not in hosts]
        if group.phase in group_module.ACTIVE_PHASES:
            self.active_groups.append(group)
            self.group_counts[group.model] += 1
            self.capacity[group.model] += capacity

    def reserve(self, vms: collections.abc.Container[ids.BackendId]) -> None:
        """Account for VMs that have been reserved for a change."""
        hosts = [e for e in self.idle if e.announcement.backend in vms]
        self.idle.remove(hosts)
        self.reserved += hosts

    def nearly_full(self, fraction: float) -> set[str]:
        """Return the models with at least this fraction of capacity in use.

        A group that is being formed already counts with its full capacity.
        """
        return {
            model.name
            for model in self.engine.models
            if self.in_flight[model.name]
            >= fraction * self.capacity[model.name]
        }


def _head_states(
    backends: collections.abc.Iterable[fleet_module.Backend],
    confirmations: confirmations_module.Confirmations | None = None,
) -> dict[ids.Epoch, list[fleet_module.GroupState]]:
    """Return the group states that heads report, by the group's epoch.

    If `confirmations` are given, a head counts as open if it may have opened
    its group since its announcement.
    """
    found: dict[ids.Epoch, list[fleet_module.GroupState]] = {}
    for backend in backends:
        report = backend.announcement.group
        if report is None or report.rank:
            continue
        state = report.state
        if (
            confirmations is not None
            and state in adoption_module.UNOPENED_STATES
            and not confirmations.is_confirmed(backend.announcement)
        ):
            state = fleet_module.GroupState.OPEN
        found.setdefault(report.epoch, []).append(state)
    return found


def _is_claimed(
    backend: fleet_module.Backend,
    claimed: collections.abc.Mapping[ids.Lifetime, ids.Epoch],
    confirmations: confirmations_module.Confirmations,
) -> bool:
    """Return whether others name a VM as the head of a later group.

    Its own state, if it tells that, is better evidence.
    """
    if not claimed:
        return False
    announcement = backend.announcement
    if announcement.lifetime not in confirmations.untold:
        return False
    own = announcement.group.epoch if announcement.group else -1
    return claimed.get(announcement.lifetime, -1) > own


def _is_bound(
    backend: fleet_module.Backend,
    heads: collections.abc.Mapping[ids.Epoch, list[fleet_module.GroupState]],
    adoption: adoption_module.Adoption,
) -> bool:
    """Return whether the head of a VM's former group may still serve."""
    report = backend.announcement.group
    if report is None or report.name in adoption.ended_s:
        return False
    is_former = not adoption.is_from_this_term(report.epoch)
    if states := heads.get(report.epoch):
        # An order of an earlier leader may still open a head that is ready.
        may_open = is_former and not report.name.endswith(
            adoption_module.SPARE_SUFFIX
        )
        return any(
            state in group_module.SERVING_STATES
            or (may_open and state is fleet_module.GroupState.READY)
            for state in states
        )
    return is_former
