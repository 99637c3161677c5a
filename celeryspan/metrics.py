"""Metrics of one router: histograms for each client account and service, and gauges.

Each router has a registry of its own, so that several in one process stay apart. The
kernel knows the metrics as ``metrics``; other services find them there.
"""

from __future__ import annotations

import collections
import threading
from collections.abc import Iterator, Mapping

import prometheus_client
from prometheus_client import core, exposition, registry

from celeryspan import ids, kernel, states

PAIRS_MAX = 400
"""Greatest number of (service, client account) pairs with series of their own.

Measured in CPython 3.11 with 400 pairs: a pair holds 81 series, 20 KiB in the process
and 7 KB of each scrape; a scrape then takes 0.16 s of a core. 400 pairs are thus 8 MiB
and, scraped every 15 s, 1.1% of a core. The accounts of a firm today make 32 pairs.
"""

SERVERS_MAX = 2000
"""Greatest number of backend servers with gauges of their own; a router is home of
10,000 / 1,300, about 8, and the rest is room for fleets with few routers."""

OVERFLOW = "_other"
"""Label value of all that comes after the bound; no account can have this name."""

# The time at which a series was made would be one more series for each of them.
prometheus_client.disable_created_metrics()

CONTENT_TYPE = exposition.CONTENT_TYPE_LATEST

SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120)
"""Bounds of waiting and whole times: from a loopback call to two minutes."""

TOKEN_SECONDS = (0.002, 0.005, 0.01, 0.02, 0.03, 0.046, 0.06, 0.1, 0.2, 0.5, 1, 5)
"""Bounds of times between tokens, with the aim of 46 ms among them."""

FIRST_TOKEN_SECONDS = (0.01, 0.05, 0.1, 0.25, 0.5, 1, 1.9, 2.5, 5, 10, 30, 60)
"""Bounds of times to the first token, with the aim of 1.9 s among them."""

COST_UNITS = (1, 4, 16, 64, 128, 256, 512, 1024, 2048, 4096, 8192, 32768)
"""Bounds of costs: 1 is a plain call, the rest are tokens of answers."""


CONTROL_SERVICES = ("links", "datagrams")
"""Services of the kernel that report bytes and messages between routers."""

DIRECTIONS = {"sent": "out", "received": "in"}
"""Label value of each direction in their reports."""


class ControlTraffic(registry.Collector):
    """Reads at each scrape what the links and datagrams have counted.

    Counting twice, there and here, would cost a lock for each message.

    Parameters
    ----------
    box : Kernel or None
        Finds the services; without it nothing is collected.
    """

    def __init__(self, box: kernel.Kernel | None) -> None:
        self._box = box

    def collect(self) -> Iterator[core.Metric]:
        """Yield bytes and messages by direction and kind."""
        totals: collections.Counter[tuple[str, str, str]] = collections.Counter()
        for report in self._find_reports():
            for name, direction in DIRECTIONS.items():
                for kind, counts in report.get(name, {}).items():
                    for unit in ("bytes", "messages"):
                        totals[unit, direction, kind] += counts[unit]
        for unit in ("bytes", "messages"):
            family = core.CounterMetricFamily(
                f"celeryspan_control_{unit}",
                f"{unit.capitalize()} between routers, by kind of message.",
                labels=["direction", "kind"],
            )
            for (counted, direction, kind), value in sorted(totals.items()):
                if counted == unit:
                    family.add_metric([direction, kind], value)
            yield family

    def _find_reports(self) -> Iterator[dict]:
        for name in CONTROL_SERVICES if self._box else ():
            try:
                yield self._box.find(name).report()
            except LookupError:
                continue  # The service has not been made yet, or is stopped.


