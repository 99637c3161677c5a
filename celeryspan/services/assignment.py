"""The kernel service ``assignment``: which router is home of which backend server."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING

from celeryspan import ids, kernel, states
from celeryspan.decisions import homes
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan import configuration
    from celeryspan.services import configuration as configuration_service, membership

Handler = Callable[[tuple[homes.HomeChange, ...]], None]

HOME_STATES = frozenset({states.MemberState.ALIVE, states.MemberState.SUSPECT})
"""A router that leaves is no home any more; a suspected one still is, since most
suspicions are refuted and each move costs a recovery."""


@kernel.register("assignment", needs=("configuration", "membership"))
class AssignmentService:
    """Recomputes the homes when the membership or the configuration changes."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._configuration: configuration_service.ConfigurationService = box.find(
            "configuration"
        )
        self._membership: membership.MembershipService = box.find("membership")
        self._homes: dict[ids.ServerId, ids.RouterId] = {}
        self._services: dict[ids.ServiceId, frozenset[ids.RouterId]] = {}
        self._maps: dict[ids.ServiceId, dict[ids.ServerId, ids.RouterId]] = {}
        self._incarnations: dict[ids.RouterId, ids.Incarnation] = {}
        self._handlers: list[Handler] = []
        self._lock = threading.Lock()

    def start(self) -> None:
        """Follow membership and configuration."""
        self._membership.subscribe(lambda *_: self.refresh())
        self._configuration.subscribe(lambda *_: self.refresh())

    def stop(self) -> None:
        """Nothing to end: whoever calls has stopped before."""

    def subscribe(self, handler: Handler) -> None:
        """Call a handler with the servers whose home changed."""
        with self._lock:
            self._handlers.append(handler)
            moves = homes.find_changes({}, self._homes)
        if moves:
            handler(moves)

    def find_home(self, server: ids.ServerId) -> ids.RouterId | None:
        """Return the home of a backend server, or None if it has none."""
        return self._homes.get(server)

    def find_homes(self, service: ids.ServiceId) -> frozenset[ids.RouterId]:
        """Return the homes of all backend servers of a service."""
        return self._services.get(service, frozenset())

    def map_servers(self, service: ids.ServiceId) -> dict[ids.ServerId, ids.RouterId]:
        """Return the home of each backend server of a service."""
        return self._maps.get(service, {})

    def maps(self) -> dict[ids.ServiceId, dict[ids.ServerId, ids.RouterId]]:
        """Return the home of each backend server, by service."""
        return self._maps

    def live(self) -> frozenset[ids.RouterId]:
        """Return the routers that may be homes."""
        members = self._membership.alive()
        return frozenset(item.router for item in members if item.state in HOME_STATES)

    def members(self) -> list[messages.Member]:
        """Return the routers that may hold slots, leaving ones included."""
        members = self._membership.members()
        return [item for item in members if item.state is not states.MemberState.DEAD]

    def refresh(self) -> None:
        """Recompute the homes and tell the handlers what moved."""
        current = self._configuration.current()
        if current is None:
            return
        with self._lock:
            restarted = self._find_restarted()
            found = homes.assign_homes(current.servers, self.live())
            known = {
                server: home
                for server, home in self._homes.items()
                if home not in restarted
            }
            moves = homes.find_changes(known, found)
            self._homes = found
            self._maps = group_by_service(current, found)
            self._services = {
                service: frozenset(group.values())
                for service, group in self._maps.items()
            }
            handlers = list(self._handlers)
        for handler in handlers if moves else ():
            handler(moves)

    def _find_restarted(self) -> set[ids.RouterId]:
        """Return routers that run again under the same name, without any state.

        A router that restarts faster than it is missed keeps its servers; unless its
        homes count as new, nobody tells it which slots are in use and who received
        what, and it grants whole windows again.
        """
        newest = {item.router: item.incarnation for item in self._membership.alive()}
        restarted = {
            router
            for router, incarnation in newest.items()
            if self._incarnations.get(router, incarnation) < incarnation
        }
        self._incarnations.update(newest)
        return restarted

    def report(self) -> dict[str, object]:
        """Return the home of each backend server, for the operator."""
        return {"homes": dict(sorted(self._homes.items()))}


def group_by_service(
    current: configuration.Configuration,
    found: dict[ids.ServerId, ids.RouterId],
) -> dict[ids.ServiceId, dict[ids.ServerId, ids.RouterId]]:
    """Return the home of each backend server, by service."""
    groups: dict[ids.ServiceId, dict[ids.ServerId, ids.RouterId]] = {}
    for server, home in found.items():
        service = ids.ServiceId(current.servers[server].service)
        groups.setdefault(service, {})[server] = home
    return groups
