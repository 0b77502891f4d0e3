"""Decision which coordinators are voters.

A cluster that bears the loss of f machines at once needs 2f + 1 voters. All
coordinators may be voters, so that a successor holds the data before the
machine that it replaces is removed. A voter that is silent, or that stops, is
dropped while more voters are left than needed, whether their number is even or
odd. Voters that are needed are kept, however long they are silent: their disks
may hold what others lose.
"""

import collections.abc

from flamingocleat import ids

Addresses = dict[ids.VoterId, str]
"""Voters and their gRPC addresses."""


def needed(tolerated_losses: int) -> int:
    """Return how many voters bear the loss of so many machines at once."""
    return 2 * tolerated_losses + 1


def with_voter(
    voters: Addresses,
    voter: ids.VoterId,
    address: str,
    silent: collections.abc.Sequence[ids.VoterId],
    needed_voters: int,
) -> Addresses:
    """Return the voters with one added.

    A voter at the same address has lost its disk and is replaced.
    """
    new_voters = {
        known: known_address
        for known, known_address in voters.items()
        if known_address != address
    }
    new_voters[voter] = address
    return without_surplus(
        new_voters, [each for each in silent if each != voter], needed_voters
    )


def without_surplus(
    voters: Addresses,
    absent: collections.abc.Sequence[ids.VoterId],
    needed_voters: int,
) -> Addresses:
    """Return the voters without absent ones, as far as others suffice.

    Args:
        voters: The voters and their addresses.
        absent: Voters that stop or are silent, those to drop first first.
        needed_voters: How many voters are kept at least.
    """
    present = [voter for voter in dict.fromkeys(absent) if voter in voters]
    dropped = present[: max(0, len(voters) - needed_voters)]
    return {
        voter: address
        for voter, address in voters.items()
        if voter not in dropped
    }


def silent_voters(
    contacts_s: collections.abc.Mapping[ids.VoterId, float],
    quorum_contact_s: float,
    timeout_s: float,
) -> list[ids.VoterId]:
    """Return silent voters, the longest silent first.

    The silence is that beside a quorum which answered: a leader that did not
    run for a while has heard nobody, which says nothing about the others.

    Args:
        contacts_s: When each other voter last answered, in monotonic seconds.
        quorum_contact_s: When a quorum last answered.
        timeout_s: Duration of silence, in seconds.
    """
    silent = [
        (contact_s, voter)
        for voter, contact_s in contacts_s.items()
        if quorum_contact_s - contact_s > timeout_s
    ]
    return [voter for _, voter in sorted(silent)]
