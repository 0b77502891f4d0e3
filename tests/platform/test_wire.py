"""Translation of control calls and orders to and from the wire format."""

import asyncio
import json

import msgspec
import pytest
from adapter import wire

from flamingocleat.connection import platform
from flamingocleat.version import catalog
from flamingocleat.version import fleet
from flamingocleat.version import orders

HEARTBEAT = {
    "service": "llm",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 24,
    "state": "ready",
    "coldLeftMs": 0,
    "models": [{"name": "large", "version": 1, "adapters": []}],
    "sequence": 4,
    "born": 1_700_000_000_000,
    "domain": "d1",
    "staged": ["large"],
    "group": {"name": "g7", "epoch": 12, "rank": 1, "state": "open"},
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "pathPrefix": "/x/",
            "kind": "stream",
            "timeoutMs": 8000,
            "targetLatencyMs": 400,
            "priority": 1,
            "trafficSplit": [
                {"service": "llm", "weight": 90},
                {"service": "desk", "weight": 10},
            ],
            "maxAttempts": 2,
            "allowAnonymous": False,
            "streamResume": True,
            "targetGapMs": 300,
        }
    ],
    "services": [
        {
            "name": "llm",
            "healthPath": "/health",
            "maxConnections": 392,
            "engine": {
                "slots": 24,
                "kvCapacity": 700_000,
                "stride": 3,
                "models": [
                    {
                        "name": "large",
                        "size": 4,
                        "share": 0.67,
                        "pace": 1.0,
                        "loadS": 16.0,
                        "warmS": 1.6,
                    }
                ],
                "step_ms": 6.07,
                "per_seq_ms": 0.482,
                "read_per_s": 46_000.0,
                "loadsPerS": 3.0,
                "loads_at_once": 6,
                "formMs": 300.0,
                "far_x": 2.5,
                "usual": {"prompt": 1014, "answer": 85},
            },
        },
        {"name": "desk", "maxConnections": 100},
    ],
    "limits": {"maxHeaderBytes": 16_384, "idleTimeoutMs": 15_000},
    "tenants": [{"name": "acme", "apiKeys": ["k1", "k2"], "priority": 1}],
}
ADAPTER = wire.PlatformAdapter()


def decode(method, target, document):
    body = document if isinstance(document, bytes) else json.dumps(document)
    if isinstance(body, str):
        body = body.encode()
    return ADAPTER.decode_call(method, target, body)


def test_announcement_is_translated():
    """Guards against heartbeat fields that are lost or misread."""
    call = decode("POST", "/api/Instances.Heartbeat/i-1", HEARTBEAT)
    assert call == platform.Announce(
        fleet.Announcement(
            backend="i-1",
            born_ms=1_700_000_000_000,
            sequence=4,
            service="llm",
            address="10.0.0.9:8080",
            data_centre="a",
            state=fleet.BackendState.READY,
            slots=24,
            domain="d1",
            staged=("large",),
            model="large",
            group=fleet.GroupReport("g7", 12, 1, fleet.GroupState.OPEN),
        )
    )


@pytest.mark.parametrize(
    "heartbeat",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        {**HEARTBEAT, "sequence": "four"},
        {**HEARTBEAT, "state": "resting"},
        {**HEARTBEAT, "group": {"name": "g7"}},
        {k: v for k, v in HEARTBEAT.items() if k != "address"},
    ],
)
def test_unreadable_announcement_is_an_error(heartbeat):
    """Guards against a backend server known by a malformed heartbeat.

    Bodies come without a document, with wrong types or missing fields.
    """
    with pytest.raises(platform.UnreadableError):
        decode("POST", "/api/Instances.Heartbeat/i-1", heartbeat)


@pytest.mark.parametrize(
    ("left_ms", "cold_ms"),
    [(0, 0), (None, 0), (1200, 1200), (0.5, 1), (-5, 0), (1e300, 600_000)],
)
def test_cold_time_of_an_announcement_is_translated(left_ms, cold_ms):
    """A cold server would be filled like any other."""
    body = {**HEARTBEAT, "coldLeftMs": left_ms}
    call = decode("POST", "/api/Instances.Heartbeat/i-1", body)
    assert call.announcement.cold_ms == cold_ms


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({}, (0.0, 0.0)),
        ({"coldStartS": None, "coldPerS": None}, (0.0, 0.0)),
        ({"coldStartS": 20, "coldPerS": 28}, (20.0, 28.0)),
        ({"coldStartS": -1, "coldPerS": -1}, (0.0, 0.0)),
        ({"coldStartS": 1e300, "coldPerS": 1e300}, (600.0, 1e6)),
    ],
)
def test_cold_rate_of_a_service_is_translated(fields, expected):
    """Without a rate a service is never cold."""
    services = [{**CONFIG["services"][0], **fields}, *CONFIG["services"][1:]]
    call = decode(
        "POST", "/api/Config.Replace", {**CONFIG, "services": services}
    )
    service = call.catalog.services[0]
    assert (service.cold_start_s, service.cold_per_s) == expected


