"""Choice of the weights that VMs load from the store.

Prepares for losses that hit one model harder than another, which can then be
repaired faster than a load takes. A group member has its model in its engine
and room in its memory for the weights of a second model, so it can join groups
of either. Empty VMs and those that hold no needed weights load first; second
models use the remaining rate of the store.
"""

import collections
import collections.abc

import msgspec

from flamingocleat import ids
from flamingocleat.version import catalog as catalog_module
from flamingocleat.version import fleet as fleet_module
from flamingocleat.version import formation
from flamingocleat.version import layout

LOAD_WINDOW_S = 5.0
"""Length of the sliding window in which loads are rate-limited."""
LOAD_RATE_FRACTION = 0.7
"""Fraction of the load rate that is used; a delayed order may be carried out
together with those of the next window."""
ARRIVAL_PAUSE_S = 0.8
"""The loads of a new fleet are planned once no VM has joined it for this
long."""
STAGING_MARGIN_S = 5.0
"""Added to twice the load time before staging is ordered again."""
SECOND_LOAD_FRACTION = 0.5
"""Fraction of the concurrent loads at full speed that may be in use when a
load of a second model starts; the rest is kept for empty VMs."""
SECOND_MODEL_LIMIT = 80
SECOND_MODEL_LIMIT_FRACTION = 0.1
"""Maximum number of VMs that hold a second model: this number, or this fraction
of all VMs if that is more. They cover losses that hit one model, for which a
few domains of a large region suffice; each load is paid for."""

Loads = list[tuple[fleet_module.Backend, str]]
"""VMs, and the name of the model that each should load."""


class LoadInputs(msgspec.Struct, frozen=True, kw_only=True):
    """Inputs to the choice of loads."""

    now_s: float
    usable: list[fleet_module.Backend]
    idle: list[fleet_module.Backend]
    """Usable VMs that are in no group and free to join one."""
    plan: collections.abc.Mapping[str, layout.Staging]
    """How many VMs of each domain should hold which weights."""
    settled: frozenset[ids.BackendId]
    """Idle VMs and members of open groups; their engines hold a model."""
    short_models: set[str]
    """Models whose groups lack capacity."""
    has_traffic: bool
    """Whether requests have arrived; only then are loads rate-limited."""


