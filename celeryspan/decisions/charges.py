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
# times the mean moves it by a fiftieth, and starts as if so many had cost the estimate.
MEAN_REQUESTS = 500
PRIOR_REQUESTS = 10


class Charge:
    """Learns the charge for a slot of each service, and the greatest cost seen."""

    def __init__(self) -> None:
        self._means: dict[ids.ServiceId, float] = {}
        self._counts: dict[ids.ServiceId, int] = {}
        self._greatest: dict[ids.ServiceId, float] = {}

    def expect(self, service: ids.ServiceId, cost: float) -> None:
        """Start from an estimate, in cost units, until requests have settled."""
        if service not in self._means and cost > 0.0:
            self._means[service] = cost
            self._counts[service] = PRIOR_REQUESTS

    def settle(self, service: ids.ServiceId, cost: float) -> None:
        """Learn from the true cost of a request that ended, in cost units."""
        self.expect(service, cost)
        count = min(self._counts[service] + 1, MEAN_REQUESTS)
        self._counts[service] = count
        self._means[service] += (cost - self._means[service]) / count
        self._greatest[service] = max(cost, self.greatest(service))

    def per_slot(self, service: ids.ServiceId) -> float:
        """Return the charge for one slot in use, in cost units; 0 if none is known."""
        return SLOT_CHARGE * self._means.get(service, 0.0)

    def greatest(self, service: ids.ServiceId) -> float:
        """Return the greatest cost settled so far, in cost units; 0 if none."""
        return self._greatest.get(service, 0.0)
