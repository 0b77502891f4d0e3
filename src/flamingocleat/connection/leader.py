"""Finds the control leader among the voters' addresses."""

import asyncio
import random

import grpclib
import grpclib.const

_MEAN_PAUSE_S = 0.1
"""Mean pause before reconnecting, randomised so that agents do not reconnect
in step."""


class LeaderFinder:
    """Chooses the address at which to try the control leader."""

    def __init__(self, addresses: tuple[str, ...]) -> None:
        self.addresses = addresses
        self.next = random.randrange(len(addresses))
        self.hint = ""

    def address(self) -> str:
        """Return the hinted leader, or else the next address in rotation."""
        if self.hint:
            hint, self.hint = self.hint, ""
            return hint
        self.next = (self.next + 1) % len(self.addresses)
        return self.addresses[self.next]

    def follow_hint(self, error: BaseException) -> None:
        """Use the leader hint in a follower's refusal for the next attempt."""
        if (
            isinstance(error, grpclib.GRPCError)
            and error.status is grpclib.const.Status.FAILED_PRECONDITION
            and _is_address(error.message)
        ):
            self.hint = str(error.message)

    async def pause(self) -> None:
        """Wait for a random pause before the next attempt."""
        await asyncio.sleep(random.uniform(0.5, 1.5) * _MEAN_PAUSE_S)


def _is_address(text: str | None) -> bool:
    """Return whether a hint has the form host:port.

    Unknown addresses are allowed, since the hint may name a voter that was
    added after the settings were written.
    """
    host, _, port = (text or "").rpartition(":")
    return bool(host) and port.isdecimal()
