"""Messages between the system's processes, sent as MessagePack.

Times are milliseconds unless the name says otherwise. Addresses are
"host:port" with an IP number.
"""

import enum

import msgspec

from flamingocleat import ids
from flamingocleat.version import catalog as catalog_module
from flamingocleat.version import schema


class BackendKind(enum.Enum):
    """What an agent stands beside."""

    ENGINE = "engine"
    PLAIN = "plain"


class MemberState(enum.Enum):
    """State of an agent with regard to its assignment."""

    UNASSIGNED = "unassigned"
    WAITING = "waiting"
    LOADING = "loading"
    READY = "ready"
    LEAVING = "leaving"


class PermitState(enum.Enum):
    """State of a dispatch permit at its agent."""

    UNUSED = "unused"
    USED = "used"
    VOIDED = "voided"
    FOREIGN = "foreign"
    """The permit is bound to another incarnation of this agent."""


class ClaimState(enum.Enum):
    """What the register says about a key."""

    UNKNOWN_KEY = "unknown-key"
    CLAIMED = "claimed"
    """Claimed by this very request, which may dispatch with its permit."""
    PENDING = "pending"
    """Claimed earlier, with no answer recorded yet."""
    ANSWERED = "answered"
    CANCELLED = "cancelled"
    CONFLICT = "conflict"
    """The key was used with another body or service."""
    EXPIRED = "expired"


class Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """Base of all messages."""


# Consensus: voter to voter.


class LogEntry(Message, frozen=True, omit_defaults=True):
    """One entry of the replicated log; the command is MessagePack."""

    index: int
    term: int
    command: bytes
    voters: dict[ids.VoterId, str] | None = None
    """Voters and their addresses from this entry on; None: unchanged."""
    outgoing: dict[ids.VoterId, str] | None = None
    """Former voters, whose majority also counts while one is replaced."""


class VoteRequest(Message, frozen=True, omit_defaults=True):
    """Asks for a vote, or whether one would be granted (pre-vote)."""

    term: int
    candidate: ids.VoterId
    target: ids.VoterId
    last_index: int
    last_term: int
    pre_vote: bool = False


class VoteReply(Message, frozen=True, omit_defaults=True):
    """Answers a VoteRequest."""

    term: int
    granted: bool
    voter: ids.VoterId


class AppendRequest(Message, frozen=True, omit_defaults=True):
    """Replicates entries and serves as the leader's heartbeat."""

    term: int
    leader: ids.VoterId
    leader_address: str
    target: ids.VoterId
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int


class AppendReply(Message, frozen=True, omit_defaults=True):
    """Answers an AppendRequest; on failure, where to go on from."""

    term: int
    success: bool
    voter: ids.VoterId
    match_index: int
    next_index: int


class SnapshotRequest(Message, frozen=True, omit_defaults=True):
    """Replaces the state of a follower that is behind the log's start."""

    term: int
    leader: ids.VoterId
    leader_address: str
    target: ids.VoterId
    last_index: int
    last_term: int
    data: bytes


class SnapshotReply(Message, frozen=True, omit_defaults=True):
    """Answers a SnapshotRequest."""

    term: int
    voter: ids.VoterId


# Agents and control.


class Member(Message, frozen=True, omit_defaults=True):
    """One VM of a group, with the agent's incarnation and gRPC address."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    address: str


class Assignment(Message, frozen=True, omit_defaults=True):
    """Members of a group under one fencing number; the first is the lead."""

    group: ids.GroupId
    fence: ids.FencingNumber
    service: ids.ServiceId
    model: str
    model_version: str
    members: tuple[Member, ...]


class Load(Message, frozen=True, omit_defaults=True):
    """Load of a backend server as it reported it, age_ms ago."""

    running: int = 0
    waiting: int = 0
    slots: int = 1
    age_ms: int = 0


class AgentStatus(Message, frozen=True, omit_defaults=True):
    """An agent's announcement and, repeated, its heartbeat to control."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    data_centre: ids.DataCentreId
    fabric_domain: ids.FabricDomainId
    kind: BackendKind
    control_address: str
    data_address: str
    service: ids.ServiceId = ids.ServiceId("")
    """For a plain service: which one it is."""
    accelerators: int = 0
    checks_fencing: bool = False
    state: MemberState = MemberState.UNASSIGNED
    fence: ids.FencingNumber = ids.FencingNumber(0)
    serving: bool = False
    """True on a lead whose members are all fresh, and on a plain service
    that answers."""
    leaving: bool = False
    loaded: tuple[str, ...] = ()
    """Models in memory, as model@version."""
    load: Load = Load()
    in_flight: int = 0
    """Calls that a lead is still passing on while it or a member leaves; 0
    otherwise. Control may release the group once there are none."""


