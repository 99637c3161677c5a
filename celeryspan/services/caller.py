"""The kernel service ``caller``: the HTTP API for callers."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import cherrypy

from celeryspan import calls, errors, events, ids, kernel, metrics, states
from celeryspan.decisions import threadquota, tickets
from celeryspan.services import (
    addresses,
    answers,
    chat,
    claims,
    exchange,
    httpserver,
    operators,
    paths,
    plaincalls,
    requests,
)

if TYPE_CHECKING:
    from celeryspan import settings

Handler = Callable[[exchange.Exchange], object]

# Maximum random delay added to Retry-After, so that refused callers do not all retry
# in the same second.
RETRY_JITTER_SECONDS = 3.0

APPLICATION_CONFIG = {
    "/": {
        "error_page.default": answers.render_error_page,
        "request.process_request_body": False,
        "request.show_tracebacks": False,
        # Answer bodies are passed through without re-encoding.
        "tools.encode.on": False,
        "tools.trailing_slash.on": False,
    }
}


@kernel.register("caller", needs=("claims", "configuration", "membership", "requests"))
class Caller:
    """Serves callers on a dedicated HTTP server.

    Attributes
    ----------
    in_progress : set of Exchange
        Requests whose answers are not yet fully written.
    draining : bool
        Whether this router omits its own address from ``/v1/addresses``.
    refusing : bool
        Whether new calls are refused because the router is about to stop.
    """

    def __init__(self, container: kernel.Kernel) -> None:
        self.settings: settings.Settings = container.settings
        self.claims: claims.Claims = container.find("claims")
        self.requests: requests.Requests = container.find("requests")
        self.configuration = container.find("configuration")
        self.membership = container.find("membership")
        self.draining = False
        self.refusing = False
        self._container = container
        self.in_progress: set[exchange.Exchange] = set()
        self._random = random.Random(f"{self.settings.router} {time.time_ns()}")
        self._lock = threading.Lock()
        self._thread_quota = threadquota.ThreadQuota(self.settings.caller_threads)
        self._server = self._make_server()

    def start(self) -> None:
        """Start the HTTP server; raises OSError if the address is in use."""
        self._server.open()

    def stop(self) -> None:
        """Shut the HTTP server down."""
        self._server.shut_down()

    @property
    def address(self) -> ids.Address:
        """Address on which the HTTP server listens."""
        return self._server.address

    def report(self) -> dict[str, object]:
        """Return the state shown in the status report."""
        return {
            "address": str(self.address),
            "draining": self.draining,
            "in_progress": len(self.in_progress),
            "arriving": self.count_arriving(),
        }

    def count_arriving(self) -> int:
        """Return the number of requests that have arrived in part."""
        return self._server.collector.count_requests()

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones are still served."""
        self._server.stop_listening()

    def cancel_in_progress(self) -> list[str]:
        """Cancel all requests in progress and return their ids."""
        with self._lock:
            cancelled = list(self.in_progress)
        for item in cancelled:
            item.cancellation.abort()
        return [item.request for item in cancelled]

    def serve(self, handler: Handler) -> object:
        """Run a handler for the current request and return the answer's body."""
        http_exchange = exchange.Exchange(self.configuration.current())
        self._track(http_exchange)
        try:
            if http_exchange.overloaded:
                raise make_overload_error("router-full", self._random.random())
            if self.draining:
                http_exchange.close_after_response()
            http_exchange.accept_forwarded(self.settings.fleet_keys)
            body = handler(http_exchange)
            if isinstance(body, answers.Stream):
                http_exchange.add_cleanup(body.close)
            return body
        except errors.RequestError as error:
            return answers.write_error(http_exchange.request, error)
        except Exception as error:
            events.log(
                events.Event.TASK_FAILED,
                request=http_exchange.request,
                error=repr(error),
            )
            return answers.write_error(
                http_exchange.request, make_internal_error(error)
            )

    def get_addresses(self, http_exchange: exchange.Exchange) -> object:
        """Return router addresses and tickets for the caller."""
        count = read_ticket_count()
        if self.configuration.current() is None:
            raise make_starting_error()
        local = self.settings.data_centre
        listed = addresses.select_addresses(
            self.membership.alive(), local, self._random
        )
        if self.draining:
            listed = [item for item in listed if item != str(self.address)]
        answers.set_outcome(http_exchange.request, states.Outcome.RAN)
        return answers.write_json(
            {
                "addresses": listed,
                "keep_seconds": self.settings.address_seconds,
                "tickets": self.claims.issue_tickets(count),
            }
        )

    def complete_chat(self, http_exchange: exchange.Exchange) -> object:
        """Run a chat request on a model engine."""
        call = chat.read_call(http_exchange)
        self._admit(http_exchange, call)
        http_exchange.watch_caller()
        return self.claims.run_once(
            http_exchange,
            call,
            lambda: chat.write_answer(call, self.requests.call_model(call)),
        )

    def call_service(self, http_exchange: exchange.Exchange) -> object:
        """Run a call to a plain service."""
        call = plaincalls.read_call(http_exchange)
        self._admit(http_exchange, call)
        http_exchange.watch_caller()
        return self.claims.run_once(
            http_exchange,
            call,
            lambda: plaincalls.write_answer(call, self.requests.call_plain(call)),
        )

    def show_status(self, http_exchange: exchange.Exchange) -> object:
        """Return the report of each kernel service of this router."""
        operators.check_operator_key(http_exchange, self.settings)
        answers.set_outcome(http_exchange.request, states.Outcome.RAN)
        return answers.write_json(
            {
                "router": self.settings.router,
                "data_centre": self.settings.data_centre,
                "services": self._container.collect_reports(),
            }
        )

    def begin_drain(self, http_exchange: exchange.Exchange) -> object:
        """Start a graceful stop in the background."""
        operators.check_operator_key(http_exchange, self.settings)
        threading.Thread(
            target=self._container.find("drain").begin, name="drain"
        ).start()
        answers.set_outcome(http_exchange.request, states.Outcome.RAN)
        cherrypy.response.status = 202
        return answers.write_json({"draining": True})

    def show_metrics(self, http_exchange: exchange.Exchange) -> object:
        """Return the metrics in the Prometheus text format."""
        answers.set_outcome(http_exchange.request, states.Outcome.RAN)
        cherrypy.response.headers["Content-Type"] = metrics.CONTENT_TYPE
        return self._container.find("metrics").render()

    def _track(self, http_exchange: exchange.Exchange) -> None:
        with self._lock:
            self.in_progress.add(http_exchange)
        http_exchange.add_cleanup(lambda: self._untrack(http_exchange))

    def _admit(self, http_exchange: exchange.Exchange, call: calls.Call) -> None:
        """Let a call run; raises NotRun if it comes too late or gets no thread."""
        if self.refusing:
            raise make_stopping_error(self._random.random())
        with self._lock:
            taken = self._thread_quota.acquire(call.account)
        if not taken:
            raise make_overload_error("account-full", self._random.random())
        http_exchange.add_cleanup(lambda: self._release_thread(call.account))

    def _release_thread(self, account: ids.AccountId) -> None:
        with self._lock:
            self._thread_quota.release(account)

    def _untrack(self, http_exchange: exchange.Exchange) -> None:
        with self._lock:
            self.in_progress.discard(http_exchange)

    def _make_server(self) -> httpserver.Server:
        application = cherrypy.Application(paths.Root(self), "", APPLICATION_CONFIG)
        # Requests are logged as events instead.
        application.log.access_log.disabled = True
        return httpserver.Server(
            ids.Address.parse(self.settings.caller_address),
            application,
            threads=self.settings.caller_threads,
            body_bytes_max=self.settings.body_bytes_max,
            log=lambda text: events.log(
                events.Event.TASK_FAILED, task="caller", error=text
            ),
            memory_max=self.settings.request_bodies_bytes,
            request_seconds=self.settings.request_seconds,
            request_head_seconds=self.settings.request_head_seconds,
        )


