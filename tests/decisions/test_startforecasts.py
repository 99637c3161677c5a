"""Plays overload to a pool on a virtual clock, with and without early refusals."""

from __future__ import annotations

import collections
import functools
import heapq
import itertools
import random
import statistics
from typing import NamedTuple

import pytest

from celeryspan import catalog, ids, states
from celeryspan.decisions import pools
from celeryspan.wire import messages

ROUTER = ids.RouterId("edge")
POOL = ids.PoolId("desk#1#0")
HERE = ids.DataCentreId("here")
SERVERS, SLOTS = 4, 6
UNIT_SECONDS = 0.04
TICK_SECONDS = 0.005
FIRST_EVENT_SECONDS = 0.01
SECONDS = 20.0
SETTLED_SECONDS = 2.0
"""Time after which the rate of a pool that was empty at the start is known."""

WINDOW_SECONDS = 6.0


class Kind(NamedTuple):
    """Requests of one size, in units, and their time limits, in seconds."""

    units: int
    objective: float
    timeout: float


KINDS = (Kind(1, 0.3, 3.0), Kind(2, 0.6, 4.0), Kind(3, 1.0, 8.0))
SHARES = {"a": 0.35, "b": 0.25, "c": 0.2, "d": 0.1, "e": 0.06, "f": 0.04}
"""Part of the load that each account sends."""

BACKLOGGED = ("a", "b", "c")


class Arrival(NamedTuple):
    """A request and how long a server takes for it."""

    at: float
    account: str
    kind: Kind
    took: float


class Fate(NamedTuple):
    """What became of a request; times in seconds."""

    arrival: Arrival
    decided_at: float
    retry_after: float | None = None

    @property
    def waited(self) -> float:
        return self.decided_at - self.arrival.at

    @property
    def is_in_time(self) -> bool:
        taken = self.waited + self.arrival.took
        return self.retry_after is None and taken <= self.arrival.kind.objective


def make_arrivals(
    load: float, seed: int, shares: dict[str, float] = SHARES, seconds: float = SECONDS
) -> list[Arrival]:
    """Return Poisson arrivals at a load relative to the capacity."""
    generator = random.Random(seed)
    mean = statistics.mean(kind.units for kind in KINDS) * UNIT_SECONDS
    rate = load * SERVERS * SLOTS / mean
    found, now = [], 0.0
    while now < seconds:
        now += generator.expovariate(rate)
        (account,) = generator.choices(list(shares), list(shares.values()))
        kind = generator.choice(KINDS)
        took = kind.units * UNIT_SECONDS * generator.uniform(0.5, 1.5)
        found.append(Arrival(now, account, kind, took))
    return found


def make_pool(mode: states.EarlyRefusals) -> pools.Pool:
    pool = pools.Pool(POOL, random.Random(1), early_refusals=mode)
    entries = [
        catalog.ServerEntry(
            ids.ServerId(f"desk-{number}"),
            service=ids.ServiceId("desk"),
            address=ids.Address("127.0.0.1", 1 + number),
            data_centre=HERE,
            slots=SLOTS,
            is_leaving=False,
            revision=1,
        )
        for number in range(SERVERS)
    ]
    pool.set_servers(entries, None)
    return pool


def make_ask(number: int, arrival: Arrival) -> messages.SlotRequest:
    units, objective, timeout = arrival.kind
    return messages.SlotRequest(
        ids.RequestId(str(number)),
        POOL,
        ids.AccountId(arrival.account),
        HERE,
        parts=(),
        prompt_tokens=units,
        output_tokens=0,
        waited=0.0,
        objective=objective,
        timeout=timeout,
        gap_max=1.0,
        stride=1,
        excluded=(),
    )


def play(
    arrivals: list[Arrival],
    mode: states.EarlyRefusals = states.EarlyRefusals.ALWAYS,
) -> list[Fate]:
    """Play requests to a pool and return what became of each."""
    pool = make_pool(mode)
    order = itertools.count()
    todo = [
        (each.at, next(order), lambda now, n=n, each=each: arrive(n, each, now))
        for n, each in enumerate(arrivals)
    ]
    ticks = round((arrivals[-1].at + 5.0) / TICK_SECONDS)
    todo += [
        (n * TICK_SECONDS, next(order), lambda now: settle(pool.tick(now), now))
        for n in range(ticks)
    ]
    heapq.heapify(todo)
    fates: dict[int, Fate] = {}

    def arrive(number: int, arrival: Arrival, now: float) -> None:
        free = SERVERS * SLOTS - pool.count_runs()
        answers = pool.ask(ROUTER, make_ask(number, arrival), now)
        is_refused = any(answer.run is None for answer in answers)
        assert not is_refused or free <= pool.count_waiting(), "a slot was free"
        settle(answers, now)

    def settle(answers: list[pools.Answer], now: float) -> None:
        for answer in answers:
            number = int(answer.ask.request)
            arrival, message = arrivals[number], answer.message
            if answer.run is None:
                fates[number] = Fate(arrival, now, message.retry_after)
                continue
            fates[number] = Fate(arrival, now)
            begin = functools.partial(pool.begin, message.request, message.server)
            end = functools.partial(
                pool.end, message.request, message.server, states.RunEnding.ANSWERED
            )
            heapq.heappush(todo, (now + FIRST_EVENT_SECONDS, next(order), begin))
            heapq.heappush(todo, (now + arrival.took, next(order), end))

    while todo:
        now, _, act = heapq.heappop(todo)
        act(now)
    assert len(fates) == len(arrivals)
    return [fates[number] for number in range(len(arrivals))]


