"""Registry of backend servers, built from their announcements.

Decides which lifetime of a server or an address is current.
"""

import collections.abc
import enum

import msgspec

from flamingocleat import ids
from flamingocleat.process import logs

_log = logs.logger("fleet")

WITHDRAWAL_S = 60.0
"""How long a withdrawal is remembered; announcements delayed by a partition may
arrive after the server's end."""
FINAL_SEQUENCE = 2**63 - 1
"""Follows each sequence number of a lifetime that has ended."""


class BackendState(enum.Enum):
    """Whether a backend server accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


class GroupState(enum.Enum):
    """State of a group as one of its members reports it."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class GroupReport(msgspec.Struct, frozen=True):
    """Membership in a group as the member reports it."""

    name: str
    epoch: ids.Epoch
    rank: int
    """Index among the members; 0 is the head."""
    state: GroupState


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """State that a backend server reports of itself."""

    backend: ids.BackendId
    born_ms: int
    """Start of this lifetime as Unix time."""
    sequence: int
    service: ids.ServiceId
    address: str
    data_centre: ids.DataCentreId
    state: BackendState
    slots: int = 1
    domain: str = ""
    staged: tuple[str, ...] = ()
    """Models whose weights are staged in the VM's memory."""
    model: str = ""
    """Model of the group that this server belongs to, if any."""
    group: GroupReport | None = None
    cold_ms: int = 0
    """Remaining time for which the server is cold; 0 if it is not."""

    @property
    def lifetime(self) -> ids.Lifetime:
        """The lifetime of the server that this says something of."""
        return ids.Lifetime(self.backend, self.born_ms)


class VmState(msgspec.Struct, frozen=True, kw_only=True):
    """State that a VM tells when it is asked."""

    born_ms: int = 0
    """Start of its lifetime as Unix time; 0 if it does not say."""
    group: GroupReport | None = None
    orders: int = 0
    """Number of orders that it has accepted in this lifetime."""
    is_told: bool = True
    """False if the VM answers as itself, but does not tell its state."""


class Withdrawal(msgspec.Struct, frozen=True):
    """A backend server drains or has left.

    Its announcements up to this version are outdated, in whatever order they
    arrive and whichever voter leads.
    """

    backend: ids.BackendId
    born_ms: int
    """Start of the lifetime as Unix time; earlier ones have ended."""
    sequence: int
    """FINAL_SEQUENCE if the lifetime itself has ended."""

    @property
    def version(self) -> tuple[int, int]:
        """The version up to which announcements are outdated."""
        return self.born_ms, self.sequence


class Backend(msgspec.Struct):
    """A backend server in its current lifetime.

    A server that restarts begins a new lifetime.
    """

    announcement: Announcement
    """The latest announcement."""
    announced_s: float
    """When it was received."""
    last_model: str = ""
    """Model of its last group, whose weights it can use again quickly."""
    pace: float = 1.0
    """Learned from its groups: expected multiple of the declared times."""
    slow_groups: int = 0
    """Slow groups that it was in since its last group of ordinary pace."""
    slow_group: str = ""
    """The last of these groups."""


