"""Compares quarantine policies on simulated requests that crash servers.

``make bench NAME=crashing`` prints for each pattern and policy how many servers crashed
and what happened to the other requests; ``ARGUMENTS=SEEDS`` sets the number of seeds.
Routers, servers and callers share one virtual clock. Each router has its own
replica of the quarantine; changes reach the others with a delay.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
import statistics
from collections.abc import Callable

from bench import tables
from celeryspan.decisions import blame, quarantine
from celeryspan.wire import messages

SEEDS = 10
SIMULATED_SECONDS = 40.0
ROUTERS = 6
SLOTS = 48
PROPAGATION_SECONDS = (0.02, 0.4)
"""Range of the time in which a change reaches another router."""

DOWN_SECONDS = 3.5
FATAL_SECONDS = (0.05, 0.3)
"""Range of the time that a fatal request runs before its server crashes."""

RETRY_SECONDS = 0.2
"""Delay after which callers retry a request that was lost or refused."""

ATTEMPTS_MAX = 8
WINDOW_SECONDS = 3.0
"""Time after the third crash from which sends of a fatal request count as late."""

Standing = quarantine.Standing
POLICIES: dict[str, Callable[[quarantine.Quarantine, int], Standing]] = {}


def policy(name: str) -> Callable[[Callable], Callable]:
    """Register a function that decides the standing of a request."""

    def decorate(decide: Callable) -> Callable:
        POLICIES[name] = decide
        return decide

    return decorate


@policy("no quarantine")
def _accept_all(_: quarantine.Quarantine, __: int) -> Standing:
    return Standing.CLEAR


@policy("all after three crashes")
def _count_all(replica: quarantine.Quarantine, whole: int) -> Standing:
    suspect = replica.find_suspect(whole)
    is_quarantined = suspect is not None and len(suspect.strikes) >= 3
    return Standing.QUARANTINED if is_quarantined else Standing.CLEAR


@policy("answers acquit")
def _count_unanswered(replica: quarantine.Quarantine, whole: int) -> Standing:
    suspect = replica.find_suspect(whole)
    strikes = blame.list_strikes(suspect) if suspect else ()
    return Standing.QUARANTINED if len(strikes) >= 3 else Standing.CLEAR


@policy("without isolation")
def _decide_without_isolation(replica: quarantine.Quarantine, whole: int) -> Standing:
    standing = replica.find_standing(whole)
    return Standing.CLEAR if standing is Standing.ISOLATED else standing


@policy("current policy")
def _decide(replica: quarantine.Quarantine, whole: int) -> Standing:
    return replica.find_standing(whole)


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """Servers, load and faults of a simulation; times are in seconds.

    Attributes
    ----------
    rate : float
        Requests per second that do not crash servers.
    fatal_requests : int
        Number of distinct requests that crash servers.
    fatal_interval : float
        Mean time between two copies of each fatal request.
    unrelated_interval : float
        Time between two crashes that no request causes; 0 for none.
    simultaneous : int
        Servers that crash at once in an unrelated crash.
    popular : float
        Fraction of the other requests that are copies of one of five requests.
    restart : float
        Time at which all routers restart and keep only what is in the store; 0 for
        never.
    """

    servers: int = 5
    rate: float = 60.0
    fatal_requests: int = 1
    fatal_interval: float = 0.5
    unrelated_interval: float = 0.0
    simultaneous: int = 1
    popular: float = 0.1
    restart: float = 0.0


PATTERNS = {
    "one fatal request": Pattern(),
    "one fatal request, many copies": Pattern(fatal_interval=0.05),
    "one fatal request, 3 servers": Pattern(servers=3),
    "one fatal request, 50 servers": Pattern(servers=50, rate=120.0),
    "two fatal requests": Pattern(fatal_requests=2),
    "one fatal request, routers restart": Pattern(fatal_interval=1.5, restart=3.0),
    "one fatal request, unrelated crashes": Pattern(unrelated_interval=2.0),
    "unrelated crashes only": Pattern(fatal_requests=0, unrelated_interval=1.0),
    "three servers at once": Pattern(
        fatal_requests=0, unrelated_interval=6.0, simultaneous=3
    ),
}


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a caller with all its attempts.

    Attributes
    ----------
    whole : int
        Hash of the whole request; negative if it crashes servers.
    isolation : int
        The hash if the current run is isolated, else 0.
    """

    whole: int
    seconds: float
    started_at: float
    attempts: int = 0
    trial: int = 0
    sent_at: float = 0.0
    isolation: int = 0

    @property
    def is_fatal(self) -> bool:
        """Whether the request crashes the server that runs it."""
        return self.whole < 0


