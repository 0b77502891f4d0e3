"""The forwarder that tests put between processes."""

import contextlib
import socket

from tests.system import forwarder


def test_connections_that_are_being_accepted_are_closed():
    """A connection left open would fail the test that happens to collect it."""
    with socket.create_server(("127.0.0.1", 0)) as target:
        port = target.getsockname()[1]
        for _ in range(30):
            tcp_forwarder = forwarder.Forwarder(f"127.0.0.1:{port}")
            host, _, port_text = tcp_forwarder.address.rpartition(":")
            with contextlib.ExitStack() as clients:
                for _ in range(5):
                    clients.enter_context(
                        socket.create_connection((host, int(port_text)), 5.0)
                    )
                tcp_forwarder.close()
