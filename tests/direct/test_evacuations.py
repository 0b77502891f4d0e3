"""Evacuation of a data centre: decisions, replicated state and answers."""

import asyncio

import msgspec
import pytest

from flamingocleat import errors
from flamingocleat import messages
from flamingocleat.connection import feed
from flamingocleat.process import evacuations as process
from flamingocleat.process import gateway
from flamingocleat.process import settings
from flamingocleat.request import admission
from flamingocleat.request import header_names
from flamingocleat.version import candidates
from flamingocleat.version import catalog
from flamingocleat.version import declared
from flamingocleat.version import evacuations
from flamingocleat.version import fleet
from flamingocleat.version import group
from tests.direct import coordinators
from tests.direct import test_departures

EVACUATED = messages.EvacuatedDataCentre


# Decisions.


@pytest.mark.parametrize(
    ("data_centre", "known", "evacuated", "is_refused"),
    [
        ("a", ["a", "b"], [], False),
        ("c", ["a", "b"], [], True),
        ("c", ["a", "b"], ["c"], False),
        ("c", [], [], False),
        ("c", [], [str(n) for n in range(evacuations.MAX_EVACUATIONS)], True),
        ("7", [], [str(n) for n in range(evacuations.MAX_EVACUATIONS)], False),
    ],
)
def test_only_unknown_data_centres_are_refused(
    data_centre, known, evacuated, is_refused
):
    """A call that was accepted must not be refused when it is sent again.

    The settings may have changed meanwhile.
    """
    refusal = evacuations.find_refusal(data_centre, known, evacuated)
    assert bool(refusal) == is_refused
    assert not (is_refused and known) or "known are: a, b" in refusal


@pytest.mark.parametrize(("evacuate_s", "limit_s"), [(5, 1.5), (2, 0.6)])
def test_hand_over_is_bounded(evacuate_s, limit_s):
    """A hand-over must end well before the bound on evacuations."""
    hand_overs = evacuations.HandOvers()
    assert hand_overs.remaining_s("a", 7, evacuate_s, 10.0) == 0
    hand_overs.start("a", 7, 10.0)
    remaining_s = hand_overs.remaining_s("a", 7, evacuate_s, 10.2)
    assert remaining_s == pytest.approx(limit_s - 0.2)
    assert hand_overs.remaining_s("a", 7, evacuate_s, 10 + limit_s) == 0
    assert hand_overs.remaining_s("b", 7, evacuate_s, 10.2) == 0


def test_new_leader_gives_no_hand_over():
    """Nobody knows for how long the former leader has given it."""
    hand_overs = evacuations.HandOvers()
    hand_overs.start("a", 7, 10.0)
    assert hand_overs.remaining_s("a", 8, 5, 10.0) == 0


PHASE = group.Phase
ACTION = evacuations.Action


@pytest.mark.parametrize(
    ("members", "phase", "expected"),
    [
        ("b", PHASE.FORMING, ACTION.CONTINUE),
        ("bc", PHASE.OPEN, ACTION.CONTINUE),
        ("a", PHASE.WARMING, ACTION.ABANDON),
        ("aa", PHASE.FORMING, ACTION.ABANDON),
        ("ab", PHASE.FORMING, ACTION.ABANDON),
        ("aa", PHASE.OPENING, ACTION.CLOSE),
        ("ba", PHASE.OPENING, ACTION.CLOSE),
        ("aa", PHASE.OPEN, ACTION.CONTINUE),
        ("ab", PHASE.OPEN, ACTION.CLOSE),
        ("ba", PHASE.OPEN, ACTION.CLOSE),
        ("aa", PHASE.CLOSING, ACTION.CONTINUE),
        ("ab", PHASE.CLOSING, ACTION.CONTINUE),
    ],
)
def test_groups_end_unless_they_are_open_inside(members, phase, expected):
    """No group may open there, and none may keep members of both sides."""
    known = fleet.Fleet()
    for number, data_centre in enumerate(members):
        known.announce(
            test_departures.announcement(
                backend=f"b-{number}",
                address=f"10.0.0.{number + 1}:80",
                data_centre=data_centre,
            ),
            0.0,
        )
    rules = evacuations.GroupRules(known)
    judged = group.Group(
        "g",
        1,
        "large",
        (*(f"b-{n}" for n in range(len(members))), group.UNKNOWN_MEMBER),
        "10.0.0.1:80",
        phase,
        0.0,
    )
    assert rules.action(judged) is ACTION.CONTINUE
    rules.data_centres = {"a": 5000}
    assert rules.action(judged) is expected


