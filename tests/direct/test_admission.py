"""Admission control without a network: placing, waiting, refusing."""

import asyncio
import random
import time

import pytest

from flamingocleat import messages
from flamingocleat.request import admission
from flamingocleat.version import candidates


class Clock:
    """A clock that tests set."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


class Harness:
    """Admission of requests for the heads of one model's groups."""

    def __init__(self, heads: int = 2, slots: int = 2) -> None:
        self.clock = Clock()
        self.candidates = candidates.Candidates(self.clock)
        self.admission = admission.Admission("a", self.candidates, self.clock)
        self.candidates.update(
            messages.ServedBackend(
                f"h-{n}",
                f"h-{n}:80",
                "llm",
                "a",
                slots,
                "large",
                f"g-{n}",
                46_000.0,
            )
            for n in range(heads)
        )

    def demand(self, **changes) -> admission.Demand:
        fields = {
            "service": "llm",
            "model": "large",
            "objective_s": 0.4,
            "deadline_s": self.clock.now_s + 8,
            "arrived_s": self.clock.now_s,
            "prompt_tokens": 1000,
        }
        fields.update(changes)
        return admission.Demand(**fields)

    async def place(self, **changes) -> str:
        candidate = await self.admission.place(self.demand(**changes))
        return candidate.view.backend


def test_requests_spread_over_heads():
    """Requests must not pile up: the least loaded head is chosen."""

    async def run():
        harness = Harness()
        backends = [await harness.place() for _ in range(4)]
        assert sorted(backends) == ["h-0", "h-0", "h-1", "h-1"]

    asyncio.run(run())


def test_load_of_other_gateways_counts():
    """A head whose slots other gateways occupy must get no request."""

    async def run():
        harness = Harness()
        harness.candidates.update_load(
            [messages.OtherGatewaysLoad("h-0", 2, 0)]
        )
        assert [await harness.place() for _ in range(2)] == ["h-1", "h-1"]

    asyncio.run(run())


def test_unread_prompts_of_other_gateways_count():
    """A head that reads long prompts returns its first token later."""

    async def run():
        harness = Harness(slots=24)
        harness.candidates.update_load(
            [messages.OtherGatewaysLoad("h-0", 1, 20_000)]
        )
        assert [await harness.place() for _ in range(3)] == ["h-1"] * 3

    asyncio.run(run())


def test_request_that_would_wait_too_long_is_refused_at_once():
    """A request must not wait for more than a third of its caller's time.

    All slots are occupied by long requests, so it is refused at once.
    """

    async def run():
        harness = Harness()
        for _ in range(4):
            await harness.place()
        harness.admission.duration_s["llm", "large"] = 16.0
        waiting = asyncio.create_task(harness.place())
        await asyncio.sleep(0)
        assert waiting.done()
        with pytest.raises(admission.NoCapacityError) as error_info:
            await waiting
        assert 4.0 <= error_info.value.retry_after_s <= 5.0

    asyncio.run(run())


def test_late_request_gets_only_slots_that_others_leave():
    """A late request must not take a slot from one that can be on time."""

    async def run():
        harness = Harness(heads=1, slots=8)
        occupied = [
            await harness.admission.place(harness.demand()) for _ in range(8)
        ]
        harness.admission.duration_s["llm", "large"] = 1.0
        order = []

        async def wait(name, arrived_s):
            await harness.admission.place(harness.demand(arrived_s=arrived_s))
            order.append(name)

        now_s = harness.clock.now_s
        late = asyncio.create_task(wait("late", now_s - 1))
        await asyncio.sleep(0)
        on_time = asyncio.create_task(wait("on_time", now_s))
        await asyncio.sleep(0)
        harness.admission.release(occupied.pop())
        await asyncio.sleep(0.01)
        assert order == ["on_time"]
        harness.admission.release(occupied.pop())
        await asyncio.sleep(0.01)
        # A quarter of the slots is reserved for requests that can be on time.
        assert order == ["on_time"]
        harness.admission.release(occupied.pop())
        harness.admission.release(occupied.pop())
        await asyncio.gather(late, on_time)
        assert order == ["on_time", "late"]

    asyncio.run(run())


