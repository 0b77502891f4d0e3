"""Formation and repair of model groups.

Reacts to the loss, return, arrival and departure of VMs. The group manager
compares the state that members report with the state that it wants and
returns the orders to send; it does no I/O. A VM joins a new group only once
the head of its former group no longer serves: either the head reports this,
or it is known to have ended.
"""

import collections
import collections.abc

import msgspec

from flamingocleat import ids
from flamingocleat.process import logs
from flamingocleat.version import adoption as adoption_module
from flamingocleat.version import catalog as catalog_module
from flamingocleat.version import cold
from flamingocleat.version import confirmations as confirmations_module
from flamingocleat.version import demand as demand_module
from flamingocleat.version import evacuations
from flamingocleat.version import fleet as fleet_module
from flamingocleat.version import formation
from flamingocleat.version import group as group_module
from flamingocleat.version import head_ends
from flamingocleat.version import layout
from flamingocleat.version import orders as orders_module
from flamingocleat.version import room
from flamingocleat.version import service_survey
from flamingocleat.version import weights

_log = logs.logger("groups")

RESEND_S = 0.4
"""Time after which an order without a visible effect is sent again. Members
report a change within some 10 ms."""
PROBE_AFTER_S = 1.7
"""Age of a member's last announcement from which the leader probes it.
Members announce themselves every 1.2 s."""
LOST_S = 6.0
"""A VM that is silent for this long counts as lost, even without other
evidence."""
FINISH_WORK_TIMEOUT_S = 10.0
"""Maximum time that the other members stay in a closing group so that its
head can finish its requests."""
ORDER_SILENT_S = 12.0
"""A head that has been silent for this long gets no order until it is heard of
again."""
MIN_PACE = 0.01
"""Lower bound of a model's pace; the configuration may contain zero."""
FORMING_MARGIN_S = 6.0
"""Added to twice the load time before a formation is aborted."""

Group = group_module.Group
Order = orders_module.Order
Phase = group_module.Phase


class GroupManagerSettings(msgspec.Struct, frozen=True):
    """Deployment settings of a group manager."""

    stall_s: float = 4.0
    """Time until a head that lost a member reports its group as broken."""
    spares: int = 1
    """VMs of each fabric domain that are kept out of groups, if possible."""


