"""Load on cold servers from many gateways, in virtual time, under failures."""

import collections.abc
import logging
import random
import statistics

import hypothesis
import pytest
from hypothesis import strategies

from tests.direct import cold_load

BOUND = cold_load.BOUNDS.per_window(cold_load.PER_S)
WHOLE_RATE = 0.9
"""Part of the rate that must be used while callers wait."""
SLOW = (0.0, 1.0)
"""Delays of messages that come late and out of order."""

Fault = collections.abc.Callable[[cold_load.World, random.Random], None]
FAULTS: dict[str, Fault] = {}


@pytest.fixture(autouse=True)
def _no_logs():
    logging.disable(logging.INFO)
    yield
    logging.disable(logging.NOTSET)


def fault(action: Fault) -> Fault:
    """Register a fault for runs with random ones."""
    FAULTS[action.__name__] = action
    return action


@fault
def pause_gateway(world, chance):
    gateway = chance.choice(list(world.gateways.values()))
    gateway.paused_until_s = world.now_s + chance.uniform(0.1, 3.0)


@fault
def cut_off_gateway(world, chance):
    gateway = chance.choice(list(world.gateways.values()))
    gateway.is_cut_off = True
    world.after(
        chance.uniform(0.2, 6.0), lambda: setattr(gateway, "is_cut_off", False)
    )


@fault
def restart_servers(world, chance):
    """Restart servers so fast that they stay in the list."""
    for server in some_servers(world, chance):
        world.restart(server, chance.uniform(1.0, 8.0))


@fault
def lose_servers(world, chance):
    """Lose servers, which return cold."""
    for server in some_servers(world, chance):
        server.is_up = False
        world.after(
            chance.uniform(0.2, 5.0),
            lambda server=server: world.restart(
                server, chance.uniform(1.0, 8.0)
            ),
        )


@fault
def cool_servers(world, chance):
    """Let servers turn cold without saying so until their next announcement.

    Some never say it in announcements, only in answers.
    """
    for server in some_servers(world, chance):
        server.announces_cold = chance.random() < 0.5
        server.cold_until_s = world.now_s + chance.uniform(1.0, 8.0)


@fault
def change_leader(world, chance):
    """Cut a leader off; the next one is elected, and gateways find it."""
    world.leader.is_cut_off = True

    def take_over():
        leader = world.start_leader()
        for gateway in world.gateways.values():
            wait_s = chance.choice([0.05, chance.uniform(0.0, 3.0)])
            world.after(
                wait_s,
                lambda gateway=gateway: setattr(gateway, "leader", leader),
            )

    world.after(chance.uniform(0.0, 1.5), take_over)


@fault
def delay_messages(world, chance):
    usual = cold_load.Settings().delay_s
    world.settings.delay_s = (0.0, chance.uniform(0.05, 1.0))
    world.after(
        chance.uniform(0.5, 3.0),
        lambda: setattr(world.settings, "delay_s", usual),
    )


@fault
def reopen_group(world, chance):
    chance.choice(list(world.servers.values())).group += "+"


def some_servers(world, chance):
    servers = list(world.servers.values())
    return chance.sample(servers, chance.randint(1, len(servers)))


def cold_world(**changes) -> cold_load.World:
    """Return a world whose servers are cold from the start."""
    world = cold_load.World(cold_load.Settings(**changes))
    for server in world.servers.values():
        server.cold_until_s = world.now_s + 1000
    return world


@hypothesis.settings(max_examples=25, deadline=None)
@hypothesis.given(
    seed=strategies.integers(0, 2**20),
    gateways=strategies.sampled_from([1, 2, 6, 8, 16]),
    servers=strategies.integers(1, 3),
    callers_per_s=strategies.sampled_from(
        [(40.0,), (300.0, 5.0), (100.0, 80.0, 20.0), (150.0, 0.0)]
    ),
    loss=strategies.sampled_from([0.0, 0.2]),
    connect_s=strategies.sampled_from([(0.001, 0.01), (0.001, 0.3)]),
    is_cold=strategies.booleans(),
    faults=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(sorted(FAULTS)),
            strategies.floats(0.05, 1.5),
        ),
        max_size=8,
    ),
)
def test_bound_holds_in_every_second_whatever_fails(
    seed, gateways, servers, callers_per_s, loss, connect_s, is_cold, faults
):
    """A cold server crashes above the bound, so no fault may break it."""
    world = cold_load.World(
        cold_load.Settings(
            seed=seed,
            gateways=gateways,
            servers=servers,
            callers_per_s=callers_per_s,
            loss=loss,
            connect_s=connect_s,
        )
    )
    chance = random.Random(seed)
    if is_cold:
        for server in world.servers.values():
            server.cold_until_s = world.now_s + 5.0
    world.run(3.0)
    for name, wait_s in faults:
        FAULTS[name](world, chance)
        world.run(wait_s)
    world.run(4.0)
    assert world.most_in_a_second() <= BOUND


@pytest.mark.parametrize("gateways", [1, 6, 16])
@pytest.mark.parametrize(
    "callers_per_s", [(100.0,), (300.0, 5.0), (150.0, 100.0, 2.0)]
)
def test_rate_is_used_while_callers_wait(gateways, callers_per_s):
    """Grants must go to the gateways whose callers wait, and not expire."""
    world = cold_world(gateways=gateways, callers_per_s=callers_per_s)
    world.run(4.0)
    since_s = world.now_s
    world.run(10.0)
    assert world.gateways["gw-0"].queue
    assert world.used_fraction(since_s, world.now_s) >= WHOLE_RATE
    assert world.most_in_a_second() <= BOUND


