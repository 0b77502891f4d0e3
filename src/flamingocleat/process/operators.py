"""Operators' HTTP API, and the health pages of the control program.

CherryPy runs in the threads of cheroot's server and submits work to the event
loop. Errors are RFC 9457 documents. Their outcome says whether the change may
have been made: "not-run" or "unknown".
"""

import asyncio
import collections.abc
import concurrent.futures
import functools
import hashlib
import hmac
import logging
import re
import threading
import time
import typing
import uuid

import cherrypy
import msgspec

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat.connection import threaded
from flamingocleat.process import api_documents
from flamingocleat.process import consensus as consensus_module
from flamingocleat.process import health as health_module
from flamingocleat.process import leadership as leadership_module
from flamingocleat.process import logs
from flamingocleat.process import settings as settings_module
from flamingocleat.process import shutdown as shutdown_module
from flamingocleat.version import difference
from flamingocleat.version import document
from flamingocleat.version import machine as machine_module
from flamingocleat.version import schema
from flamingocleat.version import validation

_log = logs.logger("operators")

MAX_BODY_BYTES = 2 * 1024 * 1024
MAX_HEADER_BYTES = 16 * 1024
THREADS = 4
SOCKET_TIMEOUT_S = 10
READ_TIMEOUT_S = 5.0
CHANGE_TIMEOUT_S = 10.0
AUDIT_LIMIT = 100
MAX_AUDIT_LIMIT = 1000
BOOTSTRAP = ids.OperatorId("(bootstrap)")
"""Operator id that stands for the bootstrap key in recorded changes.

No operator can be declared with this id, since it is not a valid name.
"""

T = typing.TypeVar("T")


class ProblemError(errors.FlamingocleatError):
    """A request is refused, or its outcome is unknown."""

    def __init__(
        self,
        problem: api_documents.ProblemDocument,
        headers: dict[str, str] | None = None,
    ) -> None:
        super().__init__(f"{problem.title}: {problem.detail}")
        self.problem = problem
        self.headers = headers or {}


