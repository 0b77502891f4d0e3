"""Parts that live for one connection."""
