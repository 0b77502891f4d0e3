"""Randomized soak test of the real programs under injected faults.

Gateways and coordinators run as processes; backend servers and callers run
in this process. Run: python -m tests.platform.soak --first 0 --seeds 50
"""

import argparse
import asyncio
import collections.abc
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
import typing

import h11

from flamingocleat.connection import http
from tests import crowds
from tests.platform import answer_watch
from tests.platform import config_watch
from tests.platform import connection_faults
from tests.platform import control_faults  # noqa: F401 (registers faults)
from tests.platform import emulator
from tests.platform import faults as faults_module
from tests.platform import lethal_faults
from tests.platform import limit_faults  # noqa: F401 (registers faults)
from tests.platform import membership_faults  # noqa: F401 (registers faults)
from tests.platform import power_faults  # noqa: F401 (registers faults)
from tests.platform import stop_faults  # noqa: F401 (registers faults)

START_SCRIPT = pathlib.Path(__file__).with_name("start_linked.py")
PROGRAMS = pathlib.Path(__file__).resolve().parents[2]
"""Checkout whose programs are run if no other is named."""
COORDINATORS = 3
GATEWAYS = 2
OPERATORS = 2
ENGINES = 8
PLAIN_SERVERS = 2
CONTROL_PORT, VOTER_PORT, FRONT_PORT, READY_PORT = 7001, 7002, 7003, 7004
ENGINE_PORT, PROXY_PORT = 7005, 7006
LINK_CHECK_S = 0.05
SLOW_LINK_S = 0.1
"""Delay from which on a link between voters counts as slow: their heartbeats
have 0.3 s for both ways."""
LINK_PORT = 7100
"""First port of the proxies between voters."""
SETTLE_S = 20.0
"""Time limit for the first answers, and for answers after the last fault."""
DEADLINE_MS = 4000
CALM_S = 3.0
"""Time after a fault of a program in which bounds in time do not hold."""
LEAVE_S = 1.0
"""Time after which a server whose departure was acknowledged gets no call."""
WAIT_S = 2.0
WAIT_NOTICE_S = 0.5
"""Time within which a gateway heeds a wait that a server names."""
MAX_CALLS_IN_WAIT = 2
"""Calls of one gateway that may reach a server in its wait after that."""
EVACUATE_S = 1.5
"""Time after which an evacuated data centre gets no call."""
UNSTABLE_EVACUATE_S = 6.0
"""Added to that while coordinators are disturbed."""
CONTACT_S = 4.0
"""Time without a fault after which a gateway counts as in contact."""
REFILL_S = 6.0
"""Time without a fault after which a coordinator has a complete disk."""
OPERATOR_S = 5.0
"""Time within which an operator's call is answered by calm coordinators."""
SMALL_BUFFER_BYTES = 8192
"""Receive buffer of a caller that reads slowly."""
SPARE_ADDRESSES = 2
"""Addresses at which engines may return."""
MEMORY_MB = 120.0
"""Memory of each machine. A program uses 50 MB without a load."""
MAX_IDLE_ROUTES = 4500
FIRST_FILES = ("log", "vote", "voter", "snapshot")
"""Files that a coordinator writes in its first start, in this order."""
FIRST_WRITES_S = 3.0
"""Time within which it writes them."""
HOSTILE_CROWD = 12
"""Callers of a crowd, which together send more than a program may use."""
CROWD_BODY_BYTES = 4_194_304
LETHAL_CRASHES = 5
CROWD = 30
"""Callers that wait while engines return; they would fill all slots at once."""
CROWD_S = 4.0
MAX_LETHAL_ARRIVALS = 3
"""Requests with the lethal part that may reach engines later than CALM_S after
that many crashes."""

Action = faults_module.Action
FAULTS = faults_module.FAULTS
fault = faults_module.fault


def reserve_net() -> tuple[int, socket.socket]:
    """Return the second octet of a loopback range that no other run uses.

    The range is in use until the socket is closed.
    """
    for offset in range(200):
        net = 16 + (os.getpid() + offset) % 200
        lock = socket.socket()
        try:
            lock.bind((f"127.{net}.0.1", PROXY_PORT))
            for address in (
                (f"127.{net}.3.1", PROXY_PORT),
                (f"127.{net}.4.1", LINK_PORT),
            ):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind(address)
        except OSError:
            lock.close()
            continue
        return net, lock
    raise OSError("no part of the loopback range is free")


