"""Formation and repair of model groups.

`plan` is a plain, deterministic function from the configuration, the live
VMs, the assignments and the time to orders. Control calls it on every change
of these and at `Plan.again_s`, and passes the history of the previous plan;
a new leader starts with an empty one.
"""

import collections
import collections.abc
import math

import msgspec

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.version import schema

LOADS_AT_ONCE = 4
"""Loads that share the weight store; more at once only finish later."""
HOLD_BASE_S = 15.0
"""Hold-out after the second loss; doubles with each further loss."""
HOLD_MAX_S = 900.0
"""Bounds the hold-out, so that a VM which was fixed comes back in use."""
LOSS_WINDOW_S = 3600.0
"""Losses before this are forgotten."""
REFORM_PAUSE_S = 30.0
"""A serving group is not re-formed for a straggler within this time of its
last assignment; its slow start looks like a straggler."""


class VmView(msgspec.Struct, frozen=True):
    """A VM whose agent has a session; a VM without one is not listed."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    address: str
    """gRPC address of the agent."""
    data_centre: ids.DataCentreId
    fabric_domain: ids.FabricDomainId
    accelerators: int = 0
    loaded: tuple[str, ...] = ()
    """Models in memory, as model@version."""
    state: messages.MemberState = messages.MemberState.UNASSIGNED
    fence: ids.FencingNumber = ids.FencingNumber(0)
    leaving: bool = False
    """Leaving by itself or drained by order."""
    busy: bool = False
    """Leads a group that has requests in flight."""
    alive_since_s: float = 0.0
    """When this incarnation announced itself, on the monotonic clock."""
    losses_s: tuple[float, ...] = ()
    """When earlier incarnations of this VM were lost."""
    straggler: bool = False


class NewAssignment(msgspec.Struct, frozen=True):
    """An assignment to commit; it replaces the group's earlier one."""

    group: ids.GroupId
    service: ids.ServiceId
    model: str
    model_version: str
    members: tuple[messages.Member, ...]


