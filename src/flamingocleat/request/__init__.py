"""Parts that live for one request."""
