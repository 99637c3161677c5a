"""Load generator: callers of client accounts that check each response."""

from __future__ import annotations

import dataclasses
import enum
import itertools
import json
import random
import threading
import time
from collections.abc import Callable, Iterator

import urllib3

from celeryspan import ids, states
from standins import batch, fleet

READ_TIMEOUT_SECONDS = 60.0
"""Time without data after which a caller abandons its request."""

DEFAULT_RETRY_SECONDS = 0.05
"""Pause after a refusal without a ``Retry-After`` header."""

RETRY_SECONDS_MAX = 2.0
"""Maximum pause after a refusal; short, because the demo is short."""


class Outcome(enum.Enum):
    """Result of a request as its caller sees it."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    INCOMPLETE = "incomplete"


@dataclasses.dataclass(slots=True, eq=False)
class CallerRequest:
    """A request of a caller.

    Attributes
    ----------
    marker : str
        Unique text in the request, which identifies it in the journals.
    sent_at, first_byte_at, ended_at : float
        Monotonic times of sending, of the first content of the response and of
        its end; 0 if not reached yet.
    units : float
        Service received so far, in cost units.
    """

    account: str
    service: str
    marker: str
    sent_at: float
    first_byte_at: float = 0.0
    ended_at: float = 0.0
    units: float = 0.0
    outcome: Outcome | None = None
    note: str = ""

    @property
    def is_waiting(self) -> bool:
        """Whether no content of the response has arrived yet."""
        return not self.first_byte_at and not self.ended_at


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """Request pattern of a client account.

    Attributes
    ----------
    callers : int
        Number of concurrent callers, each with one request in progress.
    pause_seconds : float
        Mean pause of a caller between two requests, in seconds; 0 for none.
    service : str
        The service that is called.
    """

    account: str
    callers: int
    pause_seconds: float = 0.0
    service: str = fleet.MODEL


class Callers:
    """All callers of a demo or a test, each with its own thread.

    Attributes
    ----------
    requests : list of CallerRequest
        All requests, in the order of sending.
    """

    def __init__(
        self, workloads: list[Workload], addresses: list[ids.Address], *, seed: int = 1
    ) -> None:
        self.requests: list[CallerRequest] = []
        self._addresses = addresses
        self._pool = urllib3.PoolManager(
            maxsize=sum(load.callers for load in workloads), retries=False
        )
        self._stop = threading.Event()
        self._markers = itertools.count(1)
        self._threads = [
            threading.Thread(
                target=self._send_all,
                args=(load, random.Random(f"{seed} {load.account} {number}")),
                name=f"caller {load.account} {number}",
                daemon=True,
            )
            for load in workloads
            for number in range(load.callers)
        ]

    def start(self) -> None:
        """Start sending."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop sending, and wait for outstanding responses."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _send_all(self, workload: Workload, generator: random.Random) -> None:
        while not self._stop.wait(
            generator.expovariate(1 / workload.pause_seconds)
            if workload.pause_seconds
            else 0
        ):
            address = generator.choice(self._addresses)
            self._stop.wait(self._send(workload, address, generator))

    def _send(
        self, workload: Workload, address: ids.Address, generator: random.Random
    ) -> float:
        """Send a request; returns the pause after it, in seconds."""
        request = CallerRequest(
            workload.account, workload.service, f"ask-{next(self._markers)}", 0.0
        )
        request.sent_at = time.monotonic()
        self.requests.append(request)
        send = _SENDERS[workload.service]
        pause = 0.0
        try:
            pause = send(self, request, address, generator)
        except (urllib3.exceptions.HTTPError, ValueError, KeyError) as error:
            request.outcome, request.note = Outcome.UNKNOWN, repr(error)
        request.ended_at = time.monotonic()
        return pause

    def _send_to_model(
        self, request: CallerRequest, address: ids.Address, generator: random.Random
    ) -> float:
        subject = generator.choice(("turnaround", "handling notes", "stand conflicts"))
        messages = [
            {"role": "system", "content": f"You plan {subject}. " + "Be brief. " * 16},
            {"role": "user", "content": f"{subject} {request.marker}"},
        ]
        body = {
            "model": request.service,
            "messages": messages,
            "stream": True,
            "max_tokens": 200,
        }
        response = self._post(request, address, "/v1/chat/completions", body)
        if response.status != 200:
            return _note_refusal(request, response)
        text, complete = self._read_stream(request, response)
        digest = batch.digest_prompt(messages)
        expected = "".join(f"{digest}.{index} " for index in range(int(request.units)))
        _set_outcome(request, complete and text == expected and bool(text), text)
        return 0.0

    def _read_stream(
        self, request: CallerRequest, response: urllib3.BaseHTTPResponse
    ) -> tuple[str, bool]:
        text, finished, complete = "", False, False
        for data in _read_events(response):
            if data == "[DONE]":
                complete = finished
                continue
            request.first_byte_at = request.first_byte_at or time.monotonic()
            fields = json.loads(data)
            if "error" in fields:
                request.note = json.dumps(fields)
                continue
            choice = fields["choices"][0]
            content = choice["delta"].get("content") or ""
            text += content
            request.units += content.count(" ")
            finished = finished or choice.get("finish_reason") is not None
        return text, complete

    def _send_to_gate(
        self, request: CallerRequest, address: ids.Address, generator: random.Random
    ) -> float:
        path = f"/v1/services/{request.service}/clearances/{request.marker}"
        response = self._post(request, address, path, {"tow": request.marker})
        request.first_byte_at = time.monotonic()
        if response.status != 200:
            return _note_refusal(request, response)
        request.units = 1.0
        echo = json.loads(response.data)
        _set_outcome(
            request,
            request.marker in echo["path"] and request.marker in echo["body"],
            str(echo),
        )
        return 0.0

    def _post(
        self, request: CallerRequest, address: ids.Address, path: str, body: dict
    ) -> urllib3.BaseHTTPResponse:
        return self._pool.request(
            "POST",
            f"http://{address}{path}",
            headers={
                "Authorization": f"Bearer {request.account}",
                "Content-Type": "application/json",
            },
            body=json.dumps(body).encode(),
            timeout=READ_TIMEOUT_SECONDS,
            preload_content=not body.get("stream"),
        )


