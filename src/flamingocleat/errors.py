"""Exceptions of the package; their messages are meant for users."""

import msgspec


class FlamingocleatError(Exception):
    """Base class of all exceptions that the package defines."""


class Finding(msgspec.Struct, frozen=True):
    """One error in a document, with its position and remedy.

    Line and column numbers start at 1.
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
    """A settings file or configuration is invalid."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class StorageError(FlamingocleatError):
    """A data folder is missing, corrupt or belongs to another voter."""


class NotLeaderError(FlamingocleatError):
    """This voter is not the leader; the hint is the leader's address."""

    def __init__(self, leader_hint: str) -> None:
        super().__init__(f"not the leader; leader is {leader_hint or '?'}")
        self.leader_hint = leader_hint


class CommitUnknownError(FlamingocleatError):
    """It is unknown whether a proposed entry will be committed."""


class UnavailableError(FlamingocleatError):
    """No control leader responded in time."""


class ProtocolError(FlamingocleatError):
    """A message from another process is invalid."""
