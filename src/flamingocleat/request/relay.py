"""Relays answers to callers; resumes a stream on another replica."""

import collections.abc
import contextlib
import socket
import time

import msgspec

from flamingocleat import errors
from flamingocleat import messages
from flamingocleat.process import logs
from flamingocleat.request import attempt
from flamingocleat.request import problem

READ_BYTES = 65_536

MAX_EVENT_BYTES = 1_048_576
"""Bound for one event that is held back until it is complete."""

_END = b"\n\n"
_DONE = b"data: [DONE]\n\n"

_log = logs.logger("relay")


class BrokenStreamError(errors.FlamingocleatError):
    """Ends a response that has begun, with no proper end."""


class Stream:
    """One stream of events from whichever replica can continue it."""

    def __init__(self, attempts: attempt.Attempts) -> None:
        self.attempts = attempts
        self.call = attempts.call
        self.settings = attempts.settings
        self.reply: attempt.Reply | None = None
        self.read: collections.abc.Callable[[int], bytes] = _nothing
        self.delivered = 0
        """Complete events handed on."""
        self.progress = 0
        """Value of delivered when the present connection was opened."""
        self.pending = b""
        """Start of an event that is not complete."""
        self.done = False

    def open(self) -> bytes | messages.Answer:
        """Return the first events, or an answer that is no stream."""
        return self.attempts.open(self._begin)

    def block(self) -> bytes:
        """Return the next complete events, or b"" after the last one.

        Raise Problem if no replica can continue the stream.
        """
        while not self.done:
            try:
                return self._next()
            except attempt.AttemptError as error:
                first = self._resume(error)
                if first:
                    return first
        return b""

    def close(self) -> None:
        """Close the connection; the agent cancels what is unfinished."""
        if self.reply is not None:
            self.reply.close()
            self.reply = None

    def _next(self) -> bytes:
        """Return the next complete events of the present connection."""
        while True:
            try:
                data = self.read(READ_BYTES)
            except attempt.FAILURES as error:
                raise _broken(f"read failed: {error}") from error
            if not data:
                raise _broken("connection ended or went silent")
            if self.pending:
                data = self.pending + data
            if data.endswith(_END):
                self.pending = b""
            else:
                cut = data.rfind(_END) + len(_END)
                if cut < len(_END):
                    self._hold(data)
                    continue
                self.pending = data[cut:]
                data = data[:cut]
            end = data.find(_DONE)
            if end >= 0 and (not end or data[end - 1 : end] == b"\n"):
                data = data[: end + len(_DONE)]
                self.done = True
            self.delivered += data.count(_END)
            return data

    def _hold(self, data: bytes) -> None:
        if len(data) > MAX_EVENT_BYTES:
            raise _broken("an event is too large")
        if not self.call.remaining_s():
            raise _broken("the deadline has passed")
        self.pending = data

    def _begin(self, reply: attempt.Reply) -> bytes | messages.Answer:
        """Take over a reply; return its first events."""
        if not reply.content_type.startswith("text/event-stream"):
            if self.delivered:
                raise _broken(f"resumption gave status {reply.status}")
            with contextlib.closing(reply):
                return reply.collect(self.settings.max_answer_bytes)
        self.pending = b""
        self.progress = self.delivered
        self.read = reply.reader()
        reply.set_silence_bound(
            min(self.settings.first_byte_timeout_s, self.call.remaining_s())
        )
        first = self._next()
        if not self.progress:
            self.attempts.record_first_token()
        reply.set_silence_bound(
            min(self.settings.silence_timeout_s, self.call.remaining_s())
        )
        self.reply = reply
        return first

    def _resume(self, error: attempt.AttemptError) -> bytes:
        """Continue on another replica at the number of events delivered.

        Progress on the broken connection makes the first attempt free of
        the retry budget: a stream that has begun cannot be refused.
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
                return self.attempts.open(self._begin, self.delivered, free)
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


class Caller(msgspec.Struct, frozen=True):
    """The caller's connection, on which a response is being sent."""

    socket: socket.socket
    is_chunked: collections.abc.Callable[[], bool]
    """Tells the framing of the body once the head has been sent."""


def events(
    stream: Stream, first: bytes, caller: Caller
) -> collections.abc.Iterator[bytes]:
    """Yield the first events; write the others straight to the caller.

    Only the first events, with the response's head, pass through the
    HTTP server, whose write costs more than relaying a chunk may take.
    """
    try:
        yield first
        timeout_s = caller.socket.gettimeout()
        try:
            _copy(stream, caller)
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


def _copy(stream: Stream, caller: Caller) -> None:
    bound = attempt.timeval(stream.settings.caller_timeout_s)
    caller.socket.settimeout(None)
    caller.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, bound)
    chunked = caller.is_chunked()
    deadline_s = stream.call.deadline_s
    now = time.monotonic
    send = caller.socket.sendall
    while block := stream.block():
        send(_chunk(block) if chunked else block)
        if now() > deadline_s and not stream.done:
            raise problem.too_late(problem.Outcome.UNKNOWN)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _broken(reason: str) -> attempt.AttemptError:
    return attempt.AttemptError(problem.Outcome.UNKNOWN, reason)


def _nothing(size: int) -> bytes:
    return b""
