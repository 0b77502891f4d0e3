"""Crowds of callers that try to fill the memory of one process."""

import asyncio
import collections.abc
import contextlib
import pathlib
import typing

PIPELINED_BYTES = 2_000_000
PIECE_BYTES = 65_536
SAMPLE_S = 0.02


class Target(typing.NamedTuple):
    """The address under test and what a crowd sends to it."""

    ip: str
    port: int
    path: str
    body_bytes: int
    fields: tuple[str, ...] = ()
    """Header lines of each request."""

    def head(self, *fields: str, method: str = "POST") -> bytes:
        lines = [
            f"{method} {self.path} HTTP/1.1",
            "Host: h",
            *self.fields,
            *fields,
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


Caller = collections.abc.Callable[
    [Target, asyncio.StreamReader, asyncio.StreamWriter],
    collections.abc.Awaitable[None],
]
CALLERS: dict[str, Caller] = {}


def hostile(caller: Caller) -> Caller:
    """Register what one caller of a crowd does on its connection."""
    CALLERS[caller.__name__] = caller
    return caller


async def _send_body(target, writer, size, piece_bytes, pause_s) -> None:
    sent = 0
    while sent < size:
        piece = b"x" * min(piece_bytes, size - sent)
        writer.write(piece)
        await writer.drain()
        sent += len(piece)
        await asyncio.sleep(pause_s)


@hostile
async def send_whole_bodies(target, reader, writer) -> None:
    writer.write(target.head(f"Content-Length: {target.body_bytes}"))
    await _send_body(target, writer, target.body_bytes, target.body_bytes, 0)


@hostile
async def stop_a_byte_short(target, reader, writer) -> None:
    writer.write(target.head(f"Content-Length: {target.body_bytes}"))
    size = target.body_bytes - 1
    await _send_body(target, writer, size, size, 0)


@hostile
async def send_pieces(target, reader, writer) -> None:
    writer.write(target.head(f"Content-Length: {target.body_bytes}"))
    size = target.body_bytes - 1
    await _send_body(target, writer, size, PIECE_BYTES, 0.01)


@hostile
async def send_chunks(target, reader, writer) -> None:
    writer.write(target.head("Transfer-Encoding: chunked"))
    chunk = b"%x\r\n" % PIECE_BYTES + b"x" * PIECE_BYTES + b"\r\n"
    for _ in range(target.body_bytes // PIECE_BYTES):
        writer.write(chunk)
        await writer.drain()


@hostile
async def pipeline_requests(target, reader, writer) -> None:
    """Send many requests without the usual headers, and read nothing."""
    request = target.head(method="GET")
    writer.transport.pause_reading()
    writer.write(request * (PIPELINED_BYTES // len(request)))
    await writer.drain()


@hostile
async def send_nothing(target, reader, writer) -> None:
    return


@hostile
async def send_half_a_head(target, reader, writer) -> None:
    writer.write(target.head()[:-2] + b"X-Filler: " + b"x" * 8_000)
    await writer.drain()


class Usage:
    """Largest memory and number of descriptors that a process had."""

    def __init__(self, pid: int) -> None:
        self.folder = pathlib.Path(f"/proc/{pid}")
        self.descriptors = 0

    async def watch(self) -> None:
        """Sample the descriptors until cancelled."""
        while True:
            with contextlib.suppress(OSError):
                count = len(list((self.folder / "fd").iterdir()))
                self.descriptors = max(self.descriptors, count)
            await asyncio.sleep(SAMPLE_S)

    def memory_mb(self) -> float:
        """Return the peak of the resident memory."""
        for line in (self.folder / "status").read_text().splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0


async def play(
    target: Target, caller: Caller, count: int, duration_s: float
) -> None:
    """Connect a crowd, let each caller act, and close all afterwards."""
    writers: list[asyncio.StreamWriter] = []

    async def run() -> None:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(
                target.ip, target.port
            )
            writers.append(writer)
            await caller(target, reader, writer)

    tasks = [asyncio.create_task(run()) for _ in range(count)]
    await asyncio.sleep(duration_s)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for writer in writers:
        writer.transport.abort()
