"""Orders to the VMs of model groups."""

import enum

import msgspec

from flamingocleat import ids


class Op(enum.Enum):
    """What a VM is ordered to do."""

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    STAGE = "stage"
    LEAVE = "leave"


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """One order to one VM."""

    op: Op
    backend: ids.BackendId
    address: str
    model: str = ""
    group: str = ""
    epoch: ids.Epoch = ids.Epoch(0)
    members: tuple[ids.BackendId, ...] = ()
    """All members of the group; the first is its head."""
    finish_work: bool = False
    """For a close: end the work in hand first."""
