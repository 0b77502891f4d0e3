"""Runs a program whose calls to voters pass through proxies.

The links, a JSON object in SOAK_LINKS, map a voter's address to that of the
proxy on the way to it. While the file SOAK_DISK_DELAY exists, each sync of a
file takes the seconds that it holds.
"""

import contextlib
import json
import os
import pathlib
import runpy
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]


def _delay(sync, path: pathlib.Path):
    def delayed(descriptor: int) -> None:
        with contextlib.suppress(OSError, ValueError):
            time.sleep(float(path.read_text()))
        sync(descriptor)

    return delayed


def main() -> None:
    """Run the program named on the command line."""
    links = json.loads(os.environ["SOAK_LINKS"])
    delay = pathlib.Path(os.environ["SOAK_DISK_DELAY"])
    os.fsync = _delay(os.fsync, delay)
    os.fdatasync = _delay(os.fdatasync, delay)
    sys.path.insert(0, str(ROOT / "src"))
    sys.path.insert(0, str(ROOT / "platform"))
    from flamingocleat.connection import channel

    dial = channel.dial
    channel.dial = lambda address: dial(links.get(address, address))
    runpy.run_path(str(ROOT / "platform" / "start.py"), run_name="__main__")


if __name__ == "__main__":
    main()
