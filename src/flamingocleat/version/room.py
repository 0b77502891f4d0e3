"""Changes that move VMs from the groups of one model to another model.

A change closes groups of a model whose callers lose little by that, and forms
groups of a model whose callers lose more at present. Its VMs are reserved for
the second model by name until the change ends, fails or is abandoned.
"""

import collections
import collections.abc
import enum
import math

import msgspec

from flamingocleat import ids
from flamingocleat.process import logs
from flamingocleat.version import catalog as catalog_module
from flamingocleat.version import demand as demand_module
from flamingocleat.version import fleet as fleet_module
from flamingocleat.version import formation
from flamingocleat.version import group as group_module
from flamingocleat.version import service_survey

_log = logs.logger("room")

PRIORITY_STEP = 2.0
"""Value of a call, relative to that of a call that is one priority step less
urgent. Operators order kinds but state no values; with 2, VMs move to less
urgent callers only where they serve more than twice as many."""
LATE_LOSS = 0.7
"""Fraction of a call's value that is lost if it gets a slot too late. Late
answers are worth 0.1 to 0.4 of those on time."""
USABLE_FRACTION = 0.85
"""Fraction of the slots that can be in use without making calls wait, as for
`formation.SHORT_LOAD_FRACTION`."""
MEASURABLE_FRACTION = 0.7
"""Fraction of a model's slots in use from which its mean duration is measured;
calls take less time in emptier groups."""
MIN_MEASURED_PER_S = 2.0
"""Served calls per second from which their mean duration is measured."""
DURATION_TIME_S = 3.0
"""Time constant of the measured mean duration."""
MAX_DURATION_FACTOR = 10.0
"""Bound on the ratio of the measured to the declared mean duration. Counts of
calls are late at the start and end of a burst."""
MIN_LOSS_PER_S = 0.5
MIN_LOSS_FRACTION = 0.01
"""Callers of a model lose something if they lose this value per second, and
this fraction of the value of all calls."""
MIN_OBSERVED_S = 0.4
"""Least time that the rates of a shortage cover; reports come every 0.2 s, and
the loss must be notable before the shortage is one."""
LOSS_GAP_S = 1.0
"""A shortage has ended once callers have lost nothing for this long."""
BURST_S = 6.0
OUTAGE_S = 8.0
"""Total length that a shortage is expected to have at its beginning. Bursts
last 3.5 to 6 s, and a lost data centre is away for 5 to 8 s. A shortage that
has lasted for longer than half of this is expected to last as long again."""
OUTAGE_FRACTION = 0.1
"""Fraction of the VMs that are lost from which a shortage is expected to end
with their return."""
MAX_HORIZON_S = 30.0
"""Upper bound on the time that a shortage is expected to last further."""
FINISH_FRACTION = 1.0
"""Multiple of the mean duration that a closing group with calls needs."""
ORDER_S = 0.5
"""Time for orders and the reports that answer them, over all steps."""
ENGINE_JOIN_S = 0.2
"""Time to join if the VM's engine holds the model already."""
MIN_NET_VALUE = 3.0
"""Least value of a change in calls of priority 0. Counts of the last second
vary by more than a change of less value gains."""
MAX_DONORS = 4
"""Maximum number of groups that one change closes: four groups of 4 VMs make up
one of 16. The last one to finish its work delays the others."""
MAX_CHANGES = 8
"""Maximum number of changes in progress. Each review starts those of greatest
value first, and their effect is part of what the next one is based on."""
MAX_REVISED = 32
"""Maximum number of changes that are estimated again after others have begun in
the same review, which bounds its time."""
MIN_GROUPS = 1
"""Groups that each model keeps. Callers of a model without any are refused
until one is formed."""
MIN_TERM_S = 4.0
"""Time from the start of a leader's term until it may close groups. Its rates
are complete after about two windows, and it knows all VMs after 1.8 s."""
CLOSE_TIMEOUT_S = 12.0
"""Maximum time until the VMs of closed groups are free: members are ordered to
leave after 10 s."""
FORMING_MARGIN_S = 6.0
"""Added to twice the join time, as for the formation of any group."""
RETRY_S = 15.0
"""Time for which a domain gets no further change between the same models after
one has failed, unless a group of the model that lacks capacity has opened."""
REVERSAL_S = 30.0
"""A change in the opposite direction within this time must also gain what the
first one has cost. Longer than a burst and the loss of a data centre take
together."""

