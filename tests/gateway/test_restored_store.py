"""The store comes back from a copy some seconds old, and revisions are given again."""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec
import pytest

from celeryspan import events
from celeryspan.gateway import evacuations, serverlists
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

    def __init__(self, cluster: support.Cluster, first: int = 1) -> None:
        self.cluster = cluster
        self.store = cluster.store
        self.servers = {
            name: cluster.add_server(name) for name in ("gate-1", "gate-2", "gate-3")
        }
        self.routers = [
            cluster.start_router(f"edge-{number}") for number in (first, first + 1)
        ]
        support.wait_for(
            lambda: all(
                len(router.container.find("membership").alive()) == 2
                for router in self.routers
            )
        )
        support.wait_for(lambda: all(map(has_read_store, self.routers)))
        self._copy = self.store.copy()

    def make_copy(self) -> None:
        """Take the copy that the store comes back from."""
        self._copy = self.store.copy()

    def restore(self, write: Callable[[], None] = lambda: None) -> None:
        """Lose some writes, take the store away and bring it back from the copy.

        Parameters
        ----------
        write : callable
            Writes to the restored store before it answers any router.
        """
        self.lose_writes()
        self.restore_copy(write)

    def restore_copy(self, write: Callable[[], None] = lambda: None) -> None:
        """Take the store away and bring it back from the copy."""
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

    def check_stays(self, condition: Condition) -> None:
        """Check that a condition holds for all routers as long as changes may take."""
        until = time.monotonic() + PROPAGATION_SECONDS
        while time.monotonic() < until:
            assert all(condition(router) for router in self.routers)
            time.sleep(0.01)

    def wait_until_restored(self) -> None:
        """Wait until all routers have read the restored store."""
        era = self.store.era
        self.wait_all(lambda router: get_eras(router) == {era})

    def leave(self, name: str) -> None:
        """Let a server say that it leaves, and wait until all routers know."""
        self.cluster.register_server(self.servers[name], "gate", state="draining")
        self.wait_all(lambda router: name not in get_usable(router))


@pytest.fixture
def fleet(cluster) -> Fleet:
    """Return a fleet that has read the store."""
    return Fleet(cluster)


def has_read_store(router: support.Router) -> bool:
    """Whether a router has listed servers and configuration itself."""
    services = (router.container.find(name) for name in ("servers", "catalogues"))
    return not any(service._follower._must_list for service in services)


def get_eras(router: support.Router) -> set[int]:
    """Return the eras in which a router knows servers, configuration, evacuations."""
    services = (
        router.container.find(name) for name in ("servers", "catalogues", "evacuations")
    )
    return {service._follower.log.era for service in services}


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


def test_copy_does_not_bring_back_an_older_configuration(fleet) -> None:
    """Guards against a configuration that reverts with the store."""
    fleet.restore()
    fleet.check_stays(lambda router: find_version(router) == LOST_VERSION)
    fleet.store.put("config", "main", support.make_configuration(LOST_VERSION))
    fleet.store.put("config", "main", support.make_configuration(3))
    fleet.wait_all(lambda router: find_version(router) == 3)


def test_lost_versions_that_are_written_again_in_order_are_not_in_force(fleet) -> None:
    """Guards against a configuration that reverts while operators write it again."""
    fleet.restore()
    fleet.store.put("config", "main", support.make_configuration(1, tenants=[]))
    fleet.check_stays(lambda router: find_version(router) == LOST_VERSION)


def test_copy_does_not_make_a_leaving_server_ready(fleet) -> None:
    """Guards against requests at a server that had said it leaves."""
    fleet.leave("gate-1")
    fleet.restore()
    fleet.check_stays(lambda router: "gate-1" not in get_usable(router))


def test_copy_does_not_bring_back_a_removed_server(fleet) -> None:
    """Guards against requests at a server that is gone, and at its reused address."""
    fleet.store.remove("servers", "gate-1")
    fleet.wait_all(lambda router: "gate-1" not in get_usable(router))
    fleet.restore()
    fleet.check_stays(lambda router: "gate-1" not in get_usable(router))


def test_server_that_writes_again_is_used_at_once(fleet) -> None:
    """Guards against a hold that outlasts the word of its server."""
    fleet.leave("gate-1")
    fleet.restore()
    fleet.wait_until_restored()
    fleet.cluster.register_server(fleet.servers["gate-1"], "gate", sequence=3)
    fleet.wait_all(lambda router: "gate-1" in get_usable(router))


