"""Each request that was read ends in one line of the log."""

import asyncio
import contextlib

import logbook
import pytest

from flamingocleat.connection import intake
from flamingocleat.request import open_requests
from tests.direct import support


async def send_one_event(received):
    await received.send_events(1, 1, end=False)
    await received.wait_until_closed()


async def answer(received):
    await received.answer(b"done")


def closing_lines(handler: logbook.TestHandler) -> list[str]:
    names = ("event=request_ended ", "event=request_refused ")
    return [
        record.message
        for record in handler.records
        if record.message.startswith(names)
    ]


async def open_stream(harness):
    """Return a connection with a stream of which one event has arrived."""
    reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
    writer.write(
        b"POST /stream/x HTTP/1.1\r\nHost: front.example\r\n"
        b"X-Request-Id: id-1\r\nX-Api-Key: key-1\r\nContent-Length: 0\r\n"
        b"X-Request-Timeout-Ms: 3000\r\nFlamingocleat-Model: large\r\n\r\n"
    )
    await reader.readuntil(b"token 1\n\n")
    return reader, writer


async def wait_for_line(handler) -> list[str]:
    async with asyncio.timeout(support.TIMEOUT_S):
        while not closing_lines(handler):
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.05)
    return closing_lines(handler)


async def close(harness, writer):
    writer.close()


async def half_close(harness, writer):
    writer.write_eof()


async def reset(harness, writer):
    writer.transport.abort()


async def run_out_of_room(harness, writer):
    (connection,) = harness.server.connections
    connection.drop(intake.Reason.UNREAD)


async def end_process(harness, writer):
    (connection,) = harness.server.connections
    connection.task.cancel()


ENDS = {
    close: "the caller closed its end",
    half_close: "the caller closed its end",
    reset: "",
    run_out_of_room: "no room: unread",
    end_process: "the process ends",
}


@pytest.mark.parametrize("end", ENDS, ids=lambda end: end.__name__)
def test_stream_that_is_cut_leaves_one_line_with_the_reason(end):
    """Guards against requests that vanish from the log."""

    async def scenario(harness):
        backend = await harness.add(send_one_event, "llm")
        with logbook.TestHandler().applicationbound() as handler:
            _, writer = await open_stream(harness)
            await end(harness, writer)
            (line,) = await wait_for_line(handler)
            writer.close()
        assert "request=id-1 route=stream status=0 sent=1 backend=b-0" in line
        assert "begun=True whole=False" in line
        assert f'outcome="{ENDS[end]}' in line
        assert len(backend.received) == 1

    support.run_scenario(scenario)


def test_request_whose_handler_fails_leaves_one_line_with_the_place():
    """Guards against faults of this program that only show on stderr."""

    async def scenario(harness):
        await harness.add(send_one_event, "llm")

        def fail(*_):
            raise KeyError("b-0")

        harness.forwarder.record_head = fail
        with logbook.TestHandler().applicationbound() as handler:
            await harness.request("/stream/x", "POST")
            (line,) = closing_lines(handler)
        assert "request=id-1" in line
        assert "KeyError('b-0') at test_closing_lines.py:" in line

    support.run_scenario(scenario)


@pytest.mark.parametrize("path", ["/read/x", "/none/x", "/stream/x"])
def test_answered_and_refused_requests_leave_one_line(path):
    """Guards against a second line for a request that has one."""

    async def scenario(harness):
        await harness.add(answer)
        with logbook.TestHandler().applicationbound() as handler:
            await harness.request(path)
        assert len(closing_lines(handler)) == 1
        assert not harness.forwarder.open_requests.calls

    support.run_scenario(scenario)


def test_open_requests_are_named_up_to_a_bound():
    """Guards against a line as long as the requests in flight are many."""

    class Exchange:
        def __init__(self, number: int) -> None:
            self.number = number

        def header(self, _name: bytes) -> str:
            return f"id-{self.number}"

    requests = open_requests.OpenRequests(support.HEADER_NAMES)
    with contextlib.ExitStack() as stack:
        for number in range(open_requests.MAX_NAMES + 2):
            stack.enter_context(requests.track(Exchange(number)))
        names = requests.names().split(",")
    assert names[:2] == ["id-0", "id-1"]
    assert len(names) == open_requests.MAX_NAMES + 1
    assert names[-1] == "+2"


@pytest.mark.parametrize(
    ("path", "attribute", "sent"),
    [("/read/x", "_parse", 0), ("/once/x", "record_head", 1)],
)
def test_caller_is_answered_although_the_handler_fails(path, attribute, sent):
    """Guards against a closed connection where an answer is possible."""

    async def scenario(harness):
        backend = await harness.add(answer)

        def fail(*_):
            raise KeyError("b-0")

        setattr(harness.forwarder, attribute, fail)
        with logbook.TestHandler().applicationbound() as handler:
            reply = await harness.request(path)
        (line,) = closing_lines(handler)
        assert len(backend.received) == sent
        assert (reply.status, reply.is_complete) == (502, True)
        assert reply.headers["x-request-id"] == "id-1"
        assert "status=502" in line
        assert "KeyError" in line

    support.run_scenario(scenario)


def test_stream_whose_handler_fails_does_not_look_whole():
    """Guards against an end of a broken stream that a caller takes for one."""
    goes_on = asyncio.Event()

    async def send_two_events(received):
        await received.send_events(1, 1, end=False)
        await goes_on.wait()
        await received.send(support.chunk(support.event(2)))

    async def fail(*_):
        raise KeyError("b-0")

    async def scenario(harness):
        await harness.add(send_two_events, "llm")
        with logbook.TestHandler().applicationbound() as handler:
            reader, writer = await open_stream(harness)
            (call,) = harness.forwarder.in_flight
            call.exchange.send = fail
            goes_on.set()
            rest = await support.read_all(reader)
            writer.close()
            (line,) = closing_lines(handler)
        assert b"0\r\n\r\n" not in rest
        assert "status=0" in line

    support.run_scenario(scenario)
