"""Decides what a server may hold for its callers, without a network.

All connections of a server share three amounts of memory: small requests and
heads, large bodies, and answers that callers have not read. A connection reads
no more bytes than it was given here. When an amount is used up, the connections
that make no progress are ended first. docs/design/callers-memory.md has the
reasons.
"""

import collections
import collections.abc
import enum
import itertools
import time
import typing

import msgspec

DEFAULT_MEMORY_MB = 200.0
"""Memory of a gateway that is assumed if the settings give none."""
DEFAULT_COORDINATOR_MB = 288.0
"""The same of a coordinator."""
DEFAULT_DESCRIPTORS = 4096
"""Descriptors that are assumed if the settings give none."""
GATEWAY_BASE_MB = 60.0
"""Memory of a gateway without callers; 40 MB were measured without a load."""
COORDINATOR_BASE_MB = 200.0
"""Memory of a coordinator without callers. With one configuration of the
largest size 139 MB were measured."""
MIN_AVAILABLE_MB = 16.0
"""Lower bound on the memory for callers, whatever the machine has."""
BODY_FRACTION = 0.35
"""Part of the memory for callers that large bodies may use. What is not given
out is for copies and fragmentation."""
SMALL_FRACTION = 0.1
ANSWER_FRACTION = 0.15
CONNECTION_FRACTION = 0.25
SERVER_ANSWER_FRACTION = 0.1
"""Part of the memory for callers that answers of servers may use while they are
read."""
MIN_SERVER_ANSWER_BYTES = 4_194_304
"""Lower bound on that memory: one answer of the largest size."""
CONNECTION_BYTES = 12_288
"""Memory of a connection beside what it holds: its task, the parser and the
write buffer below its limit."""
OTHER_DESCRIPTORS = 128
"""Descriptors that callers' connections leave unused: listeners, control,
other servers, connections that are being accepted or refused."""
DESCRIPTORS_PER_CONNECTION = 2
"""The caller's connection and the one to the backend server."""
MIN_CONNECTIONS = 8
SIDE_CONNECTIONS = 16
"""Bound on connections to the servers for health and metrics."""
REFUSING_CONNECTIONS = 16
"""Connections above the bound that are open while they are refused."""

SMALL_READ_BYTES = 16_384
"""Bytes that a connection without a reservation reads at once."""
LARGE_READ_BYTES = 65_536
"""The same with a reservation."""
FREE_BODY_BYTES = 65_536
"""Size up to which a body needs no reservation."""
CHECK_INTERVAL_S = 0.5
"""Interval of the checks of progress while room is short."""
MIN_PROGRESS_BYTES = 8_192
"""Bytes by which a large body must grow between two such checks. The time
limit for the largest legal body asks for eight times as much."""
MAX_STRIKES = 2
"""Checks without progress after which a connection is ended."""
SINGLE_BODY_BYTES = 1_048_576
"""Size above which a coordinator handles one document at a time, since a
decoded document takes several times its size."""
ROOM_WAIT_S = 3.0
"""Time for which a large body waits for room."""


class Phase(enum.Enum):
    """What a connection does."""

    REFUSED = "refused"
    """Its refusal was written; what still arrives is discarded."""
    NEW = "new"
    """Nothing has arrived yet."""
    HEAD = "head"
    IDLE = "idle"
    """A request was served; none has begun since."""
    BODY = "body"
    SERVED = "served"


EVICTABLE = (Phase.REFUSED, Phase.NEW, Phase.HEAD, Phase.IDLE)
"""Phases whose connections make way for new ones, first to last."""


MAX_LOOKED_AT = 16
"""Connections of a phase that are looked at for one that makes way."""


class Reason(enum.Enum):
    """Why a connection was refused or ended."""

    CONNECTIONS = "connections"
    ROOM = "room"
    SLOW = "slow"
    UNREAD = "unread"


