"""Plays requests that crash servers to ways of telling them from others.

``make bench NAME=crashing`` prints for each pattern and way how many servers crashed
and what became of the other requests; ``ARGUMENTS=SEEDS`` names how many seeds are
played. Routers, servers and callers share one virtual clock; each router has a memory
of its own, and news take a while.
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
from celeryspan.decisions import quarantine
from celeryspan.wire import messages

SEEDS = 10
DAY_SECONDS = 40.0
ROUTERS = 6
SLOTS = 48
NEWS_SECONDS = (0.02, 0.4)
DOWN_SECONDS = 3.5
FATAL_SECONDS = (0.05, 0.3)
RETURN_SECONDS = 0.2
"""After which a caller whose answer was lost or refused comes again."""

TRIES_MAX = 8
WINDOW_SECONDS = 3.0
"""From the third crash on; later sends of the cause count."""

Standing = quarantine.Standing
WAYS: dict[str, Callable[[quarantine.Quarantine, int], Standing]] = {}


def way(name: str) -> Callable[[Callable], Callable]:
    """Put a way of judging a request into the registry."""

    def decorate(judge: Callable) -> Callable:
        WAYS[name] = judge
        return judge

    return decorate


@way("no memory")
def _forget(_: quarantine.Quarantine, __: int) -> Standing:
    return Standing.CLEAR


@way("all with three crashes")
def _count(known: quarantine.Quarantine, whole: int) -> Standing:
    suspect = known.find_suspect(whole)
    is_held = suspect is not None and len(suspect.strikes) >= 3
    return Standing.QUARANTINED if is_held else Standing.CLEAR


@way("answers acquit")
def _count_unanswered(known: quarantine.Quarantine, whole: int) -> Standing:
    suspect = known.find_suspect(whole)
    strikes = quarantine.list_strikes(suspect) if suspect else ()
    return Standing.QUARANTINED if len(strikes) >= 3 else Standing.CLEAR


@way("without isolation")
def _judge_together(known: quarantine.Quarantine, whole: int) -> Standing:
    standing = known.find_standing(whole)
    return Standing.CLEAR if standing is Standing.ISOLATED else standing


@way("as decided")
def _judge(known: quarantine.Quarantine, whole: int) -> Standing:
    return known.find_standing(whole)


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """What happens on a day.

    Attributes
    ----------
    causes : int
        Requests that crash servers.
    cause_seconds : float
        Between two copies of each.
    chance_seconds : float
        Between two crashes of other causes; 0 for none.
    together : int
        Servers that such a crash takes at once.
    popular : float
        Share of the others that ask one of five things.
    restart : float
        When all routers lose their memory but for what is in the store; 0 for never.
    """

    servers: int = 5
    rate: float = 60.0
    causes: int = 1
    cause_seconds: float = 0.5
    chance_seconds: float = 0.0
    together: int = 1
    popular: float = 0.1
    restart: float = 0.0


PATTERNS = {
    "one cause": Pattern(),
    "one cause, many copies": Pattern(cause_seconds=0.05),
    "one cause, 3 servers": Pattern(servers=3),
    "one cause, 50 servers": Pattern(servers=50, rate=120.0),
    "two causes": Pattern(causes=2),
    "one cause, routers restart": Pattern(cause_seconds=1.5, restart=3.0),
    "one cause, other crashes": Pattern(chance_seconds=2.0),
    "other crashes only": Pattern(causes=0, chance_seconds=1.0),
    "three servers at once": Pattern(causes=0, chance_seconds=6.0, together=3),
}


@dataclasses.dataclass(slots=True)
class Ask:
    """One request of a caller, through all its tries."""

    whole: int
    seconds: float
    began_at: float
    tries: int = 0
    trial: int = 0
    sent_at: float = 0.0
    isolation: int = 0

    @property
    def is_cause(self) -> bool:
        """Whether it crashes servers."""
        return self.whole < 0


@dataclasses.dataclass(slots=True)
class Result:
    """What came of one day.

    Attributes
    ----------
    late_sends : int
        The most sends of one cause later than the window after its third crash.
    held : int
        Requests that are no cause and were refused at least once.
    served, given_up : int
        Other requests that got an answer, and those whose tries ran out.
    """

    crashes: int = 0
    late_sends: int = 0
    held: int = 0
    served: int = 0
    given_up: int = 0


class Day:
    """One seeded day."""

    def __init__(self, pattern: Pattern, way_name: str, seed: int) -> None:
        self.result = Result()
        self._pattern = pattern
        self._judge = WAYS[way_name]
        self._random = random.Random(seed)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now = 0.0
        self._names = itertools.count(1)
        self._lives: dict[int, int] = {n: 0 for n in range(pattern.servers)}
        self._runs: dict[int, list[Ask]] = {n: [] for n in range(pattern.servers)}
        self._down: set[int] = set()
        self._memories = [quarantine.Quarantine() for _ in range(ROUTERS)]
        self._stored: dict[int, messages.Suspect] = {}
        self._crashed: dict[int, list[float]] = collections.defaultdict(list)
        self._sent: dict[int, list[float]] = collections.defaultdict(list)
        self._held: set[int] = set()

    def play(self) -> Result:
        """Play the day."""
        pattern = self._pattern
        self._at(0.0, self._send_other)
        for cause in range(1, pattern.causes + 1):
            self._at(2.0 + cause, lambda whole=-cause: self._send_cause(whole))
        if pattern.chance_seconds:
            self._at(pattern.chance_seconds, self._crash_by_chance)
        if pattern.restart:
            self._at(pattern.restart + 2.0, self._restart_routers)
        while self._queue and self._queue[0][0] < DAY_SECONDS:
            self._now, _, act = heapq.heappop(self._queue)
            act()
        self.result.held = len(self._held)
        self.result.late_sends = max(map(self._count_late, self._sent), default=0)
        return self.result

    def _count_late(self, whole: int) -> int:
        crashes = sorted(self._crashed[whole])
        if len(crashes) < 3:
            return 0
        return sum(at > crashes[2] + WINDOW_SECONDS for at in self._sent[whole])

    def _at(self, at: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at, next(self._order), act))

    def _send_other(self) -> None:
        pattern = self._pattern
        is_popular = self._random.random() < pattern.popular
        whole = self._random.randrange(1, 6) if is_popular else next(self._names) + 10
        seconds = self._random.choice((0.1, 0.3, 0.6, 2.0, 5.0))
        self._try(Ask(whole, seconds, self._now))
        self._at(self._now + self._random.expovariate(pattern.rate), self._send_other)

    def _send_cause(self, whole: int) -> None:
        seconds = self._random.uniform(*FATAL_SECONDS)
        self._try(Ask(whole, seconds, self._now))
        gap = self._random.expovariate(1.0 / self._pattern.cause_seconds)
        self._at(self._now + gap, lambda: self._send_cause(whole))

    def _try(self, ask: Ask) -> None:
        """Send a request by any router."""
        ask.tries += 1
        if ask.tries > TRIES_MAX:
            self.result.given_up += not ask.is_cause
            return
        memory = self._random.choice(self._memories)
        standing = self._judge(memory, ask.whole)
        if standing is Standing.QUARANTINED:
            if not ask.is_cause:
                self._held.add(ask.whole)
                self._try_later(ask)
            return
        ask.isolation = ask.whole if standing is Standing.ISOLATED else 0
        server = self._choose_server(ask)
        if server is None:
            self._try_later(ask)
            return
        ask.trial = quarantine.count_trials(memory.find_suspect(ask.whole)) + 1
        ask.sent_at = self._now
        self._runs[server].append(ask)
        if ask.is_cause:
            self._sent[ask.whole].append(self._now)
        life = self._lives[server]
        self._at(self._now + ask.seconds, lambda: self._end(ask, server, life))

    def _try_later(self, ask: Ask) -> None:
        if not ask.is_cause:
            self._at(self._now + RETURN_SECONDS, lambda: self._try(ask))

    def _choose_server(self, ask: Ask) -> int | None:
        open_servers = [
            number
            for number, runs in self._runs.items()
            if number not in self._down and len(runs) < SLOTS
        ]
        if ask.isolation:
            apart = {
                number: {run.isolation for run in runs if run.isolation}
                for number, runs in self._runs.items()
            }
            if any(ask.isolation in found for found in apart.values()):
                return None
            open_servers = [number for number in open_servers if not apart[number]]
        if not open_servers:
            return None
        least = min(len(self._runs[number]) for number in open_servers)
        few = [n for n in open_servers if len(self._runs[n]) <= least + 4]
        return self._random.choice(few)

    def _end(self, ask: Ask, server: int, life: int) -> None:
        if self._lives[server] != life or ask not in self._runs[server]:
            return
        if ask.is_cause:
            self._crashed[ask.whole].append(self._now)
            self._crash(server)
            return
        self._runs[server].remove(ask)
        self.result.served += 1
        memory = self._random.choice(self._memories)
        word = memory.acquit(ask.whole)
        if word is not None:
            self._spread(memory, word)

    def _crash_by_chance(self) -> None:
        up = [number for number in self._runs if number not in self._down]
        for server in self._random.sample(up, min(self._pattern.together, len(up))):
            self._crash(server)
        self._at(self._now + self._pattern.chance_seconds, self._crash_by_chance)

    def _crash(self, server: int) -> None:
        self.result.crashes += 1
        name = f"{server}@{self._lives[server]}"
        lost, self._runs[server] = self._runs[server], []
        self._lives[server] += 1
        self._down.add(server)
        self._at(self._now + DOWN_SECONDS, lambda: self._down.discard(server))
        for ask in lost:
            run_seconds = self._now - ask.sent_at
            strike = messages.Strike(
                name,
                self._now_ms(),
                min(ask.trial, quarantine.TRIAL_MAX),
                int(run_seconds * 1000),
                run_seconds <= quarantine.PROMPT_SECONDS,
            )
            word = messages.Suspect(ask.whole & 0xFFFF, ask.whole, 0, (strike,))
            self._spread(self._random.choice(self._memories), word)
            self._try_later(ask)

    def _spread(self, first: quarantine.Quarantine, word: messages.Suspect) -> None:
        """Let one router know at once, the others and the store a little later."""
        first.merge([word], self._now_ms())
        known = first.find_suspect(word.whole)
        if known is None:
            return
        self._stored[word.whole] = known
        for memory in self._memories:
            if memory is not first:
                delay = self._random.uniform(*NEWS_SECONDS)
                self._at(
                    self._now + delay,
                    lambda memory=memory: memory.merge([known], self._now_ms()),
                )

    def _restart_routers(self) -> None:
        self._memories = [quarantine.Quarantine() for _ in range(ROUTERS)]
        for memory in self._memories:
            memory.merge(self._stored.values(), self._now_ms())

    def _now_ms(self) -> int:
        return 1_000 + int(self._now * 1000)


def play(pattern: Pattern, way_name: str, seeds: int) -> list[Result]:
    """Play some seeds of a pattern."""
    return [Day(pattern, way_name, seed).play() for seed in range(seeds)]


def measure(pattern: str, way_name: str, seeds: int) -> dict[str, object]:
    """Return means over the seeds; of late sends the most."""
    found = play(PATTERNS[pattern], way_name, seeds)

    def mean(field: str) -> float:
        return round(statistics.mean(getattr(each, field) for each in found), 1)

    return {
        "crashes": mean("crashes"),
        "late sends": max(each.late_sends for each in found),
        "innocents held": mean("held"),
        "given up": mean("given_up"),
        "served": mean("served"),
    }


def run(arguments: list[str]) -> int:
    """Print what came of each pattern and way."""
    seeds = int(arguments[0]) if arguments else SEEDS
    tables.print_patterns(
        PATTERNS, WAYS, lambda pattern, name: measure(pattern, name, seeds)
    )
    return 0
