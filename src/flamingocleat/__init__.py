"""Serving system for models whose replicas span several VMs.

Re-exports the coordination classes that other programs may embed. They are
imported lazily, since an agent needs none of them and has only 40 MB of
memory.
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
    """Import a re-exported name on first use."""
    if name not in _EXPORTS:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = getattr(importlib.import_module(_EXPORTS[name]), name)
    globals()[name] = value
    return value


def __dir__() -> list[str]:
    """Return all module attributes, including re-exports."""
    return sorted(set(globals()) | set(_EXPORTS))
