"""Helpers for bidirectional gRPC streams."""

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
    """Run both directions until one ends; raise its exception, if any."""
    tasks = [asyncio.create_task(receive), asyncio.create_task(send)]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    for task in done:
        task.result()


async def run_in_task(
    work: collections.abc.Coroutine[typing.Any, typing.Any, _T],
) -> _T:
    """Run work in a separate task; return its result or raise its error.

    grpclib cancels the task that waits on a stream whose connection is lost,
    and does not undo that with uncancel(). A timeout in that task that expires
    while it unwinds then mistakes its own cancellation for an external one,
    and the reconnect loop would end silently.
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
    """Wait until the event is set, for at most timeout_s, and clear it.

    In Python 3.11, asyncio.wait_for loses a cancellation that arrives as the
    event is set, and a task that calls it in a loop would then never end.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()
    event.clear()


def grpc_error(error: errors.FlamingocleatError) -> grpclib.GRPCError:
    """Return the gRPC error for an error of this package.

    The message of FAILED_PRECONDITION is only the leader's address, which may
    be empty. UNKNOWN means that a proposal may take effect later. UNAVAILABLE
    means that nothing was proposed.
    """
    if isinstance(error, errors.NotLeaderError):
        return grpclib.GRPCError(
            grpclib.const.Status.FAILED_PRECONDITION, error.leader_hint
        )
    if isinstance(error, errors.CommitUnknownError):
        return grpclib.GRPCError(grpclib.const.Status.UNKNOWN, str(error))
    return grpclib.GRPCError(grpclib.const.Status.UNAVAILABLE, str(error))
