"""Fault of the soak in which one request ends the servers that run it."""

import asyncio
import contextlib
import time
import typing

import h11

from flamingocleat.connection import http
from tests.platform import emulator
from tests.platform import faults

if typing.TYPE_CHECKING:
    from tests.platform import soak as soak_module

NEW_FAULTS = {"send_lethal_calls", "send_lethal_streams"}
CALL_PATHS = ("/r/x", "/u/x")
"""Paths of a read and of a call that may run once."""
ROUTE = {
    "name": "r",
    "pathPrefix": emulator.READ_PREFIX,
    "kind": "read_only",
    "service": "desk",
    "maxAttempts": 3,
}
ENDS = 3
MAX_LATE_ARRIVALS = 3
"""Arrivals that rule BUDGET allows later than the contact time after as many
ends."""
ENDS_TO_WITHHOLD = 2
"""Servers that ended beside a sound request since it was last answered, from
which on it may be withheld: nothing tells it from a lethal one."""
MAX_BURST = 6
NOT_RUN = (408, 421, 429, 503)
IN_TRANSIT_S = 0.3
"""Time after which a call that is said not to have run cannot arrive."""


class LethalRequest:
    """A request that ends each server that runs it, and what became of it."""

    def __init__(self, soak: "soak_module.Soak", name: str) -> None:
        self.soak = soak
        self.name = name
        self.ends_s: list[float] = []
        self.arrivals = 0
        self.late: list[str] = []
        """Arrivals that count by rule BUDGET."""

    def record_arrival(self, request_id: str) -> None:
        """Count an arrival at a server if its gateway was in contact."""
        self.arrivals += 1
        now_s = time.monotonic()
        if (
            len(self.ends_s) < ENDS
            or now_s - self.ends_s[ENDS - 1] <= self.soak.contact_s
            or not self.soak.is_control_in_contact(now_s)
            or not self.soak.is_in_contact(request_id, now_s)
        ):
            return
        since_s = now_s - self.ends_s[ENDS - 1]
        self.late.append(f"{request_id} {since_s:.2f} s after")
        if len(self.late) == MAX_LATE_ARRIVALS + 1:
            self.soak.invariants.record_violation(
                "lethal requests are kept from servers",
                f"{self.name}: {', '.join(self.late)} the third end",
            )

    def record_end(self) -> None:
        """Record that a server ended as it began to run this."""
        self.ends_s.append(time.monotonic())


def describe(soak: "soak_module.Soak") -> str:
    """Return how often lethal requests arrived and ended servers."""
    requests = [
        each
        for each in soak.fleet.lethal_requests.values()
        if isinstance(each, LethalRequest)
    ]
    return (
        f"lethal={len(requests)} "
        f"ends={sum(len(each.ends_s) for each in requests)} "
        f"arrivals={sum(each.arrivals for each in requests)} "
        f"late={sum(len(each.late) for each in requests)}"
    )


@faults.fault
async def send_lethal_calls(soak: "soak_module.Soak") -> None:
    """Send a call that ends plain servers."""
    await _send_again(soak, soak.random.choice(CALL_PATHS))


@faults.fault
async def send_lethal_streams(soak: "soak_module.Soak") -> None:
    """Send a stream that ends engines."""
    await _send_again(soak, "/s/x")


async def _send_again(soak: "soak_module.Soak", path: str) -> None:
    """Send one lethal request again and again, beside sound ones.

    It comes under new ids, alone and in bursts, at any gateway. The sound ones
    have the same path and caller.
    """
    name = f"lethal-{len(soak.fleet.lethal_requests)} {path}"
    body = name.encode()
    popular = f"sound and popular {path}".encode()
    lethal = LethalRequest(soak, name)
    soak.fleet.lethal_requests[body] = lethal
    end_s = time.monotonic() + soak.random.uniform(6.0, 14.0)
    calls: set[asyncio.Task] = set()
    count = 0
    while time.monotonic() < end_s:
        burst = soak.random.choice([1, 1, soak.random.randint(2, MAX_BURST)])
        unique = f"sound {time.monotonic()}".encode()
        for sent in [body] * burst + [popular, unique]:
            count += 1
            request_id = f"{soak.seed}-{name.partition(' ')[0]}-{count}"
            calls.add(asyncio.create_task(_call(soak, path, request_id, sent)))
        await asyncio.sleep(soak.random.uniform(0.05, 0.6))
    await asyncio.gather(*calls)


async def _call(
    soak: "soak_module.Soak", path: str, request_id: str, body: bytes
) -> None:
    """Make a call at any gateway and check its answer."""
    caller = soak.new_caller()
    gateway = soak.random.choice(soak.gateways)
    await caller.open(gateway.address(soak.front_port))
    try:
        with contextlib.suppress(
            OSError, h11.RemoteProtocolError, TimeoutError
        ):
            answer, text = await caller.request(path, request_id, body=body)
            await _check(soak, answer, text, request_id, body)
    finally:
        caller.close()


async def _check(
    soak: "soak_module.Soak",
    answer: http.Answer,
    text: bytes,
    request_id: str,
    body: bytes,
) -> None:
    # With 502, servers ended under attempts of the call itself.
    is_sound = body not in soak.fleet.lethal_requests
    ends = soak.invariants.ends_beside[body]
    is_withheld = answer.status == 503 and b"ends servers" in text
    if is_sound and is_withheld and ends < ENDS_TO_WITHHOLD:
        soak.invariants.record_violation(
            "sound requests are not withheld",
            f"{request_id}: {text!r}, {ends} servers ended beside it",
        )
    if answer.status in NOT_RUN:
        await asyncio.sleep(IN_TRANSIT_S)
        if soak.invariants.runs[request_id]:
            soak.invariants.record_violation(
                "not run is true", f"{request_id}: {answer.status}"
            )
