"""A fake control node and child processes for tests of the agent."""

import asyncio
import collections.abc
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time
import typing

import grpclib
import grpclib.const
import grpclib.server
import urllib3

from examples import local
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import channel
from flamingocleat.connection import codec

ROOT = pathlib.Path(__file__).parent.parent
ENVIRONMENT = {**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"}
TIMEOUT_S = 15.0


def wait_until(
    condition: collections.abc.Callable[[], typing.Any],
    what: str,
    describe: collections.abc.Callable[[], str] = str,
) -> typing.Any:
    """Return the condition's value once it is true; fail after TIMEOUT_S.

    The failure ends with the description of what was found instead.
    """
    deadline_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline_s:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"did not happen: {what}{describe()}")


class FakeControl:
    """A control node that serves AgentSession and Conclude in a thread."""

    def __init__(self) -> None:
        self.address = local.free_address()
        self.statuses: dict[str, messages.AgentStatus] = {}
        self.history: list[messages.AgentStatus] = []
        self.orders: dict[str, messages.AgentOrder] = {}
        self.answers: list[messages.ConcludeRequest] = []
        self.leader_hint = ""
        self.sessions = 0
        self.silent = False
        self.conclude_failures = 0
        self.describe_agents: collections.abc.Callable[[], str] = str
        """Describes the agents in failures of waits."""
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        self.server: grpclib.server.Server | None = None
        self.run(self._start())

    def run(self, coroutine: typing.Any) -> typing.Any:
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return future.result(TIMEOUT_S)

    async def _start(self) -> None:
        service = codec.Service(
            {
                codec.AGENT_SESSION: self._session,
                codec.CONCLUDE: self._conclude,
            }
        )
        self.server = grpclib.server.Server([service], codec=codec.Codec())
        host, port = self.address.split(":")
        await self.server.start(host, int(port))

    def _refuse_as_follower(self) -> None:
        if self.leader_hint:
            raise grpclib.GRPCError(
                grpclib.const.Status.FAILED_PRECONDITION, self.leader_hint
            )

    async def _session(self, stream: typing.Any) -> None:
        self.sessions += 1
        self._refuse_as_follower()
        while (status := await stream.recv_message()) is not None:
            self.statuses[status.vm] = status
            self.history.append(status)
            if not self.silent:
                order = self.orders.get(status.vm, messages.AgentOrder())
                await stream.send_message(order)

    async def _conclude(self, stream: typing.Any) -> None:
        self._refuse_as_follower()
        request = await stream.recv_message()
        if self.conclude_failures:
            self.conclude_failures -= 1
            raise grpclib.GRPCError(grpclib.const.Status.UNAVAILABLE)
        self.answers.append(request)
        await stream.send_message(
            messages.ConcludeReply(state=messages.ClaimState.ANSWERED)
        )

    def member(self, vm: str) -> messages.Member:
        status = wait_until(
            lambda: self.statuses.get(vm),
            f"{vm} announces",
            self.describe_agents,
        )
        return messages.Member(
            status.vm, status.incarnation, status.control_address
        )

    def assign(
        self, fence: int, vms: list[str], group: str = "g/0"
    ) -> messages.Assignment:
        assignment = messages.Assignment(
            group=ids.GroupId(group),
            fence=ids.FencingNumber(fence),
            service=ids.ServiceId("drafting-llm"),
            model="m",
            model_version="1",
            members=tuple(self.member(vm) for vm in vms),
        )
        for vm in vms:
            self.orders[vm] = messages.AgentOrder(assignment=assignment)
        return assignment

    def wait_serving(self, vm: str, fence: int) -> messages.AgentStatus:
        return wait_until(
            lambda: (
                (status := self.statuses.get(vm))
                and status.serving
                and status.fence == fence
                and status
            ),
            f"{vm} serves under {fence}",
            self.describe_agents,
        )

    def stop(self) -> None:
        async def close() -> None:
            assert self.server
            self.server.close()
            await self.server.wait_closed()

        self.run(close())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


