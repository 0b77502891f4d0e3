"""Control program: one voter of the replicated state.

Serves the other voters, agents and entries over gRPC, and operators over
HTTP. Exits with 0 after a planned stop, 1 if the voter failed and 2 for
invalid arguments or settings.
"""

import argparse
import asyncio
import pathlib
import re
import sys

import grpclib.server
import prometheus_client

from flamingocleat import errors
from flamingocleat import messages
from flamingocleat.connection import calls as calls_module
from flamingocleat.connection import codec
from flamingocleat.connection import session
from flamingocleat.connection import view
from flamingocleat.process import api_documents
from flamingocleat.process import consensus as consensus_module
from flamingocleat.process import health as health_module
from flamingocleat.process import leadership as leadership_module
from flamingocleat.process import logs
from flamingocleat.process import operators
from flamingocleat.process import repair as repair_module
from flamingocleat.process import settings as settings_module
from flamingocleat.process import shutdown as shutdown_module
from flamingocleat.process import storage as storage_module
from flamingocleat.process import timer as timer_module
from flamingocleat.version import document
from flamingocleat.version import machine as machine_module

_log = logs.logger("control")

METRICS_INTERVAL_S = 1.0

_LEADS = prometheus_client.Gauge(
    "flamingocleat_control_leads", "1 on the leader, else 0"
)
_TERM = prometheus_client.Gauge(
    "flamingocleat_control_term", "Present term of this voter"
)
_APPLIED = prometheus_client.Gauge(
    "flamingocleat_control_applied_index", "Last log index applied"
)
_VERSION = prometheus_client.Gauge(
    "flamingocleat_control_configuration_version", "Version in force"
)
_AGENTS = prometheus_client.Gauge(
    "flamingocleat_control_live_agents", "Agents with a session to this leader"
)
_ENTRIES = prometheus_client.Gauge(
    "flamingocleat_control_entries", "Entries with a watch at this leader"
)
_GROUPS = prometheus_client.Gauge(
    "flamingocleat_control_groups", "Groups that have an assignment"
)


