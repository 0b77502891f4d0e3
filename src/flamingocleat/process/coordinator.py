"""Coordinator program: control of backend servers that gateways call directly.

Runs one voter of the replicated configuration. The leader also keeps the
fleet of backend servers and the groups of model servers in memory; a new
leader rebuilds both from announcements. Exits with 0 after a planned stop and
1 if the data on its disk is unusable.
"""

import asyncio
import collections.abc
import time

import msgspec
import prometheus_client

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import channel
from flamingocleat.connection import codec
from flamingocleat.connection import feed
from flamingocleat.connection import http
from flamingocleat.connection import intake
from flamingocleat.connection import platform as platform_module
from flamingocleat.process import capacity_metrics
from flamingocleat.process import consensus as consensus_module
from flamingocleat.process import evacuations
from flamingocleat.process import gateway
from flamingocleat.process import leadership as leadership_module
from flamingocleat.process import learned_paces
from flamingocleat.process import logs
from flamingocleat.process import settings as settings_module
from flamingocleat.process import shutdown as shutdown_module
from flamingocleat.process import timer as timer_module
from flamingocleat.process import voters as voters_module
from flamingocleat.process import waits
from flamingocleat.version import catalog as catalog_module
from flamingocleat.version import cold as cold_module
from flamingocleat.version import confirmations
from flamingocleat.version import declared
from flamingocleat.version import demand as demand_module
from flamingocleat.version import fleet as fleet_module
from flamingocleat.version import group as group_module
from flamingocleat.version import groups as groups_module
from flamingocleat.version import limited_servers
from flamingocleat.version import orders as orders_module
from flamingocleat.version import pace as pace_module

_log = logs.logger("coordinator")

REVIEW_INTERVAL_S = 0.1
"""Interval between reviews of the groups; a change triggers one at once."""
REVIEW_PAUSE_FACTOR = 3.0
"""Pause after a review, as a multiple of the review's duration. Reviews take
at most a quarter of the leader's time, however many VMs there are."""
MAX_REVIEW_PAUSE_S = 1.0
"""Upper bound on the pause after a review. If the process is suspended during
a review, the measured duration and so the pause include the suspension."""
PROBE_INTERVAL_S = 0.4
SUSPICION_GAP_S = 1.0
"""A suspicion counts as new if the last one is older than this."""
PROBE_TIMEOUT_S = 0.25
"""Connecting within a region takes about 10 ms; the timeout leaves time for
one lost packet."""
SETTLE_INTERVALS = 1.5
"""Number of announcement intervals after which a new leader assumes that every
backend server has announced itself."""
PLAIN_BACKEND_TIMEOUT_S = 5.0
"""Silence after which a backend server of a service without model groups is
no longer offered to gateways."""
FORGET_TIMEOUT_S = 30.0
"""Silence after which a backend server is removed from the fleet."""
CONFIRM_TIMEOUT_S = 0.9
"""Below the one second after which callers try another voter."""
COMMIT_TIMEOUT_S = 3.0
MAX_DOCUMENT_BYTES = 16_777_216
SNAPSHOT_ENTRIES = 200
LOG_MEMORY_FRACTION = 1 / 24
"""Part of a coordinator's memory that log entries may use. Without a load it
uses a fifth, and several copies of the largest configuration must fit beside
the log while that configuration is changed."""
DEFAULT_MEMORY_MB = 288.0
"""Memory that is assumed if the settings give none."""
MAX_REDIRECT_WAIT_S = 0.5
DRAIN_WAIT_S = 0.5
"""Time to answer pending requests after SIGTERM."""
LAST_WAIT_S = 0.3
"""Time of it for which they still wait for other voters."""
REOPEN_DELAY_S = 1.0
"""Delay before storage is reopened after a failed write."""

_LEADS = prometheus_client.Gauge(
    "flamingocleat_coordinator_leads", "1 on the leader, else 0"
)
_ANNOUNCEMENTS = prometheus_client.Counter(
    "flamingocleat_coordinator_announcements",
    "Announcements of backend servers",
    ["outcome"],
)
_ORDERS = prometheus_client.Counter(
    "flamingocleat_coordinator_orders", "Orders given", ["op", "outcome"]
)
_REVIEW_SECONDS = prometheus_client.Histogram(
    "flamingocleat_coordinator_review_seconds",
    "Time that one review of groups takes",
    buckets=(0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1),
)

