"""Cold servers: what is announced, listed, granted, asked for and sent."""

import asyncio
import types

import msgspec
import pytest

from flamingocleat import messages
from flamingocleat.connection import feed
from flamingocleat.process import leadership
from flamingocleat.process import membership
from flamingocleat.request import admission
from flamingocleat.request import cold as cold_request
from flamingocleat.request import eligibility
from flamingocleat.version import candidates
from flamingocleat.version import catalog
from flamingocleat.version import cold
from flamingocleat.version import fleet
from flamingocleat.version import limited_servers
from tests.direct import support
from tests.direct import test_admission
from tests.direct import test_feed
from tests.direct import vms

BOUNDS = cold.ColdBounds(1.5, 5.0)
SERVICE = catalog.Service("llm", 10, None, 20.0, 28.0)
CATALOG = catalog.Catalog(1, (), (SERVICE,), ())
HEAD = messages.ServedBackend(
    "h", "h:80", "llm", "a", 24, "large", "g", born_ms=1
)
COLD_HEAD = msgspec.structs.replace(HEAD, cold_ms=5000, cold_per_s=28.0)
WARM_HEAD = msgspec.structs.replace(HEAD, cold_per_s=28.0)


def announcement(sequence: int, cold_ms: int = 0) -> fleet.Announcement:
    return fleet.Announcement(
        backend="h",
        born_ms=1,
        sequence=sequence,
        service="llm",
        address="h:80",
        data_centre="a",
        state=fleet.BackendState.READY,
        cold_ms=cold_ms,
    )


def report(
    gateway: str = "gw", sequence: int = 1, wanted: int = 100, **fields
) -> messages.GatewayReport:
    return messages.GatewayReport(
        gateway,
        "a",
        sequence,
        1,
        0,
        cold_wanted=messages.ColdReport((messages.ColdWanted("h", wanted),)),
        **fields,
    )


class Leader:
    """The leader's decisions about one head."""

    def __init__(self) -> None:
        self.contact_s = float("inf")
        self.grants = cold.Grants(
            BOUNDS, lambda: self.contact_s, lambda _gateway: None
        )
        self.servers = limited_servers.LimitedServers(self.grants)
        self.fleet = fleet.Fleet()
        self.servers.begin(0.0)
        self.mark(0.0, ())

    def mark(self, now_s: float, served=(HEAD,)) -> messages.ServedBackend:
        """Return the head as gateways get it."""
        marked = self.servers.mark(
            served, CATALOG, self.fleet, now_s, is_complete=True
        )
        return marked[0] if marked else None

    def granted(self, now_s: float, **fields) -> int:
        """Report, and return the requests that are granted at once."""
        self.grants.record_report(report(**fields), now_s)
        _, grants = self.grants.take(fields.get("gateway", "gw"), now_s)
        return sum(each.requests for each in grants)


# What is listed.


def test_announced_cold_time_is_listed_until_it_is_over():
    """Gateways must know that a head is cold before they send to it."""
    leader = Leader()
    leader.fleet.announce(announcement(1, 3000), 10.0)
    assert leader.mark(10.0).cold_ms > 3000
    leader.fleet.announce(announcement(2, 2000), 11.0)
    expected_ms = 2000 + limited_servers.HOLD_S * 1000
    assert leader.mark(11.0).cold_ms == expected_ms
    assert leader.mark(11.5).cold_ms == expected_ms, "a change for each view"
    assert leader.mark(11.5).cold_per_s == 28.0
    leader.fleet.announce(announcement(3, 800), 12.2)
    assert leader.mark(12.9).cold_ms
    assert leader.mark(13.1).cold_ms == 0


def test_newly_listed_head_is_cold_until_a_later_announcement():
    """Its last announcement may be older than the moment it turned cold."""
    leader = Leader()
    leader.fleet.announce(announcement(1), 10.0)
    assert leader.mark(10.05).cold_ms
    leader.fleet.announce(announcement(2), 10.1)
    assert leader.mark(10.2).cold_ms, "made before the head was listed"
    leader.fleet.announce(announcement(3), 11.3)
    assert leader.mark(11.4).cold_ms == 0


def test_head_that_is_listed_again_is_cold_anew():
    """A head returns after an evacuation, perhaps cold."""
    leader = Leader()
    leader.fleet.announce(announcement(1), 10.0)
    leader.mark(10.0)
    leader.fleet.announce(announcement(2), 11.2)
    assert leader.mark(11.3).cold_ms == 0
    leader.mark(12.0, ())
    assert leader.mark(13.0).cold_ms


