"""The agent's data path: passes calls to the backend server.

An answer that is cut short ends its connection without the terminating
chunk or before its declared length, so that an entry never takes it for
whole.
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
import urllib3.connection
import urllib3.exceptions

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.process import logs
from flamingocleat.process import settings
from flamingocleat.process import shutdown
from flamingocleat.request import gate
from flamingocleat.request import record

_log = logs.logger("dispatch")

WATCH_INTERVAL_S = 0.1
"""How soon a call in flight is cut after a member or its entry is lost."""
MAX_ANSWER_BYTES = 262_144
"""Answers of plain services are recorded in the replicated log."""
MAX_DEADLINE_MS = 600_000
COMPLETIONS_PATH = "/v1/chat/completions"
SOCKET_KEY = "flamingocleat.socket"
"""The WSGI server puts the caller's socket here."""

_CONNECT_S = 1.0
_CANCEL_S = 1.0
_READ_BYTES = 65_536
_FAULTS = (OSError, urllib3.exceptions.HTTPError, http.client.HTTPException)
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
_OWN = ("flamingocleat-", "x-request-id")


class CutError(errors.FlamingocleatError):
    """An answer was cut short after its first bytes had been sent."""


class Terms(msgspec.Struct, frozen=True):
    """What an entry says about a call in its headers."""

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
        self, environ: dict[str, typing.Any], terms: Terms, attempt: str
    ) -> None:
        self.environ = environ
        self.terms = terms
        self.attempt = attempt
        self.name = f"{terms.request_id}/{attempt}"
        self.deadline_s = time.monotonic() + terms.deadline_ms / 1000
        self.caller: socket.socket | None = environ.get(SOCKET_KEY)
        self.connection: urllib3.connection.HTTPConnection | None = None
        self.socket: socket.socket | None = None
        self.sent = False
        """Bytes may have been sent to the backend server."""
        self.whole = False
        """The backend server's answer has been read to its end."""
        self.cut = ""
        """Why the call was ended early."""

    def cut_off(self, reason: str) -> None:
        """End the call from another thread, also while it waits."""
        if self.cut:
            return
        self.cut = reason
        if self.socket is not None:
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RDWR)

    def remaining_s(self) -> float:
        """Return the time until the deadline."""
        return self.deadline_s - time.monotonic()


