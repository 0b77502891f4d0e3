"""Whether this voter leads, and for how long agents could announce."""

import asyncio
import collections.abc
import time

from flamingocleat import errors
from flamingocleat.process import consensus as consensus_module
from flamingocleat.process import logs

_log = logs.logger("leadership")

ANNOUNCE_WAIT_S = 3.6
"""A new leader has heard of no agent. Agents notice a silent leader within
1.5 s and dial anew within 0.1 s; a VM counts as lost after 2.0 s more."""


class Leadership:
    """Present leadership of this voter.

    A leader is ready once a quorum has confirmed it, since only then has
    its machine all that earlier leaders had acknowledged. on_lost is called
    with the error to tell clients when leadership ends.
    """

    def __init__(
        self,
        consensus: consensus_module.Consensus,
        on_ready: collections.abc.Callable[[], None],
        on_lost: collections.abc.Callable[[errors.FlamingocleatError], None],
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.consensus = consensus
        self.on_ready = on_ready
        self.on_lost = on_lost
        self.clock = clock
        self.closed = False
        self.term = 0
        """Term in which this voter leads, or 0."""
        self.ready = asyncio.Event()
        self.announced_from_s = 0.0
        """Since when agents could announce themselves without a break."""
        self.confirmation: asyncio.Task[None] | None = None
        consensus.subscribe(self.update)

    def update(self) -> None:
        """Follow a change of role or term."""
        leads = self.consensus.role is consensus_module.Role.LEADER
        term = self.consensus.term if leads else 0
        if term == self.term:
            return
        if self.term:
            self._end(errors.NotLeaderError(self.consensus.leader_address))
        self.term = term
        if term:
            self.announced_from_s = self.clock()
            self.confirmation = asyncio.create_task(self._confirm(term))

    async def admit(self) -> None:
        """Return once this voter leads and was confirmed, or raise."""
        if self.closed:
            raise errors.UnavailableError("this voter is shutting down")
        if self.confirmation is not None and not self.ready.is_set():
            await asyncio.wait([self.confirmation])
        if not self.ready.is_set():
            raise errors.NotLeaderError(self.consensus.leader_address)

    def restart_wait(self, reason: str) -> None:
        """Count no VM as lost until agents had time to announce anew."""
        logs.warning(_log, "announcements_awaited", reason=reason)
        self.announced_from_s = self.clock()

    def has_waited(self) -> bool:
        """Return whether a VM that is not announced counts as lost."""
        return self.clock() - self.announced_from_s >= ANNOUNCE_WAIT_S

    def close(self) -> None:
        """End all work of a leader; this voter is shutting down."""
        self.closed = True
        self._end(errors.UnavailableError("this voter is shutting down"))

    def _end(self, error: errors.FlamingocleatError) -> None:
        self.ready.clear()
        if self.confirmation is not None:
            self.confirmation.cancel()
            self.confirmation = None
        self.on_lost(error)

    async def _confirm(self, term: int) -> None:
        try:
            await self.consensus.confirm()
        except errors.FlamingocleatError as error:
            logs.info(_log, "not_confirmed", term=term, reason=str(error))
            return
        if self.term == term and not self.closed:
            self.ready.set()
            logs.info(_log, "leader_ready", term=term)
            self.on_ready()
