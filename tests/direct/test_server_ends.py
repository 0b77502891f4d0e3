"""What a server had to run as it ended, and which ends count."""

import asyncio

import logbook
import msgspec
import pytest

from flamingocleat import ids
from flamingocleat.connection import http
from flamingocleat.request import crash_guard
from flamingocleat.request import server_ends
from tests.direct import support

LIFETIME = ids.Lifetime("b-0", 1)
DIGEST = "r:1"


class Clock:
    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def unanswered(clock):
    return server_ends.Unanswered(clock)


def test_request_that_was_given_up_counts_for_a_while(unanswered, clock):
    """Guards against a server that ends as it runs what nobody waits for."""
    unanswered.record_sent(LIFETIME, DIGEST)
    clock.now_s += 10.0
    assert unanswered.take(LIFETIME) == {DIGEST: 1000.0}
    unanswered.record_abandoned(LIFETIME, DIGEST)
    clock.now_s += server_ends.ABANDONED_S
    assert unanswered.take(LIFETIME) == {DIGEST: 1000.0}
    clock.now_s += 0.1
    assert unanswered.take(LIFETIME) == {}
    assert unanswered.sent == {}


def test_answered_request_does_not_count(unanswered):
    """Guards against blame for a request that a server survived."""
    unanswered.record_sent(LIFETIME, DIGEST)
    unanswered.record_answer(LIFETIME, DIGEST)
    unanswered.record_abandoned(LIFETIME, DIGEST)
    assert unanswered.sent == {}


def test_request_counts_as_long_as_any_attempt_is_in_flight(unanswered, clock):
    """Guards against forgetting a request that two callers wait for."""
    unanswered.record_sent(LIFETIME, DIGEST)
    unanswered.record_sent(LIFETIME, DIGEST)
    unanswered.record_abandoned(LIFETIME, DIGEST)
    clock.now_s += 2 * server_ends.ABANDONED_S
    assert unanswered.take(LIFETIME) == {DIGEST: 1000.0}


def test_requests_of_former_lifetimes_are_forgotten(unanswered, clock):
    """Guards against memory that grows with each server that ends."""
    unanswered.record_sent(LIFETIME, DIGEST)
    unanswered.record_abandoned(LIFETIME, DIGEST)
    clock.now_s += server_ends.ABANDONED_S + 0.1
    other = ids.Lifetime("b-0", 2)
    unanswered.record_sent(other, DIGEST)
    unanswered.record_abandoned(other, DIGEST)
    assert unanswered.sent.keys() == {other}


def test_other_lifetimes_do_not_count(unanswered):
    """Guards against blame for the end of a former lifetime."""
    unanswered.record_sent(LIFETIME, DIGEST)
    assert unanswered.take(ids.Lifetime("b-0", 2)) == {}


def test_requests_of_one_server_are_bounded(unanswered):
    """Guards against a server that holds many requests without an answer."""
    for number in range(2 * server_ends.MAX_UNANSWERED):
        unanswered.record_sent(LIFETIME, f"r:{number}")
    assert len(unanswered.take(LIFETIME)) == server_ends.MAX_UNANSWERED


async def break_off_and_end(received: support.ReceivedRequest) -> None:
    received.writer.transport.abort()


@pytest.mark.parametrize(
    ("stops_first", "is_listed", "is_leaving", "counted"),
    [
        (True, True, False, 1),
        (False, True, False, 0),
        (True, False, False, 0),
        (True, True, True, 0),
    ],
    ids=["crash", "reset", "withdrawn", "leaving"],
)
def test_only_an_unannounced_end_counts(
    stops_first, is_listed, is_leaving, counted
):
    """Guards against blame for resets, drains and planned ends."""

    async def scenario(harness):
        async def end(received):
            if stops_first:
                backend.server.close()
            if not is_listed:
                harness.candidates.discard(["b-0"])
            if is_leaving:
                candidate.notices.record_leaving(candidate.lifetime, "1")
            await break_off_and_end(received)

        backend = await harness.add(end)
        candidate = harness.candidate(0)
        reply = await harness.request("/once/x", "POST", body=b"x")
        assert reply.status == 502
        record = harness.forwarder.guard.crashes
        assert len(record.crashes) == counted

    support.run_scenario(scenario)


