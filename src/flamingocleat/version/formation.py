"""Which idle VMs form the next group.

Answers the loss of VMs faster than weights can be loaded. A group whose VMs
share a fabric domain comes first. Where the groups of a model are short of
places for its requests, VMs of several domains form a slower one rather than
idle until a domain is complete again.
"""

import collections.abc

from flamingocleat.version import catalog as catalog_module
from flamingocleat.version import fleet as fleet_module
from flamingocleat.version import layout

Hosts = list[fleet_module.Backend]

SHORT_PART = 0.85
"""Part of the places of a model's groups from which they count as short:
callers are refused or wait."""
SHORT_S = 0.8
"""How long that must last: a spare of a domain that a slow group takes is
missing at the next loss, so that a short burst is not worth it."""
SLOW_PACE = 1.7
"""How many times longer a token may take in a group across domains than in a
full one in one domain; callers' pauses allow for five times."""


def held(backend: fleet_module.Backend) -> tuple[str, ...]:
    """Return the models that a VM can take up without a load.

    Its engine keeps the model of its last group beside staged weights.
    """
    last = (backend.last_model,) if backend.last_model else ()
    return (*last, *(name for name in backend.said.staged if name not in last))


def first_model(backend: fleet_module.Backend) -> str:
    """Return the model that a VM counts for, or an empty string."""
    return next(iter(held(backend)), "")


class Idle:
    """Usable VMs in no group, by fabric domain and by what they can serve.

    Made once for a review; what a formation takes is removed, so that forming
    all groups of a region takes time in proportion to its VMs.
    """

    def __init__(
        self,
        models: collections.abc.Iterable[catalog_module.Model],
        hosts: collections.abc.Iterable[fleet_module.Backend],
    ) -> None:
        self.models = list(models)
        self.by_domain: dict[str, Hosts] = {}
        for host in hosts:
            self.by_domain.setdefault(host.said.domain, []).append(host)
        self._able: dict[tuple[str, bool], dict[str, Hosts]] = {
            (model.name, flexible): {}
            for model in self.models
            for flexible in (False, True)
        }
        for domain in self.by_domain:
            self._index(domain)

    def __iter__(self) -> collections.abc.Iterator[fleet_module.Backend]:
        for hosts in self.by_domain.values():
            yield from hosts

    def able(
        self, model: catalog_module.Model, *, flexible: bool
    ) -> dict[str, Hosts]:
        """Return VMs with the weights, by domain; the soonest come first.

        flexible: VMs that count for another model as well, last.
        """
        return self._able[model.name, flexible]

    def take(
        self, hosts: collections.abc.Iterable[fleet_module.Backend]
    ) -> None:
        """Remove VMs that have become members of a group."""
        taken = {host.said.backend for host in hosts}
        for domain in {host.said.domain for host in hosts}:
            self.by_domain[domain] = [
                host
                for host in self.by_domain[domain]
                if host.said.backend not in taken
            ]
            self._index(domain)

    def _index(self, domain: str) -> None:
        hosts = self.by_domain[domain]
        for model in self.models:
            for flexible in (False, True):
                self._able[model.name, flexible][domain] = _able(
                    model, hosts, flexible=flexible
                )


def choose(
    engine: catalog_module.Engine,
    idle: Idle,
    groups: collections.abc.Mapping[str, int],
    planned: collections.abc.Mapping[str, int],
    short: collections.abc.Container[str],
) -> tuple[catalog_module.Model, Hosts] | None:
    """Return the group to form next, or None.

    groups: those that serve or will, by model.
    planned: those that all VMs together should form, by model.
    short: models whose groups lack places.
    """
    by_need = sorted(
        engine.models,
        key=lambda each: (
            each.name not in short,
            -layout.need(each, groups[each.name]),
            each.name,
        ),
    )
    for model in by_need:
        is_missing = groups[model.name] < planned[model.name]
        hosts = _in_one_domain(
            model, idle, flexible=is_missing or model.name in short
        )
        if not hosts and model.name in short and not groups[model.name]:
            # A slow group comes before further groups of other models.
            hosts = _across_domains(model, idle)
        if hosts:
            return model, hosts
    for model in by_need:
        if model.name in short and (hosts := _across_domains(model, idle)):
            return model, hosts
    return None


def completes(
    model: catalog_module.Model,
    members: collections.abc.Iterable[fleet_module.Backend],
    idle: Idle,
    *,
    flexible: bool = False,
) -> bool:
    """Return whether members and idle VMs of some domain make a group.

    flexible: VMs that count for another model may be used as well.
    """
    by_domain: dict[str, Hosts] = {}
    for host in members:
        by_domain.setdefault(host.said.domain, []).append(host)
    able = idle.able(model, flexible=flexible)
    return any(
        len(_able(model, hosts, flexible=flexible)) + len(able.get(domain, ()))
        >= model.size
        for domain, hosts in by_domain.items()
    )


def places(engine: catalog_module.Engine, *, spans: bool) -> int:
    """Return how many requests a group should have in hand at once.

    spans: its VMs are in several domains, so that each step takes longer; with
    fewer requests the answers that it begins still end in time.
    """
    if not spans:
        return engine.slots
    full_ms = engine.step_ms + engine.sequence_ms * engine.slots
    allowed_ms = SLOW_PACE * full_ms / engine.cross_domain_factor
    room_ms = max(0.0, allowed_ms - engine.step_ms)
    if room_ms >= engine.sequence_ms * engine.slots:
        return engine.slots
    return max(1, int(room_ms / engine.sequence_ms))


def spans_domains(members: collections.abc.Iterable[str]) -> bool:
    """Return whether the domains of a group's members differ."""
    return len(set(members)) > 1


def _in_one_domain(
    model: catalog_module.Model, idle: Idle, *, flexible: bool
) -> Hosts:
    for hosts in idle.able(model, flexible=flexible).values():
        if len(hosts) >= model.size:
            return hosts[: model.size]
    return []


def _across_domains(model: catalog_module.Model, idle: Idle) -> Hosts:
    """Return members of as few domains as possible, or none."""
    pools = sorted(
        idle.able(model, flexible=True).values(), key=len, reverse=True
    )
    able = [host for pool in pools for host in pool]
    return able[: model.size] if len(able) >= model.size else []


def _able(
    model: catalog_module.Model, hosts: Hosts, *, flexible: bool
) -> Hosts:
    """Return VMs with the weights; those that rejoin soonest come first.

    flexible: VMs that count for another model are taken as well, last.
    """
    able = [
        host
        for host in hosts
        if model.name == first_model(host)
        or (flexible and model.name in held(host))
    ]
    able.sort(
        key=lambda host: (
            host.last_model != model.name,
            first_model(host) != model.name,
        )
    )
    return able
