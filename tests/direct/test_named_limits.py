"""Limits that servers name: what is said, listed, granted and sent."""

import asyncio

import msgspec
import pytest

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.request import admission
from flamingocleat.version import candidates
from flamingocleat.version import catalog
from flamingocleat.version import cold
from flamingocleat.version import fleet
from flamingocleat.version import limited_servers
from flamingocleat.version import named_limits
from tests.direct import support

NO_LIMIT = messages.NO_LIMIT
LIFETIME = ids.Lifetime("h", 1)
HEAD = messages.ServedBackend("h", "h:80", "desk", "a", 24, born_ms=1)
LIMITED_HEAD = msgspec.structs.replace(HEAD, limit_per_s=2.0)
CATALOG = catalog.Catalog(1, (), (catalog.Service("desk", 10),), ())
COLD_CATALOG = catalog.Catalog(
    1, (), (catalog.Service("desk", 10, None, 20.0, 28.0),), ()
)


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([], NO_LIMIT),
        (["2"], 2.0),
        ([" 0.75 "], 0.75),
        (["0"], 0.0),
        ([".5"], 0.5),
        (["1" + "0" * 400], named_limits.MAX_PER_S),
        ([""], None),
        (["-1"], None),
        (["nan"], None),
        (["inf"], None),
        (["1e300"], None),
        (["2, 3"], None),
        (["2", "3"], None),
        (["+2"], None),
        (["1_0"], None),
        (["²"], None),
        (["soon"], None),
    ],
)
def test_only_one_decimal_number_names_a_limit(values, expected):
    """Guards against odd values that lift a limit or stop a server's use."""
    assert named_limits.parse(values) == expected


@pytest.mark.parametrize(
    ("per_s", "sent_s", "heard_s", "expected"),
    [
        (1.0, 9.0, 11.0, 1.0),
        (4.0, 9.0, 11.0, 2.0),
        (NO_LIMIT, 9.0, 11.0, 2.0),
        (4.0, 10.5, 11.0, 4.0),
        (NO_LIMIT, 10.5, 11.0, NO_LIMIT),
        (1.0, 8.0, 9.5, 2.0),
    ],
)
def test_answer_that_was_begun_earlier_loosens_no_limit(
    per_s, sent_s, heard_s, expected
):
    """A limit of 2 was heard at 10; answers overtake each other."""
    limits = named_limits.NamedLimits()
    limits.record(LIFETIME, 2.0, sent_s=9.0, heard_s=10.0)
    changed = limits.record(LIFETIME, per_s, sent_s=sent_s, heard_s=heard_s)
    assert limits.find(LIFETIME).per_s == expected
    assert changed is (expected != 2.0)


def test_statements_are_bounded_and_kept_by_lifetime():
    """Guards against a limit that outlives its server, and against growth."""
    limits = named_limits.NamedLimits()
    for born_ms in range(named_limits.MAX_SERVERS + 10):
        limits.record(
            ids.Lifetime("h", born_ms), 1.0, sent_s=1.0, heard_s=born_ms
        )
    assert len(limits.by_lifetime) == named_limits.MAX_SERVERS
    assert limits.find(ids.Lifetime("h", 1)) is None
    assert limits.find(ids.Lifetime("other", 100)) is None


class Leader:
    """The leader's decisions about one server."""

    def __init__(self, catalog=CATALOG, cold_ms: int = 0) -> None:
        self.catalog = catalog
        self.contact_s = float("inf")
        self.grants = cold.Grants(
            cold.ColdBounds(1.5, 5.0),
            lambda: self.contact_s,
            lambda _gateway: None,
        )
        self.servers = limited_servers.LimitedServers(self.grants)
        self.fleet = fleet.Fleet()
        self.fleet.announce(
            fleet.Announcement(
                backend="h",
                born_ms=1,
                sequence=1,
                service="desk",
                address="h:80",
                data_centre="a",
                state=fleet.BackendState.READY,
                cold_ms=cold_ms,
            ),
            0.0,
        )
        self.servers.begin(0.0)

    def mark(self, now_s: float, head=HEAD) -> messages.ServedBackend:
        return self.servers.mark(
            (head,), self.catalog, self.fleet, now_s, is_complete=True
        )[0]

    def report(
        self,
        now_s: float,
        per_s: float | None = None,
        gateway: str = "gw",
        wanted: int = 100,
        gateways: int = 1,
    ) -> int:
        """Report, and return the requests that are granted at once."""
        said = messages.ServerLimit("h", 1, per_s or 0.0, 100, 50)
        self.servers.record_report(
            messages.GatewayReport(
                gateway,
                "a",
                1,
                1,
                0,
                cold_wanted=messages.ColdReport(
                    (messages.ColdWanted("h", wanted),), gateways
                ),
                limits=() if per_s is None else (said,),
            ),
            now_s,
        )
        self.mark(now_s)
        _, grants = self.grants.take(gateway, now_s)
        return sum(each.requests for each in grants)


