"""What the home of a pool knows of one backend server, and learns from its runs.

Load answered: servers of the same service that are slow, dark or start anew, and whose
own reports are late. What a server does is predicted from what was sent to it, and the
prediction is corrected by when first events and answers come.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from celeryspan import catalog, ids, states
from celeryspan.decisions import promptcache, serverhealth

if TYPE_CHECKING:
    from celeryspan.wire import messages

PENDING_PREFILL_SECONDS_MAX = 0.1
"""Reading pending at one engine beyond which nothing is sent there: a sixth of the
shortest objective that streams have."""

SLOWDOWN_FALL_WEIGHT = 0.3
SLOWDOWN_RISE_WEIGHT = 0.05
"""Part of the way that a server's speed follows one reading, down and up. A router with
much to do tells late of first events, so that readings seem slow now and then and never
fast; the mean of all held engines of the usual speed for two to eight times slower on
a full day."""

SLOWDOWN_PRIOR_SAMPLES = 2
"""What the first value of a speed counts for, in readings: the first ones move it by a
third, a quarter and so on. At engines that take 2.3 times the model's time the mean
speed believed was 1.9 in the first four seconds with a twentieth each, and 1.2 after a
restart of all routers."""

SLOWDOWN_SAMPLE_SECONDS_MIN = 0.04
"""Readings shorter than this tell nothing: the step that is under way and the messages
take a few ten milliseconds."""

SLOWDOWN_RANGE = (0.8, 8.0)
"""How far a server's own speed may differ from the model."""

CALL_SECONDS_INITIAL = 0.02
"""Expected time of a plain call before any was seen."""

CALL_TIME_WEIGHT = 0.1


class Run(msgspec.Struct):
    """A place in use.

    Attributes
    ----------
    kept : int
        Tokens of the prompt that need not be read.
    pending, read : float
        Predicted time of reading what came before, and this prompt, in seconds.
    speed : float
        Of the server, as it was believed then.
    due_at : float
        When the first event is predicted.
    source : ServerId
        The server from which kept parts are copied, if there is one.
    pause : float
        How long the model says that streams pause beside this prompt, if that is too
        long; 0 if it is not.
    begun_at : float
        When the first event came.
    paused_beside : float
        The longest ``pause`` of the prompts that were read while this run made events.
    isolation : int
        Fingerprint of a request that runs apart from others of its kind; 0 for none.
    """

    router: ids.RouterId
    since: float
    cached_tokens: int
    pending_seconds: float
    prefill_seconds: float
    slowdown: float
    due_at: float
    end_at: float
    is_long: bool
    is_begun: bool = False
    output_tokens: int = 0
    parts: tuple[messages.PromptPart, ...] = ()
    source: ids.ServerId | None = None
    pause: float = 0.0
    begun_at: float = math.inf
    expected_pause: float = 0.0
    isolation: int = 0


