"""Faulty configurations are refused with all findings and their lines."""

import pytest

from flamingocleat import errors
from flamingocleat.version import validation

_HASH = "0" * 63

VALID = f"""\
operator: kontejnery
data_centres:
  - {{name: praha-a, region: cz-central}}
services:
  - {{name: drafting-llm, kind: model}}
  - name: permit-desk
    kind: plain
    calls:
      - {{method: POST, path: /renewals, repeatable: false}}
model_groups:
  - name: drafting
    service: drafting-llm
    model: drafter
    model_version: "7"
    vms_per_replica: 4
    replicas: 2
    data_centres: [praha-a]
customers:
  - name: skips
    key_sha256: [{_HASH}a]
    services: [drafting-llm]
operators:
  - {{name: jana, key_sha256: {_HASH}b}}
"""


def _findings(text: str) -> list[errors.Finding]:
    with pytest.raises(errors.DocumentError) as error_info:
        validation.check(text, "c.yaml")
    return error_info.value.findings


def test_accepts_a_valid_document():
    """A valid document must be accepted.

    A rule that is too strict would refuse all submissions.
    """
    assert validation.check(VALID, "c.yaml").operator == "kontejnery"


@pytest.mark.parametrize(
    ("old", "new", "line", "message"),
    [
        ("service: drafting-llm", "service: llm", 12, "is not declared"),
        ("service: drafting-llm", "service: llm", 5, "has no model group"),
        ("service: drafting-llm", "service: permit-desk", 12, "plain service"),
        ("[praha-a]", "[praha-a, praha-c]", 17, "'praha-c' is not declared"),
        ("[praha-a]", "[praha-a, praha-a]", 17, "is repeated"),
        ("[praha-a]", "[]", 17, "has no data centre"),
        ("services: [drafting-llm]", "services: [x]", 21, "is not declared"),
        ("name: permit-desk", "name: drafting-llm", 6, "is repeated"),
        (f"{_HASH}b", f"{_HASH}a", 23, "is repeated"),
        (f"{_HASH}b", _HASH, 23, "not a SHA-256"),
        (f"{_HASH}b", _HASH + "B", 23, "not a SHA-256"),
        ("vms_per_replica: 4", "vms_per_replica: 33", 15, "is 33"),
        ("vms_per_replica: 4", "vms_per_replica: 0", 15, "is 0"),
        ("replicas: 2", "replicas: -1", 16, "is -1"),
        ("name: drafting\n", "name: a/b\n", 11, "not a valid name"),
        ("path: /renewals", "path: renewals", 9, "does not begin"),
        ("model: drafter", "model: dra@fter", 13, "'dra@fter'"),
        ("plain\n", "plain\n    timeout_ms: 700000\n", 8, "is 700000"),
        ("region: cz-central", "region: ''", 3, "not a valid name"),
        (VALID[VALID.index("operators:") :], "operators: []", 22, "no op"),
        (VALID, VALID + "policy: {downtime_weight: .nan}", 24, "is nan"),
        (VALID, VALID + "policy: {staleness_limit_s: 1}", 24, "is 1.0"),
        (VALID, VALID + "policy: {staleness_limit_s: .nan}", 24, "is nan"),
    ],
)
def test_finds_a_fault_and_its_line(old, new, line, message):
    """Each fault must be found and its line reported.

    An accepted fault would be in force everywhere within seconds.
    """
    assert old in VALID
    findings = _findings(VALID.replace(old, new, 1))
    assert [f for f in findings if f.line == line and message in f.message]
    assert all(f.remedy for f in findings)


def test_reports_syntax_and_reference_findings_together():
    """Syntax and reference findings must be reported together.

    In two rounds they would cost the operator two reviews.
    """
    text = VALID.replace("replicas: 2", "replicas: two")
    text = text.replace("services: [drafting-llm]", "services: [x]")
    text = text.replace("- name: skips\n    key", "- key")
    assert [f.line for f in _findings(text)] == [16, 19, 20]


@pytest.mark.parametrize(
    "text",
    [
        "[" * 100_000,
        "operator: &a [*a]",
        "services: &a {services: *a}",
        'policy: {staleness_limit_s: "["}',
        "services: [null, 3, {kind: {a: b}}]\npolicy: 7",
        "data_centres: {}\ncustomers: [{key_sha256: [[]], services: 3}]",
    ],
)
def test_malformed_documents_give_findings(text):
    """Malformed documents must give findings, not exceptions.

    An exception would hide the fault, and the submission would get a 500 reply.
    """
    assert _findings(text)
