"""Replicated state of the control program.

Every voter applies the same commands in the same order and must reach the
same state, so nothing here reads a clock, a random source or a file. Times
are milliseconds since the epoch and are part of the commands.
"""

import collections.abc
import enum
import functools

import msgspec

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.version import register
from flamingocleat.version import schema

MAX_CHANGES = 10_000
"""Limit on change ids that are kept; the oldest are dropped first. This
covers more than three hours at 72,000 changes a day. A submission that is
resent later has an outdated base version and is refused, so it is never
accepted twice."""
MAX_AUDIT_RECORDS = 10_000
MAX_AUDIT_CHARACTERS = 2_000_000
"""Limit on the total length of the differences in the audit trail; the oldest
records are dropped first."""
MAX_DIFFERENCE_CHARACTERS = 16_000
"""Longer differences are truncated in the audit trail."""
MAX_TEXT_CHARACTERS = 4_000_000
MAX_GROUPS = 20_000
MAX_DRAINED = 20_000


class Command(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Base class of all commands; the tag is the class name."""


class SubmitConfiguration(Command, frozen=True, tag=True):
    """Replaces the configuration if `base_version` is the present version."""

    operator: ids.OperatorId
    change_id: ids.ChangeId
    base_version: ids.ConfigurationVersion
    configuration: schema.Configuration
    text: str
    """The YAML text as it was submitted."""
    difference: str
    """Changes against the base version, as text for the audit trail."""
    time_ms: int


class Assign(Command, frozen=True, tag=True):
    """Assigns and releases groups atomically.

    The log index replaces the fencing numbers in the assignments.
    """

    basis: int
    """Value of `Machine.basis` at the time of planning."""
    assignments: tuple[messages.Assignment, ...] = ()
    releases: tuple[ids.GroupId, ...] = ()


class DrainVm(Command, frozen=True, tag=True):
    """Drains a VM, or ends its drain."""

    operator: ids.OperatorId
    change_id: ids.ChangeId
    vm: ids.VmId
    drained: bool
    time_ms: int


class ClaimCall(Command, frozen=True, tag=True):
    """Claims the key of a non-repeatable call; results in a ClaimReply."""

    request: messages.ClaimRequest
    time_ms: int


class ConcludeCall(Command, frozen=True, tag=True):
    """Concludes a non-repeatable call; results in a ConcludeReply."""

    request: messages.ConcludeRequest
    time_ms: int


class ReplaceVoter(Command, frozen=True, tag=True):
    """Replaces a voter with one that has a new voter id."""

    operator: ids.OperatorId
    change_id: ids.ChangeId
    old: ids.VoterId
    new: ids.VoterId
    address: str
    """gRPC address of the new voter."""
    time_ms: int


AnyCommand = (
    SubmitConfiguration
    | Assign
    | DrainVm
    | ClaimCall
    | ConcludeCall
    | ReplaceVoter
)


class Decision(enum.Enum):
    """The machine's decision on a change."""

    ACCEPTED = "accepted"
    OUTDATED = "outdated"
    """The base version or the basis is not the present one."""
    REFUSED = "refused"


class ChangeOutcome(msgspec.Struct, frozen=True):
    """Decision on an operator's change."""

    decision: Decision
    version: ids.ConfigurationVersion
    """Version in force right after the decision."""
    reason: str = ""


class AssignOutcome(msgspec.Struct, frozen=True):
    """Decision on an Assign command."""

    decision: Decision
    basis: int
    """Value of `Machine.basis` right after the decision."""
    reason: str = ""


class AuditRecord(msgspec.Struct, frozen=True):
    """Who made an accepted change, when, and what it changed."""

    index: int
    time_ms: int
    operator: ids.OperatorId
    change_id: ids.ChangeId
    action: str
    base_version: ids.ConfigurationVersion
    version: ids.ConfigurationVersion
    difference: str


class DecidedChange(msgspec.Struct, frozen=True):
    """A change id with its first outcome."""

    operator: ids.OperatorId
    change_id: ids.ChangeId
    outcome: ChangeOutcome


class MachineState(msgspec.Struct):
    """The content of the machine in a snapshot."""

    version: ids.ConfigurationVersion
    configuration: schema.Configuration | None
    text: str
    basis: int
    assignments: list[messages.Assignment]
    drained: list[ids.VmId]
    audit: list[AuditRecord]
    changes: list[DecidedChange]
    voters: dict[ids.VoterId, str]
    register: register.RegisterState


_encoder = msgspec.msgpack.Encoder()


@functools.cache
def _command_decoder() -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(AnyCommand)


class Machine:
    """Replicated state machine; it has the same state on all voters."""

    def __init__(self) -> None:
        self.version = ids.ConfigurationVersion(0)
        self.configuration: schema.Configuration | None = None
        self.text = ""
        self.basis = 0
        """Log index of the last change to what placement depends on: the
        configuration, the assignments and the drained VMs."""
        self.assignments: dict[ids.GroupId, messages.Assignment] = {}
        self.drained: dict[ids.VmId, bool] = {}
        self.audit: list[AuditRecord] = []
        self.audit_characters = 0
        self.changes: dict[
            tuple[ids.OperatorId, ids.ChangeId], ChangeOutcome
        ] = {}
        self.voters: dict[ids.VoterId, str] = {}
        """Voters and their addresses; set by the consensus module."""
        self.register = register.Register()

    def encode(self, command: Command) -> bytes:
        """Return the command as MessagePack."""
        return _encoder.encode(command)

    def decode(self, data: bytes) -> Command:
        """Return the command.

        Raises:
            msgspec.MsgspecError: The data is not a valid command.
        """
        return _command_decoder().decode(data)

    def apply(self, index: int, command: Command) -> msgspec.Struct:
        """Apply the command at a log index and return its result."""
        return _HANDLERS[type(command)](self, index, command)

    def voters_after(self, command: Command) -> dict[ids.VoterId, str] | None:
        """Return the voters after a command, or None if they stay the same."""
        if not isinstance(command, ReplaceVoter):
            return None
        if (command.operator, command.change_id) in self.changes:
            return None
        if command.old not in self.voters or command.new in self.voters:
            return None
        kept = {v: a for v, a in self.voters.items() if v != command.old}
        return kept | {command.new: command.address}

    def snapshot(self) -> bytes:
        """Return the whole state as MessagePack."""
        return _encoder.encode(
            MachineState(
                version=self.version,
                configuration=self.configuration,
                text=self.text,
                basis=self.basis,
                assignments=list(self.assignments.values()),
                drained=list(self.drained),
                audit=self.audit,
                changes=[
                    DecidedChange(operator, change_id, outcome)
                    for (operator, change_id), outcome in self.changes.items()
                ],
                voters=self.voters,
                register=self.register.state(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state with that of a snapshot."""
        state = msgspec.msgpack.decode(data, type=MachineState)
        self.version = state.version
        self.configuration = state.configuration
        self.text = state.text
        self.basis = state.basis
        self.assignments = {a.group: a for a in state.assignments}
        self.drained = dict.fromkeys(state.drained, True)
        self.audit = state.audit
        self.audit_characters = sum(len(r.difference) for r in state.audit)
        self.changes = {
            (change.operator, change.change_id): change.outcome
            for change in state.changes
        }
        self.voters = state.voters
        self.register = register.Register(state.register)

    def _submit(
        self, index: int, command: SubmitConfiguration
    ) -> ChangeOutcome:
        decided = self.changes.get((command.operator, command.change_id))
        if decided is not None:
            return decided
        if command.base_version != self.version:
            reason = (
                f"base version is {command.base_version}, "
                f"present version is {self.version}"
            )
            return self._record_outcome(command, Decision.OUTDATED, reason)
        if len(command.text) > MAX_TEXT_CHARACTERS:
            reason = f"text is longer than {MAX_TEXT_CHARACTERS} characters"
            return self._record_outcome(command, Decision.REFUSED, reason)
        self.configuration = command.configuration
        self.text = command.text
        self.version = ids.ConfigurationVersion(self.version + 1)
        self.basis = index
        self._append_audit_record(index, command, command.difference)
        return self._record_outcome(command, Decision.ACCEPTED)

    def _assign(self, index: int, command: Assign) -> AssignOutcome:
        if command.basis != self.basis:
            reason = f"basis is {command.basis}, present is {self.basis}"
            return AssignOutcome(Decision.OUTDATED, self.basis, reason)
        reason = ""
        planned = dict(self.assignments)
        for group in command.releases:
            if planned.pop(group, None) is None:
                reason = f"group {group} has no assignment to release"
        fence = ids.FencingNumber(index)
        for assignment in command.assignments:
            planned[assignment.group] = msgspec.structs.replace(
                assignment, fence=fence
            )
        reason = reason or _find_violation(command, planned)
        if reason:
            return AssignOutcome(Decision.REFUSED, self.basis, reason)
        self.assignments = planned
        self.basis = index
        return AssignOutcome(Decision.ACCEPTED, self.basis)

    def _drain(self, index: int, command: DrainVm) -> ChangeOutcome:
        decided = self.changes.get((command.operator, command.change_id))
        if decided is not None:
            return decided
        if command.drained and len(self.drained) >= MAX_DRAINED:
            reason = f"{MAX_DRAINED} VMs are drained already"
            return self._record_outcome(command, Decision.REFUSED, reason)
        if command.drained:
            self.drained[command.vm] = True
        else:
            self.drained.pop(command.vm, None)
        self.basis = index
        action = "drain" if command.drained else "end drain"
        self._append_audit_record(
            index, command, f"{action} of VM {command.vm}"
        )
        return self._record_outcome(command, Decision.ACCEPTED)

    def _claim(self, index: int, command: ClaimCall) -> messages.ClaimReply:
        return self.register.claim(command.request, command.time_ms)

    def _conclude(
        self, index: int, command: ConcludeCall
    ) -> messages.ConcludeReply:
        return self.register.conclude(command.request, command.time_ms)

    def _replace_voter(
        self, index: int, command: ReplaceVoter
    ) -> ChangeOutcome:
        """Record a replacement that the consensus module carried out.

        The log entry of an accepted replacement contains the new voters,
        which are set before the command is applied.
        """
        decided = self.changes.get((command.operator, command.change_id))
        if decided is not None:
            return decided
        replaced = (
            command.old not in self.voters
            and self.voters.get(command.new) == command.address
        )
        if not replaced:
            reason = (
                f"cannot replace voter {command.old} by {command.new}; "
                f"voters are {', '.join(sorted(self.voters))}"
            )
            return self._record_outcome(command, Decision.REFUSED, reason)
        change = f"voter {command.old} -> {command.new} {command.address}"
        self._append_audit_record(index, command, change)
        return self._record_outcome(command, Decision.ACCEPTED)

    def _record_outcome(
        self,
        command: SubmitConfiguration | DrainVm | ReplaceVoter,
        decision: Decision,
        reason: str = "",
    ) -> ChangeOutcome:
        outcome = ChangeOutcome(decision, self.version, reason)
        self.changes[command.operator, command.change_id] = outcome
        if len(self.changes) > MAX_CHANGES:
            del self.changes[next(iter(self.changes))]
        return outcome

    def _append_audit_record(
        self,
        index: int,
        command: SubmitConfiguration | DrainVm | ReplaceVoter,
        difference: str,
    ) -> None:
        if len(difference) > MAX_DIFFERENCE_CHARACTERS:
            difference = difference[:MAX_DIFFERENCE_CHARACTERS] + " [cut]"
        base = self.version
        if isinstance(command, SubmitConfiguration):
            base = command.base_version
        self.audit.append(
            AuditRecord(
                index=index,
                time_ms=command.time_ms,
                operator=command.operator,
                change_id=command.change_id,
                action=type(command).__name__,
                base_version=base,
                version=self.version,
                difference=difference,
            )
        )
        self.audit_characters += len(difference)
        while (
            len(self.audit) > MAX_AUDIT_RECORDS
            or self.audit_characters > MAX_AUDIT_CHARACTERS
        ):
            self.audit_characters -= len(self.audit.pop(0).difference)


def _find_violation(
    command: Assign,
    planned: collections.abc.Mapping[ids.GroupId, messages.Assignment],
) -> str:
    """Return why the assignments are not allowed, or an empty string."""
    groups = [a.group for a in command.assignments]
    if len(set(groups)) != len(groups):
        return "a group is assigned twice in one command"
    if set(groups) & set(command.releases):
        return "a group is assigned and released in one command"
    if len(planned) > MAX_GROUPS:
        return f"more than {MAX_GROUPS} groups"
    if not all(a.members for a in command.assignments):
        return "an assignment has no members"
    group_by_vm: dict[ids.VmId, ids.GroupId] = {}
    for assignment in planned.values():
        for member in assignment.members:
            other = group_by_vm.setdefault(member.vm, assignment.group)
            if other != assignment.group:
                return (
                    f"VM {member.vm} would be in groups {other} "
                    f"and {assignment.group}"
                )
        if len({m.vm for m in assignment.members}) != len(assignment.members):
            return f"group {assignment.group} names a VM twice"
    return ""


_HANDLERS: dict[type, collections.abc.Callable[..., msgspec.Struct]] = {
    SubmitConfiguration: Machine._submit,
    Assign: Machine._assign,
    DrainVm: Machine._drain,
    ClaimCall: Machine._claim,
    ConcludeCall: Machine._conclude,
    ReplaceVoter: Machine._replace_voter,
}
