"""Routes, services, engines and customers of a gateway deployment."""

import enum

import msgspec

from flamingocleat import ids

NO_VERSION = -1
"""Stands for the version where there is no configuration."""


class CallKind(enum.Enum):
    """Whether and how a call may be repeated."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    """Runs at most once per request."""
    STREAM = "stream"


class Model(msgspec.Struct, frozen=True):
    """A model that groups of VMs of a service can serve."""

    name: str
    size: int
    """Number of VMs in a group."""
    share: float
    """Fraction of the service's work that is for this model."""
    pace: float
    """Factor by which the model scales all of the engine's times."""
    load_s: float
    """Time to load the weights from the store."""
    warm_s: float
    """Time to load the weights from the VM's own memory."""


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """Cost model of the engines of one service."""

    slots: int
    kv_tokens: int
    stride: int
    """Token steps per pass, and tokens per event of a stream."""
    step_ms: float
    sequence_ms: float
    """Added to a step for each stream that is being written."""
    context_ms: float
    """Added to a step for each 1000 tokens of context being written."""
    read_per_s: float
    """Prompt tokens read per second."""
    chunk_tokens: int
    """Maximum number of prompt tokens read per step."""
    loads_per_s: float
    """Rate at which loads from the store may start."""
    loads_at_once: int
    """Concurrent loads that run at full speed."""
    form_s: float
    """Time from the order to open until a group serves."""
    cross_domain_factor: float
    """Factor on the times of a group that spans fabric domains."""
    mean_prompt_tokens: float
    mean_answer_tokens: float
    models: tuple[Model, ...]

    def bounded(self) -> "Engine":
        """Return the engine with all values clamped to usable ranges.

        A configuration may contain values that are zero or negative. Some are
        used as divisors, and a model of size 0 could be placed forever.
        """
        return msgspec.structs.replace(
            self,
            slots=max(1, self.slots),
            step_ms=max(0.0, self.step_ms),
            sequence_ms=max(0.0, self.sequence_ms),
            read_per_s=max(1.0, self.read_per_s),
            loads_per_s=max(0.0, self.loads_per_s),
            cross_domain_factor=max(1.0, self.cross_domain_factor),
            models=tuple(each for each in self.models if each.size >= 1),
        )

    def find_model(self, name: str) -> Model | None:
        """Return the model of this name, or None."""
        for model in self.models:
            if model.name == name:
                return model
        return None


class Service(msgspec.Struct, frozen=True, omit_defaults=True):
    """A kind of backend server."""

    name: ids.ServiceId
    max_connections: int
    engine: Engine | None = None
    cold_start_s: float = 0.0
    """How long a server is cold after its start."""
    cold_per_s: float = 0.0
    """Requests per second that it tolerates while cold; 0: never cold."""


class Target(msgspec.Struct, frozen=True):
    """A service that receives a weighted fraction of a route's requests."""

    service: ids.ServiceId
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Rules for the requests with one host and path prefix."""

    name: str
    host: str
    prefix: str
    kind: CallKind
    timeout_s: float
    objective_s: float
    """Target for the time to the first byte of a response."""
    gap_s: float = 0.0
    """Target for the longest pause within a stream."""
    priority: int = 1
    """0 is the highest."""
    targets: tuple[Target, ...]
    max_attempts: int = 1
    """Maximum number of backend servers that a request is sent to."""
    anonymous: bool = False
    resumable: bool = False


class Customer(msgspec.Struct, frozen=True):
    """A customer, identified by any of its keys."""

    name: ids.CustomerId
    keys: tuple[str, ...]
    priority: int | None = None


class Limits(msgspec.Struct, frozen=True):
    """Bounds on what a caller may send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


UNCONFIGURED_LIMITS = Limits(
    max_header_bytes=262_144, max_body_bytes=16_777_216
)
"""Limits until the first configuration is known, which may allow more than the
default does."""


class Catalog(msgspec.Struct, frozen=True):
    """One version of the complete configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    customers: tuple[Customer, ...]
    limits: Limits = Limits()
    requires_keys: bool = True


class CatalogIndex:
    """Index for lookups in one catalog."""

    def __init__(self, catalog: Catalog) -> None:
        self.catalog = catalog
        self.services = {each.name: each for each in catalog.services}
        self.routes: dict[str, list[Route]] = {}
        for route in catalog.routes:
            self.routes.setdefault(route.host.lower(), []).append(route)
        for routes in self.routes.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self.customers = {
            key: customer
            for customer in catalog.customers
            for key in customer.keys
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        for route in self.routes.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_customer(self, key: str) -> Customer | None:
        """Return the customer with this key, or None."""
        return self.customers.get(key)


def check(catalog: Catalog) -> list[str]:
    """Return the errors in a catalog, each with its location."""
    findings = []
    services = {service.name for service in catalog.services}
    routes_by_prefix: dict[tuple[str, str], str] = {}
    for route in catalog.routes:
        where = f"route {route.name!r}"
        findings.extend(_route_findings(route, where, services))
        host_prefix = (route.host.lower(), route.prefix)
        if host_prefix in routes_by_prefix:
            findings.append(
                f"{where}: host and prefix are those of "
                f"{routes_by_prefix[host_prefix]!r}"
            )
        routes_by_prefix[host_prefix] = route.name
    holders: dict[str, str] = {}
    for customer in catalog.customers:
        for key in customer.keys:
            if holders.get(key, customer.name) != customer.name:
                findings.append(
                    f"customer {customer.name!r}: shares a key with "
                    f"{holders[key]!r}"
                )
            holders[key] = customer.name
    return findings


def _route_findings(
    route: Route, where: str, services: set[ids.ServiceId]
) -> list[str]:
    findings = [
        f"{where}: service {target.service!r} is unknown"
        for target in route.targets
        if target.service not in services
    ]
    if sum(target.weight for target in route.targets) <= 0:
        findings.append(f"{where}: the weights add up to 0")
    if any(target.weight < 0 for target in route.targets):
        findings.append(f"{where}: a weight is negative")
    if route.timeout_s <= 0:
        findings.append(f"{where}: the timeout is 0")
    return findings
