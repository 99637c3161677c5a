"""Tests of the log lines in which a home records its decisions."""

from __future__ import annotations

import json
import random

import pytest

from bench.engines import loads
from celeryspan import catalog, events, ids, states
from celeryspan.decisions import pools
from celeryspan.gateway import poolhomes

ENGINE = catalog.Engine(slots=1, memory_tokens=100_000, stride=6)


def make_pool() -> pools.Pool:
    """Return a pool with one slot."""
    pool = pools.Pool(ids.PoolId("engines#1#0"), random.Random(1))
    entry = catalog.ServerEntry(
        server=ids.ServerId("engine"),
        service=ids.ServiceId("engines"),
        address=ids.Address("127.0.0.1", 1),
        data_centre=ids.DataCentreId("here"),
        slots=1,
        is_leaving=False,
        revision=1,
    )
    pool.set_servers([entry], ENGINE)
    return pool


def make_arrivals(count: int, **values: object) -> list[loads.Arrival]:
    """Return requests of one account."""
    load = loads.Load(
        "notes", 100.0, 0.4, 3.0, 0.3, (30, 20), 5, 60, 0.1, 6, ("short",), **values
    )
    return loads.generate_arrivals([load], 10.0, random.Random(1))[:count]


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, object]]:
    """Return a list that receives the fields of each logged event."""
    found: list[dict[str, object]] = []
    monkeypatch.setattr(
        events, "log", lambda event, **fields: found.append({"event": event, **fields})
    )
    return found


def test_decisions_are_logged_with_account_and_waiting_time(lines) -> None:
    """Guards against logs that don't tell late requests from unfair scheduling."""
    pool = make_pool()
    first, second = make_arrivals(2)
    answers = pool.ask(ids.RouterId("edge"), first.ask, 0.0)
    pool.ask(ids.RouterId("edge"), second.ask, 0.1)
    answers += pool.tick(2.0)
    for answer in answers:
        poolhomes.log_answer(answer)
    granted, refused = lines
    assert granted["event"] is events.Event.GRANT_ISSUED
    assert refused["event"] is events.Event.PLACE_REFUSED
    for line, waited, is_late in ((granted, 0.0, False), (refused, 1.9, True)):
        assert line["account"] == "short"
        assert line["pool"] == "engines#1#0"
        assert line["before"] == 0.0
        assert line["waited"] == waited
        assert line["is_late"] is is_late
    json.dumps([{**line, "event": int(line["event"])} for line in lines])


def test_backlog_has_waiting_requests_and_received_service() -> None:
    pool = make_pool()
    first, *others = make_arrivals(4)
    pool.ask(ids.RouterId("edge"), first.ask, 0.0)
    for other in others:
        pool.ask(ids.RouterId("edge"), other.ask, 0.0)
    (backlog,) = pool.list_backlogs(0.0)
    received = first.ask.prompt_tokens + 2 * first.ask.output_tokens
    assert poolhomes.format_backlog(backlog) == ["short", 3, 0, received, 0]
    (later,) = pool.list_backlogs(1.0)
    assert later.late == 3
    assert later.level < received


def test_backlog_counts_the_grants_that_came_back_unused() -> None:
    pool = make_pool()
    first, *others = [arrival.ask for arrival in make_arrivals(3)]
    (answer,) = pool.ask(ids.RouterId("edge"), first, 0.0)
    for asked in others:
        pool.ask(ids.RouterId("edge"), asked, 0.0)
    unused = states.RunEnding.UNUSED
    pool.end(first.request, answer.message.server, unused, 0.01)
    assert [each.unused for each in pool.list_backlogs(0.02)] == [1]
    assert [each.unused for each in pool.list_backlogs(0.03)] == [0]


@pytest.mark.parametrize(
    "values", [{}, *({"early_refusals": mode} for mode in states.EarlyRefusals)]
)
def test_setting_of_early_refusals_reaches_pools(cluster, monkeypatch, values) -> None:
    """Guards against a setting that is read but has no effect."""
    made = []
    make_pool = pools.Pool

    def record(*arguments: object, **named: object) -> pools.Pool:
        made.append(named["early_refusals"])
        return make_pool(*arguments, **named)

    monkeypatch.setattr(pools, "Pool", record)
    cluster.add_server("gate-1")
    assert cluster.start_router(**values).call("/bookings/1").status == 200
    assert made == [values.get("early_refusals", states.EarlyRefusals.NEVER)]
