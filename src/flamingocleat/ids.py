"""Identifier types shared by all parts of the system."""

import typing

VmId = typing.NewType("VmId", str)
DataCentreId = typing.NewType("DataCentreId", str)
FabricDomainId = typing.NewType("FabricDomainId", str)
CustomerId = typing.NewType("CustomerId", str)
ServiceId = typing.NewType("ServiceId", str)
EntryId = typing.NewType("EntryId", str)
VoterId = typing.NewType("VoterId", str)
OperatorId = typing.NewType("OperatorId", str)
RequestId = typing.NewType("RequestId", str)
ChangeId = typing.NewType("ChangeId", str)
PermitId = typing.NewType("PermitId", str)

GroupId = typing.NewType("GroupId", str)
"""One replica, as "model group name/replica number"."""

Incarnation = typing.NewType("Incarnation", str)
"""One run of an agent process; random at each start."""

FencingNumber = typing.NewType("FencingNumber", int)
"""Log index of an assignment; 0 means no assignment."""

ConfigurationVersion = typing.NewType("ConfigurationVersion", int)
"""Number of accepted configurations; 0 means none."""

BackendId = typing.NewType("BackendId", str)
"""A backend server that announces itself."""


class Lifetime(typing.NamedTuple):
    """One run of a backend server.

    A server may start again under its id, also at another address, and knows
    nothing of before. What is remembered of a server is kept by lifetime.
    """

    backend: BackendId
    born_ms: int
    """Its start as Unix time in milliseconds; 0 if it is not known."""

    def is_before(self, later: "Lifetime") -> bool:
        """Return whether a later lifetime of the server shows that it ended."""
        return (
            self.backend == later.backend and 0 < self.born_ms < later.born_ms
        )


Suspect = typing.NewType("Suspect", str)
"""What may have ended a server: a part of prompts, or a request."""

PromptPart = typing.NewType("PromptPart", Suspect)
"""A part of a prompt that other requests may share."""

RequestDigest = typing.NewType("RequestDigest", Suspect)
"""What a request has in common with its repetitions under other ids, as "r:"
and hexadecimal digits. Names of parts of prompts have no colon."""

Epoch = typing.NewType("Epoch", int)
"""Fencing number of a group: the leader's term and a counter."""
