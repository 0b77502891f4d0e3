"""Gateway program: proxies callers' requests directly to backend servers.

Continues with the leader's last view while no coordinator is reachable. Exits
with 0 after a planned stop.
"""

import asyncio
import collections.abc
import socket
import time

import msgspec
import prometheus_client

from flamingocleat import messages
from flamingocleat.connection import feed
from flamingocleat.connection import http
from flamingocleat.connection import intake
from flamingocleat.process import logs
from flamingocleat.process import settings as settings_module
from flamingocleat.process import shutdown as shutdown_module
from flamingocleat.process import timer as timer_module
from flamingocleat.request import admission
from flamingocleat.request import budget as budget_module
from flamingocleat.request import explanation
from flamingocleat.request import fair_order
from flamingocleat.request import forward
from flamingocleat.request import header_names as header_names_module
from flamingocleat.request import pace_samples
from flamingocleat.version import candidates as candidates_module
from flamingocleat.version import catalog as catalog_module

_log = logs.logger("gateway")

_EVACUATED = prometheus_client.Gauge(
    "flamingocleat_gateway_evacuated_data_centres",
    "Evacuated data centres, whose servers get no requests",
)

COLD_DISPATCH_S = 0.1
"""Interval at which requests get what has become free of a server's limit per
second."""
SILENCE_CHECK_S = 0.05
"""Interval of the check for silent heads; 200 ms of silence is too long."""
PROBE_INTERVAL_S = 0.5
"""Interval between connection attempts to silent heads."""
PROBE_TIMEOUT_S = 0.3
MAX_LOGGED_VIEW_AGE_S = 9999.0
"""Upper bound on the logged view age, used if no view has arrived."""
GRACE_MARGIN_S = 0.7
"""Time left unused at the end of the grace period."""
ANSWER_MARGIN_S = 0.2
"""Time before that at which requests without an answer get a final one."""
MAX_NOTICE_FRACTION = 0.5
"""Bound on the drain notice, as a fraction of the grace period."""
IDLE_POLL_S = 0.05
"""Interval between checks for unfinished requests while draining."""


