"""Documents of the HTTP API for operators, shared by control and ctl."""

import ipaddress
import re

import msgspec

from flamingocleat import errors
from flamingocleat import ids

NAME_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")
"""Syntax of change ids and of the names of VMs and voters."""


class ProblemDocument(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of an error (RFC 9457); the last three fields are extensions."""

    title: str
    status: int
    detail: str
    outcome: str
    """Either not-run or unknown."""
    findings: tuple[errors.Finding, ...] = ()
    present_version: int | None = None


class Replacement(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Body of a request to replace a voter; describes the new voter."""

    voter: ids.VoterId
    address: str
    """gRPC address, host:port."""


class ChangeReply(msgspec.Struct, frozen=True):
    """Body of the response to an accepted change."""

    change_id: str
    version: int


class EntryLine(msgspec.Struct, frozen=True):
    """One connected entry on the status page."""

    entry: str
    data_centre: str
    confirmed_version: int
    in_flight: int
    silent_ms: int


class VmLine(msgspec.Struct, frozen=True):
    """One live VM on the status page."""

    vm: str
    incarnation: str
    data_centre: str
    fabric_domain: str
    kind: str
    service: str
    state: str
    fence: int
    serving: bool
    leaving: bool
    silent_ms: int


class GroupLine(msgspec.Struct, frozen=True):
    """One assigned group on the status page."""

    group: str
    service: str
    model: str
    fence: int
    members: tuple[str, ...]
    serving: bool


class StatusPage(msgspec.Struct, frozen=True):
    """The leader's view of the system."""

    voter: str
    term: int
    applied_index: int
    voters: dict[str, str]
    version: int
    in_force: bool
    """True if each connected entry has confirmed the version."""
    settled: bool
    """False while a new leader waits for the announcements of agents."""
    entries: tuple[EntryLine, ...]
    vms: tuple[VmLine, ...]
    groups: tuple[GroupLine, ...]
    drained: tuple[str, ...]


def is_address(text: str) -> bool:
    """Return whether the text is an IP address, a colon and a port number."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        return 0 < int(port) < 65536
    except ValueError:
        return False
