"""Who holds a duty: one router at a time, by conditional updates and no clock shared.

Failure answered: two routers order model engines about at the same time, because one
was paused, cut off or told nothing, and the other took its place. Without this module
an engine is loaded with one model by each in turn, and the weight store's rate limit
is passed twice over.

The lease is one object: holder, fencing number, name of the last write. The holder
renews it; its right counts from the moment *before* it sent the renewal. Another
router counts from the moment *after* it first read that version, and takes the lease
by an update of exactly that version once it has not changed for longer than the
holder's right lasts. No clock is compared with another's: only their rates matter,
and :data:`MARGIN_SECONDS` allows one to run a tenth faster than the other. Each taking
raises the fencing number, which goes with every order.

* A holder that was paused finds at its next :meth:`Lease.holds` that its time is over.
  Between that question and the effect of an order it may still be paused; engines that
  check the fencing number refuse the order then, and :mod:`celeryspan.services.orders`
  says what guards those that ignore it.
* A write whose answer was lost counts for nothing until a read has shown its name.
* A read of old data only makes a router wait, or lose its conditional update.

Grounds of the figures stand beside them.
"""

from __future__ import annotations

import enum
import json
import math

import msgspec

from celeryspan import errors

LEASE_SECONDS = 15.0
"""How long a holder may act after a renewal: three renewals may fail in a row."""

RENEW_SECONDS = 5.0
"""Time between two calls of the holder and of those who wait for its place: a fifth
of a call a second each, whatever the size of the fleet."""

ORDER_SECONDS = 4.0
"""Greatest time from the question whether a duty is held to the last effect of an
order: 1 s to connect and 3 s for the answer, after which nothing more is sent."""

CLOCK_MARGIN_SECONDS = 3.0
"""What others wait beyond the lease; a fifth of it covers clocks whose rates differ
by a tenth, which no clock of a VM does for long."""


class Operation(enum.Enum):
    """What to ask the store for next."""

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
        Grows with each holder.
    write : str
        Name of this write, never used twice.
    """

    holder: str
    fence: int
    write: str

    def encode(self) -> bytes:
        """Return the value of the object."""
        return json.dumps(msgspec.structs.asdict(self)).encode()

    @classmethod
    def decode(cls, value: bytes) -> Record:
        """Read the value of the object.

        Raises
        ------
        errors.InputError
            If it is no lease.
        """
        try:
            fields = json.loads(value)
            return cls(
                str(fields["holder"]), int(fields["fence"]), str(fields["write"])
            )
        except (ValueError, KeyError, TypeError) as error:
            raise errors.InputError(f"not a lease: {error!r}") from error


class Call(msgspec.Struct, frozen=True):
    """One call of the store; ``version`` is what an update replaces."""

    operation: Operation
    record: Record | None = None
    version: int = 0


class Lease:
    """One router's view of one duty.

    Ask :meth:`choose` for the next call, make it, and report how it went.

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
        """The fencing number of the lease as last seen."""
        return self._record.fence if self._record is not None else 0

    def holds(self, now: float) -> bool:
        """Whether this router may act now; ask again before each act."""
        return now < self._valid_until

    def may_order(self, now: float, *, checks_fence: bool) -> bool:
        """Whether an order may be sent now to an engine that checks fences or not.

        An engine that ignores the fencing number obeys an order that an earlier
        holder sent just before its time was over. A new holder therefore waits one
        greatest order time before its first order to such an engine.
        """
        if now + ORDER_SECONDS >= self._valid_until:
            return False
        return checks_fence or now >= self._taken_at + ORDER_SECONDS

    def next_call(self, now: float, write: str, *, wanted: bool) -> Call:
        """Return the next call of the store.

        Parameters
        ----------
        write : str
            Name for the write, if there is one; never used before.
        wanted : bool
            Whether this router should hold the duty if it can.
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
        """Note what a read found at ``now``; None if there is no object."""
        if version < self._version:
            return  # Old data: what was seen before is newer.
        if not self._has_read or version != self._version:
            self._changed_at = now
        self._has_read = True
        self._record, self._version = record, version
        self._resolve_pending()

    def record_written(self, version: int) -> None:
        """Note that the write under way took effect."""
        if self._pending is None:
            return
        record, sent_at = self._pending
        self._pending = None
        self._record, self._version = record, version
        self._changed_at = sent_at
        self._begin_term(record, sent_at)

    def record_conflict(self) -> None:
        """Note that the write lost: someone else has written."""
        self._pending = None
        self._has_read = False
        self._valid_until = -math.inf
        self._call_at = -math.inf

    def record_not_sent(self) -> None:
        """Note that the call was held back and certainly took no effect."""
        self._pending = None

    def _write(self, step: Operation, record: Record, now: float) -> Call:
        self._pending = (record, now)
        return Call(step, record, self._version)

    def _resolve_pending(self) -> None:
        """Find out whether the write without an answer took effect.

        A write that did not may still be on its way. It is then refused for its
        version as soon as any other write has taken effect, and harmless until then:
        it is this router's own.
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
