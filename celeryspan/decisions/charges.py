"""What a slot in use counts for before its request has ended.

Load pattern: a request's cost is known only when it ends, hints are off by a factor of
three, and one request in a hundred costs ten times the mean.

Without a charge an account whose requests have just begun looks as if it had received
nothing, and gets slot after slot (measured: the gap doubles). Charging each request by
an estimate of its own brings the noise of the estimates into the standing, which is
worse than none; so each slot of a service counts the same.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from celeryspan import ids

# The charge for a slot in use, in mean costs of the service. A slot seen at any moment
# has (1 + cv**2) / 2 mean costs before it, 2.1 for the costs of language models.
SLOT_CHARGE = 2.0

# The mean cost of a service is learned over about so many requests, so that one of ten
# times the mean moves it by a fiftieth. The first few may be estimates.
MEAN_COST_REQUESTS = 500
MAX_ESTIMATES = 10

# The greatest cost is taken as known after so many requests. From the first few it
# would be far too small, and accounts would be forgiven what they are owed by chance.
MIN_REQUESTS_FOR_MAX_COST = 200


class SlotCharge:
    """Learns the charge for a slot of each service, and the greatest cost seen."""

    def __init__(self) -> None:
        self._means: dict[ids.ServiceId, float] = {}
        self._counts: dict[ids.ServiceId, int] = {}
        self._max_costs: dict[ids.ServiceId, float] = {}

    def record_estimate(self, service: ids.ServiceId, cost: float) -> None:
        """Learn from an estimate, in cost units, until enough are known.

        The mean of several is taken: the hint of one request alone may be a tenth of
        the mean cost, and the first slots would hardly count.
        """
        if self._counts.get(service, 0) < MAX_ESTIMATES and cost > 0.0:
            self._update_mean(service, cost)

    def record_cost(self, service: ids.ServiceId, cost: float) -> None:
        """Learn from the true cost of a request that ended, in cost units."""
        self._update_mean(service, cost)
        self._max_costs[service] = max(cost, self._max_costs.get(service, 0.0))

    def per_slot(self, service: ids.ServiceId) -> float:
        """Return the charge for one slot in use, in cost units; 0 if none is known."""
        return SLOT_CHARGE * self._means.get(service, 0.0)

    def max_cost(self, service: ids.ServiceId) -> float:
        """Return the greatest cost settled, in cost units; 0 while it is not known."""
        if self._counts.get(service, 0) < MIN_REQUESTS_FOR_MAX_COST:
            return 0.0
        return self._max_costs.get(service, 0.0)

    def _update_mean(self, service: ids.ServiceId, cost: float) -> None:
        count = min(self._counts.get(service, 0) + 1, MEAN_COST_REQUESTS)
        mean = self._means.get(service, 0.0)
        self._counts[service] = count
        self._means[service] = mean + (cost - mean) / count
