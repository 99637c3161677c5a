"""Slot allocation by a home, with messages lost, duplicated, delayed and reordered."""

from __future__ import annotations

import itertools

from hypothesis import stateful, strategies

from celeryspan import ids
from celeryspan.decisions import grants, sharing
from celeryspan.wire import messages

SERVICE = ids.ServiceId("gate-desk")
SERVER = ids.ServerId("gate-desk-0")
WINDOW = 4
AIRLINE, HANDLER = map(ids.AccountId, ("airline", "handler"))
ROUTERS = [ids.RouterId("router-1"), ids.RouterId("router-2")]
WARMED_UP = grants.LIFT_WARMUP_SECONDS


def make_ledger(window: int = WINDOW) -> grants.Ledger:
    router, incarnation = ids.RouterId("router-0"), ids.Incarnation(1)
    counters = sharing.Counters(router, incarnation, lambda _: 1.0)
    ledger = grants.Ledger(router, incarnation, counters)
    ledger.add_server(SERVER, SERVICE, window, 0.0)
    return ledger


def make_demand(
    account: ids.AccountId, waiting: int, sequence: int, age: float = 0.0
) -> messages.Demand:
    return messages.Demand(SERVICE, account, waiting, age, sequence, 400.0)


def make_used(grant: messages.Grant) -> messages.GrantUsed:
    return messages.GrantUsed(grant.grant, grant.server, grant.account, 400.0)


