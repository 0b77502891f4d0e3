"""Bounds the bytes of servers' answers that a gateway holds while it reads.

An answer that is no stream is read whole before its caller gets it, and so is
each event of a stream. Handles servers whose bodies do not end, at all requests
in flight at once: when the room is used up, the largest answer makes way, so
that answers of the usual size are not affected.
"""

import collections.abc

import prometheus_client

from flamingocleat.process import logs

_log = logs.logger("answers")

_HELD_BYTES = prometheus_client.Gauge(
    "flamingocleat_gateway_answer_bytes", "Bytes of answers that are being read"
)
_ENDED = prometheus_client.Counter(
    "flamingocleat_gateway_answers_ended",
    "Answers that were broken off for lack of room",
)


class HeldAnswer:
    """An answer that is being read; use it as a context manager."""

    def __init__(
        self, room: "AnswerRoom", end: collections.abc.Callable[[], None]
    ) -> None:
        self.room = room
        self.end = end
        """Breaks the answer off."""
        self.held_bytes = 0
        self.has_ended = False

    def grow(self, size: int) -> None:
        """Count more bytes, which may break off this answer or another."""
        if not self.has_ended:
            self.held_bytes += size
            self.room.add(size)

    def resize(self, size: int) -> None:
        """Set the bytes that are held, as `grow` does."""
        if size != self.held_bytes:
            self.grow(size - self.held_bytes)

    def __enter__(self) -> "HeldAnswer":
        self.room.answers.add(self)
        return self

    def __exit__(self, *_: object) -> None:
        self.room.remove(self)


class AnswerRoom:
    """The room that all answers of one process share."""

    def __init__(self, room_bytes: int) -> None:
        self.room_bytes = room_bytes
        self.held_bytes = 0
        self.answers: set[HeldAnswer] = set()

    def hold(self, end: collections.abc.Callable[[], None]) -> HeldAnswer:
        """Return an account for an answer, which `end` breaks off."""
        return HeldAnswer(self, end)

    def add(self, size: int) -> None:
        """Count more bytes; break off the largest answers without room."""
        self.held_bytes += size
        while self.held_bytes > self.room_bytes and self.answers:
            largest = max(self.answers, key=lambda each: each.held_bytes)
            largest.has_ended = True
            self.remove(largest)
            _ENDED.inc()
            logs.warning(
                _log,
                "answer_ended",
                size=largest.held_bytes,
                room=self.room_bytes,
            )
            largest.end()
        _HELD_BYTES.set(self.held_bytes)

    def remove(self, answer: HeldAnswer) -> None:
        """Return the room of an answer."""
        if answer in self.answers:
            self.answers.discard(answer)
            self.held_bytes -= answer.held_bytes
            _HELD_BYTES.set(self.held_bytes)
