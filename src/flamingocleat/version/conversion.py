"""Choice of groups that are closed so that another model gets their VMs.

Answers a model whose groups have been nearly full for some time while groups of
other models have room.
"""

import collections.abc

import msgspec

from flamingocleat import ids
from flamingocleat.version import catalog
from flamingocleat.version import fleet
from flamingocleat.version import formation
from flamingocleat.version import group as group_module
from flamingocleat.version import service_survey

MAX_REMAINING_LOAD = 0.6
"""A model may lose a group, or has to leave VMs to one that lacks capacity, if
its (remaining) groups use less than this fraction of their capacity."""
MAX_DONORS = 3
"""Maximum number of groups closed together for another model; each of them
finishes its requests first."""

Group = group_module.Group


class Inputs(msgspec.Struct, frozen=True, kw_only=True):
    """State of a service's groups."""

    serving: list[Group]
    known_members: collections.abc.Callable[[Group], list[fleet.Backend]]
    """Returns the members of a group that have announced themselves."""
    capacity: collections.abc.Callable[[Group], int]
    """Returns how many requests a group should have in flight."""
    in_flight: collections.abc.Mapping[ids.BackendId, int]
    """Requests in flight at each head."""
    short_models: collections.abc.Set[str]
    """Models whose groups lack capacity."""


def find_donors(
    model: catalog.Model, survey: service_survey.Survey, inputs: Inputs
) -> list[Group]:
    """Return the smallest set of groups to close for one of the model.

    Several small groups of a domain can make up a large one, also together
    with the members that a slow group of the model has in that domain. Groups
    with the fewest requests are closed first. Returns an empty list if no set
    suffices.
    """
    by_domain: dict[str, tuple[list[Group], list[Group]]] = {}
    for group in inputs.serving:
        domains = {
            host.announcement.domain for host in inputs.known_members(group)
        }
        is_own = group.model == model.name
        if (is_own and len(domains) == 1) or (
            not is_own and group.model in inputs.short_models
        ):
            continue
        for domain in domains:
            found = by_domain.setdefault(domain, ([], []))
            found[0 if is_own else 1].append(group)
    choices = [
        choice
        for slow, others in by_domain.values()
        for choice in _donor_sets(slow, others, inputs)
        if _can_convert(choice, model, survey, inputs)
    ]
    return min(choices, key=len, default=[])


def _donor_sets(
    slow: list[Group], others: list[Group], inputs: Inputs
) -> collections.abc.Iterator[list[Group]]:
    """Yield sets of a domain's groups that could be closed together.

    Args:
        slow: Groups that span domains, of the model that lacks capacity.
        others: Groups of other models.
        inputs: State of all groups.
    """
    others.sort(key=lambda each: inputs.in_flight.get(each.head, 0))
    for count in range(min(MAX_DONORS, len(others)) + 1):
        if count:
            yield others[:count]
        if slow:
            yield [slow[0], *others[:count]]


def _can_convert(
    chosen: list[Group],
    model: catalog.Model,
    survey: service_survey.Survey,
    inputs: Inputs,
) -> bool:
    """Return whether the chosen groups can be converted to the model.

    Their own models must keep enough capacity, and their VMs must make up a
    group of the model.
    """
    for name in {group.model for group in chosen} - {model.name}:
        given = sum(
            inputs.capacity(group) for group in chosen if group.model == name
        )
        left = survey.capacity[name] - given
        if survey.in_flight[name] >= MAX_REMAINING_LOAD * left:
            return False
    hosts = [host for group in chosen for host in inputs.known_members(group)]
    return formation.can_complete(model, hosts, survey.idle, flexible=True)
