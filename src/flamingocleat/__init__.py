"""Serving system for models whose replicas span several VMs."""
