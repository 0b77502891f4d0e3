"""Choice of the idle VMs that form the next group.

Replaces lost VMs faster than weights can be loaded, by using VMs that already
hold them. Groups whose VMs share a fabric domain are preferred. If the groups
of a model lack capacity, VMs of several domains form a slower group instead of
staying idle until one domain has enough VMs again.
"""

import collections.abc

from flamingocleat.version import catalog as catalog_module
from flamingocleat.version import fleet as fleet_module
from flamingocleat.version import layout

Hosts = list[fleet_module.Backend]

PACE_STEP = 0.5
"""VMs whose paces differ by less than about this count as equally fast, so
that small differences do not outweigh the time to load weights."""

SHORT_LOAD_FRACTION = 0.85
"""Fraction of a model's capacity in use from which the model counts as short,
because callers are then refused or wait."""
AMPLE_LOAD_FRACTION = 0.6
"""Fraction of a model's capacity in use below which it leaves VMs to models
that lack capacity."""
SHORT_AFTER_S = 0.8
"""How long a model must lack capacity before it counts as short. A slow group
uses up a domain's spare, which is then missing at the next loss; a short burst
of requests does not justify that."""
MAX_SLOWDOWN = 1.7
"""Maximum ratio of the time per token in a group across domains to that in a
fully loaded group in one domain. The pauses that callers allow would permit a
ratio of five."""


def held_models(backend: fleet_module.Backend) -> tuple[str, ...]:
    """Return the models that a VM can serve without loading weights.

    Its engine keeps the model of its last group in addition to the staged
    weights.
    """
    last = (backend.last_model,) if backend.last_model else ()
    return (
        *last,
        *(name for name in backend.announcement.staged if name not in last),
    )


def pace_level(backend: fleet_module.Backend) -> int:
    """Return how slow a VM is, in steps; 0 is about as declared."""
    return round((backend.pace - 1) / PACE_STEP)


def primary_model(backend: fleet_module.Backend) -> str:
    """Return the model that a VM is counted towards, or an empty string."""
    return next(iter(held_models(backend)), "")


class IdleVms:
    """Usable VMs in no group, indexed by fabric domain and model.

    Built once per review. VMs that join a group are removed, so that forming
    all groups of a region takes time linear in the number of its VMs.
    """

    def __init__(
        self,
        models: collections.abc.Iterable[catalog_module.Model],
        hosts: collections.abc.Iterable[fleet_module.Backend],
    ) -> None:
        self.models = list(models)
        self.by_domain: dict[str, Hosts] = {}
        for host in hosts:
            self.by_domain.setdefault(host.announcement.domain, []).append(host)
        self._eligible: dict[tuple[str, bool], dict[str, Hosts]] = {
            (model.name, flexible): {}
            for model in self.models
            for flexible in (False, True)
        }
        for domain in self.by_domain:
            self._index(domain)

    def __iter__(self) -> collections.abc.Iterator[fleet_module.Backend]:
        for hosts in self.by_domain.values():
            yield from hosts

    def eligible(
        self, model: catalog_module.Model, *, flexible: bool
    ) -> dict[str, Hosts]:
        """Return the VMs with the weights by domain, the fastest first.

        Args:
            model: Model to serve.
            flexible: Also include VMs counted towards another model, at the
                end.
        """
        return self._eligible[model.name, flexible]

    def remove(
        self, hosts: collections.abc.Iterable[fleet_module.Backend]
    ) -> None:
        """Remove VMs that have become members of a group."""
        taken = {host.announcement.backend for host in hosts}
        domains = {host.announcement.domain for host in hosts}
        for domain in domains & self.by_domain.keys():
            self.by_domain[domain] = [
                host
                for host in self.by_domain[domain]
                if host.announcement.backend not in taken
            ]
            self._index(domain)

    def _index(self, domain: str) -> None:
        hosts = self.by_domain[domain]
        for model in self.models:
            for flexible in (False, True):
                self._eligible[model.name, flexible][domain] = _find_eligible(
                    model, hosts, flexible=flexible
                )


