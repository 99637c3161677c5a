"""Which connections are given up, and how descriptors are divided."""

from __future__ import annotations

import collections

import hypothesis
from hypothesis import strategies

from celeryspan.decisions import descriptors

holders = strategies.lists(strategies.sampled_from("abcdef"), max_size=60)


def test_uses_fit_into_what_the_process_may_have() -> None:
    for allowed in (16, 64, 256, 1024, 4100, 8192, 1_048_576):
        budget = descriptors.divide(allowed)
        used = budget.callers + 2 * budget.listener + budget.servers
        assert used < allowed


def test_links_to_a_fleet_of_1300_fit_beside_all_other_uses() -> None:
    allowed = 4100
    budget = descriptors.divide(allowed)
    used = budget.callers + 2 * budget.listener + budget.servers
    assert allowed - descriptors.RESERVED_MAX - used >= 1300


def test_caller_with_thousands_gives_up_before_one_with_few() -> None:
    """One account's callers open connections by the hundred; a calm one holds two.

    The calm caller's are the oldest. By age alone it would lose them to the flood, and
    meet a closed connection at its next request.
    """
    held = ["calm", "calm"] + ["flood"] * 1000
    chosen = descriptors.select_connections_to_close(held, 100)
    assert chosen == list(range(2, 102))


def test_oldest_goes_first_within_one_holder() -> None:
    assert descriptors.select_connections_to_close(["a", "b", "a", "a"], 1) == [0]


def test_holders_are_cut_to_the_same_number() -> None:
    held = ["a"] * 10 + ["b"] * 6 + ["c"] * 2
    chosen = descriptors.select_connections_to_close(held, 9)
    left = collections.Counter(held)
    left.subtract(held[place] for place in chosen)
    assert sorted(left.values()) == [2, 3, 4] or sorted(left.values()) == [2, 3, 3]


@hypothesis.given(holders, strategies.integers(0, 70))
def test_as_many_as_asked_for_are_chosen_and_no_holder_more_than_another(
    held: list[str], count: int
) -> None:
    chosen = descriptors.select_connections_to_close(held, count)
    assert len(chosen) == min(count, len(held))
    assert chosen == sorted(set(chosen))
    before = collections.Counter(held)
    left = before.copy()
    left.subtract(held[place] for place in chosen)
    cut = [left[name] for name in before if left[name] < before[name]]
    if cut:
        assert max(left.values()) <= min(cut) + 1
