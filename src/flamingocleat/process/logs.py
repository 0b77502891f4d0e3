"""Structured logs: one line of key=value pairs for each event."""

import atexit
import collections.abc
import json
import os
import select
import sys
import time
import traceback
import typing

import logbook

MAX_LINES_PER_S = 400.0
"""Long-term rate of lines that one process writes.

In present deployments, a gateway completes about 100 requests a second at
peak load.
"""
MAX_BURST_LINES = 2000.0
MAX_BUFFERED_BYTES = 1_048_576
"""Bytes buffered for a slow reader; further lines are dropped."""
EXIT_FLUSH_S = 0.3
"""Time that a process waits at its exit for a slow reader. It is part of the
margin that a planned stop leaves of its grace period."""

_FORMAT = (
    "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z "
    "level={record.level_name} part={record.channel} {record.message}"
)


class BoundedStream:
    """Writes whole lines to a file descriptor without blocking.

    Lines above the rate limit are dropped, as are lines that arrive while the
    buffer for a slow reader is full. Their number is logged before the next
    line that is written.
    """

    def __init__(
        self,
        descriptor: int,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.clock = clock
        self.buffer = b""
        self.tokens = MAX_BURST_LINES
        self.last_refill_s = clock()
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write one line, including its line break, or drop it."""
        now_s = self.clock()
        refill = (now_s - self.last_refill_s) * MAX_LINES_PER_S
        self.tokens = min(MAX_BURST_LINES, self.tokens + refill)
        self.last_refill_s = now_s
        if self.tokens < 1 or len(self.buffer) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            self.flush()
            return
        self.tokens -= 1
        if self.dropped:
            self.buffer += (
                f"event=log_lines_dropped count={self.dropped}\n".encode()
            )
            self.dropped = 0
        self.buffer += text.encode("utf-8", "replace")
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts."""
        try:
            while self.buffer:
                self.buffer = self.buffer[
                    os.write(self.descriptor, self.buffer) :
                ]
        except BlockingIOError:
            return
        except OSError:
            # The reader has gone, so there is nowhere to report the error.
            self.buffer = b""

    def finish(self, timeout_s: float = EXIT_FLUSH_S) -> None:
        """Write the rest of the buffer; blocks up to the timeout."""
        end_s = self.clock() + timeout_s
        self.flush()
        while self.buffer and (wait_s := end_s - self.clock()) > 0:
            select.select([], [self.descriptor], [], wait_s)
            self.flush()


def logger(component: str) -> logbook.Logger:
    """Return the logger of one component of a program."""
    return logbook.Logger(component)


def set_up(
    program: str, level: str = "INFO", *, to_stdout: bool = False
) -> None:
    """Send the logs of this process to standard error or output."""
    target: typing.Any = sys.stderr
    if to_stdout:
        target = BoundedStream(sys.stdout.fileno())
        atexit.register(target.finish)
    handler = logbook.StreamHandler(target, level=level)
    handler.format_string = f"program={program} {_FORMAT}"
    handler.push_application()


def info(log: logbook.Logger, event: str, **fields: object) -> None:
    """Log an event of normal operation."""
    log.info("{}", _LazyLine(event, fields))


def warning(log: logbook.Logger, event: str, **fields: object) -> None:
    """Log an event that an operator may want to investigate."""
    log.warning("{}", _LazyLine(event, fields))


def error(log: logbook.Logger, event: str, **fields: object) -> None:
    """Log an event that an operator must investigate."""
    log.error("{}", _LazyLine(event, fields))


def describe(error: BaseException) -> str:
    """Return an error with the place that raised it, for one line."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return repr(error)
    module = frames[-1].filename.rpartition("/")[2]
    return f"{error!r} at {module}:{frames[-1].lineno}"


class _LazyLine:
    """Event that is formatted only if a handler writes it."""

    def __init__(
        self, event: str, fields: collections.abc.Mapping[str, object]
    ) -> None:
        self.event = event
        self.fields = fields

    def __str__(self) -> str:
        pairs = [f"event={self.event}"]
        pairs.extend(
            f"{key}={_quote(value)}" for key, value in self.fields.items()
        )
        return " ".join(pairs)


def _quote(value: object) -> str:
    text = str(value)
    if text and all(c.isprintable() and c not in ' "=' for c in text):
        return text
    return json.dumps(text)
