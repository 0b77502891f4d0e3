"""Faulty documents are refused with all findings and their positions."""

import pytest

from flamingocleat import errors
from flamingocleat.process import settings
from flamingocleat.version import document

_ENTRY = """\
entry: entry-1
data_centre: praha-a
listen: 127.0.0.1:8080
control: ["127.0.0.1:7001"]
"""


def test_reads_valid_settings():
    """A valid file must not be refused."""
    entry = document.parse(_ENTRY, "e.yaml", settings.EntrySettings)
    assert entry.control == ("127.0.0.1:7001",)
    assert entry.subset_size == 16


def test_reports_all_findings_with_their_positions():
    """All findings must be reported at once.

    If the report stopped at the first, each fault would cost another run.
    """
    text = _ENTRY + "colour: red\nthreads: many\n"
    with pytest.raises(errors.DocumentError) as error_info:
        document.parse(text, "e.yaml", settings.EntrySettings)
    positions = [(f.line, f.column) for f in error_info.value.findings]
    assert positions == [(5, 1), (6, 10)]


@pytest.mark.parametrize("text", ["", "a: [", "- 1", "\x00"])
def test_rejects_text_that_is_no_mapping(text):
    """Text that is not a mapping must give a finding, not a traceback."""
    with pytest.raises(errors.DocumentError):
        document.parse(text, "e.yaml", settings.EntrySettings)
