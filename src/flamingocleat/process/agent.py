"""flamingocleat-agent: runs beside each backend server."""

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
NOTICE_S = 1.0
"""Time after leaving was announced in which calls under way to this agent
are still answered (with a refusal), before the address is closed."""
_TELL_S = 1.0
"""Bound on telling entries and control; a silent one is told by silence."""
_RECORD_S = 60.0
"""Bound on recording answers while control is away; the outcome of a call
whose answer is not recorded stays unknown."""
_THREAD_STACK_BYTES = 262_144
_HEALTH_PATHS = ("/livez", "/readyz", "/metrics")


class _Gateway(cheroot.wsgi.Gateway_10):
    """Gives the application the caller's socket."""

    # The stub of cheroot declares no return value for the base class.
    def get_environ(self) -> dict[str, typing.Any]:  # type: ignore[override]
        """Return the environment of a request."""
        environ = super().get_environ()
        environ[dispatch.SOCKET_KEY] = self.req.conn.socket
        return environ

    def write(self, chunk: bytes) -> None:
        """Send bytes of the answer.

        They go to the socket directly: cheroot's writer is the pure Python
        one, whose buffering took a quarter of the time spent on a chunk.
        """
        self.req.ensure_headers_sent()
        if self.env.get(dispatch.FRAMED_KEY):
            self.req.chunked_write = False
            self.req.conn.socket.sendall(chunk)
        else:
            super().write(chunk)


class _Server(cheroot.wsgi.Server):
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
        self.gateway = _Gateway

    def error_log(
        self, msg: str = "", level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Log one line; a cut answer ends here as an exception."""
        logs.warning(_log, "http_connection_failed", reason=msg)


class Agent:
    """One agent; made on the loop that runs it."""

    def __init__(self, agent: settings.AgentSettings) -> None:
        self.settings = agent
        self.incarnation = ids.Incarnation(uuid.uuid4().hex)
        self.shutdown = shutdown.Shutdown()
        self.timer = timer.Timer()
        self.membership = heartbeat.GroupMembership(agent.vm, self.incarnation)
        self.gate = gate.Gate(agent.kind, self.membership)
        self.recorder = record.Recorder(agent, self.shutdown)
        self.dispatch = dispatch.Dispatch(
            agent, self.gate, self.recorder, self.shutdown
        )
        self.backend = backend.Backend(agent, self.refresh)
        self.reports = report.Reporter(
            self.report, self.backend.mirror, self.gate.void
        )
        self.announcer = announce.Announcer(agent, self.status, self.on_order)
        self.health = health.Health()
        self.health.ready_checks["serving"] = self._not_ready
        self.http = _Server(agent.data_listen, self.wsgi, agent.threads)
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
        self.shown: tuple[object, ...] = ()

    def wsgi(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        """Serve health pages, and calls, which name an incarnation."""
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
        return self.gate.leads_whole_group()

    def leaving(self) -> bool:
        """Return whether this agent, or a member that it leads, leaves."""
        lead = self.gate.lead
        return self.membership.leaving or (lead is not None and lead.leaving())

    def load(self) -> messages.Load:
        """Return the backend server's load, which lags behind the calls."""
        load = self.backend.load()
        running = max(load.running, len(self.dispatch.calls))
        return msgspec.structs.replace(load, running=running)

    def _not_ready(self) -> str:
        if self.leaving():
            return "leaving"
        return "" if self.serving() else self.membership.state().value

    def status(self) -> messages.AgentStatus:
        """Return the status for control."""
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
        """Return the report for entries, without cache events."""
        return messages.LoadReport(
            vm=self.settings.vm,
            incarnation=self.incarnation,
            fence=self.membership.fence,
            serving=self.serving(),
            leaving=self.leaving(),
            load=self.load(),
        )

    def on_order(self, order: messages.AgentOrder) -> None:
        """Follow an order of control."""
        if order.leave and not self.shutdown.requested.is_set():
            self.shutdown.request("drained by order")
        if order.assignment is None:
            if order.preload and self.membership.assignment is None:
                model, _, version = order.preload.rpartition("@")
                self.backend.set_order(
                    backend.Order(ids.FencingNumber(0), model, version)
                )
        elif self.membership.accept(order.assignment):
            self._taken(order.assignment)

    def _taken(self, assignment: messages.Assignment) -> None:
        logs.info(
            _log,
            "assignment_taken",
            group=assignment.group,
            fence=assignment.fence,
            lead=assignment.members[0].vm,
        )
        if self.lead_task is not None:
            self.lead_task.cancel()
        self.lead_task = None
        self.gate.lead = None
        self.backend.set_order(_order(assignment))
        if self.membership.is_lead():
            lead = heartbeat.Lead(assignment)
            lead.changed = self.refresh
            self.gate.lead = lead
            self.lead_task = asyncio.create_task(lead.run())
        self.refresh()

    def refresh(self) -> None:
        """Bring the state up to date; tell control and entries of changes."""
        assignment = self.membership.assignment
        self.membership.loaded = (
            assignment is not None
            and self.backend.has_loaded(_order(assignment))
        )
        lead = self.gate.lead
        if lead is not None:
            lead.drained = self.leaving() and not self.dispatch.calls
        self.dispatch.abort_lost_calls()
        status = self.status()
        shown = (
            status.state,
            status.fence,
            status.serving,
            self.leaving(),
            status.loaded,
        )
        if shown == self.shown:
            return
        self.shown = shown
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
        """Serve until asked to stop, then leave in good order."""
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
        notice_until = loop.time() + NOTICE_S
        await _until(self._told, _TELL_S)
        await _until(lambda: not self.dispatch.calls, None)
        await _until(self._free, None)
        await asyncio.sleep(max(0.0, notice_until - loop.time()))
        try:
            async with asyncio.timeout(_RECORD_S):
                await self.shutdown.wait_idle()
        except TimeoutError:
            logs.error(
                _log,
                "answers_not_recorded",
                names=",".join(sorted(self.shutdown.in_flight)),
            )

    def _told(self) -> bool:
        sent = self.announcer.sent
        return (
            sent is not None and sent.leaving
        ) and self.reports.all_told_of_leaving()

    def _free(self) -> bool:
        """Return whether no lead may count on this VM.

        Once control has released the group, its lead tells that it is
        drained, or takes another assignment and falls silent. The release
        alone is no reason to stop: the lead may have streams in flight.
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


def _order(assignment: messages.Assignment) -> backend.Order:
    return backend.Order(
        assignment.fence, assignment.model, assignment.model_version
    )


async def _until(
    condition: collections.abc.Callable[[], bool], bound_s: float | None
) -> None:
    """Wait until the condition holds, or for at most bound_s seconds."""
    loop = asyncio.get_running_loop()
    end = float("inf") if bound_s is None else loop.time() + bound_s
    while not condition() and loop.time() < end:
        await asyncio.sleep(0.02)


async def _run(agent: settings.AgentSettings) -> None:
    await Agent(agent).run()


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
        agent = document.load(options.settings, settings.AgentSettings)
    except errors.DocumentError as error:
        print(error, file=sys.stderr)
        return 2
    if options.check:
        return 0
    logs.set_up("flamingocleat-agent", agent.log_level)
    threading.stack_size(_THREAD_STACK_BYTES)
    asyncio.run(_run(agent))
    return 0


if __name__ == "__main__":
    sys.exit(main())