def choose(
    engine: catalog_module.Engine,
    idle: IdleVms,
    groups: collections.abc.Mapping[str, int],
    planned: collections.abc.Mapping[str, int],
    short_models: collections.abc.Set[str],
    ample_models: collections.abc.Set[str] = frozenset(),
) -> tuple[catalog_module.Model, Hosts] | None:
    """Return the model and VMs of the group to form next, or None.

    A model with ample capacity gets no VM that one with too little could use,
    even if that one cannot form a group yet: it may be about to get the VMs of
    groups that are being closed for it.

    Args:
        engine: Engine of the service.
        idle: VMs that can join a group.
        groups: Number of groups that serve or are about to, by model.
        planned: Number of groups that all VMs together should form, by model.
        short_models: Models whose groups lack capacity.
        ample_models: Models whose groups use only part of their capacity.
    """
    by_load = sorted(
        engine.models,
        key=lambda each: (
            each.name not in short_models,
            -layout.load_per_vm(each, groups[each.name]),
            each.name,
        ),
    )
    for model in by_load:
        is_missing = groups[model.name] < planned[model.name]
        hosts = _in_one_domain(
            model,
            idle,
            flexible=is_missing or model.name in short_models,
            reserved_for=(
                short_models if model.name in ample_models else frozenset()
            ),
        )
        if not hosts and model.name in short_models and not groups[model.name]:
            # A slow first group takes precedence over further groups of other
            # models.
            hosts = _across_domains(model, idle)
        if hosts:
            return model, hosts
    for model in by_load:
        if model.name in short_models and (
            hosts := _across_domains(model, idle)
        ):
            return model, hosts
    return None


def can_complete(
    model: catalog_module.Model,
    members: collections.abc.Iterable[fleet_module.Backend],
    idle: IdleVms,
    *,
    flexible: bool = False,
) -> bool:
    """Return whether the members and idle VMs of one domain make up a group.

    Args:
        model: Model to serve.
        members: Members of groups that would be closed.
        idle: VMs that can join a group.
        flexible: Also use VMs counted towards another model.
    """
    by_domain: dict[str, Hosts] = {}
    for host in members:
        by_domain.setdefault(host.announcement.domain, []).append(host)
    eligible = idle.eligible(model, flexible=flexible)
    return any(
        len(_find_eligible(model, hosts, flexible=flexible))
        + len(eligible.get(domain, ()))
        >= model.size
        for domain, hosts in by_domain.items()
    )


def capacity(engine: catalog_module.Engine, *, spans: bool) -> int:
    """Return how many concurrent requests a group should have.

    Args:
        engine: Engine of the service.
        spans: Whether its VMs are in several domains. Each step then takes
            longer, and the group gets fewer requests so that they still finish
            in time.
    """
    if not spans:
        return engine.slots
    full_ms = engine.step_ms + engine.sequence_ms * engine.slots
    allowed_ms = MAX_SLOWDOWN * full_ms / engine.cross_domain_factor
    room_ms = max(0.0, allowed_ms - engine.step_ms)
    if room_ms >= engine.sequence_ms * engine.slots:
        return engine.slots
    return max(1, int(room_ms / engine.sequence_ms))


def spans_domains(members: collections.abc.Iterable[str]) -> bool:
    """Return whether a group's members are in more than one domain."""
    return len(set(members)) > 1


def _in_one_domain(
    model: catalog_module.Model,
    idle: IdleVms,
    *,
    flexible: bool,
    reserved_for: collections.abc.Set[str],
) -> Hosts:
    """Return members from one domain, or an empty list.

    Args:
        model: Model to serve.
        idle: VMs that can join a group.
        flexible: Also use VMs counted towards another model.
        reserved_for: Models whose weights a member must not hold.
    """
    found: Hosts = []
    for hosts in idle.eligible(model, flexible=flexible).values():
        free = [
            host for host in hosts if reserved_for.isdisjoint(held_models(host))
        ]
        if len(free) < model.size:
            continue
        chosen = free[: model.size]
        if _slowest(chosen) <= 0:
            return chosen
        if not found or _slowest(chosen) < _slowest(found):
            found = chosen
    return found


def _slowest(hosts: Hosts) -> int:
    """Return the level of the slowest member, which determines the group's."""
    return max(map(pace_level, hosts))


def _across_domains(model: catalog_module.Model, idle: IdleVms) -> Hosts:
    """Return members from as few domains as possible, or an empty list."""
    pools = sorted(
        idle.eligible(model, flexible=True).values(), key=len, reverse=True
    )
    eligible = [host for pool in pools for host in pool]
    eligible.sort(key=pace_level)
    return eligible[: model.size] if len(eligible) >= model.size else []


def _find_eligible(
    model: catalog_module.Model, hosts: Hosts, *, flexible: bool
) -> Hosts:
    """Return the VMs with the weights; those that join fastest come first.

    VMs of similar pace are next to each other, since a group runs at the pace
    of its slowest member. Slow ones come last and so are left over as spares.

    Args:
        model: Model to serve.
        hosts: VMs to choose from.
        flexible: Also include VMs counted towards another model, at the end.
    """
    eligible = [
        host
        for host in hosts
        if model.name == primary_model(host)
        or (flexible and model.name in held_models(host))
    ]
    eligible.sort(
        key=lambda host: (
            pace_level(host),
            host.last_model != model.name,
            primary_model(host) != model.name,
        )
    )
    return eligible
