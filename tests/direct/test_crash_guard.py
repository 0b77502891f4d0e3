"""Requests with a part in their prompts that ends each server it reaches."""

import asyncio
import random

import msgspec

from tests.direct import support

LETHAL = "dd01"
CALLER = "aa01"
"""A part that sound requests and lethal ones share."""
READ_S = 0.03
"""Time from a request's arrival at a head to its first event."""
RESTART_S = 0.6


class Engines:
    """Heads that end when they begin to write on the lethal part."""

    def __init__(self, *harnesses: support.Harness) -> None:
        self.harnesses = harnesses
        self.lethal_arrivals = 0
        self.ended = 0
        self.alive: dict[str, support.Backend] = {}
        self.views = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def add(self) -> None:
        """Start a head and tell all gateways of it."""
        first = self.harnesses[0]
        backend = await first.add(self._serve, "llm", slots=24)
        view = first.views.pop()
        name = f"h-{self.ended}-{len(self.views)}"
        view = msgspec.structs.replace(view, backend=name, group=f"g-{name}")
        self.alive[name] = backend
        self.views.append(view)
        self._update()

    def _update(self) -> None:
        for harness in self.harnesses:
            harness.candidates.update(self.views)

    async def _serve(self, received: support.ReceivedRequest) -> None:
        name = received.headers["flamingocleat-backend"]
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            parts = received.headers.get("flamingocleat-prompt-parts", "")
            lethal = LETHAL in parts
            self.lethal_arrivals += lethal
            await asyncio.sleep(READ_S)
            if lethal:
                await self._end(name)
                return
            after = int(received.headers.get("last-event-id", 0))
            await received.send_events(after + 1, 10, pause_s=0.01)
        finally:
            self.tasks.discard(task)

    async def _end(self, name: str) -> None:
        """End a head with all its streams; another one starts later."""
        backend = self.alive.pop(name, None)
        if backend is None:
            return
        self.ended += 1
        backend.server.close()
        for received in backend.received:
            received.writer.transport.abort()
        asyncio.get_running_loop().call_later(
            RESTART_S, lambda: asyncio.ensure_future(self._replace(name))
        )

    async def _replace(self, name: str) -> None:
        self.views = [each for each in self.views if each.backend != name]
        await self.add()


async def play(
    engines: Engines, duration_s: float, seed: int
) -> tuple[list[support.Reply], list[support.Reply]]:
    """Send sound and lethal requests; return the replies to each."""
    generator = random.Random(seed)
    sound, lethal = [], []

    async def send(replies: list, parts: str) -> None:
        harness = generator.choice(engines.harnesses)
        replies.append(
            await harness.request("/stream/x", flamingocleat_prompt_parts=parts)
        )

    tasks = []
    for number in range(round(duration_s / 0.02)):
        own = f"{number:08x}:100"
        if number % 12 == 5:
            parts = f"{CALLER}:20,{LETHAL}:30,{own}"
            tasks.append(asyncio.create_task(send(lethal, parts)))
        else:
            caller = generator.choice((CALLER, "aa02", "aa03"))
            tasks.append(asyncio.create_task(send(sound, f"{caller}:20,{own}")))
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)
    return sound, lethal


def test_prompt_part_that_ends_servers_is_kept_from_them():
    """Servers must not end one after the other, nor its callers be shut out."""

    async def scenario(harness):
        engines = Engines(harness)
        for _ in range(5):
            await engines.add()
        sound, lethal = await play(engines, 3.0, seed=1)
        assert engines.ended <= 5
        assert engines.lethal_arrivals <= 8
        assert all(reply.status in (502, 503) for reply in lethal)
        served = [reply for reply in sound if reply.is_complete]
        assert len(served) >= 0.95 * len(sound)

    support.run_scenario(scenario)
