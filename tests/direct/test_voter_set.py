"""Which coordinators vote."""

import pytest

from flamingocleat.process import voter_set


def _voters(names):
    return {each: each.upper() for each in names}


@pytest.mark.parametrize(
    ("before", "joins", "silent", "losses", "after"),
    [
        ("abc", ("d", "D"), "", 1, "abcd"),
        ("abc", ("d", "D"), "c", 1, "abd"),
        ("abc", ("d", "D"), "c", 2, "abcd"),
        ("abc", ("x", "C"), "", 1, "abx"),
        ("abc", ("x", "C"), "a", 1, "abx"),
        ("abcde", ("f", "F"), "ba", 2, "acdef"),
        ("abcde", ("f", "F"), "ba", 1, "cdef"),
        ("abcd", ("d", "E"), "d", 1, "abcd"),
    ],
)
def test_joining_voter_replaces_lost_ones(before, joins, silent, losses, after):
    """A joining voter must replace the right voters, if any.

    That is the one at its address, which lost its disk, or else those that
    have been silent for longest and are not needed.
    """
    voters = voter_set.with_voter(
        _voters(before), *joins, list(silent), voter_set.needed(losses)
    )
    assert "".join(sorted(voters)) == after
    assert voters[joins[0]] == joins[1]


@pytest.mark.parametrize(
    ("before", "absent", "losses", "after"),
    [
        ("abc", "c", 1, "abc"),
        ("abcd", "", 1, "abcd"),
        ("abcd", "db", 1, "abc"),
        ("abcd", "x", 1, "abcd"),
        ("abcde", "e", 2, "abcde"),
        ("abcde", "e", 1, "abcd"),
        ("abcde", "ab", 1, "cde"),
        ("abcdefg", "ab", 2, "cdefg"),
        ("abcdefg", "abc", 2, "cdefg"),
    ],
)
def test_absent_voters_are_dropped_down_to_the_needed_number(
    before, absent, losses, after
):
    """Voters that are gone must not count if others suffice, and only then.

    It does not matter whether their number is even or odd.
    """
    voters = voter_set.without_surplus(
        _voters(before), list(absent), voter_set.needed(losses)
    )
    assert "".join(sorted(voters)) == after


# A leader that was suspended has heard nobody, and must not drop a live voter.
def test_silence_counts_from_the_last_contact_with_a_quorum():
    contacts_s = {"b": 10.0, "c": 9.9, "d": 4.0}
    assert voter_set.silent_voters(contacts_s, 10.0, 2.5) == ["d"]
    assert voter_set.silent_voters(contacts_s, 4.0, 2.5) == []