class Machine(typing.Protocol):
    """Settings of a process that name the limits of its machine."""

    @property
    def memory_mb(self) -> float:
        """Memory in MB; 0 if it is not limited."""

    @property
    def max_descriptors(self) -> int:
        """Number of descriptors; 0 if they are not limited."""


class Settings(msgspec.Struct, frozen=True):
    """Bounds on what callers may use of a process."""

    body_bytes: int = 33_554_432
    small_bytes: int = 8_388_608
    answer_bytes: int = 16_777_216
    server_answer_bytes: int = 16_777_216
    max_connections: int = 1000

    @classmethod
    def for_machine(
        cls, memory_mb: float, descriptors: int, base_mb: float
    ) -> "Settings":
        """Derive the bounds from a machine's; 0 stands for the default."""
        available = 1e6 * max(
            MIN_AVAILABLE_MB, (memory_mb or DEFAULT_MEMORY_MB) - base_mb
        )
        free = (descriptors or DEFAULT_DESCRIPTORS) - OTHER_DESCRIPTORS
        return cls(
            body_bytes=round(available * BODY_FRACTION),
            small_bytes=round(available * SMALL_FRACTION),
            answer_bytes=round(available * ANSWER_FRACTION),
            server_answer_bytes=max(
                MIN_SERVER_ANSWER_BYTES,
                round(available * SERVER_ANSWER_FRACTION),
            ),
            max_connections=max(
                MIN_CONNECTIONS,
                min(
                    free // DESCRIPTORS_PER_CONNECTION,
                    round(available * CONNECTION_FRACTION) // CONNECTION_BYTES,
                ),
            ),
        )

    @classmethod
    def for_gateway(cls, machine: Machine) -> "Settings":
        """Derive a gateway's bounds from the limits of its machine."""
        return cls.for_machine(
            machine.memory_mb, machine.max_descriptors, GATEWAY_BASE_MB
        )

    @classmethod
    def for_coordinator(cls, machine: Machine) -> "Settings":
        """Derive a coordinator's bounds from the limits of its machine."""
        return cls.for_machine(
            machine.memory_mb or DEFAULT_COORDINATOR_MB,
            machine.max_descriptors,
            COORDINATOR_BASE_MB,
        )


SIDE_SETTINGS = Settings(1_048_576, 1_048_576, 4_194_304, SIDE_CONNECTIONS)
"""Bounds of the servers for health and metrics."""


class Peer(typing.Protocol):
    """A connection, as the intake sees it."""

    def resume(self) -> None:
        """Read again, up to what was given."""

    def admit(self) -> None:
        """Go on reading the body that waited for room."""

    def refuse(self, reason: Reason) -> None:
        """Refuse the request that is being read, and end."""

    def drop(self, reason: Reason) -> None:
        """End at once."""

    def is_in_use(self) -> bool:
        """Return whether a request may wait, or an answer is not sent yet."""

    def count_unread(self) -> None:
        """Call `hold_answer` with what the caller has not read by now."""


class Account:
    """What one connection uses."""

    def __init__(self, peer: Peer) -> None:
        self.peer = peer
        self.phase = Phase.NEW
        self.held = 0
        """Bytes of requests that are buffered."""
        self.reserved = 0
        """Bytes that its large body may use."""
        self.wanted = 0
        """Bytes of a reservation that waits for room."""
        self.given = 0
        """Bytes that it may read although little room is left."""
        self.answer = 0
        """Bytes of answers that the caller has not read."""
        self.moved = 0
        """Bytes that were read or written since the last check."""
        self.strikes = 0
        self.closed = False

    @property
    def small(self) -> int:
        """Bytes that no reservation covers."""
        return max(0, self.held - self.reserved) + self.given


