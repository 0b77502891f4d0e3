"""Importing the package loads no submodules, and its re-exports work."""

import subprocess
import sys

import flamingocleat
from flamingocleat.process import storage


def test_import_loads_no_part():
    """Importing the package must load no submodules.

    An agent has 40 MB of memory and must not load the consensus code.
    """
    code = (
        "import sys, flamingocleat;"
        "print([m for m in sys.modules if m.startswith('flamingocleat.')])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code],
        env={"PYTHONPATH": "src"},
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout.strip() == "[]"


def test_re_exports_can_be_imported():
    """A renamed class must not leave a dangling re-export."""
    assert flamingocleat.Storage is storage.Storage
    for name in flamingocleat.__all__:
        assert getattr(flamingocleat, name).__name__ == name
