"""The agent's side of Backend.Watch and Backend.Void."""

import asyncio
import collections.abc
import typing

import msgspec

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import backend
from flamingocleat.connection import duplex

REPORT_INTERVAL_S = 0.25
_SEND_S = 10.0
"""An entry that takes no report for this time has dialled anew or is gone."""


class Watcher:
    """One entry's stream of reports."""

    def __init__(self) -> None:
        self.changed = asyncio.Event()
        self.cache_sequence: int | None = None
        self.sent: messages.LoadReport | None = None


class Reports:
    """Sends load reports to entries and voids permits."""

    def __init__(
        self,
        report: collections.abc.Callable[[], messages.LoadReport],
        mirror: backend.Mirror,
        void: collections.abc.Callable[
            [ids.PermitId, ids.Incarnation], messages.PermitState
        ],
    ) -> None:
        self.report = report
        self.mirror = mirror
        self.void_permit = void
        self.watchers: set[Watcher] = set()

    def notify(self) -> None:
        """Send a report to each entry at once; call it on the loop."""
        for watcher in self.watchers:
            watcher.changed.set()

    def all_know_leaving(self) -> bool:
        """Return whether each entry was told that this agent leaves."""
        return all(
            watcher.sent is not None and watcher.sent.leaving
            for watcher in self.watchers
        )

    async def watch(self, stream: typing.Any) -> None:
        """Handle Backend.Watch."""
        if await stream.recv_message() is None:
            return
        watcher = Watcher()
        self.watchers.add(watcher)
        try:
            while True:
                report = self._next(watcher)
                async with asyncio.timeout(_SEND_S):
                    await stream.send_message(report)
                watcher.sent = report
                await duplex.wait_event(watcher.changed, REPORT_INTERVAL_S)
        finally:
            self.watchers.discard(watcher)

    def _next(self, watcher: Watcher) -> messages.LoadReport:
        complete, events = self.mirror.since(watcher.cache_sequence)
        watcher.cache_sequence = self.mirror.sequence
        return msgspec.structs.replace(
            self.report(),
            cache_sequence=self.mirror.sequence,
            cache_complete=complete,
            cache_events=events,
        )

    async def void(self, stream: typing.Any) -> None:
        """Handle Backend.Void."""
        request = await stream.recv_message()
        if request is not None:
            state = self.void_permit(request.permit, request.incarnation)
            await stream.send_message(messages.VoidReply(state=state))
