"""The command line reports the outcome of a change correctly."""

import collections
import contextlib
import http.server
import json
import threading

import pytest

from flamingocleat.process import ctl
from flamingocleat.version import difference
from flamingocleat.version import validation
from tests import test_validation
from tests import voters

_LOST = "lost"
"""The scripted voter reads the request and closes without a reply."""
_ACCEPTED = (200, {}, {"change_id": "c-1", "version": 8})
_UNKNOWN = (504, {}, {"title": "t", "status": 504, "outcome": "unknown"})
_NOT_RUN = (503, {}, {"title": "t", "status": 503, "outcome": "not-run"})
_REFUSED = (
    401,
    {},
    {"title": "t", "status": 401, "detail": "d", "outcome": "not-run"},
)


class _ScriptedHandler(http.server.BaseHTTPRequestHandler):
    """Gives the scripted answers in order, then repeats the last one."""

    def do_POST(self) -> None:  # noqa: N802
        length = int(self.headers.get("Content-Length", "0"))
        body = self.rfile.read(length)
        self.server.requests.append((dict(self.headers), body))
        answers = self.server.answers
        answer = answers.popleft() if len(answers) > 1 else answers[0]
        if answer == _LOST:
            return
        status, headers, document = answer
        data = json.dumps(document).encode()
        if isinstance(document, str):
            data = document.encode()
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST  # noqa: N815
    do_DELETE = do_POST  # noqa: N815

    def log_message(self, *arguments) -> None:
        return


@contextlib.contextmanager
def _scripted_voter(*answers):
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), _ScriptedHandler)
    server.answers = collections.deque(answers)
    server.requests = []
    server.address = f"127.0.0.1:{server.server_address[1]}"
    thread = threading.Thread(target=server.serve_forever, args=(0.02,))
    thread.start()
    try:
        yield server
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


@pytest.fixture
def run(tmp_path, capsys):
    """Return a function that runs a command and returns code and output."""
    document = tmp_path / "site.yaml"
    document.write_text(voters.CONFIGURATION_TEXT)
    key = tmp_path / "key"
    key.write_text(voters.OPERATOR_KEY + "\n")

    def run_command(*arguments, addresses=(), timeout="1.5"):
        arguments = [w.replace("FILE", str(document)) for w in arguments]
        arguments += ["--output", "json"]
        if addresses:
            arguments += ["--key-file", str(key), "--timeout", timeout]
        for address in addresses:
            arguments += ["--control", address]
        code = ctl.main(arguments)
        return code, json.loads(capsys.readouterr().out)

    run_command.document = document
    return run_command


_SUBMIT = ("submit", "FILE", "--base-version", "7")


@pytest.mark.parametrize("first", [_LOST, _UNKNOWN, _NOT_RUN])
def test_resend_carries_the_same_change_id(run, first):
    """A retry must send the same change id.

    With another id the change would be applied twice.
    """
    with _scripted_voter(first) as one, _scripted_voter(_ACCEPTED) as two:
        code, result = run(*_SUBMIT, addresses=[one.address, two.address])
        sent = [h["Change-Id"] for h, _ in one.requests + two.requests]
    assert code == ctl.Exit.OK
    assert (result["version"], result["change_id"]) == (8, sent[0])
    assert len(sent) == 2
    assert len(set(sent)) == 1


@pytest.mark.parametrize(
    ("answers", "code"),
    [
        ([_LOST], ctl.Exit.UNKNOWN),
        ([_UNKNOWN], ctl.Exit.UNKNOWN),
        ([_LOST, _NOT_RUN], ctl.Exit.UNKNOWN),
        ([_LOST, _REFUSED], ctl.Exit.UNKNOWN),
        ([_NOT_RUN], ctl.Exit.UNAVAILABLE),
        ([_REFUSED], ctl.Exit.REFUSED),
    ],
)
def test_unknown_outcome_is_not_reported_as_refused(run, answers, code):
    """An unknown outcome must not be reported as refused.

    The operator would submit again what may be in force.
    """
    with _scripted_voter(*answers) as voter:
        exit_code, _ = run(*_SUBMIT, addresses=[voter.address])
    assert exit_code == code


