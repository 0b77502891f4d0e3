"""A request that ends each server that runs it comes again and again."""

import asyncio
import random

import pytest

from tests.direct import ending_servers
from tests.direct import support

LETHAL = b"lethal"
INTERVAL_S = 0.02
MAX_ENDS = 6
"""Ends that rule BUDGET allows: three, and three retries after them."""
PATHS = {"llm": "/stream/x", "desk": "/read/x"}


def is_lethal(received: support.ReceivedRequest) -> bool:
    return received.body == LETHAL


async def play(
    servers: ending_servers.EndingServers, duration_s: float, seed: int
) -> tuple[list[support.Reply], list[support.Reply]]:
    """Send sound requests and a lethal one; return the replies to each."""
    generator = random.Random(seed)
    sound, lethal = [], []

    async def send(replies: list, body: bytes, request_id: str) -> None:
        harness = generator.choice(servers.harnesses)
        replies.append(
            await harness.request(
                PATHS[servers.service],
                "POST",
                body=body,
                X_Request_Id=request_id,
            )
        )

    tasks = []
    for number in range(round(duration_s / INTERVAL_S)):
        replies, body = sound, f"sound {number}".encode()
        if number % 8 == 5:
            replies, body = lethal, LETHAL
        elif number % 8 == 6:
            body = b"sound and frequent"
        tasks.append(
            asyncio.create_task(send(replies, body, f"{seed}-{number}"))
        )
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    return sound, lethal


@pytest.mark.parametrize("gateways", [1, 2])
@pytest.mark.parametrize("service", sorted(PATHS))
def test_request_that_ends_servers_is_kept_from_them(service, gateways):
    """Guards against servers that end one after the other for one request."""

    async def scenario(first):
        harnesses = [first]
        for _ in range(gateways - 1):
            harnesses.append(support.Harness())
            await harnesses[-1].start()
        ending_servers.share_evidence(*harnesses)
        servers = ending_servers.EndingServers(
            harnesses, is_lethal, service, slots=6
        )
        for _ in range(4):
            await servers.add()
        sound, lethal = await play(servers, 3.0, seed=gateways)
        for harness in harnesses[1:]:
            await harness.close()
        assert servers.lethal_arrivals <= MAX_ENDS
        assert servers.ended <= MAX_ENDS
        assert all(reply.status in (502, 503) for reply in lethal)
        served = [reply for reply in sound if reply.is_complete]
        served = [reply for reply in served if reply.status == 200]
        assert len(served) >= 0.95 * len(sound)

    support.run_scenario(scenario)
