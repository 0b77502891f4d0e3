"""Formation and repair of model groups.

`plan` is a deterministic function without side effects. It computes orders
from the configuration, the live VMs, the assignments and the time. The
control program calls it on every change of these and at `Plan.replan_at_s`, and
passes the history from the previous plan; a new leader starts with an empty
history.
"""

import collections
import collections.abc
import math

import msgspec

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.version import schema

LOADS_AT_ONCE = 4
"""Limit on concurrent loads from the weight store. They share its bandwidth,
so more loads at once only finish later."""
QUARANTINE_BASE_S = 15.0
"""How long a VM is quarantined after its second loss; doubles with each
further loss."""
QUARANTINE_MAX_S = 900.0
"""Longest quarantine, so that a VM that was repaired is used again."""
LOSS_WINDOW_S = 3600.0
"""Losses that are longer ago than this are ignored."""
MERGE_DELAY_S = 60.0
"""How long a broken group waits before it takes VMs that hold another model.
A rebooted VM is usually back within a minute, and a merge of groups with
different models costs a load, which is wasted if the lost VM returns first."""
REFORM_INTERVAL_S = 30.0
"""Least time between a group's assignment and the replacement of a straggler
in it, because a group that starts slowly looks like a straggler."""


class VmView(msgspec.Struct, frozen=True):
    """A VM whose agent has a session; other VMs are not part of a plan."""

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
    """Shutting down by itself or drained by an operator."""
    busy: bool = False
    """Whether it leads a group that has requests in flight."""
    alive_since_s: float = 0.0
    """When this incarnation was first seen, on the monotonic clock."""
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
    """An order to an unassigned VM to hold a model in memory."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    model: str
    """As model@version."""


class History(msgspec.Struct, frozen=True):
    """State that is carried over from one plan to the next."""

    preloads: tuple[Preload, ...] = ()
    """Loads that were ordered and are not yet reported as complete."""
    formed_s: tuple[tuple[ids.GroupId, float], ...] = ()
    """When groups were last assigned."""
    unserved_s: tuple[tuple[ids.GroupId, float], ...] = ()
    """Since when groups have been incomplete."""
    loads_at_once: int = LOADS_AT_ONCE


class Plan(msgspec.Struct, frozen=True):
    """Orders to carry out; releases come before assignments."""

    assignments: tuple[NewAssignment, ...] = ()
    released: tuple[ids.GroupId, ...] = ()
    preloads: tuple[Preload, ...] = ()
    """All orders in effect for unassigned VMs, not only new ones."""
    draining: tuple[ids.GroupId, ...] = ()
    """Groups that take no new requests; they are released or re-formed
    once their lead has no requests in flight."""
    history: History = History()
    replan_at_s: float | None = None
    """When to plan again even if nothing else changes, or None."""


class Target(msgspec.Struct, frozen=True):
    """One group that the configuration requires."""

    group: ids.GroupId
    spec: schema.ModelGroup
    model: str
    """As model@version."""
    value: float
    """Value of one second of service under the policy weights."""


class PlanningState:
    """Working state while one plan is made.

    `free` holds the VMs that may be assigned to a group, by fabric domain.
    `complete` holds the groups that can serve, with all their members.
    `broken` holds the groups with a missing or leaving member, with the members
    that remain. Policies call `assign`, `release` and `preload`.
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
        self.complete: dict[ids.GroupId, tuple[VmView, ...]] = {}
        self.broken: dict[ids.GroupId, tuple[VmView, ...]] = {}
        self.owner: dict[ids.VmId, ids.GroupId] = {}
        self.new: dict[ids.GroupId, NewAssignment] = {}
        self.stale: set[ids.GroupId] = set()
        self.released: list[ids.GroupId] = []
        self.draining: list[ids.GroupId] = []
        self.preloads: dict[ids.VmId, Preload] = {}
        self.replan_at_s: float | None = None
        for assignment in sorted(assignments, key=lambda a: a.group):
            self._classify(assignment)
        self.free: dict[ids.FabricDomainId, dict[ids.VmId, VmView]] = (
            collections.defaultdict(dict)
        )
        for vm in self.vms.values():
            if vm.vm not in self.owner and not vm.leaving:
                self.free[vm.fabric_domain][vm.vm] = vm

    def unserved(self) -> list[Target]:
        """Return the targets without a complete group, sorted by name."""
        return [t for g, t in self.targets.items() if g not in self.complete]

    def assign(
        self, target: Target, members: collections.abc.Sequence[VmView]
    ) -> None:
        """Assign VMs to a group; broken groups that own some are released."""
        for vm in members:
            owner = self.owner.get(vm.vm)
            if owner is not None and owner != target.group:
                self.release(owner)
        for vm in self.broken.pop(target.group, ()):
            self._set_free(vm)
        for vm in self.complete.pop(target.group, ()):
            self._set_free(vm)
        self.stale.discard(target.group)
        for vm in members:
            self.free[vm.fabric_domain].pop(vm.vm, None)
            self.preloads.pop(vm.vm, None)
            self.owner[vm.vm] = target.group
        self.complete[target.group] = tuple(members)
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
        self._release_groups_listing(members)

    def release(self, group: ids.GroupId) -> None:
        """Remove a broken group's assignment and free its members."""
        for vm in self.broken.pop(group, ()):
            self._set_free(vm)
        if group in self.current and group not in self.released:
            self.released.append(group)

    def retire(self, group: ids.GroupId) -> None:
        """Release a serving group, or drain it if it has requests in flight."""
        members = self.complete[group]
        if members[0].busy:
            self.draining.append(group)
            return
        self.broken[group] = self.complete.pop(group)
        self.stale.discard(group)
        self.release(group)

    def preload(self, vm: VmView, model: str) -> None:
        """Order an unassigned VM to load a model."""
        self.preloads[vm.vm] = Preload(vm.vm, vm.incarnation, model)

    def plan(self) -> Plan:
        """Return the orders and the history for the next plan."""
        formed = {
            group: at_s
            for group, at_s in self.history.formed_s
            if group in self.complete and self.now_s - at_s < REFORM_INTERVAL_S
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
            replan_at_s=self.replan_at_s,
        )

    def replan_at(self, at_s: float) -> None:
        """Request another plan at this time or earlier."""
        if self.replan_at_s is None or at_s < self.replan_at_s:
            self.replan_at_s = at_s

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
        if target is None or not _matches_spec(target, assignment, members):
            # The group may finish its requests in flight, as the stop is
            # planned.
            if not busy:
                self.released.append(group)
                return
            self.draining.append(group)
        staying = tuple(vm for vm in members if not vm.leaving)
        if complete and len(staying) == len(members):
            self.complete[group] = staying
            if target is not None and not _has_current_model(
                target, assignment
            ):
                self.stale.add(group)
        elif busy:
            self.complete[group] = tuple(members)
            self.draining.append(group)
        elif target is not None and not _has_current_model(target, assignment):
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

    def _release_groups_listing(
        self, members: collections.abc.Sequence[VmView]
    ) -> None:
        """Release broken groups that list earlier incarnations of the VMs.

        Otherwise a VM that came back would be in the assignments of two
        groups.
        """
        names = {vm.vm for vm in members}
        for group in list(self.broken):
            listed = self.current[group].members
            if any(member.vm in names for member in listed):
                self.release(group)


