"""Fixtures of the system tests."""

import pytest

from examples import local


@pytest.fixture
def deployment(tmp_path):
    """An empty deployment whose processes are killed after the test."""
    empty_deployment = local.Deployment(tmp_path)
    yield empty_deployment
    empty_deployment.kill()
