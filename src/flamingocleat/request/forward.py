"""Forwards callers' requests directly to backend servers.

A non-idempotent request is not sent again once it may have run. Others are
retried within the route's maximum number of attempts and the shared retry
budget, and a stream that breaks resumes on another server after its last
complete event.
"""

import asyncio
import collections.abc
import functools
import random
import time

import msgspec
import prometheus_client

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat.connection import http
from flamingocleat.connection import intake
from flamingocleat.process import logs
from flamingocleat.request import admission as admission_module
from flamingocleat.request import answer_room
from flamingocleat.request import budget as budget_module
from flamingocleat.request import crash_guard
from flamingocleat.request import direct_attempt as attempts
from flamingocleat.request import direct_call
from flamingocleat.request import direct_stream
from flamingocleat.request import header_names as header_names_module
from flamingocleat.request import open_requests
from flamingocleat.request import pace_samples
from flamingocleat.request import server_ends
from flamingocleat.request import takeover as takeovers
from flamingocleat.version import candidates as candidates_module
from flamingocleat.version import catalog
from flamingocleat.version import crashes

_log = logs.logger("forward")

CONNECT_TIMEOUT_S = 0.3
"""Timeout for opening a connection within a region; a lost packet is
retransmitted after 0.2 s."""
MAX_CONNECTS = 3
"""Bound on the servers that are tried until one accepts a connection."""
FIRST_ATTEMPT_FRACTION = 0.6
"""Fraction of the objective after which an idempotent call is retried on
another server, if one is free and the budget allows it."""
MAX_RETRY_AFTER_FRACTION = 1 / 3
"""Bounds Retry-After to this fraction of the caller's remaining time."""
NO_VIEW_RETRY_AFTER_S = 0.5
"""Shortest Retry-After while no configuration has arrived yet."""
FIRST_VIEW_S = 1.6
"""Time from a gateway's start until it has a configuration and knows the
heads, if control starts at the same time. It took 1.0 to 1.3 s in final
faults."""
MAX_HELD = 256
"""Bound on the requests that wait for the first configuration."""
RETRY_AFTER_JITTER_S = 0.5
"""Range of the random delay that spreads the retries of callers that are
refused at the same time."""

_ANSWERS = prometheus_client.Counter(
    "flamingocleat_gateway_answers", "Answers to callers", ["status"]
)
_RETRIES = prometheus_client.Counter(
    "flamingocleat_gateway_repeats", "Requests sent again", ["reason"]
)
_FIRST_BYTE = prometheus_client.Histogram(
    "flamingocleat_gateway_first_byte_seconds",
    "Time from a request's last byte to the first byte of its answer",
    buckets=(0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 4),
)


