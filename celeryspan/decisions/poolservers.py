"""State of one backend server as tracked by the home of its pool.

Servers of one service may be slow, unreachable or restarting, and the load that they
report themselves is late. Each server's state is therefore predicted from the requests
sent to it, and corrected when first events and answers arrive.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from celeryspan import catalog, ids, states
from celeryspan.decisions import (
    coldstart,
    promptcache,
    rejections,
    serverhealth,
    serverpaces,
)

if TYPE_CHECKING:
    from celeryspan.wire import messages

PENDING_PREFILL_SECONDS_MAX = 0.1
"""Pending prefill at one engine above which it is sent no more: a sixth of the shortest
latency objective of streams."""

SLOWDOWN_FALL_WEIGHT = 0.3
SLOWDOWN_RISE_WEIGHT = 0.05
"""Weight of the newest sample in a server's slowdown, falling and rising. A busy router
reports first events late, so samples err only towards slow."""

SLOWDOWN_PRIOR_SAMPLES = 2
"""Weight of the initial slowdown, in samples: the first samples move it by a third, a
quarter and so on. A fixed weight takes seconds to find the speed of slower engines
after each restart."""

SLOWDOWN_SAMPLE_SECONDS_MIN = 0.04
"""Shorter prefills are not used as samples: the step in progress and the messages take
a few tens of milliseconds."""

SLOWDOWN_RANGE = (0.8, 8.0)
"""Smallest and largest slowdown of a server relative to the model."""

CALL_SECONDS_INITIAL = 0.02
"""Expected time of a plain call before the first sample."""

CALL_TIME_WEIGHT = 0.1

NO_ACCOUNT = ids.AccountId("")


class Run(msgspec.Struct):
    """A request that occupies a slot.

    Attributes
    ----------
    cached_tokens : int
        Tokens of the prompt that need no prefill.
    pending_seconds, prefill_seconds : float
        Predicted prefill time of earlier prompts and of this one.
    slowdown : float
        Slowdown of the server when the run was placed, times its pace.
    due_at : float
        Predicted time of the first event.
    source : ServerId
        Server from which cached parts are copied, if any.
    pause : float
        Predicted pause of streams beside this prompt if it exceeds the limit; otherwise
        0.
    begun_at : float
        Time of the first event.
    expected_pause : float
        The largest ``pause`` of the prompts that were prefilled while this run
        streamed.
    isolation : int
        Fingerprint of a request that must run isolated; 0 for none.
    account : AccountId
        The account that was charged for the run; empty if another home did so.
    units : float
        The charge, in tokens.
    pace : float
        Expected pace of the server when the run was placed.
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
    account: ids.AccountId = NO_ACCOUNT
    units: float = 0.0
    pace: float = 1.0

    def average_pace(self, pace: float) -> float:
        """Return the pace that held during the run, which is ``pace`` at its end."""
        return (self.pace + pace) / 2


