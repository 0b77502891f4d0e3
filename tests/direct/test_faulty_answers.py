"""Answers of faulty servers: cut heads, errors and gaps in streams.

The platform allows an answer without a length that ends when its server closes
the connection, and does not tell how many events a stream has. So a server
that ends such an answer early cannot be noticed: the tests named "is_taken"
say where.
"""

import contextlib

import pytest

from tests.direct import support

STREAM_HEAD = ("Transfer-Encoding: chunked", "Content-Type: text/event-stream")
NOT_RUN = ("Content-Length: 0", "Flamingocleat-Not-Run: 1")
ERROR_HEAD = (
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n"
    b"no memory\n\n"
)
PAGE = b"<html><body>busy</body></html>\n\n"


def events(first: int, last: int) -> bytes:
    return b"".join(support.event(n) for n in range(first, last + 1))


async def send_three_events(received: support.ReceivedRequest) -> None:
    await received.send_events(1, 3, end=False)


async def send_ten_events(received: support.ReceivedRequest) -> None:
    first = int(received.headers.get("last-event-id", 0)) + 1
    await received.send_events(first, 10)


async def answer_done(received: support.ReceivedRequest) -> None:
    await received.answer(b"done")


def send_chunks(*chunks: bytes, head: tuple[str, ...] = STREAM_HEAD):
    """Return a script that sends these chunks and ends the answer."""

    async def script(received: support.ReceivedRequest) -> None:
        data = received.response_head(200, *head)
        data += b"".join(map(support.chunk, chunks))
        await received.send(data + b"0\r\n\r\n")

    return script


def send_with_length(status: int, body: bytes, *headers: str):
    async def script(received: support.ReceivedRequest) -> None:
        await received.answer(body, status, *headers)

    return script


def send_until_closed(body: bytes):
    """Return a script whose answer has no length and ends with a close."""

    async def script(received: support.ReceivedRequest) -> None:
        head = received.response_head(200, "Content-Type: text/event-stream")
        await received.send(head + body)

    return script


def send_cut(status: int, headers: tuple[str, ...], body: bytes, cut: int):
    """Return a script that closes after the first bytes of its answer."""

    async def script(received: support.ReceivedRequest) -> None:
        data = received.response_head(status, *headers) + body
        await received.send(data[:cut])

    return script


def head_size(status: int, headers: tuple[str, ...]) -> int:
    received = support.ReceivedRequest(b"GET / HTTP/1.1", b"", None, None)
    received.headers["x-request-id"] = "id-1"
    return len(received.response_head(status, *headers))


CONTINUATIONS_BROKEN_OFF = {
    "no event, length": send_with_length(
        200, b"", "Content-Type: text/event-stream"
    ),
    "no event, chunks": send_chunks(),
    "only comments": send_chunks(b": wait\n\n"),
    "only events that the caller has": send_chunks(events(1, 3)),
    "events missing": send_chunks(events(7, 10)),
    "events missing after old ones": send_chunks(events(1, 3), events(5, 10)),
    "another content type": send_chunks(
        events(4, 10),
        head=("Transfer-Encoding: chunked", "Content-Type: text/html"),
    ),
    "no content type": send_chunks(
        events(4, 10), head=("Transfer-Encoding: chunked",)
    ),
    "error": send_with_length(500, b"no memory\n"),
    "error as events": send_with_length(
        500, events(4, 5), "Content-Type: text/event-stream"
    ),
    "unavailable": send_with_length(503, b"busy\n"),
    "not run": send_with_length(503, b"busy\n", "Flamingocleat-Not-Run: 1"),
    "page": send_chunks(PAGE),
    "error's head": send_chunks(ERROR_HEAD),
    "text of an error": send_chunks(b"error: no memory\n\n"),
}


