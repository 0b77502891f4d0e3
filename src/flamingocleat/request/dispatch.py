"""The agent's data path: forwards calls to the backend server.

The bytes of a stream are forwarded with the engine's own chunk framing. If an
answer is truncated, its connection is closed without the terminating chunk, so
that an entry never takes the answer for complete.
"""

import collections.abc
import contextlib
import http
import http.client
import itertools
import json
import select
import socket
import time
import typing
import urllib.parse

import msgspec
import urllib3
import urllib3.exceptions

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import bounded
from flamingocleat.process import logs
from flamingocleat.process import settings
from flamingocleat.process import shutdown
from flamingocleat.request import gate
from flamingocleat.request import record

_log = logs.logger("dispatch")

WATCH_INTERVAL_S = 0.1
"""Time within which a call in flight is aborted after its group has lost a
member, or after its entry has disconnected."""
MAX_ANSWER_BYTES = 262_144
"""Bounds answers of plain services, which are recorded in the replicated
log."""
MAX_DEADLINE_MS = 600_000
COMPLETIONS_PATH = "/v1/chat/completions"
SOCKET_KEY = "flamingocleat.socket"
"""Key of the WSGI environment under which the server passes the caller's
socket."""
FRAMED_KEY = "flamingocleat.framed"
"""Key of the WSGI environment that is set if the answer's bytes already have
the framing of the chunked transfer coding."""

_CONNECT_TIMEOUT_S = 1.0
_CANCEL_TIMEOUT_S = 1.0
_READ_BYTES = 16_384
_LAST_CHUNK = b"\r\n0\r\n\r\n"
_MAX_ENGINE_ANSWER_BYTES = 16_777_216
"""Entries refuse larger answers, by default."""
_MAX_CANCEL_ANSWER_BYTES = 65_536
_CONNECTION_ERRORS = (
    OSError,
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
)
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_OWN_HEADER_PREFIXES = ("flamingocleat-", "x-request-id")


class CutError(errors.FlamingocleatError):
    """An answer was truncated or cannot be shown to be complete.

    The class name appears in error details that are sent to entries.
    """


class CallHeaders(msgspec.Struct, frozen=True):
    """Headers with which an entry describes a call."""

    request_id: ids.RequestId
    fence: ids.FencingNumber
    incarnation: ids.Incarnation
    deadline_ms: int
    resume_offset: str
    priority: str
    permit: ids.PermitId
    key: str
    customer: ids.CustomerId


class Call:
    """A call in flight."""

    def __init__(
        self, environ: dict[str, typing.Any], headers: CallHeaders, attempt: str
    ) -> None:
        self.environ = environ
        self.headers = headers
        self.attempt = attempt
        self.name = f"{headers.request_id}/{attempt}"
        self.deadline_s = time.monotonic() + headers.deadline_ms / 1000
        self.caller: socket.socket | None = environ.get(SOCKET_KEY)
        self.connection: bounded.Connection | None = None
        self.socket: bounded.BoundedSocket | None = None
        self.sent = False
        """Whether bytes may have been sent to the backend server."""
        self.last_bytes = b""
        self.complete = False
        """Whether the backend server's answer has been read to its end."""
        self.abort_reason = ""
        """Why the call was aborted; empty if it was not."""

    def abort(self, reason: str) -> None:
        """Abort the call, from any thread and even while it waits for I/O."""
        if self.abort_reason:
            return
        self.abort_reason = reason
        if self.socket is not None:
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RDWR)

    def remaining_s(self) -> float:
        """Return the time until the deadline."""
        return self.deadline_s - time.monotonic()


