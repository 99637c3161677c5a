"""Tests for departure facts, and for orders and load limits of engines."""

from __future__ import annotations

import itertools

from celeryspan import states
from celeryspan.decisions import departures, loading
from celeryspan.wire import messages

LEAVING, LIVE = states.ServerState.LEAVING, states.ServerState.LIVE
SECOND = 1_000_000


def test_stale_vm_list_does_not_override_an_announced_departure() -> None:
    """A server announces its departure; the VM list reports it live for a minute."""
    found = departures.Departures()
    assert found.record_state("s", LEAVING, 10 * SECOND) is not None
    assert found.apply_vm_list([("s", LIVE)], 20 * SECOND) == []
    assert found.leaving() == {"s"}
    later = 10 * SECOND + int(departures.VM_LIST_LAG_SECONDS * SECOND)
    assert len(found.apply_vm_list([("s", LIVE)], later)) == 1
    assert found.leaving() == frozenset()


def test_merge_does_not_depend_on_order_or_duplicates() -> None:
    facts = [
        messages.ServerFact("s", LEAVING, 1),
        messages.ServerFact("s", LIVE, 2),
        messages.ServerFact("s", LEAVING, 3),
        messages.ServerFact("s", states.ServerState.EJECTED, 9),
    ]
    for order in itertools.permutations(facts + facts[:1]):
        found = departures.Departures()
        for fact in order:
            found.merge(fact)
        assert found.leaving() == {"s"}


def test_version_increases_when_the_clock_goes_back() -> None:
    found = departures.Departures()
    first = found.record_state("s", LEAVING, 100)
    second = found.record_state("s", LIVE, 50)
    assert second.version > first.version
    assert found.record_state("s", LIVE, 60) is None


def test_loads_start_one_after_another() -> None:
    """A new version for 100 engines must not make them all load at the same time."""
    limit = loading.LoadLimiter(0.0)
    starts = []
    for tenth in range(0, 3_000):
        now = tenth / 10
        for server in range(100):
            if limit.try_begin(f"server-{server}", now):
                starts.append(now)
                limit.update(f"server-{server}", loading=tenth % 200 < 100)
                limit.update(f"server-{server}", loading=False)
    gaps = [late - early for early, late in itertools.pairwise(starts)]
    assert starts[0] >= loading.LOAD_INTERVAL_SECONDS
    assert min(gaps) >= loading.LOAD_INTERVAL_SECONDS - 1e-9


def test_order_is_chosen_only_for_a_difference() -> None:
    state = loading.EngineState("m", (), "1", "decode", 0, False)
    assert loading.choose_order(loading.DesiredState(""), state) is None
    assert loading.choose_order(loading.DesiredState("m"), state) is None
    assert (
        loading.choose_order(loading.DesiredState("n"), state) is loading.OrderKind.LOAD
    )
    wanted = loading.DesiredState("m", version="2")
    assert loading.choose_order(wanted, state) is loading.OrderKind.LOAD
    wanted = loading.DesiredState("m", ("a",))
    assert loading.choose_order(wanted, state) is loading.OrderKind.LOAD
    wanted = loading.DesiredState("m", role="prefill")
    assert loading.choose_order(wanted, state) is loading.OrderKind.ROLE
