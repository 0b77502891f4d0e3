"""Command line for operators; see docs/ctl.md for commands and exit codes."""

import argparse
import collections.abc
import enum
import pathlib
import random
import sys
import time
import typing
import uuid

import msgspec
import urllib3

from flamingocleat import errors
from flamingocleat.connection import bounded
from flamingocleat.process import api_documents
from flamingocleat.process import settings as settings_module
from flamingocleat.request import explanation as explanation_module
from flamingocleat.version import difference
from flamingocleat.version import document
from flamingocleat.version import schema
from flamingocleat.version import validation

ATTEMPT_TIMEOUT_S = 12.0
"""Longer than control takes to report that an outcome is unknown."""
CONNECT_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.2
EXPLAIN_TIMEOUT_S = 5.0


class Exit(enum.IntEnum):
    """Exit codes."""

    OK = 0
    DIFFERENT = 1
    """diff: the document differs from the configuration in force."""
    USAGE = 2
    FINDINGS = 3
    CONFLICT = 4
    REFUSED = 5
    UNAVAILABLE = 6
    """No leader answered; nothing was changed."""
    UNKNOWN = 7
    """A change may or may not take effect; retry it with the same change id."""


class Reply(msgspec.Struct, frozen=True):
    """Reply of control."""

    status: int
    headers: dict[str, str]
    body: bytes


class OutcomeUnknownError(errors.FlamingocleatError):
    """A change was sent, but no definitive reply was received."""


class Client:
    """HTTP client of control; tries its voters until a definitive reply."""

    def __init__(self, settings: settings_module.CtlSettings, key: str) -> None:
        self.settings = settings
        self.key = key
        self.http = bounded.pool_manager()

    def request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: collections.abc.Mapping[str, str] | None = None,
    ) -> Reply:
        """Send a request and return the definitive reply.

        Other voters are tried if necessary.

        Raises:
            UnavailableError: No reply was received; nothing was changed.
            OutcomeUnknownError: A change may have been made.
        """
        deadline_s = time.monotonic() + self.settings.timeout_s
        all_headers = dict(headers or {})
        all_headers["Authorization"] = f"Bearer {self.key}"
        is_change = method != "GET"
        reply_lost = False
        reason = "no voter is configured"
        addresses = list(self.settings.control)
        while addresses and time.monotonic() < deadline_s:
            address = addresses.pop(0)
            reply, reason, may_have_run = self._attempt(
                method, address, path, body, all_headers
            )
            addresses.append(address)
            if reply is not None and reply.status == 307:
                self._prefer_leader(reply, addresses)
                reason = f"{address} is not the leader"
                if len(addresses) > 1:
                    continue
            elif reply is not None and reply.status < 500:
                # If an earlier reply was lost, the change may have been made
                # and may itself have revoked the key.
                is_retry = is_change and reply_lost
                if not (is_retry and reply.status == 401):
                    return reply
                reason = "the key is no longer valid after a lost answer"
                break
            else:
                reply_lost = reply_lost or may_have_run
            time.sleep(RETRY_DELAY_S * random.uniform(0.5, 1.5))
        if is_change and reply_lost:
            raise OutcomeUnknownError(f"outcome unknown: {reason}")
        raise errors.UnavailableError(f"no answer: {reason}")

    def _attempt(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
    ) -> tuple[Reply | None, str, bool]:
        """Send a request to one voter.

        Returns:
            The reply, or None if none was received; a description of the
            result for the error message of the command; and whether the
            request may have been executed.
        """
        try:
            reply = self.http.request(
                method,
                f"http://{address}{path}",
                body=body,
                headers=headers,
                redirect=False,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=ATTEMPT_TIMEOUT_S
                ),
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return None, str(error), False
        except urllib3.exceptions.HTTPError as error:
            return None, str(error), True
        answer = Reply(reply.status, dict(reply.headers), reply.data)
        reason = f"{address} answered {reply.status}: {_detail(answer)}"
        return answer, reason, _outcome(answer) != "not-run"

    def _prefer_leader(self, reply: Reply, addresses: list[str]) -> None:
        """Move the leader to the front, if it is one of the known voters."""
        location = urllib3.util.parse_url(reply.headers.get("Location", ""))
        # The key is sent to addresses from the settings only.
        if location.netloc in addresses:
            addresses.remove(location.netloc)
            addresses.insert(0, location.netloc)


