"""Raft membership: the voters and their quorums.

A quorum is a majority. Half of an even number of voters is one as well if a
voter of the other half is known to have lost its data for good: two such
halves, or a half and a majority, always share a voter that holds its data.
This keeps a cluster available that has one voter more than it needs while a
machine is being replaced, and loses that machine and a disk within moments.
"""

import collections.abc

import msgspec

from flamingocleat import ids


class Membership(msgspec.Struct, frozen=True):
    """Voters and their gRPC addresses.

    During a membership change, outgoing holds the previous voters and a quorum
    needs a majority of both sets (joint consensus). Otherwise two leaders could
    be elected, since majorities of {a, b, c} and {a, b, d} need not overlap.
    """

    voters: dict[ids.VoterId, str]
    outgoing: dict[ids.VoterId, str] | None = None

    @property
    def is_joint(self) -> bool:
        """Whether a membership change is in progress."""
        return self.outgoing is not None

    def addresses(self) -> dict[ids.VoterId, str]:
        """Return the addresses of all voters, including outgoing ones."""
        return (self.outgoing or {}) | self.voters

    def has_quorum(
        self,
        agreed: collections.abc.Container[ids.VoterId],
        lost: collections.abc.Container[ids.VoterId] = frozenset(),
    ) -> bool:
        """Return whether the voters that agreed form a quorum.

        Voters known to have lost their data do not count, whatever they agreed
        to before.
        """
        return all(
            sum(voter in agreed and voter not in lost for voter in voters)
            >= _quorum_size(voters, lost)
            for voters in self._voter_sets()
        )

    def reached(
        self,
        values: collections.abc.Mapping[ids.VoterId, int],
        lost: collections.abc.Container[ids.VoterId] = frozenset(),
    ) -> int:
        """Return the highest value that a quorum of voters has reached."""
        return min(
            sorted(
                0 if voter in lost else values.get(voter, 0) for voter in voters
            )[-_quorum_size(voters, lost)]
            for voters in self._voter_sets()
        )

    def replace(self, voters: dict[ids.VoterId, str]) -> "Membership":
        """Return the joint membership for the transition to new voters."""
        return Membership(voters, self.voters)

    def _voter_sets(self) -> list[dict[ids.VoterId, str]]:
        return [self.voters] + ([self.outgoing] if self.outgoing else [])


def _quorum_size(
    voters: dict[ids.VoterId, str],
    lost: collections.abc.Container[ids.VoterId],
) -> int:
    half = len(voters) // 2
    is_half_enough = len(voters) % 2 == 0 and any(
        voter in lost for voter in voters
    )
    return half if is_half_enough else half + 1