class Dispatch:
    """WSGI application that forwards calls to the backend server."""

    def __init__(
        self,
        agent: settings.AgentSettings,
        call_gate: gate.Gate,
        recorder: record.Recorder,
        stopping: shutdown.Shutdown,
    ) -> None:
        self.kind = agent.kind
        self.gate = call_gate
        self.recorder = recorder
        self.shutdown = stopping
        url = urllib.parse.urlsplit(agent.backend_url)
        self.host = url.hostname or ""
        self.port = url.port or http.client.HTTP_PORT
        self.calls: dict[str, Call] = {}
        self.counter = itertools.count(1)
        self.cancel_pool = bounded.Pool(
            agent.backend_url, _CANCEL_TIMEOUT_S, _MAX_CANCEL_ANSWER_BYTES
        )

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        """Forward one call and return its answer."""
        incarnation = self.gate.membership.incarnation
        try:
            call = Call(
                environ,
                _call_headers(environ),
                f"{incarnation}-{next(self.counter)}",
            )
        except gate.RefusedError as error:
            return _problem_response(environ, start_response, error)
        with contextlib.ExitStack() as stack:
            stack.callback(self._end, call)
            self._begin(call)
            try:
                answer = self._answer(call, start_response)
            except gate.RefusedError as error:
                error.outcome = self._outcome(call, error)
                _log_refusal(call, error)
                return _problem_response(environ, start_response, error)
            if isinstance(answer, bytes):
                return [answer]
            return _ClosingBody(answer, stack.pop_all())

    def _begin(self, call: Call) -> None:
        self.calls[call.attempt] = call
        self.shutdown.begin_call(call.name)

    def _end(self, call: Call) -> None:
        self.calls.pop(call.attempt, None)
        if call.connection is not None:
            call.connection.close()
        if call.sent and not call.complete:
            self._cancel(call)
        self.shutdown.end_call(call.name)
        logs.info(
            _log,
            "call_ended",
            request_id=call.headers.request_id,
            sent=call.sent,
            whole=call.complete,
            cut=call.abort_reason,
        )

    def _cancel(self, call: Call) -> None:
        if self.kind is messages.BackendKind.PLAIN:
            return
        try:
            self.cancel_pool.ask("POST", "/-/cancel", {"attempt": call.attempt})
        except _CONNECTION_ERRORS as error:
            logs.warning(
                _log,
                "cancel_failed",
                request_id=call.headers.request_id,
                reason=repr(error),
            )

    def _outcome(self, call: Call, error: gate.RefusedError) -> gate.Outcome:
        if error.outcome is not gate.Outcome.NOT_RUN or not call.headers.permit:
            return error.outcome
        if call.headers.incarnation != self.gate.membership.incarnation:
            return error.outcome
        return self.gate.outcome_after_refusal(call.headers.permit)

    def _answer(
        self, call: Call, start_response: typing.Any
    ) -> bytes | collections.abc.Generator[bytes]:
        response = self._send(call)
        if self.kind is messages.BackendKind.PLAIN:
            return self._answer_plain(call, response, start_response)
        if not response.chunked:
            return self._answer_unstreamed(call, response, start_response)
        if call.socket is not None:
            call.socket.unbound()
        first = self._read(call, response)
        call.environ[FRAMED_KEY] = True
        start_response(
            _status_line(response.status),
            [
                *_answer_headers(response),
                *_own_headers(call.headers.request_id),
            ],
        )
        return self._stream(call, response, first)

    def _send(self, call: Call) -> http.client.HTTPResponse:
        body = _body(call.environ)
        self._check(call)
        connection = bounded.Connection(
            self.host, self.port, timeout=_CONNECT_TIMEOUT_S
        )
        call.connection = connection
        try:
            connection.connect()
        except _CONNECTION_ERRORS as error:
            raise gate.RefusedError(
                503, "cannot connect to backend server", gate.Outcome.NOT_RUN
            ) from error
        call.socket = bounded.BoundedSocket.replace(connection.sock)
        connection.sock = call.socket
        self._check(call)
        if call.headers.permit:
            self.gate.use(call.headers.permit, call.headers.key)
        call.sent = True
        try:
            connection.timeout = _read_timeout_s(call, self.kind)
            call.socket.bound(
                _read_deadline_s(call, self.kind), bounded.MAX_HEAD_BYTES
            )
            connection.request(
                call.environ["REQUEST_METHOD"],
                _request_target(call.environ),
                body=body,
                headers=self._headers(call),
            )
            # Uses the standard library's response, since urllib3's doubles
            # the cost of each chunk.
            return http.client.HTTPConnection.getresponse(connection)
        except _CONNECTION_ERRORS as error:
            raise _backend_failure(call, error) from error

    def _check(self, call: Call) -> None:
        headers = call.headers
        self.gate.check(headers.fence, headers.incarnation)
        if call.abort_reason or call.remaining_s() <= 0:
            reason = call.abort_reason or "deadline has passed"
            raise gate.RefusedError(504, reason, gate.Outcome.NOT_RUN)
        if self.kind is messages.BackendKind.ENGINE:
            _check_engine_call(call)
        elif headers.permit and self.recorder.is_full():
            raise gate.RefusedError(
                503,
                "too many answers wait to be recorded",
                gate.Outcome.NOT_RUN,
            )

    def _headers(self, call: Call) -> dict[str, str]:
        headers = _forwarded_headers(call.environ)
        headers["Connection"] = "close"
        headers["X-Request-Id"] = call.headers.request_id
        headers["X-Request-Timeout-Ms"] = str(
            max(1, int(call.remaining_s() * 1000))
        )
        if call.headers.permit:
            # The register stores the content type, but no encoding.
            headers.pop("Accept-Encoding", None)
        if self.kind is messages.BackendKind.ENGINE:
            headers["Fencing-Number"] = str(call.headers.fence)
            headers["Attempt-Id"] = call.attempt
            if call.headers.resume_offset:
                headers["Resume-Offset"] = call.headers.resume_offset
            if call.headers.priority:
                headers["Priority"] = call.headers.priority
        return headers

    def _read(self, call: Call, response: http.client.HTTPResponse) -> bytes:
        """Return the next bytes of a chunked answer, including its framing."""
        try:
            data = response.fp.read1(_READ_BYTES)
        except _CONNECTION_ERRORS as error:
            raise _backend_failure(call, error) from error
        if not self.gate.may_continue(call.headers.fence):
            call.abort("group lost a member")
        if call.abort_reason:
            raise _backend_failure(call, CutError(call.abort_reason))
        if not data and not call.complete:
            raise _backend_failure(call, CutError("answer has no terminator"))
        call.last_bytes = (call.last_bytes + data)[-len(_LAST_CHUNK) :]
        call.complete = call.last_bytes == _LAST_CHUNK
        return data

    def _stream(
        self, call: Call, response: http.client.HTTPResponse, data: bytes
    ) -> collections.abc.Generator[bytes]:
        try:
            while data:
                yield data
                data = self._read(call, response)
        except gate.RefusedError as error:
            _log_refusal(call, error)
            raise CutError(str(error)) from error

    def _read_body(
        self, call: Call, response: http.client.HTTPResponse, limit: int
    ) -> bytes:
        """Return the answer's body, or its first `limit` bytes.

        An answer without a length that ends when its connection is closed is
        refused, since it cannot be distinguished from a truncated
        one.
        """
        if response.length is None and not response.chunked:
            raise _backend_failure(call, CutError("answer has no length"))
        if call.socket is not None:
            call.socket.bound_body(_read_deadline_s(call, self.kind), limit)
        try:
            body = response.read(limit)
        except _CONNECTION_ERRORS as error:
            raise _backend_failure(call, error) from error
        if not self.gate.may_continue(call.headers.fence):
            call.abort("group lost a member")
        if call.abort_reason:
            raise _backend_failure(call, CutError(call.abort_reason))
        if response.length and len(body) < limit:
            raise _backend_failure(call, CutError("answer is incomplete"))
        call.complete = True
        return body

    def _answer_unstreamed(
        self,
        call: Call,
        response: http.client.HTTPResponse,
        start_response: typing.Any,
    ) -> bytes:
        """Return an engine's answer that is not a stream."""
        body = self._read_body(call, response, _MAX_ENGINE_ANSWER_BYTES)
        if response.length:
            raise _backend_failure(call, CutError("answer is too large"))
        start_response(
            _status_line(response.status),
            [
                *_answer_headers(response),
                *_own_headers(call.headers.request_id),
            ],
        )
        return body

    def _answer_plain(
        self,
        call: Call,
        response: http.client.HTTPResponse,
        start_response: typing.Any,
    ) -> bytes:
        body = self._read_body(call, response, MAX_ANSWER_BYTES + 1)
        headers = _answer_headers(response)
        answer = messages.Answer(
            status=response.status,
            content_type=response.headers.get("Content-Type", ""),
            body=body,
        )
        if len(body) > MAX_ANSWER_BYTES:
            answer = _too_large()
            headers = [("Content-Type", answer.content_type)]
        self._conclude(call, answer)
        if call.environ["REQUEST_METHOD"] != "HEAD":
            headers = [h for h in headers if h[0].lower() != "content-length"]
            headers.append(("Content-Length", str(len(answer.body))))
        start_response(
            _status_line(answer.status),
            [*headers, *_own_headers(call.headers.request_id)],
        )
        return answer.body

    def _conclude(self, call: Call, answer: messages.Answer) -> None:
        if not call.headers.permit:
            return
        self.recorder.record(
            messages.ConcludeRequest(
                customer=call.headers.customer,
                key=call.headers.key,
                permit=call.headers.permit,
                answer=answer,
            )
        )

    def abort_lost_calls(self) -> None:
        """Abort calls that have lost their group, entry or time.

        These are calls whose group lost a member, whose entry closed the
        connection, or whose deadline has passed.
        A non-repeatable call continues, so that its answer is recorded.
        """
        for call in list(self.calls.values()):
            if call.abort_reason or call.headers.permit:
                continue
            if call.sent and not self.gate.may_continue(call.headers.fence):
                call.abort("group lost a member")
            elif call.remaining_s() <= 0:
                call.abort("deadline has passed")
            elif call.caller is not None and _is_disconnected(call.caller):
                call.abort("entry closed the connection")


