"""Concurrent callers under faults, and checks of the results they got."""

import hashlib
import json
import pathlib
import random
import threading
import time
import typing
import uuid

import msgspec
import urllib3

from examples import local
from flamingocleat import ids
from flamingocleat.version import schema

CUSTOMER_KEY = "system-test-customer"
MODEL = ids.ServiceId("drafting-llm")
PLAIN = ids.ServiceId("permit-desk")
DATA_CENTRES = ("praha-a", "praha-b", "kladno")


def configuration(
    replicas: int = 2,
    vms_per_replica: int = 3,
    stale: schema.StaleConfiguration = schema.StaleConfiguration.REFUSE,
    **group: typing.Any,
) -> schema.Configuration:
    """Return a small configuration with one model and one plain service."""
    data_centres = tuple(ids.DataCentreId(d) for d in DATA_CENTRES)
    return schema.Configuration(
        operator="kontejnery",
        data_centres=tuple(
            schema.DataCentre(name=d, region="cz-central") for d in data_centres
        ),
        services=(
            schema.Service(name=MODEL, kind=schema.ServiceKind.MODEL),
            schema.Service(name=PLAIN, kind=schema.ServiceKind.PLAIN),
        ),
        model_groups=(
            schema.ModelGroup(
                name="drafting",
                service=MODEL,
                model="drafting-70b",
                model_version="1",
                vms_per_replica=vms_per_replica,
                replicas=replicas,
                data_centres=data_centres,
                **group,
            ),
        ),
        customers=(
            schema.Customer(
                name=ids.CustomerId("permit-office"),
                key_sha256=(local.key_hash(CUSTOMER_KEY),),
                services=(MODEL, PLAIN),
            ),
        ),
        operators=(
            schema.OperatorKey(
                name=ids.OperatorId("night-operator"),
                key_sha256=local.key_hash(local.OPERATOR_KEY),
            ),
        ),
        policy=schema.Policy(stale_configuration=stale),
    )


def as_yaml(document: schema.Configuration) -> str:
    """Return a configuration as YAML text; JSON is a subset of YAML."""
    return msgspec.json.encode(document).decode()


def new_key(rng: random.Random) -> str:
    """Return a UUIDv7 of the current time and bits from the generator."""
    value = int(time.time() * 1000) << 80 | rng.getrandbits(76)
    value &= ~(0xF << 76 | 0x3 << 62)
    return str(uuid.UUID(int=value | 0x7 << 76 | 0x2 << 62))


class AttemptResult(msgspec.Struct):
    """The result of one attempt, as its caller received it."""

    key: str
    request_id: str
    status: int
    outcome: str
    """answered, not-run, unknown, or lost if the connection failed."""
    body: bytes = b""
    started_s: float = 0.0
    """Monotonic time at the start of the attempt."""


