"""Settings of each program; a process reads one YAML file."""

import msgspec

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.request import budget as budget_module
from flamingocleat.version import cold as cold_module


class Settings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings that several programs share."""

    log_level: str = "INFO"


class ControlSettings(
    Settings, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of flamingocleat-control."""

    voter: ids.VoterId
    data_centre: ids.DataCentreId
    listen: str
    """gRPC address, host:port."""
    operators_listen: str
    """HTTP address for operators, host:port."""
    data_folder: str
    voters: dict[ids.VoterId, str]
    """gRPC addresses of all voters at the first start, including this one."""
    operators_addresses: dict[ids.VoterId, str] = {}
    """HTTP addresses of the voters for operators, for redirects to the leader.

    Without the leader's address, a follower responds with status 503.
    """
    snapshot_interval_entries: int = 1000
    log_memory_bytes: int = 12_582_912
    """Bytes of log entries that are kept in memory, and on disk beside the
    snapshot. A single larger entry is kept all the same."""
    bootstrap_key_sha256: str = ""
    """Hex SHA-256 of the operator key that may submit the first version."""


class EntrySettings(
    Settings, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of flamingocleat-entry."""

    entry: ids.EntryId
    data_centre: ids.DataCentreId
    listen: str
    """HTTP address for callers, host:port."""
    control: tuple[str, ...]
    """gRPC addresses of control."""
    memory_mb: float = 0.0
    """Memory that this process may use, in MB; 0 stands for 512."""
    max_descriptors: int = 0
    """File descriptors that it may open; 0 stands for 4096."""
    threads: int = 640
    """Requests served concurrently; the design load needs about 530."""
    subset_size: int = 16
    """Number of replicas of each service that this entry routes to."""
    routing_policy: str = "weighted"
    drain_notice_s: float = 5.0
    """Seconds after SIGTERM until the load balancer has noticed."""
    max_header_bytes: int = 16_384
    max_body_bytes: int = 16_777_216
    """Limit for all services; each service declares its own, lower limit."""
    retry_budget_ratio: float = 0.1
    connect_timeout_s: float = 1.0
    """Timeout for opening a connection to an agent."""
    first_byte_timeout_s: float = 15.0
    """Timeout from the dispatch of a stream until its first byte.

    It includes queueing and the processing of the prompt.
    """
    silence_timeout_s: float = 5.0
    """Timeout between bytes of a stream.

    Tokens are due every 39 ms at the 95th percentile, so a connection that
    reaches this timeout is dead.
    """
    resume_wait_s: float = 3.0
    """Time limit for finding a replica that can continue a broken stream."""
    max_answer_bytes: int = 16_777_216
    """Limit for answers that are buffered completely before they are sent."""
    caller_timeout_s: float = 30.0
    """Timeout for a caller that accepts no bytes."""


class AgentSettings(
    Settings, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of flamingocleat-agent."""

    vm: ids.VmId
    data_centre: ids.DataCentreId
    fabric_domain: ids.FabricDomainId
    kind: messages.BackendKind
    listen: str
    """gRPC address, host:port."""
    data_listen: str
    """HTTP address for calls from entries, host:port."""
    backend_url: str
    """Base URL of the engine or plain service."""
    control: tuple[str, ...]
    service: ids.ServiceId = ids.ServiceId("")
    """Service of a plain backend server."""
    accelerators: int = 0
    checks_fencing: bool = False
    """True if the engine rejects orders with an old fencing number."""
    threads: int = 64
    """Calls passed to the backend server concurrently."""


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of flamingocleat-gateway."""

    gateway: ids.EntryId
    data_centre: ids.DataCentreId
    listen: str
    """HTTP address for callers, host:port."""
    health_listen: str
    """HTTP address for the load balancer's health checks."""
    metrics_listen: str = ""
    control: tuple[str, ...]
    """gRPC addresses of the voters to contact first."""
    budget: budget_module.BudgetSettings = budget_module.BudgetSettings()
    cold: cold_module.ColdBounds = cold_module.ColdBounds()
    """How far the rate of cold servers may be exceeded in one second."""
    memory_mb: float = 0.0
    """Memory that this process may use, in MB; 0 if it is not limited."""
    max_descriptors: int = 0
    """File descriptors that it may open; 0 if they are not limited."""
    drain_notice_s: float = 3.0
    """Seconds after SIGTERM until the load balancer has noticed."""
    grace_s: float = 8.0
    """Seconds after SIGTERM until the process is killed."""
    log_level: str = "INFO"


class CoordinatorSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of flamingocleat-coordinator."""

    address: str
    """gRPC address of this voter, host:port; all voters use one port."""
    http_listen: str
    """HTTP address for operators and backend servers."""
    metrics_listen: str = ""
    data_folder: str
    bootstrap: bool
    """True only at the first start of the whole deployment."""
    seeds: tuple[str, ...]
    """gRPC addresses of the initial voters, or of some voters to contact."""
    tolerated_losses: int = 1
    """Number of machines with voters that may be lost at once."""
    memory_mb: float = 0.0
    """Memory that this process may use, in MB; 0 if it is not limited."""
    max_descriptors: int = 0
    """File descriptors that it may open; 0 if they are not limited."""
    announce_interval_s: float = 1.2
    """Interval between announcements of a backend server."""
    stall_s: float = 4.0
    """Time until a head that lost a member reports its group as broken."""
    data_centres: tuple[ids.DataCentreId, ...] = ()
    """Data centres that operators may evacuate; empty if they are not known,
    so that any name is accepted."""
    evacuate_s: float = 5.0
    """Time after the acknowledgement of an evacuation from which no request may
    reach the data centre."""
    cold: cold_module.ColdBounds = cold_module.ColdBounds()
    """How far the rate of cold servers may be exceeded in one second."""
    spares: int = 1
    """Number of VMs of each fabric domain that are kept out of groups."""
    grace_s: float = 8.0
    """Seconds after SIGTERM until the process is killed."""
    log_level: str = "INFO"


class CtlSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of flamingocleat-ctl."""

    control: tuple[str, ...]
    """HTTP addresses of control for operators."""
    key_file: str
    """File that contains the operator's bearer key."""
    timeout_s: float = 30.0
    """Time limit for a command to get a definitive answer, retries included."""
