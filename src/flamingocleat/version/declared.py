"""Replicated state of a directly served deployment.

It holds the document with the highest version. Unlike `machine`, which uses
compare-and-set, it replaces any document with one of a higher version.
"""

import typing

import msgspec

from flamingocleat import ids


class PutDocument(msgspec.Struct, frozen=True, tag="put"):
    """Stores a document if its version is higher than the stored one."""

    version: int
    document: bytes


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


class Machine:
    """Replicated state machine; it has the same state on all voters."""

    def __init__(self) -> None:
        self.version = -1
        """Version of the document, or -1 if there is none."""
        self.document = b""
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
        if command.version <= self.version:
            return False
        self.version = command.version
        self.document = command.document
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
        return _encoder.encode(_State(self.version, self.document, self.voters))

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        state = msgspec.msgpack.decode(data, type=_State)
        self.version = state.version
        self.document = state.document
        self.voters = dict(state.voters)
