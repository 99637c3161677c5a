"""Batches from one router bring another one to the same objects."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful, strategies

from celeryspan import ids, storedobjects
from celeryspan.decisions import storelog

NAMES = strategies.sampled_from(["s1", "s2", "s3", "s4"])


def make_change(
    name: str, revision: int, is_deleted: bool = False
) -> storedobjects.Change:
    found = storedobjects.StoredObject(name, revision, {"at": revision}, None, False)
    return storedobjects.Change(found, is_deleted)


def make_position(revision: int, era: int = 0) -> storedobjects.Position:
    return storedobjects.Position(ids.Era(era), revision)


def make_whole(at: int, *changes: storedobjects.Change) -> storelog.Batch:
    return storelog.Batch(0, at, changes, is_whole=True)


def test_no_batch_before_the_first_list() -> None:
    assert storelog.StoreLog().batch_since(make_position(0)) is None


def test_unchanged_kind_is_not_sent_again() -> None:
    """Guards against a full configuration in every report.

    Server heartbeats raise the store's revision a hundred times per second although
    the configuration does not change.
    """
    log = storelog.StoreLog(depth=0)
    log.apply(make_whole(5, make_change("main", 4)))
    log.apply(storelog.Batch(5, 90, ()))
    assert log.batch_since(make_position(5)) == storelog.Batch(5, 90, ())
    assert log.batch_since(make_position(3)).is_whole


def test_batch_after_a_gap_is_detected_and_rejected() -> None:
    """Guards against a lost message that reported the deletion of a server."""
    log = storelog.StoreLog()
    log.apply(make_whole(5, make_change("s1", 4)))
    late = storelog.Batch(7, 9, (make_change("s2", 9),))
    assert not log.apply(late)
    assert log.has_gap_before(late)
    assert log.at == 5


def test_old_batch_is_ignored() -> None:
    """Guards against a late deletion that removes a server which has come back.

    The slower of two sources reports the deletion after the faster one has reported
    that the server returned.
    """
    log = storelog.StoreLog()
    log.apply(make_whole(5, make_change("s1", 4)))
    log.apply(storelog.Batch(5, 9, (make_change("s1", 8, True), make_change("s1", 9))))
    assert not log.apply(storelog.Batch(5, 8, (make_change("s1", 8, True),)))
    assert [
        change.object.name for change in log.batch_since(make_position(0)).changes
    ] == ["s1"]


def make_era(era: int, at: int, *changes: storedobjects.Change) -> storelog.Batch:
    return storelog.Batch(0, at, changes, is_whole=True, era=ids.Era(era))


def test_list_of_a_later_era_replaces_higher_revisions() -> None:
    """Guards against a list that is dropped for its revision after a restoration."""
    log = storelog.StoreLog()
    log.apply(make_era(1, 90, make_change("s1", 90)))
    assert log.apply(make_era(2, 40, make_change("s2", 40)))
    assert log.position == make_position(40, era=2)
    assert set(log.objects) == {"s2"}
    assert log.is_restored


def test_changes_of_a_later_era_without_its_list_are_a_gap() -> None:
    """Guards against a watch that goes on across a restoration."""
    log = storelog.StoreLog()
    log.apply(make_era(1, 90, make_change("s1", 90)))
    later = storelog.Batch(90, 95, (make_change("s2", 95),), era=ids.Era(2))
    assert log.has_gap_before(later)
    assert not log.apply(later)


def test_batch_of_an_earlier_era_is_ignored_and_no_gap() -> None:
    """Guards against a relay that has not heard of the restoration."""
    log = storelog.StoreLog()
    log.apply(make_era(2, 40, make_change("s1", 40)))
    earlier = storelog.Batch(90, 95, (make_change("s2", 95),), era=ids.Era(1))
    assert not log.has_gap_before(earlier)
    assert not log.apply(earlier)
    assert not log.apply(make_era(1, 99))


def test_subscriber_of_an_earlier_era_gets_all_objects() -> None:
    log = storelog.StoreLog()
    log.apply(make_era(2, 40, make_change("s1", 40)))
    assert log.batch_since(make_position(90, era=1)).is_whole
    assert log.batch_since(make_position(40, era=2)).changes == ()
    assert log.batch_since(make_position(1, era=3)) is None


class ReplicationMachine(stateful.RuleBasedStateMachine):
    """A store, two sources that read it, and a receiver subscribed to both."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1
        self.objects: dict[str, storedobjects.StoredObject] = {}
        self.history: list[tuple[int, storedobjects.Change]] = []
        self.sources = [storelog.StoreLog(depth=3), storelog.StoreLog(depth=3)]
        self.receiver = storelog.StoreLog(depth=3)

    @stateful.rule(name=NAMES)
    def write(self, name: str) -> None:
        self.revision += 1
        change = make_change(name, self.revision)
        self.objects[name] = change.object
        self.history.append((self.revision, change))

    @stateful.rule(name=NAMES)
    def delete(self, name: str) -> None:
        found = self.objects.pop(name, None)
        if found is not None:
            self.revision += 1
            change = storedobjects.Change(found, True)
            self.history.append((self.revision, change))

    @stateful.rule(which=strategies.integers(0, 1))
    def read(self, which: int) -> None:
        source = self.sources[which]
        if source.at is None:
            found = tuple(
                storedobjects.Change(each, False) for each in self.objects.values()
            )
            source.apply(storelog.Batch(0, self.revision, found, is_whole=True))
            return
        new = tuple(change for at, change in self.history if at > source.at)
        source.apply(storelog.Batch(source.at, self.revision, new))

    @stateful.rule(which=strategies.integers(0, 1), back=strategies.integers(0, 6))
    def send(self, which: int, back: int) -> None:
        """Send the changes since the receiver's revision, or since an earlier one."""
        above = max(0, (self.receiver.at or 0) - back)
        batch = self.sources[which].batch_since(make_position(above))
        if batch is not None:
            self.receiver.apply(batch)

    @stateful.invariant()
    def holds_the_state_of_its_revision(self) -> None:
        for log in (*self.sources, self.receiver):
            if log.at is None:
                continue
            expected: dict[str, storedobjects.StoredObject] = {}
            for at, change in self.history:
                if at > log.at:
                    break
                if change.is_deleted:
                    expected.pop(change.object.name)
                else:
                    expected[change.object.name] = change.object
            assert log._objects == expected


TestReplication = ReplicationMachine.TestCase
TestReplication.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
