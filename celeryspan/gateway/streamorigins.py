"""The kernel service ``streamorigins``: finds the software version of broken streams.

The router that serves a stream tells the home of its pool with the first event, and
keeps the origin itself. The home passes on what it has been told since the last round
to the routers that hold each origin. A router at which a caller takes a stream up asks
the hosts of the service once, unless it holds the origin itself.
"""

from __future__ import annotations

import collections
import threading
import time
from typing import TYPE_CHECKING

import msgspec

from celeryspan import catalog, events, ids, kernel, metrics
from celeryspan.decisions import shards, streamversions
from celeryspan.gateway import refusals
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.gateway import (
        catalogues,
        orders,
        originlists,
        poolmap,
        serverlists,
    )
    from celeryspan.services import delivery, identity, membership

ROUND_SECONDS = 0.5
"""Interval at which new origins are passed on to their holders."""

MESSAGE_ORIGINS_MAX = 500

QUESTION_TIMEOUT_SECONDS = 0.4
"""Time for hosts to answer; those that are up take some milliseconds."""

ASKED_MAX = 8
"""Homes that are asked besides the holders: they may not have passed on yet what they
were told last."""

RETENTION_SECONDS_DEFAULT = 60.0


class _Question(msgspec.Struct):
    """A question to other routers; ``unanswered`` are those still to be heard."""

    unanswered: set[ids.RouterId]
    done: threading.Event = msgspec.field(default_factory=threading.Event)