class Preload(msgspec.Struct, frozen=True):
    """An unassigned VM that is to have a model in memory."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    model: str
    """As model@version."""


class History(msgspec.Struct, frozen=True):
    """What one plan hands to the next."""

    preloads: tuple[Preload, ...] = ()
    """Loads that were ordered and not seen complete."""
    formed_s: tuple[tuple[ids.GroupId, float], ...] = ()
    """When groups were last assigned."""
    loads_at_once: int = LOADS_AT_ONCE


class Plan(msgspec.Struct, frozen=True):
    """Orders; released groups are removed before assignments are made."""

    assignments: tuple[NewAssignment, ...] = ()
    released: tuple[ids.GroupId, ...] = ()
    preloads: tuple[Preload, ...] = ()
    """All standing orders to unassigned VMs, not only new ones."""
    history: History = History()
    again_s: float | None = None
    """When the plan may change with no other event, or None."""


class Target(msgspec.Struct, frozen=True):
    """One group that the configuration asks for."""

    group: ids.GroupId
    spec: schema.ModelGroup
    model: str
    """As model@version."""
    value: float
    """What a second of its serving is worth under the policy weights."""


class Survey:
    """Working state of one plan: which VMs and groups are in which state.

    `free` holds the VMs that may be given to a group, by fabric domain.
    `broken` holds the groups with a missing or leaving member, with the
    members that are left. Policies call `assign`, `release` and `preload`.
    """

    def __init__(
        self,
        configuration: schema.Configuration,
        vms: collections.abc.Iterable[VmView],
        assignments: collections.abc.Iterable[messages.Assignment],
        now_s: float,
        history: History,
    ) -> None:
        self.configuration = configuration
        self.now_s = now_s
        self.history = history
        self.vms = {vm.vm: vm for vm in sorted(vms, key=lambda vm: vm.vm)}
        self.targets = _targets(configuration)
        self.models = {target.model for target in self.targets.values()}
        self.current: dict[ids.GroupId, messages.Assignment] = {}
        self.whole: dict[ids.GroupId, tuple[VmView, ...]] = {}
        self.broken: dict[ids.GroupId, tuple[VmView, ...]] = {}
        self.owner: dict[ids.VmId, ids.GroupId] = {}
        self.new: dict[ids.GroupId, NewAssignment] = {}
        self.released: list[ids.GroupId] = []
        self.preloads: dict[ids.VmId, Preload] = {}
        self.again_s: float | None = None
        for assignment in sorted(assignments, key=lambda a: a.group):
            self._classify(assignment)
        self.free: dict[ids.FabricDomainId, dict[ids.VmId, VmView]] = (
            collections.defaultdict(dict)
        )
        for vm in self.vms.values():
            if vm.vm not in self.owner and not vm.leaving:
                self.free[vm.fabric_domain][vm.vm] = vm

    def unserved(self) -> list[Target]:
        """Return the targets without a whole group, in order of name."""
        return [t for g, t in self.targets.items() if g not in self.whole]

    def assign(
        self, target: Target, members: collections.abc.Sequence[VmView]
    ) -> None:
        """Give VMs to a group, taking them from broken groups if need be."""
        for vm in members:
            owner = self.owner.get(vm.vm)
            if owner is not None and owner != target.group:
                self.release(owner)
        for vm in self.broken.pop(target.group, ()):
            self._set_free(vm)
        for vm in self.whole.pop(target.group, ()):
            self._set_free(vm)
        for vm in members:
            self.free[vm.fabric_domain].pop(vm.vm, None)
            self.preloads.pop(vm.vm, None)
            self.owner[vm.vm] = target.group
        self.whole[target.group] = tuple(members)
        spec = target.spec
        self.new[target.group] = NewAssignment(
            target.group,
            spec.service,
            spec.model,
            spec.model_version,
            tuple(
                messages.Member(vm.vm, vm.incarnation, vm.address)
                for vm in members
            ),
        )
        self._forget_stale_members(members)

    def release(self, group: ids.GroupId) -> None:
        """Take a broken group's assignment away and free its members."""
        for vm in self.broken.pop(group, ()):
            self._set_free(vm)
        if group in self.current and group not in self.released:
            self.released.append(group)

    def preload(self, vm: VmView, model: str) -> None:
        """Order an unassigned VM to load a model."""
        self.preloads[vm.vm] = Preload(vm.vm, vm.incarnation, model)

    def plan(self) -> Plan:
        """Return the orders."""
        formed = {
            group: at_s
            for group, at_s in self.history.formed_s
            if group in self.whole and self.now_s - at_s < REFORM_PAUSE_S
        }
        formed.update((group, self.now_s) for group in self.new)
        preloads = tuple(self.preloads[vm] for vm in sorted(self.preloads))
        return Plan(
            assignments=tuple(self.new[group] for group in sorted(self.new)),
            released=tuple(
                g for g in sorted(self.released) if g not in self.new
            ),
            preloads=preloads,
            history=History(
                preloads=tuple(
                    order
                    for order in preloads
                    if order.model not in self.vms[order.vm].loaded
                ),
                formed_s=tuple(sorted(formed.items())),
                loads_at_once=self.history.loads_at_once,
            ),
            again_s=self.again_s,
        )

    def wake(self, at_s: float) -> None:
        """Ask for another plan at this time."""
        if self.again_s is None or at_s < self.again_s:
            self.again_s = at_s

    def _classify(self, assignment: messages.Assignment) -> None:
        group = assignment.group
        self.current[group] = assignment
        target = self.targets.get(group)
        members = [
            self.vms[member.vm]
            for member in assignment.members
            if member.vm in self.vms
            and self.vms[member.vm].incarnation == member.incarnation
        ]
        if target is None or not _fits(target, assignment, members):
            self.released.append(group)
            return
        staying = [vm for vm in members if not vm.leaving]
        if len(staying) == target.spec.vms_per_replica:
            self.whole[group] = tuple(staying)
        elif len(members) == target.spec.vms_per_replica and members[0].busy:
            # Planned stop: the requests in flight are finished first.
            self.whole[group] = tuple(members)
        else:
            self.broken[group] = tuple(staying)
        for vm in members:
            self.owner[vm.vm] = group

    def _set_free(self, vm: VmView) -> None:
        self.owner.pop(vm.vm, None)
        if not vm.leaving:
            self.free[vm.fabric_domain][vm.vm] = vm

    def _forget_stale_members(
        self, members: collections.abc.Sequence[VmView]
    ) -> None:
        """Release broken groups that still list a VM's earlier incarnation.

        Without this, a returned VM would be in two groups' assignments.
        """
        names = {vm.vm for vm in members}
        for group in list(self.broken):
            listed = self.current[group].members
            if any(member.vm in names for member in listed):
                self.release(group)


