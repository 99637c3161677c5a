"""Acquires and renews one lease in the object API while this router is a candidate."""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING

from celeryspan import errors, events
from celeryspan.decisions import leases

if TYPE_CHECKING:
    from celeryspan.services import store

KEY_PREFIX = "leases/"


class LeaseKeeper:
    """Performs the store calls that :class:`leases.Lease` requires.

    Parameters
    ----------
    duty : str
        Name of the duty, used as the key of the lease object.
    holder : str
        Name of this router and incarnation.
    """

    def __init__(self, service: store.StoreService, duty: str, holder: str) -> None:
        self.lease = leases.Lease(holder)
        self._store = service
        self._duty = duty
        self._was_held = False

    def holds(self) -> bool:
        """Whether this router holds the lease now."""
        return self.lease.holds(time.monotonic())

    def step(self, *, wanted: bool) -> None:
        """Make the next store call, if one is due.

        Parameters
        ----------
        wanted : bool
            Whether this router is a candidate for the duty.
        """
        call = self.lease.next_call(
            time.monotonic(), secrets.token_hex(8), wanted=wanted
        )
        try:
            self._execute(call)
        except errors.Conflict:
            self.lease.record_conflict()
        except errors.InputError as error:
            events.log(events.Event.TASK_FAILED, task=self._duty, error=str(error))
        except errors.StoreNotAsked:
            self.lease.record_not_sent()
        except errors.StoreError:
            pass  # The service ``store`` logs it; a lost write is read back first.
        self._log_change()

    def _execute(self, call: leases.Call) -> None:
        key = KEY_PREFIX + self._duty
        match call.operation:
            case leases.Operation.READ:
                self._read(key)
            case leases.Operation.CREATE:
                version = self._store.create(key, call.record.encode())
                self.lease.record_written(version)
            case leases.Operation.UPDATE:
                value = call.record.encode()
                version = self._store.update(key, value, call.version)
                self.lease.record_written(version)

    def _read(self, key: str) -> None:
        try:
            value, version = self._store.get(key)
        except errors.NotFound:
            self.lease.record_read(None, 0, time.monotonic())
            return
        record = leases.Record.decode(value)
        self.lease.record_read(record, version, time.monotonic())

    def _log_change(self) -> None:
        holds = self.holds()
        if holds != self._was_held:
            self._was_held = holds
            event = events.Event.LEASE_TAKEN if holds else events.Event.LEASE_LOST
            events.log(event, duty=self._duty, fence=self.lease.fence)
