"""The kernel service ``carrier``: from an accepted request to its answer.

Each request runs on the thread of its caller's connection: it waits for a place, opens
a channel, sends, and passes the answer on. What may be said of it follows from what
was sent: it has not run as long as no byte has left, or if each server that got it said
so; else nobody knows.
"""

from __future__ import annotations

import functools
import time
from typing import TYPE_CHECKING

from celeryspan import catalog, errors, ids, kernel, metrics, states
from celeryspan.adapters import backend
from celeryspan.decisions import quarantine
from celeryspan.gateway import (
    attempts,
    channels,
    endings,
    migrations,
    orders,
    places,
    replies,
    requestprogress,
    sender,
)
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.gateway import (
        budgets,
        catalogues,
        crashwatch,
        quarantines,
        serverlists,
    )

CONNECTS_MAX = 4
"""Servers that one request tries to connect to."""


@kernel.register(
    "carrier",
    needs=(
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
    ),
)
class Carrier:
    """Carries orders to backend servers and their answers back."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._catalogues: catalogues.CataloguesService = box.find("catalogues")
        self._channels: channels.Channels = box.find("channels")
        self._crashwatch: crashwatch.CrashWatch = box.find("crashwatch")
        self._places: places.SlotClient = box.find("places")
        self._quarantine: quarantines.QuarantineService = box.find("quarantine")
        self._budgets: budgets.Budgets = box.find("budgets")
        self._migrations: migrations.Migrations = box.find("migrations")
        self._attempts: attempts.Attempts = box.find("attempts")
        self._sender: sender.Sender = box.find("sender")
        self._servers: serverlists.ServersService = box.find("servers")
        self._meters: metrics.Metrics = box.find("metrics")
        self._data_centre = ids.DataCentreId(box.settings.data_centre)

    def start(self) -> None:
        """Begin to drop connections to servers that have left."""
        self._servers.subscribe(self._channels.drop)

    def stop(self) -> None:
        """Do nothing: orders end with their callers' threads."""

    def carry(self, order: orders.Order, sink: orders.Sink) -> None:
        """Carry an order and write its answer.

        Raises
        ------
        errors.NotRun
            If it has not run and never will.
        errors.OutcomeUnknown
            If no answer has been begun and nobody knows whether it ran.
        OSError
            If the caller is gone.
        """
        self._budgets.note_request(order.service)
        progress = requestprogress.Progress()
        refuse = functools.partial(self._places.refuse, order.request)
        self._quarantine.watch(order, progress, refuse)
        try:
            self._carry(order, progress, sink)
        finally:
            self._quarantine.unwatch(order)

    def _carry(
        self, order: orders.Order, progress: requestprogress.Progress, sink: orders.Sink
    ) -> None:
        while True:
            place = self._find_place(order, progress)
            if place is None:
                return self._give_failure(order, progress, sink)
            if self._try_once(order, place, progress, sink):
                endings.settle(self._meters, order, progress, place.server)
                return None

    def _find_place(
        self, order: orders.Order, progress: requestprogress.Progress
    ) -> places.Slot | None:
        """Return a place, or None if a server's own failure is the best answer."""
        order.presence.watch(lambda: self._places.cancel(order.request))
        try:
            self._quarantine.check(order, progress)
            return self._places.acquire(order.service, self._make_ask(order, progress))
        except errors.NotRun as refusal:
            if progress.failure is not None:
                return None
            raise endings.make_refusal(order, progress, refusal) from refusal

    def _make_ask(
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
            isolation=self._find_isolation(order, progress),
        )

    def _find_isolation(
        self, order: orders.Order, progress: requestprogress.Progress
    ) -> int:
        """Return the fingerprint of a request that must run apart, or 0."""
        standing = self._quarantine.find_standing(order, progress)
        if standing is quarantine.Standing.ISOLATED:
            return progress.fingerprint.whole
        return 0

    def _try_once(
        self,
        order: orders.Order,
        place: places.Slot,
        progress: requestprogress.Progress,
        sink: orders.Sink,
    ) -> bool:
        """Send an order to one server; returns whether it has been answered."""
        channel = self._connect(order, place, progress)
        if channel is None:
            return False
        self._check_wanted(order, place, progress, channel)
        ending = states.RunEnding.FAILED
        order.presence.watch(channel.make_abort())
        until = order.deadline
        if self._attempts.may_switch(order, progress):
            until = min(until, time.monotonic() + self._attempts.find_silence(order))
        try:
            reply = self._sender.send(
                order, place.server, progress, channel, until, source=place.source
            )
            ending = self._pass_on(order, place, progress, reply, sink)
            self._quarantine.record_answered(order, progress)
        except backend.Declined as declined:
            gone = states.RunEnding.GONE
            ending = gone if declined.leaving else states.RunEnding.REJECTED
            self._attempts.follow_rejection(order, progress, declined)
        except backend.AnswerLost as lost:
            ending = states.RunEnding.CANCELLED
            if not order.presence.gone:
                if self._sender.resume(order, place, progress, sink):
                    ending = states.RunEnding.ANSWERED
                    self._quarantine.record_answered(order, progress)
                    return True
                ending = states.RunEnding.FAILED
                self._note_loss(order, channel, progress, lost)
            self._attempts.follow_loss(order, progress, lost)
        except OSError:
            ending = states.RunEnding.CANCELLED
            raise
        finally:
            self._migrations.drop(place)
            pause = progress.gap if progress.sends == 1 else 0.0
            self._places.end(place, ending, pause)
            progress.excluded = (*progress.excluded, place.server)
            if ending is states.RunEnding.ANSWERED and channel.server == place.server:
                self._channels.keep(channel)
            else:
                channel.close()
        return ending is states.RunEnding.ANSWERED

    def _connect(
        self,
        order: orders.Order,
        place: places.Slot,
        progress: requestprogress.Progress,
    ) -> channels.Channel | None:
        """Return a channel, or None if another server is to be tried."""
        entry = self._servers.usable().get(place.server)
        try:
            if entry is None:
                raise errors.NotRun(
                    "the server has left",
                    code="server-left",
                    status=503,
                    retry_after=attempts.REJECTED_RETRY_SECONDS,
                    step="connect",
                    peer=place.server,
                )
            once_only = not order.route.is_repeatable
            return self._channels.open(entry, once_only=once_only)
        except errors.NotRun as error:
            self._places.end(place, states.RunEnding.UNREACHABLE)
            progress.excluded = (*progress.excluded, place.server)
            progress.connects += 1
            if (
                progress.connects < CONNECTS_MAX
                and order.left() > attempts.SECOND_TRY_SECONDS
            ):
                return None
            if progress.may_have_run:
                raise endings.make_unknown(order, progress, str(error)) from error
            raise

    def _check_wanted(
        self,
        order: orders.Order,
        place: places.Slot,
        progress: requestprogress.Progress,
        channel: channels.Channel,
    ) -> None:
        """Give up in the last step before anything is sent if it must not be.

        What is sent after the caller has left, or after its time, runs for nobody and
        takes a place from those who wait; what has come into quarantine since it was
        placed crashes one more server.
        """
        try:
            if order.left() <= 0:
                raise errors.NotRun(
                    "the time of the request is over",
                    code="no-place-in-time",
                    status=503,
                    retry_after=attempts.REJECTED_RETRY_SECONDS,
                    step="send",
                    peer=place.server,
                )
            if order.presence.look():
                raise ConnectionAbortedError("the caller has left")
            self._quarantine.check(order, progress)
        except errors.NotRun as refusal:
            self._give_back(place, channel)
            raise endings.make_refusal(order, progress, refusal) from refusal
        except ConnectionAbortedError:
            self._give_back(place, channel)
            raise
        self._quarantine.record_sent(order, progress)

    def _give_back(self, place: places.Slot, channel: channels.Channel) -> None:
        """Close a connection on which nothing was sent, and free its place."""
        channel.close()
        self._places.end(place, states.RunEnding.UNUSED)

    def _pass_on(
        self,
        order: orders.Order,
        place: places.Slot,
        progress: requestprogress.Progress,
        reply: replies.Reply,
        sink: orders.Sink,
    ) -> states.RunEnding:
        """Write an answer; returns ANSWERED unless it is to be repeated."""
        if reply.status >= 500 and self._attempts.may_repeat(order, progress):
            progress.may_have_run = True
            progress.failure = (reply, reply.read_whole())
            return states.RunEnding.FAILED
        is_stream = order.route.kind is catalog.RouteKind.STREAM
        if is_stream and reply.is_success:
            self._sender.pass_stream(order, place, progress, reply, sink)
        elif progress.is_answering:
            raise reply.make_lost(f"status {reply.status} in the middle of a stream")
        else:
            body = reply.read_whole()
            sender.write_whole(sink, reply, body)
            progress.first_at = time.monotonic()
        return states.RunEnding.ANSWERED

    def _note_loss(
        self,
        order: orders.Order,
        channel: channels.Channel,
        progress: requestprogress.Progress,
        lost: backend.AnswerLost,
    ) -> None:
        """Let it be found out whether the server has crashed under a request.

        One that is suspected waits for that before it may be sent again.
        """
        self._crashwatch.record_loss(order, channel.entry, progress, lost)
        standing = self._quarantine.find_standing(order, progress)
        if standing is not quarantine.Standing.CLEAR:
            self._crashwatch.wait_for_probe(channel.entry)

    def _give_failure(
        self, order: orders.Order, progress: requestprogress.Progress, sink: orders.Sink
    ) -> None:
        assert progress.failure is not None
        reply, body = progress.failure
        sender.write_whole(sink, reply, body)
        endings.settle(self._meters, order, progress, ids.ServerId(""))
