"""What a home logs of its decisions."""

from __future__ import annotations

import json
import random

import pytest

from bench.engines import loads
from celeryspan import catalog, events, ids
from celeryspan.decisions import pools
from celeryspan.gateway import poolhomes

ENGINE = catalog.Engine(slots=1, memory_tokens=100_000, stride=6)


def make_pool() -> pools.Pool:
    """Return a pool with one place."""
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


def make_asks(count: int, **values: object) -> list[loads.Arrival]:
    """Return requests of one account."""
    load = loads.Load(
        "notes", 100.0, 0.4, 3.0, 0.3, (30, 20), 5, 60, 0.1, 6, ("short",), **values
    )
    return loads.merge([load], 10.0, random.Random(1))[:count]


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, object]]:
    """Return the fields of what is logged from now on."""
    found: list[dict[str, object]] = []
    monkeypatch.setattr(
        events, "log", lambda event, **fields: found.append({"event": event, **fields})
    )
    return found


def test_place_that_is_given_or_refused_names_account_and_time(lines) -> None:
    """Guards against a record that can't tell late requests from unfair order."""
    pool = make_pool()
    first, second = make_asks(2)
    answers = pool.ask(ids.RouterId("edge"), first.ask, 0.0)
    pool.ask(ids.RouterId("edge"), second.ask, 0.1)
    answers += pool.tick(2.0)
    for answer in answers:
        poolhomes.log_answer(answer)
    given, refused = lines
    assert given["event"] is events.Event.GRANT_ISSUED
    assert refused["event"] is events.Event.PLACE_REFUSED
    for line, waited, is_late in ((given, 0.0, False), (refused, 1.9, True)):
        assert line["account"] == "short"
        assert line["pool"] == "engines#1#0"
        assert line["before"] == 0.0
        assert line["waited"] == waited
        assert line["is_late"] is is_late
    json.dumps([{**line, "event": int(line["event"])} for line in lines])


def test_backlogs_tell_what_waits_and_what_was_begun() -> None:
    pool = make_pool()
    first, *others = make_asks(4)
    pool.ask(ids.RouterId("edge"), first.ask, 0.0)
    for other in others:
        pool.ask(ids.RouterId("edge"), other.ask, 0.0)
    (backlog,) = pool.list_backlogs(0.0)
    begun = first.ask.prompt_tokens + 2 * first.ask.output_tokens
    assert poolhomes.list_fields(backlog) == ["short", 3, 0, begun]
    (later,) = pool.list_backlogs(1.0)
    assert later.late == 3
    assert later.level < begun
