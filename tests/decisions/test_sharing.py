"""Counters converge whatever happens to the messages that carry them."""

from __future__ import annotations

import pytest
from hypothesis import stateful, strategies

from celeryspan import ids
from celeryspan.decisions import sharing, slotcharge
from celeryspan.wire import messages

SERVICE = ids.ServiceId("planner-llm")
AIRLINE, HANDLER, TOWER = map(ids.AccountId, ("airline", "handler", "tower"))
ACCOUNTS = (AIRLINE, HANDLER, TOWER)


def make_counters(name: str, incarnation: int = 1) -> sharing.Counters:
    return sharing.Counters(
        ids.RouterId(name), ids.Incarnation(incarnation), lambda _: 1.0
    )


class CountersMachine(stateful.RuleBasedStateMachine):
    """Three routers exchange counters over an unreliable network."""

    def __init__(self) -> None:
        super().__init__()
        self.routers = [make_counters(f"router-{index}") for index in range(3)]
        self.given = dict.fromkeys(ACCOUNTS, 0.0)
        self.in_flight: list[tuple[int, messages.Counter]] = []

    @stateful.rule(
        router=strategies.integers(0, 2),
        account=strategies.sampled_from(ACCOUNTS),
        units=strategies.integers(1, 1000),
    )
    def give(self, router: int, account: ids.AccountId, units: int) -> None:
        self.routers[router].record_service(SERVICE, account, units)
        self.given[account] += units

    @stateful.rule(source=strategies.integers(0, 2), other=strategies.integers(0, 2))
    def send(self, source: int, other: int) -> None:
        self.in_flight += [
            (other, item) for item in self.routers[source].own_counters()
        ]

    @stateful.precondition(lambda self: self.in_flight)
    @stateful.rule(data=strategies.data(), keep=strategies.booleans())
    def deliver(self, data: strategies.DataObject, keep: bool) -> None:
        index = data.draw(strategies.integers(0, len(self.in_flight) - 1))
        target, item = self.in_flight[index]
        self.routers[target].merge(item)
        if not keep:
            del self.in_flight[index]

    @stateful.precondition(lambda self: self.in_flight)
    @stateful.rule(data=strategies.data())
    def lose(self, data: strategies.DataObject) -> None:
        del self.in_flight[data.draw(strategies.integers(0, len(self.in_flight) - 1))]

    @stateful.invariant()
    def no_router_counts_more_than_was_given(self) -> None:
        for router in self.routers:
            for account, units in self.given.items():
                assert router.received(SERVICE, account) <= units

    def teardown(self) -> None:
        for source in self.routers:
            for item in source.own_counters():
                for target in self.routers:
                    target.merge(item)
        for router in self.routers:
            for account, units in self.given.items():
                assert router.received(SERVICE, account) == units


TestCounters = CountersMachine.TestCase


def test_idle_account_saves_no_credit() -> None:
    """Guards against an idle account that accumulates credit.

    The other accounts have received 9,000 units while it was idle. Without a lift it
    would take every slot until it has caught up.
    """
    counters = make_counters("router-0")
    counters.record_service(SERVICE, HANDLER, 9000.0)
    counters.record_service(SERVICE, TOWER, 9500.0)
    lift = counters.lift(SERVICE, AIRLINE, [HANDLER, TOWER])
    assert lift is not None
    assert counters.level(SERVICE, AIRLINE) == 9000.0
    assert counters.lift(SERVICE, AIRLINE, [HANDLER, TOWER]) is None


def test_lift_uses_the_last_level_when_no_account_waits() -> None:
    counters = make_counters("router-0")
    counters.lift(SERVICE, AIRLINE, [], floor=700.0)
    assert counters.level(SERVICE, AIRLINE) == 700.0


def test_deficit_after_a_partition_is_bounded() -> None:
    """Guards against a long wait after a network partition heals.

    One account got 90,000 units ahead. Without a limit its callers would wait until all
    others have caught up; with a limit of 24,000 they wait for at most 24,000 units of
    service per account.
    """
    counters = make_counters("router-0")
    counters.record_service(SERVICE, AIRLINE, 90000.0)
    counters.limit_deficits(SERVICE, [AIRLINE, HANDLER, TOWER], 24000.0)
    assert counters.level(SERVICE, HANDLER) == 66000.0
    assert counters.level(SERVICE, TOWER) == 66000.0
    assert counters.level(SERVICE, AIRLINE) == 90000.0