class AgentOrder(Message, frozen=True, omit_defaults=True):
    """Control's orders for one agent; also the session's keepalive."""

    assignment: Assignment | None = None
    """The present assignment, or None for none. An agent ignores one with
    a lower fencing number than it has."""
    leave: bool = False
    """The VM is drained by order."""
    preload: str = ""
    """model@version to have loaded while unassigned (spares)."""
    unchanged: bool = False
    """Repeats the previous order of the same stream; nothing else is set.
    A group of 32 takes 3 KB, and orders are repeated as keepalives."""


# Entries and control.


class BackendView(Message, frozen=True, omit_defaults=True):
    """A backend that entries may route to: a group's lead, or a VM."""

    backend: str
    """Group id for a model group, VM id for a plain service."""
    service: ids.ServiceId
    vm: ids.VmId
    incarnation: ids.Incarnation
    fence: ids.FencingNumber
    control_address: str
    data_address: str
    data_centre: ids.DataCentreId
    kind: BackendKind = BackendKind.ENGINE


class EntryStatus(Message, frozen=True, omit_defaults=True):
    """An entry's announcement and, repeated, its heartbeat to control."""

    entry: ids.EntryId
    data_centre: ids.DataCentreId
    confirmed_version: ids.ConfigurationVersion
    in_flight: int = 0
    sequence: int = 0
    """Counts the statuses on one stream, from 1."""


class ClusterView(Message, frozen=True, omit_defaults=True):
    """What control tells an entry, each time after a quorum round.

    Fields that are None have not changed since the previous view on the
    same stream.
    """

    version: ids.ConfigurationVersion
    configuration: schema.Configuration | None = None
    backends: tuple[BackendView, ...] | None = None
    entry_count: int = 1
    echo: int = 0
    """Sequence of the last EntryStatus that control had received before
    the quorum round began; 0 if control does not tell."""


# Register of non-repeatable calls.


class Answer(Message, frozen=True, omit_defaults=True):
    """Recorded answer of a backend server."""

    status: int
    content_type: str
    body: bytes


class ClaimRequest(Message, frozen=True, omit_defaults=True):
    """Claims a key for one dispatch to one backend server."""

    customer: ids.CustomerId
    key: str
    service: ids.ServiceId
    digest: bytes
    """SHA-256 over method, path and body."""
    permit: ids.PermitId
    vm: ids.VmId
    incarnation: ids.Incarnation
    address: str
    """gRPC address of the agent, for a later Void."""


class LookupRequest(Message, frozen=True, omit_defaults=True):
    """Reads the state of a key."""

    customer: ids.CustomerId
    key: str


class ClaimReply(Message, frozen=True, omit_defaults=True):
    """State of a key, with the claim it has and the answer, if any."""

    state: ClaimState
    permit: ids.PermitId = ids.PermitId("")
    vm: ids.VmId = ids.VmId("")
    incarnation: ids.Incarnation = ids.Incarnation("")
    address: str = ""
    answer: Answer | None = None


class ConcludeRequest(Message, frozen=True, omit_defaults=True):
    """Records the answer of a permit, or (answer None) its cancellation.

    A cancellation is sent only once the permit is void or was refused
    unused by its agent.
    """

    customer: ids.CustomerId
    key: str
    permit: ids.PermitId
    answer: Answer | None = None


class ConcludeReply(Message, frozen=True, omit_defaults=True):
    """State of the key after a ConcludeRequest."""

    state: ClaimState


