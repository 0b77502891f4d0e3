"""Relays the bytes of all open streams in one thread.

With one thread per stream, every chunk would cost a context switch and a wait
for the interpreter lock. Handler threads therefore only open, resume and end
streams, and wait here in between.
"""

import collections.abc
import select
import socket
import threading
import time

from flamingocleat.process import logs

READ_BYTES = 65_536

CHECK_INTERVAL_S = 0.1
"""Interval, and thus precision, of the checks for silence and deadlines."""

_CLOSED = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR

_log = logs.logger("pump")


class Flow:
    """One stream from an agent's connection to a caller's connection.

    `feed` converts bytes from the agent to bytes for the caller. It returns
    them with True once the answer is complete, and raises if the stream is
    broken.
    """

    def __init__(
        self,
        agent: socket.socket,
        caller: socket.socket,
        feed: collections.abc.Callable[[bytes], tuple[bytes, bool]],
        silence_s: float,
        deadline_s: float,
    ) -> None:
        self.agent = agent
        self.caller = caller
        self.feed = feed
        self.silence_s = silence_s
        self.deadline_s = deadline_s
        self.last_read_s = time.monotonic()
        self.unsent = b""
        """Bytes that the caller's socket did not accept without blocking."""
        self.caller_closed = False
        """Whether the caller has closed its connection."""
        self.error: Exception | None = None
        """Error raised by `feed` or by the connection to the agent."""
        self.finished = threading.Event()


class StreamRelay:
    """Relays flows in a thread that starts with the first of them."""

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.by_agent: dict[int, Flow] = {}
        self.by_caller: dict[int, Flow] = {}
        self.lock = threading.Lock()
        self.thread: threading.Thread | None = None
        self.next_check_s = 0.0

    def run(self, flow: Flow) -> None:
        """Relay until the answer is complete or cannot be relayed further.

        Both sockets are left non-blocking.
        """
        flow.agent.setblocking(False)
        flow.caller.setblocking(False)
        self._start()
        self.by_agent[flow.agent.fileno()] = flow
        self.by_caller[flow.caller.fileno()] = flow
        self.epoll.register(flow.caller, select.EPOLLRDHUP)
        self.epoll.register(flow.agent, select.EPOLLIN)
        flow.finished.wait()

    def _start(self) -> None:
        with self.lock:
            if self.thread is None:
                self.thread = threading.Thread(
                    target=self._loop, name="pump", daemon=True
                )
                self.thread.start()

    def _loop(self) -> None:
        while True:
            try:
                self._process_events(self.epoll.poll(CHECK_INTERVAL_S))
            except Exception as error:  # All streams depend on this thread.
                logs.error(_log, "iteration_failed", reason=repr(error))

    def _process_events(self, ready: list[tuple[int, int]]) -> None:
        now_s = time.monotonic()
        for number, mask in ready:
            flow = self.by_agent.get(number)
            if flow is not None:
                self._relay(flow, now_s)
            elif mask & _CLOSED:
                self._check_caller(number)
        if now_s >= self.next_check_s:
            self._check_timeouts(now_s)

    def _relay(self, flow: Flow, now_s: float) -> None:
        try:
            data = flow.agent.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._finish(flow, error)
            return
        flow.last_read_s = now_s
        try:
            block, done = flow.feed(data)
        except Exception as error:  # An error must end only this flow.
            self._finish(flow, error)
            return
        if block:
            try:
                sent = flow.caller.send(block)
            except BlockingIOError:
                sent = 0
            except OSError:
                flow.caller_closed = True
                self._finish(flow)
                return
            if sent < len(block):
                flow.unsent = block[sent:]
                self._finish(flow)
                return
        if done:
            self._finish(flow)

    def _check_caller(self, number: int) -> None:
        """End the flow if the caller has closed its connection.

        The check is repeated, since the file descriptor may belong to another
        socket by now.
        """
        flow = self.by_caller.get(number)
        if flow is None:
            return
        poll = select.poll()
        poll.register(number, select.POLLRDHUP)
        if poll.poll(0):
            flow.caller_closed = True
            self._finish(flow)

    def _check_timeouts(self, now_s: float) -> None:
        self.next_check_s = now_s + CHECK_INTERVAL_S
        for flow in list(self.by_agent.values()):
            if now_s - flow.last_read_s > flow.silence_s:
                self._finish(flow, TimeoutError("connection went silent"))
            elif now_s > flow.deadline_s:
                self._finish(flow, TimeoutError("the deadline has passed"))

    def _finish(self, flow: Flow, error: Exception | None = None) -> None:
        """Return the flow to its handler thread."""
        flow.error = error
        for sockets, sock in (
            (self.by_agent, flow.agent),
            (self.by_caller, flow.caller),
        ):
            sockets.pop(sock.fileno(), None)
            try:
                self.epoll.unregister(sock)
            except (OSError, ValueError) as failure:
                logs.error(_log, "unregister_failed", reason=failure)
        flow.finished.set()
