"""Orders that the leader sends to the VMs of model groups."""

import enum

import msgspec

from flamingocleat import ids


class Op(enum.Enum):
    """Operation that a VM is ordered to carry out."""

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    STAGE = "stage"
    LEAVE = "leave"


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """An order to one VM."""

    op: Op
    backend: ids.BackendId
    address: str
    model: str = ""
    group: str = ""
    epoch: ids.Epoch = ids.Epoch(0)
    members: tuple[ids.BackendId, ...] = ()
    """All members of the group; the first is its head."""
    finish_work: bool = False
    """For a close: finish the requests in flight first."""
    expected_orders: int | None = None
    """For a join: the VM refuses if it has accepted another number of orders in
    its lifetime; None if any number will do."""
