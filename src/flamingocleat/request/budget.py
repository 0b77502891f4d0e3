"""Retry budget per service, shared by all gateways."""

import collections
import collections.abc
import time

import msgspec

from flamingocleat import ids

USABLE_SHARE_FRACTION = 0.6
"""Fraction of its share that a gateway uses, since a gateway that was restarted
or is being added is not yet counted."""


class BudgetSettings(msgspec.Struct, frozen=True):
    """Bound on the retries of all gateways within any window."""

    ratio: float = 0.2
    """Retries allowed per request."""
    slack: float = 20.0
    """Additional retries, for all gateways together."""
    window_s: float = 10.0


class Budget:
    """One gateway's share of the budget, per service.

    Retries and requests are both counted over a sliding window.
    """

    def __init__(
        self,
        settings: BudgetSettings,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.gateways = 1
        self.requests: dict[ids.ServiceId, collections.deque[float]] = {}
        self.retries: dict[ids.ServiceId, collections.deque[float]] = {}

    def record_request(self, service: ids.ServiceId) -> None:
        """Count a caller's request."""
        self._recent(self.requests, service).append(self.clock())

    def withdraw(self, service: ids.ServiceId) -> bool:
        """Return whether a retry is allowed; if so, count it."""
        retries = self._recent(self.retries, service)
        requests = self._recent(self.requests, service)
        share = self.settings.slack / max(1, self.gateways)
        allowed = len(requests) * self.settings.ratio + share
        if len(retries) + 1 > allowed * USABLE_SHARE_FRACTION:
            return False
        retries.append(self.clock())
        return True

    def _recent(
        self,
        times: dict[ids.ServiceId, collections.deque[float]],
        service: ids.ServiceId,
    ) -> collections.deque[float]:
        found = times.setdefault(service, collections.deque())
        oldest_s = self.clock() - self.settings.window_s
        while found and found[0] < oldest_s:
            found.popleft()
        return found
