"""Ejection and trial, judged by what callers receive where that can be seen."""

from __future__ import annotations

from bench import admission as patterns, one_router
from celeryspan import ids
from celeryspan.decisions import outliers

NAMES = [ids.ServerId(f"s{index}") for index in range(6)]


def make_outliers(count: int = 6) -> outliers.OutlierDetector:
    judge = outliers.OutlierDetector()
    for name in NAMES[:count]:
        judge.add(name, 0.0)
    return judge


def answer(
    judge: outliers.OutlierDetector,
    name: str,
    seconds: float,
    cost: float,
    count: int = 20,
) -> list[outliers.Change]:
    changes = []
    for _ in range(count):
        changes += judge.record(ids.ServerId(name), False, seconds, cost, 1.0)
    return changes


def play(ejection: bool, budget: bool = True) -> list[one_router.Record]:
    """Return what callers get while one of nine servers fails at once."""
    servers = patterns.make_servers()
    mechanisms = one_router.Mechanisms(ejection=ejection, budget=budget)
    router = one_router.Router(servers, mechanisms, seed=1)
    router.at(5.0, lambda: setattr(servers[0], "fails", True))
    rates = {name: patterns.CAPACITY / 6 for name in "abcd"}
    return router.run(patterns.make_calls(rates, patterns.SECONDS, 1))


def test_a_failing_server_does_not_draw_the_requests() -> None:
    """Stand confirmations fail by the dozen though eight of nine servers are well.

    The failing server answers within milliseconds, so that it is always the one with a
    free slot; each request it spoils is followed by the next.
    """
    with_ejection, without = play(True), play(False)

    def count_lost(records: list[one_router.Record]) -> int:
        return sum(one.code != "answered" for one in records)

    assert count_lost(with_ejection) <= 0.02 * len(with_ejection)
    assert count_lost(with_ejection) < count_lost(without)


def test_a_server_with_long_jobs_is_not_called_slow() -> None:
    judge = make_outliers()
    for name in NAMES[:5]:
        answer(judge, name, 1.0, 100.0)
    assert answer(judge, NAMES[5], 50.0, 5000.0) == []


def test_a_slow_server_is_ejected_and_tried_again() -> None:
    judge = make_outliers()
    for name in NAMES[:5]:
        answer(judge, name, 1.0, 100.0)
    assert answer(judge, NAMES[5], 5.0, 100.0)[0].standing is outliers.Standing.EJECTED
    assert judge.slots(NAMES[5], 16) == 0
    assert judge.start_due_trials(5.0) == []
    assert [one.server for one in judge.start_due_trials(12.0)] == [NAMES[5]]
    assert judge.slots(NAMES[5], 16) == 1
    answer(judge, NAMES[5], 1.0, 100.0, outliers.TRIAL_ANSWERS)
    assert judge.slots(NAMES[5], 16) == 16


def test_a_failed_trial_doubles_the_ejection() -> None:
    judge = make_outliers()
    for _ in range(outliers.MAX_CONSECUTIVE_FAILURES):
        judge.record(NAMES[0], True, 0.1, 0.0, 1.0)
    judge.start_due_trials(11.0)
    judge.record(NAMES[0], True, 0.1, 0.0, 11.0)
    assert judge.start_due_trials(30.0) == []
    assert judge.start_due_trials(31.0)[0].standing is outliers.Standing.TRIAL


def test_half_of_a_service_stays_whatever_happens() -> None:
    """A switch fails for seconds and every server looks dead to one router.

    All servers fail at once. Without a floor the router ejects the whole service and
    refuses everybody for ten seconds after the switch is back.
    """
    judge = make_outliers()
    for now in range(100):
        for name in NAMES:
            judge.record(name, True, 0.1, 0.0, now * 0.1)
    left = [name for name in NAMES if judge.standing(name) is outliers.Standing.GOOD]
    assert len(left) >= outliers.MIN_ACTIVE_SHARE * len(NAMES)


def test_a_slow_server_is_ejected_before_its_requests_end() -> None:
    """Drafts of one engine crawl for minutes and new ones are still sent to it.

    The engine has become ten times slower. Judged by what has ended, it looks as fast
    as before, since nothing of what it runs now has ended yet.
    """
    judge = make_outliers()
    for name in NAMES[:5]:
        judge.record_running(name, 30.0, 750.0, 1.0)
    changes = judge.record_running(NAMES[5], 30.0, 75.0, 1.0)
    assert [one.standing for one in changes] == [outliers.Standing.EJECTED]


def test_callers_of_a_slow_server_are_few() -> None:
    guarded, open_ones = patterns.measure_slow(True), patterns.measure_slow(False)
    assert guarded["slow_calls"] < 0.75 * open_ones["slow_calls"]


def test_short_calls_gain_from_the_bound_on_long_ones() -> None:
    """A phone call for the next yard waits behind whole seasons being summarised."""
    bound, without = patterns.measure_long(0.5), patterns.measure_long(1.0)
    assert bound["answered_share"] == without["answered_share"] == 1.0
    assert bound["seconds_p99"] < 0.85 * without["seconds_p99"]
