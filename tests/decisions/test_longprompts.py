"""When engines are dedicated to long prompts."""

from __future__ import annotations

from celeryspan.decisions import longprompts

LIMIT = 0.28


def make_long(count: int = 10) -> longprompts.LongPrompts:
    """Return the state after some prompts that the model considers long."""
    prompts = longprompts.LongPrompts()
    for number in range(count):
        prompts.record_arrival(0.4, LIMIT, 0.5, number * 0.1)
    return prompts


def test_engines_are_dedicated_without_observed_pauses() -> None:
    prompts = make_long()
    assert prompts.is_long(0.4, LIMIT)
    assert prompts.count_dedicated(6) == 1
    assert longprompts.LongPrompts().count_dedicated(6) == 0


def test_engines_with_short_pauses_are_not_dedicated() -> None:
    """Guards against dedicated engines that idle while requests queue.

    Engines of another kind prefill less in a step, so that no stream beside them
    pauses. A third of them would be dedicated to prompts that delay no stream.
    """
    prompts = make_long()
    for _ in range(12):
        prompts.record_pause(0.4, 0.16)
    prompts.update(1.0)
    assert not prompts.is_long(0.4, LIMIT)
    assert prompts.count_dedicated(6) == 0


def test_engines_are_dedicated_again_when_streams_pause() -> None:
    prompts = make_long()
    for _ in range(12):
        prompts.record_pause(0.4, 0.16)
    for _ in range(4):
        prompts.record_pause(0.4, 0.42)
    prompts.update(1.0)
    assert prompts.count_dedicated(6) == 1


def test_single_outlier_dedicates_no_engine() -> None:
    """A router is blocked for a second once and reports a pause that it has caused."""
    prompts = make_long()
    for _ in range(40):
        prompts.record_pause(0.4, 0.16)
    prompts.record_pause(0.4, 1.2)
    for _ in range(2):
        prompts.record_pause(0.4, 0.16)
    prompts.update(1.0)
    assert not prompts.is_long(0.4, LIMIT)


def test_old_prompts_are_dropped() -> None:
    prompts = make_long()
    prompts.update(100.0)
    assert prompts.count_dedicated(6) == 0
