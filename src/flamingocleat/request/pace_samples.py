"""Times that a gateway measures at backend servers, for their learned pace.

Streams are compared with the cost model that the engine declares: the time to
the first event with the unread prompts at that head, and the time between
events with the requests in flight there. Answers of plain servers are compared
with the mean duration of their route at this gateway. Only the sums leave the
gateway; the leader compares servers with each other (`version/pace.py`).

An event costs two assignments. All else is done once per collection for each
stream, and dropped if the process was paused since the collection before.
"""

import collections.abc
import time
import typing
import weakref

import msgspec

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.request import direct_call
from flamingocleat.version import candidates as candidates_module
from flamingocleat.version import catalog

COLLECT_INTERVAL_S = 0.2
"""As often as gateways report."""
PAUSE_S = 0.15
"""A collection that is later than this shows that the process was paused or
has too little processor time, which makes all answers look late."""
MAX_RATIO = 6.0
"""Bound on the ratio of observed to expected time, as a multiple of its mean,
so that one stream that stood still does not outweigh all others."""
SMOOTHING = 0.05
"""Weight of the latest sample in the mean ratio of a model, and of the latest
answer in the mean duration of its route."""
MIN_ROUTE_ANSWERS = 20
"""Answers of a route before its mean is compared with."""
RECENT_S = 1.0
"""Sums are reported for this long after the last sample; a plain server without
sums is not reported."""


class Attempt(typing.Protocol):
    """An attempt in flight."""

    candidate: candidates_module.Candidate
    started_s: float


class StreamMeter:
    """Progress of one stream; a gateway changes it with each event."""

    def __init__(
        self,
        candidate: candidates_module.Candidate,
        engine: catalog.Engine,
        started_s: float,
        *,
        is_resumed: bool,
    ) -> None:
        self.candidate = candidate
        self.engine = engine
        self.started_s = started_s
        self.expected_first_s = (
            0.0
            if is_resumed
            else candidate.reading_s + pass_s(engine, candidate)
        )
        """Expected time to the first event; 0 if it is not measured, since a
        resumed stream reads an unknown part of its answer again."""
        self.first_s = 0.0
        """When the first event arrived."""
        self.counted_s = 0.0
        """Up to when its events have been counted."""
        self.last_s = 0.0
        self.events = 0
        """Events since counted_s."""
        self.has_ended = False

    def record(self, now_s: float, events: int) -> None:
        """Record the arrival of complete events."""
        if not events:
            return
        if not self.last_s:
            self.first_s = self.counted_s = now_s
        else:
            self.events += events
        self.last_s = now_s

    def restart(self) -> None:
        """Drop what has not been collected."""
        self.expected_first_s = 0.0
        self.events = 0
        self.counted_s = self.last_s


class _Sums(msgspec.Struct):
    samples: int = 0
    observed_s: float = 0.0
    expected_s: float = 0.0
    load: float = 0.0
    reading_s: float = 0.0
    """Time to read the unread prompts, as of the last collection."""
    changed_s: float = float("-inf")

    def add(
        self, observed_s: float, expected_s: float, load: int, now_s: float
    ) -> None:
        self.samples += 1
        self.observed_s += observed_s
        self.expected_s += expected_s
        self.load += load
        self.changed_s = now_s


class _Mean(msgspec.Struct):
    """A mean that follows the latest values."""

    count: int = 0
    value: float = 0.0

    def bound(self, value: float) -> float:
        """Return a value that is at most MAX_RATIO times the mean."""
        return min(value, MAX_RATIO * self.value) if self.count else value

    def add(self, value: float) -> None:
        """Add a value; the first ones count equally."""
        self.count += 1
        weight = max(SMOOTHING, 1 / self.count)
        self.value += weight * (value - self.value)


class _Answer(msgspec.Struct):
    candidate: candidates_module.Candidate
    route: str
    duration_s: float


