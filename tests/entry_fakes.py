"""Fake control nodes, agents and callers for tests of the entry."""

import asyncio
import collections.abc
import contextlib
import hashlib
import http.client
import itertools
import json
import socket
import threading
import time
import typing
import uuid

import grpclib
import grpclib.const
import grpclib.server
import msgspec

from examples import local
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import codec
from flamingocleat.process import entry
from flamingocleat.process import settings
from flamingocleat.process import shutdown
from flamingocleat.version import schema

KEY = "caller-key"
DONE = b"data: [DONE]\n\n"
TIMEOUT_S = 20.0

CONFIGURATION = schema.Configuration(
    operator="test",
    data_centres=(schema.DataCentre(name=ids.DataCentreId("a"), region="r"),),
    services=(
        schema.Service(
            name=ids.ServiceId("llm"),
            kind=schema.ServiceKind.MODEL,
            max_body_bytes=4096,
        ),
        schema.Service(
            name=ids.ServiceId("desk"),
            kind=schema.ServiceKind.PLAIN,
            max_body_bytes=4096,
            calls=(
                schema.CallRule(method="GET", path="/reset", repeatable=False),
            ),
        ),
        schema.Service(
            name=ids.ServiceId("other"), kind=schema.ServiceKind.PLAIN
        ),
    ),
    customers=(
        schema.Customer(
            name=ids.CustomerId("customer"),
            key_sha256=(hashlib.sha256(KEY.encode()).hexdigest(),),
            services=(ids.ServiceId("llm"), ids.ServiceId("desk")),
        ),
    ),
)


def wait_for(condition: collections.abc.Callable[[], object]) -> None:
    """Wait until the condition holds."""
    end_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < end_s, "condition not met in time"
        time.sleep(0.005)


