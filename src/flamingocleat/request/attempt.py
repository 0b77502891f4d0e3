"""Sends a call to agents, with retries within the budget and deadline."""

import collections.abc
import contextlib
import enum
import http.client
import select
import socket
import threading
import time
import typing

import prometheus_client
import urllib3
import urllib3.exceptions

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import bounded
from flamingocleat.connection import watch
from flamingocleat.process import logs
from flamingocleat.process import settings
from flamingocleat.request import call as call_module
from flamingocleat.request import problem
from flamingocleat.version import routing

INITIAL_RETRIES = 10
"""Retries allowed before the ratio applies, for an entry that has just
started."""

MAX_SAVED_RETRIES = 100.0
"""Bound on the retries that accumulate while few are needed."""

RESUME_PAUSE_S = 0.1
RESUME_PAUSE_MAX_S = 1.0

CONNECTION_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
)
"""Errors that urllib3 and its sockets raise for a failed connection."""

_SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
]
"""While an unstreamed answer is awaited, no bytes arrive whose absence would
reveal a dead connection. TCP keepalive probes end such a connection about 5 s
after its last byte."""

_log = logs.logger("attempt")

_failed = prometheus_client.Counter(
    "flamingocleat_entry_attempts_failed",
    "Attempts at agents that gave no answer",
    ["outcome"],
)


class AgentOutcome(enum.Enum):
    """Values of the header Flamingocleat-Outcome."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class AttemptError(errors.FlamingocleatError):
    """An attempt did not return an answer."""

    def __init__(
        self,
        outcome: problem.Outcome,
        reason: str,
        retry_after_s: float = 0,
        sent: bool = True,
    ) -> None:
        super().__init__(reason)
        self.outcome = outcome
        self.retry_after_s = retry_after_s
        self.sent = sent
        """False if no byte of the request has left this process."""


class CallerGoneError(errors.FlamingocleatError):
    """The caller has closed its connection."""


class Budget:
    """Limits retries to a ratio of the requests; thread-safe.

    After n requests, at most max(INITIAL_RETRIES, ratio * n) retries have been
    made.
    """

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self.tokens = float(INITIAL_RETRIES)
        self.requests_until_ratio = (
            INITIAL_RETRIES / ratio if ratio > 0 else 0.0
        )
        self.lock = threading.Lock()

    def record_request(self) -> None:
        """Count a caller's request."""
        with self.lock:
            if self.requests_until_ratio >= 1:
                self.requests_until_ratio -= 1
            else:
                self.tokens = min(MAX_SAVED_RETRIES, self.tokens + self.ratio)

    def withdraw(self) -> bool:
        """Return whether a retry is allowed; if so, count it."""
        with self.lock:
            if self.tokens < 1:
                return False
            self.tokens -= 1
            return True


class Reply:
    """An agent's response whose status and headers were read and checked."""

    def __init__(
        self,
        sock: bounded.BoundedSocket,
        response: urllib3.response.BaseHTTPResponse,
        method: str,
        resources: contextlib.ExitStack,
    ) -> None:
        self.sock = sock
        self.method = method
        self.response = response
        self.resources = resources
        self.status = response.status
        self.content_type = response.headers.get("Content-Type", "")

    def close(self) -> None:
        """Close the connection; the agent then cancels work in progress."""
        self.resources.close()

    def read_buffered(self) -> bytes:
        """Return the bytes of the body that were read with the headers.

        Afterwards the body must be read from the socket, which is made
        non-blocking. urllib3 has no public access to its buffer.
        """
        self.sock.unbound()
        self.sock.setblocking(False)
        body = getattr(self.response, "_fp", None)
        return typing.cast(bytes, body.fp.peek()) if body and body.fp else b""

    def is_chunked(self) -> bool:
        """Return whether the body has the chunked transfer coding."""
        coding = self.response.headers.get("Transfer-Encoding", "")
        return coding.lower() == "chunked"

    def read_answer(self, limit: int) -> messages.Answer:
        """Return the complete answer; raise AttemptError if it is truncated."""
        headers = self.response.headers
        has_no_body = self.method == "HEAD" or self.status in (204, 304)
        if not has_no_body and not (
            "Content-Length" in headers or self.is_chunked()
        ):
            raise AttemptError(
                problem.Outcome.UNKNOWN, "answer does not tell its length"
            )
        self.sock.bound_body(self.sock.deadline_s, limit)
        try:
            body = self.response.read(limit + 1, decode_content=False)
            if len(body) <= limit and not has_no_body:
                body += self.response.read(1, decode_content=False)
        except CONNECTION_ERRORS as error:
            raise AttemptError(
                problem.Outcome.UNKNOWN, f"answer was cut: {error}"
            ) from error
        if len(body) > limit:
            raise AttemptError(
                problem.Outcome.UNKNOWN, f"answer exceeds {limit} bytes"
            )
        return messages.Answer(self.status, self.content_type, body)


