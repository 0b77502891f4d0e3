"""Streams of views and reports between the leader and each gateway.

Both ends of a stream send on every change and also at an interval that grows
with the number of gateways. A stream that is silent for several intervals is
dropped and reopened, since a connection may go silent without an error. In a
large region each gateway receives only a subset of the heads, and after that
only changes, so that neither its own work nor the leader's work for it grows
with the region.
"""

import asyncio
import collections.abc
import itertools
import time
import typing

import grpclib
import grpclib.client
import msgspec

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import channel
from flamingocleat.connection import codec
from flamingocleat.connection import duplex
from flamingocleat.connection import grpc_errors
from flamingocleat.connection import leader
from flamingocleat.connection import packing
from flamingocleat.process import logs
from flamingocleat.request import fair_order
from flamingocleat.version import catalog as catalog_module
from flamingocleat.version import crashes as crashes_module
from flamingocleat.version import routing

_log = logs.logger("feed")

INTERVAL_S = 0.2
"""Interval of reports and views, and so the age of other gateways' loads."""
SILENCE_INTERVALS = 4.5
"""A stream without a message for this many intervals is dropped."""
FULL_RATE_GATEWAYS = 40
"""Up to this many gateways the interval is INTERVAL_S; with more it grows in
proportion, so that the leader handles at most about 400 messages/s."""
MAX_INTERVAL_S = 0.6
"""Upper bound: requests last about 1 s, so an older load is of little use."""
COALESCE_S = 0.01
"""Changes within this time are sent in one message."""
COALESCE_FRACTION = 0.25
"""Replaces COALESCE_S by this fraction of the interval with many gateways."""
MIN_SUBSET_SIZE = 16
"""Minimum number of heads of one model, or of plain servers of one service,
that a gateway receives. The least loaded of this many is hardly busier than
the least loaded of all."""
SEARCH_STEP_S = 0.05
"""Interval of the check whether another voter should be tried."""

STREAM_ERRORS = (
    *grpc_errors.CONNECTION_ERRORS,
    errors.ProtocolError,
    msgspec.MsgspecError,
)


class FleetState(msgspec.Struct, frozen=True):
    """The part of the leader's state that gateways need."""

    term: int
    catalog: catalog_module.Catalog | None = None
    backends: tuple[messages.ServedBackend, ...] | None = None
    settled: bool = True
    """False until all backend servers have announced themselves to a new
    leader."""
    voters: tuple[str, ...] = ()
    withdrawn: tuple[ids.BackendId, ...] = ()
    """Servers that drain or have left, until the state is settled."""
    evacuated: tuple[messages.EvacuatedDataCentre, ...] = ()

    @property
    def evacuation_key(self) -> tuple[tuple[ids.DataCentreId, bool], ...]:
        """What of the evacuations a gateway must learn of at once."""
        return tuple(
            (each.data_centre, each.hand_over_ms > 0) for each in self.evacuated
        )


_BackendMap = dict[ids.BackendId, messages.ServedBackend]


def interval_s(gateways: int) -> float:
    """Return the message interval for a number of gateways."""
    scale = max(1.0, gateways / FULL_RATE_GATEWAYS)
    return min(MAX_INTERVAL_S, INTERVAL_S * scale)


def silence_s(gateways: int) -> float:
    """Return the silence after which a stream is dropped."""
    return interval_s(gateways) * SILENCE_INTERVALS


class _Subscription:
    """The leader's state for one gateway's stream."""

    def __init__(self, report: messages.GatewayReport) -> None:
        self.report = report
        self.changed = asyncio.Event()
        self.changed.set()
        self.sent_version = -1
        self.sent: _BackendMap | None = None
        """Servers in the list that was last sent to the gateway."""
        self.assigned: _BackendMap | None = None
        """Servers that the gateway should use, computed for assigned_key."""
        self.assigned_key: tuple[_BackendIndex, int] | None = None
        self.sent_settled = False
        self.sent_withdrawn: tuple[ids.BackendId, ...] = ()
        self.sent_evacuations: tuple[tuple[ids.DataCentreId, bool], ...] = ()
        self.sent_crashes = 0
        """Version of the evidence on ends of heads that was last sent."""
        self.sent_s = float("-inf")
        self.task: asyncio.Task[None] | None = None


