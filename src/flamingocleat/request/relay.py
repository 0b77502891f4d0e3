"""Relays streams to callers and resumes broken ones on another replica."""

import collections.abc
import contextlib
import re
import socket
import time
import typing

import msgspec
import prometheus_client

from flamingocleat import errors
from flamingocleat import messages
from flamingocleat.process import logs
from flamingocleat.request import attempt
from flamingocleat.request import problem
from flamingocleat.request import stream_relay as stream_relay_module

READ_BYTES = 65_536

MAX_EVENT_BYTES = 1_048_576
"""Bound on an event that is buffered until it is complete."""

MAX_EMPTY_BLOCKS = 8
"""Consecutive blocks without data, such as comments that keep a connection
open, after which the bytes are no answer."""
MAX_FIELD_NAME_BYTES = 64
"""Bytes of an event within which the colon after a field name must come."""

_EVENT_END = b"\n\n"
_DATA_FIELD = b"data:"
_FINAL_EVENT = b"data: [DONE]\n\n"
_LINES = re.compile(rb"(?:[A-Za-z0-9_-]*+(?::[^\n]*+)?+\n)*+")
"""Lines of events: fields, comments and the empty lines after events."""
_WITHOUT_DATA = re.compile(rb"(?:(?:|event|id|retry):[^\n]*+\n?|\n)*+")
"""Lines of a block that has no data field."""

_log = logs.logger("relay")

_broken = prometheus_client.Counter(
    "flamingocleat_entry_streams_broken",
    "Connections of streams that ended before their stream",
)


class BrokenStreamError(errors.FlamingocleatError):
    """Aborts a response that has started, so that it stays incomplete."""


class ChunkedDecoder:
    """Decodes the chunked transfer coding."""

    def __init__(self) -> None:
        self.buffer = b""

    def decode(self, data: bytes) -> bytes:
        """Return the payload of the chunks that are complete by now."""
        if self.buffer:
            data = self.buffer + data
        parts = []
        start, size = 0, len(data)
        while start < size:
            line = data.find(b"\r\n", start, start + 20)
            if line < 0:
                if size - start > 20:
                    raise connection_error("chunk has no valid size")
                break
            try:
                length = int(data[start:line].partition(b";")[0], 16)
            except ValueError as error:
                raise connection_error("chunk has no valid size") from error
            if not 0 <= length <= MAX_EVENT_BYTES:
                raise connection_error("chunk is too large")
            end = line + 2 + length
            if end + 2 > size:
                break
            parts.append(data[line + 2 : end])
            start = end + 2
        self.buffer = data[start:]
        return parts[0] if len(parts) == 1 else b"".join(parts)


class Stream:
    """One event stream, which any replica of the service can continue."""

    def __init__(self, attempts: attempt.Attempts) -> None:
        self.attempts = attempts
        self.call = attempts.call
        self.settings = attempts.settings
        self.reply: attempt.Reply | None = None
        self.chunks: ChunkedDecoder | None = None
        self.delivered = 0
        """Number of complete events delivered."""
        self.progress = 0
        """Value of `delivered` when the current connection was opened."""
        self.pending = b""
        """Start of an event that is not complete yet."""
        self.empty_blocks = 0
        self.done = False

    def open(self) -> bytes | messages.Answer:
        """Return the first events, or an answer that is not a stream."""
        return typing.cast(
            bytes | messages.Answer, self.attempts.open(self._accept)
        )

    def feed(self, data: bytes) -> bytes:
        """Return the events that are completed by bytes from the agent."""
        if not data:
            raise connection_error("connection ended before the stream")
        if self.chunks is not None:
            data = self.chunks.decode(data)
        if self.pending:
            data = self.pending + data
        if data.endswith(_EVENT_END):
            self.pending = b""
        else:
            cut = data.rfind(_EVENT_END) + len(_EVENT_END)
            if cut < len(_EVENT_END):
                _check_start(data)
                self.pending = data
                return b""
            self.pending = data[cut:]
            data = data[:cut]
        end = data.find(_FINAL_EVENT)
        if end >= 0 and (not end or data[end - 1 : end] == b"\n"):
            data = data[: end + len(_FINAL_EVENT)]
            self.done = True
        if not _LINES.fullmatch(data):
            raise connection_error("bytes are no event")
        blocks = data.count(_EVENT_END)
        if data.count(_DATA_FIELD) < blocks:
            self._count_empty_blocks(data)
        else:
            self.empty_blocks = 0
        self.delivered += blocks
        return data

    def _count_empty_blocks(self, data: bytes) -> None:
        for block in data.split(_EVENT_END)[:-1]:
            self.empty_blocks += 1
            if _DATA_FIELD in block:
                self.empty_blocks = 0
            elif not _WITHOUT_DATA.fullmatch(block):
                raise connection_error("an event has no data")
            if self.empty_blocks > MAX_EMPTY_BLOCKS:
                raise connection_error("too many blocks without data")

    def resume(self, error: Exception) -> bytes:
        """Continue on another replica after the last delivered event.

        If the broken connection delivered events, the first attempt is not
        counted against the retry budget, since a stream that has started can
        no longer be refused.

        Returns:
            The first events from the other replica.

        Raises:
            Problem: No replica could continue the stream.
        """
        self.close()
        _broken.inc()
        logs.warning(
            _log,
            "stream_broken",
            request=self.call.request_id,
            delivered=self.delivered,
            reason=error,
        )
        self.attempts.avoid_last()
        # Part of the call ran, whatever later attempts report.
        self.attempts.outcome = problem.Outcome.UNKNOWN
        free = self.delivered > self.progress
        give_up_s = time.monotonic() + self.settings.resume_wait_s
        pause_s = attempt.RESUME_PAUSE_S
        while True:
            try:
                return typing.cast(
                    bytes,
                    self.attempts.open(self._accept, self.delivered, free),
                )
            except problem.Problem:
                if time.monotonic() + pause_s > min(
                    give_up_s, self.call.deadline_s
                ):
                    raise
            # Every replica has failed once. Another one may be repaired by
            # now, or a new connection may work where the old one went silent.
            time.sleep(pause_s)
            pause_s = min(attempt.RESUME_PAUSE_MAX_S, pause_s * 2)
            self.attempts.tried.clear()
            free = False

    def close(self) -> None:
        """Close the connection; the agent cancels unfinished work."""
        if self.reply is not None:
            self.reply.close()
            self.reply = None

    def _accept(self, reply: attempt.Reply) -> bytes | messages.Answer:
        """Adopt a reply as the source of the stream; return its first events.

        An answer that is not a stream is returned as a whole.
        """
        if reply.status != 200 or not reply.content_type.startswith(
            "text/event-stream"
        ):
            if self.delivered:
                raise connection_error(f"resumption gave status {reply.status}")
            with contextlib.closing(reply):
                return reply.read_answer(self.settings.max_answer_bytes)
        self.pending = b""
        self.progress = self.delivered
        self.chunks = ChunkedDecoder() if reply.is_chunked() else None
        first = b""
        data = reply.read_buffered()
        if data:
            first = self.feed(data)
        while not first:
            try:
                self.attempts.wait_for_answer(reply.sock)
                data = reply.sock.recv(READ_BYTES)
            except OSError as error:
                raise connection_error(f"no first event: {error}") from error
            first = self.feed(data)
        if not self.progress:
            self.attempts.record_first_token()
        self.reply = reply
        return first


