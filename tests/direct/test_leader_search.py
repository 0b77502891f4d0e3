"""Finding the leader while the voters are partitioned from each other."""

import asyncio
import collections
import functools
import itertools

import grpclib
import pytest

from examples import local
from flamingocleat import errors
from flamingocleat import messages
from flamingocleat.connection import channel
from flamingocleat.connection import codec
from flamingocleat.connection import duplex
from flamingocleat.connection import feed
from flamingocleat.connection import leader
from tests.direct import virtual

FIND_S = 1.0
"""A gateway must find a new leader within this time of its election."""
LINK_S = 0.02
"""Time that a voter takes to refuse, with a new connection."""


def refuse(hint: str) -> grpclib.GRPCError:
    return duplex.grpc_error(errors.NotLeaderError(hint))


class PartitionedVoters:
    """Five voters on loopback; b deposed, a names it, and c leads d and e."""

    HINTS = {"a": "b", "b": "", "d": "c", "e": "c"}

    def __init__(self) -> None:
        self.addresses = {
            name: f"127.0.0.1:{local.free_port()}" for name in "abcde"
        }
        self.servers: list[channel.Server] = []
        self.publisher = feed.Publisher(
            self.admit, lambda: feed.FleetState(term=2), lambda _report: None
        )

    async def admit(self) -> None:
        return

    async def start(self) -> None:
        for name, address in self.addresses.items():
            handle = self.publisher.handle
            if name in self.HINTS:
                handle = functools.partial(self.refuse, self.HINTS[name])
            server = channel.Server(
                [codec.Service({codec.GATEWAY_FEED: handle})]
            )
            host, _, port = address.rpartition(":")
            await server.start(host, int(port))
            self.servers.append(server)

    async def refuse(self, hint: str, stream) -> None:
        await stream.recv_message()
        raise refuse(self.addresses.get(hint, ""))


@pytest.mark.parametrize("first", "abcde")
def test_stale_hint_of_a_minority_does_not_hide_the_new_leader(first):
    """Guards against following a deposed leader until the partition heals.

    The minority's voters come first in the gateway's list and name the
    deposed leader, which refuses without a hint.
    """

    async def scenario() -> None:
        voters = PartitionedVoters()
        await voters.start()
        names = "abcde"["abcde".index(first) :] + "abcde"
        seeds = [voters.addresses[name] for name in names[:5]]
        views: asyncio.Queue = asyncio.Queue()
        subscriber = feed.Subscriber(
            lambda: seeds,
            lambda sequence: messages.GatewayReport("g", "a", sequence, 1, 0),
            views.put_nowait,
        )
        running = asyncio.create_task(subscriber.run())
        async with asyncio.timeout(10):
            view = await views.get()
        assert view.term == 2
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        for server in voters.servers:
            server.close()

    asyncio.run(scenario())


class SimulatedVoters:
    """Voters in virtual time, of which some are silent and some refuse."""

    def __init__(self, loop: virtual.VirtualLoop) -> None:
        self.loop = loop
        self.hints: dict[str, str] = {}
        """The leader that each voter names; a voter without one is silent."""
        self.leads: dict[str, int] = {}
        """Terms of the voters that lead, or believe that they do."""
        self.attempts: collections.Counter[str] = collections.Counter()
        self.subscriber = feed.Subscriber(
            lambda: [f"{name}:1" for name in "abcde"],
            lambda sequence: messages.GatewayReport("g", "a", sequence, 1, 0),
            lambda _view: None,
            clock=loop.time,
        )
        self.subscriber._follow = self.follow

    async def follow(self, _channel, attempt) -> None:
        name = attempt.address.partition(":")[0]
        self.attempts[name] += 1
        await asyncio.sleep(LINK_S)
        if name in self.leads:
            view = messages.GatewayView(term=self.leads[name], version=1)
            self.subscriber._check_term(view, attempt)
            while name in self.leads:
                await asyncio.sleep(LINK_S)
            return
        if name not in self.hints:
            await asyncio.sleep(feed.silence_s(1))
            raise TimeoutError
        hint = self.hints[name]
        raise refuse(f"{hint}:1" if hint else "")

    async def time_to_follow(self, name: str) -> float:
        """Return the time until the gateway follows a voter."""
        began_s = self.loop.time()
        async with asyncio.timeout(30):
            while self.following != f"{name}:1":
                await asyncio.sleep(LINK_S)
        return self.loop.time() - began_s

    @property
    def following(self) -> str:
        leading = self.subscriber.leading
        return leading.address if leading else ""


