"""Parses server-sent events from a stream of bytes."""

import msgspec

MAX_EVENT_BYTES = 1_048_576
"""Bound on the bytes that are buffered for events."""


class Event(msgspec.Struct, frozen=True):
    """One complete event, including the blank line that ends it."""

    data: bytes
    number: int | None
    """The event's id if it is numeric, otherwise None."""


class EventParser:
    """Splits bytes into complete events and buffers an incomplete one."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are completed by the bytes."""
        self.buffer += data
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise ValueError("an event is too large")
        found: list[Event] = []
        while (end := _end(self.buffer)) > 0:
            raw, self.buffer = self.buffer[:end], self.buffer[end:]
            found.append(Event(raw, _number(raw)))
        return found


def _end(data: bytes) -> int:
    """Return the length of the first complete event, or 0."""
    ends = [
        position + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (position := data.find(mark)) >= 0
    ]
    return min(ends, default=0)


def _number(raw: bytes) -> int | None:
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None
