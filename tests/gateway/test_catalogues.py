"""The configuration in force: newer ones win, whatever the store does."""

from __future__ import annotations

import time

from celeryspan import ids, storedobjects
from celeryspan.decisions import relays
from celeryspan.gateway import followers
from tests.gateway import support


def find_version(router: support.Router) -> int:
    """Return the version in force on a router."""
    return router.box.find("catalogues").current().version


def test_change_is_in_force_without_a_word_to_the_router(place) -> None:
    place.add_server("gate-1")
    router = place.start_router()
    configuration = support.make_configuration(2)
    del configuration["routes"][1]
    place.store.put("config", "main", configuration)
    support.wait_for(lambda: find_version(router) == 2)
    assert router.call("/bookings/1").status == 404


def test_key_that_is_taken_away_opens_nothing(place) -> None:
    place.add_server("gate-1")
    router = place.start_router()
    connection = router.connect()
    assert support.ask(connection, "/bookings/1").status == 200
    place.store.put("config", "main", support.make_configuration(2, tenants=[]))
    support.wait_for(lambda: find_version(router) == 2)
    assert support.ask(connection, "/bookings/1", "r2").status == 401


def test_older_revision_is_ignored(place) -> None:
    """A router was cut off, and a peer or a stale read shows it an older version.

    A route that was dropped would be served again.
    """
    router = place.start_router()
    service = router.box.find("catalogues")
    newest = service.current()
    old = storedobjects.StoredObject(
        "main", newest.revision - 1, support.make_configuration(99), None, False
    )
    service.replace(storedobjects.Listing((old,), 1))
    assert service.current() is newest


def test_malformed_configuration_leaves_the_one_before_in_force(place) -> None:
    router = place.start_router()
    place.store.put("config", "main", {"version": 2, "routes": [{}]})
    place.store.put("config", "main", support.make_configuration(3))
    support.wait_for(lambda: find_version(router) == 3)


def test_history_that_is_gone_is_read_anew(place) -> None:
    """The store drops its history, and a server leaves in the gap.

    A router that only waits for further changes would send to it for good.
    """
    place.add_server("gate-1")
    place.add_server("gate-2")
    router = place.start_router()
    place.store.remove("servers", "gate-1")
    place.store.compact()
    servers = router.box.find("servers")
    support.wait_for(lambda: set(servers.usable()) == {ids.ServerId("gate-2")})


def test_router_cut_off_from_the_store_follows_its_peers(place) -> None:
    """One router's way to the store is cut while the operator takes a route away.

    It would go on serving the route until the way is back.
    """
    place.add_server("gate-1")
    first = place.start_router("edge-1")
    second = place.start_router("edge-2")
    support.wait_for(lambda: len(second.box.find("membership").alive()) == 2)
    second.box.find("catalogues")._follower.stop()
    place.store.put("config", "main", support.make_configuration(2))
    support.wait_for(lambda: find_version(first) == 2)
    support.wait_for(lambda: find_version(second) == 2)


def test_leaving_server_gets_no_new_work(place) -> None:
    leaving = place.add_server("gate-1")
    staying = place.add_server("gate-2")
    router = place.start_router()
    place.enter(leaving, "gate", state="draining")
    servers = router.box.find("servers")
    support.wait_for(lambda: set(servers.usable()) == {ids.ServerId("gate-2")})
    for number in range(4):
        assert router.call("/bookings/1", f"r{number}").status == 200
    assert leaving.ran == []
    assert len(staying.ran) == 4


def test_few_routers_read_the_store_for_all(place) -> None:
    """Each router of a large fleet watches the store, and each change ends all watches.

    The store's calls grow with routers times changes until it refuses them.
    """
    leaving = place.add_server("gate-1")
    place.add_server("gate-2")
    routers = [place.start_router(f"edge-{number}") for number in range(4)]
    found = [router.box.find("servers")._follower for router in routers]

    def rests(follower: followers.Follower) -> bool:
        """Whether a follower hears others, and its own last watch is over."""
        now = time.monotonic()
        watch_over = now - follower._last_read_at > relays.WATCH_SECONDS + 0.5
        return watch_over and not follower.relays.must_read(now)

    support.wait_for(lambda: sum(map(rests, found)) == 2)
    others = [each for each in found if not each.relays.duties.is_reader]
    before = [follower._last_read_at for follower in others]
    place.enter(leaving, "gate", state="draining")
    place.store.put("config", "main", support.make_configuration(2))
    staying = {ids.ServerId("gate-2")}
    lists = [router.box.find("servers") for router in routers]
    support.wait_for(lambda: all(set(each.usable()) == staying for each in lists))
    support.wait_for(lambda: {find_version(router) for router in routers} == {2})
    assert [follower._last_read_at for follower in others] == before
