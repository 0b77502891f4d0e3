"""Applies what the leader has learned of servers to its groups and VMs."""

import collections.abc

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.version import fleet as fleet_module
from flamingocleat.version import group as group_module
from flamingocleat.version import groups as groups_module
from flamingocleat.version import pace as pace_module

Managers = collections.abc.Mapping[ids.ServiceId, groups_module.GroupManager]


def apply(
    paces: pace_module.Paces,
    listed: collections.abc.Iterable[messages.ServedBackend],
    managers: Managers,
    fleet: fleet_module.Fleet,
    now_s: float,
) -> tuple[messages.ServedBackend, ...]:
    """Return the servers with their paces and slots, as gateways get them.

    Managers count the reduced slots as capacity, and VMs get the pace that the
    next groups are formed by.
    """
    found = paces.review(listed, now_s)
    reduced = paces.reduced_slots()
    for manager in managers.values():
        manager.reduced_slots = reduced
        for group in manager.serving():
            members = _members(group, fleet)
            paces.mark_members(group.name, group.head, members)
    return found


def _members(
    group: group_module.Group, fleet: fleet_module.Fleet
) -> list[fleet_module.Backend]:
    """Return the members that are known in the lifetime that joined."""
    found = []
    for member in group.members:
        backend = fleet.backends.get(member)
        if backend is not None:
            lifetime = backend.announcement.lifetime
            if group.lifetimes.get(member, lifetime) == lifetime:
                found.append(backend)
    return found
