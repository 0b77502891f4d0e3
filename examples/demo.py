"""Runs the whole system on this machine and demonstrates its functions.

For each example operator: starts control, entries and backend servers, sends
requests, kills one member of a model group, waits for the repair and shuts
everything down gracefully. Exits with 0 only if every step succeeded.
"""

import argparse
import hashlib
import json
import pathlib
import secrets
import sys
import tempfile
import time
import typing
import uuid

import msgspec
import urllib3
import yaml

from examples import local
from flamingocleat.version import schema
from flamingocleat.version import validation

_EXAMPLES = pathlib.Path(__file__).resolve().parent
_VMS_PER_REPLICA = 3
_REPLICAS = 2
_CUSTOMER_KEY = "example-key-demo"


class StepError(Exception):
    """A step of the demonstration had an unexpected result."""


def load_scaled(path: pathlib.Path) -> schema.Configuration:
    """Read an example configuration with its groups scaled to one machine."""
    text = path.read_text(encoding="utf-8")
    original = validation.check(text, path.name)
    groups = tuple(
        msgspec.structs.replace(
            group,
            vms_per_replica=_VMS_PER_REPLICA,
            replicas=_REPLICAS,
            spares=1,
        )
        for group in original.model_groups
    )
    demo_customer = schema.Customer(
        name=original.customers[0].name,
        key_sha256=(hashlib.sha256(_CUSTOMER_KEY.encode()).hexdigest(),),
        services=tuple(service.name for service in original.services),
    )
    operator = schema.OperatorKey(
        name=original.operators[0].name,
        key_sha256=local.key_hash(local.OPERATOR_KEY),
    )
    return msgspec.structs.replace(
        original,
        model_groups=groups,
        customers=(demo_customer, *original.customers[1:]),
        operators=(operator, *original.operators[1:]),
    )


def as_yaml(configuration: schema.Configuration) -> str:
    """Return a configuration as the YAML document that operators submit."""
    return yaml.safe_dump(msgspec.to_builtins(configuration), sort_keys=False)


def new_key() -> str:
    """Return a UUIDv7 (RFC 9562): the current time and random bits."""
    value = int(time.time() * 1000) << 80 | secrets.randbits(76)
    value &= ~(0xF << 76 | 0x3 << 62)
    return str(uuid.UUID(int=value | 0x7 << 76 | 0x2 << 62))


