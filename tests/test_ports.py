"""Ports that the launcher gives to programs that start later."""

import socket

from examples import local


def test_port_is_given_out_once():
    """Two programs that have not started yet do not get one port.

    Seen in CI, as "Address already in use" in one of some 600 tests.
    """
    ports = [local.free_port() for _ in range(2000)]
    assert len(set(ports)) == len(ports)


def test_port_in_use_is_not_given_out():
    """A port that somebody listens on is passed over."""
    taken = local.free_port()
    with socket.create_server(("127.0.0.1", taken + 1)):
        assert local.free_port() != taken + 1
