"""Routing skips unusable backends and follows load and caches."""

import pytest

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.version import routing

_CALL = routing.Call(data_centre=ids.DataCentreId("a"))


def _candidate(name, data_centre="a", **fields):
    view = messages.BackendView(
        backend=name,
        service=ids.ServiceId("llm"),
        vm=ids.VmId(name),
        incarnation=ids.Incarnation("1"),
        fence=ids.FencingNumber(1),
        control_address="",
        data_address="",
        data_centre=ids.DataCentreId(data_centre),
    )
    return routing.Candidate(view, load=messages.Load(slots=8), **fields)


def _report(**fields):
    values = {
        "vm": ids.VmId("x"),
        "incarnation": ids.Incarnation("1"),
        "fence": ids.FencingNumber(1),
        "serving": True,
        "leaving": False,
        "load": messages.Load(slots=8),
    }
    return messages.LoadReport(**{**values, **fields})


def _choose(candidates, policy="weighted", call=_CALL, now_s=10.0):
    chosen = routing.choose(policy, call, candidates, now_s)
    return chosen.view.backend if chosen else None


@pytest.mark.parametrize("policy", sorted(routing.POLICIES))
@pytest.mark.parametrize(
    "fields", [{"suspect": True}, {"leaving": True}, {"serving": False}]
)
def test_unusable_candidate_is_never_chosen(policy, fields):
    """A suspect, leaving or broken backend must never be chosen.

    It would refuse or lose the call.
    """
    idle = _candidate("x", **fields)
    busy = _candidate("y", data_centre="b", in_flight=100)
    assert _choose([idle, busy], policy) == "y"
    assert _choose([idle], policy) is None


@pytest.mark.parametrize("policy", sorted(routing.POLICIES))
def test_retry_goes_to_another_backend(policy):
    """A retry must go to another backend.

    The one that just failed is likely to fail again.
    """
    call = routing.Call(_CALL.data_centre, excluded=frozenset({"x"}))
    candidates = [_candidate("x"), _candidate("y", in_flight=5)]
    assert _choose(candidates, policy, call) == "y"


@pytest.mark.parametrize(
    "fields",
    [
        {"serving": False},
        {"leaving": True},
        {"fence": ids.FencingNumber(2)},
        {"incarnation": ids.Incarnation("2")},
    ],
)
def test_report_that_ends_service_takes_effect(fields):
    """A report that ends a backend's service must take effect at once.

    A group that was formed again would get calls with its old fencing number.
    """
    candidate = _candidate("x")
    candidate.record_report(_report(**fields), 10.0)
    assert _choose([candidate]) is None


def test_load_of_other_entries_counts():
    """Reported load of other entries must count.

    By its own calls alone, each entry would find the same replica idle.
    """
    busy, free = _candidate("x"), _candidate("y", in_flight=2)
    load = messages.Load(running=8, waiting=4, slots=8)
    busy.record_report(_report(load=load), 10.0)
    free.record_report(_report(load=messages.Load(2, 0, 8)), 10.0)
    assert _choose([busy, free]) == "y"


def test_old_report_loses_weight():
    """An old load report must lose weight.

    If it is low, it would attract all calls.
    """
    old, new = _candidate("x"), _candidate("y")
    old.record_report(_report(load=messages.Load(0, 0, 8, 60_000)), 10.0)
    new.record_report(_report(load=messages.Load(4, 0, 8)), 10.0)
    old.in_flight = 3
    assert _choose([old, new]) == "y"


def test_straggler_is_avoided_and_tried_again():
    """A straggler must be avoided, and tried again after some time.

    Otherwise it gets calls while slow, or none after it has recovered.
    """
    candidates = [_candidate(name) for name in "wxyz"]
    for candidate in candidates:
        slow = candidate.view.backend == "w"
        candidate.record_first_token(4.0 if slow else 0.5, 10.0)
        candidate.in_flight = 1 if slow else 2
    assert _choose(candidates) != "w"
    again_s = 10.0 + routing.FIRST_TOKEN_TTL_S + 1
    assert _choose(candidates, now_s=again_s) == "w"


def _events(*sequences):
    return tuple(
        messages.CacheEvent(n, f"p{n}".encode(), True) for n in sequences
    )


def _with_cache():
    candidate = _candidate("x", in_flight=1)
    candidate.record_report(
        _report(
            cache_sequence=2, cache_complete=True, cache_events=_events(1, 2)
        ),
        10.0,
    )
    return candidate


