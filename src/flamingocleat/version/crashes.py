"""Evidence on parts of prompts that end the servers that write on them.

Handles a part that ends each server as it begins to write, among sound
requests that share the caller and the other parts. A server that writes an
event proves all parts of that request sound. Each end is blamed on the parts
of the requests that were in flight there without an event, less those that
proved sound since. All gateways share the evidence: merging it is idempotent
and independent of the order, so that any of them may pass it on.
"""

import collections.abc
import enum
import time

import msgspec

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.process import logs

_log = logs.logger("crashes")

MIN_BLAME = 1.5
"""Blame from which a part is withheld. It takes two ends with no other
suspect, or more with several."""
MIN_BLAME_IF_WRITTEN = 1.0
"""Blame from which a part that has been written on before is suspect."""
HOLD_S = 60.0
"""How long a part is withheld, from the last end that it is blamed for. Then
one request may try it again; each further end doubles the time."""
MAX_HOLD_S = 480.0
RETENTION_S = 600.0
"""How long an end is remembered; longer than a part is withheld."""
MAX_CRASHES = 32
"""Bound on the ends that are remembered."""
MAX_PARTS = 32
"""Bound on the parts that one end is blamed on."""


class Verdict(enum.Enum):
    """What to do with a request that has a part."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    """One request with it may be tried at a time."""
    WITHHELD = "withheld"
    """No request with it may reach a server."""


class Crash(msgspec.Struct):
    """The end of a head, while requests without an event were in flight."""

    ended_s: float
    parts: set[ids.PromptPart]
    """Parts of the prompts of those requests."""


class Blame(msgspec.Struct):
    """How far a part is blamed for ends of heads."""

    total: float = 0.0
    """Sum of its shares; the blame for one end adds up to 1."""
    last_ended_s: float = float("-inf")
    """The last end that it is blamed for."""

    @property
    def withheld_until_s(self) -> float:
        """Until when no request with the part may reach a server."""
        if self.total < MIN_BLAME:
            return float("-inf")
        hold_s = HOLD_S * 2 ** max(0, int(self.total) - 2)
        return self.last_ended_s + min(MAX_HOLD_S, hold_s)


class CrashRecord:
    """Ends of heads and which parts of prompts may have caused them."""

    def __init__(
        self, clock: collections.abc.Callable[[], float] = time.monotonic
    ) -> None:
        self.clock = clock
        self.crashes: dict[str, Crash] = {}
        """By group, since each group has one head, which ends once."""
        self.written_s: dict[ids.PromptPart, float] = {}
        """When the parts of these ends were last written on, if ever."""
        self.blames: dict[ids.PromptPart, Blame] = {}
        """Parts that are blamed; derived from the fields above."""
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
    ) -> None:
        """Record that a head ended before requests had an event."""
        if self._add_crash(group, parts, ended_s):
            self.own_version += 1
            self._update()

    def record_write(self, part: ids.PromptPart, written_s: float) -> None:
        """Record that a server wrote on a part of one of these ends."""
        if self._add_write(part, written_s):
            self.own_version += 1
            self._update()

    def merge(self, evidence: messages.CrashEvidence) -> None:
        """Add evidence from another process."""
        now_s = self.clock()
        changed = False
        for end in evidence.ends:
            ended_s = now_s - end.ended_ms / 1000
            changed |= self._add_crash(end.group, end.parts, ended_s)
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
                messages.HeadEnd(
                    group,
                    round((now_s - crash.ended_s) * 1000),
                    tuple(sorted(crash.parts)),
                )
                for group, crash in self.crashes.items()
            ),
            tuple(
                messages.WrittenPart(part, round((now_s - written_s) * 1000))
                for part, written_s in self.written_s.items()
            ),
        )

    def verdict(self, part: ids.PromptPart) -> Verdict:
        """Return what to do with a request that has this part."""
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
        ended_s: float,
    ) -> bool:
        """Add parts to an end; return whether that may change the blame."""
        if self.clock() - ended_s > RETENTION_S:
            return False
        crash = self.crashes.get(group)
        known = crash.parts if crash else set()
        added = sorted(set(parts) - known)[: MAX_PARTS - len(known)]
        if not added:
            return False
        if crash is None:
            crash = self.crashes[group] = Crash(ended_s, set())
        crash.parts.update(added)
        self._forget()
        return True

    def _add_write(self, part: ids.PromptPart, written_s: float) -> bool:
        """Add a write; return whether that may change the blame."""
        before_s = self.written_s.get(part)
        ends_s = [
            each.ended_s for each in self.crashes.values() if part in each.parts
        ]
        if not ends_s or (before_s is not None and written_s <= before_s):
            return False
        self.written_s[part] = written_s
        return before_s is None or any(
            before_s <= ended_s < written_s for ended_s in ends_s
        )

    def _forget(self) -> None:
        """Forget old ends, and the oldest beyond the bound.

        Those of parts that are withheld go last.
        """
        now_s = self.clock()
        kept = sorted(
            self.crashes,
            key=lambda group: (
                any(
                    self.verdict(part) is Verdict.WITHHELD
                    for part in self.crashes[group].parts
                ),
                self.crashes[group].ended_s,
            ),
        )[-MAX_CRASHES:]
        self.crashes = {
            group: self.crashes[group]
            for group in kept
            if now_s - self.crashes[group].ended_s <= RETENTION_S
        }
        parts = set().union(*(each.parts for each in self.crashes.values()))
        self.written_s = {
            part: written_s
            for part, written_s in self.written_s.items()
            if part in parts
        }

    def _update(self) -> None:
        """Assess the blame anew, log what changes, and notify listeners."""
        before, self.blames = self.blames, self._assess()
        self.version += 1
        for part in self.blames.keys() | before.keys():
            old = before.get(part, Blame())
            new = self.blames.get(part, Blame())
            if (old.total >= MIN_BLAME) != (new.total >= MIN_BLAME):
                logs.warning(
                    _log,
                    "part_withheld"
                    if new.total >= MIN_BLAME
                    else "part_released",
                    part=part,
                    blame=round(new.total, 2),
                    ends=len(self.crashes),
                )
        for callback in self.listeners:
            callback()

    def _assess(self) -> dict[ids.PromptPart, Blame]:
        """Return the blame of each part."""
        blames: dict[ids.PromptPart, Blame] = {}
        for crash in self.crashes.values():
            blamed = self._blamed(crash)
            for part in blamed:
                blame = blames.setdefault(part, Blame())
                blame.total += 1 / len(blamed)
                blame.last_ended_s = max(blame.last_ended_s, crash.ended_s)
        return blames

    def _blamed(self, crash: Crash) -> set[ids.PromptPart]:
        """Return the parts that share the blame for an end.

        Those that no server ever wrote on come first; without such, those that
        none has written on since.
        """
        never = {each for each in crash.parts if each not in self.written_s}
        return never or {
            each
            for each in crash.parts
            if self.written_s[each] <= crash.ended_s
        }
