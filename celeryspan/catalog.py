"""What operators configure on the platform: routes, services, accounts and limits.

A catalogue is immutable; a newer version replaces it whole.
"""

from __future__ import annotations

import collections
import enum
import functools

import msgspec
import xxhash

from celeryspan import ids

SPLIT_BUCKETS = 10_000
"""Steps in which a route divides its requests among services."""


class RouteKind(enum.Enum):
    """What may be done with a request whose outcome is not known."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class Target(msgspec.Struct, frozen=True):
    """A service that gets a share of the requests of a route."""

    service: ids.ServiceId
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where requests of one host and path prefix go, and how they are treated.

    Attributes
    ----------
    timeout : float
        Longest time that a request is kept, in seconds.
    target_latency : float
        Latency objective of an answer, or of the first event of a stream, in seconds.
    gap_max : float
        Longest pause between events for which a stream is on time, in seconds.
    attempts_max : int
        Greatest number of backend servers that one request is sent to.
    is_anonymous : bool
        Whether requests need no key.
    is_resumable : bool
        Whether another backend server may go on with a broken stream.
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

        The choice hangs on the request alone, so that all its attempts agree.
        """
        total = sum(target.weight for target in self.targets)
        if total <= 0:
            return None
        draw = xxhash.xxh3_64_intdigest(request.encode()) % SPLIT_BUCKETS
        place = total * draw / SPLIT_BUCKETS
        for target in self.targets:
            place -= target.weight
            if place < 0:
                return target.service
        return self.targets[-1].service


class Engine(msgspec.Struct, frozen=True):
    """What is known of the model engines of a service.

    Attributes
    ----------
    slots : int
        Requests that run at once.
    memory_tokens : int
        Tokens of running requests and kept prompt parts that fit together.
    stride : int
        Tokens in one event of a stream.
    moves : bool
        Whether a run may be moved to another engine with what it has read.
    copy_token_seconds : float
        To copy what was read of one token to another engine; 0 if that can't be done.
    """

    slots: int
    memory_tokens: int
    stride: int
    moves: bool = False
    copy_token_seconds: float = 0.0


class Service(msgspec.Struct, frozen=True):
    """A service; ``engine`` is None for plain services."""

    name: ids.ServiceId
    connections_max: int
    engine: Engine | None = None


class Limits(msgspec.Struct, frozen=True):
    """Bounds on what callers send.

    Attributes
    ----------
    header_seconds, idle_seconds : float
        Longest time for the head of a request, and between two requests.
    tokens_per_second : float
        Throughput of all model engines together.
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
        Place of this version in the order of all writes to the store; a router never
        goes back to a lower one.
    accounts : dict
        Client account of each key.
    needs_keys : bool
        Whether routes that are not anonymous ask for a key at all.
    """

    version: int
    revision: int
    routes: tuple[Route, ...]
    services: dict[ids.ServiceId, Service]
    accounts: dict[str, ids.AccountId]
    needs_keys: bool
    limits: Limits

    @functools.cached_property
    def _by_host(self) -> dict[str, tuple[Route, ...]]:
        """Routes of each host, longest prefix first."""
        found: dict[str, list[Route]] = collections.defaultdict(list)
        for route in self.routes:
            found[route.host].append(route)
        return {
            host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
            for host, routes in found.items()
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins a path, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class ServerEntry(msgspec.Struct, frozen=True):
    """A backend server as it last described itself.

    Attributes
    ----------
    revision : int
        Place of this description in the order of all writes to the store.
    started_ms : int or None
        When this incarnation started, in Unix milliseconds; None if it doesn't say. A
        server may start again under its id, and then holds nothing of before.
    """

    server: ids.ServerId
    service: ids.ServiceId
    address: ids.Address
    data_centre: ids.DataCentreId
    slots: int
    is_leaving: bool
    revision: int
    started_ms: int | None = None

    def succeeds(self, other: ServerEntry) -> bool:
        """Whether this is a later incarnation of the same server.

        Compared with an entry that does not say when it started nothing is known.
        """
        if self.started_ms is None or other.started_ms is None:
            return False
        return self.started_ms > other.started_ms
