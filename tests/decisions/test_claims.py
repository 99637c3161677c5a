"""The ledger runs a name once, within its bounds."""

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
    """Requests under a few names, in any order, over more than an hour.

    The story: a gang leader's phone repeats a booking several times; two repeats come
    while the first runs, one an hour later. Two gangs drive to one flock if any of
    them runs within the time in which its ticket is valid.
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
    def ask(self, name: claims.RequestName) -> None:
        verdict = self.ledger.begin(name, "same", self.now)
        if verdict is claims.Decision.RUN:
            assert name not in self.running
            ended = self.ended.get(name, -tickets.VALID_SECONDS)
            assert self.now - ended >= tickets.VALID_SECONDS
            self.running.add(name)
        if verdict is claims.Decision.WAIT:
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
    def stay_bounded(self) -> None:
        assert len(self.ledger) <= 3
        kept = [self.ledger.find(name) for name in NAMES]
        sizes = [len(item.answer.body) for item in kept if item and item.answer]
        assert sum(sizes) == self.ledger.answer_bytes


TestLedger = Ledger.TestCase


def test_old_answers_make_room_but_their_outcome_stays(monkeypatch) -> None:
    monkeypatch.setattr(claims, "ANSWERS_BYTES_MAX", 10)
    ledger = claims.Ledger()
    for name in NAMES[:2]:
        ledger.begin(name, "same", 0.0)
        ledger.settle(name, states.Outcome.RAN, claims.Answer(200, (), b"x" * 8))
    assert ledger.begin(NAMES[0], "same", 1.0) is claims.Decision.REPEAT
    assert ledger.find(NAMES[0]).answer is None
    assert ledger.find(NAMES[0]).outcome is states.Outcome.RAN
    assert ledger.find(NAMES[1]).answer is not None


def test_a_name_is_not_used_for_another_request() -> None:
    ledger = claims.Ledger()
    ledger.begin(NAMES[0], "one", 0.0)
    assert ledger.begin(NAMES[0], "other", 0.0) is claims.Decision.MISMATCH


@hypothesis.given(now=strategies.floats(1e9, 2e9), skew=strategies.floats(-300, 300))
def test_routers_near_midnight_see_each_others_claims(now: float, skew: float) -> None:
    """Two routers claim one key around midnight, their clocks minutes apart.

    Each writes under its own day. If neither looks into the other's day, both run.
    """
    one, one_looks = claims.find_claim_days(now)
    other, other_looks = claims.find_claim_days(now + skew)
    assert one == other or (one in other_looks and other in one_looks)