def test_late_requests_are_refused_after_failed_waits():
    """Late requests must not wait in vain.

    Waits that ended without a slot stop further ones for some seconds.
    """

    async def run():
        harness = Harness(heads=1, slots=1)
        await harness.place()
        harness.admission.duration_s["llm", "large"] = 1.0
        waits = harness.admission.late_waits["llm", "large"] = (
            admission.LateWaitStats()
        )
        for _ in range(4):
            waits.record(False, harness.clock.now_s)
        waiting = asyncio.create_task(harness.place())
        await asyncio.sleep(0)
        assert waiting.done()
        with pytest.raises(admission.NoCapacityError):
            await waiting
        harness.clock.now_s += 4 * admission.SUCCESS_RECOVERY_S
        again = asyncio.create_task(harness.place())
        await asyncio.sleep(0)
        assert not again.done()
        again.cancel()

    asyncio.run(run())


def test_waiting_requests_are_ordered_by_priority():
    """A free slot must go to the highest priority, then to the earliest."""

    async def run():
        harness = Harness(heads=1, slots=40)
        occupied = [
            await harness.admission.place(harness.demand()) for _ in range(40)
        ]
        harness.admission.duration_s["llm", "large"] = 1.0
        order = []

        async def wait(name, priority):
            await harness.admission.place(harness.demand(priority=priority))
            order.append(name)

        tasks = [
            asyncio.create_task(wait(name, priority))
            for name, priority in [("a", 2), ("b", 1), ("c", 0)]
        ]
        await asyncio.sleep(0)
        for _ in range(3):
            harness.admission.release(occupied.pop())
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
        assert order == ["c", "b", "a"]

    asyncio.run(run())


def test_wait_for_one_model_does_not_block_others():
    """A queue for a full model must not delay requests for other servers."""

    async def run():
        harness = Harness(heads=1, slots=40)
        harness.candidates.update(
            [
                *(each.view for each in harness.candidates.by_backend.values()),
                messages.ServedBackend("d-0", "d-0:80", "desk", "a", 6),
            ]
        )
        occupied = [
            await harness.admission.place(harness.demand()) for _ in range(40)
        ]
        waiting = asyncio.create_task(harness.admission.place(harness.demand()))
        await asyncio.sleep(0)
        assert len(harness.admission.waiting) == 1
        assert await harness.place(service="desk", model="") == "d-0"
        harness.admission.release(occupied.pop())
        await waiting

    asyncio.run(run())


def test_begun_stream_waits_beyond_the_usual_limit():
    """A caller that has received a part of its answer must not be refused."""

    async def run():
        harness = Harness(heads=1, slots=1)
        occupied = await harness.admission.place(harness.demand())
        harness.admission.duration_s["llm", "large"] = 60.0
        waiting = asyncio.create_task(
            harness.admission.place(harness.demand(), resuming=True)
        )
        await asyncio.sleep(0.3)
        assert not waiting.done()
        harness.admission.release(occupied)
        assert (await waiting).view.backend == "h-0"

    asyncio.run(run())


def test_silent_head_is_avoided():
    """A silent head must get no request until its retry interval is over."""

    async def run():
        harness = Harness()
        harness.candidates.by_backend["h-0"].suspected_s = harness.clock.now_s
        assert await harness.place() == "h-1"
        harness.clock.now_s += candidates.MAX_RETRY_INTERVAL_S + 0.1
        assert await harness.place(deadline_s=harness.clock.now_s + 8) == "h-0"

    asyncio.run(run())


def test_cancelled_request_releases_its_slot():
    """A caller that leaves while it waits must not keep a slot.

    The slot is assigned just before the wait is cancelled.
    """

    async def run():
        harness = Harness(heads=1, slots=1)
        occupied = await harness.admission.place(harness.demand())
        harness.admission.duration_s["llm", "large"] = 0.1
        waiting = asyncio.create_task(harness.admission.place(harness.demand()))
        await asyncio.sleep(0)
        harness.admission.release(occupied)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert harness.candidates.by_backend["h-0"].in_flight == 0
        assert harness.admission.waiting == []

    asyncio.run(run())