class Attempts:
    """The attempts of one call, and what is known about its outcome."""

    def __init__(
        self,
        entry_settings: settings.EntrySettings,
        call: call_module.Call,
        backends: watch.BackendWatcher,
        budget: Budget,
        caller: socket.socket | None = None,
    ) -> None:
        self.settings = entry_settings
        self.call = call
        self.backends = backends
        self.budget = budget
        self.caller = caller
        """Checked for disconnection while an answer is awaited, unless None."""
        self.count = 0
        """Number of attempts made."""
        self.tried: set[str] = set()
        """Backend servers that have failed this call."""
        self.is_paid = False
        """Whether the next attempt is counted against the budget already."""
        self.last_candidate: routing.Candidate | None = None
        self.last_started_s = 0.0
        self.outcome = problem.Outcome.NOT_RUN
        self.retry_after_s = 0.0
        self.reason = "no backend server is serving"

    def open(
        self,
        use: collections.abc.Callable[[Reply], typing.Any],
        offset: int = 0,
        free: bool = False,
    ) -> typing.Any:
        """Make attempts until `use` accepts a reply, and return its result.

        Args:
            use: Called with each reply; raises AttemptError to reject it.
            offset: Number of events after which a stream resumes.
            free: Whether the first attempt here is not counted against the
                retry budget. The first attempt of the call never is.

        Raises:
            Problem: No further attempt is allowed.
        """
        while True:
            candidate = self.choose()
            if candidate is None:
                raise self.refusal()
            if self.count and not free and not self._pay():
                self.backends.release(candidate)
                self.reason += "; the retry budget is used up"
                raise self.refusal()
            self.count += 1
            self.last_candidate = candidate
            self.last_started_s = time.monotonic()
            free = False
            try:
                reply = self.send(candidate, offset)
                try:
                    return use(reply)
                except BaseException:
                    reply.close()
                    raise
            except AttemptError as error:
                self.record(candidate, error)
                if not self.may_retry(error):
                    raise self.refusal() from error

    def _pay(self) -> bool:
        """Return whether the budget allows a retry; if so, count it."""
        is_paid, self.is_paid = self.is_paid, False
        return is_paid or self.budget.withdraw()

    def choose(
        self, excluded: collections.abc.Iterable[str] = ()
    ) -> routing.Candidate | None:
        """Choose a backend server that has not failed this call."""
        if not self.call.remaining_s():
            return None
        return self.backends.acquire(
            self.call.service.name,
            routing.Call(
                self.settings.data_centre,
                self.call.prefixes,
                frozenset(self.tried.union(excluded)),
            ),
        )

    def send(
        self,
        candidate: routing.Candidate,
        offset: int = 0,
        permit: ids.PermitId | None = None,
    ) -> Reply:
        """Make one attempt over a new connection.

        The candidate comes from `choose` and is released with the reply.
        """
        with contextlib.ExitStack() as resources:
            resources.callback(self.backends.release, candidate)
            connection = _connect(self.settings, self.call, candidate)
            resources.callback(connection.close)
            # The response takes over the socket if it ends the connection.
            sock = bounded.BoundedSocket.replace(connection.sock)
            connection.sock = sock
            sock.bound(self.call.deadline_s, bounded.MAX_HEAD_BYTES)
            headers = _headers(self.call, candidate.view, offset, permit)
            try:
                connection.request(
                    self.call.method,
                    self.call.path,
                    self.call.body or None,
                    headers,
                    preload_content=False,
                    decode_content=False,
                )
                self.wait_for_answer(sock)
                sock.settimeout(max(0.001, self.call.remaining_s()))
                response = connection.getresponse()
            except CONNECTION_ERRORS as error:
                raise AttemptError(
                    problem.Outcome.UNKNOWN, f"connection failed: {error}"
                ) from error
            resources.callback(response.close)
            _check_response(self.call, response)
            return Reply(sock, response, self.call.method, resources.pop_all())

    def record(self, candidate: routing.Candidate, error: AttemptError) -> None:
        """Record a failed attempt."""
        self.tried.add(candidate.view.backend)
        if not error.sent:
            self.backends.record_connect_failure(candidate)
        self.reason = str(error)
        self.retry_after_s = max(self.retry_after_s, error.retry_after_s)
        if error.outcome is problem.Outcome.UNKNOWN:
            self.outcome = error.outcome
        _failed.labels(outcome=error.outcome.value).inc()
        logs.info(
            _log,
            "attempt_failed",
            request=self.call.request_id,
            backend=candidate.view.backend,
            outcome=error.outcome.value,
            reason=error,
        )

    def record_first_token(self) -> None:
        """Record the time from the start of the attempt to its first events."""
        if self.last_candidate is not None:
            elapsed_s = time.monotonic() - self.last_started_s
            self.backends.record_first_token(self.last_candidate, elapsed_s)

    def avoid_last(self) -> None:
        """Exclude the backend server that was used last."""
        if self.last_candidate is not None:
            self.tried.add(self.last_candidate.view.backend)

    def may_retry(self, error: AttemptError) -> bool:
        """Return whether another attempt is safe and there is time for it."""
        not_run = error.outcome is problem.Outcome.NOT_RUN
        return self.call.remaining_s() > 0 and (self.call.repeatable or not_run)

    def refusal(self) -> problem.Problem:
        """Return the Problem that reports what is known about the call."""
        if not self.call.remaining_s():
            return problem.deadline_exceeded(self.outcome)
        if self.outcome is problem.Outcome.NOT_RUN:
            return problem.unavailable(self.reason, self.retry_after_s or 1)
        return problem.unknown(self.reason, 1 if self.call.repeatable else 0)

    def wait_for_answer(self, sock: socket.socket) -> None:
        """Wait until the answer starts; raise if the caller disconnects.

        A stream that does not start within its bound is given up once another
        attempt can replace it.
        """
        while not self._has_answer(sock):
            if not self.call.remaining_s():
                raise TimeoutError("no answer before the deadline")
            if self._may_give_up():
                raise TimeoutError(
                    "no first byte within "
                    f"{self.settings.first_byte_timeout_s:.1f} s"
                )

    def _has_answer(self, sock: socket.socket) -> bool:
        """Wait for an answer, for a stream no longer than its bound."""
        bound_s = self.call.remaining_s()
        if self.call.stream:
            bound_s = min(bound_s, self.settings.first_byte_timeout_s)
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        if self.caller is not None and self.call.repeatable:
            # POLLRDHUP is reported without reading, so that a pipelined
            # request in the buffer is not taken for a closed connection.
            poll.register(self.caller, select.POLLRDHUP)
        ready = {number for number, _ in poll.poll(bound_s * 1000)}
        if ready and sock.fileno() not in ready:
            raise CallerGoneError("the caller closed its connection")
        return bool(ready)

    def _may_give_up(self) -> bool:
        """Return whether another attempt can begin; if so, count it."""
        if self.last_candidate is None:
            # The outcome of a claimed call is asked for, not another attempt.
            return True
        if not self.call.repeatable:
            return False
        other = self.choose({self.last_candidate.view.backend})
        if other is None:
            return False
        self.backends.release(other)
        self.is_paid = self._pay()
        return self.is_paid