class OperatorApi:
    """Operations of the HTTP API, called from the HTTP server's threads."""

    def __init__(
        self,
        settings: settings_module.ControlSettings,
        consensus: consensus_module.Consensus,
        machine: machine_module.Machine,
        leadership: leadership_module.Leadership,
        status: collections.abc.Callable[[], api_documents.StatusPage],
        shutdown: shutdown_module.Shutdown,
    ) -> None:
        self.settings = settings
        self.consensus = consensus
        self.machine = machine
        self.leadership = leadership
        self.status = status
        self.shutdown = shutdown
        self.loop = asyncio.get_running_loop()

    # Queries.

    def read_status(self, key: str) -> api_documents.StatusPage:
        """Return the status page."""
        self.authorise(key)
        return self.run_on_loop(self._read_confirmed(self.status))

    def read_configuration(self, key: str) -> tuple[int, str]:
        """Return the configuration in force: its version and its text."""
        self.authorise(key)
        version, text = self.run_on_loop(
            self._read_confirmed(
                lambda: (self.machine.version, self.machine.text)
            )
        )
        if not version:
            raise _problem(404, "No configuration", "none was accepted yet")
        return version, text

    def read_audit(
        self, key: str, after: int, limit: int
    ) -> list[machine_module.AuditRecord]:
        """Return records after a log index, or the latest ones if it is 0."""
        self.authorise(key)
        records = self.run_on_loop(
            self._read_confirmed(lambda: list(self.machine.audit))
        )
        if after:
            return [r for r in records if r.index > after][:limit]
        return records[-limit:]

    # Changes.

    def submit(
        self, key: str, base_version: int, change_id: str, text: str
    ) -> api_documents.ChangeReply:
        """Submit a configuration."""
        operator = self.authorise(key, change_id)
        configuration = validation.check(text, "configuration")
        changes = difference.compare(self.machine.configuration, configuration)
        return self._change(
            machine_module.SubmitConfiguration(
                operator=operator,
                change_id=ids.ChangeId(change_id),
                base_version=ids.ConfigurationVersion(base_version),
                configuration=configuration,
                text=text,
                difference=difference.text(changes),
                time_ms=_now_ms(),
            )
        )

    def drain(
        self, key: str, change_id: str, vm: str, drained: bool
    ) -> api_documents.ChangeReply:
        """Drain a VM, or end its drain."""
        operator = self.authorise(key, change_id)
        return self._change(
            machine_module.DrainVm(
                operator=operator,
                change_id=ids.ChangeId(change_id),
                vm=ids.VmId(vm),
                drained=drained,
                time_ms=_now_ms(),
            )
        )

    def replace_voter(
        self, key: str, change_id: str, old: str, new: api_documents.Replacement
    ) -> api_documents.ChangeReply:
        """Replace a voter by one with a new voter id."""
        operator = self.authorise(key, change_id)
        return self._change(
            machine_module.ReplaceVoter(
                operator=operator,
                change_id=ids.ChangeId(change_id),
                old=ids.VoterId(old),
                new=new.voter,
                address=new.address,
                time_ms=_now_ms(),
            )
        )

    # Shared by the operations.

    def authorise(self, key: str, change_id: str = "") -> ids.OperatorId:
        """Return the owner of a key, by the configuration in force."""
        known = self.run_on_loop(
            self._read_confirmed(lambda: self._operator_keys(change_id))
        )
        digest = hashlib.sha256(key.encode()).hexdigest()
        operator = None
        # All hashes are compared, so that the response time does not reveal a
        # match.
        for name, expected in known:
            if hmac.compare_digest(digest, expected):
                operator = name
        if operator is None:
            raise _problem(
                401,
                "Not authorised",
                "the key belongs to no operator",
                headers={"WWW-Authenticate": "Bearer"},
            )
        return operator

    def _operator_keys(
        self, change_id: str
    ) -> list[tuple[ids.OperatorId, str]]:
        configuration: schema.Configuration | None = self.machine.configuration
        known = [
            (operator.name, operator.key_sha256)
            for operator in (configuration.operators if configuration else ())
        ]
        # The bootstrap key is valid until the first version is accepted. A
        # retry of that submission must still get its outcome.
        is_retry = (BOOTSTRAP, ids.ChangeId(change_id)) in self.machine.changes
        if configuration is None or is_retry:
            known.append((BOOTSTRAP, self.settings.bootstrap_key_sha256))
        return known

    def _change(
        self,
        command: machine_module.SubmitConfiguration
        | machine_module.DrainVm
        | machine_module.ReplaceVoter,
    ) -> api_documents.ChangeReply:
        outcome = self.run_on_loop(self._propose(command))
        logs.info(
            _log,
            "change_decided",
            action=type(command).__name__,
            operator=command.operator,
            change_id=command.change_id,
            decision=outcome.decision.value,
            version=outcome.version,
            reason=outcome.reason,
        )
        if outcome.decision is machine_module.Decision.ACCEPTED:
            return api_documents.ChangeReply(command.change_id, outcome.version)
        status, title = _REFUSALS[outcome.decision]
        raise ProblemError(
            api_documents.ProblemDocument(
                title,
                status,
                outcome.reason,
                "not-run",
                present_version=outcome.version,
            )
        )

    async def _read_confirmed(self, read: collections.abc.Callable[[], T]) -> T:
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                await self.leadership.admit()
                await self.consensus.confirm()
        except TimeoutError as error:
            raise errors.UnavailableError("no quorum answered") from error
        return read()

    async def _propose(
        self, command: machine_module.Command
    ) -> machine_module.ChangeOutcome:
        await self.leadership.admit()
        try:
            async with asyncio.timeout(CHANGE_TIMEOUT_S):
                return await self.consensus.propose(command)
        except TimeoutError as error:
            raise errors.CommitUnknownError(
                f"no quorum answered within {CHANGE_TIMEOUT_S} s"
            ) from error

    def run_on_loop(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, T]
    ) -> T:
        """Run a coroutine on the event loop and return its result."""
        try:
            future = asyncio.run_coroutine_threadsafe(work, self.loop)
        except RuntimeError as error:
            work.close()
            raise errors.UnavailableError("shutting down") from error
        try:
            return future.result()
        except concurrent.futures.CancelledError as error:
            raise errors.CommitUnknownError("shutting down") from error


