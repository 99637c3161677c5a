"""When a router's view of its role as a home counts as established."""

from __future__ import annotations

import pytest

from celeryspan import ids, states
from celeryspan.decisions import membertable, tenure
from celeryspan.wire import messages

DEAD, ALIVE = states.MemberState.DEAD, states.MemberState.ALIVE


def make_record(name: str, state: states.MemberState, since: float = 0.0):
    """Return the record of another router."""
    member = messages.Member(
        ids.RouterId(name),
        ids.Incarnation(1),
        state,
        ids.DataCentreId("hala-a"),
        ids.Address("127.0.0.1", 1),
        ids.Address("127.0.0.1", 2),
        ids.Generation(1),
        0,
    )
    return membertable.MemberRecord(member, since)


def test_tenure_is_established_after_an_undisturbed_time() -> None:
    held = tenure.Tenure()
    held.update(is_home=True, has_majority=True, now=10.0)
    held.update(is_home=True, has_majority=True, now=12.0)
    end = 10.0 + tenure.ESTABLISHED_SECONDS
    assert not held.is_established(end - 0.01)
    assert held.is_established(end)


@pytest.mark.parametrize(
    ("is_home", "has_majority"), [(False, True), (True, False), (False, False)]
)
def test_any_doubt_starts_the_tenure_over(is_home: bool, has_majority: bool) -> None:
    """A home hands over for a moment, or loses most of the fleet.

    Another router may have taken the pool over meanwhile.
    """
    held = tenure.Tenure()
    held.update(is_home=True, has_majority=True, now=0.0)
    held.update(is_home=is_home, has_majority=has_majority, now=5.0)
    assert not held.is_established(6.0)
    held.update(is_home=True, has_majority=True, now=6.0)
    assert not held.is_established(8.9)
    assert held.is_established(9.0)


@pytest.mark.parametrize("cut_off", range(1, 10))
def test_two_sides_of_a_partition_never_both_have_the_majority(cut_off: int) -> None:
    """Guards against two homes of one pool during a partition."""
    fleet = 10

    def reaches_most(count: int) -> bool:
        records = [make_record(f"a{n}", ALIVE) for n in range(count - 1)]
        records += [make_record(f"d{n}", DEAD, 50.0) for n in range(fleet - count)]
        return tenure.has_majority(count, records, 0, 100.0)

    assert not (reaches_most(cut_off) and reaches_most(fleet - cut_off))


def test_router_that_restarts_cut_off_from_all_others_has_no_majority() -> None:
    """Its membership holds only itself, but the store lists the others."""
    assert tenure.has_majority(1, [], 0, 0.0)
    assert not tenure.has_majority(1, [], 85, 0.0)


def test_routers_that_died_long_ago_no_longer_count() -> None:
    """A fleet of ten shrinks to three on purpose."""
    records = [make_record(f"a{n}", ALIVE) for n in range(2)]
    records += [make_record(f"d{n}", DEAD, 0.0) for n in range(7)]
    assert not tenure.has_majority(3, records, 0, tenure.DEAD_MEMBER_SECONDS - 1)
    assert tenure.has_majority(3, records, 0, tenure.DEAD_MEMBER_SECONDS)
