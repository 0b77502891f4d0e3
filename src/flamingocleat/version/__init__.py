"""Modules whose objects live for one version of the configuration or log."""
