"""Automatic membership changes of the coordinators.

The seeds of the first start are the initial voters. Any other coordinator asks
the leader to join, and one that stops asks to leave. The leader decides by
`voter_set` who votes.
"""

import asyncio
import collections.abc
import pathlib
import secrets
import time
import typing

import grpclib
import msgspec

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import codec
from flamingocleat.connection import duplex
from flamingocleat.connection import peer as peer_module
from flamingocleat.process import consensus as consensus_module
from flamingocleat.process import logs
from flamingocleat.process import membership as membership_module
from flamingocleat.process import settings as settings_module
from flamingocleat.process import storage as storage_module
from flamingocleat.process import voter_set
from flamingocleat.version import declared

_log = logs.logger("voters")

SILENCE_TIMEOUT_S = 2.5
"""A voter that has not answered the leader for this long may be dropped.
Well above the election timeout and the duration of a slow fsync."""
REVIEW_INTERVAL_S = 0.5
"""Interval at which the leader checks its voters and others ask to join."""
JOIN_TIMEOUT_S = 1.0
LEAVE_TIMEOUT_S = 0.5
"""Time for which a stop waits until this voter has left."""
LEAVE_CHECK_S = 0.35
"""Time of it for which all others may take to answer a heartbeat."""
LEAVE_POLL_S = 0.02
FIRST_TERM = 1
"""Term of the first snapshot; nobody votes in it."""


def open_storage(
    settings: settings_module.CoordinatorSettings,
) -> storage_module.Storage:
    """Open this voter's storage, or create it.

    When the cluster is bootstrapped, all seeds write the same initial
    snapshot, which lists them as voters. A later start without data creates a
    voter with a new id; it never reuses the id of the voter that lost its data.
    """
    folder = pathlib.Path(settings.data_folder)
    folder.mkdir(parents=True, exist_ok=True)
    is_initial = settings.bootstrap and settings.address in settings.seeds
    seeds = settings.seeds if is_initial else ()
    if (folder / storage_module.IDENTITY_FILE).is_file():
        storage = storage_module.Storage.open(settings.data_folder)
    else:
        storage = _create_storage(settings, seeds)
    # A crash may have come between the folder's creation and its snapshot, and
    # the settings may no longer tell that the cluster was new. Earlier builds
    # did not store the first voters.
    first_voters = storage.first_voters or seeds
    if first_voters and storage.is_unused and storage.term <= FIRST_TERM:
        try:
            _write_first_snapshot(storage, first_voters)
        except BaseException:
            storage.close()
            raise
    return storage


def _create_storage(
    settings: settings_module.CoordinatorSettings, seeds: tuple[str, ...]
) -> storage_module.Storage:
    for leftover in pathlib.Path(settings.data_folder).iterdir():
        # The identity file is written last; without it, nothing in this
        # folder was ever acknowledged.
        leftover.unlink()
    name = settings.address if seeds else secrets.token_hex(8)
    storage = storage_module.Storage.create(
        settings.data_folder, ids.VoterId(name), seeds
    )
    logs.info(_log, "storage_created", voter=name, first=bool(seeds))
    return storage


def _write_first_snapshot(
    storage: storage_module.Storage, seeds: collections.abc.Sequence[str]
) -> None:
    voters = {ids.VoterId(seed): seed for seed in sorted(seeds)}
    machine = declared.Machine()
    machine.voters = dict(voters)
    data = consensus_module.SnapshotData(
        membership_module.Membership(voters), machine.snapshot()
    )
    storage.save_vote(FIRST_TERM, ids.VoterId(""))
    storage.save_snapshot(1, FIRST_TERM, msgspec.msgpack.encode(data))
    logs.info(_log, "first_snapshot_written", voter=storage.voter)


