"""Tests of the coordinator and the gateways, and their support code."""
