"""Keeps a reader up to date with all objects of one kind in the store.

The objects come from the store itself, by a list and then watches, or from routers
beside this one that read it (:mod:`celeryspan.decisions.relays`).
"""

from __future__ import annotations

import random
import threading
import time
from typing import Protocol

from celeryspan import errors, events, ids, storedobjects
from celeryspan.decisions import relays, storelog
from celeryspan.platform import objects

CHECK_SECONDS = 0.4
"""How often a router that hears others looks whether it still does."""

PAUSE_FIRST = 0.05
PAUSE_MAX = 0.5
"""Pauses of a reader between attempts while the store does not answer."""

PAUSE_MAX_OTHERS = 2.0
"""The same for all other routers, which are many: they only try in case the store
answers them and not the readers."""

AWAY_FAILURES = 2
"""Failures in a row that count as an outage: a single one may be a connection that has
gone silent."""


class Reader(Protocol):
    """What is done with what a follower reads; called by one task at a time."""

    def replace(self, listing: storedobjects.Listing) -> None:
        """Take in all objects."""

    def apply(self, changes: storedobjects.Changes) -> None:
        """Take in changes."""

    def lose(self) -> None:
        """Note that the store does not answer."""

    def regain(self) -> None:
        """Note that the store answers."""


class Relayer(Protocol):
    """Passes on to other routers what a follower has taken in."""

    def publish(self, kind: str) -> None:
        """Pass on what is new, or that the store has answered."""


class Follower:
    """One kind of objects, read by one task or heard from other routers.

    Attributes
    ----------
    kind : str
    relays : Relays
        Who reads the store for whom.
    log : StoreLog
        What is known, to be passed on.
    """

    def __init__(
        self,
        client: objects.ObjectClient,
        kind: str,
        reader: Reader,
        router: ids.RouterId,
        depth: int = storelog.BATCHES_MAX,
    ) -> None:
        self.kind = kind
        self._random = random.Random(f"{kind}{time.time_ns()}")
        patience = self._random.uniform(*relays.STARTUP_DELAY_SECONDS)
        self.relays = relays.Relays(router, time.monotonic(), patience)
        self.log = storelog.StoreLog(depth)
        self._client = client
        self._reader = reader
        self._relayer: Relayer | None = None
        self._lists = True
        self._read_at = float("-inf")
        self._failures = 0
        self._lock = threading.RLock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"follow-{kind}", daemon=True
        )

    def start(self, relayer: Relayer) -> None:
        """Begin to follow."""
        self._relayer = relayer
        self._thread.start()

    def stop(self) -> None:
        """Stop following; a waiting watch ends by itself."""
        self._stopped.set()

    @property
    def is_away(self) -> bool:
        """Whether the store answers neither this router nor those that it hears."""
        if self._failures:
            return self._failures >= AWAY_FAILURES
        return self.relays.is_away() and not self.relays.duties.is_reader

    def answered_at(self) -> float:
        """Return when the store last answered this router or those that it hears."""
        return max(self._read_at, self.relays.read_at())

    def hear(
        self,
        source: ids.RouterId,
        batch: storelog.Batch,
        age: float,
        *,
        is_away: bool,
    ) -> bool:
        """Take in what another router tells; returns whether changes are missing."""
        now = time.monotonic()
        with self._lock:
            self.relays.record_report(source, age, now, is_away=is_away)
            if self._failures == 0 and not self.relays.duties.is_reader:
                self._note_store()
            is_taken = self._take(batch)
        self._publish()
        return not is_taken and self.log.has_gap_before(batch)

    def _note_store(self) -> None:
        """Tell the reader what the sources say of the store."""
        if self.relays.is_away():
            self._reader.lose()
        else:
            self._reader.regain()

    def _take(self, batch: storelog.Batch) -> bool:
        """Take in a batch from wherever it comes; returns whether it says more."""
        with self._lock:
            if not self.log.apply(batch):
                return False
            if batch.is_whole:
                listed = tuple(change.object for change in batch.changes)
                self._reader.replace(storedobjects.Listing(listed, batch.at))
            elif batch.changes:
                self._reader.apply(storedobjects.Changes(batch.changes, batch.at))
        return True

    def _publish(self) -> None:
        """Pass on what is new, or that the store has answered."""
        if self._relayer is not None:
            self._relayer.publish(self.kind)

    def _run(self) -> None:
        while not self._stopped.is_set():
            if not self.relays.must_read(time.monotonic()):
                self._failures = 0
                self._stopped.wait(CHECK_SECONDS)
                continue
            try:
                self._read()
            except errors.HistoryGone:
                self._lists = True
            except errors.StoreError as error:
                self._fail(error)
            except Exception as error:
                # One malformed object must not end the task, which would show as a
                # router that serves an old configuration for good.
                events.log(
                    events.Event.TASK_FAILED,
                    task=f"follow {self.kind}",
                    error=repr(error),
                )
                self._stopped.wait(PAUSE_MAX)

    def _read(self) -> None:
        """Read the store once: a list at first, then watches."""
        at = self.log.at
        if at is None or self._lists:
            listing = self._client.list_objects(self.kind)
            changes = tuple(
                storedobjects.Change(found, False) for found in listing.objects
            )
            batch = storelog.Batch(0, listing.revision, changes, is_whole=True)
        else:
            found = self._client.watch(self.kind, at, relays.WATCH_SECONDS)
            batch = storelog.Batch(at, found.revision, found.changes)
        self._note_answer()
        self._lists = False
        self._take(batch)
        self._publish()
        if batch.changes:
            self._stopped.wait(self.relays.coalesce_seconds())

    def _note_answer(self) -> None:
        if self._failures >= AWAY_FAILURES:
            events.log(
                events.Event.STORE_REACHABLE, peer=self._client.address, kind=self.kind
            )
        with self._lock:
            self._failures = 0
            self._read_at = time.monotonic()
            self._reader.regain()

    def _fail(self, error: errors.StoreError) -> None:
        with self._lock:
            self._failures += 1
            if self._failures == AWAY_FAILURES:
                self._reader.lose()
        if self._failures == AWAY_FAILURES:
            events.log(
                events.Event.STORE_UNREACHABLE,
                peer=self._client.address,
                kind=self.kind,
                error=str(error),
            )
        most = PAUSE_MAX if self.relays.duties.is_reader else PAUSE_MAX_OTHERS
        longest = min(most, PAUSE_FIRST * 2 ** min(self._failures, 6))
        self._stopped.wait(longest * self._random.uniform(0.5, 1.0))
