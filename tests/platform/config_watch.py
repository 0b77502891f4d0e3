"""Changes of the configuration in a soak, and what gateways obey of them.

Each version has a route and a key of its own, and those of the versions
shortly before. So a route that is served, or a key that is known, tells which
versions may be in force at a gateway.
"""

import asyncio
import collections.abc
import contextlib
import copy
import json
import random
import time
import typing

import h11
import msgspec

from tests.platform import emulator

if typing.TYPE_CHECKING:
    from tests.platform import soak as soak_module

WINDOW = 40
"""Versions whose routes and keys a configuration has, up to its own."""
APPLY_S = 2.0
"""Time within which gateways in contact obey an acknowledged change."""
UNSTABLE_APPLY_S = 7.0
"""The same while a majority of coordinators runs undisturbed."""
ROLLBACK_SLACK_S = 0.25
"""Time after which a gateway obeys no version older than one it has obeyed."""
READ_TIMEOUT_S = 5.0
"""Longer than the longest pause of a process."""
REFUSED = range(400, 500)
UNJUDGED = (b"no configuration", b"this gateway stops")
"""Refusals that look at no configuration."""
MAX_READ_BYTES_PER_S = 4e6
"""Bound on what is read back, so that the soak itself stays responsive."""
MIN_ADDED_CALLS = 20
MIN_ADDED_SERVED = 0.25
"""Calls to added routes that are served, as a fraction of those to others."""

Document = dict[str, typing.Any]
Spoiler = collections.abc.Callable[[Document], bytes]
SPOILERS: dict[str, Spoiler] = {}
"""Ways to make a change invalid, by name."""


def _spoiler(spoil: Spoiler) -> Spoiler:
    SPOILERS[spoil.__name__.removeprefix("_")] = spoil
    return spoil


def _encode(document: Document) -> bytes:
    return json.dumps(document).encode()


def _with_route(document: Document, **changes: typing.Any) -> bytes:
    route = {**document["routes"][-1], "name": "z", "pathPrefix": "/z/"}
    return _encode(
        {**document, "routes": [*document["routes"], {**route, **changes}]}
    )


@_spoiler
def _cut_short(document: Document) -> bytes:
    return _encode(document)[:-20]


@_spoiler
def _not_text(document: Document) -> bytes:
    """Put a byte that begins no character into a field that nobody reads."""
    body = _encode({**document, "comment": "?"})
    return body.replace(b'"comment": "?"', b'"comment": "\xff"')


@_spoiler
def _unknown_service(document: Document) -> bytes:
    return _with_route(document, service="nobody")


@_spoiler
def _unknown_service_in_split(document: Document) -> bytes:
    split = [
        {"service": "desk", "weight": 1},
        {"service": "nobody", "weight": 1},
    ]
    return _with_route(document, service=None, trafficSplit=split)


@_spoiler
def _unknown_service_beside_service(document: Document) -> bytes:
    split = [{"service": "nobody", "weight": 1}]
    return _with_route(document, trafficSplit=split)


@_spoiler
def _same_place(document: Document) -> bytes:
    taken = document["routes"][0]["pathPrefix"]
    return _with_route(document, pathPrefix=taken)


@_spoiler
def _no_weight(document: Document) -> bytes:
    split = [{"service": "desk", "weight": 0}, {"service": "llm", "weight": 0}]
    return _with_route(document, service=None, trafficSplit=split)


@_spoiler
def _no_timeout(document: Document) -> bytes:
    return _with_route(document, timeoutMs=0)


@_spoiler
def _shared_key(document: Document) -> bytes:
    tenants = copy.deepcopy(document["tenants"])
    tenants.append({"name": "other", "apiKeys": [tenants[0]["apiKeys"][0]]})
    return _encode({**document, "tenants": tenants})


class Change(msgspec.Struct):
    """A change that an operator has sent."""

    version: int
    body: bytes
    marker: str
    """Prefix of a route that no other change has."""
    is_valid: bool = True
    acknowledged_s: float | None = None


class Obeyed(msgspec.Struct):
    """What one lifetime of a gateway is known to have obeyed."""

    lifetime: int
    seen: list[tuple[float, int]] = []
    """When a version was first seen in force, or one before the next."""

    def version_at(self, at_s: float) -> int:
        """Return the newest version that was in force then."""
        return max((v for seen_s, v in self.seen if seen_s <= at_s), default=-1)


