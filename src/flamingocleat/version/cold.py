"""Rates of cold and limited servers over all gateways; the leader's side.

A server that has just started tolerates only a rate of requests while it is
cold, and a server in need names a limit. The leader grants requests to
gateways so that their sum stays within the rate, and below the bound of a cold
server in every sliding second. The design is in docs/design/cold-servers.md
and docs/design/named-limits.md.
"""

import collections.abc
import math

import msgspec
import prometheus_client

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.process import logs
from flamingocleat.version import catalog as catalog_module

_log = logs.logger("cold")

WINDOW_S = 1.0
"""The bound applies to each interval of this length."""
GRANT_LIFE_S = 0.5
"""A grant expires this long after its gateway sent the report that the grant
answers. Reports and views follow each other within 0.2 s. A longer life costs
rate, since a grant counts against the bound until WINDOW_S after its end."""
MIN_USE_S = 0.05
"""A grant with less time left is not issued; it would expire on its way."""
CONTACT_S = 0.5
"""Grants end this long after a quorum last confirmed the leader. Heartbeats
confirm it every 0.1 s."""
TAKE_OVER_S = CONTACT_S + GRANT_LIFE_S + WINDOW_S
"""Time that a new leader waits. A quorum cannot confirm its predecessor after
the election, so the predecessor's last grant ends within the first two parts,
and no second has grants of both."""
BURST_S = 0.25
"""Unused rate that is kept, so that a view or report that is late by one
interval costs nothing."""
ALLOT_INTERVAL_S = 0.1
"""Interval between divisions of the rate; each one costs up to one view for
each gateway."""
ABSENT_AFTER_S = 1.0
"""A gateway without a report for this long gets no grants. Streams that are
silent for 0.9 s are dropped."""
FORGET_GATEWAY_S = 120.0
"""How long an absent gateway is taken into account; it may still send to
servers that it believes to be warm."""

UNGUIDED_FRACTION = 0.5
"""Part of its equal share of a named limit that a gateway without a leader
uses."""
NAMED_BURST_S = 0.5
MIN_NAMED_BURST = 2.0
"""Unused rate of a named limit that is kept, as time and as requests."""

_GRANTED = prometheus_client.Counter(
    "flamingocleat_cold_grants",
    "Requests to cold and limited servers that were granted",
)
_COLD_SERVERS = prometheus_client.Gauge(
    "flamingocleat_cold_servers", "Listed servers that count as cold"
)


