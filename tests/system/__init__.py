"""Tests that run the real programs on loopback."""
