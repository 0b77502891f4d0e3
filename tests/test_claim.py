"""Non-repeatable calls run at most once, and refusals tell the truth."""

import collections.abc
import concurrent.futures
import json
import threading
import types

import pytest

from flamingocleat import errors
from flamingocleat import messages
from flamingocleat.connection import codec
from flamingocleat.request import attempt
from flamingocleat.request import claim
from flamingocleat.request import problem
from tests import entry_fakes as fakes


class Desk(fakes.World):
    """A world with two agents that keep permits as real ones do."""

    def __init__(self) -> None:
        super().__init__()
        self.runs: list[str] = []
        self.refuse: set[str] = set()
        """Agents that refuse calls before they use the permit."""
        self.drop: set[str] = set()
        """Agents that lose the connection before they read the permit."""
        self.lose_answer = False
        self.record = True
        self.hold = threading.Event()
        self.hold.set()
        self.agents_by_name = {
            name: self.agent(name, self._script(name), "desk")
            for name in ("desk-1", "desk-2")
        }

    def _script(self, name: str) -> fakes.Script:
        return lambda received: self.serve(name, received)

    def serve(self, name: str, received: fakes.Received) -> None:
        if name in self.drop:
            return None
        if name in self.refuse:
            return received.answer(b"", "not-run", 503)
        permits = self.agents_by_name[name].permits
        permit = received.headers["flamingocleat-permit"]
        used = messages.PermitState.USED
        if permits.setdefault(permit, used) is not used:
            return received.answer(b"", "not-run", 409)
        key = received.headers["idempotency-key"]
        self.runs.append(key)
        self.hold.wait(fakes.PATIENCE_S)
        if self.record:
            self.conclude(key)
        if not self.lose_answer:
            received.answer(b"filed")
        return None

    def conclude(self, key: str) -> None:
        answer = messages.Answer(200, "text/plain", b"filed")
        self.control.answers[key] = answer

    def received(self) -> int:
        return sum(len(agent.received) for agent in self.agents)


@pytest.fixture
def desk() -> collections.abc.Iterator[Desk]:
    desk = Desk()
    yield desk
    desk.hold.set()
    desk.close()


def file(
    program: fakes.Program,
    key: str,
    timeout_ms: int = 5000,
    body: bytes = b"order",
) -> tuple[int, str]:
    """File an order; return the status, and the body or the outcome.

    Where the outcome under the key is another than that of the attempt,
    both are returned.
    """
    status, _, answer = program.request(
        path="/services/desk/orders",
        body=body,
        Idempotency_Key=key,
        X_Request_Timeout_Ms=str(timeout_ms),
    )
    if status == 200:
        return status, answer.decode()
    told = json.loads(answer)
    if told["outcome"] == told["attempt"]:
        return status, told["outcome"]
    return status, f"{told['outcome']}, attempt {told['attempt']}"


DONE = (200, "filed")
NOT_RUN = (503, "not-run")
UNKNOWN = (504, "unknown")
NOT_ATTEMPTED = (503, "unknown, attempt not-run")
LATE = (504, "unknown, attempt not-run")
NOT_RUN_LATE = (504, "not-run")
"""The deadline passed after a cancellation under the key was committed."""


def test_repeat_gets_recorded_answer(desk):
    """A repeat must not run the call again, nor may another call pass."""
    program, key = desk.program(), fakes.new_key()
    assert file(program, key) == DONE
    assert file(program, key.upper()) == DONE
    assert file(program, key, body=b"another") == (422, "not-run")
    desk.refuse = {"desk-1", "desk-2"}
    assert file(program, key) == DONE
    assert desk.runs == [key]


def test_lost_claim_reply(desk):
    """A claim without a reply must not be dispatched, nor block its key."""
    program, key = desk.program(), fakes.new_key()
    desk.control.lose = {"claim"}
    assert file(program, key) == NOT_ATTEMPTED
    assert desk.received() == 0
    assert key in desk.control.register
    assert file(program, key, 1000) == DONE
    assert desk.runs == [key]
    assert len(desk.control.cancelled) == 1


def test_lost_answer_is_read_from_register(desk):
    """An answer lost on its way must be found, without a second run."""
    program, key = desk.program(), fakes.new_key()
    desk.lose_answer = True
    assert file(program, key) == DONE
    assert desk.runs == [key]


def test_unrecorded_answer_stays_unknown(desk):
    """A call that ran must not be denied or rerun by any repeat."""
    program, key = desk.program(), fakes.new_key()
    desk.lose_answer, desk.record = True, False
    assert file(program, key, 500) == UNKNOWN
    assert file(program, key, 500) == UNKNOWN
    assert desk.control.cancelled == []
    desk.conclude(key)
    assert file(program, key) == DONE
    assert desk.runs == [key]


def test_send_that_never_arrived_is_run_elsewhere(desk):
    """A permit that its agent voids must free the key."""
    program, key = desk.program(), fakes.new_key()
    desk.drop = {"desk-1"}
    while not desk.control.cancelled:
        desk.runs.clear()
        key = fakes.new_key()
        assert file(program, key, 1000) == DONE
        assert desk.runs == [key]


def test_refused_permit_is_cancelled_before_another(desk):
    """A refused permit must free its key at once, not by a void later."""
    program = desk.program()
    desk.refuse = {"desk-1"}
    while not desk.control.cancelled:
        assert file(program, fakes.new_key()) == DONE
    desk.refuse = {"desk-1", "desk-2"}
    key = fakes.new_key()
    assert file(program, key) == NOT_RUN
    assert key not in desk.runs
    assert desk.control.register[key].permit in desk.control.cancelled
    assert [agent.voids for agent in desk.agents] == [0, 0]


