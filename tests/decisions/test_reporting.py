"""When counters and demand are reported."""

from __future__ import annotations

import pytest

from celeryspan import ids
from celeryspan.decisions import reporting

KEY = (ids.ServiceId("lm-pool"), ids.AccountId("farm"))
HOME = ids.RouterId("router-1")


def test_account_is_reported_once_it_exceeds_the_threshold() -> None:
    reporter = reporting.CounterReporter(reporting.ThresholdRule(200.0))
    assert reporter.find_due({KEY: 10.0}, None, 0.0) == (KEY,)
    assert reporter.find_due({KEY: 210.0}, None, 0.1) == ()
    assert reporter.find_due({KEY: 211.0}, None, 0.2) == (KEY,)
    assert reporter.find_due({KEY: 212.0}, None, 0.3) == ()


def test_uncontended_service_waits_for_the_refresh() -> None:
    reporter = reporting.CounterReporter(reporting.ThresholdRule(200.0))
    reporter.find_due({KEY: 1.0}, frozenset(), 0.0)
    assert reporter.find_due({KEY: 900.0}, frozenset(), 1.0) == ()
    assert reporter.find_due({KEY: 900.0}, {KEY}, 1.0) == (KEY,)
    later = 1.0 + reporting.REFRESH_SECONDS
    assert reporter.find_due({KEY: 901.0}, frozenset(), later) == (KEY,)


def test_periodic_rule_reports_changes() -> None:
    reporter = reporting.CounterReporter(reporting.PeriodicRule(0.5))
    assert reporter.find_due({KEY: 1.0}, None, 0.0) == (KEY,)
    assert reporter.find_due({KEY: 900.0}, None, 0.4) == ()
    assert reporter.find_due({KEY: 900.0}, None, 0.5) == (KEY,)
    assert reporter.find_due({KEY: 900.0}, None, 2.0) == ()


def test_all_counters_are_reported_to_a_new_home() -> None:
    reporter = reporting.CounterReporter(reporting.ThresholdRule(200.0))
    reporter.find_due({KEY: 10.0}, None, 0.0)
    reporter.forget(KEY[0])
    assert reporter.find_due({KEY: 10.0}, None, 0.1) == (KEY,)


def test_first_request_is_reported_to_one_home_and_then_to_all() -> None:
    demands = reporting.DemandReporter()
    assert demands.find_stage(KEY, 0, 1.0) is reporting.Stage.NONE
    assert demands.find_stage(KEY, 1, 1.0) is reporting.Stage.ONE
    later = 1.0 + reporting.ESCALATE_SECONDS
    assert demands.find_stage(KEY, 1, later) is reporting.Stage.ALL
    assert demands.find_sample_number(KEY, 1.0 + 2.5 * reporting.RESAMPLE_SECONDS) == 2


@pytest.mark.parametrize("waiting", [0, 1])
def test_home_is_told_at_once_when_its_view_is_wrong(waiting: int) -> None:
    demands = reporting.DemandReporter()
    demands.record_report(KEY, HOME, 1 - waiting)
    assert demands.is_urgent(KEY, HOME, waiting)


def test_reported_waiting_follows_the_requests_sent() -> None:
    demands = reporting.DemandReporter()
    demands.find_stage(KEY, 2, 1.0)
    demands.record_report(KEY, HOME, 2)
    demands.record_use(KEY, HOME, 1.1)
    assert demands.reported_waiting(KEY, HOME) == 1
    assert demands.informed_homes(KEY) == (HOME,)
    demands.forget(HOME)
    assert demands.informed_homes(KEY) == ()
