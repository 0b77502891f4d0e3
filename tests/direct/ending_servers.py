"""Backend servers that end when they begin to run some requests."""

import asyncio
import collections.abc

import msgspec

from tests.direct import support

READ_S = 0.03
"""Time from a request's arrival at a server until it begins to run."""
RESTART_S = 0.6


class EndingServers:
    """Servers of one service that end when they run a lethal request."""

    def __init__(
        self,
        harnesses: collections.abc.Sequence[support.Harness],
        is_lethal: collections.abc.Callable[[support.ReceivedRequest], bool],
        service: str = "llm",
        slots: int = 24,
    ) -> None:
        self.harnesses = harnesses
        self.is_lethal = is_lethal
        self.service = service
        self.slots = slots
        self.lethal_arrivals = 0
        self.ended = 0
        self.alive: dict[str, support.Backend] = {}
        self.views = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def add(self) -> None:
        """Start a server and tell all gateways of it."""
        first = self.harnesses[0]
        backend = await first.add(self._serve, self.service, self.slots)
        view = first.views.pop()
        name = f"h-{self.ended}-{len(self.views)}"
        group = f"g-{name}" if view.group else ""
        view = msgspec.structs.replace(view, backend=name, group=group)
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
            lethal = self.is_lethal(received)
            self.lethal_arrivals += lethal
            await asyncio.sleep(READ_S)
            if lethal:
                await self.end(name)
                return
            if self.service != "llm":
                await received.answer(b"done")
                return
            after = int(received.headers.get("last-event-id", 0))
            await received.send_events(after + 1, 10, pause_s=0.01)
        finally:
            self.tasks.discard(task)

    async def end(self, name: str) -> None:
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


def share_evidence(*harnesses: support.Harness) -> None:
    """Pass the evidence of each gateway on to the others, as control does."""
    records = [each.forwarder.guard.crashes for each in harnesses]

    def share(source) -> None:
        evidence = source.evidence()
        for each in records:
            asyncio.get_running_loop().call_later(0.02, each.merge, evidence)

    for record in records:
        record.subscribe(lambda record=record: share(record))
