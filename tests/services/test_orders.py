"""Model engines are ordered about by one router at a time."""

from __future__ import annotations

import pytest
import urllib3

from celeryspan import kernel, publishing, register, rules
from celeryspan.adapters import orders, store as store_adapter
from celeryspan.decisions import leases, loading, modelplacement
from celeryspan.services import drains, orders as orders_service, pressures
from standins import engine, store
from tests.services import support

FAST = {
    "LEASE_SECONDS": 1.0,
    "RENEW_SECONDS": 0.2,
    "CLOCK_MARGIN_SECONDS": 0.2,
    "ORDER_SECONDS": 0.1,
}


class Fleet:
    """Routers, two model engines and a stand-in of the object API."""

    def __init__(self) -> None:
        self.store = store.Store()
        self.engines = [
            engine.Engine(model="old", checks_fence=True),
            engine.Engine(model="old"),
        ]
        for standin in (self.store, *self.engines):
            standin.start()
        self.client = store_adapter.StoreClient(str(self.store.address))
        self.boxes: list[kernel.Kernel] = []

    def publish(self, **models: str) -> None:
        servers = [
            {
                "name": f"server-{number}",
                "service": "planner-llm",
                "data_centre": "hala-a",
                "address": str(standin.address),
                "checks_fence": standin.checks_fence,
                "slots": 2,
            }
            for number, standin in enumerate(self.engines)
        ]
        services = [
            {"name": name.replace("_", "-"), "kind": "model", "model": model}
            for name, model in models.items()
        ]
        made = register.Register.model_validate(
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
        publishing.publish(self.client, stored, made, rules.Rules(), "test")

    def start(self, name: str) -> kernel.Kernel:
        peers = tuple(box.settings.peer_address for box in self.boxes[:1])
        box = support.start_kernel(
            ["orders"], name, peers=peers, store_address=str(self.store.address)
        )
        self.boxes.append(box)
        return box

    def models(self) -> list[str]:
        client = orders.OrderClient()
        return [client.read_state(standin.address).model for standin in self.engines]

    def stop(self) -> None:
        for box in self.boxes:
            box.stop()
        for standin in (self.store, *self.engines):
            standin.stop()


@pytest.fixture
def fleet(monkeypatch):
    for name, seconds in FAST.items():
        monkeypatch.setattr(leases, name, seconds)
    monkeypatch.setattr(loading, "LOAD_INTERVAL_SECONDS", 0.1)
    monkeypatch.setattr(orders_service, "ROUND_SECONDS", 0.05)
    monkeypatch.setattr(drains, "QUIET_SECONDS", 0.1)
    monkeypatch.setattr(pressures, "REPORT_SECONDS", 0.2)
    for name in ("MIN_PRESSURE_SECONDS", "MOVE_INTERVAL_SECONDS"):
        monkeypatch.setattr(modelplacement, name, 0.5)
    made = Fleet()
    yield made
    made.stop()


def test_engines_are_brought_to_the_model_of_their_service(fleet) -> None:
    fleet.publish(planner_llm="new")
    fleet.start("a")
    support.wait_until(lambda: fleet.models() == ["new", "new"], 20.0)


def test_next_router_takes_over_with_a_higher_fence(fleet) -> None:
    """A router with the duty is replaced; model changes go on without an operator."""
    fleet.publish(planner_llm="new")
    fleet.start("a")
    fleet.start("b")
    support.wait_until(lambda: fleet.models() == ["new", "new"], 20.0)
    holders = [box for box in fleet.boxes if box.find("orders").report()["holds"]]
    assert len(holders) == 1
    holders[0].stop()
    fleet.boxes.remove(holders[0])
    fleet.publish(planner_llm="newer")
    support.wait_until(lambda: fleet.models() == ["newer", "newer"], 20.0)
    assert fleet.boxes[0].find("orders").report()["fence"] == 2


def test_nobody_orders_while_the_store_is_down(fleet) -> None:
    """In a long outage no lease can be renewed; two routers must not both order."""
    fleet.publish(planner_llm="new")
    box = fleet.start("a")
    support.wait_until(lambda: fleet.models() == ["new", "new"], 20.0)
    fleet.store.control(down=True)
    support.wait_until(lambda: not box.find("orders").report()["holds"])
    fleet.store.control(down=False)
    support.wait_until(lambda: box.find("orders").report()["holds"], 20.0)


def test_server_moves_to_the_service_whose_work_waits(fleet, monkeypatch) -> None:
    """Requests for a second model wait for minutes while the first one is idle."""
    fleet.publish(planner_llm="old", lm_pool="other")
    box = fleet.start("a")
    service = box.find("pressures")
    monkeypatch.setattr(
        service,
        "sum_up",
        lambda: {
            "planner-llm": modelplacement.Pressure(0, 0, 4),
            "lm-pool": modelplacement.Pressure(9, 0, 0),
        },
    )
    support.wait_until(lambda: "other" in fleet.models(), 20.0)
    found = box.find("configuration")
    support.wait_until(lambda: bool(found.current().placements))
    support.wait_until(lambda: not box.find("orders").report()["moving"])
    assert not box.find("vmlist").leaving()
    assert sorted(fleet.models()) == ["old", "other"]


def test_busy_engine_finishes_its_answer_before_it_loads(fleet) -> None:
    """An operator changes the model's version; a stream in progress ends in the middle.

    The engine was ordered to load while it generated.
    """
    busy = fleet.engines[0]
    busy.batch.token_seconds = 0.05
    body = {"request": "r", "model": "old", "messages": [], "max_tokens": 60}
    answer = urllib3.request(
        "POST", f"http://{busy.address}/generate", json=body, preload_content=False
    )
    fleet.publish(planner_llm="new")
    box = fleet.start("a")
    support.wait_until(lambda: "server-0" in box.find("vmlist").leaving(), 20.0)
    assert b'"done": true' in answer.read()
    support.wait_until(lambda: fleet.models() == ["new", "new"], 20.0)
    support.wait_until(lambda: not box.find("vmlist").leaving())
    runs = urllib3.request("GET", f"http://{busy.address}/_journal").json()
    assert [run["state"] for run in runs["runs"]] == ["done"]
    assert len(runs["orders"]) == 1
