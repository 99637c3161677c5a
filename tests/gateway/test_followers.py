"""How often a router asks the store while it changes."""

from __future__ import annotations

import threading

import pytest

from celeryspan import ids, storedobjects
from celeryspan.decisions import relays
from celeryspan.gateway import followers

CHANGES = 100


class ChangingStore:
    """A store in which a server starts at each hundredth of a second for a while."""

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
        """Return all servers."""
        self.calls += 1
        found = self._find(0)
        return storedobjects.Listing(tuple(found), len(found))

    def watch(self, _: str, at: int, seconds: float) -> storedobjects.Changes:
        """Return the first changes above a revision, or none after a time."""
        self.calls += 1
        until = self._clock.now + seconds
        while not (found := self._find(at)) and self._clock.now < until:
            self._clock.now += 0.01
        changes = tuple(storedobjects.Change(each, False) for each in found)
        return storedobjects.Changes(changes, at + len(found))


class Clock:
    """Virtual time, which passes while somebody waits."""

    now = 0.0


class VirtualEvent(threading.Event):
    """Lets virtual time pass instead of waiting; set at the end of the play."""

    def __init__(self, clock: Clock, end: float) -> None:
        super().__init__()
        self._clock = clock
        self._end = end

    def wait(self, timeout: float | None = None) -> bool:
        """Let time pass."""
        self._clock.now += timeout or 0.0
        return self.is_set()

    def is_set(self) -> bool:
        """Whether the play is over."""
        return self._clock.now >= self._end


class Known:
    """Takes in what a follower reads."""

    def __init__(self) -> None:
        self.servers: set[str] = set()

    def replace(self, listing: storedobjects.Listing) -> None:
        self.servers = {each.name for each in listing.objects}

    def apply(self, changes: storedobjects.Changes) -> None:
        self.servers |= {change.object.name for change in changes.changes}

    def lose(self) -> None:
        raise AssertionError("the store answers")

    def regain(self) -> None:
        pass


@pytest.mark.parametrize(
    ("is_reader", "calls_max"), [(True, 1 + 10 + 3), (False, 1 + 2 + 3)]
)
def test_servers_that_start_in_a_row_cost_few_calls(
    is_reader: bool, calls_max: int
) -> None:
    """A hundred servers start within a second; each start ended a paid call.

    82 routers made 1,700 calls in the first four seconds of a fleet, near the rate that
    the store bears.
    """
    clock = Clock()
    store, known = ChangingStore(clock), Known()
    own = ids.RouterId("edge-1")
    follower = followers.Follower(store, "servers", known, own)
    # The router has waited for a word of others in vain.
    follower.relays = relays.Relays(own, -10.0, 2.0)
    if not is_reader:
        follower.relays.set_duties(
            relays.Duties(("edge-2",), ("edge-2",), is_reader=False, is_relay=True)
        )
    follower._stopped = VirtualEvent(clock, 3.0)
    follower._run()
    assert len(known.servers) == CHANGES
    assert store.calls <= calls_max
