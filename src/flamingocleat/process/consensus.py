"""Raft consensus: a log replicated among the voters.

Follows Ongaro, "Consensus: Bridging Theory and Practice" (2014): pre-vote
and check-quorum (sections 9.6, 6.2), linearizable reads (6.4), snapshots
(chapter 5) and joint consensus (4.3). All times are monotonic.
"""

import asyncio
import collections.abc
import concurrent.futures
import enum
import random
import time
import typing

import grpclib
import msgspec

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import codec
from flamingocleat.connection import packing
from flamingocleat.connection import peer as peer_module
from flamingocleat.process import log_entries
from flamingocleat.process import logs
from flamingocleat.process import membership as membership_module
from flamingocleat.process import settings as settings_module
from flamingocleat.process import storage as storage_module

_log = logs.logger("consensus")

_NO_VOTER = ids.VoterId("")

ELECTION_TIMEOUT_MIN_S = 0.5
ELECTION_TIMEOUT_MAX_S = 1.0
FIRST_ELECTION_MIN_S = 0.1
FIRST_ELECTION_MAX_S = 0.4
"""First election timeout after a start. It can be short: while there is a
leader, the other voters refuse the pre-vote, and if all voters have restarted,
the cluster is unavailable until the first election."""
QUORUM_TIMEOUT_S = 1.0
"""A leader steps down after this time without answers from a quorum."""
VOTE_TIMEOUT_S = 0.5
TIMER_INTERVAL_S = 0.1
MAX_APPLY_ENTRIES = 256
"""Entries applied in one batch before the event loop runs other tasks."""
RETAINED_ENTRIES = 100
"""Bound on the entries kept in memory although a snapshot covers them, so that
a follower that is only slightly behind needs no snapshot."""
RETAINED_FRACTION = 1 / 3
"""Bound on their size, as a fraction of the memory for log entries. The rest is
for entries that no snapshot covers; their size triggers one, whatever their
number."""


class Role(enum.Enum):
    """Current Raft role of a voter."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Machine(typing.Protocol):
    """Interface of the replicated state machine."""

    voters: dict[ids.VoterId, str]

    def encode(self, command: typing.Any) -> bytes:
        """Serialize a command."""

    def decode(self, data: bytes) -> typing.Any:
        """Deserialize a command; raise if the data is not a command."""

    def apply(self, index: int, command: typing.Any) -> typing.Any:
        """Apply a command and return its result."""

    def voters_after(
        self, command: typing.Any
    ) -> dict[ids.VoterId, str] | None:
        """Return the voters that the command asks for, or None."""

    def snapshot(self) -> bytes:
        """Serialize the state."""

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""


class SnapshotData(msgspec.Struct, frozen=True):
    """Content of a snapshot: the membership and the machine's state."""

    membership: membership_module.Membership
    machine: bytes


class _Proposal(msgspec.Struct, frozen=True):
    """A proposal that waits until its entry is applied."""

    term: int
    result: asyncio.Future[typing.Any]


class _Waiter(msgspec.Struct, frozen=True, eq=False):
    """A task waiting for a condition on this voter's state."""

    condition: collections.abc.Callable[[], bool]
    done: asyncio.Future[None]


class _WriteBatch(msgspec.Struct, frozen=True):
    """One batch of storage operations, in the order of execution."""

    epoch: int
    snapshot: storage_module.Snapshot | None
    truncate_from: int | None
    batch: tuple[messages.LogEntry, ...]


