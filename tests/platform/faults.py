"""Registry of the faults that the soak injects."""

import collections.abc
import typing

if typing.TYPE_CHECKING:
    from tests.platform import soak

Action = collections.abc.Callable[
    ["soak.Soak"], collections.abc.Awaitable[None]
]
FAULTS: dict[str, Action] = {}


def fault(action: Action) -> Action:
    """Register a fault that a run may inject."""
    FAULTS[action.__name__] = action
    return action
