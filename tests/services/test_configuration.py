"""Tests for the spread of configuration generations through a fleet."""

from __future__ import annotations

import time

import pytest

from celeryspan import configuration, documents, kernel, publishing
from celeryspan.adapters import store as store_adapter
from celeryspan.decisions import watchers
from celeryspan.services import configuration as configuration_service
from standins import store
from tests.services import fleet as fleet_support, support

NAMES = ("a", "b", "c", "d", "e")


class Fleet:
    """Routers on loopback that share one stand-in of the object API."""

    def __init__(self) -> None:
        self.store = store.Store()
        self.store.start()
        self.client = store_adapter.StoreClient(str(self.store.address))
        self.containers: list[kernel.Kernel] = []

    def start(self, name: str) -> kernel.Kernel:
        peers = tuple(
            container.settings.peer_address for container in self.containers[:1]
        )
        container = support.start_kernel(
            ["vmlist"], name, peers=peers, store_address=str(self.store.address)
        )
        self.containers.append(container)
        return container

    def publish(self, weight: float = 1.0) -> int:
        published = fleet_support.make_configuration(
            {"server-1": 1}, ["desk"], weights={"desk": weight}
        )
        stored = publishing.read_stored(self.client)
        written = publishing.publish(
            self.client, stored, published.register, published.rules, "test"
        )
        return written.generation

    def generations(self) -> set[int]:
        values = [
            container.find("configuration").current() for container in self.containers
        ]
        return {value.generation if value else 0 for value in values}

    def stop(self) -> None:
        for container in self.containers:
            container.stop()
        self.store.stop()


@pytest.fixture
def fleet():
    created = Fleet()
    yield created
    created.stop()


def test_generation_reaches_all_routers_while_few_watch(fleet) -> None:
    fleet.publish()
    for name in NAMES:
        fleet.start(name)
    support.wait_until(lambda: fleet.generations() == {1})
    support.wait_until(
        lambda: (
            sum(
                container.find("configuration").report()["watches"]
                for container in fleet.containers
            )
            == watchers.WATCHERS
        )
    )
    fleet.publish(weight=2.0)
    support.wait_until(lambda: fleet.generations() == {2})


def test_new_router_gets_configuration_from_peer_while_store_is_down(fleet) -> None:
    """Guards against a replaced VM that serves nothing until a store outage ends.

    A restarted router has no configuration; with the store down it must get the
    current one from a peer.
    """
    fleet.publish()
    fleet.start("a")
    support.wait_until(lambda: fleet.generations() == {1})
    fleet.store.control(down=True)
    fleet.start("b")
    support.wait_until(lambda: fleet.generations() == {1})


def test_router_without_any_generation_serves_nothing(fleet) -> None:
    container = fleet.start("a")
    time.sleep(0.3)
    assert container.find("configuration").current() is None
    assert container.find("configuration").report()["generation"] == 0


def test_stale_store_reads_do_not_revert_the_generation(fleet) -> None:
    """Guards against a stale read that reverts an operator's change of a weight.

    The store answers a read with the value before the last, as a lagging replica does
    after a failover.
    """
    fleet.publish()
    fleet.publish()
    container = fleet.start("a")
    support.wait_until(lambda: fleet.generations() == {2})
    service: configuration_service.ConfigurationService = container.find(
        "configuration"
    )
    fleet.store.control(stale_reads=5)
    service._read_store(0.0)
    assert service.current().generation == 2
    old: configuration.Configuration = service.current().model_copy(
        update={"generation": 1}
    )
    assert not service.offer(old, documents.pack(old))
    assert service.current().generation == 2


def test_malformed_index_is_refused_and_current_one_stays(fleet) -> None:
    fleet.publish()
    fleet.start("a")
    support.wait_until(lambda: fleet.generations() == {1})
    version = fleet.client.get(documents.INDEX_KEY)[1]
    fleet.client.update(documents.INDEX_KEY, b"not an index", version)
    time.sleep(0.7)
    assert fleet.generations() == {1}


def test_server_reporting_itself_leaving_is_known_to_all(fleet) -> None:
    fleet.publish()
    containers = [fleet.start(name) for name in NAMES]
    support.wait_until(
        lambda: len(containers[0].find("membership").alive()) == len(NAMES)
    )
    containers[3].find("vmlist").mark_leaving("server-1")
    support.wait_until(
        lambda: all(
            container.find("vmlist").leaving() == {"server-1"}
            for container in containers
        )
    )


def test_vm_list_marks_a_server_as_leaving(fleet) -> None:
    fleet.publish()
    fleet.store.set_vms(
        [{"name": "server-1", "address": "127.0.0.1:1", "state": "leaving"}]
    )
    container = fleet.start("a")
    support.wait_until(lambda: container.find("vmlist").leaving() == {"server-1"})
