"""The kernel service ``metrics``: Prometheus metrics of one router.

Histograms are labelled by service and client account. Each router has its own registry,
so that several routers can run in one process.
"""

from __future__ import annotations

import collections
import itertools
import threading
from collections.abc import Callable, Iterator, Mapping

import prometheus_client
from prometheus_client import core, exposition, registry

from celeryspan import ids, kernel, states

PAIRS_MAX = 400
"""Maximum number of (service, client account) pairs that have their own series.

In CPython 3.11 a pair has 81 series, which take 20 KiB of memory and 7 KB of each
scrape. With 400 pairs that is 8 MiB, and a scrape takes 0.16 s of a core: 1.1% of it at
a scrape interval of 15 s. The accounts of a firm make 32 pairs today.
"""

SERVERS_MAX = 2000
"""Maximum number of backend servers that have their own gauges. With 10,000 servers and
1,300 routers a router is the home of about 8; the margin is for fleets with few
routers."""

OVERFLOW = "_other"
"""Label value beyond the limits above; no account can have this name."""

# The creation time of each series would be exported as an additional series.
prometheus_client.disable_created_metrics()

CONTENT_TYPE = exposition.CONTENT_TYPE_LATEST

TIME_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120)
"""Histogram buckets for waits and request durations, in seconds: from a loopback call
to two minutes."""

TOKEN_GAP_BUCKETS = (0.002, 0.005, 0.01, 0.02, 0.03, 0.046, 0.06, 0.1, 0.2, 0.5, 1, 5)
"""Histogram buckets for the time between tokens, in seconds, including the target of
46 ms."""

FIRST_TOKEN_BUCKETS = (0.01, 0.05, 0.1, 0.25, 0.5, 1, 1.9, 2.5, 5, 10, 30, 60)
"""Histogram buckets for the time to the first token, in seconds, including the target
of 1.9 s."""

COST_BUCKETS = (1, 4, 16, 64, 128, 256, 512, 1024, 2048, 4096, 8192, 32768)
"""Histogram buckets for request costs, in units: 1 for a call of a plain service, and
the tokens of the answer for a model."""


CONTROL_SERVICES = ("links", "datagrams")
"""Kernel services that report bytes and messages between routers."""

DIRECTIONS = {"sent": "out", "received": "in"}
"""Label value of each direction in the reports of these services."""


class ControlTraffic(registry.Collector):
    """Collects the traffic counters of links and datagrams at each scrape.

    Prometheus counters that are updated with each message would cost an additional lock
    for each.

    Parameters
    ----------
    container : Kernel or None
        The kernel whose services are read; without it nothing is collected.
    """

    def __init__(self, container: kernel.Kernel | None) -> None:
        self._container = container

    def collect(self) -> Iterator[core.Metric]:
        """Yield the counters of bytes and messages, by direction and message kind."""
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
        for name in CONTROL_SERVICES if self._container else ():
            try:
                yield self._container.find(name).report()
            except LookupError:
                continue  # The service has not been created yet, or has stopped.


