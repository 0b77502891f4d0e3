"""Routing excludes what must get no work and follows load and caches."""

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
    """A leaving, suspect or broken replica would refuse or lose the call."""
    idle = _candidate("x", **fields)
    busy = _candidate("y", data_centre="b", in_flight=100)
    assert _choose([idle, busy], policy) == "y"
    assert _choose([idle], policy) is None


@pytest.mark.parametrize("policy", sorted(routing.POLICIES))
def test_retry_goes_elsewhere(policy):
    """A retry on the backend that just failed is likely to fail again."""
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
def test_report_that_stops_work_is_followed(fields):
    """A group that was formed anew must get no call with the old fence."""
    candidate = _candidate("x")
    candidate.record_report(_report(**fields), 10.0)
    assert _choose([candidate]) is None


def test_load_of_other_entries_counts():
    """Without reports, every entry finds the same replica idle."""
    busy, free = _candidate("x"), _candidate("y", in_flight=2)
    load = messages.Load(running=8, waiting=4, slots=8)
    busy.record_report(_report(load=load), 10.0)
    free.record_report(_report(load=messages.Load(2, 0, 8)), 10.0)
    assert _choose([busy, free]) == "y"


def test_old_report_loses_weight():
    """A low report that is old would attract every call."""
    old, new = _candidate("x"), _candidate("y")
    old.record_report(_report(load=messages.Load(0, 0, 8, 60_000)), 10.0)
    new.record_report(_report(load=messages.Load(4, 0, 8)), 10.0)
    old.in_flight = 3
    assert _choose([old, new]) == "y"


def test_straggler_is_avoided_and_tried_again():
    """A straggler would draw calls, or stay idle once it has recovered."""
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
    """Affinity saves a prefill, but must not overload one replica."""
    call = routing.Call(_CALL.data_centre, prefixes=(b"p1", b"p2"))
    warm, cold = _with_cache(), [_candidate(name) for name in "yz"]
    assert _choose([warm, *cold], call=call) == "x"
    for candidate in (warm, *cold):
        candidate.load = messages.Load(slots=64)
    assert _choose([warm, *cold], call=call) == "x"
    warm.in_flight = 10
    assert _choose([warm, *cold], call=call) == "y"


@pytest.mark.parametrize(
    "gap",
    [
        {"cache_sequence": 4, "cache_events": _events(4)},
        {"cache_sequence": 5, "cache_events": ()},
    ],
)
def test_cache_gap_drops_what_is_known(gap):
    """After a gap, prefixes may have been evicted without our knowledge."""
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


def test_cache_events_follow_on():
    """A repeated event must not count as a gap, nor undo a later one."""
    candidate = _with_cache()
    evicted = messages.CacheEvent(3, b"p1", False)
    events = (*_events(1, 2), evicted)
    candidate.record_report(
        _report(cache_sequence=3, cache_events=events), 11.0
    )
    assert candidate.cached == {b"p2"}


def test_same_data_centre_first_then_spill():
    """Each crossing costs, yet a full data centre must not queue alone."""
    near, far = _candidate("x", in_flight=1), _candidate("y", "b")
    assert _choose([near, far]) == "x"
    near.in_flight = 6
    assert _choose([near, far]) == "y"


@pytest.mark.parametrize("policy", ["round-robin", "least-in-flight"])
def test_ties_are_spread(policy):
    """With ties broken by name, the first replica gets all calls."""
    candidates = [_candidate(name) for name in "xyz"]
    chosen = [_choose(candidates, policy) for _ in range(6)]
    assert sorted(chosen) == sorted("xyz" * 2)


def test_subset_is_stable():
    """A subset that reshuffles breaks connections and cached prefixes."""
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
    """A replica in no entry's subset would stand idle."""
    backends = [f"g/{n}" for n in range(count)]
    size = routing.subset_size(16, count, entries)
    held = dict.fromkeys(backends, 0)
    for number in range(entries):
        for backend in routing.subset(f"entry-{number}", backends, size):
            held[backend] += 1
    assert min(held.values()) >= min(3, entries)


def test_late_report_is_compared_with_calls_of_its_time():
    """Calls that have ended since would count as other entries' load."""
    candidate = _candidate("x", in_flight=6)
    candidate.record_report(_report(load=messages.Load(6, 0, 8)), 10.0)
    candidate.in_flight = 0
    late = messages.Load(6, 0, 8, age_ms=1000)
    candidate.record_report(_report(load=late), 11.0)
    assert candidate.others == 0
