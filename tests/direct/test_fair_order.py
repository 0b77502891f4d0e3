"""Order of waiting requests between priorities, gateways and customers."""

import asyncio
import collections
import random

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from flamingocleat import messages
from flamingocleat.request import admission
from flamingocleat.request import fair_order
from flamingocleat.version import candidates
from tests.direct import virtual

SLOTS = 12
HEADS = 2
HOLD_S = 0.5
"""Mean time that a request holds its slot in the simulation."""
CAPACITY = SLOTS * HEADS / HOLD_S
OBJECTIVE_S = 0.4
EXCHANGE_S = 0.2
"""Interval at which the leader tells gateways of each other."""


def _demand(**changes) -> admission.Demand:
    fields = {
        "service": "llm",
        "model": "m",
        "objective_s": OBJECTIVE_S,
        "deadline_s": 108.0,
        "arrived_s": 100.0,
    }
    return admission.Demand(**{**fields, **changes})


def _place(**changes) -> admission._Place:
    return admission._Place(demand=_demand(**changes))


def test_customers_take_turns():
    """A customer's queue must not delay another customer's only request."""
    order = fair_order.FairOrder()
    many = [_place(customer="many", arrived_s=99.95) for _ in range(9)]
    few = _place(customer="few", arrived_s=99.99)
    assert order.sort([*many, few], 100.0).index(few) <= 1
    for _ in range(3):
        order.record(many[0].demand, 100.0)
    assert order.sort([*many, few], 100.0).index(few) == 0


def test_priority_goes_before_a_customer_turn():
    """A customer that has got many slots keeps the priority of its calls."""
    order = fair_order.FairOrder()
    urgent = _place(customer="many", priority=0)
    other = _place(customer="few", priority=1)
    for _ in range(9):
        order.record(urgent.demand, 100.0)
    assert order.sort([other, urgent], 100.0) == [urgent, other]


def test_earlier_slots_of_a_customer_are_forgotten():
    """A burst of a customer must not put it behind others for long."""
    order = fair_order.FairOrder()
    for _ in range(20):
        order.record(_demand(customer="many"), 100.0)
    first = _place(customer="many", arrived_s=129.95)
    second = _place(customer="few", arrived_s=129.99)
    assert order.sort([second, first], 130.0)[0] is first


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.booleans(),
            strategies.integers(0, 3),
            strategies.floats(99.0, 101.0),
        ),
        max_size=30,
    )
)
def test_requests_of_one_customer_keep_the_order_by_time(parts):
    """Deployments without customers must be served in the order as before."""
    places = [
        admission._Place(
            demand=_demand(priority=priority, arrived_s=arrived_s),
            resuming=resuming,
        )
        for resuming, priority, arrived_s in parts
    ]
    expected = sorted(places, key=lambda each: each.sort_key(101.0))
    assert fair_order.FairOrder().sort(places, 101.0) == expected


WAITING = strategies.lists(
    strategies.builds(
        messages.WaitingRequests,
        strategies.just("llm"),
        strategies.sampled_from(["a", "b"]),
        strategies.integers(0, 3),
        strategies.integers(1, 9),
    ),
    max_size=6,
    unique_by=lambda each: (each.model, each.priority),
)


@hypothesis.given(strategies.lists(WAITING, min_size=1, max_size=4))
def test_gateways_learn_of_the_most_urgent_requests_elsewhere(reports):
    """A gateway's own requests must not count as those of others."""
    totals = fair_order.WaitingTotals()
    for report in reports:
        totals.add(report, 1)
    others: dict[str, collections.Counter] = {}
    for report in reports[1:]:
        for each in report:
            counts = others.setdefault(each.model, collections.Counter())
            counts[each.priority] += each.count
    expected = {
        model: (min(counts), counts[min(counts)])
        for model, counts in others.items()
    }
    found = totals.elsewhere(reports[0])
    assert {e.model: (e.priority, e.count) for e in found} == expected
    for report in reports:
        totals.add(report, -1)
    assert totals.counts == {}


class _Gateway:
    """Admission of one gateway, and what became of its callers."""

    def __init__(self, clock, heads: int = HEADS, slots: int = SLOTS) -> None:
        self.clock = clock
        self.candidates = candidates.Candidates(clock)
        self.candidates.update(
            messages.ServedBackend(
                f"h-{n}", f"h-{n}:80", "llm", "a", slots, "m", f"g-{n}"
            )
            for n in range(heads)
        )
        self.admission = admission.Admission("a", self.candidates, clock, 1)
        self.admission.duration_s["llm", "m"] = HOLD_S
        self.came: collections.Counter[str] = collections.Counter()
        self.on_time: collections.Counter[str] = collections.Counter()


