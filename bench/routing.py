"""Prefix affinity against load: time saved, and whether a hot prefix is a bottleneck.

``python -m bench routing`` prints one table for each load pattern.
"""

from __future__ import annotations

import json
import random
import statistics

from bench import one_router, tables

SEEDS = (1, 2)
SECONDS = 30.0
BLOCKS = 40
"""Blocks of a prompt: 0.8 s to compute at 20 ms each, against 0.4 s for the answer."""

PREFIXES = 60
CACHE_BLOCKS = 400
"""A server keeps ten prompts of the sixty, six servers together all of them."""


def make_prompt(prefix: int, call: int) -> tuple[int, ...]:
    """Return blocks of which all but the last two are shared by a prefix."""
    shared = [prefix * 1000 + index for index in range(BLOCKS - 2)]
    return (*shared, -2 * call, -2 * call - 1)


def make_calls(rate: float, hot_share: float, seed: int) -> list[one_router.Call]:
    """Return calls of four accounts, a share of them with one hot prefix."""
    rng = random.Random(seed)
    calls, at = [], 0.0
    while (at := at + rng.expovariate(rate)) < SECONDS:
        hot = rng.random() < hot_share
        prefix = 0 if hot else rng.randrange(1, PREFIXES)
        prompt = make_prompt(prefix, len(calls) + 1)
        account = rng.choice("abcd")
        calls.append(
            one_router.Call(at, account, 10.0, attempt_timeout=120.0, prompt=prompt)
        )
    return calls


PATTERNS = {
    "many prefixes, busy": lambda seed: make_calls(55.0, 0.0, seed),
    "many prefixes, half load": lambda seed: make_calls(25.0, 0.0, seed),
    "hot prefix, busy": lambda seed: make_calls(75.0, 0.6, seed),
}

CASES = {
    "no affinity": one_router.Mechanisms(affinity="none"),
    "pinned by prefix": one_router.Mechanisms(affinity="pinned"),
    "cached here": one_router.Mechanisms(affinity="here"),
    "celeryspan": one_router.Mechanisms(),
    "celeryspan, 30% of events lost": one_router.Mechanisms(event_loss=0.3),
    "celeryspan, events 10 s late": one_router.Mechanisms(event_lag=10.0),
}


def measure(pattern: str, case: str, seeds: tuple[int, ...] = SEEDS) -> dict:
    """Return means over seeds of one pattern under one set of mechanisms."""
    results = []
    for seed in seeds:
        servers = [
            one_router.Server(f"s{index}", 8, 25.0, CACHE_BLOCKS) for index in range(6)
        ]
        router = one_router.Router(servers, CASES[case], seed)
        records = router.run(PATTERNS[pattern](seed))
        waits = sorted(one.wait for one in records)
        busy = [server.busy_seconds for server in servers]
        results.append(
            {
                "seconds_per_call": sum(busy) / len(records),
                "wait_p50": waits[len(waits) // 2],
                "wait_p99": waits[int(0.99 * (len(waits) - 1))],
                "busiest_over_mean": max(busy) / statistics.fmean(busy),
            }
        )
    return {
        name: round(statistics.fmean(one[name] for one in results), 3)
        for name in results[0]
    }


def run(arguments: list[str]) -> int:
    """Print a table for each load pattern and the JSON of all."""
    del arguments
    table = tables.print_patterns(PATTERNS, CASES, measure)
    print(json.dumps({"bench": "routing", "patterns": table}))
    return 0
