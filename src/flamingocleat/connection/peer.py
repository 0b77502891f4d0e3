"""The leader's replication to one follower, and calls between voters."""

import asyncio
import collections.abc
import contextlib
import time
import typing

import grpclib
import grpclib.client
import grpclib.exceptions

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import channel
from flamingocleat.connection import codec
from flamingocleat.connection import packing
from flamingocleat.process import logs

if typing.TYPE_CHECKING:
    from flamingocleat.process import consensus as consensus_module

_log = logs.logger("peer")

HEARTBEAT_INTERVAL_S = 0.1
HEARTBEAT_TIMEOUT_S = 0.3
BULK_TIMEOUT_S = 1.0
"""First time limit of a call with entries or a snapshot. It doubles with each
call that exceeds it, since the follower's disk or link may be slow. Otherwise a
call that is lost on a silent connection would hold up the follower for as long
as the slowest call may take."""
APPEND_TIMEOUT_S = 5.0
"""Long enough for an fsync on a slow disk."""
SNAPSHOT_TIMEOUT_S = 60.0
RETRY_INTERVAL_S = 0.1
MAX_APPEND_ENTRIES = 512
MAX_APPEND_BYTES = 1_048_576

CALL_ERRORS = (
    OSError,
    TimeoutError,
    grpclib.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
)
"""Exceptions that a call between voters may raise."""

CallFunction = collections.abc.Callable[
    [codec.Call, str, messages.Message, float],
    collections.abc.Awaitable[typing.Any],
]
"""Makes a unary call; takes call, address, request and timeout in seconds."""


class Caller:
    """Makes unary calls over gRPC and caches the channels.

    Heartbeats and votes use a separate channel, so that they do not wait
    behind a snapshot. A channel is closed after a failed call, since its
    connection may have gone silent; the next call opens a new one.
    """

    def __init__(self) -> None:
        self.channels: dict[tuple[str, bool], grpclib.client.Channel] = {}

    async def call(
        self,
        call: codec.Call,
        address: str,
        request: messages.Message,
        timeout_s: float,
    ) -> typing.Any:
        """Make a call; raise OSError, TimeoutError or GRPCError."""
        is_bulk = isinstance(request, messages.SnapshotRequest) or bool(
            isinstance(request, messages.AppendRequest)
            and (request.entries or request.packed_entries)
        )
        key = (address, is_bulk)
        if key not in self.channels:
            self.channels[key] = channel.dial(address)
        used = self.channels[key]
        try:
            async with asyncio.timeout(timeout_s):
                reply = await call.ask(used, request, timeout_s)
        except CALL_ERRORS as error:
            if not _is_peer_refusal(error):
                self._close(key, used)
            raise
        except Exception as error:
            # For example, the HTTP/2 library raises its own exception once a
            # connection has used up its 2**30 stream ids, after 12 days at
            # 1000 calls/s. That must not stop this voter.
            self._close(key, used)
            raise ConnectionError(f"{address}: {error!r}") from error
        if reply is None:
            raise ConnectionError(f"{address} ended {call.path} unanswered")
        return reply

    def _close(
        self, key: tuple[str, bool], used: grpclib.client.Channel
    ) -> None:
        if self.channels.get(key) is used:
            del self.channels[key]
        used.close()

    def close(self) -> None:
        """Close all channels."""
        for used in self.channels.values():
            used.close()
        self.channels.clear()


