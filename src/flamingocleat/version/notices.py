"""What backend servers say of themselves in their answers to one gateway.

A server may say that it leaves, or that it wants no requests for a time. Such
a notice holds for the lifetime that gave it, whatever the leader lists: a list
may be older, and an address may pass to another server.
"""

import collections
import math

import msgspec

from flamingocleat import ids
from flamingocleat.process import logs

_log = logs.logger("notices")

MAX_WAIT_S = 30.0
"""Bound on the time for which a server may ask for no requests, so that a
faulty one does not take itself out of service."""
MAX_SERVERS = 4096
"""Bound on the lifetimes whose notices are remembered."""
LEAVING = "1"
"""The only value of the header that means that the server leaves."""


class Notice(msgspec.Struct):
    """What one lifetime of a server has said."""

    is_leaving: bool = False
    wait_until_s: float = float("-inf")

    def accepts(self, now_s: float) -> bool:
        """Return whether the server may get another request."""
        return not self.is_leaving and now_s >= self.wait_until_s


NO_NOTICE = Notice()


class Notices:
    """Notices of all servers, the latest last."""

    def __init__(self) -> None:
        self.by_lifetime: collections.OrderedDict[ids.Lifetime, Notice] = (
            collections.OrderedDict()
        )

    def find(self, lifetime: ids.Lifetime) -> Notice:
        """Return the notice of a lifetime, or one that says nothing."""
        return self.by_lifetime.get(lifetime, NO_NOTICE)

    def record_leaving(self, lifetime: ids.Lifetime, value: str) -> None:
        """Record the header of an answer that says whether a server leaves.

        Only "1" counts. It holds for the rest of the lifetime, since a server
        that leaves does not come back without a restart.
        """
        if value.strip() != LEAVING or self.find(lifetime).is_leaving:
            return
        self._notice(lifetime).is_leaving = True
        logs.info(_log, "server_leaves", backend=lifetime[0], born=lifetime[1])

    def record_wait(
        self, lifetime: ids.Lifetime, value: str, now_s: float
    ) -> None:
        """Record the Retry-After of a server that turned a request away.

        A number of seconds counts, with or without a fraction; dates, negative
        and other values do not. A shorter wait does not end a longer one.
        """
        wait_s = parse_wait_s(value)
        until_s = now_s + wait_s
        notice = self.find(lifetime)
        if wait_s <= 0 or until_s <= notice.wait_until_s:
            return
        if notice.wait_until_s <= now_s:
            logs.info(
                _log,
                "server_waits",
                backend=lifetime[0],
                born=lifetime[1],
                wait_s=wait_s,
            )
        self._notice(lifetime).wait_until_s = until_s

    def _notice(self, lifetime: ids.Lifetime) -> Notice:
        notice = self.by_lifetime.setdefault(lifetime, Notice())
        self.by_lifetime.move_to_end(lifetime)
        while len(self.by_lifetime) > MAX_SERVERS:
            self.by_lifetime.popitem(last=False)
        return notice


def parse_wait_s(value: str) -> float:
    """Return the seconds of a Retry-After, bounded; 0 if it names none."""
    try:
        wait_s = float(value)
    except ValueError:
        return 0.0
    if math.isnan(wait_s) or wait_s <= 0:
        return 0.0
    return min(wait_s, MAX_WAIT_S)
