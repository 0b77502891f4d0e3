"""Stand-ins for external servers: model engine, plain service, weight store.

Run one with `python -m examples.standins engine --listen 127.0.0.1:9000`.

Control endpoints of the engine (JSON bodies):

- `GET /-/status`: load, loaded models and highest fencing number seen;
  `age_ms` is the age of the load figures.
- `POST /-/orders`: `{"order": "load", "model", "version", "fence"}` starts
  loading a model and returns at once; `{"order": "role", "role", "fence"}`
  changes the role. `fence` may be omitted for a preload.
- `POST /-/cancel`: `{"attempt": ...}` cancels the call whose `Attempt-Id`
  header has this value.
- `GET /-/events?after=N`: published cache events with a sequence number
  above N.
- `GET /-/cache`: all cached prefixes and the sequence number of the last
  event.

A prefix is the first 8 bytes of the SHA-256 of the first message's content,
in hexadecimal. The only control endpoint of the plain service is
`GET /-/load`.
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
    """A JSON response; raise it to end the handling of a request."""

    def __init__(self, status: int, **fields: object) -> None:
        super().__init__(status)
        self.status = status
        self.body = json.dumps(fields).encode()


class Journal:
    """Append-only log of JSON lines, each written by a single write call."""

    def __init__(self, path: str) -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self.file = os.open(path, flags, 0o644) if path else -1

    def write(self, **fields: object) -> None:
        """Append one line with the current monotonic time."""
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
        """Handle one request."""
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
        """Handle a request that matches no route."""
        raise Reply(404, error=f"no path {environ['PATH_INFO']}")


def read_body(environ: Environ) -> bytes:
    """Return the request body."""
    return environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))


def read_json(environ: Environ) -> dict[str, typing.Any]:
    """Parse the request body as a JSON object."""
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
    """Return the token at `index` of the answer to a body with this digest."""
    return hashlib.sha256(digest + index.to_bytes(4, "big")).hexdigest()[:6]


def event(digest: bytes, index: int) -> bytes:
    """Return the token at `index` as a server-sent event."""
    choice = {"index": 0, "delta": {"content": token(digest, index) + " "}}
    fields = {
        "id": f"chatcmpl-{digest.hex()[:12]}",
        "object": "chat.completion.chunk",
        "choices": [choice],
    }
    return b"data: " + json.dumps(fields).encode() + b"\n\n"


DONE = b"data: [DONE]\n\n"


def stream(body: bytes, tokens: int, offset: int = 0) -> bytes:
    """Return the complete stream that an engine sends for a request body."""
    digest = hashlib.sha256(body).digest()
    events = (event(digest, i) for i in range(offset, tokens))
    return b"".join(events) + DONE


class Slots:
    """Batch slots, granted to waiting calls by priority, then by arrival."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.running = 0
        self.waiting: list[tuple[int, int]] = []
        self.counter = itertools.count()
        self.changed = threading.Condition()

    def acquire(self, priority: int, cancelled: threading.Event) -> bool:
        """Wait for a slot; return False if the call is cancelled first."""
        ticket = priority, next(self.counter)
        with self.changed:
            heapq.heappush(self.waiting, ticket)
            self.changed.wait_for(
                lambda: cancelled.is_set() or self._is_next(ticket)
            )
            self.waiting.remove(ticket)
            heapq.heapify(self.waiting)
            self.changed.notify_all()
            if cancelled.is_set():
                return False
            self.running += 1
            return True

    def release(self) -> None:
        """Free a slot."""
        with self.changed:
            self.running -= 1
            self.changed.notify_all()

    def notify(self) -> None:
        """Wake the waiting calls to check whether they were cancelled."""
        with self.changed:
            self.changed.notify_all()

    def _is_next(self, ticket: tuple[int, int]) -> bool:
        return self.running < self.size and self.waiting[0] == ticket


class PrefixCache:
    """LRU cache of prompt prefixes that publishes its changes as events."""

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
        """Add a prefix to the cache; return whether it was there already."""
        with self.lock:
            was_cached = prefix in self.prefixes
            self.prefixes[prefix] = None
            self.prefixes.move_to_end(prefix)
            if not was_cached:
                self._publish(prefix, True)
            if len(self.prefixes) > self.size:
                evicted, _ = self.prefixes.popitem(last=False)
                self._publish(evicted, False)
            return was_cached

    def _publish(self, prefix: str, present: bool) -> None:
        self.sequence += 1
        if self.gap_every and self.sequence % self.gap_every == 0:
            return
        self.events.append((time.monotonic(), self.sequence, prefix, present))

    def events_after(self, after: int) -> list[dict[str, object]]:
        """Return later events that the publication delay has passed for."""
        newest_visible_s = time.monotonic() - self.lag_s
        with self.lock:
            return [
                {"sequence": sequence, "prefix": prefix, "present": present}
                for recorded_s, sequence, prefix, present in self.events
                if sequence > after and recorded_s <= newest_visible_s
            ]


