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
    """Kind of backend server that an agent serves."""

    ENGINE = "engine"
    PLAIN = "plain"


class MemberState(enum.Enum):
    """Progress of an agent towards serving its assignment."""

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
    """State of an idempotency key in the register."""

    UNKNOWN_KEY = "unknown-key"
    CLAIMED = "claimed"
    """Claimed by this request, which may dispatch with its permit."""
    PENDING = "pending"
    """Claimed earlier, with no answer recorded yet."""
    ANSWERED = "answered"
    CANCELLED = "cancelled"
    CONFLICT = "conflict"
    """The key was used with another body or service."""
    EXPIRED = "expired"


class Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """Base of all messages."""


# Consensus, between voters.


class LogEntry(Message, frozen=True, omit_defaults=True):
    """One entry of the replicated log; the command is MessagePack."""

    index: int
    term: int
    command: bytes
    voters: dict[ids.VoterId, str] | None = None
    """Voters and their addresses from this entry on; None if unchanged."""
    outgoing: dict[ids.VoterId, str] | None = None
    """Former voters, whose majority is also required during a replacement."""


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
    packed_entries: bytes = b""
    """Entries, compressed, in place of the others. A voter that does not read
    them takes the request for a heartbeat and confirms no entry."""


class AppendReply(Message, frozen=True, omit_defaults=True):
    """Answers an AppendRequest.

    On failure, next_index is the entry from which the leader should continue.
    """

    term: int
    success: bool
    voter: ids.VoterId
    match_index: int
    next_index: int
    reads_packed: bool = False
    """Whether the voter reads compressed entries."""


class SnapshotRequest(Message, frozen=True, omit_defaults=True):
    """Replaces the state of a follower that lags behind the log's start."""

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


# Between agents and control.


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
    """Service that a plain backend server belongs to."""
    accelerators: int = 0
    checks_fencing: bool = False
    state: MemberState = MemberState.UNASSIGNED
    fence: ids.FencingNumber = ids.FencingNumber(0)
    serving: bool = False
    """True for a lead whose members are all fresh, and for a plain service
    that responds."""
    leaving: bool = False
    loaded: tuple[str, ...] = ()
    """Models in memory, as model@version."""
    load: Load = Load()
    in_flight: int = 0
    """Calls that a lead is still forwarding while it or a member leaves, else
    0. Control may release the group once it is 0."""


class AgentOrder(Message, frozen=True, omit_defaults=True):
    """Control's orders for one agent; also serves as session keepalive."""

    assignment: Assignment | None = None
    """Current assignment, or None. An agent ignores an assignment with a
    lower fencing number than its own."""
    leave: bool = False
    """True if an operator has ordered the VM to drain."""
    preload: str = ""
    """model@version that a spare should load while it is unassigned."""
    unchanged: bool = False
    """Repeats the previous order of the same stream; no other field is set.

    An order for a group of 32 takes 3 KB, and orders are repeated as
    keepalives.
    """


# Between entries and control.


class BackendView(Message, frozen=True, omit_defaults=True):
    """A backend that entries may route to: a group's lead or a plain VM."""

    backend: str
    """Group id of a model group, or VM id of a plain service."""
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
    """Number of this status on its stream, counted from 1."""


class ClusterView(Message, frozen=True, omit_defaults=True):
    """Cluster state that control sends to an entry after each quorum round.

    A field that is None has not changed since the previous view on the same
    stream.
    """

    version: ids.ConfigurationVersion
    configuration: schema.Configuration | None = None
    backends: tuple[BackendView, ...] | None = None
    entry_count: int = 1
    echo: int = 0
    """Sequence of the last EntryStatus that control had received before the
    quorum round began; 0 if control does not report it."""


# Register of non-repeatable calls, between entries and control.


class Answer(Message, frozen=True, omit_defaults=True):
    """Recorded answer of a backend server."""

    status: int
    content_type: str
    body: bytes


