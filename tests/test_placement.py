"""Invariants of all placement policies and repairs of `weighted`."""

import msgspec
import pytest
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.version import placement
from flamingocleat.version import schema

_CENTRES = ("a", "b")
_DOMAINS = ("a-0", "a-1", "b-0")
_MODEL = "m@1"


def _vm(domain, number, **fields):
    name = f"{domain}-{number}"
    values = {
        "vm": ids.VmId(name),
        "incarnation": ids.Incarnation(f"{name}#1"),
        "address": "127.0.0.1:1",
        "data_centre": ids.DataCentreId(domain[0]),
        "fabric_domain": ids.FabricDomainId(domain),
        "accelerators": 8,
        "loaded": (_MODEL,),
    }
    return placement.VmView(**{**values, **fields})


def _group(name="g", size=2, replicas=1, centres=_CENTRES, **fields):
    values = {
        "service": ids.ServiceId("llm"),
        "model": "m",
        "model_version": "1",
        **fields,
    }
    return schema.ModelGroup(
        name=name,
        vms_per_replica=size,
        replicas=replicas,
        data_centres=centres,
        **values,
    )


def _configuration(*groups, downtime=1.0, stranded=1.0):
    return schema.Configuration(
        operator="o",
        data_centres=tuple(
            schema.DataCentre(name=c, region="r") for c in _CENTRES
        ),
        services=(
            schema.Service(
                name=ids.ServiceId("llm"), kind=schema.ServiceKind.MODEL
            ),
        ),
        model_groups=groups,
        policy=schema.Policy(
            downtime_weight=downtime, stranded_weight=stranded
        ),
    )


class _Simulation:
    """Simulated VMs, with the assignments and history of past plans."""

    def __init__(self, configuration, vms, policy="weighted"):
        self.configuration = configuration
        self.policy = policy
        self.vms = {vm.vm: vm for vm in vms}
        self.groups = {}
        self.history = placement.History()
        self.now_s = 0.0
        self.fence = 0

    def plan(self):
        plan = placement.plan(
            self.policy,
            self.configuration,
            self.vms.values(),
            self.groups.values(),
            self.now_s,
            self.history,
        )
        self.check(plan)
        for group in plan.released:
            del self.groups[group]
        for new in plan.assignments:
            self.fence += 1
            self.groups[new.group] = messages.Assignment(
                new.group,
                ids.FencingNumber(self.fence),
                new.service,
                new.model,
                new.model_version,
                new.members,
            )
        self.history = plan.history
        self.check_groups()
        return plan

    def check(self, plan):
        for new in plan.assignments:
            assert new.group not in plan.released
            views = [self.vms.get(member.vm) for member in new.members]
            for member, vm in zip(new.members, views, strict=True):
                assert vm is not None, "lost VM assigned"
                assert vm.incarnation == member.incarnation
                assert not vm.leaving
            assert len({vm.fabric_domain for vm in views}) == 1
        assigned_vms = {m.vm for new in plan.assignments for m in new.members}
        for order in plan.preloads:
            assert order.vm not in assigned_vms
            assert self.vms[order.vm].incarnation == order.incarnation
        if self.policy == "weighted":
            loads = len(plan.history.preloads)
            assert loads <= plan.history.loads_at_once

    def check_groups(self):
        listed = [m.vm for g in self.groups.values() for m in g.members]
        assert len(listed) == len(set(listed)), "VM in two groups"

    def complete_loads(self, plan):
        """Complete all loads that the plan has ordered."""
        for order in plan.preloads:
            self._update_vm(order.vm, loaded=(order.model,))
        for group in self.groups.values():
            model = f"{group.model}@{group.model_version}"
            for member in group.members:
                vm = self.vms.get(member.vm)
                if vm is not None and vm.incarnation == member.incarnation:
                    self._update_vm(vm.vm, loaded=(model,))

    def settle(self, rounds=60):
        """Plan and complete loads until nothing changes."""
        for _ in range(rounds):
            before = (dict(self.vms), dict(self.groups))
            self.complete_loads(self.plan())
            if before == (self.vms, self.groups):
                return
        raise AssertionError("no fixed point")

    def lose(self, *names):
        lost = [self.vms.pop(name) for name in names]
        return [
            msgspec.structs.replace(vm, losses_s=(*vm.losses_s, self.now_s))
            for vm in lost
        ]

    def come_back(self, vm, **fields):
        run = int(vm.incarnation.split("#")[1]) + 1
        self.vms[vm.vm] = msgspec.structs.replace(
            vm,
            incarnation=f"{vm.vm}#{run}",
            alive_since_s=self.now_s,
            **fields,
        )

    def members(self, group):
        assignment = self.groups.get(group)
        return [m.vm for m in assignment.members] if assignment else []

    def intact_groups(self):
        return sorted(
            group
            for group, assignment in self.groups.items()
            if all(
                m.vm in self.vms and self.vms[m.vm].incarnation == m.incarnation
                for m in assignment.members
            )
        )

    def _update_vm(self, name, **fields):
        self.vms[name] = msgspec.structs.replace(self.vms[name], **fields)