class Program:
    """A process of the system at its own loopback address."""

    def __init__(self, soak: "Soak", role: str, number: int) -> None:
        self.soak = soak
        self.role = role
        self.node = f"{role}-{number}"
        self.ip = f"127.{soak.net}.{1 if role == 'coordinator' else 2}.{number}"
        self.folder = soak.folder / self.node
        self.folder.mkdir()
        self.bootstrap = True
        self.links: dict[str, str] = {}
        """Proxies on its ways to voters, by the voters' addresses."""
        self.limits = {"memoryMb": MEMORY_MB}
        """Limits of its machine, in its settings."""
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        """Number of lifetimes."""
        self.start_times_s: list[float] = []
        """When each lifetime began."""
        self.disk_delay = self.folder / "disk-delay"
        """A file that holds the time that a sync takes, if it exists."""
        self.synced = self.folder / "synced"
        """A file with a line for each sync: inode and size."""
        self.last_fault_s = float("-inf")
        """When a fault was last injected."""
        self.disturbed_s: list[float] = []
        """Times of all faults except for planned stops and reloads."""
        self.signals: list[tuple[float, signal.Signals]] = []
        """Signals that it got, with their times."""
        self.is_paused = False
        self.is_removed = False
        """Whether its machine is gone for good."""
        self.restart_lock = asyncio.Lock()
        """Held from the end of a process until its replacement is started."""

    def address(self, port: int) -> str:
        return f"{self.ip}:{port}"

    async def start(self) -> None:
        """Start the process with the current settings."""
        if self.is_removed:
            return
        listen = {
            "control": self.address(CONTROL_PORT),
            "front": self.address(FRONT_PORT),
            "ready": self.address(READY_PORT),
        }
        data = self.folder / "data"
        data.mkdir(exist_ok=True)
        boot = {
            "node": self.node,
            "ip": self.ip,
            "zone": "z",
            "listen": listen,
            "internalPorts": [VOTER_PORT, VOTER_PORT],
            "seeds": self.soak.control,
            "bootstrap": self.bootstrap,
            "dataDir": str(data),
            "heartbeatMs": emulator.HEARTBEAT_INTERVAL_S * 1000,
            "zones": dict.fromkeys(emulator.DATA_CENTRES, "r"),
            "faultTolerance": {"machines": (len(self.soak.control) - 1) // 2},
            "bounds": {
                "stallMs": emulator.STALL_S * 1000,
                "graceS": 8,
                "evacuateMs": EVACUATE_S * 1000,
                "coldOvershoot": emulator.COLD_OVERSHOOT,
                "coldSlack": emulator.COLD_SLACK,
            },
            "limits": self.limits,
        }
        path = self.folder / "boot.json"
        path.write_text(json.dumps(boot))
        self.starts += 1
        self.start_times_s.append(time.monotonic())
        with open(self.folder / "log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(START_SCRIPT),
                self.role,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "FLAMINGOCLEAT_BOOT": str(path),
                    "SOAK_LINKS": json.dumps(self.links),
                    "SOAK_DISK_DELAY": str(self.disk_delay),
                    "SOAK_SYNCED": str(self.synced),
                    "SOAK_PROGRAMS": str(self.soak.programs),
                },
            )
        self.bootstrap = False

    def memory_mb(self) -> float:
        """Return the resident memory of the process; 0 if there is none."""
        if self.process is None:
            return 0.0
        path = pathlib.Path(f"/proc/{self.process.pid}/statm")
        try:
            pages = int(path.read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def is_calm(self, since_s: float) -> bool:
        """Return whether no fault has hit it since CALM_S before then."""
        return (
            not self.is_paused
            and not self.restart_lock.locked()
            and self.last_fault_s < since_s - CALM_S
        )

    def is_in_contact(self, at_s: float) -> bool:
        """Return whether no fault has hit it since CONTACT_S before then."""
        return (
            not self.is_paused
            and not self.restart_lock.locked()
            and self.last_fault_s < at_s - CONTACT_S
        )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        self.last_fault_s = time.monotonic()
        if number not in answer_watch.PLANNED:
            self.disturbed_s.append(self.last_fault_s)
        self.notify(number)

    def notify(self, number: signal.Signals) -> None:
        """Send a signal that is no fault to the process if it runs."""
        with contextlib.suppress(ProcessLookupError):
            assert self.process is not None
            self.process.send_signal(number)
            self.signals.append((time.monotonic(), number))

    async def end(self, number: signal.Signals) -> None:
        """Send a signal to the process and wait until it exits."""
        self.send(number)
        assert self.process is not None
        await self.process.wait()
        self.last_fault_s = time.monotonic()


class Caller:
    """A caller with a connection that is reused until it ends."""

    def __init__(
        self,
        calls: dict[str, answer_watch.Call] | None = None,
        model: str = "m",
    ) -> None:
        self.calls = {} if calls is None else calls
        """Receives each call, by its id."""
        self.kept: list[asyncio.StreamWriter] | None = None
        """Receives connections that are left open, if it is a list."""
        self.read_pause_s = 0.0
        """Time between two reads of an answer."""
        self.link_s = 0.0
        """Latency of the link to the gateway."""
        self.half_closes = False
        """Whether it closes its sending side after a whole request."""
        self.model = model
        self.connection: h11.Connection | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.gateway = ""
        """Address of the gateway to which it connected last."""

    async def open(self, address: str) -> None:
        """Connect if the address accepts connections."""
        self.gateway = address
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                self.reader, self.writer = await asyncio.open_connection(
                    host, int(port)
                )
        except (OSError, TimeoutError):
            return
        self.connection = h11.Connection(h11.CLIENT)
        if self.read_pause_s:
            self.writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
            )

    def close(self) -> None:
        if self.writer is not None:
            if self.kept is None:
                self.writer.close()
            else:
                self.kept.append(self.writer)
        self.connection = None

    async def request(
        self,
        path: str,
        request_id: str,
        parts: str = "",
        extra: collections.abc.Sequence[tuple[str, str]] = (),
        body: bytes = b"",
    ) -> tuple[http.Answer, bytes]:
        """Make one request; raise OSError, RemoteProtocolError or TimeoutError.

        The connection is kept if the answer allows it.
        """
        if self.connection is None or self.writer is None:
            raise ConnectionError("not connected")
        head = h11.Request(
            method="POST",
            target=path,
            headers=[
                ("host", "h"),
                ("x-request-id", request_id),
                ("x-request-deadline", str(DEADLINE_MS)),
                ("x-model", self.model),
                ("x-token-counts", "100,50"),
                ("x-prompt-prefix", f"{parts}{request_id}:50"),
                ("content-length", str(len(body))),
                *extra,
            ],
        )
        self.writer.write(self.connection.send(head) or b"")
        self.writer.write(self.connection.send(h11.Data(body)) or b"")
        self.writer.write(self.connection.send(h11.EndOfMessage()) or b"")
        call = self.calls[request_id] = answer_watch.Call(
            gateway=self.gateway,
            connection=str(self.writer.get_extra_info("sockname")),
            link_s=self.link_s,
            half_closes=self.half_closes,
            reads_slowly=self.read_pause_s > 0,
        )
        with call.record_end():
            if self.half_closes:
                self.writer.write_eof()
            async with asyncio.timeout(DEADLINE_MS / 1000 + 2):
                return await self._answer(self.connection, call)

    async def _answer(
        self, connection: h11.Connection, call: answer_watch.Call
    ) -> tuple[http.Answer, bytes]:
        answer, body = http.Answer(0, []), b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                if self.read_pause_s:
                    await asyncio.sleep(self.read_pause_s)
                connection.receive_data(await self.reader.read(65_536))
            elif isinstance(event, h11.Response):
                call.head_s = time.monotonic()
                headers = [(bytes(n), bytes(v)) for n, v in event.headers]
                answer = http.Answer(event.status_code, headers)
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                raise ConnectionError(f"the connection ended: {event!r}")
        is_done = connection.our_state is h11.DONE is connection.their_state
        if is_done and not self.half_closes:
            connection.start_next_cycle()
        else:
            self.close()
        return answer, body


