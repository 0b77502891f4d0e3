"""Learned pace: what callers get with uneven servers, and wrong verdicts.

Runs without a network against simulated servers (`pace_load.py`), with the
same arrivals once with and once without what was learned.
"""

import itertools
import random

import pytest

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.process import learned_paces
from flamingocleat.request import pace_samples
from flamingocleat.version import fleet as fleet_module
from flamingocleat.version import formation
from flamingocleat.version import group as group_module
from flamingocleat.version import groups
from flamingocleat.version import pace
from tests.direct import pace_load
from tests.direct import vms

DECLARED = pace_load.declared
SEEDS = (1, 2, 3)


def half_full(factor: float) -> pace_load.Slowness:
    """Return the slowness of a server that slows down from half its slots."""
    return lambda now_s, load: 1.0 if load <= 12 else factor


def for_seconds(factor: float, from_s: float, to_s: float):
    """Return the slowness of a server that is slow for some time."""
    return lambda now_s, load: factor if from_s <= now_s < to_s else 1.0


def compare(slowness, rate_per_s, until_s=16.0, **options):
    """Return share on time and mean wait, without and with learned paces."""
    results = []
    for learns in (False, True):
        runs = [
            pace_load.Load(
                slowness,
                learns=learns,
                rate_per_s=rate_per_s,
                seed=seed,
                **options,
            ).run(until_s)
            for seed in SEEDS
        ]
        on_time = sum(each.on_time() for each in runs) / len(runs)
        mean_s = sum(each.mean_wait_s() for each in runs) / len(runs)
        results.append((on_time, mean_s, runs[-1]))
    return results


@pytest.mark.parametrize("plain", [False, True])
@pytest.mark.parametrize("rate_per_s", [8, 30, 50])
def test_choices_are_as_before_with_servers_as_declared(rate_per_s, plain):
    """Learned paces must not change anything where servers do not differ."""
    chosen = [
        pace_load.Load(
            [DECLARED] * 6, learns=learns, rate_per_s=rate_per_s, plain=plain
        )
        .run(20.0)
        .chosen
        for learns in (False, True)
    ]
    assert len(chosen[0]) > 100
    assert chosen[0] == chosen[1]


@pytest.mark.parametrize("factor", [2, 3, 5])
def test_callers_wait_less_beside_slow_servers(factor):
    """A third of the servers being slow must not make a part of answers late.

    On a deployment with a third of the servers slow, 14 % of one kind of calls
    were lost since slots in use alone decided.
    """
    slowness = [DECLARED] * 4 + [pace_load.slower(factor)] * 2
    (base, base_s, _), (learned, learned_s, run) = compare(slowness, 30)
    assert 1 - learned <= (1 - base) / 2
    assert learned_s < base_s
    assert run.slow() <= {"h-4", "h-5"}


@pytest.mark.parametrize("factor", [3, 5])
def test_callers_of_plain_servers_wait_less(factor):
    """A slow plain server must not go on getting its part of the calls."""
    slowness = [pace_load.slower(factor)] * 2 + [DECLARED] * 6
    (base, base_s, _), (learned, learned_s, _) = compare(
        slowness, 18, until_s=30.0, plain=True
    )
    assert learned >= base
    assert learned_s < 0.8 * base_s


def test_servers_that_slow_down_half_full_get_fewer_requests():
    """Slots must follow what a server takes well, at that server only."""
    slowness = [DECLARED] * 4 + [half_full(3)] * 2
    (base, base_s, _), (learned, learned_s, run) = compare(slowness, 46)
    assert learned > base
    assert learned_s < base_s
    reduced = {
        backend
        for _, state in run.history
        for backend, (_, slots) in state.items()
        if slots < 24
    }
    assert reduced == {"h-4", "h-5"}


@pytest.mark.parametrize("rate_per_s", [70, 100])
def test_an_overload_reduces_no_slots(rate_per_s):
    """Servers that are all late must keep their slots: they do not differ."""
    run = pace_load.Load(
        [half_full(3)] * 6, learns=True, rate_per_s=rate_per_s
    ).run(16.0)
    assert run.on_time() < 0.5
    assert {each for _, state in run.history for each in state.values()} == {
        (1.0, 24)
    }


