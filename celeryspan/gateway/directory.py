"""The kernel service ``directory``: which routers to use, and readiness."""

from __future__ import annotations

import json
import random
import time
from typing import TYPE_CHECKING

import cherrypy

from celeryspan import events, ids, kernel, metrics, states
from celeryspan.services import httpserver

if TYPE_CHECKING:
    from celeryspan.gateway import catalogues, serverlists
    from celeryspan.services import membership
    from celeryspan.wire import messages

ADDRESSES_MAX = 64

KEEP_SECONDS = 1
"""How long callers keep an answer, in seconds. Some keep it three times as long, and a
stop must outlast that: requests that come later than 3 s after its beginning would
otherwise be cut by its end."""

THREADS = 32

APPLICATION_CONFIG = {
    "/": {
        "request.show_tracebacks": False,
        "tools.encode.on": False,
        "tools.trailing_slash.on": False,
    }
}


class _Answers:
    """The paths of one address, as cherrypy walks them."""

    def __init__(self, found: Directory) -> None:
        self.v1 = self
        self._found = found

    @cherrypy.expose
    def resolve(self, **query: str) -> bytes:
        """Answer which routers to use."""
        listed = self._found.list_addresses(query.get("region"), query.get("zone"))
        if not listed:
            cherrypy.response.status = 503
        cherrypy.response.headers["Content-Type"] = "application/json"
        answer = {"addresses": listed, "ttl_s": KEEP_SECONDS} if listed else {}
        return json.dumps(answer).encode()

    @cherrypy.expose
    def readyz(self, **_: str) -> bytes:
        """Answer whether this router is ready."""
        cherrypy.response.status = 200 if self._found.is_ready() else 503
        return b""

    @cherrypy.expose
    def metrics(self, **_: str) -> bytes:
        """Answer the metrics in the text format."""
        cherrypy.response.headers["Content-Type"] = metrics.CONTENT_TYPE
        return self._found.render_metrics()


@kernel.register("directory", needs=("catalogues", "membership", "metrics", "servers"))
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
        for address in dict.fromkeys(addresses):
            application = cherrypy.Application(_Answers(self), "", APPLICATION_CONFIG)
            application.log.access_log.disabled = True
            server = httpserver.Server(
                ids.Address.parse(address),
                application,
                threads=THREADS,
                body_bytes_max=1,
                log=lambda text: events.log(
                    events.Event.TASK_FAILED, task="directory", error=text
                ),
            )
            server.open()
            self._open.append(server)

    def stop(self) -> None:
        """Stop listening."""
        for server in self._open:
            server.shut()

    def is_ready(self) -> bool:
        """Whether this router can serve and does not stop."""
        return (
            not self.draining
            and self._catalogues.current() is not None
            and bool(self._servers.usable())
        )

    def list_addresses(self, region: str | None, data_centre: str | None) -> list[str]:
        """Return the addresses of the routers that serve, nearest first."""
        found = [
            member for member in self._membership.members() if self._is_usable(member)
        ]
        self._random.shuffle(found)
        found.sort(key=lambda member: member.data_centre != data_centre)
        return [str(member.caller_address) for member in found[:ADDRESSES_MAX]]

    def _is_usable(self, member: messages.Member) -> bool:
        """Whether callers may use a router.

        A peer is ready once it shows a configuration. What is asked is the newest
        belief: the list of those alive is kept until somebody joins or leaves, and
        would show peers without the configuration that they have got since. Callers
        near such a router were sent to it alone, and it refused one in two for want of
        threads.
        """
        if str(member.caller_address) == self._settings.caller_address:
            return self.is_ready()
        return member.state is states.MemberState.ALIVE and member.generation > 0

    def render_metrics(self) -> bytes:
        """Return the metrics in the text format."""
        return self._metrics.render()
