"""The kernel service ``front``: the HTTP server for callers.

Routes come from the operator's configuration and change while requests are in progress,
which a web framework's static routing does not support. Therefore only cherrypy's HTTP
server is used, to read the requests.
"""

from __future__ import annotations

import functools
import random
import threading
import time
from typing import TYPE_CHECKING

from cheroot import server as cheroot_server

from celeryspan import catalog, errors, events, ids, kernel, metrics, states
from celeryspan.adapters import backend
from celeryspan.decisions import arrivalqueue
from celeryspan.gateway import (
    acceptance,
    callersinks,
    frontload,
    orders,
    quickrefusals,
    refusals,
    relayedrequest,
    slowcallers,
)
from celeryspan.platform import names
from celeryspan.services import (
    arrivals,
    callerconnections,
    framing,
    httpserver,
    requestconnection,
    sockets,
)

if TYPE_CHECKING:
    from celeryspan.gateway import carrier, catalogues, handover

NOT_READY_RETRY_AFTER_SECONDS = 0.5
"""Mean Retry-After of a router that has no configuration yet, or is stopping."""

OVERLOAD_RETRY_AFTER_SECONDS = 0.5
"""Mean Retry-After of a router that has no free thread."""

HEADERS = quickrefusals.HeaderNames(
    request=names.REQUEST_ID.lower().encode(),
    handover=names.HANDED_OVER.lower().encode(),
    deadline=names.DEADLINE_MS.lower().encode(),
)

IDLE_TIMEOUT_FACTOR = 1.2
IDLE_TIMEOUT_MARGIN_SECONDS = 3.0
"""Callers may use a connection until the idle timeout. The router closes it later by
this factor and margin, so that it never closes a connection on which a request is being
sent, even if a clock is stepped."""


HEAD_MARGIN_SECONDS = 1.0
"""Time that a head may take beyond the operator's limit: a lost segment is sent again
after up to a second."""


class _Gateway(cheroot_server.Gateway):
    """Passes requests to :class:`Front` instead of a WSGI application."""

    def respond(self) -> None:
        self.req.sent_headers = True
        self.req.server.front.serve(self.req)


class _Request(framing.Request):
    """A request; framing errors are answered like all other refusals."""

    def simple_response(self, status: str, msg: str = "") -> None:
        self.close_connection = True
        self.conn.has_unread_input = True
        self.sent_headers = True
        code = int(str(status)[:3])
        error = refusals.Refused(str(msg or status), code="malformed", status=code)
        sink = callersinks.CallerSink(self, close_after=True)
        refusals.write_refusal(sink, "", error)


class _Connection(requestconnection.Connection):
    RequestHandlerClass = _Request

    def mark_answered(self) -> None:
        super().mark_answered()
        self.server.front.mark_answered(self)


class _Server(httpserver.Server):
    ConnectionClass = _Connection
    front: Front

    def divert(self, arrival: arrivals.Arrival) -> bool:
        """Hand over or refuse a request above the limits; returns whether it was."""
        return self.is_accepting_thread() and self.front.divert(arrival)

    def format_late_answer(self, connection: _Connection) -> bytes:
        """Return the answer to a request that did not arrive in time."""
        return self.front.format_late_answer()

    def has_left(self, arrival: arrivals.Arrival) -> bool:
        """Return whether a caller has closed its side of the connection.

        Its request would be cancelled as soon as a thread had read it.
        """
        return sockets.has_closed(arrival.socket)

    def drop(self, arrival: arrivals.Arrival) -> None:
        """Close the connection of a caller that has left; count an unread request."""
        if not sockets.has_ended(arrival.socket):
            self.front.count_abandoned()
        super().drop(arrival)


