"""Three voters agree while voters and links fail."""

import asyncio

from flamingocleat.version import machine
from tests import cluster as cluster_module


def test_cluster_elects_a_leader_and_commits(tmp_path):
    """Without faults, a write must reach all three voters."""

    async def scenario():
        async with cluster_module.running(tmp_path) as cluster:
            outcome = await cluster.propose(cluster_module.submission("c1", 0))
            assert outcome.decision is machine.Decision.ACCEPTED
            await cluster.converge()
            for node in cluster.voters.values():
                assert node.machine.version == 1
            leader = await cluster.leader()
            await leader.confirm()

    asyncio.run(scenario())
