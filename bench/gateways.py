"""Measures how many gateways place requests on the heads of one model.

Drives each gateway's admission in virtual time. Gateways learn what the others
have in flight from views, some tenths of a second old. Heads read prompts in
order and write tokens at the rate of the engine's cost model. A head is lost
and another one opens while callers arrive. Run with --gateways and --heads.
"""

import argparse
import asyncio
import collections
import collections.abc
import random
import statistics

import msgspec

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.request import admission as admission_module
from flamingocleat.version import candidates as candidates_module
from tests.direct import virtual
from tests.direct import vms

OBJECTIVE_S = 0.4
TIME_LIMIT_S = 6.0
STRIDE = 5
"""Token steps between two chunks of prompts."""
FIRST_TOKEN_S = 0.2
"""Time to the first event of a request on an idle head, without its prompt."""
VIEW_INTERVAL_S = 0.2
PACE = 0.6
PROMPT_TOKENS = 714.0
ANSWER_TOKENS = 95.0
SERVICE = ids.ServiceId("llm")
MODEL = "small"


class Shape(msgspec.Struct, frozen=True, kw_only=True):
    """Gateways, heads and load of one run."""

    gateways: int = 35
    heads: int = 23
    requests_per_s: float = 224.0
    lost_at_s: float = 3.0
    opens_at_s: float = 5.0
    duration_s: float = 9.0


class Result(msgspec.Struct):
    """What callers got."""

    first_bytes_s: list[float] = msgspec.field(default_factory=list)
    """Times to the first byte, those of refused callers being infinite."""
    herd: int = 0
    """Most requests that a head received within 0.2 s."""

    @property
    def on_time(self) -> float:
        """Fraction of the callers whose first byte came in time."""
        in_time = sum(each <= OBJECTIVE_S for each in self.first_bytes_s)
        return in_time / len(self.first_bytes_s)


class Head:
    """A head that reads prompts one after the other, and writes answers."""

    def __init__(self, number: int) -> None:
        self.view = messages.ServedBackend(
            backend=ids.BackendId(f"head-{number}"),
            address=f"head-{number}:80",
            service=SERVICE,
            data_centre=ids.DataCentreId("a"),
            slots=vms.ENGINE.slots,
            model=MODEL,
            group=f"group-{number}",
            read_per_s=vms.ENGINE.read_per_s / PACE,
        )
        self.in_flight = 0
        self.read_until_s = 0.0
        self.arrivals_s: collections.deque[float] = collections.deque()
        self.lost = asyncio.Event()

    def step_s(self) -> float:
        """Return the time of a token step."""
        engine = vms.ENGINE
        step_ms = engine.step_ms + engine.sequence_ms * self.in_flight
        return step_ms * PACE / 1000

    def token_s(self) -> float:
        """Return the time to read a prompt token.

        Between two chunks of prompts, streams are written for some steps.
        """
        writing_s = STRIDE * self.step_s() / vms.ENGINE.chunk_tokens
        return 1 / self.view.read_per_s + writing_s


class Attempt:
    """A request in flight, as gateways count it."""

    def __init__(self, prompt_tokens: int, now_s: float) -> None:
        self.prompt_tokens = prompt_tokens
        self.started_s = now_s
        self.writing = False

    def interrupt(self, reason: str) -> None:
        """Do nothing: silence is not simulated."""