class ClaimRequest(Message, frozen=True, omit_defaults=True):
    """Claims an idempotency key for one dispatch to one backend server."""

    customer: ids.CustomerId
    key: str
    service: ids.ServiceId
    digest: bytes
    """SHA-256 of method, path and body."""
    permit: ids.PermitId
    vm: ids.VmId
    incarnation: ids.Incarnation
    address: str
    """gRPC address of the agent, for a later VoidRequest."""


class LookupRequest(Message, frozen=True, omit_defaults=True):
    """Reads the state of a key."""

    customer: ids.CustomerId
    key: str


class ClaimReply(Message, frozen=True, omit_defaults=True):
    """State of a key, with its claim and answer, if any."""

    state: ClaimState
    permit: ids.PermitId = ids.PermitId("")
    vm: ids.VmId = ids.VmId("")
    incarnation: ids.Incarnation = ids.Incarnation("")
    address: str = ""
    answer: Answer | None = None


class ConcludeRequest(Message, frozen=True, omit_defaults=True):
    """Records the answer to a permit's call, or its cancellation.

    An answer of None is a cancellation. It is sent only once the agent has
    voided the permit or refused it unused.
    """

    customer: ids.CustomerId
    key: str
    permit: ids.PermitId
    answer: Answer | None = None


class ConcludeReply(Message, frozen=True, omit_defaults=True):
    """State of the key after a ConcludeRequest."""

    state: ClaimState


# Between the lead and the other members of a group.


class Ping(Message, frozen=True, omit_defaults=True):
    """A lead's heartbeat to one member."""

    group: ids.GroupId
    fence: ids.FencingNumber
    sequence: int
    drained: bool = False
    """True if a member is leaving and the lead neither accepts calls nor has
    any in flight, so that the member may stop."""


class Pong(Message, frozen=True, omit_defaults=True):
    """A member's answer, which echoes the sequence of the ping."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    fence: ids.FencingNumber
    sequence: int
    state: MemberState


# Between entries and agents.


class BackendWatch(Message, frozen=True, omit_defaults=True):
    """Opens a stream of load reports."""

    entry: ids.EntryId


class CacheEvent(Message, frozen=True, omit_defaults=True):
    """A prompt prefix was added to or evicted from an engine's cache."""

    sequence: int
    prefix: bytes
    present: bool


class LoadReport(Message, frozen=True, omit_defaults=True):
    """An agent's periodic report to an entry; also serves as keepalive."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    fence: ids.FencingNumber
    serving: bool
    leaving: bool
    load: Load
    cache_sequence: int = 0
    """Sequence number of the last cache event that the agent applied."""
    cache_complete: bool = False
    """True if cache_events are the whole cache and replace the entry's copy."""
    cache_events: tuple[CacheEvent, ...] = ()


class VoidRequest(Message, frozen=True, omit_defaults=True):
    """Asks an agent to void a permit that is unused."""

    permit: ids.PermitId
    incarnation: ids.Incarnation


class VoidReply(Message, frozen=True, omit_defaults=True):
    """State of the permit; only VOIDED allows a cancellation."""

    state: PermitState


# Between gateways and the leader.


class PaceSums(Message, frozen=True):
    """Times that one gateway has measured at one backend server.

    The sums grow for as long as the gateway lists the server, so that a lost
    report loses nothing.
    """

    samples: int
    observed_ms: float
    expected_ms: float
    """What the same work takes by the engine's cost model or, for plain
    servers, takes on average at this gateway."""
    load: float
    """Sum over the samples of the requests in flight at the server."""


class HeadReport(Message, frozen=True):
    """A gateway's observations of one backend server."""

    backend: ids.BackendId
    in_flight: int
    unread_tokens: int
    """Prompt tokens of requests that still wait for the first byte."""
    reached_ms: int
    """Time since its last byte or accepted connection; -1 if never."""
    silent_ms: int = 0
    """Time for which it has sent nothing with requests in flight."""
    refused: bool = False
    """True if its address refused the last connection."""
    service: ids.ServiceId = ids.ServiceId("")
    group: str = ""
    """Group that it leads, according to the gateway's view."""
    born_ms: int = 0
    """Start of its lifetime as Unix time; 0 if unknown."""
    pace: PaceSums | None = None
    """Measured times, if there are any."""


