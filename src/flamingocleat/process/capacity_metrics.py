"""Metrics and log lines on the capacity of each model's groups."""

import collections
import collections.abc

import prometheus_client

from flamingocleat import ids
from flamingocleat.process import logs
from flamingocleat.version import demand as demand_module
from flamingocleat.version import group as group_module
from flamingocleat.version import groups as groups_module
from flamingocleat.version import pace as pace_module
from flamingocleat.version import room
from flamingocleat.version import service_survey

_log = logs.logger("coordinator")

_GROUPS = prometheus_client.Gauge(
    "flamingocleat_coordinator_groups", "Groups that serve"
)
_VMS = prometheus_client.Gauge(
    "flamingocleat_coordinator_vms",
    "VMs of services with model groups, by what they are used for",
    ["service", "use"],
)
_PLACES = prometheus_client.Gauge(
    "flamingocleat_coordinator_places",
    "Requests that open groups should have in hand",
    ["service", "model"],
)
_PLACES_TAKEN = prometheus_client.Gauge(
    "flamingocleat_coordinator_places_taken",
    "Requests that open groups have in hand",
    ["service", "model"],
)
_ROOM_LOSS = prometheus_client.Gauge(
    "flamingocleat_coordinator_room_loss",
    "Value that callers lose per second, in calls of priority 0",
    ["service", "model"],
)
_ROOM_CHANGES = prometheus_client.Gauge(
    "flamingocleat_coordinator_room_changes",
    "Changes of VMs between models in this leader's term, by outcome",
    ["service", "outcome"],
)
_ROOM_RESERVED = prometheus_client.Gauge(
    "flamingocleat_coordinator_room_reserved_vms",
    "VMs reserved for a change between models",
    ["service"],
)
_SLOW_SERVERS = prometheus_client.Gauge(
    "flamingocleat_coordinator_slow_servers",
    "Servers that are slower than others of their service and model",
)
_REDUCED_SERVERS = prometheus_client.Gauge(
    "flamingocleat_coordinator_reduced_servers",
    "Servers that take fewer requests well than they declare",
)
_LOGGED_PHASES = (
    group_module.Phase.FORMING,
    group_module.Phase.OPENING,
    group_module.Phase.OPEN,
    group_module.Phase.CLOSING,
)
_LOGGED_USES = (
    service_survey.VmUse.IDLE,
    service_survey.VmUse.EMPTY,
    service_survey.VmUse.BOUND,
    service_survey.VmUse.LOST,
)

Managers = collections.abc.Mapping[ids.ServiceId, groups_module.GroupManager]


def update(managers: Managers) -> None:
    """Set the gauges to the current state of all groups."""
    _GROUPS.set(sum(len(manager.serving()) for manager in managers.values()))
    for service, manager in managers.items():
        _update_service(service, manager)


def update_paces(paces: pace_module.Paces) -> None:
    """Set the gauges of servers that differ from what they declare."""
    _SLOW_SERVERS.set(sum(each.is_slow for each in paces.servers.values()))
    _REDUCED_SERVERS.set(len(paces.reduced_slots()))


def _update_service(
    service: ids.ServiceId, manager: groups_module.GroupManager
) -> None:
    for use in service_survey.VmUse:
        _VMS.labels(service, use.value).set(manager.vms_by_use[use])
    for outcome in room.Outcome:
        _ROOM_CHANGES.labels(service, outcome.value).set(
            manager.room.outcomes[outcome]
        )
    _ROOM_RESERVED.labels(service).set(len(manager.room.reserved()))
    if manager.engine is None:
        return
    for model in manager.engine.models:
        _ROOM_LOSS.labels(service, model.name).set(
            manager.room.losses.get(model.name, 0.0)
        )
    capacity = {model.name: 0 for model in manager.engine.models}
    in_flight = dict(capacity)
    for group in manager.serving():
        if group.model in capacity:
            capacity[group.model] += manager.capacity(group)
            in_flight[group.model] += manager.in_flight.get(group.head, 0)
    for name, count in capacity.items():
        _PLACES.labels(service, name).set(count)
        _PLACES_TAKEN.labels(service, name).set(in_flight[name])


def log_capacity(
    managers: Managers, demand: demand_module.DemandTotals
) -> None:
    """Log the capacity of each model beside what callers ask of it."""
    for service, manager in managers.items():
        if manager.engine is not None and manager.has_traffic:
            _log_service(service, manager, demand)


def _log_service(
    service: ids.ServiceId,
    manager: groups_module.GroupManager,
    demand: demand_module.DemandTotals,
) -> None:
    assert manager.engine is not None
    uses = {use.value: manager.vms_by_use[use] for use in _LOGGED_USES}
    for model in manager.engine.models:
        groups = [g for g in manager.groups.values() if g.model == model.name]
        phases = collections.Counter(group.phase for group in groups)
        serving = [g for g in manager.serving() if g.model == model.name]
        requested, refused = demand.take(service, model.name)
        logs.info(
            _log,
            "capacity",
            service=service,
            model=model.name,
            **{phase.value: phases[phase] for phase in _LOGGED_PHASES},
            slots=sum(map(manager.capacity, serving)),
            in_flight=sum(manager.in_flight.get(g.head, 0) for g in serving),
            requested=requested,
            refused=refused,
            short=model.name in manager.short_models,
            held=manager.holders[model.name],
            **uses,
        )
