"""The kernel service ``quarantinestore``: persists the suspects in the store.

All routers may restart at once, so the suspects are stored outside of their memory. One
router writes for the whole fleet; if it fails to, the others take over in turn.
Requests that operators release are read back from the store. After the store was
restored from a copy, what it holds is read and written again.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from celeryspan import errors, events, ids, kernel, storedobjects
from celeryspan.decisions import dutyorder, quarantine
from celeryspan.platform import names, quarantine as records
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.gateway import objectstore, quarantines
    from celeryspan.services import identity, membership

TICK_SECONDS = 0.2
"""Interval between two checks while a write or the second read is pending."""

WRITE_DELAY_SECONDS = 3.0
"""Time for which updates are collected before a write if they change neither which
requests are isolated nor which are quarantined."""

TAKEOVER_SECONDS = 2.0
"""Additional delay before each further router writes."""

RETRY_SECONDS = 1.0
"""Pause after a failed call to the store."""

SECOND_READ_SECONDS = 4.0
"""Time between the first and the second read after the start, because the answer to the
first may be this stale."""

RELEASE_POLL_SECONDS = 5.0
"""Interval at which one router reads which requests operators have released."""

DUTY = "quarantine"
"""Key that determines the order in which routers write."""

RESTRICTED_STANDINGS = (quarantine.Standing.ISOLATED, quarantine.Standing.QUARANTINED)
"""Standings that protect servers and must therefore be stored at once."""


@kernel.register(
    "quarantinestore", needs=("identity", "membership", "objects", "quarantine")
)
class QuarantineStore:
    """Writes and reads the stored object that holds the suspects."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._store: objectstore.ObjectStore = container.find("objects")
        self._client = self._store.client
        self._identity: identity.IdentityService = container.find("identity")
        self._membership: membership.MembershipService = container.find("membership")
        self._quarantine: quarantines.QuarantineService = container.find("quarantine")
        self._read_at: storedobjects.Position | None = None
        self._write_due_at = 0.0
        self._reads_completed = 0
        self._last_read_at = 0.0
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name="quarantine-store", daemon=True
        )

    def start(self) -> None:
        """Subscribe to changes of standings and start the thread."""
        self._quarantine.subscribe(self._handle_changes)
        self._store.subscribe(self._handle_restoration)
        self._thread.start()

    def stop(self) -> None:
        """Stop without waiting for a call in progress."""
        self._stopped = True
        self._wake.set()

    def _handle_changes(self, changes: list[quarantine.StandingChange]) -> None:
        now = time.monotonic()
        affected = {each.before for each in changes} | {each.after for each in changes}
        is_urgent = not affected.isdisjoint(RESTRICTED_STANDINGS)
        delay = TICK_SECONDS if is_urgent else WRITE_DELAY_SECONDS
        is_write_pending = not self._is_stored() and self._write_due_at > now
        self._write_due_at = (
            min(self._write_due_at, now + delay) if is_write_pending else now + delay
        )
        self._wake.set()

    def _handle_restoration(self, era: ids.Era) -> None:
        self._quarantine.forget_stored(era)
        self._write_due_at = time.monotonic() + TICK_SECONDS
        self._wake.set()

    def _run(self) -> None:
        while not self._stopped:
            pause = self._compute_pause()
            try:
                self._synchronize(time.monotonic())
            except errors.StoreError as error:
                events.log(events.Event.STORE_ANSWER_LOST, error=str(error))
                pause = RETRY_SECONDS
            except Exception as error:
                # If this thread ended, a restart of all routers would lose the
                # suspects.
                events.log(
                    events.Event.TASK_FAILED, task="quarantine store", error=repr(error)
                )
                pause = RETRY_SECONDS
            self._wake.wait(pause)
            self._wake.clear()

    def _compute_pause(self) -> float | None:
        """Return the seconds until the next check; None to wait for a change."""
        if self._reads_completed < 2 or not self._is_stored():
            return TICK_SECONDS
        return RELEASE_POLL_SECONDS if self._quarantine.has_quarantined() else None

    def _is_stored(self) -> bool:
        """Return whether the store holds all suspects of this router."""
        return self._quarantine.digest in (0, self._quarantine.stored.digest)

    def _synchronize(self, now: float) -> None:
        """Read and write the stored object if due."""
        if self._is_read_due(now):
            self._read()
            self._last_read_at = now
            self._reads_completed += 1
        if not self._is_stored():
            if now >= self._write_due_at + self._find_position() * TAKEOVER_SECONDS:
                self._write()

    def _is_read_due(self, now: float) -> bool:
        if self._reads_completed == 0:
            return True
        elapsed = now - self._last_read_at
        if self._reads_completed == 1:
            return elapsed >= SECOND_READ_SECONDS
        is_due = elapsed >= RELEASE_POLL_SECONDS and self._quarantine.has_quarantined()
        return is_due and self._find_position() == 0

    def _find_position(self) -> int:
        members = [member.router for member in self._membership.alive()]
        return dutyorder.find_position(self._identity.router, members, DUTY)

    def _read(self) -> None:
        """Merge the stored suspects; a stale read costs a tenth of a fresh one."""
        listing = self._client.list_objects(names.QUARANTINE_KIND, is_stale=True)
        for found in listing.objects:
            if found.name == names.QUARANTINE_NAME:
                self._merge(found, spread=self._reads_completed >= 2)

    def _merge(self, found: storedobjects.StoredObject, *, spread: bool = True) -> None:
        try:
            suspects = records.read(found)
        except errors.InputError as error:
            events.log(
                events.Event.STORE_OBJECT_IGNORED,
                peer=self._client.address,
                kind=names.QUARANTINE_KIND,
                error=str(error),
            )
            return
        self._quarantine.merge(suspects, spread=spread)
        self._record_stored(suspects, found)

    def _write(self) -> None:
        """Write all suspects, replacing stored ones that have been merged before."""
        suspects = self._quarantine.list_suspects()
        spec = records.write(suspects)
        kind, name = names.QUARANTINE_KIND, names.QUARANTINE_NAME
        try:
            # A revision of an earlier era may be that of another write by now.
            if self._read_at is None or self._read_at.era < self._store.era:
                found = self._client.get(kind, name)
                self._read_at = found.position
                self._merge(found)
                return  # The next write includes the suspects just merged.
            written = self._client.replace(kind, name, spec, self._read_at.revision)
        except errors.NotFound:
            written = self._create(spec)
        except errors.Conflict:
            self._read_at = None
            return
        if written is None:
            return
        if self._read_at is not None and written.era != self._read_at.era:
            self._read_at = None
            return  # It may have replaced what has not been merged.
        self._read_at = written.position
        digest = self._record_stored(suspects, written)
        events.log(
            events.Event.QUARANTINE_STORED, requests=len(suspects), digest=digest
        )

    def _record_stored(
        self, suspects: list[messages.Suspect], found: storedobjects.StoredObject
    ) -> int:
        """Record that the store holds some suspects; return their digest."""
        digest = quarantine.hash_suspects(suspects)
        self._quarantine.record_stored(
            messages.SuspectsStored(digest, found.revision, found.era)
        )
        return digest

    def _create(self, spec: dict[str, object]) -> storedobjects.StoredObject | None:
        """Create the object; return None if another router has just created it."""
        try:
            return self._client.create(
                names.QUARANTINE_KIND, names.QUARANTINE_NAME, spec
            )
        except errors.Conflict:
            self._read_at = None
            return None