class Caller:
    """Sends calls to the entries of a deployment."""

    def __init__(self, deployment: local.Deployment) -> None:
        self.deployment = deployment
        self.http = urllib3.PoolManager(
            retries=False, maxsize=64, timeout=urllib3.Timeout(5.0, 60.0)
        )

    def address(self, entry: str) -> str:
        return self.deployment.entry_settings[entry].listen

    def call(
        self,
        method: str,
        path: str,
        entry: str = "entry-0",
        body: bytes | None = None,
        stream: bool = False,
        **headers: str,
    ) -> urllib3.BaseHTTPResponse:
        request_headers = {"Authorization": f"Bearer {CUSTOMER_KEY}"}
        request_headers.update(
            {k.replace("_", "-"): v for k, v in headers.items()}
        )
        return self.http.request(
            method,
            f"http://{self.address(entry)}{path}",
            body=body,
            headers=request_headers,
            preload_content=not stream,
        )

    def complete(
        self,
        prompt: str,
        tokens: int = 20,
        stream: bool = True,
        live: bool = False,
        **options: str,
    ) -> urllib3.BaseHTTPResponse:
        """Request a completion.

        With `live`, the body is not read ahead: the caller reads it as it
        arrives.
        """
        body = {
            "model": MODEL,
            "stream": stream,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
        data = json.dumps(body).encode()
        path = "/v1/chat/completions"
        return self.call("POST", path, body=data, stream=live, **options)

    def order(self, key: str, entry: str, body: bytes) -> AttemptResult:
        """Send a non-repeatable call once and return its result."""
        request_id = str(uuid.uuid4())
        started_s = time.monotonic()
        try:
            reply = self.call(
                "POST",
                f"/services/{PLAIN}/orders",
                entry,
                body,
                Idempotency_Key=key,
                X_Request_Id=request_id,
                X_Request_Timeout_Ms="4000",
            )
        except urllib3.exceptions.HTTPError:
            return AttemptResult(key, request_id, 0, "lost", b"", started_s)
        outcome = "answered"
        if reply.headers.get("Content-Type") == "application/problem+json":
            outcome = json.loads(reply.data)["outcome"]
        return AttemptResult(
            key, request_id, reply.status, outcome, reply.data, started_s
        )


class OrderGenerator:
    """Threads that send orders, each key several times and by two entries."""

    def __init__(self, caller: Caller, seed: int, threads: int) -> None:
        self.caller = caller
        self.results: list[AttemptResult] = []
        self.stop_requested = threading.Event()
        self.threads = [
            threading.Thread(
                target=self._run, args=(random.Random(seed * 1000 + n),)
            )
            for n in range(threads)
        ]

    def start(self) -> None:
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stop the threads once each has finished its current key."""
        self.stop_requested.set()
        for thread in self.threads:
            thread.join()

    def _run(self, rng: random.Random) -> None:
        entries = sorted(self.caller.deployment.entries)
        while not self.stop_requested.is_set():
            key = new_key(rng)
            body = key.encode()
            if rng.random() < 0.2:
                self._send_concurrently(key, body, entries)
            for _ in range(3):
                result = self.caller.order(key, rng.choice(entries), body)
                self.results.append(result)
                # Some callers resend although they have the answer.
                if result.outcome == "answered" and rng.random() < 0.9:
                    break
                time.sleep(rng.random() * 0.2)

    def _send_concurrently(
        self, key: str, body: bytes, entries: list[str]
    ) -> None:
        def send_order(entry: str) -> None:
            self.results.append(self.caller.order(key, entry, body))

        pair = [
            threading.Thread(target=send_order, args=(e,)) for e in entries[:2]
        ]
        for thread in pair:
            thread.start()
        for thread in pair:
            thread.join()


class Run(msgspec.Struct):
    """One run of a call, from a stand-in's journal."""

    key: str = ""
    request_id: str = ""
    body_sha256: str = ""
    time_s: float = 0.0


def read_journal(path: pathlib.Path) -> list[dict[str, typing.Any]]:
    """Return the parsed lines of a stand-in's journal."""
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8").splitlines()
    return [json.loads(line) for line in lines]


def read_runs(journals: typing.Iterable[pathlib.Path]) -> list[Run]:
    """Return all runs that plain services recorded."""
    return [
        Run(
            line["key"],
            line["request_id"],
            line["body_sha256"],
            line["monotonic_s"],
        )
        for path in journals
        for line in read_journal(path)
        if line["event"] == "run"
    ]


class CheckResult(msgspec.Struct):
    """Counts of attempts, and contradictions between results and runs."""

    injected: int = 0
    """Processes killed or paused."""
    keys: int = 0
    attempts: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    lost: int = 0
    run_twice: list[str] = []
    false_not_run: list[str] = []
    answered_unrun: list[str] = []
    differing_answers: list[str] = []

    @property
    def faults(self) -> list[str]:
        return (
            self.run_twice
            + self.false_not_run
            + self.answered_unrun
            + self.differing_answers
        )


def check_orders(results: list[AttemptResult], runs: list[Run]) -> CheckResult:
    """Compare the results of callers with the runs on the backend servers."""
    check_result = CheckResult(attempts=len(results))
    by_key: dict[str, list[AttemptResult]] = {}
    for result in results:
        by_key.setdefault(result.key, []).append(result)
    check_result.keys = len(by_key)
    run_times: dict[str, list[float]] = {}
    for run in runs:
        run_times.setdefault(run.key, []).append(run.time_s)
    # The entry appends a suffix to the request id that the caller sent.
    executed_request_ids = {run.request_id.partition(".")[0] for run in runs}
    check_result.run_twice = [
        key for key, times in run_times.items() if times[1:]
    ]
    for key, key_results in by_key.items():
        answer_bodies = {i.body for i in key_results if i.outcome == "answered"}
        if len(answer_bodies) > 1:
            check_result.differing_answers.append(key)
        digest = hashlib.sha256(key.encode()).hexdigest()
        wrong = [
            a for a in answer_bodies if json.loads(a)["body_sha256"] != digest
        ]
        if wrong or (answer_bodies and key not in run_times):
            check_result.answered_unrun.append(key)
    for result in results:
        field = result.outcome.replace("-", "_")
        setattr(check_result, field, getattr(check_result, field) + 1)
        if result.outcome == "not-run":
            # The key must not have run before this attempt, or a caller that
            # lost its first answer would place the order again under a new
            # key. A run during this attempt belongs to a concurrent attempt
            # and is allowed.
            first_run_s = min(run_times.get(result.key, [result.started_s]))
            if (
                result.request_id in executed_request_ids
                or first_run_s < result.started_s
            ):
                check_result.false_not_run.append(result.request_id)
    return check_result
