"""Admission keeps customers' shares, and loses neither slots nor wake-ups."""

import sys
import threading

import pytest

from flamingocleat import ids
from flamingocleat.version import schema
from flamingocleat.version import shares

_LLM = ids.ServiceId("llm")
_LATER_S = 1e9


def _configuration(weights, services=(_LLM,)):
    return schema.Configuration(
        operator="o",
        data_centres=(),
        services=tuple(
            schema.Service(name=name, kind=schema.ServiceKind.MODEL)
            for name in services
        ),
        customers=tuple(
            schema.Customer(
                name=name, key_sha256=(), weight=weight, services=services
            )
            for name, weight in weights.items()
        ),
    )


class _Clock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


def _shares(weights, slots, entry_count=1, clock=None):
    return shares.FairAdmission(
        _configuration(weights),
        entry_count,
        {_LLM: slots},
        clock or _Clock(),
    )


def _enter(admission, customer, count=1, priority=3, deadline_s=_LATER_S):
    return [
        admission.enqueue(customer, _LLM, priority, deadline_s)
        for _ in range(count)
    ]


def _granted(tickets):
    return sum(ticket.granted.is_set() for ticket in tickets)


def test_customer_within_its_share_does_not_wait_for_a_backlog():
    """First come first served lets one customer's overload stop the others."""
    admission = _shares({"big": 1, "small": 1}, slots=8)
    big = _enter(admission, "big", 24)
    small = _enter(admission, "small", 4)
    for ticket in big[:4]:
        admission.release(ticket)
    assert _granted(small) == 4


def test_backlogs_share_by_weight():
    """Equal shares would ignore what the customers pay for."""
    admission = _shares({"a": 3, "b": 1}, slots=8)
    waiting = _enter(admission, "a", 24) + _enter(admission, "b", 16)
    for _ in range(3):
        for ticket in [t for t in waiting if t.granted.is_set()][:4]:
            admission.release(ticket)
            waiting.remove(ticket)
    held = [t.customer for t in waiting if t.granted.is_set()]
    assert (held.count("a"), held.count("b")) == (6, 2)


def test_idle_share_is_used_by_others():
    """A fixed partition leaves capacity idle while requests wait."""
    admission = _shares({"a": 1, "b": 9}, slots=10)
    assert _granted(_enter(admission, "a", 12)) == 10


def test_capacity_is_divided_over_entries():
    """Entries that each admit the whole capacity overload the replicas."""
    admission = _shares({"a": 1}, slots=12, entry_count=4)
    assert _granted(_enter(admission, "a", 6)) == 3


def test_urgent_request_of_a_customer_goes_first():
    """An alert must not wait behind the same customer's reports."""
    admission = _shares({"a": 1}, slots=1)
    (running,) = _enter(admission, "a")
    late = _enter(admission, "a", 3, priority=6)
    (urgent,) = _enter(admission, "a", priority=0)
    admission.release(running)
    assert urgent.granted.is_set()
    assert not _granted(late)


def _loaded_service(clock):
    """Return a full service of one slot whose requests take 10 s."""
    admission = _shares({"a": 1}, slots=1, clock=clock)
    (first,) = _enter(admission, "a")
    clock.now_s += 10
    admission.release(first)
    _enter(admission, "a")
    return admission


def test_hopeless_request_is_refused_at_once():
    """Waiting to the deadline keeps the caller from trying elsewhere."""
    clock = _Clock()
    admission = _loaded_service(clock)
    _enter(admission, "a", 2)
    with pytest.raises(shares.AdmissionRefusedError) as caught:
        _enter(admission, "a", deadline_s=clock.now_s + 25)
    assert caught.value.retry_after_s == pytest.approx(30)
    _enter(admission, "a", deadline_s=clock.now_s + 35)


def test_urgent_request_is_not_refused_for_a_less_urgent_backlog():
    """The backlog that an urgent request overtakes does not delay it."""
    clock = _Clock()
    admission = _loaded_service(clock)
    _enter(admission, "a", 10, priority=6)
    _enter(admission, "a", priority=0, deadline_s=clock.now_s + 15)


