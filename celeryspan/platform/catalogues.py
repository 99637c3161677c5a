"""Reads the operator's configuration into a :class:`catalog.Catalogue`."""

from __future__ import annotations

from collections.abc import Mapping

from celeryspan import catalog, errors, ids, storedobjects
from celeryspan.platform import names

KINDS = {
    "idempotent": catalog.RouteKind.IDEMPOTENT,
    "non_idempotent": catalog.RouteKind.NON_IDEMPOTENT,
    "stream": catalog.RouteKind.STREAM,
}


def read(found: storedobjects.StoredObject) -> catalog.Catalogue:
    """Return the catalogue of the configuration object.

    Raises
    ------
    errors.InputError
        If it lacks a key or holds a value of another kind.
    """
    try:
        return _read(found.spec, found.revision)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise errors.InputError(
            f"malformed configuration: {error!r}",
            key=f"{names.CONFIGURATION_KIND}/{names.CONFIGURATION_NAME}",
        ) from error


def _read(spec: Mapping, revision: int) -> catalog.Catalogue:
    services = [_read_service(item) for item in spec["services"]]
    accounts = {
        key: ids.AccountId(item["name"])
        for item in spec.get("tenants") or ()
        for key in item.get("api_keys") or ()
    }
    return catalog.Catalogue(
        version=int(spec["version"]),
        revision=revision,
        routes=tuple(_read_route(item) for item in spec["routes"]),
        services={item.name: item for item in services},
        accounts=accounts,
        needs_keys="tenants" in spec,
        limits=_read_limits(spec.get("limits") or {}),
    )


def _read_route(item: Mapping) -> catalog.Route:
    timeout = float(item["timeout_ms"]) / 1000
    target = float(item.get("target_latency_ms") or item["timeout_ms"]) / 1000
    return catalog.Route(
        name=item["name"],
        host=item["host"].lower(),
        prefix=item["path_prefix"],
        kind=KINDS[item["route_type"]],
        targets=_read_targets(item),
        timeout=timeout,
        target_latency=target,
        gap_max=float(item.get("max_gap_ms") or item["timeout_ms"]) / 1000,
        attempts_max=int(item.get("max_attempts") or 1),
        is_anonymous=bool(item.get("anonymous")),
        is_resumable=bool(item.get("resumable")),
    )


def _read_targets(item: Mapping) -> tuple[catalog.Target, ...]:
    if not item.get("split"):
        return (catalog.Target(ids.ServiceId(item["service"]), 1.0),)
    return tuple(
        catalog.Target(ids.ServiceId(part["service"]), float(part["weight"]))
        for part in item["split"]
    )


def _read_service(item: Mapping) -> catalog.Service:
    engine = item.get("engine")
    return catalog.Service(
        name=ids.ServiceId(item["name"]),
        connections_max=int(item.get("max_conns") or 0),
        engine=None if engine is None else _read_engine(engine),
    )


def _read_engine(item: Mapping) -> catalog.Engine:
    return catalog.Engine(
        slots=int(item["slots"]),
        memory_tokens=int(item["kv_capacity_tokens"]),
        stride=int(item.get("stride") or 1),
        moves=bool(item.get("moves")),
        copy_token_seconds=_read_copy_seconds(item),
    )


def _read_copy_seconds(item: Mapping) -> float:
    """Return the time to copy a token: its bytes over the link's bits a second."""
    link = float(item.get("link_mbps") or 0.0)
    return float(item.get("kv_bytes") or 0.0) * 8 / (link * 1e6) if link else 0.0


def _read_limits(item: Mapping) -> catalog.Limits:
    usual = catalog.Limits()
    return catalog.Limits(
        header_bytes=int(item.get("max_header_bytes") or usual.header_bytes),
        body_bytes=int(item.get("max_body_bytes") or usual.body_bytes),
        header_seconds=float(
            item.get("header_timeout_ms") or usual.header_seconds * 1000
        )
        / 1000,
        idle_seconds=float(item.get("idle_timeout_ms") or usual.idle_seconds * 1000)
        / 1000,
        tokens_per_second=float(item.get("tokens_per_s") or 0.0),
    )