def test_limit_that_one_gateway_reports_is_listed_to_all():
    """Guards against gateways that never get such an answer themselves."""
    leader = Leader()
    assert leader.mark(10.0).limit_per_s == NO_LIMIT
    leader.report(10.0, 2.0)
    assert leader.mark(10.1).limit_per_s == 2.0
    later = msgspec.structs.replace(HEAD, born_ms=2)
    assert leader.mark(10.2, later).limit_per_s == NO_LIMIT
    leader.report(11.0, NO_LIMIT)
    assert leader.mark(11.1).limit_per_s == NO_LIMIT


def test_leader_grants_the_rate_over_all_gateways():
    """Guards against a share that each gateway adds to the others'."""
    leader = Leader()
    leader.report(9.9, 2.0)
    granted = 0
    for step in range(200):
        for gateway in ("one", "two", "three"):
            granted += leader.report(10.0 + step * 0.1, 2.0, gateway)
    assert 36 <= granted <= 44


def test_new_leader_starts_without_tokens_and_without_a_wait():
    """Guards against grants of two leaders that add up, and against a gap."""
    leader = Leader()
    leader.report(0.1, 10.0)
    assert leader.report(0.15, 10.0) == 0
    assert sum(leader.report(0.1 * step, 10.0) for step in range(3, 11)) > 5


def test_nothing_is_granted_without_a_quorum():
    """Guards against grants of a leader that has been replaced."""
    leader = Leader()
    leader.report(10.0, 10.0)
    leader.contact_s = 10.2
    assert leader.report(10.6, 10.0) > 0
    assert leader.report(10.9, 10.0) == 0


def test_cold_server_with_a_limit_gets_the_lower_rate():
    """Guards against two grants for one request."""
    leader = Leader(COLD_CATALOG, cold_ms=20_000)
    leader.mark(5.0)
    assert leader.grants.servers["h"].rate.per_s == 28.0
    leader.report(5.1, 2.0)
    rate = leader.grants.servers["h"].rate
    assert rate.per_s == 2.0
    assert rate.cold_per_s == 28.0


def test_leader_leaves_out_what_absent_gateways_may_send():
    """Guards against grants for all beside shares of those without a leader."""

    def granted(gateways: int) -> int:
        leader = Leader()
        leader.report(9.9, 8.0, gateways=gateways)
        return sum(
            leader.report(10.0 + step * 0.1, 8.0, gateways=gateways)
            for step in range(100)
        )

    assert granted(4) == pytest.approx(granted(1) * 5 / 8, abs=3)


class Gateway:
    """The gateway's decisions about one server."""

    def __init__(self, head=HEAD) -> None:
        self.now_s = 10.0
        self.candidates = candidates.Candidates(lambda: self.now_s)
        self.candidates.update([head])
        self.admission = admission.Admission(
            "a", self.candidates, lambda: self.now_s, seed=1
        )
        self.reports = 0
        self.gate = self.admission.cold
        self.gate.request_report = self.count_report
        self.view()

    def count_report(self) -> None:
        self.reports += 1

    @property
    def head(self) -> candidates.Candidate:
        return self.candidates.by_backend["h"]

    def view(self, *grants: messages.ColdGrant, gateways: int = 4) -> None:
        self.gate.apply_view(
            messages.GatewayView(1, 1, grants=grants, echo=1, gateways=gateways)
        )

    def hear(self, *values: str) -> None:
        self.gate.record_limit(self.head, values, self.now_s - 0.01)

    def wants(self) -> int:
        self.admission.waiting[:] = [
            admission._QueuedRequest(
                demand=admission.Demand(
                    service="desk",
                    objective_s=1.0,
                    deadline_s=100.0,
                    arrived_s=self.now_s,
                ),
                resuming=False,
                excluded=frozenset(),
                placed=None,
            )
        ]
        wanted = self.gate.wanted(1, self.admission)
        self.admission.waiting.clear()
        return wanted.servers[0].wanted if wanted else 0


