"""The kernel service ``budgets``: this router's share of the fleet's retry budget."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from celeryspan import ids, kernel
from celeryspan.decisions import retrybudget

if TYPE_CHECKING:
    from celeryspan.gateway import poolmap


@kernel.register("budgets", needs=("poolmap",))
class RetryBudgets:
    """Holds a retry budget for each service."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._pool_map: poolmap.PoolMap = container.find("poolmap")
        self._settings = container.settings
        self._budgets: dict[ids.ServiceId, retrybudget.RetryBudget] = {}
        self._lock = threading.Lock()

    def start(self) -> None:
        """Do nothing: the service has no background work."""

    def stop(self) -> None:
        """Do nothing: the service holds no resources."""

    def record_request(self, service: ids.ServiceId) -> None:
        """Count a caller's request, which adds to the budget."""
        with self._lock:
            self._get_budget(service).record_request(time.monotonic())

    def try_take(self, service: ids.ServiceId) -> bool:
        """Take one retry from the budget; returns whether one was available."""
        with self._lock:
            routers = self._pool_map.count_routers()
            return self._get_budget(service).try_take(time.monotonic(), routers)

    def give_back(self, service: ids.ServiceId) -> None:
        """Return one retry that was not sent to any server."""
        with self._lock:
            self._get_budget(service).give_back()

    def _get_budget(self, service: ids.ServiceId) -> retrybudget.RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = retrybudget.RetryBudget(
                self._settings.retry_ratio,
                self._settings.retry_slack,
                self._settings.retry_window,
            )
        return self._budgets[service]
