"""The ledger of a home, under messages lost, doubled, late and reordered."""

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
LATER = grants.LIFT_WARMUP_SECONDS


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
    """Two routers queue, use and end; their messages suffer, and in the end they tell.

    Whatever was lost, the ledger is right again once each router has said which slots
    it holds; until then it never grants beyond the window.
    """

    def __init__(self) -> None:
        super().__init__()
        self.ledger = make_ledger()
        self.now = LATER
        self.sequence = itertools.count(1)
        self.granted: list[grants.IssuedGrant] = []
        self.running: list[grants.IssuedGrant] = []
        self.under_way: list[tuple] = []

    @stateful.rule(
        router=strategies.sampled_from(ROUTERS),
        account=strategies.sampled_from((AIRLINE, HANDLER)),
        waiting=strategies.integers(0, 5),
    )
    def report(
        self, router: ids.RouterId, account: ids.AccountId, waiting: int
    ) -> None:
        demand = make_demand(account, waiting, next(self.sequence))
        self.under_way.append((self.ledger.update_demand, router, demand))

    @stateful.precondition(lambda self: self.under_way)
    @stateful.rule(data=strategies.data(), keep=strategies.booleans())
    def deliver(self, data: strategies.DataObject, keep: bool) -> None:
        index = data.draw(strategies.integers(0, len(self.under_way) - 1))
        call, router, message = self.under_way[index]
        call(router, message, self.now)
        if not keep:
            del self.under_way[index]

    @stateful.precondition(lambda self: self.under_way)
    @stateful.rule(data=strategies.data())
    def lose(self, data: strategies.DataObject) -> None:
        del self.under_way[data.draw(strategies.integers(0, len(self.under_way) - 1))]

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
        self.under_way.append(
            (self.ledger.mark_used, item.router, make_used(item.grant))
        )

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data())
    def end(self, data: strategies.DataObject) -> None:
        item = self.running.pop(
            data.draw(strategies.integers(0, len(self.running) - 1))
        )
        ended = make_ended(item.grant, 400.0)
        self.under_way.append((self.ledger.end_grant, item.router, ended))

    @stateful.rule()
    def wait(self) -> None:
        self.now += grants.VALID_SECONDS + grants.GRACE_SECONDS
        self.ledger.expire(self.now)
        self.granted.clear()

    def teardown(self) -> None:
        self.wait()
        for router in ROUTERS:
            held = [item for item in self.running if item.router == router]
            told = tuple((item.grant.account, 400.0) for item in held)
            self.ledger.set_held(router, messages.SlotsHeld(SERVER, told), self.now)
        assert self.ledger.in_use(SERVER) == len(self.running)
        for router in ROUTERS:
            demand = make_demand(AIRLINE, 9, next(self.sequence))
            self.ledger.update_demand(router, demand, self.now)
        self.ledger.issue(self.now)
        assert self.ledger.in_use(SERVER) >= WINDOW


TestLedger = LedgerMachine.TestCase


def test_all_slots_go_to_the_only_router_that_waits() -> None:
    ledger = make_ledger()
    ledger.update_demand(ROUTERS[0], make_demand(AIRLINE, 9, 1), LATER)
    issued = ledger.issue(LATER)
    assert [item.router for item in issued] == [ROUTERS[0]] * WINDOW


def test_two_accounts_share_slots_and_oldest_router_comes_first() -> None:
    ledger = make_ledger()
    ledger.update_demand(ROUTERS[0], make_demand(AIRLINE, 9, 1, age=1.0), LATER)
    ledger.update_demand(ROUTERS[1], make_demand(AIRLINE, 9, 1, age=5.0), LATER)
    ledger.update_demand(ROUTERS[1], make_demand(HANDLER, 9, 2), LATER)
    issued = ledger.issue(LATER)
    accounts = [item.grant.account for item in issued]
    assert sorted(accounts) == [AIRLINE, AIRLINE, HANDLER, HANDLER]
    assert issued[0].router == ROUTERS[1]


def test_long_jobs_leave_room_for_short_ones() -> None:
    """Handler reports that run for minutes fill the pool while an airline waits.

    The handler is far behind by the counters, so each free slot would be its own;
    then nobody else gets one for as long as its longest job. Over half of the slots
    it gets none while others wait.
    """
    ledger = make_ledger()
    ledger._counters.record_service(SERVICE, AIRLINE, 50000.0)
    ledger.update_demand(ROUTERS[0], make_demand(HANDLER, 9, 1), 0.0)
    ledger.update_demand(ROUTERS[1], make_demand(AIRLINE, 9, 1), 0.0)
    accounts = [item.grant.account for item in ledger.issue(LATER)]
    assert accounts == [HANDLER, HANDLER, AIRLINE, AIRLINE]


