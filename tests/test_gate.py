"""Tests that permits are used at most once, and of calls that are refused."""

import concurrent.futures
import time
import uuid

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from flamingocleat import messages
from flamingocleat.connection import heartbeat
from flamingocleat.request import gate

NOW_S = 1_800_000_000.0
VOIDED = messages.PermitState.VOIDED


def key(age_s=0.0):
    """Return a UUIDv7 of the given age."""
    head = int((NOW_S - age_s) * 1000) << 80
    return str(uuid.UUID(int=head | 0x7 << 76 | 0b10 << 62 | 12345))


class Clock:
    def __init__(self) -> None:
        self.elapsed = 0.0

    def __call__(self) -> float:
        return self.elapsed

    def wall(self) -> float:
        return NOW_S + self.elapsed


def plain_gate(clock=None, limit=gate.MAX_PERMITS):
    clock = clock or Clock()
    member = heartbeat.GroupMembership("vm-1", "run-1", clock)
    kind = messages.BackendKind.PLAIN
    return gate.Gate(kind, member, clock.wall, limit)


def outcome(function, *values):
    with pytest.raises(gate.RefusedError) as error_info:
        function(*values)
    return error_info.value.outcome


def test_concurrent_uses_admit_one():
    """Guards against running two copies of a call that arrive at once."""
    admission = plain_gate()

    def use(number):
        try:
            admission.use(f"permit-{number // 8}", key())
        except gate.PermitUsedError:
            return 0
        return 1

    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        assert sum(pool.map(use, range(800))) == 100


def test_used_permit_is_not_reported_as_not_run():
    """Guards against refusing a copy as not run when the call has run.

    The refusal would cancel the key of the call that ran.
    """
    admission = plain_gate()
    admission.use("p", key())
    assert outcome(admission.use, "p", key()) is gate.Outcome.UNKNOWN
    assert admission.outcome_after_refusal("p") is gate.Outcome.UNKNOWN


def test_refusal_voids_the_permit():
    """Guards against running a late copy of a call refused as not run.

    After the refusal the key may be claimed by a new permit.
    """
    admission = plain_gate()
    assert admission.outcome_after_refusal("p") is gate.Outcome.NOT_RUN
    assert outcome(admission.use, "p", key()) is gate.Outcome.NOT_RUN


def test_permit_of_another_incarnation_is_not_voided():
    """Guards against voiding a permit that an earlier process may have used."""
    admission = plain_gate()
    state = admission.void("p", "run-0")
    assert state is messages.PermitState.FOREIGN


def test_full_set_refuses_rather_than_forgets():
    """Guards against a permit that is evicted and then used twice.

    The set of permits is full until the keys have expired.
    """
    clock = Clock()
    admission = plain_gate(clock, limit=2)
    admission.use("a", key())
    admission.use("b", key())
    assert outcome(admission.use, "c", key()) is gate.Outcome.NOT_RUN
    assert admission.outcome_after_refusal("c") is gate.Outcome.NOT_RUN
    with pytest.raises(gate.PermitUsedError):
        admission.use("a", key())
    clock.elapsed = 25 * 3600.0
    admission.use("d", key(-clock.elapsed))


def test_permit_is_refused_once_it_may_be_forgotten():
    """Guards against running a voided permit that is no longer remembered.

    The call is delayed until the void has expired.
    """
    clock = Clock()
    admission = plain_gate(clock)
    assert admission.void("p", "run-1") is VOIDED
    clock.elapsed = 25 * 3600.0
    newest = key(age_s=-300.0)
    admission.use("other", key(-clock.elapsed))
    assert outcome(admission.use, "p", newest) is gate.Outcome.NOT_RUN


@pytest.mark.parametrize(
    "invalid_key", ["", "k", key().replace("-7", "-4", 1), key(age_s=-3600.0)]
)
def test_key_without_a_plausible_time_is_refused(invalid_key):
    """Guards against keys that outlive the memory of their permits.

    The time in the key is missing or too old.
    """
    assert outcome(plain_gate().use, "p", invalid_key) is gate.Outcome.NOT_RUN


def test_engine_call_needs_a_fresh_group_and_its_number():
    """Guards against running a call in a group that must not take it.

    The group is not ready, the fencing number or incarnation is another, or
    the member is leaving.
    """
    clock = Clock()
    member = heartbeat.GroupMembership("vm-1", "run-1", clock)
    admission = gate.Gate(messages.BackendKind.ENGINE, member)
    members = (messages.Member("vm-1", "run-1", "127.0.0.1:1"),)
    assignment = messages.Assignment("g/0", 5, "s", "m", "1", members)
    assert outcome(admission.check, 0, "run-1") is gate.Outcome.NOT_RUN
    member.accept(assignment)
    member.loaded = True
    admission.lead = heartbeat.Lead(assignment, clock)
    assert outcome(admission.check, 5, "run-1") is gate.Outcome.NOT_RUN
    clock.elapsed = 2.0
    admission.check(5, "run-1")
    assert outcome(admission.check, 4, "run-1") is gate.Outcome.NOT_RUN
    assert outcome(admission.check, 5, "run-0") is gate.Outcome.NOT_RUN
    member.leaving = True
    assert outcome(admission.check, 5, "run-1") is gate.Outcome.NOT_RUN
    assert admission.may_continue(5)


def test_leaving_plain_service_takes_no_call():
    """Guards against calls that begin while the agent is leaving.

    The agent waits only for the calls that are in flight.
    """
    admission = plain_gate()
    admission.check(0, "run-1")
    admission.membership.leaving = True
    assert outcome(admission.check, 0, "run-1") is gate.Outcome.NOT_RUN


class PermitMachine(stateful.RuleBasedStateMachine):
    """Guards against a permit that runs twice, or runs after "not run".

    Uses, voids and passing time come in any order.
    """

    permits = strategies.sampled_from("abcdef")

    def __init__(self) -> None:
        super().__init__()
        self.clock = Clock()
        self.gate = plain_gate(self.clock, limit=4)
        self.keys: dict[str, str] = {}
        self.ran: set[str] = set()
        self.not_run: set[str] = set()

    def key(self, permit):
        age_s = -self.clock.elapsed
        return self.keys.setdefault(permit, key(age_s))

    @stateful.rule(permit=permits)
    def use(self, permit):
        try:
            self.gate.use(permit, self.key(permit))
        except gate.RefusedError:
            return
        assert permit not in self.ran
        assert permit not in self.not_run
        self.ran.add(permit)

    @stateful.rule(permit=permits)
    def void(self, permit):
        age_s = self.clock.wall() - gate.key_time_s(self.key(permit))
        if self.gate.void(permit, "run-1") is VOIDED:
            # The register asks about keys within their window only.
            assert permit not in self.ran or age_s > gate.KEY_WINDOW_S
            self.not_run.add(permit)

    @stateful.rule(hours=strategies.integers(1, 30))
    def wait(self, hours):
        self.clock.elapsed += hours * 3600.0


TestPermits = PermitMachine.TestCase
TestPermits.settings = hypothesis.settings(stateful_step_count=30)


def test_wall_clock_is_the_default():
    """Guards against comparing keys with a clock that starts with the process.

    Keys carry times since 1970.
    """
    member = heartbeat.GroupMembership("vm-1", "run-1")
    admission = gate.Gate(messages.BackendKind.PLAIN, member)
    assert admission.wall_clock is time.time