@kernel.register("metrics")
class Metrics:
    """Counts and measures what one router does.

    Parameters
    ----------
    box : Kernel, optional
        The kernel that starts this service; finds what counts control traffic.
    """

    def __init__(self, box: kernel.Kernel | None = None) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._pairs: dict[tuple[str, str], tuple[str, str]] = {}
        self._servers: set[str] = set()
        self._lock = threading.Lock()
        self._wait = self._make_histogram("wait_seconds", "Wait for a slot.", SECONDS)
        self._first_token = self._make_histogram(
            "first_token_seconds",
            "Time from acceptance to the first token.",
            FIRST_TOKEN_SECONDS,
        )
        self._token_gap = self._make_histogram(
            "token_gap_seconds", "Time between two parts of a stream.", TOKEN_SECONDS
        )
        self._whole = self._make_histogram(
            "request_seconds", "Time from acceptance to the end.", SECONDS
        )
        self._cost = self._make_histogram(
            "request_cost_units", "True cost of a request.", COST_UNITS
        )
        self._outcomes = prometheus_client.Counter(
            "celeryspan_requests",
            "Requests that ended, by outcome.",
            ["service", "account", "outcome"],
            registry=self.registry,
        )
        self._backlog = self._make_gauge(
            "backlog", "Requests that wait for a slot.", ["service", "account"]
        )
        self._window = self._make_gauge(
            "window_slots", "Concurrency window of a backend server.", ["server"]
        )
        self._grants = self._make_gauge(
            "grants", "Grants of a backend server that are in use.", ["server"]
        )
        self._refusals = prometheus_client.Counter(
            "celeryspan_refusals",
            "Requests refused by this router, by reason.",
            ["code"],
            registry=self.registry,
        )
        self._connections = self._make_gauge(
            "caller_connections", "Connections of callers, by use.", ["use"]
        )
        self._requests_max = prometheus_client.Gauge(
            "celeryspan_requests_max",
            "Requests that may be in progress now.",
            registry=self.registry,
        )
        self._crashes = prometheus_client.Counter(
            "celeryspan_server_crashes",
            "Backend servers that crashed under runs of this router, by evidence.",
            ["evidence"],
            registry=self.registry,
        )
        self._suspects = self._make_gauge(
            "suspects",
            "Requests under which servers crashed, by standing.",
            ["standing"],
        )
        self.registry.register(ControlTraffic(box))

    def start(self) -> None:
        """Do nothing: metrics are ready once made."""

    def stop(self) -> None:
        """Do nothing: the last values stay readable."""

    def observe_wait(
        self, service: ids.ServiceId, account: ids.AccountId, seconds: float
    ) -> None:
        """Note how long a request waited for its slot."""
        self._wait.labels(*self._bound_pair(service, account)).observe(seconds)

    def observe_first_token(
        self, service: ids.ServiceId, account: ids.AccountId, seconds: float
    ) -> None:
        """Note the time from acceptance of a request to its first token."""
        self._first_token.labels(*self._bound_pair(service, account)).observe(seconds)

    def observe_token_gap(
        self, service: ids.ServiceId, account: ids.AccountId, seconds: float
    ) -> None:
        """Note the time between two parts of one stream."""
        self._token_gap.labels(*self._bound_pair(service, account)).observe(seconds)

    def observe_request(
        self,
        service: ids.ServiceId,
        account: ids.AccountId,
        outcome: states.Outcome,
        seconds: float,
        cost: float,
    ) -> None:
        """Note the end of a request: its outcome, whole time and true cost in units."""
        pair = self._bound_pair(service, account)
        self._outcomes.labels(*pair, outcome.value).inc()
        self._whole.labels(*pair).observe(seconds)
        self._cost.labels(*pair).observe(cost)

    def set_backlog(
        self, service: ids.ServiceId, account: ids.AccountId, waiting: int
    ) -> None:
        """Note how many requests of an account wait.

        Accounts beyond the bound share one gauge, which shows the last one set.
        """
        self._backlog.labels(*self._bound_pair(service, account)).set(waiting)

    def count_refusal(self, code: str) -> None:
        """Count a refused request; codes are those of the catalogue of outcomes."""
        self._refusals.labels(code).inc()

    def count_server_crash(self, evidence: str) -> None:
        """Count a crash of a backend server, by what showed it."""
        self._crashes.labels(evidence).inc()

    def set_suspects(self, counts: Mapping[str, int]) -> None:
        """Note how many requests are suspected, isolated and in quarantine."""
        for standing, count in counts.items():
            self._suspects.labels(standing).set(count)

    def set_connections(self, idle: int, busy: int, requests_max: int) -> None:
        """Note the connections of callers, and how many requests are taken at once."""
        self._connections.labels("idle").set(idle)
        self._connections.labels("busy").set(busy)
        self._requests_max.set(requests_max)

    def set_window(self, server: ids.ServerId, slots: int) -> None:
        """Note the concurrency window of a backend server whose home this router is."""
        self._window.labels(self._bound_server(server)).set(slots)

    def set_grants(self, server: ids.ServerId, held: int) -> None:
        """Note how many grants of a backend server are in use."""
        self._grants.labels(self._bound_server(server)).set(held)

    def forget_server(self, server: ids.ServerId) -> None:
        """Drop the gauges of a backend server whose home is elsewhere now."""
        with self._lock:
            self._servers.discard(server)
        self._window.remove_by_labels({"server": server})
        self._grants.remove_by_labels({"server": server})

    def render(self) -> bytes:
        """Return all metrics in the text format, of type :data:`CONTENT_TYPE`."""
        return prometheus_client.generate_latest(self.registry)

    def _bound_pair(self, service: str, account: str) -> tuple[str, str]:
        """Return the labels of a pair, so that floods of names can't fill the memory.

        Without a bound each new client account adds series for good, in every router;
        it shows as growing memory and scrapes that time out. Pairs that come first
        keep their series; later accounts share :data:`OVERFLOW` for each service.
        """
        pair = self._pairs.get((service, account))
        if pair is not None:
            return pair
        with self._lock:
            if len(self._pairs) >= PAIRS_MAX:
                return service, OVERFLOW
            return self._pairs.setdefault((service, account), (service, account))

    def _bound_server(self, server: str) -> str:
        with self._lock:
            if server not in self._servers and len(self._servers) >= SERVERS_MAX:
                return OVERFLOW
            self._servers.add(server)
            return server

    def _make_histogram(
        self, name: str, text: str, bounds: tuple[float, ...]
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            f"celeryspan_{name}",
            text,
            ["service", "account"],
            buckets=bounds,
            registry=self.registry,
        )

    def _make_gauge(
        self, name: str, text: str, labels: list[str]
    ) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            f"celeryspan_{name}", text, labels, registry=self.registry
        )
