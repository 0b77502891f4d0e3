"""Servers that say that they leave, or that they want nothing for a while."""

import asyncio
import time

import msgspec
import pytest

from flamingocleat import messages
from flamingocleat.version import candidates
from flamingocleat.version import notices
from tests.direct import support

LEAVING = "Flamingocleat-Leaving: 1"
NOT_RUN = "Flamingocleat-Not-Run: 1"
PATHS = ["/read/x", "/once/x", "/many/x", "/stream/x"]


async def answer(received: support.ReceivedRequest, *headers: str) -> None:
    if received.line.startswith("GET /stream"):
        head = received.response_head(
            200,
            "Transfer-Encoding: chunked",
            "Content-Type: text/event-stream",
            *headers,
        )
        events = b"".join(support.chunk(support.event(n)) for n in (1, 2))
        await received.send(head + events + b"0\r\n\r\n")
    else:
        await received.answer(b"done", 200, *headers)


async def answer_leaving(received: support.ReceivedRequest) -> None:
    await answer(received, LEAVING)


def refuse(*headers: str) -> support.Script:
    async def script(received: support.ReceivedRequest) -> None:
        await received.answer(b"", 503, NOT_RUN, *headers)

    return script


async def send(
    harness: support.Harness, path: str, duration_s: float
) -> list[support.Reply]:
    """Send 20 requests a second and return the replies."""
    tasks = []
    for _ in range(round(duration_s * 20)):
        tasks.append(asyncio.create_task(harness.request(path)))
        await asyncio.sleep(0.05)
    return await asyncio.gather(*tasks)


def service(path: str) -> str:
    return "llm" if path == "/stream/x" else "desk"


@pytest.mark.parametrize("path", PATHS)
def test_server_that_says_it_leaves_gets_nothing_more(path):
    """The first answer that says so must count, whatever control lists."""

    async def scenario(harness):
        leaving = await harness.add(answer_leaving, service(path))
        await harness.add(answer, service(path))
        replies = await send(harness, path, 1.0)
        harness.candidates.update(harness.views[1:])
        harness.candidates.update(harness.views)
        replies += await send(harness, path, 0.2)
        assert [reply.status for reply in replies] == [200] * len(replies)
        assert len(leaving.received) == 1

    support.run_scenario(scenario)


@pytest.mark.parametrize("path", PATHS)
def test_server_that_names_a_wait_gets_nothing_meanwhile(path):
    """It must be used again once the time is over."""

    async def scenario(harness):
        waiting = await harness.add(refuse("Retry-After: 0.8"), service(path))
        await harness.add(answer, service(path))
        replies = await send(harness, path, 0.7)
        assert len(waiting.received) == 1
        # Only the first request may get the refusal. How many follow in the
        # time depends on the machine.
        assert len(replies) >= 5
        assert sum(reply.status != 200 for reply in replies) <= 1
        waiting.script = answer
        await asyncio.sleep(0.2)
        await send(harness, path, 0.5)
        assert len(waiting.received) > 1

    support.run_scenario(scenario)


def test_wait_that_all_servers_name_is_refused_at_once():
    """Callers must not wait for it, and learn when to come back."""

    async def scenario(harness):
        for _ in range(2):
            await harness.add(refuse("Retry-After: 0.8"))
        await harness.request("/read/x")
        began_s = time.monotonic()
        reply = await harness.request("/read/x", X_Request_Timeout_Ms="9000")
        assert time.monotonic() - began_s < 0.3
        assert reply.status == 503
        assert 0.5 < float(reply.headers["retry-after"]) <= 2.0
        received = sum(len(each.received) for each in harness.backends)
        assert received == 2

    support.run_scenario(scenario)


def test_request_that_waits_for_a_slot_is_not_sent_to_a_leaving_server():
    """What is queued as the word arrives must go elsewhere."""

    async def scenario(harness):
        begun = asyncio.Event()

        async def leave_late(received):
            begun.set()
            await asyncio.sleep(0.03)
            await answer_leaving(received)

        leaving = await harness.add(leave_late, slots=1)
        first = asyncio.create_task(harness.request("/read/x"))
        await begun.wait()
        queued = asyncio.create_task(harness.request("/read/x"))
        await first
        reply = await queued
        assert reply.status == 503
        assert len(leaving.received) == 1

    support.run_scenario(scenario)


@pytest.mark.parametrize(
    ("value", "wait_s"),
    [
        ("2", 2.0),
        ("0.5", 0.5),
        (" 1 ", 1.0),
        ("", 0.0),
        ("0", 0.0),
        ("-3", 0.0),
        ("nan", 0.0),
        ("inf", notices.MAX_WAIT_S),
        ("1e300", notices.MAX_WAIT_S),
        ("86400", notices.MAX_WAIT_S),
        ("Wed, 21 Oct 2026 07:28:00 GMT", 0.0),
        ("2, 3", 0.0),
        ("٣s", 0.0),
    ],
)
def test_odd_waits_are_bounded_or_ignored(value, wait_s):
    """A faulty server must not take itself out of service for good."""
    assert notices.parse_wait_s(value) == wait_s


@pytest.mark.parametrize("value", ["0", "", "true", "11", "no"])
def test_only_one_value_means_leaving(value):
    """Other values must not exclude a server."""
    record = notices.Notices()
    record.record_leaving(("b-1", 1), value)
    assert record.find(("b-1", 1)).accepts(0.0)


@pytest.mark.parametrize("status", [429, 500, 200])
def test_wait_beside_another_status_is_ignored(status):
    """Only a server that turns a request away with 503 asks for a wait."""

    async def scenario(harness):
        async def script(received):
            await received.answer(b"x", status, "Retry-After: 5")

        backend = await harness.add(script)
        for _ in range(3):
            await harness.request("/once/x")
        assert len(backend.received) == 3

    support.run_scenario(scenario)


def test_notice_ends_with_the_lifetime():
    """A restart under the same name, or another server, must be used."""
    view = messages.ServedBackend(
        "b-1", "10.0.0.1:80", "desk", "a", 4, born_ms=1000
    )
    servers = candidates.Candidates()
    servers.update([view])
    candidate = servers.by_backend["b-1"]
    servers.notices.record_leaving(candidate.lifetime, "1")
    servers.notices.record_wait(candidate.lifetime, "5", 0.0)
    assert not candidate.accepts(9.0)
    servers.update([])
    servers.update([view])
    assert not servers.by_backend["b-1"].accepts(9.0)
    servers.update([msgspec.structs.replace(view, born_ms=2000)])
    assert servers.by_backend["b-1"].accepts(9.0)
    servers.update([msgspec.structs.replace(view, backend="b-2")])
    assert servers.by_backend["b-2"].accepts(9.0)


def test_shorter_wait_does_not_end_a_longer_one():
    """Answers may overtake each other."""
    record = notices.Notices()
    record.record_wait(("b-1", 1), "5", 0.0)
    record.record_wait(("b-1", 1), "1", 1.0)
    assert not record.find(("b-1", 1)).accepts(4.9)
    assert record.find(("b-1", 1)).accepts(5.0)


def test_notices_are_bounded():
    """Servers come and go; the oldest notices must be dropped."""
    record = notices.Notices()
    for number in range(notices.MAX_SERVERS + 10):
        record.record_leaving((f"b-{number}", 1), "1")
    assert len(record.by_lifetime) == notices.MAX_SERVERS
    assert record.find(("b-0", 1)) is notices.NO_NOTICE