def _connect(
    entry_settings: settings.EntrySettings,
    call: call_module.Call,
    candidate: routing.Candidate,
) -> bounded.Connection:
    """Open a new connection, so that none that has gone silent is reused."""
    host, _, port = candidate.view.data_address.rpartition(":")
    bound_s = min(entry_settings.connect_timeout_s, call.remaining_s())
    connection = bounded.Connection(
        host,
        int(port),
        timeout=max(0.001, bound_s),
        socket_options=_SOCKET_OPTIONS,
    )
    try:
        connection.connect()
    except CONNECTION_ERRORS as error:
        connection.close()
        raise AttemptError(
            problem.Outcome.NOT_RUN, f"cannot connect: {error}", sent=False
        ) from error
    connection.sock.settimeout(max(0.001, call.remaining_s()))
    return connection


def _headers(
    call: call_module.Call,
    view: messages.BackendView,
    offset: int,
    permit: ids.PermitId | None,
) -> dict[str, str]:
    headers = {
        "X-Request-Id": call.request_id,
        "Flamingocleat-Fence": str(view.fence),
        "Flamingocleat-Incarnation": view.incarnation,
        "Flamingocleat-Customer": call.customer.name,
        "Flamingocleat-Deadline-Ms": str(int(call.remaining_s() * 1000)),
        "Flamingocleat-Priority": str(call.priority),
        "Flamingocleat-Resume-Offset": str(offset) if offset else "",
        "Flamingocleat-Permit": permit or "",
        "Idempotency-Key": call.key,
        "Content-Type": call.content_type,
        "Accept": call.accept,
        "traceparent": call.traceparent,
    }
    return {name: value for name, value in headers.items() if value}


def _check_response(
    call: call_module.Call, response: urllib3.response.BaseHTTPResponse
) -> None:
    """Raise AttemptError unless this is the answer to this call."""
    echoed = response.headers.get("X-Request-Id", "")
    if echoed != call.request_id:
        logs.error(
            _log, "foreign_answer", request=call.request_id, echoed=echoed
        )
        raise AttemptError(
            problem.Outcome.UNKNOWN, "answer belongs to another request"
        )
    outcome = response.headers.get("Flamingocleat-Outcome", "")
    if outcome == AgentOutcome.NOT_RUN.value:
        retry_after = response.headers.get("Retry-After", "")
        raise AttemptError(
            problem.Outcome.NOT_RUN,
            f"the agent refused the call with status {response.status}",
            float(retry_after) if retry_after.isdigit() else 0.0,
        )
    if outcome != AgentOutcome.RAN.value:
        raise AttemptError(
            problem.Outcome.UNKNOWN,
            f"the agent cannot tell the outcome (status {response.status})",
        )
