"""HTTP/1.1 on asyncio: a server for callers and a client for backend servers.

h11 does the framing. A server with a thread per stream, such as CherryPy,
cannot notice a caller that disconnects while its request waits, and the
threads of several hundred streams cost memory; docs/platform.md has the
figures.
"""

import asyncio
import collections.abc
import contextlib
import os
import socket
import struct
import sys
import time
import typing

import h11
import prometheus_client

from flamingocleat import errors
from flamingocleat.connection import endings
from flamingocleat.connection import intake as intake_module
from flamingocleat.connection import listener as listeners
from flamingocleat.process import logs
from flamingocleat.version import catalog

_log = logs.logger("http")

Headers = list[tuple[bytes, bytes]]
"""Pairs of lower-case name and value."""

_READ_BYTES = 65_536
MAX_PIPELINED_BYTES = 16_384
"""Pipelined bytes, buffered while a request is served, from which on no more
are read."""
WRITE_BUFFER_BYTES = 16_384
"""Unsent bytes from which on a writer waits."""
WRITE_PIECE_BYTES = 65_536
"""Size of the pieces in which large bodies are written."""
LINGER_S = 2.0
"""Time for which a refused caller's bytes are read and discarded. If the
connection were closed at once, the caller could lose the answer."""
MAX_LINGER_BYTES = 8_388_608
ACCEPTED_AT_ONCE = 16
"""Connections that are accepted before the next are refused or ended."""
ROOM_RETRY_AFTER_S = 1
"""Retry-After of a request that found no room."""
BODY_TIMEOUT_S = 30.0
"""Time within which a request's body must arrive."""
WRITE_TIMEOUT_S = 30.0
"""Time for which a caller may accept no bytes."""
DRAIN_POLL_S = 0.02
"""Interval between checks for unfinished requests while draining."""
ARRIVAL_STEPS = 3
"""Steps of the event loop in which the first bytes of a connection are read."""
BACKLOG = 1024
"""Maximum number of connections that wait to be accepted."""
MAX_ANSWER_BYTES = 4_194_304
"""Size limit of answers that are read whole before they are forwarded. All
calls to faulty servers together have to fit into a gateway's memory."""
MAX_SHORT_ANSWER_BYTES = 65_536
"""The same for answers to orders and for failures of streams."""
MAX_OVERHEAD_BYTES = 131_072
"""Bytes of an answer beyond its body, and beyond as many again for the framing
of chunks, after which the connection is closed."""
MAX_STATUS = 599
MAX_INTERIM_ANSWERS = 16
"""Interim answers (1xx) after which a server counts as faulty."""
_RESET = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket resets its connection."""

_HELD_BYTES = prometheus_client.Gauge(
    "flamingocleat_http_held_bytes",
    "Bytes that a server holds for its callers",
    ["server"],
)
_CONNECTIONS = prometheus_client.Gauge(
    "flamingocleat_http_connections", "Callers' connections", ["server"]
)
_REFUSED = prometheus_client.Counter(
    "flamingocleat_http_refused",
    "Connections refused or ended for lack of room",
    ["server", "reason"],
)

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class RefusedRequestError(errors.FlamingocleatError):
    """A request is malformed or too large; carries the response status."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class ConnectError(errors.FlamingocleatError):
    """No connection could be opened, so nothing was sent."""

    def __init__(self, address: str, error: BaseException) -> None:
        super().__init__(f"cannot connect to {address}: {error!r}")
        self.refused = isinstance(error, ConnectionRefusedError)
        """True if the connection was refused, as nothing listens there."""


class BrokenAnswerError(errors.FlamingocleatError):
    """A backend server's answer is truncated or invalid."""


