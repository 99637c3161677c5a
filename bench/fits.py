"""Fits a line to values measured at several sizes, and reports its error."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable, Sequence

import numpy

REPEATS = 3
"""Runs per size. The fastest is used, because other load only adds time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A line fitted to values over sizes.

    Attributes
    ----------
    unit : str
        Unit of the slope, such as ``"us per grant"``.
    slope, base : float
        Value of each additional item, and value without items.
    error : float
        Greatest residual, as a fraction of the greatest value.
    """

    name: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    slope: float
    base: float
    error: float


def fit(name: str, unit: str, sizes: Sequence[int], values: Sequence[float]) -> Slope:
    """Fit a line by least squares of the relative residuals."""
    weights = 1.0 / numpy.maximum(numpy.abs(numpy.array(values)), 1e-9)
    slope, base = numpy.polyfit(sizes, values, 1, w=weights)
    residuals = numpy.abs(numpy.polyval((slope, base), sizes) - values)
    error = float(residuals.max() / max(abs(value) for value in values))
    return Slope(
        name,
        unit,
        tuple(sizes),
        tuple(round(float(value), 2) for value in values),
        round(float(slope), 4),
        round(float(base), 2),
        round(error, 4),
    )


def time_call(prepare: Callable[[int], Callable[[], object]], size: int) -> float:
    """Return the shortest processor time of a prepared call, in microseconds."""
    times = []
    for _ in range(REPEATS):
        call = prepare(size)
        started = time.process_time()
        call()
        times.append(time.process_time() - started)
    return min(times) * 1e6
