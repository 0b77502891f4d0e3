"""The settings reference agrees with the code."""

import pathlib
import re

import msgspec
import pytest

from flamingocleat.process import settings
from flamingocleat.version import schema

_REFERENCE_PAGE = pathlib.Path(__file__).parent.parent / "docs" / "settings.md"
_ROW = re.compile(r"\| `(\w+)` \| [^|]+ \| `?([^|]*?)`? \| [^|]+ \|")


def _structs() -> list[type]:
    structs = [
        value
        for module in (settings, schema)
        for value in vars(module).values()
        if isinstance(value, type) and issubclass(value, msgspec.Struct)
    ]
    return [s for s in structs if s not in (settings.Settings, schema.Section)]


def _defaults_in_code(struct: type) -> dict[str, str]:
    return {
        field.encode_name: "required"
        if field.required
        else msgspec.json.encode(
            field.default_factory()
            if field.default is msgspec.NODEFAULT
            else field.default
        ).decode()
        for field in msgspec.structs.fields(struct)
    }


@pytest.mark.parametrize("struct", _structs(), ids=lambda s: s.__name__)
def test_page_has_each_key_with_its_default(struct):
    """The page must list each setting with its default.

    Operators would otherwise miss a setting or set one that does not exist.
    """
    page = _REFERENCE_PAGE.read_text(encoding="utf-8")
    _, _, after = page.partition(f"(`{struct.__name__}`)\n")
    table = after.partition("\n## ")[0]
    assert dict(_ROW.findall(table)) == _defaults_in_code(struct)
