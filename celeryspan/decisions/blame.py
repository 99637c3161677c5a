"""Decides which suspects are to blame for the crashes of servers."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from celeryspan.decisions import suspectfeatures
from celeryspan.wire import messages

PROMPT_POINTS = 2
LATE_POINTS = 1
ISOLATION_POINTS = 4
QUARANTINE_POINTS = 6
"""Two prompt crashes isolate a request and three quarantine it. A run that had worked
for a while before its server crashed is less likely to be the cause and counts half."""

QUARANTINE_TRIALS = 2
"""Minimum number of trials, so that simultaneous crashes never suffice to quarantine a
request."""

ANSWERED_POINTS_DIVISOR = 2
"""Divisor of the points of a feature that had been answered before the crashes. Most
requests share it, so that it is on many crashed servers by chance."""

BROAD_POINTS = 2
"""Points that a feature broader than a part of a prompt needs beyond the others. What
is known of the narrower ones may arrive a moment later."""

NO_CRASHES: frozenset[str] = frozenset()


def list_strikes(suspect: messages.Suspect) -> list[messages.Strike]:
    """Return the strikes that count: those after the last acquittal."""
    return [each for each in suspect.strikes if each.at_ms > suspect.acquitted_ms]


def find_causes(
    candidates: Mapping[int, messages.Suspect],
    points_min: int = QUARANTINE_POINTS,
    trials_min: int = QUARANTINE_TRIALS,
    explained: frozenset[str] = NO_CRASHES,
) -> list[int]:
    """Return the suspects that caused the crashes, most certain first.

    Greedy set cover: a suspect is only blamed for crashes that the causes already
    selected don't explain.

    Parameters
    ----------
    points_min, trials_min : int
        What the unexplained strikes of a suspect must reach.
    explained : frozenset of str
        Crashes that need no further cause.
    """
    causes: list[int] = []
    explained = set(explained)
    unexplained = candidates
    while True:
        unexplained = {
            whole: candidates[whole]
            for whole in unexplained
            if whole not in causes
            and _is_blamed(candidates[whole], explained, points_min, trials_min)
        }
        if not unexplained:
            return causes
        cause = min(
            unexplained, key=lambda whole: _make_blame_key(candidates[whole], explained)
        )
        causes.append(cause)
        explained.update(each.crash for each in list_strikes(candidates[cause]))


def find_crashes(
    causes: Iterable[int], candidates: Mapping[int, messages.Suspect]
) -> frozenset[str]:
    """Return the crashes that some causes explain."""
    return frozenset(
        strike.crash for whole in causes for strike in list_strikes(candidates[whole])
    )


def count_points(strikes: Iterable[messages.Strike], suspect: messages.Suspect) -> int:
    """Return the total points of some strikes of a suspect."""
    points = sum(
        PROMPT_POINTS if strike.is_prompt else LATE_POINTS for strike in strikes
    )
    return points // ANSWERED_POINTS_DIVISOR if suspect.was_answered else points


def _list_unexplained(
    suspect: messages.Suspect, explained: Collection[str]
) -> list[messages.Strike]:
    return [each for each in list_strikes(suspect) if each.crash not in explained]


def _is_blamed(
    suspect: messages.Suspect,
    explained: Collection[str],
    points_min: int,
    trials_min: int,
) -> bool:
    """Whether the unexplained strikes are too many to be a coincidence."""
    strikes = _list_unexplained(suspect, explained)
    trials = max((strike.trial for strike in strikes), default=0)
    if suspect.kind > suspectfeatures.Kind.PART:
        points_min += BROAD_POINTS
    return count_points(strikes, suspect) >= points_min and trials >= trials_min


def _make_blame_key(
    suspect: messages.Suspect, explained: Collection[str]
) -> tuple[float, bool, float, int, int]:
    """Return a sort key that puts the likeliest cause first, then the narrowest.

    A request that had answered for a while ran beside the cause rather than was it.
    """
    strikes = _list_unexplained(suspect, explained)
    mean_ms = sum(strike.run_ms for strike in strikes) / len(strikes)
    return (
        -count_points(strikes, suspect),
        suspect.kind > suspectfeatures.Kind.PART,
        mean_ms,
        suspect.kind,
        suspect.whole,
    )
