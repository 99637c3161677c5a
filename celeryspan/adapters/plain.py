"""Adapter for plain services."""

from __future__ import annotations

import http.client
import itertools
import json
from collections.abc import Iterator

import urllib3
from urllib3 import response as urllib3_response

from celeryspan import calls, eventstreams, ids, states
from celeryspan.adapters import backend

REQUEST_ID_HEADER = "Celeryspan-Request-Id"
LEAVING_STATUS = 503
ERROR_BODY_BYTES_MAX = 1024

# Hop-by-hop headers (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@backend.register(states.ServiceKind.PLAIN)
class PlainService:
    """Forwards calls unchanged."""

    def send(
        self, connection: backend.Connection, call: calls.Call, run: ids.RequestId
    ) -> None:
        """Write the request; raises OSError or urllib3's HTTPError."""
        headers = dict(call.headers) | {REQUEST_ID_HEADER: run}
        connection.request(
            call.method,
            call.target,
            body=call.body or None,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )

    def receive(
        self, connection: backend.Connection
    ) -> tuple[backend.Head, Iterator[bytes]]:
        """Return the head of the response and an iterator over its body."""
        response = connection.getresponse()
        if response.status == LEAVING_STATUS:
            return self._read_refusal(connection, response)
        return _make_head(response), _read_body(response)

    def _read_refusal(
        self, connection: backend.Connection, response: urllib3_response.HTTPResponse
    ) -> tuple[backend.Head, Iterator[bytes]]:
        pieces = _read_body(response)
        start = b""
        for piece in pieces:
            start += piece
            if len(start) > ERROR_BODY_BYTES_MAX:
                break
        if is_leaving(start):
            raise backend.Declined(
                "the server is leaving",
                leaving=True,
                step="send",
                peer=connection.server,
            )
        return _make_head(response), itertools.chain([start], pieces)


def _read_body(response: urllib3_response.HTTPResponse) -> Iterator[bytes]:
    """Yield the body; raises IncompleteRead if a stream ends inside an event."""
    content_type = response.headers.get("Content-Type")
    if not content_type or not eventstreams.is_event_stream(content_type):
        yield from backend.read_body(response)
        return
    splitter = eventstreams.EventSplitter()
    for piece in backend.read_body(response):
        splitter.add(piece)
        yield piece
    if splitter.is_inside_event():
        raise http.client.IncompleteRead(splitter.rest)


def is_leaving(body: bytes) -> bool:
    """Return whether an error body says that the server is leaving."""
    return read_reason(body) == "leaving"


def read_reason(body: bytes) -> object:
    """Return the reason in a short error body, or None."""
    if len(body) > ERROR_BODY_BYTES_MAX:
        return None
    try:
        fields = json.loads(body)
    except ValueError:
        return None
    return fields.get("error") if isinstance(fields, dict) else None


def _make_head(response: urllib3.BaseHTTPResponse) -> backend.Head:
    headers = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    )
    return backend.Head(response.status, headers)
