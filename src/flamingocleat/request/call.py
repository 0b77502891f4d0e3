"""Parses, limits and authenticates callers' requests."""

import collections.abc
import hashlib
import hmac
import re
import secrets
import time
import typing
import urllib.parse
import uuid

import msgspec

from flamingocleat import ids
from flamingocleat.request import body_room
from flamingocleat.request import problem
from flamingocleat.version import schema

COMPLETIONS_PATH = "/v1/chat/completions"

MAX_TIMEOUT_MS = 600_000
"""Bounds the duration of a graceful shutdown."""

KEY_WINDOW_S = 24 * 3600.0
"""Age up to which the register retains keys."""

KEY_FUTURE_S = 300.0
"""Tolerance for callers' clocks that are ahead of this one."""

_REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
_TRACEPARENT = re.compile(r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")
_PRIORITY = re.compile(r"(?:^|,)\s*u=([0-7])\s*(?:[;,]|$)")
_TIMEOUT = re.compile(r"[1-9][0-9]{0,8}")
_KEY = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)
_SERVICE_PATH = re.compile(r"/services/([^/?]+)(/[^?]*)?(\?.*)?")
_METHOD = re.compile(r"[A-Z]{1,16}")


class _Message(msgspec.Struct):
    content: typing.Any = ""


class _Completion(msgspec.Struct):
    """The fields of a completion request that routing needs."""

    model: str
    stream: bool = False
    messages: tuple[_Message, ...] = ()

    def prefixes(self) -> tuple[bytes, ...]:
        """Return the hash that identifies the first message in prefix caches.

        It is the only element; the tuple is empty without messages.
        """
        if not self.messages:
            return ()
        first = str(self.messages[0].content).encode()
        return (hashlib.sha256(first).digest()[:8],)


class Reader(typing.Protocol):
    """Source of a request's body."""

    def read(self, size: int) -> bytes:
        """Return `size` bytes, or fewer at the end of the body."""


