"""Identity of a request that comes again under another id."""

import hashlib

from flamingocleat import ids

DIGEST_BYTES = 8
"""With a million requests remembered anywhere, two of them share a digest with
a probability of 3e-8."""
PREFIX = "r:"


def digest(
    host: str, target: bytes, caller: str, body: bytes
) -> ids.RequestDigest:
    """Return the same for requests of one caller that ask for the same.

    Args:
        host: Host header.
        target: Path and query, as the caller sent them.
        caller: The customer, or an empty string for anonymous callers.
        body: Whole body.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (host.lower().encode("latin-1"), target, caller.encode()):
        hasher.update(len(field).to_bytes(8, "big"))
        hasher.update(field)
    hasher.update(body)
    return ids.RequestDigest(ids.Suspect(PREFIX + hasher.hexdigest()))


def is_digest(suspect: ids.Suspect) -> bool:
    """Return whether a suspect is a request, and not a part of prompts."""
    return suspect.startswith(PREFIX)
