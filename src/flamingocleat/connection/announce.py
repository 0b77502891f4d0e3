"""The agent's session to the control leader."""

import asyncio
import collections.abc
import typing

from flamingocleat import messages
from flamingocleat.connection import channel
from flamingocleat.connection import codec
from flamingocleat.connection import duplex
from flamingocleat.connection import grpc_errors
from flamingocleat.connection import leader
from flamingocleat.process import logs
from flamingocleat.process import settings

_log = logs.logger("announce")

STATUS_INTERVAL_S = 0.5
SILENCE_S = 1.5


class Announcer:
    """Keeps a session open; sends statuses and passes orders to on_order."""

    def __init__(
        self,
        agent: settings.AgentSettings,
        status: collections.abc.Callable[[], messages.AgentStatus],
        on_order: collections.abc.Callable[[messages.AgentOrder], None],
    ) -> None:
        self.leader = leader.LeaderFinder(agent.control)
        self.status = status
        self.on_order = on_order
        self.changed = asyncio.Event()
        self.connected = False
        self.last_reason = ""
        self.sent: messages.AgentStatus | None = None
        """Last status that was sent in the current session."""

    def notify(self) -> None:
        """Send the status without delay; call this on the event loop."""
        self.changed.set()

    async def run(self) -> None:
        """Keep a session open until cancelled."""
        while True:
            address = self.leader.address()
            try:
                await duplex.run_in_task(self._session(address))
            except grpc_errors.CONNECTION_ERRORS as error:
                self.leader.follow_hint(error)
                self._log_end(address, repr(error))
            finally:
                self.connected = False
                self.sent = None
            await self.leader.pause()

    def _log_end(self, address: str, reason: str) -> None:
        """Log the end of a session; log repeated refusals only once."""
        if self.connected or reason != self.last_reason:
            logs.info(_log, "session_ended", address=address, reason=reason)
        self.last_reason = reason

    async def _session(self, address: str) -> None:
        grpc_channel = channel.dial(address)
        try:
            async with (
                asyncio.timeout(SILENCE_S) as silence,
                codec.AGENT_SESSION.open(grpc_channel) as stream,
            ):
                await stream.send_request()
                sender = asyncio.create_task(self._send(stream))
                try:
                    await self._receive(stream, silence, address)
                finally:
                    sender.cancel()
                    await asyncio.gather(sender, return_exceptions=True)
        finally:
            grpc_channel.close()

    async def _send(self, stream: typing.Any) -> None:
        while True:
            status = self.status()
            await stream.send_message(status)
            self.sent = status
            await duplex.wait_event(self.changed, STATUS_INTERVAL_S)

    async def _receive(
        self, stream: typing.Any, silence: asyncio.Timeout, address: str
    ) -> None:
        loop = asyncio.get_running_loop()
        last: messages.AgentOrder | None = None
        while True:
            order = await grpc_errors.receive(stream)
            if not self.connected:
                self.connected = True
                self.leader.connected()
                logs.info(_log, "session_started", address=address)
            silence.reschedule(loop.time() + SILENCE_S)
            if not order.unchanged:
                last = order
            if last is not None:
                self.on_order(last)