class Gateway:
    """A gateway and its servers; must be created on a running event loop."""

    def __init__(
        self,
        read_settings: collections.abc.Callable[
            [], settings_module.GatewaySettings
        ],
        header_names: header_names_module.HeaderNames,
        listener: socket.socket | None = None,
    ) -> None:
        self.listener = listener
        """A socket that already listens for callers, or None."""
        self.read_settings = read_settings
        self.shutdown = shutdown_module.Shutdown()
        # Before the settings are read, so that no later change is missed.
        self.shutdown.install()
        self.settings = settings = read_settings()
        self.timer = timer_module.Timer()
        self.candidates = candidates_module.Candidates()
        self.admission = admission.Admission(
            settings.data_centre, self.candidates
        )
        self.admission.knows_all_servers = lambda: self.has_settled
        self.admission.cold.bounds = settings.cold
        self.budget = budget_module.Budget(settings.budget)
        self.forwarder = forward.Forwarder(
            header_names, self.admission, self.budget
        )
        self.subscriber = feed.Subscriber(
            lambda: self.settings.control,
            self._report,
            self._apply_view,
            self.forwarder.guard.crashes,
        )
        self.admission.cold.request_report = self.subscriber.report_now.set
        self.forwarder.view_age_s = lambda: min(
            MAX_LOGGED_VIEW_AGE_S, time.monotonic() - self.subscriber.heard_s
        )
        bounds = intake.Settings.for_gateway(settings)
        self.forwarder.answer_room.room_bytes = bounds.server_answer_bytes
        self.server = http.Server(
            self.forwarder.handle, self.forwarder.limits, bounds, "gateway"
        )
        self.health = http.Server(
            self._answer_health, settings=intake.SIDE_SETTINGS
        )
        self.metrics = http.Server(
            self._answer_operator, settings=intake.SIDE_SETTINGS
        )
        self.served = feed.ServedBackends()
        self.has_backends = False
        self.has_settled = False
        """Whether a view has arrived that lists all backend servers."""
        self.probe_tasks: set[asyncio.Task[None]] = set()

    def reload(self) -> None:
        """Reload the settings; the next search for a leader uses them."""
        self.settings = self.read_settings()
        self.budget.settings = self.settings.budget
        self.admission.cold.bounds = self.settings.cold

    async def run(self) -> int:
        """Serve until shutdown is requested; return the exit status."""
        self.shutdown.install_reload(self.reload)
        await self.server.start(self.settings.listen, self.listener)
        if self.settings.health_listen != self.settings.listen:
            await self.health.start(self.settings.health_listen)
        if self.settings.metrics_listen:
            await self.metrics.start(self.settings.metrics_listen)
        self.timer.subscribe("silence", SILENCE_CHECK_S, self._check_silence)
        self.timer.subscribe(
            "pace",
            pace_samples.COLLECT_INTERVAL_S,
            self.forwarder.pace.collect,
        )
        self.timer.subscribe("probe", PROBE_INTERVAL_S, self._probe)
        self.timer.subscribe(
            "cold", COLD_DISPATCH_S, self.admission.dispatch_limited
        )
        tasks = [
            asyncio.create_task(self.timer.run()),
            asyncio.create_task(self.subscriber.run()),
        ]
        logs.info(
            _log,
            "gateway_started",
            gateway=self.settings.gateway,
            listen=self.settings.listen,
        )
        await self.shutdown.requested.wait()
        await self._drain(self.shutdown.begun_s or time.monotonic())
        for task in tasks:
            task.cancel()
        logs.info(_log, "gateway_stopped", gateway=self.settings.gateway)
        return 0

    @property
    def not_ready_reason(self) -> str:
        """Why a load balancer should send no requests, or an empty string."""
        if self.shutdown.requested.is_set():
            return "shutting down"
        if self.forwarder.catalog_index is None:
            return "no configuration has arrived"
        if not self.has_backends:
            return "no backend servers are known"
        return ""

    async def _drain(self, began_s: float) -> None:
        """Accept requests during the drain notice, then finish pending ones."""
        self.server.draining = True
        grace_s = self.settings.grace_s - GRACE_MARGIN_S
        end_s = began_s + grace_s
        notice_s = began_s + min(
            self.settings.drain_notice_s, grace_s * MAX_NOTICE_FRACTION
        )
        self.forwarder.refuse_from_s = notice_s
        self._run_step(
            "deadlines",
            lambda: self.forwarder.stop_by(end_s - ANSWER_MARGIN_S),
        )
        await asyncio.sleep(max(0.0, notice_s - time.monotonic()))
        self._run_step("listener", self.server.close_listener)
        # What the last connections have sent is read meanwhile.
        await asyncio.sleep(IDLE_POLL_S)
        self._run_step("idle", self.server.close_idle)
        logs.info(
            _log,
            "drain_started",
            busy=self.server.busy,
            requests=self.forwarder.open_requests.names(),
        )
        is_over = False
        while self.server.busy and not is_over:
            # After a pause of the event loop, the last answers are due too.
            is_over = time.monotonic() >= end_s
            await asyncio.sleep(IDLE_POLL_S)
            self._run_step("idle", self.server.close_idle)
            if time.monotonic() >= end_s - ANSWER_MARGIN_S:
                self._run_step("unfinished", self.server.refuse_unfinished)
        logs.info(
            _log,
            "drain_finished",
            busy=self.server.busy,
            requests=self.forwarder.open_requests.names(),
        )

    def _run_step(
        self, name: str, step: collections.abc.Callable[[], None]
    ) -> None:
        """Run a step of a stop; without it, the requests still end."""
        try:
            step()
        except Exception as error:
            logs.error(
                _log,
                "drain_failed",
                step=name,
                busy=self.server.busy,
                requests=self.forwarder.open_requests.names(),
                reason=repr(error),
            )

    async def _answer_health(self, exchange: http.Exchange) -> None:
        reason = self.not_ready_reason
        await exchange.respond(
            503 if reason else 200,
            [(b"content-type", b"text/plain")],
            f"{reason or 'ready'}\n".encode(),
        )

    async def _answer_operator(self, exchange: http.Exchange) -> None:
        """Serve the metrics, or explain where a request would go."""
        target = exchange.target.decode("latin-1")
        if target.partition("?")[0] != explanation.PATH:
            await answer_metrics(exchange)
            return
        try:
            answer = explanation.explain(
                explanation.read_question(target),
                self.forwarder.catalog_index,
                self.admission,
            )
        except explanation.QuestionError as error:
            text = f"{error}\n".encode()
            await exchange.respond(
                400, [(b"content-type", b"text/plain")], text
            )
            return
        await exchange.respond(
            200,
            [(b"content-type", b"application/json")],
            msgspec.json.encode(answer),
        )

    # Views from the leader.

    def _apply_view(self, view: messages.GatewayView) -> None:
        self.budget.gateways = view.gateways
        self.admission.elsewhere.update(
            view.waiting_elsewhere, time.monotonic()
        )
        if view.catalog is not None:
            self._apply_catalog(view.catalog)
        # Before the list, whose servers get waiting requests at once.
        self._apply_evacuated(view.evacuated)
        if self.served.apply(view) and (view.settled or not self.has_settled):
            backends_in_view = self.served.backends.values()
            # With everything evacuated, callers are refused with a wait.
            self.has_backends = bool(backends_in_view) or (
                view.settled and bool(view.evacuated)
            )
            self.has_settled = self.has_settled or view.settled
            self.candidates.update(backends_in_view)
            logs.info(
                _log,
                "view_taken",
                term=view.term,
                version=view.version,
                settled=view.settled,
                heads=",".join(
                    f"{each.backend}@{each.group}"
                    for each in backends_in_view
                    if each.model
                ),
                backends=len(backends_in_view),
            )
        self.candidates.discard(view.withdrawn)
        self.admission.cold.apply_view(view)
        self.candidates.update_load(view.load)

    def _apply_evacuated(
        self, evacuated: tuple[messages.EvacuatedDataCentre, ...]
    ) -> None:
        before = set(self.candidates.evacuated)
        self.candidates.set_evacuated(evacuated)
        if before != set(self.candidates.evacuated):
            _EVACUATED.set(len(evacuated))
            logs.info(
                _log,
                "evacuations_applied",
                data_centres=",".join(each.data_centre for each in evacuated),
                hand_over_ms=",".join(str(e.hand_over_ms) for e in evacuated),
            )

    def _apply_catalog(self, catalog: catalog_module.Catalog) -> None:
        known = self.forwarder.catalog_index
        if known is not None and known.catalog.version > catalog.version:
            logs.warning(
                _log,
                "outdated_catalog_ignored",
                version=catalog.version,
                held=known.catalog.version,
            )
            return
        self.forwarder.apply_catalog(catalog_module.CatalogIndex(catalog))
        logs.info(_log, "catalog_applied", version=catalog.version)

    def _report(self, sequence: int) -> messages.GatewayReport:
        now_s = time.monotonic()
        return messages.GatewayReport(
            gateway=self.settings.gateway,
            data_centre=self.settings.data_centre,
            sequence=sequence,
            version=self.forwarder.version(),
            requests=self.forwarder.requests,
            heads=tuple(
                report
                for candidate in self.candidates.by_backend.values()
                if (report := self.forwarder.pace.report(candidate, now_s))
            ),
            demand=tuple(
                count.report(service, model)
                for (service, model), count in self.admission.demand.items()
            ),
            cold_wanted=self.admission.cold.wanted(sequence, self.admission),
            limits=self.admission.cold.statements(),
            waiting=fair_order.count_waiting(self.admission.waiting),
        )

    # Silent heads.

    def _check_silence(self) -> None:
        silent = self.candidates.check_silence()
        for candidate in silent:
            logs.warning(
                _log,
                "head_silent",
                backend=candidate.view.backend,
                group=candidate.view.group,
                in_flight=candidate.in_flight,
                silent_s=round(
                    time.monotonic() - (candidate.suspected_s or 0.0), 3
                ),
            )
            for attempt in list(candidate.attempts):
                if not attempt.has_begun:
                    attempt.interrupt("head is silent")
        for candidate in self.candidates.find_stopped():
            for attempt in list(candidate.attempts):
                if attempt.has_begun:
                    attempt.move()
        if silent:
            self.subscriber.report_now.set()

    def _probe(self) -> None:
        for candidate in self.candidates.by_backend.values():
            if candidate.view.model and candidate.suspected_s is not None:
                task = asyncio.create_task(self._probe_candidate(candidate))
                self.probe_tasks.add(task)
                task.add_done_callback(self.probe_tasks.discard)

    async def _probe_candidate(
        self, candidate: candidates_module.Candidate
    ) -> None:
        """Check whether a silent head still accepts connections."""
        try:
            client = await http.Client.open(
                candidate.view.address, PROBE_TIMEOUT_S
            )
        except http.ConnectError as error:
            candidate.refused = error.refused
            return
        candidate.reached_s = time.monotonic()
        client.close()


async def answer_metrics(exchange: http.Exchange) -> None:
    """Serve the metrics of this process."""
    content_type = prometheus_client.CONTENT_TYPE_LATEST.encode()
    await exchange.respond(
        200,
        [(b"content-type", content_type)],
        prometheus_client.generate_latest(),
    )
