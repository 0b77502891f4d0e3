"""Non-repeatable calls run at most once, and refusals are true."""

import random
import time

from tests.system import scenario
from tests.system import workload

SEED = 20261204


def _faults(deployment, rng, orders):
    """Kill, freeze and restart parts at random until the orders are done."""
    control = list(deployment.control.values())
    entries = list(deployment.entries.values())
    servers = list(deployment.backend_servers.values())
    agents = [server.agent for server in servers]
    stand_ins = [server.stand_in for server in servers]
    while orders.running:
        process = rng.choice([*control, *entries, *agents, *stand_ins])
        if rng.random() < 0.5:
            process.kill()
            time.sleep(rng.random())
            process.start()
        else:
            scenario.freeze(process)
            time.sleep(rng.random() * 3)
            scenario.thaw(process)
        time.sleep(rng.random())


def run(deployment, seed, threads, keys_each):
    """Send orders under faults and return the verdict."""
    caller = scenario.start(
        deployment, workload.configuration(), engines=0, plain=3
    )
    orders = workload.Orders(caller, seed, threads, keys_each)
    orders.start()
    _faults(deployment, random.Random(seed), orders)
    orders.join()
    journals = [
        scenario.journal(deployment, vm) for vm in deployment.backend_servers
    ]
    return workload.check_orders(orders.told, workload.runs(journals))


def test_no_order_runs_twice_and_no_refusal_is_false(deployment):
    """A doubled order sends two lorries; a false refusal doubles by hand."""
    verdict = run(deployment, SEED, threads=8, keys_each=15)
    assert verdict.keys == 8 * 15
    assert verdict.answered > 0
    assert verdict.faults == []
