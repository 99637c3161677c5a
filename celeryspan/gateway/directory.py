"""The kernel service ``directory``: which routers to use, and readiness.

Three paths need no framework: cherrypy's server answers them, and the rest of cherrypy,
8 MB and 0.12 s of the start of each router, is not imported here.
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

KEEP_SECONDS = 1
"""How long callers keep an answer, in seconds. Some keep it three times as long, and a
stop must outlast that: requests that come later than 3 s after its beginning would
otherwise be cut by its end."""

THREADS = 32

STATUSES = {200: "200 OK", 404: "404 Not Found", 503: "503 Service Unavailable"}


class Answer(NamedTuple):
    """What is answered to one question."""

    status: int
    kind: str = "text/plain"
    body: bytes = b""


@kernel.register(
    "directory",
    needs=("catalogues", "front", "membership", "metrics", "servers"),
)
class Directory:
    """Serves the addresses at which callers and the platform ask.

    Attributes
    ----------
    draining : bool
        Whether this router is left out and not ready.
    """

    def __init__(self, box: kernel.Kernel) -> None:
        self._settings = box.settings
        self._catalogues: catalogues.CataloguesService = box.find("catalogues")
        self._membership: membership.MembershipService = box.find("membership")
        self._metrics: metrics.Metrics = box.find("metrics")
        self._servers: serverlists.ServersService = box.find("servers")
        self._random = random.Random(time.time_ns())
        self.draining = False
        self._open: list[httpserver.Server] = []

    def start(self) -> None:
        """Listen; raises OSError if an address is taken."""
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
            self._open.append(server)

    def _serve(
        self, environ: dict[str, Any], start: Callable[[str, list], object]
    ) -> list[bytes]:
        """Answer one question, as WSGI has it."""
        answer = self._answer(environ["PATH_INFO"], environ["QUERY_STRING"])
        headers = [
            ("Content-Type", answer.kind),
            ("Content-Length", str(len(answer.body))),
        ]
        start(STATUSES[answer.status], headers)
        return [answer.body]

    def _answer(self, path: str, query: str) -> Answer:
        if path == names.RESOLVE:
            asked = dict(urllib.parse.parse_qsl(query))
            listed = self.list_addresses(asked.get("zone"))
            answer = {"addresses": listed, "ttl_s": KEEP_SECONDS} if listed else {}
            body = json.dumps(answer).encode()
            return Answer(200 if listed else 503, "application/json", body)
        if path == names.READY:
            return Answer(200 if self.is_ready() else 503)
        if path == names.METRICS:
            return Answer(200, metrics.CONTENT_TYPE, self.render_metrics())
        return Answer(404)

    def stop(self) -> None:
        """Stop listening."""
        for server in self._open:
            server.shut_down()

    def is_ready(self) -> bool:
        """Whether this router can serve and does not stop."""
        return (
            not self.draining
            and self._catalogues.current() is not None
            and bool(self._servers.usable())
        )

    def list_addresses(self, data_centre: str | None) -> list[str]:
        """Return the addresses of the routers to use, nearest first."""
        now = time.monotonic()
        known = self._membership.list_records()
        if self.is_ready():
            known.append(membertable.MemberRecord(self._membership.own(), 0.0))
        found = callerlists.choose_addresses(known, data_centre, now, self._random)
        return [str(address) for address in found]

    def render_metrics(self) -> bytes:
        """Return the metrics in the text format."""
        return self._metrics.render()
