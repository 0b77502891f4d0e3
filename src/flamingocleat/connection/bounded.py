"""Bounds on what is read from a server through blocking sockets.

The timeout of a socket applies to each read, so a server that sends a few
bytes again and again would be read without end. Here a deadline and a number
of bytes apply to all reads of an answer together.
"""

import collections.abc
import contextlib
import http.client
import io
import re
import socket
import time
import typing
import urllib.parse

import urllib3
import urllib3.connection
import urllib3.exceptions
import urllib3.response

MAX_HEAD_BYTES = 65_536
"""Bytes of an answer up to the end of its head, interim answers included."""
MAX_INTERIM_ANSWERS = 16
"""Interim answers (1xx) after which a server counts as faulty."""
_STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?: [^\r\n]*)?\r?\n")
"""First line of an answer; no other class of status is defined."""
_FRAMING_FACTOR = 8
"""Bytes received for each byte of a body in chunks of one byte, rounded up."""


class EndlessAnswerError(OSError):
    """An answer has more bytes than it may have."""


class BoundedSocket(socket.socket):
    """Socket whose reads end at a deadline and after a number of bytes."""

    deadline_s = float("inf")
    """On the monotonic clock."""
    allowed_bytes = float("inf")

    @classmethod
    def replace(cls, sock: socket.socket) -> "BoundedSocket":
        """Return a socket that takes over the connection of another one."""
        timeout_s = sock.gettimeout()
        bounded = cls(fileno=sock.detach())
        bounded.settimeout(timeout_s)
        return bounded

    def bound(self, deadline_s: float, max_bytes: float) -> None:
        """Set the deadline and the number of bytes of the reads to come."""
        self.deadline_s = deadline_s
        self.allowed_bytes = max_bytes

    def bound_body(self, deadline_s: float, max_bytes: int) -> None:
        """Set the bounds for a body of at most this size, in any framing."""
        self.bound(deadline_s, MAX_HEAD_BYTES + _FRAMING_FACTOR * max_bytes)

    def unbound(self) -> None:
        """Remove the bounds, for a stream that is checked as it is read."""
        self.bound(float("inf"), float("inf"))

    def recv_into(self, *arguments: typing.Any) -> int:
        """Receive bytes as `socket.recv_into` does.

        Raises:
            TimeoutError: The deadline has passed.
            EndlessAnswerError: More bytes than allowed have arrived.
        """
        if self.deadline_s != float("inf"):
            self._limit_timeout()
        count = super().recv_into(*arguments)
        self.allowed_bytes -= count
        if self.allowed_bytes < 0:
            raise EndlessAnswerError("the answer does not end")
        return count

    def _limit_timeout(self) -> None:
        remaining_s = self.deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("the answer does not end in time")
        timeout_s = self.gettimeout()
        if timeout_s is None or timeout_s > remaining_s:
            self.settimeout(remaining_s)


class CutHeadError(http.client.HTTPException):
    """A server closed the connection within the head of its answer."""


class _HeadReader:
    """Reads the lines of a head; rejects what is no head in the protocol.

    The standard library takes the end of the connection for the end of the
    head, and any integer from 100 to 999 for a status.
    """

    def __init__(self, file: io.BufferedReader) -> None:
        self.file = file
        self.has_begun = False
        self.expects_status = True

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line; raise CutHeadError or BadStatusLine."""
        line = self.file.readline(limit)
        is_whole = line.endswith(b"\n") or len(line) == limit
        if not is_whole and (line or self.has_begun):
            raise CutHeadError("the answer's head is cut")
        if line and self.expects_status and not _STATUS_LINE.fullmatch(line):
            raise http.client.BadStatusLine(repr(line))
        self.has_begun = True
        # An interim answer ends with an empty line, and another head follows.
        self.expects_status = line in (b"\r\n", b"\n")
        return line

    def close(self) -> None:
        """Close the connection's file."""
        self.file.close()


class _Response(http.client.HTTPResponse):
    """Answer whose head has to be complete, and final."""

    def begin(self) -> None:
        """Read the head, after interim ones; raise HTTPException."""
        file = self.fp
        self.fp = typing.cast(io.BufferedReader, _HeadReader(file))
        try:
            super().begin()
            for _ in range(MAX_INTERIM_ANSWERS):
                if not _is_interim(self.status):
                    return
                # The standard library skips no other interim answer than 100.
                self.headers = self.msg = None  # type: ignore[assignment]
                super().begin()
            raise http.client.HTTPException("too many interim answers")
        finally:
            if self.fp is not None:
                self.fp = file


def _is_interim(status: int) -> bool:
    """Return whether another answer follows; raise BadStatusLine for 101.

    No request asks for another protocol.
    """
    if status == http.client.SWITCHING_PROTOCOLS:
        raise http.client.BadStatusLine(str(status))
    return status < http.client.OK


