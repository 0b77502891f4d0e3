"""Case 10: proper requests are refused with 431 after a gateway's restart."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standin-2"))

import standin  # noqa: E402

FOLDER = pathlib.Path(__file__).parent
REQUESTERS = 30
GATEWAYS = 4
"""One of seven machines is killed."""
RESTART_S = 0.3
"""Time after which the platform starts a killed process again."""
CALM_S = 6.0
"""Time from the restart to the requests that count; contactMs is 3000."""
HEADER_BYTES = 40_000
MAX_HEADER_BYTES = 65_536
DEADLINE_MS = 6000
CONFIG = {
    "version": 7,
    "routes": [
        {"name": "r1", "host": "a.example", "pathPrefix": "/u/",
         "kind": "non_idempotent", "timeoutMs": DEADLINE_MS,
         "targetLatencyMs": 300, "priority": 1, "service": "desk",
         "maxAttempts": 1, "allowAnonymous": True},
    ],
    "services": [{"name": "desk", "healthPath": "/health",
                  "maxConnections": 500, "protocol": "h1", "tls": False}],
    "limits": {"maxHeaderBytes": MAX_HEADER_BYTES, "maxBodyBytes": 4194304,
               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
}


class Requester:
    """Keeps one channel for its requests; opens another when it has none."""

    def __init__(self, deployment, number: int) -> None:
        self.deployment, self.number = deployment, number
        self.record = deployment.record
        self.channel = None

    async def connect(self) -> None:
        host, _, port = self.deployment.address(
            "front-1", standin.FRONT
        ).rpartition(":")
        self.channel = await asyncio.open_connection(host, int(port))

    async def send(self, name: str, header_bytes: int = 0) -> int:
        """Send a request on the channel; return its status, or 0."""
        reader, writer = self.channel
        request_id = f"{name}-{self.number}"
        headers = [
            ("Host", "a.example"),
            ("X-Request-Id", request_id),
            ("X-Request-Deadline", str(DEADLINE_MS)),
        ]
        if header_bytes:
            headers.append(("X-Context", "c" * header_bytes))
        data = standin.encode("POST /u/x HTTP/1.1", headers, b"{}")
        head = len(data) - 2
        assert head < MAX_HEADER_BYTES
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                writer.write(data)
                answer = await standin.read_message(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            answer = None
        status = answer.status if answer else 0
        sealed = bool(answer and answer.header("x-response-seal"))
        self.record(
            f"{request_id}, head of {head} bytes, is answered with {status}"
            f"{' of a replica' if sealed else ''}"
        )
        return status

    def close(self) -> None:
        if self.channel is not None:
            self.channel[1].close()


async def play(record, trouble: bool) -> list[str]:
    deployment = standin.Deployment(record, gateways=GATEWAYS)
    replicas = [
        standin.PlainReplica(deployment, number, "desk") for number in (1, 2)
    ]
    requesters = [Requester(deployment, n) for n in range(REQUESTERS)]
    sent = 0
    try:
        await deployment.start_all()
        for replica in replicas:
            replica.slots = 60
            await replica.start()
        await deployment.put(CONFIG)
        await deployment.wait_ready(20.0)
        # The limit holds before the disruption.
        probe = Requester(deployment, 1000)
        await probe.connect()
        if await probe.send("probe", HEADER_BYTES) != 200:
            raise standin.NoRunError("a proper request is not served")
        probe.close()
        sent += 1
        if trouble:
            await deployment.kill("front-1")
            await asyncio.sleep(RESTART_S)
            await deployment.start("front-1")
            await deployment.wait_listening("front-1")
        await asyncio.gather(*(each.connect() for each in requesters))
        first = await asyncio.gather(*(each.send("first") for each in requesters))
        sent += len(first)
        await asyncio.sleep(CALM_S)
        if not await deployment.is_ready("front-1"):
            raise standin.NoRunError("the gateway is not ready")
        kept = [
            each for each, status in zip(requesters, first, strict=True)
            if status == 200
        ]
        record(f"{len(kept)} requesters keep their channels")
        if len(kept) < REQUESTERS // 2:
            raise standin.NoRunError("too few channels are kept")
        second = await asyncio.gather(
            *(each.send("second", HEADER_BYTES) for each in kept)
        )
        sent += len(second)
        denied = [s for s in second if 300 <= s < 500 and s not in (408, 421, 429)]
        allowed = 5 + sent / 500
        record(f"{len(denied)} of {sent} requests are denied; {allowed:.1f} may be")
        if len(denied) > allowed:
            return [f"DENIED: {len(denied)} proper requests of {sent} were "
                    f"answered with {sorted(set(denied))}"]
        if any(status != 200 for status in second):
            record(f"other answers: {second}")
        return []
    finally:
        for each in requesters:
            each.close()
        for replica in replicas:
            await replica.stop()
        await deployment.stop()


if __name__ == "__main__":
    sys.exit(standin.run_case(FOLDER, play))
