"""Measures the fairness gap and the utilisation at callers and engines."""

from __future__ import annotations

import dataclasses
import itertools
import threading

from standins import callers, engine, fleet

SAMPLE_SECONDS = 0.1


@dataclasses.dataclass(slots=True)
class DifferenceRange:
    """Minimum and maximum difference in service of two backlogged accounts."""

    lowest: float
    highest: float


class FairnessGap:
    """Maximum gap in received service between two backlogged client accounts.

    The gap of a pair is the range of the difference in their service per weight while
    both have waiting requests. The pair is reset once either account has none: not
    receiving what one did not request is not unfair.

    Attributes
    ----------
    greatest : float
        Maximum over all pairs, in cost units per weight.
    """

    def __init__(self) -> None:
        self.greatest = 0.0
        self._ranges: dict[tuple[str, str], DifferenceRange] = {}

    def add_sample(self, received: dict[str, float], backlogged: set[str]) -> None:
        """Add a sample of the service per weight and the backlogged accounts."""
        pairs = set(itertools.combinations(sorted(backlogged), 2))
        for pair in self._ranges.keys() - pairs:
            del self._ranges[pair]
        for pair in pairs:
            difference = received.get(pair[0], 0.0) - received.get(pair[1], 0.0)
            extent = self._ranges.setdefault(
                pair, DifferenceRange(difference, difference)
            )
            extent.lowest = min(extent.lowest, difference)
            extent.highest = max(extent.highest, difference)
            self.greatest = max(self.greatest, extent.highest - extent.lowest)


class Sampler:
    """Samples callers and engines every ``SAMPLE_SECONDS``.

    Attributes
    ----------
    gap : FairnessGap
        Fairness gap of the accounts that call the model.
    """

    def __init__(
        self,
        traffic: callers.Callers,
        engines: list[engine.Engine],
        weights: dict[str, float],
    ) -> None:
        self.gap = FairnessGap()
        self._callers = traffic
        self._engines = engines
        self._weights = weights
        self._busy_slots = 0
        self._total_slots = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="sampler", daemon=True)

    @property
    def utilisation(self) -> float:
        """Share of slots in use, sampled while at least one request waits per slot."""
        return self._busy_slots / self._total_slots if self._total_slots else 0.0

    def start(self) -> None:
        """Start sampling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sampling."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(SAMPLE_SECONDS):
            self._sample()

    def _sample(self) -> None:
        requests = [
            item for item in self._callers.requests if item.service == fleet.MODEL
        ]
        received: dict[str, float] = {}
        for request in requests:
            weight = self._weights.get(request.account, 1.0)
            received[request.account] = (
                received.get(request.account, 0.0) + request.units / weight
            )
        waiting = [item.account for item in requests if item.is_waiting]
        self.gap.add_sample(received, set(waiting))
        slots = sum(item.batch.slots for item in self._engines)
        running = sum(len(item.batch.running) for item in self._engines)
        if len(waiting) >= slots:
            self._busy_slots += running
            self._total_slots += slots
