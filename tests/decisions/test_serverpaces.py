"""Paces of servers: how long a report holds, and what requests gain from it."""

from __future__ import annotations

import heapq
import itertools
import random

import pytest

from celeryspan import catalog, ids, states
from celeryspan.decisions import placing, pools, serverpaces
from celeryspan.wire import messages

ROUTER = ids.RouterId("edge-1")
ENGINE = catalog.Engine(slots=4, memory_tokens=100_000, stride=3)

SPEEDS = (0.7, 0.7, 1.7, 1.0)
SLOTS = 6
CALL_SECONDS = 0.16
SLOW_PACE, SLOW_SHARE = 2.5, 0.15
PACE_INTERVAL_SECONDS = 0.6
WARM_UP_SECONDS = 5.0


def make_entry(name: str, started_ms: int = 1, slots: int = SLOTS):
    """Return the entry of one incarnation of a server."""
    return catalog.ServerEntry(
        server=ids.ServerId(name),
        service=ids.ServiceId("gate"),
        address=ids.Address("10.0.0.1", 80),
        data_centre=ids.DataCentreId("a"),
        slots=slots,
        is_leaving=False,
        revision=started_ms,
        started_ms=started_ms,
    )


def make_ask(number: object, prompt_tokens: int = 0, parts=()) -> messages.SlotRequest:
    """Return a request that waits as long as it must."""
    return messages.SlotRequest(
        request=ids.RequestId(str(number)),
        pool=ids.PoolId("gate#1#0"),
        account=ids.AccountId("tower"),
        data_centre=ids.DataCentreId("a"),
        parts=parts,
        prompt_tokens=prompt_tokens,
        output_tokens=0,
        waited=0.0,
        objective=1000.0,
        timeout=10_000.0,
        gap_max=0.3,
        stride=3,
        excluded=(),
    )


class Paces:
    """The paces of the VMs, drawn anew at each interval with a phase of their own."""

    def __init__(self, generator: random.Random) -> None:
        self._phases = [generator.random() * PACE_INTERVAL_SECONDS for _ in SPEEDS]
        self._seed = generator.random()

    def find(self, server: int, now: float) -> tuple[float, float]:
        """Return the pace now and the time of the next change."""
        phase = self._phases[server]
        interval = int((now + phase) / PACE_INTERVAL_SECONDS + 1e-9)
        is_slow = random.Random(f"{self._seed} {server} {interval}").random()
        until = (interval + 1) * PACE_INTERVAL_SECONDS - phase
        return SLOW_PACE if is_slow < SLOW_SHARE else 1.0, until

    def finish(self, server: int, work: float, now: float) -> float:
        """Return when a call that begins now ends."""
        work *= SPEEDS[server]
        while True:
            pace, until = self.find(server, now)
            if now + work * pace <= until:
                return now + work * pace
            work -= (until - now) / pace
            now = until


def make_calls(load: float, seconds: float, generator: random.Random):
    """Return arrival and duration of calls that use this share of the capacity."""
    rate = sum(SLOTS / (speed * CALL_SECONDS) for speed in SPEEDS)
    rate *= 1 - SLOW_SHARE + SLOW_SHARE / SLOW_PACE
    now, calls = 0.0, []
    while now < seconds:
        now += generator.expovariate(load * rate)
        calls.append((now, CALL_SECONDS * generator.uniform(0.5, 1.5)))
    return calls


def play_oracle(calls, paces: Paces) -> list[float]:
    """Return response times if the fastest free server takes the oldest call."""
    ends: list[list[float]] = [[] for _ in SPEEDS]
    took = []
    now = 0.0
    for arrived, work in calls:
        now = max(now, arrived)
        for each in ends:
            each[:] = [end for end in each if end > now]
        if all(len(each) >= SLOTS for each in ends):
            now = min(min(each) for each in ends)
            for each in ends:
                each[:] = [end for end in each if end > now]
        free = [server for server, each in enumerate(ends) if len(each) < SLOTS]
        best = min(free, key=lambda each: SPEEDS[each] * paces.find(each, now)[0])
        end = paces.finish(best, work, now)
        ends[best].append(end)
        took.append(end - arrived)
    return took


