"""Entries that another writer left in the store, before routers as processes."""

from __future__ import annotations

import contextlib
import pathlib

import pytest

from celeryspan import events
from celeryspan.platform import names
from standins import sampleconfig
from tests.gateway import processes, support

RAW_TEXTS = {
    "huge-integer": "9" * 5_000,
    "huge-float": "1e999",
    "deep-list": "[" * 100_000 + "]" * 100_000,
    "deep-object": '{"a":' * 20_000 + "1" + "}" * 20_000,
    "not-a-number": "NaN",
}
ODD_VALUES = (*RAW_TEXTS, None, -1, 70_000, 2**63, "", [], {"a": 1}, "x" * 100_000)
ADDRESSES = ("10.0.0.1:70000", "10.0.0.1:-1", "10.0.0.1:0", "10.0.0.1:" + "9" * 5_000)
KINDS = (
    names.SERVER_KIND,
    names.EVACUATION_KIND,
    names.ROUTER_KIND,
    names.QUARANTINE_KIND,
    names.VERSION_RECORD_KIND,
    names.ORIGIN_LIST_KIND,
)


def put_odd_entries(cluster: support.Cluster, kind: str) -> None:
    """Store entries whose spec, or one field of it, is not what it should be."""
    store = cluster.store
    entry = sampleconfig.make_entry("gate", cluster.servers[0].address)
    if kind != names.SERVER_KIND:
        found = list(store._objects[kind].values())
        entry = dict(found[0]["spec"]) if found else {}
    for number, value in enumerate(ODD_VALUES):
        store.put(kind, f"odd-{number}", value)
        for field in entry:
            store.put(kind, f"odd-{number}-{field}", {**entry, field: value})
    if kind == names.SERVER_KIND:
        for number, address in enumerate(ADDRESSES):
            odd = {**entry, "address": address}
            store.put(kind, f"odd-address-{number}", odd)


@pytest.mark.parametrize("kind", KINDS)
def test_router_follows_its_lists_beside_odd_entries(
    cluster: support.Cluster, tmp_path: pathlib.Path, kind: str
) -> None:
    """Guards against one entry that ends all routers, or that they stop at."""
    cluster.store.raw_texts = RAW_TEXTS
    first = cluster.add_server("gate-1", "gate")
    with contextlib.ExitStack() as stack:

        def start_router(name: str) -> processes.ProcessRouter:
            return stack.enter_context(
                processes.run_router(
                    tmp_path,
                    str(cluster.store.address),
                    name=name,
                    follows_evacuations=True,
                )
            )

        routers = [start_router("edge-1"), start_router("edge-2")]
        put_odd_entries(cluster, kind)
        routers.append(start_router("edge-3"))
        second = cluster.add_server("gate-2", "gate")
        cluster.store.remove("servers", first.name)
        for router in routers:
            wait_until_used(router, second)
            assert router.is_running()


def wait_until_used(
    router: processes.ProcessRouter, server: support.platformserver.PlatformServer
) -> None:
    """Wait until a router sends requests to a server."""
    requests = iter(range(10_000))

    def is_used() -> bool:
        before = len(server.ran)
        with contextlib.closing(router.connect()) as connection:
            name = f"{router.caller_address}-{next(requests)}"
            support.send_request(connection, "/bookings/1", name)
        return len(server.ran) > before

    support.wait_for(is_used)


def test_large_entries_that_are_written_anew_take_no_memory(
    cluster: support.Cluster, logged: list
) -> None:
    """Guards against readers of the store that one entry takes over their memory."""
    cluster.add_server("gate-1", "gate")
    router = cluster.start_router()
    servers = router.container.find("servers")
    for number in range(5):
        spec = {"service": "gate", "filling": f"{number}" + "\udc80" * 1_000_000}
        cluster.store.put(names.SERVER_KIND, "large-1", spec)
    second = cluster.add_server("gate-2", "gate")
    support.wait_for(lambda: second.name in servers.usable())
    log = servers._follower.log
    assert log.objects["large-1"].spec is None
    ignored = support.find_lines(logged, events.Event.STORE_OBJECT_IGNORED)
    assert any("large-1" in line["error"] for line in ignored)
