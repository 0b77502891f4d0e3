"""Graceful shutdown: the request to stop and the calls in flight."""

import asyncio
import collections.abc
import contextlib
import functools
import signal
import threading
import time
import types

from flamingocleat.process import logs

_log = logs.logger("shutdown")


class Shutdown:
    """Tracks calls in flight and signals when the last one has ended.

    Calls may be tracked from any thread. Stop requests and waits must use the
    event loop on which the object was created.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.requested = asyncio.Event()
        self.begun_s: float | None = None
        """When the stop was requested first, in monotonic time. The event loop
        may learn of a signal much later."""
        self.idle = asyncio.Event()
        self.idle.set()
        self.in_flight: set[str] = set()
        self.lock = threading.Lock()
        self.reload: collections.abc.Callable[[], None] | None = None
        self.is_reload_due = False
        """Whether SIGHUP has come before there was anything to reload."""

    def install(self) -> None:
        """Request a stop on SIGTERM and SIGINT, and outlast SIGHUP.

        The handlers stay when the event loop has closed, and do nothing then: a
        loop's own handlers would leave the exit to the signals' defaults. A
        SIGTERM that was held back during the start arrives now.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            self._handle(number, functools.partial(self.request, number.name))
        self._handle(signal.SIGHUP, self._handle_reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGTERM})

    def _handle(
        self,
        number: signal.Signals,
        action: collections.abc.Callable[[], None],
    ) -> None:
        def deliver(_number: int, _frame: types.FrameType | None) -> None:
            if number is not signal.SIGHUP:
                self._record_begin()
            with contextlib.suppress(RuntimeError):
                self.loop.call_soon_threadsafe(action)

        signal.signal(number, deliver)

    def install_reload(
        self, reload: collections.abc.Callable[[], None]
    ) -> None:
        """Call reload on SIGHUP; errors in it are logged.

        If SIGHUP has come since `install`, it is called now.
        """
        self.reload = reload
        if self.is_reload_due:
            self._handle_reload()

    def _handle_reload(self) -> None:
        if self.reload is None:
            self.is_reload_due = True
            return
        try:
            self.reload()
        except Exception as error:
            # The previous settings stay in force.
            logs.error(_log, "reload_failed", reason=repr(error))
        else:
            logs.info(_log, "settings_reloaded")

    def request(self, reason: str) -> None:
        """Request the program to stop."""
        self._record_begin()
        logs.info(_log, "shutdown_requested", reason=reason)
        self.requested.set()

    def _record_begin(self) -> None:
        if self.begun_s is None:
            self.begun_s = time.monotonic()

    @contextlib.contextmanager
    def track_call(self, name: str) -> collections.abc.Iterator[None]:
        """Track a call as in flight; its unique name appears in the log."""
        self.begin_call(name)
        try:
            yield
        finally:
            self.end_call(name)

    def begin_call(self, name: str) -> None:
        """Track a call as in flight until end_call is called."""
        with self.lock:
            self.in_flight.add(name)
        self.loop.call_soon_threadsafe(self._update)

    def end_call(self, name: str) -> None:
        """Stop tracking a call, which has ended."""
        with self.lock:
            self.in_flight.discard(name)
        self.loop.call_soon_threadsafe(self._update)

    async def wait_idle(self) -> None:
        """Wait until no call is in flight; log the calls waited for."""
        self._update()
        with self.lock:
            waiting = sorted(self.in_flight)
        logs.info(
            _log, "drain_started", calls=len(waiting), names=",".join(waiting)
        )
        await self.idle.wait()
        logs.info(_log, "drain_finished")

    def _update(self) -> None:
        with self.lock:
            busy = bool(self.in_flight)
        if busy:
            self.idle.clear()
        else:
            self.idle.set()
