"""Requests, streams and refusals at a running entry."""

import collections.abc

import pytest

from tests import entry_fakes as fakes


@pytest.fixture
def world() -> collections.abc.Iterator[fakes.World]:
    world = fakes.World()
    yield world
    world.close()


def test_relays_whole_stream(world):
    """A stream must arrive as the engine sent it."""
    agent = world.agent("g/0", fakes.send_events)
    program = world.program()
    status, headers, body = program.request(body=fakes.completion())
    assert (status, body) == (200, fakes.events(20))
    assert headers["content-type"] == "text/event-stream"
    assert agent.received[0].headers["flamingocleat-fence"] == "7"
