"""Agent program, flamingocleat-agent: runs beside each backend server."""

import argparse
import asyncio
import collections.abc
import logging
import sys
import threading
import typing
import uuid

import cheroot.wsgi
import grpclib.server
import msgspec

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import announce
from flamingocleat.connection import backend
from flamingocleat.connection import codec
from flamingocleat.connection import heartbeat
from flamingocleat.connection import report
from flamingocleat.connection import threaded
from flamingocleat.process import health
from flamingocleat.process import logs
from flamingocleat.process import settings
from flamingocleat.process import shutdown
from flamingocleat.process import timer
from flamingocleat.request import dispatch
from flamingocleat.request import gate
from flamingocleat.request import record
from flamingocleat.version import document

_log = logs.logger("agent")

_REFRESH_INTERVAL_S = 0.1
LEAVE_NOTICE_S = 1.0
"""Time from the announcement of leaving until the address is closed.

Calls already on their way to this agent are still answered, with a refusal.
"""
_ANNOUNCE_TIMEOUT_S = 1.0
"""Limit on waiting until entries and control know that this agent leaves.

One that does not answer learns it when this agent falls silent.
"""
_RECORD_TIMEOUT_S = 60.0
"""Limit on recording answers while control is unavailable.

The outcome of a call whose answer is not recorded stays unknown.
"""
_THREAD_STACK_BYTES = 262_144
_HEALTH_PATHS = ("/livez", "/readyz", "/metrics")


class _WsgiGateway(cheroot.wsgi.Gateway_10):
    """Passes the caller's socket to the WSGI application."""

    # cheroot's type stub declares no return value for the base class.
    def get_environ(self) -> dict[str, typing.Any]:  # type: ignore[override]
        """Return the WSGI environment, including the caller's socket."""
        environ = super().get_environ()
        environ[dispatch.SOCKET_KEY] = self.req.conn.socket
        return environ

    def write(self, chunk: bytes) -> None:
        """Send part of the response body.

        Bodies that are already framed are written directly to the socket.
        cheroot uses the pure Python buffered writer, whose buffering took a
        quarter of the time spent on a chunk.
        """
        self.req.ensure_headers_sent()
        if self.env.get(dispatch.FRAMED_KEY):
            self.req.chunked_write = False
            self.req.conn.socket.sendall(chunk)
        else:
            super().write(chunk)


