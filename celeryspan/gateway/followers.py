"""Replicates all objects of one kind from the store to a handler.

The objects come either from the store, by one list and then watches, or from other
routers that read it (:mod:`celeryspan.decisions.relays`). After the store was restored
from a copy, what was known of an object may hold against it for a while
(:mod:`celeryspan.decisions.replicas`).
"""

from __future__ import annotations

import random
import threading
import time
from typing import Protocol

from celeryspan import errors, events, ids, storedobjects, untrusted
from celeryspan.decisions import relays, replicas, storelog, storeorder
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

    def record_era(self, era: ids.Era) -> None:
        """Record the era of the store that another router has stated."""

    def send_held(self, kind: str) -> None:
        """Tell other routers what holds against a copy."""


class Follower:
    """Replica of one kind of objects, read from the store or from other routers.

    Attributes
    ----------
    kind : str
    relays : Relays
        Roles and sources of this router, and the reports of the sources.
    log : StoreLog
        Objects as the store lists them and recent changes, for replication to other
        routers.

    Parameters
    ----------
    policy : HoldPolicy or None
        How long known objects hold against a copy; None if the handler decides.
    """

    def __init__(
        self,
        client: objects.ObjectClient,
        kind: str,
        handler: ObjectHandler,
        router: ids.RouterId,
        depth: int = storelog.BATCHES_MAX,
        policy: storeorder.HoldPolicy | None = None,
    ) -> None:
        self.kind = kind
        self._random = random.Random(f"{kind}{time.time_ns()}")
        startup_delay = self._random.uniform(*relays.STARTUP_DELAY_SECONDS)
        self.relays = relays.Relays(router, time.monotonic(), startup_delay)
        self._replica = replicas.Replica(depth, policy)
        self.log = self._replica.log
        self._must_send_held = False
        self._must_replace = False
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
        if self._publisher is not None:
            self._publisher.record_era(batch.era)
        with self._lock:
            if self._replica.is_outdated(batch):
                return False
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

    def resolve_era(self, stated: ids.Era) -> ids.Era:
        """Return the era of what another router states."""
        return self._replica.resolve_era(stated)

    def receive_held(
        self, era: ids.Era, known: tuple[storedobjects.Change, ...]
    ) -> bool:
        """Hold what another router holds against a copy; return whether it is news."""
        with self._lock:
            is_news = self._replica.receive_held(era, known, time.monotonic())
            if is_news:
                self._replace_objects()
        return is_news

    def list_held(self) -> list[storedobjects.Change]:
        """Return what holds against the copy that the store was restored from."""
        with self._lock:
            return self._replica.list_held()

    def expire_held(self, now: float) -> None:
        """Return to what the store lists where a hold has lasted long enough."""
        with self._lock:
            names = self._replica.expire_held(self.last_answer_at(), now)
            if not names:
                return
            self._replace_objects()
        events.log(events.Event.HELD_OBJECTS_RELEASED, kind=self.kind, objects=names)

    def _apply_batch(self, batch: storelog.Batch) -> bool:
        """Apply a batch from any source; returns False if it is old or leaves a gap."""
        with self._lock:
            outcome = self._replica.apply(batch, time.monotonic())
            if outcome is replicas.Outcome.IGNORED:
                return False
            if outcome is not replicas.Outcome.CHANGED or self._must_replace:
                self._replace_objects()
            elif batch.changes:
                # The log holds the batch now; the handler gets it again if it fails.
                self._must_replace = True
                self._handler.apply(
                    storedobjects.Changes(batch.changes, batch.at, batch.era)
                )
                self._must_replace = False
        if outcome is replicas.Outcome.RESTORED:
            self._report_held()
        return True

    def _replace_objects(self) -> None:
        """Pass all objects in force to the handler, again later if it fails."""
        era, revision = self.log.position
        found = self._replica.list_objects()
        self._must_replace = True
        self._handler.replace(storedobjects.Listing(found, revision, era))
        self._must_replace = False

    def _report_held(self) -> None:
        """Log what holds against a restored store, and tell other routers."""
        held = self.list_held()
        if not held:
            return
        self._must_send_held = True
        events.log(
            events.Event.OBJECTS_HELD,
            kind=self.kind,
            era=self.log.era,
            objects=[change.object.name for change in held],
        )

    def _publish(self) -> None:
        """Forward new changes, or the news that the store has answered."""
        if self._publisher is None:
            return
        if self._must_send_held:
            self._must_send_held = False
            self._publisher.send_held(self.kind)
        self._publisher.publish(self.kind)

    def _run(self) -> None:
        while not self._stopped.is_set():
            must_read = self.relays.must_read(time.monotonic())
            try:
                self._replace_again()
                if must_read:
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
                    error=untrusted.describe(error),
                )
                self._stopped.wait(RETRY_DELAY_MAX_SECONDS)
            if not must_read:
                self._failures = 0
                self._stopped.wait(REPORT_CHECK_INTERVAL_SECONDS)

    def _replace_again(self) -> None:
        """Pass on objects that the handler failed to apply."""
        with self._lock:
            if self._must_replace:
                self._replace_objects()

    def _read(self) -> None:
        """Read the store once: the first read is a list, later ones are watches."""
        at = self.log.at
        if at is None or self._must_list:
            listing = self._client.list_objects(self.kind)
            changes = tuple(
                storedobjects.Change(found, False) for found in listing.objects
            )
            batch = storelog.Batch(
                0, listing.revision, changes, is_whole=True, era=listing.era
            )
        else:
            found = self._client.watch(self.kind, at, relays.WATCH_SECONDS)
            batch = storelog.Batch(at, found.revision, found.changes, era=found.era)
        self._record_success()
        self._must_list = batch.era > self.log.era and not batch.is_whole
        if self._must_list:
            return  # The changes are those since a revision of an earlier era.
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
