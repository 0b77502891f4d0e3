"""When a head counts as silent, and how it is retried."""

import asyncio

import pytest

from flamingocleat import messages
from flamingocleat.request import admission
from flamingocleat.version import candidates

READ_PER_S = 46_000.0
PROMPT_TOKENS = 1600
HEAD = messages.ServedBackend(
    "h-0", "h-0:80", "llm", "a", 24, "large", "g-0", READ_PER_S
)


def _demand(now_s: float, **changes) -> admission.Demand:
    return admission.Demand(
        service="llm",
        model="large",
        objective_s=0.4,
        deadline_s=now_s + 8,
        arrived_s=now_s,
        **changes,
    )


class FakeAttempt:
    """An attempt in flight at a head."""

    def __init__(self, started_s: float, *, writing: bool) -> None:
        self.started_s = self.listening_s = started_s
        self.is_held = False
        self.writing = writing
        self.prompt_tokens = PROMPT_TOKENS

    def interrupt(self, reason: str) -> None:
        """End the attempt."""


class HeadSimulation:
    """One head with requests of a gateway in flight, in virtual time."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.candidates = candidates.Candidates(lambda: self.now_s)
        self.candidates.update([HEAD])
        self.candidate = self.candidates.by_backend["h-0"]

    def send(self, count: int, *, writing: bool) -> None:
        for _ in range(count):
            self.candidate.attempts.add(
                FakeAttempt(self.now_s, writing=writing)
            )
        self.candidate.in_flight = len(self.candidate.attempts)

    def end_attempts(self) -> None:
        self.candidate.attempts.clear()
        self.candidate.in_flight = 0

    def wait(self, duration_s: float) -> None:
        """Advance the time with regular checks; no head may become silent."""
        assert self.silent_after_s(duration_s) is None

    def silent_after_s(self, limit_s: float) -> float | None:
        """Return after how long the head counts as silent, or None.

        None means that it does not within the limit.
        """
        started_s = self.now_s
        while self.now_s < started_s + limit_s:
            self.now_s += 0.05
            if self.candidates.check_silence():
                return self.now_s - started_s
        return None

    def accepts_request(self, **changes) -> bool:
        """Return whether a request would be sent to the head now."""
        admission_control = admission.Admission(
            "a", self.candidates, lambda: self.now_s
        )
        return (
            admission_control.choose(_demand(self.now_s, **changes)) is not None
        )


def test_silent_streams_mark_their_head_as_silent():
    """A head whose streams all stop must count as silent after 0.35 s."""
    head = HeadSimulation()
    head.send(3, writing=True)
    assert head.silent_after_s(1) == pytest.approx(0.35, abs=0.06)


def test_head_that_reads_many_prompts_is_not_silent():
    """A head that reads prompts must not count as silent.

    The streams of a lost group resume at one head at the same time: 33 streams
    whose prompts take 1.1 s to read. Its streams pause for longer than 0.35 s
    meanwhile; the head, the only one of its model, was avoided for 4.5 s.
    """
    head = HeadSimulation()
    head.send(2, writing=True)
    head.send(9, writing=False)
    head.candidates.update_load(
        [messages.OtherGatewaysLoad("h-0", 22, 22 * PROMPT_TOKENS)]
    )
    reading_s = 31 * PROMPT_TOKENS / READ_PER_S
    assert head.silent_after_s(reading_s) is None
    assert head.silent_after_s(2) is not None


def test_silent_head_is_retried_with_one_request():
    """A head that was only busy must get requests again after a second.

    The first is one that can continue elsewhere; others wait for its answer.
    """
    head = HeadSimulation()
    head.send(3, writing=True)
    head.silent_after_s(1)
    head.end_attempts()
    assert not head.accepts_request()
    head.wait(candidates.RETRY_INTERVAL_S)
    assert not head.accepts_request(repeatable=False)
    assert head.accepts_request()
    head.send(1, writing=False)
    assert not head.accepts_request()
    head.candidate.mark_alive(head.now_s)
    assert head.accepts_request(repeatable=False)


def test_failed_retries_end_soon_and_become_rarer():
    """No caller may wait for a silent head until its deadline.

    A retry without an answer is ended, and the next one comes later.
    """
    head = HeadSimulation()
    head.send(3, writing=True)
    head.silent_after_s(1)
    # The first pause is measured from the start of the silence.
    for pause_s in (0.65, 2.0, 4.0, 4.5, 4.5):
        head.end_attempts()
        head.wait(pause_s - 0.1)
        assert not head.accepts_request()
        head.wait(0.15)
        assert head.accepts_request()
        head.send(1, writing=False)
        assert head.silent_after_s(1.2) is not None


def test_stream_that_stays_at_a_silent_head_counts_once():
    """A stream that cannot move must not count as silent at each check."""
    head = HeadSimulation()
    head.send(1, writing=True)
    assert head.silent_after_s(1) is not None
    assert head.silent_after_s(3) is None


def test_pause_of_the_gateway_does_not_mark_heads_silent():
    """A gateway that was paused for seconds must not interrupt streams.

    It received nothing meanwhile, whatever the heads sent.
    """
    head = HeadSimulation()
    head.send(5, writing=True)
    head.candidates.check_silence()
    head.now_s += 3.5
    assert head.candidates.check_silence() == []
    head.candidate.mark_alive(head.now_s + 0.05)
    assert head.silent_after_s(0.3) is None


def test_slow_reading_head_is_avoided():
    """A request must go to the head that reads its unread prompts sooner."""

    async def scenario() -> None:
        now_s = 100.0
        known = candidates.Candidates(lambda: now_s)
        slow = messages.ServedBackend(
            "h-1", "h-1:80", "llm", "a", 24, "large", "g-1", READ_PER_S / 2.5
        )
        known.update([slow, HEAD])
        known.update_load(
            [
                messages.OtherGatewaysLoad("h-0", 1, 20_000),
                messages.OtherGatewaysLoad("h-1", 1, 20_000),
            ]
        )
        admission_control = admission.Admission("a", known, lambda: now_s)
        candidate = await admission_control.place(_demand(now_s))
        assert candidate.view.backend == "h-0"

    asyncio.run(scenario())
