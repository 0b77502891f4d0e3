"""Answers that share the room of one gateway."""

import asyncio
import contextlib

import pytest

from flamingocleat.request import answer_room
from flamingocleat.request import events
from tests.direct import support

LARGE_BYTES = 300_000
PIECE_BYTES = 10_000


def test_largest_answer_makes_way():
    """Guards against small answers that are broken off for a faulty one."""
    room = answer_room.AnswerRoom(100)
    ended = []
    with (
        room.hold(lambda: ended.append("small")) as small,
        room.hold(lambda: ended.append("large")) as large,
    ):
        small.grow(30)
        large.grow(60)
        small.grow(20)
        assert ended == ["large"]
        assert (small.has_ended, large.has_ended) == (False, True)
        assert room.held_bytes == 50
        large.grow(0)
    assert room.held_bytes == 0
    assert not room.answers


def test_room_is_returned_after_an_error():
    """Guards against room that faulty answers keep."""
    room = answer_room.AnswerRoom(100)
    with pytest.raises(ValueError), room.hold(lambda: None) as held:  # noqa: PT012
        held.grow(80)
        raise ValueError
    assert room.held_bytes == 0


@pytest.mark.parametrize("path", ["/read/x", "/once/x"])
def test_call_whose_answer_finds_no_room_fails_honestly(path):
    """Guards against a part of an answer, or a promise that it did not run."""

    async def answer_large(received):
        await received.answer(b"x" * LARGE_BYTES)

    async def scenario(harness):
        harness.forwarder.answer_room.room_bytes = LARGE_BYTES // 2
        await harness.add(answer_large)
        reply = await harness.request(path)
        assert reply.status == 502
        assert harness.forwarder.answer_room.held_bytes == 0
        harness.forwarder.answer_room.room_bytes = LARGE_BYTES * 2
        reply = await harness.request(path)
        assert (reply.status, len(reply.body)) == (200, LARGE_BYTES)

    support.run_scenario(scenario)


def test_other_answers_pass_while_one_finds_no_room():
    """Guards against a faulty server that takes the answers of others."""

    async def answer(received):
        if "large" in received.line:
            await received.answer(b"x" * LARGE_BYTES)
        else:
            await received.answer(b"x" * 1000)

    async def scenario(harness):
        harness.forwarder.answer_room.room_bytes = LARGE_BYTES // 2
        for _ in range(2):
            await harness.add(answer, slots=8)
        replies = await asyncio.gather(
            *(harness.request("/once/small") for _ in range(6)),
            harness.request("/once/large"),
        )
        assert [each.status for each in replies] == [200] * 6 + [502]

    support.run_scenario(scenario)


def test_events_without_end_share_the_room():
    """Guards against streams whose unfinished events add up."""
    sent_bytes = []

    async def send_endless_event(received):
        head = received.response_head(
            200, "Content-Type: text/event-stream", "Connection: close"
        )
        await received.send(head + b"id: 1\ndata: ")
        with contextlib.suppress(OSError):
            while True:
                await received.send(b"x" * PIECE_BYTES)
                sent_bytes.append(PIECE_BYTES)
                await asyncio.sleep(0.001)

    async def scenario(harness):
        harness.forwarder.answer_room.room_bytes = LARGE_BYTES
        await harness.add(send_endless_event, "llm", slots=8)
        replies = await asyncio.gather(
            *(harness.request("/fixed/x") for _ in range(8))
        )
        assert [each.status for each in replies] == [502] * 8
        assert sum(sent_bytes) < 8 * events.MAX_EVENT_BYTES / 2
        assert harness.forwarder.answer_room.held_bytes == 0

    support.run_scenario(scenario)
