"""An entry's streams to the control leader and to its backend servers."""

import asyncio
import collections
import collections.abc
import threading
import time

import grpclib
import grpclib.client
import grpclib.const
import msgspec

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import channel
from flamingocleat.connection import codec
from flamingocleat.connection import duplex
from flamingocleat.connection import grpc_errors
from flamingocleat.connection import leader
from flamingocleat.process import logs
from flamingocleat.process import settings
from flamingocleat.version import routing
from flamingocleat.version import schema

STATUS_INTERVAL_S = 0.5
CONTROL_SILENCE_S = 1.5
BACKEND_SILENCE_S = 1.0

RECONNECT_PAUSE_S = 0.1
"""Pause after every known address has failed, to avoid a busy loop."""

_log = logs.logger("watch")

STREAM_ERRORS = (
    *grpc_errors.CONNECTION_ERRORS,
    errors.ProtocolError,
    msgspec.MsgspecError,
)


class ControlState(msgspec.Struct, frozen=True):
    """State received from control; replaced as a whole."""

    version: ids.ConfigurationVersion = ids.ConfigurationVersion(0)
    configuration: schema.Configuration | None = None
    backends: tuple[messages.BackendView, ...] = ()
    entry_count: int = 1


class StatusTimes:
    """Send times of the statuses on one stream.

    A view may have been delayed in network buffers or, while this process
    was paused, in kernel buffers. It proves a confirmation only as of the
    time at which the echoed status was sent, since the quorum round began
    after that status had arrived.
    """

    def __init__(self) -> None:
        self.sequence = 0
        self.sent_s: collections.deque[tuple[int, float]] = collections.deque()
        self.periodic_s: collections.deque[float] = collections.deque(maxlen=2)

    def send(self, now_s: float) -> int:
        """Record a status that will be sent now; return its sequence."""
        self.sequence += 1
        self.sent_s.append((self.sequence, now_s))
        if not self.periodic_s or (
            now_s - self.periodic_s[-1] >= STATUS_INTERVAL_S * 0.9
        ):
            self.periodic_s.append(now_s)
        return self.sequence

    def confirmed_s(self, echo: int) -> float:
        """Return the time as of which a view proves confirmation.

        Without an echo this is the send time of the second-to-last periodic
        status, or of the first status for the first view. That bound holds
        after a pause of this process, but not for a view that the network
        delayed.
        """
        if not echo:
            return self.periodic_s[0]
        while self.sent_s and self.sent_s[0][0] < echo:
            self.sent_s.popleft()
        if not self.sent_s or self.sent_s[0][0] != echo:
            raise errors.ProtocolError(f"view echoes unknown status {echo}")
        return self.sent_s[0][1]


