"""The kernel service ``announcements``: what backend servers state in their answers.

A server that is leaving or needs a rest says so in its answers. Departures are told to
all routers, rests to the home of the server's pool.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from celeryspan import catalog, errors, events, ids, kernel, metrics
from celeryspan.decisions import announcements
from celeryspan.platform import announcements as parser
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.services import datagrams, links, membership

EXPIRY_SECONDS = 1.0
"""Interval at which what no longer holds is forgotten and the gauges are set."""

NO_REQUEST = ids.RequestId("")

DepartureHandler = Callable[[], None]
RestHandler = Callable[[catalog.ServerEntry, announcements.Rest], None]


@kernel.register("announcements", needs=("datagrams", "links", "membership", "metrics"))
class AnnouncementsService:
    """Keeps the departures known to the fleet and the rests asked of this router."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._datagrams: datagrams.DatagramsService = container.find("datagrams")
        self._links: links.LinksService = container.find("links")
        self._membership: membership.MembershipService = container.find("membership")
        self._metrics: metrics.Metrics = container.find("metrics")
        self._departures = announcements.Departures()
        self._rests = announcements.Rests()
        self._lock = threading.Lock()
        self._departure_handlers: list[DepartureHandler] = []
        self._rest_handlers: list[RestHandler] = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="announcements", daemon=True
        )

    def start(self) -> None:
        """Subscribe to the departures that other routers report."""
        self._datagrams.subscribe(self._handle_frame)
        self._links.subscribe(messages.ServerDeparture, self._handle_departure)
        self._links.subscribe(messages.MembersRequest, self._answer_request)
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread that forgets what no longer holds."""
        self._stopped.set()

    def subscribe_departures(self, handler: DepartureHandler) -> None:
        """Register a handler to call when the leaving servers have changed."""
        self._departure_handlers.append(handler)

    def subscribe_rests(self, handler: RestHandler) -> None:
        """Register a handler to call when a server asks this router for a rest."""
        self._rest_handlers.append(handler)

    def report(self) -> dict[str, object]:
        """Return leaving servers by age and resting ones by time left, in seconds."""
        now = time.monotonic()
        with self._lock:
            departures = self._departures.list_all()
            rests = self._rests.list_active(now)
        return {
            "leaving": {
                each.server: round(now - each.announced_at, 1) for each in departures
            },
            "resting": {each.server: round(each.ends_at - now, 1) for each in rests},
        }

    def record_answer(
        self,
        entry: catalog.ServerEntry,
        status: int,
        get_header: parser.GetHeader,
        request: ids.RequestId = NO_REQUEST,
    ) -> None:
        """Record what the head of an answer states about the server that sent it.

        Parameters
        ----------
        entry : ServerEntry
            The entry of the server to which the connection was opened.
        request : RequestId
            The request that was answered, for the log.
        """
        found = parser.read(status, get_header)
        if found is None:
            return
        if found.is_leaving:
            self._record_departure(entry, request)
        if found.rest_seconds is not None:
            self._record_rest(entry, found, request)

    def is_leaving(self, entry: catalog.ServerEntry) -> bool:
        """Whether a server has announced that it is about to stop."""
        return self._departures.is_leaving(entry)

    def find_rest(self, entry: catalog.ServerEntry) -> announcements.Rest | None:
        """Return the rest that a server has asked this router for, if it lasts."""
        return self._rests.find(entry, time.monotonic())

    def list_resting(self) -> frozenset[ids.ServerId]:
        """Return the servers that rest for this router."""
        now = time.monotonic()
        with self._lock:
            return frozenset(each.server for each in self._rests.list_active(now))

    def measure_rest(self, entries: Iterable[catalog.ServerEntry]) -> float | None:
        """Return the seconds until the first of some servers may be used again.

        Returns None if any of them may be used now, or if there are none.
        """
        now = time.monotonic()
        ends_at = self._rests.find_ends(entries, now)
        return None if ends_at is None else ends_at - now

    def check(self, entry: catalog.ServerEntry) -> None:
        """Check that this router may send anything to a server.

        Raises
        ------
        errors.NotRun
            If it is leaving or resting.
        """
        rest = self.find_rest(entry)
        if rest is not None:
            raise errors.NotRun(
                "the server has asked this router for a rest",
                code="server-resting",
                status=503,
                retry_after=rest.ends_at - time.monotonic(),
                step="send",
                peer=entry.server,
            )
        if self.is_leaving(entry):
            raise errors.NotRun(
                "the server has announced that it is leaving",
                code="server-left",
                status=503,
                step="send",
                peer=entry.server,
            )

    def _record_departure(
        self, entry: catalog.ServerEntry, request: ids.RequestId
    ) -> None:
        message = messages.ServerDeparture(
            entry.server, announcements.get_incarnation(entry), 0.0
        )
        if self._merge(message):
            self._metrics.count_announcement("leaving")
            events.log(
                events.Event.DEPARTURE_ANNOUNCED, request=request, server=entry.server
            )

    def _record_rest(
        self,
        entry: catalog.ServerEntry,
        found: catalog.Announcement,
        request: ids.RequestId,
    ) -> None:
        assert found.rest_seconds is not None
        seconds = announcements.bound_rest(found.rest_seconds)
        if seconds != found.rest_seconds:
            events.log(
                events.Event.REST_CORRECTED,
                request=request,
                server=entry.server,
                found=found.rest_text[:40],
                expected=f"0 to {announcements.REST_SECONDS_MAX:g} s",
                seconds=seconds,
            )
        now = time.monotonic()
        rest = announcements.Rest(
            entry.server, announcements.get_incarnation(entry), now, now + seconds
        )
        with self._lock:
            is_new = self._rests.find(entry, now) is None
            is_longer = seconds > 0.0 and self._rests.record(rest)
        if not is_longer:
            return
        if is_new:
            self._metrics.count_announcement("resting")
            events.log(
                events.Event.REST_REQUESTED,
                request=request,
                server=entry.server,
                seconds=round(seconds, 3),
            )
        for handler in self._rest_handlers:
            handler(entry, rest)

    def _merge(self, message: messages.ServerDeparture) -> bool:
        """Record a departure and gossip it; returns whether it was unknown."""
        with self._lock:
            is_new = self._departures.record(
                message.server, message.incarnation, message.age, time.monotonic()
            )
        if is_new:
            self._membership.spread(("departure", message.server), message)
            self._notify_departures()
        return is_new

    def _notify_departures(self) -> None:
        for handler in self._departure_handlers:
            handler()

    def _handle_frame(self, frame: messages.Frame, _: ids.Address) -> None:
        for message in frame.messages:
            if isinstance(message, messages.ServerDeparture):
                self._merge(message)

    def _handle_departure(
        self, _: ids.RouterId, __: ids.Incarnation, message: messages.ServerDeparture
    ) -> None:
        self._merge(message)

    def _answer_request(
        self, peer: ids.RouterId, _: ids.Incarnation, __: messages.MembersRequest
    ) -> None:
        """Send all departures to a router that has joined or was partitioned."""
        now = time.monotonic()
        with self._lock:
            departures = self._departures.list_all()
        for each in departures:
            self._links.send(peer, announcements.make_departure_message(each, now))

    def _run(self) -> None:
        while not self._stopped.wait(EXPIRY_SECONDS):
            now = time.monotonic()
            with self._lock:
                self._rests.expire(now)
                expired = self._departures.expire(now)
                counts = (
                    len(self._departures.list_all()),
                    len(self._rests.list_active(now)),
                )
            self._metrics.set_announced_servers(*counts)
            if expired:
                self._notify_departures()
