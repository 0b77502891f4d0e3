"""Compressed parts of messages: what they save, and who can read them."""

import asyncio
import random
import zlib

import grpclib
import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.connection import packing
from flamingocleat.version import catalog
from tests.direct import support
from tests.direct import test_feed

ENCODER = msgspec.msgpack.Encoder()


def make_report(heads: int) -> messages.GatewayReport:
    generator = random.Random(heads)
    return messages.GatewayReport(
        ids.EntryId("front-a-1"),
        ids.DataCentreId("a"),
        5,
        7,
        1234,
        tuple(
            messages.HeadReport(
                f"i-{generator.getrandbits(40):010x}",
                generator.randint(0, 3),
                generator.randint(0, 2000),
                generator.randint(0, 900),
                service="llm",
                group=f"llm-{2097153 + number}",
            )
            for number in range(heads)
        ),
        (messages.ModelDemand("llm", "large", 1234, 3),),
    )


def make_catalog(routes: int) -> catalog.Catalog:
    generator = random.Random(routes)
    return msgspec.structs.replace(
        support.CATALOG,
        routes=tuple(
            support.route(
                f"r-{generator.getrandbits(36):x}", catalog.CallKind.STREAM
            )
            for _ in range(routes)
        ),
    )


def make_heads(count: int) -> tuple[messages.ServedBackend, ...]:
    return tuple(
        messages.ServedBackend(
            f"head-{n}", f"head-{n}:80", "llm", "a", 24, "large", f"g-{n}"
        )
        for n in range(count)
    )


@hypothesis.given(strategies.integers(0, 40))
def test_report_is_the_same_after_unpacking(heads):
    report = make_report(heads)
    packed = packing.pack_report(report)
    assert not packed.heads
    assert packing.unpack_report(packed) == report
    assert packing.unpack_report(report) == report


def test_view_is_the_same_after_unpacking():
    view = messages.GatewayView(
        term=3,
        version=7,
        backends=make_heads(3),
        changed=make_heads(2),
        removed=(ids.BackendId("head-9"),),
        load=(messages.OtherGatewaysLoad(ids.BackendId("head-1"), 3, 40),),
    )
    assert packing.unpack_view(packing.pack_view(view)) == view
    assert packing.unpack_view(view) == view


def test_frequent_and_large_messages_become_much_smaller():
    """They cross data centres for each gateway, five times a second."""
    report = make_report(28)
    plain = len(ENCODER.encode(report))
    assert len(ENCODER.encode(packing.pack_report(report))) < plain / 3
    routes = make_catalog(1400)
    assert len(packing.pack(routes)) < len(ENCODER.encode(routes)) / 10
    assert packing.unpack(packing.pack(routes), catalog.Catalog) == routes


def make_append(size: int) -> messages.AppendRequest:
    return messages.AppendRequest(
        term=2,
        leader=ids.VoterId("a"),
        leader_address="a:1",
        target=ids.VoterId("b"),
        previous_index=4,
        previous_term=2,
        entries=(
            messages.LogEntry(5, 2, b"x" * size, {ids.VoterId("a"): "a:1"}),
            messages.LogEntry(6, 2, b"y"),
        ),
        commit_index=4,
    )


@pytest.mark.parametrize("size", [1, 100_000])
def test_entries_are_the_same_after_unpacking(size):
    request = make_append(size)
    packed = packing.pack_entries(request)
    assert len(ENCODER.encode(packed)) < 2000
    assert packing.unpack_entries(packed) == request


def test_voter_that_reads_no_compressed_entries_confirms_none():
    """It knows neither the field nor that entries are missing."""
    packed = packing.pack_entries(make_append(100_000))
    assert packed.entries == ()


@pytest.mark.parametrize(
    "data",
    [
        b"no zlib",
        zlib.compress(b"no msgpack"),
        zlib.compress(ENCODER.encode({"heads": 3})),
        packing.pack(make_report(9))[:-8],
        zlib.compress(bytes(packing.MAX_UNPACKED_BYTES + 1)),
    ],
    ids=["noise", "other content", "wrong type", "cut", "too large"],
)
def test_invalid_part_is_rejected(data):
    report = msgspec.structs.replace(make_report(1), packed=data)
    with pytest.raises(grpclib.GRPCError):
        packing.unpack_report(report)


def test_gateway_of_an_earlier_version_gets_plain_views():
    """It does not say that it reads compressed ones."""

    async def run():
        leader = test_feed.Leader(gateways=2, heads=4)
        new = leader.streams[1]
        report = new.reports.get_nowait()
        new.reports.put_nowait(
            msgspec.structs.replace(report, reads_packed=True)
        )
        await leader.wait_until(lambda: all(s.views for s in leader.streams))
        assert len(leader.streams[0].views[0].backends) == 4
        assert leader.streams[0].views[0].packed == b""
        packed = new.views[0]
        assert packed.backends is None
        assert len(packing.unpack_view(packed).backends) == 4
        await leader.stop()

    asyncio.run(run())
