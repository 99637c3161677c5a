"""Tracks requests that crash the servers that run them, and quarantines them.

A request that crashes every server that starts it is usually resubmitted, each time
under a new id and through another router. Unless routers remember what ran on crashed
servers, one such request takes a whole service down.

* Every request that ran on a crashed server gets a strike. Most of them only ran next
  to the cause, so a request is acquitted as soon as any server answers it.
* After two prompt crashes a request is isolated: the pool homes run one copy of it at a
  time and never two isolated requests on the same server, so that the next crash can
  only be blamed on one of them.
* After three it is quarantined: routers refuse it. Requests that ran next to it are not
  blamed for its crashes, since only the fewest requests that explain all crashes are
  quarantined.
* Features that requests share, such as parts of their prompts, are suspected in the
  same way: requests that crash servers may be different each time. The narrowest one
  that explains the crashes is blamed.
* Servers that crash together, for example in a power failure, count as one trial. A
  popular request runs on many of them and has had no time to be acquitted.

Merging is commutative and idempotent, so routers converge without coordination.
"""

from __future__ import annotations

import collections
import enum
import heapq
from collections.abc import Iterable, Iterator

import msgspec
import xxhash

from celeryspan.decisions import blame, crashes, suspectfeatures
from celeryspan.wire import messages

PROMPT_SECONDS = 1.0
"""A crash is prompt if it follows the start of a run within this time."""

STRIKE_RETENTION_MS = 24 * 3600 * 1000
"""How long a crash counts against a request, in milliseconds."""

ACQUITTED_RETENTION_MS = 300 * 1000
"""How long an acquitted request is remembered, in milliseconds: messages about its
crashes may still be in flight."""

EXPIRY_STEP_MS = 60 * 1000
"""Expiry times are rounded to this step, so that all routers expire a suspect at the
same moment and their states stay equal."""

SUSPECTS_MAX = 1_000
"""Maximum number of suspects. Beyond it those with the fewest and oldest strikes are
evicted, in the same order on all routers, so that their states stay equal."""

EVICTION_HEAP_MAX = 4 * SUSPECTS_MAX
"""Number of heap entries, stale ones included, beyond which the heap is rebuilt."""

