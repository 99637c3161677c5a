"""``GET /v1/addresses``: selects the routers that a caller should use."""

from __future__ import annotations

import random
from collections.abc import Iterable

from celeryspan import ids, states
from celeryspan.wire import messages

# Maximum number of addresses in one answer: enough to survive the loss of several
# routers at once, and small even for a fleet of hundreds.
ADDRESSES_MAX = 16


def select_addresses(
    members: Iterable[messages.Member],
    local_data_centre: ids.DataCentreId,
    generator: random.Random,
) -> list[str]:
    """Return addresses of live routers, those in the local data centre first.

    Within each group the order is random, so that callers, which start with the first
    address, spread evenly over the routers.
    """
    live = [item for item in members if item.state is states.MemberState.ALIVE]
    generator.shuffle(live)
    live.sort(key=lambda item: item.data_centre != local_data_centre)
    return [str(item.caller_address) for item in live[:ADDRESSES_MAX]]
