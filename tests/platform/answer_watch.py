"""Answers that break off, as callers of a soak see them.

A stop, a reload or a change of the configuration cuts no request that was read.
At any time, a gateway in contact ends few connections whose request it has
passed on to a sound server, and answers those that reach their route's timeout.
Each call is compared with the signals that its gateway got, with what backend
servers did with it, and with the closing lines of the gateway's log.
"""

import asyncio
import collections
import collections.abc
import contextlib
import enum
import re
import signal
import time
import typing

import h11
import msgspec

if typing.TYPE_CHECKING:
    from tests.platform import emulator
    from tests.platform import soak as soak_module

GRACE_S = 8.0
STOP_S = GRACE_S + 1.0
"""Time after a SIGTERM within which a cut counts."""
NO_NEW_CALLS_S = 3.0
"""Time after a SIGTERM until which callers may send further requests."""
LAST_SIXTH_S = GRACE_S * 5 / 6
APPLY_S = 2.0
"""Time for which a reload is in progress."""
CONTACT_S = 4.0
"""Time after a fault of a gateway or a link in which a cut does not count."""
LOSS_SLACK_S = 0.2
"""Time within which a request that nobody read may cross a close."""
DEADLINE_S = 4.0
"""Deadline of each call and timeout of each route."""
ANSWER_SLACK_S = 0.5
"""Time after its route's timeout within which a call needs an answer."""
MIN_OVERDUE = 8
"""Overdue calls of a run from which on a quarter of those at their timeout
suffices for a violation in place of one half."""
LATE_FRACTION = 0.7
"""Part of its time after which a call may be cut beside a change."""
DEADLINE_SLACK_S = 0.1
LAG_S = 0.05
"""Lag of the soak's own event loop that counts as a fault of links."""
LOG_S = 3.0
"""Time within which the last closing lines are written."""
MAX_LOST = 3
"""Calls of a run that may end without an answer after they were passed on to a
sound server, with no planned work beside."""
PLANNED = (signal.SIGTERM, signal.SIGHUP)
ENDS = (signal.SIGTERM, signal.SIGKILL)
STOPS = (*ENDS, signal.SIGSTOP, signal.SIGCONT)
"""Signals that take a program out of contact."""
CLOSING_LINE = re.compile(
    r"event=(?:request_ended|request_refused) .*?\brequest=(\S+)"
)


class Outcome(enum.Enum):
    """How a call ended for its caller."""

    OPEN = "open"
    ANSWERED = "answered"
    CUT = "cut"
    TIMED_OUT = "timed out"
    CANCELLED = "cancelled"


class Call(msgspec.Struct, kw_only=True):
    """A call, as its caller sees it."""

    gateway: str
    """Address of the gateway."""
    connection: str
    """Address of the caller's end of the connection."""
    link_s: float
    """Latency of the link to the gateway."""
    sent_s: float = msgspec.field(default_factory=time.monotonic)
    ended_s: float = float("inf")
    outcome: Outcome = Outcome.OPEN
    detail: str = ""
    head_s: float = float("inf")
    """When the head of the answer came."""
    half_closes: bool = False
    """Whether the caller closed its sending side after the request."""
    reads_slowly: bool = False
    """Whether the caller itself decides when a whole answer ends."""

    @contextlib.contextmanager
    def record_end(self) -> collections.abc.Iterator[None]:
        """Record how the wait for the answer ends."""
        try:
            yield
            self.outcome = Outcome.ANSWERED
        except TimeoutError:
            self.outcome = Outcome.TIMED_OUT
            raise
        except (OSError, h11.RemoteProtocolError) as error:
            self.outcome, self.detail = Outcome.CUT, repr(error)
            raise
        except asyncio.CancelledError:
            self.outcome = Outcome.CANCELLED
            raise
        finally:
            self.ended_s = time.monotonic()

    def is_hit(self, faults_s: collections.abc.Iterable[float]) -> bool:
        """Return whether a fault at these times can have disturbed it."""
        return any(
            self.sent_s - CONTACT_S <= at_s <= self.ended_s + LOSS_SLACK_S
            for at_s in faults_s
        )

    @property
    def answer_due_s(self) -> float:
        """When its answer is overdue."""
        return self.sent_s + DEADLINE_S + ANSWER_SLACK_S + 2 * self.link_s

    @property
    def is_overdue(self) -> bool:
        """Return whether it got no answer in time.

        A close ends an answer that has begun, but is no answer itself. When a
        slow reader has read a whole answer says nothing about the gateway.
        """
        if self.reads_slowly and self.outcome is Outcome.ANSWERED:
            return self.head_s > self.answer_due_s
        is_answered = (
            self.outcome is Outcome.ANSWERED or self.head_s < self.ended_s
        )
        return not is_answered or self.ended_s > self.answer_due_s


