"""Callers' requests and refusals by model, as the leader adds them up."""

from flamingocleat import messages
from flamingocleat.version import demand


def report(gateway, requested, refused, model="large"):
    return messages.GatewayReport(
        gateway=gateway,
        data_centre="a",
        sequence=1,
        version=1,
        requests=requested,
        demand=(messages.ModelDemand("llm", model, requested, refused),),
    )


def test_reports_of_all_gateways_are_added():
    totals = demand.DemandTotals()
    for gateway in ("g-1", "g-2"):
        totals.record(report(gateway, 10, 1))
        totals.record(report(gateway, 14, 3))
    assert totals.take("llm", "large") == (8, 4)
    assert totals.take("llm", "large") == (0, 0)
    assert totals.take("llm", "small") == (0, 0)


def test_restarted_gateway_counts_from_zero():
    totals = demand.DemandTotals()
    totals.record(report("g-1", 100, 20))
    totals.record(report("g-1", 5, 2))
    assert totals.take("llm", "large") == (5, 2)