class LoopThread:
    """An asyncio event loop that runs in its own thread."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(
            target=self.loop.run_forever, daemon=True
        )
        self.thread.start()

    def run(self, coroutine: collections.abc.Coroutine) -> typing.Any:
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return future.result(TIMEOUT_S)

    def close(self) -> None:
        self.run(self._cancel())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    async def _cancel(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class GrpcServer:
    """A gRPC server on a free port."""

    def __init__(self, loop: LoopThread, handlers: dict) -> None:
        self.loop = loop
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.handlers = handlers
        self.server = loop.run(self._start())

    async def _start(self) -> grpclib.server.Server:
        server = grpclib.server.Server(
            [codec.Service(self.handlers)], codec=codec.Codec()
        )
        await server.start(sock=self.sock)
        return server

    def stop(self) -> None:
        async def close() -> None:
            self.server.close()
            await self.server.wait_closed()

        self.loop.run(close())


class FakeControl:
    """A leader with a register, or a follower that names the leader."""

    def __init__(self, loop: LoopThread, hint: str = "") -> None:
        self.hint = hint
        self.version = 1
        self.configuration = CONFIGURATION
        self.backends: tuple[messages.BackendView, ...] = ()
        self.sends_views = True
        self.echoes_sequence = True
        self.statuses: list[messages.EntryStatus] = []
        self.register: dict[str, messages.ClaimRequest] = {}
        self.answers: dict[str, messages.Answer] = {}
        self.cancelled: list[str] = []
        self.lost_replies: set[str] = set()
        """Calls that take effect but whose reply is lost, once each."""
        self.refused_calls: set[str] = set()
        """Calls that fail because there is no quorum."""
        self.grpc_server = GrpcServer(
            loop,
            {
                codec.CONTROL_WATCH: self.watch,
                codec.CLAIM: self.claim,
                codec.LOOKUP: self.lookup,
                codec.CONCLUDE: self.conclude,
            },
        )

    async def watch(self, stream: grpclib.server.Stream) -> None:
        if self.hint:
            raise grpclib.GRPCError(
                grpclib.const.Status.FAILED_PRECONDITION, self.hint
            )
        receiver: asyncio.Task | None = None
        last = [await stream.recv_message()]

        async def receive() -> None:
            while (status := await stream.recv_message()) is not None:
                self.statuses.append(status)
                last[0] = status

        receiver = asyncio.create_task(receive())
        self.statuses.append(last[0])
        try:
            while not receiver.done():
                if self.sends_views:
                    await stream.send_message(
                        messages.ClusterView(
                            ids.ConfigurationVersion(self.version),
                            self.configuration,
                            self.backends,
                            echo=last[0].sequence
                            if self.echoes_sequence
                            else 0,
                        )
                    )
                await asyncio.sleep(0.02)
        finally:
            receiver.cancel()

    def add(self, *agents: "FakeAgent") -> None:
        self.backends += tuple(agent.view() for agent in agents)

    async def _reply(
        self, name: str, stream: grpclib.server.Stream, reply: messages.Message
    ) -> None:
        if name in self.lost_replies:
            self.lost_replies.discard(name)
            raise grpclib.GRPCError(grpclib.const.Status.CANCELLED, "lost")
        await stream.send_message(reply)

    async def _receive(
        self, name: str, stream: grpclib.server.Stream
    ) -> typing.Any:
        request = await stream.recv_message()
        if name in self.refused_calls:
            raise grpclib.GRPCError(grpclib.const.Status.UNAVAILABLE, "quorum")
        return request

    def _state(self, key: str, permit: str) -> messages.ClaimReply:
        registered = self.register.get(key)
        if registered is None:
            return messages.ClaimReply(messages.ClaimState.UNKNOWN_KEY)
        state = messages.ClaimState.PENDING
        if registered.permit in self.cancelled:
            state = messages.ClaimState.CANCELLED
        elif key in self.answers:
            state = messages.ClaimState.ANSWERED
        elif registered.permit == permit:
            state = messages.ClaimState.CLAIMED
        return messages.ClaimReply(
            state,
            registered.permit,
            registered.vm,
            registered.incarnation,
            registered.address,
            self.answers.get(key),
        )

    async def claim(self, stream: grpclib.server.Stream) -> None:
        request = await self._receive("claim", stream)
        registered = self.register.get(request.key)
        if registered is not None and registered.digest != request.digest:
            reply = messages.ClaimReply(messages.ClaimState.CONFLICT)
            return await self._reply("claim", stream, reply)
        if registered is None or registered.permit in self.cancelled:
            self.register[request.key] = request
        reply = self._state(request.key, request.permit)
        return await self._reply("claim", stream, reply)

    async def lookup(self, stream: grpclib.server.Stream) -> None:
        request = await self._receive("lookup", stream)
        await self._reply("lookup", stream, self._state(request.key, ""))

    async def conclude(self, stream: grpclib.server.Stream) -> None:
        request = await self._receive("conclude", stream)
        if request.key not in self.answers:
            if request.answer is None:
                self.cancelled.append(request.permit)
            else:
                self.answers[request.key] = request.answer
        state = self._state(request.key, "").state
        await self._reply("conclude", stream, messages.ConcludeReply(state))


class ReceivedRequest(typing.NamedTuple):
    """A request that an agent received."""

    line: str
    headers: dict[str, str]
    body: bytes
    sock: socket.socket

    def head(
        self, outcome: str = "ran", status: int = 200, **more: str
    ) -> bytes:
        fields = {
            "X-Request-Id": self.headers["x-request-id"],
            "Flamingocleat-Outcome": outcome,
            **{name.replace("_", "-"): value for name, value in more.items()},
        }
        lines = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        return f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode()

    def stream_head(self) -> bytes:
        return self.head(Content_Type="text/event-stream", Connection="close")

    def answer(
        self, body: bytes, outcome: str = "ran", status: int = 200
    ) -> None:
        length = str(len(body))
        head = self.head(outcome, status, Content_Length=length)
        self.sock.sendall(head + body)

    @property
    def offset(self) -> int:
        return int(self.headers.get("flamingocleat-resume-offset", 0))


Script = collections.abc.Callable[[ReceivedRequest], None]


class FakeAgent:
    """An agent that answers with a script, one call per connection."""

    def __init__(
        self, loop: LoopThread, name: str, script: Script, service: str = "llm"
    ) -> None:
        self.name = name
        self.service = service
        self.script = script
        self.received: list[ReceivedRequest] = []
        self.permits: dict[str, messages.PermitState] = {}
        self.voids = 0
        self.leaving = False
        self.sends_reports = True
        self.http = socket.create_server(("127.0.0.1", 0))
        self.grpc_server = GrpcServer(
            loop, {codec.BACKEND_WATCH: self.watch, codec.VOID: self.void}
        )
        self.thread = threading.Thread(target=self._accept, daemon=True)
        self.thread.start()

    def close(self) -> None:
        """Stop accepting calls and close the servers."""
        with contextlib.suppress(OSError):
            # close() alone would leave the socket open while the thread waits.
            self.http.shutdown(socket.SHUT_RDWR)
        self.thread.join()
        self.http.close()
        self.grpc_server.stop()

    def view(self) -> messages.BackendView:
        port = self.http.getsockname()[1]
        return messages.BackendView(
            self.name,
            ids.ServiceId(self.service),
            ids.VmId(self.name),
            ids.Incarnation("i-" + self.name),
            ids.FencingNumber(7),
            self.grpc_server.address,
            f"127.0.0.1:{port}",
            ids.DataCentreId("a"),
        )

    async def watch(self, stream: grpclib.server.Stream) -> None:
        await stream.recv_message()
        while True:
            if self.sends_reports:
                view = self.view()
                await stream.send_message(
                    messages.LoadReport(
                        view.vm,
                        view.incarnation,
                        view.fence,
                        serving=True,
                        leaving=self.leaving,
                        load=messages.Load(slots=64),
                    )
                )
            await asyncio.sleep(0.02)

    async def void(self, stream: grpclib.server.Stream) -> None:
        request = await stream.recv_message()
        self.voids += 1
        state = self.permits.setdefault(
            request.permit, messages.PermitState.VOIDED
        )
        await stream.send_message(messages.VoidReply(state))

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.http.accept()
                threading.Thread(
                    target=self._serve, args=(sock,), daemon=True
                ).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, sock.makefile("rb") as file, contextlib.suppress(OSError):
            line = file.readline().decode().strip()
            fields = http.client.parse_headers(file)
            headers = {k.lower(): v for k, v in fields.items()}
            body = file.read(int(headers.get("content-length", 0)))
            received = ReceivedRequest(line, headers, body, sock)
            self.received.append(received)
            self.script(received)


class Caller:
    """Makes calls to an entry at a free port."""

    def __init__(self) -> None:
        self.port = local.free_port()

    def request(
        self,
        method: str = "POST",
        path: str = "/v1/chat/completions",
        body: typing.Any = b"",
        key: str = KEY,
        **headers: str,
    ) -> tuple[int, dict[str, str], bytes]:
        """Return status, headers and body; a truncated body raises."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.port, timeout=TIMEOUT_S
        )
        fields = {"Authorization": f"Bearer {key}"}
        fields.update({k.replace("_", "-"): v for k, v in headers.items()})
        try:
            connection.request(method, path, body, fields)
            response = connection.getresponse()
            names = {k.lower(): v for k, v in response.getheaders()}
            return response.status, names, response.read()
        finally:
            connection.close()

    def status(self, *arguments: typing.Any, **more: typing.Any) -> int:
        """Return the status, or 0 if there is no connection."""
        try:
            return self.request(*arguments, **more)[0]
        except OSError:
            return 0


