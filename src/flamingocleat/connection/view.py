"""Server side of the entries' Watch streams: sends quorum-confirmed views."""

import asyncio
import collections.abc
import time
import typing

import grpclib
import grpclib.const
import msgspec

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import duplex
from flamingocleat.process import logs
from flamingocleat.version import schema

_log = logs.logger("view")

KEEPALIVE_S = 0.5
COMPARE_DELAY_S = 0.01
"""Notifications within this time share one comparison, since a new leader gets
hundreds of them a second."""
SILENT_AFTER_S = 3.0
"""The stream of an entry that sends no status for this long is ended."""


class Snapshot(msgspec.Struct, frozen=True):
    """State that is sent to all entries; backends are None while unknown."""

    version: ids.ConfigurationVersion
    configuration: schema.Configuration | None
    backends: tuple[messages.BackendView, ...] | None


def backends(
    assignments: collections.abc.Iterable[messages.Assignment],
    agents: collections.abc.Iterable[messages.AgentStatus],
    drained: collections.abc.Container[ids.VmId],
    draining: collections.abc.Container[ids.GroupId],
) -> tuple[messages.BackendView, ...]:
    """Return the backends that entries may route to, in a stable order.

    A group is listed as soon as its lead is live. The lead's load reports say
    whether it serves, since they reach entries sooner than a view.
    """
    usable = {
        status.vm: status
        for status in agents
        if not status.leaving and status.vm not in drained
    }
    groups = [
        _backend_view(
            assignment.group, assignment.service, assignment.fence, status
        )
        for assignment in assignments
        if assignment.group not in draining
        for status in (usable.get(assignment.members[0].vm),)
        if status and status.incarnation == assignment.members[0].incarnation
    ]
    plain = [
        _backend_view(status.vm, status.service, ids.FencingNumber(0), status)
        for status in usable.values()
        if status.kind is messages.BackendKind.PLAIN
    ]
    return tuple(sorted(groups + plain, key=lambda view: view.backend))


def _backend_view(
    backend: str,
    service: ids.ServiceId,
    fence: ids.FencingNumber,
    status: messages.AgentStatus,
) -> messages.BackendView:
    return messages.BackendView(
        backend=backend,
        service=service,
        vm=status.vm,
        incarnation=status.incarnation,
        fence=fence,
        control_address=status.control_address,
        data_address=status.data_address,
        data_centre=status.data_centre,
        kind=status.kind,
    )


class Watch:
    """State of one entry's Watch stream."""

    def __init__(self, status: messages.EntryStatus, now_s: float) -> None:
        self.status = status
        self.heard_s = now_s
        self.round_sequence = 0
        """Last status received before the current round began."""
        self.confirmed_sequence = 0
        """Last status received before the last confirmed round began."""
        self.wakeup = asyncio.Event()
        self.end_error: errors.FlamingocleatError | None = None


