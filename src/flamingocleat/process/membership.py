"""Raft membership: the voters and their quorums."""

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
        self, agreed: collections.abc.Container[ids.VoterId]
    ) -> bool:
        """Return whether the voters that agreed form a quorum."""
        return all(
            sum(voter in agreed for voter in voters) > len(voters) // 2
            for voters in self._voter_sets()
        )

    def reached(self, values: collections.abc.Mapping[ids.VoterId, int]) -> int:
        """Return the highest value that a quorum of voters has reached."""
        return min(
            sorted(values.get(voter, 0) for voter in voters)[
                (len(voters) - 1) // 2
            ]
            for voters in self._voter_sets()
        )

    def replace(self, voters: dict[ids.VoterId, str]) -> "Membership":
        """Return the joint membership for the transition to new voters."""
        return Membership(voters, self.voters)

    def _voter_sets(self) -> list[dict[ids.VoterId, str]]:
        return [self.voters] + ([self.outgoing] if self.outgoing else [])
