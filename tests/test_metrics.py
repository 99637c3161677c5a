"""Histograms by service and client account, gauges, and the limit on series."""

from __future__ import annotations

from celeryspan import ids, kernel, metrics, states

GATE = ids.ServiceId("gate-desk")
ACCOUNT = ids.AccountId("tower")


def test_request_is_recorded_in_every_histogram() -> None:
    counts = metrics.Metrics()
    counts.observe_wait(GATE, ACCOUNT, 0.2)
    counts.observe_first_token(GATE, ACCOUNT, 0.3)
    counts.observe_token_gap(GATE, ACCOUNT, 0.04)
    counts.observe_request(GATE, ACCOUNT, states.Outcome.RAN, 1.5, 300)
    labels = {"service": GATE, "account": ACCOUNT}
    for name in (
        "wait_seconds",
        "first_token_seconds",
        "token_gap_seconds",
        "request_seconds",
        "request_cost_units",
    ):
        found = counts.registry.get_sample_value(f"celeryspan_{name}_count", labels)
        assert found == 1, name
    cost = counts.registry.get_sample_value("celeryspan_request_cost_units_sum", labels)
    assert cost == 300


def test_wait_of_refused_requests_is_recorded_by_code() -> None:
    counts = metrics.Metrics()
    counts.observe_refusal_wait("no-place-in-time", 0.7)
    name, labels = "celeryspan_refusal_wait_seconds", {"code": "no-place-in-time"}
    assert counts.registry.get_sample_value(f"{name}_sum", labels) == 0.7
    assert counts.registry.get_sample_value(f"{name}_count", labels) == 1


def test_gauges_of_a_server_are_removed_when_its_home_moves() -> None:
    counts = metrics.Metrics()
    server = ids.ServerId("gate-1")
    counts.set_backlog(GATE, ACCOUNT, 7)
    counts.set_window(server, 8)
    counts.set_grants(server, 3)
    text = counts.render().decode()
    assert 'celeryspan_backlog{account="tower",service="gate-desk"} 7.0' in text
    assert 'celeryspan_window_slots{server="gate-1"} 8.0' in text
    assert 'celeryspan_grants{server="gate-1"} 3.0' in text
    counts.forget_server(server)
    assert 'server="gate-1"' not in counts.render().decode()


class TrafficReporter:
    """A service with the same traffic report as links and datagrams."""

    def __init__(self, _container: kernel.Kernel) -> None:
        pass

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass

    def report(self) -> dict[str, object]:
        grant = {"messages": 2, "bytes": 40}
        return {"refused": 0, "sent": {"grant": grant}, "received": {"probe": grant}}


def test_control_traffic_sums_links_and_datagrams() -> None:
    names = ("links", "datagrams")
    made = {name: kernel.Registration(TrafficReporter, ()) for name in names}
    made["metrics"] = kernel.Registration(metrics.Metrics, ())
    container = kernel.Kernel(None, made)
    container.start(["metrics"])
    assert b"celeryspan_control_bytes_total{" not in container.find("metrics").render()
    container.start(["links", "datagrams"])
    text = container.find("metrics").render().decode()
    assert 'celeryspan_control_bytes_total{direction="out",kind="grant"} 80.0' in text
    assert 'celeryspan_control_messages_total{direction="in",kind="probe"} 4.0' in text


def test_accounts_beyond_the_limit_share_a_label() -> None:
    """Guards against series that grow with the number of client accounts.

    Each new account adds series that are never removed; with thousands of accounts
    scrapes time out and the router runs out of memory.
    """
    counts = metrics.Metrics()
    for place in range(metrics.PAIRS_MAX + 50):
        counts.observe_wait(GATE, ids.AccountId(f"account-{place}"), 0.1)
    name = "celeryspan_wait_seconds_count"
    overflow = {"service": GATE, "account": metrics.OVERFLOW}
    first = {"service": GATE, "account": "account-0"}
    assert counts.registry.get_sample_value(name, overflow) == 50
    assert counts.registry.get_sample_value(name, first) == 1


def test_routers_in_one_process_have_separate_metrics() -> None:
    left, right = metrics.Metrics(), metrics.Metrics()
    left.set_backlog(GATE, ACCOUNT, 1)
    assert "tower" not in right.render().decode()
