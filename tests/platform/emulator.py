"""Emulates the platform around the real programs.

Backend servers announce themselves, take orders, form groups and answer
calls in the platform's wire format. They record each violation of a
guarantee. Times are shorter than the platform's, in the same proportion.
"""

import asyncio
import collections
import collections.abc
import contextlib
import json
import os
import random
import socket
import struct
import time
import typing

from flamingocleat.connection import http
from flamingocleat.version import catalog
from tests.platform import answer_watch

HEARTBEAT_INTERVAL_S = 0.4
STALL_S = 1.2
LOAD_S = 1.0
WARM_S = 0.2
REJOIN_S = 0.05
FORM_S = 0.1
EVENT_S = 0.03
EVENTS = 24
SEAL_HEADER = (b"x-response-seal", b"seal")
SERVING_STATES = ("open", "closing")
_RESET = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket resets its connection."""
LETHAL_PART = "dead"
"""Part of a prompt that crashes each engine that begins to write on it."""
WIDE = "wide"
"""Part of the id of a call whose answer fills the buffers of a connection."""
WIDE_BYTES = 15_000
RESTART_S = 1.0
READ_PREFIX = "/r/"
"""Path of calls to plain servers that may run more than once."""
MAX_QUEUE_S = 0.5
"""How long a lethal request waits at most before it begins to run."""
DATA_CENTRES = ("z0", "z1")
"""The domains d0 and d1 are in these."""
MAX_HEAD_BYTES = 1_048_576
"""Size of the largest head that a server accepts."""
QUEUE_FILLERS = 4
"""Connections that fill a queue for one connection."""
ACCEPT_S = 0.1
"""Time for which connections may still be in the course of being accepted."""
COLD_S = 3.0
"""How long engines are cold after their start, in runs with cold engines."""
COLD_PER_S, COLD_OVERSHOOT, COLD_SLACK = 8.0, 1.5, 4.0
MAX_COLD_ARRIVALS = int(COLD_PER_S * COLD_OVERSHOOT + COLD_SLACK)
"""Requests that a cold engine tolerates in any second."""


def event(request_id: str, number: int) -> bytes:
    """Return one event of the answer to a request."""
    filling = "x" * WIDE_BYTES if request_id.endswith(WIDE) else ""
    return f"id: {number}\ndata: {request_id} {number}{filling}\n\n".encode()


def reset_when_closed(transport: asyncio.BaseTransport) -> None:
    """Let a connection end with a reset, as one that breaks does."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)