class Process:
    """A child process that is killed by its id."""

    def __init__(self, arguments: list[str], log: pathlib.Path) -> None:
        with log.open("ab") as file:
            self.child = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                env=ENVIRONMENT,
                stderr=file,
                stdout=file,
            )

    def signal(self, number: signal.Signals) -> None:
        self.child.send_signal(number)

    def kill(self) -> None:
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()


class Deployment:
    """A fake control node, stand-ins and agents with their files."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.control = FakeControl()
        self.control.describe_agents = self._describe_agents
        self.processes: list[Process] = []
        self.agents: dict[str, Process] = {}
        self.files: dict[str, pathlib.Path] = {}
        # Shorter than cheroot's timeout for idle connections, so that a
        # connection left open after a truncated answer raises an error.
        self.http = urllib3.PoolManager(retries=False, timeout=8.0)

    def start_standin(self, kind: str, *options: str) -> str:
        """Start a stand-in with an event log; return its address."""
        address = local.free_address()
        port = address.split(":")[1]
        log = self.folder / f"{kind}-{port}.log"
        self.files[address] = self.folder / f"{kind}-{port}.jsonl"
        self.processes.append(
            Process(
                [
                    *("-m", "examples.standins", kind, "--listen", address),
                    *("--log", str(self.files[address]), *options),
                ],
                log,
            )
        )
        wait_until(lambda: _listens(address), f"{kind} listens")
        return address

    def read_events(self, address: str, event: str) -> list[dict]:
        """Return the lines of one event from the stand-in's event log."""
        if not self.files[address].exists():
            return []
        lines = self.files[address].read_text().splitlines()
        return [x for x in map(json.loads, lines) if x["event"] == event]

    def start_agent(
        self,
        vm: str,
        backend: str,
        kind: str = "engine",
        control: tuple[str, ...] = (),
        **settings: object,
    ) -> Process:
        """Start an agent, or restart it with its earlier settings."""
        path = self.folder / f"{vm}.yaml"
        if not path.exists():
            fields = {
                "vm": vm,
                "data_centre": "praha-a",
                "fabric_domain": "rack-1",
                "kind": kind,
                "listen": local.free_address(),
                "data_listen": local.free_address(),
                "backend_url": f"http://{backend}",
                "control": list(control) or [self.control.address],
                "threads": 16,
                **settings,
            }
            path.write_text(json.dumps(fields))
        process = Process(
            ["-m", "flamingocleat.process.agent", "--settings", str(path)],
            self.folder / f"{vm}.log",
        )
        self.processes.append(process)
        self.agents[vm] = process
        return process

    def _describe_agents(self) -> str:
        """Return the exit status and the last log line of each agent."""
        lines = []
        for vm, process in self.agents.items():
            log = (self.folder / f"{vm}.log").read_text().splitlines()
            status = process.child.poll()
            lines.append(f"\n{vm}: exit status {status}, {log[-1:]}")
        return "".join(lines)

    def start_group(self, fence: int, *vms: str) -> messages.AgentStatus:
        """Start a group with an engine on each VM; return the lead's status."""
        for vm in vms:
            engine = self.start_standin("engine", "--load-ms", "50")
            self.start_agent(vm, engine)
        self.control.assign(fence, list(vms))
        return self.control.wait_serving(vms[0], fence)

    def headers(
        self, agent: messages.AgentStatus, **more: str
    ) -> dict[str, str]:
        """Return the headers that an entry sends with a call to this agent."""
        return {
            "X-Request-Id": "r-1",
            "Flamingocleat-Fence": str(agent.fence),
            "Flamingocleat-Incarnation": agent.incarnation,
            "Flamingocleat-Deadline-Ms": "20000",
            **{name.replace("_", "-"): value for name, value in more.items()},
        }

    def call(
        self,
        agent: messages.AgentStatus,
        body: bytes,
        path: str = "/v1/chat/completions",
        stream: bool = False,
        **more: str,
    ) -> urllib3.BaseHTTPResponse:
        """Make a call as an entry does."""
        return self.http.request(
            "POST",
            f"http://{agent.data_address}{path}",
            body=body,
            headers=self.headers(agent, **more),
            preload_content=not stream,
        )

    def void(
        self, agent: messages.AgentStatus, permit: str
    ) -> messages.PermitState:
        """Ask an agent to void a permit."""

        async def send_void() -> messages.VoidReply:
            grpc_channel = channel.dial(agent.control_address)
            request = messages.VoidRequest(
                ids.PermitId(permit), agent.incarnation
            )
            try:
                return await codec.VOID.ask(grpc_channel, request, TIMEOUT_S)
            finally:
                grpc_channel.close()

        return asyncio.run(send_void()).state

    def close(self) -> None:
        """Kill all processes that this object started."""
        for process in self.processes:
            process.kill()
        self.control.stop()