def test_gateway_that_hears_a_limit_waits_for_grants():
    """Guards against requests above the limit until the leader lists it."""
    gateway = Gateway()
    assert gateway.gate.may_send(gateway.head)
    gateway.hear("2")
    assert gateway.reports == 1
    assert not gateway.gate.allows(gateway.head, gateway.now_s)
    assert not gateway.gate.may_send(gateway.head), "chosen before"
    assert gateway.wants() == 1
    gateway.view(messages.ColdGrant("h", 1))
    assert gateway.gate.allows(gateway.head, gateway.now_s)
    gateway.gate.reserve(gateway.head)
    assert gateway.gate.may_send(gateway.head)
    assert not gateway.gate.may_send(gateway.head), "one grant, two requests"


def test_gateway_heeds_the_list_and_reports_that_a_limit_is_over():
    """Guards against a limit that stays, as nobody says that it is over."""
    gateway = Gateway(LIMITED_HEAD)
    assert not gateway.gate.allows(gateway.head, gateway.now_s)
    assert gateway.gate.statements() == ()
    gateway.hear()
    (said,) = gateway.gate.statements()
    assert said.per_s == NO_LIMIT
    assert not gateway.gate.allows(gateway.head, gateway.now_s)
    gateway.candidates.update([HEAD])
    assert gateway.gate.allows(gateway.head, gateway.now_s)


def test_unreadable_limit_changes_nothing():
    """Guards against a limit that ends with a value that says nothing."""
    gateway = Gateway()
    gateway.hear("2")
    gateway.now_s += 0.5
    gateway.hear("none")
    assert gateway.gate.limit_per_s(gateway.head, gateway.now_s) == 2.0


def test_limit_ends_with_the_lifetime():
    """Guards against the limit of a server that ended for its successor."""
    gateway = Gateway()
    gateway.hear("2")
    gateway.candidates.update([msgspec.structs.replace(HEAD, born_ms=2)])
    assert gateway.gate.allows(gateway.head, gateway.now_s)


def test_gateway_without_a_leader_sends_a_part_of_its_share():
    """Guards against a server that nobody uses while there is no leader."""
    gateway = Gateway(LIMITED_HEAD)
    sent = 0
    for _ in range(2000):
        gateway.now_s += 0.01
        if gateway.gate.allows(gateway.head, gateway.now_s):
            gateway.gate.reserve(gateway.head)
            sent += gateway.gate.may_send(gateway.head)
    assert sent == int(19.0 * 2.0 / 4 / 2)


def test_callers_of_a_limited_server_are_refused_at_once():
    """Guards against callers who wait for what the limit cannot give."""

    async def scenario() -> None:
        gateway = Gateway(msgspec.structs.replace(HEAD, limit_per_s=0.1))
        demand = admission.Demand(
            service="desk",
            objective_s=0.2,
            deadline_s=gateway.now_s + 1.5,
            arrived_s=gateway.now_s,
        )
        with pytest.raises(admission.NoCapacityError) as raised:
            await gateway.admission.place(demand)
        assert raised.value.retry_after_s > 1

    asyncio.run(scenario())


@pytest.mark.parametrize("path", ["/read/x", "/stream/x"])
def test_forwarder_hears_the_limits_of_all_kinds_of_answers(path):
    """Guards against answers whose head is read without its limit."""

    async def answer(received):
        if path == "/read/x":
            await received.answer(b"done", 200, "Flamingocleat-Limit: 2.5")
            return
        head = received.response_head(
            200,
            "Flamingocleat-Limit: 2.5",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
        await received.send(
            head + support.chunk(support.event(1)) + b"0\r\n\r\n"
        )

    async def scenario(harness):
        service = "desk" if path == "/read/x" else "llm"
        await harness.add(answer, service)
        reply = await harness.request(path)
        assert reply.status == 200
        assert reply.headers["flamingocleat-limit"] == "2.5"
        (said,) = harness.admission.cold.statements()
        assert said.per_s == 2.5

    support.run_scenario(scenario)


@pytest.mark.parametrize("status", [421, 503])
def test_only_the_server_itself_names_its_limit(status):
    """Another server at the address answers 421, with a limit of its own."""

    async def refuse(received):
        await received.answer(
            b"", status, "Flamingocleat-Limit: 1", "Flamingocleat-Not-Run: 1"
        )

    async def scenario(harness):
        await harness.add(refuse)
        await harness.request("/many/x")
        said = harness.admission.cold.statements()
        assert [each.per_s for each in said] == ([1.0] if status == 503 else [])

    support.run_scenario(scenario)
