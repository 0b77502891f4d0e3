"""Small crowds of callers that try to fill the memory of one process.

The gateway and the coordinator run as processes with low limits in their
settings. A crowd of callers takes more than these limits allow if nothing
bounds it. The process must live, stay inside its limits and answer an ordinary
request afterwards. The crowds and bounds were fixed before the product was
changed; they depend on no times.
"""

import asyncio
import contextlib
import json
import pathlib
import time

import pytest

from tests import crowds
from tests.platform import emulator
from tests.platform import soak

GATEWAY_LIMITS = {"memoryMb": 100, "maxFds": 200}
COORDINATOR_LIMITS = {"memoryMb": 296, "maxFds": 200}
LARGE_CROWD = 40
"""Callers with a body of the largest legal size; 168 MB in all."""
OPERATORS = 24
"""Operators with a document of the largest legal size; 403 MB in all."""
PIPELINING_CROWD = 100
SILENT_CROWD = 300
"""Connections, more than the process may have descriptors."""
BODY_BYTES = 4_194_304
DOCUMENT_BYTES = 16_777_216
CROWD_S = 6.0
"""Time for which the crowd stays."""
START_S = 20.0
ANSWER_S = 20.0


class Deployment:
    """One coordinator, one gateway and one plain backend server."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.net, self.net_lock = soak.reserve_net()
        self.programs = soak.PROGRAMS
        self.coordinator = soak.Program(self, "coordinator", 1)  # type: ignore[arg-type]
        self.gateway = soak.Program(self, "gateway", 1)  # type: ignore[arg-type]
        self.coordinator.limits = COORDINATOR_LIMITS
        self.gateway.limits = GATEWAY_LIMITS
        self.fleet = emulator.Fleet(emulator.InvariantLog(), self.control, 1)
        self.version = 0

    @property
    def control(self) -> list[str]:
        return [self.coordinator.address(soak.CONTROL_PORT)]

    async def start(self) -> None:
        """Start everything and wait until a call is served."""
        await self.coordinator.start()
        await self.gateway.start()
        address = f"127.{self.net}.3.1:{soak.ENGINE_PORT}"
        await self.fleet.add("desk", "d0", address)
        await self.configure()
        end_s = time.monotonic() + START_S
        while await self.call() != 200:
            assert time.monotonic() < end_s, "nothing is served"
            await asyncio.sleep(0.1)

    async def configure(self, document_bytes: int = 0) -> None:
        """Put a configuration of at least that size into force."""
        self.version += 1
        route = {
            "name": "u",
            "host": "h",
            "pathPrefix": "/u/",
            "kind": "read_only",
            "service": "desk",
            "timeoutMs": soak.DEADLINE_MS,
            "targetLatencyMs": 400,
            "allowAnonymous": True,
        }
        document = {
            "version": self.version,
            "routes": [route],
            "services": [{"name": "desk"}],
            "limits": {},
        }
        body = json.dumps(document).encode()
        body += b" " * (document_bytes - len(body))
        end_s = time.monotonic() + START_S
        reply = None
        while reply is None or reply[0] != 200:
            assert time.monotonic() < end_s, f"not acknowledged: {reply}"
            reply = await emulator.post(
                self.control[0],
                "/api/Config.Replace",
                body,
                timeout_s=ANSWER_S,
            )
            await asyncio.sleep(0.1)

    async def call(self) -> int:
        """Make an ordinary call; return the status, or 0 without one."""
        caller = soak.Caller()
        await caller.open(self.gateway.address(soak.FRONT_PORT))
        try:
            answer, _ = await caller.request("/u/x", f"id-{time.time_ns()}")
        except (OSError, TimeoutError):
            return 0
        finally:
            caller.close()
        return answer.status

    async def stop(self) -> None:
        """Kill all programs."""
        for server in self.fleet.servers.values():
            server.crash()
        for program in (self.gateway, self.coordinator):
            if program.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    program.process.kill()
                await program.process.wait()
        self.net_lock.close()


SIZES = {
    "pipeline_requests": PIPELINING_CROWD,
    "send_nothing": SILENT_CROWD,
    "send_half_a_head": SILENT_CROWD,
}
"""Number of callers in a crowd, where it is not that of large bodies."""


async def _check(folder: pathlib.Path, role: str, name: str) -> None:
    deployment = Deployment(folder)
    try:
        await deployment.start()
        if role == "gateway":
            program, count = deployment.gateway, LARGE_CROWD
            target = crowds.Target(
                program.ip, soak.FRONT_PORT, "/u/x", BODY_BYTES
            )
        else:
            program, count = deployment.coordinator, OPERATORS
            target = crowds.Target(
                program.ip,
                soak.CONTROL_PORT,
                "/api/Config.Replace",
                DOCUMENT_BYTES,
            )
        process = program.process
        assert process is not None
        usage = crowds.Usage(process.pid)
        watching = asyncio.create_task(usage.watch())
        caller = crowds.CALLERS[name]
        await crowds.play(target, caller, SIZES.get(name, count), CROWD_S)
        assert process.returncode is None, f"ended: {process.returncode}"
        if role == "coordinator":
            await deployment.configure(DOCUMENT_BYTES)
        end_s = time.monotonic() + ANSWER_S
        while (status := await deployment.call()) != 200:
            assert time.monotonic() < end_s, f"status {status} afterwards"
            await asyncio.sleep(0.2)
        watching.cancel()
        memory_mb = usage.memory_mb()
        print(
            f"\nmeasured {role} {name}: {memory_mb:.0f} MB, "
            f"{usage.descriptors} descriptors"
        )
        assert process.returncode is None, f"ended: {process.returncode}"
        limits = program.limits
        assert memory_mb <= limits["memoryMb"]
        assert usage.descriptors <= limits["maxFds"]
    finally:
        await deployment.stop()


@pytest.mark.parametrize("name", sorted(crowds.CALLERS))
@pytest.mark.parametrize("role", ["gateway", "coordinator"])
def test_crowd_stays_within_the_limits(tmp_path, role, name):
    """Guards against a process whose memory or descriptors callers fill."""
    asyncio.run(_check(tmp_path, role, name))
