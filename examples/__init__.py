"""Example configurations and stand-ins for external services."""
