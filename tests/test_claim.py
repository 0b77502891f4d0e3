"""Tests that non-repeatable calls run at most once, with true outcomes."""

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


class PermitDeployment(fakes.Deployment):
    """A deployment with two agents that track permits as real ones do."""

    def __init__(self) -> None:
        super().__init__()
        self.runs: list[str] = []
        self.refusing_agents: set[str] = set()
        """Names of agents that refuse calls before they use the permit."""
        self.dropping_agents: set[str] = set()
        """Names of agents that lose connections before reading the permit."""
        self.loses_answers = False
        self.records_answers = True
        self.may_answer = threading.Event()
        self.may_answer.set()
        self.agents_by_name = {
            name: self.add_agent(name, self._script(name), "desk")
            for name in ("desk-1", "desk-2")
        }

    def _script(self, name: str) -> fakes.Script:
        return lambda received: self.serve(name, received)

    def serve(self, name: str, received: fakes.ReceivedRequest) -> None:
        if name in self.dropping_agents:
            return None
        if name in self.refusing_agents:
            return received.answer(b"", "not-run", 503)
        permits = self.agents_by_name[name].permits
        permit = received.headers["flamingocleat-permit"]
        used = messages.PermitState.USED
        if permits.setdefault(permit, used) is not used:
            return received.answer(b"", "not-run", 409)
        key = received.headers["idempotency-key"]
        self.runs.append(key)
        self.may_answer.wait(fakes.TIMEOUT_S)
        if self.records_answers:
            self.conclude(key)
        if not self.loses_answers:
            received.answer(b"filed")
        return None

    def conclude(self, key: str) -> None:
        answer = messages.Answer(200, "text/plain", b"filed")
        self.control.answers[key] = answer

    def received(self) -> int:
        return sum(len(agent.received) for agent in self.agents)


@pytest.fixture
def deployment() -> collections.abc.Iterator[PermitDeployment]:
    deployment = PermitDeployment()
    yield deployment
    deployment.may_answer.set()
    deployment.close()


def submit_order(
    program: fakes.Program,
    key: str,
    timeout_ms: int = 5000,
    body: bytes = b"order",
) -> tuple[int, str]:
    """Submit an order; return the status, and the body or the outcome.

    If the outcome of the key differs from that of the attempt, the text
    holds both.
    """
    status, _, answer = program.request(
        path="/services/desk/orders",
        body=body,
        Idempotency_Key=key,
        X_Request_Timeout_Ms=str(timeout_ms),
    )
    if status == 200:
        return status, answer.decode()
    problem_document = json.loads(answer)
    if problem_document["outcome"] == problem_document["attempt"]:
        return status, problem_document["outcome"]
    return (
        status,
        f"{problem_document['outcome']}, attempt {problem_document['attempt']}",
    )


DONE = (200, "filed")
NOT_RUN = (503, "not-run")
UNKNOWN = (504, "unknown")
NOT_ATTEMPTED = (503, "unknown, attempt not-run")
LATE = (504, "unknown, attempt not-run")
NOT_RUN_LATE = (504, "not-run")
"""The deadline passed after the cancellation of the permit was committed."""


def test_repeat_gets_recorded_answer(deployment):
    """Guards against running a call again when it is repeated.

    Another call with the same key must be refused.
    """
    program, key = deployment.start_program(), fakes.new_key()
    assert submit_order(program, key) == DONE
    assert submit_order(program, key.upper()) == DONE
    assert submit_order(program, key, body=b"another") == (422, "not-run")
    deployment.refusing_agents = {"desk-1", "desk-2"}
    assert submit_order(program, key) == DONE
    assert deployment.runs == [key]


def test_lost_claim_reply(deployment):
    """Guards against dispatching a call whose claim got no reply.

    The claim was committed and its reply lost; the key must stay usable.
    """
    program, key = deployment.start_program(), fakes.new_key()
    deployment.control.lost_replies = {"claim"}
    assert submit_order(program, key) == NOT_ATTEMPTED
    assert deployment.received() == 0
    assert key in deployment.control.register
    assert submit_order(program, key, 1000) == DONE
    assert deployment.runs == [key]
    assert len(deployment.control.cancelled) == 1


def test_lost_answer_is_read_from_register(deployment):
    """Guards against a second run when the answer is lost in transit.

    The answer must be read from the register.
    """
    program, key = deployment.start_program(), fakes.new_key()
    deployment.loses_answers = True
    assert submit_order(program, key) == DONE
    assert deployment.runs == [key]


def test_unrecorded_answer_stays_unknown(deployment):
    """Guards against "not-run" or a second run for a call that ran.

    Its answer was lost, and is recorded only later.
    """
    program, key = deployment.start_program(), fakes.new_key()
    deployment.loses_answers, deployment.records_answers = True, False
    assert submit_order(program, key, 500) == UNKNOWN
    assert submit_order(program, key, 500) == UNKNOWN
    assert deployment.control.cancelled == []
    deployment.conclude(key)
    assert submit_order(program, key) == DONE
    assert deployment.runs == [key]


def test_send_that_never_arrived_is_run_elsewhere(deployment):
    """Guards against a key that stays blocked after its call was lost.

    The call never reached the agent, which then voids the permit.
    """
    program, key = deployment.start_program(), fakes.new_key()
    deployment.dropping_agents = {"desk-1"}
    while not deployment.control.cancelled:
        deployment.runs.clear()
        key = fakes.new_key()
        assert submit_order(program, key, 1000) == DONE
        assert deployment.runs == [key]