_EFFECTS = {
    platform_module.OrderOutcome.BEGUN: confirmations.Effect.BEGUN,
    platform_module.OrderOutcome.DONE: confirmations.Effect.HOLDS,
    platform_module.OrderOutcome.UNFIT: confirmations.Effect.REFUSED,
    platform_module.OrderOutcome.UNKNOWN: confirmations.Effect.UNKNOWN,
    platform_module.OrderOutcome.UNSENT: confirmations.Effect.UNSENT,
}

Orders = list[tuple[groups_module.GroupManager, orders_module.Order]]
"""Orders, each with the manager of the groups that issued it."""


class Reply(Exception):  # noqa: N818
    """Raised to end the handling of an HTTP call with this response."""

    def __init__(
        self,
        status: int,
        body: bytes = b"",
        headers: http.Headers | None = None,
    ) -> None:
        super().__init__(f"status {status}")
        self.status = status
        self.body = body
        self.headers = headers or []


class Coordinator:
    """A voter and its servers; must be created on a running event loop."""

    def __init__(
        self,
        settings: settings_module.CoordinatorSettings,
        platform: platform_module.Platform,
    ) -> None:
        self.settings = settings
        self.platform = platform
        self.storage = voters_module.open_storage(settings)
        self.machine = declared.Machine()
        self.consensus = consensus_module.Consensus(
            settings_module.ControlSettings(
                voter=self.storage.voter,
                data_centre=ids.DataCentreId(""),
                listen=settings.address,
                operators_listen=settings.http_listen,
                data_folder=settings.data_folder,
                voters={},
                snapshot_interval_entries=SNAPSHOT_ENTRIES,
                log_memory_bytes=log_memory_bytes(settings.memory_mb),
            ),
            self.storage,
            self.machine,
        )
        self.voters = voters_module.Voters(settings, self.consensus)
        self.leadership = leadership_module.Leadership(
            self.consensus, self._on_ready, self._on_leadership_lost
        )
        self.publisher = feed.Publisher(
            self.leadership.admit_confirmed,
            self._fleet_state,
            self._on_gateway_report,
        )
        self.grants = cold_module.Grants(
            settings.cold,
            self.leadership.quorum_contact_s,
            self.publisher.notify_gateway,
        )
        self.publisher.take_grants = self.grants.take
        self.limited_servers = limited_servers.LimitedServers(self.grants)
        self.fleet = fleet_module.Fleet()
        self.fleet.subscribe(self._on_fleet_change)
        self.demand = demand_module.DemandTotals()
        self.paces = pace_module.Paces()
        self.managers: dict[ids.ServiceId, groups_module.GroupManager] = {}
        self.served_backends: tuple[messages.ServedBackend, ...] = ()
        """Backend servers that gateways may use, as of the last review."""
        self.catalog: catalog_module.Catalog | None = None
        self.ready_since_s = float("inf")
        self.review_due = asyncio.Event()
        self.evacuations = evacuations.Evacuations(
            lambda: self.settings, self.machine, self.consensus
        )
        self.evacuations.listeners += [
            self._update_served_backends,
            self.publisher.notify,
            self.review_due.set,
        ]
        self.timer = timer_module.Timer()
        self.server = channel.Server(
            [
                self.consensus.service(),
                codec.Service(
                    {
                        codec.GATEWAY_FEED: self.publisher.handle,
                        codec.JOIN: self.voters.handle_join,
                        codec.LEAVE: self.voters.handle_leave,
                    }
                ),
            ]
        )
        self.http = http.Server(
            self._handle_call,
            lambda: catalog_module.Limits(max_body_bytes=MAX_DOCUMENT_BYTES),
            intake.Settings.for_coordinator(settings),
            "coordinator",
            single_body_bytes=intake.SINGLE_BODY_BYTES,
        )
        self.waits = waits.Waits()
        self.tasks: set[asyncio.Task] = set()
        self.consensus.subscribe_applied(self._on_applied)
        self.failed = asyncio.Event()
        self.consensus.subscribe(self._on_role_change)

    async def start(self) -> None:
        """Start the servers and take part in consensus."""
        host, _, port = self.settings.address.rpartition(":")
        await self.server.start(host, int(port))
        await self.http.start(self.settings.http_listen)
        self._on_applied()
        self.timer.subscribe("step", REVIEW_INTERVAL_S, self.review_due.set)
        self.timer.subscribe("probe", PROBE_INTERVAL_S, self._probe)
        self.timer.subscribe("measure", 1.0, self._update_metrics)
        for work in (self.timer.run(), self._run_reviews(), self.voters.run()):
            self._start(work)
        await self.consensus.start()
        logs.info(
            _log,
            "coordinator_started",
            voter=self.storage.voter,
            address=self.settings.address,
            version=self.machine.version,
        )

    def reload(self, settings: settings_module.CoordinatorSettings) -> None:
        """Apply new seeds and limits; new addresses need a restart."""
        self.settings = settings
        self.voters.settings = settings
        self.grants.bounds = settings.cold

    async def stop(self) -> None:
        """Finish pending requests and stop."""
        self.leadership.close()
        self.http.draining = True
        self.http.close_listener()
        self.waits.end_within(LAST_WAIT_S)
        await self.http.drain(time.monotonic() + DRAIN_WAIT_S)
        if not self.consensus.failure:
            await self.voters.leave()
        # The process may go on with another coordinator in place of this one.
        await self.http.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.consensus.stop()
        self.server.close()
        await asyncio.sleep(0)  # Another coordinator may listen at the port.
        self.storage.close()
        logs.info(_log, "coordinator_stopped", voter=self.storage.voter)

    def _start(self, work: collections.abc.Coroutine) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            logs.error(_log, "task_failed", reason=repr(task.exception()))

    # Event handlers.

    def _on_role_change(self) -> None:
        if self.consensus.failure:
            self.failed.set()

    def _on_ready(self) -> None:
        """Start leading with an empty fleet, to be filled by announcements."""
        self.fleet.clear()
        now_s = time.monotonic()
        for stored in self.machine.withdrawals.values():
            self.fleet.withdraw(stored.withdrawal, now_s)
        self.managers.clear()
        self.limited_servers.begin(now_s)
        self.paces.clear()
        self.served_backends = ()
        self._update_managers()
        self.ready_since_s = time.monotonic()
        self.publisher.notify()

    def _on_leadership_lost(self, error: errors.FlamingocleatError) -> None:
        logs.info(_log, "leadership_lost", reason=str(error))
        self.ready_since_s = float("inf")
        self.publisher.end_all()

    def _on_applied(self) -> None:
        held = self.catalog.version if self.catalog else -1
        if self.machine.version == held or not self.machine.document:
            return
        try:
            self.catalog = self.platform.decode_catalog(self.machine.document)
        except platform_module.UnreadableError as error:
            logs.error(_log, "document_unreadable", reason=str(error))
            return
        logs.info(_log, "catalog_applied", version=self.catalog.version)
        self._update_managers()
        self.publisher.notify()

    def _update_managers(self) -> None:
        if self.catalog is None:
            return
        for service in self.catalog.services:
            if service.engine is None or not service.engine.models:
                continue
            manager = self.managers.get(service.name)
            if manager is None:
                manager = groups_module.GroupManager(
                    groups_module.GroupManagerSettings(
                        self.settings.stall_s, self.settings.spares
                    ),
                    service.name,
                    self.fleet,
                    self.consensus.term,
                )
                manager.evacuation.data_centres = self.machine.evacuations
                self.managers[service.name] = manager
            manager.engine = service.engine.bounded()

    def _on_fleet_change(self) -> None:
        self.review_due.set()

    def _on_gateway_report(self, report: messages.GatewayReport) -> None:
        now_s = time.monotonic()
        self.demand.record(report, now_s)
        if self.limited_servers.record_report(report, now_s):
            self.review_due.set()
        self.paces.record(report, now_s)
        for manager in self.managers.values():
            manager.has_traffic = manager.has_traffic or report.requests > 0
        for head in report.heads:
            responsible = self.managers.get(head.service)
            if responsible is not None:
                lifetime = (
                    ids.Lifetime(head.backend, head.born_ms)
                    if head.born_ms
                    else responsible.latest_lifetime(head.backend)
                )
                responsible.adoption.heads[head.group] = lifetime
                self._record_head_report(
                    responsible.evidence_of_lifetime(lifetime), head, now_s
                )

    def _record_head_report(
        self,
        evidence: group_module.Evidence,
        head: messages.HeadReport,
        now_s: float,
    ) -> None:
        """Update the evidence on a head from a gateway's report."""
        if head.silent_ms:
            is_new = evidence.suspected_s < now_s - SUSPICION_GAP_S
            evidence.suspected_s = now_s
            if is_new:
                logs.info(
                    _log,
                    "head_suspected",
                    backend=head.backend,
                    silent_ms=head.silent_ms,
                )
                self._probe()
            if evidence.refused is False and head.refused:
                evidence.refused = True
                self.review_due.set()
        elif head.reached_ms >= 0:
            served_s = now_s - head.reached_ms / 1000
            evidence.served_s = max(evidence.served_s, served_s)
        if head.reached_ms >= 0:
            reached_s = now_s - head.reached_ms / 1000
            evidence.reached_s = max(evidence.reached_s, reached_s)

    # Groups.

    @property
    def settled(self) -> bool:
        """Whether all backend servers have had time to announce themselves."""
        wait_s = self.settings.announce_interval_s * SETTLE_INTERVALS
        return time.monotonic() - self.ready_since_s >= wait_s

    async def _run_reviews(self) -> None:
        """Review the groups and send the resulting orders, until cancelled."""
        was_settled = False
        while True:
            await self.review_due.wait()
            self.review_due.clear()
            began_s = time.monotonic()
            settled = self.settled
            if settled and not was_settled:
                self.publisher.notify()
                logs.info(
                    _log, "fleet_settled", backends=len(self.fleet.backends)
                )
            was_settled = settled
            try:
                orders = self._review() if settled else self._adopt_groups()
                elapsed_s = time.monotonic() - began_s
                await self._send_orders(orders)
            except Exception as error:
                # If this task ended, no group would be repaired until another
                # voter became the leader.
                logs.error(_log, "review_failed", reason=repr(error))
                elapsed_s = time.monotonic() - began_s
            await asyncio.sleep(
                min(MAX_REVIEW_PAUSE_S, elapsed_s * REVIEW_PAUSE_FACTOR)
            )

    def _adopt_groups(self) -> Orders:
        """Adopt announced groups while the fleet is still incomplete."""
        now_s = time.monotonic()
        for manager in self.managers.values():
            manager.adopt_early(now_s)
        self.evacuations.review(self.managers)
        self._read_states(now_s)
        self._update_served_backends()
        return []

    def _review(self) -> Orders:
        """Review all groups and return the orders that are due."""
        now_s = time.monotonic()
        self.fleet.expire(now_s)
        for backend in list(self.fleet.backends.values()):
            if now_s - backend.announced_s > FORGET_TIMEOUT_S:
                self.fleet.forget(backend.announcement.backend, now_s)
        in_flight = self.publisher.in_flight()
        orders: Orders = []
        for manager in self.managers.values():
            manager.in_flight = in_flight
            manager.limited_per_s = self.limited_servers.rates_per_s()
            manager.demand = self.demand.rates(manager.service, now_s)
            orders += [(manager, order) for order in manager.step(now_s)]
        self.evacuations.review(self.managers)
        self._read_states(now_s)
        self._update_served_backends()
        _REVIEW_SECONDS.observe(time.monotonic() - now_s)
        return orders

    def _read_states(self, now_s: float) -> None:
        """Read the states of VMs whose announcements may be outdated."""
        for manager in self.managers.values():
            for backend in manager.begin_reads(now_s):
                self._start(self._read_state(manager, backend.announcement))

    async def _read_state(
        self,
        manager: groups_module.GroupManager,
        announcement: fleet_module.Announcement,
    ) -> None:
        state = await self.platform.read_state(
            announcement.backend, announcement.address
        )
        manager.end_read(announcement.lifetime, state)
        self.review_due.set()

    async def _send_orders(self, orders: Orders) -> None:
        """Send orders, after confirming that this voter still leads."""
        if not orders:
            return
        try:
            async with self.waits.within(CONFIRM_TIMEOUT_S):
                await self.consensus.confirm()
        except (errors.FlamingocleatError, TimeoutError) as error:
            # An order from a replaced leader could undo one from its successor.
            logs.warning(
                _log, "orders_withheld", count=len(orders), reason=repr(error)
            )
            return
        for manager, order in orders:
            self._start(self._send_order(manager, order))

    async def _send_order(
        self, manager: groups_module.GroupManager, order: orders_module.Order
    ) -> None:
        sent_s = time.monotonic()
        ordered = self.fleet.backends.get(order.backend)
        if ordered is not None:
            manager.confirmations.on_order_sent(
                order, ordered.announcement.lifetime
            )
        outcome = await self.platform.order(order)
        _ORDERS.labels(op=order.op.value, outcome=outcome.value).inc()
        logs.info(
            _log,
            "order_given",
            op=order.op.value,
            backend=order.backend,
            group=order.group,
            epoch=order.epoch,
            model=order.model,
            outcome=outcome.value,
            after_ms=round((time.monotonic() - sent_s) * 1000),
        )
        now_s = time.monotonic()
        if outcome is platform_module.OrderOutcome.FENCED:
            manager.on_order_fenced(order, now_s)
        elif ordered is not None:
            manager.on_order_answered(
                order, ordered.announcement.lifetime, _EFFECTS[outcome], now_s
            )
        backend = self.fleet.backends.get(order.backend)
        if (
            _EFFECTS.get(outcome) in confirmations.NO_ANSWER
            and order.op is orders_module.Op.JOIN
            and backend is not None
        ):
            await self._probe_backend(manager, backend)

    def _probe(self) -> None:
        if not self.settled:
            return
        now_s = time.monotonic()
        for manager in self.managers.values():
            for backend in manager.members_to_probe(now_s):
                self._start(self._probe_backend(manager, backend))

    async def _probe_backend(
        self,
        manager: groups_module.GroupManager,
        backend: fleet_module.Backend,
    ) -> None:
        evidence = manager.evidence_of(backend.announcement.backend)
        try:
            client = await http.Client.open(
                backend.announcement.address, PROBE_TIMEOUT_S
            )
        except http.ConnectError as error:
            now_s = time.monotonic()
            if evidence.silent_s is None:
                logs.info(
                    _log,
                    "backend_unreachable",
                    backend=backend.announcement.backend,
                    heard_s=round(now_s - backend.announced_s, 3),
                    reason=str(error),
                )
            evidence.silent_s = now_s
            evidence.refused = evidence.refused or error.refused
            self.review_due.set()
            return
        client.close()
        evidence.reached_s = time.monotonic()

    # State sent to gateways.

    def _fleet_state(self) -> feed.FleetState:
        return feed.FleetState(
            term=self.consensus.term,
            catalog=self.catalog,
            backends=self.served_backends,
            settled=self.settled,
            voters=tuple(
                sorted(self.consensus.membership.addresses().values())
            ),
            withdrawn=() if self.settled else self.fleet.withdrawn(),
            evacuated=self.evacuations.as_message(),
        )

    def _update_served_backends(self) -> None:
        """Update the servers that gateways may use; notify them of changes."""
        served = self._find_served_backends()
        if served != self.served_backends:
            self.served_backends = served
            self.publisher.notify()

    def _find_served_backends(self) -> tuple[messages.ServedBackend, ...]:
        now_s = time.monotonic()
        served = [
            _to_served_backend(backend.announcement)
            for backend in self.fleet.backends.values()
            if backend.announcement.service not in self.managers
            and backend.announcement.state is fleet_module.BackendState.READY
            and now_s - backend.announced_s < PLAIN_BACKEND_TIMEOUT_S
            and backend.announcement.data_centre not in self.machine.evacuations
        ]
        for manager in self.managers.values():
            handed_over = self.evacuations.groups_handed_over(manager)
            for group in (*manager.serving(), *handed_over):
                head = self.fleet.backends.get(group.head)
                if head is not None:
                    served.append(
                        msgspec.structs.replace(
                            _to_served_backend(head.announcement),
                            slots=min(
                                head.announcement.slots,
                                manager.declared_capacity(group),
                            ),
                            model=group.model,
                            group=group.name,
                            read_per_s=manager.read_per_s(group),
                        )
                    )
        served.sort(key=lambda each: each.backend)
        marked = self.limited_servers.mark(
            served, self.catalog, self.fleet, now_s, is_complete=self.settled
        )
        return learned_paces.apply(
            self.paces, marked, self.managers, self.fleet, now_s
        )

    # HTTP calls from operators and backend servers.

    async def _handle_call(self, exchange: http.Exchange) -> None:
        try:
            await self._dispatch(exchange)
        except Reply as reply:
            await exchange.respond(reply.status, reply.headers, reply.body)

    async def _dispatch(self, exchange: http.Exchange) -> None:
        target = exchange.target.decode("latin-1")
        try:
            call = self.platform.decode_call(
                exchange.method.decode("latin-1"), target, exchange.body
            )
        except platform_module.UnreadableError as error:
            logs.warning(_log, "call_unreadable", target=target, reason=error)
            raise Reply(400, f"{error}\n".encode()) from error
        if call is None:
            raise Reply(404, b"no such call\n")
        await self._check_leader(target)
        await _HANDLERS[type(call)](self, call)

    async def _check_leader(self, target: str) -> None:
        try:
            async with asyncio.timeout(MAX_REDIRECT_WAIT_S):
                await self.leadership.admit()
        except errors.NotLeaderError as error:
            if not error.leader_hint:
                raise Reply(503, b"no leader is known\n") from error
            location = f"http://{self._http_address(error.leader_hint)}{target}"
            raise Reply(
                307, headers=[(b"location", location.encode())]
            ) from error
        except (errors.FlamingocleatError, TimeoutError) as error:
            raise Reply(503, f"{error!r}\n".encode()) from error

    def _http_address(self, address: str) -> str:
        """Return a voter's HTTP address; all voters use the same HTTP port."""
        host = address.rpartition(":")[0]
        port = self.settings.http_listen.rpartition(":")[2]
        return f"{host}:{port}"

    async def _handle_announcement(
        self, call: platform_module.Announce
    ) -> None:
        now_s = time.monotonic()
        is_current = self.fleet.announce(call.announcement, now_s)
        _ANNOUNCEMENTS.labels(
            outcome="current" if is_current else "outdated"
        ).inc()
        if is_current:
            manager = self.managers.get(call.announcement.service)
            if manager is not None:
                evidence = manager.evidence_of(call.announcement.backend)
                evidence.reached_s = now_s
                evidence.silent_s = None
                evidence.refused = False
        if call.announcement.state is fleet_module.BackendState.DRAINING:
            # Also if it is outdated: its first copy may not have been stored.
            await self._store_drain(call.announcement)
        raise Reply(
            200,
            self.platform.encode_announced(self.settings.http_listen),
            [(b"content-type", b"application/json")],
        )

    async def _handle_leave(self, call: platform_module.Leave) -> None:
        withdrawal = self.fleet.departure(
            call.backend, call.born_ms, _unix_ms()
        )
        self._withdraw(withdrawal)
        await self._store_withdrawal(withdrawal)
        raise Reply(200)

    def _withdraw(self, withdrawal: fleet_module.Withdrawal) -> None:
        self.fleet.withdraw(withdrawal, time.monotonic())
        self.publisher.notify()

    async def _store_drain(
        self, announcement: fleet_module.Announcement
    ) -> None:
        """Store the first announcement with which a lifetime drains."""
        held = self.machine.withdrawals.get(announcement.backend)
        if held and held.withdrawal.born_ms >= announcement.born_ms:
            return
        withdrawal = fleet_module.Withdrawal(
            announcement.backend, announcement.born_ms, announcement.sequence
        )
        self._withdraw(withdrawal)
        await self._store_withdrawal(withdrawal)

    async def _store_withdrawal(
        self, withdrawal: fleet_module.Withdrawal
    ) -> None:
        """Store a withdrawal, which its acknowledgement promises to keep."""
        if self.machine.holds(withdrawal):
            return
        stored = declared.StoredWithdrawal(withdrawal, _unix_ms())
        try:
            async with self.waits.within(CONFIRM_TIMEOUT_S):
                await self.consensus.propose(
                    declared.PutDocument(declared.NO_VERSION, b"", stored)
                )
        except (errors.FlamingocleatError, TimeoutError) as error:
            logs.warning(
                _log,
                "withdrawal_unconfirmed",
                backend=withdrawal.backend,
                reason=repr(error),
            )
            raise Reply(503, b"not known to be stored\n") from error

    async def _handle_put(self, call: platform_module.PutDocument) -> None:
        findings = catalog_module.check(call.catalog)
        if findings:
            logs.warning(
                _log,
                "configuration_refused",
                version=call.catalog.version,
                findings="; ".join(findings),
            )
            raise Reply(400, "\n".join([*findings, ""]).encode())
        try:
            async with self.waits.within(COMMIT_TIMEOUT_S):
                if call.catalog.version <= self.machine.version:
                    await self.consensus.confirm()
                    changed = False
                else:
                    changed = await self.consensus.propose(
                        declared.PutDocument(
                            call.catalog.version, call.document
                        )
                    )
        except (errors.FlamingocleatError, TimeoutError) as error:
            logs.warning(
                _log,
                "configuration_unconfirmed",
                version=call.catalog.version,
                reason=repr(error),
            )
            raise Reply(503, b"not known to be stored\n") from error
        logs.info(
            _log,
            "configuration_acknowledged",
            version=call.catalog.version,
            changed=changed,
            held=self.machine.version,
        )
        raise Reply(200)

    async def _handle_get(self, call: platform_module.GetDocument) -> None:
        try:
            async with self.waits.within(CONFIRM_TIMEOUT_S):
                await self.consensus.confirm()
        except (errors.FlamingocleatError, TimeoutError) as error:
            raise Reply(503, b"not sure which is the newest\n") from error
        if not self.machine.document:
            raise Reply(503, b"there is no configuration yet\n")
        raise Reply(
            200,
            self.machine.document,
            [(b"content-type", b"application/json")],
        )

    async def _evacuate(self, call: platform_module.SetEvacuation) -> None:
        raise Reply(*await self.evacuations.handle(call))

    def _update_metrics(self) -> None:
        _LEADS.set(1 if self.leadership.ready.is_set() else 0)
        capacity_metrics.update(self.managers)
        capacity_metrics.update_paces(self.paces)
        if self.leadership.ready.is_set() and self.settled:
            capacity_metrics.log_capacity(self.managers, self.demand)