def test_a_server_that_recovers_gets_its_work_back():
    """A verdict must follow a server that is slow for some seconds only."""
    slowness = [DECLARED] * 5 + [for_seconds(4, 4.0, 8.0)]
    (base, base_s, _), (learned, learned_s, run) = compare(slowness, 40)
    assert learned >= base
    assert learned_s <= base_s
    states = [(at_s, state["h-5"][0]) for at_s, state in run.history]
    assert min(at_s for at_s, found in states if found > 1) < 6.5
    assert states[-1][1] == 1.0
    assert states[-1][0] < 12.0
    recent = run.chosen[-100:]
    assert recent.count("h-5") >= 100 / 6 / 2


def test_a_server_that_stays_slow_is_seldom_tried():
    """Gateways must not try a server again and again that is slow for good."""
    slowness = [DECLARED] * 5 + [pace_load.slower(4)]
    counts = []
    for learns in (False, True):
        run = pace_load.Load(slowness, learns=learns, rate_per_s=20, gateways=8)
        run.run(30.0)
        before = len(run.chosen)
        run.run(60.0)
        counts.append(run.chosen[before:].count("h-5"))
    assert counts[1] < counts[0] / 2


def make_long_prompts(run: pace_load.Load) -> None:
    lengths = random.Random(5)
    run.prompt_tokens = lambda: (
        20_000 if lengths.random() < 0.03 else lengths.randint(300, 1200)
    )


def lose_packets_of_one_gateway(run: pace_load.Load) -> None:
    losses = random.Random(5)
    run.link_delay_s = lambda gateway, backend: (
        0.2
        if gateway.name == "gw-1" and backend == "h-2" and losses.random() < 0.2
        else 0.0
    )


def lose_packets_of_one_server(run: pace_load.Load) -> None:
    losses = random.Random(5)
    run.link_delay_s = lambda gateway, backend: (
        0.2 if backend == "h-2" and losses.random() < 0.05 else 0.0
    )


def make_bursts(run: pace_load.Load) -> None:
    def burst() -> None:
        for _ in range(40):
            run.arrivals.choice(run.gateways).request()
        run.at(5.0, burst)

    run.at(3.0, burst)


def pause_a_gateway(run: pace_load.Load) -> None:
    gateway, pauses = run.gateways[0], random.Random(3)
    report = gateway.report

    def report_unless_paused() -> None:
        if run.now_s < gateway.paused_until_s:
            return
        if pauses.random() < 0.1:
            gateway.paused_until_s = run.now_s + 0.6
        report()

    gateway.report = report_unless_paused


@pytest.mark.parametrize("rate_per_s", [8, 45])
@pytest.mark.parametrize(
    "disturb",
    [
        make_long_prompts,
        lose_packets_of_one_gateway,
        lose_packets_of_one_server,
        make_bursts,
        pause_a_gateway,
    ],
)
def test_what_makes_answers_late_is_no_verdict(disturb, rate_per_s):
    """Late answers must not be blamed on a server that is not slow."""
    run = pace_load.Load(
        [DECLARED] * 6, learns=True, rate_per_s=rate_per_s, gateways=8
    )
    disturb(run)
    run.run(25.0)
    assert {each for _, state in run.history for each in state.values()} == {
        (1.0, 24)
    }


def test_a_head_that_stands_still_is_no_slow_one():
    """A lost member makes a head stand still, which silence checks handle."""

    def stands_still(now_s: float, load: int) -> float:
        return 130.0 if 10.0 <= now_s < 10.15 else 1.0

    run = pace_load.Load(
        [DECLARED] * 5 + [stands_still], learns=True, rate_per_s=30
    ).run(20.0)
    assert {each for _, state in run.history for each in state.values()} == {
        (1.0, 24)
    }


def test_a_new_leader_finds_the_slow_server_again():
    """Verdicts are lost with the leader; evidence must give them back soon.

    The sums that a former leader has used are only where the new one starts.
    """
    slowness = [DECLARED] * 5 + [pace_load.slower(4)]
    run = pace_load.Load(slowness, learns=True, rate_per_s=40).run(8.0)
    assert run.slow() == {"h-5"}
    run.paces = pace.Paces()
    run.run(9.0)
    assert run.slow() == set()
    run.run(13.0)
    assert run.slow() == {"h-5"}


