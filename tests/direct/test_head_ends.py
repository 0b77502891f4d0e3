"""When the head of a closing group has certainly ended."""

import pytest

from tests.direct import vms
from tests.direct.vms import STATE


@pytest.fixture
def simulation():
    simulation = vms.Simulation()
    simulation.run(12)
    simulation.manager.has_traffic = True
    return simulation


# A silent head counted as ended although a member had left it only just now.
@pytest.mark.parametrize("model", ["small", "large"])
@pytest.mark.parametrize("gateways_reach_heads", [True, False])
@pytest.mark.parametrize(
    ("member_s", "head_s"),
    [(10.0, 17.0), (10.0, 13.0), (11.5, 20.0), (9.0, 30.0), (25.0, 40.0)],
)
def test_member_returns_before_its_head_from_a_partition(
    simulation, model, gateways_reach_heads, member_s, head_s
):
    simulation.gateways_reach_heads = gateways_reach_heads
    head = simulation.member(model, 0)
    members = set(head.members)
    simulation.unreachable = set(members)
    simulation.run(member_s)
    simulation.unreachable = {head.backend}
    simulation.run(head_s - member_s)
    simulation.unreachable = set()
    simulation.run(15)
    assert simulation.violations == []
    assert simulation.open_groups()["large"] == 3


# Silence says nothing of a head that has all of its members.
def test_silent_group_is_kept_until_one_of_it_is_heard(simulation):
    head = simulation.member("large", 0)
    name = head.group[0]
    simulation.gateways_reach_heads = False
    simulation.unreachable = set(head.members)
    simulation.run(60)
    assert name in simulation.manager.groups
    assert head.state is STATE.OPEN
    simulation.unreachable = set()
    simulation.run(10)
    assert name not in simulation.manager.groups
    assert simulation.violations == []
    assert simulation.open_groups()["large"] == 3