@kernel.register(
    "streamorigins",
    needs=(
        "catalogues",
        "delivery",
        "identity",
        "membership",
        "metrics",
        "originlists",
        "poolmap",
        "servers",
    ),
)
class StreamOriginsService:
    """Holds origins of streams and decides whether streams go on."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._catalogues: catalogues.CataloguesService = container.find("catalogues")
        self._delivery: delivery.DeliveryService = container.find("delivery")
        self._identity: identity.IdentityService = container.find("identity")
        self._metrics: metrics.Metrics = container.find("metrics")
        self._lists: originlists.OriginLists = container.find("originlists")
        self._map: poolmap.PoolMap = container.find("poolmap")
        self._membership: membership.MembershipService = container.find("membership")
        self._servers: serverlists.ServersService = container.find("servers")
        self._lock = threading.Lock()
        self._origins = streamversions.Origins()
        self._history = streamversions.VersionHistory()
        self._unsent: dict[ids.RequestId, None] = {}
        self._questions: dict[ids.RequestId, _Question] = {}
        self._hosts: dict[ids.ServiceId, tuple[ids.RouterId, ...]] = {}
        self._incarnations: dict[ids.RouterId, ids.Incarnation] = {}
        self._restarted: set[ids.RouterId] = set()
        self._retention = RETENTION_SECONDS_DEFAULT
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="streamorigins", daemon=True
        )

    def start(self) -> None:
        """Subscribe to the messages of homes and routers and start the rounds."""
        self._delivery.subscribe(messages.RunBegun, self._handle_run)
        self._delivery.subscribe(messages.RunHeld, self._handle_run)
        self._delivery.subscribe(messages.StreamOrigins, self._handle_origins)
        self._delivery.subscribe(messages.StreamOrigin, self._handle_answer)
        self._delivery.subscribe(messages.OriginRequest, self._handle_request)
        self._membership.subscribe(self._record_members)
        self._catalogues.subscribe(self._apply_timeouts)
        self._servers.subscribe(self._record_versions)
        self._thread.start()

    def stop(self) -> None:
        """Pass on what has not been sent yet and stop."""
        self._stopped.set()
        self._thread.join()

    def report(self) -> dict[str, object]:
        """Return how many origins this router holds, by version."""
        with self._lock:
            held = self._origins.list_all()
        return {
            "held": len(held),
            "versions": collections.Counter(
                f"{origin.service} {origin.version or 'unclear'}" for _, origin in held
            ),
            "retention_seconds": self._retention,
        }

    def find_version(self, order: orders.Order) -> ids.SoftwareVersion:
        """Return the version at which a request must run; empty if any will do.

        Raises
        ------
        errors.NotRun
            If the caller takes up a stream that can't go on.
        """
        incoming = order.incoming
        is_stream = order.route.kind is catalog.RouteKind.STREAM
        if not (is_stream and incoming.is_take_up):
            return catalog.NO_VERSION
        origin = (
            self._find(incoming.origin, order.service)
            if incoming.origin
            else self._infer(order.service)
        )
        verdict = streamversions.judge(
            origin,
            order.service,
            self._servers.usable().values(),
            self._servers.measure_age(),
        )
        version = origin.version if origin else catalog.NO_VERSION
        self._metrics.count_take_up(verdict.value)
        events.log(
            events.Event.STREAM_TAKEN_UP,
            request=order.request,
            origin=incoming.origin,
            above=incoming.last_event,
            service=order.service,
            version=version,
            verdict=verdict.value,
        )
        if verdict is streamversions.Verdict.GOES_ON:
            return version
        raise refusals.make_take_up_error(verdict)

    def check_served(
        self, service: ids.ServiceId, version: ids.SoftwareVersion
    ) -> None:
        """Check that a stream of a version can go on.

        Raises
        ------
        errors.NotRun
            If no usable server is known to have the version.
        """
        if not version:
            return
        verdict = streamversions.judge_version(
            version,
            service,
            self._servers.usable().values(),
            self._servers.measure_age(),
        )
        if verdict is not streamversions.Verdict.GOES_ON:
            raise refusals.make_take_up_error(verdict)

    def may_continue(
        self, entry: catalog.ServerEntry, version: ids.SoftwareVersion
    ) -> bool:
        """Whether a server is known to continue streams of a version."""
        if not version:
            return True
        return streamversions.may_continue(
            entry, version
        ) and streamversions.is_confirmed(entry, self._servers.measure_age())

    def record(
        self,
        origin: ids.RequestId,
        service: ids.ServiceId,
        version: ids.SoftwareVersion,
    ) -> None:
        """Record that a stream has begun, or goes on, at this router."""
        with self._lock:
            self._origins.record(origin, service, version, time.monotonic())

    def _find(
        self, request: ids.RequestId, service: ids.ServiceId
    ) -> streamversions.Origin | None:
        with self._lock:
            found = self._origins.find(request)
        if found is None:
            found = self._ask(request, service)
        if found is None:
            found = self._look_up(request, service)
        return found

    def _look_up(
        self, request: ids.RequestId, service: ids.ServiceId
    ) -> streamversions.Origin | None:
        """Return the origin that the store proves; record it for further questions."""
        found = self._lists.find(request, service)
        if found is None:
            return None
        began_in, version = found
        now = time.monotonic()
        with self._lock:
            self._origins.record(request, began_in, version, now)
            return self._origins.find(request)

    def _infer(self, service: ids.ServiceId) -> streamversions.Origin | None:
        """Return the origin of a stream whose caller names none, if it is certain.

        Two proofs count: this router has seen one version alone for as long as streams
        can be taken up, or the store's record names one.
        """
        if self._servers.measure_age() > streamversions.ENTRIES_AGE_SECONDS_MAX:
            return None
        now = time.monotonic()
        since = now - self._retention
        with self._lock:
            version = (
                self._history.find_sole_version(service, since)
                if self._history.covers(since)
                else catalog.NO_VERSION
            )
        version = version or self._lists.find_sole_version(service)
        return streamversions.Origin(service, version, now) if version else None

    def _ask(
        self, request: ids.RequestId, service: ids.ServiceId
    ) -> streamversions.Origin | None:
        """Ask other routers for an origin; returns None if none of them knows it."""
        hosts = self._map.list_hosts(service, streamversions.HOSTS_MIN)
        homes = self._map.list_homes(service)[:ASKED_MAX]
        asked = {*streamversions.choose_holders(request, hosts), *homes}
        asked.discard(self._identity.router)
        if not asked:
            return None
        with self._lock:
            question = self._questions.setdefault(request, _Question(set(asked)))
        for router in asked:
            self._delivery.send(router, messages.OriginRequest(request))
        question.done.wait(QUESTION_TIMEOUT_SECONDS)
        with self._lock:
            self._questions.pop(request, None)
            return self._origins.find(request)

    def _handle_request(
        self, router: ids.RouterId, _: ids.Incarnation, asked: messages.OriginRequest
    ) -> None:
        now = time.monotonic()
        with self._lock:
            found = self._origins.find(asked.request)
        if found is None:
            answer = messages.StreamOrigin(
                asked.request, ids.ServiceId(""), catalog.NO_VERSION, 0.0
            )
        else:
            answer = _make_message(asked.request, found, now)
        self._delivery.send(router, answer)

    def _handle_answer(
        self, router: ids.RouterId, _: ids.Incarnation, answer: messages.StreamOrigin
    ) -> None:
        with self._lock:
            question = self._questions.get(answer.request)
            if question is None:
                return
            if answer.version:
                self._record_message(answer, time.monotonic())
            question.unanswered.discard(router)
            if answer.version or not question.unanswered:
                question.done.set()

    def _handle_run(
        self,
        _: ids.RouterId,
        __: ids.Incarnation,
        run: messages.RunBegun | messages.RunHeld,
    ) -> None:
        """Hold the origin of a stream whose home is this router, and pass it on."""
        if not run.version:
            return
        service, _, _ = shards.parse_pool(run.pool)
        with self._lock:
            self._watch_hosts(service)
            self._origins.record(run.origin, service, run.version, time.monotonic())
            self._unsent[run.origin] = None
        self._lists.add(run.origin, service, run.version)

    def _handle_origins(
        self, _: ids.RouterId, __: ids.Incarnation, told: messages.StreamOrigins
    ) -> None:
        now = time.monotonic()
        with self._lock:
            for each in told.origins:
                self._record_message(each, now)

    def _record_message(self, told: messages.StreamOrigin, now: float) -> None:
        """Record what another router tells; the caller holds the lock."""
        self._watch_hosts(told.service)
        self._origins.record(told.request, told.service, told.version, now - told.age)

    def _record_members(self, members: list[messages.Member]) -> None:
        """Note routers that have restarted, which have lost the origins that they held.

        One that is back before its end was noticed changes nothing in the hosts.
        """
        found = {member.router: member.incarnation for member in members}
        with self._lock:
            self._restarted.update(
                router
                for router, incarnation in found.items()
                if self._incarnations.get(router, incarnation) != incarnation
            )
            self._incarnations = found

    def _record_versions(self, usable: dict[ids.ServerId, catalog.ServerEntry]) -> None:
        with self._lock:
            self._history.record(usable.values(), time.monotonic())

    def _apply_timeouts(self, current: catalog.Catalogue) -> None:
        """Hold origins for as long as callers of the current routes may need them."""
        timeouts = [
            route.timeout
            for route in current.routes
            if route.kind is catalog.RouteKind.STREAM
        ]
        self._retention = streamversions.compute_retention(timeouts)

    def _run(self) -> None:
        while not self._stopped.wait(ROUND_SECONDS):
            self._pass_on_safely()
        self._pass_on_safely()

    def _pass_on_safely(self) -> None:
        try:
            self._pass_on(time.monotonic())
        except Exception as error:
            # Without this thread, the streams of a home that dies could not go on.
            events.log(
                events.Event.TASK_FAILED, task="streamorigins", error=repr(error)
            )

    def _pass_on(self, now: float) -> None:
        """Send origins to those of their holders that don't have them yet."""
        with self._lock:
            self._origins.expire(now - self._retention)
            self._metrics.set_stream_origins(len(self._origins))
            unsent, self._unsent = self._unsent, {}
            found = [(request, self._origins.find(request)) for request in unsent]
            changed = self._update_hosts()
            held = self._origins.list_all() if changed else []
        # Holders are chosen without the lock, for which callers' threads wait.
        outgoing: dict[ids.RouterId, list[messages.StreamOrigin]] = (
            collections.defaultdict(list)
        )
        for request, origin in found:
            if origin is not None:
                hosts = self._hosts[origin.service]
                for holder in streamversions.choose_holders(request, hosts):
                    outgoing[holder].append(_make_message(request, origin, now))
        for request, origin in held:
            if origin.service in changed:
                hosts, earlier = self._hosts[origin.service], changed[origin.service]
                for holder in streamversions.find_new_holders(request, hosts, earlier):
                    outgoing[holder].append(_make_message(request, origin, now))
        outgoing.pop(self._identity.router, None)
        for holder, origins in outgoing.items():
            for start in range(0, len(origins), MESSAGE_ORIGINS_MAX):
                part = tuple(origins[start : start + MESSAGE_ORIGINS_MAX])
                self._delivery.send(holder, messages.StreamOrigins(part))

    def _update_hosts(self) -> dict[ids.ServiceId, tuple[ids.RouterId, ...]]:
        """Return the earlier hosts of services whose hosts have changed.

        Hosts that have restarted are left out of them.
        """
        changed = {}
        restarted, self._restarted = self._restarted, set()
        for service, known in self._hosts.items():
            hosts = self._map.list_hosts(service, streamversions.HOSTS_MIN)
            earlier = tuple(each for each in known if each not in restarted)
            if hosts != earlier:
                changed[service], self._hosts[service] = earlier, hosts
        return changed

    def _watch_hosts(self, service: ids.ServiceId) -> None:
        """Notice from now on when the hosts of a service change."""
        if service not in self._hosts:
            self._hosts[service] = self._map.list_hosts(
                service, streamversions.HOSTS_MIN
            )


def _make_message(
    request: ids.RequestId, origin: streamversions.Origin, now: float
) -> messages.StreamOrigin:
    return messages.StreamOrigin(
        request, origin.service, origin.version, max(0.0, now - origin.seen_at)
    )