class ControlWatcher:
    """Follows the control leader and holds the state received from it.

    `state`, `confirmed_s` and `channel` may be read from any thread.
    """

    def __init__(
        self,
        entry_settings: settings.EntrySettings,
        in_flight: collections.abc.Callable[[], int],
    ) -> None:
        self.settings = entry_settings
        self.in_flight = in_flight
        self.state = ControlState()
        self.confirmed_s = float("-inf")
        self.channel: grpclib.client.Channel | None = None
        """Channel to the leader while its stream is open, else None."""
        self.version_changed = asyncio.Event()
        self.callbacks: list[collections.abc.Callable[[], None]] = []

    def subscribe(self, callback: collections.abc.Callable[[], None]) -> None:
        """Call the callback on the event loop whenever the state changes."""
        self.callbacks.append(callback)

    def stale_reason(self) -> str:
        """Return why new calls must be refused as stale, or an empty string."""
        configuration = self.state.configuration
        if configuration is None:
            return "no configuration has arrived yet"
        policy = configuration.policy
        if policy.stale_configuration is schema.StaleConfiguration.SERVE:
            return ""
        age_s = time.monotonic() - self.confirmed_s
        if age_s <= policy.staleness_limit_s:
            return ""
        return f"the configuration was last confirmed {age_s:.1f} s ago"

    async def run(self) -> None:
        """Follow the leader until the task is cancelled."""
        finder = leader.LeaderFinder(self.settings.control, first=0)
        failed = 0
        while True:
            address = finder.address()
            confirmed_s = self.confirmed_s
            try:
                hint = await duplex.run_in_task(self._follow(address))
            except Exception as error:
                # The entry continues to serve with the state that it has.
                logs.error(
                    _log,
                    "follow_failed",
                    address=address,
                    reason=repr(error),
                )
                hint = ""
            failed = 0 if self.confirmed_s > confirmed_s else failed + 1
            if not failed:
                finder.connected()
            finder.hint = hint
            if failed >= len(self.settings.control):
                failed = 0
                await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _follow(self, address: str) -> str:
        """Follow one voter until it fails; return its leader hint."""
        reason, hint = "stream ended", ""
        grpc_channel = channel.dial(address)
        try:
            await self._watch(grpc_channel)
        except grpclib.GRPCError as error:
            reason = f"{error.status.name} {error.message}"
            hint = leader.hint_of(error)
        except STREAM_ERRORS as error:
            reason = str(error) or type(error).__name__
        finally:
            self.channel = None
            grpc_channel.close()
        logs.info(
            _log, "control_lost", address=address, reason=reason, hint=hint
        )
        return hint

    async def _watch(self, grpc_channel: grpclib.client.Channel) -> None:
        status_times = StatusTimes()
        async with codec.CONTROL_WATCH.open(grpc_channel) as stream:
            async with asyncio.timeout(CONTROL_SILENCE_S):
                await self._send(stream, status_times)
            sender = asyncio.create_task(self._report(stream, status_times))
            try:
                while True:
                    async with asyncio.timeout(CONTROL_SILENCE_S):
                        view = await stream.recv_message()
                        if view is None:
                            await stream.recv_trailing_metadata()
                            return
                    self._apply(view, status_times)
                    self.channel = grpc_channel
            finally:
                sender.cancel()

    async def _report(
        self, stream: grpclib.client.Stream, status_times: StatusTimes
    ) -> None:
        while True:
            await duplex.wait_event(self.version_changed, STATUS_INTERVAL_S)
            await self._send(stream, status_times)

    async def _send(
        self, stream: grpclib.client.Stream, status_times: StatusTimes
    ) -> None:
        self.version_changed.clear()
        sequence = status_times.send(time.monotonic())
        await stream.send_message(
            messages.EntryStatus(
                self.settings.entry,
                self.settings.data_centre,
                self.state.version,
                self.in_flight(),
                sequence,
            )
        )

    def _apply(
        self, view: messages.ClusterView, status_times: StatusTimes
    ) -> None:
        """Apply a view; raise ProtocolError if it is invalid."""
        old = self.state
        if view.version < old.version:
            raise errors.ProtocolError(
                f"version {view.version} is older than {old.version}"
            )
        if view.version > old.version and view.configuration is None:
            raise errors.ProtocolError(
                f"version {view.version} came without a configuration"
            )
        confirmed_s = status_times.confirmed_s(view.echo)
        state = ControlState(
            view.version,
            view.configuration or old.configuration,
            old.backends if view.backends is None else view.backends,
            view.entry_count,
        )
        self.state = state
        self.confirmed_s = max(self.confirmed_s, confirmed_s)
        if state.version > old.version:
            self.version_changed.set()
            logs.info(_log, "configuration_applied", version=state.version)
        if (
            state.version > old.version
            or state.backends != old.backends
            or state.entry_count != old.entry_count
        ):
            for callback in self.callbacks:
                callback()


class WatchedBackend:
    """A backend server of the subset, with its task and last report."""

    def __init__(self, view: messages.BackendView) -> None:
        # It is not used before its first report.
        self.candidate = routing.Candidate(view, suspect=True)
        self.report_s = float("-inf")
        """Monotonic time at which the last report arrived."""
        self.task: asyncio.Task[None] | None = None