class Exchange:
    """One request and its answer."""

    def __init__(
        self, connection: "Connection", request: h11.Request, body: bytes
    ) -> None:
        self.connection = connection
        self.method: bytes = request.method
        self.target: bytes = request.target
        self.headers: Headers = list(request.headers)
        self.body = body
        self.arrived_s = time.monotonic()
        self.started = False
        self.finished = False

    def header(self, name: bytes) -> str:
        """Return the first value of a header, or an empty string."""
        for known, value in self.headers:
            if known == name:
                return value.decode("latin-1")
        return ""

    async def respond(
        self, status: int, headers: Headers, body: bytes = b""
    ) -> None:
        """Send a complete answer."""
        self.start(
            status,
            [*headers, (b"content-length", str(len(body)).encode())],
        )
        if self.method != b"HEAD":
            for first in range(0, len(body), WRITE_PIECE_BYTES):
                self.connection.unsent_bytes = len(body) - first
                await self.send(body[first : first + WRITE_PIECE_BYTES])
        self.connection.unsent_bytes = 0
        await self.finish()

    def start(self, status: int, headers: Headers) -> None:
        """Send the status line and headers of an answer."""
        self.started = True
        if (
            self.connection.server.draining
            and not self.connection.has_request_behind()
        ):
            headers = [*headers, (b"connection", b"close")]
        self.connection.write(h11.Response(status_code=status, headers=headers))

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body."""
        self.connection.write(h11.Data(data=data))
        await self.connection.writable()

    async def finish(self) -> None:
        """Mark the answer as complete."""
        self.connection.write(h11.EndOfMessage())
        self.finished = True
        await self.connection.writable()


Handler = collections.abc.Callable[[Exchange], collections.abc.Awaitable[None]]


class Connection(asyncio.BufferedProtocol):
    """A caller's connection; one task serves its requests in order."""

    def __init__(self, server: "Server") -> None:
        self.server = server
        self.intake = server.intake
        self.head_bytes = server.limits().max_header_bytes
        """Limit on heads that the parser was created with."""
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.head_bytes
        )
        self.data_arrived = asyncio.Event()
        self.admitted = asyncio.Event()
        self.write_resumed = asyncio.Event()
        self.write_resumed.set()
        self.idle = True
        self.pipelined_bytes = 0
        """Bytes that arrived while a request is served."""
        self.unsent_bytes = 0
        """Rest of an answer that is not yet in the write buffer."""
        self.refusal: RefusedRequestError | None = None
        """Why the request that is being read is refused, if it is."""
        self.received_bytes = 0
        self.stall_detector = endings.StallDetector()
        self.discarded_bytes = 0
        self.is_discarding = False
        self.end_reason = ""
        """Why the connection ended, or an empty string."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that serves requests."""
        self.transport = typing.cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        self.server.connections.add(self)
        account = self.intake.open(self)
        self.account = account or intake_module.Account(self)
        self.account.closed = self.is_discarding = account is None
        work = self._serve() if account is not None else self._turn_away()
        self.task = asyncio.get_running_loop().create_task(work)
        if self.server.closed:
            self.transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return a buffer of the size that may be read now."""
        buffer = self.server.read_buffer
        if self.is_discarding:
            return buffer
        size = self.intake.readable(self.account)
        if not size:
            self.transport.pause_reading()
        return buffer[: size or 1]

    def buffer_updated(self, nbytes: int) -> None:
        """Receive bytes; pause if the caller pipelines too many."""
        self.received_bytes += nbytes
        if self.is_discarding:
            self.discarded_bytes += nbytes
            if self.discarded_bytes > MAX_LINGER_BYTES:
                self.transport.abort()
            return
        self.http.receive_data(bytes(self.server.read_buffer[:nbytes]))
        self.intake.received(self.account, nbytes)
        if not self.idle:
            self.pipelined_bytes += nbytes
            if self.pipelined_bytes >= MAX_PIPELINED_BYTES:
                self.transport.pause_reading()
        self.data_arrived.set()

    def eof_received(self) -> bool:
        """Cancel the request; a caller that closes its end counts as gone."""
        self._cancel("the caller closed its end")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self.server.connections.discard(self)
        self.intake.close(self.account)
        self.write_resumed.set()
        self._cancel(
            f"the connection was lost: {exc!r}"
            if exc is not None
            else "the connection was closed"
        )

    def _cancel(self, reason: str) -> None:
        """Cancel the request in progress; the first reason is kept."""
        self.end_reason = self.end_reason or reason
        self.task.cancel()

    def pause_writing(self) -> None:
        """Pause writing, because the caller does not read."""
        self.write_resumed.clear()
        self.count_unread()

    def resume_writing(self) -> None:
        """Resume writing, because the caller reads again."""
        self.write_resumed.set()
        self.count_unread()

    def count_unread(self) -> None:
        """Tell the intake how much of the answers the caller has not read."""
        unread = self.transport.get_write_buffer_size() + self.unsent_bytes
        self.intake.hold_answer(self.account, unread)

    def has_unseen_bytes(self) -> bool:
        """Return whether bytes have come that may belong to a request."""
        return self.data_arrived.is_set() or endings.has_unread(self.transport)

    def is_in_use(self) -> bool:
        """Return whether a request may wait, or an answer is not sent yet."""
        return (
            self.has_unseen_bytes()
            or self.transport.get_write_buffer_size() > 0
        )

    def has_request_behind(self) -> bool:
        """Return whether another request may follow the one being served."""
        return self._count_unparsed() > 0 or endings.has_unread(self.transport)

    @property
    def phase(self) -> intake_module.Phase:
        """What the connection does, also if it has no account."""
        if self.is_discarding:
            return intake_module.Phase.REFUSED
        return self.account.phase

    def may_end(self, rule: endings.Rule) -> bool:
        """Return whether a rule may end the connection now."""
        return endings.may_end(
            rule,
            self.phase,
            has_unseen_bytes=self.has_unseen_bytes(),
        )

    def end_if_stalled(self) -> None:
        """Refuse a request that ceases to arrive, or close after a refusal."""
        action = self.stall_detector.check(
            self.phase,
            self.received_bytes,
            time.monotonic(),
            is_waiting=self.intake.is_held_up(self.account) or self.is_in_use(),
        )
        if action is endings.Action.REFUSE:
            self.refuse(intake_module.Reason.SLOW)
        elif action is endings.Action.CLOSE:
            self.transport.close()

    # Calls of the intake.

    def resume(self) -> None:
        """Read again, unless the caller has pipelined too many bytes."""
        if self.account not in self.intake.queue and (
            self.idle or self.pipelined_bytes < MAX_PIPELINED_BYTES
        ):
            self.transport.resume_reading()

    def admit(self) -> None:
        """Go on reading the body that waited for room."""
        self.admitted.set()

    def refuse(self, reason: intake_module.Reason) -> None:
        """Refuse the request that is being read."""
        self.refusal = RefusedRequestError(408, "the request does not arrive")
        self.data_arrived.set()

    def drop(self, reason: intake_module.Reason) -> None:
        """End the connection at once."""
        self.abort()
        self._cancel(f"no room: {reason.value}")

    def write(self, event: h11.Event) -> None:
        """Send one h11 event."""
        data = self.http.send(event)
        if data:
            self.transport.write(data)

    async def writable(self) -> None:
        """Wait until the write buffer has room."""
        if not self.write_resumed.is_set():
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await self.write_resumed.wait()

    def abort(self) -> None:
        """Abort the connection, so that no partial answer looks complete."""
        if self.http.their_http_version == b"1.0":
            # Answers to HTTP/1.0 have no length and end with an orderly close.
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.transport.abort()

    async def _serve(self) -> None:
        try:
            while await self._serve_next():
                pass
        except TimeoutError:
            self.abort()
        except (h11.RemoteProtocolError, RefusedRequestError) as error:
            await self._refuse(error)
        finally:
            self.transport.close()

    async def _turn_away(self) -> None:
        """Refuse a connection for which there is no room."""
        refusal = _no_room("too many connections")
        try:
            if self.server.begin_refusing():
                try:
                    await self._refuse(refusal)
                finally:
                    self.server.refusing -= 1
            else:
                # Bytes that are unread at the close would reset the answer. The
                # line `callers_refused` counts these callers.
                for _ in range(ARRIVAL_STEPS):
                    await asyncio.sleep(0)
                self._write_refusal(refusal)
        finally:
            self.transport.close()

    async def _serve_next(self) -> bool:
        """Serve one request; return whether another may follow."""
        exchange = await self._read()
        if exchange is None:
            return False
        self.idle = False
        self.refusal = None
        self.pipelined_bytes = self._count_unparsed()
        self.intake.set_held(
            self.account, len(exchange.body) + self.pipelined_bytes
        )
        self.intake.enter(self.account, intake_module.Phase.SERVED)
        try:
            async with self.server.turn(len(exchange.body)):
                await self.server.handle(exchange)
        except Exception as error:
            if exchange.started:
                raise
            await self._answer_failure(exchange, error)
        finally:
            # Errors whose frames refer to the exchange live until the garbage
            # collector finds them, which does not count the bytes of a body.
            exchange.body = b""
            if not exchange.finished:
                self.abort()
        self.count_unread()
        if self.http.our_state is h11.MUST_CLOSE:
            return False
        if not self.server.listening and not self.has_request_behind():
            return False
        try:
            self.http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self.idle = True
        unparsed = self._count_unparsed()
        self.intake.set_held(self.account, unparsed)
        if unparsed:
            self.intake.enter(self.account, intake_module.Phase.HEAD)
            # Many pipelined requests must not keep other callers waiting.
            await asyncio.sleep(0)
        else:
            self.intake.enter(self.account, intake_module.Phase.IDLE)
        return True

    async def _answer_failure(
        self, exchange: Exchange, error: Exception
    ) -> None:
        """Answer a request whose handler has failed."""
        logs.error(
            _log,
            "request_failed",
            server=self.server.name,
            status=500,
            target=exchange.target.decode("latin-1"),
            reason=logs.describe(error),
        )
        headers = [(b"content-type", b"text/plain")]
        await exchange.respond(500, headers, b"internal error\n")

    def _count_unparsed(self) -> int:
        return len(self.http.trailing_data[0])

    def _read_on(self) -> None:
        """Read again after a pause, unless there is no room."""
        if (
            self.account not in self.intake.paused
            and not self.transport.is_closing()
        ):
            self.transport.resume_reading()

    async def _read(self) -> Exchange | None:
        request = await self._read_head()
        if request is None:
            return None
        limits = self.server.limits()
        length = _check_framing(request)
        if self.refusal is not None:
            raise self.refusal
        self.intake.enter(self.account, intake_module.Phase.BODY)
        body = bytearray()
        try:
            if not await self._read_body(body, length, limits):
                return None
            return Exchange(self, request, bytes(body))
        finally:
            # See `_serve_next`.
            body.clear()

    async def _read_body(
        self, body: bytearray, length: int, limits: catalog.Limits
    ) -> bool:
        """Read a body; return False if the connection ended before it did."""
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                event = await self._collect_body(body, length, limits)
        except TimeoutError:
            event = self._take_arrived(body, limits)
            if event is h11.NEED_DATA:
                raise
        return isinstance(event, h11.EndOfMessage)

    async def _collect_body(
        self, body: bytearray, length: int, limits: catalog.Limits
    ) -> typing.Any:
        """Read a body as it arrives; return the event that ends it."""
        if length > limits.max_body_bytes:
            raise RefusedRequestError(413, "the body is too large")
        if length > intake_module.FREE_BODY_BYTES:
            await self._reserve(length)
        if self.http.they_are_waiting_for_100_continue:
            self.write(h11.InformationalResponse(status_code=100, headers=[]))
        while isinstance(event := await self._next_event(), h11.Data):
            _extend(body, event.data, limits)
            if (
                len(body) > intake_module.FREE_BODY_BYTES
                and not self.account.reserved
            ):
                # A body in chunks, whose length is not known.
                await self._reserve(
                    limits.max_body_bytes + intake_module.LARGE_READ_BYTES
                )
        return event

    def _take_arrived(
        self, body: bytearray, limits: catalog.Limits
    ) -> typing.Any:
        """Add what has arrived of a body; return the event after it."""
        while isinstance(event := self.http.next_event(), h11.Data):
            _extend(body, event.data, limits)
        return event

    async def _reserve(self, length: int) -> None:
        """Wait until there is room for a body; raise if there is none."""
        self.admitted.clear()
        if self.intake.reserve(self.account, length):
            return
        self.transport.pause_reading()
        try:
            async with asyncio.timeout(intake_module.ROOM_WAIT_S):
                await self.admitted.wait()
        except TimeoutError as error:
            self.intake.refused[intake_module.Reason.ROOM] += 1
            raise _no_room("no room for the body") from error

    async def _read_head(self) -> h11.Request | None:
        event = self._parse_head()
        while event is h11.NEED_DATA and not self.http.trailing_data[0]:
            await self._wait_while_idle()
            event = self._parse_head()
        began_s = time.monotonic()
        while event is h11.NEED_DATA:
            is_late = False
            try:
                await self._wait_within(
                    lambda: self.server.limits().header_timeout_s, began_s
                )
            except TimeoutError:
                if not self.data_arrived.is_set():
                    raise
                is_late = True
            event = self._parse_head()
            if is_late and event is h11.NEED_DATA:
                raise TimeoutError
        return event if isinstance(event, h11.Request) else None

    def _parse_head(self) -> typing.Any:
        """Parse what has arrived of a head, within the limit in force now.

        A parser's own limit cannot be changed.
        """
        limit = self.server.limits().max_header_bytes
        if limit != self.head_bytes:
            arrived, _ = self.http.trailing_data
            self.http = h11.Connection(
                h11.SERVER, max_incomplete_event_size=limit
            )
            self.head_bytes = limit
            if arrived:
                self.http.receive_data(arrived)
        return self.http.next_event()

    async def _wait_while_idle(self) -> None:
        """Wait for a request; raise TimeoutError if none comes."""
        limits_s = [
            lambda: self.server.limits().idle_timeout_s,
            lambda: WRITE_TIMEOUT_S,
        ]
        for limit_s in limits_s:
            try:
                await self._wait_within(limit_s, time.monotonic())
            except TimeoutError:
                # A loop that stood still sees the limit and the request at
                # once.
                if not self.may_end(endings.Rule.IDLE_LIMIT):
                    return
                is_sent = self.transport.get_write_buffer_size() == 0
                if is_sent or limit_s() >= WRITE_TIMEOUT_S:
                    raise
                # The close would cut the answer before.
            else:
                return

    async def _wait_within(
        self, limit_s: collections.abc.Callable[[], float], began_s: float
    ) -> None:
        """Wait for data; raise TimeoutError after the limit in force then."""
        while True:
            end_s = began_s + limit_s()
            try:
                async with asyncio.timeout(end_s - time.monotonic()):
                    await self._wait_for_data()
                return
            except TimeoutError:
                if self.data_arrived.is_set() or began_s + limit_s() <= end_s:
                    raise

    async def _next_event(self) -> typing.Any:
        while (event := self.http.next_event()) is h11.NEED_DATA:
            await self._wait_for_data()
        return event

    async def _wait_for_data(self) -> None:
        self.data_arrived.clear()
        self._read_on()
        await self.data_arrived.wait()
        if self.refusal is not None:
            raise self.refusal

    async def _refuse(
        self, error: h11.RemoteProtocolError | RefusedRequestError
    ) -> None:
        logs.info(
            _log,
            "request_refused",
            status=_status_of(error),
            reason=str(error),
        )
        if self._write_refusal(error):
            await self._linger()

    def _write_refusal(
        self, error: h11.RemoteProtocolError | RefusedRequestError
    ) -> bool:
        """Refuse a request; return False if an answer has begun."""
        status = _status_of(error)
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.abort()
            return False
        body = f"{error}\n".encode()
        headers = [
            ("content-type", "text/plain"),
            ("content-length", str(len(body))),
            ("connection", "close"),
        ]
        if status == 503:
            headers.append(("retry-after", str(ROOM_RETRY_AFTER_S)))
        self.write(h11.Response(status_code=status, headers=headers))
        self.write(h11.Data(data=body))
        self.write(h11.EndOfMessage())
        return True

    async def _linger(self) -> None:
        """Discard what the caller still sends, until it has the answer."""
        self.is_discarding = True
        self.data_arrived.clear()
        self.http = h11.Connection(h11.SERVER)
        self.intake.release(self.account)
        self.intake.enter(self.account, intake_module.Phase.REFUSED)
        self.idle = True
        if self.transport.is_closing():
            return
        self.transport.resume_reading()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        # The task is cancelled when the caller closes its end.
        await asyncio.sleep(LINGER_S)


def _extend(body: bytearray, data: bytes, limits: catalog.Limits) -> None:
    body += data
    if len(body) > limits.max_body_bytes:
        raise RefusedRequestError(413, "the body is too large")


def _status_of(error: h11.RemoteProtocolError | RefusedRequestError) -> int:
    if isinstance(error, RefusedRequestError):
        return error.status
    return error.error_status_hint


def _no_room(reason: str) -> RefusedRequestError:
    return RefusedRequestError(503, reason)


class Server:
    """Listens on one address and serves each connection in a task."""

    def __init__(
        self,
        handle: Handler,
        limits: collections.abc.Callable[[], catalog.Limits] = catalog.Limits,
        settings: intake_module.Settings = intake_module.Settings(),  # noqa: B008
        name: str = "",
        *,
        single_body_bytes: int = sys.maxsize,
    ) -> None:
        self.handle = handle
        self.limits = limits
        self.name = name
        """Names the server in metrics, if it is not empty."""
        self.single_body_bytes = single_body_bytes
        """Size of a body above which one request is handled at a time."""
        self.intake = intake_module.Intake(settings, self._check_later)
        self.report = intake_module.Report(self.intake)
        self.read_buffer = memoryview(bytearray(intake_module.LARGE_READ_BYTES))
        """Buffer of all connections; a read is consumed before the next."""
        self.refusing = 0
        """Connections that are refused since there are too many."""
        self.large_turn = asyncio.Lock()
        self.check_handle: asyncio.TimerHandle | None = None
        if name:
            _HELD_BYTES.labels(server=name).set_function(
                lambda: self.intake.used
            )
            _CONNECTIONS.labels(server=name).set_function(
                lambda: len(self.connections)
            )
        self.connections: set[Connection] = set()
        self.adopting: set[asyncio.Task[typing.Any]] = set()
        """Set up connections that waited as the listener was closed."""
        self.closed = False
        """Whether connections that are set up from now on are aborted."""
        self.draining = False
        """True if each answer should announce that its connection closes."""
        self.listening = True
        """False once connections are closed after the answer in progress,
        whether or not it announced that."""

    async def start(
        self, address: str, listener: socket.socket | None = None
    ) -> None:
        """Listen at host:port, or at a socket that already listens."""
        loop = asyncio.get_running_loop()
        if listener is not None:
            self.listener = await loop.create_server(
                lambda: Connection(self),
                sock=listener,
                backlog=ACCEPTED_AT_ONCE,
            )
        else:
            host, _, port = address.rpartition(":")
            self.listener = await loop.create_server(
                lambda: Connection(self),
                host,
                int(port),
                backlog=ACCEPTED_AT_ONCE,
            )
        for transport_socket in self.listener.sockets:
            # asyncio accepts as many at once as may wait to be accepted.
            with socket.socket(fileno=os.dup(transport_socket.fileno())) as own:
                own.listen(BACKLOG)

    def begin_refusing(self) -> bool:
        """Return whether a connection may stay open while it is refused."""
        if self.refusing >= intake_module.REFUSING_CONNECTIONS:
            return False
        self.refusing += 1
        return True

    @contextlib.asynccontextmanager
    async def turn(
        self, body_bytes: int
    ) -> collections.abc.AsyncIterator[None]:
        """Wait until no other request with a large body is handled."""
        if body_bytes <= self.single_body_bytes:
            yield
            return
        async with self.large_turn:
            yield

    def _check_later(self) -> None:
        """Check the progress of all connections while room is short."""
        if self.check_handle is None:
            self.check_handle = asyncio.get_running_loop().call_later(
                intake_module.CHECK_INTERVAL_S, self._check
            )

    def _check(self) -> None:
        self.check_handle = None
        self.intake.check()
        counts = self.report.due()
        for reason, count in counts.items():
            _REFUSED.labels(server=self.name, reason=reason).inc(count)
        if counts:
            logs.warning(
                _log,
                "callers_refused",
                server=self.name,
                held_bytes=self.intake.used,
                open_connections=len(self.connections),
                **counts,
            )
        if self.intake.is_pressed or self.report.is_pending:
            self._check_later()

    def close_listener(self) -> None:
        """Accept no new connections, and no further request on others."""
        self.listening = False
        listeners.close_soon(self.listener, self.listener.close, self._adopt)

    def _adopt(self, accepted: socket.socket) -> None:
        """Serve a connection that waited to be accepted."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(
            loop.connect_accepted_socket(lambda: Connection(self), accepted)
        )
        self.adopting.add(task)
        task.add_done_callback(self.adopting.discard)

    def close_idle(self) -> None:
        """Close connections on which no request can wait.

        Those on which a request has ceased to arrive are refused first.
        """
        for connection in list(self.connections):
            if connection.may_end(endings.Rule.STOP):
                connection.transport.close()
            else:
                connection.end_if_stalled()

    async def drain(self, end_s: float) -> None:
        """Close connections as their requests end, until then at most."""
        # Connections that were accepted last are set up meanwhile.
        await asyncio.sleep(DRAIN_POLL_S)
        self.close_idle()
        while self.busy and time.monotonic() < end_s:
            await asyncio.sleep(DRAIN_POLL_S)
            self.close_idle()

    def refuse_unfinished(self) -> None:
        """Refuse the requests that have not arrived whole."""
        for phase in (intake_module.Phase.HEAD, intake_module.Phase.BODY):
            for account in list(self.intake.phases[phase]):
                account.peer.refuse(intake_module.Reason.SLOW)

    async def close(self) -> None:
        """Abort all connections and wait until their tasks have ended."""
        self.closed = True
        self.close_listener()
        if self.check_handle is not None:
            self.check_handle.cancel()
        await asyncio.sleep(0)  # The listener is closed in this step.
        await asyncio.gather(*self.adopting, return_exceptions=True)
        tasks = [each.task for each in self.connections]
        for connection in list(self.connections):
            connection.abort()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def busy(self) -> int:
        """Connections with a request, or with an answer that is not sent.

        A request may also be on its way to the serving task.
        """
        return len(self.adopting) + sum(
            not each.may_end(endings.Rule.STOP)
            or each.transport.get_write_buffer_size() > 0
            for each in self.connections
        )