_REFUSALS = {
    machine_module.Decision.OUTDATED: (409, "Another change came first"),
    machine_module.Decision.REFUSED: (422, "Change refused"),
}


def _problem(
    status: int,
    title: str,
    detail: str,
    outcome: str = "not-run",
    headers: dict[str, str] | None = None,
) -> ProblemError:
    return ProblemError(
        api_documents.ProblemDocument(title, status, detail, outcome), headers
    )


def _now_ms() -> int:
    return int(time.time() * 1000)


# HTTP resources.


def _json_endpoint(method: collections.abc.Callable[..., T]) -> typing.Any:
    """Encode results other than bytes as JSON, errors as problem documents."""

    @functools.wraps(method)
    def page(self: "_Resource", *segments: str, **query: str) -> bytes:
        api = self.api
        try:
            with api.shutdown.track_call(f"operator-{uuid.uuid4()}"):
                result = method(self, *segments, **query)
        except errors.FlamingocleatError as error:
            return _respond(_to_problem(api, error))
        if isinstance(result, bytes):
            return result
        cherrypy.response.headers["Content-Type"] = "application/json"
        return msgspec.json.encode(result) + b"\n"

    return page


def _respond(error: ProblemError) -> bytes:
    response = cherrypy.response
    response.status = error.problem.status
    response.headers["Content-Type"] = "application/problem+json"
    response.headers.update(error.headers)
    return msgspec.json.encode(error.problem) + b"\n"


def _to_problem(
    api: OperatorApi, error: errors.FlamingocleatError
) -> ProblemError:
    """Return the ProblemError that reports an error."""
    if isinstance(error, ProblemError):
        return error
    if isinstance(error, errors.DocumentError):
        return ProblemError(
            api_documents.ProblemDocument(
                "Document has findings",
                422,
                f"{len(error.findings)} findings",
                "not-run",
                findings=tuple(error.findings),
            )
        )
    if isinstance(error, errors.CommitUnknownError):
        return _problem(504, "Outcome unknown", str(error), "unknown")
    if isinstance(error, errors.NotLeaderError):
        return _redirect_to_leader(api)
    return _problem(
        503, "Unavailable", str(error), headers={"Retry-After": "1"}
    )


def _redirect_to_leader(api: OperatorApi) -> ProblemError:
    leader = api.consensus.leader
    address = api.settings.operators_addresses.get(leader)
    if leader == api.settings.voter or not address:
        return _problem(
            503,
            "Not the leader",
            f"leader is {leader or 'unknown'}",
            headers={"Retry-After": "1"},
        )
    request = cherrypy.request
    query = f"?{request.query_string}" if request.query_string else ""
    location = f"http://{address}{request.path_info}{query}"
    return _problem(
        307,
        "Not the leader",
        f"leader is {leader}",
        headers={"Location": location},
    )


def _bearer_key() -> str:
    scheme, _, key = cherrypy.request.headers.get(
        "Authorization", ""
    ).partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _change_id() -> str:
    change_id = cherrypy.request.headers.get("Change-Id", "")
    if not api_documents.NAME_PATTERN.fullmatch(change_id):
        raise _problem(
            400,
            "Malformed request",
            "Change-Id must be 1 to 128 letters, digits, '.', '_', ':', '-'",
        )
    return change_id