# Lead agents and members.


class Ping(Message, frozen=True, omit_defaults=True):
    """A lead's heartbeat to one member."""

    group: ids.GroupId
    fence: ids.FencingNumber
    sequence: int
    drained: bool = False
    """A member is leaving, and the lead neither takes calls nor has any in
    flight, so the member may stop."""


class Pong(Message, frozen=True, omit_defaults=True):
    """A member's answer, echoing the sequence of the ping."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    fence: ids.FencingNumber
    sequence: int
    state: MemberState


# Entries and agents.


class BackendWatch(Message, frozen=True, omit_defaults=True):
    """Opens a stream of load reports."""

    entry: ids.EntryId


class CacheEvent(Message, frozen=True, omit_defaults=True):
    """A prompt prefix entered or left an engine's cache."""

    sequence: int
    prefix: bytes
    present: bool


class LoadReport(Message, frozen=True, omit_defaults=True):
    """An agent's periodic report to an entry; also its keepalive."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    fence: ids.FencingNumber
    serving: bool
    leaving: bool
    load: Load
    cache_sequence: int = 0
    """Sequence number of the last event that the agent has applied."""
    cache_complete: bool = False
    """True if cache_events replace all that the entry knows."""
    cache_events: tuple[CacheEvent, ...] = ()


class VoidRequest(Message, frozen=True, omit_defaults=True):
    """Asks an agent to void a permit if it is unused."""

    permit: ids.PermitId
    incarnation: ids.Incarnation


class VoidReply(Message, frozen=True, omit_defaults=True):
    """State of the permit; only VOIDED allows a cancellation."""

    state: PermitState


class HeadReport(Message, frozen=True):
    """What a gateway has seen of one backend server."""

    backend: ids.BackendId
    in_flight: int
    unread_tokens: int
    """Prompt tokens of requests whose first byte is awaited."""
    reached_ms: int
    """Time since its last byte or accepted connection; -1 for never."""
    silent_ms: int = 0
    """For how long it has sent nothing although work is in hand."""
    refused: bool = False
    """True if its address refused the last connection."""
    service: ids.ServiceId = ids.ServiceId("")
    group: str = ""
    """The group that it leads, as the gateway was told."""


class GatewayReport(Message, frozen=True):
    """State of a gateway, for the leader."""

    gateway: ids.EntryId
    data_centre: ids.DataCentreId
    sequence: int
    version: int
    requests: int
    """Callers' requests since its start."""
    heads: tuple[HeadReport, ...] = ()


class ServedBackend(Message, frozen=True):
    """A backend server or head of a group that takes requests."""

    backend: ids.BackendId
    address: str
    service: ids.ServiceId
    data_centre: ids.DataCentreId
    slots: int
    model: str = ""
    group: str = ""
    read_per_s: float = 0.0
    """Prompt tokens that it reads in a second; 0 if that is not known."""


class Elsewhere(Message, frozen=True):
    """Load that other gateways have put on a backend server."""

    backend: ids.BackendId
    in_flight: int
    unread_tokens: int


class GatewayView(Message, frozen=True):
    """What the leader tells a gateway; unchanged parts are left out."""

    term: int
    version: int
    catalog: catalog_module.Catalog | None = None
    backends: tuple[ServedBackend, ...] | None = None
    """All that the gateway is to use; in the first view of a stream."""
    changed: tuple[ServedBackend, ...] = ()
    """New ones, and those of which something has changed since."""
    removed: tuple[ids.BackendId, ...] = ()
    settled: bool = True
    """False while the leader has not heard of all backend servers; only a
    gateway that knows none uses the list then."""
    load: tuple[Elsewhere, ...] = ()
    gateways: int = 1
    voters: tuple[str, ...] = ()
    """Addresses of the voters, to look for a later leader."""


class JoinRequest(Message, frozen=True):
    """A voter asks to take part."""

    voter: ids.VoterId
    address: str


class JoinReply(Message, frozen=True):
    """Whether the voter is, or will be, one of the voters."""

    accepted: bool
