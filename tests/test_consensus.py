"""Consensus of three voters while voters, disks and links fail."""

import asyncio
import contextlib
import itertools
import shutil
import threading
import time

import grpclib
import msgspec
import pytest

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import codec
from flamingocleat.process import consensus
from flamingocleat.process import membership
from flamingocleat.process import settings
from flamingocleat.process import storage
from flamingocleat.version import machine
from tests import cluster as cluster_module

_ACCEPTED = machine.Decision.ACCEPTED


def run_cluster(scenario, folder, **options):
    async def run():
        async with (
            asyncio.timeout(2 * cluster_module.TIMEOUT_S),
            cluster_module.running(folder, **options) as cluster,
        ):
            await scenario(cluster)

    asyncio.run(run())


async def submit_many(cluster, first: int, last: int) -> None:
    for base in range(first, last):
        change = cluster_module.submission(f"c{base}", base)
        outcome = await cluster.propose(change)
        assert outcome.decision is _ACCEPTED


def other_voters(cluster, node) -> list[str]:
    return [name for name in cluster.voters if name != node.voter]


class BlockedAppends:
    """Blocks a voter's appends to its disk until `released` is set."""

    def __init__(self, node: consensus.Consensus) -> None:
        self.released = threading.Event()
        self.node = node
        self.append = node.storage.append
        self.batch_sizes: list[int] = []
        node.storage.append = self.blocking_append

    def blocking_append(self, entries):
        self.released.wait(cluster_module.TIMEOUT_S)
        if entries:
            self.batch_sizes.append(len(entries))
        self.append(entries)


def test_wall_clock_jumps_do_not_depose_the_leader(tmp_path, monkeypatch):
    """Jumps of the wall clock must not depose a working leader.

    They would if an election timeout used the wall clock.
    """
    # Four values: with three, voters that take turns would each read a
    # constant time.
    jumps = itertools.cycle([0.0, 1e9, 5.0, 2e9])
    monkeypatch.setattr(time, "time", lambda: next(jumps))

    async def scenario(cluster):
        leader = await cluster.settled_leader()
        term = leader.term
        before = len(cluster.network.sent)
        await cluster_module.wait_until(
            lambda: len(cluster.network.sent) > before + 40
        )
        assert (leader.role, leader.term) == (consensus.Role.LEADER, term)

    run_cluster(scenario, tmp_path)


def test_acknowledged_writes_survive_leader_crashes(tmp_path):
    """No acknowledged write is lost when leaders crash and return.

    A new leader without all committed entries would overwrite them.
    """

    async def scenario(cluster):
        version = 0
        for _ in range(3):
            await submit_many(cluster, version, version + 5)
            version += 5
            leader = await cluster.leader()
            await cluster.kill(leader.voter)
            await submit_many(cluster, version, version + 5)
            version += 5
            await cluster.start(leader.voter)
        await cluster.converge()
        states = {n.machine.snapshot() for n in cluster.voters.values()}
        assert len(states) == 1
        assert {n.machine.version for n in cluster.voters.values()} == {30}

    run_cluster(scenario, tmp_path)


def test_first_election_after_a_start_is_early(tmp_path):
    """The first election after a start must not wait for a full timeout.

    After a restart of all voters, none serves until a leader is elected.
    """

    async def scenario(cluster):
        await cluster.settled_leader()
        names = list(cluster.voters)
        for name in names:
            await cluster.kill(name)
        await cluster.start(names[0])
        due_s = cluster.voters[names[0]].election_due_s - time.monotonic()
        assert due_s <= consensus.FIRST_ELECTION_MAX_S
        for name in names[1:]:
            await cluster.start(name)
        await cluster.settled_leader()

    run_cluster(scenario, tmp_path)