class Soak:
    """A soak run with one seed."""

    front_port = FRONT_PORT
    contact_s = CONTACT_S

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        faults: dict[str, Action],
        coordinators: int = COORDINATORS,
        gateways: int = GATEWAYS,
        programs: pathlib.Path = PROGRAMS,
    ) -> None:
        self.seed = seed
        self.programs = programs
        """Checkout whose programs are run."""
        self.faults = faults
        self.random = random.Random(f"{seed} details")
        """Decides all but the order of the faults. Its draws interleave with
        the timing of the run."""
        self.net, self.net_lock = reserve_net()
        self.folder = folder
        self.invariants = emulator.InvariantLog()
        self.coordinators = [
            Program(self, "coordinator", n + 1) for n in range(coordinators)
        ]
        self.gateways = [
            Program(self, "gateway", n + 1) for n in range(gateways)
        ]
        if connection_faults.CROWD_FAULT in faults:
            for gateway in self.gateways:
                gateway.limits |= connection_faults.CROWDED_LIMITS
        self.voter_links: dict[tuple[int, int], emulator.Proxy] = {}
        """Proxies by the numbers of the calling voter and the called one."""
        self.fleet = emulator.Fleet(self.invariants, self.control, seed)
        if "return_together" in faults:
            self.fleet.cold_s = emulator.COLD_S
        self.proxies: list[emulator.Proxy] = []
        self.spare_proxies: list[emulator.Proxy] = []
        """Proxies at addresses that no server uses."""
        self.crashes_first_starts = "grow_configuration" in faults and (
            seed % 2 == 1
        )
        self.has_second_model = "burst" in faults
        """Whether there is a second model, as urgent calls for `burst` need.
        Seeds that once failed had one model."""
        self.idle_routes = 0
        """Routes of the configuration that nobody calls."""
        self.is_evacuating = False
        self.is_parting = False
        """Whether the members of a group are cut off."""
        self.calls: dict[str, answer_watch.Call] = {}
        """Calls to gateways, by their ids."""
        self.answer_watch = answer_watch.AnswerWatch(self)
        self.config_watch = config_watch.ConfigWatch(self)
        self.limits: dict[str, int] = {}
        """Limits on callers' requests in the configuration."""
        self.large_heads = 0
        """Requests with large heads that were answered."""
        self.limits_checked = 0
        """Named limits whose arrivals were checked."""
        self.served = 0
        self.refused = 0
        self.injected: list[str] = []
        """Names of the faults in order, with their times."""
        self.started_s = time.monotonic()
        self.stopping = False

    @property
    def control(self) -> list[str]:
        return [
            coordinator.address(CONTROL_PORT)
            for coordinator in self.coordinators
        ]

    @property
    def acknowledged(self) -> int:
        """The highest version that was acknowledged, or 0."""
        return max(0, self.config_watch.newest_acknowledged(time.monotonic()))

    async def _start_links(self) -> None:
        count = len(self.coordinators)
        pairs = [(i, j) for i in range(count) for j in range(count) if i != j]
        for number, (source, target) in enumerate(pairs):
            link = emulator.Proxy(
                f"127.{self.net}.4.1:{LINK_PORT + number}",
                self.coordinators[target].address(VOTER_PORT),
            )
            await link.start()
            self.voter_links[source, target] = link
            self.coordinators[source].links[link.target] = link.listen

    def new_caller(self) -> Caller:
        """Return a caller whose calls are recorded."""
        return Caller(self.calls)

    def gateway_of(self, request_id: str) -> str:
        """Return the address of the gateway that got a call."""
        call = self.calls.get(request_id)
        return call.gateway if call else ""

    @property
    def servers(self) -> list[emulator.Server]:
        return list(self.fleet.servers.values())

    def is_calm(self, since_s: float) -> bool:
        """Return whether all programs were in touch since then."""
        programs = (*self.coordinators, *self.gateways)
        return all(program.is_calm(since_s) for program in programs)

    async def run(self, duration_s: float) -> None:
        """Inject faults and record violations of the guarantees."""
        tasks: list[asyncio.Task] = []
        try:
            await self._start()
            tasks += [asyncio.create_task(self._call(n)) for n in range(6)]
            tasks.append(asyncio.create_task(self._watch_memory()))
            tasks.append(asyncio.create_task(self._watch_links()))
            tasks += self._watch_configuration()
            await self._wait_until_served("the first service")
            end_s = time.monotonic() + duration_s
            running: set[asyncio.Task] = set()
            for name, wait_s in faults_module.draw(self.seed, self.faults):
                at_s = time.monotonic() - self.started_s
                self.injected.append(f"{at_s:.2f} {name}")
                running.add(asyncio.create_task(self.faults[name](self)))
                await asyncio.sleep(wait_s)
                if time.monotonic() >= end_s:
                    break
            self._record_failures(
                await asyncio.gather(*running, return_exceptions=True)
            )
            await self._wait_until_served("service after the last fault")
            await self._check_readable()
        finally:
            self.stopping = True
            self._record_failures(
                await asyncio.gather(*tasks, return_exceptions=True)
            )
            await self.answer_watch.check()
            await self._stop()

    def _record_failures(
        self, outcomes: collections.abc.Iterable[typing.Any]
    ) -> None:
        for outcome in outcomes:
            if outcome is not None:
                self.invariants.record_violation("soak", repr(outcome))

    def _watch_configuration(self) -> list[asyncio.Task]:
        watch = self.config_watch
        work = [watch.operate() for _ in range(OPERATORS)]
        work += [watch.read(address) for address in self.control]
        work += [
            watch.probe(gateway, keeps_connection=keeps)
            for gateway in self.gateways
            for keeps in (False, True)
        ]
        return [asyncio.create_task(each) for each in work]

    @property
    def engines(self) -> list[emulator.Server]:
        return [each for each in self.servers if each.service == "llm"]

    async def find_leader(self) -> Program | None:
        """Return the coordinator that answers itself, if there is one."""
        for coordinator in self.coordinators:
            address = coordinator.address(CONTROL_PORT)
            try:
                answer, _ = await http.request(
                    address, "GET", "/api/Config.Get", timeout_s=0.5
                )
            except (http.ConnectError, http.BrokenAnswerError, TimeoutError):
                continue
            if answer.status == 200:
                return coordinator
        return None

    async def order_evacuation(self, action: str, data_centre: str) -> bool:
        """Make an operator's call until it is acknowledged.

        Records a violation if that takes too long. Returns False if the run
        ends before.
        """
        began_s = time.monotonic()
        path = f"/api/Evacuations.{action}/{data_centre}"
        while not self.stopping:
            address = self.random.choice(self.control)
            reply = await emulator.post(address, path, b"")
            if reply is not None and reply[0] == 200:
                taken_s = time.monotonic() - began_s
                if taken_s > OPERATOR_S and self.is_control_calm(began_s):
                    self.invariants.record_violation(
                        "operators are answered", f"{path}: {taken_s:.2f} s"
                    )
                return True
            if reply is not None and 400 <= reply[0] < 500:
                self.invariants.record_violation(
                    "accepted changes", f"{path}: {reply}"
                )
                return False
            await asyncio.sleep(0.1)
        return False

    def is_control_calm(self, since_s: float) -> bool:
        """Return whether no coordinator was disturbed since then."""
        return all(each.is_calm(since_s) for each in self.coordinators)

    def check_evacuation(
        self, data_centre: str, from_s: float, until_s: float
    ) -> None:
        """Record calls that gateways in contact sent to a data centre."""
        for at_s, place, request_id in self.invariants.calls:
            if place != data_centre or not from_s < at_s < until_s:
                continue
            if self.is_in_contact(request_id, at_s):
                self.invariants.record_violation(
                    "an evacuated data centre gets nothing",
                    f"{request_id} by {self.gateway_of(request_id)} "
                    f"reached {data_centre} {at_s - from_s:.2f} s after the "
                    "bound",
                )

    def is_in_contact(self, request_id: str, at_s: float) -> bool:
        """Return whether the gateway of a call was in contact then."""
        address = self.gateway_of(request_id)
        return any(
            each.is_in_contact(at_s)
            for each in self.gateways
            if each.address(FRONT_PORT) == address
        )

    def may_lose_disk(self) -> bool:
        """Return whether each coordinator has had time to fill its disk."""
        now_s = time.monotonic()
        return all(
            now_s - each.last_fault_s >= REFILL_S for each in self.coordinators
        )

    def is_control_in_contact(self, at_s: float) -> bool:
        """Return whether all coordinators were in contact then."""
        return all(each.is_in_contact(at_s) for each in self.coordinators)

    async def _watch_memory(self) -> None:
        """Record programs that use more memory than their machines have."""
        while not self.stopping:
            for program in (*self.coordinators, *self.gateways):
                used_mb = program.memory_mb()
                if used_mb > MEMORY_MB:
                    self.invariants.record_violation(
                        "memory", f"{program.node} uses {used_mb:.0f} MB"
                    )
                    return
            await asyncio.sleep(0.2)

    async def _watch_links(self) -> None:
        """Count links between voters as disturbed while they are slow.

        Their proxies run in this process, which other work may hold up.
        """
        while not self.stopping:
            due_s = time.monotonic() + LINK_CHECK_S
            await asyncio.sleep(LINK_CHECK_S)
            if time.monotonic() - due_s > answer_watch.LAG_S:
                self.answer_watch.lags_s.append(time.monotonic())
            if time.monotonic() - due_s > SLOW_LINK_S:
                for coordinator in self.coordinators:
                    coordinator.last_fault_s = time.monotonic()

    async def _crash_first_starts(self) -> None:
        """Kill all coordinators, each after one of its first writes."""
        name = self.random.choice(FIRST_FILES)
        waiting = {
            each: each.folder / "data" / name for each in self.coordinators
        }
        end_s = time.monotonic() + FIRST_WRITES_S
        while waiting and time.monotonic() < end_s:
            for program, path in list(waiting.items()):
                if path.exists():
                    program.send(signal.SIGKILL)
                    del waiting[program]
            await asyncio.sleep(0)
        for coordinator in self.coordinators:
            await coordinator.end(signal.SIGKILL)
            coordinator.bootstrap = True
            await coordinator.start()

    async def _start(self) -> None:
        await self._start_links()
        for program in (*self.coordinators, *self.gateways):
            await program.start()
        if self.crashes_first_starts:
            self.injected.append("0.00 crash_first_starts")
            await self._crash_first_starts()
        for number in range(ENGINES + PLAIN_SERVERS + SPARE_ADDRESSES):
            ip = f"127.{self.net}.3.{number + 1}"
            service = "llm" if number < ENGINES else "desk"
            proxy = emulator.Proxy(f"{ip}:{PROXY_PORT}", f"{ip}:{ENGINE_PORT}")
            await proxy.start()
            self.proxies.append(proxy)
            if number >= ENGINES + PLAIN_SERVERS:
                self.spare_proxies.append(proxy)
                continue
            server = await self.fleet.add(
                service, f"d{number % 2}", proxy.target
            )
            server.announced, server.proxy = proxy.listen, proxy

    async def _stop(self) -> None:
        for task in self.fleet.restarts:
            task.cancel()
        for server in self.servers:
            server.crash()
        for proxy in self.proxies:
            await proxy.close()
        await asyncio.sleep(2 * emulator.ACCEPT_S)
        for program in (*self.coordinators, *self.gateways):
            if program.process is not None:
                program.send(signal.SIGKILL)
                await program.process.wait()
        for link in self.voter_links.values():
            await link.close()
        await asyncio.sleep(2 * emulator.ACCEPT_S)
        self.net_lock.close()

    # The operator.

    def config(self, version: int) -> dict:
        """Return a configuration in the platform's format."""
        route = {
            "host": "h",
            "timeoutMs": DEADLINE_MS,
            "targetLatencyMs": 400,
            "allowAnonymous": True,
        }
        cold_rate = {
            "coldStartS": emulator.COLD_S,
            "coldPerS": emulator.COLD_PER_S,
        }
        if not self.fleet.cold_s:
            cold_rate = {}
        return {
            "version": version,
            "routes": [
                {
                    **route,
                    "name": "s",
                    "pathPrefix": "/s/",
                    "kind": "stream",
                    "service": "llm",
                    "maxAttempts": 3,
                    "streamResume": True,
                    "targetGapMs": 300,
                },
                {
                    **route,
                    "name": "b",
                    "pathPrefix": "/b/",
                    "kind": "stream",
                    "service": "llm",
                    "maxAttempts": 3,
                    "streamResume": True,
                    "targetGapMs": 300,
                    "priority": 0,
                },
                {
                    **route,
                    "name": "u",
                    "pathPrefix": "/u/",
                    "kind": "non_idempotent",
                    "service": "desk",
                    "maxAttempts": 3,
                },
                *(
                    [{**route, **lethal_faults.ROUTE}]
                    if self.faults.keys() & lethal_faults.NEW_FAULTS
                    else []
                ),
                *(
                    {
                        **route,
                        "name": f"idle-{number}",
                        "pathPrefix": f"/idle{number}/",
                        "kind": "read_only",
                        "service": "desk",
                    }
                    for number in range(self.idle_routes)
                ),
            ],
            "services": [
                {"name": "llm", "engine": self._engine(), **cold_rate},
                {"name": "desk"},
            ],
            "limits": self.limits,
        }

    def _engine(self) -> dict:
        if not self.has_second_model:
            return _ENGINE
        return {**_ENGINE, "models": [*_ENGINE["models"], _SECOND_MODEL]}

    async def _check_readable(self) -> None:
        end_s = time.monotonic() + SETTLE_S
        while time.monotonic() < end_s:
            for address in self.control:
                reply = await emulator.post(
                    address, "/api/Config.Get", b"", "GET"
                )
                if reply is not None and reply.status == 200:
                    self.config_watch.check_read(
                        reply.content, self.acknowledged, address
                    )
                    self.config_watch.check_end()
                    return
            await asyncio.sleep(0.2)
        self.invariants.record_violation(
            "accepted changes", "nothing is read back"
        )

    # Callers.

    async def _call(self, number: int) -> None:
        """Make calls one after the other until the run stops."""
        caller = Caller(self.calls)
        count = 0
        while not self.stopping:
            count += 1
            request_id = f"{self.seed}-{number}-{count}"
            if caller.connection is None:
                gateway = self.random.choice(self.gateways)
                await caller.open(gateway.address(FRONT_PORT))
            try:
                if number < 4:
                    await self.stream(caller, request_id)
                else:
                    await self.call_once(caller, request_id)
            except (OSError, h11.RemoteProtocolError, TimeoutError):
                caller.close()
                await asyncio.sleep(0.1)
        caller.close()

    async def stream(
        self, caller: "Caller", request_id: str, path: str = "/s/x"
    ) -> None:
        """Make one call whose answer is a stream."""
        parts = f"caller-{request_id.split('-')[1]}:50,"
        answer, body = await caller.request(path, request_id, parts)
        if answer.status != 200:
            self._record_refusal(answer)
            await asyncio.sleep(0.1)
            return
        whole = b"".join(
            emulator.event(request_id, n + 1) for n in range(emulator.EVENTS)
        )
        if body != whole:
            self.invariants.record_violation(
                "the whole answer", f"{request_id}: {body!r}"
            )
        self.served += 1

    async def call_once(self, caller: "Caller", request_id: str) -> None:
        """Make one call that may run at most once."""
        answer, body = await caller.request("/u/x", request_id)
        if answer.status == 200:
            if body != f"filed {request_id}".encode():
                self.invariants.record_violation(
                    "the whole answer", f"{request_id}: {body!r}"
                )
            return
        self._record_refusal(answer)
        if answer.status in (408, 421, 429, 503):
            # A call in transit could still arrive.
            await asyncio.sleep(0.3)
            if self.invariants.runs[request_id]:
                self.invariants.record_violation(
                    "not run is true", f"{request_id}: {answer.status}"
                )

    def _record_refusal(self, answer: http.Answer) -> None:
        self.refused += 1
        if answer.status in (400, 401, 403, 404) and self.acknowledged:
            self.invariants.record_violation(
                "proper requests", f"status {answer.status}"
            )

    async def _wait_until_served(self, phase: str) -> None:
        served = self.served
        end_s = time.monotonic() + SETTLE_S
        while self.served < served + 5:
            if time.monotonic() > end_s:
                self.invariants.record_violation(
                    "recovery", f"no {phase} in {SETTLE_S} s"
                )
                return
            await asyncio.sleep(0.1)


