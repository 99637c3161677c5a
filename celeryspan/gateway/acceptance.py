"""Parses requests into orders: reads the body, finds route, account and deadline."""

from __future__ import annotations

import time

from cheroot import server as cheroot_server

from celeryspan import calls, catalog, errors, ids
from celeryspan.decisions import requestframing
from celeryspan.gateway import orders, refusals
from celeryspan.platform import requests
from celeryspan.services import framing, sockets

NO_ROOM_RETRY_AFTER_SECONDS = 0.5


def read_headers(request: cheroot_server.HTTPRequest) -> dict[str, str]:
    """Return the headers of a request as text."""
    return {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in request.inheaders.items()
    }


def make_order(
    request: cheroot_server.HTTPRequest,
    body: bytes,
    current: catalog.Catalogue,
    prompt_parts_max: int,
) -> orders.Order:
    """Return the order for a request whose body has been read.

    Parameters
    ----------
    prompt_parts_max : int
        Parts of its prompt that are considered.

    Raises
    ------
    refusals.Refused
        If the request is malformed or not allowed.
    """
    # The caller's timeout includes the time that the request waits for a thread.
    received_at = min(time.monotonic(), request.conn.request_began_at)
    headers = read_headers(request)
    path = request.uri.partition(b"?")[0].decode("latin-1")
    route = current.find_route(headers.get("Host", "").lower(), path)
    if route is None:
        raise refusals.Refused(
            "no route for this host and path", code="no-route", status=404
        )
    try:
        incoming = requests.read(headers, prompt_parts_max)
    except errors.InputError as error:
        raise refusals.Refused(str(error), code="malformed", status=400) from error
    account = find_account(current, route, incoming.key)
    # The rest of a stream comes from the service that began it.
    service = route.choose_service(incoming.origin or incoming.request)
    if service is None:
        raise refusals.Refused(
            "the route has no service", code="no-service", status=404
        )
    seconds = route.timeout
    if incoming.timeout is not None:
        seconds = min(seconds, incoming.timeout)
    return orders.Order(
        incoming=incoming,
        route=route,
        service=service,
        account=account,
        method=request.method.decode("latin-1"),
        target=request.uri,
        body=body,
        received_at=received_at,
        deadline=received_at + seconds,
        cancellation=calls.Cancellation(lambda: has_disconnected(request)),
    )


def has_disconnected(request: cheroot_server.HTTPRequest) -> bool:
    """Return whether the caller has closed its connection."""
    descriptor = request.conn.socket.fileno()
    return descriptor < 0 or sockets.is_closed(descriptor)


def read_body(request: framing.Request) -> bytes:
    """Return the whole body of a request.

    Raises
    ------
    refusals.Refused
        If the body is too long or malformed.
    errors.NotRun
        If the body does not fit into the memory that other requests leave.
    ConnectionAbortedError
        If the caller closes the connection before the end of the body.
    """
    fault, detail = request.fault, request.fault_detail
    if fault is None:
        return request.body
    if fault is requestframing.Fault.INCOMPLETE:
        raise ConnectionAbortedError(detail)
    if fault is requestframing.Fault.NO_ROOM:
        raise errors.NotRun(
            "the router holds as many bytes of requests as it may",
            code="bodies-full",
            status=503,
            retry_after=NO_ROOM_RETRY_AFTER_SECONDS,
            step="read request",
        )
    status = 413 if fault is requestframing.Fault.TOO_LARGE else 400
    raise refusals.Refused(detail, code=fault.value, status=status)


def find_account(
    current: catalog.Catalogue, route: catalog.Route, key: str
) -> ids.AccountId | None:
    """Return the client account of an API key, or None on an anonymous route.

    Raises
    ------
    refusals.Refused
        If the route requires a key and this one is unknown.
    """
    account = current.accounts.get(key) if key else None
    if account is None and current.needs_keys and not route.is_anonymous:
        raise refusals.Refused("unknown API key", code="unknown-key", status=401)
    return account