def _problem(reply: Reply) -> dict[str, typing.Any]:
    try:
        found = msgspec.json.decode(reply.body)
    except msgspec.DecodeError:
        return {}
    return found if isinstance(found, dict) else {}


def _detail(reply: Reply) -> str:
    return str(_problem(reply).get("detail", ""))


def _outcome(reply: Reply) -> str:
    return str(_problem(reply).get("outcome", "unknown"))


class Result(msgspec.Struct, frozen=True, omit_defaults=True):
    """Output of a command."""

    result: str
    detail: str = ""
    change_id: str = ""
    version: int | None = None
    findings: tuple[errors.Finding, ...] = ()
    changes: tuple[difference.Change, ...] = ()
    explanation: explanation_module.Explanation | None = None
    body: msgspec.Raw = msgspec.Raw(b"null")

    def text(self) -> str:
        """Return the result as text for people."""
        lines = [str(finding) for finding in self.findings]
        lines += [str(change) for change in self.changes]
        if self.explanation is not None:
            lines += _explanation_lines(self.explanation)
        summary = self.result
        if self.version is not None:
            summary += f", version {self.version}"
        if self.change_id:
            summary += f", change id {self.change_id}"
        if self.detail:
            summary += f": {self.detail}"
        return "\n".join([*lines, summary])


def _explanation_lines(
    answer: explanation_module.Explanation,
) -> collections.abc.Iterator[str]:
    wait = "never" if answer.expected_wait_s is None else answer.expected_wait_s
    yield (
        f"route {answer.route}, service {answer.service}, priority "
        f"{answer.priority}: {answer.waiting} waiting, expected wait {wait} s"
        + (", slots left to others" if answer.leaves_slots else "")
    )
    for each in sorted(answer.servers, key=lambda server: server.cost):
        mark = "*" if each.backend == answer.chosen else " "
        yield (
            f"{mark} {each.backend} {each.group} in {each.data_centre}: "
            f"{each.in_flight} of {each.slots} slots, pace {each.pace}, cost "
            f"{each.cost} {'; '.join(each.obstacles)}"
        ).rstrip()


Command = collections.abc.Callable[[argparse.Namespace], tuple[Exit, Result]]

_COMMANDS: dict[str, Command] = {}


def command(name: str) -> collections.abc.Callable[[Command], Command]:
    """Register a command under a name."""

    def register(function: Command) -> Command:
        _COMMANDS[name] = function
        return function

    return register


def _read_document(path: str) -> tuple[str, schema.Configuration]:
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.DocumentError(
            [errors.Finding(path, 1, 1, str(error), "give a readable file")]
        ) from error
    return text, validation.check(text, path)


def _create_client(arguments: argparse.Namespace) -> Client:
    """Create a client from the settings; arguments override them."""
    if arguments.settings:
        settings = document.load(
            arguments.settings, settings_module.CtlSettings
        )
    else:
        settings = settings_module.CtlSettings(control=(), key_file="")
    changes: dict[str, typing.Any] = {}
    if arguments.control:
        changes["control"] = tuple(arguments.control)
    if arguments.key_file:
        changes["key_file"] = arguments.key_file
    if arguments.timeout is not None:
        changes["timeout_s"] = arguments.timeout
    settings = msgspec.structs.replace(settings, **changes)
    for address in settings.control:
        if not api_documents.is_address(address):
            raise _UsageError(f"{address!r} is not an IP number and port")
    if not settings.control or not settings.key_file:
        raise _UsageError("give --control and --key-file, or --settings")
    try:
        key = pathlib.Path(settings.key_file).read_text("ascii").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise _UsageError(f"cannot read the key: {error}") from error
    if not key.isprintable() or " " in key or not key:
        raise _UsageError(f"{settings.key_file} does not hold one key")
    return Client(settings, key)


class _UsageError(errors.FlamingocleatError):
    """The arguments or settings are missing or invalid."""


@command("validate")
def validate(arguments: argparse.Namespace) -> tuple[Exit, Result]:
    """Check a document without contacting control."""
    _read_document(arguments.file)
    return Exit.OK, Result("valid")


