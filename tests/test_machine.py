"""The replicated state is deterministic and keeps its promises."""

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


def test_one_of_racing_submissions_wins():
    """Equal base versions must not let the second undo the first."""
    held = machine.Machine()
    first = held.apply(1, cluster.submission("c1", 0, text="first"))
    second = held.apply(2, cluster.submission("c2", 0, text="second"))
    assert (first.decision, first.version) == (_ACCEPTED, 1)
    assert (second.decision, second.version) == (_OUTDATED, 1)
    assert held.text == "first"
    assert [r.change_id for r in held.audit] == ["c1"]


def test_resend_gets_the_first_outcome():
    """A lost response must not turn a winner into a loser, or back."""
    held = machine.Machine()
    won = held.apply(1, cluster.submission("c1", 0))
    lost = held.apply(2, cluster.submission("c2", 0))
    assert held.apply(3, cluster.submission("c3", 1)).version == 2
    assert held.apply(4, cluster.submission("c1", 0)) == won
    assert held.apply(5, cluster.submission("c2", 2)) == lost
    other = cluster.submission("c1", 2, operator="bara")
    assert held.apply(6, other).version == 3
    # A resent drain must not undo its later end.
    held.apply(7, cluster.drain("d1"))
    held.drained.clear()
    held.apply(8, cluster.drain("d1"))
    assert not held.drained


def test_forgotten_change_is_not_accepted_twice(monkeypatch):
    """Bounded memory of change ids must not let a change apply again."""
    monkeypatch.setattr(machine, "MAX_CHANGES", 2)
    held = machine.Machine()
    for base in range(4):
        held.apply(base + 1, cluster.submission(f"c{base}", base))
    assert len(held.changes) == 2
    again = held.apply(5, cluster.submission("c0", 0))
    assert (again.decision, held.version) == (_OUTDATED, 4)


def test_no_vm_is_in_two_groups():
    """An Assign that would share a VM must change nothing at all."""
    held = machine.Machine()
    g1 = make_assignment("g/1", "vm-1", "vm-2")
    held.apply(1, machine.Assign(0, (g1,)))
    for wrong in (
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
        assert held.apply(2, wrong).decision is _REFUSED
        assert list(held.assignments) == ["g/1"]
        assert held.basis == 1


def test_assign_moves_vms_in_one_step():
    """Repair releases one group and forms another from its VMs."""
    held = machine.Machine()
    held.apply(1, machine.Assign(0, (make_assignment("g/1", "vm-1"),)))
    swap = machine.Assign(
        1, (make_assignment("g/2", "vm-1"),), (ids.GroupId("g/1"),)
    )
    assert held.apply(7, swap).decision is _ACCEPTED
    assert {a.group: a.fence for a in held.assignments.values()} == {"g/2": 7}


def test_assign_on_an_outdated_basis_is_refused():
    """A plan made before a change must not be carried out after it."""
    for change in (
        machine.Assign(0, (make_assignment("g/1", "vm-1"),)),
        cluster.submission("c1", 0),
        cluster.drain("d1"),
    ):
        held = machine.Machine()
        held.apply(1, change)
        plan = machine.Assign(0, (make_assignment("g/2", "vm-2"),))
        outcome = held.apply(2, plan)
        assert (outcome.decision, outcome.basis) == (_OUTDATED, 1)
        assert "g/2" not in held.assignments


def test_audit_is_bounded(monkeypatch):
    """Many or long differences must not exhaust the memory."""
    monkeypatch.setattr(machine, "MAX_AUDIT_RECORDS", 3)
    monkeypatch.setattr(machine, "MAX_DIFFERENCE_CHARACTERS", 4)
    held = machine.Machine()
    for base in range(5):
        held.apply(base + 1, cluster.submission(f"c{base}", base))
    assert [(r.index, r.base_version, r.version) for r in held.audit] == [
        (3, 2, 3),
        (4, 3, 4),
        (5, 4, 5),
    ]
    assert {r.difference[4:] for r in held.audit} == {" [cut]"}
    monkeypatch.setattr(machine, "MAX_AUDIT_CHARACTERS", 25)
    held.apply(6, cluster.submission("c5", 5))
    assert [r.index for r in held.audit] == [5, 6]


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
    """A restored voter and one that never stopped must stay equal."""

    def __init__(self) -> None:
        super().__init__()
        self.lasting = machine.Machine()
        self.restored = machine.Machine()
        self.index = 0

    @stateful.rule(command=_COMMANDS)
    def apply(self, command):
        self.index += 1
        if isinstance(command, tuple):
            command = machine.Assign(self.lasting.basis, *command)
        data = self.lasting.encode(command)
        results = [
            held.apply(self.index, held.decode(data))
            for held in (self.lasting, self.restored)
        ]
        assert results[0] == results[1]
        members = [
            member.vm
            for assignment in self.lasting.assignments.values()
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
        assert self.lasting.snapshot() == self.restored.snapshot()


TestMachineMachine = MachineMachine.TestCase
TestMachineMachine.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40
)
