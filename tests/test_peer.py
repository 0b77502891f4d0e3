"""Tests of voters that call each other by gRPC over loopback."""

import asyncio
import contextlib
import socket
import types

import grpclib
import grpclib.server
import pytest

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import codec
from flamingocleat.connection import peer
from flamingocleat.process import consensus
from flamingocleat.process import settings
from flamingocleat.process import storage
from flamingocleat.version import machine
from tests import cluster as cluster_module
from tests import streams


class Voter:
    """A voter with a gRPC server on loopback."""

    def __init__(self, folder, name, listeners) -> None:
        self.listener = listeners[name]
        addresses = {
            ids.VoterId(v): f"127.0.0.1:{s.getsockname()[1]}"
            for v, s in listeners.items()
        }
        control_settings = settings.ControlSettings(
            voter=ids.VoterId(name),
            data_centre=ids.DataCentreId("praha-a"),
            listen=addresses[ids.VoterId(name)],
            operators_listen="",
            data_folder=str(folder / name),
            voters=addresses,
        )
        voter_storage = storage.Storage.create(
            control_settings.data_folder, control_settings.voter
        )
        self.node = consensus.Consensus(
            control_settings, voter_storage, machine.Machine(), seed=ord(name)
        )
        self.server = grpclib.server.Server(
            [self.node.service()], codec=codec.Codec()
        )

    async def start(self) -> None:
        await self.server.start(sock=self.listener)
        await self.node.start()

    async def stop(self) -> None:
        await self.node.stop()
        self.server.close()
        await self.server.wait_closed()
        self.node.storage.close()


def test_cluster_over_grpc_survives_its_leader(tmp_path):
    """Guards against faults that tests in memory can't show.

    Messages pass the codec and real sockets, and the leader is stopped.
    """

    async def scenario():
        listeners = {
            name: socket.create_server(("127.0.0.1", 0)) for name in "abc"
        }
        voters = {n: Voter(tmp_path, n, listeners) for n in "abc"}
        for voter in voters.values():
            await voter.start()

        async def write(base: int) -> None:
            async with asyncio.timeout(cluster_module.TIMEOUT_S):
                while True:
                    for voter in voters.values():
                        with contextlib.suppress(
                            errors.NotLeaderError, errors.CommitUnknownError
                        ):
                            await voter.node.propose(
                                cluster_module.submission(f"c{base}", base)
                            )
                            await voter.node.confirm()
                            return
                    await asyncio.sleep(0.01)

        for base in range(5):
            await write(base)
        leader = next(
            n for n, v in voters.items() if v.node.role is consensus.Role.LEADER
        )
        await voters.pop(leader).stop()
        await write(5)
        nodes = [voter.node for voter in voters.values()]
        await cluster_module.wait_until(
            lambda: all(node.machine.version == 6 for node in nodes)
        )
        for voter in voters.values():
            await voter.stop()

    asyncio.run(scenario())


def test_silent_connection_is_replaced(tmp_path):
    """Guards against a voter that stays on a dead connection.

    A device on the path has forgotten the connection and answers nothing.
    """

    async def scenario():
        listeners = {"a": socket.create_server(("127.0.0.1", 0))}
        voter = Voter(tmp_path, "a", listeners)
        await voter.server.start(sock=voter.listener)
        port = voter.listener.getsockname()[1]
        accepted = []

        async def forward(reader, writer):
            accepted.append(writer)
            if len(accepted) == 1:
                return
            upstream = await asyncio.open_connection("127.0.0.1", port)
            await asyncio.gather(
                _copy(reader, upstream[1]), _copy(upstream[0], writer)
            )

        proxy = await asyncio.start_server(forward, "127.0.0.1", 0)
        address = f"127.0.0.1:{proxy.sockets[0].getsockname()[1]}"
        request = messages.VoteRequest(
            term=1,
            candidate=ids.VoterId("b"),
            target=ids.VoterId("a"),
            last_index=0,
            last_term=0,
        )
        caller = peer.Caller()
        with pytest.raises(peer.CALL_ERRORS):
            await caller.call(codec.VOTE, address, request, 0.3)
        reply = await caller.call(
            codec.VOTE, address, request, cluster_module.TIMEOUT_S
        )
        assert reply.granted
        # A refusal is an answer, so the connection is kept.
        misdirected = messages.VoteRequest(
            term=1,
            candidate=ids.VoterId("b"),
            target=ids.VoterId("z"),
            last_index=0,
            last_term=0,
        )
        for _ in range(2):
            with pytest.raises(grpclib.GRPCError) as error_info:
                await caller.call(
                    codec.VOTE, address, misdirected, cluster_module.TIMEOUT_S
                )
            refusal = grpclib.Status.FAILED_PRECONDITION
            assert error_info.value.status is refusal
        assert len(accepted) == 2
        caller.close()
        proxy.close()
        for writer in accepted:
            writer.close()
        await voter.stop()

    asyncio.run(scenario())


def test_used_up_connection_is_replaced(tmp_path):
    """Guards against a voter that can make no more calls.

    After days, a connection has used up its HTTP/2 stream ids.
    """

    async def scenario():
        listeners = {"a": socket.create_server(("127.0.0.1", 0))}
        voter = Voter(tmp_path, "a", listeners)
        await voter.server.start(sock=voter.listener)
        address = voter.node.settings.listen
        request = messages.VoteRequest(
            term=1,
            candidate=ids.VoterId("b"),
            target=ids.VoterId("a"),
            last_index=0,
            last_term=0,
        )
        caller = peer.Caller()
        limit_s = cluster_module.TIMEOUT_S
        await caller.call(codec.VOTE, address, request, limit_s)
        (used_channel,) = caller.channels.values()
        http2 = used_channel._protocol.connection._connection
        http2.highest_outbound_stream_id = 2**31 - 1
        with pytest.raises(peer.CALL_ERRORS):
            await caller.call(codec.VOTE, address, request, limit_s)
        reply = await caller.call(codec.VOTE, address, request, limit_s)
        assert reply.granted
        caller.close()
        await voter.stop()

    asyncio.run(scenario())


async def _copy(reader, writer) -> None:
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    writer.close()


def test_lost_connection_is_a_failed_call():
    """Guards against a lost connection that ends a leader's replication task.

    It must be a failed call; else the follower gets no more entries.
    """

    async def scenario() -> None:
        lost = streams.LostConnections(bounded=False)
        address = "127.0.0.1:1"
        caller = peer.Caller()
        caller.channels[address, False] = types.SimpleNamespace(
            request=lambda *_arguments, **_options: _LostStream(lost),
            close=lambda: None,
        )
        with pytest.raises(peer.CALL_ERRORS):
            await caller.call(codec.VOTE, address, None, lost.TIMEOUT_S)

    asyncio.run(scenario())


class _LostStream:
    def __init__(self, lost: streams.LostConnections) -> None:
        self.lost = lost

    async def __aenter__(self) -> "_LostStream":
        return self

    async def __aexit__(self, *_error: object) -> None:
        return

    async def send_message(self, _message: object, *, end: bool) -> None:
        assert end
        await self.lost()
