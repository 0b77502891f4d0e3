"""What the planner does with the VMs and groups of evacuated data centres."""

import pytest

from flamingocleat.version import group
from flamingocleat.version import orders
from flamingocleat.version import service_survey
from tests.direct import vms

START_S = 40.0
"""Time in which the first groups open."""
ENDING_OPS = {orders.Op.CLOSE, orders.Op.LEAVE}


class Region(vms.Simulation):
    """VMs in three data centres, each with one fabric domain."""

    def __init__(self, **options) -> None:
        super().__init__(**options)
        for vm in self.vms.values():
            vm.data_centre = f"dc-{vm.domain[-1]}"

    def evacuate(self, *data_centres: str) -> None:
        self.manager.evacuation.data_centres = frozenset(data_centres)
        self.orders.clear()

    def inside(self, data_centre: str) -> set[str]:
        return {
            vm.backend
            for vm in self.vms.values()
            if vm.data_centre == data_centre
        }

    def open_inside(self, data_centre: str) -> set[str]:
        """Return the names of open groups that are entirely there."""
        members = self.inside(data_centre)
        return {
            each.name
            for each in self.manager.groups.values()
            if each.phase is group.Phase.OPEN and members >= set(each.members)
        }

    def listed(self) -> set[str]:
        return {each.name for each in self.manager.serving()}

    def orders_to(self, data_centre: str) -> set[orders.Op]:
        members = self.inside(data_centre)
        return {each.op for each in self.orders if each.backend in members}


def started(**options) -> Region:
    region = Region(**options)
    region.run(START_S)
    assert region.open_inside("dc-0")
    assert region.open_inside("dc-1")
    return region


def test_groups_inside_stay_open_and_return_at_once():
    """A data centre that is reinstated must serve without loads or joins."""
    region = started()
    inside, before = region.open_inside("dc-0"), region.listed()
    region.evacuate("dc-0")
    assert region.listed() == before - inside
    region.run(20)
    assert region.open_inside("dc-0") == inside
    assert region.orders_to("dc-0") <= ENDING_OPS
    region.evacuate()
    assert region.listed() >= inside
    region.run(5)
    assert region.listed() >= inside
    assert region.violations == []


def test_no_vm_there_is_used_for_a_new_group():
    """Losses elsewhere must be repaired without the VMs there."""
    region = started(count=36)
    region.evacuate("dc-0")
    for name in sorted(region.inside("dc-1"))[:6]:
        region.vms[name].alive = False
    region.run(40)
    members = region.inside("dc-0")
    formed = [o for o in region.orders if o.op is orders.Op.JOIN]
    assert formed
    assert not any(members & set(o.members) for o in formed)
    assert region.orders_to("dc-0") <= ENDING_OPS
    assert region.violations == []


def test_capacity_there_does_not_count():
    """The other data centres must be planned for the load from the start."""
    region = started()
    region.set_in_flight("large", vms.ENGINE.slots)
    region.evacuate("dc-0")
    survey = region.manager.survey(region.now_s)
    outside = [g for g in region.manager.serving() if g.model == "large"]
    assert survey.capacity["large"] == len(outside) * vms.ENGINE.slots
    assert survey.in_flight["large"] > survey.capacity["large"]
    assert "dc-0" not in {e.announcement.data_centre for e in survey.usable}
    uses = survey.count_by_use()
    assert uses[service_survey.VmUse.EVACUATED] == len(region.inside("dc-0"))
    assert uses[service_survey.VmUse.LOST] == 0
    region.manager.step(region.now_s)
    assert "large" in region.manager.short_models
    region.manager.in_flight.clear()
    assert not region.manager.survey(region.now_s).moving_models


def test_groups_that_are_forming_there_are_abandoned():
    """A VM there must not join or open a group after the order."""
    region = Region()
    while not any(
        each.phase is group.Phase.FORMING
        and set(each.members) <= region.inside("dc-0")
        for each in region.manager.groups.values()
    ):
        region.tick()
        assert region.now_s < 100 + START_S
    region.evacuate("dc-0")
    region.run(20)
    assert not region.open_inside("dc-0")
    assert region.orders_to("dc-0") <= ENDING_OPS
    region.evacuate()
    region.run(40)
    assert region.open_inside("dc-0")
    assert region.violations == []


@pytest.mark.parametrize("rank", [0, 1])
def test_groups_across_data_centres_are_closed(rank):
    """Such a group needs VMs there; its others are needed elsewhere."""
    region = started()
    spanning = next(g for g in region.manager.serving() if g.model == "large")
    member = region.vms[spanning.members[rank]]
    member.data_centre = "dc-x"
    region.run(2)
    region.evacuate("dc-x")
    assert spanning.name not in region.listed()
    region.tick()
    assert spanning.phase is group.Phase.CLOSING
    assert spanning.finish_work
    region.run(20)
    assert spanning.name not in region.manager.groups
    assert region.orders_to("dc-x") <= ENDING_OPS
    others = set(spanning.members) - {member.backend}
    assert any(
        others & set(each.members) for each in region.manager.groups.values()
    )
    assert region.violations == []


def test_next_leader_keeps_groups_there_open_and_unlisted():
    """It must neither use nor end the groups that it adopts."""
    region = started()
    inside = region.open_inside("dc-0")
    region.start_term(3)
    region.evacuate("dc-0")
    for _ in range(100):
        region.tick()
        assert not region.listed() & inside
    assert region.open_inside("dc-0") == inside
    assert region.orders_to("dc-0") <= ENDING_OPS
    region.evacuate()
    assert region.listed() >= inside
    assert region.violations == []


def test_group_there_that_loses_a_member_ends():
    """A group that is not whole must not be listed when it is reinstated."""
    region = started()
    name = min(region.open_inside("dc-0"))
    lost = region.manager.groups[name].members[-1]
    region.evacuate("dc-0")
    region.vms[lost].alive = False
    region.run(20)
    assert name not in region.open_inside("dc-0")
    region.evacuate()
    assert name not in region.listed()
    region.run(30)
    assert region.violations == []


def test_evacuation_holds_while_another_data_centre_is_lost():
    """The third must carry what it can, without the VMs of the first."""
    region = started(count=36)
    region.evacuate("dc-0")
    for name in region.inside("dc-1"):
        region.vms[name].alive = False
    region.run(40)
    assert region.listed()
    assert region.listed() <= region.open_inside("dc-2")
    assert region.orders_to("dc-0") <= ENDING_OPS
    assert region.violations == []


def test_group_about_to_open_elsewhere_counts_as_planning():
    """A hand-over must last while groups open elsewhere, and no longer."""
    manager = started().manager
    rules = manager.evacuation
    rules.data_centres = frozenset(["dc-0"])
    groups = manager.groups.values()
    assert not rules.is_planning(groups)
    outside = next(g for g in groups if rules.is_outside(g))
    inside = next(g for g, _ in rules.standby(groups))
    inside.phase = group.Phase.FORMING
    assert not rules.is_planning(groups)
    outside.phase = group.Phase.OPENING
    assert rules.is_planning(groups)


def test_groups_with_unknown_heads_are_not_handed_over():
    """A head that has not announced itself has no address to list."""
    region = started()
    rules = region.manager.evacuation
    rules.data_centres = frozenset(["dc-0"])
    held, data_centre = rules.standby(region.manager.groups.values())[0]
    assert data_centre == "dc-0"
    region.fleet.forget(held.head, region.now_s)
    kept = [each for each, _ in rules.standby(region.manager.groups.values())]
    assert held not in kept