# Replicated state.


def order(
    machine: declared.Machine, data_centre: str, evacuated: bool, ms: int = 5000
) -> bool:
    command = declared.PutDocument(
        declared.NO_VERSION,
        b"",
        evacuation=declared.EvacuationOrder(data_centre, evacuated, ms),
    )
    return machine.apply(1, machine.decode(machine.encode(command)))


def test_order_in_the_log_decides():
    """Operators at both ends of an evacuation must see one outcome."""
    machine = declared.Machine()
    assert not order(machine, "a", False)
    assert order(machine, "a", True, 5000)
    assert not order(machine, "a", True, 6000)
    assert machine.evacuations == {"a": 5000}
    assert order(machine, "a", False)
    assert not order(machine, "a", False)
    assert machine.evacuations == {}


def test_evacuations_survive_a_snapshot():
    """A voter that restarts from a snapshot must know all evacuations.

    Others hold the mapping itself, so it must stay the same object.
    """
    machine, restored = declared.Machine(), declared.Machine()
    machine.apply(1, declared.PutDocument(7, b"document"))
    order(machine, "a", True)
    held = restored.evacuations
    order(restored, "b", True)
    restored.restore(machine.snapshot())
    assert held == {"a": 5000}
    assert held is restored.evacuations
    assert (restored.version, restored.document) == (7, b"document")


class EarlierPut(msgspec.Struct, tag="put"):
    """A command as the build before evacuations knows it."""

    version: int
    document: bytes
    withdrawal: declared.StoredWithdrawal | None = None


class EarlierState(msgspec.Struct):
    """A snapshot as the build before evacuations knows it."""

    version: int
    document: bytes
    voters: dict[str, str]
    withdrawals: tuple[declared.StoredWithdrawal, ...] = ()


def test_earlier_builds_read_an_order_as_an_outdated_document():
    """A voter of an earlier build must not fail on the command."""
    machine = declared.Machine()
    command = declared.PutDocument(
        declared.NO_VERSION,
        b"",
        evacuation=declared.EvacuationOrder("a", True, 5000),
    )
    read = msgspec.msgpack.decode(machine.encode(command), type=EarlierPut)
    assert (read.version, read.withdrawal) == (declared.NO_VERSION, None)
    order(machine, "a", True)
    state = msgspec.msgpack.decode(machine.snapshot(), type=EarlierState)
    assert state.version == declared.NO_VERSION


def test_logs_and_snapshots_of_earlier_builds_are_read():
    """A voter must start on a disk that an earlier build wrote."""
    machine = declared.Machine()
    command = machine.decode(msgspec.msgpack.encode(EarlierPut(7, b"x")))
    assert machine.apply(1, command)
    machine.restore(msgspec.msgpack.encode(EarlierState(8, b"y", {"v": "v:1"})))
    assert (machine.version, machine.evacuations) == (8, {})


def test_nothing_is_added_without_an_evacuation():
    """Messages and files of other deployments must not change."""
    machine = declared.Machine()
    for data in (
        machine.encode(declared.PutDocument(7, b"x")),
        machine.snapshot(),
        msgspec.msgpack.encode(messages.GatewayView(1, 1)),
    ):
        assert not {
            field for field in msgspec.msgpack.decode(data) if "evac" in field
        }


# Selection at a gateway.


