"""Memory of voters while a large configuration changes often."""

import threading

from flamingocleat import messages
from flamingocleat.process import coordinator
from flamingocleat.process import log_entries
from tests.direct import coordinators

CHANGES = 110
DOCUMENT_BYTES = 200_000
SNAPSHOTS = 3
CHANGES_DURING_WRITE = 15


def held_bytes(voter: coordinator.Coordinator) -> int:
    return sum(len(entry.command) for entry in voter.consensus.entries.entries)


# Voters kept the last 100 entries whatever their size, each a whole
# configuration, until they were over their memory.
def test_log_in_memory_is_bounded_by_bytes(tmp_path):
    most = 0

    async def submit(cluster, first, last):
        nonlocal most
        for version in range(first, last + 1):
            await cluster.put(version, DOCUMENT_BYTES)
            most = max(most, *map(held_bytes, cluster.running.values()))
        await cluster.wait_for_version(last)
        most = max(most, *map(held_bytes, cluster.running.values()))

    async def scenario(cluster):
        await cluster.leader()
        await submit(cluster, 1, CHANGES)
        # One that is away for many changes catches up by the snapshot.
        await cluster.stop(3)
        await submit(cluster, CHANGES + 1, 2 * CHANGES)
        await cluster.start(3, bootstrap=False)
        await cluster.wait_for_version(2 * CHANGES)
        assert await cluster.get() == 2 * CHANGES

    coordinators.run_scenario(tmp_path, scenario)
    assert most <= coordinator.log_memory_bytes(0.0) + 2 * DOCUMENT_BYTES


# What arrived during the write of a snapshot came on top of all entries that
# were retained of the snapshot before.
def test_log_in_memory_is_bounded_while_a_snapshot_is_written(
    tmp_path, monkeypatch
):
    most = 0

    async def scenario(cluster):
        nonlocal most
        leader = await cluster.leader()
        store = leader.consensus.storage
        begun = threading.Event()
        released = threading.Event()
        save_snapshot = store.save_snapshot

        def save_when_released(*snapshot):
            begun.set()
            released.wait(coordinators.TIMEOUT_S)
            save_snapshot(*snapshot)

        monkeypatch.setattr(store, "save_snapshot", save_when_released)
        version = 0

        async def submit():
            nonlocal most, version
            version += 1
            await cluster.put(version, DOCUMENT_BYTES)
            most = max(most, held_bytes(leader))

        for _ in range(SNAPSHOTS):
            begun.clear()
            released.clear()
            while not begun.is_set():
                await submit()
            for _ in range(CHANGES_DURING_WRITE):
                await submit()
            released.set()
            await cluster.wait_for_version(version)
        assert leader.leadership.ready.is_set()

    coordinators.run_scenario(tmp_path, scenario)
    assert most <= coordinator.log_memory_bytes(0.0) + 2 * DOCUMENT_BYTES


def test_newest_entries_are_retained_within_bounds():
    entries = log_entries.LogEntries(
        10,
        1,
        [
            messages.LogEntry(index, 1, b"x" * (index - 10))
            for index in range(11, 21)
        ],
    )
    assert entries.retained_after(20, 100, 27) == 17
    assert entries.retained_after(20, 2, 1000) == 18
    assert entries.retained_after(20, 100, 0) == 20
    assert entries.retained_after(20, 100, 1000) == 10
    assert entries.retained_after(15, 100, 9) == 13
    assert entries.retained_after(5, 100, 9) == 5


def test_size_follows_each_change_of_the_entries():
    def entry(index):
        return messages.LogEntry(index, 1, b"x" * index)

    entries = log_entries.LogEntries(0, 1, [entry(1), entry(2)])
    for index in range(3, 8):
        entries.append(entry(index))
    assert entries.size_bytes == sum(range(1, 8))
    entries.truncate(6)
    assert entries.size_bytes == sum(range(1, 6))
    entries.compact(2)
    assert entries.size_bytes == entries.size_after(2) == 3 + 4 + 5
    assert entries.size_after(1) == entries.size_after(2)
    assert entries.size_after(4) == 5
    entries.compact(5)
    assert entries.size_bytes == entries.size_after(5) == 0
