"""Example configurations and stand-ins for outside systems."""