def test_follower_catches_up_by_log(tmp_path):
    """A follower that missed hundreds of entries catches up.

    The leader must find the common entry and send the rest from its log.
    """

    async def scenario(cluster):
        leader = await cluster.settled_leader()
        stopped = other_voters(cluster, leader)[0]
        await cluster.kill(stopped)
        await submit_many(cluster, 0, 300)
        await cluster.start(stopped)
        await cluster.converge()
        assert cluster.voters[stopped].machine.version == 300
        sent = cluster.network.count(leader.voter, messages.SnapshotRequest)
        assert sent == 0

    run_cluster(scenario, tmp_path)


def test_follower_catches_up_by_snapshot(tmp_path):
    """A follower that needs discarded entries catches up by a snapshot.

    The snapshot must hold all state, also the earlier outcomes, and must
    survive a restart.
    """

    async def scenario(cluster):
        leader = await cluster.settled_leader()
        stopped = other_voters(cluster, leader)[0]
        await submit_many(cluster, 0, 5)
        await cluster.kill(stopped)
        await submit_many(cluster, 5, 300)
        await cluster.start(stopped)
        await cluster.converge()
        sent = cluster.network.count(leader.voter, messages.SnapshotRequest)
        assert sent > 0
        outcome = await leader.propose(cluster_module.submission("c3", 3))
        assert (outcome.decision, outcome.version) == (_ACCEPTED, 4)
        await cluster.kill(stopped)
        opened = storage.Storage.open(str(tmp_path / stopped))
        assert opened.snapshot.index > 200
        opened.close()
        await cluster.start(stopped)
        await cluster.kill(other_voters(cluster, leader)[0])
        await submit_many(cluster, 300, 301)
        await cluster.converge()
        assert cluster.voters[stopped].machine.version == 301

    run_cluster(scenario, tmp_path, snapshot_interval=50)


def test_partitioned_leader_acknowledges_nothing(tmp_path):
    """A partitioned leader must neither confirm reads nor acknowledge.

    A new leader is elected without its knowledge, so its reads would be stale
    and its writes would be lost.
    """

    async def scenario(cluster):
        await submit_many(cluster, 0, 3)
        old = await cluster.settled_leader()
        await cluster.converge()
        cluster.network.isolate(old.voter)
        assert old.role is consensus.Role.LEADER
        lost = cluster_module.submission("lost", 3)
        outcomes = await asyncio.gather(
            old.propose(lost),
            old.confirm(),
            return_exceptions=True,
        )
        assert isinstance(outcomes[0], errors.CommitUnknownError)
        assert isinstance(outcomes[1], errors.NotLeaderError)
        with pytest.raises(errors.NotLeaderError):
            await old.propose(lost)
        with pytest.raises(errors.NotLeaderError):
            await old.confirm()
        new = await cluster.leader(*other_voters(cluster, old))
        kept = await new.propose(cluster_module.submission("kept", 3))
        assert kept.decision is _ACCEPTED
        assert old.machine.version == 3
        cluster.network.restore()
        await cluster.converge()
        for node in cluster.voters.values():
            changes = [r.change_id for r in node.machine.audit]
            assert changes == ["c0", "c1", "c2", "kept"]

    run_cluster(scenario, tmp_path)


def test_one_racing_proposal_wins(tmp_path):
    """One of several concurrent submissions is accepted, on all voters.

    Resending them to the next leader must give the same outcomes.
    """

    async def scenario(cluster):
        leader = await cluster.leader()
        changes = [cluster_module.submission(f"r{n}", 0) for n in range(16)]
        outcomes = await asyncio.gather(*map(leader.propose, changes))
        decisions = [outcome.decision for outcome in outcomes]
        assert decisions.count(_ACCEPTED) == 1
        await cluster.kill(leader.voter)
        outcomes_again = [await cluster.propose(change) for change in changes]
        assert outcomes_again == outcomes
        await cluster.converge()
        for node in cluster.voters.values():
            assert node.machine.version == 1

    run_cluster(scenario, tmp_path)