STRIKES_MAX = 6
"""Maximum number of strikes kept for each suspect; the newest are kept."""

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
    """One router's record of all requests that ran on crashed servers.

    Not thread-safe, except for :meth:`find_standing` and :meth:`may_be_suspect`.
    """

    def __init__(self) -> None:
        self._suspects: dict[int, messages.Suspect] = {}
        self._standings: dict[int, Standing] = {}
        self._candidates: dict[int, messages.Suspect] = {}
        self._causes: frozenset[int] = frozenset()
        self._isolated: frozenset[int] = frozenset()
        self._feature_count = 0
        self._scope_counts: collections.Counter[int] = collections.Counter()
        self._eviction_heap: list[tuple[EvictionPriority, int]] = []
        self._digest = 0

    def __len__(self) -> int:
        return len(self._suspects)

    @property
    def digest(self) -> int:
        """Hash of all suspects; 0 if there are none."""
        return self._digest

    @property
    def is_empty(self) -> bool:
        """Whether every request is clear."""
        return not self._scope_counts and not self._feature_count

    @property
    def has_features(self) -> bool:
        """Whether any feature has strikes that count."""
        return self._feature_count > 0

    def may_be_suspect(self, scope: int) -> bool:
        """Return whether any request with this scope has strikes that count."""
        return scope in self._scope_counts

    def find_standing(self, whole: int) -> Standing:
        """Return the standing of a request."""
        return self._standings.get(whole, Standing.CLEAR)

    def find_suspect(self, whole: int) -> messages.Suspect | None:
        """Return the suspect with this fingerprint, or None."""
        return self._suspects.get(whole)

    def list_suspects(self) -> list[messages.Suspect]:
        """Return all suspects."""
        return list(self._suspects.values())

    def count_quarantined(self) -> int:
        """Return the number of quarantined requests."""
        return len(self._causes)

    def count_by_standing(self, standing: Standing) -> int:
        """Return the number of requests with this standing."""
        return sum(each is standing for each in self._standings.values())

    def merge(
        self, suspects: Iterable[messages.Suspect], now_ms: int
    ) -> tuple[list[messages.Suspect], list[StandingChange]]:
        """Merge suspects received from other routers or recorded on this one.

        Parameters
        ----------
        now_ms : int
            Time of day, in Unix milliseconds.

        Returns
        -------
        list of Suspect
            Suspects that were added or updated, in their merged form.
        list of StandingChange
            Requests whose standing has changed.
        """
        updated: dict[int, messages.Suspect] = {}
        for suspect in suspects:
            known = self._suspects.get(suspect.whole)
            merged = merge_suspects(known, suspect) if known else trim_strikes(suspect)
            if merged != known and not is_expired(merged, now_ms):
                self._store(merged)
                updated[suspect.whole] = merged
        evicted = self._evict()
        changes = self._update_standings([*updated.values(), *evicted])
        return [
            each for each in updated.values() if each.whole in self._suspects
        ], changes

    def expire(self, now_ms: int) -> list[StandingChange]:
        """Remove expired suspects."""
        expired = [
            suspect
            for suspect in self._suspects.values()
            if is_expired(suspect, now_ms)
        ]
        for suspect in expired:
            self._remove(suspect.whole)
        return self._update_standings(expired)

    def acquit(self, whole: int) -> messages.Suspect | None:
        """Return a suspect with all its current strikes acquitted.

        The result still has to be merged and sent to the other routers. None if no
        strike counts against the request.
        """
        suspect = self._suspects.get(whole)
        strikes = blame.list_strikes(suspect) if suspect else []
        if not strikes:
            return None
        latest = max(strike.at_ms for strike in strikes)
        return msgspec.structs.replace(suspect, acquitted_ms=latest)

    def _store(self, suspect: messages.Suspect) -> None:
        self._remove(suspect.whole)
        self._suspects[suspect.whole] = suspect
        self._digest ^= hash_suspect(suspect)
        strikes = blame.list_strikes(suspect)
        if strikes and suspect.kind:
            self._feature_count += 1
        elif strikes:
            self._scope_counts[suspect.scope] += 1
        if blame.count_points(strikes, suspect) >= blame.ISOLATION_POINTS:
            self._candidates[suspect.whole] = suspect
        heapq.heappush(
            self._eviction_heap, (_compute_eviction_priority(suspect), suspect.whole)
        )

    def _remove(self, whole: int) -> None:
        suspect = self._suspects.pop(whole, None)
        if suspect is None:
            return
        self._digest ^= hash_suspect(suspect)
        self._candidates.pop(whole, None)
        if not blame.list_strikes(suspect):
            return
        if suspect.kind:
            self._feature_count -= 1
            return
        self._scope_counts[suspect.scope] -= 1
        if not self._scope_counts[suspect.scope]:
            del self._scope_counts[suspect.scope]

    def _evict(self) -> list[messages.Suspect]:
        """Remove and return the suspects in excess of the maximum."""
        evicted = []
        while len(self._suspects) > SUSPECTS_MAX:
            priority, whole = heapq.heappop(self._eviction_heap)
            suspect = self._suspects.get(whole)
            if suspect is not None and _compute_eviction_priority(suspect) == priority:
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
        """Recompute the standing of changed suspects and of changed causes."""
        causes = blame.find_causes(
            self._candidates, blame.QUARANTINE_POINTS, blame.QUARANTINE_TRIALS
        )
        isolated = blame.find_causes(
            self._candidates,
            blame.ISOLATION_POINTS,
            blame.QUARANTINE_TRIALS,
            blame.find_crashes(causes, self._candidates),
        )
        suspects = {suspect.whole: suspect for suspect in touched}
        changed = (self._causes ^ {*causes}) | (self._isolated ^ {*isolated})
        for whole in changed:
            if whole in self._suspects:
                suspects[whole] = self._suspects[whole]
        self._causes, self._isolated = frozenset(causes), frozenset(isolated)
        changes = []
        for whole, suspect in suspects.items():
            before, after = self.find_standing(whole), self._compute_standing(whole)
            self._standings[whole] = after
            if after is Standing.CLEAR:
                del self._standings[whole]
            if before is not after:
                changes.append(StandingChange(suspect, before, after))
        return changes

    def _compute_standing(self, whole: int) -> Standing:
        if whole in self._causes:
            return Standing.QUARANTINED
        suspect = self._suspects.get(whole)
        points = (
            blame.count_points(blame.list_strikes(suspect), suspect) if suspect else 0
        )
        is_request = suspect is not None and not suspect.kind
        if whole in self._isolated or (is_request and points >= blame.ISOLATION_POINTS):
            return Standing.ISOLATED
        return Standing.SUSPECT if points else Standing.CLEAR


