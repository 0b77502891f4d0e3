"""Invariants of every placement policy and the repairs of `weighted`."""

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


class _Site:
    """VMs, and the assignments and history that plans leave behind."""

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
                assert vm is not None, "dead VM assigned"
                assert vm.incarnation == member.incarnation
                assert not vm.leaving
            assert len({vm.fabric_domain for vm in views}) == 1
        taken = {m.vm for new in plan.assignments for m in new.members}
        for order in plan.preloads:
            assert order.vm not in taken
            assert self.vms[order.vm].incarnation == order.incarnation
        if self.policy == "weighted":
            loads = len(plan.history.preloads)
            assert loads <= plan.history.loads_at_once

    def check_groups(self):
        listed = [m.vm for g in self.groups.values() for m in g.members]
        assert len(listed) == len(set(listed)), "VM in two groups"

    def load(self, plan):
        """Complete every load that the plan has ordered."""
        for order in plan.preloads:
            self._set(order.vm, loaded=(order.model,))
        for group in self.groups.values():
            model = f"{group.model}@{group.model_version}"
            for member in group.members:
                vm = self.vms.get(member.vm)
                if vm is not None and vm.incarnation == member.incarnation:
                    self._set(vm.vm, loaded=(model,))

    def settle(self, rounds=60):
        """Plan and load until nothing changes."""
        for _ in range(rounds):
            before = (dict(self.vms), dict(self.groups))
            self.load(self.plan())
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

    def whole(self):
        return sorted(
            group
            for group, assignment in self.groups.items()
            if all(
                m.vm in self.vms and self.vms[m.vm].incarnation == m.incarnation
                for m in assignment.members
            )
        )

    def _set(self, name, **fields):
        self.vms[name] = msgspec.structs.replace(self.vms[name], **fields)


class _Placement(stateful.RuleBasedStateMachine):
    """Guards against a plan that breaks an invariant or never settles."""

    policy = "weighted"

    @stateful.initialize()
    def start(self):
        vms = [_vm(d, n, loaded=()) for d in _DOMAINS for n in range(5)]
        groups = (_group("g", 2, 3, spares=1), _group("h", 3, 1, model="n"))
        self.site = _Site(_configuration(*groups), vms, self.policy)
        self.lost = {}

    @stateful.rule(data=st.data())
    def lose(self, data):
        names = st.lists(st.sampled_from(sorted(self.site.vms)), unique=True)
        if self.site.vms:
            for vm in self.site.lose(*data.draw(names)):
                self.lost[vm.vm] = vm

    @stateful.precondition(lambda self: self.lost)
    @stateful.rule(data=st.data(), loaded=st.booleans())
    def come_back(self, data, loaded):
        name = data.draw(st.sampled_from(sorted(self.lost)))
        fields = {} if loaded else {"loaded": ()}
        self.site.come_back(self.lost.pop(name), leaving=False, **fields)

    @stateful.rule(
        data=st.data(),
        field=st.sampled_from(["leaving", "straggler", "busy"]),
        value=st.booleans(),
    )
    def mark(self, data, field, value):
        if self.site.vms:
            name = data.draw(st.sampled_from(sorted(self.site.vms)))
            self.site._set(name, **{field: value})

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
        self.site.configuration = _configuration(*groups, downtime=downtime)

    @stateful.rule(seconds=st.sampled_from([1.0, 20.0, 1000.0]))
    def wait(self, seconds):
        self.site.now_s += seconds

    @stateful.rule()
    def plan(self):
        self.site.load(self.site.plan())

    @stateful.rule()
    def settle(self):
        self.site.settle()
        self.check_reformed()

    def check_reformed(self):
        """No group keeps an ended incarnation while its VMs are all back."""
        for group, assignment in self.site.groups.items():
            views = [self.site.vms.get(m.vm) for m in assignment.members]
            if all(
                vm is not None
                and not vm.leaving
                and placement.quarantined_until(vm, self.site.now_s)
                <= self.site.now_s
                for vm in views
            ):
                assert group in self.site.whole()