class Peer:
    """Replicates the log to one follower during one term of leadership."""

    def __init__(
        self,
        consensus: "consensus_module.Consensus",
        voter: ids.VoterId,
        address: str,
    ) -> None:
        self.consensus = consensus
        self.voter = voter
        self.address = address
        self.term = consensus.term
        entries = consensus.entries
        # Starts at the last entry, so that a voter that is added while
        # nothing is proposed is brought up to date as well.
        self.next_index = max(entries.base_index + 1, entries.last_index)
        self.match_index = 0
        self.contact_s = time.monotonic()
        """Send time of the last request that was answered, or the start."""
        self.answered_s = float("-inf")
        """The same, but no time before the first answer."""
        self.confirmed_round = 0
        self.entries_added = asyncio.Event()
        self.round_begun = asyncio.Event()
        self.failing = False
        self.bulk_timeout_s = BULK_TIMEOUT_S
        self.reads_packed = False
        """Whether the voter reads compressed entries, by its last reply."""

    async def run(self) -> None:
        """Send heartbeats and entries until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_heartbeats())
            group.create_task(self._replicate())

    async def _send_heartbeats(self) -> None:
        while True:
            self.round_begun.clear()
            await self._heartbeat()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    await self.round_begun.wait()

    async def _heartbeat(self) -> None:
        previous = self.match_index
        if not self.consensus.entries.knows_term(previous):
            previous = 0
        try:
            await self._append(previous, (), HEARTBEAT_TIMEOUT_S)
        except CALL_ERRORS as error:
            self.consensus.record_call_error(self.voter, error)
            self._record_failure(error)
            await asyncio.sleep(RETRY_INTERVAL_S)
        else:
            self._record_success()

    async def _replicate(self) -> None:
        while True:
            self.entries_added.clear()
            if self.next_index > self.consensus.entries.last_index:
                await self.entries_added.wait()
                continue
            try:
                await self._send_next()
            except CALL_ERRORS as error:
                if _is_timeout(error):
                    self.bulk_timeout_s = min(
                        2 * self.bulk_timeout_s, SNAPSHOT_TIMEOUT_S
                    )
                self._record_failure(error)
                await asyncio.sleep(RETRY_INTERVAL_S)
            else:
                self.bulk_timeout_s = BULK_TIMEOUT_S

    async def _send_next(self) -> None:
        entries = self.consensus.entries
        previous = self.next_index - 1
        if not entries.knows_term(previous):
            await self._install_snapshot()
            return
        batch = entries.batch_after(
            previous, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES
        )
        timeout_s = min(self.bulk_timeout_s, APPEND_TIMEOUT_S)
        reply = await self._append(previous, batch, timeout_s)
        if reply.term != self.term:
            return
        if reply.success:
            self.next_index = max(self.next_index, reply.match_index + 1)
        else:
            back = min(reply.next_index, previous)
            self.next_index = max(self.match_index + 1, back, 1)

    async def _append(
        self,
        previous: int,
        batch: tuple[messages.LogEntry, ...],
        timeout_s: float,
    ) -> messages.AppendReply:
        entries = self.consensus.entries
        request = messages.AppendRequest(
            term=self.term,
            leader=self.consensus.voter,
            leader_address=self.consensus.address,
            target=self.voter,
            previous_index=previous,
            previous_term=entries.term(previous) if previous else 0,
            entries=batch,
            commit_index=self.consensus.commit_index,
        )
        if self.reads_packed:
            request = packing.pack_entries(request)
        sent_s = time.monotonic()
        confirmation_round = self.consensus.confirmation_round
        reply = await self.consensus.call(
            codec.APPEND, self.address, request, timeout_s
        )
        self.reads_packed = reply.reads_packed
        self.consensus.record_reply(self.voter)
        if reply.term == self.term:
            self.contact_s = max(self.contact_s, sent_s)
            self.answered_s = max(self.answered_s, sent_s)
            self.confirmed_round = max(self.confirmed_round, confirmation_round)
            if reply.success:
                self.match_index = max(self.match_index, reply.match_index)
        await self.consensus.on_reply(reply.term)
        return reply

    async def _install_snapshot(self) -> None:
        snapshot = self.consensus.snapshot
        request = messages.SnapshotRequest(
            term=self.term,
            leader=self.consensus.voter,
            leader_address=self.consensus.address,
            target=self.voter,
            last_index=snapshot.index,
            last_term=snapshot.term,
            data=snapshot.data,
        )
        sent_s = time.monotonic()
        reply = await self.consensus.call(
            codec.INSTALL_SNAPSHOT, self.address, request, self.bulk_timeout_s
        )
        if reply.term == self.term:
            self.contact_s = max(self.contact_s, sent_s)
            self.match_index = max(self.match_index, snapshot.index)
            self.next_index = max(self.next_index, snapshot.index + 1)
            logs.info(
                _log,
                "snapshot_sent",
                voter=self.voter,
                index=snapshot.index,
                bytes=len(snapshot.data),
            )
        await self.consensus.on_reply(reply.term)

    def _record_failure(self, error: BaseException) -> None:
        if not self.failing:
            self.failing = True
            logs.warning(
                _log,
                "follower_unreachable",
                voter=self.voter,
                address=self.address,
                reason=repr(error),
            )

    def _record_success(self) -> None:
        if self.failing:
            self.failing = False
            logs.info(_log, "follower_reachable", voter=self.voter)


def _is_peer_refusal(error: BaseException) -> bool:
    """Return whether the peer itself refused the call."""
    return isinstance(error, grpclib.GRPCError) and error.status in (
        grpclib.Status.FAILED_PRECONDITION,
        grpclib.Status.INVALID_ARGUMENT,
        grpclib.Status.UNAVAILABLE,
    )


def is_other_voter(error: BaseException) -> bool:
    """Return whether a call reached another voter than it was meant for."""
    return (
        isinstance(error, grpclib.GRPCError)
        and error.status is grpclib.Status.FAILED_PRECONDITION
    )


def _is_timeout(error: BaseException) -> bool:
    """Return whether a call took too long, at either end."""
    if isinstance(error, grpclib.GRPCError):
        return error.status is grpclib.Status.DEADLINE_EXCEEDED
    return isinstance(error, TimeoutError)