def _parse_number(name: str, text: str, minimum: int, maximum: int) -> int:
    if not re.fullmatch(r"[0-9]{1,18}", text) or not (
        minimum <= int(text) <= maximum
    ):
        raise _problem(
            400,
            "Malformed request",
            f"{name} must be a number from {minimum} to {maximum}",
        )
    return int(text)


def _read_body() -> str:
    """Return the body as text; reject one of unknown or excessive length."""
    request = cherrypy.request
    length_text = request.headers.get("Content-Length")
    # A body that is not read would be parsed as the next request.
    close_headers = {"Connection": "close"}
    if length_text is None or not re.fullmatch(r"[0-9]{1,18}", length_text):
        raise _problem(
            411, "Length required", "send Content-Length", headers=close_headers
        )
    length = int(length_text)
    if length > MAX_BODY_BYTES:
        raise _problem(
            413,
            "Body too large",
            f"at most {MAX_BODY_BYTES} bytes are accepted",
            headers=close_headers,
        )
    data = request.rfile.read(length)
    if len(data) != length:
        raise _problem(400, "Malformed request", "body is incomplete")
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise _problem(400, "Malformed request", "body is not UTF-8") from error


class _Resource:
    """Base of the resources; CherryPy calls the method of the HTTP verb."""

    exposed = True

    def __init__(self, api: OperatorApi) -> None:
        self.api = api


class _Configuration(_Resource):
    @_json_endpoint
    def GET(self) -> bytes:  # noqa: N802 (CherryPy's name)
        version, text = self.api.read_configuration(_bearer_key())
        cherrypy.response.headers["Content-Type"] = "application/yaml"
        cherrypy.response.headers["Configuration-Version"] = str(version)
        return text.encode()

    @_json_endpoint
    def POST(self) -> api_documents.ChangeReply:  # noqa: N802
        text = _read_body()
        base_version = _parse_number(
            "Base-Version",
            cherrypy.request.headers.get("Base-Version", ""),
            0,
            2**53,
        )
        return self.api.submit(_bearer_key(), base_version, _change_id(), text)


class _Status(_Resource):
    @_json_endpoint
    def GET(self) -> api_documents.StatusPage:  # noqa: N802
        return self.api.read_status(_bearer_key())


class _Audit(_Resource):
    @_json_endpoint
    def GET(  # noqa: N802
        self, after: str = "0", limit: str = str(AUDIT_LIMIT)
    ) -> list[machine_module.AuditRecord]:
        return self.api.read_audit(
            _bearer_key(),
            _parse_number("after", after, 0, 2**53),
            _parse_number("limit", limit, 1, MAX_AUDIT_LIMIT),
        )


class _Drain(_Resource):
    @_json_endpoint
    def POST(self, vm: str) -> api_documents.ChangeReply:  # noqa: N802
        return self._drain(vm, True)

    @_json_endpoint
    def DELETE(self, vm: str) -> api_documents.ChangeReply:  # noqa: N802
        return self._drain(vm, False)

    def _drain(self, vm: str, drained: bool) -> api_documents.ChangeReply:
        if not api_documents.NAME_PATTERN.fullmatch(vm):
            raise _problem(400, "Malformed request", "not a VM's name")
        return self.api.drain(_bearer_key(), _change_id(), vm, drained)


@cherrypy.popargs("vm")
class _Vms:
    def __init__(self, api: OperatorApi) -> None:
        self.drain = _Drain(api)


class _VoterReplacement(_Resource):
    @_json_endpoint
    def POST(self, voter: str) -> api_documents.ChangeReply:  # noqa: N802
        new = document.parse(_read_body(), "body", api_documents.Replacement)
        if not api_documents.NAME_PATTERN.fullmatch(
            new.voter
        ) or not api_documents.is_address(new.address):
            raise _problem(
                400,
                "Malformed request",
                "give voter, and address as IP number and port",
            )
        return self.api.replace_voter(_bearer_key(), _change_id(), voter, new)


