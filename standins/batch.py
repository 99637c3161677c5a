"""Continuous batching of a model engine: runs, slots, prefix cache, tokens in time."""

from __future__ import annotations

import collections
import dataclasses
import enum
import hashlib
import math
import random
import threading
import time
from collections.abc import Callable, Iterator

from standins import prefixes

STEP_SECONDS_MIN = 0.002
"""The batch is looked at no more often than this; faster tokens come several a step."""

CACHE_EVENTS_KEPT = 4096

LENGTH_SIGMA = 0.8
"""Spread of answer lengths around their median: lognormal, a few are far longer."""


class RunState(enum.Enum):
    """How far one run of a request has come."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """One run of one request; its tokens stay readable after the end."""

    request: str
    digest: str
    length: int
    prompt: list[str]
    started: float
    state: RunState = RunState.WAITING
    cached_tokens: int = 0
    ready: float = 0.0
    done_tokens: int = 0

    def render_tokens(self, start: int, end: int) -> list[str]:
        """Return tokens by position; each names its prompt, so that mixing shows."""
        return [f"{self.digest}.{place} " for place in range(start, end)]

    def is_over(self) -> bool:
        """Return whether no further token will come."""
        return self.state in (RunState.DONE, RunState.CANCELLED)


@dataclasses.dataclass(slots=True)
class Speeds:
    """How fast a batch works.

    Attributes
    ----------
    token_seconds : float
        Time between two tokens of one run, in seconds; 0 gives all at once.
    prefill_seconds : float
        Time for each prompt token that is not in the cache, in seconds.
    """

    token_seconds: float = 0.01
    prefill_seconds: float = 0.0002


class Batch:
    """Runs requests in slots, one token of each at a time.

    Parameters
    ----------
    changed : callable
        Called whenever a run starts or ends.
    """

    def __init__(
        self,
        *,
        slots: int,
        cache_blocks: int,
        speeds: Speeds,
        changed: Callable[[], None],
    ) -> None:
        self.slots = slots
        self.speeds = speeds
        self.cache = PrefixCache(cache_blocks)
        self.runs: list[Run] = []
        self.waiting: collections.deque[Run] = collections.deque()
        self.running: list[Run] = []
        self.tokens_total = 0
        self._latest: dict[str, Run] = {}
        self._report_change = changed
        self._changed = threading.Condition()
        self._stopping = False
        self._thread = threading.Thread(target=self._work, name="batch", daemon=True)

    def start(self) -> None:
        """Generate in a thread."""
        self._thread.start()

    def stop(self) -> None:
        """End generation; readers see the tokens so far and no end."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        if self._thread.is_alive():
            self._thread.join()

    def add(self, request: str, messages: list[dict], length: int) -> Run:
        """Queue one run."""
        prompt = prefixes.split_tokens(messages)
        run = Run(request, digest_prompt(messages), length, prompt, time.time())
        with self._changed:
            self.runs.append(run)
            self._latest[request] = run
            self.waiting.append(run)
            self._changed.notify_all()
        return run

    def find(self, request: str) -> Run | None:
        """Return the newest run of a request."""
        return self._latest.get(request)

    def cancel(self, run: Run) -> None:
        """End a run at once."""
        with self._changed:
            if run.is_over():
                return
            run.state = RunState.CANCELLED
            if run in self.running:
                self.running.remove(run)
            else:
                self.waiting.remove(run)
            self._changed.notify_all()
        self._report_change()

    def read(self, run: Run, offset: int) -> Iterator[tuple[int, list[str]]]:
        """Yield tokens from an offset on, as they come, until the run is over."""
        while True:
            with self._changed:
                while run.done_tokens <= offset:
                    if run.is_over() or self._stopping:
                        return
                    self._changed.wait()
                end = run.done_tokens
            yield offset, run.render_tokens(offset, end)
            offset = end

    def _work(self) -> None:
        while True:
            with self._changed:
                while not (self.running or self.waiting or self._stopping):
                    self._changed.wait()
                if self._stopping:
                    return
                before = len(self.running)
                self._admit()
                ended = self._generate(time.monotonic())
                if ended or len(self.running) != before:
                    self._report_change()
            step = max(self.speeds.token_seconds, STEP_SECONDS_MIN)
            if not (ended and self.waiting):
                time.sleep(step)

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.slots:
            run = self.waiting.popleft()
            hits = self.cache.use(prefixes.chain_blocks(run.prompt))
            run.cached_tokens = hits * prefixes.BLOCK_TOKENS
            missing = len(run.prompt) - run.cached_tokens
            run.ready = time.monotonic() + missing * self.speeds.prefill_seconds
            run.state = RunState.RUNNING
            self.running.append(run)

    def _generate(self, now: float) -> bool:
        ended = False
        for run in list(self.running):
            due = run.length
            if self.speeds.token_seconds > 0:
                due = math.floor((now - run.ready) / self.speeds.token_seconds) + 1
            due = max(run.done_tokens, min(due, run.length))
            self.tokens_total += due - run.done_tokens
            run.done_tokens = due
            if due == run.length:
                run.state = RunState.DONE
                self.running.remove(run)
                ended = True
        self._changed.notify_all()
        return ended


class PrefixCache:
    """Blocks in order of last use; the least recently used is evicted."""

    def __init__(self, blocks_max: int) -> None:
        self.blocks_max = blocks_max
        self.lag_seconds = 0.0
        self.gap_every = 0
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._events: collections.deque[tuple[float, dict]] = collections.deque(
            maxlen=CACHE_EVENTS_KEPT
        )
        self._sequence = 0

    def use(self, blocks: list[int]) -> int:
        """Store the blocks of a prompt; return how many of the first were there."""
        hits = 0
        for block in blocks:
            if block not in self._blocks:
                break
            hits += 1
        for block in blocks:
            if block not in self._blocks:
                self._publish("stored", block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.blocks_max:
            block, _ = self._blocks.popitem(last=False)
            self._publish("evicted", block)
        return hits

    def show_events(self, after: int) -> dict:
        """Return the published events above a number; some are missing for good."""
        now = time.monotonic()
        events = [event for visible, event in list(self._events) if visible <= now]
        last = max((event["seq"] for event in events), default=0)
        return {
            "events": [
                event
                for event in events
                if event["seq"] > after
                and not (self.gap_every and event["seq"] % self.gap_every == 0)
            ],
            "last": last,
        }

    def _publish(self, kind: str, block: int) -> None:
        self._sequence += 1
        event = {"seq": self._sequence, "kind": kind, "block": block}
        self._events.append((time.monotonic() + self.lag_seconds, event))


def digest_prompt(messages: list[dict]) -> str:
    """Return a short name of a prompt, which each token of its answer carries."""
    text = "\n".join(f"{item['role']}\n{item['content']}" for item in messages)
    return hashlib.sha256(text.encode()).hexdigest()[:8]


def draw_length(messages: list[dict], median: float, longest: int) -> int:
    """Return an answer's length, the same each time for the same prompt."""
    seeded = random.Random(digest_prompt(messages))
    drawn = seeded.lognormvariate(math.log(median), LENGTH_SIGMA)
    return max(1, min(round(drawn), longest))
