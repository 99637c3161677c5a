"""At most one router holds a lease, despite store faults and clock drift."""

from __future__ import annotations

import dataclasses
import itertools

import hypothesis
from hypothesis import stateful, strategies

from celeryspan.decisions import leases

RATES = (1.0, 1.05, 0.95)
"""Clock rate of each router; the clocks also have different offsets."""

EVENTS = (
    *["call"] * 4,
    "send",
    "arrive",
    "answer",
    "expiry",
    "expiry",
    "late",
    "restart",
)

NUMBERS = strategies.integers(0, len(RATES) - 1)


@dataclasses.dataclass
class InFlightCall:
    """A store call in flight, and its result once it has reached the store."""

    call: leases.Call
    arrived: bool = False
    found: tuple[leases.Record | None, int] = (None, 0)
    refused: bool = False


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Three routers and one lease; writes and answers are lost, late or stale."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.leases = [leases.Lease(f"router-{number}") for number in range(3)]
        self.values: list[leases.Record | None] = [None]
        self.flights: list[InFlightCall | None] = [None] * 3
        self.late: list[InFlightCall] = []
        self.names = 0

    def clock(self, number: int) -> float:
        return 1_000.0 * number + self.now * RATES[number]

    def name(self) -> str:
        self.names += 1
        return f"name-{self.names}"

    def execute(self, flight: InFlightCall, stale: bool = False) -> None:
        """Execute a call in the store; versions are indexes into the history."""
        call, version = flight.call, len(self.values) - 1
        flight.arrived = True
        if call.operation is leases.Operation.READ:
            version = max(0, version - stale)
            flight.found = (self.values[version], version)
            return
        expected = 0 if call.operation is leases.Operation.CREATE else call.version
        flight.refused = expected != version
        if not flight.refused:
            self.values.append(call.record)
            flight.found = (call.record, version + 1)

    @stateful.rule(
        event=strategies.sampled_from(EVENTS),
        number=NUMBERS,
        other=NUMBERS,
        seconds=strategies.sampled_from([0.0, 0.1, 5.5, 5.5, 19.0]),
        stale=strategies.booleans(),
    )
    def apply_event(self, event, number, other, seconds, stale) -> None:
        """Advance time and apply one event.

        One rule for all events, because runs would leave out some of many rules.
        """
        self.now += seconds
        match event:
            case "call":
                self.make_call(number)
            case "send":
                self.send(number)
            case "arrive":
                self.arrive(number, stale)
            case "answer":
                self.answer(number)
            case "expiry":
                self.call_near_expiry(number, other)
            case "late" if self.late:
                self.execute(self.late.pop(0))
            case "restart":
                self.restart(number)

    def send(self, number: int) -> None:
        """Send the next call; an earlier one without an answer may still arrive."""
        self.abandon_call(number)
        call = self.leases[number].next_call(
            self.clock(number), self.name(), wanted=True
        )
        if call.operation is not leases.Operation.NONE:
            self.flights[number] = InFlightCall(call)

    def arrive(self, number: int, stale: bool) -> None:
        flight = self.flights[number]
        if flight is not None and not flight.arrived:
            self.execute(flight, stale)

    def answer(self, number: int) -> None:
        flight = self.flights[number]
        if flight is None or not flight.arrived:
            return
        self.flights[number] = None
        lease = self.leases[number]
        if flight.refused:
            lease.record_conflict()
        elif flight.call.operation is leases.Operation.READ:
            lease.record_read(*flight.found, self.clock(number))
        else:
            lease.record_written(flight.found[1])

    def make_call(self, number: int) -> None:
        self.send(number)
        self.arrive(number, stale=False)
        self.answer(number)

    def call_near_expiry(self, number: int, other: int) -> None:
        """Let a router call just before the term of another one ends."""
        left = self.leases[number]._valid_until - self.clock(number)
        if left > 0.2:
            self.now += (left - 0.1) / RATES[number]
            self.make_call(other)

    def abandon_call(self, number: int) -> None:
        flight = self.flights[number]
        if flight is not None and not flight.arrived:
            self.late.append(flight)
        self.flights[number] = None

    def restart(self, number: int) -> None:
        self.abandon_call(number)
        self.leases[number] = leases.Lease(f"router-{number}/{self.name()}")

    @stateful.invariant()
    def one_holder(self) -> None:
        holders = [
            number
            for number, lease in enumerate(self.leases)
            if lease.holds(self.clock(number))
        ]
        assert len(holders) <= 1

    @stateful.invariant()
    def fences_grow_with_each_holder(self) -> None:
        records = [record for record in self.values if record is not None]
        for before, after in itertools.pairwise(records):
            if after.holder != before.holder:
                assert after.fence > before.fence
            assert after.fence >= before.fence


TestLeases = LeaseMachine.TestCase
TestLeases.settings = hypothesis.settings(
    max_examples=400, stateful_step_count=50, deadline=None
)


def acquire(lease: leases.Lease, now: float) -> None:
    """Read an empty store and create the lease."""
    assert lease.next_call(now, "w0", wanted=True).operation is leases.Operation.READ
    lease.record_read(None, 0, now)
    now += leases.RENEW_SECONDS
    assert lease.next_call(now, "w1", wanted=True).operation is leases.Operation.CREATE
    lease.record_written(1)


def test_paused_holder_loses_the_lease_before_another_can_take_it() -> None:
    """Guards against two holders that load different models into one engine in turn.

    The holder is paused by its host for longer than its term, another router takes
    the lease, and the first one resumes where it stopped.
    """
    first, second = leases.Lease("first"), leases.Lease("second")
    acquire(first, 0.0)
    sent_at = leases.RENEW_SECONDS
    record = leases.Record("first", 1, "w1")
    second.next_call(sent_at, "x", wanted=True)
    second.record_read(record, 1, sent_at + 0.01)
    expires_at = sent_at + 0.01 + leases.LEASE_SECONDS + leases.CLOCK_MARGIN_SECONDS
    assert (
        second.next_call(expires_at - 0.1, "x1", wanted=True).operation
        is leases.Operation.READ
    )
    assert not first.holds(expires_at - leases.CLOCK_MARGIN_SECONDS)
    taken = second.next_call(expires_at + leases.RENEW_SECONDS, "x2", wanted=True)
    assert taken.operation is leases.Operation.UPDATE
    assert taken.record.fence == 2
    second.record_written(2)
    assert not first.may_order(expires_at + 6, checks_fence=True)


def test_new_holder_waits_for_orders_of_the_previous_one() -> None:
    lease = leases.Lease("first")
    acquire(lease, 0.0)
    taken_at = leases.RENEW_SECONDS
    assert lease.may_order(taken_at + 0.1, checks_fence=True)
    assert not lease.may_order(taken_at + 0.1, checks_fence=False)
    later = taken_at + leases.ORDER_SECONDS
    assert lease.may_order(later, checks_fence=False)
    end = taken_at + leases.LEASE_SECONDS
    assert not lease.may_order(end - leases.ORDER_SECONDS, checks_fence=True)


def test_write_with_a_lost_answer_is_confirmed_by_a_read() -> None:
    lease = leases.Lease("first")
    lease.next_call(0.0, "w0", wanted=True)
    lease.record_read(None, 0, 0.0)
    call = lease.next_call(5.0, "w1", wanted=True)
    assert not lease.holds(5.1)
    assert lease.next_call(10.0, "w2", wanted=True).operation is leases.Operation.READ
    lease.record_read(call.record, 1, 10.1)
    assert lease.holds(10.2)
    assert not lease.holds(5.0 + leases.LEASE_SECONDS)
