"""Tests of the check that the order tests rely on."""

import hashlib
import json

from tests.system import workload

_DIGEST = hashlib.sha256(b"k").hexdigest()
_BODY = json.dumps({"body_sha256": _DIGEST}).encode()


def test_check_finds_each_fault():
    """Guards against an order check that overlooks a kind of fault.

    Double runs, false refusals, answers without a run and differing answers
    would then pass in the order tests unnoticed.
    """
    run = workload.Run("k", "r1.0123456789abcdef", _DIGEST)
    answered = workload.AttemptResult("k", "r1", 200, "answered", _BODY)
    refused = workload.AttemptResult("k", "r1", 503, "not-run")
    check = workload.check_orders
    assert check([answered], [run]).faults == []
    resent = workload.AttemptResult("k", "r2", 503, "not-run", b"", 5.0)
    assert check([resent], [run]).false_not_run == ["r2"]
    assert check([answered], [run, run]).run_twice == ["k"]
    assert check([refused], [run]).false_not_run == ["r1"]
    assert check([answered], []).answered_unrun == ["k"]
    other = workload.AttemptResult("k", "r2", 200, "answered", _BODY + b" ")
    assert check([answered, other], [run]).differing_answers == ["k"]