class _ClosingBody:
    """Response body that ends its call when the WSGI server closes it."""

    def __init__(
        self,
        chunks: collections.abc.Generator[bytes],
        stack: contextlib.ExitStack,
    ) -> None:
        self.chunks = chunks
        self.stack = stack

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        return self.chunks

    def close(self) -> None:
        self.chunks.close()
        self.stack.close()


def _call_headers(environ: dict[str, typing.Any]) -> CallHeaders:
    def text(name: str) -> str:
        return str(environ.get(f"HTTP_{name}", ""))

    try:
        fence = int(text("FLAMINGOCLEAT_FENCE") or 0)
        deadline_ms = int(text("FLAMINGOCLEAT_DEADLINE_MS") or MAX_DEADLINE_MS)
    except ValueError as error:
        raise gate.RefusedError(
            400, f"bad header: {error}", gate.Outcome.NOT_RUN
        ) from error
    return CallHeaders(
        request_id=ids.RequestId(text("X_REQUEST_ID")),
        fence=ids.FencingNumber(fence),
        incarnation=ids.Incarnation(text("FLAMINGOCLEAT_INCARNATION")),
        deadline_ms=min(deadline_ms, MAX_DEADLINE_MS),
        resume_offset=text("FLAMINGOCLEAT_RESUME_OFFSET"),
        priority=text("FLAMINGOCLEAT_PRIORITY"),
        permit=ids.PermitId(text("FLAMINGOCLEAT_PERMIT")),
        key=text("IDEMPOTENCY_KEY"),
        customer=ids.CustomerId(text("FLAMINGOCLEAT_CUSTOMER")),
    )


