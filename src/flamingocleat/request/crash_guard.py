"""Keeps requests from servers that would end as they begin to write on them.

Handles a burst of such requests at any gateway, beside sound ones that had to
be sent again since the same server ended. A request with a suspect part waits
until other gateways had time to prove it sound, and is then tried alone, at
the head with the fewest streams. What is known to end servers is refused.
"""

import asyncio
import collections
import collections.abc
import contextlib
import time

import prometheus_client

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat.process import logs
from flamingocleat.version import crashes as crashes_module

_log = logs.logger("crash_guard")

PROOF_WAIT_S = 0.3
"""Time for other gateways to prove a part sound; evidence takes about 0.1 s to
the leader and back."""
TRIAL_WAIT_S = 1.5
"""How long a request waits for the trial of another one."""
RETRY_AFTER_S = 1.0
"""Retry-After of a request that waited for a trial in vain."""
MAX_WRITTEN_PARTS = 4096
"""Bound on the parts that this gateway remembers as sound."""
MAX_PARTS = 16
"""Bound on the parts of one prompt that are looked at."""
MAX_PART_LENGTH = 64

_WITHHELD = prometheus_client.Counter(
    "flamingocleat_gateway_withheld",
    "Requests that are kept from servers since a part of their prompt ends or "
    "may end servers",
    ["reason"],
)


class WithheldError(errors.FlamingocleatError):
    """A request must not reach a server now."""

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


def shared_parts(text: str) -> tuple[ids.PromptPart, ...]:
    """Return the parts of a prompt that other requests may share.

    Args:
        text: ID:TOKENS for each part, in order, separated by commas. The last
            part belongs to the request alone.
    """
    names = (each.partition(":")[0].strip().lower() for each in text.split(","))
    return tuple(
        ids.PromptPart(name[:MAX_PART_LENGTH])
        for name in list(names)[:-1][:MAX_PARTS]
        if name
    )


class CrashGuard:
    """Decides which requests of one gateway may be sent."""

    def __init__(
        self,
        crashes: crashes_module.CrashRecord,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.crashes = crashes
        self.clock = clock
        self.written_s: collections.OrderedDict[ids.PromptPart, float] = (
            collections.OrderedDict()
        )
        """When servers last wrote on a part, as seen by this gateway."""
        self.on_trial: set[ids.PromptPart] = set()
        self.changed = asyncio.Event()
        crashes.subscribe(self._on_evidence)

    async def admit(
        self, parts: tuple[ids.PromptPart, ...], deadline_s: float
    ) -> tuple[ids.PromptPart, ...]:
        """Wait until a request may be sent; return its suspect parts.

        If there are any, the request is their trial.

        Raises:
            WithheldError: It must not be sent now.
        """
        until_s = min(deadline_s, self.clock() + TRIAL_WAIT_S)
        while suspects := self._suspects(parts):
            now_s = self.clock()
            ready_s = PROOF_WAIT_S + max(
                self.crashes.blames[part].last_ended_s for part in suspects
            )
            if now_s >= ready_s and self.on_trial.isdisjoint(suspects):
                return suspects
            if now_s >= until_s:
                _WITHHELD.labels(reason="suspect").inc()
                raise WithheldError(
                    f"another request tries {','.join(suspects)}", RETRY_AFTER_S
                )
            next_s = ready_s if now_s < ready_s else until_s
            await self._wait_for_change(min(next_s, until_s) - now_s)
        return ()

    @contextlib.contextmanager
    def trial(
        self, parts: tuple[ids.PromptPart, ...]
    ) -> collections.abc.Iterator[tuple[ids.PromptPart, ...]]:
        """Keep other requests with these parts waiting meanwhile."""
        self.on_trial.update(parts)
        try:
            yield parts
        finally:
            if parts:
                self.on_trial.difference_update(parts)
                self._wake()

    def record_write(self, parts: tuple[ids.PromptPart, ...]) -> None:
        """Record that a server began to write an answer."""
        now_s = self.clock()
        for part in parts:
            self.written_s[part] = now_s
            self.written_s.move_to_end(part)
            self.crashes.record_write(part, now_s)
        while len(self.written_s) > MAX_WRITTEN_PARTS:
            self.written_s.popitem(last=False)

    def record_crash(
        self, group: str, parts: tuple[ids.PromptPart, ...]
    ) -> None:
        """Record that a head ended before it began to write an answer."""
        if not parts:
            return
        self.crashes.record_crash(group, parts, self.clock())
        blames = (self.crashes.blames.get(part) for part in parts)
        logs.info(
            _log,
            "head_ended_before_answer",
            group=group,
            parts=",".join(parts),
            blame=",".join(f"{b.total:.2f}" if b else "0" for b in blames),
        )

    def _suspects(
        self, parts: tuple[ids.PromptPart, ...]
    ) -> tuple[ids.PromptPart, ...]:
        """Return the suspect parts; raise WithheldError."""
        by_verdict: dict[crashes_module.Verdict, list[ids.PromptPart]] = {
            verdict: [] for verdict in crashes_module.Verdict
        }
        for part in parts:
            by_verdict[self.crashes.verdict(part)].append(part)
        for part in by_verdict[crashes_module.Verdict.WITHHELD]:
            _WITHHELD.labels(reason="ends servers").inc()
            until_s = self.crashes.blames[part].withheld_until_s
            raise WithheldError(
                f"part {part} of the prompt ends servers",
                until_s - self.clock(),
            )
        return tuple(by_verdict[crashes_module.Verdict.SUSPECT])

    def _on_evidence(self) -> None:
        """Add what this gateway knows of blamed parts; wake who waits."""
        for part in list(self.crashes.blames):
            if part in self.written_s:
                self.crashes.record_write(part, self.written_s[part])
        self._wake()

    async def _wait_for_change(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self.changed.wait()
        except TimeoutError:
            return

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