class Program(Caller):
    """An entry run as in the real program, with its server in a thread."""

    def __init__(
        self, loop: LoopThread, leader: str, **changes: typing.Any
    ) -> None:
        super().__init__()
        self.loop = loop
        self.settings = settings.EntrySettings(
            entry=ids.EntryId("entry-1"),
            data_centre=ids.DataCentreId("a"),
            listen=f"127.0.0.1:{self.port}",
            **{"threads": 16, "control": (leader,), **changes},
        )
        loop.run(self._start())
        self.server = entry.Server(self.settings, self.entry)
        self.server.prepare()
        self.thread = threading.Thread(target=self.server.serve)
        self.thread.start()

    async def _start(self) -> None:
        stop = shutdown.Shutdown()
        self.entry = entry.build(self.settings, stop)
        self.control_task = asyncio.create_task(self.entry.control.run())

    def wait_ready(self, backends: int) -> None:
        """Wait until the entry knows this many usable backend servers."""

        def usable() -> bool:
            watched = self.entry.backends.watched.values()
            known = [w for w in watched if not w.candidate.suspect]
            return (
                len(known) == backends and not self.entry.control.stale_reason()
            )

        wait_for(usable)

    def is_idle(self) -> bool:
        """Return whether no request holds a slot or is counted."""
        pools = self.entry.admission.pools.values()
        watched = self.entry.backends.watched.values()
        return not (
            any(pool.in_flight for pool in pools)
            or any(each.candidate.in_flight for each in watched)
            or self.entry.stream_relay.by_agent
            or self.entry.stream_relay.by_caller
        )

    def close(self) -> None:
        try:
            wait_for(self.is_idle)
        finally:
            self.server.stop()
            self.thread.join()


