"""When long prompts get engines of their own."""

from __future__ import annotations

from celeryspan.decisions import longprompts

LIMIT = 0.28


def make_long(count: int = 10) -> longprompts.LongPrompts:
    """Return what is known after some prompts that the model calls long."""
    found = longprompts.LongPrompts()
    for number in range(count):
        found.record_arrival(0.4, LIMIT, 0.5, number * 0.1)
    return found


def test_engines_are_set_apart_while_the_model_is_believed() -> None:
    found = make_long()
    assert found.is_long(0.4, LIMIT)
    assert found.count_dedicated(6) == 1
    assert longprompts.LongPrompts().count_dedicated(6) == 0


def test_engines_that_pause_less_than_the_model_says_are_not_set_apart() -> None:
    """Engines of another kind read less in a step, and no stream beside them pauses.

    A third of them stands idle beside a queue, for prompts that disturb nobody.
    """
    found = make_long()
    for _ in range(12):
        found.record_pause(0.4, 0.16)
    found.update(1.0)
    assert not found.is_long(0.4, LIMIT)
    assert found.count_dedicated(6) == 0


def test_engines_are_set_apart_again_when_streams_pause() -> None:
    found = make_long()
    for _ in range(12):
        found.record_pause(0.4, 0.16)
    for _ in range(4):
        found.record_pause(0.4, 0.42)
    found.update(1.0)
    assert found.count_dedicated(6) == 1


def test_one_hiccup_sets_nothing_apart() -> None:
    """A router is held up once for a second, and tells of a pause that was its own."""
    found = make_long()
    for _ in range(40):
        found.record_pause(0.4, 0.16)
    found.record_pause(0.4, 1.2)
    for _ in range(2):
        found.record_pause(0.4, 0.16)
    found.update(1.0)
    assert not found.is_long(0.4, LIMIT)


def test_prompts_of_long_ago_count_for_nothing() -> None:
    found = make_long()
    found.update(100.0)
    assert found.count_dedicated(6) == 0
