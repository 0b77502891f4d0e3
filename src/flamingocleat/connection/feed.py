"""What the leader tells gateways, and what they tell it.

One stream for each gateway. Both ends send when something has changed, and
at an interval that grows with the number of gateways; a stream that is silent
for longer is dropped and dialled anew, since a connection may go silent
without an error. In a large region each gateway is told of a part of the heads
only, and of changes, so that neither its own work nor the leader's work for it
grows with the region.
"""

import asyncio
import collections.abc
import itertools
import time
import typing

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
from flamingocleat.connection import fault
from flamingocleat.process import logs
from flamingocleat.version import catalog as catalog_module
from flamingocleat.version import routing

_log = logs.logger("feed")

INTERVAL_S = 0.2
"""Between reports and between views; loads of other gateways are this old."""
SILENCE_INTERVALS = 4.5
"""A stream without a message for as many intervals is dropped."""
FULL_PACE_GATEWAYS = 40
"""Gateways up to which the interval holds; with more it grows in proportion,
so that the leader handles some 400 messages a second at most."""
MAX_INTERVAL_S = 0.6
"""A load that is older says little: requests last about a second."""
COALESCE_S = 0.01
"""Changes that come within this time are sent together."""
COALESCE_PART = 0.25
"""The same as a part of the interval, where there are many gateways."""
SUBSET = 16
"""Heads of one model, and plain servers of one service, that a gateway is told
of at least; the least loaded of as many is hardly busier than that of all."""
REDIAL_S = 0.1
"""Pause once every known address has failed, against a busy loop."""

FAILURES = (*fault.FAULTS, errors.ProtocolError, msgspec.MsgspecError)


class Picture(msgspec.Struct, frozen=True):
    """What the leader knows and gateways need."""

    term: int
    catalog: catalog_module.Catalog | None = None
    backends: tuple[messages.ServedBackend, ...] | None = None
    settled: bool = True
    """False while a new leader has not heard of all backend servers."""
    voters: tuple[str, ...] = ()


_Part = dict[ids.BackendId, messages.ServedBackend]


def interval_s(gateways: int) -> float:
    """Return the time between messages where there are so many gateways."""
    pace = max(1.0, gateways / FULL_PACE_GATEWAYS)
    return min(MAX_INTERVAL_S, INTERVAL_S * pace)


def silence_s(gateways: int) -> float:
    """Return after which silence a stream is dropped."""
    return interval_s(gateways) * SILENCE_INTERVALS


class _Watcher:
    """One gateway as the leader sees it."""

    def __init__(self, report: messages.GatewayReport) -> None:
        self.report = report
        self.changed = asyncio.Event()
        self.changed.set()
        self.sent_version = -1
        self.sent: _Part | None = None
        """What it was told to use."""
        self.part: _Part | None = None
        """What it should use, as worked out for `part_key`."""
        self.part_key: tuple[_Kinds, int] | None = None
        self.sent_settled = False
        self.sent_s = float("-inf")
        self.task: asyncio.Task[None] | None = None


