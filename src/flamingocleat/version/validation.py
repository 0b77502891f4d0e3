"""Checks of an operator's configuration: syntax, references and ranges."""

import collections.abc
import math
import re
import typing

from flamingocleat import errors
from flamingocleat.version import document
from flamingocleat.version import schema

_NAME = re.compile(r"[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?")
_HASH = re.compile(r"[0-9a-f]{64}")
_METHOD = re.compile(r"[A-Z]{1,16}")

MAX_VMS_PER_REPLICA = 32
MAX_REPLICAS = 10_000
MAX_SPARES = 1_000
MAX_TIMEOUT_MS = 600_000
MAX_BODY_BYTES = 64 * 1_048_576
MAX_WEIGHT = 1_000_000
LEAST_URGENT = 7
MIN_STALENESS_LIMIT_S = 1.5
"""Equal to the silence timeout of a watch. A shorter limit would expire
between two keepalives whenever a watch is reconnected."""
MAX_STALENESS_LIMIT_S = 3_600.0

Checked = document.ExaminedDocument[schema.Configuration]


def check(text: str, file: str) -> schema.Configuration:
    """Return the configuration.

    Raises:
        DocumentError: The text has findings; the error holds all of them.
    """
    checked = document.examine(text, file, schema.Configuration)
    for rule in _RULES:
        rule(checked)
    if checked.findings:
        found = sorted(checked.findings, key=lambda f: (f.line, f.column))
        raise errors.DocumentError(found)
    return checked.value


def _sections(
    checked: Checked, key: str
) -> collections.abc.Iterator[tuple[document.Path, typing.Any]]:
    """Yield the path and struct of each item of a list that could be read."""
    for position, section in enumerate(getattr(checked.value, key) or ()):
        if section is not None:
            yield (key, position), section


def _items(
    path: document.Path, values: tuple | None
) -> collections.abc.Iterator[tuple[document.Path, typing.Any]]:
    for position, value in enumerate(values or ()):
        if value is not None:
            yield (*path, position), value


def _names(checked: Checked, key: str) -> set[str]:
    return {section.name for _, section in _sections(checked, key)}


def _check_unique(
    checked: Checked,
    values: collections.abc.Iterable[tuple[document.Path, str]],
    kind: str,
) -> None:
    seen: set[str] = set()
    for path, value in values:
        if value in seen:
            checked.add(path, f"{kind} {value!r} is repeated", "keep one")
        seen.add(value)


def _check_range(
    checked: Checked,
    path: document.Path,
    value: float | None,
    minimum: float,
    maximum: float,
) -> None:
    if value is None or minimum <= value <= maximum:
        return
    remedy = f"give a value from {minimum} to {maximum}"
    checked.add(path, f"{path[-1]} is {value}", remedy)


def _check_name(checked: Checked, path: document.Path, name: str) -> None:
    if name is not None and not _NAME.fullmatch(name):
        checked.add(
            path,
            f"{name!r} is not a valid name",
            "use 1 to 63 of a-z, 0-9, '.', '_' and '-', and begin and end "
            "with a letter or digit",
        )


def _check_text(checked: Checked, path: document.Path, text: str) -> None:
    if text is not None and (not text or "@" in text or not text.isprintable()):
        checked.add(
            path, f"{path[-1]} is {text!r}", "give printable text without '@'"
        )


def _check_hash(checked: Checked, path: document.Path, value: str) -> None:
    if not _HASH.fullmatch(value):
        checked.add(
            path,
            f"{value!r} is not a SHA-256 hash",
            "give 64 hex digits in lower case, as sha256sum prints them",
        )


def _check_names(checked: Checked) -> None:
    _check_name(checked, ("operator",), checked.value.operator)
    for key in (
        "data_centres",
        "services",
        "model_groups",
        "customers",
        "operators",
    ):
        named = [
            ((*path, "name"), section.name)
            for path, section in _sections(checked, key)
            if section.name is not None
        ]
        for path, name in named:
            _check_name(checked, path, name)
        _check_unique(checked, named, "name")


def _check_data_centres(checked: Checked) -> None:
    if checked.value.data_centres == ():
        checked.add(("data_centres",), "there is no data centre", "declare one")
    for path, data_centre in _sections(checked, "data_centres"):
        _check_name(checked, (*path, "region"), data_centre.region)


def _check_services(checked: Checked) -> None:
    services_with_groups = {
        group.service for _, group in _sections(checked, "model_groups")
    }
    for path, service in _sections(checked, "services"):
        if (
            service.kind is schema.ServiceKind.MODEL
            and service.name not in services_with_groups
        ):
            checked.add(
                path,
                f"model service {service.name!r} has no model group",
                "declare a model group for it",
            )
        maximum = service.max_timeout_ms
        _check_range(
            checked, (*path, "max_timeout_ms"), maximum, 1, MAX_TIMEOUT_MS
        )
        _check_range(
            checked,
            (*path, "timeout_ms"),
            service.timeout_ms,
            1,
            MAX_TIMEOUT_MS if maximum is None else maximum,
        )
        _check_range(
            checked,
            (*path, "max_body_bytes"),
            service.max_body_bytes,
            1,
            MAX_BODY_BYTES,
        )
        for rule_path, rule in _items((*path, "calls"), service.calls):
            _check_call_rule(checked, rule_path, rule)


