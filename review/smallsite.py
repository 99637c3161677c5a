"""The configuration that the cases use: two services as on the small sites' sheets."""

from __future__ import annotations

import clients

ENGINES = "lm-pool"
PLAIN = "gang-app"

ENGINE = {
    "slots": 64,
    "kv_capacity_tokens": 790098,
    "kv_bytes": 35136,
    "link_mbps": 350000.0,
    "moves": False,
    "backups": False,
    "stride": 6,
    "models": [{"name": "m"}],
}

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
    "tokens_per_s": 325000,
}


def make_route(prefix: str, kind: str, service: str, **values: object) -> dict:
    """Return a route of the operator's configuration."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": clients.HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 125,
        "priority": 2,
        "service": service,
        "max_attempts": 1,
        "anonymous": False,
        "sticky": False,
        "resumable": False,
        "max_gap_ms": 400,
        **values,
    }


def make_configuration(*routes: dict, version: int = 7) -> dict:
    """Return a configuration with some routes and both services."""
    return {
        "version": version,
        "routes": list(routes),
        "services": [
            {
                "name": ENGINES,
                "health_path": "/healthz",
                "max_conns": 360,
                "protocol": "h1",
                "tls": False,
                "engine": ENGINE,
            },
            {
                "name": PLAIN,
                "health_path": "/healthz",
                "max_conns": 96,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": LIMITS,
        "tenants": [
            {"name": "hule930", "api_keys": [clients.KEY], "priority": 1},
        ],
    }