class Dispatch:
    """WSGI application of the data path."""

    def __init__(
        self,
        agent: settings.AgentSettings,
        admission: gate.Gate,
        recorder: record.Recorder,
        stopping: shutdown.Shutdown,
    ) -> None:
        self.kind = agent.kind
        self.gate = admission
        self.recorder = recorder
        self.shutdown = stopping
        url = urllib.parse.urlsplit(agent.backend_url)
        self.host = url.hostname or ""
        self.port = url.port or http.client.HTTP_PORT
        self.calls: dict[str, Call] = {}
        self.counter = itertools.count(1)
        self.canceller = urllib3.HTTPConnectionPool(
            self.host, self.port, retries=False, timeout=_CANCEL_S
        )

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        """Pass one call on and return its answer."""
        incarnation = self.gate.membership.incarnation
        try:
            call = Call(
                environ,
                _terms(environ),
                f"{incarnation}-{next(self.counter)}",
            )
        except gate.RefusedError as error:
            return _problem(environ, start_response, error)
        with contextlib.ExitStack() as stack:
            stack.callback(self._end, call)
            self._begin(call)
            try:
                answer = self._answer(call, start_response)
            except gate.RefusedError as error:
                error.outcome = self._outcome(call, error)
                _log_refusal(call, error)
                return _problem(environ, start_response, error)
            if isinstance(answer, bytes):
                return [answer]
            return _Closing(answer, stack.pop_all())

    def _begin(self, call: Call) -> None:
        self.calls[call.attempt] = call
        self.shutdown.begin(call.name)

    def _end(self, call: Call) -> None:
        self.calls.pop(call.attempt, None)
        if call.connection is not None:
            call.connection.close()
        if call.sent and not call.whole:
            self._cancel(call)
        self.shutdown.end(call.name)
        logs.info(
            _log,
            "call_ended",
            request_id=call.terms.request_id,
            sent=call.sent,
            whole=call.whole,
            cut=call.cut,
        )

    def _cancel(self, call: Call) -> None:
        if self.kind is messages.BackendKind.PLAIN:
            return
        try:
            self.canceller.request(
                "POST", "/-/cancel", json={"attempt": call.attempt}
            )
        except _FAULTS as error:
            logs.warning(
                _log,
                "cancel_failed",
                request_id=call.terms.request_id,
                reason=repr(error),
            )

    def _outcome(self, call: Call, error: gate.RefusedError) -> gate.Outcome:
        if error.outcome is not gate.Outcome.NOT_RUN or not call.terms.permit:
            return error.outcome
        if call.terms.incarnation != self.gate.membership.incarnation:
            return error.outcome
        return self.gate.refused(call.terms.permit)

    def _answer(
        self, call: Call, start_response: typing.Any
    ) -> bytes | collections.abc.Generator[bytes]:
        response = self._send(call)
        if self.kind is messages.BackendKind.PLAIN:
            return self._plain(call, response, start_response)
        first = self._read(call, response)
        start_response(
            _status_line(response.status),
            [*_answer_headers(response), *_own_headers(call.terms.request_id)],
        )
        return self._relay(call, response, first)

    def _send(self, call: Call) -> urllib3.BaseHTTPResponse:
        body = _body(call.environ)
        self._check(call)
        connection = urllib3.connection.HTTPConnection(
            self.host, self.port, timeout=_CONNECT_S
        )
        call.connection = connection
        try:
            connection.connect()
        except _FAULTS as error:
            raise gate.RefusedError(
                503, "cannot connect to backend server", gate.Outcome.NOT_RUN
            ) from error
        call.socket = connection.sock
        self._check(call)
        if call.terms.permit:
            self.gate.use(call.terms.permit, call.terms.key)
        call.sent = True
        try:
            connection.timeout = _patience_s(call)
            connection.request(
                call.environ["REQUEST_METHOD"],
                _target(call.environ),
                body=body,
                headers=self._headers(call),
                preload_content=False,
                decode_content=False,
            )
            return connection.getresponse()
        except _FAULTS as error:
            raise _failed(call, error) from error

    def _check(self, call: Call) -> None:
        terms = call.terms
        self.gate.check(terms.fence, terms.incarnation)
        if call.cut or call.remaining_s() <= 0:
            reason = call.cut or "deadline has passed"
            raise gate.RefusedError(504, reason, gate.Outcome.NOT_RUN)
        if self.kind is messages.BackendKind.ENGINE:
            _check_engine_call(call)
        elif terms.permit and self.recorder.full():
            raise gate.RefusedError(
                503,
                "too many answers wait to be recorded",
                gate.Outcome.NOT_RUN,
            )

    def _headers(self, call: Call) -> dict[str, str]:
        headers = _passed_headers(call.environ)
        headers["X-Request-Id"] = call.terms.request_id
        headers["X-Request-Timeout-Ms"] = str(
            max(1, int(call.remaining_s() * 1000))
        )
        if call.terms.permit:
            # The register keeps the content type, but no encoding.
            headers.pop("Accept-Encoding", None)
        if self.kind is messages.BackendKind.ENGINE:
            headers["Fencing-Number"] = str(call.terms.fence)
            headers["Attempt-Id"] = call.attempt
            if call.terms.resume_offset:
                headers["Resume-Offset"] = call.terms.resume_offset
            if call.terms.priority:
                headers["Priority"] = call.terms.priority
        return headers

    def _read(self, call: Call, response: urllib3.BaseHTTPResponse) -> bytes:
        try:
            chunk = response.read1(_READ_BYTES)
        except _FAULTS as error:
            raise _failed(call, error) from error
        if not self.gate.holds(call.terms.fence):
            call.cut_off("group lost a member")
        if call.cut:
            raise _failed(call, CutError(call.cut))
        call.whole = not chunk
        return chunk

    def _relay(
        self, call: Call, response: urllib3.BaseHTTPResponse, chunk: bytes
    ) -> collections.abc.Generator[bytes]:
        try:
            while chunk:
                yield chunk
                chunk = self._read(call, response)
        except gate.RefusedError as error:
            _log_refusal(call, error)
            raise CutError(str(error)) from error

    def _plain(
        self,
        call: Call,
        response: urllib3.BaseHTTPResponse,
        start_response: typing.Any,
    ) -> bytes:
        parts: list[bytes] = []
        size = 0
        while size <= MAX_ANSWER_BYTES:
            chunk = self._read(call, response)
            if not chunk:
                break
            parts.append(chunk)
            size += len(chunk)
        headers = _answer_headers(response)
        answer = messages.Answer(
            status=response.status,
            content_type=response.headers.get("Content-Type", ""),
            body=b"".join(parts),
        )
        if size > MAX_ANSWER_BYTES:
            answer = _too_large()
            headers = [("Content-Type", answer.content_type)]
        self._conclude(call, answer)
        if call.environ["REQUEST_METHOD"] != "HEAD":
            headers = [h for h in headers if h[0].lower() != "content-length"]
            headers.append(("Content-Length", str(len(answer.body))))
        start_response(
            _status_line(answer.status),
            [*headers, *_own_headers(call.terms.request_id)],
        )
        return answer.body

    def _conclude(self, call: Call, answer: messages.Answer) -> None:
        if not call.terms.permit:
            return
        self.recorder.record(
            messages.ConcludeRequest(
                customer=call.terms.customer,
                key=call.terms.key,
                permit=call.terms.permit,
                answer=answer,
            )
        )

    def watch(self) -> None:
        """Cut calls that lost their group, entry or time.

        A non-repeatable call goes on, so that its answer is recorded.
        """
        for call in list(self.calls.values()):
            if call.cut or call.terms.permit:
                continue
            if call.sent and not self.gate.holds(call.terms.fence):
                call.cut_off("group lost a member")
            elif call.remaining_s() <= 0:
                call.cut_off("deadline has passed")
            elif call.caller is not None and _gone(call.caller):
                call.cut_off("entry closed the connection")