class PriorityDemand(Message, frozen=True):
    """Those of a model's requests that have one priority."""

    priority: int
    requested: int
    refused: int
    late: int
    """Requests that got a slot too late to be on time."""


class ModelDemand(Message, frozen=True):
    """Callers' requests for one model, or for a service without models."""

    service: ids.ServiceId
    model: str
    requested: int
    """Requests since the gateway started, without those sent again."""
    refused: int
    """Those of them that found no slot in time."""
    by_priority: tuple[PriorityDemand, ...] = ()
    """The same by priority; empty from gateways of earlier builds."""


class WaitingRequests(Message, frozen=True):
    """Requests for one model that wait for a slot."""

    service: ids.ServiceId
    model: str
    priority: int
    count: int


class SentRequest(Message, frozen=True):
    """A request that a server had not answered as it ended."""

    digest: ids.RequestDigest
    sent_ms: int
    """Time since it was sent there, for the first time."""


class ServerEnd(Message, frozen=True):
    """A server that ended while requests without an answer were in flight."""

    group: str
    """The group of a head, or the lifetime of another server."""
    ended_ms: int
    """Time since then."""
    parts: tuple[ids.PromptPart, ...]
    """Parts of the prompts of those requests."""
    requests: tuple[SentRequest, ...] = ()


class WrittenPart(Message, frozen=True):
    """A part of prompts, or a request, that a server has begun to answer."""

    part: ids.Suspect
    written_ms: int
    """Time since the last answer began."""


class CrashEvidence(Message, frozen=True):
    """Ends of servers, and what is known to have ended none."""

    ends: tuple[ServerEnd, ...] = ()
    written: tuple[WrittenPart, ...] = ()


NO_LIMIT = -1.0
"""Stands for the limit of a server that names none."""


class ServerLimit(Message, frozen=True):
    """What a server has said to a gateway of the requests that it takes."""

    backend: ids.BackendId
    born_ms: int
    """Start of the lifetime that said it."""
    per_s: float
    """Requests per second from all gateways; NO_LIMIT if it names no limit."""
    sent_ms: int
    """Age of the request whose answer says so."""
    heard_ms: int
    """Age of that answer."""


class ColdWanted(Message, frozen=True):
    """A server that needs grants, and what a gateway would send to it."""

    backend: ids.BackendId
    wanted: int = 0
    cold_ms: int = 0
    """Remaining cold time that the server stated in an answer."""


class ColdReport(Message, frozen=True):
    """What a gateway that knows cold or limited servers tells the leader."""

    servers: tuple[ColdWanted, ...] = ()
    """All servers that it treats as cold or limited."""
    gateways: int = 1
    """Gateways that it has heard of; a new leader may not know all yet."""


class ColdGrant(Message, frozen=True):
    """Requests that a gateway may send to a cold or limited server."""

    backend: ids.BackendId
    requests: int


class GatewayReport(Message, frozen=True):
    """State of a gateway, reported to the leader."""

    gateway: ids.EntryId
    data_centre: ids.DataCentreId
    sequence: int
    version: int
    requests: int
    """Callers' requests since the gateway started."""
    heads: tuple[HeadReport, ...] = ()
    demand: tuple[ModelDemand, ...] = ()
    packed: bytes = b""
    """A ReportBody, compressed; replaces the fields that it has."""
    reads_packed: bool = False
    """Whether the gateway reads compressed views."""
    crashes: CrashEvidence | None = None
    """All that the gateway knows, if that has changed."""
    cold_wanted: ColdReport | None = None
    waiting: tuple[WaitingRequests, ...] = ()
    """Its callers' requests that wait for a slot, by priority."""
    limits: tuple[ServerLimit, ...] = ()
    """What listed servers have said to it of their limits."""


