"""What the store proves about streams that no router remembers."""

from __future__ import annotations

import copy
import dataclasses
import itertools

import hypothesis
from hypothesis import stateful, strategies

from celeryspan import catalog, ids, storedobjects
from celeryspan.decisions import versionrecords

SERVICE = ids.ServiceId("planner")
VERSIONS = ("v1", "v2", "v3")
RETENTION = 25.0
ROUTES = 7
HOMES = 2


@dataclasses.dataclass
class Store:
    """The parts of a store that the records use, which may come back from a copy."""

    era: int = 1
    revision: int = 1
    record: versionrecords.VersionRecord | None = None
    record_revision: int = 0
    lists: dict[int, dict[int, str]] = dataclasses.field(default_factory=dict)
    is_away: bool = False

    def write(self, record: versionrecords.VersionRecord, replaced: int | None) -> bool:
        """Write the record at a revision; returns whether it was still the last."""
        if (replaced or 0) != (self.record_revision if self.record else 0):
            return False
        self.revision += 1
        self.record, self.record_revision = record, self.revision
        return True


class Home:
    """A router that places streams."""

    def __init__(self) -> None:
        self.admissions = versionrecords.Admissions()
        self.view: frozenset[str] = frozenset()
        self.view_age = 0.0
        self.placed: dict[int, str] = {}
        self.read: tuple | None = None


@dataclasses.dataclass(frozen=True)
class Stream:
    """A stream that its caller may take up."""

    number: int
    version: str
    began_at: float


