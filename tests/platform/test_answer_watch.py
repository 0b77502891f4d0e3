"""What the soak's checks of lost and overdue calls excuse."""

import signal
import types

import pytest

from tests.platform import answer_watch

Outcome = answer_watch.Outcome


def make_program(**fields):
    program = types.SimpleNamespace(
        node="program-1",
        signals=[],
        disturbed_s=[],
        start_times_s=[],
        address=lambda _port: "127.0.0.1:1",
    )
    program.__dict__.update(fields)
    return program


def make_call(took_s, outcome, **fields):
    return answer_watch.Call(
        gateway="127.0.0.1:1",
        connection="c",
        link_s=0.0,
        sent_s=10.0,
        ended_s=10.0 + took_s,
        outcome=outcome,
        **fields,
    )


def make_watch(gateway, coordinator, calls=()):
    """Return the watch of a run in which a sound server got each call."""
    violations = []
    server = types.SimpleNamespace(name="s1")
    runs = {
        f"id-{number}": [answer_watch.Run(server, None, 10.1, call.ended_s)]
        for number, call in enumerate(calls, 1)
    }
    soak = types.SimpleNamespace(
        gateways=[gateway],
        coordinators=[coordinator],
        front_port=1,
        started_s=0.0,
        calls={f"id-{number}": call for number, call in enumerate(calls, 1)},
        invariants=types.SimpleNamespace(
            runs_by_call=runs,
            violations=violations,
            record_violation=lambda name, _detail: violations.append(name),
        ),
    )
    return answer_watch.AnswerWatch(soak)


def find_overdue(calls, gateway=None, coordinator=None):
    """Return the watch after its check of overdue calls."""
    watch = make_watch(
        gateway or make_program(), coordinator or make_program(), calls
    )
    for request_id, call in watch.soak.calls.items():
        watch._check_overdue(request_id, call)
    watch._check_overdue_fraction()
    return watch


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
    call = make_call(1.0, Outcome.CUT)
    watch = make_watch(make_program(), make_program(signals=signals), [call])
    watch._check_lost("id-1", call)
    assert bool(watch.lost) == is_lost


@pytest.mark.parametrize(
    ("call", "is_overdue"),
    [
        (make_call(3.9, Outcome.ANSWERED, head_s=13.9), False),
        (make_call(4.4, Outcome.ANSWERED, head_s=14.4), False),
        (make_call(4.6, Outcome.ANSWERED, head_s=14.6), True),
        (make_call(4.6, Outcome.ANSWERED, head_s=11.0), True),
        (make_call(4.2, Outcome.CUT), True),
        (make_call(4.2, Outcome.CUT, head_s=11.0), False),
        (make_call(6.0, Outcome.TIMED_OUT), True),
        (make_call(6.0, Outcome.TIMED_OUT, head_s=11.0), True),
        (
            make_call(4.6, Outcome.ANSWERED, head_s=11.0, reads_slowly=True),
            False,
        ),
        (
            make_call(4.6, Outcome.ANSWERED, head_s=14.6, reads_slowly=True),
            True,
        ),
        (
            make_call(6.0, Outcome.TIMED_OUT, head_s=11.0, reads_slowly=True),
            True,
        ),
    ],
)
def test_call_at_its_timeout_needs_an_answer(call, is_overdue):
    """Guards against calls that end with neither answer nor close."""
    watch = find_overdue([call])
    assert bool(watch.overdue) == is_overdue
    assert bool(watch.soak.invariants.violations) == is_overdue
    assert watch.counts["overdue_sound"] == is_overdue


@pytest.mark.parametrize(
    ("fields", "is_overdue"),
    [
        ({}, True),
        ({"signals": [(9.0, signal.SIGHUP)]}, True),
        ({"signals": [(5.9, signal.SIGKILL)]}, True),
        ({"signals": [(14.6, signal.SIGKILL)]}, True),
        ({"signals": [(9.0, signal.SIGKILL)]}, False),
        ({"signals": [(14.4, signal.SIGTERM)]}, False),
        ({"signals": [(12.0, signal.SIGSTOP)]}, False),
        ({"start_times_s": [9.0]}, False),
        ({"disturbed_s": [9.0]}, False),
    ],
)
@pytest.mark.parametrize("place", ["gateway", "coordinator"])
def test_only_lost_contact_excuses_an_overdue_call(fields, is_overdue, place):
    """Guards against excuses that hold for gateways in contact."""
    watch = find_overdue(
        [make_call(6.0, Outcome.TIMED_OUT)], **{place: make_program(**fields)}
    )
    assert bool(watch.overdue) == is_overdue


@pytest.mark.parametrize(
    ("overdue", "answered", "is_violation"),
    [
        (1, 1, False),
        (2, 1, True),
        (7, 14, False),
        (8, 24, False),
        (8, 23, True),
    ],
)
def test_share_of_overdue_calls_is_bounded(overdue, answered, is_violation):
    """Guards against a bound that many answered calls hide."""
    watch = find_overdue(
        [
            *[make_call(6.0, Outcome.TIMED_OUT)] * overdue,
            *[make_call(4.2, Outcome.ANSWERED, head_s=14.2)] * answered,
        ]
    )
    assert watch.counts["due"] == overdue + answered
    assert bool(watch.soak.invariants.violations) == is_violation
