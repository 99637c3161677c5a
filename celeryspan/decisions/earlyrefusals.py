"""Selects the requests of a pool that are refused because they would start too late.

Without it, a request that can't be served in time waits until it gives up, although the
queue before it is known on arrival. Long prompts and other requests go to different
servers, so that each kind has forecasts of its own (:mod:`startforecasts`).
"""

from __future__ import annotations

from celeryspan import states
from celeryspan.decisions import accountshares, placing, poolqueue, startforecasts


class EarlyRefusals:
    """Selects the requests to refuse in one pool.

    Parameters
    ----------
    mode : EarlyRefusals
        Which pools refuse requests early. A forecast at engines whose VMs slow down
        for moments needs to know their present pace.
    """

    def __init__(
        self,
        placer: placing.Placer,
        shares: accountshares.AccountShares,
        mode: states.EarlyRefusals,
    ) -> None:
        self._placer = placer
        self._mode = mode
        # Whether all slots were in use at the last tick. Engines may be full with slots
        # left, whose number then doesn't tell what has become free since.
        self._had_no_slot = False
        self._forecasts = {
            is_long: startforecasts.StartForecasts(shares.measure)
            for is_long in (False, True)
        }

    def add(self, task: poolqueue.Task) -> None:
        """Add a request that begins to wait."""
        if self._is_enabled():
            self._forecasts[task.is_long].add(task)

    def remove(self, task: poolqueue.Task) -> None:
        """Remove a request that no longer waits."""
        if self._is_enabled():
            self._forecasts[task.is_long].remove(task)

    def record_start(self, task: poolqueue.Task, now: float) -> None:
        """Record that a request has been placed."""
        if self._is_enabled():
            self._forecasts[task.is_long].record_start(task, now)

    def admits(self, task: poolqueue.Task, now: float) -> bool:
        """Whether a request that arrives now may wait."""
        return (
            not self._is_enabled()
            or _is_exempt(task)
            or self._forecasts[task.is_long].can_start(task, now)
            or self._has_free_slot(task.is_long, now)
        )

    def select(self, now: float) -> list[poolqueue.Task]:
        """Return waiting requests to refuse; called after the placements of a tick."""
        found: list[poolqueue.Task] = []
        if not self._is_enabled():
            return found
        self._had_no_slot = self._placer.estimate_slot_wait(0) > 0.0
        for is_long, forecasts in self._forecasts.items():
            has_capacity = bool(forecasts) and self._placer.has_capacity(is_long, now)
            forecasts.observe(now, is_full=not has_capacity)
            tasks = forecasts.review(now)
            if not has_capacity:
                found += [task for task in tasks if not _is_exempt(task)]
        return found

    def _is_enabled(self) -> bool:
        if self._mode is states.EarlyRefusals.REPORTING_ENGINES:
            return self._placer.has_reporting_engines()
        return self._mode is states.EarlyRefusals.ALWAYS

    def _has_free_slot(self, is_long: bool, now: float) -> bool:
        """Whether a server can take a request that arrives now.

        What becomes free between two ticks belongs to the requests that wait, unless
        these are fewer.
        """
        if not self._placer.has_capacity(is_long, now):
            return False
        forecasts = self._forecasts[is_long]
        if not forecasts.was_full or len(forecasts) < self._placer.count_servers():
            return True
        waiting = sum(len(each) for each in self._forecasts.values())
        return self._had_no_slot and not self._placer.estimate_slot_wait(waiting)

    def reserve_retry(self, task: poolqueue.Task, now: float) -> float | None:
        """Return when a refused caller should retry, in seconds, if it is known."""
        return self._forecasts[task.is_long].reserve_retry(task, now)


def _is_exempt(task: poolqueue.Task) -> bool:
    """Whether a request may go only to some servers, which the forecasts don't know."""
    return bool(task.ask.version or task.ask.isolation)