class ReportBody(Message, frozen=True):
    """The bulky fields of a GatewayReport."""

    heads: tuple[HeadReport, ...] = ()
    demand: tuple[ModelDemand, ...] = ()


class ServedBackend(Message, frozen=True):
    """A backend server, or the head of a group, that serves requests."""

    backend: ids.BackendId
    address: str
    service: ids.ServiceId
    data_centre: ids.DataCentreId
    slots: int
    model: str = ""
    group: str = ""
    read_per_s: float = 0.0
    """Prompt tokens that it processes per second; 0 if unknown."""
    born_ms: int = 0
    """Start of its lifetime as Unix time; 0 if unknown."""
    cold_ms: int = 0
    """Remaining time for which it counts as cold, from the view's arrival on,
    unless a later view says that it is warm."""
    cold_per_s: float = 0.0
    """Requests per second that it tolerates while cold; 0: never cold."""
    pace: float = 1.0
    """Time that its work takes as a multiple of the declared time."""
    limit_per_s: float = NO_LIMIT
    """Requests per second that it takes from all gateways, as it has said."""


class OtherGatewaysLoad(Message, frozen=True):
    """Load on a backend server that comes from other gateways."""

    backend: ids.BackendId
    in_flight: int
    unread_tokens: int


class EvacuatedDataCentre(Message, frozen=True):
    """A data centre whose servers get no requests."""

    data_centre: ids.DataCentreId
    hand_over_ms: int = 0
    """Remaining time for which heads there that are still listed may get the
    requests that no other server has room for."""


class GatewayView(Message, frozen=True):
    """Fleet state sent to a gateway; unchanged parts are omitted."""

    term: int
    version: int
    catalog: catalog_module.Catalog | None = None
    backends: tuple[ServedBackend, ...] | None = None
    """All servers that the gateway may use; only in a stream's first view."""
    changed: tuple[ServedBackend, ...] = ()
    """Servers that were added or have changed since the previous view."""
    removed: tuple[ids.BackendId, ...] = ()
    settled: bool = True
    """False while not all backend servers have announced themselves to the
    leader; until then, only a gateway that knows no servers uses the list."""
    load: tuple[OtherGatewaysLoad, ...] = ()
    gateways: int = 1
    voters: tuple[str, ...] = ()
    """Addresses of the voters, for finding a new leader later."""
    packed: bytes = b""
    """A ViewBody, compressed; replaces the fields that it has."""
    packed_catalog: bytes = b""
    """The catalog, compressed; replaces it."""
    reads_packed: bool = False
    """Whether the leader reads compressed reports."""
    crashes: CrashEvidence | None = None
    """All that the gateways know, if that has changed."""
    withdrawn: tuple[ids.BackendId, ...] = ()
    """Servers that drain or have left, until the view is settled: the gateway
    may know them from another leader."""
    evacuated: tuple[EvacuatedDataCentre, ...] = ()
    """All evacuated data centres, also before the view is settled."""
    grants: tuple[ColdGrant, ...] = ()
    echo: int = 0
    """Sequence of the report that the grants answer."""
    waiting_elsewhere: tuple[WaitingRequests, ...] = ()
    """For each model, the most urgent requests that wait at other gateways."""


class ViewBody(Message, frozen=True):
    """The bulky fields of a GatewayView."""

    backends: tuple[ServedBackend, ...] | None = None
    changed: tuple[ServedBackend, ...] = ()
    removed: tuple[ids.BackendId, ...] = ()
    load: tuple[OtherGatewaysLoad, ...] = ()


class JoinRequest(Message, frozen=True):
    """A voter's request to join the voters."""

    voter: ids.VoterId
    address: str


class JoinReply(Message, frozen=True):
    """Answers a JoinRequest; true if the voter is or will be a member."""

    accepted: bool


class LeaveRequest(Message, frozen=True):
    """The request of a voter that is stopping to leave the voters."""

    voter: ids.VoterId


class LeaveReply(Message, frozen=True):
    """Answers a LeaveRequest; true if a voter was dropped."""

    accepted: bool
