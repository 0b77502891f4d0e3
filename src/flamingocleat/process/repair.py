"""Placement task of the leader: plans and commits assignments."""

import asyncio
import collections.abc
import time

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import duplex
from flamingocleat.connection import session
from flamingocleat.process import consensus as consensus_module
from flamingocleat.process import leadership as leadership_module
from flamingocleat.process import logs
from flamingocleat.version import machine as machine_module
from flamingocleat.version import placement

_log = logs.logger("repair")

PLAN_INTERVAL_S = 0.25
PLAN_PAUSE_S = 0.02
"""Pause between plans.

After an election, hundreds of agents announce themselves each second, and
planning for a thousand VMs takes 3.3 ms.
"""
MAX_STALL_S = 1.0
"""Longest stall of this process that does not restart the wait for agents.

After a longer one, statuses may still be unread, so that live agents seem
silent.
"""


class PlacementTask:
    """Runs placement and keeps the preloads and drains of the last plan."""

    def __init__(
        self,
        consensus: consensus_module.Consensus,
        machine: machine_module.Machine,
        leadership: leadership_module.Leadership,
        sessions: session.Sessions,
        on_orders_changed: collections.abc.Callable[[], None],
        policy: str = "weighted",
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.consensus = consensus
        self.machine = machine
        self.leadership = leadership
        self.sessions = sessions
        self.on_orders_changed = on_orders_changed
        self.policy = policy
        self.clock = clock
        self.changed = asyncio.Event()
        self.history = placement.History()
        self.preloads: dict[ids.VmId, placement.Preload] = {}
        self.draining: frozenset[ids.GroupId] = frozenset()
        self.settled = False
        """True once all assigned VMs were announced or the wait has elapsed."""

    def reset(self) -> None:
        """Discard the plans of an earlier leadership."""
        self.history = placement.History()
        self.preloads = {}
        self.draining = frozenset()
        self.settled = False

    async def run(self) -> None:
        """Plan on each change and every PLAN_INTERVAL_S until cancelled."""
        last_s = self.clock()
        while True:
            await duplex.wait_event(self.changed, PLAN_INTERVAL_S)
            now_s = self.clock()
            if now_s - last_s > MAX_STALL_S:
                self.settled = False
                self.leadership.restart_announce_wait("process stalled")
            last_s = now_s
            try:
                await self.step()
            except errors.FlamingocleatError as error:
                logs.warning(_log, "plan_not_committed", reason=str(error))
            except Exception as error:  # A failed plan must not end the task.
                logs.error(_log, "plan_failed", reason=repr(error))
            await asyncio.sleep(PLAN_PAUSE_S)

    async def step(self) -> None:
        """Make one plan, and commit it if it changes assignments."""
        if not self.leadership.ready.is_set() or not self._check_settled():
            return
        self.sessions.expire()
        configuration = self.machine.configuration
        if configuration is None:
            return
        basis = self.machine.basis
        plan = placement.plan(
            self.policy,
            configuration,
            self.sessions.vms(self.machine.drained),
            self.machine.assignments.values(),
            self.clock(),
            self.history,
        )
        has_changes = plan.assignments or plan.released
        if has_changes and not await self._commit(plan, basis):
            return
        self.history = plan.history
        self._update_orders(plan)

    async def _commit(self, plan: placement.Plan, basis: int) -> bool:
        command = machine_module.Assign(
            basis=basis,
            assignments=tuple(
                messages.Assignment(
                    group=new.group,
                    fence=ids.FencingNumber(0),
                    service=new.service,
                    model=new.model,
                    model_version=new.model_version,
                    members=new.members,
                )
                for new in plan.assignments
            ),
            releases=plan.released,
        )
        outcome = await self.consensus.propose(command)
        logs.info(
            _log,
            "assignments_decided",
            decision=outcome.decision.value,
            index=outcome.basis,
            assigned=",".join(a.group for a in plan.assignments),
            released=",".join(plan.released),
            reason=outcome.reason,
        )
        return outcome.decision is machine_module.Decision.ACCEPTED

    def _update_orders(self, plan: placement.Plan) -> None:
        preloads = {order.vm: order for order in plan.preloads}
        draining = frozenset(plan.draining)
        if (preloads, draining) != (self.preloads, self.draining):
            self.preloads, self.draining = preloads, draining
            self.on_orders_changed()

    def _check_settled(self) -> bool:
        """Return whether a VM without a session may be considered lost."""
        if self.settled:
            return True
        announced = {a.status.vm for a in self.sessions.live()}
        assigned = {
            member.vm
            for assignment in self.machine.assignments.values()
            for member in assignment.members
        }
        if self.leadership.announce_wait_elapsed() or assigned <= announced:
            self.settled = True
            logs.info(
                _log, "agents_announced", missing=len(assigned - announced)
            )
            self.on_orders_changed()
        return self.settled
