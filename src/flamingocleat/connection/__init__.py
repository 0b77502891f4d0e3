"""Components whose lifetime is one connection."""
