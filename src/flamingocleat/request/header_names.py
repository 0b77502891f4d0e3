"""Names of the headers that gateways use."""

import msgspec


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
    """Header names used with callers and backend servers, in lower case."""

    request_id: bytes = b"x-request-id"
    deadline_ms: bytes = b"x-request-timeout-ms"
    credential: bytes = b"x-api-key"
    customer: bytes = b"flamingocleat-customer"
    expected_backend: bytes = b"flamingocleat-backend"
    not_run: bytes = b"flamingocleat-not-run"
    """In an answer: the server states that it has not run the request."""
    leaving: bytes = b"flamingocleat-leaving"
    """In an answer: the server leaves, and wants no further requests."""
    proof: bytes = b"flamingocleat-proof"
    """In an answer: marks a success as the backend server's own."""
    last_event_id: bytes = b"last-event-id"
    model: bytes = b"flamingocleat-model"
    token_counts: bytes = b"flamingocleat-tokens"
    """Number of prompt tokens and maximum of answer tokens, separated by a
    comma."""
    prompt_parts: bytes = b"flamingocleat-prompt-parts"
    """ID:TOKENS for each part of the prompt, separated by commas; the last
    part is the request's own."""
    urgency: bytes = b"flamingocleat-urgency"
    cold: bytes = b"flamingocleat-cold-ms"
    """In an answer: for how long the server stays cold, in ms."""
    limit: bytes = b"flamingocleat-limit"
    """In an answer: the requests per second that the server takes from all
    gateways together."""