class UnframedAnswer:
    """An answer without a length, which ends with its connection."""

    def __init__(self, exchange: http.Exchange) -> None:
        self.exchange = exchange
        self.transport = exchange.connection.transport
        reset_when_closed(self.transport)

    def start(self, status: int, headers: http.Headers) -> None:
        lines = [b"HTTP/1.1 %d X" % status, b"connection: close"]
        lines += [b": ".join(header) for header in headers]
        self.transport.write(b"\r\n".join(lines) + b"\r\n\r\n")

    async def send(self, data: bytes) -> None:
        self.transport.write(data)

    async def finish(self) -> None:
        """End the connection in order."""
        while self.transport.get_write_buffer_size():
            await asyncio.sleep(0.01)
        sock = self.transport.get_extra_info("socket")
        linger = struct.pack("ii", 0, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.exchange.finished = True


class InvariantLog:
    """Records runs of calls and violations of guarantees."""

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        """Runs of calls that may run at most once, by request id."""
        self.violations: list[str] = []
        self.lethal_arrivals_s: list[float] = []
        """When requests with the lethal part reached engines."""
        self.lethal_crashes_s: list[float] = []
        self.calls: list[tuple[float, str, str]] = []
        """Time, data centre and id of each call that reached a server."""
        self.runs_by_call: dict[str, list[answer_watch.Run]] = {}
        """What servers did with each call, by its id."""
        self.cold_arrivals = 0
        """Requests that reached cold engines."""
        self.ends_beside: collections.Counter[bytes] = collections.Counter()
        """Servers that ended with a body in flight since its last answer."""

    def record_violation(self, guarantee: str, detail: str) -> None:
        """Record the violation of a guarantee."""
        self.violations.append(f"{guarantee}: {detail}")


class Lethal(typing.Protocol):
    """A request that ends each server that begins to run it."""

    def record_arrival(self, request_id: str) -> None: ...

    def record_end(self) -> None: ...


class Fleet:
    """All backend servers of a deployment."""

    def __init__(
        self, invariants: InvariantLog, control: list[str], seed: int
    ) -> None:
        self.invariants = invariants
        self.control = control
        self.random = random.Random(seed)
        self.servers: dict[str, Server] = {}
        self.cold_s = 0.0
        """How long engines are cold after their start."""
        self.restarts: set[asyncio.Task] = set()
        self.lethal_requests: dict[bytes, Lethal] = {}
        """Lethal requests by their bodies."""
        self.leaves_unanswered: (
            collections.abc.Callable[[Server, dict], bool] | None
        ) = None
        """Decides which orders a server neither answers nor carries out."""

    def restart_later(self, server: "Server", delay_s: float) -> None:
        """Start a server that crashed again after a while."""

        async def restart() -> None:
            await asyncio.sleep(delay_s)
            await server.restart_if_down()

        task = asyncio.create_task(restart())
        self.restarts.add(task)
        task.add_done_callback(self.restarts.discard)

    async def add(self, service: str, domain: str, address: str) -> "Server":
        """Start a backend server and add it."""
        server = Server(self, service, domain, address)
        self.servers[server.name] = server
        await server.start()
        return server


class Server:
    """A backend server: an engine that joins groups, or a plain one."""

    def __init__(
        self, fleet: Fleet, service: str, domain: str, address: str
    ) -> None:
        self.fleet = fleet
        self.service = service
        self.domain = domain
        self.data_centre = f"z{domain.removeprefix('d')}"
        self.address = address
        """The address at which it listens."""
        self.announced = address
        """The address that it announces: a proxy's, or its own."""
        self.proxy: Proxy | None = None
        """The proxy at that address, which refuses connections while the server
        is down."""
        self.incarnation_count = 0
        self.staged = ""
        self.announcements_lost = False
        """Whether its announcements are lost."""
        self.loses_answers = False
        """Whether it runs calls but ends the connection without an answer."""
        self.wait_s = 0.0
        """The Retry-After with which it refuses calls; 0 if it takes them."""
        self.has_length = True
        """Whether its streams have a length or chunks."""
        self.stands_still = False
        """Whether its streams write nothing for now."""
        self.slowness = 1.0
        """Factor on the times that its answers take."""
        self.limit_per_s: float | None = None
        """The limit that its answers name."""
        self.limited_calls: list[tuple[float, str]] = []
        """Time and id of the calls that reached it while it named a limit."""
        self.limited_answers: list[tuple[float, str]] = []
        """The same of its answers that named it."""
        self.restart_lock = asyncio.Lock()
        self.is_moving = False
        """Whether it is down, and will start at another address."""
        self.late_s = 0.0
        """How late its announcements arrive at most, each by itself."""
        self.is_leaving = False
        self.arrivals_s: list[float] = []
        """When calls reached it, in its current incarnation."""
        self.tasks: set[asyncio.Task] = set()
        self.bodies: collections.Counter[bytes] = collections.Counter()
        """Bodies of the calls in flight."""
        self.reset_state()

    def reset_state(self, name: str = "") -> None:
        """Begin a new incarnation; only weights on the VM are kept."""
        self.incarnation_count += 1
        self.name = (
            name or f"{self.service}-{self.address}-{self.incarnation_count}"
        )
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.orders = 0
        """Number of orders that it has begun."""
        self.is_alive = False
        self.last_model = ""
        self.group = ""
        self.epoch = -1
        self.rank = 0
        self.state = ""
        self.members: tuple[str, ...] = ()
        self.last_group: tuple[str, int] | None = None
        self.ready_epochs: set[int] = set()
        self.stalled_since_s: float | None = None
        self.heartbeat_url = ""
        self.is_leaving = False
        self.arrivals_s = []
        self.limit_per_s = None
        self.cold_until_s = time.monotonic()
        if self.service == "llm":
            self.cold_until_s += self.fleet.cold_s
        self.cold_arrivals_s: collections.deque[float] = collections.deque()
        """When calls reached it while it was cold, in the last second."""

    async def start(self) -> None:
        """Begin to listen and to announce itself."""
        self.http = http.Server(
            self._answer,
            lambda: catalog.Limits(max_header_bytes=MAX_HEAD_BYTES),
        )
        await self.http.start(self.address)
        if self.proxy is not None:
            await self.proxy.start()
        self.is_alive = True
        self.spawn(self._announce_periodically())
        self.spawn(self._watch_group())

    def spawn(self, coroutine) -> None:
        """Run a coroutine as a task that a crash cancels."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def crash(self) -> None:
        """End at once, without a departure message."""
        if not self.is_alive:
            return
        self.is_alive = False
        self.fleet.invariants.ends_beside.update((+self.bodies).keys())
        self.bodies = collections.Counter()
        self.http.closed = True
        self.http.close_listener()
        if self.proxy is not None:
            self.proxy.server.close()
        self._abort_connections(self.http)
        # Connections that were being accepted are not known before.
        asyncio.get_running_loop().call_later(
            ACCEPT_S, self._abort_connections, self.http
        )
        for task in list(self.tasks):
            task.cancel()

    @staticmethod
    def _abort_connections(server: http.Server) -> None:
        for connection in list(server.connections):
            reset_when_closed(connection.transport)
            connection.abort()

    async def restart(self, name: str = "") -> None:
        """Start a new incarnation, under a new name if none is given."""
        del self.fleet.servers[self.name]
        self.reset_state(name)
        self.fleet.servers[self.name] = self
        await self.start()

    async def restart_if_down(self) -> None:
        """Start a new incarnation if none runs, or is about to elsewhere."""
        async with self.restart_lock:
            while self.is_moving:
                await asyncio.sleep(0.1)
            if not self.is_alive:
                await self.restart()

    # Announcements.

    def heartbeat_body(self) -> dict:
        """Return the next heartbeat in the platform's format."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": self.announced,
            "zone": self.data_centre,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": self.cold_left_ms(),
            "sequence": self.sequence,
            "born": self.born_ms,
            "domain": self.domain,
            "staged": [self.staged] if self.staged else [],
            "models": [{"name": self.last_model}] if self.group else [],
        }
        if self.group:
            body["group"] = self._group_report()
        return body

    def cold_left_ms(self) -> int:
        """Return for how long it stays cold."""
        left_s = self.cold_until_s - time.monotonic()
        return max(0, round(left_s * 1000))

    def _count_cold_arrival(self, exchange: http.Exchange) -> None:
        """Check the rate of calls that reach it while it is cold.

        A link that is slow delivers calls of several seconds at once; what
        counts is sent and arrives within one second.
        """
        now_s = time.monotonic()
        is_meant = exchange.header(b"x-expect-instance") == self.name
        if now_s >= self.cold_until_s or not is_meant:
            return
        if self.proxy is not None and now_s - self.proxy.delayed_s < 1.0:
            self.cold_arrivals_s.clear()
            return
        self.fleet.invariants.cold_arrivals += 1
        self.cold_arrivals_s.append(now_s)
        while self.cold_arrivals_s[0] < now_s - 1.0:
            self.cold_arrivals_s.popleft()
        if len(self.cold_arrivals_s) > MAX_COLD_ARRIVALS:
            self.fleet.invariants.record_violation(
                "cold servers get few calls",
                f"{self.name}: {len(self.cold_arrivals_s)} in a second",
            )

    async def _announce_periodically(self) -> None:
        while True:
            self.spawn(self.announce())
            await asyncio.sleep(
                HEARTBEAT_INTERVAL_S * self.fleet.random.uniform(0.9, 1.1)
            )

    async def announce(self) -> None:
        """Send a heartbeat to the first control node that accepts it."""
        body = json.dumps(self.heartbeat_body()).encode()
        if self.announcements_lost or self.is_leaving:
            return
        if self.late_s:
            await asyncio.sleep(self.fleet.random.uniform(0.0, self.late_s))
        await self.deliver(body)

    async def leave(self) -> bool:
        """Say once that it leaves; return whether control acknowledges it."""
        self.is_leaving = True
        for address in self._control_addresses():
            path = f"/api/Instances.Deregister/{self.name}"
            reply = await post(address, path, b"")
            if reply is not None and reply[0] == 200:
                return True
        return False

    def _control_addresses(self) -> list[str]:
        addresses = list(self.fleet.control)
        self.fleet.random.shuffle(addresses)
        if self.heartbeat_url:
            addresses.insert(0, self.heartbeat_url)
        return addresses

    async def deliver(self, body: bytes) -> None:
        """Deliver a heartbeat to the first control node that accepts it."""
        for address in self._control_addresses():
            path = f"/api/Instances.Heartbeat/{self.name}"
            reply = await post(address, path, body)
            if reply is not None and reply[0] == 200:
                self.heartbeat_url = json.loads(reply[1]).get(
                    "heartbeatUrl", ""
                )
                return
            self.heartbeat_url = ""

    # Orders.

    async def _answer(self, exchange: http.Exchange) -> None:
        if exchange.target == b"/api/order":
            order = json.loads(exchange.body)
            is_left = self.fleet.leaves_unanswered
            if is_left is not None and is_left(self, order):
                exchange.connection.abort()
                return
            status = self.apply_order(order)
            await exchange.respond(status, [], b"")
            self.spawn(self.announce())
        elif exchange.target == b"/api/report":
            await exchange.respond(200, [], json.dumps(self._report()).encode())
        else:
            await self._answer_call(exchange)

    async def _answer_call(self, exchange: http.Exchange) -> None:
        request_id = exchange.header(b"x-request-id")
        self.fleet.invariants.calls.append(
            (time.monotonic(), self.data_centre, request_id)
        )
        if self.limit_per_s is not None:
            self.limited_calls.append((time.monotonic(), request_id))
        if lethal := self.fleet.lethal_requests.get(bytes(exchange.body)):
            lethal.record_arrival(request_id)
        body, bodies = bytes(exchange.body), self.bodies
        bodies[body] += 1
        run = answer_watch.Run(self, self.proxy, time.monotonic())
        self.fleet.invariants.runs_by_call.setdefault(request_id, []).append(
            run
        )
        is_cancelled = False
        try:
            if self.service == "llm":
                await self._stream(exchange)
            else:
                await self._run_once(exchange)
        except asyncio.CancelledError:
            is_cancelled = True
            raise
        finally:
            run.ended_s = time.monotonic()
            is_own_end = not is_cancelled or not self.is_alive
            run.broke_off = is_own_end and not exchange.finished
            run.is_stalled = self.service == "llm" and not self.is_complete()
            bodies[body] -= 1

    def _report(self) -> dict:
        """Return its state in the platform's format."""
        report = {"born": self.born_ms, "sequence": self.orders}
        if self.group:
            report["group"] = self._group_report()
        return report

    def _group_report(self) -> dict:
        return {
            "name": self.group,
            "epoch": self.epoch,
            "rank": self.rank,
            "state": self.state,
        }

    def apply_order(self, order: dict) -> int:
        op = order["op"]
        if order.get("precondition", self.orders) != self.orders:
            return 409
        had_group = bool(self.group)
        status = self._begin_order(op, order)
        self.orders += status == 202 or (had_group and not self.group)
        return status

    def _begin_order(self, op: str, order: dict) -> int:
        if op == "stage":
            self.spawn(self._load(order["model"]))
            return 202
        if op == "join":
            return self._join(order)
        if (order["group"], order["epoch"]) != (self.group, self.epoch):
            return 200
        return _ORDERS[op](self)

    def _join(self, order: dict) -> int:
        if order["epoch"] < self.epoch:
            return 412
        if order["epoch"] == self.epoch:
            return 200 if tuple(order["members"]) == self.members else 412
        self._check_last_group(order)
        model = order["model"]
        wait_s = REJOIN_S if model == self.last_model else WARM_S
        if model not in (self.last_model, self.staged):
            wait_s = LOAD_S
        self.group, self.epoch = order["group"], order["epoch"]
        self.members = tuple(order["members"])
        self.rank = self.members.index(self.name)
        self.last_model, self.state = model, "joining"
        self.stalled_since_s = None
        self.last_group = (self.members[0], self.epoch)
        self.spawn(self._change_state("ready", self.epoch, wait_s))
        return 202

    def _check_last_group(self, order: dict) -> None:
        if self.last_group is None:
            return
        head = self.fleet.servers.get(self.last_group[0])
        if (
            head is not None
            and head.is_alive
            and head.epoch == self.last_group[1]
            and head.state in SERVING_STATES
        ):
            self.fleet.invariants.record_violation(
                "one group for each VM",
                f"{self.name} joins {order['group']}, {head.name} is open",
            )

    def _open(self) -> int:
        if self.state not in ("ready", "open") or self.rank:
            return 409
        if self.state == "ready":
            self.spawn(self._change_state("open", self.epoch, FORM_S))
        return 202

    def _close(self) -> int:
        if self.state in SERVING_STATES:
            self.state = "ready"
        return 202

    def _leave(self) -> int:
        self.group = self.state = ""
        self.members = ()
        return 200

    async def _change_state(
        self, state: str, epoch: int, wait_s: float
    ) -> None:
        await asyncio.sleep(wait_s)
        expected = {"ready": "joining", "open": "ready"}[state]
        if self.epoch == epoch and self.state == expected:
            self.state = state
            if state == "ready":
                self.ready_epochs.add(epoch)
            await self.announce()

    async def _load(self, model: str) -> None:
        await asyncio.sleep(LOAD_S)
        self.staged = model
        await self.announce()

    # Groups.

    def is_complete(self) -> bool:
        """Return whether all members of its group are alive and joined."""
        for name in self.members:
            member = self.fleet.servers.get(name)
            if member is None or not member.is_alive:
                return False
            if member.epoch != self.epoch or not member.group:
                return False
        return bool(self.members)

    async def _watch_group(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if (
                self.rank
                or self.state not in SERVING_STATES
                or self.is_complete()
            ):
                self.stalled_since_s = None
            elif self.stalled_since_s is None:
                self.stalled_since_s = time.monotonic()
            elif time.monotonic() - self.stalled_since_s > STALL_S:
                self.state = "broken"
                await self.announce()

    async def _stream(self, exchange: http.Exchange) -> None:
        request_id = exchange.header(b"x-request-id")
        if not self.rank:
            self._count_cold_arrival(exchange)
        if self.rank or self.state != "open":
            await self._refuse(exchange, 421 if self.rank else 503)
            return
        epoch = self.epoch
        is_lethal = LETHAL_PART in exchange.header(b"x-prompt-prefix")
        invariants = self.fleet.invariants
        if is_lethal:
            invariants.lethal_arrivals_s.append(time.monotonic())
        if not await self._wait_while_stalled(epoch):
            await self._refuse(exchange, 503)
            return
        if is_lethal:
            await asyncio.sleep(EVENT_S)
            self._crash_and_restart()
            return
        if await self._end_if_lethal(exchange):
            return
        for name in self.members:
            member = self.fleet.servers.get(name)
            if member is not None and epoch not in member.ready_epochs:
                self.fleet.invariants.record_violation(
                    "no group with a member missing", f"{name} was not ready"
                )
        after = exchange.header(b"last-event-id")
        number = int(after) if after.isdigit() else 0
        answer = exchange if self.has_length else UnframedAnswer(exchange)
        self._record_answer(exchange)
        answer.start(200, [*self._echo(exchange), SEAL_HEADER])
        while number < EVENTS:
            await asyncio.sleep(EVENT_S * self.slowness)
            while self.stands_still:
                await asyncio.sleep(EVENT_S)
            if not await self._wait_while_stalled(epoch):
                # Ends the stream in the middle of an event.
                await answer.send(b"id: 99")
                return
            number += 1
            await answer.send(event(request_id, number))
        await answer.finish()

    def _crash_and_restart(self) -> None:
        if not self.is_alive:
            return
        self.fleet.invariants.lethal_crashes_s.append(time.monotonic())
        self.crash()
        self.fleet.restart_later(self, RESTART_S)

    async def _end_if_lethal(self, exchange: http.Exchange) -> bool:
        """End as a lethal request begins to run, also if it was given up."""
        lethal = self.fleet.lethal_requests.get(bytes(exchange.body))
        if lethal is None:
            return False

        async def run() -> None:
            await asyncio.sleep(
                self.fleet.random.choice(
                    [EVENT_S, self.fleet.random.uniform(0.0, MAX_QUEUE_S)]
                )
            )
            lethal.record_end()
            self.crash()
            self.fleet.restart_later(self, RESTART_S)

        task = asyncio.create_task(run())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        await asyncio.wait([task])
        return True

    async def _wait_while_stalled(self, epoch: int) -> bool:
        """Wait while the group is stalled; return whether it serves."""
        while self.epoch == epoch and self.state in SERVING_STATES:
            if self.is_complete():
                return True
            await asyncio.sleep(0.02)
        return False

    async def _run_once(self, exchange: http.Exchange) -> None:
        request_id = exchange.header(b"x-request-id")
        self.arrivals_s.append(time.monotonic())
        if self.wait_s:
            retry_after = (b"retry-after", str(self.wait_s).encode())
            await self._refuse(exchange, 503, retry_after)
            return
        if not exchange.target.startswith(READ_PREFIX.encode()):
            self.fleet.invariants.runs[request_id] += 1
        if self.fleet.invariants.runs[request_id] > 1:
            self.fleet.invariants.record_violation(
                "at most once", f"{request_id} ran twice"
            )
        if await self._end_if_lethal(exchange):
            return
        await asyncio.sleep(
            self.fleet.random.uniform(0.01, 0.1) * self.slowness
        )
        if self.loses_answers:
            return
        self._record_answer(exchange)
        body = f"filed {request_id}".encode()
        await exchange.respond(200, [*self._echo(exchange), SEAL_HEADER], body)

    def _record_answer(self, exchange: http.Exchange) -> None:
        self.fleet.invariants.ends_beside[bytes(exchange.body)] = 0

    async def _refuse(
        self, exchange: http.Exchange, status: int, *headers: tuple
    ) -> None:
        not_executed = (b"x-not-executed", b"1")
        await exchange.respond(
            status, [*self._echo(exchange), not_executed, *headers], b""
        )

    def _echo(self, exchange: http.Exchange) -> http.Headers:
        notices = [(b"server-leaving", b"1")] if self.is_leaving else []
        if self.cold_left_ms():
            left = str(self.cold_left_ms()).encode()
            notices.append((b"x-cold-remaining", left))
        if self.limit_per_s is not None:
            limit = str(self.limit_per_s).encode()
            notices.append((b"server-limit", limit))
            request_id = exchange.header(b"x-request-id")
            self.limited_answers.append((time.monotonic(), request_id))
        return [
            (b"x-request-id", exchange.header(b"x-request-id").encode()),
            (b"content-type", b"text/event-stream"),
            *notices,
        ]


_ORDERS = {
    "open": Server._open,
    "close": Server._close,
    "leave": Server._leave,
}


class Reply(typing.NamedTuple):
    """An answer of control."""

    status: int
    content: bytes
    address: str
    """Where the answer came from, after redirects."""


async def post(
    address: str,
    path: str,
    body: bytes,
    method: str = "POST",
    timeout_s: float = 1.0,
) -> "Reply | None":
    """Make a call, following two redirects; return None without an answer."""
    for _ in range(3):
        try:
            answer, content = await http.request(
                address, method, path, body, timeout_s=timeout_s
            )
        except (http.ConnectError, http.BrokenAnswerError, TimeoutError):
            return None
        if answer.status != 307:
            return Reply(answer.status, content, address)
        location = answer.header(b"location").removeprefix("http://")
        address = location.partition("/")[0]
    return None


class Proxy:
    """Forwards connections; can delay, reset or drop their bytes."""

    def __init__(self, listen: str, target: str) -> None:
        self.listen = listen
        self.target = target
        self.delay_s = 0.0
        self.delayed_s = float("-inf")
        """When bytes that were delayed last went on."""
        self.harmed_s: list[float] = []
        """When bytes were dropped or connections reset."""
        self.dropped_directions: set[str] = set()
        """Directions, "up" or "down", in which bytes are lost."""
        self.writers: set[asyncio.StreamWriter] = set()
        self.fillers: list[socket.socket] = []
        """Connections that fill the queue while it is blocked."""
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, if it does not yet."""
        if self.server is not None and self.server.is_serving():
            return
        host, _, port = self.listen.rpartition(":")
        self.server = await asyncio.start_server(self._forward, host, int(port))

    def reset(self) -> None:
        """Reset all open connections."""
        self.harmed_s.append(time.monotonic())
        for writer in list(self.writers):
            reset_when_closed(writer.transport)
            writer.transport.abort()

    def block(self) -> None:
        """Reset all connections and let new ones hang, as a partition does."""
        self.reset()
        if not self.server.is_serving():
            return
        for listening in self.server.sockets:
            asyncio.get_running_loop().remove_reader(listening.fileno())
            with socket.socket(fileno=os.dup(listening.fileno())) as own:
                own.listen(0)
            for _ in range(QUEUE_FILLERS):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(listening.getsockname())
                self.fillers.append(filler)

    async def unblock(self) -> None:
        """Accept connections again, unless the server is down."""
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        if self.server.is_serving():
            self.server.close()
            await self.start()

    def restore(self) -> None:
        """End delays and losses; connections that lost bytes are aborted."""
        if self.dropped_directions:
            self.reset()
        self.delay_s = 0.0
        self.dropped_directions = set()

    def bound(self) -> str:
        """Return the address at which it listens."""
        ip, port = self.server.sockets[0].getsockname()
        return f"{ip}:{port}"

    async def close(self) -> None:
        self.server.close()
        self.reset()

    async def _forward(self, reader, writer) -> None:
        host, _, port = self.target.rpartition(":")
        self.writers.add(writer)
        upstream_writer = None
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, int(port)
            )
            self.writers.add(upstream_writer)
            await asyncio.gather(
                self._copy(reader, upstream_writer, "up"),
                self._copy(upstream_reader, writer, "down"),
            )
        except OSError:
            # What one side resets must not end in order at the other.
            reset_when_closed(writer.transport)
        finally:
            for each in (writer, upstream_writer):
                if each is not None:
                    self.writers.discard(each)
                    each.transport.abort()

    async def _copy(self, reader, writer, direction: str) -> None:
        while data := await reader.read(65_536):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
                self.delayed_s = time.monotonic()
            if direction not in self.dropped_directions:
                writer.write(data)
                await writer.drain()
            else:
                self.harmed_s.append(time.monotonic())
        with contextlib.suppress(OSError):
            if writer.can_write_eof():
                writer.write_eof()