Planner = collections.abc.Callable[[PlanningState], None]

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
    """Return the orders that bring the groups closer to the configuration.

    Raises:
        KeyError: The policy is unknown.
    """
    state = PlanningState(configuration, vms, assignments, now_s, history)
    POLICIES[policy](state)
    return state.plan()


@policy("none")
def wait_for_return(state: PlanningState) -> None:
    """Form missing groups; a broken group waits until its own VMs return."""
    _retire_stale(state)
    for target in state.unserved():
        if target.group in state.broken:
            listed = state.current[target.group].members
            members = [state.vms.get(member.vm) for member in listed]
            returned = [
                vm for vm in members if vm is not None and not vm.leaving
            ]
            returned = _in_target_data_centres(target, returned)
            domains = {vm.fabric_domain for vm in returned}
            if len(returned) == len(listed) and len(domains) == 1:
                state.assign(target, returned)
            continue
        _form_in_any_domain(state, target)


@policy("greedy")
def first_fit(state: PlanningState) -> None:
    """Complete each group in turn with the first free VMs that it may use."""
    _retire_stale(state)
    for target in state.unserved():
        remaining = state.broken.get(target.group, ())
        if remaining:
            free = state.free[remaining[0].fabric_domain]
            found = [
                *remaining,
                *_in_target_data_centres(target, free.values()),
            ]
            if len(found) >= target.spec.vms_per_replica:
                state.assign(target, found[: target.spec.vms_per_replica])
                continue
        _form_in_any_domain(state, target)


def _retire_stale(state: PlanningState) -> None:
    for group in sorted(state.stale):
        state.retire(group)


