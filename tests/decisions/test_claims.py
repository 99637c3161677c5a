"""The ledger runs each named request at most once and stays within its bounds."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful, strategies

from celeryspan import ids, states
from celeryspan.decisions import claims, tickets

NAMES = [
    claims.RequestName(claims.NameKind.TICKET, ids.AccountId("gates"), str(number))
    for number in range(4)
]


class Ledger(stateful.RuleBasedStateMachine):
    """Sends requests under a few names, in any order, over more than an hour.

    Guards against a request that runs twice. Callers repeat a request while the first
    attempt runs and up to an hour later; no repeat may run within the time in which its
    ticket is valid.
    """

    def __init__(self) -> None:
        super().__init__()
        self.ledger = claims.Ledger(records_max=3)
        self.now = 0.0
        self.running: set[claims.RequestName] = set()
        self.ended: dict[claims.RequestName, float] = {}

    @stateful.rule(seconds=strategies.floats(0, 400))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def send(self, name: claims.RequestName) -> None:
        decision = self.ledger.begin(name, "same", self.now)
        if decision is claims.Decision.RUN:
            assert name not in self.running
            ended = self.ended.get(name, -tickets.VALID_SECONDS)
            assert self.now - ended >= tickets.VALID_SECONDS
            self.running.add(name)
        if decision is claims.Decision.WAIT:
            assert name in self.running

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data(), size=strategies.integers(0, 100))
    def settle(self, data: strategies.DataObject, size: int) -> None:
        name = data.draw(strategies.sampled_from(sorted(self.running, key=str)))
        self.running.remove(name)
        self.ended[name] = self.ledger.find(name).since
        answer = claims.Answer(200, (), b"x" * size)
        self.ledger.settle(name, states.Outcome.RAN, answer)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data())
    def free(self, data: strategies.DataObject) -> None:
        name = data.draw(strategies.sampled_from(sorted(self.running, key=str)))
        self.running.remove(name)
        self.ledger.release(name)

    @stateful.invariant()
    def check_bounds(self) -> None:
        assert len(self.ledger) <= 3
        kept = [self.ledger.find(name) for name in NAMES]
        sizes = [len(item.answer.body) for item in kept if item and item.answer]
        assert sum(sizes) == self.ledger.answer_bytes


TestLedger = Ledger.TestCase


def test_evicted_answers_keep_their_outcome(monkeypatch) -> None:
    monkeypatch.setattr(claims, "ANSWERS_BYTES_MAX", 10)
    ledger = claims.Ledger()
    for name in NAMES[:2]:
        ledger.begin(name, "same", 0.0)
        ledger.settle(name, states.Outcome.RAN, claims.Answer(200, (), b"x" * 8))
    assert ledger.begin(NAMES[0], "same", 1.0) is claims.Decision.REPEAT
    assert ledger.find(NAMES[0]).answer is None
    assert ledger.find(NAMES[0]).outcome is states.Outcome.RAN
    assert ledger.find(NAMES[1]).answer is not None


def test_name_cannot_be_reused_for_a_different_request() -> None:
    ledger = claims.Ledger()
    ledger.begin(NAMES[0], "one", 0.0)
    assert ledger.begin(NAMES[0], "other", 0.0) is claims.Decision.MISMATCH


@hypothesis.given(now=strategies.floats(1e9, 2e9), skew=strategies.floats(-300, 300))
def test_routers_near_midnight_see_each_others_claims(now: float, skew: float) -> None:
    """Two routers whose clocks differ by minutes claim one key around midnight.

    Each writes its claim under its own day. Unless each also reads the other's day,
    both run the request.
    """
    first, first_others = claims.find_claim_days(now)
    second, second_others = claims.find_claim_days(now + skew)
    assert first == second or (first in second_others and second in first_others)