_ENGINE = {
    "slots": 8,
    "step_ms": 5.0,
    "far_x": 2.0,
    "formMs": emulator.FORM_S * 1000,
    "loadsPerS": 5.0,
    "loads_at_once": 4,
    "read_per_s": 40_000.0,
    "models": [
        {
            "name": "m",
            "size": 2,
            "share": 1.0,
            "loadS": emulator.LOAD_S,
            "warmS": emulator.WARM_S,
        }
    ],
}


_SECOND_MODEL = {
    "name": "n",
    "size": 1,
    "share": 0.2,
    "loadS": emulator.LOAD_S,
    "warmS": emulator.WARM_S,
}
BURST_CALLERS = 24
"""Three times the slots of a group of the second model, which has one or two
groups at first."""
FILLING_CALLERS = 48
"""One and a half times the slots of the groups of the first model."""


@fault
async def burst(soak: Soak) -> None:
    """Let urgent calls of the second model come in a burst."""
    await _press(soak, "n", "/b/x", BURST_CALLERS, "burst")


@fault
async def fill_groups(soak: Soak) -> None:
    """Let more streams of the first model come than its groups have slots."""
    await _press(soak, "m", "/s/x", FILLING_CALLERS, "fill")


async def _press(
    soak: Soak, model: str, path: str, callers: int, name: str
) -> None:
    """Let callers make calls of a model one after the other for a while."""
    end_s = time.monotonic() + soak.random.uniform(2.0, 5.0)
    gateways = [soak.random.choice(soak.gateways) for _ in range(callers)]

    async def call(number: int) -> None:
        caller = Caller(soak.calls, model)
        count = 0
        while time.monotonic() < end_s and not soak.stopping:
            count += 1
            request_id = f"{soak.seed}-{name}{number}-{end_s}-{count}"
            if caller.connection is None:
                await caller.open(gateways[number].address(FRONT_PORT))
            try:
                await soak.stream(caller, request_id, path)
            except (OSError, h11.RemoteProtocolError, TimeoutError):
                caller.close()
                await asyncio.sleep(0.1)
        caller.close()

    await asyncio.gather(*map(call, range(callers)))