class CannedServer:
    """Answers each connection with the same bytes, then closes it.

    Requests whose line contains one of the given texts get that answer.
    """

    def __init__(
        self,
        answer: bytes,
        others: collections.abc.Mapping[bytes, bytes] | None = None,
    ) -> None:
        self.answer = answer
        self.others = others or {}
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self) -> None:
        while True:
            connection, _ = self.listener.accept()
            with connection:
                request = connection.recv(65_536)
                if not request:
                    return
                connection.sendall(self._answer(request))

    def _answer(self, request: bytes) -> bytes:
        line = request.partition(b"\r\n")[0]
        for text, answer in self.others.items():
            if text in line:
                return answer
        return self.answer

    def stop(self) -> None:
        """Stop answering."""
        host, port = self.address.split(":")
        socket.create_connection((host, int(port))).close()
        self.thread.join()
        self.listener.close()


def short_answer(body: bytes, status: int = 200) -> bytes:
    """Return a complete answer."""
    head = b"HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n"
    return head % (status, len(body)) + body


def _listens(address: str) -> bool:
    host, port = address.split(":")
    try:
        socket.create_connection((host, int(port)), 1.0).close()
    except OSError:
        return False
    return True


def chat_body(content: str, tokens: int, stream: bool = True) -> bytes:
    """Return a chat request's body."""
    message = {"role": "user", "content": content}
    return json.dumps(
        {"messages": [message], "max_tokens": tokens, "stream": stream}
    ).encode()


def outcome(response: urllib3.BaseHTTPResponse) -> str:
    """Return the outcome header of an agent's response."""
    return response.headers["Flamingocleat-Outcome"]


class ReportWatcher:
    """Watches an agent as an entry does, and keeps a copy of its cache."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.prefixes: set[bytes] = set()
        self.complete = 0
        self.loop = asyncio.new_event_loop()
        self.task = self.loop.create_task(self._watch())
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self) -> None:
        self.loop.run_until_complete(
            asyncio.gather(self.task, return_exceptions=True)
        )

    async def _watch(self) -> None:
        grpc_channel = channel.dial(self.address)
        try:
            async with codec.BACKEND_WATCH.open(grpc_channel) as stream:
                request = messages.BackendWatch(ids.EntryId("entry-1"))
                await stream.send_message(request, end=True)
                async for report in stream:
                    self._apply(report)
        finally:
            grpc_channel.close()

    def _apply(self, report: messages.LoadReport) -> None:
        if report.cache_complete:
            self.complete += 1
            self.prefixes.clear()
        for event in report.cache_events:
            if event.present:
                self.prefixes.add(event.prefix)
            else:
                self.prefixes.discard(event.prefix)

    def stop(self) -> None:
        """End the watch."""
        self.loop.call_soon_threadsafe(self.task.cancel)
        self.thread.join()
        self.loop.close()