class _Server(threaded.Server):
    """HTTP server of the data path."""

    def __init__(
        self, address: str, application: typing.Any, threads: int
    ) -> None:
        host, _, port = address.rpartition(":")
        super().__init__(
            (host, int(port)),
            application,
            numthreads=threads,
            request_queue_size=128,
            shutdown_timeout=1,
        )
        self.gateway = _WsgiGateway

    def error_log(
        self, msg: str = "", level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Log one line; aborted responses also end up here, as exceptions."""
        logs.warning(_log, "http_connection_failed", reason=msg)


class Agent:
    """Agent of one backend server; created on the event loop that runs it."""

    def __init__(self, agent_settings: settings.AgentSettings) -> None:
        self.settings = agent_settings
        self.incarnation = ids.Incarnation(uuid.uuid4().hex)
        self.shutdown = shutdown.Shutdown()
        self.timer = timer.Timer()
        self.membership = heartbeat.GroupMembership(
            agent_settings.vm, self.incarnation
        )
        self.gate = gate.Gate(agent_settings.kind, self.membership)
        self.recorder = record.Recorder(agent_settings, self.shutdown)
        self.dispatch = dispatch.Dispatch(
            agent_settings, self.gate, self.recorder, self.shutdown
        )
        self.backend = backend.Backend(agent_settings, self.refresh)
        self.reports = report.Reporter(
            self.report, self.backend.mirror, self.gate.void
        )
        self.announcer = announce.Announcer(
            agent_settings, self.status, self.on_order
        )
        self.health = health.Health()
        self.health.ready_checks["serving"] = self._not_ready_reason
        self.http = _Server(
            agent_settings.data_listen, self.wsgi, agent_settings.threads
        )
        self.grpc = grpclib.server.Server(
            [
                codec.Service(
                    {
                        codec.HEARTBEAT: self.membership.heartbeat,
                        codec.BACKEND_WATCH: self.reports.watch,
                        codec.VOID: self.reports.void,
                    }
                )
            ],
            codec=codec.Codec(),
        )
        self.lead_task: asyncio.Task[None] | None = None
        self.announced_state: tuple[object, ...] = ()

    def wsgi(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        """Serve health pages and calls; only calls name an incarnation."""
        if (
            "HTTP_FLAMINGOCLEAT_INCARNATION" not in environ
            and environ["PATH_INFO"] in _HEALTH_PATHS
        ):
            return self.health.wsgi(environ, start_response)
        return self.dispatch(environ, start_response)

    def serving(self) -> bool:
        """Return whether this agent's backend server can serve calls."""
        if self.settings.kind is messages.BackendKind.PLAIN:
            return self.backend.up
        return self.gate.leads_complete_group()

    def leaving(self) -> bool:
        """Return whether this agent or a member of its group is leaving.

        Members count only where this agent leads the group.
        """
        lead = self.gate.lead
        return self.membership.leaving or (lead is not None and lead.leaving())

    def load(self) -> messages.Load:
        """Return the backend server's load, or the calls in flight if more.

        The load that the backend server reports lags behind the calls.
        """
        load = self.backend.load()
        running = max(load.running, len(self.dispatch.calls))
        return msgspec.structs.replace(load, running=running)

    def _not_ready_reason(self) -> str:
        if self.leaving():
            return "leaving"
        return "" if self.serving() else self.membership.state().value

    def status(self) -> messages.AgentStatus:
        """Return the status that is sent to control."""
        return messages.AgentStatus(
            vm=self.settings.vm,
            incarnation=self.incarnation,
            data_centre=self.settings.data_centre,
            fabric_domain=self.settings.fabric_domain,
            kind=self.settings.kind,
            control_address=self.settings.listen,
            data_address=self.settings.data_listen,
            service=self.settings.service,
            accelerators=self.settings.accelerators,
            checks_fencing=self.settings.checks_fencing,
            state=self.membership.state(),
            fence=self.membership.fence,
            serving=self.serving(),
            leaving=self.membership.leaving,
            loaded=self.backend.status.loaded if self.backend.up else (),
            load=self.load(),
            in_flight=len(self.dispatch.calls) if self.leaving() else 0,
        )

    def report(self) -> messages.LoadReport:
        """Return the load report for entries, without cache events."""
        return messages.LoadReport(
            vm=self.settings.vm,
            incarnation=self.incarnation,
            fence=self.membership.fence,
            serving=self.serving(),
            leaving=self.leaving(),
            load=self.load(),
        )

    def on_order(self, order: messages.AgentOrder) -> None:
        """Apply an order from control."""
        if order.leave and not self.shutdown.requested.is_set():
            self.shutdown.request("drained by order")
        if order.assignment is None:
            if order.preload and self.membership.assignment is None:
                model, _, version = order.preload.rpartition("@")
                self.backend.set_order(
                    backend.Order(ids.FencingNumber(0), model, version)
                )
        elif self.membership.accept(order.assignment):
            self._apply_assignment(order.assignment)

    def _apply_assignment(self, assignment: messages.Assignment) -> None:
        logs.info(
            _log,
            "assignment_accepted",
            group=assignment.group,
            fence=assignment.fence,
            lead=assignment.members[0].vm,
        )
        if self.lead_task is not None:
            self.lead_task.cancel()
        self.lead_task = None
        self.gate.lead = None
        self.backend.set_order(_backend_order(assignment))
        if self.membership.is_lead():
            lead = heartbeat.Lead(assignment)
            lead.changed = self.refresh
            self.gate.lead = lead
            self.lead_task = asyncio.create_task(lead.run())
        self.refresh()

    def refresh(self) -> None:
        """Update the state; notify control and entries if it has changed."""
        assignment = self.membership.assignment
        self.membership.loaded = (
            assignment is not None
            and self.backend.has_loaded(_backend_order(assignment))
        )
        lead = self.gate.lead
        if lead is not None:
            lead.drained = self.leaving() and not self.dispatch.calls
        self.dispatch.abort_lost_calls()
        status = self.status()
        state = (
            status.state,
            status.fence,
            status.serving,
            self.leaving(),
            status.loaded,
        )
        if state == self.announced_state:
            return
        self.announced_state = state
        logs.info(
            _log,
            "state_changed",
            state=status.state.value,
            fence=status.fence,
            serving=status.serving,
            leaving=self.leaving(),
        )
        self.announcer.notify()
        self.reports.notify()

    async def run(self) -> None:
        """Serve until asked to stop, then shut down gracefully."""
        self.shutdown.install()
        host, _, port = self.settings.listen.rpartition(":")
        await self.grpc.start(host, int(port))
        self.http.prepare()
        threading.Thread(
            target=self.http.serve, name="http", daemon=True
        ).start()
        self.backend.start()
        self.timer.subscribe("refresh", _REFRESH_INTERVAL_S, self.refresh)
        logs.info(
            _log,
            "started",
            vm=self.settings.vm,
            incarnation=self.incarnation,
            listen=self.settings.listen,
            data_listen=self.settings.data_listen,
        )
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self.timer.run()),
                group.create_task(self.announcer.run()),
            ]
            await self.shutdown.requested.wait()
            await self._leave()
            for task in tasks:
                task.cancel()
        await self._close()

    async def _leave(self) -> None:
        self.membership.leaving = True
        self.refresh()
        loop = asyncio.get_running_loop()
        notice_until = loop.time() + LEAVE_NOTICE_S
        await _wait_until(self._is_leaving_known, _ANNOUNCE_TIMEOUT_S)
        await _wait_until(lambda: not self.dispatch.calls, None)
        await _wait_until(self._is_released, None)
        await asyncio.sleep(max(0.0, notice_until - loop.time()))
        try:
            async with asyncio.timeout(_RECORD_TIMEOUT_S):
                await self.shutdown.wait_idle()
        except TimeoutError:
            logs.error(
                _log,
                "answers_not_recorded",
                names=",".join(sorted(self.shutdown.in_flight)),
            )

    def _is_leaving_known(self) -> bool:
        sent = self.announcer.sent
        return (
            sent is not None and sent.leaving
        ) and self.reports.is_leaving_reported()

    def _is_released(self) -> bool:
        """Return whether no group lead may still depend on this VM.

        Once control has released the group, its lead reports that it is
        drained, or accepts another assignment and sends no more heartbeats.
        The release alone is no reason to stop, since the lead may still have
        streams in flight.
        """
        member = self.membership
        if member.assignment is None or member.is_lead():
            return True
        silence_s = member.clock() - member.answered_s
        return member.drained or silence_s > heartbeat.READY_WAIT_S

    async def _close(self) -> None:
        if self.lead_task is not None:
            self.lead_task.cancel()
        self.backend.stop()
        await asyncio.to_thread(self.http.stop)
        self.grpc.close()
        await self.grpc.wait_closed()
        logs.info(_log, "stopped")


