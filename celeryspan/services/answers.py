"""What callers are told: headers, error bodies and the format of streams."""

from __future__ import annotations

import json
import math
from typing import Any

import cherrypy

from celeryspan import errors, ids, states

REQUEST_HEADER = "Celeryspan-Request-Id"
OUTCOME_HEADER = "Celeryspan-Outcome"

# Headers of a backend server's answer that the router sets itself.
OWN_HEADERS = frozenset(
    {"connection", "content-length", "date", "server"}
    | {REQUEST_HEADER.lower(), OUTCOME_HEADER.lower()}
)


def set_outcome(request: ids.RequestId, outcome: states.Outcome) -> None:
    """Put the two headers that every answer carries on the current answer."""
    headers = cherrypy.response.headers
    headers[REQUEST_HEADER] = request
    headers[OUTCOME_HEADER] = outcome.value


def refuse(request: ids.RequestId, error: errors.RequestError) -> bytes:
    """Make an error the current answer and return its body."""
    cherrypy.response.status = error.status
    set_outcome(request, error.outcome)
    if error.retry_after is not None:
        cherrypy.response.headers["Retry-After"] = str(math.ceil(error.retry_after))
    return write_json({"error": describe(error)})


def describe(error: errors.RequestError) -> dict[str, str]:
    """Return the error as callers see it."""
    return {
        "code": error.code,
        "message": error.message,
        "outcome": error.outcome.value,
        "step": error.step,
        "peer": error.peer,
    }


def write_json(value: object) -> bytes:
    """Make a JSON value the body of the current answer."""
    cherrypy.response.headers["Content-Type"] = "application/json"
    return json.dumps(value).encode()


def write_event(value: object) -> bytes:
    """Return one server-sent event."""
    return b"data: " + json.dumps(value).encode() + b"\n\n"


def render_error_page(status: str, message: str, **_: Any) -> str:
    """Return the body for an error that cherrypy itself raises."""
    request = getattr(cherrypy.request, "celeryspan_id", "")
    set_outcome(request, states.Outcome.NOT_RUN)
    cherrypy.response.headers["Content-Type"] = "application/json"
    found = errors.NotRun(
        message, code=name_status(int(status.split()[0])), step="read request"
    )
    return json.dumps({"error": describe(found)})


def name_status(status: int) -> str:
    """Return the error code for a status."""
    names = {404: "not-found", 405: "method-not-allowed", 500: "internal"}
    return names.get(status, "malformed")
