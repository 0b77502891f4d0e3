"""HTTP entry program, flamingocleat-entry: serves callers' requests."""

import argparse
import asyncio
import collections.abc
import contextlib
import itertools
import logging
import socket
import sys
import threading
import time
import typing

import cheroot.makefile
import cheroot.server
import cheroot.wsgi
import cherrypy
import prometheus_client

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import bounded
from flamingocleat.connection import threaded
from flamingocleat.connection import watch
from flamingocleat.process import allocator
from flamingocleat.process import health
from flamingocleat.process import logs
from flamingocleat.process import settings
from flamingocleat.process import shutdown
from flamingocleat.request import attempt
from flamingocleat.request import body_room
from flamingocleat.request import call as call_module
from flamingocleat.request import claim
from flamingocleat.request import problem
from flamingocleat.request import relay
from flamingocleat.request import stream_relay
from flamingocleat.version import document
from flamingocleat.version import routing
from flamingocleat.version import schema
from flamingocleat.version import shares

KEEP_ALIVE_S = 10
"""Time for which a caller's keep-alive connection may stay idle."""

CONNECTIONS_PER_THREAD = 2

HEAD_TIMEOUT_S = 10.0
"""Time within which the head of a request must arrive, however slowly."""

BODY_TIMEOUT_S = 120.0
"""The same for the rest of a request."""

DEFAULT_DESCRIPTORS = 4096
"""Descriptors that are assumed if the settings give none."""

OTHER_DESCRIPTORS = 64
"""Descriptors that callers' connections leave unused: listeners, control, and
connections that are being accepted."""

MIN_CONNECTIONS = 8

LINGER_S = 1.0
"""Time for which a refused caller's bytes are read and discarded. If the
connection were closed at once, the caller could lose the answer."""

LINGER_THREADS_FRACTION = 1 / 8
"""Part of the threads that may do so at once."""

STACK_BYTES = 262_144
"""Stack size of a thread.

The default of 8 MB only reserves address space, but an explicit limit keeps
640 threads small on any VM.
"""

_EMPTY_CONFIGURATION = schema.Configuration(
    operator="", data_centres=(), services=()
)

_CLIENT_CLOSED_REQUEST = 499
"""Status counted in the metrics when the caller has disconnected.

Nobody receives it.
"""

_HEALTH_PATHS = ("/livez", "/readyz", "/metrics")

_log = logs.logger("entry")

_calls = prometheus_client.Counter(
    "flamingocleat_entry_calls",
    "Callers' requests by status of the response",
    ["status"],
)
_in_flight = prometheus_client.Gauge(
    "flamingocleat_entry_in_flight", "Callers' requests in flight"
)


class WsgiGateway(cheroot.wsgi.Gateway_10):
    """Passes the caller's connection to the WSGI application."""

    def get_environ(self) -> typing.Any:
        """Return the WSGI environment, including the caller's connection."""
        environ: dict[str, typing.Any] = super().get_environ()
        request = self.req
        environ["flamingocleat.connection"] = request.conn
        environ["flamingocleat.caller"] = relay.Caller(
            request.conn.socket, lambda: bool(request.chunked_write)
        )
        return environ