@fault
async def kill(soak: Soak) -> None:
    """Kill a process and start it again."""
    program = soak.random.choice([*soak.coordinators, *soak.gateways])
    async with program.restart_lock:
        await program.end(signal.SIGKILL)
        await asyncio.sleep(soak.random.uniform(0.0, 1.0))
        await program.start()


@fault
async def stop(soak: Soak) -> None:
    """Stop a process with SIGTERM and start it again."""
    program = soak.random.choice([*soak.coordinators, *soak.gateways])
    async with program.restart_lock:
        await program.end(signal.SIGTERM)
        await program.start()


@fault
async def pause(soak: Soak) -> None:
    """Suspend a process for a while."""
    program = soak.random.choice([*soak.coordinators, *soak.gateways])
    program.send(signal.SIGSTOP)
    program.is_paused = True
    await asyncio.sleep(soak.random.uniform(0.2, 4.0))
    program.is_paused = False
    program.send(signal.SIGCONT)


@fault
async def kill_control(soak: Soak) -> None:
    """Kill all coordinators at once."""
    async with contextlib.AsyncExitStack() as stack:
        for coordinator in soak.coordinators:
            await stack.enter_async_context(coordinator.restart_lock)
        await asyncio.gather(
            *(
                coordinator.end(signal.SIGKILL)
                for coordinator in soak.coordinators
            )
        )
        for coordinator in soak.coordinators:
            await coordinator.start()


