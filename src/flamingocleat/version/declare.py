"""Library for operators to declare a configuration and print it as YAML.

    site = declare.Site("kontejnery", notes=["Reviewed by the night shift."])
    praha = site.data_centre("praha-a", "cz-central")
    drafting = site.model_service("drafting-llm")
    site.model_group("drafting", drafting, model="drafter", model_version="7",
                     vms_per_replica=4, replicas=24, data_centres=[praha])
    site.customer("permit-office", [sha256], [drafting], weight=4)
    site.operator("jana", sha256)
    print(site.yaml(), end="")

The same declarations always give the same text, so that changes can be
reviewed as text differences. `options` are fields of the structs in
version/schema.py.
"""

import collections.abc
import hashlib
import typing

import msgspec
import yaml

from flamingocleat import ids
from flamingocleat.version import schema
from flamingocleat.version import validation


def key_sha256(key: str) -> str:
    """Return the hash of a bearer key.

    Meant for examples only, because the key itself is needed.
    """
    return hashlib.sha256(key.encode()).hexdigest()


def repeatable(method: str, path: str) -> schema.CallRule:
    """Declare that calls of a method under a path may be repeated."""
    return schema.CallRule(method=method, path=path, repeatable=True)


def not_repeatable(method: str, path: str) -> schema.CallRule:
    """Declare that calls of a method under a path run at most once."""
    return schema.CallRule(method=method, path=path, repeatable=False)


class Site:
    """Builder of one operator's configuration."""

    def __init__(
        self, operator: str, notes: collections.abc.Iterable[str] = ()
    ) -> None:
        self.operator_name = operator
        self.notes = tuple(notes)
        self.data_centres: list[schema.DataCentre] = []
        self.services: list[schema.Service] = []
        self.model_groups: list[schema.ModelGroup] = []
        self.customers: list[schema.Customer] = []
        self.operators: list[schema.OperatorKey] = []
        self.declared_policy = schema.Policy()

    def data_centre(self, name: str, region: str) -> ids.DataCentreId:
        """Declare a data centre."""
        section = schema.DataCentre(name=ids.DataCentreId(name), region=region)
        self.data_centres.append(section)
        return section.name

    def model_service(self, name: str, **options: typing.Any) -> ids.ServiceId:
        """Declare a service whose calls are answered by model engines."""
        return self._service(name, schema.ServiceKind.MODEL, options)

    def plain_service(
        self,
        name: str,
        calls: collections.abc.Iterable[schema.CallRule] = (),
        **options: typing.Any,
    ) -> ids.ServiceId:
        """Declare a plain service; the first call rule that matches applies."""
        options["calls"] = tuple(calls)
        return self._service(name, schema.ServiceKind.PLAIN, options)

    def model_group(
        self,
        name: str,
        service: ids.ServiceId,
        *,
        data_centres: collections.abc.Iterable[ids.DataCentreId],
        **options: typing.Any,
    ) -> None:
        """Declare the replicas of one model."""
        self.model_groups.append(
            schema.ModelGroup(
                name=name,
                service=service,
                data_centres=tuple(data_centres),
                **options,
            )
        )

    def customer(
        self,
        name: str,
        keys_sha256: collections.abc.Iterable[str],
        services: collections.abc.Iterable[ids.ServiceId],
        **options: typing.Any,
    ) -> None:
        """Declare a customer by the hashes of its bearer keys."""
        self.customers.append(
            schema.Customer(
                name=ids.CustomerId(name),
                key_sha256=tuple(keys_sha256),
                services=tuple(services),
                **options,
            )
        )

    def operator(self, name: str, key_hash: str) -> None:
        """Declare an operator who may change the configuration."""
        self.operators.append(
            schema.OperatorKey(name=ids.OperatorId(name), key_sha256=key_hash)
        )

    def policy(self, **options: typing.Any) -> None:
        """Declare the policy."""
        self.declared_policy = schema.Policy(**options)

    def configuration(self) -> schema.Configuration:
        """Return the configuration without checks."""
        return schema.Configuration(
            operator=self.operator_name,
            data_centres=tuple(self.data_centres),
            services=tuple(self.services),
            model_groups=tuple(self.model_groups),
            customers=tuple(self.customers),
            operators=tuple(self.operators),
            policy=self.declared_policy,
        )

    def yaml(self) -> str:
        """Return the document as YAML text.

        Raises:
            DocumentError: The configuration has findings; the error holds
                all of them.
        """
        comments = "".join(f"# {note}".rstrip() + "\n" for note in self.notes)
        text = comments + yaml.safe_dump(
            _to_yaml_value(self.configuration()),
            sort_keys=False,
            allow_unicode=True,
        )
        validation.check(text, self.operator_name)
        return text

    def _service(
        self,
        name: str,
        kind: schema.ServiceKind,
        options: dict[str, typing.Any],
    ) -> ids.ServiceId:
        section = schema.Service(name=ids.ServiceId(name), kind=kind, **options)
        self.services.append(section)
        return section.name


def _to_yaml_value(value: typing.Any) -> typing.Any:
    """Return a value for the YAML writer, without fields at their default."""
    if isinstance(value, msgspec.Struct):
        return {
            field.encode_name: _to_yaml_value(part)
            for field in msgspec.structs.fields(value)
            for part in (getattr(value, field.name),)
            if field.required or part != field.default
        }
    if isinstance(value, tuple):
        return [_to_yaml_value(part) for part in value]
    return msgspec.to_builtins(value)
