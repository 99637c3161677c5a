"""The client library: sends requests to a router fleet with safe retries.

A :class:`Client` asks the routers for the addresses to use, caches the list while it is
valid and switches to another address on failure. Each request that is not safe to
repeat carries a ticket, so that it can be retried after a lost answer without running
twice.
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

# Read timeout for one answer of a router, in seconds.
READ_TIMEOUT_SECONDS = 60.0
CONNECT_TIMEOUT_SECONDS = 2.0

# Mean delay before a retry if the router sends no Retry-After, in seconds. The actual
# delay is random between 50% and 150% of it, so that callers do not retry in step.
RETRY_DELAY_SECONDS = 0.5

# Attempts with an unknown outcome after which a request is given up as unknown.
UNKNOWN_ATTEMPTS_MAX = 4

TICKET_HEADER = "Celeryspan-Ticket"
REPEAT_HEADER = "Celeryspan-Repeat"
ERROR_HEADER = "Celeryspan-Error"

READ_SIZE_BYTES = 16_384

ERROR_TYPES = {
    states.Outcome.RAN: errors.AnswerUnavailable,
    states.Outcome.NOT_RUN: errors.NotRun,
    states.Outcome.UNKNOWN: errors.OutcomeUnknown,
}

CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class Reply(msgspec.Struct, frozen=True):
    """A complete answer.

    Attributes
    ----------
    outcome : Outcome
        Always RAN: the answer is that of a backend server.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    outcome: states.Outcome

    def read_json(self) -> Any:
        """Return the body parsed as JSON."""
        return json.loads(self.body)


class _Request(msgspec.Struct):
    """The state of one request across its attempts.

    Attributes
    ----------
    deadline : float
        Time on the monotonic clock after which no retry begins, in seconds.
    is_safe : bool
        Whether the method can be repeated without a ticket.
    may_have_run : bool
        Whether an attempt with the current ticket had an unknown outcome.
    unknown_attempts : int
        Number of failed attempts while that is the case.
    """

    method: str
    path: str
    body: bytes
    headers: dict[str, str]
    deadline: float
    is_safe: bool
    ticket: str = ""
    may_have_run: bool = False
    unknown_attempts: int = 0


class Client:
    """Sends requests to a fleet of routers for one client account.

    Parameters
    ----------
    routers : sequence of str
        Initial addresses ``host:port``, of which one must be reachable.
    key : str
        API key of the client account.
    seconds : float
        Maximum time for a request with all its retries, in seconds.
    """

    def __init__(
        self, routers: Sequence[str], key: str, *, seconds: float = READ_TIMEOUT_SECONDS
    ) -> None:
        self._key = key
        self._seconds = seconds
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_SECONDS, read=READ_TIMEOUT_SECONDS
            ),
        )
        self._address_book = addressbook.AddressBook(self._pool, routers)
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
            If the call did not run.
        errors.OutcomeUnknown
            If the call may have run.
        errors.AnswerUnavailable
            If the call ran and its answer is incomplete or no longer available.
        """
        target = f"/v1/services/{service}/{path.lstrip('/')}"
        request = self._make_request(method, target, body, headers or {})
        return self._read_reply(self._send_with_retries(request))

    def chat(
        self, model: str, messages: Sequence[dict[str, str]], **options: object
    ) -> str:
        """Return the text of a model's answer; raises the errors of :meth:`call`."""
        reply = self._read_reply(
            self._send_with_retries(self._make_chat_request(model, messages, options))
        )
        return reply.read_json()["choices"][0]["message"]["content"]

    def stream(
        self, model: str, messages: Sequence[dict[str, str]], **options: object
    ) -> Iterator[str]:
        """Yield the parts of a model's answer as they arrive.

        Raises the errors of :meth:`call`. An answer that ends prematurely raises
        ``AnswerUnavailable`` after the parts that were received.
        """
        options = {**options, "stream": True}
        response = self._send_with_retries(
            self._make_chat_request(model, messages, options)
        )
        try:
            yield from _read_stream(response)
        finally:
            response.close()

    def _make_chat_request(
        self, model: str, messages: Sequence[dict[str, str]], options: dict[str, object]
    ) -> _Request:
        question = {"model": model, "messages": list(messages), **options}
        headers = {"Content-Type": "application/json"}
        body = json.dumps(question).encode()
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
            is_safe=method in calls.SAFE_METHODS,
        )

    def _send_with_retries(self, request: _Request) -> urllib3.BaseHTTPResponse:
        """Return the answer of a backend server, retrying errors of routers."""
        while True:
            address = self._choose_address(request)
            try:
                response = self._send(address, request)
            except urllib3.exceptions.HTTPError as error:
                self._address_book.drop(address)
                request.may_have_run |= not isinstance(error, CONNECT_ERRORS)
                self._wait_before_retry(
                    request, _make_no_answer_error(address, error), 0.0
                )
                continue
            if ERROR_HEADER not in response.headers:
                return response
            self._handle_error(request, response, address)

    def _choose_address(self, request: _Request) -> str:
        """Return the preferred address, after assigning a ticket if one is needed."""
        addresses = self._address_book.read(request.deadline)
        if not request.is_safe and not request.ticket:
            request.ticket = self._address_book.take_ticket()
        return addresses[0]

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

    def _handle_error(
        self, request: _Request, response: urllib3.BaseHTTPResponse, address: str
    ) -> None:
        """Wait before a retry, or raise the router's error if it is final."""
        error = _read_error(response, address)
        seconds = error.retry_after
        if error.outcome is states.Outcome.RAN:
            raise error
        if error.outcome is states.Outcome.UNKNOWN:
            request.may_have_run = True
            if seconds is None and REPEAT_HEADER not in response.headers:
                seconds = RETRY_DELAY_SECONDS
        elif REPEAT_HEADER in response.headers or not request.may_have_run:
            # The request has not run with this ticket and never will; use a new one.
            request.may_have_run = False
            request.ticket = ""
        self._wait_before_retry(request, error, seconds)

    def _wait_before_retry(
        self, request: _Request, error: errors.RequestError, seconds: float | None
    ) -> None:
        """Wait before a retry; raises the final error if no retry is allowed.

        Parameters
        ----------
        seconds : float or None
            Minimum wait; None if the router does not allow a retry.
        """
        if request.may_have_run:
            request.unknown_attempts += 1
        wait = RETRY_DELAY_SECONDS * (0.5 + self._random.random())
        wait = max(wait, seconds or 0.0)
        may_retry = request.is_safe or request.ticket or not request.may_have_run
        past_deadline = time.monotonic() + wait >= request.deadline
        exhausted = request.unknown_attempts >= UNKNOWN_ATTEMPTS_MAX
        if seconds is None or not may_retry or past_deadline or exhausted:
            raise _resolve_error(request, error)
        time.sleep(wait)

    def _read_reply(self, response: urllib3.BaseHTTPResponse) -> Reply:
        try:
            body = response.read()
        except urllib3.exceptions.HTTPError as error:
            raise _make_incomplete_error(error) from error
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
        raise _make_incomplete_error(error) from error
    raise _make_incomplete_error("the stream ended without [DONE]")


