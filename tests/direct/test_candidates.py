"""When a head counts as silent, and how it is tried again."""

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


class Work:
    """A request in hand at a head."""

    def __init__(self, started_s: float, *, writing: bool) -> None:
        self.started_s = started_s
        self.writing = writing
        self.prompt_tokens = PROMPT_TOKENS

    def interrupt(self, reason: str) -> None:
        """End the attempt."""


class Head:
    """One head of which a gateway has requests in hand, in virtual time."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.all = candidates.Candidates(lambda: self.now_s)
        self.all.update([HEAD])
        self.candidate = self.all.by_backend["h-0"]

    def send(self, count: int, *, writing: bool) -> None:
        for _ in range(count):
            self.candidate.work.add(Work(self.now_s, writing=writing))
        self.candidate.in_flight = len(self.candidate.work)

    def end_work(self) -> None:
        self.candidate.work.clear()
        self.candidate.in_flight = 0

    def wait(self, duration_s: float) -> None:
        """Let time pass in which checks come as they should."""
        assert self.silent_after_s(duration_s) is None

    def silent_after_s(self, limit_s: float) -> float | None:
        """Return when the head counts as silent, if within a time."""
        began_s = self.now_s
        while self.now_s < began_s + limit_s:
            self.now_s += 0.05
            if self.all.check_silence():
                return self.now_s - began_s
        return None

    def is_tried(self, **changes) -> bool:
        """Return whether a request would be placed at the head now."""
        placing = admission.Admission("a", self.all, lambda: self.now_s)
        return placing.choose(_demand(self.now_s, **changes)) is not None


def test_silence_of_streams_is_noticed():
    """A head whose streams all stop counts as silent after 0.35 s."""
    head = Head()
    head.send(3, writing=True)
    assert head.silent_after_s(1) == pytest.approx(0.35, abs=0.06)


def test_head_that_reads_many_prompts_is_not_silent():
    """Streams of a lost group that go on at one head all at once.

    The load: 33 streams whose prompts take 1.1 s to read. Its streams pause
    for longer than 0.35 s meanwhile; the head was left alone for 4.5 s, and
    was the only one of its model.
    """
    head = Head()
    head.send(2, writing=True)
    head.send(9, writing=False)
    head.all.update_load(
        [messages.OtherGatewaysLoad("h-0", 22, 22 * PROMPT_TOKENS)]
    )
    reading_s = 31 * PROMPT_TOKENS / READ_PER_S
    assert head.silent_after_s(reading_s) is None
    assert head.silent_after_s(2) is not None


def test_silent_head_is_tried_again_by_one_request():
    """A head that was only busy takes requests again after a second."""
    head = Head()
    head.send(3, writing=True)
    head.silent_after_s(1)
    head.end_work()
    assert not head.is_tried()
    head.wait(candidates.RETRY_INTERVAL_S)
    assert not head.is_tried(repeatable=False)
    assert head.is_tried()
    head.send(1, writing=False)
    assert not head.is_tried()
    head.candidate.mark_alive(head.now_s)
    assert head.is_tried(repeatable=False)


def test_trial_that_fails_is_ended_and_the_next_comes_later():
    """No caller waits for a silent head until its deadline."""
    head = Head()
    head.send(3, writing=True)
    head.silent_after_s(1)
    # The first pause counts from when the silence began.
    for pause_s in (0.65, 2.0, 4.0, 4.5, 4.5):
        head.end_work()
        head.wait(pause_s - 0.1)
        assert not head.is_tried()
        head.wait(0.15)
        assert head.is_tried()
        head.send(1, writing=False)
        assert head.silent_after_s(1.2) is not None


def test_work_that_cannot_move_is_noticed_once():
    """A stream that stays at a silent head is not counted at each check."""
    head = Head()
    head.send(1, writing=True)
    assert head.silent_after_s(1) is not None
    assert head.silent_after_s(3) is None


def test_own_standstill_is_no_silence_of_heads():
    """A gateway that was frozen for seconds interrupts no streams."""
    head = Head()
    head.send(5, writing=True)
    head.all.check_silence()
    head.now_s += 3.5
    assert head.all.check_silence() == []
    head.candidate.mark_alive(head.now_s + 0.05)
    assert head.silent_after_s(0.3) is None


def test_heads_that_read_much_take_fewer_requests():
    """A request goes where prompts are read sooner."""

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
        placing = admission.Admission("a", known, lambda: now_s)
        found = await placing.place(_demand(now_s))
        assert found.view.backend == "h-0"

    asyncio.run(scenario())
