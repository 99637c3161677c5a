"""The kernel service ``caller``: the address at which callers are served."""

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

# Refused callers are told to come back within a time of this width, in seconds, so
# that they do not all come in the same second.
SPREAD_SECONDS = 3.0

APPLICATION_CONFIG = {
    "/": {
        "error_page.default": answers.render_error_page,
        "request.process_request_body": False,
        "request.show_tracebacks": False,
        # Answers pass through as they are, whatever their type.
        "tools.encode.on": False,
        "tools.trailing_slash.on": False,
    }
}


@kernel.register("caller", needs=("claims", "configuration", "membership", "requests"))
class Caller:
    """Serves callers on an HTTP server of its own.

    Attributes
    ----------
    in_progress : set of Exchange
        The requests that are not yet answered to their end.
    draining : bool
        Whether this router is left out of the address answer.
    """

    def __init__(self, box: kernel.Kernel) -> None:
        self.settings: settings.Settings = box.settings
        self.claims: claims.Claims = box.find("claims")
        self.requests: requests.Requests = box.find("requests")
        self.configuration = box.find("configuration")
        self.membership = box.find("membership")
        self.draining = False
        self._box = box
        self.in_progress: set[exchange.Exchange] = set()
        self._random = random.Random(f"{self.settings.router} {time.time_ns()}")
        self._lock = threading.Lock()
        self._thread_quota = threadquota.ThreadQuota(self.settings.caller_threads)
        self._server = self._make_server()

    def start(self) -> None:
        """Listen; raises OSError if the address is taken."""
        self._server.open()

    def stop(self) -> None:
        """Stop listening."""
        self._server.shut()

    @property
    def address(self) -> ids.Address:
        """Where callers are served."""
        return self._server.address

    def report(self) -> dict[str, object]:
        """Return the state for the operator."""
        return {
            "address": str(self.address),
            "draining": self.draining,
            "in_progress": len(self.in_progress),
        }

    def stop_listening(self) -> None:
        """Take no new connections."""
        self._server.stop_listening()

    def cut(self) -> list[str]:
        """End what is in progress and return the ids of the requests."""
        with self._lock:
            found = list(self.in_progress)
        for item in found:
            item.presence.end()
        return [item.request for item in found]

    def serve(self, handler: Handler) -> object:
        """Run a handler on the current request and return the body of its answer."""
        found = exchange.Exchange(self.configuration.current())
        self._enter(found)
        try:
            if found.overloaded:
                raise make_overload("router-full", self._random.random())
            if self.draining:
                found.close_after()
            found.accept_forwarded(self.settings.fleet_keys)
            body = handler(found)
            if isinstance(body, answers.Stream):
                found.finally_do(body.close)
            return body
        except errors.RequestError as error:
            return answers.refuse(found.request, error)
        except Exception as error:
            events.log(
                events.Event.TASK_FAILED, request=found.request, error=repr(error)
            )
            return answers.refuse(found.request, make_internal(error))

    def get_addresses(self, found: exchange.Exchange) -> object:
        """Answer which routers to use."""
        count = read_count()
        if self.configuration.current() is None:
            raise make_starting()
        near = self.settings.data_centre
        listed = addresses.choose(self.membership.alive(), near, self._random)
        if self.draining:
            listed = [item for item in listed if item != str(self.address)]
        answers.set_outcome(found.request, states.Outcome.RAN)
        return answers.write_json(
            {
                "addresses": listed,
                "keep_seconds": self.settings.address_seconds,
                "tickets": self.claims.issue_tickets(count),
            }
        )

    def complete_chat(self, found: exchange.Exchange) -> object:
        """Carry a chat request."""
        call = chat.read_call(found)
        self._take_seat(found, call)
        found.watch_caller()
        return self.claims.run_once(
            found,
            call,
            lambda: chat.write_answer(call, self.requests.call_model(call)),
        )

    def call_service(self, found: exchange.Exchange) -> object:
        """Carry a call to a plain service."""
        call = plaincalls.read_call(found)
        self._take_seat(found, call)
        found.watch_caller()
        return self.claims.run_once(
            found,
            call,
            lambda: plaincalls.write_answer(call, self.requests.call_plain(call)),
        )

    def show_status(self, found: exchange.Exchange) -> object:
        """Answer what each service of this router says of itself."""
        operators.check_key(found, self.settings)
        answers.set_outcome(found.request, states.Outcome.RAN)
        return answers.write_json(
            {
                "router": self.settings.router,
                "data_centre": self.settings.data_centre,
                "services": self._box.collect_reports(),
            }
        )

    def begin_drain(self, found: exchange.Exchange) -> object:
        """Begin a graceful stop."""
        operators.check_key(found, self.settings)
        threading.Thread(target=self._box.find("drain").begin, name="drain").start()
        answers.set_outcome(found.request, states.Outcome.RAN)
        cherrypy.response.status = 202
        return answers.write_json({"draining": True})

    def show_metrics(self, found: exchange.Exchange) -> object:
        """Answer the metrics in the text format."""
        answers.set_outcome(found.request, states.Outcome.RAN)
        cherrypy.response.headers["Content-Type"] = metrics.CONTENT_TYPE
        return self._box.find("metrics").render()

    def _enter(self, found: exchange.Exchange) -> None:
        with self._lock:
            self.in_progress.add(found)
        found.finally_do(lambda: self._leave(found))

    def _take_seat(self, found: exchange.Exchange, call: calls.Call) -> None:
        with self._lock:
            taken = self._thread_quota.acquire(call.account)
        if not taken:
            raise make_overload("account-full", self._random.random())
        found.finally_do(lambda: self._give_back_seat(call.account))

    def _give_back_seat(self, account: ids.AccountId) -> None:
        with self._lock:
            self._thread_quota.release(account)

    def _leave(self, found: exchange.Exchange) -> None:
        with self._lock:
            self.in_progress.discard(found)

    def _make_server(self) -> httpserver.Server:
        application = cherrypy.Application(paths.Root(self), "", APPLICATION_CONFIG)
        # Requests are logged as numbered events.
        application.log.access_log.disabled = True
        return httpserver.Server(
            ids.Address.parse(self.settings.caller_address),
            application,
            threads=self.settings.caller_threads,
            body_bytes_max=self.settings.body_bytes_max,
            log=lambda text: events.log(
                events.Event.TASK_FAILED, task="caller", error=text
            ),
        )