class Publisher:
    """The leader's side of the streams to all gateways."""

    def __init__(
        self,
        admit: collections.abc.Callable[[], collections.abc.Awaitable[None]],
        fleet_state: collections.abc.Callable[[], FleetState],
        on_report: collections.abc.Callable[[messages.GatewayReport], None],
    ) -> None:
        self.admit = admit
        self.fleet_state = fleet_state
        self.on_report = on_report
        self.subscriptions: dict[ids.EntryId, _Subscription] = {}
        self.totals: dict[ids.BackendId, tuple[int, int]] = {}
        """Requests in flight and unread tokens per head, over all gateways."""
        self.waiting = fair_order.WaitingTotals()
        self.crashes = crashes_module.CrashRecord()
        """Ends of heads, as reported by all gateways."""
        self.crashes.subscribe(self.notify)
        self.take_grants: collections.abc.Callable[
            [ids.EntryId, float], tuple[int, tuple[messages.ColdGrant, ...]]
        ] = lambda _gateway, _now_s: (0, ())
        """Returns the echo and the grants of a gateway's next view."""
        self.index: _BackendIndex | None = None
        self.packed_catalog: tuple[int, bytes] = (-1, b"")
        """Version of a catalog, and the catalog as gateways receive it."""

    def in_flight(self) -> dict[ids.BackendId, int]:
        """Return the requests in flight at each head, over all gateways."""
        return {
            backend: in_flight
            for backend, (in_flight, _) in self.totals.items()
        }

    def notify(self) -> None:
        """Send pending changes to all gateways."""
        for subscription in self.subscriptions.values():
            subscription.changed.set()

    def notify_gateway(self, gateway: ids.EntryId) -> None:
        """Send pending changes to one gateway."""
        if gateway in self.subscriptions:
            self.subscriptions[gateway].changed.set()

    def end_all(self) -> None:
        """End all streams, because another voter leads."""
        for subscription in self.subscriptions.values():
            if subscription.task is not None:
                subscription.task.cancel()

    async def handle(self, stream: typing.Any) -> None:
        """Serve one gateway until it disconnects or falls silent."""
        try:
            await self.admit()
        except errors.FlamingocleatError as error:
            raise duplex.grpc_error(error) from error
        async with asyncio.timeout(self._silence_s()):
            first = await stream.recv_message()
        if first is None:
            return
        first = packing.unpack_report(first)
        subscription = _Subscription(first)
        old = self.subscriptions.get(first.gateway)
        if old is not None:
            self._count(old.report, -1)
            if old.task is not None:
                old.task.cancel()
        self.subscriptions[first.gateway] = subscription
        self._count(first, 1)
        self._handle_report(first)
        logs.info(_log, "gateway_connected", gateway=first.gateway)
        reason = "stream ended"
        try:
            subscription.task = asyncio.current_task()
            await duplex.run_both(
                self._receive(stream, subscription),
                self._send(stream, subscription),
            )
        except (*STREAM_ERRORS, asyncio.CancelledError) as error:
            reason = repr(error)
            raise
        finally:
            if self.subscriptions.get(first.gateway) is subscription:
                del self.subscriptions[first.gateway]
                self._count(subscription.report, -1)
            logs.info(
                _log, "gateway_lost", gateway=first.gateway, reason=reason
            )

    async def _receive(
        self, stream: typing.Any, subscription: _Subscription
    ) -> None:
        while True:
            async with asyncio.timeout(self._silence_s()):
                report = await stream.recv_message()
            if report is None:
                return
            report = packing.unpack_report(report)
            if self.subscriptions.get(report.gateway) is subscription:
                self._count(subscription.report, -1)
                self._count(report, 1)
            subscription.report = report
            self._handle_report(report)

    def _handle_report(self, report: messages.GatewayReport) -> None:
        if report.crashes is not None:
            self.crashes.merge(report.crashes)
        self.on_report(report)

    async def _send(
        self, stream: typing.Any, subscription: _Subscription
    ) -> None:
        while True:
            period_s = interval_s(len(self.subscriptions))
            await duplex.wait_event(subscription.changed, period_s)
            view = self._view(subscription)
            if view is not None:
                if subscription.report.reads_packed:
                    view = self._pack(view)
                await stream.send_message(view)
            await asyncio.sleep(self._coalesce_s())

    def _silence_s(self) -> float:
        return silence_s(len(self.subscriptions))

    def _coalesce_s(self) -> float:
        if len(self.subscriptions) <= FULL_RATE_GATEWAYS:
            return COALESCE_S
        return interval_s(len(self.subscriptions)) * COALESCE_FRACTION

    def _count(self, report: messages.GatewayReport, sign: int) -> None:
        """Add a report to the totals (sign 1) or subtract it (sign -1)."""
        self.waiting.add(report.waiting, sign)
        for head in report.heads:
            in_flight, unread = self.totals.get(head.backend, (0, 0))
            in_flight += sign * head.in_flight
            unread += sign * head.unread_tokens
            if in_flight or unread:
                self.totals[head.backend] = (in_flight, unread)
            else:
                self.totals.pop(head.backend, None)

    def _view(self, subscription: _Subscription) -> messages.GatewayView | None:
        """Return the next view of a gateway, or None if none is due."""
        now_s = time.monotonic()
        state = self.fleet_state()
        version = state.catalog.version if state.catalog else -1
        served = self._assigned(subscription, state)
        difference = _difference(subscription.sent, served)
        has_changes = bool(difference) or (
            (
                version,
                state.settled,
                self.crashes.version,
                state.withdrawn,
                state.evacuation_key,
            )
            != (
                subscription.sent_version,
                subscription.sent_settled,
                subscription.sent_crashes,
                subscription.sent_withdrawn,
                subscription.sent_evacuations,
            )
        )
        due_s = subscription.sent_s + interval_s(len(self.subscriptions))
        echo, grants = self.take_grants(subscription.report.gateway, now_s)
        has_changes = has_changes or bool(grants)
        if not has_changes and now_s < due_s - COALESCE_S:
            return None
        catalog = (
            state.catalog if version != subscription.sent_version else None
        )
        crashes = None
        if subscription.sent_crashes != self.crashes.version:
            subscription.sent_crashes = self.crashes.version
            crashes = self.crashes.evidence()
        subscription.sent_version = version
        subscription.sent_settled = state.settled
        subscription.sent_withdrawn = state.withdrawn
        subscription.sent_evacuations = state.evacuation_key
        subscription.sent_s = now_s
        if served is not None:
            subscription.sent = served
        return messages.GatewayView(
            term=state.term,
            version=version,
            catalog=catalog,
            **difference,
            settled=state.settled,
            load=self._other_load(subscription),
            gateways=len(self.subscriptions),
            voters=state.voters,
            reads_packed=True,
            crashes=crashes,
            withdrawn=state.withdrawn,
            evacuated=state.evacuated,
            grants=grants,
            echo=echo if grants else 0,
            waiting_elsewhere=self.waiting.elsewhere(
                subscription.report.waiting
            ),
        )

    def _pack(self, view: messages.GatewayView) -> messages.GatewayView:
        """Return a view with compressed parts."""
        if view.catalog is not None:
            if self.packed_catalog[0] != view.version:
                self.packed_catalog = (
                    view.version,
                    packing.pack(view.catalog),
                )
            view = msgspec.structs.replace(
                view, catalog=None, packed_catalog=self.packed_catalog[1]
            )
        return packing.pack_view(view)

    def _assigned(
        self, subscription: _Subscription, state: FleetState
    ) -> _BackendMap | None:
        """Return the servers that a gateway should use."""
        if state.backends is None:
            return None
        if self.index is None or self.index.backends is not state.backends:
            self.index = _BackendIndex(state.backends)
        key = (self.index, len(self.subscriptions))
        if subscription.assigned is None or subscription.assigned_key != key:
            subscription.assigned_key = key
            subscription.assigned = self.index.subset(
                subscription.report.gateway, len(self.subscriptions)
            )
        return subscription.assigned

    def _other_load(
        self, subscription: _Subscription
    ) -> tuple[messages.OtherGatewaysLoad, ...]:
        """Return the load of other gateways on a gateway's servers."""
        own = {
            head.backend: (head.in_flight, head.unread_tokens)
            for head in subscription.report.heads
        }
        loads = []
        for backend in subscription.sent or ():
            total = self.totals.get(backend)
            if total is None:
                continue
            own_load = own.get(backend, (0, 0))
            others = (total[0] - own_load[0], total[1] - own_load[1])
            if any(others):
                loads.append(messages.OtherGatewaysLoad(backend, *others))
        return tuple(loads)


