"""Compares admission control variants under burst, overload and a hot caller.

``python -m bench admission`` prints one table per load pattern.
"""

from __future__ import annotations

import json
import random
import statistics

from bench import one_router, tables
from celeryspan.decisions import admission, queueing

SEEDS = (1, 2, 3)
CAPACITY = 36.0
"""Requests per second that `make_servers` can serve at the mean cost."""

MEAN_COST = 100.0
RATE = 25.0
ATTEMPT_TIMEOUT_SECONDS = 30.0
"""Caller timeout of one attempt; the longest run takes 20 s."""

RETRY_LIMIT_SECONDS = 15.0
SECONDS = 40.0


def make_servers(count: int = 9) -> list[one_router.Server]:
    """Return servers of 16 slots at 25 cost units per second and slot."""
    return [one_router.Server(f"s{index}", 16, RATE) for index in range(count)]


def make_calls(
    rates: dict[str, float], seconds: float, seed: int, start: float = 0.0
) -> list[one_router.Call]:
    """Return calls at the given rate per account, with heavy-tailed costs."""
    rng = random.Random(seed)
    calls = []
    for account, rate in rates.items():
        at = start
        while (at := at + rng.expovariate(rate)) < start + seconds:
            cost = min(5 * MEAN_COST, rng.lognormvariate(4.1, 1.0))
            hint = cost * 3 ** rng.uniform(-1, 1)
            calls.append(
                one_router.Call(
                    at,
                    account,
                    cost,
                    ATTEMPT_TIMEOUT_SECONDS,
                    RETRY_LIMIT_SECONDS,
                    hint=hint,
                )
            )
    return calls


def make_overload(factor: float, seed: int) -> list[one_router.Call]:
    """Return calls of four equal accounts at a multiple of the capacity."""
    rates = {name: CAPACITY * factor / 4 for name in ("a", "b", "c", "d")}
    return make_calls(rates, SECONDS, seed)


def make_burst(seed: int) -> list[one_router.Call]:
    """Return calls at half load, with 600 calls of one account within a second."""
    calls = make_calls({name: CAPACITY / 8 for name in "abcd"}, SECONDS, seed)
    return calls + make_calls({"a": 600.0}, 1.0, seed + 100, start=20.0)


def make_hot_caller(seed: int) -> list[one_router.Call]:
    """Return calls of one account at nine times the capacity and three at a tenth."""
    rates = {"hot": CAPACITY * 9, "b": 3.6, "c": 3.6, "d": 3.6}
    return make_calls(rates, SECONDS, seed)


PATTERNS = {
    "burst": make_burst,
    "hot caller": make_hot_caller,
    "overload x2": lambda seed: make_overload(2.0, seed),
    "overload x10": lambda seed: make_overload(10.0, seed),
}


def summarise(
    records: list[one_router.Record], router: one_router.Router
) -> dict[str, float]:
    """Summarise the answers, waits and wasted work of a run.

    The accounts that cause the overload, ``hot`` and ``a``, are left out of the figures
    of the others.
    """
    answered = [record for record in records if record.answered_at is not None]
    others = [record for record in records if record.call.account not in ("hot", "a")]
    others_answered = [record for record in others if record.answered_at is not None]
    waits = sorted(record.wait for record in others_answered) or [0.0]
    busy = sum(server.busy_seconds for server in router.servers.values())
    wasted = sum(
        record.call.cost / RATE
        for record in records
        if record.runs and record.answered_at is None
    )
    codes = {reason.value for reason in admission.Reason}
    refused = [
        record.ended_at - record.attempt_at
        for record in records
        if record.code in codes and record.ended_at is not None
    ] or [0.0]
    return {
        "callers": len(records),
        "answered": len(answered),
        "others_answered_share": len(others_answered) / len(others),
        "others_wait_p99": waits[int(0.99 * (len(waits) - 1))],
        "wasted_share": wasted / busy,
        "attempts_per_answer": sum(record.attempts for record in records)
        / len(answered),
        "refused_after": statistics.fmean(refused),
    }


CASES = {
    "one queue, open": one_router.Mechanisms(admission="open", account_queues=False),
    "one queue, bounded": one_router.Mechanisms(
        admission="bounded", account_queues=False
    ),
    "account queues, open": one_router.Mechanisms(admission="open"),
    "account queues, bounded": one_router.Mechanisms(admission="bounded"),
    "celeryspan": one_router.Mechanisms(),
}


def measure(pattern: str, case: str, seeds: tuple[int, ...] = SEEDS) -> dict:
    """Return the mean results over seeds for one pattern and set of mechanisms."""
    results = []
    for seed in seeds:
        router = one_router.Router(make_servers(), CASES[case], seed)
        records = router.run(PATTERNS[pattern](seed))
        results.append(summarise(records, router))
    return {
        name: round(statistics.fmean(result[name] for result in results), 3)
        for name in results[0]
    }