@command("diff")
def diff(arguments: argparse.Namespace) -> tuple[Exit, Result]:
    """Compare a document with the configuration in force."""
    _, new = _read_document(arguments.file)
    reply = _create_client(arguments).request("GET", "/v1/configuration")
    old, version = None, 0
    if reply.status == 200:
        old = validation.check(reply.body.decode(), "in force")
        version = int(reply.headers.get("Configuration-Version", "0"))
    elif reply.status != 404:
        return _refusal_result(reply)
    changes = difference.compare(old, new)
    result = Result(
        "different" if changes else "same", version=version, changes=changes
    )
    return (Exit.DIFFERENT if changes else Exit.OK), result


@command("explain")
def explain(arguments: argparse.Namespace) -> tuple[Exit, Result]:
    """Explain where a gateway would send a request now; send nothing."""
    if not api_documents.is_address(arguments.gateway):
        raise _UsageError(f"{arguments.gateway!r} is not an IP number and port")
    fields = {
        name: getattr(arguments, name)
        for name in ("host", "path", "model", "customer", "prompt_tokens")
        if getattr(arguments, name) is not None
    }
    url = f"http://{arguments.gateway}{explanation_module.PATH}"
    try:
        reply = bounded.pool_manager().request(
            "GET", url, fields=fields, timeout=EXPLAIN_TIMEOUT_S
        )
    except urllib3.exceptions.HTTPError as error:
        raise errors.UnavailableError(
            f"no answer from {url}: {error}"
        ) from error
    if reply.status != 200:
        raise _UsageError(reply.data.decode(errors="replace").strip())
    answer = msgspec.json.decode(
        reply.data, type=explanation_module.Explanation
    )
    return Exit.OK, Result(
        answer.decision.value,
        version=answer.version,
        explanation=answer,
    )


@command("submit")
def submit(arguments: argparse.Namespace) -> tuple[Exit, Result]:
    """Submit a document as a change to a base version."""
    text, _ = _read_document(arguments.file)
    return _change(
        arguments,
        "POST",
        "/v1/configuration",
        text.encode(),
        {
            "Base-Version": str(arguments.base_version),
            "Content-Type": "application/yaml",
        },
    )


@command("status")
def status(arguments: argparse.Namespace) -> tuple[Exit, Result]:
    """Show versions per entry, groups and VMs."""
    return _page_result(_create_client(arguments).request("GET", "/v1/status"))


@command("audit")
def audit(arguments: argparse.Namespace) -> tuple[Exit, Result]:
    """Show accepted changes."""
    path = f"/v1/audit?after={arguments.after}&limit={arguments.limit}"
    return _page_result(_create_client(arguments).request("GET", path))


@command("drain")
def drain(arguments: argparse.Namespace) -> tuple[Exit, Result]:
    """Drain a VM."""
    return _change(arguments, "POST", _drain_path(arguments))


@command("undrain")
def undrain(arguments: argparse.Namespace) -> tuple[Exit, Result]:
    """End the drain of a VM."""
    return _change(arguments, "DELETE", _drain_path(arguments))


@command("replace-voter")
def replace_voter(arguments: argparse.Namespace) -> tuple[Exit, Result]:
    """Replace a voter by one with a new voter id."""
    new = api_documents.Replacement(
        voter=arguments.new, address=arguments.address
    )
    return _change(
        arguments,
        "POST",
        f"/v1/voters/{_checked_name(arguments.old)}/replacement",
        msgspec.json.encode(new),
    )


def _drain_path(arguments: argparse.Namespace) -> str:
    return f"/v1/vms/{_checked_name(arguments.vm)}/drain"


def _checked_name(text: str) -> str:
    if not api_documents.NAME_PATTERN.fullmatch(text):
        raise _UsageError(
            f"{text!r}: use 1 to 128 letters, digits, '.', '_', ':' and '-'"
        )
    return text


def _change(
    arguments: argparse.Namespace,
    method: str,
    path: str,
    body: bytes = b"",
    headers: collections.abc.Mapping[str, str] | None = None,
) -> tuple[Exit, Result]:
    change_id = _checked_name(arguments.change_id or str(uuid.uuid4()))
    client = _create_client(arguments)
    # Printed first, so that the change can be retried after an interruption.
    print(f"change id {change_id}", file=sys.stderr, flush=True)
    all_headers = {**(headers or {}), "Change-Id": change_id}
    try:
        reply = client.request(method, path, body, all_headers)
    except OutcomeUnknownError as error:
        return Exit.UNKNOWN, Result("unknown", str(error), change_id)
    except errors.UnavailableError as error:
        return Exit.UNAVAILABLE, Result("not changed", str(error), change_id)
    if reply.status != 200:
        return _refusal_result(reply, change_id)
    version = msgspec.json.decode(reply.body, type=api_documents.ChangeReply)
    return Exit.OK, Result(
        "accepted", change_id=change_id, version=version.version
    )


