"""Admission respects shares and loses no slots or wake-ups."""

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


def _admission(weights, slots, entry_count=1, clock=None):
    return shares.FairAdmission(
        _configuration(weights),
        entry_count,
        {_LLM: slots},
        clock or _Clock(),
    )


def _enqueue(admission, customer, count=1, priority=3, deadline_s=_LATER_S):
    return [
        admission.enqueue(customer, _LLM, priority, deadline_s)
        for _ in range(count)
    ]


def _granted(tickets):
    return sum(ticket.granted.is_set() for ticket in tickets)


def test_customer_within_its_share_does_not_wait_for_a_backlog():
    """A customer within its share must not wait for another's backlog.

    In order of arrival, one customer's overload would block the others.
    """
    admission = _admission({"big": 1, "small": 1}, slots=8)
    big = _enqueue(admission, "big", 24)
    small = _enqueue(admission, "small", 4)
    for ticket in big[:4]:
        admission.release(ticket)
    assert _granted(small) == 4


def test_backlogs_share_by_weight():
    """Customers with backlogs must get slots in proportion to their weights.

    Equal shares would ignore what the customers pay for.
    """
    admission = _admission({"a": 3, "b": 1}, slots=8)
    waiting = _enqueue(admission, "a", 24) + _enqueue(admission, "b", 16)
    for _ in range(3):
        for ticket in [t for t in waiting if t.granted.is_set()][:4]:
            admission.release(ticket)
            waiting.remove(ticket)
    granted = [t.customer for t in waiting if t.granted.is_set()]
    assert (granted.count("a"), granted.count("b")) == (6, 2)


def test_idle_share_is_used_by_others():
    """Other customers may use an idle share.

    A fixed partition would leave slots idle while requests wait.
    """
    admission = _admission({"a": 1, "b": 9}, slots=10)
    assert _granted(_enqueue(admission, "a", 12)) == 10


def test_capacity_is_divided_over_entries():
    """The slots must be divided by the number of entries.

    If each entry admitted the whole capacity, the replicas would be overloaded.
    """
    admission = _admission({"a": 1}, slots=12, entry_count=4)
    assert _granted(_enqueue(admission, "a", 6)) == 3


def test_urgent_request_of_a_customer_goes_first():
    """An urgent request must not wait for less urgent ones of its customer."""
    admission = _admission({"a": 1}, slots=1)
    (running,) = _enqueue(admission, "a")
    less_urgent = _enqueue(admission, "a", 3, priority=6)
    (urgent,) = _enqueue(admission, "a", priority=0)
    admission.release(running)
    assert urgent.granted.is_set()
    assert not _granted(less_urgent)


def _loaded_service(clock):
    """Return a full service of one slot whose requests take 10 s."""
    admission = _admission({"a": 1}, slots=1, clock=clock)
    (first,) = _enqueue(admission, "a")
    clock.now_s += 10
    admission.release(first)
    _enqueue(admission, "a")
    return admission


def test_request_that_cannot_start_in_time_is_refused_at_once():
    """A request that cannot start in time must be refused at once.

    Waiting to the deadline would keep the caller from trying elsewhere.
    """
    clock = _Clock()
    admission = _loaded_service(clock)
    _enqueue(admission, "a", 2)
    with pytest.raises(shares.AdmissionRefusedError) as error_info:
        _enqueue(admission, "a", deadline_s=clock.now_s + 25)
    assert error_info.value.retry_after_s == pytest.approx(30)
    _enqueue(admission, "a", deadline_s=clock.now_s + 35)


def test_urgent_request_is_not_refused_for_a_less_urgent_backlog():
    """The expected wait must not include less urgent requests.

    An urgent request overtakes them, so it would be refused without need.
    """
    clock = _Clock()
    admission = _loaded_service(clock)
    _enqueue(admission, "a", 10, priority=6)
    _enqueue(admission, "a", priority=0, deadline_s=clock.now_s + 15)


