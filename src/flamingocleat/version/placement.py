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
MERGE_PATIENCE_S = 60.0
"""A rebooted VM is usually back within a minute; merging groups of different
models costs a load, which is wasted if the lost VM returns first."""
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
    unserved_s: tuple[tuple[ids.GroupId, float], ...] = ()
    """Since when groups have had no whole assignment."""
    loads_at_once: int = LOADS_AT_ONCE


class Plan(msgspec.Struct, frozen=True):
    """Orders; released groups are removed before assignments are made."""

    assignments: tuple[NewAssignment, ...] = ()
    released: tuple[ids.GroupId, ...] = ()
    preloads: tuple[Preload, ...] = ()
    """All standing orders to unassigned VMs, not only new ones."""
    draining: tuple[ids.GroupId, ...] = ()
    """Groups that are to take no new work; they are released or formed anew
    once their lead is no longer busy."""
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
        self.stale: set[ids.GroupId] = set()
        self.released: list[ids.GroupId] = []
        self.draining: list[ids.GroupId] = []
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
        self.stale.discard(target.group)
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

    def retire(self, group: ids.GroupId) -> None:
        """Release a serving group, once it has no requests in flight."""
        members = self.whole[group]
        if members[0].busy:
            self.draining.append(group)
            return
        self.broken[group] = self.whole.pop(group)
        self.stale.discard(group)
        self.release(group)

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
        unserved = dict(self.history.unserved_s)
        preloads = tuple(self.preloads[vm] for vm in sorted(self.preloads))
        return Plan(
            assignments=tuple(self.new[group] for group in sorted(self.new)),
            released=tuple(
                g for g in sorted(self.released) if g not in self.new
            ),
            preloads=preloads,
            draining=tuple(sorted(self.draining)),
            history=History(
                preloads=tuple(
                    order
                    for order in preloads
                    if order.model not in self.vms[order.vm].loaded
                ),
                formed_s=tuple(sorted(formed.items())),
                unserved_s=tuple(
                    (target.group, unserved.get(target.group, self.now_s))
                    for target in self.unserved()
                ),
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
        complete = len(members) == len(assignment.members)
        busy = complete and members[0].busy
        if target is None or not _fits(target, assignment, members):
            # Planned stop: the requests in flight are finished first.
            if not busy:
                self.released.append(group)
                return
            self.draining.append(group)
        staying = tuple(vm for vm in members if not vm.leaving)
        if complete and len(staying) == len(members):
            self.whole[group] = staying
            if target is not None and not _is_current(target, assignment):
                self.stale.add(group)
        elif busy:
            self.whole[group] = tuple(members)
            self.draining.append(group)
        elif target is not None and not _is_current(target, assignment):
            self.released.append(group)
            return
        else:
            self.broken[group] = staying
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
    _retire_stale(survey)
    for target in survey.unserved():
        if target.group in survey.broken:
            listed = survey.current[target.group].members
            members = [survey.vms.get(member.vm) for member in listed]
            back = [vm for vm in members if vm is not None and not vm.leaving]
            back = _allowed(target, back)
            domains = {vm.fabric_domain for vm in back}
            if len(back) == len(listed) and len(domains) == 1:
                survey.assign(target, back)
            continue
        _form_anywhere(survey, target)


@policy("greedy")
def first_fit(survey: Survey) -> None:
    """Complete each group in turn with the first free VMs that fit."""
    _retire_stale(survey)
    for target in survey.unserved():
        left = survey.broken.get(target.group, ())
        if left:
            free = survey.free[left[0].fabric_domain]
            found = [*left, *_allowed(target, free.values())]
            if len(found) >= target.spec.vms_per_replica:
                survey.assign(target, found[: target.spec.vms_per_replica])
                continue
        _form_anywhere(survey, target)


def _retire_stale(survey: Survey) -> None:
    for group in sorted(survey.stale):
        survey.retire(group)


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
    """A way to complete a group: its members and what they cost."""

    loads: float
    """Loads to wait for; one under way counts half."""
    elsewhere: bool
    left_over: int
    domain: ids.FabricDomainId
    members: tuple[VmView, ...]


class _Repair:
    """The steps of the `weighted` policy on one survey.

    A group is assigned only once all its members have the weights. Until
    then free VMs are ordered to load them, which gives nothing up: if a
    lost VM returns first, the group is formed with it at once.
    """

    def __init__(self, survey: Survey) -> None:
        self.survey = survey
        weights = survey.configuration.policy
        total = weights.downtime_weight + weights.stranded_weight
        self.uptime_part = weights.downtime_weight / total if total else 0.5
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
        """Repair, merge, replace, load for groups and keep spares."""
        self._form_loaded()
        self._merge()
        self._replace_stragglers()
        self._upgrade()
        slots = self._free_slots()
        slots = self._load_for_groups(slots)
        self._load_spares(slots)
        self._keep_loaded()

    def _form_loaded(self) -> None:
        """Form every group that needs neither a load nor a donor."""
        supply = self._supply(donors=False)
        for target in self._by_value():
            option = self._best(target, self._domains(target, supply), {})
            if option is not None and not option.loads:
                self.survey.assign(target, option.members)

    def _merge(self) -> None:
        """Form groups from the members of several broken ones."""
        survey = self.survey
        for _ in range(len(survey.broken)):
            supply = self._supply(donors=True)
            for target in self._by_value():
                domains = self._domains(target, supply)
                if not domains:
                    continue
                donors = self._donors(target, domains)
                option = self._best(target, domains, donors)
                if option is not None and not option.loads:
                    survey.assign(target, option.members)
                    break
            else:
                return
            # What the donors have left may complete another group.
            self._form_loaded()

    def _supply(
        self, donors: bool
    ) -> dict[ids.FabricDomainId, collections.Counter[str]]:
        """Count VMs by domain and loaded model, an upper bound of use."""
        supply: dict[ids.FabricDomainId, collections.Counter[str]] = {}
        for domain, free in self.survey.free.items():
            for vm in free.values():
                count = supply.setdefault(domain, collections.Counter())
                count.update(vm.loaded)
        for left in self.survey.broken.values() if donors else ():
            for vm in left:
                count = supply.setdefault(
                    vm.fabric_domain, collections.Counter()
                )
                count.update(vm.loaded)
        return supply

    def _domains(
        self,
        target: Target,
        supply: dict[ids.FabricDomainId, collections.Counter[str]],
    ) -> list[ids.FabricDomainId]:
        """Return where a target may have enough loaded VMs."""
        size = target.spec.vms_per_replica
        domains = {
            domain
            for domain, count in supply.items()
            if count[target.model] >= size
        }
        domains.update(
            vm.fabric_domain
            for vm in self.survey.broken.get(target.group, ())[:1]
        )
        return sorted(domains)

    def _by_value(self) -> list[Target]:
        """Return unserved targets, the most valuable first.

        A service with the smallest part of its replicas goes first. Within
        a service, value per missing VM decides (Smith's rule: the order
        that minimises the weighted sum of completion times).
        """
        survey = self.survey
        served = collections.Counter(
            survey.targets[group].spec.service
            for group in survey.whole
            if group in survey.targets
        )
        wanted = collections.Counter(
            target.spec.service for target in survey.targets.values()
        )

        def key(target: Target) -> tuple[float, float, ids.GroupId]:
            service = target.spec.service
            part = served[service] / wanted[service]
            return (part, -self._worth(target), target.group)

        return sorted(survey.unserved(), key=key)

    def _worth(self, target: Target) -> float:
        """Return a group's value for each VM that it lacks."""
        left = len(self.survey.broken.get(target.group, ()))
        return target.value / max(1, target.spec.vms_per_replica - left)

    def _best(
        self,
        target: Target,
        domains: collections.abc.Iterable[ids.FabricDomainId],
        donors: dict[ids.FabricDomainId, list[VmView]],
    ) -> _Option | None:
        """Return the option with the fewest loads, own domain first."""
        left = self.survey.broken.get(target.group, ())
        home = left[0].fabric_domain if left else None
        options = [
            option
            for domain in domains
            if (
                option := self._option(
                    target,
                    domain,
                    left if domain == home else (),
                    donors.get(domain, []),
                )
            )
        ]
        return min(options, key=self._rank, default=None)

    def _rank(self, option: _Option) -> tuple[float, bool, int, str]:
        # The tightest fit keeps large gaps for groups that need them.
        return (
            option.loads,
            option.elsewhere,
            option.left_over,
            option.domain,
        )

    def _option(
        self,
        target: Target,
        domain: ids.FabricDomainId,
        left: collections.abc.Sequence[VmView],
        donated: collections.abc.Sequence[VmView],
    ) -> _Option | None:
        size = target.spec.vms_per_replica
        free = self.survey.free.get(domain, {})
        if len(left) + len(free) + len(donated) < size:
            return None
        fresh = [
            vm
            for vm in _allowed(target, free.values())
            if vm.vm not in self.held
            and not vm.straggler
            and self.loading.get(vm.vm, target.model) == target.model
        ]
        fresh.sort(key=lambda vm: self._readiness(target, vm))
        steady = [vm for vm in left if not vm.straggler]
        slow = [vm for vm in left if vm.straggler]
        taken = [vm for vm in donated if not vm.straggler]
        # Sorting by need of a load keeps the order within each kind.
        members = sorted(
            (*steady, *fresh, *slow, *taken),
            key=lambda vm: target.model not in vm.loaded,
        )[:size]
        if len(members) < size:
            return None
        return _Option(
            loads=sum(self._load_cost(target, vm) for vm in members),
            elsewhere=not left,
            left_over=len(fresh) - size,
            domain=domain,
            members=tuple(members),
        )

    def _load_cost(self, target: Target, vm: VmView) -> float:
        if target.model in vm.loaded:
            return 0.0
        if self.loading.get(vm.vm) == target.model:
            return 0.5
        return 1.0

    def _readiness(
        self, target: Target, vm: VmView
    ) -> tuple[float, bool, int, ids.VmId]:
        """Sort VMs: loaded, loading, without another model's weights."""
        return (
            self._load_cost(target, vm),
            any(model in self.survey.models for model in vm.loaded),
            len(vm.losses_s),
            vm.vm,
        )

    def _donors(
        self,
        target: Target,
        domains: collections.abc.Collection[ids.FabricDomainId],
    ) -> dict[ids.FabricDomainId, list[VmView]]:
        """Return members of other broken groups, the first donor first.

        The group that is worth least per missing VM gives first: for
        uptime the one furthest from whole, which leaves the most groups
        nearly whole; against stranding also the smaller one.
        """
        survey = self.survey
        groups = [
            group
            for group, left in survey.broken.items()
            if group != target.group
            and left
            and left[0].fabric_domain in domains
        ]

        def key(group: ids.GroupId) -> tuple[float, ids.GroupId]:
            return (self._worth(survey.targets[group]), group)

        donors: dict[ids.FabricDomainId, list[VmView]] = {}
        for group in sorted(groups, key=key):
            for vm in _allowed(target, survey.broken[group]):
                donors.setdefault(vm.fabric_domain, []).append(vm)
        return donors

    def _replace_stragglers(self) -> None:
        """Swap stragglers for loaded spares in the same domain."""
        survey = self.survey
        recent = dict(survey.history.formed_s)
        for group in sorted(survey.whole):
            members = survey.whole[group]
            slow = [vm.vm for vm in members if vm.straggler]
            if not slow or group in survey.new or group in survey.stale:
                continue
            if group in survey.draining:
                continue
            ready = self._spares(survey.targets[group], members[0])
            if not ready:
                continue
            again_s = recent.get(group, -math.inf) + REFORM_PAUSE_S
            if survey.now_s < again_s:
                survey.wake(again_s)
                continue
            swaps = dict(zip(slow, ready, strict=False))
            target = survey.targets[group]
            survey.assign(target, [swaps.get(vm.vm, vm) for vm in members])

    def _spares(self, target: Target, member: VmView) -> list[VmView]:
        """Return the loaded free VMs in a member's domain."""
        return [
            vm
            for vm in self.survey.free[member.fabric_domain].values()
            if target.model in vm.loaded
            and vm.vm not in self.held
            and not vm.straggler
        ]

    def _upgrade(self) -> None:
        """Retire groups of an earlier version, as many as can load at once.

        None is retired while another group of its kind is down.
        """
        survey = self.survey
        down = {target.spec.name for target in survey.unserved()}
        retired: collections.Counter[str] = collections.Counter()
        for group in sorted(survey.stale.difference(survey.draining)):
            spec = survey.targets[group].spec
            at_once = survey.history.loads_at_once // spec.vms_per_replica
            if spec.name in down or retired[spec.name] >= max(1, at_once):
                continue
            retired[spec.name] += 1
            survey.retire(group)

    def _free_slots(self) -> int:
        survey = self.survey
        assigned = sum(
            survey.targets[group].model not in vm.loaded
            for group, members in survey.whole.items()
            if group in survey.targets and group not in survey.stale
            for vm in members
        )
        unassigned = sum(vm not in survey.owner for vm in self.loading)
        return survey.history.loads_at_once - assigned - unassigned

    def _load_for_groups(self, slots: int) -> int:
        """Order loads for groups that have enough VMs; return slots left."""
        if slots <= 0:
            return slots
        for target in self._by_value():
            option = self._best(target, sorted(self.survey.free), {})
            if option is None:
                option = self._cold_merge(target)
            if option is None:
                continue
            for vm in option.members:
                # Reserved: no other group and no spare is loaded on it.
                self.survey.free[vm.fabric_domain].pop(vm.vm, None)
                if vm.vm in self.survey.owner or vm.vm in self.loading:
                    continue
                if target.model not in vm.loaded and slots > 0:
                    self.survey.preload(vm, target.model)
                    slots -= 1
            if slots <= 0:
                break
        return slots

    def _cold_merge(self, target: Target) -> _Option | None:
        """Complete a group from broken groups of another model.

        The donors give up their place, so this waits for lost VMs to come
        back, the longer the less downtime weighs.
        """
        survey = self.survey
        left = survey.broken.get(target.group, ())
        if not left:
            return None
        since_s = dict(survey.history.unserved_s).get(
            target.group, survey.now_s
        )
        ready_s = since_s + MERGE_PATIENCE_S * (1 - self.uptime_part)
        domains = [left[0].fabric_domain]
        donors = self._donors(target, domains)
        option = self._best(target, domains, donors)
        if option is None:
            return None
        if survey.now_s < ready_s:
            survey.wake(ready_s)
            return None
        for vm in option.members:
            owner = survey.owner.get(vm.vm)
            if owner is not None and owner != target.group:
                survey.release(owner)
        return option

    def _load_spares(self, slots: int) -> None:
        """Load spares in the domains where groups serve.

        One load is left to repairs, which cannot interrupt a spare's load.
        """
        survey = self.survey
        if survey.history.loads_at_once > 1:
            slots -= 1
        wanted: dict[tuple[ids.FabricDomainId, str], int] = {}
        for group, members in survey.whole.items():
            target = survey.targets.get(group)
            if target is not None:
                place = (members[0].fabric_domain, target.model)
                wanted[place] = spares_wanted(target.spec, self.uptime_part)
        held: collections.Counter[tuple[ids.FabricDomainId, str]]
        held = collections.Counter()
        for domain, free in survey.free.items():
            for vm in free.values():
                if vm.vm not in self.held and not vm.straggler:
                    models = {*vm.loaded, self.loading.get(vm.vm, "")}
                    held.update((domain, model) for model in models)
        places = [place for place in wanted if held[place] < wanted[place]]
        for place in sorted(places, key=lambda p: (held[p], p)):
            domain, model = place
            for vm in self._idle(domain, model):
                if slots <= 0 or held[place] >= wanted[place]:
                    break
                survey.preload(vm, model)
                held[place] += 1
                slots -= 1

    def _idle(self, domain: ids.FabricDomainId, model: str) -> list[VmView]:
        """Return free VMs with no wanted weights and no load under way."""
        survey = self.survey
        allowed = {
            target.model: target.spec.data_centres
            for target in survey.targets.values()
        }
        return [
            vm
            for vm in survey.free[domain].values()
            if vm.data_centre in allowed[model]
            and vm.vm not in self.held
            and vm.vm not in self.loading
            and vm.vm not in survey.preloads
            and not vm.straggler
            and not any(held in survey.models for held in vm.loaded)
        ]

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


def spares_wanted(spec: schema.ModelGroup, uptime_part: float) -> int:
    """Return how many spares to keep loaded in each domain of a group.

    At least the declared number: a free VM is stranded whether loaded or
    not, and in trials with none loaded both measures were worse. The more
    downtime weighs, the more are loaded, up to twice the declared number.
    """
    return math.ceil(spec.spares * (1 + uptime_part))


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
        and all(vm.data_centre in spec.data_centres for vm in members)
        and len({vm.fabric_domain for vm in members}) <= 1
    )


def _is_current(target: Target, assignment: messages.Assignment) -> bool:
    spec = target.spec
    return (
        assignment.model == spec.model
        and assignment.model_version == spec.model_version
    )


def _allowed(
    target: Target, vms: collections.abc.Iterable[VmView]
) -> list[VmView]:
    """Return the VMs that are in one of the target's data centres."""
    allowed = target.spec.data_centres
    return [vm for vm in vms if vm.data_centre in allowed]
