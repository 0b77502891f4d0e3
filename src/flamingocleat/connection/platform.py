"""What a deployment's platform provides, as the product sees it.

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
    """A message that the adapter cannot translate."""


class Announce(msgspec.Struct, frozen=True):
    """A backend server announces itself."""

    said: fleet.Announcement


class Leave(msgspec.Struct, frozen=True):
    """A backend server says that it leaves."""

    backend: ids.BackendId
    born_ms: int | None


class PutDocument(msgspec.Struct, frozen=True):
    """An operator submits a configuration."""

    catalog: catalog.Catalog
    document: bytes
    """The configuration as it was sent."""


class GetDocument(msgspec.Struct, frozen=True):
    """Somebody reads the configuration."""


ControlCall = Announce | Leave | PutDocument | GetDocument


class OrderOutcome(enum.Enum):
    """What a backend server says to an order."""

    BEGUN = "begun"
    DONE = "done"
    UNFIT = "unfit"
    """It does not fit the server's state."""
    FENCED = "fenced"
    """A newer order was there first."""
    UNKNOWN = "unknown"
    """No answer; the order may be carried out, also later."""


class Platform(typing.Protocol):
    """Translations of one platform."""

    def decode_call(
        self, method: str, target: str, body: bytes
    ) -> ControlCall | None:
        """Return a call of control, or None if there is no such call.

        Raises UnreadableError.
        """

    def decode_catalog(self, document: bytes) -> catalog.Catalog:
        """Return a configuration; raise UnreadableError."""

    def encode_announced(self, http_address: str) -> bytes:
        """Return the answer to an announcement.

        http_address: where later announcements should go.
        """

    async def order(self, order: orders.Order) -> OrderOutcome:
        """Give an order to a backend server."""