@pytest.mark.parametrize("fault", ["lose", "refuse"])
def test_unconfirmed_cancellation_is_unknown(desk, fault):
    """A refusal as not run must follow a committed cancellation."""
    program, key = desk.program(), fakes.new_key()
    desk.refuse = {"desk-1", "desk-2"}
    setattr(desk.control, fault, {"conclude"})
    assert file(program, key) == UNKNOWN
    desk.refuse, desk.control.refuse = set(), set()
    assert file(program, key, 1000) == DONE
    assert desk.runs == [key]


def test_no_quorum_attempts_nothing_and_denies_nothing(desk):
    """Without a committed claim nothing may be sent.

    An earlier request with the key may have run, so a refusal that does not
    know the register must not deny that.
    """
    program, ran = desk.program(), fakes.new_key()
    assert file(program, ran) == DONE
    desk.control.refuse = {"claim", "lookup"}
    assert file(program, fakes.new_key()) == NOT_ATTEMPTED
    assert file(program, ran) == NOT_ATTEMPTED
    desk.control.served.stop()
    fakes.wait_for(lambda: program.entry.control.channel is None)
    assert file(program, ran) == NOT_ATTEMPTED
    assert desk.runs == [ran]


def test_ended_incarnation_stays_unknown(desk):
    """An agent that has restarted can no longer say what ran."""
    program, key = desk.program(), fakes.new_key()
    desk.lose_answer, desk.record = True, False
    assert file(program, key, 500) == UNKNOWN
    for agent in desk.agents:
        for permit in agent.permits:
            agent.permits[permit] = messages.PermitState.FOREIGN
    assert file(program, key, 500) == UNKNOWN
    assert desk.runs == [key]


def test_concurrent_duplicates_run_once(desk):
    """Duplicates through two entries must share one run and its answer."""
    programs = [desk.program(), desk.program()]
    with concurrent.futures.ThreadPoolExecutor(8) as callers:
        for _ in range(5):
            key = fakes.new_key()
            desk.runs.clear()
            desk.hold.clear()
            filed = [
                callers.submit(file, programs[i % 2], key) for i in range(8)
            ]
            fakes.wait_for(lambda: desk.runs)
            desk.hold.set()
            assert {future.result() for future in filed} == {DONE}
            assert desk.runs == [key]


def test_duplicates_that_void_each_other_run_once(desk):
    """Short deadlines make duplicates void permits while calls travel."""
    programs = [desk.program(), desk.program()]
    desk.record = False
    with concurrent.futures.ThreadPoolExecutor(8) as callers:
        for _ in range(5):
            key = fakes.new_key()
            cancelled = len(desk.control.cancelled)
            desk.drop = {"desk-1"}
            filed = [
                callers.submit(file, programs[i % 2], key, 400 + 100 * i)
                for i in range(8)
            ]
            desk.drop = set()
            results = {future.result() for future in filed}
            assert desk.runs.count(key) <= 1
            assert DONE in results or key not in desk.runs
            assert results <= {DONE, UNKNOWN, NOT_RUN, LATE, NOT_RUN_LATE}
            if results & {NOT_RUN, NOT_RUN_LATE}:
                assert len(desk.control.cancelled) > cancelled


class Script:
    """Attempts and a register whose call ends as its permit is cancelled.

    The time is the test's own: the deadline passes with the cancellation.
    """

    def __init__(self, cancellation: messages.ClaimState | None) -> None:
        self.cancellation = cancellation
        self.left_s = 0.4
        self.reason = ""
        self.sent: list[str] = []
        self.view = types.SimpleNamespace(
            vm="vm-1", incarnation="life-1", control_address="127.0.0.1:1"
        )
        self.budget = types.SimpleNamespace(withdraw=lambda: True)
        self.backends = types.SimpleNamespace(release=lambda candidate: None)
        self.call = types.SimpleNamespace(
            customer=types.SimpleNamespace(name="acme"),
            service=types.SimpleNamespace(name="desk"),
            key="key-1",
            request_id="id-1",
            digest=lambda: b"digest",
            remaining_s=lambda: self.left_s,
        )

    def choose(self) -> types.SimpleNamespace:
        return types.SimpleNamespace(view=self.view)

    def send(self, candidate, permit):
        self.sent.append(permit)
        raise attempt.AttemptError(problem.Outcome.NOT_RUN, "refused")

    def record(self, candidate, error) -> None:
        self.reason = str(error)

    def ask(self, call, request, bound_s):
        if call is codec.CLAIM:
            return messages.ClaimReply(
                messages.ClaimState.CLAIMED, request.permit
            )
        self.left_s = 0.0
        if self.cancellation is None:
            raise errors.UnavailableError("no quorum")
        return messages.ClaimReply(self.cancellation, request.permit)


@pytest.mark.parametrize(
    ("cancellation", "outcome"),
    [
        (messages.ClaimState.CANCELLED, problem.Outcome.NOT_RUN),
        (messages.ClaimState.PENDING, problem.Outcome.UNKNOWN),
        (None, problem.Outcome.UNKNOWN),
    ],
)
def test_deadline_with_the_cancellation(cancellation, outcome):
    """Only a committed cancellation lets a late refusal say not run."""
    script = Script(cancellation)
    with pytest.raises(problem.Problem) as caught:
        claim.ClaimedCall(script, script).run()
    caught.value.limit_to_attempt()
    assert (caught.value.status, caught.value.outcome) == (504, outcome)
    assert len(script.sent) == 1


def test_call_without_key_is_sent_once(desk):
    """A call without a key must not be sent again after a failure."""
    program = desk.program()
    desk.drop = {"desk-1", "desk-2"}
    status, _, body = program.request(path="/services/desk/orders")
    assert (status, json.loads(body)["outcome"]) == UNKNOWN
    assert desk.received() == 1
