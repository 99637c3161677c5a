"""Tests of the engine emulator and of the comparison of placement policies."""

from __future__ import annotations

import random

import pydantic
import pytest

from bench import placing
from bench.engines import engine, loads, site, trial
from celeryspan import ids
from celeryspan.decisions import engines

SITE = site.Site(engines=1, slots=8, memory_tokens=100_000, stride=6)


def make_job(name: str, own: int, tokens: int = 12) -> engine.Job:
    """Return a job with a shared part of 1,000 tokens."""
    load = loads.Load(
        name, 1.0, 1.0, 10.0, 1.0, (600, 400), 1, own, 0.0, tokens, own_fixed=own
    )
    (arrival, *_) = loads.generate_arrivals([load], 20.0, random.Random(1))
    return engine.Job(arrival.ask, tokens, 0, 0)


def run_until_idle(emulated: engine.Engine, known_parts: set[str]) -> None:
    """Step until the engine is idle."""
    while emulated.next_step_at is not None:
        emulated.step(known_parts)


def test_prefill_time_matches_the_engine_model() -> None:
    emulated = engine.Engine(ids.ServerId("e"), SITE, 1.0)
    emulated.add(make_job("a", 20_000), set(), 0.0)
    run_until_idle(emulated, set())
    prefill_seconds = sum(seconds for _, seconds in emulated.prefills)
    assert prefill_seconds == pytest.approx(
        engines.EngineModel().prefill_seconds(21_000, 0), rel=0.01
    )


def test_cached_parts_are_reused_and_evicted_when_memory_is_full() -> None:
    emulated, known_parts = engine.Engine(ids.ServerId("e"), SITE, 1.0), set()
    first, second = make_job("a", 500), make_job("a", 500)
    emulated.add(first, known_parts, 0.0)
    run_until_idle(emulated, known_parts)
    emulated.add(second, known_parts, 1.0)
    assert (first.prefilled_tokens, second.prefilled_tokens) == (1500, 1)
    run_until_idle(emulated, known_parts)
    emulated.add(make_job("b", 99_000), known_parts, 2.0)
    run_until_idle(emulated, known_parts)
    third = make_job("a", 500)
    emulated.add(third, known_parts, 9.0)
    assert third.recomputed_tokens > 0


def test_streams_stall_while_a_prompt_is_prefilled() -> None:
    emulated, known_parts = engine.Engine(ids.ServerId("e"), SITE, 1.0), set()
    stream = make_job("a", 10, tokens=600)
    emulated.add(stream, known_parts, 0.0)
    for _ in range(40):
        emulated.step(known_parts)
    emulated.add(make_job("b", 30_000), known_parts, emulated.next_step_at)
    run_until_idle(emulated, known_parts)
    gaps = [b - a for a, b in zip(stream.events, stream.events[1:], strict=False)]
    # The bound assumes full chunks and that one event spans all of the slowest steps.
    bound = engines.EngineModel().max_gap_seconds(31_000, 0, 6, 2)
    assert 0.75 * bound <= max(gaps) <= bound
    assert sorted(gaps)[len(gaps) // 2] < 0.03


def test_trial_is_deterministic_for_a_seed() -> None:
    deployment = placing.read(placing.DEFAULT_PATH)
    arrivals = loads.generate_arrivals(
        deployment.make_loads(0.5), 3.0, random.Random(3)
    )
    results = [
        trial.play(deployment.make_site(), arrivals, seed=3).tokens_by_account
        for _ in range(2)
    ]
    assert results[0] == results[1]


def test_ledger_outperforms_random_and_hash_placement() -> None:
    """Guards against a routers' policy that is worse than one without a ledger."""
    deployment = placing.read(placing.DEFAULT_PATH)
    results = {
        policy: placing.measure(deployment, 1.5, policy)
        for policy in ("ledger", "any", "by hash")
    }
    for kind in ("plan", "digest", "conflict"):
        name = f"{kind} in time"
        assert results["ledger"][name] > results["any"][name]
        assert results["ledger"][name] > results["by hash"][name]


def test_file_with_an_unknown_key_is_rejected(tmp_path) -> None:
    path = tmp_path / "site.yaml"
    path.write_text(placing.DEFAULT_PATH.read_text() + "engine: 3\n")
    with pytest.raises(pydantic.ValidationError, match="engine"):
        placing.read(path)