class Request(msgspec.Struct, frozen=True):
    """A request from the HTTP server; header names are in lower case."""

    method: str
    target: str
    """Path and query as the caller sent them."""
    headers: collections.abc.Mapping[str, str]
    body: Reader
    chunked: bool = False
    share: body_room.Share | None = None
    """The room that its body takes; None if that is not bounded."""


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request that passed all checks and may be dispatched."""

    customer: schema.Customer
    service: schema.Service
    method: str
    path: str
    """Path and query at the backend server."""
    body: bytes
    content_type: str
    accept: str
    caller_id: ids.RequestId
    """Request id used with the caller."""
    request_id: ids.RequestId
    """Request id used with agents. It is unique even if two callers choose the
    same id, since engines identify and cancel work by it."""
    traceparent: str
    priority: int
    deadline_s: float
    """On the monotonic clock."""
    repeatable: bool
    stream: bool = False
    prefixes: tuple[bytes, ...] = ()
    key: str = ""

    def remaining_s(self) -> float:
        """Return the time until the deadline, or 0 if it has passed."""
        return max(0.0, self.deadline_s - time.monotonic())

    def digest(self) -> bytes:
        """Return the SHA-256 that identifies the call under its key."""
        head = f"{self.method} {self.path}\n".encode()
        return hashlib.sha256(head + self.body).digest()


def request_ids(
    headers: collections.abc.Mapping[str, str],
) -> tuple[ids.RequestId, ids.RequestId]:
    """Return the id used with the caller and the unique one for agents."""
    given = headers.get("x-request-id", "")
    if _REQUEST_ID.fullmatch(given):
        unique = f"{given}.{secrets.token_hex(8)}"
        return ids.RequestId(given), ids.RequestId(unique)
    generated = ids.RequestId(str(uuid.uuid4()))
    return generated, generated


def parse(
    configuration: schema.Configuration,
    request: Request,
    request_ids: tuple[ids.RequestId, ids.RequestId],
    max_body_bytes: int,
    now_unix_s: float,
) -> Call:
    """Return the call, or raise the Problem that refuses it."""
    arrived_s = time.monotonic()
    customer = _authenticate(configuration, request.headers)
    if not _METHOD.fullmatch(request.method):
        raise problem.malformed("the method is not one of HTTP's")
    _check_target(request.target)
    if request.target.partition("?")[0] == COMPLETIONS_PATH:
        path = COMPLETIONS_PATH
        body = _read_body(
            request, _body_limit(configuration, customer, max_body_bytes)
        )
        completion = _parse_completion(request, body)
        kind = schema.ServiceKind.MODEL
        service = _find_service(configuration, customer, completion.model, kind)
        if len(body) > service.max_body_bytes:
            raise _too_large(service.max_body_bytes)
    else:
        path, name = _parse_service_path(request.target)
        completion = None
        kind = schema.ServiceKind.PLAIN
        service = _find_service(configuration, customer, name, kind)
        body = _read_body(request, min(max_body_bytes, service.max_body_bytes))
    return Call(
        customer=customer,
        service=service,
        method=request.method,
        path=path,
        body=body,
        content_type=_check_printable(request.headers.get("content-type", "")),
        accept=_check_printable(request.headers.get("accept", "")),
        caller_id=request_ids[0],
        request_id=request_ids[1],
        traceparent=_parse_traceparent(request.headers),
        priority=_parse_priority(request.headers, customer),
        deadline_s=arrived_s + _parse_timeout_s(request.headers, service),
        repeatable=(
            completion is not None
            or _is_repeatable(service, request.method, path)
        ),
        stream=completion is not None and completion.stream,
        prefixes=completion.prefixes() if completion else (),
        key=_parse_key(request.headers, now_unix_s),
    )


def _authenticate(
    configuration: schema.Configuration,
    headers: collections.abc.Mapping[str, str],
) -> schema.Customer:
    scheme, _, token = headers.get("authorization", "").partition(" ")
    digest = hashlib.sha256(token.strip().encode("latin-1", "replace"))
    given = digest.hexdigest()
    found: schema.Customer | None = None
    # All keys are compared, so that the response time does not reveal a match.
    for customer in configuration.customers:
        for known in customer.key_sha256:
            if hmac.compare_digest(given, known.lower()):
                found = customer
    if found is None or scheme.lower() != "bearer" or not token.strip():
        raise problem.Problem(
            401, "Not authenticated", "give a valid bearer key"
        )
    return found


def _body_limit(
    configuration: schema.Configuration,
    customer: schema.Customer,
    max_body_bytes: int,
) -> int:
    """Return the size limit that applies until the service is known.

    The body itself names the service.
    """
    sizes = [
        service.max_body_bytes
        for service in configuration.services
        if service.name in customer.services
    ]
    return min(max_body_bytes, max(sizes, default=0))


def _parse_completion(request: Request, body: bytes) -> _Completion:
    if request.method != "POST":
        raise problem.Problem(405, "Method not allowed", "use POST")
    try:
        return msgspec.json.decode(body, type=_Completion)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise problem.malformed(f"body: {error}") from error


def _parse_service_path(target: str) -> tuple[str, str]:
    """Return the path at the backend server and the service's name."""
    match = _SERVICE_PATH.fullmatch(target)
    if not match:
        raise problem.Problem(
            404, "No such page", f"use {COMPLETIONS_PATH} or /services/..."
        )
    return (match[2] or "/") + (match[3] or ""), match[1]


def _find_service(
    configuration: schema.Configuration,
    customer: schema.Customer,
    name: str,
    kind: schema.ServiceKind,
) -> schema.Service:
    for service in configuration.services:
        if service.name == name and service.name in customer.services:
            if service.kind is not kind:
                raise problem.malformed(
                    f"service {name} is of kind {service.kind.value}"
                )
            return service
    # Unknown and forbidden services get the same answer, so that the names
    # of services are not disclosed.
    raise problem.Problem(
        403, "Not permitted", f"this customer may not use service {name!r}"
    )


