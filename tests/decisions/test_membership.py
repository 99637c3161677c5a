"""Membership under loss, doubling, delay, pauses, restarts and cuts."""

from __future__ import annotations

import hypothesis
import msgspec
import pytest
from hypothesis import stateful, strategies

from bench import virtual
from celeryspan import states
from celeryspan.decisions import statements

SIZE = 5
AGREE_SECONDS = 60.0
EVENTS = ("none", "kill", "restart", "pause", "cut", "heal")


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Anything happens to five routers; then nothing does, and they must agree."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = virtual.Fleet(SIZE, 6, loss=0.1, disorder=0.2)
        self.names = list(self.fleet.routers)
        self.lives = 1

    @stateful.rule(
        event=strategies.sampled_from(EVENTS),
        number=strategies.integers(1, SIZE - 1),
        seconds=strategies.sampled_from([0.2, 1.0, 5.0, 20.0]),
        half=strategies.sets(strategies.integers(0, SIZE - 1), min_size=1),
    )
    def happen(self, event, number, seconds, half) -> None:
        """Let one thing happen and time pass; a rule each would be left out by runs."""
        router = self.fleet.routers[self.names[number]]
        inside = {self.names[place] for place in half}
        match event:
            case "kill":
                router.running = False
            case "restart":
                self.restart_without_state(number)
            case "pause":
                router.paused_until = self.fleet.now + seconds
            case "cut":
                self.fleet.cut = lambda one, other: (one in inside) != (other in inside)
            case "heal":
                self.fleet.cut = lambda *_: False
        self.fleet.run(seconds)

    def restart_without_state(self, number: int) -> None:
        self.lives += 1
        member = virtual.make_member(number, self.lives)
        self.fleet.start(member, [virtual.make_member(0)])

    @stateful.invariant()
    def holds_itself_alive(self) -> None:
        for router in self.fleet.routers.values():
            assert router.decision.own.state is states.MemberState.ALIVE

    def teardown(self) -> None:
        self.fleet.cut = lambda *_: False
        self.fleet.loss, self.fleet.disorder = 0.01, 0.0
        for router in self.fleet.routers.values():
            router.paused_until = min(router.paused_until, self.fleet.now)
        self.fleet.run_until_agreed(AGREE_SECONDS)


TestMembership = MembershipMachine.TestCase
TestMembership.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=15, deadline=None
)


def watch(fleet: virtual.Fleet, change: statements.Change) -> list[tuple[float, str]]:
    """Note who is found to have changed so, and when."""
    found: list[tuple[float, str]] = []

    def observe(now, _router, seen, member) -> None:
        if seen is change:
            found.append((now, member.router))

    fleet.observe = observe
    return found


@pytest.mark.parametrize("size", [6, 40])
def test_dead_router_is_found_by_all_and_nobody_else(size: int) -> None:
    fleet = virtual.Fleet(size, 1)
    fleet.run(5)
    dead = watch(fleet, statements.Change.DEAD)
    victim = list(fleet.routers)[size // 2]
    fleet.routers[victim].running = False
    began = fleet.now
    fleet.run(15)
    assert {name for _, name in dead} == {victim}
    assert len(dead) == size - 1
    assert max(now for now, _ in dead) - began < 10


def test_paused_router_that_wakes_rejoins_and_suspects_nobody() -> None:
    """A VM is frozen for a minute by its host and its callers come back to it.

    Its peers hold it dead meanwhile. When it wakes it has a minute of unanswered
    probes on its books; it must not hold all others dead for that.
    """
    fleet = virtual.Fleet(6, 2, loss=0.0)
    fleet.run(5)
    sleeper = fleet.routers["router-0003"]
    sleeper.paused_until = fleet.now + 60
    fleet.run(59)
    assert not fleet.agrees()
    suspected = watch(fleet, statements.Change.SUSPECTED)
    refuted = watch(fleet, statements.Change.REFUTED)
    fleet.run_until_agreed(10)
    assert suspected == []
    assert {name for _, name in refuted} <= {"router-0003"}
    assert sleeper.decision.own.refutations == 1


def test_cut_in_two_twice_heals_and_merges_with_a_restart_inside() -> None:
    """Two data centres lose each other, and again while the first cut is mended.

    A router restarts inside the cut with no state: it knows the settings' peers of
    its own side only. When the cut heals all must hold the same ones alive.
    """
    fleet = virtual.Fleet(12, 3)
    names = list(fleet.routers)
    for inside in ({*names[:6]}, {*names[3:8]}):
        fleet.cut = lambda one, other, inside=inside: (
            (one in inside) != (other in inside)
        )
        fleet.run(20)
        fleet.start(virtual.make_member(4, 2), [virtual.make_member(5)])
        fleet.run(20)
        near = fleet.routers[names[5]].decision.alive()
        assert {member.router for member in near} == inside
    fleet.cut = lambda *_: False
    assert fleet.run_until_agreed(20) < 20


def test_router_that_leaves_is_told_from_one_that_died() -> None:
    fleet = virtual.Fleet(6, 4)
    fleet.run(5)
    leaving = watch(fleet, statements.Change.LEAVING)
    router = fleet.routers["router-0002"]
    actions = router.decision.leave(states.MemberState.LEAVING)
    fleet._carry_out("router-0002", router, actions)
    fleet.run(1)
    assert len(leaving) == 5


def test_all_hear_that_a_router_is_busy_and_that_it_is_calm_again() -> None:
    """Guards against routers that ask different homes for as long as a flood lasts."""
    fleet = virtual.Fleet(60, 4, loss=0.1, disorder=0.2)
    fleet.run(20.0)
    names = list(fleet.routers)
    router = fleet.routers[names[7]]
    for is_busy in (True, False):
        fleet._carry_out(names[7], router, router.decision.set_busy(is_busy))
        fleet.run(3.0)
        for name in names[:7] + names[8:]:
            belief = fleet.routers[name].decision.members.find(names[7])
            assert belief.member.is_busy is is_busy


def test_name_taken_by_another_vm_is_given_up_by_the_paused_one() -> None:
    """A VM is paused and replaced by another of its name, then wakes.

    Were each to outdo the other's incarnation they would do so for ever, and callers
    would be sent to one and the other in turn.
    """
    fleet = virtual.Fleet(4, 5)
    old = fleet.routers["router-0001"]
    later = virtual.make_member(9, 2)
    later = msgspec.structs.replace(later, router="router-0001")
    actions = old.decision.handle_statement(later, 1.0, "router-0002")
    assert actions == []
    assert old.decision.own.state is states.MemberState.LEAVING


def test_cost_is_flat() -> None:
    rates = []
    for size in (6, 60):
        fleet = virtual.Fleet(size, 6)
        fleet.run(5)
        before = fleet.bytes_sent
        fleet.run(30)
        rates.append((fleet.bytes_sent - before) / 30 / size)
    assert max(rates) < 1.1 * min(rates)
