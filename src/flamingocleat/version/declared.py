"""Replicated state of a directly served deployment.

It holds the document with the highest version. Unlike `machine`, which uses
compare-and-set, it replaces any document with one of a higher version. It also
holds the withdrawals of backend servers for a time, so that a new leader knows
which announcements are outdated, and the data centres that are evacuated.
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


class EvacuationOrder(msgspec.Struct, frozen=True):
    """An operator's order to evacuate a data centre or to reinstate it."""

    data_centre: ids.DataCentreId
    evacuated: bool
    ordered_ms: int
    """When the leader received it, as Unix time in milliseconds."""


class PutDocument(msgspec.Struct, frozen=True, tag="put", omit_defaults=True):
    """Stores a document if its version is higher than the stored one.

    With a withdrawal or an evacuation order it has no document: a voter of an
    earlier build, which does not know these, then changes nothing.
    """

    version: int
    document: bytes
    withdrawal: StoredWithdrawal | None = None
    evacuation: EvacuationOrder | None = None


class ChangeVoters(msgspec.Struct, frozen=True, tag="voters"):
    """Replaces the set of voters."""

    voters: dict[ids.VoterId, str]


Command = PutDocument | ChangeVoters

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)


class _State(msgspec.Struct, frozen=True, omit_defaults=True):
    version: int
    document: bytes
    voters: dict[ids.VoterId, str]
    withdrawals: tuple[StoredWithdrawal, ...] = ()
    evacuations: dict[ids.DataCentreId, int] = {}


class Machine:
    """Replicated state machine; it has the same state on all voters."""

    def __init__(self) -> None:
        self.version = NO_VERSION
        """Version of the document, or NO_VERSION if there is none."""
        self.document = b""
        self.withdrawals: dict[ids.BackendId, StoredWithdrawal] = {}
        """In the order in which they were stored."""
        self.evacuations: dict[ids.DataCentreId, int] = {}
        """When each data centre that is evacuated was ordered to be, as Unix
        time in milliseconds. Always the same object, so that others can keep
        it."""
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
        """Apply a command.

        Returns:
            Whether it changed the document, or the evacuated data centres.
        """
        if isinstance(command, ChangeVoters):
            return False
        if command.evacuation is not None:
            return self._apply_evacuation(command.evacuation)
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

    def _apply_evacuation(self, order: EvacuationOrder) -> bool:
        """Apply an order; return whether it changed anything.

        A repeated order keeps the time of the first one.
        """
        if order.evacuated == (order.data_centre in self.evacuations):
            return False
        if order.evacuated:
            self.evacuations[order.data_centre] = order.ordered_ms
        else:
            del self.evacuations[order.data_centre]
        return True

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
                self.evacuations,
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
        self.evacuations.clear()
        self.evacuations.update(state.evacuations)