def test_request_past_its_deadline_gets_no_slot():
    """A slot given to an expired request is lost to one in time."""
    clock = _Clock()
    admission = _shares({"a": 1}, slots=1, clock=clock)
    (running,) = _enter(admission, "a")
    (expired,) = _enter(admission, "a", deadline_s=clock.now_s + 1)
    (waiting,) = _enter(admission, "a")
    clock.now_s += 2
    admission.release(running)
    assert waiting.granted.is_set()
    assert not expired.granted.is_set()


def test_queue_of_a_customer_is_bounded():
    """An endless queue takes the entry's memory and threads."""
    admission = _shares({"a": 1, "b": 1}, slots=2)
    with pytest.raises(shares.AdmissionRefusedError):
        _enter(admission, "a", 2 + shares.MIN_QUEUE + 1)
    _enter(admission, "b", shares.MIN_QUEUE)


def test_ended_tickets_do_not_pile_up():
    """Requests that gave up behind urgent ones must not stay in memory."""
    admission = _shares({"a": 1}, slots=1)
    _enter(admission, "a", 2, priority=0)
    for _ in range(200):
        admission.release(_enter(admission, "a", priority=7)[0])
    assert len(admission.pools[_LLM].usage["a"].queue) < 50


def test_second_release_has_no_effect():
    """A slot that is freed twice would be granted twice."""
    admission = _shares({"a": 1}, slots=1)
    first, second, third = _enter(admission, "a", 3)
    admission.release(first)
    admission.release(first)
    assert second.granted.is_set()
    assert not third.granted.is_set()


def test_update_grants_new_slots_and_drops_customers():
    """A change must neither strand waiters nor admit removed customers."""
    admission = _shares({"a": 1, "b": 1}, slots=1)
    tickets = _enter(admission, "a", 3) + _enter(admission, "b")
    admission.update(_configuration({"a": 1}), 1, {_LLM: 4})
    assert _granted(tickets) == 4
    with pytest.raises(shares.AdmissionRefusedError):
        _enter(admission, "b")
    for ticket in tickets:
        admission.release(ticket)
    assert "b" not in admission.pools[_LLM].usage or not (
        admission.pools[_LLM].usage["b"].in_flight
    )


@pytest.fixture
def _frequent_switches():
    """Switch threads often, so that races show."""
    before = sys.getswitchinterval()
    sys.setswitchinterval(1e-6)
    yield
    sys.setswitchinterval(before)


@pytest.mark.usefixtures("_frequent_switches")
def test_no_wake_up_is_lost():
    """A release that wakes nobody leaves a thread to its deadline."""
    names = [f"c{n}" for n in range(4)]
    admission = shares.FairAdmission(
        _configuration(dict.fromkeys(names, 1)), 1, {_LLM: 3}
    )
    deadline_s = admission.clock() + 60
    held, most = [0], [0]
    guard = threading.Lock()
    refused = []

    def call(customer):
        for _ in range(50):
            try:
                ticket = admission.acquire(customer, _LLM, 3, deadline_s)
            except shares.AdmissionRefusedError as error:
                refused.append(error)
                return
            with guard:
                held[0] += 1
                most[0] = max(most[0], held[0])
            with guard:
                held[0] -= 1
            admission.release(ticket)

    threads = [
        threading.Thread(target=call, args=(names[n % 4],)) for n in range(40)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert not refused
    assert most[0] <= 3
    assert admission.pools[_LLM].in_flight == 0


def test_timeout_gives_a_late_grant_back():
    """A grant that arrives with the timeout must not leak its slot."""
    admission = shares.FairAdmission(_configuration({"a": 1}), 1, {_LLM: 1})
    (running,) = _enter(admission, "a")
    with pytest.raises(shares.AdmissionRefusedError):
        admission.acquire("a", _LLM, 3, admission.clock() + 0.02)
    admission.release(running)
    assert admission.acquire("a", _LLM, 3, admission.clock() + 60)