def test_server_that_the_copy_lacks_keeps_its_requests_until_it_writes(fleet) -> None:
    """Guards against a working server that is dropped until it writes again."""
    added = fleet.cluster.add_server("gate-4")
    fleet.wait_all(lambda router: "gate-4" in get_usable(router))
    fleet.restore()
    fleet.wait_until_restored()
    assert all("gate-4" in get_usable(router) for router in fleet.routers)
    fleet.cluster.register_server(added, "gate")
    fleet.check_stays(lambda router: "gate-4" in get_usable(router))


def test_server_that_the_copy_lacks_and_that_is_silent_is_removed(fleet) -> None:
    """Guards against a server that is believed for ever because it was once listed."""
    fleet.cluster.add_server("gate-4")
    fleet.wait_all(lambda router: "gate-4" in get_usable(router))
    fleet.restore()
    fleet.wait_until_restored()
    support.wait_for(
        lambda: all("gate-4" not in get_usable(router) for router in fleet.routers),
        seconds=PROPAGATION_SECONDS + serverlists.HOLD_POLICY.missing_seconds,
    )


def test_lost_evacuation_stays_in_force(fleet) -> None:
    """Guards against requests in a data centre that operators have emptied."""
    fleet.store.put("evacuations", "hala-a", {})
    fleet.wait_all(lambda router: not get_usable(router))
    fleet.store.remove("evacuations", "hala-a")
    fleet.wait_all(lambda router: get_usable(router))
    fleet.make_copy()
    fleet.lose_writes()
    fleet.store.put("evacuations", "hala-a", {})
    fleet.wait_all(lambda router: not get_usable(router))
    fleet.restore_copy()
    fleet.check_stays(lambda router: not get_usable(router))


def test_restored_data_centre_stays_in_use(fleet) -> None:
    """Guards against capacity that idles because the copy shows an old evacuation."""
    fleet.store.put("evacuations", "hala-a", {})
    fleet.wait_all(lambda router: not get_usable(router))
    fleet.make_copy()
    fleet.store.remove("evacuations", "hala-a")
    fleet.wait_all(lambda router: get_usable(router))
    fleet.restore()
    fleet.check_stays(lambda router: get_usable(router))


def test_what_nobody_writes_again_comes_right(fleet, monkeypatch) -> None:
    """Guards against holds that never end."""
    for service in (serverlists, evacuations):
        short = msgspec.structs.replace(
            service.HOLD_POLICY, seconds=2.5, missing_seconds=2.5
        )
        monkeypatch.setattr(service, "HOLD_POLICY", short)
    for router in fleet.routers:
        router.stop()
    later = Fleet(fleet.cluster, first=3)
    later.leave("gate-1")
    later.store.remove("servers", "gate-2")
    later.store.put("evacuations", "hala-b", {})
    later.restore()
    later.wait_until_restored()
    later.check_stays(
        lambda router: get_usable(router).isdisjoint(("gate-1", "gate-2"))
    )
    support.wait_for(
        lambda: all(
            get_usable(router) == {"gate-1", "gate-2", "gate-3"}
            and not router.container.find("evacuations").report()["evacuated"]
            for router in later.routers
        )
    )


def test_second_restoration_within_seconds_brings_nothing_back(fleet) -> None:
    """Guards against knowledge that holds against the first copy alone."""
    fleet.leave("gate-1")
    fleet.restore()
    fleet.wait_until_restored()
    fleet.store.put("config", "main", support.make_configuration(5))
    fleet.wait_all(lambda router: find_version(router) == 5)
    fleet.leave("gate-2")
    fleet.restore_copy()
    fleet.wait_until_restored()
    fleet.check_stays(
        lambda router: (
            get_usable(router).isdisjoint(("gate-1", "gate-2"))
            and find_version(router) == 5
        )
    )


@pytest.mark.parametrize("name", ["edge-2", "edge-3"])
def test_router_that_starts_with_the_copy_follows_its_peers(
    fleet, logged, name
) -> None:
    """Guards against a restarted router that serves by the copy alone."""
    fleet.leave("gate-1")
    fleet.restore()
    fleet.wait_until_restored()
    if name == "edge-2":
        fleet.routers.pop().stop()
    logged.clear()
    peers = tuple(router.settings.peer_address for router in fleet.routers)
    started = support.Router(name, str(fleet.store.address), peers=peers)
    fleet.routers.append(started)
    try:
        support.wait_for(
            lambda: (
                get_usable(started) and started.container.find("catalogues").current()
            )
        )
        fleet.check_stays(
            lambda router: (
                "gate-1" not in get_usable(router)
                and find_version(router) == LOST_VERSION
            )
        )
    finally:
        started.stop()
    lines = support.find_lines(logged, events.Event.CONFIGURATION_IN_FORCE)
    assert {line["version"] for line in lines} == {LOST_VERSION}
