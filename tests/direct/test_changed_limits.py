"""Limits that change while callers keep their connections."""

import asyncio
import contextlib

import pytest

from examples import local
from flamingocleat.connection import http
from flamingocleat.request import budget
from flamingocleat.version import catalog
from tests.direct import support

LOW = catalog.Limits(
    max_header_bytes=16_384,
    max_body_bytes=1_000,
    header_timeout_s=0.4,
    idle_timeout_s=0.4,
)
HIGH = catalog.Limits(
    max_header_bytes=65_536,
    max_body_bytes=100_000,
    header_timeout_s=5.0,
    idle_timeout_s=5.0,
)
LARGE_HEAD_BYTES = 40_000


class LimitedServer:
    """A server whose limits can be changed, and a caller's connection."""

    def __init__(self, limits):
        self.limits = limits
        self.address = f"127.0.0.1:{local.free_port()}"
        self.server = http.Server(self._handle, lambda: self.limits)

    async def _handle(self, exchange):
        body = f"{len(exchange.headers)} {len(exchange.body)}".encode()
        await exchange.respond(200, [], body)

    @contextlib.asynccontextmanager
    async def connect(self):
        await self.server.start(self.address)
        host, port = self.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, port)
        await asyncio.sleep(0.05)
        try:
            yield self
        finally:
            self.writer.close()
            await self.server.close()

    async def send(self, *parts, pause_s=0.05):
        """Send the parts of a request with pauses; return the status."""
        for part in parts:
            self.writer.write(part)
            await self.writer.drain()
            await asyncio.sleep(pause_s)
        return await self.status()

    async def status(self):
        async with asyncio.timeout(5):
            head = await self.reader.readuntil(b"\r\n\r\n")
            length = int(
                head.lower().partition(b"content-length:")[2].split()[0]
            )
            await self.reader.readexactly(length)
        return int(head.split()[1])


def _request(head_bytes=0, body=b""):
    lines = [
        b"POST /u/x HTTP/1.1",
        b"host: a.example",
        b"x-context: " + b"c" * head_bytes,
        b"content-length: %d" % len(body),
    ]
    return b"\r\n".join([*lines, b"", b""]) + body


def _run(limits, scenario):
    async def run():
        async with LimitedServer(limits).connect() as caller:
            await scenario(caller)

    asyncio.run(run())


# Connections that were opened before a limit on heads was raised kept the old
# one, and proper requests were refused with 431.
@pytest.mark.parametrize("requests_before", [0, 1, 3])
def test_raised_limit_on_heads_holds_for_kept_connections(requests_before):
    async def scenario(caller):
        for _ in range(requests_before):
            assert await caller.send(_request()) == 200
        caller.limits = HIGH
        for _ in range(3):
            assert await caller.send(_request(LARGE_HEAD_BYTES)) == 200

    _run(LOW, scenario)


def test_raised_limit_holds_for_a_head_that_is_being_read():
    """What has arrived of a head is kept when the limit changes."""

    async def scenario(caller):
        caller.limits = LOW
        request = _request(LARGE_HEAD_BYTES)
        caller.writer.write(request[:12_000])
        await asyncio.sleep(0.1)
        caller.limits = HIGH
        assert (
            await caller.send(request[12_000:30_000], request[30_000:]) == 200
        )
        assert await caller.send(_request()) == 200

    _run(LOW, scenario)


def test_raised_limit_holds_for_a_request_behind_another():
    """A pipelined head is read after the change, within the new limit."""

    async def scenario(caller):
        behind = _request(LARGE_HEAD_BYTES)
        caller.writer.write(_request() + behind[:10_000])
        assert await caller.status() == 200
        caller.limits = HIGH
        assert await caller.send(behind[10_000:]) == 200

    _run(LOW, scenario)


def test_lowered_limit_on_heads_holds_for_kept_connections():
    """A head above the limit in force must still be refused."""

    async def scenario(caller):
        assert await caller.send(_request(LARGE_HEAD_BYTES)) == 200
        caller.limits = LOW
        assert await caller.send(_request(LARGE_HEAD_BYTES)) == 431

    _run(HIGH, scenario)


def test_limit_on_heads_is_not_exceeded():
    """A head without end must be refused whatever the parser has read."""

    async def scenario(caller):
        part = _request(80_000)[:70_000]
        assert await caller.send(part[:40_000], part[40_000:]) == 431

    _run(HIGH, scenario)


# The limits were read before the wait for the request, so that the first one
# after a change was held to the old limits.
def test_raised_limit_on_bodies_holds_for_the_next_request():
    async def scenario(caller):
        assert await caller.send(_request(body=b"b" * 2_000)) == 200

    async def raise_first(caller):
        caller.limits = HIGH
        await scenario(caller)

    _run(LOW, raise_first)


def test_raised_idle_timeout_holds_for_idle_connections():
    """A connection that idles must last as long as the limit in force."""

    async def scenario(caller):
        assert await caller.send(_request()) == 200
        caller.limits = HIGH
        await asyncio.sleep(2 * LOW.idle_timeout_s)
        assert await caller.send(_request()) == 200

    _run(LOW, scenario)


def test_idle_connection_ends_within_the_limit():
    """Without a change the connection must still be closed."""

    async def scenario(caller):
        async with asyncio.timeout(3 * LOW.idle_timeout_s):
            assert await caller.reader.read() == b""

    _run(LOW, scenario)


def test_raised_timeout_holds_for_a_head_that_is_being_read():
    """A slow head must not be ended by a timeout that holds no more."""

    async def scenario(caller):
        caller.writer.write(b"POST /u/x HTTP/1.1\r\n")
        await asyncio.sleep(0.1)
        caller.limits = HIGH
        await asyncio.sleep(2 * LOW.header_timeout_s)
        rest = b"host: a.example\r\ncontent-length: 0\r\n\r\n"
        assert await caller.send(rest) == 200

    _run(LOW, scenario)


# A gateway without a configuration held requests to the default limits.
def test_gateway_without_configuration_names_no_default_as_a_limit():
    harness = support.Harness()
    harness.forwarder.catalog_index = None
    limits = harness.forwarder.limits()
    assert limits.max_header_bytes > catalog.Limits().max_header_bytes
    assert limits.max_body_bytes > catalog.Limits().max_body_bytes


def test_changed_retry_budget_holds_for_the_next_retry():
    """A reload of the settings changes the budget of a running gateway."""
    retries = budget.Budget(budget.BudgetSettings(slack=0.0))
    assert not retries.withdraw("desk")
    retries.settings = budget.BudgetSettings(slack=10.0)
    assert retries.withdraw("desk")