class Consensus:
    """One Raft voter. Methods must be called on the event loop's thread."""

    def __init__(
        self,
        settings: settings_module.ControlSettings,
        storage: storage_module.Storage,
        machine: Machine,
        call: peer_module.CallFunction | None = None,
        seed: int | None = None,
    ) -> None:
        if storage.voter != settings.voter:
            raise errors.StorageError(
                f"{storage.folder} belongs to voter {storage.voter}, "
                f"not to {settings.voter}"
            )
        self.settings = settings
        self.storage = storage
        self.machine = machine
        self.voter = settings.voter
        self.caller = peer_module.Caller()
        self.call = call or self.caller.call
        self.random = random.Random(seed)
        self.failure = ""
        """Why this voter stopped taking part, or an empty string."""

        self.role = Role.FOLLOWER
        self.term = storage.term
        self.voted_for = storage.voted_for
        self.saved_vote = (storage.term, storage.voted_for)
        self.leader = _NO_VOTER
        self.leader_address = ""
        self.leader_heard_s = -ELECTION_TIMEOUT_MAX_S
        self.election_due_s = 0.0

        self.lost_voters: set[ids.VoterId] = set()
        """Voters at whose addresses another voter answers: their data is gone,
        since a voter keeps its id as long as it has its data."""

        self.snapshot = storage.snapshot
        self.entries = log_entries.LogEntries(
            storage.snapshot.index, storage.snapshot.term, storage.entries
        )
        self.first_membership = membership_module.Membership(
            dict(settings.voters)
        )
        self.commit_index = storage.snapshot.index
        self.applied_index = storage.snapshot.index
        self.durable_index = self.entries.last_index
        """Last entry of the current log that is synced to disk."""
        self.stored_index = self.entries.last_index
        """Last entry passed to the storage thread."""
        self.epoch = 0
        """Number of log truncations. A write that started in an earlier epoch
        must not mark entries as durable."""
        self.truncate_from: int | None = None
        self.new_snapshot: storage_module.Snapshot | None = None
        self.snapshot_index = storage.snapshot.index
        """Index of the latest snapshot, which may still be unwritten."""
        self.bytes_since_snapshot = 0
        """Size of the applied commands that it does not cover."""
        try:
            self._restore(self.snapshot)
        except msgspec.MsgspecError as error:
            raise errors.StorageError(
                f"{storage.folder}: snapshot {self.snapshot.index} cannot be "
                f"restored: {error}"
            ) from error
        self._update_membership()

        self.peers: dict[ids.VoterId, peer_module.Peer] = {}
        self.term_start = 0
        """Index of the no-op entry that this leader began its term with."""
        self.confirmation_round = 0
        self.proposals: dict[int, _Proposal] = {}
        self.waits: list[_Waiter] = []
        self.write_needed = asyncio.Event()
        self.executor = concurrent.futures.ThreadPoolExecutor(
            1, f"storage-{self.voter}"
        )
        self.tasks: set[asyncio.Task[None]] = set()
        self.peer_tasks: dict[ids.VoterId, asyncio.Task[None]] = {}
        self.role_callbacks: list[collections.abc.Callable[[], None]] = []
        self.apply_callbacks: list[collections.abc.Callable[[], None]] = []

    @property
    def address(self) -> str:
        """The gRPC address of this voter."""
        return self.membership.addresses().get(self.voter, self.settings.listen)

    async def start(self) -> None:
        """Start taking part in consensus."""
        self._delay_election(FIRST_ELECTION_MIN_S, FIRST_ELECTION_MAX_S)
        self._start_task(self._run_writes())
        self._start_task(self._run_election_timer())
        logs.info(
            _log,
            "voter_started",
            voter=self.voter,
            term=self.term,
            snapshot=self.snapshot.index,
            last=self.entries.last_index,
        )

    async def stop(self) -> None:
        """Stop taking part; acknowledged entries are already on disk."""
        self._shut_down("voter is stopping")
        tasks = [*self.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.caller.close()
        await asyncio.to_thread(self.executor.shutdown)

    def subscribe(self, callback: collections.abc.Callable[[], None]) -> None:
        """Call the callback after each change of role, term or leader."""
        self.role_callbacks.append(callback)

    def subscribe_applied(
        self, callback: collections.abc.Callable[[], None]
    ) -> None:
        """Call the callback after entries have been applied."""
        self.apply_callbacks.append(callback)

    def service(self) -> codec.Service:
        """Return the gRPC service for the other voters."""

        def serve(
            handle: collections.abc.Callable[
                [typing.Any], collections.abc.Awaitable[messages.Message]
            ],
        ) -> collections.abc.Callable[
            [typing.Any], collections.abc.Awaitable[None]
        ]:
            async def answer(stream: typing.Any) -> None:
                request = await stream.recv_message()
                await stream.send_message(await handle(request))

            return answer

        return codec.Service(
            {
                codec.VOTE: serve(self.handle_vote),
                codec.APPEND: serve(self.handle_append),
                codec.INSTALL_SNAPSHOT: serve(self.handle_snapshot),
            }
        )

    # Proposals and linearizable reads.

    async def propose(self, command: typing.Any) -> typing.Any:
        """Commit a command and return the machine's result.

        After a change of the voters this takes until the new ones alone form
        the quorum: until then a replaced voter may still be needed.

        Raises:
            NotLeaderError: The command was not proposed.
            CommitUnknownError: The command may or may not take effect.
        """
        self._check_leader()
        data = self.machine.encode(command)
        # An undecodable command in the log would make every voter fail.
        self.machine.decode(data)
        voters = self.machine.voters_after(command)
        while voters is not None and not self._may_change_voters():
            await self._wait_leading(self._may_change_voters, self.term)
            voters = self.machine.voters_after(command)
        if voters is None:
            index = self._append_as_leader(data)
        else:
            index = self._append_as_leader(
                data, self.membership.replace(voters)
            )
        term = self.term
        result = asyncio.get_running_loop().create_future()
        self.proposals[index] = _Proposal(term, result)
        outcome = await result
        if voters is not None or self.membership.is_joint:
            await self._wait_for_final_membership(term, index)
        return outcome

    async def confirm(self) -> None:
        """Wait until a quorum has confirmed this leader, for a read.

        The machine has then applied every command that was acknowledged
        before the call (Raft's ReadIndex).

        Raises:
            NotLeaderError: This voter does not lead, or stopped leading.
        """
        self._check_leader()
        term = self.term
        await self._wait_leading(
            lambda: self.applied_index >= self.term_start, term
        )
        read_index = self.commit_index
        self.confirmation_round += 1
        confirmation_round = self.confirmation_round
        for peer in self.peers.values():
            peer.round_begun.set()
        await self._wait_leading(
            lambda: (
                self.applied_index >= read_index
                and self._is_confirmed(confirmation_round)
            ),
            term,
        )

    async def wait_for_settled_voters(self) -> None:
        """Wait until the voters may be changed, as seen by the next step.

        Raises:
            NotLeaderError: This voter does not lead, or stopped leading.
        """
        self._check_leader()
        await self._wait_leading(self._may_change_voters, self.term)

    def _check_leader(self) -> None:
        if self.role is not Role.LEADER:
            raise errors.NotLeaderError(self.leader_address)

    def _may_change_voters(self) -> bool:
        """Return whether the last membership change is complete."""
        return (
            self._has_final_membership()
            and self.term_start <= self.applied_index
        )

    async def _wait_for_final_membership(self, term: int, index: int) -> None:
        """Wait until the newest membership is committed and not joint."""
        await self._wait(self._has_final_membership, term, Role.LEADER)
        # A leader that is not among the new voters steps down in its term.
        if self.term != term or not self._has_final_membership():
            raise _commit_unknown(index)

    def _has_final_membership(self) -> bool:
        """Return whether the newest membership is committed and not joint."""
        return (
            not self.membership.is_joint
            and self.membership_index <= self.applied_index
        )

    def _is_confirmed(self, confirmation_round: int) -> bool:
        confirmed = {
            voter
            for voter, peer in self.peers.items()
            if peer.confirmed_round >= confirmation_round
        }
        return self.has_quorum(confirmed)

    def has_quorum(self, others: set[ids.VoterId]) -> bool:
        """Return whether this voter and others form a quorum."""
        return self.membership.has_quorum(
            others | {self.voter}, self.lost_voters
        )

    def quorum_contact_s(self) -> float:
        """Return when a quorum, with this leader, was last in contact.

        That is the send time of the latest request that so many others have
        answered, or the time at which the leader began to call them.
        """
        contacts_s = {v: peer.contact_s for v, peer in self.peers.items()}
        for contact_s in (
            time.monotonic(),
            *sorted(contacts_s.values(), reverse=True),
        ):
            if self.has_quorum(
                {v for v, at_s in contacts_s.items() if at_s >= contact_s}
            ):
                return contact_s
        return float("-inf")

    def record_call_error(
        self, voter: ids.VoterId, error: BaseException
    ) -> None:
        """Note what a failed call to a voter says about it."""
        if peer_module.is_other_voter(error) and voter not in self.lost_voters:
            self.lost_voters.add(voter)
            logs.warning(_log, "voter_lost_data", voter=voter)
            self._advance_commit_index()

    def record_reply(self, voter: ids.VoterId) -> None:
        """Note that a voter has answered under its own id."""
        self.lost_voters.discard(voter)

    def _append_as_leader(
        self,
        command: bytes,
        membership: membership_module.Membership | None = None,
    ) -> int:
        entry = messages.LogEntry(
            index=self.entries.last_index + 1,
            term=self.term,
            command=command,
            voters=membership.voters if membership else None,
            outgoing=membership.outgoing if membership else None,
        )
        self._append([entry])
        for peer in self.peers.values():
            peer.entries_added.set()
        return entry.index

    # Requests from other voters.

    async def handle_vote(
        self, request: messages.VoteRequest
    ) -> messages.VoteReply:
        """Answer a request for a vote or a pre-vote."""
        self._check_target(request.target)
        if request.pre_vote:
            return self._vote_reply(self._would_grant_pre_vote(request))
        if request.term > self.term:
            self._become_follower(request.term)
        granted = (
            request.term == self.term
            and self.voted_for in ("", request.candidate)
            and self._is_up_to_date(request)
        )
        if granted:
            self.voted_for = request.candidate
            self._delay_election()
        await self._save_vote()
        return self._vote_reply(granted)

    async def handle_append(
        self, request: messages.AppendRequest
    ) -> messages.AppendReply:
        """Handle AppendEntries: entries or a heartbeat from the leader."""
        request = packing.unpack_entries(request)
        self._check_target(request.target)
        if not await self._accept_leader(
            request.term, request.leader, request.leader_address
        ):
            return self._append_reply(success=False)
        conflict_index = self._conflict_index(request)
        if conflict_index:
            return self._append_reply(success=False, next_index=conflict_index)
        self._append_received(request.entries)
        last = request.previous_index + len(request.entries)
        self._commit_to(min(request.commit_index, last))
        if request.entries and not await self._wait(
            lambda: self.durable_index >= last, request.term, Role.FOLLOWER
        ):
            return self._append_reply(success=False)
        return self._append_reply(
            success=True, match_index=min(last, self.durable_index)
        )

    async def handle_snapshot(
        self, request: messages.SnapshotRequest
    ) -> messages.SnapshotReply:
        """Install the leader's snapshot in place of missing entries."""
        self._check_target(request.target)
        index = request.last_index
        accepted = await self._accept_leader(
            request.term, request.leader, request.leader_address
        )
        if accepted and index > self.commit_index:
            self._install_snapshot(request)
        if accepted:
            await self._wait(
                lambda: self.durable_index >= index,
                request.term,
                Role.FOLLOWER,
            )
        # The leader counts a reply in this term as a stored copy, so a voter
        # whose disk has failed in the meantime must not send one.
        self._check_not_failed()
        return messages.SnapshotReply(self.term, self.voter)

    def _check_target(self, target: ids.VoterId) -> None:
        self._check_not_failed()
        # The address may have been reassigned to another voter, which must
        # not vote or store entries on behalf of the previous one.
        if target != self.voter:
            raise grpclib.GRPCError(
                grpclib.Status.FAILED_PRECONDITION,
                f"message for voter {target} reached voter {self.voter}",
            )

    def _check_not_failed(self) -> None:
        if self.failure:
            raise grpclib.GRPCError(
                grpclib.Status.UNAVAILABLE,
                f"voter {self.voter} takes no part: {self.failure}",
            )

    def _would_grant_pre_vote(self, request: messages.VoteRequest) -> bool:
        silent_s = time.monotonic() - self.leader_heard_s
        return (
            request.term > self.term
            and self.role is not Role.LEADER
            and silent_s >= ELECTION_TIMEOUT_MIN_S
            and self._is_up_to_date(request)
        )

    def _is_up_to_date(self, request: messages.VoteRequest) -> bool:
        """Return whether the candidate's log is at least as up to date."""
        candidate_last = (request.last_term, request.last_index)
        return candidate_last >= (
            self.entries.last_term,
            self.entries.last_index,
        )

    def _vote_reply(self, granted: bool) -> messages.VoteReply:
        return messages.VoteReply(self.term, granted, self.voter)

    def _append_reply(
        self, *, success: bool, match_index: int = 0, next_index: int = 0
    ) -> messages.AppendReply:
        return messages.AppendReply(
            self.term,
            success,
            self.voter,
            match_index,
            next_index,
            reads_packed=True,
        )

    async def _accept_leader(
        self, term: int, leader: ids.VoterId, address: str
    ) -> bool:
        """Follow the leader of a term; return False if the term is over."""
        if term < self.term:
            return False
        self._become_follower(term, leader, address)
        self.leader_heard_s = time.monotonic()
        self._delay_election()
        await self._save_vote()
        return term == self.term

    def _conflict_index(self, request: messages.AppendRequest) -> int:
        """Return the index to resend from, or 0 if the logs match."""
        previous = request.previous_index
        if previous > self.entries.last_index:
            return self.entries.last_index + 1
        if previous <= self.entries.base_index:
            return 0
        if self.entries.term(previous) == request.previous_term:
            return 0
        return self.entries.first_index_of_term(previous)

    def _append_received(self, entries: tuple[messages.LogEntry, ...]) -> None:
        for position, entry in enumerate(entries):
            if entry.index <= self.entries.base_index:
                continue
            if entry.index <= self.entries.last_index:
                if self.entries.term(entry.index) == entry.term:
                    continue
                self._truncate(entry.index)
            self._append(entries[position:])
            return

    def _install_snapshot(self, request: messages.SnapshotRequest) -> None:
        index, term = request.last_index, request.last_term
        if self.entries.knows_term(index) and self.entries.term(index) == term:
            # The log already has all entries that the snapshot covers.
            # Dropping later entries could lose acknowledged ones.
            self._commit_to(index)
            return
        snapshot = storage_module.Snapshot(index, term, request.data)
        try:
            self._restore(snapshot)
        except msgspec.MsgspecError as error:
            raise grpclib.GRPCError(
                grpclib.Status.INVALID_ARGUMENT,
                f"snapshot {index} cannot be restored: {error}",
            ) from error
        self.snapshot = snapshot
        self.entries = log_entries.LogEntries(index, term)
        self.new_snapshot = self.snapshot
        self.truncate_from = index + 1
        self.epoch += 1
        self.stored_index = index
        self.durable_index = 0
        self.commit_index = index
        self.applied_index = index
        self.snapshot_index = index
        self.bytes_since_snapshot = 0
        self._update_membership()
        self.write_needed.set()
        self._notify(self.apply_callbacks)
        logs.info(_log, "snapshot_installed", voter=self.voter, index=index)

    # The log.

    def _append(
        self, entries: collections.abc.Sequence[messages.LogEntry]
    ) -> None:
        for entry in entries:
            self.entries.append(entry)
            if entry.voters is not None:
                self._adopt_membership(entry)
        if (
            self.entries.size_bytes > self.settings.log_memory_bytes
            and self.entries.base_index < self.snapshot.index
        ):
            self._release_entries(self.snapshot.index)
        self.write_needed.set()

    def _truncate(self, from_index: int) -> None:
        if from_index <= self.commit_index:
            self._fail(
                f"leader {self.leader} of term {self.term} contradicts "
                f"committed entry {from_index}"
            )
            self._check_not_failed()
        self.entries.truncate(from_index)
        self.epoch += 1
        self.durable_index = min(self.durable_index, from_index - 1)
        if from_index <= self.stored_index:
            self.truncate_from = min(
                from_index, self.truncate_from or from_index
            )
            self.stored_index = from_index - 1
        self._update_membership()

    def _adopt_membership(self, entry: messages.LogEntry) -> None:
        """Use an entry's membership, which applies before it is committed."""
        assert entry.voters is not None
        self.membership = membership_module.Membership(
            entry.voters, entry.outgoing
        )
        self.membership_index = entry.index
        self.lost_voters &= set(self.membership.addresses())
        if self.role is Role.LEADER:
            self._update_peers()

    def _update_membership(self) -> None:
        self.membership = self.first_membership
        self.membership_index = self.entries.base_index
        for entry in self.entries.entries:
            if entry.voters is not None:
                self._adopt_membership(entry)

    def _restore(self, snapshot: storage_module.Snapshot) -> None:
        """Restore a snapshot's state; an invalid one changes nothing."""
        if not snapshot.index:
            self.machine.voters = dict(self.first_membership.voters)
            return
        data = msgspec.msgpack.decode(snapshot.data, type=SnapshotData)
        self.machine.restore(data.machine)
        self.first_membership = data.membership

    async def _run_writes(self) -> None:
        """Write log changes to disk; pending ones go in one batch."""
        loop = asyncio.get_running_loop()
        while True:
            await self.write_needed.wait()
            self.write_needed.clear()
            work = self._next_write()
            try:
                await loop.run_in_executor(self.executor, self._write, work)
            except errors.StorageError as error:
                self._fail(str(error))
                return
            self._on_written(work)

    def _next_write(self) -> _WriteBatch:
        batch = tuple(
            self.entries.entries[self.stored_index - self.entries.base_index :]
        )
        work = _WriteBatch(
            self.epoch, self.new_snapshot, self.truncate_from, batch
        )
        self.new_snapshot = None
        self.truncate_from = None
        self.stored_index = self.entries.last_index
        return work

    def _write(self, work: _WriteBatch) -> None:
        """Write a batch to storage; runs in the executor's thread."""
        if work.snapshot:
            self.storage.save_snapshot(
                work.snapshot.index, work.snapshot.term, work.snapshot.data
            )
        if work.truncate_from:
            self.storage.truncate(work.truncate_from)
        self.storage.append(work.batch)

    def _on_written(self, work: _WriteBatch) -> None:
        if work.epoch == self.epoch:
            last = self.durable_index
            if work.snapshot:
                last = max(last, work.snapshot.index)
            if work.batch:
                last = max(last, work.batch[-1].index)
            self.durable_index = last
        if work.snapshot:
            self._release_entries(
                min(work.snapshot.index, self.entries.last_index)
            )
            if self.snapshot.index < work.snapshot.index:
                self.snapshot = work.snapshot
        self._advance_commit_index()

    def _release_entries(self, index: int) -> None:
        """Release entries up to index, which a written snapshot covers.

        Some are retained, fewer if the entries after index need their memory.
        """
        memory_bytes = self.settings.log_memory_bytes
        retained_bytes = min(
            round(memory_bytes * RETAINED_FRACTION),
            memory_bytes - self.entries.size_after(index),
        )
        self.entries.compact(
            self.entries.retained_after(index, RETAINED_ENTRIES, retained_bytes)
        )

    def _advance_commit_index(self) -> None:
        """Commit entries that a quorum has synced, and wake waiting tasks."""
        if self.role is Role.LEADER:
            values = {v: peer.match_index for v, peer in self.peers.items()}
            # The leader's own copy counts only once it is synced.
            values[self.voter] = self.durable_index
            index = self.membership.reached(values, self.lost_voters)
            # Entries of earlier terms are committed only indirectly, by
            # committing an entry of this term (Raft paper, figure 8).
            if index >= self.term_start:
                self._commit_to(index)
        self._wake_waiters()

    def _commit_to(self, index: int) -> None:
        if index > self.commit_index:
            self.commit_index = index
            self._apply()

    def _apply(self) -> None:
        last = min(self.commit_index, self.applied_index + MAX_APPLY_ENTRIES)
        if self.failure or last <= self.applied_index:
            return
        while self.applied_index < last:
            entry = self.entries.get(self.applied_index + 1)
            try:
                result = self._apply_entry(entry)
            except Exception as error:
                # Continuing would make this voter's state diverge.
                self._fail(f"entry {entry.index} not applicable: {error!r}")
                return
            self.applied_index = entry.index
            self.bytes_since_snapshot += len(entry.command)
            self._complete_proposal(entry, result)
        if self.applied_index < self.commit_index:
            asyncio.get_running_loop().call_soon(self._apply)
        self._advance_membership_change()
        self._compact()
        self._notify(self.apply_callbacks)
        self._wake_waiters()

    def _apply_entry(self, entry: messages.LogEntry) -> typing.Any:
        if entry.voters is not None:
            self.machine.voters = dict(entry.voters)
        if not entry.command:
            return None
        command = self.machine.decode(entry.command)
        return self.machine.apply(entry.index, command)

    def _complete_proposal(
        self, entry: messages.LogEntry, result: typing.Any
    ) -> None:
        proposal = self.proposals.pop(entry.index, None)
        if proposal is None or proposal.result.done():
            return
        if proposal.term == entry.term:
            proposal.result.set_result(result)
        else:
            proposal.result.set_exception(_commit_unknown(entry.index))

    def _advance_membership_change(self) -> None:
        """Leave the joint membership once its entry is committed.

        A leader that is not in the new membership steps down.
        """
        if (
            self.role is not Role.LEADER
            or self.membership_index > self.applied_index
        ):
            return
        if self.membership.is_joint:
            final = membership_module.Membership(self.membership.voters)
            self._append_as_leader(b"", final)
        elif self.voter not in self.membership.voters:
            self._become_follower(self.term)

    def _compact(self) -> None:
        index = self.applied_index
        count = index - self.snapshot_index
        due = (
            count >= self.settings.snapshot_interval_entries
            or self.bytes_since_snapshot
            >= self.settings.log_memory_bytes * (1 - RETAINED_FRACTION)
        )
        # Storage keeps the entries after the snapshot only if it holds the
        # entry at the snapshot's index.
        if not due or index > self.durable_index:
            return
        data = SnapshotData(self._membership_at(index), self.machine.snapshot())
        self.new_snapshot = storage_module.Snapshot(
            index, self.entries.term(index), msgspec.msgpack.encode(data)
        )
        self.first_membership = data.membership
        self.snapshot_index = index
        self.bytes_since_snapshot = 0
        self.write_needed.set()

    def _membership_at(self, index: int) -> membership_module.Membership:
        membership = self.first_membership
        for entry in self.entries.entries:
            if entry.index <= index and entry.voters is not None:
                membership = membership_module.Membership(
                    entry.voters, entry.outgoing
                )
        return membership

    # Terms, votes and roles.

    async def _run_election_timer(self) -> None:
        """Start elections; as leader, step down without a quorum."""
        while True:
            now_s = time.monotonic()
            if self.role is Role.LEADER:
                self._check_quorum(now_s)
            elif now_s >= self.election_due_s:
                await self._run_election()
            due_s = self.election_due_s - time.monotonic()
            is_leader = self.role is Role.LEADER
            await asyncio.sleep(
                TIMER_INTERVAL_S
                if is_leader
                else min(TIMER_INTERVAL_S, max(0.0, due_s))
            )

    def _check_quorum(self, now_s: float) -> None:
        recent = {
            voter
            for voter, peer in self.peers.items()
            if now_s - peer.contact_s < QUORUM_TIMEOUT_S
        }
        if not self.has_quorum(recent):
            logs.warning(_log, "quorum_lost", voter=self.voter, term=self.term)
            self._become_follower(self.term)

    async def _run_election(self) -> None:
        self._delay_election()
        if self.voter not in self.membership.addresses():
            return
        term = self.term
        heard_s = self.leader_heard_s
        if not await self._request_votes(term + 1, pre_vote=True):
            return
        if self.term != term or self.leader_heard_s != heard_s:
            return
        self._become_follower(term + 1)
        self.role = Role.CANDIDATE
        self.voted_for = self.voter
        self._notify(self.role_callbacks)
        await self._save_vote()
        elected = await self._request_votes(term + 1, pre_vote=False)
        if elected and self.term == term + 1 and self.role is Role.CANDIDATE:
            self._become_leader()

    async def _request_votes(self, term: int, *, pre_vote: bool) -> bool:
        granted: set[ids.VoterId] = set()
        requests = [
            asyncio.create_task(
                self._request_vote(voter, address, term, pre_vote)
            )
            for voter, address in self.membership.addresses().items()
            if voter != self.voter
        ]
        try:
            for answer in asyncio.as_completed(requests):
                voter = await answer
                if voter:
                    granted.add(voter)
                if self.has_quorum(granted):
                    break
        finally:
            for task in requests:
                task.cancel()
        return self.has_quorum(granted)

    async def _request_vote(
        self, voter: ids.VoterId, address: str, term: int, pre_vote: bool
    ) -> ids.VoterId | None:
        """Request a vote; return the voter's id if it grants the vote."""
        request = messages.VoteRequest(
            term=term,
            candidate=self.voter,
            target=voter,
            last_index=self.entries.last_index,
            last_term=self.entries.last_term,
            pre_vote=pre_vote,
        )
        try:
            reply = await self.call(
                codec.VOTE, address, request, VOTE_TIMEOUT_S
            )
        except peer_module.CALL_ERRORS as error:
            self.record_call_error(voter, error)
            return None
        self.record_reply(voter)
        await self.on_reply(reply.term)
        granted = reply.granted and reply.voter == voter
        return voter if granted else None

    async def on_reply(self, term: int) -> None:
        """Process a reply: adopt a newer term, or advance the commit index."""
        if term > self.term:
            self._become_follower(term)
            await self._save_vote()
        else:
            self._advance_commit_index()

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader = self.voter
        self.leader_address = self.address
        logs.info(_log, "leader_elected", voter=self.voter, term=self.term)
        self.term_start = self.entries.last_index + 1
        self._update_peers()
        self._append_as_leader(b"", self.membership)
        self._notify(self.role_callbacks)

    def _become_follower(
        self,
        term: int,
        leader: ids.VoterId = _NO_VOTER,
        address: str = "",
    ) -> None:
        before = (self.role, self.term, self.leader)
        if self.role is Role.LEADER:
            self._stop_peers()
            self._delay_election()
        if term > self.term:
            self.voted_for = _NO_VOTER
        self.role = Role.FOLLOWER
        self.term = term
        self.leader = leader
        self.leader_address = address
        if before != (self.role, self.term, self.leader):
            if leader:
                logs.info(
                    _log,
                    "leader_followed",
                    voter=self.voter,
                    term=term,
                    leader=leader,
                )
            if before[0] is Role.LEADER:
                self._fail_proposals()
            self._wake_waiters()
            self._notify(self.role_callbacks)

    async def _save_vote(self) -> None:
        """Return once the current term and vote are on disk."""
        loop = asyncio.get_running_loop()
        while self.saved_vote != (self.term, self.voted_for):
            self._check_not_failed()
            vote = (self.term, self.voted_for)
            try:
                await loop.run_in_executor(
                    self.executor, self.storage.save_vote, *vote
                )
            except errors.StorageError as error:
                self._fail(str(error))
                self._check_not_failed()
            self.saved_vote = vote

    def _delay_election(
        self,
        min_s: float = ELECTION_TIMEOUT_MIN_S,
        max_s: float = ELECTION_TIMEOUT_MAX_S,
    ) -> None:
        self.election_due_s = time.monotonic() + self.random.uniform(
            min_s, max_s
        )

    # Tasks and waiting.

    def _update_peers(self) -> None:
        """Run one task for each other voter of the current membership."""
        wanted = self.membership.addresses()
        for voter in set(self.peer_tasks) - set(wanted):
            self._stop_peer(voter)
        for voter, address in wanted.items():
            if voter == self.voter or voter in self.peers:
                continue
            peer = peer_module.Peer(self, voter, address)
            self.peers[voter] = peer
            self.peer_tasks[voter] = self._start_task(peer.run())

    def _stop_peers(self) -> None:
        for voter in list(self.peer_tasks):
            self._stop_peer(voter)

    def _stop_peer(self, voter: ids.VoterId) -> None:
        self.peer_tasks.pop(voter).cancel()
        del self.peers[voter]

    def _start_task(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            self._fail(f"task failed: {task.exception()!r}")

    async def _wait(
        self,
        condition: collections.abc.Callable[[], bool],
        term: int,
        role: Role,
    ) -> bool:
        """Wait for a condition; return False if the term or role changes."""

        def is_over() -> bool:
            return bool(self.failure) or self.term != term or self.role != role

        if not is_over() and not condition():
            done = asyncio.get_running_loop().create_future()
            waiter = _Waiter(lambda: condition() or is_over(), done)
            self.waits.append(waiter)
            try:
                await done
            finally:
                if waiter in self.waits:
                    self.waits.remove(waiter)
        return not is_over() and condition()

    async def _wait_leading(
        self, condition: collections.abc.Callable[[], bool], term: int
    ) -> None:
        if not await self._wait(condition, term, Role.LEADER):
            raise errors.NotLeaderError(self.leader_address)

    def _wake_waiters(self) -> None:
        for waiter in list(self.waits):
            if waiter.condition() and not waiter.done.done():
                self.waits.remove(waiter)
                waiter.done.set_result(None)

    def _fail_proposals(self) -> None:
        proposals, self.proposals = self.proposals, {}
        for index, proposal in proposals.items():
            if not proposal.result.done():
                proposal.result.set_exception(_commit_unknown(index))

    def _notify(
        self, callbacks: list[collections.abc.Callable[[], None]]
    ) -> None:
        for callback in callbacks:
            try:
                callback()
            except Exception as error:  # It must not stop this voter.
                logs.error(_log, "subscriber_failed", reason=repr(error))

    def _fail(self, reason: str) -> None:
        """Stop taking part after an error; the program should exit."""
        if not self.failure:
            logs.error(_log, "voter_failed", voter=self.voter, reason=reason)
            self._shut_down(reason)

    def _shut_down(self, reason: str) -> None:
        self.failure = self.failure or reason
        self._become_follower(self.term)
        self._fail_proposals()
        self._wake_waiters()
        for task in self.tasks:
            task.cancel()


def _commit_unknown(index: int) -> errors.CommitUnknownError:
    return errors.CommitUnknownError(
        f"leadership ended before entry {index} was known to be committed"
    )
