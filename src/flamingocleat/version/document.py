"""Reading of YAML documents, with the location of each value and findings."""

import enum
import pathlib
import types
import typing

import msgspec
import yaml

from flamingocleat import errors

T = typing.TypeVar("T", bound=msgspec.Struct)


def load(path: str, document_type: type[T]) -> T:
    """Read a YAML file.

    Raises:
        DocumentError: The document has findings; the error holds all of them.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.DocumentError(
            [errors.Finding(path, 1, 1, str(error), "give a readable file")]
        ) from error
    return parse(text, path, document_type)


def parse(text: str, file: str, document_type: type[T]) -> T:
    """Read YAML text.

    Raises:
        DocumentError: The document has findings; the error holds all of them.
    """
    examined = examine(text, file, document_type)
    if examined.findings:
        raise errors.DocumentError(examined.findings)
    return examined.value


Path = tuple[str | int, ...]
"""Keys and list positions from the root of a document to a value."""


class ExaminedDocument(typing.Generic[T]):
    """A document with its findings and the location of each value.

    A value that is missing or has the wrong type is None.
    """

    def __init__(self, file: str, value: T, reader: "_Reader") -> None:
        self.file = file
        self.value = value
        self.locations = reader.locations
        self.findings = reader.findings

    def add(self, path: Path, message: str, remedy: str) -> None:
        """Add a finding at a value, or at its nearest ancestor if absent."""
        while path and path not in self.locations:
            path = path[:-1]
        line, column = self.locations.get(path, (1, 1))
        self.findings.append(
            errors.Finding(self.file, line, column, message, remedy)
        )


def examine(
    text: str, file: str, document_type: type[T]
) -> ExaminedDocument[T]:
    """Read YAML text and collect its findings.

    Raises:
        DocumentError: The text is not valid YAML or not a mapping.
    """
    reader = _Reader(file)
    node = _compose(text, file)
    if node is None:
        raise errors.DocumentError(
            [errors.Finding(file, 1, 1, "document is empty", "fill it in")]
        )
    value = reader.read(node, document_type, ())
    if value is None:
        raise errors.DocumentError(reader.findings)
    return ExaminedDocument(file, typing.cast(T, value), reader)


def _compose(text: str, file: str) -> yaml.Node | None:
    try:
        return yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        raise errors.DocumentError([_syntax_finding(file, error)]) from error
    except (yaml.YAMLError, RecursionError) as error:
        raise errors.DocumentError(
            [errors.Finding(file, 1, 1, str(error), "correct the YAML")]
        ) from error


def _syntax_finding(file: str, error: yaml.MarkedYAMLError) -> errors.Finding:
    mark = error.problem_mark or error.context_mark
    line, column = (mark.line + 1, mark.column + 1) if mark else (1, 1)
    problem = error.problem or "invalid YAML"
    return errors.Finding(file, line, column, problem, "correct the YAML")


class _Reader:
    """Converts YAML nodes to structs and collects the findings."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.findings: list[errors.Finding] = []
        self.locations: dict[Path, tuple[int, int]] = {}

    def add(self, node: yaml.Node, message: str, remedy: str) -> None:
        mark = node.start_mark
        self.findings.append(
            errors.Finding(
                self.file, mark.line + 1, mark.column + 1, message, remedy
            )
        )

    def read(
        self, node: yaml.Node, expected: typing.Any, path: Path
    ) -> typing.Any:
        mark = node.start_mark
        self.locations[path] = (mark.line + 1, mark.column + 1)
        if isinstance(expected, type) and issubclass(expected, msgspec.Struct):
            return self.read_struct(node, expected, path)
        origin = typing.get_origin(expected)
        if origin is tuple:
            return self.read_tuple(node, typing.get_args(expected)[0], path)
        if origin is dict:
            return self.read_dict(node, typing.get_args(expected)[1], path)
        if origin in (types.UnionType, typing.Union):
            members = [
                a for a in typing.get_args(expected) if a is not type(None)
            ]
            return self.read(node, members[0], path)
        return self.read_scalar(node, expected)

    def read_struct(
        self, node: yaml.Node, expected: type[msgspec.Struct], path: Path
    ) -> msgspec.Struct | None:
        if not isinstance(node, yaml.MappingNode):
            self.add(node, "expected a mapping", "write key: value lines")
            return None
        fields = {f.encode_name: f for f in msgspec.structs.fields(expected)}
        values: dict[str, typing.Any] = {}
        for key_node, value_node in node.value:
            key = str(key_node.value)
            if key not in fields:
                known = ", ".join(sorted(fields))
                self.add(
                    key_node, f"unknown key {key!r}", f"use one of {known}"
                )
            elif key in values:
                self.add(key_node, f"key {key!r} is repeated", "keep one")
            else:
                values[key] = self.read(
                    value_node, fields[key].type, (*path, key)
                )
        for name, field in fields.items():
            if field.required and name not in values:
                self.add(node, f"key {name!r} is missing", f"add {name}")
                values[name] = None
        return expected(**values)

    def read_tuple(
        self, node: yaml.Node, item: typing.Any, path: Path
    ) -> tuple | None:
        if not isinstance(node, yaml.SequenceNode):
            self.add(node, "expected a list", "write a YAML list")
            return None
        return tuple(
            self.read(child, item, (*path, position))
            for position, child in enumerate(node.value)
        )

    def read_dict(
        self, node: yaml.Node, item: typing.Any, path: Path
    ) -> dict | None:
        if not isinstance(node, yaml.MappingNode):
            self.add(node, "expected a mapping", "write key: value lines")
            return None
        return {
            str(key.value): self.read(value, item, (*path, str(key.value)))
            for key, value in node.value
        }

    def read_scalar(self, node: yaml.Node, expected: typing.Any) -> typing.Any:
        if not isinstance(node, yaml.ScalarNode):
            self.add(node, "expected a single value", "write one value")
            return None
        expected = getattr(expected, "__supertype__", expected)
        if expected is str:
            return str(node.value)
        try:
            value = yaml.safe_load(node.value) if node.value else node.value
            return msgspec.convert(value, expected, strict=True)
        except (yaml.YAMLError, RecursionError, ValueError) as error:
            self.add(node, str(error).partition("\n")[0], _remedy(expected))
            return None


def _remedy(expected: typing.Any) -> str:
    if isinstance(expected, type) and issubclass(expected, enum.Enum):
        return "use one of " + ", ".join(str(m.value) for m in expected)
    return f"give a value of type {getattr(expected, '__name__', expected)}"