@pytest.fixture
def gateway() -> _Gateway:
    return _Gateway(lambda: 100.0)


def _tell(gateway: _Gateway, priority: int, count: int, at_s: float = 100.0):
    gateway.admission.elsewhere.update(
        (messages.WaitingRequests("llm", "m", priority, count),), at_s
    )


def test_slots_are_left_to_more_urgent_callers_of_other_gateways(gateway):
    """The last free slots must not go to less urgent callers."""
    _tell(gateway, 0, 5)
    placed = 0
    while gateway.admission.try_place(_demand(priority=1)):
        placed += 1
    assert placed == SLOTS * HEADS - 5
    assert gateway.admission.try_place(_demand(priority=0))
    assert gateway.admission.try_place(_demand(priority=1), resuming=True)


@pytest.mark.parametrize(
    ("priority", "count", "at_s", "expected"),
    [
        (1, 5, 100.0, SLOTS * HEADS),
        (2, 5, 100.0, SLOTS * HEADS),
        (0, 5, 98.9, SLOTS * HEADS),
        (0, 500, 100.0, SLOTS * HEADS / 2),
    ],
    ids=["equal", "less urgent", "outdated", "too many"],
)
def test_slots_are_used_without_urgent_callers(
    gateway, priority, count, at_s, expected
):
    """Slots must not stay free for callers that are gone or no more urgent."""
    _tell(gateway, priority, count, at_s)
    placed = 0
    while gateway.admission.try_place(_demand(priority=1)):
        placed += 1
    assert placed == expected


def test_late_requests_do_not_lengthen_the_wait_of_others(gateway):
    """A request that can be on time must not be taken for a late one.

    Late requests that wait go behind it; counting them made each new request
    of a burst late as well.
    """
    for _ in range(6):
        assert gateway.admission.try_place(_demand())
    gateway.admission.waiting = [
        admission._Place(demand=_demand(arrived_s=95.0)) for _ in range(30)
    ]
    late_s = gateway.admission.expected_wait_s(_demand(arrived_s=95.0))
    on_time_s = gateway.admission.expected_wait_s(_demand())
    assert late_s > 10 * on_time_s


def test_a_full_queue_does_not_keep_out_other_customers():
    """One customer's backlog must not refuse the calls of all others."""

    async def run():
        loop = asyncio.get_running_loop()
        gateway = _Gateway(loop.time, heads=1, slots=1)
        now_s = loop.time()

        async def place(customer):
            demand = _demand(
                customer=customer,
                objective_s=400.0,
                arrived_s=now_s,
                deadline_s=now_s + 900,
            )
            return await gateway.admission.place(demand)

        first = await place("many")
        tasks = [
            asyncio.create_task(place("many"))
            for _ in range(admission.MAX_WAITING)
        ]
        await asyncio.sleep(0)
        few = asyncio.create_task(place("few"))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        refused = [each for each in tasks if each.done()]
        assert len(gateway.admission.waiting) == admission.MAX_WAITING
        assert len(refused) == 1
        assert isinstance(refused[0].exception(), admission.NoCapacityError)
        gateway.admission.release(first, HOLD_S)
        await asyncio.sleep(0)
        assert few.done()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    virtual.run(lambda _loop: run())


def test_a_refused_place_in_the_queue_may_be_cancelled():
    """A caller that ends as its place is taken must not end as an error."""

    async def run():
        loop = asyncio.get_running_loop()
        gateway = _Gateway(loop.time, heads=1, slots=1)
        await gateway.admission.place(_demand(arrived_s=loop.time()))
        task = asyncio.create_task(
            gateway.admission.place(
                _demand(arrived_s=loop.time(), objective_s=90.0, deadline_s=900)
            )
        )
        await asyncio.sleep(0)
        entry = gateway.admission.waiting[0]
        entry.placed.set_exception(admission.NoCapacityError("full", 1.0))
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    virtual.run(lambda _loop: run())


