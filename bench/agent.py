"""Measures an agent: memory and CPU when idle, and CPU time per chunk.

Run with `.venv/bin/python -m bench.agent`.
"""

import argparse
import concurrent.futures
import os
import pathlib
import tempfile
import time

from tests import agent_support

_TICK_S = 1 / os.sysconf("SC_CLK_TCK")
_PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * _TICK_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * _PAGE_KB / 1024


def main() -> None:
    """Measure one agent that leads a group of one VM and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=16)
    parser.add_argument("--tokens", type=int, default=2000)
    parser.add_argument("--token-ms", type=float, default=5.0)
    parser.add_argument("--idle-s", type=float, default=10.0)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        site = agent_support.Site(pathlib.Path(folder))
        try:
            _measure(site, options)
        finally:
            site.close()


def _measure(site: agent_support.Site, options: argparse.Namespace) -> None:
    engine = site.standin(
        "engine",
        *("--token-ms", str(options.token_ms), "--loaded", "m@1"),
        *("--slots", str(options.streams)),
    )
    process = site.agent("vm-1", engine, threads=64)
    site.control.assign(5, ["vm-1"])
    lead = site.control.wait_serving("vm-1", 5)
    pid = process.child.pid
    print(f"resident_mb_idle={resident_mb(pid):.1f}")
    start = cpu_s(pid)
    time.sleep(options.idle_s)
    used = (cpu_s(pid) - start) / options.idle_s
    print(f"cpu_share_idle={used:.4f} over_s={options.idle_s}")
    bodies = [
        agent_support.chat(f"prompt {number}", options.tokens)
        for number in range(options.streams)
    ]
    start, started_s = cpu_s(pid), time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(options.streams) as pool:
        sizes = list(pool.map(lambda b: len(site.call(lead, b).data), bodies))
    duration = time.monotonic() - started_s
    used = cpu_s(pid) - start
    chunks = options.streams * (options.tokens + 1)
    print(
        f"chunks={chunks} bytes={sum(sizes)} duration_s={duration:.1f} "
        f"cpu_us_per_chunk={used / chunks * 1e6:.1f}"
    )
    print(f"resident_mb_after={resident_mb(pid):.1f}")


if __name__ == "__main__":
    main()
