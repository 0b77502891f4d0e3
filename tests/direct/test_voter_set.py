"""Which coordinators vote, and which of them form a quorum."""

import itertools

import pytest

from flamingocleat.process import membership
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
        ("abcde", "bab", 1, "cde"),
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


def _quorums(names, lost):
    """Return all quorums of voters, none of which has lost its data."""
    members = membership.Membership(_voters(names))
    return [
        set(agreed)
        for size in range(1, len(names) + 1)
        for agreed in itertools.combinations(names, size)
        if members.has_quorum(agreed, lost) and not set(agreed) & set(lost)
    ]


@pytest.mark.parametrize("names", ["ab", "abc", "abcd", "abcde", "abcdef"])
def test_quorums_share_a_voter_that_has_its_data(names):
    """A quorum must overlap with all before it, whatever is lost in between.

    A voter of the first quorum may lose its disk afterwards, and each leader
    may know of other losses, but of no voter that is still in use.
    """
    sets = [
        frozenset(lost)
        for size in range(len(names))
        for lost in itertools.combinations(names, size)
    ]
    for before, after in itertools.product(sets, repeat=2):
        for known in (each for each in sets if each <= after):
            for first in _quorums(names, before):
                for second in _quorums(names, known):
                    # Losses come later than the first quorum, except those
                    # of voters that it was formed without.
                    if second & after or not before <= after:
                        continue
                    assert first & second


def test_half_of_an_even_number_needs_a_known_loss():
    """Half of the voters must not decide while the others may live."""
    members = membership.Membership(_voters("abcd"))
    assert not members.has_quorum("ab")
    assert members.has_quorum("ab", {"d"})
    assert not members.has_quorum("ad", {"d"})
    assert not members.has_quorum("a", {"c", "d"})
    assert members.reached({"a": 7, "b": 5, "c": 3, "d": 9}) == 5
    assert members.reached({"a": 7, "b": 5, "c": 3, "d": 9}, {"d"}) == 5
    assert members.reached({"a": 7, "b": 2, "c": 3}, {"d"}) == 3
    odd = membership.Membership(_voters("abc"))
    assert not odd.has_quorum("a", {"b", "c"})
    assert odd.reached({"a": 7, "b": 9, "c": 3}, {"b"}) == 3
    joint = membership.Membership(_voters("abcx"), _voters("abcd"))
    assert joint.has_quorum("abx", {"d"})
    assert not joint.has_quorum("ab", {"d"})
