"""Parses the operator's configuration into a :class:`catalog.Catalogue`."""

from __future__ import annotations

import math
from collections.abc import Mapping

from celeryspan import catalog, errors, ids, storedobjects
from celeryspan.platform import names

VERSION_MAX = 2**63 - 1
"""Greatest version; it fits the field of messages between routers."""

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
    try:
        return _parse(stored.spec, stored)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise errors.InputError(
            f"malformed configuration: {error!r}",
            key=f"{names.CONFIGURATION_KIND}/{names.CONFIGURATION_NAME}",
        ) from error


def read_version(stored: storedobjects.StoredObject) -> int:
    """Return the version of a configuration object.

    Raises
    ------
    errors.InputError
        If it is missing or not a version.
    """
    try:
        return _parse_version(stored.spec["version"])
    except (KeyError, TypeError, ValueError) as error:
        raise errors.InputError(
            f"malformed version: {error!r}",
            key=f"{names.CONFIGURATION_KIND}/{names.CONFIGURATION_NAME}",
        ) from error


def _parse(spec: Mapping, stored: storedobjects.StoredObject) -> catalog.Catalogue:
    services = [_parse_service(item) for item in spec["services"]]
    accounts = {
        key: ids.AccountId(item["name"])
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
    version = int(value)
    if not 0 <= version <= VERSION_MAX:
        raise ValueError(f"expected a version up to {VERSION_MAX}, found {version}")
    return version


def _parse_route(item: Mapping) -> catalog.Route:
    timeout = float(item["timeout_ms"]) / 1000
    target = float(item.get("target_latency_ms") or item["timeout_ms"]) / 1000
    return catalog.Route(
        name=item["name"],
        host=item["host"].lower(),
        prefix=item["path_prefix"],
        kind=ROUTE_KINDS[item["route_type"]],
        targets=_parse_targets(item),
        timeout=timeout,
        target_latency=target,
        gap_max=float(item.get("max_gap_ms") or item["timeout_ms"]) / 1000,
        attempts_max=int(item.get("max_attempts") or 1),
        is_anonymous=bool(item.get("anonymous")),
        is_resumable=bool(item.get("resumable")),
    )


def _parse_targets(item: Mapping) -> tuple[catalog.Target, ...]:
    if not item.get("split"):
        return (catalog.Target(ids.ServiceId(item["service"]), 1.0),)
    return tuple(
        catalog.Target(ids.ServiceId(part["service"]), float(part["weight"]))
        for part in item["split"]
    )


def _parse_service(item: Mapping) -> catalog.Service:
    engine = item.get("engine")
    return catalog.Service(
        name=ids.ServiceId(item["name"]),
        connections_max=int(item.get("max_conns") or 0),
        engine=None if engine is None else _parse_engine(engine),
        cold_seconds=_parse_non_negative(item, "cold_start_s"),
        cold_rate=_parse_non_negative(item, "cold_per_s"),
    )


def _parse_non_negative(item: Mapping, key: str) -> float:
    """Return a number that may be missing, which means 0."""
    value = item.get(key) or 0.0
    if type(value) not in (int, float) or not 0 <= value < math.inf:
        raise ValueError(
            f"expected a non-negative number as {key}, found {value!r:.40}"
        )
    return float(value)


def _parse_engine(item: Mapping) -> catalog.Engine:
    return catalog.Engine(
        slots=int(item["slots"]),
        memory_tokens=int(item["kv_capacity_tokens"]),
        stride=int(item.get("stride") or 1),
        moves=bool(item.get("moves")),
        copy_token_seconds=_copy_token_seconds(item),
    )


def _copy_token_seconds(item: Mapping) -> float:
    """Return the time to copy one token: its size divided by the link speed."""
    link = float(item.get("link_mbps") or 0.0)
    return float(item.get("kv_bytes") or 0.0) * 8 / (link * 1e6) if link else 0.0


def _parse_limits(item: Mapping) -> catalog.Limits:
    defaults = catalog.Limits()
    return catalog.Limits(
        header_bytes=int(item.get("max_header_bytes") or defaults.header_bytes),
        body_bytes=int(item.get("max_body_bytes") or defaults.body_bytes),
        header_seconds=float(
            item.get("header_timeout_ms") or defaults.header_seconds * 1000
        )
        / 1000,
        idle_seconds=float(item.get("idle_timeout_ms") or defaults.idle_seconds * 1000)
        / 1000,
        tokens_per_second=float(item.get("tokens_per_s") or 0.0),
    )
