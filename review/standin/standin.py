"""Stand-ins for the platform, backend servers and callers.

They use only the standard library. The programs under test run as separate
processes with the commands of deploy/system.toml, each at its own loopback
address.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
CONTROL_PORT, INNER_PORT, FRONT_PORT, READY_PORT = 8229, 7340, 8227, 8220
METRICS_PORT, APP_PORT = 9464, 8120
BEAT_S = 1.2
STALL_S = 4.0
FORM_S = 0.3
REJOIN_S = 0.2
EVENT_GAP_S = 0.06
EVENTS = 31
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000,
    "strictRevoke": False, "revokeMs": 5000, "retryBudgetRatio": 0.2,
    "retryWindowS": 10, "budgetSlack": 198, "recoveryS": 12, "passMs": 120,
    "retryAfterS": 0, "stallMs": 4000, "requireFencing": True,
    "ceilingWindowS": 5, "rateOvershootFactor": 1.1,
}


class CannotRunError(Exception):
    """The case could not be brought about."""


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_s = time.monotonic()
        self.broken: list[str] = []

    def note(self, text: str) -> None:
        at_s = time.monotonic() - self.started_s
        self.file.write(f"{at_s:8.3f} {text}\n")
        self.file.flush()

    def broke(self, rule: str, text: str) -> None:
        self.broken.append(f"{rule}: {text}")
        self.note(f"BROKEN {rule}: {text}")


def free_net() -> int:
    """Return the second octet of loopback addresses that nobody uses."""
    for offset in range(150):
        net = 40 + (os.getpid() + offset) % 150
        try:
            for port in (CONTROL_PORT, FRONT_PORT, APP_PORT, METRICS_PORT):
                with socket.socket() as probe:
                    probe.bind((f"127.{net}.1.1", port))
        except OSError:
            continue
        return net
    raise CannotRunError("no free loopback addresses")


class Program:
    """A process of the system."""

    def __init__(self, place: "Place", role: str, number: int) -> None:
        self.place = place
        self.role = role
        self.ip = f"127.{place.net}.{1 if role == 'coordinator' else 2}.{number}"
        self.node = f"{role}-{number}"
        self.folder = place.folder / self.node
        self.folder.mkdir()
        self.bootstrap = True
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        is_core = self.role == "coordinator"
        data = self.folder / "data"
        data.mkdir(exist_ok=True)
        listen = (
            {"control": f"{self.ip}:{CONTROL_PORT}"}
            if is_core
            else {
                "front": f"{self.ip}:{FRONT_PORT}",
                "ready": f"{self.ip}:{READY_PORT}",
            }
        )
        boot = {
            "node": self.node, "role": self.role,
            "machineClass": "core" if is_core else "front",
            "serves": ["control" if is_core else "front"],
            "ip": self.ip, "zone": "za", "region": "r", "zones": {"za": "r"},
            "listen": listen, "internalPorts": [INNER_PORT, INNER_PORT + 15],
            "seeds": self.place.control, "bootstrap": self.bootstrap,
            "toleranceMember": is_core,
            "dataDir": str(data) if is_core else None,
            "discovery": "registry", "entry": "virtual_ip",
            "heartbeatMs": int(BEAT_S * 1000),
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS, "configMode": "highest",
        }
        path = self.folder / "settings.json"
        path.write_text(json.dumps(boot))
        command = self.place.commands[self.role].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["FLAMINGOCLEAT_BOOT"] = str(path)
        with open(self.folder / "log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.bootstrap = False
        self.place.record.note(f"{self.node} starts at {self.ip}")

    def send(self, number: signal.Signals) -> None:
        self.place.record.note(f"{self.node} gets {number.name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    def log(self) -> str:
        return (self.folder / "log").read_text(errors="replace")


class Place:
    """A small deployment: programs, backend servers and callers."""

    def __init__(
        self, record: Record, *, coordinators: int = 3, gateways: int = 2
    ) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands = {name: role["run"] for name, role in roles.items()}
        self.net = free_net()
        self.control = [
            f"127.{self.net}.1.{n + 1}:{CONTROL_PORT}"
            for n in range(coordinators)
        ]
        self.coordinators = [
            Program(self, "coordinator", n + 1) for n in range(coordinators)
        ]
        self.gateways = [
            Program(self, "gateway", n + 1) for n in range(gateways)
        ]
        self.servers: dict[str, Server] = {}
        self.has_requests = False
        self.leader = ""
        """The node that acknowledged last."""

    def address(self, number: int) -> str:
        """Return an address for a backend server."""
        return f"127.{self.net}.3.{number}:{APP_PORT}"

    async def start(self) -> None:
        for program in (*self.coordinators, *self.gateways):
            await program.start()

    async def stop(self) -> None:
        for server in list(self.servers.values()):
            server.crash()
        for program in (*self.coordinators, *self.gateways):
            await program.end()
        if os.environ.get("KEEP"):
            shutil.copytree(self.folder, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def put(self, config: dict, within_s: float = 15.0) -> None:
        """Send a configuration until it is acknowledged."""
        body = json.dumps(config).encode()
        end_s = time.monotonic() + within_s
        while time.monotonic() < end_s:
            addresses = [self.leader] if self.leader else []
            for address in [*addresses, *self.control]:
                status, headers, text = await call(
                    address, "POST", "/api/Config.Replace", body,
                    1.0 + len(body) / 1e6,
                )
                if status == 200:
                    self.record.note(f"config {config['version']} acknowledged")
                    self.leader = headers["answered-by"]
                    return
                self.leader = ""
                if status in (400, 409, 412, 413, 422):
                    raise CannotRunError(f"config refused: {text!r}")
            await asyncio.sleep(0.2)
        raise CannotRunError("no ack of the configuration")

    async def wait(self, condition, what: str, within_s: float) -> None:
        """Wait for a condition; the case cannot run if it does not come."""
        end_s = time.monotonic() + within_s
        while not condition():
            if time.monotonic() > end_s:
                raise CannotRunError(f"waited in vain: {what}")
            await asyncio.sleep(0.02)
        self.record.note(f"reached: {what}")

    def open_heads(self) -> list["Server"]:
        return [
            each
            for each in self.servers.values()
            if each.alive and each.rank == 0 and each.state == "open"
        ]

    async def wait_ready(self, within_s: float = 20.0) -> None:
        """Wait until all gateways say that they are ready."""
        end_s = time.monotonic() + within_s
        for gateway in self.gateways:
            while True:
                status, _, _ = await call(
                    f"{gateway.ip}:{READY_PORT}", "GET", "/api/ready"
                )
                if status == 200:
                    break
                if time.monotonic() > end_s:
                    raise CannotRunError(f"{gateway.node} isn't ready")
                await asyncio.sleep(0.1)


async def read_head(reader) -> tuple[list[str], dict[str, str]] | None:
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first.split(" ", 2), headers


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> tuple[int, dict[str, str], bytes]:
    """Make a control call, follow two redirects; status 0: no answer."""
    for _ in range(3):
        try:
            async with asyncio.timeout(timeout_s):
                host, _, port = address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(
                        f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                        "Connection: close\r\nContent-Type: application/json\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n".encode() + body
                    )
                    found = await read_head(reader)
                    if found is None:
                        return 0, {}, b""
                    (_, status, *_), headers = found
                    length = int(headers.get("content-length", "0"))
                    text = await reader.readexactly(length)
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0, {}, b""
        if status != "307":
            headers["answered-by"] = address
            return int(status), headers, text
        address = headers["location"].removeprefix("http://").partition("/")[0]
    return 0, {}, b""


class Server:
    """A backend server: a model replica, or a plain one without a model."""

    def __init__(
        self,
        place: Place,
        service: str,
        name: str,
        address: str,
        *,
        domain: str = "",
        models: dict[str, tuple[float, float]] | None = None,
        unframed: bool = False,
    ) -> None:
        self.place = place
        self.service = service
        self.name = name
        self.address = address
        self.domain = domain
        self.models = models or {}
        """Time to load each model, and time to join if it is staged."""
        self.unframed = unframed
        """Whether its answers have no length and end with their channel."""
        self.staged = ""
        self.reset()

    def reset(self) -> None:
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.alive = False
        self.leaving = False
        self.group, self.epoch, self.rank, self.state = "", -1, 0, ""
        self.members: tuple[str, ...] = ()
        self.highest = -1
        self.last_model = ""
        self.running: dict[str, asyncio.Task] = {}
        self.tasks: set[asyncio.Task] = set()
        self.beat_url = ""
        self.writers: set[asyncio.StreamWriter] = set()
        self.incomplete_since_s: float | None = None

    async def start(self) -> "Server":
        self.reset()
        self.place.servers[self.name] = self
        host, _, port = self.address.rpartition(":")
        self.listener = await asyncio.start_server(self._serve, host, int(port))
        self.alive = True
        self.spawn(self._beats())
        if self.models:
            self.spawn(self._watch())
        self.place.record.note(
            f"{self.name} ({self.service}) starts at {self.address}"
        )
        return self

    def spawn(self, work) -> asyncio.Task:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def crash(self) -> None:
        """End at once, as a killed process does."""
        if not self.alive:
            return
        self.alive = False
        self.place.record.note(f"{self.name} ends")
        self.listener.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                # A reset, not an orderly end of the channel.
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
                )
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    # Announcements.

    def body(self) -> bytes:
        self.sequence += 1
        fields = {
            "service": self.service, "address": self.address, "zone": "za",
            "version": "v1", "slots": 24 if self.models else 6,
            "state": "draining" if self.leaving else "ready",
            "coldLeftMs": 0, "sequence": self.sequence, "born": self.born,
        }
        if self.models:
            fields |= {
                "stage": "colocated",
                "models": [
                    {"name": self.last_model, "version": 1, "adapters": []}
                ] if self.group else [],
                "domain": self.domain,
                "staged": [self.staged] if self.staged else [],
            }
            if self.group:
                fields["group"] = {
                    "name": self.group, "epoch": self.epoch,
                    "rank": self.rank, "state": self.state,
                }
        return json.dumps(fields).encode()

    async def _beats(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_S * random.uniform(0.9, 1.0))

    async def beat(self) -> bool:
        """Announce itself to the first node that acknowledges it."""
        return await self.tell("/api/Instances.Heartbeat/", self.body())

    async def tell(self, path: str, body: bytes) -> bool:
        addresses = list(self.place.control)
        random.shuffle(addresses)
        for address in ([self.beat_url] if self.beat_url else []) + addresses:
            status, _, text = await call(
                address, "POST", path + self.name, body
            )
            if status == 200:
                if text:
                    self.beat_url = json.loads(text).get("heartbeatUrl", "")
                return True
            self.beat_url = ""
        return False

    async def drain(self) -> None:
        """Report that it drains; return once that is acknowledged."""
        self.leaving = True
        while not await self.beat():
            await asyncio.sleep(0.1)
        self.place.record.note(f"{self.name} drains, acknowledged")

    # Requests.

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        work = asyncio.current_task()
        self.tasks.add(work)
        try:
            found = await read_head(reader)
            if found is None:
                return
            (method, target, _), headers = found
            length = int(headers.get("content-length", "0"))
            body = await reader.readexactly(length)
            if target == "/health":
                self._reply(writer, 503 if self.leaving else 200, headers)
            elif headers.get("x-expect-instance", self.name) != self.name:
                self._refuse(writer, headers, 421)
            elif target == "/api/order":
                status = self._order(json.loads(body))
                self._reply(writer, status, headers)
            elif self.models:
                await self._stream(reader, writer, headers)
            else:
                await self._plain(reader, writer, headers)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self.writers.discard(writer)
            self.tasks.discard(work)
            writer.close()

    def _reply(
        self, writer, status: int, headers: dict, body: bytes = b"", extra=""
    ) -> None:
        request_id = headers.get("x-request-id", "")
        writer.write(
            f"HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\n{extra}"
            f"X-Instance-Id: {self.name}\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )

    def _refuse(self, writer, headers: dict, status: int) -> None:
        self.place.record.note(
            f"{self.name} doesn't run {headers.get('x-request-id')}: {status}"
        )
        self._reply(writer, status, headers, extra="X-Not-Executed: 1\r\n")

    async def _plain(self, reader, writer, headers: dict) -> None:
        request_id = headers["x-request-id"]
        self.place.record.note(f"{self.name} runs {request_id}")
        await asyncio.sleep(0.02)
        self._reply(
            writer, 200, headers, f"done {request_id}".encode(),
            f"X-Response-Seal: {self.name}\r\n",
        )

    async def _stream(self, reader, writer, headers: dict) -> None:
        request_id = headers["x-request-id"]
        if self.rank or not self.group:
            self._refuse(writer, headers, 421)
            return
        if self.state != "open":
            self._refuse(writer, headers, 503)
            return
        epoch = self.epoch
        self.place.has_requests = True
        gone = self.spawn(reader.read(1))
        self.running[request_id] = asyncio.current_task()
        try:
            if not await self._step(epoch, gone):
                self._refuse(writer, headers, 503)
                return
            last = headers.get("last-event-id", "")
            number = int(last) if last.isdigit() else 0
            self.place.record.note(
                f"{self.name} runs {request_id} after event {number}"
            )
            framing = (
                "Connection: close\r\n"
                if self.unframed
                else "Transfer-Encoding: chunked\r\n"
            )
            writer.write(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"X-Request-Id: {request_id}\r\n"
                f"X-Response-Seal: {self.name}\r\n{framing}\r\n".encode()
            )
            while number < EVENTS:
                number += 1
                event = event_of(request_id, number)
                if not self.unframed:
                    event = b"%x\r\n%s\r\n" % (len(event), event)
                writer.write(event)
                await asyncio.sleep(EVENT_GAP_S)
                if number < EVENTS and not await self._step(epoch, gone):
                    self.place.record.note(
                        f"{self.name} breaks off {request_id} at {number}"
                    )
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER,
                        b"\1\0\0\0\0\0\0\0",
                    )
                    writer.transport.abort()
                    return
            if not self.unframed:
                writer.write(b"0\r\n\r\n")
            self.place.record.note(f"{self.name} ends {request_id} whole")
        finally:
            del self.running[request_id]
            gone.cancel()

    async def _step(self, epoch: int, gone: asyncio.Task) -> bool:
        """Wait while the group stands still; return whether it works on."""
        while self.epoch == epoch and self.state in ("open", "closing"):
            if gone.done():
                return False
            if self.is_complete():
                return True
            await asyncio.sleep(0.02)
        return False

    # Groups.

    def is_complete(self) -> bool:
        for name in self.members:
            member = self.place.servers.get(name)
            if member is None or not member.alive or not member.group:
                return False
            if member.epoch != self.epoch:
                return False
        return True

    async def _watch(self) -> None:
        """Break the group once it has stood still for the stall time."""
        while True:
            await asyncio.sleep(0.02)
            serving = self.rank == 0 and self.state in ("open", "closing")
            if not serving or self.is_complete():
                self.incomplete_since_s = None
            elif self.incomplete_since_s is None:
                self.incomplete_since_s = time.monotonic()
            elif time.monotonic() - self.incomplete_since_s > STALL_S:
                self._become("broken")

    def _become(self, state: str) -> None:
        self.state = state
        self.place.record.note(
            f"{self.name} is {state} in {self.group} epoch {self.epoch} "
            f"rank {self.rank}"
        )
        self.spawn(self.beat())

    def _order(self, order: dict) -> int:
        op = order["op"]
        self.place.record.note(f"{self.name} gets the order {json.dumps(order)}")
        if op == "stage" and order["model"] == self.staged:
            return 200
        if op == "stage":
            self.spawn(self._load(order["model"]))
            return 202
        if op == "join":
            return self._join(order)
        if (order["group"], order["epoch"]) != (self.group, self.epoch):
            return 200
        if op == "leave":
            self._leave_group()
            return 200
        if op == "open":
            if self.rank or self.state not in ("ready", "open"):
                return 409
            if self.state == "ready":
                self.spawn(self._later(FORM_S, self.epoch, "ready", "open"))
            return 202
        if op == "close" and self.state == "open":
            if order.get("closeMode") == "preempt":
                self._become("ready")
            else:
                self._become("closing")
                self.spawn(self._finish(self.epoch))
            return 202
        return 200

    def _leave_group(self) -> None:
        self.place.record.note(f"{self.name} leaves {self.group}")
        self.group, self.rank, self.state, self.members = "", 0, "", ()
        self.epoch = -1
        self.spawn(self.beat())

    def _join(self, order: dict) -> int:
        if order["epoch"] < self.highest:
            return 412
        if order["epoch"] == self.highest and self.group:
            same = tuple(order["members"]) == self.members
            return 200 if same else 412
        self._check_two(order)
        model = order["model"]
        load_s, warm_s = self.models[model]
        if not self.place.has_requests:
            load_s /= 10
        wait_s = load_s
        if model == self.last_model:
            wait_s = REJOIN_S
        elif model == self.staged:
            wait_s = warm_s
        self.group, self.epoch = order["group"], order["epoch"]
        self.highest = self.epoch
        self.members = tuple(order["members"])
        self.rank = self.members.index(self.name)
        self.last_model = self.staged = model
        self._become("joining")
        self.spawn(self._later(wait_s, self.epoch, "joining", "ready"))
        return 202

    def _check_two(self, order: dict) -> None:
        """Check the rule TWO as a replica takes a join of another group."""
        if not self.group or order["group"] == self.group:
            return
        head = self.place.servers.get(self.members[0])
        if head is None or not head.alive:
            return
        if (head.group, head.epoch) == (self.group, self.epoch):
            if head.state in ("open", "closing"):
                self.place.record.broke(
                    "TWO",
                    f"{self.name} takes a join of {order['group']} while "
                    f"{head.name}, the head of its group {self.group}, is "
                    f"{head.state} with {len(head.running)} requests at work",
                )

    async def _later(
        self, wait_s: float, epoch: int, before: str, after: str
    ) -> None:
        await asyncio.sleep(wait_s)
        if self.epoch == epoch and self.state == before:
            self._become(after)

    async def _finish(self, epoch: int) -> None:
        while self.running and self.epoch == epoch:
            await asyncio.sleep(0.02)
        if self.epoch == epoch and self.state == "closing":
            self._become("ready")

    async def _load(self, model: str) -> None:
        load_s, _ = self.models[model]
        if not self.place.has_requests:
            load_s /= 10
        await asyncio.sleep(load_s)
        self.staged = model
        await self.beat()


def event_of(request_id: str, number: int) -> bytes:
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


def whole_stream(request_id: str) -> bytes:
    return b"".join(event_of(request_id, n + 1) for n in range(EVENTS))


class Answer:
    """What a caller got."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        """Whether the answer ended as HTTP/1.1 says that it is complete."""


class Caller:
    """A caller with one channel."""

    def __init__(self, place: Place, gateway: Program) -> None:
        self.place = place
        self.gateway = gateway
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        async with asyncio.timeout(1.0):
            self.reader, self.writer = await asyncio.open_connection(
                self.gateway.ip, FRONT_PORT
            )

    def close(self) -> None:
        if self.writer is not None:
            self.writer.transport.abort()
        self.writer = None

    async def request(
        self,
        path: str,
        request_id: str,
        *,
        deadline_ms: int = 8000,
        headers: str = "",
        body: bytes = b"",
    ) -> Answer:
        """Send one request and read its answer."""
        answer = Answer()
        try:
            if self.writer is None:
                await self.open()
            self.place.record.note(
                f"caller sends {request_id} {path} to {self.gateway.node}"
            )
            self.writer.write(
                f"POST {path} HTTP/1.1\r\nHost: h.example\r\n"
                f"X-Request-Id: {request_id}\r\n"
                f"X-Request-Deadline: {deadline_ms}\r\n{headers}"
                f"Content-Length: {len(body)}\r\n\r\n".encode() + body
            )
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                await self._read(answer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.place.record.note(f"{request_id}: {error!r}")
        keep = answer.complete and "close" not in answer.headers.get(
            "connection", ""
        )
        if not keep:
            self.close()
        self.place.record.note(
            f"caller gets {answer.status} for {request_id}, "
            f"{len(answer.body)} bytes, "
            f"{'complete' if answer.complete else 'cut'}"
        )
        return answer

    async def _read(self, answer: Answer) -> None:
        found = await read_head(self.reader)
        if found is None:
            return
        (_, status, *_), answer.headers = found
        answer.status = int(status)
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                line = await self.reader.readuntil(b"\r\n")
                size = int(line, 16)
                answer.body += (await self.reader.readexactly(size + 2))[:-2]
                if not size:
                    break
        else:
            length = int(answer.headers.get("content-length", "0"))
            answer.body = await self.reader.readexactly(length)
        answer.complete = True


def stream_headers(request_id: str, model: str) -> str:
    return (
        f"X-Model: {model}\r\nX-Token-Counts: 674,93\r\n"
        f"X-Prompt-Prefix: aa01:40,{request_id}:634\r\n"
    )


def config(version: int, models: list[dict], **extra) -> dict:
    """Return a configuration with one model service and one plain one."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-s", "host": "h.example", "pathPrefix": "/s/",
                "kind": "stream", "timeoutMs": 8000, "targetLatencyMs": 400,
                "priority": 1, "service": "llm", "maxAttempts": 2,
                "allowAnonymous": True, "sessionAffinity": True,
                "streamResume": True, "targetGapMs": 300,
            },
            {
                "name": "r-u", "host": "h.example", "pathPrefix": "/u/",
                "kind": "non_idempotent", "timeoutMs": 1500,
                "targetLatencyMs": 400, "priority": 2, "service": "desk",
                "maxAttempts": 1, "allowAnonymous": True,
            },
        ],
        "services": [
            {
                "name": "llm", "healthPath": "/health", "maxConnections": 392,
                "protocol": "h1", "tls": False,
                "engine": {
                    "slots": 24, "kvCapacity": 700000, "stride": 3,
                    "models": models, "step_ms": 6.07, "per_seq_ms": 0.482,
                    "context_per_k": 0.00976, "read_per_s": 46000.0,
                    "pairs_per_m": 0.7, "chunk": 2048,
                    "report_lag_ms": 200.0, "loadsPerS": 3.0,
                    "loads_at_once": 6,
                    "usual": {"prompt": 1014, "answer": 85},
                    "keeps": 1, "far_x": 2.5, "formMs": FORM_S * 1000,
                },
            },
            {
                "name": "desk", "healthPath": "/health",
                "maxConnections": 100, "protocol": "h1", "tls": False,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
        },
        **extra,
    }


def main(folder: pathlib.Path, case, place_type: type[Place] = Place) -> int:
    """Run a case; return 1 if a rule was broken, 0 if not, 2 if it failed."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def run() -> int:
        place = place_type(record)
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(110):
                await place.start()
                await case(place, trouble)
        except (CannotRunError, TimeoutError, OSError) as error:
            record.note(f"cannot run: {error!r}")
            return 2
        finally:
            await place.stop()
        return 1 if record.broken else 0

    try:
        result = asyncio.run(run())
    except BaseException as error:  # Also if it is stopped from outside.
        record.note(f"cannot run: {error!r}")
        result = 2
    print("\n".join(record.broken) or f"no rule was broken (result {result})")
    sys.stdout.flush()
    return result
