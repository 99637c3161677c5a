"""The kernel service ``carrier``: from an accepted request to its answer.

Each request runs on the thread of its caller's connection: it waits for a place, opens
a channel, sends, and passes the answer on. What may be said of it follows from what
was sent: it has not run as long as no byte has left, or if each server that got it said
so; else nobody knows.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from celeryspan import catalog, errors, events, ids, kernel, metrics, states
from celeryspan.adapters import backend
from celeryspan.decisions import retrybudget
from celeryspan.gateway import channels, orders, places, replies
from celeryspan.platform import requests
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.gateway import catalogues, poolmap, serverlists

CONNECTS_MAX = 4
"""Servers that one request tries to connect to."""

SECOND_TRY_SECONDS = 0.05
"""With less time left a repeat can't be answered."""

SILENCE_OBJECTIVES = 3.0
"""A repeatable plain request that is not answered within this many of its objectives is
sent to another server: its own has stopped, or lost the answer."""

REJECTED_RETRY_SECONDS = 0.2
"""When to come back after a server was full: its queue drains within this time."""


class _Progress:
    """What has become of one request so far.

    Attributes
    ----------
    sends : int
        Servers that the request was sent to.
    may_have_run : bool
        Whether one of them may have run it.
    is_answering : bool
        Whether the caller has got the head of an answer.
    failure : Reply and body, or None
        A server's own failure, to be passed on if no repeat does better.
    """

    def __init__(self) -> None:
        self.sends = 0
        self.connects = 0
        self.may_have_run = False
        self.is_answering = False
        self.last_event = ""
        self.excluded: tuple[ids.ServerId, ...] = ()
        self.failure: tuple[replies.Reply, bytes] | None = None
        self.timed_out = False
        self.first_at: float | None = None
        self.last_at = 0.0
        self.gap = 0.0
        self.placed_at = 0.0

    def note_event(self, now: float) -> None:
        """Note that an event of a stream is passed on."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.gap = max(self.gap, now - self.last_at)
        self.last_at = now


@kernel.register(
    "carrier",
    needs=("catalogues", "channels", "metrics", "places", "poolmap", "servers"),
)
class Carrier:
    """Carries orders to backend servers and their answers back."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._catalogues: catalogues.CataloguesService = box.find("catalogues")
        self._channels: channels.Channels = box.find("channels")
        self._places: places.Places = box.find("places")
        self._map: poolmap.PoolMap = box.find("poolmap")
        self._servers: serverlists.ServersService = box.find("servers")
        self._meters: metrics.Metrics = box.find("metrics")
        self._settings = box.settings
        self._data_centre = ids.DataCentreId(box.settings.data_centre)
        self._budgets: dict[ids.ServiceId, retrybudget.RetryBudget] = {}
        self._lock = threading.Lock()

    def start(self) -> None:
        """Begin to drop connections to servers that have left."""
        self._servers.subscribe(lambda usable: self._channels.drop(set(usable)))

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
        self._note_request(order.service)
        progress = _Progress()
        while True:
            place = self._find_place(order, progress)
            if place is None:
                return self._give_failure(order, progress, sink)
            if self._try_once(order, place, progress, sink):
                self._settle(order, progress, place.server)
                return None

    def _find_place(
        self, order: orders.Order, progress: _Progress
    ) -> places.Place | None:
        """Return a place, or None if a server's own failure is the best answer."""
        order.presence.watch(lambda: self._places.cancel(order.request))
        try:
            return self._places.acquire(order.service, self._make_ask(order, progress))
        except errors.NotRun as refusal:
            if progress.failure is not None:
                return None
            if progress.is_answering:
                raise self._make_lost(order, progress, str(refusal)) from refusal
            if progress.may_have_run:
                raise self._make_unknown(order, progress, str(refusal)) from refusal
            raise

    def _make_ask(
        self, order: orders.Order, progress: _Progress
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
        )

    def _try_once(
        self,
        order: orders.Order,
        place: places.Place,
        progress: _Progress,
        sink: orders.Sink,
    ) -> bool:
        """Send an order to one server; returns whether it has been answered."""
        channel = self._connect(order, place, progress)
        if channel is None:
            return False
        ending = states.RunEnding.FAILED
        order.presence.watch(channel.abort)
        try:
            reply = self._send(order, place, progress, channel)
            ending = self._pass_on(order, place, progress, reply, sink)
        except backend.Declined as declined:
            gone = states.RunEnding.GONE
            ending = gone if declined.leaving else states.RunEnding.REJECTED
            self._follow_rejection(order, place, progress, declined)
        except backend.AnswerLost as lost:
            if order.presence.gone:
                ending = states.RunEnding.CANCELLED
            self._follow_loss(order, progress, lost)
        except OSError:
            ending = states.RunEnding.CANCELLED
            raise
        finally:
            self._places.end(place, ending)
            progress.excluded = (*progress.excluded, place.server)
            if ending is states.RunEnding.ANSWERED:
                self._channels.keep(channel)
            else:
                channel.close()
        return ending is states.RunEnding.ANSWERED

    def _connect(
        self, order: orders.Order, place: places.Place, progress: _Progress
    ) -> channels.Channel | None:
        """Return a channel, or None if another server is to be tried."""
        entry = self._servers.usable().get(place.server)
        try:
            if entry is None:
                raise errors.NotRun(
                    "the server has left",
                    code="server-left",
                    status=503,
                    retry_after=REJECTED_RETRY_SECONDS,
                    step="connect",
                    peer=place.server,
                )
            once_only = not order.route.is_repeatable
            return self._channels.open(entry, once_only=once_only)
        except errors.NotRun as error:
            self._places.end(place, states.RunEnding.UNREACHABLE)
            progress.excluded = (*progress.excluded, place.server)
            progress.connects += 1
            if progress.connects < CONNECTS_MAX and order.left() > SECOND_TRY_SECONDS:
                return None
            if progress.may_have_run:
                raise self._make_unknown(order, progress, str(error)) from error
            raise

    def _send(
        self,
        order: orders.Order,
        place: places.Place,
        progress: _Progress,
        channel: channels.Channel,
    ) -> replies.Reply:
        """Send an order and read the head of the answer.

        Raises
        ------
        backend.Declined
            If the server says that it did not run it.
        backend.AnswerLost
            If there is no answer that may be passed on.
        """
        left = order.left()
        head = _write_head(order, place.server, left, progress.last_event)
        until = order.deadline
        if self._may_switch(order, progress):
            until = min(until, time.monotonic() + self._find_silence(order))
        events.log(
            events.Event.REQUEST_SENT,
            request=order.request,
            server=place.server,
            attempt=progress.sends + 1,
            left=round(left, 3),
            reused=not channel.is_new,
        )
        progress.sends += 1
        progress.placed_at = time.monotonic()
        try:
            channel.send(head + order.body, until)
            answer = channel.receive(order.method, order.request, until)
        except channels.FAULTS as error:
            progress.timed_out = time.monotonic() >= order.deadline
            raise backend.AnswerLost(
                f"no answer: {error!r}", step="read answer", peer=place.server
            ) from error
        reply = replies.Reply(order, channel, answer)
        self._check(reply, place.server)
        return reply

    def _check(self, reply: replies.Reply, server: ids.ServerId) -> None:
        if reply.is_not_run:
            is_gone = reply.status == 421
            if is_gone:
                self._servers.drop(server)
            raise backend.Declined(
                f"status {reply.status}", leaving=is_gone, step="send", peer=server
            )
        if reply.is_success and not reply.is_signed:
            # Without the signature nobody can tell it from bytes that went astray.
            raise backend.AnswerLost(
                "a success without signature", step="read answer", peer=server
            )

    def _pass_on(
        self,
        order: orders.Order,
        place: places.Place,
        progress: _Progress,
        reply: replies.Reply,
        sink: orders.Sink,
    ) -> states.RunEnding:
        """Write an answer; returns ANSWERED unless it is to be repeated."""
        if reply.status >= 500 and self._may_repeat(order, progress):
            progress.may_have_run = True
            progress.failure = (reply, reply.read_whole())
            return states.RunEnding.FAILED
        is_stream = order.route.kind is catalog.RouteKind.STREAM
        if is_stream and reply.is_success:
            self._pass_stream(order, place, progress, reply, sink)
        elif progress.is_answering:
            raise reply.make_lost(f"status {reply.status} in the middle of a stream")
        else:
            body = reply.read_whole()
            _write_whole(sink, reply, body)
            progress.first_at = time.monotonic()
        return states.RunEnding.ANSWERED

    def _pass_stream(
        self,
        order: orders.Order,
        place: places.Place,
        progress: _Progress,
        reply: replies.Reply,
        sink: orders.Sink,
    ) -> None:
        for event in reply.read_events(progress.last_event):
            progress.note_event(time.monotonic())
            if not place.is_begun:
                self._places.begin(place)
            if not progress.is_answering:
                progress.is_answering = True
                headers = [
                    (name, value)
                    for name, value in reply.headers
                    if name.lower() != "content-length" or not order.route.is_resumable
                ]
                sink.write_head(reply.status, reply.reason, headers)
            sink.write(event.data)
            progress.last_event = event.last_id or progress.last_event
        if not progress.is_answering:
            sink.write_head(reply.status, reply.reason, reply.headers)
        sink.finish()

    def _follow_rejection(
        self,
        order: orders.Order,
        place: places.Place,
        progress: _Progress,
        declined: backend.Declined,
    ) -> None:
        """Let a request that was not run be sent again, or refuse it."""
        if self._may_repeat(order, progress):
            return
        if progress.failure is not None or progress.is_answering:
            raise self._make_lost(order, progress, declined.message)
        if progress.may_have_run:
            raise self._make_unknown(order, progress, declined.message)
        raise errors.NotRun(
            f"rejected: {declined.message}",
            code="server-full",
            status=503,
            retry_after=REJECTED_RETRY_SECONDS,
            step=declined.step,
            peer=declined.peer,
        )

    def _follow_loss(
        self, order: orders.Order, progress: _Progress, lost: backend.AnswerLost
    ) -> None:
        """Let a request whose answer is lost be sent again, or end it."""
        progress.may_have_run = True
        if order.presence.gone:
            raise ConnectionAbortedError("the caller has left")
        can_repeat = order.route.is_repeatable and self._may_repeat(order, progress)
        if can_repeat:
            event = events.Event.STREAM_RESUMED
            if progress.is_answering:
                events.log(event, request=order.request, above=progress.last_event)
            return
        if progress.is_answering:
            raise self._make_lost(order, progress, lost.message)
        raise self._make_unknown(order, progress, lost.message)

    def _may_switch(self, order: orders.Order, progress: _Progress) -> bool:
        """Whether a silent server may be left for another one."""
        return (
            order.route.kind is catalog.RouteKind.IDEMPOTENT
            and progress.sends + 1 < order.route.attempts_max
        )

    def _find_silence(self, order: orders.Order) -> float:
        return SILENCE_OBJECTIVES * order.route.target_latency

    def _may_repeat(self, order: orders.Order, progress: _Progress) -> bool:
        """Whether one more server may get the request; takes it from the budget."""
        if progress.may_have_run and not order.route.is_repeatable:
            return False
        if progress.is_answering and not progress.last_event:
            return False
        if progress.sends >= order.route.attempts_max:
            return False
        if order.left() < SECOND_TRY_SECONDS or order.presence.gone:
            return False
        with self._lock:
            budget = self._find_budget(order.service)
            return budget.take(time.monotonic(), self._map.count_routers())

    def _note_request(self, service: ids.ServiceId) -> None:
        with self._lock:
            self._find_budget(service).note_request(time.monotonic())

    def _find_budget(self, service: ids.ServiceId) -> retrybudget.RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = retrybudget.RetryBudget(
                self._settings.retry_ratio,
                self._settings.retry_slack,
                self._settings.retry_window,
            )
        return self._budgets[service]

    def _give_failure(
        self, order: orders.Order, progress: _Progress, sink: orders.Sink
    ) -> None:
        assert progress.failure is not None
        reply, body = progress.failure
        _write_whole(sink, reply, body)
        self._settle(order, progress, ids.ServerId(""))

    def _settle(
        self, order: orders.Order, progress: _Progress, server: ids.ServerId
    ) -> None:
        now = time.monotonic()
        account = order.account or ids.AccountId("")
        took = now - order.received_at
        first = None
        if progress.first_at is not None:
            first = round(progress.first_at - order.received_at, 3)
            self._meters.observe_first_token(order.service, account, first)
        cost = float(order.incoming.prompt_tokens or 1)
        self._meters.observe_request(
            order.service, account, states.Outcome.RAN, took, cost
        )
        events.log(
            events.Event.REQUEST_SETTLED,
            request=order.request,
            server=server,
            account=account,
            attempts=progress.sends,
            waited=round(progress.placed_at - order.received_at, 3),
            first=first,
            objective=order.route.target_latency,
            gap=round(progress.gap, 3),
            gap_max=order.route.gap_max,
            seconds=round(took, 3),
            prompt=order.incoming.prompt_tokens,
            outcome=states.Outcome.RAN.value,
        )

    def _make_unknown(
        self, order: orders.Order, progress: _Progress, reason: str
    ) -> errors.OutcomeUnknown:
        timed_out = progress.timed_out or order.left() <= 0
        return errors.OutcomeUnknown(
            f"sent {progress.sends} times, no whole answer: {reason}",
            code="answer-lost",
            status=504 if timed_out else 502,
            step="read answer",
        )

    def _make_lost(
        self, order: orders.Order, progress: _Progress, reason: str
    ) -> backend.AnswerLost:
        return backend.AnswerLost(
            f"broke off above event {progress.last_event!r}: {reason}",
            step="pass on",
        )


def _write_head(
    order: orders.Order, server: ids.ServerId, left: float, last_event: str
) -> bytes:
    headers = requests.write_headers(
        order.incoming,
        server=server,
        account=order.account,
        left=left,
        last_event=last_event,
    )
    if order.body or order.method not in ("GET", "HEAD", "DELETE"):
        headers.append(("Content-Length", str(len(order.body))))
    lines = [order.method.encode() + b" " + order.target + b" HTTP/1.1"]
    lines += [f"{name}: {value}".encode("latin-1") for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _write_whole(sink: orders.Sink, reply: replies.Reply, body: bytes) -> None:
    headers = [
        (name, value)
        for name, value in reply.headers
        if name.lower() != "content-length"
    ]
    headers.append(("Content-Length", str(len(body))))
    sink.write_head(reply.status, reply.reason, headers)
    sink.write(body)
    sink.finish()