def listed(count: int) -> list[messages.ServedBackend]:
    return [
        messages.ServedBackend(
            f"h-{n}", f"h-{n}:80", "llm", "a", 24, "large", f"g-{n}", 1e4, 1
        )
        for n in range(count)
    ]


def feed(paces, ratios, seconds, samples, gateways=("gw-0", "gw-1"), from_s=0):
    """Report a ratio of each server at each 0.2 s; return the last list."""
    sums: dict = {}
    found = paces.review(listed(len(ratios)), from_s)
    for step in range(round(seconds / 0.2)):
        now_s = from_s + 0.2 * (step + 1)
        for gateway in gateways:
            heads = []
            for number, ratio in enumerate(ratios):
                key = gateway, number
                count = sums.get(key, 0) + samples
                observed = sums.get((*key, "ms"), 0.0) + samples * ratio * 50
                sums[key], sums[*key, "ms"] = count, observed
                heads.append(
                    messages.HeadReport(
                        f"h-{number}",
                        0,
                        0,
                        0,
                        service="llm",
                        group=f"g-{number}",
                        born_ms=1,
                        pace=messages.PaceSums(
                            count, observed, count * 50.0, count * 4.0
                        ),
                    )
                )
            paces.record(
                messages.GatewayReport(gateway, "a", 0, 0, 0, tuple(heads)),
                now_s,
            )
        found = paces.review(listed(len(ratios)), now_s)
    return found


def test_few_samples_decide_nothing():
    """Two late answers must not take a server's work away."""
    paces = pace.Paces()
    found = feed(paces, [1.0, 1.0, 4.0], seconds=0.6, samples=1)
    assert [each.pace for each in found] == [1.0, 1.0, 1.0]


def test_one_server_alone_is_not_judged():
    """Without others to compare with, lateness may be the cost model's."""
    found = feed(pace.Paces(), [4.0], seconds=4.0, samples=10)
    assert found == tuple(listed(1))


def test_evidence_of_one_gateway_alone_does_not_outvote_others():
    """A gateway that is slow itself, or behind a bad link, is outvoted."""
    paces = pace.Paces()
    for step in range(20):
        now_s = 0.2 * step
        paces.review(listed(3), now_s)
        for gateway in ("gw-0", "gw-1", "gw-2"):
            heads = tuple(
                messages.HeadReport(
                    f"h-{n}",
                    0,
                    0,
                    0,
                    group=f"g-{n}",
                    born_ms=1,
                    pace=messages.PaceSums(
                        10 * step,
                        (5000.0 if (gateway, n) == ("gw-0", 0) else 500.0)
                        * step,
                        500.0 * step,
                        0.0,
                    ),
                )
                for n in range(3)
            )
            paces.record(
                messages.GatewayReport(gateway, "a", 0, 0, 0, heads), now_s
            )
    assert paces.review(listed(3), 4.0) == tuple(listed(3))


def test_without_evidence_a_server_is_tried_again():
    """A slow server that gets no requests must not be left alone for good."""
    paces = pace.Paces()
    assert feed(paces, [1.0, 1.0, 4.0], 3.0, 10)[2].pace > 3
    for step in range(40):
        found = paces.review(listed(3), 3.0 + 0.2 * step)
    assert found == tuple(listed(3))


def test_each_failed_return_delays_the_next():
    """A server that is slow for good must be tried less and less often."""
    paces = pace.Paces()
    now_s, waits_s = 0.0, []
    for _ in range(4):
        assert feed(paces, [1.0, 1.0, 4.0], 4.0, 10, from_s=now_s)[2].pace > 2
        now_s += 4.0
        begun_s = now_s
        for _ in range(500):
            if paces.review(listed(3), now_s)[2].pace == 1:
                break
            now_s += 0.2
        waits_s.append(now_s - begun_s)
    assert waits_s[0] < 6
    assert all(
        later > 1.4 * wait for wait, later in itertools.pairwise(waits_s)
    )


