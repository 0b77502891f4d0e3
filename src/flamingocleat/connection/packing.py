"""Compresses the bulky parts of messages between data centres.

A configuration of a thousand routes is repetitive, and goes to each gateway
and voter at each change; reports and views name the same heads several times a
second. Peers of an earlier version neither read compressed parts nor say that
they do, and get plain messages.
"""

import typing
import zlib

import grpclib
import grpclib.const
import msgspec

from flamingocleat import messages
from flamingocleat.process import logs
from flamingocleat.version import catalog as catalog_module

_log = logs.logger("packing")

MIN_BYTES = 256
"""Smaller parts are sent as they are."""
MAX_UNPACKED_BYTES = 67_108_864
"""Bound on what a received part may expand to."""
_LEVEL = 1
"""Compression level: the fastest one."""

_encoder = msgspec.msgpack.Encoder()
_Body = typing.TypeVar("_Body")


def compress(data: bytes) -> bytes:
    """Return compressed bytes."""
    return zlib.compress(data, _LEVEL)


def expand(data: bytes) -> bytes:
    """Return the original bytes; raise GRPCError if there are none."""
    decompressor = zlib.decompressobj()
    try:
        expanded = decompressor.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise _rejection(data, str(error)) from error
    if not decompressor.eof:
        raise _rejection(data, "cut or too large")
    return expanded


def pack(body: typing.Any) -> bytes:
    """Return a part of a message, encoded and compressed."""
    return compress(_encoder.encode(body))


def unpack(data: bytes, body_type: type[_Body]) -> _Body:
    """Return a part of a message; raise GRPCError if it is invalid."""
    try:
        return msgspec.msgpack.decode(expand(data), type=body_type)
    except msgspec.MsgspecError as error:
        raise _rejection(data, str(error)) from error


def _rejection(data: bytes, reason: str) -> grpclib.GRPCError:
    logs.warning(_log, "part_rejected", size=len(data), reason=reason)
    return grpclib.GRPCError(
        grpclib.const.Status.INVALID_ARGUMENT,
        f"a compressed part is invalid: {reason}",
    )


def pack_report(report: messages.GatewayReport) -> messages.GatewayReport:
    """Return a report whose bulky fields are compressed."""
    body = messages.ReportBody(report.heads, report.demand)
    return msgspec.structs.replace(
        report, heads=(), demand=(), packed=pack(body)
    )


def unpack_report(report: messages.GatewayReport) -> messages.GatewayReport:
    """Return the original report; raise GRPCError."""
    if not report.packed:
        return report
    body = unpack(report.packed, messages.ReportBody)
    return msgspec.structs.replace(
        report, heads=body.heads, demand=body.demand, packed=b""
    )


def pack_view(view: messages.GatewayView) -> messages.GatewayView:
    """Return a view whose bulky fields, but the catalog, are compressed."""
    body = messages.ViewBody(
        view.backends, view.changed, view.removed, view.load
    )
    return msgspec.structs.replace(
        view, backends=None, changed=(), removed=(), load=(), packed=pack(body)
    )


def unpack_view(view: messages.GatewayView) -> messages.GatewayView:
    """Return the original view; raise GRPCError."""
    if view.packed_catalog:
        view = msgspec.structs.replace(
            view,
            catalog=unpack(view.packed_catalog, catalog_module.Catalog),
            packed_catalog=b"",
        )
    if not view.packed:
        return view
    body = unpack(view.packed, messages.ViewBody)
    return msgspec.structs.replace(
        view,
        backends=body.backends,
        changed=body.changed,
        removed=body.removed,
        load=body.load,
        packed=b"",
    )


def pack_entries(request: messages.AppendRequest) -> messages.AppendRequest:
    """Return a request with large entries compressed."""
    size = sum(len(entry.command) for entry in request.entries)
    if size < MIN_BYTES:
        return request
    return msgspec.structs.replace(
        request, entries=(), packed_entries=pack(request.entries)
    )


def unpack_entries(request: messages.AppendRequest) -> messages.AppendRequest:
    """Return the original request; raise GRPCError."""
    if not request.packed_entries:
        return request
    return msgspec.structs.replace(
        request,
        entries=unpack(request.packed_entries, tuple[messages.LogEntry, ...]),
        packed_entries=b"",
    )
