"""The agent's connection to its backend server: load, orders, cache.

One thread polls the backend server, since urllib3 blocks. It passes what
it saw to the loop.
"""

import asyncio
import collections.abc
import threading
import time
import typing

import msgspec
import urllib3
import urllib3.exceptions

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.process import logs
from flamingocleat.process import settings

_log = logs.logger("backend")

POLL_INTERVAL_S = 0.25
_TIMEOUT_S = 1.0
"""A backend server that takes longer to answer a poll counts as down."""
_ORDER_RETRY_S = 1.0
_EVENTS_KEPT = 4096
"""Cache events kept for entries; one that is further behind gets all."""

_STATUS_PATHS = {
    messages.BackendKind.ENGINE: "/-/status",
    messages.BackendKind.PLAIN: "/-/load",
}


class Order(msgspec.Struct, frozen=True):
    """What the engine shall have loaded, and under which fencing number.

    The fencing number is 0 for a preload of a spare.
    """

    fence: ids.FencingNumber
    model: str
    version: str

    @property
    def name(self) -> str:
        """Return model@version."""
        return f"{self.model}@{self.version}"


class Status(msgspec.Struct, frozen=True):
    """Answer of a backend server to a poll; a plain service has no models."""

    running: int = 0
    waiting: int = 0
    slots: int = 1
    age_ms: int = 0
    loaded: tuple[str, ...] = ()


class _Event(msgspec.Struct, frozen=True):
    sequence: int
    prefix: str
    present: bool


class _Events(msgspec.Struct, frozen=True):
    events: tuple[_Event, ...]


class _Cache(msgspec.Struct, frozen=True):
    sequence: int
    prefixes: tuple[str, ...]


class Mirror:
    """Copy of the engine's prefix cache, and the events that led to it."""

    def __init__(self) -> None:
        self.prefixes: set[bytes] = set()
        self.sequence = 0
        self.start = 0
        """Sequence number after which all events are kept."""
        self.events: collections.deque[messages.CacheEvent] = collections.deque(
            maxlen=_EVENTS_KEPT
        )

    def apply(self, event: messages.CacheEvent) -> bool:
        """Apply the next event; False if one before it is missing."""
        if event.sequence != self.sequence + 1:
            return False
        self.sequence = event.sequence
        if len(self.events) == self.events.maxlen:
            self.start = self.events[0].sequence
        self.events.append(event)
        if event.present:
            self.prefixes.add(event.prefix)
        else:
            self.prefixes.discard(event.prefix)
        return True

    def replace(self, sequence: int, prefixes: set[bytes]) -> None:
        """Take a whole copy after a gap."""
        self.prefixes = prefixes
        self.sequence = self.start = sequence
        self.events.clear()

    def since(
        self, sequence: int | None
    ) -> tuple[bool, tuple[messages.CacheEvent, ...]]:
        """Return events after sequence; True if they are the whole cache."""
        if sequence is not None and self.start <= sequence <= self.sequence:
            newer = (e for e in self.events if e.sequence > sequence)
            return False, tuple(newer)
        whole = (
            messages.CacheEvent(self.sequence, prefix, True)
            for prefix in self.prefixes
        )
        return True, tuple(whole)


