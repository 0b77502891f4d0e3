"""What the soak's check of lost calls excuses."""

import signal
import types

import pytest

from tests.platform import answer_watch


@pytest.mark.parametrize(
    ("signals", "is_lost"),
    [
        ([], True),
        ([(9.0, signal.SIGHUP)], True),
        ([(9.0, signal.SIGKILL)], False),
    ],
)
def test_reload_of_a_coordinator_excuses_no_lost_call(signals, is_lost):
    """Guards against a check that passes over all calls beside a reload."""
    gateway = types.SimpleNamespace(
        node="gateway-1",
        signals=[],
        disturbed_s=[],
        address=lambda _port: "127.0.0.1:1",
    )
    call = answer_watch.Call(
        gateway="127.0.0.1:1",
        connection="c",
        link_s=0.0,
        sent_s=10.0,
        ended_s=11.0,
        outcome=answer_watch.Outcome.CUT,
    )
    server = types.SimpleNamespace(name="s1")
    run = answer_watch.Run(server, None, 10.1, 11.0)
    soak = types.SimpleNamespace(
        gateways=[gateway],
        coordinators=[types.SimpleNamespace(signals=signals, disturbed_s=[])],
        front_port=1,
        started_s=0.0,
        invariants=types.SimpleNamespace(runs_by_call={"id-1": [run]}),
    )
    watch = answer_watch.AnswerWatch(soak)
    watch._check_lost("id-1", call)
    assert bool(watch.lost) == is_lost
