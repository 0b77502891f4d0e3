"""Groups that an earlier leader has formed.

A new leader learns of groups from what their members say. One that it cannot
take over is closed, and its members are bound until its head cannot be open.
"""

import msgspec

from flamingocleat import ids
from flamingocleat.process import logs
from flamingocleat.version import catalog as catalog_module
from flamingocleat.version import fleet as fleet_module
from flamingocleat.version import group as group_module

_log = logs.logger("groups")

TERM_SHIFT = 20
"""An epoch is the leader's term above this many bits of a counter, so that
a later leader's epochs are higher without a write to the log."""
ADOPT_S = 4.0
"""How long members of an adopted group may be unheard; those that knew the
former leader only find the next within two intervals of 1.2 s."""
KEPT_S = 60.0
"""How long an ended group stays known; announcements that were delayed by a
partition come later than its end."""

Ranks = dict[int, fleet_module.Backend]
"""Members of a group that are heard, by their rank."""

_FOUND = {
    fleet_module.GroupState.READY: group_module.Phase.OPENING,
    fleet_module.GroupState.OPEN: group_module.Phase.OPEN,
    fleet_module.GroupState.CLOSING: group_module.Phase.CLOSING,
}
"""Phase of a group that is found with its head in a state."""


class Said(msgspec.Struct, frozen=True):
    """A group as those of its members that are heard speak of it."""

    name: str
    epoch: ids.Epoch
    ranks: Ranks

    def model(
        self, engine: catalog_module.Engine
    ) -> catalog_module.Model | None:
        """Return the model that it serves, if the configuration has it."""
        first = self.ranks[min(self.ranks)]
        return engine.find_model(first.said.model)

    def members(self, model: catalog_module.Model) -> tuple[ids.BackendId, ...]:
        """Return all members, with a stand-in for those that are unheard."""
        return tuple(
            self.ranks[rank].said.backend
            if rank in self.ranks
            else group_module.UNHEARD
            for rank in range(model.size)
        )


class Adoption:
    """What one leadership knows of groups that others formed or it ended."""

    def __init__(self, term: int) -> None:
        self.term = term
        self.ended_s: dict[str, float] = {}
        """When this leader ended a group, by its name."""
        self.orphans_s: dict[str, float] = {}
        """When a group without its head was first seen, by its name."""
        self.heads: dict[str, ids.BackendId] = {}
        """Heads that gateways have named, by the name of the group."""

    def is_own(self, epoch: ids.Epoch) -> bool:
        """Return whether this leadership formed the group."""
        return epoch >> TERM_SHIFT >= self.term

    def find(
        self,
        said: Said,
        engine: catalog_module.Engine,
        now_s: float,
    ) -> group_module.Group | None:
        """Return a group whose head is heard, if it is to be taken over."""
        head = said.ranks[0]
        assert head.said.group is not None
        phase = _FOUND.get(head.said.group.state)
        model = said.model(engine)
        if phase is None or model is None:
            return None
        if head.heard_s <= self.ended_s.get(said.name, float("-inf")):
            # Ended by this leader, and nothing was heard of it since.
            return None
        own = self.is_own(said.epoch) or said.name in self.ended_s
        ready = sum(_is_ready(member) for member in said.ranks.values())
        if phase is group_module.Phase.OPENING and (own or ready < model.size):
            # It does not serve, and its members are free.
            return None
        found = group_module.Group(
            name=said.name,
            epoch=said.epoch,
            model=model.name,
            members=said.members(model),
            head_address=head.said.address,
            phase=group_module.Phase.CLOSING if own else phase,
            since_s=now_s,
            reason="it was given up" if own else "",
        )
        logs.info(
            _log,
            "group_adopted",
            group=found.name,
            epoch=found.epoch,
            phase=found.phase.value,
            members=",".join(found.members),
        )
        return found

    def is_orphaned(self, said: Said, now_s: float) -> bool:
        """Return whether a group has been without its head for long."""
        if said.name in self.ended_s or self.is_own(said.epoch):
            return False
        return now_s - self.orphans_s.setdefault(said.name, now_s) >= ADOPT_S

    def dissolve(
        self,
        said: Said,
        engine: catalog_module.Engine,
        now_s: float,
    ) -> group_module.Group | None:
        """Return a group to be closed, whose head is not heard.

        The head may still be open, so that its members are not free yet.
        """
        model = said.model(engine)
        if model is None:
            return None
        head = self.heads.get(said.name, group_module.UNHEARD)
        found = group_module.Group(
            name=said.name,
            epoch=said.epoch,
            model=model.name,
            members=(head, *said.members(model)[1:]),
            head_address="",
            phase=group_module.Phase.CLOSING,
            since_s=now_s,
            reason="its head is not heard",
        )
        logs.info(
            _log,
            "orphans_found",
            group=found.name,
            head=head,
            members=",".join(found.members),
            waited_s=round(now_s - self.orphans_s[said.name], 3),
        )
        return found

    def trim(self, said: set[str], now_s: float) -> None:
        """Forget groups that no VM has spoken of for long.

        said: names of the groups that VMs say they are in.
        """
        self.ended_s = {
            name: ended_s
            for name, ended_s in self.ended_s.items()
            if name in said or now_s - ended_s < KEPT_S
        }
        self.orphans_s = {
            name: since_s
            for name, since_s in self.orphans_s.items()
            if name in said
        }
        self.heads = {
            name: head
            for name, head in self.heads.items()
            if name in self.orphans_s
        }


def complete(group: group_module.Group, ranks: Ranks) -> None:
    """Fill in members of an adopted group as they are heard of."""
    group.members = tuple(
        ranks[rank].said.backend
        if member == group_module.UNHEARD and rank in ranks
        else member
        for rank, member in enumerate(group.members)
    )


def _is_ready(backend: fleet_module.Backend) -> bool:
    report = backend.said.group
    return report is not None and (
        report.state is fleet_module.GroupState.READY
    )
