"""Which client account may take another thread of a router.

Load pattern: one client account opens hundreds of connections to one router and keeps
as many requests waiting.

Without it: the flooding account's waiting requests take all threads, and every other
account is refused at the door, before its fair share of any backend server counts.

Grounds: an account may hold as many threads as are free at that moment (the dynamic
threshold known from shared switch buffers). One flooding account then gets half of
them, two get a third each, and there is always room for one that comes later. A fixed
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
        """Count one more thread for an account, or refuse it."""
        if self._held[account] >= self._limit - self._total:
            return False
        self._held[account] += 1
        self._total += 1
        return True

    def release(self, account: ids.AccountId) -> None:
        """Count one less."""
        self._total -= 1
        self._held[account] -= 1
        if not self._held[account]:
            del self._held[account]
