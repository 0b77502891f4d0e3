"""The share of the repeats that one gateway may send."""

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
def test_all_gateways_together_keep_the_bound(gateways, events):
    """In any window, repeats stay within the ratio and the slack."""
    now = [0.0]
    settings = budget.BudgetSettings(0.2, 12.0, 10.0)
    shares = [budget.Budget(settings, lambda: now[0]) for _ in range(gateways)]
    for share in shares:
        share.gateways = gateways
    requests: list[float] = []
    repeats: list[float] = []
    for which, is_request, pause_s in events:
        now[0] += pause_s
        share = shares[which % gateways]
        if is_request:
            share.record_request("llm")
            requests.append(now[0])
        elif share.withdraw("llm"):
            repeats.append(now[0])
    for end in repeats:
        window = [each for each in repeats if end - 10 < each <= end]
        asked = [each for each in requests if end - 10 <= each <= end]
        assert len(window) <= 0.2 * len(asked) + 12
