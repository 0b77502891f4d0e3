"""Who votes, and which sets of voters are a quorum."""

import collections.abc

import msgspec

from flamingocleat import ids


class Membership(msgspec.Struct, frozen=True):
    """Voters and their gRPC addresses.

    While a voter is replaced, outgoing holds the former voters and a quorum
    needs a majority of both sets. Majorities of {a, b, c} and {a, b, d}
    alone need not overlap, so that two leaders could be elected.
    """

    voters: dict[ids.VoterId, str]
    outgoing: dict[ids.VoterId, str] | None = None

    @property
    def is_joint(self) -> bool:
        """True while a voter is replaced."""
        return self.outgoing is not None

    def addresses(self) -> dict[ids.VoterId, str]:
        """Return all voters, former ones included."""
        return (self.outgoing or {}) | self.voters

    def has_quorum(
        self, agreed: collections.abc.Container[ids.VoterId]
    ) -> bool:
        """Return whether the voters that agree are a quorum."""
        return all(
            sum(voter in agreed for voter in voters) > len(voters) // 2
            for voters in self._sets()
        )

    def reached(self, values: collections.abc.Mapping[ids.VoterId, int]) -> int:
        """Return the highest value that a quorum has reached."""
        return min(
            sorted(values.get(voter, 0) for voter in voters)[
                (len(voters) - 1) // 2
            ]
            for voters in self._sets()
        )

    def replace(self, voters: dict[ids.VoterId, str]) -> "Membership":
        """Return the joint membership on the way to other voters."""
        return Membership(voters, self.voters)

    def _sets(self) -> list[dict[ids.VoterId, str]]:
        return [self.voters] + ([self.outgoing] if self.outgoing else [])
