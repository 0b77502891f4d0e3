"""Checks whether a server may get a request now.

Each check is a function that is registered by a decorator. Admission control
asks all of them before it chooses a server.
"""

import collections.abc
import typing

from flamingocleat.version import candidates as candidates_module

if typing.TYPE_CHECKING:
    from flamingocleat.request import admission as admission_module

Check = collections.abc.Callable[
    ["admission_module.Admission", candidates_module.Candidate, float], bool
]

CHECKS: dict[str, Check] = {}
"""Registered checks by name."""


def register(name: str) -> collections.abc.Callable[[Check], Check]:
    """Return a decorator that registers a check under a name."""

    def add(check: Check) -> Check:
        CHECKS[name] = check
        return check

    return add


def may_get_request(
    admission: "admission_module.Admission",
    candidate: candidates_module.Candidate,
    now_s: float,
) -> bool:
    """Return whether all checks allow a request to a server now."""
    return all(check(admission, candidate, now_s) for check in CHECKS.values())


@register("notices")
def _accepts(
    _admission: "admission_module.Admission",
    candidate: candidates_module.Candidate,
    now_s: float,
) -> bool:
    return candidate.accepts(now_s)
