"""Few routers read the store, and none is without news for long."""

from __future__ import annotations

from celeryspan.decisions import relays

PLACES = [f"hala-{letter}" for letter in "abcde"]
ROUTERS = {f"edge-{number}": PLACES[number % 5] for number in range(110)}
PATIENCE = 2.0


def make(own: str = "edge-0") -> relays.Relays:
    found = relays.Relays(own, 0.0, PATIENCE)
    found.set_duties(relays.choose_duties(own, ROUTERS))
    return found


def find_leaf() -> str:
    """Return a router that neither reads for the fleet nor relays."""
    duties = {router: relays.choose_duties(router, ROUTERS) for router in ROUTERS}
    return next(
        router
        for router, duty in duties.items()
        if not duty.is_reader and not duty.is_relay
    )


def find_relay() -> str:
    """Return a router that relays and does not read for the fleet."""
    duties = {router: relays.choose_duties(router, ROUTERS) for router in ROUTERS}
    return next(
        router
        for router, duty in duties.items()
        if duty.is_relay and not duty.is_reader
    )


def test_all_agree_on_two_readers_of_two_data_centres() -> None:
    chosen = {relays.choose_duties(router, ROUTERS).readers for router in ROUTERS}
    assert len(chosen) == 1
    readers = chosen.pop()
    assert len(readers) == relays.READERS
    assert len({ROUTERS[router] for router in readers}) == relays.READERS


def test_readers_share_a_data_centre_if_there_is_only_one() -> None:
    routers = dict.fromkeys(["edge-0", "edge-1", "edge-2"], "hala-a")
    assert len(relays.choose_readers(routers)) == relays.READERS


def test_each_data_centre_has_relays_of_its_own_that_hear_the_readers() -> None:
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


def test_readers_hear_each_other() -> None:
    """A reader is cut off from the store for some seconds.

    It told others what it had read, asked nobody, and kept an old list of servers.
    """
    readers = relays.choose_readers(ROUTERS)
    for reader in readers:
        sources = relays.choose_duties(reader, ROUTERS).sources
        assert set(sources) == set(readers) - {reader}


def test_router_alone_reads_the_store_once_others_would_have_been_met() -> None:
    """All routers start at once, and none knows another one yet.

    Each took itself for a reader: 195 listed and watched the store.
    """
    alone = relays.Relays("edge-0", 0.0, PATIENCE)
    assert not alone.must_read(0.1)
    assert alone.must_read(relays.SETTLE_SECONDS)


def test_reader_that_the_list_names_reads_at_once() -> None:
    """All routers lose power and start again while callers go on."""
    reader = relays.choose_readers(ROUTERS)[0]
    found = relays.Relays(reader, 0.0, PATIENCE)
    found.set_duties(relays.choose_duties(reader, ROUTERS), is_settled=True)
    assert found.must_read(0.0)


def test_router_that_starts_leaves_it_to_others_first() -> None:
    """A router starts again in a fleet that knows all it needs.

    It listed and watched the store until it had met its sources: 20 paid calls.
    """
    found = make(find_leaf())
    assert not found.must_read(PATIENCE - 0.1)
    assert found.must_read(PATIENCE)


def test_word_of_one_source_is_enough() -> None:
    found = make(find_leaf())
    found.record_report(found.duties.sources[0], 1.0, 10.0, is_away=False)
    assert not found.must_read(10.5)
    assert not found.is_away()


def test_silent_sources_are_not_waited_for() -> None:
    """Both sources are killed at once, and a backend server leaves.

    A router that waits for their word would send to the server for good.
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


def test_relays_read_before_those_that_hear_them() -> None:
    """Both readers are killed at once.

    All routers of the fleet read the store until the next two were known.
    """
    relay, leaf = make(find_relay()), make(find_leaf())
    for found in (relay, leaf):
        found.record_report("reader", 0.0, 10.0, is_away=False)
    moment = 10.0 + relays.FRESH_SECONDS_RELAYS + 0.1
    assert relay.must_read(moment)
    assert not leaf.must_read(moment)


def test_source_cut_off_from_the_store_is_not_trusted() -> None:
    """A source goes on telling, but what it knows grows old."""
    found = make(find_leaf())
    for tick in range(40):
        now = 10.0 + tick * 0.1
        found.record_report(found.duties.sources[0], now - 10.0, now, is_away=True)
    assert found.must_read(now)
    assert found.is_away()
    found.record_report(found.duties.sources[1], 0.1, now, is_away=False)
    assert not found.must_read(now)
    assert not found.is_away()


def test_routers_that_hear_each_other_do_not_keep_old_news_fresh() -> None:
    """Two readers tell each other while the store is gone."""
    first, second = make(find_leaf()), make(find_leaf())
    first.record_report("edge-x", 0.0, 0.0, is_away=False)
    for tick in range(60):
        now = tick * 0.1
        second.record_report("first", now - first.read_at(), now, is_away=False)
        first.record_report("second", now - second.read_at(), now, is_away=False)
    assert first.must_read(now)


def test_source_that_tells_is_asked_seldom() -> None:
    """195 routers ask two sources for two kinds of objects each second.

    A third of the messages of a fleet at rest were such questions.
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


def test_old_words_are_forgotten() -> None:
    found = make(find_leaf())
    found.record_report("gone", 0.0, 0.0, is_away=True)
    found.expire_reports(relays.REPORT_EXPIRY_SECONDS + 0.1)
    assert not found.is_away()