@kernel.register("metrics")
class Metrics:
    """Records the metrics of one router.

    Parameters
    ----------
    container : Kernel, optional
        The kernel that starts this service; used to find the services that count
        control traffic.
    """

    def __init__(self, container: kernel.Kernel | None = None) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._pairs: dict[tuple[str, str], tuple[str, str]] = {}
        self._servers: set[str] = set()
        self._lock = threading.Lock()
        self._wait = self._make_histogram(
            "wait_seconds", "Wait for a slot.", TIME_BUCKETS
        )
        self._first_token = self._make_histogram(
            "first_token_seconds",
            "Time from acceptance to the first token.",
            FIRST_TOKEN_BUCKETS,
        )
        self._token_gap = self._make_histogram(
            "token_gap_seconds",
            "Time between two parts of a stream.",
            TOKEN_GAP_BUCKETS,
        )
        self._duration = self._make_histogram(
            "request_seconds", "Time from acceptance to the end.", TIME_BUCKETS
        )
        self._cost = self._make_histogram(
            "request_cost_units", "True cost of a request.", COST_BUCKETS
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
        self._refusal_wait = prometheus_client.Histogram(
            "celeryspan_refusal_wait_seconds",
            "Time from acceptance of a request to its refusal, by reason.",
            ["code"],
            buckets=TIME_BUCKETS,
            registry=self.registry,
        )
        self._connections = self._make_gauge(
            "caller_connections", "Connections of callers, by use.", ["use"]
        )
        self._accept_delay = prometheus_client.Gauge(
            "celeryspan_accept_delay_seconds",
            "Longest time that a caller waited to be dispatched in the last second.",
            registry=self.registry,
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
        self._store_era = prometheus_client.Gauge(
            "celeryspan_store_era",
            "Era that the platform's store states; it rises when the store comes back "
            "from a copy.",
            registry=self.registry,
        )
        self._evacuated = prometheus_client.Gauge(
            "celeryspan_evacuated_data_centres",
            "Data centres whose servers get no new requests.",
            registry=self.registry,
        )
        self._cold_servers = prometheus_client.Gauge(
            "celeryspan_cold_servers",
            "Usable servers that reported to be cold when their list last changed.",
            registry=self.registry,
        )
        self._announced = prometheus_client.Gauge(
            "celeryspan_announced_servers",
            "Servers known to be leaving, and those that rest for this router.",
            ["kind"],
            registry=self.registry,
        )
        self._rejecting = prometheus_client.Gauge(
            "celeryspan_rejecting_servers",
            "Servers of the pools whose home this router is that reject requests.",
            registry=self.registry,
        )
        self._announcements = prometheus_client.Counter(
            "celeryspan_server_announcements",
            "Departures and rests that servers have announced to this router.",
            ["kind"],
            registry=self.registry,
        )
        self._take_ups = prometheus_client.Counter(
            "celeryspan_take_ups",
            "Broken streams that callers took up at this router, by verdict.",
            ["verdict"],
            registry=self.registry,
        )
        self._stream_origins = prometheus_client.Gauge(
            "celeryspan_stream_origins",
            "Streams whose software version this router holds.",
            registry=self.registry,
        )
        self._server_versions = self._make_gauge(
            "server_versions",
            "Usable servers by software version.",
            ["service", "version"],
        )
        self._paces = self._make_gauge(
            "server_pace",
            "Service time on the VM of a backend server, relative to the usual; only "
            "of servers whose home is this router and that report it.",
            ["server"],
        )
        self._handed_over = prometheus_client.Counter(
            "celeryspan_handed_over",
            "Requests handed over to peers for want of processor time.",
            registry=self.registry,
        )
        self._held_bytes = prometheus_client.Gauge(
            "celeryspan_held_bytes",
            "Bytes of responses buffered for callers that read slowly.",
            registry=self.registry,
        )
        self.registry.register(ControlTraffic(container))

    def start(self) -> None:
        """Do nothing: the metrics are created by the constructor."""

    def stop(self) -> None:
        """Do nothing: the last values can still be read."""

    def observe_wait(
        self, service: ids.ServiceId, account: ids.AccountId, seconds: float
    ) -> None:
        """Record how long a request waited for a slot."""
        self._wait.labels(*self._get_pair_labels(service, account)).observe(seconds)

    def observe_first_token(
        self, service: ids.ServiceId, account: ids.AccountId, seconds: float
    ) -> None:
        """Record the time from acceptance of a request to its first token."""
        self._first_token.labels(*self._get_pair_labels(service, account)).observe(
            seconds
        )

    def observe_token_gap(
        self, service: ids.ServiceId, account: ids.AccountId, seconds: float
    ) -> None:
        """Record the time between two parts of a stream."""
        self._token_gap.labels(*self._get_pair_labels(service, account)).observe(
            seconds
        )

    def observe_request(
        self,
        service: ids.ServiceId,
        account: ids.AccountId,
        outcome: states.Outcome,
        seconds: float,
        cost: float,
    ) -> None:
        """Record the outcome, duration and actual cost, in units, of a request."""
        pair = self._get_pair_labels(service, account)
        self._outcomes.labels(*pair, outcome.value).inc()
        self._duration.labels(*pair).observe(seconds)
        self._cost.labels(*pair).observe(cost)

    def set_backlog(
        self, service: ids.ServiceId, account: ids.AccountId, waiting: int
    ) -> None:
        """Set the number of waiting requests of an account.

        Accounts beyond the limit share one gauge, which holds the last value set.
        """
        self._backlog.labels(*self._get_pair_labels(service, account)).set(waiting)

    def count_refusal(self, code: str) -> None:
        """Count a refused request by its error code."""
        self._refusals.labels(code).inc()

    def observe_refusal_wait(self, code: str, seconds: float) -> None:
        """Record how long a request waited until it was refused, by error code."""
        self._refusal_wait.labels(code).observe(seconds)

    def count_server_crash(self, evidence: str) -> None:
        """Count a crash of a backend server by the evidence for it."""
        self._crashes.labels(evidence).inc()

    def set_suspects(self, counts: Mapping[str, int]) -> None:
        """Set the numbers of suspected, isolated and quarantined requests."""
        for standing, count in counts.items():
            self._suspects.labels(standing).set(count)

    def set_store_era(self, era: int) -> None:
        """Set the era that the platform's store states."""
        self._store_era.set(era)

    def set_evacuated(self, count: int) -> None:
        """Set the number of evacuated data centres."""
        self._evacuated.set(count)

    def set_cold_servers(self, count: int) -> None:
        """Set the number of usable servers that are cold."""
        self._cold_servers.set(count)

    def set_announced_servers(self, leaving: int, resting: int) -> None:
        """Set the numbers of servers that are leaving and that rest."""
        self._announced.labels("leaving").set(leaving)
        self._announced.labels("resting").set(resting)

    def set_rejecting_servers(self, count: int) -> None:
        """Set the number of servers that reject requests."""
        self._rejecting.set(count)

    def count_announcement(self, kind: str) -> None:
        """Count an announcement of a backend server."""
        self._announcements.labels(kind).inc()

    def count_take_up(self, verdict: str) -> None:
        """Count a stream that a caller takes up, by whether it may go on."""
        self._take_ups.labels(verdict).inc()

    def set_stream_origins(self, count: int) -> None:
        """Set the number of streams whose origin this router holds."""
        self._stream_origins.set(count)

    def set_server_versions(self, counts: Mapping[tuple[str, str], int]) -> None:
        """Set the number of usable servers by service and software version."""
        self._server_versions.clear()
        for labels, count in counts.items():
            self._server_versions.labels(*labels).set(count)

    def track_held_bytes(self, count: Callable[[], int]) -> None:
        """Read the number of buffered bytes from a function at each scrape."""
        self._held_bytes.set_function(count)

    def set_paces(self, paces: Mapping[ids.ServerId, float]) -> None:
        """Set the paces of the backend servers whose home is this router.

        Servers beyond :data:`SERVERS_MAX` have no gauge.
        """
        self._paces.clear()
        for server, pace in itertools.islice(paces.items(), SERVERS_MAX):
            self._paces.labels(server).set(pace)

    def count_handover(self) -> None:
        """Count a request that was handed over to a peer."""
        self._handed_over.inc()

    def set_connections(self, idle: int, busy: int, requests_max: int) -> None:
        """Set the numbers of caller connections and the limit on requests."""
        self._connections.labels("idle").set(idle)
        self._connections.labels("busy").set(busy)
        self._requests_max.set(requests_max)

    def set_accept_delay(self, seconds: float) -> None:
        """Set the longest time that a caller waited to be dispatched of late."""
        self._accept_delay.set(seconds)

    def set_window(self, server: ids.ServerId, slots: int) -> None:
        """Set the concurrency window of a backend server whose home is this router."""
        self._window.labels(self._get_server_label(server)).set(slots)

    def set_grants(self, server: ids.ServerId, held: int) -> None:
        """Set the number of grants of a backend server that are in use."""
        self._grants.labels(self._get_server_label(server)).set(held)

    def forget_server(self, server: ids.ServerId) -> None:
        """Remove the gauges of a backend server that moved to another home."""
        with self._lock:
            self._servers.discard(server)
        self._window.remove_by_labels({"server": server})
        self._grants.remove_by_labels({"server": server})

    def render(self) -> bytes:
        """Return all metrics in the exposition format :data:`CONTENT_TYPE`."""
        return prometheus_client.generate_latest(self.registry)

    def _get_pair_labels(self, service: str, account: str) -> tuple[str, str]:
        """Return the label values of a pair, limiting the number of series.

        Series are never removed. Without a limit each new client account would add some
        to every router, until memory is exhausted and scrapes time out. The first
        :data:`PAIRS_MAX` pairs keep their own series; the accounts of later ones share
        :data:`OVERFLOW`, one for each service.
        """
        pair = self._pairs.get((service, account))
        if pair is not None:
            return pair
        with self._lock:
            if len(self._pairs) >= PAIRS_MAX:
                return service, OVERFLOW
            return self._pairs.setdefault((service, account), (service, account))

    def _get_server_label(self, server: str) -> str:
        """Return the label value of a server, limiting the number of series."""
        with self._lock:
            if server not in self._servers and len(self._servers) >= SERVERS_MAX:
                return OVERFLOW
            self._servers.add(server)
            return server

    def _make_histogram(
        self, name: str, documentation: str, buckets: tuple[float, ...]
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            f"celeryspan_{name}",
            documentation,
            ["service", "account"],
            buckets=buckets,
            registry=self.registry,
        )

    def _make_gauge(
        self, name: str, documentation: str, labels: list[str]
    ) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            f"celeryspan_{name}", documentation, labels, registry=self.registry
        )
