"""Stand-ins for the platform, written after PROTOCOL.md and DEPLOY.md.

Starts the project's programs with the commands of the deploy file, on loopback
addresses, and plays model replicas, plain replicas, the operator and requesters
in this process. Needs nothing but Python 3.11.
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
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, INTERNAL, APP = "front", "ready", "control", "int", "app"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.2
STALL_S = 4.0
MAX_DEPTH = 2
"""Redirects that a caller of control follows."""


class NoRunError(Exception):
    """The case could not run."""


class Record:
    """The file record.txt of a case: one line per event, with seconds."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began_s = time.monotonic()

    def __call__(self, text: str) -> None:
        at_s = time.monotonic() - self.began_s
        self.file.write(f"{at_s:8.3f} {text}\n")
        self.file.flush()


def free_net() -> tuple[int, socket.socket]:
    """Return the second octet of a loopback range that no other run uses."""
    numbers = list(range(20, 220))
    random.shuffle(numbers)
    for number in numbers:
        lock = socket.socket()
        try:
            lock.bind((f"127.{number}.0.1", 9463))
            return number, lock
        except OSError:
            lock.close()
    raise NoRunError("no loopback range is free")


def free_ports(net: int, count: int) -> list[int]:
    """Return ports that are free on all addresses of a range now."""
    found: list[int] = []
    held = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind((f"127.{net}.0.1", 0))
        held.append(probe)
        found.append(probe.getsockname()[1])
    for probe in held:
        probe.close()
    return found


# HTTP/1.1, as little as the pages need.


class Message:
    """A request or an answer that was read."""

    def __init__(self, first: str, headers: list, body: bytes) -> None:
        self.first, self.headers, self.body = first, headers, body

    def header(self, name: str) -> str:
        for known, value in self.headers:
            if known == name:
                return value
        return ""

    @property
    def status(self) -> int:
        return int(self.first.split()[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, list] | None:
    """Read a first line and headers; None at the end of the connection."""
    lines = []
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            return None
        line = line.rstrip(b"\r\n")
        if not line:
            break
        lines.append(line.decode("latin-1"))
    headers = []
    for each in lines[1:]:
        name, _, value = each.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole message with a length or in chunks."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    known = dict(headers)
    body = b""
    if "chunked" in known.get("transfer-encoding", ""):
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        while (await reader.readline()).strip():
            pass
    elif "content-length" in known:
        body = await reader.readexactly(int(known["content-length"]))
    return Message(first, headers, body)


def encode(first: str, headers: list, body: bytes) -> bytes:
    """Return the bytes of a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: tuple = (),
    timeout_s: float = 1.0,
) -> Message | None:
    """Make one call on a new connection; None without a whole answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=1 << 22
            )
            sent = list(headers)
            if not any(name == "Host" for name, _ in sent):
                sent.insert(0, ("Host", address))
            writer.write(encode(f"{method} {path} HTTP/1.1", sent, body))
            return await read_message(reader)
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def call_control(
    address: str, method: str, path: str, body: bytes = b"", timeout_s=1.0
) -> Message | None:
    """Make a call to control, following two redirects."""
    answer = await call(address, method, path, body, timeout_s=timeout_s)
    for _ in range(MAX_DEPTH):
        if answer is None or answer.status != 307:
            break
        address, _, rest = (
            answer.header("location").removeprefix("http://").partition("/")
        )
        answer = await call(
            address, method, "/" + rest, body, timeout_s=timeout_s
        )
    return answer


