"""What is remembered of a server holds for one lifetime of it."""

import msgspec
import pytest

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.version import candidates
from flamingocleat.version import fleet as fleet_module
from flamingocleat.version import group as group_module
from tests.direct import vms
from tests.direct.vms import Simulation
from tests.direct.vms import Vm


@pytest.fixture
def simulation():
    simulation = Simulation(count=9)
    small = msgspec.structs.replace(vms.SMALL, share=1.0)
    simulation.manager.engine = msgspec.structs.replace(
        vms.ENGINE, models=(small,)
    )
    simulation.run(12)
    simulation.manager.has_traffic = True
    return simulation


def reuse_address(simulation: Simulation, address: str) -> None:
    """Let a server of another service announce an address."""
    simulation.fleet.announce(
        fleet_module.Announcement(
            backend="desk-1",
            born_ms=2,
            sequence=1,
            service="desk",
            address=address,
            data_centre="a",
            state=fleet_module.BackendState.READY,
        ),
        simulation.now_s,
    )


def start_again(simulation: Simulation, vm: Vm) -> None:
    """Start a VM as a new lifetime under its id, at another address."""
    vm.__init__(vm.number, vm.domain)
    vm.born_ms = 3
    vm.address = f"{vm.backend}-new:80"
    simulation.announce(vm)


# A VM that returned under its id counted as ended for the rest of the leader's
# term, and was ordered into another group while it was an open head.
@pytest.mark.parametrize("is_reused", [False, True])
def test_returned_vm_is_not_ended_while_it_is_an_open_head(
    simulation, is_reused
):
    returning = simulation.member("small", 0)
    old_address = returning.address
    returning.alive = False
    simulation.run(2.5)
    if is_reused:
        reuse_address(simulation, old_address)
    simulation.run(1.5)
    start_again(simulation, returning)
    for number in range(100, 104):
        simulation.run(15)
        head = small_head(simulation, returning.domain)
        if head is returning:
            break
        replace(simulation, head, number)
    assert head is returning
    member = simulation.vms[returning.members[1]]
    member.draining = True
    simulation.announce(member)
    simulation.run(5)
    assert simulation.violations == []


def small_head(simulation: Simulation, domain: str) -> Vm | None:
    for group in simulation.manager.serving():
        head = simulation.vms[group.head]
        if group.model == "small" and head.domain == domain:
            return head
    return None


def replace(simulation: Simulation, old: Vm, number: int) -> None:
    """Add a VM that holds the weights, then let the old one drain and end."""
    new = Vm(number, old.domain)
    new.staged = ("small",)
    simulation.vms[new.backend] = new
    simulation.run(4)
    old.draining = True
    simulation.announce(old)
    simulation.run(6)
    old.alive = False


def test_evidence_of_an_earlier_lifetime_is_not_used(simulation):
    """A VM that returns must not count as refusing or serving from before."""
    vm = simulation.member("small", 0)
    before = simulation.manager.evidence_of(vm.backend)
    before.refused = True
    before.silent_s = before.served_s = simulation.now_s
    vm.alive = False
    start_again(simulation, vm)
    now = simulation.manager.evidence_of(vm.backend)
    assert now == group_module.Evidence()
    # A late report of a gateway on the earlier lifetime changes nothing.
    before.refused = True
    assert not simulation.manager.evidence_of(vm.backend).refused


def test_later_lifetime_of_a_superseded_server_is_not_ended():
    """A server whose address was taken over may return at another one."""
    known = fleet_module.Fleet()

    def announce(**changes):
        fields = {
            "backend": "b-1",
            "born_ms": 1000,
            "sequence": 1,
            "service": "llm",
            "address": "10.0.0.1:80",
            "data_centre": "a",
            "state": fleet_module.BackendState.READY,
        }
        announcement = fleet_module.Announcement(**{**fields, **changes})
        assert known.announce(announcement, 0.0)
        return announcement.lifetime

    first = announce()
    announce(backend="b-2", born_ms=2000)
    second = announce(born_ms=3000, address="10.0.0.2:80")
    assert known.superseded == {first}
    assert second not in known.superseded


SERVER = messages.ServedBackend(
    "b-0", "10.0.0.1:80", "desk", "a", 6, born_ms=1000
)


@pytest.mark.parametrize(("born_ms", "is_kept"), [(1000, True), (2000, False)])
def test_gateway_forgets_failures_of_an_earlier_lifetime(born_ms, is_kept):
    """A server that returns under its id must not be avoided from before."""
    known = candidates.Candidates(lambda: 100.0)
    known.update([SERVER])
    before = known.by_backend["b-0"]
    before.mark_failed(100.0)
    before.refused = True
    known.update([msgspec.structs.replace(SERVER, born_ms=born_ms)])
    now = known.by_backend["b-0"]
    assert (now is before) is is_kept
    assert now.is_avoided(100.0) is is_kept
    assert now.refused is is_kept


def test_report_on_a_head_names_its_lifetime():
    """The leader must be able to tell on which lifetime a gateway reports."""
    head = msgspec.structs.replace(SERVER, model="m", group="g-1")
    report = candidates.Candidate(head).report(100.0)
    assert ids.Lifetime(report.backend, report.born_ms) == ("b-0", 1000)
