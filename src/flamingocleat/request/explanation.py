"""Explains where a gateway would send a request now, without sending it.

Operators ask it why a server gets no requests, or why callers wait or are
refused. It reads the state that admission control decides by and changes none
of it: nothing is reserved, counted or logged.
"""

import collections.abc
import enum
import urllib.parse

import msgspec

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat.request import admission as admission_module
from flamingocleat.request import eligibility
from flamingocleat.version import candidates as candidates_module
from flamingocleat.version import catalog

PATH = "/explain"


class Decision(enum.Enum):
    """What would happen to the request now."""

    SEND = "send"
    WAIT = "wait"
    """It would wait for a slot."""
    REFUSE = "refuse"
    """It would be refused at once."""


class QuestionError(errors.FlamingocleatError):
    """The question names no request that callers could make."""


class Question(msgspec.Struct, frozen=True, kw_only=True):
    """A request that a caller could make."""

    host: str
    path: str
    model: str = ""
    customer: str = ""
    """Its priority takes precedence over the route's."""
    prompt_tokens: int | None = None
    """Length of the prompt; the service's mean if None."""


class ServerState(msgspec.Struct, frozen=True, kw_only=True):
    """One server of the request's service and model."""

    backend: ids.BackendId
    data_centre: ids.DataCentreId
    group: str
    in_flight: int
    """Requests of all gateways."""
    slots: int
    pace: float
    cost: float
    """The server with the lowest cost is chosen."""
    obstacles: tuple[str, ...]
    """Why it would not get the request."""


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """What a gateway would do with a request, and why."""

    decision: Decision
    route: str
    service: ids.ServiceId
    """A route to several services is explained for the one of most weight."""
    version: int
    """Version of the configuration."""
    priority: int
    waiting: int
    """Requests that wait for the same servers."""
    leaves_slots: bool
    """Whether free slots are left to more urgent requests elsewhere."""
    expected_wait_s: float | None
    """Expected wait for a slot; None if no server is usable."""
    chosen: ids.BackendId
    """The server that would get it, or an empty string."""
    servers: tuple[ServerState, ...]


Obstacle = collections.abc.Callable[
    [
        admission_module.Admission,
        candidates_module.Candidate,
        admission_module.Demand,
    ],
    bool,
]
OBSTACLES: dict[str, Obstacle] = {}
"""Reasons for which a server would not get a request, by name."""


def obstacle(name: str) -> collections.abc.Callable[[Obstacle], Obstacle]:
    """Return a decorator that registers a reason under a name."""

    def add(function: Obstacle) -> Obstacle:
        OBSTACLES[name] = function
        return function

    return add


@obstacle("data centre is evacuated")
def _is_evacuated(
    admission: admission_module.Admission,
    candidate: candidates_module.Candidate,
    demand: admission_module.Demand,
) -> bool:
    listed = admission.candidates.find(demand.service, demand.model)
    return candidate not in listed


@obstacle("no free slot")
def _is_full(
    _admission: admission_module.Admission,
    candidate: candidates_module.Candidate,
    _demand: admission_module.Demand,
) -> bool:
    return candidate.total >= candidate.view.slots


@obstacle("silent")
def _is_silent(
    admission: admission_module.Admission,
    candidate: candidates_module.Candidate,
    demand: admission_module.Demand,
) -> bool:
    return bool(demand.model) and candidate.is_silent(
        admission.clock(), repeatable=demand.repeatable
    )


@obstacle("avoided after a failure")
def _is_avoided(
    admission: admission_module.Admission,
    candidate: candidates_module.Candidate,
    _demand: admission_module.Demand,
) -> bool:
    return candidate.is_avoided(admission.clock())


def read_question(target: str) -> Question:
    """Decode a question from the target of an HTTP request.

    Raises:
        QuestionError: A parameter is missing, unknown or invalid.
    """
    query = urllib.parse.urlsplit(target).query
    parameters = dict(urllib.parse.parse_qsl(query))
    try:
        return msgspec.convert(parameters, Question, strict=False)
    except msgspec.ValidationError as error:
        raise QuestionError(str(error)) from error


def explain(
    question: Question,
    catalog_index: catalog.CatalogIndex | None,
    admission: admission_module.Admission,
) -> Explanation:
    """Return what would happen to a request that arrived now.

    Raises:
        QuestionError: There is no configuration, or no route or customer of
            this name.
    """
    if catalog_index is None:
        raise QuestionError("no configuration has arrived")
    route = catalog_index.find_route(question.host, question.path)
    if route is None:
        raise QuestionError(f"no route for {question.host}{question.path}")
    target = max(route.targets, key=lambda each: each.weight)
    service = catalog_index.services[target.service]
    demand = _demand(question, route, service, catalog_index, admission)
    waiting = sum(map(demand.competes_with, admission.waiting))
    leaves_slots = admission.leaves_slots(demand)
    chosen = None
    if not waiting and not leaves_slots:
        chosen = admission.choose(demand)
    decision = Decision.SEND
    if chosen is None:
        may_wait = admission.waits_until_s(demand) > admission.clock()
        decision = Decision.WAIT if may_wait else Decision.REFUSE
    wait_s = admission.expected_wait_s(demand)
    return Explanation(
        decision=decision,
        route=route.name,
        service=service.name,
        version=catalog_index.catalog.version,
        priority=demand.priority,
        waiting=waiting,
        leaves_slots=leaves_slots,
        expected_wait_s=None if wait_s == float("inf") else round(wait_s, 3),
        chosen=chosen.view.backend if chosen else ids.BackendId(""),
        servers=tuple(
            _describe(admission, candidate, demand)
            for candidate in admission.candidates.by_backend.values()
            if (candidate.view.service, candidate.view.model)
            == demand.service_model
        ),
    )


def _demand(
    question: Question,
    route: catalog.Route,
    service: catalog.Service,
    catalog_index: catalog.CatalogIndex,
    admission: admission_module.Admission,
) -> admission_module.Demand:
    priority = route.priority
    if question.customer:
        named = [
            each
            for each in catalog_index.catalog.customers
            if each.name == question.customer
        ]
        if not named:
            raise QuestionError(f"no customer {question.customer!r}")
        if named[0].priority is not None:
            priority = named[0].priority
    now_s = admission.clock()
    engine = service.engine
    tokens = question.prompt_tokens
    if tokens is None:
        tokens = round(engine.mean_prompt_tokens) if engine else 0
    return admission_module.Demand(
        service=service.name,
        model=question.model if engine else "",
        priority=priority,
        objective_s=route.objective_s,
        deadline_s=now_s + route.timeout_s,
        arrived_s=now_s,
        prompt_tokens=tokens,
    )


def _describe(
    admission: admission_module.Admission,
    candidate: candidates_module.Candidate,
    demand: admission_module.Demand,
) -> ServerState:
    now_s = admission.clock()
    view = candidate.view
    obstacles = [
        name
        for name, applies in OBSTACLES.items()
        if applies(admission, candidate, demand)
    ]
    obstacles += [
        f"held back by {name}"
        for name, allows in eligibility.CHECKS.items()
        if not allows(admission, candidate, now_s)
    ]
    return ServerState(
        backend=view.backend,
        data_centre=view.data_centre,
        group=view.group,
        in_flight=candidate.total,
        slots=view.slots,
        pace=round(view.pace, 2),
        cost=round(admission.cost(candidate, demand), 3),
        obstacles=tuple(obstacles),
    )
