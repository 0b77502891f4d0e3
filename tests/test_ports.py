"""The launcher's choice of ports for programs that start later."""

import socket

from examples import local


def test_port_is_given_out_once():
    """A port must not be given to two programs that have not started yet.

    This failed in CI as "Address already in use", in one of some 600 tests.
    """
    ports = [local.free_port() for _ in range(2000)]
    assert len(set(ports)) == len(ports)


def test_port_in_use_is_not_given_out():
    """A port that another program listens on must be skipped.

    The program that it is given to could not start.
    """
    free_port = local.free_port()
    with socket.create_server(("127.0.0.1", free_port + 1)):
        assert local.free_port() != free_port + 1