def with_policy(stale: str, limit_s: float) -> schema.Configuration:
    """Return the configuration with a policy for stale configurations."""
    policy = schema.Policy(
        stale_configuration=schema.StaleConfiguration(stale),
        staleness_limit_s=limit_s,
    )
    return msgspec.structs.replace(CONFIGURATION, policy=policy)


_numbers = itertools.count(1)


def new_key(version: int = 7) -> str:
    """Return a UUID of the given version with the current time."""
    stamp = int(time.time() * 1000) << 80
    number = next(_numbers)
    return str(uuid.UUID(int=stamp | version << 76 | 2 << 62 | number))


def completion(stream: bool = True) -> bytes:
    return json.dumps(
        {"model": "llm", "stream": stream, "messages": [{"content": "x"}]}
    ).encode()


def events(count: int) -> bytes:
    """Return the complete answer, the same from every replica."""
    return b"".join(b"data: {%d}\n\n" % i for i in range(count)) + DONE


def send_events(received: ReceivedRequest, count: int = 20) -> None:
    """Answer as an engine does, starting at the resume offset."""
    parts = events(count).split(b"\n\n")[received.offset :]
    received.sock.sendall(received.stream_head() + b"\n\n".join(parts))


class Deployment:
    """A leader, agents and entries in this process."""

    def __init__(self) -> None:
        self.loop = LoopThread()
        self.controls: list[FakeControl] = []
        self.control = self.start_control()
        self.programs: list[Program] = []
        self.agents: list[FakeAgent] = []

    def start_control(self, hint: str = "") -> FakeControl:
        control = FakeControl(self.loop, hint)
        self.controls.append(control)
        return control

    def add_agent(
        self, name: str, script: Script, service: str = "llm"
    ) -> FakeAgent:
        agent = FakeAgent(self.loop, name, script, service)
        self.agents.append(agent)
        self.control.add(agent)
        return agent

    def start_program(self, **changes: typing.Any) -> Program:
        address = self.control.grpc_server.address
        program = Program(self.loop, address, **changes)
        self.programs.append(program)
        program.wait_ready(len(self.agents))
        return program

    def close(self) -> None:
        for program in self.programs:
            program.close()
        for agent in self.agents:
            agent.close()
        for control in self.controls:
            control.grpc_server.stop()
        self.loop.close()
