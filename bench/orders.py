"""Runs many non-repeatable calls under faults and checks their outcomes.

Prints the counts as JSON and exits with 1 if a call ran twice or a call that
was refused as not run did run. Takes too long to be one of the tests;
tests/system/test_orders.py does the same with fewer calls.
"""

import argparse
import json
import pathlib
import sys
import tempfile
import time

import msgspec

from examples import local
from tests.system import test_orders


def main(argv: list[str] | None = None) -> int:
    """Run until enough attempts are made; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=test_orders.SEED)
    parser.add_argument("--threads", type=int, default=32)
    parser.add_argument("--faults", type=int, default=40)
    parser.add_argument("--attempts", type=int, default=10_000)
    parser.add_argument("--folder", default="")
    arguments = parser.parse_args(argv)
    folder = arguments.folder or tempfile.mkdtemp(prefix="flamingocleat-")
    deployment = local.Deployment(pathlib.Path(folder))
    started = time.monotonic()
    try:
        result = test_orders.run(
            deployment,
            arguments.seed,
            arguments.threads,
            arguments.faults,
            arguments.attempts,
        )
    finally:
        deployment.kill()
    share = result.unknown / max(1, result.attempts)
    print(
        json.dumps(
            {
                "command": f"python -m bench.orders --seed {arguments.seed} "
                f"--threads {arguments.threads} "
                f"--faults {arguments.faults} "
                f"--attempts {arguments.attempts}",
                "seconds": round(time.monotonic() - started, 1),
                "unknown_share": round(share, 4),
                **msgspec.to_builtins(result),
            },
            indent=1,
        )
    )
    return 1 if result.faults else 0


if __name__ == "__main__":
    sys.exit(main())
