"""Rates of cold and limited servers; the gateway's side.

A gateway sends to a cold or limited server only what the leader has granted,
and to a server that counts as warm at most its share of the bound. Both are
checked when a slot is reserved and again just before the request is sent.
Without a leader, limited servers get a part of the gateway's equal share.
"""

import collections
import collections.abc
import math
import time
import typing

import prometheus_client

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.process import logs
from flamingocleat.request import eligibility
from flamingocleat.version import candidates as candidates_module
from flamingocleat.version import cold as cold_module
from flamingocleat.version import named_limits

if typing.TYPE_CHECKING:
    from flamingocleat.request import admission as admission_module

_log = logs.logger("cold")

SEND_MARGIN_S = 0.02
"""A grant that expires sooner is not reserved: the connection to the server is
opened in between."""
HORIZON_S = 0.25
"""Grants are asked for the callers expected within this time: an interval of
reports and the way to the leader and back."""
RATE_WEIGHT = 0.3
"""Weight of the latest interval in the mean rate of callers."""
REPORT_PAUSE_S = 0.05
"""Shortest time between reports that are sent without waiting for the
interval."""
GATEWAYS_MEMORY_S = 60.0
"""The highest number of gateways within this time determines the share. A new
leader counts only those that have connected to it so far."""
CONTACT_S = 1.0
"""A leader whose last view is older counts as unreachable."""
HEEDED_S = 1.0
"""Time in which the leader's list shows what its gateways have reported. Until
then a gateway heeds a limit that only it has heard."""
MAX_LOGGED_VALUE = 80
"""Bound on the characters of a header's value in the log."""
MAX_COLD_S = 600.0
"""Bound on the cold time that an answer may state."""

_SENT = prometheus_client.Counter(
    "flamingocleat_gateway_cold_sent",
    "Requests sent to cold and limited servers",
)
_HELD_BACK = prometheus_client.Counter(
    "flamingocleat_gateway_cold_held_back",
    "Requests not sent after a slot was reserved, since the grant had expired",
)


class _Account:
    """What this gateway may send to one server."""

    def __init__(self) -> None:
        self.view: messages.ServedBackend | None = None
        self.told_until_s = float("-inf")
        """Until when the server is cold according to the leader."""
        self.answered_until_s = float("-inf")
        """Until when it is cold according to its own answers."""
        self.grants: list[float] = []
        """Expiry of each unused grant, the earliest first."""
        self.reserved: list[tuple[bool, float]] = []
        """Reservations that were not sent: whether by a grant, and expiry."""
        self.sent_s: collections.deque[float] = collections.deque()
        """When requests were sent, within the last second."""
        self.received_s: collections.deque[float] = collections.deque()
        """When grants were received, within the last second."""
        self.unguided = 0.0
        """Requests that it may send to a limited server without a leader."""
        self.unguided_since_s = float("-inf")
        """When that was computed last; before the leader's last view, it does
        not count."""

    def expire(self, now_s: float) -> None:
        """Drop what no longer counts."""
        while self.grants and self.grants[0] <= now_s:
            self.grants.pop(0)
        self.reserved = [each for each in self.reserved if each[1] > now_s]
        for times in (self.sent_s, self.received_s):
            while times and times[0] < now_s - cold_module.WINDOW_S:
                times.popleft()

    def is_cold(self, view: messages.ServedBackend, now_s: float) -> bool:
        """Return whether the server counts as cold."""
        if self.view is not view:
            self.view = view
            self.told_until_s = now_s + view.cold_ms / 1000
        return now_s < max(
            self.told_until_s if view.cold_ms else float("-inf"),
            self.answered_until_s,
        )