_HANDLERS: dict[type, collections.abc.Callable] = {
    platform_module.Announce: Coordinator._handle_announcement,
    platform_module.Leave: Coordinator._handle_leave,
    platform_module.PutDocument: Coordinator._handle_put,
    platform_module.GetDocument: Coordinator._handle_get,
    platform_module.SetEvacuation: Coordinator._evacuate,
}


def log_memory_bytes(memory_mb: float) -> int:
    """Return how many bytes of log entries fit into a process's memory."""
    return round((memory_mb or DEFAULT_MEMORY_MB) * 1e6 * LOG_MEMORY_FRACTION)


def _unix_ms() -> int:
    return int(time.time() * 1000)


def _to_served_backend(
    announcement: fleet_module.Announcement,
) -> messages.ServedBackend:
    return messages.ServedBackend(
        backend=announcement.backend,
        address=announcement.address,
        service=announcement.service,
        data_centre=announcement.data_centre,
        slots=announcement.slots,
        born_ms=announcement.born_ms,
    )


class _Reload:
    """Reloads the settings of the running coordinator."""

    def __init__(
        self,
        coordinator: Coordinator,
        read_settings: collections.abc.Callable[
            [], settings_module.CoordinatorSettings
        ],
    ) -> None:
        self.coordinator = coordinator
        self.read_settings = read_settings

    def __call__(self) -> None:
        self.coordinator.reload(self.read_settings())


