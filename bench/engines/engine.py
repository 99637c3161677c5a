"""One emulated engine: each step prefills a chunk and decodes a token for each run."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Sequence

from bench.engines import site
from celeryspan import ids
from celeryspan.wire import messages


@dataclasses.dataclass(slots=True)
class Job:
    """A request at an engine.

    Attributes
    ----------
    output_tokens : int
        Number of tokens after which the answer ends.
    remaining_prompt_tokens, context_tokens : int
        Tokens still to be prefilled, and tokens in the KV cache of the run.
    generated_tokens : int
        Tokens decoded so far.
    prefilled_tokens, recomputed_tokens : int
        Tokens that were not cached at this engine, and those in parts that some engine
        had already prefilled.
    events : list of float
        Times at which events were emitted.
    """

    ask: messages.SlotRequest
    output_tokens: int
    remaining_prompt_tokens: int
    context_tokens: int
    generated_tokens: int = 0
    prefilled_tokens: int = 0
    recomputed_tokens: int = 0
    started: float = 0.0
    engine: ids.ServerId | None = None
    events: list[float] = dataclasses.field(default_factory=list)


class Engine:
    """Runs jobs step by step; the caller advances the clock.

    Attributes
    ----------
    prefills : list of (time, seconds)
        End and prefill time of each step that prefilled anything.
    runs : int
        Number of jobs started or resumed here.
    next_step_at : float or None
        End of the last step, when the next one starts; None if the engine is idle.
    """

    def __init__(
        self, name: ids.ServerId, deployment: site.Site, slowdown: float
    ) -> None:
        self.name = name
        self.prefills: list[tuple[float, float]] = []
        self.runs = 0
        self.next_step_at: float | None = None
        self._site = deployment
        self._slowdown = slowdown
        self._prefilling: collections.deque[Job] = collections.deque()
        self._decoding: list[Job] = []
        self._cache: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._cached_tokens = 0

    def count_cached(self, parts: Sequence[messages.PromptPart]) -> int:
        """Return how many of the leading parts are cached."""
        count = 0
        for part in parts:
            if part.part not in self._cache:
                break
            count += 1
        return count

    def cache_parts(self, parts: Sequence[messages.PromptPart]) -> None:
        """Add parts to the prefix cache, the last one as the least recently used."""
        for part in reversed(parts):
            self._cached_tokens += part.tokens - self._cache.pop(part.part, 0)
            self._cache[part.part] = part.tokens

    def add(self, job: Job, known_parts: set[str], now: float) -> None:
        """Admit a job; ``known_parts`` are the parts that any engine has prefilled."""
        cached, recomputed = 0, 0
        is_prefix_cached = True
        for part in job.ask.parts:
            is_prefix_cached = is_prefix_cached and part.part in self._cache
            if is_prefix_cached:
                cached += part.tokens
                self._cache.move_to_end(part.part)
            elif part.part in known_parts:
                recomputed += part.tokens
        job.remaining_prompt_tokens = max(1, job.ask.prompt_tokens - cached)
        job.context_tokens = cached
        job.prefilled_tokens, job.recomputed_tokens = (
            job.remaining_prompt_tokens,
            recomputed,
        )
        job.started, job.engine = now, self.name
        self._prefilling.append(job)
        self.runs += 1
        if self.next_step_at is None:
            self.next_step_at = now

    def remove(self, job: Job) -> bool:
        """Remove a job that is decoding; returns whether it was found."""
        if job not in self._decoding:
            return False
        self._decoding.remove(job)
        return True

    def resume(self, job: Job, now: float) -> None:
        """Continue decoding a job that was prefilled at another engine."""
        job.engine = self.name
        self._decoding.append(job)
        self.runs += 1
        if self.next_step_at is None:
            self.next_step_at = now

    def step(self, known_parts: set[str]) -> tuple[list[Job], list[Job]]:
        """Run one step; returns the jobs that emitted an event and those that ended."""
        assert self.next_step_at is not None
        seconds = self._site.step_seconds
        seconds += self._site.step_run_seconds * len(self._decoding)
        prefill_seconds, prefilled = self._prefill_chunk()
        seconds = (seconds + prefill_seconds) * self._slowdown
        self.next_step_at += seconds
        if prefill_seconds:
            self.prefills.append((self.next_step_at, prefill_seconds * self._slowdown))
        emitted, ended = [], []
        for job in list(self._decoding):
            job.generated_tokens += 1
            job.context_tokens += 1
            if (
                job.generated_tokens % self._site.stride == 0
                or job.generated_tokens >= job.output_tokens
            ):
                job.events.append(self.next_step_at)
                emitted.append(job)
            if job.generated_tokens >= job.output_tokens:
                self._decoding.remove(job)
                ended.append(job)
        for job in prefilled:
            self._cache_prompt(job, known_parts)
            self._decoding.append(job)
        if not self._decoding and not self._prefilling:
            self.next_step_at = None
        return emitted, ended

    def count(self) -> int:
        """Return the number of jobs in progress."""
        return len(self._prefilling) + len(self._decoding)

    def _prefill_chunk(self) -> tuple[float, list[Job]]:
        """Prefill up to one chunk in order of arrival.

        Returns the time that it takes and the jobs whose prompt is complete.
        """
        remaining, seconds, prefilled = self._site.chunk_tokens, 0.0, []
        while remaining and self._prefilling:
            job = self._prefilling[0]
            tokens = min(remaining, job.remaining_prompt_tokens)
            pairs = tokens * job.context_tokens + tokens * tokens / 2
            seconds += tokens * self._site.token_seconds
            seconds += pairs * self._site.pair_seconds
            job.remaining_prompt_tokens -= tokens
            job.context_tokens += tokens
            remaining -= tokens
            if not job.remaining_prompt_tokens:
                prefilled.append(self._prefilling.popleft())
        return seconds, prefilled

    def _cache_prompt(self, job: Job, known_parts: set[str]) -> None:
        """Cache the parts of a prompt, then evict until the cache fits in memory."""
        for part in reversed(job.ask.parts):
            self._cached_tokens += part.tokens - self._cache.pop(part.part, 0)
            self._cache[part.part] = part.tokens
            known_parts.add(part.part)
        running = sum(
            each.context_tokens for each in (*self._decoding, *self._prefilling)
        )
        while self._cache and self._cached_tokens + running > self._site.memory_tokens:
            _, tokens = self._cache.popitem(last=False)
            self._cached_tokens -= tokens
