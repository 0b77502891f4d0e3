"""Three voters in one process, over a network that tests can cut."""

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

LIMIT_S = 60.0
"""Generous: it only bounds a test that would else never end."""

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


async def until(condition: collections.abc.Callable[[], bool]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.01)


class Network:
    """Passes calls between voters; drops and delays them by a seed."""

    def __init__(self, seed: int = 1) -> None:
        self.voters: dict[str, consensus.Consensus] = {}
        self.cut: set[frozenset[str]] = set()
        self.random = random.Random(seed)
        self.loss = 0.0
        self.max_delay_s = 0.0
        self.sent: list[tuple[str, object]] = []
        """Source and request of every call, lost ones included."""

    def caller(self, source: str):
        async def call(call, address, request, timeout_s):
            async with asyncio.timeout(timeout_s):
                self.sent.append((source, request))
                await self.cross(source, address)
                target = self.voters.get(address)
                if target is None:
                    raise ConnectionRefusedError(address)
                reply = await {
                    codec.VOTE: target.handle_vote,
                    codec.APPEND: target.handle_append,
                    codec.INSTALL_SNAPSHOT: target.handle_snapshot,
                }[call](request)
                await self.cross(source, address)
                return reply

        return call

    async def cross(self, source: str, target: str) -> None:
        # Independent delays of requests in flight also reorder them.
        await asyncio.sleep(self.random.uniform(0, self.max_delay_s))
        lost = self.random.random() < self.loss
        if lost or frozenset((source, target)) in self.cut:
            await asyncio.sleep(LIMIT_S)

    def isolate(self, address: str) -> None:
        for other in self.voters:
            if other != address:
                self.cut.add(frozenset((address, other)))

    def heal(self) -> None:
        self.cut.clear()

    def count(self, source: str, kind: type) -> int:
        return sum(
            sender == source and isinstance(request, kind)
            for sender, request in self.sent
        )


class Cluster:
    """Voters a, b and c; the address of a voter is its id."""

    def __init__(self, folder, interval: int = 1000, seed: int = 1) -> None:
        self.folder = folder
        self.interval = interval
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
        own = settings.ControlSettings(
            voter=voter,
            data_centre=ids.DataCentreId("praha-a"),
            listen=name,
            operators_listen="",
            data_folder=folder,
            voters=self.addresses,
            snapshot_interval_entries=self.interval,
        )
        node = consensus.Consensus(
            own,
            opened,
            machine.Machine(),
            call=self.network.caller(name),
            seed=self.seed + ord(name[0]),
        )
        self.voters[name] = node
        await node.start()

    async def settled_leader(self) -> consensus.Consensus:
        """Wait for a leader that all running voters follow."""
        node = await self.leader()
        await until(
            lambda: all(v.leader == node.voter for v in self.voters.values())
        )
        return node

    async def kill(self, name: str) -> None:
        """Take a voter away; only what is on its disk remains."""
        node = self.voters.pop(name)
        await node.stop()
        node.storage.close()

    async def leader(self, *names: str) -> consensus.Consensus:
        """Wait for a leader, among the given voters if any are given."""
        found: list[consensus.Consensus] = []

        def elected() -> bool:
            found[:] = [
                node
                for name, node in self.voters.items()
                if node.role is consensus.Role.LEADER
                and (not names or name in names)
            ]
            return bool(found)

        await until(elected)
        return max(found, key=lambda node: node.term)

    async def propose(self, command: machine.Command):
        """Propose until the outcome is known; resends the same command."""
        async with asyncio.timeout(LIMIT_S):
            while True:
                node = await self.leader()
                with contextlib.suppress(
                    errors.NotLeaderError, errors.CommitUnknownError
                ):
                    return await node.propose(command)
                await asyncio.sleep(0.01)

    async def converge(self) -> None:
        """Wait until all running voters have applied the same entries."""

        def same() -> bool:
            nodes = list(self.voters.values())
            return (
                len({n.applied_index for n in nodes}) == 1
                and len({n.entries.last_index for n in nodes}) == 1
                and nodes[0].applied_index == nodes[0].entries.last_index
            )

        await until(same)


@contextlib.asynccontextmanager
async def running(folder, interval: int = 1000, seed: int = 1):
    cluster = Cluster(folder, interval, seed)
    for name in "abc":
        await cluster.start(name, new=True)
    try:
        yield cluster
    finally:
        for name in list(cluster.voters):
            await cluster.kill(name)
