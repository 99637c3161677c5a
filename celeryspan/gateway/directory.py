"""The kernel service ``directory``: addresses of usable routers, readiness and metrics.

The three paths are served by cherrypy's HTTP server without the rest of cherrypy, whose
import takes 8 MB and 0.12 s at the start of each router.
"""

from __future__ import annotations

import json
import random
import time
import urllib.parse
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from celeryspan import events, ids, kernel, metrics
from celeryspan.decisions import callerlists, membertable
from celeryspan.platform import names
from celeryspan.services import callerconnections, httpserver

if TYPE_CHECKING:
    from celeryspan.gateway import catalogues, serverlists
    from celeryspan.services import membership

ADDRESSES_TTL_SECONDS = 1
"""Time for which callers may cache a list of addresses. Some cache it three times as
long. A planned stop must last longer than that: otherwise the end of the process would
cut requests that arrive more than 3 s after the stop begins."""

THREADS = 32

STATUSES = {200: "200 OK", 404: "404 Not Found", 503: "503 Service Unavailable"}


class Answer(NamedTuple):
    """Status, content type and body of an answer."""

    status: int
    content_type: str = "text/plain"
    body: bytes = b""


@kernel.register(
    "directory",
    needs=("catalogues", "front", "membership", "metrics", "servers"),
)
class Directory:
    """Serves addresses to callers, and readiness and metrics to the platform.

    Attributes
    ----------
    draining : bool
        Whether this router is stopping: it is not listed and reports not ready.
    """

    def __init__(self, container: kernel.Kernel) -> None:
        self._settings = container.settings
        self._catalogues: catalogues.CataloguesService = container.find("catalogues")
        self._membership: membership.MembershipService = container.find("membership")
        self._metrics: metrics.Metrics = container.find("metrics")
        self._servers: serverlists.ServersService = container.find("servers")
        self._random = random.Random(time.time_ns())
        self.draining = False
        self._http_servers: list[httpserver.Server] = []

    def start(self) -> None:
        """Start listening; raises OSError if an address is in use."""
        addresses = [self._settings.ready_address, self._settings.directory_address]
        if self._settings.metrics_port:
            host = ids.Address.parse(self._settings.ready_address).host
            addresses.append(f"{host}:{self._settings.metrics_port}")
        budget = callerconnections.compute_budget(self._settings.descriptors_max)
        for address in dict.fromkeys(addresses):
            server = httpserver.Server(
                ids.Address.parse(address),
                self._serve,
                threads=THREADS,
                body_bytes_max=1,
                log=lambda text: events.log(
                    events.Event.TASK_FAILED, task="directory", error=text
                ),
                connections_max=budget.listener,
            )
            server.open()
            self._http_servers.append(server)

    def _serve(
        self, environ: dict[str, Any], start: Callable[[str, list], object]
    ) -> list[bytes]:
        """Answer one request; a WSGI application."""
        answer = self._answer(environ["PATH_INFO"], environ["QUERY_STRING"])
        headers = [
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(answer.body))),
        ]
        start(STATUSES[answer.status], headers)
        return [answer.body]

    def _answer(self, path: str, query: str) -> Answer:
        if path == names.RESOLVE:
            parameters = dict(urllib.parse.parse_qsl(query))
            listed = self.list_addresses(parameters.get("zone"))
            answer = (
                {"addresses": listed, "ttl_s": ADDRESSES_TTL_SECONDS} if listed else {}
            )
            body = json.dumps(answer).encode()
            return Answer(200 if listed else 503, "application/json", body)
        if path == names.READY:
            return Answer(200 if self.is_ready() else 503)
        if path == names.METRICS:
            return Answer(200, metrics.CONTENT_TYPE, self.render_metrics())
        return Answer(404)

    def stop(self) -> None:
        """Stop listening."""
        for server in self._http_servers:
            server.shut_down()

    def is_ready(self) -> bool:
        """Whether this router can serve requests and is not stopping."""
        return (
            not self.draining
            and self._catalogues.current() is not None
            and bool(self._servers.usable())
        )

    def list_addresses(self, data_centre: str | None) -> list[str]:
        """Return addresses of usable routers, those in ``data_centre`` first."""
        now = time.monotonic()
        known = self._membership.list_records()
        if self.is_ready():
            known.append(membertable.MemberRecord(self._membership.own(), 0.0))
        found = callerlists.choose_addresses(known, data_centre, now, self._random)
        return [str(address) for address in found]

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self._metrics.render()
