"""Minimal simulated peers that put load on one real process over gRPC."""

import asyncio
import contextlib
import typing

import grpclib.server

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import channel
from flamingocleat.connection import codec
from flamingocleat.version import schema

STATUS_INTERVAL_S = 0.5
PONG_STATE = messages.MemberState.READY


class Traffic:
    """Payload bytes of the messages that a peer has sent and received."""

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0

    def count(
        self, sent: messages.Message | None, received: messages.Message | None
    ) -> None:
        """Count a message sent and a message received; None counts nothing."""
        self.sent += _size(sent)
        self.received += _size(received)


def _size(message: messages.Message | None) -> int:
    if message is None:
        return 0
    return len(codec.Codec().encode(message, type(message)))


def status(number: int, address: str = "127.0.0.1:1") -> messages.AgentStatus:
    """Return the status of a VM that hosts an engine."""
    return messages.AgentStatus(
        vm=ids.VmId(f"bench-vm-{number:05}"),
        incarnation=ids.Incarnation(f"{number:032x}"),
        data_centre=ids.DataCentreId("praha-a"),
        fabric_domain=ids.FabricDomainId(f"praha-a-{number // 32}"),
        kind=messages.BackendKind.ENGINE,
        control_address=address,
        data_address=address,
        accelerators=8,
        loaded=("drafting-70b@1",),
    )


async def announce(address: str, number: int, traffic: Traffic) -> None:
    """Keep one Control.AgentSession open until cancelled."""
    connection = channel.dial(address)
    own_status = status(number)
    try:
        async with codec.AGENT_SESSION.open(connection) as stream:

            async def receive() -> None:
                while (order := await stream.recv_message()) is not None:
                    traffic.count(None, order)

            await stream.send_message(own_status)
            receiver = asyncio.create_task(receive())
            with contextlib.suppress(asyncio.CancelledError):
                while not receiver.done():
                    await asyncio.sleep(STATUS_INTERVAL_S)
                    await stream.send_message(own_status)
                    traffic.count(own_status, None)
            receiver.cancel()
    finally:
        connection.close()


async def watch(address: str, number: int, traffic: Traffic) -> None:
    """Keep one Control.Watch open until cancelled; confirm each version."""
    connection = channel.dial(address)
    sequence = 0
    version = ids.ConfigurationVersion(0)

    def report() -> messages.EntryStatus:
        nonlocal sequence
        sequence += 1
        return messages.EntryStatus(
            entry=ids.EntryId(f"bench-entry-{number}"),
            data_centre=ids.DataCentreId("praha-a"),
            confirmed_version=version,
            sequence=sequence,
        )

    try:
        async with codec.CONTROL_WATCH.open(connection) as stream:

            async def receive() -> None:
                nonlocal version
                while (view := await stream.recv_message()) is not None:
                    traffic.count(None, view)
                    if view.version > version:
                        version = view.version
                        await stream.send_message(report())

            await stream.send_message(report())
            receiver = asyncio.create_task(receive())
            with contextlib.suppress(asyncio.CancelledError):
                while not receiver.done():
                    await asyncio.sleep(STATUS_INTERVAL_S)
                    sent = report()
                    await stream.send_message(sent)
                    traffic.count(sent, None)
            receiver.cancel()
    finally:
        connection.close()


class GroupMember:
    """A group member that serves Member.Heartbeat."""

    def __init__(self, fence: ids.FencingNumber, number: int) -> None:
        self.fence = fence
        self.identity = status(number)
        self.traffic = Traffic()

    def service(self) -> codec.Service:
        """Return the gRPC service."""
        return codec.Service({codec.HEARTBEAT: self.heartbeat})

    async def heartbeat(self, stream: typing.Any) -> None:
        """Answer each ping as a member that is ready."""
        while (ping := await stream.recv_message()) is not None:
            pong = messages.Pong(
                vm=self.identity.vm,
                incarnation=self.identity.incarnation,
                fence=self.fence,
                sequence=ping.sequence,
                state=PONG_STATE,
            )
            self.traffic.count(pong, ping)
            await stream.send_message(pong)


class Control:
    """Stand-in for control: assigns one agent and sends views to one entry."""

    def __init__(self) -> None:
        self.assignment: messages.Assignment | None = None
        self.last_status: messages.AgentStatus | None = None
        self.configuration: schema.Configuration | None = None
        self.backends: tuple[messages.BackendView, ...] = ()
        self.traffic = Traffic()

    def service(self) -> codec.Service:
        """Return the gRPC service."""
        return codec.Service(
            {
                codec.AGENT_SESSION: self.session,
                codec.CONTROL_WATCH: self.view,
            }
        )

    async def session(self, stream: typing.Any) -> None:
        """Answer each status of an agent with an order.

        An assignment is sent in full once; later orders say that it is
        unchanged.
        """
        sent: messages.AgentOrder | None = None
        while (received := await stream.recv_message()) is not None:
            self.last_status = received
            order = messages.AgentOrder(assignment=self.assignment)
            if order == sent:
                order = messages.AgentOrder(unchanged=True)
            else:
                sent = order
            self.traffic.count(order, received)
            await stream.send_message(order)

    async def view(self, stream: typing.Any) -> None:
        """Answer each status of an entry with a view."""
        first = True
        while (received := await stream.recv_message()) is not None:
            view = messages.ClusterView(
                version=ids.ConfigurationVersion(1),
                configuration=self.configuration if first else None,
                backends=self.backends if first else None,
                echo=received.sequence,
            )
            first = False
            self.traffic.count(view, received)
            await stream.send_message(view)


class Backend:
    """A lead agent that serves Backend.Watch."""

    def __init__(self, number: int) -> None:
        self.identity = status(number)
        self.traffic = Traffic()

    def service(self) -> codec.Service:
        """Return the gRPC service."""
        return codec.Service({codec.BACKEND_WATCH: self.watch})

    async def watch(self, stream: typing.Any) -> None:
        """Report the load every 250 ms."""
        await stream.recv_message()
        while True:
            report = messages.LoadReport(
                vm=self.identity.vm,
                incarnation=self.identity.incarnation,
                fence=ids.FencingNumber(1),
                serving=True,
                leaving=False,
                load=messages.Load(running=3, waiting=1, slots=8, age_ms=200),
            )
            self.traffic.count(report, None)
            await stream.send_message(report)
            await asyncio.sleep(0.25)


async def serve(service: codec.Service) -> tuple[grpclib.server.Server, str]:
    """Serve on a free loopback port; return the server and its address."""
    server = grpclib.server.Server([service], codec=codec.Codec())
    await server.start("127.0.0.1", 0)
    assert server._server is not None
    port = server._server.sockets[0].getsockname()[1]
    return server, f"127.0.0.1:{port}"
