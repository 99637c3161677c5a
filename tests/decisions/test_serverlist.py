"""Entries of backend servers that lapse, come back, or are gone."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful, strategies

from celeryspan import catalog, ids
from celeryspan.decisions import serverlist

NAMES = ("s1", "s2", "s3")


def make_entry(
    name: str, revision: int, *, leaving: bool = False, started_ms: int | None = None
):
    """Return an entry of a backend server."""
    return catalog.ServerEntry(
        server=ids.ServerId(name),
        service=ids.ServiceId("gate"),
        address=ids.Address("127.0.0.1", 1),
        data_centre=ids.DataCentreId("hala-a"),
        slots=4,
        is_leaving=leaving,
        revision=revision,
        started_ms=started_ms,
    )


def test_entry_that_is_missing_is_gone_at_once() -> None:
    found = serverlist.ServerList()
    found.update(make_entry("s1", 1))
    found.remove(ids.ServerId("s1"), now=10.0)
    assert found.usable() == {}


def test_entry_that_lapsed_in_an_outage_stays_until_servers_are_back() -> None:
    """The store is down for seconds, and all entries lapse meanwhile.

    Dropping them at its return leaves no server for two seconds, though all work.
    """
    found = serverlist.ServerList()
    found.update(make_entry("s1", 1))
    found.update(make_entry("s2", 2))
    found.record_store_unreachable()
    found.record_store_reachable(now=10.0)
    found.replace([], now=10.0)
    assert set(found.usable()) == {"s1", "s2"}
    found.update(make_entry("s1", 9))
    assert found.expire(now=12.1)
    assert set(found.usable()) == {"s1"}


def test_leaving_server_is_not_usable_and_an_old_entry_changes_nothing() -> None:
    found = serverlist.ServerList()
    found.update(make_entry("s1", 5, leaving=True))
    found.update(make_entry("s1", 4))
    assert found.usable() == {}
    assert found.find(ids.ServerId("s1")).is_leaving


def test_late_write_of_an_earlier_incarnation_changes_nothing() -> None:
    """A server crashes as its entry is on its way, and starts again under its id.

    The store does the old write last, with the higher revision. Callers would be sent
    to the address, and see the draining, of an incarnation that is dead.
    """
    found = serverlist.ServerList()
    found.update(make_entry("s1", 5, started_ms=2_000))
    found.update(make_entry("s1", 6, started_ms=1_000, leaving=True))
    assert found.usable()["s1"].started_ms == 2_000
    found.update(make_entry("s1", 7, started_ms=3_000))
    assert found.usable()["s1"].started_ms == 3_000


class Lists(stateful.RuleBasedStateMachine):
    """A list of servers against what the store has, through outages."""

    def __init__(self) -> None:
        super().__init__()
        self.found = serverlist.ServerList()
        self.stored: dict[str, int] = {}
        self.now = 0.0
        self.revision = 0
        self.calm_since = 0.0
        self.away = False

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def register(self, name: str) -> None:
        """Let a server write its entry."""
        self.revision += 1
        self.stored[name] = self.revision
        if not self.away:
            self.found.update(make_entry(name, self.revision))

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def lapse(self, name: str) -> None:
        """Let a server's entry go."""
        if self.stored.pop(name, None) is not None and not self.away:
            self.found.remove(ids.ServerId(name), self.now)

    @stateful.rule()
    def lose(self) -> None:
        """Let the store be silent."""
        self.away = True
        self.found.record_store_unreachable()

    @stateful.rule()
    def regain(self) -> None:
        """Let the store answer, and read it anew."""
        if self.away:
            self.calm_since = self.now
        self.away = False
        self.found.record_store_reachable(self.now)
        entries = [make_entry(name, at) for name, at in self.stored.items()]
        self.found.replace(entries, self.now)

    @stateful.rule(seconds=strategies.floats(0.1, 3.0))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.now += seconds
        self.found.expire(self.now)

    @stateful.invariant()
    def knows_what_is_stored(self) -> None:
        """With the store in reach each stored entry is usable."""
        if not self.away:
            assert set(self.found.usable()) >= set(self.stored)

    @stateful.invariant()
    def drops_what_is_gone(self) -> None:
        """Two seconds after an outage nothing else is."""
        settled = self.now >= self.calm_since + serverlist.REGISTRATION_GRACE_SECONDS
        if not self.away and settled:
            self.found.expire(self.now)
            assert set(self.found.usable()) == set(self.stored)


TestLists = Lists.TestCase
TestLists.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30, derandomize=True, deadline=None
)
