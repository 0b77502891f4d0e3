"""Short soak runs with fixed seeds; seeds that once failed are kept."""

import asyncio
import signal

import pytest

from tests.platform import connection_faults
from tests.platform import control_faults
from tests.platform import faults as faults_module
from tests.platform import lethal_faults
from tests.platform import limit_faults
from tests.platform import membership_faults
from tests.platform import power_faults
from tests.platform import soak
from tests.platform import stop_faults

SEEDS = {
    4: "an engine without a cost for a sequence ended the review of groups",
    8: "the same, beside a coordinator that was killed",
    1: "never failed",
}
LATER_FAULTS = {
    "ask_to_wait",
    "leave_server",
    "send_lethal_prompts",
    "drop_lengths",
    "stand_still",
    "slow_down",
    "delay_announcements",
    "lose_leader_beside_late_announcements",
    "return_elsewhere",
    "grow_configuration",
    "evacuate",
    "return_together",
    "burst",
    "send_crowd",
    *connection_faults.NEW_FAULTS,
    *control_faults.NEW_FAULTS,
    *limit_faults.NEW_FAULTS,
    *membership_faults.NEW_FAULTS,
    *power_faults.NEW_FAULTS,
    *lethal_faults.NEW_FAULTS,
    *stop_faults.NEW_FAULTS,
}
"""Faults that did not exist yet as these seeds were found. A seed draws other
faults if there are more to draw from."""
SEEDS_OF_ALL_FAULTS = {
    400: "never failed",
}
COLD_FAULTS = {"return_together", "kill", "pause", "crash_server"}
SEEDS_OF_COLD_FAULTS = {
    500: "never failed",
}
LIMIT_FAULTS = {"name_limits", "burst", "kill", "split_voters"}
SEEDS_OF_LIMIT_FAULTS = {
    700: "limited servers got what their slots took",
}
LETHAL_FAULTS = {*lethal_faults.NEW_FAULTS, "kill"}
SEEDS_OF_LETHAL_FAULTS = {
    902: "never failed",
}
SEEDS_OF_CONTROL_FAULTS = {
    38100: "a change whose bytes are no text was acknowledged and obeyed",
    600: "never failed",
}
STOP_FAULTS = {"stop_in_series", "vary_paces", "change_settings"}
SEEDS_OF_STOP_FAULTS = {
    9101: "streams of silent servers were cut that could not be retried, and "
    "callers in the queue of a starting gateway reset",
}
SEEDS_OF_MEMBERSHIP_FAULTS = {
    "replace_coordinators": 5101,
    "part_groups": 9,
    "open_late": 7,
    "raise_limits": 5001,
}
"""Each was broken by the programs of before the fix of what its fault plays."""
DURATION_S = 8.0
NEEDED_FAULTS = [
    *(
        (seed, COLD_FAULTS, {"return_together"})
        for seed in SEEDS_OF_COLD_FAULTS
    ),
    *((seed, LIMIT_FAULTS, {"name_limits"}) for seed in SEEDS_OF_LIMIT_FAULTS),
    *(
        (seed, LETHAL_FAULTS, lethal_faults.NEW_FAULTS)
        for seed in SEEDS_OF_LETHAL_FAULTS
    ),
    *((seed, STOP_FAULTS, {"stop_in_series"}) for seed in SEEDS_OF_STOP_FAULTS),
]
"""Seeds, the faults that they draw from and those that their test checks."""


def check(result: soak.Soak) -> None:
    assert result.invariants.violations == []
    assert result.served > 0
    assert result.acknowledged > 0


@pytest.mark.parametrize(("seed", "drawn_from", "needed"), NEEDED_FAULTS)
def test_seed_draws_the_faults_that_its_test_needs(seed, drawn_from, needed):
    """Guards against runs that inject nothing that their test checks."""
    at_s = 0.0
    for name, wait_s in faults_module.draw(seed, drawn_from):
        if name in needed or at_s > DURATION_S:
            break
        at_s += wait_s
    assert at_s < DURATION_S / 2


