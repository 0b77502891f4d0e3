"""Measures proposals per second on three voters that sync every write.

The voters run in one process and use gRPC over the loopback interface, so all
three share one core. Prints JSON.
"""

import argparse
import asyncio
import contextlib
import json
import pathlib
import random
import resource
import socket
import sys
import tempfile
import time

import grpclib.server

from flamingocleat import ids
from flamingocleat.connection import codec
from flamingocleat.process import consensus
from flamingocleat.process import settings
from flamingocleat.process import storage
from flamingocleat.version import machine

_VOTERS = ("a", "b", "c")


def _listen() -> socket.socket:
    # asyncio sets TCP_NODELAY only on sockets of this protocol number;
    # without it each call waits 40 ms for a delayed acknowledgement.
    listener = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    return listener


@contextlib.asynccontextmanager
async def _cluster(folder: pathlib.Path, seed: int):
    sockets = {voter: _listen() for voter in _VOTERS}
    addresses = {
        ids.VoterId(voter): f"127.0.0.1:{listener.getsockname()[1]}"
        for voter, listener in sockets.items()
    }
    nodes = []
    servers = []
    for number, voter in enumerate(_VOTERS):
        own_settings = settings.ControlSettings(
            voter=ids.VoterId(voter),
            data_centre=ids.DataCentreId("praha-a"),
            listen=addresses[ids.VoterId(voter)],
            operators_listen="",
            data_folder=str(folder / voter),
            voters=addresses,
        )
        opened = storage.Storage.create(
            own_settings.data_folder, own_settings.voter
        )
        node = consensus.Consensus(
            own_settings, opened, machine.Machine(), seed=seed + number
        )
        server = grpclib.server.Server([node.service()], codec=codec.Codec())
        await server.start(sock=sockets[voter])
        await node.start()
        nodes.append(node)
        servers.append(server)
    try:
        yield nodes
    finally:
        for node in nodes:
            await node.stop()
        for server in servers:
            server.close()
            await server.wait_closed()
        for node in nodes:
            node.storage.close()


async def _leader(nodes: list[consensus.Consensus]) -> consensus.Consensus:
    async with asyncio.timeout(30):
        while True:
            for node in nodes:
                if node.role is consensus.Role.LEADER:
                    await node.confirm()
                    return node
            await asyncio.sleep(0.01)


def _percentile(values: list[float], fraction: float) -> float:
    return sorted(values)[int(fraction * (len(values) - 1))]


async def _measure(
    leader: consensus.Consensus,
    concurrent: int,
    duration_s: float,
    rng: random.Random,
) -> dict[str, float]:
    latencies: list[float] = []
    end_s = time.monotonic() + duration_s

    async def propose_until_end() -> None:
        while time.monotonic() < end_s:
            command = machine.DrainVm(
                operator=ids.OperatorId("bench"),
                change_id=ids.ChangeId(f"{rng.getrandbits(64):016x}"),
                vm=ids.VmId(f"vm-{rng.randrange(1000)}"),
                drained=rng.random() < 0.5,
                time_ms=0,
            )
            start_s = time.monotonic()
            await leader.propose(command)
            latencies.append(time.monotonic() - start_s)

    cpu_s = time.process_time()
    start_s = time.monotonic()
    await asyncio.gather(*(propose_until_end() for _ in range(concurrent)))
    elapsed_s = time.monotonic() - start_s
    return {
        "concurrent": concurrent,
        "proposals": len(latencies),
        "proposals_per_s": round(len(latencies) / elapsed_s, 1),
        "latency_p50_ms": round(1000 * _percentile(latencies, 0.5), 2),
        "latency_p99_ms": round(1000 * _percentile(latencies, 0.99), 2),
        "cpu_share": round((time.process_time() - cpu_s) / elapsed_s, 2),
    }


async def _fsync_ms(folder: pathlib.Path) -> float:
    """Return the median time of one small append with fsync, in ms."""
    probe = storage.Storage.create(str(folder / "probe"), ids.VoterId("p"))
    times = []
    for _ in range(50):
        start_s = time.monotonic()
        probe.save_vote(0, ids.VoterId(""))
        times.append(time.monotonic() - start_s)
    probe.close()
    return round(1000 * _percentile(times, 0.5), 3)


async def _run(options: argparse.Namespace) -> dict[str, object]:
    rng = random.Random(options.seed)
    results = []
    with tempfile.TemporaryDirectory(dir=options.folder) as name:
        folder = pathlib.Path(name)
        vote_ms = await _fsync_ms(folder)
        async with _cluster(folder, options.seed) as nodes:
            leader = await _leader(nodes)
            for concurrent in options.concurrent:
                results.append(
                    await _measure(leader, concurrent, options.duration, rng)
                )
            final_term = leader.term
    return {
        "command": " ".join(["python -m bench.consensus", *sys.argv[1:]]),
        "seed": options.seed,
        "vote_save_p50_ms": vote_ms,
        "results": results,
        "final_term": final_term,
        "max_resident_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        // 1024,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration", type=float, default=5.0)
    parser.add_argument("--folder", default=".")
    parser.add_argument(
        "--concurrent", type=int, nargs="+", default=[1, 16, 64]
    )
    print(json.dumps(asyncio.run(_run(parser.parse_args())), indent=2))


if __name__ == "__main__":
    main()