@fault
async def lose_disk(soak: Soak) -> None:
    """Restart a coordinator with an empty disk.

    Does nothing if a fault hit any coordinator shortly before.
    """
    coordinator = soak.random.choice(soak.coordinators)
    if not soak.may_lose_disk():
        return
    async with coordinator.restart_lock:
        # Another fault may have held the lock meanwhile.
        if not soak.may_lose_disk():
            return
        await coordinator.end(signal.SIGKILL)
        shutil.rmtree(coordinator.folder / "data")
        await coordinator.start()


@fault
async def crash_server(soak: Soak) -> None:
    """Crash a backend server and start it as a new incarnation."""
    configured = [each for each in soak.servers if each.service != "other"]
    server = soak.random.choice(configured)
    if server.is_alive:
        server.crash()
        await asyncio.sleep(soak.random.uniform(0.1, 3.0))
        await server.restart_if_down()


@fault
async def mute_server(soak: Soak) -> None:
    """Lose the announcements of a backend server for a while."""
    server = soak.random.choice(soak.servers)
    server.announcements_lost = True
    await asyncio.sleep(soak.random.uniform(0.5, 4.0))
    server.announcements_lost = False


@fault
async def lose_answers(soak: Soak) -> None:
    """Let a plain backend server run calls and lose their answers."""
    plain_servers = [each for each in soak.servers if each.service == "desk"]
    server = soak.random.choice(plain_servers)
    server.loses_answers = True
    await asyncio.sleep(soak.random.uniform(0.5, 2.0))
    server.loses_answers = False


@fault
async def cut_link(soak: Soak) -> None:
    """Drop bytes to or from a backend server, in one direction or both."""
    proxy = soak.random.choice(soak.proxies)
    directions = soak.random.choice(["up", "down", "up down"])
    proxy.dropped_directions = set(directions.split())
    await asyncio.sleep(soak.random.uniform(0.3, 3.0))
    proxy.restore()


@fault
async def delay_link(soak: Soak) -> None:
    """Slow the link to a backend server."""
    proxy = soak.random.choice(soak.proxies)
    proxy.delay_s = soak.random.uniform(0.01, 0.3)
    await asyncio.sleep(soak.random.uniform(0.5, 2.0))
    proxy.restore()


@fault
async def reset_link(soak: Soak) -> None:
    """Reset the connections to ten randomly chosen backend servers."""
    for _ in range(10):
        soak.random.choice(soak.proxies).reset()
        await asyncio.sleep(0.1)


