"""Requests that come again under other ids are told from others."""

import pytest

from flamingocleat.request import request_digest

FIELDS = {
    "host": "front.example",
    "target": b"/read/x?a=1",
    "caller": "acme",
    "body": b"body",
}


def test_same_request_has_the_same_digest():
    """Guards against repetitions that look like other requests."""
    first = request_digest.digest(**FIELDS)
    assert first == request_digest.digest(**{**FIELDS, "host": "FRONT.example"})
    assert first.startswith("r:")


@pytest.mark.parametrize(
    "changes",
    [
        {"host": "other.example"},
        {"target": b"/read/x?a=2"},
        {"caller": "other"},
        {"caller": ""},
        {"body": b""},
        {"target": b"/read/x?a=1acme", "caller": ""},
        {"caller": "acmeb", "body": b"ody"},
    ],
)
def test_other_requests_have_other_digests(changes):
    """Guards against sound requests that are taken for a harmful one."""
    first = request_digest.digest(**FIELDS)
    assert first != request_digest.digest(**{**FIELDS, **changes})
