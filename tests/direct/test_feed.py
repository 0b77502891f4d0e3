"""What the leader's feed sends to each of many gateways."""

import asyncio
import collections
import functools
import time

import pytest

from examples import local
from flamingocleat import messages
from flamingocleat.connection import channel
from flamingocleat.connection import codec
from flamingocleat.connection import feed
from flamingocleat.version import crashes
from tests import streams


class FakeStream:
    """The leader's stream to a gateway, and the gateway's state."""

    def __init__(self, gateway: str) -> None:
        self.gateway = gateway
        self.reports: asyncio.Queue = asyncio.Queue()
        self.served = feed.ServedBackends()
        self.views: list[messages.GatewayView] = []
        self.report()

    def report(self, **in_flight: int) -> None:
        """Report the requests in flight at each head."""
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
    """A publisher with gateways that subscribe to it."""

    def __init__(self, gateways: int, heads: int) -> None:
        self.set_heads(heads)
        self.publisher = feed.Publisher(
            self.admit,
            lambda: feed.FleetState(term=1, backends=self.backends),
            lambda _report: None,
        )
        self.streams = [FakeStream(f"gateway-{n}") for n in range(gateways)]
        self.tasks = [
            asyncio.create_task(self.publisher.handle(stream))
            for stream in self.streams
        ]

    def set_heads(self, heads: int) -> None:
        """Set the number of heads, all of one model."""
        self.backends = tuple(
            messages.ServedBackend(
                f"head-{n}", f"head-{n}:80", "llm", "a", 24, "large", f"g-{n}"
            )
            for n in range(heads)
        )

    async def admit(self) -> None:
        return

    async def wait_until(self, condition) -> None:
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.01)

    async def wait_until_known(self, heads: int) -> None:
        """Wait until all gateways together know exactly this many heads."""
        expected = {f"head-{n}" for n in range(heads)}
        await self.wait_until(lambda: self.known_heads() == expected)

    def known_heads(self) -> set[str]:
        return set().union(*(s.served.backends for s in self.streams))

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def test_few_heads_are_sent_to_all_gateways():
    """In a small region, each gateway must be able to use each head."""

    async def scenario() -> None:
        leader = Leader(gateways=3, heads=16)
        await leader.wait_until(
            lambda: all(len(s.served.backends) == 16 for s in leader.streams)
        )
        await leader.stop()

    asyncio.run(scenario())


def test_many_heads_are_divided_among_gateways():
    """No gateway may get more than its share, and no head may be left out."""

    async def scenario() -> None:
        leader = Leader(gateways=60, heads=150)
        await leader.wait_until_known(150)
        sizes = {len(stream.served.backends) for stream in leader.streams}
        # Each head goes to 12 gateways on average: 12 * 150 / 60.
        assert sizes == {30}
        gateways_by_head = collections.Counter(
            head for s in leader.streams for head in s.served.backends
        )
        assert min(gateways_by_head.values()) >= 3
        await leader.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("heads", [10, 150])
def test_only_changes_are_sent(heads):
    """A lost and a new head must not cause the full list to be sent again.

    They are sent as changes, to the gateways that they concern.
    """

    async def scenario() -> None:
        leader = Leader(gateways=20, heads=heads)
        await leader.wait_until_known(heads)
        leader.set_heads(heads + 1)
        leader.backends = leader.backends[1:]
        leader.publisher.notify()
        await leader.wait_until(
            lambda: (
                leader.known_heads() == {f"head-{n + 1}" for n in range(heads)}
            )
        )
        for stream in leader.streams:
            full = [v for v in stream.views if v.backends is not None]
            assert len(full) == 1
            assert sum(len(view.changed) for view in stream.views) <= 2
        await leader.stop()

    asyncio.run(scenario())


def test_load_of_other_gateways_excludes_the_own():
    """Each gateway must get the load of all others, without its own."""

    async def scenario() -> None:
        leader = Leader(gateways=3, heads=2)
        await leader.wait_until_known(2)
        for number, stream in enumerate(leader.streams):
            stream.report(head_0=number, head_1=0)
        await leader.wait_until(
            lambda: leader.publisher.in_flight() == {"head-0": 3}
        )
        expected = [3, 2, 1]
        await leader.wait_until(
            lambda: (
                [
                    sum(each.in_flight for each in stream.views[-1].load)
                    for stream in leader.streams
                ]
                == expected
            )
        )
        leader.tasks[2].cancel()
        await leader.wait_until(
            lambda: leader.publisher.in_flight() == {"head-0": 1}
        )
        await leader.stop()

    asyncio.run(scenario())


