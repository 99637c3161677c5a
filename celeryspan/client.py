"""The caller's library: ask a router fleet, and repeat only what is safe.

A :class:`Client` asks the routers which addresses to use, keeps the answer for as
long as it may, changes the address on a failure, and sends each request with a
ticket, so that a request whose answer was lost can be asked for again without
running twice.
"""

from __future__ import annotations

import json
import random
import time
from collections.abc import Iterator, Sequence
from typing import Any

import msgspec
import urllib3

from celeryspan import addressbook, calls, errors, states

# Longest wait for one answer of a router, in seconds.
ANSWER_SECONDS = 60.0
CONNECT_SECONDS = 2.0

# Wait before a repeat where the router names none, in seconds; each caller draws its
# own between half and one and a half of it, so that not all come back at once.
RETRY_SECONDS = 0.5

# Attempts without a clear word after which the outcome is given up as unknown.
UNCLEAR_MAX = 4

TICKET_HEADER = "Celeryspan-Ticket"
REPEAT_HEADER = "Celeryspan-Repeat"
ERROR_HEADER = "Celeryspan-Error"

READ_BYTES = 16_384

KINDS = {
    states.Outcome.RAN: errors.AnswerUnavailable,
    states.Outcome.NOT_RUN: errors.NotRun,
    states.Outcome.UNKNOWN: errors.OutcomeUnknown,
}

NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class Reply(msgspec.Struct, frozen=True):
    """A whole answer.

    Attributes
    ----------
    outcome : Outcome
        RAN for every answer of a backend server.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    outcome: states.Outcome

    def read_json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


class _Request(msgspec.Struct):
    """One request while it is being asked for.

    Attributes
    ----------
    exposed : bool
        Whether an attempt with the present ticket ended without a clear word.
    unclear : int
        How many attempts did.
    """

    method: str
    path: str
    body: bytes
    headers: dict[str, str]
    deadline: float
    safe: bool
    ticket: str = ""
    exposed: bool = False
    unclear: int = 0


class Client:
    """Asks a fleet of routers on behalf of one client account.

    Parameters
    ----------
    routers : sequence of str
        Addresses ``host:port`` to begin with; one that answers is enough.
    key : str
        The key of the client account.
    seconds : float
        Longest time for one request with all its repeats, in seconds.
    """

    def __init__(
        self, routers: Sequence[str], key: str, *, seconds: float = ANSWER_SECONDS
    ) -> None:
        self._key = key
        self._seconds = seconds
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_SECONDS, read=ANSWER_SECONDS),
        )
        self._book = addressbook.AddressBook(self._pool, routers)
        self._random = random.Random()

    def call(
        self,
        service: str,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Call a plain service.

        Raises
        ------
        errors.NotRun
            If the call was certainly not carried out.
        errors.OutcomeUnknown
            If it may have been carried out.
        errors.AnswerUnavailable
            If it was carried out and its answer is lost.
        """
        target = f"/v1/services/{service}/{path.lstrip('/')}"
        request = self._make_request(method, target, body, headers or {})
        return self._read_reply(self._ask(request))

    def chat(
        self, model: str, messages: Sequence[dict[str, str]], **options: object
    ) -> str:
        """Return the whole text of a model's answer; raises as :meth:`call` does."""
        reply = self._read_reply(self._ask(self._make_chat(model, messages, options)))
        return reply.read_json()["choices"][0]["message"]["content"]

    def stream(
        self, model: str, messages: Sequence[dict[str, str]], **options: object
    ) -> Iterator[str]:
        """Yield a model's answer as it is written; raises as :meth:`call` does.

        An answer that ends before it is whole raises ``AnswerUnavailable``: what has
        been yielded is then only a part.
        """
        options = {**options, "stream": True}
        response = self._ask(self._make_chat(model, messages, options))
        try:
            yield from _read_stream(response)
        finally:
            response.close()

    def _make_chat(
        self, model: str, messages: Sequence[dict[str, str]], options: dict[str, object]
    ) -> _Request:
        asked = {"model": model, "messages": list(messages), **options}
        headers = {"Content-Type": "application/json"}
        body = json.dumps(asked).encode()
        return self._make_request("POST", "/v1/chat/completions", body, headers)

    def _make_request(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> _Request:
        return _Request(
            method=method,
            path=path,
            body=body,
            headers=headers | {"Authorization": f"Bearer {self._key}"},
            deadline=time.monotonic() + self._seconds,
            safe=method in calls.SAFE_METHODS,
        )

    def _ask(self, request: _Request) -> urllib3.BaseHTTPResponse:
        """Return the first answer that is no refusal worth a repeat."""
        while True:
            address = self._choose(request)
            try:
                response = self._send(address, request)
            except urllib3.exceptions.HTTPError as error:
                self._book.drop(address)
                request.exposed |= not isinstance(error, NOT_SENT_ERRORS)
                self._pause(request, _make_lost(address, error), 0.0)
                continue
            if ERROR_HEADER not in response.headers:
                return response
            self._judge(request, response, address)

    def _choose(self, request: _Request) -> str:
        """Return the address to try, with a ticket for it if the request needs one."""
        book = self._book.read(request.deadline)
        if not request.safe and not request.ticket:
            request.ticket = self._book.take_ticket()
        return book[0]

    def _send(self, address: str, request: _Request) -> urllib3.BaseHTTPResponse:
        headers = dict(request.headers)
        if request.ticket:
            headers[TICKET_HEADER] = request.ticket
        return self._pool.request(
            request.method,
            f"http://{address}{request.path}",
            body=request.body or None,
            headers=headers,
            preload_content=False,
        )

    def _judge(
        self, request: _Request, response: urllib3.BaseHTTPResponse, address: str
    ) -> None:
        """Wait before a repeat, or raise what the router says."""
        error = _read_error(response, address)
        seconds = error.retry_after
        if error.outcome is states.Outcome.RAN:
            raise error
        if error.outcome is states.Outcome.UNKNOWN:
            request.exposed = True
            if seconds is None and REPEAT_HEADER not in response.headers:
                seconds = RETRY_SECONDS
        elif REPEAT_HEADER in response.headers or not request.exposed:
            # Nothing has run under this ticket, and nothing will.
            request.exposed = False
            request.ticket = ""
        self._pause(request, error, seconds)

    def _pause(
        self, request: _Request, error: errors.RequestError, seconds: float | None
    ) -> None:
        """Wait before a repeat; raises the error if there is none."""
        if request.exposed:
            request.unclear += 1
        wait = RETRY_SECONDS * (0.5 + self._random.random())
        wait = max(wait, seconds or 0.0)
        may_repeat = request.safe or request.ticket or not request.exposed
        late = time.monotonic() + wait >= request.deadline
        spent = request.unclear >= UNCLEAR_MAX
        if seconds is None or not may_repeat or late or spent:
            raise _settle(request, error)
        time.sleep(wait)

    def _read_reply(self, response: urllib3.BaseHTTPResponse) -> Reply:
        try:
            body = response.read()
        except urllib3.exceptions.HTTPError as error:
            raise _make_cut(error) from error
        finally:
            response.release_conn()
        return Reply(response.status, dict(response.headers), body, states.Outcome.RAN)


def _read_stream(response: urllib3.BaseHTTPResponse) -> Iterator[str]:
    try:
        for line in _split_lines(response):
            if not line.startswith(b"data: "):
                continue
            data = line.removeprefix(b"data: ")
            if data == b"[DONE]":
                return
            yield from _read_chunk(json.loads(data))
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        raise _make_cut(error) from error
    raise _make_cut("the stream ended without its last event")


def _split_lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    rest = b""
    while piece := response.read1(READ_BYTES):
        *lines, rest = (rest + piece).split(b"\n")
        yield from lines


def _read_chunk(chunk: dict[str, Any]) -> Iterator[str]:
    if "error" in chunk:
        raise _make_cut(chunk["error"].get("message", ""))
    for choice in chunk["choices"]:
        text = choice["delta"].get("content")
        if text:
            yield text


def _read_error(
    response: urllib3.BaseHTTPResponse, address: str
) -> errors.RequestError:
    """Return the error in a router's answer; what can't be read is unknown."""
    retry_after = response.headers.get("Retry-After")
    try:
        found = json.loads(response.read())["error"]
        kind = KINDS[states.Outcome(found["outcome"])]
    except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError) as error:
        return _make_lost(address, error)
    finally:
        response.release_conn()
    return kind(
        found["message"],
        code=found["code"],
        status=response.status,
        retry_after=float(retry_after) if retry_after else None,
        step=found["step"],
        peer=found["peer"] or address,
    )


def _settle(request: _Request, error: errors.RequestError) -> errors.RequestError:
    """Return what is known of a request after its last attempt.

    A refusal of the last attempt says nothing about an earlier one whose answer was
    lost; only a word about the ticket itself does.
    """
    if request.exposed and isinstance(error, errors.NotRun):
        return errors.OutcomeUnknown(
            f"an earlier attempt may have run; the last one: {error.message}",
            code="outcome-unknown",
            step=error.step,
            peer=error.peer,
        )
    if not request.exposed and isinstance(error, errors.OutcomeUnknown):
        return errors.NotRun(
            error.message, code=error.code, step=error.step, peer=error.peer
        )
    return error


def _make_lost(address: str, error: Exception) -> errors.OutcomeUnknown:
    return errors.OutcomeUnknown(
        f"no answer: {error}", code="no-answer", step="ask", peer=address
    )


def _make_cut(reason: object) -> errors.AnswerUnavailable:
    return errors.AnswerUnavailable(
        f"the answer is not whole: {reason}",
        code="answer-incomplete",
        step="read answer",
    )