@kernel.register(
    "front",
    needs=(
        "carrier",
        "catalogues",
        "handover",
        "membership",
        "metrics",
        "slowcallers",
    ),
)
class Front:
    """Reads and validates requests, forwards them and writes refusals.

    Attributes
    ----------
    draining : bool
        Whether each connection is closed after its next answer.
    refusing : bool
        Whether new requests are refused because the router is about to stop.
    """

    def __init__(self, container: kernel.Kernel) -> None:
        self._settings = container.settings
        self._carrier: carrier.Carrier = container.find("carrier")
        self._catalogues: catalogues.CataloguesService = container.find("catalogues")
        self._handover: handover.Handover = container.find("handover")
        self._metrics: metrics.Metrics = container.find("metrics")
        self._slow_callers: slowcallers.SlowCallers = container.find("slowcallers")
        self._random = random.Random(f"{container.settings.router} {time.time_ns()}")
        self._lock = threading.Lock()
        self._in_progress: dict[int, orders.Order | None] = {}
        self._unanswered: set[int] = set()
        self.draining = False
        self.refusing = False
        self._server = _Server(
            ids.Address.parse(self._settings.caller_address),
            lambda *_: (),
            threads=self._settings.caller_threads,
            body_bytes_max=self._settings.body_bytes_max,
            log=lambda text: events.log(
                events.Event.TASK_FAILED, task="front", error=text
            ),
            connections_max=callerconnections.compute_budget(
                self._settings.descriptors_max
            ).callers,
            memory_max=self._settings.request_bodies_bytes,
            request_seconds=self._settings.request_seconds,
            request_head_seconds=self._settings.request_head_seconds,
        )
        self._server.gateway = _Gateway
        self._server.front = self
        self._load = frontload.FrontLoad(
            self, self._server, container, self._handover.count
        )

    def start(self) -> None:
        """Start to listen; raises OSError if the address is in use."""
        self._server.open()
        self._catalogues.subscribe(self._apply_limits)
        self._load.start()

    def stop(self) -> None:
        """Shut the server down."""
        self._load.stop()
        self._server.shut_down()

    def report(self) -> dict[str, object]:
        """Return the server's state for the operator."""
        idle, _ = self._server.count_connections()
        return {
            "connections_idle": idle,
            "in_progress": self.count_in_progress(),
            "arriving": self._server.collector.count_requests(),
            "body_bytes": self._server.memory.count_bytes(),
            **self._load.report(),
            "draining": self.draining,
        }

    def count_in_progress(self) -> int:
        """Return the number of requests that have arrived, here or at peers."""
        arrived = (
            self._server.count_arrivals() + self._server.collector.count_requests()
        )
        return arrived + len(self._in_progress) + self._handover.count()

    def count_local(self) -> int:
        """Return the number of requests that this router serves and has not answered.

        The threads of answered requests may still run, for example to log the outcome,
        when the callers send their next requests.
        """
        return len(self._unanswered)

    def mark_answered(self, connection: _Connection) -> None:
        """Stop counting the request of a connection toward the limits."""
        self._unanswered.discard(id(connection))

    def format_late_answer(self) -> bytes:
        """Return the answer to a request that did not arrive in time; counts it."""
        error = errors.NotRun(
            "the request came too slowly",
            code="too-slow",
            status=408,
            step="read request",
        )
        self._metrics.count_refusal(error.code)
        return refusals.serialize_refusal("", error)

    def count_abandoned(self) -> None:
        """Count a caller that has left before its request was read."""
        self._metrics.count_refusal("abandoned")

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        self._server.stop_listening()

    def abort_requests(self) -> list[str]:
        """Abort the requests in progress and return their ids."""
        with self._lock:
            found = [order for order in self._in_progress.values() if order]
        for order in found:
            order.cancellation.abort()
        return [order.request for order in found]

    def serve(self, request: framing.Request) -> None:
        """Serve a request that has arrived."""
        key = id(request)
        self._in_progress[key] = None
        self._unanswered.add(id(request.conn))
        is_full = not self._server.can_add_keepalive_connection
        is_handed_over = relayedrequest.is_handed_over(request.inheaders)
        close_after = self.draining or is_full or is_handed_over
        sink = callersinks.CallerSink(request, close_after=close_after)
        request_id = request.inheaders.get(names.REQUEST_ID.title().encode(), b"")
        order = None
        try:
            body = acceptance.read_body(request)
            current = self._check_ready(request)
            if is_handed_over and not relayedrequest.has_position(
                request.inheaders, current.position
            ):
                raise self._make_not_ready_error("other-configuration")
            order = acceptance.make_order(
                request, body, current, self._settings.prompt_parts_max
            )
            with self._lock:
                self._in_progress[key] = order
            self._server.close_watcher.add(
                request.conn.socket, order.cancellation.note_caller_left
            )
            slowcallers.attach(self._slow_callers, sink, order)
            self._forward(order, sink)
            sink.drain()
        except errors.RequestError as error:
            self._refuse(sink, request_id.decode("latin-1"), error, order)
        except OSError:
            events.log(events.Event.CALLER_LEFT, request=request_id.decode("latin-1"))
            request.close_connection = True
        except Exception as error:
            # The request may have run: an unexpected error can occur at any stage.
            events.log(
                events.Event.TASK_FAILED, request=request_id.decode(), error=repr(error)
            )
            internal = errors.OutcomeUnknown(
                f"internal error: {type(error).__name__}", code="internal", status=500
            )
            self._refuse(sink, request_id.decode("latin-1"), internal, order)
        finally:
            sink.close()
            with self._lock:
                del self._in_progress[key]
            self._unanswered.discard(id(request.conn))

    def _forward(self, order: orders.Order, sink: callersinks.CallerSink) -> None:
        try:
            self._carrier.forward(order, sink)
        except backend.AnswerLost as lost:
            events.log(
                events.Event.REQUEST_SETTLED,
                request=order.request,
                outcome=states.Outcome.UNKNOWN.value,
                error=str(lost),
            )
            if sink.is_begun:
                sink.abort()
                return
            raise errors.OutcomeUnknown(
                lost.message, code="answer-lost", status=502, step=lost.step
            ) from lost

    def divert(self, arrival: arrivals.Arrival) -> bool:
        """Hand over or refuse a request above the limits; returns whether it was done.

        Also returns False if the received data is not exactly one complete request; it
        then takes the normal path.
        """
        local = self.count_local()
        if self._load.local_limit.admits(local):
            return False
        try:
            found = quickrefusals.peek_whole_request(arrival.socket, HEADERS)
            if found is None:
                return False
            peer = None
            if not (found.is_handed_over or self.refusing):
                peer = self._handover.choose_peer()
            if peer is None:
                may_serve = found.is_handed_over or not self._handover.is_full()
                if may_serve and self._load.limit.admits(local):
                    return False
            elif arrival.measure_wait() > arrivalqueue.LATE_SECONDS:
                peer = None
            quickrefusals.discard(arrival.socket, found)
        except OSError:
            return False
        answer = functools.partial(self._answer_unread, found)
        if peer is None:
            answer(arrival, self._make_router_full_error())
            arrival.close()
        else:
            self._handover.hand_over(arrival, found, peer, answer)
        return True

    def _answer_unread(
        self,
        found: quickrefusals.BufferedRequest,
        arrival: arrivals.Arrival,
        error: errors.RequestError,
    ) -> None:
        """Answer a request that no thread has read with an error."""
        request_id = found.request.decode("latin-1")
        self._record_refusal(request_id, error)
        try:
            quickrefusals.send_answer(
                arrival.socket, refusals.serialize_refusal(request_id, error)
            )
        except OSError:
            pass  # The caller has disconnected or does not read; nothing has run.

    def _make_router_full_error(self) -> errors.NotRun:
        return errors.NotRun(
            "the router has reached its limit of concurrent requests",
            code="router-full",
            status=503,
            retry_after=OVERLOAD_RETRY_AFTER_SECONDS * (0.5 + self._random.random()),
            step="accept",
        )

    def _check_ready(self, request: cheroot_server.HTTPRequest) -> catalog.Catalogue:
        current = self._catalogues.current()
        if current is None or self.refusing:
            raise self._make_not_ready_error(
                "starting" if current is None else "stopping"
            )
        others = self.count_local() - 1
        if request.conn.overloaded or not self._load.limit.admits(others):
            raise self._make_router_full_error()
        return current

    def _make_not_ready_error(self, code: str) -> errors.NotRun:
        return errors.NotRun(
            "the router is starting, stopping or changing its configuration; "
            "use another router",
            code=code,
            status=503,
            retry_after=NOT_READY_RETRY_AFTER_SECONDS * (0.5 + self._random.random()),
            step="accept",
        )

    def _record_refusal(
        self,
        request_id: str,
        error: errors.RequestError,
        order: orders.Order | None = None,
    ) -> None:
        """Count and log a refusal; the order is None if the request was not parsed."""
        self._metrics.count_refusal(error.code)
        details: dict[str, object] = {}
        if order is not None:
            took = time.monotonic() - order.received_at
            if error.outcome is states.Outcome.NOT_RUN:
                self._metrics.observe_refusal_wait(error.code, took)
            details = {"account": order.account or "", "waited": round(took, 3)}
        events.log(
            events.Event.REQUEST_REFUSED,
            request=request_id,
            status=error.status,
            code=error.code,
            outcome=error.outcome.value,
            retry_after=error.retry_after,
            error=str(error),
            **details,
        )

    def _refuse(
        self,
        sink: callersinks.CallerSink,
        request_id: str,
        error: errors.RequestError,
        order: orders.Order | None = None,
    ) -> None:
        self._record_refusal(request_id, error, order)
        if sink.is_begun:
            sink.abort()
            return
        try:
            refusals.write_refusal(sink, request_id, error)
            sink.drain()
        except OSError:
            sink.abort()  # The caller has disconnected.

    def _apply_limits(self, current: catalog.Catalogue) -> None:
        limits = current.limits
        self._server.max_request_header_size = limits.header_bytes
        self._server.max_request_body_size = limits.body_bytes
        head = limits.header_seconds + HEAD_MARGIN_SECONDS
        self._server.request_head_seconds = head
        self._server.request_seconds = max(self._settings.request_seconds, head)
        idle = limits.idle_seconds * IDLE_TIMEOUT_FACTOR + IDLE_TIMEOUT_MARGIN_SECONDS
        # The timeout is never lowered: callers may still use an earlier configuration.
        self._server.timeout = max(self._server.timeout, idle)