def test_new_leader_goes_by_announcements():
    """Treating all heads as cold at each change would refuse most callers."""
    leader = Leader()
    leader.servers.begin(10.0)
    leader.fleet.announce(announcement(1), 10.5)
    assert leader.mark(11.8).cold_ms == 0


def test_cold_time_in_answers_is_listed_for_all_gateways():
    """Only the gateway that got the answer would know otherwise."""
    leader = Leader()
    leader.fleet.announce(announcement(1), 10.0)
    leader.mark(10.0)
    leader.fleet.announce(announcement(2), 11.2)
    assert leader.mark(11.3).cold_ms == 0
    wanted = messages.ColdWanted("h", 1, 4000)
    answered = msgspec.structs.replace(
        report(), cold_wanted=messages.ColdReport((wanted,))
    )
    leader.servers.record_report(answered, 11.4)
    leader.fleet.announce(announcement(3), 12.4)
    assert leader.mark(12.5).cold_ms
    assert leader.mark(15.5).cold_ms == 0


def test_countdown_in_announcements_is_no_change_of_the_fleet():
    """Each announcement of a cold server would trigger a review."""
    known = fleet.Fleet()
    changes = []
    known.subscribe(lambda: changes.append(1))
    known.announce(announcement(1, 5000), 1.0)
    known.announce(announcement(2, 3800), 2.2)
    assert len(changes) == 1
    known.announce(announcement(3), 3.4)
    assert len(changes) == 2


def test_service_without_a_cold_rate_is_listed_as_before():
    """Nothing may change where no rate is configured."""
    leader = Leader()
    leader.fleet.announce(announcement(1, 5000), 10.0)
    plain = msgspec.structs.replace(
        CATALOG, services=(catalog.Service("llm", 10),)
    )
    listed = leader.servers.mark(
        (HEAD,), plain, leader.fleet, 10.0, is_complete=True
    )
    assert listed == (HEAD,)
    encoded = msgspec.msgpack.decode(msgspec.msgpack.encode(listed[0]))
    assert not any("cold" in name for name in encoded)
    service = msgspec.msgpack.decode(msgspec.msgpack.encode(plain.services[0]))
    assert set(service) == {"name", "max_connections"}


# What is granted.


def cold_leader() -> Leader:
    leader = Leader()
    leader.fleet.announce(announcement(1, 60_000), 100.0)
    leader.mark(100.0)
    return leader


def test_grants_of_any_second_stay_within_the_bound():
    """Grants of consecutive views must not add up in one second."""
    leader = cold_leader()
    granted = []
    for tick in range(60):
        now_s = 101.0 + tick / 10
        count = leader.granted(now_s, sequence=tick + 1)
        granted.append((now_s, now_s + cold.GRANT_LIFE_S, count))
    for start in range(120):
        since_s = 101.0 + start / 20
        used = sum(
            count
            for first_s, last_s, count in granted
            if last_s >= since_s and first_s <= since_s + 1.0
        )
        assert used <= BOUNDS.per_window(28.0)


def test_new_leader_grants_nothing_until_earlier_grants_have_expired():
    """Its predecessor may have granted the whole rate."""
    leader = cold_leader()
    leader.servers.begin(200.0)
    leader.fleet.announce(announcement(2, 60_000), 200.1)
    leader.mark(200.2)
    assert leader.granted(200.0 + cold.TAKE_OVER_S - 0.01) == 0
    assert leader.granted(200.2 + cold.TAKE_OVER_S) > 0


def test_leader_without_recent_contact_grants_nothing():
    """Another leader may have been elected."""
    leader = cold_leader()
    leader.contact_s = 101.0
    assert leader.granted(101.0 + cold.CONTACT_S) == 0
    leader.contact_s = 102.0
    assert leader.granted(102.0) > 0


def test_old_report_is_not_answered_with_grants():
    """They would expire on their way, and cost rate for nothing."""
    leader = cold_leader()
    leader.grants.record_report(report(), 101.0)
    assert leader.grants.take("gw", 101.0 + cold.GRANT_LIFE_S) == (1, ())


