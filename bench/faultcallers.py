"""Callers of the faults measurement, which record the outcome of each request."""

from __future__ import annotations

import collections
import dataclasses
import enum
import itertools
import json
import random
import threading
import time
from collections.abc import Callable

import urllib3

from bench import faultfleet
from celeryspan import addressbook, client, errors
from standins import batch

ANSWER_SECONDS = 45.0
ATTEMPTS_MAX = 8
TOKENS = 25


class Outcome(enum.Enum):
    """The final outcome of a request; CROSSED is the answer to another request."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    INCOMPLETE = "incomplete"
    CROSSED = "crossed"


@dataclasses.dataclass(slots=True)
class Request:
    """One request with all its attempts.

    Attributes
    ----------
    marker : str
        Unique part of the path or prompt, to find the request in journals and answers.
    note : str
        Details of an outcome other than an answer.
    """

    kind: str
    marker: str
    started: float
    ended: float = 0.0
    outcome: Outcome = Outcome.UNKNOWN
    note: str = ""


class Callers:
    """Threads that send requests of several kinds until they are stopped."""

    def __init__(self, routers: list[str]) -> None:
        self.requests: list[Request] = []
        self._routers = routers
        self._pool = urllib3.PoolManager(
            maxsize=64,
            retries=False,
            timeout=urllib3.Timeout(connect=2.0, read=ANSWER_SECONDS),
        )
        self._markers = itertools.count(1)
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self, kind: str, count: int, pause: float, account: str) -> None:
        """Start callers of one kind; ``pause`` is the mean pause in seconds."""
        for index in range(count):
            generator = random.Random(f"{kind} {account} {index}")
            thread = threading.Thread(
                target=self._send_all,
                args=(KINDS[kind], kind, generator, pause, account),
                daemon=True,
            )
            self._threads.append(thread)
            thread.start()

    def flood(self, count: int, seconds: float) -> None:
        """Send model requests of one client account from many threads."""
        flood = Callers(self._routers)
        flood._markers = (f"f{number}" for number in itertools.count(1))
        flood.start("model", count, 0.0, "airline")
        time.sleep(seconds)
        flood.stop()
        self.requests += flood.requests

    def stop(self) -> None:
        """Stop sending and wait for outstanding answers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def count(self) -> dict[str, int]:
        """Return the number of requests by outcome."""
        found = collections.Counter(
            request.outcome.value for request in list(self.requests)
        )
        return dict(found)

    def _send_all(
        self,
        send: Callable[[Caller, Request], None],
        kind: str,
        generator: random.Random,
        pause: float,
        account: str,
    ) -> None:
        caller = Caller(self._pool, self._routers, account, generator)
        while not self._stopped.is_set():
            request = Request(kind, f"m{next(self._markers)}x", time.time())
            try:
                send(caller, request)
            except errors.RequestError as error:
                request.outcome, request.note = classify_error(error), str(error)
            except urllib3.exceptions.HTTPError as error:
                request.outcome, request.note = Outcome.UNKNOWN, repr(error)
            request.ended = time.time()
            self.requests.append(request)
            if pause:
                self._stopped.wait(generator.expovariate(1 / pause))
            elif request.outcome is Outcome.NOT_RUN:
                self._stopped.wait(0.5)


class Caller:
    """One caller with its client account and address book."""

    def __init__(
        self,
        pool: urllib3.PoolManager,
        routers: list[str],
        account: str,
        generator: random.Random,
    ) -> None:
        self.account = account
        self.random = generator
        self.book = addressbook.AddressBook(pool, routers)
        self.library = client.Client(routers, account, seconds=ANSWER_SECONDS)
        self._pool = pool

    def post(self, path: str, body: bytes, **headers: str) -> urllib3.BaseHTTPResponse:
        """Send once; tries another address only if nothing was sent to the last."""
        fields = {"Authorization": f"Bearer {self.account}", **headers}
        deadline = time.monotonic() + ANSWER_SECONDS
        while True:
            address = self.random.choice(self.book.read(deadline)[:3])
            try:
                return self._pool.request(
                    "POST",
                    f"http://{address}{path}",
                    body=body,
                    headers={**fields, "Connection": "close"},
                )
            except client.CONNECT_ERRORS:
                self.book.drop(address)


