"""Decides which streams need no list of their own to prove where they began.

For each service the store holds one small record: the software versions at which
streams that are on no list may have begun. While it names one version, that version
began each stream that no router remembers, and nothing else need be written. While it
names several, the origin of each stream is listed in the store.

* A home lets streams begin at a version only once the record names it. A router that
  reads the record after a caller has taken a stream up therefore never finds too few.
* A version is removed from the record once it has not served for as long as its streams
  can be taken up. It is marked first: a home that sees it serve again takes the mark
  away, so that a removal that was late or on its way has no effect.
* What was written shortly before the store was restored from a copy is lost. A record
  of an earlier era therefore proves nothing; the first one of an era also names
  :data:`UNKNOWN`, which no server has, for the same time.
* A stream may be taken up at a service that did not begin it if routes have changed.
  The record is therefore written for certain routes, and proves nothing under others.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Set
from typing import NamedTuple

import msgspec
import xxhash

from celeryspan import catalog, ids, storedobjects

UNKNOWN = catalog.NO_VERSION
"""Stands in a record for versions that are not known any more."""

FIRST_ERA = ids.Era(1)
"""Era of a store that was never restored."""

SETTLE_MARGIN_SECONDS = 10.0
"""Additional time for which a version stays in the record, in which routers that see
changes of the servers late have seen them."""

Versions = frozenset[ids.SoftwareVersion]

NO_VERSIONS: Versions = frozenset()


class Basis(NamedTuple):
    """What must be the same for a record to prove anything.

    Attributes
    ----------
    era : Era
        Era of the store.
    routes : int
        Digest of the routes of resumable streams.
    """

    era: ids.Era
    routes: int


NO_BASIS = Basis(ids.NO_ERA, -1)
"""Basis of a record that can't be read."""


class VersionRecord(msgspec.Struct, frozen=True):
    """The record of one service.

    Attributes
    ----------
    basis : Basis
        Era and routes for which the record was written.
    versions : frozenset of SoftwareVersion
        Versions at which streams that are on no list may have begun.
    leaving : frozenset of SoftwareVersion
        Those of them that are about to be removed.
    """

    basis: Basis
    versions: Versions
    leaving: Versions = NO_VERSIONS


def hash_routes(routes: Iterable[catalog.Route]) -> int:
    """Return a digest of where the routes of resumable streams lead."""
    targets = sorted(
        (route.host, route.prefix, *((t.service, t.weight) for t in route.targets))
        for route in routes
        if route.kind is catalog.RouteKind.STREAM and route.is_resumable
    )
    return xxhash.xxh3_64_intdigest(repr(targets).encode()) >> 1


def find_sole_version(
    record: VersionRecord | None, basis: Basis
) -> ids.SoftwareVersion:
    """Return the version at which all streams on no list began; empty if unclear.

    Parameters
    ----------
    basis : Basis
        Era in which the record was read, and the routes now.
    """
    if record is None or record.basis != basis or len(record.versions) != 1:
        return catalog.NO_VERSION
    (version,) = record.versions
    return version


def extend(
    record: VersionRecord | None, basis: Basis, versions: Versions
) -> VersionRecord:
    """Return a record that names further versions, for the current basis."""
    if record is None:
        return VersionRecord(basis, versions)
    lost = NO_VERSIONS if record.basis == basis else frozenset({UNKNOWN})
    leaving = record.leaving - versions if record.basis == basis else NO_VERSIONS
    return VersionRecord(basis, record.versions | versions | lost, leaving)


