"""Runs a program whose calls to voters pass through proxies.

The links, a JSON object in SOAK_LINKS, map a voter's address to that of the
proxy on the way to it. While the file SOAK_DISK_DELAY exists, each sync of a
file takes the seconds that it holds. Each sync adds a line to the file
SOAK_SYNCED: inode and size of what is on the disk from then on. The program is
that of the checkout SOAK_PROGRAMS.
"""

import contextlib
import json
import os
import pathlib
import runpy
import sys
import time

ROOT = pathlib.Path(os.environ["SOAK_PROGRAMS"])


def _record(sync, delay: pathlib.Path, synced: int):
    """Return a sync that takes as long as asked and records what it covers."""

    def recorded(descriptor: int) -> None:
        with contextlib.suppress(OSError, ValueError):
            time.sleep(float(delay.read_text()))
        status = os.fstat(descriptor)
        sync(descriptor)
        os.write(synced, f"{status.st_ino} {status.st_size}\n".encode())

    return recorded


def main() -> None:
    """Run the program named on the command line."""
    links = json.loads(os.environ["SOAK_LINKS"])
    delay = pathlib.Path(os.environ["SOAK_DISK_DELAY"])
    flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
    synced = os.open(os.environ["SOAK_SYNCED"], flags)
    os.fsync = _record(os.fsync, delay, synced)
    os.fdatasync = _record(os.fdatasync, delay, synced)
    sys.path.insert(0, str(ROOT / "src"))
    sys.path.insert(0, str(ROOT / "platform"))
    from flamingocleat.connection import channel

    dial = channel.dial
    channel.dial = lambda address: dial(links.get(address, address))
    runpy.run_path(str(ROOT / "platform" / "start.py"), run_name="__main__")


if __name__ == "__main__":
    main()
