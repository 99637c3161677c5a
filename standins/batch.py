"""Simulates a model engine's continuous batching, prefix cache and token timing."""

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
"""Minimum time between two steps; at faster rates a step emits several tokens."""

CACHE_EVENTS_MAX = 4096

LENGTH_SIGMA = 0.8
"""Sigma of the lognormal distribution of answer lengths, which has a long tail."""


class RunState(enum.Enum):
    """Progress of a run."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """One execution of a request; its tokens stay readable after it ends."""

    request: str
    digest: str
    length: int
    prompt: list[str]
    started: float
    state: RunState = RunState.WAITING
    cached_tokens: int = 0
    prefilled_at: float = 0.0
    done_tokens: int = 0

    def render_tokens(self, start: int, end: int) -> list[str]:
        """Return a range of tokens; each holds the digest, which exposes mix-ups."""
        return [f"{self.digest}.{index} " for index in range(start, end)]

    def is_finished(self) -> bool:
        """Return whether the run produces no further tokens."""
        return self.state in (RunState.DONE, RunState.CANCELLED)


@dataclasses.dataclass(slots=True)
class Timings:
    """Time that a batch takes for prefill and for each token.

    Attributes
    ----------
    token_seconds : float
        Time between two tokens of a run, in seconds; 0 produces all at once.
    prefill_seconds : float
        Time per prompt token that is not in the cache, in seconds.
    """

    token_seconds: float = 0.01
    prefill_seconds: float = 0.0002


class Batch:
    """Runs up to ``slots`` requests concurrently and queues the rest.

    Parameters
    ----------
    on_change : callable
        Called whenever a run starts or ends.
    """

    def __init__(
        self,
        *,
        slots: int,
        cache_blocks: int,
        timings: Timings,
        on_change: Callable[[], None],
    ) -> None:
        self.slots = slots
        self.timings = timings
        self.cache = PrefixCache(cache_blocks)
        self.runs: list[Run] = []
        self.waiting: collections.deque[Run] = collections.deque()
        self.running: list[Run] = []
        self.tokens_total = 0
        self._latest: dict[str, Run] = {}
        self._on_change = on_change
        self._changed = threading.Condition()
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="batch", daemon=True)

    def start(self) -> None:
        """Start generating in a thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop generating; readers get the tokens so far, without an end."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        if self._thread.is_alive():
            self._thread.join()

    def add(self, request: str, messages: list[dict], length: int) -> Run:
        """Queue a run of a request."""
        prompt = prefixes.split_tokens(messages)
        run = Run(request, digest_prompt(messages), length, prompt, time.time())
        with self._changed:
            self.runs.append(run)
            self._latest[request] = run
            self.waiting.append(run)
            self._changed.notify_all()
        return run

    def find(self, request: str) -> Run | None:
        """Return the latest run of a request, or None."""
        return self._latest.get(request)

    def cancel(self, run: Run) -> None:
        """Cancel a run immediately."""
        with self._changed:
            if run.is_finished():
                return
            run.state = RunState.CANCELLED
            if run in self.running:
                self.running.remove(run)
            else:
                self.waiting.remove(run)
            self._changed.notify_all()
        self._on_change()

    def read(self, run: Run, offset: int) -> Iterator[tuple[int, list[str]]]:
        """Yield tokens from an offset on, as they are generated, until the run ends."""
        while True:
            with self._changed:
                while run.done_tokens <= offset:
                    if run.is_finished() or self._stopping:
                        return
                    self._changed.wait()
                end = run.done_tokens
            yield offset, run.render_tokens(offset, end)
            offset = end

    def _run(self) -> None:
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
                    self._on_change()
            step = max(self.timings.token_seconds, STEP_SECONDS_MIN)
            if not (ended and self.waiting):
                time.sleep(step)

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.slots:
            run = self.waiting.popleft()
            hits = self.cache.store(prefixes.hash_blocks(run.prompt))
            run.cached_tokens = hits * prefixes.BLOCK_TOKENS
            missing = len(run.prompt) - run.cached_tokens
            run.prefilled_at = time.monotonic() + missing * self.timings.prefill_seconds
            run.state = RunState.RUNNING
            self.running.append(run)

    def _generate(self, now: float) -> bool:
        ended = False
        for run in list(self.running):
            generated = run.length
            if self.timings.token_seconds > 0:
                generated = (
                    math.floor((now - run.prefilled_at) / self.timings.token_seconds)
                    + 1
                )
            generated = max(run.done_tokens, min(generated, run.length))
            self.tokens_total += generated - run.done_tokens
            run.done_tokens = generated
            if generated == run.length:
                run.state = RunState.DONE
                self.running.remove(run)
                ended = True
        self._changed.notify_all()
        return ended


class PrefixCache:
    """LRU cache of prompt blocks that publishes its changes as events."""

    def __init__(self, blocks_max: int) -> None:
        self.blocks_max = blocks_max
        self.lag_seconds = 0.0
        self.gap_every = 0
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._events: collections.deque[tuple[float, dict]] = collections.deque(
            maxlen=CACHE_EVENTS_MAX
        )
        self._sequence = 0

    def store(self, blocks: list[int]) -> int:
        """Store the blocks of a prompt; returns how many leading blocks were cached."""
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

    def list_events(self, after: int) -> dict:
        """Return the visible events after a number.

        If ``gap_every`` is set, every event whose number it divides is left out for
        good, as if it had been lost.
        """
        now = time.monotonic()
        events = [
            event for visible_at, event in list(self._events) if visible_at <= now
        ]
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
    """Return a short digest of a prompt; each token of its answer contains it."""
    text = "\n".join(f"{item['role']}\n{item['content']}" for item in messages)
    return hashlib.sha256(text.encode()).hexdigest()[:8]


def sample_length(messages: list[dict], median: float, limit: int) -> int:
    """Return a random answer length, which is the same for equal prompts."""
    generator = random.Random(digest_prompt(messages))
    length = generator.lognormvariate(math.log(median), LENGTH_SIGMA)
    return max(1, min(round(length), limit))
