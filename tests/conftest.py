"""Settings common to all tests."""

import hypothesis

# The same examples in each run, and no result that depends on speed.
hypothesis.settings.register_profile(
    "pinned", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("pinned")
