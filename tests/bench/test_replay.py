"""Replays of small traces under load and faults."""

from __future__ import annotations

import functools
import json
import pathlib
from typing import Any

import pytest
from syrupy.assertion import SnapshotAssertion

from bench import replay, traces

FIRM = traces.Firm(
    "small", 0.001, (("planner-llm", 3, 8, 100.0), ("gate-desk", 2, 3, 1000.0))
)
SECONDS = 20.0
CUT = (traces.Fault(5.0, "cut", (2,)), traces.Fault(12.0, "heal", (2,)))
RESTART = (traces.Fault(8.0, "restart", (0,)),)

CASES = {
    "burst": traces.Workload(load=0.9, seconds=SECONDS, burst=True, routers=3),
    "hot-caller": traces.Workload(load=0.6, flood_load=2.0, seconds=SECONDS, routers=3),
    "twice": traces.Workload(load=2.0, seconds=SECONDS, routers=3),
    "ten-times": traces.Workload(load=10.0, seconds=8.0, routers=3),
    "one-router": traces.Workload(on_one_router=True, seconds=60.0, routers=6),
    "long-jobs": traces.Workload(long_requests=True, seconds=SECONDS, routers=3),
    "cut": traces.Workload(seconds=SECONDS, routers=3, faults=CUT),
    "restart": traces.Workload(seconds=SECONDS, routers=3, faults=RESTART),
    "restart-all": traces.Workload(
        seconds=SECONDS,
        routers=3,
        faults=(traces.Fault(8.0, "restart", (0, 1, 2)),),
    ),
    "leave": traces.Workload(
        seconds=SECONDS,
        routers=3,
        faults=(traces.Fault(8.0, "leave", server="planner-llm-0"),),
    ),
    "slow": traces.Workload(
        seconds=SECONDS,
        routers=3,
        faults=(traces.Fault(8.0, "slow", server="planner-llm-0", factor=0.2),),
    ),
}


@functools.cache
def replay_case(case: str, policy: str = "celeryspan", seed: int = 1) -> dict[str, Any]:
    return replay.replay(traces.generate(FIRM, CASES[case], seed), policy, seed)


@pytest.mark.parametrize("case", CASES)
def test_nothing_runs_twice_or_is_lost_and_the_bound_holds(case: str) -> None:
    """Under any fault, each request has one outcome and the gap stays within bounds."""
    result = replay_case(case)
    requests = len(traces.generate(FIRM, CASES[case], 1).requests)
    assert result["answered"] + result["not_run"] + result["unknown"] == requests
    assert result["ran_twice"] == 0
    assert result["gap_max"] < result["gap_bound"]
    assert result["unknown"] == 0 or "restart" in case


@pytest.mark.parametrize("case", ["burst", "twice", "ten-times", "one-router"])
def test_slots_do_not_idle_while_work_waits(case: str) -> None:
    assert (
        replay_case(case)["utilisation"]
        >= 0.99 * replay_case(case, "oracle")["utilisation"]
    )


def test_flood_of_one_account_does_not_delay_the_others() -> None:
    """One account floods all routers with twice the capacity of the fleet.

    Served in order of arrival, accounts with single requests would wait behind the
    flood for most of a minute.
    """
    result, fifo = replay_case("hot-caller"), replay_case("hot-caller", "fifo")
    for account in list(result["per_account"])[8:]:
        wait = result["per_account"][account]["wait_p99"]
        assert wait < fifo["per_account"][account]["wait_p99"] / 3
        assert result["per_account"][account]["not_run"] == 0


def test_account_on_one_router_gets_as_much_as_the_others() -> None:
    """Fifteen accounts use all routers, and one uses a single router.

    If each router queued fairly by itself, that account would be limited to its
    router's share of the slots, whatever the demand of the others.
    """
    assert (
        replay_case("one-router")["gap_max"] * 5
        <= replay_case("one-router", "alone")["gap_max"]
    )


def test_router_restarted_without_state_costs_no_fairness() -> None:
    """A router restarts without state when its VM is replaced under load.

    Requests of that router end as "unknown". The router is the home of some servers
    again at once; if it lifted accounts by its incomplete counters, some accounts would
    wait for minutes.
    """
    assert replay_case("restart")["gap_max"] < 3 * replay_case("twice")["gap_max"]


def test_partition_is_fairer_than_routers_alone() -> None:
    """A router is partitioned from the others for seven seconds and rejoins.

    Each side serves its own requests. Callers on the smaller side must neither starve
    nor keep their router's share of the slots to themselves after the partition heals.
    """
    result = replay_case("cut")
    assert result["utilisation"] > 0.98
    assert result["gap_max"] < replay_case("cut", "alone")["gap_max"]


def test_long_jobs_do_not_starve_short_ones() -> None:
    """One account sends only requests of the maximum cost, 60 s of a slot each.

    If these held every slot, each request of the others would wait for a minute.
    """
    result = replay_case("long-jobs")["per_account"]
    assert all(result[name]["wait_p50"] < 20.0 for name in list(result)[8:])


def test_same_trace_and_seed_give_the_same_bytes(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    snapshot: SnapshotAssertion,
) -> None:
    path = tmp_path / "trace.jsonl"
    traces.write(traces.generate(FIRM, CASES["burst"], 3), path)
    outputs = []
    for _ in range(2):
        assert replay.run([str(path), "--seed", "7"]) == 0
        outputs.append(capsys.readouterr().out)
    assert outputs[0] == outputs[1]
    assert json.loads(outputs[0].splitlines()[-1]) == snapshot


def test_replay_ends_though_no_server_is_left() -> None:
    """The only server of a service leaves while requests without deadlines wait.

    The replay must still end, and refuse each of these requests as not run.
    """
    server = traces.Server("gate-desk-0", "gate-desk", 1, 1000.0)
    requests = tuple(
        traces.Request(at, "airline", 0, "gate-desk", 500.0, None, False, None)
        for at in (0.0, 0.1, 0.2)
    )
    fault = traces.Fault(0.1, "leave", server="gate-desk-0")
    trace = traces.Trace(2, 0.001, (server,), {"airline": 1.0}, (fault,), requests)
    for policy in ("celeryspan", "oracle", "alone", "leased", "fifo"):
        result = replay.replay(trace, policy, 1)
        assert (result["answered"], result["not_run"]) == (1, 2)