def test_gateway_that_takes_the_server_for_warm_is_charged():
    """It sends its share without grants."""
    leader = cold_leader()
    other = messages.GatewayReport(
        "old", "a", 1, 1, 0, heads=(messages.HeadReport("h", 0, 0, 0),)
    )
    leader.grants.record_report(other, 100.9)
    leader.grants.record_report(report(), 101.0)
    room = leader.grants._room("h", leader.grants.servers["h"].rate, 101.0)
    assert room == BOUNDS.per_window(28.0) - BOUNDS.warm_share(28.0, 2)


def test_gateways_get_what_they_asked_for_in_proportion():
    """Callers of small gateways must not wait for those of large ones."""
    leader = cold_leader()
    total = {"large": 0, "small": 0}
    for tick in range(50):
        now_s = 101.0 + tick / 5
        for name, wanted in (("large", 30), ("small", 10)):
            total[name] += leader.granted(
                now_s + 0.01 * (name == "small"),
                gateway=name,
                sequence=tick + 1,
                wanted=wanted,
            )
    assert 2.5 < total["large"] / total["small"] < 3.5
    assert sum(total.values()) >= 0.9 * 28.0 * 10


class Follower:
    """A peer as the leader knows it."""

    def __init__(self, answered_s: float) -> None:
        self.answered_s = answered_s


@pytest.mark.parametrize(
    ("answered_s", "contact_s"),
    [
        ((90.0, 95.0, 99.0, 80.0), 95.0),
        ((float("-inf"),) * 4, float("-inf")),
        ((99.0, 99.5, float("-inf"), float("-inf")), 99.0),
    ],
)
def test_contact_is_that_of_a_quorum(answered_s, contact_s):
    """A minority's answers do not rule out another leader."""
    voters = membership.Membership({f"v{n}": f"a{n}" for n in range(5)})
    consensus = types.SimpleNamespace(
        peers={f"v{n + 1}": Follower(s) for n, s in enumerate(answered_s)},
        has_quorum=lambda others: voters.has_quorum(others | {"v0"}),
        subscribe=lambda _callback: None,
    )

    async def run():
        leading = leadership.Leadership(
            consensus, lambda: None, lambda _error: None, lambda: 100.0
        )
        assert leading.quorum_contact_s() == float("-inf"), "not ready"
        leading.ready.set()
        assert leading.quorum_contact_s() == contact_s

    asyncio.run(run())


def test_views_carry_grants_at_once():
    """A caller that waits should not wait for the next interval as well."""

    async def run():
        leader = test_feed.Leader(gateways=2, heads=1)
        try:
            await leader.wait_until_known(1)
            grant = messages.ColdGrant("head-0", 3)
            pending = [(7, (grant,))]
            leader.publisher.take_grants = lambda name, _now_s: (
                pending.pop() if pending and name == "gateway-1" else (7, ())
            )
            leader.publisher.notify_gateway("gateway-1")
            await leader.wait_until(
                lambda: any(e.grants for e in leader.streams[1].views)
            )
            view = next(e for e in leader.streams[1].views if e.grants)
            assert (view.echo, view.grants) == (7, (grant,))
            assert not any(e.grants for e in leader.streams[0].views)
            assert all(e.echo == 0 for e in leader.streams[0].views)
        finally:
            for task in leader.tasks:
                task.cancel()
            await asyncio.gather(*leader.tasks, return_exceptions=True)

    asyncio.run(run())


# What gateways ask for and send.


class Gateway:
    """Admission with one head of a service with a cold rate."""

    def __init__(self, *heads: messages.ServedBackend) -> None:
        self.clock = test_admission.Clock()
        self.candidates = candidates.Candidates(self.clock)
        self.admission = admission.Admission(
            "a", self.candidates, self.clock, seed=1
        )
        self.cold = self.admission.cold
        self.cold.bounds = BOUNDS
        self.candidates.update(heads)
        self.take(gateways=8)

    def take(self, **fields) -> None:
        self.cold.apply_view(messages.GatewayView(1, 1, **fields))
        self.admission.dispatch()

    def grant(self, requests: int, sequence: int = 1) -> None:
        self.take(
            gateways=8,
            grants=(messages.ColdGrant("h", requests),),
            echo=sequence,
        )

    def demand(self, **changes) -> admission.Demand:
        fields = {
            "service": "llm",
            "model": "large",
            "objective_s": 0.4,
            "deadline_s": self.clock.now_s + 8,
            "arrived_s": self.clock.now_s,
        }
        return admission.Demand(**{**fields, **changes})

    def place(self) -> candidates.Candidate | None:
        return self.admission.try_place(self.demand())


