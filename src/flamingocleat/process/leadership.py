"""Leadership of this voter, and the wait for agents to announce."""

import asyncio
import collections.abc
import time

from flamingocleat import errors
from flamingocleat.process import consensus as consensus_module
from flamingocleat.process import logs

_log = logs.logger("leadership")

ANNOUNCE_WAIT_S = 3.6
"""Time before a new leader, which knows no agents yet, counts a VM as lost.
Agents detect a silent leader within 1.5 s and reconnect within 0.1 s; a VM
counts as lost after another 2.0 s."""


class Leadership:
    """Tracks whether this voter is the leader and is ready to serve.

    A leader is ready once a quorum has confirmed it, since only then does its
    machine have everything that earlier leaders acknowledged. When leadership
    ends, on_lost is called with the error to send to clients.
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
        """Term in which this voter is the leader, or 0."""
        self.ready = asyncio.Event()
        self.announce_wait_start_s = 0.0
        """Start of the current wait for agents to announce themselves."""
        self.confirmation: asyncio.Task[None] | None = None
        consensus.subscribe(self.update)

    def update(self) -> None:
        """Handle a change of role or term."""
        is_leader = self.consensus.role is consensus_module.Role.LEADER
        term = self.consensus.term if is_leader else 0
        if term == self.term:
            return
        if self.term:
            self._end_leadership(errors.NotLeaderError(self.leader_hint()))
        self.term = term
        if term:
            self.announce_wait_start_s = self.clock()
            self.confirmation = asyncio.create_task(self._confirm(term))

    async def admit(self) -> None:
        """Wait until this voter is a confirmed leader.

        Raises:
            NotLeaderError: This voter is not the leader.
            UnavailableError: This voter is shutting down.
        """
        if self.closed:
            raise errors.UnavailableError("this voter is shutting down")
        if self.confirmation is not None and not self.ready.is_set():
            await asyncio.wait([self.confirmation])
        if not self.ready.is_set():
            raise errors.NotLeaderError(self.leader_hint())

    async def admit_confirmed(self) -> None:
        """Wait until a quorum confirms that this voter leads now.

        Its machine then has everything that was acknowledged before the call.
        A leader that was deposed while its process was paused does not know it
        at once, and would pass `admit`.

        Raises:
            NotLeaderError: This voter is not the leader.
            UnavailableError: This voter is shutting down.
        """
        await self.admit()
        await self.consensus.confirm()

    def leader_hint(self) -> str:
        """Return the leader's address, or an empty string.

        A leader that has been silent for an election timeout may have been
        deposed.
        """
        silent_s = self.clock() - self.consensus.leader_heard_s
        if silent_s > consensus_module.ELECTION_TIMEOUT_MAX_S:
            return ""
        return self.consensus.leader_address

    def quorum_contact_s(self) -> float:
        """Return when a quorum last followed this leader, for certain.

        It is the send time of the latest request that a quorum has answered in
        this term. No later leader was elected before then.
        """
        if not self.ready.is_set():
            return float("-inf")
        consensus = self.consensus
        answered_s = {
            voter: peer.answered_s for voter, peer in consensus.peers.items()
        }
        for contact_s in (self.clock(), *sorted(answered_s.values())[::-1]):
            voters = {v for v, at_s in answered_s.items() if at_s >= contact_s}
            if consensus.has_quorum(voters):
                return contact_s
        return float("-inf")

    def restart_announce_wait(self, reason: str) -> None:
        """Give agents time to announce again before VMs count as lost."""
        logs.warning(_log, "announce_wait_restarted", reason=reason)
        self.announce_wait_start_s = self.clock()

    def announce_wait_elapsed(self) -> bool:
        """Return whether VMs that were not announced count as lost."""
        return self.clock() - self.announce_wait_start_s >= ANNOUNCE_WAIT_S

    def close(self) -> None:
        """End leadership because this voter is shutting down."""
        self.closed = True
        self._end_leadership(
            errors.UnavailableError("this voter is shutting down")
        )

    def _end_leadership(self, error: errors.FlamingocleatError) -> None:
        self.ready.clear()
        if self.confirmation is not None:
            self.confirmation.cancel()
            self.confirmation = None
        self.on_lost(error)

    async def _confirm(self, term: int) -> None:
        try:
            await self.consensus.confirm()
        except errors.FlamingocleatError as error:
            logs.info(
                _log, "leadership_not_confirmed", term=term, reason=str(error)
            )
            return
        if self.term == term and not self.closed:
            self.ready.set()
            logs.info(_log, "leader_ready", term=term)
            self.on_ready()
