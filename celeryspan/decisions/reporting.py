"""When a router reports given service and waiting requests to the homes.

Thousands of requests stream at once. Reporting each step would cost more than the
requests. Without reports a home would not see the service given through other homes,
would be fair only within its own servers, and the gap would grow with the number of
homes.

Two rules are registered: a fixed period, and a threshold of k units of unreported
service of backlogged accounts. ``docs/design/exchange.md`` has the measurements.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from celeryspan import ids
    from celeryspan.decisions import sharing

# Time between two reports of one account under the fixed period rule.
REPORT_PERIOD_SECONDS = 0.5

# Unreported cost units of one account under the threshold rule: half a mean request of
# a language model. At 500 the gap grew by a fifth and at 2,000 to 2.7 times, while at
# 200 counters are already only a third of all control traffic.
MAX_UNREPORTED_UNITS = 200.0

# Maximum time between reports of an account that has received service, so that a home
# that lost its state or a message learns about idle accounts too.
REFRESH_SECONDS = 5.0


# Time over which changes of a queue already known to be waiting are batched.
DEMAND_BATCH_SECONDS = 0.1

# Time for the first home to grant before all homes are told: two round trips between
# data centres.
ESCALATE_SECONDS = 0.005

# Time after which a sample of homes that granted nothing is replaced.
RESAMPLE_SECONDS = 0.1


class Stage(enum.Enum):
    """Which homes are told about the demand of an account."""

    NONE = "none"
    ONE = "one"
    ALL = "all"


class Rule(Protocol):
    """Decides which accounts to report."""

    def is_due(self, unreported: float, age: float, contended: bool) -> bool:
        """Return whether an account must be reported.

        Parameters
        ----------
        unreported : float
            Service since the last report, in cost units.
        age : float
            Seconds since the last report.
        contended : bool
            Whether the account is backlogged at a home, so that its service competes
            with that of others.
        """


RULES: dict[str, Callable[[float], Rule]] = {}


def register(name: str) -> Callable[[Callable[[float], Rule]], Callable[[float], Rule]]:
    """Register a rule under a name."""

    def enter(maker: Callable[[float], Rule]) -> Callable[[float], Rule]:
        RULES[name] = maker
        return maker

    return enter


@register("period")
class PeriodicRule:
    """Reports each account once per period, in seconds."""

    def __init__(self, seconds: float = REPORT_PERIOD_SECONDS) -> None:
        self._seconds = seconds

    def is_due(self, unreported: float, age: float, contended: bool) -> bool:
        """Return whether the period has ended and there is service to report."""
        return unreported > 0.0 and age >= self._seconds


@register("units")
class ThresholdRule:
    """Reports an account when its unreported contended service exceeds a threshold.

    Parameters
    ----------
    units : float
        Threshold in cost units.
    """

    def __init__(self, units: float = MAX_UNREPORTED_UNITS) -> None:
        self._units = units

    def is_due(self, unreported: float, age: float, contended: bool) -> bool:
        """Return whether the threshold is exceeded or a refresh is due."""
        if contended and unreported > self._units:
            return True
        return unreported > 0.0 and age >= REFRESH_SECONDS


class CounterReporter:
    """Tracks reported counters and finds those to report next."""

    def __init__(self, rule: Rule) -> None:
        self._rule = rule
        self._reported: dict[sharing.Key, tuple[float, float]] = {}

    def find_due(
        self,
        units: dict[sharing.Key, float],
        backlogged: Collection[sharing.Key] | None,
        now: float,
    ) -> tuple[sharing.Key, ...]:
        """Return the (service, account) pairs to report now, and mark them as reported.

        Parameters
        ----------
        units : dict
            This router's own monotonic counters, in cost units.
        backlogged : collection or None
            Pairs with waiting requests anywhere. None if unknown: then every account
            counts as contended. A router that is home of no server of a service does
            not know; using only its own view it reported nothing for
            ``REFRESH_SECONDS`` and the gap grew sixfold.
        now : float
            Monotonic seconds.
        """
        due = []
        for key, value in units.items():
            old, when = self._reported.get(key, (0.0, -math.inf))
            is_contended = backlogged is None or key in backlogged
            if self._rule.is_due(value - old, now - when, is_contended):
                due.append(key)
                self._reported[key] = (value, now)
        return tuple(due)

    def forget(self, service: ids.ServiceId | None = None) -> None:
        """Report everything again: a home is new or has lost its state.

        Parameters
        ----------
        service : ServiceId or None
            Limits this to the accounts of one service.
        """
        for key in list(self._reported):
            if service is None or key[0] == service:
                del self._reported[key]


class DemandReporter:
    """Decides which homes are told how many requests wait at this router, and when.

    Tracks what each home knows: the last report minus the requests sent with its
    grants. A home is told at once when the queue becomes empty or non-empty in its
    view; other changes are batched for ``DEMAND_BATCH_SECONDS``.

    A request that finds the queue of its account empty is reported to one home first.
    If that home grants nothing within ``ESCALATE_SECONDS``, all homes are told (in a
    large service a sample of them, replaced every ``RESAMPLE_SECONDS``). If all were
    told at once, each home with a free slot would grant one, and all but one of these
    grants would come back unused.
    """

    def __init__(self) -> None:
        self._reported: dict[sharing.Key, dict[ids.RouterId, int]] = {}
        self._waiting_since: dict[sharing.Key, float] = {}

    def find_stage(self, key: sharing.Key, waiting: int, now: float) -> Stage:
        """Return which homes are to be told about the demand of an account now."""
        if not waiting:
            self._waiting_since.pop(key, None)
            return Stage.NONE
        since = self._waiting_since.setdefault(key, now)
        return Stage.ONE if now < since + ESCALATE_SECONDS else Stage.ALL

    def find_sample_number(self, key: sharing.Key, now: float) -> int:
        """Return the number of the sample; it increases while nothing is granted."""
        return int((now - self._waiting_since.get(key, now)) / RESAMPLE_SECONDS)

    def is_urgent(self, key: sharing.Key, home: ids.RouterId, waiting: int) -> bool:
        """Return whether a home must be told at once."""
        return (self.reported_waiting(key, home) > 0) != (waiting > 0)

    def reported_waiting(self, key: sharing.Key, home: ids.RouterId) -> int:
        """Return how many waiting requests a home knows of."""
        return self._reported.get(key, {}).get(home, 0)

    def informed_homes(self, key: sharing.Key) -> tuple[ids.RouterId, ...]:
        """Return the homes that know of waiting requests."""
        reported = self._reported.get(key, {})
        return tuple(home for home, count in reported.items() if count)

    def record_report(self, key: sharing.Key, home: ids.RouterId, waiting: int) -> None:
        """Record that a home was told how many requests wait."""
        self._reported.setdefault(key, {})[home] = waiting

    def record_use(self, key: sharing.Key, home: ids.RouterId, now: float) -> None:
        """Record that a request was sent with a home's grant."""
        self.record_report(key, home, max(0, self.reported_waiting(key, home) - 1))
        if key in self._waiting_since:
            self._waiting_since[key] = max(
                self._waiting_since[key], now - ESCALATE_SECONDS
            )

    def forget(self, home: ids.RouterId) -> None:
        """Forget what a home was told: it is new or gone."""
        for reported in self._reported.values():
            reported.pop(home, None)
