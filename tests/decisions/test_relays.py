"""Few routers read the store, and none is without news for long."""

from __future__ import annotations

from celeryspan.decisions import relays

ROUTERS = [f"edge-{number}" for number in range(22)]


def make(own: str = "edge-0") -> relays.Relays:
    found = relays.Relays(own)
    found.set_routers("hala-a", ROUTERS)
    return found


def find_others() -> str:
    """Return a router that is no source."""
    sources = make().sources
    return next(router for router in ROUTERS if router not in sources)


def test_all_agree_on_two_sources() -> None:
    assert len({make(router).sources for router in ROUTERS}) == 1
    assert len(make().sources) == relays.SOURCES
    assert sum(make(router).is_source for router in ROUTERS) == relays.SOURCES


def test_other_places_have_other_sources() -> None:
    there = relays.Relays("edge-0")
    there.set_routers("hala-b", ROUTERS)
    assert there.sources != make().sources


def test_router_alone_reads_the_store() -> None:
    alone = relays.Relays("edge-0")
    alone.set_routers("hala-a", [])
    assert alone.is_source
    assert alone.must_read(0.0)


def test_router_without_a_word_reads_the_store() -> None:
    assert make(find_others()).must_read(0.0)


def test_word_of_one_source_is_enough() -> None:
    found = make(find_others())
    found.note_word(found.sources[0], 1.0, 10.0, is_away=False)
    assert not found.must_read(10.5)
    assert not found.is_away()


def test_silent_sources_are_not_waited_for() -> None:
    """Both sources are killed at once, and a backend server leaves.

    A router that waits for their word would send to the server for good.
    """
    found = make(find_others())
    for source in found.sources:
        found.note_word(source, 0.2, 10.0, is_away=False)
    assert not found.must_read(11.0)
    assert found.must_read(10.0 + relays.FRESH_SECONDS)


def test_source_cut_off_from_the_store_is_not_trusted() -> None:
    """A source goes on telling, but what it knows grows old."""
    found = make(find_others())
    for tick in range(40):
        now = 10.0 + tick * 0.1
        found.note_word(found.sources[0], now - 10.0, now, is_away=True)
    assert found.must_read(now)
    assert found.is_away()
    found.note_word(found.sources[1], 0.1, now, is_away=False)
    assert not found.must_read(now)
    assert not found.is_away()


def test_routers_that_hear_each_other_do_not_keep_old_news_fresh() -> None:
    """Two routers that are no sources tell each other while the store is gone."""
    first, second = make(find_others()), make(find_others())
    first.note_word("edge-x", 0.0, 0.0, is_away=False)
    for tick in range(30):
        now = tick * 0.1
        second.note_word("first", now - first.read_at(), now, is_away=False)
        first.note_word("second", now - second.read_at(), now, is_away=False)
    assert first.must_read(now)


def test_old_words_are_forgotten() -> None:
    found = make(find_others())
    found.note_word("gone", 0.0, 0.0, is_away=True)
    found.forget(relays.FORGET_SECONDS + 0.1)
    assert not found.is_away()