@pytest.mark.parametrize("name", CONTINUATIONS_BROKEN_OFF)
def test_answer_that_does_not_continue_a_stream_is_broken_off(name):
    """The caller keeps its events, gets no other bytes, and sees no end."""

    async def scenario(harness):
        await harness.add(send_three_events, "llm")
        await harness.add(CONTINUATIONS_BROKEN_OFF[name], "llm")
        reply = await harness.request("/stream/x")
        assert (reply.status, reply.body) == (200, events(1, 3))
        assert not reply.is_complete

    support.run_scenario(scenario)


CONTINUATIONS_TAKEN = {
    "all": (send_ten_events, 10),
    "repeated from the start": (send_chunks(events(1, 10)), 10),
    "fewer, whole": (send_chunks(events(4, 5)), 5),
    "fewer, no length": (send_until_closed(events(4, 4)), 4),
}


@pytest.mark.parametrize("name", CONTINUATIONS_TAKEN)
def test_continuation_with_a_proper_end_is_taken(name):
    script, last = CONTINUATIONS_TAKEN[name]

    async def scenario(harness):
        await harness.add(send_three_events, "llm")
        await harness.add(script, "llm")
        reply = await harness.request("/stream/x")
        assert (reply.status, reply.body) == (200, events(1, last))
        assert reply.is_complete

    support.run_scenario(scenario)


def test_numbers_of_events_may_have_gaps_of_their_own():
    """Numbers only have to increase; then a continuation may have gaps."""

    async def scenario(harness):
        numbers = [2, 5, 9, 20]

        async def truncate(received):
            data = received.response_head(200, *STREAM_HEAD)
            parts = map(support.event, numbers[:2])
            await received.send(data + support.chunk(b"".join(parts)))

        await harness.add(truncate, "llm")
        rest = b"".join(map(support.event, numbers[2:]))
        await harness.add(send_chunks(rest), "llm")
        reply = await harness.request("/stream/x")
        assert reply.body == b"".join(map(support.event, numbers))
        assert reply.is_complete

    support.run_scenario(scenario)


def test_caller_that_has_all_events_gets_an_empty_end():
    """A caller may lose only the end of its stream, and resumes it then."""

    async def scenario(harness):
        await harness.add(send_chunks(), "llm")
        reply = await harness.request("/stream/x", Last_Event_Id="10")
        assert (reply.status, reply.body) == (200, b"")
        assert reply.is_complete

    support.run_scenario(scenario)


FAULTY_STREAMS = {
    "no event": send_chunks(),
    "no event, length": send_with_length(
        200, b"", "Content-Type: text/event-stream"
    ),
    "only comments": send_chunks(b": wait\n\n"),
    "page": send_chunks(PAGE),
    "error's head": send_chunks(ERROR_HEAD),
}


@pytest.mark.parametrize("path", ["/stream/x", "/fixed/x"])
@pytest.mark.parametrize("name", FAULTY_STREAMS)
def test_stream_without_an_event_is_no_success(path, name):
    """Another server answers, if the request may be sent again."""

    async def scenario(harness):
        await harness.add(FAULTY_STREAMS[name], "llm")
        reply = await harness.request(path)
        assert reply.status == 502
        await harness.add(send_ten_events, "llm")
        reply = await harness.request("/stream/x")
        assert (reply.body, reply.is_complete) == (events(1, 10), True)

    support.run_scenario(scenario)


@pytest.mark.parametrize("path", ["/stream/x", "/fixed/x"])
@pytest.mark.parametrize(
    "fault", [ERROR_HEAD, PAGE, b"error: no memory\n\n", b"no memory\n\n"]
)
def test_error_within_a_stream_does_not_reach_the_caller(path, fault):
    async def scenario(harness):
        await harness.add(send_chunks(events(1, 3), fault), "llm")
        reply = await harness.request(path)
        assert (reply.status, reply.body) == (200, events(1, 3))
        assert not reply.is_complete

    support.run_scenario(scenario)