def _read_body(request: Request, limit: int) -> bytes:
    length = request.headers.get("content-length", "0")
    if not length.isascii() or not length.isdigit():
        raise problem.malformed("Content-Length is not a number")
    if not request.chunked and int(length) > limit:
        raise _too_large(limit)
    share = request.share
    if share is not None:
        share.take(
            limit * body_room.CHUNKED_FACTOR if request.chunked else int(length)
        )
    size = limit + 1 if request.chunked else int(length)
    try:
        body = _read_pieces(request.body, size, share)
    except ValueError as error:
        raise problem.malformed(f"chunked body: {error}") from error
    if share is not None:
        share.keep(len(body))
        if share.is_ended and (request.chunked or len(body) < size):
            raise problem.Problem(
                408, "Request timeout", "the body does not arrive"
            )
    if not request.chunked and len(body) < size:
        raise problem.malformed("the body is shorter than announced")
    if len(body) > limit:
        raise _too_large(limit)
    return body


def _read_pieces(
    reader: Reader, size: int, share: body_room.Share | None
) -> bytes:
    """Return up to `size` bytes, read without copies of the whole body."""
    body = bytearray()
    while len(body) < size:
        piece = reader.read(min(body_room.PIECE_BYTES, size - len(body)))
        if not piece:
            break
        body += piece
        if share is not None:
            share.record_progress()
    return bytes(body)


def _too_large(limit: int) -> problem.Problem:
    return problem.Problem(
        413, "Request too large", f"the body may have {limit} bytes"
    )


def _check_target(target: str) -> None:
    """Refuse targets that HTTP software might split or normalize."""
    path = target.partition("?")[0].lower()
    parts = path.replace("%2e", ".").split("/")
    if ".." in parts or "." in parts or "%2f" in path or "\\" in path:
        raise problem.malformed("the path has relative or encoded parts")
    if not target.isascii() or any(c <= " " or c == "\x7f" for c in target):
        raise problem.malformed("the path has characters to be escaped")


def _check_printable(value: str) -> str:
    if not value.isascii() or not value.isprintable():
        raise problem.malformed("a header has unprintable characters")
    return value


def _is_repeatable(service: schema.Service, method: str, path: str) -> bool:
    # Backend servers decode paths, so a path in another encoding must match
    # the same rule.
    plain = urllib.parse.unquote(path.partition("?")[0])
    plain = re.sub("/+", "/", plain)
    for rule in service.calls:
        if rule.method == method and plain.startswith(rule.path):
            return rule.repeatable
    return method in ("GET", "HEAD")


def _parse_timeout_s(
    headers: collections.abc.Mapping[str, str], service: schema.Service
) -> float:
    text = headers.get("x-request-timeout-ms")
    limit_ms = min(service.max_timeout_ms, MAX_TIMEOUT_MS)
    if text is None:
        return min(service.timeout_ms, limit_ms) / 1000
    if not _TIMEOUT.fullmatch(text):
        raise problem.malformed("X-Request-Timeout-Ms is not a number above 0")
    return min(int(text), limit_ms) / 1000


def _parse_priority(
    headers: collections.abc.Mapping[str, str], customer: schema.Customer
) -> int:
    # RFC 9218 has a receiver ignore a header that it cannot parse.
    match = _PRIORITY.search(headers.get("priority", ""))
    return int(match[1]) if match else customer.priority


def _parse_traceparent(headers: collections.abc.Mapping[str, str]) -> str:
    given = headers.get("traceparent", "")
    return given if _TRACEPARENT.fullmatch(given) else ""


def has_key(headers: collections.abc.Mapping[str, str]) -> bool:
    """Return whether a request has a key that may be in the register."""
    key = headers.get("idempotency-key", "").strip().lower()
    return _KEY.fullmatch(key) is not None


def _parse_key(
    headers: collections.abc.Mapping[str, str], now_unix_s: float
) -> str:
    key = headers.get("idempotency-key", "").strip().lower()
    if "idempotency-key" not in headers:
        return ""
    if not _KEY.fullmatch(key):
        raise problem.malformed("Idempotency-Key is not a UUIDv7 (RFC 9562)")
    created_s = (uuid.UUID(key).int >> 80) / 1000
    if created_s < now_unix_s - KEY_WINDOW_S:
        raise problem.malformed("Idempotency-Key is older than 24 h")
    if created_s > now_unix_s + KEY_FUTURE_S:
        raise problem.malformed("Idempotency-Key lies in the future")
    return key