async def _callers(gateway, heads, kind, per_s, until_s, seed, **changes):
    """Make calls of one kind at a gateway, without second attempts."""
    loop = asyncio.get_running_loop()
    rng = random.Random(seed)
    tasks = []

    async def call():
        gateway.came[kind] += 1
        now_s = loop.time()
        demand = _demand(arrived_s=now_s, deadline_s=now_s + 6, **changes)
        try:
            placed = await gateway.admission.place(demand)
        except admission.NoCapacityError:
            return
        gateway.on_time[kind] += not demand.is_late(loop.time())
        heads[placed.view.backend] += 1
        held_s = HOLD_S * rng.uniform(0.5, 1.5)
        await asyncio.sleep(held_s)
        heads[placed.view.backend] -= 1
        gateway.admission.release(placed, held_s)

    while loop.time() < until_s:
        await asyncio.sleep(rng.expovariate(per_s))
        tasks.append(asyncio.create_task(call()))
    await asyncio.gather(*tasks)


async def _exchange(gateways, until_s, *, tells_waiting: bool):
    """Tell each gateway of the other one, as the leader does."""
    loop = asyncio.get_running_loop()
    while loop.time() < until_s:
        await asyncio.sleep(EXCHANGE_S)
        reports = [
            fair_order.count_waiting(each.admission.waiting)
            for each in gateways
        ]
        totals = fair_order.WaitingTotals()
        for report in reports:
            totals.add(report, 1)
        loads = [
            [
                messages.OtherGatewaysLoad(backend, each.in_flight, 0)
                for backend, each in gateway.candidates.by_backend.items()
            ]
            for gateway in gateways
        ]
        for number, gateway in enumerate(gateways):
            if tells_waiting:
                gateway.admission.elsewhere.update(
                    totals.elsewhere(reports[number]), loop.time()
                )
            gateway.candidates.update_load(loads[1 - number])


def _urgent_on_time(seed: int, *, tells_waiting: bool) -> float:
    """Return which part of one gateway's urgent callers is on time.

    The other gateway has only less urgent callers, and more than fit.
    """

    async def run(loop):
        urgent, other = _Gateway(loop.time), _Gateway(loop.time)
        heads: collections.Counter[str] = collections.Counter()
        until_s = loop.time() + 20
        await asyncio.gather(
            _callers(
                urgent,
                heads,
                "urgent",
                0.6 * CAPACITY,
                until_s,
                seed,
                priority=0,
            ),
            _callers(
                other,
                heads,
                "other",
                0.9 * CAPACITY,
                until_s,
                seed + 1,
                priority=2,
            ),
            _exchange([urgent, other], until_s, tells_waiting=tells_waiting),
        )
        return urgent.on_time["urgent"] / urgent.came["urgent"]

    return virtual.run(run)


def test_urgent_callers_go_first_across_gateways():
    """Urgent callers must not lose slots to less urgent ones elsewhere."""
    told = [_urgent_on_time(seed, tells_waiting=True) for seed in range(4)]
    untold = [_urgent_on_time(seed, tells_waiting=False) for seed in range(4)]
    assert sum(told) / 4 > sum(untold) / 4 + 0.02, (told, untold)


def test_customers_within_their_share_are_on_time_beside_a_large_one():
    """A customer must not get more of the slots by sending more requests."""

    async def run(loop):
        gateway = _Gateway(loop.time)
        heads: collections.Counter[str] = collections.Counter()
        until_s = loop.time() + 20
        await asyncio.gather(
            _callers(
                gateway,
                heads,
                "many",
                1.5 * CAPACITY,
                until_s,
                1,
                customer="many",
            ),
            *(
                _callers(
                    gateway,
                    heads,
                    f"few-{n}",
                    0.05 * CAPACITY,
                    until_s,
                    n + 2,
                    customer=f"few-{n}",
                )
                for n in range(4)
            ),
        )
        few = [f"few-{n}" for n in range(4)]
        return (
            sum(gateway.on_time[name] for name in few)
            / sum(gateway.came[name] for name in few),
            gateway.on_time["many"] / gateway.came["many"],
        )

    few, many = virtual.run(run)
    assert few > many + 0.2, (few, many)


def test_messages_of_earlier_builds_are_read():
    """Gateways and leaders of different builds must understand each other."""
    report = messages.GatewayReport("g", "a", 1, 1, 0)
    encoded = msgspec.msgpack.encode(report)
    assert (
        msgspec.msgpack.decode(encoded, type=messages.GatewayReport).waiting
        == ()
    )
    view = messages.GatewayView(1, 1)
    encoded = msgspec.msgpack.encode(view)
    assert b"waiting_elsewhere" not in encoded
