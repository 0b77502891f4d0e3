"""Evidence on parts of prompts, gathered by several gateways."""

import hypothesis
import pytest
from hypothesis import strategies

from flamingocleat.version import blame
from flamingocleat.version import crashes

Verdict = crashes.Verdict


class Clock:
    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def record(clock):
    return crashes.CrashRecord(clock)


def end(record, group: str, *parts: str) -> None:
    record.clock.now_s += 0.1
    record.record_crash(group, parts, record.clock.now_s)


def write(record, part: str) -> None:
    record.clock.now_s += 0.1
    record.record_write(part, record.clock.now_s)


def test_part_is_suspect_after_one_end_and_withheld_after_two(record):
    """A single end may be a chance; the same part at two is not."""
    assert record.verdict("a") is Verdict.CLEAR
    end(record, "g-1", "a")
    assert record.verdict("a") is Verdict.SUSPECT
    end(record, "g-1", "a")
    assert record.verdict("a") is Verdict.SUSPECT
    end(record, "g-2", "a")
    assert record.verdict("a") is Verdict.WITHHELD


def test_part_that_is_written_on_is_cleared(record):
    """The blame must move to the parts that are left."""
    end(record, "g-1", "caller", "a", "b")
    end(record, "g-2", "caller", "a")
    assert record.verdict("a") is Verdict.SUSPECT
    write(record, "caller")
    assert record.verdict("caller") is Verdict.CLEAR
    assert record.verdict("a") is Verdict.WITHHELD
    write(record, "b")
    assert record.verdict("b") is Verdict.CLEAR
    assert record.blames["a"].total == 2


def test_known_part_stays_clear_while_others_are_unknown(record):
    """A caller's part must not be withheld for what others of it send."""
    write(record, "caller")
    for number in range(8):
        end(record, f"g-{number}", "caller", "a")
        if not number:
            write(record, "caller")
    assert record.verdict("caller") is Verdict.CLEAR
    assert record.verdict("a") is Verdict.WITHHELD


def test_part_that_turned_harmful_is_withheld(record):
    """A part may end servers although it did not before."""
    end(record, "g-1", "a")
    write(record, "a")
    assert record.verdict("a") is Verdict.CLEAR
    end(record, "g-2", "a")
    assert record.verdict("a") is Verdict.SUSPECT
    end(record, "g-3", "a")
    assert record.verdict("a") is Verdict.WITHHELD


def test_withheld_part_is_tried_again_after_a_time(record, clock):
    """A server may have been mended; each further end doubles the time."""
    for number in range(2):
        end(record, f"g-{number}", "a")
    clock.now_s += blame.PART_HOLD_S
    assert record.verdict("a") is Verdict.SUSPECT
    end(record, "g-2", "a")
    clock.now_s += blame.PART_HOLD_S
    assert record.verdict("a") is Verdict.WITHHELD
    clock.now_s += blame.PART_HOLD_S
    assert record.verdict("a") is Verdict.SUSPECT
    write(record, "a")
    assert record.verdict("a") is Verdict.CLEAR


def test_record_is_bounded(record, clock):
    """Ends and parts beyond the bounds must be dropped, the oldest first.

    Those of a part that is withheld are kept, until they are too old.
    """
    for number in range(2):
        end(record, f"a-{number}", "a")
    for number in range(2 * crashes.MAX_CRASHES):
        end(record, f"g-{number}", *(f"p-{number}-{n:02}" for n in range(99)))
    assert len(record.crashes) == crashes.MAX_CRASHES
    assert max(len(c.parts) for c in record.crashes.values()) == (
        crashes.MAX_PARTS
    )
    assert {"a-0", "a-1"} <= record.crashes.keys()
    assert record.verdict("a") is Verdict.WITHHELD
    clock.now_s += crashes.RETENTION_S
    end(record, "g-last", "b")
    assert set(record.crashes) == {"g-last"}


NAMES = strategies.sampled_from(["a", "b", "c"])
OBSERVATIONS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("end"), NAMES, NAMES),
        strategies.tuples(strategies.just("write"), NAMES, NAMES),
    ),
    max_size=12,
)


@hypothesis.given(OBSERVATIONS, strategies.randoms(use_true_random=False))
def test_gateways_agree_in_whatever_order_evidence_arrives(
    observations, generator
):
    """Merging must not depend on order, nor on who passes evidence on."""
    clock = Clock()
    records = [crashes.CrashRecord(clock) for _ in range(3)]
    for number, (kind, one, other) in enumerate(observations):
        record = generator.choice(records)
        if kind == "end":
            end(record, f"g-{number}", one, other)
        else:
            # A write is kept only of parts that are known to be in an end.
            clock.now_s += 0.1
            for each in records:
                each.record_write(one, clock.now_s)
        if generator.random() < 0.3:
            generator.choice(records).merge(record.evidence())
    for _ in range(2):
        for record in generator.sample(records, 3):
            for other_record in generator.sample(records, 3):
                other_record.merge(record.evidence())
    verdicts = [[each.verdict(part) for part in "abc"] for each in records]
    assert verdicts[0] == verdicts[1] == verdicts[2]
    versions = [each.version for each in records]
    for record in records:
        record.merge(records[0].evidence())
    assert versions == [each.version for each in records]
