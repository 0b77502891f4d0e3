"""Which weights VMs load from the store.

Answers losses that hit one model harder than the other, faster than a load. A
member of a group has that model in its engine, and room in its memory for the
weights of another: it can join groups of both. Empty VMs come first, and those
that hold nothing that is needed; second weights are loaded with what is left
of the store's rate.
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
LOAD_MARGIN = 0.7
"""Part of the load rate that is used; an order may be carried out late,
beside those of the next window."""
GATHER_S = 0.8
"""A new fleet is laid out once no VM has come for this long."""
STAGING_S = 5.0
"""Added to twice the load time until staging is ordered again."""
SECOND_PART = 0.5
"""Part of the loads that run at full speed that second weights may take; an
empty VM should find room."""
SECOND_VMS = 80
SECOND_SHARE = 0.1
"""VMs that hold second weights, at most: the number, or the part of all VMs if
that is more. They are for losses that hit one model, which a few domains of a
large region make up for; each load is paid for."""

Loads = list[tuple[fleet_module.Backend, str]]
"""VMs, and the model that each should load."""


class Situation(msgspec.Struct, frozen=True, kw_only=True):
    """What the choice of loads depends on."""

    now_s: float
    usable: list[fleet_module.Backend]
    idle: list[fleet_module.Backend]
    """Those that are in no group and free to join one."""
    plan: collections.abc.Mapping[str, layout.Staging]
    """How many VMs of each domain should hold which weights."""
    settled: frozenset[ids.BackendId]
    """Members of groups that serve, and idle ones; their engines hold a
    model."""
    short: set[str]
    """Models whose groups lack places."""
    has_traffic: bool
    """Loads are limited once requests have come."""


class Weights:
    """Loads of one service's weights, as they were ordered."""

    def __init__(self) -> None:
        self.staging: dict[ids.BackendId, tuple[str, float, int]] = {}
        """Model and time of the last order to stage, and the start of the
        lifetime that it went to, by VM."""
        self.loads_s: collections.deque[float] = collections.deque()
        self.arrived_s = float("-inf")
        """When a VM was last heard of for the first time."""
        self.known: set[ids.BackendId] = set()
        self.loading = 0
        """Loads that run, as of this step."""

    def step(
        self, engine: catalog_module.Engine, situation: Situation
    ) -> Loads:
        """Return the loads that should begin now."""
        if self._is_gathering(situation):
            return []
        now_s = situation.now_s
        self.loading = sum(
            bool(self._ordered(engine, each, now_s))
            for each in situation.usable
        )
        wanted = self._wanted(engine, situation)
        loads: Loads = []
        for backend in situation.usable:
            if not self._ordered(engine, backend, now_s) and (
                not formation.held(backend)
            ):
                loads += self._load(engine, situation, backend, wanted)
        for backend in situation.idle:
            if not self._ordered(engine, backend, now_s):
                loads += self._exchange(engine, situation, backend, wanted)
        return loads + self._second(engine, situation)

    def trim(self, known: set[ids.BackendId]) -> None:
        """Forget VMs that are gone."""
        self.staging = {b: s for b, s in self.staging.items() if b in known}

    def _wanted(
        self, engine: catalog_module.Engine, situation: Situation
    ) -> dict[str, layout.Staging]:
        """Return how many more VMs of each domain should serve each model."""
        wanted = {
            domain: layout.Staging(staging)
            for domain, staging in situation.plan.items()
        }
        for backend in situation.usable:
            name = formation.first_model(backend) or self._ordered(
                engine, backend, situation.now_s
            )
            if name:
                wanted[backend.said.domain][name] -= 1
        return wanted

    def _load(
        self,
        engine: catalog_module.Engine,
        situation: Situation,
        backend: fleet_module.Backend,
        wanted: dict[str, layout.Staging],
    ) -> Loads:
        """Load what an empty VM's domain lacks most, first of all if short."""
        staging = wanted[backend.said.domain]
        name = max(
            (model.name for model in engine.models),
            key=lambda each: (each in situation.short, staging[each], each),
        )
        return self._begin(engine, situation, backend, name, staging)

    def _exchange(
        self,
        engine: catalog_module.Engine,
        situation: Situation,
        backend: fleet_module.Backend,
        wanted: dict[str, layout.Staging],
    ) -> Loads:
        """Load weights of a model that is short on an idle VM without them.

        Weights that its domain has too few of, or of a model that is short
        as well, are kept.
        """
        staging = wanted[backend.said.domain]
        held = formation.held(backend)
        lacking = [
            name
            for name in situation.short
            if name not in held and staging[name] > 0
        ]
        kept = formation.first_model(backend)
        if not kept or not lacking or kept in situation.short:
            return []
        if staging[kept] >= 0:
            return []
        name = max(lacking, key=lambda each: (staging[each], each))
        loads = self._begin(engine, situation, backend, name, staging)
        if loads:
            staging[kept] += 1
        return loads

    def _second(
        self, engine: catalog_module.Engine, situation: Situation
    ) -> Loads:
        """Load another model's weights beside those that a VM serves with."""
        now_s = situation.now_s
        loads: Loads = []
        held = sum(len(formation.held(each)) > 1 for each in situation.usable)
        limit = max(SECOND_VMS, SECOND_SHARE * len(situation.usable))
        for backend in situation.usable:
            if held + self.loading >= limit:
                break
            if not backend.last_model:
                continue
            if backend.said.backend not in situation.settled:
                continue
            if self._ordered(engine, backend, now_s):
                continue
            if not self._has_room(engine, situation, SECOND_PART):
                break
            lacking = [
                model.name
                for model in engine.models
                if model.name not in formation.held(backend)
            ]
            if lacking and backend.said.staged in ((), (backend.last_model,)):
                name = max(
                    lacking, key=lambda each: (each in situation.short, each)
                )
                loads += self._begin(
                    engine, situation, backend, name, layout.Staging()
                )
        return loads

    def _begin(
        self,
        engine: catalog_module.Engine,
        situation: Situation,
        backend: fleet_module.Backend,
        name: str,
        staging: layout.Staging,
    ) -> Loads:
        """Note a load, if the store's rate has room for it."""
        now_s = situation.now_s
        if not self._has_room(engine, situation):
            return []
        staging[name] -= 1
        said = backend.said
        self.staging[said.backend] = (name, now_s, said.born_ms)
        self.loads_s.append(now_s)
        self.loading += 1
        return [(backend, name)]

    def _has_room(
        self,
        engine: catalog_module.Engine,
        situation: Situation,
        part: float = 1.0,
    ) -> bool:
        """Return whether one more load may begin.

        Loads beyond those that run at full speed make all of them slower, so
        that the first ones would be done later and the last no sooner.
        """
        if not situation.has_traffic:
            return True
        now_s = situation.now_s
        while self.loads_s and now_s - self.loads_s[0] > LOAD_WINDOW_S:
            self.loads_s.popleft()
        limit = engine.loads_per_s * LOAD_WINDOW_S * LOAD_MARGIN
        at_once = max(1.0, engine.loads_at_once * part)
        return len(self.loads_s) < limit and self.loading < at_once

    def _is_gathering(self, situation: Situation) -> bool:
        """Return whether a new fleet is still announcing itself.

        The first layout is for all VMs; a change costs a load each.
        """
        seen = {backend.said.backend for backend in situation.usable}
        if not seen <= self.known:
            self.known |= seen
            self.arrived_s = situation.now_s
        is_new = not situation.has_traffic and not any(
            map(formation.held, situation.usable)
        )
        return is_new and situation.now_s - self.arrived_s < GATHER_S

    def _ordered(
        self,
        engine: catalog_module.Engine,
        backend: fleet_module.Backend,
        now_s: float,
    ) -> str:
        """Return the model that the VM was ordered to load, if it may be."""
        name, since_s, born_ms = self.staging.get(
            backend.said.backend, ("", 0.0, 0)
        )
        model = engine.find_model(name)
        if name in backend.said.staged or born_ms != backend.said.born_ms:
            return ""
        if model is None or now_s - since_s > 2 * model.load_s + STAGING_S:
            return ""
        return name
