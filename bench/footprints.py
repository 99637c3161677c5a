"""Bytes of memory for each queued request, account, server, member and series."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable

from bench import costs, fits
from celeryspan import dispatch, ids, metrics
from celeryspan.decisions import grants, limits, queueing, routing, sharing

SIZES = (300, 1000, 3000)


def measure() -> list[fits.Slope]:
    """Return the slopes of memory."""
    return [
        weigh("queued request without its body", fill_queues),
        weigh("client account in counters", fill_counters),
        weigh("server in ledger and window", fill_ledger),
        weigh("server in the configuration", fill_servers),
        weigh("member", costs.make_membership),
        weigh("block of a cached prefix", fill_cache),
        weigh("pair of service and account in metrics", fill_metrics, (50, 150, 400)),
    ]


def weigh(
    name: str, make: Callable[[int], object], sizes: tuple[int, ...] = SIZES
) -> fits.Slope:
    """Return the bytes that a structure keeps, by its size."""
    values = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        kept = make(size)
        gc.collect()
        values.append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del kept
    return fits.fit(name, "bytes", sizes, values)


def fill_queues(size: int) -> queueing.Queues:
    """Return queues with requests waiting."""
    queues = queueing.Queues()
    for index in range(size):
        request = ids.RequestId(f"request-{index}")
        account = costs.name_account(index % costs.ACCOUNTS)
        work = dispatch.Work(request, costs.SERVICE, account, 30.0 + index)
        queues.add(work, 1000, 250.0, float(index))
    return queues


def fill_counters(size: int) -> sharing.Counters:
    """Return counters of accounts, one each, as heard from one other router."""
    counters = sharing.Counters(ids.RouterId("b"), costs.INCARNATION, lambda _: 1.0)
    for counter in costs.make_counters(size):
        counters.merge(counter)
    return counters


def fill_ledger(size: int) -> tuple[grants.Ledger, limits.Windows]:
    """Return the ledger and the windows of servers without requests."""
    counters = sharing.Counters(costs.OWN, costs.INCARNATION, lambda _: 1.0)
    ledger = grants.Ledger(costs.OWN, costs.INCARNATION, counters)
    windows = limits.Windows()
    for index in range(size):
        server = ids.ServerId(f"server-{index:05}")
        ledger.add_server(server, costs.SERVICE, costs.WINDOW, 0.0)
        windows.find(server, costs.WINDOW, 0.0)
    return ledger, windows


def fill_servers(size: int) -> object:
    """Return a configuration with its indexes."""
    made = costs.make_configuration(size)
    return made, made.servers


def fill_cache(size: int) -> routing.CacheMap:
    """Return a map of blocks that one server each holds."""
    cache = routing.CacheMap()
    for block in range(size):
        cache.record_sent(
            ids.ServerId(f"server-{block % 8}"), (block * 7919 << 32,), 0.0
        )
    return cache


def fill_metrics(size: int) -> metrics.Metrics:
    """Return metrics in which every pair has all its series."""
    service = metrics.Metrics()
    for index in range(size):
        pair = (costs.SERVICE, costs.name_account(index))
        service.observe_wait(*pair, 0.1)
        service.observe_first_token(*pair, 0.1)
        service.observe_token_gap(*pair, 0.01)
        service.observe_request(*pair, costs.states.Outcome.RAN, 1.0, 100.0)
        service.set_backlog(*pair, 1)
    return service
