"""The store comes back from a copy some seconds old, and revisions are given again."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.gateway import support

PROPAGATION_SECONDS = 2.0
"""Time within which a change must be in force on every router."""

LOST_VERSION = 2
"""Version of the configuration that the store loses."""

WRITES_LOST = 12
"""Writes between the copy and the restoration, more than the tests write after it."""


Condition = Callable[[support.Router], bool]


class Fleet:
    """Two routers with three servers, and a store that can be restored."""

    def __init__(self, cluster: support.Cluster) -> None:
        self.cluster = cluster
        self.store = cluster.store
        self.servers = {
            name: cluster.add_server(name) for name in ("gate-1", "gate-2", "gate-3")
        }
        self.routers = [
            cluster.start_router("edge-1"),
            cluster.start_router("edge-2"),
        ]
        support.wait_for(
            lambda: all(
                len(router.container.find("membership").alive()) == 2
                for router in self.routers
            )
        )
        support.wait_for(lambda: all(map(has_read_store, self.routers)))
        self._copy = self.store.copy()

    def restore(self, write: Callable[[], None] = lambda: None) -> None:
        """Lose some writes, take the store away and bring it back from the copy.

        Parameters
        ----------
        write : callable
            Writes to the restored store before it answers any router.
        """
        self.lose_writes()
        self.store.faults.refuse_status = 503
        self.store.restore(self._copy)
        write()
        self.store.faults.refuse_status = 0

    def lose_writes(self) -> None:
        """Write what the store is going to lose, and wait until all routers know it."""
        for number in range(WRITES_LOST):
            self.store.put("notes", "n1", {"number": number})
        self.store.put("config", "main", support.make_configuration(LOST_VERSION))
        marker = f"marker-{self.store.put('notes', 'n2', {})}"
        self.cluster.register_server(self.servers["gate-3"], "gate", sequence=2)
        self.store.put("servers", marker, self.store.find("servers", "gate-3")["spec"])
        self.wait_all(lambda router: marker in get_usable(router))
        self.wait_all(lambda router: find_version(router) == LOST_VERSION)

    def wait_all(self, condition: Condition) -> None:
        """Wait until a condition holds for all routers, as long as changes may take."""
        support.wait_for(
            lambda: all(condition(router) for router in self.routers),
            seconds=PROPAGATION_SECONDS,
        )

    def stays(self, condition: Condition) -> None:
        """Check that a condition holds for all routers as long as changes may take."""
        with pytest.raises(AssertionError):
            support.wait_for(
                lambda: not all(condition(router) for router in self.routers),
                seconds=PROPAGATION_SECONDS,
            )


@pytest.fixture
def fleet(cluster) -> Fleet:
    """Return a fleet that has read the store."""
    return Fleet(cluster)


def has_read_store(router: support.Router) -> bool:
    """Whether a router has listed servers and configuration itself."""
    services = (router.container.find(name) for name in ("servers", "catalogues"))
    return not any(service._follower._must_list for service in services)


def get_usable(router: support.Router) -> set[str]:
    """Return the names of the servers that a router uses."""
    return set(router.container.find("servers").usable())


def find_version(router: support.Router) -> int:
    """Return the configuration version in force on a router."""
    return router.container.find("catalogues").current().version


def test_configuration_written_after_a_restoration_is_in_force(fleet) -> None:
    """Guards against a key that is still served after it was revoked."""
    fleet.restore()
    revoked = support.make_configuration(3, tenants=[])
    fleet.store.put("config", "main", revoked)
    fleet.wait_all(lambda router: find_version(router) == 3)
    for router in fleet.routers:
        assert router.call("/bookings/1").status == 401


def test_server_that_leaves_after_a_restoration_gets_no_requests(fleet) -> None:
    """Guards against requests at a server whose word has a revision given out again."""
    fleet.restore()
    fleet.cluster.register_server(fleet.servers["gate-1"], "gate", state="draining")
    fleet.wait_all(lambda router: "gate-1" not in get_usable(router))


def test_server_removed_after_a_restoration_gets_no_requests(fleet) -> None:
    """Guards against requests at a server whose removal has an old revision."""
    fleet.restore()
    fleet.store.remove("servers", "gate-1")
    fleet.wait_all(lambda router: "gate-1" not in get_usable(router))


def test_server_registered_after_a_restoration_is_used(fleet) -> None:
    """Guards against a new server that stays idle until revisions pass the old ones."""
    fleet.restore()
    fleet.cluster.add_server("gate-4")
    fleet.wait_all(lambda router: "gate-4" in get_usable(router))


def test_changes_before_revisions_pass_the_known_one_are_not_skipped(fleet) -> None:
    """Guards against a watch that goes on at a known revision in the next era."""

    def write() -> None:
        fleet.cluster.register_server(fleet.servers["gate-1"], "gate", state="draining")
        for number in range(2 * WRITES_LOST):
            fleet.store.put("notes", "n1", {"number": number})

    fleet.restore(write)
    fleet.wait_all(lambda router: "gate-1" not in get_usable(router))