def read_ticket_count() -> int:
    """Return the number of tickets requested by ``?tickets=N``."""
    text = cherrypy.request.params.get("tickets", str(tickets.BATCH_SIZE_DEFAULT))
    if not isinstance(text, str) or not text.isdecimal() or len(text) > 3:
        raise exchange.make_refusal(
            "tickets must be a number of at most 3 digits", code="malformed", status=400
        )
    return min(int(text), tickets.BATCH_SIZE_MAX)


def make_starting_error() -> errors.NotRun:
    """Return the error for a router that has not loaded a configuration."""
    return errors.NotRun(
        "no router has a configuration yet",
        code="starting",
        status=503,
        retry_after=exchange.RETRY_SECONDS,
        step="list addresses",
    )


def make_stopping_error(jitter: float) -> errors.NotRun:
    """Return the error for a call to a router that is about to stop."""
    return errors.NotRun(
        "the router is about to stop; use another one",
        code="stopping",
        status=503,
        retry_after=RETRY_JITTER_SECONDS * jitter,
        step="accept",
    )


def make_overload_error(code: str, jitter: float) -> errors.NotRun:
    """Return the error for a request that gets no thread."""
    return errors.NotRun(
        "no thread is available on this router for the request",
        code=code,
        status=503 if code == "router-full" else 429,
        retry_after=exchange.RETRY_SECONDS + RETRY_JITTER_SECONDS * jitter,
        step="accept",
    )


def make_internal_error(error: Exception) -> errors.OutcomeUnknown:
    """Return the error for an unexpected exception; the outcome is unknown."""
    return errors.OutcomeUnknown(
        f"internal error: {type(error).__name__}",
        code="internal",
        status=500,
        step="serve",
    )
