"""Membership under loss, duplication, delay, pauses, restarts and partitions."""

from __future__ import annotations

import random

import hypothesis
import msgspec
import pytest
from hypothesis import stateful, strategies

from bench import virtual
from celeryspan import states
from celeryspan.decisions import membership, statements

SIZE = 5
AGREE_SECONDS = 60.0
EVENTS = ("none", "kill", "restart", "pause", "cut", "heal")


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Random faults on five routers, which must converge once the faults end."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = virtual.Fleet(SIZE, 6, loss_share=0.1, duplicate_share=0.2)
        self.names = list(self.fleet.routers)
        self.incarnations = 1

    @stateful.rule(
        event=strategies.sampled_from(EVENTS),
        number=strategies.integers(1, SIZE - 1),
        seconds=strategies.sampled_from([0.2, 1.0, 5.0, 20.0]),
        half=strategies.sets(strategies.integers(0, SIZE - 1), min_size=1),
    )
    def apply_event(self, event, number, seconds, half) -> None:
        """Apply one event and advance time.

        One rule for all events, because runs would leave out some of many rules.
        """
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
                self.fleet.is_partitioned = lambda one, other: (
                    (one in inside) != (other in inside)
                )
            case "heal":
                self.fleet.is_partitioned = lambda *_: False
        self.fleet.run(seconds)

    def restart_without_state(self, number: int) -> None:
        self.incarnations += 1
        member = virtual.make_member(number, self.incarnations)
        self.fleet.start(member, [virtual.make_member(0)])

    @stateful.invariant()
    def own_state_is_alive(self) -> None:
        for router in self.fleet.routers.values():
            assert router.decision.own.state is states.MemberState.ALIVE

    def teardown(self) -> None:
        self.fleet.is_partitioned = lambda *_: False
        self.fleet.loss_share, self.fleet.duplicate_share = 0.01, 0.0
        for router in self.fleet.routers.values():
            router.paused_until = min(router.paused_until, self.fleet.now)
        self.fleet.run_until_converged(AGREE_SECONDS)


TestMembership = MembershipMachine.TestCase
TestMembership.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=15, deadline=None
)


def record_changes(
    fleet: virtual.Fleet, change: statements.Change
) -> list[tuple[float, str]]:
    """Return a list that collects the time and router of each change of one kind."""
    found: list[tuple[float, str]] = []

    def observe(now, _router, seen, member) -> None:
        if seen is change:
            found.append((now, member.router))

    fleet.observe = observe
    return found


@pytest.mark.parametrize("size", [6, 40])
def test_all_routers_detect_the_dead_router_and_no_other(size: int) -> None:
    fleet = virtual.Fleet(size, 1)
    fleet.run(5)
    dead = record_changes(fleet, statements.Change.DEAD)
    victim = list(fleet.routers)[size // 2]
    fleet.routers[victim].running = False
    killed_at = fleet.now
    fleet.run(15)
    assert {name for _, name in dead} == {victim}
    assert len(dead) == size - 1
    assert max(now for now, _ in dead) - killed_at < 10


def test_paused_router_rejoins_on_resume_and_suspects_nobody() -> None:
    """Guards against a resumed VM that declares all its peers dead.

    Its host pauses it for a minute, and its peers declare it dead. When it resumes, its
    probes from before the pause have timed out because it could not read the acks.
    """
    fleet = virtual.Fleet(6, 2, loss_share=0.0)
    fleet.run(5)
    paused = fleet.routers["router-0003"]
    paused.paused_until = fleet.now + 60
    fleet.run(59)
    assert not fleet.has_converged()
    suspected = record_changes(fleet, statements.Change.SUSPECTED)
    refuted = record_changes(fleet, statements.Change.REFUTED)
    fleet.run_until_converged(10)
    assert suspected == []
    assert {name for _, name in refuted} <= {"router-0003"}
    assert paused.decision.own.refutations == 1


def test_members_converge_after_two_partitions_with_a_restart() -> None:
    """Guards against members that stay dead after a network partition heals.

    Two overlapping partitions follow each other. During each a router restarts without
    state and knows only one seed on its own side. After the last one heals, all
    routers must agree on who is alive.
    """
    fleet = virtual.Fleet(12, 3)
    names = list(fleet.routers)
    for inside in ({*names[:6]}, {*names[3:8]}):
        fleet.is_partitioned = lambda one, other, inside=inside: (
            (one in inside) != (other in inside)
        )
        fleet.run(20)
        fleet.start(virtual.make_member(4, 2), [virtual.make_member(5)])
        fleet.run(20)
        visible = fleet.routers[names[5]].decision.alive()
        assert {member.router for member in visible} == inside
    fleet.is_partitioned = lambda *_: False
    assert fleet.run_until_converged(20) < 20


def test_leaving_router_is_reported_as_leaving() -> None:
    fleet = virtual.Fleet(6, 4)
    fleet.run(5)
    leaving = record_changes(fleet, statements.Change.LEAVING)
    router = fleet.routers["router-0002"]
    actions = router.decision.leave(states.MemberState.LEAVING)
    fleet._apply_actions("router-0002", router, actions)
    fleet.run(1)
    assert len(leaving) == 5


def test_busy_state_of_a_router_reaches_all_others() -> None:
    """Guards against routers that select different homes while an overload lasts."""
    fleet = virtual.Fleet(60, 4, loss_share=0.1, duplicate_share=0.2)
    fleet.run(20.0)
    names = list(fleet.routers)
    router = fleet.routers[names[7]]
    for is_busy in (True, False):
        fleet._apply_actions(names[7], router, router.decision.set_busy(is_busy))
        fleet.run(3.0)
        for name in names[:7] + names[8:]:
            record = fleet.routers[name].decision.members.find(names[7])
            assert record.member.is_busy is is_busy


def test_paused_vm_leaves_if_another_vm_has_taken_its_name() -> None:
    """Guards against two VMs that use the same router name.

    A VM is paused, replaced by another of the same name, and resumes. If each raised
    its incarnation above the other's, callers would be sent to both in turn.
    """
    fleet = virtual.Fleet(4, 5)
    old = fleet.routers["router-0001"]
    newer = virtual.make_member(9, 2)
    newer = msgspec.structs.replace(newer, router="router-0001")
    actions = old.decision.handle_statement(newer, 1.0, "router-0002")
    assert actions == []
    assert old.decision.own.state is states.MemberState.LEAVING


def test_traffic_per_router_does_not_depend_on_fleet_size() -> None:
    rates = []
    for size in (6, 60):
        fleet = virtual.Fleet(size, 6)
        fleet.run(5)
        before = fleet.bytes_sent
        fleet.run(30)
        rates.append((fleet.bytes_sent - before) / 30 / size)
    assert max(rates) < 1.1 * min(rates)


def test_router_that_knows_nobody_probes_several_seeds_at_once() -> None:
    """Guards against a start that waits seconds for routers that no longer exist."""
    decision = membership.Membership(virtual.make_member(0), random.Random(1))
    seeds = [virtual.make_member(number).peer_address for number in (1, 2, 3)]
    decision.set_seeds(seeds)
    assert sorted(sent.address for sent in decision.tick(0.0)) == sorted(seeds)
    again = [
        sent.address
        for tick in range(1, 11)
        for sent in decision.tick(tick / 10)
        if sent.address in seeds
    ]
    assert len(again) == 2 * len(seeds)
