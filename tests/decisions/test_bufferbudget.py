"""How much of all answers is buffered at once."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from celeryspan.decisions import bufferbudget

TOTAL_MAX = 10 * bufferbudget.UNCOUNTED_BYTES

SIZES = strategies.integers(0, 4 * bufferbudget.UNCOUNTED_BYTES)


@hypothesis.given(strategies.lists(strategies.tuples(strategies.integers(0, 7), SIZES)))
def test_buffers_of_all_answers_stay_within_the_budget(changes: list) -> None:
    """Guards against a few endless answers that use up a router's memory."""
    budget = bufferbudget.BufferBudget(TOTAL_MAX)
    held = [0] * 8
    for answer, size in changes:
        if budget.resize(held[answer], size):
            held[answer] = size
        counted = [each for each in held if each > bufferbudget.UNCOUNTED_BYTES]
        assert budget.total == sum(counted) <= TOTAL_MAX
    for size in held:
        assert budget.resize(size, 0)
    assert budget.total == 0


def test_small_answers_are_buffered_whatever_the_others_use() -> None:
    budget = bufferbudget.BufferBudget(TOTAL_MAX)
    assert budget.resize(0, TOTAL_MAX)
    assert budget.resize(0, bufferbudget.UNCOUNTED_BYTES)
    assert not budget.resize(0, bufferbudget.UNCOUNTED_BYTES + 1)
    assert budget.resize(TOTAL_MAX, 0)
    assert budget.resize(0, bufferbudget.UNCOUNTED_BYTES + 1)
