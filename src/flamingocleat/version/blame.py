"""Which parts of prompts, and which requests, are blamed for ends of servers.

Handles a part or a request that ends each server as it begins to write, among
sound requests that were beside it. Parts and requests are assessed apart: each
end is blamed once on parts, and once on requests.
"""

import collections
import collections.abc
import itertools
import math
import typing

import msgspec

from flamingocleat import ids

_Name = typing.TypeVar("_Name", bound=ids.Suspect)

MIN_BLAME = 1.5
"""Blame from which a suspect is withheld. It takes two ends with no other
suspect, or more with several."""
MIN_BLAME_IF_ANSWERED = 2.5
"""The same for a request that has been answered before. It is tried first: many
callers may send it, so that it is beside what ends servers by chance."""
PART_HOLD_S = 60.0
"""How long a part is withheld, from the last end that it is blamed for. Then
one request may try it again; each further end doubles the time."""
REQUEST_HOLD_S = 60.0
"""The same for a request, whose time grows faster."""


class Crash(msgspec.Struct):
    """The end of a server, while requests without an answer were in flight."""

    ended_s: float
    parts: set[ids.PromptPart]
    """Parts of the prompts of those requests."""
    requests: dict[ids.RequestDigest, float] = {}
    """When each of those requests was first sent there."""

    @property
    def suspects(self) -> set[ids.Suspect]:
        """All that may have caused it."""
        return {*self.parts, *self.requests}


class Blame(msgspec.Struct):
    """How far a suspect is blamed for ends of servers."""

    first_hold_s: float
    """How long it is withheld at first."""
    hold_factor: float
    """Factor by which each further end extends that."""
    max_hold_s: float
    memory_s: float
    """How long its ends are remembered after it may be sent again."""
    min_total: float = MIN_BLAME
    """Total from which on it is withheld."""
    total: float = 0.0
    """Sum of its shares; the blame for one end adds up to 1."""
    last_ended_s: float = float("-inf")
    """The last end that it is blamed for."""

    @property
    def is_enough(self) -> bool:
        """Whether it is withheld for some time after its last end."""
        return self.total >= self.min_total

    @property
    def withheld_until_s(self) -> float:
        """Until when no request with the suspect may reach a server."""
        if not self.is_enough:
            return float("-inf")
        further = max(0, int(self.total) - math.ceil(self.min_total))
        hold_s = self.first_hold_s * self.hold_factor**further
        return self.last_ended_s + min(self.max_hold_s, hold_s)

    @property
    def remembered_until_s(self) -> float:
        """Until when its ends are remembered, however old they are."""
        return self.withheld_until_s + self.memory_s


class PartBlame(Blame):
    """Blame of a part of prompts, which many requests may have."""

    first_hold_s: float = PART_HOLD_S
    hold_factor: float = 2.0
    max_hold_s: float = 480.0
    memory_s: float = 0.0


class RequestBlame(Blame):
    """Blame of a request.

    Only its own caller misses it, and a trial costs a server: four ends after
    the first two, the next trial comes after days.
    """

    first_hold_s: float = REQUEST_HOLD_S
    hold_factor: float = 8.0
    max_hold_s: float = 7 * 86_400.0
    memory_s: float = 600.0


AnswerTimes = collections.abc.Mapping[ids.Suspect, float]
"""When servers last began to answer a suspect, if ever."""


def assess(
    crashes: collections.abc.Mapping[str, Crash], answered_s: AnswerTimes
) -> dict[ids.Suspect, Blame]:
    """Return the blame of each suspect.

    Args:
        crashes: The ends, by group or lifetime of the server.
        answered_s: When the suspects were last answered, if ever.
    """
    return {
        **_assess_parts(crashes.values(), answered_s),
        **_assess_requests(crashes, answered_s),
    }


def _assess_parts(
    crashes: collections.abc.Iterable[Crash], answered_s: AnswerTimes
) -> dict[ids.Suspect, Blame]:
    blames: dict[ids.Suspect, Blame] = {}
    for crash in crashes:
        blamed = _candidates(crash.parts, crash.ended_s, answered_s)
        for part in blamed:
            blame = blames.setdefault(part, PartBlame())
            blame.total += 1 / len(blamed)
            blame.last_ended_s = max(blame.last_ended_s, crash.ended_s)
    return blames


def _assess_requests(
    crashes: collections.abc.Mapping[str, Crash], answered_s: AnswerTimes
) -> dict[ids.Suspect, Blame]:
    """Blame the requests that explain most ends.

    An end adds to the blame of a request only if it was sent there after the
    end that was counted before: servers that end together may have a common
    cause. It is explained nevertheless. Otherwise the blame for a burst at two
    servers would be that of a request which was repeated at the second one.
    """
    candidates = {
        key: _candidates(crash.requests, crash.ended_s, answered_s)
        for key, crash in crashes.items()
    }
    explained = collections.Counter(itertools.chain(*candidates.values()))
    counted: dict[ids.Suspect, set[str]] = collections.defaultdict(set)
    last_s: dict[ids.Suspect, float] = {}
    for key in sorted(crashes, key=lambda key: crashes[key].ended_s):
        crash = crashes[key]
        for digest in candidates[key]:
            if crash.requests[digest] > last_s.get(digest, float("-inf")):
                counted[digest].add(key)
                last_s[digest] = crash.ended_s
    blames: dict[ids.Suspect, Blame] = {}
    for key, crash in crashes.items():
        most = max((explained[d] for d in candidates[key]), default=0)
        blamed = [d for d in candidates[key] if explained[d] == most]
        for digest in blamed:
            blame = blames.setdefault(digest, RequestBlame())
            if digest in answered_s:
                blame.min_total = MIN_BLAME_IF_ANSWERED
            if key in counted[digest]:
                blame.total += 1 / len(blamed)
            blame.last_ended_s = max(blame.last_ended_s, crash.ended_s)
    return blames


def _candidates(
    suspects: collections.abc.Iterable[_Name],
    ended_s: float,
    answered_s: AnswerTimes,
) -> set[_Name]:
    """Return the suspects that share the blame for an end.

    Those that no server ever answered come first; without such, those that none
    has answered since.
    """
    known = set(suspects)
    never = {each for each in known if each not in answered_s}
    return never or {each for each in known if answered_s[each] <= ended_s}
