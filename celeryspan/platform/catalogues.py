"""Parses the operator's configuration into a :class:`catalog.Catalogue`."""

from __future__ import annotations

from collections.abc import Mapping

from celeryspan import catalog, ids, storedobjects, untrusted
from celeryspan.platform import names

SECONDS_MAX = 86_400.0
"""Longest duration that is accepted; waits for much longer raise an error."""

KEY = f"{names.CONFIGURATION_KIND}/{names.CONFIGURATION_NAME}"

ROUTE_KINDS = {
    "idempotent": catalog.RouteKind.IDEMPOTENT,
    "non_idempotent": catalog.RouteKind.NON_IDEMPOTENT,
    "stream": catalog.RouteKind.STREAM,
}


def read(stored: storedobjects.StoredObject) -> catalog.Catalogue:
    """Parse the configuration object.

    Raises
    ------
    errors.InputError
        If a key is missing or a value has the wrong type.
    """
    with untrusted.decode("configuration", key=KEY):
        return _parse(stored.spec, stored)


def read_version(stored: storedobjects.StoredObject) -> int:
    """Return the version of a configuration object.

    Raises
    ------
    errors.InputError
        If it is missing or not a version.
    """
    with untrusted.decode("version", key=KEY):
        return _parse_version(stored.spec["version"])


def _parse(spec: Mapping, stored: storedobjects.StoredObject) -> catalog.Catalogue:
    services = [_parse_service(item) for item in spec["services"]]
    accounts = {
        _parse_text(key, "api_keys"): ids.AccountId(_parse_text(item["name"], "name"))
        for item in spec.get("tenants") or ()
        for key in item.get("api_keys") or ()
    }
    return catalog.Catalogue(
        version=_parse_version(spec["version"]),
        revision=stored.revision,
        era=stored.era,
        routes=tuple(_parse_route(item) for item in spec["routes"]),
        services={item.name: item for item in services},
        accounts=accounts,
        needs_keys="tenants" in spec,
        limits=_parse_limits(spec.get("limits") or {}),
    )


def _parse_version(value: object) -> int:
    return untrusted.parse_unsigned(int(value), "version")


def _parse_text(value: object, key: str) -> str:
    return untrusted.parse_text(value, key)


def _parse_optional_text(value: object, key: str) -> str:
    return value if value == "" else _parse_text(value, key)


def _parse_seconds(item: Mapping, key: str, default: float | None = None) -> float:
    """Return a duration that is stated in milliseconds."""
    value = item.get(key)
    if not value and default is not None:
        return default
    return min(untrusted.parse_number(value, key) / 1000, SECONDS_MAX)


def _parse_count(item: Mapping, key: str, default: int) -> int:
    return untrusted.parse_count(item.get(key) or default, key)


def _parse_route(item: Mapping) -> catalog.Route:
    timeout = _parse_seconds(item, "timeout_ms")
    return catalog.Route(
        name=_parse_text(item["name"], "name"),
        host=_parse_text(item["host"], "host").lower(),
        prefix=_parse_text(item["path_prefix"], "path_prefix"),
        kind=ROUTE_KINDS[item["route_type"]],
        targets=_parse_targets(item),
        timeout=timeout,
        target_latency=_parse_seconds(item, "target_latency_ms", timeout),
        gap_max=_parse_seconds(item, "max_gap_ms", timeout),
        attempts_max=_parse_count(item, "max_attempts", 1),
        is_anonymous=bool(item.get("anonymous")),
        is_resumable=bool(item.get("resumable")),
    )


def _parse_targets(item: Mapping) -> tuple[catalog.Target, ...]:
    if not item.get("split"):
        service = _parse_optional_text(item["service"], "service")
        return (catalog.Target(ids.ServiceId(service), 1.0),)
    return tuple(
        catalog.Target(
            ids.ServiceId(_parse_text(part["service"], "service")),
            untrusted.parse_number(part["weight"], "weight"),
        )
        for part in item["split"]
    )


def _parse_service(item: Mapping) -> catalog.Service:
    engine = item.get("engine")
    return catalog.Service(
        name=ids.ServiceId(_parse_text(item["name"], "name")),
        connections_max=_parse_count(item, "max_conns", 0),
        engine=None if engine is None else _parse_engine(engine),
        cold_seconds=_parse_number(item, "cold_start_s"),
        cold_rate=_parse_number(item, "cold_per_s"),
    )


def _parse_number(item: Mapping, key: str) -> float:
    """Return a number that may be missing, which means 0."""
    return untrusted.parse_number(item.get(key) or 0, key)


def _parse_engine(item: Mapping) -> catalog.Engine:
    return catalog.Engine(
        slots=untrusted.parse_count(item["slots"], "slots"),
        memory_tokens=untrusted.parse_count(
            item["kv_capacity_tokens"], "kv_capacity_tokens"
        ),
        stride=_parse_count(item, "stride", 1),
        moves=bool(item.get("moves")),
        copy_token_seconds=_copy_token_seconds(item),
    )


def _copy_token_seconds(item: Mapping) -> float:
    """Return the time to copy one token: its size divided by the link speed."""
    link = _parse_number(item, "link_mbps")
    return _parse_number(item, "kv_bytes") * 8 / (link * 1e6) if link else 0.0


def _parse_limits(item: Mapping) -> catalog.Limits:
    defaults = catalog.Limits()
    return catalog.Limits(
        header_bytes=_parse_count(item, "max_header_bytes", defaults.header_bytes),
        body_bytes=_parse_count(item, "max_body_bytes", defaults.body_bytes),
        header_seconds=_parse_seconds(
            item, "header_timeout_ms", defaults.header_seconds
        ),
        idle_seconds=_parse_seconds(item, "idle_timeout_ms", defaults.idle_seconds),
        tokens_per_second=_parse_number(item, "tokens_per_s"),
    )
