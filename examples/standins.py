"""Stand-ins for backend servers: engine, plain service and weight store.

Run one with `python -m examples.standins engine --listen 127.0.0.1:9000`.

Control paths of the engine (JSON bodies):

- `GET /-/status`: load, loaded models and highest fencing number; the load
  is as old as `age_ms` says.
- `POST /-/orders`: `{"order": "load", "model", "version", "fence"}` starts a
  load and returns at once; `{"order": "role", "role", "fence"}` changes the
  role. `fence` may be left out for a preload.
- `POST /-/cancel`: `{"attempt": ...}` cancels the call that was sent with
  this value in its `Attempt-Id` header.
- `GET /-/events?after=N`: published cache events with a higher number.
- `GET /-/cache`: all cached prefixes and the number of the last event.

A prefix is the first 8 bytes of the SHA-256 of the first message's content,
in hexadecimal. The plain service has only `GET /-/load`.
"""

import argparse
import collections
import collections.abc
import hashlib
import heapq
import itertools
import json
import os
import sys
import threading
import time
import typing
import urllib.parse
import urllib.request

from cheroot import wsgi

Environ = dict[str, typing.Any]
Body = collections.abc.Iterable[bytes]

_READ_BYTES = 65_536
_WEIGHT_CHUNK_BYTES = 16_384
_STATUSES = {
    200: "200 OK",
    202: "202 Accepted",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    503: "503 Service Unavailable",
}


class Reply(Exception):  # noqa: N818
    """A JSON answer; raised where it ends the handling of a request."""

    def __init__(self, status: int, **fields: object) -> None:
        super().__init__(status)
        self.status = status
        self.body = json.dumps(fields).encode()


class Journal:
    """Append-only log of JSON lines; one write for each line."""

    def __init__(self, path: str) -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self.file = os.open(path, flags, 0o644) if path else -1

    def write(self, **fields: object) -> None:
        """Append one line with the time on the monotonic clock."""
        if self.file >= 0:
            line = json.dumps({"monotonic_s": time.monotonic(), **fields})
            os.write(self.file, line.encode() + b"\n")


class Application:
    """WSGI application that dispatches by method and path."""

    def __init__(self) -> None:
        self.routes: dict[
            tuple[str, str], collections.abc.Callable[[Environ], Reply]
        ] = {}

    def __call__(self, environ: Environ, start_response: typing.Any) -> Body:
        """Answer one request."""
        route = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        try:
            if route in self.routes:
                raise self.routes[route](environ)
            return self.serve(environ, start_response)
        except Reply as reply:
            start_response(
                _STATUSES[reply.status],
                [
                    ("Content-Type", "application/json"),
                    ("Content-Length", str(len(reply.body))),
                ],
            )
            return [reply.body]

    def serve(self, environ: Environ, start_response: typing.Any) -> Body:
        """Answer a request that has no route."""
        raise Reply(404, error=f"no path {environ['PATH_INFO']}")


def read_body(environ: Environ) -> bytes:
    """Return the request's body."""
    return environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))


def read_json(environ: Environ) -> dict[str, typing.Any]:
    """Return the request's JSON object."""
    try:
        value = json.loads(read_body(environ))
    except ValueError as error:
        raise Reply(400, error=str(error)) from error
    if not isinstance(value, dict):
        raise Reply(400, error="expected an object")
    return value


def query(environ: Environ, name: str, default: int) -> int:
    """Return an integer from the query string."""
    values = urllib.parse.parse_qs(environ["QUERY_STRING"]).get(name)
    return int(values[0]) if values else default


# Engine.


def token(digest: bytes, index: int) -> str:
    """Return token number index of the answer to a body with this digest."""
    return hashlib.sha256(digest + index.to_bytes(4, "big")).hexdigest()[:6]


def event(digest: bytes, index: int) -> bytes:
    """Return token number index as a server-sent event."""
    choice = {"index": 0, "delta": {"content": token(digest, index) + " "}}
    fields = {
        "id": f"chatcmpl-{digest.hex()[:12]}",
        "object": "chat.completion.chunk",
        "choices": [choice],
    }
    return b"data: " + json.dumps(fields).encode() + b"\n\n"


DONE = b"data: [DONE]\n\n"


def stream(body: bytes, tokens: int, offset: int = 0) -> bytes:
    """Return the whole stream that an engine sends for a body."""
    digest = hashlib.sha256(body).digest()
    events = (event(digest, i) for i in range(offset, tokens))
    return b"".join(events) + DONE


