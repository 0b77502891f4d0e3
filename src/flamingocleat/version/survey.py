"""The backend servers of a service as one review of its groups finds them.

Made once for a review, in time in proportion to the VMs and groups that there
are, so that one leader can review a region of thousands of VMs.
"""

import collections
import collections.abc
import enum

from flamingocleat import ids
from flamingocleat.version import adoption as adoption_module
from flamingocleat.version import catalog as catalog_module
from flamingocleat.version import fleet as fleet_module
from flamingocleat.version import formation
from flamingocleat.version import group as group_module


class Use(enum.Enum):
    """What a VM is used for."""

    GROUP = "group"
    """Member of a group, in whatever phase."""
    IDLE = "idle"
    """In no group although it holds weights."""
    EMPTY = "empty"
    """In no group, and without weights until a load is done."""
    BOUND = "bound"
    """Its former head may still serve."""
    LOST = "lost"
    """Not heard, not reached, or leaving."""


class Survey:
    """VMs that take orders, those that are idle, and the groups that count."""

    def __init__(
        self,
        engine: catalog_module.Engine,
        backends: collections.abc.Sequence[fleet_module.Backend],
        groups: collections.abc.Collection[group_module.Group],
        usable: collections.abc.Callable[[fleet_module.Backend], bool],
        adoption: adoption_module.Adoption,
        places: collections.abc.Callable[[group_module.Group], int],
        in_flight: collections.abc.Mapping[ids.BackendId, int],
    ) -> None:
        self.engine = engine
        self.usable = [each for each in backends if usable(each)]
        self.domains = collections.Counter(
            each.said.domain for each in self.usable
        )
        """Usable VMs of each fabric domain."""
        self.counted = [
            group for group in groups if group.phase in group_module.COUNTED
        ]
        self.groups: collections.Counter[str] = collections.Counter(
            group.model for group in self.counted
        )
        """Groups that serve or will, by model."""
        self.places: collections.Counter[str] = collections.Counter()
        self.taken: collections.Counter[str] = collections.Counter()
        """Requests that these groups should have in hand, and those that they
        have, by model."""
        for group in self.counted:
            self.places[group.model] += places(group)
            self.taken[group.model] += in_flight.get(group.head, 0)
        taken = {member for group in groups for member in group.members}
        heads = _head_states(backends)
        alone = [e for e in self.usable if e.said.backend not in taken]
        free = [e for e in alone if not _is_bound(e, heads, adoption)]
        self.idle = formation.Idle(engine.models, free)
        self.all = len(backends)
        self.alone = len(alone)
        """Usable VMs that are no members of a group."""

    def census(self) -> collections.Counter[Use]:
        """Return how many VMs are used for what."""
        held = sum(1 for each in self.idle if formation.held(each))
        free = sum(map(len, self.idle.by_domain.values()))
        return collections.Counter(
            {
                Use.GROUP: len(self.usable) - self.alone,
                Use.IDLE: held,
                Use.EMPTY: free - held,
                Use.BOUND: self.alone - free,
                Use.LOST: self.all - len(self.usable),
            }
        )

    def add(
        self,
        group: group_module.Group,
        hosts: collections.abc.Sequence[fleet_module.Backend],
        places: int,
    ) -> None:
        """Count a group that was begun with idle VMs."""
        self.idle.take(hosts)
        if group.phase in group_module.COUNTED:
            self.counted.append(group)
            self.groups[group.model] += 1
            self.places[group.model] += places

    def filled(self, part: float) -> set[str]:
        """Return the models of whose places at least this part is taken.

        A group that is being formed counts as if it were empty already.
        """
        return {
            model.name
            for model in self.engine.models
            if self.taken[model.name] >= part * self.places[model.name]
        }


def _head_states(
    backends: collections.abc.Iterable[fleet_module.Backend],
) -> dict[ids.Epoch, list[fleet_module.GroupState]]:
    """Return what heads say of their groups, by the group's epoch."""
    found: dict[ids.Epoch, list[fleet_module.GroupState]] = {}
    for backend in backends:
        report = backend.said.group
        if report is not None and report.rank == 0:
            found.setdefault(report.epoch, []).append(report.state)
    return found


def _is_bound(
    backend: fleet_module.Backend,
    heads: collections.abc.Mapping[ids.Epoch, list[fleet_module.GroupState]],
    adoption: adoption_module.Adoption,
) -> bool:
    """Return whether a VM's former head may still serve."""
    report = backend.said.group
    if report is None or report.name in adoption.ended_s:
        return False
    if states := heads.get(report.epoch):
        return any(state in group_module.SERVING for state in states)
    return not adoption.is_own(report.epoch)
