"""Few routers read the store, and none lacks its changes for long."""

from __future__ import annotations

from celeryspan.decisions import relays

PLACES = [f"hala-{letter}" for letter in "abcde"]
ROUTERS = {f"edge-{number}": PLACES[number % 5] for number in range(110)}
STARTUP_DELAY = 2.0


def make(own: str = "edge-0") -> relays.Relays:
    found = relays.Relays(own, 0.0, STARTUP_DELAY)
    found.set_duties(relays.choose_duties(own, ROUTERS))
    return found


def find_leaf() -> str:
    """Return a router that is neither reader nor relay."""
    duties = {router: relays.choose_duties(router, ROUTERS) for router in ROUTERS}
    return next(
        router
        for router, duty in duties.items()
        if not duty.is_reader and not duty.is_relay
    )


def find_relay() -> str:
    """Return a relay that is not a reader."""
    duties = {router: relays.choose_duties(router, ROUTERS) for router in ROUTERS}
    return next(
        router
        for router, duty in duties.items()
        if duty.is_relay and not duty.is_reader
    )


def test_all_routers_select_the_same_readers_in_two_data_centres() -> None:
    chosen = {relays.choose_duties(router, ROUTERS).readers for router in ROUTERS}
    assert len(chosen) == 1
    readers = chosen.pop()
    assert len(readers) == relays.READERS
    assert len({ROUTERS[router] for router in readers}) == relays.READERS


def test_single_data_centre_has_both_readers() -> None:
    routers = dict.fromkeys(["edge-0", "edge-1", "edge-2"], "hala-a")
    assert len(relays.choose_readers(routers)) == relays.READERS


def test_each_data_centre_has_relays_that_subscribe_to_the_readers() -> None:
    for place in PLACES:
        here = [router for router in ROUTERS if ROUTERS[router] == place]
        duties = {router: relays.choose_duties(router, ROUTERS) for router in here}
        relaying = [router for router in here if duties[router].is_relay]
        assert len(relaying) == relays.RELAYS
        for router in relaying:
            others = set(duties[router].readers) - {router}
            assert set(duties[router].sources) == others
        leaves = set(here) - set(relaying) - set(duties[here[0]].readers)
        assert all(set(duties[leaf].sources) == set(relaying) for leaf in leaves)


def test_readers_subscribe_to_each_other() -> None:
    """Guards against a reader that keeps an old server list when it loses the store.

    Without a subscription to the other reader it gets no changes until the store is
    reachable again.
    """
    readers = relays.choose_readers(ROUTERS)
    for reader in readers:
        sources = relays.choose_duties(reader, ROUTERS).sources
        assert set(sources) == set(readers) - {reader}


def test_router_without_peers_reads_the_store_after_the_settle_time() -> None:
    """Guards against a fleet in which every router reads the store at startup.

    All routers start at once and know no others yet, so each selects itself as a
    reader; in a fleet of 195, all listed and watched the store.
    """
    alone = relays.Relays("edge-0", 0.0, STARTUP_DELAY)
    assert not alone.must_read(0.1)
    assert alone.must_read(relays.SETTLE_SECONDS)


def test_reader_named_by_the_store_reads_at_once() -> None:
    """Guards against a delay after all routers lose power and restart under load."""
    reader = relays.choose_readers(ROUTERS)[0]
    found = relays.Relays(reader, 0.0, STARTUP_DELAY)
    found.set_duties(relays.choose_duties(reader, ROUTERS), is_settled=True)
    assert found.must_read(0.0)


def test_starting_router_waits_for_reports_before_it_reads() -> None:
    """Guards against a restarted router that reads what its peers already know.

    It listed and watched the store until it reached its sources: 20 paid calls.
    """
    found = make(find_leaf())
    assert not found.must_read(STARTUP_DELAY - 0.1)
    assert found.must_read(STARTUP_DELAY)


def test_report_of_one_source_is_enough() -> None:
    found = make(find_leaf())
    found.record_report(found.duties.sources[0], 1.0, 10.0, is_away=False)
    assert not found.must_read(10.5)
    assert not found.is_away()


def test_router_reads_the_store_when_all_sources_are_silent() -> None:
    """Guards against requests to a backend server that has left.

    Both sources are killed at once. A router that kept waiting for their reports would
    never learn that the server is leaving.
    """
    for router, limit in (
        (find_relay(), relays.FRESH_SECONDS_RELAYS),
        (find_leaf(), relays.FRESH_SECONDS_OTHERS),
    ):
        found = make(router)
        for source in found.duties.sources:
            found.record_report(source, 0.2, 10.0, is_away=False)
        assert not found.must_read(11.0)
        assert found.must_read(10.0 + limit)


def test_relays_read_before_their_subscribers() -> None:
    """Guards against store reads by the whole fleet when both readers are killed.

    Every router read the store until the next two readers were known.
    """
    relay, leaf = make(find_relay()), make(find_leaf())
    for found in (relay, leaf):
        found.record_report("reader", 0.0, 10.0, is_away=False)
    now = 10.0 + relays.FRESH_SECONDS_RELAYS + 0.1
    assert relay.must_read(now)
    assert not leaf.must_read(now)


def test_reports_with_old_data_do_not_count_as_fresh() -> None:
    """Guards against trust in a source that still reports but has lost the store."""
    found = make(find_leaf())
    for tick in range(40):
        now = 10.0 + tick * 0.1
        found.record_report(found.duties.sources[0], now - 10.0, now, is_away=True)
    assert found.must_read(now)
    assert found.is_away()
    found.record_report(found.duties.sources[1], 0.1, now, is_away=False)
    assert not found.must_read(now)
    assert not found.is_away()


def test_mutual_reports_do_not_keep_old_data_fresh() -> None:
    """Guards against two readers that confirm each other while the store is down."""
    first, second = make(find_leaf()), make(find_leaf())
    first.record_report("edge-x", 0.0, 0.0, is_away=False)
    for tick in range(60):
        now = tick * 0.1
        second.record_report("first", now - first.read_at(), now, is_away=False)
        first.record_report("second", now - second.read_at(), now, is_away=False)
    assert first.must_read(now)


def test_subscription_to_an_active_source_is_rarely_renewed() -> None:
    """Guards against excessive subscription traffic.

    195 routers that renewed two subscriptions for two kinds of objects every second
    caused a third of the messages of an idle fleet.
    """
    found = make(find_leaf())
    source = found.duties.sources[0]
    assert found.must_subscribe(
        source, 10.0 - relays.SUBSCRIBE_PERIOD_SILENT_SECONDS, 10.0
    )
    found.record_report(source, 0.1, 10.0, is_away=False)
    assert not found.must_subscribe(
        source, 9.0, 10.0 + relays.SUBSCRIBE_PERIOD_SILENT_SECONDS
    )
    assert found.must_subscribe(source, 9.0, 9.0 + relays.SUBSCRIBE_PERIOD_SECONDS)
    assert found.must_subscribe(source, 10.0, 10.1 + relays.FRESH_SECONDS_RELAYS)


def test_old_reports_are_dropped() -> None:
    found = make(find_leaf())
    found.record_report("gone", 0.0, 0.0, is_away=True)
    found.expire_reports(relays.REPORT_EXPIRY_SECONDS + 0.1)
    assert not found.is_away()
