"""Tests that one router at a time sends load orders to model engines."""

from __future__ import annotations

import pytest
import urllib3

from celeryspan import kernel, publishing, register, rules
from celeryspan.adapters import orders, store as store_adapter
from celeryspan.decisions import leases, loading, modelplacement
from celeryspan.services import drains, orders as orders_service, pressures
from standins import engine, store
from tests.services import support

SHORT_LEASE_SECONDS = {
    "LEASE_SECONDS": 1.0,
    "RENEW_SECONDS": 0.2,
    "CLOCK_MARGIN_SECONDS": 0.2,
    "ORDER_SECONDS": 0.1,
}


class Fleet:
    """Routers, two model engines and a stand-in for the object API."""

    def __init__(self) -> None:
        self.store = store.Store()
        self.engines = [
            engine.Engine(model="old", checks_fence=True),
            engine.Engine(model="old"),
        ]
        for stand_in in (self.store, *self.engines):
            stand_in.start()
        self.client = store_adapter.StoreClient(str(self.store.address))
        self.routers: list[kernel.Kernel] = []

    def publish(self, **models: str) -> None:
        servers = [
            {
                "name": f"server-{number}",
                "service": "planner-llm",
                "data_centre": "hala-a",
                "address": str(stand_in.address),
                "checks_fence": stand_in.checks_fence,
                "slots": 2,
            }
            for number, stand_in in enumerate(self.engines)
        ]
        services = [
            {"name": name.replace("_", "-"), "kind": "model", "model": model}
            for name, model in models.items()
        ]
        created = register.Register.model_validate(
            {
                "firm": "test",
                "data_centres": [{"name": "hala-a", "region": "here"}],
                "vms": [],
                "services": services,
                "servers": servers,
                "accounts": [{"name": "desk", "key_hashes": ["0" * 64]}],
            }
        )
        stored = publishing.read_stored(self.client)
        publishing.publish(self.client, stored, created, rules.Rules(), "test")

    def start(self, name: str) -> kernel.Kernel:
        peers = tuple(router.settings.peer_address for router in self.routers[:1])
        router = support.start_kernel(
            ["orders"], name, peers=peers, store_address=str(self.store.address)
        )
        self.routers.append(router)
        return router

    def models(self) -> list[str]:
        client = orders.OrderClient()
        return [client.read_state(stand_in.address).model for stand_in in self.engines]

    def stop(self) -> None:
        for router in self.routers:
            router.stop()
        for stand_in in (self.store, *self.engines):
            stand_in.stop()


@pytest.fixture
def fleet(monkeypatch):
    for name, seconds in SHORT_LEASE_SECONDS.items():
        monkeypatch.setattr(leases, name, seconds)
    monkeypatch.setattr(loading, "LOAD_INTERVAL_SECONDS", 0.1)
    monkeypatch.setattr(orders_service, "ROUND_SECONDS", 0.05)
    monkeypatch.setattr(drains, "IDLE_SECONDS", 0.1)
    monkeypatch.setattr(pressures, "REPORT_SECONDS", 0.2)
    for name in ("MIN_PRESSURE_SECONDS", "MOVE_INTERVAL_SECONDS"):
        monkeypatch.setattr(modelplacement, name, 0.5)
    created = Fleet()
    yield created
    created.stop()


def test_engines_are_brought_to_the_model_of_their_service(fleet) -> None:
    fleet.publish(planner_llm="new")
    fleet.start("a")
    support.wait_until(lambda: fleet.models() == ["new", "new"], 20.0)


def test_next_router_takes_over_with_a_higher_fence(fleet) -> None:
    """Model changes must go on without an operator when the lease holder stops."""
    fleet.publish(planner_llm="new")
    fleet.start("a")
    fleet.start("b")
    support.wait_until(lambda: fleet.models() == ["new", "new"], 20.0)
    holders = [
        router for router in fleet.routers if router.find("orders").report()["holds"]
    ]
    assert len(holders) == 1
    holders[0].stop()
    fleet.routers.remove(holders[0])
    fleet.publish(planner_llm="newer")
    support.wait_until(lambda: fleet.models() == ["newer", "newer"], 20.0)
    assert fleet.routers[0].find("orders").report()["fence"] == 2


def test_no_router_orders_while_the_store_is_down(fleet) -> None:
    """A lease cannot be renewed during an outage, so its holder must stop ordering."""
    fleet.publish(planner_llm="new")
    router = fleet.start("a")
    support.wait_until(lambda: fleet.models() == ["new", "new"], 20.0)
    fleet.store.control(down=True)
    support.wait_until(lambda: not router.find("orders").report()["holds"])
    fleet.store.control(down=False)
    support.wait_until(lambda: router.find("orders").report()["holds"], 20.0)


def test_server_moves_to_the_service_with_waiting_requests(fleet, monkeypatch) -> None:
    """Guards against requests that wait for one model while servers of another idle."""
    fleet.publish(planner_llm="old", lm_pool="other")
    router = fleet.start("a")
    service = router.find("pressures")
    monkeypatch.setattr(
        service,
        "sum_reports",
        lambda: {
            "planner-llm": modelplacement.Pressure(0, 0, 4),
            "lm-pool": modelplacement.Pressure(9, 0, 0),
        },
    )
    support.wait_until(lambda: "other" in fleet.models(), 20.0)
    found = router.find("configuration")
    support.wait_until(lambda: bool(found.current().placements))
    support.wait_until(lambda: not router.find("orders").report()["moving"])
    assert not router.find("vmlist").leaving()
    assert sorted(fleet.models()) == ["old", "other"]


def test_busy_engine_finishes_its_answer_before_it_loads(fleet) -> None:
    """Guards against truncated streams when a model is replaced.

    An engine that is ordered to load while it generates cuts its answers.
    """
    busy = fleet.engines[0]
    busy.batch.token_seconds = 0.05
    body = {"request": "r", "model": "old", "messages": [], "max_tokens": 60}
    answer = urllib3.request(
        "POST", f"http://{busy.address}/generate", json=body, preload_content=False
    )
    fleet.publish(planner_llm="new")
    router = fleet.start("a")
    support.wait_until(lambda: "server-0" in router.find("vmlist").leaving(), 20.0)
    assert b'"done": true' in answer.read()
    support.wait_until(lambda: fleet.models() == ["new", "new"], 20.0)
    support.wait_until(lambda: not router.find("vmlist").leaving())
    runs = urllib3.request("GET", f"http://{busy.address}/_journal").json()
    assert [run["state"] for run in runs["runs"]] == ["done"]
    assert len(runs["orders"]) == 1
