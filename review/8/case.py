"""Case 8: a member joins another group while its head stands still."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standin-2"))

import standin  # noqa: E402

FOLDER = pathlib.Path(__file__).parent
CUT_S = 10.0
SECOND_CUT_AT_S = 7.0
QUIET_S = 5.0
REPLICAS = 10
SMALL_DOMAIN = 3
"""Replicas in the first domain: one group and a spare."""
ENGINE = {
    "slots": 24, "kvCapacity": 700000, "tokenKvBytes": 70272,
    "linkMbps": 400000.0, "stride": 3,
    "models": [
        {"name": "m0", "size": 2, "share": 1.0, "pace": 1.0,
         "loadS": 12.0, "warmS": 1.1},
    ],
    "step_ms": 6.07, "per_seq_ms": 0.482, "context_per_k": 0.00976,
    "read_per_s": 46000.0, "pairs_per_m": 0.7, "chunk": 2048,
    "report_lag_ms": 200.0, "loadsPerS": 3.0, "loads_at_once": 6,
    "delays": [], "usual": {"prompt": 1014, "answer": 85},
    "keeps": 1, "far_x": 2.5, "formMs": 300.0,
}
CONFIG = {
    "version": 7,
    "routes": [
        {"name": "r1", "host": "a.example", "pathPrefix": "/s/",
         "kind": "stream", "timeoutMs": 8000, "targetLatencyMs": 400,
         "priority": 1, "service": "llm", "maxAttempts": 2,
         "allowAnonymous": True, "sessionAffinity": True,
         "streamResume": True, "targetGapMs": 300},
    ],
    "services": [
        {"name": "llm", "healthPath": "/health", "maxConnections": 392,
         "protocol": "h1", "tls": False, "engine": ENGINE},
    ],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
}


async def request(deployment, number: int) -> int:
    """Send one request to the gateway; return its status."""
    answer = await standin.call(
        deployment.address("front-1", standin.FRONT), "POST", "/s/x", b"{}",
        (("Host", "a.example"), ("X-Request-Id", f"q{number}"),
         ("X-Model", "m0"),
         ("X-Token-Counts", "100,15"), ("X-Request-Deadline", "4000")),
        timeout_s=4.0,
    )
    status = answer.status if answer else 0
    deployment.record(f"q{number} is answered with {status}")
    return status


async def play(record, trouble: bool) -> list[str]:
    deployment = standin.Deployment(record)
    fleet: dict[str, standin.ModelReplica] = {}
    replicas = [
        standin.ModelReplica(
            deployment, number, "llm", fleet, ENGINE,
            "d0" if number <= SMALL_DOMAIN else "d1",
        )
        for number in range(1, REPLICAS + 1)
    ]
    try:
        await deployment.start_all()
        for replica in replicas:
            await replica.start()
        await deployment.put(CONFIG)
        await deployment.wait_ready(40.0)
        end_s = time.monotonic() + 30.0
        while not (heads := [r for r in replicas[:SMALL_DOMAIN]
                             if r.group_state == "open" and not r.rank]):
            if time.monotonic() > end_s:
                raise standin.NoRunError("no group opens")
            await asyncio.sleep(0.1)
        for replica in replicas:
            replica.loads_fast = False
        head = heads[0]
        member = fleet[head.members[1]]
        for number in range(5):
            if await request(deployment, number) != 200:
                raise standin.NoRunError("a request is not served")
        # Nobody asks this model for some seconds.
        await asyncio.sleep(QUIET_S)
        if trouble:
            await cut(head, member)
        else:
            await asyncio.sleep(SECOND_CUT_AT_S + CUT_S)
        await asyncio.sleep(4.0)
        await request(deployment, 99)
        return [text for each in replicas for text in each.violations]
    finally:
        for replica in replicas:
            await replica.stop()
        await deployment.stop()


async def cut(head, member) -> None:
    """The first cut is of both, the second, from 7 s on, of the head."""
    head.begin_cut()
    member.begin_cut()
    await asyncio.sleep(SECOND_CUT_AT_S)
    head.record(f"the second cut of {head.id} begins")
    await asyncio.sleep(CUT_S - SECOND_CUT_AT_S)
    member.end_cut()
    await asyncio.sleep(SECOND_CUT_AT_S)
    head.end_cut()


if __name__ == "__main__":
    sys.exit(standin.run_case(FOLDER, play))
