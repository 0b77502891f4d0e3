"""Runs a program whose calls to voters pass through proxies.

The links, a JSON object in SOAK_LINKS, map a voter's address to that of the
proxy on the way to it. While the file SOAK_DISK_DELAY exists, each sync of a
file takes the seconds that it holds. Each sync adds a line to the file
SOAK_SYNCED: inode and size of what is on the disk from then on. The program is
that of the checkout SOAK_PROGRAMS.
"""

import contextlib
import importlib.machinery
import json
import os
import pathlib
import runpy
import sys
import time

ROOT = pathlib.Path(os.environ["SOAK_PROGRAMS"])
CHANNEL = "flamingocleat.connection.channel"
"""The module that dials voters."""


class LinkFinder:
    """Finds the module that dials voters, and lets it dial proxies.

    The module is not imported before the program runs: the program holds
    signals back, and listens, before it loads anything.
    """

    def __init__(self, links: dict[str, str]) -> None:
        self.links = links

    def find_spec(self, name, path=None, target=None):
        """Return the spec of that module, or None for all others."""
        if name != CHANNEL:
            return None
        spec = importlib.machinery.PathFinder.find_spec(name, path, target)
        load = spec.loader.exec_module

        def exec_module(module) -> None:
            load(module)
            dial = module.dial
            module.dial = lambda address: dial(self.links.get(address, address))

        spec.loader.exec_module = exec_module
        return spec


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
    sys.meta_path.insert(0, LinkFinder(links))
    runpy.run_path(str(ROOT / "platform" / "start.py"), run_name="__main__")


if __name__ == "__main__":
    main()
