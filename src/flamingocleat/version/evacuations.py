"""What follows from the evacuation of data centres.

An operator evacuates a data centre before work on it, or because it is failing.
Its servers get no more requests until it is reinstated. Groups that are
entirely inside stay open, so that they serve again at once after that.
"""

import collections.abc
import enum

from flamingocleat import ids
from flamingocleat.version import fleet as fleet_module
from flamingocleat.version import group as group_module

MAX_EVACUATIONS = 256
"""Bound on the data centres that are evacuated at a time. It limits the state
where the settings list no data centres, so that any name is accepted."""
HAND_OVER_FRACTION = 0.3
"""Fraction of the time allowed for an evacuation that a hand-over may take; the
rest covers a leader lost meanwhile, and views that arrive late."""
MAX_HAND_OVER_S = 1.5
"""Groups whose VMs hold the weights open within this time."""

Group = group_module.Group
Phase = group_module.Phase


def find_refusal(
    data_centre: ids.DataCentreId,
    known: collections.abc.Collection[ids.DataCentreId],
    evacuated: collections.abc.Collection[ids.DataCentreId],
) -> str:
    """Return why an operator's call is refused, or an empty string.

    A call that was accepted must not be refused when it is sent again, so a
    data centre that is evacuated is always accepted.

    Args:
        data_centre: The data centre that the call names.
        known: Data centres that the settings list; if empty, any is accepted.
        evacuated: Data centres that are evacuated.
    """
    if data_centre in evacuated:
        return ""
    if known and data_centre not in known:
        names = ", ".join(sorted(known))
        return f"unknown data centre {data_centre!r}; known are: {names}"
    if not known and len(evacuated) >= MAX_EVACUATIONS:
        return f"{MAX_EVACUATIONS} data centres are evacuated already"
    return ""


class HandOvers:
    """Times for which heads in evacuated data centres may still be used.

    They belong to the leader that received the order: a new leader gives none.
    """

    def __init__(self) -> None:
        self.started: dict[ids.DataCentreId, tuple[int, float]] = {}
        """Term and time of the start of each hand-over."""

    def start(
        self, data_centre: ids.DataCentreId, term: int, now_s: float
    ) -> None:
        """Start a hand-over, before its evacuation is committed."""
        self.started[data_centre] = term, now_s

    def end(self, data_centre: ids.DataCentreId) -> None:
        """End a hand-over, if there is one."""
        self.started.pop(data_centre, None)

    def remaining_s(
        self,
        data_centre: ids.DataCentreId,
        term: int,
        evacuate_s: float,
        now_s: float,
    ) -> float:
        """Return how long heads there may still be used.

        Args:
            data_centre: An evacuated data centre.
            term: Current term; hand-overs of an earlier one have ended.
            evacuate_s: Time allowed for an evacuation.
            now_s: Current time.
        """
        started_term, started_s = self.started.get(data_centre, (-1, 0.0))
        if started_term != term:
            return 0.0
        limit_s = min(MAX_HAND_OVER_S, evacuate_s * HAND_OVER_FRACTION)
        return max(0.0, started_s + limit_s - now_s)


class Location(enum.Enum):
    """Where the known members of a group are."""

    OUTSIDE = "outside"
    """None is in an evacuated data centre."""
    INSIDE = "inside"
    """All are."""
    SPANNING = "spanning"


class Action(enum.Enum):
    """What the evacuation of a data centre does to a group."""

    CONTINUE = "continue"
    CLOSE = "close"
    """It finishes its requests."""
    ABANDON = "abandon"
    """It has not opened yet, and never will."""


_ACTIONS = {
    (Location.INSIDE, Phase.WARMING): Action.ABANDON,
    (Location.INSIDE, Phase.FORMING): Action.ABANDON,
    (Location.INSIDE, Phase.OPENING): Action.CLOSE,
    (Location.SPANNING, Phase.WARMING): Action.ABANDON,
    (Location.SPANNING, Phase.FORMING): Action.ABANDON,
    (Location.SPANNING, Phase.OPENING): Action.CLOSE,
    (Location.SPANNING, Phase.OPEN): Action.CLOSE,
}
"""Other groups continue. An open one inside gets no requests and is checked as
before: it ends if it loses a member."""


class GroupRules:
    """Rules for the groups and VMs of one service."""

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        self.fleet = fleet
        self.data_centres: collections.abc.Collection[ids.DataCentreId] = ()
        """Evacuated data centres."""

    def includes(self, backend: fleet_module.Backend) -> bool:
        """Return whether a VM is in an evacuated data centre."""
        return backend.announcement.data_centre in self.data_centres

    def locate(self, group: Group) -> Location:
        """Return where a group is, as far as its members are known."""
        if not self.data_centres:
            return Location.OUTSIDE
        inside = {
            self.includes(backend)
            for member in group.members
            if (backend := self.fleet.backends.get(member)) is not None
        }
        if True not in inside:
            return Location.OUTSIDE
        return Location.SPANNING if False in inside else Location.INSIDE

    def is_outside(self, group: Group) -> bool:
        """Return whether no member is in an evacuated data centre."""
        return self.locate(group) is Location.OUTSIDE

    def action(self, group: Group) -> Action:
        """Return what becomes of a group."""
        key = self.locate(group), group.phase
        return _ACTIONS.get(key, Action.CONTINUE)

    def serving(self, groups: collections.abc.Iterable[Group]) -> list[Group]:
        """Return open groups that no evacuation concerns."""
        return [
            group
            for group in groups
            if group.phase is Phase.OPEN and self.is_outside(group)
        ]

    def standby(
        self, groups: collections.abc.Iterable[Group]
    ) -> list[tuple[Group, ids.DataCentreId]]:
        """Return open groups inside, with the data centres of their heads."""
        if not self.data_centres:
            return []
        return [
            (group, head.announcement.data_centre)
            for group in groups
            if group.phase is Phase.OPEN
            and self.locate(group) is Location.INSIDE
            and (head := self.fleet.backends.get(group.head)) is not None
        ]

    def is_planning(self, groups: collections.abc.Iterable[Group]) -> bool:
        """Return whether groups are about to open elsewhere."""
        return any(
            group.phase in (Phase.FORMING, Phase.OPENING)
            and self.is_outside(group)
            for group in groups
        )