def _check_engine_call(call: Call) -> None:
    route = call.environ["REQUEST_METHOD"], call.environ["PATH_INFO"]
    if route != ("POST", COMPLETIONS_PATH):
        raise gate.RefusedError(
            404,
            f"an engine takes POST {COMPLETIONS_PATH}",
            gate.Outcome.NOT_RUN,
        )
    if call.headers.permit:
        raise gate.RefusedError(
            400, "an engine takes no permits", gate.Outcome.NOT_RUN
        )


def _body(environ: dict[str, typing.Any]) -> bytes:
    source = environ["wsgi.input"]
    if environ.get("wsgi.input_terminated"):
        return source.read()
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = source.read(length) if length else b""
    if len(body) < length:
        raise gate.RefusedError(
            400, "request body is incomplete", gate.Outcome.NOT_RUN
        )
    return body


def _request_target(environ: dict[str, typing.Any]) -> str:
    """Return path and query as the entry sent them, percent-encoded."""
    parts = urllib.parse.urlsplit(environ["REQUEST_URI"])
    return f"{parts.path}?{parts.query}" if parts.query else parts.path


def _forwarded_headers(environ: dict[str, typing.Any]) -> dict[str, str]:
    headers = {}
    for name, value in environ.items():
        if not name.startswith("HTTP_"):
            continue
        header = name[len("HTTP_") :].replace("_", "-").title()
        if header.lower() in _HOP_BY_HOP or header.lower().startswith(
            _OWN_HEADER_PREFIXES
        ):
            continue
        headers[header] = value
    if environ.get("CONTENT_TYPE"):
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    return headers


