"""Formation and repair of model groups.

Answers the loss, return, arrival and departure of VMs. The keeper compares
what members report with what it wants and says which orders are due; it does
no input or output. A VM takes a new group only once the head of its former
group no longer serves: the head says so, or it is known to have ended.
"""

import collections
import collections.abc

import msgspec

from flamingocleat import ids
from flamingocleat.process import logs
from flamingocleat.version import adoption as adoption_module
from flamingocleat.version import catalog as catalog_module
from flamingocleat.version import fleet as fleet_module
from flamingocleat.version import formation
from flamingocleat.version import group as group_module
from flamingocleat.version import layout
from flamingocleat.version import orders as orders_module
from flamingocleat.version import survey as survey_module
from flamingocleat.version import weights

_log = logs.logger("groups")

RESEND_S = 0.4
"""An order that showed no effect is sent again after this time; a report
follows an effect within some 10 ms."""
LATE_S = 1.7
"""Age of an announcement from which a member is checked; they come each
1.2 s."""
LOST_S = 6.0
"""A VM silent for this long, without other evidence, counts as lost."""
WORK_S = 10.0
"""Longest time that a member that leaves stays for the work of its head."""
DARK_S = 8.0
"""Added to the stall time before a head that nobody reaches counts as ended.
It may be open behind a partition, or finish work after it stopped listening."""
STALL_MARGIN_S = 0.3
"""Added to the stall time of a head whose members have left, for the delay of
their reports and of its own timer."""
CONVERT_S = 2.0
"""How long a model is short before another gives a group up for it; the
group's requests end first, which takes as long."""
SPARE_PART = 0.6
"""A model gives a group up if the others then have at most this part of their
places taken."""
MIN_PACE = 0.01
"""The least pace that is reckoned with; a configuration may name zero."""
MAX_DONORS = 3
"""Groups that give way together, at most; each ends its requests first."""
FORMING_S = 6.0
"""Added to twice the load time before a formation is given up."""

Group = group_module.Group
Order = orders_module.Order
Phase = group_module.Phase


class KeeperSettings(msgspec.Struct, frozen=True):
    """What the keeper is told of the deployment."""

    stall_s: float = 4.0
    """Time until a head that lost a member says that it is broken."""
    spares: int = 1
    """VMs of a fabric domain that stay out of groups, where possible."""