HEADS = tuple(
    messages.ServedBackend(
        f"h-{name}", f"h-{name}:80", "llm", name, 2, "large", f"g-{name}"
    )
    for name in "ab"
)
PLAIN = tuple(
    messages.ServedBackend(f"p-{name}", f"p-{name}:80", "desk", name, 2)
    for name in "ab"
)


class Selection:
    """A gateway's candidates and admission, in virtual time."""

    def __init__(self, listed=(*HEADS, *PLAIN)) -> None:
        self.now_s = 100.0
        self.candidates = candidates.Candidates(lambda: self.now_s)
        self.admission = admission.Admission(
            "a", self.candidates, lambda: self.now_s
        )
        self.candidates.update(listed)

    def evacuate(self, *data_centres: str, hand_over_ms: int = 0) -> None:
        self.candidates.set_evacuated(
            [EVACUATED(name, hand_over_ms) for name in data_centres]
        )

    def place(self, service: str, model: str = "", **options) -> str:
        """Reserve a slot and return the server, or an empty string."""
        found = self.admission.try_place(
            admission.Demand(
                service=service,
                model=model,
                objective_s=0.4,
                deadline_s=self.now_s + 8,
                arrived_s=self.now_s,
            ),
            **options,
        )
        return found.view.backend if found else ""


@pytest.mark.parametrize("resuming", [False, True])
def test_servers_in_an_evacuated_data_centre_are_not_selected(resuming):
    """No request may go there: of a model or not, new, retried or resumed."""
    selection = Selection()
    selection.evacuate("a")
    excluded = frozenset(["h-b", "p-b"])
    for service, model, other in (
        ("llm", "large", "h-b"),
        ("desk", "", "p-b"),
    ):
        assert selection.place(service, model, resuming=resuming) == other
        assert not selection.place(
            service, model, excluded=excluded, resuming=resuming
        )


def test_requests_are_refused_at_once_when_nothing_is_left():
    """A caller must not wait for servers that will not come back soon."""

    async def scenario() -> None:
        selection = Selection()
        selection.evacuate("a", "b")
        demand = admission.Demand(
            service="llm",
            model="large",
            objective_s=0.4,
            deadline_s=selection.now_s + 8,
            arrived_s=selection.now_s,
        )
        with pytest.raises(admission.NoCapacityError) as refusal:
            async with asyncio.timeout(0.1):
                await selection.admission.place(demand)
        assert refusal.value.retry_after_s >= admission.BASE_RETRY_AFTER_S

    asyncio.run(scenario())


def test_calls_in_flight_continue():
    """An evacuation must end no call, and keep counting it."""
    selection = Selection()
    assert selection.place("llm", "large") == "h-a"
    selection.evacuate("a")
    assert selection.candidates.by_backend["h-a"].report(100.0).in_flight == 1


def test_heads_of_a_hand_over_are_used_last():
    """They must take only what no other server has room for, for its time."""
    selection = Selection()
    selection.evacuate("a", hand_over_ms=1500)
    placed = [selection.place("llm", "large") for _ in range(3)]
    assert placed == ["h-b", "h-b", "h-a"]
    assert [selection.place("desk") for _ in range(3)] == ["p-b", "p-b", ""]
    selection.now_s += 1.5
    assert not selection.place("llm", "large")


def test_hand_over_is_never_prolonged():
    """A view that arrives late, or is sent again, must not extend it."""
    selection = Selection(HEADS[:1])
    selection.evacuate("a", hand_over_ms=1000)
    selection.now_s += 0.9
    selection.evacuate("a", hand_over_ms=1000)
    selection.now_s += 0.1
    assert not selection.place("llm", "large")


def test_new_leader_ends_the_hand_over_at_gateways():
    """Its views name no hand-over."""
    selection = Selection(HEADS[:1])
    selection.evacuate("a", hand_over_ms=1000)
    assert selection.place("llm", "large") == "h-a"
    selection.evacuate("a")
    assert not selection.place("llm", "large")
    selection.evacuate("a", hand_over_ms=1000)
    assert not selection.place("llm", "large")