def _answer_headers(
    response: http.client.HTTPResponse,
) -> list[tuple[str, str]]:
    return [
        (name, value)
        for name, value in response.headers.items()
        if name.lower() == "content-length"
        or (
            name.lower() not in _HOP_BY_HOP
            and not name.lower().startswith(_OWN_HEADER_PREFIXES)
            and name.lower() not in ("date", "server")
        )
    ]


def _own_headers(
    request_id: str, outcome: gate.Outcome = gate.Outcome.RAN
) -> list[tuple[str, str]]:
    return [
        ("X-Request-Id", request_id),
        ("Flamingocleat-Outcome", outcome.value),
    ]


def _status_line(status: int) -> str:
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"


def _read_timeout_s(call: Call, kind: messages.BackendKind) -> float | None:
    """Return the timeout of each read from the backend server.

    An engine's reads have none, since `Dispatch.abort_lost_calls` ends the
    call at its deadline, and a timeout costs one more system call for each
    chunk.
    """
    if kind is messages.BackendKind.ENGINE:
        return None
    if call.headers.permit:
        return MAX_DEADLINE_MS / 1000
    return max(0.001, call.remaining_s())


def _read_deadline_s(call: Call, kind: messages.BackendKind) -> float:
    """Return the deadline of all reads of an answer together."""
    timeout_s = _read_timeout_s(call, kind)
    return float("inf") if timeout_s is None else time.monotonic() + timeout_s


def _backend_failure(call: Call, error: BaseException) -> gate.RefusedError:
    timeouts = TimeoutError, urllib3.exceptions.TimeoutError
    status = 504 if isinstance(error, timeouts) else 502
    reason = call.abort_reason or f"backend server failed: {error!r}"
    return gate.RefusedError(status, reason, gate.Outcome.UNKNOWN)


def _is_disconnected(caller: socket.socket) -> bool:
    poller = select.poll()
    try:
        poller.register(caller, select.POLLRDHUP)
        return bool(poller.poll(0))
    except (OSError, ValueError):  # The socket is closed.
        return True


def _too_large() -> messages.Answer:
    body = {
        "type": "about:blank",
        "title": _status_line(502),
        "status": 502,
        "detail": f"the service's answer exceeds {MAX_ANSWER_BYTES} bytes; "
        "the call ran",
        "outcome": gate.Outcome.RAN.value,
    }
    return messages.Answer(
        status=502,
        content_type="application/problem+json",
        body=json.dumps(body).encode(),
    )


def _problem_response(
    environ: dict[str, typing.Any],
    start_response: typing.Any,
    error: gate.RefusedError,
) -> list[bytes]:
    fields = {
        "type": "about:blank",
        "title": _status_line(error.status),
        "status": error.status,
        "detail": str(error),
        "outcome": error.outcome.value,
    }
    body = json.dumps(fields).encode()
    request_id = str(environ.get("HTTP_X_REQUEST_ID", ""))
    start_response(
        _status_line(error.status),
        [
            ("Content-Type", "application/problem+json"),
            ("Content-Length", str(len(body))),
            *_own_headers(request_id, error.outcome),
        ],
    )
    return [body]


def _log_refusal(call: Call, error: gate.RefusedError) -> None:
    logs.info(
        _log,
        "call_refused",
        request_id=call.headers.request_id,
        outcome=error.outcome.value,
        status=error.status,
        reason=str(error),
    )