def read_count() -> int:
    """Return how many tickets the caller asks for by ``?tickets=N``."""
    text = cherrypy.request.params.get("tickets", str(tickets.BATCH_SIZE_DEFAULT))
    if not isinstance(text, str) or not text.isdecimal() or len(text) > 3:
        raise exchange.refuse(
            "expected a number of tickets", code="malformed", status=400
        )
    return min(int(text), tickets.BATCH_SIZE_MAX)


def make_starting() -> errors.NotRun:
    """Return the answer of a fleet in which no router can serve yet."""
    return errors.NotRun(
        "no router has a configuration yet",
        code="starting",
        status=503,
        retry_after=exchange.RETRY_SECONDS,
        step="list addresses",
    )


def make_overload(code: str, jitter: float) -> errors.NotRun:
    """Return the refusal of a router that has no thread for a request."""
    return errors.NotRun(
        "this router has no thread left for the request",
        code=code,
        status=503 if code == "router-full" else 429,
        retry_after=exchange.RETRY_SECONDS + SPREAD_SECONDS * jitter,
        step="accept",
    )


def make_internal(error: Exception) -> errors.OutcomeUnknown:
    """Return the answer for a fault of this program, which promises nothing."""
    return errors.OutcomeUnknown(
        f"internal error: {type(error).__name__}",
        code="internal",
        status=500,
        step="serve",
    )