class Server(threaded.Server):
    """HTTP server that tracks each request until its response has ended."""

    def __init__(
        self, entry_settings: settings.EntrySettings, entry: "Entry"
    ) -> None:
        host, _, port = entry_settings.listen.rpartition(":")
        super().__init__(
            (host, int(port)),
            entry.application(),
            numthreads=entry_settings.threads,
            request_queue_size=1024,
            timeout=KEEP_ALIVE_S,
        )
        self.gateway = WsgiGateway
        self.max_request_header_size = entry_settings.max_header_bytes
        self.max_request_body_size = entry_settings.max_body_bytes
        self.keep_alive_conn_limit = (
            entry_settings.threads * CONNECTIONS_PER_THREAD
        )
        self.entry = entry
        self.ConnectionClass = _Connection
        descriptors = entry_settings.max_descriptors or DEFAULT_DESCRIPTORS
        # A request needs the caller's connection and one to the agent.
        self.max_connections = max(
            MIN_CONNECTIONS,
            descriptors
            - OTHER_DESCRIPTORS
            - min(entry_settings.threads, descriptors // 2),
        )
        self.open_connections: set[_Connection] = set()
        self.connections_lock = threading.Lock()
        self.lingering = threading.BoundedSemaphore(
            max(1, round(entry_settings.threads * LINGER_THREADS_FRACTION))
        )

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Whether the answer of this thread leaves its connection open."""
        return super().can_add_keepalive_connection and (
            not self.entry.draining or self.has_request_behind()
        )

    def process_conn(self, conn: "_Connection") -> None:
        """Pass a connection with bytes to a thread; keep others waiting.

        A new connection that sends nothing occupies no thread.
        """
        if conn.last_used is not None:
            super().process_conn(conn)
            return
        with self.connections_lock:
            count = len(self.open_connections)
        if count > self.max_connections and not self._end_idle():
            self.entry.refusals.record("connections", connections=count)
            conn.close()
            return
        self.put_conn(conn)

    def _end_idle(self) -> bool:
        """End the connection that has waited longest; False if none does.

        One with bytes that nobody has read does not wait.
        Runs in the thread that selects connections, as `process_conn` does for
        new ones.
        """
        connections = self._connections
        selector = connections._selector
        unread = connections.waiting()
        idle = [
            (each.last_used, number, each)
            for number, each in selector.connections
            if each is not self and number not in unread
        ]
        if not idle:
            return False
        _, number, oldest = min(idle, key=lambda each: each[:2])
        selector.unregister(number)
        oldest.close()
        self.entry.refusals.record("connections")
        return True

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log errors reported by cheroot, except lost callers' connections.

        Callers lose their connections in normal operation.
        """
        error = sys.exc_info()[1]
        if traceback and not isinstance(error, relay.BrokenStreamError):
            logs.error(_log, "http_error", message=msg, reason=repr(error))
        elif level >= logging.WARNING:
            logs.warning(_log, "http_error", message=msg)


class _HeaderReader(cheroot.server.HeaderReader):
    """Rejects body lengths that another server may interpret differently.

    Follows RFC 9112, section 6.3. The base class keeps the last of several
    Content-Length headers and accepts a sign.
    """

    def __call__(
        self, rfile: typing.Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Read the headers.

        Raises:
            ValueError: The length of the body is ambiguous.
        """
        headers = _UniqueLengthHeaders() if hdict is None else hdict
        checked = _UniqueLengthHeaders()
        super().__call__(rfile, checked)
        headers.update(checked)
        length = checked.get(b"Content-Length")
        if length is not None and not length.isdigit():
            raise ValueError("Content-Length is not a number")
        if length is not None and b"Transfer-Encoding" in checked:
            raise ValueError("Content-Length beside Transfer-Encoding")
        return headers


class _UniqueLengthHeaders(dict[bytes, bytes]):
    """Headers that reject a second, different Content-Length."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        previous = self.get(name, value)
        if name == b"Content-Length" and previous != value:
            raise ValueError("two different values of Content-Length")
        super().__setitem__(name, value)


class _Request(cheroot.server.HTTPRequest):
    """Request that counts as in flight until its last byte is written."""

    request_numbers = itertools.count(1)
    header_reader = _HeaderReader()

    def parse_request(self) -> None:
        """Read the head of a request, within its time limit."""
        self._bound_reads(HEAD_TIMEOUT_S)
        super().parse_request()
        self._bound_reads(BODY_TIMEOUT_S)

    def _bound_reads(self, duration_s: float) -> None:
        # A deadline that is near shortens the timeout of the socket.
        self.conn.socket.settimeout(self.server.timeout)
        self.conn.socket.bound(time.monotonic() + duration_s, float("inf"))

    def read_request_headers(self) -> bool:
        """Read the headers; close the connection if they are rejected."""
        accepted = bool(super().read_request_headers())
        if not accepted:
            self.close_connection = True
        return accepted

    def send_headers(self) -> None:
        """Send the headers; read no more requests after Connection: close."""
        if (b"Connection", b"close") in self.outheaders:
            self.close_connection = True
        super().send_headers()

    def respond(self) -> None:
        entry = self.server.entry
        with entry.shutdown.track_call(f"http-{next(self.request_numbers)}"):
            super().respond()


class _Connection(threaded.Connection):
    """Caller's connection, which is counted from its start to its end."""

    RequestHandlerClass = _Request
    was_refused = False
    """Whether the rest of the body was not read."""

    def __init__(
        self,
        server: Server,
        sock: socket.socket,
        makefile: typing.Any = cheroot.makefile.MakeFile,
    ) -> None:
        super().__init__(server, bounded.BoundedSocket.replace(sock), makefile)
        with server.connections_lock:
            server.open_connections.add(self)

    def close(self) -> None:
        """Close the connection, after a refusal once the caller has it."""
        with self.server.connections_lock:
            self.server.open_connections.discard(self)
        if self.was_refused and self.server.lingering.acquire(blocking=False):
            try:
                self._discard()
            finally:
                self.server.lingering.release()
        super().close()

    def _discard(self) -> None:
        """Read and discard what the caller still sends, for a while."""
        end_s = time.monotonic() + LINGER_S
        buffer = bytearray(relay.READ_BYTES)
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            self.socket.bound(end_s, float("inf"))
            while self.socket.recv_into(buffer):
                pass


class Entry:
    """Handles callers' requests in the HTTP server's threads."""

    def __init__(
        self,
        entry_settings: settings.EntrySettings,
        control: watch.ControlWatcher,
        backends: watch.BackendWatcher,
        stop: shutdown.Shutdown,
    ) -> None:
        self.settings = entry_settings
        self.control = control
        self.backends = backends
        self.shutdown = stop
        self.budget = attempt.Budget(entry_settings.retry_budget_ratio)
        self.refusals = body_room.Refusals()
        self.room = body_room.Room(entry_settings.memory_mb, self.refusals)
        self.stream_relay = stream_relay.StreamRelay()
        self.register = claim.Register(control, stop.loop)
        self.admission = shares.FairAdmission(_EMPTY_CONFIGURATION, 1)
        backends.subscribe(self._update_admission)
        self.health = health.Health()
        self.health.ready_checks["configuration"] = control.stale_reason
        self.health.ready_checks["shutdown"] = self._shutdown_reason
        self.draining = False
        """True after SIGTERM: each response closes its connection."""
        self.refusing = False
        """True once the load balancer has had time to notice the shutdown."""
        _in_flight.set_function(lambda: len(stop.in_flight))

    def application(self) -> typing.Any:
        """Return the CherryPy application."""
        cherrypy.config.update(
            {
                "environment": "embedded",
                "log.screen": False,
                "log.access_file": "",
                "log.error_file": "",
            }
        )
        application = cherrypy.Application(
            None,
            "",
            {
                "/": {
                    "request.dispatch": self._dispatch,
                    "request.process_request_body": False,
                    "request.show_tracebacks": False,
                    "response.stream": True,
                    "tools.encode.on": False,
                    "error_page.default": _error_page,
                }
            },
        )
        # This program logs calls itself; other requests are only counted.
        application.log.access = lambda: None
        return application

    def handle(self) -> collections.abc.Iterable[bytes]:
        """Respond to CherryPy's current request."""
        environ = cherrypy.serving.request.wsgi_environ
        path = environ["REQUEST_URI"].partition("?")[0]
        if path in _HEALTH_PATHS:
            status, content_type, body = self.health.page(path)
            return _respond(status, {"Content-Type": content_type}, body)
        caller: relay.Caller = environ["flamingocleat.caller"]
        share = self.room.open(lambda how: _end(caller.socket, how))
        cherrypy.serving.request.hooks.attach("on_end_request", share.release)
        request = _request(environ, share)
        request_ids = call_module.request_ids(request.headers)
        headers: dict[str, str] = {"X-Request-Id": request_ids[0]}
        try:
            answer = self._answer(request, request_ids, environ)
        except problem.Problem as error:
            if call_module.has_key(request.headers):
                error.limit_to_attempt()
            headers.update(error.headers())
            # The rest of a refused request's body is not read.
            headers["Connection"] = "close"
            environ["flamingocleat.connection"].was_refused = True
            logs.info(
                _log,
                "call_refused",
                request=request_ids[1],
                status=error.status,
                outcome=error.outcome.value,
                attempt=error.attempt.value,
                reason=error,
            )
            return _respond(error.status, headers, error.body(request_ids[0]))
        except attempt.CallerGoneError as error:
            logs.info(_log, "caller_gone", request=request_ids[1], reason=error)
            return _respond(
                _CLIENT_CLOSED_REQUEST, {"Connection": "close"}, b""
            )
        if isinstance(answer, messages.Answer):
            logs.info(
                _log,
                "call_answered",
                request=request_ids[1],
                status=answer.status,
            )
            share.hold_answer(len(answer.body))
            if answer.content_type:
                headers["Content-Type"] = answer.content_type
            return _respond(answer.status, headers, answer.body)
        headers["Content-Type"] = "text/event-stream"
        headers["Cache-Control"] = "no-store"
        return _respond(200, headers, answer)

    def _answer(
        self,
        request: call_module.Request,
        request_ids: tuple[ids.RequestId, ids.RequestId],
        environ: dict[str, typing.Any],
    ) -> messages.Answer | collections.abc.Iterator[bytes]:
        configuration = self.control.state.configuration
        reason = self._refusal_reason() or self.control.stale_reason()
        if reason or configuration is None:
            raise problem.unavailable(reason)
        call = call_module.parse(
            configuration,
            request,
            request_ids,
            self.settings.max_body_bytes,
            time.time(),
        )
        self.budget.record_request()
        self._admit(call)
        caller: relay.Caller = environ["flamingocleat.caller"]
        attempts = attempt.Attempts(
            self.settings, call, self.backends, self.budget, caller.socket
        )
        if call.key and not call.repeatable:
            return claim.ClaimedCall(attempts, self.register).run()
        if not call.stream:
            return typing.cast(messages.Answer, attempts.open(self._collect))
        stream = relay.Stream(attempts)
        cherrypy.serving.request.hooks.attach("on_end_request", stream.close)
        first = stream.open()
        if isinstance(first, messages.Answer):
            return first
        return relay.events(stream, first, caller, self.stream_relay)

    def _admit(self, call: call_module.Call) -> None:
        """Wait for a slot; it is released when the response has ended."""
        try:
            ticket = self.admission.acquire(
                call.customer.name,
                call.service.name,
                call.priority,
                call.deadline_s,
            )
        except shares.AdmissionRefusedError as error:
            if not call.remaining_s():
                raise problem.deadline_exceeded(
                    problem.Outcome.NOT_RUN
                ) from error
            raise problem.Problem(
                429,
                "Too many requests",
                error.reason,
                retry_after_s=error.retry_after_s,
            ) from error
        cherrypy.serving.request.hooks.attach(
            "on_end_request", lambda: self.admission.release(ticket)
        )

    def _update_admission(self) -> None:
        state = self.control.state
        if state.configuration is not None:
            self.admission.update(
                state.configuration, state.entry_count, self.backends.slots()
            )

    def _collect(self, reply: attempt.Reply) -> messages.Answer:
        with contextlib.closing(reply):
            return reply.read_answer(self.settings.max_answer_bytes)

    def _dispatch(self, path: str) -> None:
        """Route every request to one handler (a CherryPy dispatcher)."""
        request = cherrypy.serving.request
        request.config = {**cherrypy.config, **request.app.config["/"]}
        request.handler = self.handle

    def _shutdown_reason(self) -> str:
        return "shutting down" if self.draining else ""

    def _refusal_reason(self) -> str:
        return "this entry is shutting down" if self.refusing else ""


def main(argv: collections.abc.Sequence[str] | None = None) -> int:
    """Run the program; return its exit status."""
    parser = argparse.ArgumentParser(
        prog="flamingocleat-entry", description=__doc__
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    options = parser.parse_args(argv)
    try:
        entry_settings = document.load(options.settings, settings.EntrySettings)
    except errors.DocumentError as error:
        print(error, file=sys.stderr)
        return 2
    if entry_settings.routing_policy not in routing.POLICIES:
        names = ", ".join(sorted(routing.POLICIES))
        print(
            f"{options.settings}: unknown routing_policy (use one of {names})",
            file=sys.stderr,
        )
        return 2
    if options.check:
        return 0
    logs.set_up("entry", entry_settings.log_level)
    threading.stack_size(STACK_BYTES)
    allocator.return_large_blocks()
    return asyncio.run(run(entry_settings))


def build(
    entry_settings: settings.EntrySettings, stop: shutdown.Shutdown
) -> Entry:
    """Build an entry that uses the running event loop."""
    control = watch.ControlWatcher(entry_settings, lambda: len(stop.in_flight))
    backends = watch.BackendWatcher(entry_settings, control)
    return Entry(entry_settings, control, backends, stop)


async def run(entry_settings: settings.EntrySettings) -> int:
    """Serve until asked to stop or a task fails; return the exit status."""
    stop = shutdown.Shutdown()
    stop.install()
    entry = build(entry_settings, stop)
    server = Server(entry_settings, entry)
    await asyncio.to_thread(server.prepare)
    serving = asyncio.create_task(asyncio.to_thread(server.serve))
    watching = asyncio.create_task(entry.control.run())
    logs.info(_log, "started", listen=entry_settings.listen)
    stopping = asyncio.create_task(stop.requested.wait())
    await asyncio.wait(
        {stopping, serving, watching},
        return_when=asyncio.FIRST_COMPLETED,
    )
    failed = not stopping.done()
    if failed:
        logs.error(
            _log, "task_failed", reason=_failure_reason(serving, watching)
        )
    entry.draining = True
    await asyncio.sleep(entry_settings.drain_notice_s)
    entry.refusing = True
    await stop.wait_idle()
    await asyncio.to_thread(server.stop)
    logs.info(_log, "stopped")
    return 1 if failed else 0


def _failure_reason(*tasks: asyncio.Task) -> str:
    """Return the exception of the first of the tasks that has ended."""
    for task in tasks:
        if task.done():
            return repr(task.exception())
    return ""


def _end(sock: socket.socket, how: int) -> None:
    """Let the thread that reads from, or writes to, a caller go on."""
    with contextlib.suppress(OSError):
        sock.shutdown(how)


def _request(
    environ: dict[str, typing.Any], share: body_room.Share
) -> call_module.Request:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    for name in ("CONTENT_TYPE", "CONTENT_LENGTH"):
        if name in environ:
            headers[name.replace("_", "-").lower()] = environ[name]
    return call_module.Request(
        environ["REQUEST_METHOD"],
        environ["REQUEST_URI"],
        headers,
        environ["wsgi.input"],
        environ["wsgi.input_terminated"],
        share,
    )


def _respond(
    status: int,
    headers: dict[str, str],
    body: bytes | collections.abc.Iterator[bytes],
) -> collections.abc.Iterable[bytes]:
    response = cherrypy.serving.response
    response.status = status
    response.headers.pop("Server", None)
    response.headers.update(headers)
    _calls.labels(status=str(status)).inc()
    if isinstance(body, bytes):
        response.headers["Content-Length"] = str(len(body))
        return [body]
    return body


def _error_page(
    status: str, message: str, traceback: str, version: str
) -> bytes:
    """Return the body for an internal error, without its details."""
    reason = sys.exc_info()[1]
    logs.error(_log, "handler_failed", status=status, reason=repr(reason))
    error = problem.Problem(
        int(status[:3]),
        "Internal error",
        "the entry failed to handle the request",
        problem.Outcome.UNKNOWN,
    )
    cherrypy.serving.response.headers.update(error.headers())
    return error.body(ids.RequestId(""))


if __name__ == "__main__":
    sys.exit(main())