def play_pool(calls, paces: Paces, *, is_reporting: bool = True) -> list[float]:
    """Return response times of calls that a pool places."""
    pool = pools.Pool(ids.PoolId("gate#1#0"), random.Random(1))
    pool.set_servers([make_entry(str(number)) for number in range(len(SPEEDS))], None)
    running = [0] * len(SPEEDS)
    took = [0.0] * len(calls)
    order = itertools.count()
    queue = [(at, next(order), None, number) for number, (at, _) in enumerate(calls)]
    heapq.heapify(queue)
    while queue:
        now, _, server, number = heapq.heappop(queue)
        if server is None:
            answers = pool.ask(ROUTER, make_ask(number), now)
        else:
            took[number] = now - calls[number][0]
            pace = paces.find(server, now)[0]
            load = messages.LoadReport(running[server], 0, SLOTS, pace)
            running[server] -= 1
            pool.end(
                ids.RequestId(str(number)),
                ids.ServerId(str(server)),
                states.RunEnding.ANSWERED,
                now,
                load=load if is_reporting else None,
            )
            answers = pool.tick(now)
        for answer in answers:
            placed, asked = int(answer.message.server), int(answer.ask.request)
            running[placed] += 1
            end = paces.finish(placed, calls[asked][1], now)
            heapq.heappush(queue, (end, next(order), placed, asked))
    return took


def measure(calls, took: list[float]) -> float:
    """Return the 99th percentile after the warm-up."""
    settled = sorted(
        seconds
        for (at, _), seconds in zip(calls, took, strict=True)
        if at > WARM_UP_SECONDS
    )
    return settled[int(0.99 * len(settled))]


def make_load(pace: float, running: int = 1, age: float = 0.0) -> messages.LoadReport:
    """Return a report of a server with free slots."""
    return messages.LoadReport(running, 0, SLOTS, pace, age)


def make_placer(engine: catalog.Engine | None = None, slots: int = SLOTS):
    """Return a placer with the servers s-1 and s-2."""
    placer = placing.Placer()
    placer.set_servers(
        [make_entry("s-1", slots=slots), make_entry("s-2", slots=slots)], engine
    )
    return placer


def place(placer: placing.Placer, number: object, name: str, now: float) -> None:
    """Start a run at a server."""
    placer.start_run(make_ask(number), ROUTER, ids.ServerId(name), now + 99.0, now)


def finish(
    placer: placing.Placer,
    number: object,
    name: str,
    now: float,
    load: messages.LoadReport | None = None,
    ending: states.RunEnding = states.RunEnding.ANSWERED,
) -> None:
    """End a run."""
    placer.end(ids.RequestId(str(number)), ids.ServerId(name), ending, now, load=load)


def report(placer: placing.Placer, name: str, pace: float, now: float) -> None:
    """Place a request at a server, whose report comes although its caller leaves."""
    place(placer, f"report-{name}-{now}", name, now)
    ending = states.RunEnding.CANCELLED
    finish(placer, f"report-{name}-{now}", name, now, make_load(pace), ending)


def choose(placer: placing.Placer, now: float) -> str | None:
    """Return the server that would take a request."""
    found = placer.choose(make_ask("next"), 0.0, now)
    return found.server if found else None


def test_pace_reverts_to_the_mean_and_then_to_the_usual() -> None:
    """Guards against a server that is avoided for good after its last report."""
    pace = serverpaces.ServerPace()
    assert pace.expect(0.0) == 1.0
    for tenth in range(100):
        pace.record(make_load(2.0 if tenth < 95 else 5.0), 1, tenth / 10)
    assert pace.expect(9.9) == pytest.approx(5.0)
    assert 2.0 < pace.expect(10.5) < 4.0
    assert 1.4 < pace.expect(13.0) < 2.0
    assert pace.expect(9.9 + serverpaces.STALE_SECONDS) == 1.0


def test_report_sent_before_the_newest_is_ignored() -> None:
    """Guards against the head of a long stream that undoes later reports."""
    pace = serverpaces.ServerPace()
    pace.record(make_load(2.5), 1, 5.0)
    pace.record(make_load(1.0, age=3.0), 1, 5.1)
    assert pace.expect(5.1) > 2.0


def test_restarted_server_has_its_usual_pace() -> None:
    """Guards against reports of an earlier incarnation."""
    placer = make_placer()
    place(placer, 1, "s-1", 1.0)
    report(placer, "s-1", 5.0, 1.1)
    assert placer.list_paces(1.1) == {"s-1": pytest.approx(5.0)}
    placer.set_servers([make_entry("s-1", 2), make_entry("s-2")], None)
    finish(placer, 1, "s-1", 1.2, make_load(5.0))
    assert placer.list_paces(1.2) == {}


def test_rejected_request_reports_the_pace() -> None:
    """Guards against requests sent on to a server that is too slow to take them."""
    placer = make_placer()
    chosen = choose(placer, 1.0)
    place(placer, "rejected", chosen, 1.0)
    ending = states.RunEnding.REJECTED
    finish(placer, "rejected", chosen, 1.0, make_load(4.0), ending)
    assert placer.list_paces(1.0) == {chosen: pytest.approx(4.0)}


