"""Settings common to all tests."""

import gc

import hypothesis
import pytest

# The same examples in each run, and no result that depends on speed.
hypothesis.settings.register_profile(
    "pinned", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("pinned")


@pytest.fixture(autouse=True)
def collect_garbage():
    """Let what a test has left open fail that test.

    Otherwise the garbage collector closes it in the middle of a later one.
    """
    yield
    gc.collect()