class Admissions:
    """What one router knows of the record of each service, and of the servers.

    Attributes
    ----------
    basis : Basis
        Latest era of the store that this router has heard of, and the routes in force.
    further : frozenset of SoftwareVersion
        Versions that the records must name besides those that serve.
    """

    def __init__(self) -> None:
        self.basis = NO_BASIS
        self.further: Versions = NO_VERSIONS
        self._listed: dict[ids.ServiceId, Versions] = {}
        self._confirmed: dict[ids.ServiceId, Versions] = {}
        self._known: dict[
            ids.ServiceId, tuple[storedobjects.Position, VersionRecord]
        ] = {}
        self._peers: dict[ids.ServiceId, Versions] = {}
        self._watched_since: dict[ids.ServiceId, float] = {}
        self._marked_at: dict[ids.ServiceId, float] = {}
        self._seen_at: dict[tuple[ids.ServiceId, ids.SoftwareVersion], float] = {}

    def observe(
        self, listed: Mapping[ids.ServiceId, Set[ids.SoftwareVersion]], now: float
    ) -> None:
        """Record which versions serve.

        A version that comes back must be confirmed again: it may have been removed from
        the record meanwhile.
        """
        self._listed = {service: frozenset(found) for service, found in listed.items()}
        for service, versions in self._listed.items():
            self._seen_at.update(dict.fromkeys(((service, v) for v in versions), now))
        for known in (self._confirmed, self._peers):
            for service in known:
                known[service] &= self._listed.get(service, NO_VERSIONS)

    def admits(self, service: ids.ServiceId, version: ids.SoftwareVersion) -> bool:
        """Whether streams may begin at a version."""
        return version in self.list_admitted(service)

    def list_admitted(self, service: ids.ServiceId) -> Versions:
        """Return the versions at which streams may begin.

        What a peer has confirmed since a version appeared counts too: no router removes
        a version that serves.
        """
        confirmed = self._confirmed.get(service, NO_VERSIONS)
        return confirmed | self._peers.get(service, NO_VERSIONS)

    def is_confirmed(self, service: ids.ServiceId) -> bool:
        """Whether the current record names all versions that serve."""
        listed = self._listed.get(service, NO_VERSIONS)
        if not listed:
            return True
        known = self._known.get(service)
        return (
            known is not None
            and known[1].basis == self.basis
            and self.further <= known[1].versions
            and listed <= self._confirmed.get(service, NO_VERSIONS)
        )

    def must_list(self, service: ids.ServiceId) -> bool:
        """Whether the origins of a service's streams must be listed."""
        known = self._known.get(service)
        return known is None or not find_sole_version(known[1], self.basis)

    def find(self, service: ids.ServiceId) -> VersionRecord | None:
        """Return the record of a service as it was last read or written."""
        known = self._known.get(service)
        return known[1] if known else None

    def propose(
        self,
        service: ids.ServiceId,
        record: VersionRecord | None,
    ) -> VersionRecord | None:
        """Return the record to write so that all versions that serve may begin streams.

        Returns None if the record names all of them.

        Parameters
        ----------
        record : VersionRecord or None
            The record in the store; None if there is none.
        """
        wanted = self._listed.get(service, NO_VERSIONS) | self.further
        if not wanted:
            return None
        if record is None and (service in self._known or self.basis.era > FIRST_ERA):
            wanted |= {UNKNOWN}  # It may have been lost with the store's last writes.
        proposed = extend(record, self.basis, wanted)
        return None if proposed == record else proposed

    def confirm(
        self,
        service: ids.ServiceId,
        record: VersionRecord,
        position: storedobjects.Position,
        now: float,
    ) -> None:
        """Record what the store holds after this router has read or written it."""
        known = self._known.get(service)
        if known is None or known[1].basis != record.basis:
            self._watched_since[service] = now
        if known is None or known[1].leaving != record.leaving:
            self._marked_at[service] = now
        if known is None or position >= known[0]:
            self._known[service] = position, record
        if record.basis == self.basis:
            listed = self._listed.get(service, NO_VERSIONS)
            self._confirmed[service] = record.versions & listed

    def learn(self, service: ids.ServiceId, admitted: Versions) -> None:
        """Use what a peer has confirmed; the store may not answer this router."""
        listed = self._listed.get(service, NO_VERSIONS)
        self._peers[service] = admitted & listed

    def find_settled(
        self, service: ids.ServiceId, retention: float, now: float
    ) -> VersionRecord | None:
        """Return the next step to a record without versions that served long ago.

        They are marked first, and removed once all routers have had time to see them
        serve again. Returns None if there is nothing to write.

        Parameters
        ----------
        retention : float
            For how long a stream can be taken up after it began, in seconds.
        """
        record = self.find(service)
        if record is None or record.basis != self.basis or len(record.versions) < 2:
            return None
        since = self._watched_since[service]
        before = now - retention - SETTLE_MARGIN_SECONDS
        kept = frozenset(
            version
            for version in record.versions
            if version in self.further
            or max(self._seen_at.get((service, version), since), since) > before
        )
        leaving = record.versions - kept if kept else NO_VERSIONS
        if leaving != record.leaving:
            return VersionRecord(record.basis, record.versions, leaving)
        is_due = now - self._marked_at[service] > SETTLE_MARGIN_SECONDS
        return VersionRecord(record.basis, kept) if leaving and is_due else None