class Deployment:
    """The project's programs, as processes on loopback addresses."""

    def __init__(
        self,
        record: Record,
        coordinators: int = 3,
        gateways: int = 1,
        limits: dict | None = None,
    ) -> None:
        self.record = record
        self.net, self.lock = free_net()
        front, ready, control, internal, app = free_ports(self.net, 5)
        self.ports = {
            FRONT: front,
            READY: ready,
            CONTROL: control,
            INTERNAL: internal,
            APP: app,
        }
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.limits = limits or {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.disks: dict[str, int] = {}
        """How many disks a machine has lost; the next one is empty."""
        self.first = True
        self.roles = {}
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self.commands = {
                name: role["run"].split()
                for name, role in tomllib.load(file)["roles"].items()
            }
        for number in range(1, coordinators + 1):
            self.roles[f"core-{number}"] = (
                "coordinator",
                f"127.{self.net}.1.{number}",
            )
        for number in range(1, gateways + 1):
            self.roles[f"front-{number}"] = (
                "gateway",
                f"127.{self.net}.2.{number}",
            )

    def address(self, node: str, kind: str) -> str:
        return f"{self.roles[node][1]}:{self.ports[kind]}"

    def app_address(self, number: int) -> str:
        return f"127.{self.net}.3.{number}:{self.ports[APP]}"

    @property
    def control(self) -> list[str]:
        return [
            self.address(node, CONTROL)
            for node, (role, _) in self.roles.items()
            if role == "coordinator"
        ]

    @property
    def fronts(self) -> list[str]:
        return [node for node, (role, _) in self.roles.items() if role == "gateway"]

    def settings(self, node: str) -> dict:
        role, ip = self.roles[node]
        is_core = role == "coordinator"
        data = self.folder / node / f"data-{self.disks.get(node, 0)}"
        if is_core:
            data.mkdir(parents=True, exist_ok=True)
        listen = (
            {"control": f"{ip}:{self.ports[CONTROL]}"}
            if is_core
            else {
                "front": f"{ip}:{self.ports[FRONT]}",
                "ready": f"{ip}:{self.ports[READY]}",
            }
        )
        limits = {
            "cpuShare": 1.0,
            "cores": 1,
            "memoryMb": 296 if is_core else 300,
            "maxFds": 4096,
            "linkMbps": 1000.0,
            "diskMb": 128 if is_core else 0,
        }
        return {
            "node": node,
            "role": role,
            "machineClass": "core" if is_core else "front",
            "serves": ["control"] if is_core else ["front"],
            "ip": ip,
            "zone": "zone-a",
            "region": "region-a",
            "zones": {"zone-a": "region-a"},
            "listen": listen,
            "internalPorts": [self.ports[INTERNAL], self.ports[INTERNAL]],
            "seeds": self.control[:3],
            "bootstrap": self.first,
            "toleranceMember": is_core,
            "limits": {**limits, **self.limits},
            "dataDir": str(data) if is_core else None,
            "discovery": "registry",
            "entry": "virtual_ip",
            "heartbeatMs": 1200,
            "contracts": [
                "base", "drain", "config", "cost", "retry", "recover",
                "engine", "stream", "tenants", "gangs",
            ],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {
                "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000,
                "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
                "lossSlackMs": 200, "configApplyMs": 2000,
                "rollbackSlackMs": 250, "maxSkewMs": 5000,
                "strictRevoke": False, "revokeMs": 5000,
                "retryBudgetRatio": 0.2, "retryWindowS": 10,
                "budgetSlack": 196, "recoveryS": 12, "passMs": 120,
                "retryAfterS": 0, "stallMs": int(STALL_S * 1000),
                "requireFencing": True, "ceilingWindowS": 5,
                "rateOvershootFactor": 1.1,
            },
            "configMode": "highest",
        }

    async def start(self, node: str) -> None:
        """Start a process with the command of the deploy file."""
        folder = self.folder / node
        folder.mkdir(exist_ok=True)
        path = folder / "settings.json"
        path.write_text(json.dumps(self.settings(node)))
        command = self.commands[self.roles[node][0]]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["FLAMINGOCLEAT_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (folder / "log").open("ab") as log:
            self.processes[node] = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, stdout=log, stderr=log, env=environment
            )
        self.record(f"{node} started")

    async def start_all(self) -> None:
        for node in self.roles:
            await self.start(node)
        self.first = False

    def signal(self, node: str, number: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.processes[node].send_signal(number)
        self.record(f"{node} gets {number.name}")

    async def kill(self, node: str) -> None:
        self.signal(node, signal.SIGKILL)
        await self.processes[node].wait()

    def is_running(self, node: str) -> bool:
        return self.processes[node].returncode is None

    async def stop(self) -> None:
        """End all processes that were started here."""
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        self.lock.close()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    # The operator and the platform's load balancer.

    async def wait_listening(self, node: str, within_s: float = 5.0) -> None:
        """Wait until a node takes channels from requesters."""
        host, _, port = self.address(node, FRONT).rpartition(":")
        end_s = time.monotonic() + within_s
        while time.monotonic() < end_s:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.02)
                continue
            writer.close()
            return
        raise NoRunError(f"{node} takes no channels")

    async def put(self, config: dict, within_s: float = 15.0) -> None:
        """Send a configuration until it is acknowledged."""
        body = json.dumps(config).encode()
        end_s = time.monotonic() + within_s
        while time.monotonic() < end_s:
            for address in self.control:
                answer = await call_control(
                    address, "POST", "/api/Config.Replace", body, 3.0
                )
                if answer is not None and answer.status == 200:
                    self.record(f"config {config['version']} acknowledged")
                    return
            await asyncio.sleep(0.2)
        raise NoRunError("a configuration was not acknowledged")

    async def is_ready(self, node: str) -> bool:
        answer = await call(self.address(node, READY), "GET", "/api/ready")
        return answer is not None and answer.status == 200

    async def wait_ready(self, within_s: float = 20.0) -> None:
        end_s = time.monotonic() + within_s
        for node in self.fronts:
            while not await self.is_ready(node):
                if time.monotonic() > end_s:
                    raise NoRunError(f"{node} is not ready")
                await asyncio.sleep(0.1)
            self.record(f"{node} is ready")

    async def leader(self) -> str | None:
        """Return the node that answers a read of the config itself."""
        for node, (role, _) in self.roles.items():
            if role != "coordinator" or not self.is_running(node):
                continue
            answer = await call(
                self.address(node, CONTROL), "GET", "/api/Config.Get"
            )
            if answer is not None and answer.status == 200:
                return node
        return None


class Replica:
    """What plain and model replicas have in common."""

    service = ""

    def __init__(self, deployment: Deployment, number: int) -> None:
        self.deployment = deployment
        self.record = deployment.record
        self.id = f"i-{number:08x}"
        self.address = deployment.app_address(number)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.cut = False
        """Whether it is partitioned from the core."""
        self.url = ""
        self.fillers: list[socket.socket] = []
        self.beats: asyncio.Task | None = None
        self.accepting: asyncio.Task | None = None
        self.tasks: set[asyncio.Task] = set()
        self.slots = 24

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, int(port)))
        self.listener.setblocking(False)
        self._listen()
        self.beats = asyncio.create_task(self._beat())

    def _listen(self) -> None:
        self.listener.listen(64)
        self.accepting = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self.listener)
            reader, writer = await asyncio.open_connection(
                sock=accepted, limit=1 << 22
            )
            task = asyncio.create_task(self._serve(reader, writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def stop(self) -> None:
        for task in (self.beats, self.accepting, *self.tasks):
            if task is not None:
                task.cancel()
        for filler in self.fillers:
            filler.close()
        self.listener.close()

    async def _serve(self, reader, writer) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                await self.handle(request, writer)
                if "close" in request.header("connection").lower():
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, request: Message, writer) -> None:
        raise NotImplementedError

    async def answer(self, writer, status, headers=(), body=b"") -> None:
        first = f"HTTP/1.1 {status} X"
        writer.write(encode(first, list(headers), body))
        await writer.drain()

    # Cuts.

    def begin_cut(self) -> None:
        """Partition it from the core: nothing of it arrives there or comes.

        New connections hang, since the queue of its listener is full. Nobody
        but the core calls it meanwhile.
        """
        if self.cut:
            return
        self.cut = True
        self.accepting.cancel()
        self.listener.listen(0)
        host, _, port = self.address.rpartition(":")
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            self.fillers.append(filler)
        self.record(f"{self.id} is cut off from the core")

    def end_cut(self) -> None:
        self.cut = False
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self._listen()
        self.record(f"{self.id} reaches the core again")

    # Heartbeats.

    def beat(self) -> dict:
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def _beat(self) -> None:
        while True:
            begun_s = time.monotonic()
            await self.announce()
            rest_s = HEARTBEAT_S - (time.monotonic() - begun_s)
            await asyncio.sleep(max(0.05, rest_s))

    async def announce(self) -> bool:
        """Send a heartbeat to one node after the other until one takes it."""
        body = json.dumps(self.beat()).encode()
        addresses = list(self.deployment.control)
        random.shuffle(addresses)
        for address in ([self.url] if self.url else []) + addresses:
            if self.cut:
                await asyncio.sleep(0.3)
                return False
            answer = await call_control(
                address, "POST", f"/api/Instances.Heartbeat/{self.id}", body
            )
            if answer is not None and answer.status == 200:
                self.url = json.loads(answer.body).get("heartbeatUrl", "")
                return True
            self.url = ""
        return False


class PlainReplica(Replica):
    """A replica without an engine."""

    def __init__(self, deployment, number, service, work_s=0.02) -> None:
        super().__init__(deployment, number)
        self.service = service
        self.work_s = work_s
        self.slots = 6
        self.runs: list[str] = []

    async def handle(self, request: Message, writer) -> None:
        request_id = request.header("x-request-id")
        echo = [("X-Request-Id", request_id)]
        expected = request.header("x-expect-instance")
        if expected and expected != self.id:
            await self.answer(
                writer, 421, [*echo, ("X-Not-Executed", "1")]
            )
            return
        self.runs.append(request_id)
        self.record(f"{self.id} runs {request_id}")
        await asyncio.sleep(self.work_s)
        seal = ("X-Response-Seal", f"seal-{request_id}")
        await self.answer(writer, 200, [*echo, seal], b"done\n")


class ModelReplica(Replica):
    """A replica of a service with model groups.

    Members see each other directly: a cut from the core does not part them.
    """

    def __init__(
        self, deployment, number, service, fleet, engine, domain="d0"
    ) -> None:
        super().__init__(deployment, number)
        self.service = service
        self.domain = domain
        self.fleet: dict[str, ModelReplica] = fleet
        self.models = {each["name"]: each for each in engine["models"]}
        self.form_s = engine["formMs"] / 1000
        fleet[self.id] = self
        self.staged: list[str] = []
        self.last_model = ""
        self.orders = 0
        self.group: tuple[str, int] | None = None
        self.members: tuple[str, ...] = ()
        self.rank = 0
        self.group_state = ""
        self.epoch = -1
        self.former: tuple[str, str, int] | None = None
        """Head, name and epoch of the group that it joined last."""
        self.stalled_s: float | None = None
        self.loads_fast = True
        self.violations: list[str] = []
        self.watching: asyncio.Task | None = None

    async def start(self) -> None:
        await super().start()
        task = asyncio.create_task(self._watch())
        self.tasks.add(task)

    def report(self) -> dict:
        found = {
            "born": self.born,
            "stage": "colocated",
            "staged": list(self.staged),
            "domain": self.domain,
            "models": [],
        }
        if self.group is not None:
            found["models"] = [
                {"name": self.last_model, "version": 1, "adapters": []}
            ]
            found["group"] = {
                "name": self.group[0],
                "epoch": self.group[1],
                "rank": self.rank,
                "state": self.group_state,
            }
        return found

    def beat(self) -> dict:
        return {**super().beat(), **self.report()}

    def changed(self) -> None:
        """Report at once after a change."""
        task = asyncio.create_task(self.announce())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def handle(self, request: Message, writer) -> None:
        path = request.first.split()[1]
        expected = request.header("x-expect-instance")
        if expected and expected != self.id:
            echo = [("X-Request-Id", request.header("x-request-id"))]
            await self.answer(writer, 421, [*echo, ("X-Not-Executed", "1")])
        elif path == "/api/report":
            body = json.dumps({**self.report(), "sequence": self.orders, "busy": False,
                               "queued": 0, "running": 0, "kvUsed": 0,
                               "kvTotal": 700000, "handles": 0}).encode()
            await self.answer(
                writer, 200, [("Content-Type", "application/json")], body
            )
        elif path == "/api/order":
            order = json.loads(request.body)
            status = self.apply(order)
            self.record(
                f"{self.id} gets {order['op']} "
                f"{order.get('group', order.get('model'))}: {status}"
            )
            await self.answer(writer, status)
        else:
            await self.run(request, writer)

    def apply(self, order: dict) -> int:
        op = order["op"]
        if order.get("precondition", self.orders) != self.orders:
            return 409
        if op == "stage":
            model = order["model"]
            if model in self.staged:
                return 200
            self._later(self._load(model))
        elif op == "join":
            status = self._join(order)
            if status != 202:
                return status
        elif (order["group"], order["epoch"]) != self.group:
            return 200 if op == "leave" else 409
        elif op == "open":
            if self.rank or self.group_state not in ("ready", "open"):
                return 409
            if self.group_state == "open":
                return 200
            self._later(self._become("open", self.group, self.form_s))
        elif op == "close":
            if self.group_state not in ("open", "closing"):
                return 200
            self.group_state = "ready"
            self.changed()
        elif op == "leave":
            self.group, self.group_state, self.members = None, "", ()
            self.stalled_s = None
            self.changed()
        else:
            return 400
        self.orders += 1
        return 202 if op in ("stage", "join", "open") else 200

    def _later(self, work) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _join(self, order: dict) -> int:
        key = (order["group"], order["epoch"])
        members = tuple(order["members"])
        if order["epoch"] < self.epoch:
            return 412
        if key == self.group and members != self.members:
            return 412
        self._check_two(key)
        model = order["model"]
        settings = self.models[model]
        if model == self.last_model:
            wait_s = 0.2
        elif model in self.staged:
            wait_s = settings["warmS"]
        else:
            wait_s = settings["loadS"] / (10 if self.loads_fast else 1)
        self.group, self.epoch, self.members = key, order["epoch"], members
        self.rank = members.index(self.id)
        self.last_model, self.group_state = model, "joining"
        self.stalled_s = None
        self.former = (members[0], *key)
        self._later(self._become("ready", key, wait_s))
        self.changed()
        return 202

    def _check_two(self, key: tuple[str, int]) -> None:
        """Rule TWO, as this replica takes a join of another group."""
        if self.former is None or self.former[1:] == key:
            return
        head = self.fleet.get(self.former[0])
        if head is None or head is self or head.group != self.former[1:]:
            return
        if head.group_state in ("open", "closing"):
            how = "is open"
            if head.stalled_s is not None:
                still_s = time.monotonic() - head.stalled_s
                how = f"stands still for {still_s:.2f} s and isn't broken"
            text = (
                f"TWO: {self.id} joins {key[0]} while {head.id}, "
                f"head of its group {self.former[1]}, {how}"
            )
            self.violations.append(text)
            self.record(text)

    async def _become(self, state: str, key, wait_s: float) -> None:
        await asyncio.sleep(wait_s)
        if self.group == key:
            self.group_state = state
            if self.last_model not in self.staged:
                self.staged = [self.last_model]  # A load has staged it.
            self.record(f"{self.id} is {state} in {key[0]}")
            self.changed()

    async def _load(self, model: str) -> None:
        wait_s = self.models[model]["loadS"]
        await asyncio.sleep(wait_s / (10 if self.loads_fast else 1))
        self.staged = [model]
        self.changed()

    def is_complete(self) -> bool:
        """Return whether all members of its group are in it."""
        return all(
            self.fleet[each].group == self.group for each in self.members
        )

    async def _watch(self) -> None:
        """A head that lost a member stands still, and breaks after a time."""
        while True:
            await asyncio.sleep(0.01)
            serves = self.group_state in ("open", "closing") and not self.rank
            if not serves or self.is_complete():
                self.stalled_s = None
            elif self.stalled_s is None:
                self.stalled_s = time.monotonic()
                self.record(f"{self.id} stands still")
            elif time.monotonic() - self.stalled_s >= STALL_S:
                self.group_state = "broken"
                self.record(f"{self.id} is broken")
                self.changed()

    async def run(self, request: Message, writer) -> None:
        """Serve a stream of a few events."""
        request_id = request.header("x-request-id")
        echo = [("X-Request-Id", request_id)]
        while self.stalled_s is not None:
            await asyncio.sleep(0.01)  # Nothing moves until it is broken.
        if self.rank or self.group_state != "open":
            status = 421 if self.rank else 503
            await self.answer(writer, status, [*echo, ("X-Not-Executed", "1")])
            return
        self.record(f"{self.id} runs {request_id}")
        after = request.header("last-event-id")
        first = int(after) + 1 if after.isdigit() else 1
        events = "".join(
            f"id: {number}\ndata: {request_id} {number}\n\n"
            for number in range(first, 6)
        ).encode()
        await asyncio.sleep(0.1)
        headers = [
            *echo,
            ("Content-Type", "text/event-stream"),
            ("X-Response-Seal", f"seal-{request_id}"),
        ]
        await self.answer(writer, 200, headers, events)


def run_case(folder: pathlib.Path, play) -> int:
    """Play a case and return its exit code; TROUBLE=0: no disruption."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"disruption: {'yes' if trouble else 'no'}")

    async def guarded() -> list[str]:
        # So that the processes are ended whatever ends this one.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(115):
            return await play(record, trouble)

    try:
        broken = asyncio.run(guarded())
    except (Exception, asyncio.CancelledError) as error:  # This is no result.
        record(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        return NOT_RUN
    for line in broken:
        record(f"broken: {line}")
        print(line)
    record("the rule was broken" if broken else "the rule held")
    return BROKEN if broken else HELD
