"""Tables and JSON for measurements over several seeds."""

import collections.abc
import json
import pathlib
import statistics

import msgspec


class Spread(msgspec.Struct, frozen=True):
    """Mean and sample standard deviation over the seeds."""

    mean: float
    deviation: float

    def __str__(self) -> str:
        """Format as mean +- deviation."""
        return f"{self.mean:.4g} +- {self.deviation:.2g}"


def spread(values: collections.abc.Sequence[float]) -> Spread:
    """Return the spread of values, one per seed."""
    deviation = statistics.stdev(values) if len(values) > 1 else 0.0
    return Spread(statistics.mean(values), deviation)


def table(
    head: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[object]],
) -> str:
    """Format rows as a Markdown table."""
    lines = ["| " + " | ".join(head) + " |", "|" + "---|" * len(head)]
    lines.extend("| " + " | ".join(map(str, row)) + " |" for row in rows)
    return "\n".join(lines)


def write(path: str, results: object) -> None:
    """Write results as JSON, if a path is given."""
    if path:
        text = json.dumps(msgspec.to_builtins(results), indent=1)
        pathlib.Path(path).write_text(text + "\n", encoding="utf-8")
