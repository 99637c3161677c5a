"""Which requests crash the servers that run them, and get no server any more.

One request that crashes each server that begins to run it comes again and again, each
time under another id and by another router. Without a memory of what ran on crashed
servers it takes a service away from everybody.

* Each request that ran on a crashed server gets a strike. Most of them only ran beside
  the cause: an answer by a server, at any time after, acquits a request.
* After two prompt crashes a request runs alone of its kind and beside no other such
  request (isolation, kept by the homes of pools), so that the next has one cause.
* After three a request is in quarantine and is refused. Who ran beside it is not
  blamed for those crashes: the fewest requests that explain all crashes are held.
* Servers that crash together, as in a loss of power, are one trial: a popular request
  runs on many of them, and has had no time to be acquitted.

What is known merges in any order, so that routers agree without asking each other.
"""

from __future__ import annotations

import collections
import enum
import heapq
from collections.abc import Iterable, Mapping

import msgspec
import xxhash

from celeryspan.decisions import crashes
from celeryspan.wire import messages

PROMPT_POINTS = 2
LATE_POINTS = 1
ISOLATION_POINTS = 4
QUARANTINE_POINTS = 6
"""Two and three prompt crashes. A run that had worked for a while before its server
crashed is less likely the cause, and counts half."""

QUARANTINE_TRIALS = 2
"""Least number of trials, so that servers which crash at once convict nobody."""

PROMPT_SECONDS = 1.0
"""A crash within this time of the beginning of a run is prompt."""

STRIKE_RETENTION_MS = 24 * 3600 * 1000
"""How long a crash counts, in milliseconds."""

ACQUITTED_RETENTION_MS = 300 * 1000
"""How long a request is remembered against which no crash counts: news of its crashes
may still be on their way."""

EXPIRY_STEP_MS = 60 * 1000
"""Routers forget at the same moments, so that they go on to know the same."""

SUSPECTS_MAX = 1_000
"""Requests remembered; of more, those with fewest and oldest strikes are forgotten by
all routers alike, so that they go on to know the same."""

EVICTION_HEAP_MAX = 4 * SUSPECTS_MAX
"""Entries of the heap, outdated ones among them, beyond which it is built anew."""

STRIKES_MAX = 6
"""Newest strikes remembered of one request."""

TRIAL_MAX = 255


EvictionPriority = tuple[int, int]