@pytest.mark.parametrize("policy", ["none", "greedy", "weighted"])
def test_invariants(policy):
    """A plan must not break an invariant in any state; see _Placement."""
    machine = type("_Machine", (_Placement,), {"policy": policy})
    stateful.run_state_machine_as_test(
        machine,
        settings=settings(max_examples=60, stateful_step_count=25),
    )


def _settled(configuration, vms):
    site = _Site(configuration, vms)
    site.settle()
    return site


def test_second_loss_after_repair_is_repaired():
    """A repair must not use up what the next loss needs."""
    vms = [_vm("a-0", n) for n in range(2)]
    vms += [_vm("a-0", n, loaded=()) for n in range(2, 5)]
    site = _settled(_configuration(_group(spares=1)), vms)
    site.lose(site.members("g/0")[0])
    site.plan()
    assert site.whole() == ["g/0"]
    site.load(site.plan())
    site.lose(site.members("g/0")[0])
    site.plan()
    assert site.whole() == ["g/0"]


def test_loaded_spare_is_preferred():
    """A repair with a cold VM waits for a load that a spare saves."""
    vms = [_vm("a-0", 0), _vm("a-0", 1), _vm("a-0", 2, loaded=())]
    site = _settled(_configuration(_group()), vms)
    site._set("a-0-2", loaded=())
    site.vms["a-0-3"] = _vm("a-0", 3)
    site.lose("a-0-0")
    site.plan()
    assert sorted(site.members("g/0")) == ["a-0-1", "a-0-3"]


def test_returned_vm_does_not_displace_its_replacement():
    """Moving back to a returned VM would stop a group that serves."""
    site = _settled(_configuration(_group()), [_vm("a-0", n) for n in range(3)])
    (lost,) = site.lose(site.members("g/0")[0])
    site.plan()
    repaired = site.members("g/0")
    site.come_back(lost)
    assert not site.plan().assignments
    assert site.members("g/0") == repaired


def test_flapping_vm_is_held_out_longer_each_time():
    """A flapping VM would break its group again and again."""
    site = _settled(_configuration(_group()), [_vm("a-0", n) for n in range(2)])
    held = []
    for _ in range(4):
        (lost,) = site.lose("a-0-0")
        site.plan()
        site.come_back(lost)
        plan = site.plan()
        held.append((plan.again_s or site.now_s) - site.now_s)
        assert (site.whole() == ["g/0"]) == (not held[-1])
        site.now_s += held[-1]
        site.plan()
        assert site.whole() == ["g/0"]
        site.now_s += 1
    assert held == sorted(set(held))
    assert held[0] == 0


@pytest.mark.parametrize(("downtime", "stranded"), [(3.0, 1.0), (1.0, 3.0)])
def test_broken_groups_are_merged(downtime, stranded):
    """Two groups that each miss a member would both stay down."""
    configuration = _configuration(
        _group(size=3, replicas=2), downtime=downtime, stranded=stranded
    )
    site = _settled(configuration, [_vm("a-0", n) for n in range(6)])
    site.lose(site.members("g/0")[0], site.members("g/1")[0])
    site.plan()
    assert len(site.whole()) == 1


def test_donor_follows_the_weights():
    """With one donor rule, one operator's measure would be ignored."""
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
        site = _settled(configuration, [_vm("a-0", n) for n in range(14)])
        site.lose(site.members("g/0")[0])
        site.lose(*site.members("h/0")[:4])
        site.lose(*site.members("i/0")[:3])
        before = set(site.groups)
        site.plan()
        (donors[downtime],) = before - set(site.groups)
    assert donors == {3.0: "h/0", 1.0: "i/0"}


