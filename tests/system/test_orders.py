"""Non-repeatable calls run at most once, and refusals are correct."""

import random
import time

from tests.system import scenario
from tests.system import workload

SEED = 20261204


def _inject_fault(deployment, rng):
    """Kill and restart, or pause and resume, a random process."""
    processes = [*deployment.control.values(), *deployment.entries.values()]
    for server in deployment.backend_servers.values():
        processes += [server.agent, server.stand_in]
    process = rng.choice(processes)
    if rng.random() < 0.5:
        process.kill()
        time.sleep(rng.random())
        process.start()
    else:
        scenario.pause(process)
        time.sleep(rng.random() * 3)
        scenario.resume(process)
    time.sleep(rng.random())


def run(deployment, seed, threads, faults, attempts=0):
    """Send orders under faults and return the result of the check.

    Stops when both the given number of faults was injected and the given
    number of attempts was made.
    """
    caller = scenario.start(
        deployment,
        workload.configuration(),
        engines=0,
        plain=3,
        plain_options=("--delay-ms", "30"),
    )
    rng = random.Random(seed)
    generator = workload.OrderGenerator(caller, seed, threads)
    generator.start()
    count = 0
    while count < faults or len(generator.results) < attempts:
        _inject_fault(deployment, rng)
        count += 1
    generator.stop()
    journals = [
        scenario.journal_path(deployment, vm)
        for vm in deployment.backend_servers
    ]
    check_result = workload.check_orders(
        generator.results, workload.read_runs(journals)
    )
    check_result.injected = count
    return check_result


def test_no_order_runs_twice_and_no_refusal_is_false(deployment):
    """Processes are killed and paused while callers resend orders.

    Guards against an order that runs twice (two lorries would be sent) and
    against a not-run answer for an order that ran: its caller would submit
    it again manually.
    """
    check_result = run(deployment, SEED, threads=8, faults=12)
    assert check_result.answered > 0
    assert check_result.faults == []