def test_end_of_a_server_whose_request_timed_out_is_blamed_on_it():
    """Guards against a gateway that gives up just before the server ends."""

    async def scenario(harness):
        async def hang(received):
            await received.wait_until_closed()

        backend = await harness.add(hang)
        await harness.request("/short/x", "POST", body=b"x")
        backend.server.close()
        await harness.request("/once/x", "POST", body=b"y")
        (crash,) = harness.forwarder.guard.crashes.crashes.values()
        assert len(crash.requests) == 1

    support.run_scenario(scenario)


def test_refusal_of_one_attempt_leaves_the_other_in_flight():
    """Guards against an end that is blamed on nothing.

    A server refuses a repeated request while the first one still waits there,
    and ends as it begins to run that one.
    """

    async def scenario(harness):
        refused = asyncio.Event()
        arrivals = 0

        async def answer(received):
            nonlocal arrivals
            arrivals += 1
            if arrivals == 1:
                await refused.wait()
                backend.server.close()
                await break_off_and_end(received)
                return
            await received.answer(b"", 503, "Flamingocleat-Not-Run: 1")

        backend = await harness.add(answer)
        first = asyncio.create_task(
            harness.request("/once/x", "POST", body=b"x", X_Request_Id="1")
        )
        while not arrivals:
            await asyncio.sleep(0.01)
        await harness.request("/once/x", "POST", body=b"x", X_Request_Id="2")
        refused.set()
        await first
        (crash,) = harness.forwarder.guard.crashes.crashes.values()
        assert len(crash.requests) == 1

    support.run_scenario(scenario)


def test_end_is_logged_once():
    """Guards against a line for each connection that a server refuses."""

    async def scenario(harness):
        async def hang(received):
            await received.wait_until_closed()

        backend = await harness.add(hang)
        await harness.request("/short/x", "POST", body=b"x")
        backend.server.close()
        with logbook.TestHandler().applicationbound() as handler:
            for _ in range(3):
                await harness.request("/once/x", "POST", body=b"y")
        lines = [each.message for each in handler.records]
        ends = [each for each in lines if "server_ended" in each]
        assert len(ends) == 1

    support.run_scenario(scenario)


def test_end_is_not_blamed_on_a_request_that_was_answered():
    """Guards against blame for whatever a server ran shortly before."""

    async def scenario(harness):
        async def answer(received):
            if received.body == b"x":
                await received.answer(b"fine")
                return
            backend.server.close()
            await break_off_and_end(received)

        backend = await harness.add(answer)
        await harness.request("/once/x", "POST", body=b"x")
        await harness.request("/once/x", "POST", body=b"y")
        guard = harness.forwarder.guard
        (crash,) = guard.crashes.crashes.values()
        assert len(crash.requests) == 1
        assert crash.requests.keys().isdisjoint(guard.answered_s.times_s)
        assert len(guard.answered_s.times_s) == 1

    support.run_scenario(scenario)


def test_end_is_not_blamed_on_a_request_that_was_refused():
    """Guards against blame for what a server said that it did not run."""

    async def scenario(harness):
        async def answer(received):
            if received.body == b"x":
                await received.answer(b"", 503, "Flamingocleat-Not-Run: 1")
                return
            backend.server.close()
            await break_off_and_end(received)

        backend = await harness.add(answer)
        await harness.request("/once/x", "POST", body=b"x")
        await harness.request("/once/x", "POST", body=b"y")
        (crash,) = harness.forwarder.guard.crashes.crashes.values()
        assert len(crash.requests) == 1

    support.run_scenario(scenario)


def test_lifetimes_of_one_server_end_apart():
    """Guards against a server that is back under its id and ends again."""

    async def scenario(harness):
        backend = await harness.add(break_off_and_end)
        candidate = harness.candidate(0)
        ends = harness.forwarder.server_ends
        for born_ms in (1, 2):
            lifetime = ids.Lifetime("b-0", born_ms)
            candidate.view = msgspec.structs.replace(
                candidate.view, born_ms=born_ms
            )
            assert candidate.lifetime == lifetime
            ends.unanswered.record_sent(lifetime, DIGEST)
            ends.record_refused_connection(candidate)
        assert len(harness.forwarder.guard.crashes.crashes) == 2
        backend.server.close()

    support.run_scenario(scenario)