Planner = collections.abc.Callable[[Survey], None]

POLICIES: dict[str, Planner] = {}


def policy(name: str) -> collections.abc.Callable[[Planner], Planner]:
    """Register a policy under a name."""

    def register(planner: Planner) -> Planner:
        POLICIES[name] = planner
        return planner

    return register


def plan(
    policy: str,
    configuration: schema.Configuration,
    vms: collections.abc.Iterable[VmView],
    assignments: collections.abc.Iterable[messages.Assignment],
    now_s: float,
    history: History = History(),  # noqa: B008 (it is immutable)
) -> Plan:
    """Return the orders that bring the groups nearer to the configuration.

    Raises KeyError for an unknown policy.
    """
    survey = Survey(configuration, vms, assignments, now_s, history)
    POLICIES[policy](survey)
    return survey.plan()


@policy("none")
def wait_for_return(survey: Survey) -> None:
    """Form missing groups once; a broken group waits for its own VMs."""
    for target in survey.unserved():
        if target.group in survey.broken:
            listed = survey.current[target.group].members
            members = [survey.vms.get(member.vm) for member in listed]
            back = [vm for vm in members if vm is not None and not vm.leaving]
            if len(back) == target.spec.vms_per_replica:
                survey.assign(target, back)
            continue
        _form_anywhere(survey, target)


@policy("greedy")
def first_fit(survey: Survey) -> None:
    """Complete each group in turn with the first free VMs that fit."""
    for target in survey.unserved():
        left = survey.broken.get(target.group, ())
        if left:
            free = survey.free[left[0].fabric_domain]
            found = [*left, *_allowed(target, free.values())]
            if len(found) >= target.spec.vms_per_replica:
                survey.assign(target, found[: target.spec.vms_per_replica])
                continue
        _form_anywhere(survey, target)


def _form_anywhere(survey: Survey, target: Target) -> None:
    for domain in sorted(survey.free):
        found = _allowed(target, survey.free[domain].values())
        if len(found) >= target.spec.vms_per_replica:
            survey.assign(target, found[: target.spec.vms_per_replica])
            return


@policy("weighted")
def weighted(survey: Survey) -> None:
    """Use loaded VMs first, then merge, then load by value."""
    _Repair(survey).run()


class _Option(msgspec.Struct, frozen=True):
    """A way to complete a group: its members and how many must load."""

    loads: int
    elsewhere: bool
    left_over: int
    domain: ids.FabricDomainId
    members: tuple[VmView, ...]


