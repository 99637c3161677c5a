"""The configuration of the platform: routes, services, client accounts and limits.

A catalogue is immutable; a newer version replaces it as a whole.
"""

from __future__ import annotations

import collections
import enum
import functools

import msgspec
import xxhash

from celeryspan import ids, storedobjects

SPLIT_BUCKETS = 10_000
"""Number of hash buckets by which a route splits its requests among services."""


NO_VERSION = ids.SoftwareVersion("")
"""Stands for any version, and for one that is not known."""


class RouteKind(enum.Enum):
    """How the requests of a route may be retried when their outcome is unknown."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class Target(msgspec.Struct, frozen=True):
    """A service that receives a weighted share of the requests of a route."""

    service: ids.ServiceId
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Targets and request policy for one host and path prefix.

    Attributes
    ----------
    timeout : float
        Maximum duration of a request, in seconds.
    target_latency : float
        Latency objective for an answer or the first event of a stream, in seconds.
    gap_max : float
        Longest gap between events at which a stream still meets its objective, in
        seconds.
    attempts_max : int
        Maximum number of backend servers that one request is sent to.
    is_anonymous : bool
        Whether requests are accepted without a key.
    is_resumable : bool
        Whether another backend server may resume a broken stream.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout: float
    target_latency: float
    gap_max: float
    attempts_max: int
    is_anonymous: bool
    is_resumable: bool

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT

    def choose_service(self, request: ids.RequestId) -> ids.ServiceId | None:
        """Return the service of one request, or None if no target has a weight.

        The choice depends only on the request id, so that every attempt of a request
        goes to the same service.
        """
        total = sum(target.weight for target in self.targets)
        if total <= 0:
            return None
        bucket = xxhash.xxh3_64_intdigest(request.encode()) % SPLIT_BUCKETS
        remaining = total * bucket / SPLIT_BUCKETS
        for target in self.targets:
            remaining -= target.weight
            if remaining < 0:
                return target.service
        return self.targets[-1].service


class Engine(msgspec.Struct, frozen=True):
    """Properties of the model engines of a service.

    Attributes
    ----------
    slots : int
        Number of requests that run concurrently.
    memory_tokens : int
        Memory capacity in tokens, shared by running requests and kept prompt parts.
    stride : int
        Number of tokens in one event of a stream.
    moves : bool
        Whether a run can be migrated to another engine together with its KV cache.
    copy_token_seconds : float
        Time to copy the KV cache of one token to another engine, in seconds; 0 if
        engines can't copy it.
    """

    slots: int
    memory_tokens: int
    stride: int
    moves: bool = False
    copy_token_seconds: float = 0.0


class Service(msgspec.Struct, frozen=True):
    """A service; ``engine`` is None for a plain service.

    Attributes
    ----------
    cold_seconds : float
        Time for which its servers stay cold after a start, in seconds.
    cold_rate : float
        Requests per second that a cold server tolerates; 0 if it has no limit.
    """

    name: ids.ServiceId
    connections_max: int
    engine: Engine | None = None
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


class Limits(msgspec.Struct, frozen=True):
    """Limits on the requests that callers send.

    Attributes
    ----------
    header_seconds, idle_seconds : float
        Maximum time to receive the head of a request, and between two requests on one
        connection.
    tokens_per_second : float
        Total throughput of all model engines.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0
    tokens_per_second: float = 0.0


class Catalogue(msgspec.Struct, frozen=True, dict=True):
    """One version of the configuration.

    Attributes
    ----------
    revision : int
        Revision of the store at which this version was written.
    era : Era
        Era of the store to which the revision belongs.
    accounts : dict
        Client account by key.
    needs_keys : bool
        Whether routes that are not anonymous require a key.
    """

    version: int
    revision: int
    routes: tuple[Route, ...]
    services: dict[ids.ServiceId, Service]
    accounts: dict[str, ids.AccountId]
    needs_keys: bool
    limits: Limits
    era: ids.Era = ids.NO_ERA

    @property
    def position(self) -> storedobjects.Position:
        """Where in the history of the store this version was written."""
        return storedobjects.Position(self.era, self.revision)

    @functools.cached_property
    def _by_host(self) -> dict[str, tuple[Route, ...]]:
        """Routes by host, longest prefix first."""
        found: dict[str, list[Route]] = collections.defaultdict(list)
        for route in self.routes:
            found[route.host].append(route)
        return {
            host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
            for host, routes in found.items()
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class ServerEntry(msgspec.Struct, frozen=True):
    """A backend server as described by the last entry that it published.

    Attributes
    ----------
    revision : int
        Revision of the store at which this entry was written.
    era : Era
        Era of the store in which it was read.
    started_ms : int or None
        When this incarnation started, in Unix milliseconds; None if the server doesn't
        report it. A server may restart under its id; it then has lost all its state.
    cold_seconds : float
        How much longer the server stays cold, as of the entry.
    cold_until : float
        Monotonic time on this router until which the server counts as cold.
    version : SoftwareVersion
        Version of its software. What servers of two versions write does not fit
        together.
    """

    server: ids.ServerId
    service: ids.ServiceId
    address: ids.Address
    data_centre: ids.DataCentreId
    slots: int
    is_leaving: bool
    revision: int
    started_ms: int | None = None
    cold_seconds: float = 0.0
    cold_until: float = 0.0
    version: ids.SoftwareVersion = NO_VERSION
    era: ids.Era = ids.NO_ERA

    @property
    def position(self) -> storedobjects.Position:
        """Where in the history of the store it was written."""
        return storedobjects.Position(self.era, self.revision)

    def is_cold(self, now: float) -> bool:
        """Whether the server tolerates only a limited rate of requests."""
        return now < self.cold_until

    def succeeds(self, other: ServerEntry) -> bool:
        """Whether this is a later incarnation of the same server.

        False if either entry has no start time, because the order is then unknown.
        """
        if self.started_ms is None or other.started_ms is None:
            return False
        return self.started_ms > other.started_ms

    def replaces(self, other: ServerEntry) -> bool:
        """Whether this describes another incarnation than an earlier entry.

        Servers without a start time show it by another version of their software.
        """
        return self.succeeds(other) or self.version != other.version


class ServerLoad(msgspec.Struct, frozen=True):
    """The load that a backend server reports in the head of an answer.

    Attributes
    ----------
    running, waiting, slots : int
        Requests that run and wait at the server, and how many it runs concurrently.
    pace : float
        Service time on its VM relative to the usual; 2 is half as fast.
    """

    running: int
    waiting: int
    slots: int
    pace: float


class Announcement(msgspec.Struct, frozen=True):
    """What a backend server states about itself in the head of an answer.

    Attributes
    ----------
    rest_seconds : float or None
        For how long it wants no requests from this router, as stated; NaN if that is
        not a number, None if it asks for no rest.
    rest_text : str
        The same as received.
    """

    is_leaving: bool = False
    rest_seconds: float | None = None
    rest_text: str = ""