def test_departure_is_translated():
    """Guards against rejecting a departure that comes without a body."""
    path = "/api/Instances.Deregister/i-1"
    assert decode("POST", path, b"") == platform.Leave("i-1", None)
    assert decode("POST", path, {"born": 5}) == platform.Leave("i-1", 5)


def test_configuration_is_translated():
    """Guards against fields that are lost or misread in a configuration.

    Units differ on the wire, and the document must be kept unchanged.
    """
    call = decode("POST", "/api/Config.Replace", CONFIG)
    assert json.loads(call.document) == CONFIG
    route = call.catalog.routes[0]
    assert route.kind is catalog.CallKind.STREAM
    assert (route.timeout_s, route.objective_s, route.gap_s) == (8, 0.4, 0.3)
    assert [t.weight for t in route.targets] == [90, 10]
    assert route.resumable
    model = call.catalog.services[0].engine.models[0]
    assert (model.size, model.load_s, model.warm_s) == (4, 16.0, 1.6)
    assert call.catalog.customers[0].keys == ("k1", "k2")
    assert call.catalog.requires_keys
    assert catalog.check(call.catalog) == []


def with_route_fields(**fields):
    route = {**CONFIG["routes"][0], **fields}
    return {**CONFIG, "routes": [route]}


@pytest.mark.parametrize(
    ("document", "finding"),
    [
        (
            with_route_fields(trafficSplit=[{"service": "no", "weight": 1}]),
            "unknown",
        ),
        (
            with_route_fields(
                service="llm",
                trafficSplit=[
                    {"service": "no", "weight": 1},
                    {"service": "llm", "weight": 1},
                ],
            ),
            "unknown",
        ),
        (
            with_route_fields(trafficSplit=[{"service": "llm", "weight": 0}]),
            "add up",
        ),
        (with_route_fields(timeoutMs=0), "timeout"),
        ({**CONFIG, "routes": CONFIG["routes"] * 2}, "host and prefix"),
        (
            {
                **CONFIG,
                "tenants": [
                    {"name": "a", "apiKeys": ["k"]},
                    {"name": "b", "apiKeys": ["k"]},
                ],
            },
            "shares a key",
        ),
    ],
)
def test_invalid_configuration_has_findings(document, finding):
    """Guards against an invalid configuration that is accepted.

    Each violation of a rule must give exactly one finding that describes it.
    """
    call = decode("POST", "/api/Config.Replace", document)
    findings = catalog.check(call.catalog)
    assert len(findings) == 1
    assert finding in findings[0]


def test_service_goes_before_the_split_beside_it():
    """Guards against requests to services of a split that is not used."""
    document = with_route_fields(
        service="llm", trafficSplit=[{"service": "llm", "weight": 3}]
    )
    call = decode("POST", "/api/Config.Replace", document)
    assert catalog.check(call.catalog) == []
    weights = [each.weight for each in call.catalog.routes[0].targets]
    assert weights == [1.0, 0.0]


@pytest.mark.parametrize(
    "document",
    [
        json.dumps(CONFIG).encode()[:-20],
        {**CONFIG, "version": None},
        with_route_fields(kind="other"),
        with_route_fields(timeoutMs="soon"),
    ],
)
def test_unreadable_configuration_is_an_error(document):
    """Guards against applying a document that is cut or has wrong types."""
    with pytest.raises(platform.UnreadableError):
        decode("POST", "/api/Config.Replace", document)


def with_broken_text(document, field="comment"):
    """Return a document with a field whose value is no text."""
    body = json.dumps({**document, field: "?"}).encode()
    return body.replace(b'"?"', b'"a\xffb"')


@pytest.mark.parametrize(
    ("path", "document"),
    [
        (wire.PUT_PATH, with_broken_text(CONFIG)),
        (
            wire.PUT_PATH,
            json.dumps({**CONFIG, "services": []})
            .encode()
            .replace(b"[]", b"[" + with_broken_text({"name": "s"}) + b"]"),
        ),
        (f"{wire.ANNOUNCE_PATH}i-1", with_broken_text(HEARTBEAT)),
        (f"{wire.LEAVE_PATH}i-1", with_broken_text({})),
    ],
)
def test_broken_text_in_a_field_that_is_skipped_is_unreadable(path, document):
    """Guards against acknowledging a change that others cannot read."""
    with pytest.raises(platform.UnreadableError):
        wire.PlatformAdapter().decode_call("POST", path, document)


def test_stored_configuration_with_broken_text_is_still_decoded():
    """Guards against losing what an earlier build has acknowledged."""
    stored = with_broken_text(CONFIG)
    assert wire.PlatformAdapter().decode_catalog(stored).version == 7


