"""Load on servers that name limits, from many gateways, in virtual time."""

import logging
import random

import hypothesis
import pytest
from hypothesis import strategies

from flamingocleat.version import catalog as catalog_module
from tests.direct import cold_load
from tests.direct import test_cold_load

WINDOW_S = 4.0
OVERSHOOT, SLACK = 1.5, 5
CONTACT_S = 3.0
"""Time after which the bound holds from the first limit on."""
CATALOG = catalog_module.Catalog(
    1, (), (catalog_module.Service(cold_load.SERVICE, 10),), ()
)
WHOLE_RATE = 0.85
"""Part of a limit that must be used while callers wait."""


@pytest.fixture(autouse=True)
def _no_logs():
    logging.disable(logging.INFO)
    yield
    logging.disable(logging.NOTSET)


def world(**settings) -> cold_load.World:
    return cold_load.World(
        cold_load.Settings(configuration=CATALOG, **settings),
    )


def name_limit(
    world: cold_load.World, per_s: float | None, servers: int = 99
) -> None:
    for server in list(world.servers.values())[:servers]:
        server.limits.append((world.now_s, per_s))


def most_allowed(server: cold_load.Server, from_s: float, to_s: float) -> float:
    """Return how many requests a server may get in a window.

    The highest limit that it named in the window counts; infinite if it named
    none for a part of it, or began less than CONTACT_S before.
    """
    highest = 0.0
    for number, (since_s, per_s) in enumerate(server.limits):
        until_s = float("inf")
        if number + 1 < len(server.limits):
            until_s = server.limits[number + 1][0]
        if until_s <= from_s or since_s > to_s:
            continue
        if per_s is None:
            return float("inf")
        highest = max(highest, per_s)
    named_s = [since_s for since_s, per_s in server.limits if per_s is not None]
    if not named_s or from_s < named_s[0] + CONTACT_S:
        return float("inf")
    return OVERSHOOT * WINDOW_S * highest + SLACK


def excess(world: cold_load.World, excused: set[str] = frozenset()) -> float:
    """Return by how much the worst window is above what is allowed."""
    worst = -float("inf")
    for server in world.servers.values():
        counted_s = sorted(
            each.at_s
            for each in server.arrivals
            if each.is_told and each.gateway not in excused
        )
        for first, from_s in enumerate(counted_s):
            count = sum(at_s < from_s + WINDOW_S for at_s in counted_s[first:])
            allowed = most_allowed(server, from_s, from_s + WINDOW_S)
            worst = max(worst, count - allowed)
    return worst


def used_per_s(world: cold_load.World, from_s: float, until_s: float) -> float:
    """Return the requests per second that all servers got."""
    arrivals = sum(
        from_s <= each.at_s < until_s
        for server in world.servers.values()
        for each in server.arrivals
    )
    return arrivals / (until_s - from_s)


@pytest.mark.parametrize("gateways", [1, 4, 16])
@pytest.mark.parametrize("per_s", [1.0, 1.8, 6.5, 40.0])
def test_limited_servers_get_their_limit_from_all_gateways(gateways, per_s):
    """Guards against limits that are exceeded, or left unused."""
    load = world(gateways=gateways, callers_per_s=(60.0 / gateways,))
    load.run(4.0)
    name_limit(load, per_s)
    load.run(4.0)
    began_s = load.now_s
    load.run(30.0)
    assert excess(load) <= 0
    used = used_per_s(load, began_s, load.now_s)
    expected = min(3 * per_s, 60.0)
    assert WHOLE_RATE * expected <= used <= expected * 1.1 + 1


def test_one_busy_gateway_uses_the_whole_limit():
    """Guards against equal shares, of which idle gateways waste theirs."""
    load = world(gateways=16, callers_per_s=(30.0, 0.0))
    load.run(4.0)
    name_limit(load, 2.0)
    load.run(4.0)
    began_s = load.now_s
    load.run(20.0)
    assert excess(load) <= 0
    assert used_per_s(load, began_s, load.now_s) >= WHOLE_RATE * 6.0