class Views:
    """Sends a view on each watch after each quorum round.

    All watches share the rounds. A watch sends a view for a round only if the
    round began after the watch's previous view was sent, so that each view
    proves that a quorum confirmed the leader in between.
    """

    def __init__(
        self,
        admit: collections.abc.Callable[
            [], collections.abc.Coroutine[typing.Any, typing.Any, None]
        ],
        confirm: collections.abc.Callable[[], collections.abc.Awaitable[None]],
        build: collections.abc.Callable[[], Snapshot],
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.admit = admit
        self.confirm = confirm
        self.build = build
        self.clock = clock
        self.watches: dict[ids.EntryId, Watch] = {}
        self.changed = asyncio.Event()
        self.rounds_begun = 0
        self.round_confirmed = 0
        self.snapshot: Snapshot | None = None
        self.comparison_timer: asyncio.TimerHandle | None = None

    async def handle(self, stream: typing.Any) -> None:
        """Handle one Control.Watch stream."""
        watch = None
        try:
            await self.admit()
            status = await _receive(stream)
            if status is None:
                return
            watch = self._open(status)
            await duplex.run_both(
                self._receive_all(stream, watch),
                self._send_all(stream, watch),
            )
        except errors.FlamingocleatError as error:
            raise duplex.grpc_error(error) from error
        finally:
            if watch and self.watches.get(watch.status.entry) is watch:
                del self.watches[watch.status.entry]

    async def run(self) -> None:
        """Run quorum rounds for all watches until cancelled."""
        while True:
            await duplex.wait_event(self.changed, KEEPALIVE_S)
            if self.watches:
                await self._round()

    def notify(self) -> None:
        """Start a round soon if the state to send has changed."""
        if self.comparison_timer is None:
            self.comparison_timer = asyncio.get_running_loop().call_later(
                COMPARE_DELAY_S, self._compare
            )

    def end_all(self, error: errors.FlamingocleatError) -> None:
        """End all watches with an error, as when leadership is lost."""
        for watch in self.watches.values():
            watch.end_error = error
            watch.wakeup.set()
        self.snapshot = None

    def _compare(self) -> None:
        self.comparison_timer = None
        if self.watches and self.build() != self.snapshot:
            self.changed.set()

    async def _round(self) -> None:
        self.rounds_begun += 1
        number = self.rounds_begun
        for watch in self.watches.values():
            watch.round_sequence = watch.status.sequence
        try:
            await self.confirm()
        except errors.FlamingocleatError as error:
            logs.warning(_log, "round_failed", reason=str(error))
            self.end_all(error)
            return
        self.snapshot = self.build()
        self.round_confirmed = number
        for watch in self.watches.values():
            watch.confirmed_sequence = watch.round_sequence
            watch.wakeup.set()

    def _open(self, status: messages.EntryStatus) -> Watch:
        watch = Watch(status, self.clock())
        previous = self.watches.get(status.entry)
        if previous is not None:
            previous.end_error = errors.UnavailableError(
                f"entry {status.entry} has a newer watch"
            )
            previous.wakeup.set()
        self.watches[status.entry] = watch
        logs.info(_log, "entry_announced", entry=status.entry)
        return watch

    async def _receive_all(self, stream: typing.Any, watch: Watch) -> None:
        while True:
            status = await _receive(stream)
            if status is None:
                return
            if status.confirmed_version != watch.status.confirmed_version:
                logs.info(
                    _log,
                    "version_confirmed",
                    entry=status.entry,
                    version=status.confirmed_version,
                )
            watch.status = status
            watch.heard_s = self.clock()

    async def _send_all(self, stream: typing.Any, watch: Watch) -> None:
        sent: messages.ClusterView | None = None
        needed_round = self.rounds_begun + 1
        self.changed.set()
        while True:
            if watch.end_error is not None:
                raise watch.end_error
            if self.round_confirmed < needed_round or self.snapshot is None:
                await watch.wakeup.wait()
                watch.wakeup.clear()
                continue
            snapshot = self.snapshot
            view = messages.ClusterView(
                version=snapshot.version,
                configuration=snapshot.configuration,
                backends=snapshot.backends,
                entry_count=max(1, len(self.watches)),
                echo=watch.confirmed_sequence,
            )
            await stream.send_message(_omit_unchanged(sent, view))
            sent = _merge(sent, view)
            needed_round = self.rounds_begun + 1
            if self.snapshot is not snapshot:
                self.changed.set()


def _omit_unchanged(
    sent: messages.ClusterView | None, view: messages.ClusterView
) -> messages.ClusterView:
    if sent is None:
        return view
    if view.version == sent.version:
        view = msgspec.structs.replace(view, configuration=None)
    if view.backends == sent.backends:
        view = msgspec.structs.replace(view, backends=None)
    return view


def _merge(
    sent: messages.ClusterView | None, view: messages.ClusterView
) -> messages.ClusterView:
    if sent is not None and view.backends is None:
        return msgspec.structs.replace(view, backends=sent.backends)
    return view


async def _receive(stream: typing.Any) -> messages.EntryStatus | None:
    try:
        async with asyncio.timeout(SILENT_AFTER_S):
            return await stream.recv_message()
    except TimeoutError as error:
        raise grpclib.GRPCError(
            grpclib.const.Status.DEADLINE_EXCEEDED,
            f"no status for {SILENT_AFTER_S} s",
        ) from error
