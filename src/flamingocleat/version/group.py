"""One group of VMs, and what is known of its members."""

import enum

import msgspec

from flamingocleat import ids
from flamingocleat.version import fleet as fleet_module

LEASE_S = 3.0
"""A VM that has not announced itself for this long is not chosen as a
member; announcements come each 1.2 s and may be a second late."""

UNHEARD = ids.BackendId("?")
"""Stands for a member that has not announced itself to a new leader yet."""


class Phase(enum.Enum):
    """How far a group is."""

    WARMING = "warming"
    """One spare takes its weights into its engine, then leaves again."""
    FORMING = "forming"
    OPENING = "opening"
    OPEN = "open"
    CLOSING = "closing"


JOINING = (Phase.WARMING, Phase.FORMING)
COUNTED = (Phase.FORMING, Phase.OPENING, Phase.OPEN)
"""Phases of groups that serve or will."""

SERVING = (
    fleet_module.GroupState.OPEN,
    fleet_module.GroupState.CLOSING,
)
"""What the head of a group says while it may take requests."""


class Group(msgspec.Struct):
    """A group of VMs that the keeper has formed or found."""

    name: str
    epoch: ids.Epoch
    model: str
    members: tuple[ids.BackendId, ...]
    head_address: str
    phase: Phase
    since_s: float
    """Start of the phase."""
    finish_work: bool = False
    reason: str = ""
    """Why the group is being closed."""
    gives_way: bool = False
    """It is closed so that its VMs serve another model."""
    left_s: float | None = None
    """Since when a member is known to have left, so that the head stalls."""

    @property
    def head(self) -> ids.BackendId:
        """The member that takes requests."""
        return self.members[0]


class Evidence(msgspec.Struct):
    """What is known of a VM beside its announcements."""

    reached_s: float = float("-inf")
    """When it last answered or accepted a connection."""
    served_s: float = float("-inf")
    """When a gateway last received a part of an answer from it."""
    suspect_s: float = float("-inf")
    """When a gateway last found it silent with work in hand."""
    silent_s: float | None = None
    """When the leader last failed to connect to it."""
    refused: bool = False
    """Its address refuses connections: it ended, or takes nothing new."""

    def serves(self, now_s: float) -> bool:
        """Return whether gateways have had answers from it of late."""
        return (
            self.served_s >= self.suspect_s and now_s - self.served_s < LEASE_S
        )

    def is_usable(
        self, backend: fleet_module.Backend | None, now_s: float
    ) -> bool:
        """Return whether the VM takes orders, by its last sign of life."""
        if backend is None:
            return False
        heard_s = max(backend.heard_s, self.reached_s)
        return (
            backend.said.state is fleet_module.BackendState.READY
            and not self.refused
            and now_s - heard_s < LEASE_S
            and (self.silent_s is None or heard_s > self.silent_s)
        )
