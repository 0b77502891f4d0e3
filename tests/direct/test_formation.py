"""Which idle VMs form a group, and how much it takes on."""

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from flamingocleat.version import catalog
from flamingocleat.version import formation
from flamingocleat.version import layout
from tests.direct import support

FIGURES = strategies.sampled_from([-1.0, 0.0, 0.5, 2.5, 1e6])


@pytest.mark.parametrize("spans", [False, True])
@hypothesis.given(FIGURES, FIGURES, FIGURES, strategies.integers(-1, 30))
def test_any_figures_of_an_engine_give_places(
    spans, step_ms, sequence_ms, factor, slots
):
    """A configuration with odd figures stops no review of groups."""
    engine = msgspec.structs.replace(
        support.ENGINE,
        step_ms=step_ms,
        sequence_ms=sequence_ms,
        cross_domain_factor=factor,
        slots=slots,
    ).bounded()
    places = formation.capacity(engine, spans=spans)
    assert 1 <= places <= engine.slots


@hypothesis.given(strategies.integers(-2, 3), strategies.integers(0, 9))
def test_model_without_vms_is_not_placed(size, hosts):
    """A layout ends whatever size a model is said to have."""
    odd = catalog.Model("odd", size, 0.5, 1.0, 1.0, 1.0)
    engine = msgspec.structs.replace(
        support.ENGINE, models=(support.MODEL, odd)
    ).bounded()
    staging = layout.plan({"a": hosts}, engine.models, 1)
    assert sum(staging["a"].values()) == hosts