def test_unreachable_control_changed_nothing(run):
    """If no voter is reachable, the outcome must be `not changed`."""
    with _scripted_voter(_LOST) as voter:
        address = voter.address
    code, result = run(*_SUBMIT, addresses=[address])
    assert (code, result["result"]) == (ctl.Exit.UNAVAILABLE, "not changed")


def test_conflict_reports_the_present_version(run):
    """A conflict must report the present version.

    The operator needs it as the base of the next try.
    """
    problem = {
        "title": "t",
        "status": 409,
        "detail": "d",
        "outcome": "not-run",
        "present_version": 9,
    }
    with _scripted_voter((409, {}, problem)) as voter:
        code, result = run(*_SUBMIT, addresses=[voter.address])
    assert (code, result["version"]) == (ctl.Exit.CONFLICT, 9)


def test_redirect_is_followed_to_a_known_voter_only(run):
    """Redirects must be followed only to configured voters.

    A forged redirect would obtain the operator's key.
    """
    with (
        _scripted_voter(_ACCEPTED) as leader,
        _scripted_voter(_ACCEPTED) as unknown_voter,
    ):
        for target, code in (
            (leader, ctl.Exit.OK),
            (unknown_voter, ctl.Exit.UNAVAILABLE),
        ):
            location = f"http://{target.address}/v1/configuration"
            redirect = (307, {"Location": location}, {})
            with _scripted_voter(redirect) as follower:
                addresses = [follower.address]
                if target is leader:
                    addresses += ["127.0.0.1:9", leader.address]
                assert run(*_SUBMIT, addresses=addresses)[0] == code
        assert len(leader.requests) == 1
        assert unknown_voter.requests == []


def test_faulty_document_is_not_sent(run):
    """A faulty document must not be sent.

    Each fault would cost a round trip to the control program.
    """
    run.document.write_text(voters.CONFIGURATION_TEXT + "x: 1\n")
    with _scripted_voter(_ACCEPTED) as voter:
        code, result = run(*_SUBMIT, addresses=[voter.address])
        assert voter.requests == []
    assert code == ctl.Exit.FINDINGS
    assert result["findings"][0]["file"] == str(run.document)
    assert run("validate", "FILE")[0] == ctl.Exit.FINDINGS


def test_diff_reports_changes(run):
    """`diff` must report each change. A reviewer would miss it otherwise."""
    headers = {"Configuration-Version": "7"}
    old = voters.CONFIGURATION_TEXT.replace("replicas: 2", "replicas: 3")
    with _scripted_voter(
        (200, headers, old), (200, headers, voters.CONFIGURATION_TEXT)
    ) as voter:
        code, result = run("diff", "FILE", addresses=[voter.address])
        assert code == ctl.Exit.DIFFERENT
        assert result["changes"] == [
            {"path": "model_groups[drafting].replicas", "old": "3", "new": "2"}
        ]
        code, result = run("diff", "FILE", addresses=[voter.address])
        assert (code, result["version"]) == (ctl.Exit.OK, 7)


def test_missing_settings_are_a_usage_error(run):
    """Missing settings must be a usage error.

    A traceback would hide what is missing.
    """
    assert run("status")[0] == ctl.Exit.USAGE
    assert run("status", addresses=["control-1:80"])[0] == ctl.Exit.USAGE
    code, _ = run("drain", "a/b", addresses=["127.0.0.1:9"])
    assert code == ctl.Exit.USAGE


def test_difference_matches_items_by_name():
    """List items must be compared by name.

    Otherwise a reordered list differs in each of its items.
    """
    text = test_validation.VALID
    reordered = text.replace(
        "  - {name: drafting-llm, kind: model}\n", ""
    ).replace(
        "model_groups:", "  - {name: drafting-llm, kind: model}\nmodel_groups:"
    )
    old, new = (validation.check(t, "c.yaml") for t in (text, reordered))
    assert old != new
    assert difference.compare(old, new) == ()
    paths = [c.path for c in difference.compare(None, new)]
    assert "customers[skips]" in paths
