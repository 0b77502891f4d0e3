"""Deployments for the system tests."""

import pytest

from examples import local


@pytest.fixture
def deployment(tmp_path):
    """An empty deployment whose processes are ended after the test."""
    made = local.Deployment(tmp_path)
    yield made
    made.kill()
