"""Evidence on parts of prompts and on requests that end servers.

Handles a part, or a request, that ends each server as it begins to write, among
sound requests that share the caller and the other parts. A server that begins
an answer proves that request and all parts of its prompt sound. Each end is
blamed on what was in flight there without an answer, less what proved sound
since (`blame.py`). All gateways share the evidence: merging it is idempotent
and independent of the order, so that any of them may pass it on.
"""

import collections.abc
import enum
import time
import types

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.process import logs
from flamingocleat.version import blame as blame_module

_log = logs.logger("crashes")

MIN_BLAME_IF_WRITTEN = 1.0
"""Blame from which a suspect that has been answered before is suspect."""
RETENTION_S = 600.0
"""How long an end is remembered, or longer if its suspects ask for it."""
MAX_CRASHES = 32
"""Bound on the ends that are remembered."""
MAX_PARTS = 32
"""Bound on the parts that one end is blamed on."""
MAX_REQUESTS = 32
"""The same for requests."""
SAME_TIME_S = 0.25
"""Times of one event may differ by as much, since evidence passes through
other processes."""

RequestTimes = collections.abc.Mapping[ids.RequestDigest, float]
"""When requests were first sent to a server."""

_NO_BLAME = blame_module.PartBlame()


class Verdict(enum.Enum):
    """What to do with a request that is suspect, or has a suspect part."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    """One such request may be tried at a time."""
    WITHHELD = "withheld"
    """No such request may reach a server."""


class CrashRecord:
    """Ends of servers, and what may have caused them."""

    def __init__(
        self, clock: collections.abc.Callable[[], float] = time.monotonic
    ) -> None:
        self.clock = clock
        self.crashes: dict[str, blame_module.Crash] = {}
        """By group, since each group has one head, which ends once, or by the
        lifetime of another server."""
        self.written_s: dict[ids.Suspect, float] = {}
        """When the suspects of these ends were last answered, if ever."""
        self.blames: dict[ids.Suspect, blame_module.Blame] = {}
        """What is blamed; derived from the fields above."""
        self.version = 0
        """Increases with each change of the blame."""
        self.own_version = 0
        """The same, but without changes that were merged."""
        self.listeners: list[collections.abc.Callable[[], None]] = []

    def record_crash(
        self,
        group: str,
        parts: collections.abc.Iterable[ids.PromptPart],
        ended_s: float,
        requests: RequestTimes = types.MappingProxyType({}),
    ) -> None:
        """Record that a server ended before requests had an answer.

        Args:
            group: The group of a head, or the lifetime of another server.
            parts: Parts of the prompts of those requests.
            ended_s: When it ended.
            requests: When each of the requests was first sent there.
        """
        if self._add_crash(group, parts, requests, ended_s):
            self.own_version += 1
            self._update()

    def record_write(self, part: ids.Suspect, written_s: float) -> None:
        """Record that a server began to answer a suspect of these ends."""
        if self._add_write(part, written_s):
            self.own_version += 1
            self._update()

    def merge(self, evidence: messages.CrashEvidence) -> None:
        """Add evidence from another process."""
        now_s = self.clock()
        changed = False
        for end in evidence.ends:
            ended_s = now_s - end.ended_ms / 1000
            requests = {
                each.digest: now_s - each.sent_ms / 1000
                for each in end.requests
            }
            changed |= self._add_crash(end.group, end.parts, requests, ended_s)
        for written in evidence.written:
            written_s = now_s - written.written_ms / 1000
            changed |= self._add_write(written.part, written_s)
        if changed:
            self._update()

    def evidence(self) -> messages.CrashEvidence:
        """Return all evidence, for another process."""
        now_s = self.clock()
        return messages.CrashEvidence(
            tuple(
                messages.ServerEnd(
                    group,
                    round((now_s - crash.ended_s) * 1000),
                    tuple(sorted(crash.parts)),
                    tuple(
                        messages.SentRequest(
                            digest, round((now_s - sent_s) * 1000)
                        )
                        for digest, sent_s in sorted(crash.requests.items())
                    ),
                )
                for group, crash in self.crashes.items()
            ),
            tuple(
                messages.WrittenPart(part, round((now_s - written_s) * 1000))
                for part, written_s in self.written_s.items()
            ),
        )

    def verdict(self, part: ids.Suspect) -> Verdict:
        """Return what to do with a request with this digest or part."""
        blame = self.blames.get(part)
        if blame is None:
            return Verdict.CLEAR
        if self.clock() < blame.withheld_until_s:
            return Verdict.WITHHELD
        if part in self.written_s and blame.total < MIN_BLAME_IF_WRITTEN:
            return Verdict.CLEAR
        return Verdict.SUSPECT

    def subscribe(self, callback: collections.abc.Callable[[], None]) -> None:
        """Register a callback for changes of the blame."""
        self.listeners.append(callback)

    def _add_crash(
        self,
        group: str,
        parts: collections.abc.Iterable[ids.PromptPart],
        requests: RequestTimes,
        ended_s: float,
    ) -> bool:
        """Add suspects to an end; return whether that may change the blame."""
        crash = self.crashes.get(group)
        if crash is None:
            if self.clock() - ended_s > RETENTION_S:
                return False
            crash = blame_module.Crash(ended_s, set())
        changed = _add_parts(crash, parts) | _add_requests(crash, requests)
        if changed:
            self.crashes[group] = crash
            self._forget()
        return changed

    def _add_write(self, part: ids.Suspect, written_s: float) -> bool:
        """Add an answer; return whether that may change the blame."""
        before_s = self.written_s.get(part)
        ends_s = [
            each.ended_s
            for each in self.crashes.values()
            if part in each.parts or part in each.requests
        ]
        if not ends_s or (before_s is not None and written_s <= before_s):
            return False
        self.written_s[part] = written_s
        return before_s is None or any(
            before_s <= ended_s < written_s for ended_s in ends_s
        )

    def _forget(self) -> None:
        """Forget old ends, and the oldest beyond the bound.

        Those whose suspects are withheld go last.
        """
        now_s = self.clock()
        blames = {
            key: [
                self.blames[each]
                for each in crash.suspects & self.blames.keys()
            ]
            for key, crash in self.crashes.items()
        }
        kept = sorted(
            self.crashes,
            key=lambda key: (
                any(each.withheld_until_s > now_s for each in blames[key]),
                self.crashes[key].ended_s,
            ),
        )[-MAX_CRASHES:]
        self.crashes = {
            key: self.crashes[key]
            for key in kept
            if now_s - self.crashes[key].ended_s <= RETENTION_S
            or any(each.remembered_until_s > now_s for each in blames[key])
        }
        suspects = set().union(
            *(each.suspects for each in self.crashes.values())
        )
        self.written_s = {
            suspect: written_s
            for suspect, written_s in self.written_s.items()
            if suspect in suspects
        }

    def _update(self) -> None:
        """Assess the blame anew, log what changes, and notify listeners."""
        before = self.blames
        self.blames = blame_module.assess(self.crashes, self.written_s)
        self.version += 1
        for suspect in self.blames.keys() | before.keys():
            old = before.get(suspect, _NO_BLAME)
            new = self.blames.get(suspect, _NO_BLAME)
            is_held = new.is_enough
            if old.is_enough != is_held:
                logs.warning(
                    _log,
                    "suspect_withheld" if is_held else "suspect_released",
                    suspect=suspect,
                    blame=round(new.total, 2),
                    ends=len(self.crashes),
                )
        for callback in self.listeners:
            callback()


def _add_parts(
    crash: blame_module.Crash,
    parts: collections.abc.Iterable[ids.PromptPart],
) -> bool:
    """Add parts up to the bound; return whether any is new."""
    room = MAX_PARTS - len(crash.parts)
    added = sorted(set(parts) - crash.parts)[:room]
    crash.parts.update(added)
    return bool(added)


def _add_requests(crash: blame_module.Crash, requests: RequestTimes) -> bool:
    """Add requests up to the bound; return whether anything has changed."""
    changed = False
    for digest, sent_s in sorted(requests.items()):
        known_s = crash.requests.get(digest)
        if known_s is None and len(crash.requests) >= MAX_REQUESTS:
            continue
        if known_s is None or sent_s < known_s - SAME_TIME_S:
            crash.requests[digest] = sent_s
            changed = True
    return changed
