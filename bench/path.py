"""Measures the whole request path through real processes.

The figures are the time that the path adds to the first byte, compared with a
direct call to the engine; the resident memory of idle processes; and the
non-repeatable calls answered per second with three voters that sync every
write. Prints JSON with the bounds.
"""

import argparse
import collections.abc
import concurrent.futures
import json
import pathlib
import random
import statistics
import sys
import tempfile
import time

import urllib3

from bench import usage
from examples import local
from tests.system import scenario
from tests.system import workload

WARM_UP = 20
ORDER_THREADS = 32


def _first_byte_ms(
    send: collections.abc.Callable[[], urllib3.BaseHTTPResponse],
) -> float:
    started = time.perf_counter()
    reply = send()
    reply.read1()
    elapsed = time.perf_counter() - started
    reply.read()
    return 1000 * elapsed


def measure_first_byte(
    deployment: local.Deployment, caller: workload.Caller, count: int
) -> dict[str, float]:
    """Return medians in ms, direct and through the entry.

    Direct calls and calls through the entry alternate.
    """
    lead = scenario.serving_groups(deployment)[0]["members"][0]
    engine = deployment.backend_servers[lead].settings.backend_url
    body = json.dumps(
        {"model": workload.MODEL, "stream": True, "max_tokens": 2}
        | {"messages": [{"role": "user", "content": "site 17"}]}
    ).encode()

    def direct() -> urllib3.BaseHTTPResponse:
        return caller.http.request(
            "POST",
            f"{engine}/v1/chat/completions",
            body=body,
            headers={"X-Request-Id": f"direct-{time.monotonic_ns()}"},
            preload_content=False,
        )

    def through() -> urllib3.BaseHTTPResponse:
        return caller.complete("site 17", 2, live=True)

    samples = [
        (_first_byte_ms(direct), _first_byte_ms(through))
        for _ in range(WARM_UP + count)
    ][WARM_UP:]
    directs, throughs = zip(*samples, strict=True)
    return {
        "direct_ms": round(statistics.median(directs), 2),
        "through_ms": round(statistics.median(throughs), 2),
        "added_ms": round(
            statistics.median(throughs) - statistics.median(directs), 2
        ),
    }


def measure_orders(caller: workload.Caller, seconds: float, seed: int) -> float:
    """Return the non-repeatable calls answered per second."""
    deadline = time.monotonic() + seconds

    def send(number: int) -> int:
        rng = random.Random(seed * 1000 + number)
        answered = 0
        while time.monotonic() < deadline:
            key = workload.new_key(rng)
            entry = f"entry-{number % 2}"
            reply = caller.order(key, entry, key.encode())
            answered += reply.outcome == "answered"
        return answered

    with concurrent.futures.ThreadPoolExecutor(ORDER_THREADS) as threads:
        return sum(threads.map(send, range(ORDER_THREADS))) / seconds


def main(argv: list[str] | None = None) -> int:
    """Run all measurements and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--count", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args(argv)
    folder = tempfile.mkdtemp(prefix="flamingocleat-path-")
    deployment = local.Deployment(pathlib.Path(folder))
    try:
        caller = scenario.start(
            deployment,
            workload.configuration(),
            engines=6,
            plain=2,
            engine_options=("--token-ms", "1", "--prefill-ms", "1"),
        )
        time.sleep(2.0)
        memory = {
            "agent_mb": usage.resident_mb(
                deployment.backend_servers["vm-5"].agent.pid
            ),
            "entry_mb": usage.resident_mb(deployment.entries["entry-0"].pid),
            "control_mb": usage.resident_mb(
                scenario.leader_process(deployment).pid
            ),
        }
        first_byte = measure_first_byte(deployment, caller, arguments.count)
        orders = measure_orders(caller, arguments.seconds, arguments.seed)
    finally:
        deployment.kill()
    print(
        json.dumps(
            {
                "command": f"python -m bench.path --count {arguments.count} "
                f"--seconds {arguments.seconds} --seed {arguments.seed}",
                "first_byte": first_byte | {"bound_added_ms": 5.0},
                "idle_resident": {k: round(v, 1) for k, v in memory.items()}
                | {"bound_agent_mb": 40, "bound_others_mb": 64},
                "orders_per_s": round(orders, 1),
            },
            indent=1,
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