class _BackendIndex:
    """Servers by service and model, for choosing each gateway's subset."""

    def __init__(self, backends: tuple[messages.ServedBackend, ...]) -> None:
        self.backends = backends
        by_kind: dict[tuple[str, str], _BackendMap] = {}
        for each in backends:
            kind = (each.service, each.model)
            by_kind.setdefault(kind, {})[each.backend] = each
        self.kinds = [
            (
                served,
                routing.HashRing(served)
                if len(served) > MIN_SUBSET_SIZE
                else None,
            )
            for served in by_kind.values()
        ]

    def subset(self, gateway: ids.EntryId, gateways: int) -> _BackendMap:
        """Return a gateway's servers: all of each kind, or a subset."""
        chosen: _BackendMap = {}
        for served, ring in self.kinds:
            size = routing.subset_size(MIN_SUBSET_SIZE, len(served), gateways)
            if ring is None or size >= len(served):
                chosen.update(served)
                continue
            for backend in ring.subset(gateway, size):
                chosen[ids.BackendId(backend)] = served[ids.BackendId(backend)]
        return chosen


def _difference(
    before: _BackendMap | None, after: _BackendMap | None
) -> dict[str, typing.Any]:
    """Return the fields of a view that turn one list into the other."""
    if after is None or after is before:
        return {}
    if before is None:
        return {"backends": tuple(after.values())}
    changed = tuple(
        each for backend, each in after.items() if before.get(backend) != each
    )
    removed = tuple(backend for backend in before if backend not in after)
    fields: dict[str, typing.Any] = {}
    if changed:
        fields["changed"] = changed
    if removed:
        fields["removed"] = removed
    return fields