@fault
async def leave_server(soak: Soak) -> None:
    """Let a plain server leave; an announcement of it arrives late."""
    plain_servers = [each for each in soak.servers if each.service == "desk"]
    if any(each.is_leaving or not each.is_alive for each in plain_servers):
        return
    server = soak.random.choice(plain_servers)
    late = json.dumps(server.heartbeat_body()).encode()
    while not await server.leave():
        if not server.is_alive:
            return
        await asyncio.sleep(0.2)
    left_s = time.monotonic()
    await asyncio.sleep(soak.random.uniform(0.1, 3.0))
    await server.deliver(late)
    await asyncio.sleep(soak.random.uniform(0.5, 2.0))
    last_s = max(server.arrivals_s, default=0.0)
    if last_s > left_s + LEAVE_S and soak.is_calm(left_s):
        soak.invariants.record_violation(
            "a server that left gets nothing",
            f"{server.name}: a call {last_s - left_s:.2f} s after it",
        )
    if server.is_leaving and server.is_alive:
        server.crash()
        await server.restart()


@fault
async def ask_to_wait(soak: Soak) -> None:
    """Let a plain server refuse calls and name a wait."""
    plain_servers = [each for each in soak.servers if each.service == "desk"]
    server = soak.random.choice(plain_servers)
    if server.wait_s:
        return
    name = server.name
    server.wait_s = WAIT_S
    began_s = time.monotonic()
    await asyncio.sleep(WAIT_S)
    server.wait_s = 0.0
    first_s = min((t for t in server.arrivals_s if t > began_s), default=0.0)
    late = [t for t in server.arrivals_s if t > first_s + WAIT_NOTICE_S]
    if (
        len(late) > GATEWAYS * MAX_CALLS_IN_WAIT
        and server.name == name
        and first_s
        and soak.is_calm(began_s)
    ):
        soak.invariants.record_violation(
            "a server that waits gets nothing", f"{name}: {len(late)} calls"
        )


@fault
async def send_lethal_prompts(soak: Soak) -> None:
    """Send requests with a part that crashes engines, to any gateway."""
    caller = Caller(soak.calls)
    for count in range(8):
        gateway = soak.random.choice(soak.gateways)
        await caller.open(gateway.address(FRONT_PORT))
        request_id = f"{soak.seed}-lethal-{time.monotonic()}-{count}"
        parts = (
            f"caller-{soak.random.randrange(4)}:50,{emulator.LETHAL_PART}:9,"
        )
        with contextlib.suppress(
            OSError, h11.RemoteProtocolError, TimeoutError
        ):
            await caller.request("/s/x", request_id, parts)
        caller.close()
        await asyncio.sleep(soak.random.uniform(0.05, 0.4))
    crashes_s = soak.invariants.lethal_crashes_s
    if len(crashes_s) < LETHAL_CRASHES:
        return
    bound_s = crashes_s[LETHAL_CRASHES - 1] + CALM_S
    late = [t for t in soak.invariants.lethal_arrivals_s if t > bound_s]
    if len(late) > MAX_LETHAL_ARRIVALS and soak.is_calm(bound_s):
        soak.invariants.record_violation(
            "lethal prompts are kept from engines", f"{len(late)} arrived"
        )


@fault
async def return_together(soak: Soak) -> None:
    """Lose all engines at once; they return cold while many callers wait."""
    engines = [each for each in soak.engines if each.is_alive]
    for server in engines:
        server.crash()
    await asyncio.sleep(soak.random.uniform(0.3, 1.5))
    for server in engines:
        await server.restart_if_down()
    end_s = time.monotonic() + CROWD_S

    async def call(number: int) -> None:
        caller = Caller(soak.calls)
        gateway = soak.gateways[number % len(soak.gateways)]
        count = 0
        while time.monotonic() < end_s:
            count += 1
            if caller.connection is None:
                await caller.open(gateway.address(FRONT_PORT))
            request_id = f"{soak.seed}-crowd-{end_s}-{number}-{count}"
            try:
                answer, _ = await caller.request("/s/x", request_id)
                if answer.status != 200:
                    await asyncio.sleep(0.1)
            except (OSError, h11.RemoteProtocolError, TimeoutError):
                caller.close()
                await asyncio.sleep(0.1)
        caller.close()

    await asyncio.gather(*(call(number) for number in range(CROWD)))


@fault
async def drop_lengths(soak: Soak) -> None:
    """Let an engine's streams end with their connections."""
    server = soak.random.choice(soak.engines)
    server.has_length = False
    await asyncio.sleep(soak.random.uniform(3.0, 8.0))
    server.has_length = True


@fault
async def stand_still(soak: Soak) -> None:
    """Let an engine write nothing for a while, and go on."""
    server = soak.random.choice(soak.engines)
    server.stands_still = True
    await asyncio.sleep(soak.random.uniform(0.4, 2.5))
    server.stands_still = False


@fault
async def slow_down(soak: Soak) -> None:
    """Let some servers answer slowly for some seconds."""
    servers = soak.random.sample(list(soak.fleet.servers.values()), 3)
    for server in servers:
        server.slowness = soak.random.uniform(2.0, 5.0)
    await asyncio.sleep(soak.random.uniform(1.0, 6.0))
    for server in servers:
        server.slowness = 1.0


@fault
async def delay_announcements(soak: Soak) -> None:
    """Let announcements of some engines arrive late and out of order."""
    servers = soak.random.sample(soak.engines, 3)
    for server in servers:
        server.late_s = soak.random.uniform(0.5, 3.0)
    await asyncio.sleep(soak.random.uniform(1.0, 4.0))
    for server in servers:
        server.late_s = 0.0


@fault
async def lose_leader_beside_late_announcements(soak: Soak) -> None:
    """Kill the leader as an engine is lost and announcements are late."""
    servers = soak.random.sample(soak.engines, 4)
    for server in servers:
        server.late_s = soak.random.uniform(1.0, 3.0)
    lost = soak.random.choice(soak.engines)
    if lost.is_alive:
        lost.crash()
    await asyncio.sleep(soak.random.uniform(0.0, 1.5))
    leader = await soak.find_leader()
    if leader is not None:
        async with leader.restart_lock:
            await leader.end(signal.SIGKILL)
            await asyncio.sleep(soak.random.uniform(0.0, 2.0))
            await leader.start()
    await asyncio.sleep(soak.random.uniform(1.0, 3.0))
    for server in servers:
        server.late_s = 0.0
    await lost.restart_if_down()