class ConfigWatch:
    """Operators who change the configuration, and probes of all gateways."""

    def __init__(self, soak: "soak_module.Soak") -> None:
        self.soak = soak
        self.random = random.Random(f"config-{soak.seed}")
        self.version = 0
        self.changes: list[Change] = []
        self.by_body: dict[bytes, list[Change]] = {}
        self.acknowledgement = asyncio.Event()
        """Set with each acknowledgement, then replaced by another event."""
        self.acknowledged_by = ""
        """Address of the coordinator that gave the last one."""
        self.obeyed: dict[str, Obeyed] = {}
        self.in_force: dict[int, str] = {}
        """Marker of the change with which a version was seen in force."""
        self.added = [0, 0]
        """Calls to routes that were added, and those that were served."""
        self.first = [0, 0]
        """The same for a route that each configuration has."""
        self.probes = 0

    # What is sent.

    def document(self, version: int, marker: str) -> Document:
        """Return a configuration with the routes and keys of its window."""
        document = self.soak.config(version)
        window = range(version - WINDOW + 1, version + 1)
        route = {
            "host": "h",
            "timeoutMs": 4000,
            "targetLatencyMs": 400,
            "allowAnonymous": True,
            "kind": "read_only",
            "service": "desk",
        }
        prefixes = ["/first/", marker, *(f"/v{each}/" for each in window)]
        document["routes"] += [
            {**route, "name": f"probe{prefix}", "pathPrefix": prefix}
            for prefix in prefixes
        ]
        document["routes"].append(
            {
                **route,
                "name": "keyed",
                "pathPrefix": "/keyed/",
                "allowAnonymous": False,
            }
        )
        keys = [f"key-{each}" for each in window]
        document["tenants"] = [{"name": "customer", "apiKeys": keys}]
        return document

    def _next_version(self) -> int:
        self.version += self.random.randint(1, 3)
        return self.version

    def _change(self, version: int, kind: str) -> Change:
        marker = f"/{kind}-{version}-{len(self.changes)}/"
        body = _encode(self.document(version, marker))
        change = Change(version, body, marker)
        self.changes.append(change)
        self.by_body.setdefault(body, []).append(change)
        return change

    def newest_acknowledged(self, before_s: float) -> int:
        """Return the highest version that was acknowledged by then."""
        return max(
            (
                change.version
                for change in self.changes
                if change.acknowledged_s is not None
                and change.acknowledged_s <= before_s
            ),
            default=-1,
        )

    # Operators.

    async def operate(self) -> None:
        """Change the configuration until the run stops."""
        while not self.soak.stopping:
            act = self.random.choices(
                (
                    self._submit_next,
                    self._submit_without_reading,
                    self._race,
                    self._submit_invalid,
                    self._submit_outdated,
                    self._submit_again,
                ),
                (8, 2, 2, 3, 1, 1),
            )[0]
            await act()
            await asyncio.sleep(self.random.uniform(0.1, 0.6))

    async def _submit_next(self) -> None:
        await self._submit(self._change(self._next_version(), "next"))

    async def _submit_without_reading(self) -> None:
        """Lose the answer to a change, and send it to others again."""
        change = self._change(self._next_version(), "lost")
        host, _, port = self.random.choice(self.soak.control).rpartition(":")
        head = (
            f"POST /api/Config.Replace HTTP/1.1\r\nHost: {host}\r\n"
            f"Content-Length: {len(change.body)}\r\n\r\n"
        )
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(head.encode() + change.body)
                await writer.drain()
                await asyncio.sleep(self.random.uniform(0.0, 0.05))
                writer.close()
        if self.random.random() < 0.7:
            await self._submit(change)

    async def _race(self) -> None:
        """Send two changes with one version at the same time."""
        version = self._next_version()
        racing = [self._change(version, f"race{n}") for n in range(2)]
        await asyncio.gather(*map(self._submit, racing))

    async def _submit_invalid(self) -> None:
        name = self.random.choice(sorted(SPOILERS))
        change = self._change(self._next_version(), name)
        change.is_valid = False
        change.body = SPOILERS[name](json.loads(change.body))
        self.by_body.setdefault(change.body, []).append(change)
        await self._submit(change)

    async def _submit_outdated(self) -> None:
        """Send other content under a version that is not higher."""
        newest = self.newest_acknowledged(time.monotonic())
        if newest > 0:
            change = self._change(newest - self.random.randint(0, 1), "old")
            await self._submit(change)

    async def _submit_again(self) -> None:
        known = [c for c in self.changes if c.acknowledged_s and c.is_valid]
        if known:
            await self._submit(self.random.choice(known[-5:]))

    async def _submit(self, change: Change) -> None:
        """Send a change to coordinators until it gets a clear answer."""
        for _ in range(3):
            if self.soak.stopping:
                return
            address = self.random.choice(self.soak.control)
            reply = await emulator.post(
                address, "/api/Config.Replace", change.body
            )
            if reply is not None and reply.status == 200:
                self._record_acknowledgement(change, reply.address)
                return
            if reply is not None and reply.status in REFUSED:
                if change.is_valid:
                    self._violate(f"refused: {change.marker} {reply}")
                return
            await asyncio.sleep(0.1)

    def _record_acknowledgement(self, change: Change, address: str) -> None:
        if not change.is_valid:
            self._violate(f"acknowledged although invalid: {change.marker}")
            return
        if change.acknowledged_s is None:
            change.acknowledged_s = time.monotonic()
        self.acknowledged_by = address
        self.acknowledgement.set()
        self.acknowledgement = asyncio.Event()

    def _violate(self, detail: str) -> None:
        self.soak.invariants.record_violation("accepted changes", detail)

    # What is read back.

    async def read(self, address: str) -> None:
        """Read the configuration from one coordinator repeatedly.

        A read waits while the coordinator is paused, and must not return the
        configuration from before the pause.
        """
        while not self.soak.stopping:
            newest = self.newest_acknowledged(time.monotonic())
            reply = await emulator.post(
                address, "/api/Config.Get", b"", "GET", READ_TIMEOUT_S
            )
            if reply is not None and reply.status == 200:
                self.check_read(reply.content, newest, address)
                await asyncio.sleep(len(reply.content) / MAX_READ_BYTES_PER_S)
            await asyncio.sleep(0.05)

    def check_read(self, body: bytes, newest: int, address: str) -> None:
        """Check a configuration that was read back."""
        found = self.by_body.get(body, [])
        if not any(change.is_valid for change in found):
            self._violate(f"{address} shows what no valid change has sent")
        for change in found:
            if change.version < newest:
                self._violate(
                    f"{address} shows {change.version} after {newest}"
                )
            self._record_in_force(change, address)

    def _record_in_force(self, change: Change, where: str) -> None:
        known = self.in_force.setdefault(change.version, change.marker)
        if known != change.marker:
            self._violate(
                f"{where} has {change.marker} in force, after {known} with "
                "the same version"
            )

    # Probes.

    async def probe(
        self, program: "soak_module.Program", *, keeps_connection: bool
    ) -> None:
        """Send requests to a gateway that show which version it obeys."""
        caller = self.soak.new_caller()
        address = program.address(self.soak.front_port)
        while not self.soak.stopping:
            if caller.connection is None:
                lifetime = program.starts
                await caller.open(address)
            try:
                await self._probe_once(program, caller, lifetime)
            except (OSError, h11.RemoteProtocolError, TimeoutError):
                caller.close()
            if not keeps_connection:
                caller.close()
            await asyncio.sleep(self.random.uniform(0.02, 0.12))
        caller.close()

    async def _probe_once(
        self,
        program: "soak_module.Program",
        caller: "soak_module.Caller",
        lifetime: int,
    ) -> None:
        sent_s = time.monotonic()
        if not self.changes:
            return
        obeyed = self.obeyed.get(program.node)
        if obeyed is None or obeyed.lifetime < lifetime:
            obeyed = self.obeyed[program.node] = Obeyed(lifetime)
        is_old_lifetime = obeyed.lifetime > lifetime
        required = self.newest_acknowledged(
            sent_s - self._apply_s(program, sent_s)
        )
        floor = -1
        if not is_old_lifetime:
            floor = obeyed.version_at(sent_s - ROLLBACK_SLACK_S)
        self.probes += 1
        choose = self.random.choice(
            (self._probe_version, self._probe_key, self._probe_marker)
        )
        await choose(
            _Probe(program.node, caller, sent_s, required, floor, obeyed)
        )
        if self.random.random() < 0.3:
            status = await self._get(caller, "/first/x")
            self.first[0] += status is not None
            self.first[1] += status == 200

    def _apply_s(self, program: "soak_module.Program", sent_s: float) -> float:
        """Return how long ago an obeyed change was acknowledged at most."""
        if not program.is_calm(sent_s):
            return float("inf")
        coordinators = self.soak.coordinators
        if all(each.is_calm(sent_s) for each in coordinators):
            return APPLY_S
        undisturbed = [
            each
            for each in coordinators
            if not each.is_paused
            and each.last_fault_s < sent_s - UNSTABLE_APPLY_S
        ]
        if len(undisturbed) * 2 > len(coordinators):
            return UNSTABLE_APPLY_S
        return float("inf")

    async def _get(
        self,
        caller: "soak_module.Caller",
        path: str,
        *headers: tuple[str, str],
    ) -> int | None:
        request_id = f"{self.soak.seed}-probe-{self.random.random()}"
        answer, body = await caller.request(path, request_id, extra=headers)
        if answer.status == 503 and any(each in body for each in UNJUDGED):
            return None
        return answer.status

    async def _probe_version(self, probe: "_Probe") -> None:
        version = self._choose_version(probe)
        status = await self._get(probe.caller, f"/v{version}/x")
        if status is None:
            return
        if status != 404 and version > 0:
            self.added[0] += 1
            self.added[1] += status == 200
        self._check(probe, version, f"/v{version}/", status != 404)

    async def _probe_key(self, probe: "_Probe") -> None:
        version = self._choose_version(probe)
        key = ("x-credential", f"key-{version}")
        status = await self._get(probe.caller, "/keyed/x", key)
        if status in (None, 404):
            return
        self._check(probe, version, key[1], status != 401)

    async def _probe_marker(self, probe: "_Probe") -> None:
        """Send a request on a route that only one change has."""
        change = self.random.choice(self.changes[-12:])
        status = await self._get(probe.caller, f"{change.marker}x")
        if status in (None, 404):
            return
        if not change.is_valid:
            self._violate(f"{probe.gateway} obeys invalid {change.marker}")
            return
        self._record_in_force(change, probe.gateway)
        self._check(probe, change.version, change.marker, True)

    def _choose_version(self, probe: "_Probe") -> int:
        newest = self.version
        return self.random.choice(
            (
                max(probe.required, 0),
                max(probe.floor, 0),
                newest,
                self.random.randint(max(0, newest - WINDOW), newest),
                max(0, probe.required - WINDOW),
            )
        )

    def _check(
        self, probe: "_Probe", version: int, what: str, is_present: bool
    ) -> None:
        """Check an answer against the versions that may be in force."""
        since_s = time.monotonic() - probe.sent_s
        where = f"{probe.gateway}: {what}, sent {since_s:.2f} s ago"
        if is_present:
            probe.obeyed.seen.append((time.monotonic(), version))
            if version <= max(probe.required, probe.floor) - WINDOW:
                self._violate(
                    f"{where}, is served although {probe.required} is "
                    f"acknowledged and {probe.floor} was obeyed"
                )
            return
        if version <= self.version - WINDOW:
            return
        if version <= probe.required:
            self._violate(
                f"{where}, is refused although {probe.required} is acknowledged"
            )
        elif version <= probe.floor:
            self._violate(f"{where}, is refused after {probe.floor} was obeyed")

    def check_end(self) -> None:
        """Check that added routes were served like others."""
        if self.added[0] < MIN_ADDED_CALLS or not self.first[0]:
            return
        added = self.added[1] / self.added[0]
        first = self.first[1] / self.first[0]
        if added < first * MIN_ADDED_SERVED:
            self._violate(
                f"added routes are served {added:.2f}, others {first:.2f}"
            )


class _Probe(msgspec.Struct):
    """A request that shows what a gateway obeys."""

    gateway: str
    caller: "soak_module.Caller"
    sent_s: float
    required: int
    """Version that must be in force, or a later one; -1 if none must."""
    floor: int
    """Newest version that this lifetime has obeyed."""
    obeyed: Obeyed