def _form_in_any_domain(state: PlanningState, target: Target) -> None:
    for domain in sorted(state.free):
        found = _in_target_data_centres(target, state.free[domain].values())
        if len(found) >= target.spec.vms_per_replica:
            state.assign(target, found[: target.spec.vms_per_replica])
            return


@policy("weighted")
def weighted(state: PlanningState) -> None:
    """Use loaded VMs first, then merge groups, then load by urgency."""
    _WeightedPolicy(state).run()


class _Option(msgspec.Struct, frozen=True):
    """A way to complete a group: its members and what they cost."""

    load_cost: float
    """Loads to wait for; a load in progress counts half."""
    is_all_new: bool
    """Whether it uses none of the group's remaining members."""
    unused_vms: int
    """Usable free VMs of the domain minus the size of the group."""
    domain: ids.FabricDomainId
    members: tuple[VmView, ...]


class _WeightedPolicy:
    """The steps of the `weighted` policy for one plan.

    A group is assigned only once all its members have the weights in memory.
    Until then free VMs are ordered to load them. Such an order gives nothing
    up: if a lost VM returns first, the group is formed with it at once.
    """

    def __init__(self, state: PlanningState) -> None:
        self.state = state
        weights = state.configuration.policy
        total = weights.downtime_weight + weights.stranded_weight
        self.downtime_fraction = (
            weights.downtime_weight / total if total else 0.5
        )
        self.loading = {
            order.vm: order.model
            for order in state.history.preloads
            if order.model in state.models
            and order.vm in state.vms
            and state.vms[order.vm].incarnation == order.incarnation
            and order.model not in state.vms[order.vm].loaded
        }
        self.quarantined: set[ids.VmId] = set()
        for vm in state.vms.values():
            until_s = quarantined_until(vm, state.now_s)
            if until_s > state.now_s:
                self.quarantined.add(vm.vm)
                state.replan_at(until_s)

    def run(self) -> None:
        """Run all steps in order."""
        self._form_loaded()
        self._merge()
        self._replace_stragglers()
        self._upgrade()
        slots = self._free_load_slots()
        slots = self._load_for_groups(slots)
        self._load_spares(slots)
        self._repeat_preloads()

    def _form_loaded(self) -> None:
        """Form every group that needs neither a load nor donated VMs."""
        loaded_counts = self._count_loaded(donors=False)
        for target in self._by_urgency():
            option = self._best_option(
                target, self._possible_domains(target, loaded_counts), {}
            )
            if option is not None and not option.load_cost:
                self.state.assign(target, option.members)

    def _merge(self) -> None:
        """Form groups from the members of several broken groups."""
        state = self.state
        for _ in range(len(state.broken)):
            loaded_counts = self._count_loaded(donors=True)
            for target in self._by_urgency():
                domains = self._possible_domains(target, loaded_counts)
                if not domains:
                    continue
                donors = self._donors(target, domains)
                option = self._best_option(target, domains, donors)
                if option is not None and not option.load_cost:
                    state.assign(target, option.members)
                    break
            else:
                return
            # The donors' remaining VMs may complete another group.
            self._form_loaded()

    def _count_loaded(
        self, donors: bool
    ) -> dict[ids.FabricDomainId, collections.Counter[str]]:
        """Count VMs by domain and loaded model.

        The counts are upper bounds, since not all of the VMs may be usable.
        """
        loaded_counts: dict[ids.FabricDomainId, collections.Counter[str]] = {}
        for domain, free in self.state.free.items():
            for vm in free.values():
                count = loaded_counts.setdefault(domain, collections.Counter())
                count.update(vm.loaded)
        for remaining in self.state.broken.values() if donors else ():
            for vm in remaining:
                count = loaded_counts.setdefault(
                    vm.fabric_domain, collections.Counter()
                )
                count.update(vm.loaded)
        return loaded_counts

    def _possible_domains(
        self,
        target: Target,
        loaded_counts: dict[ids.FabricDomainId, collections.Counter[str]],
    ) -> list[ids.FabricDomainId]:
        """Return the domains that may have enough loaded VMs for a target.

        The domain of the group's remaining members is always included.
        """
        size = target.spec.vms_per_replica
        domains = {
            domain
            for domain, count in loaded_counts.items()
            if count[target.model] >= size
        }
        domains.update(
            vm.fabric_domain
            for vm in self.state.broken.get(target.group, ())[:1]
        )
        return sorted(domains)

    def _by_urgency(self) -> list[Target]:
        """Return the unserved targets, the most urgent first.

        The service with the smallest fraction of its replicas goes first.
        Within a service, targets are sorted by their value per missing VM
        (Smith's rule: this order minimises the weighted sum of completion
        times).
        """
        state = self.state
        served = collections.Counter(
            state.targets[group].spec.service
            for group in state.complete
            if group in state.targets
        )
        wanted = collections.Counter(
            target.spec.service for target in state.targets.values()
        )

        def key(target: Target) -> tuple[float, float, ids.GroupId]:
            service = target.spec.service
            fraction = served[service] / wanted[service]
            return (
                fraction,
                -self._value_per_missing_vm(target),
                target.group,
            )

        return sorted(state.unserved(), key=key)

    def _value_per_missing_vm(self, target: Target) -> float:
        """Return a group's value divided by the number of VMs it lacks."""
        remaining = len(self.state.broken.get(target.group, ()))
        return target.value / max(1, target.spec.vms_per_replica - remaining)

    def _best_option(
        self,
        target: Target,
        domains: collections.abc.Iterable[ids.FabricDomainId],
        donors: dict[ids.FabricDomainId, list[VmView]],
    ) -> _Option | None:
        """Return the option with the fewest loads, or None without any.

        Between equal ones, the domain of the remaining members is preferred.
        """
        remaining = self.state.broken.get(target.group, ())
        home = remaining[0].fabric_domain if remaining else None
        options = [
            option
            for domain in domains
            if (
                option := self._option_in_domain(
                    target,
                    domain,
                    remaining if domain == home else (),
                    donors.get(domain, []),
                )
            )
        ]
        return min(options, key=self._option_sort_key, default=None)

    def _option_sort_key(self, option: _Option) -> tuple[float, bool, int, str]:
        # Best fit: a domain with few VMs to spare is preferred, so that
        # others keep room for large groups.
        return (
            option.load_cost,
            option.is_all_new,
            option.unused_vms,
            option.domain,
        )

    def _option_in_domain(
        self,
        target: Target,
        domain: ids.FabricDomainId,
        remaining: collections.abc.Sequence[VmView],
        donated: collections.abc.Sequence[VmView],
    ) -> _Option | None:
        size = target.spec.vms_per_replica
        free = self.state.free.get(domain, {})
        if len(remaining) + len(free) + len(donated) < size:
            return None
        free_usable = [
            vm
            for vm in _in_target_data_centres(target, free.values())
            if vm.vm not in self.quarantined
            and not vm.straggler
            and self.loading.get(vm.vm, target.model) == target.model
        ]
        free_usable.sort(key=lambda vm: self._vm_sort_key(target, vm))
        remaining_fast = [vm for vm in remaining if not vm.straggler]
        remaining_stragglers = [vm for vm in remaining if vm.straggler]
        donated_fast = [vm for vm in donated if not vm.straggler]
        # VMs that need no load come first. The sort is stable, so both parts
        # keep the order of the list.
        members = sorted(
            (
                *remaining_fast,
                *free_usable,
                *remaining_stragglers,
                *donated_fast,
            ),
            key=lambda vm: target.model not in vm.loaded,
        )[:size]
        if len(members) < size:
            return None
        return _Option(
            load_cost=sum(self._load_cost(target, vm) for vm in members),
            is_all_new=not remaining,
            unused_vms=len(free_usable) - size,
            domain=domain,
            members=tuple(members),
        )

    def _load_cost(self, target: Target, vm: VmView) -> float:
        if target.model in vm.loaded:
            return 0.0
        if self.loading.get(vm.vm) == target.model:
            return 0.5
        return 1.0

    def _vm_sort_key(
        self, target: Target, vm: VmView
    ) -> tuple[float, bool, int, ids.VmId]:
        """Return a sort key for free VMs.

        Loaded VMs come first, then those that load the model. Among these,
        VMs without weights of a required model are preferred, then those
        with fewer losses.
        """
        return (
            self._load_cost(target, vm),
            any(model in self.state.models for model in vm.loaded),
            len(vm.losses_s),
            vm.vm,
        )

    def _donors(
        self,
        target: Target,
        domains: collections.abc.Collection[ids.FabricDomainId],
    ) -> dict[ids.FabricDomainId, list[VmView]]:
        """Return members of other broken groups, in the order to take them.

        The group with the least value per missing VM donates first. Where
        downtime weighs most, this is the group that lacks the most VMs,
        which leaves the most groups nearly complete. Where stranded VMs weigh
        most, smaller groups also come earlier.
        """
        state = self.state
        groups = [
            group
            for group, remaining in state.broken.items()
            if group != target.group
            and remaining
            and remaining[0].fabric_domain in domains
        ]

        def key(group: ids.GroupId) -> tuple[float, ids.GroupId]:
            return (self._value_per_missing_vm(state.targets[group]), group)

        donors: dict[ids.FabricDomainId, list[VmView]] = {}
        for group in sorted(groups, key=key):
            for vm in _in_target_data_centres(target, state.broken[group]):
                donors.setdefault(vm.fabric_domain, []).append(vm)
        return donors

    def _replace_stragglers(self) -> None:
        """Replace stragglers with loaded spares from the same domain."""
        state = self.state
        formed_s = dict(state.history.formed_s)
        for group in sorted(state.complete):
            members = state.complete[group]
            stragglers = [vm.vm for vm in members if vm.straggler]
            if not stragglers or group in state.new or group in state.stale:
                continue
            if group in state.draining:
                continue
            spares = self._spares(state.targets[group], members[0])
            if not spares:
                continue
            replan_at_s = formed_s.get(group, -math.inf) + REFORM_INTERVAL_S
            if state.now_s < replan_at_s:
                state.replan_at(replan_at_s)
                continue
            swaps = dict(zip(stragglers, spares, strict=False))
            target = state.targets[group]
            state.assign(target, [swaps.get(vm.vm, vm) for vm in members])

    def _spares(self, target: Target, member: VmView) -> list[VmView]:
        """Return the loaded free VMs in the domain of a member."""
        return [
            vm
            for vm in self.state.free[member.fabric_domain].values()
            if target.model in vm.loaded
            and vm.vm not in self.quarantined
            and not vm.straggler
        ]

    def _upgrade(self) -> None:
        """Retire groups with an outdated model, as many as can load at once.

        A group is not retired while another replica of the same model group
        is down.
        """
        state = self.state
        down = {target.spec.name for target in state.unserved()}
        retired: collections.Counter[str] = collections.Counter()
        for group in sorted(state.stale.difference(state.draining)):
            spec = state.targets[group].spec
            at_once = state.history.loads_at_once // spec.vms_per_replica
            if spec.name in down or retired[spec.name] >= max(1, at_once):
                continue
            retired[spec.name] += 1
            state.retire(group)

    def _free_load_slots(self) -> int:
        state = self.state
        assigned = sum(
            state.targets[group].model not in vm.loaded
            for group, members in state.complete.items()
            if group in state.targets and group not in state.stale
            for vm in members
        )
        unassigned = sum(vm not in state.owner for vm in self.loading)
        return state.history.loads_at_once - assigned - unassigned

    def _load_for_groups(self, slots: int) -> int:
        """Order loads for groups that have enough VMs.

        Returns:
            The number of load slots that are left.
        """
        if slots <= 0:
            return slots
        for target in self._by_urgency():
            option = self._best_option(target, sorted(self.state.free), {})
            if option is None:
                option = self._merge_and_load(target)
            if option is None:
                continue
            for vm in option.members:
                # Reserves the VM, so that no model is loaded on it for
                # another group or as a spare.
                self.state.free[vm.fabric_domain].pop(vm.vm, None)
                if vm.vm in self.state.owner or vm.vm in self.loading:
                    continue
                if target.model not in vm.loaded and slots > 0:
                    self.state.preload(vm, target.model)
                    slots -= 1
            if slots <= 0:
                break
        return slots

    def _merge_and_load(self, target: Target) -> _Option | None:
        """Complete a group from broken groups that hold another model.

        The donors lose their assignments, so this first waits for lost VMs
        to come back. The less downtime weighs, the longer the wait.
        """
        state = self.state
        remaining = state.broken.get(target.group, ())
        if not remaining:
            return None
        since_s = dict(state.history.unserved_s).get(target.group, state.now_s)
        ready_s = since_s + MERGE_DELAY_S * (1 - self.downtime_fraction)
        domains = [remaining[0].fabric_domain]
        donors = self._donors(target, domains)
        option = self._best_option(target, domains, donors)
        if option is None:
            return None
        if state.now_s < ready_s:
            state.replan_at(ready_s)
            return None
        for vm in option.members:
            owner = state.owner.get(vm.vm)
            if owner is not None and owner != target.group:
                state.release(owner)
        return option

    def _load_spares(self, slots: int) -> None:
        """Load spares in the domains where groups serve.

        One load slot stays free for repairs, because a repair cannot
        interrupt the load of a spare.
        """
        state = self.state
        if state.history.loads_at_once > 1:
            slots -= 1
        wanted: dict[tuple[ids.FabricDomainId, str], int] = {}
        for group, members in state.complete.items():
            target = state.targets.get(group)
            if target is not None:
                domain_model = (members[0].fabric_domain, target.model)
                wanted[domain_model] = spares_wanted(
                    target.spec, self.downtime_fraction
                )
        loaded_spares: collections.Counter[tuple[ids.FabricDomainId, str]]
        loaded_spares = collections.Counter()
        for domain, free in state.free.items():
            for vm in free.values():
                if vm.vm not in self.quarantined and not vm.straggler:
                    models = {*vm.loaded, self.loading.get(vm.vm, "")}
                    loaded_spares.update((domain, model) for model in models)
        lacking = [
            domain_model
            for domain_model in wanted
            if loaded_spares[domain_model] < wanted[domain_model]
        ]
        for domain_model in sorted(
            lacking, key=lambda p: (loaded_spares[p], p)
        ):
            domain, model = domain_model
            for vm in self._idle_vms(domain, model):
                if (
                    slots <= 0
                    or loaded_spares[domain_model] >= wanted[domain_model]
                ):
                    break
                state.preload(vm, model)
                loaded_spares[domain_model] += 1
                slots -= 1

    def _idle_vms(self, domain: ids.FabricDomainId, model: str) -> list[VmView]:
        """Return free VMs with no required model and no load in progress."""
        state = self.state
        allowed = {
            target.model: target.spec.data_centres
            for target in state.targets.values()
        }
        return [
            vm
            for vm in state.free[domain].values()
            if vm.data_centre in allowed[model]
            and vm.vm not in self.quarantined
            and vm.vm not in self.loading
            and vm.vm not in state.preloads
            and not vm.straggler
            and not any(loaded in state.models for loaded in vm.loaded)
        ]

    def _repeat_preloads(self) -> None:
        """Repeat earlier load orders, so that no spare drops its weights."""
        state = self.state
        for vm in state.vms.values():
            if vm.vm in state.owner or vm.leaving or vm.vm in state.preloads:
                continue
            if vm.vm in self.loading:
                state.preload(vm, self.loading[vm.vm])
                continue
            kept = [model for model in vm.loaded if model in state.models]
            if kept:
                state.preload(vm, kept[0])


