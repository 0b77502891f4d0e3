"""Decides which connections may be ended on which no request is served.

Each rule names what a connection may be doing as it ends it. No rule ends a
connection with bytes that nobody has looked at, since they may be a request:
it is read first, and answered or refused. During a stop, a request of which no
further bytes arrive is refused before the stop's time limit.
"""

import asyncio
import enum
import select
import typing

from flamingocleat.connection import intake


class Rule(enum.Enum):
    """Why a connection is to be ended although no request is served on it."""

    STOP = "stop"
    """The process accepts no further requests."""
    IDLE_LIMIT = "idle limit"
    """No request has come for the longest time that is allowed."""


_ENDS: dict[Rule, frozenset[intake.Phase]] = {
    Rule.STOP: frozenset({intake.Phase.NEW, intake.Phase.IDLE}),
    Rule.IDLE_LIMIT: frozenset({intake.Phase.NEW, intake.Phase.IDLE}),
}
"""Phases whose connections each rule may end. A request that is being read
arrives within the time limits of its head and its body, and a refusal needs
some time to reach its caller."""


STALL_CHECK_S = 0.2
"""Shortest time between two checks that count towards a stall."""


class Action(enum.Enum):
    """What is done during a stop to a connection that has stalled."""

    REFUSE = "refuse"
    """Refuse the request that is being read."""
    CLOSE = "close"


class Stall(typing.NamedTuple):
    """Successive checks without new bytes, and what follows them."""

    checks: int
    action: Action


_STALLS: dict[intake.Phase, Stall] = {
    intake.Phase.HEAD: Stall(4, Action.REFUSE),
    intake.Phase.BODY: Stall(4, Action.REFUSE),
    intake.Phase.REFUSED: Stall(2, Action.CLOSE),
}
"""Phases in which a stop does not wait for a caller that sends nothing. A lost
segment is sent again twice before a request is refused."""


class StallDetector:
    """Detects during a stop that a caller has ceased to send.

    It counts checks instead of time, so that a pause of the event loop counts
    as one check, however long it lasts.
    """

    def __init__(self) -> None:
        self.phase: intake.Phase | None = None
        self.received_bytes = 0
        self.checks = 0
        """Successive checks without new bytes."""
        self.checked_s = 0.0

    def check(
        self,
        phase: intake.Phase,
        received_bytes: int,
        now_s: float,
        *,
        is_waiting: bool,
    ) -> Action | None:
        """Return what to do to a connection, if it has stalled.

        Args:
            phase: What the connection does.
            received_bytes: Bytes that were read from it until now.
            now_s: Time on the monotonic clock.
            is_waiting: Whether it has bytes that nobody has looked at, or the
                caller has to wait for this process.
        """
        if (
            is_waiting
            or phase is not self.phase
            or received_bytes != self.received_bytes
        ):
            self.phase = phase
            self.received_bytes = received_bytes
            self.checks = 0
            self.checked_s = now_s
            return None
        if now_s < self.checked_s + STALL_CHECK_S:
            return None
        self.checks += 1
        self.checked_s = now_s
        stall = _STALLS.get(phase)
        if stall is None or self.checks < stall.checks:
            return None
        return stall.action


def may_end(rule: Rule, phase: intake.Phase, *, has_unseen_bytes: bool) -> bool:
    """Return whether a rule may end a connection in a phase."""
    return phase in _ENDS[rule] and not has_unseen_bytes


def has_unread(transport: asyncio.Transport) -> bool:
    """Return whether the next step of the event loop reads from a connection.

    That may also be its end.
    """
    if transport.is_closing():
        return False
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poller.poll(0))
