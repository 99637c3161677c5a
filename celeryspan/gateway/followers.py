"""Follows all objects of one kind in the store: a list, then watches."""

from __future__ import annotations

import random
import threading
import time
from typing import Protocol

from celeryspan import errors, events
from celeryspan.platform import objects

WATCH_SECONDS = 1.0
"""How long a watch waits. A connection that has gone silent is found this much later
and a little more; a leaving server must be known within two seconds."""

PAUSE_FIRST = 0.05
PAUSE_MAX = 0.5
"""Pauses between attempts while the store does not answer; the rates of the store bear
a fleet of hundreds at the longest pause."""

AWAY_FAILURES = 2
"""Failures in a row that count as an outage: a single one may be a connection that has
gone silent."""


class Reader(Protocol):
    """What is done with what a follower reads; called from its task."""

    def replace(self, listing: objects.Listing) -> None:
        """Take in all objects."""

    def apply(self, changes: objects.Changes) -> None:
        """Take in changes; called with none after a quiet watch."""

    def lose(self) -> None:
        """Note that the store does not answer."""

    def regain(self) -> None:
        """Note that the store answers."""


class Follower:
    """One task that keeps a reader up to date with one kind of objects."""

    def __init__(self, client: objects.ObjectClient, kind: str, reader: Reader) -> None:
        self._client = client
        self._kind = kind
        self._reader = reader
        self._at: int | None = None
        self._failures = 0
        self._random = random.Random(f"{kind}{time.time_ns()}")
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"follow-{kind}", daemon=True
        )

    def start(self) -> None:
        """Begin to follow."""
        self._thread.start()

    def stop(self) -> None:
        """Stop following; a waiting watch ends by itself."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._step()
            except errors.HistoryGone:
                self._at = None
            except errors.StoreError as error:
                self._fail(error)
            except Exception as error:
                # One malformed object must not end the task, which would show as a
                # router that serves an old configuration for good.
                events.log(
                    events.Event.TASK_FAILED,
                    task=f"follow {self._kind}",
                    error=repr(error),
                )
                self._stopped.wait(PAUSE_MAX)

    def _step(self) -> None:
        if self._at is None:
            listing = self._client.list_objects(self._kind)
            self._note_answer()
            self._reader.replace(listing)
            self._at = listing.at
            return
        changes = self._client.watch(self._kind, self._at, WATCH_SECONDS)
        self._note_answer()
        self._reader.apply(changes)
        self._at = max(self._at, changes.at)

    def _note_answer(self) -> None:
        if self._failures >= AWAY_FAILURES:
            events.log(
                events.Event.STORE_REACHABLE, peer=self._client.address, kind=self._kind
            )
        self._failures = 0
        self._reader.regain()

    def _fail(self, error: errors.StoreError) -> None:
        self._failures += 1
        if self._failures == AWAY_FAILURES:
            self._reader.lose()
            events.log(
                events.Event.STORE_UNREACHABLE,
                peer=self._client.address,
                kind=self._kind,
                error=str(error),
            )
        longest = min(PAUSE_MAX, PAUSE_FIRST * 2 ** min(self._failures, 5))
        self._stopped.wait(longest * self._random.uniform(0.5, 1.0))