@dataclasses.dataclass(slots=True)
class Result:
    """Counts of one simulation.

    Attributes
    ----------
    late_sends : int
        Maximum over the fatal requests of the sends after the window that follows the
        third crash.
    refused_innocents : int
        Harmless requests that were refused at least once.
    served, abandoned : int
        Harmless requests that were answered, and those that ran out of attempts.
    """

    crashes: int = 0
    late_sends: int = 0
    refused_innocents: int = 0
    served: int = 0
    abandoned: int = 0


class Simulation:
    """One simulation with a fixed seed."""

    def __init__(self, pattern: Pattern, policy_name: str, seed: int) -> None:
        self.result = Result()
        self._pattern = pattern
        self._find_standing = POLICIES[policy_name]
        self._random = random.Random(seed)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now = 0.0
        self._numbers = itertools.count(1)
        self._incarnations: dict[int, int] = {n: 0 for n in range(pattern.servers)}
        self._runs: dict[int, list[Request]] = {n: [] for n in range(pattern.servers)}
        self._down: set[int] = set()
        self._replicas = [quarantine.Quarantine() for _ in range(ROUTERS)]
        self._stored: dict[int, messages.Suspect] = {}
        self._crash_times: dict[int, list[float]] = collections.defaultdict(list)
        self._send_times: dict[int, list[float]] = collections.defaultdict(list)
        self._refused: set[int] = set()

    def run(self) -> Result:
        """Run the simulation and return its counts."""
        pattern = self._pattern
        self._schedule(0.0, self._send_harmless)
        for number in range(1, pattern.fatal_requests + 1):
            self._schedule(2.0 + number, lambda whole=-number: self._send_fatal(whole))
        if pattern.unrelated_interval:
            self._schedule(pattern.unrelated_interval, self._crash_unrelated)
        if pattern.restart:
            self._schedule(pattern.restart + 2.0, self._restart_routers)
        while self._queue and self._queue[0][0] < SIMULATED_SECONDS:
            self._now, _, action = heapq.heappop(self._queue)
            action()
        self.result.refused_innocents = len(self._refused)
        self.result.late_sends = max(map(self._count_late, self._send_times), default=0)
        return self.result

    def _count_late(self, whole: int) -> int:
        crashes = sorted(self._crash_times[whole])
        if len(crashes) < 3:
            return 0
        return sum(at > crashes[2] + WINDOW_SECONDS for at in self._send_times[whole])

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at, next(self._order), action))

    def _send_harmless(self) -> None:
        pattern = self._pattern
        is_popular = self._random.random() < pattern.popular
        whole = self._random.randrange(1, 6) if is_popular else next(self._numbers) + 10
        seconds = self._random.choice((0.1, 0.3, 0.6, 2.0, 5.0))
        self._send(Request(whole, seconds, self._now))
        self._schedule(
            self._now + self._random.expovariate(pattern.rate), self._send_harmless
        )

    def _send_fatal(self, whole: int) -> None:
        seconds = self._random.uniform(*FATAL_SECONDS)
        self._send(Request(whole, seconds, self._now))
        gap = self._random.expovariate(1.0 / self._pattern.fatal_interval)
        self._schedule(self._now + gap, lambda: self._send_fatal(whole))

    def _send(self, request: Request) -> None:
        """Send a request through a random router."""
        request.attempts += 1
        if request.attempts > ATTEMPTS_MAX:
            self.result.abandoned += not request.is_fatal
            return
        replica = self._random.choice(self._replicas)
        standing = self._find_standing(replica, request.whole)
        if standing is Standing.QUARANTINED:
            if not request.is_fatal:
                self._refused.add(request.whole)
                self._retry_later(request)
            return
        request.isolation = request.whole if standing is Standing.ISOLATED else 0
        server = self._choose_server(request)
        if server is None:
            self._retry_later(request)
            return
        request.trial = quarantine.count_trials(replica.find_suspect(request.whole)) + 1
        request.sent_at = self._now
        self._runs[server].append(request)
        if request.is_fatal:
            self._send_times[request.whole].append(self._now)
        incarnation = self._incarnations[server]
        self._schedule(
            self._now + request.seconds, lambda: self._end(request, server, incarnation)
        )

    def _retry_later(self, request: Request) -> None:
        if not request.is_fatal:
            self._schedule(self._now + RETRY_SECONDS, lambda: self._send(request))

    def _choose_server(self, request: Request) -> int | None:
        open_servers = [
            number
            for number, runs in self._runs.items()
            if number not in self._down and len(runs) < SLOTS
        ]
        if request.isolation:
            isolated = {
                number: {run.isolation for run in runs if run.isolation}
                for number, runs in self._runs.items()
            }
            if any(request.isolation in hashes for hashes in isolated.values()):
                return None
            open_servers = [number for number in open_servers if not isolated[number]]
        if not open_servers:
            return None
        least = min(len(self._runs[number]) for number in open_servers)
        least_loaded = [n for n in open_servers if len(self._runs[n]) <= least + 4]
        return self._random.choice(least_loaded)

    def _end(self, request: Request, server: int, incarnation: int) -> None:
        if (
            self._incarnations[server] != incarnation
            or request not in self._runs[server]
        ):
            return
        if request.is_fatal:
            self._crash_times[request.whole].append(self._now)
            self._crash(server)
            return
        self._runs[server].remove(request)
        self.result.served += 1
        replica = self._random.choice(self._replicas)
        change = replica.acquit(request.whole)
        if change is not None:
            self._propagate(replica, change)

    def _crash_unrelated(self) -> None:
        up = [number for number in self._runs if number not in self._down]
        for server in self._random.sample(up, min(self._pattern.simultaneous, len(up))):
            self._crash(server)
        self._schedule(
            self._now + self._pattern.unrelated_interval, self._crash_unrelated
        )

    def _crash(self, server: int) -> None:
        self.result.crashes += 1
        name = f"{server}@{self._incarnations[server]}"
        lost, self._runs[server] = self._runs[server], []
        self._incarnations[server] += 1
        self._down.add(server)
        self._schedule(self._now + DOWN_SECONDS, lambda: self._down.discard(server))
        for request in lost:
            run_seconds = self._now - request.sent_at
            strike = messages.Strike(
                name,
                self._now_ms(),
                min(request.trial, quarantine.TRIAL_MAX),
                int(run_seconds * 1000),
                run_seconds <= quarantine.PROMPT_SECONDS,
            )
            change = messages.Suspect(
                request.whole & 0xFFFF, request.whole, 0, (strike,)
            )
            self._propagate(self._random.choice(self._replicas), change)
            self._retry_later(request)

    def _propagate(
        self, first: quarantine.Quarantine, change: messages.Suspect
    ) -> None:
        """Merge a change into one replica and the store now, into others later."""
        first.merge([change], self._now_ms())
        merged = first.find_suspect(change.whole)
        if merged is None:
            return
        self._stored[change.whole] = merged
        for replica in self._replicas:
            if replica is not first:
                delay = self._random.uniform(*PROPAGATION_SECONDS)
                self._schedule(
                    self._now + delay,
                    lambda replica=replica: replica.merge([merged], self._now_ms()),
                )

    def _restart_routers(self) -> None:
        self._replicas = [quarantine.Quarantine() for _ in range(ROUTERS)]
        for replica in self._replicas:
            replica.merge(self._stored.values(), self._now_ms())

    def _now_ms(self) -> int:
        return 1_000 + int(self._now * 1000)


def simulate(pattern: Pattern, policy_name: str, seeds: int) -> list[Result]:
    """Run a pattern under one policy for each of the first seeds."""
    return [Simulation(pattern, policy_name, seed).run() for seed in range(seeds)]


def measure(pattern: str, policy_name: str, seeds: int) -> dict[str, object]:
    """Return means over the seeds, but the maximum of the late sends."""
    results = simulate(PATTERNS[pattern], policy_name, seeds)

    def mean(field: str) -> float:
        return round(statistics.mean(getattr(each, field) for each in results), 1)

    return {
        "crashes": mean("crashes"),
        "late sends": max(each.late_sends for each in results),
        "refused innocents": mean("refused_innocents"),
        "abandoned": mean("abandoned"),
        "served": mean("served"),
    }


def run(arguments: list[str]) -> int:
    """Print one table per pattern with a row per policy."""
    seeds = int(arguments[0]) if arguments else SEEDS
    tables.print_patterns(
        PATTERNS, POLICIES, lambda pattern, name: measure(pattern, name, seeds)
    )
    return 0
