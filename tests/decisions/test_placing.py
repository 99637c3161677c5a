"""What the ledger believes of one server, and when it forgets it."""

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
    """Return a request of which most is shared with others."""
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


def take(pool: placing.Placer, request: str, now: float) -> poolservers.Run:
    """Place a request at the one engine there is."""
    return pool.start_run(make_ask(request), ROUTER, SERVER, now + 10.0, now)


def test_engine_that_started_again_keeps_nothing_and_runs_nothing() -> None:
    """An engine crashes and starts again under its id before its entry lapses.

    Its runs are gone and its memory is empty. With the old belief its places stay
    taken until timeouts, and prompts go there as if their shared parts were kept.
    """
    pool = placing.Placer()
    pool.set_servers([make_entry(1_000)], ENGINE)
    assert take(pool, "r1", 1.0).cached_tokens == 0
    assert take(pool, "r2", 2.0).cached_tokens == 5_000
    assert not pool.has_capacity(False, 2.0)
    pool.set_servers([make_entry(2_000)], ENGINE)
    assert pool.count_runs() == 0
    assert take(pool, "r3", 3.0).cached_tokens == 0


def test_late_end_of_a_run_of_the_earlier_incarnation_changes_nothing() -> None:
    """A router tells of the end of a run after the engine has started again.

    Counted for the new incarnation, it would free a place that is taken, or rest an
    engine that has failed nobody.
    """
    pool = placing.Placer()
    pool.set_servers([make_entry(1_000)], ENGINE)
    take(pool, "r1", 1.0)
    pool.set_servers([make_entry(2_000)], ENGINE)
    take(pool, "r2", 2.0)
    pool.begin(ids.RequestId("r2"), SERVER, 2.2)
    for ending in states.RunEnding:
        pool.end(ids.RequestId("r1"), SERVER, ending, 2.5)
    assert pool.count_runs() == 1
    assert pool.has_capacity(False, 2.6)


def test_entry_that_changes_without_a_restart_keeps_what_is_known() -> None:
    pool = placing.Placer()
    pool.set_servers([make_entry(1_000)], ENGINE)
    take(pool, "r1", 1.0)
    again = msgspec.structs.replace(make_entry(1_000), revision=9)
    pool.set_servers([again], ENGINE)
    assert pool.count_runs() == 1
    pool.set_servers([make_entry(None)], ENGINE)
    assert take(pool, "r2", 2.0).cached_tokens == 5_000


def test_engine_is_asked_once_for_what_it_keeps_and_its_answer_counts() -> None:
    """A home takes a pool over; without the answer all shared parts are read again."""
    pool = placing.Placer()
    pool.set_servers([make_entry(1_000)], ENGINE)
    (asked,) = pool.pop_unqueried()
    assert pool.pop_unqueried() == []
    pool.add_cached_parts(asked, [messages.PromptPart("shared", 5_000)], 1.0)
    assert take(pool, "r1", 2.0).cached_tokens == 5_000


def test_answer_of_an_earlier_incarnation_counts_for_nothing() -> None:
    pool = placing.Placer()
    pool.set_servers([make_entry(1_000)], ENGINE)
    (asked,) = pool.pop_unqueried()
    pool.set_servers([make_entry(2_000)], ENGINE)
    pool.add_cached_parts(asked, [messages.PromptPart("shared", 5_000)], 1.0)
    assert take(pool, "r1", 2.0).cached_tokens == 0
    assert [entry.started_ms for entry in pool.pop_unqueried()] == [2_000]
