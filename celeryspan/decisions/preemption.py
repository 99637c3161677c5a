"""Whether to take a slot back from a client account that is far ahead.

Load pattern: long jobs of one account hold many slots when others become backlogged,
and slots fall free only as those jobs end.

Without it the others wait for up to one greatest cost. With it, a stream is cancelled
and resumed later; the engine then computes the tokens so far once more, at the speed of
a prompt.

``docs/design/preemption.md`` holds the figures by which it is weighed. The daemons do
not use it; the replay's policies ``oracle-preempt-*`` do.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from celeryspan import ids

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Part of the cost of streamed tokens that computing them again takes: engines read
# prompts about ten times as fast as they write answers.
RECOMPUTE_COST_SHARE = 0.1

# Seconds between two slots that are taken back in one service. One slot a second moves
# 1,500 units a minute at 25 a second: it corrects, and cannot thrash.
PREEMPTION_INTERVAL_SECONDS = 1.0


class Stream(msgspec.Struct, frozen=True):
    """A request in progress whose stream can be cancelled and resumed.

    Attributes
    ----------
    streamed : float
        Cost units so far.
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

    Of the account that is furthest ahead it is the stream with the least to compute
    again.

    Parameters
    ----------
    levels : mapping
        Service received by each account, in cost units per weight.
    waiting : iterable of AccountId
        Accounts with waiting requests.
    ahead : float
        How far an account must be ahead of the least waiting one.
    """
    least = min((levels[account] for account in waiting), default=None)
    if least is None:
        return None
    eligible = [item for item in streams if levels[item.account] > least + min_lead]
    if not eligible:
        return None
    return max(eligible, key=lambda item: (levels[item.account], -item.streamed))