class Fleet:
    """All backend servers known to the leader.

    An announcement may arrive late, out of order, or after its sender has
    ended and another lifetime has taken over its address.
    """

    def __init__(self) -> None:
        self.backends: dict[ids.BackendId, Backend] = {}
        self.at_address: dict[str, set[ids.BackendId]] = {}
        """Backend servers that announce an address."""
        self.withdrawals: dict[ids.BackendId, tuple[Withdrawal, float]] = {}
        """The last withdrawal of each server, and when it was received."""
        self.superseded: set[ids.Lifetime] = set()
        """Lifetimes that have ended: a later one took over their address."""
        self.listeners: list[collections.abc.Callable[[], None]] = []

    def announce(self, announcement: Announcement, now_s: float) -> bool:
        """Apply an announcement; return whether it was current."""
        if self._is_withdrawn(announcement):
            self._log(announcement, "announcement_after_withdrawal")
            return False
        known = self.backends.get(announcement.backend)
        if known is not None and _version(announcement) <= _version(
            known.announcement
        ):
            return False
        rivals = [
            self.backends[other]
            for other in self.at_address.get(announcement.address, ())
            if other != announcement.backend
        ]
        if any(
            other.announcement.born_ms > announcement.born_ms
            for other in rivals
        ):
            return False
        for other in rivals:
            ended = other.announcement
            self.withdraw(
                Withdrawal(ended.backend, ended.born_ms, FINAL_SEQUENCE), now_s
            )
            self.superseded.add(ended.lifetime)
        same_lifetime = (
            known is not None
            and known.announcement.born_ms == announcement.born_ms
        )
        if known is None or not same_lifetime:
            self._drop(announcement.backend)
            known = self.backends[announcement.backend] = Backend(
                announcement, now_s
            )
            self.at_address.setdefault(announcement.address, set()).add(
                announcement.backend
            )
        elif known.announcement.address != announcement.address:
            self.at_address[known.announcement.address].discard(
                announcement.backend
            )
            self.at_address.setdefault(announcement.address, set()).add(
                announcement.backend
            )
        before, known.announcement, known.announced_s = (
            known.announcement,
            announcement,
            now_s,
        )
        if announcement.model:
            known.last_model = announcement.model
        if not same_lifetime or _differs_beyond_sequence(before, announcement):
            self._log(
                announcement,
                "backend_changed" if same_lifetime else "backend_new",
            )
            self._notify()
        return True

    def departure(
        self, backend: ids.BackendId, born_ms: int | None, now_ms: int
    ) -> Withdrawal:
        """Return the withdrawal of a server that announces its departure.

        Args:
            backend: The server.
            born_ms: The lifetime that ends. If None, each lifetime that began
                before now ends, also one that is not known here.
            now_ms: Current Unix time.
        """
        known = self.backends.get(backend)
        known_ms = known.announcement.born_ms if known else None
        logs.info(
            _log,
            "backend_left",
            backend=backend,
            born_ms=born_ms,
            known_born_ms=known_ms,
        )
        if born_ms is None:
            born_ms = max(now_ms, known_ms or 0)
        return Withdrawal(backend, born_ms, FINAL_SEQUENCE)

    def withdraw(self, withdrawal: Withdrawal, now_s: float) -> None:
        """Remove the server if it is known by an outdated announcement only."""
        remembered = self.withdrawals.get(withdrawal.backend)
        if remembered and remembered[0].version > withdrawal.version:
            withdrawal = remembered[0]
        self.withdrawals[withdrawal.backend] = withdrawal, now_s
        known = self.backends.get(withdrawal.backend)
        if known and _version(known.announcement) < withdrawal.version:
            self._drop(withdrawal.backend)
            self._notify()

    def _is_withdrawn(self, announcement: Announcement) -> bool:
        remembered = self.withdrawals.get(announcement.backend)
        return (
            remembered is not None
            and _version(announcement) <= remembered[0].version
        )

    def withdrawn(self) -> tuple[ids.BackendId, ...]:
        """Return the servers that drain or have left, and are not back."""
        return tuple(
            backend
            for backend in self.withdrawals
            if backend not in self.backends
            or self.backends[backend].announcement.state
            is BackendState.DRAINING
        )

    def has_ended(self, lifetime: ids.Lifetime) -> bool:
        """Return whether a later lifetime shows that this one has ended.

        It may be one of the same server, or one at its address.
        """
        known = self.backends.get(lifetime.backend)
        return lifetime in self.superseded or (
            known is not None
            and lifetime.is_before(known.announcement.lifetime)
        )

    def forget(self, backend: ids.BackendId, now_s: float) -> None:
        """Remove a backend server that counts as lost.

        It is added again when it next announces itself.
        """
        known = self._drop(backend)
        if known is not None:
            logs.info(
                _log,
                "backend_forgotten",
                backend=backend,
                heard_s=round(now_s - known.announced_s, 3),
            )
            self._notify()

    def expire(self, now_s: float) -> None:
        """Drop withdrawals that are older than any possible delay."""
        self.withdrawals = {
            backend: (withdrawal, received_s)
            for backend, (withdrawal, received_s) in self.withdrawals.items()
            if now_s - received_s < WITHDRAWAL_S
        }

    def clear(self) -> None:
        """Forget everything, at the start of a leader's term."""
        self.backends.clear()
        self.at_address.clear()
        self.withdrawals.clear()
        self.superseded.clear()

    def of_service(self, service: ids.ServiceId) -> list[Backend]:
        """Return the backend servers of a service."""
        return [
            each
            for each in self.backends.values()
            if each.announcement.service == service
        ]

    def subscribe(self, callback: collections.abc.Callable[[], None]) -> None:
        """Register a callback for changes other than of timestamps."""
        self.listeners.append(callback)

    def _log(self, announcement: Announcement, event: str) -> None:
        group = announcement.group
        logs.info(
            _log,
            event,
            backend=announcement.backend,
            born_ms=announcement.born_ms,
            sequence=announcement.sequence,
            service=announcement.service,
            state=announcement.state.value,
            staged=",".join(announcement.staged),
            group=group.name if group else "",
            rank=group.rank if group else "",
            group_state=group.state.value if group else "",
        )

    def _drop(self, backend: ids.BackendId) -> Backend | None:
        known = self.backends.pop(backend, None)
        if known is not None:
            others = self.at_address[known.announcement.address]
            others.discard(backend)
            if not others:
                del self.at_address[known.announcement.address]
        return known

    def _notify(self) -> None:
        for callback in self.listeners:
            callback()


def _version(announcement: Announcement) -> tuple[int, int]:
    return announcement.born_ms, announcement.sequence


def _differs_beyond_sequence(before: Announcement, after: Announcement) -> bool:
    # The cold time is counted down in each announcement.
    cold_ms = after.cold_ms if before.cold_ms and after.cold_ms else None
    before = msgspec.structs.replace(
        before,
        sequence=after.sequence,
        cold_ms=before.cold_ms if cold_ms is None else cold_ms,
    )
    return before != after