_SENDERS: dict[
    str, Callable[[Callers, CallerRequest, ids.Address, random.Random], float]
] = {
    fleet.MODEL: Callers._send_to_model,
    fleet.GATE: Callers._send_to_gate,
}


def _read_events(response: urllib3.BaseHTTPResponse) -> Iterator[str]:
    buffer = b""
    for chunk in response.stream(None):
        *lines, buffer = (buffer + chunk).split(b"\n")
        for line in lines:
            if line.startswith(b"data: "):
                yield line[6:].decode().strip()
    response.release_conn()


def _note_refusal(request: CallerRequest, response: urllib3.BaseHTTPResponse) -> float:
    header = response.headers.get("Celeryspan-Outcome", "")
    request.note = response.data.decode(errors="replace")
    not_run = header == states.Outcome.NOT_RUN.value
    request.outcome = Outcome.NOT_RUN if not_run else Outcome.UNKNOWN
    retry_after = float(response.headers.get("Retry-After", DEFAULT_RETRY_SECONDS))
    return min(retry_after, RETRY_SECONDS_MAX)


def _set_outcome(request: CallerRequest, correct: bool, response: str) -> None:
    """Set the outcome of a request whose response status was 200.

    The outcome of a stream with an error event is unknown, not incomplete.
    """
    if correct:
        request.outcome = Outcome.ANSWERED
    elif request.note:
        request.outcome = Outcome.UNKNOWN
    else:
        request.outcome, request.note = Outcome.INCOMPLETE, response[-200:]
