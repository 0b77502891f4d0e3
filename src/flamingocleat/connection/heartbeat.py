"""Heartbeats in a model group: the lead's side and the member's side."""

import asyncio
import collections.abc
import time
import typing

import grpclib
import grpclib.const

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import channel
from flamingocleat.connection import codec
from flamingocleat.connection import duplex
from flamingocleat.connection import grpc_errors
from flamingocleat.process import logs

_log = logs.logger("heartbeat")

PING_INTERVAL_S = 0.25
FRESH_S = 1.0
"""A member counts as fresh until this time after the lead sent the last ping
that the member answered."""
SILENCE_S = 1.0
"""After this time without an answer the lead opens a new connection."""
READY_WAIT_S = 1.25
"""FRESH_S plus 25 % for the drift between two monotonic clocks; after this time
no previous lead counts this VM as fresh."""

_IDLE_TIMEOUT_S = 10.0
"""A lead that is silent for this time has reconnected or is gone."""

Clock = collections.abc.Callable[[], float]

LOADED_STATES = (messages.MemberState.READY, messages.MemberState.LEAVING)


class MemberLink:
    """The lead's state for one member."""

    def __init__(self, member: messages.Member) -> None:
        self.member = member
        self.fresh_until = float("-inf")
        self.leaving = False
        self.sequence = 0


class Lead:
    """The lead's view of its group, with one ping task per member."""

    def __init__(
        self, assignment: messages.Assignment, clock: Clock = time.monotonic
    ) -> None:
        self.assignment = assignment
        self.clock = clock
        self.links = [MemberLink(member) for member in assignment.members[1:]]
        self.drained = False
        """Value sent in each ping, see messages.Ping."""
        self.changed: collections.abc.Callable[[], None] = lambda: None

    def may_take_calls(self) -> bool:
        """Return whether the group may take calls."""
        return self.members_fresh() and not self.leaving()

    def members_fresh(self) -> bool:
        """Return whether each member has answered recently enough.

        A member that is leaving counts too, so that its group can finish the
        streams in flight.
        """
        now = self.clock()
        return all(now < link.fresh_until for link in self.links)

    def leaving(self) -> bool:
        """Return whether a member is leaving."""
        return any(link.leaving for link in self.links)

    def record_pong(
        self, link: MemberLink, sent_s: float, pong: messages.Pong
    ) -> None:
        """Record the answer to a ping that was sent at sent_s."""
        before = self.members_fresh(), self.leaving()
        valid = (
            pong.fence == self.assignment.fence
            and pong.vm == link.member.vm
            and pong.incarnation == link.member.incarnation
            and pong.sequence == link.sequence
            and pong.state in LOADED_STATES
        )
        link.fresh_until = sent_s + FRESH_S if valid else float("-inf")
        link.leaving = pong.state is messages.MemberState.LEAVING
        if (self.members_fresh(), self.leaving()) != before:
            self.changed()

    async def run(self) -> None:
        """Ping all members until cancelled."""
        async with asyncio.TaskGroup() as group:
            for link in self.links:
                group.create_task(self._ping_until_cancelled(link))

    async def _ping_until_cancelled(self, link: MemberLink) -> None:
        reason = ""
        while True:
            try:
                await duplex.run_in_task(self._ping(link))
            except grpc_errors.CONNECTION_ERRORS as error:
                if _is_refusal(error):
                    link.fresh_until = float("-inf")
                if reason != repr(error):
                    reason = repr(error)
                    logs.warning(
                        _log,
                        "member_lost",
                        group=self.assignment.group,
                        fence=self.assignment.fence,
                        vm=link.member.vm,
                        reason=reason,
                    )
                self.changed()
            await asyncio.sleep(PING_INTERVAL_S)

    async def _ping(self, link: MemberLink) -> None:
        grpc_channel = channel.dial(link.member.address)
        loop = asyncio.get_running_loop()
        try:
            async with (
                asyncio.timeout(SILENCE_S) as silence,
                codec.HEARTBEAT.open(grpc_channel) as stream,
            ):
                while True:
                    sent = self.clock()
                    pong = await self._exchange(link, stream)
                    self.record_pong(link, sent, pong)
                    silence.reschedule(loop.time() + SILENCE_S)
                    await asyncio.sleep(
                        max(0.0, sent + PING_INTERVAL_S - self.clock())
                    )
        finally:
            grpc_channel.close()

    async def _exchange(
        self, link: MemberLink, stream: typing.Any
    ) -> messages.Pong:
        link.sequence += 1
        await stream.send_message(
            messages.Ping(
                group=self.assignment.group,
                fence=self.assignment.fence,
                sequence=link.sequence,
                drained=self.drained,
            )
        )
        return await grpc_errors.receive(stream)