@pytest.mark.parametrize("new_leader", "abcde")
def test_new_leader_is_found_in_time_beside_silent_and_deposed_voters(
    new_leader,
):
    """Guards against gateways that miss a configuration after an election.

    For each place of the leader in the gateway's list, of the two voters of
    the minority one is silent, or both name the deposed leader.
    """

    def scenario(minority, silent):
        async def run(loop: virtual.VirtualLoop) -> None:
            voters = SimulatedVoters(loop)
            deposed = minority[0]
            voters.leads = {deposed: 1}
            voters.hints = {name: deposed for name in "abcde"}
            running = asyncio.create_task(voters.subscriber.run())
            await voters.time_to_follow(deposed)
            # The cut; nobody leads for some time.
            voters.leads = {}
            voters.hints = {
                name: deposed if name in minority else ""
                for name in "abcde"
                if name not in silent
            }
            voters.hints.update({deposed: ""} if deposed not in silent else {})
            await asyncio.sleep(0.77)
            voters.leads = {new_leader: 2}
            for name in "abcde":
                if name not in minority:
                    voters.hints[name] = new_leader
            assert await voters.time_to_follow(new_leader) <= FIND_S
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)

        virtual.run(run)

    others = [name for name in "abcde" if name != new_leader]
    for minority in itertools.permutations(others, 2):
        for silent in ((), minority[:1], minority[1:], minority):
            scenario(minority, silent)


def test_search_does_not_flood_voters_while_nobody_leads():
    """Guards against a busy loop of attempts while there is no leader."""

    async def run(loop: virtual.VirtualLoop) -> None:
        voters = SimulatedVoters(loop)
        voters.hints = {name: "a" for name in "abcde"}
        running = asyncio.create_task(voters.subscriber.run())
        await asyncio.sleep(5)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        # One of its own each interval, and at most as many that hints named.
        assert voters.attempts.total() <= 2 * 5 / leader.ATTEMPT_INTERVAL_S
        assert min(voters.attempts[name] for name in "abcde") >= 5

    virtual.run(run)


def test_voter_with_an_old_term_is_not_followed():
    """Guards against views of a deposed leader that still sends them."""

    async def run(loop: virtual.VirtualLoop) -> None:
        voters = SimulatedVoters(loop)
        voters.hints = {name: "" for name in "abcde"}
        voters.leads = {"a": 5}
        running = asyncio.create_task(voters.subscriber.run())
        await voters.time_to_follow("a")
        voters.leads = {"b": 4}
        await asyncio.sleep(3)
        assert not voters.following
        voters.leads = {"b": 4, "c": 6}
        await voters.time_to_follow("c")
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    virtual.run(run)


@pytest.mark.parametrize(
    "hints",
    [
        {"a:1": "b:1", "b:1": "a:1"},
        {"a:1": "a:1", "b:1": "b:1"},
        {"a:1": "b:1", "b:1": "b:1"},
    ],
)
def test_voters_that_name_each_other_do_not_hide_the_leader(hints):
    """Guards against agents that follow hints of a minority in a circle."""
    finder = leader.LeaderFinder(("a:1", "b:1", "c:1"), first=0)
    tried = []
    for _ in range(8):
        address = finder.address()
        tried.append(address)
        finder.follow_hint(refuse(hints.get(address, "")))
    assert "c:1" in tried
