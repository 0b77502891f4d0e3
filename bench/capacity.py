"""Measures how resource use grows with size, for docs/CAPACITY.md.

Loads one real process at a time with simulated peers over gRPC, reads its
processor time and memory at several sizes, and fits a line through them.
Prints JSON with --json, otherwise a table.
"""

import argparse
import asyncio
import collections.abc
import contextlib
import json
import os
import pathlib
import sys
import tempfile
import time
import typing

import msgspec

from bench import peers
from bench import usage
from examples import local
from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.version import machine as machine_module
from tests.system import workload

MEASURE_S = 6.0
SETTLE_S = 4.0


class Point(msgspec.Struct):
    """Resource use of one process at one size."""

    size: int
    cpu_percent: float
    resident_mb: float
    bytes_per_s: float = 0.0


class Slope(msgspec.Struct):
    """Points of one measurement and the lines fitted through them."""

    name: str
    unit: str
    points: list[Point]
    cpu: usage.Fit
    memory: usage.Fit
    traffic: usage.Fit


def _slope(name: str, unit: str, points: list[Point]) -> Slope:
    def fit(field: str) -> usage.Fit:
        return usage.fit([(p.size, getattr(p, field)) for p in points])

    return Slope(
        name,
        unit,
        points,
        fit("cpu_percent"),
        fit("resident_mb"),
        fit("bytes_per_s"),
    )


async def _measure_point(
    pid: int, size: int, traffic: collections.abc.Callable[[], int]
) -> Point:
    """Measure one process over MEASURE_S seconds."""
    await asyncio.sleep(SETTLE_S)
    started, cpu, count = time.monotonic(), usage.cpu_s(pid), traffic()
    await asyncio.sleep(MEASURE_S)
    elapsed = time.monotonic() - started
    return Point(
        size=size,
        cpu_percent=round(100 * (usage.cpu_s(pid) - cpu) / elapsed, 3),
        resident_mb=round(usage.resident_mb(pid), 2),
        bytes_per_s=round((traffic() - count) / elapsed, 1),
    )


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


Peer = collections.abc.Callable[
    [str, int, peers.Traffic], collections.abc.Coroutine[None, None, None]
]


def _leader(deployment: local.Deployment) -> tuple[local.Process, str]:
    page = local.wait_for(deployment.status, "a leader")
    voter = page["voter"]
    return deployment.control[voter], deployment.control_settings[voter].listen


async def _measure_leader(
    deployment: local.Deployment, name: str, peer: Peer, sizes: list[int]
) -> Slope:
    process, address = _leader(deployment)
    traffic = peers.Traffic()
    tasks: list[asyncio.Task[None]] = []
    points = []
    for size in sizes:
        tasks += [
            asyncio.create_task(peer(address, number, traffic))
            for number in range(len(tasks), size)
        ]
        points.append(
            await _measure_point(
                process.pid, size, lambda: traffic.sent + traffic.received
            )
        )
    await _cancel(tasks)
    return _slope(f"control leader, {name}", name, points)


def measure_control(folder: pathlib.Path) -> list[Slope]:
    """Measure the leader by the number of agent sessions and entry watches."""
    slopes = []
    for name, peer, sizes in (
        ("agent sessions", peers.announce, [50, 100, 200, 400]),
        ("entry watches", peers.watch, [10, 20, 40, 80]),
    ):
        deployment = local.Deployment(folder / name.replace(" ", "-"))
        deployment.start_control(workload.DATA_CENTRES)
        try:
            # No groups here: placement is measured by bench/repair.py.
            text = workload.as_yaml(
                workload.configuration(replicas=1, vms_per_replica=32)
            )
            deployment.submit(text, 0, "first")
            slopes.append(
                asyncio.run(_measure_leader(deployment, name, peer, sizes))
            )
        finally:
            deployment.kill()
    return slopes


def measure_changes(folder: pathlib.Path) -> dict[str, typing.Any]:
    """Measure one entry and the leader while the configuration changes."""
    deployment = local.Deployment(folder / "changes")
    deployment.start_control(workload.DATA_CENTRES)
    configuration = workload.configuration()
    try:
        deployment.submit(workload.as_yaml(configuration), 0, "first")
        deployment.add_entry("entry-0", workload.DATA_CENTRES[0])
        address = deployment.entry_settings["entry-0"].listen
        local.wait_for(lambda: deployment.ready(address), "the entry")
        leader, _ = _leader(deployment)
        time.sleep(SETTLE_S)
        processes = {"leader": leader, "entry": deployment.entries["entry-0"]}
        idle = _cpu_percents(processes, lambda: time.sleep(MEASURE_S))
        version = 1
        delays = []

        def change() -> None:
            nonlocal version
            for _ in range(30):
                started = time.monotonic()
                deployment.submit(
                    workload.as_yaml(configuration),
                    version,
                    f"change-{version}",
                )
                version += 1
                _wait_in_force(deployment, version)
                delays.append(time.monotonic() - started)
                time.sleep(0.1)

        busy = _cpu_percents(processes, change)
    finally:
        deployment.kill()
    return {
        "changes": len(delays),
        "submit_to_in_force_s": _distribution(delays),
        "cpu_ms_per_change": {
            name: round(
                10 * (busy[name] - idle[name]) * busy["elapsed"] / len(delays),
                2,
            )
            for name in processes
        },
        "idle_cpu_percent": {name: round(idle[name], 3) for name in processes},
    }


