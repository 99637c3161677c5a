"""Replicas of a store that is restored from copies, with late and lost messages."""

from __future__ import annotations

import enum
from collections.abc import Callable

import hypothesis
from hypothesis import stateful, strategies

from celeryspan import ids, storedobjects
from celeryspan.decisions import replicas, storelog, storeorder

NAMES = ("s1", "s2", "s3")
ROUTERS = 3
SERVER = strategies.sampled_from(NAMES)
ROUTER = strategies.integers(0, ROUTERS - 1)


class Stage(enum.IntEnum):
    """Stage in the life of a server, which never goes back."""

    ABSENT = 0
    READY = 1
    LEAVING = 2
    GONE = 3


POLICY = storeorder.HoldPolicy(
    seconds=10.0,
    missing_seconds=2.0,
    yields=lambda _, listed: listed.spec is Stage.LEAVING,
)


class Store:
    """A store with a history, which can be copied and restored."""

    def __init__(self) -> None:
        self.era = 1
        self.revision = 1
        self.objects: dict[str, storedobjects.StoredObject] = {}
        self.history: list[tuple[int, storedobjects.Change]] = []
        self.copies: list[tuple[int, dict, list]] = []

    @property
    def position(self) -> storedobjects.Position:
        return storedobjects.Position(ids.Era(self.era), self.revision)

    def write(self, name: str, spec: object) -> None:
        self.revision += 1
        found = storedobjects.StoredObject(name, self.revision, spec, None, False)
        self.objects[name] = found
        self.history.append((self.revision, storedobjects.Change(found, False)))

    def remove(self, name: str) -> None:
        found = self.objects.pop(name, None)
        if found is not None:
            self.revision += 1
            self.history.append((self.revision, storedobjects.Change(found, True)))

    def copy(self) -> None:
        self.copies.append((self.revision, dict(self.objects), list(self.history)))

    def restore(self, back: int) -> None:
        """Return to a copy; the later ones belong to a history that is lost."""
        del self.copies[len(self.copies) - back :]
        self.revision, objects, history = self.copies[-1]
        self.objects, self.history = dict(objects), list(history)
        self.era += 1

    def list_objects(self) -> storelog.Batch:
        changes = (storedobjects.Change(each, False) for each in self.objects.values())
        return self._make_batch(0, changes, is_whole=True)

    def watch(self, at: int) -> storelog.Batch | None:
        """Return the changes since a revision, or None if it is not in the history."""
        if at > self.revision:
            return None
        return self._make_batch(
            at, (each for above, each in self.history if above > at)
        )

    def _make_batch(self, above, changes, *, is_whole=False) -> storelog.Batch:
        found = tuple(
            storedobjects.Change(
                storedobjects.StoredObject(
                    each.object.name,
                    each.object.revision,
                    each.object.spec,
                    None,
                    False,
                    self.era,
                ),
                each.is_deleted,
            )
            for each in changes
        )
        return storelog.Batch(above, self.revision, found, is_whole, self.era)


class Router:
    """A replica and the configuration in force on one router.

    Attributes
    ----------
    stages : dict
        Stage of each server in force; GONE also for one that is not known.
    acted : dict
        Latest stage of each server that the router knew to be true.
    """

    def __init__(self) -> None:
        self.replica = replicas.Replica(depth=3, policy=POLICY)
        self.acted: dict[str, Stage] = {}
        self.stages = dict.fromkeys(NAMES, Stage.GONE)
        self.stamp = storeorder.NO_CONFIGURATION
        self.must_list = True
        self.era_began_at = float("-inf")

    def apply(self, batch: storelog.Batch, now: float) -> None:
        if self.replica.is_outdated(batch):
            return
        if self.replica.apply(batch, now) is replicas.Outcome.RESTORED:
            self.era_began_at = now

    def list_stages(self) -> dict[str, Stage]:
        """Return the stage of each server that this router acts on."""
        found = {each.name: each.spec for each in self.replica.list_objects()}
        return {name: found.get(name, Stage.GONE) for name in NAMES}

    def put_in_force(self, stamp: storeorder.ConfigurationStamp) -> None:
        if stamp.supersedes(self.stamp):
            assert stamp.version >= self.stamp.version
            self.stamp = stamp


