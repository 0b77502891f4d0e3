"""Planned number of groups of each model in each fabric domain.

The plan follows the mean load that the configuration declares. The next group
always goes to the model with the most work per VM. The VMs left over become
spares. They hold the weights of the models with the most members per spare,
whose groups would miss a spare most.
"""

import collections
import collections.abc
import heapq

from flamingocleat.version import catalog as catalog_module

Staging = collections.Counter[str]
"""Number of VMs that should hold the weights of a model, by its name."""


def load_per_vm(model: catalog_module.Model, groups: int) -> float:
    """Return a model's work per VM; infinite if it has no group.

    A model's share of the work is measured in the time that its VMs spend.
    """
    return model.share / (model.size * groups) if groups else float("inf")


def plan(
    domains: collections.abc.Mapping[str, int],
    models: collections.abc.Sequence[catalog_module.Model],
    spares: int,
) -> dict[str, Staging]:
    """Return how many VMs of each domain should hold which weights.

    Args:
        domains: Number of VMs in each fabric domain.
        models: Models of the service.
        spares: Number of VMs that stay out of groups in each domain, if it has
            enough.
    """
    heaps = {model.name: _DomainHeap(model, domains) for model in models}
    left = dict(domains)
    groups: collections.Counter[str] = collections.Counter()
    staging = {domain: Staging() for domain in domains}
    while placed := _place_next(heaps, models, groups, spares):
        domain, model = placed
        left[domain] -= model.size
        groups[model.name] += 1
        staging[domain][model.name] += model.size
        for each in heaps.values():
            each.update(domain, staging[domain][each.model.name], left[domain])
    for domain in domains:
        _place_spares(staging[domain], left[domain], models)
    return staging


class Plan:
    """A layout that is kept until the VMs or the models change."""

    def __init__(
        self,
        domains: collections.abc.Mapping[str, int],
        models: collections.abc.Sequence[catalog_module.Model],
        spares: int,
    ) -> None:
        self.domains = domains
        self.models = models
        self.staging = plan(domains, models, spares)
        """How many VMs of each domain should hold which weights."""
        self.groups: collections.Counter[str] = collections.Counter()
        """Number of groups of each model, over all domains."""
        for staging in self.staging.values():
            for model in models:
                self.groups[model.name] += staging[model.name] // model.size

    def matches(
        self,
        domains: collections.abc.Mapping[str, int],
        models: collections.abc.Sequence[catalog_module.Model],
    ) -> bool:
        """Return whether the plan was made for the same VMs and models."""
        if domains is self.domains and models is self.models:
            return True
        return domains == self.domains and models == self.models


class _DomainHeap:
    """Priority queue of the domains for the next group of one model.

    A whole domain may fail at once, so the groups of a model are spread over
    domains. Among equals, the fullest domain with room is chosen, which keeps
    room for larger groups elsewhere. Names break ties, so that all leaders
    compute the same plan.
    """

    def __init__(
        self,
        model: catalog_module.Model,
        domains: collections.abc.Mapping[str, int],
    ) -> None:
        self.model = model
        self.current = {domain: (0, left) for domain, left in domains.items()}
        self.heap = [(0, left, domain) for domain, left in domains.items()]
        heapq.heapify(self.heap)

    def update(self, domain: str, staged: int, left: int) -> None:
        """Update a domain in which a group was placed."""
        self.current[domain] = (staged, left)
        heapq.heappush(self.heap, (staged, left, domain))

    def pop_best(self, reserved: int) -> str | None:
        """Return the domain for the next group, or None if none has room.

        Args:
            reserved: Number of VMs that must be left over. It must not decrease
                between calls, because a domain without room is dropped from the
                queue.
        """
        while self.heap:
            staged, left, domain = heapq.heappop(self.heap)
            if self.current[domain] != (staged, left):
                continue
            if left - self.model.size >= reserved:
                return domain
        return None


def _place_next(
    heaps: collections.abc.Mapping[str, _DomainHeap],
    models: collections.abc.Sequence[catalog_module.Model],
    groups: collections.abc.Mapping[str, int],
    spares: int,
) -> tuple[str, catalog_module.Model] | None:
    """Return the domain and model of the next group, or None if none fits."""
    by_load = sorted(
        models,
        key=lambda model: (
            -load_per_vm(model, groups.get(model.name, 0)),
            model.name,
        ),
    )
    for model in by_load:
        # The first group of a model takes precedence over spares.
        reserved = spares if groups.get(model.name) else 0
        domain = heaps[model.name].pop_best(reserved)
        if domain is not None:
            return domain, model
    return None


def _place_spares(
    staging: Staging,
    count: int,
    models: collections.abc.Sequence[catalog_module.Model],
) -> None:
    """Give each spare the model with the most members per spare."""
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
