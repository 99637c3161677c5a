"""Replicates all objects of one kind from the store to a handler.

The objects come either from the store, by one list and then watches, or from other
routers that read it (:mod:`celeryspan.decisions.relays`).
"""

from __future__ import annotations

import random
import threading
import time
from typing import Protocol

from celeryspan import errors, events, ids, storedobjects
from celeryspan.decisions import relays, storelog
from celeryspan.platform import objects

REPORT_CHECK_INTERVAL_SECONDS = 0.4
"""Interval at which a router that gets reports from others checks that they are still
fresh."""

RETRY_DELAY_MIN_SECONDS = 0.05
RETRY_DELAY_MAX_SECONDS = 0.5
"""Bounds of the delay between attempts of a reader while the store does not answer."""

RETRY_DELAY_MAX_SECONDS_OTHERS = 2.0
"""Upper bound for all other routers. There are many of them, and they only try in case
the store answers them but not the readers."""

OUTAGE_FAILURES = 2
"""Consecutive failures that count as an outage: a single one may be due to a dead
connection."""


class ObjectHandler(Protocol):
    """Receiver of the objects that a follower reads; calls do not overlap."""

    def replace(self, listing: storedobjects.Listing) -> None:
        """Replace all objects."""

    def apply(self, changes: storedobjects.Changes) -> None:
        """Apply changes."""

    def record_store_unreachable(self) -> None:
        """Record that the store does not answer."""

    def record_store_reachable(self) -> None:
        """Record that the store answers."""


class Publisher(Protocol):
    """Forwards the objects of a follower to other routers."""

    def publish(self, kind: str) -> None:
        """Forward new changes, or the news that the store has answered."""


class Follower:
    """Replica of one kind of objects, read from the store or from other routers.

    Attributes
    ----------
    kind : str
    relays : Relays
        Roles and sources of this router, and the reports of the sources.
    log : StoreLog
        Known objects and recent changes, for replication to other routers.
    """

    def __init__(
        self,
        client: objects.ObjectClient,
        kind: str,
        handler: ObjectHandler,
        router: ids.RouterId,
        depth: int = storelog.BATCHES_MAX,
    ) -> None:
        self.kind = kind
        self._random = random.Random(f"{kind}{time.time_ns()}")
        startup_delay = self._random.uniform(*relays.STARTUP_DELAY_SECONDS)
        self.relays = relays.Relays(router, time.monotonic(), startup_delay)
        self.log = storelog.StoreLog(depth)
        self._client = client
        self._handler = handler
        self._publisher: Publisher | None = None
        self._must_list = True
        self._last_read_at = float("-inf")
        self._failures = 0
        self._lock = threading.RLock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"follow-{kind}", daemon=True
        )

    def start(self, publisher: Publisher) -> None:
        """Start the reading thread."""
        self._publisher = publisher
        self._thread.start()

    def stop(self) -> None:
        """Stop reading; a watch in progress is left to end on its own."""
        self._stopped.set()

    @property
    def is_away(self) -> bool:
        """Whether the store answers neither this router nor its sources."""
        if self._failures:
            return self._failures >= OUTAGE_FAILURES
        return self.relays.is_away() and not self.relays.duties.is_reader

    def last_answer_at(self) -> float:
        """Return the time of the store's last answer to this router or its sources."""
        return max(self._last_read_at, self.relays.read_at())

    def receive_batch(
        self,
        source: ids.RouterId,
        batch: storelog.Batch,
        age: float,
        *,
        is_away: bool,
    ) -> bool:
        """Apply a batch from another router.

        Parameters
        ----------
        age : float
            Seconds since the store last answered the source or the source's sources.
        is_away : bool
            Whether the store answers none of them.

        Returns
        -------
        bool
            Whether changes before the batch are missing.
        """
        now = time.monotonic()
        with self._lock:
            self.relays.record_report(source, age, now, is_away=is_away)
            if self._failures == 0 and not self.relays.duties.is_reader:
                self._report_store_state()
            is_applied = self._apply_batch(batch)
        self._publish()
        return not is_applied and self.log.has_gap_before(batch)

    def _report_store_state(self) -> None:
        """Tell the handler whether the store answers, according to the sources."""
        if self.relays.is_away():
            self._handler.record_store_unreachable()
        else:
            self._handler.record_store_reachable()

    def _apply_batch(self, batch: storelog.Batch) -> bool:
        """Apply a batch from any source; returns False if it is old or leaves a gap."""
        with self._lock:
            if not self.log.apply(batch):
                return False
            if batch.is_whole:
                listed = tuple(change.object for change in batch.changes)
                self._handler.replace(storedobjects.Listing(listed, batch.at))
            elif batch.changes:
                self._handler.apply(storedobjects.Changes(batch.changes, batch.at))
        return True

    def _publish(self) -> None:
        """Forward new changes, or the news that the store has answered."""
        if self._publisher is not None:
            self._publisher.publish(self.kind)

    def _run(self) -> None:
        while not self._stopped.is_set():
            if not self.relays.must_read(time.monotonic()):
                self._failures = 0
                self._stopped.wait(REPORT_CHECK_INTERVAL_SECONDS)
                continue
            try:
                self._read()
            except errors.HistoryGone:
                self._must_list = True
            except errors.StoreError as error:
                self._record_failure(error)
            except Exception as error:
                # A malformed object must not end this thread: the router would use an
                # old configuration until it is restarted.
                events.log(
                    events.Event.TASK_FAILED,
                    task=f"follow {self.kind}",
                    error=repr(error),
                )
                self._stopped.wait(RETRY_DELAY_MAX_SECONDS)

    def _read(self) -> None:
        """Read the store once: the first read is a list, later ones are watches."""
        at = self.log.at
        if at is None or self._must_list:
            listing = self._client.list_objects(self.kind)
            changes = tuple(
                storedobjects.Change(found, False) for found in listing.objects
            )
            batch = storelog.Batch(0, listing.revision, changes, is_whole=True)
        else:
            found = self._client.watch(self.kind, at, relays.WATCH_SECONDS)
            batch = storelog.Batch(at, found.revision, found.changes)
        self._record_success()
        self._must_list = False
        self._apply_batch(batch)
        self._publish()
        if batch.changes:
            self._stopped.wait(self.relays.coalesce_seconds())

    def _record_success(self) -> None:
        if self._failures >= OUTAGE_FAILURES:
            events.log(
                events.Event.STORE_REACHABLE, peer=self._client.address, kind=self.kind
            )
        with self._lock:
            self._failures = 0
            self._last_read_at = time.monotonic()
            self._handler.record_store_reachable()

    def _record_failure(self, error: errors.StoreError) -> None:
        with self._lock:
            self._failures += 1
            if self._failures == OUTAGE_FAILURES:
                self._handler.record_store_unreachable()
        if self._failures == OUTAGE_FAILURES:
            events.log(
                events.Event.STORE_UNREACHABLE,
                peer=self._client.address,
                kind=self.kind,
                error=str(error),
            )
        delay_max = (
            RETRY_DELAY_MAX_SECONDS
            if self.relays.duties.is_reader
            else RETRY_DELAY_MAX_SECONDS_OTHERS
        )
        delay = min(delay_max, RETRY_DELAY_MIN_SECONDS * 2 ** min(self._failures, 6))
        self._stopped.wait(delay * self._random.uniform(0.5, 1.0))