class BackendWatcher:
    """Receives load reports from each backend server in the entry's subset.

    There is one task per backend server. The methods `acquire`, `release` and
    `record_*` may be called from any thread; the lock guards the candidates.
    """

    def __init__(
        self, entry_settings: settings.EntrySettings, control: ControlWatcher
    ) -> None:
        self.settings = entry_settings
        self.control = control
        self.lock = threading.Lock()
        self.by_service: dict[ids.ServiceId, tuple[WatchedBackend, ...]] = {}
        self.watched: dict[messages.BackendView, WatchedBackend] = {}
        self.callbacks: list[collections.abc.Callable[[], None]] = []
        control.subscribe(self.update)

    def subscribe(self, callback: collections.abc.Callable[[], None]) -> None:
        """Call the callback on the event loop when slots may have changed."""
        self.callbacks.append(callback)

    def update(self) -> None:
        """Start and stop tasks to match the backends in control's view."""
        state = self.control.state
        groups: dict[ids.ServiceId, dict[str, messages.BackendView]] = {}
        for view in state.backends:
            groups.setdefault(view.service, {})[view.backend] = view
        by_service = {}
        wanted: set[messages.BackendView] = set()
        for service, views in groups.items():
            size = routing.subset_size(
                self.settings.subset_size, len(views), state.entry_count
            )
            names = routing.subset(self.settings.entry, views, size)
            chosen = [views[name] for name in names]
            wanted.update(chosen)
            by_service[service] = tuple(self._start(view) for view in chosen)
        for view in self.watched.keys() - wanted:
            task = self.watched.pop(view).task
            if task is not None:
                task.cancel()
        self.by_service = by_service
        self._notify()

    def slots(self) -> dict[ids.ServiceId, int]:
        """Return the slots per service, extrapolated from the subset."""
        totals: dict[ids.ServiceId, int] = collections.Counter(
            view.service for view in self.control.state.backends
        )
        result = {}
        for service, watched in self.by_service.items():
            known = [
                each.candidate.load.slots
                for each in watched
                if each.report_s > 0 and each.candidate.serving
            ]
            if known:
                mean = sum(known) / len(known)
                result[service] = round(mean * totals[service])
        return result

    def acquire(
        self, service: ids.ServiceId, call: routing.Call
    ) -> routing.Candidate | None:
        """Choose a backend server and increment its calls in flight."""
        now_s = time.monotonic()
        # Checks the age of the report in addition to the suspect flag, which
        # the task has not yet set when this process resumes after a pause.
        usable = [
            watched.candidate
            for watched in self.by_service.get(service, ())
            if now_s - watched.report_s <= BACKEND_SILENCE_S
        ]
        with self.lock:
            chosen = routing.choose(
                self.settings.routing_policy, call, usable, now_s
            )
            if chosen is not None:
                chosen.in_flight += 1
            return chosen

    def release(self, candidate: routing.Candidate) -> None:
        """Decrement the calls in flight at a backend server."""
        with self.lock:
            candidate.in_flight -= 1

    def record_connect_failure(self, candidate: routing.Candidate) -> None:
        """Avoid a backend server until its next report arrives."""
        with self.lock:
            candidate.suspect = True

    def record_first_token(
        self, candidate: routing.Candidate, seconds: float
    ) -> None:
        """Record the time to a stream's first events."""
        with self.lock:
            candidate.record_first_token(seconds, time.monotonic())

    def _start(self, view: messages.BackendView) -> WatchedBackend:
        if view not in self.watched:
            watched = self.watched[view] = WatchedBackend(view)
            watched.task = asyncio.create_task(self._watch(watched))
        return self.watched[view]

    def _notify(self) -> None:
        for callback in self.callbacks:
            callback()

    async def _watch(self, watched: WatchedBackend) -> None:
        """Receive load reports until the task is cancelled."""
        while True:
            reported_s = watched.report_s
            try:
                await duplex.run_in_task(self._receive(watched))
                reason = "stream ended"
            except STREAM_ERRORS as error:
                reason = str(error) or type(error).__name__
            with self.lock:
                was_usable = not watched.candidate.suspect
                watched.candidate.suspect = True
            if was_usable:
                logs.info(
                    _log,
                    "backend_suspect",
                    backend=watched.candidate.view.backend,
                    reason=reason,
                )
            if watched.report_s == reported_s:
                await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _receive(self, watched: WatchedBackend) -> None:
        candidate = watched.candidate
        grpc_channel = channel.dial(candidate.view.control_address)
        try:
            async with codec.BACKEND_WATCH.open(grpc_channel) as stream:
                async with asyncio.timeout(BACKEND_SILENCE_S):
                    await stream.send_message(
                        messages.BackendWatch(self.settings.entry), end=True
                    )
                while True:
                    async with asyncio.timeout(BACKEND_SILENCE_S):
                        report = await stream.recv_message()
                        if report is None:
                            await stream.recv_trailing_metadata()
                            return
                    self._record(watched, report)
        finally:
            grpc_channel.close()

    def _record(
        self, watched: WatchedBackend, report: messages.LoadReport
    ) -> None:
        now_s = time.monotonic()
        candidate = watched.candidate
        before = candidate.load.slots, candidate.serving, watched.report_s > 0
        with self.lock:
            candidate.record_report(report, now_s)
            watched.report_s = now_s
        if before != (candidate.load.slots, candidate.serving, True):
            self._notify()
