"""Types of an operator's configuration document."""

import enum

import msgspec

from flamingocleat import ids


class ServiceKind(enum.Enum):
    """Who answers a service's calls."""

    MODEL = "model"
    PLAIN = "plain"


class StaleConfiguration(enum.Enum):
    """What an entry does once its configuration is no longer confirmed."""

    REFUSE = "refuse"
    SERVE = "serve"


class Section(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Base of all parts of a configuration."""


class DataCentre(
    Section, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A data centre and its region."""

    name: ids.DataCentreId
    region: str


class ModelGroup(
    Section, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A set of like replicas, each of which spans several VMs."""

    name: str
    service: ids.ServiceId
    model: str
    model_version: str
    vms_per_replica: int
    replicas: int
    data_centres: tuple[ids.DataCentreId, ...]
    spares: int = 0
    """VMs per fabric domain kept loaded and unassigned."""


class CallRule(Section, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Says whether calls of one method under a path may be repeated."""

    method: str
    path: str
    """Prefix of the path below the service."""
    repeatable: bool


class Service(Section, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Something that customers call."""

    name: ids.ServiceId
    kind: ServiceKind
    timeout_ms: int = 30_000
    max_timeout_ms: int = 600_000
    max_body_bytes: int = 1_048_576
    calls: tuple[CallRule, ...] = ()
    """First match decides; else GET and HEAD are repeatable, others not."""


class Customer(Section, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A caller that shares the services."""

    name: ids.CustomerId
    key_sha256: tuple[str, ...]
    """Hex SHA-256 of each bearer key that is valid."""
    weight: int = 1
    priority: int = 3
    """Default urgency as in RFC 9218: 0 is the most urgent, 7 the least."""
    services: tuple[ids.ServiceId, ...]


class OperatorKey(
    Section, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A person or program that may change the configuration."""

    name: ids.OperatorId
    key_sha256: str


class Policy(Section, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What the operator weighs most."""

    downtime_weight: float = 1.0
    stranded_weight: float = 1.0
    stale_configuration: StaleConfiguration = StaleConfiguration.REFUSE
    staleness_limit_s: float = 3.0


class Configuration(
    Section, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """One operator's whole configuration."""

    operator: str
    data_centres: tuple[DataCentre, ...]
    services: tuple[Service, ...]
    model_groups: tuple[ModelGroup, ...] = ()
    customers: tuple[Customer, ...] = ()
    operators: tuple[OperatorKey, ...] = ()
    policy: Policy = Policy()
