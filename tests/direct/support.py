"""A gateway's forwarder with scripted backend servers and a raw caller."""

import asyncio
import collections.abc
import contextlib

import msgspec

from flamingocleat import messages
from flamingocleat.connection import http
from flamingocleat.request import admission
from flamingocleat.request import budget
from flamingocleat.request import forward
from flamingocleat.version import candidates
from flamingocleat.version import catalog
from tests.direct import vms

DIALECT = forward.HeaderNames()
SEAL = (b"flamingocleat-proof", b"seal")
PATIENCE_S = 10.0

MODEL = catalog.Model("large", 2, 1.0, 1.0, 16.0, 1.6)
ENGINE = msgspec.structs.replace(
    vms.ENGINE, slots=4, step_ms=6.0, sequence_ms=0.5, models=(MODEL,)
)


def route(name: str, kind: catalog.CallKind, **changes) -> catalog.Route:
    """Return a route whose prefix is its name."""
    service = "llm" if kind is catalog.CallKind.STREAM else "desk"
    fields = {
        "host": "front.example",
        "prefix": f"/{name}/",
        "timeout_s": 3.0,
        "objective_s": 0.3,
        "gap_s": 0.2,
        "targets": (catalog.Target(service, 1.0),),
        "max_attempts": 2,
    }
    fields.update(changes)
    return catalog.Route(name=name, kind=kind, **fields)


CATALOG = catalog.Catalog(
    version=7,
    routes=(
        route("read", catalog.CallKind.IDEMPOTENT),
        route("once", catalog.CallKind.ONCE, max_attempts=1),
        route("stream", catalog.CallKind.STREAM, resumable=True),
        route("fixed", catalog.CallKind.STREAM),
        route("open", catalog.CallKind.IDEMPOTENT, anonymous=True),
        route(
            "short", catalog.CallKind.IDEMPOTENT, timeout_s=0.3, max_attempts=1
        ),
    ),
    services=(
        catalog.Service("llm", 100, ENGINE),
        catalog.Service("desk", 100),
    ),
    customers=(
        catalog.Customer("acme", ("key-1", "key-2")),
        catalog.Customer("other", ("key-3",), 0),
    ),
)

Script = collections.abc.Callable[["Received"], collections.abc.Awaitable[None]]


class Received:
    """A request as a backend server received it, and means to answer."""

    def __init__(
        self,
        head: bytes,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        lines = head.decode().split("\r\n")
        self.line = lines[0]
        self.headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:])
        }
        self.body = body
        self.reader = reader
        self.writer = writer
        self.closed = False

    def head(self, status: int, *headers: str, proof: bool = True) -> bytes:
        """Return the head of an answer that echoes the request's id."""
        lines = [
            f"HTTP/1.1 {status} Status",
            f"X-Request-Id: {self.headers.get('x-request-id', '')}",
            *headers,
        ]
        if proof:
            lines.append("Flamingocleat-Proof: seal")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    async def answer(
        self, body: bytes, status: int = 200, *headers: str
    ) -> None:
        length = f"Content-Length: {len(body)}"
        await self.send(self.head(status, length, *headers) + body)

    async def events(
        self, first: int, last: int, pause_s: float = 0.0, end: bool = True
    ) -> None:
        """Send events with these ids in chunks."""
        await self.send(
            self.head(
                200,
                "Transfer-Encoding: chunked",
                "Content-Type: text/event-stream",
            )
        )
        for number in range(first, last + 1):
            await self.send(chunk(event(number)))
            await asyncio.sleep(pause_s)
        if end:
            await self.send(b"0\r\n\r\n")

    async def until_closed(self) -> None:
        """Wait until the other end has closed the connection."""
        with contextlib.suppress(OSError):
            while await self.reader.read(1024):
                pass
        self.closed = True


def event(number: int) -> bytes:
    """Return one event."""
    return f"id: {number}\ndata: token {number}\n\n".encode()


