"""Which requests are blamed for ends of servers."""

import hypothesis
import pytest
from hypothesis import strategies

from flamingocleat.version import blame
from flamingocleat.version import crashes

Verdict = crashes.Verdict
LETHAL, SOUND = "r:1e7a1", "r:50d"
SENT_S = 0.05
"""Time from sending a request until its server ends."""


class Clock:
    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def record():
    return crashes.CrashRecord(Clock())


def end(record, server: str, *digests: str, sent_s: float = SENT_S) -> None:
    """Let a server end some time after these requests were sent to it."""
    record.clock.now_s += 0.1
    now_s = record.clock.now_s
    sent = dict.fromkeys(digests, now_s - sent_s)
    record.record_crash(server, (), now_s, sent)


def answer(record, digest: str) -> None:
    record.clock.now_s += 0.1
    record.record_write(digest, record.clock.now_s)


def test_request_at_two_ends_is_withheld_and_those_beside_it_are_not():
    """Guards against blame that is spread over whoever was beside it."""
    record = crashes.CrashRecord(Clock())
    end(record, "a", LETHAL, "r:1", "r:2", "r:3")
    assert record.verdict(LETHAL) is Verdict.SUSPECT
    end(record, "b", LETHAL, "r:4", "r:5")
    assert record.verdict(LETHAL) is Verdict.WITHHELD
    for number in range(1, 6):
        assert record.verdict(f"r:{number}") is Verdict.CLEAR


def test_frequent_request_stays_clear_while_others_are_unknown(record):
    """Guards against three unlucky ends that shut out what many send."""
    end(record, "a", SOUND, "r:1")
    answer(record, SOUND)
    for number in range(2, 6):
        end(record, f"b-{number}", SOUND, f"r:{number}")
    assert record.verdict(SOUND) is Verdict.CLEAR


def test_request_that_is_answered_after_each_end_is_not_blamed(record):
    """Guards against a sound request at servers that end by themselves."""
    for number in range(4):
        end(record, f"a-{number}", SOUND)
        answer(record, SOUND)
        assert record.verdict(SOUND) is Verdict.CLEAR


def test_answered_request_is_tried_before_it_is_withheld(record):
    """Guards against two unlucky ends that shut out what many callers send."""
    end(record, "a", SOUND)
    answer(record, SOUND)
    end(record, "b", SOUND)
    end(record, "c", SOUND)
    assert record.verdict(SOUND) is Verdict.SUSPECT
    end(record, "d", SOUND)
    assert record.verdict(SOUND) is Verdict.WITHHELD
    record.clock.now_s += blame.REQUEST_HOLD_S
    assert record.verdict(SOUND) is Verdict.SUSPECT
    answer(record, SOUND)
    assert record.verdict(SOUND) is Verdict.CLEAR


def test_servers_that_end_together_count_once(record):
    """Guards against a new request that is at several ends of one cause."""
    for number in range(5):
        record.clock.now_s += 0.01
        record.record_crash(
            f"a-{number}", (), record.clock.now_s, {SOUND: 999.9}
        )
    assert record.verdict(SOUND) is Verdict.SUSPECT
    end(record, "b", SOUND)
    assert record.verdict(SOUND) is Verdict.WITHHELD


def test_requests_sent_in_a_row_to_servers_that_end_together_count_once(record):
    """Guards against counting what was sent before the first of these ends."""
    for number in range(3):
        sent_s = 999.9 + 0.01 * number
        record.record_crash(
            f"a-{number}", (), 1000.0 + 0.01 * number, {SOUND: sent_s}
        )
    assert record.verdict(SOUND) is Verdict.SUSPECT


def test_request_sent_again_shares_the_blame_with_a_burst(record):
    """Guards against a sound read that is withheld in place of a lethal burst.

    The burst reaches two servers before the first one ends. The read is beside
    it and sent again to the second server, so that only its sends are apart.
    """
    record.record_crash("a", (), 1000.0, {LETHAL: 999.95, SOUND: 999.95})
    record.record_crash("b", (), 1000.05, {LETHAL: 999.95, SOUND: 1000.02})
    assert record.verdict(SOUND) is Verdict.SUSPECT
    assert record.verdict(LETHAL) is Verdict.SUSPECT
    end(record, "c", LETHAL)
    assert record.verdict(SOUND) is Verdict.CLEAR
    assert record.verdict(LETHAL) is Verdict.WITHHELD


def test_ends_count_in_the_order_of_their_times():
    """Guards against evidence on an older end that arrives later."""
    ends = {
        server: blame.Crash(ended_s, set(), {LETHAL: ended_s - SENT_S})
        for server, ended_s in (("b", 1000.0), ("a", 999.0))
    }
    blamed = blame.assess(ends, {})[LETHAL]
    assert (blamed.total, blamed.last_ended_s) == (2.0, 1000.0)


@pytest.mark.parametrize("kind", [blame.PartBlame, blame.RequestBlame])
@pytest.mark.parametrize("total", [blame.MIN_BLAME, 2.0, 2.9, 3.0, 40.0])
def test_time_grows_with_each_whole_end_up_to_a_bound(kind, total):
    """Guards against too short a time after shared blame, or an endless one."""
    blamed = kind(total=total, last_ended_s=100.0)
    hold_s = blamed.withheld_until_s - 100.0
    if total < 3:
        assert hold_s == blamed.first_hold_s
    elif total == 3:
        assert hold_s == blamed.first_hold_s * blamed.hold_factor
    else:
        assert hold_s == blamed.max_hold_s