class Engine(Application):
    """Stand-in model engine with continuous batching."""

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
        self.cancel_events: dict[str, threading.Event] = {}
        self.lock = threading.Lock()
        self.load_report = (0, 0, time.monotonic())
        threading.Thread(target=self._refresh_load_report, daemon=True).start()
        self.routes = {
            ("GET", "/-/status"): self.status,
            ("POST", "/-/orders"): self.order,
            ("POST", "/-/cancel"): self.cancel,
            ("GET", "/-/events"): self.events,
            ("GET", "/-/cache"): self.cache_contents,
        }

    def _refresh_load_report(self) -> None:
        while True:
            self.load_report = (
                self.slots.running,
                len(self.slots.waiting),
                time.monotonic(),
            )
            time.sleep(max(0.01, self.options.load_lag_ms / 1000))

    def status(self, environ: Environ) -> Reply:
        """Return load, models, role and fencing number."""
        running, waiting, recorded_s = self.load_report
        return Reply(
            200,
            running=running,
            waiting=waiting,
            slots=self.slots.size,
            age_ms=int((time.monotonic() - recorded_s) * 1000),
            loaded=self.loaded,
            loading=sorted(self.loading),
            role=self.role,
            fence=self.fence,
        )

    def check_fence(self, fence: int) -> None:
        """Reject an old fencing number if the engine checks them."""
        with self.lock:
            if self.options.check_fencing and fence < self.fence:
                raise Reply(
                    409,
                    error=f"fencing number {fence} is older than {self.fence}",
                )
            self.fence = max(self.fence, fence)

    def order(self, environ: Environ) -> Reply:
        """Execute an order to load a model or to change the role."""
        order = read_json(environ)
        self.journal.write(event="order", **order)
        if "fence" in order:
            self.check_fence(order["fence"])
        if order["order"] == "role":
            self.role = order["role"]
        elif order["order"] == "load":
            self._start_load(f"{order['model']}@{order['version']}")
        else:
            return Reply(400, error=f"unknown order {order['order']!r}")
        return Reply(202)

    def _start_load(self, model: str) -> None:
        with self.lock:
            if model in self.loaded or model in self.loading:
                return
            self.loading.add(model)
        threading.Thread(
            target=self._run_load, args=(model,), daemon=True
        ).start()

    def _run_load(self, model: str) -> None:
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
            retained = self.loaded[-(self.options.models_kept - 1) :]
            self.loaded = [
                *(retained if self.options.models_kept > 1 else []),
                model,
            ]
        self.journal.write(event="loaded", model=model)

    def cancel(self, environ: Environ) -> Reply:
        """Cancel the call of the given attempt."""
        attempt = read_json(environ)["attempt"]
        cancel_event = self.cancel_events.get(attempt)
        if cancel_event:
            cancel_event.set()
            self.slots.notify()
        return Reply(200, cancelled=cancel_event is not None)

    def events(self, environ: Environ) -> Reply:
        """Return published cache events."""
        return Reply(
            200, events=self.cache.events_after(query(environ, "after", 0))
        )

    def cache_contents(self, environ: Environ) -> Reply:
        """Return all cached prefixes."""
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
            answer = b"".join(call.events())
            if not answer.endswith(DONE):
                raise Reply(503, error="cancelled")
            raise call.completion()
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return call.events()


class EngineCall:
    """One chat completion in an engine."""

    def __init__(self, engine: Engine, environ: Environ, body: bytes) -> None:
        try:
            request = json.loads(body)
            content = str(request["messages"][0]["content"])
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
        self.prefix = hashlib.sha256(content.encode()).hexdigest()[:16]
        self.digest = hashlib.sha256(body).digest()
        self.cancelled = threading.Event()

    def log(self, name: str, **fields: object) -> None:
        """Write an event of this call to the engine's journal."""
        self.engine.journal.write(
            event=name,
            request_id=self.request_id,
            attempt=self.attempt,
            fence=self.fence,
            **fields,
        )

    def events(self) -> collections.abc.Iterator[bytes]:
        """Yield server-sent events, ending with `DONE` unless cancelled."""
        self.engine.cancel_events[self.attempt] = self.cancelled
        self.log("arrived", offset=self.offset)
        sent = 0
        acquired = False
        try:
            acquired = self.engine.slots.acquire(self.priority, self.cancelled)
            if not acquired:
                return
            self.log("started")
            if not self.engine.cache.use(self.prefix):
                self.cancelled.wait(self.engine.options.prefill_ms / 1000)
            for index in range(self.offset, self.tokens):
                if self.cancelled.wait(self.engine.options.token_ms / 1000):
                    return
                yield event(self.digest, index)
                sent += 1
            yield DONE
        finally:
            if acquired:
                self.engine.slots.release()
            self.engine.cancel_events.pop(self.attempt, None)
            complete = self.offset + sent >= self.tokens
            self.log("ended", tokens=sent, whole=complete)

    def completion(self) -> Reply:
        """Return the complete answer to a call that is not streamed."""
        words = (token(self.digest, i) + " " for i in range(self.tokens))
        message = {"role": "assistant", "content": "".join(words)}
        return Reply(
            200,
            id=f"chatcmpl-{self.digest.hex()[:12]}",
            object="chat.completion",
            choices=[{"index": 0, "message": message, "finish_reason": "stop"}],
        )


