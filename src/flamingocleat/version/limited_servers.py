"""Which of the listed servers are cold or limited, as the leader knows it."""

import collections.abc

import msgspec
import prometheus_client

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.process import logs
from flamingocleat.version import catalog as catalog_module
from flamingocleat.version import cold as cold_module
from flamingocleat.version import fleet as fleet_module
from flamingocleat.version import named_limits

_log = logs.logger("cold")

_LIMITED_SERVERS = prometheus_client.Gauge(
    "flamingocleat_limited_servers", "Listed servers that name a limit"
)

RETELL_FRACTION = 0.1
"""Gateways are told a new limit if it differs by more than this fraction."""

MADE_AFTER_S = 0.3
"""An announcement counts as made after a server was listed if it arrives this
much later. Announcements name no time; usually they travel for 3 ms, or 0.2 s
more after a lost packet."""
RETELL_S = 0.5
"""Gateways are told a new cold time if it differs by more than this."""
HOLD_S = (
    RETELL_S
    + cold_module.ABSENT_AFTER_S
    + cold_module.GRANT_LIFE_S
    + cold_module.WINDOW_S
)
"""Added to the cold time that gateways are told. They normally learn from a
view that a server is warm. One that has lost the leader goes by this time; the
leader has then counted what that gateway may send for long enough that no
earlier grant falls into the same second."""


class _Status(msgspec.Struct):
    """What is known of one listed server of a service with a cold rate."""

    identity: tuple[str, int]
    """Group and start of the lifetime."""
    listed_s: float
    is_confirmed: bool
    """Whether an announcement since it was listed says whether it is cold."""
    answered_until_s: float = float("-inf")
    """Until when it is cold according to its answers to gateways."""
    told_until_s: float = float("-inf")
    told_ms: int = 0


