"""What one router remembers of requests that may come again.

Load and faults it answers: callers repeat a request with its ticket or its
``Idempotency-Key`` because an answer was lost or late, while the first is waiting,
running or long ended. Without a memory the repeat runs again.

A name (ticket or key) belongs to one router incarnation; its ledger alone decides
whether the request runs. A record is kept for as long as a ticket is valid, so that a
used ticket is never taken for a new one. When the ledger is full new names are
refused, not run: dropping a record early could run a request twice.
"""

from __future__ import annotations

import collections
import enum
import hashlib
from typing import NamedTuple

import msgspec

from celeryspan import ids, states
from celeryspan.decisions import tickets

# A record without its answer takes 490 bytes (measured over 100,000 of them): 49 MB
# when full. Reached by 150 named requests a second for 600 s at one router.
RECORDS_MAX = 100_000

# Longer than a ticket is valid, so that its record outlives it.
RECORD_RETENTION_SECONDS = tickets.VALID_SECONDS + 60.0

# Answers kept for repeats, all together and each, in bytes. Most repeats come within
# seconds, when the newest answers are still here.
ANSWERS_BYTES_MAX = 64 * 1024 * 1024
ANSWER_BYTES_MAX = 262_144


# How long a key is remembered by the object API, in days: callers may repeat a
# request for a day. Claims of one day share a prefix, so that old ones can be found.
DAY_SECONDS = 86_400
CLAIM_RETENTION_DAYS = 1

# Greatest difference between the clocks of two routers, in seconds; clocks of a data
# centre agree within milliseconds, one that is minutes off is replaced.
CLOCK_SKEW_MAX_SECONDS = 300


class NameKind(enum.Enum):
    """How a caller names a request."""

    TICKET = "ticket"
    KEY = "key"


class RequestName(NamedTuple):
    """What makes a repeat recognisable.

    The account belongs to it, so that none can ask for another's answer.
    """

    kind: NameKind
    account: ids.AccountId
    text: str


class Answer(msgspec.Struct, frozen=True):
    """An answer as it was given, to be given again."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Owner(NamedTuple):
    """The router incarnation to which a name belongs."""

    router: ids.RouterId
    incarnation: ids.Incarnation


class Claim(msgspec.Struct, frozen=True):
    """What stands in the object API for a key.

    Attributes
    ----------
    answer : Answer or None
        The answer, if its owner has put it there.
    place, version : str, int
        Where this router wrote it and at which version; empty for what was read.
    """

    owner: Owner
    digest: str
    answer: Answer | None = None
    place: str = ""
    version: int = 0


class Decision(enum.Enum):
    """What to do with a request that carries a name."""

    RUN = "run"
    WAIT = "wait"
    REPEAT = "repeat"
    MISMATCH = "mismatch"
    FULL = "full"


class Stage(enum.Enum):
    """How far the request of a name has come."""

    RUNNING = "running"
    FREE = "free"
    SETTLED = "settled"


class Record(msgspec.Struct):
    """What is known about one name.

    Attributes
    ----------
    digest : str
        Hash of the request, so that a name can't be used for another one.
    claim : Claim or None
        For a key: this router's claim in the object API.
    answer : Answer or None
        The answer, if it was whole and is still kept.
    """

    digest: str
    since: float
    stage: Stage = Stage.RUNNING
    claim: Claim | None = None
    outcome: states.Outcome = states.Outcome.UNKNOWN
    answer: Answer | None = None


class Ledger:
    """The records of one router incarnation."""

    def __init__(self, records_max: int = RECORDS_MAX) -> None:
        self._records: collections.OrderedDict[RequestName, Record] = (
            collections.OrderedDict()
        )
        self._answer_sizes: collections.OrderedDict[RequestName, int] = (
            collections.OrderedDict()
        )
        self._records_max = records_max
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def answer_bytes(self) -> int:
        """Size of the answers kept, in bytes."""
        return self._answer_bytes

    def find(self, name: RequestName) -> Record | None:
        """Return the record of a name, if there is one."""
        return self._records.get(name)

    def begin(self, name: RequestName, digest: str, now: float) -> Decision:
        """Decide on a request; after RUN its caller must settle or free the name."""
        self._expire(now)
        record = self._records.get(name)
        if record is None:
            if len(self._records) >= self._records_max:
                return Decision.FULL
            self._records[name] = Record(digest, now)
            return Decision.RUN
        if record.digest != digest:
            return Decision.MISMATCH
        if record.stage is Stage.RUNNING:
            return Decision.WAIT
        if record.stage is Stage.SETTLED:
            return Decision.REPEAT
        record.stage = Stage.RUNNING
        return Decision.RUN

    def release(self, name: RequestName) -> None:
        """Note that the request was certainly not run and may be tried again."""
        self._records[name].stage = Stage.FREE

    def remove(self, name: RequestName) -> None:
        """Drop a name that belongs to another router."""
        self._records.pop(name, None)

    def settle(
        self, name: RequestName, outcome: states.Outcome, answer: Answer | None = None
    ) -> None:
        """Note how the request ended."""
        record = self._records[name]
        record.stage = Stage.SETTLED
        record.outcome = outcome
        if answer is not None and len(answer.body) <= ANSWER_BYTES_MAX:
            record.answer = answer
            self._answer_sizes[name] = len(answer.body)
            self._answer_bytes += len(answer.body)
            self._evict_answers()

    def _evict_answers(self) -> None:
        while self._answer_bytes > ANSWERS_BYTES_MAX:
            name, size = self._answer_sizes.popitem(last=False)
            self._answer_bytes -= size
            if name in self._records:
                self._records[name].answer = None

    def _expire(self, now: float) -> None:
        """Drop records that are too old; those still running go to the end."""
        while self._records:
            name, record = next(iter(self._records.items()))
            if now - record.since <= RECORD_RETENTION_SECONDS:
                return
            if record.stage is Stage.RUNNING:
                record.since = now
                self._records.move_to_end(name)
                continue
            del self._records[name]
            self._answer_bytes -= self._answer_sizes.pop(name, 0)


def hash_name(name: RequestName) -> str:
    """Return a fixed-length text for a name, which may hold anything."""
    return hashlib.sha256(f"{name.account}/{name.text}".encode()).hexdigest()


def find_claim_days(now: float) -> tuple[int, tuple[int, ...]]:
    """Return the day to claim in, and the others in which a claim may stand.

    Parameters
    ----------
    now : float
        Seconds since the epoch, by the clock of this router.
    """
    today = int(now // DAY_SECONDS)
    first = int((now - CLAIM_RETENTION_DAYS * DAY_SECONDS) // DAY_SECONDS)
    last = int((now + CLOCK_SKEW_MAX_SECONDS) // DAY_SECONDS)
    return today, tuple(day for day in range(first, last + 1) if day != today)
