"""Stored forms of what proves at which software versions streams began."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from celeryspan import ids, storedobjects, untrusted
from celeryspan.decisions import versionrecords
from celeryspan.platform import names

REQUEST_CHARACTERS_MAX = 128
"""Longest request id in a list, so that few of them can't fill it."""

Origins = dict[ids.RequestId, tuple[ids.ServiceId, ids.SoftwareVersion]]


def write_record(record: versionrecords.VersionRecord) -> dict[str, object]:
    """Return the spec of the record of one service."""
    return {
        "era": record.basis.era,
        "routes": record.basis.routes,
        "versions": sorted(record.versions),
        "leaving": sorted(record.leaving),
    }


def read_record(stored: storedobjects.StoredObject) -> versionrecords.VersionRecord:
    """Parse the record of one service.

    Raises
    ------
    errors.InputError
        If it is malformed.
    """
    key = f"{names.VERSION_RECORD_KIND}/{stored.name}"
    with untrusted.decode("record of software versions", key=key):
        versions = _parse_versions(stored.spec["versions"])
        if not versions:
            raise ValueError("expected a version, found none")
        return versionrecords.VersionRecord(
            versionrecords.Basis(
                ids.Era(untrusted.parse_count(stored.spec["era"], "era")),
                untrusted.parse_unsigned(stored.spec["routes"], "routes"),
            ),
            versions,
            _parse_versions(stored.spec["leaving"]) & versions,
        )


def _parse_versions(listed: object) -> versionrecords.Versions:
    if not isinstance(listed, list):
        raise TypeError("expected a list of versions")
    return frozenset(
        ids.SoftwareVersion(each and untrusted.parse_text(each, "version"))
        for each in listed
    )


def is_listable(request: object) -> bool:
    """Whether a request id can stand in a list; callers choose the ids."""
    return (
        isinstance(request, str)
        and request.isprintable()
        and 0 < len(request) <= REQUEST_CHARACTERS_MAX
    )


def write_origins(origins: Iterable[tuple[str, str, str]]) -> dict[str, object]:
    """Return the spec of a list of origins: request, service and version."""
    services: dict[str, dict[str, list[str]]] = {}
    for request, service, version in origins:
        services.setdefault(service, {}).setdefault(version, []).append(request)
    return {"services": services}


def read_origins(stored: storedobjects.StoredObject) -> Origins:
    """Parse a list of origins.

    Raises
    ------
    errors.InputError
        If it is malformed.
    """
    key = f"{names.ORIGIN_LIST_KIND}/{stored.name}"
    with untrusted.decode("list of origins", key=key):
        return dict(_parse_services(stored.spec["services"]))


def _parse_services(
    services: Mapping,
) -> Iterable[tuple[ids.RequestId, tuple[ids.ServiceId, ids.SoftwareVersion]]]:
    for service, versions in services.items():
        name = ids.ServiceId(untrusted.parse_text(service, "service"))
        for version, requests in versions.items():
            origin = (
                name,
                ids.SoftwareVersion(untrusted.parse_text(version, "version")),
            )
            for request in filter(is_listable, requests):
                yield ids.RequestId(request), origin
