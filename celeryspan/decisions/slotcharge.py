"""Charge for a slot in use before the cost of its request is known.

The cost of a request is known only when it ends, hints are off by a factor of three,
and one request in a hundred costs ten times the mean.

Without a charge, an account whose requests have just started appears to have received
nothing and gets further slots, which doubles the gap. Charging each request by its own
estimate adds the noise of the estimates to the standing, which is worse than no charge.
So all slots of a service have the same charge.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from celeryspan import ids

# Charge for a slot in use, in mean costs of the service. A slot observed at a random
# moment has (1 + cv**2) / 2 mean costs ahead of it, 2.1 for the costs of language
# models.
SLOT_CHARGE = 2.0

# Requests in the running mean cost of a service: one request of ten times the mean
# moves it by a fiftieth. The first ``MAX_ESTIMATES`` of them may be estimates.
MEAN_COST_REQUESTS = 500
MAX_ESTIMATES = 10

# Requests after which the maximum cost is known. Over the first few it is far too low,
# and accounts would randomly lose the service they are owed.
MIN_REQUESTS_FOR_MAX_COST = 200


class SlotCharge:
    """Learns the slot charge and the maximum request cost of each service."""

    def __init__(self) -> None:
        self._means: dict[ids.ServiceId, float] = {}
        self._counts: dict[ids.ServiceId, int] = {}
        self._max_costs: dict[ids.ServiceId, float] = {}

    def record_estimate(self, service: ids.ServiceId, cost: float) -> None:
        """Record an estimated cost, in cost units, until enough costs are known.

        Averages several estimates: a single hint may be a tenth of the mean cost, and
        the first slots would have almost no charge.
        """
        if self._counts.get(service, 0) < MAX_ESTIMATES and cost > 0.0:
            self._update_mean(service, cost)

    def record_cost(self, service: ids.ServiceId, cost: float) -> None:
        """Record the true cost of a completed request, in cost units."""
        self._update_mean(service, cost)
        self._max_costs[service] = max(cost, self._max_costs.get(service, 0.0))

    def per_slot(self, service: ids.ServiceId) -> float:
        """Return the charge for one slot in use, in cost units; 0 if unknown."""
        return SLOT_CHARGE * self._means.get(service, 0.0)

    def max_cost(self, service: ids.ServiceId) -> float:
        """Return the maximum cost of a request, in cost units; 0 if unknown."""
        if self._counts.get(service, 0) < MIN_REQUESTS_FOR_MAX_COST:
            return 0.0
        return self._max_costs.get(service, 0.0)

    def _update_mean(self, service: ids.ServiceId, cost: float) -> None:
        count = min(self._counts.get(service, 0) + 1, MEAN_COST_REQUESTS)
        mean = self._means.get(service, 0.0)
        self._counts[service] = count
        self._means[service] = mean + (cost - mean) / count