def test_new_leader_confirms_only_after_its_no_op(tmp_path):
    """A new leader must not confirm reads before its no-op is committed.

    Before that it does not know which entries are committed and would read
    stale state.
    """

    async def scenario(cluster):
        checked = []

        async def read(node):
            with contextlib.suppress(errors.NotLeaderError):
                await node.confirm()
                checked.append(node.machine.version)

        for version in range(1, 5):
            leader = await cluster.settled_leader()
            reads: list[asyncio.Task] = []
            for name in other_voters(cluster, leader):
                node = cluster.voters[name]
                node.subscribe(
                    lambda node=node, reads=reads: (
                        node.role is consensus.Role.LEADER
                        and reads.append(asyncio.create_task(read(node)))
                    )
                )
            await submit_many(cluster, version - 1, version)
            checked.clear()
            await cluster.kill(leader.voter)
            await cluster_module.wait_until(lambda: bool(checked))
            assert set(checked) == {version}
            await asyncio.gather(*reads)
            await cluster.start(leader.voter)

    run_cluster(scenario, tmp_path)


def test_leader_commits_only_synced_entries_in_batches(tmp_path):
    """A leader with a slow disk must not count its unsynced entries.

    It must also keep sending heartbeats, and write the waiting entries in few
    batches.
    """

    async def scenario(cluster):
        leader = await cluster.settled_leader()
        await cluster.kill(other_voters(cluster, leader)[0])
        await leader.confirm()
        term = leader.term
        blocked = BlockedAppends(leader)
        changes = [cluster_module.drain(f"d{n}") for n in range(50)]
        proposals = asyncio.gather(*map(leader.propose, changes))
        before = cluster.network.count(leader.voter, messages.AppendRequest)
        peer = leader.peers[other_voters(cluster, leader)[0]]
        await cluster_module.wait_until(
            lambda: (
                peer.match_index == leader.entries.last_index
                and cluster.network.count(leader.voter, messages.AppendRequest)
                > before + 20
            )
        )
        assert leader.commit_index <= leader.durable_index
        assert not leader.machine.changes
        assert not proposals.done()
        await leader.confirm()
        blocked.released.set()
        await proposals
        assert leader.term == term
        assert len(blocked.batch_sizes) <= 2

    run_cluster(scenario, tmp_path)


def test_follower_answers_after_its_sync(tmp_path):
    """A follower must not acknowledge an entry before it is synced.

    A power cut could lose an entry that the leader counts as stored.
    """

    async def scenario(cluster):
        leader = await cluster.settled_leader()
        await cluster.converge()
        blocked_voters = [
            BlockedAppends(cluster.voters[name])
            for name in other_voters(cluster, leader)
        ]
        proposal = asyncio.create_task(
            leader.propose(cluster_module.drain("d1"))
        )
        last = leader.entries.last_index + 1
        before = len(cluster.network.sent)
        await cluster_module.wait_until(
            lambda: (
                all(
                    n.entries.last_index == last
                    for n in map(_node, blocked_voters)
                )
                and len(cluster.network.sent) > before + 20
            )
        )
        assert not proposal.done()
        for blocked in blocked_voters:
            blocked.released.set()
        await proposal

    run_cluster(scenario, tmp_path)


def _node(blocked: BlockedAppends) -> consensus.Consensus:
    return blocked.node


def test_rejoining_voter_does_not_depose_the_leader(tmp_path):
    """A partitioned voter that rejoins must not depose the leader.

    Without pre-votes it would return with a higher term.
    """

    async def scenario(cluster):
        leader = await cluster.settled_leader()
        term = leader.term
        isolated = other_voters(cluster, leader)[0]
        cluster.network.isolate(isolated)
        await cluster_module.wait_until(
            lambda: cluster.network.count(isolated, messages.VoteRequest) >= 6
        )
        cluster.network.restore()
        await submit_many(cluster, 0, 3)
        await cluster.converge()
        assert leader.role is consensus.Role.LEADER
        assert {n.term for n in cluster.voters.values()} == {term}

    run_cluster(scenario, tmp_path)