class PoolServer:
    """One backend server of a pool and what runs there.

    Attributes
    ----------
    order : int
        Place among the servers when some are set apart; the same for all routers.
    speed : float
        How many times as long as the model says the server takes to read.
    readings : int
        From how many readings the speed was learned.
    is_listed : bool
        Whether the engine was asked what it keeps.
    burst : float
        Reading without a step between that reads nothing, in seconds.
    """

    def __init__(
        self, entry: catalog.ServerEntry, engine: catalog.Engine | None, order: int
    ) -> None:
        self.entry = entry
        self.order = order
        self.runs: dict[ids.RequestId, Run] = {}
        self.health = serverhealth.ServerHealth()
        self.cache = promptcache.PromptCache(engine.memory_tokens if engine else 0)
        self.slowdown = 1.0
        self.slowdown_samples = 0
        self.is_queried = False
        self.call_seconds = CALL_SECONDS_INITIAL
        self.burst = 0.0
        self._prefill_done_at = 0.0
        self._prefilling: dict[ids.RequestId, Run] = {}

    @property
    def prefill_done_at(self) -> float:
        """When all that was sent is predicted to be read."""
        return self._prefill_done_at

    def add(
        self, request: ids.RequestId, run: Run, now: float, rest: float = 0.0
    ) -> None:
        """Take in a run; its reading begins when all before it is done.

        Parameters
        ----------
        rest : float
            Time without reading after which a new burst begins, in seconds.
        """
        self.burst = self.measure_burst(rest, now) + run.prefill_seconds
        self.runs[request] = run
        if not run.is_begun:
            self._prefilling[request] = run
        self._prefill_done_at = max(now, self._prefill_done_at) + run.prefill_seconds

    def begin(self, request: ids.RequestId, first_seconds: float, now: float) -> None:
        """Note the first event of a run; learn how fast the server reads."""
        run = self._prefilling.pop(request, None)
        if run is None:
            return
        run.is_begun = True
        run.begun_at = now
        if run.pause:
            self._record_pause(run)
        predicted = (run.due_at - run.since - first_seconds) / run.slowdown
        self._update_slowdown(predicted, now - run.since - first_seconds)
        self._trim_prefill_estimate(now)

    def _record_pause(self, prompt: Run) -> None:
        """Note a long prompt that is read at the streams that began before it."""
        for run in self.runs.values():
            if run.begun_at <= prompt.since:
                run.expected_pause = max(run.expected_pause, prompt.pause)

    def remove(self, request: ids.RequestId, now: float) -> Run | None:
        """Take out a run that has ended."""
        self._prefilling.pop(request, None)
        run = self.runs.pop(request, None)
        if run is not None:
            self._trim_prefill_estimate(now)
        return run

    def forget(self, router: ids.RouterId) -> None:
        """Drop the runs of a router that is dead: its connections are closed."""
        self._retain_runs(
            [key for key, run in self.runs.items() if run.router != router]
        )

    def expire(self, before: float) -> None:
        """Drop runs that should have ended before a time."""
        if any(run.end_at < before for run in self.runs.values()):
            self._retain_runs(
                [key for key, run in self.runs.items() if run.end_at >= before]
            )

    def record_ending(self, ending: states.RunEnding, took: float, now: float) -> None:
        """Learn from how a run ended."""
        match ending:
            case states.RunEnding.ANSWERED:
                self.health.record_success()
                self.call_seconds += (took - self.call_seconds) * CALL_TIME_WEIGHT
            case states.RunEnding.FAILED:
                self.health.record_failure(now)
            case states.RunEnding.UNREACHABLE | states.RunEnding.GONE:
                self.health.record_failure(now, unreachable=True)
            case states.RunEnding.REJECTED:
                self._prefill_done_at = max(
                    self._prefill_done_at, now + PENDING_PREFILL_SECONDS_MAX
                )

    def pending_seconds(self, now: float) -> float:
        """Return the seconds of reading that lie before a new prompt.

        Runs that are overdue count for as long as they are: a server that has become
        slow or dark looks idle otherwise, and draws all requests.
        """
        pending = self._prefill_done_at - now
        for run in self._prefilling.values():
            if now - run.due_at > pending:
                pending = now - run.due_at
        return pending if pending > 0.0 else 0.0

    def measure_burst(self, rest: float, now: float) -> float:
        """Return the seconds of reading since the last rest of so many seconds."""
        rested = now >= self._prefill_done_at + rest * self.slowdown
        return 0.0 if rested and self.pending_seconds(now) <= 0.0 else self.burst

    def is_prefilling_long(self) -> bool:
        """Whether a long prompt is being read."""
        return any(run.is_long for run in self._prefilling.values())

    def is_available(self, now: float) -> bool:
        """Whether there is a place, and the server is not at rest."""
        return len(self.runs) < self.entry.slots and not self.health.is_backing_off(now)

    def _update_slowdown(self, predicted: float, observed: float) -> None:
        """Learn from one reading; ``predicted`` is for a server of speed 1."""
        if predicted < SLOWDOWN_SAMPLE_SECONDS_MIN:
            return
        low, high = SLOWDOWN_RANGE
        ratio = min(max(observed / predicted, low), high)
        weight = SLOWDOWN_FALL_WEIGHT if ratio < self.slowdown else SLOWDOWN_RISE_WEIGHT
        self.slowdown_samples += 1
        weight = max(weight, 1 / (self.slowdown_samples + SLOWDOWN_PRIOR_SAMPLES))
        self.slowdown += (ratio - self.slowdown) * weight

    def _trim_prefill_estimate(self, now: float) -> None:
        """Take back what was predicted beyond what is still unread."""
        remaining = sum(run.prefill_seconds for run in self._prefilling.values())
        self._prefill_done_at = min(self._prefill_done_at, now + remaining)

    def _retain_runs(self, requests: list[ids.RequestId]) -> None:
        self.runs = {key: self.runs[key] for key in requests}
        self._prefilling = {
            key: run for key, run in self._prefilling.items() if key in self.runs
        }
