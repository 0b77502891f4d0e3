"""Voters that join, leave, lose their disk and are replaced."""

import asyncio
import random
import shutil
import socket
import struct

import pytest

from flamingocleat import errors
from flamingocleat.connection import http
from flamingocleat.process import settings
from flamingocleat.process import voters
from tests.direct import coordinators


def test_first_voters_write_the_same_snapshot(tmp_path):
    """Seeds must agree on their first snapshot without an operator."""
    storages = [
        voters.open_storage(_settings(tmp_path, address, bootstrap=True))
        for address in ("a:1", "b:1", "c:1")
    ]
    assert len({storage.snapshot.data for storage in storages}) == 1
    assert {storage.voter for storage in storages} == {"a:1", "b:1", "c:1"}
    for storage in storages:
        storage.close()


def test_voter_with_a_lost_disk_gets_a_new_name(tmp_path):
    """A voter that lost its data must not vote under its old name."""
    storage = voters.open_storage(_settings(tmp_path, "a:1", bootstrap=True))
    storage.close()
    shutil.rmtree(tmp_path / "a")
    storage = voters.open_storage(_settings(tmp_path, "a:1", bootstrap=False))
    assert storage.voter != "a:1"
    assert storage.snapshot.index == 0
    storage.close()


def test_incomplete_folder_is_created_again(tmp_path):
    """A power failure during the first start must not prevent the next one.

    Here the folder exists, but the identity has not been written.
    """
    (tmp_path / "a").mkdir()
    (tmp_path / "a" / "log").write_bytes(b"half")
    storage = voters.open_storage(_settings(tmp_path, "a:1", bootstrap=True))
    assert storage.voter == "a:1"
    storage.close()


def test_corrupt_disk_is_refused(tmp_path):
    """A damaged file must stop the program, with an error that names it."""
    storage = voters.open_storage(_settings(tmp_path, "a:1", bootstrap=True))
    storage.close()
    path = tmp_path / "a" / "snapshot"
    data = bytearray(path.read_bytes())
    data[20] ^= 0xFF
    path.write_bytes(data)
    with pytest.raises(errors.StorageError, match="snapshot"):
        voters.open_storage(_settings(tmp_path, "a:1", bootstrap=True))


def _settings(tmp_path, address, *, bootstrap):
    return settings.CoordinatorSettings(
        address=address,
        http_listen="127.0.0.1:0",
        data_folder=str(tmp_path / address.partition(":")[0]),
        bootstrap=bootstrap,
        seeds=("a:1", "b:1", "c:1"),
    )


def test_highest_version_is_kept(tmp_path):
    """An older or equal version must be acknowledged and change nothing."""

    async def scenario(cluster):
        await cluster.put(5)
        await cluster.put(3)
        await cluster.put(5)
        assert await cluster.get() == 5
        await cluster.put(9)
        assert await cluster.get() == 9

    coordinators.run_scenario(tmp_path, scenario)


def test_new_machine_replaces_a_lost_voter(tmp_path):
    """An empty voter at a new address must replace a lost one.

    The data must then survive the loss of another voter.
    """

    async def scenario(cluster):
        await cluster.put(5)
        await cluster.stop(3)
        await cluster.start(4, bootstrap=False)
        await cluster.wait_for_voters({1, 2, 4})
        await cluster.stop(1)
        assert await cluster.get() == 5
        await cluster.put(6)

    coordinators.run_scenario(tmp_path, scenario)


def test_voter_with_a_lost_disk_gets_the_data_again(tmp_path):
    """A voter that lost its disk must get the acknowledged version again."""

    async def scenario(cluster):
        await cluster.put(5)
        await cluster.stop(2)
        shutil.rmtree(cluster.tmp_path / "2")
        await cluster.start(2, bootstrap=False)
        await cluster.wait_for_voters({1, 2, 3})
        async with asyncio.timeout(coordinators.TIMEOUT_S):
            while cluster.running[2].machine.version != 5:
                await asyncio.sleep(0.05)
        await cluster.stop(1)
        assert await cluster.get() == 5

    coordinators.run_scenario(tmp_path, scenario)