class Machine(stateful.RuleBasedStateMachine):
    """Homes, a store and servers, in any order of events."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.store = Store()
        self.saved = copy.deepcopy(self.store)
        self.serving: set[str] = {"v1"}
        self.homes = [Home() for _ in range(HOMES)]
        self.streams: list[Stream] = []
        self.numbers = itertools.count()
        self.late: tuple | None = None

    homes = strategies.integers(0, HOMES - 1)

    @stateful.rule(seconds=strategies.sampled_from((0.2, 3.0, 9.0)))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        for home in self.homes:
            home.view_age += seconds
            is_late = home.view_age > versionrecords.SETTLE_MARGIN_SECONDS / 2
            if is_late and not self.store.is_away:
                self._observe(home)
        self.streams = [s for s in self.streams if s.began_at > self.now - RETENTION]

    @stateful.rule(steps=strategies.integers(2, 6))
    def serve_on(self, steps: int) -> None:
        for step in range(steps):
            self.wait(9.0)
            self.begin_streams()
            self.settle(step % HOMES, is_late=False)

    @stateful.rule(version=strategies.sampled_from(VERSIONS))
    def change_servers(self, version: str) -> None:
        self.serving ^= {version}

    def observe(self, number: int) -> None:
        if not self.store.is_away:
            self._observe(self.homes[number])

    @stateful.rule(is_away=strategies.booleans())
    def reach_store(self, is_away: bool) -> None:
        self.store.is_away = is_away

    @stateful.rule()
    def save_copy(self) -> None:
        self.saved = copy.deepcopy(self.store)

    @stateful.rule()
    def restore_copy(self) -> None:
        era = self.store.era + 1
        self.store = copy.deepcopy(self.saved)
        self.store.era, self.store.is_away = era, False

    @stateful.rule(number=homes)
    def kill(self, number: int) -> None:
        self.homes[number] = Home()

    @stateful.rule()
    def kill_all(self) -> None:
        self.homes = [Home() for _ in range(HOMES)]

    @stateful.rule(number=homes)
    def read_record(self, number: int) -> None:
        if not self.store.is_away:
            home = self.homes[number]
            home.admissions.basis = self._make_basis()
            home.read = self.store.record, self._find_position()

    @stateful.rule(number=homes)
    def confirm_record(self, number: int) -> None:
        home = self.homes[number]
        if home.read is None or self.store.is_away:
            return
        (record, position), home.read = home.read, None
        admissions = home.admissions
        proposed = admissions.propose(SERVICE, record)
        if proposed is not None:
            self._list(number)
            revision = position.revision if record else None
            era = self.store.era
            if not self.store.write(proposed, revision) or era != proposed.basis.era:
                return
            record, position = proposed, self._find_position()
        if record is not None:
            admissions.confirm(SERVICE, record, position, self.now)

    @stateful.rule(number=homes, is_late=strategies.booleans())
    def settle(self, number: int, is_late: bool) -> None:
        home = self.homes[number]
        if self.store.is_away or self.store.record is None:
            return
        if home.view_age > versionrecords.SETTLE_MARGIN_SECONDS / 2:
            self._observe(home)
        home.admissions.observe({SERVICE: home.view}, self.now)
        settled = home.admissions.find_settled(SERVICE, RETENTION, self.now)
        known = home.admissions.find(SERVICE)
        if settled is None or known != self.store.record:
            return
        if home.admissions.basis != self._make_basis():
            return
        if is_late:
            self.late = settled, self.store.record_revision
            return
        self.store.write(settled, self.store.record_revision)
        position = self._find_position()
        home.admissions.confirm(SERVICE, settled, position, self.now)

    @stateful.rule()
    def execute_late_write(self) -> None:
        if self.late is not None:
            (settled, revision), self.late = self.late, None
            if settled.basis == self._make_basis():
                self.store.write(settled, revision)

    @stateful.rule(number=homes)
    def ask_peer(self, number: int) -> None:
        admitted = self.homes[1 - number].admissions.list_admitted(SERVICE)
        self.homes[number].admissions.learn(SERVICE, admitted)

    @stateful.rule()
    def begin_streams(self) -> None:
        for home in self.homes:
            for version in sorted(self.serving):
                self._begin(home, version)

    @stateful.rule(number=homes)
    def synchronize(self, number: int) -> None:
        self.observe(number)
        self.read_record(number)
        self.confirm_record(number)

    @stateful.rule(version=strategies.sampled_from(VERSIONS))
    def release(self, version: str) -> None:
        self.serving = {version}
        for number in range(HOMES):
            self.synchronize(number)
        self.begin_streams()

    @stateful.rule(number=homes)
    def write_list(self, number: int) -> None:
        admissions = self.homes[number].admissions
        if not self.store.is_away and admissions.must_list(SERVICE):
            self._list(number)

    @stateful.invariant()
    def proofs_are_true(self) -> None:
        """Check that no stream would go on at another version than its own."""
        sole = versionrecords.find_sole_version(self.store.record, self._make_basis())
        listed: dict[int, str] = {}
        for found in self.store.lists.values():
            listed.update(found)
        for stream in self.streams:
            proved = sole or listed.get(stream.number, stream.version)
            assert proved == stream.version, (stream, sole, self.store)

    def _begin(self, home: Home, version: str) -> None:
        if (
            home.view_age <= versionrecords.SETTLE_MARGIN_SECONDS
            and version in home.view
            and home.admissions.admits(SERVICE, version)
        ):
            number = next(self.numbers)
            self.streams.append(Stream(number, version, self.now))
            home.placed[number] = version

    def _observe(self, home: Home) -> None:
        home.view, home.view_age = frozenset(self.serving), 0.0
        home.admissions.observe({SERVICE: home.view}, self.now)

    def _list(self, number: int) -> None:
        listed = self.store.lists.setdefault(number, {})
        listed.update(self.homes[number].placed)

    def _make_basis(self) -> versionrecords.Basis:
        return versionrecords.Basis(ids.Era(self.store.era), ROUTES)

    def _find_position(self) -> storedobjects.Position:
        return storedobjects.Position(
            ids.Era(self.store.era), self.store.record_revision
        )


TestMachine = Machine.TestCase
TestMachine.settings = hypothesis.settings(
    max_examples=1_000, stateful_step_count=25, derandomize=True, deadline=None
)


@hypothesis.given(
    phases=strategies.lists(
        strategies.tuples(
            strategies.sampled_from((1, 4, 20, 60)),
            strategies.sets(strategies.sampled_from(VERSIONS), min_size=1, max_size=2),
            strategies.booleans(),
        ),
        min_size=3,
        max_size=6,
    ),
    lags=strategies.tuples(strategies.integers(1, 4), strategies.integers(1, 4)),
)
@hypothesis.settings(max_examples=150, derandomize=True, deadline=None)
def test_proofs_are_true_over_releases(phases: list[tuple], lags: tuple) -> None:
    """Guards against a version that is removed while its streams can be taken up."""
    machine = Machine()
    for seconds, versions, is_late in phases:
        machine.serving = versions
        for _ in range(seconds):
            machine.wait(1.0)
            for number, lag in enumerate(lags):
                if machine.homes[number].view_age >= lag:
                    machine.synchronize(number)
                machine.write_list(number)
            machine.begin_streams()
            machine.proofs_are_true()
            if machine.now % 3 == 0:
                machine.execute_late_write()
                machine.proofs_are_true()
            if machine.now % 5 == 0:
                machine.settle(0, is_late)
                machine.proofs_are_true()


def make_admissions(*versions: str) -> versionrecords.Admissions:
    """Return what a home knows that sees some versions serve."""
    admissions = versionrecords.Admissions()
    admissions.basis = versionrecords.Basis(ids.Era(1), ROUTES)
    admissions.observe({SERVICE: frozenset(versions)}, 0.0)
    return admissions


def confirm(
    admissions: versionrecords.Admissions,
    record: versionrecords.VersionRecord,
    now: float = 0.0,
) -> None:
    """Record that the store holds a record."""
    position = storedobjects.Position(record.basis.era, int(now) + 1)
    admissions.confirm(SERVICE, record, position, now)


def test_version_gets_streams_only_once_the_record_names_it() -> None:
    """Guards against a kill right after a new version began its first stream."""
    admissions = make_admissions("v1")
    first = admissions.propose(SERVICE, None)
    assert not admissions.admits(SERVICE, "v1")
    confirm(admissions, first)
    assert versionrecords.find_sole_version(first, admissions.basis) == "v1"
    admissions.observe({SERVICE: frozenset({"v1", "v2"})}, 1.0)
    assert admissions.admits(SERVICE, "v1")
    assert not admissions.admits(SERVICE, "v2")
    second = admissions.propose(SERVICE, first)
    confirm(admissions, second, 1.0)
    assert admissions.admits(SERVICE, "v2")
    assert not versionrecords.find_sole_version(second, admissions.basis)


def test_version_leaves_the_record_once_its_streams_cannot_be_taken_up() -> None:
    """Guards against lists that are written for ever after one release."""
    admissions = make_admissions("v1", "v2")
    confirm(admissions, admissions.propose(SERVICE, None))
    admissions.observe({SERVICE: frozenset({"v2"})}, 5.0)
    longest = RETENTION + versionrecords.SETTLE_MARGIN_SECONDS
    assert admissions.find_settled(SERVICE, RETENTION, longest - 1) is None
    admissions.observe({SERVICE: frozenset({"v2"})}, longest + 6)
    marked = admissions.find_settled(SERVICE, RETENTION, longest + 6)
    assert (marked.versions, marked.leaving) == ({"v1", "v2"}, {"v1"})
    confirm(admissions, marked, longest + 6)
    assert admissions.find_settled(SERVICE, RETENTION, longest + 7) is None
    admissions.observe({SERVICE: frozenset({"v2"})}, longest + 20)
    settled = admissions.find_settled(SERVICE, RETENTION, longest + 20)
    assert settled.versions == {"v2"}


def test_version_that_serves_again_is_not_removed_by_a_late_write() -> None:
    """Guards against a removal that is on its way while a home reads the record."""
    admissions = make_admissions("v1", "v2")
    basis = admissions.basis
    named = frozenset({"v1", "v2"})
    marked = versionrecords.VersionRecord(basis, named, frozenset({"v1"}))
    proposed = admissions.propose(SERVICE, marked)
    assert proposed == versionrecords.VersionRecord(basis, named)


def test_record_of_another_era_or_of_other_routes_proves_nothing() -> None:
    """Guards against proofs from a copy, and from a service that streams have left."""
    basis = versionrecords.Basis(ids.Era(1), ROUTES)
    record = versionrecords.VersionRecord(basis, frozenset({"v1"}))
    for other in (basis._replace(era=ids.Era(2)), basis._replace(routes=8)):
        assert versionrecords.find_sole_version(record, other) == catalog.NO_VERSION
        extended = versionrecords.extend(record, other, frozenset({"v1"}))
        assert versionrecords.UNKNOWN in extended.versions
