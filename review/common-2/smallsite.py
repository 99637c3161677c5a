"""The configuration of a small site, with the values of klippebook."""

from __future__ import annotations

KEY = "asnmgkcuyj8pjbvk9m68"
TENANT = "hule930"
ZONES = ["bergen-a", "bergen-b", "voss"]
MODEL_SERVICE = "lm-pool"
PLAIN_SERVICE = "gang-app"
DRAFT, REMINDER, LOOKUP, STATUS = "/draft/", "/reminder/", "/lookup/", "/status/"

ROUTES = {
    DRAFT: ("stream", MODEL_SERVICE, 15_000, 600, 1, False),
    REMINDER: ("stream", MODEL_SERVICE, 12_000, 400, 2, True),
    LOOKUP: ("non_idempotent", PLAIN_SERVICE, 800, 100, 1, False),
    STATUS: ("idempotent", PLAIN_SERVICE, 800, 100, 2, False),
}
"""By path prefix: kind, service, timeout, target latency, attempts, resumable."""


def make_config(version: int, **changes: dict) -> dict:
    """Return the operator's configuration.

    Parameters
    ----------
    changes : dict
        Top-level fields that replace those of the site.
    """
    routes = [
        {
            "name": f"r-{prefix.strip('/')}",
            "host": "ficu95.example",
            "path_prefix": prefix,
            "route_type": kind,
            "timeout_ms": timeout,
            "target_latency_ms": target,
            "priority": 1,
            "service": service,
            "max_attempts": attempts,
            "anonymous": False,
            "sticky": kind == "stream",
            "resumable": resumable,
            "max_gap_ms": 400,
        }
        for prefix, (kind, service, timeout, target, attempts, resumable) in (
            ROUTES.items()
        )
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": MODEL_SERVICE,
                "health_path": "/healthz",
                "max_conns": 360,
                "engine": {
                    "slots": 64,
                    "kv_capacity_tokens": 790_098,
                    "stride": 6,
                    "models": [{"name": "m"}],
                },
            },
            {"name": PLAIN_SERVICE, "health_path": "/healthz", "max_conns": 96},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
            "tokens_per_s": 170_000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
        **changes,
    }


def make_stream_headers(seed: int, deadline_ms: int = 12_000) -> dict[str, str]:
    """Return the headers of a request to the model service."""
    return {
        "Celeryspan-Credential": KEY,
        "Celeryspan-Model": "m",
        "Celeryspan-Token-Count": "826,294",
        "Celeryspan-Prefix-Hash": f"5c1e07a2:198,{seed:08x}:628",
        "Celeryspan-Deadline-Ms": str(deadline_ms),
    }
