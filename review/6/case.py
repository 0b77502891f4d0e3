"""Case 6: a disk is lost long after two machines of the core were replaced.

They are replaced one after the other, as planned work.
"""

import asyncio
import json
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standin-2"))

import standin  # noqa: E402

FOLDER = pathlib.Path(__file__).parent
SUCCESSOR_S = 8.0
"""Time that the successor has; catchUpS is 4."""
PAUSE_S = 15.0
"""Time from the end of the second machine that is removed to the loss of a
disk."""
DOWN_S = 2.0
READ_S = 40.0
"""Time in which the config may be read back; recoveryS is 12."""


def config(version: int) -> dict:
    return {
        "version": version,
        "routes": [
            {"name": "r1", "host": "a.example", "pathPrefix": "/u/",
             "kind": "non_idempotent", "timeoutMs": 1500,
             "targetLatencyMs": 300, "priority": 1, "service": "desk",
             "maxAttempts": 1, "allowAnonymous": True},
        ],
        "services": [{"name": "desk", "healthPath": "/health",
                      "maxConnections": 96, "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }


async def read_back(deployment, nodes, within_s: float) -> int | None:
    """Read the config from any of the nodes until one answers with it."""
    end_s = time.monotonic() + within_s
    while time.monotonic() < end_s:
        for node in nodes:
            answer = await standin.call_control(
                deployment.address(node, standin.CONTROL),
                "GET", "/api/Config.Get",
            )
            status = answer.status if answer else 0
            if status == 200:
                version = json.loads(answer.body)["version"]
                deployment.record(f"{node} answers a read with {version}")
                return version
            deployment.record(f"{node} answers a read with status {status}")
        await asyncio.sleep(0.5)
    return None


async def play(record, trouble: bool) -> list[str]:
    deployment = standin.Deployment(record, gateways=0)
    try:
        await deployment.start_all()
        await deployment.put(config(7))
        # Two machines of the core are replaced, one after the other: the new
        # one comes first, and the next one once the old one has ended.
        for successor, removed in (("core-4", "core-1"), ("core-5", "core-2")):
            number = successor.rpartition("-")[2]
            deployment.roles[successor] = (
                "coordinator", f"127.{deployment.net}.1.{number}"
            )
            await deployment.start(successor)
            await asyncio.sleep(SUCCESSOR_S)
            deployment.signal(removed, signal.SIGTERM)
            await deployment.processes[removed].wait()
            record(f"{removed} has ended, and is removed")
            del deployment.roles[removed]
        await deployment.put(config(8))
        await asyncio.sleep(PAUSE_S)
        await deployment.put(config(9))
        leader = await deployment.leader()
        if leader is None:
            raise standin.NoRunError("there is no leader")
        record(f"{leader} leads")
        if trouble:
            lost = leader
            await deployment.kill(lost)
            deployment.disks[lost] = 1
            record(f"{lost} has lost its disk")
            await asyncio.sleep(DOWN_S)
            await deployment.start(lost)
        nodes = [n for n in deployment.roles if n.startswith("core")]
        version = await read_back(deployment, nodes, READ_S)
        if version is None:
            return [f"CONFIG: 9 was acknowledged, and {READ_S:.0f} s "
                    "after the loss of one disk no machine returns it"]
        if version < 9:
            return [f"CONFIG: 9 was acknowledged, {version} is read"]
        return []
    finally:
        await deployment.stop()


if __name__ == "__main__":
    sys.exit(standin.run_case(FOLDER, play))
