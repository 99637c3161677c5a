"""Leases: at most one router holds a duty, without synchronised clocks.

Guards against two routers that control model engines at the same time because one was
paused or partitioned and the other replaced it. Each would load its own model into an
engine in turn, and together they would exceed the weight store's rate limit twice over.

The lease is one object with the holder, a fencing number and the name of the last
write. The holder renews it; its term starts *before* it sends the renewal. Another
router starts its timer *after* it first reads a version, and takes the lease by a
conditional update of that version once it has not changed for longer than the term.
Clocks are never compared with each other. Only their rates matter, and
:data:`CLOCK_MARGIN_SECONDS` allows one to run 10% faster than another. Each change of
holder increments the fencing number, which is sent with every order.

* A holder that was paused finds at its next :meth:`Lease.holds` that its term is over.
  It may still be paused between that check and the effect of an order. Engines that
  check the fencing number then refuse the order; :mod:`celeryspan.services.orders`
  describes the protection of engines that ignore it.
* A write whose answer was lost has no effect here until a read returns its name.
* A stale read only makes a router wait, or fail its conditional update.
"""

from __future__ import annotations

import enum
import json
import math

import msgspec

from celeryspan import errors

LEASE_SECONDS = 15.0
"""Term of a lease after a renewal: three renewals may fail in a row."""

RENEW_SECONDS = 5.0
"""Time between two calls of the holder and of each candidate: 0.2 calls per second
each, at any fleet size."""

ORDER_SECONDS = 4.0
"""Maximum time from the check of the lease to the last effect of an order: 1 s to
connect and 3 s for the answer, after which nothing more is sent."""

CLOCK_MARGIN_SECONDS = 3.0
"""Time for which other routers wait after the term: a fifth of the term covers clock
rates that differ by 10%, which no VM clock does for long."""


class Operation(enum.Enum):
    """Kind of the next store call."""

    NONE = "none"
    READ = "read"
    CREATE = "create"
    UPDATE = "update"


class Record(msgspec.Struct, frozen=True):
    """The value of a lease object.

    Attributes
    ----------
    holder : str
        Router and incarnation.
    fence : int
        Fencing number; increases with each change of holder.
    write : str
        Unique name of this write.
    """

    holder: str
    fence: int
    write: str

    def encode(self) -> bytes:
        """Return the serialized value."""
        return json.dumps(msgspec.structs.asdict(self)).encode()

    @classmethod
    def decode(cls, value: bytes) -> Record:
        """Parse a serialized value.

        Raises
        ------
        errors.InputError
            If the value is not a lease.
        """
        try:
            fields = json.loads(value)
            return cls(
                str(fields["holder"]), int(fields["fence"]), str(fields["write"])
            )
        except (ValueError, KeyError, TypeError) as error:
            raise errors.InputError(f"not a lease: {error!r}") from error


class Call(msgspec.Struct, frozen=True):
    """One store call; an update replaces exactly ``version``."""

    operation: Operation
    record: Record | None = None
    version: int = 0


class Lease:
    """One router's view of the lease of one duty.

    Call :meth:`next_call`, perform the call and record its result.

    Parameters
    ----------
    holder : str
        Name of this router and incarnation.
    """

    def __init__(self, holder: str) -> None:
        self._holder = holder
        self._record: Record | None = None
        self._version = 0
        self._changed_at = math.inf
        self._valid_until = self._taken_at = -math.inf
        self._pending: tuple[Record, float] | None = None
        self._own_fence = 0
        self._has_read = False
        self._call_at = -math.inf

    @property
    def fence(self) -> int:
        """The fencing number of the lease as last read or written."""
        return self._record.fence if self._record is not None else 0

    def holds(self, now: float) -> bool:
        """Whether this router holds the lease now; check again before each action."""
        return now < self._valid_until

    def may_order(self, now: float, *, checks_fence: bool) -> bool:
        """Whether an order may be sent now to an engine.

        An engine that ignores fencing numbers executes an order that the previous
        holder sent just before the end of its term. A new holder therefore waits
        ORDER_SECONDS before its first order to such an engine.
        """
        if now + ORDER_SECONDS >= self._valid_until:
            return False
        return checks_fence or now >= self._taken_at + ORDER_SECONDS

    def next_call(self, now: float, write: str, *, wanted: bool) -> Call:
        """Return the next store call.

        Parameters
        ----------
        write : str
            Unique name for the write, if the call is one.
        wanted : bool
            Whether this router should try to hold the duty.
        """
        if now < self._call_at:
            return Call(Operation.NONE)
        self._call_at = now + RENEW_SECONDS
        if not wanted:
            return Call(Operation.NONE)
        if not self._has_read or self._pending is not None:
            return Call(Operation.READ)
        if self._record is None:
            return self._write(Operation.CREATE, Record(self._holder, 1, write), now)
        if self._record.holder == self._holder and self.holds(now):
            renewed = Record(self._holder, self._record.fence, write)
            return self._write(Operation.UPDATE, renewed, now)
        if now - self._changed_at > LEASE_SECONDS + CLOCK_MARGIN_SECONDS:
            taken = Record(self._holder, self._record.fence + 1, write)
            return self._write(Operation.UPDATE, taken, now)
        return Call(Operation.READ)

    def record_read(self, record: Record | None, version: int, now: float) -> None:
        """Record the result of a read at ``now``; None if there is no object."""
        if version < self._version:
            return  # Stale read: a newer version is known.
        if not self._has_read or version != self._version:
            self._changed_at = now
        self._has_read = True
        self._record, self._version = record, version
        self._resolve_pending()

    def record_written(self, version: int) -> None:
        """Record that the pending write took effect."""
        if self._pending is None:
            return
        record, sent_at = self._pending
        self._pending = None
        self._record, self._version = record, version
        self._changed_at = sent_at
        self._begin_term(record, sent_at)

    def record_conflict(self) -> None:
        """Record that the pending write failed because of another write."""
        self._pending = None
        self._has_read = False
        self._valid_until = -math.inf
        self._call_at = -math.inf

    def record_not_sent(self) -> None:
        """Record that the pending call was not sent and had no effect."""
        self._pending = None

    def _write(self, operation: Operation, record: Record, now: float) -> Call:
        self._pending = (record, now)
        return Call(operation, record, self._version)

    def _resolve_pending(self) -> None:
        """Determine from the last read whether the pending write took effect.

        A write that did not may still arrive later. It is refused for its version if
        any other write has taken effect by then, and is otherwise harmless because it
        is this router's own.
        """
        if self._pending is None:
            return
        record, sent_at = self._pending
        self._pending = None
        if self._record is not None and self._record.write == record.write:
            self._begin_term(record, sent_at)
        elif self._record is not None and self._record.holder != self._holder:
            self._valid_until = -math.inf

    def _begin_term(self, record: Record, sent_at: float) -> None:
        if record.fence != self._own_fence:
            self._own_fence = record.fence
            self._taken_at = sent_at
        self._valid_until = sent_at + LEASE_SECONDS