class ColdBounds(msgspec.Struct, frozen=True):
    """How far the rate of a cold server may be exceeded in one second."""

    overshoot: float = 1.0
    slack: float = 0.0

    def per_window(self, per_s: float) -> int:
        """Return the requests that a cold server may get in any second."""
        return math.floor(per_s * self.overshoot + self.slack + 1e-9)

    def warm_share(self, per_s: float, gateways: int) -> int:
        """Return what one gateway may send in a second without grants.

        This applies to servers that count as warm. The gateways together stay
        within the bound, also if the server has turned cold unnoticed. Each
        gateway may send one request, so with more gateways than the bound
        allows requests the sum may exceed it.
        """
        return max(1, self.per_window(per_s) // max(1, gateways))


def cold_slots(engine: catalog_module.Engine, pace: float, per_s: float) -> int:
    """Return how many requests a cold group has in flight at its rate."""
    alone_s = engine.mean_prompt_tokens / max(1.0, engine.read_per_s)
    alone_s += engine.mean_answer_tokens * engine.step_ms / 1000
    # Each stream makes the steps of all others longer.
    added_s = engine.mean_answer_tokens * engine.sequence_ms / 1000
    free = 1 - per_s * pace * added_s
    if free <= 0:
        return engine.slots
    in_flight = math.ceil(per_s * pace * alone_s / free)
    return min(engine.slots, max(1, in_flight))


class Rate(msgspec.Struct, frozen=True):
    """How many requests a server gets from all gateways."""

    per_s: float
    depth: float
    """Requests of unused rate that are kept."""
    cold_per_s: float = 0.0
    """The rate that the bound of a cold server follows from; 0 if it is not
    cold, and the rate alone limits it."""


def cold_rate(per_s: float, bounds: ColdBounds) -> Rate:
    """Return the rate of a cold server."""
    depth = max(1.0, per_s * BURST_S + bounds.slack)
    return Rate(per_s, depth, cold_per_s=per_s)


def named_rate(per_s: float) -> Rate:
    """Return the rate of a server that names a limit."""
    return Rate(per_s, max(MIN_NAMED_BURST, per_s * NAMED_BURST_S))


def lower_rate(one: Rate, other: Rate) -> Rate:
    """Return the lower of two rates, with the bound of either."""
    return Rate(
        min(one.per_s, other.per_s),
        min(one.depth, other.depth),
        max(one.cold_per_s, other.cold_per_s),
    )


class _Server:
    """Account of one cold or limited server."""

    def __init__(self, rate: Rate, now_s: float) -> None:
        self.rate: Rate | None = rate
        """None if it is neither cold nor limited any more."""
        # The tokens of two leaders, or of a limit that is named again, would
        # add up; a cold server's bound is kept by its charges.
        self.tokens = rate.depth if rate.cold_per_s else 0.0
        self.updated_s = now_s
        self.charges: list[tuple[float, int]] = []
        """Grants that count against the bound: end of the charge, requests."""
        self.allotted: dict[ids.EntryId, int] = {}
        """Requests of gateways whose next views will grant them."""
        self.passes: dict[ids.EntryId, float] = {}
        """Requests given to each gateway, divided by what it asked for."""

    def refill(self, rate: Rate, fraction: float, now_s: float) -> None:
        """Add a fraction of the rate for the time since the last call."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        added = rate.per_s * fraction * elapsed_s
        self.tokens = min(rate.depth, self.tokens + added)
        self.updated_s = now_s

    def may_grant(self, is_settled: bool) -> bool:
        """Return whether a leader may grant that may not be the only one.

        A rate without a bound needs no wait, since it starts without tokens.
        """
        return self.rate is not None and (
            is_settled or not self.rate.cold_per_s
        )

    def charged(self, now_s: float) -> int:
        """Return the granted requests that later ones may meet in a second."""
        self.charges = [each for each in self.charges if each[0] >= now_s]
        return sum(requests for _, requests in self.charges)


class _Gateway:
    """What the leader knows of one gateway."""

    def __init__(self) -> None:
        self.sequence = 0
        self.received_s = float("-inf")
        self.wanted: dict[ids.BackendId, int] = {}
        """Requests that it asked for and was not given, by cold server."""
        self.gateways = 0
        """Gateways that it has heard of."""
        self.heads: frozenset[ids.BackendId] = frozenset()
        """Heads that it knows and does not treat as cold."""
        self.warm_until_s: dict[ids.BackendId, float] = {}
        """Until when what it sends without grants counts."""


class Grants:
    """Divides the rate of each cold or limited server among the gateways."""

    def __init__(
        self,
        bounds: ColdBounds,
        quorum_contact_s: collections.abc.Callable[[], float],
        notify: collections.abc.Callable[[ids.EntryId], None],
    ) -> None:
        self.bounds = bounds
        self.quorum_contact_s = quorum_contact_s
        """Returns since when a quorum may no longer follow this leader."""
        self.notify = notify
        """Causes a view to be sent to a gateway."""
        self.grants_from_s = float("inf")
        self.servers: dict[ids.BackendId, _Server] = {}
        self.gateways: dict[ids.EntryId, _Gateway] = {}
        self.warm_listed_s: dict[ids.BackendId, float] = {}
        """When a server was last listed as warm in this term."""
        self.allotted_s = float("-inf")
        self.was_withheld = False

    def begin(self, now_s: float) -> None:
        """Start a term with empty accounts."""
        self.grants_from_s = now_s + TAKE_OVER_S
        self.servers.clear()
        self.gateways.clear()
        self.warm_listed_s.clear()

    def set_servers(
        self,
        rates: collections.abc.Mapping[ids.BackendId, Rate],
        warm: collections.abc.Iterable[ids.BackendId],
        now_s: float,
    ) -> None:
        """Set the rates of cold and limited servers, and the warm ones.

        The account of a server that has no rate any more is kept until nothing
        is charged, since the server may turn cold again at once.
        """
        for backend in warm:
            self.warm_listed_s[backend] = now_s
        for backend, rate in rates.items():
            server = self.servers.get(backend)
            if server is None:
                self.servers[backend] = server = _Server(rate, now_s)
                was_cold = False
            else:
                was_cold = bool(server.rate and server.rate.cold_per_s)
            if rate.cold_per_s and not was_cold:
                self._charge_last_window(backend, now_s)
            server.rate = rate
        for backend in [each for each in self.servers if each not in rates]:
            if not self.servers[backend].charged(now_s):
                del self.servers[backend]
            else:
                self.servers[backend].allotted.clear()
                self.servers[backend].rate = None
        cold = sum(bool(rate.cold_per_s) for rate in rates.values())
        _COLD_SERVERS.set(cold)
        self.allot(now_s)

    def record_report(
        self, report: messages.GatewayReport, now_s: float
    ) -> None:
        """Record what a gateway asks for and which servers it knows."""
        gateway = self.gateways.setdefault(report.gateway, _Gateway())
        for backend, server in self.servers.items():
            if server.rate is None or server.rate.cold_per_s:
                self._charge_warm(gateway, backend, now_s)
        gateway.sequence = report.sequence
        gateway.received_s = now_s
        cold = report.cold_wanted or messages.ColdReport(gateways=0)
        gateway.wanted = {each.backend: each.wanted for each in cold.servers}
        gateway.gateways = cold.gateways
        gateway.heads = frozenset(
            head.backend
            for head in report.heads
            if head.backend not in gateway.wanted
        )
        if any(gateway.wanted.values()):
            self.allot(now_s)

    def allot(self, now_s: float) -> None:
        """Divide what the rates allow; gateways get it with their next views.

        Does nothing if the last division was less than ALLOT_INTERVAL_S ago.
        """
        if now_s - self.allotted_s < ALLOT_INTERVAL_S or not self.servers:
            return
        self.allotted_s = now_s
        self.gateways = {
            name: gateway
            for name, gateway in self.gateways.items()
            if now_s - gateway.received_s < FORGET_GATEWAY_S
        }
        has_quorum, is_settled = self._check_quorum(now_s)
        if not has_quorum:
            return
        given: set[ids.EntryId] = set()
        wanted = self._wanted(now_s)
        guided = self._guided_fraction(now_s)
        for backend, server in self.servers.items():
            if server.rate is None or not server.may_grant(is_settled):
                continue
            fraction = 1.0 if server.rate.cold_per_s else guided
            server.refill(server.rate, fraction, now_s)
            given |= self._allot_server(
                backend, server, server.rate, wanted.get(backend, {}), now_s
            )
        for name in given:
            self.notify(name)

    def take(
        self, name: ids.EntryId, now_s: float
    ) -> tuple[int, tuple[messages.ColdGrant, ...]]:
        """Return the echo and the grants of a gateway's next view."""
        self.allot(now_s)
        gateway = self.gateways.get(name)
        if gateway is None or not gateway.wanted:
            return 0, ()
        end_s = gateway.received_s + GRANT_LIFE_S
        has_quorum, is_settled = self._check_quorum(now_s)
        is_in_time = has_quorum and now_s + MIN_USE_S < end_s
        grants = []
        for backend in gateway.wanted:
            server = self.servers.get(backend)
            requests = server.allotted.pop(name, 0) if server else 0
            if server is None or not requests:
                continue
            granted = 0
            if server.rate and is_in_time and server.may_grant(is_settled):
                # The room may have shrunk since the division.
                room = self._room(backend, server.rate, now_s)
                granted = int(max(0, min(requests, room)))
            server.tokens += requests - granted
            if granted:
                if server.rate and server.rate.cold_per_s:
                    server.charges.append((end_s + WINDOW_S, granted))
                grants.append(messages.ColdGrant(backend, granted))
                _GRANTED.inc(granted)
        return gateway.sequence, tuple(grants)

    def _check_quorum(self, now_s: float) -> tuple[bool, bool]:
        """Return whether a quorum follows, and no earlier grants are left.

        Without a quorum, another leader may grant at the same time.
        """
        contact_s = self.quorum_contact_s()
        has_quorum = now_s - contact_s < CONTACT_S
        is_settled = now_s >= self.grants_from_s
        may_grant = has_quorum and is_settled
        if self.was_withheld is may_grant:
            self.was_withheld = not may_grant
            logs.info(
                _log,
                "cold_grants_resumed" if may_grant else "cold_grants_withheld",
                starts_in_s=round(max(0.0, self.grants_from_s - now_s), 3),
                contact_age_s=round(min(1e6, now_s - contact_s), 3),
            )
        return has_quorum, is_settled

    def _wanted(
        self, now_s: float
    ) -> dict[ids.BackendId, dict[ids.EntryId, int]]:
        """Return what gateways that may use a grant ask for, by server."""
        wanted: dict[ids.BackendId, dict[ids.EntryId, int]] = {}
        for name, gateway in self.gateways.items():
            if now_s - gateway.received_s >= GRANT_LIFE_S - MIN_USE_S:
                continue
            for backend, requests in gateway.wanted.items():
                if requests > 0:
                    wanted.setdefault(backend, {})[name] = requests
        return wanted

    def _allot_server(
        self,
        backend: ids.BackendId,
        server: _Server,
        rate: Rate,
        wanted: dict[ids.EntryId, int],
        now_s: float,
    ) -> set[ids.EntryId]:
        """Divide what one server may get; return who was given any."""
        for name in [each for each in server.allotted if each not in wanted]:
            server.tokens += server.allotted.pop(name)
        free = self._room(backend, rate, now_s)
        free -= sum(server.allotted.values())
        room = int(min(free, server.tokens))
        if room <= 0 or not wanted:
            return set()
        # Weighted fair sharing; gateways that ask anew start at the lowest.
        lowest = min(
            (server.passes[name] for name in wanted if name in server.passes),
            default=0.0,
        )
        passes = {
            name: max(lowest, server.passes.get(name, lowest))
            for name in wanted
        }
        weights = dict(wanted)
        given: set[ids.EntryId] = set()
        while room > 0 and wanted:
            name = min(wanted, key=lambda each: (passes[each], each))
            passes[name] += 1 / weights[name]
            server.allotted[name] = server.allotted.get(name, 0) + 1
            server.tokens -= 1
            room -= 1
            given.add(name)
            self.gateways[name].wanted[backend] -= 1
            wanted[name] -= 1
            if not wanted[name]:
                del wanted[name]
        server.passes = passes
        return given

    def _gateways(self) -> int:
        """Return how many gateways there are, as far as any has heard."""
        heard = max(
            (each.gateways for each in self.gateways.values()), default=0
        )
        return max(len(self.gateways), heard)

    def _guided_fraction(self, now_s: float) -> float:
        """Return the part of a rate that gateways without a leader leave."""
        gateways = self._gateways()
        if not gateways:
            return 1.0
        present = sum(
            now_s - each.received_s <= ABSENT_AFTER_S
            for each in self.gateways.values()
        )
        return 1 - UNGUIDED_FRACTION * (gateways - present) / gateways

    def _room(self, backend: ids.BackendId, rate: Rate, now_s: float) -> float:
        """Return how many more requests the bound of a cold server allows."""
        if not rate.cold_per_s:
            return math.inf
        bound = self.bounds.per_window(rate.cold_per_s)
        known = len(self.gateways)
        gateways = self._gateways()
        share = self.bounds.warm_share(rate.cold_per_s, gateways)
        # Gateways that have not connected yet may take the server for warm.
        unguided = share * (gateways - known)
        for gateway in self.gateways.values():
            self._charge_warm(gateway, backend, now_s)
            if gateway.warm_until_s.get(backend, float("-inf")) >= now_s:
                unguided += share
        return bound - self.servers[backend].charged(now_s) - unguided

    def _charge_last_window(self, backend: ids.BackendId, now_s: float) -> None:
        """Charge what gateways sent before they knew that a server is cold."""
        warm_s = self.warm_listed_s.get(backend, float("-inf"))
        if now_s - warm_s < ABSENT_AFTER_S + WINDOW_S:
            for gateway in self.gateways.values():
                gateway.warm_until_s[backend] = now_s + WINDOW_S

    def _charge_warm(
        self, gateway: _Gateway, backend: ids.BackendId, now_s: float
    ) -> None:
        """Charge what a gateway may send if it takes a server for warm."""
        warm_s = self.warm_listed_s.get(backend, float("-inf"))
        may_know = (
            gateway.received_s < warm_s + ABSENT_AFTER_S
            and backend not in gateway.wanted
        )
        if now_s - gateway.received_s > ABSENT_AFTER_S:
            # Without a leader it counts the cold time down by itself.
            may_know = may_know or backend in gateway.wanted
        if backend in gateway.heads or may_know:
            gateway.warm_until_s[backend] = now_s + WINDOW_S
        elif gateway.warm_until_s.get(backend, now_s) < now_s:
            del gateway.warm_until_s[backend]