def test_restart_of_all_voters_keeps_acknowledged_versions(tmp_path):
    """Acknowledged versions must survive a stop of all processes."""

    async def scenario(cluster):
        for version in range(1, 30):
            await cluster.put(version)
        for number in (1, 2, 3):
            await cluster.stop(number)
        for number in (1, 2, 3):
            await cluster.start(number, bootstrap=False)
        assert await cluster.get() == 29

    coordinators.run_scenario(tmp_path, scenario)


def test_minority_does_not_answer(tmp_path):
    """One voter of three must not answer: its version may be outdated."""

    async def scenario(cluster):
        await cluster.put(5)
        await cluster.stop(1)
        await cluster.stop(2)
        await asyncio.sleep(1.5)
        address = f"127.0.0.3:{cluster.http_port}"
        answer, _ = await http.request(
            address, "GET", coordinators.DOCUMENT, timeout_s=3
        )
        assert answer.status == 503

    coordinators.run_scenario(tmp_path, scenario)


def test_reviews_of_groups_continue_after_an_error(tmp_path):
    """An unexpected error in one review must not prevent the next ones."""

    async def scenario(cluster):
        await cluster.put(1)
        leader = next(
            each
            for each in cluster.running.values()
            if each.leadership.ready.is_set()
        )
        reviews = []

        def fail():
            reviews.append(len(reviews))
            raise ZeroDivisionError("injected error")

        leader._review = fail
        async with asyncio.timeout(coordinators.TIMEOUT_S):
            while len(reviews) < 3:
                await asyncio.sleep(0.05)

    coordinators.run_scenario(tmp_path, scenario)


def test_fourth_voter_is_added_and_dropped(tmp_path):
    """A voter beyond the seeds must join, and be dropped once it is silent."""

    async def scenario(cluster):
        await cluster.put(1)
        await cluster.start(4, bootstrap=False)
        await cluster.wait_for_voters({1, 2, 3, 4})
        await cluster.stop(4)
        await cluster.wait_for_voters({1, 2, 3})
        await cluster.put(2)

    coordinators.run_scenario(tmp_path, scenario)


async def _replace(cluster, *, successor: int, removed: int, kill: bool):
    await cluster.start(successor, bootstrap=False)
    await cluster.wait_for_voters({*cluster.running})
    if kill:
        await cluster.kill(removed)
    else:
        await cluster.stop(removed)


# A machine that was removed stayed a voter, and the loss of one disk that
# followed left two of four voters, which could not let the empty one in.
@pytest.mark.parametrize("kill", [True, False])
@pytest.mark.parametrize("removes_leader", [True, False])
@pytest.mark.parametrize("victim", ["leader", "follower", "successor"])
def test_disk_is_lost_just_after_a_replacement(
    tmp_path, kill, removes_leader, victim
):
    async def scenario(cluster):
        await cluster.put(7)
        leader = await cluster.leader_number()
        followers = [n for n in cluster.running if n != leader]
        removed = leader if removes_leader else followers[0]
        await _replace(cluster, successor=4, removed=removed, kill=kill)
        await cluster.put(9)
        leader = await cluster.leader_number()
        victims = {
            "leader": leader,
            "follower": next(
                n for n in cluster.running if n not in (4, leader)
            ),
            "successor": 4,
        }
        await cluster.lose_disk(victims[victim])
        assert await cluster.get() == 9
        await cluster.wait_for_voters({*cluster.running})
        await cluster.put(10)

    coordinators.run_scenario(tmp_path, scenario)


