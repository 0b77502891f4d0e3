"""How many groups of each model a fabric domain should hold.

Answers the mean load that the configuration declares. A domain's VMs are
divided into groups so that the model with the most work for each of its VMs
gets the next one, and what is left over becomes spares with the weights of
the models whose groups would miss them most.
"""

import collections
import collections.abc
import heapq

from flamingocleat.version import catalog as catalog_module

Staging = collections.Counter[str]
"""VMs that should hold the weights of a model, by its name."""


def need(model: catalog_module.Model, groups: int) -> float:
    """Return a model's work for each of its VMs; infinite without a group.

    A model's share of the work is what its VMs spend on it.
    """
    return model.share / (model.size * groups) if groups else float("inf")


def plan(
    domains: collections.abc.Mapping[str, int],
    models: collections.abc.Sequence[catalog_module.Model],
    spares: int,
) -> dict[str, Staging]:
    """Return for each domain how many VMs should hold which weights.

    domains: VMs in each fabric domain.
    spares: VMs that stay out of groups in each domain, if there are enough.
    """
    rooms = {model.name: _Rooms(model, domains) for model in models}
    left = dict(domains)
    groups: collections.Counter[str] = collections.Counter()
    staging = {domain: Staging() for domain in domains}
    while placed := _place_next(rooms, models, groups, spares):
        domain, model = placed
        left[domain] -= model.size
        groups[model.name] += 1
        staging[domain][model.name] += model.size
        for each in rooms.values():
            each.note(domain, staging[domain][each.model.name], left[domain])
    for domain in domains:
        _place_spares(staging[domain], left[domain], models)
    return staging


class Plan:
    """A layout, kept until the VMs or the models change."""

    def __init__(
        self,
        domains: collections.abc.Mapping[str, int],
        models: collections.abc.Sequence[catalog_module.Model],
        spares: int,
    ) -> None:
        self.domains = domains
        self.models = models
        self.staging = plan(domains, models, spares)
        """VMs of each domain that should hold which weights."""
        self.groups: collections.Counter[str] = collections.Counter()
        """Groups of each model, in all domains."""
        for staging in self.staging.values():
            for model in models:
                self.groups[model.name] += staging[model.name] // model.size

    def suits(
        self,
        domains: collections.abc.Mapping[str, int],
        models: collections.abc.Sequence[catalog_module.Model],
    ) -> bool:
        """Return whether it is for just these VMs and models."""
        if domains is self.domains and models is self.models:
            return True
        return domains == self.domains and models == self.models


class _Rooms:
    """Domains by how well they suit the next group of a model.

    A domain may go dark at once, so that groups of a model are spread; the
    fullest one that fits keeps room for larger groups. The name decides among
    equals, so that all leaders agree.
    """

    def __init__(
        self,
        model: catalog_module.Model,
        domains: collections.abc.Mapping[str, int],
    ) -> None:
        self.model = model
        self.now = {domain: (0, left) for domain, left in domains.items()}
        self.order = [(0, left, domain) for domain, left in domains.items()]
        heapq.heapify(self.order)

    def note(self, domain: str, staged: int, left: int) -> None:
        """Take over that a group was placed in a domain."""
        self.now[domain] = (staged, left)
        heapq.heappush(self.order, (staged, left, domain))

    def best(self, kept: int) -> str | None:
        """Return the domain for the next group, if any has room.

        kept: VMs that must be left over; never less than in earlier calls, so
        that a domain without room is not looked at again.
        """
        while self.order:
            staged, left, domain = heapq.heappop(self.order)
            if self.now[domain] != (staged, left):
                continue
            if left - self.model.size >= kept:
                return domain
        return None


def _place_next(
    rooms: collections.abc.Mapping[str, _Rooms],
    models: collections.abc.Sequence[catalog_module.Model],
    groups: collections.abc.Mapping[str, int],
    spares: int,
) -> tuple[str, catalog_module.Model] | None:
    """Return where the next group goes, or None if none fits."""
    by_need = sorted(
        models,
        key=lambda model: (-need(model, groups.get(model.name, 0)), model.name),
    )
    for model in by_need:
        # The first group of a model is worth more than any spare.
        kept = spares if groups.get(model.name) else 0
        domain = rooms[model.name].best(kept)
        if domain is not None:
            return domain, model
    return None


def _place_spares(
    staging: Staging,
    count: int,
    models: collections.abc.Sequence[catalog_module.Model],
) -> None:
    """Give each spare the weights that most members for a spare need."""
    held: collections.Counter[str] = collections.Counter()
    members = Staging(staging)
    for _ in range(count):
        model = max(
            models,
            key=lambda each: (
                members[each.name] / (1 + held[each.name]),
                -held[each.name],
                each.share,
                each.name,
            ),
        )
        held[model.name] += 1
        staging[model.name] += 1