Group = group_module.Group
Hosts = list[fleet_module.Backend]


_Places = dict[tuple[str, str], list[Group]]
"""Open groups by model and domain, the emptiest first."""


class Outcome(enum.Enum):
    """How a change ended."""

    COMPLETE = "complete"
    FAILED = "failed"
    ABANDONED = "abandoned"


class Inputs(msgspec.Struct, frozen=True, kw_only=True):
    """State of a service's VMs, groups and callers."""

    now_s: float
    engine: catalog_module.Engine
    survey: service_survey.Survey
    serving: list[Group]
    known_members: collections.abc.Callable[[Group], Hosts]
    """Returns the members of a group that have announced themselves."""
    capacity: collections.abc.Callable[[Group], int]
    """Returns how many requests a group should have in flight."""
    in_flight: collections.abc.Mapping[ids.BackendId, int]
    """Requests in flight at each head."""
    demand: collections.abc.Mapping[str, demand_module.ModelRates]
    """Rates of callers' requests by model and priority."""


class Change(msgspec.Struct, kw_only=True, eq=False):
    """A change in progress."""

    source: str
    target: str
    domains: tuple[str, ...]
    donors: tuple[str, ...]
    """Names of the groups that are closed for it."""
    reserved: dict[ids.BackendId, ids.Lifetime]
    """VMs that no other model may get."""
    began_s: float
    end_by_s: float
    """When it counts as failed."""
    slots: int
    """Slots that it is expected to add to the target."""
    gain: float
    cost: float
    """Expected value, in calls of priority 0, won and lost."""
    price: float
    """What a change back must gain in addition: the cost, and the value that
    the target's callers lost until the first group opened."""
    forming: set[str] = msgspec.field(default_factory=set)
    """Names of its groups that are not open yet."""
    opened: int = 0
    """Number of its groups that have opened."""
    failed: int = 0
    """Number of its groups that ended before they opened."""


class _Balance(msgspec.Struct):
    """What a model's callers ask for and what its groups can serve."""

    rates: demand_module.ModelRates
    loss: float
    """Value that callers lose per second at present."""
    capacity_per_s: float = 0.0
    """Calls per second that its groups can serve, with those that are being
    formed."""
    open_per_s: float = 0.0
    """The same for open groups, which alone can stand in for others."""
    open_groups: int = 0

    def value(self, capacity_per_s: float, margin: float = 1.0) -> float:
        """Return the value served per second, the most urgent calls first.

        Args:
            capacity_per_s: Calls that can be served per second.
            margin: Factor on the calls that are asked for.
        """
        total = 0.0
        for priority in sorted(self.rates):
            served = min(self.rates[priority].callers * margin, capacity_per_s)
            capacity_per_s -= served
            total += served * weight(priority)
        return total

    @property
    def margin(self) -> float:
        """Factor that adds one standard deviation to the calls asked for."""
        callers = sum(each.callers for each in self.rates.values())
        if not callers:
            return 1.0
        window_s = 2 * demand_module.RATE_WINDOW_S
        return 1 + 1 / math.sqrt(callers * window_s)


class _Option(msgspec.Struct, frozen=True):
    """A possible change."""

    change: Change
    donors: list[Group]
    score: float
    """Net value for each VM."""
    capacity_taken_per_s: float


def weight(priority: int) -> float:
    """Return the value of a call, relative to one of priority 0."""
    return PRIORITY_STEP ** -max(0, priority)


def loss_per_s(rates: demand_module.ModelRates) -> float:
    """Return the value that a model's callers lose per second, or 0."""
    loss = offered = 0.0
    for priority, each in rates.items():
        loss += weight(priority) * (each.unserved + LATE_LOSS * each.late)
        offered += weight(priority) * each.callers
    if loss < max(MIN_LOSS_PER_S, MIN_LOSS_FRACTION * offered):
        return 0.0
    return loss


def remaining_s(elapsed_s: float, *, is_outage: bool) -> float:
    """Return how long a shortage is expected to last further.

    Args:
        elapsed_s: Time since it began.
        is_outage: Whether many VMs are lost.
    """
    total_s = OUTAGE_S if is_outage else BURST_S
    return min(MAX_HORIZON_S, max(total_s - elapsed_s, elapsed_s))


def observed_fraction(elapsed_s: float) -> float:
    """Return which part of a loss is in the rates since it began."""
    seen_s = max(MIN_OBSERVED_S, elapsed_s)
    return 1 - math.exp(-seen_s / demand_module.RATE_WINDOW_S)


