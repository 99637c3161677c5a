"""Tests for backend server entries that expire, return or are removed."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful, strategies

from celeryspan import catalog, ids
from celeryspan.decisions import coldstart, serverlist

NAMES = ("s1", "s2", "s3")


def make_entry(
    name: str,
    revision: int,
    *,
    leaving: bool = False,
    started_ms: int | None = None,
    data_centre: str = "hala-a",
    cold_seconds: float = 0.0,
):
    """Build the entry of a backend server."""
    return catalog.ServerEntry(
        server=ids.ServerId(name),
        service=ids.ServiceId("gate"),
        address=ids.Address("127.0.0.1", 1),
        data_centre=ids.DataCentreId(data_centre),
        slots=4,
        is_leaving=leaving,
        revision=revision,
        started_ms=started_ms,
        cold_seconds=cold_seconds,
    )


def test_missing_entry_is_removed_immediately() -> None:
    servers = serverlist.ServerList()
    servers.update(make_entry("s1", 1), 0.0)
    servers.remove(ids.ServerId("s1"), now=10.0)
    assert servers.usable() == {}


def test_entry_that_expired_in_an_outage_has_a_grace_period() -> None:
    """Guards against dropping working servers after a store outage.

    All entries expire while the store is down. Dropping them at its return would leave
    no server for two seconds, although all of them work.
    """
    servers = serverlist.ServerList()
    servers.update(make_entry("s1", 1), 0.0)
    servers.update(make_entry("s2", 2), 0.0)
    servers.record_store_unreachable()
    servers.record_store_reachable(now=10.0)
    servers.replace([], now=10.0)
    assert set(servers.usable()) == {"s1", "s2"}
    servers.update(make_entry("s1", 9), 0.0)
    assert servers.expire(now=12.1)
    assert set(servers.usable()) == {"s1"}


def test_leaving_server_is_not_usable_and_older_entries_are_ignored() -> None:
    servers = serverlist.ServerList()
    servers.update(make_entry("s1", 5, leaving=True), 0.0)
    servers.update(make_entry("s1", 4), 0.0)
    assert servers.usable() == {}
    assert servers.find(ids.ServerId("s1")).is_leaving


def test_late_write_of_an_earlier_incarnation_is_ignored() -> None:
    """Guards against a late write that restores the entry of a dead incarnation.

    A server crashes while its entry is being written and restarts under the same id.
    The store applies the old write last, with the higher revision. Callers would be
    sent to the address, and see the draining state, of the dead incarnation.
    """
    servers = serverlist.ServerList()
    servers.update(make_entry("s1", 5, started_ms=2_000), 0.0)
    servers.update(make_entry("s1", 6, started_ms=1_000, leaving=True), 0.0)
    assert servers.usable()["s1"].started_ms == 2_000
    servers.update(make_entry("s1", 7, started_ms=3_000), 0.0)
    assert servers.usable()["s1"].started_ms == 3_000


def test_servers_of_an_evacuated_data_centre_are_not_usable() -> None:
    servers = serverlist.ServerList()
    servers.update(make_entry("s1", 1), 0.0)
    servers.update(make_entry("s2", 2, data_centre="hala-b"), 0.0)
    servers.set_evacuated({ids.DataCentreId("hala-a")}, 1.0, lambda _: 3.0)
    assert set(servers.usable()) == {"s2"}
    assert not servers.is_evacuated(ids.ServiceId("gate"))
    servers.set_evacuated({"hala-a", "hala-b"}, 2.0, lambda _: 3.0)
    assert servers.is_evacuated(ids.ServiceId("gate"))


def test_restored_servers_count_as_cold_whatever_their_entries_say() -> None:
    """Guards against full load on servers whose entries are a heartbeat old."""
    servers = serverlist.ServerList()
    servers.update(make_entry("s1", 1), 0.0)
    servers.update(make_entry("s2", 2, data_centre="hala-b"), 0.0)
    servers.set_evacuated({ids.DataCentreId("hala-a")}, 1.0, lambda _: 3.0)
    servers.set_evacuated(frozenset(), 5.0, lambda _: 3.0)
    servers.update(make_entry("s1", 3), 6.0)
    usable = servers.usable()
    assert usable["s1"].is_cold(7.9) and not usable["s1"].is_cold(8.0)
    assert not usable["s2"].is_cold(5.0)


def test_reported_cold_time_counts_from_its_arrival_and_is_capped() -> None:
    """A server reports to stay cold for an hour, and its entry is listed repeatedly.

    Neither may keep it cold for longer than the cap.
    """
    servers = serverlist.ServerList()
    entry = make_entry("s1", 1, cold_seconds=3_600.0)
    servers.update(entry, 10.0)
    servers.update(entry, 50.0)
    end = 10.0 + coldstart.COLD_SECONDS_MAX
    assert servers.usable()["s1"].cold_until == end


class ServerListMachine(stateful.RuleBasedStateMachine):
    """Compares the server list with the contents of the store across outages."""

    def __init__(self) -> None:
        super().__init__()
        self.servers = serverlist.ServerList()
        self.stored: dict[str, int] = {}
        self.now = 0.0
        self.revision = 0
        self.reachable_since = 0.0
        self.is_unreachable = False

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def register(self, name: str) -> None:
        """Write the entry of a server."""
        self.revision += 1
        self.stored[name] = self.revision
        if not self.is_unreachable:
            self.servers.update(make_entry(name, self.revision), self.now)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def expire_entry(self, name: str) -> None:
        """Expire the entry of a server."""
        if self.stored.pop(name, None) is not None and not self.is_unreachable:
            self.servers.remove(ids.ServerId(name), self.now)

    @stateful.rule()
    def lose_store(self) -> None:
        """Make the store unreachable."""
        self.is_unreachable = True
        self.servers.record_store_unreachable()

    @stateful.rule()
    def regain_store(self) -> None:
        """Make the store reachable and read it anew."""
        if self.is_unreachable:
            self.reachable_since = self.now
        self.is_unreachable = False
        self.servers.record_store_reachable(self.now)
        entries = [make_entry(name, at) for name, at in self.stored.items()]
        self.servers.replace(entries, self.now)

    @stateful.rule(seconds=strategies.floats(0.1, 3.0))
    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self.now += seconds
        self.servers.expire(self.now)

    @stateful.invariant()
    def stored_entries_are_usable(self) -> None:
        """While the store is reachable, every stored entry is usable."""
        if not self.is_unreachable:
            assert set(self.servers.usable()) >= set(self.stored)

    @stateful.invariant()
    def missing_entries_are_dropped(self) -> None:
        """Two seconds after an outage, no other entry is usable."""
        settled = (
            self.now >= self.reachable_since + serverlist.REGISTRATION_GRACE_SECONDS
        )
        if not self.is_unreachable and settled:
            self.servers.expire(self.now)
            assert set(self.servers.usable()) == set(self.stored)


TestServerListMachine = ServerListMachine.TestCase
TestServerListMachine.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30, derandomize=True, deadline=None
)