# Plain service.


class PlainService(Application):
    """Service that records each call that it executes.

    The query parameters `size` and `delay_ms` set the size of the filler in
    the answer and the duration of the call.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__()
        self.options = options
        self.journal = Journal(options.log)
        self.counter = itertools.count(1)
        self.running = 0
        self.lock = threading.Lock()
        self.routes = {("GET", "/-/load"): self.load}

    def load(self, environ: Environ) -> Reply:
        """Return the load."""
        return Reply(
            200,
            running=self.running,
            waiting=0,
            slots=self.options.threads,
            age_ms=0,
        )

    def serve(self, environ: Environ, start_response: typing.Any) -> Body:
        """Execute a call and return its run number."""
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


class WeightStore(Application):
    """Store whose concurrent readers share one bandwidth limit."""

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__()
        self.options = options
        self.journal = Journal(options.log)
        self.next_free_s = time.monotonic()
        self.lock = threading.Lock()

    def _reserve_s(self, size: int) -> float:
        with self.lock:
            now = time.monotonic()
            duration = size / self.options.bytes_per_s
            self.next_free_s = max(now, self.next_free_s) + duration
            return self.next_free_s - now

    def serve(self, environ: Environ, start_response: typing.Any) -> Body:
        """Send the weights of a model at the configured bandwidth."""
        if not environ["PATH_INFO"].startswith("/weights/"):
            return super().serve(environ, start_response)
        size = self.options.model_bytes
        self.journal.write(event="read", path=environ["PATH_INFO"])
        start_response("200 OK", [("Content-Length", str(size))])
        return self._chunks(size)

    def _chunks(self, size: int) -> collections.abc.Iterator[bytes]:
        for start in range(0, size, _WEIGHT_CHUNK_BYTES):
            length = min(_WEIGHT_CHUNK_BYTES, size - start)
            time.sleep(self._reserve_s(length))
            yield bytes(length)


APPLICATIONS: dict[str, type] = {
    "engine": Engine,
    "plain": PlainService,
    "weights": WeightStore,
}


def create_parser() -> argparse.ArgumentParser:
    """Return the command-line parser."""
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument("--listen", required=True, help="host:port")
    common.add_argument("--threads", type=int, default=64)
    common.add_argument("--log", default="", help="append-only log file")
    root_parser = argparse.ArgumentParser(
        description="Run a stand-in for an external server."
    )
    subparsers = root_parser.add_subparsers(dest="kind", required=True)
    engine = subparsers.add_parser("engine", parents=[common])
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
    plain = subparsers.add_parser("plain", parents=[common])
    plain.add_argument("--delay-ms", type=float, default=0.0)
    weights = subparsers.add_parser("weights", parents=[common])
    weights.add_argument("--bytes-per-s", type=float, default=10e6)
    weights.add_argument("--model-bytes", type=int, default=1_000_000)
    return root_parser


def create_server(arguments: list[str]) -> wsgi.Server:
    """Return a server that is bound to its address but not started."""
    options = create_parser().parse_args(arguments)
    host, _, port = options.listen.rpartition(":")
    http_server = wsgi.Server(
        (host, int(port)),
        APPLICATIONS[options.kind](options),
        numthreads=options.threads,
        request_queue_size=128,
        shutdown_timeout=1,
    )
    http_server.prepare()
    return http_server


def main() -> None:
    """Serve until interrupted."""
    http_server = create_server(sys.argv[1:])
    print(f"listening on {http_server.bind_addr}", file=sys.stderr, flush=True)
    try:
        http_server.serve()
    except KeyboardInterrupt:
        http_server.stop()


if __name__ == "__main__":
    main()
