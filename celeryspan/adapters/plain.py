"""The adapter of plain services."""

from __future__ import annotations

import json
from collections.abc import Iterator

import urllib3
from urllib3 import response as urllib3_response

from celeryspan import calls, ids, states
from celeryspan.adapters import backend

REQUEST_HEADER = "Celeryspan-Request-Id"
LEAVING_STATUS = 503
LEAVING_BYTES_MAX = 1024

# Headers that belong to one connection only (RFC 9110, section 7.6.1).
HOP_HEADERS = frozenset(
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
    """Passes any call on as it is."""

    def send(self, link: backend.Link, call: calls.Call, run: ids.RequestId) -> None:
        """Write the request; raises OSError or urllib3's HTTPError."""
        headers = dict(call.headers) | {REQUEST_HEADER: run}
        link.request(
            call.method,
            call.target,
            body=call.body or None,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )

    def receive(self, link: backend.Link) -> tuple[backend.Head, Iterator[bytes]]:
        """Read the head of the answer, and offer its body."""
        response = link.getresponse()
        if response.status == LEAVING_STATUS:
            return self._read_refusal(link, response)
        return _make_head(response), backend.read_body(response)

    def _read_refusal(
        self, link: backend.Link, response: urllib3_response.HTTPResponse
    ) -> tuple[backend.Head, Iterator[bytes]]:
        body = response.read()
        if is_leaving(body):
            raise backend.Declined(
                "the server is leaving", leaving=True, step="send", peer=link.server
            )
        return _make_head(response), iter([body])


def is_leaving(body: bytes) -> bool:
    """Say whether an error body is the refusal of a server that is leaving."""
    return read_reason(body) == "leaving"


def read_reason(body: bytes) -> object:
    """Return the reason in a short error body, or None."""
    if len(body) > LEAVING_BYTES_MAX:
        return None
    try:
        found = json.loads(body)
    except ValueError:
        return None
    return found.get("error") if isinstance(found, dict) else None


def _make_head(response: urllib3.BaseHTTPResponse) -> backend.Head:
    headers = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in HOP_HEADERS
    )
    return backend.Head(response.status, headers)