def _split_lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    remainder = b""
    while piece := response.read1(READ_SIZE_BYTES):
        *lines, remainder = (remainder + piece).split(b"\n")
        yield from lines


def _read_chunk(chunk: dict[str, Any]) -> Iterator[str]:
    if "error" in chunk:
        raise _make_incomplete_error(chunk["error"].get("message", ""))
    for choice in chunk["choices"]:
        text = choice["delta"].get("content")
        if text:
            yield text


def _read_error(
    response: urllib3.BaseHTTPResponse, address: str
) -> errors.RequestError:
    """Return a router's error; an unreadable one counts as an unknown outcome."""
    retry_after = response.headers.get("Retry-After")
    try:
        found = json.loads(response.read())["error"]
        error_type = ERROR_TYPES[states.Outcome(found["outcome"])]
    except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError) as error:
        return _make_no_answer_error(address, error)
    finally:
        response.release_conn()
    return error_type(
        found["message"],
        code=found["code"],
        status=response.status,
        retry_after=float(retry_after) if retry_after else None,
        step=found["step"],
        peer=found["peer"] or address,
    )


def _resolve_error(
    request: _Request, error: errors.RequestError
) -> errors.RequestError:
    """Return the error of a request, taking all its attempts into account.

    A refusal of the last attempt does not show that an earlier one with a lost answer
    did not run; only a router's statement about the ticket does.
    """
    if request.may_have_run and isinstance(error, errors.NotRun):
        return errors.OutcomeUnknown(
            f"an earlier attempt may have run; the last error: {error.message}",
            code="outcome-unknown",
            step=error.step,
            peer=error.peer,
        )
    if not request.may_have_run and isinstance(error, errors.OutcomeUnknown):
        return errors.NotRun(
            error.message, code=error.code, step=error.step, peer=error.peer
        )
    return error


def _make_no_answer_error(address: str, error: Exception) -> errors.OutcomeUnknown:
    return errors.OutcomeUnknown(
        f"no valid answer from the router: {error}",
        code="no-answer",
        step="ask",
        peer=address,
    )


def _make_incomplete_error(reason: object) -> errors.AnswerUnavailable:
    return errors.AnswerUnavailable(
        f"the answer is incomplete: {reason}",
        code="answer-incomplete",
        step="read answer",
    )