class Backend:
    """Polls the backend server and gives it orders.

    The attributes are written on the loop and may be read there.
    """

    def __init__(
        self,
        agent: settings.AgentSettings,
        changed: collections.abc.Callable[[], None],
    ) -> None:
        self.kind = agent.kind
        self.loop = asyncio.get_running_loop()
        self.changed = changed
        self.status = Status()
        self.status_s = float("-inf")
        self.up = False
        self.mirror = Mirror()
        self.accepted: Order | None = None
        """The order that the engine took last, while it is up."""
        self.order_error = ""
        self.order: Order | None = None
        self.fence = ids.FencingNumber(0)
        """Highest fencing number of an order, also for engines that ignore
        it."""
        self.tried: Order | None = None
        self.tried_s = float("-inf")
        self.pool = urllib3.connection_from_url(
            agent.backend_url, maxsize=1, retries=False, timeout=_TIMEOUT_S
        )
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self._run, name="backend", daemon=True
        )

    def start(self) -> None:
        """Start polling."""
        self.thread.start()

    def stop(self) -> None:
        """Stop polling after the poll that is under way."""
        self.stopped.set()

    def want(self, order: Order | None) -> None:
        """Set what shall be loaded, unless its fencing number is old."""
        if order is not None and order.fence < self.fence:
            return
        if order is not None:
            self.fence = order.fence
        self.order = order

    def has(self, order: Order) -> bool:
        """Return whether the engine took this order and has its model."""
        return (
            self.up
            and self.accepted == order
            and order.name in self.status.loaded
        )

    def load(self) -> messages.Load:
        """Return the load with the age that it has now."""
        since = time.monotonic() - self.status_s
        age_ms = int(since * 1000) if self.status_s > 0 else 0
        return messages.Load(
            running=self.status.running,
            waiting=self.status.waiting,
            slots=self.status.slots,
            age_ms=self.status.age_ms + age_ms,
        )

    def _run(self) -> None:
        while not self.stopped.wait(POLL_INTERVAL_S):
            try:
                self._poll()
            except (
                urllib3.exceptions.HTTPError,
                msgspec.MsgspecError,
                OSError,
                ValueError,
            ) as error:
                self._post(self._note_down, repr(error))

    def _post(
        self, function: collections.abc.Callable[..., None], *values: object
    ) -> None:
        try:
            self.loop.call_soon_threadsafe(function, *values)
        except RuntimeError:  # The loop is closed: the process stops.
            self.stopped.set()

    def _poll(self) -> None:
        asked = time.monotonic()
        reply = self._get(_STATUS_PATHS[self.kind])
        if self.kind is messages.BackendKind.PLAIN and reply.status == 404:
            self._post(self._note_status, Status(), asked)
            return
        status = msgspec.json.decode(self._body(reply), type=Status)
        self._post(self._note_status, status, asked)
        if self.kind is messages.BackendKind.ENGINE:
            self._give_order(status)
            self._poll_cache()

    def _give_order(self, status: Status) -> None:
        order = self.order
        if order is None or (
            order == self.accepted and order.name in status.loaded
        ):
            return
        now = time.monotonic()
        if order == self.tried and now - self.tried_s < _ORDER_RETRY_S:
            return
        self.tried, self.tried_s = order, now
        fields: dict[str, typing.Any] = {
            "order": "load",
            "model": order.model,
            "version": order.version,
        }
        if order.fence:
            fields["fence"] = order.fence
        reply = self.pool.request("POST", "/-/orders", json=fields)
        error = (
            "" if reply.status == 202 else reply.data.decode(errors="replace")
        )
        self._post(self._note_order, order, error)

    def _poll_cache(self) -> None:
        reply = self._get(f"/-/events?after={self.mirror.sequence}")
        events = msgspec.json.decode(self._body(reply), type=_Events).events
        expected = self.mirror.sequence
        for event in events:
            expected += 1
            if event.sequence != expected:
                self._post(self._note_cache, self._read_cache())
                return
        if events:
            self._post(self._note_events, events)

    def _read_cache(self) -> _Cache:
        body = self._body(self._get("/-/cache"))
        return msgspec.json.decode(body, type=_Cache)

    def _get(self, path: str) -> urllib3.BaseHTTPResponse:
        return self.pool.request("GET", path)

    def _body(self, reply: urllib3.BaseHTTPResponse) -> bytes:
        if reply.status != 200:
            raise ValueError(f"status {reply.status}")
        return reply.data

    def _note_status(self, status: Status, asked_s: float) -> None:
        changed = not self.up or status.loaded != self.status.loaded
        self.status = status
        self.status_s = asked_s
        self.up = True
        if changed:
            logs.info(_log, "backend_status", loaded=",".join(status.loaded))
            self.changed()

    def _note_down(self, reason: str) -> None:
        if not self.up:
            return
        logs.warning(_log, "backend_down", reason=reason)
        self.up = False
        self.accepted = None
        self.changed()

    def _note_order(self, order: Order, error: str) -> None:
        if error:
            if error != self.order_error:
                logs.warning(
                    _log,
                    "order_refused",
                    model=order.name,
                    fence=order.fence,
                    reason=error,
                )
            self.accepted = None
        else:
            self.accepted = order
        self.order_error = error
        self.changed()

    def _note_events(self, events: tuple[_Event, ...]) -> None:
        for event in events:
            self.mirror.apply(
                messages.CacheEvent(
                    event.sequence, bytes.fromhex(event.prefix), event.present
                )
            )

    def _note_cache(self, cache: _Cache) -> None:
        prefixes = {bytes.fromhex(prefix) for prefix in cache.prefixes}
        self.mirror.replace(cache.sequence, prefixes)