class _Repair:
    """The steps of the `weighted` policy on one survey."""

    def __init__(self, survey: Survey) -> None:
        self.survey = survey
        weights = survey.configuration.policy
        self.prefers_uptime = weights.downtime_weight > weights.stranded_weight
        self.loading = {
            order.vm: order.model
            for order in survey.history.preloads
            if order.model in survey.models
            and order.vm in survey.vms
            and survey.vms[order.vm].incarnation == order.incarnation
            and order.model not in survey.vms[order.vm].loaded
        }
        self.held: set[ids.VmId] = set()
        for vm in survey.vms.values():
            until_s = held_until(vm, survey.now_s)
            if until_s > survey.now_s:
                self.held.add(vm.vm)
                survey.wake(until_s)

    def run(self) -> None:
        """Repair, merge, load, replace stragglers, keep spares."""
        self._repair_loaded(merge=False)
        self._repair_loaded(merge=True)
        self._replace_stragglers()
        self._upgrade()
        self._load_for_groups()
        self._keep_spares()
        self._keep_loaded()

    def _repair_loaded(self, merge: bool) -> None:
        """Form every group that needs no load."""
        progress = True
        while progress:
            progress = False
            for target in self._by_value():
                option = self._best_option(target, merge, loaded=True)
                if option is not None:
                    self.survey.assign(target, option.members)
                    progress = merge

    def _by_value(self) -> list[Target]:
        """Return unserved targets, the most valuable first.

        A service with the smallest part of its replicas goes first. Within
        a service, value per missing VM decides (Smith's rule: the order
        that minimises the weighted sum of completion times).
        """
        survey = self.survey
        served = collections.Counter(
            survey.targets[group].spec.service for group in survey.whole
        )
        wanted = collections.Counter(
            target.spec.service for target in survey.targets.values()
        )

        def key(target: Target) -> tuple[float, float, ids.GroupId]:
            service = target.spec.service
            left = len(survey.broken.get(target.group, ()))
            missing = target.spec.vms_per_replica - left
            worth = target.value / max(1, missing)
            return (served[service] / wanted[service], -worth, target.group)

        return sorted(survey.unserved(), key=key)

    def _best_option(
        self, target: Target, merge: bool, loaded: bool
    ) -> _Option | None:
        """Return the option with the fewest loads, own domain first."""
        left = self.survey.broken.get(target.group, ())
        home = left[0].fabric_domain if left else None
        donors = self._donors(target) if merge else {}
        best: _Option | None = None
        for domain in sorted({*self.survey.free, *donors}):
            option = self._option(
                target,
                domain,
                left if domain == home else (),
                donors.get(domain, []),
                loaded,
            )
            if option is None:
                continue
            if best is None or self._rank(option) < self._rank(best):
                best = option
        return best

    def _rank(self, option: _Option) -> tuple[int, bool, int, str]:
        # Against stranding, the tightest fit keeps large gaps usable; for
        # uptime, the domain that keeps the most free VMs for later losses.
        fit = option.left_over
        if self.prefers_uptime:
            fit = -fit
        return (option.loads, option.elsewhere, fit, option.domain)

    def _option(
        self,
        target: Target,
        domain: ids.FabricDomainId,
        left: collections.abc.Sequence[VmView],
        donated: collections.abc.Sequence[VmView],
        loaded: bool,
    ) -> _Option | None:
        size = target.spec.vms_per_replica
        free = self.survey.free.get(domain, {})
        if len(left) + len(free) + len(donated) < size:
            return None
        fresh = [
            vm
            for vm in _allowed(target, free.values())
            if vm.vm not in self.held and not vm.straggler
        ]
        fresh.sort(key=lambda vm: self._readiness(target, vm))
        steady = [vm for vm in left if not vm.straggler]
        slow = [vm for vm in left if vm.straggler]
        taken = [vm for vm in donated if not vm.straggler]
        ready = [vm for vm in fresh if target.model in vm.loaded]
        cold = [vm for vm in fresh if target.model not in vm.loaded]
        if loaded:
            cold = []
            taken = [vm for vm in taken if target.model in vm.loaded]
        members = (*steady, *ready, *slow, *taken, *cold)[:size]
        if len(members) < size:
            return None
        loads = sum(target.model not in vm.loaded for vm in members)
        if loaded and loads > sum(target.model not in v.loaded for v in left):
            return None
        return _Option(
            loads=loads,
            elsewhere=not left,
            left_over=len(fresh) - size,
            domain=domain,
            members=members,
        )

    def _readiness(
        self, target: Target, vm: VmView
    ) -> tuple[bool, bool, bool, int, ids.VmId]:
        """Sort VMs: loaded, loading, without another model's weights."""
        other = self.loading.get(vm.vm, target.model) != target.model
        return (
            target.model not in vm.loaded,
            self.loading.get(vm.vm) != target.model,
            other or any(model in self.survey.models for model in vm.loaded),
            len(vm.losses_s),
            vm.vm,
        )

    def _donors(self, target: Target) -> dict[ids.FabricDomainId, list[VmView]]:
        """Return members of other broken groups, the first donor first.

        For uptime, the group that is furthest from whole gives first, which
        leaves the most groups nearly whole. Against stranding, the group
        with the fewest accelerators left gives first.
        """
        survey = self.survey
        groups = [g for g in survey.broken if g != target.group]

        def key(group: ids.GroupId) -> tuple[float, ids.GroupId]:
            left = survey.broken[group]
            if self.prefers_uptime:
                size = survey.targets[group].spec.vms_per_replica
                return (len(left) - size, group)
            return (sum(vm.accelerators for vm in left), group)

        donors: dict[ids.FabricDomainId, list[VmView]] = {}
        for group in sorted(groups, key=key):
            for vm in _allowed(target, survey.broken[group]):
                donors.setdefault(vm.fabric_domain, []).append(vm)
        return donors

    def _replace_stragglers(self) -> None:
        """Swap a straggler for a loaded spare in the same domain."""
        survey = self.survey
        recent = dict(survey.history.formed_s)
        for group in sorted(survey.whole):
            members = survey.whole[group]
            slow = [vm for vm in members if vm.straggler]
            if not slow or group in survey.new:
                continue
            formed_s = recent.get(group, -math.inf)
            if survey.now_s - formed_s < REFORM_PAUSE_S:
                survey.wake(formed_s + REFORM_PAUSE_S)
                continue
            target = survey.targets[group]
            free = survey.free[members[0].fabric_domain]
            ready = [
                vm
                for vm in _allowed(target, free.values())
                if target.model in vm.loaded
                and vm.vm not in self.held
                and not vm.straggler
            ]
            if not ready:
                continue
            swaps = dict(zip([vm.vm for vm in slow], ready, strict=False))
            survey.assign(target, [swaps.get(vm.vm, vm) for vm in members])

    def _upgrade(self) -> None:
        """Placeholder for groups that run an earlier model version."""

    def _load_for_groups(self) -> None:
        """Order loads for groups that have enough VMs, within the limit."""
        slots = self._free_slots()
        for target in self._by_value():
            option = self._best_option(target, merge=False, loaded=False)
            if option is None:
                continue
            for vm in option.members:
                self.survey.free[vm.fabric_domain].pop(vm.vm, None)
                if target.model in vm.loaded or vm.vm in self.survey.owner:
                    continue
                if self.loading.get(vm.vm) == target.model:
                    self.survey.preload(vm, target.model)
                elif slots > 0 and vm.vm not in self.loading:
                    self.survey.preload(vm, target.model)
                    slots -= 1

    def _free_slots(self) -> int:
        survey = self.survey
        assigned = sum(
            survey.targets[group].model not in vm.loaded
            for group, members in survey.whole.items()
            for vm in members
        )
        unassigned = sum(vm not in survey.owner for vm in self.loading)
        return survey.history.loads_at_once - assigned - unassigned

    def _keep_spares(self) -> None:
        """Load spares in the domains where groups serve."""

    def _keep_loaded(self) -> None:
        """Repeat standing orders, so that no spare drops its weights."""
        survey = self.survey
        for vm in survey.vms.values():
            if vm.vm in survey.owner or vm.leaving or vm.vm in survey.preloads:
                continue
            if vm.vm in self.loading:
                survey.preload(vm, self.loading[vm.vm])
                continue
            kept = [model for model in vm.loaded if model in survey.models]
            if kept:
                survey.preload(vm, kept[0])


