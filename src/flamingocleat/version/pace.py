"""Learned pace of servers, and the requests that each takes well.

Handles servers of one service that are slower than others, turn slow for some
seconds, or slow down long before all of their slots are in use. Gateways
report how long servers took and how long that should have taken; the leader
compares each server with the others of its service and model, so that what
makes all answers late (an overload, long prompts, a wrong cost model) changes
nothing. Nothing is decided from few samples, from one gateway against the
others, or before a difference has lasted.

A slow server keeps what evidence says of it. Without evidence its pace returns
to 1, after a time that doubles with each return that fails, so that a
server which is slow for good is seldom tried.
"""

import collections
import collections.abc
import math
import typing

import msgspec

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.process import logs
from flamingocleat.version import fleet as fleet_module

_log = logs.logger("pace")

REVIEW_S = 0.2
"""Interval of decisions, which is that of reports."""
WINDOW_S = 1.0
"""Age up to which readings of the head of a group count."""
PLAIN_WINDOW_S = 8.0
"""The same for plain servers, which answer a few requests per second each."""
SLOW_WINDOW_S = 2.0
"""The same for a slow head, which gets few requests."""
MIN_WINDOW_S = 0.4
"""Readings younger than this always count: two reports of each gateway."""
ENOUGH_SAMPLES = 48
"""Older readings than that count until there are so many samples."""
ENOUGH_TRIAL_SAMPLES = 4
"""The same for a slow head: few, so that its recovery shows soon."""
ENOUGH_PLAIN_TRIAL_SAMPLES = 8
"""The same for a slow plain server, whose answers vary more."""
MIN_SAMPLES = 6
"""Fewer samples than these say nothing of a server that counts as ordinary."""
MIN_TRIAL_SAMPLES = 4
"""The same for a slow one, which gets few requests."""
SLOW_RATIO = 1.5
"""Times of the other servers, as a multiple, from which a server is slow. An
answer takes about half of its objective on a server of the declared pace."""
ORDINARY_RATIO = 1.35
"""Below this multiple a slow server counts as ordinary again."""
CERTAIN_RATIO = 1.2
"""The multiple that must be exceeded by two standard errors."""
SLOW_AFTER_S = 1.0
"""How long a server must be late before it counts as slow. The loads that
gateways compare with are up to 0.4 s old, and a stream that stood still
leaves one late sample."""
MIN_READINGS = 5
"""Readings in this time that must have arrived."""
MAX_PACE = 6.0
PACE_SMOOTHING = 0.2
"""Weight of the latest ratio in the pace of a slow server."""
REFERENCE_QUANTILE = 1 / 3
"""Rank of the server that others are compared with, so that up to two thirds
of the servers may be slow."""
FIRST_HOLD_S = 1.5
"""How long a slow server without evidence keeps its pace. Then it decays with
half of this as its time constant."""
MAX_HOLD_S = 30.0
FORGET_SLOWNESS_S = 60.0
"""A server that was ordinary for this long starts at FIRST_HOLD_S again."""
PUBLISHED_STEP = 0.25
"""Relative change of a pace from which gateways are told."""
MIN_SLOTS_FRACTION = 0.25
"""Floor of the slots, as a fraction of the declared ones: late answers are
worth more than refused requests."""
SLOTS_STEP = 1 / 8
"""Growth, as a fraction of the declared slots, that gateways are told of."""
SLOTS_DECREASE = 0.75
"""Factor on the requests in flight at which a server became late."""
SLOTS_GROWTH_PER_S = 0.1
"""Growth per second, as a fraction of the declared slots."""
LIMIT_FRACTION = 0.9
"""Fraction of the last number of slots that was too many, up to which slots
grow before it is tried again."""
HEAVY_FRACTION = 0.5
"""Fraction of the slots in use from which the load counts as heavy."""
MAX_READINGS = 512
"""Bound on the readings of one server; 40 gateways report 200 per second."""
FORGET_S = 30.0
"""How long a server is remembered that is no longer listed."""


class Reading(typing.NamedTuple):
    """What one gateway has measured at one server since its last report."""

    at_s: float
    gateway: ids.EntryId
    samples: int
    observed_ms: float
    expected_ms: float
    load: float
    """Mean number of requests in flight at the server."""