class _Closing:
    """Body that ends its call when the WSGI server closes it."""

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


def _terms(environ: dict[str, typing.Any]) -> Terms:
    def text(name: str) -> str:
        return str(environ.get(f"HTTP_{name}", ""))

    try:
        fence = int(text("FLAMINGOCLEAT_FENCE") or 0)
        deadline_ms = int(text("FLAMINGOCLEAT_DEADLINE_MS") or MAX_DEADLINE_MS)
    except ValueError as error:
        raise gate.RefusedError(
            400, f"bad header: {error}", gate.Outcome.NOT_RUN
        ) from error
    return Terms(
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
    if call.terms.permit:
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


def _target(environ: dict[str, typing.Any]) -> str:
    """Return path and query as the entry sent them, with their escapes."""
    parts = urllib.parse.urlsplit(environ["REQUEST_URI"])
    return f"{parts.path}?{parts.query}" if parts.query else parts.path


def _passed_headers(environ: dict[str, typing.Any]) -> dict[str, str]:
    headers = {}
    for name, value in environ.items():
        if not name.startswith("HTTP_"):
            continue
        header = name[len("HTTP_") :].replace("_", "-").title()
        if header.lower() in _HOP_BY_HOP or header.lower().startswith(_OWN):
            continue
        headers[header] = value
    if environ.get("CONTENT_TYPE"):
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    return headers


def _answer_headers(
    response: urllib3.BaseHTTPResponse,
) -> list[tuple[str, str]]:
    return [
        (name, value)
        for name, value in response.headers.items()
        if name.lower() == "content-length"
        or (
            name.lower() not in _HOP_BY_HOP
            and not name.lower().startswith(_OWN)
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


def _patience_s(call: Call) -> float:
    if call.terms.permit:
        return MAX_DEADLINE_MS / 1000
    return max(0.001, call.remaining_s())


def _failed(call: Call, error: BaseException) -> gate.RefusedError:
    timeouts = TimeoutError, urllib3.exceptions.TimeoutError
    status = 504 if isinstance(error, timeouts) else 502
    reason = call.cut or f"backend server failed: {error!r}"
    return gate.RefusedError(status, reason, gate.Outcome.UNKNOWN)


def _gone(caller: socket.socket) -> bool:
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


def _problem(
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
        request_id=call.terms.request_id,
        outcome=error.outcome.value,
        status=error.status,
        reason=str(error),
    )
