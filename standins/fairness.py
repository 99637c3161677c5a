"""Fairness gap and utilisation, as callers and engines see them."""

from __future__ import annotations

import dataclasses
import itertools
import threading

from standins import callers, engine, fleet

SAMPLE_SECONDS = 0.1


@dataclasses.dataclass(slots=True)
class Range:
    """Least and greatest difference of two accounts while both are backlogged."""

    least: float
    greatest: float


class Gap:
    """Greatest gap in service received between two backlogged client accounts.

    For each pair of accounts the difference of their service per weight is followed
    while both wait; the gap is by how much it moved. When one of them stops waiting,
    the pair begins anew: what an account did not ask for is no unfairness.

    Attributes
    ----------
    greatest : float
        In cost units per weight.
    """

    def __init__(self) -> None:
        self.greatest = 0.0
        self._ranges: dict[tuple[str, str], Range] = {}

    def note(self, received: dict[str, float], backlogged: set[str]) -> None:
        """Take in service received per weight, and who waits, at one moment."""
        pairs = set(itertools.combinations(sorted(backlogged), 2))
        for pair in self._ranges.keys() - pairs:
            del self._ranges[pair]
        for pair in pairs:
            difference = received.get(pair[0], 0.0) - received.get(pair[1], 0.0)
            found = self._ranges.setdefault(pair, Range(difference, difference))
            found.least = min(found.least, difference)
            found.greatest = max(found.greatest, difference)
            self.greatest = max(self.greatest, found.greatest - found.least)


class Sampler:
    """Looks at callers and engines ten times a second.

    Attributes
    ----------
    gap : Gap
        Of the accounts that ask the model.
    """

    def __init__(
        self,
        asking: callers.Callers,
        engines: list[engine.Engine],
        weights: dict[str, float],
    ) -> None:
        self.gap = Gap()
        self._asking = asking
        self._engines = engines
        self._weights = weights
        self._busy = 0
        self._offered = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="sampler", daemon=True)

    @property
    def utilisation(self) -> float:
        """Share of the engines' slots in use, at moments when work waited for them."""
        return self._busy / self._offered if self._offered else 0.0

    def start(self) -> None:
        """Begin to sample."""
        self._thread.start()

    def stop(self) -> None:
        """End sampling."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(SAMPLE_SECONDS):
            self._sample()

    def _sample(self) -> None:
        asks = [item for item in self._asking.asks if item.service == fleet.MODEL]
        received: dict[str, float] = {}
        for ask in asks:
            weight = self._weights.get(ask.account, 1.0)
            received[ask.account] = received.get(ask.account, 0.0) + ask.units / weight
        waiting = [ask.account for ask in asks if ask.waits]
        self.gap.note(received, set(waiting))
        slots = sum(item.batch.slots for item in self._engines)
        running = sum(len(item.batch.running) for item in self._engines)
        if len(waiting) >= slots:
            self._busy += running
            self._offered += slots
