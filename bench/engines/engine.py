"""One model engine: each step reads a chunk of prompts and makes a token a run."""

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
    unread, context : int
        Tokens still to be read, and tokens in memory.
    made : int
        Tokens made so far.
    events : list of float
        Times at which events came.
    """

    ask: messages.SlotRequest
    tokens: int
    unread: int
    context: int
    made: int = 0
    read: int = 0
    read_again: int = 0
    started: float = 0.0
    engine: ids.ServerId | None = None
    events: list[float] = dataclasses.field(default_factory=list)


class Engine:
    """Runs jobs step by step; the caller keeps the clock.

    Attributes
    ----------
    reads : list of (time, seconds)
        Reading done in each step that read anything.
    runs : int
        Jobs that have begun.
    """

    def __init__(self, name: ids.ServerId, place: site.Site, speed: float) -> None:
        self.name = name
        self.reads: list[tuple[float, float]] = []
        self.runs = 0
        self.next_at: float | None = None
        self._site = place
        self._speed = speed
        self._reading: collections.deque[Job] = collections.deque()
        self._making: list[Job] = []
        self._kept: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._kept_tokens = 0

    def count_kept(self, parts: Sequence[messages.PromptPart]) -> int:
        """Return how many of the leading parts are kept."""
        kept = 0
        for part in parts:
            if part.part not in self._kept:
                break
            kept += 1
        return kept

    def take_parts(self, parts: Sequence[messages.PromptPart]) -> None:
        """Keep parts that were copied from another engine."""
        for part in reversed(parts):
            self._kept_tokens += part.tokens - self._kept.pop(part.part, 0)
            self._kept[part.part] = part.tokens

    def add(self, job: Job, known: set[str], now: float) -> None:
        """Admit a job; ``known`` are the parts that some engine has read."""
        kept, again = 0, 0
        is_chain = True
        for part in job.ask.parts:
            is_chain = is_chain and part.part in self._kept
            if is_chain:
                kept += part.tokens
                self._kept.move_to_end(part.part)
            elif part.part in known:
                again += part.tokens
        job.unread = max(1, job.ask.prompt_tokens - kept)
        job.context = kept
        job.read, job.read_again = job.unread, again
        job.started, job.engine = now, self.name
        self._reading.append(job)
        self.runs += 1
        if self.next_at is None:
            self.next_at = now

    def take_out(self, job: Job) -> bool:
        """Stop a job that makes tokens; returns whether there was one."""
        if job not in self._making:
            return False
        self._making.remove(job)
        return True

    def take_in(self, job: Job, now: float) -> None:
        """Go on with a job that was read elsewhere."""
        job.engine = self.name
        self._making.append(job)
        self.runs += 1
        if self.next_at is None:
            self.next_at = now

    def step(self, known: set[str]) -> tuple[list[Job], list[Job]]:
        """Take one step; returns the jobs that made an event and those that ended."""
        assert self.next_at is not None
        seconds = self._site.step_seconds
        seconds += self._site.step_run_seconds * len(self._making)
        read, done = self._read_chunk()
        seconds = (seconds + read) * self._speed
        self.next_at += seconds
        if read:
            self.reads.append((self.next_at, read * self._speed))
        spoke, ended = [], []
        for job in list(self._making):
            job.made += 1
            job.context += 1
            if job.made % self._site.stride == 0 or job.made >= job.tokens:
                job.events.append(self.next_at)
                spoke.append(job)
            if job.made >= job.tokens:
                self._making.remove(job)
                ended.append(job)
        for job in done:
            self._keep(job, known)
            self._making.append(job)
        if not self._making and not self._reading:
            self.next_at = None
        return spoke, ended

    def count(self) -> int:
        """Return the jobs in progress."""
        return len(self._reading) + len(self._making)

    def _read_chunk(self) -> tuple[float, list[Job]]:
        """Read up to a chunk of the prompts in order; returns time and ended ones."""
        left, seconds, done = self._site.chunk_tokens, 0.0, []
        while left and self._reading:
            job = self._reading[0]
            tokens = min(left, job.unread)
            pairs = tokens * job.context + tokens * tokens / 2
            seconds += tokens * self._site.token_seconds
            seconds += pairs * self._site.pair_seconds
            job.unread -= tokens
            job.context += tokens
            left -= tokens
            if not job.unread:
                done.append(self._reading.popleft())
        return seconds, done

    def _keep(self, job: Job, known: set[str]) -> None:
        for part in reversed(job.ask.parts):
            self._kept_tokens += part.tokens - self._kept.pop(part.part, 0)
            self._kept[part.part] = part.tokens
            known.add(part.part)
        running = sum(each.context for each in (*self._making, *self._reading))
        while self._kept and self._kept_tokens + running > self._site.memory_tokens:
            _, tokens = self._kept.popitem(last=False)
            self._kept_tokens -= tokens
