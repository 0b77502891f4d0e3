"""The takeover of a stream whose server is silent by another server.

Silence does not tell a server that has lost a member from one that pauses. So
the first answer stays until the second has written the next event, and ends the
second if it goes on itself.
"""

import asyncio
import collections.abc
import time

from flamingocleat.process import logs
from flamingocleat.request import direct_attempt as attempts

_log = logs.logger("forward")

RETRY_INTERVAL_S = 0.5
"""Time between the beginnings of two takeovers of one stream. Each counts in
the retry budget, also if it sends nothing."""

Outcome = attempts.AttemptError | None
"""Why an attempt failed; None if it served the call."""


class Takeover:
    """A second attempt in progress beside the first."""

    def __init__(
        self,
        source: attempts.Attempt,
        work: collections.abc.Coroutine[None, None, Outcome],
        release: collections.abc.Callable[[float], None],
    ) -> None:
        """Begin it.

        Args:
            source: The attempt that is silent.
            work: Serves the call by another server.
            release: Called at the end, also of work that never began, with the
                time in seconds for which the other server's slot was taken.
        """
        self.source = source
        """The attempt that is silent."""
        self.begun_s = time.monotonic()
        self.task = asyncio.create_task(work)
        # A task that is cancelled before it runs enters none of its blocks.
        self.task.add_done_callback(
            lambda _task: release(time.monotonic() - self.begun_s)
        )

    @property
    def may_repeat(self) -> bool:
        """Return whether another takeover may begin."""
        return (
            self.task.done()
            and time.monotonic() - self.begun_s >= RETRY_INTERVAL_S
        )

    async def finish(self, error: attempts.AttemptError) -> Outcome:
        """Wait until it ends; return why the call failed, or None.

        Args:
            error: Why the first attempt failed, which counts if the second was
                not sent.
        """
        outcome = await self.task
        is_unsent = (
            outcome is not None and outcome.failure is attempts.Failure.NOT_SENT
        )
        return error if is_unsent else outcome

    def cancel(self) -> None:
        """End it if it is in progress."""
        if not self.task.done():
            self.task.cancel()
        elif not self.task.cancelled() and (error := self.task.exception()):
            logs.warning(
                _log,
                "takeover_failed",
                request=self.source.request_id,
                reason=logs.describe(error),
            )