@pytest.mark.parametrize("seed", sorted(SEEDS))
def test_soak_violates_no_guarantee(tmp_path, seed):
    """Guards against guarantees broken by faults of processes and links.

    Processes are killed and paused and links cut while the configuration
    changes and calls are made.
    """
    faults = {
        name: action
        for name, action in soak.FAULTS.items()
        if name not in LATER_FAULTS
    }
    check(asyncio.run(soak.run_seed(seed, DURATION_S, tmp_path, faults)))


@pytest.mark.parametrize("seed", sorted(SEEDS_OF_ALL_FAULTS))
def test_soak_with_all_faults_violates_no_guarantee(tmp_path, seed):
    """The same, and backend servers leave, name waits or crash on prompts."""
    check(asyncio.run(soak.run_seed(seed, DURATION_S, tmp_path)))


@pytest.mark.parametrize("seed", sorted(SEEDS_OF_COLD_FAULTS))
def test_engines_that_return_together_are_not_flooded(tmp_path, seed):
    """Many callers wait as cold engines return, and programs fail meanwhile."""
    faults = {name: soak.FAULTS[name] for name in COLD_FAULTS}
    result = asyncio.run(soak.run_seed(seed, DURATION_S, tmp_path, faults))
    check(result)
    assert result.invariants.cold_arrivals > 0


@pytest.mark.parametrize("seed", sorted(SEEDS_OF_CONTROL_FAULTS))
def test_gateways_obey_what_control_acknowledged(tmp_path, seed):
    """Operators race, lose answers and send invalid changes meanwhile.

    Voters are cut from each other, killed and slowed, signals come in series.
    """
    faults = {
        name: soak.FAULTS[name]
        for name in (*control_faults.NEW_FAULTS, "kill", "pause")
    }
    result = asyncio.run(soak.run_seed(seed, DURATION_S, tmp_path, faults))
    check(result)
    assert result.config_watch.probes > 0


@pytest.mark.parametrize("seed", sorted(SEEDS_OF_LIMIT_FAULTS))
def test_servers_that_name_a_limit_get_no_more(tmp_path, seed):
    """Limits are named beside killed and paused programs and bursts."""
    faults = {name: soak.FAULTS[name] for name in LIMIT_FAULTS}
    result = asyncio.run(soak.run_seed(seed, DURATION_S, tmp_path, faults))
    check(result)
    assert result.limits_checked > 0


@pytest.mark.parametrize("seed", sorted(SEEDS_OF_LETHAL_FAULTS))
def test_requests_that_end_servers_are_kept_from_them(tmp_path, seed):
    """They come again at any gateway, beside sound ones and killed programs."""
    faults = {name: soak.FAULTS[name] for name in LETHAL_FAULTS}
    result = asyncio.run(soak.run_seed(seed, DURATION_S, tmp_path, faults))
    check(result)
    assert result.fleet.lethal_requests


@pytest.mark.parametrize("seed", sorted(SEEDS_OF_STOP_FAULTS))
def test_planned_work_cuts_no_answer(tmp_path, seed):
    """Gateways are stopped in series and reloaded, under calls of all kinds."""
    faults = {name: soak.FAULTS[name] for name in STOP_FAULTS}
    result = asyncio.run(
        soak.run_seed(seed, DURATION_S, tmp_path, faults, gateways=3)
    )
    check(result)
    assert any(
        number is signal.SIGTERM
        for gateway in result.gateways
        for _, number in gateway.signals
    )


@pytest.mark.parametrize("fault", sorted(SEEDS_OF_MEMBERSHIP_FAULTS))
def test_seldom_orders_of_events_violate_no_guarantee(tmp_path, fault):
    """Replacements beside lost disks, partitions that end in turn, late orders.

    Limits are raised while callers keep their connections.
    """
    seed = SEEDS_OF_MEMBERSHIP_FAULTS[fault]
    faults = {fault: soak.FAULTS[fault]}
    result = asyncio.run(soak.run_seed(seed, DURATION_S, tmp_path, faults))
    check(result)
    if fault == "raise_limits":
        assert result.large_heads > 0
