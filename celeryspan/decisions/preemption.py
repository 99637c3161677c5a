"""Preemption of streams of a client account that is far above its fair share.

Long jobs of one account can hold many slots when other accounts become backlogged, and
slots are released only as those jobs end.

Without preemption the other accounts wait for up to the cost of the largest request.
With preemption a stream is cancelled and resumed later, and the engine recomputes the
tokens generated so far at prefill speed.

``docs/design/preemption.md`` compares costs and benefits. The daemons do not preempt;
the ``oracle-preempt-*`` policies of the replay do.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from celeryspan import ids

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Cost of recomputing streamed tokens, as a share of their original cost: engines
# prefill about ten times as fast as they decode.
RECOMPUTE_COST_SHARE = 0.1

# Minimum time between two preemptions in one service. One slot per second shifts 1,500
# cost units a minute at 25 units a second: enough to correct without thrashing.
PREEMPTION_INTERVAL_SECONDS = 1.0


class Stream(msgspec.Struct, frozen=True):
    """A request in progress whose stream can be cancelled and resumed.

    Attributes
    ----------
    streamed : float
        Cost units streamed so far.
    """

    request: ids.RequestId
    account: ids.AccountId
    streamed: float


def pick_victim(
    levels: Mapping[ids.AccountId, float],
    waiting: Iterable[ids.AccountId],
    streams: Iterable[Stream],
    min_lead: float,
) -> Stream | None:
    """Return the stream to cancel, or None.

    Chooses the account with the highest level, and of its streams the one that is
    cheapest to recompute.

    Parameters
    ----------
    levels : mapping
        Service received by each account, in cost units per weight.
    waiting : iterable of AccountId
        Accounts with waiting requests.
    min_lead : float
        Required distance above the lowest level of a waiting account, exclusive.
    """
    lowest = min((levels[account] for account in waiting), default=None)
    if lowest is None:
        return None
    eligible = [item for item in streams if levels[item.account] > lowest + min_lead]
    if not eligible:
        return None
    return max(eligible, key=lambda item: (levels[item.account], -item.streamed))
