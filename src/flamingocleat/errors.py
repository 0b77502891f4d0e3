"""Exceptions of the system; each one formats itself for users."""

import msgspec


class FlamingocleatError(Exception):
    """Base of all errors that the system raises deliberately."""


class Finding(msgspec.Struct, frozen=True):
    """One fault in a document: where it is and how to remedy it.

    Line and column count from 1.
    """

    file: str
    line: int
    column: int
    message: str
    remedy: str

    def __str__(self) -> str:
        """Format as file:line:column: message (remedy)."""
        return (
            f"{self.file}:{self.line}:{self.column}: "
            f"{self.message} ({self.remedy})"
        )


class DocumentError(FlamingocleatError):
    """A settings file or configuration has findings."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class StorageError(FlamingocleatError):
    """A data folder is missing, corrupt or of another voter."""


class NotLeaderError(FlamingocleatError):
    """This voter is not the leader; the hint names the leader's address."""

    def __init__(self, leader_hint: str) -> None:
        super().__init__(f"not the leader; leader is {leader_hint or '?'}")
        self.leader_hint = leader_hint


class CommitUnknownError(FlamingocleatError):
    """A proposed entry may or may not be committed later."""


class UnavailableError(FlamingocleatError):
    """No control leader answered in time."""


class ProtocolError(FlamingocleatError):
    """A message between processes could not be decoded."""