def test_callers_of_all_gateways_get_their_part():
    """A gateway with many callers must not take the whole rate."""
    world = cold_world(gateways=3, servers=1, callers_per_s=(300.0, 10.0))
    world.run(10.0)
    few = world.gateways["gw-1"]
    oldest_s = world.now_s - min(few.queue, default=world.now_s)
    assert oldest_s < 6.0
    assert len(few.queue) < 90


@pytest.mark.parametrize("gateways", [2, 16])
def test_data_centre_that_returns_is_not_flooded(gateways):
    """Heads that return together must not be filled by all queues at once.

    They announce that they are cold when they return.
    """
    world = cold_load.World(
        cold_load.Settings(
            gateways=gateways, servers=4, callers_per_s=(600.0 / gateways,)
        )
    )
    world.run(5.0)
    for server in world.servers.values():
        server.is_up = False
    world.run(8.0)
    for server in world.servers.values():
        world.restart(server, 10.0)
    since_s = world.now_s
    world.run(8.0)
    assert world.most_in_a_second() <= BOUND
    assert world.used_fraction(since_s + 1.0, world.now_s) >= WHOLE_RATE


def test_heads_that_turn_cold_just_before_they_are_listed_are_not_flooded():
    """The last announcement before the listing may say that a head is warm."""
    world = cold_load.World(
        cold_load.Settings(gateways=16, servers=4, callers_per_s=(40.0,))
    )
    world.run(5.0)
    for server in world.servers.values():
        server.is_up = False
    world.run(8.0)
    for server in world.servers.values():
        world.restart(server, 0.0)
        server.cold_until_s = world.now_s + 10.0
    world.run(8.0)
    assert 0 < world.most_in_a_second() <= BOUND


@pytest.mark.parametrize("gateways", [2, 16])
def test_server_that_turns_cold_unannounced_is_not_flooded(gateways):
    """Until it says so, gateways take it for warm."""
    world = cold_load.World(
        cold_load.Settings(
            gateways=gateways, servers=1, callers_per_s=(600.0 / gateways,)
        )
    )
    world.run(5.0)
    server = world.servers["s-0"]
    server.announces_cold = False
    server.cold_until_s = world.now_s + 8.0
    world.run(8.0)
    assert 0 < world.most_in_a_second() <= BOUND


def test_burst_at_an_idle_server_that_turned_cold_unannounced():
    """No answer tells gateways of it before all callers are placed."""
    world = cold_load.World(
        cold_load.Settings(gateways=16, servers=1, callers_per_s=(0.0,))
    )
    world.run(5.0)
    world.servers["s-0"].cold_until_s = world.now_s + 8.0
    for gateway in world.gateways.values():
        for _ in range(20):
            gateway.call()
    world.run(4.0)
    assert 0 < world.most_in_a_second() <= BOUND


def test_cut_off_gateway_that_takes_a_server_for_warm_is_counted():
    """A gateway without views may send to a server that has become cold."""
    world = cold_load.World(
        cold_load.Settings(gateways=4, servers=1, callers_per_s=(150.0,))
    )
    world.run(5.0)
    world.gateways["gw-0"].is_cut_off = True
    world.run(2.0)
    world.restart(world.servers["s-0"], 10.0)
    world.run(8.0)
    assert world.most_in_a_second() <= BOUND


def test_paused_gateway_does_not_use_old_grants():
    """After a pause, requests with reserved slots must not be sent."""
    world = cold_world(
        gateways=4, servers=1, callers_per_s=(150.0,), connect_s=(0.2, 0.3)
    )
    world.run(4.0)
    for count in range(4):
        gateway = world.gateways[f"gw-{count}"]
        gateway.paused_until_s = world.now_s + 1.0 - count / 4
        world.run(0.25)
    world.run(3.0)
    assert world.most_in_a_second() <= BOUND


def test_views_that_arrive_late_bring_no_usable_grants():
    """Grants of several views must not be used in the same second."""
    world = cold_world(gateways=8, servers=1, callers_per_s=(50.0,))
    world.run(4.0)
    world.settings.delay_s = SLOW
    world.run(10.0)
    assert world.most_in_a_second() <= BOUND


def test_two_leaders_do_not_grant_the_same_second():
    """A deposed leader that does not know it yet must stop before another."""
    world = cold_world(gateways=8, servers=1, callers_per_s=(50.0,))
    world.run(5.0)
    world.leader.is_cut_off = True
    leader = world.start_leader()
    for number in range(4, 8):
        world.gateways[f"gw-{number}"].leader = leader
    began_s = world.now_s
    world.run(10.0)
    assert world.most_in_a_second() <= BOUND
    assert world.used_fraction(began_s + 6.0, world.now_s) > 0


def test_lost_messages_cost_rate_but_not_the_bound():
    """Grants in lost views are charged although nobody uses them."""
    world = cold_world(gateways=8, servers=1, callers_per_s=(50.0,), loss=0.3)
    world.run(14.0)
    assert 0 < world.most_in_a_second() <= BOUND


def test_server_is_used_fully_once_it_is_warm():
    """The limit must end when an announcement says that a head is warm."""
    world = cold_load.World(
        cold_load.Settings(gateways=4, servers=1, callers_per_s=(100.0,))
    )
    world.run(5.0)
    candidate = world.gateways["gw-0"].candidates.by_backend["s-0"]
    assert candidate.view.cold_ms == 0
    # Gateways fill and empty all slots at the same time.
    in_flight = []
    for _ in range(50):
        world.run(0.02)
        in_flight.append(
            sum(
                each.candidates.by_backend["s-0"].in_flight
                for each in world.gateways.values()
            )
        )
    mean = statistics.fmean(in_flight)
    assert mean > cold_load.PER_S * world.settings.request_s
