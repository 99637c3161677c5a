"""Callers of client accounts: they send requests and check each answer."""

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

ANSWER_SECONDS = 60.0
"""A caller gives a router up after so long without a byte."""

PAUSE_SECONDS = 0.05
"""Pause of a caller after a refusal that names no time."""

RETRY_SECONDS_MAX = 2.0
"""The demo is short, so its callers wait no longer than this after a refusal."""


class Ending(enum.Enum):
    """What a caller got."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    INCOMPLETE = "incomplete"


@dataclasses.dataclass(slots=True, eq=False)
class Ask:
    """One request of one caller.

    Attributes
    ----------
    mark : str
        Unique text in the request, by which journals are searched.
    began, first, ended : float
        Monotonic times of sending, first byte of the answer and end; 0 for not yet.
    units : float
        Service received so far, in cost units.
    """

    account: str
    service: str
    mark: str
    began: float
    first: float = 0.0
    ended: float = 0.0
    units: float = 0.0
    ending: Ending | None = None
    note: str = ""

    @property
    def waits(self) -> bool:
        """Whether nothing of the answer has come yet."""
        return not self.first and not self.ended


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """How one client account sends.

    Attributes
    ----------
    callers : int
        Requests that it has in progress at once.
    pause_seconds : float
        Mean pause of a caller between two requests, in seconds.
    service : str
        The service it calls.
    """

    account: str
    callers: int
    pause_seconds: float = 0.0
    service: str = fleet.MODEL


class Callers:
    """All callers of a demo or a test, a thread each.

    Attributes
    ----------
    asks : list of Ask
        Every request, in the order of sending.
    """

    def __init__(
        self, loads: list[Load], addresses: list[ids.Address], *, seed: int = 1
    ) -> None:
        self.asks: list[Ask] = []
        self._addresses = addresses
        self._pool = urllib3.PoolManager(
            maxsize=sum(load.callers for load in loads), retries=False
        )
        self._stop = threading.Event()
        self._marks = itertools.count(1)
        self._threads = [
            threading.Thread(
                target=self._send_all,
                args=(load, random.Random(f"{seed} {load.account} {place}")),
                name=f"caller {load.account} {place}",
                daemon=True,
            )
            for load in loads
            for place in range(load.callers)
        ]

    def start(self) -> None:
        """Begin to send."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Send no more, and wait for the answers that are due."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _send_all(self, load: Load, generator: random.Random) -> None:
        while not self._stop.wait(
            generator.expovariate(1 / load.pause_seconds) if load.pause_seconds else 0
        ):
            address = generator.choice(self._addresses)
            self._stop.wait(self._send(load, address, generator))

    def _send(
        self, load: Load, address: ids.Address, generator: random.Random
    ) -> float:
        """Send one request; return the pause after it, in seconds."""
        ask = Ask(load.account, load.service, f"ask-{next(self._marks)}", 0.0)
        ask.began = time.monotonic()
        self.asks.append(ask)
        call = _CALLS[load.service]
        pause = 0.0
        try:
            pause = call(self, ask, address, generator)
        except (urllib3.exceptions.HTTPError, ValueError, KeyError) as error:
            ask.ending, ask.note = Ending.UNKNOWN, repr(error)
        ask.ended = time.monotonic()
        return pause

    def _ask_model(
        self, ask: Ask, address: ids.Address, generator: random.Random
    ) -> float:
        subject = generator.choice(("turnaround", "handling notes", "stand conflicts"))
        messages = [
            {"role": "system", "content": f"You plan {subject}. " + "Be brief. " * 16},
            {"role": "user", "content": f"{subject} {ask.mark}"},
        ]
        body = {
            "model": ask.service,
            "messages": messages,
            "stream": True,
            "max_tokens": 200,
        }
        answer = self._post(ask, address, "/v1/chat/completions", body)
        if answer.status != 200:
            return _note_refusal(ask, answer)
        text, whole = self._read_stream(ask, answer)
        digest = batch.digest_prompt(messages)
        expected = "".join(f"{digest}.{place} " for place in range(int(ask.units)))
        _judge(ask, whole and text == expected and bool(text), text)
        return 0.0

    def _read_stream(
        self, ask: Ask, answer: urllib3.BaseHTTPResponse
    ) -> tuple[str, bool]:
        text, finished, whole = "", False, False
        for data in _read_events(answer):
            if data == "[DONE]":
                whole = finished
                continue
            ask.first = ask.first or time.monotonic()
            fields = json.loads(data)
            if "error" in fields:
                ask.note = json.dumps(fields)
                continue
            choice = fields["choices"][0]
            content = choice["delta"].get("content") or ""
            text += content
            ask.units += content.count(" ")
            finished = finished or choice.get("finish_reason") is not None
        return text, whole

    def _ask_gate(
        self, ask: Ask, address: ids.Address, generator: random.Random
    ) -> float:
        path = f"/v1/services/{ask.service}/clearances/{ask.mark}"
        answer = self._post(ask, address, path, {"tow": ask.mark})
        ask.first = time.monotonic()
        if answer.status != 200:
            return _note_refusal(ask, answer)
        ask.units = 1.0
        found = json.loads(answer.data)
        _judge(ask, ask.mark in found["path"] and ask.mark in found["body"], str(found))
        return 0.0

    def _post(
        self, ask: Ask, address: ids.Address, path: str, body: dict
    ) -> urllib3.BaseHTTPResponse:
        return self._pool.request(
            "POST",
            f"http://{address}{path}",
            headers={
                "Authorization": f"Bearer {ask.account}",
                "Content-Type": "application/json",
            },
            body=json.dumps(body).encode(),
            timeout=ANSWER_SECONDS,
            preload_content=not body.get("stream"),
        )


_CALLS: dict[str, Callable[[Callers, Ask, ids.Address, random.Random], float]] = {
    fleet.MODEL: Callers._ask_model,
    fleet.GATE: Callers._ask_gate,
}


def _read_events(answer: urllib3.BaseHTTPResponse) -> Iterator[str]:
    rest = b""
    for part in answer.stream(None):
        *lines, rest = (rest + part).split(b"\n")
        for line in lines:
            if line.startswith(b"data: "):
                yield line[6:].decode().strip()
    answer.release_conn()


def _note_refusal(ask: Ask, answer: urllib3.BaseHTTPResponse) -> float:
    outcome = answer.headers.get("Celeryspan-Outcome", "")
    ask.note = answer.data.decode(errors="replace")
    not_run = outcome == states.Outcome.NOT_RUN.value
    ask.ending = Ending.NOT_RUN if not_run else Ending.UNKNOWN
    retry_after = float(answer.headers.get("Retry-After", PAUSE_SECONDS))
    return min(retry_after, RETRY_SECONDS_MAX)


def _judge(ask: Ask, whole: bool, found: str) -> None:
    """Decide what a caller got that was told nothing but success.

    A stream that says itself that it broke off is of unknown outcome, not incomplete.
    """
    if whole:
        ask.ending = Ending.ANSWERED
    elif ask.note:
        ask.ending = Ending.UNKNOWN
    else:
        ask.ending, ask.note = Ending.INCOMPLETE, found[-200:]
