"""Which requests are handed over to which peers."""

from __future__ import annotations

import collections
import random

import msgspec

from celeryspan import ids, states
from celeryspan.decisions import handover
from celeryspan.wire import messages


def make_member(name: str, **values: object) -> messages.Member:
    """Return a router of the same data centre."""
    member = messages.Member(
        ids.RouterId(name),
        ids.Incarnation(1),
        states.MemberState.ALIVE,
        ids.DataCentreId("hala-a"),
        ids.Address("127.0.0.1", 1),
        ids.Address("127.0.0.1", 2),
        ids.Generation(1),
        0,
    )
    return msgspec.structs.replace(member, **values)


OWN = make_member("own")


def test_only_peers_with_room_in_the_same_data_centre_are_used() -> None:
    members = [
        OWN,
        make_member("near"),
        make_member("busy", is_busy=True),
        make_member("leaving", state=states.MemberState.LEAVING),
        make_member("suspect", state=states.MemberState.SUSPECT),
        make_member("far", data_centre=ids.DataCentreId("hala-b")),
    ]
    assert [peer.router for peer in handover.list_peers(members, OWN)] == ["near"]


def test_busy_peers_are_used_if_all_are_busy() -> None:
    """All routers have just started, and their threads still run late.

    The router that an account has chosen would drown until the others are calm.
    """
    members = [OWN, *(make_member(f"busy-{n}", is_busy=True) for n in range(3))]
    assert len(handover.list_peers(members, OWN)) == 3


def test_no_peer_is_chosen_without_peers() -> None:
    assert handover.choose_peer([], {}, random.Random(1)) is None


def test_requests_are_spread_in_proportion_to_the_sizes_of_the_vms() -> None:
    """An account's 1,000 requests at once must not drown one of the peers instead."""
    peers = [make_member(f"small-{n}", cores=0.5) for n in range(8)]
    peers += [make_member(f"large-{n}", cores=2.0) for n in range(2)]
    used: collections.Counter[ids.RouterId] = collections.Counter()
    generator = random.Random(1)
    for _ in range(1_000):
        peer = handover.choose_peer(peers, used, generator)
        used[peer.router] += 1
    fair = 1_000 / sum(peer.cores for peer in peers)
    for peer in peers:
        assert used[peer.router] <= 1.5 * fair * peer.cores


def test_fewer_requests_are_served_locally_before_the_router_is_overloaded() -> None:
    """A lateness of 30 ms delays streams, but is no reason to refuse requests."""
    limiter = handover.make_limiter(320)
    now = 0.0
    for _ in range(100):
        now += 0.1
        limiter.record(0.03, 50, now)
    assert limiter.limit < 50
    for _ in range(300):
        now += 0.1
        limiter.record(0.001, 10, now)
    assert limiter.limit == 320


def test_router_that_is_flooded_after_its_start_hands_over_within_two_seconds() -> None:
    """Guards against ten seconds without connections after the power returns."""
    limiter = handover.make_limiter(320)
    now = 0.0
    while now < 2.0:
        now += 0.1
        limiter.record(0.2, min(150, limiter.limit), now)
    assert limiter.limit <= 20


def test_router_without_processor_time_serves_less_although_threads_are_on_time() -> (
    None
):
    """Guards against a router that serves two hundred requests at once, all late."""
    limiter = handover.make_limiter(320)
    for tick in range(60):
        limiter.record(0.005, 200, 0.1 * tick, 1.0)
    assert limiter.limit == handover.LIMIT_MIN


def test_limit_holds_between_the_thresholds_of_processor_use() -> None:
    """Guards against a limit that swings between too many and too few requests."""
    limiter = handover.make_limiter(320)
    before = limiter.limit
    for tick in range(30):
        limiter.record(0.0, 40, 0.1 * tick, 0.8)
    assert limiter.limit == before
    limiter.record(0.0, 40, 4.0, 0.5)
    assert limiter.limit > before
