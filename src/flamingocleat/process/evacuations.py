"""Carries out operators' calls to evacuate and reinstate data centres.

The evacuated data centres are in the replicated log, so that each leader knows
them from its first view on; hand-overs are in the memory of one leader.
"""

import asyncio
import collections.abc
import time

import prometheus_client

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import platform as platform_module
from flamingocleat.process import consensus as consensus_module
from flamingocleat.process import logs
from flamingocleat.process import settings as settings_module
from flamingocleat.version import declared
from flamingocleat.version import evacuations as rules
from flamingocleat.version import group as group_module
from flamingocleat.version import groups as groups_module

_log = logs.logger("evacuations")

COMMIT_TIMEOUT_S = 0.9
"""Below the one second from which the wait for an answer costs; operators send
the call again, to any coordinator."""

_EVACUATED = prometheus_client.Gauge(
    "flamingocleat_coordinator_evacuated_data_centres",
    "Data centres that are evacuated",
)
_CALLS = prometheus_client.Counter(
    "flamingocleat_coordinator_evacuation_calls",
    "Operators' calls to evacuate or reinstate a data centre",
    ["outcome"],
)

Managers = collections.abc.Mapping[ids.ServiceId, groups_module.GroupManager]


class Evacuations:
    """Evacuated data centres as one coordinator knows them."""

    def __init__(
        self,
        settings: collections.abc.Callable[
            [], settings_module.CoordinatorSettings
        ],
        machine: declared.Machine,
        consensus: consensus_module.Consensus,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self.machine = machine
        self.consensus = consensus
        self.clock = clock
        self.hand_overs = rules.HandOvers()
        self.listeners: list[collections.abc.Callable[[], None]] = []
        """Called after a change of the data centres."""
        self.applied = frozenset(machine.evacuations)
        """The evacuated data centres that listeners were last told."""
        _EVACUATED.set(len(self.applied))
        consensus.subscribe_applied(self._on_applied)

    def _on_applied(self) -> None:
        current = frozenset(self.machine.evacuations)
        if current == self.applied:
            return
        for data_centre in self.applied - current:
            self.hand_overs.end(data_centre)
        self.applied = current
        _EVACUATED.set(len(current))
        logs.info(
            _log, "evacuations_applied", data_centres=",".join(sorted(current))
        )
        for callback in self.listeners:
            callback()

    # Operators' calls.

    async def handle(
        self, call: platform_module.SetEvacuation
    ) -> tuple[int, bytes]:
        """Carry out a call; return the status and body of the answer.

        Each call is committed, also one that changes nothing, so that the log
        alone decides between operators.
        """
        data_centre, began_s = call.data_centre, self.clock()
        refusal = rules.find_refusal(
            data_centre, self.settings().data_centres, self.machine.evacuations
        )
        if refusal:
            self._log_call(call, "refused", began_s, refusal)
            return 400, f"{refusal}\n".encode()
        if call.evacuated and data_centre not in self.machine.evacuations:
            # Before the commit, since the first view after it ends the use of
            # heads for which it names no hand-over.
            self.hand_overs.start(data_centre, self.consensus.term, began_s)
        order = declared.EvacuationOrder(
            data_centre, call.evacuated, int(time.time() * 1000)
        )
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                changed = await self.consensus.propose(
                    declared.PutDocument(
                        declared.NO_VERSION, b"", evacuation=order
                    )
                )
        except (errors.FlamingocleatError, TimeoutError) as error:
            self._log_call(call, "unconfirmed", began_s, repr(error))
            return 503, b"not known to be stored\n"
        self._log_call(call, "changed" if changed else "unchanged", began_s)
        return 200, b""

    def _log_call(
        self,
        call: platform_module.SetEvacuation,
        outcome: str,
        began_s: float,
        reason: str = "",
    ) -> None:
        _CALLS.labels(outcome=outcome).inc()
        logs.info(
            _log,
            "evacuation_ordered" if call.evacuated else "reinstatement_ordered",
            data_centre=call.data_centre,
            outcome=outcome,
            after_ms=round((self.clock() - began_s) * 1000),
            reason=reason,
        )

    # Hand-overs.

    def review(self, managers: Managers) -> None:
        """End hand-overs unless groups are about to open elsewhere."""
        is_planning = any(
            manager.evacuation.is_planning(manager.groups.values())
            for manager in managers.values()
        )
        for data_centre in list(self.hand_overs.started):
            # The planner learns of an evacuation when it is committed.
            if data_centre not in self.applied:
                continue
            if is_planning and self._hand_over_s(data_centre):
                continue
            self.hand_overs.end(data_centre)
            logs.info(
                _log,
                "hand_over_ended",
                data_centre=data_centre,
                groups_elsewhere=is_planning,
            )

    def _hand_over_s(self, data_centre: ids.DataCentreId) -> float:
        return self.hand_overs.remaining_s(
            data_centre,
            self.consensus.term,
            self.settings().evacuate_s,
            self.clock(),
        )

    def groups_handed_over(
        self, manager: groups_module.GroupManager
    ) -> list[group_module.Group]:
        """Return groups in evacuated data centres that are still listed."""
        return [
            group
            for group, data_centre in manager.evacuation.standby(
                manager.groups.values()
            )
            if self._hand_over_s(data_centre) > 0
        ]

    def as_message(self) -> tuple[messages.EvacuatedDataCentre, ...]:
        """Return all evacuated data centres as gateways are told."""
        return tuple(
            messages.EvacuatedDataCentre(
                data_centre, int(self._hand_over_s(data_centre) * 1000)
            )
            for data_centre in self.machine.evacuations
        )
