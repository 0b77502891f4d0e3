"""Limits on requests that backend servers name in their answers.

A server in need names the requests per second that it takes from all gateways
together, for as long as it says so. The design is in
docs/design/named-limits.md.
"""

import collections
import collections.abc
import re

import msgspec

from flamingocleat import ids
from flamingocleat import messages

MAX_PER_S = 1e6
"""Higher limits are cut to this; no gateway sends as many requests."""
MIN_SERVED_PER_S = 0.25
"""Rate at which a server gets requests whose limit is lower, as nobody would
hear otherwise that the limit is over."""
MAX_SERVERS = 4096
"""Bound on the lifetimes whose statements are remembered."""
REPORT_LIFTED_S = 5.0
"""How long a gateway reports that a server names no limit any more. Each later
answer of the server prolongs it."""

_DECIMAL = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)


class Statement(msgspec.Struct, frozen=True):
    """What one lifetime of a server has said of its limit."""

    per_s: float
    """Requests per second; messages.NO_LIMIT if it names no limit."""
    sent_s: float
    """When the request was sent whose answer says so."""
    heard_s: float
    """When that answer arrived."""

    @property
    def is_limit(self) -> bool:
        """Return whether the server names a limit."""
        return self.per_s != messages.NO_LIMIT


def parse(values: collections.abc.Sequence[str]) -> float | None:
    """Return the limit that an answer's header values name.

    Returns:
        Requests per second, messages.NO_LIMIT if there is no value, or None if
        the values say nothing: more than one, or no decimal number.
    """
    if not values:
        return messages.NO_LIMIT
    text = values[0].strip()
    if len(values) > 1 or not _DECIMAL.fullmatch(text):
        return None
    return min(MAX_PER_S, float(text))


def served_per_s(per_s: float) -> float:
    """Return the rate at which a server with this limit gets requests."""
    return max(MIN_SERVED_PER_S, per_s)


class NamedLimits:
    """The newest statement of each lifetime, the latest last."""

    def __init__(self) -> None:
        self.by_lifetime: collections.OrderedDict[ids.Lifetime, Statement] = (
            collections.OrderedDict()
        )

    def find(self, lifetime: ids.Lifetime) -> Statement | None:
        """Return the statement of a lifetime, or None."""
        return self.by_lifetime.get(lifetime)

    def record(
        self,
        lifetime: ids.Lifetime,
        per_s: float,
        *,
        sent_s: float,
        heard_s: float,
    ) -> bool:
        """Record what an answer says; return whether the limit changed.

        A limit is raised or lifted only by an answer to a request that was
        sent after the limit was last heard, since answers overtake each other.

        Args:
            lifetime: The server's lifetime.
            per_s: Requests per second, or messages.NO_LIMIT.
            sent_s: When the request was sent.
            heard_s: When its answer arrived.
        """
        held = self.find(lifetime)
        if held is not None and heard_s <= held.heard_s:
            return False
        if (
            held is not None
            and held.is_limit
            and sent_s < held.heard_s
            and (per_s == messages.NO_LIMIT or per_s > held.per_s)
        ):
            return False
        self.by_lifetime[lifetime] = Statement(per_s, sent_s, heard_s)
        self.by_lifetime.move_to_end(lifetime)
        while len(self.by_lifetime) > MAX_SERVERS:
            self.by_lifetime.popitem(last=False)
        before = held.per_s if held is not None else messages.NO_LIMIT
        return before != per_s

    def report(
        self, lifetime: ids.Lifetime, now_s: float
    ) -> messages.ServerLimit | None:
        """Return what a lifetime has said as a gateway reports it.

        That it names no limit is reported for a while only.
        """
        said = self.find(lifetime)
        if said is None:
            return None
        if not said.is_limit and now_s - said.heard_s > REPORT_LIFTED_S:
            return None
        return messages.ServerLimit(
            lifetime.backend,
            lifetime.born_ms,
            said.per_s,
            sent_ms=_age_ms(said.sent_s, now_s),
            heard_ms=_age_ms(said.heard_s, now_s),
        )

    def merge(self, reported: messages.ServerLimit, received_s: float) -> bool:
        """Record what a gateway reports; return whether the limit changed."""
        lifetime = ids.Lifetime(reported.backend, reported.born_ms)
        return self.record(
            lifetime,
            max(messages.NO_LIMIT, min(MAX_PER_S, reported.per_s)),
            sent_s=received_s - reported.sent_ms / 1000,
            heard_s=received_s - reported.heard_ms / 1000,
        )

    def clear(self) -> None:
        """Forget all statements."""
        self.by_lifetime.clear()


def _age_ms(at_s: float, now_s: float) -> int:
    return max(0, round((now_s - at_s) * 1000))