# Two voters of five were gone, and stayed voters since five is an odd number.
@pytest.mark.parametrize("kill", [True, False])
def test_removed_voters_are_dropped_from_an_odd_number(tmp_path, kill):
    async def scenario(cluster):
        await cluster.put(7)
        await cluster.start(4, bootstrap=False)
        await cluster.start(5, bootstrap=False)
        await cluster.wait_for_voters({1, 2, 3, 4, 5})
        for removed in (1, 2):
            await (cluster.kill(removed) if kill else cluster.stop(removed))
        await cluster.wait_for_voters({3, 4, 5})
        await cluster.put(9)
        await cluster.lose_disk(await cluster.leader_number())
        assert await cluster.get() == 9

    coordinators.run_scenario(tmp_path, scenario)


CATCH_UP_S = 4.0
"""Time after which a successor counts, so that another voter may be lost."""


# Voters that were replaced one after the other added up.
@pytest.mark.parametrize("kill", [True, False])
def test_disk_is_lost_after_replacements_in_series(tmp_path, kill):
    async def scenario(cluster):
        await cluster.put(7)
        for removed, successor in ((1, 4), (2, 5), (3, 6)):
            await cluster.start(successor, bootstrap=False)
            await cluster.wait_for_voter(successor)
            await asyncio.sleep(CATCH_UP_S)
            await (cluster.kill(removed) if kill else cluster.stop(removed))
        await cluster.put(9)
        await cluster.wait_for_voters({4, 5, 6})
        await cluster.lose_disk(await cluster.leader_number())
        assert await cluster.get() == 9

    coordinators.run_scenario(tmp_path, scenario)


# A voter that stops leaves at once, without the wait for its silence.
def test_stopping_voter_leaves_if_the_others_suffice(tmp_path, monkeypatch):
    monkeypatch.setattr(voters, "SILENCE_TIMEOUT_S", 60.0)

    async def scenario(cluster):
        await cluster.put(1)
        await cluster.start(4, bootstrap=False)
        await cluster.wait_for_voters({1, 2, 3, 4})
        removed = await cluster.leader_number()
        await cluster.stop(removed)
        await cluster.wait_for_voters({1, 2, 3, 4} - {removed})

    coordinators.run_scenario(tmp_path, scenario)


# The last but one voter that ran left, and a lost one stayed.
@pytest.mark.parametrize("stops_leader", [True, False])
def test_stopping_voter_stays_beside_one_that_does_not_answer(
    tmp_path, stops_leader
):
    async def scenario(cluster):
        await cluster.put(1)
        await cluster.start(4, bootstrap=False)
        await cluster.wait_for_voters({1, 2, 3, 4})
        leader = await cluster.leader_number()
        others = [n for n in cluster.running if n != leader]
        await cluster.kill(others[0])
        stopping = cluster.running[leader if stops_leader else others[1]]
        await stopping.voters.leave()
        membership = cluster.running[leader].consensus.membership
        assert len(membership.voters) == 4

    coordinators.run_scenario(tmp_path, scenario)


def test_leader_stops_just_after_a_disk_was_lost(tmp_path):
    """Two of four voters are gone, and the leader of the others restarts."""

    async def scenario(cluster):
        await cluster.put(7)
        await cluster.start(4, bootstrap=False)
        await cluster.wait_for_voters({1, 2, 3, 4})
        leader = await cluster.leader_number()
        removed, lost = [n for n in (1, 2, 3) if n != leader][:2]
        await cluster.kill(removed)
        await cluster.lose_disk(lost)
        leader = await cluster.leader_number()
        await cluster.stop(leader)
        await cluster.start(leader, bootstrap=False)
        assert await cluster.get() == 7

    coordinators.run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("pause_s", [0.0, 1.0])
def test_restarted_voters_stay_voters(tmp_path, pause_s):
    """A planned restart must not cost a voter, whose disk may be needed."""

    async def scenario(cluster):
        await cluster.put(1)
        stops = []
        for number in (1, 2, 3):
            stops.append(asyncio.create_task(cluster.stop(number)))
            await asyncio.sleep(pause_s)
        await asyncio.gather(*stops)
        for number in (1, 2, 3):
            await cluster.start(number, bootstrap=False)
        assert await cluster.get() == 1
        await cluster.wait_for_voters({1, 2, 3})
        await cluster.lose_disk(await cluster.leader_number())
        assert await cluster.get() == 1

    coordinators.run_scenario(tmp_path, scenario)


