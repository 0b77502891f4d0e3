"""One gateway's share of the retry budget."""

import hypothesis
from hypothesis import strategies

from flamingocleat.request import budget


@hypothesis.given(
    gateways=strategies.integers(1, 6),
    events=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 5),
            strategies.booleans(),
            strategies.floats(0, 0.5),
        ),
        max_size=300,
    ),
)
def test_gateways_together_stay_within_the_bound(gateways, events):
    """In any window, retries of all gateways must stay within the bound.

    The bound is the ratio of retries to requests, plus the slack.
    """
    now = [0.0]
    settings = budget.BudgetSettings(0.2, 12.0, 10.0)
    budgets = [budget.Budget(settings, lambda: now[0]) for _ in range(gateways)]
    for gateway_budget in budgets:
        gateway_budget.gateways = gateways
    requests: list[float] = []
    retries: list[float] = []
    for gateway_index, is_request, pause_s in events:
        now[0] += pause_s
        gateway_budget = budgets[gateway_index % gateways]
        if is_request:
            gateway_budget.record_request("llm")
            requests.append(now[0])
        elif gateway_budget.withdraw("llm"):
            retries.append(now[0])
    for end in retries:
        retries_in_window = [each for each in retries if end - 10 < each <= end]
        requests_in_window = [
            each for each in requests if end - 10 <= each <= end
        ]
        assert len(retries_in_window) <= 0.2 * len(requests_in_window) + 12
