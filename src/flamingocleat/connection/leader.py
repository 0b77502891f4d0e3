"""Finds the control leader among the voters' addresses.

Answers partitions of the voters that everybody else reaches both sides of: the
minority names a deposed leader, and other voters are silent. A hint is a
belief of unknown age, so it moves one address to the front but never keeps
other voters from being tried.
"""

import asyncio
import collections.abc
import random

import grpclib
import grpclib.const

_MEAN_PAUSE_S = 0.1
"""Mean pause before reconnecting, randomised so that agents do not reconnect
in step."""
ATTEMPT_INTERVAL_S = 0.1
"""Interval after which another voter is tried beside those that have not
answered yet. With five voters of which two are silent, each of the others is
tried within 0.5 s."""
RETRY_INTERVAL_S = 0.2
"""Pause before a voter that has failed or refused is tried again."""


class LeaderSearch:
    """Chooses which voter to try next while earlier attempts are pending."""

    def __init__(self) -> None:
        self.pending: set[str] = set()
        self.started_s = float("-inf")
        """When the last attempt that followed no hint was started."""
        self.ended_s: dict[str, float] = {}
        """When the last attempt at each address ended."""
        self.hint = ""

    def next_address(
        self, addresses: collections.abc.Sequence[str], now_s: float
    ) -> str:
        """Start an attempt and return its address, or an empty string.

        A hint is followed at once. Otherwise the voter that was tried longest
        ago is next, if it is time for another attempt.
        """
        self._forget_except(addresses, now_s)
        hint, self.hint = self.hint, ""
        if hint and self._may_try(hint, now_s):
            self.pending.add(hint)
            return hint
        if now_s < self.started_s + ATTEMPT_INTERVAL_S:
            return ""
        untried = [each for each in addresses if self._may_try(each, now_s)]
        if not untried:
            return ""
        address = min(
            untried, key=lambda each: self.ended_s.get(each, float("-inf"))
        )
        self.pending.add(address)
        self.started_s = now_s
        return address

    def end(self, address: str, hint: str, now_s: float) -> None:
        """Record that an attempt ended, and the leader that it was told."""
        self.pending.discard(address)
        self.ended_s[address] = now_s
        if is_address(hint):
            self.hint = hint

    def _forget_except(
        self, addresses: collections.abc.Sequence[str], now_s: float
    ) -> None:
        """Forget addresses that only a hint named, once they may be tried."""
        self.ended_s = {
            each: ended_s
            for each, ended_s in self.ended_s.items()
            if each in addresses or now_s - ended_s < RETRY_INTERVAL_S
        }

    def _may_try(self, address: str, now_s: float) -> bool:
        ended_s = self.ended_s.get(address, float("-inf"))
        return (
            address not in self.pending and now_s - ended_s >= RETRY_INTERVAL_S
        )


class LeaderFinder:
    """Chooses the address at which to try the control leader, one at a time."""

    def __init__(
        self, addresses: collections.abc.Sequence[str], first: int | None = None
    ) -> None:
        self.addresses = addresses
        self.next = random.randrange(len(addresses)) if first is None else first
        self.hint = ""
        self.last = ""
        self.followed_hint = False
        """Whether the last address came from a hint. The next one does not:
        voters of a minority may name each other, or themselves, for long."""

    def address(self) -> str:
        """Return the hinted leader, or else the next address in rotation."""
        hint, self.hint = self.hint, ""
        if hint and hint != self.last and not self.followed_hint:
            self.followed_hint = True
            self.last = hint
            return hint
        self.followed_hint = False
        self.last = self.addresses[self.next % len(self.addresses)]
        self.next = (self.next + 1) % len(self.addresses)
        return self.last

    def follow_hint(self, error: BaseException) -> None:
        """Use the leader hint in a voter's refusal for the next attempt."""
        self.hint = hint_of(error)

    def connected(self) -> None:
        """Record that the last address led, so that hints count again."""
        self.followed_hint = False

    async def pause(self) -> None:
        """Wait for a random pause before the next attempt."""
        await asyncio.sleep(random.uniform(0.5, 1.5) * _MEAN_PAUSE_S)


def hint_of(error: BaseException) -> str:
    """Return the leader's address in a voter's refusal, or an empty string."""
    if (
        isinstance(error, grpclib.GRPCError)
        and error.status is grpclib.const.Status.FAILED_PRECONDITION
        and is_address(error.message)
    ):
        return str(error.message)
    return ""


def is_address(text: str | None) -> bool:
    """Return whether a hint has the form host:port.

    Unknown addresses are allowed, since the hint may name a voter that was
    added after the settings were written.
    """
    host, _, port = (text or "").rpartition(":")
    return bool(host) and port.isdecimal()
