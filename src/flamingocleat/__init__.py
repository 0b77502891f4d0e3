"""Serving system for models whose replicas span several VMs.

The coordination parts that other programs may embed are re-exported here.
They are imported at first use, since an agent that needs none of them has
only 40 MB of memory.
"""

import importlib
import typing

_EXPORTS = {
    "Consensus": "flamingocleat.process.consensus",
    "Machine": "flamingocleat.version.machine",
    "Membership": "flamingocleat.process.membership",
    "Register": "flamingocleat.version.register",
    "Role": "flamingocleat.process.consensus",
    "Storage": "flamingocleat.process.storage",
}

__all__ = sorted(_EXPORTS)


def __getattr__(name: str) -> typing.Any:
    """Import a re-exported name at its first use."""
    if name not in _EXPORTS:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = getattr(importlib.import_module(_EXPORTS[name]), name)
    globals()[name] = value
    return value


def __dir__() -> list[str]:
    """Return the names that are here, re-exports included."""
    return sorted(set(globals()) | set(_EXPORTS))
