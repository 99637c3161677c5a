"""``GET /v1/addresses``: which routers a caller should use."""

from __future__ import annotations

import random
from collections.abc import Iterable

from celeryspan import ids, states
from celeryspan.wire import messages

# Addresses in one answer: enough to survive several lost routers at once, few enough
# that the answer of a fleet of hundreds stays small.
ADDRESSES_MAX = 16


def select_addresses(
    members: Iterable[messages.Member],
    local_data_centre: ids.DataCentreId,
    generator: random.Random,
) -> list[str]:
    """Return addresses, those of one data centre first, each group in random order.

    The order is random so that callers, who try the first one first, spread evenly
    over the routers.
    """
    live = [item for item in members if item.state is states.MemberState.ALIVE]
    generator.shuffle(live)
    live.sort(key=lambda item: item.data_centre != local_data_centre)
    return [str(item.caller_address) for item in live[:ADDRESSES_MAX]]
