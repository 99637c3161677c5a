"""Keeps each resumable stream at the software version that began it.

What servers of two versions write does not fit together, and servers don't check it. A
caller may take a stream up at any router, also one that has never seen it, while the
router that began it is gone. Without this module half of the streams that are taken up
beside a release hold events of two versions.

* The origin of a stream, its service and version, is held by the router that serves it,
  by the home of its pool, and by :data:`HOLDERS` routers that a hash of the first
  request chooses among the service's hosts. Few routers hold most streams of a
  service, so that a home sends each of them one message for many streams; the hash
  spreads streams, so that the loss of some routers never loses all of them.
* A stream whose origin is named and unknown does not go on. A version that serves alone
  is no proof: a router that is cut off, or has just started, sees no other one.
* What no router remembers any more, the store proves: its record names the only version
  at which streams may have begun, or a list names the stream
  (:mod:`celeryspan.decisions.versionrecords`).
* Callers of an older protocol name no origin. Their streams go on while one version
  alone has served for as long as streams are taken up, as seen by this router or proved
  by the store's record.
* A server that can restart under its id may have another version than its last known
  entry says. A stream goes on there only if the entries were confirmed recently. One
  that begins there goes on nowhere, unless its connection is older than the last
  confirmation and so leads to the server that the entry describes.
* Origins are forgotten once no caller can take the stream up any more, and the oldest
  ones first if there are too many.
"""

from __future__ import annotations

import collections
import enum
import math
from collections.abc import Collection, Iterable, Sequence

import msgspec
import xxhash

from celeryspan import catalog, ids

HOLDERS = 3
"""Routers that hold an origin besides the home and the router that serves the stream.
With half of all routers lost at once, one in eight origins is lost."""

HOSTS_MIN = 4
"""Least number of routers among which the holders are chosen, if there are as many."""

TAKE_UP_SECONDS = 10.0
"""Time after the longest stream within which callers take it up again."""

ORIGINS_MAX = 50_000
"""Origins that one router holds; 250 streams a second make 6,250 in 25 s."""

ENTRIES_AGE_SECONDS_MAX = 4.0
"""Age of the entries up to which a restart under the same id would be known; a router
that reads them from others has them confirmed every 2.6 s."""

UNPROVEN = ids.SoftwareVersion("(unproven)")
"""Version of a stream that began at a server whose version was not certain."""


class Verdict(enum.Enum):
    """Whether a stream may go on; the values are codes that callers and logs see."""

    GOES_ON = "goes-on"
    VERSION_GONE = "version-gone"
    VERSION_UNCONFIRMED = "version-unconfirmed"
    ORIGIN_UNKNOWN = "origin-unknown"


class Origin(msgspec.Struct, frozen=True):
    """Where a stream began.

    Attributes
    ----------
    version : SoftwareVersion
        Empty if two versions claim to have begun it.
    seen_at : float
        Time at which the stream last went on.
    """

    service: ids.ServiceId
    version: ids.SoftwareVersion
    seen_at: float


class Origins:
    """The origins that one router holds, by the request that brought the first event.

    Parameters
    ----------
    capacity : int
        Most origins held.
    """

    def __init__(self, capacity: int = ORIGINS_MAX) -> None:
        self._capacity = capacity
        self._found: collections.OrderedDict[ids.RequestId, Origin] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._found)

    def record(
        self,
        request: ids.RequestId,
        service: ids.ServiceId,
        version: ids.SoftwareVersion,
        seen_at: float,
    ) -> bool:
        """Record an origin; returns whether an older one had to be dropped for it.

        Two different origins of one request contradict each other. Neither is then
        believed, so that the stream doesn't go on.
        """
        known = self._found.pop(request, None)
        if known is not None:
            seen_at = max(seen_at, known.seen_at)
            if (known.service, known.version) != (service, version):
                version = catalog.NO_VERSION
        self._found[request] = Origin(service, version, seen_at)
        if len(self._found) <= self._capacity:
            return False
        self._found.popitem(last=False)
        return True

    def find(self, request: ids.RequestId) -> Origin | None:
        """Return the origin of a stream, or None if it is not known."""
        return self._found.get(request)

    def expire(self, before: float) -> None:
        """Forget the streams that last went on before a time."""
        while self._found:
            request, origin = next(iter(self._found.items()))
            if origin.seen_at >= before:
                return
            del self._found[request]

    def list_all(self) -> list[tuple[ids.RequestId, Origin]]:
        """Return all origins, those recorded first at the front."""
        return list(self._found.items())


