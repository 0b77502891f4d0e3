"""Time until a new leader serves with all groups again, in virtual time.

Each run loses the leader and a member of a group at the same time. Prints the
time until all models have as many open groups as before, from the moment at
which the new leader is ready, with announcements in time and late.
"""

import argparse
import statistics

from bench import report
from tests.direct import vms

LOSSES = 20
LIMIT_S = 60.0
LATE_FRACTION = 0.3
DETECTION_S = 0.2
"""Time after which a head that lost a member stands still."""


def recover(seed: int, late_fraction: float) -> tuple[float, int]:
    """Return the time to recover in seconds, and the broken rules."""
    simulation = vms.Simulation(seed=seed)
    simulation.run(14)
    simulation.manager.has_traffic = True
    before = simulation.open_groups()
    simulation.late_fraction = late_fraction
    members = [vm for vm in simulation.vms.values() if len(vm.members) > 1]
    simulation.random.choice(members).alive = False
    simulation.start_term(3)
    simulation.manager.has_traffic = True
    began_s = simulation.now_s
    simulation.run(DETECTION_S)
    while simulation.open_groups() != before:
        if simulation.now_s - began_s > LIMIT_S:
            break
        simulation.tick()
    return simulation.now_s - began_s, len(simulation.violations)


def main() -> None:
    """Print the times for announcements in time and late."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--losses", type=int, default=LOSSES)
    options = parser.parse_args()
    rows = []
    for late_fraction in (0.0, LATE_FRACTION):
        runs = [recover(seed, late_fraction) for seed in range(options.losses)]
        times_s = [elapsed_s for elapsed_s, _ in runs]
        rows.append(
            (
                f"{late_fraction:.0%}",
                f"{statistics.median(times_s):.1f}",
                f"{max(times_s):.1f}",
                sum(count > 0 for _, count in runs),
            )
        )
    head = ("late", "median s", "longest s", "runs with a broken rule")
    print(report.table(head, rows))


if __name__ == "__main__":
    main()