def test_voter_with_a_lost_disk_is_replaced(tmp_path):
    """After a replacement only the new voter belongs to the quorum.

    The membership must be read from the log after a restart, not from the
    settings.
    """

    async def scenario(cluster):
        leader = await cluster.settled_leader()
        await submit_many(cluster, 0, 120)
        lost, kept = other_voters(cluster, leader)
        await cluster.kill(lost)
        shutil.rmtree(tmp_path / lost)
        change = replacement(lost, "d")
        assert (await cluster.propose(change)).decision is _ACCEPTED
        assert (await cluster.propose(change)).decision is _ACCEPTED
        await cluster_module.wait_until(lambda: not leader.membership.is_joint)
        cluster.addresses = {
            ids.VoterId(v): v for v in (leader.voter, kept, "d")
        }
        await cluster.start("d", new=True)
        await cluster.converge()
        for node in cluster.voters.values():
            assert set(node.machine.voters) == set(cluster.addresses)
            assert node.membership.voters == cluster.addresses
        await cluster.kill(leader.voter)
        await submit_many(cluster, 120, 190)
        await cluster.kill(kept)
        await cluster.kill("d")
        # The membership comes from the log, not from the settings.
        cluster.addresses = {ids.VoterId(v): v for v in "abc"}
        await cluster.start(kept)
        await cluster.start("d")
        await submit_many(cluster, 190, 191)
        unknown = await cluster.propose(replacement(lost, "e"))
        assert unknown.decision is machine.Decision.REFUSED

    run_cluster(scenario, tmp_path, snapshot_interval=50)


def replacement(old: str, new: str) -> machine.ReplaceVoter:
    return machine.ReplaceVoter(
        operator=ids.OperatorId("anna"),
        change_id=ids.ChangeId(f"{old}-{new}"),
        old=ids.VoterId(old),
        new=ids.VoterId(new),
        address=new,
        time_ms=1,
    )


def test_next_leader_completes_a_replacement(tmp_path):
    """The next leader must end a joint membership.

    A leader that crashes during a replacement would leave it in place.
    """

    async def scenario(cluster):
        leader = await cluster.settled_leader()
        lost, kept = other_voters(cluster, leader)
        await cluster.kill(lost)
        leader._advance_membership_change = lambda: None
        await cluster.start("d", new=True)
        proposal = asyncio.create_task(leader.propose(replacement(lost, "d")))
        await cluster_module.wait_until(
            lambda: cluster.voters["d"].membership.is_joint
        )
        assert leader.membership.is_joint
        assert not proposal.done()
        await cluster.kill(leader.voter)
        with pytest.raises(errors.CommitUnknownError):
            await proposal
        await cluster.start(lost)
        new = await cluster.leader(kept, "d")
        await cluster_module.wait_until(lambda: not new.membership.is_joint)
        assert set(new.membership.voters) == {leader.voter, kept, "d"}

    run_cluster(scenario, tmp_path)


def test_leader_lost_after_a_replacement_is_not_missed(tmp_path):
    """The reply must not come while a replaced voter is still needed."""

    async def scenario(cluster):
        leader = await cluster.settled_leader()
        lost, kept = other_voters(cluster, leader)
        await cluster.kill(lost)
        await cluster.start("d", new=True)
        await leader.propose(replacement(lost, "d"))
        await cluster.kill(leader.voter)
        await cluster.leader(kept, "d")
        await submit_many(cluster, 0, 5)

    run_cluster(scenario, tmp_path)


def test_resent_replacement_is_answered_no_sooner(tmp_path):
    """A call that is sent again must not be answered from the log alone."""

    async def scenario(cluster):
        leader = await cluster.settled_leader()
        lost, _ = other_voters(cluster, leader)
        await cluster.kill(lost)
        await cluster.start("d", new=True)
        advance = leader._advance_membership_change
        leader._advance_membership_change = lambda: None
        calls = []
        for _ in range(2):
            last = leader.entries.last_index
            call = leader.propose(replacement(lost, "d"))
            calls.append(asyncio.create_task(call))
            await cluster_module.wait_until(
                lambda last=last: leader.applied_index > last
            )
        assert leader.membership.is_joint
        assert not any(call.done() for call in calls)
        leader._advance_membership_change = advance
        advance()
        for outcome in await asyncio.gather(*calls):
            assert outcome.decision is _ACCEPTED

    run_cluster(scenario, tmp_path)


