"""Limits the router threads that one client account may hold.

A client account may open hundreds of connections to one router and keep as many
requests waiting. Without a limit these requests take all threads, and every other
account is refused before its fair share of any backend server is considered.

An account may hold at most as many threads as are free at that moment, the dynamic
threshold scheme of shared-memory switch buffers. One flooding account then gets half of
the threads, two get a third each, and a later account always finds a free one. A fixed
share would either leave threads unused or, with many accounts, not bound the sum.
"""

from __future__ import annotations

import collections

from celeryspan import ids


class ThreadQuota:
    """Counts the threads that client accounts hold.

    Parameters
    ----------
    limit : int
        Threads of the router.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._held: collections.Counter[ids.AccountId] = collections.Counter()
        self._total = 0

    def acquire(self, account: ids.AccountId) -> bool:
        """Take a thread for an account; return False if its quota is exhausted."""
        if self._held[account] >= self._limit - self._total:
            return False
        self._held[account] += 1
        self._total += 1
        return True

    def release(self, account: ids.AccountId) -> None:
        """Return a thread of an account."""
        self._total -= 1
        self._held[account] -= 1
        if not self._held[account]:
            del self._held[account]