def test_request_past_its_deadline_gets_no_slot():
    """A request past its deadline must get no slot.

    The slot would be missing for a request that is still in time.
    """
    clock = _Clock()
    admission = _admission({"a": 1}, slots=1, clock=clock)
    (running,) = _enqueue(admission, "a")
    (expired,) = _enqueue(admission, "a", deadline_s=clock.now_s + 1)
    (waiting,) = _enqueue(admission, "a")
    clock.now_s += 2
    admission.release(running)
    assert waiting.granted.is_set()
    assert not expired.granted.is_set()


def test_queue_of_a_customer_is_bounded():
    """Each customer's queue must be bounded.

    An unbounded one would take all memory and threads of the entry.
    """
    admission = _admission({"a": 1, "b": 1}, slots=2)
    with pytest.raises(shares.AdmissionRefusedError):
        _enqueue(admission, "a", 2 + shares.MIN_QUEUE + 1)
    _enqueue(admission, "b", shares.MIN_QUEUE)


def test_ended_tickets_do_not_accumulate():
    """Tickets that ended while waiting must not accumulate in memory.

    Those behind more urgent requests are never at the head of the queue.
    """
    admission = _admission({"a": 1}, slots=1)
    _enqueue(admission, "a", 2, priority=0)
    for _ in range(200):
        admission.release(_enqueue(admission, "a", priority=7)[0])
    assert len(admission.pools[_LLM].usage["a"].queue) < 50


def test_second_release_has_no_effect():
    """A second release of a ticket must have no effect.

    The slot would be granted twice.
    """
    admission = _admission({"a": 1}, slots=1)
    first, second, third = _enqueue(admission, "a", 3)
    admission.release(first)
    admission.release(first)
    assert second.granted.is_set()
    assert not third.granted.is_set()


def test_update_grants_new_slots_and_drops_customers():
    """An update must grant new slots and refuse removed customers.

    Requests that wait for slots would otherwise hang.
    """
    admission = _admission({"a": 1, "b": 1}, slots=1)
    tickets = _enqueue(admission, "a", 3) + _enqueue(admission, "b")
    admission.update(_configuration({"a": 1}), 1, {_LLM: 4})
    assert _granted(tickets) == 4
    with pytest.raises(shares.AdmissionRefusedError):
        _enqueue(admission, "b")
    for ticket in tickets:
        admission.release(ticket)
    assert "b" not in admission.pools[_LLM].usage or not (
        admission.pools[_LLM].usage["b"].in_flight
    )


@pytest.fixture
def _frequent_switches():
    """Switch threads often, to make race conditions likely."""
    before = sys.getswitchinterval()
    sys.setswitchinterval(1e-6)
    yield
    sys.setswitchinterval(before)


@pytest.mark.usefixtures("_frequent_switches")
def test_no_wake_up_is_lost():
    """Concurrent releases must not lose a wake-up.

    A thread that is not woken would wait until its deadline although a slot is
    free.
    """
    names = [f"c{n}" for n in range(4)]
    admission = shares.FairAdmission(
        _configuration(dict.fromkeys(names, 1)), 1, {_LLM: 3}
    )
    deadline_s = admission.clock() + 60
    in_flight_count, max_in_flight = [0], [0]
    lock = threading.Lock()
    refused = []

    def call(customer):
        for _ in range(50):
            try:
                ticket = admission.acquire(customer, _LLM, 3, deadline_s)
            except shares.AdmissionRefusedError as error:
                refused.append(error)
                return
            with lock:
                in_flight_count[0] += 1
                max_in_flight[0] = max(max_in_flight[0], in_flight_count[0])
            with lock:
                in_flight_count[0] -= 1
            admission.release(ticket)

    threads = [
        threading.Thread(target=call, args=(names[n % 4],)) for n in range(40)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert not refused
    assert max_in_flight[0] <= 3
    assert admission.pools[_LLM].in_flight == 0


def test_slot_granted_at_the_timeout_is_given_back():
    """A slot that is granted at the timeout must be given back.

    Otherwise it is never free again.
    """
    admission = shares.FairAdmission(_configuration({"a": 1}), 1, {_LLM: 1})
    (running,) = _enqueue(admission, "a")
    with pytest.raises(shares.AdmissionRefusedError):
        admission.acquire("a", _LLM, 3, admission.clock() + 0.02)
    admission.release(running)
    assert admission.acquire("a", _LLM, 3, admission.clock() + 60)