class Control:
    """A voter and its servers; must be created on a running event loop."""

    def __init__(
        self,
        settings: settings_module.ControlSettings,
        storage: storage_module.Storage,
    ) -> None:
        self.settings = settings
        self.storage = storage
        self.machine = machine_module.Machine()
        self.consensus = consensus_module.Consensus(
            settings, storage, self.machine
        )
        self.shutdown = shutdown_module.Shutdown()
        self.health = health_module.Health()
        self.timer = timer_module.Timer()
        self.leadership = leadership_module.Leadership(
            self.consensus, self._on_ready, self._on_leadership_lost
        )
        self.sessions = session.Sessions(
            self.leadership.admit, self._order_for, self._on_agents_change
        )
        self.views = view.Views(
            self.leadership.admit, self.consensus.confirm, self._cluster_state
        )
        self.placement_task = repair_module.PlacementTask(
            self.consensus,
            self.machine,
            self.leadership,
            self.sessions,
            self._on_plan_change,
        )
        self.register_calls = calls_module.RegisterCalls(
            self.consensus,
            self.machine,
            self.leadership.admit,
            self.shutdown,
        )
        self.assigned: dict[messages.Member, messages.Assignment] = {}
        self.basis = -1
        self.server = grpclib.server.Server(
            [self.consensus.service(), self._service()], codec=codec.Codec()
        )
        self.operators = operators.OperatorApi(
            settings,
            self.consensus,
            self.machine,
            self.leadership,
            self._status,
            self.shutdown,
        )
        self.http = operators.HttpServer(
            settings.operators_listen,
            operators.application(self.operators, self.health),
        )
        self.tasks: list[asyncio.Task[None]] = []
        self.health.ready_checks["shutdown"] = self._check_shutdown
        self.health.ready_checks["leader"] = self._check_leader
        self.health.live_checks["voter"] = lambda: self.consensus.failure
        self.consensus.subscribe_applied(self._on_applied)
        self.consensus.subscribe(self._on_role_change)

    async def start(self) -> None:
        """Start the servers and take part in consensus."""
        host, _, port = self.settings.listen.rpartition(":")
        await self.server.start(host.strip("[]"), int(port))
        self.http.start()
        self.timer.subscribe(
            "metrics", METRICS_INTERVAL_S, self._update_metrics
        )
        self.tasks = [
            asyncio.create_task(work)
            for work in (
                self.timer.run(),
                self.views.run(),
                self.placement_task.run(),
            )
        ]
        await self.consensus.start()
        logs.info(
            _log,
            "control_started",
            voter=self.settings.voter,
            listen=self.settings.listen,
            operators=self.settings.operators_listen,
        )

    async def stop(self) -> None:
        """End client sessions, finish pending calls and stop."""
        self.leadership.close()
        await self.shutdown.wait_idle()
        await asyncio.to_thread(self.http.stop)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.consensus.stop()
        self.server.close()
        await self.server.wait_closed()
        self.storage.close()
        logs.info(_log, "control_stopped", voter=self.settings.voter)

    async def run(self) -> int:
        """Run until shutdown is requested; return the exit status."""
        self.shutdown.install()
        await self.start()
        await self.shutdown.requested.wait()
        await self.stop()
        return 1 if self.failed else 0

    failed = False
    """Whether the voter stopped because of an error."""

    def _service(self) -> codec.Service:
        return codec.Service(
            {
                codec.AGENT_SESSION: self.sessions.handle,
                codec.CONTROL_WATCH: self.views.handle,
                **self.register_calls.handlers(),
            }
        )

    # Event handlers.

    def _on_role_change(self) -> None:
        if self.consensus.failure and not self.shutdown.requested.is_set():
            self.failed = True
            self.shutdown.request(self.consensus.failure)

    def _on_ready(self) -> None:
        self.placement_task.reset()
        self._notify()

    def _on_leadership_lost(self, error: errors.FlamingocleatError) -> None:
        self.sessions.end_all(error)
        self.views.end_all(error)
        self.placement_task.reset()

    def _on_applied(self) -> None:
        if self.machine.basis != self.basis:
            self.basis = self.machine.basis
            self.assigned = {
                member: assignment
                for assignment in self.machine.assignments.values()
                for member in assignment.members
            }
            self._notify()

    def _on_agents_change(self) -> None:
        self.placement_task.changed.set()
        self.views.notify()

    def _on_plan_change(self) -> None:
        self.sessions.notify()
        self.views.notify()

    def _notify(self) -> None:
        if self.leadership.ready.is_set():
            self.placement_task.changed.set()
            self.sessions.notify()
            self.views.notify()

    # State sent to agents, entries and operators.

    def _order_for(self, status: messages.AgentStatus) -> messages.AgentOrder:
        member = messages.Member(
            status.vm, status.incarnation, status.control_address
        )
        preload = self.placement_task.preloads.get(status.vm)
        wanted = preload and preload.incarnation == status.incarnation
        return messages.AgentOrder(
            assignment=self.assigned.get(member),
            leave=status.vm in self.machine.drained,
            preload=preload.model if preload and wanted else "",
        )

    def _cluster_state(self) -> view.Snapshot:
        backends = None
        if self.placement_task.settled:
            backends = view.backends(
                self.machine.assignments.values(),
                (agent.status for agent in self.sessions.live()),
                self.machine.drained,
                self.placement_task.draining,
            )
        return view.Snapshot(
            self.machine.version, self.machine.configuration, backends
        )

    def _status(self) -> api_documents.StatusPage:
        live = {agent.status.vm: agent for agent in self.sessions.live()}
        entries = tuple(
            api_documents.EntryLine(
                entry=watch.status.entry,
                data_centre=watch.status.data_centre,
                confirmed_version=watch.status.confirmed_version,
                in_flight=watch.status.in_flight,
                silent_ms=_ms_since(watch.heard_s, self.views.clock()),
            )
            for watch in self.views.watches.values()
        )
        return api_documents.StatusPage(
            voter=self.settings.voter,
            term=self.consensus.term,
            applied_index=self.consensus.applied_index,
            voters={str(v): a for v, a in self.machine.voters.items()},
            version=self.machine.version,
            in_force=all(
                line.confirmed_version == self.machine.version
                for line in entries
            ),
            settled=self.placement_task.settled,
            entries=entries,
            vms=tuple(
                _vm_line(agent, self.sessions.clock())
                for agent in live.values()
            ),
            groups=tuple(
                _group_line(assignment, live)
                for assignment in self.machine.assignments.values()
            ),
            drained=tuple(self.machine.drained),
        )

    def _check_shutdown(self) -> str:
        return "shutting down" if self.shutdown.requested.is_set() else ""

    def _check_leader(self) -> str:
        return "" if self.consensus.leader else "no leader is known"

    def _update_metrics(self) -> None:
        _LEADS.set(1 if self.leadership.ready.is_set() else 0)
        _TERM.set(self.consensus.term)
        _APPLIED.set(self.consensus.applied_index)
        _VERSION.set(self.machine.version)
        _AGENTS.set(len(self.sessions.agents))
        _ENTRIES.set(len(self.views.watches))
        _GROUPS.set(len(self.machine.assignments))