def held_until(vm: VmView, now_s: float) -> float:
    """Return until when a VM that was lost repeatedly is not used."""
    recent = [at_s for at_s in vm.losses_s if now_s - at_s < LOSS_WINDOW_S]
    if len(recent) < 2:
        return vm.alive_since_s
    delay_s = HOLD_BASE_S * 2.0 ** (len(recent) - 2)
    return vm.alive_since_s + min(HOLD_MAX_S, delay_s)


def _targets(
    configuration: schema.Configuration,
) -> dict[ids.GroupId, Target]:
    """Return all groups that are asked for, in order of name."""
    specs = configuration.model_groups
    replicas = sum(spec.replicas for spec in specs) or 1
    vms = sum(spec.replicas * spec.vms_per_replica for spec in specs)
    mean_size = vms / replicas or 1.0
    weights = configuration.policy
    targets = {}
    for spec in sorted(specs, key=lambda spec: spec.name):
        value = (
            weights.downtime_weight
            + weights.stranded_weight * spec.vms_per_replica / mean_size
        )
        for number in range(spec.replicas):
            group = ids.GroupId(f"{spec.name}/{number}")
            model = f"{spec.model}@{spec.model_version}"
            targets[group] = Target(group, spec, model, value)
    return targets


def _fits(
    target: Target,
    assignment: messages.Assignment,
    members: collections.abc.Sequence[VmView],
) -> bool:
    """Tell whether an assignment is what the configuration asks for."""
    spec = target.spec
    return (
        len(assignment.members) == spec.vms_per_replica
        and assignment.service == spec.service
        and assignment.model == spec.model
        and assignment.model_version == spec.model_version
        and all(vm.data_centre in spec.data_centres for vm in members)
        and len({vm.fabric_domain for vm in members}) <= 1
    )


def _allowed(
    target: Target, vms: collections.abc.Iterable[VmView]
) -> list[VmView]:
    """Return the VMs that are in one of the target's data centres."""
    allowed = target.spec.data_centres
    return [vm for vm in vms if vm.data_centre in allowed]
