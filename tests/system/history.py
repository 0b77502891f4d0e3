"""Histories of concurrent operations and a linearizability checker."""

import threading
import time
import typing

import msgspec

_NOT_ENDED_S = float("inf")


class Operation(msgspec.Struct):
    """An operation with its arguments, output, and start and end times.

    An operation whose outcome is unknown has an infinite `ended_s` and the
    output None; it may take effect at any time after its start, or never.
    """

    name: str
    arguments: typing.Any
    started_s: float
    ended_s: float = _NOT_ENDED_S
    output: typing.Any = None

    @property
    def has_outcome(self) -> bool:
        return self.ended_s != _NOT_ENDED_S


class History:
    """Thread-safe record of operations, timed by one monotonic clock."""

    def __init__(self) -> None:
        self.operations: list[Operation] = []
        self.lock = threading.Lock()

    def begin(self, name: str, arguments: typing.Any) -> Operation:
        operation = Operation(name, arguments, time.monotonic())
        with self.lock:
            self.operations.append(operation)
        return operation

    def end(self, operation: Operation, output: typing.Any) -> None:
        operation.output = output
        operation.ended_s = time.monotonic()


Step = typing.Callable[[typing.Any, Operation], tuple[bool, typing.Any]]
"""Applies an operation to a hashable state.

Returns whether the output of the operation is legal, and the next state.
"""


def linearizable(
    operations: typing.Sequence[Operation], initial: typing.Any, step: Step
) -> bool:
    """Return whether some legal sequential order explains the operations.

    Depth-first search by the algorithm of Wing and Gong. Pairs of remaining
    operations and state that were visited before are skipped.
    """
    seen: set[tuple[frozenset[int], typing.Any]] = set()
    all_indices = frozenset(range(len(operations)))
    stack = [(all_indices, initial)]
    while stack:
        remaining, state = stack.pop()
        if (remaining, state) in seen:
            continue
        seen.add((remaining, state))
        if not any(operations[i].has_outcome for i in remaining):
            return True
        first_end_s = min(operations[i].ended_s for i in remaining)
        for i in remaining:
            if operations[i].started_s > first_end_s:
                continue
            output_fits, next_state = step(state, operations[i])
            if output_fits:
                stack.append((remaining - {i}, next_state))
    return False


def step_configuration(
    state: int, operation: Operation
) -> tuple[bool, typing.Any]:
    """Model the configuration as a version changed by compare-and-set.

    The argument of `submit` is the base version and its output is True if the
    change was accepted; the output of `read` is the version.
    """
    if operation.name == "read":
        return operation.output == state, state
    accepted = operation.arguments == state
    if operation.has_outcome and operation.output != accepted:
        return False, state
    return True, state + 1 if accepted else state
