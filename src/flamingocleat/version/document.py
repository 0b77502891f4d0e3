"""YAML documents with the place of each value, and their findings."""

import enum
import pathlib
import types
import typing

import msgspec
import yaml

from flamingocleat import errors

T = typing.TypeVar("T", bound=msgspec.Struct)


def load(path: str, document_type: type[T]) -> T:
    """Read a YAML file; raise DocumentError with all findings."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.DocumentError(
            [errors.Finding(path, 1, 1, str(error), "give a readable file")]
        ) from error
    return parse(text, path, document_type)


def parse(text: str, file: str, document_type: type[T]) -> T:
    """Read YAML text; raise DocumentError with all findings."""
    reader = _Reader(file)
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        raise errors.DocumentError([_syntax_finding(file, error)]) from error
    except yaml.YAMLError as error:
        raise errors.DocumentError(
            [errors.Finding(file, 1, 1, str(error), "correct the YAML")]
        ) from error
    if node is None:
        raise errors.DocumentError(
            [errors.Finding(file, 1, 1, "document is empty", "fill it in")]
        )
    value = reader.read(node, document_type)
    if reader.findings:
        raise errors.DocumentError(reader.findings)
    return typing.cast(T, value)


def _syntax_finding(file: str, error: yaml.MarkedYAMLError) -> errors.Finding:
    mark = error.problem_mark or error.context_mark
    line, column = (mark.line + 1, mark.column + 1) if mark else (1, 1)
    problem = error.problem or "invalid YAML"
    return errors.Finding(file, line, column, problem, "correct the YAML")


class _Reader:
    """Converts YAML nodes to structs and collects findings."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.findings: list[errors.Finding] = []

    def add(self, node: yaml.Node, message: str, remedy: str) -> None:
        mark = node.start_mark
        self.findings.append(
            errors.Finding(
                self.file, mark.line + 1, mark.column + 1, message, remedy
            )
        )

    def read(self, node: yaml.Node, expected: typing.Any) -> typing.Any:
        if isinstance(expected, type) and issubclass(expected, msgspec.Struct):
            return self.read_struct(node, expected)
        origin = typing.get_origin(expected)
        if origin is tuple:
            return self.read_tuple(node, typing.get_args(expected)[0])
        if origin is dict:
            return self.read_dict(node, typing.get_args(expected)[1])
        if origin in (types.UnionType, typing.Union):
            members = [
                a for a in typing.get_args(expected) if a is not type(None)
            ]
            return self.read(node, members[0])
        return self.read_scalar(node, expected)

    def read_struct(
        self, node: yaml.Node, expected: type[msgspec.Struct]
    ) -> msgspec.Struct | None:
        if not isinstance(node, yaml.MappingNode):
            self.add(node, "expected a mapping", "write key: value lines")
            return None
        fields = {f.encode_name: f for f in msgspec.structs.fields(expected)}
        values: dict[str, typing.Any] = {}
        before = len(self.findings)
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
                values[key] = self.read(value_node, fields[key].type)
        for name, field in fields.items():
            if field.required and name not in values:
                self.add(node, f"key {name!r} is missing", f"add {name}")
        if len(self.findings) > before:
            return None
        return expected(**values)

    def read_tuple(self, node: yaml.Node, item: typing.Any) -> tuple:
        if not isinstance(node, yaml.SequenceNode):
            self.add(node, "expected a list", "write a YAML list")
            return ()
        return tuple(self.read(child, item) for child in node.value)

    def read_dict(self, node: yaml.Node, item: typing.Any) -> dict:
        if not isinstance(node, yaml.MappingNode):
            self.add(node, "expected a mapping", "write key: value lines")
            return {}
        return {str(k.value): self.read(v, item) for k, v in node.value}

    def read_scalar(self, node: yaml.Node, expected: typing.Any) -> typing.Any:
        if not isinstance(node, yaml.ScalarNode):
            self.add(node, "expected a single value", "write one value")
            return None
        expected = getattr(expected, "__supertype__", expected)
        if expected is str:
            return str(node.value)
        value = yaml.safe_load(node.value) if node.value else node.value
        try:
            return msgspec.convert(value, expected, strict=True)
        except msgspec.ValidationError as error:
            self.add(node, str(error), _remedy(expected))
            return None


def _remedy(expected: typing.Any) -> str:
    if isinstance(expected, type) and issubclass(expected, enum.Enum):
        return "use one of " + ", ".join(str(m.value) for m in expected)
    return f"give a value of type {getattr(expected, '__name__', expected)}"
