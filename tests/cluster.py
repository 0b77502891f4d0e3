"""Three voters in one process, on a simulated network."""

import asyncio
import collections.abc
import contextlib
import random

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat.connection import codec
from flamingocleat.process import consensus
from flamingocleat.process import settings
from flamingocleat.process import storage
from flamingocleat.version import machine
from flamingocleat.version import schema

TIMEOUT_S = 60.0
"""Generous: it only ends a test that would hang otherwise."""

CONFIGURATION = schema.Configuration(
    operator="kontejnery", data_centres=(), services=()
)


def submission(
    change: str, base: int, operator: str = "anna", text: str = "operator: k"
) -> machine.SubmitConfiguration:
    return machine.SubmitConfiguration(
        operator=ids.OperatorId(operator),
        change_id=ids.ChangeId(change),
        base_version=ids.ConfigurationVersion(base),
        configuration=CONFIGURATION,
        text=text,
        difference=f"{change}: changed",
        time_ms=1,
    )


def drain(change: str, vm: str = "vm-1") -> machine.DrainVm:
    return machine.DrainVm(
        operator=ids.OperatorId("anna"),
        change_id=ids.ChangeId(change),
        vm=ids.VmId(vm),
        drained=True,
        time_ms=1,
    )


async def wait_until(condition: collections.abc.Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


class Network:
    """Delivers calls between voters, with seeded losses and delays."""

    def __init__(self, seed: int = 1) -> None:
        self.voters: dict[str, consensus.Consensus] = {}
        self.blocked_links: set[frozenset[str]] = set()
        self.random = random.Random(seed)
        self.loss_rate = 0.0
        self.max_delay_s = 0.0
        self.sent: list[tuple[str, object]] = []
        """Source and request of every call, including lost calls."""

    def call_from(self, source: str):
        async def call(call, address, request, timeout_s):
            async with asyncio.timeout(timeout_s):
                self.sent.append((source, request))
                await self.transmit(source, address)
                target = self.voters.get(address)
                if target is None:
                    raise ConnectionRefusedError(address)
                reply = await {
                    codec.VOTE: target.handle_vote,
                    codec.APPEND: target.handle_append,
                    codec.INSTALL_SNAPSHOT: target.handle_snapshot,
                }[call](request)
                await self.transmit(source, address)
                return reply

        return call

    async def transmit(self, source: str, target: str) -> None:
        # Calls are delayed independently, which also reorders them.
        await asyncio.sleep(self.random.uniform(0, self.max_delay_s))
        lost = self.random.random() < self.loss_rate
        if lost or frozenset((source, target)) in self.blocked_links:
            await asyncio.sleep(TIMEOUT_S)

    def isolate(self, address: str) -> None:
        for other in self.voters:
            if other != address:
                self.blocked_links.add(frozenset((address, other)))

    def restore(self) -> None:
        self.blocked_links.clear()

    def count(self, source: str, kind: type) -> int:
        return sum(
            sender == source and isinstance(request, kind)
            for sender, request in self.sent
        )


class Cluster:
    """Voters a, b and c; the address of a voter is its id."""

    def __init__(
        self, folder, snapshot_interval: int = 1000, seed: int = 1
    ) -> None:
        self.folder = folder
        self.snapshot_interval = snapshot_interval
        self.seed = seed
        self.network = Network(seed)
        self.addresses = {ids.VoterId(v): v for v in "abc"}

    @property
    def voters(self) -> dict[str, consensus.Consensus]:
        return self.network.voters

    async def start(self, name: str, *, new: bool = False) -> None:
        folder = str(self.folder / name)
        voter = ids.VoterId(name)
        opened = (
            storage.Storage.create(folder, voter)
            if new
            else storage.Storage.open(folder)
        )
        control_settings = settings.ControlSettings(
            voter=voter,
            data_centre=ids.DataCentreId("praha-a"),
            listen=name,
            operators_listen="",
            data_folder=folder,
            voters=self.addresses,
            snapshot_interval_entries=self.snapshot_interval,
        )
        node = consensus.Consensus(
            control_settings,
            opened,
            machine.Machine(),
            call=self.network.call_from(name),
            seed=self.seed + ord(name[0]),
        )
        self.voters[name] = node
        await node.start()

    async def settled_leader(self) -> consensus.Consensus:
        """Wait for a leader that all running voters follow."""
        node = await self.leader()
        await wait_until(
            lambda: all(v.leader == node.voter for v in self.voters.values())
        )
        return node

    async def kill(self, name: str) -> None:
        """Stop a voter and drop all its state except its data folder."""
        node = self.voters.pop(name)
        await node.stop()
        node.storage.close()

    async def leader(self, *names: str) -> consensus.Consensus:
        """Wait for a leader, among the given voters if any are given."""
        leaders: list[consensus.Consensus] = []

        def elected() -> bool:
            leaders[:] = [
                node
                for name, node in self.voters.items()
                if node.role is consensus.Role.LEADER
                and (not names or name in names)
            ]
            return bool(leaders)

        await wait_until(elected)
        return max(leaders, key=lambda node: node.term)

    async def propose(self, command: machine.Command):
        """Resend the same command until its outcome is known."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                node = await self.leader()
                with contextlib.suppress(
                    errors.NotLeaderError, errors.CommitUnknownError
                ):
                    return await node.propose(command)
                await asyncio.sleep(0.01)

    async def converge(self) -> None:
        """Wait until all running voters have applied the same entries."""

        def logs_equal() -> bool:
            nodes = list(self.voters.values())
            return (
                len({n.applied_index for n in nodes}) == 1
                and len({n.entries.last_index for n in nodes}) == 1
                and nodes[0].applied_index == nodes[0].entries.last_index
            )

        await wait_until(logs_equal)


@contextlib.asynccontextmanager
async def running(folder, snapshot_interval: int = 1000, seed: int = 1):
    cluster = Cluster(folder, snapshot_interval, seed)
    for name in "abc":
        await cluster.start(name, new=True)
    try:
        yield cluster
    finally:
        for name in list(cluster.voters):
            await cluster.kill(name)
