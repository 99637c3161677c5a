"""The kernel service ``quarantinestore``: what is known of suspects, kept in the store.

All routers may lose their memory at once. One of them writes for all; the others take
over in turn if it does not. What operators release is read back from there.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from celeryspan import errors, events, kernel, storedobjects
from celeryspan.decisions import dutyorder, quarantine
from celeryspan.platform import names, quarantine as records
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.gateway import objectstore, quarantines
    from celeryspan.services import identity, membership

TICK_SECONDS = 0.2
"""Between two looks while something is to be written or read."""

GATHER_SECONDS = 3.0
"""Between two writes of news that change nothing about who is isolated or refused."""

TURN_SECONDS = 2.0
"""How much later each further router writes."""

RETRY_SECONDS = 1.0
"""Pause after a call that the store has not answered as it should."""

RESTORE_SECONDS = 4.0
"""Until the second look at the store after the start: answers may be this old."""

RELEASE_SECONDS = 5.0
"""How often one router looks for what operators have released."""

DUTY = "quarantine"

RESTRICTED = (quarantine.Standing.ISOLATED, quarantine.Standing.QUARANTINED)
"""Standings whose loss lets servers crash."""


@kernel.register(
    "quarantinestore", needs=("identity", "membership", "objects", "quarantine")
)
class QuarantineStore:
    """Writes and reads the object with the suspects."""

    def __init__(self, box: kernel.Kernel) -> None:
        store: objectstore.ObjectStore = box.find("objects")
        self._client = store.client
        self._identity: identity.IdentityService = box.find("identity")
        self._membership: membership.MembershipService = box.find("membership")
        self._quarantine: quarantines.QuarantineService = box.find("quarantine")
        self._revision: int | None = None
        self._due_at = 0.0
        self._restored = 0
        self._read_at = 0.0
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name="quarantine-store", daemon=True
        )

    def start(self) -> None:
        """Begin to read and to write."""
        self._quarantine.subscribe(self._note_change)
        self._thread.start()

    def stop(self) -> None:
        """Stop; a call that is under way is not waited for."""
        self._stopped = True
        self._wake.set()

    def _note_change(self, changes: list[quarantine.StandingChange]) -> None:
        now = time.monotonic()
        restricted = {each.before for each in changes} | {
            each.after for each in changes
        }
        is_urgent = not restricted.isdisjoint(RESTRICTED)
        pause = TICK_SECONDS if is_urgent else GATHER_SECONDS
        is_waiting = not self._is_stored() and self._due_at > now
        self._due_at = min(self._due_at, now + pause) if is_waiting else now + pause
        self._wake.set()

    def _run(self) -> None:
        while not self._stopped:
            pause = self._find_pause()
            try:
                self._look(time.monotonic())
            except errors.StoreError as error:
                events.log(events.Event.STORE_ANSWER_LOST, error=str(error))
                pause = RETRY_SECONDS
            except Exception as error:
                # Without this task a restart of all routers forgets the suspects.
                events.log(
                    events.Event.TASK_FAILED, task="quarantine store", error=repr(error)
                )
                pause = RETRY_SECONDS
            self._wake.wait(pause)
            self._wake.clear()

    def _find_pause(self) -> float | None:
        """Return when to look again if nothing changes; None for never."""
        if self._restored < 2 or not self._is_stored():
            return TICK_SECONDS
        return RELEASE_SECONDS if self._quarantine.has_quarantined() else None

    def _is_stored(self) -> bool:
        return self._quarantine.digest in (0, self._quarantine.stored.digest)

    def _look(self, now: float) -> None:
        """Do what is due."""
        if self._must_read(now):
            self._read()
            self._read_at = now
            self._restored += 1
        if not self._is_stored():
            if now >= self._due_at + self._find_turn() * TURN_SECONDS:
                self._write()

    def _must_read(self, now: float) -> bool:
        if self._restored == 0:
            return True
        since = now - self._read_at
        if self._restored == 1:
            return since >= RESTORE_SECONDS
        is_due = since >= RELEASE_SECONDS and self._quarantine.has_quarantined()
        return is_due and self._find_turn() == 0

    def _find_turn(self) -> int:
        members = [member.router for member in self._membership.alive()]
        return dutyorder.find_position(self._identity.router, members, DUTY)

    def _read(self) -> None:
        """Take in what the store holds; an old answer costs a tenth of a fresh one."""
        listing = self._client.list_objects(names.QUARANTINE_KIND, is_stale=True)
        for found in listing.objects:
            if found.name == names.QUARANTINE_NAME:
                self._merge(found, spread=self._restored >= 2)

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
        digest = quarantine.hash_suspects(suspects)
        stored = messages.SuspectsStored(digest, found.revision)
        self._quarantine.note_stored(stored)

    def _write(self) -> None:
        """Write what is known, over what was there and is known now as well."""
        suspects = self._quarantine.list_suspects()
        spec = records.write(suspects)
        kind, name = names.QUARANTINE_KIND, names.QUARANTINE_NAME
        try:
            if self._revision is None:
                found = self._client.get(kind, name)
                self._revision = found.revision
                self._merge(found)
                return  # What was there may have to be written with the rest.
            written = self._client.replace(kind, name, spec, self._revision)
        except errors.NotFound:
            written = self._create(spec)
        except errors.Conflict:
            self._revision = None
            return
        if written is None:
            return
        self._revision = written.revision
        digest = quarantine.hash_suspects(suspects)
        stored = messages.SuspectsStored(digest, written.revision)
        self._quarantine.note_stored(stored)
        events.log(
            events.Event.QUARANTINE_STORED, requests=len(suspects), digest=digest
        )

    def _create(self, spec: dict[str, object]) -> storedobjects.StoredObject | None:
        """Write the object for the first time; None if another router was faster."""
        try:
            return self._client.create(
                names.QUARANTINE_KIND, names.QUARANTINE_NAME, spec
            )
        except errors.Conflict:
            self._revision = None
            return None
