"""Response format: headers, error bodies and server-sent events."""

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

# Distinguishes a router's errors from those answered by a backend server.
ERROR_HEADER = "Celeryspan-Error"

# Headers that apply to a single connection or are set by the HTTP server.
FRAMING_HEADERS = frozenset(
    {"connection", "content-length", "date", "keep-alive", "server"}
    | {"transfer-encoding"}
)

# Headers of a backend server's answer that the router replaces with its own.
OVERRIDDEN_HEADERS = FRAMING_HEADERS | {
    REQUEST_HEADER.lower(),
    OUTCOME_HEADER.lower(),
    ERROR_HEADER.lower(),
    "celeryspan-repeat",
}


class Stream:
    """A streamed response body.

    Attributes
    ----------
    is_complete : bool
        Whether the whole answer has been read from the backend server.
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
        """Discard the unread part and release the source, even if nothing was read."""
        self._pieces.close()
        self._release()


def find_request() -> framing.Request:
    """Return the HTTP server's object for the current request."""
    return cherrypy.request.wsgi_environ["celeryspan.request"]


def set_outcome(request: ids.RequestId, outcome: states.Outcome) -> None:
    """Set the request id and outcome headers, which every answer carries."""
    headers = cherrypy.response.headers
    headers[REQUEST_HEADER] = request
    headers[OUTCOME_HEADER] = outcome.value


def write_error(request: ids.RequestId, error: errors.RequestError) -> bytes:
    """Set status and headers of the current answer for an error; return the body."""
    cherrypy.response.status = error.status
    set_outcome(request, error.outcome)
    cherrypy.response.headers[ERROR_HEADER] = error.code
    if error.retry_after is not None:
        cherrypy.response.headers["Retry-After"] = str(math.ceil(error.retry_after))
    return write_json({"error": describe_error(error)})


def describe_error(error: errors.RequestError) -> dict[str, str]:
    """Return the JSON fields of an error."""
    return {
        "code": error.code,
        "message": error.message,
        "outcome": error.outcome.value,
        "step": error.step,
        "peer": error.peer,
    }


def write_json(value: object) -> bytes:
    """Set the content type of the current answer to JSON and return the body."""
    cherrypy.response.headers["Content-Type"] = "application/json"
    return json.dumps(value).encode()


def write_event(value: object) -> bytes:
    """Encode a value as a server-sent event."""
    return b"data: " + json.dumps(value).encode() + b"\n\n"


def render_error_page(status: str, message: str, **_: Any) -> str:
    """Return the body for an error raised by cherrypy."""
    generated = ids.RequestId(uuid.uuid4().hex)
    request = getattr(cherrypy.request, "celeryspan_id", generated)
    set_outcome(request, states.Outcome.NOT_RUN)
    code = get_error_code(int(status.split()[0]))
    cherrypy.response.headers["Content-Type"] = "application/json"
    cherrypy.response.headers[ERROR_HEADER] = code
    error = errors.NotRun(message, code=code, step="read request")
    return json.dumps({"error": describe_error(error)})


def get_error_code(status: int) -> str:
    """Return the error code for an HTTP status set by cherrypy."""
    codes = {404: "not-found", 405: "method-not-allowed", 500: "internal"}
    return codes.get(status, "malformed")
