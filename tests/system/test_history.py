"""The checker itself must tell wrong histories from right ones."""

from tests.system import history

Operation = history.Operation


def _check(*operations):
    return history.linearizable(operations, 0, history.step_configuration)


def test_two_winners_on_one_base_are_found():
    """A checker that accepts two winners would prove nothing."""
    first = Operation("submit", 0, 0.0, 2.0, True)
    second = Operation("submit", 0, 1.0, 3.0, True)
    assert not _check(first, second)
    second.output = False
    assert _check(first, second)


def test_stale_read_is_found():
    """A read that goes back behind an answered submission is a fault."""
    write = Operation("submit", 0, 0.0, 1.0, True)
    assert not _check(write, Operation("read", None, 2.0, 3.0, 0))
    assert _check(write, Operation("read", None, 0.5, 3.0, 0))


def test_unknown_outcome_may_take_effect_late_or_never():
    """Counting a lost answer as a refusal would report false faults."""
    lost = Operation("submit", 0, 0.0)
    assert _check(lost, Operation("read", None, 1.0, 2.0, 0))
    assert _check(lost, Operation("read", None, 1.0, 2.0, 1))
    assert not _check(lost, Operation("read", None, 1.0, 2.0, 2))
