"""The replicated state is deterministic and keeps its invariants."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.version import machine
from tests import cluster
from tests import test_register

_ACCEPTED = machine.Decision.ACCEPTED
_OUTDATED = machine.Decision.OUTDATED
_REFUSED = machine.Decision.REFUSED


def make_assignment(group: str, *vms: str) -> messages.Assignment:
    return messages.Assignment(
        group=ids.GroupId(group),
        fence=ids.FencingNumber(0),
        service=ids.ServiceId("drafting-llm"),
        model="m",
        model_version="1",
        members=tuple(
            messages.Member(ids.VmId(vm), ids.Incarnation("i"), "127.0.0.1:1")
            for vm in vms
        ),
    )


def test_one_of_conflicting_submissions_is_accepted():
    """Of two submissions with one base version only one is accepted.

    The second would undo the first without having seen it.
    """
    state_machine = machine.Machine()
    first = state_machine.apply(1, cluster.submission("c1", 0, text="first"))
    second = state_machine.apply(2, cluster.submission("c2", 0, text="second"))
    assert (first.decision, first.version) == (_ACCEPTED, 1)
    assert (second.decision, second.version) == (_OUTDATED, 1)
    assert state_machine.text == "first"
    assert [r.change_id for r in state_machine.audit] == ["c1"]


def test_resend_gets_the_first_outcome():
    """A change that is resent must get its first outcome.

    After a lost reply, an accepted change would be refused or a refused one
    accepted.
    """
    state_machine = machine.Machine()
    accepted = state_machine.apply(1, cluster.submission("c1", 0))
    outdated = state_machine.apply(2, cluster.submission("c2", 0))
    assert state_machine.apply(3, cluster.submission("c3", 1)).version == 2
    assert state_machine.apply(4, cluster.submission("c1", 0)) == accepted
    assert state_machine.apply(5, cluster.submission("c2", 2)) == outdated
    other = cluster.submission("c1", 2, operator="bara")
    assert state_machine.apply(6, other).version == 3
    # A resent drain must not undo its later end.
    state_machine.apply(7, cluster.drain("d1"))
    state_machine.drained.clear()
    state_machine.apply(8, cluster.drain("d1"))
    assert not state_machine.drained


def test_change_with_dropped_id_is_not_accepted_twice(monkeypatch):
    """A change whose id was dropped must not be accepted twice.

    The number of stored change ids is limited.
    """
    monkeypatch.setattr(machine, "MAX_CHANGES", 2)
    state_machine = machine.Machine()
    for base in range(4):
        state_machine.apply(base + 1, cluster.submission(f"c{base}", base))
    assert len(state_machine.changes) == 2
    again = state_machine.apply(5, cluster.submission("c0", 0))
    assert (again.decision, state_machine.version) == (_OUTDATED, 4)


def test_no_vm_is_in_two_groups():
    """An invalid Assign must change nothing.

    A VM would be in two groups, or a part of a plan would be applied.
    """
    state_machine = machine.Machine()
    g1 = make_assignment("g/1", "vm-1", "vm-2")
    state_machine.apply(1, machine.Assign(0, (g1,)))
    for invalid in (
        machine.Assign(1, (make_assignment("g/2", "vm-3", "vm-2"),)),
        machine.Assign(1, (make_assignment("g/2", "vm-3", "vm-3"),)),
        machine.Assign(
            1,
            (
                make_assignment("g/3", "vm-4"),
                make_assignment("g/2", "vm-5", "vm-4"),
            ),
        ),
        machine.Assign(
            1, (make_assignment("g/2", "vm-3"), make_assignment("g/2", "vm-4"))
        ),
        machine.Assign(1, (make_assignment("g/2"),)),
        machine.Assign(1, (g1,), (ids.GroupId("g/1"),)),
        machine.Assign(1, (), (ids.GroupId("g/9"),)),
    ):
        assert state_machine.apply(2, invalid).decision is _REFUSED
        assert list(state_machine.assignments) == ["g/1"]
        assert state_machine.basis == 1


def test_assign_moves_vms_in_one_step():
    """One Assign may release a group and form another from its VMs.

    A repair does both in one step.
    """
    state_machine = machine.Machine()
    state_machine.apply(1, machine.Assign(0, (make_assignment("g/1", "vm-1"),)))
    reassignment = machine.Assign(
        1, (make_assignment("g/2", "vm-1"),), (ids.GroupId("g/1"),)
    )
    assert state_machine.apply(7, reassignment).decision is _ACCEPTED
    assert {a.group: a.fence for a in state_machine.assignments.values()} == {
        "g/2": 7
    }


def test_assign_on_an_outdated_basis_is_refused():
    """An Assign with an outdated basis must be refused.

    Its plan was made without a change that was applied since.
    """
    for change in (
        machine.Assign(0, (make_assignment("g/1", "vm-1"),)),
        cluster.submission("c1", 0),
        cluster.drain("d1"),
    ):
        state_machine = machine.Machine()
        state_machine.apply(1, change)
        plan = machine.Assign(0, (make_assignment("g/2", "vm-2"),))
        outcome = state_machine.apply(2, plan)
        assert (outcome.decision, outcome.basis) == (_OUTDATED, 1)
        assert "g/2" not in state_machine.assignments


def test_audit_is_bounded(monkeypatch):
    """Many or long differences must not exhaust the memory."""
    monkeypatch.setattr(machine, "MAX_AUDIT_RECORDS", 3)
    monkeypatch.setattr(machine, "MAX_DIFFERENCE_CHARACTERS", 4)
    state_machine = machine.Machine()
    for base in range(5):
        state_machine.apply(base + 1, cluster.submission(f"c{base}", base))
    assert [
        (r.index, r.base_version, r.version) for r in state_machine.audit
    ] == [
        (3, 2, 3),
        (4, 3, 4),
        (5, 4, 5),
    ]
    assert {r.difference[4:] for r in state_machine.audit} == {" [cut]"}
    monkeypatch.setattr(machine, "MAX_AUDIT_CHARACTERS", 25)
    state_machine.apply(6, cluster.submission("c5", 5))
    assert [r.index for r in state_machine.audit] == [5, 6]


_SMALL = strategies.integers(0, 3)
_COMMANDS = strategies.one_of(
    strategies.builds(
        lambda change, base: cluster.submission(f"c{change}", base),
        strategies.integers(0, 30),
        strategies.integers(0, 5),
    ),
    strategies.builds(
        lambda change, vm, drained: machine.DrainVm(
            ids.OperatorId("anna"),
            ids.ChangeId(f"d{change}"),
            ids.VmId(f"vm-{vm}"),
            drained,
            1,
        ),
        strategies.integers(0, 30),
        _SMALL,
        strategies.booleans(),
    ),
    strategies.builds(
        lambda group, vms, release: (
            (make_assignment(f"g/{group}", *[f"vm-{vm}" for vm in vms]),),
            (ids.GroupId(f"g/{release}"),) if release else (),
        ),
        _SMALL,
        strategies.lists(_SMALL, max_size=3),
        _SMALL,
    ),
    strategies.builds(
        lambda key, permit, age: machine.ClaimCall(
            test_register.make_claim(
                test_register.make_key(key * 1000, key), f"p-{permit}"
            ),
            age * 10 * 3600 * 1000,
        ),
        _SMALL,
        _SMALL,
        _SMALL,
    ),
    strategies.builds(
        lambda key, permit, answer: machine.ConcludeCall(
            test_register.make_conclusion(
                test_register.make_key(key * 1000, key),
                f"p-{permit}",
                "x" * answer,
            ),
            0,
        ),
        _SMALL,
        _SMALL,
        _SMALL,
    ),
)


class MachineMachine(stateful.RuleBasedStateMachine):
    """A restored state and one that was never restored must stay equal."""

    def __init__(self) -> None:
        super().__init__()
        self.continuous = machine.Machine()
        self.restored = machine.Machine()
        self.index = 0

    @stateful.rule(command=_COMMANDS)
    def apply(self, command):
        self.index += 1
        if isinstance(command, tuple):
            command = machine.Assign(self.continuous.basis, *command)
        data = self.continuous.encode(command)
        results = [
            state_machine.apply(self.index, state_machine.decode(data))
            for state_machine in (self.continuous, self.restored)
        ]
        assert results[0] == results[1]
        members = [
            member.vm
            for assignment in self.continuous.assignments.values()
            for member in assignment.members
        ]
        assert len(members) == len(set(members))

    @stateful.rule()
    def restart(self):
        data = self.restored.snapshot()
        self.restored = machine.Machine()
        self.restored.restore(data)

    @stateful.invariant()
    def states_are_equal(self):
        assert self.continuous.snapshot() == self.restored.snapshot()


TestMachineMachine = MachineMachine.TestCase
TestMachineMachine.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40
)
