"""A caller's request that a gateway serves."""

import time

from flamingocleat import ids
from flamingocleat.connection import http
from flamingocleat.request import admission as admission_module
from flamingocleat.request import crash_guard
from flamingocleat.request import header_names as header_names_module
from flamingocleat.request import request_digest
from flamingocleat.version import catalog


class Call:
    """A caller's request that is being served."""

    def __init__(
        self,
        exchange: http.Exchange,
        route: catalog.Route,
        customer: catalog.Customer | None,
        service: catalog.Service,
        header_names: header_names_module.HeaderNames,
        version: int = catalog.NO_VERSION,
    ) -> None:
        self.exchange = exchange
        self.version = version
        """Version of the configuration by which it is served."""
        self.route = route
        self.customer = customer
        self.service = service
        self.request_id = exchange.header(header_names.request_id)
        self.deadline_s = exchange.arrived_s + min(
            route.timeout_s, caller_timeout_s(exchange, header_names)
        )
        self.last_event_id = exchange.header(header_names.last_event_id)
        tokens = exchange.header(header_names.token_counts).partition(",")[0]
        self.demand = admission_module.Demand(
            service=service.name,
            model=(
                exchange.header(header_names.model)
                if service.engine is not None
                else ""
            ),
            priority=_priority(route, customer),
            objective_s=route.objective_s,
            deadline_s=self.deadline_s,
            arrived_s=exchange.arrived_s,
            prompt_tokens=_prompt_tokens(tokens, service),
            customer=customer.name if customer else ids.CustomerId(""),
        )
        self.parts = (
            crash_guard.shared_parts(exchange.header(header_names.prompt_parts))
            if service.engine is not None
            else ()
        )
        """Parts of its prompt that other requests may share."""
        self.digest = request_digest.digest(
            exchange.header(b"host"),
            exchange.target,
            customer.name if customer else "",
            exchange.body,
        )
        self.sent = 0
        """Number of times that the request was sent to a server."""
        self.sent_to: set[ids.BackendId] = set()
        self.may_have_run = False
        self.backend = ids.BackendId("")
        """The server that was chosen last."""
        self.first_byte_s: float | None = None

    @property
    def suspects(self) -> tuple[ids.Suspect, ...]:
        """What may end the servers that run it."""
        return (*self.parts, self.digest)

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may be sent again although it may have run."""
        if self.route.kind is catalog.CallKind.STREAM:
            return self.route.resumable
        return self.route.kind is catalog.CallKind.IDEMPOTENT

    @property
    def can_retry(self) -> bool:
        """Whether it may be retried elsewhere after the next attempt."""
        return self.is_repeatable and self.sent + 1 < self.route.max_attempts

    @property
    def excluded(self) -> frozenset[ids.BackendId]:
        """Servers that must not get the request once more.

        A faulty server may repeat its refusal while it runs the request.
        """
        return frozenset() if self.is_repeatable else frozenset(self.sent_to)

    def remaining_s(self) -> float:
        """Return the time until the deadline."""
        return self.deadline_s - time.monotonic()


def caller_timeout_s(
    exchange: http.Exchange, header_names: header_names_module.HeaderNames
) -> float:
    """Return how long the caller waits; infinite if it does not say."""
    text = exchange.header(header_names.deadline_ms)
    try:
        value = float(text) / 1000
    except ValueError:
        return float("inf") if not text else 0.0
    return value if value >= 0 else 0.0


def _prompt_tokens(text: str, service: catalog.Service) -> int:
    """Return the prompt's length as the caller gave it, or the usual one."""
    if text.isdigit():
        return int(text)
    return round(service.engine.mean_prompt_tokens) if service.engine else 0


def _priority(route: catalog.Route, customer: catalog.Customer | None) -> int:
    if customer is not None and customer.priority is not None:
        return customer.priority
    return route.priority
