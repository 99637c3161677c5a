"""Tests for ejection and trials, by caller results where these are visible."""

from __future__ import annotations

from bench import admission as patterns, one_router
from celeryspan import ids
from celeryspan.decisions import outliers

NAMES = [ids.ServerId(f"s{index}") for index in range(6)]


def make_detector(count: int = 6) -> outliers.OutlierDetector:
    detector = outliers.OutlierDetector()
    for name in NAMES[:count]:
        detector.add(name, 0.0)
    return detector


def answer(
    detector: outliers.OutlierDetector,
    name: str,
    seconds: float,
    cost: float,
    count: int = 20,
) -> list[outliers.Change]:
    changes = []
    for _ in range(count):
        changes += detector.record(ids.ServerId(name), False, seconds, cost, 1.0)
    return changes


def play(ejection: bool, budget: bool = True) -> list[one_router.Record]:
    """Return the records of callers while one of nine servers fails every request."""
    servers = patterns.make_servers()
    mechanisms = one_router.Mechanisms(ejection=ejection, budget=budget)
    router = one_router.Router(servers, mechanisms, seed=1)
    router.at(5.0, lambda: setattr(servers[0], "fails", True))
    rates = {name: patterns.CAPACITY / 6 for name in "abcd"}
    return router.run(patterns.make_calls(rates, patterns.SECONDS, 1))


def test_failing_server_does_not_attract_requests() -> None:
    """Guards against a failing server that attracts most requests.

    Eight of nine servers work. The ninth fails each request within milliseconds, so it
    always has a free slot and gets the next request.
    """
    with_ejection, without = play(True), play(False)

    def count_lost(records: list[one_router.Record]) -> int:
        return sum(one.code != "answered" for one in records)

    assert count_lost(with_ejection) <= 0.02 * len(with_ejection)
    assert count_lost(with_ejection) < count_lost(without)


def test_server_with_long_jobs_is_not_ejected_as_slow() -> None:
    detector = make_detector()
    for name in NAMES[:5]:
        answer(detector, name, 1.0, 100.0)
    assert answer(detector, NAMES[5], 50.0, 5000.0) == []


def test_slow_server_is_ejected_and_returns_after_a_trial() -> None:
    detector = make_detector()
    for name in NAMES[:5]:
        answer(detector, name, 1.0, 100.0)
    assert (
        answer(detector, NAMES[5], 5.0, 100.0)[0].standing is outliers.Standing.EJECTED
    )
    assert detector.slots(NAMES[5], 16) == 0
    assert detector.start_due_trials(5.0) == []
    assert [one.server for one in detector.start_due_trials(12.0)] == [NAMES[5]]
    assert detector.slots(NAMES[5], 16) == 1
    answer(detector, NAMES[5], 1.0, 100.0, outliers.TRIAL_ANSWERS)
    assert detector.slots(NAMES[5], 16) == 16


def test_failed_trial_doubles_the_ejection_time() -> None:
    detector = make_detector()
    for _ in range(outliers.FAILURES_TO_EJECT):
        detector.record(NAMES[0], True, 0.1, 0.0, 1.0)
    detector.start_due_trials(11.0)
    detector.record(NAMES[0], True, 0.1, 0.0, 11.0)
    assert detector.start_due_trials(30.0) == []
    assert detector.start_due_trials(31.0)[0].standing is outliers.Standing.TRIAL


def test_half_of_a_service_is_never_ejected() -> None:
    """Guards against ejecting a whole service after a network failure.

    A switch fails for seconds, and all servers fail at once for one router. Without a
    limit the router would eject all of them and refuse every request for ten seconds
    after the switch has recovered.
    """
    detector = make_detector()
    for now in range(100):
        for name in NAMES:
            detector.record(name, True, 0.1, 0.0, now * 0.1)
    left = [name for name in NAMES if detector.standing(name) is outliers.Standing.GOOD]
    assert len(left) >= outliers.MIN_ACTIVE_SHARE * len(NAMES)


def test_slow_server_is_ejected_before_its_requests_finish() -> None:
    """Guards against sending requests to a slow engine for minutes.

    The engine has become ten times slower. Judged by its finished requests it looks as
    fast as before, since none of the running ones has finished yet.
    """
    detector = make_detector()
    for name in NAMES[:5]:
        detector.record_running(name, 30.0, 750.0, 1.0)
    changes = detector.record_running(NAMES[5], 30.0, 75.0, 1.0)
    assert [one.standing for one in changes] == [outliers.Standing.EJECTED]


def test_ejection_reduces_slow_calls() -> None:
    guarded, unguarded = patterns.measure_slow(True), patterns.measure_slow(False)
    assert guarded["slow_calls"] < 0.75 * unguarded["slow_calls"]


def test_limit_on_long_calls_shortens_waits_of_short_calls() -> None:
    """Guards against short calls that wait behind very long ones."""
    limited, unlimited = patterns.measure_long(0.5), patterns.measure_long(1.0)
    assert limited["answered_share"] == unlimited["answered_share"] == 1.0
    assert limited["seconds_p99"] < 0.85 * unlimited["seconds_p99"]