FAULT_CASES = {
    "neither": one_router.Mechanisms(ejection=False, budget=False),
    "budget": one_router.Mechanisms(ejection=False),
    "ejection": one_router.Mechanisms(budget=False),
    "both": one_router.Mechanisms(),
}


def measure_fault(failing: int, case: str, seed: int = 1) -> dict:
    """Measure answers and sends while some of nine servers fail from 5 s to 25 s."""
    servers = make_servers()
    router = one_router.Router(servers, FAULT_CASES[case], seed)
    for server in servers[:failing]:
        router.at(5.0, lambda server=server: setattr(server, "fails", True))
        router.at(25.0, lambda server=server: setattr(server, "fails", False))
    rates = {name: CAPACITY / 6 for name in "abcd"}
    records = router.run(make_calls(rates, SECONDS, seed))
    answered = sum(record.answered_at is not None for record in records)
    runs = sum(record.runs for record in records)
    return {
        "answered_share": round(answered / len(records), 4),
        "sends_per_call": round(runs / len(records), 3),
    }


def print_faults() -> dict[str, dict[str, dict]]:
    """Print the effect of ejection and the retry budget while servers fail."""
    table: dict[str, dict[str, dict]] = {}
    for failing in (1, 9):
        print(f"\n{failing} of 9 servers fail for 20 s")
        for case in FAULT_CASES:
            result = measure_fault(failing, case)
            print(f"{case:26}" + "".join(f"{k:>18} {v}" for k, v in result.items()))
            table.setdefault(str(failing), {})[case] = result
    return table


def measure_slow(ejection: bool, seed: int = 1) -> dict[str, float]:
    """Measure answer times while one of nine servers runs ten times slower."""
    servers = make_servers()
    mechanisms = one_router.Mechanisms(ejection=ejection)
    router = one_router.Router(servers, mechanisms, seed)
    router.at(5.0, lambda: setattr(servers[0], "rate", RATE / 10))
    rates = {name: CAPACITY / 6 for name in "abcd"}
    records = router.run(make_calls(rates, SECONDS, seed))
    late = [
        record.answered_at is None
        or record.answered_at - record.call.at > 2 * record.call.cost / RATE + 1.0
        for record in records
    ]
    return summarise_times(records) | {"slow_calls": sum(late)}


def measure_long(share: float, seed: int = 1) -> dict[str, float]:
    """Measure an account's short calls while it also sends long ones.

    Parameters
    ----------
    share : float
        Share of the account's slots that long requests may hold; 1 is no bound.
    """
    rng = random.Random(seed)
    router = one_router.Router(make_servers(1), seed=seed)
    calls = []
    for index in range(400):
        cost = 500.0 if index % 8 == 0 else 10.0
        at = 0.1 * index + rng.random()
        calls.append(one_router.Call(at, "a", cost, attempt_timeout=120.0, hint=cost))
    saved, queueing.MAX_LONG_SLOT_SHARE = queueing.MAX_LONG_SLOT_SHARE, share
    try:
        records = router.run(calls)
    finally:
        queueing.MAX_LONG_SLOT_SHARE = saved
    return summarise_times([record for record in records if record.call.cost < 100.0])


def summarise_times(records: list[one_router.Record]) -> dict[str, float]:
    """Return the share of answered calls and percentiles of their total times."""
    times = sorted(
        record.answered_at - record.call.at
        for record in records
        if record.answered_at is not None
    )
    return {
        "answered_share": round(len(times) / len(records), 4),
        "seconds_p50": round(times[len(times) // 2], 2),
        "seconds_p99": round(times[int(0.99 * (len(times) - 1))], 2),
    }


def print_times() -> dict[str, dict[str, float]]:
    """Print the effect of slow servers and long calls with and without protection."""
    table = {
        "slow server, no ejection": measure_slow(False),
        "slow server, ejection": measure_slow(True),
        "short among long, no bound": measure_long(1.0),
        "short among long, bound": measure_long(queueing.MAX_LONG_SLOT_SHARE),
    }
    print()
    for name, result in table.items():
        print(f"{name:28}" + "".join(f"{k:>18} {v}" for k, v in result.items()))
    return table


def run(arguments: list[str]) -> int:
    """Print a table per load pattern, then all results as JSON."""
    del arguments
    table = tables.print_patterns(PATTERNS, CASES, measure)
    results = {"patterns": table, "faults": print_faults(), "times": print_times()}
    print(json.dumps({"bench": "admission", **results}))
    return 0
