"""Processor time and memory of a process, and line fits."""

import os
import pathlib
import statistics
import typing

import msgspec

_TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Return the user and system time that a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * _TICK_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB (10^6 bytes)."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    line = next(x for x in text.splitlines() if x.startswith("VmRSS:"))
    return int(line.split()[1]) * 1024 / 1e6


class Fit(msgspec.Struct):
    """A line fitted through measured points: intercept + slope * size."""

    slope: float
    intercept: float
    r_squared: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit(points: typing.Sequence[tuple[float, float]]) -> Fit:
    """Return the least-squares line through (size, value) points."""
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    line = statistics.linear_regression(sizes, values)
    mean = statistics.fmean(values)
    total = sum((value - mean) ** 2 for value in values)
    residual = sum(
        (value - line.intercept - line.slope * size) ** 2
        for size, value in points
    )
    r_squared = 1.0 - residual / total if total else 1.0
    return Fit(line.slope, line.intercept, r_squared)
