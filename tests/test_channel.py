"""Tests of channels whose connection closes during a call."""

import asyncio
import contextlib
import gc
import types

import grpclib.server
import pytest

from flamingocleat import messages
from flamingocleat.connection import channel
from flamingocleat.connection import codec
from flamingocleat.connection import grpc_errors
from flamingocleat.connection import http
from flamingocleat.connection import watch
from tests import entry_fakes as fakes
from tests import streams


async def _call_on_closing_connection(grpc_channel, step):
    """Close the connection after grpclib has looked it up for a call."""
    connect = grpc_channel.__connect__

    async def connect_and_lose():
        protocol = await connect()
        protocol.processor.close("peer died")
        return protocol

    grpc_channel.__connect__ = connect_and_lose
    request = messages.EntryStatus("entry-1", "a", 0, 0, 1)
    async with codec.CONTROL_WATCH.open(grpc_channel) as stream:
        await step(stream, request)


@pytest.mark.parametrize(
    "step",
    [
        lambda stream, request: stream.send_request(),
        lambda stream, request: stream.send_message(request),
    ],
)
def test_closed_connection_is_a_fault(step):
    """Guards against an unexpected error from a call on a closing connection.

    The connection closes after grpclib has looked it up for the call; the
    call must fail as on a broken connection.
    """

    async def run():
        async def watch(stream):
            await stream.recv_message()

        server = grpclib.server.Server(
            [codec.Service({codec.CONTROL_WATCH: watch})], codec=codec.Codec()
        )
        await server.start("127.0.0.1", 0)
        port = server._server.sockets[0].getsockname()[1]
        grpc_channel = channel.dial(f"127.0.0.1:{port}")
        try:
            with pytest.raises(grpc_errors.CONNECTION_ERRORS):
                await _call_on_closing_connection(grpc_channel, step)
        finally:
            grpc_channel.close()
            server.close()
            await server.wait_closed()

    asyncio.run(run())


def test_unexpected_error_does_not_end_the_watch():
    """Guards against an unexpected error that ends an entry's watch.

    One attempt to follow control raises it; the next must succeed.
    """
    deployment = fakes.Deployment()
    try:
        deployment.add_agent("g/0", fakes.send_events)
        program = deployment.start_program()
        control = program.entry.control
        follow, failures = control._follow, []

        async def fail_once(address):
            if not failures:
                failures.append(address)
                raise AttributeError("unexpected")
            return await follow(address)

        control._follow = fail_once
        program.loop.run(_close_channel(control))
        fakes.wait_for(lambda: failures)
        program.wait_ready(1)
        assert not program.control_task.done()
        assert program.request(body=fakes.completion())[0] == 200
    finally:
        deployment.close()


async def _close_channel(control):
    control.channel.close()


def _control_watcher():
    return watch.ControlWatcher(
        types.SimpleNamespace(control=("127.0.0.1:1",), entry="entry-1"),
        lambda: 0,
    )


def test_lost_connection_ends_one_attempt_to_follow_control_only():
    """Guards against an entry that stops following control.

    It would keep an old configuration after one lost connection.
    """

    async def scenario():
        control = _control_watcher()
        control._follow = lost = streams.LostConnections()
        return await lost.count_attempts(control.run())

    assert asyncio.run(scenario()) >= 3


def test_lost_connection_ends_one_watch_of_a_backend_only():
    """Guards against a backend server that is no longer watched.

    It would get no more calls after one lost connection.
    """

    async def scenario():
        backends = watch.BackendWatcher(
            _control_watcher().settings, _control_watcher()
        )
        view = messages.BackendView(
            "g/0", "s", "vm-1", "run-1", 5, "127.0.0.1:1", "127.0.0.1:2", "a"
        )
        backends._receive = lost = streams.LostConnections()
        return await lost.count_attempts(
            backends._watch(watch.WatchedBackend(view))
        )

    assert asyncio.run(scenario()) >= 3


async def _start_http(address):
    server = http.Server(lambda _exchange: asyncio.sleep(0))
    await server.start(address)
    return server.listener, server.close


async def _start_grpc(address):
    server = channel.Server([])
    host, _, port = address.rpartition(":")
    await server.start(host, int(port))

    async def close():
        server.close()

    return server._server, close


@pytest.mark.parametrize("start", [_start_http, _start_grpc])
def test_connection_that_is_accepted_as_its_server_closes_is_ended(start):
    """Guards against a transport that nobody closes after a voter stopped.

    The server is closed in the step of the event loop that accepts the
    connection; the connection is set up in the next step.
    """

    async def run():
        loop = asyncio.get_running_loop()
        closing = []
        accept = loop._accept_connection

        def accept_and_close(*args):
            accept(*args)
            # Runs until its first wait in this step.
            with contextlib.suppress(StopIteration):
                steps = close().__await__()
                closing.append(steps)
                next(steps)

        loop._accept_connection = accept_and_close
        listener, close = await start("127.0.0.1:0")
        address = listener.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        async with asyncio.timeout(10):
            with contextlib.suppress(ConnectionResetError):
                while await reader.read(1024):
                    pass
        writer.close()
        with contextlib.suppress(ConnectionResetError):
            await writer.wait_closed()

    asyncio.run(run())
    gc.collect()


def test_channel_that_is_closed_while_it_connects_leaves_no_connection():
    """Guards against a connection that is opened after its channel's end."""

    async def run():
        server = channel.Server([])
        await server.start("127.0.0.1", 0)
        port = server._server.sockets[0].getsockname()[1]
        grpc_channel = channel.dial(f"127.0.0.1:{port}")
        connecting = asyncio.create_task(grpc_channel.__connect__())
        while not grpc_channel._connect_lock.locked():
            await asyncio.sleep(0)
        grpc_channel.close()
        with pytest.raises(grpc_errors.CONNECTION_ERRORS):
            await connecting
        server.close()

    asyncio.run(run())
    gc.collect()
