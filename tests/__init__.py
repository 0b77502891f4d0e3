"""Tests of flamingocleat."""
