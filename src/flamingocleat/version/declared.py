"""Replicated state of a directly served deployment.

It holds the document with the highest version. Unlike `machine`, which uses
compare-and-set, it replaces any document with one of a higher version. It also
holds the withdrawals of backend servers for a time, so that a new leader knows
which announcements are outdated.
"""

import typing

import msgspec

from flamingocleat import ids
from flamingocleat.version import fleet

NO_VERSION = -1
MAX_WITHDRAWALS = 4096
"""Bound on the withdrawals that are held. A region of 10,000 servers has fewer
within the time for which they are held, unless all are replaced at once."""


class StoredWithdrawal(msgspec.Struct, frozen=True):
    """A withdrawal and when it was stored, as Unix time in milliseconds."""

    withdrawal: fleet.Withdrawal
    stored_ms: int


class PutDocument(msgspec.Struct, frozen=True, tag="put"):
    """Stores a document if its version is higher than the stored one.

    With a withdrawal it has no document: a voter of an earlier build, which
    does not know withdrawals, then changes nothing.
    """

    version: int
    document: bytes
    withdrawal: StoredWithdrawal | None = None


class ChangeVoters(msgspec.Struct, frozen=True, tag="voters"):
    """Replaces the set of voters."""

    voters: dict[ids.VoterId, str]


Command = PutDocument | ChangeVoters

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)


class _State(msgspec.Struct, frozen=True):
    version: int
    document: bytes
    voters: dict[ids.VoterId, str]
    withdrawals: tuple[StoredWithdrawal, ...] = ()


class Machine:
    """Replicated state machine; it has the same state on all voters."""

    def __init__(self) -> None:
        self.version = NO_VERSION
        """Version of the document, or NO_VERSION if there is none."""
        self.document = b""
        self.withdrawals: dict[ids.BackendId, StoredWithdrawal] = {}
        """In the order in which they were stored."""
        self.voters: dict[ids.VoterId, str] = {}

    def encode(self, command: Command) -> bytes:
        """Return the command as bytes."""
        return _encoder.encode(command)

    def decode(self, data: bytes) -> Command:
        """Return the command.

        Raises:
            msgspec.MsgspecError: The data is not a valid command.
        """
        return _decoder.decode(data)

    def apply(self, index: int, command: Command) -> bool:
        """Apply a command; return whether it changed the document."""
        if isinstance(command, ChangeVoters):
            return False
        if command.withdrawal is not None:
            self._store_withdrawal(command.withdrawal)
        if command.version <= self.version:
            return False
        self.version = command.version
        self.document = command.document
        return True

    def holds(self, withdrawal: fleet.Withdrawal) -> bool:
        """Return whether this withdrawal, or a later one, is stored."""
        held = self.withdrawals.get(withdrawal.backend)
        return (
            held is not None and held.withdrawal.version >= withdrawal.version
        )

    def _store_withdrawal(self, stored: StoredWithdrawal) -> None:
        if self.holds(stored.withdrawal):
            return
        self.withdrawals.pop(stored.withdrawal.backend, None)
        self.withdrawals[stored.withdrawal.backend] = stored
        since_ms = stored.stored_ms - fleet.WITHDRAWAL_S * 1000
        kept = [
            each
            for each in self.withdrawals.values()
            if each.stored_ms > since_ms
        ][-MAX_WITHDRAWALS:]
        self.withdrawals = {each.withdrawal.backend: each for each in kept}

    def voters_after(
        self, command: typing.Any
    ) -> dict[ids.VoterId, str] | None:
        """Return the voters after a command, or None if they stay the same."""
        if isinstance(command, ChangeVoters):
            return dict(command.voters)
        return None

    def snapshot(self) -> bytes:
        """Return the state as bytes."""
        return _encoder.encode(
            _State(
                self.version,
                self.document,
                self.voters,
                tuple(self.withdrawals.values()),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        state = msgspec.msgpack.decode(data, type=_State)
        self.version = state.version
        self.document = state.document
        self.voters = dict(state.voters)
        self.withdrawals = {
            each.withdrawal.backend: each for each in state.withdrawals
        }
