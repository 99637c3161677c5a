"""The emulator and the tool that compares ways of placing on it."""

from __future__ import annotations

import random

import pydantic
import pytest

from bench import placing
from bench.engines import engine, loads, site, trial
from celeryspan import ids
from celeryspan.decisions import engines

PLACE = site.Site(engines=1, slots=8, memory_tokens=100_000, stride=6)


def make_job(name: str, own: int, tokens: int = 12) -> engine.Job:
    """Return a job with a shared part of 1,000 tokens."""
    load = loads.Load(
        name, 1.0, 1.0, 10.0, 1.0, (600, 400), 1, own, 0.0, tokens, own_fixed=own
    )
    (arrival, *_) = loads.generate_arrivals([load], 20.0, random.Random(1))
    return engine.Job(arrival.ask, tokens, 0, 0)


def run_out(found: engine.Engine, known: set[str]) -> None:
    """Step until the engine has nothing to do."""
    while found.next_step_at is not None:
        found.step(known)


def test_engine_reads_as_long_as_the_model_says() -> None:
    found = engine.Engine(ids.ServerId("e"), PLACE, 1.0)
    found.add(make_job("a", 20_000), set(), 0.0)
    run_out(found, set())
    read = sum(seconds for _, seconds in found.prefills)
    assert read == pytest.approx(
        engines.EngineModel().prefill_seconds(21_000, 0), rel=0.01
    )


def test_kept_parts_are_not_read_again_and_yield_when_memory_is_full() -> None:
    found, known = engine.Engine(ids.ServerId("e"), PLACE, 1.0), set()
    first, second = make_job("a", 500), make_job("a", 500)
    found.add(first, known, 0.0)
    run_out(found, known)
    found.add(second, known, 1.0)
    assert (first.prefilled_tokens, second.prefilled_tokens) == (1500, 1)
    run_out(found, known)
    found.add(make_job("b", 99_000), known, 2.0)
    run_out(found, known)
    third = make_job("a", 500)
    found.add(third, known, 9.0)
    assert third.recomputed_tokens > 0


def test_streams_pause_while_a_prompt_is_read() -> None:
    found, known = engine.Engine(ids.ServerId("e"), PLACE, 1.0), set()
    stream = make_job("a", 10, tokens=600)
    found.add(stream, known, 0.0)
    for _ in range(40):
        found.step(known)
    found.add(make_job("b", 30_000), known, found.next_step_at)
    run_out(found, known)
    gaps = [b - a for a, b in zip(stream.events, stream.events[1:], strict=False)]
    # The model takes the last chunks for full ones, and the worst steps for one event.
    bound = engines.EngineModel().max_gap_seconds(31_000, 0, 6, 2)
    assert 0.75 * bound <= max(gaps) <= bound
    assert sorted(gaps)[len(gaps) // 2] < 0.03


def test_same_seed_gives_the_same_result() -> None:
    deployment = placing.read(placing.DEFAULT)
    asked = loads.generate_arrivals(deployment.make_loads(0.5), 3.0, random.Random(3))
    results = [
        trial.play(deployment.make_site(), asked, seed=3).tokens_by_account
        for _ in range(2)
    ]
    assert results[0] == results[1]


def test_ledger_serves_the_file_better_than_the_baselines() -> None:
    """What the routers run is held against sending anywhere and sending by hash."""
    deployment = placing.read(placing.DEFAULT)
    found = {
        policy: placing.measure(deployment, 1.5, policy)
        for policy in ("ledger", "any", "by hash")
    }
    for kind in ("plan", "digest", "conflict"):
        name = f"{kind} in time"
        assert found["ledger"][name] > found["any"][name]
        assert found["ledger"][name] > found["by hash"][name]


def test_file_with_an_unknown_key_is_refused(tmp_path) -> None:
    path = tmp_path / "site.yaml"
    path.write_text(placing.DEFAULT.read_text() + "engine: 3\n")
    with pytest.raises(pydantic.ValidationError, match="engine"):
        placing.read(path)
