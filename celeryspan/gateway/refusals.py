"""HTTP answers for requests that the router refuses or that have failed."""

from __future__ import annotations

import json

from celeryspan import errors, states
from celeryspan.decisions import streamversions
from celeryspan.gateway import orders
from celeryspan.platform import names

REASON_PHRASES = {
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


TAKE_UP_MESSAGES = {
    streamversions.Verdict.VERSION_GONE: (
        "no server of the software version that began the stream is left; send the "
        "request again without Last-Event-Id to begin from the first event"
    ),
    streamversions.Verdict.VERSION_UNCONFIRMED: (
        "servers may have restarted with another software version since this router "
        "last heard of them; send the request again without Last-Event-Id to begin "
        "from the first event"
    ),
    streamversions.Verdict.ORIGIN_UNKNOWN: (
        "the software version that began the stream is not known here; send the "
        "request again without Last-Event-Id to begin from the first event"
    ),
}


class Refused(errors.RequestError):
    """The request is malformed or not allowed, and was not sent to any server."""

    outcome = states.Outcome.NOT_RUN


def make_take_up_error(verdict: streamversions.Verdict) -> errors.NotRun:
    """Return the error for a stream that can't go on.

    It has no time to come back: the caller may begin anew at once.
    """
    return errors.NotRun(
        TAKE_UP_MESSAGES[verdict],
        code=verdict.value,
        status=503,
        step="take up a stream",
    )


def write_refusal(
    sink: orders.Sink, request_id: str, error: errors.RequestError
) -> None:
    """Write the answer for an error."""
    headers, body = _build_refusal(request_id, error)
    sink.write_head(error.status, REASON_PHRASES.get(error.status, "Refused"), headers)
    sink.write(body)
    sink.finish()


def serialize_refusal(request_id: str, error: errors.RequestError) -> bytes:
    """Return the answer for an error as bytes; it closes the connection."""
    headers, body = _build_refusal(request_id, error)
    lines = [f"HTTP/1.1 {error.status} {REASON_PHRASES.get(error.status, 'Refused')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def _build_refusal(
    request_id: str, error: errors.RequestError
) -> tuple[list[tuple[str, str]], bytes]:
    """Return headers and body of the answer for an error."""
    body = json.dumps(
        {
            "error": {
                "code": error.code,
                "message": error.message,
                "outcome": error.outcome.value,
                "step": error.step,
                "peer": error.peer,
            }
        }
    ).encode()
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    if request_id:
        headers.append((names.REQUEST_ID, request_id))
    if error.retry_after is not None:
        headers.append((names.RETRY_AFTER, f"{error.retry_after:.3f}"))
    return headers, body