def test_replaced_leader_steps_down(tmp_path):
    """A leader that is replaced must step down and start no election.

    It is no longer a voter, but would depose the new leader.
    """

    async def scenario(cluster):
        leader = await cluster.settled_leader()
        await cluster.start("d", new=True)
        outcome = await leader.propose(replacement(leader.voter, "d"))
        assert outcome.decision is _ACCEPTED
        await cluster_module.wait_until(
            lambda: leader.role is consensus.Role.FOLLOWER
        )
        new = await cluster.leader(*other_voters(cluster, leader))
        await new.propose(cluster_module.submission("c0", 0))
        before = len(cluster.network.sent)
        votes = cluster.network.count(leader.voter, messages.VoteRequest)
        await cluster_module.wait_until(
            lambda: len(cluster.network.sent) > before + 60
        )
        assert votes == cluster.network.count(
            leader.voter, messages.VoteRequest
        )
        await cluster.kill(leader.voter)
        await submit_many(cluster, 1, 5)
        await cluster.converge()

    run_cluster(scenario, tmp_path)


def test_failed_disk_does_not_acknowledge_a_snapshot(tmp_path):
    """A follower that cannot save a snapshot must not acknowledge it.

    The leader would count the entries in it as stored.
    """

    async def scenario():
        async with single_voter(tmp_path) as node:
            await node.start()

            def fail(index, term, data):
                raise errors.StorageError("disk is full")

            node.storage.save_snapshot = fail
            data = consensus.SnapshotData(
                node.membership, node.machine.snapshot()
            )
            request = snapshot_request(
                9, msgspec.msgpack.encode(data), last_term=4
            )
            with pytest.raises(grpclib.GRPCError):
                await node.handle_snapshot(request)

    asyncio.run(scenario())


def test_undecodable_snapshot_changes_nothing(tmp_path):
    """A snapshot that cannot be decoded must not replace good state.

    A voter must also not start from one.
    """

    async def scenario():
        async with single_voter(tmp_path) as node:
            await node.start()
            await node.handle_append(append_request(5, (0, 0), 1, commit=1))
            with pytest.raises(grpclib.GRPCError):
                await node.handle_snapshot(snapshot_request(9, b"garbled"))
            assert (node.applied_index, node.entries.last_index) == (1, 1)
            assert not node.failure
            node.storage.save_snapshot(1, 1, b"garbled")
        opened = storage.Storage.open(str(tmp_path / "x"))
        with pytest.raises(errors.StorageError):
            consensus.Consensus(node.settings, opened, machine.Machine())
        opened.close()

    asyncio.run(scenario())


def test_joint_membership_needs_both_majorities():
    """A joint membership needs majorities of both old and new voters.

    A majority of either alone may not overlap with one of the other, so two
    leaders could be elected.
    """
    old = {ids.VoterId(v): v for v in "abc"}
    new = {ids.VoterId(v): v for v in "abd"}
    joint = membership.Membership(old).replace(new)
    assert joint.has_quorum({"a", "b"})
    assert not joint.has_quorum({"a", "c"})
    assert not joint.has_quorum({"b", "d"})
    assert joint.reached({"a": 5, "b": 3, "c": 9, "d": 0}) == 3
    assert joint.reached({"a": 5, "c": 9, "d": 4}) == 4
    assert membership.Membership(old).reached({"a": 5, "c": 9}) == 5