def test_reinstated_data_centre_is_used_at_once():
    """Requests that wait must go there without a further change."""
    selection = Selection(HEADS[:1])
    selection.evacuate("a")
    notified = []
    selection.candidates.subscribe(lambda: notified.append(True))
    selection.evacuate()
    assert notified
    assert selection.place("llm", "large") == "h-a"


def program() -> gateway.Gateway:
    return gateway.Gateway(
        lambda: settings.GatewaySettings(
            gateway="g",
            data_centre="a",
            listen="127.0.0.1:0",
            health_listen="127.0.0.1:0",
            control=(),
        ),
        header_names.HeaderNames(),
    )


def usable(instance: gateway.Gateway) -> list[str]:
    return [e.view.backend for e in instance.candidates.find("llm", "large")]


def test_gateway_keeps_the_set_until_it_hears_otherwise():
    """A new leader may not list servers yet, and none may be reachable.

    The list is the former leader's meanwhile.
    """

    async def scenario() -> None:
        instance = program()
        apply = instance._apply_view
        apply(messages.GatewayView(1, 1, backends=HEADS))
        assert usable(instance) == ["h-a", "h-b"]
        apply(
            messages.GatewayView(
                2, 1, settled=False, evacuated=(EVACUATED("a"),)
            )
        )
        assert usable(instance) == ["h-b"]
        apply(messages.GatewayView(2, 1))
        assert usable(instance) == ["h-a", "h-b"]

    asyncio.run(scenario())


def test_gateway_without_servers_is_ready_if_all_are_evacuated():
    """Callers get a refusal with a wait from it, but none from a balancer.

    A leader that has not heard from the servers yet lists none either.
    """

    async def scenario() -> None:
        instance = program()
        instance.forwarder.apply_catalog(
            catalog.CatalogIndex(catalog.Catalog(1, (), (), ()))
        )
        for settled in (False, True):
            view = messages.GatewayView(
                1, 1, backends=(), settled=settled, evacuated=(EVACUATED("a"),)
            )
            instance._apply_view(view)
            assert (not instance.not_ready_reason) == settled

    asyncio.run(scenario())


@pytest.mark.parametrize("settled", [False, True])
def test_gateway_that_has_just_started_sends_nothing_there(settled):
    """Requests that wait for the first list must not go there.

    It takes no part in a hand-over either.
    """

    async def scenario() -> None:
        instance = program()
        instance.forwarder.apply_catalog(
            catalog.CatalogIndex(catalog.Catalog(1, (), (), ()))
        )
        now_s = instance.candidates.clock()
        waiting = asyncio.create_task(
            instance.admission.place(
                admission.Demand(
                    service="llm",
                    model="large",
                    objective_s=0.4,
                    deadline_s=now_s + 3,
                    arrived_s=now_s,
                )
            )
        )
        await asyncio.sleep(0)
        assert instance.admission.waiting
        instance._apply_view(
            messages.GatewayView(
                1,
                1,
                backends=HEADS[:1],
                settled=settled,
                evacuated=(EVACUATED("a", 1500),),
            )
        )
        with pytest.raises(admission.NoCapacityError):
            await waiting

    asyncio.run(scenario())


# Operators' calls and leaders.


class Views:
    """Views that a coordinator sends to a gateway that has just started."""

    def __init__(self, address: str) -> None:
        self.received: asyncio.Queue[messages.GatewayView] = asyncio.Queue()
        self.subscriber = feed.Subscriber(
            lambda: [address],
            lambda sequence: messages.GatewayReport("g", "a", sequence, 1, 0),
            self.received.put_nowait,
        )
        self.following = asyncio.create_task(self.subscriber.run())

    async def next(self) -> messages.GatewayView:
        async with asyncio.timeout(coordinators.TIMEOUT_S):
            return await self.received.get()

    async def close(self) -> None:
        self.following.cancel()
        await asyncio.gather(self.following, return_exceptions=True)


async def first_view(cluster: coordinators.Cluster) -> messages.GatewayView:
    """Return the first view that the leader sends to a new gateway."""
    leader = await cluster.leader()
    views = Views(leader.settings.address)
    view = await views.next()
    await views.close()
    return view