def _refusal_result(reply: Reply, change_id: str = "") -> tuple[Exit, Result]:
    try:
        problem = msgspec.json.decode(
            reply.body, type=api_documents.ProblemDocument
        )
    except msgspec.DecodeError:
        return Exit.REFUSED, Result(
            "refused", f"answer {reply.status}", change_id
        )
    if problem.findings:
        code, result = Exit.FINDINGS, "findings"
    elif reply.status == 409:
        code, result = Exit.CONFLICT, "conflict"
    else:
        code, result = Exit.REFUSED, "refused"
    return code, Result(
        result,
        f"{problem.title}: {problem.detail}",
        change_id,
        problem.present_version,
        problem.findings,
    )


def _page_result(reply: Reply) -> tuple[Exit, Result]:
    if reply.status != 200:
        return _refusal_result(reply)
    return Exit.OK, Result("ok", body=msgspec.Raw(reply.body))


def _print(result: Result, output: str) -> None:
    has_body = bytes(result.body) != b"null"
    if has_body:
        body = msgspec.json.format(bytes(result.body), indent=2)
        print(body.decode() if output == "json" else _format_page(result.body))
    elif output == "json":
        print(msgspec.json.encode(result).decode())
    else:
        print(result.text())


def _format_page(body: msgspec.Raw) -> str:
    """Format a page as indented lines, with one line per list item."""
    page = msgspec.json.decode(body)
    if isinstance(page, list):
        page = {"records": page}
    lines = []
    for key, value in page.items():
        if isinstance(value, list):
            lines.append(f"{key}: {len(value)}")
            lines += [f"  {_format_item(item)}" for item in value]
        else:
            lines.append(f"{key}: {_format_item(value)}")
    return "\n".join(lines)


def _format_item(item: typing.Any) -> str:
    if not isinstance(item, dict):
        return str(item)
    return " ".join(f"{key}={value}" for key, value in item.items())


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="flamingocleat-ctl", description="Command line for operators."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    parsers: dict[str, argparse.ArgumentParser] = {}
    for name, function in _COMMANDS.items():
        parsers[name] = commands.add_parser(name, help=function.__doc__)
        parsers[name].add_argument(
            "--output", choices=["text", "json"], default="text"
        )
        parsers[name].add_argument("--settings", metavar="FILE")
        parsers[name].add_argument(
            "--control", metavar="HOST:PORT", action="append"
        )
        parsers[name].add_argument("--key-file", metavar="FILE")
        parsers[name].add_argument("--timeout", metavar="S", type=float)
    for name in ("validate", "diff", "submit"):
        parsers[name].add_argument("file")
    parsers["explain"].add_argument(
        "--gateway", metavar="HOST:PORT", required=True
    )
    parsers["explain"].add_argument("--host", required=True)
    parsers["explain"].add_argument("--path", required=True)
    parsers["explain"].add_argument("--model")
    parsers["explain"].add_argument("--customer")
    parsers["explain"].add_argument(
        "--prompt-tokens", metavar="N", type=int, dest="prompt_tokens"
    )
    parsers["submit"].add_argument("--base-version", type=int, required=True)
    parsers["audit"].add_argument("--after", type=int, default=0)
    parsers["audit"].add_argument("--limit", type=int, default=100)
    for name in ("drain", "undrain"):
        parsers[name].add_argument("vm")
    parsers["replace-voter"].add_argument("old")
    parsers["replace-voter"].add_argument("new")
    parsers["replace-voter"].add_argument("--address", required=True)
    for name in ("submit", "drain", "undrain", "replace-voter"):
        parsers[name].add_argument("--change-id")
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run one command; return its exit code."""
    arguments = _parser().parse_args(argv)
    try:
        code, result = _COMMANDS[arguments.command](arguments)
    except errors.DocumentError as error:
        code = Exit.FINDINGS
        result = Result("findings", findings=tuple(error.findings))
    except _UsageError as error:
        code, result = Exit.USAGE, Result("usage", str(error))
    except errors.UnavailableError as error:
        code, result = Exit.UNAVAILABLE, Result("unavailable", str(error))
    _print(result, arguments.output)
    return int(code)


if __name__ == "__main__":
    sys.exit(main())