def test_an_earlier_lifetime_or_group_says_nothing():
    """A server that starts again, or leads another group, starts afresh."""
    paces = pace.Paces()
    assert feed(paces, [1.0, 1.0, 4.0], 3.0, 10)[2].pace > 3
    later = [
        pace_load.replace(each, born_ms=2, group="g-new") for each in listed(3)
    ]
    assert paces.review(later, 3.2) == tuple(later)


def test_repeated_and_restarted_reports_count_once():
    """A report that comes again, or a restarted gateway, adds nothing twice."""
    paces = pace.Paces()
    paces.review(listed(1), 0.0)

    def record(samples):
        sums = messages.PaceSums(samples, samples * 50.0, samples * 50.0, 0.0)
        head = messages.HeadReport(
            "h-0", 0, 0, 0, group="g-0", born_ms=1, pace=sums
        )
        paces.record(messages.GatewayReport("gw", "a", 0, 0, 0, (head,)), 0.1)

    for samples in (10, 14, 14, 3):
        record(samples)
    counted = [each.samples for each in paces.servers["h-0"].readings]
    assert counted == [4, 3]


def test_nothing_is_sent_where_nothing_was_learned():
    """Earlier builds and deployments without differences see no new field."""
    report = messages.HeadReport("h-0", 0, 0, 0)
    encoded = pace_load.encode((report, listed(1)[0]))
    assert b"pace" not in encoded


def test_pace_leaves_the_silence_limit_alone():
    """A slow head must not count as silent later, or sooner, than before."""
    run = pace_load.Load([DECLARED], learns=False, rate_per_s=1)
    gateway = run.gateways[0]
    gateway.candidates.update(run.listed)
    found = gateway.candidates.by_backend["h-0"]
    found.unread_elsewhere = 4600
    before = found.reading_s
    slowed = [pace_load.replace(each, pace=4.0) for each in run.listed]
    gateway.candidates.update(slowed)
    assert gateway.candidates.by_backend["h-0"] is found
    assert found.reading_s == before


def test_what_is_no_longer_reported_is_forgotten():
    """Servers and gateways that are gone must not use memory for good."""
    paces = pace.Paces()
    feed(paces, [1.0, 1.0, 4.0], 3.0, 10)
    later_s = 3.0 + 3 * pace.FORGET_S
    paces.review(listed(1), later_s)
    paces.review(listed(1), later_s + pace.FORGET_S)
    assert set(paces.servers) == {"h-0"}
    assert paces.reported == {}
    assert paces.servers["h-0"].loads == {}


# Measurement.


class Clock:
    """A clock that tests set."""

    now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


def start_stream(clock, *, resumed=False):
    """Return a gateway's samples, a request on its way, and its meter."""
    run = pace_load.Load([DECLARED], learns=False, rate_per_s=1)
    run.now_s = clock.now_s
    gateway = run.gateways[0]
    gateway.candidates.update(run.listed)
    samples = pace_samples.PaceSamples(clock)
    request = pace_load.Request(gateway, clock.now_s)
    request.candidate = gateway.candidates.by_backend["h-0"]
    request.candidate.attempts.add(request)
    request.started = resumed
    return samples, request, samples.begin(request, request)


def sums_of(samples, request):
    return samples.report(request.candidate, samples.clock()).pace


def test_a_stream_as_declared_has_a_ratio_of_one():
    """Times as the cost model says must not make a server look slow."""
    clock = Clock()
    samples, request, meter = start_stream(clock)
    engine_s = pace_samples.pass_s(vms.ENGINE, request.candidate)
    clock.now_s += meter.expected_first_s
    meter.record(clock.now_s, 1)
    request.writing = True
    samples.collect()
    for _ in range(4):
        clock.now_s += engine_s
        meter.record(clock.now_s, 1)
    samples.collect()
    found = sums_of(samples, request)
    assert found.samples == 2
    assert found.observed_ms == pytest.approx(found.expected_ms, rel=0.01)


