"""Gateway program: serves callers from backend servers that it calls itself.

Keeps the leader's last view while control is away. Exits with 0 after a
planned stop.
"""

import asyncio
import collections.abc
import time

import prometheus_client

from flamingocleat import messages
from flamingocleat.connection import feed
from flamingocleat.connection import http
from flamingocleat.process import logs
from flamingocleat.process import settings as settings_module
from flamingocleat.process import shutdown as shutdown_module
from flamingocleat.process import timer as timer_module
from flamingocleat.request import admission
from flamingocleat.request import budget as budget_module
from flamingocleat.request import forward
from flamingocleat.version import candidates as candidates_module
from flamingocleat.version import catalog as catalog_module

_log = logs.logger("gateway")

SILENCE_CHECK_S = 0.05
"""Interval of the check for silent heads; a pause of 200 ms is late."""
PROBE_S = 0.5
"""Interval at which silent heads are dialled."""
PROBE_TIMEOUT_S = 0.3
MAX_AGE_S = 9999.0
"""Age that the log gives for a view that never came."""
END_MARGIN_S = 0.7
"""Kept free before the end of the grace period."""
IDLE_POLL_S = 0.05
"""Interval of the check whether all requests have ended."""


class Gateway:
    """One gateway with all that it serves; made on a running loop."""

    def __init__(
        self,
        read_settings: collections.abc.Callable[
            [], settings_module.GatewaySettings
        ],
        header_names: forward.HeaderNames,
    ) -> None:
        self.read_settings = read_settings
        self.settings = settings = read_settings()
        self.shutdown = shutdown_module.Shutdown()
        self.timer = timer_module.Timer()
        self.candidates = candidates_module.Candidates()
        self.admission = admission.Admission(
            settings.data_centre, self.candidates
        )
        self.budget = budget_module.Budget(settings.budget)
        self.forwarder = forward.Forwarder(
            header_names, self.admission, self.budget
        )
        self.follower = feed.Follower(
            lambda: self.settings.control, self._report, self._take
        )
        self.forwarder.view_age_s = lambda: min(
            MAX_AGE_S, time.monotonic() - self.follower.heard_s
        )
        self.server = http.Server(self.forwarder.handle, self.forwarder.limits)
        self.health = http.Server(self._answer_health)
        self.metrics = http.Server(answer_metrics)
        self.served = feed.Served()
        self.has_backends = False
        self.has_settled = False
        """True once a leader has named all backend servers."""
        self.probing: set[asyncio.Task[None]] = set()

    def reload(self) -> None:
        """Read the settings again; the next look for a leader uses them."""
        self.settings = self.read_settings()

    async def run(self) -> int:
        """Serve until asked to stop; return the exit status."""
        self.shutdown.install()
        self.shutdown.install_reload(self.reload)
        await self.server.start(self.settings.listen)
        if self.settings.health_listen != self.settings.listen:
            await self.health.start(self.settings.health_listen)
        if self.settings.metrics_listen:
            await self.metrics.start(self.settings.metrics_listen)
        self.timer.subscribe("silence", SILENCE_CHECK_S, self._check_silence)
        self.timer.subscribe("probe", PROBE_S, self._probe)
        tasks = [
            asyncio.create_task(self.timer.run()),
            asyncio.create_task(self.follower.run()),
        ]
        logs.info(
            _log,
            "gateway_started",
            gateway=self.settings.gateway,
            listen=self.settings.listen,
        )
        await self.shutdown.requested.wait()
        await self._drain(time.monotonic())
        for task in tasks:
            task.cancel()
        logs.info(_log, "gateway_stopped", gateway=self.settings.gateway)
        return 0

    @property
    def not_ready(self) -> str:
        """Why the balancer should send no callers, or an empty string."""
        if self.shutdown.requested.is_set():
            return "shutting down"
        if self.forwarder.directory is None:
            return "no configuration has arrived"
        if not self.has_backends:
            return "no backend servers are known"
        return ""

    async def _drain(self, from_s: float) -> None:
        """Finish what is in hand; take new requests until noticed."""
        self.server.draining = True
        end_s = from_s + self.settings.grace_s - END_MARGIN_S
        notice_s = from_s + self.settings.drain_notice_s
        await asyncio.sleep(max(0.0, notice_s - time.monotonic()))
        self.server.close_listener()
        self.server.close_idle()
        logs.info(_log, "drain_started", busy=self.server.busy)
        while self.server.busy and time.monotonic() < end_s:
            await asyncio.sleep(IDLE_POLL_S)
            self.server.close_idle()
        logs.info(_log, "drain_finished", busy=self.server.busy)

    async def _answer_health(self, exchange: http.Exchange) -> None:
        reason = self.not_ready
        await exchange.respond(
            503 if reason else 200,
            [(b"content-type", b"text/plain")],
            f"{reason or 'ready'}\n".encode(),
        )

    # The leader's view.

    def _take(self, view: messages.GatewayView) -> None:
        self.budget.gateways = view.gateways
        if view.catalog is not None:
            self._take_catalog(view.catalog)
        if self.served.take(view) and (view.settled or not self.has_settled):
            named = self.served.backends.values()
            self.has_backends = bool(named)
            self.has_settled = self.has_settled or view.settled
            self.candidates.update(named)
            logs.info(
                _log,
                "view_taken",
                term=view.term,
                version=view.version,
                settled=view.settled,
                heads=",".join(
                    f"{each.backend}@{each.group}"
                    for each in named
                    if each.model
                ),
                backends=len(named),
            )
        self.candidates.update_load(view.load)

    def _take_catalog(self, catalog: catalog_module.Catalog) -> None:
        known = self.forwarder.directory
        if known is not None and known.catalog.version > catalog.version:
            logs.warning(
                _log,
                "outdated_catalog_ignored",
                version=catalog.version,
                held=known.catalog.version,
            )
            return
        self.forwarder.directory = catalog_module.CatalogIndex(catalog)
        logs.info(_log, "catalog_taken", version=catalog.version)

    def _report(self, sequence: int) -> messages.GatewayReport:
        now_s = time.monotonic()
        directory = self.forwarder.directory
        return messages.GatewayReport(
            gateway=self.settings.gateway,
            data_centre=self.settings.data_centre,
            sequence=sequence,
            version=directory.catalog.version if directory else -1,
            requests=self.forwarder.requests,
            heads=tuple(
                candidate.report(now_s)
                for candidate in self.candidates.by_backend.values()
                if candidate.view.model
            ),
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
                    time.monotonic() - (candidate.suspect_s or 0.0), 3
                ),
            )
            for work in list(candidate.work):
                work.interrupt("head is silent")
        if silent:
            self.follower.urgent.set()

    def _probe(self) -> None:
        for candidate in self.candidates.by_backend.values():
            if candidate.view.model and candidate.suspect_s is not None:
                task = asyncio.create_task(self._dial(candidate))
                self.probing.add(task)
                task.add_done_callback(self.probing.discard)

    async def _dial(self, candidate: candidates_module.Candidate) -> None:
        """Learn whether a silent head still accepts connections."""
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