def play_oracle(arrivals: list[Arrival]) -> list[Fate]:
    """Serve in order of arrival exactly those that will be in time."""
    free = [0.0] * (SERVERS * SLOTS)
    found = []
    for each in arrivals:
        start = max(each.at, free[0])
        fate = Fate(each, start)
        if fate.is_in_time:
            heapq.heapreplace(free, start + each.took)
            found.append(fate)
    return found


def list_refused(fates: list[Fate]) -> list[Fate]:
    return [fate for fate in fates if fate.retry_after is not None]


def list_settled(fates: list[Fate]) -> list[Fate]:
    return [fate for fate in fates if fate.arrival.at >= SETTLED_SECONDS]


def measure_served(fates: list[Fate]) -> float:
    return 1.0 - len(list_refused(fates)) / len(fates)


def sum_units(fates: list[Fate], account: str, since: float) -> int:
    """Return the units that an account was granted within a window."""
    return sum(
        fate.arrival.kind.units
        for fate in fates
        if fate.arrival.account == account
        and fate.retry_after is None
        and since <= fate.decided_at < since + WINDOW_SECONDS
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overload_is_refused_on_arrival(seed: int) -> None:
    """Guards against refusals that come after a wait for which the queue was known."""
    arrivals = make_arrivals(1.3, seed)
    fates = play(arrivals)
    refused = list_refused(list_settled(fates))
    assert sum(fate.waited <= 0.05 for fate in refused) >= 0.95 * len(refused)
    in_time = sum(fate.is_in_time for fate in fates)
    assert in_time >= 0.95 * len(play_oracle(arrivals))


def test_accounts_and_kinds_are_refused_evenly() -> None:
    """Guards against a queue in which only requests with long objectives may wait."""
    fates = play(make_arrivals(1.3, 1))
    shares = [
        measure_served([fate for fate in fates if fate.arrival.kind is kind])
        for kind in KINDS
    ]
    assert min(shares) >= 0.5 * max(shares)
    for since in range(round(SECONDS - WINDOW_SECONDS) + 1):
        units = [sum_units(fates, account, since) for account in BACKLOGGED]
        assert min(units) >= 0.5 * max(units)


def test_nothing_is_refused_below_capacity() -> None:
    """Guards against refusals in bursts that the servers soon catch up with."""
    assert not list_refused(play(make_arrivals(0.7, 1)))


def test_flood_of_one_account_does_not_refuse_others() -> None:
    """Guards against counting the whole queue as work before each request."""
    flood = make_arrivals(3.0, 1, {"flood": 1.0})
    others = make_arrivals(0.5, 2, dict.fromkeys("abcdef", 1.0))
    fates = play(sorted(flood + others))
    refused = {fate.arrival.account for fate in list_refused(fates)}
    assert refused == {"flood"}


def test_home_that_has_just_started_queues_requests() -> None:
    """Guards against forecasts from a rate at which nothing has been served yet."""
    arrivals = [Arrival(0.001 * n, "a", KINDS[0], 100.0) for n in range(60)]
    queued = play(arrivals)[SERVERS * SLOTS :]
    assert all(fate.waited > 0.7 for fate in queued)


def test_rate_is_learned_again_after_a_stall() -> None:
    """Guards against refusing all requests for good because of an outdated rate."""
    arrivals = [
        each._replace(took=each.took + 2.0) if 6.0 < each.at < 7.0 else each
        for each in make_arrivals(1.3, 1)
    ]
    fates = play(arrivals)
    before = [fate for fate in fates if 2.0 < fate.arrival.at < 6.0]
    after = [fate for fate in fates if fate.arrival.at > 12.0]
    assert measure_served(after) >= 0.9 * measure_served(before)


@pytest.mark.parametrize("seed", [1, 2])
def test_waiting_requests_are_refused_when_servers_become_slow(seed: int) -> None:
    """Guards against requests that wait until they give up, admitted before a change.

    From 6 s to 9 s the servers take four times as long.
    """
    arrivals = [
        each._replace(took=4 * each.took) if 6.0 < each.at < 9.0 else each
        for each in make_arrivals(0.9, seed)
    ]
    waits = [fate.waited for fate in list_refused(list_settled(play(arrivals)))]
    assert max(waits) <= 1.0
    assert statistics.mean(waits) <= 0.04


def test_retry_times_are_spread() -> None:
    """Guards against all callers of a refused burst coming back at once."""
    burst = [Arrival(5.0, "a", KINDS[0], UNIT_SECONDS)] * 600
    fates = play(sorted([*make_arrivals(1.3, 1, seconds=6.0), *burst]))
    refused = [fate for fate in list_refused(fates) if fate.arrival[:2] == burst[0][:2]]
    returns = collections.Counter(int(fate.retry_after or 0.0) for fate in refused)
    assert len(refused) >= 400
    assert max(returns.values()) <= 1.5 * SERVERS * SLOTS / UNIT_SECONDS / 3


def test_pools_of_plain_servers_do_not_refuse_early_where_only_engines_do() -> None:
    """Guards against early refusals that the settings do not ask for."""
    mode = states.EarlyRefusals.REPORTING_ENGINES
    arrivals = make_arrivals(2.5, seed=1, seconds=3.0)
    assert play(arrivals, mode) == play(arrivals, states.EarlyRefusals.NEVER)
