"""Limits what the pools of this router may grant to cold servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from celeryspan import events, ids, kernel
from celeryspan.decisions import coldstart, pools, shards, tenure

if TYPE_CHECKING:
    from celeryspan.gateway import catalogues, fleet, poolmap, settings
    from celeryspan.services import identity, membership


class ColdLimits:
    """The tenures of this router as the home of pools, and what follows from them.

    Nothing is limited unless the settings state a tolerance for cold servers.
    """

    def __init__(self, container: kernel.Kernel) -> None:
        self._catalogues: catalogues.CataloguesService = container.find("catalogues")
        self._fleet: fleet.FleetService = container.find("fleet")
        self._identity: identity.IdentityService = container.find("identity")
        self._map: poolmap.PoolMap = container.find("poolmap")
        self._membership: membership.MembershipService = container.find("membership")
        self._tolerance = _make_tolerance(container.settings)
        self._tenures: dict[ids.PoolId, tenure.Tenure] = {}
        self._has_majority = False

    def count_fleet(self, reachable: int, now: float) -> None:
        """Record how many routers this one reaches, itself included."""
        if self._tolerance is None:
            return
        self._has_majority = tenure.has_majority(
            reachable,
            self._membership.list_records(),
            self._fleet.count_listed(),
            now,
        )

    def update(self, pool: pools.Pool, now: float) -> None:
        """Update the tenure of a pool, and what it may grant to cold servers."""
        if self._tolerance is None:
            return
        held = self._tenures.setdefault(pool.name, tenure.Tenure())
        was_established = held.is_established(now)
        is_home = self._map.find_home(pool.name) == self._identity.router
        held.update(is_home=is_home, has_majority=self._has_majority, now=now)
        is_established = held.is_established(now)
        limit = coldstart.compute_home_limit(self._find_rate(pool), self._tolerance)
        if not is_established and limit != coldstart.UNLIMITED:
            limit = 0.0
        pool.limit_cold_grants(limit)
        if was_established and not is_established:
            events.log(
                events.Event.TENURE_LOST,
                pool=pool.name,
                is_home=is_home,
                has_majority=self._has_majority,
            )

    def forget(self, name: ids.PoolId) -> None:
        """Forget the tenure of a pool that was dropped."""
        self._tenures.pop(name, None)

    def is_established(self, name: ids.PoolId, now: float) -> bool:
        """Whether this router is the undisputed home of a pool."""
        held = self._tenures.get(name)
        return held is not None and held.is_established(now)

    def _find_rate(self, pool: pools.Pool) -> float:
        """Return the requests per second that cold servers of a pool tolerate."""
        service_id, _, _ = shards.parse_pool(pool.name)
        current = self._catalogues.current()
        service = current.services.get(service_id) if current else None
        return service.cold_rate if service else 0.0


def _make_tolerance(values: settings.Settings) -> coldstart.Tolerance | None:
    if values.cold_factor is None or values.cold_slack is None:
        return None
    return coldstart.Tolerance(values.cold_factor, values.cold_slack)