class Ratio(typing.NamedTuple):
    """Observed time as a multiple of the expected one."""

    value: float
    samples: int

    @property
    def certain_part(self) -> float:
        """Part of the value that exceeds two standard errors.

        It is assumed that times are spread like exponential ones.
        """
        return 1 - 2 / math.sqrt(max(1, self.samples))


class Slots(msgspec.Struct):
    """Additive increase and multiplicative decrease of a server's slots."""

    declared: int
    current: float
    limit: float = math.inf
    """Slots that were too many."""
    retry_s: float = -math.inf
    """When more than the limit may be tried."""
    hold_s: float = FIRST_HOLD_S

    published: int = 0
    """Slots that gateways may use; 0 until the first change."""

    @property
    def count(self) -> int:
        """Slots that gateways may use."""
        return self.published or self.declared

    def publish(self) -> None:
        """Let gateways use the slots that were found, if these differ."""
        found = min(self.declared, max(1, round(self.current)))
        if (
            found < self.count
            or found == self.declared
            or found >= self.count + self.declared * SLOTS_STEP
        ):
            self.published = found

    def decrease(self, load: float, now_s: float) -> None:
        """Use fewer slots, since the server is late with this load."""
        self.limit = min(self.current, max(load, 1.0))
        self.current = max(
            self.declared * MIN_SLOTS_FRACTION, self.limit * SLOTS_DECREASE
        )
        self.hold_s = min(MAX_HOLD_S, self.hold_s * 2)
        self.retry_s = now_s + self.hold_s

    def grow(self, elapsed_s: float, now_s: float) -> None:
        """Use more slots after a time without lateness."""
        if self.current >= self.declared:
            if now_s - self.retry_s > FORGET_SLOWNESS_S:
                self.hold_s = FIRST_HOLD_S
            return
        bound = float(self.declared)
        if now_s < self.retry_s:
            bound = min(bound, max(self.current, self.limit * LIMIT_FRACTION))
        grown = self.current + elapsed_s * SLOTS_GROWTH_PER_S * self.declared
        self.current = min(bound, grown)


class Server:
    """What was learned of one server: a plain one, or a group's head."""

    def __init__(self, listed: messages.ServedBackend, now_s: float) -> None:
        self.listed = listed
        self.listed_s = now_s
        self.readings: collections.deque[Reading] = collections.deque(
            maxlen=MAX_READINGS
        )
        self.loads: dict[ids.EntryId, tuple[float, float]] = {}
        """Time and load of the last reading of each gateway."""
        self.pace = 1.0
        self.published = 1.0
        self.is_slow = False
        self.is_returning = False
        """Whether its pace decays, since no evidence has come for a time."""
        self.late_since_s: float | None = None
        self.late_readings = 0
        self.heavy_since_s: float | None = None
        self.slow_s = -math.inf
        """When evidence last showed that it is slow."""
        self.hold_s = FIRST_HOLD_S
        self.light_ratio: float | None = None
        """Multiple of the others' times at its last light load."""
        self.slots = Slots(listed.slots, listed.slots)
        self.latest: list[Reading] = []
        """Readings that count, as of the last review."""
        self.ratio = Ratio(1.0, 0)
        self.relative = 1.0

    @property
    def service_model(self) -> tuple[ids.ServiceId, str]:
        """The servers that it is compared with."""
        return self.listed.service, self.listed.model

    @property
    def identity(self) -> tuple[str, int]:
        """What must stay the same for its readings to count."""
        return self.listed.group, self.listed.born_ms

    def load(self, reading: Reading) -> float:
        """Return the load from all gateways at the time of a reading.

        Gateways know the load of others only for heads.
        """
        if self.listed.model:
            return reading.load
        return sum(
            load
            for at_s, load in self.loads.values()
            if reading.at_s - at_s < WINDOW_S
        )

    def recent(self, now_s: float) -> list[Reading]:
        """Return the readings that count now, the latest first."""
        window_s, enough = WINDOW_S, ENOUGH_SAMPLES
        if self.is_slow:
            window_s, enough = SLOW_WINDOW_S, ENOUGH_TRIAL_SAMPLES
        if not self.listed.model:
            window_s = PLAIN_WINDOW_S
            enough = ENOUGH_PLAIN_TRIAL_SAMPLES if self.is_slow else enough
        found, samples = [], 0
        for reading in reversed(self.readings):
            age_s = now_s - reading.at_s
            if age_s > window_s or (age_s > MIN_WINDOW_S and samples >= enough):
                break
            found.append(reading)
            samples += reading.samples
        return found