class Publisher:
    """The leader's end of all feeds."""

    def __init__(
        self,
        admit: collections.abc.Callable[[], collections.abc.Awaitable[None]],
        picture: collections.abc.Callable[[], Picture],
        on_report: collections.abc.Callable[[messages.GatewayReport], None],
    ) -> None:
        self.admit = admit
        self.picture = picture
        self.on_report = on_report
        self.watchers: dict[ids.EntryId, _Watcher] = {}
        self.totals: dict[ids.BackendId, tuple[int, int]] = {}
        """Requests in hand and unread tokens at each head, of all gateways."""
        self.kinds: _Kinds | None = None

    def in_flight(self) -> dict[ids.BackendId, int]:
        """Return the requests in hand at each head, of all gateways."""
        return {
            backend: in_flight
            for backend, (in_flight, _) in self.totals.items()
        }

    def notify(self) -> None:
        """Send what has changed to all gateways."""
        for watcher in self.watchers.values():
            watcher.changed.set()

    def end_all(self) -> None:
        """End all feeds; another voter leads."""
        for watcher in self.watchers.values():
            if watcher.task is not None:
                watcher.task.cancel()

    async def handle(self, stream: typing.Any) -> None:
        """Serve one gateway until it leaves or is silent."""
        try:
            await self.admit()
        except errors.FlamingocleatError as error:
            raise duplex.grpc_error(error) from error
        async with asyncio.timeout(self._silence_s()):
            first = await stream.recv_message()
        if first is None:
            return
        watcher = _Watcher(first)
        old = self.watchers.get(first.gateway)
        if old is not None:
            self._count(old.report, -1)
            if old.task is not None:
                old.task.cancel()
        self.watchers[first.gateway] = watcher
        self._count(first, 1)
        self.on_report(first)
        logs.info(_log, "gateway_connected", gateway=first.gateway)
        reason = "stream ended"
        try:
            watcher.task = asyncio.current_task()
            await duplex.run_both(
                self._receive(stream, watcher), self._send(stream, watcher)
            )
        except (*FAILURES, asyncio.CancelledError) as error:
            reason = repr(error)
            raise
        finally:
            if self.watchers.get(first.gateway) is watcher:
                del self.watchers[first.gateway]
                self._count(watcher.report, -1)
            logs.info(
                _log, "gateway_lost", gateway=first.gateway, reason=reason
            )

    async def _receive(self, stream: typing.Any, watcher: _Watcher) -> None:
        while True:
            async with asyncio.timeout(self._silence_s()):
                report = await stream.recv_message()
            if report is None:
                return
            if self.watchers.get(report.gateway) is watcher:
                self._count(watcher.report, -1)
                self._count(report, 1)
            watcher.report = report
            self.on_report(report)

    async def _send(self, stream: typing.Any, watcher: _Watcher) -> None:
        while True:
            every_s = interval_s(len(self.watchers))
            await duplex.wait_event(watcher.changed, every_s)
            view = self._view(watcher)
            if view is not None:
                await stream.send_message(view)
            await asyncio.sleep(self._coalesce_s())

    def _silence_s(self) -> float:
        return silence_s(len(self.watchers))

    def _coalesce_s(self) -> float:
        if len(self.watchers) <= FULL_PACE_GATEWAYS:
            return COALESCE_S
        return interval_s(len(self.watchers)) * COALESCE_PART

    def _count(self, report: messages.GatewayReport, sign: int) -> None:
        """Add a report to the totals, or take it out again."""
        for head in report.heads:
            in_flight, unread = self.totals.get(head.backend, (0, 0))
            in_flight += sign * head.in_flight
            unread += sign * head.unread_tokens
            if in_flight or unread:
                self.totals[head.backend] = (in_flight, unread)
            else:
                self.totals.pop(head.backend, None)

    def _view(self, watcher: _Watcher) -> messages.GatewayView | None:
        """Return what a gateway should learn; None if it can wait."""
        now_s = time.monotonic()
        picture = self.picture()
        version = picture.catalog.version if picture.catalog else -1
        served = self._part(watcher, picture)
        difference = _difference(watcher.sent, served)
        is_news = bool(difference) or (
            (version, picture.settled)
            != (watcher.sent_version, watcher.sent_settled)
        )
        due_s = watcher.sent_s + interval_s(len(self.watchers))
        if not is_news and now_s < due_s - COALESCE_S:
            return None
        catalog = picture.catalog if version != watcher.sent_version else None
        watcher.sent_version = version
        watcher.sent_settled = picture.settled
        watcher.sent_s = now_s
        if served is not None:
            watcher.sent = served
        return messages.GatewayView(
            term=picture.term,
            version=version,
            catalog=catalog,
            **difference,
            settled=picture.settled,
            load=self._elsewhere(watcher),
            gateways=len(self.watchers),
            voters=picture.voters,
        )

    def _part(self, watcher: _Watcher, picture: Picture) -> _Part | None:
        """Return the servers that a gateway is to use."""
        if picture.backends is None:
            return None
        if self.kinds is None or self.kinds.backends is not picture.backends:
            self.kinds = _Kinds(picture.backends)
        key = (self.kinds, len(self.watchers))
        if watcher.part is None or watcher.part_key != key:
            watcher.part_key = key
            watcher.part = self.kinds.part(
                watcher.report.gateway, len(self.watchers)
            )
        return watcher.part

    def _elsewhere(self, watcher: _Watcher) -> tuple[messages.Elsewhere, ...]:
        """Return what other gateways have in hand at its servers."""
        own = {
            head.backend: (head.in_flight, head.unread_tokens)
            for head in watcher.report.heads
        }
        found = []
        for backend in watcher.sent or ():
            total = self.totals.get(backend)
            if total is None:
                continue
            mine = own.get(backend, (0, 0))
            rest = (total[0] - mine[0], total[1] - mine[1])
            if any(rest):
                found.append(messages.Elsewhere(backend, *rest))
        return tuple(found)


