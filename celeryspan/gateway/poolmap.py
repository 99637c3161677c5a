"""The kernel service ``poolmap``: assigns homes to pools and requests to pools.

All routers derive the same homes from the list of backend servers and the membership.
"""

from __future__ import annotations

import collections
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from celeryspan import events, ids, kernel
from celeryspan.decisions import homes, shards, streamversions
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan import catalog
    from celeryspan.gateway import announcements, serverlists
    from celeryspan.services import identity, membership

HOME_EXCLUSION_SECONDS = 3.0
"""How long a silent home is excluded; if it is dead, the membership detects it within
this time."""

SWITCH_GAIN_SECONDS_MIN = 0.1
"""Minimum reduction of the waiting time for which a request switches to another shard:
the reported waiting times are some tenths of a second old."""


@kernel.register(
    "poolmap", needs=("announcements", "identity", "membership", "servers")
)
class PoolMap:
    """Finds pools for requests, and homes for pools."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._announcements: announcements.AnnouncementsService = container.find(
            "announcements"
        )
        self._identity: identity.IdentityService = container.find("identity")
        self._membership: membership.MembershipService = container.find("membership")
        self._servers: serverlists.ServersService = container.find("servers")
        self._pressures = shards.Pressures()
        self._excluded_until: dict[ids.RouterId, float] = {}
        self._router_count = 1
        self._host_cores: dict[ids.RouterId, float] = {self._identity.router: 1.0}
        self._divisions: dict[ids.ServiceId, shards.Division] = {}
        self._running: tuple[ids.RouterId, ...] = (self._identity.router,)
        self._hosts: dict[tuple[ids.ServiceId, int], tuple[ids.RouterId, ...]] = {}
        self._homes: dict[tuple[ids.ServiceId, int], tuple[ids.RouterId, ...]] = {}
        self._handlers: list[Callable[[], None]] = []

    def start(self) -> None:
        """Subscribe to changes of the server list and the membership."""
        self._set_members(self._membership.alive())
        self._membership.subscribe(self._handle_members)
        self._servers.subscribe(self._handle_servers)

    def stop(self) -> None:
        """Do nothing: this service has no thread."""

    def report(self) -> dict[str, object]:
        """Return the homes of each service's pools."""
        return {
            service: list(self._list_homes(service, division.count))
            for service, division in self._divisions.items()
        }

    def subscribe(self, handler: Callable[[], None]) -> None:
        """Register a handler to call when pools or homes may have changed."""
        self._handlers.append(handler)

    def count_routers(self) -> int:
        """Return the number of routers that are not leaving."""
        return self._router_count

    def find_server_pool(
        self, service: ids.ServiceId, server: ids.ServerId
    ) -> ids.PoolId | None:
        """Return the pool of a backend server; None if it has left."""
        division = self._find_division(service)
        shard = division.shards.get(server)
        if shard is None:
            return None
        return shards.name_pool(service, division.count, shard)

    def choose_pool(
        self, service: ids.ServiceId, ask: messages.SlotRequest, now: float
    ) -> ids.PoolId:
        """Return the pool to send a request to."""
        count = self._find_division(service).count
        key, penalty = shards.find_affinity(ask)
        avoided = (
            self._find_avoided_shards(service, ask.version)
            if count > 1
            else frozenset()
        )
        shard = self._pressures.choose(service, count, key, penalty, now, avoided)
        return shards.name_pool(service, count, shard)

    def _find_avoided_shards(
        self, service: ids.ServiceId, version: ids.SoftwareVersion
    ) -> frozenset[int]:
        """Return the shards without a server for a request of this router.

        All their servers rest for this router, or have another software version than
        the one that began the request's stream.
        """
        resting = self._announcements.list_resting()
        if not resting and not version:
            return frozenset()
        entries = self._servers.usable()
        found = self._find_division(service).shards.items()
        usable = {
            shard
            for server, shard in found
            if server not in resting
            and server in entries
            and streamversions.may_continue(entries[server], version)
        }
        return frozenset(shard for _, shard in found) - usable

    def find_better_pool(
        self, pool: ids.PoolId, ask: messages.SlotRequest, now: float
    ) -> ids.PoolId | None:
        """Return the pool that a waiting request should switch to, or None."""
        service, count, _ = shards.parse_pool(pool)
        if count == 1 or count != self._find_division(service).count:
            return None
        found = self.choose_pool(service, ask, now)
        gain = self._pressures.estimate(pool, now) - self._pressures.estimate(
            found, now
        )
        return found if gain > SWITCH_GAIN_SECONDS_MIN and found != pool else None

    def is_current(self, pool: ids.PoolId) -> bool:
        """Return whether a pool belongs to the current division of its service."""
        service, count, _ = shards.parse_pool(pool)
        return count == self._find_division(service).count

    def list_servers(
        self, pool: ids.PoolId, entries: dict[ids.ServerId, catalog.ServerEntry]
    ) -> list[catalog.ServerEntry]:
        """Return the backend servers of a pool."""
        service, count, shard = shards.parse_pool(pool)
        servers = [name for name, each in entries.items() if each.service == service]
        found = shards.split(servers, count)
        return [entries[name] for name in servers if found[name] == shard]

    def record_pressure(self, pool: ids.PoolId, seconds: float, now: float) -> None:
        """Store the waiting time that a home reports for its pool."""
        self._pressures.record(pool, seconds, now)

    def exclude_home(self, router: ids.RouterId, now: float) -> None:
        """Use other homes in place of a silent one for some time."""
        until = now + HOME_EXCLUSION_SECONDS
        self._excluded_until = {**self._excluded_until, router: until}
        self._homes = {}
        events.log(events.Event.HOME_LEFT, peer=router, reason="silent")

    def find_home(self, pool: ids.PoolId) -> ids.RouterId:
        """Return the home of a pool: this router if no other is available."""
        service, count, shard = shards.parse_pool(pool)
        found = self._list_homes(service, count)
        return found[shard] if shard < len(found) else self._identity.router

    def list_hosts(
        self, service: ids.ServiceId, count: int
    ) -> tuple[ids.RouterId, ...]:
        """Return routers that hold state of a service: as many as it has pools.

        Unlike homes they stay the same while routers become busy, so that their state
        need not move under load.

        Parameters
        ----------
        count : int
            Least number of them, if the fleet has as many routers.
        """
        count = max(count, self._find_division(service).count)
        found = self._hosts.get((service, count))
        if found is None:
            found = homes.choose_hosts(service, self._running, count)
            self._hosts[service, count] = found
        return found

    def list_homes(self, service: ids.ServiceId) -> tuple[ids.RouterId, ...]:
        """Return the homes of the pools of a service."""
        return self._list_homes(service, self._find_division(service).count)

    def _list_homes(
        self, service: ids.ServiceId, count: int
    ) -> tuple[ids.RouterId, ...]:
        now = time.monotonic()
        if any(until <= now for until in self._excluded_until.values()):
            self._excluded_until = {
                router: until
                for router, until in self._excluded_until.items()
                if until > now
            }
            self._homes = {}
        found = self._homes.get((service, count))
        if found is None:
            routers = [r for r in self._host_cores if r not in self._excluded_until]
            found = shards.find_homes(service, count, routers, self._host_cores)
            self._homes[service, count] = found
        return found

    def _find_division(self, service: ids.ServiceId) -> shards.Division:
        return self._divisions.get(service, shards.SINGLE_SHARD)

    def _set_members(self, members: list[messages.Member]) -> None:
        """Set the routers that may be homes."""
        running = shards.list_running(members)
        self._router_count = max(1, len(running))
        routers = tuple(sorted(member.router for member in running))
        if routers != self._running:
            self._running, self._hosts = routers, {}
        self._host_cores = shards.list_hosts(running)
        self._homes = {}

    def _handle_members(self, members: list[messages.Member]) -> None:
        self._set_members(members)
        self._notify()

    def _handle_servers(self, usable: dict[ids.ServerId, catalog.ServerEntry]) -> None:
        services: dict[ids.ServiceId, list[ids.ServerId]] = collections.defaultdict(
            list
        )
        for name, entry in usable.items():
            services[entry.service].append(name)
        self._divisions = {name: shards.divide(each) for name, each in services.items()}
        self._notify()

    def _notify(self) -> None:
        for handler in self._handlers:
            handler()
