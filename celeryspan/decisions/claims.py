"""One router's ledger of named requests, which keeps repeats from running twice.

Callers repeat a request under the same ticket or ``Idempotency-Key`` when its answer
was lost or late, while the first request is queued, running or long finished. Without a
record of the first request the repeat would run again.

A name (ticket or key) belongs to one router incarnation, whose ledger alone decides
whether the request runs. A record outlives the ticket, so that a used ticket is never
taken for a new one. When the ledger is full, new names are refused: evicting a record
early could run a request twice.
"""

from __future__ import annotations

import collections
import enum
import hashlib
from typing import NamedTuple

import msgspec

from celeryspan import ids, states
from celeryspan.decisions import tickets

# A record without its answer takes 490 bytes, so a full ledger takes 49 MB. It fills
# when one router receives 150 named requests per second for 600 s.
RECORDS_MAX = 100_000

# Longer than a ticket is valid, so that the record outlives the ticket.
RECORD_RETENTION_SECONDS = tickets.VALID_SECONDS + 60.0

# Maximum size of all kept answers together and of one answer. Most repeats arrive
# within seconds, while the newest answers are still kept.
ANSWERS_BYTES_MAX = 64 * 1024 * 1024
ANSWER_BYTES_MAX = 262_144

# How long the object API keeps the claim of a key: callers may repeat a request for a
# day. Claims of one day share a prefix, so that old ones can be listed and deleted.
DAY_SECONDS = 86_400
CLAIM_RETENTION_DAYS = 1

# Maximum tolerated difference between the clocks of two routers. Clocks in a data
# centre agree within milliseconds; a machine that is minutes off is replaced.
CLOCK_SKEW_MAX_SECONDS = 300


class NameKind(enum.Enum):
    """The kind of name under which a caller sends a request."""

    TICKET = "ticket"
    KEY = "key"


class RequestName(NamedTuple):
    """The name that identifies repeats of a request.

    It includes the account, so that no account can obtain the answer of another.
    """

    kind: NameKind
    account: ids.AccountId
    text: str


class Answer(msgspec.Struct, frozen=True):
    """A complete HTTP answer, kept to be replayed to repeats."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Owner(NamedTuple):
    """The router incarnation that owns a name."""

    router: ids.RouterId
    incarnation: ids.Incarnation


class Claim(msgspec.Struct, frozen=True):
    """The claim of an idempotency key, as stored in the object API.

    Attributes
    ----------
    answer : Answer or None
        The answer, if the owner has published it.
    place, version : str, int
        Object key and version of a claim written by this router; unset if it was read.
    """

    owner: Owner
    digest: str
    answer: Answer | None = None
    place: str = ""
    version: int = 0


class Decision(enum.Enum):
    """How to handle a request that carries a name."""

    RUN = "run"
    WAIT = "wait"
    REPEAT = "repeat"
    MISMATCH = "mismatch"
    FULL = "full"


class Stage(enum.Enum):
    """The progress of a named request."""

    RUNNING = "running"
    FREE = "free"
    SETTLED = "settled"


class Record(msgspec.Struct):
    """The state of one named request.

    Attributes
    ----------
    digest : str
        Hash of the request, so that a name can't be reused for a different one.
    claim : Claim or None
        For a key: this router's claim in the object API.
    answer : Answer or None
        The answer, if it was complete and is still kept.
    """

    digest: str
    since: float
    stage: Stage = Stage.RUNNING
    claim: Claim | None = None
    outcome: states.Outcome = states.Outcome.UNKNOWN
    answer: Answer | None = None


class Ledger:
    """Records of the named requests that one router incarnation owns."""

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
        """Total size of the kept answers, in bytes."""
        return self._answer_bytes

    def find(self, name: RequestName) -> Record | None:
        """Return the record of a name, or None."""
        return self._records.get(name)

    def begin(self, name: RequestName, digest: str, now: float) -> Decision:
        """Decide on a request; after RUN the caller must settle or release the name."""
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
        """Allow another attempt, since the request certainly did not run."""
        self._records[name].stage = Stage.FREE

    def remove(self, name: RequestName) -> None:
        """Remove a name that another router owns."""
        self._records.pop(name, None)

    def settle(
        self, name: RequestName, outcome: states.Outcome, answer: Answer | None = None
    ) -> None:
        """Record the outcome of a request and keep its answer if it is small enough."""
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
        """Remove old records; renew those whose request is still running."""
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
    """Return a fixed-length hash of a name, whose text may hold any characters."""
    return hashlib.sha256(f"{name.account}/{name.text}".encode()).hexdigest()


def find_claim_days(now: float) -> tuple[int, tuple[int, ...]]:
    """Return the day to claim under, and the other days that may hold a claim.

    Parameters
    ----------
    now : float
        Unix time in seconds, by the clock of this router.
    """
    today = int(now // DAY_SECONDS)
    first = int((now - CLAIM_RETENTION_DAYS * DAY_SECONDS) // DAY_SECONDS)
    last = int((now + CLOCK_SKEW_MAX_SECONDS) // DAY_SECONDS)
    return today, tuple(day for day in range(first, last + 1) if day != today)
