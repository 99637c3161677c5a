"""Which routers read the store for the fleet, and when a router reads it itself.

Load answered: each watch of the store is a paid call that ends with every change, and
each router that starts needs what the store says. 195 routers in five data centres that
had two readers in each made 20 calls a second at rest, and 20 for each start.

Two routers watch for the whole fleet: those with the lowest hash, in two data centres
if there are several. In each data centre two routers relay what they tell to the rest
there, so that nothing crosses between data centres more than a few times and no router
tells hundreds. Everybody says with the news how old it is. What can go wrong with that,
and how it shows:

* A reader or relay dies, is paused or is cut off from its peers: it says nothing.
* A reader is cut off from the store: its word grows old.

Either way the word of another one stays fresh. Without any fresh word a router reads
the store itself until there is one again: relays first, the others only if that does
not help them, so that the loss of both readers makes few routers read.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from celeryspan import ids
from celeryspan.decisions import watchers

READERS = 2
"""Routers that read the store for all: if one is paused or cut off, one is left."""

RELAYS = 2
"""Routers of a data centre that hear the readers, for the same reason."""

WATCH_SECONDS = 1.0
"""How long a watch waits. A connection that has gone silent is found this much later
and a little more; a leaving server must be known within two seconds."""

READER_COALESCE_SECONDS = 0.1
"""How long a reader lets changes gather before it watches again: a watch ends with the
first change, and 100 servers that start within seconds would end one for each. Added
to the time in which a leaving server must be known, two seconds, it is a twentieth."""

COALESCE_SECONDS = 0.5
"""The same for a router that reads only until it hears others."""

KEEPALIVE_SECONDS = 0.8
"""Time after which somebody who was told nothing is told so: the word is that the store
does not answer, since each answer is told at once."""

FRESH_SECONDS_RELAYS = 1.8
"""A relay takes a word for fresh this long: a watch, and eight tenths of a second for
slow answers. Leaving servers must be known within two seconds."""

FRESH_SECONDS_OTHERS = 2.6
"""The same for routers that hear relays, which read meanwhile and need a moment."""

FRESHNESS_STEP_SECONDS = 0.7
"""A word without news is passed on if it is this much fresher than the last one: one
of the two readers is enough, and each hears from the store once a second."""

SUBSCRIBE_PERIOD_SECONDS = 3.0
"""How often a source is asked again, in case that it has forgotten the asker."""

SUBSCRIBE_PERIOD_SILENT_SECONDS = 1.0
"""The same while it says nothing."""

SUBSCRIPTION_SECONDS = 10.0
"""How long a router that has asked is told news: three lost questions."""

REPORT_EXPIRY_SECONDS = 10.0
"""A word this old tells nothing about the router that gave it."""

SETTLE_SECONDS = 1.0
"""How long a router that knows no other one waits before it takes itself for a reader:
at the first start of a fleet nobody knows anybody, and all would read."""

STARTUP_DELAY_SECONDS = (1.5, 2.5)
"""How long a router that has just started leaves it to others to tell it. Drawn between
the two: those that wait in vain must not come to the store together."""


class Duties(msgspec.Struct, frozen=True):
    """Who reads the store, and whom one router hears.

    Attributes
    ----------
    readers : tuple of RouterId
        Those that read the store for the fleet.
    sources : tuple of RouterId
        Those that this router asks for news; the other readers if it is one itself.
    is_reader, is_relay : bool
        Whether this router reads for the fleet, or tells those of its data centre.
    """

    readers: tuple[ids.RouterId, ...]
    sources: tuple[ids.RouterId, ...]
    is_reader: bool
    is_relay: bool


def choose_duties(
    own: ids.RouterId, routers: Mapping[ids.RouterId, ids.DataCentreId]
) -> Duties:
    """Return the duties as one router sees them.

    Parameters
    ----------
    routers : mapping of RouterId to DataCentreId
        Where each router is that takes part and stays, the own one among them.
    """
    readers = choose_readers(routers)
    beside = [router for router in routers if routers[router] == routers[own]]
    relays = watchers.choose("relay", beside, RELAYS)
    is_reader, is_relay = own in readers, own in relays
    heard = readers if is_reader or is_relay else relays
    sources = tuple(router for router in heard if router != own)
    return Duties(readers, sources, is_reader, is_relay)


def choose_readers(
    routers: Mapping[ids.RouterId, ids.DataCentreId],
) -> tuple[ids.RouterId, ...]:
    """Return the readers, of as many data centres as may be."""
    ordered = watchers.choose("read the store", routers, len(routers))
    seen: set[ids.DataCentreId] = set()
    first, others = [], []
    for router in ordered:
        (others if routers[router] in seen else first).append(router)
        seen.add(routers[router])
    return tuple([*first, *others][:READERS])


class SourceReport(msgspec.Struct, frozen=True):
    """What another router has said of the store.

    Attributes
    ----------
    read_at : float
        When the store last answered, on this router's clock, in seconds.
    is_away : bool
        Whether the store answers neither it nor those that it hears.
    heard_at : float
        When the word came.
    """

    read_at: float
    is_away: bool
    heard_at: float


class Relays:
    """Whom one router hears, what they said last, and whether it reads itself.

    Attributes
    ----------
    duties : Duties

    Parameters
    ----------
    own : RouterId
    now : float
        When this router starts, in seconds.
    patience : float
        Seconds that it leaves it to others to tell it, one of PATIENCE_SECONDS.
    """

    def __init__(self, own: ids.RouterId, now: float, patience: float) -> None:
        self._reports: dict[ids.RouterId, SourceReport] = {}
        self._settled_at = now + SETTLE_SECONDS
        self._startup_delay_until = now + patience
        self.duties = Duties((own,), (), is_reader=True, is_relay=True)

    def set_duties(self, duties: Duties, *, is_settled: bool = False) -> None:
        """Set who does what.

        Parameters
        ----------
        is_settled : bool
            Whether the store's list of routers says so, or there is nobody to meet: no
            need to wait for others.
        """
        self.duties = duties
        if is_settled:
            self._settled_at = float("-inf")

    def record_report(
        self, source: ids.RouterId, age: float, now: float, *, is_away: bool
    ) -> None:
        """Note what a source says; ``age`` is the age of its knowledge, in seconds."""
        self._reports[source] = SourceReport(now - age, is_away, now)

    def expire_reports(self, now: float) -> None:
        """Drop what was said long ago."""
        self._reports = {
            source: word
            for source, word in self._reports.items()
            if now - word.read_at < REPORT_EXPIRY_SECONDS
        }

    def read_at(self) -> float:
        """Return when a source last had an answer of the store; -inf if none had."""
        return max((word.read_at for word in self._reports.values()), default=-1e9)

    def is_fresh(self, now: float) -> bool:
        """Whether some source knows the store's present state."""
        limit = FRESH_SECONDS_RELAYS if self.duties.is_relay else FRESH_SECONDS_OTHERS
        return now - self.read_at() <= limit

    def must_subscribe(self, source: ids.RouterId, asked_at: float, now: float) -> bool:
        """Whether a source is due to be asked, after it was at a moment."""
        word = self._reports.get(source)
        is_silent = word is None or now - word.heard_at > FRESH_SECONDS_RELAYS
        return now - asked_at >= (
            SUBSCRIBE_PERIOD_SILENT_SECONDS if is_silent else SUBSCRIBE_PERIOD_SECONDS
        )

    def is_away(self) -> bool:
        """Whether the store answers no source that has said anything."""
        return bool(self._reports) and all(w.is_away for w in self._reports.values())

    def coalesce_seconds(self) -> float:
        """Return how long changes may gather before the store is watched again."""
        return READER_COALESCE_SECONDS if self.duties.is_reader else COALESCE_SECONDS

    def must_read(self, now: float) -> bool:
        """Whether this router has to read the store itself."""
        if self.duties.is_reader:
            return now >= self._settled_at
        return now >= self._startup_delay_until and not self.is_fresh(now)