def make_ended(grant: messages.Grant, cost: float) -> messages.GrantEnded:
    return messages.GrantEnded(grant.grant, grant.server, grant.account, cost)


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Two routers queue, use and end requests over an unreliable network.

    Whatever was lost, the ledger is correct again once each router has reported the
    slots it holds. Until then it never grants more slots than the window.
    """

    def __init__(self) -> None:
        super().__init__()
        self.ledger = make_ledger()
        self.now = WARMED_UP
        self.sequence = itertools.count(1)
        self.granted: list[grants.IssuedGrant] = []
        self.running: list[grants.IssuedGrant] = []
        self.in_flight: list[tuple] = []

    @stateful.rule(
        router=strategies.sampled_from(ROUTERS),
        account=strategies.sampled_from((AIRLINE, HANDLER)),
        waiting=strategies.integers(0, 5),
    )
    def report(
        self, router: ids.RouterId, account: ids.AccountId, waiting: int
    ) -> None:
        demand = make_demand(account, waiting, next(self.sequence))
        self.in_flight.append((self.ledger.update_demand, router, demand))

    @stateful.precondition(lambda self: self.in_flight)
    @stateful.rule(data=strategies.data(), keep=strategies.booleans())
    def deliver(self, data: strategies.DataObject, keep: bool) -> None:
        index = data.draw(strategies.integers(0, len(self.in_flight) - 1))
        call, router, message = self.in_flight[index]
        call(router, message, self.now)
        if not keep:
            del self.in_flight[index]

    @stateful.precondition(lambda self: self.in_flight)
    @stateful.rule(data=strategies.data())
    def lose(self, data: strategies.DataObject) -> None:
        del self.in_flight[data.draw(strategies.integers(0, len(self.in_flight) - 1))]

    @stateful.rule()
    def issue(self) -> None:
        free = WINDOW - self.ledger.in_use(SERVER)
        issued = self.ledger.issue(self.now)
        assert len(issued) <= max(0, free)
        known = {item.grant.grant for item in self.granted + self.running}
        assert not known & {item.grant.grant for item in issued}
        self.granted += issued

    @stateful.precondition(lambda self: self.granted)
    @stateful.rule(data=strategies.data())
    def use(self, data: strategies.DataObject) -> None:
        item = self.granted.pop(
            data.draw(strategies.integers(0, len(self.granted) - 1))
        )
        self.running.append(item)
        self.in_flight.append(
            (self.ledger.mark_used, item.router, make_used(item.grant))
        )

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data())
    def end(self, data: strategies.DataObject) -> None:
        item = self.running.pop(
            data.draw(strategies.integers(0, len(self.running) - 1))
        )
        ended = make_ended(item.grant, 400.0)
        self.in_flight.append((self.ledger.end_grant, item.router, ended))

    @stateful.rule()
    def wait(self) -> None:
        self.now += grants.VALID_SECONDS + grants.GRACE_SECONDS
        self.ledger.expire(self.now)
        self.granted.clear()

    def teardown(self) -> None:
        self.wait()
        for router in ROUTERS:
            held = [item for item in self.running if item.router == router]
            reported = tuple((item.grant.account, 400.0) for item in held)
            self.ledger.set_held(router, messages.SlotsHeld(SERVER, reported), self.now)
        assert self.ledger.in_use(SERVER) == len(self.running)
        for router in ROUTERS:
            demand = make_demand(AIRLINE, 9, next(self.sequence))
            self.ledger.update_demand(router, demand, self.now)
        self.ledger.issue(self.now)
        assert self.ledger.in_use(SERVER) >= WINDOW


TestLedger = LedgerMachine.TestCase


def test_all_slots_go_to_the_only_waiting_router() -> None:
    ledger = make_ledger()
    ledger.update_demand(ROUTERS[0], make_demand(AIRLINE, 9, 1), WARMED_UP)
    issued = ledger.issue(WARMED_UP)
    assert [item.router for item in issued] == [ROUTERS[0]] * WINDOW


def test_two_accounts_share_slots_and_oldest_router_comes_first() -> None:
    ledger = make_ledger()
    ledger.update_demand(ROUTERS[0], make_demand(AIRLINE, 9, 1, age=1.0), WARMED_UP)
    ledger.update_demand(ROUTERS[1], make_demand(AIRLINE, 9, 1, age=5.0), WARMED_UP)
    ledger.update_demand(ROUTERS[1], make_demand(HANDLER, 9, 2), WARMED_UP)
    issued = ledger.issue(WARMED_UP)
    accounts = [item.grant.account for item in issued]
    assert sorted(accounts) == [AIRLINE, AIRLINE, HANDLER, HANDLER]
    assert issued[0].router == ROUTERS[1]


def test_long_requests_leave_slots_for_short_ones() -> None:
    """Guards against one account that fills a pool with long requests.

    The account is far behind by the counters, so it would get each free slot, and no
    other account would get one until its longest request ends. While others wait, it
    may hold at most half of the slots.
    """
    ledger = make_ledger()
    ledger._counters.record_service(SERVICE, AIRLINE, 50000.0)
    ledger.update_demand(ROUTERS[0], make_demand(HANDLER, 9, 1), 0.0)
    ledger.update_demand(ROUTERS[1], make_demand(AIRLINE, 9, 1), 0.0)
    accounts = [item.grant.account for item in ledger.issue(WARMED_UP)]
    assert accounts == [HANDLER, HANDLER, AIRLINE, AIRLINE]


def test_late_and_duplicate_reports_have_no_effect() -> None:
    ledger = make_ledger()
    ledger.update_demand(ROUTERS[0], make_demand(AIRLINE, 0, 2), WARMED_UP)
    ledger.update_demand(ROUTERS[0], make_demand(AIRLINE, 3, 1), WARMED_UP)
    assert ledger.issue(WARMED_UP) == []


def test_grant_returned_unused_is_not_issued_again() -> None:
    """Guards against a grant that is issued and returned repeatedly.

    One request waits at a router and two homes grant it a slot, so one grant comes
    back. Issued again at once, its slot would idle while other requests wait for it.
    """
    ledger = make_ledger(window=1)
    ledger.update_demand(ROUTERS[0], make_demand(AIRLINE, 1, 1), WARMED_UP)
    grant = ledger.issue(WARMED_UP)[0].grant
    ledger.update_demand(ROUTERS[1], make_demand(HANDLER, 1, 1), WARMED_UP)
    ledger.end_grant(ROUTERS[0], make_ended(grant, 0.0), WARMED_UP)
    assert [item.grant.account for item in ledger.issue(WARMED_UP)] == [HANDLER]


def test_new_home_grants_nothing_before_it_knows_who_holds_slots() -> None:
    """Guards against overload of a server when its home fails over.

    The new home knows of no slot in use. Granting at once would double the load of a
    full server, and every answer would take twice as long.
    """
    ledger = make_ledger(window=0)
    ledger.add_server(SERVER, SERVICE, 2, 10.0, awaited=ROUTERS)
    ledger.update_demand(ROUTERS[0], make_demand(AIRLINE, 5, 1), 10.0)
    assert ledger.issue(10.0) == []
    held = messages.SlotsHeld(SERVER, ((HANDLER, 400.0),))
    ledger.set_held(ROUTERS[0], held, 10.1)
    assert ledger.issue(10.1) == []
    ledger.set_held(ROUTERS[1], messages.SlotsHeld(SERVER, ()), 10.1)
    assert len(ledger.issue(10.1)) == 1
    ended = messages.GrantEnded(ids.GrantId(7), SERVER, HANDLER, 300.0)
    ledger.end_grant(ROUTERS[0], ended, 10.2)
    assert len(ledger.issue(10.2)) == 1


def test_new_home_does_not_wait_for_a_dead_router() -> None:
    ledger = make_ledger(window=0)
    ledger.add_server(SERVER, SERVICE, 2, 10.0, awaited=ROUTERS)
    ledger.update_demand(ROUTERS[0], make_demand(AIRLINE, 5, 1), 10.0)
    assert len(ledger.issue(10.0 + grants.RECOVERY_SECONDS)) == 2


def test_slots_of_a_dead_router_are_freed() -> None:
    ledger = make_ledger()
    ledger.update_demand(ROUTERS[0], make_demand(AIRLINE, 9, 1), WARMED_UP)
    for item in ledger.issue(WARMED_UP):
        ledger.mark_used(ROUTERS[0], make_used(item.grant), WARMED_UP)
    ledger.update_demand(ROUTERS[1], make_demand(HANDLER, 9, 1), WARMED_UP)
    ledger.forget_router(ROUTERS[0])
    issued = ledger.issue(WARMED_UP)
    assert [item.grant.account for item in issued] == [HANDLER] * WINDOW


def test_new_home_lifts_no_account_during_warmup() -> None:
    """Guards against a lift based on partial counters.

    A router takes over a service and knows the service received by one account only.
    Lifting the other by the difference cannot be reverted, and its callers would wait
    for all that the first account had ever received.
    """
    ledger = make_ledger()
    ledger._counters.record_service(SERVICE, AIRLINE, 50000.0)
    ledger.update_demand(ROUTERS[0], make_demand(AIRLINE, 1, 1), 0.5)
    ledger.update_demand(ROUTERS[0], make_demand(HANDLER, 1, 2), 0.5)
    assert ledger.pop_lifts() == []


def test_a_returned_grant_is_followed_by_one_for_another_server() -> None:
    """Guards against repeated grants for a server that may not run the waiting request.

    A request fails on one server and waits to be retried on another. The first server
    has the most free slots, so the home offers it again each time, the router returns
    each grant, and the request expires while another server is free.
    """
    ledger = make_ledger()
    other = ids.ServerId("gate-desk-1")
    ledger.add_server(other, SERVICE, WINDOW, 0.0)
    offered = []
    for sequence in (1, 2):
        ledger.update_demand(ROUTERS[0], make_demand(HANDLER, 1, sequence), WARMED_UP)
        (issued,) = ledger.issue(WARMED_UP)
        offered.append(issued.grant.server)
        ledger.end_grant(ROUTERS[0], make_ended(issued.grant, 0.0), WARMED_UP)
    assert sorted(offered) == [SERVER, other]


def test_two_homes_of_one_server_converge() -> None:
    """Guards against lasting overload when two routers both act as home of a server.

    Both grant its slots, so the server briefly gets up to twice its window. Once the
    views agree, the remaining home learns from the routers which slots are in use, and
    grants nothing until half of them have ended.
    """
    first, second = make_ledger(), make_ledger()
    running = []
    for sequence, ledger in enumerate((first, second), start=1):
        ledger.update_demand(ROUTERS[0], make_demand(AIRLINE, 8, sequence), WARMED_UP)
        for item in ledger.issue(WARMED_UP):
            ledger.mark_used(ROUTERS[0], make_used(item.grant), WARMED_UP)
            running.append(item.grant)
    assert len(running) == 2 * WINDOW
    second.remove_server(SERVER)
    held = messages.SlotsHeld(SERVER, ((AIRLINE, 400.0),) * len(running))
    first.set_held(ROUTERS[0], held, WARMED_UP)
    for grant in running[:WINDOW]:
        assert first.issue(WARMED_UP) == []
        first.end_grant(ROUTERS[0], make_ended(grant, 400.0), WARMED_UP)
    assert first.issue(WARMED_UP) == []
    first.end_grant(ROUTERS[0], make_ended(running[WINDOW], 400.0), WARMED_UP)
    assert len(first.issue(WARMED_UP)) == 1