class Paces:
    """Paces and slots of all servers, during one leader's term."""

    def __init__(self) -> None:
        self.servers: dict[ids.BackendId, Server] = {}
        self.reported: dict[
            tuple[ids.EntryId, ids.Lifetime, str],
            tuple[messages.PaceSums, float],
        ] = {}
        """The last sums of each gateway on each server, and when they came."""
        self.reviewed_s = -math.inf
        self.pruned_s = -math.inf

    def clear(self) -> None:
        """Forget everything, at the start of a leader's term."""
        self.servers.clear()
        self.reported.clear()

    def record(self, report: messages.GatewayReport, now_s: float) -> None:
        """Record what is new in a gateway's report.

        The first report of a gateway on a server only sets the sums to start
        from; an earlier leader may have used them.
        """
        for head in report.heads:
            server = self.servers.get(head.backend)
            if head.pace is None or server is None:
                continue
            if server.identity != (head.group, head.born_ms):
                continue
            lifetime = ids.Lifetime(head.backend, head.born_ms)
            key = (report.gateway, lifetime, head.group)
            known = self.reported.get(key)
            self.reported[key] = head.pace, now_s
            if known is None:
                continue
            reading = _difference(report.gateway, known[0], head.pace, now_s)
            if reading is not None:
                server.loads[report.gateway] = now_s, reading.load
                server.readings.append(
                    reading._replace(load=server.load(reading))
                )
                server.late_readings += 1

    def review(
        self,
        listed: collections.abc.Iterable[messages.ServedBackend],
        now_s: float,
    ) -> tuple[messages.ServedBackend, ...]:
        """Return the servers with their paces and slots.

        Args:
            listed: Servers with the slots that they declare.
            now_s: Current time.
        """
        listed = tuple(listed)
        elapsed_s = now_s - self.reviewed_s
        is_due = elapsed_s >= REVIEW_S
        for each in listed:
            self._update(each, now_s)
        if is_due:
            self.reviewed_s = now_s
            self._decide(now_s, min(elapsed_s, 2 * REVIEW_S))
            self._forget(now_s)
        return tuple(self._apply(each) for each in listed)

    def reduced_slots(self) -> dict[ids.BackendId, int]:
        """Return the slots of the servers that take fewer than they declare."""
        return {
            backend: server.slots.count
            for backend, server in self.servers.items()
            if server.slots.count < server.slots.declared
        }

    def mark_members(
        self,
        group: str,
        head: ids.BackendId,
        members: collections.abc.Iterable[fleet_module.Backend],
    ) -> None:
        """Learn of VMs from the pace of the group that they are in.

        A group runs at the pace of its slowest member. Its members share the
        suspicion, which grows with each further slow group that a VM is in, and
        ends with a group of ordinary pace.
        """
        server = self.servers.get(head)
        if server is None or server.listed.group != group:
            return
        if server.is_slow and not server.is_returning:
            for member in members:
                if member.slow_group != group:
                    member.slow_group = group
                    member.slow_groups += 1
                share = 1 - 0.5**member.slow_groups
                member.pace = 1 + (server.pace - 1) * share
        elif (
            not server.is_slow
            and server.ratio.samples >= ENOUGH_SAMPLES
            and server.relative < ORDINARY_RATIO
        ):
            for member in members:
                member.pace, member.slow_groups = 1.0, 0
                member.slow_group = ""

    def _update(self, listed: messages.ServedBackend, now_s: float) -> None:
        server = self.servers.get(listed.backend)
        if server is None or server.identity != (
            listed.group,
            listed.born_ms,
        ):
            server = self.servers[listed.backend] = Server(listed, now_s)
        elif server.slots.declared != listed.slots:
            server.slots = Slots(listed.slots, listed.slots)
        server.listed = listed
        server.listed_s = now_s

    def _forget(self, now_s: float) -> None:
        """Drop servers that are no longer listed, and gateways' old sums."""
        if now_s - self.pruned_s < FORGET_S:
            return
        self.pruned_s = now_s
        oldest_s = now_s - FORGET_S
        self.servers = {
            backend: server
            for backend, server in self.servers.items()
            if server.listed_s >= oldest_s
        }
        self.reported = {
            key: (sums, at_s)
            for key, (sums, at_s) in self.reported.items()
            if at_s >= oldest_s
        }
        for server in self.servers.values():
            server.loads = {
                gateway: (at_s, load)
                for gateway, (at_s, load) in server.loads.items()
                if at_s >= oldest_s
            }

    def _decide(self, now_s: float, elapsed_s: float) -> None:
        by_kind: dict[tuple[ids.ServiceId, str], list[Server]] = {}
        for server in self.servers.values():
            server.latest = server.recent(now_s)
            server.ratio = _ratio(server.latest)
            by_kind.setdefault(server.service_model, []).append(server)
        for servers in by_kind.values():
            reference = _reference(server.ratio for server in servers)
            for server in servers:
                self._judge(server, reference, now_s, elapsed_s)

    def _judge(
        self,
        server: Server,
        reference: float | None,
        now_s: float,
        elapsed_s: float,
    ) -> None:
        before = server.published, server.slots.count
        if reference is None:
            server.late_since_s = server.heavy_since_s = None
            _decay(server, now_s, elapsed_s)
            server.slots.grow(elapsed_s, now_s)
        else:
            server.relative = server.ratio.value / reference
            if server.is_slow:
                _judge_slow(server, now_s, elapsed_s)
            else:
                _judge_ordinary(server, now_s)
            _judge_slots(server, reference, now_s, elapsed_s)
        _publish(server)
        server.slots.publish()
        if (server.published, server.slots.count) != before:
            logs.info(
                _log,
                "pace_changed",
                backend=server.listed.backend,
                group=server.listed.group,
                service=server.listed.service,
                model=server.listed.model,
                pace=server.published,
                slots=server.slots.count,
                declared=server.slots.declared,
                before=f"{before[0]}/{before[1]}",
                ratio=round(server.ratio.value, 2),
                reference=round(reference or 0.0, 2),
                samples=server.ratio.samples,
                light_ratio=round(server.light_ratio or 0.0, 2),
                hold_s=server.hold_s,
                returning=server.is_returning,
            )

    def _apply(self, listed: messages.ServedBackend) -> messages.ServedBackend:
        server = self.servers[listed.backend]
        if server.published == 1 and server.slots.count >= listed.slots:
            return listed
        return msgspec.structs.replace(
            listed,
            pace=server.published,
            slots=min(listed.slots, server.slots.count),
        )