def test_one_stream_that_stood_still_counts_little():
    """One gap of seconds must not outweigh the events of many streams."""
    clock = Clock()
    samples, request, meter = start_stream(clock)
    gap_s = pace_samples.pass_s(vms.ENGINE, request.candidate)
    meter.expected_first_s = 0.0
    request.writing = True
    for _ in range(100):
        clock.now_s += gap_s
        meter.record(clock.now_s, 1)
        samples.collect()
    for _ in range(40):
        clock.now_s += 0.1
        samples.collect()
    meter.record(clock.now_s, 1)
    samples.collect()
    found = sums_of(samples, request)
    assert found.observed_ms < 1.1 * found.expected_ms


def test_a_paused_gateway_measures_nothing():
    """After a pause all answers look late, at every server."""
    clock = Clock()
    samples, request, meter = start_stream(clock)
    clock.now_s += 3.0
    meter.record(clock.now_s, 1)
    samples.collect()
    assert sums_of(samples, request) is None
    clock.now_s += 0.1
    meter.record(clock.now_s, 1)
    samples.collect()
    assert sums_of(samples, request).samples == 1


def test_a_resumed_stream_says_nothing_of_the_first_event():
    """It reads an unknown part of its answer again before it goes on."""
    clock = Clock()
    samples, request, meter = start_stream(clock, resumed=True)
    clock.now_s += 0.15
    meter.record(clock.now_s, 1)
    samples.collect()
    assert sums_of(samples, request) is None


def test_ended_streams_are_forgotten():
    """Meters of streams that ended must not use memory."""
    clock = Clock()
    samples, _, meter = start_stream(clock)
    meter.has_ended = True
    clock.now_s += 0.2
    samples.collect()
    assert samples.meters == set()


def test_plain_servers_are_reported_only_with_evidence():
    """Reports must not grow by servers that nothing was measured of.

    Their load is not reported either: other gateways' choices stay as before.
    """
    run = pace_load.Load([DECLARED], learns=False, rate_per_s=1, plain=True)
    clock = Clock()
    gateway = run.gateways[0]
    gateway.candidates.update(run.listed)
    samples = pace_samples.PaceSamples(clock)
    request = pace_load.Request(gateway, clock.now_s)
    request.candidate = gateway.candidates.by_backend["h-0"]
    request.candidate.in_flight = 3
    assert samples.report(request.candidate, clock.now_s) is None
    for _ in range(pace_samples.MIN_ROUTE_ANSWERS + 5):
        clock.now_s += 0.05
        request.started_s = clock.now_s - 0.05
        samples.record_answer(request, request)
        samples.collect()
    report = samples.report(request.candidate, clock.now_s)
    assert report.pace.samples == 5
    assert report.pace.observed_ms == pytest.approx(report.pace.expected_ms)
    assert (report.in_flight, report.group) == (0, "")
    clock.now_s += 2.0
    assert samples.report(request.candidate, clock.now_s) is None


# VMs and groups.


def vm(number: int, domain: str = "d") -> fleet_module.Backend:
    announcement = fleet_module.Announcement(
        backend=ids.BackendId(f"vm-{number}"),
        born_ms=1,
        sequence=1,
        service=ids.ServiceId("llm"),
        address=f"vm-{number}:80",
        data_centre=ids.DataCentreId("a"),
        state=fleet_module.BackendState.READY,
        domain=domain,
    )
    return fleet_module.Backend(announcement, 0.0, last_model="large")


def test_a_slow_member_is_told_from_its_fellows():
    """Fellows of a slow VM must not be blamed for good.

    A group runs at the pace of its slowest member, so one slow group blames all
    members alike; a group of ordinary pace clears those in it, and a second
    slow group tells more of the one that was in both.
    """
    slow, fellow, third = vm(0), vm(1), vm(2)
    paces = pace.Paces()
    feed(paces, [4.0, 1.0, 1.0], 3.0, 10)
    paces.mark_members("g-0", "h-0", [slow, fellow])
    assert slow.pace == fellow.pace > 1.5
    first = slow.pace
    paces = pace.Paces()
    feed(paces, [4.0, 1.0, 1.0], 3.0, 10)
    slow.slow_group = "earlier"
    paces.mark_members("g-0", "h-0", [slow, third])
    paces.mark_members("g-1", "h-1", [fellow])
    assert slow.pace > first > 1
    assert slow.pace > third.pace > 1
    assert fellow.pace == 1.0