async def run(
    read_settings: collections.abc.Callable[
        [], settings_module.CoordinatorSettings
    ],
    platform: platform_module.Platform,
) -> int:
    """Run until SIGTERM; return the exit status.

    After a failed write the storage is reopened following a delay, since a
    full disk may have free space again by then.
    """
    shutdown = shutdown_module.Shutdown()
    shutdown.install()
    metrics = http.Server(gateway.answer_metrics, settings=intake.SIDE_SETTINGS)
    settings = read_settings()
    if settings.metrics_listen:
        await metrics.start(settings.metrics_listen)
    while not shutdown.requested.is_set():
        try:
            coordinator = Coordinator(settings, platform)
        except errors.StorageError as error:
            logs.error(_log, "storage_unusable", reason=str(error))
            if not isinstance(error.__cause__, OSError):
                return 1
            await _wait_before_reopening(shutdown)
            continue
        await coordinator.start()
        shutdown.install_reload(_Reload(coordinator, read_settings))
        stopped = asyncio.create_task(shutdown.requested.wait())
        failed = asyncio.create_task(coordinator.failed.wait())
        await asyncio.wait(
            {stopped, failed}, return_when=asyncio.FIRST_COMPLETED
        )
        stopped.cancel()
        failed.cancel()
        await coordinator.stop()
        if not shutdown.requested.is_set():
            await _wait_before_reopening(shutdown)
    return 0


async def _wait_before_reopening(shutdown: shutdown_module.Shutdown) -> None:
    try:
        async with asyncio.timeout(REOPEN_DELAY_S):
            await shutdown.requested.wait()
    except TimeoutError:
        return
