"""Four servers with six slots each reject requests, which are retried once."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from celeryspan import catalog, ids, states
from celeryspan.decisions import pools, rejections, retrybudget
from celeryspan.wire import messages
from tests.decisions import test_isolation

SERVERS = 4
SLOTS = 6
TICK_SECONDS = 0.005
TRANSFER_SECONDS = 0.001
PLAIN_RUN_SECONDS = 0.08
ENGINE_RUN_SECONDS = 0.4
FIRST_EVENT_SECONDS = 0.05
PROMPT_TOKENS = 200
ENGINE = catalog.Engine(slots=SLOTS, memory_tokens=400_000, stride=6)

Share = Callable[[int, float], float]
"""Returns the share of its requests that a server rejects at a time."""


@dataclasses.dataclass
class Play:
    """One play of requests at a pool; the result is read from its attributes.

    Attributes
    ----------
    sent, rejected : list
        Time and server of each request that was sent, and of those that were rejected.
    served : dict
        Time of each served request by request id.
    refusals : list
        Time, reason and Retry-After of each refusal by the home.
    service : Counter
        Units begun and not rejected, by account.
    """

    share: Share = lambda server, now: 0.0
    capacity: Callable[[int, float], int] = lambda server, now: SLOTS
    engine: catalog.Engine | None = None
    attempts: int = 2
    servers: int = SERVERS
    slots: int = SLOTS
    seed: int = 1

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.pool = pools.Pool(ids.PoolId("desk#1#0"), self.random)
        entries = test_isolation.make_entries(self.servers, self.slots)
        self.pool.set_servers(entries, self.engine)
        self.budget = retrybudget.RetryBudget(0.2, 50.0, 10.0)
        self.sent: list[tuple[float, int]] = []
        self.rejected: list[tuple[float, int]] = []
        self.served: dict[str, float] = {}
        self.refusals: list[tuple[float, str, float]] = []
        self.service: collections.Counter[str] = collections.Counter()
        self.retries = 0
        self.ever_rejecting: set[str] = set()
        self._running: collections.Counter[int] = collections.Counter()
        self._events: list = []
        self._order = itertools.count()
        self._since: dict[str, float] = {}

    def run(self, arrivals: list[tuple[float, str]], seconds: float) -> Play:
        """Play requests, each with its time and account; returns itself."""
        tokens = PROMPT_TOKENS if self.engine else 0
        for number, (at, account) in enumerate(arrivals):
            asked = test_isolation.make_ask(f"q-{number}", prompt_tokens=tokens)
            asked = msgspec.structs.replace(asked, account=account)
            self._push(at, self._arrive, asked, at)
        for step in range(round(seconds / TICK_SECONDS)):
            self._push(step * TICK_SECONDS, self._tick)
        while self._events:
            now, _, handle, arguments = heapq.heappop(self._events)
            self.now = now
            handle(*arguments, now)
        return self

    def _push(self, at: float, handle: Callable, *arguments: object) -> None:
        heapq.heappush(self._events, (at, next(self._order), handle, arguments))

    def _arrive(self, asked: messages.SlotRequest, since: float, now: float) -> None:
        if not asked.excluded:
            self.budget.record_request(now)
            self._since[asked.request] = since
        self._take(self.pool.ask(test_isolation.ROUTER, asked, now))

    def _tick(self, now: float) -> None:
        self._take(self.pool.tick(now))
        self.ever_rejecting.update(each.server for each in self.pool.list_rejecting())

    def _take(self, answers: list[pools.Answer]) -> None:
        for answer in answers:
            message = answer.message
            if answer.run is not None:
                server = int(message.server.removeprefix("gpu-"))
                self._push(
                    self.now + TRANSFER_SECONDS, self._receive, answer.ask, server
                )
                continue
            self.refusals.append((self.now, message.reason, message.retry_after))
            if answer.ask.excluded:
                self.budget.give_back()
                self.retries -= 1

    def _receive(self, asked: messages.SlotRequest, server: int, now: float) -> None:
        """Let a server run or reject a request."""
        self.sent.append((now, server))
        is_full = self._running[server] >= self.capacity(server, now)
        if is_full or self.random.random() < self.share(server, now):
            self.rejected.append((now, server))
            self._push(now + TRANSFER_SECONDS, self._reject, asked, server)
            return
        self._running[server] += 1
        self.service[asked.account] += 1
        seconds = ENGINE_RUN_SECONDS if self.engine else PLAIN_RUN_SECONDS
        if self.engine:
            name = ids.ServerId(f"gpu-{server}")
            self._push(
                now + FIRST_EVENT_SECONDS,
                lambda now: self.pool.begin(asked.request, name, now),
            )
        seconds *= self.random.uniform(0.8, 1.2)
        self._push(now + seconds, self._finish, asked, server)

    def _finish(self, asked: messages.SlotRequest, server: int, now: float) -> None:
        self._running[server] -= 1
        self.served[asked.request] = now
        self._end(asked, server, states.RunEnding.ANSWERED, now)

    def _reject(self, asked: messages.SlotRequest, server: int, now: float) -> None:
        self._end(asked, server, states.RunEnding.REJECTED, now)
        excluded = (*asked.excluded, ids.ServerId(f"gpu-{server}"))
        if len(excluded) < self.attempts and self.budget.try_take(now, 1):
            self.retries += 1
            waited = now - self._since[asked.request]
            again = msgspec.structs.replace(asked, excluded=excluded, waited=waited)
            self._arrive(again, now, now)

    def _end(
        self,
        asked: messages.SlotRequest,
        server: int,
        ending: states.RunEnding,
        now: float,
    ) -> None:
        name = ids.ServerId(f"gpu-{server}")
        self.pool.end(asked.request, name, ending, now)
        self._take(self.pool.decide(now))

    def count_served(self, begin: float, end: float) -> int:
        """Return how many requests were served in a time."""
        return sum(begin <= at < end for at in self.served.values())

    def count(self, found: list[tuple[float, int]], server: int) -> int:
        """Return how many of some entries are about a server."""
        return sum(each == server for _, each in found)


def make_arrivals(
    rate: float, seconds: float, seed: int, account: str = "tower", begin: float = 0.0
) -> list[tuple[float, str]]:
    """Return requests of one account at random times."""
    generator, now, found = random.Random(seed), begin, []
    while (now := now + generator.expovariate(rate)) < seconds:
        found.append((now, account))
    return found


def get_rate(engine: catalog.Engine | None, servers: int, load: float) -> float:
    """Return the requests a second at which some servers are loaded to a share."""
    seconds = ENGINE_RUN_SECONDS if engine else PLAIN_RUN_SECONDS
    return load * servers * SLOTS / seconds


def reject_between(bad: int, begin: float, end: float, parts: tuple = (1.0,)) -> Share:
    """Return servers of which the first reject a share, by the second, for a time."""

    def share(server: int, now: float) -> float:
        return (
            parts[int(now) % len(parts)] if server < bad and begin <= now < end else 0
        )

    return share


KINDS = pytest.mark.parametrize("engine", [None, ENGINE], ids=["plain", "engine"])


@KINDS
@hypothesis.settings(max_examples=8, deadline=None)
@hypothesis.given(
    bad=strategies.sampled_from([1, 2]),
    parts=strategies.sampled_from([(1.0,), (0.4, 0.8)]),
    load=strategies.sampled_from([0.2, 0.7]),
    seed=strategies.integers(0, 999),
)
def test_others_serve_what_they_can_beside_rejecting_servers(
    engine, bad, parts, load, seed
) -> None:
    """Guards against rejecting servers that attract requests and spend all retries."""
    rate = get_rate(engine, SERVERS - bad, load)
    play = Play(reject_between(bad, 1.0, 6.0, parts), engine=engine, seed=seed)
    arrivals = make_arrivals(rate, 7.0, seed)
    play.run(arrivals, 9.0)
    # A retry may meet the second server until that is known to reject, not to be full.
    unknown = (bad - 1) * SLOTS // 2
    assert len(play.served) >= 0.99 * len(arrivals) - unknown
    for server in range(bad):
        reached = sum(each == server and 1.5 <= at < 6.0 for at, each in play.sent)
        assert parts != (1.0,) or reached <= 5


@KINDS
@pytest.mark.parametrize("bad", [1, 2])
@pytest.mark.parametrize("parts", [(1.0,), (0.4, 0.8)])
def test_others_are_fully_used_under_overload(engine, bad, parts) -> None:
    """Guards against slots that idle while requests wait beside rejecting servers."""
    end = 11.0 if engine else 5.0  # At least 250 requests, so that 1 % is measurable.
    arrivals = make_arrivals(get_rate(engine, SERVERS - bad, 1.2), end, 3)
    share = reject_between(bad, 1.0, end, parts)
    found = Play(share, engine=engine).run(arrivals, end)
    others = Play(engine=engine, servers=SERVERS - bad).run(arrivals, end)
    assert found.count_served(1.0, end) >= 0.99 * others.count_served(1.0, end)


@KINDS
@hypothesis.settings(max_examples=8, deadline=None)
@hypothesis.given(
    end=strategies.floats(3.0, 5.0), servers=strategies.sampled_from([2, 3, 4])
)
def test_servers_that_all_reject_are_tried_twice_a_second(engine, end, servers) -> None:
    """Guards against floods at servers that reject, and against a late return."""
    arrivals = make_arrivals(50.0, 8.0, 5)
    share = reject_between(servers, 1.0, end)
    play = Play(share, engine=engine, servers=servers).run(arrivals, 11.0)
    trials = [at for at, _ in play.sent if 2.5 <= at < end]
    assert len(trials) <= 2 * (end - 2.5) + 1
    for server in range(servers):
        times = [at for at, each in play.sent if each == server and 2.5 <= at < end]
        pairs = itertools.pairwise(times)
        assert all(after - before >= 0.999 for before, after in pairs)
    told = [each for each in play.refusals if 2.5 <= each[0] < end]
    assert {reason for _, reason, _ in told} == {"servers-rejecting"}
    assert all(0.0 < seconds <= 0.51 for _, _, seconds in told)
    assert min(at for at, _ in play.sent if at >= end) <= end + 0.55
    asked = sum(end + 1.5 <= at < 8.0 for at, _ in arrivals)
    limit = min(asked, (6.5 - end) * get_rate(engine, servers, 1.0))
    assert play.count_served(end + 1.5, 11.0) >= 0.95 * limit


def test_all_servers_are_tried_soon_after_one_accepts_again() -> None:
    """Guards against trials that stay half a second apart once a server answers."""
    served = asked = 0
    for seed in range(4):
        arrivals = make_arrivals(get_rate(None, SERVERS, 0.7), 5.0, seed)
        play = Play(reject_between(SERVERS, 1.0, 4.0), seed=seed).run(arrivals, 5.0)
        served += play.count_served(4.0, 5.0)
        asked += sum(4.0 <= at < 5.0 for at, _ in arrivals)
    assert served >= 0.7 * asked


@KINDS
@pytest.mark.parametrize("share", [0.3, 0.5, 0.8])
def test_servers_that_all_reject_a_part_are_used(engine, share) -> None:
    """Guards against pools that get trials alone while servers answer a part."""
    arrivals = make_arrivals(get_rate(engine, SERVERS, 0.5), 8.0, 5)
    play = Play(reject_between(SERVERS, 0.0, 9.0, (share,)), engine=engine)
    play.run(arrivals, 12.0)
    assert len(play.served) >= 0.8 * (1.0 - share) * len(arrivals)


@KINDS
@pytest.mark.parametrize("capacity", [3, 4, 5])
def test_servers_with_less_room_than_stated_are_fully_used(engine, capacity) -> None:
    """Guards against full servers that are taken for rejecting ones."""
    rate = 1.3 * get_rate(engine, SERVERS, 1.0) * capacity / SLOTS
    arrivals = make_arrivals(rate, 8.0, 5)
    play = Play(capacity=lambda server, now: capacity, engine=engine)
    best = Play(slots=capacity, engine=engine).run(arrivals, 8.0)
    play.run(arrivals, 8.0)
    assert play.count_served(1.0, 8.0) >= 0.98 * best.count_served(1.0, 8.0)
    assert not play.ever_rejecting


def test_server_that_is_full_for_moments_stays_in_use() -> None:
    """Guards against a server that is ejected because its queue was full briefly."""

    def capacity(server: int, now: float) -> int:
        return 4 if server == 0 and now % 1.0 < 0.2 else SLOTS

    arrivals = make_arrivals(get_rate(None, SERVERS, 0.95), 8.0, 5)
    play = Play(capacity=capacity).run(arrivals, 8.5)
    assert not play.ever_rejecting
    assert len(play.served) >= 0.99 * len(arrivals)
    assert play.count(play.sent, 0) >= 0.8 * play.count(play.sent, 1)


@KINDS
@pytest.mark.parametrize("parts", [(1.0,), (0.4, 0.8)])
def test_rejections_take_no_share_from_an_account(engine, parts) -> None:
    """Guards against accounts that are charged for requests that did not run."""
    rate = get_rate(engine, SERVERS - 1, 0.6)
    arrivals = sorted(
        make_arrivals(2 * rate, 8.0, 1, "flood")
        + make_arrivals(rate, 8.0, 2, "second")
        + make_arrivals(rate, 8.0, 3, "third")
    )
    play = Play(reject_between(1, 1.0, 9.0, parts), engine=engine)
    play.run(arrivals, 8.0)
    others = Play(engine=engine, servers=SERVERS - 1).run(arrivals, 8.0)
    for account, units in others.service.items():
        assert play.service[account] >= 0.97 * units
    assert min(play.service.values()) >= 0.9 * max(play.service.values())


def test_no_retry_is_used_while_no_server_takes_any() -> None:
    """Guards against a retry budget that is spent when servers accept again."""
    play = Play(reject_between(SERVERS, 1.0, 4.0)).run(make_arrivals(50, 4.0, 5), 4.0)
    assert play.retries <= SERVERS


@pytest.mark.parametrize("servers", [1, 2])
def test_first_request_after_a_rest_is_a_single_trial(servers) -> None:
    """Guards against all slots of a server being filled at the end of its rest."""
    pool = test_isolation.make_pool(servers)
    for number in range(servers):
        rest = messages.ServerRest(pool.name, f"gpu-{number}", 0, 0.0, 1.0)
        pool.record_rest(test_isolation.ROUTER, rest, 0.0)
    pool.tick(1.1)
    asks = [test_isolation.make_ask(f"q-{number}") for number in range(6)]
    placed = test_isolation.place(pool, 1.1, *asks)
    assert len(placed) == len(set(placed.values())) == servers
    pool.end("q-0", placed["q-0"], states.RunEnding.ANSWERED, 1.2)
    assert len(test_isolation.place(pool, 1.2)) >= 2


def test_trial_that_was_not_sent_is_followed_by_another() -> None:
    """Guards against a server without trials because a caller left."""
    found = rejections.Rejections()
    found.record_rejection(1, SLOTS, 0.0, 0.1)
    found.record_placed(0.2)
    assert not found.admits(0, SLOTS, 0.3)
    found.record_unused(0.2, 0.3)
    assert found.admits(0, SLOTS, 0.3)


def test_answer_to_an_earlier_request_ends_no_rejecting() -> None:
    """Guards against long runs that end while their server rejects new ones."""
    found = rejections.Rejections()
    found.record_rejection(1, SLOTS, 0.5, 0.6)
    found.record_accepted(SLOTS, 0.1, 0.7)
    assert found.state is rejections.State.REJECTING