class Run(msgspec.Struct):
    """A call at a backend server."""

    server: "emulator.Server"
    proxy: "emulator.Proxy | None"
    began_s: float
    ended_s: float = float("inf")
    broke_off: bool = False
    """Whether the server ended it without a whole answer."""
    is_stalled: bool = False
    """Whether a member of its group was missing meanwhile."""

    def is_sound(self, call: Call) -> bool:
        """Return whether nothing disturbed the server or the link to it."""
        is_harmed = self.proxy is not None and call.is_hit(self.proxy.harmed_s)
        return not self.broke_off and not self.is_stalled and not is_harmed


class AnswerWatch:
    """Finds calls of a soak that planned work cut."""

    def __init__(self, soak: "soak_module.Soak") -> None:
        self.soak = soak
        self.lags_s: list[float] = []
        """When the soak's own event loop was held up."""
        self.counts: collections.Counter[str] = collections.Counter()
        self.lost: list[str] = []
        """Calls that ended without an answer although a sound server had got
        them and no planned work or fault of the gateway stood beside."""
        self.overdue: list[str] = []
        """Calls that got no answer in time from a gateway in contact."""

    def _violate(self, detail: str) -> None:
        self.soak.invariants.record_violation(
            "planned work cuts no answer", detail
        )

    def summary(self) -> str:
        """Return the figures of the run."""
        stops = sum(
            number is signal.SIGTERM
            for gateway in self.soak.gateways
            for _, number in gateway.signals
        )
        counts = {"stops": stops, "calls": len(self.soak.calls)}
        counts |= dict(sorted(self.counts.items()))
        return " ".join(f"{key}={value}" for key, value in counts.items())

    async def check(self) -> None:
        """Check all calls; the gateways still run, so that their logs end."""
        end_s = time.monotonic() + LOG_S
        while True:
            lines = {
                each.node: _count_lines(each) for each in self.soak.gateways
            }
            missing = list(self._find_missing(lines))
            if not missing or time.monotonic() > end_s:
                break
            await asyncio.sleep(0.2)
        for detail in missing:
            self._violate(detail)
        for gateway in self.soak.gateways:
            for request_id, count in lines[gateway.node].items():
                if request_id in self.soak.calls and count > 1:
                    self._violate(
                        f"{request_id}: {count} closing lines of {gateway.node}"
                    )
        for request_id, call in self.soak.calls.items():
            if call.half_closes:
                self.counts[f"half_closed_{call.outcome.name.lower()}"] += 1
                continue
            self.counts[call.outcome.name.lower()] += 1
            self._check_overdue(request_id, call)
            if call.outcome is Outcome.CUT:
                self._check_cut(request_id, call, lines)
                self._check_lost(request_id, call)
        self.counts["lost"] = len(self.lost)
        if len(self.lost) > MAX_LOST:
            self.soak.invariants.record_violation(
                "calls at sound servers are answered", "; ".join(self.lost)
            )
        self._check_overdue_fraction()

    def _gateway_of(self, call: Call) -> "soak_module.Program | None":
        for each in self.soak.gateways:
            if each.address(self.soak.front_port) == call.gateway:
                return each
        return None

    def _find_missing(
        self, lines: dict[str, collections.Counter[str]]
    ) -> collections.abc.Iterator[str]:
        """Yield requests that reached a server and have no closing line."""
        for request_id, runs in self.soak.invariants.runs_by_call.items():
            call = self.soak.calls.get(request_id)
            gateway = self._gateway_of(call) if call else None
            if call is None or gateway is None:
                continue
            last_s = max(call.ended_s, runs[-1].ended_s) + LOSS_SLACK_S
            killed = any(
                number is signal.SIGKILL and call.sent_s <= at_s <= last_s
                for at_s, number in gateway.signals
            )
            known = lines[gateway.node]
            if not killed and not known[request_id] and not known["dropped"]:
                yield f"{request_id}: no closing line of {gateway.node}"

    def _check_cut(
        self,
        request_id: str,
        call: Call,
        lines: dict[str, collections.Counter[str]],
    ) -> None:
        gateway = self._gateway_of(call)
        if gateway is None:
            return
        runs = self.soak.invariants.runs_by_call.get(request_id, [])
        excuse = self._find_excuse(call, gateway, runs)
        work = self._find_work(call, gateway)
        if excuse or not work:
            self.counts[f"cut_{excuse or 'apart'}"] += 1
            return
        self._violate(
            f"{request_id} by {gateway.node} on {call.connection}: {work}; cut "
            f"{call.ended_s - call.sent_s:.2f} s after it was sent, at "
            f"{call.ended_s - self.soak.started_s:.2f}; {len(runs)} runs; "
            f"{lines[gateway.node][request_id]} closing lines; {call.detail}"
        )

    def _check_lost(self, request_id: str, call: Call) -> None:
        """Find a call that was passed on to a sound server and ended at once.

        A call that another server broke off counts as well if a sound one had
        got it before.
        """
        gateway = self._gateway_of(call)
        runs = self.soak.invariants.runs_by_call.get(request_id, [])
        sound = [run for run in runs if run.is_sound(call)]
        if gateway is None or not sound:
            return
        coordinators = self.soak.coordinators
        disturbed = [
            *gateway.disturbed_s,
            *(at_s for at_s, number in gateway.signals if number in ENDS),
            *(at_s for each in coordinators for at_s in each.disturbed_s),
            *(
                at_s
                for each in coordinators
                for at_s, number in each.signals
                if number in ENDS
            ),
        ]
        took_s = call.ended_s - call.sent_s
        if call.is_hit(disturbed) or took_s >= DEADLINE_S - DEADLINE_SLACK_S:
            return
        self.lost.append(
            f"{request_id} by {gateway.node} on {call.connection}: cut "
            f"{took_s:.2f} s after it was sent, at "
            f"{call.ended_s - self.soak.started_s:.2f}; runs at "
            f"{', '.join(run.server.name for run in sound)} of {len(runs)}; "
            f"{call.detail}"
        )

    def _check_overdue(self, request_id: str, call: Call) -> None:
        """Count a call that reached its timeout at a gateway in contact."""
        gateway = self._gateway_of(call)
        if (
            gateway is None
            or call.outcome is Outcome.CANCELLED
            or call.ended_s < call.sent_s + DEADLINE_S
        ):
            return
        from_s = call.sent_s - CONTACT_S
        disturbed = (
            at_s
            for program in (gateway, *self.soak.coordinators)
            for at_s in (
                *program.disturbed_s,
                *program.start_times_s,
                *(at_s for at_s, number in program.signals if number in STOPS),
            )
        )
        if any(from_s <= at_s <= call.answer_due_s for at_s in disturbed):
            self.counts["due_apart"] += 1
            return
        self.counts["due"] += 1
        if not call.is_overdue:
            return
        runs = self.soak.invariants.runs_by_call.get(request_id, [])
        sound = [run.server.name for run in runs if run.is_sound(call)]
        self.counts["overdue_sound"] += bool(sound)
        self.overdue.append(
            f"{request_id} by {gateway.node} on {call.connection}: "
            f"{call.outcome.value} {call.ended_s - call.sent_s:.2f} s after it "
            f"was sent, at {call.ended_s - self.soak.started_s:.2f}; head "
            f"after {call.head_s - call.sent_s:.2f} s; sound runs at "
            f"{', '.join(sound) or 'none'} of {len(runs)}; {call.detail}"
        )

    def _check_overdue_fraction(self) -> None:
        """Check how many of the calls at their timeout are overdue."""
        due, overdue = self.counts["due"], len(self.overdue)
        self.counts["overdue"] = overdue
        if 2 * overdue > due or (overdue >= MIN_OVERDUE and 4 * overdue > due):
            self.soak.invariants.record_violation(
                "calls are answered at their timeout",
                f"{overdue} of {due} are not: {'; '.join(self.overdue)}",
            )

    def _find_excuse(
        self, call: Call, gateway: "soak_module.Program", runs: list[Run]
    ) -> str:
        """Return why a cut is no violation, or an empty string."""
        took_s = call.ended_s - call.sent_s
        is_at_work = any(
            run.ended_s > call.ended_s - LOSS_SLACK_S for run in runs
        )
        excuses = {
            "by_fault": call.is_hit(gateway.disturbed_s),
            "by_server": any(run.broke_off for run in runs)
            or any(
                call.is_hit(run.proxy.harmed_s) for run in runs if run.proxy
            ),
            "by_deadline": took_s >= DEADLINE_S - DEADLINE_SLACK_S,
            "by_grace": is_at_work
            and any(
                LAST_SIXTH_S <= call.ended_s - at_s <= STOP_S
                and call.sent_s <= at_s + NO_NEW_CALLS_S
                for at_s, number in gateway.signals
                if number is signal.SIGTERM
            ),
            "unread": not runs
            and (
                took_s <= LOSS_SLACK_S + 2 * call.link_s
                or any(
                    call.sent_s <= lag_s <= call.ended_s + LOSS_SLACK_S
                    for lag_s in self.lags_s
                )
            ),
        }
        return next((name for name, holds in excuses.items() if holds), "")

    def _find_work(self, call: Call, gateway: "soak_module.Program") -> str:
        """Return the planned work beside which a call was cut, or nothing.

        Operators change the configuration all the time.
        """
        for at_s, number in reversed(gateway.signals):
            after_s = call.ended_s - at_s
            bound_s = STOP_S
            if number is signal.SIGHUP:
                bound_s = call.ended_s - call.sent_s + APPLY_S
            if number in PLANNED and 0 <= after_s <= bound_s:
                return f"{number.name} {after_s:.2f} s before"
        if call.ended_s - call.sent_s < LATE_FRACTION * DEADLINE_S:
            return "changes of the configuration"
        return ""


def _count_lines(gateway: "soak_module.Program") -> collections.Counter[str]:
    """Return how many closing lines each request has in a gateway's log."""
    path = gateway.folder / "log"
    text = path.read_text(errors="replace") if path.exists() else ""
    counts = collections.Counter(CLOSING_LINE.findall(text))
    counts["dropped"] = text.count("event=log_lines_dropped")
    return counts
