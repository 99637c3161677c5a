"""State that a pool keeps of one server, and when it is discarded."""

from __future__ import annotations

import msgspec

from celeryspan import catalog, ids, states
from celeryspan.decisions import placing, poolservers
from celeryspan.wire import messages

ENGINE = catalog.Engine(slots=2, memory_tokens=100_000, stride=3)
ROUTER = ids.RouterId("edge-1")
SERVER = ids.ServerId("gpu-1")


def make_entry(started_ms: int | None) -> catalog.ServerEntry:
    """Return the entry of one incarnation of an engine."""
    return catalog.ServerEntry(
        server=SERVER,
        service=ids.ServiceId("planner"),
        address=ids.Address("10.0.0.1", 80),
        data_centre=ids.DataCentreId("a"),
        slots=2,
        is_leaving=False,
        revision=started_ms or 1,
        started_ms=started_ms,
    )


def make_ask(request: str) -> messages.SlotRequest:
    """Return a request whose prompt is mostly shared with others."""
    parts = (
        messages.PromptPart("shared", 5_000),
        messages.PromptPart(f"own-{request}", 500),
    )
    return messages.SlotRequest(
        request=ids.RequestId(request),
        pool=ids.PoolId("planner#1#0"),
        account=ids.AccountId("tower"),
        data_centre=ids.DataCentreId("a"),
        parts=parts,
        prompt_tokens=5_500,
        output_tokens=30,
        waited=0.0,
        objective=0.6,
        timeout=10.0,
        gap_max=0.3,
        stride=3,
        excluded=(),
    )


def start_run(placer: placing.Placer, request: str, now: float) -> poolservers.Run:
    """Place a request at the only engine."""
    return placer.start_run(make_ask(request), ROUTER, SERVER, now + 10.0, now)


def test_restarted_engine_has_empty_cache_and_no_runs() -> None:
    """Guards against stale runs and cache after a crash.

    An engine crashes and restarts under the same id before its entry expires. With the
    old state its slots would stay in use until timeouts, and prompts would be sent
    there as if their shared parts were cached.
    """
    placer = placing.Placer()
    placer.set_servers([make_entry(1_000)], ENGINE)
    assert start_run(placer, "r1", 1.0).cached_tokens == 0
    assert start_run(placer, "r2", 2.0).cached_tokens == 5_000
    assert not placer.has_capacity(False, 2.0)
    placer.set_servers([make_entry(2_000)], ENGINE)
    assert placer.count_runs() == 0
    assert start_run(placer, "r3", 3.0).cached_tokens == 0


def test_late_run_end_of_an_earlier_incarnation_is_ignored() -> None:
    """Guards against run ends that are reported after the engine has restarted.

    Applied to the new incarnation, such an end would free a slot that is in use, or
    start a backoff of an engine that has failed no request.
    """
    placer = placing.Placer()
    placer.set_servers([make_entry(1_000)], ENGINE)
    start_run(placer, "r1", 1.0)
    placer.set_servers([make_entry(2_000)], ENGINE)
    start_run(placer, "r2", 2.0)
    placer.begin(ids.RequestId("r2"), SERVER, 2.2)
    for ending in states.RunEnding:
        placer.end(ids.RequestId("r1"), SERVER, ending, 2.5)
    assert placer.count_runs() == 1
    assert placer.has_capacity(False, 2.6)


def test_entry_change_without_restart_keeps_state() -> None:
    placer = placing.Placer()
    placer.set_servers([make_entry(1_000)], ENGINE)
    start_run(placer, "r1", 1.0)
    again = msgspec.structs.replace(make_entry(1_000), revision=9)
    placer.set_servers([again], ENGINE)
    assert placer.count_runs() == 1
    placer.set_servers([make_entry(None)], ENGINE)
    assert start_run(placer, "r2", 2.0).cached_tokens == 5_000


def test_engine_is_queried_once_and_reported_parts_are_cached() -> None:
    """Guards against prefilling all shared parts again when a pool changes homes."""
    placer = placing.Placer()
    placer.set_servers([make_entry(1_000)], ENGINE)
    (asked,) = placer.pop_unqueried()
    assert placer.pop_unqueried() == []
    placer.add_cached_parts(asked, [messages.PromptPart("shared", 5_000)], 1.0)
    assert start_run(placer, "r1", 2.0).cached_tokens == 5_000


def test_report_of_an_earlier_incarnation_is_ignored() -> None:
    placer = placing.Placer()
    placer.set_servers([make_entry(1_000)], ENGINE)
    (asked,) = placer.pop_unqueried()
    placer.set_servers([make_entry(2_000)], ENGINE)
    placer.add_cached_parts(asked, [messages.PromptPart("shared", 5_000)], 1.0)
    assert start_run(placer, "r1", 2.0).cached_tokens == 0
    assert [entry.started_ms for entry in placer.pop_unqueried()] == [2_000]