class Demo:
    """The deployment of one operator and the steps demonstrated on it."""

    def __init__(self, operator: str, folder: pathlib.Path) -> None:
        self.operator = operator
        self.configuration = load_scaled(_EXAMPLES / f"{operator}.yaml")
        self.deployment = local.Deployment(folder / operator)
        self.model_service = self._service(schema.ServiceKind.MODEL)
        self.plain_service = self._service(schema.ServiceKind.PLAIN)

    def _service(self, kind: schema.ServiceKind) -> schema.Service:
        return next(s for s in self.configuration.services if s.kind == kind)

    def print_line(self, text: str) -> None:
        """Print one line of progress."""
        print(f"[{self.operator}] {text}", flush=True)

    def check(self, condition: object, text: str) -> None:
        """Print a successful step.

        Raises:
            StepError: The condition is false.
        """
        if not condition:
            raise StepError(f"{self.operator}: expected: {text}")
        self.print_line(f"ok    {text}")

    def run(self) -> None:
        """Run all steps; kill all processes afterwards, also on failure."""
        try:
            self.start()
            self.show_stream()
            self.show_read()
            self.show_order()
            self.show_refusals()
            self.show_repair()
            self.stop()
        finally:
            self.deployment.kill()

    def start(self) -> None:
        """Start all processes and submit the configuration."""
        data_centres = [d.name for d in self.configuration.data_centres]
        self.print_line("start 3 control processes, one in each data centre")
        self.deployment.start_control(data_centres)
        text = as_yaml(self.configuration)
        reply = self.deployment.submit(text, 0, f"demo-{self.operator}-1")
        self.check(reply["status"] == 200, f"configuration accepted: {reply}")
        count = _VMS_PER_REPLICA * _REPLICAS + 1
        self.print_line(f"start {count} engine VMs, 1 plain VM, 2 entries")
        for number in range(count):
            self.deployment.add_engine(
                f"vm-{number}", data_centres[0], f"{data_centres[0]}-fabric-1"
            )
        self.deployment.add_plain_service(
            "vm-plain", data_centres[0], self.plain_service.name
        )
        for number in range(2):
            self.deployment.add_entry(f"entry-{number}", data_centres[number])
        local.wait_for(self.entries_ready, "the entries to become ready")
        local.wait_for(
            lambda: self.count_serving_groups() == _REPLICAS,
            "all groups to serve",
        )
        self.check(True, f"{_REPLICAS} groups of {_VMS_PER_REPLICA} VMs serve")

    def entries_ready(self) -> bool:
        """Return whether all entries are ready."""
        return all(
            self.deployment.ready(s.listen)
            for s in self.deployment.entry_settings.values()
        )

    def groups(self) -> list[dict[str, typing.Any]]:
        """Return the groups on the leader's status page."""
        status = self.deployment.status() or {}
        return list(status.get("groups", []))

    def count_serving_groups(self) -> int:
        """Return the number of groups that serve."""
        return sum(1 for group in self.groups() if group["serving"])

    def send_request(
        self,
        method: str,
        path: str,
        body: dict[str, typing.Any] | None = None,
        entry: str = "entry-0",
        **headers: str,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request to an entry as the demo's customer."""
        address = self.deployment.entry_settings[entry].listen
        request_headers = {"Authorization": f"Bearer {_CUSTOMER_KEY}"}
        request_headers.update(
            {k.replace("_", "-"): v for k, v in headers.items()}
        )
        data = None if body is None else json.dumps(body).encode()
        if data is not None:
            request_headers["Content-Type"] = "application/json"
        return self.deployment.http.request(
            method,
            f"http://{address}{path}",
            body=data,
            headers=request_headers,
        )

    def request_completion(
        self, stream: bool = True
    ) -> urllib3.BaseHTTPResponse:
        """Request a short completion from the model service."""
        body = {
            "model": self.model_service.name,
            "stream": stream,
            "max_tokens": 12,
            "messages": [{"role": "user", "content": "summarise site 17"}],
        }
        return self.send_request("POST", "/v1/chat/completions", body)

    def show_stream(self) -> None:
        """Check that a streamed answer is complete."""
        reply = self.request_completion()
        events = reply.data.split(b"\n\n")
        self.check(
            reply.status == 200 and events[-2:] == [b"data: [DONE]", b""],
            f"whole streamed answer of {len(events) - 2} events",
        )

    def show_read(self) -> None:
        """Check an idempotent read of the plain service."""
        path = f"/services/{self.plain_service.name}/status"
        reply = self.send_request("GET", path)
        self.check(reply.status == 200, "idempotent read of the plain service")

    def show_order(self) -> None:
        """Check that a resent order gets the recorded answer.

        Sends the same idempotency key through both entries.
        """
        key = new_key()
        path = f"/services/{self.plain_service.name}/orders"
        first_reply, second_reply = (
            self.send_request(
                "POST", path, {"item": 7}, entry, Idempotency_Key=key
            )
            for entry in ("entry-0", "entry-1")
        )
        self.check(
            first_reply.status == 200, f"order answered: {first_reply.status}"
        )
        self.check(
            (second_reply.status, second_reply.data)
            == (first_reply.status, first_reply.data),
            "same key through the other entry: same recorded answer",
        )

    def show_refusals(self) -> None:
        """Check refused calls and the outcome that they report."""
        reply = self.send_request(
            "GET", "/v1/nothing", None, Authorization="Bearer wrong"
        )
        self.check(reply.status in (401, 404), "unknown customer is refused")
        path = f"/services/{self.plain_service.name}/orders"
        reply = self.send_request(
            "POST", path, {"item": 7}, Idempotency_Key="7"
        )
        problem = json.loads(reply.data)
        self.check(
            reply.status == 400 and problem["outcome"] == "not-run",
            f"malformed key is refused, not run: {problem['title']}",
        )

    def show_repair(self) -> None:
        """Kill a group member; check that its group stops and is repaired."""
        group = next(g for g in self.groups() if g["serving"])
        vm = group["members"][-1]
        self.print_line(f"kill {vm}, a member of {group['group']}")
        server = self.deployment.backend_servers[vm]
        server.agent.kill()
        server.stand_in.kill()
        started = time.monotonic()
        local.wait_for(
            lambda: self.count_serving_groups() < _REPLICAS, "the group to stop"
        )
        self.check(
            True, f"group stopped after {time.monotonic() - started:.1f} s"
        )
        reply = self.request_completion()
        self.check(
            reply.data.endswith(b"data: [DONE]\n\n"),
            "the other group answers meanwhile",
        )
        local.wait_for(
            lambda: self.count_serving_groups() == _REPLICAS, "the repair"
        )
        repaired = time.monotonic() - started
        members = [m for g in self.groups() for m in g["members"]]
        self.check(
            vm not in members and len(set(members)) == len(members),
            f"repaired with the spare after {repaired:.1f} s",
        )
        reply = self.request_completion(stream=False)
        self.check(reply.status == 200, "answers after the repair")

    def stop(self) -> None:
        """Shut all processes down gracefully."""
        statuses = self.deployment.stop()
        failed = {name: s for name, s in statuses.items() if s != 0}
        self.check(
            not failed,
            f"{len(statuses)} processes stopped gracefully"
            + (f", but {failed}" if failed else ""),
        )


def main(argv: list[str] | None = None) -> int:
    """Run the demonstration; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument(
        "--operator",
        choices=["kontejnery", "gangwon"],
        action="append",
        help="run one operator's deployment; default: both",
    )
    parser.add_argument("--folder", help="folder for logs and settings")
    arguments = parser.parse_args(argv)
    folder = arguments.folder or tempfile.mkdtemp(prefix="flamingocleat-demo-")
    try:
        for operator in arguments.operator or ["kontejnery", "gangwon"]:
            Demo(operator, pathlib.Path(folder)).run()
    except (StepError, local.LauncherError) as error:
        print(f"FAILED: {error}\nlogs are in {folder}", file=sys.stderr)
        return 1
    print("all steps went right")
    return 0


if __name__ == "__main__":
    sys.exit(main())
