"""What callers are told: headers, error bodies and the format of streams."""

from __future__ import annotations

import json
import math
import uuid
from collections.abc import Callable, Generator
from typing import TYPE_CHECKING, Any

import cherrypy

from celeryspan import errors, ids, states

if TYPE_CHECKING:
    from celeryspan.services import framing

REQUEST_HEADER = "Celeryspan-Request-Id"
OUTCOME_HEADER = "Celeryspan-Outcome"

# Tells a router's own error from one that a backend server answered.
ERROR_HEADER = "Celeryspan-Error"

# Headers that belong to one connection or are set by the HTTP server.
FRAMING_HEADERS = frozenset(
    {"connection", "content-length", "date", "keep-alive", "server"}
    | {"transfer-encoding"}
)

# Headers of a backend server's answer that the router sets itself.
OVERRIDDEN_HEADERS = FRAMING_HEADERS | {
    REQUEST_HEADER.lower(),
    OUTCOME_HEADER.lower(),
    ERROR_HEADER.lower(),
    "celeryspan-repeat",
}


class Stream:
    """A streamed body.

    Attributes
    ----------
    is_complete : bool
        Whether the last piece has been handed out, and with it the whole answer.
    """

    def __init__(
        self,
        read: Callable[[Stream], Generator[bytes, None, None]],
        release: Callable[[], None],
    ) -> None:
        self.is_complete = False
        self._pieces = read(self)
        self._release = release

    def __iter__(self) -> Stream:
        return self

    def __next__(self) -> bytes:
        return next(self._pieces)

    def close(self) -> None:
        """Give up what has not been read; also if nothing has been."""
        self._pieces.close()
        self._release()


def find_request() -> framing.Request:
    """Return the current request as the HTTP server knows it."""
    return cherrypy.request.wsgi_environ["celeryspan.request"]


def set_outcome(request: ids.RequestId, outcome: states.Outcome) -> None:
    """Put the two headers that every answer carries on the current answer."""
    headers = cherrypy.response.headers
    headers[REQUEST_HEADER] = request
    headers[OUTCOME_HEADER] = outcome.value


def write_error(request: ids.RequestId, error: errors.RequestError) -> bytes:
    """Make an error the current answer and return its body."""
    cherrypy.response.status = error.status
    set_outcome(request, error.outcome)
    cherrypy.response.headers[ERROR_HEADER] = error.code
    if error.retry_after is not None:
        cherrypy.response.headers["Retry-After"] = str(math.ceil(error.retry_after))
    return write_json({"error": describe_error(error)})


def describe_error(error: errors.RequestError) -> dict[str, str]:
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
    made = ids.RequestId(uuid.uuid4().hex)
    request = getattr(cherrypy.request, "celeryspan_id", made)
    set_outcome(request, states.Outcome.NOT_RUN)
    code = get_error_code(int(status.split()[0]))
    cherrypy.response.headers["Content-Type"] = "application/json"
    cherrypy.response.headers[ERROR_HEADER] = code
    found = errors.NotRun(message, code=code, step="read request")
    return json.dumps({"error": describe_error(found)})


def get_error_code(status: int) -> str:
    """Return the error code for a status."""
    names = {404: "not-found", 405: "method-not-allowed", 500: "internal"}
    return names.get(status, "malformed")
