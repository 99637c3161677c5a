"""The configuration in force and the list of servers, during faults of the store."""

from __future__ import annotations

import time

from celeryspan import events, ids, storedobjects
from celeryspan.decisions import relays
from celeryspan.gateway import followers
from tests.gateway import support


def find_version(router: support.Router) -> int:
    """Return the configuration version in force on a router."""
    return router.container.find("catalogues").current().version


def test_configuration_change_in_the_store_is_applied(cluster) -> None:
    cluster.add_server("gate-1")
    router = cluster.start_router()
    configuration = support.make_configuration(2)
    del configuration["routes"][1]
    cluster.store.put("config", "main", configuration)
    support.wait_for(lambda: find_version(router) == 2)
    assert router.call("/bookings/1").status == 404


def test_removed_key_is_rejected_on_open_connections(cluster) -> None:
    cluster.add_server("gate-1")
    router = cluster.start_router()
    connection = router.connect()
    assert support.send_request(connection, "/bookings/1").status == 200
    cluster.store.put("config", "main", support.make_configuration(2, tenants=[]))
    support.wait_for(lambda: find_version(router) == 2)
    assert support.send_request(connection, "/bookings/1", "r2").status == 401


def test_older_revision_is_ignored(cluster) -> None:
    """A peer or a stale read gives a router an older configuration.

    If it were applied, the router would serve a removed route again.
    """
    router = cluster.start_router()
    service = router.container.find("catalogues")
    newest = service.current()
    old = storedobjects.StoredObject(
        "main", newest.revision - 1, support.make_configuration(99), None, False
    )
    service.replace(storedobjects.Listing((old,), 1))
    assert service.current() is newest


def test_malformed_configuration_is_ignored_until_a_valid_one_follows(cluster) -> None:
    router = cluster.start_router()
    cluster.store.put("config", "main", {"version": 2, "routes": [{}]})
    cluster.store.put("config", "main", support.make_configuration(3))
    support.wait_for(lambda: find_version(router) == 3)


def test_objects_are_listed_again_after_the_store_drops_its_history(cluster) -> None:
    """The store drops the part of its history in which a server was removed.

    A router that only watched for later changes would never remove that server.
    """
    cluster.add_server("gate-1")
    cluster.add_server("gate-2")
    router = cluster.start_router()
    cluster.store.remove("servers", "gate-1")
    cluster.store.compact()
    servers = router.container.find("servers")
    support.wait_for(lambda: set(servers.usable()) == {ids.ServerId("gate-2")})


def test_router_without_access_to_the_store_is_updated_by_its_peers(cluster) -> None:
    """A router has no access to the store while the operator removes a route.

    Without its peers it would serve the route until it reaches the store again.
    """
    cluster.add_server("gate-1")
    first = cluster.start_router("edge-1")
    second = cluster.start_router("edge-2")
    support.wait_for(lambda: len(second.container.find("membership").alive()) == 2)
    second.container.find("catalogues")._follower.stop()
    cluster.store.put("config", "main", support.make_configuration(2))
    support.wait_for(lambda: find_version(first) == 2)
    support.wait_for(lambda: find_version(second) == 2)


def test_leaving_server_gets_no_new_requests(cluster) -> None:
    leaving = cluster.add_server("gate-1")
    staying = cluster.add_server("gate-2")
    router = cluster.start_router()
    cluster.register_server(leaving, "gate", state="draining")
    servers = router.container.find("servers")
    support.wait_for(lambda: set(servers.usable()) == {ids.ServerId("gate-2")})
    for number in range(4):
        assert router.call("/bookings/1", f"r{number}").status == 200
    assert leaving.ran == []
    assert len(staying.ran) == 4


def test_two_routers_read_the_store_for_the_fleet(cluster) -> None:
    """Each change in the store ends all watches.

    If every router of a large fleet watched the store, the number of calls would grow
    with routers times changes until the store refuses them.
    """
    leaving = cluster.add_server("gate-1")
    cluster.add_server("gate-2")
    routers = [cluster.start_router(f"edge-{number}") for number in range(4)]
    all_followers = [router.container.find("servers")._follower for router in routers]

    def is_idle(follower: followers.Follower) -> bool:
        """Whether a follower gets fresh reports, and its own last watch is over."""
        now = time.monotonic()
        is_watch_over = now - follower._last_read_at > relays.WATCH_SECONDS + 0.5
        return is_watch_over and not follower.relays.must_read(now)

    support.wait_for(lambda: sum(map(is_idle, all_followers)) == 2)
    others = [each for each in all_followers if not each.relays.duties.is_reader]
    before = [follower._last_read_at for follower in others]
    cluster.register_server(leaving, "gate", state="draining")
    cluster.store.put("config", "main", support.make_configuration(2))
    staying = {ids.ServerId("gate-2")}
    lists = [router.container.find("servers") for router in routers]
    support.wait_for(lambda: all(set(each.usable()) == staying for each in lists))
    support.wait_for(lambda: {find_version(router) for router in routers} == {2})
    assert [follower._last_read_at for follower in others] == before


def test_configuration_of_the_store_is_used_if_no_peer_answers(cluster) -> None:
    """Guards against a router that waits for ever for a peer that is gone."""
    router = cluster.start_router(peers=("127.0.0.1:1",))
    assert find_version(router) == 1


def test_configuration_with_an_invalid_version_is_refused(cluster, logged) -> None:
    """Guards against a version that fits no message, so that none can be sent."""
    router = cluster.start_router()
    cluster.store.put("config", "main", support.make_configuration(2**64))
    support.wait_for(
        lambda: support.find_lines(logged, events.Event.CONFIGURATION_REFUSED)
    )
    assert find_version(router) == 1
