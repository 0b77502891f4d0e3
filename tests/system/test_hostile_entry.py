"""Small crowds of callers that try to fill the memory of an entry.

The crowds and bounds were fixed before the product was changed; they depend on
no times.
"""

import asyncio
import time

import msgspec
import pytest
import urllib3

from tests import crowds
from tests.system import scenario
from tests.system import workload

LIMITS = {"memory_mb": 120.0, "max_descriptors": 200}
THREADS = 64
LARGE_CROWD = 48
"""Callers with a body of the largest legal size; 201 MB in all."""
PIPELINING_CROWD = 60
SILENT_CROWD = 300
BODY_BYTES = 4_194_304
CROWD_S = 6.0
ANSWER_S = 30.0
SIZES = {
    "pipeline_requests": PIPELINING_CROWD,
    "send_nothing": SILENT_CROWD,
    "send_half_a_head": SILENT_CROWD,
}
"""Number of callers in a crowd, where it is not that of large bodies."""


def _configuration():
    """Return a configuration whose plain service takes large bodies."""
    whole = workload.configuration(replicas=1)
    services = tuple(
        msgspec.structs.replace(each, max_body_bytes=BODY_BYTES)
        for each in whole.services
    )
    return msgspec.structs.replace(whole, services=services)


@pytest.mark.parametrize("name", sorted(crowds.CALLERS))
def test_crowd_stays_within_the_limits(deployment, name):
    """Guards against an entry whose memory or descriptors callers fill."""
    caller = scenario.start(
        deployment, _configuration(), engines=0, plain=1, entries=0
    )
    entry = deployment.add_entry(
        "entry-0", workload.DATA_CENTRES[0], threads=THREADS, **LIMITS
    )
    scenario.wait_until_serving(deployment, 0, 1)
    process = deployment.entries["entry-0"]
    pid = process.pid
    usage = crowds.Usage(pid)
    host, _, port = entry.listen.rpartition(":")
    target = crowds.Target(
        host,
        int(port),
        f"/services/{workload.PLAIN}/x",
        BODY_BYTES,
        (f"Authorization: Bearer {workload.CUSTOMER_KEY}",),
    )

    async def play() -> None:
        watching = asyncio.create_task(usage.watch())
        await crowds.play(
            target,
            crowds.CALLERS[name],
            SIZES.get(name, LARGE_CROWD),
            CROWD_S,
        )
        watching.cancel()

    asyncio.run(play())
    assert process.running
    end_s = time.monotonic() + ANSWER_S
    while True:
        try:
            status = caller.call("GET", f"/services/{workload.PLAIN}/x").status
        except urllib3.exceptions.HTTPError:
            status = 0
        if status == 200:
            break
        assert time.monotonic() < end_s, f"status {status} afterwards"
        time.sleep(0.2)
    memory_mb = usage.memory_mb()
    print(
        f"\nmeasured entry {name}: {memory_mb:.0f} MB, "
        f"{usage.descriptors} descriptors"
    )
    assert process.pid == pid
    assert process.running
    assert memory_mb <= LIMITS["memory_mb"]
    assert usage.descriptors <= LIMITS["max_descriptors"]