def test_message_for_another_voter_is_refused(tmp_path):
    """A voter must refuse messages that are addressed to another voter.

    A new voter at a former one's address would vote and acknowledge entries in
    its name.
    """

    async def scenario(cluster):
        await submit_many(cluster, 0, 3)
        leader = await cluster.settled_leader()
        first, second = other_voters(cluster, leader)
        await cluster.kill(first)
        await cluster.start("d", new=True)
        cluster.voters[first] = cluster.voters.pop("d")
        await cluster.kill(second)
        with pytest.raises((errors.CommitUnknownError, errors.NotLeaderError)):
            await leader.propose(cluster_module.submission("lost", 3))
        new_voter = cluster.voters[first]
        assert new_voter.entries.last_index == 0
        vote = messages.VoteRequest(
            term=99,
            candidate=ids.VoterId("b"),
            target=ids.VoterId(first),
            last_index=99,
            last_term=99,
        )
        with pytest.raises(grpclib.GRPCError):
            await new_voter.handle_vote(vote)

    run_cluster(scenario, tmp_path)


def test_disk_failure_stops_the_voter_but_not_the_cluster(tmp_path):
    """A voter whose disk fails must stop and report the reason.

    If it continued, it would count entries that it cannot store.
    """

    async def scenario(cluster):
        leader = await cluster.settled_leader()

        def fail(entries):
            raise errors.StorageError("disk is full")

        leader.storage.append = fail
        with pytest.raises(errors.CommitUnknownError):
            await leader.propose(cluster_module.submission("c0", 0))
        assert leader.failure == "disk is full"
        await cluster.leader(*other_voters(cluster, leader))
        await submit_many(cluster, 0, 3)

    run_cluster(scenario, tmp_path)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_voters_agree_on_a_lossy_network(tmp_path, seed):
    """Lost calls, delays and restarts must not lose or repeat a change.

    The audits of all voters must list the accepted changes once each.
    """

    async def scenario(cluster):
        cluster.network.loss_rate = 0.05
        cluster.network.max_delay_s = 0.03
        accepted: list[str] = []

        async def submit_changes(worker: int) -> None:
            for number in range(8):
                change = f"w{worker}-{number}"
                base = max(n.machine.version for n in cluster.voters.values())
                outcome = await cluster.propose(
                    cluster_module.submission(change, base)
                )
                if outcome.decision is _ACCEPTED:
                    accepted.append(change)

        async def restart_voters() -> None:
            for name in "abc":
                await asyncio.sleep(cluster.network.random.uniform(0, 1))
                await cluster.kill(name)
                await cluster.start(name)

        await asyncio.gather(restart_voters(), *map(submit_changes, range(4)))
        cluster.network.loss_rate = 0.0
        await cluster.converge()
        audits = [
            [record.change_id for record in node.machine.audit]
            for node in cluster.voters.values()
        ]
        assert audits[0] == audits[1] == audits[2]
        assert sorted(audits[0]) == sorted(accepted)

    run_cluster(scenario, tmp_path, snapshot_interval=20, seed=seed)


@contextlib.asynccontextmanager
async def single_voter(folder, call=None, prepare=None, voter="a"):
    """One voter whose calls to the two others are answered by the test."""
    opened = storage.Storage.create(str(folder / "x"), ids.VoterId("a"))
    if prepare:
        prepare(opened)
    control_settings = settings.ControlSettings(
        voter=ids.VoterId(voter),
        data_centre=ids.DataCentreId("praha-a"),
        listen="a",
        operators_listen="",
        data_folder="",
        voters={ids.VoterId(v): v for v in "abc"},
    )
    try:
        node = consensus.Consensus(
            control_settings, opened, machine.Machine(), call
        )
        yield node
        await node.stop()
    finally:
        opened.close()


def vote_request(candidate: str, term: int, **fields):
    return messages.VoteRequest(
        term=term,
        candidate=ids.VoterId(candidate),
        target=ids.VoterId("a"),
        last_index=fields.pop("last_index", 0),
        last_term=fields.pop("last_term", 0),
        **fields,
    )