def _check_framing(request: h11.Request) -> int:
    """Refuse framing that another server might interpret differently.

    Returns the length of the body; 0 if it is not given.
    """
    names = [name for name, _ in request.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise RefusedRequestError(
            400, "Content-Length beside Transfer-Encoding"
        )
    if names.count(b"host") != 1:
        raise RefusedRequestError(400, "there must be one Host header")
    lengths = [v for name, v in request.headers if name == b"content-length"]
    return int(lengths[0]) if lengths else 0


class Answer(typing.NamedTuple):
    """Status and headers of a backend server's answer."""

    status: int
    headers: Headers

    def header(self, name: bytes) -> str:
        """Return the first value of a header, or an empty string."""
        for known, value in self.headers:
            if known == name:
                return value.decode("latin-1")
        return ""

    def values(self, name: bytes) -> list[str]:
        """Return all values of a header."""
        return [
            value.decode("latin-1")
            for known, value in self.headers
            if known == name
        ]


def _check_status(answer: h11.Response) -> None:
    """Raise BrokenAnswerError for a head that HTTP/1 does not define."""
    if answer.status_code > MAX_STATUS or answer.http_version[:2] != b"1.":
        version = answer.http_version.decode("ascii")
        raise BrokenAnswerError(
            f"no answer but status {answer.status_code} of HTTP/{version}"
        )


class Client:
    """One request to one server on a new connection.

    A new connection cannot deliver a late answer to another request, and
    cannot have been dropped unnoticed.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.http = h11.Connection(h11.CLIENT)
        self.received_bytes = 0
        self.body_bytes = 0
        self.closed = False
        self.sending: asyncio.Task[None] | None = None
        """Writes the rest of a large body."""

    @classmethod
    async def open(cls, address: str, timeout_s: float) -> "Client":
        """Connect to a server; raise ConnectError on failure."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            # The last two: the address has no valid port.
            raise ConnectError(address, error) from error
        return cls(reader, writer)

    def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """Send a complete request; raise BrokenAnswerError on failure."""
        headers = [*headers, (b"connection", b"close")]
        if body or method in (b"POST", b"PUT", b"PATCH"):
            length = str(len(body)).encode()
            headers.append((b"content-length", length))
        try:
            data = self.http.send(
                h11.Request(method=method, target=target, headers=headers)
            )
            if len(body) <= WRITE_PIECE_BYTES:
                if body:
                    data += self.http.send(h11.Data(data=body)) or b""
                data += self.http.send(h11.EndOfMessage()) or b""
                self.writer.write(data)
                return
            self.writer.write(data)
            self.sending = asyncio.create_task(self._send_body(body))
        except (OSError, h11.LocalProtocolError) as error:
            raise BrokenAnswerError(f"cannot send: {error!r}") from error

    async def _send_body(self, body: bytes) -> None:
        """Write a large body in pieces, so that it is not copied whole."""
        # The connection ends if this fails, which the reader reports.
        with contextlib.suppress(OSError, h11.LocalProtocolError):
            for first in range(0, len(body), WRITE_PIECE_BYTES):
                piece = body[first : first + WRITE_PIECE_BYTES]
                self.writer.write(self.http.send(h11.Data(data=piece)) or b"")
                await self.writer.drain()
            self.http.send(h11.EndOfMessage())

    async def answer(self) -> Answer:
        """Return the answer's status and headers; raise BrokenAnswerError."""
        for _ in range(MAX_INTERIM_ANSWERS):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                _check_status(event)
                return Answer(event.status_code, list(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenAnswerError(f"no answer but {event!r}")
        raise BrokenAnswerError("too many interim answers")

    async def read(self) -> bytes:
        """Return the next bytes of the body, or b"" at its end."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            self.body_bytes += len(event.data)
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        raise BrokenAnswerError(f"the body ended with {event!r}")

    async def read_all(
        self,
        limit: int = MAX_ANSWER_BYTES,
        count: collections.abc.Callable[[int], None] = lambda _size: None,
    ) -> bytes:
        """Return the whole body; raise BrokenAnswerError.

        Args:
            limit: Size of the largest body.
            count: Called with the size of each part before the next is read;
                it may close this client.
        """
        body = bytearray()
        try:
            while data := await self.read():
                body += data
                count(len(data))
                self._check_open()
                if len(body) > limit:
                    raise BrokenAnswerError("the answer is too large")
            return bytes(body)
        finally:
            # An error refers to this frame as long as it is handled.
            body.clear()

    def close(self) -> None:
        """Abort the connection, which also stops the server's work.

        A read that waits, or that follows, raises BrokenAnswerError.
        """
        self.closed = True
        if self.sending is not None:
            self.sending.cancel()
        self.writer.transport.abort()

    async def _next_event(self) -> typing.Any:
        try:
            self._check_open()
            while (event := self.http.next_event()) is h11.NEED_DATA:
                data = await self.reader.read(_READ_BYTES)
                # asyncio reports a close as an orderly end by the server, which
                # would complete an answer without a length.
                self._check_open()
                self.http.receive_data(data)
                self._count_received(data)
        except (OSError, h11.RemoteProtocolError) as error:
            raise BrokenAnswerError(f"{error!r}") from error
        return event

    def _check_open(self) -> None:
        if self.closed:
            raise BrokenAnswerError("closed on this side")

    def _count_received(self, data: bytes) -> None:
        """Count bytes; raise BrokenAnswerError if too few belong to a body."""
        self.received_bytes += len(data)
        if self.received_bytes > 2 * self.body_bytes + MAX_OVERHEAD_BYTES:
            raise BrokenAnswerError("too many bytes besides the body")


async def request(
    address: str,
    method: str,
    target: str,
    body: bytes = b"",
    *,
    headers: collections.abc.Sequence[tuple[bytes, bytes]] = (),
    timeout_s: float,
    max_body_bytes: int = MAX_ANSWER_BYTES,
) -> tuple[Answer, bytes]:
    """Make one request and read the whole answer.

    Raises ConnectError if nothing was sent, else BrokenAnswerError or
    TimeoutError.
    """
    client = None
    try:
        async with asyncio.timeout(timeout_s):
            client = await Client.open(address, timeout_s)
            sent = [(b"host", address.encode()), *headers]
            client.send(method.encode(), target.encode(), sent, body)
            answer = await client.answer()
            return answer, await client.read_all(max_body_bytes)
    except TimeoutError as error:
        if client is None:
            raise ConnectError(address, error) from error
        raise
    finally:
        if client is not None:
            client.close()