def evacuated_in(view: messages.GatewayView) -> list[str]:
    return [each.data_centre for each in view.evacuated]


async def number_of(cluster: coordinators.Cluster, leads: bool) -> int:
    """Return the number of a coordinator that leads, or of one that does not.

    The latter knows the leader.
    """
    leader = await cluster.leader()
    if leads:
        return next(n for n, e in cluster.running.items() if e is leader)
    async with asyncio.timeout(coordinators.TIMEOUT_S):
        while True:
            for number, each in cluster.running.items():
                if each is not leader and each.leadership.leader_hint():
                    return number
            await asyncio.sleep(0.05)


START_A = coordinators.EVACUATE + "a"
FINISH_A = coordinators.REINSTATE + "a"


def test_answers_to_operators(tmp_path):
    """Each defined case must have its answer, also when a call is repeated."""

    async def scenario(cluster):
        leader = await cluster.leader()
        number = await number_of(cluster, True)
        for path in (FINISH_A, START_A, START_A, FINISH_A, FINISH_A, START_A):
            answer, _ = await cluster.call(number, path)
            assert answer.status == 200
        assert set(leader.machine.evacuations) == {"a"}
        leader.settings = msgspec.structs.replace(
            leader.settings, data_centres=("b", "c")
        )
        answer, body = await cluster.call(number, coordinators.EVACUATE + "d")
        assert answer.status == 400
        assert b"known are: b, c" in body
        answer, _ = await cluster.call(number, START_A)
        assert answer.status == 200
        follower = await number_of(cluster, False)
        answer, _ = await cluster.call(follower, START_A)
        assert answer.status == 307
        location = answer.header(b"location")
        assert location == f"http://{leader.settings.http_listen}{START_A}"

    coordinators.run_scenario(tmp_path, scenario)


def test_call_without_a_majority_is_not_acknowledged(tmp_path):
    """What no majority has stored must not be promised."""

    async def scenario(cluster):
        number = await number_of(cluster, True)
        for other in [n for n in cluster.running if n != number]:
            await cluster.stop(other)
        answer, _ = await cluster.call(number, START_A)
        assert answer.status == 503

    coordinators.run_scenario(tmp_path, scenario)


def test_call_reaches_a_gateway_at_once(tmp_path):
    """Gateways must learn of both orders by a view of their own."""

    async def scenario(cluster):
        leader = await cluster.leader()
        views = Views(leader.settings.address)
        assert not (await views.next()).evacuated
        await cluster.evacuate("a")
        while not evacuated_in(await views.next()):
            pass
        await cluster.reinstate("a")
        while evacuated_in(await views.next()):
            pass
        await views.close()

    coordinators.run_scenario(tmp_path, scenario)


def test_first_view_of_an_evacuation_has_the_hand_over(tmp_path):
    """Gateways would end it for good at a view without it."""

    async def scenario(cluster):
        leader = await cluster.leader()
        leader._review = lambda: []
        leader._adopt_groups = lambda: []
        views = Views(leader.settings.address)
        await cluster.evacuate("a")
        while not (view := await views.next()).evacuated:
            pass
        assert 0 < view.evacuated[0].hand_over_ms <= 1500
        await views.close()

    coordinators.run_scenario(tmp_path, scenario)


def test_leader_lost_between_commit_and_acknowledgement(tmp_path):
    """A call that is sent again must find the state and be accepted."""

    async def scenario(cluster):
        leader = await cluster.leader()
        propose = leader.consensus.propose
        committed = asyncio.Event()

        async def commit_without_an_answer(command):
            await propose(command)
            committed.set()
            raise errors.CommitUnknownError("the leader is lost")

        leader.consensus.propose = commit_without_an_answer
        number = await number_of(cluster, True)
        answer, _ = await cluster.call(number, START_A)
        assert answer.status == 503
        assert committed.is_set()
        await cluster.stop(number)
        await cluster.evacuate("a")
        leader = await cluster.leader()
        assert set(leader.machine.evacuations) == {"a"}

    coordinators.run_scenario(tmp_path, scenario)