def make_suspects(
    run: crashes.LostRun,
    crash: str,
    now_ms: int,
    history: suspectfeatures.AnswerHistory,
    now: float,
) -> Iterator[messages.Suspect]:
    """Yield a suspect with one strike for a lost run and for each of its features.

    Features that have just been answered are left out: popular ones run on every server
    that crashes.

    Parameters
    ----------
    now_ms : int
        Time of day, in Unix milliseconds.
    now : float
        Time in the clock of the history, in seconds.
    """
    yield make_suspect(run, crash, now_ms)
    for feature in run.features:
        age = history.measure_age(feature, now)
        if age < suspectfeatures.ACQUITTING_SECONDS:
            continue
        yield messages.Suspect(
            scope=0,
            whole=feature.value,
            acquitted_ms=0,
            strikes=(_make_strike(run, crash, now_ms, feature.value),),
            kind=int(feature.kind),
            was_answered=age < suspectfeatures.RETENTION_SECONDS,
        )


def make_suspect(run: crashes.LostRun, crash: str, now_ms: int) -> messages.Suspect:
    """Return a suspect with one strike for a run lost in a crash."""
    strike = _make_strike(run, crash, now_ms, run.fingerprint.whole)
    fingerprint = run.fingerprint
    return messages.Suspect(fingerprint.scope, fingerprint.whole, 0, (strike,))


def is_expired(suspect: messages.Suspect, now_ms: int) -> bool:
    """Return whether a suspect has passed its retention time."""
    latest = max(strike.at_ms for strike in suspect.strikes)
    retention_ms = (
        STRIKE_RETENTION_MS if blame.list_strikes(suspect) else ACQUITTED_RETENTION_MS
    )
    return latest + retention_ms < now_ms - now_ms % EXPIRY_STEP_MS


def count_trials(suspect: messages.Suspect | None) -> int:
    """Return the number of consecutive crashes that count against a request."""
    strikes = blame.list_strikes(suspect) if suspect else []
    return max((strike.trial for strike in strikes), default=0)


def merge_suspects(
    first: messages.Suspect, second: messages.Suspect
) -> messages.Suspect:
    """Return the union of two records of the same request."""
    strikes = {strike.crash: strike for strike in first.strikes}
    for strike in second.strikes:
        known = strikes.get(strike.crash)
        strikes[strike.crash] = _merge_strikes(known, strike) if known else strike
    return trim_strikes(
        messages.Suspect(
            first.scope,
            first.whole,
            max(first.acquitted_ms, second.acquitted_ms),
            tuple(strikes.values()),
            first.kind,
            first.was_answered or second.was_answered,
        )
    )


def trim_strikes(suspect: messages.Suspect) -> messages.Suspect:
    """Return a suspect with only its newest strikes, sorted by time."""
    strikes = sorted(suspect.strikes, key=lambda each: (each.at_ms, each.crash))
    return msgspec.structs.replace(suspect, strikes=tuple(strikes[-STRIKES_MAX:]))


def hash_suspects(suspects: Iterable[messages.Suspect]) -> int:
    """Return a hash of some suspects that does not depend on their order."""
    digest = 0
    for suspect in suspects:
        digest ^= hash_suspect(suspect)
    return digest


def hash_suspect(suspect: messages.Suspect) -> int:
    """Return a hash of all fields of a suspect."""
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(suspect))


def _make_strike(
    run: crashes.LostRun, crash: str, now_ms: int, value: int
) -> messages.Strike:
    return messages.Strike(
        crash=crash,
        at_ms=now_ms,
        trial=min(run.count_trials(value), TRIAL_MAX),
        run_ms=max(0, int(run.seconds * 1000)) if run.is_begun else 0,
        is_prompt=not run.is_begun or run.seconds <= PROMPT_SECONDS,
    )


def _merge_strikes(first: messages.Strike, second: messages.Strike) -> messages.Strike:
    return messages.Strike(
        first.crash,
        min(first.at_ms, second.at_ms),
        max(first.trial, second.trial),
        min(first.run_ms, second.run_ms),
        first.is_prompt or second.is_prompt,
    )


def _compute_eviction_priority(suspect: messages.Suspect) -> EvictionPriority:
    """Return a sort key that puts the suspect to evict next first."""
    latest = max(strike.at_ms for strike in suspect.strikes)
    return len(blame.list_strikes(suspect)), latest