class Standing(enum.Enum):
    """How a request is treated."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    ISOLATED = "isolated"
    QUARANTINED = "quarantined"


class StandingChange(msgspec.Struct, frozen=True):
    """A request whose standing has changed."""

    suspect: messages.Suspect
    before: Standing
    after: Standing


class Quarantine:
    """All requests under which servers have crashed, as one router knows them.

    Not safe for several threads at once but for :meth:`find_standing` and
    :meth:`may_know`.
    """

    def __init__(self) -> None:
        self._suspects: dict[int, messages.Suspect] = {}
        self._standings: dict[int, Standing] = {}
        self._candidates: dict[int, list[messages.Strike]] = {}
        self._causes: frozenset[int] = frozenset()
        self._scope_counts: collections.Counter[int] = collections.Counter()
        self._eviction_heap: list[tuple[EvictionPriority, int]] = []
        self._digest = 0

    def __len__(self) -> int:
        return len(self._suspects)

    @property
    def digest(self) -> int:
        """A hash of all that is known; 0 if that is nothing."""
        return self._digest

    @property
    def is_empty(self) -> bool:
        """Whether every request is clear."""
        return not self._scope_counts

    def may_be_suspect(self, scope: int) -> bool:
        """Whether a request with this scope may be suspected."""
        return scope in self._scope_counts

    def find_standing(self, whole: int) -> Standing:
        """Return how a request is treated."""
        return self._standings.get(whole, Standing.CLEAR)

    def find_suspect(self, whole: int) -> messages.Suspect | None:
        """Return what is known of a request, or None."""
        return self._suspects.get(whole)

    def list_suspects(self) -> list[messages.Suspect]:
        """Return all that is known."""
        return list(self._suspects.values())

    def count_quarantined(self) -> int:
        """Return how many requests are refused."""
        return len(self._causes)

    def count_by_standing(self, standing: Standing) -> int:
        """Return how many requests are treated so."""
        return sum(each is standing for each in self._standings.values())

    def merge(
        self, suspects: Iterable[messages.Suspect], now_ms: int
    ) -> tuple[list[messages.Suspect], list[StandingChange]]:
        """Take in what is known elsewhere, or was just seen here.

        Parameters
        ----------
        now_ms : int
            Time of day, in Unix milliseconds.

        Returns
        -------
        list of Suspect
            What is new, as it is known now.
        list of Change
            Requests that are treated otherwise from now on.
        """
        news: dict[int, messages.Suspect] = {}
        for suspect in suspects:
            known = self._suspects.get(suspect.whole)
            merged = merge_suspects(known, suspect) if known else trim_strikes(suspect)
            if merged != known and not is_expired(merged, now_ms):
                self._store(merged)
                news[suspect.whole] = merged
        evicted = self._evict()
        changes = self._update_standings([*news.values(), *evicted])
        return [each for each in news.values() if each.whole in self._suspects], changes

    def expire(self, now_ms: int) -> list[StandingChange]:
        """Forget crashes that are too long ago."""
        outdated = [
            suspect
            for suspect in self._suspects.values()
            if is_expired(suspect, now_ms)
        ]
        for suspect in outdated:
            self._remove(suspect.whole)
        return self._update_standings(outdated)

    def acquit(self, whole: int) -> messages.Suspect | None:
        """Return the word that no crash known by now counts against a request.

        None if none does; the word is to be merged and told.
        """
        suspect = self._suspects.get(whole)
        strikes = list_strikes(suspect) if suspect else []
        if not strikes:
            return None
        latest = max(strike.at_ms for strike in strikes)
        return msgspec.structs.replace(suspect, acquitted_ms=latest)

    def _store(self, suspect: messages.Suspect) -> None:
        self._remove(suspect.whole)
        self._suspects[suspect.whole] = suspect
        self._digest ^= hash_suspect(suspect)
        strikes = list_strikes(suspect)
        if strikes:
            self._scope_counts[suspect.scope] += 1
        if meets_quarantine_threshold(strikes):
            self._candidates[suspect.whole] = strikes
        heapq.heappush(
            self._eviction_heap, (_compute_eviction_priority(suspect), suspect.whole)
        )

    def _remove(self, whole: int) -> None:
        suspect = self._suspects.pop(whole, None)
        if suspect is None:
            return
        self._digest ^= hash_suspect(suspect)
        self._candidates.pop(whole, None)
        if not list_strikes(suspect):
            return
        self._scope_counts[suspect.scope] -= 1
        if not self._scope_counts[suspect.scope]:
            del self._scope_counts[suspect.scope]

    def _evict(self) -> list[messages.Suspect]:
        """Drop the lightest of what is too much; returns it."""
        evicted = []
        while len(self._suspects) > SUSPECTS_MAX:
            weight, whole = heapq.heappop(self._eviction_heap)
            suspect = self._suspects.get(whole)
            if suspect is not None and _compute_eviction_priority(suspect) == weight:
                self._remove(whole)
                evicted.append(suspect)
        if len(self._eviction_heap) > EVICTION_HEAP_MAX:
            self._eviction_heap = [
                (_compute_eviction_priority(suspect), whole)
                for whole, suspect in self._suspects.items()
            ]
            heapq.heapify(self._eviction_heap)
        return evicted

    def _update_standings(
        self, touched: Iterable[messages.Suspect]
    ) -> list[StandingChange]:
        """Work out the standing of requests of which something has changed."""
        causes = frozenset(find_causes(self._candidates))
        suspects = {suspect.whole: suspect for suspect in touched}
        for whole in causes ^ self._causes:
            if whole in self._suspects:
                suspects[whole] = self._suspects[whole]
        self._causes = causes
        changes = []
        for whole, suspect in suspects.items():
            before, now = self.find_standing(whole), self._compute_standing(whole)
            self._standings[whole] = now
            if now is Standing.CLEAR:
                del self._standings[whole]
            if before is not now:
                changes.append(StandingChange(suspect, before, now))
        return changes

    def _compute_standing(self, whole: int) -> Standing:
        if whole in self._causes:
            return Standing.QUARANTINED
        suspect = self._suspects.get(whole)
        points = count_points(list_strikes(suspect)) if suspect else 0
        if points >= ISOLATION_POINTS:
            return Standing.ISOLATED
        return Standing.SUSPECT if points else Standing.CLEAR


def make_suspect(run: crashes.LostRun, crash: str, now_ms: int) -> messages.Suspect:
    """Return the first word on a request under which a server has crashed."""
    is_prompt = not run.is_begun or run.seconds <= PROMPT_SECONDS
    strike = messages.Strike(
        crash=crash,
        at_ms=now_ms,
        trial=min(run.trial, TRIAL_MAX),
        run_ms=max(0, int(run.seconds * 1000)),
        is_prompt=is_prompt,
    )
    fingerprint = run.fingerprint
    return messages.Suspect(fingerprint.scope, fingerprint.whole, 0, (strike,))


def is_expired(suspect: messages.Suspect, now_ms: int) -> bool:
    """Whether a request may be forgotten."""
    latest = max(strike.at_ms for strike in suspect.strikes)
    memory_ms = STRIKE_RETENTION_MS if list_strikes(suspect) else ACQUITTED_RETENTION_MS
    return latest + memory_ms < now_ms - now_ms % EXPIRY_STEP_MS


def list_strikes(suspect: messages.Suspect) -> list[messages.Strike]:
    """Return the strikes that count against a request."""
    return [each for each in suspect.strikes if each.at_ms > suspect.acquitted_ms]


def count_trials(suspect: messages.Suspect | None) -> int:
    """Return how many crashes in a row count against a request."""
    strikes = list_strikes(suspect) if suspect else []
    return max((strike.trial for strike in strikes), default=0)


def merge_suspects(one: messages.Suspect, other: messages.Suspect) -> messages.Suspect:
    """Return all that two words on one request say."""
    strikes = {strike.crash: strike for strike in one.strikes}
    for strike in other.strikes:
        known = strikes.get(strike.crash)
        strikes[strike.crash] = _merge_strikes(known, strike) if known else strike
    return trim_strikes(
        messages.Suspect(
            one.scope,
            one.whole,
            max(one.acquitted_ms, other.acquitted_ms),
            tuple(strikes.values()),
        )
    )


def trim_strikes(suspect: messages.Suspect) -> messages.Suspect:
    """Return a suspect with its newest strikes in order."""
    strikes = sorted(suspect.strikes, key=lambda each: (each.at_ms, each.crash))
    return msgspec.structs.replace(suspect, strikes=tuple(strikes[-STRIKES_MAX:]))


def find_causes(strikes: Mapping[int, list[messages.Strike]]) -> list[int]:
    """Return the causes among requests with enough crashes, the surest first.

    A request is only blamed for crashes that no cause found before explains.
    """
    open_strikes = dict(strikes)
    causes: list[int] = []
    while open_strikes:
        cause = min(
            open_strikes, key=lambda whole: _make_blame_key(whole, open_strikes[whole])
        )
        causes.append(cause)
        explained = {strike.crash for strike in strikes[cause]}
        open_strikes = {
            whole: left
            for whole, found in open_strikes.items()
            if meets_quarantine_threshold(
                left := [each for each in found if each.crash not in explained]
            )
        }
    return causes


def meets_quarantine_threshold(strikes: list[messages.Strike]) -> bool:
    """Whether so many crashes can't be chance."""
    trials = max((strike.trial for strike in strikes), default=0)
    return count_points(strikes) >= QUARANTINE_POINTS and trials >= QUARANTINE_TRIALS


