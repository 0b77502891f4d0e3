"""The agent's handlers of Backend.Watch and Backend.Void."""

import asyncio
import collections.abc
import typing

import msgspec

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import backend
from flamingocleat.connection import duplex

REPORT_INTERVAL_S = 0.25
_SEND_TIMEOUT_S = 10.0
"""An entry that accepts no report for this time has reconnected or is gone."""


class Watch:
    """State of one entry's Watch stream."""

    def __init__(self) -> None:
        self.changed = asyncio.Event()
        self.cache_sequence: int | None = None
        self.sent: messages.LoadReport | None = None


class Reporter:
    """Sends load reports to entries and voids permits."""

    def __init__(
        self,
        report: collections.abc.Callable[[], messages.LoadReport],
        mirror: backend.CacheMirror,
        void: collections.abc.Callable[
            [ids.PermitId, ids.Incarnation], messages.PermitState
        ],
    ) -> None:
        self.report = report
        self.mirror = mirror
        self.void_permit = void
        self.watches: set[Watch] = set()

    def notify(self) -> None:
        """Send each entry a report now; call this on the event loop."""
        for watch in self.watches:
            watch.changed.set()

    def is_leaving_reported(self) -> bool:
        """Return whether each entry has received a report of leaving."""
        return all(
            watch.sent is not None and watch.sent.leaving
            for watch in self.watches
        )

    async def watch(self, stream: typing.Any) -> None:
        """Handle Backend.Watch."""
        if await stream.recv_message() is None:
            return
        watch = Watch()
        self.watches.add(watch)
        try:
            while True:
                report = self._next(watch)
                async with asyncio.timeout(_SEND_TIMEOUT_S):
                    await stream.send_message(report)
                watch.sent = report
                await duplex.wait_event(watch.changed, REPORT_INTERVAL_S)
        finally:
            self.watches.discard(watch)

    def _next(self, watch: Watch) -> messages.LoadReport:
        complete, events = self.mirror.changes_since(watch.cache_sequence)
        watch.cache_sequence = self.mirror.sequence
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
