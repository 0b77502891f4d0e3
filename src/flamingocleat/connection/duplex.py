"""Helpers for handlers of streams that carry messages both ways."""

import asyncio
import collections.abc
import contextlib
import typing

import grpclib
import grpclib.const
import grpclib.exceptions

from flamingocleat import errors

_T = typing.TypeVar("_T")

Work = collections.abc.Coroutine[typing.Any, typing.Any, None]


async def run_both(receive: Work, send: Work) -> None:
    """Run both directions until one ends; raise what ended it."""
    tasks = [asyncio.create_task(receive), asyncio.create_task(send)]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    for task in done:
        task.result()


async def run_apart(
    work: collections.abc.Coroutine[typing.Any, typing.Any, _T],
) -> _T:
    """Run work in a task of its own; return its result, or raise its error.

    grpclib cancels the task that waits on a stream whose connection is lost,
    and does not take that back. A timeout of the task that expires while it
    unwinds takes its own cancellation for one from outside then, and the loop
    that dials anew would end without a word.
    """
    task = asyncio.create_task(work)
    try:
        await asyncio.wait({task})
    except asyncio.CancelledError:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        raise
    if task.cancelled():
        raise grpclib.exceptions.StreamTerminatedError(
            "cancelled with its connection"
        )
    return task.result()


async def wait_event(event: asyncio.Event, timeout_s: float) -> None:
    """Wait until the event is set, at most for timeout_s, and clear it.

    In Python 3.11, asyncio.wait_for loses a cancellation that comes as the
    event is set, and a task that loops over it would then never end.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()
    event.clear()


def grpc_error(error: errors.FlamingocleatError) -> grpclib.GRPCError:
    """Return the gRPC form of an error.

    FAILED_PRECONDITION carries only the leader's address, which may be
    empty. UNKNOWN says that a proposal may take effect later. UNAVAILABLE
    says that nothing was proposed.
    """
    if isinstance(error, errors.NotLeaderError):
        return grpclib.GRPCError(
            grpclib.const.Status.FAILED_PRECONDITION, error.leader_hint
        )
    if isinstance(error, errors.CommitUnknownError):
        return grpclib.GRPCError(grpclib.const.Status.UNKNOWN, str(error))
    return grpclib.GRPCError(grpclib.const.Status.UNAVAILABLE, str(error))