def test_votes_once_in_a_term_across_a_restart(tmp_path):
    """A second vote in one term could elect two leaders.

    A voter that forgets its vote in a restart would grant one.
    """

    async def scenario():
        async with single_voter(tmp_path) as node:
            first = await node.handle_vote(vote_request("b", 4))
            assert first.granted
        opened = storage.Storage.open(str(tmp_path / "x"))
        assert (opened.term, opened.voted_for) == (4, "b")
        node = consensus.Consensus(
            node.settings, opened, machine.Machine(), seed=1
        )
        assert not (await node.handle_vote(vote_request("c", 4))).granted
        assert (await node.handle_vote(vote_request("b", 4))).granted
        assert not (await node.handle_vote(vote_request("c", 3))).granted
        await node.stop()
        opened.close()

    asyncio.run(scenario())


def test_votes_only_for_a_complete_log(tmp_path):
    """A candidate with an outdated log could overwrite committed entries."""

    def prepare(opened):
        opened.append(
            [messages.LogEntry(1, 2, b""), messages.LogEntry(2, 2, b"")]
        )

    async def scenario():
        async with single_voter(tmp_path, prepare=prepare) as node:
            for term, behind in enumerate(
                [
                    {"last_index": 1, "last_term": 2},
                    {"last_index": 9, "last_term": 1},
                ],
                5,
            ):
                for pre_vote in (True, False):
                    request = vote_request(
                        "b", term, pre_vote=pre_vote, **behind
                    )
                    assert not (await node.handle_vote(request)).granted
            equal = vote_request("b", 9, last_index=2, last_term=2)
            assert (await node.handle_vote(equal)).granted

    asyncio.run(scenario())


def test_commits_earlier_terms_only_through_its_own(tmp_path):
    """A leader must not commit an earlier term's entry by counting copies.

    The entry may still be overwritten (Raft paper, figure 8).
    """
    answered = []

    async def call(call, address, request, timeout_s):
        if call is codec.VOTE:
            term = request.term - request.pre_vote
            return messages.VoteReply(term, True, request.target)
        await asyncio.sleep(0.01)
        answered.append(request)
        return messages.AppendReply(
            request.term, True, request.target, match_index=1, next_index=2
        )

    def prepare(opened):
        opened.save_vote(1, ids.VoterId("b"))
        opened.append([messages.LogEntry(1, 1, b"")])

    async def scenario():
        async with single_voter(tmp_path, call, prepare) as node:
            await node.start()
            await cluster_module.wait_until(lambda: len(answered) > 20)
            assert node.role is consensus.Role.LEADER
            assert node.peers["b"].match_index == 1
            assert node.commit_index == 0

    asyncio.run(scenario())


def append_request(term: int, previous, *terms: int, commit: int = 0):
    """Make a request with entries of these terms after `previous`."""
    index, previous_term = previous
    return messages.AppendRequest(
        term=term,
        leader=ids.VoterId("b"),
        leader_address="b",
        target=ids.VoterId("a"),
        previous_index=index,
        previous_term=previous_term,
        entries=tuple(
            messages.LogEntry(index + n, entry_term, b"")
            for n, entry_term in enumerate(terms, 1)
        ),
        commit_index=commit,
    )


def snapshot_request(index: int, data: bytes, last_term: int = 1):
    return messages.SnapshotRequest(
        term=5,
        leader=ids.VoterId("b"),
        leader_address="b",
        target=ids.VoterId("a"),
        last_index=index,
        last_term=last_term,
        data=data,
    )