class PoolServer:
    """One backend server of a pool and its runs.

    Attributes
    ----------
    order : int
        Sort key that selects the dedicated engines; the same on all routers.
    slowdown : float
        Prefill time relative to the model's, at the usual pace of the server's VM.
    slowdown_samples : int
        Samples from which the slowdown was estimated.
    is_queried : bool
        Whether the engine has been queried for its cached parts.
    burst : float
        Prefill without a step free of prefill in between, in seconds.
    grants : GrantWindow
        Requests recently granted to the server, in any incarnation.
    cold_grants_max : float
        Requests that may be granted within a second while the server is cold.
    rests : dict
        When the rests end that the server has asked routers for.
    pace : ServerPace or None
        The pace of its VM; None if it has not reported its load.
    rested_at : float
        When it last asked for one.
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
        self.grants = coldstart.GrantWindow()
        self.cold_grants_max = coldstart.UNLIMITED
        self.rests: dict[ids.RouterId, float] = {}
        self.pace: serverpaces.ServerPace | None = None
        self.rested_at = -math.inf
        self.rejections = rejections.Rejections()
        self._prefill_done_at = 0.0
        self._prefilling: dict[ids.RequestId, Run] = {}

    @property
    def prefill_done_at(self) -> float:
        """Predicted time at which all pending prefill is done."""
        return self._prefill_done_at

    def add(
        self, request: ids.RequestId, run: Run, now: float, pause_seconds: float = 0.0
    ) -> None:
        """Add a run; its prefill starts when all earlier prefill is done.

        Parameters
        ----------
        pause_seconds : float
            Time without prefill after which a new burst starts, in seconds.
        """
        self.grants.record(now)
        self.rejections.record_placed(now)
        self.burst = self.measure_burst(pause_seconds, now) + run.prefill_seconds
        self.runs[request] = run
        if not run.is_begun:
            self._prefilling[request] = run
        self._prefill_done_at = max(now, self._prefill_done_at) + run.prefill_seconds

    def begin(self, request: ids.RequestId, first_seconds: float, now: float) -> None:
        """Record the first event of a run and update the server's slowdown."""
        run = self._prefilling.pop(request, None)
        if run is None:
            return
        run.is_begun = True
        run.begun_at = now
        self.rejections.record_accepted(self.entry.slots, run.since, now)
        if run.pause:
            self._record_pause(run)
        pace = run.average_pace(self.measure_pace(now))
        predicted = run.due_at - run.since - first_seconds * run.pace
        observed = (now - run.since - first_seconds * pace) / pace
        self._update_slowdown(predicted / run.slowdown, observed)
        self._trim_prefill_estimate(now)

    def record_load(
        self, request: ids.RequestId, load: messages.LoadReport, now: float
    ) -> None:
        """Record the load reported in the answer of a run."""
        if request not in self.runs:
            return
        before = self.measure_pace(now)
        if self.pace is None:
            self.pace = serverpaces.ServerPace()
        self.pace.record(load, len(self.runs), now)
        pending = self._prefill_done_at - now
        if pending > 0.0:
            self._prefill_done_at = now + pending * self.pace.expect(now) / before

    def measure_pace(self, now: float) -> float:
        """Return the expected pace of the server's VM; 1 without reports."""
        return 1.0 if self.pace is None else self.pace.expect(now)

    def count_others(self, now: float) -> int:
        """Return how many requests are there that this home has not placed."""
        return 0 if self.pace is None else self.pace.count_others(now)

    def _record_pause(self, prompt: Run) -> None:
        """Record a long prompt at the streams that were running beside it."""
        for run in self.runs.values():
            if run.begun_at <= prompt.since:
                run.expected_pause = max(run.expected_pause, prompt.pause)

    def remove(self, request: ids.RequestId, now: float) -> Run | None:
        """Remove a run that has ended."""
        self._prefilling.pop(request, None)
        run = self.runs.pop(request, None)
        if run is not None:
            self._trim_prefill_estimate(now)
        return run

    def forget(self, router: ids.RouterId) -> None:
        """Drop the runs of a dead router, whose connections are closed."""
        self._retain_runs(
            [key for key, run in self.runs.items() if run.router != router]
        )

    def expire(self, before: float) -> None:
        """Drop runs that should have ended before a time."""
        if any(run.end_at < before for run in self.runs.values()):
            self._retain_runs(
                [key for key, run in self.runs.items() if run.end_at >= before]
            )

    def record_ending(self, ending: states.RunEnding, run: Run, now: float) -> None:
        """Update health and timing estimates from the end of a run."""
        since = run.since
        match ending:
            case states.RunEnding.ANSWERED:
                self.health.record_success()
                self.rejections.record_accepted(self.entry.slots, since, now)
                took = (now - since) / run.average_pace(self.measure_pace(now))
                self.call_seconds += (took - self.call_seconds) * CALL_TIME_WEIGHT
            case states.RunEnding.FAILED:
                self.health.record_failure(now)
            case states.RunEnding.UNREACHABLE | states.RunEnding.GONE:
                self.health.record_failure(now, unreachable=True)
            case states.RunEnding.REJECTED:
                in_use = len(self.runs) + 1
                self.rejections.record_rejection(in_use, self.entry.slots, since, now)
            case states.RunEnding.UNUSED:
                self.rejections.record_unused(since, now)

    def pending_seconds(self, now: float) -> float:
        """Return the prefill time ahead of a new prompt, in seconds.

        An overdue run counts for as long as it is overdue: otherwise a server that has
        become slow or unreachable would look idle and attract all requests.
        """
        pending = self._prefill_done_at - now
        for run in self._prefilling.values():
            if now - run.due_at > pending:
                pending = now - run.due_at
        return pending if pending > 0.0 else 0.0

    def measure_burst(self, pause_seconds: float, now: float) -> float:
        """Return the prefill since the last pause of at least ``pause_seconds``."""
        pause = pause_seconds * self.slowdown * self.measure_pace(now)
        has_paused = now >= self._prefill_done_at + pause
        return 0.0 if has_paused and self.pending_seconds(now) <= 0.0 else self.burst

    def is_prefilling_long(self) -> bool:
        """Whether a long prompt is being prefilled."""
        return any(run.is_long for run in self._prefilling.values())

    def is_available(self, now: float) -> bool:
        """Whether the server has a free slot, is not backing off and not too cold."""
        in_use = len(self.runs)
        if in_use >= self.entry.slots:
            return False
        if self.rejections.state is rejections.State.ACCEPTING:
            if in_use >= self.rejections.limit:
                return False
        elif self._has_open_trial() or not self.rejections.admits(
            in_use, self.entry.slots, now
        ):
            return False
        return not self.health.is_backing_off(now) and not self._is_cold_limited(now)

    def is_available_for_rest(self, now: float) -> bool:
        """Whether it can take a request that no accepting server has a slot for."""
        return (
            self.rejections.admits_rest(len(self.runs), self.entry.slots, now)
            and not self.health.is_backing_off(now)
            and not self._is_cold_limited(now)
        )

    def is_on_trial(self) -> bool:
        """Whether the next request that is placed is a trial."""
        return self.rejections.state is rejections.State.REJECTING

    def is_trial_due(self, now: float) -> bool:
        """Whether the next request that is placed is a trial, and may be placed now."""
        return self.is_on_trial() and self.is_available(now)

    def _has_open_trial(self) -> bool:
        """Whether a trial request has neither been answered nor rejected."""
        return self.is_on_trial() and any(
            run.since >= self.rejections.trial_at and not run.is_begun
            for run in self.runs.values()
        )

    def is_resting(self, router: ids.RouterId, now: float) -> bool:
        """Whether the server has asked a router for a rest that has not ended."""
        return bool(self.rests) and self.rests.get(router, now) > now

    def expire_rests(self, now: float) -> None:
        """Forget the rests that have ended."""
        if any(until <= now for until in self.rests.values()):
            self.rests = {
                router: until for router, until in self.rests.items() if until > now
            }
            self.rejections.end_rest(self.rested_at, now)

    def _is_cold_limited(self, now: float) -> bool:
        """Whether the server is cold and has got as many requests as it tolerates."""
        return (
            self.entry.is_cold(now) and self.grants.count(now) >= self.cold_grants_max
        )

    def _update_slowdown(self, predicted: float, observed: float) -> None:
        """Add one sample; ``predicted`` is for a server with a slowdown of 1."""
        if predicted < SLOWDOWN_SAMPLE_SECONDS_MIN:
            return
        low, high = SLOWDOWN_RANGE
        ratio = min(max(observed / predicted, low), high)
        weight = SLOWDOWN_FALL_WEIGHT if ratio < self.slowdown else SLOWDOWN_RISE_WEIGHT
        self.slowdown_samples += 1
        weight = max(weight, 1 / (self.slowdown_samples + SLOWDOWN_PRIOR_SAMPLES))
        self.slowdown += (ratio - self.slowdown) * weight

    def _trim_prefill_estimate(self, now: float) -> None:
        """Limit the predicted prefill to that of the runs still in prefill."""
        pace = self.measure_pace(now)
        remaining = sum(
            run.prefill_seconds * pace / run.pace for run in self._prefilling.values()
        )
        self._prefill_done_at = min(self._prefill_done_at, now + remaining)

    def _retain_runs(self, requests: list[ids.RequestId]) -> None:
        self.runs = {key: self.runs[key] for key in requests}
        self._prefilling = {
            key: run for key, run in self._prefilling.items() if key in self.runs
        }