class LoadPlanner:
    """Plans the loads of one service's weights and tracks their progress."""

    def __init__(self) -> None:
        self.last_orders: dict[ids.BackendId, tuple[str, float, int]] = {}
        """Model and time of the last order to stage, and the start of the
        lifetime that received it, by VM."""
        self.recent_loads_s: collections.deque[float] = collections.deque()
        self.last_arrival_s = float("-inf")
        """When a previously unknown VM was last seen."""
        self.known_vms: set[ids.BackendId] = set()
        self.running_loads = 0
        """Number of loads in progress, as of the current step."""

    def plan_loads(
        self, engine: catalog_module.Engine, inputs: LoadInputs
    ) -> Loads:
        """Return the loads that should start now."""
        if self._is_fleet_arriving(inputs):
            return []
        now_s = inputs.now_s
        self.running_loads = sum(
            bool(self._pending_load(engine, each, now_s))
            for each in inputs.usable
        )
        deficits = self._deficits(engine, inputs)
        loads: Loads = []
        for backend in inputs.usable:
            if not self._pending_load(engine, backend, now_s) and (
                not formation.held_models(backend)
            ):
                loads += self._load_empty_vm(engine, inputs, backend, deficits)
        for backend in inputs.idle:
            if not self._pending_load(engine, backend, now_s):
                loads += self._replace_model(engine, inputs, backend, deficits)
        return loads + self._load_second_models(engine, inputs)

    def trim(self, known: set[ids.BackendId]) -> None:
        """Forget VMs that are gone."""
        self.last_orders = {
            b: s for b, s in self.last_orders.items() if b in known
        }

    def _deficits(
        self, engine: catalog_module.Engine, inputs: LoadInputs
    ) -> dict[str, layout.Staging]:
        """Return how many VMs each domain lacks for each model.

        Negative numbers stand for a surplus.
        """
        deficits = {
            domain: layout.Staging(staging)
            for domain, staging in inputs.plan.items()
        }
        for backend in inputs.usable:
            name = formation.primary_model(backend) or self._pending_load(
                engine, backend, inputs.now_s
            )
            if name:
                deficits[backend.announcement.domain][name] -= 1
        return deficits

    def _load_empty_vm(
        self,
        engine: catalog_module.Engine,
        inputs: LoadInputs,
        backend: fleet_module.Backend,
        deficits: dict[str, layout.Staging],
    ) -> Loads:
        """Load what the domain of an empty VM lacks most.

        Models whose groups lack capacity take precedence.
        """
        deficit = deficits[backend.announcement.domain]
        name = max(
            (model.name for model in engine.models),
            key=lambda each: (each in inputs.short_models, deficit[each], each),
        )
        return self._start_load(engine, inputs, backend, name, deficit)

    def _replace_model(
        self,
        engine: catalog_module.Engine,
        inputs: LoadInputs,
        backend: fleet_module.Backend,
        deficits: dict[str, layout.Staging],
    ) -> Loads:
        """Load a model that lacks capacity on an idle VM that does not hold it.

        The VM's present model is kept if its domain has no surplus of it, or
        if that model lacks capacity as well.
        """
        deficit = deficits[backend.announcement.domain]
        held = formation.held_models(backend)
        lacking = [
            name
            for name in inputs.short_models
            if name not in held and deficit[name] > 0
        ]
        kept = formation.primary_model(backend)
        if not kept or not lacking or kept in inputs.short_models:
            return []
        if deficit[kept] >= 0:
            return []
        name = max(lacking, key=lambda each: (deficit[each], each))
        loads = self._start_load(engine, inputs, backend, name, deficit)
        if loads:
            deficit[kept] += 1
        return loads

    def _load_second_models(
        self, engine: catalog_module.Engine, inputs: LoadInputs
    ) -> Loads:
        """Load a second model next to the one that a VM serves."""
        now_s = inputs.now_s
        loads: Loads = []
        holding_two = sum(
            len(formation.held_models(each)) > 1 for each in inputs.usable
        )
        limit = max(
            SECOND_MODEL_LIMIT,
            SECOND_MODEL_LIMIT_FRACTION * len(inputs.usable),
        )
        has_place = holding_two + self.running_loads < limit
        for backend in _by_group(engine, inputs) if has_place else ():
            if holding_two + self.running_loads >= limit:
                break
            if not backend.last_model:
                continue
            if backend.announcement.backend not in inputs.settled:
                continue
            if self._pending_load(engine, backend, now_s):
                continue
            if not self._has_room(engine, inputs, SECOND_LOAD_FRACTION):
                break
            lacking = [
                model.name
                for model in engine.models
                if model.name not in formation.held_models(backend)
            ]
            if lacking and backend.announcement.staged in (
                (),
                (backend.last_model,),
            ):
                name = max(
                    lacking,
                    key=lambda each: (each in inputs.short_models, each),
                )
                loads += self._start_load(
                    engine, inputs, backend, name, layout.Staging()
                )
        return loads

    def _start_load(
        self,
        engine: catalog_module.Engine,
        inputs: LoadInputs,
        backend: fleet_module.Backend,
        name: str,
        deficit: layout.Staging,
    ) -> Loads:
        """Record and return a load, if the store's rate permits it."""
        now_s = inputs.now_s
        if not self._has_room(engine, inputs):
            return []
        deficit[name] -= 1
        announcement = backend.announcement
        self.last_orders[announcement.backend] = (
            name,
            now_s,
            announcement.born_ms,
        )
        self.recent_loads_s.append(now_s)
        self.running_loads += 1
        return [(backend, name)]

    def _has_room(
        self,
        engine: catalog_module.Engine,
        inputs: LoadInputs,
        fraction: float = 1.0,
    ) -> bool:
        """Return whether one more load may start.

        More loads than the store supports at full speed slow all of them down:
        the first would complete later and the last no sooner.

        Args:
            engine: Engine of the service.
            inputs: Inputs to the choice.
            fraction: Fraction of the concurrent loads at full speed that may be
                in use.
        """
        if not inputs.has_traffic:
            return True
        now_s = inputs.now_s
        while (
            self.recent_loads_s
            and now_s - self.recent_loads_s[0] > LOAD_WINDOW_S
        ):
            self.recent_loads_s.popleft()
        limit = engine.loads_per_s * LOAD_WINDOW_S * LOAD_RATE_FRACTION
        at_once = max(1.0, engine.loads_at_once * fraction)
        return len(self.recent_loads_s) < limit and self.running_loads < at_once

    def _is_fleet_arriving(self, inputs: LoadInputs) -> bool:
        """Return whether the VMs of a new fleet are still arriving.

        The first layout should cover all VMs, because each later change costs
        a load.
        """
        seen = {backend.announcement.backend for backend in inputs.usable}
        if not seen <= self.known_vms:
            self.known_vms |= seen
            self.last_arrival_s = inputs.now_s
        is_new = not inputs.has_traffic and not any(
            map(formation.held_models, inputs.usable)
        )
        return is_new and inputs.now_s - self.last_arrival_s < ARRIVAL_PAUSE_S

    def _pending_load(
        self,
        engine: catalog_module.Engine,
        backend: fleet_module.Backend,
        now_s: float,
    ) -> str:
        """Return the model that a VM may still be loading, or ""."""
        name, since_s, born_ms = self.last_orders.get(
            backend.announcement.backend, ("", 0.0, 0)
        )
        model = engine.find_model(name)
        if (
            name in backend.announcement.staged
            or born_ms != backend.announcement.born_ms
        ):
            return ""
        if (
            model is None
            or now_s - since_s > 2 * model.load_s + STAGING_MARGIN_S
        ):
            return ""
        return name


def _by_group(
    engine: catalog_module.Engine, inputs: LoadInputs
) -> list[fleet_module.Backend]:
    """Return the usable VMs in the order in which they get a second model.

    A group can be changed to another model only once all its VMs hold that.
    Large groups make up several small ones, and groups of a model that lacks
    capacity are not closed for another.
    """
    sizes = {model.name: model.size for model in engine.models}

    def key(backend: fleet_module.Backend) -> tuple[bool, int, str]:
        group = backend.announcement.group
        return (
            backend.last_model in inputs.short_models,
            -sizes.get(backend.last_model, 0),
            group.name if group else "",
        )

    return sorted(inputs.usable, key=key)
