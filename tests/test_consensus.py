"""Three voters agree while voters, disks and links fail."""

import asyncio
import contextlib
import shutil
import threading
import time

import grpclib
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
            asyncio.timeout(2 * cluster_module.LIMIT_S),
            cluster_module.running(folder, **options) as cluster,
        ):
            await scenario(cluster)

    asyncio.run(run())


async def submit_many(cluster, first: int, last: int) -> None:
    for base in range(first, last):
        change = cluster_module.submission(f"c{base}", base)
        outcome = await cluster.propose(change)
        assert outcome.decision is _ACCEPTED


def others(cluster, node) -> list[str]:
    return [name for name in cluster.voters if name != node.voter]


class Gate:
    """Holds back a voter's writes to its disk until it is opened."""

    def __init__(self, node: consensus.Consensus) -> None:
        self.opened = threading.Event()
        self.node = node
        self.append = node.storage.append
        self.sizes: list[int] = []
        node.storage.append = self.wait_and_append

    def wait_and_append(self, entries):
        self.opened.wait(cluster_module.LIMIT_S)
        if entries:
            self.sizes.append(len(entries))
        self.append(entries)


def test_acknowledged_writes_survive_the_leader(tmp_path, monkeypatch):
    """Neither a leader's death nor a clock jump may lose a write."""
    jumps = iter([0.0, 1e9, 5.0] * 1_000_000)
    monkeypatch.setattr(time, "time", lambda: next(jumps))

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


def test_follower_catches_up_by_log(tmp_path):
    """A follower that missed hundreds of entries must agree again."""

    async def scenario(cluster):
        leader = await cluster.settled_leader()
        absent = others(cluster, leader)[0]
        await cluster.kill(absent)
        await submit_many(cluster, 0, 300)
        await cluster.start(absent)
        await cluster.converge()
        assert cluster.voters[absent].machine.version == 300
        sent = cluster.network.count(leader.voter, messages.SnapshotRequest)
        assert sent == 0

    run_cluster(scenario, tmp_path)


def test_follower_catches_up_by_snapshot(tmp_path):
    """A follower behind the log's start must get and keep all state."""

    async def scenario(cluster):
        leader = await cluster.settled_leader()
        absent = others(cluster, leader)[0]
        await submit_many(cluster, 0, 5)
        await cluster.kill(absent)
        await submit_many(cluster, 5, 300)
        await cluster.start(absent)
        await cluster.converge()
        sent = cluster.network.count(leader.voter, messages.SnapshotRequest)
        assert sent > 0
        again = await leader.propose(cluster_module.submission("c3", 3))
        assert (again.decision, again.version) == (_ACCEPTED, 4)
        await cluster.kill(absent)
        opened = storage.Storage.open(str(tmp_path / absent))
        assert opened.snapshot.index > 200
        opened.close()
        await cluster.start(absent)
        await cluster.kill(others(cluster, leader)[0])
        await submit_many(cluster, 300, 301)
        await cluster.converge()
        assert cluster.voters[absent].machine.version == 301

    run_cluster(scenario, tmp_path, interval=50)


def test_cut_off_leader_acknowledges_nothing(tmp_path):
    """A leader that is cut off must neither confirm nor acknowledge."""

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
        new = await cluster.leader(*others(cluster, old))
        kept = await new.propose(cluster_module.submission("kept", 3))
        assert kept.decision is _ACCEPTED
        assert old.machine.version == 3
        cluster.network.heal()
        await cluster.converge()
        for node in cluster.voters.values():
            changes = [r.change_id for r in node.machine.audit]
            assert changes == ["c0", "c1", "c2", "kept"]

    run_cluster(scenario, tmp_path)


def test_one_racing_proposal_wins(tmp_path):
    """One winner on every voter, also for a resend to the next leader."""

    async def scenario(cluster):
        leader = await cluster.leader()
        changes = [cluster_module.submission(f"r{n}", 0) for n in range(16)]
        outcomes = await asyncio.gather(*map(leader.propose, changes))
        decisions = [outcome.decision for outcome in outcomes]
        assert decisions.count(_ACCEPTED) == 1
        await cluster.kill(leader.voter)
        again = [await cluster.propose(change) for change in changes]
        assert again == outcomes
        await cluster.converge()
        for node in cluster.voters.values():
            assert node.machine.version == 1

    run_cluster(scenario, tmp_path)