def test_unknown_call_is_none():
    """Guards against handling other paths and methods as control calls."""
    assert decode("GET", "/api/other", b"") is None
    assert decode("GET", "/api/Config.Replace", b"") is None
    get_call = decode("GET", "/api/Config.Get", b"")
    assert get_call == platform.GetDocument()


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (202, platform.OrderOutcome.BEGUN),
        (200, platform.OrderOutcome.DONE),
        (409, platform.OrderOutcome.UNFIT),
        (412, platform.OrderOutcome.FENCED),
        (421, platform.OrderOutcome.UNFIT),
        (400, platform.OrderOutcome.UNFIT),
        ("000", platform.OrderOutcome.UNKNOWN),
        (500, platform.OrderOutcome.UNKNOWN),
        (700, platform.OrderOutcome.UNKNOWN),
        (None, platform.OrderOutcome.UNKNOWN),
    ],
)
def test_order_is_translated(status, outcome):
    """Guards against a wrong order body and a misread response status.

    The last case closes the connection without a response.
    """
    requests = []

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length:")[1].split()[0])
        requests.append((head.decode().lower(), await reader.read(length)))
        if status is not None:
            writer.write(f"HTTP/1.1 {status} X\r\n".encode())
            writer.write(b"Content-Length: 0\r\n\r\n")
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        order = orders.Order(
            op=orders.Op.JOIN,
            backend="i-1",
            address=f"127.0.0.1:{port}",
            model="large",
            group="g7",
            epoch=12,
            members=("i-1", "i-2"),
        )
        assert await ADAPTER.order(order) is outcome
        server.close()

    asyncio.run(run())
    head, body = requests[0]
    assert head.startswith("post /api/order ")
    assert "x-expect-instance: i-1" in head
    assert json.loads(body) == {
        "op": "join",
        "group": "g7",
        "epoch": 12,
        "model": "large",
        "members": ["i-1", "i-2"],
    }


def test_order_to_join_is_bound_to_the_count_of_orders():
    """Guards against a join that a VM takes after another leader's order."""
    order = orders.Order(
        op=orders.Op.JOIN,
        backend="i-1",
        address="10.0.0.1:80",
        members=("i-1",),
        expected_orders=0,
    )
    encode = wire._ORDER_ENCODERS[orders.Op.JOIN]
    assert encode(order)["precondition"] == 0
    unbound = msgspec.structs.replace(order, expected_orders=None)
    assert "precondition" not in encode(unbound)


OPEN_HEAD = {"name": "g7", "epoch": 12, "rank": 0, "state": "open"}
STATES = {
    "in a group": (
        "200 OK",
        {"born": 5, "sequence": 3, "group": OPEN_HEAD, "busy": False},
        fleet.VmState(
            born_ms=5,
            orders=3,
            group=fleet.GroupReport("g7", 12, 0, fleet.GroupState.OPEN),
        ),
    ),
    "in none": ("200 OK", {"sequence": 0}, fleet.VmState()),
    "null": ("200 OK", {"group": None}, fleet.VmState()),
    "unknown state": (
        "200 OK",
        {"group": {**OPEN_HEAD, "state": "resting"}},
        None,
    ),
    "no object": ("200 OK", [], None),
    "another server": ("421 No\r\nX-Instance-Id: i-2", {}, None),
    "perhaps another": ("421 No", {}, None),
    "not told": (
        "404 No\r\nX-Instance-Id: i-1",
        {},
        fleet.VmState(is_told=False),
    ),
    "no answer": (None, {}, None),
}


@pytest.mark.parametrize("name", STATES)
def test_state_is_translated(name):
    """Guards against a VM that counts as idle by a misread state."""
    status, document, expected = STATES[name]
    heads = []

    async def serve(reader, writer):
        heads.append(await reader.readuntil(b"\r\n\r\n"))
        if status is not None:
            body = json.dumps(document)
            length = f"Content-Length: {len(body)}"
            writer.write(
                f"HTTP/1.1 {status}\r\n{length}\r\n\r\n{body}".encode()
            )
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        found = await ADAPTER.read_state("i-1", f"127.0.0.1:{port}")
        server.close()
        return found

    assert asyncio.run(run()) == expected
    assert heads[0].startswith(b"GET /api/report ")
    assert b"x-expect-instance: i-1" in heads[0].lower()


@pytest.mark.parametrize(
    ("target", "expected"),
    [
        ("Start/a", platform.SetEvacuation("a", True)),
        ("Finish/a?x=1", platform.SetEvacuation("a", False)),
        ("Start/b%20c", platform.SetEvacuation("b c", True)),
    ],
)
def test_evacuations_are_translated(target, expected):
    """An operator's call must concern the data centre that it names."""
    path = "/api/Evacuations." + target
    adapter = wire.PlatformAdapter()
    assert adapter.decode_call("POST", path, b"") == expected
    assert adapter.decode_call("GET", path, b"") is None


@pytest.mark.parametrize("name", ["", "%ff", "a" * 200])
def test_odd_evacuations_are_unreadable(name):
    """They must be refused, and not be stored in the log."""
    for path in (wire.EVACUATE_PATH, wire.REINSTATE_PATH):
        with pytest.raises(platform.UnreadableError):
            wire.PlatformAdapter().decode_call("POST", path + name, b"")