class _Placement(stateful.RuleBasedStateMachine):
    """Random failures, returns and changes; checks plans after each step."""

    policy = "weighted"

    @stateful.initialize()
    def start(self):
        vms = [_vm(d, n, loaded=()) for d in _DOMAINS for n in range(5)]
        groups = (_group("g", 2, 3, spares=1), _group("h", 3, 1, model="n"))
        self.simulation = _Simulation(_configuration(*groups), vms, self.policy)
        self.lost = {}

    @stateful.rule(data=st.data())
    def lose(self, data):
        names = st.lists(
            st.sampled_from(sorted(self.simulation.vms)), unique=True
        )
        if self.simulation.vms:
            for vm in self.simulation.lose(*data.draw(names)):
                self.lost[vm.vm] = vm

    @stateful.precondition(lambda self: self.lost)
    @stateful.rule(data=st.data(), loaded=st.booleans())
    def come_back(self, data, loaded):
        name = data.draw(st.sampled_from(sorted(self.lost)))
        fields = {} if loaded else {"loaded": ()}
        self.simulation.come_back(self.lost.pop(name), leaving=False, **fields)

    @stateful.rule(
        data=st.data(),
        field=st.sampled_from(["leaving", "straggler", "busy"]),
        value=st.booleans(),
    )
    def mark(self, data, field, value):
        if self.simulation.vms:
            name = data.draw(st.sampled_from(sorted(self.simulation.vms)))
            self.simulation._update_vm(name, **{field: value})

    @stateful.rule(
        size=st.integers(1, 4),
        replicas=st.integers(0, 4),
        version=st.sampled_from(["1", "2"]),
        centres=st.sampled_from([("a",), ("b",), _CENTRES]),
        downtime=st.sampled_from([0.0, 1.0, 3.0]),
    )
    def change(self, size, replicas, version, centres, downtime):
        groups = (
            _group("g", size, replicas, centres, model_version=version),
            _group("h", 3, 1, model="n", spares=2),
        )
        self.simulation.configuration = _configuration(
            *groups, downtime=downtime
        )

    @stateful.rule(seconds=st.sampled_from([1.0, 20.0, 1000.0]))
    def wait(self, seconds):
        self.simulation.now_s += seconds

    @stateful.rule()
    def plan(self):
        self.simulation.complete_loads(self.simulation.plan())

    @stateful.rule()
    def settle(self):
        self.simulation.settle()
        self.check_reformed()

    def check_reformed(self):
        """No group lists an ended incarnation if all its VMs have returned."""
        for group, assignment in self.simulation.groups.items():
            views = [self.simulation.vms.get(m.vm) for m in assignment.members]
            if all(
                vm is not None
                and not vm.leaving
                and placement.quarantined_until(vm, self.simulation.now_s)
                <= self.simulation.now_s
                for vm in views
            ):
                assert group in self.simulation.intact_groups()


@pytest.mark.parametrize("policy", ["none", "greedy", "weighted"])
def test_invariants(policy):
    """No sequence of failures and changes may break an invariant.

    Plans must also reach a fixed point; see `_Placement`.
    """
    machine = type("_Machine", (_Placement,), {"policy": policy})
    stateful.run_state_machine_as_test(
        machine,
        settings=settings(max_examples=60, stateful_step_count=25),
    )


def _settled(configuration, vms):
    simulation = _Simulation(configuration, vms)
    simulation.settle()
    return simulation


