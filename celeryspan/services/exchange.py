"""A caller's request and its connection, as passed to the request handlers."""

from __future__ import annotations

import time
import uuid
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

import cherrypy

from celeryspan import calls, configuration, errors, events, ids, register
from celeryspan.decisions import requestframing, tickets

if TYPE_CHECKING:
    from celeryspan.services import framing

FORWARDED_HEADER = "Celeryspan-Forwarded"

# Retry-After while a router has no configuration or no free thread; either condition
# ends within about a second.
RETRY_SECONDS = 1.0


class Exchange:
    """One request and the connection on which it arrived.

    Attributes
    ----------
    request : RequestId
        Generated id, unique in the fleet; replaced by that of a forwarded request.
    cancellation : Cancellation
        Whether the caller still waits for the answer.
    forwarded : bool
        Whether the request was forwarded by another router of the fleet.
    """

    def __init__(self, current: configuration.Configuration | None) -> None:
        self.request = ids.RequestId(uuid.uuid4().hex)
        self.started = time.monotonic()
        self.cancellation = calls.Cancellation()
        self.headers: dict[str, str] = cherrypy.request.headers
        self.method: str = cherrypy.request.method
        self._environ: dict[str, Any] = cherrypy.request.wsgi_environ
        self._http_request: framing.Request = self._environ["celeryspan.request"]
        self._configuration = current
        self.forwarded = False
        cherrypy.request.celeryspan_id = self.request

    def accept_forwarded(self, keys: Sequence[str]) -> None:
        """Adopt the id of a request that another router has forwarded.

        Raises
        ------
        errors.NotRun
            If the forwarding header is present and its proof is not valid.
        """
        text = self.headers.get(FORWARDED_HEADER)
        if text is None:
            return
        self.request = tickets.decode_forwarding_proof(keys, text).request
        self.forwarded = True
        cherrypy.request.celeryspan_id = self.request

    @property
    def target(self) -> str:
        """Path and query as sent by the caller."""
        return self._http_request.uri.decode("latin-1")

    @property
    def overloaded(self) -> bool:
        """Whether all threads of the router were busy when the request arrived."""
        return self._http_request.conn.overloaded

    @property
    def configuration(self) -> configuration.Configuration:
        """The configuration in force; raises NotRun if there is none yet."""
        if self._configuration is None:
            raise errors.NotRun(
                "this router has no configuration yet",
                code="starting",
                status=503,
                retry_after=RETRY_SECONDS,
                step="accept",
            )
        return self._configuration

    def add_cleanup(self, callback: Any) -> None:
        """Call ``callback`` after the answer has been written or abandoned."""
        self._environ["celeryspan.finally"].callback(callback)

    def read_key(self) -> str:
        """Return the bearer key; raises NotRun with status 401."""
        scheme, _, key = self.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not key.strip():
            raise make_refusal(
                "the Authorization header holds no bearer key",
                code="unauthorized",
                status=401,
            )
        return key.strip()

    def find_account(self) -> ids.AccountId:
        """Return the client account of the caller; raises NotRun with status 401."""
        account = self.configuration.find_account(self.read_key())
        if account is None:
            raise make_refusal(
                "the bearer key is not valid", code="unauthorized", status=401
            )
        return account

    def find_service(self, name: str) -> register.Service:
        """Return a registered service; raises NotRun with status 404."""
        found = self.configuration.services.get(ids.ServiceId(name))
        if found is None:
            raise make_refusal(
                f"service {name!r} does not exist", code="no-such-service", status=404
            )
        return found

    def read_body(self) -> bytes:
        """Return the whole body; raises NotRun if it has not arrived whole."""
        fault = self._http_request.fault
        if fault is None:
            return self._http_request.body
        if fault is requestframing.Fault.NO_ROOM:
            raise make_no_room_error()
        detail = self._http_request.fault_detail
        if fault is requestframing.Fault.TOO_LARGE:
            raise make_refusal(detail, code="too-large", status=413)
        raise make_refusal(detail, code="malformed", status=400)

    def reserve(self, size: int) -> None:
        """Let the request hold a number of bytes in all; raises NotRun if it may not.

        Raises
        ------
        errors.NotRun
            With status 413 if no router would ever have that much, else 503.
        """
        connection = self._http_request.conn
        if size > connection.server.memory.total_max:
            raise make_refusal(
                "the body holds too many values", code="too-large", status=413
            )
        if not connection.server.reserve(connection, size):
            raise make_no_room_error()

    def close_after_response(self) -> None:
        """Close the connection after this answer."""
        self._http_request.close_connection = True

    def watch_caller(self) -> None:
        """Start to watch for the caller closing its connection."""
        connection = self._http_request.conn
        connection.server.close_watcher.add(connection.socket, self._handle_caller_left)

    def _handle_caller_left(self) -> None:
        events.log(events.Event.CALLER_LEFT, request=self.request)
        self.cancellation.note_caller_left()


def make_refusal(message: str, *, code: str, status: int) -> errors.NotRun:
    """Return the error for an invalid request."""
    return errors.NotRun(message, code=code, status=status, step="read request")


def make_no_room_error() -> errors.NotRun:
    """Return the error for a request for which no memory is left."""
    return errors.NotRun(
        "the router holds as many bytes of requests as it may",
        code="bodies-full",
        status=503,
        retry_after=RETRY_SECONDS,
        step="read request",
    )
