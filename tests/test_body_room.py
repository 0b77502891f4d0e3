"""The room for bodies and answers that an entry's threads share."""

import socket
import threading
import time

import pytest

from flamingocleat.request import body_room
from flamingocleat.request import problem

MEMORY_MB = body_room.BASE_MEMORY_MB + 100.0
ROOM_BYTES = round(100e6 * body_room.ROOM_FRACTION)


class Caller:
    """A request, and how its connection was shut down."""

    def __init__(self, room: body_room.Room) -> None:
        self.shut_down: list[int] = []
        self.share = room.open(self.shut_down.append)


@pytest.fixture
def room():
    return body_room.Room(MEMORY_MB, body_room.Refusals())


def test_room_follows_the_settings():
    """Guards against bounds that do not depend on the machine."""
    refusals = body_room.Refusals()
    sizes = [body_room.Room(mb, refusals).size for mb in (0.0, 164.0, 10.0)]
    available = body_room.DEFAULT_MEMORY_MB - body_room.BASE_MEMORY_MB
    assert sizes[0] == round(available * 1e6 * body_room.ROOM_FRACTION)
    assert sizes[1] == ROOM_BYTES
    assert sizes[2] > 4_194_304


def test_body_without_room_is_refused_as_not_run(room, monkeypatch):
    """Guards against bodies that together exceed the room."""
    monkeypatch.setattr(body_room, "WAIT_S", 0.1)
    Caller(room).share.take(ROOM_BYTES)
    with pytest.raises(problem.Problem) as raised:
        Caller(room).share.take(100_000)
    assert raised.value.status == 503
    assert raised.value.outcome is problem.Outcome.NOT_RUN
    assert room.used == ROOM_BYTES


def test_stalled_body_makes_way_for_a_waiting_one(room, monkeypatch):
    """Guards against callers that keep the room by sending nothing."""
    monkeypatch.setattr(body_room, "STALL_S", 0.1)
    stalled, waiting = Caller(room), Caller(room)
    stalled.share.take(ROOM_BYTES)
    time.sleep(0.2)
    taking = threading.Thread(target=waiting.share.take, args=(100_000,))
    taking.start()
    end_s = time.monotonic() + 5.0
    while not stalled.shut_down and time.monotonic() < end_s:
        time.sleep(0.01)
    assert stalled.shut_down == [socket.SHUT_RD]
    stalled.share.release()
    taking.join(5.0)
    assert room.used == waiting.share.count == 100_000


def test_body_that_was_read_does_not_make_way(room, monkeypatch):
    """Guards against requests that are ended while they are served."""
    monkeypatch.setattr(body_room, "STALL_S", 0.0)
    monkeypatch.setattr(body_room, "WAIT_S", 0.1)
    served = Caller(room)
    served.share.take(ROOM_BYTES)
    served.share.keep(ROOM_BYTES)
    with pytest.raises(problem.Problem):
        Caller(room).share.take(100_000)
    assert served.shut_down == []


def test_oldest_unread_answer_makes_way(room):
    """Guards against answers that callers request and do not read."""
    callers = [Caller(room) for _ in range(4)]
    for caller in callers:
        caller.share.hold_answer(ROOM_BYTES // 3)
    shut_down = [caller.shut_down for caller in callers]
    assert shut_down == [[socket.SHUT_RDWR], [], [], []]
    for caller in callers:
        caller.share.release()
    assert room.used == 0


def test_small_bodies_take_no_room(room):
    """Guards against ordinary requests that wait for others."""
    Caller(room).share.take(ROOM_BYTES)
    small = Caller(room)
    small.share.take(body_room.FREE_BYTES)
    small.share.keep(body_room.FREE_BYTES)
    small.share.release()
    assert room.used == ROOM_BYTES
