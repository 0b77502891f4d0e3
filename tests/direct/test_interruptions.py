"""Answers that the gateway itself breaks off must not look complete."""

import asyncio

import pytest

from flamingocleat.connection import http
from flamingocleat.request import budget
from tests.direct import support

EVENTS = b"".join(support.event(number) for number in range(1, 11))
HEADS = {
    "chunks": "Transfer-Encoding: chunked",
    "length": f"Content-Length: {len(EVENTS)}",
    "no length": "Connection: close",
}


async def send_ten_events(received: support.ReceivedRequest) -> None:
    first = int(received.headers.get("last-event-id", 0)) + 1
    await received.send_events(first, 10)


async def answer_done(received: support.ReceivedRequest) -> None:
    await received.answer(b"done")


def stand_still(framing: str, pause_s: float):
    """Return a script that pauses after four events, then sends the rest."""

    async def script(received: support.ReceivedRequest) -> None:
        encode = support.chunk if framing == "chunks" else bytes
        content_type = "Content-Type: text/event-stream"
        head = received.response_head(200, HEADS[framing], content_type)
        first = b"".join(map(support.event, range(1, 5)))
        await received.send(head + encode(first))
        await asyncio.sleep(pause_s)
        await received.send(encode(EVENTS[len(first) :]))
        if framing == "chunks":
            await received.send(b"0\r\n\r\n")

    return script


async def interrupt_silent(harness: support.Harness) -> None:
    """Wait for a silent head and interrupt its attempts as a gateway does."""
    while not (silent := harness.candidates.check_silence()):
        await asyncio.sleep(0.02)
    for candidate in silent:
        for attempt in list(candidate.attempts):
            attempt.interrupt("head is silent")


# An answer without a length ended as complete when the gateway itself closed
# the connection to a silent head.
@pytest.mark.parametrize("pause_s", [0.8, 5.0])
@pytest.mark.parametrize("framing", HEADS)
def test_interrupted_stream_is_not_complete_in_any_framing(framing, pause_s):
    async def scenario(harness):
        await harness.add(stand_still(framing, pause_s), "llm")
        second = await harness.add(send_ten_events, "llm")
        request = asyncio.create_task(harness.request("/stream/x", "POST"))
        await interrupt_silent(harness)
        reply = await request
        assert (reply.status, reply.body) == (200, EVENTS)
        assert reply.is_complete
        assert [r.headers["last-event-id"] for r in second.received] == ["4"]

    support.run_scenario(scenario)


# The same for a call whose answer is no stream.
def test_interrupted_call_without_length_is_not_complete():
    async def stand_still_in_body(received):
        await received.send(received.response_head(200) + b"do")
        await received.wait_until_closed()

    async def scenario(harness):
        first = await harness.add(stand_still_in_body)
        await harness.add(answer_done)
        request = asyncio.create_task(harness.request("/read/x"))
        while not first.received:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        for attempt in list(harness.candidate(0).attempts):
            attempt.interrupt("head is silent")
        reply = await request
        assert (reply.status, reply.body) == (200, b"done")

    support.run_scenario(scenario)


@pytest.mark.parametrize("has_head", [False, True])
def test_connection_closed_on_this_side_is_no_end_of_an_answer(has_head):
    """Reads that wait while the client is closed must fail."""

    async def stall(received):
        head = received.response_head(200) if has_head else b"HTTP/1.1 "
        await received.send(head)
        await received.wait_until_closed()

    async def scenario(harness):
        backend = await harness.add(stall)
        client = await http.Client.open(backend.address, 1.0)
        client.send(b"GET", b"/x", [(b"host", b"b")], b"")
        if has_head:
            assert (await client.answer()).status == 200
        reading = client.read() if has_head else client.answer()
        task = asyncio.create_task(reading)
        await asyncio.sleep(0.05)
        client.close()
        with pytest.raises(http.BrokenAnswerError, match="on this side"):
            await task
        with pytest.raises(http.BrokenAnswerError, match="on this side"):
            await client.read()

    support.run_scenario(scenario)


# An attempt that was interrupted while it connected was sent all the same, and
# could not be interrupted again.
def test_attempt_interrupted_while_it_connects_is_not_sent(monkeypatch):
    async def scenario(harness):
        first = await harness.add(answer_done)
        second = await harness.add(answer_done)
        connect = http.Client.open

        async def connect_slowly(address, timeout_s):
            if address == first.address:
                await asyncio.sleep(0.2)
            return await connect(address, timeout_s)

        monkeypatch.setattr(http.Client, "open", connect_slowly)
        request = asyncio.create_task(harness.request("/read/x"))
        while not harness.candidate(0).attempts:
            await asyncio.sleep(0.01)
        for attempt in list(harness.candidate(0).attempts):
            attempt.interrupt("head is silent")
        reply = await request
        assert (reply.status, reply.body) == (200, b"done")
        assert (len(first.received), len(second.received)) == (0, 1)

    support.run_scenario(scenario)


# A caller that speaks HTTP/1.0 gets answers without a length, and took the
# orderly close of a broken one for its end.
def test_broken_answer_to_an_http_1_0_caller_is_reset():
    async def break_off(received):
        await received.send_events(1, 4, end=False)

    async def scenario(harness):
        await harness.add(break_off, "llm")
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.port
        )
        writer.write(
            b"POST /fixed/x HTTP/1.0\r\nHost: front.example\r\n"
            b"X-Api-Key: key-1\r\nX-Request-Id: id-1\r\n"
            b"Flamingocleat-Model: large\r\n\r\n"
        )
        try:
            with pytest.raises(ConnectionResetError):
                await reader.read()
        finally:
            writer.close()

    support.run_scenario(scenario)


@pytest.mark.parametrize("servers", [1, 2])
def test_late_answer_is_not_given_up_without_a_retry(servers):
    """Guards against a failure in place of an answer on its way."""

    async def answer_late(received):
        await asyncio.sleep(0.4)  # The retry is due after 0.18 s.
        await received.answer(b"late")

    async def scenario(harness):
        for _ in range(servers):
            await harness.add(answer_late)
        harness.budget.settings = budget.BudgetSettings(0.0, 0.0, 10.0)
        reply = await harness.request("/read/x")
        assert (reply.status, reply.body) == (200, b"late")
        assert sum(len(each.received) for each in harness.backends) == 1

    support.run_scenario(scenario)
