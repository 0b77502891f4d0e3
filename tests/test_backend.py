"""Tests of orders to the engine, and of the copy of its cache."""

import asyncio

from flamingocleat import messages
from flamingocleat.connection import backend
from flamingocleat.process import settings


def agent_settings():
    return settings.AgentSettings(
        vm="vm-1",
        data_centre="praha-a",
        fabric_domain="rack-1",
        kind=messages.BackendKind.ENGINE,
        listen="127.0.0.1:1",
        data_listen="127.0.0.1:2",
        backend_url="http://127.0.0.1:3",
        control=("127.0.0.1:4",),
    )


def test_outdated_order_is_ignored():
    """Guards against sending an outdated order to the engine.

    An engine that ignores fencing numbers would follow it.
    """

    async def run():
        engine = backend.Backend(agent_settings(), lambda: None)
        engine.set_order(backend.Order(5, "m", "1"))
        engine.set_order(backend.Order(3, "old", "1"))
        engine.set_order(backend.Order(0, "preload", "1"))
        return engine.order

    assert asyncio.run(run()) == backend.Order(5, "m", "1")


def event(sequence, prefix, present=True):
    return messages.CacheEvent(sequence, prefix, present)


def test_mirror_refuses_an_event_after_a_gap():
    """Guards against a copy with a prefix that is not in the cache.

    The missing event may have been its eviction.
    """
    mirror = backend.CacheMirror()
    assert mirror.apply(event(1, b"a"))
    assert not mirror.apply(event(3, b"b"))
    mirror.replace(3, {b"b"})
    complete, events = mirror.changes_since(1)
    assert complete
    assert events == (event(3, b"b"),)


def test_mirror_resends_all_to_a_watcher_that_is_far_behind():
    """Guards against silently skipping events that are no longer kept."""
    mirror = backend.CacheMirror()
    for sequence in range(1, 5000):
        mirror.apply(event(sequence, b"%d" % (sequence % 7)))
    assert mirror.changes_since(1)[0]
    complete, events = mirror.changes_since(4990)
    assert not complete
    assert [e.sequence for e in events] == list(range(4991, 5000))
