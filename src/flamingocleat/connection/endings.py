"""Decides which connections may be ended on which no request is served.

Each rule names what a connection may be doing as it ends it. No rule ends a
connection with bytes that nobody has looked at, since they may be a request:
it is read first, and answered or refused.
"""

import asyncio
import enum
import select

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