def test_limits_that_fall_rise_and_go_are_followed():
    """Guards against limits that stay, or are followed late."""
    load = world(gateways=8, callers_per_s=(10.0,))
    load.run(4.0)
    for per_s in (8.0, 1.0, 4.0, 0.0):
        name_limit(load, per_s)
        load.run(8.0)
    assert excess(load) <= 0
    name_limit(load, None)
    load.run(8.0)
    began_s = load.now_s
    load.run(5.0)
    assert used_per_s(load, began_s, load.now_s) > 70


def test_gateways_without_a_leader_stay_within_limits_and_serve():
    """Guards against servers that nobody uses while a leader is missing."""
    load = world(gateways=4, callers_per_s=(10.0,))
    load.run(4.0)
    name_limit(load, 4.0)
    load.run(5.0)
    for gateway in load.gateways.values():
        gateway.is_cut_off = True
    load.run(2.0)
    began_s = load.now_s
    load.run(8.0)
    used = used_per_s(load, began_s, load.now_s)
    for gateway in load.gateways.values():
        gateway.is_cut_off = False
    load.run(8.0)
    assert excess(load) <= 0
    assert 4.0 <= used <= 8.0


def test_gateways_that_lose_the_leader_count_for_those_that_do_not():
    """Guards against grants for all beside shares of some."""
    load = world(gateways=8, callers_per_s=(10.0,))
    load.run(4.0)
    name_limit(load, 6.0)
    load.run(5.0)
    for gateway in list(load.gateways.values())[:7]:
        gateway.is_cut_off = True
    load.run(10.0)
    assert excess(load) <= 0


def test_limit_is_kept_across_changes_of_the_leader():
    """Guards against two leaders' grants, and a leader that knows no limits."""
    load = world(gateways=8, callers_per_s=(10.0,))
    load.run(4.0)
    name_limit(load, 3.0)
    load.run(5.0)
    for _ in range(4):
        load.start_leader()
        for gateway in load.gateways.values():
            gateway.leader = load.leader
        load.run(1.7)
    assert excess(load) <= 0
    load.run(4.0)
    began_s = load.now_s
    load.run(10.0)
    assert used_per_s(load, began_s, load.now_s) >= WHOLE_RATE * 9.0
    assert excess(load) <= 0


@hypothesis.settings(
    max_examples=40, deadline=None, derandomize=True, database=None
)
@hypothesis.given(
    seed=strategies.integers(0, 2**32),
    per_s=strategies.sampled_from([0.0, 0.4, 1.0, 3.0, 12.0]),
    gateways=strategies.sampled_from([2, 4, 16]),
)
def test_limits_hold_beside_faults(seed, per_s, gateways):
    """Messages are lost and late, leaders change, gateways pause, limits move.

    Gateways that are paused or cut off are excused.
    """
    chance = random.Random(seed)
    load = world(
        seed=seed,
        gateways=gateways,
        callers_per_s=(60.0 / gateways,),
        delay_s=(0.001, 0.1),
        loss=0.05,
    )
    load.run(3.0)
    name_limit(load, per_s, servers=2)
    excused = set()
    for _ in range(8):
        load.run(chance.uniform(0.3, 2.5))
        kind = chance.choice(["leader", "pause", "cut", "limit"])
        gateway = chance.choice(list(load.gateways.values()))
        if kind == "leader":
            load.start_leader()
            for each in load.gateways.values():
                each.leader = load.leader
        elif kind == "limit":
            name_limit(load, chance.choice([per_s, 2 * per_s, None]), 1)
        else:
            excused.add(gateway.name)
            test_cold_load.FAULTS[
                "pause_gateway" if kind == "pause" else "cut_off_gateway"
            ](load, chance)
            excused |= {
                each.name
                for each in load.gateways.values()
                if each.is_cut_off or each.paused_until_s > load.now_s
            }
    load.run(5.0)
    assert excess(load, excused) <= 0
