"""gRPC channels to one address."""

import grpclib.client

from flamingocleat.connection import codec


def dial(address: str) -> grpclib.client.Channel:
    """Return a channel to "host:port"; it connects at the first call."""
    host, _, port = address.rpartition(":")
    return grpclib.client.Channel(host, int(port), codec=codec.Codec())
