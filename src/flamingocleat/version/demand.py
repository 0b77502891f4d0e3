"""Callers' requests and refusals by model, added up over all gateways."""

import collections

from flamingocleat import ids
from flamingocleat import messages

ServiceModel = tuple[ids.ServiceId, str]


class DemandTotals:
    """Requests and refusals since the totals were last taken.

    Gateways report counts since their start, so that a lost report loses
    nothing. Counts that decrease come from a gateway that has restarted.
    """

    def __init__(self) -> None:
        self.reported: dict[
            tuple[ids.EntryId, ServiceModel], tuple[int, int]
        ] = {}
        self.requested: collections.Counter[ServiceModel] = (
            collections.Counter()
        )
        self.refused: collections.Counter[ServiceModel] = collections.Counter()

    def record(self, report: messages.GatewayReport) -> None:
        """Add what is new in a gateway's report.

        The first report of a gateway only sets the counts to start from.
        """
        for each in report.demand:
            key = (each.service, each.model)
            known = self.reported.get((report.gateway, key))
            counts = (each.requested, each.refused)
            self.reported[report.gateway, key] = counts
            if known is None:
                continue
            if counts < known:
                known = (0, 0)
            self.requested[key] += counts[0] - known[0]
            self.refused[key] += max(0, counts[1] - known[1])

    def take(self, service: ids.ServiceId, model: str) -> tuple[int, int]:
        """Return the requests and refusals of a model, and reset them."""
        key = (service, model)
        return self.requested.pop(key, 0), self.refused.pop(key, 0)