@fault
async def return_elsewhere(soak: Soak) -> None:
    """Let an engine return under its id while its address serves others.

    Nothing is sent to the other service, which is not configured.
    """
    server = soak.random.choice(soak.engines)
    spare = next((each for each in soak.spare_proxies), None)
    if not server.is_alive or spare is None or server.is_leaving:
        return
    soak.spare_proxies.remove(spare)
    name, address, announced = server.name, server.address, server.announced
    server.is_moving = True
    server.crash()
    await asyncio.sleep(soak.random.uniform(0.3, 1.0))
    other = await soak.fleet.add("other", server.domain, address)
    other.announced, other.proxy = announced, server.proxy
    await other.proxy.start()
    await asyncio.sleep(soak.random.uniform(0.5, 1.5))
    server.address, server.announced = spare.target, spare.listen
    server.proxy = spare
    await server.restart(name)
    server.is_moving = False
    await asyncio.sleep(soak.random.uniform(2.0, 6.0))
    other.crash()
    del soak.fleet.servers[other.name]
    await other.proxy.start()
    soak.spare_proxies.append(other.proxy)


@fault
async def grow_configuration(soak: Soak) -> None:
    """Let the configuration grow by many routes for the rest of the run."""
    soak.idle_routes = min(soak.idle_routes + 1500, MAX_IDLE_ROUTES)
    await asyncio.sleep(0)


@fault
async def evacuate(soak: Soak) -> None:
    """Evacuate a data centre and reinstate it after a while."""
    if soak.is_evacuating:
        return
    soak.is_evacuating = True
    data_centre = soak.random.choice(emulator.DATA_CENTRES)
    began_s = time.monotonic()
    if await soak.order_evacuation("Start", data_centre):
        acknowledged_s = time.monotonic()
        await asyncio.sleep(soak.random.uniform(2.0, 8.0))
        bound_s = EVACUATE_S
        if not soak.is_control_calm(began_s):
            bound_s += UNSTABLE_EVACUATE_S
        soak.check_evacuation(
            data_centre, acknowledged_s + bound_s, time.monotonic()
        )
    await soak.order_evacuation("Finish", data_centre)
    soak.is_evacuating = False


async def send_crowd(soak: Soak) -> None:
    """Let a crowd of callers fill a gateway or coordinator.

    The check of memory holds meanwhile, and calls of other callers go on. The
    crowd's requests have no ids by which their runs could be told apart, so no
    route leads them to a server.
    """
    program = soak.random.choice([*soak.coordinators, *soak.gateways])
    port = FRONT_PORT if program.role == "gateway" else CONTROL_PORT
    target = crowds.Target(program.ip, port, "/none", CROWD_BODY_BYTES)
    caller = crowds.CALLERS[soak.random.choice(sorted(crowds.CALLERS))]
    program.last_fault_s = time.monotonic()
    program.disturbed_s.append(program.last_fault_s)
    await crowds.play(
        target, caller, HOSTILE_CROWD, soak.random.uniform(1.0, 3.0)
    )
    program.last_fault_s = time.monotonic()
    program.disturbed_s.append(program.last_fault_s)


async def run_seed(
    seed: int,
    duration_s: float,
    folder: pathlib.Path,
    faults: dict[str, Action] = FAULTS,
    coordinators: int = COORDINATORS,
    gateways: int = GATEWAYS,
    programs: pathlib.Path = PROGRAMS,
) -> Soak:
    """Run one seed; SIGTERM ends everything that it started."""
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    soak = Soak(seed, folder, faults, coordinators, gateways, programs)
    try:
        await soak.run(duration_s)
    finally:
        loop.remove_signal_handler(signal.SIGTERM)
    return soak


def main() -> int:
    """Run seeds one after the other; return 1 after any violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=12.0)
    parser.add_argument("--coordinators", type=int, default=COORDINATORS)
    parser.add_argument("--gateways", type=int, default=GATEWAYS)
    parser.add_argument("--only", help="names of faults, separated by commas")
    parser.add_argument("--keep", help="folder for the logs of failed seeds")
    parser.add_argument(
        "--programs",
        type=pathlib.Path,
        default=PROGRAMS,
        help="checkout whose programs are run, such as an earlier landing",
    )
    options = parser.parse_args()
    names = options.only.split(",") if options.only else sorted(FAULTS)
    faults = {name: FAULTS[name] for name in names}
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            soak = asyncio.run(
                run_seed(
                    seed,
                    options.duration_s,
                    path,
                    faults,
                    options.coordinators,
                    options.gateways,
                    options.programs.resolve(),
                )
            )
            print(
                f"seed={seed} served={soak.served} refused={soak.refused} "
                f"version={soak.acknowledged} faults={len(soak.injected)} "
                f"cold={soak.invariants.cold_arrivals} "
                f"{lethal_faults.describe(soak)} "
                f"probes={soak.config_watch.probes} "
                f"{soak.answer_watch.summary()} "
                f"broken={len(soak.invariants.violations)}",
                flush=True,
            )
            findings = [*soak.answer_watch.lost, *soak.answer_watch.overdue]
            if findings:
                print("\n".join(findings))
            if soak.invariants.violations:
                failed += 1
                print("\n".join([*soak.injected, *soak.invariants.violations]))
            if options.keep and (soak.invariants.violations or findings):
                logs_copy = pathlib.Path(options.keep) / f"seed-{seed}"
                shutil.copytree(path, logs_copy, dirs_exist_ok=True)
    print(f"{failed} of {options.seeds} seeds broke a promise")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