def test_waiting_requests_reach_other_gateways_until_their_stream_ends():
    """Urgent requests must be known elsewhere, but not those of lost gateways.

    Other gateways would leave slots free for callers that are gone.
    """
    waiting = (messages.WaitingRequests("llm", "large", 0, 3),)

    async def scenario() -> None:
        leader = Leader(gateways=3, heads=2)
        first, second, third = leader.streams

        def is_told(stream, expected) -> bool:
            views = stream.views
            return bool(views) and views[-1].waiting_elsewhere == expected

        for stream in (first, second):
            stream.reports.put_nowait(
                messages.GatewayReport(
                    stream.gateway, "a", 2, 1, 0, waiting=waiting
                )
            )
        both = (messages.WaitingRequests("llm", "large", 0, 6),)
        await leader.wait_until(
            lambda: is_told(first, waiting) and is_told(third, both)
        )
        leader.tasks[0].cancel()
        await leader.wait_until(
            lambda: is_told(second, ()) and is_told(third, waiting)
        )
        await leader.stop()

    asyncio.run(scenario())


def test_interval_grows_with_the_number_of_gateways():
    """The leader must not be overloaded by many gateways.

    From forty gateways on, its messages per second grow little.
    """
    assert feed.interval_s(1) == feed.interval_s(40) == feed.INTERVAL_S
    assert 80 / feed.interval_s(80) == pytest.approx(40 / feed.INTERVAL_S)
    assert feed.interval_s(1000) == feed.MAX_INTERVAL_S
    for gateways in (1, 50, 1000):
        assert feed.silence_s(gateways) > 4 * feed.interval_s(gateways)


def test_subscriber_continues_after_a_lost_connection():
    """A lost connection must end one attempt only.

    A gateway that stops trying would keep an outdated view forever.
    """

    async def scenario() -> int:
        subscriber = feed.Subscriber(
            lambda: ["127.0.0.1:1"], lambda _sequence: None, lambda _view: None
        )
        subscriber._follow = connections = streams.LostConnections()
        return await connections.count_attempts(subscriber.run())

    assert asyncio.run(scenario()) >= 3


class Region:
    """A leader and gateways on loopback that share evidence on crashes."""

    def __init__(self, gateways: int) -> None:
        self.address = ""
        self.subscribers = [
            feed.Subscriber(
                lambda: [self.address],
                functools.partial(self._report, number),
                lambda _view: None,
                crashes.CrashRecord(),
            )
            for number in range(gateways)
        ]

    def _report(self, gateway: int, sequence: int) -> messages.GatewayReport:
        return messages.GatewayReport(f"gateway-{gateway}", "a", sequence, 1, 0)

    async def lead(self) -> channel.Server:
        """Start a leader that knows nothing, at a new address."""
        publisher = feed.Publisher(
            self.admit, lambda: feed.FleetState(term=1), lambda _report: None
        )
        server = channel.Server(
            [codec.Service({codec.GATEWAY_FEED: publisher.handle})]
        )
        port = local.free_port()
        await server.start("127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"
        return server

    async def admit(self) -> None:
        return

    async def wait_for_verdicts(self, part: str, verdict) -> None:
        async with asyncio.timeout(10):
            while {each.crashes.verdict(part) for each in self.subscribers} != {
                verdict
            }:
                await asyncio.sleep(0.01)


def test_evidence_on_crashes_reaches_all_gateways_and_the_next_leader():
    """A part that ended servers at one gateway must be known to all."""

    async def scenario() -> None:
        region = Region(gateways=2)
        server = await region.lead()
        first, second = region.subscribers
        tasks = [asyncio.create_task(first.run())]
        first.crashes.record_crash("g-1", ["a", "b"], time.monotonic())
        tasks.append(asyncio.create_task(second.run()))
        await region.wait_for_verdicts("a", crashes.Verdict.SUSPECT)
        second.crashes.record_write("b", time.monotonic())
        second.crashes.record_crash("g-2", ["a"], time.monotonic())
        await region.wait_for_verdicts("a", crashes.Verdict.WITHHELD)
        await region.wait_for_verdicts("b", crashes.Verdict.CLEAR)
        tasks.pop(0).cancel()
        server.close()
        next_server = await region.lead()
        region.subscribers[0] = feed.Subscriber(
            lambda: [region.address],
            functools.partial(region._report, 0),
            lambda _view: None,
            crashes.CrashRecord(),
        )
        tasks.append(asyncio.create_task(region.subscribers[0].run()))
        await region.wait_for_verdicts("a", crashes.Verdict.WITHHELD)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        next_server.close()

    asyncio.run(scenario())