class LimitedServers:
    """Marks cold and limited servers in the list that gateways receive."""

    def __init__(self, grants: cold_module.Grants) -> None:
        self.grants = grants
        self.limits = named_limits.NamedLimits()
        self.told_limits: dict[ids.Lifetime, float] = {}
        """Limits of listed servers that gateways are told."""
        self.statuses: dict[ids.BackendId, _Status] = {}
        self.has_listed = False
        """Whether a complete list was made in this term."""

    def begin(self, now_s: float) -> None:
        """Start a leader's term."""
        self.statuses.clear()
        self.limits.clear()
        self.told_limits.clear()
        self.has_listed = False
        self.grants.begin(now_s)

    def rates_per_s(self) -> dict[ids.BackendId, float]:
        """Return the rates of cold and limited servers in the last list."""
        return {
            backend: server.rate.per_s
            for backend, server in self.grants.servers.items()
            if server.rate is not None
        }

    def record_report(
        self, report: messages.GatewayReport, now_s: float
    ) -> bool:
        """Record what a gateway's report says of cold and limited servers.

        Returns:
            Whether the list has to be marked anew.
        """
        has_changed = False
        for said in report.limits:
            if self.limits.merge(said, now_s):
                has_changed = True
        cold = report.cold_wanted
        for each in cold.servers if cold else ():
            status = self.statuses.get(each.backend)
            if each.cold_ms > 0 and status is not None:
                until_s = now_s + each.cold_ms / 1000
                status.answered_until_s = max(status.answered_until_s, until_s)
        if self.statuses or self.grants.servers:
            self.grants.record_report(report, now_s)
        return has_changed

    def mark(
        self,
        served: collections.abc.Iterable[messages.ServedBackend],
        catalog: catalog_module.Catalog | None,
        fleet: fleet_module.Fleet,
        now_s: float,
        *,
        is_complete: bool,
    ) -> tuple[messages.ServedBackend, ...]:
        """Return a list of servers with their cold times and limits.

        Args:
            served: The servers that gateways may use.
            catalog: The configuration, which names services' cold rates.
            fleet: All servers, with their latest announcements.
            now_s: Current time.
            is_complete: False while not all servers have announced themselves
                to a new leader, which cannot tell which ones are newly listed.
        """
        marked = self._mark_cold(
            tuple(served), catalog, fleet, now_s, is_complete=is_complete
        )
        marked = self._mark_limited(marked)
        self.grants.set_servers(
            self._rates(marked),
            [e.backend for e in marked if e.cold_per_s and not e.cold_ms],
            now_s,
        )
        return marked

    def _mark_cold(
        self,
        served: tuple[messages.ServedBackend, ...],
        catalog: catalog_module.Catalog | None,
        fleet: fleet_module.Fleet,
        now_s: float,
        *,
        is_complete: bool,
    ) -> tuple[messages.ServedBackend, ...]:
        rated = {
            service.name: service
            for service in (catalog.services if catalog else ())
            if service.cold_per_s > 0
        }
        if not rated:
            self.statuses.clear()
            return served
        before, self.statuses = self.statuses, {}
        marked = []
        for each in served:
            service = rated.get(each.service)
            known = fleet.backends.get(each.backend)
            if service is not None and known is not None:
                status = self._status(before.get(each.backend), each, now_s)
                self.statuses[each.backend] = status
                cold_ms = self._cold_ms(status, service, known, now_s)
                each = msgspec.structs.replace(
                    each, cold_ms=cold_ms, cold_per_s=service.cold_per_s
                )
            marked.append(each)
        self.has_listed = self.has_listed or is_complete
        return tuple(marked)

    def _mark_limited(
        self, served: tuple[messages.ServedBackend, ...]
    ) -> tuple[messages.ServedBackend, ...]:
        if not self.limits.by_lifetime and not self.told_limits:
            return served
        before, self.told_limits = self.told_limits, {}
        marked = []
        for each in served:
            lifetime = ids.Lifetime(each.backend, each.born_ms)
            told = before.get(lifetime, messages.NO_LIMIT)
            said = self.limits.find(lifetime)
            per_s = said.per_s if said is not None else messages.NO_LIMIT
            if min(told, per_s) >= 0 and (
                abs(per_s - told) <= RETELL_FRACTION * told
            ):
                per_s = told
            if per_s != messages.NO_LIMIT:
                self.told_limits[lifetime] = per_s
                each = msgspec.structs.replace(each, limit_per_s=per_s)
            if (per_s != messages.NO_LIMIT) != (told != messages.NO_LIMIT):
                logs.info(
                    _log,
                    "server_limited"
                    if per_s != messages.NO_LIMIT
                    else "server_limit_lifted",
                    backend=each.backend,
                    born=each.born_ms,
                    per_s=per_s if per_s != messages.NO_LIMIT else told,
                )
            marked.append(each)
        _LIMITED_SERVERS.set(len(self.told_limits))
        return tuple(marked)

    def _rates(
        self, marked: tuple[messages.ServedBackend, ...]
    ) -> dict[ids.BackendId, cold_module.Rate]:
        """Return the rates of all servers that have one."""
        rates: dict[ids.BackendId, cold_module.Rate] = {}
        for each in marked:
            if each.cold_ms:
                rates[each.backend] = cold_module.cold_rate(
                    each.cold_per_s, self.grants.bounds
                )
            if each.limit_per_s == messages.NO_LIMIT:
                continue
            # Gateways are told a value that changes less often.
            said = self.limits.find(ids.Lifetime(each.backend, each.born_ms))
            if said is not None:
                named = cold_module.named_rate(
                    named_limits.served_per_s(said.per_s)
                )
                cold = rates.get(each.backend)
                rates[each.backend] = (
                    cold_module.lower_rate(cold, named) if cold else named
                )
        return rates

    def _status(
        self,
        known: _Status | None,
        served: messages.ServedBackend,
        now_s: float,
    ) -> _Status:
        identity = (served.group, served.born_ms)
        if known is not None and known.identity == identity:
            return known
        # A new leader cannot tell which servers its predecessor had listed, and
        # goes by their announcements.
        status = _Status(identity, now_s, is_confirmed=not self.has_listed)
        if known is not None and known.identity[1] == served.born_ms:
            status.answered_until_s = known.answered_until_s
        return status

    def _cold_ms(
        self,
        status: _Status,
        service: catalog_module.Service,
        known: fleet_module.Backend,
        now_s: float,
    ) -> int:
        """Return the cold time that gateways are told; 0 if it is warm."""
        announced_s = known.announced_s
        until_s = max(
            announced_s + known.announcement.cold_ms / 1000,
            status.answered_until_s,
        )
        if announced_s >= status.listed_s + MADE_AFTER_S:
            status.is_confirmed = True
        if not status.is_confirmed:
            until_s = max(until_s, status.listed_s + service.cold_start_s)
            until_s = max(until_s, now_s + MADE_AFTER_S)
        was_cold = status.told_ms > 0
        if until_s <= now_s:
            status.told_ms = 0
        elif not was_cold or abs(until_s - status.told_until_s) > RETELL_S:
            status.told_until_s = until_s
            status.told_ms = round((until_s - now_s + HOLD_S) * 1000)
        if was_cold != (status.told_ms > 0):
            logs.info(
                _log,
                "server_warm" if was_cold else "server_cold",
                backend=known.announcement.backend,
                group=status.identity[0],
                announced_ms=known.announcement.cold_ms,
                told_ms=status.told_ms,
                is_confirmed=status.is_confirmed,
            )
        return status.told_ms
