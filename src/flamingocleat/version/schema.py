"""Types of an operator's configuration document."""

import enum

import msgspec

from flamingocleat import ids


class ServiceKind(enum.Enum):
    """Kind of program that answers a service's calls."""

    MODEL = "model"
    PLAIN = "plain"


class StaleConfiguration(enum.Enum):
    """What an entry does when its configuration is no longer confirmed."""

    REFUSE = "refuse"
    SERVE = "serve"


class Section(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Base class of all sections of a configuration."""


class DataCentre(
    Section, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A data centre and its region."""

    name: ids.DataCentreId
    region: str


class ModelGroup(
    Section, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A set of identical replicas, each of which spans one or more VMs."""

    name: str
    service: ids.ServiceId
    model: str
    model_version: str
    vms_per_replica: int
    replicas: int
    data_centres: tuple[ids.DataCentreId, ...]
    spares: int = 0
    """Unassigned VMs per fabric domain that are kept with the model loaded."""


class CallRule(Section, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Whether calls of one method under a path may be repeated."""

    method: str
    path: str
    """Prefix of the path below the service."""
    repeatable: bool


class Service(Section, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A service that customers call."""

    name: ids.ServiceId
    kind: ServiceKind
    timeout_ms: int = 30_000
    max_timeout_ms: int = 600_000
    max_body_bytes: int = 1_048_576
    calls: tuple[CallRule, ...] = ()
    """The first matching rule applies. Without a match, GET and HEAD are
    repeatable and other methods are not."""


class Customer(Section, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A customer that calls one or more services."""

    name: ids.CustomerId
    key_sha256: tuple[str, ...]
    """Hexadecimal SHA-256 hash of each valid bearer key."""
    weight: int = 1
    priority: int = 3
    """Default urgency as in RFC 9218, from 0 (most urgent) to 7 (least)."""
    services: tuple[ids.ServiceId, ...]


class OperatorKey(
    Section, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A person or program that may change the configuration."""

    name: ids.OperatorId
    key_sha256: str


class Policy(Section, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The operator's placement weights and handling of stale configurations."""

    downtime_weight: float = 1.0
    stranded_weight: float = 1.0
    stale_configuration: StaleConfiguration = StaleConfiguration.REFUSE
    staleness_limit_s: float = 3.0


class Configuration(
    Section, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """The complete configuration of one operator."""

    operator: str
    data_centres: tuple[DataCentre, ...]
    services: tuple[Service, ...]
    model_groups: tuple[ModelGroup, ...] = ()
    customers: tuple[Customer, ...] = ()
    operators: tuple[OperatorKey, ...] = ()
    policy: Policy = Policy()
