"""State of one group of VMs, and liveness evidence on its members."""

import enum

import msgspec

from flamingocleat import ids
from flamingocleat.version import fleet as fleet_module

LEASE_S = 3.0
"""A VM that has not announced itself for this long is not chosen as a member.
Announcements are sent every 1.2 s and may be a second late."""

UNKNOWN_MEMBER = ids.BackendId("?")
"""Placeholder for a member that has not yet announced itself to a new
leader."""


class Phase(enum.Enum):
    """Phase in the life of a group."""

    WARMING = "warming"
    """A single spare loads its staged weights into its engine, then leaves."""
    FORMING = "forming"
    OPENING = "opening"
    OPEN = "open"
    CLOSING = "closing"


JOINING_PHASES = (Phase.WARMING, Phase.FORMING)
ACTIVE_PHASES = (Phase.FORMING, Phase.OPENING, Phase.OPEN)
"""Phases of groups that serve requests or are about to."""

SERVING_STATES = (
    fleet_module.GroupState.OPEN,
    fleet_module.GroupState.CLOSING,
)
"""States that a head reports while it may handle requests."""


class Group(msgspec.Struct):
    """A group of VMs that the manager has formed or adopted."""

    name: str
    epoch: ids.Epoch
    model: str
    members: tuple[ids.BackendId, ...]
    head_address: str
    phase: Phase
    since_s: float
    """Start of the phase."""
    lifetimes: dict[ids.BackendId, ids.Lifetime] = msgspec.field(
        default_factory=dict
    )
    """Lifetimes of the members that are known; a later one is no member."""
    is_head_heard: bool = True
    """Whether the head has announced itself in this group. Its announcements
    without the group are then later ones."""
    finish_work: bool = False
    reason: str = ""
    """Why the group is being closed."""
    member_left_s: float | None = None
    """Since when a member is known to have left, which stalls the head."""
    has_opened: bool = False
    """Whether the head is known to have opened the group, and has not been
    ordered to close it. It then stays open until it breaks."""
    former_orders_until_s: float = float("-inf")
    """Until when orders of earlier leaders may make the head open the group."""

    @property
    def head(self) -> ids.BackendId:
        """The member that receives requests."""
        return self.members[0]


class Evidence(msgspec.Struct):
    """Signs of liveness of a VM other than its announcements."""

    reached_s: float = float("-inf")
    """When it last answered or accepted a connection."""
    served_s: float = float("-inf")
    """When a gateway last received part of a response from it."""
    suspected_s: float = float("-inf")
    """When a gateway last found it silent with requests in flight."""
    silent_s: float | None = None
    """When the leader last failed to connect to it."""
    refused: bool = False
    """Whether its address refuses connections: it has ended, or it accepts no
    new requests."""

    def serves(self, now_s: float) -> bool:
        """Return whether gateways have recently received responses from it."""
        return (
            self.served_s >= self.suspected_s
            and now_s - self.served_s < LEASE_S
        )

    def is_usable(
        self, backend: fleet_module.Backend | None, now_s: float
    ) -> bool:
        """Return whether the VM is live and ready to carry out orders."""
        if backend is None:
            return False
        heard_s = max(backend.announced_s, self.reached_s)
        return (
            backend.announcement.state is fleet_module.BackendState.READY
            and not self.refused
            and now_s - heard_s < LEASE_S
            and (self.silent_s is None or heard_s > self.silent_s)
        )