@pytest.mark.parametrize("is_listed", [True, False])
def test_refused_connection_counts_only_of_a_listed_server(is_listed):
    """Guards against blame for a server that was stopped as planned."""

    async def scenario(harness):
        await harness.add(break_off_and_end)
        candidate = harness.candidate(0)
        ends = harness.forwarder.server_ends
        ends.unanswered.record_sent(candidate.lifetime, DIGEST)
        if not is_listed:
            harness.candidates.discard(["b-0"])
        ends.record_refused_connection(candidate)
        assert bool(harness.forwarder.guard.crashes.crashes) == is_listed

    support.run_scenario(scenario)


def test_silent_server_has_not_ended(monkeypatch):
    """Guards against blame for a link that was cut."""

    async def scenario(harness):
        backend = await harness.add(break_off_and_end)
        open_client = http.Client.open

        async def connect(address, timeout_s):
            if backend.received:
                raise http.ConnectError(address, TimeoutError())
            return await open_client(address, timeout_s)

        monkeypatch.setattr(http.Client, "open", connect)
        await harness.request("/once/x", "POST", body=b"x")
        assert backend.received
        assert not harness.forwarder.guard.crashes.crashes

    support.run_scenario(scenario)


def test_gateway_tells_of_an_answer_that_came_before_the_evidence():
    """Guards against blame for a request that this gateway saw answered."""

    async def scenario(harness):
        guard = harness.forwarder.guard
        guard.record_write((DIGEST,))
        sent = {DIGEST: guard.clock() - 1.0}
        guard.crashes.record_crash("b-0@1", (), guard.clock() - 0.5, sent)
        assert DIGEST in guard.crashes.written_s
        assert DIGEST not in guard.crashes.blames

    support.run_scenario(scenario)


def test_withheld_call_that_may_have_run_is_not_said_not_to_have_run():
    """Guards against a 503 for a call that ended two servers."""

    async def scenario(harness):
        async def end(received):
            number = next(
                number
                for number, backend in enumerate(harness.backends)
                if received in backend.received
            )
            harness.backends[number].server.close()
            await break_off_and_end(received)

        await harness.add(end)
        await harness.request("/read/x", "POST", body=b"x")
        for _ in range(2):
            await harness.add(end)
        reply = await harness.request("/read/x", "POST", body=b"x")
        assert b"ends servers" in reply.body
        assert reply.status == 502
        assert sum(len(each.received) for each in harness.backends) == 2

    support.run_scenario(scenario)


def test_end_of_a_head_is_that_of_its_group():
    """Guards against one end that counts twice, for its parts and requests."""

    async def scenario(harness):
        await harness.add(break_off_and_end, "llm")
        candidate = harness.candidate(0)
        ends = harness.forwarder.server_ends
        ends.unanswered.record_sent(candidate.lifetime, DIGEST)
        ends.record_refused_connection(candidate)
        assert harness.forwarder.guard.crashes.crashes.keys() == {"g-0"}

    support.run_scenario(scenario)


def test_suspect_request_is_tried_at_once_where_nothing_else_is_tried():
    """Guards against a trial whose end could be that of another one."""

    async def scenario(harness):
        guard = harness.forwarder.guard
        now_s = guard.clock()
        guard.crashes.record_crash("b-0@1", (), now_s, {DIGEST: now_s - 1.0})
        async with asyncio.timeout(crash_guard.PROOF_WAIT_S / 2):
            suspects = await guard.admit((DIGEST,), now_s + 3.0)
        assert suspects == (DIGEST,)
        with guard.trial_at("b-1", suspects):
            assert guard.servers_on_trial(("r:2",)) == {"b-1"}
            assert guard.servers_on_trial(()) == frozenset()
        assert guard.servers_on_trial(("r:2",)) == frozenset()

    support.run_scenario(scenario)