def _backend_order(assignment: messages.Assignment) -> backend.Order:
    return backend.Order(
        assignment.fence, assignment.model, assignment.model_version
    )


async def _wait_until(
    condition: collections.abc.Callable[[], bool], timeout_s: float | None
) -> None:
    """Wait until the condition holds, or for at most timeout_s seconds."""
    loop = asyncio.get_running_loop()
    end_s = float("inf") if timeout_s is None else loop.time() + timeout_s
    while not condition() and loop.time() < end_s:
        await asyncio.sleep(0.02)


async def _run(agent_settings: settings.AgentSettings) -> None:
    await Agent(agent_settings).run()


def main(argv: list[str] | None = None) -> int:
    """Run the program; return its exit status."""
    parser = argparse.ArgumentParser(
        prog="flamingocleat-agent", description="Agent of one backend server."
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    options = parser.parse_args(argv)
    try:
        agent_settings = document.load(options.settings, settings.AgentSettings)
    except errors.DocumentError as error:
        print(error, file=sys.stderr)
        return 2
    if options.check:
        return 0
    logs.set_up("flamingocleat-agent", agent_settings.log_level)
    threading.stack_size(_THREAD_STACK_BYTES)
    asyncio.run(_run(agent_settings))
    return 0


if __name__ == "__main__":
    sys.exit(main())