def declared_duration_s(
    engine: catalog_module.Engine, model: catalog_module.Model
) -> float:
    """Return the mean duration of a call in a full group of the model."""
    step_ms = engine.step_ms + engine.sequence_ms * engine.slots
    read_s = engine.mean_prompt_tokens / engine.read_per_s * engine.slots
    written_s = engine.mean_answer_tokens * step_ms / 1000
    return max(0.05, max(model.pace, 0.01) * (read_s + written_s))


class Room:
    """Changes of one service during one leader's term."""

    def __init__(self) -> None:
        self.changes: list[Change] = []
        """Changes in progress."""
        self.outcomes: collections.Counter[Outcome] = collections.Counter()
        self.losses: dict[str, float] = {}
        """Value lost per second by model, as of the last review; only models
        whose callers lose something."""
        self._began_s: float | None = None
        self._reviewed_s = float("-inf")
        self._durations_s: dict[str, float] = {}
        self._lost_s: dict[str, tuple[float, float]] = {}
        """When each shortage began, and when it was last observed."""
        self._blocked: dict[tuple[str, str, str], float] = {}
        """Time until which no change between two models may use a domain."""
        self._ended: list[tuple[float, Change]] = []

    def reserved(self) -> set[ids.BackendId]:
        """Return the VMs that are reserved for changes."""
        return {vm for change in self.changes for vm in change.reserved}

    def next_hosts(
        self, survey: service_survey.Survey
    ) -> tuple[catalog_module.Model, Hosts] | None:
        """Return the model and VMs of a group that a change can form now."""
        for change in self.changes:
            model = survey.engine.find_model(change.target)
            if model is None:
                continue
            by_domain: dict[str, Hosts] = {}
            for host in survey.reserved:
                if host.announcement.backend in change.reserved and (
                    model.name in formation.held_models(host)
                ):
                    found = by_domain.setdefault(host.announcement.domain, [])
                    found.append(host)
            for hosts in by_domain.values():
                if len(hosts) >= model.size:
                    hosts.sort(key=lambda host: host.last_model != model.name)
                    return model, hosts[: model.size]
        return None

    def on_formed(self, group: Group) -> None:
        """Note a group that was formed from VMs of a change."""
        for change in self.changes:
            if group.model == change.target and all(
                member in change.reserved for member in group.members
            ):
                change.forming.add(group.name)

    def review(
        self,
        groups: collections.abc.Mapping[str, Group],
        fleet: fleet_module.Fleet,
        engine: catalog_module.Engine,
        now_s: float,
    ) -> None:
        """Follow the changes in progress and end those that are over."""
        if self._began_s is None:
            self._began_s = now_s
        for change in list(self.changes):
            self._drop_lost(change, fleet)
            self._follow_groups(change, groups)
            outcome = self._outcome(change, groups, fleet, engine, now_s)
            if outcome is not None:
                self._end(change, outcome, now_s)
        self._ended = [e for e in self._ended if now_s - e[0] < REVERSAL_S]
        self._blocked = {k: s for k, s in self._blocked.items() if s > now_s}

    def plan(self, inputs: Inputs) -> list[Change]:
        """Start the changes that pay and return them.

        The caller closes their donors.
        """
        balances = self._balances(inputs)
        if not self.losses or self._began_s is None:
            return []
        if inputs.now_s - self._began_s < MIN_TERM_S:
            return []
        if len(self.changes) >= MAX_CHANGES:
            return []
        places = self._places(inputs)
        options = [
            option
            for target in self.losses
            for option in self._options(target, places, balances, inputs)
        ]
        options.sort(key=lambda each: each.score, reverse=True)
        started: list[Change] = []
        # A change can only lower the value of the others, which are therefore
        # estimated again, but not sorted again.
        for estimated in options[:MAX_REVISED]:
            if len(self.changes) >= MAX_CHANGES:
                break
            option = self._revise(estimated, balances, inputs)
            if option is not None:
                self._start(option, balances, inputs)
                started.append(option.change)
        return started

    # Changes in progress.

    def _drop_lost(self, change: Change, fleet: fleet_module.Fleet) -> None:
        """Release the VMs whose lifetimes have ended."""
        for vm, lifetime in list(change.reserved.items()):
            known = fleet.backends.get(vm)
            if known is None or known.announcement.lifetime != lifetime:
                del change.reserved[vm]

    def _follow_groups(
        self, change: Change, groups: collections.abc.Mapping[str, Group]
    ) -> None:
        """Release the VMs of groups that have opened; count failed ones."""
        for name in list(change.forming):
            group = groups.get(name)
            if group is None or group.phase is group_module.Phase.CLOSING:
                change.forming.remove(name)
                change.failed += 1
            elif group.phase is group_module.Phase.OPEN:
                change.forming.remove(name)
                change.opened += 1
                for member in group.members:
                    change.reserved.pop(member, None)

    def _outcome(
        self,
        change: Change,
        groups: collections.abc.Mapping[str, Group],
        fleet: fleet_module.Fleet,
        engine: catalog_module.Engine,
        now_s: float,
    ) -> Outcome | None:
        """Return how a change has ended, or None while it is in progress."""
        model = engine.find_model(change.target)
        if change.failed or now_s > change.end_by_s or model is None:
            return Outcome.FAILED
        if change.forming:
            return None
        domains = collections.Counter(
            fleet.backends[vm].announcement.domain for vm in change.reserved
        )
        if all(count < model.size for count in domains.values()):
            return Outcome.COMPLETE if change.opened else Outcome.FAILED
        is_closing = any(name in groups for name in change.donors)
        if not is_closing and (
            change.target not in self.losses and change.source in self.losses
        ):
            return Outcome.ABANDONED
        return None

    def _end(self, change: Change, outcome: Outcome, now_s: float) -> None:
        """Release a change's VMs."""
        self.changes.remove(change)
        self.outcomes[outcome] += 1
        if change.opened:
            self._ended.append((now_s, change))
            for key in [k for k in self._blocked if k[1] == change.target]:
                del self._blocked[key]
        if outcome is Outcome.FAILED:
            for domain in change.domains:
                key = (change.source, change.target, domain)
                self._blocked[key] = now_s + RETRY_S
        logs.info(
            _log,
            "room_change_ended",
            outcome=outcome.value,
            source=change.source,
            target=change.target,
            donors=",".join(change.donors),
            opened=change.opened,
            failed=change.failed,
            expected_slots=change.slots,
            released=len(change.reserved),
            after_s=round(now_s - change.began_s, 3),
        )

    def _start(
        self,
        option: _Option,
        balances: dict[str, _Balance],
        inputs: Inputs,
    ) -> None:
        """Reserve the VMs of a change and account for its effect."""
        change = option.change
        self.changes.append(change)
        source, target = balances[change.source], balances[change.target]
        logs.info(
            _log,
            "room_change_begun",
            source=change.source,
            target=change.target,
            donors=",".join(change.donors),
            vms=",".join(change.reserved),
            expected_slots=change.slots,
            gain=round(change.gain, 2),
            cost=round(change.cost, 2),
            source_per_s=round(source.capacity_per_s, 2),
            target_per_s=round(target.capacity_per_s, 2),
            target_loss=round(target.loss, 2),
            source_loss=round(source.loss, 2),
            callers=";".join(
                f"{name}/p{priority}:{each.callers:.1f}"
                for name, balance in balances.items()
                for priority, each in sorted(balance.rates.items())
            ),
        )
        source.capacity_per_s -= option.capacity_taken_per_s
        source.open_per_s -= option.capacity_taken_per_s
        source.open_groups -= len(option.donors)
        target.capacity_per_s += self._slots_per_s(
            change.target, change.slots, inputs
        )
        inputs.survey.reserve(change.reserved)

    # Estimates.

    def _balances(self, inputs: Inputs) -> dict[str, _Balance]:
        """Return what each model is asked for and can serve.

        Groups that are forming count, and so do those that changes are
        expected to form.
        """
        now_s = inputs.now_s
        elapsed_s = min(1.0, max(0.0, now_s - self._reviewed_s))
        self._reviewed_s = now_s
        balances = {}
        self.losses = {}
        for model in inputs.engine.models:
            rates = inputs.demand.get(model.name, {})
            self._measure_duration(model, rates, inputs, elapsed_s)
            loss = loss_per_s(rates)
            if loss:
                self.losses[model.name] = loss
                since_s, seen_s = self._lost_s.get(model.name, (now_s, now_s))
                if now_s - seen_s > LOSS_GAP_S:
                    since_s = now_s
                self._lost_s[model.name] = since_s, now_s
            balances[model.name] = _Balance(rates, loss)
        for group in inputs.survey.active_groups:
            if balance := balances.get(group.model):
                per_s = self._group_per_s(group, inputs)
                balance.capacity_per_s += per_s
                if group.phase is group_module.Phase.OPEN:
                    balance.open_per_s += per_s
                    balance.open_groups += 1
        for change in self.changes:
            if balance := balances.get(change.target):
                done = change.opened + len(change.forming)
                left = max(0, change.slots - done * inputs.engine.slots)
                balance.capacity_per_s += self._slots_per_s(
                    change.target, left, inputs
                )
        return balances

    def _measure_duration(
        self,
        model: catalog_module.Model,
        rates: demand_module.ModelRates,
        inputs: Inputs,
        elapsed_s: float,
    ) -> None:
        """Update a model's mean duration from calls in flight and served."""
        in_flight = inputs.survey.in_flight[model.name]
        capacity = inputs.survey.capacity[model.name]
        served = sum(
            max(0.0, each.requested - each.refused) for each in rates.values()
        )
        if served < MIN_MEASURED_PER_S or not capacity:
            return
        if in_flight < MEASURABLE_FRACTION * capacity:
            return
        declared_s = declared_duration_s(inputs.engine, model)
        measured_s = min(
            max(in_flight / served, declared_s / MAX_DURATION_FACTOR),
            declared_s * MAX_DURATION_FACTOR,
        )
        known_s = self._durations_s.get(model.name, declared_s)
        part = 1 - math.exp(-elapsed_s / DURATION_TIME_S)
        self._durations_s[model.name] = known_s + part * (measured_s - known_s)

    def _duration_s(self, name: str, inputs: Inputs) -> float:
        model = inputs.engine.find_model(name)
        if name in self._durations_s or model is None:
            return self._durations_s.get(name, 1.0)
        return declared_duration_s(inputs.engine, model)

    def _slots_per_s(self, name: str, slots: int, inputs: Inputs) -> float:
        """Return how many calls some slots serve per second."""
        return slots * USABLE_FRACTION / self._duration_s(name, inputs)

    def _group_per_s(self, group: Group, inputs: Inputs) -> float:
        """Return how many calls a group serves per second."""
        per_s = self._slots_per_s(group.model, inputs.capacity(group), inputs)
        if formation.spans_domains(
            host.announcement.domain for host in inputs.known_members(group)
        ):
            per_s /= inputs.engine.cross_domain_factor
        return per_s

    # Options.

    def _places(self, inputs: Inputs) -> _Places:
        """Return the open groups by model and domain."""
        places: _Places = {}
        for group in inputs.serving:
            domains = {
                host.announcement.domain for host in inputs.known_members(group)
            }
            for domain in domains:
                places.setdefault((group.model, domain), []).append(group)
        for groups in places.values():
            groups.sort(key=lambda each: inputs.in_flight.get(each.head, 0))
        return places

    def _revise(
        self,
        option: _Option,
        balances: dict[str, _Balance],
        inputs: Inputs,
    ) -> _Option | None:
        """Return a change as it is after others have begun, if it pays."""
        source, target = option.change.source, option.change.target
        model = inputs.engine.find_model(target)
        closing = {name for each in self.changes for name in each.donors}
        left = balances[source].open_groups - len(option.donors)
        if model is None or left < MIN_GROUPS:
            return None
        if not closing.isdisjoint(option.change.donors):
            return None
        return self._option(model, source, option.donors, balances, inputs)

    def _options(
        self,
        target: str,
        places: _Places,
        balances: dict[str, _Balance],
        inputs: Inputs,
    ) -> collections.abc.Iterator[_Option]:
        """Yield the changes in favour of a model that pay."""
        model = inputs.engine.find_model(target)
        if model is None:
            return
        closing = {name for each in self.changes for name in each.donors}
        for (source, domain), open_groups in places.items():
            balance = balances.get(source)
            if (
                source == target
                or balance is None
                or (source, target, domain) in self._blocked
            ):
                continue
            groups = [each for each in open_groups if each.name not in closing]
            count = min(
                MAX_DONORS, balance.open_groups - MIN_GROUPS, len(groups)
            )
            for number in range(1, count + 1):
                option = self._option(
                    model, source, groups[:number], balances, inputs
                )
                if option is not None:
                    yield option

    def _option(
        self,
        model: catalog_module.Model,
        source: str,
        donors: list[Group],
        balances: dict[str, _Balance],
        inputs: Inputs,
    ) -> _Option | None:
        """Return the change that closes some groups, if it pays."""
        reserved = self._choose_vms(model, donors, inputs)
        if not reserved:
            return None
        now_s = inputs.now_s
        elapsed_s = now_s - self._lost_s[model.name][0]
        slots = len(reserved) // model.size * inputs.engine.slots
        taken_per_s = sum(self._group_per_s(each, inputs) for each in donors)
        target_balance, source_balance = balances[model.name], balances[source]
        margin = source_balance.margin
        # The margin covers random variation, which otherwise requires that
        # some slots stay free.
        before_per_s = source_balance.open_per_s / USABLE_FRACTION
        after_per_s = max(0.0, before_per_s - taken_per_s / USABLE_FRACTION)
        cost_per_s = source_balance.value(
            before_per_s, margin
        ) - source_balance.value(after_per_s, margin)
        added_per_s = self._slots_per_s(model.name, slots, inputs)
        gain_per_s = min(
            target_balance.value(target_balance.capacity_per_s + added_per_s)
            - target_balance.value(target_balance.capacity_per_s),
            target_balance.loss / observed_fraction(elapsed_s),
        )
        open_s = self._time_to_open_s(model, source, donors, reserved, inputs)
        is_outage = (
            len(inputs.survey.usable)
            < (1 - OUTAGE_FRACTION) * inputs.survey.total
        )
        shortage_s = remaining_s(elapsed_s, is_outage=is_outage)
        # VMs that return replace the donors; otherwise the source's weights
        # have to be loaded before a change back.
        back_s = 0.0
        if source_model := inputs.engine.find_model(source):
            back_s = source_model.warm_s if is_outage else source_model.load_s
        gain = gain_per_s * max(0.0, shortage_s - open_s)
        cost = cost_per_s * (max(open_s, shortage_s) + back_s)
        net = gain - cost - self._reversal_price(source, model.name)
        if net < MIN_NET_VALUE:
            return None
        change = Change(
            source=source,
            target=model.name,
            domains=tuple(
                sorted({host.announcement.domain for host in reserved})
            ),
            donors=tuple(group.name for group in donors),
            reserved={
                host.announcement.backend: host.announcement.lifetime
                for host in reserved
            },
            began_s=now_s,
            end_by_s=now_s
            + CLOSE_TIMEOUT_S
            + 2 * model.warm_s
            + FORMING_MARGIN_S,
            slots=slots,
            gain=gain,
            cost=cost,
            price=cost + gain_per_s * open_s,
        )
        return _Option(change, donors, net / len(reserved), taken_per_s)

    def _choose_vms(
        self,
        model: catalog_module.Model,
        donors: list[Group],
        inputs: Inputs,
    ) -> Hosts:
        """Return the VMs that a change would use, in whole groups.

        Only VMs that hold the model's weights count: loads take longer than
        most shortages, and are made ahead (`weights.LoadPlanner`). Idle VMs
        complete a group.
        """
        by_domain: dict[str, Hosts] = {}
        for group in donors:
            for host in inputs.known_members(group):
                if model.name in formation.held_models(host):
                    found = by_domain.setdefault(host.announcement.domain, [])
                    found.append(host)
        idle = inputs.survey.idle.eligible(model, flexible=True)
        chosen: Hosts = []
        for domain, members in by_domain.items():
            hosts = members + idle.get(domain, [])
            chosen += hosts[: len(hosts) // model.size * model.size]
        return chosen

    def _time_to_open_s(
        self,
        model: catalog_module.Model,
        source: str,
        donors: list[Group],
        reserved: Hosts,
        inputs: Inputs,
    ) -> float:
        """Return the time until the first group of a change serves."""
        is_busy = any(inputs.in_flight.get(each.head, 0) for each in donors)
        finish_s = FINISH_FRACTION * self._duration_s(source, inputs) * is_busy
        is_warm = all(host.last_model == model.name for host in reserved)
        join_s = ENGINE_JOIN_S if is_warm else model.warm_s
        return finish_s + join_s + inputs.engine.form_s + ORDER_S

    def _reversal_price(self, source: str, target: str) -> float:
        """Return what recent changes in the opposite direction have cost."""
        changes = [*self.changes, *(change for _, change in self._ended)]
        return sum(
            change.price
            for change in changes
            if (change.source, change.target) == (target, source)
        )