def test_cached_prefix_attracts_within_a_load_bound():
    """A cached prefix must attract calls, but only up to a load limit.

    Affinity saves a prefill, but could overload one replica.
    """
    call = routing.Call(_CALL.data_centre, prefixes=(b"p1", b"p2"))
    cached, uncached = _with_cache(), [_candidate(name) for name in "yz"]
    assert _choose([cached, *uncached], call=call) == "x"
    for candidate in (cached, *uncached):
        candidate.load = messages.Load(slots=64)
    assert _choose([cached, *uncached], call=call) == "x"
    cached.in_flight = 10
    assert _choose([cached, *uncached], call=call) == "y"


@pytest.mark.parametrize(
    "gap",
    [
        {"cache_sequence": 4, "cache_events": _events(4)},
        {"cache_sequence": 5, "cache_events": ()},
    ],
)
def test_cache_gap_clears_known_prefixes(gap):
    """A gap in the cache events must clear the known prefixes.

    Some may have been evicted in the events that are missing.
    """
    candidate = _with_cache()
    candidate.record_report(_report(**gap), 11.0)
    assert not candidate.cached
    later = _report(cache_sequence=6, cache_events=_events(3, 4, 5, 6))
    candidate.record_report(later, 12.0)
    assert not candidate.cached
    full = _report(
        cache_sequence=7, cache_complete=True, cache_events=_events(7)
    )
    candidate.record_report(full, 13.0)
    assert candidate.cached == {b"p7"}


def test_repeated_cache_events_are_ignored():
    """A repeated cache event must be ignored.

    It must not count as a gap or undo a later event.
    """
    candidate = _with_cache()
    evicted = messages.CacheEvent(3, b"p1", False)
    events = (*_events(1, 2), evicted)
    candidate.record_report(
        _report(cache_sequence=3, cache_events=events), 11.0
    )
    assert candidate.cached == {b"p2"}


def test_same_data_centre_first_then_spill():
    """Calls must stay in their data centre unless it is much busier.

    Traffic between data centres costs money, but calls must not queue in a full
    one while another is idle.
    """
    near, far = _candidate("x", in_flight=1), _candidate("y", "b")
    assert _choose([near, far]) == "x"
    near.in_flight = 6
    assert _choose([near, far]) == "y"


@pytest.mark.parametrize("policy", ["round-robin", "least-in-flight"])
def test_ties_are_spread(policy):
    """Equally good replicas must share the calls.

    If ties were broken by name, the first replica would get all calls.
    """
    candidates = [_candidate(name) for name in "xyz"]
    chosen = [_choose(candidates, policy) for _ in range(6)]
    assert sorted(chosen) == sorted("xyz" * 2)


def test_subset_is_stable():
    """A change of the backends must change the subset by one at most.

    A reshuffled subset would lose connections and cached prefixes.
    """
    backends = [f"g/{n}" for n in range(200)]
    for entry in ("e1", "e2", "e3"):
        before = set(routing.subset(entry, backends, 16))
        for gone in sorted(before)[:4]:
            rest = [b for b in backends if b != gone]
            after = set(routing.subset(entry, reversed(rest), 16))
            assert len(before & after) == 15
        more = set(routing.subset(entry, [*backends, "g/200"], 16))
        assert len(before & more) >= 15


@pytest.mark.parametrize(("entries", "count"), [(3, 24), (50, 400), (200, 100)])
def test_each_replica_keeps_enough_entries(entries, count):
    """Each replica must be in the subsets of enough entries.

    A replica that is in none would be idle.
    """
    backends = [f"g/{n}" for n in range(count)]
    size = routing.subset_size(16, count, entries)
    entry_counts = dict.fromkeys(backends, 0)
    for number in range(entries):
        for backend in routing.subset(f"entry-{number}", backends, size):
            entry_counts[backend] += 1
    assert min(entry_counts.values()) >= min(3, entries)


def test_late_report_is_compared_with_calls_of_its_time():
    """A late report must be compared with the calls of its time.

    Own calls that ended since would count as load of other entries.
    """
    candidate = _candidate("x", in_flight=6)
    candidate.record_report(_report(load=messages.Load(6, 0, 8)), 10.0)
    candidate.in_flight = 0
    late = messages.Load(6, 0, 8, age_ms=1000)
    candidate.record_report(_report(load=late), 11.0)
    assert candidate.other_load == 0
