"""Sample configuration and server entries for the platform's stand-ins."""

from __future__ import annotations

import time
from collections.abc import Callable

HOST = "desk.example"
KEY = "key-of-tower"
ACCOUNT = "tower"
CALLS = "/calls/"
BOOKINGS = "/bookings/"
DRAFTS = "/drafts/"
NOTES = "/notes/"
WAIT_SECONDS = 10.0


def make_route(prefix: str, kind: str, service: str, **values: object) -> dict:
    """Return a route entry of the operator's configuration."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 1000,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "anonymous": False,
        "sticky": False,
        "resumable": False,
        "max_gap_ms": 2000,
        **values,
    }


def make_configuration(version: int = 1, **values: object) -> dict:
    """Return an operator's configuration with a plain service and a model service."""
    return {
        "version": version,
        "routes": [
            make_route(CALLS, "idempotent", "gate"),
            make_route(BOOKINGS, "non_idempotent", "gate", max_attempts=1),
            make_route(DRAFTS, "stream", "planner", resumable=True),
            make_route(NOTES, "stream", "planner", max_attempts=1),
        ],
        "services": [
            {"name": "gate", "health_path": "/healthz", "max_conns": 64},
            {
                "name": "planner",
                "health_path": "/healthz",
                "max_conns": 64,
                "engine": {"slots": 8, "kv_capacity_tokens": 100_000, "stride": 1},
            },
        ],
        "limits": {"max_body_bytes": 100_000, "idle_timeout_ms": 15_000},
        "tenants": [{"name": ACCOUNT, "api_keys": [KEY]}],
        **values,
    }


def make_entry(service: str, address: object, **values: object) -> dict[str, object]:
    """Return the entry that a backend server writes into the store."""
    return {
        "service": service,
        "address": str(address),
        "zone": "hala-a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 1,
        **values,
    }


def wait_for(condition: Callable[[], object], seconds: float = WAIT_SECONDS) -> None:
    """Wait until a condition holds; fails after some seconds."""
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, f"condition not met within {seconds:g} s"
        time.sleep(0.01)
