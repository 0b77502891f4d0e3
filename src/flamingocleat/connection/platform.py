"""Interface to the platform of a deployment.

An adapter translates between these types and the platform's own interfaces.
"""

import enum
import typing

import msgspec

from flamingocleat import errors
from flamingocleat import ids
from flamingocleat.version import catalog
from flamingocleat.version import fleet
from flamingocleat.version import orders


class UnreadableError(errors.FlamingocleatError):
    """The adapter cannot translate a message."""


class Announce(msgspec.Struct, frozen=True):
    """A backend server's announcement."""

    announcement: fleet.Announcement


class Leave(msgspec.Struct, frozen=True):
    """A backend server's notice that it is leaving."""

    backend: ids.BackendId
    born_ms: int | None


class PutDocument(msgspec.Struct, frozen=True):
    """An operator's request to submit a configuration."""

    catalog: catalog.Catalog
    document: bytes
    """The configuration as the operator sent it."""


class GetDocument(msgspec.Struct, frozen=True):
    """A request to read the configuration."""


class SetEvacuation(msgspec.Struct, frozen=True):
    """An operator's request to evacuate a data centre or to reinstate it."""

    data_centre: ids.DataCentreId
    evacuated: bool


ControlCall = Announce | Leave | PutDocument | GetDocument | SetEvacuation


class OrderOutcome(enum.Enum):
    """A backend server's reply to an order."""

    BEGUN = "begun"
    DONE = "done"
    UNFIT = "unfit"
    """The order does not match the server's state."""
    FENCED = "fenced"
    """The server already has a newer order."""
    UNKNOWN = "unknown"
    """There was no answer; the order may still be executed, even later."""
    UNSENT = "unsent"
    """There was no connection, so that it will not be executed."""


class Platform(typing.Protocol):
    """Translations that an adapter implements."""

    def decode_call(
        self, method: str, target: str, body: bytes
    ) -> ControlCall | None:
        """Return the decoded call, or None if there is no such call.

        Raises UnreadableError.
        """

    def decode_catalog(self, document: bytes) -> catalog.Catalog:
        """Return the decoded configuration; raise UnreadableError."""

    def encode_announced(self, http_address: str) -> bytes:
        """Return the response to an announcement.

        Args:
            http_address: Where later announcements should be sent.
        """

    async def order(self, order: orders.Order) -> OrderOutcome:
        """Send an order to a backend server."""

    async def read_state(
        self, backend: ids.BackendId, address: str
    ) -> fleet.VmState | None:
        """Ask a backend server for its state; return None without an answer."""
