"""The number of requests that a cold server gets from all routers together."""

from __future__ import annotations

import threading

from standins import platformserver
from tests.gateway import support

COLD_RATE, COLD_OVERRUN, COLD_SLACK = 4.0, 1.5, 5.0
COLD_SENDS_MAX = COLD_RATE * COLD_OVERRUN + COLD_SLACK
COLD_MS = 4_000
REQUESTS = 60


def configure_cold_rate(cluster: support.Cluster) -> None:
    """Write a configuration whose plain service has a bound for cold servers."""
    configuration = support.make_configuration()
    plain = configuration["services"][0]
    plain.update(cold_start_s=COLD_MS / 1000, cold_per_s=COLD_RATE)
    cluster.store.put("config", "main", configuration)


def send_at_once(routers: list[support.Router]) -> None:
    """Send many requests at once, to all routers in turn."""
    threads = [
        threading.Thread(
            target=routers[number % len(routers)].call,
            args=(f"/calls/{number}", f"r{number}"),
        )
        for number in range(REQUESTS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def count_most_received(server: platformserver.PlatformServer) -> int:
    """Return the largest number of requests received within one second."""
    times = sorted(request.at for request in server.received)
    return max(
        (sum(at <= each < at + 1.0 for each in times) for at in times), default=0
    )


def test_cold_server_gets_at_most_its_bound_from_all_routers(cluster) -> None:
    """A server starts under load and crashes if all routers use it at once."""
    configure_cold_rate(cluster)
    warm = cluster.add_server("gate-1")
    routers = [cluster.start_router("edge-1"), cluster.start_router("edge-2")]
    cold = cluster.add_server("gate-2", cold_left_ms=COLD_MS)
    cold.cold_requests_max = COLD_SENDS_MAX
    for router in routers:
        support.wait_for(
            lambda found=router: "gate-2" in found.container.find("servers").usable()
        )
    send_at_once(routers)
    assert warm.received
    assert not cold.crashed.is_set()
    assert count_most_received(cold) <= COLD_SENDS_MAX


def test_cold_server_is_used_by_an_established_home(cluster) -> None:
    """All servers of a service restart at once; their capacity must not idle."""
    configure_cold_rate(cluster)
    cold = cluster.add_server("gate-1", cold_left_ms=60_000)
    cold.cold_requests_max = COLD_SENDS_MAX
    router = cluster.start_router()
    homes = router.container.find("poolhomes")
    router.call("/calls/first", "first")
    support.wait_for(
        lambda: all(pool["established"] for pool in homes.report().values())
    )
    send_at_once([router])
    assert not cold.crashed.is_set()
    assert len(cold.received) >= COLD_SENDS_MAX // 2


def test_cold_server_without_a_known_rate_is_used_at_once(cluster) -> None:
    """A service has no bound for cold servers, and its servers restart."""
    server = cluster.add_server("gate-1", cold_left_ms=COLD_MS)
    router = cluster.start_router()
    assert router.call("/calls/1").status == 200
    assert len(server.received) == 1


def test_server_that_becomes_cold_again_gets_at_most_its_bound(cluster) -> None:
    """A warm server in use reports that it is cold again."""
    configure_cold_rate(cluster)
    server = cluster.add_server("gate-1")
    router = cluster.start_router()
    send_at_once([router])
    cluster.register_server(server, "gate", cold_left_ms=COLD_MS)
    support.wait_for(
        lambda: (
            router.container.find("servers").usable()["gate-1"].revision
            == cluster.store.find("servers", "gate-1")["metadata"]["revision"]
        )
    )
    server.received.clear()
    send_at_once([router])
    assert count_most_received(server) <= COLD_SENDS_MAX


def test_servers_of_a_restored_data_centre_count_as_cold(cluster) -> None:
    """The servers of an evacuated data centre became cold before it is restored.

    Their entries may say so only at their next heartbeat.
    """
    configure_cold_rate(cluster)
    server = cluster.add_server("gate-1", zone="hala-a")
    cluster.add_server("gate-2", zone="hala-b")
    router = cluster.start_router()
    servers = router.container.find("servers")
    cluster.store.put("evacuations", "hala-a", {})
    support.wait_for(lambda: "gate-1" not in servers.usable())
    cluster.store.remove("evacuations", "hala-a")
    support.wait_for(lambda: "gate-1" in servers.usable())
    send_at_once([router])
    assert count_most_received(server) <= COLD_SENDS_MAX