def test_server_that_always_reports_a_bad_pace_is_used_only_if_no_other_is_free() -> (
    None
):
    """Guards against slow servers preferred, and against slots that stay idle."""
    placer = make_placer(slots=2)
    now = 0.0
    for number in range(40):  # Both speeds are known; s-1 takes ten times as long.
        for name, pace, seconds in (("s-1", 10.0, 0.8), ("s-2", 1.0, 0.08)):
            place(placer, number, name, now)
            finish(placer, number, name, now + seconds, make_load(pace))
        now += 1.0
    place(placer, "a", "s-2", now)
    assert choose(placer, now) == "s-2"
    place(placer, "b", "s-2", now)
    assert choose(placer, now) == "s-1"


def test_pace_does_not_spoil_the_speed_of_a_server() -> None:
    """Guards against a server that counts as slow for long after its VM was."""
    placer = make_placer()
    server = placer._servers["s-1"]
    for number in range(60):
        for pace, seconds in ((2.5, 0.2), (1.0, 0.08)):
            now = 4.0 * number + 2.0 * (pace == 1.0)
            place(placer, "before", "s-1", now)
            finish(placer, "before", "s-1", now + seconds, make_load(pace))
            place(placer, number, "s-1", now + seconds)
            finish(placer, number, "s-1", now + 2 * seconds, make_load(pace))
    assert server.call_seconds == pytest.approx(0.08, rel=0.25)


def test_requests_placed_by_another_home_count_for_a_short_time() -> None:
    """Guards against a home that has just started and fills servers already in use."""
    placer = make_placer()
    for name, running in (("s-1", 5), ("s-2", 1)):
        place(placer, 1, name, 1.0)
        finish(placer, 1, name, 1.0, make_load(1.0, running))
    place(placer, 2, "s-2", 1.0)
    assert choose(placer, 1.1) == "s-2"
    assert choose(placer, 1.1 + serverpaces.OTHERS_SECONDS) == "s-1"


@pytest.mark.parametrize("slow", ["s-1", "s-2"])
def test_slow_engine_gets_nothing_while_an_equal_one_has_its_usual_pace(slow) -> None:
    """Guards against streams that begin late although a faster engine was free."""
    placer = make_placer(ENGINE, slots=4)
    fast = "s-2" if slow == "s-1" else "s-1"
    report(placer, slow, 2.5, 1.0)
    report(placer, fast, 1.0, 1.0)
    for number in range(4):
        assert choose(placer, 1.2) == fast
        place(placer, number, fast, 1.2)
    assert choose(placer, 1.2) == slow
    for number in range(4):
        finish(placer, number, fast, 1.3)
    place(placer, "later", fast, 60.0)
    assert choose(placer, 60.0) == slow


def test_request_uses_an_idle_slow_engine_rather_than_wait() -> None:
    """Guards against engines that idle while requests wait for a faster one."""
    placer = make_placer(ENGINE)
    report(placer, "s-1", 10.0, 1.0)
    ask = make_ask("long", prompt_tokens=9_000)
    placer.start_run(ask, ROUTER, ids.ServerId("s-2"), 99.0, 1.2)
    assert placer.choose(make_ask("next", 9_000), 0.0, 1.2).server == "s-1"


def test_pending_prefill_scales_with_the_pace() -> None:
    """Guards against prompts that queue at an engine that has just become slow."""
    placer = make_placer(ENGINE)
    server = placer._servers["s-1"]
    placer.start_run(make_ask(1, 8_000), ROUTER, ids.ServerId("s-1"), 99.0, 1.0)
    pending = server.pending_seconds(1.0)
    placer.start_run(make_ask(2), ROUTER, ids.ServerId("s-1"), 99.0, 1.0)
    finish(placer, 2, "s-1", 1.0, make_load(3.0))
    assert server.pending_seconds(1.0) == pytest.approx(3.0 * pending)


@pytest.mark.parametrize("load", [0.5, 0.8])
def test_response_times_are_near_those_of_an_oracle(load: float) -> None:
    """Guards against calls sent to servers whose VM is slow at the moment."""
    generator = random.Random(4)
    paces = Paces(generator)
    calls = make_calls(load, 40.0, generator)
    oracle = measure(calls, play_oracle(calls, paces))
    reported = play_pool(calls, paces)
    ignored = play_pool(calls, paces, is_reporting=False)
    assert measure(calls, reported) <= 1.3 * oracle
    assert sum(reported) < sum(ignored)