class VersionHistory:
    """When servers of each version could last begin streams, as seen by one router."""

    def __init__(self) -> None:
        self._since = math.inf
        self._listed: set[tuple[ids.ServiceId, ids.SoftwareVersion]] = set()
        self._seen_at: dict[tuple[ids.ServiceId, ids.SoftwareVersion], float] = {}

    def record(self, servers: Iterable[catalog.ServerEntry], now: float) -> None:
        """Record a change of the usable servers."""
        self._since = min(self._since, now)
        earlier = self._listed
        self._listed = {(entry.service, entry.version) for entry in servers}
        self._seen_at.update(dict.fromkeys(earlier | self._listed, now))

    def covers(self, since: float) -> bool:
        """Whether the changes since a time are known."""
        return self._since <= since

    def find_sole_version(
        self, service: ids.ServiceId, since: float
    ) -> ids.SoftwareVersion:
        """Return the only version of a service since a time; empty if it is unclear."""
        found = [
            version
            for (name, version), seen_at in self._seen_at.items()
            if name == service and (seen_at >= since or (name, version) in self._listed)
        ]
        return found[0] if len(found) == 1 else catalog.NO_VERSION


def choose_holders(
    request: ids.RequestId, hosts: Collection[ids.RouterId]
) -> tuple[ids.RouterId, ...]:
    """Return the routers that hold the origin of a stream, by rendezvous hashing."""
    ranked = sorted(hosts, key=lambda host: (_weigh(host, request), host))
    return tuple(ranked[:HOLDERS])


def find_new_holders(
    request: ids.RequestId,
    hosts: Collection[ids.RouterId],
    earlier_hosts: Collection[ids.RouterId],
) -> set[ids.RouterId]:
    """Return the holders of an origin that a change of the hosts adds."""
    earlier = choose_holders(request, earlier_hosts)
    return {*choose_holders(request, hosts)}.difference(earlier)


def judge(
    origin: Origin | None,
    service: ids.ServiceId,
    servers: Iterable[catalog.ServerEntry],
    age: float,
) -> Verdict:
    """Return whether a stream may go on at one of some usable servers.

    Parameters
    ----------
    service : ServiceId
        The service to which the request is sent now.
    age : float
        Time since the entries of the servers were last confirmed, in seconds.
    """
    if origin is None or not origin.version:
        return Verdict.ORIGIN_UNKNOWN
    if origin.service != service:
        return Verdict.VERSION_GONE
    return judge_version(origin.version, service, servers, age)


def judge_version(
    version: ids.SoftwareVersion,
    service: ids.ServiceId,
    servers: Iterable[catalog.ServerEntry],
    age: float,
) -> Verdict:
    """Return whether a stream of a known version may go on; see :func:`judge`."""
    known = [entry for entry in servers if entry.service == service]
    if not known:
        return Verdict.GOES_ON  # The list of servers may not have arrived yet.
    found = [entry for entry in known if may_continue(entry, version)]
    if not found:
        return Verdict.VERSION_GONE
    if not any(is_confirmed(entry, age) for entry in found):
        return Verdict.VERSION_UNCONFIRMED
    return Verdict.GOES_ON


def is_confirmed(entry: catalog.ServerEntry, age: float) -> bool:
    """Whether a server still has the version of its entry if it still has its id.

    Parameters
    ----------
    age : float
        As in :func:`judge`.
    """
    return entry.started_ms is None or age <= ENTRIES_AGE_SECONDS_MAX


def may_continue(entry: catalog.ServerEntry, version: ids.SoftwareVersion) -> bool:
    """Whether a server may continue a stream; any may begin one (no version)."""
    return not version or (version != UNPROVEN and entry.version == version)


def find_begun_version(
    entry: catalog.ServerEntry, age: float, connection_age: float
) -> ids.SoftwareVersion:
    """Return the version at which a stream begins; :data:`UNPROVEN` if it is unclear.

    Parameters
    ----------
    entry : ServerEntry
        The server's entry when the connection was opened.
    age : float
        Time since the entries were last confirmed, in seconds.
    connection_age : float
        Time since the connection to the server was opened, in seconds.
    """
    if is_confirmed(entry, age) or connection_age >= age:
        return entry.version
    return UNPROVEN


def compute_retention(timeouts: Sequence[float]) -> float:
    """Return for how long an origin is held after its stream last went on, in seconds.

    Parameters
    ----------
    timeouts : sequence of float
        The longest durations of streams, by route.
    """
    return max(timeouts, default=0.0) + TAKE_UP_SECONDS


def _weigh(host: ids.RouterId, request: ids.RequestId) -> int:
    return xxhash.xxh3_64_intdigest(f"{host}/{request}".encode())
