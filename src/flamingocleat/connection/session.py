"""Server side of the agents' sessions: live agents and their orders."""

import asyncio
import collections
import collections.abc
import time
import typing

import grpclib
import grpclib.const
import msgspec

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import duplex
from flamingocleat.process import logs
from flamingocleat.version import placement

_log = logs.logger("session")

LOST_AFTER_S = 2.0
ORDER_INTERVAL_S = 0.5
MAX_LOSSES = 16
"""Losses remembered per VM; with this many, placement quarantines the VM for
the maximum time."""


class Session:
    """State of one stream of an agent."""

    def __init__(self, vm: ids.VmId, incarnation: ids.Incarnation) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.wakeup = asyncio.Event()
        self.sent: messages.AgentOrder | None = None
        self.end_error: errors.FlamingocleatError | None = None

    def end(self, error: errors.FlamingocleatError) -> None:
        """End the stream's sender with an error."""
        self.end_error = error
        self.wakeup.set()


class LiveAgent:
    """State of a VM whose agent is live."""

    def __init__(
        self, status: messages.AgentStatus, session: Session, now_s: float
    ) -> None:
        self.status = status
        self.session = session
        self.since_s = now_s
        self.heard_s = now_s
        self.replaced_incarnations: set[ids.Incarnation] = set()
        """Incarnations that the current one has replaced."""