class ColdGate:
    """Decides whether cold and limited servers may get a request."""

    def __init__(
        self,
        candidates: candidates_module.Candidates,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.candidates = candidates
        self.clock = clock
        self.bounds = cold_module.ColdBounds()
        self.request_report: collections.abc.Callable[[], None] = lambda: None
        """Causes a report to be sent without delay."""
        self.limits = named_limits.NamedLimits()
        """What servers have said to this gateway."""
        self.accounts: dict[ids.BackendId, _Account] = {}
        self.gateways = 1
        self.gateways_s = float("-inf")
        """When this many gateways were last counted."""
        self.view_s = float("-inf")
        self.reports_s: dict[int, float] = {}
        """Sequence and time of the reports that may still be answered."""
        self.reported_s = float("-inf")
        self.asked_s = float("-inf")
        self.callers_per_s: dict[tuple[str, str], float] = {}
        self.counted: dict[tuple[str, str], int] = {}

    # What the leader says.

    def apply_view(self, view: messages.GatewayView) -> None:
        """Take the grants of a view."""
        now_s = self.clock()
        self.view_s = now_s
        if (
            view.gateways >= self.gateways
            or now_s - self.gateways_s > GATEWAYS_MEMORY_S
        ):
            self.gateways = view.gateways
            self.gateways_s = now_s
        reported_s = self.reports_s.get(view.echo)
        if not view.grants or reported_s is None:
            return
        expiry_s = reported_s + cold_module.GRANT_LIFE_S
        if expiry_s <= now_s:
            logs.info(_log, "cold_grants_too_late", echo=view.echo)
            return
        for grant in view.grants:
            account = self.accounts.setdefault(grant.backend, _Account())
            account.grants.extend([expiry_s] * grant.requests)
            account.grants.sort()
            account.received_s.extend([now_s] * grant.requests)

    def record_answer(
        self, candidate: candidates_module.Candidate, value: str
    ) -> None:
        """Record the cold time in an answer, in ms."""
        if not candidate.view.cold_per_s or not value:
            return
        try:
            cold_s = float(value) / 1000
        except ValueError:
            return
        if not 0 < cold_s < math.inf:
            return
        now_s = self.clock()
        account = self._account(candidate)
        if not account.is_cold(candidate.view, now_s):
            logs.info(
                _log,
                "server_says_cold",
                backend=candidate.view.backend,
                cold_s=cold_s,
            )
            self.request_report()
        account.answered_until_s = now_s + min(MAX_COLD_S, cold_s)

    def record_limit(
        self,
        candidate: candidates_module.Candidate,
        values: collections.abc.Sequence[str],
        sent_s: float,
    ) -> None:
        """Record the limit that an answer names, or that it names none.

        Args:
            candidate: The server that gave the answer.
            values: The values of the answer's header.
            sent_s: When the request was sent.
        """
        per_s = named_limits.parse(values)
        lifetime = candidate.lifetime
        now_s = self.clock()
        if per_s is None:
            logs.info(
                _log,
                "server_limit_unreadable",
                backend=lifetime.backend,
                values=",".join(values)[:MAX_LOGGED_VALUE],
            )
            return
        if (
            per_s == messages.NO_LIMIT
            and candidate.view.limit_per_s == messages.NO_LIMIT
            and self.limits.find(lifetime) is None
        ):
            return
        was_limited = self.limit_per_s(candidate, now_s) != messages.NO_LIMIT
        self.limits.record(lifetime, per_s, sent_s=sent_s, heard_s=now_s)
        if was_limited is (per_s == messages.NO_LIMIT):
            logs.info(
                _log,
                "server_says_limit",
                backend=lifetime.backend,
                born=lifetime.born_ms,
                per_s=per_s,
            )
            self.request_report()

    def limit_per_s(
        self, candidate: candidates_module.Candidate, now_s: float
    ) -> float:
        """Return the limit that a server names; messages.NO_LIMIT if none.

        The leader's list counts, but for what this gateway has heard too late
        for it, or since it has lost the leader.
        """
        told = candidate.view.limit_per_s
        said = self.limits.find(candidate.lifetime)
        if said is None:
            return told
        if said.is_limit and said.heard_s > self.view_s - HEEDED_S:
            return said.per_s
        if now_s - self.view_s > CONTACT_S and said.heard_s > self.view_s:
            return said.per_s
        return told

    # Whether a request may be sent.

    def needs_grant(
        self, candidate: candidates_module.Candidate, now_s: float
    ) -> bool:
        """Return whether a server gets only what the leader grants."""
        return (
            self.is_cold(candidate, now_s)
            or self.limit_per_s(candidate, now_s) != messages.NO_LIMIT
        )

    def is_cold(
        self, candidate: candidates_module.Candidate, now_s: float
    ) -> bool:
        """Return whether a server counts as cold."""
        return bool(candidate.view.cold_per_s) and self._account(
            candidate
        ).is_cold(candidate.view, now_s)

    def allows(
        self, candidate: candidates_module.Candidate, now_s: float
    ) -> bool:
        """Return whether a slot may be reserved for a request now."""
        if self.needs_grant(candidate, now_s):
            account = self._account(candidate)
            account.expire(now_s)
            return (
                any(
                    expiry_s > now_s + SEND_MARGIN_S
                    for expiry_s in account.grants
                )
                or self._refill_unguided(candidate, now_s) >= 1
            )
        if not candidate.view.cold_per_s:
            return True
        account = self._account(candidate)
        account.expire(now_s)
        pending = sum(not by_grant for by_grant, _ in account.reserved)
        return len(account.sent_s) + pending < self._share(candidate)

    def reserve(self, candidate: candidates_module.Candidate) -> None:
        """Use a grant, or a part of the share, for a reserved slot."""
        now_s = self.clock()
        if not self.needs_grant(candidate, now_s):
            if candidate.view.cold_per_s:
                self._account(candidate).reserved.append(
                    (False, now_s + cold_module.WINDOW_S)
                )
            return
        account = self._account(candidate)
        for index, expiry_s in enumerate(account.grants):
            if expiry_s > now_s + SEND_MARGIN_S:
                account.reserved.append((True, account.grants.pop(index)))
                return
        if self._refill_unguided(candidate, now_s) >= 1:
            account.unguided -= 1
            account.reserved.append((True, now_s + cold_module.GRANT_LIFE_S))

    def may_send(self, candidate: candidates_module.Candidate) -> bool:
        """Return whether a request may be sent now; if so, count it.

        Called just before the request is sent, since the process may have been
        paused, or the server may have turned cold, after the reservation.
        """
        now_s = self.clock()
        needs_grant = self.needs_grant(candidate, now_s)
        if not needs_grant and not candidate.view.cold_per_s:
            return True
        account = self._account(candidate)
        account.expire(now_s)
        reservation = next(
            (each for each in account.reserved if each[0] is needs_grant), None
        )
        if reservation is not None:
            account.reserved.remove(reservation)
        if needs_grant:
            if reservation is None and account.grants:
                account.grants.pop(0)
            elif reservation is None:
                _HELD_BACK.inc()
                return False
            _SENT.inc()
        elif len(account.sent_s) >= self._share(candidate):
            _HELD_BACK.inc()
            return False
        account.sent_s.append(now_s)
        return True

    def _refill_unguided(
        self, candidate: candidates_module.Candidate, now_s: float
    ) -> float:
        """Return the requests that a limited server may get without a leader.

        The rate begins anew, from nothing, each time the leader is lost.
        """
        account = self._account(candidate)
        lost_s = self.view_s + CONTACT_S
        if now_s <= lost_s or self.is_cold(candidate, now_s):
            return 0.0
        if account.unguided_since_s < lost_s:
            account.unguided, account.unguided_since_s = 0.0, lost_s
        elapsed_s = now_s - account.unguided_since_s
        per_s = self._unguided_per_s(candidate, now_s)
        account.unguided = min(1.0, account.unguided + per_s * elapsed_s)
        account.unguided_since_s = now_s
        return account.unguided

    def _unguided_per_s(
        self, candidate: candidates_module.Candidate, now_s: float
    ) -> float:
        limit_per_s = self.limit_per_s(candidate, now_s)
        if limit_per_s == messages.NO_LIMIT:
            return 0.0
        per_s = named_limits.served_per_s(limit_per_s)
        return per_s * cold_module.UNGUIDED_FRACTION / max(1, self.gateways)

    # What is asked for, and what to expect.

    def wanted(
        self, sequence: int, admission: "admission_module.Admission"
    ) -> messages.ColdReport | None:
        """Return what the report with this sequence asks for.

        It names each cold or limited server that this gateway knows, since the
        leader must know which gateways take a server for warm.
        """
        now_s = self.clock()
        self.reports_s = {
            number: sent_s
            for number, sent_s in self.reports_s.items()
            if now_s - sent_s < cold_module.GRANT_LIFE_S
        }
        self._trim()
        by_model: dict[tuple[str, str], list[candidates_module.Candidate]] = {}
        for candidate in self.candidates.by_backend.values():
            if self.needs_grant(candidate, now_s):
                view = candidate.view
                by_model.setdefault((view.service, view.model), []).append(
                    candidate
                )
        self._measure_callers(admission, now_s)
        if not by_model:
            return None
        self.reports_s[sequence] = now_s
        wanted = []
        for service_model, limited in by_model.items():
            callers = sum(
                each.demand.service_model == service_model
                for each in admission.waiting
            )
            # Rounded down, since the grants of a gateway with few callers would
            # expire unused while callers wait elsewhere.
            callers += math.floor(
                self.callers_per_s.get(service_model, 0.0) * HORIZON_S
            )
            for candidate in limited:
                account = self._account(candidate)
                account.expire(now_s)
                callers -= len(account.grants)
            each_wants, more = divmod(max(0, callers), len(limited))
            first = sequence % len(limited)
            turns = (*limited[first:], *limited[:first])
            for index, candidate in enumerate(turns):
                requests = each_wants + (index < more)
                wanted.append(self._want(candidate, requests, now_s))
        return messages.ColdReport(tuple(wanted), self.gateways)

    def _want(
        self,
        candidate: candidates_module.Candidate,
        requests: int,
        now_s: float,
    ) -> messages.ColdWanted:
        account = self._account(candidate)
        view = candidate.view
        answered_s = account.answered_until_s - now_s
        free = max(0, view.slots - candidate.total)
        return messages.ColdWanted(
            backend=view.backend,
            wanted=min(requests, free),
            cold_ms=round(max(0.0, answered_s) * 1000),
        )

    def statements(self) -> tuple[messages.ServerLimit, ...]:
        """Return what listed servers have said of their limits."""
        now_s = self.clock()
        return tuple(
            said
            for candidate in self.candidates.by_backend.values()
            if (said := self.limits.report(candidate.lifetime, now_s))
        )

    def ask(self) -> None:
        """Report soon that a caller waits for a cold or limited server."""
        now_s = self.clock()
        if now_s - self.asked_s >= REPORT_PAUSE_S:
            self.asked_s = now_s
            self.request_report()

    def is_limited(
        self, candidate: candidates_module.Candidate, now_s: float
    ) -> bool:
        """Return whether grants or the share, not slots, are missing."""
        return (
            candidate.total < candidate.view.slots
            and self.has_rate(candidate, now_s)
            and not self.allows(candidate, now_s)
        )

    def has_rate(
        self, candidate: candidates_module.Candidate, now_s: float
    ) -> bool:
        """Return whether a server gets at most some requests a second."""
        return bool(candidate.view.cold_per_s) or self.needs_grant(
            candidate, now_s
        )

    def rate_per_s(
        self, candidate: candidates_module.Candidate, now_s: float
    ) -> float:
        """Return the rate at which a limited server may get requests."""
        if not self.needs_grant(candidate, now_s):
            return self._share(candidate)
        account = self._account(candidate)
        account.expire(now_s)
        expected = 0.0
        limit_per_s = self.limit_per_s(candidate, now_s)
        if now_s - self.view_s < CONTACT_S:
            per_s = []
            if self.is_cold(candidate, now_s):
                per_s.append(candidate.view.cold_per_s)
            if limit_per_s != messages.NO_LIMIT:
                per_s.append(named_limits.served_per_s(limit_per_s))
            expected = min(per_s) / self.gateways
        elif not self.is_cold(candidate, now_s):
            expected = self._unguided_per_s(candidate, now_s)
        return max(expected, len(account.received_s) / cold_module.WINDOW_S)

    def cold_left_s(
        self, candidate: candidates_module.Candidate, now_s: float
    ) -> float:
        """Return for how long a server stays cold; 0 if it is not."""
        if not self.is_cold(candidate, now_s):
            return 0.0
        account = self._account(candidate)
        return max(account.told_until_s, account.answered_until_s) - now_s

    def _share(self, candidate: candidates_module.Candidate) -> int:
        return self.bounds.warm_share(candidate.view.cold_per_s, self.gateways)

    def _account(self, candidate: candidates_module.Candidate) -> _Account:
        return self.accounts.setdefault(candidate.view.backend, _Account())

    def _measure_callers(
        self, admission: "admission_module.Admission", now_s: float
    ) -> None:
        elapsed_s = now_s - self.reported_s
        if elapsed_s < REPORT_PAUSE_S:
            return
        self.reported_s = now_s
        for service_model, count in admission.demand.items():
            new = count.requested - self.counted.get(service_model, 0)
            self.counted[service_model] = count.requested
            before = self.callers_per_s.get(service_model, 0.0)
            self.callers_per_s[service_model] = before + RATE_WEIGHT * (
                new / elapsed_s - before
            )

    def _trim(self) -> None:
        """Forget servers that are gone and to which nothing was sent lately."""
        now_s = self.clock()
        for backend in list(self.accounts):
            if backend in self.candidates.by_backend:
                continue
            account = self.accounts[backend]
            account.expire(now_s)
            if not (account.grants or account.reserved or account.sent_s):
                del self.accounts[backend]


@eligibility.register("cold")
def _allows(
    admission: "admission_module.Admission",
    candidate: candidates_module.Candidate,
    now_s: float,
) -> bool:
    return admission.cold.allows(candidate, now_s)