def count_points(strikes: Iterable[messages.Strike]) -> int:
    """Return the weight of some crashes."""
    return sum(PROMPT_POINTS if strike.is_prompt else LATE_POINTS for strike in strikes)


def hash_suspects(suspects: Iterable[messages.Suspect]) -> int:
    """Return a hash that is the same wherever the same is known."""
    digest = 0
    for suspect in suspects:
        digest ^= hash_suspect(suspect)
    return digest


def hash_suspect(suspect: messages.Suspect) -> int:
    """Return a hash of all that is known of one request."""
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(suspect))


def _make_blame_key(
    whole: int, strikes: list[messages.Strike]
) -> tuple[float, float, int]:
    """Return the order in which requests are blamed; the least is first."""
    mean_ms = sum(strike.run_ms for strike in strikes) / len(strikes)
    return -count_points(strikes), mean_ms, whole


def _merge_strikes(one: messages.Strike, other: messages.Strike) -> messages.Strike:
    return messages.Strike(
        one.crash,
        min(one.at_ms, other.at_ms),
        max(one.trial, other.trial),
        min(one.run_ms, other.run_ms),
        one.is_prompt or other.is_prompt,
    )


def _compute_eviction_priority(suspect: messages.Suspect) -> EvictionPriority:
    """Return what decides which suspects are forgotten first."""
    latest = max(strike.at_ms for strike in suspect.strikes)
    return len(list_strikes(suspect)), latest
