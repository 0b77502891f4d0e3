"""What control does for a region of many VMs grows with their number only."""

import collections
import sys

import pytest

from tests.direct import vms


def _calls(world: vms.World, duration_s: float) -> int:
    """Return the most function calls that one review has taken."""
    counts: collections.Counter[int] = collections.Counter()
    step = world.manager.step

    def counted(now_s: float):
        def count(_frame, event, _arg) -> None:
            if event == "call":
                counts[number] += 1

        number = len(counts)
        counts[number] = 0
        sys.setprofile(count)
        try:
            return step(now_s)
        finally:
            sys.setprofile(None)

    world.manager.step = counted
    world.run(duration_s)
    world.manager.step = step
    return max(counts.values())


def _region(vm_count: int) -> vms.World:
    world = vms.World(vm_count)
    for vm in world.vms.values():
        vm.domain = f"domain-{vm.number // 8}"
    return world


@pytest.mark.parametrize("event", ["start", "calm", "loss"])
def test_review_takes_time_in_proportion_to_the_vms(event):
    """Twice the VMs take at most 2.3 times the work of a review.

    The load: `fleetbench sweep` at 100 nodes, 999 VMs, whose first review
    took seconds, so that the leader lost its lead before any group was open.
    """
    work = []
    for vm_count in (160, 320):
        world = _region(vm_count)
        if event != "start":
            world.run(8)
            world.manager.has_traffic = True
        if event == "loss":
            world.member("large", 1).alive = False
        work.append(_calls(world, 8.0 if event == "start" else 2.0))
    assert work[1] <= 2.3 * work[0]