class Slots:
    """Bounded batch; waiting calls enter by priority, then by arrival."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.running = 0
        self.waiting: list[tuple[int, int]] = []
        self.counter = itertools.count()
        self.changed = threading.Condition()

    def enter(self, priority: int, stopped: threading.Event) -> bool:
        """Wait for a slot; False if the call was stopped before."""
        ticket = priority, next(self.counter)
        with self.changed:
            heapq.heappush(self.waiting, ticket)
            self.changed.wait_for(
                lambda: stopped.is_set() or self._first(ticket)
            )
            self.waiting.remove(ticket)
            heapq.heapify(self.waiting)
            self.changed.notify_all()
            if stopped.is_set():
                return False
            self.running += 1
            return True

    def leave(self) -> None:
        """Free a slot."""
        with self.changed:
            self.running -= 1
            self.changed.notify_all()

    def wake(self) -> None:
        """Have waiting calls look whether they were stopped."""
        with self.changed:
            self.changed.notify_all()

    def _first(self, ticket: tuple[int, int]) -> bool:
        return self.running < self.size and self.waiting[0] == ticket


class PrefixCache:
    """Limited cache of prompt prefixes and its published events."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.size = options.cache_entries
        self.lag_s = options.event_lag_ms / 1000
        self.gap_every = options.event_gap_every
        self.prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.sequence = 0
        self.events: collections.deque[tuple[float, int, str, bool]] = (
            collections.deque(maxlen=1000)
        )
        self.lock = threading.Lock()

    def use(self, prefix: str) -> bool:
        """Return whether the prefix was cached; it is from now on."""
        with self.lock:
            known = prefix in self.prefixes
            self.prefixes[prefix] = None
            self.prefixes.move_to_end(prefix)
            if not known:
                self._publish(prefix, True)
            if len(self.prefixes) > self.size:
                evicted, _ = self.prefixes.popitem(last=False)
                self._publish(evicted, False)
            return known

    def _publish(self, prefix: str, present: bool) -> None:
        self.sequence += 1
        if self.gap_every and self.sequence % self.gap_every == 0:
            return
        self.events.append((time.monotonic(), self.sequence, prefix, present))

    def published(self, after: int) -> list[dict[str, object]]:
        """Return events past a number that are old enough."""
        visible = time.monotonic() - self.lag_s
        with self.lock:
            return [
                {"sequence": sequence, "prefix": prefix, "present": present}
                for at, sequence, prefix, present in self.events
                if sequence > after and at <= visible
            ]


class Engine(Application):
    """Model engine with continuous batching."""

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__()
        self.options = options
        self.slots = Slots(options.slots)
        self.cache = PrefixCache(options)
        self.journal = Journal(options.log)
        self.loaded: list[str] = list(options.loaded)
        self.loading: set[str] = set()
        self.role = "both"
        self.fence = 0
        self.stops: dict[str, threading.Event] = {}
        self.lock = threading.Lock()
        self.report = (0, 0, time.monotonic())
        threading.Thread(target=self._measure, daemon=True).start()
        self.routes = {
            ("GET", "/-/status"): self.status,
            ("POST", "/-/orders"): self.order,
            ("POST", "/-/cancel"): self.cancel,
            ("GET", "/-/events"): self.events,
            ("GET", "/-/cache"): self.cached,
        }

    def _measure(self) -> None:
        while True:
            self.report = (
                self.slots.running,
                len(self.slots.waiting),
                time.monotonic(),
            )
            time.sleep(max(0.01, self.options.load_lag_ms / 1000))

    def status(self, environ: Environ) -> Reply:
        """Report load, models and fencing number."""
        running, waiting, at = self.report
        return Reply(
            200,
            running=running,
            waiting=waiting,
            slots=self.slots.size,
            age_ms=int((time.monotonic() - at) * 1000),
            loaded=self.loaded,
            loading=sorted(self.loading),
            role=self.role,
            fence=self.fence,
        )

    def check_fence(self, fence: int) -> None:
        """Refuse an old fencing number, unless the engine ignores them."""
        with self.lock:
            if self.options.check_fencing and fence < self.fence:
                raise Reply(
                    409,
                    error=f"fencing number {fence} is older than {self.fence}",
                )
            self.fence = max(self.fence, fence)

    def order(self, environ: Environ) -> Reply:
        """Take an order."""
        order = read_json(environ)
        self.journal.write(event="order", **order)
        if "fence" in order:
            self.check_fence(order["fence"])
        if order["order"] == "role":
            self.role = order["role"]
        elif order["order"] == "load":
            self._load(f"{order['model']}@{order['version']}")
        else:
            return Reply(400, error=f"unknown order {order['order']!r}")
        return Reply(202)

    def _load(self, model: str) -> None:
        with self.lock:
            if model in self.loaded or model in self.loading:
                return
            self.loading.add(model)
        threading.Thread(target=self._read, args=(model,), daemon=True).start()

    def _read(self, model: str) -> None:
        try:
            if self.options.weights:
                url = f"{self.options.weights}/weights/{model}"
                with urllib.request.urlopen(url) as response:
                    while response.read(_READ_BYTES):
                        pass
            time.sleep(self.options.load_ms / 1000)
        except OSError as error:
            print(f"load of {model} failed: {error}", file=sys.stderr)
            self.loading.discard(model)
            return
        with self.lock:
            self.loading.discard(model)
            kept = self.loaded[-(self.options.models_kept - 1) :]
            self.loaded = [
                *(kept if self.options.models_kept > 1 else []),
                model,
            ]
        self.journal.write(event="loaded", model=model)

    def cancel(self, environ: Environ) -> Reply:
        """Cancel a call."""
        attempt = read_json(environ)["attempt"]
        stop = self.stops.get(attempt)
        if stop:
            stop.set()
            self.slots.wake()
        return Reply(200, cancelled=stop is not None)

    def events(self, environ: Environ) -> Reply:
        """Return published cache events."""
        return Reply(
            200, events=self.cache.published(query(environ, "after", 0))
        )

    def cached(self, environ: Environ) -> Reply:
        """Return the whole cache."""
        with self.cache.lock:
            prefixes = list(self.cache.prefixes)
            return Reply(200, sequence=self.cache.sequence, prefixes=prefixes)

    def serve(self, environ: Environ, start_response: typing.Any) -> Body:
        """Answer a chat completion."""
        if environ["PATH_INFO"] != "/v1/chat/completions":
            return super().serve(environ, start_response)
        body = read_body(environ)
        call = EngineCall(self, environ, body)
        if not call.streamed:
            whole = b"".join(call.events())
            if not whole.endswith(DONE):
                raise Reply(503, error="cancelled")
            raise call.completion()
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return call.events()


