"""The bytes of request bodies that a router holds at once."""

from __future__ import annotations

import concurrent.futures
import json

from tests.gateway import support

LARGE = b"x" * 40_000
PATIENT = {"Celeryspan-Deadline-Ms": "10000"}


def test_large_bodies_beyond_the_budget_are_refused_and_small_ones_served(
    cluster: support.Cluster,
) -> None:
    """Guards against a few callers whose bodies take a router over its memory."""
    (server,) = [cluster.add_server("gate-1", "gate")]
    server.script.append("silent")
    router = cluster.start_router(memory_megabytes=0.3)
    report = router.container.find("front").report
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        held = pool.submit(
            router.call, "/bookings/1", "held", body=LARGE, headers=PATIENT
        )
        support.wait_for(lambda: server.ran)
        assert report()["body_bytes"] == len(LARGE)
        refused = router.call("/bookings/1", "refused", body=LARGE)
        assert refused.status == 503
        assert refused.getheader("Retry-After")
        assert json.loads(refused.text)["error"]["code"] == "bodies-full"
        assert router.call("/bookings/1", "small", body=b"x" * 1_000).status == 200
        server.stop()
        held.result()
    support.wait_for(lambda: report()["body_bytes"] == 0)
    assert server.ran == ["held", "small"]


def test_chunked_body_counts_with_its_size_once_it_is_read(
    cluster: support.Cluster,
) -> None:
    """Guards against small bodies without a length that use up the budget."""
    server = cluster.add_server("gate-1", "gate")
    server.script.append("silent")
    router = cluster.start_router(memory_megabytes=30)
    report = router.container.find("front").report
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        held = pool.submit(
            router.call, "/bookings/1", "held", body=iter([b"a", b"b"]), headers=PATIENT
        )
        support.wait_for(lambda: server.ran)
        assert report()["body_bytes"] == 0
        server.stop()
        held.result()
