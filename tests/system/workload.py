"""Callers that run concurrently with faults, and what they were told."""

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
    places = tuple(ids.DataCentreId(d) for d in DATA_CENTRES)
    return schema.Configuration(
        operator="kontejnery",
        data_centres=tuple(
            schema.DataCentre(name=d, region="cz-central") for d in places
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
                data_centres=places,
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


def as_yaml(made: schema.Configuration) -> str:
    """Return a configuration as text; JSON is a subset of YAML."""
    return msgspec.json.encode(made).decode()


def new_key(rng: random.Random) -> str:
    """Return a UUIDv7 of now, with random bits from the generator."""
    value = int(time.time() * 1000) << 80 | rng.getrandbits(76)
    value &= ~(0xF << 76 | 0x3 << 62)
    return str(uuid.UUID(int=value | 0x7 << 76 | 0x2 << 62))


class Told(msgspec.Struct):
    """What one attempt's caller was told."""

    key: str
    request_id: str
    status: int
    outcome: str
    """answered, not-run, unknown, or lost if the connection broke."""
    body: bytes = b""
    started_s: float = 0.0
    """Monotonic time at which the attempt began."""


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
        sent = {"Authorization": f"Bearer {CUSTOMER_KEY}"}
        sent.update({k.replace("_", "-"): v for k, v in headers.items()})
        return self.http.request(
            method,
            f"http://{self.address(entry)}{path}",
            body=body,
            headers=sent,
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
        """Ask for a completion; a live reply is read by the caller."""
        body = {
            "model": MODEL,
            "stream": stream,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
        data = json.dumps(body).encode()
        path = "/v1/chat/completions"
        return self.call("POST", path, body=data, stream=live, **options)

    def order(self, key: str, entry: str, body: bytes) -> Told:
        """Send a non-repeatable call once and say what came of it."""
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
            return Told(key, request_id, 0, "lost", b"", started_s)
        outcome = "answered"
        if reply.headers.get("Content-Type") == "application/problem+json":
            outcome = json.loads(reply.data)["outcome"]
        return Told(
            key, request_id, reply.status, outcome, reply.data, started_s
        )


class Orders:
    """Threads that send orders, each key several times and by two entries."""

    def __init__(self, caller: Caller, seed: int, threads: int) -> None:
        self.caller = caller
        self.told: list[Told] = []
        self.stopping = threading.Event()
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
        """Let each thread finish the key that it is at."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _run(self, rng: random.Random) -> None:
        entries = sorted(self.caller.deployment.entries)
        while not self.stopping.is_set():
            key = new_key(rng)
            body = key.encode()
            if rng.random() < 0.2:
                self._twice_at_once(key, body, entries)
            for _ in range(3):
                told = self.caller.order(key, rng.choice(entries), body)
                self.told.append(told)
                # A caller may resend although it has its answer.
                if told.outcome == "answered" and rng.random() < 0.9:
                    break
                time.sleep(rng.random() * 0.2)

    def _twice_at_once(self, key: str, body: bytes, entries: list[str]) -> None:
        def send(entry: str) -> None:
            self.told.append(self.caller.order(key, entry, body))

        both = [threading.Thread(target=send, args=(e,)) for e in entries[:2]]
        for thread in both:
            thread.start()
        for thread in both:
            thread.join()


class Run(msgspec.Struct):
    """One run of a call, from a stand-in's journal."""

    key: str = ""
    request_id: str = ""
    body_sha256: str = ""
    time_s: float = 0.0


def read_journal(path: pathlib.Path) -> list[dict[str, typing.Any]]:
    """Return the lines of a stand-in's journal."""
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8").splitlines()
    return [json.loads(line) for line in lines]


def runs(journals: typing.Iterable[pathlib.Path]) -> list[Run]:
    """Return all runs of plain services."""
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


class Verdict(msgspec.Struct):
    """Faults found in what callers were told against what ran."""

    injected: int = 0
    """Processes killed or frozen."""
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


def check_orders(told: list[Told], ran: list[Run]) -> Verdict:
    """Compare what callers were told with what the backend servers ran."""
    verdict = Verdict(attempts=len(told))
    by_key: dict[str, list[Told]] = {}
    for item in told:
        by_key.setdefault(item.key, []).append(item)
    verdict.keys = len(by_key)
    ran_at: dict[str, list[float]] = {}
    for run in ran:
        ran_at.setdefault(run.key, []).append(run.time_s)
    # The entry adds a suffix to the id that the caller chose.
    ran_requests = {run.request_id.partition(".")[0] for run in ran}
    verdict.run_twice = [key for key, times in ran_at.items() if times[1:]]
    for key, items in by_key.items():
        answers = {i.body for i in items if i.outcome == "answered"}
        if len(answers) > 1:
            verdict.differing_answers.append(key)
        digest = hashlib.sha256(key.encode()).hexdigest()
        wrong = [a for a in answers if json.loads(a)["body_sha256"] != digest]
        if wrong or (answers and key not in ran_at):
            verdict.answered_unrun.append(key)
    for item in told:
        field = item.outcome.replace("-", "_")
        setattr(verdict, field, getattr(verdict, field) + 1)
        if item.outcome == "not-run":
            # The key itself must not have run, or a caller whose first
            # answer was lost would file its order anew. A run during this
            # attempt belongs to a concurrent one and may come later.
            before = min(ran_at.get(item.key, [item.started_s]))
            if item.request_id in ran_requests or before < item.started_s:
                verdict.false_not_run.append(item.request_id)
    return verdict
