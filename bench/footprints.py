"""Measures the memory of queued requests, accounts, servers, members and metrics."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable

from bench import costs, fits
from celeryspan import dispatch, ids, metrics
from celeryspan.decisions import grants, limits, queueing, routing, sharing

SIZES = (300, 1000, 3000)


def measure() -> list[fits.Slope]:
    """Return the slopes of memory usage."""
    return [
        measure_memory("queued request without its body", fill_queues),
        measure_memory("client account in counters", fill_counters),
        measure_memory("server in ledger and window", fill_ledger),
        measure_memory("server in the configuration", fill_servers),
        measure_memory("member", costs.make_membership),
        measure_memory("block of a cached prefix", fill_cache),
        measure_memory(
            "pair of service and account in metrics", fill_metrics, (50, 150, 400)
        ),
    ]


def measure_memory(
    name: str, make: Callable[[int], object], sizes: tuple[int, ...] = SIZES
) -> fits.Slope:
    """Return the slope of the bytes that a structure retains, by its size."""
    values = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        retained = make(size)
        gc.collect()
        values.append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del retained
    return fits.fit(name, "bytes", sizes, values)


def fill_queues(size: int) -> queueing.Queues:
    """Return queues that hold waiting requests."""
    queues = queueing.Queues()
    for index in range(size):
        request = ids.RequestId(f"request-{index}")
        account = costs.make_account_id(index % costs.ACCOUNTS)
        work = dispatch.Work(request, costs.SERVICE, account, 30.0 + index)
        queues.add(work, 1000, 250.0, float(index))
    return queues


def fill_counters(size: int) -> sharing.Counters:
    """Return one counter per account, all received from one other router."""
    counters = sharing.Counters(ids.RouterId("b"), costs.INCARNATION, lambda _: 1.0)
    for counter in costs.make_counters(size):
        counters.merge(counter)
    return counters


def fill_ledger(size: int) -> tuple[grants.Ledger, limits.Windows]:
    """Return the ledger and the windows of idle servers."""
    counters = sharing.Counters(costs.OWN_ROUTER, costs.INCARNATION, lambda _: 1.0)
    ledger = grants.Ledger(costs.OWN_ROUTER, costs.INCARNATION, counters)
    windows = limits.Windows()
    for index in range(size):
        server = ids.ServerId(f"server-{index:05}")
        ledger.add_server(server, costs.SERVICE, costs.SLOTS_PER_SERVER, 0.0)
        windows.find(server, costs.SLOTS_PER_SERVER, 0.0)
    return ledger, windows


def fill_servers(size: int) -> object:
    """Return a configuration and its server index."""
    config = costs.make_configuration(size)
    return config, config.servers


def fill_cache(size: int) -> routing.CacheMap:
    """Return a cache map of blocks that are each cached at one server."""
    cache = routing.CacheMap()
    for block in range(size):
        cache.record_sent(
            ids.ServerId(f"server-{block % 8}"), (block * 7919 << 32,), 0.0
        )
    return cache


def fill_metrics(size: int) -> metrics.Metrics:
    """Return metrics with all series of each service and account pair."""
    service = metrics.Metrics()
    for index in range(size):
        pair = (costs.SERVICE, costs.make_account_id(index))
        service.observe_wait(*pair, 0.1)
        service.observe_first_token(*pair, 0.1)
        service.observe_token_gap(*pair, 0.01)
        service.observe_request(*pair, costs.states.Outcome.RAN, 1.0, 100.0)
        service.set_backlog(*pair, 1)
    return service