class _Kinds:
    """Servers by what they serve, to give each gateway its part of them."""

    def __init__(self, backends: tuple[messages.ServedBackend, ...]) -> None:
        self.backends = backends
        by_kind: dict[tuple[str, str], _Part] = {}
        for each in backends:
            kind = (each.service, each.model)
            by_kind.setdefault(kind, {})[each.backend] = each
        self.kinds = [
            (served, routing.HashRing(served) if len(served) > SUBSET else None)
            for served in by_kind.values()
        ]

    def part(self, gateway: ids.EntryId, gateways: int) -> _Part:
        """Return a gateway's part: of each kind all, or a subset."""
        part: _Part = {}
        for served, ring in self.kinds:
            size = routing.subset_size(SUBSET, len(served), gateways)
            if ring is None or size >= len(served):
                part.update(served)
                continue
            for backend in ring.subset(gateway, size):
                part[ids.BackendId(backend)] = served[ids.BackendId(backend)]
        return part


def _difference(
    before: _Part | None, after: _Part | None
) -> dict[str, typing.Any]:
    """Return the fields of a view that lead from one list to the other."""
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


class Served:
    """The servers that the leader of the current stream has named."""

    def __init__(self) -> None:
        self.backends: _Part = {}
        self.settled = False

    def take(self, view: messages.GatewayView) -> bool:
        """Take over what has changed; return whether anything has."""
        if view.backends is not None:
            self.backends = {each.backend: each for each in view.backends}
        for each in view.changed:
            self.backends[each.backend] = each
        for backend in view.removed:
            self.backends.pop(backend, None)
        is_news = bool(
            view.backends is not None or view.changed or view.removed
        ) or (view.settled != self.settled)
        self.settled = view.settled
        return is_news


class Follower:
    """A gateway's end of its feed."""

    def __init__(
        self,
        seeds: collections.abc.Callable[[], collections.abc.Sequence[str]],
        report: collections.abc.Callable[[int], messages.GatewayReport],
        take: collections.abc.Callable[[messages.GatewayView], None],
    ) -> None:
        self.seeds = seeds
        self.report = report
        self.take = take
        self.voters: tuple[str, ...] = ()
        self.heard_s = float("-inf")
        self.gateways = 1
        """Gateways that the leader knows, on which its pace depends."""
        self.term = 0
        self.sequence = itertools.count(1)
        self.urgent = asyncio.Event()
        """Set when the leader should learn of something at once."""

    async def run(self) -> None:
        """Follow whoever leads until cancelled."""
        hint = ""
        while True:
            addresses = [hint] if hint else self._addresses()
            hint = ""
            for address in addresses:
                hint = await self._try(address)
                if hint and hint != address:
                    break
            else:
                hint = ""
                await asyncio.sleep(REDIAL_S)

    def _addresses(self) -> list[str]:
        return list(dict.fromkeys((*self.voters, *self.seeds())))

    async def _try(self, address: str) -> str:
        """Follow one voter until it fails; return the leader that it named."""
        reason = "stream ended"
        hint = ""
        dialled = channel.dial(address)
        heard_s = self.heard_s
        try:
            await duplex.run_apart(self._follow(dialled))
        except grpclib.GRPCError as error:
            reason = f"{error.status.name} {error.message}"
            if error.status is grpclib.const.Status.FAILED_PRECONDITION:
                hint = error.message or ""
        except FAILURES as error:
            reason = str(error) or type(error).__name__
        except Exception as error:
            # The gateway goes on serving with the view that it has.
            reason = repr(error)
            logs.error(_log, "feed_failed", address=address, reason=reason)
        finally:
            dialled.close()
        lost = self.heard_s > heard_s
        logs.info(
            _log,
            "leader_lost" if lost else "leader_not_found",
            address=address,
            reason=reason,
            hint=hint,
        )
        return hint

    async def _follow(self, dialled: grpclib.client.Channel) -> None:
        async with codec.GATEWAY_FEED.open(dialled) as stream:
            async with asyncio.timeout(silence_s(self.gateways)):
                await self._send(stream)
            await duplex.run_both(self._receive(stream), self._report(stream))

    async def _receive(self, stream: typing.Any) -> None:
        while True:
            async with asyncio.timeout(silence_s(self.gateways)):
                view = await stream.recv_message()
                if view is None:
                    await stream.recv_trailing_metadata()
                    return
            if view.term < self.term:
                raise errors.ProtocolError(
                    f"leader of term {view.term} is outdated by {self.term}"
                )
            self.term = view.term
            self.heard_s = time.monotonic()
            self.gateways = view.gateways
            self.voters = view.voters or self.voters
            self.take(view)

    async def _report(self, stream: typing.Any) -> None:
        while True:
            await duplex.wait_event(self.urgent, interval_s(self.gateways))
            await self._send(stream)

    async def _send(self, stream: typing.Any) -> None:
        await stream.send_message(self.report(next(self.sequence)))