def test_each_end_after_a_trial_multiplies_the_time(record):
    """Guards against more retries than rule BUDGET allows on a long day."""
    end(record, "a", LETHAL)
    end(record, "b", LETHAL)
    hold_s = blame.REQUEST_HOLD_S
    for server in ("c", "d", "e"):
        record.clock.now_s += hold_s - 1.0
        assert record.verdict(LETHAL) is Verdict.WITHHELD
        record.clock.now_s += 1.0
        assert record.verdict(LETHAL) is Verdict.SUSPECT
        end(record, server, LETHAL)
        hold_s *= 8
    assert record.verdict(LETHAL) is Verdict.WITHHELD
    assert hold_s > 8 * 3600


def test_withheld_request_is_released_once_it_is_answered(record):
    """Guards against a request that is shut out though servers were mended."""
    end(record, "a", LETHAL)
    end(record, "b", LETHAL)
    record.clock.now_s += blame.REQUEST_HOLD_S
    answer(record, LETHAL)
    assert record.verdict(LETHAL) is Verdict.CLEAR


def test_parts_are_blamed_as_without_requests(record):
    """Guards against parts that are withheld later for the requests beside."""
    for server in ("a", "b"):
        record.clock.now_s += 0.1
        now_s = record.clock.now_s
        sent = {f"r:{server}": now_s, "r:1": now_s}
        record.record_crash(server, ("part",), now_s, sent)
    assert record.blames["part"].total == 2


def test_requests_of_one_end_are_bounded(record):
    """Guards against a busy server that fills the memory of all gateways."""
    end(record, "a", *(f"r:{n:03}" for n in range(200)))
    (crash,) = record.crashes.values()
    assert len(crash.requests) == crashes.MAX_REQUESTS


def test_many_lethal_requests_keep_those_that_are_withheld(record):
    """Guards against a caller who sends many different lethal requests."""
    end(record, "a", LETHAL)
    end(record, "b", LETHAL)
    for number in range(2 * crashes.MAX_CRASHES):
        end(record, f"c-{number}", f"r:{number}")
    assert record.verdict(LETHAL) is Verdict.WITHHELD
    assert len(record.crashes) == crashes.MAX_CRASHES


def test_merged_evidence_gives_the_same_verdicts():
    """Guards against gateways that disagree on what to withhold."""
    records = [crashes.CrashRecord(Clock()) for _ in range(3)]
    end(records[0], "a", LETHAL, "r:1")
    end(records[1], "a", LETHAL, "r:2")
    end(records[1], "b", LETHAL)
    answer(records[0], "r:1")
    for _ in range(2):
        for source in records:
            for target in records:
                target.merge(source.evidence())
    for record in records:
        assert record.verdict(LETHAL) is Verdict.WITHHELD
        assert set(record.crashes["a"].requests) == {LETHAL, "r:1", "r:2"}
        assert record.blames.keys() == {LETHAL}


def test_first_time_of_sending_counts(record):
    """Guards against gateways that disagree on which ends count."""
    for sent_s, expected_s in ((999.9, 999.9), (999.8, 999.9), (999.0, 999.0)):
        record.record_crash("a", (), 1000.0, {SOUND: sent_s})
        assert record.crashes["a"].requests == {SOUND: expected_s}


@strategies.composite
def ends_of_servers(draw) -> dict[str, blame.Crash]:
    """Draw ends at different times, of requests sent some time before."""
    digests = strategies.sampled_from([SOUND, "r:1", "r:2", "r:3"])
    before_s = strategies.floats(0.01, 3.0)
    ended_s = strategies.floats(10.0, 20.0)
    return {
        f"a-{number}": blame.Crash(
            at_s,
            set(),
            {
                digest: at_s - sent_s
                for digest, sent_s in draw(
                    strategies.dictionaries(digests, before_s, max_size=4)
                ).items()
            },
        )
        for number, at_s in enumerate(
            draw(strategies.lists(ended_s, max_size=8, unique=True))
        )
    }


ANSWERS = strategies.dictionaries(
    strategies.sampled_from([SOUND, "r:1"]), strategies.floats(5.0, 25.0)
)


@hypothesis.given(
    ends_of_servers(), ANSWERS, strategies.randoms(use_true_random=False)
)
def test_blame_is_bounded_and_independent_of_the_order(ends, answers, random):
    """Guards against one end that is blamed twice, or by whom it came first."""
    blamed = blame.assess(ends, answers)
    assert sum(each.total for each in blamed.values()) <= len(ends) + 1e-9
    for digest, answered_s in answers.items():
        if all(end.ended_s < answered_s for end in ends.values()):
            assert digest not in blamed
    shuffled = dict(random.sample(sorted(ends.items()), len(ends)))
    again = blame.assess(shuffled, answers)
    assert again.keys() == blamed.keys()
    for digest, expected in blamed.items():
        assert again[digest].total == pytest.approx(expected.total)
        assert again[digest].last_ended_s == expected.last_ended_s


@hypothesis.given(ends_of_servers(), ANSWERS, strategies.floats(0.0, 3.0))
def test_nothing_beside_a_lethal_request_is_blamed_more(ends, answers, wait_s):
    """Guards against sound requests that are withheld in its place.

    It may have waited in queues, or come in a burst.
    """
    for end in ends.values():
        end.requests[LETHAL] = end.ended_s - wait_s - 0.01
    blamed = blame.assess(ends, answers)
    for digest, each in blamed.items():
        if digest != LETHAL and each.total >= blame.MIN_BLAME:
            here = [end for end in ends.values() if digest in end.requests]
            assert len(here) == len(ends)