def _wait_in_force(deployment: local.Deployment, version: int) -> None:
    def reached() -> bool:
        page = deployment.status()
        return page is not None and all(
            line["confirmed_version"] >= version for line in page["entries"]
        )

    local.wait_for(reached, f"version {version} in force")


def _cpu_percents(
    processes: dict[str, local.Process],
    work: collections.abc.Callable[[], None],
) -> dict[str, float]:
    """Return the processor use during the work, in percent of a core."""
    started = time.monotonic()
    before = {n: usage.cpu_s(p.pid) for n, p in processes.items()}
    work()
    elapsed = time.monotonic() - started
    percents = {
        n: 100 * (usage.cpu_s(p.pid) - before[n]) / elapsed
        for n, p in processes.items()
    }
    return {**percents, "elapsed": elapsed}


def _distribution(values: list[float]) -> dict[str, float]:
    ordered = sorted(values)
    return {
        "median": round(ordered[len(ordered) // 2], 3),
        "p95": round(ordered[int(len(ordered) * 0.95)], 3),
        "max": round(ordered[-1], 3),
    }


async def _measure_agent(folder: pathlib.Path, sizes: list[int]) -> Slope:
    control = peers.Control()
    server, address = await peers.serve(control.service())
    fence = ids.FencingNumber(1)
    members = [peers.GroupMember(fence, n) for n in range(max(sizes))]
    served = [await peers.serve(m.service()) for m in members]
    deployment = local.Deployment(folder)
    backend = deployment.add_engine(
        "lead",
        "praha-a",
        "praha-a-1",
        "--loaded",
        "drafting-70b@1",
        control=(address,),
    )
    points = []
    try:
        while control.last_status is None:
            await asyncio.sleep(0.1)
        for size in sizes:
            fence = ids.FencingNumber(fence + 1)
            control.assignment = _assignment(
                control.last_status, members[: size - 1], served, fence
            )
            for member in members:
                member.fence = fence

            def traffic() -> int:
                counters = [control.traffic, *(m.traffic for m in members)]
                return sum(t.sent + t.received for t in counters)

            points.append(
                await _measure_point(backend.agent.pid, size, traffic)
            )
    finally:
        deployment.kill()
        for each, _ in [(server, ""), *served]:
            each.close()
    return _slope("lead agent, members of its group", "members", points)


def _assignment(
    lead: messages.AgentStatus,
    members: list[peers.GroupMember],
    served: list[tuple[typing.Any, str]],
    fence: ids.FencingNumber,
) -> messages.Assignment:
    first = messages.Member(lead.vm, lead.incarnation, lead.control_address)
    others = (
        messages.Member(m.identity.vm, m.identity.incarnation, address)
        for m, (_, address) in zip(members, served, strict=False)
    )
    return messages.Assignment(
        group=ids.GroupId("drafting/0"),
        fence=fence,
        service=workload.MODEL,
        model="drafting-70b",
        model_version="1",
        members=(first, *others),
    )


async def _measure_entry(folder: pathlib.Path, size: int) -> Point:
    """Measure an entry with a subset of `size` backend servers."""
    control = peers.Control()
    control.configuration = workload.configuration()
    backends = [peers.Backend(n) for n in range(size)]
    served = [await peers.serve(b.service()) for b in backends]
    control.backends = tuple(
        messages.BackendView(
            backend=f"drafting/{n}",
            service=workload.MODEL,
            vm=b.identity.vm,
            incarnation=b.identity.incarnation,
            fence=ids.FencingNumber(1),
            control_address=address,
            data_address=address,
            data_centre=b.identity.data_centre,
        )
        for n, (b, (_, address)) in enumerate(
            zip(backends, served, strict=True)
        )
    )
    server, address = await peers.serve(control.service())
    deployment = local.Deployment(folder)
    deployment.add_entry(
        "entry-0",
        "praha-a",
        control=(address,),
        subset_size=size,
        threads=640,
    )
    try:
        process = deployment.entries["entry-0"]

        def traffic() -> int:
            counters = [control.traffic, *(b.traffic for b in backends)]
            return sum(t.sent + t.received for t in counters)

        return await _measure_point(process.pid, size, traffic)
    finally:
        deployment.kill()
        for each, _ in [(server, ""), *served]:
            each.close()


def measure_entry(folder: pathlib.Path) -> Slope:
    """Measure an entry by the size of its subset."""
    points = [
        asyncio.run(_measure_entry(folder / f"entry-{size}", size))
        for size in (8, 16, 32, 64)
    ]
    return _slope("entry, backend servers watched", "backend servers", points)


def measure_state() -> dict[str, usage.Fit]:
    """Measure the memory of the replicated state, in MB per item."""
    pid = os.getpid()
    result = {}
    for name, fill in (("groups", _add_groups), ("keys", _add_keys)):
        points = []
        machine = machine_module.Machine()
        base = usage.resident_mb(pid)
        for size in (2000, 4000, 8000, 16000):
            fill(machine, size)
            points.append((float(size), usage.resident_mb(pid) - base))
        result[name] = usage.fit(points)
    return result


def _add_groups(machine: machine_module.Machine, size: int) -> None:
    """Add groups of one VM until there are `size`."""
    count = len(machine.assignments)
    assignments = tuple(
        messages.Assignment(
            group=ids.GroupId(f"drafting/{n}"),
            fence=ids.FencingNumber(0),
            service=workload.MODEL,
            model="drafting-70b",
            model_version="1",
            members=(
                messages.Member(
                    peers.status(n).vm, peers.status(n).incarnation, "a:1"
                ),
            ),
        )
        for n in range(count, size)
    )
    # Decoded, as commands read from the log are, so that the machine shares no
    # value with the benchmark.
    command = machine.decode(
        machine.encode(machine_module.Assign(machine.basis, assignments))
    )
    machine.apply(size, command)


def _add_keys(machine: machine_module.Machine, size: int) -> None:
    """Add keys, each with an answer of 200 bytes, until there are `size`."""
    now_ms = int(time.time() * 1000)
    for number in range(len(machine.register.records), size):
        key = f"{now_ms:012x}7{number:019x}"
        key = f"{key[:8]}-{key[8:12]}-{key[12:16]}-8{key[17:20]}-{key[20:]}"
        claim = messages.ClaimRequest(
            customer=ids.CustomerId("permit-office"),
            key=key,
            service=workload.PLAIN,
            digest=os.urandom(32),
            permit=ids.PermitId(os.urandom(16).hex()),
            vm=ids.VmId("plain-0"),
            incarnation=ids.Incarnation("0" * 32),
            address="127.0.0.1:7100",
        )
        answer = messages.ConcludeRequest(
            customer=claim.customer,
            key=key,
            permit=claim.permit,
            answer=messages.Answer(200, "application/json", os.urandom(200)),
        )
        for command in (
            machine_module.ClaimCall(claim, now_ms),
            machine_module.ConcludeCall(answer, now_ms),
        ):
            machine.apply(number, machine.decode(machine.encode(command)))


def main(argv: list[str] | None = None) -> int:
    """Run all measurements and print the slopes."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args(argv)
    folder = pathlib.Path(tempfile.mkdtemp(prefix="flamingocleat-capacity-"))
    with contextlib.redirect_stdout(sys.stderr):
        state = measure_state()
        slopes = measure_control(folder)
        slopes.append(
            asyncio.run(_measure_agent(folder / "agent", [2, 4, 8, 16, 32]))
        )
        slopes.append(measure_entry(folder))
        changes = measure_changes(folder)
    result = {
        "command": "python -m bench.capacity --json",
        "slopes": msgspec.to_builtins(slopes),
        "state_mb_per_item": msgspec.to_builtins(state),
        "configuration": changes,
    }
    if arguments.json:
        print(json.dumps(result, indent=1))
        return 0
    for slope in slopes:
        print(f"{slope.name}")
        for point in slope.points:
            print(
                f"  {point.size:5} {slope.unit}: {point.cpu_percent:7.2f} % "
                f"of a core {point.resident_mb:7.1f} MB "
                f"{point.bytes_per_s:9.0f} B/s"
            )
        print(
            f"  per item: {slope.cpu.slope:.4f} % (R2 "
            f"{slope.cpu.r_squared:.3f}), {slope.memory.slope * 1000:.1f} KB "
            f"(R2 {slope.memory.r_squared:.3f}), "
            f"{slope.traffic.slope:.0f} B/s"
        )
    for name, fit in state.items():
        print(
            f"state: {fit.slope * 1e6:.0f} bytes for each of the {name} "
            f"(R2 {fit.r_squared:.3f})"
        )
    print(json.dumps(changes))
    return 0


if __name__ == "__main__":
    sys.exit(main())