def _is_refusal(error: BaseException) -> bool:
    return (
        isinstance(error, grpclib.GRPCError)
        and error.status is grpclib.const.Status.FAILED_PRECONDITION
    )


class GroupMembership:
    """The member's side: its assignment and its state in that assignment."""

    def __init__(
        self,
        vm: ids.VmId,
        incarnation: ids.Incarnation,
        clock: Clock = time.monotonic,
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.clock = clock
        self.assignment: messages.Assignment | None = None
        self.loaded = False
        """True if the engine accepted its order and has the model."""
        self.leaving = False
        self.drained = False
        """True if the lead reported that the group's streams are finished."""
        self.answered_s = float("-inf")
        """Time at which a lead's ping was last answered."""
        self.ready_s = clock() + READY_WAIT_S

    @property
    def fence(self) -> ids.FencingNumber:
        """Fencing number of the assignment; 0 for none."""
        if self.assignment is None:
            return ids.FencingNumber(0)
        return self.assignment.fence

    def is_lead(self) -> bool:
        """Return whether this VM leads the group."""
        return (
            self.assignment is not None
            and self.assignment.members[0].vm == self.vm
        )

    def accept(self, assignment: messages.Assignment) -> bool:
        """Accept an assignment with a higher fencing number.

        Any other assignment is ignored, as is one made for an earlier
        incarnation of this agent.
        """
        if assignment.fence <= self.fence:
            return False
        if not any(
            member.vm == self.vm and member.incarnation == self.incarnation
            for member in assignment.members
        ):
            logs.warning(
                _log,
                "assignment_ignored",
                fence=assignment.fence,
                reason="not for this incarnation",
            )
            return False
        if self.assignment is not None:
            self.ready_s = max(self.ready_s, self.clock() + READY_WAIT_S)
        # The assignment is set last, since other threads read this state.
        self.loaded = False
        self.drained = False
        self.assignment = assignment
        return True

    def state(self) -> messages.MemberState:
        """Return the state in the current assignment."""
        if self.assignment is None:
            return messages.MemberState.UNASSIGNED
        if self.clock() < self.ready_s:
            return messages.MemberState.WAITING
        if not self.loaded:
            return messages.MemberState.LOADING
        if self.leaving:
            return messages.MemberState.LEAVING
        return messages.MemberState.READY

    def answer(self, ping: messages.Ping) -> messages.Pong | None:
        """Return the answer to a ping, or None if the assignment differs."""
        if (
            self.assignment is None
            or ping.fence != self.assignment.fence
            or ping.group != self.assignment.group
        ):
            return None
        self.answered_s = self.clock()
        self.drained = ping.drained
        return messages.Pong(
            vm=self.vm,
            incarnation=self.incarnation,
            fence=self.assignment.fence,
            sequence=ping.sequence,
            state=self.state(),
        )

    async def heartbeat(self, stream: typing.Any) -> None:
        """Handle Member.Heartbeat."""
        while True:
            async with asyncio.timeout(_IDLE_TIMEOUT_S):
                ping = await stream.recv_message()
            if ping is None:
                return
            pong = self.answer(ping)
            if pong is None:
                raise grpclib.GRPCError(
                    grpclib.const.Status.FAILED_PRECONDITION,
                    f"{self.vm} has the fencing number {self.fence}",
                )
            await stream.send_message(pong)
