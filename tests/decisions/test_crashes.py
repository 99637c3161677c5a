"""Which lost runs are attributed to a server crash."""

from __future__ import annotations

from celeryspan import catalog, ids
from celeryspan.decisions import crashes, fingerprints


def make_entry(name: str = "engine", **values: object) -> catalog.ServerEntry:
    """Return a server entry with default fields."""
    fields = {
        "server": ids.ServerId(name),
        "service": ids.ServiceId("planner"),
        "address": ids.Address("127.0.0.1", 1),
        "data_centre": ids.DataCentreId("here"),
        "slots": 8,
        "is_leaving": False,
        "revision": 1,
        **values,
    }
    return catalog.ServerEntry(**fields)


def make_loss(entry: catalog.ServerEntry, request: str = "r1") -> crashes.LostRun:
    """Return a run that was lost on a server."""
    fingerprint = fingerprints.Fingerprint(1, 2)
    return crashes.LostRun(ids.RequestId(request), entry, fingerprint, 0.1, False)


def test_refused_connection_confirms_the_crash_for_all_lost_runs() -> None:
    detector = crashes.CrashDetector()
    entry = make_entry()
    assert detector.add_loss(make_loss(entry, "r1"), 0.0) is None
    assert detector.add_loss(make_loss(entry, "r2"), 0.01) is None
    name = crashes.format_incarnation(entry)
    crash = detector.confirm(name, crashes.Evidence.REFUSED, 0.02)
    assert [run.request for run in crash.runs] == ["r1", "r2"]
    late = detector.add_loss(make_loss(entry, "r3"), 0.5)
    assert [run.request for run in late.runs] == ["r3"]
    assert late.name == crash.name


def test_reset_connection_is_no_crash_if_the_server_still_accepts() -> None:
    """A lost answer alone must not make its request a suspect."""
    detector = crashes.CrashDetector()
    entry = make_entry()
    detector.add_loss(make_loss(entry), 0.0)
    detector.record_accepted_connection(entry, 0.02)
    detector.add_loss(make_loss(entry), 0.03)
    assert not detector.is_pending(crashes.format_incarnation(entry))
    assert detector.check_entries(lambda _: None, 1.0) == []


def test_lapsed_entry_confirms_the_crash() -> None:
    detector = crashes.CrashDetector()
    entry = make_entry()
    detector.add_loss(make_loss(entry), 0.0)
    assert detector.check_entries(lambda _: entry, 1.0) == []
    (crash,) = detector.check_entries(lambda _: None, 4.0)
    assert crash.evidence is crashes.Evidence.LAPSED


def test_entry_of_a_later_incarnation_confirms_the_crash() -> None:
    detector = crashes.CrashDetector()
    entry = make_entry(started_ms=10)
    detector.add_loss(make_loss(entry), 0.0)
    (crash,) = detector.check_entries(lambda _: make_entry(started_ms=20), 2.0)
    assert crash.evidence is crashes.Evidence.RESTARTED
    assert crash.name == "engine@10"


def test_planned_departure_of_a_server_is_no_crash() -> None:
    """Replacing a server must not make the requests on it suspects."""
    detector = crashes.CrashDetector()
    entry = make_entry()
    detector.add_loss(make_loss(entry), 0.0)
    assert detector.check_entries(lambda _: make_entry(is_leaving=True), 1.0) == []
    assert detector.check_entries(lambda _: None, 2.0) == []


def test_loss_without_evidence_expires() -> None:
    detector = crashes.CrashDetector()
    detector.add_loss(make_loss(make_entry()), 0.0)
    late = crashes.EVIDENCE_TIMEOUT_SECONDS + 0.1
    assert detector.check_entries(lambda _: None, late) == []


def test_crash_reported_by_a_peer_includes_the_runs_lost_here() -> None:
    detector = crashes.CrashDetector()
    entry = make_entry()
    detector.add_loss(make_loss(entry), 0.0)
    name = crashes.format_incarnation(entry)
    crash = detector.confirm(name, crashes.Evidence.REPORTED, 0.1)
    assert len(crash.runs) == 1
    assert detector.confirm(name, crashes.Evidence.REFUSED, 0.2) is None
