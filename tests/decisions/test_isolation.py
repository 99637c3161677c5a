"""Requests under which servers crashed run isolated and don't delay others."""

from __future__ import annotations

import random

import pytest

from celeryspan import catalog, ids, states
from celeryspan.decisions import pools
from celeryspan.wire import messages

ROUTER = ids.RouterId("edge")
ENGINE = catalog.Engine(slots=8, memory_tokens=100_000, stride=6)


def make_entries(servers: int, slots: int = 8) -> list[catalog.ServerEntry]:
    """Return the entries of servers that are named by their numbers."""
    return [
        catalog.ServerEntry(
            server=ids.ServerId(f"gpu-{number}"),
            service=ids.ServiceId("desk"),
            address=ids.Address("127.0.0.1", 1000 + number),
            data_centre=ids.DataCentreId("here"),
            slots=slots,
            is_leaving=False,
            revision=1,
        )
        for number in range(servers)
    ]


def make_pool(servers: int, engine: catalog.Engine | None = None) -> pools.Pool:
    """Return a pool of servers with eight slots each."""
    pool = pools.Pool(ids.PoolId("desk#1#0"), random.Random(1))
    pool.set_servers(make_entries(servers), engine)
    return pool


def make_ask(
    request: str, isolation: int = 0, prompt_tokens: int = 0
) -> messages.SlotRequest:
    """Return a request of one account."""
    return messages.SlotRequest(
        request=ids.RequestId(request),
        pool=ids.PoolId("desk#1#0"),
        account=ids.AccountId("tower"),
        data_centre=ids.DataCentreId("here"),
        parts=(),
        prompt_tokens=prompt_tokens,
        output_tokens=prompt_tokens // 10,
        waited=0.0,
        objective=1.0,
        timeout=10.0,
        gap_max=1.0,
        stride=6,
        excluded=(),
        isolation=isolation,
    )


def place(pool: pools.Pool, now: float, *asks: messages.SlotRequest) -> dict[str, str]:
    """Ask for slots; returns the server of each request that was placed."""
    answers = [answer for ask in asks for answer in pool.ask(ROUTER, ask, now)]
    answers += pool.tick(now)
    return {
        each.message.request: each.message.server
        for each in answers
        if each.run is not None
    }


@pytest.mark.parametrize("engine, tokens", [(None, 0), (ENGINE, 200)])
def test_copies_of_an_isolated_request_run_one_at_a_time(
    engine: catalog.Engine | None, tokens: int
) -> None:
    pool = make_pool(3, engine)
    first, second = make_ask("r1", 7, tokens), make_ask("r2", 7, tokens)
    placed = place(pool, 0.0, first, second)
    assert list(placed) == ["r1"]
    pool.end("r1", placed["r1"], states.RunEnding.FAILED, 0.1)
    assert list(place(pool, 0.2)) == ["r2"]


@pytest.mark.parametrize("engine, tokens", [(None, 0), (ENGINE, 200)])
def test_isolated_requests_never_share_a_server(
    engine: catalog.Engine | None, tokens: int
) -> None:
    """Guards against a crash with two possible causes."""
    pool = make_pool(3, engine)
    asks = [make_ask(f"r{number}", number, tokens) for number in range(1, 6)]
    placed = place(pool, 0.0, *asks)
    for step in range(1, 5):
        placed |= place(pool, step / 10)
    assert sorted(placed) == ["r1", "r2", "r3"]
    assert len(set(placed.values())) == 3


def test_waiting_isolated_requests_do_not_block_others() -> None:
    """Guards against an account that is blocked by its isolated requests."""
    pool = make_pool(2)
    place(pool, 0.0, make_ask("first", 7))
    copies = [make_ask(f"copy-{number}", 7) for number in range(20)]
    others = [make_ask(f"other-{number}") for number in range(5)]
    servers = place(pool, 0.1, *copies, *others)
    assert sorted(servers) == [f"other-{number}" for number in range(5)]


def test_isolation_survives_a_change_of_home() -> None:
    pool = make_pool(2)
    held = messages.RunHeld(
        request=ids.RequestId("r1"),
        pool=pool.name,
        account=ids.AccountId("tower"),
        server=ids.ServerId("gpu-0"),
        parts=(),
        prompt_tokens=0,
        is_begun=False,
        left=5.0,
        isolation=7,
    )
    pool.restore_run(ROUTER, held, 0.0)
    assert place(pool, 0.1, make_ask("copy", 7)) == {}
    assert place(pool, 0.2, make_ask("another", 8)) == {"another": "gpu-1"}