def send_model(caller: Caller, request: Request) -> None:
    """Read a stream to its end and compare it with the expected output."""
    messages = [
        {"role": "system", "content": "You plan turnarounds. " * 8},
        {"role": "user", "content": f"plan {request.marker}"},
    ]
    stream = caller.library.stream(faultfleet.MODEL, messages, max_tokens=TOKENS)
    text = "".join(stream)
    digest = batch.digest_prompt(messages)
    if text == "".join(f"{digest}.{index} " for index in range(TOKENS)):
        request.outcome = Outcome.ANSWERED
    else:
        is_complete = text.count(" ") == TOKENS
        request.outcome, request.note = (
            Outcome.CROSSED if is_complete else Outcome.INCOMPLETE,
            text[-200:],
        )


def send_unnamed(caller: Caller, request: Request) -> None:
    """Send a call without retries."""
    record_answer(request, caller.post(make_path(request), request.marker.encode()))


def send_idempotent(caller: Caller, request: Request) -> None:
    """Send an idempotent call, which the routers may retry."""
    path = f"/v1/services/{faultfleet.GATE}/status/{request.marker}"
    record_answer(request, caller.post(path, request.marker.encode()))


def send_by_library(caller: Caller, request: Request) -> None:
    """Send through the client library, which retries with a ticket."""
    path = f"/clearances/{request.marker}"
    reply = caller.library.call(faultfleet.GATE, path, body=request.marker.encode())
    record_body(request, reply.status, reply.body)


def send_with_key(caller: Caller, request: Request) -> None:
    """Retry with an idempotency key through any router."""
    send_with_retries(caller, request, {"Idempotency-Key": f"key-{request.marker}"})


def send_with_ticket(caller: Caller, request: Request) -> None:
    """Retry with one ticket through any router."""
    caller.book.read(time.monotonic() + ANSWER_SECONDS)
    send_with_retries(caller, request, {"Celeryspan-Ticket": caller.book.take_ticket()})


def send_with_retries(
    caller: Caller, request: Request, headers: dict[str, str]
) -> None:
    """Send until the request is answered, and in half of the cases once more.

    The additional attempt must not run the request again.

    The outcome is NOT_RUN only if no attempt had an unknown outcome.
    """
    has_unknown = False
    repeats = caller.random.random() < 0.5
    for _ in range(ATTEMPTS_MAX):
        try:
            answer = caller.post(make_path(request), request.marker.encode(), **headers)
        except urllib3.exceptions.HTTPError as error:
            has_unknown, request.note = True, repr(error)
            continue
        record_answer(request, answer)
        has_unknown |= request.outcome is Outcome.UNKNOWN
        if request.outcome is Outcome.ANSWERED:
            if not repeats:
                return
            repeats = False
            caller.post(make_path(request), request.marker.encode(), **headers)
            return
        time.sleep(0.5)
    if has_unknown and request.outcome is Outcome.NOT_RUN:
        request.outcome = Outcome.UNKNOWN


KINDS: dict[str, Callable[[Caller, Request], None]] = {
    "model": send_model,
    "unnamed": send_unnamed,
    "reading": send_idempotent,
    "library": send_by_library,
    "key": send_with_key,
    "ticket": send_with_ticket,
}


def make_path(request: Request) -> str:
    """Return the path of a clearance request."""
    return f"/v1/services/{faultfleet.GATE}/clearances/{request.marker}"


def record_answer(request: Request, answer: urllib3.BaseHTTPResponse) -> None:
    """Record the outcome in a router's answer."""
    outcome = answer.headers.get("Celeryspan-Outcome", "")
    if client.ERROR_HEADER not in answer.headers:
        record_body(request, answer.status, answer.data)
        return
    request.outcome = Outcome.NOT_RUN if outcome == "not-run" else Outcome.UNKNOWN
    request.note = answer.data.decode(errors="replace")


def record_body(request: Request, status: int, body: bytes) -> None:
    """Compare an answer of the gate desk with the request."""
    try:
        found = json.loads(body)
        is_own = found["body"] == request.marker and found["path"].endswith(
            f"/{request.marker}"
        )
    except (ValueError, KeyError):
        request.outcome, request.note = Outcome.INCOMPLETE, f"{status} {body[:200]!r}"
        return
    request.outcome = Outcome.ANSWERED if is_own else Outcome.CROSSED
    request.note = "" if is_own else body[:200].decode(errors="replace")


def classify_error(error: errors.RequestError) -> Outcome:
    """Return the outcome that an error of the client library means."""
    return Outcome.NOT_RUN if isinstance(error, errors.NotRun) else Outcome.UNKNOWN
