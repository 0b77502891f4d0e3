"""Non-repeatable calls run at most once, and refusals are true."""

import random
import time

from tests.system import scenario
from tests.system import workload

SEED = 20261204


def _fault(deployment, rng):
    """Kill and restart, or freeze and thaw, one process."""
    processes = [*deployment.control.values(), *deployment.entries.values()]
    for server in deployment.backend_servers.values():
        processes += [server.agent, server.stand_in]
    process = rng.choice(processes)
    if rng.random() < 0.5:
        process.kill()
        time.sleep(rng.random())
        process.start()
    else:
        scenario.freeze(process)
        time.sleep(rng.random() * 3)
        scenario.thaw(process)
    time.sleep(rng.random())


def run(deployment, seed, threads, faults, attempts=0):
    """Send orders until so many faults and attempts; return the verdict."""
    caller = scenario.start(
        deployment,
        workload.configuration(),
        engines=0,
        plain=3,
        plain_options=("--delay-ms", "30"),
    )
    rng = random.Random(seed)
    orders = workload.Orders(caller, seed, threads)
    orders.start()
    count = 0
    while count < faults or len(orders.told) < attempts:
        _fault(deployment, rng)
        count += 1
    orders.stop()
    journals = [
        scenario.journal(deployment, vm) for vm in deployment.backend_servers
    ]
    verdict = workload.check_orders(orders.told, workload.runs(journals))
    verdict.injected = count
    return verdict


def test_no_order_runs_twice_and_no_refusal_is_false(deployment):
    """A doubled order sends two lorries; a false refusal doubles by hand."""
    verdict = run(deployment, SEED, threads=8, faults=12)
    assert verdict.answered > 0
    assert verdict.faults == []