# A leader that did not run for a while took all others for silent.
def test_suspended_voter_takes_part_again(tmp_path, monkeypatch):
    async def scenario(cluster):
        await cluster.put(1)
        await cluster.start(4, bootstrap=False)
        await cluster.wait_for_voters({1, 2, 3, 4})
        leader = await cluster.leader()
        later_s = voters.SILENCE_TIMEOUT_S + 1.0
        for peer in leader.consensus.peers.values():
            peer.contact_s -= later_s
        assert leader.voters._silent_voters() == []
        await cluster.put(2)
        assert len(leader.consensus.membership.voters) == 4

    coordinators.run_scenario(tmp_path, scenario)


RESETS = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket resets its connection."""


def _reset_connections(share: float, generator: random.Random) -> int:
    """Reset a share of the open connections; return their number."""
    count = 0
    transports = asyncio.get_running_loop()._transports
    for transport in list(transports.values()):
        sock = transport.get_extra_info("socket")
        if not transport.is_closing() and generator.random() < share:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETS)
            transport.abort()
            count += 1
    return count


@pytest.mark.parametrize("seed", range(4))
def test_reset_connections_lose_nothing_acknowledged(tmp_path, seed):
    """Connections of voters and their callers are reset while they write."""
    generator = random.Random(seed)

    async def scenario(cluster):
        sent = 0
        resets = 0
        await cluster.put(sent)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + 4.0
        while loop.time() < end_s:
            sent += generator.randint(1, 3)
            write = asyncio.create_task(cluster.put(sent))
            while not write.done():
                await asyncio.sleep(generator.uniform(0.0, 0.02))
                share = generator.choice((0.1, 0.3, 1.0))
                if generator.random() < 0.3:
                    resets += _reset_connections(share, generator)
            await write
            assert await cluster.get() == sent
        assert resets > 20
        for number in (1, 2, 3):
            await cluster.stop(number)
        for number in (1, 2, 3):
            await cluster.start(number, bootstrap=False)
        assert await cluster.get() == sent

    coordinators.run_scenario(tmp_path, scenario)


# No voter ever stood for election after all were killed in their first start.
def test_cluster_serves_after_all_were_killed_as_they_were_created(
    tmp_path, monkeypatch
):
    async def run():
        cluster = coordinators.Cluster(tmp_path)
        with monkeypatch.context() as patch:
            patch.setattr(voters, "_write_first_snapshot", lambda *_: None)
            for number in (1, 2, 3):
                created = cluster.settings(number, bootstrap=True)
                voters.open_storage(created).close()
        for number in (1, 2, 3):
            await cluster.start(number, bootstrap=False)
        try:
            await cluster.put(1)
            assert await cluster.get() == 1
        finally:
            await cluster.close()

    asyncio.run(run())


# Calls that a stopped coordinator was answering went on, on connections that
# nobody closed, while its process opened the storage anew.
def test_stopped_coordinator_leaves_no_call_behind(tmp_path):
    async def run():
        cluster = coordinators.Cluster(tmp_path)
        await cluster.start(1, bootstrap=True)
        stopped = cluster.running[1]
        released = asyncio.Event()

        async def hang(exchange):
            await released.wait()

        stopped.http.handle = hang
        address = stopped.settings.http_listen
        call = asyncio.create_task(
            http.request(address, "GET", "/document", timeout_s=10)
        )
        while not stopped.http.busy:
            await asyncio.sleep(0.01)
        tasks = [each.task for each in stopped.http.connections]
        await cluster.stop(1)
        assert all(task.done() for task in tasks)
        with pytest.raises(http.BrokenAnswerError):
            await call

    asyncio.run(run())