@pytest.mark.parametrize("seed", range(5))
def test_overload_uses_the_slots_and_refuses_briefly(seed):
    """Slots must not stay free under 1.7 times the load of two heads.

    More than half of the requests are admitted at once; the others are
    refused at once and told to retry within 2 s. For 48 slots and this load,
    Erlang's loss formula gives a mean of 0.97 of the slots in use.
    """
    draw = random.Random(seed)
    harness = Harness(heads=2, slots=24)
    harness.admission.duration_s["llm", "large"] = 1.7
    capacity = 48 / 1.7
    admitted, refused, used_fractions = 0, 0, []
    busy: list[tuple[float, candidates.Candidate]] = []
    next_s = harness.clock.now_s
    end_s = harness.clock.now_s + 30

    while harness.clock.now_s < end_s:
        harness.clock.now_s += 0.01
        for item in [b for b in busy if b[0] <= harness.clock.now_s]:
            busy.remove(item)
            harness.admission.release(item[1], 1.7)
        while next_s <= harness.clock.now_s:
            next_s += draw.expovariate(1.7 * capacity)
            demand = harness.demand()
            candidate = harness.admission.choose(demand)
            if candidate is None:
                refused += 1
                assert harness.admission.expected_wait_s(demand) < 2
                continue
            candidate.in_flight += 1
            admitted += 1
            length_s = draw.lognormvariate(0.3, 0.6)
            busy.append((harness.clock.now_s + length_s, candidate))
        if harness.clock.now_s > 103:
            used_fractions.append(len(busy) / 48)
    assert admitted / (admitted + refused) > 0.5
    assert sum(used_fractions) / len(used_fractions) > 0.93


def test_refused_requests_are_counted_once():
    """A request that is placed again must not count as further demand."""

    async def run():
        harness = Harness(heads=1, slots=1)
        wanted = harness.demand()
        first = await harness.admission.place(wanted)
        with pytest.raises(admission.NoCapacityError):
            await harness.admission.place(
                harness.demand(arrived_s=harness.clock.now_s - 8)
            )
        tried = frozenset({first.view.backend})
        with pytest.raises(admission.NoCapacityError):
            await harness.admission.place(wanted, tried)
        count = harness.admission.demand[wanted.service_model]
        assert (count.requested, count.refused) == (2, 1)

    asyncio.run(run())


def test_models_that_callers_make_up_are_not_all_counted():
    """Each would take memory here and bytes in every report to the leader."""

    async def run():
        harness = Harness()
        for number in range(3 * admission.MAX_COUNTED_MODELS):
            with pytest.raises(admission.NoCapacityError):
                await harness.place(model=f"made-up-{number}")
        assert len(harness.admission.demand) == admission.MAX_COUNTED_MODELS

    asyncio.run(run())


def restarted_gateway() -> Harness:
    """Return a harness whose gateway knows no server yet."""
    harness = Harness()
    harness.views = [
        each.view for each in harness.candidates.by_backend.values()
    ]
    harness.candidates.update([])
    harness.admission.knows_all_servers = lambda: False
    return harness


def test_requests_wait_for_the_first_servers_after_a_restart():
    """Servers announce themselves within a second or two to a new leader."""

    async def run():
        harness = restarted_gateway()
        waiting = [asyncio.create_task(harness.place()) for _ in range(3)]
        await asyncio.sleep(0.01)
        assert not any(task.done() for task in waiting)
        harness.candidates.update(harness.views)
        assert len(await asyncio.gather(*waiting)) == 3

    asyncio.run(run())


def test_wait_for_the_first_servers_ends():
    """It takes no more than a third of the time that its caller allows."""

    async def run():
        harness = restarted_gateway()
        began_s = time.monotonic()
        with pytest.raises(admission.NoCapacityError):
            await harness.place(deadline_s=harness.clock.now_s + 0.6)
        assert 0.15 < time.monotonic() - began_s < 0.35

    asyncio.run(run())


def test_model_without_a_server_is_refused_at_once_when_all_are_known():
    async def run():
        harness = restarted_gateway()
        harness.admission.knows_all_servers = lambda: True
        began_s = time.monotonic()
        with pytest.raises(admission.NoCapacityError):
            await harness.place()
        assert time.monotonic() - began_s < 0.1

    asyncio.run(run())
