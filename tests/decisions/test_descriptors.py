"""How descriptors are divided, and which connections are closed at a bound."""

from __future__ import annotations

import collections

import hypothesis
from hypothesis import strategies

from celeryspan.decisions import descriptors

holders = strategies.lists(strategies.sampled_from("abcdef"), max_size=60)


def test_shares_fit_into_the_process_limit() -> None:
    for limit in (16, 64, 256, 1024, 4100, 8192, 1_048_576):
        budget = descriptors.divide(limit)
        used = budget.callers + 2 * budget.listener + budget.servers
        assert used < limit


def test_shares_leave_descriptors_for_links_to_1300_routers() -> None:
    limit = 4100
    budget = descriptors.divide(limit)
    used = budget.callers + 2 * budget.listener + budget.servers
    assert limit - descriptors.RESERVED_MAX - used >= 1300


def test_holder_of_many_connections_loses_them_first() -> None:
    """One caller opens connections by the hundred while another holds two.

    Those two are the oldest. If connections were closed by age alone, their holder
    would find them closed at its next request.
    """
    held = ["quiet", "quiet"] + ["flooding"] * 1000
    selected = descriptors.select_connections_to_close(held, 100)
    assert selected == list(range(2, 102))


def test_longest_idle_connection_of_a_holder_is_closed_first() -> None:
    assert descriptors.select_connections_to_close(["a", "b", "a", "a"], 1) == [0]


def test_holders_are_reduced_to_the_same_number() -> None:
    held = ["a"] * 10 + ["b"] * 6 + ["c"] * 2
    selected = descriptors.select_connections_to_close(held, 9)
    remaining = collections.Counter(held)
    remaining.subtract(held[index] for index in selected)
    assert sorted(remaining.values()) == [2, 3, 4] or sorted(remaining.values()) == [
        2,
        3,
        3,
    ]


@hypothesis.given(holders, strategies.integers(0, 70))
def test_requested_number_is_selected_and_evenly_distributed(
    held: list[str], count: int
) -> None:
    selected = descriptors.select_connections_to_close(held, count)
    assert len(selected) == min(count, len(held))
    assert selected == sorted(set(selected))
    before = collections.Counter(held)
    remaining = before.copy()
    remaining.subtract(held[index] for index in selected)
    reduced = [remaining[name] for name in before if remaining[name] < before[name]]
    if reduced:
        assert max(remaining.values()) <= min(reduced) + 1