def test_reduced_slots_are_less_capacity():
    """A model counts as short by the slots that its groups take well.

    Gateways cannot use more, so that it would never count as short otherwise.
    A VM that joined and started again since is not blamed for the group.
    """
    fleet = fleet_module.Fleet()
    members = [vm(n) for n in range(4)]
    for each in members:
        fleet.announce(each.announcement, 0.0)
    manager = groups.GroupManager(
        groups.GroupManagerSettings(), ids.ServiceId("llm"), fleet, 1
    )
    manager.engine = vms.ENGINE
    group = group_module.Group(
        name="g-0",
        epoch=ids.Epoch(1),
        model="large",
        members=tuple(each.announcement.backend for each in members),
        head_address="vm-0:80",
        phase=group_module.Phase.OPEN,
        since_s=0.0,
        lifetimes={ids.BackendId("vm-3"): ids.Lifetime("vm-3", 0)},
    )
    manager.groups["g-0"] = group
    paces = pace.Paces()
    heads = listed(3)
    heads[0] = pace_load.replace(heads[0], backend="vm-0")
    managers = {ids.ServiceId("llm"): manager}
    learned_paces.apply(paces, heads, managers, fleet, 1.0)
    assert manager.capacity(group) == 24
    server = paces.servers["vm-0"]
    server.is_slow, server.pace = True, 3.0
    server.slots.decrease(12, 1.0)
    server.slots.publish()
    found = learned_paces.apply(paces, heads, managers, fleet, 1.1)
    assert found[0].slots == manager.capacity(group) == 9
    assert manager.declared_capacity(group) == 24
    paces_of_members = [
        fleet.backends[each.announcement.backend].pace for each in members
    ]
    assert paces_of_members[:3] == [2.0, 2.0, 2.0]
    assert paces_of_members[3] == 1.0


def test_slow_vms_become_spares_first():
    """A slow VM must not slow a group down while others can form it."""
    hosts = [vm(n) for n in range(5)]
    hosts[1].pace = 3.0
    idle = formation.IdleVms([vms.LARGE], hosts)
    found = formation.choose(
        vms.ENGINE,
        idle,
        {"large": 0, "small": 0},
        {"large": 1, "small": 0},
        {"large"},
    )
    assert found is not None
    assert hosts[1] not in found[1]


def test_vms_of_similar_pace_form_groups_together():
    """Two slow VMs in two groups would slow both of these down."""
    hosts = [vm(n) for n in range(8)]
    slow = [hosts[n] for n in (0, 3, 5, 6)]
    for each in slow:
        each.pace = 2.5
    idle = formation.IdleVms([vms.LARGE], hosts)
    engine = pace_load.replace(vms.ENGINE, models=(vms.LARGE,))
    first = formation.choose(
        engine, idle, {"large": 0}, {"large": 2}, {"large"}
    )
    idle.remove(first[1])
    second = formation.choose(
        engine, idle, {"large": 1}, {"large": 2}, {"large"}
    )
    assert {each.pace for each in first[1]} == {1.0}
    assert {each.pace for each in second[1]} == {2.5}


def test_a_domain_without_slow_vms_is_preferred():
    """The first domain with enough VMs may be one with a slow VM."""
    hosts = [vm(n, "d" if n < 4 else "e") for n in range(8)]
    hosts[2].pace = 3.0
    idle = formation.IdleVms([vms.LARGE], hosts)
    engine = pace_load.replace(vms.ENGINE, models=(vms.LARGE,))
    found = formation.choose(engine, idle, {"large": 0}, {"large": 2}, set())
    assert {each.announcement.domain for each in found[1]} == {"e"}
    hosts[5].pace = 2.0
    idle = formation.IdleVms([vms.LARGE], hosts)
    found = formation.choose(engine, idle, {"large": 0}, {"large": 2}, set())
    assert {each.announcement.domain for each in found[1]} == {"e"}