def chunk(data: bytes) -> bytes:
    """Return bytes as one chunk."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class Backend:
    """A backend server that answers by a script."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.received: list[Received] = []

    async def start(self) -> str:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self.address

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            received = Received(head[:-4], b"", reader, writer)
            length = int(received.headers.get("content-length", 0))
            received.body = await reader.readexactly(length)
            self.received.append(received)
            await self.script(received)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


class World:
    """A forwarder behind a real socket."""

    def __init__(self) -> None:
        self.candidates = candidates.Candidates()
        self.admission = admission.Admission("a", self.candidates)
        self.budget = budget.Budget(budget.BudgetSettings())
        self.forwarder = forward.Forwarder(
            DIALECT, self.admission, self.budget, seed=1
        )
        self.forwarder.directory = catalog.CatalogIndex(CATALOG)
        self.server = http.Server(self.forwarder.handle, self.forwarder.limits)
        self.views: list[messages.ServedBackend] = []
        self.backends: list[Backend] = []

    async def start(self) -> None:
        await self.server.start("127.0.0.1:0")
        self.port = self.server.listener.sockets[0].getsockname()[1]

    async def add(
        self,
        script: Script,
        service: str = "desk",
        slots: int = 4,
        address: str = "",
    ) -> Backend:
        """Add a backend server; it is preferred to those added later."""
        backend = Backend(script)
        await backend.start()
        self.backends.append(backend)
        number = len(self.views)
        self.views.append(
            messages.ServedBackend(
                backend=f"b-{number}",
                address=address or backend.address,
                service=service,
                data_centre="a",
                slots=slots,
                model="large" if service == "llm" else "",
                group=f"g-{number}" if service == "llm" else "",
            )
        )
        self.candidates.update(self.views)
        return backend

    def candidate(self, number: int) -> candidates.Candidate:
        return self.candidates.by_backend[f"b-{number}"]

    async def request(
        self,
        path: str,
        method: str = "GET",
        key: str = "key-1",
        body: bytes = b"",
        **headers: str,
    ) -> "Reply":
        """Make one request on a connection of its own."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        fields = {
            "Host": "front.example",
            "X-Request-Id": "id-1",
            "X-Request-Timeout-Ms": "3000",
            "Connection": "close",
        }
        if key:
            fields["X-Api-Key"] = key
        if body:
            fields["Content-Length"] = str(len(body))
        if path.startswith(("/stream", "/fixed")):
            fields["Flamingocleat-Model"] = "large"
        fields.update({k.replace("_", "-"): v for k, v in headers.items()})
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        try:
            async with asyncio.timeout(PATIENCE_S):
                return Reply(await _read_all(reader))
        finally:
            writer.close()

    async def close(self) -> None:
        self.server.close_listener()
        for connection in list(self.server.connections):
            connection.abort()
        for backend in self.backends:
            backend.server.close()


class Reply:
    """An answer as the caller received it."""

    def __init__(self, data: bytes) -> None:
        head, _, rest = data.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        self.status = int(lines[0].split(" ")[1]) if head else 0
        self.headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:])
        }
        self.is_whole = False
        self.body = self._body(rest)

    def _body(self, rest: bytes) -> bytes:
        if "chunked" not in self.headers.get("transfer-encoding", ""):
            length = self.headers.get("content-length", "-1")
            self.is_whole = len(rest) == int(length)
            return rest
        body = b""
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            if size == b"0":
                self.is_whole = rest == b"\r\n"
                break
            body += rest[: int(size, 16)]
            rest = rest[int(size, 16) + 2 :]
        return body


async def _read_all(reader: asyncio.StreamReader) -> bytes:
    data = b""
    with contextlib.suppress(OSError):
        while part := await reader.read(65_536):
            data += part
    return data


def play(
    scenario: collections.abc.Callable[
        [World], collections.abc.Awaitable[None]
    ],
) -> None:
    """Run a scenario with a started world."""

    async def run() -> None:
        world = World()
        await world.start()
        try:
            await scenario(world)
        finally:
            await world.close()

    asyncio.run(run())
