"""Number of store calls that a router makes while the store changes."""

from __future__ import annotations

import threading

import pytest

from celeryspan import ids, storedobjects
from celeryspan.decisions import relays
from celeryspan.gateway import followers

CHANGES = 100


class ChangingStore:
    """A store in which one server starts every 0.01 s until all have started."""

    address = "store"

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.calls = 0

    def _find(self, after: int) -> list[storedobjects.StoredObject]:
        last = min(CHANGES, int(self._clock.now * 100))
        return [
            storedobjects.StoredObject(f"s{at}", at, {}, None, False)
            for at in range(after + 1, last + 1)
        ]

    def list_objects(self, _: str) -> storedobjects.Listing:
        """Return all servers that have started."""
        self.calls += 1
        found = self._find(0)
        return storedobjects.Listing(tuple(found), len(found))

    def watch(self, _: str, at: int, seconds: float) -> storedobjects.Changes:
        """Wait for changes after a revision; return none after ``seconds``."""
        self.calls += 1
        until = self._clock.now + seconds
        while not (found := self._find(at)) and self._clock.now < until:
            self._clock.now += 0.01
        changes = tuple(storedobjects.Change(each, False) for each in found)
        return storedobjects.Changes(changes, at + len(found))


class Clock:
    """Virtual time, which advances during waits."""

    now = 0.0


class VirtualEvent(threading.Event):
    """Advances virtual time instead of waiting; is set at the end of the test."""

    def __init__(self, clock: Clock, end: float) -> None:
        super().__init__()
        self._clock = clock
        self._end = end

    def wait(self, timeout: float | None = None) -> bool:
        """Advance virtual time."""
        self._clock.now += timeout or 0.0
        return self.is_set()

    def is_set(self) -> bool:
        """Whether virtual time has reached the end of the test."""
        return self._clock.now >= self._end


class ServerNames:
    """Handler that collects the names of servers."""

    def __init__(self) -> None:
        self.servers: set[str] = set()

    def replace(self, listing: storedobjects.Listing) -> None:
        self.servers = {each.name for each in listing.objects}

    def apply(self, changes: storedobjects.Changes) -> None:
        self.servers |= {change.object.name for change in changes.changes}

    def record_store_unreachable(self) -> None:
        raise AssertionError("the store answers all calls")

    def record_store_reachable(self) -> None:
        pass


@pytest.mark.parametrize(
    ("is_reader", "calls_max"), [(True, 1 + 10 + 3), (False, 1 + 2 + 3)]
)
def test_changes_in_quick_succession_are_coalesced_into_few_calls(
    is_reader: bool, calls_max: int
) -> None:
    """A hundred servers start within a second, and each start ends a watch.

    Without coalescing each watch returns one change, and each watch is a paid call: 82
    routers made 1,700 calls in the first four seconds of a fleet, near the rate that
    the store sustains.
    """
    clock = Clock()
    store, handler = ChangingStore(clock), ServerNames()
    own = ids.RouterId("edge-1")
    follower = followers.Follower(store, "servers", handler, own)
    # The startup delay has passed without a report from another router.
    follower.relays = relays.Relays(own, -10.0, 2.0)
    if not is_reader:
        follower.relays.set_duties(
            relays.Duties(("edge-2",), ("edge-2",), is_reader=False, is_relay=True)
        )
    follower._stopped = VirtualEvent(clock, 3.0)
    follower._run()
    assert len(handler.servers) == CHANGES
    assert store.calls <= calls_max
