"""Bounds the bytes of all callers' bodies and answers that an entry holds.

Threads of the HTTP server share the room. A body takes its share before it is
read. While others wait, bodies that do not arrive are ended.
"""

import collections.abc
import socket
import threading
import time

import prometheus_client

from flamingocleat.process import logs
from flamingocleat.request import problem

DEFAULT_MEMORY_MB = 512.0
"""Memory of an entry that is assumed if the settings give none."""
BASE_MEMORY_MB = 64.0
"""Memory of an entry without callers; 56 MB were measured with 640 threads."""
MIN_AVAILABLE_MB = 16.0
ROOM_FRACTION = 0.3
"""Part of the memory for callers that bodies and answers may use. Reading a
body and receiving its answer take up to three times its size for a moment."""
FREE_BYTES = 65_536
"""Size up to which a body or an answer needs no share."""
PIECE_BYTES = 8_192
"""Bytes that are read at once, each of which counts as progress."""
STALL_S = 1.0
"""Time without a piece after which a body is ended while others wait. The
socket's own timeout of 10 s applies in any case."""
WAIT_S = 3.0
"""Time for which a body waits for room."""
CHECK_INTERVAL_S = 0.25
CHUNKED_FACTOR = 2
"""A body in chunks is held twice while it is read."""
LOG_INTERVAL_S = 1.0

_log = logs.logger("intake")

_held_bytes = prometheus_client.Gauge(
    "flamingocleat_entry_held_bytes",
    "Bytes of large bodies and answers for which room is taken",
)
_refused = prometheus_client.Counter(
    "flamingocleat_entry_refused",
    "Requests and connections refused or ended for lack of room",
    ["reason"],
)


class Refusals:
    """Counts refusals, and logs them at most once in an interval."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.unlogged = 0
        self.logged_s = float("-inf")

    def record(self, reason: str, **fields: object) -> None:
        """Count a refusal."""
        _refused.labels(reason=reason).inc()
        now_s = time.monotonic()
        with self.lock:
            self.unlogged += 1
            if now_s < self.logged_s + LOG_INTERVAL_S:
                return
            self.logged_s = now_s
            count, self.unlogged = self.unlogged, 0
        logs.warning(
            _log, "callers_refused", last=reason, count=count, **fields
        )


class Share:
    """The room that one request takes."""

    def __init__(
        self, room: "Room", end: collections.abc.Callable[[int], None]
    ) -> None:
        self.room = room
        self.end = end
        """Shuts the caller's connection down, as `socket.shutdown` does."""
        self.count = 0
        self.is_reading = False
        """Whether its body is being read."""
        self.is_answering = False
        """Whether its answer is being written."""
        self.moved_s = 0.0
        self.is_ended = False
        """Whether it made way for others."""

    def take(self, count: int) -> None:
        """Wait for room for a body; raise the Problem that refuses it."""
        if count > FREE_BYTES:
            self.room.take(self, count)

    def record_progress(self) -> None:
        """Record that a piece was read."""
        self.moved_s = time.monotonic()

    def keep(self, count: int) -> None:
        """Keep only what the whole body takes."""
        self.room.resize(self, count if count > FREE_BYTES else 0)

    def hold_answer(self, count: int) -> None:
        """Take room for an answer, which exists already."""
        if count > FREE_BYTES:
            self.room.add_answer(self, count)

    def release(self) -> None:
        """Give all room back."""
        self.room.resize(self, 0)


class Room:
    """The room that all requests of an entry share."""

    def __init__(self, memory_mb: float, refusals: Refusals) -> None:
        available_mb = (memory_mb or DEFAULT_MEMORY_MB) - BASE_MEMORY_MB
        self.size = round(
            1e6 * ROOM_FRACTION * max(MIN_AVAILABLE_MB, available_mb)
        )
        self.refusals = refusals
        self.used = 0
        self.waiting = 0
        self.shares: dict[Share, None] = {}
        """Shares that take room, the oldest first."""
        self.changed = threading.Condition()
        _held_bytes.set_function(lambda: self.used)

    def open(self, end: collections.abc.Callable[[int], None]) -> Share:
        """Return the share of a new request, which is empty."""
        return Share(self, end)

    def take(self, share: Share, count: int) -> None:
        """Wait for room; raise the Problem that refuses the request."""
        end_s = time.monotonic() + WAIT_S
        with self.changed:
            # A single body is taken even if it is larger than the room.
            while self.used and self.used + count > self.size:
                now_s = time.monotonic()
                if now_s >= end_s:
                    self.refusals.record("room", held_bytes=self.used)
                    raise problem.unavailable("no room for the body")
                self._end_stalled(now_s)
                self.changed.wait(CHECK_INTERVAL_S)
            self.used += count
            share.count = count
            share.is_reading = True
            share.moved_s = time.monotonic()
            self.shares[share] = None

    def resize(self, share: Share, count: int) -> None:
        """Change the room of a request that needs less from now on."""
        with self.changed:
            if count or share.count:
                self.used += count - share.count
                share.count = count
                share.is_reading = False
                if not count:
                    self.shares.pop(share, None)
                self.changed.notify_all()

    def add_answer(self, share: Share, count: int) -> None:
        """Take room for an answer; end the oldest others if there is none."""
        with self.changed:
            self.used += count
            share.count += count
            share.is_answering = True
            self.shares[share] = None
            excess = self.used - self.size
            for other in list(self.shares):
                if excess <= 0:
                    break
                if other is not share and other.is_answering:
                    excess -= other.count
                    self._end(other, "unread", socket.SHUT_RDWR)

    def _end_stalled(self, now_s: float) -> None:
        for share in self.shares:
            if share.is_reading and share.moved_s < now_s - STALL_S:
                # The refusal can still be written.
                self._end(share, "slow", socket.SHUT_RD)

    def _end(self, share: Share, reason: str, how: int) -> None:
        if share.is_ended:
            return
        share.is_ended = True
        self.refusals.record(reason, held_bytes=self.used)
        share.end(how)
