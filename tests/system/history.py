"""Histories of concurrent operations and a linearizability checker."""

import threading
import time
import typing

import msgspec

_NEVER_S = float("inf")


class Operation(msgspec.Struct):
    """One operation: when it was called and answered, and with what.

    An operation without a known outcome has ended_s infinite and output
    None; it may have taken effect at any time after its call, or never.
    """

    name: str
    arguments: typing.Any
    started_s: float
    ended_s: float = _NEVER_S
    output: typing.Any = None

    @property
    def known(self) -> bool:
        return self.ended_s != _NEVER_S


class History:
    """Operations recorded from any thread, on one monotonic clock."""

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
"""Applies an operation to a hashable state: (output fits, next state)."""


def linearizable(
    operations: typing.Sequence[Operation], initial: typing.Any, step: Step
) -> bool:
    """Tell whether some legal order explains the operations.

    Depth-first search after Wing and Gong, with the pairs of remaining
    operations and state that were already tried left out.
    """
    seen: set[tuple[frozenset[int], typing.Any]] = set()
    everything = frozenset(range(len(operations)))
    stack = [(everything, initial)]
    while stack:
        remaining, state = stack.pop()
        if (remaining, state) in seen:
            continue
        seen.add((remaining, state))
        if not any(operations[i].known for i in remaining):
            return True
        first_end = min(operations[i].ended_s for i in remaining)
        for i in remaining:
            if operations[i].started_s > first_end:
                continue
            fits, following = step(state, operations[i])
            if fits:
                stack.append((remaining - {i}, following))
    return False


def step_configuration(
    state: int, operation: Operation
) -> tuple[bool, typing.Any]:
    """Model of the configuration: a version changed by compare-and-set.

    submit takes the base version and gives True if it was accepted; read
    gives the version.
    """
    if operation.name == "read":
        return operation.output == state, state
    wins = operation.arguments == state
    if operation.known and operation.output != wins:
        return False, state
    return True, state + 1 if wins else state