def test_cold_server_gets_nothing_without_a_grant():
    """Its slots are free, but each gateway would fill them."""
    gateway = Gateway(COLD_HEAD)
    assert gateway.place() is None
    gateway.cold.wanted(1, gateway.admission)
    gateway.grant(2)
    placed = [gateway.place() for _ in range(3)]
    assert [each is not None for each in placed] == [True, True, False]
    assert all(gateway.cold.may_send(each) for each in placed[:2])
    assert not gateway.cold.may_send(placed[0])


def test_grant_expires_by_the_time_of_the_report():
    """A view that comes late must not extend its grants."""
    gateway = Gateway(COLD_HEAD)
    gateway.cold.wanted(1, gateway.admission)
    gateway.clock.now_s += cold.GRANT_LIFE_S - 0.1
    gateway.grant(1)
    assert gateway.place() is not None
    gateway.grant(1)
    gateway.clock.now_s += 0.1
    assert gateway.place() is None
    gateway.grant(1)
    assert gateway.place() is None


def test_grant_for_an_unknown_report_is_ignored():
    """It may be the answer to a report of an earlier process."""
    gateway = Gateway(COLD_HEAD)
    gateway.cold.wanted(5, gateway.admission)
    gateway.grant(1, sequence=4)
    assert gateway.place() is None


def test_reserved_slot_is_not_used_after_the_grant_has_expired():
    """The process may be paused between the reservation and the send."""
    gateway = Gateway(COLD_HEAD)
    gateway.cold.wanted(1, gateway.admission)
    gateway.grant(1)
    placed = gateway.place()
    gateway.clock.now_s += cold.GRANT_LIFE_S
    assert not gateway.cold.may_send(placed)


def test_reservation_on_a_warm_server_does_not_count_once_it_is_cold():
    """The view that says so may arrive between the two."""
    gateway = Gateway(WARM_HEAD)
    placed = gateway.place()
    gateway.candidates.update([COLD_HEAD])
    assert not gateway.cold.may_send(placed)


def test_warm_server_gets_a_share_of_the_bound_from_each_gateway():
    """It may have turned cold without saying so."""
    gateway = Gateway(WARM_HEAD)
    share = BOUNDS.per_window(28.0) // 8
    placed = [gateway.place() for _ in range(share + 1)]
    assert [each is not None for each in placed] == [True] * share + [False]
    assert all(gateway.cold.may_send(each) for each in placed[:-1])
    gateway.clock.now_s += 0.9
    assert gateway.place() is None
    gateway.clock.now_s += 0.2
    assert gateway.place() is not None


def test_share_does_not_grow_while_gateways_reconnect():
    """A new leader counts only the gateways that have found it so far."""
    gateway = Gateway(WARM_HEAD)
    gateway.take(gateways=1)
    assert gateway.cold.gateways == 8
    gateway.clock.now_s += cold_request.GATEWAYS_MEMORY_S + 1
    gateway.take(gateways=1)
    assert gateway.cold.gateways == 1


def test_cold_time_in_an_answer_counts_at_once():
    """The leader learns of it later."""
    gateway = Gateway(WARM_HEAD)
    asked = []
    gateway.cold.request_report = lambda: asked.append(1)
    placed = gateway.place()
    for value in ("", "x", "nan", "inf", "-1", "0"):
        gateway.cold.record_answer(placed, value)
    assert not gateway.cold.is_cold(placed, gateway.clock.now_s)
    gateway.cold.record_answer(placed, "3000")
    gateway.cold.record_answer(placed, "2990")
    assert gateway.place() is None
    assert asked == [1]
    wanted = gateway.cold.wanted(1, gateway.admission).servers
    assert [(e.backend, e.cold_ms) for e in wanted] == [("h", 2990)]
    gateway.clock.now_s += 3.1
    assert gateway.place() is not None


def test_gateway_without_a_leader_counts_the_cold_time_down():
    """Else it would refuse its callers for as long as no leader is found."""
    gateway = Gateway(COLD_HEAD)
    assert gateway.place() is None
    gateway.clock.now_s += 5.1
    assert gateway.place() is not None