class EngineCall:
    """One chat completion in an engine."""

    def __init__(self, engine: Engine, environ: Environ, body: bytes) -> None:
        try:
            request = json.loads(body)
            first = str(request["messages"][0]["content"])
        except (ValueError, LookupError, TypeError) as error:
            raise Reply(400, error=f"bad request: {error}") from error
        engine.check_fence(int(environ.get("HTTP_FENCING_NUMBER", 0)))
        self.engine = engine
        self.request_id = environ.get("HTTP_X_REQUEST_ID", "")
        self.fence = int(environ.get("HTTP_FENCING_NUMBER", 0))
        self.attempt = environ.get("HTTP_ATTEMPT_ID", "") or os.urandom(8).hex()
        self.offset = int(environ.get("HTTP_RESUME_OFFSET", 0))
        priority = environ.get("HTTP_PRIORITY", "u=3")
        self.priority = int(priority.partition("u=")[2][:1] or 3)
        self.streamed = bool(request.get("stream"))
        self.tokens = int(request.get("max_tokens", engine.options.tokens))
        self.prefix = hashlib.sha256(first.encode()).hexdigest()[:16]
        self.digest = hashlib.sha256(body).digest()
        self.stop = threading.Event()

    def log(self, name: str, **fields: object) -> None:
        """Write to the engine's journal."""
        self.engine.journal.write(
            event=name,
            request_id=self.request_id,
            attempt=self.attempt,
            fence=self.fence,
            **fields,
        )

    def events(self) -> collections.abc.Iterator[bytes]:
        """Yield server-sent events, and the terminator unless cancelled."""
        self.engine.stops[self.attempt] = self.stop
        self.log("arrived", offset=self.offset)
        sent = 0
        entered = False
        try:
            entered = self.engine.slots.enter(self.priority, self.stop)
            if not entered:
                return
            self.log("started")
            if not self.engine.cache.use(self.prefix):
                self.stop.wait(self.engine.options.prefill_ms / 1000)
            for index in range(self.offset, self.tokens):
                if self.stop.wait(self.engine.options.token_ms / 1000):
                    return
                yield event(self.digest, index)
                sent += 1
            yield DONE
        finally:
            if entered:
                self.engine.slots.leave()
            self.engine.stops.pop(self.attempt, None)
            whole = self.offset + sent >= self.tokens
            self.log("ended", tokens=sent, whole=whole)

    def completion(self) -> Reply:
        """Return the answer to a call that is not streamed."""
        words = (token(self.digest, i) + " " for i in range(self.tokens))
        message = {"role": "assistant", "content": "".join(words)}
        return Reply(
            200,
            id=f"chatcmpl-{self.digest.hex()[:12]}",
            object="chat.completion",
            choices=[{"index": 0, "message": message, "finish_reason": "stop"}],
        )


# Plain service.