def make_batch(at: int, *stages: Stage, era: int = 1) -> storelog.Batch:
    """Return a list of servers named s1, s2 and so on, last changed at revision 1."""
    changes = (
        storedobjects.Change(
            storedobjects.StoredObject(name, 1, stage, None, False, ids.Era(era)), False
        )
        for name, stage in zip(NAMES, stages, strict=False)
    )
    return storelog.Batch(0, at, tuple(changes), is_whole=True, era=ids.Era(era))


def test_server_removed_before_a_long_outage_does_not_come_back() -> None:
    """Guards against a removal that is forgotten while the store does not answer."""
    replica = replicas.Replica(policy=POLICY)
    replica.apply(make_batch(1, Stage.READY), 0.0)
    replica.apply(make_batch(2), 1.0)
    replica.expire_held(answered_at=2.0, now=500.0)
    replica.apply(make_batch(1, Stage.READY, era=2), 500.0)
    assert replica.list_objects() == ()


def test_late_message_does_not_prolong_a_hold() -> None:
    """Guards against peers that bring back in turn what is no longer held."""
    replica = replicas.Replica(policy=POLICY)
    replica.apply(make_batch(1, Stage.READY), 0.0)
    replica.apply(make_batch(0, era=2), 1.0)
    held = tuple(replica.list_held())
    assert replica.expire_held(2.9, 2.9) == []
    assert replica.expire_held(3.0, 3.0) == ["s1"]
    assert not replica.receive_held(ids.Era(2), held, 3.5)
    assert replica.list_objects() == ()


