"""Short soak runs with fixed seeds; seeds that once failed are kept."""

import asyncio

import pytest

from tests.platform import soak

SEEDS = {
    4: "an engine without a cost for a sequence ended the review of groups",
    8: "the same, beside a coordinator that was killed",
    1: "never failed",
}
DURATION_S = 8.0


@pytest.mark.parametrize("seed", sorted(SEEDS))
def test_soak_violates_no_guarantee(tmp_path, seed):
    """Guards against guarantees broken by faults of processes and links.

    Processes are killed and paused and links cut while the configuration
    changes and calls are made.
    """
    result = asyncio.run(soak.run_seed(seed, DURATION_S, tmp_path))
    assert result.invariants.violations == []
    assert result.served > 0
    assert result.acknowledged > 0