def test_waiting_requests_are_sent_when_grants_arrive():
    """They must not wait until a slot becomes free."""

    async def run():
        gateway = Gateway(COLD_HEAD)
        asked = []
        gateway.cold.request_report = lambda: asked.append(1)
        gateway.cold.wanted(1, gateway.admission)
        waiting = asyncio.create_task(
            gateway.admission.place(gateway.demand(objective_s=4.0))
        )
        await asyncio.sleep(0)
        assert asked == [1]
        gateway.clock.now_s += 0.1
        wanted = gateway.cold.wanted(2, gateway.admission).servers
        assert wanted[0].wanted >= 1
        gateway.grant(1, sequence=2)
        placed = await asyncio.wait_for(waiting, 1.0)
        assert gateway.cold.may_send(placed)

    asyncio.run(run())


def test_request_that_grants_cannot_serve_in_time_is_refused_at_once():
    """Only cold servers are left, and no leader grants anything."""

    async def run():
        gateway = Gateway(msgspec.structs.replace(COLD_HEAD, cold_ms=4000))
        gateway.clock.now_s += cold_request.CONTACT_S
        refused = asyncio.create_task(gateway.admission.place(gateway.demand()))
        await asyncio.sleep(0)
        assert refused.done()
        error = refused.exception()
        assert isinstance(error, admission.NoCapacityError)
        assert 3.9 <= error.retry_after_s <= 5.1

    asyncio.run(run())


def test_refused_callers_return_when_the_rate_allows_it():
    """A queue that the rate cannot serve must not grow."""

    async def run():
        gateway = Gateway(COLD_HEAD)
        tasks = [
            asyncio.create_task(gateway.admission.place(gateway.demand()))
            for _ in range(30)
        ]
        await asyncio.sleep(0)
        refused = [each for each in tasks if each.done()]
        assert 15 <= len(refused) < 30
        after_s = refused[0].exception().retry_after_s
        assert 2.0 < after_s < 5.0
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(run())


def test_request_is_not_sent_on_an_expired_grant():
    """A grant is checked again on the open connection."""

    async def scenario(harness):
        backend = await harness.add(lambda received: received.answer(b"done"))
        view = msgspec.structs.replace(
            harness.views[0], cold_ms=60_000, cold_per_s=28.0
        )
        harness.candidates.update([view])
        gate = harness.admission.cold
        gate.allows = lambda _candidate, _now_s: True
        reply = await harness.request("/once/x")
        assert reply.status == 503
        assert not backend.received

    support.run_scenario(scenario)


def test_answers_tell_gateways_of_the_cold_time():
    """A server may turn cold before the leader hears of it."""

    async def scenario(harness):
        await harness.add(
            lambda received: received.answer(
                b"done", 200, "Flamingocleat-Cold-Ms: 4000"
            )
        )
        view = msgspec.structs.replace(harness.views[0], cold_per_s=28.0)
        harness.candidates.update([view])
        await harness.request("/once/x")
        candidate = harness.candidate(0)
        left_s = harness.admission.cold.cold_left_s(
            candidate, harness.candidates.clock()
        )
        assert 3.0 < left_s <= 4.0

    support.run_scenario(scenario)


def test_checks_are_registered():
    """Other parts add their checks to the same registry."""
    assert {"notices", "cold"} <= set(eligibility.CHECKS)


def test_service_without_a_cold_rate_reports_and_limits_nothing():
    """Neither choices nor messages may change."""
    gateway = Gateway(HEAD)
    for _ in range(24):
        assert gateway.cold.may_send(gateway.place())
    assert gateway.cold.wanted(1, gateway.admission) is None
    assert not gateway.cold.accounts


# Capacity.


def test_cold_group_counts_with_the_capacity_of_its_rate():
    """The planner would count on slots that the rate does not fill."""
    engine = msgspec.structs.replace(vms.ENGINE, sequence_ms=0.0)
    assert cold.cold_slots(engine, 1.0, 28.0) == 16
    assert cold.cold_slots(engine, 1.0, 1.0) == 1
    assert cold.cold_slots(vms.ENGINE, 1.0, 28.0) == vms.ENGINE.slots
    simulation = vms.Simulation(8)
    simulation.run(30.0)
    manager = simulation.manager
    group = manager.serving()[0]
    assert manager.capacity(group) == manager.slots(group)
    manager.limited_per_s = {group.head: 1.0}
    assert manager.capacity(group) < manager.slots(group)


def test_feed_has_no_grants_by_default():
    """A leader without cold servers sends what it sent before."""

    async def admit():
        return

    publisher = feed.Publisher(
        admit, lambda: feed.FleetState(term=1), lambda _report: None
    )
    assert publisher.take_grants("gw", 0.0) == (0, ())