class ServedBackends:
    """Servers that the leader of the current stream has listed."""

    def __init__(self) -> None:
        self.backends: _BackendMap = {}
        self.settled = False

    def apply(self, view: messages.GatewayView) -> bool:
        """Apply a view; return whether it changed anything."""
        if view.backends is not None:
            self.backends = {each.backend: each for each in view.backends}
        for each in view.changed:
            self.backends[each.backend] = each
        for backend in view.removed:
            self.backends.pop(backend, None)
        has_changes = bool(
            view.backends is not None or view.changed or view.removed
        ) or (view.settled != self.settled)
        self.settled = view.settled
        return has_changes


class _Attempt:
    """An attempt of a gateway to follow one voter."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reads_packed = False
        """Whether the voter reads compressed reports."""
        self.sent_crashes = -1
        """Version of the own evidence that was last sent on this stream."""
        self.hint = ""
        """The leader that the voter named as the attempt ended."""


class Subscriber:
    """A gateway's side of its stream to the leader."""

    def __init__(
        self,
        seeds: collections.abc.Callable[[], collections.abc.Sequence[str]],
        report: collections.abc.Callable[[int], messages.GatewayReport],
        on_view: collections.abc.Callable[[messages.GatewayView], None],
        crashes: crashes_module.CrashRecord | None = None,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.seeds = seeds
        self.report = report
        self.on_view = on_view
        self.crashes = crashes or crashes_module.CrashRecord()
        self.clock = clock
        self.voters: tuple[str, ...] = ()
        self.heard_s = float("-inf")
        self.gateways = 1
        """Gateways known to the leader, which determine the interval."""
        self.term = 0
        self.search = leader.LeaderSearch()
        self.leading: _Attempt | None = None
        """The attempt that found the leader, while its stream lasts."""
        self.found = asyncio.Event()
        self.sequence = itertools.count(1)
        self.report_now = asyncio.Event()
        """Set to send a report to the leader without delay."""
        self.crashes.subscribe(self._on_crashes)

    async def run(self) -> None:
        """Stay connected to the current leader until cancelled."""
        while True:
            await self._find_and_follow()

    def _on_crashes(self) -> None:
        if self.leading is not None and self._has_unsent_crashes(self.leading):
            self.report_now.set()

    def _has_unsent_crashes(self, attempt: _Attempt) -> bool:
        return (
            bool(self.crashes.crashes)
            and attempt.sent_crashes != self.crashes.own_version
        )

    def _addresses(self) -> list[str]:
        return list(dict.fromkeys((*self.voters, *self.seeds())))

    async def _find_and_follow(self) -> None:
        """Try voters until one leads, and follow it until its stream ends.

        A voter that is silent delays only its own attempt.
        """
        self.leading = None
        self.found.clear()
        attempts: dict[asyncio.Task[None], _Attempt] = {}
        try:
            while self.leading is None:
                address = self.search.next_address(
                    self._addresses(), self.clock()
                )
                if address:
                    attempt = _Attempt(address)
                    task = asyncio.create_task(self._follow_voter(attempt))
                    attempts[task] = attempt
                else:
                    await self._wait_for_progress(attempts)
                for task in [task for task in attempts if task.done()]:
                    self._end(attempts.pop(task))
            for task, attempt in list(attempts.items()):
                if attempt is not self.leading:
                    task.cancel()
            await asyncio.gather(*attempts, return_exceptions=True)
        finally:
            self.leading = None
            for task in attempts:
                task.cancel()
            await asyncio.gather(*attempts, return_exceptions=True)
            for attempt in attempts.values():
                self._end(attempt)

    async def _wait_for_progress(
        self, attempts: collections.abc.Iterable[asyncio.Task[None]]
    ) -> None:
        """Wait until an attempt ends or succeeds, or another may be due."""
        found = asyncio.create_task(self.found.wait())
        try:
            await asyncio.wait(
                {found, *attempts},
                timeout=SEARCH_STEP_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            found.cancel()

    def _end(self, attempt: _Attempt) -> None:
        self.search.end(attempt.address, attempt.hint, self.clock())

    async def _follow_voter(self, attempt: _Attempt) -> None:
        """Follow one voter until it fails; keep its leader hint."""
        reason = "stream ended"
        grpc_channel = channel.dial(attempt.address)
        try:
            await duplex.run_in_task(self._follow(grpc_channel, attempt))
        except grpclib.GRPCError as error:
            reason = f"{error.status.name} {error.message}"
            attempt.hint = leader.hint_of(error)
        except STREAM_ERRORS as error:
            reason = str(error) or type(error).__name__
        except Exception as error:
            # The gateway continues to serve with the view that it has.
            reason = repr(error)
            logs.error(
                _log,
                "feed_failed",
                address=attempt.address,
                reason=reason,
            )
        finally:
            grpc_channel.close()
        logs.info(
            _log,
            "leader_lost" if self.leading is attempt else "leader_not_found",
            address=attempt.address,
            reason=reason,
            hint=attempt.hint,
        )

    async def _follow(
        self, grpc_channel: grpclib.client.Channel, attempt: _Attempt
    ) -> None:
        async with codec.GATEWAY_FEED.open(grpc_channel) as stream:
            async with asyncio.timeout(silence_s(self.gateways)):
                await self._send(stream, attempt)
            await duplex.run_both(
                self._receive(stream, attempt), self._report(stream, attempt)
            )

    async def _receive(self, stream: typing.Any, attempt: _Attempt) -> None:
        while True:
            async with asyncio.timeout(silence_s(self.gateways)):
                view = await stream.recv_message()
                if view is None:
                    await stream.recv_trailing_metadata()
                    return
            view = packing.unpack_view(view)
            self._check_term(view, attempt)
            attempt.reads_packed = view.reads_packed
            self.heard_s = time.monotonic()
            self.gateways = view.gateways
            self.voters = view.voters or self.voters
            if view.crashes is not None:
                self.crashes.merge(view.crashes)
            self.on_view(view)

    def _check_term(
        self, view: messages.GatewayView, attempt: _Attempt
    ) -> None:
        """Follow the voter that sent a view; raise if it is outdated."""
        if view.term < self.term:
            raise errors.ProtocolError(
                f"the leader's term {view.term} is older than {self.term}"
            )
        self.term = view.term
        if self.leading is None:
            self.leading = attempt
            self.found.set()
            logs.info(
                _log, "leader_found", address=attempt.address, term=view.term
            )
        elif self.leading is not attempt:
            raise errors.ProtocolError("another voter has answered first")

    async def _report(self, stream: typing.Any, attempt: _Attempt) -> None:
        while True:
            await duplex.wait_event(self.report_now, interval_s(self.gateways))
            await self._send(stream, attempt)

    async def _send(self, stream: typing.Any, attempt: _Attempt) -> None:
        report = msgspec.structs.replace(
            self.report(next(self.sequence)), reads_packed=True
        )
        if self._has_unsent_crashes(attempt):
            attempt.sent_crashes = self.crashes.own_version
            report = msgspec.structs.replace(
                report, crashes=self.crashes.evidence()
            )
        if attempt.reads_packed:
            report = packing.pack_report(report)
        await stream.send_message(report)