def test_late_and_doubled_reports_change_nothing() -> None:
    ledger = make_ledger()
    ledger.update_demand(ROUTERS[0], make_demand(AIRLINE, 0, 2), LATER)
    ledger.update_demand(ROUTERS[0], make_demand(AIRLINE, 3, 1), LATER)
    assert ledger.issue(LATER) == []


def test_grant_returned_unused_is_not_issued_again() -> None:
    """One request waits at a router and two homes grant it a slot.

    The second grant comes back. Issued again at once it would go to and fro with its
    slot idle, while others wait for that slot.
    """
    ledger = make_ledger(window=1)
    ledger.update_demand(ROUTERS[0], make_demand(AIRLINE, 1, 1), LATER)
    grant = ledger.issue(LATER)[0].grant
    ledger.update_demand(ROUTERS[1], make_demand(HANDLER, 1, 1), LATER)
    ledger.end_grant(ROUTERS[0], make_ended(grant, 0.0), LATER)
    assert [item.grant.account for item in ledger.issue(LATER)] == [HANDLER]


def test_new_home_grants_nothing_before_it_knows_who_holds_slots() -> None:
    """The home of a full server dies, and another router takes over.

    It knows of no slot in use. Granting at once it would double the load of the
    server, and every answer would take twice as long.
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


def test_dead_router_gives_its_slots_back() -> None:
    ledger = make_ledger()
    ledger.update_demand(ROUTERS[0], make_demand(AIRLINE, 9, 1), LATER)
    for item in ledger.issue(LATER):
        ledger.mark_used(ROUTERS[0], make_used(item.grant), LATER)
    ledger.update_demand(ROUTERS[1], make_demand(HANDLER, 9, 1), LATER)
    ledger.forget_router(ROUTERS[0])
    issued = ledger.issue(LATER)
    assert [item.grant.account for item in issued] == [HANDLER] * WINDOW


def test_new_home_lifts_nobody_while_it_learns() -> None:
    """A router takes over a service; the airline's service is known, the handler's not.

    Lifting the handler by the difference cannot be taken back, and its callers would
    wait for all that the airline had ever received.
    """
    ledger = make_ledger()
    ledger._counters.record_service(SERVICE, AIRLINE, 50000.0)
    ledger.update_demand(ROUTERS[0], make_demand(AIRLINE, 1, 1), 0.5)
    ledger.update_demand(ROUTERS[0], make_demand(HANDLER, 1, 2), 0.5)
    assert ledger.pop_lifts() == []


def test_a_grant_that_came_back_is_followed_by_one_for_another_server() -> None:
    """A reading call fails at one gate desk and waits to be tried at the other.

    The first has the most room, so the home offers it again and again; the router
    sends each grant back, and the call ends at its deadline beside a free server.
    """
    ledger = make_ledger()
    other = ids.ServerId("gate-desk-1")
    ledger.add_server(other, SERVICE, WINDOW, 0.0)
    offered = []
    for sequence in (1, 2):
        ledger.update_demand(ROUTERS[0], make_demand(HANDLER, 1, sequence), LATER)
        (issued,) = ledger.issue(LATER)
        offered.append(issued.grant.server)
        ledger.end_grant(ROUTERS[0], make_ended(issued.grant, 0.0), LATER)
    assert sorted(offered) == [SERVER, other]


def test_two_homes_at_once_agree_again() -> None:
    """Two routers believe that they are home of one server, and both grant its slots.

    The server gets up to twice its window for a moment. Once the views agree, the one
    that stays learns from the routers what is in use, and grants nothing before half
    of it has ended.
    """
    first, second = make_ledger(), make_ledger()
    running = []
    for sequence, ledger in enumerate((first, second), start=1):
        ledger.update_demand(ROUTERS[0], make_demand(AIRLINE, 8, sequence), LATER)
        for item in ledger.issue(LATER):
            ledger.mark_used(ROUTERS[0], make_used(item.grant), LATER)
            running.append(item.grant)
    assert len(running) == 2 * WINDOW
    second.remove_server(SERVER)
    held = messages.SlotsHeld(SERVER, ((AIRLINE, 400.0),) * len(running))
    first.set_held(ROUTERS[0], held, LATER)
    for grant in running[:WINDOW]:
        assert first.issue(LATER) == []
        first.end_grant(ROUTERS[0], make_ended(grant, 400.0), LATER)
    assert first.issue(LATER) == []
    first.end_grant(ROUTERS[0], make_ended(running[WINDOW], 400.0), LATER)
    assert len(first.issue(LATER)) == 1
