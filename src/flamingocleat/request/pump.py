"""Relays the bytes of all open streams in one thread.

A thread for each stream pays for a switch of threads, and for the
interpreter's lock, with every chunk. Handler threads therefore only open,
resume and end streams, and wait here in between.
"""

import collections.abc
import select
import socket
import threading
import time

from flamingocleat.process import logs

READ_BYTES = 65_536

SCAN_INTERVAL_S = 0.1
"""Precision of the bounds on silence and of deadlines."""

_GONE = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR

_log = logs.logger("pump")


class Flow:
    """One connection from an agent to a caller.

    `feed` turns bytes from the agent into bytes for the caller and returns
    True with them once the answer is whole; it raises for a broken stream.
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
        self.heard_s = time.monotonic()
        self.unsent = b""
        """What the caller's socket did not take; it blocks."""
        self.gone = False
        """The caller has closed its connection."""
        self.error: Exception | None = None
        """What feed raised, or why the connection to the agent failed."""
        self.finished = threading.Event()


class Pump:
    """The thread, which starts with the first flow."""

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.by_agent: dict[int, Flow] = {}
        self.by_caller: dict[int, Flow] = {}
        self.lock = threading.Lock()
        self.thread: threading.Thread | None = None
        self.scan_s = 0.0

    def run(self, flow: Flow) -> None:
        """Relay until the answer is whole, or something stops it.

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
            ready = self.epoll.poll(SCAN_INTERVAL_S)
            now_s = time.monotonic()
            for number, mask in ready:
                flow = self.by_agent.get(number)
                if flow is not None:
                    self._relay(flow, now_s)
                elif mask & _GONE:
                    self._check_caller(number)
            if now_s >= self.scan_s:
                self._scan(now_s)

    def _relay(self, flow: Flow, now_s: float) -> None:
        try:
            data = flow.agent.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._finish(flow, error)
            return
        flow.heard_s = now_s
        try:
            block, done = flow.feed(data)
        except Exception as error:  # A fault must end this flow only.
            self._finish(flow, error)
            return
        if block:
            try:
                sent = flow.caller.send(block)
            except BlockingIOError:
                sent = 0
            except OSError:
                flow.gone = True
                self._finish(flow)
                return
            if sent < len(block):
                flow.unsent = block[sent:]
                self._finish(flow)
                return
        if done:
            self._finish(flow)

    def _check_caller(self, number: int) -> None:
        """End the caller's flow unless its number now is another socket's."""
        flow = self.by_caller.get(number)
        if flow is None:
            return
        poll = select.poll()
        poll.register(number, select.POLLRDHUP)
        if poll.poll(0):
            flow.gone = True
            self._finish(flow)

    def _scan(self, now_s: float) -> None:
        self.scan_s = now_s + SCAN_INTERVAL_S
        for flow in list(self.by_agent.values()):
            if now_s - flow.heard_s > flow.silence_s:
                self._finish(flow, TimeoutError("connection went silent"))
            elif now_s > flow.deadline_s:
                self._finish(flow, TimeoutError("the deadline has passed"))

    def _finish(self, flow: Flow, error: Exception | None = None) -> None:
        """Hand the flow back to its handler thread."""
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
