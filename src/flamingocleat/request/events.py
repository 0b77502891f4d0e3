"""Parses server-sent events from a stream of bytes."""

import re

import msgspec

MAX_EVENT_BYTES = 1_048_576
"""Bound on the bytes that are buffered for events."""
MAX_FIELD_NAME_BYTES = 64
"""Bytes of a line within which the colon after its field name must come."""
MAX_EMPTY_BLOCKS = 8
"""Consecutive blocks without a field after which the bytes are no answer."""

_BLOCK_END = re.compile(rb"\r?\n\r?\n")
_FIELD_NAME = re.compile(
    rb"[A-Za-z0-9_-]{0,%d}(?::|\r?\Z)" % (MAX_FIELD_NAME_BYTES - 1)
)
"""The start of a line up to its colon, or a line that has none yet."""
_MAX_END_BYTES = 4


class Event(msgspec.Struct, frozen=True):
    """One complete event, including the blank line that ends it."""

    data: bytes
    number: int | None = None
    """The event's id if it is numeric, otherwise None."""
    has_fields: bool = True
    """False for comments, which may keep a connection open."""


class EventParser:
    """Splits bytes into complete events and buffers an incomplete one.

    Ids of events, where they are numeric, must increase, and each event must
    have one if an earlier event has.
    """

    def __init__(self, *, needs_ids: bool = False) -> None:
        self.needs_ids = needs_ids
        """Whether each event must have a numeric id."""
        self.buffer = b""
        self.last_number = -1
        self.empty_blocks = 0

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are completed by the bytes.

        Raises:
            ValueError: The bytes are no events.
        """
        searched = max(0, len(self.buffer) - _MAX_END_BYTES)
        self.buffer += data
        found: list[Event] = []
        start = 0
        while end := _BLOCK_END.search(self.buffer, max(start, searched)):
            block = self.buffer[start : end.end()]
            start = end.end()
            found.append(self._parse(block))
        self.buffer = self.buffer[start:]
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise ValueError("an event is too large")
        _check_line(self.buffer.rpartition(b"\n")[2])
        return found

    def _parse(self, block: bytes) -> Event:
        lines = block.splitlines()
        for line in lines:
            _check_line(line)
        if not any(line and not line.startswith(b":") for line in lines):
            self.empty_blocks += 1
            if self.empty_blocks > MAX_EMPTY_BLOCKS:
                raise ValueError("too many blocks without a field")
            return Event(block, has_fields=False)
        self.empty_blocks = 0
        number = _number(lines)
        if number is None:
            if self.needs_ids or self.last_number >= 0:
                raise ValueError("an event has no id")
        elif number <= self.last_number:
            raise ValueError(f"event {number} follows {self.last_number}")
        else:
            self.last_number = number
        return Event(block, number)


def _check_line(line: bytes) -> None:
    """Raise ValueError unless a line, or its start, may be a field."""
    if not _FIELD_NAME.match(line):
        raise ValueError("a line is no field of an event")


def _number(lines: list[bytes]) -> int | None:
    for line in lines:
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None
