"""Differences between two configurations, for review and audit."""

import collections.abc
import typing

import msgspec

from flamingocleat.version import schema


class Change(msgspec.Struct, frozen=True):
    """One value that differs between two configurations.

    `old` and `new` are JSON, or empty if the value is absent. The path refers
    to list items by their name, for example customers[permit-office].weight.
    """

    path: str
    old: str
    new: str

    def __str__(self) -> str:
        """Format as path: old -> new."""
        return f"{self.path}: {self.old or '-'} -> {self.new or '-'}"


def compare(
    old: schema.Configuration | None, new: schema.Configuration
) -> tuple[Change, ...]:
    """Return the changes in the order of the schema.

    The order of named list items is ignored, that of unnamed ones is not.
    """
    before = {} if old is None else msgspec.to_builtins(old)
    return tuple(_walk("", before, msgspec.to_builtins(new)))


def text(changes: collections.abc.Iterable[Change]) -> str:
    """Return one line for each change."""
    return "\n".join(str(change) for change in changes)


def _walk(
    path: str, old: typing.Any, new: typing.Any
) -> collections.abc.Iterator[Change]:
    if old == new:
        return
    if isinstance(old, dict) and isinstance(new, dict):
        for key in [*old, *(key for key in new if key not in old)]:
            child_path = f"{path}.{key}" if path else key
            yield from _walk(child_path, old.get(key), new.get(key))
    elif _is_named(old) and _is_named(new) and (old or new):
        before = {item["name"]: item for item in old or ()}
        after = {item["name"]: item for item in new or ()}
        for name in [*before, *(n for n in after if n not in before)]:
            yield from _walk(
                f"{path}[{name}]", before.get(name), after.get(name)
            )
    else:
        yield Change(path, _json(old), _json(new))


def _is_named(value: typing.Any) -> bool:
    return value is None or (
        isinstance(value, list | tuple)
        and all(isinstance(item, dict) and "name" in item for item in value)
    )


def _json(value: typing.Any) -> str:
    return "" if value is None else msgspec.json.encode(value).decode()
