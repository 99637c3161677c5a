"""Membership of a whole fleet, simulated on a virtual clock.

Each router runs the daemon's membership decisions; only the datagrams between them are
simulated, with delay, loss and duplication.
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
DELAY_RANGE_SECONDS = (0.0005, 0.004)
EXCHANGE_DELAY_SECONDS = 0.02
MAX_DUPLICATE_DELAY_SECONDS = 3.0
DATAGRAM_OVERHEAD_BYTES = 28 + proofs.TAG_BYTES
"""Size of the IP and UDP headers and of the authentication tag."""

Observer = Callable[[float, ids.RouterId, statements.Change, messages.Member], None]


@dataclasses.dataclass(slots=True)
class Router:
    """A simulated router; it processes nothing before ``paused_until``."""

    decision: membership.Membership
    running: bool = True
    paused_until: float = 0.0


class Fleet:
    """Routers that exchange datagrams on a virtual clock.

    Parameters
    ----------
    loss_share : float
        Share of datagrams that are lost.
    duplicate_share : float
        Share of datagrams that are delivered twice, the second time late.

    Attributes
    ----------
    is_partitioned : callable
        Whether a partition blocks datagrams between two routers.
    """

    def __init__(
        self,
        size: int,
        seed: int,
        *,
        loss_share: float = 0.01,
        duplicate_share: float = 0.0,
        joined: bool = True,
    ) -> None:
        self.now = 0.0
        self.bytes_sent = 0
        self.observe: Observer = lambda *_: None
        self.is_partitioned: Callable[[ids.RouterId, ids.RouterId], bool] = lambda *_: (
            False
        )
        self.loss_share = loss_share
        self.duplicate_share = duplicate_share
        self.routers: dict[ids.RouterId, Router] = {}
        self._generator = random.Random(seed)
        self._routers_by_address: dict[ids.Address, ids.RouterId] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        members = [make_member(number) for number in range(size)]
        for member in members:
            self.start(member, members if joined else members[:1])

    def start(self, member: messages.Member, known: Iterable[messages.Member]) -> None:
        """Start a router that knows the given members.

        A single member serves as seed address only; its statement is not known yet.
        """
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
        self._routers_by_address[member.peer_address] = member.router
        self._schedule(
            self._generator.uniform(0, 1), lambda: self._tick(member, router)
        )

    def run(self, seconds: float) -> None:
        """Advance the virtual clock."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, task = heapq.heappop(self._queue)
            task()
        self.now = end

    def has_converged(self) -> bool:
        """Return whether each running router sees exactly the running ones as alive."""
        running = {name for name, router in self.routers.items() if router.running}
        return all(
            {member.router for member in router.decision.alive()} == running
            for router in self.routers.values()
            if router.running
        )

    def run_until_converged(self, limit: float) -> float:
        """Run until all routers agree on the members; return the seconds it took."""
        started_at = self.now
        while not self.has_converged():
            if self.now - started_at > limit:
                raise AssertionError(f"membership did not converge within {limit} s")
            self.run(0.25)
        return self.now - started_at

    def _schedule(self, delay: float, task: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + delay, next(self._order), task))

    def _tick(self, member: messages.Member, router: Router) -> None:
        if not router.running or self.routers[member.router] is not router:
            return
        if router.paused_until <= self.now:
            self._apply_actions(member.router, router, router.decision.tick(self.now))
        delay = max(TICK_SECONDS, router.paused_until - self.now)
        self._schedule(delay, lambda: self._tick(member, router))

    def _apply_actions(
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
            elif not self.is_partitioned(name, action.peer):
                self._exchange_members(name, action.peer)

    def _send(
        self, name: ids.RouterId, router: Router, action: statements.Send
    ) -> None:
        incarnation = router.decision.own.incarnation
        frame = messages.Frame(name, incarnation, 1, action.batch)
        self.bytes_sent += len(codec.encode(frame)) + DATAGRAM_OVERHEAD_BYTES
        target = self._routers_by_address.get(action.address)
        if target is None or self.is_partitioned(name, target):
            return
        if self._generator.random() < self.loss_share:
            return
        source = router.decision.own.peer_address
        delay = self._generator.uniform(*DELAY_RANGE_SECONDS)
        self._schedule(delay, lambda: self._deliver(name, source, target, action.batch))
        if self._generator.random() < self.duplicate_share:
            duplicate_delay = self._generator.uniform(0, MAX_DUPLICATE_DELAY_SECONDS)
            self._schedule(
                duplicate_delay,
                lambda: self._deliver(name, source, target, action.batch),
            )

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
            delay = router.paused_until - self.now + 0.001
            self._schedule(delay, lambda: self._deliver(sender, source, target, batch))
            return
        actions = router.decision.receive(self.now, sender, source, batch)
        self._apply_actions(target, router, actions)

    def _exchange_members(self, first: ids.RouterId, second: ids.RouterId) -> None:
        for sender, target in ((first, second), (second, first)):
            members = self.routers[sender].decision.list_members()
            self._schedule(
                EXCHANGE_DELAY_SECONDS,
                lambda sender=sender, target=target, members=members: (
                    self._deliver_members(sender, target, members)
                ),
            )

    def _deliver_members(
        self,
        sender: ids.RouterId,
        target: ids.RouterId,
        members: list[messages.Member],
    ) -> None:
        router = self.routers[target]
        if not router.running or not self.routers[sender].running:
            return
        actions: list[statements.Action] = []
        for member in members:
            actions += router.decision.handle_statement(
                member, self.now, sender, spread=False
            )
        self._apply_actions(target, router, actions)


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
