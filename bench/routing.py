"""Prefix affinity under load: time saved, and behaviour with a hot prefix.

``python -m bench routing`` prints one table per load pattern.
"""

from __future__ import annotations

import json
import random
import statistics

from bench import one_router, tables

SEEDS = (1, 2)
SECONDS = 30.0
BLOCKS = 40
"""Blocks per prompt: 0.8 s to compute at 20 ms each, and 0.4 s for the answer."""

PREFIXES = 60
CACHE_BLOCKS = 400
"""Cache size of a server: ten of the 60 prefixes, so six servers hold all of them."""


def make_prompt(prefix: int, call: int) -> tuple[int, ...]:
    """Return the blocks of a prompt; all but the last two belong to the prefix."""
    shared = [prefix * 1000 + index for index in range(BLOCKS - 2)]
    return (*shared, -2 * call, -2 * call - 1)


def make_calls(rate: float, hot_share: float, seed: int) -> list[one_router.Call]:
    """Return calls of four accounts; ``hot_share`` of them use one hot prefix."""
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
    """Return the mean results over seeds for one pattern and set of mechanisms."""
    results = []
    for seed in seeds:
        servers = [
            one_router.Server(f"s{index}", 8, 25.0, CACHE_BLOCKS) for index in range(6)
        ]
        router = one_router.Router(servers, CASES[case], seed)
        records = router.run(PATTERNS[pattern](seed))
        waits = sorted(record.wait for record in records)
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
        name: round(statistics.fmean(result[name] for result in results), 3)
        for name in results[0]
    }


def run(arguments: list[str]) -> int:
    """Print a table per load pattern, then all results as JSON."""
    del arguments
    table = tables.print_patterns(PATTERNS, CASES, measure)
    print(json.dumps({"bench": "routing", "patterns": table}))
    return 0
