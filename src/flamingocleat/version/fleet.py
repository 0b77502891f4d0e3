"""Backend servers that announce themselves, and which lifetime is current."""

import collections.abc
import enum

import msgspec

from flamingocleat import ids
from flamingocleat.process import logs

_log = logs.logger("fleet")

TOMBSTONE_S = 60.0
"""How long a lifetime that has left stays known; announcements that were
delayed by a partition come later than its end."""


class BackendState(enum.Enum):
    """Whether a backend server takes new work."""

    READY = "ready"
    DRAINING = "draining"


class GroupState(enum.Enum):
    """What a member says of its group."""

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
    """Place among the members; 0 is the head."""
    state: GroupState


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """What a backend server says of itself."""

    backend: ids.BackendId
    born_ms: int
    """Start of this lifetime, Unix time."""
    sequence: int
    service: ids.ServiceId
    address: str
    data_centre: ids.DataCentreId
    state: BackendState
    slots: int = 1
    domain: str = ""
    staged: tuple[str, ...] = ()
    """Models whose weights are in the VM's memory."""
    model: str = ""
    """Model of the group that this server belongs to, if any."""
    group: GroupReport | None = None


class Backend(msgspec.Struct):
    """A backend server in its current lifetime."""

    said: Announcement
    heard_s: float
    last_model: str = ""
    """Model of its last group, whose weights it can take up again fast."""


class Fleet:
    """All backend servers known to the leader.

    An announcement may arrive late, out of order, or after its sender has
    ended and another lifetime has taken its address.
    """

    def __init__(self) -> None:
        self.backends: dict[ids.BackendId, Backend] = {}
        self.at_address: dict[str, set[ids.BackendId]] = {}
        """Backend servers that say they are at an address."""
        self.left: dict[tuple[ids.BackendId, int], float] = {}
        self.superseded: set[ids.BackendId] = set()
        """Servers whose address a later lifetime has taken: they have ended."""
        self.changed: list[collections.abc.Callable[[], None]] = []

    def announce(self, said: Announcement, now_s: float) -> bool:
        """Take an announcement; return whether it was current."""
        if (said.backend, said.born_ms) in self.left:
            return False
        known = self.backends.get(said.backend)
        if known is not None and _order(said) <= _order(known.said):
            return False
        rivals = [
            self.backends[other]
            for other in self.at_address.get(said.address, ())
            if other != said.backend
        ]
        if any(other.said.born_ms > said.born_ms for other in rivals):
            return False
        for other in rivals:
            self._remove(other.said, now_s)
            self.superseded.add(other.said.backend)
        same_life = known is not None and known.said.born_ms == said.born_ms
        if known is None or not same_life:
            self._drop(said.backend)
            known = self.backends[said.backend] = Backend(said, now_s)
            self.at_address.setdefault(said.address, set()).add(said.backend)
        elif known.said.address != said.address:
            self.at_address[known.said.address].discard(said.backend)
            self.at_address.setdefault(said.address, set()).add(said.backend)
        before, known.said, known.heard_s = known.said, said, now_s
        if said.model:
            known.last_model = said.model
        if not same_life or _differs(before, said):
            self._log(said, "backend_changed" if same_life else "backend_new")
            self._notify()
        return True

    def leave(
        self, backend: ids.BackendId, born_ms: int | None, now_s: float
    ) -> None:
        """Forget a backend server that says it leaves."""
        known = self.backends.get(backend)
        if known is None:
            if born_ms is not None:
                self.left[backend, born_ms] = now_s
            return
        if born_ms is not None and born_ms < known.said.born_ms:
            return
        self._remove(known.said, now_s)
        self._notify()

    def forget(self, backend: ids.BackendId, now_s: float) -> None:
        """Drop a backend server that counts as lost.

        It is taken back when it announces itself again.
        """
        known = self._drop(backend)
        if known is not None:
            logs.info(
                _log,
                "backend_forgotten",
                backend=backend,
                heard_s=round(now_s - known.heard_s, 3),
            )
            self._notify()

    def expire(self, now_s: float) -> None:
        """Drop tombstones that are older than any delay."""
        self.left = {
            life: left_s
            for life, left_s in self.left.items()
            if now_s - left_s < TOMBSTONE_S
        }

    def clear(self) -> None:
        """Forget everything, at the start of a leadership."""
        self.backends.clear()
        self.at_address.clear()
        self.left.clear()
        self.superseded.clear()

    def of_service(self, service: ids.ServiceId) -> list[Backend]:
        """Return the backend servers of a service."""
        return [
            each
            for each in self.backends.values()
            if each.said.service == service
        ]

    def subscribe(self, callback: collections.abc.Callable[[], None]) -> None:
        """Call back when anything but a time has changed."""
        self.changed.append(callback)

    def _log(self, said: Announcement, event: str) -> None:
        group = said.group
        logs.info(
            _log,
            event,
            backend=said.backend,
            born_ms=said.born_ms,
            sequence=said.sequence,
            service=said.service,
            state=said.state.value,
            staged=",".join(said.staged),
            group=group.name if group else "",
            rank=group.rank if group else "",
            group_state=group.state.value if group else "",
        )

    def _drop(self, backend: ids.BackendId) -> Backend | None:
        known = self.backends.pop(backend, None)
        if known is not None:
            others = self.at_address[known.said.address]
            others.discard(backend)
            if not others:
                del self.at_address[known.said.address]
        return known

    def _remove(self, said: Announcement, now_s: float) -> None:
        self._drop(said.backend)
        self.left[said.backend, said.born_ms] = now_s

    def _notify(self) -> None:
        for callback in self.changed:
            callback()


def _order(said: Announcement) -> tuple[int, int]:
    return said.born_ms, said.sequence


def _differs(before: Announcement, after: Announcement) -> bool:
    return msgspec.structs.replace(before, sequence=after.sequence) != after
