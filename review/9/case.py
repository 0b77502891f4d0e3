"""Case 9: a member joins another group while its head, opened late, is open."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standin-2"))

import standin  # noqa: E402

FOLDER = pathlib.Path(__file__).parent
LATE_S = 4.0
"""Time after which the order without an answer is carried out: 2 to 12 s."""
CUT_AFTER_S = 0.2
"""Time from that order to the cut."""
CUT_S = 10.0
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


class Replica(standin.ModelReplica):
    """A replica that may leave one order to open unanswered."""

    late = False
    """Whether the next order to open gets no answer and is carried out late."""

    async def handle(self, request, writer) -> None:
        is_order = request.first.split()[1] == "/api/order"
        order = json.loads(request.body) if is_order else {}
        is_small = self.domain == "d0"
        if Replica.late and is_small and order.get("op") == "open":
            Replica.late = False
            self.record(f"{self.id} leaves an order to open unanswered")
            self._later(self._carry_out(order))
            await asyncio.sleep(CUT_AFTER_S)
            self.begin_cut()
            self._later(self._heal())
            return
        await super().handle(request, writer)

    async def _carry_out(self, order: dict) -> None:
        await asyncio.sleep(LATE_S)
        status = self.apply(order)
        self.record(f"{self.id} carries out the order to open: {status}")

    async def _heal(self) -> None:
        await asyncio.sleep(CUT_S)
        self.end_cut()


async def play(record, trouble: bool) -> list[str]:
    deployment = standin.Deployment(record)
    fleet: dict[str, Replica] = {}
    Replica.late = trouble
    replicas = [
        Replica(
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
        end_s = time.monotonic() + 30.0
        while not any(r.group_state == "open" for r in replicas[:SMALL_DOMAIN]):
            if time.monotonic() > end_s:
                raise standin.NoRunError("no group opens")
            await asyncio.sleep(0.1)
        await asyncio.sleep(CUT_S + 4.0)
        return [text for each in replicas for text in each.violations]
    finally:
        for replica in replicas:
            await replica.stop()
        await deployment.stop()


if __name__ == "__main__":
    sys.exit(standin.run_case(FOLDER, play))