class RestorationMachine(stateful.RuleBasedStateMachine):
    """Servers, operators and routers, around a store that loses acknowledged writes."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.store = Store()
        self.store.copy()
        self.truth = dict.fromkeys(NAMES, Stage.ABSENT)
        self.version = 0
        self.routers = [Router() for _ in range(ROUTERS)]
        self.mail: list[Callable[[], None]] = []

    @stateful.rule(name=SERVER)
    def advance(self, name: str) -> None:
        """Let a server register, say that it leaves, or be removed."""
        if self.truth[name] is not Stage.GONE:
            self.truth[name] = Stage(self.truth[name] + 1)
            self.write_again(name)

    @stateful.rule(name=SERVER)
    def write_again(self, name: str) -> None:
        """Write the truth where the store shows something else."""
        stage, found = self.truth[name], self.store.objects.get(name)
        if stage is Stage.GONE:
            self.store.remove(name)
        elif stage is not Stage.ABSENT and (found is None or found.spec is not stage):
            self.store.write(name, stage)

    @stateful.rule(is_new=strategies.booleans())
    def configure(self, is_new: bool) -> None:
        self.version += is_new
        self.store.write("main", self.version)

    @stateful.rule()
    def copy(self) -> None:
        self.store.copy()

    @stateful.rule(back=strategies.integers(0, 1))
    def restore(self, back: int) -> None:
        self.store.restore(min(back, len(self.store.copies) - 1))

    @stateful.rule(names=strategies.lists(SERVER), readers=strategies.sets(ROUTER))
    def lose_writes(self, names: list[str], readers: set[int]) -> None:
        """Restore a copy that lacks what some routers have read since."""
        self.store.copy()
        self.configure(is_new=True)
        for name in names:
            self.advance(name)
        for which in readers:
            self.read(which)
            self.read_configuration(which)
        self.acts_on_nothing_older_than_before()
        self.store.restore(0)
        for which in readers:
            self.read(which)
            self.read_configuration(which)

    @stateful.rule(which=ROUTER)
    def read(self, which: int) -> None:
        router, log = self.routers[which], self.routers[which].replica.log
        batch = None
        if not router.must_list and log.at is not None:
            batch = self.store.watch(log.at)
        if batch is None:
            batch = self.store.list_objects()
        router.must_list = not batch.is_whole and batch.era > log.era
        router.apply(batch, self.now)

    @stateful.rule(which=ROUTER)
    def read_configuration(self, which: int) -> None:
        found = self.store.objects.get("main")
        if found is not None:
            self.routers[which].put_in_force(
                storeorder.ConfigurationStamp(
                    ids.Era(self.store.era), found.revision, found.spec
                )
            )

    @stateful.rule(source=ROUTER, receiver=ROUTER)
    def offer_configuration(self, source: int, receiver: int) -> None:
        stamp = self.routers[source].stamp
        self.mail.append(lambda: self.routers[receiver].put_in_force(stamp))

    @stateful.rule(source=ROUTER, receiver=ROUTER)
    def relay(self, source: int, receiver: int) -> None:
        position = self.routers[receiver].replica.log.position
        batch = self.routers[source].replica.log.batch_since(position)
        if batch is not None:
            self.mail.append(lambda: self.routers[receiver].apply(batch, self.now))

    @stateful.rule(source=ROUTER, receiver=ROUTER)
    def send_held(self, source: int, receiver: int) -> None:
        replica = self.routers[source].replica
        era, held = replica.log.era, tuple(replica.list_held())
        self.mail.append(
            lambda: self.routers[receiver].replica.receive_held(era, held, self.now)
        )

    @stateful.precondition(lambda self: self.mail)
    @stateful.rule(index=strategies.integers(0, 5), is_lost=strategies.booleans())
    def deliver(self, index: int, is_lost: bool) -> None:
        deliver = self.mail.pop(index % len(self.mail))
        if not is_lost:
            deliver()

    @stateful.rule(which=ROUTER)
    def restart(self, which: int) -> None:
        self.routers[which] = Router()

    @stateful.rule(seconds=strategies.sampled_from((0.5, 3.0, 8.0)))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        for router in self.routers:
            router.replica.expire_held(self.now, self.now)

    @stateful.invariant()
    def acts_on_nothing_older_than_before(self) -> None:
        for router in self.routers:
            age = self.now - router.era_began_at
            is_current = router.replica.log.position == self.store.position
            for name, stage in router.list_stages().items():
                acted, before = router.acted.get(name), router.stages[name]
                truth = self.truth[name]
                assert acted is None or stage >= acted or age >= POLICY.seconds, (
                    f"{name} was {acted.name} and is {stage.name} again"
                )
                is_live = before is truth is Stage.READY
                assert (
                    not is_live
                    or stage is not Stage.GONE
                    or age >= POLICY.missing_seconds
                ), f"{name} is live and was dropped"
                router.stages[name] = stage
                # A router that has missed a stage can't tell it, in a copy, from one
                # that was written since.
                is_gone = before is acted is Stage.LEAVING and is_current
                if stage <= truth and (stage is not Stage.GONE or is_gone):
                    router.acted[name] = stage

    def teardown(self) -> None:
        """Let all write again: the routers act on the truth within a stated time."""
        for name in NAMES:
            self.write_again(name)
        self.store.write("main", self.version)
        self.pass_time(POLICY.seconds)
        for which, router in enumerate(self.routers):
            for _ in range(2):
                self.read(which)
            self.read_configuration(which)
            assert router.stamp.version == self.version
            router.replica.expire_held(self.now, self.now + POLICY.seconds)
            expected = {
                name: Stage.GONE if stage is Stage.ABSENT else stage
                for name, stage in self.truth.items()
            }
            assert router.list_stages() == expected


TestRestoration = RestorationMachine.TestCase
TestRestoration.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