class Keeper:
    """Groups of one service; belongs to one leadership."""

    def __init__(
        self,
        settings: KeeperSettings,
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
        self.adoption = adoption_module.Adoption(term)
        self.evidence: dict[ids.BackendId, group_module.Evidence] = {}
        self.sent_s: dict[Order, float] = {}
        self.weights = weights.Weights()
        self.filled_s: dict[str, float] = {}
        """Since when the groups of a model have few places left."""
        self.short: set[str] = set()
        """Models whose groups lack places for their requests."""
        self.in_flight: collections.abc.Mapping[ids.BackendId, int] = {}
        """Requests in hand at each head, of all gateways."""
        self.census: collections.Counter[survey_module.Use] = (
            collections.Counter()
        )
        """VMs by what they are used for, as of the last review."""
        self.has_traffic = False
        """Loads are limited once requests have come."""
        self._layout: layout.Plan | None = None

    # What others learn.

    def serving(self) -> list[Group]:
        """Return the groups that may be sent requests."""
        return [
            group for group in self.groups.values() if group.phase is Phase.OPEN
        ]

    def places(self, group: Group) -> int:
        """Return how many requests a group should have in hand."""
        assert self.engine is not None
        return formation.places(self.engine, spans=self._spans_domains(group))

    def pace(self, group: Group) -> float:
        """Return the factor on the engine's times for a group."""
        assert self.engine is not None
        model = self._model(group.model)
        factor = max(model.pace, MIN_PACE) if model else 1.0
        if self._spans_domains(group):
            factor *= self.engine.cross_domain_factor
        return factor

    def read_per_s(self, group: Group) -> float:
        """Return how many prompt tokens a group reads in a second."""
        assert self.engine is not None
        return self.engine.read_per_s / self.pace(group)

    def doubtful(self, now_s: float) -> list[fleet_module.Backend]:
        """Return members whose reachability the leader should check."""
        found = []
        for group in self.groups.values():
            suspected = not self.note(group.head).serves(now_s)
            for member in group.members:
                backend = self.fleet.backends.get(member)
                if backend is None:
                    continue
                late = now_s - backend.heard_s > LATE_S
                recent = (
                    self.note(group.head).suspect_s
                    > now_s - group_module.LEASE_S
                )
                if late or (suspected and recent):
                    found.append(backend)
        return found

    def note(self, backend: ids.BackendId) -> group_module.Evidence:
        """Return the evidence on a VM, for the caller to update."""
        return self.evidence.setdefault(backend, group_module.Evidence())

    # What is due.

    def step(self, now_s: float) -> list[Order]:
        """Return the orders that are due."""
        if self.engine is None:
            return []
        self.adopt(now_s)
        orders: list[Order] = []
        for group in list(self.groups.values()):
            orders.extend(_STEPS[group.phase](self, group, now_s))
        survey = self._survey(now_s)
        self.census = survey.census()
        orders.extend(self._form(survey, now_s))
        self._replace_slow(survey, now_s)
        self._convert(survey, now_s)
        orders.extend(self._warm(survey, now_s))
        orders.extend(self._stage(survey, now_s))
        self._trim(now_s)
        return orders

    def reject(self, order: Order, now_s: float) -> None:
        """Give up a formation that a member has refused."""
        group = self.groups.get(order.group)
        is_joining = group and group.phase in group_module.JOINING
        if group and is_joining and order.op is orders_module.Op.JOIN:
            self._end(group, f"{order.backend} refused to join", now_s)

    def _due(self, order: Order, now_s: float) -> list[Order]:
        sent_s = self.sent_s.get(order)
        if sent_s is not None and now_s - sent_s < RESEND_S:
            return []
        self.sent_s[order] = now_s
        return [order]

    # Groups found in reports.

    def adopt(self, now_s: float) -> None:
        """Take over groups that an earlier leader has formed."""
        if self.engine is None:
            return
        found: dict[tuple[str, ids.Epoch], adoption_module.Ranks] = {}
        for backend in self.fleet.of_service(self.service):
            report = backend.said.group
            if report is not None:
                key = (report.name, report.epoch)
                found.setdefault(key, {})[report.rank] = backend
        for (name, epoch), ranks in found.items():
            known = self.groups.get(name)
            if known is not None:
                is_partial = group_module.UNHEARD in known.members
                if known.epoch == epoch and is_partial:
                    adoption_module.complete(known, ranks)
                continue
            said = adoption_module.Said(name, epoch, ranks)
            adopted = self._adopt(said, now_s)
            if adopted is not None:
                self.groups[name] = adopted
        self.adoption.trim({name for name, _ in found}, now_s)

    def _adopt(self, said: adoption_module.Said, now_s: float) -> Group | None:
        assert self.engine is not None
        if 0 in said.ranks:
            return self.adoption.find(said, self.engine, now_s)
        if not self.adoption.is_orphaned(said, now_s):
            return None
        head = self.adoption.heads.get(said.name, group_module.UNHEARD)
        if self.note(head).serves(now_s):
            return None
        return self.adoption.dissolve(said, self.engine, now_s)

    # One step for each phase.

    def _step_warming(self, group: Group, now_s: float) -> list[Order]:
        backend = self.fleet.backends.get(group.head)
        model = self._model(group.model)
        if backend is None or model is None or self._missing(group, now_s):
            self._end(group, "the spare is lost", now_s)
            return []
        state = self._report(group.head, group)
        if state is fleet_module.GroupState.JOINING:
            return []
        if state is None and backend.last_model == group.model:
            self._end(group, "the spare is warm", now_s)
            return []
        if now_s - group.since_s > 2 * model.load_s + FORMING_S:
            self._end(group, "took too long to warm", now_s)
            return []
        if state is None:
            return self._due(self._join(group, group.head), now_s)
        return self._due(self._leave(group, backend), now_s)

    def _step_forming(self, group: Group, now_s: float) -> list[Order]:
        missing = self._missing(group, now_s)
        model = self._model(group.model)
        if missing or model is None:
            self._end(group, f"lost {missing} while forming", now_s)
            return []
        if now_s - group.since_s > 2 * model.load_s + FORMING_S:
            self._end(group, "took too long to form", now_s)
            return []
        waiting = [
            member
            for member in group.members
            if self._report(member, group) is not fleet_module.GroupState.READY
        ]
        if not waiting:
            self._enter(group, Phase.OPENING, now_s)
            return self._step_opening(group, now_s)
        orders: list[Order] = []
        for member in waiting:
            if self._report(member, group) is None:
                orders.extend(self._due(self._join(group, member), now_s))
        return orders

    def _step_opening(self, group: Group, now_s: float) -> list[Order]:
        if self._close_if_incomplete(group, now_s):
            return self._step_closing(group, now_s)
        state = self._report(group.head, group)
        if state is fleet_module.GroupState.OPEN:
            self._enter(group, Phase.OPEN, now_s)
            return []
        order = Order(
            op=orders_module.Op.OPEN,
            backend=group.head,
            address=group.head_address,
            group=group.name,
            epoch=group.epoch,
        )
        return self._due(order, now_s)

    def _step_open(self, group: Group, now_s: float) -> list[Order]:
        state = self._report(group.head, group)
        if state is fleet_module.GroupState.BROKEN:
            self._end(group, "head reports it broken", now_s)
            return []
        if self._close_if_incomplete(group, now_s):
            return self._step_closing(group, now_s)
        if state is fleet_module.GroupState.READY:
            self._enter(group, Phase.OPENING, now_s)
        return []

    def _step_closing(self, group: Group, now_s: float) -> list[Order]:
        head = self.fleet.backends.get(group.head)
        self._note_absent(group, now_s)
        if self._has_ended(group, head, now_s):
            self._end(group, group.reason, now_s)
            return []
        orders = self._dismiss(group, now_s)
        if head is None or self.note(group.head).refused:
            return orders
        state = self._report(group.head, group)
        finishing = group.finish_work and state in group_module.SERVING
        order = Order(
            # A head that only closed could open again by an order to open
            # that is carried out late.
            op=orders_module.Op.CLOSE if finishing else orders_module.Op.LEAVE,
            backend=group.head,
            address=group.head_address,
            group=group.name,
            epoch=group.epoch,
            finish_work=finishing,
        )
        return orders + self._due(order, now_s)

    def _note_absent(self, group: Group, now_s: float) -> None:
        """Note since when a member is out of the group."""
        absent = [
            member
            for member in group.members[1:]
            if member in self.fleet.superseded
            or (
                member in self.fleet.backends
                and self._report(member, group) is None
            )
        ]
        if not absent:
            group.left_s = None
        elif group.left_s is None:
            group.left_s = now_s
            logs.info(
                _log,
                "head_stalls",
                group=group.name,
                absent=",".join(absent),
                closing_s=round(now_s - group.since_s, 3),
            )

    def _dismiss(self, group: Group, now_s: float) -> list[Order]:
        """Have the members of a head that does not obey leave their group.

        A head that lacks a member stalls and then breaks, also where nobody
        reaches it.
        """
        if not self._may_dismiss(group, now_s):
            return []
        orders: list[Order] = []
        for member in group.members[1:]:
            backend = self.fleet.backends.get(member)
            if (
                backend is not None
                and self._report(member, group) is not None
                and self._is_usable(backend, now_s)
            ):
                leave = self._leave(group, backend)
                orders.extend(self._due(leave, now_s))
        return orders

    def _may_dismiss(self, group: Group, now_s: float) -> bool:
        """Return whether the head has had its time to end the group."""
        evidence = self.note(group.head)
        # A head that leaves refuses connections while it ends its work.
        is_silent = evidence.silent_s is not None and not evidence.refused
        if is_silent and not evidence.serves(now_s):
            return True
        limit_s = WORK_S if group.finish_work else RESEND_S
        return now_s - group.since_s >= limit_s

    def _has_ended(
        self,
        group: Group,
        head: fleet_module.Backend | None,
        now_s: float,
    ) -> bool:
        """Return whether the head serves no longer and never will."""
        evidence = self.note(group.head)
        if head is not None:
            report = head.said.group
            if report is None or report.epoch != group.epoch:
                return True
            if report.state is fleet_module.GroupState.BROKEN:
                return True
        if group.head in self.fleet.superseded:
            return True
        if group.left_s is not None:
            stalled_s = now_s - group.left_s
            if stalled_s > self.settings.stall_s + STALL_MARGIN_S:
                return True
        last_s = max(
            evidence.reached_s,
            head.heard_s if head else float("-inf"),
            group.since_s if head is None else float("-inf"),
        )
        return now_s - last_s > self.settings.stall_s + DARK_S

    def _close_if_incomplete(self, group: Group, now_s: float) -> bool:
        draining = [
            member
            for member in group.members
            if (backend := self.fleet.backends.get(member)) is not None
            and backend.said.state is fleet_module.BackendState.DRAINING
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
        self._enter(group, Phase.CLOSING, now_s)
        return True

    def _is_lost(
        self, member: ids.BackendId, group: Group, now_s: float
    ) -> bool:
        """Return whether an open group has lost a member."""
        if member == group_module.UNHEARD:
            suspected = (
                self.note(group.head).suspect_s > now_s - group_module.LEASE_S
            )
            return suspected or now_s - group.since_s > adoption_module.ADOPT_S
        backend = self.fleet.backends.get(member)
        if backend is None:
            return True
        evidence = self.note(member)
        if evidence.refused:
            return True
        report = backend.said.group
        if report is None or report.epoch != group.epoch:
            return True
        # A group that control cannot reach may still be reached by gateways.
        if self.note(group.head).serves(now_s):
            return False
        heard_s = max(backend.heard_s, evidence.reached_s)
        if evidence.silent_s is not None and heard_s < evidence.silent_s:
            return True
        return now_s - heard_s > LOST_S

    def _missing(self, group: Group, now_s: float) -> list[ids.BackendId]:
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
        return self.note(backend.said.backend).is_usable(backend, now_s)

    # New groups.

    def _survey(self, now_s: float) -> survey_module.Survey:
        assert self.engine is not None
        return survey_module.Survey(
            self.engine,
            self.fleet.of_service(self.service),
            self.groups.values(),
            lambda backend: self._is_usable(backend, now_s),
            self.adoption,
            self.places,
            self.in_flight,
        )

    def _form(self, survey: survey_module.Survey, now_s: float) -> list[Order]:
        """Form groups of VMs that have the weights in memory."""
        orders: list[Order] = []
        while formed := self._next_group(survey, now_s):
            orders.extend(self._step_forming(formed, now_s))
        return orders

    def _next_group(
        self, survey: survey_module.Survey, now_s: float
    ) -> Group | None:
        """Begin the group that is needed most, if VMs for it are idle."""
        assert self.engine is not None
        self._note_short(survey, now_s)
        found = formation.choose(
            self.engine,
            survey.idle,
            survey.groups,
            self._plan(survey).groups,
            self.short,
        )
        if found is None:
            return None
        return self._begin(survey, *found, Phase.FORMING, now_s)

    def _plan(self, survey: survey_module.Survey) -> layout.Plan:
        """Return the layout for the VMs that there are."""
        assert self.engine is not None
        known = self._layout
        if known is None or not known.suits(survey.domains, self.engine.models):
            spares = self.settings.spares
            known = layout.Plan(survey.domains, self.engine.models, spares)
            self._layout = known
        return known

    def _note_short(self, survey: survey_module.Survey, now_s: float) -> None:
        """Note the models whose groups lack places for their requests."""
        filled = survey.filled(formation.SHORT_PART)
        self.filled_s = {
            name: self.filled_s.get(name, now_s) for name in filled
        }
        self.short = {
            name
            for name, since_s in self.filled_s.items()
            if now_s - since_s >= formation.SHORT_S or not survey.groups[name]
        }

    def _spans_domains(self, group: Group) -> bool:
        return formation.spans_domains(
            backend.said.domain for backend in self._hosts(group)
        )

    def _hosts(self, group: Group) -> list[fleet_module.Backend]:
        """Return the members that are known."""
        return [
            backend
            for member in group.members
            if (backend := self.fleet.backends.get(member)) is not None
        ]

    def _begin(
        self,
        survey: survey_module.Survey,
        model: catalog_module.Model,
        hosts: list[fleet_module.Backend],
        phase: Phase,
        now_s: float,
    ) -> Group:
        self.counter += 1
        epoch = ids.Epoch(
            (self.term << adoption_module.TERM_SHIFT) + self.counter
        )
        group = Group(
            name=f"{self.service}-{epoch}",
            epoch=epoch,
            model=model.name,
            members=tuple(host.said.backend for host in hosts),
            head_address=hosts[0].said.address,
            phase=phase,
            since_s=now_s,
        )
        self.groups[group.name] = group
        survey.add(group, hosts, self.places(group))
        logs.info(
            _log,
            "group_formed",
            group=group.name,
            model=group.model,
            phase=phase.value,
            members=",".join(group.members),
            oldest_report_s=round(
                max(now_s - host.heard_s for host in hosts), 3
            ),
        )
        return group

    def _warm(self, survey: survey_module.Survey, now_s: float) -> list[Order]:
        """Have spares take their weights into their engines.

        Their memory has room for another model's weights then, and they join
        a group of the first one at once.
        """
        orders: list[Order] = []
        for backend in list(survey.idle):
            model = self._model(formation.first_model(backend))
            if model is not None and not backend.last_model:
                warming = self._begin(
                    survey, model, [backend], Phase.WARMING, now_s
                )
                orders.extend(self._step_warming(warming, now_s))
        return orders

    # Groups that give way.

    def _replace_slow(self, survey: survey_module.Survey, now_s: float) -> None:
        """Close slow groups whose VMs serve better in one domain.

        Another group of the model serves until the new one is open.
        """
        filled = survey.filled(formation.SHORT_PART)
        for group in self.serving():
            model = self._model(group.model)
            if (
                model is not None
                and group.model not in filled
                and self._spans_domains(group)
                and self._others(group)
                and formation.completes(model, self._hosts(group), survey.idle)
            ):
                group.finish_work = True
                group.reason = "a group in one domain takes its place"
                self._enter(group, Phase.CLOSING, now_s)

    def _others(self, group: Group) -> list[Group]:
        """Return the other groups of its model that serve."""
        return [
            other
            for other in self.serving()
            if other.model == group.model and other is not group
        ]

    def _convert(self, survey: survey_module.Survey, now_s: float) -> None:
        """Close groups whose VMs are needed more for another model.

        One change at a time: requests end first, and the model that takes the
        VMs may not be short any more.
        """
        assert self.engine is not None
        if any(g.gives_way for g in self.groups.values()):
            return
        for model in self.engine.models:
            since_s = self.filled_s.get(model.name, now_s)
            if now_s - since_s < CONVERT_S:
                continue
            donors = self._find_donors(model, survey)
            for donor in donors:
                donor.finish_work = donor.gives_way = True
                donor.reason = f"its VMs are needed for {model.name}"
                self._enter(donor, Phase.CLOSING, now_s)
            if donors:
                return

    def _find_donors(
        self, model: catalog_module.Model, survey: survey_module.Survey
    ) -> list[Group]:
        """Return the fewest groups that make one of a model, or none.

        Several small groups of a domain make a large one, also together with
        the members that a slow group of the model has there; with equally
        many those go that have the fewest requests.
        """
        by_domain: dict[str, tuple[list[Group], list[Group]]] = {}
        for group in self.serving():
            domains = {host.said.domain for host in self._hosts(group)}
            is_own = group.model == model.name
            if (is_own and len(domains) == 1) or (
                not is_own and group.model in self.short
            ):
                continue
            for domain in domains:
                found = by_domain.setdefault(domain, ([], []))
                found[0 if is_own else 1].append(group)
        choices = [
            choice
            for slow, others in by_domain.values()
            for choice in self._choices(slow, others)
            if self._can_give(choice, model, survey)
        ]
        return min(choices, key=len, default=[])

    def _choices(
        self, slow: list[Group], others: list[Group]
    ) -> collections.abc.Iterator[list[Group]]:
        """Yield sets of a domain's groups that could be closed together."""
        others.sort(key=lambda each: self.in_flight.get(each.head, 0))
        for count in range(min(MAX_DONORS, len(others)) + 1):
            if count:
                yield others[:count]
            if slow:
                yield [slow[0], *others[:count]]

    def _can_give(
        self,
        chosen: list[Group],
        model: catalog_module.Model,
        survey: survey_module.Survey,
    ) -> bool:
        """Return whether other models do well without some groups."""
        for name in {group.model for group in chosen} - {model.name}:
            given = sum(
                self.places(group) for group in chosen if group.model == name
            )
            left = survey.places[name] - given
            if survey.taken[name] >= SPARE_PART * left:
                return False
        hosts = [host for group in chosen for host in self._hosts(group)]
        return formation.completes(model, hosts, survey.idle, flexible=True)

    # Weights.

    def _stage(self, survey: survey_module.Survey, now_s: float) -> list[Order]:
        """Load weights where they will be needed."""
        assert self.engine is not None
        idle = list(survey.idle)
        settled = {each.said.backend for each in idle}
        for group in self.serving():
            settled.update(group.members)
        situation = weights.Situation(
            now_s=now_s,
            usable=survey.usable,
            idle=idle,
            plan=self._plan(survey).staging,
            settled=frozenset(settled),
            short=self.short,
            has_traffic=self.has_traffic,
        )
        return [
            Order(
                op=orders_module.Op.STAGE,
                backend=backend.said.backend,
                address=backend.said.address,
                model=name,
            )
            for backend, name in self.weights.step(self.engine, situation)
        ]

    # Helpers.

    def _join(self, group: Group, member: ids.BackendId) -> Order:
        return Order(
            op=orders_module.Op.JOIN,
            backend=member,
            address=self.fleet.backends[member].said.address,
            model=group.model,
            group=group.name,
            epoch=group.epoch,
            members=group.members,
        )

    def _leave(self, group: Group, backend: fleet_module.Backend) -> Order:
        return Order(
            op=orders_module.Op.LEAVE,
            backend=backend.said.backend,
            address=backend.said.address,
            group=group.name,
            epoch=group.epoch,
        )

    def _report(
        self, member: ids.BackendId, group: Group
    ) -> fleet_module.GroupState | None:
        """Return what a member says of the group, or None."""
        backend = self.fleet.backends.get(member)
        report = backend.said.group if backend else None
        if report is None or report.epoch != group.epoch:
            return None
        return report.state

    def _model(self, name: str) -> catalog_module.Model | None:
        return self.engine.find_model(name) if self.engine else None

    def _enter(self, group: Group, phase: Phase, now_s: float) -> None:
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

    def _end(self, group: Group, reason: str, now_s: float) -> None:
        logs.info(_log, "group_ended", group=group.name, reason=reason)
        del self.groups[group.name]
        self.adoption.ended_s[group.name] = now_s

    def _trim(self, now_s: float) -> None:
        self.sent_s = {
            order: sent_s
            for order, sent_s in self.sent_s.items()
            if now_s - sent_s < RESEND_S
        }
        known = set(self.fleet.backends)
        known.update(m for g in self.groups.values() for m in g.members)
        known.update(self.adoption.heads.values())
        self.evidence = {b: e for b, e in self.evidence.items() if b in known}
        self.weights.trim(known)


_STEPS: dict[
    Phase,
    collections.abc.Callable[[Keeper, Group, float], list[Order]],
] = {
    Phase.WARMING: Keeper._step_warming,
    Phase.FORMING: Keeper._step_forming,
    Phase.OPENING: Keeper._step_opening,
    Phase.OPEN: Keeper._step_open,
    Phase.CLOSING: Keeper._step_closing,
}
