"""Log output is bounded and never blocks."""

import os
import subprocess
import sys
import time

from flamingocleat.process import logs


def _read(descriptor: int) -> bytes:
    os.set_blocking(descriptor, False)
    try:
        return os.read(descriptor, 10_000_000)
    except BlockingIOError:
        return b""


def test_slow_reader_does_not_block():
    """A slow reader must not block the program or fill its memory.

    Lines that do not fit are dropped and counted.
    """
    reader, writer = os.pipe()
    now = [0.0]
    stream = logs.BoundedStream(writer, lambda: now[0])
    line = "x" * 10_000 + "\n"
    for _ in range(1000):
        now[0] += 1.0
        stream.write(line)
    assert stream.dropped > 0
    assert len(stream.buffer) <= logs.MAX_BUFFERED_BYTES + 2 * len(line)
    data = b""
    for _ in range(100):
        data += _read(reader)
        now[0] += 1.0
        stream.write("last\n")
    assert b"event=log_lines_dropped count=" in data
    os.close(reader)
    os.close(writer)


def test_rate_is_bounded():
    """Lines beyond the burst limit must be dropped and counted.

    A flood of lines would otherwise fill the log.
    """
    reader, writer = os.pipe()
    now = [0.0]
    stream = logs.BoundedStream(writer, lambda: now[0])
    data = b""
    for number in range(5000):
        stream.write(f"n={number}\n")
        data += _read(reader)
    assert data.count(b"\n") == logs.MAX_BURST_LINES
    now[0] += 10.0
    stream.write("n=last\n")
    assert _read(reader) == (b"event=log_lines_dropped count=3000\nn=last\n")
    os.close(reader)
    os.close(writer)


def test_closed_pipe_does_not_end_the_program():
    """A closed pipe must not end the program."""
    reader, writer = os.pipe()
    os.close(reader)
    stream = logs.BoundedStream(writer)
    stream.write("x\n")
    assert stream.buffer == b""
    os.close(writer)


LOGS_AND_EXITS = """
from flamingocleat.process import logs

logs.set_up("program", to_stdout=True)
for number in range(1000):
    logs.info(logs.logger("part"), "line", number=number, text="x" * 200)
"""


def test_last_lines_reach_a_reader_that_is_late():
    """Guards against an exit that discards lines a pipe did not take yet."""
    program = subprocess.Popen(
        [sys.executable, "-c", LOGS_AND_EXITS],
        stdout=subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    assert program.stdout is not None
    program.stdout.readline()
    time.sleep(0.1)
    last = program.stdout.read().splitlines()[-1]
    assert b"number=999" in last
    assert program.wait() == 0
    program.stdout.close()


def test_exit_does_not_wait_for_a_reader_that_stopped():
    """Guards against a stop that outlasts its grace period."""
    reader, writer = os.pipe()
    stream = logs.BoundedStream(writer)
    stream.buffer = b"x" * 1_000_000
    began_s = time.monotonic()
    stream.finish(0.1)
    assert stream.buffer
    assert time.monotonic() - began_s < 1.0
    os.close(reader)
    os.close(writer)
