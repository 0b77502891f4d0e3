"""What the leader's feed tells each of many gateways."""

import asyncio
import collections

import pytest

from flamingocleat import messages
from flamingocleat.connection import feed
from tests import streams


class Stream:
    """One gateway's stream, with the gateway's end of it."""

    def __init__(self, gateway: str) -> None:
        self.gateway = gateway
        self.reports: asyncio.Queue = asyncio.Queue()
        self.served = feed.ServedBackends()
        self.views: list[messages.GatewayView] = []
        self.report()

    def report(self, **in_flight: int) -> None:
        """Say what is in hand at each head."""
        heads = tuple(
            messages.HeadReport(name.replace("_", "-"), count, 10 * count, 0)
            for name, count in in_flight.items()
        )
        self.reports.put_nowait(
            messages.GatewayReport(self.gateway, "a", 1, 1, 0, heads)
        )

    async def recv_message(self) -> messages.GatewayReport:
        return await self.reports.get()

    async def send_message(self, view: messages.GatewayView) -> None:
        self.views.append(view)
        self.served.apply(view)


class Leader:
    """A publisher with gateways that listen to it."""

    def __init__(self, gateways: int, heads: int) -> None:
        self.list(heads)
        self.publisher = feed.Publisher(
            self.admit,
            lambda: feed.FleetState(term=1, backends=self.backends),
            lambda _report: None,
        )
        self.streams = [Stream(f"gateway-{n}") for n in range(gateways)]
        self.tasks = [
            asyncio.create_task(self.publisher.handle(stream))
            for stream in self.streams
        ]

    def list(self, heads: int) -> None:
        """Have this many heads of one model."""
        self.backends = tuple(
            messages.ServedBackend(
                f"head-{n}", f"head-{n}:80", "llm", "a", 24, "large", f"g-{n}"
            )
            for n in range(heads)
        )

    async def admit(self) -> None:
        return

    async def until(self, condition) -> None:
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.01)

    async def told(self, heads: int) -> None:
        """Wait until all gateways together know these heads, and no others."""
        expected = {f"head-{n}" for n in range(heads)}
        await self.until(lambda: self.known() == expected)

    def known(self) -> set[str]:
        return set().union(*(s.served.backends for s in self.streams))

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def test_few_heads_are_told_to_all_gateways():
    """In a small region each gateway may use each head."""

    async def scenario() -> None:
        leader = Leader(gateways=3, heads=16)
        await leader.until(
            lambda: all(len(s.served.backends) == 16 for s in leader.streams)
        )
        await leader.stop()

    asyncio.run(scenario())


def test_many_heads_are_shared_out():
    """No gateway is told of more than its part, and no head is left out."""

    async def scenario() -> None:
        leader = Leader(gateways=60, heads=150)
        await leader.told(150)
        sizes = {len(stream.served.backends) for stream in leader.streams}
        # Twelve gateways for each head in expectation: 12 * 150 / 60.
        assert sizes == {30}
        entries = collections.Counter(
            head for s in leader.streams for head in s.served.backends
        )
        assert min(entries.values()) >= 3
        await leader.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("heads", [10, 150])
def test_changes_are_told_and_nothing_else(heads):
    """A lost head and a new one reach those whom they concern, as changes."""

    async def scenario() -> None:
        leader = Leader(gateways=20, heads=heads)
        await leader.told(heads)
        leader.list(heads + 1)
        leader.backends = leader.backends[1:]
        leader.publisher.notify()
        await leader.until(
            lambda: leader.known() == {f"head-{n + 1}" for n in range(heads)}
        )
        for stream in leader.streams:
            full = [v for v in stream.views if v.backends is not None]
            assert len(full) == 1
            assert sum(len(view.changed) for view in stream.views) <= 2
        await leader.stop()

    asyncio.run(scenario())


def test_load_of_other_gateways_is_told_once_for_all():
    """Each gateway learns what the others have in hand, without its own."""

    async def scenario() -> None:
        leader = Leader(gateways=3, heads=2)
        await leader.told(2)
        for number, stream in enumerate(leader.streams):
            stream.report(head_0=number, head_1=0)
        await leader.until(
            lambda: leader.publisher.in_flight() == {"head-0": 3}
        )
        wanted = [3, 2, 1]
        await leader.until(
            lambda: (
                [
                    sum(each.in_flight for each in stream.views[-1].load)
                    for stream in leader.streams
                ]
                == wanted
            )
        )
        leader.tasks[2].cancel()
        await leader.until(
            lambda: leader.publisher.in_flight() == {"head-0": 1}
        )
        await leader.stop()

    asyncio.run(scenario())


def test_messages_are_paced_by_the_number_of_gateways():
    """The leader's messages in a second grow little beyond forty gateways."""
    assert feed.interval_s(1) == feed.interval_s(40) == feed.INTERVAL_S
    assert 80 / feed.interval_s(80) == pytest.approx(40 / feed.INTERVAL_S)
    assert feed.interval_s(1000) == feed.MAX_INTERVAL_S
    for gateways in (1, 50, 1000):
        assert feed.silence_s(gateways) > 4 * feed.interval_s(gateways)


def test_lost_connection_ends_one_try_only():
    """A gateway that follows nobody for good keeps an old view for good."""

    async def scenario() -> int:
        follower = feed.Subscriber(
            lambda: ["127.0.0.1:1"], lambda _sequence: None, lambda _view: None
        )
        follower._follow = lost = streams.LostConnections()
        return await lost.outlived(follower.run())

    assert asyncio.run(scenario()) >= 3
