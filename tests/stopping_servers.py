"""Callers of threaded servers whose accepting thread stands still."""

import contextlib
import http.client
import socket
import threading
import typing

REQUEST = b"GET /livez HTTP/1.1\r\nHost: h\r\n\r\n"
TIMEOUT_S = 10.0


class Callers:
    """Plain sockets to a server that is prepared, and served on request."""

    def __init__(self, server: typing.Any) -> None:
        self.server = server
        self.resources = contextlib.ExitStack()
        server.prepare()
        self.resources.callback(server.stop)

    def __enter__(self) -> "Callers":
        return self

    def __exit__(self, *_: object) -> None:
        self.resources.close()

    def serve(self) -> None:
        thread = threading.Thread(target=self.server.serve)
        thread.start()
        self.resources.callback(thread.join)
        self.resources.callback(self.server.stop)

    def connect(self, data: bytes = b"") -> socket.socket:
        sock = socket.create_connection(
            self.server.bind_addr, timeout=TIMEOUT_S
        )
        self.resources.callback(sock.close)
        sock.sendall(data)
        return sock

    def hold(self) -> threading.Event:
        """Let the accepting thread stand still until the event is set."""
        held, released = threading.Event(), threading.Event()
        process_conn = self.server.process_conn

        def wait(conn: object) -> None:
            self.server.process_conn = process_conn
            held.set()
            released.wait(TIMEOUT_S)
            process_conn(conn)

        self.server.process_conn = wait
        self.connect()
        assert held.wait(TIMEOUT_S)
        return released

    def stop(self) -> threading.Thread:
        """Begin to stop the server."""
        thread = threading.Thread(target=self.server.stop)
        thread.start()
        self.resources.callback(thread.join)
        while self.server.ready:
            thread.join(0.001)
        return thread


def status(sock: socket.socket) -> int:
    """Read an answer and return its status; 0 if the connection ends."""
    answer = http.client.HTTPResponse(sock)
    try:
        answer.begin()
        answer.read()
    except (http.client.HTTPException, ConnectionError):
        return 0
    finally:
        answer.close()
    return answer.status
