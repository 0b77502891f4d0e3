"""Announcements and configurations that no backend server or operator sends.

Another writer's bytes must not end a program, nor keep it from others.
"""

import asyncio
import json
import time

import hypothesis
import msgspec
import pytest
from adapter import wire
from hypothesis import strategies

from examples import local
from flamingocleat import messages
from flamingocleat.connection import http
from flamingocleat.connection import platform
from flamingocleat.process import coordinator
from flamingocleat.process import settings
from flamingocleat.version import fleet
from tests.direct import support
from tests.platform import test_wire

DEEP = b"[" * 100_000
DEEP_CLOSED = DEEP + b"]" * 100_000


def odd(**changes) -> bytes:
    return json.dumps({**test_wire.HEARTBEAT, **changes}).encode()


ODD_HEARTBEATS = {
    "deep": DEEP,
    "deep field": odd().replace(b'"v1"', DEEP_CLOSED),
    "deep staged": odd().replace(b'["large"]', DEEP_CLOSED),
    "huge sequence": odd(sequence=10**30),
    "sequence beyond 64 bits": odd(sequence=2**63),
    "negative sequence": odd(sequence=-1),
    "huge born": odd(born=10**30),
    "negative born": odd(born=-1),
    "huge slots": odd(slots=10**30),
    "no slots": odd(slots=0),
    "negative slots": odd(slots=-5),
    "huge epoch": odd(group={**test_wire.HEARTBEAT["group"], "epoch": 10**30}),
    "huge rank": odd(group={**test_wire.HEARTBEAT["group"], "rank": 10**30}),
    "negative rank": odd(group={**test_wire.HEARTBEAT["group"], "rank": -1}),
    "infinite number": odd().replace(b'"slots": 24', b'"slots": 1e999'),
    "long number": odd().replace(b'"slots": 24', b'"slots": ' + b"9" * 10_000),
    "port out of range": odd(address="10.0.0.9:99999"),
    "port zero": odd(address="10.0.0.9:0"),
    "negative port": odd(address="10.0.0.9:-1"),
    "no port": odd(address="10.0.0.9"),
    "port no number": odd(address="10.0.0.9:http"),
    "port in other digits": odd(address="10.0.0.9:٨٠"),
    "no host": odd(address=":80"),
    "host name": odd(address="server.example:80"),
    "empty address": odd(address=""),
    "no text": b"\xff\xfe\x00",
    "surrogate": odd().replace(b'"v1"', b'"\\ud800"'),
    "unknown state": odd(state="asleep"),
    "no object": b"7",
}


@pytest.mark.parametrize("body", ODD_HEARTBEATS.values(), ids=ODD_HEARTBEATS)
def test_odd_announcement_is_unreadable(body):
    """It must be refused with a reason, and name no server to use."""
    path = wire.ANNOUNCE_PATH + "i-1"
    with pytest.raises(platform.UnreadableError):
        wire.PlatformAdapter().decode_call("POST", path, body)


def test_announcement_without_an_id_is_unreadable():
    """It must name no server."""
    with pytest.raises(platform.UnreadableError):
        wire.PlatformAdapter().decode_call("POST", wire.ANNOUNCE_PATH, odd())


@pytest.mark.parametrize(
    "body",
    [
        DEEP,
        json.dumps(test_wire.CONFIG).encode()[:-1]
        + b',"x":'
        + DEEP_CLOSED
        + b"}",
        json.dumps({**test_wire.CONFIG, "version": 10**30}).encode(),
        json.dumps({**test_wire.CONFIG, "version": 2**63}).encode(),
        b"{}",
    ],
    ids=["deep", "deep field", "huge version", "64 bits", "empty"],
)
def test_odd_configuration_is_unreadable(body):
    """It must be refused with a reason."""
    with pytest.raises(platform.UnreadableError):
        wire.PlatformAdapter().decode_call("POST", wire.PUT_PATH, body)


@pytest.mark.parametrize("body", [DEEP, b'{"born": 1e400}', b'{"born": -1}'])
def test_odd_departure_is_unreadable(body):
    """It must not end another lifetime than its sender's."""
    with pytest.raises(platform.UnreadableError):
        wire.PlatformAdapter().decode_call("POST", wire.LEAVE_PATH + "i", body)


VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20)
    | strategies.sampled_from(["10.0.0.1:80", "10.0.0.1:70000", "ready"]),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=5), inner, max_size=3
        )
    ),
    max_leaves=8,
)


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(sorted(test_wire.HEARTBEAT)), VALUES
    )
)
def test_readable_announcement_can_be_passed_on(changes):
    """What is read must be usable by gateways, whatever the fields hold."""
    path = wire.ANNOUNCE_PATH + "i-1"
    try:
        call = wire.PlatformAdapter().decode_call("POST", path, odd(**changes))
    except platform.UnreadableError:
        return
    announcement = call.announcement
    encoded = msgspec.msgpack.encode(
        messages.ServedBackend(
            backend=announcement.backend,
            address=announcement.address,
            service=announcement.service,
            data_centre=announcement.data_centre,
            slots=announcement.slots,
        )
    )
    assert msgspec.msgpack.decode(encoded, type=messages.ServedBackend)
    msgspec.msgpack.encode(
        fleet.Withdrawal(
            announcement.backend, announcement.born_ms, announcement.sequence
        )
    )
    host, _, port = announcement.address.rpartition(":")
    assert host
    assert 0 < int(port) < 65_536


def test_odd_entries_do_not_hide_the_servers(tmp_path):
    """Control must answer each odd entry and still list the servers."""

    async def scenario() -> None:
        grpc_port, http_port = local.free_port(), local.free_port()
        address = f"127.0.0.1:{http_port}"
        instance = coordinator.Coordinator(
            settings.CoordinatorSettings(
                address=f"127.0.0.1:{grpc_port}",
                http_listen=address,
                data_folder=str(tmp_path),
                bootstrap=True,
                seeds=(f"127.0.0.1:{grpc_port}",),
            ),
            wire.PlatformAdapter(),
        )
        await instance.start()
        async with asyncio.timeout(10):
            while not instance.leadership.ready.is_set():
                await asyncio.sleep(0.01)
        for number, body in enumerate(ODD_HEARTBEATS.values()):
            path = f"{wire.ANNOUNCE_PATH}i-{number}"
            answer, _ = await http.request(
                address, "POST", path, body, timeout_s=3
            )
            assert answer.status == 400
        born_ms = int(time.time() * 1000)
        body = odd(service="desk", group=None, models=[], born=born_ms)
        path = f"{wire.ANNOUNCE_PATH}i-good"
        answer, _ = await http.request(address, "POST", path, body, timeout_s=3)
        assert answer.status == 200
        assert set(instance.fleet.backends) == {"i-good"}
        await instance.stop()

    asyncio.run(scenario())


def test_unusable_address_is_avoided_like_a_lost_server():
    """A caller must be answered by another server, not left without one."""

    async def scenario(harness):
        async def answer(received):
            await received.answer(b"done")

        await harness.add(answer, address="127.0.0.1:99999")
        await harness.add(answer)
        reply = await harness.request("/read/x")
        assert (reply.status, reply.body) == (200, b"done")

    support.run_scenario(scenario)