def _check_call_rule(
    checked: Checked, path: document.Path, rule: schema.CallRule
) -> None:
    if rule.method is not None and not _METHOD.fullmatch(rule.method):
        checked.add(
            (*path, "method"),
            f"{rule.method!r} is not an HTTP method",
            "write the method in capitals, for example POST",
        )
    if rule.path is not None and not rule.path.startswith("/"):
        checked.add(
            (*path, "path"),
            f"path {rule.path!r} does not begin with '/'",
            "write the path below the service, for example /renewals",
        )


def _check_model_groups(checked: Checked) -> None:
    kinds = {s.name: s.kind for _, s in _sections(checked, "services")}
    known = _names(checked, "data_centres")
    for path, group in _sections(checked, "model_groups"):
        _check_group_service(checked, path, group, kinds)
        for key in ("model", "model_version"):
            _check_text(checked, (*path, key), getattr(group, key))
        for key, minimum, maximum in (
            ("vms_per_replica", 1, MAX_VMS_PER_REPLICA),
            ("replicas", 1, MAX_REPLICAS),
            ("spares", 0, MAX_SPARES),
        ):
            value = getattr(group, key)
            _check_range(checked, (*path, key), value, minimum, maximum)
        if group.data_centres == ():
            checked.add(
                (*path, "data_centres"),
                f"model group {group.name!r} has no data centre",
                "name at least one",
            )
        _check_references(
            checked,
            list(_items((*path, "data_centres"), group.data_centres)),
            known,
            "data centre",
        )


def _check_group_service(
    checked: Checked,
    path: document.Path,
    group: schema.ModelGroup,
    kinds: dict[typing.Any, schema.ServiceKind],
) -> None:
    if group.service is None:
        return
    if group.service not in kinds:
        checked.add(
            (*path, "service"),
            f"service {group.service!r} is not declared",
            "declare it under services or correct the name",
        )
    elif kinds[group.service] is schema.ServiceKind.PLAIN:
        checked.add(
            (*path, "service"),
            f"service {group.service!r} is a plain service",
            "name a service of kind model",
        )


def _check_references(
    checked: Checked,
    references: list[tuple[document.Path, str]],
    known: set[str],
    kind: str,
) -> None:
    for path, name in references:
        if name not in known:
            checked.add(
                path,
                f"{kind} {name!r} is not declared",
                "declare it or correct the name",
            )
    _check_unique(checked, references, kind)


def _check_customers(checked: Checked) -> None:
    known = _names(checked, "services")
    for path, customer in _sections(checked, "customers"):
        _check_range(checked, (*path, "weight"), customer.weight, 1, MAX_WEIGHT)
        _check_range(
            checked, (*path, "priority"), customer.priority, 0, LEAST_URGENT
        )
        if customer.key_sha256 == ():
            checked.add(
                (*path, "key_sha256"),
                f"customer {customer.name!r} has no key",
                "give the hash of at least one key",
            )
        _check_references(
            checked,
            list(_items((*path, "services"), customer.services)),
            known,
            "service",
        )


def _check_keys(checked: Checked) -> None:
    """Check that each key belongs to only one customer or operator."""
    keys = [
        found
        for path, customer in _sections(checked, "customers")
        for found in _items((*path, "key_sha256"), customer.key_sha256)
    ]
    keys += [
        ((*path, "key_sha256"), operator.key_sha256)
        for path, operator in _sections(checked, "operators")
        if operator.key_sha256 is not None
    ]
    for path, value in keys:
        _check_hash(checked, path, value)
    _check_unique(checked, keys, "key hash")


def _check_operators(checked: Checked) -> None:
    if checked.value.operators == ():
        checked.add(
            ("operators",),
            "there is no operator's key, so no later change could be made",
            "declare at least one under operators",
        )


def _check_policy(checked: Checked) -> None:
    policy = checked.value.policy
    if policy is None:
        return
    for key in ("downtime_weight", "stranded_weight"):
        weight = getattr(policy, key)
        if weight is not None and not 0 <= weight < math.inf:
            checked.add(
                ("policy", key),
                f"{key} is {weight}",
                "give a finite number that is not negative",
            )
    if policy.downtime_weight == 0 and policy.stranded_weight == 0:
        checked.add(
            ("policy",), "both weights are 0", "give one a positive weight"
        )
    _check_range(
        checked,
        ("policy", "staleness_limit_s"),
        policy.staleness_limit_s,
        MIN_STALENESS_LIMIT_S,
        MAX_STALENESS_LIMIT_S,
    )


_RULES: tuple[collections.abc.Callable[[Checked], None], ...] = (
    _check_names,
    _check_data_centres,
    _check_services,
    _check_model_groups,
    _check_customers,
    _check_keys,
    _check_operators,
    _check_policy,
)