def test_second_loss_after_repair_is_repaired():
    """A second loss must be repaired as well.

    A repair that does not load a new spare leaves none for the next loss.
    """
    vms = [_vm("a-0", n) for n in range(2)]
    vms += [_vm("a-0", n, loaded=()) for n in range(2, 5)]
    simulation = _settled(_configuration(_group(spares=1)), vms)
    simulation.lose(simulation.members("g/0")[0])
    simulation.plan()
    assert simulation.intact_groups() == ["g/0"]
    simulation.complete_loads(simulation.plan())
    simulation.lose(simulation.members("g/0")[0])
    simulation.plan()
    assert simulation.intact_groups() == ["g/0"]


def test_loaded_spare_is_preferred():
    """A repair must prefer a spare that has loaded the model.

    With another VM the group is down for the time of a load.
    """
    vms = [_vm("a-0", 0), _vm("a-0", 1), _vm("a-0", 2, loaded=())]
    simulation = _settled(_configuration(_group()), vms)
    simulation._update_vm("a-0-2", loaded=())
    simulation.vms["a-0-3"] = _vm("a-0", 3)
    simulation.lose("a-0-0")
    simulation.plan()
    assert sorted(simulation.members("g/0")) == ["a-0-1", "a-0-3"]


def test_returned_vm_does_not_displace_its_replacement():
    """A VM that returns must not displace the VM that replaced it.

    Moving back would interrupt a serving group.
    """
    simulation = _settled(
        _configuration(_group()), [_vm("a-0", n) for n in range(3)]
    )
    (lost,) = simulation.lose(simulation.members("g/0")[0])
    simulation.plan()
    repaired = simulation.members("g/0")
    simulation.come_back(lost)
    assert not simulation.plan().assignments
    assert simulation.members("g/0") == repaired


def test_flapping_vm_is_quarantined_longer_each_time():
    """Each loss of a flapping VM must quarantine it for longer.

    Otherwise it breaks its group repeatedly.
    """
    simulation = _settled(
        _configuration(_group()), [_vm("a-0", n) for n in range(2)]
    )
    quarantines_s = []
    for _ in range(4):
        (lost,) = simulation.lose("a-0-0")
        simulation.plan()
        simulation.come_back(lost)
        plan = simulation.plan()
        quarantines_s.append(
            (plan.replan_at_s or simulation.now_s) - simulation.now_s
        )
        assert (simulation.intact_groups() == ["g/0"]) == (
            not quarantines_s[-1]
        )
        simulation.now_s += quarantines_s[-1]
        simulation.plan()
        assert simulation.intact_groups() == ["g/0"]
        simulation.now_s += 1
    assert quarantines_s == sorted(set(quarantines_s))
    assert quarantines_s[0] == 0


@pytest.mark.parametrize(("downtime", "stranded"), [(3.0, 1.0), (1.0, 3.0)])
def test_broken_groups_are_merged(downtime, stranded):
    """Two groups that each miss a member must be merged into one.

    Without a free VM both would stay down.
    """
    configuration = _configuration(
        _group(size=3, replicas=2), downtime=downtime, stranded=stranded
    )
    simulation = _settled(configuration, [_vm("a-0", n) for n in range(6)])
    simulation.lose(simulation.members("g/0")[0], simulation.members("g/1")[0])
    simulation.plan()
    assert len(simulation.intact_groups()) == 1


def test_policy_weights_decide_the_donor_group():
    """The policy's weights must decide which group donates its VMs.

    A fixed rule would ignore how the operator weighs downtime against stranded
    VMs.
    """
    donors = {}
    for downtime, stranded in ((3.0, 1.0), (1.0, 3.0)):
        groups = (
            _group("g", 4, 1),
            _group("h", 6, 1),
            _group("i", 4, 1),
        )
        configuration = _configuration(
            *groups, downtime=downtime, stranded=stranded
        )
        simulation = _settled(configuration, [_vm("a-0", n) for n in range(14)])
        simulation.lose(simulation.members("g/0")[0])
        simulation.lose(*simulation.members("h/0")[:4])
        simulation.lose(*simulation.members("i/0")[:3])
        before = set(simulation.groups)
        simulation.plan()
        (donors[downtime],) = before - set(simulation.groups)
    assert donors == {3.0: "h/0", 1.0: "i/0"}


def test_groups_of_a_lost_domain_are_formed_in_another_data_centre():
    """Groups of a lost fabric domain must be formed in another one.

    Until that domain returned they would be down.
    """
    vms = [_vm("a-0", n) for n in range(2)]
    vms += [_vm("b-0", n, loaded=()) for n in range(2)]
    simulation = _settled(_configuration(_group()), vms)
    assert simulation.members("g/0") == ["a-0-0", "a-0-1"]
    simulation.lose("a-0-0", "a-0-1")
    simulation.settle()
    assert sorted(simulation.members("g/0")) == ["b-0-0", "b-0-1"]


