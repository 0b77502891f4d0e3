"""Layout: the number of VMs of each domain that hold each model."""

import hypothesis
from hypothesis import strategies

from flamingocleat.version import catalog
from flamingocleat.version import layout

LARGE = catalog.Model("large", 4, 0.67, 1.0, 16.0, 1.6)
SMALL = catalog.Model("small", 2, 0.33, 0.6, 12.0, 1.1)


def test_domains_hold_groups_and_spares_of_both_models():
    """A domain of 8 must hold one group of each model and a spare of each."""
    plan = layout.plan({"a": 8, "b": 8, "c": 8}, (LARGE, SMALL), 1)
    for staging in plan.values():
        assert staging == {"large": 5, "small": 3}


def test_first_groups_take_precedence_over_spares():
    """A small deployment must serve both models before it keeps a spare."""
    plan = layout.plan({"a": 6}, (LARGE, SMALL), 2)
    assert plan["a"] == {"large": 4, "small": 2}


@hypothesis.given(
    domains=strategies.dictionaries(
        strategies.sampled_from("abcdef"), strategies.integers(0, 40)
    ),
    spares=strategies.integers(0, 4),
)
def test_every_vm_is_part_of_the_layout(domains, spares):
    """No VM may be left without weights or be counted twice."""
    plan = layout.plan(domains, (LARGE, SMALL), spares)
    assert {d: s.total() for d, s in plan.items()} == domains


def test_groups_are_divided_by_share_of_the_load():
    """At equal shares, a model of half the size must get twice the groups."""
    large = catalog.Model("large", 8, 0.5, 1.0, 16.0, 1.6)
    small = catalog.Model("small", 4, 0.5, 0.6, 12.0, 1.1)
    plan = layout.plan({"a": 19, "b": 19, "c": 19}, (large, small), 1)
    groups = {
        model.name: sum(
            each[model.name] // model.size for each in plan.values()
        )
        for model in (large, small)
    }
    assert groups == {"large": 3, "small": 6}
