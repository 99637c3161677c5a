"""The kernel service ``assignment``: maps each backend server to its home router."""

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

# Member states in which a router may be a home. A leaving router is none any more. A
# suspected one still is: most suspicions are refuted, and each move needs a recovery.
HOME_STATES = frozenset({states.MemberState.ALIVE, states.MemberState.SUSPECT})


@kernel.register("assignment", needs=("configuration", "membership"))
class AssignmentService:
    """Recomputes the homes when the membership or the configuration changes."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._configuration: configuration_service.ConfigurationService = (
            container.find("configuration")
        )
        self._membership: membership.MembershipService = container.find("membership")
        self._homes: dict[ids.ServerId, ids.RouterId] = {}
        self._service_homes: dict[ids.ServiceId, frozenset[ids.RouterId]] = {}
        self._homes_by_service: dict[
            ids.ServiceId, dict[ids.ServerId, ids.RouterId]
        ] = {}
        self._incarnations: dict[ids.RouterId, ids.Incarnation] = {}
        self._handlers: list[Handler] = []
        self._lock = threading.Lock()

    def start(self) -> None:
        """Subscribe to changes of membership and configuration."""
        self._membership.subscribe(lambda *_: self.refresh())
        self._configuration.subscribe(lambda *_: self.refresh())

    def stop(self) -> None:
        """Do nothing: the services that call this one have stopped before."""

    def subscribe(self, handler: Handler) -> None:
        """Call a handler with the changes of homes, first with the current homes."""
        with self._lock:
            self._handlers.append(handler)
            changes = homes.find_changes({}, self._homes)
        if changes:
            handler(changes)

    def find_home(self, server: ids.ServerId) -> ids.RouterId | None:
        """Return the home of a backend server, or None if it has none."""
        return self._homes.get(server)

    def find_homes(self, service: ids.ServiceId) -> frozenset[ids.RouterId]:
        """Return the homes of all backend servers of a service."""
        return self._service_homes.get(service, frozenset())

    def find_homes_by_server(
        self, service: ids.ServiceId
    ) -> dict[ids.ServerId, ids.RouterId]:
        """Return the home of each backend server of a service."""
        return self._homes_by_service.get(service, {})

    def homes_by_service(self) -> dict[ids.ServiceId, dict[ids.ServerId, ids.RouterId]]:
        """Return the home of each backend server, by service."""
        return self._homes_by_service

    def live_routers(self) -> frozenset[ids.RouterId]:
        """Return the routers that may be homes."""
        members = self._membership.alive()
        return frozenset(item.router for item in members if item.state in HOME_STATES)

    def members(self) -> list[messages.Member]:
        """Return the routers that may hold slots, including leaving ones."""
        members = self._membership.members()
        return [item for item in members if item.state is not states.MemberState.DEAD]

    def refresh(self) -> None:
        """Recompute the homes and call the handlers with the changes."""
        current = self._configuration.current()
        if current is None:
            return
        with self._lock:
            restarted = self._find_restarted()
            assigned = homes.assign_homes(current.servers, self.live_routers())
            known = {
                server: home
                for server, home in self._homes.items()
                if home not in restarted
            }
            changes = homes.find_changes(known, assigned)
            self._homes = assigned
            self._homes_by_service = group_by_service(current, assigned)
            self._service_homes = {
                service: frozenset(group.values())
                for service, group in self._homes_by_service.items()
            }
            handlers = list(self._handlers)
        for handler in handlers if changes else ():
            handler(changes)

    def _find_restarted(self) -> set[ids.RouterId]:
        """Return the routers that have restarted and lost their state.

        A router that restarts before it is declared dead keeps its servers. Unless
        these count as newly assigned, no router reports held slots and received
        service to it, and it grants whole windows again.
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
    assigned: dict[ids.ServerId, ids.RouterId],
) -> dict[ids.ServiceId, dict[ids.ServerId, ids.RouterId]]:
    """Return the home of each backend server, by service."""
    groups: dict[ids.ServiceId, dict[ids.ServerId, ids.RouterId]] = {}
    for server, home in assigned.items():
        service = ids.ServiceId(current.servers[server].service)
        groups.setdefault(service, {})[server] = home
    return groups
