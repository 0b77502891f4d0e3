"""Voters that are split in two while all other machines reach both sides."""

import asyncio
import functools
import itertools

import pytest

from flamingocleat import messages
from flamingocleat.connection import feed
from tests.direct import coordinators

APPLY_S = 2.5
"""Time after its acknowledgement in which gateways apply a configuration."""


class SplitCluster(coordinators.Cluster):
    """Five coordinators, some of which cannot reach the others."""

    def __init__(self, tmp_path) -> None:
        super().__init__(tmp_path)
        self.cut_off: set[str] = set()
        """Addresses on one side of the split."""

    async def start(self, number: int, *, bootstrap: bool) -> None:
        await super().start(number, bootstrap=bootstrap)
        consensus = self.running[number].consensus
        consensus.call = functools.partial(
            self.call, self.address(number), consensus.call
        )

    async def call(self, source, call, method, address, request, timeout_s):
        """Make a call unless it crosses the split."""
        if (source in self.cut_off) != (address in self.cut_off):
            await asyncio.sleep(timeout_s)
            raise TimeoutError
        return await call(method, address, request, timeout_s)

    async def start_all(self) -> None:
        for number in (1, 2, 3):
            await self.start(number, bootstrap=True)
        for number in (4, 5):
            await self.start(number, bootstrap=False)
        await self.wait_for_voters({1, 2, 3, 4, 5})

    async def split_leader(self) -> list[str]:
        """Cut the leader and one voter off; return all addresses.

        Those that are cut off come first, the leader last of them.
        """
        leader = (await self.leader()).settings.address
        others = [self.address(n) for n in range(1, 6)]
        others.remove(leader)
        self.cut_off = {others[0], leader}
        return [others[0], leader, *others[1:]]

    async def put_at_majority(self, version: int) -> None:
        """Submit a version to the voters that are not cut off."""
        kept = self.running
        self.running = {
            number: each
            for number, each in kept.items()
            if each.settings.address not in self.cut_off
        }
        try:
            await self.put(version)
        finally:
            self.running = kept


@pytest.mark.parametrize("order", list(itertools.product((1, -1), (0, 2))))
def test_gateways_apply_what_the_majority_acknowledged(tmp_path, order):
    """Guards against an outdated configuration until a split heals.

    A gateway's list begins with voters that are cut off, or with others.
    """
    step, offset = order

    async def scenario() -> None:
        cluster = SplitCluster(tmp_path)
        await cluster.start_all()
        await cluster.put(1)
        versions: asyncio.Queue = asyncio.Queue()
        seeds = [cluster.address(n) for n in range(1, 6)]
        subscriber = feed.Subscriber(
            lambda: seeds,
            lambda sequence: messages.GatewayReport("g", "a", sequence, 1, 0),
            lambda view: versions.put_nowait(view.version),
        )
        # Views name the voters, which come before the seeds otherwise.
        subscriber._addresses = lambda: seeds
        following = asyncio.create_task(subscriber.run())
        async with asyncio.timeout(coordinators.TIMEOUT_S):
            while await versions.get() != 1:
                pass
        found = (await cluster.split_leader())[::step]
        seeds = found[offset:] + found[:offset]
        await cluster.put_at_majority(2)
        async with asyncio.timeout(APPLY_S):
            while await versions.get() != 2:
                pass
        following.cancel()
        await asyncio.gather(following, return_exceptions=True)
        cluster.cut_off = set()
        await cluster.close()

    asyncio.run(scenario())