class PaceSamples:
    """Measurements of one gateway, summed up for each server on its list."""

    def __init__(
        self, clock: collections.abc.Callable[[], float] = time.monotonic
    ) -> None:
        self.clock = clock
        self.sums: weakref.WeakKeyDictionary[
            candidates_module.Candidate, _Sums
        ] = weakref.WeakKeyDictionary()
        self.meters: set[StreamMeter] = set()
        self.answers: list[_Answer] = []
        """Answers of plain servers since the last collection."""
        self.routes: dict[str, _Mean] = {}
        """Durations of plain servers' answers, by route."""
        self.ratios: dict[tuple[ids.ServiceId, str], _Mean] = {}
        """Observed as a multiple of expected times, by service and model. It is
        about 1 if the declared cost model is right."""
        self.collected_s = clock()

    def begin(
        self, attempt: Attempt, call: direct_call.Call
    ) -> StreamMeter | None:
        """Measure a stream that was sent to a server, or return None."""
        engine = call.service.engine
        if engine is None or not attempt.candidate.view.read_per_s:
            return None
        meter = StreamMeter(
            attempt.candidate,
            engine,
            attempt.started_s,
            is_resumed=call.exchange.started,
        )
        self.meters.add(meter)
        return meter

    def record_answer(self, attempt: Attempt, call: direct_call.Call) -> None:
        """Record the duration of a plain server's answer, which ends now.

        For an answer that did not come in time it is the time waited, which
        the answer would have exceeded.
        """
        if not attempt.candidate.view.model:
            duration_s = self.clock() - attempt.started_s
            self.answers.append(
                _Answer(attempt.candidate, call.route.name, duration_s)
            )

    def collect(self) -> None:
        """Add up what was measured since the last collection."""
        now_s = self.clock()
        was_paused = now_s - self.collected_s > COLLECT_INTERVAL_S + PAUSE_S
        self.collected_s = now_s
        answers, self.answers = self.answers, []
        if was_paused:
            for meter in self.meters:
                meter.restart()
        else:
            for answer in answers:
                self._add_answer(answer, now_s)
            self._add_streams(now_s)
        self.meters = {each for each in self.meters if not each.has_ended}

    def report(
        self, candidate: candidates_module.Candidate, now_s: float
    ) -> messages.HeadReport | None:
        """Return the report on a server, or None if there is nothing to say.

        The load of plain servers is not reported: gateways spread their own
        requests only.
        """
        sums = self.sums.get(candidate)
        pace = None
        if sums is not None and now_s - sums.changed_s <= RECENT_S:
            pace = messages.PaceSums(
                sums.samples,
                round(sums.observed_s * 1000, 1),
                round(sums.expected_s * 1000, 1),
                sums.load,
            )
        if candidate.view.model:
            report = candidate.report(now_s)
            return msgspec.structs.replace(report, pace=pace)
        if pace is None:
            return None
        return messages.HeadReport(
            backend=candidate.view.backend,
            in_flight=0,
            unread_tokens=0,
            reached_ms=-1,
            service=candidate.view.service,
            born_ms=candidate.view.born_ms,
            pace=pace,
        )

    def _add_answer(self, answer: _Answer, now_s: float) -> None:
        route = self.routes.setdefault(answer.route, _Mean())
        duration_s = route.bound(answer.duration_s)
        if route.count >= MIN_ROUTE_ANSWERS:
            candidate = answer.candidate
            sums = self.sums.setdefault(candidate, _Sums())
            sums.add(duration_s, route.value, candidate.total + 1, now_s)
        route.add(duration_s)

    def _add_events(
        self,
        head: candidates_module.Candidate,
        observed_s: float,
        expected_s: float,
        now_s: float,
    ) -> None:
        if expected_s <= 0:
            return
        kind = (head.view.service, head.view.model)
        mean = self.ratios.setdefault(kind, _Mean())
        ratio = mean.bound(observed_s / expected_s)
        mean.add(ratio)
        self.sums[head].add(
            ratio * expected_s, expected_s, max(1, head.total), now_s
        )

    def _add_streams(self, now_s: float) -> None:
        heads = {meter.candidate for meter in self.meters}
        # The greater of two times counts: prompts that were read in between
        # have delayed the events.
        reading_s: dict[candidates_module.Candidate, float] = {}
        for head in heads:
            sums = self.sums.setdefault(head, _Sums())
            current_s = head.reading_s
            reading_s[head] = max(current_s, sums.reading_s)
            sums.reading_s = current_s
        for meter in self.meters:
            head = meter.candidate
            if meter.expected_first_s and meter.first_s:
                first_s = meter.first_s - meter.started_s
                self._add_events(head, first_s, meter.expected_first_s, now_s)
                meter.expected_first_s = 0.0
            if meter.events:
                gap_s = pass_s(meter.engine, head) + min(
                    reading_s[head],
                    meter.engine.chunk_tokens / head.view.read_per_s,
                )
                taken_s = meter.last_s - meter.counted_s
                self._add_events(head, taken_s, gap_s * meter.events, now_s)
                meter.events = 0
                meter.counted_s = meter.last_s


def pass_s(engine: catalog.Engine, head: candidates_module.Candidate) -> float:
    """Return the expected time between events while no prompt is read."""
    in_flight = max(1, head.total)
    context = engine.mean_prompt_tokens + engine.mean_answer_tokens / 2
    step_ms = engine.step_ms + in_flight * (
        engine.sequence_ms + engine.context_ms * context / 1000
    )
    factor = engine.read_per_s / head.view.read_per_s
    return max(1, engine.stride) * step_ms * factor / 1000
