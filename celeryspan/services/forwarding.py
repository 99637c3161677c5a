"""Forwards requests with a ticket or key to the router incarnation that owns it."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

import cherrypy
import urllib3

from celeryspan import calls, errors, events, ids, states
from celeryspan.adapters import backend, plain
from celeryspan.decisions import claims, tickets
from celeryspan.services import answers, backends, exchange

if TYPE_CHECKING:
    from celeryspan import settings
    from celeryspan.services import framing

# Time for the owner to begin its answer: longer than a read timeout, since the request
# may be queued there. After it the caller receives the outcome "unknown" and may repeat
# the request with the same ticket or key.
OWNER_ANSWER_SECONDS = 30.0

NOT_FORWARDED_HEADERS = (
    frozenset({"host", "content-length", "expect"}) | plain.HOP_BY_HOP_HEADERS
)


class Forwarder:
    """Forwards requests to the caller address of their owner."""

    def __init__(self, settings: settings.Settings, membership: object) -> None:
        self._settings = settings
        self._membership = membership

    def forward(
        self,
        incoming: exchange.Exchange,
        call: calls.Call,
        owner: claims.Owner,
    ) -> object:
        """Forward a request and use the owner's answer as the current response.

        Raises
        ------
        errors.OutcomeUnknown
            If the owner has stopped or does not answer: an earlier request may have
            run there, so no other router may run it.
        """
        if incoming.forwarded:
            raise make_owner_unreachable(
                owner, "is not the router that it was forwarded to"
            )
        link = self._connect(owner)
        call.cancellation.on_cancel(lambda: link.abort("the request was cancelled"))
        events.log(
            events.Event.REQUEST_FORWARDED,
            request=incoming.request,
            router=owner.router,
        )
        try:
            response = self._send(link, incoming, call)
        except backends.LINK_ERRORS as error:
            link.close()
            raise make_owner_unreachable(owner, f"did not answer: {error!r}") from error
        return _return_response(link, response)

    def _connect(self, owner: claims.Owner) -> backend.Connection:
        member = self._membership.find(owner.router)
        if (
            member is None
            or member.incarnation != owner.incarnation
            or member.state is states.MemberState.DEAD
        ):
            raise make_owner_unreachable(owner, "has stopped or restarted")
        # A suspected or leaving router still answers for the requests that it owns.
        return self._open(owner, member.caller_address)

    def _open(self, owner: claims.Owner, address: ids.Address) -> backend.Connection:
        link = backend.Connection(
            address.host,
            address.port,
            timeout=backends.CONNECT_TIMEOUT_SECONDS,
            socket_options=list(backends.KEEPALIVE_OPTIONS),
        )
        try:
            link.connect()
        except backends.LINK_ERRORS as error:
            raise make_owner_unreachable(
                owner, f"cannot be connected to: {error}"
            ) from error
        return link

    def _send(
        self, link: backend.Connection, incoming: exchange.Exchange, call: calls.Call
    ) -> urllib3.BaseHTTPResponse:
        backends.set_deadline(link, call.deadline, OWNER_ANSWER_SECONDS)
        proof = tickets.ForwardingProof(
            ids.RouterId(self._settings.router), incoming.request
        )
        headers = {
            name: value
            for name, value in incoming.headers.items()
            if name.lower() not in NOT_FORWARDED_HEADERS
        }
        headers[exchange.FORWARDED_HEADER] = tickets.encode_forwarding_proof(
            self._settings.fleet_keys, proof
        )
        link.request(
            call.method,
            incoming.target,
            body=call.body or None,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )
        return link.getresponse()


def _return_response(
    link: backend.Connection, response: urllib3.BaseHTTPResponse
) -> object:
    cherrypy.response.status = response.status
    headers = cherrypy.response.headers
    headers.pop("Content-Type", None)
    for name, value in response.headers.items():
        if name.lower() not in answers.FRAMING_HEADERS:
            headers[name] = value
    cherrypy.response.stream = True
    return answers.Stream(
        lambda stream: _read_body(response, stream, answers.find_request()), link.close
    )


def _read_body(
    response: urllib3.BaseHTTPResponse,
    stream: answers.Stream,
    request: framing.Request,
) -> Iterator[bytes]:
    """Yield the owner's answer; if it breaks off, cut the caller's answer as well."""
    try:
        yield from backend.read_body(response)
        stream.is_complete = True
    except backends.LINK_ERRORS:
        request.truncate_response()


def make_owner_unreachable(owner: claims.Owner, reason: str) -> errors.OutcomeUnknown:
    """Return the error for a request whose owner cannot be asked for the outcome."""
    return errors.OutcomeUnknown(
        f"the router that owns this request {reason}; only it may run the request",
        code="owner-unreachable",
        status=502,
        step="forward",
        peer=owner.router,
    )