@cherrypy.popargs("voter")
class _Voters:
    def __init__(self, api: OperatorApi) -> None:
        self.replacement = _VoterReplacement(api)


class _V1:
    """Resources below /v1."""

    def __init__(self, api: OperatorApi) -> None:
        self.configuration = _Configuration(api)
        self.status = _Status(api)
        self.audit = _Audit(api)
        self.vms = _Vms(api)
        self.voters = _Voters(api)


class _HealthResource:
    exposed = True

    def __init__(self, health: health_module.Health, path: str) -> None:
        self.health = health
        self.path = path

    def GET(self) -> bytes:  # noqa: N802
        status, content_type, body = self.health.page(self.path)
        cherrypy.response.status = status
        cherrypy.response.headers["Content-Type"] = content_type
        return body


class _Root:
    def __init__(self, api: OperatorApi, health: health_module.Health) -> None:
        self.v1 = _V1(api)
        self.livez = _HealthResource(health, "/livez")
        self.readyz = _HealthResource(health, "/readyz")
        self.metrics = _HealthResource(health, "/metrics")


def _error_page(
    status: str, message: str, traceback: str, version: str
) -> bytes:
    cherrypy.response.headers["Content-Type"] = "application/problem+json"
    code, _, title = status.partition(" ")
    return msgspec.json.encode(
        api_documents.ProblemDocument(title, int(code), message, "not-run")
    )


def _on_unexpected_error() -> None:
    """Respond to an unexpected error.

    The outcome is unknown, since a change may have been proposed before it.
    """
    logs.error(
        _log,
        "request_failed",
        path=cherrypy.request.path_info,
        reason=repr(cherrypy._cperror._exc_info()[1]),
    )
    cherrypy.response.body = _respond(
        _problem(500, "Internal error", "see the log", "unknown")
    )


def application(
    api: OperatorApi, health: health_module.Health
) -> cherrypy.Application:
    """Return the WSGI application."""
    cherrypy.config.update({"log.screen": False})
    wsgi_app = cherrypy.Application(
        _Root(api, health),
        "",
        {
            "/": {
                "request.dispatch": cherrypy.dispatch.MethodDispatcher(),
                "request.process_request_body": False,
                "request.show_tracebacks": False,
                "request.error_response": _on_unexpected_error,
                "error_page.default": _error_page,
            }
        },
    )
    # This program logs events as key=value lines instead.
    for log in (wsgi_app.log.error_log, wsgi_app.log.access_log):
        log.propagate = False
        log.addHandler(logging.NullHandler())
    return wsgi_app


class _Server(threaded.Server):
    """HTTP server that logs its errors as key=value lines."""

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        if level >= logging.WARNING:
            logs.warning(_log, "http_server", reason=msg)


class HttpServer:
    """Runs cheroot's HTTP server in threads of its own."""

    def __init__(
        self, listen: str, wsgi_app: collections.abc.Callable[..., typing.Any]
    ) -> None:
        host, _, port = listen.rpartition(":")
        self.server = _Server(
            (host.strip("[]"), int(port)),
            wsgi_app,
            numthreads=THREADS,
            max=THREADS,
            request_queue_size=64,
            timeout=SOCKET_TIMEOUT_S,
            shutdown_timeout=SOCKET_TIMEOUT_S,
        )
        self.server.max_request_header_size = MAX_HEADER_BYTES
        # The resources reject smaller oversized bodies with a problem document.
        self.server.max_request_body_size = 4 * MAX_BODY_BYTES
        self.thread = threading.Thread(
            target=self.server.serve, name="operators", daemon=True
        )

    def start(self) -> None:
        """Listen and serve.

        Raises:
            OSError: The address is in use.
        """
        self.server.prepare()
        self.thread.start()

    def stop(self) -> None:
        """Wait for the requests in flight and stop."""
        self.server.stop()
        self.thread.join(SOCKET_TIMEOUT_S)
