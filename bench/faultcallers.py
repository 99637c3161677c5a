"""Callers of the faults measurement: each remembers what it was told."""

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
KEY_ATTEMPTS = 8
TOKENS = 25


class Told(enum.Enum):
    """What a caller was told in the end."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    INCOMPLETE = "incomplete"
    CROSSED = "crossed"


@dataclasses.dataclass(slots=True)
class Ask:
    """One request with all its repeats.

    Attributes
    ----------
    mark : str
        Part of the path or the prompt, by which journals and answers are searched.
    """

    kind: str
    mark: str
    began: float
    ended: float = 0.0
    told: Told = Told.UNKNOWN
    note: str = ""


class Callers:
    """Threads that send requests of several kinds until they are stopped."""

    def __init__(self, routers: list[str]) -> None:
        self.asks: list[Ask] = []
        self._routers = routers
        self._pool = urllib3.PoolManager(
            maxsize=64,
            retries=False,
            timeout=urllib3.Timeout(connect=2.0, read=ANSWER_SECONDS),
        )
        self._marks = itertools.count(1)
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self, kind: str, count: int, pause: float, account: str) -> None:
        """Add callers of one kind; ``pause`` is the mean pause in seconds."""
        for place in range(count):
            generator = random.Random(f"{kind} {account} {place}")
            thread = threading.Thread(
                target=self._send_all,
                args=(KINDS[kind], kind, generator, pause, account),
                daemon=True,
            )
            self._threads.append(thread)
            thread.start()

    def flood(self, count: int, seconds: float) -> None:
        """Send model requests of one account from many threads for a time."""
        flood = Callers(self._routers)
        flood._marks = (f"f{number}" for number in itertools.count(1))
        flood.start("model", count, 0.0, "airline")
        time.sleep(seconds)
        flood.stop()
        self.asks += flood.asks

    def stop(self) -> None:
        """Send no more and wait for the answers that are due."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def count(self) -> dict[str, int]:
        """Return how many requests were told what."""
        found = collections.Counter(ask.told.value for ask in list(self.asks))
        return dict(found)

    def _send_all(
        self,
        send: Callable[[Caller, Ask], None],
        kind: str,
        generator: random.Random,
        pause: float,
        account: str,
    ) -> None:
        caller = Caller(self._pool, self._routers, account, generator)
        while not self._stopped.is_set():
            ask = Ask(kind, f"m{next(self._marks)}x", time.time())
            try:
                send(caller, ask)
            except errors.RequestError as error:
                ask.told, ask.note = judge_error(error), str(error)
            except urllib3.exceptions.HTTPError as error:
                ask.told, ask.note = Told.UNKNOWN, repr(error)
            ask.ended = time.time()
            self.asks.append(ask)
            if pause:
                self._stopped.wait(generator.expovariate(1 / pause))
            elif ask.told is Told.NOT_RUN:
                self._stopped.wait(0.5)


class Caller:
    """One caller: its key, its addresses and how it sends."""

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
        """Send to the first address that accepts; nothing is sent twice."""
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


def send_model(caller: Caller, ask: Ask) -> None:
    """Read a stream to its end and compare it with what the engine must write."""
    messages = [
        {"role": "system", "content": "You plan turnarounds. " * 8},
        {"role": "user", "content": f"plan {ask.mark}"},
    ]
    stream = caller.library.stream(faultfleet.MODEL, messages, max_tokens=TOKENS)
    text = "".join(stream)
    digest = batch.digest_prompt(messages)
    if text == "".join(f"{digest}.{place} " for place in range(TOKENS)):
        ask.told = Told.ANSWERED
    else:
        whole = text.count(" ") == TOKENS
        ask.told, ask.note = Told.CROSSED if whole else Told.INCOMPLETE, text[-200:]


def send_unnamed(caller: Caller, ask: Ask) -> None:
    """Send once, whatever comes."""
    judge_answer(ask, caller.post(make_path(ask), ask.mark.encode()))


def send_reading(caller: Caller, ask: Ask) -> None:
    """Send a call that the routers may repeat by themselves."""
    path = f"/v1/services/{faultfleet.GATE}/status/{ask.mark}"
    judge_answer(ask, caller.post(path, ask.mark.encode()))


def send_by_library(caller: Caller, ask: Ask) -> None:
    """Let the library repeat with a ticket."""
    path = f"/clearances/{ask.mark}"
    reply = caller.library.call(faultfleet.GATE, path, body=ask.mark.encode())
    judge_body(ask, reply.status, reply.body)


def send_with_key(caller: Caller, ask: Ask) -> None:
    """Repeat with a key through any router until the answer is clear."""
    repeat_named(caller, ask, {"Idempotency-Key": f"key-{ask.mark}"})


def send_with_ticket(caller: Caller, ask: Ask) -> None:
    """Repeat with one ticket through any router, and once more after the answer."""
    caller.book.read(time.monotonic() + ANSWER_SECONDS)
    repeat_named(caller, ask, {"Celeryspan-Ticket": caller.book.take_ticket()})


def repeat_named(caller: Caller, ask: Ask, name: dict[str, str]) -> None:
    """Send under one name several times and keep the clearest word.

    "Not run" counts only if no attempt was left without a clear word.
    """
    unclear = False
    extra = caller.random.random() < 0.5
    for _ in range(KEY_ATTEMPTS):
        try:
            answer = caller.post(make_path(ask), ask.mark.encode(), **name)
        except urllib3.exceptions.HTTPError as error:
            unclear, ask.note = True, repr(error)
            continue
        judge_answer(ask, answer)
        unclear |= ask.told is Told.UNKNOWN
        if ask.told is Told.ANSWERED:
            if not extra:
                return
            extra = False
            caller.post(make_path(ask), ask.mark.encode(), **name)
            return
        time.sleep(0.5)
    if unclear and ask.told is Told.NOT_RUN:
        ask.told = Told.UNKNOWN


KINDS: dict[str, Callable[[Caller, Ask], None]] = {
    "model": send_model,
    "unnamed": send_unnamed,
    "reading": send_reading,
    "library": send_by_library,
    "key": send_with_key,
    "ticket": send_with_ticket,
}


def make_path(ask: Ask) -> str:
    """Return the path of a clearance."""
    return f"/v1/services/{faultfleet.GATE}/clearances/{ask.mark}"


def judge_answer(ask: Ask, answer: urllib3.BaseHTTPResponse) -> None:
    """Note what a router's answer says."""
    outcome = answer.headers.get("Celeryspan-Outcome", "")
    if client.ERROR_HEADER not in answer.headers:
        judge_body(ask, answer.status, answer.data)
        return
    ask.told = Told.NOT_RUN if outcome == "not-run" else Told.UNKNOWN
    ask.note = answer.data.decode(errors="replace")


def judge_body(ask: Ask, status: int, body: bytes) -> None:
    """Compare an answer of the gate desk with the question."""
    try:
        found = json.loads(body)
        own = found["body"] == ask.mark and found["path"].endswith(f"/{ask.mark}")
    except (ValueError, KeyError):
        ask.told, ask.note = Told.INCOMPLETE, f"{status} {body[:200]!r}"
        return
    ask.told = Told.ANSWERED if own else Told.CROSSED
    ask.note = "" if own else body[:200].decode(errors="replace")


def judge_error(error: errors.RequestError) -> Told:
    """Return what the library's error says."""
    return Told.NOT_RUN if isinstance(error, errors.NotRun) else Told.UNKNOWN
