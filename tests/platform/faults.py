"""Registry of the faults that the soak injects."""

import collections.abc
import random
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


def draw(
    seed: int, names: collections.abc.Iterable[str]
) -> collections.abc.Iterator[tuple[str, float]]:
    """Yield faults without end, each with the time until the next one.

    The order depends only on the seed and the names, and not on the speed of
    the machine.
    """
    generator = random.Random(seed)
    ordered = sorted(names)
    while True:
        yield generator.choice(ordered), generator.uniform(0.1, 2.0)