@pytest.mark.parametrize(
    ("path", "headers", "body"),
    [
        ("/read/x", ("Content-Length: 4",), b"done"),
        ("/once/x", ("Content-Length: 4",), b"done"),
        ("/once/x", ("Content-Length: 0",), b""),
        ("/once/x", NOT_RUN, b""),
        ("/stream/x", STREAM_HEAD, support.chunk(events(1, 10)) + b"0\r\n\r\n"),
        ("/fixed/x", STREAM_HEAD, support.chunk(events(1, 10)) + b"0\r\n\r\n"),
    ],
    ids=["read", "once", "once, empty", "once, not run", "stream", "fixed"],
)
def test_head_that_is_cut_is_no_answer(path, headers, body):
    """Neither a success nor a statement that the call did not run."""
    status = 503 if headers is NOT_RUN else 200
    service = "llm" if path in ("/stream/x", "/fixed/x") else "desk"

    async def scenario(harness):
        backend = await harness.add(answer_done, service)
        for cut in range(head_size(status, headers)):
            backend.script = send_cut(status, headers, body, cut)
            harness.candidate(0).mark_alive(0.0)
            reply = await harness.request(path)
            assert reply.status == 502, cut

    support.run_scenario(scenario)


@pytest.mark.parametrize(
    ("status", "headers"), [(200, STREAM_HEAD), (503, NOT_RUN)]
)
def test_head_that_is_cut_does_not_end_a_stream(status, headers):
    async def scenario(harness):
        await harness.add(send_three_events, "llm")
        second = await harness.add(answer_done, "llm")
        for cut in range(head_size(status, headers)):
            second.script = send_cut(status, headers, b"", cut)
            for number in (0, 1):
                harness.candidate(number).mark_alive(0.0)
                harness.candidate(number).mark_succeeded()
            reply = await harness.request("/stream/x")
            assert (reply.status, reply.body) == (200, events(1, 3))
            assert not reply.is_complete

    support.run_scenario(scenario)


@pytest.mark.parametrize("count", [1, 2, 5])
def test_call_is_not_repeated_at_a_server_that_refused_it(count):
    """The server may send its refusal once more while it runs the call."""

    async def refuse(received):
        refusal = received.response_head(503, *NOT_RUN)
        with contextlib.suppress(OSError):
            await received.send(refusal * count)

    async def scenario(harness):
        first = await harness.add(refuse)
        reply = await harness.request("/many/x", "POST", body=b"order")
        assert reply.status == 503
        assert len(first.received) == 1
        second = await harness.add(answer_done)
        reply = await harness.request("/many/x", "POST", body=b"order")
        assert (reply.status, reply.body) == (200, b"done")
        assert len(second.received) == 1

    support.run_scenario(scenario)


@pytest.mark.parametrize("count", [1, 2, 3])
def test_refusal_of_another_request_is_no_refusal(count):
    """A call that was sent counts as run if another call was refused."""

    async def refuse(received):
        received.headers["x-request-id"] = "id-0"
        refusal = received.response_head(503, *NOT_RUN)
        await received.send(refusal * count)

    async def scenario(harness):
        await harness.add(refuse)
        second = await harness.add(answer_done)
        reply = await harness.request("/many/x", "POST", body=b"order")
        assert reply.status == 502
        assert second.received == []

    support.run_scenario(scenario)


def test_refusal_after_an_answer_is_not_read():
    """Each request has a connection of its own, so none can be left over."""

    async def answer_and_refuse(received):
        await received.answer(b"done")
        with contextlib.suppress(OSError):
            await received.send(received.response_head(503, *NOT_RUN))

    async def scenario(harness):
        backend = await harness.add(answer_and_refuse)
        for number in range(1, 4):
            reply = await harness.request("/once/x", "POST", body=b"order")
            assert (reply.status, reply.body) == (200, b"done")
            assert len(backend.received) == number

    support.run_scenario(scenario)
