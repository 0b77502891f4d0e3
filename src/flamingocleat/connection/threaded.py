"""HTTP servers that serve each request in a thread, on cheroot."""

import contextlib
import select
import threading
import time
import typing

import cheroot.connections
import cheroot.server
import cheroot.wsgi

ARRIVAL_S = 0.2
"""Time for which a server that has closed its listener still reads requests
that arrive on its connections."""


class Connection(cheroot.server.HTTPConnection):
    """A connection that a thread serves."""

    def has_request_behind(self) -> bool:
        """Return whether bytes have arrived that no request has read."""
        if self.rfile.has_data():
            return True
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        return bool(poller.poll(0))

    def communicate(self) -> bool:
        """Serve a request, during a stop also those behind it.

        Return whether the connection is kept.
        """
        is_kept = super().communicate()
        while (
            is_kept
            and not self.server.ready
            and self.server.has_request_behind()
        ):
            is_kept = super().communicate()
        return is_kept


class Connections(cheroot.connections.ConnectionManager):
    """Connections on which no request is being served."""

    _selector: typing.Any
    _from_server_socket: typing.Any

    def __init__(self, server: "Server") -> None:
        super().__init__(server)
        self.lock = threading.Lock()
        self.is_closed = False

    def put(self, conn: cheroot.server.HTTPConnection) -> None:
        """Keep a connection until its next request; close it if too late."""
        with self.lock:
            if not self.is_closed:
                super().put(conn)
                return
        conn.close()

    def stop(self) -> None:
        """Stop the selector's loop, and pass on the requests that wait."""
        self.server.end_s = time.monotonic() + self.server.shutdown_timeout
        super().stop()
        self._close_listener()
        end_s = time.monotonic() + ARRIVAL_S
        while (remaining_s := end_s - time.monotonic()) > 0:
            for number, conn in self._selector.select(remaining_s):
                self._selector.unregister(number)
                self.server.requests.put(conn)

    def _close_listener(self) -> None:
        """Accept the connections that wait, which the close would reset."""
        listener = self.server.socket
        waiting = select.poll()
        waiting.register(listener, select.POLLIN)
        with contextlib.suppress(OSError):
            while waiting.poll(0):
                conn = self._from_server_socket(listener)
                if conn is not None:
                    self.server.process_conn(conn)
        self._selector.unregister(listener.fileno())
        listener.close()
        self.server.socket = None

    def waiting(self) -> set[int]:
        """Return the descriptors with bytes that nobody has read."""
        return {number for number, _ in self._selector.select(0)}

    def _expire(self, threshold: float) -> None:
        """Close the connections that are idle too long, and have no bytes."""
        waiting = self.waiting()
        now = time.time()
        for number, conn in self._selector.connections:
            if number in waiting and conn is not self.server:
                conn.last_used = now
        super()._expire(threshold)  # type: ignore[misc]

    def close(self) -> None:
        """Close all connections."""
        with self.lock:
            self.is_closed = True
            super().close()


class Server(cheroot.wsgi.Server):
    """HTTP server whose stop answers the requests that have arrived."""

    ConnectionClass = Connection
    _connections: Connections
    end_s = float("inf")
    """End of a stop, on the monotonic clock."""

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Whether the answer of this thread leaves its connection open."""
        return super().can_add_keepalive_connection or self.has_request_behind()

    def has_request_behind(self) -> bool:
        """Return whether this thread serves a connection with more requests.

        At the end of a stop they are no longer read.
        """
        connection = getattr(threading.current_thread(), "conn", None)
        return (
            connection is not None
            and time.monotonic() < self.end_s
            and connection.has_request_behind()
        )

    def prepare(self) -> None:
        """Listen, and start the threads."""
        super().prepare()
        self._connections.close()
        self._connections = Connections(self)

    def put_conn(self, conn: cheroot.server.HTTPConnection) -> None:
        """Keep a connection, also while the server is being stopped."""
        self._connections.put(conn)
