"""The agent's final check before a call runs."""

import collections.abc
import enum
import threading
import time
import uuid

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import heartbeat

KEY_WINDOW_S = 24 * 3600.0
_FUTURE_S = 300.0
"""Tolerance for clock skew: how far in the future a key's time may lie."""
_RETENTION_S = KEY_WINDOW_S + 3 * _FUTURE_S
"""Permits are remembered until their keys are refused for their age. A key
may lie in the future by _FUTURE_S, and the clocks of control and agent may
differ by as much."""
MAX_PERMITS = 100_000
"""Bound on the used permits that are remembered. None is evicted to make room;
calls with new permits are refused instead. Voiding may use as much room again,
so that such a refusal can still be reported as "not run"."""

_UUID_VERSION = 7


class Outcome(enum.Enum):
    """Whether a call ran, as the agent reports it to the entry."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusedError(errors.FlamingocleatError):
    """A call was refused or failed; `status` is the HTTP status."""

    def __init__(self, status: int, reason: str, outcome: Outcome) -> None:
        super().__init__(reason)
        self.status = status
        self.outcome = outcome


class PermitUsedError(RefusedError):
    """The permit was used before, so that its call may have run."""

    def __init__(self) -> None:
        super().__init__(409, "permit was used before", Outcome.UNKNOWN)


def _not_run(status: int, reason: str) -> RefusedError:
    return RefusedError(status, reason, Outcome.NOT_RUN)


def key_time_s(key: str) -> float:
    """Return the creation time in a UUIDv7 key, in seconds since 1970."""
    try:
        value = uuid.UUID(key)
    except ValueError as error:
        raise _not_run(400, f"key {key!r} is no UUID") from error
    if value.version != _UUID_VERSION:
        raise _not_run(400, f"key {key!r} is no UUIDv7")
    return (value.int >> 80) / 1000


class Permits:
    """Permits used or voided in this incarnation; thread-safe."""

    def __init__(self, clock: heartbeat.Clock, limit: int) -> None:
        self.clock = clock
        self.limit = limit
        self.used: dict[ids.PermitId, float] = {}
        self.voided: dict[ids.PermitId, float] = {}
        self.lock = threading.Lock()

    def use(self, permit: ids.PermitId) -> None:
        """Mark a permit as used, or raise RefusedError."""
        with self.lock:
            if permit in self.used:
                raise PermitUsedError
            if permit in self.voided:
                raise _not_run(409, "permit is void")
            if self._size() >= self.limit:
                raise _not_run(503, "too many permits are remembered")
            self.used[permit] = self.clock()

    def void(self, permit: ids.PermitId) -> messages.PermitState:
        """Void a permit unless it was used."""
        with self.lock:
            if permit in self.used:
                return messages.PermitState.USED
            if permit in self.voided:
                return messages.PermitState.VOIDED
            if self._size() >= 2 * self.limit:
                return messages.PermitState.UNUSED
            self.voided[permit] = self.clock()
            return messages.PermitState.VOIDED

    def _size(self) -> int:
        oldest = self.clock() - _RETENTION_S
        for permits in (self.used, self.voided):
            while permits:
                first = next(iter(permits))
                if permits[first] > oldest:
                    break
                del permits[first]
        return len(self.used) + len(self.voided)


class Gate:
    """Decides whether a call may run here and now; thread-safe.

    An engine's agent accepts calls only while it leads a group whose members
    are all ready and none of them is leaving.
    """

    def __init__(
        self,
        kind: messages.BackendKind,
        membership: heartbeat.GroupMembership,
        wall_clock: collections.abc.Callable[[], float] = time.time,
        limit: int = MAX_PERMITS,
    ) -> None:
        self.kind = kind
        self.membership = membership
        self.lead: heartbeat.Lead | None = None
        self.wall_clock = wall_clock
        self.permits = Permits(membership.clock, limit)

    def check(
        self, fence: ids.FencingNumber, incarnation: ids.Incarnation
    ) -> None:
        """Raise RefusedError unless a call with these identifiers may run."""
        member = self.membership
        if incarnation != member.incarnation:
            raise _not_run(409, "call is for another incarnation")
        if fence != member.fence:
            raise _not_run(
                409, f"call has fencing number {fence}, not {member.fence}"
            )
        if member.leaving:
            raise _not_run(503, "agent is leaving")
        if self.kind is messages.BackendKind.PLAIN:
            return
        lead = self.lead
        if lead is None or lead.assignment is not member.assignment:
            raise _not_run(409, "agent does not lead a group")
        if member.state() is not messages.MemberState.READY:
            raise _not_run(503, f"agent is {member.state().value}")
        if not lead.may_take_calls():
            raise _not_run(503, "a member of the group is missing or leaves")

    def may_continue(self, fence: ids.FencingNumber) -> bool:
        """Return whether a call in flight may continue."""
        if self.kind is messages.BackendKind.PLAIN:
            return True
        return fence == self.membership.fence and self.leads_complete_group()

    def leads_complete_group(self) -> bool:
        """Return whether this VM leads a group with no member missing."""
        lead = self.lead
        return (
            lead is not None
            and lead.assignment is self.membership.assignment
            and self.membership.state() in heartbeat.LOADED_STATES
            and lead.members_fresh()
        )

    def use(self, permit: ids.PermitId, key: str) -> None:
        """Use the permit of a non-repeatable call, or raise RefusedError.

        A key outside its window is refused, since its permit may already
        have been forgotten.
        """
        age_s = self.wall_clock() - key_time_s(key)
        if age_s > KEY_WINDOW_S + _FUTURE_S:
            raise _not_run(400, "key is older than its window")
        if age_s < -2 * _FUTURE_S:
            raise _not_run(400, "key is from the future")
        self.permits.use(permit)

    def void(
        self, permit: ids.PermitId, incarnation: ids.Incarnation
    ) -> messages.PermitState:
        """Void a permit of this incarnation unless it was used."""
        if incarnation != self.membership.incarnation:
            return messages.PermitState.FOREIGN
        return self.permits.void(permit)

    def outcome_after_refusal(self, permit: ids.PermitId) -> Outcome:
        """Return the outcome to report for a call refused before sending it.

        The permit is voided first: once the entry learns "not run" it may
        cancel the key, so no copy of the call may run afterwards.
        """
        if self.permits.void(permit) is messages.PermitState.VOIDED:
            return Outcome.NOT_RUN
        return Outcome.UNKNOWN
