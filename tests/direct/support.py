"""Harness: a forwarder, scripted backend servers and a raw HTTP client."""

import asyncio
import collections.abc
import contextlib

import msgspec

from flamingocleat import messages
from flamingocleat.connection import http
from flamingocleat.request import admission
from flamingocleat.request import budget
from flamingocleat.request import forward
from flamingocleat.request import header_names
from flamingocleat.version import candidates
from flamingocleat.version import catalog
from tests.direct import vms

HEADER_NAMES = header_names.HeaderNames()
PROOF_HEADER = (b"flamingocleat-proof", b"seal")
TIMEOUT_S = 10.0

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
        route("many", catalog.CallKind.ONCE, max_attempts=3),
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

Script = collections.abc.Callable[
    ["ReceivedRequest"], collections.abc.Awaitable[None]
]


class ReceivedRequest:
    """A request that a backend server received, with methods to answer it."""

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

    def response_head(
        self, status: int, *headers: str, proof: bool = True
    ) -> bytes:
        """Return a response head that echoes the request's id."""
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
        await self.send(self.response_head(status, length, *headers) + body)

    async def send_events(
        self, first: int, last: int, pause_s: float = 0.0, end: bool = True
    ) -> None:
        """Send a stream of events with these ids, one per chunk."""
        await self.send(
            self.response_head(
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

    async def wait_until_closed(self) -> None:
        """Wait until the peer has closed the connection."""
        with contextlib.suppress(OSError):
            while await self.reader.read(1024):
                pass
        self.closed = True


def event(number: int) -> bytes:
    """Return one encoded event."""
    return f"id: {number}\ndata: token {number}\n\n".encode()


def chunk(data: bytes) -> bytes:
    """Encode bytes as one HTTP chunk."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class Backend:
    """A backend server that answers each request by a script."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.received: list[ReceivedRequest] = []

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
            received = ReceivedRequest(head[:-4], b"", reader, writer)
            length = int(received.headers.get("content-length", 0))
            received.body = await reader.readexactly(length)
            self.received.append(received)
            await self.script(received)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


class Harness:
    """A forwarder that listens on a real socket, and its backend servers."""

    def __init__(self) -> None:
        self.candidates = candidates.Candidates()
        self.admission = admission.Admission("a", self.candidates)
        self.budget = budget.Budget(budget.BudgetSettings())
        self.forwarder = forward.Forwarder(
            HEADER_NAMES, self.admission, self.budget, seed=1
        )
        self.forwarder.catalog_index = catalog.CatalogIndex(CATALOG)
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
        """Add a backend server; at equal load, earlier ones are preferred."""
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
        """Send a request on a new connection and return the reply."""
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
            async with asyncio.timeout(TIMEOUT_S):
                return Reply(await read_all(reader))
        finally:
            writer.close()

    async def close(self) -> None:
        self.server.close_listener()
        for connection in list(self.server.connections):
            connection.abort()
        for backend in self.backends:
            backend.server.close()


class Reply:
    """A response as the caller received it."""

    def __init__(self, data: bytes) -> None:
        head, _, rest = data.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        self.status = int(lines[0].split(" ")[1]) if head else 0
        self.headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:])
        }
        self.is_complete = False
        self.body = self._body(rest)

    def _body(self, rest: bytes) -> bytes:
        if "chunked" not in self.headers.get("transfer-encoding", ""):
            length = self.headers.get("content-length", "-1")
            self.is_complete = len(rest) == int(length)
            return rest
        body = b""
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            if size == b"0":
                self.is_complete = rest == b"\r\n"
                break
            body += rest[: int(size, 16)]
            rest = rest[int(size, 16) + 2 :]
        return body


async def read_all(reader: asyncio.StreamReader) -> bytes:
    """Return what arrives until the connection ends."""
    data = b""
    with contextlib.suppress(OSError):
        while part := await reader.read(65_536):
            data += part
    return data


def run_scenario(
    scenario: collections.abc.Callable[
        [Harness], collections.abc.Awaitable[None]
    ],
) -> None:
    """Run a scenario with a started harness."""

    async def run() -> None:
        harness = Harness()
        await harness.start()
        try:
            await scenario(harness)
        finally:
            await harness.close()

    asyncio.run(run())