def test_dark_domain_is_rebuilt_in_another_data_centre():
    """Waiting for a dark domain would leave its groups down for long."""
    vms = [_vm("a-0", n) for n in range(2)]
    vms += [_vm("b-0", n, loaded=()) for n in range(2)]
    site = _settled(_configuration(_group()), vms)
    assert site.members("g/0") == ["a-0-0", "a-0-1"]
    site.lose("a-0-0", "a-0-1")
    site.settle()
    assert sorted(site.members("g/0")) == ["b-0-0", "b-0-1"]


def test_dark_domain_is_not_rebuilt_outside_declared_data_centres():
    """The operator pays for traffic from data centres it did not declare."""
    vms = [_vm("a-0", n) for n in range(2)]
    vms += [_vm("b-0", n) for n in range(2)]
    site = _settled(_configuration(_group(centres=("a",))), vms)
    site.lose("a-0-0", "a-0-1")
    site.settle()
    assert site.whole() == []


def test_straggler_is_replaced_only_by_a_loaded_spare():
    """Swapping in a cold VM would trade a slow group for one that is down."""
    vms = [_vm("a-0", n, loaded=()) for n in range(3)]
    site = _settled(_configuration(_group()), vms)
    site.now_s = 1000.0
    slow = site.members("g/0")[1]
    site._set(slow, straggler=True)
    assert not site.plan().assignments
    (spare,) = set(site.vms) - set(site.members("g/0"))
    site._set(spare, loaded=(_MODEL,))
    site.plan()
    assert spare in site.members("g/0")
    assert slow not in site.members("g/0")


def test_service_with_fewest_replicas_loads_first():
    """A service that is wholly down must not wait for one that serves."""
    other = ids.ServiceId("other")
    groups = (_group("g", 2, 2), _group("z", 2, 1, model="z", service=other))
    vms = [_vm("a-0", 0), _vm("a-0", 1)]
    vms += [_vm("a-0", n, loaded=()) for n in range(2, 6)]
    site = _Site(_configuration(*groups), vms)
    site.history = placement.History(loads_at_once=2)
    plan = site.plan()
    assert [order.model for order in plan.preloads] == ["z@1", "z@1"]


def test_upgrade_keeps_most_replicas_serving():
    """A new model version must not stop every replica at once."""
    vms = [_vm("a-0", n) for n in range(8)]
    site = _settled(_configuration(_group(size=2, replicas=4)), vms)
    site.configuration = _configuration(
        _group(size=2, replicas=4, model_version="2")
    )
    for _ in range(20):
        site.load(site.plan())
        assert len(site.whole()) >= 2
    assert {g.model_version for g in site.groups.values()} == {"2"}


def test_planned_stop_waits_for_requests_in_flight():
    """Forming a group anew cuts off the streams of its old lead."""
    site = _settled(_configuration(_group()), [_vm("a-0", n) for n in range(3)])
    lead, member = site.members("g/0")
    site._set(lead, busy=True)
    site._set(member, leaving=True)
    plan = site.plan()
    assert plan.draining == ("g/0",)
    assert not plan.assignments
    site._set(lead, busy=False)
    site.plan()
    assert member not in site.members("g/0")


def test_returned_vm_is_not_listed_in_two_groups():
    """A broken group must not keep listing a VM that another group uses."""
    groups = (_group("g", 2), _group("h", 1))
    site = _settled(_configuration(*groups), [_vm("a-0", n) for n in range(3)])
    used = site.members("g/0")[0]
    for lost in site.lose(*sorted(site.vms)):
        if lost.vm == used:
            site.plan()
            site.come_back(lost)
    site.plan()
    assert site.members("h/0") == [used]


def test_upgrade_waits_for_requests_in_flight():
    """Releasing a busy group for an upgrade would cut its streams."""
    site = _settled(_configuration(_group()), [_vm("a-0", n) for n in range(2)])
    site._set(site.members("g/0")[0], busy=True)
    site.configuration = _configuration(_group(model_version="2"))
    plan = site.plan()
    assert plan.draining == ("g/0",)
    assert not plan.released
