"""Replay a recorded trace through the decision modules on a virtual clock.

``python -m bench.replay TRACE.jsonl [--policy NAME] [--seed N]`` prints the results as
one JSON object on the last line. The same trace and seed give the same bytes.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import sys
from typing import Any

from bench import bounds, homes_policy, policies, simulation, traces

RESULT_KEYS = (
    "answered",
    "not_run",
    "unknown",
    "ran_twice",
    "gap_max",
    "greatest_cost",
    "gap_bound",
    "utilisation",
    "idle_while_waiting",
    "control_bytes_per_router_second",
    "wait_p50",
    "wait_p99",
    "per_account",
)
"""Keys of the result, in output order."""


def replay(trace: traces.Trace, policy: str, seed: int) -> dict[str, Any]:
    """Replay a trace under a policy and return the results."""
    simulator = simulation.Simulator(trace, seed)
    simulator.run(policies.POLICIES[policy](simulator))
    result = simulator.measures.report()
    result["gap_bound"] = round(bounds.compute_gap_bound(simulator), 3)
    return {"policy": policy, **{key: result[key] for key in RESULT_KEYS}}


def run(arguments: list[str]) -> int:
    """Replay the trace named on the command line."""
    parser = argparse.ArgumentParser(prog="bench.replay", description=__doc__)
    parser.add_argument("trace", type=pathlib.Path)
    names = policies.POLICIES
    parser.add_argument("--policy", default=homes_policy.POLICY_NAME, choices=names)
    parser.add_argument("--seed", type=int, default=0)
    options = parser.parse_args(arguments)
    result = replay(traces.read(options.trace), options.policy, options.seed)
    print(json.dumps(result))
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