class Refusal(errors.FlamingocleatError):
    """Makes the gateway itself answer the request, with an error status."""

    def __init__(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.retry_after_s = retry_after_s


class Forwarder:
    """Serves the callers of one gateway."""

    def __init__(
        self,
        header_names: header_names_module.HeaderNames,
        admission: admission_module.Admission,
        budget: budget_module.Budget,
        seed: int | None = None,
    ) -> None:
        self.header_names = header_names
        self.admission = admission
        self.budget = budget
        self.guard = crash_guard.CrashGuard(crashes.CrashRecord())
        self.server_ends = server_ends.ServerEnds(
            self.guard, admission.candidates
        )
        self.pace = pace_samples.PaceSamples()
        self.answer_room = answer_room.AnswerRoom(
            intake.Settings().server_answer_bytes
        )
        self.catalog_index: catalog.CatalogIndex | None = None
        self.requests = 0
        self.view_age_s: collections.abc.Callable[[], float] = lambda: 0.0
        """Returns the age of the leader's last view, for the log."""
        self.random = random.Random(seed)
        self.started_s = time.monotonic()
        self.held = 0
        """Requests that wait for the first configuration."""
        self.stop_at_s = float("inf")
        """When the last answer must be sent, since the process stops."""
        self.refuse_from_s = float("inf")
        """From when on requests that are read are refused."""
        self.in_flight: dict[direct_call.Call, asyncio.Timeout] = {}
        self.open_requests = open_requests.OpenRequests(header_names)
        self.catalog_arrived = asyncio.Event()

    def limits(self) -> catalog.Limits:
        """Return the limits on callers' requests."""
        if self.catalog_index is None:
            return catalog.UNCONFIGURED_LIMITS
        return self.catalog_index.catalog.limits

    def apply_catalog(self, catalog_index: catalog.CatalogIndex) -> None:
        """Use another configuration from now on."""
        self.catalog_index = catalog_index
        self.catalog_arrived.set()

    async def handle(self, exchange: http.Exchange) -> None:
        """Serve one request, or answer it with a failure on any error."""
        try:
            with self.open_requests.track(exchange):
                await self._handle(exchange)
        except Exception:
            if exchange.started:
                raise
            failure = Refusal(open_requests.FAILED_STATUS, "internal error")
            _ANSWERS.labels(status=str(failure.status)).inc()
            await self._respond(exchange, failure)

    async def _handle(self, exchange: http.Exchange) -> None:
        self.requests += 1
        try:
            if exchange.arrived_s >= self.refuse_from_s:
                raise Refusal(503, "this gateway stops", 0.0)
            if self.catalog_index is None:
                await self._wait_for_catalog(exchange)
            call = self._parse(exchange)
            self.open_requests.calls[exchange] = call
            call.deadline_s = min(call.deadline_s, self.stop_at_s)
            self.budget.record_request(call.service.name)
            async with asyncio.timeout(call.remaining_s()) as timeout:
                self.in_flight[call] = timeout
                try:
                    await self._serve(call)
                finally:
                    del self.in_flight[call]
        except Refusal as refusal:
            await self._refuse(exchange, refusal)
        except TimeoutError:
            await self._time_out(exchange, call)

    def stop_by(self, stop_at_s: float) -> None:
        """Answer all requests until then, whatever their deadline."""
        self.stop_at_s = stop_at_s
        loop_offset_s = asyncio.get_running_loop().time() - time.monotonic()
        for call, timeout in self.in_flight.items():
            call.deadline_s = min(call.deadline_s, stop_at_s)
            if not timeout.expired():
                timeout.reschedule(call.deadline_s + loop_offset_s)

    async def _wait_for_catalog(self, exchange: http.Exchange) -> None:
        """Hold a request while the first configuration is about to arrive.

        After a restart of everything it arrives within a second or two, and
        callers may retry only once. Later than that nobody knows when it will,
        and requests are refused at once.
        """
        wait_s = min(
            self.started_s + FIRST_VIEW_S - time.monotonic(),
            direct_call.caller_timeout_s(exchange, self.header_names)
            * MAX_RETRY_AFTER_FRACTION,
        )
        if wait_s <= 0 or self.held >= MAX_HELD:
            return
        self.held += 1
        try:
            async with asyncio.timeout(wait_s):
                await self.catalog_arrived.wait()
        except TimeoutError:
            return
        finally:
            self.held -= 1

    def _parse(self, exchange: http.Exchange) -> direct_call.Call:
        if self.catalog_index is None:
            raise Refusal(
                503,
                "no configuration has arrived",
                self._first_view_retry_after_s(),
            )
        target = exchange.target.decode("latin-1")
        host = exchange.header(b"host").partition(":")[0]
        route = self.catalog_index.find_route(host, target.partition("?")[0])
        if route is None:
            raise Refusal(404, f"no route for {host}{target}")
        customer = self._authenticate(exchange, route, self.catalog_index)
        weights = [each.weight for each in route.targets]
        target_service = self.random.choices(route.targets, weights)[0].service
        service = self.catalog_index.services[target_service]
        return direct_call.Call(
            exchange,
            route,
            customer,
            service,
            self.header_names,
            self.version(),
        )

    def _authenticate(
        self,
        exchange: http.Exchange,
        route: catalog.Route,
        catalog_index: catalog.CatalogIndex,
    ) -> catalog.Customer | None:
        key = exchange.header(self.header_names.credential)
        customer = catalog_index.find_customer(key) if key else None
        if customer is None and (
            catalog_index.catalog.requires_keys and not route.anonymous
        ):
            raise Refusal(401, "the key is unknown" if key else "no key")
        return customer

    async def _serve(self, call: direct_call.Call) -> None:
        tried: frozenset[ids.BackendId] = frozenset()
        connect_failures = 0
        stream = direct_stream.Stream(call, self)
        try:
            while True:
                with self.guard.trial(await self._admit(call)) as on_trial:
                    candidate = await self._place(call, tried, on_trial)
                    placed_s = time.monotonic()
                    try:
                        error = await self._try_at(
                            candidate, call, stream, on_trial
                        )
                    finally:
                        held_s = time.monotonic() - placed_s
                        self.admission.release(candidate, held_s)
                while error is not None and stream.takeover is not None:
                    takeover, stream.takeover = stream.takeover, None
                    error = await takeover.finish(error)
                if error is None:
                    return
                if error.failure is attempts.Failure.UNKNOWN:
                    call.may_have_run = True
                tried |= call.sent_to | {call.backend}
                connect_failures += error.failure is attempts.Failure.NOT_SENT
                if not self._may_retry(call, error, connect_failures):
                    await self._fail(call, error)
                    return
        finally:
            if stream.takeover is not None:
                stream.takeover.cancel()

    def _begin_takeover(
        self,
        call: direct_call.Call,
        stream: direct_stream.Stream,
        source: attempts.Attempt,
    ) -> None:
        """Have a stream continued by a server that has a free slot, if any."""
        last = stream.takeover
        if last and not last.may_repeat:
            return
        excluded = frozenset(call.sent_to)
        if not self.admission.choose(call.demand, excluded, resuming=True):
            return
        if not self.budget.withdraw(call.service.name):
            return
        candidate = self.admission.try_place(
            call.demand, excluded, resuming=True
        )
        assert candidate is not None
        _RETRIES.labels(reason="takeover").inc()
        logs.info(
            _log,
            "takeover_begun",
            request=call.request_id,
            backend=source.candidate.view.backend,
            by=candidate.view.backend,
        )
        stream.takeover = takeovers.Takeover(
            source,
            self._take_over(candidate, call, stream),
            functools.partial(self.admission.release, candidate),
        )

    async def _take_over(
        self,
        candidate: candidates_module.Candidate,
        call: direct_call.Call,
        stream: direct_stream.Stream,
    ) -> takeovers.Outcome:
        try:
            if await self._admit(call):
                raise Refusal(503, "a request on trial stays where it is")
        except Refusal as error:
            return attempts.AttemptError(attempts.Failure.NOT_SENT, str(error))
        return await self._try_at(candidate, call, stream, ())

    async def _try_at(
        self,
        candidate: candidates_module.Candidate,
        call: direct_call.Call,
        stream: direct_stream.Stream,
        on_trial: tuple[ids.Suspect, ...],
    ) -> attempts.AttemptError | None:
        """Serve a call by one server; return why that failed, or None."""
        call.backend = candidate.view.backend
        try:
            with self.guard.trial_at(call.backend, on_trial):
                await self._attempt(call, candidate, stream)
        except attempts.AttemptError as error:
            if (
                error.failure is attempts.Failure.NOT_RUN
                or error.answer is not None
            ):
                self.server_ends.record_failure(call, candidate)
            self._log_failure(call, candidate, error)
            return error
        return None

    async def _admit(self, call: direct_call.Call) -> tuple[ids.Suspect, ...]:
        """Wait until the call may be sent; return the suspects it tries."""
        try:
            return await self.guard.admit(call.suspects, call.deadline_s)
        except crash_guard.WithheldError as error:
            status = 502 if call.may_have_run else 503
            raise Refusal(status, str(error), error.retry_after_s) from error

    async def _place(
        self,
        call: direct_call.Call,
        tried: frozenset[ids.BackendId],
        on_trial: tuple[ids.Suspect, ...],
    ) -> candidates_module.Candidate:
        resuming = call.exchange.started
        tried |= self.guard.servers_on_trial(on_trial)
        demand = msgspec.structs.replace(
            call.demand,
            repeatable=call.can_retry,
            is_trial=bool(on_trial),
        )
        try:
            return await self.admission.place(demand, tried, resuming=resuming)
        except admission_module.NoCapacityError as error:
            if tried and not resuming:
                # Retrying on a server that failed is better than giving up.
                found = self.admission.try_place(demand, call.excluded)
                if found is not None:
                    return found
            if call.may_have_run:
                raise Refusal(502, str(error)) from error
            raise Refusal(503, str(error), error.retry_after_s) from error

    async def _attempt(
        self,
        call: direct_call.Call,
        candidate: candidates_module.Candidate,
        stream: direct_stream.Stream,
    ) -> None:
        attempt = attempts.Attempt(candidate, call, self.budget)
        attempt.begin_takeover = functools.partial(
            self._begin_takeover, call, stream, attempt
        )
        candidate.attempts.add(attempt)
        try:
            await self._send(call, attempt, stream)
            return
        except http.BrokenAnswerError as error:
            # The error refers to all that was read of the answer, and is
            # released before anything else is awaited.
            reason = attempt.interrupted or str(error)
        finally:
            self.server_ends.record_abandoned(call, candidate)
            candidate.attempts.discard(attempt)
            if attempt.meter is not None:
                attempt.meter.has_ended = True
            if attempt.client is not None:
                attempt.client.close()
                attempt.client = None
        if not attempt.interrupted:
            candidate.mark_failed(time.monotonic())
            if not attempt.writing:
                await self.server_ends.examine(call, candidate)
        failed = attempts.AttemptError(attempts.Failure.UNKNOWN, reason)
        failed.has_budget = attempt.has_budget
        raise failed

    async def _send(
        self,
        call: direct_call.Call,
        attempt: attempts.Attempt,
        stream: direct_stream.Stream,
    ) -> None:
        """Send a call to a server, and its answer to the caller."""
        client = await self._connect(attempt)
        if call.remaining_s() < attempts.MIN_REMAINING_S:
            raise attempts.AttemptError(
                attempts.Failure.NOT_SENT, "no time is left"
            )
        if not self.admission.cold.may_send(attempt.candidate):
            raise attempts.AttemptError(
                attempts.Failure.NOT_SENT, "a grant has expired"
            )
        call.sent += 1
        call.sent_to.add(call.backend)
        self.server_ends.record_sent(call, attempt.candidate)
        headers = self._headers(
            call, attempt.candidate, stream.received.last_event_id
        )
        client.send(
            call.exchange.method,
            call.exchange.target,
            headers,
            call.exchange.body,
        )
        if call.route.kind is catalog.CallKind.STREAM:
            await stream.relay(attempt, client)
        else:
            await self._answer(call, attempt, client)

    async def _connect(self, attempt: attempts.Attempt) -> http.Client:
        candidate = attempt.candidate
        try:
            client = await http.Client.open(
                candidate.view.address, CONNECT_TIMEOUT_S
            )
        except http.ConnectError as error:
            now_s = time.monotonic()
            candidate.refused = error.refused
            if error.refused:
                self.server_ends.record_refused_connection(candidate)
            candidate.mark_failed(now_s)
            if candidate.view.model:
                candidate.mark_silent(now_s)
            raise attempts.AttemptError(
                attempts.Failure.NOT_SENT, str(error)
            ) from error
        attempt.client = client
        attempt.started_s = attempt.listening_s = time.monotonic()
        if attempt.interrupted:
            raise attempts.AttemptError(
                attempts.Failure.NOT_SENT, attempt.interrupted
            )
        return client

    def _headers(
        self,
        call: direct_call.Call,
        candidate: candidates_module.Candidate,
        last_event_id: str,
    ) -> http.Headers:
        names = self.header_names
        replaced = {
            names.deadline_ms,
            names.credential,
            names.customer,
            names.expected_backend,
            names.urgency,
            names.last_event_id,
            b"content-length",
        }
        headers = [
            (name, value)
            for name, value in call.exchange.headers
            if name not in replaced and name not in http.HOP_BY_HOP
        ]
        remaining_ms = max(1, int(call.remaining_s() * 1000))
        headers.append((names.deadline_ms, str(remaining_ms).encode()))
        headers.append(
            (names.expected_backend, candidate.view.backend.encode())
        )
        if call.customer is not None:
            headers.append((names.customer, call.customer.name.encode()))
        if last_event_id:
            headers.append((names.last_event_id, last_event_id.encode()))
        if call.demand.model:
            urgency = min(9, call.demand.priority)
            headers.append((names.urgency, str(urgency).encode()))
        return headers

    async def _answer(
        self,
        call: direct_call.Call,
        attempt: attempts.Attempt,
        client: http.Client,
    ) -> None:
        """Forward an answer that is not a stream."""
        with self.answer_room.hold(client.close) as held:
            answer, body = await self._read_answer(call, attempt, client, held)
            self.check_answer(call, answer)
            self.server_ends.record_answer(call, attempt.candidate)
            if answer.status >= 500 and call.is_repeatable:
                failed = attempts.AttemptError(
                    attempts.Failure.UNKNOWN, f"status {answer.status}"
                )
                failed.answer = (answer, body)
                raise failed
            attempt.candidate.mark_succeeded()
            if answer.status < 300:
                self.pace.record_answer(attempt, call)
            await self.send_answer(call, answer, body)

    async def _read_answer(
        self,
        call: direct_call.Call,
        attempt: attempts.Attempt,
        client: http.Client,
        held: answer_room.HeldAnswer,
    ) -> tuple[http.Answer, bytes]:
        retry_s = call.route.objective_s * FIRST_ATTEMPT_FRACTION
        try:
            async with asyncio.timeout(call.remaining_s()) as timeout:
                retry = asyncio.get_running_loop().call_later(
                    retry_s, self._move_late_answer, attempt, timeout
                )
                try:
                    answer = await client.answer()
                    self.record_head(attempt, answer)
                    return answer, await client.read_all(count=held.grow)
                finally:
                    retry.cancel()
        except TimeoutError as error:
            attempt.candidate.mark_failed(time.monotonic())
            self.pace.record_answer(attempt, call)
            failed = attempts.AttemptError(
                attempts.Failure.UNKNOWN, "no answer in time"
            )
            failed.has_budget = attempt.has_budget
            raise failed from error
        except http.BrokenAnswerError as error:
            if held.has_ended:
                raise http.BrokenAnswerError(
                    f"no room for an answer of {held.held_bytes} bytes"
                ) from error
            raise

    def _move_late_answer(
        self, attempt: attempts.Attempt, timeout: asyncio.Timeout
    ) -> None:
        """End the wait for an answer if another server can be asked.

        Otherwise it is still the only answer that the caller may get.
        """
        call = attempt.call
        other = self.admission.choose(call.demand, frozenset(call.sent_to))
        if not attempt.can_retry or other is None:
            return
        attempt.has_budget = self.budget.withdraw(call.service.name)
        if attempt.has_budget:
            timeout.reschedule(asyncio.get_running_loop().time())

    def record_head(
        self, attempt: attempts.Attempt, answer: http.Answer
    ) -> None:
        """Record what the head of an answer tells about its server."""
        now_s = time.monotonic()
        candidate = attempt.candidate
        candidate.mark_alive(now_s)
        if self._is_from_server(attempt, answer):
            self.admission.cold.record_limit(
                candidate,
                answer.values(self.header_names.limit),
                attempt.started_s,
            )
        cold = answer.header(self.header_names.cold)
        self.admission.cold.record_answer(candidate, cold)
        notices = candidate.notices
        leaving = answer.header(self.header_names.leaving)
        notices.record_leaving(candidate.lifetime, leaving)
        if answer.status == 503:
            wait = answer.header(b"retry-after")
            notices.record_wait(candidate.lifetime, wait, now_s)

    def _is_from_server(
        self, attempt: attempts.Attempt, answer: http.Answer
    ) -> bool:
        """Return whether an answer is the server's, and to this request.

        Another server at its address answers 421.
        """
        answered_id = answer.header(self.header_names.request_id)
        return answer.status != 421 and answered_id == attempt.request_id

    def check_answer(self, call: direct_call.Call, answer: http.Answer) -> None:
        """Check that an answer is the backend server's, and to this call.

        Raises:
            attempts.AttemptError: It is not, or the server did not run it.
        """
        if answer.header(self.header_names.request_id) != call.request_id:
            raise attempts.AttemptError(
                attempts.Failure.UNKNOWN, "answer has another id"
            )
        if answer.status == 421 or answer.header(self.header_names.not_run):
            raise attempts.AttemptError(
                attempts.Failure.NOT_RUN,
                f"server refused with {answer.status}",
            )
        if answer.header(b"content-encoding"):
            raise attempts.AttemptError(
                attempts.Failure.UNKNOWN, "answer is encoded"
            )
        if answer.status < 300 and not answer.header(self.header_names.proof):
            raise attempts.AttemptError(
                attempts.Failure.UNKNOWN, "success without its mark"
            )

    async def send_answer(
        self, call: direct_call.Call, answer: http.Answer, body: bytes
    ) -> None:
        """Send a server's complete answer to the caller."""
        self.record_first_byte(call)
        await call.exchange.respond(
            answer.status, direct_stream.forwarded_headers(answer.headers), body
        )
        self.record_answer(call, answer.status, "answered")

    def record_first_byte(self, call: direct_call.Call) -> None:
        """Record the time to the first byte, once per call."""
        if call.first_byte_s is None:
            call.first_byte_s = time.monotonic() - call.exchange.arrived_s
            _FIRST_BYTE.observe(call.first_byte_s)

    def _may_retry(
        self,
        call: direct_call.Call,
        error: attempts.AttemptError,
        connect_failures: int,
    ) -> bool:
        if call.remaining_s() < attempts.MIN_REMAINING_S:
            return False
        if error.failure is attempts.Failure.NOT_SENT:
            return connect_failures < MAX_CONNECTS
        if call.sent >= call.route.max_attempts:
            return False
        if error.failure is attempts.Failure.UNKNOWN and not call.is_repeatable:
            return False
        if not error.has_budget and not self.budget.withdraw(call.service.name):
            return False
        _RETRIES.labels(reason=error.failure.value).inc()
        return True

    async def _fail(
        self, call: direct_call.Call, error: attempts.AttemptError
    ) -> None:
        """End a call that cannot be retried."""
        if call.exchange.started:
            # The answer is left unfinished, so that it does not look complete.
            self.record_answer(call, 0, f"broken off: {error}")
            return
        if error.answer is not None:
            await self.send_answer(call, *error.answer)
            return
        if call.may_have_run:
            raise Refusal(502, str(error))
        raise Refusal(503, str(error), admission_module.MIN_RETRY_AFTER_S)

    async def _refuse(self, exchange: http.Exchange, refusal: Refusal) -> None:
        call = self.open_requests.calls.get(exchange)
        if exchange.started and call is not None:
            # The answer is left unfinished, so that it does not look complete.
            self.record_answer(call, 0, f"broken off: {refusal}")
            return
        request_id = exchange.header(self.header_names.request_id)
        self.open_requests.close(exchange)
        logs.info(
            _log,
            "request_refused",
            request=request_id,
            status=refusal.status,
            retry_after_s=refusal.retry_after_s,
            after_ms=round((time.monotonic() - exchange.arrived_s) * 1000),
            version=self.version(),
            view_age_ms=round(self.view_age_s() * 1000),
            reason=refusal,
        )
        _ANSWERS.labels(status=str(refusal.status)).inc()
        await self._respond(exchange, refusal)

    async def _respond(self, exchange: http.Exchange, refusal: Refusal) -> None:
        """Send an answer of this gateway's own."""
        headers = [(b"content-type", b"text/plain")]
        request_id = exchange.header(self.header_names.request_id)
        if request_id:
            headers.append((self.header_names.request_id, request_id.encode()))
        if refusal.retry_after_s is not None:
            caller_timeout_s = direct_call.caller_timeout_s(
                exchange, self.header_names
            )
            after_s = min(
                refusal.retry_after_s,
                caller_timeout_s * MAX_RETRY_AFTER_FRACTION,
            )
            headers.append((b"retry-after", f"{after_s:.2f}".encode()))
        await exchange.respond(refusal.status, headers, f"{refusal}\n".encode())

    async def _time_out(
        self, exchange: http.Exchange, call: direct_call.Call
    ) -> None:
        reason = f"no whole answer within {call.route.timeout_s} s"
        if time.monotonic() >= self.stop_at_s:
            reason = "no whole answer before this gateway stops"
        if exchange.started:
            self.record_answer(call, 0, reason)
            return
        status = 504 if call.sent else 503
        await self._refuse(exchange, Refusal(status, reason))

    def _first_view_retry_after_s(self) -> float:
        """Return the Retry-After while no configuration has arrived.

        It lasts until one is expected, since many callers may retry only once.
        """
        remaining_s = self.started_s + FIRST_VIEW_S - time.monotonic()
        jitter_s = self.random.uniform(0, RETRY_AFTER_JITTER_S)
        return max(NO_VIEW_RETRY_AFTER_S, remaining_s) + jitter_s

    def version(self) -> int:
        """Return the version of the configuration in force."""
        if self.catalog_index is None:
            return catalog.NO_VERSION
        return self.catalog_index.catalog.version

    def _log_failure(
        self,
        call: direct_call.Call,
        candidate: candidates_module.Candidate,
        error: attempts.AttemptError,
    ) -> None:
        logs.info(
            _log,
            "attempt_failed",
            request=call.request_id,
            backend=candidate.view.backend,
            group=candidate.view.group,
            sent=call.sent,
            failure=error.failure.value,
            after_ms=round((time.monotonic() - call.exchange.arrived_s) * 1000),
            parts=",".join(call.parts),
            digest=call.digest,
            ended=candidate.refused,
            reason=error,
        )

    def record_answer(
        self, call: direct_call.Call, status: int, outcome: str
    ) -> None:
        """Log and count the end of a call.

        The status is 0 if the answer was left unfinished.
        """
        _ANSWERS.labels(status=str(status)).inc()
        self.open_requests.close(call.exchange)
        logs.info(
            _log,
            "request_ended",
            request=call.request_id,
            route=call.route.name,
            status=status,
            sent=call.sent,
            backend=call.backend,
            version=call.version,
            view_age_ms=round(self.view_age_s() * 1000),
            first_byte_ms=round((call.first_byte_s or 0) * 1000),
            after_ms=round((time.monotonic() - call.exchange.arrived_s) * 1000),
            outcome=outcome,
        )
