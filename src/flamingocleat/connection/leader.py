"""Finds the control leader among the addresses of control."""

import asyncio
import random

import grpclib
import grpclib.const

_PAUSE_S = 0.1
"""Mean pause before dialling anew, so that agents don't dial in step."""


class Leader:
    """The address to dial for the control leader."""

    def __init__(self, addresses: tuple[str, ...]) -> None:
        self.addresses = addresses
        self.next = random.randrange(len(addresses))
        self.hint = ""

    def address(self) -> str:
        """Return the hinted leader, else the next address in turn."""
        if self.hint:
            hint, self.hint = self.hint, ""
            return hint
        self.next = (self.next + 1) % len(self.addresses)
        return self.addresses[self.next]

    def note(self, error: BaseException) -> None:
        """Follow the hint in a follower's refusal."""
        if (
            isinstance(error, grpclib.GRPCError)
            and error.status is grpclib.const.Status.FAILED_PRECONDITION
            and _is_address(error.message)
        ):
            self.hint = str(error.message)

    async def pause(self) -> None:
        """Wait before the next attempt."""
        await asyncio.sleep(random.uniform(0.5, 1.5) * _PAUSE_S)


def _is_address(text: str | None) -> bool:
    """Return whether a hint is host:port.

    It may name a voter that was added after the settings were written.
    """
    host, _, port = (text or "").rpartition(":")
    return bool(host) and port.isdecimal()