class GroupManager:
    """Manages the groups of one service during one leader's term."""

    def __init__(
        self,
        settings: GroupManagerSettings,
        service: ids.ServiceId,
        fleet: fleet_module.Fleet,
        term: int,
    ) -> None:
        self.settings = settings
        self.service = service
        self.fleet = fleet
        self.term = term
        self.counter = 0
        self.engine: catalog_module.Engine | None = None
        self.groups: dict[str, Group] = {}
        self.evacuation = evacuations.GroupRules(fleet)
        self.adoption = adoption_module.Adoption(term)
        self.confirmations = confirmations_module.Confirmations(
            self.adoption.is_from_this_term
        )
        self.head_ends = head_ends.HeadEnds(
            settings.stall_s, fleet, self.confirmations
        )
        self.evidence: dict[ids.Lifetime, group_module.Evidence] = {}
        self.sent_s: dict[Order, float] = {}
        self.load_planner = weights.LoadPlanner()
        self.nearly_full_since_s: dict[str, float] = {}
        """Since when the groups of a model have had little free capacity."""
        self.short_models: set[str] = set()
        """Models whose groups lack capacity for their requests."""
        self.in_flight: collections.abc.Mapping[ids.BackendId, int] = {}
        """Requests in flight at each head, from all gateways."""
        self.demand: collections.abc.Mapping[str, demand_module.ModelRates] = {}
        """Rates of callers' requests by model and priority."""
        self.room = room.Room()
        self.vms_by_use: collections.Counter[service_survey.VmUse] = (
            collections.Counter()
        )
        """Number of VMs by use, as of the last step."""
        self.holders: collections.Counter[str] = collections.Counter()
        """Number of idle VMs known to hold a model's weights, as of the last
        step."""
        self.limited_per_s: dict[ids.BackendId, float] = {}
        """Rates of the listed heads that are cold or limited."""
        self.has_traffic = False
        """Whether requests have arrived; only then are loads rate-limited."""
        self.unread: list[fleet_module.Backend] = []
        """VMs whose states should be read, as of the last step."""
        self.reduced_slots: collections.abc.Mapping[ids.BackendId, int] = {}
        """Slots of heads that take fewer requests well than declared."""
        self._layout: layout.Plan | None = None

    # Queries.

    def serving(self) -> list[Group]:
        """Return the groups that accept requests."""
        return self.evacuation.serving(self.groups.values())

    def slots(self, group: Group) -> int:
        """Return how many concurrent requests a group should have."""
        declared = self.declared_capacity(group)
        return min(declared, self.reduced_slots.get(group.head, declared))

    def declared_capacity(self, group: Group) -> int:
        """Return the same, according to the engine's cost model alone."""
        assert self.engine is not None
        return formation.capacity(self.engine, spans=self._spans_domains(group))

    def capacity(self, group: Group) -> int:
        """Return the slots that a group can fill, which a rate may limit."""
        slots, per_s = self.slots(group), self.limited_per_s.get(group.head)
        if per_s and self.engine is not None:
            pace = self.pace(group)
            slots = min(slots, cold.cold_slots(self.engine, pace, per_s))
        return slots

    def pace(self, group: Group) -> float:
        """Return the factor by which a group scales the engine's times."""
        assert self.engine is not None
        model = self._find_model(group.model)
        factor = max(model.pace, MIN_PACE) if model else 1.0
        if self._spans_domains(group):
            factor *= self.engine.cross_domain_factor
        return factor

    def read_per_s(self, group: Group) -> float:
        """Return how many prompt tokens a group reads per second."""
        assert self.engine is not None
        return self.engine.read_per_s / self.pace(group)

    def members_to_probe(self, now_s: float) -> list[fleet_module.Backend]:
        """Return the VMs that the leader should try to connect to.

        These are members of groups, and spares that are late to announce
        themselves: a lost one would be chosen for the next group.
        """
        found = {
            backend.announcement.backend: backend
            for backend in self.fleet.of_service(self.service)
            if now_s - backend.announced_s > PROBE_AFTER_S
            and self._is_usable(backend, now_s)
        }
        for group in self.groups.values():
            suspected = not self.evidence_of(group.head).serves(now_s)
            for member in group.members:
                backend = self.fleet.backends.get(member)
                if backend is None:
                    continue
                late = now_s - backend.announced_s > PROBE_AFTER_S
                recent = (
                    self.evidence_of(group.head).suspected_s
                    > now_s - group_module.LEASE_S
                )
                if late or (suspected and recent):
                    found[member] = backend
        return list(found.values())

    def evidence_of(self, backend: ids.BackendId) -> group_module.Evidence:
        """Return the mutable liveness evidence of a VM's latest lifetime."""
        return self.evidence_of_lifetime(self.latest_lifetime(backend))

    def evidence_of_lifetime(
        self, lifetime: ids.Lifetime
    ) -> group_module.Evidence:
        """Return the mutable liveness evidence of a VM's lifetime."""
        return self.evidence.setdefault(lifetime, group_module.Evidence())

    def latest_lifetime(self, backend: ids.BackendId) -> ids.Lifetime:
        """Return the latest lifetime of a VM that is known here."""
        known = self.fleet.backends.get(backend)
        if known is not None:
            return known.announcement.lifetime
        # Gateways may report on a head that has not announced itself yet.
        return max(
            (
                head
                for head in self.adoption.heads.values()
                if head.backend == backend
            ),
            default=ids.Lifetime(backend, 0),
        )

    # Orders.

    def step(self, now_s: float) -> list[Order]:
        """Advance all groups and return the orders to send now."""
        if self.engine is None:
            return []
        self.adopt(now_s)
        orders: list[Order] = []
        for group in list(self.groups.values()):
            if not self._abandon_evacuated(group, now_s):
                orders.extend(_STEPS[group.phase](self, group, now_s))
        self.room.review(self.groups, self.fleet, self.engine, now_s)
        survey = self.survey(now_s)
        self.unread = survey.unread
        self.vms_by_use = survey.count_by_use()
        self.holders = survey.count_idle_holders()
        orders.extend(self._form(survey, now_s))
        self._close_slow_groups(survey, now_s)
        self._change_room(survey, now_s)
        orders.extend(self._warm(survey, now_s))
        orders.extend(self._stage(survey, now_s))
        self._forget_stale(now_s)
        return orders

    def on_order_answered(
        self,
        order: Order,
        lifetime: ids.Lifetime,
        effect: confirmations_module.Effect,
        now_s: float,
    ) -> None:
        """Follow what an order did.

        Args:
            order: The order.
            lifetime: Lifetime that it was meant for.
            effect: What it did, as far as the VM said.
            now_s: Current time.
        """
        self.confirmations.on_order_answered(order, lifetime, effect, now_s)
        self.head_ends.orders.record_answer(order, effect, now_s)
        is_refused = effect is confirmations_module.Effect.REFUSED
        if is_refused and order.expected_orders is not None:
            self.on_order_refused(order, now_s)

    def on_order_fenced(self, order: Order, now_s: float) -> None:
        """Note that a VM refused an order since it has had a later one."""
        refused = confirmations_module.Effect.REFUSED
        self.head_ends.orders.record_answer(order, refused, now_s)
        self.on_order_refused(order, now_s)

    def on_order_refused(self, order: Order, now_s: float) -> None:
        """Abort a formation because a member refused to join."""
        group = self.groups.get(order.group)
        is_joining = group and group.phase in group_module.JOINING_PHASES
        if group and is_joining and order.op is orders_module.Op.JOIN:
            self._remove_group(group, f"{order.backend} refused to join", now_s)

    def _throttle(self, order: Order, now_s: float) -> list[Order]:
        key = msgspec.structs.replace(order, expected_orders=None)
        sent_s = self.sent_s.get(key)
        if sent_s is not None and now_s - sent_s < RESEND_S:
            return []
        self.sent_s[key] = now_s
        self.head_ends.orders.record_sent(order, now_s)
        return [order]

    # Groups of an earlier leader.

    def adopt_early(self, now_s: float) -> None:
        """Adopt groups while VMs still announce themselves to a new leader.

        Gives no orders, but finds the VMs whose states should be read.
        """
        if self.engine is None:
            return
        self.adopt(now_s)
        self.unread = self.survey(now_s).unread

    def adopt(self, now_s: float) -> None:
        """Adopt groups that an earlier leader formed."""
        if self.engine is None:
            return
        found: dict[tuple[str, ids.Epoch], adoption_module.MembersByRank] = {}
        for backend in self.fleet.of_service(self.service):
            report = backend.announcement.group
            if report is not None:
                self.confirmations.observe(backend.announcement, report.epoch)
                key = (report.name, report.epoch)
                found.setdefault(key, {})[report.rank] = backend
        for (name, epoch), ranks in found.items():
            known = self.groups.get(name)
            if known is not None:
                is_partial = group_module.UNKNOWN_MEMBER in known.members
                if known.epoch == epoch and is_partial:
                    adoption_module.fill_in_members(known, ranks)
                continue
            reported = adoption_module.ReportedGroup(name, epoch, ranks)
            adopted = self._adopt(reported, now_s)
            if adopted is not None:
                self.groups[name] = adopted
        self.adoption.trim({name for name, _ in found}, now_s)

    def _adopt(
        self, reported: adoption_module.ReportedGroup, now_s: float
    ) -> Group | None:
        assert self.engine is not None
        head_backend = reported.members_by_rank.get(0)
        if head_backend is not None:
            adopted = self.adoption.take_over(reported, self.engine, now_s)
            if adopted is not None or not self._may_have_opened(head_backend):
                return adopted
        if not self.adoption.is_orphaned(reported, now_s):
            return None
        head = self.adoption.heads.get(
            reported.name, adoption_module.UNKNOWN_LIFETIME
        )
        if self.evidence_of_lifetime(head).serves(now_s):
            return None
        return self.adoption.close_orphans(reported, self.engine, now_s)

    def _may_have_opened(self, head: fleet_module.Backend) -> bool:
        """Return whether a head may have opened its group since it announced.

        If the head can be reached, it is read before this matters.
        """
        report = head.announcement.group
        return (
            report is not None
            and report.state in adoption_module.UNOPENED_STATES
            and not report.name.endswith(adoption_module.SPARE_SUFFIX)
            and not self.confirmations.is_confirmed(head.announcement)
        )

    # States of VMs.

    def begin_reads(self, now_s: float) -> list[fleet_module.Backend]:
        """Return the VMs whose states should be read now.

        Each read ends with a call of `end_read`.
        """
        return self.confirmations.begin_reads(self.unread, now_s)

    def end_read(
        self, lifetime: ids.Lifetime, state: fleet_module.VmState | None
    ) -> None:
        """Record the state that a VM told, or None if it did not answer."""
        known = self.fleet.backends.get(lifetime.backend)
        newest = known.announcement if known else None
        self.confirmations.end_read(lifetime, newest, state)

    # Phase handlers.

    def _abandon_evacuated(self, group: Group, now_s: float) -> bool:
        """Apply the evacuation rules; return whether the group was removed."""
        action = self.evacuation.action(group)
        reason = "a data centre of its members is evacuated"
        if action is evacuations.Action.ABANDON:
            self._remove_group(group, reason, now_s)
        elif action is evacuations.Action.CLOSE:
            group.finish_work, group.reason = True, reason
            self._set_phase(group, Phase.CLOSING, now_s)
        return action is evacuations.Action.ABANDON

    def _step_warming(self, group: Group, now_s: float) -> list[Order]:
        backend = self.fleet.backends.get(group.head)
        model = self._find_model(group.model)
        if (
            backend is None
            or model is None
            or self._unusable_members(group, now_s)
        ):
            self._remove_group(group, "the spare was lost", now_s)
            return []
        state = self.head_ends.reported_state(group.head, group)
        if state is fleet_module.GroupState.JOINING:
            return []
        if now_s - group.since_s > 2 * model.load_s + FORMING_MARGIN_S:
            self._remove_group(group, "warming timed out", now_s)
            return []
        if state is None:
            return self._throttle(self._join(group, group.head), now_s)
        # The VM stays a member, because only members report the model that
        # their engine holds, and the next leader knows nothing else of it.
        self._remove_group(group, "the spare has loaded the weights", now_s)
        return []

    def _step_forming(self, group: Group, now_s: float) -> list[Order]:
        missing = self._unusable_members(group, now_s)
        model = self._find_model(group.model)
        if missing or model is None:
            self._remove_group(group, f"lost {missing} while forming", now_s)
            return []
        if now_s - group.since_s > 2 * model.load_s + FORMING_MARGIN_S:
            self._remove_group(group, "forming timed out", now_s)
            return []
        waiting = [
            member
            for member in group.members
            if self.head_ends.reported_state(member, group)
            is not fleet_module.GroupState.READY
        ]
        if not waiting:
            self._set_phase(group, Phase.OPENING, now_s)
            return self._step_opening(group, now_s)
        orders: list[Order] = []
        for member in waiting:
            if self.head_ends.reported_state(member, group) is None:
                orders.extend(self._throttle(self._join(group, member), now_s))
        return orders

    def _step_opening(self, group: Group, now_s: float) -> list[Order]:
        if self._close_if_incomplete(group, now_s):
            return self._step_closing(group, now_s)
        state = self.head_ends.reported_state(group.head, group)
        if state is fleet_module.GroupState.OPEN:
            self._set_phase(group, Phase.OPEN, now_s)
            return []
        order = Order(
            op=orders_module.Op.OPEN,
            backend=group.head,
            address=group.head_address,
            group=group.name,
            epoch=group.epoch,
        )
        return self._throttle(order, now_s)

    def _step_open(self, group: Group, now_s: float) -> list[Order]:
        state = self.head_ends.reported_state(group.head, group)
        if state is fleet_module.GroupState.BROKEN:
            self._remove_group(
                group, "the head reports the group as broken", now_s
            )
            return []
        if self._close_if_incomplete(group, now_s):
            return self._step_closing(group, now_s)
        if state is fleet_module.GroupState.READY:
            self._set_phase(group, Phase.OPENING, now_s)
        return []

    def _step_closing(self, group: Group, now_s: float) -> list[Order]:
        assert self.engine is not None
        self.head_ends.observe(group, now_s)
        if self.head_ends.has_ended(group, self.engine.form_s, now_s):
            self._remove_group(group, group.reason, now_s)
            return []
        orders = self._release_members(group, now_s)
        head = self.fleet.backends.get(group.head)
        evidence = self.evidence_of(group.head)
        if head is None or evidence.refused:
            return orders
        heard_s = max(head.announced_s, evidence.reached_s)
        if now_s - heard_s > ORDER_SILENT_S:
            return orders
        state = self.head_ends.reported_state(group.head, group)
        finishing = group.finish_work and state in group_module.SERVING_STATES
        order = Order(
            # After a mere close, a delayed order to open could make the head
            # open again.
            op=orders_module.Op.CLOSE if finishing else orders_module.Op.LEAVE,
            backend=group.head,
            address=group.head_address,
            group=group.name,
            epoch=group.epoch,
            finish_work=finishing,
        )
        return orders + self._throttle(order, now_s)

    def _release_members(self, group: Group, now_s: float) -> list[Order]:
        """Order the members of an unresponsive head to leave their group.

        A head that lacks a member stalls and then breaks, even if it is
        unreachable.
        """
        if not self._may_release_members(group, now_s):
            return []
        orders: list[Order] = []
        for member in group.members[1:]:
            backend = self.fleet.backends.get(member)
            if (
                backend is not None
                and self.head_ends.reported_state(member, group) is not None
                and self._is_usable(backend, now_s)
            ):
                leave = self._leave(group, backend)
                orders.extend(self._throttle(leave, now_s))
        return orders

    def _may_release_members(self, group: Group, now_s: float) -> bool:
        """Return whether the head has had enough time to end the group."""
        evidence = self.evidence_of(group.head)
        # A leaving head refuses connections while it finishes its requests.
        is_silent = evidence.silent_s is not None and not evidence.refused
        if is_silent and not evidence.serves(now_s):
            return True
        limit_s = FINISH_WORK_TIMEOUT_S if group.finish_work else RESEND_S
        return now_s - group.since_s >= limit_s

    def _close_if_incomplete(self, group: Group, now_s: float) -> bool:
        draining = [
            member
            for member in group.members
            if (backend := self.fleet.backends.get(member)) is not None
            and backend.announcement.state is fleet_module.BackendState.DRAINING
        ]
        missing = [
            member
            for member in group.members
            if member not in draining and self._is_lost(member, group, now_s)
        ]
        if not draining and not missing:
            return False
        group.finish_work = not missing
        group.reason = f"lost {missing}, draining {draining}"
        self._set_phase(group, Phase.CLOSING, now_s)
        return True

    def _is_lost(
        self, member: ids.BackendId, group: Group, now_s: float
    ) -> bool:
        """Return whether an open group has lost a member."""
        if member == group_module.UNKNOWN_MEMBER:
            suspected = (
                self.evidence_of(group.head).suspected_s
                > now_s - group_module.LEASE_S
            )
            return (
                suspected
                or now_s - group.since_s > adoption_module.ADOPT_TIMEOUT_S
            )
        backend = self.fleet.backends.get(member)
        if backend is None:
            return True
        evidence = self.evidence_of(member)
        if evidence.refused:
            return True
        report = backend.announcement.group
        if report is None or report.epoch != group.epoch:
            return True
        # Gateways may still reach a group that the leader cannot reach.
        if self.evidence_of(group.head).serves(now_s):
            return False
        heard_s = max(backend.announced_s, evidence.reached_s)
        if evidence.silent_s is not None and heard_s < evidence.silent_s:
            return True
        return now_s - heard_s > LOST_S

    def _unusable_members(
        self, group: Group, now_s: float
    ) -> list[ids.BackendId]:
        return [
            member
            for member in group.members
            if not self._is_usable(self.fleet.backends.get(member), now_s)
        ]

    def _is_usable(
        self, backend: fleet_module.Backend | None, now_s: float
    ) -> bool:
        if backend is None:
            return False
        return self.evidence_of(backend.announcement.backend).is_usable(
            backend, now_s
        )

    # New groups.

    def survey(self, now_s: float) -> service_survey.Survey:
        """Return a summary of the VMs and groups as they are now."""
        assert self.engine is not None
        return service_survey.Survey(
            self.engine,
            self.fleet.of_service(self.service),
            self.groups.values(),
            lambda backend: self._is_usable(backend, now_s),
            self.adoption,
            self.confirmations,
            self.capacity,
            self.in_flight,
            self.evacuation,
            self.room.reserved(),
        )

    def _form(self, survey: service_survey.Survey, now_s: float) -> list[Order]:
        """Form groups from VMs that have the weights in memory."""
        orders: list[Order] = []
        while formed := self._next_group(survey, now_s):
            orders.extend(self._step_forming(formed, now_s))
        return orders

    def _next_group(
        self, survey: service_survey.Survey, now_s: float
    ) -> Group | None:
        """Start the most needed group for which enough VMs are idle."""
        assert self.engine is not None
        self._update_short_models(survey, now_s)
        found = self.room.next_hosts(survey) or formation.choose(
            self.engine,
            survey.idle,
            survey.group_counts,
            self._plan(survey).groups,
            self.short_models,
            self._ample_models(survey),
        )
        if found is None:
            return None
        formed = self._begin(survey, *found, Phase.FORMING, now_s)
        self.room.on_formed(formed)
        return formed

    def _plan(self, survey: service_survey.Survey) -> layout.Plan:
        """Return the layout for the usable VMs, computing it on a change."""
        assert self.engine is not None
        known = self._layout
        if known is None or not known.matches(
            survey.domains, self.engine.models
        ):
            spares = self.settings.spares
            known = layout.Plan(survey.domains, self.engine.models, spares)
            self._layout = known
        return known

    def _update_short_models(
        self, survey: service_survey.Survey, now_s: float
    ) -> None:
        """Update the set of models whose groups lack capacity."""
        nearly_full = survey.nearly_full(formation.SHORT_LOAD_FRACTION)
        self.nearly_full_since_s = {
            name: self.nearly_full_since_s.get(name, now_s)
            for name in nearly_full
        }
        self.short_models = {
            name
            for name, since_s in self.nearly_full_since_s.items()
            if now_s - since_s >= formation.SHORT_AFTER_S
            or not survey.group_counts[name]
            or name in survey.moving_models
        }

    def _ample_models(self, survey: service_survey.Survey) -> set[str]:
        """Return the models that use only part of their groups' capacity."""
        loaded = survey.nearly_full(formation.AMPLE_LOAD_FRACTION)
        return {
            name
            for name in survey.capacity
            if survey.capacity[name] and name not in loaded
        }

    def _spans_domains(self, group: Group) -> bool:
        return formation.spans_domains(
            backend.announcement.domain
            for backend in self._known_members(group)
        )

    def _known_members(self, group: Group) -> list[fleet_module.Backend]:
        """Return the members that have announced themselves."""
        return [
            backend
            for member in group.members
            if (backend := self.fleet.backends.get(member)) is not None
        ]

    def _begin(
        self,
        survey: service_survey.Survey,
        model: catalog_module.Model,
        hosts: list[fleet_module.Backend],
        phase: Phase,
        now_s: float,
    ) -> Group:
        self.counter += 1
        epoch = ids.Epoch(
            (self.term << adoption_module.TERM_SHIFT) + self.counter
        )
        suffix = adoption_module.SPARE_SUFFIX if phase is Phase.WARMING else ""
        group = Group(
            name=f"{self.service}-{epoch}{suffix}",
            epoch=epoch,
            model=model.name,
            members=tuple(host.announcement.backend for host in hosts),
            head_address=hosts[0].announcement.address,
            phase=phase,
            since_s=now_s,
            lifetimes=adoption_module.lifetimes_of(hosts),
        )
        self.groups[group.name] = group
        survey.add(group, hosts, self.capacity(group))
        logs.info(
            _log,
            "group_formed",
            group=group.name,
            model=group.model,
            phase=phase.value,
            members=",".join(group.members),
            engines=",".join(host.last_model for host in hosts),
            oldest_report_s=round(
                max(now_s - host.announced_s for host in hosts), 3
            ),
        )
        return group

    def _warm(self, survey: service_survey.Survey, now_s: float) -> list[Order]:
        """Make spares load their staged weights into their engines.

        Their memory then has room for another model's weights, and they can
        join a group of the first model without a delay. A VM whose group has
        ended joins one of its own for the model that its engine still holds: a
        new leader would not know that the former head has ended.
        """
        orders: list[Order] = []
        for backend in list(survey.idle):
            model = self._find_model(formation.primary_model(backend))
            if model is not None and not adoption_module.is_spare(backend):
                warming = self._begin(
                    survey, model, [backend], Phase.WARMING, now_s
                )
                orders.extend(self._step_warming(warming, now_s))
        return orders

    # Closing groups to use their VMs elsewhere.

    def _close_slow_groups(
        self, survey: service_survey.Survey, now_s: float
    ) -> None:
        """Close groups across domains that can be replaced within a domain.

        Another group of the model serves until the new one is open.
        """
        nearly_full = survey.nearly_full(formation.SHORT_LOAD_FRACTION)
        for group in self.serving():
            model = self._find_model(group.model)
            if (
                model is not None
                and group.model not in nearly_full
                and self._spans_domains(group)
                and self._other_open_groups(group)
                and formation.can_complete(
                    model, self._known_members(group), survey.idle
                )
            ):
                group.finish_work = True
                group.reason = "a group within one domain replaces it"
                self._set_phase(group, Phase.CLOSING, now_s)

    def _other_open_groups(self, group: Group) -> list[Group]:
        """Return the other open groups of the group's model."""
        return [
            other
            for other in self.serving()
            if other.model == group.model and other is not group
        ]

    def _change_room(self, survey: service_survey.Survey, now_s: float) -> None:
        """Close groups whose VMs are worth more to callers of another model."""
        assert self.engine is not None
        inputs = room.Inputs(
            now_s=now_s,
            engine=self.engine,
            survey=survey,
            serving=self.serving(),
            known_members=self._known_members,
            capacity=self.capacity,
            in_flight=self.in_flight,
            demand=self.demand,
        )
        for change in self.room.plan(inputs):
            for name in change.donors:
                donor = self.groups[name]
                donor.finish_work = True
                donor.reason = f"its VMs are needed for {change.target}"
                self._set_phase(donor, Phase.CLOSING, now_s)

    # Weights.

    def _stage(
        self, survey: service_survey.Survey, now_s: float
    ) -> list[Order]:
        """Return orders to load weights where they will be needed."""
        assert self.engine is not None
        idle = list(survey.idle)
        settled = {each.announcement.backend for each in idle}
        for group in self.serving():
            settled.update(group.members)
        inputs = weights.LoadInputs(
            now_s=now_s,
            usable=survey.usable,
            idle=idle,
            plan=self._plan(survey).staging,
            settled=frozenset(settled),
            short_models=self.short_models,
            has_traffic=self.has_traffic,
        )
        return [
            Order(
                op=orders_module.Op.STAGE,
                backend=backend.announcement.backend,
                address=backend.announcement.address,
                model=name,
            )
            for backend, name in self.load_planner.plan_loads(
                self.engine, inputs
            )
        ]

    # Helpers.

    def _join(self, group: Group, member: ids.BackendId) -> Order:
        announcement = self.fleet.backends[member].announcement
        return Order(
            op=orders_module.Op.JOIN,
            backend=member,
            address=announcement.address,
            model=group.model,
            group=group.name,
            epoch=group.epoch,
            members=group.members,
            expected_orders=self.confirmations.expected_orders(announcement),
        )

    def _leave(self, group: Group, backend: fleet_module.Backend) -> Order:
        return Order(
            op=orders_module.Op.LEAVE,
            backend=backend.announcement.backend,
            address=backend.announcement.address,
            group=group.name,
            epoch=group.epoch,
        )

    def _find_model(self, name: str) -> catalog_module.Model | None:
        return self.engine.find_model(name) if self.engine else None

    def _set_phase(self, group: Group, phase: Phase, now_s: float) -> None:
        logs.info(
            _log,
            f"group_{phase.value}",
            group=group.name,
            model=group.model,
            before=group.phase.value,
            after_s=round(now_s - group.since_s, 3),
            reason=group.reason,
        )
        group.phase = phase
        group.since_s = now_s

    def _remove_group(self, group: Group, reason: str, now_s: float) -> None:
        logs.info(_log, "group_ended", group=group.name, reason=reason)
        del self.groups[group.name]
        self.adoption.ended_s[group.name] = now_s

    def _forget_stale(self, now_s: float) -> None:
        self.sent_s = {
            order: sent_s
            for order, sent_s in self.sent_s.items()
            if now_s - sent_s < RESEND_S
        }
        known = set(self.fleet.backends)
        known.update(m for g in self.groups.values() for m in g.members)
        known.update(head.backend for head in self.adoption.heads.values())
        if len(self.evidence) > len(known):
            self.evidence = {
                lifetime: evidence
                for lifetime, evidence in self.evidence.items()
                if lifetime.backend in known
                and not self.fleet.has_ended(lifetime)
            }
        self.load_planner.trim(known)
        self.confirmations.trim(self.fleet.backends)
        epochs = {group.epoch for group in self.groups.values()}
        self.head_ends.orders.trim(epochs, now_s)


_STEPS: dict[
    Phase,
    collections.abc.Callable[[GroupManager, Group, float], list[Order]],
] = {
    Phase.WARMING: GroupManager._step_warming,
    Phase.FORMING: GroupManager._step_forming,
    Phase.OPENING: GroupManager._step_opening,
    Phase.OPEN: GroupManager._step_open,
    Phase.CLOSING: GroupManager._step_closing,
}
