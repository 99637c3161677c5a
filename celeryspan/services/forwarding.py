"""Passes a named request on to the router incarnation that owns its name."""

from __future__ import annotations

import time
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

# How long the owner may take to begin its answer, in seconds. It may be queueing the
# request, so this is longer than a silent connection would need; its caller then
# hears "unknown" and may ask again with the same name.
ANSWER_SECONDS = 30.0

NOT_PASSED_ON = (
    frozenset({"host", "content-length", "expect"}) | plain.HOP_BY_HOP_HEADERS
)


class Forwarding:
    """Passes requests on over the owner's caller address."""

    def __init__(self, settings: settings.Settings, membership: object) -> None:
        self._settings = settings
        self._membership = membership

    def pass_on(
        self,
        found: exchange.Exchange,
        call: calls.Call,
        owner: claims.Owner,
    ) -> object:
        """Let the owner answer, and make its answer the current one.

        Raises
        ------
        errors.OutcomeUnknown
            If the owner is gone or does not answer: an earlier request may have run
            there, and nobody else may run it.
        """
        if found.forwarded:
            raise make_gone(owner, "was asked twice over")
        link = self._connect(owner)
        call.cancellation.on_cancel(lambda: backends.abort(link))
        events.log(
            events.Event.REQUEST_FORWARDED, request=found.request, router=owner.router
        )
        try:
            response = self._send(link, found, call)
        except backends.LINK_ERRORS as error:
            link.close()
            raise make_gone(owner, f"did not answer: {error!r}") from error
        return _pass_back(link, response)

    def _connect(self, owner: claims.Owner) -> backend.Connection:
        member = self._membership.find(owner.router)
        if (
            member is None
            or member.incarnation != owner.incarnation
            or member.state is states.MemberState.DEAD
        ):
            raise make_gone(owner, "is gone or was restarted")
        # One that is suspected or leaving is asked: it still answers for its names.
        return self._open(owner, member.caller_address)

    def _open(self, owner: claims.Owner, address: ids.Address) -> backend.Connection:
        link = backend.Connection(
            address.host,
            address.port,
            timeout=backends.CONNECT_SECONDS,
            socket_options=list(backends.KEEPALIVE_OPTIONS),
        )
        try:
            link.connect()
        except backends.LINK_ERRORS as error:
            raise make_gone(owner, f"does not accept: {error}") from error
        return link

    def _send(
        self, link: backend.Connection, found: exchange.Exchange, call: calls.Call
    ) -> urllib3.BaseHTTPResponse:
        left = call.deadline - time.monotonic()
        backends.set_timeout(link, min(ANSWER_SECONDS, max(left, 0.1)))
        proof = tickets.ForwardingProof(
            ids.RouterId(self._settings.router), found.request
        )
        headers = {
            name: value
            for name, value in found.headers.items()
            if name.lower() not in NOT_PASSED_ON
        }
        headers[exchange.FORWARDED_HEADER] = tickets.encode_forwarding_proof(
            self._settings.fleet_keys, proof
        )
        link.request(
            call.method,
            found.target,
            body=call.body or None,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )
        return link.getresponse()


def _pass_back(link: backend.Connection, response: urllib3.BaseHTTPResponse) -> object:
    cherrypy.response.status = response.status
    headers = cherrypy.response.headers
    headers.pop("Content-Type", None)
    for name, value in response.headers.items():
        if name.lower() not in answers.FRAMING_HEADERS:
            headers[name] = value
    cherrypy.response.stream = True
    return answers.Stream(
        lambda stream: _read(response, stream, answers.find_request()), link.close
    )


def _read(
    response: urllib3.BaseHTTPResponse,
    stream: answers.Stream,
    request: framing.Request,
) -> Iterator[bytes]:
    """Yield the owner's answer; if it is cut, so is the caller's."""
    try:
        yield from backend.read_body(response)
        stream.is_complete = True
    except backends.LINK_ERRORS:
        request.truncate_response()


def make_gone(owner: claims.Owner, reason: str) -> errors.OutcomeUnknown:
    """Return the answer where only an unreachable owner knows the outcome."""
    return errors.OutcomeUnknown(
        f"the router that owns this request {reason}; only it may run the request",
        code="owner-unreachable",
        status=502,
        step="forward",
        peer=owner.router,
    )
