"""Parts that live for one process."""