def test_leader_lost_between_commit_and_notice(tmp_path):
    """The next leader's first view must have the evacuation.

    It has not heard from all servers then.
    """

    async def scenario(cluster):
        leader = await cluster.leader()
        leader.publisher.notify = lambda: None
        leader.evacuations.listeners.clear()
        await cluster.evacuate("a")
        await cluster.stop_leader()
        view = await first_view(cluster)
        assert evacuated_in(view) == ["a"]
        assert not view.settled
        assert view.evacuated[0].hand_over_ms == 0

    coordinators.run_scenario(tmp_path, scenario)


def test_all_voters_restarted(tmp_path):
    """The first view after the loss of all processes must have it."""

    async def scenario(cluster):
        await cluster.evacuate("a")
        await cluster.evacuate("b")
        await cluster.reinstate("b")
        for number in (1, 2, 3):
            await cluster.stop(number)
        for number in (1, 2, 3):
            await cluster.start(number, bootstrap=False)
        assert evacuated_in(await first_view(cluster)) == ["a"]

    coordinators.run_scenario(tmp_path, scenario)


def test_first_view_waits_for_a_quorum(tmp_path):
    """A deposed leader must not tell a new gateway its outdated state.

    It does not know yet that it was deposed, as after a pause.
    """

    async def scenario(cluster):
        leader = await cluster.leader()

        async def never_confirmed():
            await asyncio.sleep(coordinators.TIMEOUT_S)

        leader.consensus.confirm = never_confirmed
        views = Views(leader.settings.address)
        await asyncio.sleep(0.5)
        assert views.received.empty()
        await views.close()

    coordinators.run_scenario(tmp_path, scenario)


def test_plain_servers_are_not_listed(tmp_path):
    """Gateways of an earlier build know no evacuations, only the list."""

    async def scenario(cluster):
        for number, data_centre in enumerate("ab"):
            await cluster.announce(
                test_departures.announcement(
                    backend=f"b-{number}",
                    address=f"10.0.0.{number + 1}:80",
                    data_centre=data_centre,
                )
            )
        leader = await cluster.leader()
        await cluster.evacuate("a")
        assert {e.backend for e in leader.served_backends} <= {"b-1"}
        await cluster.reinstate("a")
        leader._update_served_backends()
        assert {e.backend for e in leader.served_backends} == {"b-0", "b-1"}

    coordinators.run_scenario(tmp_path, scenario)


class FakeManager:
    """What a review of hand-overs asks of a group manager."""

    def __init__(self, is_planning: bool) -> None:
        self.evacuation = self
        self.groups: dict = {}
        self.is_planning = lambda _groups: is_planning


@pytest.mark.parametrize("is_planning", [False, True])
def test_hand_over_needs_groups_that_open_elsewhere(tmp_path, is_planning):
    """Callers must not be kept there if it gains them nothing."""

    async def scenario(cluster):
        leader = await cluster.leader()
        evacuating = leader.evacuations
        leader._review = lambda: []
        leader._adopt_groups = lambda: []
        await cluster.evacuate("a")
        assert evacuating.as_message()[0].hand_over_ms > 0
        evacuating.review({"llm": FakeManager(is_planning)})
        assert bool(evacuating.as_message()[0].hand_over_ms) == is_planning
        await cluster.reinstate("a")
        assert evacuating.hand_overs.started == {}

    coordinators.run_scenario(tmp_path, scenario)


def test_commit_is_not_waited_for_longer_than_a_second():
    """Operators pay for each second; another coordinator may answer sooner."""
    assert process.COMMIT_TIMEOUT_S < 1


def test_documents_of_operators_are_kept_beside_orders(tmp_path):
    """An order must not replace the configuration, which has a version."""

    async def scenario(cluster):
        await cluster.put(3)
        await cluster.evacuate("a")
        assert await cluster.get() == 3

    coordinators.run_scenario(tmp_path, scenario)