def spares_wanted(spec: schema.ModelGroup, downtime_fraction: float) -> int:
    """Return how many spares to keep loaded in each domain of a group.

    This is at least the declared number, since a free VM counts as stranded
    whether it is loaded or not, and in trials without loaded spares both
    downtime and stranding were worse. The more downtime weighs, the more
    spares are loaded, up to twice the declared number.
    """
    return math.ceil(spec.spares * (1 + downtime_fraction))


def quarantined_until(vm: VmView, now_s: float) -> float:
    """Return until when a VM is not used because it was lost repeatedly."""
    recent = [at_s for at_s in vm.losses_s if now_s - at_s < LOSS_WINDOW_S]
    if len(recent) < 2:
        return vm.alive_since_s
    delay_s = QUARANTINE_BASE_S * 2.0 ** (len(recent) - 2)
    return vm.alive_since_s + min(QUARANTINE_MAX_S, delay_s)


def _targets(
    configuration: schema.Configuration,
) -> dict[ids.GroupId, Target]:
    """Return all groups that the configuration requires, sorted by name."""
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


def _matches_spec(
    target: Target,
    assignment: messages.Assignment,
    members: collections.abc.Sequence[VmView],
) -> bool:
    """Return whether an assignment matches the configuration.

    The model is compared by `_has_current_model`.
    """
    spec = target.spec
    return (
        len(assignment.members) == spec.vms_per_replica
        and assignment.service == spec.service
        and all(vm.data_centre in spec.data_centres for vm in members)
        and len({vm.fabric_domain for vm in members}) <= 1
    )


def _has_current_model(target: Target, assignment: messages.Assignment) -> bool:
    spec = target.spec
    return (
        assignment.model == spec.model
        and assignment.model_version == spec.model_version
    )


def _in_target_data_centres(
    target: Target, vms: collections.abc.Iterable[VmView]
) -> list[VmView]:
    """Return the VMs that are in one of the target's data centres."""
    allowed = target.spec.data_centres
    return [vm for vm in vms if vm.data_centre in allowed]