def test_groups_of_a_lost_domain_stay_in_declared_data_centres():
    """A group must not be formed outside its declared data centres.

    The operator would pay for traffic between data centres.
    """
    vms = [_vm("a-0", n) for n in range(2)]
    vms += [_vm("b-0", n) for n in range(2)]
    simulation = _settled(_configuration(_group(centres=("a",))), vms)
    simulation.lose("a-0-0", "a-0-1")
    simulation.settle()
    assert simulation.intact_groups() == []


def test_straggler_is_replaced_only_by_a_loaded_spare():
    """A straggler must be replaced only by a spare with the model loaded.

    With another VM a slow group would be down during the load.
    """
    vms = [_vm("a-0", n, loaded=()) for n in range(3)]
    simulation = _settled(_configuration(_group()), vms)
    simulation.now_s = 1000.0
    slow = simulation.members("g/0")[1]
    simulation._update_vm(slow, straggler=True)
    assert not simulation.plan().assignments
    (spare,) = set(simulation.vms) - set(simulation.members("g/0"))
    simulation._update_vm(spare, loaded=(_MODEL,))
    simulation.plan()
    assert spare in simulation.members("g/0")
    assert slow not in simulation.members("g/0")


def test_service_with_fewest_replicas_loads_first():
    """Models of the service with the fewest replicas must load first.

    A service that is down would wait for one that serves.
    """
    other = ids.ServiceId("other")
    groups = (_group("g", 2, 2), _group("z", 2, 1, model="z", service=other))
    vms = [_vm("a-0", 0), _vm("a-0", 1)]
    vms += [_vm("a-0", n, loaded=()) for n in range(2, 6)]
    simulation = _Simulation(_configuration(*groups), vms)
    simulation.history = placement.History(loads_at_once=2)
    plan = simulation.plan()
    assert [order.model for order in plan.preloads] == ["z@1", "z@1"]


def test_upgrade_keeps_most_replicas_serving():
    """An upgrade of the model version must not stop all replicas at once."""
    vms = [_vm("a-0", n) for n in range(8)]
    simulation = _settled(_configuration(_group(size=2, replicas=4)), vms)
    simulation.configuration = _configuration(
        _group(size=2, replicas=4, model_version="2")
    )
    for _ in range(20):
        simulation.complete_loads(simulation.plan())
        assert len(simulation.intact_groups()) >= 2
    assert {g.model_version for g in simulation.groups.values()} == {"2"}


def test_planned_stop_waits_for_requests_in_flight():
    """A planned stop must wait for requests in flight.

    Forming the group again would break the streams of its lead.
    """
    simulation = _settled(
        _configuration(_group()), [_vm("a-0", n) for n in range(3)]
    )
    lead, member = simulation.members("g/0")
    simulation._update_vm(lead, busy=True)
    simulation._update_vm(member, leaving=True)
    plan = simulation.plan()
    assert plan.draining == ("g/0",)
    assert not plan.assignments
    simulation._update_vm(lead, busy=False)
    simulation.plan()
    assert member not in simulation.members("g/0")


def test_returned_vm_is_not_listed_in_two_groups():
    """A VM that returns and joins another group must leave its old one.

    The broken group would still list it, and a VM would be in two groups.
    """
    groups = (_group("g", 2), _group("h", 1))
    simulation = _settled(
        _configuration(*groups), [_vm("a-0", n) for n in range(3)]
    )
    used = simulation.members("g/0")[0]
    for lost in simulation.lose(*sorted(simulation.vms)):
        if lost.vm == used:
            simulation.plan()
            simulation.come_back(lost)
    simulation.plan()
    assert simulation.members("h/0") == [used]


def test_upgrade_waits_for_requests_in_flight():
    """An upgrade must wait for requests in flight.

    Releasing a busy group would break its streams.
    """
    simulation = _settled(
        _configuration(_group()), [_vm("a-0", n) for n in range(2)]
    )
    simulation._update_vm(simulation.members("g/0")[0], busy=True)
    simulation.configuration = _configuration(_group(model_version="2"))
    plan = simulation.plan()
    assert plan.draining == ("g/0",)
    assert not plan.released