class Sessions:
    """Live agents of this leader; empty on a follower.

    admit returns on a leader that may send orders and otherwise raises
    NotLeaderError or UnavailableError. order_for returns the current order
    for an agent. on_change is called when the set of live agents or a status
    changes, except for the load in it.
    """

    def __init__(
        self,
        admit: collections.abc.Callable[
            [], collections.abc.Coroutine[typing.Any, typing.Any, None]
        ],
        order_for: collections.abc.Callable[
            [messages.AgentStatus], messages.AgentOrder
        ],
        on_change: collections.abc.Callable[[], None],
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.admit = admit
        self.order_for = order_for
        self.on_change = on_change
        self.clock = clock
        self.agents: dict[ids.VmId, LiveAgent] = {}
        self.losses: dict[ids.VmId, collections.deque[float]] = {}

    async def handle(self, stream: typing.Any) -> None:
        """Handle one Control.AgentSession stream."""
        try:
            await self.admit()
            status = await _receive(stream)
            if status is None:
                return
            session = self.open(status)
            await duplex.run_both(
                self._receive_all(stream, session),
                self._send_all(stream, session),
            )
        except errors.FlamingocleatError as error:
            raise duplex.grpc_error(error) from error

    def open(self, status: messages.AgentStatus) -> Session:
        """Open a session with the first status of a stream and return it.

        A newer stream of the same incarnation, and any stream of a newer
        incarnation, replaces the VM's session. A replaced incarnation is
        refused for as long as the VM is live.
        """
        now_s = self.clock()
        session = Session(status.vm, status.incarnation)
        agent = self.agents.get(status.vm)
        if agent is None or now_s - agent.heard_s >= LOST_AFTER_S:
            self.agents[status.vm] = LiveAgent(status, session, now_s)
        elif status.incarnation in agent.replaced_incarnations:
            raise errors.UnavailableError(
                f"VM {status.vm} has a newer incarnation"
            )
        else:
            self._replace(agent, status, session, now_s)
        logs.info(
            _log,
            "agent_announced",
            vm=status.vm,
            incarnation=status.incarnation,
            domain=status.fabric_domain,
        )
        self.on_change()
        return session

    def update(self, session: Session, status: messages.AgentStatus) -> bool:
        """Apply a further status; return False if it is outdated."""
        agent = self.agents.get(status.vm)
        if agent is None or agent.session is not session:
            return False
        if status.incarnation != session.incarnation:
            return False
        previous, agent.status = agent.status, status
        agent.heard_s = self.clock()
        if _without_load(previous) != _without_load(status):
            self.on_change()
        return True

    def live(self) -> tuple[LiveAgent, ...]:
        """Return the agents that sent a status within LOST_AFTER_S."""
        now_s = self.clock()
        return tuple(
            agent
            for agent in self.agents.values()
            if now_s - agent.heard_s < LOST_AFTER_S
        )

    def vms(
        self, drained: collections.abc.Container[ids.VmId] = ()
    ) -> tuple[placement.VmView, ...]:
        """Return the live VMs with engines, as input for placement."""
        return tuple(
            placement.VmView(
                vm=agent.status.vm,
                incarnation=agent.status.incarnation,
                address=agent.status.control_address,
                data_centre=agent.status.data_centre,
                fabric_domain=agent.status.fabric_domain,
                accelerators=agent.status.accelerators,
                loaded=agent.status.loaded,
                state=agent.status.state,
                fence=agent.status.fence,
                leaving=agent.status.leaving or agent.status.vm in drained,
                busy=agent.status.in_flight > 0,
                alive_since_s=agent.since_s,
                losses_s=tuple(self.losses.get(agent.status.vm, ())),
            )
            for agent in self.live()
            if agent.status.kind is messages.BackendKind.ENGINE
        )

    def expire(self) -> None:
        """Remove and log the agents that have been silent for LOST_AFTER_S."""
        now_s = self.clock()
        self._expire_losses(now_s)
        for vm, agent in list(self.agents.items()):
            silence_s = now_s - agent.heard_s
            if silence_s >= LOST_AFTER_S:
                logs.warning(
                    _log, "agent_lost", vm=vm, silence_s=round(silence_s, 3)
                )
                del self.agents[vm]
                self._record_loss(vm, now_s)
                agent.session.end(
                    errors.UnavailableError(f"VM {vm} was silent")
                )
                self.on_change()

    def notify(self) -> None:
        """Send changed orders without delay."""
        for agent in self.agents.values():
            if self.order_for(agent.status) != agent.session.sent:
                agent.session.wakeup.set()

    def end_all(self, error: errors.FlamingocleatError) -> None:
        """End all streams and remove all agents, as when leadership is lost."""
        for agent in self.agents.values():
            agent.session.end(error)
        self.agents.clear()
        self.losses.clear()

    def _record_loss(self, vm: ids.VmId, now_s: float) -> None:
        losses = self.losses.setdefault(
            vm, collections.deque(maxlen=MAX_LOSSES)
        )
        losses.append(now_s)

    def _expire_losses(self, now_s: float) -> None:
        oldest_s = now_s - placement.LOSS_WINDOW_S
        for vm in [v for v, at_s in self.losses.items() if at_s[-1] < oldest_s]:
            del self.losses[vm]

    def _replace(
        self,
        agent: LiveAgent,
        status: messages.AgentStatus,
        session: Session,
        now_s: float,
    ) -> None:
        previous = agent.status.incarnation
        if previous != status.incarnation:
            agent.replaced_incarnations.add(previous)
            agent.since_s = now_s
            self._record_loss(status.vm, now_s)
        agent.session.end(
            errors.UnavailableError(f"VM {status.vm} has a newer session")
        )
        agent.session = session
        agent.status = status
        agent.heard_s = now_s

    async def _receive_all(self, stream: typing.Any, session: Session) -> None:
        while True:
            status = await _receive(stream)
            if status is None:
                return
            if not self.update(session, status):
                logs.info(
                    _log,
                    "status_ignored",
                    vm=status.vm,
                    incarnation=status.incarnation,
                )

    async def _send_all(self, stream: typing.Any, session: Session) -> None:
        while True:
            if session.end_error is not None:
                raise session.end_error
            agent = self.agents.get(session.vm)
            if agent is not None and agent.session is session:
                await self._send_order(stream, session, agent)
            await duplex.wait_event(session.wakeup, ORDER_INTERVAL_S)

    async def _send_order(
        self, stream: typing.Any, session: Session, agent: LiveAgent
    ) -> None:
        order = self.order_for(agent.status)
        if order == session.sent:
            order = messages.AgentOrder(unchanged=True)
        else:
            session.sent = order
        await stream.send_message(order)


async def _receive(stream: typing.Any) -> messages.AgentStatus | None:
    try:
        async with asyncio.timeout(LOST_AFTER_S):
            return await stream.recv_message()
    except TimeoutError as error:
        raise grpclib.GRPCError(
            grpclib.const.Status.DEADLINE_EXCEEDED,
            f"no status for {LOST_AFTER_S} s",
        ) from error


def _without_load(status: messages.AgentStatus) -> messages.AgentStatus:
    return msgspec.structs.replace(status, load=messages.Load(), in_flight=0)