class Connection(urllib3.connection.HTTPConnection):
    """Connection that takes nothing for an answer that is none."""

    response_class = _Response


class _StrictPool(urllib3.HTTPConnectionPool):
    ConnectionCls = Connection


def pool_manager() -> urllib3.PoolManager:
    """Return a manager of such connections that does not retry."""
    manager = urllib3.PoolManager(retries=False)
    manager.pool_classes_by_scheme = {"http": _StrictPool}
    return manager


class StaleConnectionError(ConnectionError):
    """A kept connection ended without a byte of the answer to a request.

    A server may close an idle connection as the request is on its way.
    """


class _BoundedConnection(Connection):
    """Connection whose answers are bounded in time and size."""

    is_reused = False
    """Whether the connection was open before its last request."""

    def __init__(
        self,
        *arguments: typing.Any,
        answer_timeout_s: float,
        max_answer_bytes: int,
        **options: typing.Any,
    ) -> None:
        super().__init__(*arguments, **options)
        self.answer_timeout_s = answer_timeout_s
        self.max_answer_bytes = max_answer_bytes

    def connect(self) -> None:
        """Connect, and bound the answer to the first request."""
        super().connect()
        self.sock = BoundedSocket.replace(self.sock)
        self._bound_answer()

    def request(self, *arguments: typing.Any, **options: typing.Any) -> None:
        """Send a request, and bound its answer; raise StaleConnectionError."""
        self.is_reused = self.sock is not None
        if self.is_reused:
            self._bound_answer()
        with self._stale_detection():
            super().request(*arguments, **options)

    # urllib3's own override differs from the standard library as well.
    def getresponse(  # type: ignore[override]
        self,
    ) -> urllib3.response.HTTPResponse:
        """Read the head of the answer; raise StaleConnectionError."""
        with self._stale_detection():
            return super().getresponse()

    @contextlib.contextmanager
    def _stale_detection(self) -> collections.abc.Generator[None]:
        # The standard library drops the socket on errors.
        sock = typing.cast(BoundedSocket, self.sock)
        allowed_bytes = sock.allowed_bytes if self.is_reused else 0
        try:
            yield
        except ConnectionError as error:
            if self.is_reused and sock.allowed_bytes == allowed_bytes:
                raise StaleConnectionError(repr(error)) from error
            raise

    def _bound_answer(self) -> None:
        typing.cast(BoundedSocket, self.sock).bound_body(
            time.monotonic() + self.answer_timeout_s, self.max_answer_bytes
        )


class Pool(urllib3.HTTPConnectionPool):
    """Connections to one server, for requests with short answers.

    Args:
        url: Address of the server.
        timeout_s: Time to connect, and time for a request and its answer.
        max_answer_bytes: Size limit of an answer's body.
    """

    ConnectionCls = _BoundedConnection

    def __init__(
        self, url: str, timeout_s: float, max_answer_bytes: int
    ) -> None:
        self.url = url
        self.timeout_s = timeout_s
        parts = urllib.parse.urlsplit(url)
        super().__init__(
            parts.hostname or "",
            parts.port,
            maxsize=1,
            retries=False,
            timeout=timeout_s,
            answer_timeout_s=timeout_s,
            max_answer_bytes=max_answer_bytes,
        )
        self.max_answer_bytes = max_answer_bytes

    def ask(
        self, method: str, path: str, fields: typing.Any = None
    ) -> tuple[int, bytes]:
        """Make one request; return the status and body of its answer.

        The request must be safe to repeat: it is repeated on a new connection
        if the server has closed a kept one.

        Args:
            method: Method of the request.
            path: Path of the request.
            fields: Content of a JSON body, or None.

        Raises:
            urllib3.exceptions.HTTPError: There is no answer within the bounds.
            EndlessAnswerError: The body is larger than allowed.
        """
        deadline_s = time.monotonic() + self.timeout_s
        try:
            return self._ask(method, path, fields)
        except urllib3.exceptions.ProtocolError as error:
            if not any(
                isinstance(cause, StaleConnectionError) for cause in error.args
            ):
                raise
        # Another thread may return a stale connection to this pool meanwhile.
        remaining_s = max(0.001, deadline_s - time.monotonic())
        with Pool(self.url, remaining_s, self.max_answer_bytes) as pool:
            return pool._ask(method, path, fields)

    def _ask(
        self, method: str, path: str, fields: typing.Any
    ) -> tuple[int, bytes]:
        response = self.request(
            method,
            path,
            preload_content=False,
            **({} if fields is None else {"json": fields}),
        )
        try:
            body = response.read(
                self.max_answer_bytes + 1, decode_content=False
            )
            if len(body) > self.max_answer_bytes:
                raise EndlessAnswerError("the answer does not end")
            # urllib3 reports a short body only if another read finds none.
            response.read(1, decode_content=False)
        except BaseException:
            response.close()
            raise
        response.release_conn()
        return response.status, body