def test_weights_divide_service() -> None:
    counters = sharing.Counters(
        ids.RouterId("router-0"), ids.Incarnation(1), lambda _: 4.0
    )
    counters.record_service(SERVICE, AIRLINE, 400.0)
    assert counters.standing(SERVICE, AIRLINE, 80.0) == 120.0


def test_folded_incarnation_is_not_counted_twice() -> None:
    """Guards against a late message of an earlier incarnation of a restarted router.

    Counted again, the account would appear to have received its service twice, and its
    callers would wait too long.
    """
    counters = make_counters("router-0")
    old = messages.Counter(
        ids.RouterId("router-1"), ids.Incarnation(1), SERVICE, AIRLINE, 500.0
    )
    counters.merge(old)
    counters.fold(old.router, old.incarnation)
    assert not counters.merge(old)
    assert counters.received(SERVICE, AIRLINE) == 500.0


def test_restarted_router_learns_folded_service_once() -> None:
    """Guards against double counting when a restarted router gets two snapshots.

    Sums that each peer has folded cannot be merged; adding both would count them twice.
    """
    peers = [make_counters("router-1"), make_counters("router-2")]
    dead = messages.Counter(
        ids.RouterId("router-3"), ids.Incarnation(1), SERVICE, AIRLINE, 500.0
    )
    for peer in peers:
        peer.merge(dead)
        peer.fold(dead.router, dead.incarnation)
    peers[0].record_service(SERVICE, AIRLINE, 40.0)
    peers[0].lift(SERVICE, TOWER, [AIRLINE])
    empty = make_counters("router-0", incarnation=2)
    for peer in peers:
        empty.load_snapshot(peer.snapshot())
    assert empty.received(SERVICE, AIRLINE) == 540.0
    assert empty.level(SERVICE, TOWER) == 540.0


@pytest.mark.parametrize("order", [(1, 2), (2, 1), (2, 2), (1, 2, 1)])
def test_newest_pending_counts(order: tuple[int, ...]) -> None:
    counters = make_counters("router-0")
    home = ids.RouterId("router-1")
    for sequence in order:
        units = 100.0 * sequence
        counters.merge_pending(
            home, messages.Pending(SERVICE, AIRLINE, units, sequence)
        )
    assert counters.standing(SERVICE, AIRLINE) == 200.0
    counters.forget_pending(home)
    assert counters.standing(SERVICE, AIRLINE) == 0.0


def test_estimate_learns_from_true_costs() -> None:
    estimator = sharing.CostEstimator()
    assert estimator.estimate(SERVICE, AIRLINE, None, 420.0) == 420.0
    assert estimator.estimate(SERVICE, AIRLINE, 1200.0, 420.0) == 1200.0
    estimator.record_cost(SERVICE, AIRLINE, 400.0)
    assert estimator.estimate(SERVICE, AIRLINE, 1200.0, 420.0) == 400.0


def test_charge_is_not_set_by_a_single_hint() -> None:
    """Guards against a slot charge near zero after a start.

    The first request has a hint of a twentieth of the usual cost. If the charge relied
    on it alone, slots would have almost no charge, and the first account to send
    requests would hold most of them for minutes.
    """
    charge = slotcharge.SlotCharge()
    for cost in (20.0, 400.0, 900.0, 360.0):
        charge.record_estimate(SERVICE, cost)
    assert charge.per_slot(SERVICE) == slotcharge.SLOT_CHARGE * 420.0
    charge.record_cost(SERVICE, 920.0)
    assert charge.per_slot(SERVICE) == slotcharge.SLOT_CHARGE * 520.0


def test_max_cost_is_known_after_many_requests() -> None:
    """Guards against a deficit limit that is too low after a start.

    The first three requests of a router are short. A limit based on their cost would
    drop the deficit of an account that is owed a usual request.
    """
    charge = slotcharge.SlotCharge()
    for _ in range(slotcharge.MIN_REQUESTS_FOR_MAX_COST - 1):
        charge.record_cost(SERVICE, 300.0)
    assert charge.max_cost(SERVICE) == 0.0
    charge.record_cost(SERVICE, 100.0)
    assert charge.max_cost(SERVICE) == 300.0