def test_refused_permit_is_cancelled_before_another(deployment):
    """Guards against a key blocked until its refused permit is voided.

    The permit must be cancelled at once, before another attempt.
    """
    program = deployment.start_program()
    deployment.refusing_agents = {"desk-1"}
    while not deployment.control.cancelled:
        assert submit_order(program, fakes.new_key()) == DONE
    deployment.refusing_agents = {"desk-1", "desk-2"}
    key = fakes.new_key()
    assert submit_order(program, key) == NOT_RUN
    assert key not in deployment.runs
    assert (
        deployment.control.register[key].permit in deployment.control.cancelled
    )
    assert [agent.voids for agent in deployment.agents] == [0, 0]


@pytest.mark.parametrize("fault", ["lost_replies", "refused_calls"])
def test_unconfirmed_cancellation_is_unknown(deployment, fault):
    """Guards against the outcome "not-run" without a committed cancellation.

    The cancellation fails, or its reply is lost.
    """
    program, key = deployment.start_program(), fakes.new_key()
    deployment.refusing_agents = {"desk-1", "desk-2"}
    setattr(deployment.control, fault, {"conclude"})
    assert submit_order(program, key) == UNKNOWN
    deployment.refusing_agents, deployment.control.refused_calls = set(), set()
    assert submit_order(program, key, 1000) == DONE
    assert deployment.runs == [key]


def test_without_quorum_no_call_is_sent_or_reported_as_not_run(deployment):
    """Guards against sending a call without a committed claim.

    There is no quorum. An earlier request with the key may have run, so a
    refusal without access to the register must not be "not-run".
    """
    program, ran = deployment.start_program(), fakes.new_key()
    assert submit_order(program, ran) == DONE
    deployment.control.refused_calls = {"claim", "lookup"}
    assert submit_order(program, fakes.new_key()) == NOT_ATTEMPTED
    assert submit_order(program, ran) == NOT_ATTEMPTED
    deployment.control.grpc_server.stop()
    fakes.wait_for(lambda: program.entry.control.channel is None)
    assert submit_order(program, ran) == NOT_ATTEMPTED
    assert deployment.runs == [ran]


def test_ended_incarnation_stays_unknown(deployment):
    """Guards against "not-run" or a second run after an agent restarted.

    The new incarnation cannot tell what the earlier one ran.
    """
    program, key = deployment.start_program(), fakes.new_key()
    deployment.loses_answers, deployment.records_answers = True, False
    assert submit_order(program, key, 500) == UNKNOWN
    for agent in deployment.agents:
        for permit in agent.permits:
            agent.permits[permit] = messages.PermitState.FOREIGN
    assert submit_order(program, key, 500) == UNKNOWN
    assert deployment.runs == [key]


def test_concurrent_duplicates_run_once(deployment):
    """Guards against concurrent duplicates that run more than once.

    They arrive through two entries and must share one run and its answer.
    """
    programs = [deployment.start_program(), deployment.start_program()]
    with concurrent.futures.ThreadPoolExecutor(8) as callers:
        for _ in range(5):
            key = fakes.new_key()
            deployment.runs.clear()
            deployment.may_answer.clear()
            futures = [
                callers.submit(submit_order, programs[i % 2], key)
                for i in range(8)
            ]
            fakes.wait_for(lambda: deployment.runs)
            deployment.may_answer.set()
            assert {future.result() for future in futures} == {DONE}
            assert deployment.runs == [key]


def test_duplicates_that_void_each_other_run_once(deployment):
    """Guards against two runs when duplicates void each other's permits.

    Short deadlines make them void permits while calls are in transit.
    """
    programs = [deployment.start_program(), deployment.start_program()]
    deployment.records_answers = False
    with concurrent.futures.ThreadPoolExecutor(8) as callers:
        for _ in range(5):
            key = fakes.new_key()
            cancelled = len(deployment.control.cancelled)
            deployment.dropping_agents = {"desk-1"}
            futures = [
                callers.submit(
                    submit_order, programs[i % 2], key, 400 + 100 * i
                )
                for i in range(8)
            ]
            deployment.dropping_agents = set()
            results = {future.result() for future in futures}
            assert deployment.runs.count(key) <= 1
            assert DONE in results or key not in deployment.runs
            assert results <= {DONE, UNKNOWN, NOT_RUN, LATE, NOT_RUN_LATE}
            if results & {NOT_RUN, NOT_RUN_LATE}:
                assert len(deployment.control.cancelled) > cancelled


class FakeAttempts:
    """Fake attempts and register; the deadline passes with the cancellation.

    Time is simulated.
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
    """Guards against the outcome "not-run" without a committed cancellation.

    The deadline passes while the permit of a refused call is cancelled.
    """
    fake = FakeAttempts(cancellation)
    with pytest.raises(problem.Problem) as error_info:
        claim.ClaimedCall(fake, fake).run()
    error_info.value.limit_to_attempt()
    assert (error_info.value.status, error_info.value.outcome) == (504, outcome)
    assert len(fake.sent) == 1


def test_call_without_key_is_sent_once(deployment):
    """Guards against sending a call without a key again after a failure."""
    program = deployment.start_program()
    deployment.dropping_agents = {"desk-1", "desk-2"}
    status, _, body = program.request(path="/services/desk/orders")
    assert (status, json.loads(body)["outcome"]) == UNKNOWN
    assert deployment.received() == 1