def _difference(
    gateway: ids.EntryId,
    before: messages.PaceSums,
    after: messages.PaceSums,
    now_s: float,
) -> Reading | None:
    """Return what was added to sums; they restart with their gateway."""
    if after.samples < before.samples:
        before = messages.PaceSums(0, 0.0, 0.0, 0.0)
    samples = after.samples - before.samples
    expected_ms = after.expected_ms - before.expected_ms
    observed_ms = after.observed_ms - before.observed_ms
    if samples <= 0 or expected_ms <= 0 or observed_ms < 0:
        return None
    load = (after.load - before.load) / samples
    return Reading(now_s, gateway, samples, observed_ms, expected_ms, load)


def _ratio(readings: collections.abc.Iterable[Reading]) -> Ratio:
    """Return the median over gateways, weighted by their samples.

    One gateway with a lossy link, or too little processor time, does not
    outvote the others. Of two that differ, the faster one counts.
    """
    totals: dict[ids.EntryId, list[float]] = {}
    for reading in readings:
        total = totals.setdefault(reading.gateway, [0.0, 0.0, 0.0])
        total[0] += reading.samples
        total[1] += reading.observed_ms
        total[2] += reading.expected_ms
    ratios = sorted(
        (observed / expected, samples)
        for samples, observed, expected in totals.values()
    )
    samples = sum(each for _, each in ratios)
    below = 0.0
    for value, each in ratios:
        below += each
        if below * 2 >= samples:
            return Ratio(value, round(samples))
    return Ratio(1.0, 0)


