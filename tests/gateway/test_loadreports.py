"""Load reports of servers reach the home of their pool."""

from __future__ import annotations

import pytest

from celeryspan import catalog, events, ids
from celeryspan.gateway import loadreports
from celeryspan.platform import names
from tests.gateway import support


def find_paces(router: support.Router) -> dict[str, float]:
    """Return the paces that the pools of a router report."""
    pools = router.container.find("poolhomes").report().values()
    return {name: pace for pool in pools for name, pace in pool["paces"].items()}


@pytest.mark.parametrize("behaviour", ["serve", "full", "error"])
def test_report_reaches_the_home_whatever_the_answer(cluster, behaviour: str) -> None:
    """Guards against reports of rejected or failed requests that are lost."""
    server = cluster.add_server("gate-1")
    routers = [cluster.start_router(f"edge-{number}") for number in (1, 2)]
    server.load = "1,0,6,400"
    server.script.extend([behaviour] * 2)
    for number, router in enumerate(routers):
        router.call(f"/bookings/{number}", f"r{number}")
    support.wait_for(
        lambda: any(
            1.5 < find_paces(each).get("gate-1", 1.0) <= 4.0 for each in routers
        )
    )
    home = next(each for each in routers if find_paces(each))
    registry = home.container.find("metrics").registry
    labels = {"server": "gate-1"}
    support.wait_for(
        lambda: registry.get_sample_value("celeryspan_server_pace", labels) is not None
    )


def test_report_of_an_engine_reaches_the_home_with_its_first_event(cluster) -> None:
    """Guards against a slow engine that gets prompts until its streams have ended."""
    engine = cluster.add_server("gpu-1", "planner")
    engine.load = "1,0,8,300"
    engine.event_seconds = 0.2
    router = cluster.start_router()
    found = []
    begin = router.container.find("places").begin
    router.container.find("places").begin = lambda *args: (
        found.append(args[-1]),
        begin(*args),
    )
    headers = {
        "Celeryspan-Token-Count": "900,60",
        "Celeryspan-Prefix-Hash": "aa:500,bb:300,cc:100",
    }
    assert router.call("/drafts/1", headers=headers).status == 200
    (load,) = found
    assert (load.running, load.slots, load.pace) == (1, 8, 3.0)
    assert 0.0 <= load.age < 2.0
    assert find_paces(router)["gpu-1"] > 1.0


def test_invalid_report_is_logged_once_and_the_request_served(cluster, logged) -> None:
    """Guards against requests that fail, or floods of lines, for a wrong header."""
    server = cluster.add_server("gate-1")
    server.load = "1,0,0,fast"
    router = cluster.start_router()
    for number in range(3):
        assert router.call(f"/bookings/{number}", f"r{number}").status == 200
    (line,) = support.find_lines(logged, events.Event.SERVER_LOAD_INVALID)
    assert (line["server"], line["found"]) == ("gate-1", "1,0,0,fast")
    assert find_paces(router) == {}


def test_invalid_report_of_a_restarted_server_is_logged_again(logged) -> None:
    """Guards against a release that reports wrong values and goes unnoticed."""
    loads = loadreports.LoadReports()
    for started_ms in (1_000, 1_000, 2_000, 2_000):
        entry = catalog.ServerEntry(
            server=ids.ServerId("gate-1"),
            service=ids.ServiceId("gate"),
            address=ids.Address("10.0.0.1", 80),
            data_centre=ids.DataCentreId("hala-a"),
            slots=6,
            is_leaving=False,
            revision=started_ms,
            started_ms=started_ms,
        )
        invalid = {names.LOAD: "1,0,0,100"}
        assert loads.read(entry, invalid.get, ids.RequestId("r1")) is None
    assert len(support.find_lines(logged, events.Event.SERVER_LOAD_INVALID)) == 2
