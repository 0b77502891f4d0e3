"""Keeps requests from servers that would end as they begin to write on them.

Handles a burst of such requests at any gateway, beside sound ones that had to
be sent again since the same server ended. A request with a suspect part waits
until other gateways had time to prove it sound. What is suspect is tried alone,
at the server with the fewest requests. What is known to end servers is refused.
"""

import asyncio
import collections
import collections.abc
import contextlib
import time
import types

import prometheus_client

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat.process import logs
from flamingocleat.request import request_digest
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
MAX_ANSWERED_REQUESTS = 4096
"""The same for requests, of which there are many more."""
MAX_PARTS = 16
"""Bound on the parts of one prompt that are looked at."""
MAX_PART_LENGTH = 64

_WITHHELD = prometheus_client.Counter(
    "flamingocleat_gateway_withheld",
    "Requests that are kept from servers since they, or a part of their "
    "prompt, end or may end servers",
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
        ids.PromptPart(ids.Suspect(name[:MAX_PART_LENGTH]))
        for name in list(names)[:-1][:MAX_PARTS]
        if name
    )


class _RecentTimes:
    """When names were seen last, for a bounded number of them."""

    def __init__(self, max_names: int) -> None:
        self.max_names = max_names
        self.times_s: collections.OrderedDict[ids.Suspect, float] = (
            collections.OrderedDict()
        )

    def record(self, name: ids.Suspect, now_s: float) -> None:
        """Record a name; forget the one that was seen first, if necessary."""
        self.times_s[name] = now_s
        self.times_s.move_to_end(name)
        if len(self.times_s) > self.max_names:
            self.times_s.popitem(last=False)


class CrashGuard:
    """Decides which requests of one gateway may be sent."""

    def __init__(
        self,
        crashes: crashes_module.CrashRecord,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.crashes = crashes
        self.clock = clock
        self.written_s = _RecentTimes(MAX_WRITTEN_PARTS)
        """When servers last wrote on a part, as seen by this gateway."""
        self.answered_s = _RecentTimes(MAX_ANSWERED_REQUESTS)
        """When servers last answered a request, as seen by this gateway."""
        self.on_trial: set[ids.Suspect] = set()
        self.trial_servers: collections.Counter[ids.BackendId] = (
            collections.Counter()
        )
        """Servers at which this gateway tries a suspect."""
        self.changed = asyncio.Event()
        crashes.subscribe(self._on_evidence)

    async def admit(
        self, names: tuple[ids.Suspect, ...], deadline_s: float
    ) -> tuple[ids.Suspect, ...]:
        """Wait until a request may be sent; return what is suspect of it.

        If there is anything, the request is its trial.

        Args:
            names: The parts of its prompt, and its digest.
            deadline_s: When its caller gives up.

        Raises:
            WithheldError: It must not be sent now.
        """
        until_s = min(deadline_s, self.clock() + TRIAL_WAIT_S)
        while suspects := self._suspects(names):
            now_s = self.clock()
            ready_s = max(map(self._ready_s, suspects))
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

    def _ready_s(self, suspect: ids.Suspect) -> float:
        """Return from when on a suspect may be tried."""
        if request_digest.is_digest(suspect):
            # Hardly anybody else sends the same request and could prove it.
            return float("-inf")
        return self.crashes.blames[suspect].last_ended_s + PROOF_WAIT_S

    @contextlib.contextmanager
    def trial(
        self, suspects: tuple[ids.Suspect, ...]
    ) -> collections.abc.Iterator[tuple[ids.Suspect, ...]]:
        """Keep other requests with these suspects waiting meanwhile."""
        self.on_trial.update(suspects)
        try:
            yield suspects
        finally:
            if suspects:
                self.on_trial.difference_update(suspects)
                self._wake()

    @contextlib.contextmanager
    def trial_at(
        self, backend: ids.BackendId, suspects: tuple[ids.Suspect, ...]
    ) -> collections.abc.Iterator[None]:
        """Keep other trials from a server meanwhile, as far as possible."""
        if suspects:
            self.trial_servers[backend] += 1
        try:
            yield
        finally:
            if suspects:
                self.trial_servers[backend] -= 1
                self.trial_servers += collections.Counter()

    def servers_on_trial(
        self, suspects: tuple[ids.Suspect, ...]
    ) -> frozenset[ids.BackendId]:
        """Return the servers that a trial of these should avoid."""
        return frozenset(self.trial_servers if suspects else ())

    def record_write(self, names: tuple[ids.Suspect, ...]) -> None:
        """Record that a server began to write an answer.

        Args:
            names: The parts of the request's prompt, and its digest.
        """
        now_s = self.clock()
        for name in names:
            is_digest = request_digest.is_digest(name)
            times = self.answered_s if is_digest else self.written_s
            times.record(name, now_s)
            self.crashes.record_write(name, now_s)

    def record_crash(
        self,
        group: str,
        parts: tuple[ids.PromptPart, ...],
        requests: crashes_module.RequestTimes = types.MappingProxyType({}),
    ) -> None:
        """Record that a server ended before it began to write answers.

        Args:
            group: The group of a head, or the lifetime of another server.
            parts: Parts of the prompt of a request that it had not answered.
            requests: When each request that it had not answered was sent.
        """
        if not (parts or requests):
            return
        now_s = self.clock()
        known_version = self.crashes.own_version
        self.crashes.record_crash(group, parts, now_s, requests)
        if self.crashes.own_version == known_version:
            # A server refuses connections until it is no longer listed.
            return
        blames = (self.crashes.blames.get(n) for n in (*parts, *requests))
        logs.info(
            _log,
            "server_ended_before_answer",
            group=group,
            parts=",".join(parts),
            digests=",".join(requests),
            sent_ms=",".join(
                str(round((now_s - sent_s) * 1000))
                for sent_s in requests.values()
            ),
            blame=",".join(f"{b.total:.2f}" if b else "0" for b in blames),
        )

    def _suspects(
        self, names: tuple[ids.Suspect, ...]
    ) -> tuple[ids.Suspect, ...]:
        """Return what is suspect; raise WithheldError."""
        by_verdict: dict[crashes_module.Verdict, list[ids.Suspect]] = {
            verdict: [] for verdict in crashes_module.Verdict
        }
        for name in names:
            by_verdict[self.crashes.verdict(name)].append(name)
        for name in by_verdict[crashes_module.Verdict.WITHHELD]:
            _WITHHELD.labels(reason="ends servers").inc()
            until_s = self.crashes.blames[name].withheld_until_s
            what = (
                f"request {name}"
                if request_digest.is_digest(name)
                else f"part {name} of the prompt"
            )
            raise WithheldError(f"{what} ends servers", until_s - self.clock())
        return tuple(by_verdict[crashes_module.Verdict.SUSPECT])

    def _on_evidence(self) -> None:
        """Add what this gateway knows of the blamed; wake who waits."""
        for name in list(self.crashes.blames):
            for times in (self.written_s, self.answered_s):
                if name in times.times_s:
                    self.crashes.record_write(name, times.times_s[name])
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