class Simulation:
    """One run in virtual time."""

    def __init__(
        self, loop: virtual.VirtualLoop, shape: Shape, seed: int
    ) -> None:
        self.loop = loop
        self.shape = shape
        self.random = random.Random(seed)
        self.heads = {
            head.view.backend: head for head in map(Head, range(shape.heads))
        }
        self.gateways: list[admission_module.Admission] = []
        for number in range(shape.gateways):
            candidates = candidates_module.Candidates(loop.time)
            admission = admission_module.Admission(
                ids.DataCentreId("a"), candidates, loop.time, seed + number
            )
            admission.gateways = shape.gateways
            self.gateways.append(admission)
        self.result = Result()
        self.callers: list[asyncio.Task[None]] = []

    async def run(self) -> Result:
        """Run to the end and return what callers got."""
        self._update_heads()
        views = [
            asyncio.create_task(self._send_views(number))
            for number in range(len(self.gateways))
        ]
        events = asyncio.create_task(self._change_heads())
        end_s = self.loop.time() + self.shape.duration_s
        while self.loop.time() < end_s:
            gap_s = self.random.expovariate(self.shape.requests_per_s)
            await asyncio.sleep(gap_s)
            self.callers.append(asyncio.create_task(self._call()))
        await asyncio.gather(*self.callers)
        for task in (*views, events):
            task.cancel()
        await asyncio.gather(*views, events, return_exceptions=True)
        return self.result

    def _update_heads(self) -> None:
        for gateway in self.gateways:
            gateway.candidates.update(
                [head.view for head in self.heads.values()]
            )

    async def _change_heads(self) -> None:
        await asyncio.sleep(self.shape.lost_at_s)
        lost = self.heads.pop(ids.BackendId("head-0"))
        self._update_heads()
        lost.lost.set()
        await asyncio.sleep(self.shape.opens_at_s - self.shape.lost_at_s)
        opened = Head(len(self.heads) + 1)
        self.heads[opened.view.backend] = opened
        self._update_heads()

    async def _send_views(self, number: int) -> None:
        """Tell a gateway what the others reported up to an interval ago."""
        await asyncio.sleep(self.random.uniform(0, VIEW_INTERVAL_S))
        gateway = self.gateways[number]
        while True:
            totals = {
                backend: (
                    sum(
                        g.candidates.by_backend[backend].in_flight
                        for g in self.gateways
                    ),
                    sum(
                        g.candidates.by_backend[backend].unread_tokens
                        for g in self.gateways
                    ),
                )
                for backend in self.heads
            }
            own = {
                backend: (
                    gateway.candidates.by_backend[backend].in_flight,
                    gateway.candidates.by_backend[backend].unread_tokens,
                )
                for backend in self.heads
            }
            await asyncio.sleep(self.random.uniform(0, VIEW_INTERVAL_S))
            gateway.candidates.update_load(
                messages.OtherGatewaysLoad(
                    backend,
                    total[0] - own[backend][0],
                    total[1] - own[backend][1],
                )
                for backend, total in totals.items()
            )
            await asyncio.sleep(VIEW_INTERVAL_S / 2)

    async def _call(self) -> None:
        gateway = self.random.choice(self.gateways)
        arrived_s = self.loop.time()
        prompt = round(self.random.lognormvariate(6.2, 0.8))
        demand = admission_module.Demand(
            service=SERVICE,
            model=MODEL,
            objective_s=OBJECTIVE_S,
            deadline_s=arrived_s + TIME_LIMIT_S,
            arrived_s=arrived_s,
            prompt_tokens=prompt,
        )
        resuming = False
        while True:
            try:
                candidate = await gateway.place(demand, resuming=resuming)
            except admission_module.NoCapacityError:
                if not resuming:
                    self.result.first_bytes_s.append(float("inf"))
                return
            head = self.heads.get(candidate.view.backend)
            if head is not None and await self._serve(
                gateway, candidate, head, prompt, arrived_s, resuming
            ):
                return
            if head is None:
                gateway.release(candidate)
                await asyncio.sleep(0.01)
            resuming = True

    async def _serve(
        self,
        gateway: admission_module.Admission,
        candidate: candidates_module.Candidate,
        head: Head,
        prompt: int,
        arrived_s: float,
        resuming: bool,
    ) -> bool:
        """Serve a request; return False if the head is lost meanwhile."""
        now_s = self.loop.time()
        self._count_arrival(head, now_s)
        attempt = Attempt(prompt, now_s)
        candidate.attempts.add(attempt)
        head.in_flight += 1
        try:
            read_s = prompt * head.token_s()
            head.read_until_s = max(head.read_until_s, now_s) + read_s
            first_s = head.read_until_s - now_s + FIRST_TOKEN_S
            if await self._lost_within(head, first_s):
                return False
            attempt.writing = True
            if not resuming:
                self.result.first_bytes_s.append(self.loop.time() - arrived_s)
            tokens = self.random.lognormvariate(4.4, 0.6)
            return not await self._lost_within(head, tokens * head.step_s())
        finally:
            head.in_flight -= 1
            candidate.attempts.discard(attempt)
            gateway.release(candidate, self.loop.time() - now_s)

    async def _lost_within(self, head: Head, duration_s: float) -> bool:
        """Wait; return True as soon as the head is lost."""
        try:
            async with asyncio.timeout(duration_s):
                await head.lost.wait()
        except TimeoutError:
            return False
        return True

    def _count_arrival(self, head: Head, now_s: float) -> None:
        head.arrivals_s.append(now_s)
        while head.arrivals_s[0] < now_s - VIEW_INTERVAL_S:
            head.arrivals_s.popleft()
        self.result.herd = max(self.result.herd, len(head.arrivals_s))


def simulate(shape: Shape, seed: int) -> Result:
    """Simulate one seeded run."""
    return virtual.run(lambda loop: Simulation(loop, shape, seed).run())


def main() -> None:
    """Print what callers got over seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--gateways", type=int, default=35)
    parser.add_argument("--heads", type=int, default=23)
    parser.add_argument("--per-head", type=float, default=9.7)
    parser.add_argument("--seeds", type=int, default=5)
    arguments = parser.parse_args()
    shape = Shape(
        gateways=arguments.gateways,
        heads=arguments.heads,
        requests_per_s=arguments.per_head * arguments.heads,
    )
    results = [simulate(shape, seed) for seed in range(arguments.seeds)]
    late = [1 - each.on_time for each in results]
    p99_s = [
        statistics.quantiles(each.first_bytes_s, n=100)[98] for each in results
    ]
    print(
        f"late {statistics.mean(late):.4f} +- {statistics.stdev(late):.4f}, "
        f"first byte 99th {statistics.mean(p99_s):.3f} s, "
        f"herd {statistics.mean(each.herd for each in results):.1f}"
    )


if __name__ == "__main__":
    main()
