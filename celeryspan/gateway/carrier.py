"""The kernel service ``carrier``: forwards accepted requests to backend servers.

Each request is handled on the thread of its caller's connection, which waits for a
place in the pool, opens a connection, sends the request and relays the answer. The
request is reported as not run if no byte was sent, or if every server that received it
said that it did not run it. Otherwise the outcome is unknown.
"""

from __future__ import annotations

import functools
import time
from collections.abc import Iterator
from typing import TYPE_CHECKING

from celeryspan import catalog, errors, events, ids, kernel, metrics, states
from celeryspan.adapters import backend
from celeryspan.decisions import (
    announcements as announced,
    coldstart,
    streamversions,
)
from celeryspan.gateway import (
    attempts,
    channels,
    endings,
    migrations,
    orders,
    places,
    refusals,
    replies,
    requestprogress,
    sender,
)
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.gateway import (
        announcements,
        budgets,
        catalogues,
        crashwatch,
        quarantines,
        replybuffers,
        serverlists,
        streamorigins,
    )

CONNECT_FAILURES_MAX = 4
"""Maximum servers that one request tries to connect to."""

EVACUATED_RETRY_AFTER_SECONDS = 1.0
"""Retry-After while all servers of a service are in evacuated data centres."""


@kernel.register(
    "carrier",
    needs=(
        "announcements",
        "attempts",
        "budgets",
        "catalogues",
        "channels",
        "crashwatch",
        "metrics",
        "migrations",
        "places",
        "quarantine",
        "sender",
        "servers",
        "streamorigins",
    ),
)
class Carrier:
    """Forwards orders to backend servers and relays their answers."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._announcements: announcements.AnnouncementsService = container.find(
            "announcements"
        )
        self._catalogues: catalogues.CataloguesService = container.find("catalogues")
        self._channels: channels.Channels = container.find("channels")
        self._crashwatch: crashwatch.CrashWatch = container.find("crashwatch")
        self._places: places.SlotClient = container.find("places")
        self._quarantine: quarantines.QuarantineService = container.find("quarantine")
        self._budgets: budgets.RetryBudgets = container.find("budgets")
        self._migrations: migrations.Migrations = container.find("migrations")
        self._attempts: attempts.Attempts = container.find("attempts")
        self._sender: sender.Sender = container.find("sender")
        self._servers: serverlists.ServersService = container.find("servers")
        self._metrics: metrics.Metrics = container.find("metrics")
        self._origins: streamorigins.StreamOriginsService = container.find(
            "streamorigins"
        )
        self._data_centre = ids.DataCentreId(container.settings.data_centre)

    def start(self) -> None:
        """Subscribe the connection pool to changes of the server list."""
        self._servers.subscribe(self._channels.set_servers)

    def stop(self) -> None:
        """Do nothing: each order ends with its caller's thread."""

    def forward(self, order: orders.Order, sink: orders.Sink) -> None:
        """Send an order to a backend server and write its answer to the caller.

        Raises
        ------
        errors.NotRun
            If the request has not run and will not run.
        errors.OutcomeUnknown
            If no answer was started and the request may have run.
        backend.AnswerLost
            If the answer was started and cannot be completed.
        OSError
            If the caller has disconnected.
        """
        self._budgets.record_request(order.service)
        progress = requestprogress.Progress(is_repeatable=order.route.is_repeatable)
        progress.version = self._origins.find_version(order)
        refuse = functools.partial(self._places.refuse, order.request)
        self._quarantine.watch(order, progress, refuse)
        try:
            self._forward(order, progress, sink)
        finally:
            self._quarantine.unwatch(order)

    def _forward(
        self, order: orders.Order, progress: requestprogress.Progress, sink: orders.Sink
    ) -> None:
        while True:
            place = self._acquire_place(order, progress)
            if place is None:
                return self._write_server_failure(order, progress, sink)
            if self._attempt(order, place, progress, sink):
                endings.record_answered(self._metrics, order, progress, place.server)
                return None

    def _acquire_place(
        self, order: orders.Order, progress: requestprogress.Progress
    ) -> places.Slot | None:
        """Return a place, or None if an earlier server error is to be returned."""
        order.cancellation.on_cancel(lambda: self._places.cancel(order.request))
        try:
            self._quarantine.check(order, progress)
            if self._servers.is_evacuated(order.service):
                raise places.make_refusal("evacuated", EVACUATED_RETRY_AFTER_SECONDS)
            self._origins.check_served(order.service, progress.version)
            rest = self._measure_rest(order.service, progress.version)
            if rest is not None:
                raise places.make_refusal(announced.SERVERS_RESTING, rest)
            return self._places.acquire(
                order.service, self._build_slot_request(order, progress)
            )
        except errors.NotRun as refusal:
            self._attempts.return_retry(order, progress)
            if progress.server_failure is not None and not progress.is_answering:
                return None
            raise endings.make_refusal(order, progress, refusal) from refusal

    def _measure_rest(
        self, service: ids.ServiceId, version: ids.SoftwareVersion
    ) -> float | None:
        """Return the seconds until a server may be used, or None if one may be now.

        Parameters
        ----------
        version : SoftwareVersion
            Counts only servers of this version; empty for all.
        """
        usable = self._servers.usable().values()
        return self._announcements.measure_rest(
            entry
            for entry in usable
            if entry.service == service and streamversions.may_continue(entry, version)
        )

    def _build_slot_request(
        self, order: orders.Order, progress: requestprogress.Progress
    ) -> messages.SlotRequest:
        route, incoming = order.route, order.incoming
        current = self._catalogues.current()
        service = current.services.get(order.service) if current else None
        engine = service.engine if service else None
        return messages.SlotRequest(
            request=order.request,
            pool=ids.PoolId(""),
            account=order.account or ids.AccountId(""),
            data_centre=self._data_centre,
            parts=incoming.parts,
            prompt_tokens=incoming.prompt_tokens,
            output_tokens=incoming.output_tokens,
            waited=max(0.0, time.monotonic() - order.received_at),
            objective=route.target_latency,
            timeout=max(0.0, order.deadline - order.received_at),
            gap_max=route.gap_max,
            stride=engine.stride if engine else 1,
            excluded=progress.excluded,
            isolation=self._quarantine.find_isolation(order, progress),
            version=progress.version,
        )

    def _attempt(
        self,
        order: orders.Order,
        place: places.Slot,
        progress: requestprogress.Progress,
        sink: orders.Sink,
    ) -> bool:
        """Send an order to one server; returns whether the caller got the answer."""
        channel = self._open_channel(order, place, progress)
        if channel is None:
            return False
        self._check_before_send(order, place, progress, channel)
        if not self._origins.may_continue(channel.entry, progress.version):
            self._leave_other_version(order, place, progress, channel)
            return False
        if self._is_grant_expired(place) or self._is_resting(place, channel):
            self._release_unused(place, channel)
            return False
        ending = states.RunEnding.FAILED
        order.cancellation.on_cancel(channel.make_abort_callback())
        until = order.deadline
        if self._attempts.may_abandon_silent_server(order, progress):
            until = min(
                until, time.monotonic() + self._attempts.compute_silence_timeout(order)
            )
        try:
            reply = self._sender.send(
                order, place.server, progress, channel, until, source=place.source
            )
            ending = self._relay_reply(order, place, progress, reply, sink)
            self._record_answered(order, progress)
        except backend.Declined as declined:
            ending = _find_ending(declined)
            rest = self._measure_rest(order.service, progress.version)
            self._attempts.handle_rejection(order, progress, declined, rest)
        except backend.AnswerLost as lost:
            ending = states.RunEnding.CANCELLED
            if not order.cancellation.is_cancelled:
                if self._sender.resume(order, place, progress, sink):
                    ending = states.RunEnding.ANSWERED
                    self._record_answered(order, progress)
                    return True
                ending = states.RunEnding.FAILED
                self._report_lost_answer(order, channel, progress, lost)
            self._attempts.handle_lost_answer(order, progress, lost)
        except OSError:
            ending = states.RunEnding.CANCELLED
            raise
        finally:
            self._migrations.discard(place)
            pause = progress.longest_gap if progress.sends == 1 else 0.0
            self._places.end(place, ending, pause, progress.take_load(place.server))
            progress.excluded = (*progress.excluded, place.server)
            if ending is states.RunEnding.ANSWERED and channel.server == place.server:
                self._channels.release(channel)
            else:
                channel.close()
        return ending is states.RunEnding.ANSWERED

    def _open_channel(
        self,
        order: orders.Order,
        place: places.Slot,
        progress: requestprogress.Progress,
    ) -> channels.Channel | None:
        """Return a channel to the server, or None to try another server.

        Raises
        ------
        errors.NotRun, errors.OutcomeUnknown
            If no further server is to be tried.
        """
        entry = self._servers.usable().get(place.server)
        try:
            if entry is None:
                raise errors.NotRun(
                    "the server has left the pool",
                    code="server-left",
                    status=503,
                    retry_after=attempts.REJECTED_RETRY_AFTER_SECONDS,
                    step="connect",
                    peer=place.server,
                )
            at_most_once = not order.route.is_repeatable
            return self._channels.open(entry, at_most_once=at_most_once)
        except errors.NotRun as error:
            self._places.end(place, states.RunEnding.UNREACHABLE)
            progress.excluded = (*progress.excluded, place.server)
            progress.connect_failures += 1
            if (
                progress.connect_failures < CONNECT_FAILURES_MAX
                and order.remaining_seconds() > attempts.RETRY_SECONDS_MIN
            ):
                return None
            if progress.may_have_run:
                raise endings.make_outcome_unknown(
                    order, progress, str(error)
                ) from error
            raise

    def _check_before_send(
        self,
        order: orders.Order,
        place: places.Slot,
        progress: requestprogress.Progress,
        channel: channels.Channel,
    ) -> None:
        """Check once more, right before sending, that the request may be sent.

        A request sent after its caller has disconnected or after its deadline takes
        capacity from waiting requests without any use. One that was quarantined while
        it waited would crash another server.

        Raises
        ------
        errors.NotRun, errors.OutcomeUnknown, backend.AnswerLost
            If the deadline has passed or the request is quarantined.
        ConnectionAbortedError
            If the caller has disconnected.
        """
        try:
            if order.remaining_seconds() <= 0:
                raise errors.NotRun(
                    "the request's deadline has passed",
                    code="no-place-in-time",
                    status=503,
                    retry_after=attempts.REJECTED_RETRY_AFTER_SECONDS,
                    step="send",
                    peer=place.server,
                )
            if order.cancellation.check_connection():
                raise ConnectionAbortedError("the caller closed the connection")
            self._quarantine.check(order, progress)
        except errors.NotRun as refusal:
            self._release_unused(place, channel)
            raise endings.make_refusal(order, progress, refusal) from refusal
        except ConnectionAbortedError:
            self._release_unused(place, channel)
            raise
        self._quarantine.record_sent(order, progress)

    def _is_grant_expired(self, place: places.Slot) -> bool:
        """Whether a cold server was granted too long ago to count as sent then."""
        now = time.monotonic()
        entry = self._servers.usable().get(place.server)
        return entry is None or (
            entry.is_cold(now) and now - place.granted_at > coldstart.GRANT_TTL_SECONDS
        )

    def _is_resting(self, place: places.Slot, channel: channels.Channel) -> bool:
        """Whether the server has asked for a rest; reminds the home if it has.

        The home would otherwise grant the same server again, if it has not received
        the first message or has just become the home.
        """
        rest = self._announcements.find_rest(channel.entry)
        if rest is None:
            return False
        self._places.report_rest(place.pool, place.home, rest)
        return True

    def _leave_other_version(
        self,
        order: orders.Order,
        place: places.Slot,
        progress: requestprogress.Progress,
        channel: channels.Channel,
    ) -> None:
        """Give back a place at a server that can't continue the stream.

        The home does not know yet that another incarnation has taken the server's id.

        Raises
        ------
        errors.NotRun, backend.AnswerLost, errors.OutcomeUnknown
            If this has happened too often.
        """
        self._release_unused(place, channel)
        progress.excluded = (*progress.excluded, place.server)
        progress.connect_failures += 1
        if progress.connect_failures >= CONNECT_FAILURES_MAX:
            refusal = refusals.make_take_up_error(streamversions.Verdict.VERSION_GONE)
            raise endings.make_refusal(order, progress, refusal)

    def _release_unused(self, place: places.Slot, channel: channels.Channel) -> None:
        """Close a connection that was not used and release the place."""
        channel.close()
        self._places.end(place, states.RunEnding.UNUSED)

    def _relay_reply(
        self,
        order: orders.Order,
        place: places.Slot,
        progress: requestprogress.Progress,
        reply: replies.Reply,
        sink: orders.Sink,
    ) -> states.RunEnding:
        """Relay an answer; returns FAILED if the request is to be retried."""
        if order.route.kind is catalog.RouteKind.STREAM and reply.is_success:
            self._sender.relay_stream(order, place, progress, reply, sink)
            return states.RunEnding.ANSWERED
        if progress.is_answering:
            raise reply.make_answer_lost(f"status {reply.status} on resuming a stream")
        buffer = self._sender.open_buffer()
        try:
            return self._relay_body(order, progress, reply, buffer, sink)
        finally:
            buffer.release()

    def _relay_body(
        self,
        order: orders.Order,
        progress: requestprogress.Progress,
        reply: replies.Reply,
        buffer: replybuffers.ReplyBuffer,
        sink: orders.Sink,
    ) -> states.RunEnding:
        """Relay an answer that is no stream; FAILED if the request is to be retried."""
        rest = reply.read_into(buffer)
        body = bytes(buffer.data)
        if rest is not None:
            return self._relay_long_reply(order, progress, reply, body, rest, sink)
        if reply.status >= 500 and self._attempts.reserve_retry(order, progress):
            progress.server_failure = (reply, body)
            return states.RunEnding.FAILED
        self._attempts.check_promise(order, reply)
        self._sender.check_end(progress, reply)
        sender.write_reply(sink, reply, body)
        progress.first_event_at = time.monotonic()
        return states.RunEnding.ANSWERED

    def _relay_long_reply(
        self,
        order: orders.Order,
        progress: requestprogress.Progress,
        reply: replies.Reply,
        start: bytes,
        rest: Iterator[bytes],
        sink: orders.Sink,
    ) -> states.RunEnding:
        """Relay an answer that exceeds its buffer; FAILED if it is to be retried.

        One that states no length may have no end. Another server is asked first, and
        what the last one sends is forwarded up to the limit of a body.
        """
        if reply.status >= 500:
            raise reply.make_answer_lost(
                "the body of a failure exceeds its buffer (response_buffer_bytes_max)"
            )
        if reply.length is None and self._attempts.reserve_retry(order, progress):
            events.log(
                events.Event.LONG_ANSWER_DROPPED,
                request=order.request,
                server=reply.entry.server,
                size=len(start),
            )
            return states.RunEnding.FAILED
        self._attempts.check_promise(order, reply)
        progress.is_answering = True
        progress.first_event_at = time.monotonic()
        sender.write_long_reply(sink, reply, start, rest)
        self._sender.check_end(progress, reply)
        sink.finish()
        return states.RunEnding.ANSWERED

    def _record_answered(
        self, order: orders.Order, progress: requestprogress.Progress
    ) -> None:
        """Let an answer acquit the request and the features that it shares.

        An answer that ended with its connection acquits nothing unless its server has
        shown that it is running.
        """
        if not progress.is_end_confirmed:
            return
        self._quarantine.record_answered(order, progress)

    def _report_lost_answer(
        self,
        order: orders.Order,
        channel: channels.Channel,
        progress: requestprogress.Progress,
        lost: backend.AnswerLost,
    ) -> None:
        """Report a lost answer to the crash detector and wait for the result.

        Without the wait, a retry would be sent before the crash counts against it.
        """
        self._crashwatch.record_loss(order, channel.entry, progress, lost)
        self._crashwatch.wait_for_probe(channel.entry)

    def _write_server_failure(
        self, order: orders.Order, progress: requestprogress.Progress, sink: orders.Sink
    ) -> None:
        """Answer with the server error that was kept while retries were possible."""
        assert progress.server_failure is not None
        reply, body = progress.server_failure
        sender.write_reply(sink, reply, body)
        endings.record_answered(self._metrics, order, progress, ids.ServerId(""))


def _find_ending(declined: backend.Declined) -> states.RunEnding:
    """Return what a rejection says of its server."""
    if declined.conditional:
        return states.RunEnding.UNUSED
    return states.RunEnding.GONE if declined.leaving else states.RunEnding.REJECTED
