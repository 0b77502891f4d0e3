"""Relays answers to callers; resumes a stream on another replica."""

import collections.abc
import contextlib
import socket
import time
import typing

import msgspec

from flamingocleat import errors
from flamingocleat import messages
from flamingocleat.process import logs
from flamingocleat.request import attempt
from flamingocleat.request import problem
from flamingocleat.request import pump as pump_module

READ_BYTES = 65_536

MAX_EVENT_BYTES = 1_048_576
"""Bound for one event that is held back until it is complete."""

_END = b"\n\n"
_DONE = b"data: [DONE]\n\n"

_log = logs.logger("relay")


class BrokenStreamError(errors.FlamingocleatError):
    """Ends a response that has begun, with no proper end."""


class Chunks:
    """Removes the framing of a chunked body."""

    def __init__(self) -> None:
        self.rest = b""

    def decode(self, data: bytes) -> bytes:
        """Return the payload of the complete chunks so far."""
        if self.rest:
            data = self.rest + data
        parts = []
        start, size = 0, len(data)
        while start < size:
            line = data.find(b"\r\n", start, start + 20)
            if line < 0:
                if size - start > 20:
                    raise broken("chunk has no valid size")
                break
            try:
                length = int(data[start:line].partition(b";")[0], 16)
            except ValueError as error:
                raise broken("chunk has no valid size") from error
            if not 0 <= length <= MAX_EVENT_BYTES:
                raise broken("chunk is too large")
            end = line + 2 + length
            if end + 2 > size:
                break
            parts.append(data[line + 2 : end])
            start = end + 2
        self.rest = data[start:]
        return parts[0] if len(parts) == 1 else b"".join(parts)


class Stream:
    """One stream of events from whichever replica can continue it."""

    def __init__(self, attempts: attempt.Attempts) -> None:
        self.attempts = attempts
        self.call = attempts.call
        self.settings = attempts.settings
        self.reply: attempt.Reply | None = None
        self.chunks: Chunks | None = None
        self.delivered = 0
        """Complete events handed on."""
        self.progress = 0
        """Value of delivered when the present connection was opened."""
        self.pending = b""
        """Start of an event that is not complete."""
        self.done = False

    def open(self) -> bytes | messages.Answer:
        """Return the first events, or an answer that is no stream."""
        return typing.cast(
            bytes | messages.Answer, self.attempts.open(self._begin)
        )

    def feed(self, data: bytes) -> bytes:
        """Return the events that bytes from the agent complete."""
        if not data:
            raise broken("connection ended before the stream")
        if self.chunks is not None:
            data = self.chunks.decode(data)
        if self.pending:
            data = self.pending + data
        if data.endswith(_END):
            self.pending = b""
        else:
            cut = data.rfind(_END) + len(_END)
            if cut < len(_END):
                if len(data) > MAX_EVENT_BYTES:
                    raise broken("an event is too large")
                self.pending = data
                return b""
            self.pending = data[cut:]
            data = data[:cut]
        end = data.find(_DONE)
        if end >= 0 and (not end or data[end - 1 : end] == b"\n"):
            data = data[: end + len(_DONE)]
            self.done = True
        self.delivered += data.count(_END)
        return data

    def resume(self, error: Exception) -> bytes:
        """Continue on another replica at the number of events delivered.

        Return its first events; raise Problem if there is none. Progress
        on the broken connection makes the first attempt free of the retry
        budget: a stream that has begun cannot be refused any more.
        """
        self.close()
        logs.warning(
            _log,
            "stream_broken",
            request=self.call.request_id,
            delivered=self.delivered,
            reason=error,
        )
        self.attempts.tried_last()
        free = self.delivered > self.progress
        give_up_s = time.monotonic() + self.settings.resume_wait_s
        pause_s = attempt.RESUME_PAUSE_S
        while True:
            try:
                return typing.cast(
                    bytes,
                    self.attempts.open(self._begin, self.delivered, free),
                )
            except problem.Problem:
                if time.monotonic() + pause_s > min(
                    give_up_s, self.call.deadline_s
                ):
                    raise
            # Every replica has failed once; another one may be repaired, or
            # a new connection may work where the old one went silent.
            time.sleep(pause_s)
            pause_s = min(attempt.RESUME_PAUSE_MAX_S, pause_s * 2)
            self.attempts.tried.clear()
            free = False

    def close(self) -> None:
        """Close the connection; the agent cancels what is unfinished."""
        if self.reply is not None:
            self.reply.close()
            self.reply = None

    def _begin(self, reply: attempt.Reply) -> bytes | messages.Answer:
        """Take over a reply; return its first events."""
        if not reply.content_type.startswith("text/event-stream"):
            if self.delivered:
                raise broken(f"resumption gave status {reply.status}")
            with contextlib.closing(reply):
                return reply.collect(self.settings.max_answer_bytes)
        self.pending = b""
        self.progress = self.delivered
        self.chunks = Chunks() if reply.is_chunked() else None
        first = b""
        data = reply.buffered()
        if data:
            first = self.feed(data)
        while not first:
            try:
                self.attempts.await_bytes(reply.sock)
                data = reply.sock.recv(READ_BYTES)
            except OSError as error:
                raise broken(f"no first event: {error}") from error
            first = self.feed(data)
        if not self.progress:
            self.attempts.record_first_token()
        self.reply = reply
        return first


class Caller(msgspec.Struct, frozen=True):
    """The caller's connection, on which a response is being sent."""

    socket: socket.socket
    is_chunked: collections.abc.Callable[[], bool]
    """Tells the framing of the body once the head has been sent."""


def events(
    stream: Stream, first: bytes, caller: Caller, pump: pump_module.Pump
) -> collections.abc.Iterator[bytes]:
    """Yield the first events; have the pump relay the others.

    Only the first events, with the response's head, pass through the
    HTTP server, whose write costs more than relaying a chunk may take.
    """
    try:
        yield first
        timeout_s = caller.socket.gettimeout()
        try:
            _copy(stream, caller, pump)
        finally:
            caller.socket.settimeout(timeout_s)
    except problem.Problem as error:
        document = error.body(stream.call.caller_id)
        event = b"event: error\ndata: " + document + _END
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


def _copy(stream: Stream, caller: Caller, pump: pump_module.Pump) -> None:
    """Relay until the stream is done, resuming it where it breaks."""
    chunked = caller.is_chunked()

    def feed(data: bytes) -> tuple[bytes, bool]:
        block = stream.feed(data)
        if block and chunked:
            block = _chunk(block)
        return block, stream.done

    while not stream.done:
        assert stream.reply is not None
        flow = pump_module.Flow(
            stream.reply.sock,
            caller.socket,
            feed,
            stream.settings.silence_timeout_s,
            stream.call.deadline_s,
        )
        pump.run(flow)
        if flow.gone:
            raise attempt.CallerGoneError("the caller closed its connection")
        caller.socket.settimeout(stream.settings.caller_timeout_s)
        if flow.unsent:
            caller.socket.sendall(flow.unsent)
        if flow.error is not None:
            block = stream.resume(flow.error)
            caller.socket.sendall(_chunk(block) if chunked else block)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def broken(reason: str) -> attempt.AttemptError:
    """Return the error of a connection that cannot be read further."""
    return attempt.AttemptError(problem.Outcome.UNKNOWN, reason)
