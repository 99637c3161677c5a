"""Tracks what backend servers announce about themselves: departures and rest periods.

A server that is about to stop says so in its answers, seconds before its entry in the
store changes, and also while the store is away. A server that turns a request away may
ask the router for a rest. Without this module routers keep sending to both: the first
one ends before it has served the requests, and the second one is kept overloaded by
repeated requests.

* A departure concerns the whole fleet. It holds for one incarnation of the server and
  can't be revoked by the store, whose entry may be older.
* A rest concerns the router that was asked for it. The homes of pools grant that router
  nothing at the server until the rest ends; other routers may still use it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec

from celeryspan import catalog, ids
from celeryspan.wire import messages

REST_SECONDS_MAX = 120.0
"""Longest rest that is granted; a longer one is taken for a mistake of the server."""

DEPARTURE_RETENTION_SECONDS = 600.0
"""Age at which a departure is forgotten. A server that is still listed as ready then
has not left; its next answer tells whether it still means to."""

REST_SECONDS_DEFAULT = 1.0
"""Rest of a server that asks for it without stating a number."""

SERVERS_RESTING = "servers-resting"
"""Error code of a refusal because all servers rest for the router."""

UNKNOWN_INCARNATION = 0
"""Incarnation of a server that does not report its start time. Such a server has a new
id after each start."""


class Departure(msgspec.Struct, frozen=True):
    """A server that has announced its departure.

    Attributes
    ----------
    announced_at : float
        Monotonic time on this router, in seconds.
    """

    server: ids.ServerId
    incarnation: int
    announced_at: float


class Rest(msgspec.Struct, frozen=True):
    """A rest that a server has asked for; times are monotonic, in seconds."""

    server: ids.ServerId
    incarnation: int
    asked_at: float
    ends_at: float


def bound_rest(stated: float) -> float:
    """Return the rest that is granted to a server, in seconds.

    Parameters
    ----------
    stated : float
        The rest that it asks for; NaN if it stated no number.
    """
    if math.isnan(stated):
        return REST_SECONDS_DEFAULT
    return min(max(stated, 0.0), REST_SECONDS_MAX)


def get_incarnation(entry: catalog.ServerEntry) -> int:
    """Return the incarnation that an entry describes."""
    return entry.started_ms or UNKNOWN_INCARNATION


class Departures:
    """The servers that have announced their departure, in this or other routers."""

    def __init__(self) -> None:
        self._departures: dict[ids.ServerId, Departure] = {}

    def record(
        self, server: ids.ServerId, incarnation: int, age: float, now: float
    ) -> bool:
        """Record a departure; returns whether it was unknown.

        Parameters
        ----------
        age : float
            Time since the server announced it, in seconds.
        """
        if age >= DEPARTURE_RETENTION_SECONDS:
            return False
        known = self._departures.get(server)
        if known is not None and known.incarnation >= incarnation:
            return False
        self._departures[server] = Departure(server, incarnation, now - age)
        return True

    def is_leaving(self, entry: catalog.ServerEntry) -> bool:
        """Whether the incarnation that an entry describes has announced to leave."""
        known = self._departures.get(entry.server)
        return known is not None and known.incarnation >= get_incarnation(entry)

    def expire(self, now: float) -> list[Departure]:
        """Forget old departures and return them."""
        limit = now - DEPARTURE_RETENTION_SECONDS
        expired = [
            each for each in self._departures.values() if each.announced_at <= limit
        ]
        for each in expired:
            del self._departures[each.server]
        return expired

    def list_all(self) -> list[Departure]:
        """Return all departures."""
        return list(self._departures.values())


class Rests:
    """The rests that servers have asked one router for."""

    def __init__(self) -> None:
        self._rests: dict[ids.ServerId, Rest] = {}

    def record(self, rest: Rest) -> bool:
        """Record a rest; returns whether it prolongs the known one."""
        known = self._rests.get(rest.server)
        if known is not None and known.incarnation > rest.incarnation:
            return False
        is_newer = known is None or known.incarnation < rest.incarnation
        if not is_newer and known.ends_at >= rest.ends_at:
            return False
        self._rests[rest.server] = rest
        return True

    def find(self, entry: catalog.ServerEntry, now: float) -> Rest | None:
        """Return the rest of a server that has not ended, or None."""
        rest = self._rests.get(entry.server)
        if rest is None or rest.ends_at <= now:
            return None
        return rest if rest.incarnation == get_incarnation(entry) else None

    def find_ends(
        self, entries: Iterable[catalog.ServerEntry], now: float
    ) -> float | None:
        """Return when the first of some servers may be used again.

        Returns None if any of them may be used now, or if there are none.
        """
        if not self._rests:
            return None
        earliest = math.inf
        for entry in entries:
            rest = self.find(entry, now)
            if rest is None:
                return None
            earliest = min(earliest, rest.ends_at)
        return None if math.isinf(earliest) else earliest

    def expire(self, now: float) -> None:
        """Forget the rests that have ended."""
        self._rests = {
            server: rest for server, rest in self._rests.items() if rest.ends_at > now
        }

    def list_active(self, now: float) -> list[Rest]:
        """Return the rests that have not ended."""
        return [rest for rest in self._rests.values() if rest.ends_at > now]


def make_departure_message(
    departure: Departure, now: float
) -> messages.ServerDeparture:
    """Return the message that tells other routers of a departure."""
    return messages.ServerDeparture(
        departure.server, departure.incarnation, max(0.0, now - departure.announced_at)
    )


def make_rest_message(rest: Rest, pool: ids.PoolId, now: float) -> messages.ServerRest:
    """Return the message that tells the home of a pool of a rest."""
    return messages.ServerRest(
        pool,
        rest.server,
        rest.incarnation,
        max(0.0, now - rest.asked_at),
        max(0.0, rest.ends_at - now),
    )
