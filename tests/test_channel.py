"""Channels whose connection closes at an awkward moment."""

import asyncio
import types

import grpclib.server
import pytest

from flamingocleat import messages
from flamingocleat.connection import channel
from flamingocleat.connection import codec
from flamingocleat.connection import fault
from flamingocleat.connection import watch
from tests import entry_fakes as fakes
from tests import streams


async def _closed_between(dialled, step):
    """Close the connection after grpclib has looked it up for a call."""
    connect = dialled.__connect__

    async def connect_and_lose():
        protocol = await connect()
        protocol.processor.close("peer died")
        return protocol

    dialled.__connect__ = connect_and_lose
    request = messages.EntryStatus("entry-1", "a", 0, 0, 1)
    async with codec.CONTROL_WATCH.open(dialled) as stream:
        await step(stream, request)


@pytest.mark.parametrize(
    "step",
    [
        lambda stream, request: stream.send_request(),
        lambda stream, request: stream.send_message(request),
    ],
)
def test_closed_connection_is_a_fault(step):
    """A call that meets a closing connection must see a broken one."""

    async def run():
        async def watch(stream):
            await stream.recv_message()

        server = grpclib.server.Server(
            [codec.Service({codec.CONTROL_WATCH: watch})], codec=codec.Codec()
        )
        await server.start("127.0.0.1", 0)
        port = server._server.sockets[0].getsockname()[1]
        dialled = channel.dial(f"127.0.0.1:{port}")
        try:
            with pytest.raises(fault.CONNECTION_ERRORS):
                await _closed_between(dialled, step)
        finally:
            dialled.close()
            server.close()
            await server.wait_closed()

    asyncio.run(run())


def test_unexpected_error_does_not_end_the_watch():
    """A fault in one attempt to follow control must not end service."""
    world = fakes.World()
    try:
        world.agent("g/0", fakes.send_events)
        program = world.program()
        control = program.entry.control
        follow, failures = control._follow, []

        async def fail_once(address):
            if not failures:
                failures.append(address)
                raise AttributeError("unexpected")
            return await follow(address)

        control._follow = fail_once
        program.loop.run(_lose(control))
        fakes.wait_for(lambda: failures)
        program.ready(1)
        assert not program.following.done()
        assert program.request(body=fakes.completion())[0] == 200
    finally:
        world.close()


async def _lose(control):
    control.channel.close()


def _control():
    return watch.ControlWatcher(
        types.SimpleNamespace(control=("127.0.0.1:1",), entry="entry-1"),
        lambda: 0,
    )


def test_lost_connection_ends_one_try_to_follow_control_only():
    """An entry that follows nobody for good keeps an old configuration."""

    async def scenario():
        control = _control()
        control._follow = lost = streams.LostConnections()
        return await lost.outlived(control.run())

    assert asyncio.run(scenario()) >= 3


def test_lost_connection_ends_one_watch_of_a_backend_only():
    """A backend server that is watched no more gets no calls for good."""

    async def scenario():
        backends = watch.BackendWatcher(_control().settings, _control())
        view = messages.BackendView(
            "g/0", "s", "vm-1", "run-1", 5, "127.0.0.1:1", "127.0.0.1:2", "a"
        )
        backends._receive = lost = streams.LostConnections()
        return await lost.outlived(backends._watch(watch.WatchedBackend(view)))

    assert asyncio.run(scenario()) >= 3