def _reference(
    ratios: collections.abc.Iterable[Ratio],
) -> float | None:
    """Return the ratio of the other servers; None if too few have evidence."""
    values = sorted(
        each.value for each in ratios if each.samples >= MIN_SAMPLES
    )
    if len(values) < 2:
        return None
    found = values[int((len(values) - 1) * REFERENCE_QUANTILE)]
    return found if found > 0 else None


def _judge_ordinary(server: Server, now_s: float) -> None:
    if (
        server.ratio.samples < MIN_SAMPLES
        or server.relative < SLOW_RATIO
        or server.relative * server.ratio.certain_part < CERTAIN_RATIO
    ):
        server.late_since_s = None
        return
    if server.late_since_s is None:
        server.late_since_s, server.late_readings = now_s, 0
    if (
        now_s - server.late_since_s >= SLOW_AFTER_S - REVIEW_S / 2
        and server.late_readings >= MIN_READINGS
    ):
        if now_s - server.slow_s > FORGET_SLOWNESS_S:
            server.hold_s = FIRST_HOLD_S
        else:
            server.hold_s = min(MAX_HOLD_S, server.hold_s * 2)
        server.is_slow, server.is_returning = True, False
        server.pace, server.slow_s = min(MAX_PACE, server.relative), now_s
        server.late_since_s = None


def _judge_slow(server: Server, now_s: float, elapsed_s: float) -> None:
    if not server.late_readings or server.ratio.samples < MIN_TRIAL_SAMPLES:
        _decay(server, now_s, elapsed_s)
        return
    server.late_readings = 0
    if server.relative < ORDINARY_RATIO:
        server.is_slow = server.is_returning = False
        server.pace = 1.0
        return
    if server.relative >= SLOW_RATIO:
        if server.is_returning:
            server.hold_s = min(MAX_HOLD_S, server.hold_s * 2)
        server.is_returning = False
        server.slow_s = now_s
    target = min(MAX_PACE, server.relative)
    server.pace += PACE_SMOOTHING * (target - server.pace)


def _decay(server: Server, now_s: float, elapsed_s: float) -> None:
    """Let the pace of a server without evidence return to 1."""
    held_s = now_s - server.slow_s - server.hold_s
    if not server.is_slow or held_s <= 0:
        return
    server.is_returning = True
    server.pace = 1 + (server.pace - 1) * math.exp(
        -elapsed_s / (server.hold_s / 2)
    )
    if server.pace < 1 + PUBLISHED_STEP:
        server.pace, server.is_slow = 1.0, False


def _judge_slots(
    server: Server, reference: float, now_s: float, elapsed_s: float
) -> None:
    """Reduce the slots if the server is late with a heavy load only."""
    heavy_load = server.slots.count * HEAVY_FRACTION
    light = _ratio(each for each in server.latest if each.load <= heavy_load)
    if light.samples >= MIN_SAMPLES:
        server.light_ratio = light.value / reference
    heavy_readings = [each for each in server.latest if each.load > heavy_load]
    heavy = _ratio(heavy_readings)
    if (
        server.light_ratio is None
        or heavy.samples < MIN_SAMPLES
        or heavy.value * heavy.certain_part < CERTAIN_RATIO * reference
        or heavy.value < SLOW_RATIO * max(1.0, server.light_ratio) * reference
    ):
        server.heavy_since_s = None
        server.slots.grow(elapsed_s, now_s)
        return
    if server.heavy_since_s is None:
        server.heavy_since_s = now_s
    if now_s - server.heavy_since_s >= SLOW_AFTER_S - REVIEW_S / 2:
        loads = [each.load for each in heavy_readings]
        server.slots.decrease(sum(loads) / len(loads), now_s)
        server.heavy_since_s = None


def _publish(server: Server) -> None:
    """Round the pace, so that gateways are told of real changes only."""
    if not server.is_slow:
        server.published = 1.0
    elif (
        abs(server.pace / server.published - 1) >= PUBLISHED_STEP
        or server.published == 1
    ):
        server.published = round(server.pace, 2)