class Intake:
    """The memory that the callers of one server use."""

    def __init__(
        self,
        settings: Settings = Settings(),  # noqa: B008
        on_pressed: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        self.settings = settings
        self.on_pressed = on_pressed
        """Called when checks of progress become necessary."""
        self.phases: dict[Phase, dict[Account, None]] = {
            phase: {} for phase in Phase
        }
        """Accounts by phase, the one that has been in it longest first."""
        self.small_used = 0
        self.body_used = 0
        self.answer_used = 0
        self.queue: dict[Account, None] = {}
        """Accounts whose bodies wait for room, in order."""
        self.paused: dict[Account, None] = {}
        """Accounts that do not read, in order, since no room is left."""
        self.answering: dict[Account, None] = {}
        """Accounts with unread answers, the least recent progress first."""
        self.refused: collections.Counter[Reason] = collections.Counter()
        """Connections that were refused or ended for lack of room."""
        self.is_crowded = False
        """Whether a connection was refused since the last check."""

    @property
    def used(self) -> int:
        """Bytes that callers use, beside their connections."""
        return self.small_used + self.body_used + self.answer_used

    @property
    def connections(self) -> int:
        """Number of connections."""
        return sum(len(accounts) for accounts in self.phases.values())

    @property
    def is_pressed(self) -> bool:
        """Whether connections wait for room."""
        return bool(self.queue or self.paused or self.is_crowded)

    # Connections.

    def open(self, peer: Peer) -> Account | None:
        """Return an account, or None if the connection is to be refused."""
        account = Account(peer)
        if self.connections >= self.settings.max_connections:
            self.is_crowded = True
            self.on_pressed()
            oldest = self._evictable()
            if oldest is None:
                self.refused[Reason.CONNECTIONS] += 1
                return None
            self._drop(oldest, Reason.CONNECTIONS)
        self.phases[Phase.NEW][account] = None
        return account

    def close(self, account: Account) -> None:
        """Release all that a connection uses."""
        if account.closed:
            return
        account.closed = True
        del self.phases[account.phase][account]
        self.answering.pop(account, None)
        self.answer_used -= account.answer
        account.answer = 0
        self.release(account)

    def enter(self, account: Account, phase: Phase) -> None:
        """Record what a connection does from now on."""
        if account.closed or account.phase is phase:
            return
        del self.phases[account.phase][account]
        account.phase = phase
        account.strikes = 0
        self.phases[phase][account] = None

    def _evictable(self) -> Account | None:
        """Return an account whose connection may make way, if one does.

        Those in use are left out.
        """
        for phase in EVICTABLE:
            for account in itertools.islice(self.phases[phase], MAX_LOOKED_AT):
                if phase is Phase.REFUSED or not account.peer.is_in_use():
                    return account
        return None

    def _drop(self, account: Account, reason: Reason) -> None:
        self.refused[reason] += 1
        self.on_pressed()
        self.close(account)
        account.peer.drop(reason)

    # Requests.

    def readable(self, account: Account) -> int:
        """Return how many bytes a connection may read at once now.

        If it is 0, the connection must stop reading until it is resumed.
        """
        if account.reserved > account.held:
            return min(LARGE_READ_BYTES, account.reserved - account.held)
        if account.given:
            return account.given
        # A connection that finds no room cannot avoid reading one byte.
        room = self.settings.small_bytes - self.settings.max_connections
        if self.small_used + SMALL_READ_BYTES <= room:
            return SMALL_READ_BYTES
        self.paused[account] = None
        self.on_pressed()
        return 0

    def received(self, account: Account, count: int) -> None:
        """Count bytes that a connection has read."""
        before = account.small
        account.given = 0
        account.held += count
        account.moved += count
        self.small_used += account.small - before
        if account.phase in (Phase.NEW, Phase.IDLE):
            self.enter(account, Phase.HEAD)

    def reserve(self, account: Account, count: int) -> bool:
        """Reserve room for a body; return False if it has to wait."""
        if account.closed or (not self.queue and self._grant(account, count)):
            return True
        account.wanted = count
        self.queue[account] = None
        self.on_pressed()
        return False

    def set_held(self, account: Account, count: int) -> None:
        """Record what is held after a request was read or answered."""
        if account.closed:
            return
        before = account.small
        reserved = min(account.reserved, count)
        self.body_used -= account.reserved - reserved
        account.reserved, account.held = reserved, count
        self.small_used += account.small - before
        self._serve_waiting()

    def release(self, account: Account) -> None:
        """Release what is held of a request that is not going to be served."""
        self.queue.pop(account, None)
        self.paused.pop(account, None)
        account.wanted = 0
        self.small_used -= account.small
        self.body_used -= account.reserved
        account.given = account.held = account.reserved = 0
        self._serve_waiting()

    def _grant(self, account: Account, count: int) -> bool:
        # A single body is taken even if it is larger than the room.
        fits = self.body_used + count <= self.settings.body_bytes
        if not fits and self.body_used:
            return False
        before = account.small
        account.reserved = count
        account.wanted = account.moved = account.strikes = 0
        self.body_used += count
        self.small_used += account.small - before
        return True

    def _serve_waiting(self) -> None:
        """Give free room to the connections that wait for it."""
        while self.queue:
            account = next(iter(self.queue))
            if not self._grant(account, account.wanted):
                break
            del self.queue[account]
            account.peer.admit()
        room = self.settings.small_bytes - self.settings.max_connections
        while self.paused and self.small_used + SMALL_READ_BYTES <= room:
            account = next(iter(self.paused))
            del self.paused[account]
            account.given = SMALL_READ_BYTES
            self.small_used += SMALL_READ_BYTES
            account.peer.resume()

    # Answers.

    def hold_answer(self, account: Account, count: int) -> None:
        """Count the bytes of answers that a caller has not read.

        If they do not fit, the connections whose callers have read nothing for
        the longest time are ended.
        """
        if account.closed or count == account.answer:
            return
        self.answering.pop(account, None)
        self.answer_used += count - account.answer
        account.moved += max(0, account.answer - count)
        account.answer = count
        if count:
            self.answering[account] = None
        while (
            self.answer_used > self.settings.answer_bytes
            and len(self.answering) > 1
        ):
            self._drop(next(iter(self.answering)), Reason.UNREAD)

    # Progress.

    def check(self) -> None:
        """End connections without progress while others wait for room."""
        self.is_crowded = False
        for account in list(self.answering):
            account.peer.count_unread()
        slow: list[Account] = []
        for phase in (Phase.HEAD, Phase.BODY, Phase.SERVED):
            for account in self.phases[phase]:
                if self._has_stalled(account):
                    slow.append(account)
        for account in slow:
            if account.closed:
                continue
            if account.phase is Phase.SERVED:
                self._drop(account, Reason.UNREAD)
            else:
                self.refused[Reason.SLOW] += 1
                account.strikes = 0
                account.peer.refuse(Reason.SLOW)

    def is_held_up(self, account: Account) -> bool:
        """Return whether a connection reads nothing until there is room."""
        return account in self.queue or account in self.paused

    def _has_stalled(self, account: Account) -> bool:
        waits = self.is_held_up(account)
        asked = MIN_PROGRESS_BYTES if account.reserved else 1
        moves = account.moved >= asked
        account.moved = 0
        if account.phase is Phase.SERVED and not account.answer:
            moves = True
        account.strikes = 0 if waits or moves else account.strikes + 1
        return account.strikes >= MAX_STRIKES


class Report:
    """Limits how often refusals are logged."""

    INTERVAL_S = 1.0

    def __init__(self, intake: Intake) -> None:
        self.intake = intake
        self.logged: collections.Counter[Reason] = collections.Counter()
        self.logged_s = float("-inf")

    @property
    def is_pending(self) -> bool:
        """Whether refusals are not logged yet."""
        return self.logged != self.intake.refused

    def due(self) -> dict[str, int]:
        """Return the refusals since the last report, if one is due."""
        now_s = time.monotonic()
        if now_s < self.logged_s + self.INTERVAL_S:
            return {}
        counts = self.intake.refused - self.logged
        if counts:
            self.logged_s = now_s
            self.logged = self.intake.refused.copy()
        return {reason.value: count for reason, count in counts.items()}
