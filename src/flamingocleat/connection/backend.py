"""The agent's connection to its backend server: load, orders and cache.

A thread polls the backend server, since urllib3 blocks, and passes the
results to the event loop.
"""

import asyncio
import collections.abc
import threading
import time
import typing

import msgspec
import urllib3.exceptions

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import bounded
from flamingocleat.process import logs
from flamingocleat.process import settings

_log = logs.logger("backend")

POLL_INTERVAL_S = 0.25
_TIMEOUT_S = 1.0
"""A backend server that takes longer to answer a poll counts as down."""
_ORDER_RETRY_INTERVAL_S = 1.0
_MAX_ANSWER_BYTES = 4_194_304
"""Bounds the list of all prefixes in an engine's cache, the longest answer."""
_MAX_EVENTS = 4096
"""Cache events kept; an entry that is further behind gets the whole cache."""

_STATUS_PATHS = {
    messages.BackendKind.ENGINE: "/-/status",
    messages.BackendKind.PLAIN: "/-/load",
}


class Order(msgspec.Struct, frozen=True):
    """Model that the engine should load, and its fencing number.

    The fencing number is 0 when a spare preloads a model.
    """

    fence: ids.FencingNumber
    model: str
    version: str

    @property
    def name(self) -> str:
        """Return model@version."""
        return f"{self.model}@{self.version}"


class Status(msgspec.Struct, frozen=True):
    """A backend server's answer to a poll; a plain service has no models."""

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


class CacheMirror:
    """Copy of the engine's prefix cache, with the latest events."""

    def __init__(self) -> None:
        self.prefixes: set[bytes] = set()
        self.sequence = 0
        self.start = 0
        """All events after this sequence number are kept."""
        self.events: collections.deque[messages.CacheEvent] = collections.deque(
            maxlen=_MAX_EVENTS
        )

    def apply(self, event: messages.CacheEvent) -> bool:
        """Apply the next event; return False if an earlier one is missing."""
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
        """Replace the whole copy after a gap in the events."""
        self.prefixes = prefixes
        self.sequence = self.start = sequence
        self.events.clear()

    def changes_since(
        self, sequence: int | None
    ) -> tuple[bool, tuple[messages.CacheEvent, ...]]:
        """Return the events after a sequence number.

        The flag is True if the events are the whole cache instead, because
        sequence is None or some events after it are no longer kept.
        """
        if sequence is not None and self.start <= sequence <= self.sequence:
            newer = (e for e in self.events if e.sequence > sequence)
            return False, tuple(newer)
        whole = (
            messages.CacheEvent(self.sequence, prefix, True)
            for prefix in self.prefixes
        )
        return True, tuple(whole)


class Backend:
    """Polls the backend server and sends it orders.

    The attributes are written on the event loop and may be read there.
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
        self.mirror = CacheMirror()
        self.accepted: Order | None = None
        """Order that the engine accepted last; None while it is down."""
        self.order_error = ""
        self.order: Order | None = None
        self.fence = ids.FencingNumber(0)
        """Highest fencing number of an order, kept also for engines that
        ignore fencing numbers."""
        self.attempted: Order | None = None
        self.attempted_s = float("-inf")
        self.pool = bounded.Pool(
            agent.backend_url, _TIMEOUT_S, _MAX_ANSWER_BYTES
        )
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self._run, name="backend", daemon=True
        )

    def start(self) -> None:
        """Start polling."""
        self.thread.start()

    def stop(self) -> None:
        """Stop polling after the current poll."""
        self.stopped.set()

    def set_order(self, order: Order | None) -> None:
        """Set the order to send, unless its fencing number is outdated."""
        if order is not None and order.fence < self.fence:
            return
        if order is not None:
            self.fence = order.fence
        self.order = order

    def has_loaded(self, order: Order) -> bool:
        """Return whether the engine accepted this order and has its model."""
        return (
            self.up
            and self.accepted == order
            and order.name in self.status.loaded
        )

    def load(self) -> messages.Load:
        """Return the last reported load with its current age."""
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
                self._call_on_loop(self._on_down, repr(error))

    def _call_on_loop(
        self, function: collections.abc.Callable[..., None], *values: object
    ) -> None:
        try:
            self.loop.call_soon_threadsafe(function, *values)
        except RuntimeError:  # The loop is closed, as the process exits.
            self.stopped.set()

    def _poll(self) -> None:
        asked = time.monotonic()
        code, body = self.pool.ask("GET", _STATUS_PATHS[self.kind])
        if self.kind is messages.BackendKind.PLAIN and code == 404:
            self._call_on_loop(self._on_status, Status(), asked)
            return
        status = msgspec.json.decode(_check_status(code, body), type=Status)
        self._call_on_loop(self._on_status, status, asked)
        if self.kind is messages.BackendKind.ENGINE:
            self._send_order(status)
            self._poll_cache()

    def _send_order(self, status: Status) -> None:
        order = self.order
        if order is None or (
            order == self.accepted and order.name in status.loaded
        ):
            return
        now = time.monotonic()
        if (
            order == self.attempted
            and now - self.attempted_s < _ORDER_RETRY_INTERVAL_S
        ):
            return
        self.attempted, self.attempted_s = order, now
        fields: dict[str, typing.Any] = {
            "order": "load",
            "model": order.model,
            "version": order.version,
        }
        if order.fence:
            fields["fence"] = order.fence
        code, body = self.pool.ask("POST", "/-/orders", fields)
        error = "" if code == 202 else body.decode(errors="replace")
        self._call_on_loop(self._on_order_result, order, error)

    def _poll_cache(self) -> None:
        body = self._get(f"/-/events?after={self.mirror.sequence}")
        events = msgspec.json.decode(body, type=_Events).events
        expected = self.mirror.sequence
        for event in events:
            expected += 1
            if event.sequence != expected:
                self._call_on_loop(self._on_cache, self._read_cache())
                return
        if events:
            self._call_on_loop(self._on_events, events)

    def _read_cache(self) -> _Cache:
        return msgspec.json.decode(self._get("/-/cache"), type=_Cache)

    def _get(self, path: str) -> bytes:
        return _check_status(*self.pool.ask("GET", path))

    def _on_status(self, status: Status, asked_s: float) -> None:
        changed = not self.up or status.loaded != self.status.loaded
        self.status = status
        self.status_s = asked_s
        self.up = True
        if changed:
            logs.info(_log, "backend_status", loaded=",".join(status.loaded))
            self.changed()

    def _on_down(self, reason: str) -> None:
        if not self.up:
            return
        logs.warning(_log, "backend_down", reason=reason)
        self.up = False
        self.accepted = None
        self.changed()

    def _on_order_result(self, order: Order, error: str) -> None:
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

    def _on_events(self, events: tuple[_Event, ...]) -> None:
        for event in events:
            self.mirror.apply(
                messages.CacheEvent(
                    event.sequence, bytes.fromhex(event.prefix), event.present
                )
            )

    def _on_cache(self, cache: _Cache) -> None:
        prefixes = {bytes.fromhex(prefix) for prefix in cache.prefixes}
        self.mirror.replace(cache.sequence, prefixes)


def _check_status(status: int, body: bytes) -> bytes:
    """Return the body of an answer; raise ValueError if it is a failure."""
    if status != 200:
        raise ValueError(f"status {status}")
    return body
