"""Capacity of groups and layout of VMs for unusual configurations."""

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from flamingocleat.version import catalog
from flamingocleat.version import formation
from flamingocleat.version import layout
from tests.direct import support

ENGINE_VALUES = strategies.sampled_from([-1.0, 0.0, 0.5, 2.5, 1e6])


@pytest.mark.parametrize("spans", [False, True])
@hypothesis.given(
    ENGINE_VALUES, ENGINE_VALUES, ENGINE_VALUES, strategies.integers(-1, 30)
)
def test_any_engine_settings_give_a_valid_capacity(
    spans, step_ms, sequence_ms, factor, slots
):
    """A configuration with invalid values must not stop the group reviews.

    Such values are bounded; the capacity of a group stays within its slots.
    """
    engine = msgspec.structs.replace(
        support.ENGINE,
        step_ms=step_ms,
        sequence_ms=sequence_ms,
        cross_domain_factor=factor,
        slots=slots,
    ).bounded()
    capacity = formation.capacity(engine, spans=spans)
    assert 1 <= capacity <= engine.slots


@hypothesis.given(strategies.integers(-2, 3), strategies.integers(0, 9))
def test_layout_ends_for_a_model_of_any_size(size, hosts):
    """The layout must end for any model size in the configuration."""
    unusual = catalog.Model("odd", size, 0.5, 1.0, 1.0, 1.0)
    engine = msgspec.structs.replace(
        support.ENGINE, models=(support.MODEL, unusual)
    ).bounded()
    staging = layout.plan({"a": hosts}, engine.models, 1)
    assert sum(staging["a"].values()) == hosts