class Caller(msgspec.Struct, frozen=True):
    """The caller's connection, on which a response is being sent."""

    socket: socket.socket
    is_chunked: collections.abc.Callable[[], bool]
    """Returns whether the body is chunked; known once the headers are sent."""


def events(
    stream: Stream,
    first: bytes,
    caller: Caller,
    stream_relay: stream_relay_module.StreamRelay,
) -> collections.abc.Iterator[bytes]:
    """Yield the first events; let `stream_relay` relay the others.

    Only the headers and the first events pass through the HTTP server, since
    its write costs more than relaying a chunk may take.
    """
    try:
        yield first
        timeout_s = caller.socket.gettimeout()
        try:
            _copy(stream, caller, stream_relay)
        finally:
            caller.socket.settimeout(timeout_s)
    except problem.Problem as error:
        document = error.body(stream.call.caller_id)
        event = b"event: error\ndata: " + document + _EVENT_END
        with contextlib.suppress(OSError):
            caller.socket.sendall(
                _chunk(event) if caller.is_chunked() else event
            )
        raise BrokenStreamError(str(error)) from error
    except (OSError, attempt.CallerGoneError) as error:
        logs.info(
            _log,
            "caller_gone",
            request=stream.call.request_id,
            delivered=stream.delivered,
        )
        raise BrokenStreamError(f"caller is gone: {error}") from error
    finally:
        stream.close()
        logs.info(
            _log,
            "stream_ended",
            request=stream.call.request_id,
            delivered=stream.delivered,
            complete=stream.done,
        )


def _copy(
    stream: Stream,
    caller: Caller,
    stream_relay: stream_relay_module.StreamRelay,
) -> None:
    """Relay until the stream is done; resume it when it breaks."""
    chunked = caller.is_chunked()

    def feed(data: bytes) -> tuple[bytes, bool]:
        block = stream.feed(data)
        if block and chunked:
            block = _chunk(block)
        return block, stream.done

    while not stream.done:
        assert stream.reply is not None
        flow = stream_relay_module.Flow(
            stream.reply.sock,
            caller.socket,
            feed,
            stream.settings.silence_timeout_s,
            stream.call.deadline_s,
        )
        stream_relay.run(flow)
        if flow.caller_closed:
            raise attempt.CallerGoneError("the caller closed its connection")
        caller.socket.settimeout(stream.settings.caller_timeout_s)
        if flow.unsent:
            caller.socket.sendall(flow.unsent)
        if flow.error is not None:
            block = stream.resume(flow.error)
            caller.socket.sendall(_chunk(block) if chunked else block)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _check_start(data: bytes) -> None:
    """Raise AttemptError unless bytes may be the start of an event."""
    if len(data) > MAX_EVENT_BYTES:
        raise connection_error("an event is too large")
    if (
        len(data) >= MAX_FIELD_NAME_BYTES
        and b":" not in data[:MAX_FIELD_NAME_BYTES]
    ):
        raise connection_error("bytes are no event")


def connection_error(reason: str) -> attempt.AttemptError:
    """Return the error for a connection that cannot be read any further."""
    return attempt.AttemptError(problem.Outcome.UNKNOWN, reason)