class Plain(Application):
    """Service that records each run; `size` and `delay_ms` may be queried."""

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__()
        self.options = options
        self.journal = Journal(options.log)
        self.counter = itertools.count(1)
        self.running = 0
        self.lock = threading.Lock()
        self.routes = {("GET", "/-/load"): self.load}

    def load(self, environ: Environ) -> Reply:
        """Report the load."""
        return Reply(
            200,
            running=self.running,
            waiting=0,
            slots=self.options.threads,
            age_ms=0,
        )

    def serve(self, environ: Environ, start_response: typing.Any) -> Body:
        """Run a call once and say which run it was."""
        body = read_body(environ)
        with self.lock:
            self.running += 1
        try:
            run = next(self.counter)
            self.journal.write(
                event="run",
                run=run,
                method=environ["REQUEST_METHOD"],
                path=environ["PATH_INFO"],
                key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
                request_id=environ.get("HTTP_X_REQUEST_ID", ""),
                body_sha256=hashlib.sha256(body).hexdigest(),
            )
            delay_ms = query(environ, "delay_ms", self.options.delay_ms)
            time.sleep(delay_ms / 1000)
        finally:
            with self.lock:
                self.running -= 1
        raise Reply(
            200,
            run=run,
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            body_sha256=hashlib.sha256(body).hexdigest(),
            filler="x" * query(environ, "size", 0),
        )


# Weight store.


class Weights(Application):
    """Store whose readers share one byte rate."""

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__()
        self.options = options
        self.journal = Journal(options.log)
        self.free_at = time.monotonic()
        self.lock = threading.Lock()

    def _reserve(self, size: int) -> float:
        with self.lock:
            now = time.monotonic()
            duration = size / self.options.bytes_per_s
            self.free_at = max(now, self.free_at) + duration
            return self.free_at - now

    def serve(self, environ: Environ, start_response: typing.Any) -> Body:
        """Send a model's weights at the byte rate."""
        if not environ["PATH_INFO"].startswith("/weights/"):
            return super().serve(environ, start_response)
        size = self.options.model_bytes
        self.journal.write(event="read", path=environ["PATH_INFO"])
        start_response("200 OK", [("Content-Length", str(size))])
        return self._chunks(size)

    def _chunks(self, size: int) -> collections.abc.Iterator[bytes]:
        for start in range(0, size, _WEIGHT_CHUNK_BYTES):
            length = min(_WEIGHT_CHUNK_BYTES, size - start)
            time.sleep(self._reserve(length))
            yield bytes(length)


APPLICATIONS: dict[str, type] = {
    "engine": Engine,
    "plain": Plain,
    "weights": Weights,
}


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument("--listen", required=True, help="host:port")
    common.add_argument("--threads", type=int, default=64)
    common.add_argument("--log", default="", help="append-only log file")
    whole = argparse.ArgumentParser(description="Stand-ins for servers.")
    kinds = whole.add_subparsers(dest="kind", required=True)
    engine = kinds.add_parser("engine", parents=[common])
    engine.add_argument("--slots", type=int, default=8)
    engine.add_argument("--tokens", type=int, default=32)
    engine.add_argument("--token-ms", type=float, default=20.0)
    engine.add_argument("--prefill-ms", type=float, default=50.0)
    engine.add_argument("--load-lag-ms", type=float, default=500.0)
    engine.add_argument("--load-ms", type=float, default=200.0)
    engine.add_argument("--weights", default="", help="URL of the store")
    engine.add_argument("--loaded", nargs="*", default=[], help="model@version")
    engine.add_argument("--models-kept", type=int, default=1)
    engine.add_argument("--check-fencing", action="store_true")
    engine.add_argument("--cache-entries", type=int, default=64)
    engine.add_argument("--event-lag-ms", type=float, default=300.0)
    engine.add_argument(
        "--event-gap-every", type=int, default=0, help="drop each nth event"
    )
    plain = kinds.add_parser("plain", parents=[common])
    plain.add_argument("--delay-ms", type=float, default=0.0)
    weights = kinds.add_parser("weights", parents=[common])
    weights.add_argument("--bytes-per-s", type=float, default=10e6)
    weights.add_argument("--model-bytes", type=int, default=1_000_000)
    return whole


def server(arguments: list[str]) -> wsgi.Server:
    """Return a server for these arguments, bound but not started."""
    options = parser().parse_args(arguments)
    host, _, port = options.listen.rpartition(":")
    bound = wsgi.Server(
        (host, int(port)),
        APPLICATIONS[options.kind](options),
        numthreads=options.threads,
        request_queue_size=128,
        shutdown_timeout=1,
    )
    bound.prepare()
    return bound


def main() -> None:
    """Serve until interrupted."""
    running = server(sys.argv[1:])
    print(f"listening on {running.bind_addr}", file=sys.stderr, flush=True)
    try:
        running.serve()
    except KeyboardInterrupt:
        running.stop()


if __name__ == "__main__":
    main()
