"""Decides how many bytes a router buffers for callers that read slowly.

Without a bound, slow readers exhaust the memory of a small VM. With a bound that all
share on a first come, first served basis, the slow readers of one account would leave
no buffer to the others. Past the budget the account with most bytes buffered therefore
gives way to the others, its slowest reader first.
"""

from __future__ import annotations

import collections
from collections.abc import Hashable

import msgspec

from celeryspan import ids

EXCESS_SHARE = 0.1
"""Share of the budget by which it may be exceeded while responses are paused. Beyond
it a response is aborted."""

PRECEDENCE_RATIO = 0.5
"""An account takes precedence over the largest one if it has at most this part of its
bytes buffered. With equal bytes as the bound, two accounts of slow readers would abort
each other's responses in turn."""

MARK_SECONDS = 0.1
"""Bytes buffered within this time share a mark of their age, so that a stream of many
small events costs ten marks a second."""


class Grant(msgspec.Struct, frozen=True):
    """How much of a part of a response may be buffered now.

    Attributes
    ----------
    size : int
        Bytes that may be buffered and are counted; the response is paused if these are
        fewer than asked for.
    aborted : Hashable or None
        Another response that has to be aborted; its bytes are no longer counted.
    aborted_bytes : int
        Bytes that were buffered for it.
    """

    size: int
    aborted: Hashable | None = None
    aborted_bytes: int = 0


class _Reader:
    """What is buffered for the caller of one response.

    Attributes
    ----------
    ceiling : int or None
        Bytes above which nothing more is buffered; None unless backpressure applies.
    marks : deque of (total, time)
        Number of bytes ever buffered, and the time at which the first of the bytes
        since the previous mark was buffered.
    """

    __slots__ = ("account", "added", "ceiling", "held", "marks", "response")

    def __init__(self, response: Hashable, account: ids.AccountId) -> None:
        self.response = response
        self.account = account
        self.held = 0
        self.added = 0
        self.ceiling: int | None = None
        self.marks: collections.deque[tuple[int, float]] = collections.deque()

    def add(self, size: int, now: float) -> None:
        self.held += size
        self.added += size
        began = now
        if self.marks and now - self.marks[-1][1] < MARK_SECONDS:
            began = self.marks.pop()[1]
        self.marks.append((self.added, began))

    def take(self, size: int) -> None:
        self.held -= size
        taken = self.added - self.held
        while self.marks and self.marks[0][0] <= taken:
            self.marks.popleft()

    def oldest(self) -> float:
        """Return when the oldest byte was buffered; infinity if there is none."""
        return self.marks[0][1] if self.marks else float("inf")


class HeldBytes:
    """The bytes buffered on one router, by response and account.

    A response under backpressure buffers no more than it did when that began: it is
    read at the pace of its caller. A reader is slower than another one if the oldest
    byte buffered for it has waited longer.

    Parameters
    ----------
    limit : int
        The budget, in bytes.

    Attributes
    ----------
    total : int
        Bytes buffered now; never more than the budget and a tenth, apart from the few
        bytes that end a response.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.total = 0
        self._total_max = int(limit * (1 + EXCESS_SHARE))
        self._readers: dict[Hashable, _Reader] = {}
        self._by_account: collections.Counter[ids.AccountId] = collections.Counter()

    def add(
        self, response: Hashable, account: ids.AccountId, wanted: int, now: float
    ) -> Grant:
        """Buffer as much of a part of a response as the budget allows."""
        reader = self._readers.get(response)
        if reader is None:
            reader = self._readers[response] = _Reader(response, account)
        if self.total < self.limit:
            reader.ceiling = None
            return self._grant(reader, min(wanted, self.limit - self.total), now)
        if reader.ceiling is None:
            self._pause_slowest()
        room = max(0, self._total_max - self.total)
        if reader.ceiling is not None:
            # Others may have filled what its caller has taken.
            room = min(room, max(0, reader.ceiling - reader.held))
            return self._grant(reader, min(wanted, room), now)
        if room > 0:
            return self._grant(reader, min(wanted, room), now)
        largest = self._find_largest_account()
        if self._by_account[account] > PRECEDENCE_RATIO * self._by_account[largest]:
            reader.ceiling = reader.held
            return Grant(0)
        return self._replace_slowest(largest, reader, wanted, now)

    def add_end(
        self, response: Hashable, account: ids.AccountId, size: int, now: float
    ) -> None:
        """Buffer the few bytes that end a response, also past the budget.

        The response is complete, and its slot must not wait for room in the budget.
        """
        reader = self._readers.get(response)
        if reader is None:
            reader = self._readers[response] = _Reader(response, account)
        self._grant(reader, size, now)

    def take(self, response: Hashable, size: int) -> None:
        """Record that a caller has taken some of its bytes."""
        reader = self._readers.get(response)
        if reader is None:
            return
        # A response that was aborted may have been counted anew in part.
        size = min(size, reader.held)
        reader.take(size)
        self._count(reader.account, -size)

    def forget(self, response: Hashable) -> int:
        """Drop a response that has ended; returns the bytes it had buffered."""
        reader = self._readers.pop(response, None)
        if reader is None:
            return 0
        self._count(reader.account, -reader.held)
        return reader.held

    def count_by_account(self) -> dict[ids.AccountId, int]:
        """Return the bytes buffered for each account that has any."""
        return dict(self._by_account)

    def _grant(self, reader: _Reader, size: int, now: float) -> Grant:
        if size:
            reader.add(size, now)
            self._count(reader.account, size)
        return Grant(size)

    def _count(self, account: ids.AccountId, change: int) -> None:
        self.total += change
        self._by_account[account] += change
        if not self._by_account[account]:
            del self._by_account[account]

    def _find_largest_account(self) -> ids.AccountId:
        return max(self._by_account, key=self._by_account.__getitem__)

    def _pause_slowest(self) -> None:
        """Apply backpressure to one more reader of the account with most bytes."""
        largest = self._find_largest_account()
        candidates = [
            reader
            for reader in self._readers.values()
            if reader.account == largest and reader.held and reader.ceiling is None
        ]
        if candidates:
            slowest = min(candidates, key=_Reader.oldest)
            slowest.ceiling = slowest.held

    def _replace_slowest(
        self, account: ids.AccountId, reader: _Reader, wanted: int, now: float
    ) -> Grant:
        """Abort the slowest reader of an account in favour of another account's."""
        slowest = min(
            (
                each
                for each in self._readers.values()
                if each.account == account and each.held
            ),
            key=_Reader.oldest,
        )
        freed = self.forget(slowest.response)
        room = max(0, self._total_max - self.total)
        granted = self._grant(reader, min(wanted, room), now)
        return Grant(granted.size, slowest.response, freed)
