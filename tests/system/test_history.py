"""Tests of the linearizability checker that the system tests rely on."""

from tests.system import history

Operation = history.Operation


def _check(*operations):
    return history.linearizable(operations, 0, history.step_configuration)


def test_two_accepted_changes_of_one_base_are_found():
    """Guards against a checker that misses two accepted changes of one base.

    Two concurrent submissions on the same base version are never both
    accepted in a legal history.
    """
    first = Operation("submit", 0, 0.0, 2.0, True)
    second = Operation("submit", 0, 1.0, 3.0, True)
    assert not _check(first, second)
    second.output = False
    assert _check(first, second)


def test_stale_read_is_found():
    """Guards against a checker that misses stale reads.

    A read that starts after a submission was answered must see its version;
    a concurrent read may see the old one.
    """
    write = Operation("submit", 0, 0.0, 1.0, True)
    assert not _check(write, Operation("read", None, 2.0, 3.0, 0))
    assert _check(write, Operation("read", None, 0.5, 3.0, 0))


def test_unknown_outcome_may_take_effect_late_or_never():
    """Guards against false alarms after a lost answer.

    A submission without a known outcome may have been accepted or not; a
    checker that takes it for refused would report correct histories.
    """
    unanswered = Operation("submit", 0, 0.0)
    assert _check(unanswered, Operation("read", None, 1.0, 2.0, 0))
    assert _check(unanswered, Operation("read", None, 1.0, 2.0, 1))
    assert not _check(unanswered, Operation("read", None, 1.0, 2.0, 2))