def _ms_since(then_s: float, now_s: float) -> int:
    return round((now_s - then_s) * 1000)


def _vm_line(agent: session.LiveAgent, now_s: float) -> api_documents.VmLine:
    status = agent.status
    return api_documents.VmLine(
        vm=status.vm,
        incarnation=status.incarnation,
        data_centre=status.data_centre,
        fabric_domain=status.fabric_domain,
        kind=status.kind.value,
        service=status.service,
        state=status.state.value,
        fence=status.fence,
        serving=status.serving,
        leaving=status.leaving,
        silent_ms=_ms_since(agent.heard_s, now_s),
    )


def _group_line(
    assignment: messages.Assignment, live: dict
) -> api_documents.GroupLine:
    first_member = assignment.members[0]
    agent = live.get(first_member.vm)
    return api_documents.GroupLine(
        group=assignment.group,
        service=assignment.service,
        model=f"{assignment.model}@{assignment.model_version}",
        fence=assignment.fence,
        members=tuple(member.vm for member in assignment.members),
        serving=agent is not None
        and agent.status.incarnation == first_member.incarnation
        and agent.status.fence == assignment.fence
        and agent.status.serving,
    )


def read_settings(path: str) -> settings_module.ControlSettings:
    """Read and check a settings file.

    Raises:
        DocumentError: The file is unreadable or has invalid settings.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.DocumentError(
            [errors.Finding(path, 1, 1, str(error), "give a readable file")]
        ) from error
    found = document.examine(text, path, settings_module.ControlSettings)
    _check_settings(found)
    if found.findings:
        raise errors.DocumentError(found.findings)
    return found.value


def _check_settings(
    found: document.ExaminedDocument[settings_module.ControlSettings],
) -> None:
    value = found.value
    addresses: list[tuple[document.Path, str]] = [
        (("listen",), value.listen),
        (("operators_listen",), value.operators_listen),
    ]
    for key in ("voters", "operators_addresses"):
        voters = getattr(value, key) or {}
        addresses += [((key, voter), a) for voter, a in voters.items()]
    for path, address in addresses:
        if address is not None and not api_documents.is_address(address):
            found.add(
                path,
                f"{address!r} is not an address",
                "give IP number and port, for example 10.0.0.1:7001",
            )
    if value.voters and value.voter and value.voter not in value.voters:
        found.add(
            ("voters",),
            f"voter {value.voter!r} is missing",
            "add this voter's address",
        )
    for key in ("snapshot_interval_entries", "log_memory_bytes"):
        number = getattr(value, key)
        if number is not None and number < 1:
            found.add((key,), f"{key} is {number}", "give at least 1")
    key_hash = value.bootstrap_key_sha256
    if key_hash and not re.fullmatch(r"[0-9a-f]{64}", key_hash):
        found.add(
            ("bootstrap_key_sha256",),
            "not a SHA-256 hash",
            "give 64 hex digits in lower case, as sha256sum prints them",
        )


async def _run(settings: settings_module.ControlSettings) -> int:
    storage = storage_module.Storage.open(settings.data_folder)
    try:
        control = Control(settings, storage)
    except BaseException:
        storage.close()
        raise
    return await control.run()


def main(argv: list[str] | None = None) -> int:
    """Run the control program; return the exit status."""
    parser = argparse.ArgumentParser(
        prog="flamingocleat-control", description="Control program (a voter)."
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    parser.add_argument(
        "--check", action="store_true", help="validate the settings and exit"
    )
    parser.add_argument(
        "--init", action="store_true", help="create the data folder and exit"
    )
    arguments = parser.parse_args(argv)
    try:
        settings = read_settings(arguments.settings)
    except errors.DocumentError as error:
        print(error, file=sys.stderr)
        return 2
    if arguments.check:
        return 0
    logs.set_up("control", settings.log_level)
    try:
        if arguments.init:
            storage_module.Storage.create(
                settings.data_folder, settings.voter
            ).close()
            return 0
        return asyncio.run(_run(settings))
    except (errors.FlamingocleatError, OSError) as error:
        logs.error(_log, "control_failed", reason=str(error))
        return 1


if __name__ == "__main__":
    sys.exit(main())
