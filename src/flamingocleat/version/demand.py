"""Callers' requests and refusals by model, added up over all gateways."""

import collections
import collections.abc
import math

import msgspec

from flamingocleat import ids
from flamingocleat import messages

ServiceModel = tuple[ids.ServiceId, str]

RATE_WINDOW_S = 1.0
"""Time constant of the rates. Bursts last 3.5 to 6 s, so that a longer one
would notice them too late."""
DEFAULT_PRIORITY = 1
"""Priority of requests from gateways that do not report it."""
FORGET_RATE_PER_S = 0.001
"""Rates below this are dropped; callers may name any model."""

Counts = tuple[int, int, int]
"""Requests, refusals, and requests that got a slot too late."""


class Rates(msgspec.Struct, frozen=True):
    """Requests of one model and priority per second."""

    requested: float = 0.0
    """Attempts of callers, including those after a refusal."""
    refused: float = 0.0
    late: float = 0.0
    """Requests that got a slot too late to be on time."""

    @property
    def unserved(self) -> float:
        """Callers per second that get no answer at all.

        A refused caller tries once more. If a fraction q of the attempts is
        refused, q / (1 + q) of the refusals are those of callers that were
        refused twice.
        """
        if not self.requested:
            return 0.0
        fraction = min(1.0, self.refused / self.requested)
        return self.refused * fraction / (1 + fraction)

    @property
    def callers(self) -> float:
        """Callers per second, without their second attempts."""
        if not self.requested:
            return 0.0
        return self.requested / (1 + min(1.0, self.refused / self.requested))


ModelRates = collections.abc.Mapping[int, Rates]
"""Rates of one model by priority."""


class _DecayingRates(msgspec.Struct):
    """Rates that decay with RATE_WINDOW_S."""

    values: tuple[float, ...] = (0.0, 0.0, 0.0)
    updated_s: float = 0.0

    def add(self, counts: Counts, now_s: float) -> None:
        self.values = tuple(
            value + count / RATE_WINDOW_S
            for value, count in zip(self.at(now_s), counts, strict=True)
        )
        self.updated_s = now_s

    def at(self, now_s: float) -> tuple[float, ...]:
        age_s = max(0.0, now_s - self.updated_s)
        factor = math.exp(-age_s / RATE_WINDOW_S)
        return tuple(value * factor for value in self.values)


class DemandTotals:
    """Requests and refusals since the totals were last taken, and their rates.

    Gateways report counts since their start, so that a lost report loses
    nothing. Counts that decrease come from a gateway that has restarted.
    """

    def __init__(self) -> None:
        self.reported: dict[
            tuple[ids.EntryId, ServiceModel], tuple[int, int]
        ] = {}
        self.reported_by_priority: dict[
            tuple[ids.EntryId, ServiceModel], dict[int, Counts]
        ] = {}
        self.requested: collections.Counter[ServiceModel] = (
            collections.Counter()
        )
        self.refused: collections.Counter[ServiceModel] = collections.Counter()
        self.recent: dict[ServiceModel, dict[int, _DecayingRates]] = {}

    def record(
        self, report: messages.GatewayReport, now_s: float = 0.0
    ) -> None:
        """Add what is new in a gateway's report.

        The first report of a gateway only sets the counts to start from.
        """
        for each in report.demand:
            key = (each.service, each.model)
            known = self.reported.get((report.gateway, key))
            counts = (each.requested, each.refused)
            self.reported[report.gateway, key] = counts
            self._record_rates(report.gateway, each, now_s)
            if known is None:
                continue
            if counts < known:
                known = (0, 0)
            self.requested[key] += counts[0] - known[0]
            self.refused[key] += max(0, counts[1] - known[1])

    def _record_rates(
        self, gateway: ids.EntryId, each: messages.ModelDemand, now_s: float
    ) -> None:
        key = (each.service, each.model)
        known = self.reported_by_priority.get((gateway, key))
        latest: dict[int, Counts] = {
            item.priority: (item.requested, item.refused, item.late)
            for item in each.by_priority
        } or {DEFAULT_PRIORITY: (each.requested, each.refused, 0)}
        self.reported_by_priority[gateway, key] = latest
        if known is None:
            return
        recent = self.recent.setdefault(key, {})
        for priority, counts in latest.items():
            before = known.get(priority, (0, 0, 0))
            if counts < before:
                before = (0, 0, 0)
            new = tuple(
                max(0, count - old)
                for count, old in zip(counts, before, strict=True)
            )
            if any(new):
                recent.setdefault(priority, _DecayingRates()).add(
                    (new[0], new[1], new[2]), now_s
                )

    def take(self, service: ids.ServiceId, model: str) -> tuple[int, int]:
        """Return the requests and refusals of a model, and reset them."""
        key = (service, model)
        return self.requested.pop(key, 0), self.refused.pop(key, 0)

    def rates(
        self, service: ids.ServiceId, now_s: float
    ) -> dict[str, dict[int, Rates]]:
        """Return the present rates of a service by model and priority."""
        found: dict[str, dict[int, Rates]] = {}
        for (name, model), recent in list(self.recent.items()):
            if name != service:
                continue
            for priority, each in list(recent.items()):
                values = each.at(now_s)
                if values[0] < FORGET_RATE_PER_S:
                    del recent[priority]
                    continue
                found.setdefault(model, {})[priority] = Rates(*values)
            if not recent:
                del self.recent[name, model]
        return found
