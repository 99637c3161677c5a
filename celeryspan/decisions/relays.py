"""Which routers read the store for those beside them, and when a router reads itself.

Load answered: each watch of the store is a paid call that ends with every change. A
fleet of 66 routers that each watched two kinds made 12,000 calls in 50 calm seconds;
one rolling replacement of 25 backend servers would end 66 watches at each of its 75
changes, and 1,300 routers would be above the store's rate without any change.

In each data centre the same two routers watch: those with the lowest hash among the
routers there. They pass on what they read, and say every few tenths of a second how
old it is. What can go wrong with that, and how it shows:

* A source dies, is paused or is cut off from its peers: it says nothing.
* A source is cut off from the store: its word grows old.

Either way the other source's word stays fresh. Without any fresh word a router reads
the store itself until there is one again, so that it is never without news for longer
than :data:`FRESH_SECONDS` and its own call.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from celeryspan import ids
from celeryspan.decisions import watchers

SOURCES = 2
"""Routers of a data centre that read the store: one that is paused or cut off leaves
one."""

WATCH_SECONDS = 1.0
"""How long a watch waits. A connection that has gone silent is found this much later
and a little more; a leaving server must be known within two seconds."""

SOURCE_GATHER_SECONDS = 0.1
"""How long a source lets changes gather before it watches again: a watch ends with the
first change, and 100 servers that start within seconds would end one for each. Added
to the time in which a leaving server must be known, two seconds, it is a twentieth."""

GATHER_SECONDS = 0.5
"""The same for a router that reads only until it hears a source. At the start of a
fleet all routers do: 82 made some 20 calls each in four seconds without it."""

TELL_SECONDS = 0.4
"""Time between two words of a source that has no news."""

FRESH_SECONDS = 1.8
"""A word about the store is fresh for this long: a watch, one word and four tenths of
a second for slow answers. Leaving servers must be known within two seconds."""

FORGET_SECONDS = 10.0
"""A word this old tells nothing about the router that gave it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Word:
    """What a source has said of the store.

    Attributes
    ----------
    read_at : float
        When it had its last answer of the store, on this router's clock, in seconds.
    is_away : bool
        Whether the store does not answer it.
    """

    read_at: float
    is_away: bool


class Relays:
    """Who reads the store for whom, as one router sees it.

    Attributes
    ----------
    sources : tuple of RouterId
        The routers of this data centre that read the store.
    """

    def __init__(self, own: ids.RouterId) -> None:
        self._own = own
        self._words: dict[ids.RouterId, Word] = {}
        self.sources: tuple[ids.RouterId, ...] = (own,)

    @property
    def is_source(self) -> bool:
        """Whether this router reads the store for the others beside it."""
        return self._own in self.sources

    def set_routers(self, place: str, routers: Iterable[ids.RouterId]) -> bool:
        """Set which routers are in this data centre; returns whether sources change.

        Parameters
        ----------
        place : str
            Name of the data centre; other places get other sources.
        """
        before = self.sources
        found = watchers.choose(f"store {place}", {*routers, self._own}, SOURCES)
        self.sources = found
        return found != before

    def note_word(
        self, source: ids.RouterId, age: float, now: float, *, is_away: bool
    ) -> None:
        """Note what a source says; ``age`` is the age of its knowledge, in seconds."""
        self._words[source] = Word(now - age, is_away)

    def forget(self, now: float) -> None:
        """Drop what was said long ago."""
        self._words = {
            source: word
            for source, word in self._words.items()
            if now - word.read_at < FORGET_SECONDS
        }

    def read_at(self) -> float:
        """Return when a source last had an answer of the store; -inf if none had."""
        return max((word.read_at for word in self._words.values()), default=-1e9)

    def is_fresh(self, now: float) -> bool:
        """Whether some source knows the store's present state."""
        return now - self.read_at() <= FRESH_SECONDS

    def is_away(self) -> bool:
        """Whether the store answers no source that has said anything."""
        return bool(self._words) and all(w.is_away for w in self._words.values())

    def gather_seconds(self) -> float:
        """Return how long changes may gather before the store is watched again."""
        return SOURCE_GATHER_SECONDS if self.is_source else GATHER_SECONDS

    def must_read(self, now: float) -> bool:
        """Whether this router has to read the store itself."""
        return self.is_source or not self.is_fresh(now)
