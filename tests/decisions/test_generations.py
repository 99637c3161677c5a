"""The applied generation never decreases, whatever is offered."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful, strategies

from celeryspan.decisions import generations

SIZE = 4
NUMBERS = strategies.integers(0, SIZE - 1)


class GenerationMachine(stateful.RuleBasedStateMachine):
    """Four routers, concurrent operators, and a store with stale reads."""

    def __init__(self) -> None:
        super().__init__()
        self.history = [generations.NONE]
        self.authors: dict[int, str] = {}
        self.routers = [generations.Generations() for _ in range(SIZE)]
        self.seen = [generations.NONE] * SIZE
        self.messages: list[tuple[int, int]] = []

    @stateful.rule(behind=strategies.integers(0, 2), author=strategies.text(max_size=2))
    def apply(self, behind: int, author: str) -> None:
        """Write the next generation by conditional update; fails after a stale read."""
        read = max(0, len(self.history) - 1 - behind)
        if read != len(self.history) - 1:
            return
        generation = self.history[read] + 1
        assert generation not in self.authors
        self.authors[generation] = author
        self.history.append(generation)

    @stateful.rule(number=NUMBERS, stale=strategies.integers(0, 3))
    def read_store(self, number: int, stale: int) -> None:
        index = max(0, len(self.history) - 1 - stale)
        self.offer(number, self.history[index])

    @stateful.rule(sender=NUMBERS, receiver=NUMBERS, copies=strategies.integers(0, 2))
    def send(self, sender: int, receiver: int, copies: int) -> None:
        """Queue no, one or two copies of a message, to be delivered in any order."""
        self.messages += [(receiver, self.routers[sender].current)] * copies

    @stateful.rule(data=strategies.data())
    def deliver(self, data) -> None:
        if self.messages:
            index = data.draw(strategies.integers(0, len(self.messages) - 1))
            self.offer(*self.messages.pop(index))

    @stateful.rule(number=NUMBERS)
    def restart_without_state(self, number: int) -> None:
        self.routers[number] = generations.Generations()
        self.seen[number] = generations.NONE
        assert not self.routers[number].serves

    def offer(self, number: int, offered: int) -> None:
        router = self.routers[number]
        before = router.current
        applied = router.apply(offered)
        assert applied == (offered > before)

    @stateful.invariant()
    def never_decreases(self) -> None:
        for number, router in enumerate(self.routers):
            assert router.current >= self.seen[number]
            assert router.current <= self.history[-1]
            self.seen[number] = router.current


TestGenerations = GenerationMachine.TestCase
TestGenerations.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40, deadline=None
)


def test_only_higher_generations_are_applied() -> None:
    router = generations.Generations()
    assert router.evaluate(generations.NONE) is generations.OfferResult.SAME
    assert router.evaluate(3) is generations.OfferResult.APPLY
    assert router.apply(3)
    assert router.serves
    assert router.evaluate(2) is generations.OfferResult.OLD
    assert not router.apply(2)