def test_new_leader_confirms_only_after_its_no_op(tmp_path):
    """A new leader that does not know what is committed must not read."""

    async def scenario(cluster):
        checked = []

        async def read(node):
            with contextlib.suppress(errors.NotLeaderError):
                await node.confirm()
                checked.append(node.machine.version)

        for version in range(1, 5):
            leader = await cluster.settled_leader()
            reads: list[asyncio.Task] = []
            for name in others(cluster, leader):
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
            await cluster_module.until(lambda: bool(checked))
            assert set(checked) == {version}
            await asyncio.gather(*reads)
            await cluster.start(leader.voter)

    run_cluster(scenario, tmp_path)


def test_counts_only_synced_copies_and_groups_them(tmp_path):
    """A slow disk must not stop heartbeats, nor count as a copy."""

    async def scenario(cluster):
        leader = await cluster.settled_leader()
        await cluster.kill(others(cluster, leader)[0])
        await leader.confirm()
        term = leader.term
        gate = Gate(leader)
        changes = [cluster_module.drain(f"d{n}") for n in range(50)]
        proposals = asyncio.gather(*map(leader.propose, changes))
        before = cluster.network.count(leader.voter, messages.AppendRequest)
        peer = leader.peers[others(cluster, leader)[0]]
        await cluster_module.until(
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
        gate.opened.set()
        await proposals
        assert leader.term == term
        assert len(gate.sizes) <= 2

    run_cluster(scenario, tmp_path)


def test_follower_answers_after_its_sync(tmp_path):
    """A copy that a power cut could lose must not be acknowledged."""

    async def scenario(cluster):
        leader = await cluster.settled_leader()
        await cluster.converge()
        gates = [Gate(cluster.voters[name]) for name in others(cluster, leader)]
        proposal = asyncio.create_task(
            leader.propose(cluster_module.drain("d1"))
        )
        last = leader.entries.last_index + 1
        before = len(cluster.network.sent)
        await cluster_module.until(
            lambda: (
                all(n.entries.last_index == last for n in map(_node, gates))
                and len(cluster.network.sent) > before + 20
            )
        )
        assert not proposal.done()
        for gate in gates:
            gate.opened.set()
        await proposal

    run_cluster(scenario, tmp_path)


def _node(gate: Gate) -> consensus.Consensus:
    return gate.node


def test_rejoining_voter_does_not_disturb(tmp_path):
    """A voter that was cut off must not depose a working leader."""

    async def scenario(cluster):
        leader = await cluster.settled_leader()
        term = leader.term
        lonely = others(cluster, leader)[0]
        cluster.network.isolate(lonely)
        await cluster_module.until(
            lambda: cluster.network.count(lonely, messages.VoteRequest) >= 6
        )
        cluster.network.heal()
        await submit_many(cluster, 0, 3)
        await cluster.converge()
        assert leader.role is consensus.Role.LEADER
        assert {n.term for n in cluster.voters.values()} == {term}

    run_cluster(scenario, tmp_path)


def test_lost_disk_is_replaced_by_a_new_voter(tmp_path):
    """The new voter must count after the replacement, the old one not."""

    async def scenario(cluster):
        leader = await cluster.settled_leader()
        await submit_many(cluster, 0, 120)
        lost, kept = others(cluster, leader)
        await cluster.kill(lost)
        shutil.rmtree(tmp_path / lost)
        change = machine.ReplaceVoter(
            operator=ids.OperatorId("anna"),
            change_id=ids.ChangeId("replace"),
            old=ids.VoterId(lost),
            new=ids.VoterId("d"),
            address="d",
            time_ms=1,
        )
        assert (await cluster.propose(change)).decision is _ACCEPTED
        assert (await cluster.propose(change)).decision is _ACCEPTED
        await cluster_module.until(lambda: not leader.membership.is_joint)
        cluster.addresses = {
            ids.VoterId(v): v for v in (leader.voter, kept, "d")
        }
        await cluster.start("d", new=True)
        await cluster.converge()
        for node in cluster.voters.values():
            assert set(node.machine.voters) == set(cluster.addresses)
            assert node.membership.voters == cluster.addresses
        await cluster.kill(leader.voter)
        await submit_many(cluster, 120, 130)
        await cluster.kill(kept)
        await cluster.kill("d")
        # The membership comes from the log, not from the settings.
        cluster.addresses = {ids.VoterId(v): v for v in "abc"}
        await cluster.start(kept)
        await cluster.start("d")
        await submit_many(cluster, 130, 131)
        unknown = await cluster.propose(
            machine.ReplaceVoter(
                operator=ids.OperatorId("anna"),
                change_id=ids.ChangeId("again"),
                old=ids.VoterId(lost),
                new=ids.VoterId("e"),
                address="e",
                time_ms=1,
            )
        )
        assert unknown.decision is machine.Decision.REFUSED

    run_cluster(scenario, tmp_path, interval=50)


def test_joint_membership_needs_both_majorities():
    """Majorities of old and new voters alone may not overlap."""
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
    """A new voter at a former one's address must not answer for it."""

    async def scenario(cluster):
        await submit_many(cluster, 0, 3)
        leader = await cluster.settled_leader()
        first, second = others(cluster, leader)
        await cluster.kill(first)
        await cluster.start("d", new=True)
        cluster.voters[first] = cluster.voters.pop("d")
        await cluster.kill(second)
        with pytest.raises((errors.CommitUnknownError, errors.NotLeaderError)):
            await leader.propose(cluster_module.submission("lost", 3))
        impostor = cluster.voters[first]
        assert impostor.entries.last_index == 0
        vote = messages.VoteRequest(
            term=99,
            candidate=ids.VoterId("b"),
            target=ids.VoterId(first),
            last_index=99,
            last_term=99,
        )
        with pytest.raises(grpclib.GRPCError):
            await impostor.handle_vote(vote)

    run_cluster(scenario, tmp_path)


def test_failed_disk_ends_a_voter_not_the_cluster(tmp_path):
    """A voter that cannot write must stop counting, and say why."""

    async def scenario(cluster):
        leader = await cluster.settled_leader()

        def fail(entries):
            raise errors.StorageError("disk is full")

        leader.storage.append = fail
        with pytest.raises(errors.CommitUnknownError):
            await leader.propose(cluster_module.submission("c0", 0))
        assert leader.failure == "disk is full"
        await cluster.leader(*others(cluster, leader))
        await submit_many(cluster, 0, 3)

    run_cluster(scenario, tmp_path)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_agrees_on_a_bad_network(tmp_path, seed):
    """Bad links and restarts must neither lose nor repeat a change."""

    async def scenario(cluster):
        cluster.network.loss = 0.05
        cluster.network.max_delay_s = 0.03
        accepted: list[str] = []

        async def work(worker: int) -> None:
            for number in range(8):
                change = f"w{worker}-{number}"
                base = max(n.machine.version for n in cluster.voters.values())
                outcome = await cluster.propose(
                    cluster_module.submission(change, base)
                )
                if outcome.decision is _ACCEPTED:
                    accepted.append(change)

        async def disturb() -> None:
            for name in "abc":
                await asyncio.sleep(cluster.network.random.uniform(0, 1))
                await cluster.kill(name)
                await cluster.start(name)

        await asyncio.gather(disturb(), *map(work, range(4)))
        cluster.network.loss = 0.0
        await cluster.converge()
        audits = [
            [record.change_id for record in node.machine.audit]
            for node in cluster.voters.values()
        ]
        assert audits[0] == audits[1] == audits[2]
        assert sorted(audits[0]) == sorted(accepted)

    run_cluster(scenario, tmp_path, interval=20, seed=seed)


@contextlib.asynccontextmanager
async def single(folder, call=None, prepare=None, voter="a"):
    """One voter whose calls to the two others the test answers."""
    opened = storage.Storage.create(str(folder / "x"), ids.VoterId("a"))
    if prepare:
        prepare(opened)
    own = settings.ControlSettings(
        voter=ids.VoterId(voter),
        data_centre=ids.DataCentreId("praha-a"),
        listen="a",
        operators_listen="",
        data_folder="",
        voters={ids.VoterId(v): v for v in "abc"},
    )
    try:
        node = consensus.Consensus(own, opened, machine.Machine(), call)
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
    """A second vote in one term could elect two leaders."""

    async def scenario():
        async with single(tmp_path) as node:
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
    """A candidate that lacks entries could undo committed ones."""

    def prepare(opened):
        opened.append(
            [messages.LogEntry(1, 2, b""), messages.LogEntry(2, 2, b"")]
        )

    async def scenario():
        async with single(tmp_path, prepare=prepare) as node:
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
    """An earlier term's entry may be overwritten (Raft, figure 8)."""
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
        async with single(tmp_path, call, prepare) as node:
            await node.start()
            await cluster_module.until(lambda: len(answered) > 20)
            assert node.role is consensus.Role.LEADER
            assert node.peers["b"].match_index == 1
            assert node.commit_index == 0

    asyncio.run(scenario())


def test_refuses_the_folder_of_another_voter(tmp_path):
    """A mixed-up folder would let one voter vote in two names."""

    async def scenario():
        with pytest.raises(errors.StorageError):
            async with single(tmp_path, voter="b"):
                pass

    asyncio.run(scenario())