def test_replaces_conflicting_entries(tmp_path):
    """A follower must replace entries that conflict with the leader's.

    This applies to its disk as well; a conflict with a committed entry must
    stop it.
    """

    async def scenario():
        async with single_voter(tmp_path) as node:
            await node.start()
            append_entries = node.handle_append
            assert (
                await append_entries(append_request(1, (0, 0), 1, 1, 1))
            ).success
            gap = await append_entries(append_request(2, (7, 2), 2))
            assert (gap.success, gap.next_index) == (False, 4)
            conflict = await append_entries(append_request(2, (3, 2), 2))
            assert (conflict.success, conflict.next_index) == (False, 1)
            fitting = await append_entries(
                append_request(2, (1, 1), 2, commit=2)
            )
            assert (fitting.success, fitting.match_index) == (True, 2)
            stale = await append_entries(append_request(1, (2, 2), 1))
            assert (stale.success, stale.term) == (False, 2)
            repeated = await append_entries(append_request(2, (0, 0), 1, 2))
            assert repeated.success
            assert [e.term for e in node.entries.entries] == [1, 2]
            assert node.commit_index == 2
            with pytest.raises(grpclib.GRPCError):
                await append_entries(append_request(3, (1, 1), 3))
            assert "committed entry 2" in node.failure
        opened = storage.Storage.open(str(tmp_path / "x"))
        assert [e.term for e in opened.entries] == [1, 2]
        opened.close()

    asyncio.run(scenario())


def test_write_of_replaced_entries_is_not_acknowledged(tmp_path):
    """A write must not be acknowledged once its entries were replaced.

    It would count as a write of the entries that replaced them.
    """

    async def scenario():
        async with single_voter(tmp_path) as node:
            await node.start()
            allowed_appends = threading.Semaphore(0)
            started: list[int] = []
            append = node.storage.append

            def blocking_append(entries):
                started.append(len(entries))
                allowed_appends.acquire(timeout=cluster_module.TIMEOUT_S)
                append(entries)

            node.storage.append = blocking_append
            first = asyncio.create_task(
                node.handle_append(append_request(1, (0, 0), 1, 1, 1))
            )
            await cluster_module.wait_until(lambda: started == [3])
            # Skip saving the vote for term 2, which would wait for the thread
            # that is blocked in the append.
            node.saved_vote = (2, "")
            second = asyncio.create_task(
                node.handle_append(append_request(2, (1, 1), 2))
            )
            await cluster_module.wait_until(
                lambda: node.entries.last_index == 2
            )
            allowed_appends.release()
            await cluster_module.wait_until(lambda: len(started) == 2)
            assert not second.done()
            allowed_appends.release(100)
            assert not (await first).success
            assert (await second).success

    asyncio.run(scenario())


def test_late_snapshot_keeps_later_entries(tmp_path):
    """A late snapshot must not remove later entries.

    They were acknowledged, and the leader may have committed them.
    """

    async def scenario():
        async with single_voter(tmp_path) as node:
            await node.start()
            await node.handle_append(append_request(1, (0, 0), 1, 1, 1))
            await node.handle_snapshot(snapshot_request(2, b""))
            assert node.entries.last_index == 3
            assert node.storage.last_index == 3

    asyncio.run(scenario())


def test_refuses_the_folder_of_another_voter(tmp_path):
    """A voter must not start on the data folder of another voter.

    It could then vote twice, under two names.
    """

    async def scenario():
        with pytest.raises(errors.StorageError):
            async with single_voter(tmp_path, voter="b"):
                pass

    asyncio.run(scenario())


def test_backlog_does_not_make_each_commit_a_snapshot(tmp_path):
    """Entries that a snapshot cannot cover yet must not trigger one."""
    changes = 100
    text = "x" * 200_000

    async def scenario(cluster):
        leader = await cluster.settled_leader()
        blocked = [
            BlockedAppends(node)
            for node in cluster.voters.values()
            if node is not leader
        ]
        snapshots = 0
        take_snapshot = leader.machine.snapshot

        def count_snapshot():
            nonlocal snapshots
            snapshots += 1
            return take_snapshot()

        leader.machine.snapshot = count_snapshot
        proposals = [
            asyncio.create_task(
                leader.propose(
                    cluster_module.submission(f"c{number}", number, text=text)
                )
            )
            for number in range(changes)
        ]
        await asyncio.sleep(0.5)
        for each in blocked:
            each.released.set()
        await asyncio.gather(*proposals)
        due_bytes = leader.settings.log_memory_bytes * (
            1 - consensus.RETAINED_FRACTION
        )
        assert snapshots <= 1 + changes * len(text) / due_bytes

    run_cluster(scenario, tmp_path)
