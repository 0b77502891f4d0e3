"""Departures and drains that control has acknowledged to backend servers."""

import asyncio
import time

import msgspec
import pytest

from flamingocleat.version import fleet
from tests.direct import coordinators


def announcement(**changes) -> fleet.Announcement:
    return msgspec.structs.replace(
        fleet.Announcement(
            backend="b-1",
            born_ms=int(time.time() * 1000) - 15_000,
            sequence=12,
            service="desk",
            address="10.0.0.1:80",
            data_centre="a",
            state=fleet.BackendState.READY,
        ),
        **changes,
    )


def test_departed_server_unknown_to_the_leader_does_not_return(tmp_path):
    """An announcement that is late must not undo a departure."""

    async def scenario(cluster):
        late = announcement()
        await cluster.leave("b-1")
        await cluster.announce(late)
        leader = await cluster.leader()
        assert leader.fleet.backends == {}

    coordinators.run_scenario(tmp_path, scenario)


def test_departed_server_does_not_return_at_the_next_leader(tmp_path):
    """An acknowledged departure must outlive the leader that has it."""

    async def scenario(cluster):
        late = announcement()
        await cluster.announce(late)
        await cluster.leave("b-1")
        await cluster.stop_leader()
        await cluster.announce(msgspec.structs.replace(late, sequence=13))
        leader = await cluster.leader()
        assert leader.fleet.backends == {}

    coordinators.run_scenario(tmp_path, scenario)


def test_draining_server_is_not_ready_at_the_next_leader(tmp_path):
    """An acknowledged drain must outlive the leader that has it."""

    async def scenario(cluster):
        late = announcement()
        draining = fleet.BackendState.DRAINING
        await cluster.announce(
            msgspec.structs.replace(late, sequence=13, state=draining)
        )
        await cluster.stop_leader()
        await cluster.announce(late)
        leader = await cluster.leader()
        assert leader.fleet.backends == {}

    coordinators.run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("leaders", [1, 2])
def test_server_returns_in_a_new_lifetime(tmp_path, leaders):
    """A server that starts again under its name must be used."""

    async def scenario(cluster):
        await cluster.leave("b-1")
        if leaders > 1:
            await cluster.stop_leader()
        await asyncio.sleep(0.01)
        born_ms = int(time.time() * 1000)
        await cluster.announce(announcement(born_ms=born_ms, sequence=1))
        leader = await cluster.leader()
        assert set(leader.fleet.backends) == {"b-1"}

    coordinators.run_scenario(tmp_path, scenario)