class Voters:
    """Keeps this voter a member and, on the leader, updates the membership."""

    def __init__(
        self,
        settings: settings_module.CoordinatorSettings,
        consensus: consensus_module.Consensus,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self.consensus = consensus
        self.clock = clock
        self.leaving = False

    async def run(self) -> None:
        """Check the voters or ask to join, until cancelled."""
        while True:
            await asyncio.sleep(REVIEW_INTERVAL_S)
            if self.consensus.role is consensus_module.Role.LEADER:
                await self._drop_silent_voters()
            elif self._should_join():
                await self._request_join()

    async def leave(self) -> None:
        """Leave the voters if the others suffice; this voter is stopping.

        Otherwise, or if it takes too long, this voter stays one and takes part
        again after its next start.
        """
        self.leaving = True
        consensus = self.consensus
        if len(consensus.membership.voters) <= self._needed_voters():
            return
        request = messages.LeaveRequest(consensus.voter)
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                if consensus.role is consensus_module.Role.LEADER:
                    await self._remove_voter(request)
                elif consensus.leader_address:
                    await consensus.call(
                        codec.LEAVE,
                        consensus.leader_address,
                        request,
                        LEAVE_TIMEOUT_S,
                    )
        except (errors.FlamingocleatError, *peer_module.CALL_ERRORS) as error:
            # A leader that has left stops leading before its call returns.
            if consensus.voter in consensus.membership.voters:
                logs.info(_log, "voter_stays", reason=repr(error))

    async def handle_join(self, stream: typing.Any) -> None:
        """Handle a request to join the voters."""
        await self._handle(stream, self._add_voter, messages.JoinReply)

    async def handle_leave(self, stream: typing.Any) -> None:
        """Handle the request of a voter that stops to leave the voters."""
        await self._handle(stream, self._remove_voter, messages.LeaveReply)

    async def _handle(
        self,
        stream: typing.Any,
        handle: collections.abc.Callable[
            [typing.Any], collections.abc.Awaitable[bool]
        ],
        reply: collections.abc.Callable[[bool], messages.Message],
    ) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        try:
            accepted = await handle(request)
        except errors.FlamingocleatError as error:
            raise duplex.grpc_error(error) from error
        await stream.send_message(reply(accepted))

    async def _add_voter(self, request: messages.JoinRequest) -> bool:
        def add(voters: voter_set.Addresses) -> voter_set.Addresses:
            if voters.get(request.voter) == request.address:
                return voters
            return voter_set.with_voter(
                voters,
                request.voter,
                request.address,
                self._silent_voters(),
                self._needed_voters(),
            )

        await self._change("voter_added", add)
        return True

    async def _remove_voter(self, request: messages.LeaveRequest) -> bool:
        since_s = self.clock()

        def all_others_answer() -> bool:
            voters = self.consensus.membership.voters
            others = voters.keys() - {request.voter, self.consensus.voter}
            return others <= self._heard_voters(since_s)

        # A voter that ran until now must not go in place of one that is gone,
        # whose silence may be too short to tell.
        while not all_others_answer():
            if self.clock() - since_s > LEAVE_CHECK_S:
                return False
            await asyncio.sleep(LEAVE_POLL_S)

        def remove(voters: voter_set.Addresses) -> voter_set.Addresses:
            if not all_others_answer():
                return voters
            return voter_set.without_surplus(
                voters, [request.voter], self._needed_voters()
            )

        return await self._change("voter_left", remove)

    async def _drop_silent_voters(self) -> None:
        def drop(voters: voter_set.Addresses) -> voter_set.Addresses:
            return voter_set.without_surplus(
                voters, self._silent_voters(), self._needed_voters()
            )

        try:
            await self._change("silent_voter_dropped", drop)
        except errors.FlamingocleatError as error:
            logs.warning(_log, "voter_drop_failed", reason=str(error))

    async def _change(
        self,
        event: str,
        change: collections.abc.Callable[
            [voter_set.Addresses], voter_set.Addresses
        ],
    ) -> bool:
        """Change the voters as decided on those of that moment.

        Returns:
            Whether that changes them.
        """
        await self.consensus.wait_for_settled_voters()
        voters = dict(self.consensus.membership.voters)
        new_voters = change(voters)
        if new_voters == voters:
            return False
        logs.info(
            _log,
            event,
            added=",".join(sorted(set(new_voters) - set(voters))),
            dropped=",".join(sorted(set(voters) - set(new_voters))),
            left=len(new_voters),
            needed=self._needed_voters(),
        )
        await self.consensus.propose(declared.ChangeVoters(new_voters))
        return True

    def _needed_voters(self) -> int:
        return voter_set.needed(self.settings.tolerated_losses)

    def _heard_voters(self, since_s: float) -> set[ids.VoterId]:
        """Return the other voters that have answered a request since then."""
        peers = self.consensus.peers
        heard = {v for v, peer in peers.items() if peer.answered_s >= since_s}
        return heard - self.consensus.lost_voters

    def _silent_voters(self) -> list[ids.VoterId]:
        return voter_set.silent_voters(
            {v: peer.contact_s for v, peer in self.consensus.peers.items()},
            self.consensus.quorum_contact_s(),
            SILENCE_TIMEOUT_S,
        )

    def _should_join(self) -> bool:
        """Return whether this voter should ask to join."""
        if self.leaving:
            return False
        heard_s = self.clock() - self.consensus.leader_heard_s
        known = self.consensus.membership.addresses()
        return self.consensus.voter not in known or heard_s > SILENCE_TIMEOUT_S

    async def _request_join(self) -> None:
        request = messages.JoinRequest(
            self.consensus.voter, self.settings.address
        )
        known = self.consensus.membership.addresses().values()
        addresses = dict.fromkeys([*self.settings.seeds, *known])
        for address in addresses:
            if address == self.settings.address:
                continue
            hint = await self._request_join_from(address, request)
            if hint is None:
                return
            if hint and await self._request_join_from(hint, request) is None:
                return

    async def _request_join_from(
        self, address: str, request: messages.JoinRequest
    ) -> str | None:
        """Return None if accepted, else the leader's address if given."""
        try:
            reply = await self.consensus.call(
                codec.JOIN, address, request, JOIN_TIMEOUT_S
            )
        except grpclib.GRPCError as error:
            return (
                error.message or ""
                if error.status is grpclib.Status.FAILED_PRECONDITION
                else ""
            )
        except peer_module.CALL_ERRORS as error:
            logs.info(_log, "join_failed", address=address, reason=repr(error))
            return ""
        return None if reply.accepted else ""
