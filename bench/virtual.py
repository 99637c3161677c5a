"""Membership decisions of a whole fleet on a virtual clock.

Only a queue of datagrams with delay and loss; each router is the decision itself.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Iterable

from celeryspan import ids, states
from celeryspan.decisions import membership, statements
from celeryspan.wire import codec, messages, proofs

TICK_SECONDS = 0.1
DELAY_SECONDS = (0.0005, 0.004)
EXCHANGE_DELAY_SECONDS = 0.02
LATE_SECONDS = 3.0
OVERHEAD_BYTES = 28 + proofs.TAG_BYTES
"""IP and UDP headers, and the tag."""

Observer = Callable[[float, ids.RouterId, statements.Change, messages.Member], None]


@dataclasses.dataclass(slots=True)
class Router:
    """One router: its decision, and until when it is paused."""

    decision: membership.Membership
    running: bool = True
    paused_until: float = 0.0


class Fleet:
    """Routers that exchange datagrams on a virtual clock.

    Parameters
    ----------
    loss : float
        Part of the datagrams that are lost.
    disorder : float
        Part of the datagrams that come twice, the second time late.

    Attributes
    ----------
    cut : callable
        Whether a datagram between two addresses is stopped by a partition.
    """

    def __init__(
        self,
        size: int,
        seed: int,
        *,
        loss: float = 0.01,
        disorder: float = 0.0,
        joined: bool = True,
    ) -> None:
        self.now = 0.0
        self.bytes_sent = 0
        self.observe: Observer = lambda *_: None
        self.cut: Callable[[ids.RouterId, ids.RouterId], bool] = lambda *_: False
        self.loss = loss
        self.disorder = disorder
        self.routers: dict[ids.RouterId, Router] = {}
        self._generator = random.Random(seed)
        self._names: dict[ids.Address, ids.RouterId] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        members = [make_member(number) for number in range(size)]
        for member in members:
            self.start(member, members if joined else members[:1])

    def start(self, member: messages.Member, known: Iterable[messages.Member]) -> None:
        """Start a router that knows some members' statements or, by seeds, none."""
        generator = random.Random(self._generator.random())
        router = Router(membership.Membership(member, generator))
        router.decision.set_seeds(other.peer_address for other in known)
        if len(known) > 1:
            for other in known:
                router.decision.handle_statement(
                    other, self.now, member.router, spread=False
                )
        router.decision.changes.clear()
        self.routers[member.router] = router
        self._names[member.peer_address] = member.router
        self._at(self._generator.uniform(0, 1), lambda: self._tick(member, router))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, task = heapq.heappop(self._queue)
            task()
        self.now = end

    def agrees(self) -> bool:
        """Whether each running router holds exactly the running ones alive."""
        running = {name for name, router in self.routers.items() if router.running}
        return all(
            {member.router for member in router.decision.alive()} == running
            for router in self.routers.values()
            if router.running
        )

    def run_until_agreed(self, limit: float) -> float:
        """Let time pass until all agree; returns how long it took, in seconds."""
        began = self.now
        while not self.agrees():
            if self.now - began > limit:
                raise AssertionError(f"no agreement within {limit} s")
            self.run(0.25)
        return self.now - began

    def _at(self, delay: float, task: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + delay, next(self._order), task))

    def _tick(self, member: messages.Member, router: Router) -> None:
        if not router.running or self.routers[member.router] is not router:
            return
        if router.paused_until <= self.now:
            self._carry_out(member.router, router, router.decision.tick(self.now))
        wait = max(TICK_SECONDS, router.paused_until - self.now)
        self._at(wait, lambda: self._tick(member, router))

    def _carry_out(
        self,
        name: ids.RouterId,
        router: Router,
        actions: list[statements.Action],
    ) -> None:
        for change, member in router.decision.changes:
            self.observe(self.now, name, change, member)
        router.decision.changes.clear()
        for action in actions:
            if isinstance(action, statements.Send):
                self._send(name, router, action)
            elif not self.cut(name, action.peer):
                self._exchange(name, action.peer)

    def _send(
        self, name: ids.RouterId, router: Router, action: statements.Send
    ) -> None:
        incarnation = router.decision.own.incarnation
        frame = messages.Frame(name, incarnation, 1, action.batch)
        self.bytes_sent += len(codec.encode(frame)) + OVERHEAD_BYTES
        target = self._names.get(action.address)
        if target is None or self.cut(name, target):
            return
        if self._generator.random() < self.loss:
            return
        source = router.decision.own.peer_address
        delay = self._generator.uniform(*DELAY_SECONDS)
        self._at(delay, lambda: self._deliver(name, source, target, action.batch))
        if self._generator.random() < self.disorder:
            late = self._generator.uniform(0, LATE_SECONDS)
            self._at(late, lambda: self._deliver(name, source, target, action.batch))

    def _deliver(
        self,
        sender: ids.RouterId,
        source: ids.Address,
        target: ids.RouterId,
        batch: tuple[messages.Message, ...],
    ) -> None:
        router = self.routers[target]
        if not router.running:
            return
        if router.paused_until > self.now:
            wait = router.paused_until - self.now + 0.001
            self._at(wait, lambda: self._deliver(sender, source, target, batch))
            return
        actions = router.decision.receive(self.now, sender, source, batch)
        self._carry_out(target, router, actions)

    def _exchange(self, first: ids.RouterId, second: ids.RouterId) -> None:
        for sender, target in ((first, second), (second, first)):
            statements = self.routers[sender].decision.list_members()
            self._at(
                EXCHANGE_DELAY_SECONDS,
                lambda sender=sender, target=target, statements=statements: (
                    self._hand_over(sender, target, statements)
                ),
            )

    def _hand_over(
        self,
        sender: ids.RouterId,
        target: ids.RouterId,
        statements: list[messages.Member],
    ) -> None:
        router = self.routers[target]
        if not router.running or not self.routers[sender].running:
            return
        actions: list[statements.Action] = []
        for member in statements:
            actions += router.decision.handle_statement(
                member, self.now, sender, spread=False
            )
        self._carry_out(target, router, actions)


def make_member(number: int, incarnation: int = 1) -> messages.Member:
    """Return a router's first statement about itself."""
    high, low = divmod(number, 250)
    return messages.Member(
        router=ids.RouterId(f"router-{number:04}"),
        incarnation=ids.Incarnation(1_700_000_000_000_000 + incarnation),
        state=states.MemberState.ALIVE,
        data_centre=ids.DataCentreId(f"dc-{number % 40}"),
        caller_address=ids.Address(f"10.0.{high}.{low}", 8000),
        peer_address=ids.Address(f"10.0.{high}.{low}", 7000),
        generation=ids.Generation(1),
        refutations=0,
    )
